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

	"yewwood.example/yewwood/internal/sidecar"
)

func main() {
	if err := run(); err != nil {
		fmt.Fprintf(os.Stderr, "barleydrum: %v\n", err)
		os.Exit(1)
	}
}

// run serves until SIGTERM or SIGINT.
func run() error {
	cfg, err := sidecar.LoadConfig(os.Getenv)
	if err != nil {
		return err
	}
	runtime.GOMAXPROCS(max(1, int(cfg.Limits.Cores)))
	debug.SetMemoryLimit(cfg.Limits.MemoryMB << 20 * 3 / 4) // the rest is for stacks, files and the program itself
	slog.SetDefault(slog.With("name", cfg.Name))

	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
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
	following, end := context.WithCancel(context.Background())
	defer end()
	go sidecar.NewDiscovery(cfg, engine).Run(following)

	select {
	case err := <-served:
		return err
	case <-ctx.Done():
		server.Shutdown()
		return nil
	}
}
