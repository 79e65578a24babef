package balance

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// ruleChecker feeds a balancer legal events drawn from a source of bytes and checks the rules on what it does.
// It models no servers: outcomes are arbitrary.
type ruleChecker struct {
	t                 *testing.T
	draw              func(n int) int
	b                 *Balancer
	now               time.Duration
	cfg               Config
	nextID            RequestID
	requests          map[RequestID]*requestState
	ids               []RequestID
	inFlight          []attemptRef
	probes            []EndpointID
	timers            []pendingTimer
	states            map[EndpointID]Endpoint
	conns             map[EndpointID]*connState
	subscribeDeadline time.Duration // when discovery must have been asked; 0 with a subscription
	allActions        []Action
}

// connState is what a sidecar has open to an endpoint.
type connState struct {
	idle        bool // a connection that carries nothing is open
	inUse       int  // calls and probes that are out
	lastEventAt time.Duration
}

// touchConn is an endpoint's connections, noting that something happened there.
func (w *ruleChecker) touchConn(id EndpointID) *connState {
	c := w.conns[id]
	if c == nil {
		c = &connState{}
		w.conns[id] = c
	}
	c.lastEventAt = w.now
	return c
}

type requestState struct {
	class     int
	arrivedAt time.Duration
	deadline  time.Duration
	retries   int // sent again with nothing out, after an attempt that may have run
	finished  bool
	attempts  []attemptState
}

type attemptState struct {
	endpoint EndpointID
	sentAt   time.Duration
	inFlight bool
	neverRan bool
}

type attemptRef struct {
	request RequestID
	attempt int
}

type pendingTimer struct {
	dueAt time.Duration
	timer Timer
}

func newRuleChecker(t *testing.T, src func(n int) int) *ruleChecker {
	cfg := testConfig()
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
	w := &ruleChecker{t: t, draw: src, cfg: cfg, now: time.Hour, conns: make(map[EndpointID]*connState),
		requests: make(map[RequestID]*requestState), states: make(map[EndpointID]Endpoint)}
	b, err := New(cfg, uint64(src(1<<16)))
	if err != nil {
		t.Fatal(err)
	}
	w.b = b
	if cfg.MustSubscribe {
		w.subscribeDeadline = w.now + cfg.MaxSubscribeDelay
	}
	w.updateList(ListLastKnown)
	return w
}

func (w *ruleChecker) updateList(kind ListKind) {
	var list []Endpoint
	if kind != ListChanges {
		clear(w.states)
	}
	for range w.draw(12) {
		id := 1 + w.draw(15)
		e := Endpoint{
			ID: EndpointID(id), Zone: id % 2, Cell: id % 4, State: EndpointState(w.draw(3)), Weight: float64(w.draw(5)),
		}
		if w.draw(3) == 0 {
			e.StartedAt = w.now - time.Duration(w.draw(20))*time.Second
		}
		list = append(list, e)
		w.states[e.ID] = e
		if e.State == Draining && w.conns[e.ID] != nil {
			w.touchConn(e.ID)
		}
	}
	w.apply(w.b.EndpointsUpdated(w.now, kind, list, nil))
}

// step plays one event.
func (w *ruleChecker) step() {
	switch w.draw(10) {
	case 0, 1:
		w.nextID++
		q := Request{ID: w.nextID, Class: w.draw(len(w.cfg.Classes)), Timeout: time.Duration(w.draw(3000)) * ms,
			ExpectedWork: time.Duration(w.draw(3)) * 50 * ms}
		w.requests[q.ID] = &requestState{class: q.Class, arrivedAt: w.now, deadline: w.now + q.Timeout}
		w.ids = append(w.ids, q.ID)
		w.apply(w.b.RequestArrived(w.now, q, nil))
	case 2, 3, 4:
		if len(w.inFlight) > 0 {
			w.endAttempt(w.draw(len(w.inFlight)), Result(w.draw(8)))
		}
	case 5:
		if len(w.probes) > 0 {
			i := w.draw(len(w.probes))
			id := w.probes[i]
			w.probes = slices.Delete(w.probes, i, i+1)
			c := w.touchConn(id)
			c.inUse, c.idle = c.inUse-1, true
			var load *Load
			if w.draw(4) > 0 {
				load = &Load{InFlight: float64(w.draw(3))}
			}
			w.apply(w.b.ProbeEnded(w.now, id, Result(w.draw(2)*w.draw(8)), load, nil))
		}
	case 6:
		if w.draw(4) == 0 && w.cfg.MustSubscribe && w.subscribeDeadline == 0 {
			w.subscribeDeadline = w.now + 4*w.cfg.MaxSubscribeDelay
			w.apply(w.b.EndpointsUpdated(w.now, ListUnavailable, nil, nil))
			break
		}
		w.updateList(ListKind(w.draw(4)) % 2)
	case 7:
		if len(w.ids) > 0 {
			id := w.ids[w.draw(len(w.ids))]
			if q := w.requests[id]; !q.finished && w.draw(3) == 0 {
				q.finished = true
				w.apply(w.b.RequestAbandoned(w.now, id, nil))
			}
		}
	case 8: // an event about nothing that is known
		w.apply(w.b.RequestAbandoned(w.now, RequestID(1<<40), nil))
		w.apply(w.b.AttemptEnded(w.now, Outcome{Request: RequestID(w.draw(50)), Attempt: 90, Endpoint: 99}, nil))
		w.apply(w.b.ProbeEnded(w.now, 99, OK, nil, nil))
		w.apply(w.b.TimerFired(w.now, Timer{Kind: uint8(w.draw(9)), Ref: uint64(w.draw(40))}, nil))
		w.apply(w.b.SetClassLimits(w.now, 99, Class{}, nil))
		w.changeClassLimits(w.draw(len(w.cfg.Classes)))
	case 9:
		w.advance(time.Duration(w.draw(400)) * ms)
	}
}

// changeClassLimits changes a class's bounds but Retries, of which a request may have been granted one already.
func (w *ruleChecker) changeClassLimits(class int) {
	c := &w.cfg.Classes[class]
	c.MaxAttempts, c.NoHedging, c.RetryStartWindow = w.draw(4), w.draw(2) == 0, time.Duration(w.draw(2)*w.draw(900))*ms
	w.apply(w.b.SetClassLimits(w.now, class, *c, nil))
}

// advance lets time go by, ringing timers on the way.
func (w *ruleChecker) advance(d time.Duration) {
	until := w.now + d
	for {
		i := -1
		for j, r := range w.timers {
			if r.dueAt <= until && (i < 0 || r.dueAt < w.timers[i].dueAt) {
				i = j
			}
		}
		if i < 0 {
			break
		}
		r := w.timers[i]
		w.timers = slices.Delete(w.timers, i, i+1)
		w.now = max(w.now, r.dueAt)
		w.apply(w.b.TimerFired(w.now, r.timer, nil))
		w.checkDeadlines()
	}
	w.now = until
	w.checkDeadlines()
}

func (w *ruleChecker) checkDeadlines() {
	for _, id := range w.ids {
		if q := w.requests[id]; !q.finished && w.now > q.deadline {
			w.t.Fatalf("request %d has no final answer by its deadline", id)
		}
	}
	if w.subscribeDeadline > 0 && w.now > w.subscribeDeadline {
		w.t.Fatalf("discovery was not asked by %v", w.subscribeDeadline)
	}
	for id, c := range w.conns {
		if w.cfg.MaxDrainIdleTime > 0 && w.states[id].State == Draining && c.idle && c.inUse == 0 &&
			w.now-c.lastEventAt > w.cfg.MaxDrainIdleTime {
			w.t.Fatalf("an idle connection to %d, which drains, is open after %v", id, w.now-c.lastEventAt)
		}
	}
}

func (w *ruleChecker) endAttempt(i int, res Result) {
	f := w.inFlight[i]
	w.inFlight = slices.Delete(w.inFlight, i, i+1)
	q := w.requests[f.request]
	a := &q.attempts[f.attempt]
	a.inFlight = false
	a.neverRan = res == Rejected || res == ConnectFailed || res == NotSent
	if res == OK {
		q.finished = true
	}
	c := w.touchConn(a.endpoint)
	c.inUse, c.idle = c.inUse-1, true
	w.apply(w.b.AttemptEnded(w.now, Outcome{Request: f.request, Attempt: f.attempt, Endpoint: a.endpoint, Result: res,
		RequestFinished: q.finished, Elapsed: w.now - a.sentAt}, nil))
}

// apply checks actions against the rules.
func (w *ruleChecker) apply(acts []Action) {
	w.allActions = append(w.allActions, acts...)
	for _, a := range acts {
		q := w.requests[a.Request]
		switch a.Kind {
		case Send:
			w.checkSend(a, q)
			q.attempts = append(q.attempts, attemptState{endpoint: a.Endpoint, sentAt: w.now, inFlight: true})
			w.inFlight = append(w.inFlight, attemptRef{a.Request, len(q.attempts) - 1})
			w.touchConn(a.Endpoint).inUse++
		case Shed, Fail:
			if q.finished {
				w.t.Fatalf("request %d: a second final answer", a.Request)
			}
			q.finished = true
			c := w.cfg.Classes[q.class]
			for _, s := range q.attempts {
				if a.Kind == Shed && !s.neverRan &&
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
			w.timers = append(w.timers, pendingTimer{w.now + a.Delay, a.Timer})
		case Probe:
			if _, ok := w.states[a.Endpoint]; !ok {
				w.t.Fatalf("probe of %d, which is not listed", a.Endpoint)
			}
			w.probes = append(w.probes, a.Endpoint)
			w.touchConn(a.Endpoint).inUse++
		case Subscribe:
			w.subscribeDeadline = 0
		case CloseIdle:
			w.touchConn(a.Endpoint).idle = false
		}
	}
}

func (w *ruleChecker) checkSend(a Action, q *requestState) {
	e, listed := w.states[a.Endpoint]
	c := w.cfg.Classes[q.class]
	switch {
	case q.finished:
		w.t.Fatalf("request %d was sent after its final answer", a.Request)
	case !listed || e.State != InService:
		w.t.Fatalf("request %d was sent to %d: listed %v, state %d", a.Request, a.Endpoint, listed, e.State)
	case len(q.attempts) >= w.cfg.Limits.MaxAttempts:
		w.t.Fatalf("request %d: over %d attempts", a.Request, w.cfg.Limits.MaxAttempts)
	case c.MaxAttempts > 0 && len(q.attempts) >= c.MaxAttempts:
		w.t.Fatalf("request %d: over the %d attempts of its class", a.Request, c.MaxAttempts)
	case len(q.attempts) > 0 && c.RetryStartWindow > 0 && w.now >= q.arrivedAt+c.RetryStartWindow:
		w.t.Fatalf("request %d was sent again %v after it came, over %v", a.Request, w.now-q.arrivedAt, c.RetryStartWindow)
	case w.now > q.deadline:
		w.t.Fatalf("request %d was sent after its deadline", a.Request)
	}
	ran, out := false, false
	for _, s := range q.attempts {
		ran, out = ran || !s.neverRan, out || s.inFlight
	}
	if ran && !out {
		if q.retries++; c.MaxRetries < 0 || c.MaxRetries > 0 && q.retries > c.MaxRetries {
			w.t.Fatalf("request %d: retry %d after it may have run, of %d", a.Request, q.retries, c.MaxRetries)
		}
	}
	for i, s := range q.attempts {
		if s.neverRan {
			continue
		}
		here, there := int(s.endpoint), int(e.ID)
		switch {
		case s.inFlight && (!w.cfg.Limits.Hedging || c.NoHedging):
			w.t.Fatalf("request %d: a second copy, though attempt %d is out", a.Request, i)
		case c.Semantics == Unsafe:
			w.t.Fatalf("unsafe request %d was sent again", a.Request)
		case c.Semantics == Keyed && w.now-s.sentAt >= c.RepeatWindow:
			w.t.Fatalf("keyed request %d was sent again %v after attempt %d", a.Request, w.now-s.sentAt, i)
		case c.Semantics == Keyed && c.Scope == ScopeZone && here%2 != there%2,
			c.Semantics == Keyed && c.Scope == ScopeCell && here%4 != there%4:
			w.t.Fatalf("keyed request %d left its group", a.Request)
		}
	}
}

// runRuleChecker runs a world for some steps, then lets everything end, and returns all actions.
func runRuleChecker(t *testing.T, steps int, src func(n int) int) []Action {
	w := newRuleChecker(t, src)
	for range steps {
		w.step()
	}
	w.advance(10 * time.Second)
	for len(w.inFlight) > 0 {
		w.endAttempt(0, Timeout)
	}
	w.advance(10 * time.Second)
	if n := len(w.b.requests); n > 0 {
		t.Fatalf("%d requests are kept after all has ended", n)
	}
	return w.allActions
}

func TestRulesHoldOnArbitraryEvents(t *testing.T) {
	for seed := range uint64(400) {
		run := func() []Action {
			rng := rand.New(rand.NewPCG(seed, 2))
			return runRuleChecker(t, 400, rng.IntN)
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
		runRuleChecker(t, min(len(data), 2000), src)
	})
}
