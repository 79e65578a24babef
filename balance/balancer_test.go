package balance

import (
	"math"
	"slices"
	"strings"
	"testing"
	"time"
)

const ms = time.Millisecond

// fleet is a balancer under test, its clock and the actions of the last event.
type fleet struct {
	t    testing.TB
	b    *Balancer
	now  time.Duration
	acts []Action
	next RequestID
}

func config() Config {
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

func newFleet(t testing.TB, cfg Config, list ...Endpoint) *fleet {
	t.Helper()
	b, err := New(cfg, 1)
	if err != nil {
		t.Fatal(err)
	}
	f := &fleet{t: t, b: b, now: time.Minute}
	f.acts = b.EndpointsUpdated(f.now, ListLastKnown, list, nil)
	return f
}

// servers returns n endpoints, numbered from 1.
func servers(n int) []Endpoint {
	list := make([]Endpoint, n)
	for i := range list {
		list[i] = Endpoint{ID: EndpointID(i + 1), Weight: 1}
	}
	return list
}

func (f *fleet) request(class int, budget time.Duration) RequestID {
	f.next++
	f.acts = f.b.RequestArrived(f.now, Request{ID: f.next, Class: class, Timeout: budget}, nil)
	return f.next
}

// find returns the endpoints or requests' actions of a kind.
func (f *fleet) find(kind ActionKind) []Action {
	var found []Action
	for _, a := range f.acts {
		if a.Kind == kind {
			found = append(found, a)
		}
	}
	return found
}

// probed answers a probe with a number of requests in flight.
func (f *fleet) probed(id EndpointID, inFlight float64) {
	f.acts = f.b.ProbeEnded(f.now, id, OK, &Load{InFlight: inFlight}, nil)
}

// sent returns the endpoint of the only Send of the last event.
func (f *fleet) sent() EndpointID {
	f.t.Helper()
	s := f.find(Send)
	if len(s) != 1 {
		f.t.Fatalf("%d sends, want 1: %+v", len(s), f.acts)
	}
	return s[0].Endpoint
}

func (f *fleet) ended(r RequestID, n int, e EndpointID, res Result, took time.Duration) {
	f.acts = f.b.AttemptEnded(f.now, Outcome{
		Request: r, Attempt: n, Endpoint: e, Result: res, RequestFinished: res == OK, Elapsed: took,
	}, nil)
}

// dispatch sends a request to the endpoint that its probes find idle first.
func (f *fleet) dispatch(class int) (RequestID, EndpointID) {
	f.t.Helper()
	r := f.request(class, 2*time.Second)
	for range 100 {
		for _, p := range f.find(Probe) {
			f.now += ms
			f.probed(p.Endpoint, 0)
			if s := f.find(Send); len(s) > 0 {
				return r, s[0].Endpoint
			}
		}
		f.fireAll()
		if s := f.find(Send); len(s) > 0 {
			return r, s[0].Endpoint
		}
	}
	f.t.Fatalf("request %d was not sent: %+v", r, f.acts)
	return 0, 0
}

// fireAll lets the serve timer ring after the usual wait for a probe.
func (f *fleet) fireAll() {
	f.now += probeWait
	f.acts = f.b.TimerFired(f.now, Timer{Kind: timerServe}, nil)
}

func (f *fleet) fire(r RequestID) {
	f.acts = f.b.TimerFired(f.now, Timer{Kind: timerRequest, Ref: uint64(r)}, nil)
}

func TestIdleBeforeBusy(t *testing.T) {
	f := newFleet(t, config(), servers(3)...)
	f.request(0, time.Second)
	probes := f.find(Probe)
	if len(probes) == 0 {
		t.Fatal("no probe at an arrival")
	}
	if got := f.find(Send); len(got) != 0 {
		t.Fatalf("sent without knowing anybody idle: %+v", got)
	}
	f.now += ms
	for i, p := range probes {
		f.probed(p.Endpoint, 2)
		if len(f.find(Send)) > 0 {
			t.Fatalf("probe %d: sent to a busy endpoint", i)
		}
	}
	more := f.find(Probe)
	if len(more) == 0 {
		t.Fatal("nobody idle, and no further probe")
	}
	f.now += ms
	f.probed(more[0].Endpoint, 0)
	if got := f.sent(); got != more[0].Endpoint {
		t.Errorf("sent to %d, want the idle %d", got, more[0].Endpoint)
	}
}

func TestReportIsSpent(t *testing.T) {
	f := newFleet(t, config(), servers(1)...)
	r1 := f.request(0, time.Second)
	f.now += ms
	f.probed(1, 0)
	f.sent()
	f.request(0, time.Second)
	if got := f.find(Send); len(got) != 0 {
		t.Fatalf("a report was used twice: %+v", got)
	}
	f.now += ms
	f.ended(r1, 0, 1, OK, ms)
	if got := f.sent(); got != 1 {
		t.Errorf("sent to %d: with its call back, endpoint 1 is idle again", got)
	}
}

func TestFastestIdleTypeFirst(t *testing.T) {
	cfg := config()
	cfg.WeightMeaning = WeightCapacity
	list := servers(3)
	list[1].Weight = 4
	f := newFleet(t, cfg, list...)
	f.request(0, time.Second)
	// Three endpoints turn out idle before any request can use them but the first.
	for _, e := range f.b.ready {
		f.b.report(e, &Load{InFlight: 0}, f.now)
		f.b.idlers = append(f.b.idlers, e)
	}
	f.acts = f.b.TimerFired(f.now, Timer{Kind: timerServe}, nil)
	if got := f.sent(); got != 2 {
		t.Errorf("sent to %d, want 2, the fastest", got)
	}
	f.request(0, time.Second)
	if got := f.sent(); got == 2 {
		t.Error("the fastest was taken twice on one report")
	}
}

// The busy draw follows speed x share: for 20,000 draws under a fixed seed each endpoint's share must
// be within five standard deviations.
func TestDrawBySpeed(t *testing.T) {
	cfg := config()
	cfg.WeightMeaning = WeightCapacity
	list := servers(6)
	for i := range list {
		list[i].Weight = []float64{1, 1, 1, 4, 4, 2}[i]
	}
	f := newFleet(t, cfg, list...)
	const n = 20000
	got := make(map[EndpointID]int)
	r := &request{class: &f.b.cfg.Classes[0]}
	for range n {
		got[f.b.draw(r).ID]++
	}
	for _, e := range list {
		p := e.Weight / 13
		dev := math.Sqrt(n * p * (1 - p))
		if d := math.Abs(float64(got[e.ID]) - n*p); d > 5*dev {
			t.Errorf("endpoint %d of speed %g drawn %d times, want %.0f +- %.0f", e.ID, e.Weight, got[e.ID], n*p, 5*dev)
		}
	}
}

func TestNoSpeedsKnownIsOneType(t *testing.T) {
	list := servers(6)
	for i := range list {
		list[i].Weight = float64(i + 1)
	}
	f := newFleet(t, config(), list...) // weights are silent
	for _, e := range f.b.ready {
		if got := f.b.typeOf(e); got != 1 {
			t.Errorf("endpoint %d is of the type of speed %g, want 1 for all", e.ID, got)
		}
	}
}

// A fast server that answers errors reads empty: it must lose its place all the same.
func TestFastFailerLosesItsPlace(t *testing.T) {
	f := newFleet(t, config(), servers(2)...)
	bad := f.b.endpoints[1]
	for range 20 {
		f.b.failed(bad, 0)
	}
	if mu := f.b.mu(bad); mu > 0.1*f.b.mu(f.b.endpoints[2]) {
		t.Errorf("speed %g after 20 failures, want under a tenth of the other's", mu)
	}
	got := make(map[EndpointID]int)
	for range 50 {
		got[f.b.sample(false, 0).ID]++
	}
	if got[1] > 0 {
		t.Errorf("the failing endpoint was sampled %d times of 50", got[1])
	}
}

// A trouble common to all must not leave nobody to send to.
func TestAllSuspectStillServes(t *testing.T) {
	f := newFleet(t, config(), servers(3)...)
	for _, e := range f.b.ready {
		f.b.failed(e, 0)
	}
	f.dispatch(0)
}

func TestFinalAnswerInTime(t *testing.T) {
	for name, list := range map[string][]Endpoint{
		"empty list": nil,
		"draining":   {{ID: 1, State: Draining}},
		"silent":     servers(2),
	} {
		f := newFleet(t, config(), list...)
		r := f.request(2, 500*ms)
		f.now += 500*ms - 2*ms
		f.fire(r)
		if len(f.find(Shed)) != 1 {
			t.Errorf("%s: actions %+v, want one Shed", name, f.acts)
		}
		f.fire(r)
		if len(f.acts) != 0 {
			t.Errorf("%s: acted after the final answer: %+v", name, f.acts)
		}
	}
}

// What follows an attempt that ended, for each kind of class.
func TestAfterAnAttempt(t *testing.T) {
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
		f := newFleet(t, config(), servers(20)...)
		r, e := f.dispatch(c.class)
		f.now += ms
		f.ended(r, 0, e, c.res, ms)
		got := want{
			again: len(f.find(Send))+len(f.find(Probe)) > 0,
			shed:  len(f.find(Shed)) > 0, fail: len(f.find(Fail)) > 0,
		}
		if got != c.want {
			t.Errorf("class %d, result %d: %+v, want %+v", c.class, c.res, got, c.want)
		}
	}
}

// The final answer of a request whose attempt may have run.
func TestFinalAnswerKind(t *testing.T) {
	for _, c := range []struct {
		sem   Semantics
		scope Scope
		want  ActionKind
	}{
		{Safe, ScopeAll, Shed}, {Keyed, ScopeAll, Shed}, {Keyed, ScopeZone, Fail}, {Keyed, ScopeCell, Fail},
		{Unsafe, ScopeAll, Fail},
	} {
		cfg := config()
		cfg.Classes[0].Semantics, cfg.Classes[0].Scope = c.sem, c.scope
		f := newFleet(t, cfg, servers(5)...)
		r, _ := f.dispatch(0)
		f.now += time.Second
		f.fire(r)
		if len(f.find(c.want)) != 1 || len(f.find(Shed))+len(f.find(Fail)) != 1 {
			t.Errorf("semantics %d, scope %d: %+v, want one action %d", c.sem, c.scope, f.acts, c.want)
		}
		if len(f.find(Cancel)) != 1 {
			t.Errorf("semantics %d: the attempt was not withdrawn", c.sem)
		}
	}
}

func TestKeyedStaysInItsGroup(t *testing.T) {
	for _, scope := range []Scope{ScopeZone, ScopeCell} {
		cfg := config()
		cfg.Classes[1].Scope = scope
		list := servers(30)
		for i := range list {
			list[i].Zone, list[i].Cell = i%3, 10+i%5
		}
		f := newFleet(t, cfg, list...)
		r, e := f.dispatch(1)
		first := f.b.endpoints[e]
		f.now += ms
		f.ended(r, 0, e, Error, ms)
		for _, other := range f.b.ready {
			same := other.Zone == first.Zone
			if scope == ScopeCell {
				same = other.Cell == first.Cell
			}
			if got := f.b.allowed(f.b.requests[r], other); got != (same && other != first) {
				t.Errorf("scope %d: endpoint %d allowed %v", scope, other.ID, got)
			}
		}
		f.now += cfg.Classes[1].RepeatWindow
		f.b.now = f.now
		for _, other := range f.b.ready {
			if f.b.allowed(f.b.requests[r], other) {
				t.Errorf("scope %d: endpoint %d allowed after the repeat window", scope, other.ID)
			}
		}
	}
}

// A keyed request whose group has one endpoint may go back to that, as repeats are dropped there
// too; with another in the group it goes to the other.
func TestKeyedGoesBackWhereItsGroupHasNoOther(t *testing.T) {
	for _, alone := range []bool{true, false} {
		cfg := config()
		cfg.Reporting = ReportsInResponse
		cfg.Classes[1].Scope = ScopeZone
		list := servers(4)
		for i := range list {
			list[i].Zone = min(i, 1)
		}
		if !alone {
			list[1].Zone = 0
		}
		f := newFleet(t, cfg, list...)
		r := f.request(1, 2*time.Second)
		first := f.sent()
		f.now += 100 * ms
		f.ended(r, 0, first, Error, 100*ms)
		for len(f.find(Send)) == 0 && f.now < time.Minute+700*ms {
			f.now += 10 * ms
			f.acts = f.b.TimerFired(f.now, Timer{Kind: timerServe}, nil)
		}
		if again := f.sent(); again != first && alone || again == first && !alone || again > 2 {
			t.Errorf("alone %v: sent to %d and then to %d", alone, first, again)
		}
	}
}

func TestNoSecondCopyWhereForbidden(t *testing.T) {
	cfg := config()
	cfg.Limits.Hedging = false
	f := newFleet(t, cfg, servers(5)...)
	r, _ := f.dispatch(0)
	for _, e := range f.b.ready {
		if f.b.allowed(f.b.requests[r], e) {
			t.Errorf("endpoint %d allowed while an attempt is out", e.ID)
		}
	}
}

// A hedge that waits for an idle endpoint when the first copy fails must be in the held list once:
// held twice, it was sent again after its final answer.
func TestHedgeHeldOnce(t *testing.T) {
	f := newFleet(t, config(), servers(20)...)
	f.b.classes[0] = latency{mean: 0.05, dev: 0.02}
	r, e := f.dispatch(0)
	f.b.idlers = nil
	f.now = f.b.requests[r].hedgeAt
	f.fire(r)
	if len(f.b.held) != 1 {
		t.Fatalf("%d held, want the hedge", len(f.b.held))
	}
	f.ended(r, 0, e, Error, ms)
	if len(f.b.held) != 1 {
		t.Errorf("%d held after the first copy failed, want 1", len(f.b.held))
	}
}

func TestDrainAndRemoval(t *testing.T) {
	f := newFleet(t, config(), servers(4)...)
	f.acts = f.b.EndpointsUpdated(f.now, ListChanges, []Endpoint{{ID: 1, State: Draining}, {ID: 2, State: Removed}}, nil)
	if len(f.b.ready) != 2 {
		t.Fatalf("%d ready after a drain and a removal, want 2", len(f.b.ready))
	}
	for range 10 {
		if _, e := f.dispatch(0); e < 3 {
			t.Fatalf("sent to %d, which drains or is gone", e)
		}
		f.now += 100 * ms
	}
	f.acts = f.b.EndpointsUpdated(f.now, ListFull, servers(1), nil)
	if len(f.b.ready) != 1 || f.b.ready[0].ID != 1 {
		t.Errorf("ready %v after a full list, want endpoint 1 alone", f.b.ready)
	}
	f.acts = f.b.EndpointsUpdated(f.now, ListUnavailable, nil, nil)
	if len(f.b.ready) != 1 {
		t.Error("a refused call to discovery changed the list")
	}
}

// Idle connections to an endpoint that drains are closed at the notice, and again after each later outcome.
func TestDrainReleasesConnections(t *testing.T) {
	cfg := config()
	cfg.MaxDrainIdleTime = 800 * ms
	f := newFleet(t, cfg, servers(2)...)
	r, e := f.dispatch(0)
	other := 3 - e
	drain := []Endpoint{{ID: e, State: Draining}}
	released := func(when string, want int) {
		t.Helper()
		n := 0
		for _, a := range f.find(CloseIdle) {
			if a.Endpoint == e {
				n++
			}
		}
		if n != want {
			t.Errorf("%s: %d releases of %d, want %d: %+v", when, n, e, want, f.acts)
		}
	}
	f.acts = f.b.EndpointsUpdated(f.now, ListChanges, drain, nil)
	released("at the notice", 1)
	f.now += 300 * ms
	f.ended(r, 0, e, OK, 300*ms)
	released("after the last outcome", 1)
	f.acts = f.b.EndpointsUpdated(f.now, ListChanges, []Endpoint{{ID: other, State: InService}}, nil)
	released("at news of another", 0)

	f = newFleet(t, config(), servers(2)...)
	_, e = f.dispatch(0)
	f.acts = f.b.EndpointsUpdated(f.now, ListChanges, []Endpoint{{ID: e, State: Draining}}, nil)
	released("without the rule", 0)
}

func TestColdRamp(t *testing.T) {
	f := newFleet(t, config(), servers(1)...)
	start := f.now
	f.acts = f.b.EndpointsUpdated(f.now, ListChanges, []Endpoint{{ID: 1, StartedAt: start}}, nil)
	for _, c := range []struct {
		age  time.Duration
		want float64
	}{{0, 0.2}, {5 * time.Second, 0.6}, {10 * time.Second, 1}, {time.Minute, 1}} {
		f.b.now = start + c.age
		if got := f.b.ramp(f.b.endpoints[1]); math.Abs(got-c.want) > 1e-9 {
			t.Errorf("ramp %g at age %v, want %g", got, c.age, c.want)
		}
	}
	// A restart is a new start, and what was known of the old process is forgotten.
	f.b.failed(f.b.endpoints[1], 0)
	f.acts = f.b.EndpointsUpdated(f.now, ListChanges, []Endpoint{{ID: 1, StartedAt: start + time.Hour}}, nil)
	if e := f.b.endpoints[1]; e.slow != 0 || e.fails != 0 || e.StartedAt != start+time.Hour {
		t.Errorf("after a restart: %+v", e)
	}
}

// Where own calls tell who is free, a cold endpoint gets no more than its part of the own rate.
func TestColdEndpointIsSpared(t *testing.T) {
	cfg := config()
	cfg.Costs.Probe = 0.01
	cfg.SidecarCount = 1
	list := servers(10)
	f := newFleet(t, cfg, list...)
	cold := list[0]
	cold.StartedAt = f.now
	f.acts = f.b.EndpointsUpdated(f.now, ListChanges, []Endpoint{cold}, nil)
	const n = 400
	got := 0
	for range n {
		f.now += 5 * ms
		r := f.request(0, time.Second)
		e := f.sent()
		if e == 1 {
			got++
		}
		f.ended(r, 0, e, OK, 200*ms)
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
func TestColdEndpointIsSparedWhenOthersFail(t *testing.T) {
	const sidecars, n = 60, 20
	cfg := config()
	cfg.Costs.Probe = 0.01
	cfg.SidecarCount = sidecars
	got, rate := 0, 2*n // requests a second over all: two a server
	for me := range sidecars {
		cfg.SidecarIndex = me
		f := newFleet(t, cfg, servers(n)...)
		step := time.Second * sidecars / time.Duration(rate)
		f.now += step * time.Duration(me) / sidecars
		for range 10 {
			f.now += step
			f.request(0, time.Second)
			for _, s := range f.find(Send) {
				f.ended(s.Request, 0, s.Endpoint, OK, 100*ms)
			}
		}
		for _, e := range f.b.ready {
			e.suspect = f.now + time.Minute
		}
		cold := Endpoint{ID: n + 1, Weight: 1, StartedAt: f.now - 2*time.Second}
		f.acts = f.b.EndpointsUpdated(f.now, ListChanges, []Endpoint{cold}, nil)
		for range 2 {
			f.now += step
			f.request(0, time.Second)
			got += len(f.find(Send))
		}
	}
	// In three seconds, at a ramp of at most 0.6, a warm server's part would be 6 x 0.6.
	if got > 8 {
		t.Errorf("%d calls to the cold endpoint by %d sidecars, want a few", got, sidecars)
	}
}

// Traffic that has moved to one zone must not be refused while other zones have free cores.
func TestSpillsToOtherZones(t *testing.T) {
	cfg := config()
	cfg.Costs.Probe = 0.01
	cfg.SidecarCount = overlap
	list := servers(4)
	list[2].Zone, list[3].Zone = 1, 1
	f := newFleet(t, cfg, list...)
	var zones []int
	for range 5 {
		f.request(0, time.Second)
		for _, s := range f.find(Send) {
			zones = append(zones, f.b.endpoints[s.Endpoint].Zone)
		}
	}
	if !slices.Equal(zones, []int{0, 0, 1, 1}) {
		t.Errorf("five requests went to zones %v, want the own zone first, then the other, then none", zones)
	}
}

// Sidecars that see nothing of each other must cover all endpoints alike.
func TestSubsetsCoverAlike(t *testing.T) {
	for _, c := range []struct{ sidecars, servers int }{{24, 41}, {60, 100}, {10, 200}, {4, 7}} {
		met := make(map[EndpointID]int)
		for me := range c.sidecars {
			cfg := config()
			cfg.Costs.Probe = 0.01
			cfg.SidecarIndex, cfg.SidecarCount = me, c.sidecars
			f := newFleet(t, cfg, servers(c.servers)...)
			for _, e := range f.b.near {
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
				c.sidecars, c.servers, least, most, overlap)
		}
	}
}

func TestDiscoveryIsAskedGently(t *testing.T) {
	cfg := config()
	cfg.MustSubscribe = true
	f := newFleet(t, cfg, servers(3)...)
	var last time.Duration
	for i := range 6 {
		timers := f.find(SetTimer)
		if len(timers) != 1 || timers[0].Timer.Kind != timerSubscribe {
			t.Fatalf("call %d: actions %+v, want a timer", i, f.acts)
		}
		if i > 0 && timers[0].Delay < last/4 {
			t.Errorf("call %d after %v, the one before after %v: no back-off", i, timers[0].Delay, last)
		}
		last = timers[0].Delay
		f.now += last
		f.acts = f.b.TimerFired(f.now, timers[0].Timer, nil)
		if len(f.find(Subscribe)) != 1 {
			t.Fatalf("call %d: actions %+v, want Subscribe", i, f.acts)
		}
		f.acts = f.b.EndpointsUpdated(f.now, ListUnavailable, nil, nil)
	}
}

// However often discovery refuses, it is asked again before the sidecar counts as told.
func TestDiscoveryIsAskedInTime(t *testing.T) {
	cfg := config()
	cfg.MustSubscribe, cfg.MaxSubscribeDelay = true, time.Second
	f := newFleet(t, cfg, servers(3)...)
	for i, limit := 0, cfg.MaxSubscribeDelay; i < 8; i, limit = i+1, 4*cfg.MaxSubscribeDelay {
		timers := f.find(SetTimer)
		if len(timers) != 1 || timers[0].Delay > limit {
			t.Fatalf("call %d: actions %+v, want a timer within %v", i, f.acts, limit)
		}
		f.now += timers[0].Delay
		f.acts = f.b.TimerFired(f.now, timers[0].Timer, nil)
		f.acts = f.b.EndpointsUpdated(f.now, ListUnavailable, nil, nil)
	}
}

// Under overload the held requests are bounded: each is shed when it is too late to start.
func TestHeldAreShedInTime(t *testing.T) {
	f := newFleet(t, config(), servers(1)...)
	f.b.endpoints[1].probing = true // a probe that is never answered
	f.b.draws = 0
	r := f.request(0, 2*time.Second)
	startBy := f.b.requests[r].startBy
	f.now = startBy
	f.fire(r)
	if len(f.find(Shed)) != 1 || len(f.b.held) != 0 {
		t.Errorf("at the last moment to start: %+v, %d held, want it shed", f.acts, len(f.b.held))
	}
}

func TestStreamIsLeftToItsClient(t *testing.T) {
	f := newFleet(t, config(), servers(5)...)
	r, e := f.dispatch(0)
	f.acts = f.b.ResponseStarted(f.now, r, 0, nil)
	f.now += 5 * time.Second
	f.fire(r)
	if len(f.acts) != 0 {
		t.Errorf("acted on a stream that had started: %+v", f.acts)
	}
	f.acts = f.b.AttemptEnded(f.now, Outcome{Request: r, Endpoint: e, Result: Reset, RequestFinished: true}, nil)
	if len(f.b.requests) != 0 || len(f.find(Send)) != 0 {
		t.Errorf("after the stream: %d requests, actions %+v", len(f.b.requests), f.acts)
	}
}

func TestSettingsAtFault(t *testing.T) {
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
		cfg := config()
		spoil(&cfg)
		_, err := New(cfg, 1)
		if err == nil || !strings.Contains(err.Error(), " "+name+":") {
			t.Errorf("%s: error %v does not name it", name, err)
		}
	}
}

// Requests over their tenant's quota are worth little: they must not take what others wait for.
func TestOverQuotaGivesWay(t *testing.T) {
	cfg := config()
	cfg.Costs.Probe = 0.01
	cfg.SidecarCount = 2
	cfg.Tenants = []Tenant{{Name: "large", Quota: 20}, {Name: "small", Quota: 200}}
	f := newFleet(t, cfg, servers(4)...)
	served := [2]int{}
	for i := range 400 { // the first tenant asks for ten times its part of the quota
		f.now += 5 * ms
		f.next++
		tenant := 0
		if i%2 == 1 {
			tenant = 1
		}
		f.acts = f.b.RequestArrived(f.now, Request{ID: f.next, Tenant: tenant, Timeout: time.Second}, nil)
		served[tenant] += len(f.find(Send))
		if len(f.find(Shed)) == 0 {
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
func TestShareIsNotWoundDown(t *testing.T) {
	cfg := config()
	cfg.Costs.Probe = 0.01
	cfg.SidecarCount = 1
	f := newFleet(t, cfg, servers(10)...)
	for range 3000 {
		f.now += 20 * ms
		f.b.now = f.now
		f.b.moveShare(5, 5)
	}
	if f.b.share < 1 {
		t.Errorf("share %g after long crowding, want at least 1 for speeds of 1", f.b.share)
	}
}

// In a crowd the share falls, and it rises again only if somebody had to wait.
func TestShareFollowsThePace(t *testing.T) {
	cfg := config()
	cfg.Costs.Probe = 0.01
	cfg.SidecarCount = overlap
	f := newFleet(t, cfg, servers(10)...)
	move := func(pace float64, n int) {
		for range n {
			f.now += 20 * ms
			f.b.now = f.now
			f.b.moveShare(pace, -3)
		}
	}
	move(-2, 200)
	if f.b.share != 1 {
		t.Errorf("share %g with nobody waiting, want 1", f.b.share)
	}
	f.b.full = true
	move(-2, 50)
	up := f.b.share
	if up <= 1 {
		t.Errorf("share %g after somebody waited, want more than 1", up)
	}
	move(-0.5, 200)
	if f.b.share >= up {
		t.Errorf("share %g in a crowd, want less than %g", f.b.share, up)
	}
}

// In an overload all sidecars would spill into each other's stretches, and own calls would tell nothing
// of an endpoint's load: others are used only when all in the stretch fail.
// Where own calls tell who is free, an endpoint is given as many calls at the start by few
// sidecars as by many: else a small fleet idles while its requests wait.
func TestFewSidecarsBeginLikeMany(t *testing.T) {
	for _, n := range []int{1, 2, overlap, 2 * overlap} {
		cfg := config()
		cfg.Reporting, cfg.WeightMeaning, cfg.SidecarCount = ReportsInResponse, WeightCapacityEstimate, n
		f := newFleet(t, cfg, Endpoint{ID: 1, Weight: 2})
		sent := 0
		for range 20 {
			f.request(0, 2*time.Second)
			sent += len(f.find(Send))
		}
		if all := sent * min(n, overlap); all != 2*overlap {
			t.Errorf("%d sidecars: %d calls each, want %d by all that meet an endpoint", n, sent, 2*overlap)
		}
	}
}

// A call at an endpoint that others use too needs time to spare by how calls vary there. One
// that an idle endpoint is to be found for does not.
func TestVaryingCallsNeedTimeToSpare(t *testing.T) {
	for _, test := range []struct {
		reporting Reporting
		a, b      time.Duration // calls take one and the other in turn
		need      float64       // of the usual time
	}{
		{ReportsInResponse, 100 * ms, 100 * ms, startMargin},
		{ReportsInResponse, 60 * ms, 140 * ms, startMargin + 0.4*sharedMargin},
		{ReportsInProbe, 60 * ms, 140 * ms, startMargin},
	} {
		cfg := config()
		cfg.Reporting = test.reporting
		f := newFleet(t, cfg, servers(1)...)
		for i := range 100 {
			r := f.request(0, 2*time.Second)
			if cfg.Reporting == ReportsInProbe {
				f.probed(1, 0)
			}
			took := []time.Duration{test.a, test.b}[i%2]
			f.now += took
			f.ended(r, 0, 1, OK, took)
		}
		r := f.b.requests[f.request(0, 2*time.Second)]
		need := (r.goalAt - r.startBy).Seconds() / f.b.usual(r)
		if math.Abs(need-test.need) > 0.2 {
			t.Errorf("%+v: needs %.2f of the usual time", test, need)
		}
	}
}

func TestOthersOnlyWhenTheStretchFails(t *testing.T) {
	cfg := config()
	cfg.Costs.Probe = 0.01
	cfg.SidecarCount = 40
	list := servers(40)
	for i := range list {
		list[i].Zone = i % 2
	}
	f := newFleet(t, cfg, list...)
	stretch := slices.Concat(f.b.near, f.b.far)
	sent := 0
	for range 30 {
		f.request(0, time.Second)
		for _, s := range f.find(Send) {
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
		f.b.failed(e, 0)
	}
	f.request(0, time.Second)
	sends := f.find(Send) // those held until now go too
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
func TestDearClassFirst(t *testing.T) {
	cfg := config()
	cfg.Classes = cfg.Classes[:2]
	cfg.Classes[0].Value = 12
	cfg.Objective = ObjectiveWeights{Overall: 0.6, WorstClass: 0.4}
	f := newFleet(t, cfg, servers(3)...)
	f.b.count(0)
	f.b.count(1)
	f.b.classes[0].served, f.b.classes[1].served = 1, 1
	if got := f.b.byValue(); got[0] != 0 {
		t.Errorf("order %v, want the dear class first", got)
	}
	f.b.classes[0].mean = 60 * f.b.classes[1].mean
	if got := f.b.byValue(); got[0] != 1 {
		t.Errorf("order %v, want the class first that needs a sixtieth of the time", got)
	}
	f.b.classes[0].mean = f.b.classes[1].mean
	for range 100 {
		f.b.count(0)
		f.b.count(1)
		f.b.classes[0].served++
	}
	f.b.cfg.Classes[0].Value = 2
	if got := f.b.byValue(); got[0] != 1 {
		t.Errorf("order %v, want the class that is served worst first", got)
	}
	for range 1000 {
		f.b.count(0)
	}
	if a := f.b.classes[1].asked; a > 60 {
		t.Errorf("%g requests of the second class counted after a change of the mix, want old ones forgotten", a)
	}
}

// Held requests go out in that order.
func TestHeldGoByValue(t *testing.T) {
	cfg := config()
	cfg.Costs.Probe = 0.01
	cfg.Classes[0].Value = 12
	cfg.Objective.Overall = 1
	cfg.SidecarCount = overlap
	f := newFleet(t, cfg, servers(1)...)
	first := f.request(1, 2*time.Second)
	e := f.sent()
	dear := f.request(0, 2*time.Second)
	f.request(1, 2*time.Second)
	f.now += 20 * ms
	f.ended(first, 0, e, OK, 20*ms)
	f.sent()
	if got := f.find(Send)[0].Request; got != dear {
		t.Errorf("request %d was sent, want %d of the dear class though it is older", got, dear)
	}
}

// Connections that something drops unseen after some idle time are closed before the next call; where
// calls are lost on connections in use as well, closing would not help.
func TestStaleConnectionsAreClosedFirst(t *testing.T) {
	cfg := config()
	cfg.Costs.Probe = 0.01
	cfg.SidecarCount = 1
	for _, lostInUse := range []bool{false, true} {
		f := newFleet(t, cfg, servers(1)...)
		// call sends after an idle time; it is lost if lost is, but on a new connection only if lostInUse.
		call := func(idle time.Duration, lost bool) (released bool) {
			f.now += idle
			f.b.endpoints[1].suspect = 0
			r := f.request(2, 2*time.Second)
			e := f.sent()
			released = len(f.find(CloseIdle)) > 0
			f.now += 50 * ms
			res := OK
			if lost && (lostInUse || !released) {
				res = Timeout
			}
			f.ended(r, 0, e, res, 50*ms)
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
func TestTimeoutBacksOffForItsTime(t *testing.T) {
	f := newFleet(t, config(), servers(2)...)
	e := f.b.endpoints[1]
	f.b.failed(e, 2*time.Second)
	if wait := e.suspect - f.b.now; wait < time.Second {
		t.Errorf("passed over for %v after a call lost in 2 s", wait)
	}
	f.b.failed(f.b.endpoints[2], 0)
	if wait := f.b.endpoints[2].suspect - f.b.now; wait > time.Second {
		t.Errorf("passed over for %v after a quick failure", wait)
	}
}

// Where many sidecars share few endpoints, one call of each is too much for a jammed one: calls lost in
// silence must cut how many are out, and answers let it grow again.
func TestCongestionWindow(t *testing.T) {
	cfg := config()
	cfg.Costs.Probe = 0.01
	cfg.SidecarCount = 100
	f := newFleet(t, cfg, servers(10)...)
	outs := func() (n int) {
		for range 20 {
			f.request(2, 2*time.Second)
			n += len(f.find(Send))
		}
		return n
	}
	settle := func(res Result, took time.Duration) {
		f.now += took
		for _, r := range f.b.requests {
			for i := range r.attempts {
				if a := &r.attempts[i]; a.out {
					f.ended(r.ID, i, a.to.ID, res, took)
				}
			}
		}
		for _, e := range f.b.ready {
			e.suspect = 0
		}
	}
	if n := outs(); n != 1 {
		t.Fatalf("%d calls out at the start, want one: a hundred sidecars meet ten endpoints", n)
	}
	f.b.held = nil
	settle(Timeout, time.Second)
	if f.b.window >= 0.5 {
		t.Fatalf("window %g after all calls were lost, want under one", f.b.window)
	}
	f.b.held = nil
	f.b.rateAt = f.now
	if n := outs(); n != 0 {
		t.Errorf("%d calls at once after all were lost, want them spaced out", n)
	}
	f.now += time.Minute
	if n := outs(); n != 1 {
		t.Errorf("%d calls after a while, want one to find out", n)
	}
	idle := f.b.window
	f.b.held = nil
	settle(OK, 50*ms)
	if f.b.window != idle {
		t.Errorf("the window grew from %g to %g though nobody waited", idle, f.b.window)
	}
	for range 200 {
		f.now += time.Second
		outs()
		settle(OK, 50*ms)
	}
	if f.b.window < 3 {
		t.Errorf("window %g after many answers, want it open again", f.b.window)
	}
}

// A request with little time left must not be refused before a probe has told whether anybody is idle.
func TestLittleTimeIsWorthATry(t *testing.T) {
	f := newFleet(t, config(), servers(3)...)
	f.b.classes[0].mean = 0.4
	r := f.request(0, 300*ms) // less than a usual call
	p := f.find(Probe)
	for _, a := range f.find(SetTimer) {
		if a.Timer.Kind == timerRequest && a.Delay < ms {
			t.Errorf("it is looked at again after %v, before a probe can have come back", a.Delay)
		}
	}
	f.now += ms
	f.fire(r)
	if len(f.find(Shed)) != 0 {
		t.Fatal("refused while a probe is out")
	}
	f.probed(p[0].Endpoint, 0)
	f.sent()
	f.b.draws = 0
	f.request(0, 300*ms)
	f.now += probeWait
	f.fire(f.next)
	if len(f.find(Shed)) != 1 {
		t.Errorf("%+v, want it refused once nobody was found in a probe's time", f.acts)
	}
}

// While new connections fail, endpoints that a connection is open to are probed and taken first; once new
// ones succeed again, all are.
func TestLinkedFirstWhileConnectionsFail(t *testing.T) {
	f := newFleet(t, config(), servers(200)...)
	linked := make(map[EndpointID]bool)
	end := func(res Result) {
		f.b.probes, f.b.probesOut = probesSaved, nil
		for _, e := range f.b.ready {
			e.probing = false
		}
		r, e := f.dispatch(2)
		f.now += 20 * ms
		f.ended(r, 0, e, res, 20*ms)
		linked[e] = linked[e] || res == OK
		f.acts = f.b.RequestAbandoned(f.now, r, nil)
	}
	// share is the part of samples that are linked endpoints.
	share := func() float64 {
		hit := 0
		for range 100 {
			if linked[f.b.sample(false, 0).ID] {
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
		e.suspect, e.slow, e.lastUsed = 0, 0, time.Duration(i)*f.now
		f.b.report(e, &Load{}, f.now)
	}
	f.b.idlers = append(f.b.idlers[:0], two...)
	if got := f.b.pick(&request{class: &f.b.cfg.Classes[0]}); got != two[1] {
		t.Errorf("picked %+v of two idle endpoints, want the linked one", got)
	}
}

// Ties among idle endpoints of one type are broken uniformly: 4000 picks of four, within five deviations.
func TestIdleTiesAreUniform(t *testing.T) {
	f := newFleet(t, config(), servers(4)...)
	const n = 4000
	got := make(map[EndpointID]int)
	for range n {
		f.b.idlers = f.b.idlers[:0]
		for _, e := range f.b.ready {
			f.b.report(e, &Load{}, f.now)
			f.b.idlers = append(f.b.idlers, e)
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
func TestOneProbeAtATime(t *testing.T) {
	f := newFleet(t, config(), servers(3)...)
	f.request(0, time.Second)
	asked := make(map[EndpointID]bool)
	next := func(what string) EndpointID {
		t.Helper()
		probes := f.find(Probe)
		if len(probes) != 1 || asked[probes[0].Endpoint] {
			t.Fatalf("%s: probes %v after %v, want one to another endpoint", what, probes, asked)
		}
		asked[probes[0].Endpoint] = true
		return probes[0].Endpoint
	}
	first := next("request")
	f.now += probeWait
	f.acts = f.b.TimerFired(f.now, Timer{Kind: timerServe}, nil)
	second := next("the first is late")
	f.now += ms
	f.acts = f.b.ProbeEnded(f.now, second, OK, &Load{InFlight: 1}, nil)
	third := next("the second is busy")
	f.now += ms
	f.acts = f.b.ProbeEnded(f.now, third, OK, &Load{InFlight: 1}, nil)
	if probes := f.find(Probe); len(probes) > 0 {
		t.Errorf("probes %v to endpoints just found busy", probes)
	}
	f.acts = f.b.ProbeEnded(f.now, first, OK, &Load{InFlight: 0}, nil)
	if sends := f.find(Send); len(sends) != 1 || sends[0].Endpoint != first {
		t.Errorf("sends %v, want one to %d", sends, first)
	}
}

// A whole list tells of a departure only by leaving the endpoint out: its idle connections are
// closed all the same, and it is forgotten once nothing is out to it.
func TestGoneIsForgotten(t *testing.T) {
	cfg := config()
	cfg.MaxDrainIdleTime = time.Second
	f := newFleet(t, cfg, servers(2)...)
	f.request(0, time.Second)
	out := f.find(Probe)[0].Endpoint
	f.acts = f.b.EndpointsUpdated(f.now, ListFull, nil, nil)
	if len(f.b.endpoints) != 1 || f.b.endpoints[out] == nil {
		t.Errorf("%d endpoints known, want the one that is probed", len(f.b.endpoints))
	}
	if got := f.find(CloseIdle); len(got) != 1 || got[0].Endpoint != out {
		t.Errorf("released %v, want the one that was asked", got)
	}
	f.acts = f.b.ProbeEnded(f.now, out, OK, nil, nil)
	if len(f.b.endpoints) != 0 {
		t.Errorf("%d endpoints known in the end", len(f.b.endpoints))
	}
}

// A refused client is told to come back while a retry can still be in time, or else as late as
// it heeds; where clients heed nothing, it is told nothing.
func TestRefusedAreToldWhenToComeBack(t *testing.T) {
	for _, most := range []time.Duration{0, 2 * time.Second} {
		cfg := config()
		cfg.Limits.MaxRetryAfter = most
		f := newFleet(t, cfg)
		id := f.request(0, 2*time.Second)
		f.b.classes[0].mean = 0.1
		f.now += 300 * ms // 400 of its goal's 800 ms are left beyond a call
		f.b.now, f.b.acts = f.now, nil
		f.b.finish(f.b.requests[id])
		f.acts = f.b.acts
		soon := f.find(Shed)
		f.b.classes[0].mean = 1
		f.request(0, 0)
		late := f.find(Shed)
		if len(soon) != 1 || len(late) != 1 {
			t.Fatalf("refused %v and %v", soon, late)
		}
		if soon[0].Delay != min(200*ms, most) || late[0].Delay != most {
			t.Errorf("told %v and %v, with %v at most", soon[0].Delay, late[0].Delay, most)
		}
	}
}

// A probe that the sidecar could not send is not the endpoint's fault.
func TestProbeNotSentBlamesNobody(t *testing.T) {
	for res, want := range map[Result]int{NotSent: 0, Timeout: 1} {
		f := newFleet(t, config(), servers(1)...)
		f.request(0, time.Second)
		if probes := f.find(Probe); len(probes) != 1 {
			t.Fatalf("probes %v", probes)
		}
		f.b.ProbeEnded(f.now, 1, res, nil, nil)
		if got := f.b.endpoints[1].fails; got != want {
			t.Errorf("result %d: %d failures, want %d", res, got, want)
		}
	}
}

// A class's bounds hold beside those of the limits, and at once for what waits: a request that may have
// no further attempt is answered as soon as that is so.
func TestClassBounds(t *testing.T) {
	lost := func(cfg Config) (*fleet, RequestID) {
		f := newFleet(t, cfg, servers(20)...)
		r, e := f.dispatch(0)
		f.b.idlers = nil
		f.ended(r, 0, e, Error, ms)
		return f, r
	}
	answered := func(f *fleet) bool { return len(f.find(Shed))+len(f.find(Fail)) == 1 }
	for name, bound := range map[string]func(c *Class){
		"one attempt": func(c *Class) { c.MaxAttempts = 1 }, "no retry": func(c *Class) { c.MaxRetries = -1 },
		"no time": func(c *Class) { c.RetryStartWindow = 1 },
	} {
		cfg := config()
		bound(&cfg.Classes[0])
		if f, _ := lost(cfg); !answered(f) {
			t.Errorf("%s: not answered: %+v", name, f.acts)
		}
	}
	cfg := config()
	cfg.Classes[0].RetryStartWindow = 300 * ms
	f, r := lost(cfg)
	if answered(f) || len(f.b.held) != 1 {
		t.Fatalf("answered with time for a retry: %+v", f.acts)
	}
	f.now = f.b.requests[r].arrived + 300*ms
	if f.fire(r); !answered(f) {
		t.Errorf("not answered once no retry may begin: %+v", f.acts)
	}
	f, _ = lost(config())
	if f.acts = f.b.SetClassLimits(f.now, 0, Class{MaxAttempts: 1}, nil); !answered(f) {
		t.Errorf("not answered once the bound is lowered: %+v", f.acts)
	}
	cfg = config()
	cfg.Classes[0].NoHedging = true
	f = newFleet(t, cfg, servers(20)...)
	if r, _ := f.dispatch(0); f.b.requests[r].hedgeAt != 0 {
		t.Error("a second copy is planned")
	}
}

// A second copy that waits for an idle endpoint is dropped once it may not begin: no probe is sent for it.
func TestCopyIsDroppedInTime(t *testing.T) {
	cfg := config()
	cfg.Classes[0].RetryStartWindow = 400 * ms
	f := newFleet(t, cfg, servers(20)...)
	f.b.classes[0] = latency{mean: 0.05, dev: 0.02}
	r, _ := f.dispatch(0)
	f.b.idlers = nil
	f.now = f.b.requests[r].hedgeAt
	if f.fire(r); len(f.b.held) != 1 {
		t.Fatalf("%d held, want the copy", len(f.b.held))
	}
	f.now = f.b.requests[r].arrived + 400*ms
	if f.acts = f.b.TimerFired(f.now, Timer{Kind: timerServe}, nil); len(f.b.held) != 0 || len(f.find(Probe)) != 0 {
		t.Errorf("%d held, actions %+v", len(f.b.held), f.acts)
	}
}

// Where calls are quicker than probes, a report is older than it is believed for by the time it comes. It
// is used as it comes all the same: held requests were given up on beside idle endpoints.
func TestReportIsFreshAsItComes(t *testing.T) {
	f := newFleet(t, config(), servers(4)...)
	f.b.classes[0] = latency{mean: 0.0005, dev: 0.0001, n: 1000}
	f.request(0, time.Second)
	p := f.find(Probe)
	if len(p) == 0 {
		t.Fatalf("no probe: %+v", f.acts)
	}
	f.now += 2 * ms // four calls' time
	if f.probed(p[0].Endpoint, 0); len(f.find(Send)) != 1 {
		t.Errorf("not sent to an endpoint that was just reported idle: %+v", f.acts)
	}
	// Later, the report is old.
	f.b.idlers = append(f.b.idlers, f.b.endpoints[p[0].Endpoint])
	f.now += 5 * ms
	if f.request(0, time.Second); len(f.find(Send)) != 0 {
		t.Errorf("sent by an old report: %+v", f.acts)
	}
}

// Where no probes come back, a request that finds all endpoints suspect is sent as a suspicion ends: it had
// waited until it was nearly late.
func TestSuspicionEndIsAwaited(t *testing.T) {
	cfg := config()
	cfg.Reporting = ReportsInResponse
	f := newFleet(t, cfg, servers(1)...)
	first := f.request(0, time.Second)
	f.ended(first, 0, f.sent(), Reset, ms)
	if len(f.find(Send)) > 0 {
		t.Fatalf("sent to a suspect: %+v", f.acts)
	}
	end := f.b.endpoints[1].suspect
	at := time.Duration(0)
	for _, a := range f.find(SetTimer) {
		if a.Timer.Kind == timerServe {
			at = f.now + a.Delay
		}
	}
	if at != end {
		t.Fatalf("looks again at %v, want %v: %+v", at, end, f.acts)
	}
	f.now = at
	if f.acts = f.b.TimerFired(f.now, Timer{Kind: timerServe}, nil); len(f.find(Send)) == 0 {
		t.Errorf("not sent as the suspicion ended: %+v", f.acts)
	}
}

// Calls whose bodies are still arriving, and those whose answers flow, take no core of their
// endpoints: slow callers, however many, keep nobody else from being served. Once whole they count.
func TestSlowCallersTakeNoCore(t *testing.T) {
	cfg := config()
	cfg.SidecarCount, cfg.Reporting, cfg.Limits.Probes = 1, ReportsNone, false
	f := newFleet(t, cfg, servers(2)...)
	sends := func(arriving bool) (ids []RequestID, to []EndpointID) {
		for range 30 {
			f.next++
			f.acts = f.b.RequestArrived(f.now, Request{ID: f.next, Class: 1, Timeout: time.Second, BodyArriving: arriving}, nil)
			for _, a := range f.find(Send) {
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
		f.acts = f.b.BodyStateChanged(f.now, id, BodyComplete, nil)
	}
	if more, _ := sends(false); len(more) > 0 {
		t.Errorf("%d were sent to endpoints that have work now", len(more))
	}
	f.acts = f.b.ResponseStarted(f.now, slow[0], 0, nil)
	for i, id := range slow {
		f.ended(id, 0, at[i], OK, ms)
	}
	for _, id := range short {
		f.ended(id, 0, 1, OK, ms)
	}
	if f.b.outs < 0 {
		t.Errorf("%d calls are out", f.b.outs)
	}
	for _, e := range f.b.endpoints {
		if e.callers != 0 {
			t.Errorf("endpoint %d: %d wait for callers", e.ID, e.callers)
		}
	}
}

// Held requests go out oldest first, so that none waits for long where there is enough for all;
// newest first once the oldest has waited for a part of its patience, as in overload.
func TestHeldTakeTurns(t *testing.T) {
	for _, c := range []struct {
		waited time.Duration
		oldest bool
	}{{2 * ms, true}, {200 * ms, false}} {
		cfg := config()
		cfg.SidecarCount, cfg.Reporting, cfg.Limits.Probes = 1, ReportsNone, false
		f := newFleet(t, cfg, servers(1)...)
		var out, held []RequestID
		var at EndpointID
		for len(held) < 3 {
			id := f.request(0, 2*time.Second)
			if s := f.find(Send); len(s) > 0 {
				out, at = append(out, id), s[0].Endpoint
			} else {
				held = append(held, id)
			}
		}
		f.now += c.waited
		f.ended(out[0], 0, at, OK, ms)
		want := held[2]
		if c.oldest {
			want = held[0]
		}
		if s := f.find(Send); len(s) != 1 || s[0].Request != want {
			t.Errorf("after %v: %+v, want request %d", c.waited, s, want)
		}
	}
}

// A keyed request that may have run waits for a further attempt no longer than its key is
// remembered: then it can't have one, and is answered at once.
func TestKeyedEndsWithItsWindow(t *testing.T) {
	cfg := config()
	cfg.SidecarCount, cfg.Reporting, cfg.Limits.Probes = 1, ReportsNone, false
	cfg.Classes[1].RepeatWindow = 100 * ms
	f := newFleet(t, cfg, servers(2)...)
	r := f.request(1, 2*time.Second)
	to := f.sent()
	f.now += 150 * ms
	f.ended(r, 0, to, Error, 150*ms)
	for _, a := range f.find(SetTimer) {
		if a.Timer.Kind == timerRequest && a.Delay <= ms {
			f.now += a.Delay
			f.fire(r)
		}
	}
	if got := f.find(Shed); len(got) != 1 || got[0].Request != r {
		t.Errorf("%+v: it waits for nothing", f.acts)
	}
}

func TestRepeatMustGoOutWhileItsKeyIsSurelyRemembered(t *testing.T) {
	f := newFleet(t, config(), servers(4)...)
	r, first := f.dispatch(1)
	sent := f.now
	f.now += 100 * ms
	f.ended(r, 0, first, Reset, 100*ms)
	for n := 0; len(f.find(Send)) == 0; n++ {
		if n == 100 {
			t.Fatal("it is not sent again")
		}
		for _, p := range f.find(Probe) {
			f.now += ms
			f.probed(p.Endpoint, 0)
		}
		if len(f.find(Send)) == 0 {
			f.fireAll()
		}
	}
	window := f.b.cfg.Classes[1].RepeatWindow
	if got, want := f.find(Send)[0].StartDeadline, sent+window-150*ms; got <= 0 || got > want {
		t.Errorf("it may begin to go out until %v after the first attempt, want %v", got-sent, want-sent)
	}
}
