package balance

import (
	"math"
	"slices"
	"strings"
	"testing"
	"time"
)

const ms = time.Millisecond

// harness is a balancer under test, its clock and the actions of the last event.
type harness struct {
	t       testing.TB
	b       *Balancer
	now     time.Duration
	actions []Action
	lastID  RequestID
}

func testConfig() Config {
	return Config{
		SidecarCount: 4,
		Classes: []Class{
			{Name: "read", TargetLatency: 800 * ms, Deadline: 2 * time.Second, Value: 1, Semantics: Safe},
			{Name: "write", TargetLatency: 800 * ms, Deadline: 2 * time.Second, Value: 1, Semantics: Keyed, RepeatWindow: time.Second},
			{Name: "pay", TargetLatency: 800 * ms, Deadline: 2 * time.Second, Value: 1, Semantics: Unsafe},
		},
		Reporting: ReportsInProbe,
		Costs:     Costs{Probe: 0.002},
		Limits: Limits{MaxAttempts: 4, Hedging: true, Probes: true, Cancel: true,
			KeepAlive: 30 * time.Second},
		ColdCapacityShare: 0.2, WarmupTime: 10 * time.Second, ColdOverloadMultiple: 3, ColdOverloadTime: 2 * time.Second,
		ClockResolution: ms,
	}
}

func newHarness(t testing.TB, cfg Config, list ...Endpoint) *harness {
	t.Helper()
	b, err := New(cfg, 1)
	if err != nil {
		t.Fatal(err)
	}
	f := &harness{t: t, b: b, now: time.Minute}
	f.actions = b.EndpointsUpdated(f.now, ListLastKnown, list, nil)
	return f
}

// testEndpoints returns n endpoints, numbered from 1.
func testEndpoints(n int) []Endpoint {
	list := make([]Endpoint, n)
	for i := range list {
		list[i] = Endpoint{ID: EndpointID(i + 1), Weight: 1}
	}
	return list
}

func (f *harness) arrive(class int, budget time.Duration) RequestID {
	f.lastID++
	f.actions = f.b.RequestArrived(f.now, Request{ID: f.lastID, Class: class, Timeout: budget}, nil)
	return f.lastID
}

// actionsOf returns the endpoints or requests' actions of a kind.
func (f *harness) actionsOf(kind ActionKind) []Action {
	var found []Action
	for _, a := range f.actions {
		if a.Kind == kind {
			found = append(found, a)
		}
	}
	return found
}

// endProbe answers a probe with a number of requests in flight.
func (f *harness) endProbe(id EndpointID, inFlight float64) {
	f.actions = f.b.ProbeEnded(f.now, id, OK, &Load{InFlight: inFlight}, nil)
}

// sentEndpoint returns the endpoint of the only Send of the last event.
func (f *harness) sentEndpoint() EndpointID {
	f.t.Helper()
	s := f.actionsOf(Send)
	if len(s) != 1 {
		f.t.Fatalf("%d sends, want 1: %+v", len(s), f.actions)
	}
	return s[0].Endpoint
}

func (f *harness) endAttempt(r RequestID, n int, e EndpointID, res Result, took time.Duration) {
	f.actions = f.b.AttemptEnded(f.now, Outcome{
		Request: r, Attempt: n, Endpoint: e, Result: res, RequestFinished: res == OK, Elapsed: took,
	}, nil)
}

// sendToIdle sends a request to the endpoint that its probes find idle first.
func (f *harness) sendToIdle(class int) (RequestID, EndpointID) {
	f.t.Helper()
	r := f.arrive(class, 2*time.Second)
	for range 100 {
		for _, p := range f.actionsOf(Probe) {
			f.now += ms
			f.endProbe(p.Endpoint, 0)
			if s := f.actionsOf(Send); len(s) > 0 {
				return r, s[0].Endpoint
			}
		}
		f.fireDispatchTimer()
		if s := f.actionsOf(Send); len(s) > 0 {
			return r, s[0].Endpoint
		}
	}
	f.t.Fatalf("request %d was not sent: %+v", r, f.actions)
	return 0, 0
}

// fireDispatchTimer lets the serve timer ring after the usual wait for a probe.
func (f *harness) fireDispatchTimer() {
	f.now += probeWait
	f.actions = f.b.TimerFired(f.now, Timer{Kind: timerDispatch}, nil)
}

func (f *harness) fireRequestTimer(r RequestID) {
	f.actions = f.b.TimerFired(f.now, Timer{Kind: timerRequest, Ref: uint64(r)}, nil)
}

func TestRequestGoesToIdleEndpoint(t *testing.T) {
	f := newHarness(t, testConfig(), testEndpoints(3)...)
	f.arrive(0, time.Second)
	probes := f.actionsOf(Probe)
	if len(probes) == 0 {
		t.Fatal("no probe at an arrival")
	}
	if got := f.actionsOf(Send); len(got) != 0 {
		t.Fatalf("sent without knowing anybody idle: %+v", got)
	}
	f.now += ms
	for i, p := range probes {
		f.endProbe(p.Endpoint, 2)
		if len(f.actionsOf(Send)) > 0 {
			t.Fatalf("probe %d: sent to a busy endpoint", i)
		}
	}
	more := f.actionsOf(Probe)
	if len(more) == 0 {
		t.Fatal("nobody idle, and no further probe")
	}
	f.now += ms
	f.endProbe(more[0].Endpoint, 0)
	if got := f.sentEndpoint(); got != more[0].Endpoint {
		t.Errorf("sent to %d, want the idle %d", got, more[0].Endpoint)
	}
}

func TestIdleReportServesOneRequest(t *testing.T) {
	f := newHarness(t, testConfig(), testEndpoints(1)...)
	r1 := f.arrive(0, time.Second)
	f.now += ms
	f.endProbe(1, 0)
	f.sentEndpoint()
	f.arrive(0, time.Second)
	if got := f.actionsOf(Send); len(got) != 0 {
		t.Fatalf("a report was used twice: %+v", got)
	}
	f.now += ms
	f.endAttempt(r1, 0, 1, OK, ms)
	if got := f.sentEndpoint(); got != 1 {
		t.Errorf("sent to %d: with its call back, endpoint 1 is idle again", got)
	}
}

func TestFastestIdleTypeFirst(t *testing.T) {
	cfg := testConfig()
	cfg.WeightMeaning = WeightCapacity
	list := testEndpoints(3)
	list[1].Weight = 4
	f := newHarness(t, cfg, list...)
	f.arrive(0, time.Second)
	// Three endpoints turn out idle before any request can use them but the first.
	for _, e := range f.b.ready {
		f.b.recordLoad(e, &Load{InFlight: 0}, f.now)
		f.b.idleEndpoints = append(f.b.idleEndpoints, e)
	}
	f.actions = f.b.TimerFired(f.now, Timer{Kind: timerDispatch}, nil)
	if got := f.sentEndpoint(); got != 2 {
		t.Errorf("sent to %d, want 2, the fastest", got)
	}
	f.arrive(0, time.Second)
	if got := f.sentEndpoint(); got == 2 {
		t.Error("the fastest was taken twice on one report")
	}
}

// The busy draw follows speed x share: for 20,000 draws under a fixed seed each endpoint's share must
// be within five standard deviations.
func TestDrawWeightedFollowsSpeed(t *testing.T) {
	cfg := testConfig()
	cfg.WeightMeaning = WeightCapacity
	list := testEndpoints(6)
	for i := range list {
		list[i].Weight = []float64{1, 1, 1, 4, 4, 2}[i]
	}
	f := newHarness(t, cfg, list...)
	const n = 20000
	got := make(map[EndpointID]int)
	r := &request{class: &f.b.cfg.Classes[0]}
	for range n {
		got[f.b.drawWeighted(r).ID]++
	}
	for _, e := range list {
		p := e.Weight / 13
		dev := math.Sqrt(n * p * (1 - p))
		if d := math.Abs(float64(got[e.ID]) - n*p); d > 5*dev {
			t.Errorf("endpoint %d of speed %g drawn %d times, want %.0f +- %.0f", e.ID, e.Weight, got[e.ID], n*p, 5*dev)
		}
	}
}

func TestEndpointsWithoutCapacityAreOneType(t *testing.T) {
	list := testEndpoints(6)
	for i := range list {
		list[i].Weight = float64(i + 1)
	}
	f := newHarness(t, testConfig(), list...) // weights are silent
	for _, e := range f.b.ready {
		if got := f.b.typeSpeed(e); got != 1 {
			t.Errorf("endpoint %d is of the type of speed %g, want 1 for all", e.ID, got)
		}
	}
}

// A fast server that answers errors reads empty: it must lose its place all the same.
func TestFastFailingEndpointLosesSpeed(t *testing.T) {
	f := newHarness(t, testConfig(), testEndpoints(2)...)
	bad := f.b.endpoints[1]
	for range 20 {
		f.b.recordFailure(bad, 0)
	}
	if mu := f.b.speed(bad); mu > 0.1*f.b.speed(f.b.endpoints[2]) {
		t.Errorf("speed %g after 20 failures, want under a tenth of the other's", mu)
	}
	got := make(map[EndpointID]int)
	for range 50 {
		got[f.b.sampleForProbe(false, 0).ID]++
	}
	if got[1] > 0 {
		t.Errorf("the failing endpoint was sampled %d times of 50", got[1])
	}
}

// A trouble common to all must not leave nobody to send to.
func TestRequestIsSentWhenAllEndpointsAreEjected(t *testing.T) {
	f := newHarness(t, testConfig(), testEndpoints(3)...)
	for _, e := range f.b.ready {
		f.b.recordFailure(e, 0)
	}
	f.sendToIdle(0)
}

func TestRequestIsShedBeforeItsDeadline(t *testing.T) {
	for name, list := range map[string][]Endpoint{
		"empty list": nil,
		"draining":   {{ID: 1, State: Draining}},
		"silent":     testEndpoints(2),
	} {
		f := newHarness(t, testConfig(), list...)
		r := f.arrive(2, 500*ms)
		f.now += 500*ms - 2*ms
		f.fireRequestTimer(r)
		if len(f.actionsOf(Shed)) != 1 {
			t.Errorf("%s: actions %+v, want one Shed", name, f.actions)
		}
		f.fireRequestTimer(r)
		if len(f.actions) != 0 {
			t.Errorf("%s: acted after the final answer: %+v", name, f.actions)
		}
	}
}

// What follows an attempt that ended, for each kind of class.
func TestRetryByResultAndSemantics(t *testing.T) {
	const safe, keyed, unsafe = 0, 1, 2
	type want struct{ again, shed, fail bool }
	again, fail := want{again: true}, want{fail: true}
	for _, c := range []struct {
		class int
		res   Result
		want  want
	}{
		{safe, Error, again}, {safe, Timeout, again}, {safe, Reset, again}, {safe, Rejected, again},
		{safe, ConnectFailed, again}, {safe, Canceled, again}, {safe, NotSent, again},
		{keyed, Error, again}, {keyed, Timeout, again}, {keyed, Reset, again}, {keyed, Rejected, again},
		{keyed, ConnectFailed, again}, {keyed, Canceled, again}, {keyed, NotSent, again},
		{unsafe, Error, fail}, {unsafe, Timeout, fail}, {unsafe, Reset, fail}, {unsafe, Canceled, fail},
		{unsafe, Rejected, again}, {unsafe, ConnectFailed, again}, {unsafe, NotSent, again},
	} {
		f := newHarness(t, testConfig(), testEndpoints(20)...)
		r, e := f.sendToIdle(c.class)
		f.now += ms
		f.endAttempt(r, 0, e, c.res, ms)
		got := want{
			again: len(f.actionsOf(Send))+len(f.actionsOf(Probe)) > 0,
			shed:  len(f.actionsOf(Shed)) > 0, fail: len(f.actionsOf(Fail)) > 0,
		}
		if got != c.want {
			t.Errorf("class %d, result %d: %+v, want %+v", c.class, c.res, got, c.want)
		}
	}
}

// The final answer of a request whose attempt may have run.
func TestShedOrFailBySemantics(t *testing.T) {
	for _, c := range []struct {
		sem   Semantics
		scope Scope
		want  ActionKind
	}{
		{Safe, ScopeAll, Shed}, {Keyed, ScopeAll, Shed}, {Keyed, ScopeZone, Fail}, {Keyed, ScopeCell, Fail},
		{Unsafe, ScopeAll, Fail},
	} {
		cfg := testConfig()
		cfg.Classes[0].Semantics, cfg.Classes[0].Scope = c.sem, c.scope
		f := newHarness(t, cfg, testEndpoints(5)...)
		r, _ := f.sendToIdle(0)
		f.now += time.Second
		f.fireRequestTimer(r)
		if len(f.actionsOf(c.want)) != 1 || len(f.actionsOf(Shed))+len(f.actionsOf(Fail)) != 1 {
			t.Errorf("semantics %d, scope %d: %+v, want one action %d", c.sem, c.scope, f.actions, c.want)
		}
		if len(f.actionsOf(Cancel)) != 1 {
			t.Errorf("semantics %d: the attempt was not withdrawn", c.sem)
		}
	}
}

func TestKeyedRetryStaysInScopeAndRepeatWindow(t *testing.T) {
	for _, scope := range []Scope{ScopeZone, ScopeCell} {
		cfg := testConfig()
		cfg.Classes[1].Scope = scope
		list := testEndpoints(30)
		for i := range list {
			list[i].Zone, list[i].Cell = i%3, 10+i%5
		}
		f := newHarness(t, cfg, list...)
		r, e := f.sendToIdle(1)
		first := f.b.endpoints[e]
		f.now += ms
		f.endAttempt(r, 0, e, Error, ms)
		for _, other := range f.b.ready {
			same := other.Zone == first.Zone
			if scope == ScopeCell {
				same = other.Cell == first.Cell
			}
			if got := f.b.maySend(f.b.requests[r], other); got != (same && other != first) {
				t.Errorf("scope %d: endpoint %d allowed %v", scope, other.ID, got)
			}
		}
		f.now += cfg.Classes[1].RepeatWindow
		f.b.now = f.now
		for _, other := range f.b.ready {
			if f.b.maySend(f.b.requests[r], other) {
				t.Errorf("scope %d: endpoint %d allowed after the repeat window", scope, other.ID)
			}
		}
	}
}

// A keyed request whose group has one endpoint may go back to that, as repeats are dropped there
// too; with another in the group it goes to the other.
func TestKeyedRetryReusesOnlyEndpointInScope(t *testing.T) {
	for _, alone := range []bool{true, false} {
		cfg := testConfig()
		cfg.Reporting = ReportsInResponse
		cfg.Classes[1].Scope = ScopeZone
		list := testEndpoints(4)
		for i := range list {
			list[i].Zone = min(i, 1)
		}
		if !alone {
			list[1].Zone = 0
		}
		f := newHarness(t, cfg, list...)
		r := f.arrive(1, 2*time.Second)
		first := f.sentEndpoint()
		f.now += 100 * ms
		f.endAttempt(r, 0, first, Error, 100*ms)
		for len(f.actionsOf(Send)) == 0 && f.now < time.Minute+700*ms {
			f.now += 10 * ms
			f.actions = f.b.TimerFired(f.now, Timer{Kind: timerDispatch}, nil)
		}
		if again := f.sentEndpoint(); again != first && alone || again == first && !alone || again > 2 {
			t.Errorf("alone %v: sent to %d and then to %d", alone, first, again)
		}
	}
}

func TestNoHedgeWhenHedgingIsDisabled(t *testing.T) {
	cfg := testConfig()
	cfg.Limits.Hedging = false
	f := newHarness(t, cfg, testEndpoints(5)...)
	r, _ := f.sendToIdle(0)
	for _, e := range f.b.ready {
		if f.b.maySend(f.b.requests[r], e) {
			t.Errorf("endpoint %d allowed while an attempt is out", e.ID)
		}
	}
}

// A hedge that waits for an idle endpoint when the first copy fails must be in the held list once:
// held twice, it was sent again after its final answer.
func TestWaitingHedgeIsQueuedOnce(t *testing.T) {
	f := newHarness(t, testConfig(), testEndpoints(20)...)
	f.b.classStats[0] = latencyStats{mean: 0.05, meanDeviation: 0.02}
	r, e := f.sendToIdle(0)
	f.b.idleEndpoints = nil
	f.now = f.b.requests[r].hedgeAt
	f.fireRequestTimer(r)
	if len(f.b.queue) != 1 {
		t.Fatalf("%d held, want the hedge", len(f.b.queue))
	}
	f.endAttempt(r, 0, e, Error, ms)
	if len(f.b.queue) != 1 {
		t.Errorf("%d held after the first copy failed, want 1", len(f.b.queue))
	}
}

func TestDrainingAndRemovedEndpointsGetNoRequests(t *testing.T) {
	f := newHarness(t, testConfig(), testEndpoints(4)...)
	f.actions = f.b.EndpointsUpdated(f.now, ListChanges, []Endpoint{{ID: 1, State: Draining}, {ID: 2, State: Removed}}, nil)
	if len(f.b.ready) != 2 {
		t.Fatalf("%d ready after a drain and a removal, want 2", len(f.b.ready))
	}
	for range 10 {
		if _, e := f.sendToIdle(0); e < 3 {
			t.Fatalf("sent to %d, which drains or is gone", e)
		}
		f.now += 100 * ms
	}
	f.actions = f.b.EndpointsUpdated(f.now, ListFull, testEndpoints(1), nil)
	if len(f.b.ready) != 1 || f.b.ready[0].ID != 1 {
		t.Errorf("ready %v after a full list, want endpoint 1 alone", f.b.ready)
	}
	f.actions = f.b.EndpointsUpdated(f.now, ListUnavailable, nil, nil)
	if len(f.b.ready) != 1 {
		t.Error("a refused call to discovery changed the list")
	}
}

// Idle connections to an endpoint that drains are closed at the notice, and again after each later outcome.
func TestIdleConnectionsToDrainingEndpointAreClosed(t *testing.T) {
	cfg := testConfig()
	cfg.MaxDrainIdleTime = 800 * ms
	f := newHarness(t, cfg, testEndpoints(2)...)
	r, e := f.sendToIdle(0)
	other := 3 - e
	drain := []Endpoint{{ID: e, State: Draining}}
	released := func(when string, want int) {
		t.Helper()
		n := 0
		for _, a := range f.actionsOf(CloseIdle) {
			if a.Endpoint == e {
				n++
			}
		}
		if n != want {
			t.Errorf("%s: %d releases of %d, want %d: %+v", when, n, e, want, f.actions)
		}
	}
	f.actions = f.b.EndpointsUpdated(f.now, ListChanges, drain, nil)
	released("at the notice", 1)
	f.now += 300 * ms
	f.endAttempt(r, 0, e, OK, 300*ms)
	released("after the last outcome", 1)
	f.actions = f.b.EndpointsUpdated(f.now, ListChanges, []Endpoint{{ID: other, State: InService}}, nil)
	released("at news of another", 0)

	f = newHarness(t, testConfig(), testEndpoints(2)...)
	_, e = f.sendToIdle(0)
	f.actions = f.b.EndpointsUpdated(f.now, ListChanges, []Endpoint{{ID: e, State: Draining}}, nil)
	released("without the rule", 0)
}

func TestSlowStartShare(t *testing.T) {
	f := newHarness(t, testConfig(), testEndpoints(1)...)
	start := f.now
	f.actions = f.b.EndpointsUpdated(f.now, ListChanges, []Endpoint{{ID: 1, StartedAt: start}}, nil)
	for _, c := range []struct {
		age  time.Duration
		want float64
	}{{0, 0.2}, {5 * time.Second, 0.6}, {10 * time.Second, 1}, {time.Minute, 1}} {
		f.b.now = start + c.age
		if got := f.b.slowStartShare(f.b.endpoints[1]); math.Abs(got-c.want) > 1e-9 {
			t.Errorf("ramp %g at age %v, want %g", got, c.age, c.want)
		}
	}
	// A restart is a new start, and what was known of the old process is forgotten.
	f.b.recordFailure(f.b.endpoints[1], 0)
	f.actions = f.b.EndpointsUpdated(f.now, ListChanges, []Endpoint{{ID: 1, StartedAt: start + time.Hour}}, nil)
	if e := f.b.endpoints[1]; e.speedPenalty != 0 || e.consecutiveFailures != 0 || e.StartedAt != start+time.Hour {
		t.Errorf("after a restart: %+v", e)
	}
}

// Where own calls tell who is free, a cold endpoint gets no more than its part of the own rate.
func TestSlowStartLimitsSendRate(t *testing.T) {
	cfg := testConfig()
	cfg.Costs.Probe = 0.01
	cfg.SidecarCount = 1
	list := testEndpoints(10)
	f := newHarness(t, cfg, list...)
	cold := list[0]
	cold.StartedAt = f.now
	f.actions = f.b.EndpointsUpdated(f.now, ListChanges, []Endpoint{cold}, nil)
	const n = 400
	got := 0
	for range n {
		f.now += 5 * ms
		r := f.arrive(0, time.Second)
		e := f.sentEndpoint()
		if e == 1 {
			got++
		}
		f.endAttempt(r, 0, e, OK, 200*ms)
	}
	// Two seconds after its start it can do 0.2 to 0.36 of its part, which is a tenth of all.
	if got > n/10/2 {
		t.Errorf("the cold endpoint got %d of %d, want at most %d", got, n, n/10/2)
	}
	if got == 0 {
		t.Error("the cold endpoint got nothing")
	}
}

// When all others fail, every sidecar turns to the endpoint that has just started: together they must
// not send it more than the part of a warm one's load that it can bear.
func TestSlowStartLimitsSendRateWhenOthersAreEjected(t *testing.T) {
	const sidecars, n = 60, 20
	cfg := testConfig()
	cfg.Costs.Probe = 0.01
	cfg.SidecarCount = sidecars
	got, rate := 0, 2*n // requests a second over all: two a server
	for me := range sidecars {
		cfg.SidecarIndex = me
		f := newHarness(t, cfg, testEndpoints(n)...)
		step := time.Second * sidecars / time.Duration(rate)
		f.now += step * time.Duration(me) / sidecars
		for range 10 {
			f.now += step
			f.arrive(0, time.Second)
			for _, s := range f.actionsOf(Send) {
				f.endAttempt(s.Request, 0, s.Endpoint, OK, 100*ms)
			}
		}
		for _, e := range f.b.ready {
			e.ejectedUntil = f.now + time.Minute
		}
		cold := Endpoint{ID: n + 1, Weight: 1, StartedAt: f.now - 2*time.Second}
		f.actions = f.b.EndpointsUpdated(f.now, ListChanges, []Endpoint{cold}, nil)
		for range 2 {
			f.now += step
			f.arrive(0, time.Second)
			got += len(f.actionsOf(Send))
		}
	}
	// In three seconds, at a ramp of at most 0.6, a warm server's part would be 6 x 0.6.
	if got > 8 {
		t.Errorf("%d calls to the cold endpoint by %d sidecars, want a few", got, sidecars)
	}
}

// Traffic that has moved to one zone must not be refused while other zones have free cores.
func TestRequestsSpillToOtherZones(t *testing.T) {
	cfg := testConfig()
	cfg.Costs.Probe = 0.01
	cfg.SidecarCount = subsetOverlap
	list := testEndpoints(4)
	list[2].Zone, list[3].Zone = 1, 1
	f := newHarness(t, cfg, list...)
	var zones []int
	for range 5 {
		f.arrive(0, time.Second)
		for _, s := range f.actionsOf(Send) {
			zones = append(zones, f.b.endpoints[s.Endpoint].Zone)
		}
	}
	if !slices.Equal(zones, []int{0, 0, 1, 1}) {
		t.Errorf("five requests went to zones %v, want the own zone first, then the other, then none", zones)
	}
}

// Sidecars that see nothing of each other must cover all endpoints alike.
func TestSubsetsCoverEndpointsEvenly(t *testing.T) {
	for _, c := range []struct{ sidecars, servers int }{{24, 41}, {60, 100}, {10, 200}, {4, 7}} {
		met := make(map[EndpointID]int)
		for me := range c.sidecars {
			cfg := testConfig()
			cfg.Costs.Probe = 0.01
			cfg.SidecarIndex, cfg.SidecarCount = me, c.sidecars
			f := newHarness(t, cfg, testEndpoints(c.servers)...)
			for _, e := range f.b.local {
				met[e.ID]++
			}
		}
		least, most := math.MaxInt, 0
		for id := range c.servers {
			n := met[EndpointID(id+1)]
			least, most = min(least, n), max(most, n)
		}
		if least < 3 || most > 8 && c.sidecars > 8 {
			t.Errorf("%d sidecars on %d servers: an endpoint is met by %d to %d, want about %d",
				c.sidecars, c.servers, least, most, subsetOverlap)
		}
	}
}

func TestSubscribeBacksOff(t *testing.T) {
	cfg := testConfig()
	cfg.MustSubscribe = true
	f := newHarness(t, cfg, testEndpoints(3)...)
	var last time.Duration
	for i := range 6 {
		timers := f.actionsOf(SetTimer)
		if len(timers) != 1 || timers[0].Timer.Kind != timerSubscribe {
			t.Fatalf("call %d: actions %+v, want a timer", i, f.actions)
		}
		if i > 0 && timers[0].Delay < last/4 {
			t.Errorf("call %d after %v, the one before after %v: no back-off", i, timers[0].Delay, last)
		}
		last = timers[0].Delay
		f.now += last
		f.actions = f.b.TimerFired(f.now, timers[0].Timer, nil)
		if len(f.actionsOf(Subscribe)) != 1 {
			t.Fatalf("call %d: actions %+v, want Subscribe", i, f.actions)
		}
		f.actions = f.b.EndpointsUpdated(f.now, ListUnavailable, nil, nil)
	}
}

// However often discovery refuses, it is asked again before the sidecar counts as told.
func TestSubscribeBackOffIsBounded(t *testing.T) {
	cfg := testConfig()
	cfg.MustSubscribe, cfg.MaxSubscribeDelay = true, time.Second
	f := newHarness(t, cfg, testEndpoints(3)...)
	for i, limit := 0, cfg.MaxSubscribeDelay; i < 8; i, limit = i+1, 4*cfg.MaxSubscribeDelay {
		timers := f.actionsOf(SetTimer)
		if len(timers) != 1 || timers[0].Delay > limit {
			t.Fatalf("call %d: actions %+v, want a timer within %v", i, f.actions, limit)
		}
		f.now += timers[0].Delay
		f.actions = f.b.TimerFired(f.now, timers[0].Timer, nil)
		f.actions = f.b.EndpointsUpdated(f.now, ListUnavailable, nil, nil)
	}
}

// Under overload the held requests are bounded: each is shed when it is too late to start.
func TestQueuedRequestIsShedAtLatestStart(t *testing.T) {
	f := newHarness(t, testConfig(), testEndpoints(1)...)
	f.b.endpoints[1].probing = true // a probe that is never answered
	f.b.drawTokens = 0
	r := f.arrive(0, 2*time.Second)
	startBy := f.b.requests[r].latestStart
	f.now = startBy
	f.fireRequestTimer(r)
	if len(f.actionsOf(Shed)) != 1 || len(f.b.queue) != 0 {
		t.Errorf("at the last moment to start: %+v, %d held, want it shed", f.actions, len(f.b.queue))
	}
}

func TestStartedStreamIsNotTimedOut(t *testing.T) {
	f := newHarness(t, testConfig(), testEndpoints(5)...)
	r, e := f.sendToIdle(0)
	f.actions = f.b.ResponseStarted(f.now, r, 0, nil)
	f.now += 5 * time.Second
	f.fireRequestTimer(r)
	if len(f.actions) != 0 {
		t.Errorf("acted on a stream that had started: %+v", f.actions)
	}
	f.actions = f.b.AttemptEnded(f.now, Outcome{Request: r, Endpoint: e, Result: Reset, RequestFinished: true}, nil)
	if len(f.b.requests) != 0 || len(f.actionsOf(Send)) != 0 {
		t.Errorf("after the stream: %d requests, actions %+v", len(f.b.requests), f.actions)
	}
}

func TestNewNamesInvalidSetting(t *testing.T) {
	for name, spoil := range map[string]func(*Config){
		"Classes":                 func(c *Config) { c.Classes = nil },
		"Classes[0].Semantics":    func(c *Config) { c.Classes[0].Semantics = 9 },
		"Classes[1].Scope":        func(c *Config) { c.Classes[1].Scope = 9 },
		"Classes[2].Goal":         func(c *Config) { c.Classes[2].TargetLatency = 0 },
		"Classes[0].Deadline":     func(c *Config) { c.Classes[0].Deadline = -1 },
		"Classes[1].RepeatWindow": func(c *Config) { c.Classes[1].RepeatWindow = -1 },
		"ColdFor":                 func(c *Config) { c.WarmupTime = -1 },
		"ReleaseWithin":           func(c *Config) { c.MaxDrainIdleTime = -1 },
		"DrainGrace":              func(c *Config) { c.DrainGrace = -1 },
		"ColdShare":               func(c *Config) { c.ColdCapacityShare = 1.5 },
		"FallMultiple":            func(c *Config) { c.ColdOverloadMultiple = math.NaN() },
		"Costs.Waste":             func(c *Config) { c.Costs.Waste = math.Inf(1) },
		"Goal.Nines":              func(c *Config) { c.Objective.Nines = -0.1 },
		"Weights":                 func(c *Config) { c.WeightMeaning = 9 },
		"Reporting":               func(c *Config) { c.Reporting = 9 },
		"Limits.MaxAttempts":      func(c *Config) { c.Limits.MaxAttempts = -1 },
		"Classes[1].Worth":        func(c *Config) { c.Classes[1].Value = -3 },
		"Classes[1].LateShare":    func(c *Config) { c.Classes[1].LateValueShare = 2 },
		"Tenants[0].Quota":        func(c *Config) { c.Tenants = []Tenant{{Quota: math.NaN()}} },
		"Limits.ConnectTimeout":   func(c *Config) { c.Limits.ConnectTimeout = -1 },
	} {
		cfg := testConfig()
		spoil(&cfg)
		_, err := New(cfg, 1)
		if err == nil || !strings.Contains(err.Error(), " "+name+":") {
			t.Errorf("%s: error %v does not name it", name, err)
		}
	}
}

// Requests over their tenant's quota are worth little: they must not take what others wait for.
func TestOverQuotaTenantDoesNotDisplaceOthers(t *testing.T) {
	cfg := testConfig()
	cfg.Costs.Probe = 0.01
	cfg.SidecarCount = 2
	cfg.Tenants = []Tenant{{Name: "large", Quota: 20}, {Name: "small", Quota: 200}}
	f := newHarness(t, cfg, testEndpoints(4)...)
	served := [2]int{}
	for i := range 400 { // the first tenant asks for ten times its part of the quota
		f.now += 5 * ms
		f.lastID++
		tenant := 0
		if i%2 == 1 {
			tenant = 1
		}
		f.actions = f.b.RequestArrived(f.now, Request{ID: f.lastID, Tenant: tenant, Timeout: time.Second}, nil)
		served[tenant] += len(f.actionsOf(Send))
		if len(f.actionsOf(Shed)) == 0 {
			continue
		}
		if tenant == 1 {
			t.Fatalf("request %d within its quota was shed at once", i)
		}
	}
	if over := f.b.overQuota(0); !over {
		t.Error("the first tenant is not over its quota after ten times its part")
	}
	if f.b.overQuota(1) {
		t.Error("the second tenant is over its quota")
	}
	f.b.cfg.Tier = 1
	if f.b.overQuota(0) {
		t.Error("the calls of a request that was let in were counted again")
	}
}

// Cutting the share below one call for each endpoint does nothing but take long to undo.
func TestConcurrencyLimitHasLowerBound(t *testing.T) {
	cfg := testConfig()
	cfg.Costs.Probe = 0.01
	cfg.SidecarCount = 1
	f := newHarness(t, cfg, testEndpoints(10)...)
	for range 3000 {
		f.now += 20 * ms
		f.b.now = f.now
		f.b.adjustConcurrency(5, 5)
	}
	if f.b.concurrencyLimit < 1 {
		t.Errorf("share %g after long crowding, want at least 1 for speeds of 1", f.b.concurrencyLimit)
	}
}

// In a crowd the share falls, and it rises again only if somebody had to wait.
func TestConcurrencyLimitFollowsSlowdown(t *testing.T) {
	cfg := testConfig()
	cfg.Costs.Probe = 0.01
	cfg.SidecarCount = subsetOverlap
	f := newHarness(t, cfg, testEndpoints(10)...)
	move := func(pace float64, n int) {
		for range n {
			f.now += 20 * ms
			f.b.now = f.now
			f.b.adjustConcurrency(pace, -3)
		}
	}
	move(-2, 200)
	if f.b.concurrencyLimit != 1 {
		t.Errorf("share %g with nobody waiting, want 1", f.b.concurrencyLimit)
	}
	f.b.allWereBusy = true
	move(-2, 50)
	up := f.b.concurrencyLimit
	if up <= 1 {
		t.Errorf("share %g after somebody waited, want more than 1", up)
	}
	move(-0.5, 200)
	if f.b.concurrencyLimit >= up {
		t.Errorf("share %g in a crowd, want less than %g", f.b.concurrencyLimit, up)
	}
}

// In an overload all sidecars would spill into each other's stretches, and own calls would tell nothing
// of an endpoint's load: others are used only when all in the stretch fail.
// Where own calls tell who is free, an endpoint is given as many calls at the start by few
// sidecars as by many: else a small fleet idles while its requests wait.
func TestInitialConcurrencyIndependentOfSidecarCount(t *testing.T) {
	for _, n := range []int{1, 2, subsetOverlap, 2 * subsetOverlap} {
		cfg := testConfig()
		cfg.Reporting, cfg.WeightMeaning, cfg.SidecarCount = ReportsInResponse, WeightCapacityEstimate, n
		f := newHarness(t, cfg, Endpoint{ID: 1, Weight: 2})
		sent := 0
		for range 20 {
			f.arrive(0, 2*time.Second)
			sent += len(f.actionsOf(Send))
		}
		if all := sent * min(n, subsetOverlap); all != 2*subsetOverlap {
			t.Errorf("%d sidecars: %d calls each, want %d by all that meet an endpoint", n, sent, 2*subsetOverlap)
		}
	}
}

// A call at an endpoint that others use too needs time to spare by how calls vary there. One
// that an idle endpoint is to be found for does not.
func TestLatestStartAllowsForLatencyDeviation(t *testing.T) {
	for _, test := range []struct {
		reporting Reporting
		a, b      time.Duration // calls take one and the other in turn
		need      float64       // of the usual time
	}{
		{ReportsInResponse, 100 * ms, 100 * ms, startMargin},
		{ReportsInResponse, 60 * ms, 140 * ms, startMargin + 0.4*sharedStartMargin},
		{ReportsInProbe, 60 * ms, 140 * ms, startMargin},
	} {
		cfg := testConfig()
		cfg.Reporting = test.reporting
		f := newHarness(t, cfg, testEndpoints(1)...)
		for i := range 100 {
			r := f.arrive(0, 2*time.Second)
			if cfg.Reporting == ReportsInProbe {
				f.endProbe(1, 0)
			}
			took := []time.Duration{test.a, test.b}[i%2]
			f.now += took
			f.endAttempt(r, 0, 1, OK, took)
		}
		r := f.b.requests[f.arrive(0, 2*time.Second)]
		need := (r.targetAt - r.latestStart).Seconds() / f.b.meanLatency(r)
		if math.Abs(need-test.need) > 0.2 {
			t.Errorf("%+v: needs %.2f of the usual time", test, need)
		}
	}
}

func TestEndpointsOutsideSubsetUsedOnlyWhenSubsetIsEjected(t *testing.T) {
	cfg := testConfig()
	cfg.Costs.Probe = 0.01
	cfg.SidecarCount = 40
	list := testEndpoints(40)
	for i := range list {
		list[i].Zone = i % 2
	}
	f := newHarness(t, cfg, list...)
	stretch := slices.Concat(f.b.local, f.b.remote)
	sent := 0
	for range 30 {
		f.arrive(0, time.Second)
		for _, s := range f.actionsOf(Send) {
			sent++
			if e := f.b.endpoints[s.Endpoint]; !slices.Contains(stretch, e) {
				t.Fatalf("sent to %d outside the stretch though its members do not fail", e.ID)
			}
		}
	}
	if sent != len(stretch) {
		t.Errorf("%d sent, want one to each of the %d in the stretch", sent, len(stretch))
	}
	for _, e := range stretch {
		f.b.recordFailure(e, 0)
	}
	f.arrive(0, time.Second)
	sends := f.actionsOf(Send) // those held until now go too
	if len(sends) == 0 {
		t.Fatal("nobody was sent to though others do not fail")
	}
	for _, s := range sends {
		if e := f.b.endpoints[s.Endpoint]; slices.Contains(stretch, e) {
			t.Errorf("sent to %d though it fails", e.ID)
		}
	}
}

// In a shortage the class whose worth is highest for a server's time goes first, and the class served
// worst is not starved where the goal counts it.
func TestClassesByValueOrder(t *testing.T) {
	cfg := testConfig()
	cfg.Classes = cfg.Classes[:2]
	cfg.Classes[0].Value = 12
	cfg.Objective = ObjectiveWeights{Overall: 0.6, WorstClass: 0.4}
	f := newHarness(t, cfg, testEndpoints(3)...)
	f.b.countRequest(0)
	f.b.countRequest(1)
	f.b.classStats[0].served, f.b.classStats[1].served = 1, 1
	if got := f.b.classesByValue(); got[0] != 0 {
		t.Errorf("order %v, want the dear class first", got)
	}
	f.b.classStats[0].mean = 60 * f.b.classStats[1].mean
	if got := f.b.classesByValue(); got[0] != 1 {
		t.Errorf("order %v, want the class first that needs a sixtieth of the time", got)
	}
	f.b.classStats[0].mean = f.b.classStats[1].mean
	for range 100 {
		f.b.countRequest(0)
		f.b.countRequest(1)
		f.b.classStats[0].served++
	}
	f.b.cfg.Classes[0].Value = 2
	if got := f.b.classesByValue(); got[0] != 1 {
		t.Errorf("order %v, want the class that is served worst first", got)
	}
	for range 1000 {
		f.b.countRequest(0)
	}
	if a := f.b.classStats[1].requests; a > 60 {
		t.Errorf("%g requests of the second class counted after a change of the mix, want old ones forgotten", a)
	}
}

// Held requests go out in that order.
func TestQueueIsDispatchedByClassValue(t *testing.T) {
	cfg := testConfig()
	cfg.Costs.Probe = 0.01
	cfg.Classes[0].Value = 12
	cfg.Objective.Overall = 1
	cfg.SidecarCount = subsetOverlap
	f := newHarness(t, cfg, testEndpoints(1)...)
	first := f.arrive(1, 2*time.Second)
	e := f.sentEndpoint()
	dear := f.arrive(0, 2*time.Second)
	f.arrive(1, 2*time.Second)
	f.now += 20 * ms
	f.endAttempt(first, 0, e, OK, 20*ms)
	f.sentEndpoint()
	if got := f.actionsOf(Send)[0].Request; got != dear {
		t.Errorf("request %d was sent, want %d of the dear class though it is older", got, dear)
	}
}

// Connections that something drops unseen after some idle time are closed before the next call; where
// calls are lost on connections in use as well, closing would not help.
func TestStaleIdleConnectionsAreClosedBeforeSend(t *testing.T) {
	cfg := testConfig()
	cfg.Costs.Probe = 0.01
	cfg.SidecarCount = 1
	for _, lostInUse := range []bool{false, true} {
		f := newHarness(t, cfg, testEndpoints(1)...)
		// call sends after an idle time; it is lost if lost is, but on a new connection only if lostInUse.
		call := func(idle time.Duration, lost bool) (released bool) {
			f.now += idle
			f.b.endpoints[1].ejectedUntil = 0
			r := f.arrive(2, 2*time.Second)
			e := f.sentEndpoint()
			released = len(f.actionsOf(CloseIdle)) > 0
			f.now += 50 * ms
			res := OK
			if lost && (lostInUse || !released) {
				res = Timeout
			}
			f.endAttempt(r, 0, e, res, 50*ms)
			return released
		}
		call(time.Second, false)
		if call(2*time.Second, false) {
			t.Error("a sound connection was closed")
		}
		for range 4 {
			call(2*time.Second, true)
			call(20*ms, lostInUse)
			call(20*ms, lostInUse)
		}
		if got := call(2*time.Second, false); got == lostInUse {
			t.Errorf("calls lost in use too: %v; idle connection closed first: %v", lostInUse, got)
		}
		if call(60*ms, false) {
			t.Error("a connection idle for a short time was closed")
		}
	}
}

// A call lost after a long wait must cost its endpoint more than the least back-off: a jammed one recovers
// only if it is left alone, and each further call there is lost as slowly.
func TestEjectionTimeGrowsWithLostAttempt(t *testing.T) {
	f := newHarness(t, testConfig(), testEndpoints(2)...)
	e := f.b.endpoints[1]
	f.b.recordFailure(e, 2*time.Second)
	if wait := e.ejectedUntil - f.b.now; wait < time.Second {
		t.Errorf("passed over for %v after a call lost in 2 s", wait)
	}
	f.b.recordFailure(f.b.endpoints[2], 0)
	if wait := f.b.endpoints[2].ejectedUntil - f.b.now; wait > time.Second {
		t.Errorf("passed over for %v after a quick failure", wait)
	}
}

// Where many sidecars share few endpoints, one call of each is too much for a jammed one: calls lost in
// silence must cut how many are out, and answers let it grow again.
func TestCongestionWindow(t *testing.T) {
	cfg := testConfig()
	cfg.Costs.Probe = 0.01
	cfg.SidecarCount = 100
	f := newHarness(t, cfg, testEndpoints(10)...)
	outs := func() (n int) {
		for range 20 {
			f.arrive(2, 2*time.Second)
			n += len(f.actionsOf(Send))
		}
		return n
	}
	settle := func(res Result, took time.Duration) {
		f.now += took
		for _, r := range f.b.requests {
			for i := range r.attempts {
				if a := &r.attempts[i]; a.inFlight {
					f.endAttempt(r.ID, i, a.endpoint.ID, res, took)
				}
			}
		}
		for _, e := range f.b.ready {
			e.ejectedUntil = 0
		}
	}
	if n := outs(); n != 1 {
		t.Fatalf("%d calls out at the start, want one: a hundred sidecars meet ten endpoints", n)
	}
	f.b.queue = nil
	settle(Timeout, time.Second)
	if f.b.congestionWindow >= 0.5 {
		t.Fatalf("window %g after all calls were lost, want under one", f.b.congestionWindow)
	}
	f.b.queue = nil
	f.b.lastSentAt = f.now
	if n := outs(); n != 0 {
		t.Errorf("%d calls at once after all were lost, want them spaced out", n)
	}
	f.now += time.Minute
	if n := outs(); n != 1 {
		t.Errorf("%d calls after a while, want one to find out", n)
	}
	idle := f.b.congestionWindow
	f.b.queue = nil
	settle(OK, 50*ms)
	if f.b.congestionWindow != idle {
		t.Errorf("the window grew from %g to %g though nobody waited", idle, f.b.congestionWindow)
	}
	for range 200 {
		f.now += time.Second
		outs()
		settle(OK, 50*ms)
	}
	if f.b.congestionWindow < 3 {
		t.Errorf("window %g after many answers, want it open again", f.b.congestionWindow)
	}
}

// A request with little time left must not be refused before a probe has told whether anybody is idle.
func TestShortTimeoutRequestWaitsForProbe(t *testing.T) {
	f := newHarness(t, testConfig(), testEndpoints(3)...)
	f.b.classStats[0].mean = 0.4
	r := f.arrive(0, 300*ms) // less than a usual call
	p := f.actionsOf(Probe)
	for _, a := range f.actionsOf(SetTimer) {
		if a.Timer.Kind == timerRequest && a.Delay < ms {
			t.Errorf("it is looked at again after %v, before a probe can have come back", a.Delay)
		}
	}
	f.now += ms
	f.fireRequestTimer(r)
	if len(f.actionsOf(Shed)) != 0 {
		t.Fatal("refused while a probe is out")
	}
	f.endProbe(p[0].Endpoint, 0)
	f.sentEndpoint()
	f.b.drawTokens = 0
	f.arrive(0, 300*ms)
	f.now += probeWait
	f.fireRequestTimer(f.lastID)
	if len(f.actionsOf(Shed)) != 1 {
		t.Errorf("%+v, want it refused once nobody was found in a probe's time", f.actions)
	}
}

// While new connections fail, endpoints that a connection is open to are probed and taken first; once new
// ones succeed again, all are.
func TestConnectedEndpointsPreferredWhileConnectsFail(t *testing.T) {
	f := newHarness(t, testConfig(), testEndpoints(200)...)
	linked := make(map[EndpointID]bool)
	end := func(res Result) {
		f.b.probeTokens, f.b.pendingProbes = maxProbeTokens, nil
		for _, e := range f.b.ready {
			e.probing = false
		}
		r, e := f.sendToIdle(2)
		f.now += 20 * ms
		f.endAttempt(r, 0, e, res, 20*ms)
		linked[e] = linked[e] || res == OK
		f.actions = f.b.RequestAbandoned(f.now, r, nil)
	}
	// share is the part of samples that are linked endpoints.
	share := func() float64 {
		hit := 0
		for range 100 {
			if linked[f.b.sampleForProbe(false, 0).ID] {
				hit++
			}
		}
		return float64(hit) / 100
	}
	for range 4 {
		end(OK)
	}
	if s := share(); s > 0.2 {
		t.Errorf("%g of the samples are linked endpoints though new connections succeed", s)
	}
	for range 6 {
		end(ConnectFailed)
	}
	if s := share(); s < 0.4 {
		t.Errorf("%g of the samples are linked endpoints while new connections fail", s)
	}
	two := []*endpoint{f.b.endpoints[1], f.b.endpoints[2]}
	for i, e := range two {
		e.ejectedUntil, e.speedPenalty, e.lastResponseAt = 0, 0, time.Duration(i)*f.now
		f.b.recordLoad(e, &Load{}, f.now)
	}
	f.b.idleEndpoints = append(f.b.idleEndpoints[:0], two...)
	if got := f.b.pick(&request{class: &f.b.cfg.Classes[0]}); got != two[1] {
		t.Errorf("picked %+v of two idle endpoints, want the linked one", got)
	}
}

// Ties among idle endpoints of one type are broken uniformly: 4000 picks of four, within five deviations.
func TestIdleTiesAreBrokenUniformly(t *testing.T) {
	f := newHarness(t, testConfig(), testEndpoints(4)...)
	const n = 4000
	got := make(map[EndpointID]int)
	for range n {
		f.b.idleEndpoints = f.b.idleEndpoints[:0]
		for _, e := range f.b.ready {
			f.b.recordLoad(e, &Load{}, f.now)
			f.b.idleEndpoints = append(f.b.idleEndpoints, e)
		}
		got[f.b.pick(&request{class: &f.b.cfg.Classes[0]}).ID]++
	}
	for id := EndpointID(1); id <= 4; id++ {
		if d := math.Abs(float64(got[id]) - n/4); d > 5*math.Sqrt(n*0.25*0.75) {
			t.Errorf("endpoint %d was picked %d times of %d, want about a quarter", id, got[id], n)
		}
	}
}

// A request awaits one probe at a time: asking several at once cost twice as much. A probe that
// is late must not hold it up, and an endpoint just found busy is not asked again at once.
func TestOneProbeInFlightPerRequest(t *testing.T) {
	f := newHarness(t, testConfig(), testEndpoints(3)...)
	f.arrive(0, time.Second)
	asked := make(map[EndpointID]bool)
	next := func(what string) EndpointID {
		t.Helper()
		probes := f.actionsOf(Probe)
		if len(probes) != 1 || asked[probes[0].Endpoint] {
			t.Fatalf("%s: probes %v after %v, want one to another endpoint", what, probes, asked)
		}
		asked[probes[0].Endpoint] = true
		return probes[0].Endpoint
	}
	first := next("request")
	f.now += probeWait
	f.actions = f.b.TimerFired(f.now, Timer{Kind: timerDispatch}, nil)
	second := next("the first is late")
	f.now += ms
	f.actions = f.b.ProbeEnded(f.now, second, OK, &Load{InFlight: 1}, nil)
	third := next("the second is busy")
	f.now += ms
	f.actions = f.b.ProbeEnded(f.now, third, OK, &Load{InFlight: 1}, nil)
	if probes := f.actionsOf(Probe); len(probes) > 0 {
		t.Errorf("probes %v to endpoints just found busy", probes)
	}
	f.actions = f.b.ProbeEnded(f.now, first, OK, &Load{InFlight: 0}, nil)
	if sends := f.actionsOf(Send); len(sends) != 1 || sends[0].Endpoint != first {
		t.Errorf("sends %v, want one to %d", sends, first)
	}
}

// A whole list tells of a departure only by leaving the endpoint out: its idle connections are
// closed all the same, and it is forgotten once nothing is out to it.
func TestRemovedEndpointIsDeleted(t *testing.T) {
	cfg := testConfig()
	cfg.MaxDrainIdleTime = time.Second
	f := newHarness(t, cfg, testEndpoints(2)...)
	f.arrive(0, time.Second)
	out := f.actionsOf(Probe)[0].Endpoint
	f.actions = f.b.EndpointsUpdated(f.now, ListFull, nil, nil)
	if len(f.b.endpoints) != 1 || f.b.endpoints[out] == nil {
		t.Errorf("%d endpoints known, want the one that is probed", len(f.b.endpoints))
	}
	if got := f.actionsOf(CloseIdle); len(got) != 1 || got[0].Endpoint != out {
		t.Errorf("released %v, want the one that was asked", got)
	}
	f.actions = f.b.ProbeEnded(f.now, out, OK, nil, nil)
	if len(f.b.endpoints) != 0 {
		t.Errorf("%d endpoints known in the end", len(f.b.endpoints))
	}
}

// A refused client is told to come back while a retry can still be in time, or else as late as
// it heeds; where clients heed nothing, it is told nothing.
func TestShedRetryAfterDelay(t *testing.T) {
	for _, most := range []time.Duration{0, 2 * time.Second} {
		cfg := testConfig()
		cfg.Limits.MaxRetryAfter = most
		f := newHarness(t, cfg)
		id := f.arrive(0, 2*time.Second)
		f.b.classStats[0].mean = 0.1
		f.now += 300 * ms // 400 of its goal's 800 ms are left beyond a call
		f.b.now, f.b.actions = f.now, nil
		f.b.shedOrFail(f.b.requests[id])
		f.actions = f.b.actions
		soon := f.actionsOf(Shed)
		f.b.classStats[0].mean = 1
		f.arrive(0, 0)
		late := f.actionsOf(Shed)
		if len(soon) != 1 || len(late) != 1 {
			t.Fatalf("refused %v and %v", soon, late)
		}
		if soon[0].Delay != min(200*ms, most) || late[0].Delay != most {
			t.Errorf("told %v and %v, with %v at most", soon[0].Delay, late[0].Delay, most)
		}
	}
}

// A probe that the sidecar could not send is not the endpoint's fault.
func TestProbeNotSentIsNoEndpointFailure(t *testing.T) {
	for res, want := range map[Result]int{NotSent: 0, Timeout: 1} {
		f := newHarness(t, testConfig(), testEndpoints(1)...)
		f.arrive(0, time.Second)
		if probes := f.actionsOf(Probe); len(probes) != 1 {
			t.Fatalf("probes %v", probes)
		}
		f.b.ProbeEnded(f.now, 1, res, nil, nil)
		if got := f.b.endpoints[1].consecutiveFailures; got != want {
			t.Errorf("result %d: %d failures, want %d", res, got, want)
		}
	}
}

// A class's bounds hold beside those of the limits, and at once for what waits: a request that may have
// no further attempt is answered as soon as that is so.
func TestClassLimits(t *testing.T) {
	lost := func(cfg Config) (*harness, RequestID) {
		f := newHarness(t, cfg, testEndpoints(20)...)
		r, e := f.sendToIdle(0)
		f.b.idleEndpoints = nil
		f.endAttempt(r, 0, e, Error, ms)
		return f, r
	}
	answered := func(f *harness) bool { return len(f.actionsOf(Shed))+len(f.actionsOf(Fail)) == 1 }
	for name, bound := range map[string]func(c *Class){
		"one attempt": func(c *Class) { c.MaxAttempts = 1 }, "no retry": func(c *Class) { c.MaxRetries = -1 },
		"no time": func(c *Class) { c.RetryStartWindow = 1 },
	} {
		cfg := testConfig()
		bound(&cfg.Classes[0])
		if f, _ := lost(cfg); !answered(f) {
			t.Errorf("%s: not answered: %+v", name, f.actions)
		}
	}
	cfg := testConfig()
	cfg.Classes[0].RetryStartWindow = 300 * ms
	f, r := lost(cfg)
	if answered(f) || len(f.b.queue) != 1 {
		t.Fatalf("answered with time for a retry: %+v", f.actions)
	}
	f.now = f.b.requests[r].arrivedAt + 300*ms
	if f.fireRequestTimer(r); !answered(f) {
		t.Errorf("not answered once no retry may begin: %+v", f.actions)
	}
	f, _ = lost(testConfig())
	if f.actions = f.b.SetClassLimits(f.now, 0, Class{MaxAttempts: 1}, nil); !answered(f) {
		t.Errorf("not answered once the bound is lowered: %+v", f.actions)
	}
	cfg = testConfig()
	cfg.Classes[0].NoHedging = true
	f = newHarness(t, cfg, testEndpoints(20)...)
	if r, _ := f.sendToIdle(0); f.b.requests[r].hedgeAt != 0 {
		t.Error("a second copy is planned")
	}
}

// A second copy that waits for an idle endpoint is dropped once it may not begin: no probe is sent for it.
func TestQueuedHedgeIsDroppedAfterRetryStartWindow(t *testing.T) {
	cfg := testConfig()
	cfg.Classes[0].RetryStartWindow = 400 * ms
	f := newHarness(t, cfg, testEndpoints(20)...)
	f.b.classStats[0] = latencyStats{mean: 0.05, meanDeviation: 0.02}
	r, _ := f.sendToIdle(0)
	f.b.idleEndpoints = nil
	f.now = f.b.requests[r].hedgeAt
	if f.fireRequestTimer(r); len(f.b.queue) != 1 {
		t.Fatalf("%d held, want the copy", len(f.b.queue))
	}
	f.now = f.b.requests[r].arrivedAt + 400*ms
	if f.actions = f.b.TimerFired(f.now, Timer{Kind: timerDispatch}, nil); len(f.b.queue) != 0 || len(f.actionsOf(Probe)) != 0 {
		t.Errorf("%d held, actions %+v", len(f.b.queue), f.actions)
	}
}

// Where calls are quicker than probes, a report is older than it is believed for by the time it comes. It
// is used as it comes all the same: held requests were given up on beside idle endpoints.
func TestReportIsUsableOnArrival(t *testing.T) {
	f := newHarness(t, testConfig(), testEndpoints(4)...)
	f.b.classStats[0] = latencyStats{mean: 0.0005, meanDeviation: 0.0001, samples: 1000}
	f.arrive(0, time.Second)
	p := f.actionsOf(Probe)
	if len(p) == 0 {
		t.Fatalf("no probe: %+v", f.actions)
	}
	f.now += 2 * ms // four calls' time
	if f.endProbe(p[0].Endpoint, 0); len(f.actionsOf(Send)) != 1 {
		t.Errorf("not sent to an endpoint that was just reported idle: %+v", f.actions)
	}
	// Later, the report is old.
	f.b.idleEndpoints = append(f.b.idleEndpoints, f.b.endpoints[p[0].Endpoint])
	f.now += 5 * ms
	if f.arrive(0, time.Second); len(f.actionsOf(Send)) != 0 {
		t.Errorf("sent by an old report: %+v", f.actions)
	}
}

// Where no probes come back, a request that finds all endpoints suspect is sent as a suspicion ends: it had
// waited until it was nearly late.
func TestQueuedRequestIsSentWhenEjectionEnds(t *testing.T) {
	cfg := testConfig()
	cfg.Reporting = ReportsInResponse
	f := newHarness(t, cfg, testEndpoints(1)...)
	first := f.arrive(0, time.Second)
	f.endAttempt(first, 0, f.sentEndpoint(), Reset, ms)
	if len(f.actionsOf(Send)) > 0 {
		t.Fatalf("sent to a suspect: %+v", f.actions)
	}
	end := f.b.endpoints[1].ejectedUntil
	at := time.Duration(0)
	for _, a := range f.actionsOf(SetTimer) {
		if a.Timer.Kind == timerDispatch {
			at = f.now + a.Delay
		}
	}
	if at != end {
		t.Fatalf("looks again at %v, want %v: %+v", at, end, f.actions)
	}
	f.now = at
	if f.actions = f.b.TimerFired(f.now, Timer{Kind: timerDispatch}, nil); len(f.actionsOf(Send)) == 0 {
		t.Errorf("not sent as the suspicion ended: %+v", f.actions)
	}
}

// Calls whose bodies are still arriving, and those whose answers flow, take no core of their
// endpoints: slow callers, however many, keep nobody else from being served. Once whole they count.
func TestSlowCallersDoNotOccupyEndpoints(t *testing.T) {
	cfg := testConfig()
	cfg.SidecarCount, cfg.Reporting, cfg.Limits.Probes = 1, ReportsNone, false
	f := newHarness(t, cfg, testEndpoints(2)...)
	sends := func(arriving bool) (ids []RequestID, to []EndpointID) {
		for range 30 {
			f.lastID++
			f.actions = f.b.RequestArrived(f.now, Request{ID: f.lastID, Class: 1, Timeout: time.Second, BodyArriving: arriving}, nil)
			for _, a := range f.actionsOf(Send) {
				ids, to = append(ids, a.Request), append(to, a.Endpoint)
			}
		}
		return ids, to
	}
	slow, at := sends(true)
	if len(slow) != 30 {
		t.Fatalf("%d of 30 uploads were sent", len(slow))
	}
	short, _ := sends(false)
	if len(short) == 0 || len(short) == 30 {
		t.Fatalf("%d short calls were sent beside them: as many as there are free cores", len(short))
	}
	for _, id := range slow[:15] {
		f.actions = f.b.BodyStateChanged(f.now, id, BodyComplete, nil)
	}
	if more, _ := sends(false); len(more) > 0 {
		t.Errorf("%d were sent to endpoints that have work now", len(more))
	}
	f.actions = f.b.ResponseStarted(f.now, slow[0], 0, nil)
	for i, id := range slow {
		f.endAttempt(id, 0, at[i], OK, ms)
	}
	for _, id := range short {
		f.endAttempt(id, 0, 1, OK, ms)
	}
	if f.b.inFlight < 0 {
		t.Errorf("%d calls are out", f.b.inFlight)
	}
	for _, e := range f.b.endpoints {
		if e.waitingForCaller != 0 {
			t.Errorf("endpoint %d: %d wait for callers", e.ID, e.waitingForCaller)
		}
	}
}

// Held requests go out oldest first, so that none waits for long where there is enough for all;
// newest first once the oldest has waited for a part of its patience, as in overload.
func TestQueueIsFIFOThenLIFO(t *testing.T) {
	for _, c := range []struct {
		waited time.Duration
		oldest bool
	}{{2 * ms, true}, {200 * ms, false}} {
		cfg := testConfig()
		cfg.SidecarCount, cfg.Reporting, cfg.Limits.Probes = 1, ReportsNone, false
		f := newHarness(t, cfg, testEndpoints(1)...)
		var out, held []RequestID
		var at EndpointID
		for len(held) < 3 {
			id := f.arrive(0, 2*time.Second)
			if s := f.actionsOf(Send); len(s) > 0 {
				out, at = append(out, id), s[0].Endpoint
			} else {
				held = append(held, id)
			}
		}
		f.now += c.waited
		f.endAttempt(out[0], 0, at, OK, ms)
		want := held[2]
		if c.oldest {
			want = held[0]
		}
		if s := f.actionsOf(Send); len(s) != 1 || s[0].Request != want {
			t.Errorf("after %v: %+v, want request %d", c.waited, s, want)
		}
	}
}

// A keyed request that may have run waits for a further attempt no longer than its key is
// remembered: then it can't have one, and is answered at once.
func TestQueuedKeyedRetryEndsWithRepeatWindow(t *testing.T) {
	cfg := testConfig()
	cfg.SidecarCount, cfg.Reporting, cfg.Limits.Probes = 1, ReportsNone, false
	cfg.Classes[1].RepeatWindow = 100 * ms
	f := newHarness(t, cfg, testEndpoints(2)...)
	r := f.arrive(1, 2*time.Second)
	to := f.sentEndpoint()
	f.now += 150 * ms
	f.endAttempt(r, 0, to, Error, 150*ms)
	for _, a := range f.actionsOf(SetTimer) {
		if a.Timer.Kind == timerRequest && a.Delay <= ms {
			f.now += a.Delay
			f.fireRequestTimer(r)
		}
	}
	if got := f.actionsOf(Shed); len(got) != 1 || got[0].Request != r {
		t.Errorf("%+v: it waits for nothing", f.actions)
	}
}

func TestKeyedRetryStartDeadline(t *testing.T) {
	f := newHarness(t, testConfig(), testEndpoints(4)...)
	r, first := f.sendToIdle(1)
	sent := f.now
	f.now += 100 * ms
	f.endAttempt(r, 0, first, Reset, 100*ms)
	for n := 0; len(f.actionsOf(Send)) == 0; n++ {
		if n == 100 {
			t.Fatal("it is not sent again")
		}
		for _, p := range f.actionsOf(Probe) {
			f.now += ms
			f.endProbe(p.Endpoint, 0)
		}
		if len(f.actionsOf(Send)) == 0 {
			f.fireDispatchTimer()
		}
	}
	window := f.b.cfg.Classes[1].RepeatWindow
	if got, want := f.actionsOf(Send)[0].StartDeadline, sent+window-150*ms; got <= 0 || got > want {
		t.Errorf("it may begin to go out until %v after the first attempt, want %v", got-sent, want-sent)
	}
}
