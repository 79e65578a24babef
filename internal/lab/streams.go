package lab

import (
	"context"
	"fmt"
	"os"
	"sync"
	"sync/atomic"
	"text/tabwriter"
	"time"

	"barleydrum.example/barleydrum/internal/body"
	"barleydrum.example/barleydrum/internal/discovery"
	"barleydrum.example/barleydrum/internal/fake"
)

// StreamOptions configures CompareStreams.
type StreamOptions struct {
	ConcurrentStreams, Nodes            int
	RequestBodyBytes, ResponseBodyBytes int64
	SlowEvery                           int   // one caller in SlowEvery is slow; 0 means none
	SlowBytesPerSecond                  int64 // rate of a slow caller in each direction
}

// Validate returns an error that names the flag of the first value out of range and the range.
func (s StreamOptions) Validate() error {
	for _, v := range []struct {
		flagName               string
		value, lowest, highest int64
	}{
		{"callers", int64(s.ConcurrentStreams), 1, 2000}, {"nodes", int64(s.Nodes), 1, 500}, {"body", s.RequestBodyBytes, 65 << 10, 1 << 30},
		{"answer", s.ResponseBodyBytes, 65 << 10, 1 << 30}, {"slow", int64(s.SlowEvery), 0, 2000}, {"rate-slow", s.SlowBytesPerSecond, 1 << 10, 1 << 30},
	} {
		if v.value < v.lowest || v.value > v.highest {
			return fmt.Errorf("-%s: %d is not from %d to %d", v.flagName, v.value, v.lowest, v.highest)
		}
	}
	return nil
}

// streamMemoryBytes is the memory limit in the program's settings. The buffers that its other settings
// allow must fit into it, see the rule streams-memory of package check.
const streamMemoryBytes = 128 << 20

// streamWindowBytes is the default of the stream window in the settings, which startStreamSidecar leaves
// out.
const streamWindowBytes = 32 << 10

// CompareStreams measures the program beside the standard library's reverse proxy, on one core each, with
// many concurrent requests with long bodies. It reports how long the callers of unlimited rate took, CPU
// time, memory and file descriptors to cfg.Out.
func CompareStreams(ctx context.Context, cfg Config, opts StreamOptions) error {
	if err := opts.Validate(); err != nil {
		return err
	}
	l := &comparison{lab: lab{cfg: cfg, nodeCaller: fake.NewCaller(1)}}
	defer l.close()
	if err := l.prepare(ctx); err != nil {
		return err
	}
	for i := range opts.Nodes {
		node, addr, err := fake.NewLargeBodyServer(opts.ResponseBodyBytes)
		if err != nil {
			return err
		}
		defer node.Close()
		l.nodeAddrs = append(l.nodeAddrs, addr)
		l.discovery[0].Update(discovery.Instance{ID: fmt.Sprintf("n-%d", i), HostPort: addr, Zone: zones[0], Lifecycle: "up"})
	}
	maxBufferBytes := body.Limits{WindowBytes: streamWindowBytes}.MaxBufferBytes()*int64(opts.ConcurrentStreams) + body.BlockSize*int64(opts.ConcurrentStreams+16)
	l.logf("%d concurrent streams with bodies of %d bytes in requests and %d in responses; buffers use at most %d MB ...", opts.ConcurrentStreams, opts.RequestBodyBytes, opts.ResponseBodyBytes, maxBufferBytes>>20)
	w := tabwriter.NewWriter(cfg.Out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "\n\ttime of unlimited callers\ttime of all\tMB/s of unlimited callers\tCPU per GiB\tpeak memory\tpeak descriptors\tnot served")
	for _, target := range []*benchTarget{
		{name: "barleydrum", start: func(int) (*process, error) { return l.startStreamSidecar(opts) }},
		{name: "httputil.ReverseProxy", start: func(int) (*process, error) { return l.startReferenceProxy(reverseProxyCommand, 0) }},
	} {
		if err := l.runStreams(ctx, target, opts, w); err != nil {
			return err
		}
	}
	return w.Flush()
}

// startStreamSidecar starts the program with an operators' file only, without a platform's configuration.
func (l *comparison) startStreamSidecar(opts StreamOptions) (*process, error) {
	addrs, err := freeAddresses(1)
	if err != nil {
		return nil, err
	}
	callerConnections := opts.ConcurrentStreams + 16
	text := fmt.Sprintf(`schema = 1
[application]
name = "bulk"
tier = "bulk"
listen = %q
discovery = %q
[callers]
connections = %d
max_head = "4KiB"
max_body = "16KiB"
[endpoints]
connect_time = "2s"
max_answer = "16KiB"
[streams]
max_body = "1GiB"
max_answer = "1GiB"
open = %d
[limits]
memory = "%dMiB"
sockets = %d
[fleet]
reports = "none"
[class.%s]
wanted = "9m"
deadline = "10m"
semantics = "keyed"
scope = "all"
repeat_window = "1h"
attempts = 3
retry_within = "8m"
`, addrs[0], l.discovery[0].Addr(), callerConnections, opts.ConcurrentStreams, streamMemoryBytes>>20, 2*callerConnections+64, className)
	if err := os.WriteFile(l.path("bulk.toml"), []byte(text), 0o644); err != nil {
		return nil, err
	}
	return startProcess(l.cfg.Dir, "bulk", addrs[0], l.program, []string{"-settings", l.path("bulk.toml")}, []string{"PROXY_CONFIG="})
}

// runStreams starts a target, sends all requests of opts at once, and writes the target's row of the table
// to w.
func (l *comparison) runStreams(ctx context.Context, target *benchTarget, opts StreamOptions, w *tabwriter.Writer) error {
	p, err := l.startAndWait(ctx, target, 0)
	if err != nil {
		return err
	}
	var allCallers, unlimitedCallers sync.WaitGroup
	var notServed atomic.Int64
	var firstErr atomic.Pointer[error]
	startedAt := time.Now()
	for i := range opts.ConcurrentStreams {
		l.lastCallerID++
		caller := fake.LargeBodyCaller{
			Addr: p.addr, Class: className, Path: "order", ID: fmt.Sprintf("%016x", l.lastCallerID), BodyBytes: opts.RequestBodyBytes, ResponseBytes: opts.ResponseBodyBytes, Timeout: 5 * time.Minute,
		}
		if opts.SlowEvery > 0 && i%opts.SlowEvery == 0 {
			caller.BytesPerSecond = opts.SlowBytesPerSecond
		} else {
			unlimitedCallers.Add(1)
		}
		allCallers.Add(1)
		go func() {
			defer allCallers.Done()
			if err := caller.Do(); err != nil {
				notServed.Add(1)
				firstErr.CompareAndSwap(nil, &err)
			}
			if caller.BytesPerSecond == 0 {
				unlimitedCallers.Done()
			}
		}()
	}
	stopCounting, peakDescriptors := make(chan struct{}), make(chan int, 1)
	go func() {
		peak := 0
		for {
			if entries, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", p.cmd.Process.Pid)); err == nil {
				peak = max(peak, len(entries))
			}
			select {
			case <-stopCounting:
				peakDescriptors <- peak
				return
			case <-time.After(50 * time.Millisecond):
			}
		}
	}()
	unlimitedCallers.Wait()
	unlimitedElapsed := time.Since(startedAt)
	allCallers.Wait()
	totalElapsed := time.Since(startedAt)
	close(stopCounting)
	peakKB, err := p.peakKB()
	if err != nil {
		return err
	}
	if err := p.stop(); err != nil {
		return err
	}
	if errPtr := firstErr.Load(); errPtr != nil {
		l.logf("%s: first request that was not served: %v", target.name, *errPtr)
	}
	unlimitedCount := opts.ConcurrentStreams
	if opts.SlowEvery > 0 {
		unlimitedCount -= (opts.ConcurrentStreams + opts.SlowEvery - 1) / opts.SlowEvery
	}
	bytesPerStream := float64(opts.RequestBodyBytes + opts.ResponseBodyBytes)
	fmt.Fprintf(w, "%s\t%v\t%v\t%.0f\t%v\t%.1f MB\t%d\t%d\n", target.name, unlimitedElapsed.Round(10*time.Millisecond), totalElapsed.Round(10*time.Millisecond),
		float64(unlimitedCount)*bytesPerStream/(1<<20)/unlimitedElapsed.Seconds(), (time.Duration(float64(p.cpuTime()) / (float64(opts.ConcurrentStreams) * bytesPerStream / (1 << 30)))).Round(time.Millisecond),
		float64(peakKB)/1024, <-peakDescriptors, notServed.Load())
	return ctx.Err()
}
