package engine

import (
	"io"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"pgregory.net/rapid"

	"barleydrum.example/barleydrum/balance"
	"barleydrum.example/barleydrum/internal/config"
	"barleydrum.example/barleydrum/internal/discovery"
	"barleydrum.example/barleydrum/internal/fake"
	"barleydrum.example/barleydrum/internal/http1"
	"barleydrum.example/barleydrum/internal/upstream"
)

// testTimeout is how long a test waits for what must happen: no verdict leans on it being short.
const testTimeout = 20 * time.Second

func newEngine(t *testing.T, known discovery.List) *Engine {
	t.Helper()
	e, err := New(fake.NewConfig(t, known))
	if err != nil {
		t.Fatal(err)
	}
	return e
}

// newCall returns a keyed call as a server makes it.
func newCall(t *testing.T, e *Engine, wait time.Duration) *Call {
	t.Helper()
	c := e.NewCall()
	c.Class, c.Timeout, c.Deadline = e.cfg.ClassIndex["book"], wait, time.Now().Add(wait)
	c.Head, c.Body = http1.NewRequest(http1.DefaultLimits), []byte("x")
	if n, err := c.Head.Parse([]byte("POST /api/a HTTP/1.1\r\nHost: a\r\nX-Request-ID: 1\r\nContent-Length: 1\r\n\r\n")); n == 0 || err != nil {
		t.Fatal(n, err)
	}
	return c
}

// parseSettings reads an operators' file; the part that all need is added.
func parseSettings(t *testing.T, text string) *config.Settings {
	t.Helper()
	s, bad := config.ParseSettings("test", []byte("schema = 1\n[application]\nname = \"test\"\n"+text))
	if len(bad) > 0 {
		t.Fatal(bad)
	}
	return s
}

func waitFor(t *testing.T, c <-chan struct{}, what string) {
	t.Helper()
	select {
	case <-c:
	case <-time.After(testTimeout):
		t.Fatalf("%s: not within %v", what, testTimeout)
	}
}

// The probe goes to the path and is waited for as long as the file says.
func TestProbeUsesPathAndTimeoutFromSettings(t *testing.T) {
	paths := make(chan string, 1)
	addr := fake.StartHTTPServer(t, func(w http.ResponseWriter, r *http.Request) {
		paths <- r.URL.Path
		if r.URL.Path == "/late" {
			<-r.Context().Done()
		}
		io.WriteString(w, "TEXT inflight=3, queue=0, util=0.5")
	})
	c := config.Merge(fake.NewConfig(t, discovery.List{}).Platform, parseSettings(t, "[probe]\npath = \"/how-busy\"\ntime = \"10s\"\n"))
	set := newCurrentSettings(c.Settings)
	p, to := newPool(c, set), &upstream.Route{Addr: addr}
	defer p.CloseIdleConnections(to, false)
	probe := func() (balance.Result, *balance.Load) {
		return p.Probe(to, c.ProbePath(set.Load()), set.Load().Probe.Timeout)
	}
	if got, load := probe(); <-paths != "/how-busy" || got != balance.OK || load.InFlight != 3 {
		t.Errorf("%d %+v", got, load)
	}
	set.Store(parseSettings(t, "[probe]\npath = \"/late\"\ntime = \"5ms\"\n"))
	if got, _ := probe(); <-paths != "/late" || got != balance.Timeout {
		t.Errorf("%d", got)
	}
	if got := c.ProbePath(config.DefaultSettings()); got != "/load" {
		t.Errorf("by default %s", got)
	}
	c.BalancerConfig.Reporting = balance.ReportsNone
	if got := c.ProbePath(config.DefaultSettings()); got != "/healthz" {
		t.Errorf("without reports %s", got)
	}
}

// The heap of timers against a sorted list.
func TestTimerHeapMatchesSortedList(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var h timerHeap
		var model []time.Duration
		t.Repeat(map[string]func(*rapid.T){
			"push": func(t *rapid.T) {
				at := time.Duration(rapid.IntRange(0, 50).Draw(t, "at"))
				h.push(scheduledTimer{at, balance.Timer{Ref: uint64(at)}})
				model = append(model, at)
				slices.Sort(model)
			},
			"pop": func(t *rapid.T) {
				if len(model) == 0 {
					t.Skip("none")
				}
				if got := h.pop(); got.dueAt != model[0] || got.timer.Ref != uint64(got.dueAt) {
					t.Fatalf("%v, want %v", got, model[0])
				}
				model = model[1:]
			},
			"": func(t *rapid.T) {
				if len(h) != len(model) || len(h) > 0 && h[0].dueAt != model[0] {
					t.Fatalf("%v, want %v", h, model)
				}
			},
		})
	})
}

// waitUntilDrained waits until an engine holds no call.
func waitUntilDrained(t *testing.T, e *Engine) {
	t.Helper()
	for end := time.Now().Add(testTimeout); ; time.Sleep(time.Millisecond) {
		s := e.Stats()
		if s.OpenCalls == 0 && s.AttemptsInFlight == 0 {
			return
		}
		if time.Now().After(end) {
			t.Fatalf("left: %+v", s)
		}
	}
}

// A call whose goroutine carries an attempt is answered at once when another attempt, or the
// balancer, has the answer; the attempt goes on elsewhere and leaves nothing behind.
func TestServeReturnsWhileItsInlineAttemptContinues(t *testing.T) {
	began, finish := make(chan struct{}, 1), make(chan struct{})
	release := sync.OnceFunc(func() { close(finish) })
	var first atomic.Bool
	e := newEngine(t, fake.EndpointList(fake.StartHTTPServer(t, func(_ http.ResponseWriter, r *http.Request) {
		io.Copy(io.Discard, r.Body)
		if first.CompareAndSwap(false, true) { // so that a connection stands idle
			return
		}
		began <- struct{}{}
		<-finish
	})))
	defer release() // before the node's end, which waits for its handlers
	c := newCall(t, e, testTimeout)
	if f := e.Serve(c, false); f.ServedBy == nil {
		t.Fatalf("%+v", f)
	}
	e.ReleaseCall(c)
	c = newCall(t, e, 10*testTimeout) // its own end must not pass for the answer
	finals := make(chan FinalResult, 1)
	go func() { finals <- e.Serve(c, false) }()
	waitFor(t, began, "attempt")
	e.mu.Lock()
	if c.inlineAttempt == nil {
		t.Error("the call's goroutine does not carry the attempt")
	}
	e.finishCall(c, FinalResult{Refused: true}, "the test")
	e.mu.Unlock()
	select {
	case f := <-finals:
		if !f.Refused {
			t.Errorf("%+v", f)
		}
	case <-time.After(testTimeout):
		t.Fatal("it waits for its own attempt")
	}
	e.ReleaseCall(c)
	release()
	waitUntilDrained(t, e)
}

// What has its answer before its first byte went out stays here.
func TestFinishedCallSendsNoAttempt(t *testing.T) {
	e := newEngine(t, fake.EndpointList(fake.StartHTTPServer(t, func(http.ResponseWriter, *http.Request) { t.Error("it went out") })))
	c := newCall(t, e, testTimeout)
	x, answered := e.startCall(c, false)
	if x == nil || answered {
		t.Fatalf("%v %v: no attempt to carry", x, answered)
	}
	e.abandon(c, "the test") // its caller goes between the decision and the first byte
	x.ConnectAndRun()
	if _, answered := e.attemptEnded(x); !answered || x.Result() != balance.NotSent {
		t.Errorf("answered %v, result %d", answered, x.Result())
	}
	waitUntilDrained(t, e)
}

// A call that is abandoned before the engine has it is never handed to the balancer.
func TestServeSkipsBalancerForDisconnectedCaller(t *testing.T) {
	e := newEngine(t, fake.EndpointList("127.0.0.1:1"))
	for _, early := range []bool{false, true} {
		c := newCall(t, e, testTimeout)
		if early {
			c.Cancel()
		}
		if f := e.Serve(c, !early); f.ServedBy != nil || f.Refused || e.Stats().CallsTotal != 0 {
			t.Errorf("%+v, %+v", f, e.Stats())
		}
		e.ReleaseCall(c)
	}
}

// A call that nobody takes fails when its caller's time is up, whatever the balancer does.
func TestCallFailsAtCallerDeadline(t *testing.T) {
	e := newEngine(t, fake.EndpointList(fake.StartHTTPServer(t, func(_ http.ResponseWriter, r *http.Request) {
		io.Copy(io.Discard, r.Body)
		<-r.Context().Done()
	})))
	c := newCall(t, e, testTimeout)
	c.Deadline = time.Now().Add(50 * time.Millisecond) // sooner than the balancer is told
	if f := e.Serve(c, false); f.ServedBy != nil || f.Refused {
		t.Errorf("%+v", f)
	}
	e.ReleaseCall(c)
	waitUntilDrained(t, e)
}

// What an endpoint has begun to read goes on as the endpoint drains; what has not gone out by
// then goes to another.
func TestAttemptInFlightCompletesWhileEndpointDrains(t *testing.T) {
	began, finish := make(chan struct{}), make(chan struct{})
	list := fake.EndpointList(fake.StartHTTPServer(t, func(w http.ResponseWriter, r *http.Request) {
		io.Copy(io.Discard, r.Body)
		close(began)
		<-finish
		io.WriteString(w, "old")
	}))
	e := newEngine(t, list)
	c := newCall(t, e, testTimeout)
	finals := make(chan FinalResult, 1)
	go func() { finals <- e.Serve(c, false) }()
	waitFor(t, began, "attempt")
	list.Instances[0].Lifecycle = "draining"
	e.UpdateEndpoints(&list)
	close(finish)
	if f := <-finals; f.ServedBy == nil || string(f.ServedBy.ResponseBody()) != "old" {
		t.Errorf("%+v", f)
	}
	e.ReleaseCall(c)
	waitUntilDrained(t, e)
}
