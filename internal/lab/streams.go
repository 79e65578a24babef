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

// StreamOptions says how programs are compared that pass on long bodies.
type StreamOptions struct {
	ConcurrentStreams, Nodes            int
	RequestBodyBytes, ResponseBodyBytes int64 // bytes up and down
	SlowEvery                           int   // every so manieth caller is slow, 0 for none
	SlowBytesPerSecond                  int64 // bytes a second of a slow one, either way
}

// Validate returns an error that names the first value that can't be used.
func (s StreamOptions) Validate() error {
	for _, v := range []struct {
		name      string
		n, lo, hi int64
	}{
		{"callers", int64(s.ConcurrentStreams), 1, 2000}, {"nodes", int64(s.Nodes), 1, 500}, {"body", s.RequestBodyBytes, 65 << 10, 1 << 30},
		{"answer", s.ResponseBodyBytes, 65 << 10, 1 << 30}, {"slow", int64(s.SlowEvery), 0, 2000}, {"rate-slow", s.SlowBytesPerSecond, 1 << 10, 1 << 30},
	} {
		if v.n < v.lo || v.n > v.hi {
			return fmt.Errorf("-%s: %d is not from %d to %d", v.name, v.n, v.lo, v.hi)
		}
	}
	return nil
}

// streamMemoryBytes is what the program is given: its settings must fit, see check's rule streams-memory.
const streamMemoryBytes = 128 << 20

// streamWindowBytes is the window that the settings have where they are left out.
const streamWindowBytes = 32 << 10

// CompareStreams measures the program beside the standard library's reverse proxy with long bodies, many at
// once, one core each: how long the quick callers take, CPU, memory and descriptors.
func CompareStreams(ctx context.Context, cfg Config, how StreamOptions) error {
	if err := how.Validate(); err != nil {
		return err
	}
	l := &comparison{lab: lab{cfg: cfg, nodeCaller: fake.NewCaller(1)}}
	defer l.close()
	if err := l.prepare(ctx); err != nil {
		return err
	}
	for i := range how.Nodes {
		s, addr, err := fake.NewLargeBodyServer(how.ResponseBodyBytes)
		if err != nil {
			return err
		}
		defer s.Close()
		l.nodeAddrs = append(l.nodeAddrs, addr)
		l.discovery[0].Update(discovery.Instance{ID: fmt.Sprintf("n-%d", i), HostPort: addr, Zone: zones[0], Lifecycle: "up"})
	}
	held := body.Limits{WindowBytes: streamWindowBytes}.MaxBufferBytes()*int64(how.ConcurrentStreams) + body.BlockSize*int64(how.ConcurrentStreams+16)
	l.logf("%d streams of %d and %d bytes at once; the buffers come to %d MB at the most ...", how.ConcurrentStreams, how.RequestBodyBytes, how.ResponseBodyBytes, held>>20)
	w := tabwriter.NewWriter(cfg.Out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "\n\tquick callers took\tall took\tMB/s of the quick\tCPU a GiB\tpeak memory\tmost descriptors\tnot served")
	for _, s := range []*benchTarget{
		{name: "barleydrum", start: func(int) (*process, error) { return l.startStreamSidecar(how) }},
		{name: "httputil.ReverseProxy", start: func(int) (*process, error) { return l.startReferenceProxy(reverseProxyCommand, 0) }},
	} {
		if err := l.runStreams(ctx, s, how, w); err != nil {
			return err
		}
	}
	return w.Flush()
}

// startStreamSidecar starts the program by an operators' file alone.
func (l *comparison) startStreamSidecar(how StreamOptions) (*process, error) {
	at, err := freeAddresses(1)
	if err != nil {
		return nil, err
	}
	callers := how.ConcurrentStreams + 16
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
`, at[0], l.discovery[0].Addr(), callers, how.ConcurrentStreams, streamMemoryBytes>>20, 2*callers+64, className)
	if err := os.WriteFile(l.path("bulk.toml"), []byte(text), 0o644); err != nil {
		return nil, err
	}
	return startProcess(l.cfg.Dir, "bulk", at[0], l.program, []string{"-settings", l.path("bulk.toml")}, []string{"PROXY_CONFIG="})
}

// runStreams runs a side once.
func (l *comparison) runStreams(ctx context.Context, s *benchTarget, how StreamOptions, w *tabwriter.Writer) error {
	p, err := l.startAndWait(ctx, s, 0)
	if err != nil {
		return err
	}
	var all, quick sync.WaitGroup
	var wrong atomic.Int64
	var first atomic.Pointer[error]
	began := time.Now()
	for i := range how.ConcurrentStreams {
		l.lastCallerID++
		b := fake.LargeBodyCaller{
			Addr: p.addr, Class: className, Path: "order", ID: fmt.Sprintf("%016x", l.lastCallerID), BodyBytes: how.RequestBodyBytes, ResponseBytes: how.ResponseBodyBytes, Timeout: 5 * time.Minute,
		}
		if how.SlowEvery > 0 && i%how.SlowEvery == 0 {
			b.BytesPerSecond = how.SlowBytesPerSecond
		} else {
			quick.Add(1)
		}
		all.Add(1)
		go func() {
			defer all.Done()
			if err := b.Do(); err != nil {
				wrong.Add(1)
				first.CompareAndSwap(nil, &err)
			}
			if b.BytesPerSecond == 0 {
				quick.Done()
			}
		}()
	}
	stop, most := make(chan struct{}), make(chan int, 1)
	go func() {
		n := 0
		for {
			if fds, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", p.cmd.Process.Pid)); err == nil {
				n = max(n, len(fds))
			}
			select {
			case <-stop:
				most <- n
				return
			case <-time.After(50 * time.Millisecond):
			}
		}
	}()
	quick.Wait()
	took := time.Since(began)
	all.Wait()
	total := time.Since(began)
	close(stop)
	peak, err := p.peakKB()
	if err != nil {
		return err
	}
	if err := p.stop(); err != nil {
		return err
	}
	if e := first.Load(); e != nil {
		l.logf("%s: one of those not served: %v", s.name, *e)
	}
	n := how.ConcurrentStreams
	if how.SlowEvery > 0 {
		n -= (how.ConcurrentStreams + how.SlowEvery - 1) / how.SlowEvery
	}
	bytes := float64(how.RequestBodyBytes + how.ResponseBodyBytes)
	fmt.Fprintf(w, "%s\t%v\t%v\t%.0f\t%v\t%.1f MB\t%d\t%d\n", s.name, took.Round(10*time.Millisecond), total.Round(10*time.Millisecond),
		float64(n)*bytes/(1<<20)/took.Seconds(), (time.Duration(float64(p.cpuTime()) / (float64(how.ConcurrentStreams) * bytes / (1 << 30)))).Round(time.Millisecond),
		float64(peak)/1024, <-most, wrong.Load())
	return ctx.Err()
}
