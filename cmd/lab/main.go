// Command lab shows barleydrum at work on one machine: the real program before stand-in
// nodes in three tiers, on loopback. With -compare it measures the program beside the
// standard library's reverse proxy instead.
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
	if ran, err := lab.RunReferenceProxy(os.Args[1:]); ran { // the lab starts itself as the other sides of -compare
		exit(err)
		return
	}
	var cfg lab.Config
	var how lab.CompareOptions
	compare := flag.Bool("compare", false, "measure the program beside httputil.ReverseProxy, a fasthttp proxy and no proxy")
	streams := flag.Bool("streams", false, "measure the program beside httputil.ReverseProxy with long bodies: -callers of them at once")
	slow := flag.Int("slow", 3, "with -streams: every so manieth `caller` is slow, 0 for none")
	rate := flag.Int64("rate-slow", 1<<20, "with -streams: `bytes` a second of a slow caller, either way")
	flag.IntVar(&how.Callers, "callers", 32, "with -compare: `callers`, each on a connection")
	flag.IntVar(&how.Nodes, "nodes", 20, "with -compare: `nodes`, which answer at once")
	flag.IntVar(&how.RequestBodyBytes, "body", 200, "with -compare: `bytes` of a request's body")
	flag.IntVar(&how.ResponseBodyBytes, "answer", 200, "with -compare: `bytes` of an answer's body")
	flag.DurationVar(&how.ThinkTime, "think", 0, "with -compare: a caller's `time` between an answer and its next request")
	flag.IntVar(&how.Rounds, "rounds", 3, "with -compare: `rounds` of each side")
	flag.IntVar(&how.OpenConnections, "open", 1000, "with -compare: idle callers and open `calls` at which memory is measured, 0 for none")
	flag.StringVar(&cfg.Dir, "dir", "", "`folder` for the files; one is made if it is left out")
	flag.StringVar(&cfg.Program, "program", "", "the `program` to run; it is built if this is left out")
	flag.Float64Var(&cfg.RequestsPerSecond, "rate", 20, "orders a second, 1 to 200")
	flag.DurationVar(&cfg.Duration, "length", 12*time.Second, "how long to send, 2s to 10m")
	flag.Parse()
	if flag.NArg() > 0 || !(cfg.RequestsPerSecond >= 1 && cfg.RequestsPerSecond <= 200) || cfg.Duration < 2*time.Second || cfg.Duration > 10*time.Minute {
		fmt.Fprintf(os.Stderr, "lab: -rate %g: 1 to 200; -length %v: 2s to 10m; no further arguments\n", cfg.RequestsPerSecond, cfg.Duration)
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
		exit(lab.Compare(ctx, cfg, how))
		return
	}
	if *streams {
		exit(lab.CompareStreams(ctx, cfg, lab.StreamOptions{
			ConcurrentStreams: how.Callers, Nodes: how.Nodes, RequestBodyBytes: int64(how.RequestBodyBytes), ResponseBodyBytes: int64(how.ResponseBodyBytes), SlowEvery: *slow, SlowBytesPerSecond: *rate,
		}))
		return
	}
	exit(lab.Run(ctx, cfg))
}

// exit ends the program if there is an error.
func exit(err error) {
	if err != nil {
		fmt.Fprintf(os.Stderr, "lab: %v\n", err)
		os.Exit(1)
	}
}
