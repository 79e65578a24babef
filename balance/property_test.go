package balance

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// world feeds a balancer legal events drawn from a source of bytes and checks the rules on what it does.
// It models no servers: outcomes are arbitrary.
type world struct {
	t      *testing.T
	src    func(n int) int
	b      *Balancer
	now    time.Duration
	cfg    Config
	nextID RequestID
	reqs   map[RequestID]*tracked
	ids    []RequestID
	out    []flight
	probes []EndpointID
	timers []ring
	states map[EndpointID]Endpoint
	conns  map[EndpointID]*conn
	askBy  time.Duration // when discovery must have been asked; 0 with a subscription
	log    []Action
}

// conn is what a sidecar has open to an endpoint.
type conn struct {
	idle bool // a connection that carries nothing is open
	used int  // calls and probes that are out
	last time.Duration
}

// conn is an endpoint's connections, noting that something happened there.
func (w *world) conn(id EndpointID) *conn {
	c := w.conns[id]
	if c == nil {
		c = &conn{}
		w.conns[id] = c
	}
	c.last = w.now
	return c
}

type tracked struct {
	class    int
	arrived  time.Duration
	deadline time.Duration
	reruns   int // sent again with nothing out, after an attempt that may have run
	closed   bool
	attempts []sentTo
}

type sentTo struct {
	to       EndpointID
	at       time.Duration
	out      bool
	provenNo bool
}

type flight struct {
	req     RequestID
	attempt int
}

type ring struct {
	at    time.Duration
	timer Timer
}

func newWorld(t *testing.T, src func(n int) int) *world {
	cfg := config()
	cfg.Classes[1].Scope = Scope(src(3))
	cfg.Limits.Hedging = src(3) > 0
	cfg.Limits.Cancel = src(3) > 0
	cfg.Limits.MaxAttempts = 1 + src(5)
	cfg.MustSubscribe = src(2) == 0
	cfg.Reporting = Reporting(src(3))
	if src(2) == 0 {
		cfg.Costs.Probe = 0.01
	}
	cfg.WeightMeaning = WeightMeaning(src(4))
	if src(2) == 0 {
		cfg.MaxDrainIdleTime = 500 * ms
	}
	for i := range cfg.Classes {
		if c := &cfg.Classes[i]; src(2) == 0 {
			c.MaxAttempts, c.MaxRetries, c.NoHedging = src(4), src(4)-1, src(2) == 0
			c.RetryStartWindow = time.Duration(src(2)*src(900)) * ms
		}
	}
	cfg.MaxSubscribeDelay = time.Duration(1+src(10)) * time.Second
	w := &world{t: t, src: src, cfg: cfg, now: time.Hour, conns: make(map[EndpointID]*conn),
		reqs: make(map[RequestID]*tracked), states: make(map[EndpointID]Endpoint)}
	b, err := New(cfg, uint64(src(1<<16)))
	if err != nil {
		t.Fatal(err)
	}
	w.b = b
	if cfg.MustSubscribe {
		w.askBy = w.now + cfg.MaxSubscribeDelay
	}
	w.list(ListLastKnown)
	return w
}

func (w *world) list(kind ListKind) {
	var list []Endpoint
	if kind != ListChanges {
		clear(w.states)
	}
	for range w.src(12) {
		id := 1 + w.src(15)
		e := Endpoint{
			ID: EndpointID(id), Zone: id % 2, Cell: id % 4, State: EndpointState(w.src(3)), Weight: float64(w.src(5)),
		}
		if w.src(3) == 0 {
			e.StartedAt = w.now - time.Duration(w.src(20))*time.Second
		}
		list = append(list, e)
		w.states[e.ID] = e
		if e.State == Draining && w.conns[e.ID] != nil {
			w.conn(e.ID)
		}
	}
	w.take(w.b.EndpointsUpdated(w.now, kind, list, nil))
}

// step plays one event.
func (w *world) step() {
	switch w.src(10) {
	case 0, 1:
		w.nextID++
		q := Request{ID: w.nextID, Class: w.src(len(w.cfg.Classes)), Timeout: time.Duration(w.src(3000)) * ms,
			ExpectedWork: time.Duration(w.src(3)) * 50 * ms}
		w.reqs[q.ID] = &tracked{class: q.Class, arrived: w.now, deadline: w.now + q.Timeout}
		w.ids = append(w.ids, q.ID)
		w.take(w.b.RequestArrived(w.now, q, nil))
	case 2, 3, 4:
		if len(w.out) > 0 {
			w.end(w.src(len(w.out)), Result(w.src(8)))
		}
	case 5:
		if len(w.probes) > 0 {
			i := w.src(len(w.probes))
			id := w.probes[i]
			w.probes = slices.Delete(w.probes, i, i+1)
			c := w.conn(id)
			c.used, c.idle = c.used-1, true
			var load *Load
			if w.src(4) > 0 {
				load = &Load{InFlight: float64(w.src(3))}
			}
			w.take(w.b.ProbeEnded(w.now, id, Result(w.src(2)*w.src(8)), load, nil))
		}
	case 6:
		if w.src(4) == 0 && w.cfg.MustSubscribe && w.askBy == 0 {
			w.askBy = w.now + 4*w.cfg.MaxSubscribeDelay
			w.take(w.b.EndpointsUpdated(w.now, ListUnavailable, nil, nil))
			break
		}
		w.list(ListKind(w.src(4)) % 2)
	case 7:
		if len(w.ids) > 0 {
			id := w.ids[w.src(len(w.ids))]
			if q := w.reqs[id]; !q.closed && w.src(3) == 0 {
				q.closed = true
				w.take(w.b.RequestAbandoned(w.now, id, nil))
			}
		}
	case 8: // an event about nothing that is known
		w.take(w.b.RequestAbandoned(w.now, RequestID(1<<40), nil))
		w.take(w.b.AttemptEnded(w.now, Outcome{Request: RequestID(w.src(50)), Attempt: 90, Endpoint: 99}, nil))
		w.take(w.b.ProbeEnded(w.now, 99, OK, nil, nil))
		w.take(w.b.TimerFired(w.now, Timer{Kind: uint8(w.src(9)), Ref: uint64(w.src(40))}, nil))
		w.take(w.b.SetClassLimits(w.now, 99, Class{}, nil))
		w.bound(w.src(len(w.cfg.Classes)))
	case 9:
		w.pass(time.Duration(w.src(400)) * ms)
	}
}

// bound changes a class's bounds but Retries, of which a request may have been granted one already.
func (w *world) bound(class int) {
	c := &w.cfg.Classes[class]
	c.MaxAttempts, c.NoHedging, c.RetryStartWindow = w.src(4), w.src(2) == 0, time.Duration(w.src(2)*w.src(900))*ms
	w.take(w.b.SetClassLimits(w.now, class, *c, nil))
}

// pass lets time go by, ringing timers on the way.
func (w *world) pass(d time.Duration) {
	until := w.now + d
	for {
		i := -1
		for j, r := range w.timers {
			if r.at <= until && (i < 0 || r.at < w.timers[i].at) {
				i = j
			}
		}
		if i < 0 {
			break
		}
		r := w.timers[i]
		w.timers = slices.Delete(w.timers, i, i+1)
		w.now = max(w.now, r.at)
		w.take(w.b.TimerFired(w.now, r.timer, nil))
		w.checkDeadlines()
	}
	w.now = until
	w.checkDeadlines()
}

func (w *world) checkDeadlines() {
	for _, id := range w.ids {
		if q := w.reqs[id]; !q.closed && w.now > q.deadline {
			w.t.Fatalf("request %d has no final answer by its deadline", id)
		}
	}
	if w.askBy > 0 && w.now > w.askBy {
		w.t.Fatalf("discovery was not asked by %v", w.askBy)
	}
	for id, c := range w.conns {
		if w.cfg.MaxDrainIdleTime > 0 && w.states[id].State == Draining && c.idle && c.used == 0 &&
			w.now-c.last > w.cfg.MaxDrainIdleTime {
			w.t.Fatalf("an idle connection to %d, which drains, is open after %v", id, w.now-c.last)
		}
	}
}

func (w *world) end(i int, res Result) {
	f := w.out[i]
	w.out = slices.Delete(w.out, i, i+1)
	q := w.reqs[f.req]
	a := &q.attempts[f.attempt]
	a.out = false
	a.provenNo = res == Rejected || res == ConnectFailed || res == NotSent
	if res == OK {
		q.closed = true
	}
	c := w.conn(a.to)
	c.used, c.idle = c.used-1, true
	w.take(w.b.AttemptEnded(w.now, Outcome{Request: f.req, Attempt: f.attempt, Endpoint: a.to, Result: res,
		RequestFinished: q.closed, Elapsed: w.now - a.at}, nil))
}

// take checks actions against the rules.
func (w *world) take(acts []Action) {
	w.log = append(w.log, acts...)
	for _, a := range acts {
		q := w.reqs[a.Request]
		switch a.Kind {
		case Send:
			w.checkSend(a, q)
			q.attempts = append(q.attempts, sentTo{to: a.Endpoint, at: w.now, out: true})
			w.out = append(w.out, flight{a.Request, len(q.attempts) - 1})
			w.conn(a.Endpoint).used++
		case Shed, Fail:
			if q.closed {
				w.t.Fatalf("request %d: a second final answer", a.Request)
			}
			q.closed = true
			c := w.cfg.Classes[q.class]
			for _, s := range q.attempts {
				if a.Kind == Shed && !s.provenNo &&
					(c.Semantics == Unsafe || c.Semantics == Keyed && c.Scope != ScopeAll) {
					w.t.Fatalf("request %d of class %d was shed though it may have run", a.Request, q.class)
				}
			}
		case Cancel:
			if !w.cfg.Limits.Cancel || a.Attempt >= len(q.attempts) {
				w.t.Fatalf("bad cancel %+v", a)
			}
		case SetTimer:
			if a.Delay <= 0 {
				w.t.Fatalf("timer in the past: %+v", a)
			}
			w.timers = append(w.timers, ring{w.now + a.Delay, a.Timer})
		case Probe:
			if _, ok := w.states[a.Endpoint]; !ok {
				w.t.Fatalf("probe of %d, which is not listed", a.Endpoint)
			}
			w.probes = append(w.probes, a.Endpoint)
			w.conn(a.Endpoint).used++
		case Subscribe:
			w.askBy = 0
		case CloseIdle:
			w.conn(a.Endpoint).idle = false
		}
	}
}

func (w *world) checkSend(a Action, q *tracked) {
	e, listed := w.states[a.Endpoint]
	c := w.cfg.Classes[q.class]
	switch {
	case q.closed:
		w.t.Fatalf("request %d was sent after its final answer", a.Request)
	case !listed || e.State != InService:
		w.t.Fatalf("request %d was sent to %d: listed %v, state %d", a.Request, a.Endpoint, listed, e.State)
	case len(q.attempts) >= w.cfg.Limits.MaxAttempts:
		w.t.Fatalf("request %d: over %d attempts", a.Request, w.cfg.Limits.MaxAttempts)
	case c.MaxAttempts > 0 && len(q.attempts) >= c.MaxAttempts:
		w.t.Fatalf("request %d: over the %d attempts of its class", a.Request, c.MaxAttempts)
	case len(q.attempts) > 0 && c.RetryStartWindow > 0 && w.now >= q.arrived+c.RetryStartWindow:
		w.t.Fatalf("request %d was sent again %v after it came, over %v", a.Request, w.now-q.arrived, c.RetryStartWindow)
	case w.now > q.deadline:
		w.t.Fatalf("request %d was sent after its deadline", a.Request)
	}
	ran, out := false, false
	for _, s := range q.attempts {
		ran, out = ran || !s.provenNo, out || s.out
	}
	if ran && !out {
		if q.reruns++; c.MaxRetries < 0 || c.MaxRetries > 0 && q.reruns > c.MaxRetries {
			w.t.Fatalf("request %d: retry %d after it may have run, of %d", a.Request, q.reruns, c.MaxRetries)
		}
	}
	for i, s := range q.attempts {
		if s.provenNo {
			continue
		}
		here, there := int(s.to), int(e.ID)
		switch {
		case s.out && (!w.cfg.Limits.Hedging || c.NoHedging):
			w.t.Fatalf("request %d: a second copy, though attempt %d is out", a.Request, i)
		case c.Semantics == Unsafe:
			w.t.Fatalf("unsafe request %d was sent again", a.Request)
		case c.Semantics == Keyed && w.now-s.at >= c.RepeatWindow:
			w.t.Fatalf("keyed request %d was sent again %v after attempt %d", a.Request, w.now-s.at, i)
		case c.Semantics == Keyed && c.Scope == ScopeZone && here%2 != there%2,
			c.Semantics == Keyed && c.Scope == ScopeCell && here%4 != there%4:
			w.t.Fatalf("keyed request %d left its group", a.Request)
		}
	}
}

// play runs a world for some steps, then lets everything end, and returns all actions.
func play(t *testing.T, steps int, src func(n int) int) []Action {
	w := newWorld(t, src)
	for range steps {
		w.step()
	}
	w.pass(10 * time.Second)
	for len(w.out) > 0 {
		w.end(0, Timeout)
	}
	w.pass(10 * time.Second)
	if n := len(w.b.requests); n > 0 {
		t.Fatalf("%d requests are kept after all has ended", n)
	}
	return w.log
}

func TestRulesHoldOnArbitraryEvents(t *testing.T) {
	for seed := range uint64(400) {
		run := func() []Action {
			rng := rand.New(rand.NewPCG(seed, 2))
			return play(t, 400, rng.IntN)
		}
		if first, second := run(), run(); !slices.Equal(first, second) {
			t.Fatalf("seed %d: the same events gave other actions", seed)
		}
	}
}

func FuzzRules(f *testing.F) {
	f.Add([]byte{1, 2, 3, 4, 5, 6, 7, 8, 9, 10})
	f.Fuzz(func(t *testing.T, data []byte) {
		i := 0
		src := func(n int) int {
			if len(data) == 0 {
				return 0
			}
			v := int(data[i%len(data)]) + i/len(data)*7
			i++
			return v % n
		}
		play(t, min(len(data), 2000), src)
	})
}
