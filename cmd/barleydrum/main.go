// Command barleydrum is one sidecar: it balances its callers' requests over the
// endpoints of a tier.
package main

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"syscall"

	"barleydrum.example/barleydrum/internal/config"
	"barleydrum.example/barleydrum/internal/sidecar"
)

func main() {
	if err := run(); err != nil {
		fmt.Fprintf(os.Stderr, "barleydrum: %v\n", err)
		os.Exit(1)
	}
}

// run serves until SIGTERM or SIGINT. SIGHUP has discovery's address read again.
func run() error {
	hangup := make(chan os.Signal, 1)
	signal.Notify(hangup, syscall.SIGHUP) // before all else: unhandled it would end the program
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	cfg, err := config.LoadPlatform(os.Getenv)
	if err != nil {
		return err
	}
	runtime.GOMAXPROCS(max(1, int(cfg.Limits.Cores)))
	debug.SetMemoryLimit(cfg.Limits.MemoryMB << 20 * 3 / 4) // the rest is for stacks, files and the program itself
	slog.SetDefault(slog.With("name", cfg.Name))

	engine, err := sidecar.NewEngine(cfg)
	if err != nil {
		return err
	}
	l, err := net.Listen("tcp", cfg.Listen)
	if err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	server := sidecar.NewServer(cfg, engine)
	served := make(chan error, 1)
	go func() { served <- server.Serve(l) }()
	discovery := sidecar.NewDiscovery(cfg, engine)
	go discovery.Run(context.Background()) // also while the last requests are answered
	go func() {
		for range hangup {
			reload(discovery)
		}
	}()

	select {
	case err := <-served:
		return err
	case <-ctx.Done():
		server.Shutdown()
		return nil
	}
}

// reload follows the discovery that the configuration names now. The rest of it is read at
// the start only.
func reload(d *sidecar.Discovery) {
	cfg, err := config.ReloadPlatform(os.Getenv)
	if err != nil {
		slog.Error("reload: keeping the configuration at hand", "err", err)
		return
	}
	d.Move(cfg.Discovery)
}
