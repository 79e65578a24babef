package fleetsim

import (
	"math"
	"reflect"
	"strings"
	"testing"
	"time"

	"barleydrum.example/barleydrum/balance"
)

const ms = time.Millisecond

// smallFleet returns a fleet of the given number of sidecars and four nodes, which have
// two cores each and differ in speed. Requests wait for the tiers behind for longer than
// they compute.
func smallFleet(sidecars int) Config {
	c := Config{
		Seed: 7,
		Balancer: balance.Config{
			Classes: []balance.Class{
				{Name: "find", TargetLatency: 800 * ms, Deadline: 2 * time.Second, Value: 1, Semantics: balance.Safe},
				{Name: "book", TargetLatency: 1200 * ms, Deadline: 3 * time.Second, Value: 10, Semantics: balance.Keyed,
					Scope: balance.ScopeZone, RepeatWindow: 5 * time.Second},
			},
			EndpointsPropagateDeadline: true, Reporting: balance.ReportsInResponse, WeightMeaning: balance.WeightCapacityEstimate,
			Costs: balance.Costs{Probe: 0.01},
			Limits: balance.Limits{MaxAttempts: 3, Hedging: true, Probes: true, Cancel: true,
				MaxRetryAfter: 2 * time.Second, ConnectTimeout: 75 * ms, KeepAlive: 10 * time.Second},
			Objective: balance.ObjectiveWeights{Overall: 0.8, WorstClass: 0.2}, ColdCapacityShare: 0.13, WarmupTime: 24 * time.Second,
			ColdOverloadMultiple: 2.5, ColdOverloadTime: 2 * time.Second, ClockResolution: ms,
		},
		Classes: []Class{
			{TrafficWeight: 3, MeanWork: 50 * ms, WorkCV: 0.5, MeanDownstreamWait: 90 * ms}, {TrafficWeight: 1, MeanWork: 80 * ms, WorkCV: 0.5, MeanDownstreamWait: 130 * ms},
		},
		OfferedLoad: 0.6, Duration: 30 * time.Second, NetworkDelay: 300 * time.Microsecond,
		Clients: Clients{MaxTries: 3, TryTimeoutShare: 0.5, RetryDelay: 150 * ms},
	}
	for i := range sidecars {
		c.Sidecars = append(c.Sidecars, Sidecar{Zone: i % 3, TrafficWeight: 1})
	}
	for i, speed := range []float64{1.7, 0.8, 0.6, 1.9} {
		c.Nodes = append(c.Nodes, Node{Zone: i % 3, Cores: 2, CoreSpeed: speed, Weight: 2, MaxInFlight: 40})
	}
	return c
}

// mustRun runs c and fails the test on an error.
func mustRun(t testing.TB, c Config) *Result {
	t.Helper()
	r, err := Run(c)
	if err != nil {
		t.Fatal(err)
	}
	return r
}

// A small fleet with spare capacity must serve its requests in time, however few sidecars
// send to it.
func TestFewSidecarsServeInTime(t *testing.T) {
	for _, n := range []int{1, 2, 3, 6} {
		worst := 1.0
		for seed := range uint64(10) {
			c := smallFleet(n)
			c.Seed = seed
			worst = min(worst, mustRun(t, c).InTimeShare())
		}
		if worst < 0.97 {
			t.Errorf("%d sidecars: %.3f served in time with the worst of 10 seeds, want 0.97", n, worst)
		}
	}
}

// The same Config must give the same Result, and another seed another one.
func TestRunIsDeterministic(t *testing.T) {
	c := smallFleet(3)
	a, b := mustRun(t, c), mustRun(t, c)
	if !reflect.DeepEqual(a, b) {
		t.Errorf("first run: %+v\nsecond run: %+v", a, b)
	}
	c.Seed++
	if reflect.DeepEqual(a, mustRun(t, c)) {
		t.Error("another seed gave the same result")
	}
}

// Under overload, with rejections and errors, each request must end exactly once and no
// node may exceed its MaxInFlight. A request that is counted twice or never would show
// in the sums of the outcomes.
func TestOverloadedRequestsEndOnce(t *testing.T) {
	for _, reports := range []balance.Reporting{balance.ReportsNone, balance.ReportsInProbe, balance.ReportsInResponse} {
		c := smallFleet(2)
		c.Balancer.Reporting, c.Balancer.Costs.Probe = reports, 0.002
		c.OfferedLoad = 1.4
		for i := range c.Nodes {
			c.Nodes[i].MaxInFlight, c.Nodes[i].ErrorRate = 6, 0.1
		}
		r := mustRun(t, c)
		for i := range r.Requests {
			if got := r.InTime[i] + r.Late[i] + r.Failed[i]; got != r.Requests[i] || r.Requests[i] == 0 {
				t.Errorf("reports %d, class %d: %d of %d requests ended", reports, i, got, r.Requests[i])
			}
		}
		for i, n := range r.PeakInFlight {
			if n > 6 {
				t.Errorf("reports %d, node %d: %d in flight", reports, i, n)
			}
		}
		if r.InTimeShare() > 0.95 || r.Failed[0] == 0 {
			t.Errorf("reports %d: %.3f served in time at an offered load of 1.4", reports, r.InTimeShare())
		}
	}
}

// With processor sharing on one core, the mean time of a request at the node is
// E[S]/(1-load), regardless of the distribution of its work S (Kleinrock, Queueing Systems
// II, 4.4: M/G/1 with processor sharing). The simulated node must agree with that to 5%.
func TestProcessorSharingMatchesTheory(t *testing.T) {
	const requests, load = 60_000, 0.6
	for _, cv := range []float64{0, 1.5} {
		sim := &simulation{cfg: &Config{}, workRNG: newRNG(3, 2), errorRNG: newRNG(3, 3), result: Result{PeakInFlight: make([]int, 1)}}
		n := &node{Node: &Node{Cores: 1, CoreSpeed: 2, MaxInFlight: math.MaxInt}, sim: sim}
		arrivalRNG, totalSeconds := newRNG(3, 1), 0.0
		arrivesAt := time.Duration(0)
		for range requests {
			arrivesAt += time.Duration(arrivalRNG.ExpFloat64() / load * float64(time.Second))
			sim.schedule(arrivesAt, func() {
				acceptedAt := sim.now
				n.accept(&job{remainingWorkSeconds: 2 * lognormal(sim.workRNG, 1, cv), onEnd: func(balance.Result, *balance.Load) {
					totalSeconds += (sim.now - acceptedAt).Seconds()
				}})
			})
		}
		for sim.step() {
		}
		if got, want := totalSeconds/requests, 1/(1-load); math.Abs(got-want) > 0.05*want {
			t.Errorf("cv %g: mean time at the node is %.3f s, want %.3f", cv, got, want)
		}
	}
}

func TestRunRejectsInvalidConfig(t *testing.T) {
	for want, invalidate := range map[string]func(*Config){
		"Nodes[1]":    func(c *Config) { c.Nodes[1].Cores = 0 },
		"Classes[0]":  func(c *Config) { c.Classes[0].MeanWork = 0 },
		"Classes: 1":  func(c *Config) { c.Classes = c.Classes[:1] },
		"OfferedLoad": func(c *Config) { c.OfferedLoad = math.NaN() },
		"Duration":    func(c *Config) { c.Duration = 0 },
		"Sidecars":    func(c *Config) { c.Sidecars = nil },
		"Balancer:":   func(c *Config) { c.Balancer.ColdCapacityShare = 2 },
	} {
		c := smallFleet(1)
		invalidate(&c)
		if _, err := Run(c); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%s: %v", want, err)
		}
	}
}

// BenchmarkRun measures a run of 30 simulated seconds with three sidecars and four nodes.
func BenchmarkRun(b *testing.B) {
	for b.Loop() {
		mustRun(b, smallFleet(3))
	}
}
