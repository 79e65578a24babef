package balance

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// ruleChecker feeds a balancer valid events drawn from a random source and checks that its actions follow the
// rules. It models no endpoints: outcomes are arbitrary.
type ruleChecker struct {
	t                 *testing.T
	draw              func(n int) int // returns a number from 0 to n-1
	b                 *Balancer
	now               time.Duration
	cfg               Config
	nextID            RequestID
	requestStates     map[RequestID]*requestState
	requestIDs        []RequestID
	inFlight          []attemptRef
	pendingProbes     []EndpointID
	timers            []pendingTimer
	listed            map[EndpointID]Endpoint
	connStates        map[EndpointID]*connState
	subscribeDeadline time.Duration // when discovery must have been asked; 0 with a subscription
	allActions        []Action
}

// connState is the state of the sidecar's connections to an endpoint.
type connState struct {
	idle        bool // an idle connection is open
	inUse       int  // attempts and probes in flight
	lastEventAt time.Duration
}

// touchConn returns the state of an endpoint's connections and sets its lastEventAt.
func (rc *ruleChecker) touchConn(id EndpointID) *connState {
	c := rc.connStates[id]
	if c == nil {
		c = &connState{}
		rc.connStates[id] = c
	}
	c.lastEventAt = rc.now
	return c
}

// requestState is the state of a request as the rules see it.
type requestState struct {
	class     int
	arrivedAt time.Duration
	deadline  time.Duration
	retries   int // attempts sent with none in flight, after one that may have run
	finished  bool
	attempts  []attemptState
}

// attemptState is the state of an attempt; neverRan is set once its outcome proves that it did not run.
type attemptState struct {
	endpoint EndpointID
	sentAt   time.Duration
	inFlight bool
	neverRan bool
}

// attemptRef identifies an attempt by its request and index.
type attemptRef struct {
	request RequestID
	attempt int
}

// pendingTimer is a timer that has not fired.
type pendingTimer struct {
	dueAt time.Duration
	timer Timer
}

// newRuleChecker returns a checker with a balancer whose configuration is drawn, and passes it a first list.
func newRuleChecker(t *testing.T, draw func(n int) int) *ruleChecker {
	cfg := testConfig()
	cfg.Classes[1].Scope = Scope(draw(3))
	cfg.Limits.Hedging = draw(3) > 0
	cfg.Limits.Cancel = draw(3) > 0
	cfg.Limits.MaxAttempts = 1 + draw(5)
	cfg.MustSubscribe = draw(2) == 0
	cfg.Reporting = Reporting(draw(3))
	if draw(2) == 0 {
		cfg.Costs.Probe = 0.01
	}
	cfg.WeightMeaning = WeightMeaning(draw(4))
	if draw(2) == 0 {
		cfg.MaxDrainIdleTime = 500 * ms
	}
	for i := range cfg.Classes {
		if c := &cfg.Classes[i]; draw(2) == 0 {
			c.MaxAttempts, c.MaxRetries, c.NoHedging = draw(4), draw(4)-1, draw(2) == 0
			c.RetryStartWindow = time.Duration(draw(2)*draw(900)) * ms
		}
	}
	cfg.MaxSubscribeDelay = time.Duration(1+draw(10)) * time.Second
	rc := &ruleChecker{t: t, draw: draw, cfg: cfg, now: time.Hour, connStates: make(map[EndpointID]*connState),
		requestStates: make(map[RequestID]*requestState), listed: make(map[EndpointID]Endpoint)}
	b, err := New(cfg, uint64(draw(1<<16)))
	if err != nil {
		t.Fatal(err)
	}
	rc.b = b
	if cfg.MustSubscribe {
		rc.subscribeDeadline = rc.now + cfg.MaxSubscribeDelay
	}
	rc.updateList(ListLastKnown)
	return rc
}

// updateList passes a drawn list to the balancer.
func (rc *ruleChecker) updateList(kind ListKind) {
	var list []Endpoint
	if kind != ListChanges {
		clear(rc.listed)
	}
	for range rc.draw(12) {
		id := 1 + rc.draw(15)
		e := Endpoint{
			ID: EndpointID(id), Zone: id % 2, Cell: id % 4, State: EndpointState(rc.draw(3)), Weight: float64(rc.draw(5)),
		}
		if rc.draw(3) == 0 {
			e.StartedAt = rc.now - time.Duration(rc.draw(20))*time.Second
		}
		list = append(list, e)
		rc.listed[e.ID] = e
		if e.State == Draining && rc.connStates[e.ID] != nil {
			rc.touchConn(e.ID)
		}
	}
	rc.apply(rc.b.EndpointsUpdated(rc.now, kind, list, nil))
}

// step passes one drawn event to the balancer.
func (rc *ruleChecker) step() {
	switch rc.draw(10) {
	case 0, 1:
		rc.nextID++
		req := Request{ID: rc.nextID, Class: rc.draw(len(rc.cfg.Classes)), Timeout: time.Duration(rc.draw(3000)) * ms,
			ExpectedWork: time.Duration(rc.draw(3)) * 50 * ms}
		rc.requestStates[req.ID] = &requestState{class: req.Class, arrivedAt: rc.now, deadline: rc.now + req.Timeout}
		rc.requestIDs = append(rc.requestIDs, req.ID)
		rc.apply(rc.b.RequestArrived(rc.now, req, nil))
	case 2, 3, 4:
		if len(rc.inFlight) > 0 {
			rc.endAttempt(rc.draw(len(rc.inFlight)), Result(rc.draw(8)))
		}
	case 5:
		if len(rc.pendingProbes) > 0 {
			i := rc.draw(len(rc.pendingProbes))
			id := rc.pendingProbes[i]
			rc.pendingProbes = slices.Delete(rc.pendingProbes, i, i+1)
			c := rc.touchConn(id)
			c.inUse, c.idle = c.inUse-1, true
			var load *Load
			if rc.draw(4) > 0 {
				load = &Load{InFlight: float64(rc.draw(3))}
			}
			rc.apply(rc.b.ProbeEnded(rc.now, id, Result(rc.draw(2)*rc.draw(8)), load, nil))
		}
	case 6:
		if rc.draw(4) == 0 && rc.cfg.MustSubscribe && rc.subscribeDeadline == 0 {
			rc.subscribeDeadline = rc.now + 4*rc.cfg.MaxSubscribeDelay
			rc.apply(rc.b.EndpointsUpdated(rc.now, ListUnavailable, nil, nil))
			break
		}
		rc.updateList(ListKind(rc.draw(4)) % 2)
	case 7:
		if len(rc.requestIDs) > 0 {
			id := rc.requestIDs[rc.draw(len(rc.requestIDs))]
			if req := rc.requestStates[id]; !req.finished && rc.draw(3) == 0 {
				req.finished = true
				rc.apply(rc.b.RequestAbandoned(rc.now, id, nil))
			}
		}
	case 8: // events about unknown requests, endpoints and timers, and a change of class limits
		rc.apply(rc.b.RequestAbandoned(rc.now, RequestID(1<<40), nil))
		rc.apply(rc.b.AttemptEnded(rc.now, Outcome{Request: RequestID(rc.draw(50)), Attempt: 90, Endpoint: 99}, nil))
		rc.apply(rc.b.ProbeEnded(rc.now, 99, OK, nil, nil))
		rc.apply(rc.b.TimerFired(rc.now, Timer{Kind: uint8(rc.draw(9)), Ref: uint64(rc.draw(40))}, nil))
		rc.apply(rc.b.SetClassLimits(rc.now, 99, Class{}, nil))
		rc.changeClassLimits(rc.draw(len(rc.cfg.Classes)))
	case 9:
		rc.advance(time.Duration(rc.draw(400)) * ms)
	}
}

// changeClassLimits changes the limits of a class, except MaxRetries: a request may have been granted a retry already.
func (rc *ruleChecker) changeClassLimits(class int) {
	c := &rc.cfg.Classes[class]
	c.MaxAttempts, c.NoHedging, c.RetryStartWindow = rc.draw(4), rc.draw(2) == 0, time.Duration(rc.draw(2)*rc.draw(900))*ms
	rc.apply(rc.b.SetClassLimits(rc.now, class, *c, nil))
}

// advance advances the clock by d and fires the timers that are due on the way.
func (rc *ruleChecker) advance(d time.Duration) {
	end := rc.now + d
	for {
		next := -1
		for j, timer := range rc.timers {
			if timer.dueAt <= end && (next < 0 || timer.dueAt < rc.timers[next].dueAt) {
				next = j
			}
		}
		if next < 0 {
			break
		}
		timer := rc.timers[next]
		rc.timers = slices.Delete(rc.timers, next, next+1)
		rc.now = max(rc.now, timer.dueAt)
		rc.apply(rc.b.TimerFired(rc.now, timer.timer, nil))
		rc.checkDeadlines()
	}
	rc.now = end
	rc.checkDeadlines()
}

// checkDeadlines checks that nothing is overdue: final responses, Subscribe actions, the closing of connections.
func (rc *ruleChecker) checkDeadlines() {
	for _, id := range rc.requestIDs {
		if req := rc.requestStates[id]; !req.finished && rc.now > req.deadline {
			rc.t.Fatalf("request %d has no final response by its deadline", id)
		}
	}
	if rc.subscribeDeadline > 0 && rc.now > rc.subscribeDeadline {
		rc.t.Fatalf("no Subscribe action by %v", rc.subscribeDeadline)
	}
	for id, c := range rc.connStates {
		if rc.cfg.MaxDrainIdleTime > 0 && rc.listed[id].State == Draining && c.idle && c.inUse == 0 &&
			rc.now-c.lastEventAt > rc.cfg.MaxDrainIdleTime {
			rc.t.Fatalf("an idle connection to the draining endpoint %d is open after %v", id, rc.now-c.lastEventAt)
		}
	}
}

// endAttempt ends attempt i of those in flight.
func (rc *ruleChecker) endAttempt(i int, res Result) {
	ref := rc.inFlight[i]
	rc.inFlight = slices.Delete(rc.inFlight, i, i+1)
	req := rc.requestStates[ref.request]
	a := &req.attempts[ref.attempt]
	a.inFlight = false
	a.neverRan = res == Rejected || res == ConnectFailed || res == NotSent
	if res == OK {
		req.finished = true
	}
	c := rc.touchConn(a.endpoint)
	c.inUse, c.idle = c.inUse-1, true
	rc.apply(rc.b.AttemptEnded(rc.now, Outcome{Request: ref.request, Attempt: ref.attempt, Endpoint: a.endpoint, Result: res,
		RequestFinished: req.finished, Elapsed: rc.now - a.sentAt}, nil))
}

// apply checks actions against the rules and carries them out.
func (rc *ruleChecker) apply(actions []Action) {
	rc.allActions = append(rc.allActions, actions...)
	for _, a := range actions {
		req := rc.requestStates[a.Request]
		switch a.Kind {
		case Send:
			rc.checkSend(a, req)
			req.attempts = append(req.attempts, attemptState{endpoint: a.Endpoint, sentAt: rc.now, inFlight: true})
			rc.inFlight = append(rc.inFlight, attemptRef{a.Request, len(req.attempts) - 1})
			rc.touchConn(a.Endpoint).inUse++
		case Shed, Fail:
			if req.finished {
				rc.t.Fatalf("request %d: a second final response", a.Request)
			}
			req.finished = true
			c := rc.cfg.Classes[req.class]
			for _, s := range req.attempts {
				if a.Kind == Shed && !s.neverRan &&
					(c.Semantics == Unsafe || c.Semantics == Keyed && c.Scope != ScopeAll) {
					rc.t.Fatalf("request %d of class %d was shed though it may have run", a.Request, req.class)
				}
			}
		case Cancel:
			if !rc.cfg.Limits.Cancel || a.Attempt >= len(req.attempts) {
				rc.t.Fatalf("invalid cancel %+v", a)
			}
		case SetTimer:
			if a.Delay <= 0 {
				rc.t.Fatalf("timer in the past: %+v", a)
			}
			rc.timers = append(rc.timers, pendingTimer{rc.now + a.Delay, a.Timer})
		case Probe:
			if _, ok := rc.listed[a.Endpoint]; !ok {
				rc.t.Fatalf("probe of %d, which is not listed", a.Endpoint)
			}
			rc.pendingProbes = append(rc.pendingProbes, a.Endpoint)
			rc.touchConn(a.Endpoint).inUse++
		case Subscribe:
			rc.subscribeDeadline = 0
		case CloseIdle:
			rc.touchConn(a.Endpoint).idle = false
		}
	}
}

// checkSend checks a Send action against the rules.
func (rc *ruleChecker) checkSend(a Action, req *requestState) {
	e, listed := rc.listed[a.Endpoint]
	c := rc.cfg.Classes[req.class]
	switch {
	case req.finished:
		rc.t.Fatalf("request %d was sent after its final response", a.Request)
	case !listed || e.State != InService:
		rc.t.Fatalf("request %d was sent to %d: listed %v, state %d", a.Request, a.Endpoint, listed, e.State)
	case len(req.attempts) >= rc.cfg.Limits.MaxAttempts:
		rc.t.Fatalf("request %d: more than %d attempts", a.Request, rc.cfg.Limits.MaxAttempts)
	case c.MaxAttempts > 0 && len(req.attempts) >= c.MaxAttempts:
		rc.t.Fatalf("request %d: more than the %d attempts of its class", a.Request, c.MaxAttempts)
	case len(req.attempts) > 0 && c.RetryStartWindow > 0 && rc.now >= req.arrivedAt+c.RetryStartWindow:
		rc.t.Fatalf("request %d was sent again %v after its arrival, limit %v", a.Request, rc.now-req.arrivedAt, c.RetryStartWindow)
	case rc.now > req.deadline:
		rc.t.Fatalf("request %d was sent after its deadline", a.Request)
	}
	mayHaveRun, inFlight := false, false
	for _, s := range req.attempts {
		mayHaveRun, inFlight = mayHaveRun || !s.neverRan, inFlight || s.inFlight
	}
	if mayHaveRun && !inFlight {
		if req.retries++; c.MaxRetries < 0 || c.MaxRetries > 0 && req.retries > c.MaxRetries {
			rc.t.Fatalf("request %d: retry %d after it may have run, limit %d", a.Request, req.retries, c.MaxRetries)
		}
	}
	for i, s := range req.attempts {
		if s.neverRan {
			continue
		}
		firstID, nextID := int(s.endpoint), int(e.ID)
		switch {
		case s.inFlight && (!rc.cfg.Limits.Hedging || c.NoHedging):
			rc.t.Fatalf("request %d was hedged beside attempt %d, which is not allowed", a.Request, i)
		case c.Semantics == Unsafe:
			rc.t.Fatalf("unsafe request %d was sent again", a.Request)
		case c.Semantics == Keyed && rc.now-s.sentAt >= c.RepeatWindow:
			rc.t.Fatalf("keyed request %d was sent again %v after attempt %d", a.Request, rc.now-s.sentAt, i)
		case c.Semantics == Keyed && c.Scope == ScopeZone && firstID%2 != nextID%2,
			c.Semantics == Keyed && c.Scope == ScopeCell && firstID%4 != nextID%4:
			rc.t.Fatalf("keyed request %d was sent out of its scope", a.Request)
		}
	}
}

// runRuleChecker runs a checker for some steps, then ends everything, and returns all actions.
func runRuleChecker(t *testing.T, steps int, draw func(n int) int) []Action {
	rc := newRuleChecker(t, draw)
	for range steps {
		rc.step()
	}
	rc.advance(10 * time.Second)
	for len(rc.inFlight) > 0 {
		rc.endAttempt(0, Timeout)
	}
	rc.advance(10 * time.Second)
	if n := len(rc.b.requests); n > 0 {
		t.Fatalf("%d requests are left after everything has ended", n)
	}
	return rc.allActions
}

// The rules must hold on arbitrary valid events, and the same seed and events must give the same actions.
func TestRulesHoldOnArbitraryEvents(t *testing.T) {
	for seed := range uint64(400) {
		runSeed := func() []Action {
			rng := rand.New(rand.NewPCG(seed, 2))
			return runRuleChecker(t, 400, rng.IntN)
		}
		if first, second := runSeed(), runSeed(); !slices.Equal(first, second) {
			t.Fatalf("seed %d: the same events gave different actions", seed)
		}
	}
}

// FuzzRules draws the events from the fuzzer's data, which it repeats with an offset.
func FuzzRules(f *testing.F) {
	f.Add([]byte{1, 2, 3, 4, 5, 6, 7, 8, 9, 10})
	f.Fuzz(func(t *testing.T, data []byte) {
		i := 0
		draw := func(n int) int {
			if len(data) == 0 {
				return 0
			}
			value := int(data[i%len(data)]) + i/len(data)*7
			i++
			return value % n
		}
		runRuleChecker(t, min(len(data), 2000), draw)
	})
}
