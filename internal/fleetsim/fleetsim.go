// Package fleetsim is a model of a fleet under simulated time: clients, sidecars that run the real
// decision module, and the nodes of one tier. It opens no socket and reads no clock, and the same
// Config gives the same Result. It is for questions that no machine here has the size for, and for
// tests of decisions that show only when many of them meet.
//
// A node shares its cores evenly among the calls that compute at it (processor sharing), and a call
// waits at it for the tiers behind, which are a delay here, before it is answered. Not modelled:
// several tiers, connections, discovery's lag, cold starts, nodes that fall over.
package fleetsim

import (
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"barleydrum.example/barleydrum/balance"
)

// Config describes a fleet and a stretch of its life.
type Config struct {
	Seed         uint64
	Balancer     balance.Config // what all sidecars are told, but for Me, Balancers and Zone
	Sidecars     []Sidecar
	Nodes        []Node
	Classes      []Class // as many as Module.Classes, in their order
	OfferedLoad  float64 // the work asked for over what the cores of all nodes can do, first tries alone
	Duration     time.Duration
	NetworkDelay time.Duration // one way between a sidecar and a node
	Clients      Clients
}

// Sidecar is one of those that send to the nodes.
type Sidecar struct {
	Zone          int
	TrafficWeight float64 // of the requests, over the sum of all parts
}

// Node is an endpoint.
type Node struct {
	Zone        int
	Cores       int
	CoreSpeed   float64 // of each core
	Weight      float64 // as the list says it
	MaxInFlight int     // calls that it holds; the next is turned away
	ErrorRate   float64 // the share of calls that are answered with an error once their work is done
}

// Class is the traffic of a class.
type Class struct {
	TrafficWeight      float64       // of the requests, over the sum of all parts
	MeanWork           time.Duration // that a call computes at a core of speed 1, on average
	WorkCV             float64       // its coefficient of variation; it is lognormal
	MeanDownstreamWait time.Duration // that it waits for the tiers behind, on average; exponential
}

// Clients tells how those who ask behave.
type Clients struct {
	MaxTries        int           // of each request at most, the first included; 0 is 1
	TryTimeoutShare float64       // what a try waits, over its class's deadline; 0 is all of it
	RetryDelay      time.Duration // before a further try, where no time to come back is told
}

// Result is what became of the requests of a run. Counts are of requests, by class.
type Result struct {
	Requests, InTime, Late, Failed []int
	Attempts                       int // attempts of all requests
	ClientTries                    int
	PeakInFlight                   []int // the most calls that each node held
}

// InTimeShare is the share of the requests that were answered within their class's goal.
func (r *Result) InTimeShare() float64 {
	asked, served := 0, 0
	for i := range r.Requests {
		asked += r.Requests[i]
		served += r.InTime[i]
	}
	return float64(served) / math.Max(float64(asked), 1)
}

// check returns an error that names the first setting at fault; the module checks its own.
func (c *Config) check() error {
	switch {
	case len(c.Sidecars) == 0 || len(c.Nodes) == 0:
		return errors.New("fleet: Sidecars, Nodes: none given")
	case len(c.Classes) != len(c.Balancer.Classes) || len(c.Classes) == 0:
		return fmt.Errorf("fleet: Classes: %d, want %d as in Module", len(c.Classes), len(c.Balancer.Classes))
	case !(c.OfferedLoad > 0) || math.IsInf(c.OfferedLoad, 0):
		return fmt.Errorf("fleet: Load: %g is not over 0", c.OfferedLoad)
	case c.Duration <= 0 || c.NetworkDelay < 0:
		return fmt.Errorf("fleet: Length, Net: %v, %v are out of range", c.Duration, c.NetworkDelay)
	}
	for i, n := range c.Nodes {
		if n.Cores < 1 || !(n.CoreSpeed > 0) || n.MaxInFlight < 1 || !(n.ErrorRate >= 0 && n.ErrorRate <= 1) {
			return fmt.Errorf("fleet: Nodes[%d]: %+v: Cores, Speed and Most are over 0, Errors from 0 to 1", i, n)
		}
	}
	for i, k := range c.Classes {
		if !(k.TrafficWeight >= 0) || k.MeanWork <= 0 || !(k.WorkCV >= 0) || k.MeanDownstreamWait < 0 {
			return fmt.Errorf("fleet: Classes[%d]: %+v: Work is over 0, the others not negative", i, k)
		}
	}
	return nil
}

// Run plays a fleet until the last request of its length has its answer.
func Run(c Config) (*Result, error) {
	if err := c.check(); err != nil {
		return nil, err
	}
	w := &simulation{
		cfg: &c, now: time.Hour, // the module takes 0 for long ago
		arrivalRNG: newRNG(c.Seed, 1), workRNG: newRNG(c.Seed, 2), errorRNG: newRNG(c.Seed, 3),
		result: Result{
			Requests: make([]int, len(c.Classes)), InTime: make([]int, len(c.Classes)),
			Late: make([]int, len(c.Classes)), Failed: make([]int, len(c.Classes)), PeakInFlight: make([]int, len(c.Nodes)),
		},
	}
	for i := range c.Nodes {
		w.nodes = append(w.nodes, &node{Node: &c.Nodes[i], index: i, sim: w})
	}
	for i, s := range c.Sidecars {
		m := c.Balancer
		m.SidecarIndex, m.SidecarCount, m.Zone = i, len(c.Sidecars), s.Zone
		b, err := balance.New(m, c.Seed+uint64(i))
		if err != nil {
			return nil, fmt.Errorf("fleet: Module: %w", err)
		}
		x := &sidecar{sim: w, balancer: b, pending: make(map[balance.RequestID]*pendingTry)}
		w.sidecars = append(w.sidecars, x)
		var list []balance.Endpoint
		for j, n := range c.Nodes {
			list = append(list, balance.Endpoint{ID: balance.EndpointID(j + 1), Zone: n.Zone, Weight: n.Weight})
		}
		x.dispatch(func(acts []balance.Action) []balance.Action {
			return b.EndpointsUpdated(w.now, balance.ListLastKnown, list, acts)
		})
	}
	w.scheduleArrivals(w.now + c.Duration)
	for w.step() {
	}
	return &w.result, nil
}

// newRNG returns the random numbers of one concern: two policies meet the same arrivals and work.
func newRNG(seed, concern uint64) *rand.Rand { return rand.New(rand.NewPCG(seed, concern)) }
