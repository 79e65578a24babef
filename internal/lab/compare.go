package lab

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httputil"
	"net/url"
	"os"
	"os/signal"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"text/tabwriter"
	"time"

	"barleydrum.example/barleydrum/internal/standin"
)

// ProxyCommand is the first argument with which the lab's program runs ReverseProxy.
const ProxyCommand = "reverse-proxy"

// ReverseProxy serves the standard library's reverse proxy over nodes in turn until SIGTERM:
// the plainest program that does a part of barleydrum's work.
func ReverseProxy(args []string) error {
	f := flag.NewFlagSet(ProxyCommand, flag.ContinueOnError)
	listen, nodes := f.String("listen", "", "address"), f.String("nodes", "", "addresses, by commas")
	if err := f.Parse(args); err != nil {
		return err
	}
	var targets []*url.URL
	for _, addr := range strings.Split(*nodes, ",") {
		targets = append(targets, &url.URL{Scheme: "http", Host: addr})
	}
	var turn atomic.Uint64
	proxy := &httputil.ReverseProxy{
		Rewrite:   func(r *httputil.ProxyRequest) { r.SetURL(targets[turn.Add(1)%uint64(len(targets))]) },
		Transport: &http.Transport{MaxIdleConnsPerHost: compareCallers, DisableCompression: true},
	}
	l, err := net.Listen("tcp", *listen)
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM)
	defer stop()
	s := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != "/healthz" {
			proxy.ServeHTTP(w, r)
		}
	})}
	go func() {
		<-ctx.Done()
		s.Close()
	}()
	if err := s.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

const (
	compareNodes   = 32 // with more nodes than callers one is always idle, and no order has to wait
	compareCallers = 8
	compareRounds  = 3
)

// side is one of the programs that are compared.
type side struct {
	name  string
	begin func(round int) (*process, error)

	answers       int
	took          []time.Duration
	elapsed, cpu  time.Duration
	peakKB        int64
	wrong         int
	roundsAnswers []float64
}

// Compare measures the program beside the standard library's reverse proxy before the same
// nodes in one run, each on one core: callers ask again as soon as they are answered, the sides take turns, and
// each round is a process of its own. The nodes and the callers share the machine with them,
// so only the relation of the figures says anything.
func Compare(ctx context.Context, cfg Config) error {
	l := &lab{cfg: cfg, calls: standin.NewCaller(1)}
	defer l.close()
	if err := os.MkdirAll(cfg.Dir, 0o755); err != nil {
		return err
	}
	var err error
	if l.program = cfg.Program; l.program == "" {
		l.say("building the program ...")
		if l.program, err = build(ctx, cfg.Dir); err != nil {
			return err
		}
	}
	if l.discovery[0], err = standin.NewDiscovery("127.0.0.1:0", false); err != nil {
		return err
	}
	var addrs []string
	for i := range compareNodes {
		n, err := standin.NewNode(standin.NodeConfig{ID: fmt.Sprintf("n-%d", i), Zone: zones[0], Addr: "127.0.0.1:0", Slots: compareCallers})
		if err != nil {
			return err
		}
		l.nodes[0] = append(l.nodes[0], n)
		l.discovery[0].Change(n.Entry("up"))
		addrs = append(addrs, n.Entry("up").HostPort)
	}
	sides := []*side{
		{name: "barleydrum, probing", begin: func(round int) (*process, error) { return l.compared("pull", round) }},
		{name: "barleydrum, no reports", begin: func(round int) (*process, error) { return l.compared("silent", round) }},
		{name: "httputil.ReverseProxy", begin: func(round int) (*process, error) {
			at, err := freeAddresses(1)
			if err != nil {
				return nil, err
			}
			self, err := os.Executable()
			if err != nil {
				return nil, err
			}
			return begin(cfg.Dir, fmt.Sprintf("reverse-proxy-%d", round), at[0], self,
				[]string{ProxyCommand, "-listen", at[0], "-nodes", strings.Join(addrs, ",")}, []string{"GOMAXPROCS=1"})
		}},
	}
	length := cfg.Length / time.Duration(compareRounds*len(sides))
	l.say("%d rounds of %v a side, %d callers, %d nodes that answer at once ...", compareRounds, length.Round(time.Millisecond), compareCallers, compareNodes)
	for round := range compareRounds {
		for _, s := range sides {
			if err := s.round(ctx, round, length); err != nil {
				return err
			}
		}
	}
	return l.compareTable(sides)
}

// compared starts the program for a comparison.
func (l *lab) compared(reports string, round int) (*process, error) {
	name := fmt.Sprintf("%s-%d", reports, round)
	at, err := freeAddresses(1)
	if err != nil {
		return nil, err
	}
	text, err := platform(name, at[0], 0, 0, 0, 1, l.discovery[0].Addr(), l.discovery[0].List(), reports)
	if err != nil {
		return nil, err
	}
	if err := os.WriteFile(l.file(name+".json"), text, 0o644); err != nil {
		return nil, err
	}
	return begin(l.cfg.Dir, name, at[0], l.program, nil,
		[]string{"PROXY_CONFIG=" + l.file(name+".json"), "PROXY_NAME=", "PROXY_LISTEN=", "PROXY_DISCOVERY="})
}

// round runs a side once.
func (s *side) round(ctx context.Context, round int, length time.Duration) error {
	p, err := s.begin(round)
	if err != nil {
		return err
	}
	wait, cancel := context.WithTimeout(ctx, 20*time.Second)
	defer cancel()
	if err := p.ready(wait); err != nil {
		p.kill()
		return err
	}
	caller := standin.NewCaller(compareCallers)
	defer caller.Close()
	var wg sync.WaitGroup
	began := time.Now()
	for range compareCallers {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for time.Since(began) < length && ctx.Err() == nil {
				caller.Do(ctx, p.addr, standin.Order{
					ID: newID(), Class: class, Key: newID(), Body: "500 litres", Timeout: deadlineMS * time.Millisecond,
				}, spare)
			}
		}()
	}
	wg.Wait()
	elapsed := time.Since(began)
	if err := p.stop(); err != nil {
		return err
	}
	counts, took, _ := caller.Counts()
	u := p.used()
	s.answers += len(took)
	s.took = append(s.took, took...)
	s.elapsed += elapsed
	s.cpu += u.cpu
	s.peakKB = max(s.peakKB, u.peakKB)
	s.wrong += counts[standin.Refused] + counts[standin.Failed] + counts[standin.Lost]
	s.roundsAnswers = append(s.roundsAnswers, float64(len(took))/elapsed.Seconds())
	return ctx.Err()
}

func (l *lab) compareTable(sides []*side) error {
	w := tabwriter.NewWriter(l.cfg.Out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "\n\tanswers/s (least, most)\tCPU an answer\tp50\tp99\tp99.9\tpeak memory\tnot served")
	for _, s := range sides {
		slices.Sort(s.took)
		slices.Sort(s.roundsAnswers)
		fmt.Fprintf(w, "%s\t%.0f (%.0f, %.0f)\t%v\t%v\t%v\t%v\t%.1f MB\t%d\n", s.name,
			float64(s.answers)/s.elapsed.Seconds(), s.roundsAnswers[0], s.roundsAnswers[len(s.roundsAnswers)-1],
			(s.cpu / time.Duration(max(s.answers, 1))).Round(time.Microsecond),
			quantile(s.took, 0.5), quantile(s.took, 0.99), quantile(s.took, 0.999), float64(s.peakKB)/1024, s.wrong)
	}
	if err := w.Flush(); err != nil {
		return err
	}
	_, err := io.WriteString(l.cfg.Out, "\nCPU and memory are whole processes', start and end included; nodes and callers share the machine.\n")
	return err
}
