// Command lab runs barleydrum on one machine, on loopback: the real program with three tiers of fake
// nodes. With -compare it measures the program beside httputil.ReverseProxy, a fasthttp proxy and no
// proxy instead; with -streams, beside httputil.ReverseProxy with long bodies. The
// command only parses its flags; everything else is in package lab.
package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"time"

	"barleydrum.example/barleydrum/internal/lab"
)

func main() {
	if ran, err := lab.RunReferenceProxy(os.Args[1:]); ran { // -compare and -streams start the lab's program as a reference proxy
		exit(err)
		return
	}
	var cfg lab.Config
	var opts lab.CompareOptions
	compare := flag.Bool("compare", false, "measure the program beside httputil.ReverseProxy, a fasthttp proxy and no proxy")
	streams := flag.Bool("streams", false, "measure the program beside httputil.ReverseProxy with long bodies: -callers requests at once")
	slowEvery := flag.Int("slow", 3, "with -streams: one in this many `callers` is slow, 0 for none")
	slowRate := flag.Int64("rate-slow", 1<<20, "with -streams: `bytes` per second of a slow caller in each direction")
	flag.IntVar(&opts.Callers, "callers", 32, "with -compare and -streams: number of `callers`, each with its own connection")
	flag.IntVar(&opts.Nodes, "nodes", 20, "with -compare and -streams: number of `nodes`, which respond at once")
	flag.IntVar(&opts.RequestBodyBytes, "body", 200, "with -compare and -streams: `bytes` of a request's body")
	flag.IntVar(&opts.ResponseBodyBytes, "answer", 200, "with -compare and -streams: `bytes` of a response's body")
	flag.DurationVar(&opts.ThinkTime, "think", 0, "with -compare: a caller's think `time` between a response and its next request")
	flag.IntVar(&opts.Rounds, "rounds", 3, "with -compare: number of `rounds` per program")
	flag.IntVar(&opts.OpenConnections, "open", 1000, "with -compare: number of idle callers and of open `requests` with which memory is measured, 0 for none")
	flag.StringVar(&cfg.Dir, "dir", "", "`folder` for the files (default: a new temporary one)")
	flag.StringVar(&cfg.Program, "program", "", "path of the sidecar `program` (default: build it)")
	flag.Float64Var(&cfg.RequestsPerSecond, "rate", 20, "requests per second, 1 to 200")
	flag.DurationVar(&cfg.Duration, "length", 12*time.Second, "how long to send requests, 2s to 10m")
	flag.Parse()
	if flag.NArg() > 0 || !(cfg.RequestsPerSecond >= 1 && cfg.RequestsPerSecond <= 200) || cfg.Duration < 2*time.Second || cfg.Duration > 10*time.Minute {
		fmt.Fprintf(os.Stderr, "lab: -rate %g must be from 1 to 200, -length %v from 2s to 10m, and there must be no other arguments\n", cfg.RequestsPerSecond, cfg.Duration)
		flag.Usage()
		os.Exit(2)
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	cfg.Out = os.Stdout
	if cfg.Dir == "" {
		dir, err := os.MkdirTemp("", "barleydrum-lab-")
		exit(err)
		cfg.Dir = dir
	}
	if *compare {
		exit(lab.Compare(ctx, cfg, opts))
		return
	}
	if *streams {
		exit(lab.CompareStreams(ctx, cfg, lab.StreamOptions{
			ConcurrentStreams: opts.Callers, Nodes: opts.Nodes, RequestBodyBytes: int64(opts.RequestBodyBytes), ResponseBodyBytes: int64(opts.ResponseBodyBytes), SlowEvery: *slowEvery, SlowBytesPerSecond: *slowRate,
		}))
		return
	}
	exit(lab.Run(ctx, cfg))
}

// exit prints an error and exits with status 1, or returns if err is nil.
func exit(err error) {
	if err != nil {
		fmt.Fprintf(os.Stderr, "lab: %v\n", err)
		os.Exit(1)
	}
}
