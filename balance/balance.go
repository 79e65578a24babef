// Package balance makes the decisions of a load balancer between services:
// which endpoint gets a request, whether to retry, hedge or shed it, and
// which endpoints to probe. It does no input or output. The user of the
// package feeds events to a [Balancer] and carries out the actions that it
// appends.
//
// One Balancer serves one sidecar that sends to one tier. It uses no
// goroutine, clock or lock: the user passes the time, which may count from any
// fixed origin and must never decrease, and calls one method at a time. The
// same seed and events give the same actions. All state is lost with the
// Balancer; after a restart, create a new one and pass it the last known list
// first.
//
// Each method appends its actions to the slice that it is given and returns
// the result. The user owns that slice again after the return and may reuse it
// for the next event. Arguments (a list, a load report) are not retained.
// Actions must be carried out in their order, at the time of their event. A
// timer can't be stopped: the user passes each one to [Balancer.TimerFired]
// once, when it is due or soon after, and the Balancer ignores those that it no
// longer needs.
//
// Events about an unknown request or endpoint are ignored, and so are late or
// repeated events.
package balance

import (
	"errors"
	"fmt"
	"math"
	"time"
)

// RequestID identifies a request within a Balancer. It is never reused.
type RequestID uint64

// EndpointID identifies an endpoint. It survives a restart of the endpoint.
type EndpointID uint32

// Semantics states whether a request may run more than once.
type Semantics uint8

// The semantics of a class.
const (
	Safe   Semantics = iota // may run any number of times
	Keyed                   // endpoints within the class's Scope drop repeats by idempotency key
	Unsafe                  // must not run twice
)

// Scope states which endpoints drop the repeats of a keyed request.
type Scope uint8

// The scopes of a keyed class.
const (
	ScopeAll  Scope = iota // all endpoints
	ScopeZone              // those in the zone of the first endpoint that may have run the request
	ScopeCell              // those in the cell of that endpoint
)

// Class describes a class of requests.
type Class struct {
	Name             string
	TargetLatency    time.Duration `name:"Goal"` // a response within it earns the full value
	Deadline         time.Duration // how long a client waits at most, over all its retries
	Value            float64       `name:"Worth"`       // of a request that is served in time
	LateValueShare   float64       `name:"LateShare"`   // share of the value earned after TargetLatency, before Deadline
	TargetWorkFactor float64       `name:"GoalStretch"` // TargetLatency grows by this multiple of a request's ExpectedWork
	Semantics        Semantics
	Scope            Scope         // for Keyed
	RepeatWindow     time.Duration // for Keyed: how long endpoints drop repeats
	Streaming        bool          `name:"Stream"` // the response is streamed: ResponseStarted precedes AttemptEnded

	// Limits of the class, which apply in addition to those of Limits; zero is no limit. They can be changed
	// by [Balancer.SetClassLimits].
	MaxAttempts      int           // for each request, including attempts that never ran
	MaxRetries       int           `name:"Retries"`     // retries after an attempt that may have run; negative allows none
	NoHedging        bool          `name:"OneCopy"`     // no second attempt while one is in flight
	RetryStartWindow time.Duration `name:"RetryWithin"` // a further attempt must start sooner than this after the request's arrival
}

// Tenant describes a tenant.
type Tenant struct {
	Name  string
	Quota float64 // requests per second, summed over all sidecars; 0 is no quota
	Share float64 // share of the service
}

// WeightMeaning states what the weight of an [Endpoint] means.
type WeightMeaning uint8

// The meanings of a weight.
const (
	WeightNone             WeightMeaning = iota // no meaning
	WeightCapacity                              // the registered capacity
	WeightCapacityEstimate                      // a rough estimate of the capacity
	WeightCapacityPerLoad                       // capacity divided by load, as of some time ago
)

// Reporting states how load reports reach a sidecar.
type Reporting uint8

// The ways of reporting load.
const (
	ReportsNone       Reporting = iota // no load reports
	ReportsInProbe                     // in probe results only
	ReportsInResponse                  // in outcomes of attempts and in probe results
)

// Costs are the points deducted from the result for each use of a resource. Each is multiplied by the share
// or rate given with it.
type Costs struct {
	Connection float64 // average number of open connections, divided by 100 x endpoints
	CrossZone  float64 // attempts that cross zones, divided by first attempts
	Handshake  float64 // new connections, divided by first attempts
	LateFail   float64 // value of requests that end unserved once their target latency has passed
	Peer       float64 // bytes of messages between sidecars, divided by 256 x first attempts
	Probe      float64 // probes, divided by first attempts
	Waste      float64 // work that yields no response, divided by the work offered
}

// ObjectiveWeights are the weights of the parts of the result.
type ObjectiveWeights struct {
	Overall     float64 `name:"Whole"` // the whole day
	WorstWindow float64 // the worst time window of the day
	WorstClass  float64 // the class that is served worst
	WorstTenant float64 // the tenant that is served worst
	Nines       float64 // -log10 of the share that is not served, over NinesTarget
	NinesTarget float64 `name:"NinesFull"` // number of nines that earns the full weight
}

// Limits are what the deployment allows.
type Limits struct {
	MaxAttempts    int           // for each request; 0 is no limit
	Hedging        bool          `name:"SecondCopies"` // two attempts of a request may be in flight together
	Probes         bool          // Probe actions are allowed
	Cancel         bool          // Cancel actions are allowed
	PeerMessages   bool          `name:"Peers"` // sidecars may send each other messages
	MaxRetryAfter  time.Duration // longest delay of a Shed action that clients obey
	ConnectTimeout time.Duration
	KeepAlive      time.Duration // idle connections are closed after this time
	MaxStreams     int           // concurrent requests on a connection
}

// Config configures a Balancer. A name tag, here and in the structs below it, holds the name under which
// operators' tools print a field whose Go name differs.
type Config struct {
	SidecarIndex               int `name:"Me"`        // index of this sidecar, from 0
	SidecarCount               int `name:"Balancers"` // number of sidecars that send to the tier
	Tier                       int // index of the tier that the sidecar sends to; 0 receives client requests
	Zone                       int // zone of this sidecar
	Classes                    []Class
	Tenants                    []Tenant
	OverQuotaValue             float64       `name:"OverQuotaWorth"` // value of a request over its tenant's quota, as a share of its usual value
	ClientsMarkRetries         bool          `name:"MarksRepeats"`   // clients mark their retries
	EndpointsPropagateDeadline bool          `name:"PassesBudget"`   // requests that an endpoint sends to serve a request carry the time left for it
	MustSubscribe              bool          `name:"AskDiscovery"`   // lists arrive only after discovery was asked
	MaxSubscribeDelay          time.Duration `name:"AskWithin"`      // discovery must be asked within this time after the start; 0 is no limit
	WeightMeaning              WeightMeaning `name:"Weights"`
	Reporting                  Reporting
	Costs                      Costs
	Limits                     Limits
	ColdCapacityShare          float64          `name:"ColdShare"`    // share of its capacity that an endpoint has when it starts
	WarmupTime                 time.Duration    `name:"ColdFor"`      // time from its start until it has its full capacity
	ColdOverloadMultiple       float64          `name:"FallMultiple"` // load, as a multiple of its capacity, above which a cold endpoint fails
	ColdOverloadTime           time.Duration    `name:"FallAfter"`    // how long such a load must last for it to fail
	DrainGrace                 time.Duration    // sends to a draining endpoint must have stopped after this time
	MaxDrainIdleTime           time.Duration    `name:"ReleaseWithin"` // idle connections to a draining endpoint must be closed within this time; 0 is no such rule
	Objective                  ObjectiveWeights `name:"Goal"`
	ValueScalesWithWork        bool             `name:"WorthByWork"` // a request's value is proportional to its work
	ClockResolution            time.Duration    `name:"Step"`        // least difference between the times of two events
}

// EndpointState is the state of a listed endpoint.
type EndpointState uint8

// The states of an endpoint.
const (
	InService EndpointState = iota // takes requests
	Draining                       // finishes its requests and takes no new ones
	Removed                        // removed by discovery
)

// Endpoint is an entry of a list of endpoints.
type Endpoint struct {
	ID        EndpointID
	Zone      int
	Cell      int
	State     EndpointState
	Weight    float64       // see [WeightMeaning]
	StartedAt time.Duration // when it last started, on the Balancer's clock; 0 is long ago
}

// ListKind states what a list of endpoints contains.
type ListKind uint8

// The kinds of list.
const (
	ListFull        ListKind = iota // all endpoints: those not listed have been removed
	ListChanges                     // changed entries only
	ListLastKnown                   // all endpoints as of the last run, possibly outdated
	ListUnavailable                 // no list: a discovery request failed
	ListSilent                      // no list: a discovery request got no response and was given up
)

// Request describes a request that has arrived.
type Request struct {
	ID           RequestID
	Class        int           // index into Config.Classes
	Tenant       int           // index into Config.Tenants; out of range is no tenant
	Timeout      time.Duration // until its caller gives up, from its arrival
	ClientRetry  bool          // the client marked it as a retry
	ExpectedWork time.Duration // expected work on a standard core; 0 is unknown

	BodyArriving bool // its body is still arriving, see [Balancer.BodyStateChanged]
}

// BodyState is the state of the body of a request that was still arriving when the request was passed to
// [Balancer.RequestArrived].
type BodyState uint8

// The states of a body.
const (
	BodyComplete    BodyState = iota // it has arrived completely: an endpoint may start the request
	BodyUnavailable                  // it is no longer retained: no further attempt can be sent
)

// Result states how an attempt or a probe ended.
type Result uint8

// The results. Rejected, ConnectFailed and NotSent prove that the request never ran.
const (
	OK            Result = iota
	Error                // the endpoint responded with an error
	Rejected             // the endpoint, full or draining, refused it unread
	Timeout              // no response in the time allowed
	ConnectFailed        // no connection in time
	Reset                // the connection broke
	Canceled             // canceled by the Balancer
	NotSent              // the sidecar did not send it
)

// Load is an endpoint's report of its load. A field that is not reported is -1.
type Load struct {
	InFlight        float64 // requests in flight at the endpoint
	Queued          float64 // requests waiting at the endpoint
	Utilization     float64 // share of the cores in use
	LatencyMS       float64 // recent service time, in milliseconds
	ServedPerSecond float64 // requests served per second
	FailedPerSecond float64 // errors per second
}

// Outcome describes the end of an attempt.
type Outcome struct {
	Request         RequestID
	Attempt         int // index, see [Action]
	Endpoint        EndpointID
	Result          Result
	RequestFinished bool          // the request has its final response, from this attempt or earlier
	Elapsed         time.Duration // since the attempt was sent, or since its body was complete if that was later
	Load            *Load         // nil without a report; not retained
}

// Timer identifies a timer of a Balancer. Its content has meaning only for the Balancer, which gets it back
// when the timer fires.
type Timer struct {
	Kind uint8
	Ref  uint64
}

// ActionKind states what an action does.
type ActionKind uint8

// The kinds of action, with the fields of [Action] that they use.
const (
	Send      ActionKind = iota // Request, Endpoint, Deadline, StartDeadline: send an attempt
	Cancel                      // Request, Attempt: cancel the attempt
	Shed                        // Request, Delay: refuse the request; a retry after Delay is harmless
	Fail                        // Request: fail the request, which may have run
	SetTimer                    // Timer, Delay: pass Timer to TimerFired after Delay
	Probe                       // Endpoint: ask it for its load
	CloseIdle                   // Endpoint: close the idle connections to it
	Subscribe                   // ask discovery for the list
)

// Action is something that the user of a Balancer must do. The attempts of a request are numbered from 0 in
// the order of their Send actions.
type Action struct {
	Kind          ActionKind
	Request       RequestID
	Endpoint      EndpointID
	Attempt       int
	Deadline      time.Duration // when the attempt must be abandoned, on the Balancer's clock
	StartDeadline time.Duration // the attempt must not go out later than this, on the same clock; 0 is no such limit
	Delay         time.Duration // from the time of the event
	Timer         Timer
}

// check returns an error that names the first invalid setting, by its outer name.
func (c *Config) check() error {
	if len(c.Classes) == 0 {
		return errors.New("balance: Classes: none given")
	}
	for i := range c.Classes {
		k := &c.Classes[i]
		switch {
		case k.Semantics > Unsafe:
			return fmt.Errorf("balance: Classes[%d].Semantics: unknown value %d", i, k.Semantics)
		case k.Scope > ScopeCell:
			return fmt.Errorf("balance: Classes[%d].Scope: unknown value %d", i, k.Scope)
		case k.TargetLatency <= 0:
			return fmt.Errorf("balance: Classes[%d].Goal: not positive", i)
		case k.Deadline <= 0:
			return fmt.Errorf("balance: Classes[%d].Deadline: not positive", i)
		case k.RepeatWindow < 0:
			return fmt.Errorf("balance: Classes[%d].RepeatWindow: negative", i)
		case k.MaxAttempts < 0:
			return fmt.Errorf("balance: Classes[%d].MaxAttempts: negative", i)
		case k.RetryStartWindow < 0:
			return fmt.Errorf("balance: Classes[%d].RetryWithin: negative", i)
		}
	}
	for _, t := range []struct {
		name  string
		value time.Duration
	}{
		{"AskWithin", c.MaxSubscribeDelay}, {"ColdFor", c.WarmupTime}, {"FallAfter", c.ColdOverloadTime}, {"Step", c.ClockResolution},
		{"DrainGrace", c.DrainGrace}, {"ReleaseWithin", c.MaxDrainIdleTime},
		{"Limits.ConnectTimeout", c.Limits.ConnectTimeout}, {"Limits.KeepAlive", c.Limits.KeepAlive},
		{"Limits.MaxRetryAfter", c.Limits.MaxRetryAfter},
	} {
		if t.value < 0 {
			return fmt.Errorf("balance: %s: negative", t.name)
		}
	}
	return c.checkNumbers()
}

// checkNumbers returns an error that names the first ratio, count or enumerator that is out of range.
func (c *Config) checkNumbers() error {
	type number struct {
		name           string
		value, highest float64
	}
	inf := math.Inf(1)
	numbers := []number{
		{"OverQuotaWorth", c.OverQuotaValue, 1}, {"ColdShare", c.ColdCapacityShare, 1}, {"FallMultiple", c.ColdOverloadMultiple, inf},
		{"Costs.Connection", c.Costs.Connection, inf}, {"Costs.CrossZone", c.Costs.CrossZone, inf},
		{"Costs.Handshake", c.Costs.Handshake, inf}, {"Costs.LateFail", c.Costs.LateFail, inf},
		{"Costs.Peer", c.Costs.Peer, inf}, {"Costs.Probe", c.Costs.Probe, inf}, {"Costs.Waste", c.Costs.Waste, inf},
		{"Goal.Whole", c.Objective.Overall, inf}, {"Goal.WorstWindow", c.Objective.WorstWindow, inf},
		{"Goal.WorstClass", c.Objective.WorstClass, inf}, {"Goal.WorstTenant", c.Objective.WorstTenant, inf},
		{"Goal.Nines", c.Objective.Nines, inf}, {"Goal.NinesFull", c.Objective.NinesTarget, inf},
		{"Limits.MaxAttempts", float64(c.Limits.MaxAttempts), inf}, {"Limits.MaxStreams", float64(c.Limits.MaxStreams), inf},
		{"Balancers", float64(c.SidecarCount), inf}, {"Me", float64(c.SidecarIndex), inf}, {"Tier", float64(c.Tier), inf},
		{"Weights", float64(c.WeightMeaning), float64(WeightCapacityPerLoad)},
		{"Reporting", float64(c.Reporting), float64(ReportsInResponse)},
	}
	for i, k := range c.Classes {
		prefix := fmt.Sprintf("Classes[%d].", i)
		numbers = append(numbers, number{prefix + "Worth", k.Value, inf}, number{prefix + "LateShare", k.LateValueShare, 1},
			number{prefix + "GoalStretch", k.TargetWorkFactor, inf})
	}
	for i, t := range c.Tenants {
		prefix := fmt.Sprintf("Tenants[%d].", i)
		numbers = append(numbers, number{prefix + "Quota", t.Quota, inf}, number{prefix + "Share", t.Share, 1})
	}
	for _, n := range numbers {
		if !(n.value >= 0 && n.value <= n.highest) || math.IsInf(n.value, 0) { // a NaN fails both comparisons
			return fmt.Errorf("balance: %s: %g is out of range", n.name, n.value)
		}
	}
	return nil
}
