package balance

// All decisions of balance. The interface (settings, events, actions) is in balance.go. The mechanism is
// SA-JIQ: a request goes to an endpoint known to be idle, of the fastest speed type that has one; with none
// idle, a type is drawn by speed x share and an endpoint in it uniformly.

import (
	"cmp"
	"math"
	"math/bits"
	"math/rand/v2"
	"slices"
	"time"
)

const ( // searching for an idle endpoint
	maxProbeCost = 0.004                // what a probe may cost, in requests, to probe at each arrival
	probeWait    = 8 * time.Millisecond // how long a probe is waited for before others are sent

	// A request has one probe out and, once that is late, another, up to probesAtOnce: a round trip is short
	// beside a call, and a probe more for each call costs more than waiting for the last. Each request adds
	// probesEach to a store of probesSaved.
	maxProbesPerRequest, probeTokensPerRequest, maxProbeTokens = 4, 4, 24

	probesPerMeanLatency = 10.0 // how often in a usual call all sidecars may probe each endpoint beyond that
	reportLifetimeShare  = 0.05 // of a usual call's time a report is believed: few endpoints change in it
	// bounds the draws for one endpoint, so that a pick does not grow with the fleet
	maxSamples = 24
	// how many draws among busy endpoints a call earns: in overload they would be late
	drawBudget = 0.02
)

const ( // telling a free core by own calls alone
	// subsetOverlap is how many sidecars are to meet each endpoint, as own calls say little where
	// more do, and how
	// many endpoints a sidecar meets at least, so that what one loses is spread over several.
	subsetOverlap = 5
	slowdownGain  = 0.01 // the weight of a call in the pace: some hundred calls tell crowding from chance

	// minAdjustInterval is the least time between two moves of the share, paceCalls the fewest calls.
	minAdjustInterval, minSlowdownSamples = 300 * time.Millisecond, 30

	// how much slower than at its best (in the logarithm) the pace shows cores short
	congestionThreshold = 0.25
	// the share of the goal that a usual call may take before the share is cut as well
	maxTargetShare = 0.25

	// move the share; sums and products bring sidecars to like shares
	concurrencyDecrease, concurrencyIncrease = 0.9, 0.03

	// minTotalConcurrency is what the shares of all sidecars come to at least: so few calls crowd no
	// endpoint, and
	// cutting on starves the fleet without quickening a call. It happened where the first calls were lucky.
	minTotalConcurrency = 3.0

	rejectionSlowdown = 1.5    // what a rejection counts for in the pace, over the best
	baseSlowdownDrift = 0.0001 // how the best pace rises with each call: a lucky stretch is forgotten

	// windowDecrease is what a lost call leaves of the congestion window, windowRise what a round of
	// answers adds.
	windowDecrease, windowIncrease, minWindow = 0.5, 0.1, 0.05

	// how many seconds the own rate is a mean of: of sends, as overload refuses most requests
	sendRateSeconds = 2.0
)

const ( // admission
	quotaBurstSeconds  = 1.0 // how many seconds of its quota a tenant may save up
	overQuotaCoreShare = 0.5 // the part of the free cores that requests over their tenant's quota may use
	// how much of its patience the oldest held request may have waited, and still go first
	maxFIFOWaitShare = 0.03
	// what each request leaves of the counts by class: they are of a thousand requests
	classCountDecay = 0.999
)

const ( // health, further attempts and discovery
	// baseEjectionTime is how long an endpoint that failed is passed over at least; it doubles with
	// each failure.
	baseEjectionTime, maxEjectionTime = 300 * time.Millisecond, 10 * time.Second

	penaltyGain = 0.1 // the weight of a call in an endpoint's slowness

	// failurePenalty is what a failed call adds to slowness, and slowMost bounds it: a twentieth of
	// the speed.
	failurePenalty, maxPenalty = 0.35, 3.0

	latencyGain = 0.05 // the weight of a call in a class's mean time
	startMargin = 1.4  // how many usual calls' time a call needs: begun later, most were late, work lost

	// sharedStartMargin is how many mean deviations a call needs beyond that where others may be at
	// its endpoint:
	// its time varies with theirs. At an idle one it needs none, and would be given up for nothing. learnedBy
	// is how many calls of a class tell its deviation.
	sharedStartMargin, minDeviationSamples = 3.0, 10

	hedgeDelayDeviations = 3.0 // when a call is hedged: this many mean deviations over the mean

	// hedgeBudget and retryBudget are the shares of calls hedged, or retried though work may have been lost.
	hedgeBudget, retryBudget = 0.1, 0.2

	maxBudgetTokens = 10 // how much of a budget can be saved up
	// spreads the first calls to discovery: a whole fleet may start at once
	firstSubscribeSpread = 2 * time.Second

	// connectFailureGain is the weight of a new connection in the share that fails, which acts from
	// noLinkLeast on.
	connectFailureGain, minConnectFailureShare = 0.3, 0.01

	// firstIdleStep is the first step of idle times, each twice the last. staleGain is a call's weight in the
	// share lost after such a time, staleFor the seconds it is remembered, staleMost what may be lost so.
	firstIdleStep, idleLossGain, idleLossSeconds, maxIdleLoss = 100 * time.Millisecond, 0.3, 20.0, 0.1
)

// maxSendDelay is how long a sidecar may be held up between reading its clock and writing.
const maxSendDelay = 150 * time.Millisecond

// The timers of a Balancer: Ref is a request, ask discovery again, and look at the held requests again.
const timerRequest, timerSubscribe, timerDispatch = 1, 2, 3

// endpoint is what is known of one server.
type endpoint struct {
	Endpoint
	ringPosition        uint64        // its place on the ring
	isReady             bool          // is in Balancer.ready
	weightStats         *latencyStats // those of its listed weight: their mean pace
	reportedInFlight    float64       // requests in flight, as last reported
	loadRequestedAt     time.Duration // when that was asked for
	loadReceivedAt      time.Duration // when it came
	hasLoad             bool
	inFlight            []time.Duration // when the own calls that are out were sent
	waitingForCaller    int             // of those, how many wait for their caller, not for the endpoint
	lastSentAt          time.Duration
	lastResponseAt      time.Duration // when a call on a connection to it was last answered
	speedPenalty        float64       // logarithm of its calls' time over that usual for its weight
	consecutiveFailures int           // failures in a row
	ejectedUntil        time.Duration
	probing             bool
	probedAt            time.Duration
}

// attempt is one sending of a request.
type attempt struct {
	endpoint       *endpoint
	sentAt         time.Duration
	inFlight       bool
	cancelDisabled bool // withdrawn, or never to be
	idleStep       int  // how long its connection had been idle, in steps
	waitsForCaller bool // for its caller, to send the rest of its body or to take its answer
}

// request is a request until its last attempt has ended.
type request struct {
	Request
	class            *Class
	arrivedAt        time.Duration
	targetAt         time.Duration // an answer by it earns full worth
	deadline         time.Duration // an answer after it earns nothing
	latestStart      time.Duration // a call that begins later would be late
	attempts         []attempt
	inFlight         int           // attempts out
	retries          int           // attempts after one that may have run, other than second copies
	firstRunEndpoint *endpoint     // where the first attempt went that may have run
	firstRunSentAt   time.Duration // and when it was sent
	finished         bool          // it has its final answer
	overQuota        bool          // it is over its tenant's quota
	queued           bool          // it waits for an endpoint, in Balancer.held
	queuedAt         time.Duration // since then
	bodyUnavailable  bool          // its body is gone: no further attempt can be sent
	hedgeAt          time.Duration
}

// latencyStats is what is learned of the calls of a class, in seconds.
type latencyStats struct {
	mean, meanDeviation, samples float64
	requests, served             float64 // requests lately, and those served in time
}

// Balancer decides for one sidecar. It is not safe for concurrent use.
type Balancer struct {
	cfg             Config
	rng             *rand.Rand
	now             time.Duration
	actions         []Action
	endpoints       map[EndpointID]*endpoint
	statsByWeight   map[int]*latencyStats // by listed weight
	ready           []*endpoint           // in service, in list order
	local, remote   []*endpoint           // those it sends to, in its own zone and in others
	requests        map[RequestID]*request
	queue           []*request // that wait for an endpoint, newest last
	classQueue      []*request // those of one class in the order of their turn, for serve alone
	classStats      []latencyStats
	classOrder      []int     // classes, by their value
	quotaTokens     []float64 // what each tenant has saved up
	quotaRefilledAt time.Duration

	hedgeTokens, retryTokens, drawTokens float64     // budgets
	probesOnArrival                      bool        // probes at each arrival tell who is idle
	pendingProbes                        []*endpoint // whom the probes that are out went to, in their order
	probeTokens                          float64     // store of probes
	probeTokensRefilledAt                time.Duration
	idleEndpoints                        []*endpoint // found idle lately
	dispatchTimerAt                      time.Duration

	// own calls that an endpoint has free cores for, per unit of its speed
	concurrencyLimit                    float64
	logSlowdown                         float64 // logarithm of a call's time over its expected work, lately
	baseLogSlowdown                     float64
	logTargetRatio                      float64       // logarithm of a call's time over its goal, lately
	slowdownSamples, samplesSinceAdjust int           // calls, and those since the share was moved
	nextAdjustAt                        time.Duration // when it may move again
	allWereBusy                         bool          // nobody was free since then
	sendRate                            float64       // own sends a second
	lastSentAt                          time.Duration
	subsetCapacity, readyCapacity       float64 // sizes of near and far, and of ready
	maxSpeed                            float64 // the highest speed of near and far

	inFlight         int     // own calls out, but for those that wait for their callers
	congestionWindow float64 // own calls that may be out

	idleLossShares    [8]float64 // share of calls lost silently, by how long their connection was idle
	idleLossDecayedAt time.Duration

	oversubscribed      bool    // too many sidecars share each endpoint for own calls to tell its load
	connectFailureShare float64 // share of new connections that fail, lately
	connectedEndpoints  []*endpoint
	subscribed          bool
	failedSubscribes    int // calls to discovery that failed in a row
}

// New returns a Balancer, or an error that names the setting at fault.
func New(cfg Config, seed uint64) (*Balancer, error) {
	if err := cfg.check(); err != nil {
		return nil, err
	}
	cfg.Classes = slices.Clone(cfg.Classes) // Bound changes them
	cfg.SidecarCount, cfg.Limits.MaxAttempts =
		max(cfg.SidecarCount, 1), cmp.Or(cfg.Limits.MaxAttempts, math.MaxInt)
	b := &Balancer{
		cfg:           cfg,
		rng:           rand.New(rand.NewPCG(seed, 0x9e3779b97f4a7c15)),
		endpoints:     make(map[EndpointID]*endpoint),
		statsByWeight: make(map[int]*latencyStats),
		requests:      make(map[RequestID]*request),
		classStats:    make([]latencyStats, len(cfg.Classes)),
		quotaTokens:   make([]float64, len(cfg.Tenants)),
		hedgeTokens:   1, retryTokens: maxBudgetTokens, drawTokens: 1,
		// However few sidecars there are, together they begin with as many calls at each endpoint.
		concurrencyLimit: math.Max(1, subsetOverlap/float64(cfg.SidecarCount)),
		probesOnArrival: cfg.Limits.Probes && cfg.Reporting == ReportsInProbe &&
			cfg.Costs.Probe <= maxProbeCost,
	}
	for i, c := range cfg.Classes {
		b.classOrder = append(b.classOrder, i)
		b.classStats[i] = latencyStats{
			mean: c.TargetLatency.Seconds() / 4, meanDeviation: c.TargetLatency.Seconds() / 4,
		}
	}
	return b, nil
}

// SetClassLimits sets the bounds of a class anew: MaxAttempts, MaxRetries, NoHedging and RetryStartWindow of
// what it is given. They hold at once: a request that waits for an attempt it may not have is answered. What
// is out goes on.
func (b *Balancer) SetClassLimits(now time.Duration, class int, k Class, out []Action) []Action {
	b.startEvent(now, out)
	if class < 0 || class >= len(b.cfg.Classes) {
		return b.actions
	}
	c := &b.cfg.Classes[class]
	c.MaxAttempts, c.MaxRetries, c.NoHedging, c.RetryStartWindow =
		k.MaxAttempts, k.MaxRetries, k.NoHedging, k.RetryStartWindow
	for _, r := range slices.Clone(b.queue) {
		if r.inFlight == 0 && !b.mayAddAttempt(r) {
			b.shedOrFail(r)
		}
	}
	return b.actions
}

// EndpointsUpdated takes a list from discovery.
func (b *Balancer) EndpointsUpdated(
	now time.Duration, kind ListKind, list []Endpoint, out []Action,
) []Action {
	b.startEvent(now, out)
	switch kind {
	case ListUnavailable: // all sidecars may have been turned away at once: back off, jittered
		b.subscribed = false
		wait := min(time.Second<<min(b.failedSubscribes, 4), 2*cmp.Or(b.cfg.MaxSubscribeDelay, time.Minute))
		b.failedSubscribes++
		b.setTimer(timerSubscribe, 0, wait/2+b.jitter(wait))
		return b.actions
	case ListLastKnown:
		if b.cfg.MustSubscribe {
			b.setTimer(timerSubscribe, 0,
				b.jitter(min(firstSubscribeSpread, cmp.Or(b.cfg.MaxSubscribeDelay, firstSubscribeSpread))))
		}
	default:
		b.failedSubscribes = 0
	}
	if kind != ListChanges {
		for _, e := range b.endpoints {
			e.State = Removed
		}
	}
	for i := range list {
		b.updateEndpoint(&list[i])
	}
	b.ready = slices.DeleteFunc(b.ready, func(e *endpoint) bool {
		if e.isReady = e.State == InService; e.State == Removed {
			b.closeIdleConnections(e) // a whole list tells of it only by leaving it out
		}
		return !e.isReady
	})
	for _, e := range b.endpoints {
		b.deleteIfRemoved(e)
	}
	b.updateSubset()
	b.dispatchQueue()
	return b.actions
}

// deleteIfRemoved drops an endpoint that is gone once nothing is out to it: over a long day there
// are ever new ones.
func (b *Balancer) deleteIfRemoved(e *endpoint) {
	if e.State == Removed && len(e.inFlight) == 0 && !e.probing && b.endpoints[e.ID] == e {
		delete(b.endpoints, e.ID)
	}
}

// updateEndpoint takes one entry.
func (b *Balancer) updateEndpoint(entry *Endpoint) {
	e := b.endpoints[entry.ID]
	if e == nil {
		e = &endpoint{ringPosition: mix64(uint64(entry.ID))}
		b.endpoints[entry.ID] = e
	} else if entry.StartedAt != e.StartedAt { // what was known of the old process says nothing of the new
		e.hasLoad, e.speedPenalty, e.consecutiveFailures, e.ejectedUntil, e.lastResponseAt = false, 0, 0, 0, 0
	}
	e.Endpoint = *entry
	b.closeIdleConnections(e)
	k := int(math.Round(4 * math.Log2(b.capacity(e))))
	if e.weightStats = b.statsByWeight[k]; e.weightStats == nil {
		e.weightStats = &latencyStats{}
		b.statsByWeight[k] = e.weightStats
	}
	if e.State == InService && !e.isReady {
		e.isReady = true
		b.ready = append(b.ready, e)
	}
}

// closeIdleConnections closes the idle connections to an endpoint that has left service, at each
// event that may have
// made one idle: the notice, and the end of a call or a probe. A drain waits for its connections.
func (b *Balancer) closeIdleConnections(e *endpoint) {
	if b.cfg.MaxDrainIdleTime > 0 && e.State != InService && (e.lastSentAt > 0 || e.probedAt > 0) {
		b.emit(Action{Kind: CloseIdle, Endpoint: e.ID})
	}
}

// updateSubset makes near and far. Where own calls alone tell who is free, they are a stretch of the ring
// of endpoints that begins at this sidecar's place: all sidecars together cover each endpoint alike.
func (b *Balancer) updateSubset() {
	b.local, b.remote, b.readyCapacity = b.local[:0], b.remote[:0], 0
	for _, e := range b.ready {
		b.readyCapacity += b.capacity(e)
		if e.Zone == b.cfg.Zone {
			b.local = append(b.local, e)
		} else {
			b.remote = append(b.remote, e)
		}
	}
	if b.probesOnArrival {
		return
	}
	_, place := math.Modf(float64(b.cfg.SidecarIndex) * math.Phi)
	b.subsetCapacity, b.maxSpeed = 0, 1e-3
	for _, set := range [2]*[]*endpoint{&b.local, &b.remote} {
		slices.SortFunc(*set, func(x, y *endpoint) int { return cmp.Compare(x.ringPosition, y.ringPosition) })
		total := 0.0 // a stretch is measured in sizes, so that all sidecars have alike
		for _, e := range *set {
			total += b.capacity(e)
		}
		from, want := place*total, total*subsetOverlap/float64(b.cfg.SidecarCount)
		ring, n, at := append(*set, *set...), len(*set), 0.0
		*set = (*set)[:0]
		for _, e := range ring {
			middle := at + b.capacity(e)/2
			at += b.capacity(e)
			if middle >= from && len(*set) < n && (middle < from+want || len(*set) < subsetOverlap) {
				*set = append(*set, e)
			}
		}
		for _, e := range *set {
			b.subsetCapacity += b.capacity(e)
			b.maxSpeed = math.Max(b.maxSpeed, b.speed(e))
		}
	}
	b.oversubscribed = b.cfg.SidecarCount*(len(b.local)+len(b.remote)) > 2*subsetOverlap*len(b.ready)
	// before the first call: five calls an endpoint by all sidecars, learned from then on
	if b.lastSentAt == 0 {
		b.congestionWindow = subsetOverlap * float64(len(b.ready)) / float64(b.cfg.SidecarCount)
	}
}

// RequestArrived takes a request; the Balancer owes it one final answer from now on.
func (b *Balancer) RequestArrived(now time.Duration, q Request, out []Action) []Action {
	b.startEvent(now, out)
	if q.Class < 0 || q.Class >= len(b.cfg.Classes) || b.requests[q.ID] != nil {
		return b.actions
	}
	r := &request{Request: q, class: &b.cfg.Classes[q.Class], arrivedAt: now}
	b.requests[q.ID] = r
	r.deadline = now + q.Timeout - 2*b.cfg.ClockResolution // its timer must ring before its client gives up
	r.targetAt = now + r.class.TargetLatency + time.Duration(r.class.TargetWorkFactor*float64(q.ExpectedWork))
	if r.class.LateValueShare == 0 {
		r.deadline = min(r.deadline, r.targetAt)
	}
	need := startMargin * b.meanLatency(r)
	if c := &b.classStats[q.Class]; !b.probesOnArrival && c.samples >= minDeviationSamples {
		need += sharedStartMargin * c.meanDeviation
	}
	r.latestStart = min(r.targetAt, r.deadline) - seconds(need)
	b.countRequest(q.Class)
	b.hedgeTokens = min(b.hedgeTokens+hedgeBudget, maxBudgetTokens)
	b.retryTokens = min(b.retryTokens+retryBudget, maxBudgetTokens)
	b.drawTokens = min(b.drawTokens+drawBudget, maxBudgetTokens)
	b.probeTokens = min(b.probeTokens+probeTokensPerRequest, maxProbeTokens)
	for i, t := range b.cfg.Tenants { // each sidecar has an equal part of a quota
		quota := t.Quota / float64(b.cfg.SidecarCount)
		b.quotaTokens[i] = math.Min(b.quotaTokens[i]+quota*(now-b.quotaRefilledAt).Seconds(),
			math.Max(quota*quotaBurstSeconds, 1))
	}
	b.quotaRefilledAt = now
	r.overQuota = r.deadline > now && b.overQuota(q.Tenant)
	// over its quota it is worth little, and others wait
	if r.deadline <= now || r.overQuota && len(b.queue) > 0 {
		b.shedOrFail(r)
	} else {
		b.setRequestTimer(r, r.deadline)
		b.enqueue(r)
		b.dispatchQueue()
	}
	return b.actions
}

// overQuota tells whether a request is past its tenant's quota; calls of one let in are not counted again.
func (b *Balancer) overQuota(tenant int) bool {
	if b.cfg.Tier > 0 || tenant < 0 || tenant >= len(b.quotaTokens) || b.cfg.Tenants[tenant].Quota <= 0 {
		return false
	}
	if b.quotaTokens[tenant] < 1 {
		return true
	}
	b.quotaTokens[tenant]--
	return false
}

// ResponseStarted takes the start of an attempt's streamed answer: its client owns it now and no deadline
// counts.
func (b *Balancer) ResponseStarted(now time.Duration, id RequestID, n int, out []Action) []Action {
	b.startEvent(now, out)
	if r := b.requests[id]; r != nil && n >= 0 && n < len(r.attempts) &&
		r.attempts[n].inFlight && !r.finished {
		r.attempts[n].cancelDisabled = true
		b.setWaitsForCaller(&r.attempts[n], true)
		b.finish(r)
	}
	return b.actions
}

// BodyStateChanged takes what has become of the body of a request that was still arriving. Until it is whole
// there is no second copy: the first waits for the caller, as a copy would. Outcome.Elapsed counts from when
// it was.
func (b *Balancer) BodyStateChanged(now time.Duration, id RequestID, s BodyState, out []Action) []Action {
	b.startEvent(now, out)
	r := b.requests[id]
	if r == nil || r.finished {
		return b.actions
	}
	if s == BodyComplete {
		r.BodyArriving = false
		for i := range r.attempts {
			b.setWaitsForCaller(&r.attempts[i], false)
		}
		if r.inFlight == 1 && r.hedgeAt == 0 {
			b.scheduleHedge(r)
		}
	} else if r.bodyUnavailable = true; r.queued && r.inFlight == 0 && !b.mayAddAttempt(r) {
		b.shedOrFail(r)
	}
	return b.actions
}

// setWaitsForCaller notes whether an attempt that is out waits for its caller. One that does takes
// no core: counted as if
// it did, slow callers fill every endpoint's share and nobody else is served.
func (b *Balancer) setWaitsForCaller(a *attempt, waits bool) {
	if a.waitsForCaller == waits || !a.inFlight {
		return
	}
	n := 1
	if a.waitsForCaller = waits; !waits {
		n = -1
	}
	a.endpoint.waitingForCaller, b.inFlight = a.endpoint.waitingForCaller+n, b.inFlight-n
}

// RequestAbandoned says that a request has ended without the Balancer.
func (b *Balancer) RequestAbandoned(now time.Duration, id RequestID, out []Action) []Action {
	if b.startEvent(now, out); b.requests[id] != nil {
		b.finish(b.requests[id])
	}
	return b.actions
}

// TimerFired takes a timer that fell due.
func (b *Balancer) TimerFired(now time.Duration, t Timer, out []Action) []Action {
	b.startEvent(now, out)
	switch t.Kind {
	case timerRequest:
		if r := b.requests[RequestID(t.Ref)]; r != nil && !r.finished {
			b.requestTimerFired(r)
		}
	case timerSubscribe:
		if !b.subscribed {
			b.emit(Action{Kind: Subscribe})
		}
		b.subscribed = true
	}
	b.dispatchQueue()
	return b.actions
}

// ProbeEnded takes the result of a probe; load is nil without a report.
func (b *Balancer) ProbeEnded(
	now time.Duration, id EndpointID, res Result, load *Load, out []Action,
) []Action {
	b.startEvent(now, out)
	e := b.endpoints[id]
	if e == nil || !e.probing {
		return b.actions
	}
	e.probing = false
	b.pendingProbes = slices.DeleteFunc(b.pendingProbes, func(x *endpoint) bool { return x == e })
	b.closeIdleConnections(e)
	switch res {
	case OK:
		b.recordLoad(e, load, e.probedAt)
	case NotSent: // which says nothing of the endpoint
	default:
		b.recordFailure(e, 0)
	}
	b.deleteIfRemoved(e)
	if b.isIdle(e) {
		b.idleEndpoints = append(b.idleEndpoints, e)
	}
	b.dispatchQueue()
	return b.actions
}

// AttemptEnded takes the outcome of an attempt.
func (b *Balancer) AttemptEnded(now time.Duration, o Outcome, out []Action) []Action {
	b.startEvent(now, out)
	r := b.requests[o.Request]
	if r == nil || o.Attempt < 0 || o.Attempt >= len(r.attempts) || !r.attempts[o.Attempt].inFlight {
		return b.actions
	}
	a := &r.attempts[o.Attempt]
	b.setWaitsForCaller(a, false)
	a.inFlight, r.inFlight, b.inFlight = false, r.inFlight-1, b.inFlight-1
	b.recordOutcome(r, a, o)
	b.closeIdleConnections(a.endpoint)
	b.deleteIfRemoved(a.endpoint)
	switch {
	case o.RequestFinished, r.finished:
		b.finish(r)
	case r.inFlight > 0: // another copy is still out
	case b.admitRetry(r):
		b.enqueue(r)
	default:
		b.shedOrFail(r)
	}
	b.dispatchQueue()
	return b.actions
}

// admitRetry tells whether a request whose attempts have all failed may have another.
func (b *Balancer) admitRetry(r *request) bool {
	may := b.mayAddAttempt(r) && (r.firstRunEndpoint == nil ||
		r.class.Semantics != Unsafe && b.retryTokens >= 1 &&
			(r.class.MaxRetries == 0 || r.retries < r.class.MaxRetries))
	if may && r.firstRunEndpoint != nil {
		b.retryTokens--
		r.retries++
	}
	return may
}

// mayAddAttempt tells whether the limits let a request have a further attempt now.
func (b *Balancer) mayAddAttempt(r *request) bool {
	n, k := len(r.attempts), r.class
	return n < b.cfg.Limits.MaxAttempts && (n == 0 || !r.bodyUnavailable) &&
		(k.MaxAttempts == 0 || n < k.MaxAttempts) &&
		(n == 0 || k.RetryStartWindow == 0 || b.now < r.arrivedAt+k.RetryStartWindow)
}

func (b *Balancer) requestTimerFired(r *request) {
	switch {
	case b.now >= r.deadline:
		b.shedOrFail(r)
	case r.queued && r.inFlight == 0 && b.now >= r.latestStart:
		b.sendToBusyOrShed(r)
	case !r.queued && r.inFlight == 1 && r.hedgeAt > 0 && b.now >= r.hedgeAt:
		if r.hedgeAt = 0; b.hedgeTokens >= 1 && b.mayAddAttempt(r) {
			b.enqueue(r)
		}
	}
}

// sendToBusyOrShed draws an endpoint for a held request that would be late if held on, or ends it.
func (b *Balancer) sendToBusyOrShed(r *request) {
	if e := b.drawWeighted(r); e != nil && b.drawTokens >= 1 {
		b.drawTokens--
		b.send(r, e)
	} else {
		b.shedOrFail(r)
	}
}

// enqueue queues a request that wants an endpoint; serve finds one.
func (b *Balancer) enqueue(r *request) {
	if !r.queued { // a hedge may wait already when the first copy fails; held twice, it outlived its answer
		r.queued, r.queuedAt = true, b.now
		b.queue = append(b.queue, r)
	}
	if r.inFlight == 0 {
		// an idle endpoint, which it takes a probe to find, is worth a try however late
		if b.probesOnArrival {
			r.latestStart = max(r.latestStart, b.now+probeWait)
		}
		if len(r.attempts) > 0 && r.class.RetryStartWindow > 0 { // it ends as soon as no attempt may begin
			r.latestStart = min(r.latestStart, r.arrivedAt+r.class.RetryStartWindow)
		}
		if r.firstRunEndpoint != nil && r.class.Semantics == Keyed { // and once its key may be forgotten
			r.latestStart = min(r.latestStart, repeatDeadline(r.class, r.firstRunSentAt))
		}
		b.setRequestTimer(r, max(r.latestStart, b.now+1))
	}
}

func (b *Balancer) dequeue(r *request) {
	if r.queued {
		r.queued = false
		i := slices.Index(b.queue, r)
		b.queue = slices.Delete(b.queue, i, i+1)
	}
}

// countRequest counts a request of a class, forgetting old ones.
func (b *Balancer) countRequest(class int) {
	b.classStats[class].requests++
	for i := range b.classStats {
		b.classStats[i].requests, b.classStats[i].served =
			b.classStats[i].requests*classCountDecay, b.classStats[i].served*classCountDecay
	}
}

// classesByValue orders the classes by what a server's time on a request earns: its worth to the
// whole, and for
// the class served worst its worth to that part of the goal. It guards dear requests in any shortage, and
// a class from starving; where all have capacity it decides nothing.
func (b *Balancer) classesByValue() []int {
	goal, total, worst := b.cfg.Objective, 1e-9, 0
	share := func(c int) float64 { return b.classStats[c].served / math.Max(b.classStats[c].requests, 1) }
	for c := range b.classStats {
		total += b.classStats[c].requests * b.cfg.Classes[c].Value
		if share(c) < share(worst) {
			worst = c
		}
	}
	value := func(c int) float64 {
		v := (goal.Overall + goal.WorstWindow + goal.Nines) * b.cfg.Classes[c].Value / total
		if c == worst {
			v += goal.WorstClass / math.Max(b.classStats[c].requests, 1)
		}
		return v / b.classStats[c].mean
	}
	slices.SortFunc(b.classOrder, func(x, y int) int { return cmp.Or(cmp.Compare(value(y), value(x)), x-y) })
	return b.classOrder
}

// dispatchQueue sends held requests while there is an idle endpoint: by their class's value, then
// oldest first, as
// each has its turn then. Where the oldest has waited for long there is too little for all, and it is newest
// first: else all would be begun when they are nearly late.
func (b *Balancer) dispatchQueue() {
	if len(b.queue) == 0 {
		return
	}
	want := 0
search:
	for _, c := range b.classesByValue() {
		queue := b.orderQueue(c)
		for _, r := range queue {
			if r.inFlight > 0 && !b.mayAddAttempt(r) { // a copy that waits, and may no longer begin
				b.dequeue(r)
				continue
			} else if e := b.pick(r); e != nil {
				b.send(r, e)
				continue
			}
			want++
			b.allWereBusy = true
			if !b.probesOnArrival {
				break search
			}
		}
	}
	if want > 0 && b.probesOnArrival && len(b.ready) > 0 {
		b.sendProbes(want)
	} else if want > 0 && !b.probesOnArrival {
		b.awaitEjectionEnd()
	}
}

// orderQueue returns the held requests of a class in the order in which they are served.
func (b *Balancer) orderQueue(class int) []*request {
	b.classQueue = b.classQueue[:0]
	for _, r := range b.queue {
		if r.Request.Class == class {
			b.classQueue = append(b.classQueue, r)
		}
	}
	if len(b.classQueue) > 1 {
		if r := b.classQueue[0]; b.now-r.queuedAt >
			time.Duration(maxFIFOWaitShare*float64(r.latestStart-r.queuedAt)) {
			slices.Reverse(b.classQueue)
		}
	}
	return b.classQueue
}

// awaitEjectionEnd looks again as the next suspicion of an endpoint ends: where no probes come back, nothing
// else might happen until a held request is late.
func (b *Balancer) awaitEjectionEnd() {
	next := time.Duration(math.MaxInt64)
	for _, set := range [2][]*endpoint{b.local, b.remote} {
		for _, e := range set {
			if e.ejectedUntil > b.now {
				next = min(next, e.ejectedUntil)
			}
		}
	}
	if next < math.MaxInt64 && (b.dispatchTimerAt <= b.now || next < b.dispatchTimerAt) {
		b.dispatchTimerAt = next
		b.setTimer(timerDispatch, 0, next-b.now)
	}
}

// pick finds an endpoint with a free core, of the fastest type, or nil.
func (b *Balancer) pick(r *request) *endpoint {
	if b.probesOnArrival {
		return b.pickIdle(r)
	} else if b.oversubscribed && !b.windowHasRoom(r) {
		return nil
	}
	// Other zones when the own has no free core: traffic may have moved to one zone. Endpoints outside its
	// stretch only when all in it fail: otherwise own calls would tell nothing.
	sound := false
	for _, set := range [2][]*endpoint{b.local, b.remote} {
		if e := b.pickFree(r, set, b.subsetCapacity); e != nil {
			return e
		}
		sound = sound || slices.ContainsFunc(set, func(e *endpoint) bool { return b.now >= e.ejectedUntil })
	}
	if sound {
		return nil
	}
	return b.pickFree(r, b.ready, b.readyCapacity)
}

// windowHasRoom tells whether the congestion window has room for a call; below one call, calls are
// spaced out. It acts
// where so many sidecars share an endpoint that one call of each is too much, whatever jams it; AIMD: a call
// lost in silence cuts it, answers add to it while calls wait. Harm: it refuses if losses have other causes.
func (b *Balancer) windowHasRoom(r *request) bool {
	return float64(b.inFlight) < b.congestionWindow && (b.congestionWindow >= 1 ||
		(b.now-b.lastSentAt).Seconds()*b.congestionWindow >= b.meanLatency(r))
}

// pickIdle takes an endpoint that a fresh report shows idle. One that has just come is fresh, however long
// the probe took: where calls are quicker than probes, none would ever be.
func (b *Balancer) pickIdle(r *request) *endpoint {
	fresh := seconds(reportLifetimeShare * b.meanLatency(r))
	b.idleEndpoints = slices.DeleteFunc(b.idleEndpoints, func(e *endpoint) bool {
		return !b.isIdle(e) || b.now-e.loadRequestedAt > fresh && b.now > e.loadReceivedAt
	})
	b.rng.Shuffle(len(b.idleEndpoints), func(i, j int) {
		b.idleEndpoints[i], b.idleEndpoints[j] = b.idleEndpoints[j], b.idleEndpoints[i]
	})
	best, most := (*endpoint)(nil), 0.0 // ties go to the first
	for _, e := range b.idleEndpoints {
		mu := b.typeSpeed(e)
		if !b.hasConnection(e, b.now) {
			mu *= 1 - b.connectFailureShare
		}
		if mu > most && b.maySend(r, e) {
			best, most = e, mu
		}
	}
	return best
}

// sendProbes asks some endpoints for their load, for as many held requests as want one.
func (b *Balancer) sendProbes(want int) {
	// What sidecars without an idle endpoint may ask for together is bounded by the endpoints' number.
	slowest := slices.MaxFunc(b.classStats, func(x, y latencyStats) int {
		return cmp.Compare(x.mean, y.mean)
	})
	rate := probesPerMeanLatency * float64(len(b.ready)) / (float64(b.cfg.SidecarCount) * slowest.mean)
	b.probeTokens = min(b.probeTokens+rate*(b.now-b.probeTokensRefilledAt).Seconds(), maxProbeTokens)
	b.probeTokensRefilledAt = b.now
	first := b.queue[len(b.queue)-1].arrivedAt == b.now // the newest is last
	late := 0                                           // the oldest come first
	for late < len(b.pendingProbes) && b.now-b.pendingProbes[late].probedAt >= probeWait {
		late++
	}
	n := want - (len(b.pendingProbes) - late)
	for n = min(n, maxProbesPerRequest*want-len(b.pendingProbes)); n > 0 && b.probeTokens >= 1; n-- {
		e := b.sampleForProbe(first, seconds(reportLifetimeShare*slowest.mean))
		if e == nil {
			break
		}
		e.probing, e.probedAt = true, b.now
		b.pendingProbes = append(b.pendingProbes, e)
		b.probeTokens--
		b.emit(Action{Kind: Probe, Endpoint: e.ID})
	}
	wait := max(probeWait, seconds((1-b.probeTokens)/rate))
	if b.dispatchTimerAt <= b.now || b.dispatchTimerAt > b.now+wait {
		b.dispatchTimerAt = b.now + wait
		b.setTimer(timerDispatch, 0, wait)
	}
}

// isIdle tells whether an endpoint is known to be idle: as reported, and no own call since.
func (b *Balancer) isIdle(e *endpoint) bool {
	if !e.hasLoad || e.State != InService || e.reportedInFlight >= 0.5 {
		return false
	}
	return !slices.ContainsFunc(e.inFlight, func(sentAt time.Duration) bool {
		return sentAt >= e.loadRequestedAt
	})
}

// sampleForProbe draws an endpoint to probe, at first in its own zone, passing over suspects and,
// by ramp, cold ones.
// One that was just reported busy is believed to be so for as long as one found idle.
func (b *Balancer) sampleForProbe(first bool, fresh time.Duration) *endpoint {
	var spare *endpoint
	set := b.ready
	if first && len(b.local) > 0 {
		set = b.local
	}
	b.connectedEndpoints = slices.DeleteFunc(b.connectedEndpoints, func(e *endpoint) bool {
		return !b.hasConnection(e, b.now) || e.State != InService
	})
	for i := range maxSamples {
		e := set[b.rng.IntN(len(set))]
		if b.connectFailureShare > minConnectFailureShare && i < len(b.connectedEndpoints) &&
			b.rng.Float64() < b.connectFailureShare {
			e = b.connectedEndpoints[b.rng.IntN(len(b.connectedEndpoints))]
		}
		if e.probing || e.hasLoad && b.now-e.loadRequestedAt < fresh ||
			b.rng.Float64() > b.slowStartShare(e) {
			continue
		}
		if b.now < e.ejectedUntil {
			spare = e
			continue
		}
		return e
	}
	return spare
}

// pickFree finds the endpoint of a set whose free cores give the next call the most speed. One is free while
// its own calls out are fewer than its speed makes this sidecar's share. total is what its calls spread over.
func (b *Balancer) pickFree(r *request, set []*endpoint, total float64) *endpoint {
	var best *endpoint
	most := 0.0
	turn := b.rng.Int() >> 1
	for i := range min(len(set), maxSamples) {
		e := set[(turn+i)%len(set)]
		if b.now < e.ejectedUntil || !b.maySend(r, e) {
			continue
		}
		mu, out := b.speed(e), float64(len(e.inFlight))
		free := math.Max(b.concurrencyLimit*mu, 1)
		if r.overQuota {
			free *= overQuotaCoreShare
		}
		if out-float64(e.waitingForCaller) >= free || !b.slowStartAllows(e, total) {
			continue
		}
		if speed := mu / (out + 1); speed > most {
			best, most = e, speed
		}
	}
	return best
}

// slowStartAllows keeps this sidecar's sends to a cold endpoint to what the endpoint's part of its
// own rate is, by
// its size among all that the sidecar spreads its calls over. Its first call is due at a random moment of
// a first gap: sidecars told at once must not all call at once.
func (b *Balancer) slowStartAllows(e *endpoint, total float64) bool {
	ramp := b.slowStartShare(e)
	if ramp >= 1 {
		return true
	}
	gap := seconds(math.Min(total/(b.sendRate*b.capacity(e)*ramp), b.cfg.WarmupTime.Seconds()))
	if e.lastSentAt < e.StartedAt {
		e.lastSentAt = b.now - b.jitter(gap)
	}
	return b.now-e.lastSentAt >= gap
}

// drawWeighted draws a type by speed x share, then an endpoint in it uniformly: an endpoint by its type's
// speed, that is, from a sample where there are many.
func (b *Balancer) drawWeighted(r *request) *endpoint {
	set := b.ready
	if !b.probesOnArrival {
		set = b.local
	}
	var drawn, spare *endpoint
	total, turn := 0.0, b.rng.Int()>>1
	for i := range min(len(set), maxSamples) {
		e := set[(turn+i)%len(set)]
		mu := b.typeSpeed(e) * b.slowStartShare(e)
		switch {
		case !b.maySend(r, e):
		case b.now < e.ejectedUntil:
			spare = e
		default:
			if total += mu; b.rng.Float64()*total < mu {
				drawn = e
			}
		}
	}
	return cmp.Or(drawn, spare)
}

// typeSpeed is the speed of an endpoint's type: those within a factor of root two are one.
func (b *Balancer) typeSpeed(e *endpoint) float64 {
	return math.Exp2(math.Round(2*math.Log2(b.speed(e))) / 2)
}

// speed is an endpoint's speed: its size over what was learned of its slowness.
func (b *Balancer) speed(e *endpoint) float64 { return b.capacity(e) * math.Exp(-e.speedPenalty) }

// capacity is an endpoint's weight where that means size, else 1.
func (b *Balancer) capacity(e *endpoint) float64 {
	if b.cfg.WeightMeaning == WeightCapacity || b.cfg.WeightMeaning == WeightCapacityEstimate {
		return math.Max(e.Weight, 1e-3)
	}
	return 1
}

// slowStartShare is the share of its capacity that an endpoint surely has since its start.
func (b *Balancer) slowStartShare(e *endpoint) float64 {
	age := b.now - e.StartedAt
	if e.StartedAt == 0 || age >= b.cfg.WarmupTime {
		return 1
	}
	return b.cfg.ColdCapacityShare +
		(1-b.cfg.ColdCapacityShare)*math.Max(age.Seconds(), 0)/b.cfg.WarmupTime.Seconds()
}

// maySend tells whether the rules let a request go to an endpoint now.
func (b *Balancer) maySend(r *request, e *endpoint) bool {
	if e.State != InService || !b.mayAddAttempt(r) || r.inFlight > 0 && !b.mayHedge(r) {
		return false
	}
	for i := range r.attempts {
		a := &r.attempts[i]
		again := a.endpoint == e && (a.inFlight || b.hasUntriedEndpoint(r))
		if again || a.inFlight && !b.mayRepeatAt(r, a.endpoint, a.sentAt, e) {
			return false
		}
	}
	return r.firstRunEndpoint == nil || b.mayRepeatAt(r, r.firstRunEndpoint, r.firstRunSentAt, e)
}

// hasUntriedEndpoint tells whether a request may still go to a sound endpoint that it has not been
// sent to. In the
// group of a keyed one there may be no other.
func (b *Balancer) hasUntriedEndpoint(r *request) bool {
	return slices.ContainsFunc(b.ready, func(e *endpoint) bool {
		return b.now >= e.ejectedUntil &&
			(r.firstRunEndpoint == nil || b.mayRepeatAt(r, r.firstRunEndpoint, r.firstRunSentAt, e)) &&
			!slices.ContainsFunc(r.attempts, func(a attempt) bool { return a.endpoint == e })
	})
}

// mayHedge tells whether a request may have a second copy out.
func (b *Balancer) mayHedge(r *request) bool {
	return b.cfg.Limits.Hedging && !r.class.NoHedging && !r.BodyArriving
}

// mayRepeatAt tells whether a request that may run at first, sent then, may also go to e.
func (b *Balancer) mayRepeatAt(r *request, first *endpoint, sent time.Duration, e *endpoint) bool {
	if r.class.Semantics != Keyed {
		return r.class.Semantics == Safe
	}
	scope := r.class.Scope
	return b.now < repeatDeadline(r.class, sent) && (scope == ScopeAll ||
		scope == ScopeZone && first.Zone == e.Zone || scope == ScopeCell && first.Cell == e.Cell)
}

// repeatDeadline is the time before which a repeat of a keyed request must go out whose attempt
// was sent at a time.
func repeatDeadline(c *Class, sent time.Duration) time.Duration {
	return sent + c.RepeatWindow - min(maxSendDelay, c.RepeatWindow/2)
}

// sendDeadline is the time before which the next attempt of a request must go out, which may be
// later than it is
// decided on: a connection may have to come up. It is 0 where no other attempt may have run.
func (b *Balancer) sendDeadline(r *request) time.Duration {
	by := time.Duration(math.MaxInt64)
	if r.class.Semantics == Keyed && r.firstRunEndpoint != nil {
		by = repeatDeadline(r.class, r.firstRunSentAt)
	}
	for i := range r.attempts {
		if a := &r.attempts[i]; a.inFlight && r.class.Semantics == Keyed {
			by = min(by, repeatDeadline(r.class, a.sentAt))
		}
	}
	if by == math.MaxInt64 {
		return 0
	}
	return by
}

// send starts an attempt.
func (b *Balancer) send(r *request, e *endpoint) {
	b.dequeue(r)
	by := b.sendDeadline(r)
	r.attempts = append(r.attempts, attempt{
		endpoint: e, sentAt: b.now, inFlight: true, idleStep: b.prepareConnection(e),
	})
	r.inFlight++
	b.inFlight++
	e.inFlight = append(e.inFlight, b.now)
	b.setWaitsForCaller(&r.attempts[len(r.attempts)-1], r.BodyArriving)
	e.lastSentAt = b.now
	b.sendRate = b.sendRate*math.Exp(-(b.now-b.lastSentAt).Seconds()/sendRateSeconds) + 1/sendRateSeconds
	b.lastSentAt = b.now
	b.emit(Action{Kind: Send, Request: r.ID, Endpoint: e.ID, Deadline: r.deadline, StartDeadline: by})
	if r.inFlight > 1 {
		b.hedgeTokens--
	} else {
		b.scheduleHedge(r)
	}
}

// scheduleHedge sets when a request that has one attempt out is hedged, if it may be.
func (b *Balancer) scheduleHedge(r *request) {
	if b.probesOnArrival && b.mayHedge(r) && r.class.Semantics != Unsafe {
		c := &b.classStats[r.Class]
		r.hedgeAt = b.now + seconds(c.mean+hedgeDelayDeviations*c.meanDeviation)
		if r.hedgeAt < r.deadline {
			b.setRequestTimer(r, r.hedgeAt)
		}
	}
}

// hasConnection tells whether a connection to an endpoint was open at a time, as far as is known.
// While new ones
// fail or time out, linked endpoints are probed and taken first, by the share that fails: guards whatever
// makes connections slow, dear or scarce; it narrows the choice of idle endpoints for as long.
func (b *Balancer) hasConnection(e *endpoint, at time.Duration) bool {
	return e.lastResponseAt > 0 && at-e.lastResponseAt < b.cfg.Limits.KeepAlive
}

// prepareConnection tells in steps how long the connection to an endpoint has been idle. If calls
// are lost after such
// a time, though not on connections in use, it closes the idle ones first: something drops them unseen.
// Guards silent and loud resets; where all calls are lost it does nothing; a wrong guess costs a handshake.
func (b *Balancer) prepareConnection(e *endpoint) int {
	idle := b.now - e.lastResponseAt
	k := min(bits.Len64(uint64(idle/firstIdleStep)), len(b.idleLossShares)-1)
	if e.lastResponseAt == 0 || b.cfg.Limits.KeepAlive > 0 && idle > b.cfg.Limits.KeepAlive {
		return 0
	} else if b.losesIdleConnections(k) {
		b.emit(Action{Kind: CloseIdle, Endpoint: e.ID})
		return 0
	}
	return k
}

func (b *Balancer) losesIdleConnections(k int) bool {
	return k > 0 && slices.Max(b.idleLossShares[1:k+1]) > math.Max(maxIdleLoss, 2*b.idleLossShares[0])
}

// recordIdleLoss notes whether a call was lost on a connection that had been idle for k steps.
func (b *Balancer) recordIdleLoss(k int, lost float64) {
	for i := range b.idleLossShares {
		b.idleLossShares[i] *= math.Exp(-(b.now - b.idleLossDecayedAt).Seconds() / idleLossSeconds)
	}
	b.idleLossDecayedAt = b.now
	b.idleLossShares[k] += idleLossGain * (lost - b.idleLossShares[k])
}

// recordOutcome takes what an outcome tells of its endpoint and class.
func (b *Balancer) recordOutcome(r *request, a *attempt, o Outcome) {
	e := a.endpoint
	if fresh := !b.hasConnection(e, a.sentAt); o.Result == ConnectFailed {
		b.connectFailureShare += connectFailureGain * (1 - b.connectFailureShare)
	} else if fresh && o.Result == OK {
		b.connectFailureShare -= connectFailureGain * b.connectFailureShare
	}
	if i := slices.Index(e.inFlight, a.sentAt); i >= 0 {
		e.inFlight = slices.Delete(e.inFlight, i, i+1)
	}
	switch o.Result {
	case OK:
		if b.recordIdleLoss(a.idleStep, 0); !b.hasConnection(e, b.now) &&
			len(b.connectedEndpoints) < maxSamples {
			b.connectedEndpoints = append(b.connectedEndpoints, e)
		}
		if len(b.queue) > 0 {
			b.congestionWindow += windowIncrease / math.Max(b.congestionWindow, 1)
		}
		e.lastResponseAt = b.now
		e.consecutiveFailures, e.ejectedUntil = 0, 0
		took := max(o.Elapsed, 1).Seconds()
		c := &b.classStats[r.Class]
		gain := math.Max(latencyGain, 1/(c.samples+2))
		c.samples++
		if b.now <= r.targetAt {
			c.served++
		}
		c.meanDeviation += gain * (math.Abs(took-c.mean) - c.meanDeviation)
		c.mean += gain * (took - c.mean)
		x := math.Log(took / b.expectedWork(r))
		p := e.weightStats
		p.samples++
		p.mean += math.Max(slowdownGain, 1/p.samples) * (x - p.mean)
		e.speedPenalty += penaltyGain * (x - p.mean - e.speedPenalty)
		b.adjustConcurrency(x, math.Log(took/r.class.TargetLatency.Seconds()))
	case Rejected:
		b.recordFailure(e, 0)
		b.adjustConcurrency(b.baseLogSlowdown+rejectionSlowdown, b.logTargetRatio)
	case Error, ConnectFailed:
		b.recordFailure(e, 0)
	case Timeout, Reset:
		if b.recordIdleLoss(a.idleStep, 1); b.probesOnArrival || !b.losesIdleConnections(a.idleStep) {
			b.recordFailure(e, o.Elapsed)
			b.congestionWindow = math.Max(
				math.Min(b.congestionWindow, float64(b.inFlight+1))*windowDecrease, minWindow)
		}
	}
	if o.Result != Rejected && o.Result != ConnectFailed && o.Result != NotSent {
		if r.firstRunEndpoint == nil {
			r.firstRunEndpoint, r.firstRunSentAt = e, a.sentAt
		}
		r.firstRunSentAt = min(r.firstRunSentAt, a.sentAt) // the endpoints' memory is of whichever ran first
	}
	if b.recordLoad(e, o.Load, b.now); b.isIdle(e) {
		b.idleEndpoints = append(b.idleEndpoints, e)
	}
}

// adjustConcurrency moves the share of free cores by how the pace of calls compares with the best: held
// requests crowd an endpoint long before it refuses, and a crowded one does less.
func (b *Balancer) adjustConcurrency(x, goal float64) {
	b.slowdownSamples++
	b.samplesSinceAdjust++
	gain := math.Max(slowdownGain, 1/float64(b.slowdownSamples))
	b.logSlowdown += gain * (x - b.logSlowdown)
	b.logTargetRatio += gain * (goal - b.logTargetRatio)
	if b.slowdownSamples < minSlowdownSamples {
		b.baseLogSlowdown = b.logSlowdown
		return
	}
	b.baseLogSlowdown = math.Min(b.baseLogSlowdown+baseSlowdownDrift, b.logSlowdown)
	if b.now < b.nextAdjustAt || b.samplesSinceAdjust < minSlowdownSamples {
		return
	}
	if b.logSlowdown > b.baseLogSlowdown+congestionThreshold || b.logTargetRatio > math.Log(maxTargetShare) {
		// Less than one call would change nothing, and be slow to undo.
		b.concurrencyLimit = max(b.concurrencyLimit*concurrencyDecrease, 1/b.maxSpeed,
			minTotalConcurrency/float64(b.cfg.SidecarCount))
	} else if b.allWereBusy {
		b.concurrencyLimit += concurrencyIncrease
	}
	b.nextAdjustAt, b.samplesSinceAdjust, b.allWereBusy = b.now+minAdjustInterval, 0, false
}

// recordFailure notes a failure: a fast failer must not look idle and fast. A call lost slowly
// counts for its time,
// as the next would be lost as slowly, and a jammed server recovers only if it is left alone.
func (b *Balancer) recordFailure(e *endpoint, took time.Duration) {
	e.speedPenalty = math.Min(e.speedPenalty+failurePenalty, maxPenalty)
	wait := min(max(baseEjectionTime, took)<<min(e.consecutiveFailures, 6), maxEjectionTime)
	e.consecutiveFailures++
	e.ejectedUntil = b.now + wait/2 + b.jitter(wait)
	e.hasLoad = false
}

// recordLoad takes a load report that was asked for at the time asked.
func (b *Balancer) recordLoad(e *endpoint, load *Load, asked time.Duration) {
	if load != nil && load.InFlight >= 0 {
		e.reportedInFlight, e.loadRequestedAt, e.loadReceivedAt, e.hasLoad = load.InFlight, asked, b.now, true
	}
}

// meanLatency is the usual time of a call of its class, in seconds.
func (b *Balancer) meanLatency(r *request) float64 { return b.classStats[r.Request.Class].mean }

// expectedWork is what a request is expected to take of a server in seconds: its hint, or else by its goal.
func (b *Balancer) expectedWork(r *request) float64 {
	if r.ExpectedWork > 0 {
		return r.ExpectedWork.Seconds()
	}
	return r.class.TargetLatency.Seconds() / 4
}

// shedOrFail gives the final answer of a request that was not served.
func (b *Balancer) shedOrFail(r *request) {
	harmless := r.class.Semantics == Safe || r.class.Semantics == Keyed && r.class.Scope == ScopeAll
	kind := Fail
	if harmless || r.firstRunEndpoint == nil && r.inFlight == 0 {
		kind = Shed
	}
	a := Action{Kind: kind, Request: r.ID}
	if kind == Shed {
		a.Delay = b.retryAfter(r)
	}
	b.emit(a)
	b.finish(r)
}

// retryAfter tells the client of a refused request when to come back: soon if a call can still be in time for
// it then, else as late as it heeds. A retry that comes too late takes an endpoint from one that does not.
func (b *Balancer) retryAfter(r *request) time.Duration {
	if left := r.targetAt - b.now - seconds(b.meanLatency(r)); left > 0 {
		return min(left/2, b.cfg.Limits.MaxRetryAfter)
	}
	return b.cfg.Limits.MaxRetryAfter
}

// finish ends a request and withdraws its attempts; it is kept until they have ended.
func (b *Balancer) finish(r *request) {
	r.finished = true
	b.dequeue(r)
	for i := range r.attempts {
		if a := &r.attempts[i]; a.inFlight && !a.cancelDisabled && b.cfg.Limits.Cancel {
			a.cancelDisabled = true
			b.emit(Action{Kind: Cancel, Request: r.ID, Attempt: i})
		}
	}
	if r.inFlight == 0 {
		delete(b.requests, r.ID)
	}
}

func (b *Balancer) startEvent(now time.Duration, out []Action) { b.now, b.actions = now, out }

func (b *Balancer) emit(a Action) { b.actions = append(b.actions, a) }

func (b *Balancer) setRequestTimer(r *request, at time.Duration) {
	b.setTimer(timerRequest, uint64(r.ID), at-b.now)
}

func (b *Balancer) setTimer(kind uint8, ref uint64, d time.Duration) {
	b.emit(Action{Kind: SetTimer, Timer: Timer{kind, ref}, Delay: max(d, 1)})
}

func (b *Balancer) jitter(d time.Duration) time.Duration {
	return time.Duration(b.rng.Float64() * float64(d))
}
