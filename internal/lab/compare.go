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

// side is one of the programs that are compared.
type side struct {
	name  string
	begin func(round int) (*process, error) // nil for none: callers ask the nodes themselves

	answers      int64
	took         *hdrhistogram.Histogram // in microseconds
	elapsed, cpu time.Duration
	peakKB       int64
	wrong        int64
	rounds       []float64 // answers a second of each

	baseKB, idleKB, openKB int64 // resident memory: at the start, with idle callers, with open calls
	open                   int   // calls that were open then
}

// most is the longest time that histograms tell apart from longer ones, in microseconds.
const most = 60_000_000

func newHistogram() *hdrhistogram.Histogram { return hdrhistogram.New(1, most, 3) }

// comparison is one run of Compare.
type comparison struct {
	lab
	how   CompareOptions
	quick []*fake.BenchNode
	addrs []string
	ids   uint64
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
	l := &comparison{lab: lab{cfg: cfg, calls: fake.NewCaller(1)}, how: how}
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
		l.quick = append(l.quick, q)
		l.addrs = append(l.addrs, q.Addr())
		l.discovery[0].Update(discovery.Instance{ID: fmt.Sprintf("n-%d", i), HostPort: q.Addr(), Zone: zones[0], Lifecycle: "up"})
	}
	sides := []*side{
		{name: "no proxy"},
		{name: "barleydrum, probing", begin: func(round int) (*process, error) { return l.sidecar("pull", round) }},
		{name: "barleydrum, no reports", begin: func(round int) (*process, error) { return l.sidecar("silent", round) }},
		{name: "httputil.ReverseProxy", begin: func(round int) (*process, error) { return l.rival(reverseProxyCommand, round) }},
		{name: "fasthttp proxy", begin: func(round int) (*process, error) { return l.rival(fastProxyCommand, round) }},
	}
	length := cfg.Duration / time.Duration(how.Rounds*len(sides))
	l.say("%d rounds of %v a side, %d callers, %d nodes that answer at once, %d and %d bytes of body, %v to think, %d cores ...",
		how.Rounds, length.Round(time.Millisecond), how.Callers, how.Nodes, how.RequestBodyBytes, how.ResponseBodyBytes, how.ThinkTime, runtime.NumCPU())
	for _, s := range sides {
		s.took = newHistogram()
	}
	for round := range how.Rounds {
		for _, s := range sides {
			if err := l.round(ctx, s, round, length); err != nil {
				return err
			}
		}
	}
	for _, s := range sides {
		if how.OpenConnections > 0 && s.begin != nil {
			if err := l.memory(ctx, s); err != nil {
				return err
			}
		}
	}
	return l.table(sides)
}

// prepare makes the folder, builds the program unless it is given, and starts discovery.
func (l *comparison) prepare(ctx context.Context) (err error) {
	if err := os.MkdirAll(l.cfg.Dir, 0o755); err != nil {
		return err
	}
	if l.program = l.cfg.Program; l.program == "" {
		l.say("building the program ...")
		if l.program, err = build(ctx, l.cfg.Dir); err != nil {
			return err
		}
	}
	l.discovery[0], err = fake.NewDiscovery("127.0.0.1:0", false)
	return err
}

// sidecar starts the program.
func (l *comparison) sidecar(reports string, round int) (*process, error) {
	name := fmt.Sprintf("%s-%d", reports, round)
	at, err := freeAddresses(1)
	if err != nil {
		return nil, err
	}
	sockets := max(3*(max(l.how.Callers, l.how.OpenConnections)+16)+64, sidecarSockets)
	text, err := platform(name, at[0], 0, 0, 0, 1, sockets, l.discovery[0].Addr(), l.discovery[0].List(), reports)
	if err != nil {
		return nil, err
	}
	if err := os.WriteFile(l.file(name+".json"), text, 0o644); err != nil {
		return nil, err
	}
	return begin(l.cfg.Dir, name, at[0], l.program, nil,
		[]string{"PROXY_CONFIG=" + l.file(name+".json"), "PROXY_NAME=", "PROXY_LISTEN=", "PROXY_DISCOVERY="})
}

// rival starts one of the others.
func (l *comparison) rival(command string, round int) (*process, error) {
	at, err := freeAddresses(1)
	if err != nil {
		return nil, err
	}
	self, err := os.Executable()
	if err != nil {
		return nil, err
	}
	return begin(l.cfg.Dir, fmt.Sprintf("%s-%d", command, round), at[0], self,
		[]string{command, "-listen", at[0], "-nodes", strings.Join(l.addrs, ",")}, []string{"GOMAXPROCS=1"})
}

// up starts a side and waits until it is ready.
func (l *comparison) up(ctx context.Context, s *side, round int) (*process, error) {
	p, err := s.begin(round)
	if err != nil {
		return nil, err
	}
	wait, cancel := context.WithTimeout(ctx, 20*time.Second)
	defer cancel()
	if err := p.ready(wait); err != nil {
		p.kill()
		return nil, err
	}
	return p, nil
}

// caller connects a caller of its own ids.
func (l *comparison) caller(addr, path string) (*fake.BenchCaller, error) {
	l.ids++
	return fake.NewBenchCaller(addr, class, path, l.how.RequestBodyBytes, deadlineMS*time.Millisecond, l.ids<<32)
}

// round runs a side once.
func (l *comparison) round(ctx context.Context, s *side, round int, length time.Duration) error {
	var p *process
	if s.begin != nil {
		var err error
		if p, err = l.up(ctx, s, round); err != nil {
			return err
		}
	}
	callers := make([]*fake.BenchCaller, l.how.Callers)
	for i := range callers {
		addr := l.addrs[i%len(l.addrs)]
		if p != nil {
			addr = p.addr
		}
		var err error
		if callers[i], err = l.caller(addr, "order"); err != nil {
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
				} else if err := took[i].RecordValue(min(max(now.Sub(at).Microseconds(), 1), most)); err != nil {
					errs[i] = err
					return
				}
				if at = now; l.how.ThinkTime > 0 {
					time.Sleep(l.how.ThinkTime)
					at = time.Now()
				}
			}
		}()
	}
	wg.Wait()
	elapsed := time.Since(began)
	if p != nil {
		peak, err := p.peak()
		if err := errors.Join(err, p.stop()); err != nil {
			return err
		}
		s.cpu += p.used()
		s.peakKB = max(s.peakKB, peak)
	}
	if err := errors.Join(errs...); err != nil {
		return fmt.Errorf("lab: %s: %w", s.name, err)
	}
	var answers int64
	for i := range callers {
		answers += took[i].TotalCount()
		s.took.Merge(took[i])
		s.wrong += wrong[i]
	}
	s.answers += answers
	s.elapsed += elapsed
	s.rounds = append(s.rounds, float64(answers)/elapsed.Seconds())
	return ctx.Err()
}

// memory measures what a side holds with many callers that are idle, and with as many whose
// requests are open.
func (l *comparison) memory(ctx context.Context, s *side) error {
	p, err := l.up(ctx, s, l.how.Rounds)
	if err != nil {
		return err
	}
	if s.baseKB, err = p.resident(); err != nil {
		return err
	}
	var mu sync.Mutex
	answered := 0
	ask := func(path string, open bool) error {
		for range l.how.OpenConnections {
			c, err := l.caller(p.addr, path)
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
			s.idleKB, err = p.resident()
			return err
		}
		time.Sleep(fake.BenchHoldTime / 2)
		mu.Lock()
		s.open = l.how.OpenConnections - answered
		mu.Unlock()
		s.openKB, err = p.resident()
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

func (l *comparison) table(sides []*side) error {
	w := tabwriter.NewWriter(l.cfg.Out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "\n\tanswers/s (least, most)\tCPU an answer\tp50\tp99\tp99.9\tpeak memory\tnot served")
	for _, s := range sides {
		slices.Sort(s.rounds)
		at := func(q float64) time.Duration { return time.Duration(s.took.ValueAtQuantile(q)) * time.Microsecond }
		cpu, peak := "", ""
		if s.begin != nil {
			cpu = (s.cpu / time.Duration(max(s.answers, 1))).Round(100 * time.Nanosecond).String()
			peak = strconv.FormatFloat(float64(s.peakKB)/1024, 'f', 1, 64) + " MB"
		}
		fmt.Fprintf(w, "%s\t%.0f (%.0f, %.0f)\t%s\t%v\t%v\t%v\t%s\t%d\n", s.name, float64(s.answers)/s.elapsed.Seconds(),
			s.rounds[0], s.rounds[len(s.rounds)-1], cpu, at(50), at(99), at(99.9), peak, s.wrong)
	}
	if err := w.Flush(); err != nil {
		return err
	}
	if l.how.OpenConnections > 0 {
		fmt.Fprintf(w, "\nresident memory\tat the start\twith %d idle callers\twith as many calls\tof them open\n", l.how.OpenConnections)
		for _, s := range sides {
			if s.begin != nil {
				fmt.Fprintf(w, "%s\t%.1f MB\t%.1f MB\t%.1f MB\t%d\n", s.name, float64(s.baseKB)/1024, float64(s.idleKB)/1024, float64(s.openKB)/1024, s.open)
			}
		}
		if err := w.Flush(); err != nil {
			return err
		}
	}
	_, err := io.WriteString(l.cfg.Out, "\nCPU and memory are whole processes', start and end included; nodes and callers share the machine.\n")
	return err
}
