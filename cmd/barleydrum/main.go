// Command barleydrum is a sidecar load balancer: it distributes its callers' requests over the
// endpoints of one tier.
//
//	barleydrum [-settings FILE] [-log-level LEVEL]
//
// The environment variable PROXY_CONFIG names the platform's configuration file. The operators'
// settings FILE may only narrow it; without a platform configuration, FILE alone configures the
// program. SIGHUP reloads both files. On SIGTERM or SIGINT the program shuts down: it accepts
// connections for a short grace period, responds to the requests that it has received, and exits.
package main

import (
	"cmp"
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"log"
	"log/slog"
	"net"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"syscall"
	"time"

	"barleydrum.example/barleydrum/internal/engine"
	"barleydrum.example/barleydrum/internal/logging"
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
	logWriter := logging.NewWriter(os.Stderr, logQueueBytes)
	log.SetOutput(logWriter)
	err = run(opts.settingsPath)
	logWriter.Flush(logFlushTime)
	if err != nil {
		fmt.Fprintf(os.Stderr, "barleydrum: %v\n", err)
		os.Exit(1)
	}
}

// Limits of the log: how much may be queued for a reader that stalls, and how long the end of the program waits for it.
const (
	logQueueBytes = 64 << 10
	logFlushTime  = 200 * time.Millisecond
)

// options are the command-line options.
type options struct {
	settingsPath string // the operators' settings file, empty if there is none
	logLevel     slog.Level
}

// logLevelVariable is the environment variable that sets the log level when -log-level is not given.
const logLevelVariable = "BARLEYDRUM_LOG_LEVEL"

// parseArguments parses the command line. It prints errors, with the usage, to output before it returns them.
func parseArguments(args []string, getenv func(string) string, output io.Writer) (options, error) {
	var opts options
	flags := flag.NewFlagSet("barleydrum", flag.ContinueOnError)
	flags.SetOutput(output)
	flags.StringVar(&opts.settingsPath, "settings", "", "the operators' `FILE`; see docs/operators/settings.md")
	level := flags.String("log-level", cmp.Or(getenv(logLevelVariable), slog.LevelInfo.String()),
		"debug, info, warn or error; debug logs every connection, attempt and response. Default: $"+logLevelVariable+", else info. `LEVEL`")
	if err := flags.Parse(args); err != nil {
		return opts, err
	}
	err := opts.logLevel.UnmarshalText([]byte(*level))
	switch {
	case err != nil:
		err = fmt.Errorf("log level %q: not debug, info, warn or error", *level)
	case flags.NArg() > 0:
		err = fmt.Errorf("unknown argument %q", flags.Arg(0))
	default:
		return opts, nil
	}
	fmt.Fprintf(output, "barleydrum: %v\n", err)
	flags.Usage()
	return opts, err
}

// listenConfig turns off TCP keep-alive, whose options cost some system calls for each connection: callers' connections
// have timeouts that are shorter.
var listenConfig = net.ListenConfig{KeepAlive: -1}

// run runs the sidecar until SIGTERM or SIGINT. settingsPath is the operators' settings file, empty if
// there is none.
func run(settingsPath string) error {
	sighup := make(chan os.Signal, 1)
	signal.Notify(sighup, syscall.SIGHUP) // before anything else: an unhandled SIGHUP ends the program
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	loader := configLoader{settingsPath: settingsPath, getenv: os.Getenv}
	cfg, err := loader.loadInitial()
	if err != nil {
		return err
	}
	runtime.GOMAXPROCS(max(1, int(cfg.Limits.Cores)))
	debug.SetMemoryLimit(cfg.GoMemoryLimit())
	slog.SetDefault(slog.With("name", cfg.Name))
	slog.Info("limits", "memory", cfg.Limits.MemoryMB<<20, "go memory", cfg.GoMemoryLimit(), "peers' data", cfg.PeerMemoryLimit(),
		"descriptors", cfg.Limits.Sockets, "callers", cfg.MaxCallerConnections(), "endpoint connections", cfg.MaxEndpointConnections())

	eng, err := engine.New(cfg)
	if err != nil {
		return err
	}
	var listeners []net.Listener
	for _, addr := range append([]string{cfg.ListenAddress}, cfg.Settings.Callers.ExtraListenAddresses...) {
		l, err := listenConfig.Listen(ctx, "tcp", addr)
		if err != nil {
			return fmt.Errorf("listen: %w", err)
		}
		listeners = append(listeners, l)
	}
	server, err := sidecar.NewServer(cfg, eng)
	if err != nil {
		return err
	}
	serveErrs := make(chan error, len(listeners))
	for _, l := range listeners {
		go func() { serveErrs <- server.Serve(l) }()
	}
	discoveryClient := sidecar.NewDiscoveryClient(cfg, eng)
	go discoveryClient.Run(context.Background()) // not ctx: discovery is also needed while the last requests finish
	go func() {
		reloader := settingsReloader{loader: loader, startConfig: cfg, lastSettings: cfg.Settings}
		for range sighup {
			reloader.reload(eng, discoveryClient)
		}
	}()

	select {
	case err := <-serveErrs:
		return err
	case <-ctx.Done():
		server.Shutdown()
		return nil
	}
}
