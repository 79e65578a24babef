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

// CompareOptions configures Compare.
type CompareOptions struct {
	Callers, Nodes                      int
	RequestBodyBytes, ResponseBodyBytes int
	ThinkTime                           time.Duration // between a response and the caller's next request
	Rounds                              int           // per program
	OpenConnections                     int           // connections with which memory is measured; 0 omits that measurement
}

// Validate returns an error that names the flag of the first value out of range and the range.
func (c CompareOptions) Validate() error {
	for _, v := range []struct {
		flagName               string
		value, lowest, highest int
	}{
		{"callers", c.Callers, 1, 2000}, {"nodes", c.Nodes, 1, 500}, {"body", c.RequestBodyBytes, 0, 60 << 10}, {"answer", c.ResponseBodyBytes, 0, 60 << 10},
		{"rounds", c.Rounds, 1, 100}, {"open", c.OpenConnections, 0, 4000},
	} {
		if v.value < v.lowest || v.value > v.highest {
			return fmt.Errorf("-%s: %d is not from %d to %d", v.flagName, v.value, v.lowest, v.highest)
		}
	}
	if c.ThinkTime < 0 || c.ThinkTime > time.Minute {
		return fmt.Errorf("-think: %v is not from 0s to 1m", c.ThinkTime)
	}
	return nil
}

// benchTarget is one of the compared programs with its results over all rounds.
type benchTarget struct {
	name  string
	start func(round int) (*process, error) // nil for no proxy: callers send to the nodes directly

	responses        int64                   // with status 200
	latencies        *hdrhistogram.Histogram // of these responses, in microseconds
	elapsed, cpuTime time.Duration
	peakKB           int64
	notServed        int64     // responses with another status
	roundRates       []float64 // responses per second, by round

	startKB, idleKB, openKB int64 // resident memory: after the start, with idle callers, with open requests
	openRequests            int   // open requests when openKB was measured
}

// maxLatencyMicros is the highest latency that histograms record, in microseconds. Higher ones are recorded
// as this one.
const maxLatencyMicros = 60_000_000

// newHistogram returns a histogram of latencies in microseconds, with three significant digits.
func newHistogram() *hdrhistogram.Histogram { return hdrhistogram.New(1, maxLatencyMicros, 3) }

// comparison is the state of one run of Compare or CompareStreams. Of lab it uses the folder, the program
// and the first tier's discovery.
type comparison struct {
	lab
	opts         CompareOptions // zero in CompareStreams
	benchNodes   []*fake.BenchNode
	nodeAddrs    []string
	lastCallerID uint64
}

// Compare measures the program beside the standard library's reverse proxy, a proxy of fasthttp, and no
// proxy at all, with the same nodes in one run, each proxy on one core. Each caller sends its next request
// after the response to the last one and the think time. The targets take turns, and each round uses a new
// process. The nodes and callers run on the same machine, so only the ratios of the results are meaningful.
func Compare(ctx context.Context, cfg Config, opts CompareOptions) error {
	if err := opts.Validate(); err != nil {
		return err
	}
	l := &comparison{lab: lab{cfg: cfg, nodeCaller: fake.NewCaller(1)}, opts: opts}
	defer l.close()
	if err := l.prepare(ctx); err != nil {
		return err
	}
	for i := range opts.Nodes {
		node, err := fake.NewBenchNode(opts.ResponseBodyBytes)
		if err != nil {
			return err
		}
		defer node.Close()
		l.benchNodes = append(l.benchNodes, node)
		l.nodeAddrs = append(l.nodeAddrs, node.Addr())
		l.discovery[0].Update(discovery.Instance{ID: fmt.Sprintf("n-%d", i), HostPort: node.Addr(), Zone: zones[0], Lifecycle: "up"})
	}
	targets := []*benchTarget{
		{name: "no proxy"},
		{name: "barleydrum, probing", start: func(round int) (*process, error) { return l.startBenchSidecar("pull", round) }},
		{name: "barleydrum, no reports", start: func(round int) (*process, error) { return l.startBenchSidecar("silent", round) }},
		{name: "httputil.ReverseProxy", start: func(round int) (*process, error) { return l.startReferenceProxy(reverseProxyCommand, round) }},
		{name: "fasthttp proxy", start: func(round int) (*process, error) { return l.startReferenceProxy(fasthttpProxyCommand, round) }},
	}
	roundDuration := cfg.Duration / time.Duration(opts.Rounds*len(targets))
	l.logf("%d rounds of %v per program, %d callers, %d nodes that respond at once, bodies of %d bytes in requests and %d in responses, think time %v, %d cores ...",
		opts.Rounds, roundDuration.Round(time.Millisecond), opts.Callers, opts.Nodes, opts.RequestBodyBytes, opts.ResponseBodyBytes, opts.ThinkTime, runtime.NumCPU())
	for _, target := range targets {
		target.latencies = newHistogram()
	}
	for round := range opts.Rounds {
		for _, target := range targets {
			if err := l.runRound(ctx, target, round, roundDuration); err != nil {
				return err
			}
		}
	}
	for _, target := range targets {
		if opts.OpenConnections > 0 && target.start != nil {
			if err := l.measureMemory(ctx, target); err != nil {
				return err
			}
		}
	}
	return l.printTable(targets)
}

// prepare creates the folder, builds the program unless its path is configured, and starts discovery for
// the first tier.
func (l *comparison) prepare(ctx context.Context) (err error) {
	if err := os.MkdirAll(l.cfg.Dir, 0o755); err != nil {
		return err
	}
	if l.program = l.cfg.Program; l.program == "" {
		l.logf("building the sidecar program ...")
		if l.program, err = buildSidecar(ctx, l.cfg.Dir); err != nil {
			return err
		}
	}
	l.discovery[0], err = fake.NewDiscovery("127.0.0.1:0", false)
	return err
}

// startBenchSidecar starts the program with a platform's configuration, enough sockets for all callers, and
// the given value of the setting loadInfo.how.
func (l *comparison) startBenchSidecar(loadReports string, round int) (*process, error) {
	name := fmt.Sprintf("%s-%d", loadReports, round)
	addrs, err := freeAddresses(1)
	if err != nil {
		return nil, err
	}
	sockets := max(3*(max(l.opts.Callers, l.opts.OpenConnections)+16)+64, sidecarSockets)
	text, err := platformConfig(name, addrs[0], 0, 0, 0, 1, sockets, l.discovery[0].Addr(), l.discovery[0].List(), loadReports)
	if err != nil {
		return nil, err
	}
	if err := os.WriteFile(l.path(name+".json"), text, 0o644); err != nil {
		return nil, err
	}
	return startProcess(l.cfg.Dir, name, addrs[0], l.program, nil,
		[]string{"PROXY_CONFIG=" + l.path(name+".json"), "PROXY_NAME=", "PROXY_LISTEN=", "PROXY_DISCOVERY="})
}

// startReferenceProxy starts the lab's own program as the reference proxy that command selects, on one core.
func (l *comparison) startReferenceProxy(command string, round int) (*process, error) {
	addrs, err := freeAddresses(1)
	if err != nil {
		return nil, err
	}
	executable, err := os.Executable()
	if err != nil {
		return nil, err
	}
	return startProcess(l.cfg.Dir, fmt.Sprintf("%s-%d", command, round), addrs[0], executable,
		[]string{command, "-listen", addrs[0], "-nodes", strings.Join(l.nodeAddrs, ",")}, []string{"GOMAXPROCS=1"})
}

// startAndWait starts a target's process and waits until it is ready.
func (l *comparison) startAndWait(ctx context.Context, target *benchTarget, round int) (*process, error) {
	p, err := target.start(round)
	if err != nil {
		return nil, err
	}
	readyCtx, cancel := context.WithTimeout(ctx, 20*time.Second)
	defer cancel()
	if err := p.waitReady(readyCtx); err != nil {
		p.kill()
		return nil, err
	}
	return p, nil
}

// newCaller connects a caller whose request IDs differ from those of all other callers of the run.
func (l *comparison) newCaller(addr, path string) (*fake.BenchCaller, error) {
	l.lastCallerID++
	return fake.NewBenchCaller(addr, className, path, l.opts.RequestBodyBytes, deadlineMS*time.Millisecond, l.lastCallerID<<32)
}

// runRound starts a target, sends requests to it for the duration, stops it, and adds the results to target.
func (l *comparison) runRound(ctx context.Context, target *benchTarget, round int, duration time.Duration) error {
	var p *process
	if target.start != nil {
		var err error
		if p, err = l.startAndWait(ctx, target, round); err != nil {
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
	// One element for each caller, so that the callers' goroutines need no lock.
	latencies := make([]*hdrhistogram.Histogram, len(callers))
	notServed := make([]int64, len(callers))
	errs := make([]error, len(callers))
	var wg sync.WaitGroup
	startedAt := time.Now()
	for i, c := range callers {
		latencies[i] = newHistogram()
		wg.Add(1)
		go func() {
			defer wg.Done()
			for sentAt := time.Now(); sentAt.Sub(startedAt) < duration && ctx.Err() == nil; {
				status, err := c.Do()
				now := time.Now()
				if err != nil {
					errs[i] = err
					return
				}
				if status != 200 {
					notServed[i]++
				} else if err := latencies[i].RecordValue(min(max(now.Sub(sentAt).Microseconds(), 1), maxLatencyMicros)); err != nil {
					errs[i] = err
					return
				}
				if sentAt = now; l.opts.ThinkTime > 0 {
					time.Sleep(l.opts.ThinkTime)
					sentAt = time.Now()
				}
			}
		}()
	}
	wg.Wait()
	elapsed := time.Since(startedAt)
	if p != nil {
		peakKB, err := p.peakKB()
		if err := errors.Join(err, p.stop()); err != nil {
			return err
		}
		target.cpuTime += p.cpuTime()
		target.peakKB = max(target.peakKB, peakKB)
	}
	if err := errors.Join(errs...); err != nil {
		return fmt.Errorf("lab: %s: %w", target.name, err)
	}
	var responses int64
	for i := range callers {
		responses += latencies[i].TotalCount()
		target.latencies.Merge(latencies[i])
		target.notServed += notServed[i]
	}
	target.responses += responses
	target.elapsed += elapsed
	target.roundRates = append(target.roundRates, float64(responses)/elapsed.Seconds())
	return ctx.Err()
}

// measureMemory measures a target's resident memory after its start, then with many idle callers,
// then, after these have disconnected, with as many callers whose requests are open.
func (l *comparison) measureMemory(ctx context.Context, target *benchTarget) error {
	p, err := l.startAndWait(ctx, target, l.opts.Rounds)
	if err != nil {
		return err
	}
	if target.startKB, err = p.residentKB(); err != nil {
		return err
	}
	var mu sync.Mutex
	completedRequests := 0
	connectAndMeasure := func(path string, keepOpen bool) error {
		for range l.opts.OpenConnections {
			caller, err := l.newCaller(p.addr, path)
			if err != nil {
				return err
			}
			defer caller.Close()
			if !keepOpen { // one request after the other, so that all callers are idle at the end
				if _, err := caller.Do(); err != nil {
					return err
				}
				continue
			}
			go func() {
				caller.Do()
				mu.Lock()
				defer mu.Unlock()
				completedRequests++
			}()
		}
		if !keepOpen {
			target.idleKB, err = p.residentKB()
			return err
		}
		time.Sleep(fake.BenchHoldTime / 2)
		mu.Lock()
		target.openRequests = l.opts.OpenConnections - completedRequests
		mu.Unlock()
		target.openKB, err = p.residentKB()
		return err
	}
	if err := connectAndMeasure("order", false); err != nil {
		return fmt.Errorf("lab: %s: idle callers: %w", target.name, err)
	}
	if err := connectAndMeasure("hold", true); err != nil {
		return fmt.Errorf("lab: %s: open requests: %w", target.name, err)
	}
	return p.stop()
}

// printTable prints the results of all targets.
func (l *comparison) printTable(targets []*benchTarget) error {
	w := tabwriter.NewWriter(l.cfg.Out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "\n\tresponses/s (min, max)\tCPU per response\tp50\tp99\tp99.9\tpeak memory\tnot served")
	for _, target := range targets {
		slices.Sort(target.roundRates)
		percentile := func(p float64) time.Duration {
			return time.Duration(target.latencies.ValueAtQuantile(p)) * time.Microsecond
		}
		cpuPerResponse, peakMemory := "", ""
		if target.start != nil {
			cpuPerResponse = (target.cpuTime / time.Duration(max(target.responses, 1))).Round(100 * time.Nanosecond).String()
			peakMemory = strconv.FormatFloat(float64(target.peakKB)/1024, 'f', 1, 64) + " MB"
		}
		fmt.Fprintf(w, "%s\t%.0f (%.0f, %.0f)\t%s\t%v\t%v\t%v\t%s\t%d\n", target.name, float64(target.responses)/target.elapsed.Seconds(),
			target.roundRates[0], target.roundRates[len(target.roundRates)-1], cpuPerResponse, percentile(50), percentile(99), percentile(99.9), peakMemory, target.notServed)
	}
	if err := w.Flush(); err != nil {
		return err
	}
	if l.opts.OpenConnections > 0 {
		fmt.Fprintf(w, "\nresident memory\tafter the start\twith %d idle callers\twith as many open requests\topen when measured\n", l.opts.OpenConnections)
		for _, target := range targets {
			if target.start != nil {
				fmt.Fprintf(w, "%s\t%.1f MB\t%.1f MB\t%.1f MB\t%d\n", target.name, float64(target.startKB)/1024, float64(target.idleKB)/1024, float64(target.openKB)/1024, target.openRequests)
			}
		}
		if err := w.Flush(); err != nil {
			return err
		}
	}
	_, err := io.WriteString(l.cfg.Out, "\nCPU and memory are those of the whole process, from start to exit; nodes and callers share the machine.\n")
	return err
}
