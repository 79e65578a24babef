// Command barleydrum is one sidecar: it balances its callers' requests over the
// endpoints of a tier.
//
//	barleydrum [-settings FILE] [-log-level LEVEL]
//
// PROXY_CONFIG names the platform's configuration. The operators' file narrows it, and says
// all where there is none. SIGHUP has both read again, SIGTERM ends the program once what it
// has taken is answered.
package main

import (
	"cmp"
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"log/slog"
	"net"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"syscall"

	"barleydrum.example/barleydrum/internal/engine"
	"barleydrum.example/barleydrum/internal/sidecar"
)

func main() {
	opts, err := parseArguments(os.Args[1:], os.Getenv, os.Stderr)
	if errors.Is(err, flag.ErrHelp) {
		return
	}
	if err != nil {
		os.Exit(2)
	}
	slog.SetLogLoggerLevel(opts.logLevel)
	if err := run(opts.settingsPath); err != nil {
		fmt.Fprintf(os.Stderr, "barleydrum: %v\n", err)
		os.Exit(1)
	}
}

// options are what the command line says.
type options struct {
	settingsPath string // the operators' file, empty for none
	logLevel     slog.Level
}

// logLevelVariable names the environment variable that sets the log level where no flag does.
const logLevelVariable = "BARLEYDRUM_LOG_LEVEL"

// parseArguments reads the command line. It says itself what is wrong with it.
func parseArguments(args []string, getenv func(string) string, out io.Writer) (options, error) {
	var opts options
	f := flag.NewFlagSet("barleydrum", flag.ContinueOnError)
	f.SetOutput(out)
	f.StringVar(&opts.settingsPath, "settings", "", "the operators' `FILE`; see docs/operators/settings.md")
	level := f.String("log-level", cmp.Or(getenv(logLevelVariable), slog.LevelInfo.String()),
		"debug, info, warn or error; debug logs every connection, attempt and answer. Left out: $"+logLevelVariable+", else info. `LEVEL`")
	if err := f.Parse(args); err != nil {
		return opts, err
	}
	err := opts.logLevel.UnmarshalText([]byte(*level))
	switch {
	case err != nil:
		err = fmt.Errorf("log level %q: not debug, info, warn or error", *level)
	case f.NArg() > 0:
		err = fmt.Errorf("unknown argument %q", f.Arg(0))
	default:
		return opts, nil
	}
	fmt.Fprintf(out, "barleydrum: %v\n", err)
	f.Usage()
	return opts, err
}

// run serves until SIGTERM or SIGINT.
func run(settings string) error {
	hangup := make(chan os.Signal, 1)
	signal.Notify(hangup, syscall.SIGHUP) // before all else: unhandled it would end the program
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	source := configLoader{settingsPath: settings, getenv: os.Getenv}
	cfg, err := source.loadInitial()
	if err != nil {
		return err
	}
	runtime.GOMAXPROCS(max(1, int(cfg.Limits.Cores)))
	debug.SetMemoryLimit(int64(float64(cfg.Limits.MemoryMB<<20) * cfg.Settings.Limits.HeapShare))
	slog.SetDefault(slog.With("name", cfg.Name))

	decider, err := engine.New(cfg)
	if err != nil {
		return err
	}
	var listeners []net.Listener
	for _, addr := range append([]string{cfg.ListenAddress}, cfg.Settings.Callers.ExtraListenAddresses...) {
		l, err := net.Listen("tcp", addr)
		if err != nil {
			return fmt.Errorf("listen: %w", err)
		}
		listeners = append(listeners, l)
	}
	server, err := sidecar.NewServer(cfg, decider)
	if err != nil {
		return err
	}
	served := make(chan error, len(listeners))
	for _, l := range listeners {
		go func() { served <- server.Serve(l) }()
	}
	discovery := sidecar.NewDiscoveryClient(cfg, decider)
	go discovery.Run(context.Background()) // also while the last requests are answered
	go func() {
		running := settingsReloader{loader: source, startConfig: cfg, lastSettings: cfg.Settings}
		for range hangup {
			running.reload(decider, discovery)
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
