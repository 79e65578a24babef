// Package balance decides for the load balancer of services that call
// services: which endpoint gets a request, whether to try again, hedge or
// shed, and whom to probe. It does no input or output. A caller feeds events
// to a [Balancer] and carries out the actions it appends.
//
// One Balancer stands for one sidecar sending to one tier. It holds no
// goroutine, clock or lock: the caller passes the time, from any fixed origin
// and never falling, and calls one method at a time. The same seed and events
// give the same actions. All state dies with the Balancer; after a restart,
// make a new one and hand it the last known list first.
//
// Each method appends its actions to the slice it is given and returns that;
// the caller owns it again at the return, and may reuse it for the next event.
// What a method is handed (a list, a load report) is not kept. Actions are to be
// carried out in their order, at the time of their event. A timer can't be
// stopped: the caller hands each back to Fired once, when it is due or soon
// after, and the Balancer ignores those it has no more use for.
//
// Events about a request or an endpoint that was never seen are ignored, and
// so are late or repeated ones.
package balance

import (
	"errors"
	"fmt"
	"math"
	"time"
)

// RequestID names one request within a Balancer. It is never reused.
type RequestID uint64

// EndpointID names one endpoint. It survives a restart of the endpoint.
type EndpointID uint32

// Semantics says whether a request may run more than once.
type Semantics uint8

// The semantics of a class.
const (
	Safe   Semantics = iota // may run any number of times
	Keyed                   // repeats are dropped by the endpoints of one group
	Unsafe                  // must not run twice
)

// Scope says which endpoints drop the repeats of a keyed request.
type Scope uint8

// The scopes of a keyed class.
const (
	ScopeAll  Scope = iota // all endpoints
	ScopeZone              // those in the zone of the first that may have run it
	ScopeCell              // those in its cell
)

// Class describes a class of requests.
type Class struct {
	Name             string
	TargetLatency    time.Duration `name:"Goal"` // an answer within it earns full worth
	Deadline         time.Duration // a client's patience across all its tries
	Value            float64       `name:"Worth"`
	LateValueShare   float64       `name:"LateShare"`   // share of the worth earned after Goal, before Deadline
	TargetWorkFactor float64       `name:"GoalStretch"` // Goal grows by this multiple of a request's own work
	Semantics        Semantics
	Scope            Scope         // for Keyed
	RepeatWindow     time.Duration // for Keyed: how long repeats are dropped
	Streaming        bool          `name:"Stream"` // the answer is streamed: Head comes first

	// Bounds of the class's own, within those of Limits; zero is none. See [Balancer.Bound].
	MaxAttempts      int           // for each request, those that never ran included
	MaxRetries       int           `name:"Retries"`     // after an attempt that may have run; negative is not even one
	NoHedging        bool          `name:"OneCopy"`     // no second copy while one is out
	RetryStartWindow time.Duration `name:"RetryWithin"` // a further attempt begins sooner than this after the request came
}

// Tenant describes a tenant; its quota is summed over all sidecars.
type Tenant struct {
	Name  string
	Quota float64 // requests a second
	Share float64 // of the service
}

// WeightMeaning says what the weight of an [Endpoint] means.
type WeightMeaning uint8

// The meanings of a weight.
const (
	WeightNone             WeightMeaning = iota // nothing
	WeightCapacity                              // the registered size
	WeightCapacityEstimate                      // the size, roughly
	WeightCapacityPerLoad                       // size over load, as of some time ago
)

// Reporting says how load reports reach a sidecar.
type Reporting uint8

// The ways of reporting load.
const (
	ReportsNone       Reporting = iota // not at all
	ReportsInProbe                     // in probe results only
	ReportsInResponse                  // in outcomes and probe results
)

// Costs are prices in points of the result, each times its share or rate.
type Costs struct {
	Connection float64 // open connections on average, over 100 x endpoints
	CrossZone  float64 // attempts that cross zones, over first tries
	Handshake  float64 // new connections, over first tries
	LateFail   float64 // worth left unserved after its goal
	Peer       float64 // peer bytes, over 256 x first tries
	Probe      float64 // probes, over first tries
	Waste      float64 // work that yields no answer, over work offered
}

// ObjectiveWeights are the weights of the parts of the result.
type ObjectiveWeights struct {
	Overall     float64 `name:"Whole"` // the day as a whole
	WorstWindow float64 // its worst stretch
	WorstClass  float64
	WorstTenant float64
	Nines       float64 // -log10 of the share not served, over NinesFull
	NinesTarget float64 `name:"NinesFull"` // the nines that earn all of it
}

// Limits are what the deployment allows.
type Limits struct {
	MaxAttempts    int  // for each request; 0 is no limit
	Hedging        bool `name:"SecondCopies"` // two attempts of a request may be out together
	Probes         bool // Probe actions are allowed
	Cancel         bool // Cancel actions are allowed
	PeerMessages   bool `name:"Peers"` // sidecars may send each other messages
	MaxRetryAfter  time.Duration
	ConnectTimeout time.Duration
	KeepAlive      time.Duration // idle connections close after it
	MaxStreams     int           // requests in parallel on a connection
}

// Config is what a Balancer is told at its start. A name tag, here and in the structs below it, holds the
// name under which operators' tools print a field whose Go name differs.
type Config struct {
	SidecarIndex               int `name:"Me"`        // index of this sidecar
	SidecarCount               int `name:"Balancers"` // how many send to the tier
	Tier                       int // index of the tier it sends to; 0 takes client requests
	Zone                       int
	Classes                    []Class
	Tenants                    []Tenant
	OverQuotaValue             float64       `name:"OverQuotaWorth"` // worth of a request past its tenant's quota, as a share
	ClientsMarkRetries         bool          `name:"MarksRepeats"`   // clients mark their repeats
	EndpointsPropagateDeadline bool          `name:"PassesBudget"`   // an endpoint's own calls carry the time left to it
	MustSubscribe              bool          `name:"AskDiscovery"`   // the list comes only after Subscribe or Fetch
	MaxSubscribeDelay          time.Duration `name:"AskWithin"`
	WeightMeaning              WeightMeaning `name:"Weights"`
	Reporting                  Reporting
	Costs                      Costs
	Limits                     Limits
	ColdCapacityShare          float64          `name:"ColdShare"`    // an endpoint starts at this share of its capacity
	WarmupTime                 time.Duration    `name:"ColdFor"`      // and is at full capacity after this
	ColdOverloadMultiple       float64          `name:"FallMultiple"` // more than this multiple of its capacity
	ColdOverloadTime           time.Duration    `name:"FallAfter"`    // for this long, and a cold endpoint falls over
	DrainGrace                 time.Duration    // sends to an endpoint that drains must have ceased after this
	MaxDrainIdleTime           time.Duration    `name:"ReleaseWithin"` // idle connections to it must be closed within this; 0 is no such rule
	Objective                  ObjectiveWeights `name:"Goal"`
	ValueScalesWithWork        bool             `name:"WorthByWork"` // a request's worth goes by its work
	ClockResolution            time.Duration    `name:"Step"`        // least time between two events' times
}

// EndpointState is the state of a listed endpoint.
type EndpointState uint8

// The states of an endpoint.
const (
	InService EndpointState = iota
	Draining                // finishing its work
	Removed                 // removed
)

// Endpoint is one entry of a list.
type Endpoint struct {
	ID        EndpointID
	Zone      int
	Cell      int
	State     EndpointState
	Weight    float64
	StartedAt time.Duration // when it last started; 0 is long ago
}

// ListKind says what a list of endpoints is.
type ListKind uint8

// The kinds of list.
const (
	ListFull        ListKind = iota // all endpoints: the others are gone
	ListChanges                     // altered entries only
	ListLastKnown                   // all endpoints as of the last run, maybe outdated
	ListUnavailable                 // no list: a call to discovery failed
)

// Request is a request to be answered.
type Request struct {
	ID           RequestID
	Class        int
	Tenant       int
	Timeout      time.Duration // until its client gives up
	ClientRetry  bool          // the client marked it as a further try
	ExpectedWork time.Duration // expected work on a standard core; 0 is unknown

	BodyArriving bool // its body is still coming, see [Balancer.Body]
}

// BodyState is what a sidecar learns late of a request's body.
type BodyState uint8

// What may be learned.
const (
	BodyComplete    BodyState = iota // it has come whole: an endpoint may begin the request
	BodyUnavailable                  // it is kept no longer: no further attempt can be sent
)

// Result says how an attempt or a probe ended.
type Result uint8

// The results. Rejected, ConnectFailed and NotSent prove it never ran.
const (
	OK            Result = iota
	Error                // the endpoint answered with an error
	Rejected             // turned away unread: full, or draining
	Timeout              // no answer in the time allowed
	ConnectFailed        // no connection in time
	Reset                // the connection broke
	Canceled             // withdrawn by the balancer
	NotSent              // the sidecar did not send it
)

// Load is an endpoint's report of its load. A field not reported is -1.
type Load struct {
	InFlight        float64 // requests held
	Queued          float64 // requests waiting
	Utilization     float64 // share of the cores in use
	LatencyMS       float64 // recent service time
	ServedPerSecond float64 // requests a second
	FailedPerSecond float64 // errors a second
}

// Outcome is the end of one attempt.
type Outcome struct {
	Request         RequestID
	Attempt         int
	Endpoint        EndpointID
	Result          Result
	RequestFinished bool // the request has its final answer, by this or earlier
	Elapsed         time.Duration
	Load            *Load // nil without a report; not kept
}

// Timer is a balancer's own note, handed back when a timer fires.
type Timer struct {
	Kind uint8
	Ref  uint64
}

// ActionKind says what an action does.
type ActionKind uint8

// The kinds of action, with the fields of [Action] that they use.
const (
	Send      ActionKind = iota // Request, Endpoint, Until, BeginBy
	Cancel                      // Request, Attempt
	Shed                        // Request, Delay: refused, a repeat is harmless
	Fail                        // Request: failed, no promise
	SetTimer                    // Timer, Delay
	Probe                       // Endpoint
	CloseIdle                   // Endpoint: close idle connections to it
	Subscribe                   // to discovery
)

// Action is something for the caller to do. The attempts of a request are
// numbered from 0 in the order of their Send actions.
type Action struct {
	Kind          ActionKind
	Request       RequestID
	Endpoint      EndpointID
	Attempt       int
	Deadline      time.Duration // when the attempt is abandoned
	StartDeadline time.Duration // it must not go out later than this; 0 is no such bound
	Delay         time.Duration
	Timer         Timer
}

// check returns an error that names the first setting at fault.
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
		name string
		d    time.Duration
	}{
		{"AskWithin", c.MaxSubscribeDelay}, {"ColdFor", c.WarmupTime}, {"FallAfter", c.ColdOverloadTime}, {"Step", c.ClockResolution},
		{"DrainGrace", c.DrainGrace}, {"ReleaseWithin", c.MaxDrainIdleTime},
		{"Limits.ConnectTimeout", c.Limits.ConnectTimeout}, {"Limits.KeepAlive", c.Limits.KeepAlive},
		{"Limits.MaxRetryAfter", c.Limits.MaxRetryAfter},
	} {
		if t.d < 0 {
			return fmt.Errorf("balance: %s: negative", t.name)
		}
	}
	return c.checkNumbers()
}

// checkNumbers checks the settings that are ratios, counts and unknown enumerators.
func (c *Config) checkNumbers() error {
	type number struct {
		name      string
		v, atMost float64
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
		at := fmt.Sprintf("Classes[%d].", i)
		numbers = append(numbers, number{at + "Worth", k.Value, inf}, number{at + "LateShare", k.LateValueShare, 1},
			number{at + "GoalStretch", k.TargetWorkFactor, inf})
	}
	for i, t := range c.Tenants {
		at := fmt.Sprintf("Tenants[%d].", i)
		numbers = append(numbers, number{at + "Quota", t.Quota, inf}, number{at + "Share", t.Share, 1})
	}
	for _, n := range numbers {
		if !(n.v >= 0 && n.v <= n.atMost) || math.IsInf(n.v, 0) { // a NaN fails both
			return fmt.Errorf("balance: %s: %g is out of range", n.name, n.v)
		}
	}
	return nil
}
