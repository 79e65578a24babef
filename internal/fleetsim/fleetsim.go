// Package fleetsim simulates a fleet: clients, sidecars that run the real balancer, and
// the nodes of one tier. It uses simulated time, opens no sockets and reads no clock;
// the same Config gives the same Result. It serves to study fleets that are too large
// for the available machines, and to test effects of the balancer's decisions that show
// only when many sidecars act at once.
//
// A node shares its cores evenly among the requests that compute at it (processor
// sharing). A request that has computed waits for the tiers behind the node, which are
// modeled as a delay, before the node responds. Not modeled are several tiers,
// connections, delays of discovery, cold starts and nodes that fail under overload.
package fleetsim

import (
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"barleydrum.example/barleydrum/balance"
)

// Config describes a fleet and its traffic.
type Config struct {
	Seed         uint64
	Balancer     balance.Config // of all sidecars; Run sets SidecarIndex, SidecarCount and Zone
	Sidecars     []Sidecar
	Nodes        []Node
	Classes      []Class       // one for each of Balancer.Classes, in their order
	OfferedLoad  float64       // work of the clients' first tries, divided by the capacity of all nodes' cores
	Duration     time.Duration // new requests arrive for this time
	NetworkDelay time.Duration // one way between a sidecar and a node
	Clients      Clients
}

// Sidecar describes a sidecar that sends to the nodes.
type Sidecar struct {
	Zone          int
	TrafficWeight float64 // its share of the requests, relative to the sum of all sidecars' weights
}

// Node describes an endpoint.
type Node struct {
	Zone        int
	Cores       int
	CoreSpeed   float64 // of each core; a core of speed 1 does one second of work in a second
	Weight      float64 // as listed by discovery
	MaxInFlight int     // requests beyond it are rejected
	ErrorRate   float64 // share of the requests that end with an error after their work is done, from 0 to 1
}

// Class describes the traffic of a class.
type Class struct {
	TrafficWeight      float64       // its share of the requests, relative to the sum of all classes' weights
	MeanWork           time.Duration // mean computing time of a request on a core of speed 1; lognormal
	WorkCV             float64       // coefficient of variation of the computing time
	MeanDownstreamWait time.Duration // mean wait of a request for the tiers behind; exponential
}

// Clients describes how clients time out and try again.
type Clients struct {
	MaxTries        int           // of each request, including the first; 0 means 1
	TryTimeoutShare float64       // timeout of a try as a share of its class's deadline; 0 means the whole deadline
	RetryDelay      time.Duration // delay of a further try if the response gives no retry delay
}

// Result counts the requests of a run by their outcome. Slices of requests are indexed
// by class. A request is counted once, regardless of the number of its tries.
type Result struct {
	Requests, InTime, Late, Failed []int // InTime: within the class's target latency; Late: after it
	Attempts                       int   // attempts that sidecars sent, of all requests
	ClientTries                    int   // tries that clients sent, of all requests
	PeakInFlight                   []int // by node: the maximum number of requests in flight at once
}

// InTimeShare returns the share of the requests that were served within their class's
// target latency, from 0 to 1. It is 0 if there were no requests.
func (r *Result) InTimeShare() float64 {
	requests, inTime := 0, 0
	for i := range r.Requests {
		requests += r.Requests[i]
		inTime += r.InTime[i]
	}
	return float64(inTime) / math.Max(float64(requests), 1)
}

// check returns an error that names the first invalid field. The fields of Balancer are
// left to [balance.New].
func (c *Config) check() error {
	switch {
	case len(c.Sidecars) == 0 || len(c.Nodes) == 0:
		return errors.New("fleetsim: Sidecars, Nodes: none given")
	case len(c.Classes) != len(c.Balancer.Classes) || len(c.Classes) == 0:
		return fmt.Errorf("fleetsim: Classes: %d, want %d as in Balancer", len(c.Classes), len(c.Balancer.Classes))
	case !(c.OfferedLoad > 0) || math.IsInf(c.OfferedLoad, 0):
		return fmt.Errorf("fleetsim: OfferedLoad: %g: must be positive and finite", c.OfferedLoad)
	case c.Duration <= 0 || c.NetworkDelay < 0:
		return fmt.Errorf("fleetsim: Duration, NetworkDelay: %v, %v are out of range", c.Duration, c.NetworkDelay)
	}
	for i, n := range c.Nodes {
		if n.Cores < 1 || !(n.CoreSpeed > 0) || n.MaxInFlight < 1 || !(n.ErrorRate >= 0 && n.ErrorRate <= 1) {
			return fmt.Errorf("fleetsim: Nodes[%d]: %+v: Cores, CoreSpeed and MaxInFlight must be positive, ErrorRate from 0 to 1", i, n)
		}
	}
	for i, k := range c.Classes {
		if !(k.TrafficWeight >= 0) || k.MeanWork <= 0 || !(k.WorkCV >= 0) || k.MeanDownstreamWait < 0 {
			return fmt.Errorf("fleetsim: Classes[%d]: %+v: MeanWork must be positive, the others not negative", i, k)
		}
	}
	return nil
}

// Run simulates a fleet for c.Duration and until all its requests have ended. It
// returns an error if c is invalid.
func Run(c Config) (*Result, error) {
	if err := c.check(); err != nil {
		return nil, err
	}
	sim := &simulation{
		cfg: &c, now: time.Hour, // balancers read a time of 0 as long ago
		arrivalRNG: newRNG(c.Seed, 1), workRNG: newRNG(c.Seed, 2), errorRNG: newRNG(c.Seed, 3),
		result: Result{
			Requests: make([]int, len(c.Classes)), InTime: make([]int, len(c.Classes)),
			Late: make([]int, len(c.Classes)), Failed: make([]int, len(c.Classes)), PeakInFlight: make([]int, len(c.Nodes)),
		},
	}
	for i := range c.Nodes {
		sim.nodes = append(sim.nodes, &node{Node: &c.Nodes[i], index: i, sim: sim})
	}
	for i, s := range c.Sidecars {
		cfg := c.Balancer
		cfg.SidecarIndex, cfg.SidecarCount, cfg.Zone = i, len(c.Sidecars), s.Zone
		b, err := balance.New(cfg, c.Seed+uint64(i))
		if err != nil {
			return nil, fmt.Errorf("fleetsim: Balancer: %w", err)
		}
		instance := &sidecar{sim: sim, balancer: b, pending: make(map[balance.RequestID]*pendingTry)}
		sim.sidecars = append(sim.sidecars, instance)
		var list []balance.Endpoint
		for j, n := range c.Nodes {
			list = append(list, balance.Endpoint{ID: balance.EndpointID(j + 1), Zone: n.Zone, Weight: n.Weight})
		}
		instance.dispatch(func(actions []balance.Action) []balance.Action {
			return b.EndpointsUpdated(sim.now, balance.ListLastKnown, list, actions)
		})
	}
	sim.scheduleArrivals(sim.now + c.Duration)
	for sim.step() {
	}
	return &sim.result, nil
}

// newRNG returns the random number generator for one purpose. Each purpose has its own
// generator, so that two versions of the balancer are run with the same arrivals and
// work.
func newRNG(seed, purpose uint64) *rand.Rand { return rand.New(rand.NewPCG(seed, purpose)) }
