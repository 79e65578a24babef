package balance

import (
	"math"
	"slices"
	"strings"
	"testing"
	"time"
)

const ms = time.Millisecond

// harness holds a balancer under test, its clock and the actions of the last event.
type harness struct {
	t       testing.TB
	b       *Balancer
	now     time.Duration
	actions []Action
	lastID  RequestID
}

// testConfig returns the configuration of a sidecar that probes, with one class of each semantics.
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

// newHarness returns a balancer that has received list as its last known list.
func newHarness(t testing.TB, cfg Config, list ...Endpoint) *harness {
	t.Helper()
	b, err := New(cfg, 1)
	if err != nil {
		t.Fatal(err)
	}
	h := &harness{t: t, b: b, now: time.Minute}
	h.actions = b.EndpointsUpdated(h.now, ListLastKnown, list, nil)
	return h
}

// testEndpoints returns n endpoints, numbered from 1.
func testEndpoints(n int) []Endpoint {
	list := make([]Endpoint, n)
	for i := range list {
		list[i] = Endpoint{ID: EndpointID(i + 1), Weight: 1}
	}
	return list
}

// arrive passes a new request to the balancer.
func (h *harness) arrive(class int, timeout time.Duration) RequestID {
	h.lastID++
	h.actions = h.b.RequestArrived(h.now, Request{ID: h.lastID, Class: class, Timeout: timeout}, nil)
	return h.lastID
}

// actionsOf returns the actions of a kind that the last event caused.
func (h *harness) actionsOf(kind ActionKind) []Action {
	var found []Action
	for _, a := range h.actions {
		if a.Kind == kind {
			found = append(found, a)
		}
	}
	return found
}

// endProbe ends a probe with a report of inFlight requests.
func (h *harness) endProbe(id EndpointID, inFlight float64) {
	h.actions = h.b.ProbeEnded(h.now, id, OK, &Load{InFlight: inFlight}, nil)
}

// sentEndpoint returns the endpoint of the only Send of the last event.
func (h *harness) sentEndpoint() EndpointID {
	h.t.Helper()
	s := h.actionsOf(Send)
	if len(s) != 1 {
		h.t.Fatalf("%d sends, want 1: %+v", len(s), h.actions)
	}
	return s[0].Endpoint
}

// endAttempt ends attempt index of a request.
func (h *harness) endAttempt(r RequestID, index int, e EndpointID, res Result, elapsed time.Duration) {
	h.actions = h.b.AttemptEnded(h.now, Outcome{
		Request: r, Attempt: index, Endpoint: e, Result: res, RequestFinished: res == OK, Elapsed: elapsed,
	}, nil)
}

// sendToIdle passes a new request to the balancer and ends its probes with reports of idle endpoints until it is
// sent.
func (h *harness) sendToIdle(class int) (RequestID, EndpointID) {
	h.t.Helper()
	r := h.arrive(class, 2*time.Second)
	for range 100 {
		for _, p := range h.actionsOf(Probe) {
			h.now += ms
			h.endProbe(p.Endpoint, 0)
			if s := h.actionsOf(Send); len(s) > 0 {
				return r, s[0].Endpoint
			}
		}
		h.fireDispatchTimer()
		if s := h.actionsOf(Send); len(s) > 0 {
			return r, s[0].Endpoint
		}
	}
	h.t.Fatalf("request %d was not sent: %+v", r, h.actions)
	return 0, 0
}

// fireDispatchTimer advances the clock by the wait for a probe and fires the dispatch timer.
func (h *harness) fireDispatchTimer() {
	h.now += probeWait
	h.actions = h.b.TimerFired(h.now, Timer{Kind: timerDispatch}, nil)
}

// fireRequestTimer fires the timer of a request.
func (h *harness) fireRequestTimer(r RequestID) {
	h.actions = h.b.TimerFired(h.now, Timer{Kind: timerRequest, Ref: uint64(r)}, nil)
}

func TestRequestGoesToIdleEndpoint(t *testing.T) {
	h := newHarness(t, testConfig(), testEndpoints(3)...)
	h.arrive(0, time.Second)
	probes := h.actionsOf(Probe)
	if len(probes) == 0 {
		t.Fatal("no probe at an arrival")
	}
	if got := h.actionsOf(Send); len(got) != 0 {
		t.Fatalf("sent before any endpoint was known to be idle: %+v", got)
	}
	h.now += ms
	for i, p := range probes {
		h.endProbe(p.Endpoint, 2)
		if len(h.actionsOf(Send)) > 0 {
			t.Fatalf("probe %d: sent to a busy endpoint", i)
		}
	}
	furtherProbes := h.actionsOf(Probe)
	if len(furtherProbes) == 0 {
		t.Fatal("no further probe though no endpoint is idle")
	}
	h.now += ms
	h.endProbe(furtherProbes[0].Endpoint, 0)
	if got := h.sentEndpoint(); got != furtherProbes[0].Endpoint {
		t.Errorf("sent to %d, want the idle %d", got, furtherProbes[0].Endpoint)
	}
}

func TestIdleReportServesOneRequest(t *testing.T) {
	h := newHarness(t, testConfig(), testEndpoints(1)...)
	first := h.arrive(0, time.Second)
	h.now += ms
	h.endProbe(1, 0)
	h.sentEndpoint()
	h.arrive(0, time.Second)
	if got := h.actionsOf(Send); len(got) != 0 {
		t.Fatalf("one report was used for two requests: %+v", got)
	}
	h.now += ms
	h.endAttempt(first, 0, 1, OK, ms)
	if got := h.sentEndpoint(); got != 1 {
		t.Errorf("sent to %d, want 1, which is idle again after its attempt ended", got)
	}
}

func TestFastestIdleTypeFirst(t *testing.T) {
	cfg := testConfig()
	cfg.WeightMeaning = WeightCapacity
	list := testEndpoints(3)
	list[1].Weight = 4
	h := newHarness(t, cfg, list...)
	h.arrive(0, time.Second)
	// All three endpoints are found idle while only one request is queued.
	for _, e := range h.b.ready {
		h.b.recordLoad(e, &Load{InFlight: 0}, h.now)
		h.b.idleEndpoints = append(h.b.idleEndpoints, e)
	}
	h.actions = h.b.TimerFired(h.now, Timer{Kind: timerDispatch}, nil)
	if got := h.sentEndpoint(); got != 2 {
		t.Errorf("sent to %d, want 2, the fastest", got)
	}
	h.arrive(0, time.Second)
	if got := h.sentEndpoint(); got == 2 {
		t.Error("one report of the fastest endpoint was used for two requests")
	}
}

// The draw among busy endpoints must follow their speeds: in 20,000 draws with a fixed seed each endpoint's
// count must be within five standard deviations.
func TestDrawWeightedFollowsSpeed(t *testing.T) {
	cfg := testConfig()
	cfg.WeightMeaning = WeightCapacity
	list := testEndpoints(6)
	for i := range list {
		list[i].Weight = []float64{1, 1, 1, 4, 4, 2}[i]
	}
	h := newHarness(t, cfg, list...)
	const n = 20000
	drawn := make(map[EndpointID]int)
	r := &request{class: &h.b.cfg.Classes[0]}
	for range n {
		drawn[h.b.drawWeighted(r).ID]++
	}
	for _, e := range list {
		p := e.Weight / 13
		deviation := math.Sqrt(n * p * (1 - p))
		if diff := math.Abs(float64(drawn[e.ID]) - n*p); diff > 5*deviation {
			t.Errorf("endpoint %d of speed %g drawn %d times, want %.0f +- %.0f", e.ID, e.Weight, drawn[e.ID], n*p, 5*deviation)
		}
	}
}

func TestEndpointsWithoutCapacityAreOneType(t *testing.T) {
	list := testEndpoints(6)
	for i := range list {
		list[i].Weight = float64(i + 1)
	}
	h := newHarness(t, testConfig(), list...) // WeightNone: weights have no meaning
	for _, e := range h.b.ready {
		if got := h.b.typeSpeed(e); got != 1 {
			t.Errorf("endpoint %d has the type of speed %g, want 1 for all", e.ID, got)
		}
	}
}

// An endpoint that fails fast reports few requests in flight. It must lose speed and not be probed all the same.
func TestFastFailingEndpointLosesSpeed(t *testing.T) {
	h := newHarness(t, testConfig(), testEndpoints(2)...)
	failing := h.b.endpoints[1]
	for range 20 {
		h.b.recordFailure(failing, 0)
	}
	if speed := h.b.speed(failing); speed > 0.1*h.b.speed(h.b.endpoints[2]) {
		t.Errorf("speed %g after 20 failures, want under a tenth of the other's", speed)
	}
	sampled := make(map[EndpointID]int)
	for range 50 {
		sampled[h.b.sampleForProbe(false, 0).ID]++
	}
	if sampled[1] > 0 {
		t.Errorf("the failing endpoint was sampled %d times of 50", sampled[1])
	}
}

// A fault that ejects all endpoints must not keep requests from being sent.
func TestRequestIsSentWhenAllEndpointsAreEjected(t *testing.T) {
	h := newHarness(t, testConfig(), testEndpoints(3)...)
	for _, e := range h.b.ready {
		h.b.recordFailure(e, 0)
	}
	h.sendToIdle(0)
}

func TestRequestIsShedBeforeItsDeadline(t *testing.T) {
	for name, list := range map[string][]Endpoint{
		"empty list":      nil,
		"draining":        {{ID: 1, State: Draining}},
		"no probe result": testEndpoints(2),
	} {
		h := newHarness(t, testConfig(), list...)
		r := h.arrive(2, 500*ms)
		h.now += 500*ms - 2*ms
		h.fireRequestTimer(r)
		if len(h.actionsOf(Shed)) != 1 {
			t.Errorf("%s: actions %+v, want one Shed", name, h.actions)
		}
		h.fireRequestTimer(r)
		if len(h.actions) != 0 {
			t.Errorf("%s: acted after the final response: %+v", name, h.actions)
		}
	}
}

// Checks what follows the end of an attempt, for each semantics.
func TestRetryByResultAndSemantics(t *testing.T) {
	const safe, keyed, unsafe = 0, 1, 2
	type want struct{ retry, shed, fail bool }
	retry, fail := want{retry: true}, want{fail: true}
	for _, c := range []struct {
		class int
		res   Result
		want  want
	}{
		{safe, Error, retry}, {safe, Timeout, retry}, {safe, Reset, retry}, {safe, Rejected, retry},
		{safe, ConnectFailed, retry}, {safe, Canceled, retry}, {safe, NotSent, retry},
		{keyed, Error, retry}, {keyed, Timeout, retry}, {keyed, Reset, retry}, {keyed, Rejected, retry},
		{keyed, ConnectFailed, retry}, {keyed, Canceled, retry}, {keyed, NotSent, retry},
		{unsafe, Error, fail}, {unsafe, Timeout, fail}, {unsafe, Reset, fail}, {unsafe, Canceled, fail},
		{unsafe, Rejected, retry}, {unsafe, ConnectFailed, retry}, {unsafe, NotSent, retry},
	} {
		h := newHarness(t, testConfig(), testEndpoints(20)...)
		r, e := h.sendToIdle(c.class)
		h.now += ms
		h.endAttempt(r, 0, e, c.res, ms)
		got := want{
			retry: len(h.actionsOf(Send))+len(h.actionsOf(Probe)) > 0,
			shed:  len(h.actionsOf(Shed)) > 0, fail: len(h.actionsOf(Fail)) > 0,
		}
		if got != c.want {
			t.Errorf("class %d, result %d: %+v, want %+v", c.class, c.res, got, c.want)
		}
	}
}

// Checks the final response to a request whose attempt may have run.
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
		h := newHarness(t, cfg, testEndpoints(5)...)
		r, _ := h.sendToIdle(0)
		h.now += time.Second
		h.fireRequestTimer(r)
		if len(h.actionsOf(c.want)) != 1 || len(h.actionsOf(Shed))+len(h.actionsOf(Fail)) != 1 {
			t.Errorf("semantics %d, scope %d: %+v, want one action %d", c.sem, c.scope, h.actions, c.want)
		}
		if len(h.actionsOf(Cancel)) != 1 {
			t.Errorf("semantics %d: the attempt was not canceled", c.sem)
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
		h := newHarness(t, cfg, list...)
		r, e := h.sendToIdle(1)
		first := h.b.endpoints[e]
		h.now += ms
		h.endAttempt(r, 0, e, Error, ms)
		for _, other := range h.b.ready {
			inScope := other.Zone == first.Zone
			if scope == ScopeCell {
				inScope = other.Cell == first.Cell
			}
			if got := h.b.maySend(h.b.requests[r], other); got != (inScope && other != first) {
				t.Errorf("scope %d: endpoint %d allowed: %v", scope, other.ID, got)
			}
		}
		h.now += cfg.Classes[1].RepeatWindow
		h.b.now = h.now
		for _, other := range h.b.ready {
			if h.b.maySend(h.b.requests[r], other) {
				t.Errorf("scope %d: endpoint %d allowed after the repeat window", scope, other.ID)
			}
		}
	}
}

// A keyed request with one endpoint in scope may be retried there, as that endpoint drops repeats too. With
// another endpoint in scope it goes to the other.
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
		h := newHarness(t, cfg, list...)
		r := h.arrive(1, 2*time.Second)
		first := h.sentEndpoint()
		h.now += 100 * ms
		h.endAttempt(r, 0, first, Error, 100*ms)
		for len(h.actionsOf(Send)) == 0 && h.now < time.Minute+700*ms {
			h.now += 10 * ms
			h.actions = h.b.TimerFired(h.now, Timer{Kind: timerDispatch}, nil)
		}
		if second := h.sentEndpoint(); second != first && alone || second == first && !alone || second > 2 {
			t.Errorf("alone in scope %v: sent to %d and then to %d", alone, first, second)
		}
	}
}

func TestNoHedgeWhenHedgingIsDisabled(t *testing.T) {
	cfg := testConfig()
	cfg.Limits.Hedging = false
	h := newHarness(t, cfg, testEndpoints(5)...)
	r, _ := h.sendToIdle(0)
	for _, e := range h.b.ready {
		if h.b.maySend(h.b.requests[r], e) {
			t.Errorf("endpoint %d allowed while an attempt is in flight", e.ID)
		}
	}
}

// A hedge may wait for an idle endpoint when the first attempt fails. The request must be queued only once:
// queued twice, it was sent again after its final response.
func TestWaitingHedgeIsQueuedOnce(t *testing.T) {
	h := newHarness(t, testConfig(), testEndpoints(20)...)
	h.b.classStats[0] = latencyStats{mean: 0.05, meanDeviation: 0.02}
	r, e := h.sendToIdle(0)
	h.b.idleEndpoints = nil
	h.now = h.b.requests[r].hedgeAt
	h.fireRequestTimer(r)
	if len(h.b.queue) != 1 {
		t.Fatalf("%d queued, want the hedge", len(h.b.queue))
	}
	h.endAttempt(r, 0, e, Error, ms)
	if len(h.b.queue) != 1 {
		t.Errorf("%d queued after the first attempt failed, want 1", len(h.b.queue))
	}
}

func TestDrainingAndRemovedEndpointsGetNoRequests(t *testing.T) {
	h := newHarness(t, testConfig(), testEndpoints(4)...)
	h.actions = h.b.EndpointsUpdated(h.now, ListChanges, []Endpoint{{ID: 1, State: Draining}, {ID: 2, State: Removed}}, nil)
	if len(h.b.ready) != 2 {
		t.Fatalf("%d ready after one is draining and one removed, want 2", len(h.b.ready))
	}
	for range 10 {
		if _, e := h.sendToIdle(0); e < 3 {
			t.Fatalf("sent to %d, which is draining or removed", e)
		}
		h.now += 100 * ms
	}
	h.actions = h.b.EndpointsUpdated(h.now, ListFull, testEndpoints(1), nil)
	if len(h.b.ready) != 1 || h.b.ready[0].ID != 1 {
		t.Errorf("ready %v after a full list, want endpoint 1 alone", h.b.ready)
	}
	h.actions = h.b.EndpointsUpdated(h.now, ListUnavailable, nil, nil)
	if len(h.b.ready) != 1 {
		t.Error("a failed discovery request changed the list")
	}
}

// Idle connections to a draining endpoint must be closed at the list update and again after each later outcome.
func TestIdleConnectionsToDrainingEndpointAreClosed(t *testing.T) {
	cfg := testConfig()
	cfg.MaxDrainIdleTime = 800 * ms
	h := newHarness(t, cfg, testEndpoints(2)...)
	r, e := h.sendToIdle(0)
	other := 3 - e
	drain := []Endpoint{{ID: e, State: Draining}}
	wantClosed := func(when string, want int) {
		t.Helper()
		n := 0
		for _, a := range h.actionsOf(CloseIdle) {
			if a.Endpoint == e {
				n++
			}
		}
		if n != want {
			t.Errorf("%s: %d CloseIdle for %d, want %d: %+v", when, n, e, want, h.actions)
		}
	}
	h.actions = h.b.EndpointsUpdated(h.now, ListChanges, drain, nil)
	wantClosed("at the list update", 1)
	h.now += 300 * ms
	h.endAttempt(r, 0, e, OK, 300*ms)
	wantClosed("after the last outcome", 1)
	h.actions = h.b.EndpointsUpdated(h.now, ListChanges, []Endpoint{{ID: other, State: InService}}, nil)
	wantClosed("at an update of another endpoint", 0)

	h = newHarness(t, testConfig(), testEndpoints(2)...)
	_, e = h.sendToIdle(0)
	h.actions = h.b.EndpointsUpdated(h.now, ListChanges, []Endpoint{{ID: e, State: Draining}}, nil)
	wantClosed("without MaxDrainIdleTime", 0)
}

func TestSlowStartShare(t *testing.T) {
	h := newHarness(t, testConfig(), testEndpoints(1)...)
	startedAt := h.now
	h.actions = h.b.EndpointsUpdated(h.now, ListChanges, []Endpoint{{ID: 1, StartedAt: startedAt}}, nil)
	for _, c := range []struct {
		age  time.Duration
		want float64
	}{{0, 0.2}, {5 * time.Second, 0.6}, {10 * time.Second, 1}, {time.Minute, 1}} {
		h.b.now = startedAt + c.age
		if got := h.b.slowStartShare(h.b.endpoints[1]); math.Abs(got-c.want) > 1e-9 {
			t.Errorf("share %g at age %v, want %g", got, c.age, c.want)
		}
	}
	// A restart starts the warm-up again and resets the state of the old process.
	h.b.recordFailure(h.b.endpoints[1], 0)
	h.actions = h.b.EndpointsUpdated(h.now, ListChanges, []Endpoint{{ID: 1, StartedAt: startedAt + time.Hour}}, nil)
	if e := h.b.endpoints[1]; e.speedPenalty != 0 || e.consecutiveFailures != 0 || e.StartedAt != startedAt+time.Hour {
		t.Errorf("after a restart: %+v", e)
	}
}

// Without probes, a cold endpoint must get no more than its part of the sidecar's send rate.
func TestSlowStartLimitsSendRate(t *testing.T) {
	cfg := testConfig()
	cfg.Costs.Probe = 0.01
	cfg.SidecarCount = 1
	list := testEndpoints(10)
	h := newHarness(t, cfg, list...)
	cold := list[0]
	cold.StartedAt = h.now
	h.actions = h.b.EndpointsUpdated(h.now, ListChanges, []Endpoint{cold}, nil)
	const n = 400
	toCold := 0
	for range n {
		h.now += 5 * ms
		r := h.arrive(0, time.Second)
		e := h.sentEndpoint()
		if e == 1 {
			toCold++
		}
		h.endAttempt(r, 0, e, OK, 200*ms)
	}
	// In the two seconds after its start it has 0.2 to 0.36 of its capacity, which is a tenth of the total.
	if toCold > n/10/2 {
		t.Errorf("the cold endpoint got %d of %d, want at most %d", toCold, n, n/10/2)
	}
	if toCold == 0 {
		t.Error("the cold endpoint got nothing")
	}
}

// When all others are ejected, every sidecar turns to the endpoint that has just started. Together they must not
// send it more than a cold endpoint's part of the load of a warm one.
func TestSlowStartLimitsSendRateWhenOthersAreEjected(t *testing.T) {
	const sidecars, n = 60, 20
	cfg := testConfig()
	cfg.Costs.Probe = 0.01
	cfg.SidecarCount = sidecars
	toCold, rate := 0, 2*n // requests per second of all sidecars: two per endpoint
	for index := range sidecars {
		cfg.SidecarIndex = index
		h := newHarness(t, cfg, testEndpoints(n)...)
		interval := time.Second * sidecars / time.Duration(rate)
		h.now += interval * time.Duration(index) / sidecars
		for range 10 {
			h.now += interval
			h.arrive(0, time.Second)
			for _, s := range h.actionsOf(Send) {
				h.endAttempt(s.Request, 0, s.Endpoint, OK, 100*ms)
			}
		}
		for _, e := range h.b.ready {
			e.ejectedUntil = h.now + time.Minute
		}
		cold := Endpoint{ID: n + 1, Weight: 1, StartedAt: h.now - 2*time.Second}
		h.actions = h.b.EndpointsUpdated(h.now, ListChanges, []Endpoint{cold}, nil)
		for range 2 {
			h.now += interval
			h.arrive(0, time.Second)
			toCold += len(h.actionsOf(Send))
		}
	}
	// In three seconds a warm endpoint would get 6 requests, and a cold one at most 0.6 of these.
	if toCold > 8 {
		t.Errorf("%d attempts to the cold endpoint by %d sidecars, want a few", toCold, sidecars)
	}
}

// Traffic that has moved to one zone must not be refused while other zones have free cores.
func TestRequestsSpillToOtherZones(t *testing.T) {
	cfg := testConfig()
	cfg.Costs.Probe = 0.01
	cfg.SidecarCount = subsetOverlap
	list := testEndpoints(4)
	list[2].Zone, list[3].Zone = 1, 1
	h := newHarness(t, cfg, list...)
	var zones []int
	for range 5 {
		h.arrive(0, time.Second)
		for _, s := range h.actionsOf(Send) {
			zones = append(zones, h.b.endpoints[s.Endpoint].Zone)
		}
	}
	if !slices.Equal(zones, []int{0, 0, 1, 1}) {
		t.Errorf("five requests went to zones %v, want the own zone first, then the other, then none", zones)
	}
}

// Sidecars that don't communicate must cover all endpoints evenly with their subsets.
func TestSubsetsCoverEndpointsEvenly(t *testing.T) {
	for _, c := range []struct{ sidecars, endpoints int }{{24, 41}, {60, 100}, {10, 200}, {4, 7}} {
		coverage := make(map[EndpointID]int)
		for index := range c.sidecars {
			cfg := testConfig()
			cfg.Costs.Probe = 0.01
			cfg.SidecarIndex, cfg.SidecarCount = index, c.sidecars
			h := newHarness(t, cfg, testEndpoints(c.endpoints)...)
			for _, e := range h.b.local {
				coverage[e.ID]++
			}
		}
		lowest, highest := math.MaxInt, 0
		for id := range c.endpoints {
			n := coverage[EndpointID(id+1)]
			lowest, highest = min(lowest, n), max(highest, n)
		}
		if lowest < 3 || highest > 8 && c.sidecars > 8 {
			t.Errorf("%d sidecars, %d endpoints: an endpoint is in %d to %d subsets, want about %d",
				c.sidecars, c.endpoints, lowest, highest, subsetOverlap)
		}
	}
}

func TestSubscribeBacksOff(t *testing.T) {
	cfg := testConfig()
	cfg.MustSubscribe = true
	h := newHarness(t, cfg, testEndpoints(3)...)
	var lastDelay time.Duration
	for i := range 6 {
		timers := h.actionsOf(SetTimer)
		if len(timers) != 1 || timers[0].Timer.Kind != timerSubscribe {
			t.Fatalf("subscribe %d: actions %+v, want a timer", i, h.actions)
		}
		if i > 0 && timers[0].Delay < lastDelay/4 {
			t.Errorf("subscribe %d after %v, the one before after %v: no back-off", i, timers[0].Delay, lastDelay)
		}
		lastDelay = timers[0].Delay
		h.now += lastDelay
		h.actions = h.b.TimerFired(h.now, timers[0].Timer, nil)
		if len(h.actionsOf(Subscribe)) != 1 {
			t.Fatalf("subscribe %d: actions %+v, want Subscribe", i, h.actions)
		}
		h.actions = h.b.EndpointsUpdated(h.now, ListUnavailable, nil, nil)
	}
}

// However often discovery refuses, the balancer must ask it again before the sidecar counts as informed.
func TestSubscribeBackOffIsBounded(t *testing.T) {
	cfg := testConfig()
	cfg.MustSubscribe, cfg.MaxSubscribeDelay = true, time.Second
	h := newHarness(t, cfg, testEndpoints(3)...)
	for i, limit := 0, cfg.MaxSubscribeDelay; i < 8; i, limit = i+1, 4*cfg.MaxSubscribeDelay {
		timers := h.actionsOf(SetTimer)
		if len(timers) != 1 || timers[0].Delay > limit {
			t.Fatalf("subscribe %d: actions %+v, want a timer within %v", i, h.actions, limit)
		}
		h.now += timers[0].Delay
		h.actions = h.b.TimerFired(h.now, timers[0].Timer, nil)
		h.actions = h.b.EndpointsUpdated(h.now, ListUnavailable, nil, nil)
	}
}

// The queue must stay bounded under overload: each request is shed when it is too late to start it.
func TestQueuedRequestIsShedAtLatestStart(t *testing.T) {
	h := newHarness(t, testConfig(), testEndpoints(1)...)
	h.b.endpoints[1].probing = true // a probe without a result
	h.b.drawTokens = 0
	r := h.arrive(0, 2*time.Second)
	latestStart := h.b.requests[r].latestStart
	h.now = latestStart
	h.fireRequestTimer(r)
	if len(h.actionsOf(Shed)) != 1 || len(h.b.queue) != 0 {
		t.Errorf("at the latest start: %+v, %d queued, want it shed", h.actions, len(h.b.queue))
	}
}

func TestStartedStreamIsNotTimedOut(t *testing.T) {
	h := newHarness(t, testConfig(), testEndpoints(5)...)
	r, e := h.sendToIdle(0)
	h.actions = h.b.ResponseStarted(h.now, r, 0, nil)
	h.now += 5 * time.Second
	h.fireRequestTimer(r)
	if len(h.actions) != 0 {
		t.Errorf("acted on a started stream: %+v", h.actions)
	}
	h.actions = h.b.AttemptEnded(h.now, Outcome{Request: r, Endpoint: e, Result: Reset, RequestFinished: true}, nil)
	if len(h.b.requests) != 0 || len(h.actionsOf(Send)) != 0 {
		t.Errorf("after the end of the stream: %d requests, actions %+v", len(h.b.requests), h.actions)
	}
}

func TestNewNamesInvalidSetting(t *testing.T) {
	for name, invalidate := range map[string]func(*Config){
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
		invalidate(&cfg)
		_, err := New(cfg, 1)
		if err == nil || !strings.Contains(err.Error(), " "+name+":") {
			t.Errorf("%s: error %v does not name the setting", name, err)
		}
	}
}

// Requests over their tenant's quota have little value: they must not take endpoints that others wait for.
func TestOverQuotaTenantDoesNotDisplaceOthers(t *testing.T) {
	cfg := testConfig()
	cfg.Costs.Probe = 0.01
	cfg.SidecarCount = 2
	cfg.Tenants = []Tenant{{Name: "large", Quota: 20}, {Name: "small", Quota: 200}}
	h := newHarness(t, cfg, testEndpoints(4)...)
	served := [2]int{}
	for i := range 400 { // the first tenant sends ten times its part of the quota
		h.now += 5 * ms
		h.lastID++
		tenant := 0
		if i%2 == 1 {
			tenant = 1
		}
		h.actions = h.b.RequestArrived(h.now, Request{ID: h.lastID, Tenant: tenant, Timeout: time.Second}, nil)
		served[tenant] += len(h.actionsOf(Send))
		if len(h.actionsOf(Shed)) == 0 {
			continue
		}
		if tenant == 1 {
			t.Fatalf("request %d within its quota was shed at once", i)
		}
	}
	if over := h.b.overQuota(0); !over {
		t.Error("the first tenant is not over its quota after ten times its part")
	}
	if h.b.overQuota(1) {
		t.Error("the second tenant is over its quota")
	}
	h.b.cfg.Tier = 1
	if h.b.overQuota(0) {
		t.Error("a request that was admitted at tier 0 was counted again at tier 1")
	}
}

// Cutting the concurrency limit below one attempt per endpoint has no effect and takes long to undo.
func TestConcurrencyLimitHasLowerBound(t *testing.T) {
	cfg := testConfig()
	cfg.Costs.Probe = 0.01
	cfg.SidecarCount = 1
	h := newHarness(t, cfg, testEndpoints(10)...)
	for range 3000 {
		h.now += 20 * ms
		h.b.now = h.now
		h.b.adjustConcurrency(5, 5)
	}
	if h.b.concurrencyLimit < 1 {
		t.Errorf("limit %g after long congestion, want at least 1 for speeds of 1", h.b.concurrencyLimit)
	}
}

// The concurrency limit must fall under congestion and rise again only if a request had to wait.
func TestConcurrencyLimitFollowsSlowdown(t *testing.T) {
	cfg := testConfig()
	cfg.Costs.Probe = 0.01
	cfg.SidecarCount = subsetOverlap
	h := newHarness(t, cfg, testEndpoints(10)...)
	adjust := func(logSlowdown float64, n int) {
		for range n {
			h.now += 20 * ms
			h.b.now = h.now
			h.b.adjustConcurrency(logSlowdown, -3)
		}
	}
	adjust(-2, 200)
	if h.b.concurrencyLimit != 1 {
		t.Errorf("limit %g without waiting requests, want 1", h.b.concurrencyLimit)
	}
	h.b.allWereBusy = true
	adjust(-2, 50)
	raised := h.b.concurrencyLimit
	if raised <= 1 {
		t.Errorf("limit %g after a request waited, want more than 1", raised)
	}
	adjust(-0.5, 200)
	if h.b.concurrencyLimit >= raised {
		t.Errorf("limit %g under congestion, want less than %g", h.b.concurrencyLimit, raised)
	}
}

// Without probes, few sidecars must start with as many attempts at an endpoint as many sidecars do: otherwise
// the endpoints of a small deployment idle while requests wait.
func TestInitialConcurrencyIndependentOfSidecarCount(t *testing.T) {
	for _, n := range []int{1, 2, subsetOverlap, 2 * subsetOverlap} {
		cfg := testConfig()
		cfg.Reporting, cfg.WeightMeaning, cfg.SidecarCount = ReportsInResponse, WeightCapacityEstimate, n
		h := newHarness(t, cfg, Endpoint{ID: 1, Weight: 2})
		sent := 0
		for range 20 {
			h.arrive(0, 2*time.Second)
			sent += len(h.actionsOf(Send))
		}
		if all := sent * min(n, subsetOverlap); all != 2*subsetOverlap {
			t.Errorf("%d sidecars: %d attempts each, want %d by all whose subsets contain an endpoint", n, sent, 2*subsetOverlap)
		}
	}
}

// At an endpoint that other sidecars use too, a request needs spare time according to the deviation of the
// latency there. A request that is sent to an idle endpoint does not.
func TestLatestStartAllowsForLatencyDeviation(t *testing.T) {
	for _, test := range []struct {
		reporting Reporting
		a, b      time.Duration // alternating latencies
		margin    float64       // latest start before the target time, in mean latencies
	}{
		{ReportsInResponse, 100 * ms, 100 * ms, startMargin},
		{ReportsInResponse, 60 * ms, 140 * ms, startMargin + 0.4*sharedStartMargin},
		{ReportsInProbe, 60 * ms, 140 * ms, startMargin},
	} {
		cfg := testConfig()
		cfg.Reporting = test.reporting
		h := newHarness(t, cfg, testEndpoints(1)...)
		for i := range 100 {
			r := h.arrive(0, 2*time.Second)
			if cfg.Reporting == ReportsInProbe {
				h.endProbe(1, 0)
			}
			elapsed := []time.Duration{test.a, test.b}[i%2]
			h.now += elapsed
			h.endAttempt(r, 0, 1, OK, elapsed)
		}
		r := h.b.requests[h.arrive(0, 2*time.Second)]
		margin := (r.targetAt - r.latestStart).Seconds() / h.b.meanLatency(r)
		if math.Abs(margin-test.margin) > 0.2 {
			t.Errorf("%+v: margin of %.2f mean latencies", test, margin)
		}
	}
}

// Under overload all sidecars would spill into each other's subsets, and a sidecar's own attempts would say
// nothing about an endpoint's load: endpoints outside the subset are used only when all in it are ejected.
func TestEndpointsOutsideSubsetUsedOnlyWhenSubsetIsEjected(t *testing.T) {
	cfg := testConfig()
	cfg.Costs.Probe = 0.01
	cfg.SidecarCount = 40
	list := testEndpoints(40)
	for i := range list {
		list[i].Zone = i % 2
	}
	h := newHarness(t, cfg, list...)
	subset := slices.Concat(h.b.local, h.b.remote)
	sent := 0
	for range 30 {
		h.arrive(0, time.Second)
		for _, s := range h.actionsOf(Send) {
			sent++
			if e := h.b.endpoints[s.Endpoint]; !slices.Contains(subset, e) {
				t.Fatalf("sent to %d outside the subset though no endpoint in it is ejected", e.ID)
			}
		}
	}
	if sent != len(subset) {
		t.Errorf("%d sent, want one to each of the %d in the subset", sent, len(subset))
	}
	for _, e := range subset {
		h.b.recordFailure(e, 0)
	}
	h.arrive(0, time.Second)
	sends := h.actionsOf(Send) // those queued until now are sent too
	if len(sends) == 0 {
		t.Fatal("nothing was sent though endpoints outside the subset are not ejected")
	}
	for _, s := range sends {
		if e := h.b.endpoints[s.Endpoint]; slices.Contains(subset, e) {
			t.Errorf("sent to %d though it is ejected", e.ID)
		}
	}
}

// In a shortage the class with the highest value per endpoint time must go first, and the class that is served
// worst must not starve if the objective counts it.
func TestClassesByValueOrder(t *testing.T) {
	cfg := testConfig()
	cfg.Classes = cfg.Classes[:2]
	cfg.Classes[0].Value = 12
	cfg.Objective = ObjectiveWeights{Overall: 0.6, WorstClass: 0.4}
	h := newHarness(t, cfg, testEndpoints(3)...)
	h.b.countRequest(0)
	h.b.countRequest(1)
	h.b.classStats[0].served, h.b.classStats[1].served = 1, 1
	if got := h.b.classesByValue(); got[0] != 0 {
		t.Errorf("order %v, want the valuable class first", got)
	}
	h.b.classStats[0].mean = 60 * h.b.classStats[1].mean
	if got := h.b.classesByValue(); got[0] != 1 {
		t.Errorf("order %v, want the class first that has a sixtieth of the latency", got)
	}
	h.b.classStats[0].mean = h.b.classStats[1].mean
	for range 100 {
		h.b.countRequest(0)
		h.b.countRequest(1)
		h.b.classStats[0].served++
	}
	h.b.cfg.Classes[0].Value = 2
	if got := h.b.classesByValue(); got[0] != 1 {
		t.Errorf("order %v, want the class that is served worst first", got)
	}
	for range 1000 {
		h.b.countRequest(0)
	}
	if n := h.b.classStats[1].requests; n > 60 {
		t.Errorf("%g requests of the second class counted after its requests ceased, want old ones forgotten", n)
	}
}

// Queued requests must be sent in the order of classesByValue.
func TestQueueIsDispatchedByClassValue(t *testing.T) {
	cfg := testConfig()
	cfg.Costs.Probe = 0.01
	cfg.Classes[0].Value = 12
	cfg.Objective.Overall = 1
	cfg.SidecarCount = subsetOverlap
	h := newHarness(t, cfg, testEndpoints(1)...)
	first := h.arrive(1, 2*time.Second)
	e := h.sentEndpoint()
	valuable := h.arrive(0, 2*time.Second)
	h.arrive(1, 2*time.Second)
	h.now += 20 * ms
	h.endAttempt(first, 0, e, OK, 20*ms)
	h.sentEndpoint()
	if got := h.actionsOf(Send)[0].Request; got != valuable {
		t.Errorf("request %d was sent, want %d of the more valuable class though it is older", got, valuable)
	}
}

// If something silently drops connections after some idle time, idle ones must be closed before the next
// attempt. Where attempts are lost on connections in use as well, closing would not help.
func TestStaleIdleConnectionsAreClosedBeforeSend(t *testing.T) {
	cfg := testConfig()
	cfg.Costs.Probe = 0.01
	cfg.SidecarCount = 1
	for _, lostInUse := range []bool{false, true} {
		h := newHarness(t, cfg, testEndpoints(1)...)
		// attempt sends an attempt after an idle time and reports whether idle connections were closed first.
		// If lost is set, the attempt is lost, but on a new connection only if lostInUse is set too.
		attempt := func(idle time.Duration, lost bool) (closedIdle bool) {
			h.now += idle
			h.b.endpoints[1].ejectedUntil = 0
			r := h.arrive(2, 2*time.Second)
			e := h.sentEndpoint()
			closedIdle = len(h.actionsOf(CloseIdle)) > 0
			h.now += 50 * ms
			res := OK
			if lost && (lostInUse || !closedIdle) {
				res = Timeout
			}
			h.endAttempt(r, 0, e, res, 50*ms)
			return closedIdle
		}
		attempt(time.Second, false)
		if attempt(2*time.Second, false) {
			t.Error("a working connection was closed")
		}
		for range 4 {
			attempt(2*time.Second, true)
			attempt(20*ms, lostInUse)
			attempt(20*ms, lostInUse)
		}
		if got := attempt(2*time.Second, false); got == lostInUse {
			t.Errorf("attempts lost in use too: %v; idle connections closed first: %v", lostInUse, got)
		}
		if attempt(60*ms, false) {
			t.Error("a connection idle for a short time was closed")
		}
	}
}

// An attempt that is lost after a long time must eject its endpoint for longer than the base ejection time: a
// congested endpoint recovers only if it is left alone, and each further attempt there is lost as slowly.
func TestEjectionTimeGrowsWithLostAttempt(t *testing.T) {
	h := newHarness(t, testConfig(), testEndpoints(2)...)
	e := h.b.endpoints[1]
	h.b.recordFailure(e, 2*time.Second)
	if ejection := e.ejectedUntil - h.b.now; ejection < time.Second {
		t.Errorf("ejected for %v after an attempt lost in 2 s", ejection)
	}
	h.b.recordFailure(h.b.endpoints[2], 0)
	if ejection := h.b.endpoints[2].ejectedUntil - h.b.now; ejection > time.Second {
		t.Errorf("ejected for %v after a fast failure", ejection)
	}
}

// Where many sidecars share few endpoints, one attempt of each is too much for a congested endpoint. Attempts
// lost silently must cut the congestion window, and responses must widen it again.
func TestCongestionWindow(t *testing.T) {
	cfg := testConfig()
	cfg.Costs.Probe = 0.01
	cfg.SidecarCount = 100
	h := newHarness(t, cfg, testEndpoints(10)...)
	// fill passes 20 new requests to the balancer and returns the number of attempts that it sends.
	fill := func() (n int) {
		for range 20 {
			h.arrive(2, 2*time.Second)
			n += len(h.actionsOf(Send))
		}
		return n
	}
	// endAll ends all attempts in flight and all ejections.
	endAll := func(res Result, elapsed time.Duration) {
		h.now += elapsed
		for _, r := range h.b.requests {
			for i := range r.attempts {
				if a := &r.attempts[i]; a.inFlight {
					h.endAttempt(r.ID, i, a.endpoint.ID, res, elapsed)
				}
			}
		}
		for _, e := range h.b.ready {
			e.ejectedUntil = 0
		}
	}
	if n := fill(); n != 1 {
		t.Fatalf("%d attempts in flight at the start, want one: a hundred sidecars share ten endpoints", n)
	}
	h.b.queue = nil
	endAll(Timeout, time.Second)
	if h.b.congestionWindow >= 0.5 {
		t.Fatalf("window %g after all attempts were lost, want under one", h.b.congestionWindow)
	}
	h.b.queue = nil
	h.b.lastSentAt = h.now
	if n := fill(); n != 0 {
		t.Errorf("%d attempts at once after all were lost, want them spaced out", n)
	}
	h.now += time.Minute
	if n := fill(); n != 1 {
		t.Errorf("%d attempts after a while, want one to try again", n)
	}
	window := h.b.congestionWindow
	h.b.queue = nil
	endAll(OK, 50*ms)
	if h.b.congestionWindow != window {
		t.Errorf("the window grew from %g to %g though no request waited", window, h.b.congestionWindow)
	}
	for range 200 {
		h.now += time.Second
		fill()
		endAll(OK, 50*ms)
	}
	if h.b.congestionWindow < 3 {
		t.Errorf("window %g after many responses, want it wide again", h.b.congestionWindow)
	}
}

// A request with little time left must not be refused before a probe has shown whether an endpoint is idle.
func TestShortTimeoutRequestWaitsForProbe(t *testing.T) {
	h := newHarness(t, testConfig(), testEndpoints(3)...)
	h.b.classStats[0].mean = 0.4
	r := h.arrive(0, 300*ms) // less than the mean latency
	probes := h.actionsOf(Probe)
	for _, a := range h.actionsOf(SetTimer) {
		if a.Timer.Kind == timerRequest && a.Delay < ms {
			t.Errorf("its timer fires after %v, before a probe can have ended", a.Delay)
		}
	}
	h.now += ms
	h.fireRequestTimer(r)
	if len(h.actionsOf(Shed)) != 0 {
		t.Fatal("refused while a probe is in flight")
	}
	h.endProbe(probes[0].Endpoint, 0)
	h.sentEndpoint()
	h.b.drawTokens = 0
	h.arrive(0, 300*ms)
	h.now += probeWait
	h.fireRequestTimer(h.lastID)
	if len(h.actionsOf(Shed)) != 1 {
		t.Errorf("%+v, want it refused once no idle endpoint was found in a probe's time", h.actions)
	}
}

// While new connections fail, endpoints with an open connection must be probed and picked first; once they
// succeed again, all endpoints are.
func TestConnectedEndpointsPreferredWhileConnectsFail(t *testing.T) {
	h := newHarness(t, testConfig(), testEndpoints(200)...)
	connected := make(map[EndpointID]bool)
	// runAttempt sends a request and ends its attempt with res.
	runAttempt := func(res Result) {
		h.b.probeTokens, h.b.pendingProbes = maxProbeTokens, nil
		for _, e := range h.b.ready {
			e.probing = false
		}
		r, e := h.sendToIdle(2)
		h.now += 20 * ms
		h.endAttempt(r, 0, e, res, 20*ms)
		connected[e] = connected[e] || res == OK
		h.actions = h.b.RequestAbandoned(h.now, r, nil)
	}
	// share returns the share of sampled endpoints that have a connection.
	share := func() float64 {
		hits := 0
		for range 100 {
			if connected[h.b.sampleForProbe(false, 0).ID] {
				hits++
			}
		}
		return float64(hits) / 100
	}
	for range 4 {
		runAttempt(OK)
	}
	if s := share(); s > 0.2 {
		t.Errorf("%g of the samples are connected endpoints though new connections succeed", s)
	}
	for range 6 {
		runAttempt(ConnectFailed)
	}
	if s := share(); s < 0.4 {
		t.Errorf("%g of the samples are connected endpoints while new connections fail", s)
	}
	two := []*endpoint{h.b.endpoints[1], h.b.endpoints[2]}
	for i, e := range two {
		e.ejectedUntil, e.speedPenalty, e.lastResponseAt = 0, 0, time.Duration(i)*h.now
		h.b.recordLoad(e, &Load{}, h.now)
	}
	h.b.idleEndpoints = append(h.b.idleEndpoints[:0], two...)
	if got := h.b.pick(&request{class: &h.b.cfg.Classes[0]}); got != two[1] {
		t.Errorf("picked %+v of two idle endpoints, want the connected one", got)
	}
}

// Ties among idle endpoints of one type must be broken uniformly: in 4000 picks among four endpoints each count
// must be within five standard deviations.
func TestIdleTiesAreBrokenUniformly(t *testing.T) {
	h := newHarness(t, testConfig(), testEndpoints(4)...)
	const n = 4000
	picked := make(map[EndpointID]int)
	for range n {
		h.b.idleEndpoints = h.b.idleEndpoints[:0]
		for _, e := range h.b.ready {
			h.b.recordLoad(e, &Load{}, h.now)
			h.b.idleEndpoints = append(h.b.idleEndpoints, e)
		}
		picked[h.b.pick(&request{class: &h.b.cfg.Classes[0]}).ID]++
	}
	for id := EndpointID(1); id <= 4; id++ {
		if diff := math.Abs(float64(picked[id]) - n/4); diff > 5*math.Sqrt(n*0.25*0.75) {
			t.Errorf("endpoint %d was picked %d times of %d, want about a quarter", id, picked[id], n)
		}
	}
}

// A request must have one probe in flight at a time: several at once cost twice as much. An overdue probe must not
// delay it, and an endpoint that was just found busy must not be probed again at once.
func TestOneProbeInFlightPerRequest(t *testing.T) {
	h := newHarness(t, testConfig(), testEndpoints(3)...)
	h.arrive(0, time.Second)
	probed := make(map[EndpointID]bool)
	nextProbe := func(when string) EndpointID {
		t.Helper()
		probes := h.actionsOf(Probe)
		if len(probes) != 1 || probed[probes[0].Endpoint] {
			t.Fatalf("%s: probes %v after %v, want one to another endpoint", when, probes, probed)
		}
		probed[probes[0].Endpoint] = true
		return probes[0].Endpoint
	}
	first := nextProbe("at the arrival")
	h.now += probeWait
	h.actions = h.b.TimerFired(h.now, Timer{Kind: timerDispatch}, nil)
	second := nextProbe("with the first overdue")
	h.now += ms
	h.actions = h.b.ProbeEnded(h.now, second, OK, &Load{InFlight: 1}, nil)
	third := nextProbe("with the second busy")
	h.now += ms
	h.actions = h.b.ProbeEnded(h.now, third, OK, &Load{InFlight: 1}, nil)
	if probes := h.actionsOf(Probe); len(probes) > 0 {
		t.Errorf("probes %v to endpoints just found busy", probes)
	}
	h.actions = h.b.ProbeEnded(h.now, first, OK, &Load{InFlight: 0}, nil)
	if sends := h.actionsOf(Send); len(sends) != 1 || sends[0].Endpoint != first {
		t.Errorf("sends %v, want one to %d", sends, first)
	}
}

// A full list shows a removal only by the absence of the entry. The idle connections to the endpoint must be
// closed all the same, and it must be deleted once nothing is in flight to it.
func TestRemovedEndpointIsDeleted(t *testing.T) {
	cfg := testConfig()
	cfg.MaxDrainIdleTime = time.Second
	h := newHarness(t, cfg, testEndpoints(2)...)
	h.arrive(0, time.Second)
	probed := h.actionsOf(Probe)[0].Endpoint
	h.actions = h.b.EndpointsUpdated(h.now, ListFull, nil, nil)
	if len(h.b.endpoints) != 1 || h.b.endpoints[probed] == nil {
		t.Errorf("%d endpoints, want the one that is probed", len(h.b.endpoints))
	}
	if got := h.actionsOf(CloseIdle); len(got) != 1 || got[0].Endpoint != probed {
		t.Errorf("closed idle connections %v, want those to the endpoint that was probed", got)
	}
	h.actions = h.b.ProbeEnded(h.now, probed, OK, nil, nil)
	if len(h.b.endpoints) != 0 {
		t.Errorf("%d endpoints after the probe ended, want none", len(h.b.endpoints))
	}
}

// The client of a shed request must be asked to retry while a retry can still be in time, or else after the
// longest delay that clients obey; where they obey none, the delay must be 0.
func TestShedRetryAfterDelay(t *testing.T) {
	for _, longest := range []time.Duration{0, 2 * time.Second} {
		cfg := testConfig()
		cfg.Limits.MaxRetryAfter = longest
		h := newHarness(t, cfg)
		id := h.arrive(0, 2*time.Second)
		h.b.classStats[0].mean = 0.1
		h.now += 300 * ms // of its target latency of 800 ms, 400 remain beyond the mean latency
		h.b.now, h.b.actions = h.now, nil
		h.b.shedOrFail(h.b.requests[id])
		h.actions = h.b.actions
		soon := h.actionsOf(Shed)
		h.b.classStats[0].mean = 1
		h.arrive(0, 0)
		late := h.actionsOf(Shed)
		if len(soon) != 1 || len(late) != 1 {
			t.Fatalf("shed %v and %v", soon, late)
		}
		if soon[0].Delay != min(200*ms, longest) || late[0].Delay != longest {
			t.Errorf("delays %v and %v, with %v at most", soon[0].Delay, late[0].Delay, longest)
		}
	}
}

// A probe that the sidecar could not send must not count as a failure of the endpoint.
func TestProbeNotSentIsNoEndpointFailure(t *testing.T) {
	for res, want := range map[Result]int{NotSent: 0, Timeout: 1} {
		h := newHarness(t, testConfig(), testEndpoints(1)...)
		h.arrive(0, time.Second)
		if probes := h.actionsOf(Probe); len(probes) != 1 {
			t.Fatalf("probes %v", probes)
		}
		h.b.ProbeEnded(h.now, 1, res, nil, nil)
		if got := h.b.endpoints[1].consecutiveFailures; got != want {
			t.Errorf("result %d: %d failures, want %d", res, got, want)
		}
	}
}

// The limits of a class apply in addition to Config.Limits, and at once to queued requests: a request that may
// have no further attempt must get its final response as soon as that is so.
func TestClassLimits(t *testing.T) {
	// failFirst sends a request and fails its first attempt.
	failFirst := func(cfg Config) (*harness, RequestID) {
		h := newHarness(t, cfg, testEndpoints(20)...)
		r, e := h.sendToIdle(0)
		h.b.idleEndpoints = nil
		h.endAttempt(r, 0, e, Error, ms)
		return h, r
	}
	finished := func(h *harness) bool { return len(h.actionsOf(Shed))+len(h.actionsOf(Fail)) == 1 }
	for name, setLimit := range map[string]func(c *Class){
		"one attempt": func(c *Class) { c.MaxAttempts = 1 }, "no retry": func(c *Class) { c.MaxRetries = -1 },
		"no time": func(c *Class) { c.RetryStartWindow = 1 },
	} {
		cfg := testConfig()
		setLimit(&cfg.Classes[0])
		if h, _ := failFirst(cfg); !finished(h) {
			t.Errorf("%s: no final response: %+v", name, h.actions)
		}
	}
	cfg := testConfig()
	cfg.Classes[0].RetryStartWindow = 300 * ms
	h, r := failFirst(cfg)
	if finished(h) || len(h.b.queue) != 1 {
		t.Fatalf("final response though there is time for a retry: %+v", h.actions)
	}
	h.now = h.b.requests[r].arrivedAt + 300*ms
	if h.fireRequestTimer(r); !finished(h) {
		t.Errorf("no final response once no retry may start: %+v", h.actions)
	}
	h, _ = failFirst(testConfig())
	if h.actions = h.b.SetClassLimits(h.now, 0, Class{MaxAttempts: 1}, nil); !finished(h) {
		t.Errorf("no final response once the limit is lowered: %+v", h.actions)
	}
	cfg = testConfig()
	cfg.Classes[0].NoHedging = true
	h = newHarness(t, cfg, testEndpoints(20)...)
	if r, _ := h.sendToIdle(0); h.b.requests[r].hedgeAt != 0 {
		t.Error("a hedge is scheduled")
	}
}

// A hedge that waits for an idle endpoint must be dropped once it may not start anymore, and no probe be sent for
// it.
func TestQueuedHedgeIsDroppedAfterRetryStartWindow(t *testing.T) {
	cfg := testConfig()
	cfg.Classes[0].RetryStartWindow = 400 * ms
	h := newHarness(t, cfg, testEndpoints(20)...)
	h.b.classStats[0] = latencyStats{mean: 0.05, meanDeviation: 0.02}
	r, _ := h.sendToIdle(0)
	h.b.idleEndpoints = nil
	h.now = h.b.requests[r].hedgeAt
	if h.fireRequestTimer(r); len(h.b.queue) != 1 {
		t.Fatalf("%d queued, want the hedge", len(h.b.queue))
	}
	h.now = h.b.requests[r].arrivedAt + 400*ms
	if h.actions = h.b.TimerFired(h.now, Timer{Kind: timerDispatch}, nil); len(h.b.queue) != 0 || len(h.actionsOf(Probe)) != 0 {
		t.Errorf("%d queued, actions %+v, want none", len(h.b.queue), h.actions)
	}
}

// Where requests are faster than probes, a report arrives after its lifetime. It must be used on arrival all the
// same: otherwise queued requests were shed although endpoints were idle.
func TestReportIsUsableOnArrival(t *testing.T) {
	h := newHarness(t, testConfig(), testEndpoints(4)...)
	h.b.classStats[0] = latencyStats{mean: 0.0005, meanDeviation: 0.0001, samples: 1000}
	h.arrive(0, time.Second)
	probes := h.actionsOf(Probe)
	if len(probes) == 0 {
		t.Fatalf("no probe: %+v", h.actions)
	}
	h.now += 2 * ms // four times the mean latency
	if h.endProbe(probes[0].Endpoint, 0); len(h.actionsOf(Send)) != 1 {
		t.Errorf("not sent to an endpoint that was just reported idle: %+v", h.actions)
	}
	// Later, the report has expired.
	h.b.idleEndpoints = append(h.b.idleEndpoints, h.b.endpoints[probes[0].Endpoint])
	h.now += 5 * ms
	if h.arrive(0, time.Second); len(h.actionsOf(Send)) != 0 {
		t.Errorf("sent by an expired report: %+v", h.actions)
	}
}

// Without probes, a request that finds all endpoints ejected must be sent when an ejection ends. Without a
// timer there was no event at that time, and it waited until it was nearly late.
func TestQueuedRequestIsSentWhenEjectionEnds(t *testing.T) {
	cfg := testConfig()
	cfg.Reporting = ReportsInResponse
	h := newHarness(t, cfg, testEndpoints(1)...)
	first := h.arrive(0, time.Second)
	h.endAttempt(first, 0, h.sentEndpoint(), Reset, ms)
	if len(h.actionsOf(Send)) > 0 {
		t.Fatalf("sent to an ejected endpoint: %+v", h.actions)
	}
	end := h.b.endpoints[1].ejectedUntil
	dueAt := time.Duration(0)
	for _, a := range h.actionsOf(SetTimer) {
		if a.Timer.Kind == timerDispatch {
			dueAt = h.now + a.Delay
		}
	}
	if dueAt != end {
		t.Fatalf("dispatch timer due at %v, want %v: %+v", dueAt, end, h.actions)
	}
	h.now = dueAt
	if h.actions = h.b.TimerFired(h.now, Timer{Kind: timerDispatch}, nil); len(h.actionsOf(Send)) == 0 {
		t.Errorf("not sent when the ejection ended: %+v", h.actions)
	}
}

// Attempts whose bodies are still arriving, and those whose responses are streaming, occupy no core of their
// endpoints: slow callers, however many, must not block other requests. Attempts with complete bodies count.
func TestSlowCallersDoNotOccupyEndpoints(t *testing.T) {
	cfg := testConfig()
	cfg.SidecarCount, cfg.Reporting, cfg.Limits.Probes = 1, ReportsNone, false
	h := newHarness(t, cfg, testEndpoints(2)...)
	// sendMany passes 30 new requests to the balancer and returns those that are sent, and where to.
	sendMany := func(arriving bool) (ids []RequestID, endpoints []EndpointID) {
		for range 30 {
			h.lastID++
			h.actions = h.b.RequestArrived(h.now, Request{ID: h.lastID, Class: 1, Timeout: time.Second, BodyArriving: arriving}, nil)
			for _, a := range h.actionsOf(Send) {
				ids, endpoints = append(ids, a.Request), append(endpoints, a.Endpoint)
			}
		}
		return ids, endpoints
	}
	uploads, uploadEndpoints := sendMany(true)
	if len(uploads) != 30 {
		t.Fatalf("%d of 30 uploads were sent", len(uploads))
	}
	short, _ := sendMany(false)
	if len(short) == 0 || len(short) == 30 {
		t.Fatalf("%d of 30 short requests were sent beside them, want as many as there are free cores", len(short))
	}
	for _, id := range uploads[:15] {
		h.actions = h.b.BodyStateChanged(h.now, id, BodyComplete, nil)
	}
	if sentNow, _ := sendMany(false); len(sentNow) > 0 {
		t.Errorf("%d were sent to endpoints whose cores are busy now", len(sentNow))
	}
	h.actions = h.b.ResponseStarted(h.now, uploads[0], 0, nil)
	for i, id := range uploads {
		h.endAttempt(id, 0, uploadEndpoints[i], OK, ms)
	}
	for _, id := range short {
		h.endAttempt(id, 0, 1, OK, ms)
	}
	if h.b.inFlight < 0 {
		t.Errorf("%d attempts are in flight", h.b.inFlight)
	}
	for _, e := range h.b.endpoints {
		if e.waitingForCaller != 0 {
			t.Errorf("endpoint %d: %d attempts wait for callers", e.ID, e.waitingForCaller)
		}
	}
}

// Queued requests must be sent oldest first, so that none waits for long where there is capacity for all, but
// newest first once the oldest has waited for a share of its time, as in overload.
func TestQueueIsFIFOThenLIFO(t *testing.T) {
	for _, c := range []struct {
		waited      time.Duration
		oldestFirst bool
	}{{2 * ms, true}, {200 * ms, false}} {
		cfg := testConfig()
		cfg.SidecarCount, cfg.Reporting, cfg.Limits.Probes = 1, ReportsNone, false
		h := newHarness(t, cfg, testEndpoints(1)...)
		var sent, queued []RequestID
		var endpointID EndpointID
		for len(queued) < 3 {
			id := h.arrive(0, 2*time.Second)
			if s := h.actionsOf(Send); len(s) > 0 {
				sent, endpointID = append(sent, id), s[0].Endpoint
			} else {
				queued = append(queued, id)
			}
		}
		h.now += c.waited
		h.endAttempt(sent[0], 0, endpointID, OK, ms)
		want := queued[2]
		if c.oldestFirst {
			want = queued[0]
		}
		if s := h.actionsOf(Send); len(s) != 1 || s[0].Request != want {
			t.Errorf("after %v: %+v, want request %d", c.waited, s, want)
		}
	}
}

// A keyed request that may have run must wait for a further attempt no longer than its key is remembered. After
// that it can have none and must get its final response at once.
func TestQueuedKeyedRetryEndsWithRepeatWindow(t *testing.T) {
	cfg := testConfig()
	cfg.SidecarCount, cfg.Reporting, cfg.Limits.Probes = 1, ReportsNone, false
	cfg.Classes[1].RepeatWindow = 100 * ms
	h := newHarness(t, cfg, testEndpoints(2)...)
	r := h.arrive(1, 2*time.Second)
	endpointID := h.sentEndpoint()
	h.now += 150 * ms
	h.endAttempt(r, 0, endpointID, Error, 150*ms)
	for _, a := range h.actionsOf(SetTimer) {
		if a.Timer.Kind == timerRequest && a.Delay <= ms {
			h.now += a.Delay
			h.fireRequestTimer(r)
		}
	}
	if got := h.actionsOf(Shed); len(got) != 1 || got[0].Request != r {
		t.Errorf("%+v, want it shed: it can have no further attempt", h.actions)
	}
}

// The sidecar may send a retry later than it is decided on. A keyed retry must go out while the endpoints still
// remember its key.
func TestKeyedRetryStartDeadline(t *testing.T) {
	h := newHarness(t, testConfig(), testEndpoints(4)...)
	r, first := h.sendToIdle(1)
	sentAt := h.now
	h.now += 100 * ms
	h.endAttempt(r, 0, first, Reset, 100*ms)
	for n := 0; len(h.actionsOf(Send)) == 0; n++ {
		if n == 100 {
			t.Fatal("no retry was sent")
		}
		for _, p := range h.actionsOf(Probe) {
			h.now += ms
			h.endProbe(p.Endpoint, 0)
		}
		if len(h.actionsOf(Send)) == 0 {
			h.fireDispatchTimer()
		}
	}
	window := h.b.cfg.Classes[1].RepeatWindow
	if got, want := h.actionsOf(Send)[0].StartDeadline, sentAt+window-150*ms; got <= 0 || got > want {
		t.Errorf("the retry may start until %v after the first attempt, want %v", got-sentAt, want-sentAt)
	}
}
