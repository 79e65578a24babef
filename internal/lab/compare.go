package lab

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"runtime"
	"slices"
	"strconv"
	"strings"
	"sync"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"barleydrum.example/barleydrum/internal/discovery"
	"barleydrum.example/barleydrum/internal/fake"
)

// CompareOptions says how programs are compared.
type CompareOptions struct {
	Callers, Nodes                      int
	RequestBodyBytes, ResponseBodyBytes int           // bytes of a request's body and of an answer's
	ThinkTime                           time.Duration // of a caller between an answer and its next request
	Rounds                              int
	OpenConnections                     int // connections at which memory is measured; 0 leaves that out
}

// Validate returns an error that names the first value that can't be used.
func (c CompareOptions) Validate() error {
	for _, v := range []struct {
		name      string
		n, lo, hi int
	}{
		{"callers", c.Callers, 1, 2000}, {"nodes", c.Nodes, 1, 500}, {"body", c.RequestBodyBytes, 0, 60 << 10}, {"answer", c.ResponseBodyBytes, 0, 60 << 10},
		{"rounds", c.Rounds, 1, 100}, {"open", c.OpenConnections, 0, 4000},
	} {
		if v.n < v.lo || v.n > v.hi {
			return fmt.Errorf("-%s: %d is not from %d to %d", v.name, v.n, v.lo, v.hi)
		}
	}
	if c.ThinkTime < 0 || c.ThinkTime > time.Minute {
		return fmt.Errorf("-think: %v is not from 0s to 1m", c.ThinkTime)
	}
	return nil
}

// benchTarget is one of the programs that are compared.
type benchTarget struct {
	name  string
	start func(round int) (*process, error) // nil for none: callers ask the nodes themselves

	responses        int64
	latencies        *hdrhistogram.Histogram // in microseconds
	elapsed, cpuTime time.Duration
	peakKB           int64
	notServed        int64
	roundRates       []float64 // answers a second of each

	startKB, idleKB, openKB int64 // resident memory: at the start, with idle callers, with open calls
	openRequests            int   // calls that were open then
}

// maxLatencyMicros is the longest time that histograms tell apart from longer ones, in microseconds.
const maxLatencyMicros = 60_000_000

func newHistogram() *hdrhistogram.Histogram { return hdrhistogram.New(1, maxLatencyMicros, 3) }

// comparison is one run of Compare.
type comparison struct {
	lab
	opts         CompareOptions
	benchNodes   []*fake.BenchNode
	nodeAddrs    []string
	lastCallerID uint64
}

// Compare measures the program beside the standard library's reverse proxy, a proxy of
// fasthttp, and no proxy at all, before the same nodes in one run, each on one core: callers
// ask again once they are answered and have thought, the sides take turns, and each round is a
// process of its own. The nodes and the callers share the machine with them, so only the
// relation of the figures says anything.
func Compare(ctx context.Context, cfg Config, how CompareOptions) error {
	if err := how.Validate(); err != nil {
		return err
	}
	l := &comparison{lab: lab{cfg: cfg, nodeCaller: fake.NewCaller(1)}, opts: how}
	defer l.close()
	if err := l.prepare(ctx); err != nil {
		return err
	}
	for i := range how.Nodes {
		q, err := fake.NewBenchNode(how.ResponseBodyBytes)
		if err != nil {
			return err
		}
		defer q.Close()
		l.benchNodes = append(l.benchNodes, q)
		l.nodeAddrs = append(l.nodeAddrs, q.Addr())
		l.discovery[0].Update(discovery.Instance{ID: fmt.Sprintf("n-%d", i), HostPort: q.Addr(), Zone: zones[0], Lifecycle: "up"})
	}
	sides := []*benchTarget{
		{name: "no proxy"},
		{name: "barleydrum, probing", start: func(round int) (*process, error) { return l.startBenchSidecar("pull", round) }},
		{name: "barleydrum, no reports", start: func(round int) (*process, error) { return l.startBenchSidecar("silent", round) }},
		{name: "httputil.ReverseProxy", start: func(round int) (*process, error) { return l.startReferenceProxy(reverseProxyCommand, round) }},
		{name: "fasthttp proxy", start: func(round int) (*process, error) { return l.startReferenceProxy(fasthttpProxyCommand, round) }},
	}
	length := cfg.Duration / time.Duration(how.Rounds*len(sides))
	l.logf("%d rounds of %v a side, %d callers, %d nodes that answer at once, %d and %d bytes of body, %v to think, %d cores ...",
		how.Rounds, length.Round(time.Millisecond), how.Callers, how.Nodes, how.RequestBodyBytes, how.ResponseBodyBytes, how.ThinkTime, runtime.NumCPU())
	for _, s := range sides {
		s.latencies = newHistogram()
	}
	for round := range how.Rounds {
		for _, s := range sides {
			if err := l.runRound(ctx, s, round, length); err != nil {
				return err
			}
		}
	}
	for _, s := range sides {
		if how.OpenConnections > 0 && s.start != nil {
			if err := l.measureMemory(ctx, s); err != nil {
				return err
			}
		}
	}
	return l.printTable(sides)
}

// prepare makes the folder, builds the program unless it is given, and starts discovery.
func (l *comparison) prepare(ctx context.Context) (err error) {
	if err := os.MkdirAll(l.cfg.Dir, 0o755); err != nil {
		return err
	}
	if l.program = l.cfg.Program; l.program == "" {
		l.logf("building the program ...")
		if l.program, err = buildSidecar(ctx, l.cfg.Dir); err != nil {
			return err
		}
	}
	l.discovery[0], err = fake.NewDiscovery("127.0.0.1:0", false)
	return err
}

// startBenchSidecar starts the program.
func (l *comparison) startBenchSidecar(reports string, round int) (*process, error) {
	name := fmt.Sprintf("%s-%d", reports, round)
	at, err := freeAddresses(1)
	if err != nil {
		return nil, err
	}
	sockets := max(3*(max(l.opts.Callers, l.opts.OpenConnections)+16)+64, sidecarSockets)
	text, err := platformConfig(name, at[0], 0, 0, 0, 1, sockets, l.discovery[0].Addr(), l.discovery[0].List(), reports)
	if err != nil {
		return nil, err
	}
	if err := os.WriteFile(l.path(name+".json"), text, 0o644); err != nil {
		return nil, err
	}
	return startProcess(l.cfg.Dir, name, at[0], l.program, nil,
		[]string{"PROXY_CONFIG=" + l.path(name+".json"), "PROXY_NAME=", "PROXY_LISTEN=", "PROXY_DISCOVERY="})
}

// startReferenceProxy starts one of the others.
func (l *comparison) startReferenceProxy(command string, round int) (*process, error) {
	at, err := freeAddresses(1)
	if err != nil {
		return nil, err
	}
	self, err := os.Executable()
	if err != nil {
		return nil, err
	}
	return startProcess(l.cfg.Dir, fmt.Sprintf("%s-%d", command, round), at[0], self,
		[]string{command, "-listen", at[0], "-nodes", strings.Join(l.nodeAddrs, ",")}, []string{"GOMAXPROCS=1"})
}

// startAndWait starts a side and waits until it is ready.
func (l *comparison) startAndWait(ctx context.Context, s *benchTarget, round int) (*process, error) {
	p, err := s.start(round)
	if err != nil {
		return nil, err
	}
	wait, cancel := context.WithTimeout(ctx, 20*time.Second)
	defer cancel()
	if err := p.waitReady(wait); err != nil {
		p.kill()
		return nil, err
	}
	return p, nil
}

// newCaller connects a caller of its own ids.
func (l *comparison) newCaller(addr, path string) (*fake.BenchCaller, error) {
	l.lastCallerID++
	return fake.NewBenchCaller(addr, className, path, l.opts.RequestBodyBytes, deadlineMS*time.Millisecond, l.lastCallerID<<32)
}

// runRound runs a side once.
func (l *comparison) runRound(ctx context.Context, s *benchTarget, round int, length time.Duration) error {
	var p *process
	if s.start != nil {
		var err error
		if p, err = l.startAndWait(ctx, s, round); err != nil {
			return err
		}
	}
	callers := make([]*fake.BenchCaller, l.opts.Callers)
	for i := range callers {
		addr := l.nodeAddrs[i%len(l.nodeAddrs)]
		if p != nil {
			addr = p.addr
		}
		var err error
		if callers[i], err = l.newCaller(addr, "order"); err != nil {
			return err
		}
		defer callers[i].Close()
	}
	took := make([]*hdrhistogram.Histogram, len(callers))
	wrong := make([]int64, len(callers))
	errs := make([]error, len(callers))
	var wg sync.WaitGroup
	began := time.Now()
	for i, c := range callers {
		took[i] = newHistogram()
		wg.Add(1)
		go func() {
			defer wg.Done()
			for at := time.Now(); at.Sub(began) < length && ctx.Err() == nil; {
				status, err := c.Do()
				now := time.Now()
				if err != nil {
					errs[i] = err
					return
				}
				if status != 200 {
					wrong[i]++
				} else if err := took[i].RecordValue(min(max(now.Sub(at).Microseconds(), 1), maxLatencyMicros)); err != nil {
					errs[i] = err
					return
				}
				if at = now; l.opts.ThinkTime > 0 {
					time.Sleep(l.opts.ThinkTime)
					at = time.Now()
				}
			}
		}()
	}
	wg.Wait()
	elapsed := time.Since(began)
	if p != nil {
		peak, err := p.peakKB()
		if err := errors.Join(err, p.stop()); err != nil {
			return err
		}
		s.cpuTime += p.cpuTime()
		s.peakKB = max(s.peakKB, peak)
	}
	if err := errors.Join(errs...); err != nil {
		return fmt.Errorf("lab: %s: %w", s.name, err)
	}
	var answers int64
	for i := range callers {
		answers += took[i].TotalCount()
		s.latencies.Merge(took[i])
		s.notServed += wrong[i]
	}
	s.responses += answers
	s.elapsed += elapsed
	s.roundRates = append(s.roundRates, float64(answers)/elapsed.Seconds())
	return ctx.Err()
}

// measureMemory measures what a side holds with many callers that are idle, and with as many whose
// requests are open.
func (l *comparison) measureMemory(ctx context.Context, s *benchTarget) error {
	p, err := l.startAndWait(ctx, s, l.opts.Rounds)
	if err != nil {
		return err
	}
	if s.startKB, err = p.residentKB(); err != nil {
		return err
	}
	var mu sync.Mutex
	answered := 0
	ask := func(path string, open bool) error {
		for range l.opts.OpenConnections {
			c, err := l.newCaller(p.addr, path)
			if err != nil {
				return err
			}
			defer c.Close()
			if !open { // one after another: they are idle in the end
				if _, err := c.Do(); err != nil {
					return err
				}
				continue
			}
			go func() {
				c.Do()
				mu.Lock()
				defer mu.Unlock()
				answered++
			}()
		}
		if !open {
			s.idleKB, err = p.residentKB()
			return err
		}
		time.Sleep(fake.BenchHoldTime / 2)
		mu.Lock()
		s.openRequests = l.opts.OpenConnections - answered
		mu.Unlock()
		s.openKB, err = p.residentKB()
		return err
	}
	if err := ask("order", false); err != nil {
		return fmt.Errorf("lab: %s: idle callers: %w", s.name, err)
	}
	if err := ask("hold", true); err != nil {
		return fmt.Errorf("lab: %s: open calls: %w", s.name, err)
	}
	return p.stop()
}

func (l *comparison) printTable(sides []*benchTarget) error {
	w := tabwriter.NewWriter(l.cfg.Out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "\n\tanswers/s (least, most)\tCPU an answer\tp50\tp99\tp99.9\tpeak memory\tnot served")
	for _, s := range sides {
		slices.Sort(s.roundRates)
		at := func(q float64) time.Duration { return time.Duration(s.latencies.ValueAtQuantile(q)) * time.Microsecond }
		cpu, peak := "", ""
		if s.start != nil {
			cpu = (s.cpuTime / time.Duration(max(s.responses, 1))).Round(100 * time.Nanosecond).String()
			peak = strconv.FormatFloat(float64(s.peakKB)/1024, 'f', 1, 64) + " MB"
		}
		fmt.Fprintf(w, "%s\t%.0f (%.0f, %.0f)\t%s\t%v\t%v\t%v\t%s\t%d\n", s.name, float64(s.responses)/s.elapsed.Seconds(),
			s.roundRates[0], s.roundRates[len(s.roundRates)-1], cpu, at(50), at(99), at(99.9), peak, s.notServed)
	}
	if err := w.Flush(); err != nil {
		return err
	}
	if l.opts.OpenConnections > 0 {
		fmt.Fprintf(w, "\nresident memory\tat the start\twith %d idle callers\twith as many calls\tof them open\n", l.opts.OpenConnections)
		for _, s := range sides {
			if s.start != nil {
				fmt.Fprintf(w, "%s\t%.1f MB\t%.1f MB\t%.1f MB\t%d\n", s.name, float64(s.startKB)/1024, float64(s.idleKB)/1024, float64(s.openKB)/1024, s.openRequests)
			}
		}
		if err := w.Flush(); err != nil {
			return err
		}
	}
	_, err := io.WriteString(l.cfg.Out, "\nCPU and memory are whole processes', start and end included; nodes and callers share the machine.\n")
	return err
}
