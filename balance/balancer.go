package balance

// This file makes all decisions; the interface (settings, events, actions) is in balance.go. The mechanism
// is SA-JIQ (speed-aware join-idle-queue): a request goes to an endpoint known to be idle, of the fastest
// speed type that has one. With none idle, a type is drawn with a probability proportional to its speed times
// its share of the endpoints, and then an endpoint of that type uniformly.

import (
	"cmp"
	"math"
	"math/bits"
	"math/rand/v2"
	"slices"
	"time"
)

const ( // search for an idle endpoint by probes
	maxProbeCost = 0.004                // highest cost of a probe, in requests, for probes at each arrival
	probeWait    = 8 * time.Millisecond // a probe without a result after this is overdue: another is sent

	// A queued request has one probe in flight and, once that is overdue, another, up to maxProbesPerRequest:
	// a round trip is short compared with a request, and an extra probe for each request costs more than
	// waiting for the last one. Each arrival adds probeTokensPerRequest, up to maxProbeTokens.
	maxProbesPerRequest, probeTokensPerRequest, maxProbeTokens = 4, 4, 24

	// probesPerMeanLatency is how often all sidecars together may probe each endpoint in the mean latency of
	// the slowest class, in addition to the tokens that arrivals add.
	probesPerMeanLatency = 10.0

	// reportLifetimeShare is the share of a mean latency for which a load report is valid: few endpoints
	// become idle or busy in that time.
	reportLifetimeShare = 0.05

	maxSamples = 24   // endpoints examined per choice, so that its cost does not grow with their number
	drawBudget = 0.02 // draws among busy endpoints per request: in overload such requests would be late
)

const ( // estimate of free cores from the sidecar's own attempts, without probes
	// subsetOverlap is how many sidecars' subsets contain each endpoint: a sidecar's own attempts say little
	// about an endpoint that more sidecars use. It is also the least number of endpoints in a subset, so that
	// what one endpoint loses is spread over several others.
	subsetOverlap = 5

	slowdownGain = 0.01 // weight of an attempt in the mean slowdown: about 100 tell congestion from chance

	// The concurrency limit is adjusted after minAdjustInterval and minSlowdownSamples attempts at least.
	minAdjustInterval, minSlowdownSamples = 300 * time.Millisecond, 30

	congestionThreshold = 0.25 // a mean log slowdown that is this much over its best shows a lack of cores
	maxTargetShare      = 0.25 // the limit is also cut above this mean share of the target latency

	// The concurrency limit is decreased by a factor and increased by a term, as this makes the limits of all
	// sidecars alike.
	concurrencyDecrease, concurrencyIncrease = 0.9, 0.03

	// minTotalConcurrency is the least sum of all sidecars' concurrency limits: so few attempts crowd no
	// endpoint, and cutting further starves the endpoints without making an attempt faster. That happened
	// where the first attempts were fast by chance.
	minTotalConcurrency = 3.0

	rejectionSlowdown = 1.5    // a rejected attempt counts as this much over the best log slowdown
	baseSlowdownDrift = 0.0001 // rise of the best log slowdown per attempt: forgets a run of lucky ones

	// A lost attempt multiplies the congestion window by windowDecrease, down to minWindow; the responses to
	// a full window add windowIncrease.
	windowDecrease, windowIncrease, minWindow = 0.5, 0.1, 0.05

	sendRateSeconds = 2.0 // averaging time of the send rate (not of arrivals: overload refuses most)
)

const ( // admission
	quotaBurstSeconds  = 1.0 // a tenant can save up its quota of this many seconds
	overQuotaCoreShare = 0.5 // share of the free cores that requests over their tenant's quota may use

	// The queue is served oldest first until the oldest request has waited for maxFIFOWaitShare of the time
	// from its queueing to its latest start, and newest first after that.
	maxFIFOWaitShare = 0.03

	classCountDecay = 0.999 // factor of the counts by class per arrival: they cover about 1000 requests
)

const ( // health and further attempts
	// baseEjectionTime is the least time of an endpoint's ejection after a failure, before jitter. It doubles
	// with each failure in a row.
	baseEjectionTime, maxEjectionTime = 300 * time.Millisecond, 10 * time.Second

	penaltyGain = 0.1 // weight of an attempt in its endpoint's speed penalty

	// A failed attempt adds failurePenalty to the speed penalty. maxPenalty leaves a twentieth of the speed.
	failurePenalty, maxPenalty = 0.35, 3.0

	latencyGain = 0.05 // weight of an attempt in the mean latency of its class

	// startMargin is how many mean latencies before its target time or deadline a request must start: most of
	// those that started later were late, and their work was lost.
	startMargin = 1.4

	// sharedStartMargin is how many mean deviations earlier it must start where other sidecars may use its
	// endpoint, as its latency varies with their load. At an idle endpoint it needs no such margin and would
	// be given up for nothing. A class's deviation is known after minDeviationSamples attempts.
	sharedStartMargin, minDeviationSamples = 3.0, 10

	hedgeDelayDeviations = 3.0 // an attempt is hedged after the mean latency and this many mean deviations

	// Shares of requests that are hedged, or that are retried though work may have been lost.
	hedgeBudget, retryBudget = 0.1, 0.2

	maxBudgetTokens = 10 // requests that a budget can save up

	// connectFailureGain is the weight of a new connection in the share of those that fail. That share has an
	// effect only above minConnectFailureShare.
	connectFailureGain, minConnectFailureShare = 0.3, 0.01

	// firstIdleStep is the first bound between ranges of idle times; each further bound is twice the last.
	// idleLossGain is an attempt's weight in the share that is lost after such an idle time, idleLossSeconds
	// the time constant with which that share is forgotten, maxIdleLoss the share that is tolerated.
	firstIdleStep, idleLossGain, idleLossSeconds, maxIdleLoss = 100 * time.Millisecond, 0.3, 20.0, 0.1
)

// maxSendDelay is the longest delay of a sidecar between reading its clock and writing to a connection.
const maxSendDelay = 150 * time.Millisecond

// The kinds of timer: check a request (Ref is its ID), ask discovery for the list, dispatch queued requests.
const timerRequest, timerSubscribe, timerDispatch = 1, 2, 3

// endpoint is the state of an endpoint as seen by this sidecar.
type endpoint struct {
	Endpoint
	ringPosition        uint64
	isReady             bool          // it is in Balancer.ready
	weightStats         *latencyStats // log slowdown of all endpoints with its listed weight
	reportedInFlight    float64       // requests in flight in its last load report
	loadRequestedAt     time.Duration // when that report was requested
	loadReceivedAt      time.Duration
	hasLoad             bool            // the report is valid; a failure or restart invalidates it
	inFlight            []time.Duration // send times of this sidecar's attempts in flight
	waitingForCaller    int             // how many of those wait for their caller, not for the endpoint
	lastSentAt          time.Duration
	lastResponseAt      time.Duration // last OK response, thus the last known use of a connection; 0 is none
	speedPenalty        float64       // log of its attempts' latency over the usual one for its weight
	consecutiveFailures int
	ejectedUntil        time.Duration
	probing             bool // a probe is in flight
	probedAt            time.Duration
}

// attempt is one attempt of a request. Actions number the attempts by their index in request.attempts.
type attempt struct {
	endpoint       *endpoint
	sentAt         time.Duration
	inFlight       bool
	cancelDisabled bool // it was canceled already, or must not be
	idleStep       int  // range of the idle time of its connection, see firstIdleStep
	waitsForCaller bool // its caller has yet to send the rest of the body or to read the response
}

// request is the state of a request until its last attempt has ended.
type request struct {
	Request
	class            *Class
	arrivedAt        time.Duration
	targetAt         time.Duration // a response by then earns the full value
	deadline         time.Duration // a response after it earns nothing
	latestStart      time.Duration // an attempt that starts later would be late
	attempts         []attempt
	inFlight         int           // attempts in flight
	retries          int           // attempts after one that may have run, other than hedges
	firstRunEndpoint *endpoint     // endpoint of the first attempt that may have run; nil without one
	firstRunSentAt   time.Duration // earliest send time of the attempts that may have run
	finished         bool          // it has its final response
	overQuota        bool          // it is over its tenant's quota
	queued           bool          // it waits in Balancer.queue for an endpoint
	queuedAt         time.Duration
	bodyUnavailable  bool          // no further attempt can be sent
	hedgeAt          time.Duration // 0 is no hedge
}

// latencyStats holds moving averages over attempts: of the latency of a class in seconds, or of the log
// slowdown of all endpoints of one weight.
type latencyStats struct {
	mean, meanDeviation, samples float64
	requests, served             float64 // recent requests, and those of them that were served in time
}

// Balancer makes the decisions for one sidecar. It is not safe for concurrent use.
type Balancer struct {
	cfg             Config
	rng             *rand.Rand
	now             time.Duration // time of the current event
	actions         []Action      // actions of the current event
	endpoints       map[EndpointID]*endpoint
	statsByWeight   map[int]*latencyStats // by logarithm of the listed weight, see updateEndpoint
	ready           []*endpoint           // in service, in list order
	local, remote   []*endpoint           // endpoints to send to, in its own zone and in others
	requests        map[RequestID]*request
	queue           []*request // requests that wait for an endpoint, newest last
	classQueue      []*request // scratch space of orderQueue
	classStats      []latencyStats
	classOrder      []int     // classes, most valuable first
	quotaTokens     []float64 // by tenant, in requests
	quotaRefilledAt time.Duration

	hedgeTokens, retryTokens, drawTokens float64 // budgets, in requests

	probesOnArrival       bool        // each arrival sends probes, which find idle endpoints
	pendingProbes         []*endpoint // endpoints whose probes are in flight, oldest first
	probeTokens           float64     // probes that may be sent
	probeTokensRefilledAt time.Duration
	idleEndpoints         []*endpoint   // endpoints recently found idle
	dispatchTimerAt       time.Duration // when the last set timerDispatch is due

	concurrencyLimit float64 // own attempts that an endpoint has free cores for, per unit of its speed
	logSlowdown      float64 // moving average of the log of latency over expected work
	baseLogSlowdown  float64 // the lowest logSlowdown, drifting up
	logTargetRatio   float64 // moving average of the log of latency over target latency

	slowdownSamples, samplesSinceAdjust int // attempts in all, and since the limit was last adjusted

	nextAdjustAt time.Duration // earliest time of the next adjustment
	allWereBusy  bool          // a request found no free endpoint since the limit was last adjusted
	sendRate     float64       // own attempts per second
	lastSentAt   time.Duration

	subsetCapacity, readyCapacity float64 // total capacity of local and remote, and of ready

	maxSpeed float64 // highest speed of an endpoint in local and remote

	inFlight         int     // own attempts in flight that don't wait for their callers
	congestionWindow float64 // own attempts that may be in flight

	idleLossShares    [8]float64 // share of attempts timed out or reset, by idle time of their connection
	idleLossDecayedAt time.Duration

	oversubscribed      bool          // too many sidecars share an endpoint to tell its load by own attempts
	connectFailureShare float64       // share of recent new connections that failed
	connectedEndpoints  []*endpoint   // endpoints with an open connection, at most maxSamples
	subscribed          bool          // discovery has been asked
	subscribedAt        time.Duration // when it was asked last
	failedSubscribes    int           // discovery requests that failed in a row
}

// New returns a Balancer, or an error that names the invalid setting. Its random choices depend on the seed.
func New(cfg Config, seed uint64) (*Balancer, error) {
	if err := cfg.check(); err != nil {
		return nil, err
	}
	cfg.Classes = slices.Clone(cfg.Classes) // SetClassLimits changes them
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
		// Few sidecars together start with as many attempts at each endpoint as many sidecars do.
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

// SetClassLimits replaces the limits of a class by MaxAttempts, MaxRetries, NoHedging and RetryStartWindow of
// limits. They apply at once: a queued request that may have no further attempt gets its final response.
// Attempts in flight continue.
func (b *Balancer) SetClassLimits(now time.Duration, class int, limits Class, dst []Action) []Action {
	b.startEvent(now, dst)
	if class < 0 || class >= len(b.cfg.Classes) {
		return b.actions
	}
	c := &b.cfg.Classes[class]
	c.MaxAttempts, c.MaxRetries, c.NoHedging, c.RetryStartWindow =
		limits.MaxAttempts, limits.MaxRetries, limits.NoHedging, limits.RetryStartWindow
	for _, r := range slices.Clone(b.queue) {
		if r.inFlight == 0 && !b.mayAddAttempt(r) {
			b.shedOrFail(r)
		}
	}
	return b.actions
}

// EndpointsUpdated handles a list from discovery.
func (b *Balancer) EndpointsUpdated(
	now time.Duration, kind ListKind, list []Endpoint, dst []Action,
) []Action {
	b.startEvent(now, dst)
	switch kind {
	case ListUnavailable, ListSilent:
		b.scheduleSubscribeAfter(kind)
		return b.actions
	case ListLastKnown:
		if b.cfg.MustSubscribe {
			b.scheduleFirstSubscribe()
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
			b.closeIdleConnections(e) // a full list shows a removal only by the absence of the entry
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

// deleteIfRemoved deletes a removed endpoint once no attempt or probe to it is in flight: over a long day new
// ones keep coming, and the map would grow.
func (b *Balancer) deleteIfRemoved(e *endpoint) {
	if e.State == Removed && len(e.inFlight) == 0 && !e.probing && b.endpoints[e.ID] == e {
		delete(b.endpoints, e.ID)
	}
}

// updateEndpoint applies one entry of a list.
func (b *Balancer) updateEndpoint(entry *Endpoint) {
	e := b.endpoints[entry.ID]
	if e == nil {
		e = &endpoint{ringPosition: mix64(uint64(entry.ID))}
		b.endpoints[entry.ID] = e
	} else if entry.StartedAt != e.StartedAt { // the state of the old process does not apply to the new one
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

// closeIdleConnections closes the idle connections to an endpoint that has left service. It is called at each
// event that may have made one idle: the list update, and the end of an attempt or a probe. A draining
// endpoint waits until its connections are closed.
func (b *Balancer) closeIdleConnections(e *endpoint) {
	if b.cfg.MaxDrainIdleTime > 0 && e.State != InService && (e.lastSentAt > 0 || e.probedAt > 0) {
		b.emit(Action{Kind: CloseIdle, Endpoint: e.ID})
	}
}

// updateSubset sets local and remote. Without probesOnArrival they are an arc of the ring of endpoints that
// starts at this sidecar's position, so that all sidecars together cover each endpoint alike.
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
	_, offset := math.Modf(float64(b.cfg.SidecarIndex) * math.Phi)
	b.subsetCapacity, b.maxSpeed = 0, 1e-3
	for _, set := range [2]*[]*endpoint{&b.local, &b.remote} {
		slices.SortFunc(*set, func(x, y *endpoint) int { return cmp.Compare(x.ringPosition, y.ringPosition) })
		total := 0.0 // arcs are measured in capacity, so that all sidecars have the same
		for _, e := range *set {
			total += b.capacity(e)
		}
		start, length := offset*total, total*subsetOverlap/float64(b.cfg.SidecarCount)
		ring, n, end := append(*set, *set...), len(*set), 0.0
		*set = (*set)[:0]
		for _, e := range ring {
			middle := end + b.capacity(e)/2
			end += b.capacity(e)
			if middle >= start && len(*set) < n && (middle < start+length || len(*set) < subsetOverlap) {
				*set = append(*set, e)
			}
		}
		for _, e := range *set {
			b.subsetCapacity += b.capacity(e)
			b.maxSpeed = math.Max(b.maxSpeed, b.speed(e))
		}
	}
	b.oversubscribed = b.cfg.SidecarCount*(len(b.local)+len(b.remote)) > 2*subsetOverlap*len(b.ready)
	if b.lastSentAt == 0 { // before the first attempt: five per endpoint by all sidecars, then adapted
		b.congestionWindow = subsetOverlap * float64(len(b.ready)) / float64(b.cfg.SidecarCount)
	}
}

// RequestArrived handles a new request. From now on the Balancer must give it one final response, unless an
// Outcome or RequestAbandoned reports that it has ended.
func (b *Balancer) RequestArrived(now time.Duration, req Request, dst []Action) []Action {
	b.startEvent(now, dst)
	if req.Class < 0 || req.Class >= len(b.cfg.Classes) || b.requests[req.ID] != nil {
		return b.actions
	}
	r := &request{Request: req, class: &b.cfg.Classes[req.Class], arrivedAt: now}
	b.requests[req.ID] = r
	r.deadline = now + req.Timeout - 2*b.cfg.ClockResolution // its timer must fire before its caller gives up
	r.targetAt = now + r.class.TargetLatency +
		time.Duration(r.class.TargetWorkFactor*float64(req.ExpectedWork))
	if r.class.LateValueShare == 0 {
		r.deadline = min(r.deadline, r.targetAt)
	}
	margin := startMargin * b.meanLatency(r)
	if c := &b.classStats[req.Class]; !b.probesOnArrival && c.samples >= minDeviationSamples {
		margin += sharedStartMargin * c.meanDeviation
	}
	r.latestStart = min(r.targetAt, r.deadline) - seconds(margin)
	b.countRequest(req.Class)
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
	r.overQuota = r.deadline > now && b.overQuota(req.Tenant)
	if r.deadline <= now || r.overQuota && len(b.queue) > 0 { // of little value while others wait
		b.shedOrFail(r)
	} else {
		b.setRequestTimer(r, r.deadline)
		b.enqueue(r)
		b.dispatchQueue()
	}
	return b.actions
}

// overQuota reports whether a new request is over its tenant's quota, and counts it against the quota if not.
// The quota applies at tier 0 only: requests that were admitted there are not counted again in further tiers.
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

// ResponseStarted handles the start of an attempt's streamed response. From now on the caller decides when
// the request ends, and no deadline applies.
func (b *Balancer) ResponseStarted(now time.Duration, id RequestID, index int, dst []Action) []Action {
	b.startEvent(now, dst)
	if r := b.requests[id]; r != nil && index >= 0 && index < len(r.attempts) &&
		r.attempts[index].inFlight && !r.finished {
		r.attempts[index].cancelDisabled = true
		b.setWaitsForCaller(&r.attempts[index], true)
		b.finish(r)
	}
	return b.actions
}

// BodyStateChanged handles a change of the body of a request that was still arriving. Until the body is
// complete there is no hedge: the first attempt waits for the caller, and so would a second. Outcome.Elapsed
// counts from the time when it was complete.
func (b *Balancer) BodyStateChanged(now time.Duration, id RequestID, s BodyState, dst []Action) []Action {
	b.startEvent(now, dst)
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

// setWaitsForCaller sets whether an attempt in flight waits for its caller. Such an attempt occupies no core:
// if it were counted, slow callers would use up the concurrency limit of every endpoint and block all others.
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

// RequestAbandoned handles the end of a request that the Balancer did not decide.
func (b *Balancer) RequestAbandoned(now time.Duration, id RequestID, dst []Action) []Action {
	if b.startEvent(now, dst); b.requests[id] != nil {
		b.finish(b.requests[id])
	}
	return b.actions
}

// TimerFired handles a timer that is due.
func (b *Balancer) TimerFired(now time.Duration, t Timer, dst []Action) []Action {
	b.startEvent(now, dst)
	switch t.Kind {
	case timerRequest:
		if r := b.requests[RequestID(t.Ref)]; r != nil && !r.finished {
			b.requestTimerFired(r)
		}
	case timerSubscribe:
		if !b.subscribed {
			b.emit(Action{Kind: Subscribe})
		}
		b.subscribed, b.subscribedAt = true, b.now
	}
	b.dispatchQueue()
	return b.actions
}

// TimerNeeded reports whether a timer that is set still has something to do when it fires. One that has not
// may be dropped: the timers of a request stay set until they are due, long after its final response.
func (b *Balancer) TimerNeeded(t Timer) bool {
	if t.Kind != timerRequest {
		return true
	}
	r := b.requests[RequestID(t.Ref)]
	return r != nil && !r.finished
}

// ProbeEnded handles the result of a probe; load is nil without a report.
func (b *Balancer) ProbeEnded(
	now time.Duration, id EndpointID, res Result, load *Load, dst []Action,
) []Action {
	b.startEvent(now, dst)
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
	case NotSent: // this says nothing about the endpoint
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

// AttemptEnded handles the outcome of an attempt.
func (b *Balancer) AttemptEnded(now time.Duration, o Outcome, dst []Action) []Action {
	b.startEvent(now, dst)
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
	case r.inFlight > 0: // wait for the other attempt
	case b.admitRetry(r):
		b.enqueue(r)
	default:
		b.shedOrFail(r)
	}
	b.dispatchQueue()
	return b.actions
}

// admitRetry reports whether a request whose attempts have all failed may have another, and counts that one
// against the retry budget if an earlier attempt may have run.
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

// mayAddAttempt reports whether the limits allow a further attempt of a request now.
func (b *Balancer) mayAddAttempt(r *request) bool {
	n, c := len(r.attempts), r.class
	return n < b.cfg.Limits.MaxAttempts && (n == 0 || !r.bodyUnavailable) &&
		(c.MaxAttempts == 0 || n < c.MaxAttempts) &&
		(n == 0 || c.RetryStartWindow == 0 || b.now < r.arrivedAt+c.RetryStartWindow)
}

// requestTimerFired checks what is due for a request: its deadline, its latest start or its hedge.
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

// sendToBusyOrShed sends a queued request that would be late if it waited longer to a drawn endpoint, which
// may be busy, or ends it.
func (b *Balancer) sendToBusyOrShed(r *request) {
	if e := b.drawWeighted(r); e != nil && b.drawTokens >= 1 {
		b.drawTokens--
		b.send(r, e)
	} else {
		b.shedOrFail(r)
	}
}

// enqueue queues a request that needs an endpoint; dispatchQueue finds one.
func (b *Balancer) enqueue(r *request) {
	// A hedge may be queued already when the first attempt fails. Queued twice, the request would stay in the
	// queue after its final response and be sent again.
	if !r.queued {
		r.queued, r.queuedAt = true, b.now
		b.queue = append(b.queue, r)
	}
	if r.inFlight == 0 {
		if b.probesOnArrival { // a probe may find an idle endpoint even for a late request
			r.latestStart = max(r.latestStart, b.now+probeWait)
		}
		if len(r.attempts) > 0 && r.class.RetryStartWindow > 0 { // it ends when no attempt may start anymore
			r.latestStart = min(r.latestStart, r.arrivedAt+r.class.RetryStartWindow)
		}
		if r.firstRunEndpoint != nil && r.class.Semantics == Keyed { // and when its key may be forgotten
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

// countRequest counts a request of a class and decays the counts of all classes.
func (b *Balancer) countRequest(class int) {
	b.classStats[class].requests++
	for i := range b.classStats {
		b.classStats[i].requests, b.classStats[i].served =
			b.classStats[i].requests*classCountDecay, b.classStats[i].served*classCountDecay
	}
}

// classesByValue orders the classes by what an endpoint earns per second of work on a request: its value for
// the whole result and, for the class that is served worst, its value for that part of the objective. In any
// shortage this protects valuable requests and keeps a class from starving; without one it has no effect.
func (b *Balancer) classesByValue() []int {
	objective, total, worst := b.cfg.Objective, 1e-9, 0
	served := func(c int) float64 { return b.classStats[c].served / math.Max(b.classStats[c].requests, 1) }
	for c := range b.classStats {
		total += b.classStats[c].requests * b.cfg.Classes[c].Value
		if served(c) < served(worst) {
			worst = c
		}
	}
	value := func(c int) float64 {
		v := (objective.Overall + objective.WorstWindow + objective.Nines) * b.cfg.Classes[c].Value / total
		if c == worst {
			v += objective.WorstClass / math.Max(b.classStats[c].requests, 1)
		}
		return v / b.classStats[c].mean
	}
	slices.SortFunc(b.classOrder, func(x, y int) int { return cmp.Or(cmp.Compare(value(y), value(x)), x-y) })
	return b.classOrder
}

// dispatchQueue sends queued requests while endpoints are free: by the value of their class, then oldest
// first, so that each gets its turn. Once the oldest has waited for long, there is too little capacity for
// all, and the newest go first: otherwise all would start when they are nearly late.
func (b *Balancer) dispatchQueue() {
	if len(b.queue) == 0 {
		return
	}
	waiting := 0
search:
	for _, c := range b.classesByValue() {
		queue := b.orderQueue(c)
		for _, r := range queue {
			if r.inFlight > 0 && !b.mayAddAttempt(r) { // a hedge that may not start anymore
				b.dequeue(r)
				continue
			} else if e := b.pick(r); e != nil {
				b.send(r, e)
				continue
			}
			waiting++
			b.allWereBusy = true
			if !b.probesOnArrival {
				break search
			}
		}
	}
	if waiting > 0 && b.probesOnArrival && len(b.ready) > 0 {
		b.sendProbes(waiting)
	} else if waiting > 0 && !b.probesOnArrival {
		b.awaitEjectionEnd()
	}
}

// orderQueue returns the queued requests of a class in their order of dispatch: oldest first, or newest first
// once the oldest has waited for too long (adaptive LIFO).
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

// awaitEjectionEnd sets the dispatch timer to the end of the next ejection: without probe results there might
// be no other event until a queued request is late.
func (b *Balancer) awaitEjectionEnd() {
	end := time.Duration(math.MaxInt64)
	for _, set := range [2][]*endpoint{b.local, b.remote} {
		for _, e := range set {
			if e.ejectedUntil > b.now {
				end = min(end, e.ejectedUntil)
			}
		}
	}
	if end < math.MaxInt64 && (b.dispatchTimerAt <= b.now || end < b.dispatchTimerAt) {
		b.dispatchTimerAt = end
		b.setTimer(timerDispatch, 0, end-b.now)
	}
}

// pick returns an endpoint with a free core, of the fastest type, or nil.
func (b *Balancer) pick(r *request) *endpoint {
	if b.probesOnArrival {
		return b.pickIdle(r)
	} else if b.oversubscribed && !b.windowHasRoom(r) {
		return nil
	}
	// Other zones are used when the own one has no free core, as traffic may have moved to one zone.
	// Endpoints outside the subset are used only when all in it are ejected: otherwise own attempts would say
	// nothing about an endpoint's load.
	anyHealthy := false
	for _, set := range [2][]*endpoint{b.local, b.remote} {
		if e := b.pickFree(r, set, b.subsetCapacity); e != nil {
			return e
		}
		anyHealthy = anyHealthy ||
			slices.ContainsFunc(set, func(e *endpoint) bool { return b.now >= e.ejectedUntil })
	}
	if anyHealthy {
		return nil
	}
	return b.pickFree(r, b.ready, b.readyCapacity)
}

// windowHasRoom reports whether the congestion window allows another attempt; a window below one spaces them
// out. It applies where so many sidecars share an endpoint that one attempt of each is too much, whatever
// congests it. AIMD: an attempt timed out or reset cuts it, and responses while requests are queued widen it.
// Drawback: it refuses requests if attempts are lost for other reasons.
func (b *Balancer) windowHasRoom(r *request) bool {
	return float64(b.inFlight) < b.congestionWindow && (b.congestionWindow >= 1 ||
		(b.now-b.lastSentAt).Seconds()*b.congestionWindow >= b.meanLatency(r))
}

// pickIdle returns an endpoint that a valid report shows idle. A report is valid at the time of its arrival
// however long the probe took: where requests are faster than probes, none would be valid otherwise.
func (b *Balancer) pickIdle(r *request) *endpoint {
	lifetime := seconds(reportLifetimeShare * b.meanLatency(r))
	b.idleEndpoints = slices.DeleteFunc(b.idleEndpoints, func(e *endpoint) bool {
		return !b.isIdle(e) || b.now-e.loadRequestedAt > lifetime && b.now > e.loadReceivedAt
	})
	b.rng.Shuffle(len(b.idleEndpoints), func(i, j int) {
		b.idleEndpoints[i], b.idleEndpoints[j] = b.idleEndpoints[j], b.idleEndpoints[i]
	})
	best, bestSpeed := (*endpoint)(nil), 0.0 // ties go to the first
	for _, e := range b.idleEndpoints {
		speed := b.typeSpeed(e)
		if !b.hasConnection(e, b.now) {
			speed *= 1 - b.connectFailureShare
		}
		if speed > bestSpeed && b.maySend(r, e) {
			best, bestSpeed = e, speed
		}
	}
	return best
}

// sendProbes asks endpoints for their load, on behalf of a number of queued requests.
func (b *Balancer) sendProbes(waiting int) {
	// The number of endpoints bounds the probes that all sidecars without an idle endpoint may send together.
	slowest := slices.MaxFunc(b.classStats, func(x, y latencyStats) int {
		return cmp.Compare(x.mean, y.mean)
	})
	rate := probesPerMeanLatency * float64(len(b.ready)) / (float64(b.cfg.SidecarCount) * slowest.mean)
	b.probeTokens = min(b.probeTokens+rate*(b.now-b.probeTokensRefilledAt).Seconds(), maxProbeTokens)
	b.probeTokensRefilledAt = b.now
	justArrived := b.queue[len(b.queue)-1].arrivedAt == b.now // the newest is last
	overdue := 0                                              // the oldest come first
	for overdue < len(b.pendingProbes) && b.now-b.pendingProbes[overdue].probedAt >= probeWait {
		overdue++
	}
	n := waiting - (len(b.pendingProbes) - overdue)
	for n = min(n, maxProbesPerRequest*waiting-len(b.pendingProbes)); n > 0 && b.probeTokens >= 1; n-- {
		e := b.sampleForProbe(justArrived, seconds(reportLifetimeShare*slowest.mean))
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

// isIdle reports whether an endpoint is known to be idle: by its report, and without an own attempt since.
func (b *Balancer) isIdle(e *endpoint) bool {
	if !e.hasLoad || e.State != InService || e.reportedInFlight >= 0.5 {
		return false
	}
	return !slices.ContainsFunc(e.inFlight, func(sentAt time.Duration) bool {
		return sentAt >= e.loadRequestedAt
	})
}

// sampleForProbe draws an endpoint to probe, from the own zone if localOnly is set and there are any. Ejected
// endpoints come last, and cold ones have a lower probability (see slowStartShare). A report that an endpoint
// is busy is valid for as long as one that it is idle.
func (b *Balancer) sampleForProbe(localOnly bool, lifetime time.Duration) *endpoint {
	var ejected *endpoint
	set := b.ready
	if localOnly && len(b.local) > 0 {
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
		if e.probing || e.hasLoad && b.now-e.loadRequestedAt < lifetime ||
			b.rng.Float64() > b.slowStartShare(e) {
			continue
		}
		if b.now < e.ejectedUntil {
			ejected = e
			continue
		}
		return e
	}
	return ejected
}

// pickFree returns the endpoint of a set whose free cores would run the next attempt fastest. An endpoint is
// free while its cores run fewer own attempts than its speed times the concurrency limit, which allows one at
// least. total is the capacity that this sidecar spreads its attempts over.
func (b *Balancer) pickFree(r *request, set []*endpoint, total float64) *endpoint {
	var best *endpoint
	bestSpeed := 0.0
	offset := b.rng.Int() >> 1
	for i := range min(len(set), maxSamples) {
		e := set[(offset+i)%len(set)]
		if b.now < e.ejectedUntil || !b.maySend(r, e) {
			continue
		}
		speed, inFlight := b.speed(e), float64(len(e.inFlight))
		limit := math.Max(b.concurrencyLimit*speed, 1)
		if r.overQuota {
			limit *= overQuotaCoreShare
		}
		if inFlight-float64(e.waitingForCaller) >= limit || !b.slowStartAllows(e, total) {
			continue
		}
		if nextSpeed := speed / (inFlight + 1); nextSpeed > bestSpeed {
			best, bestSpeed = e, nextSpeed
		}
	}
	return best
}

// slowStartAllows reports whether this sidecar may send to an endpoint that may be cold. It limits the sends
// to the endpoint's part of the sidecar's send rate, by its present capacity among the total that the sidecar
// spreads its attempts over. The first attempt may go out at a random moment of a first gap: sidecars that
// learn of the endpoint at the same time must not all send to it at once.
func (b *Balancer) slowStartAllows(e *endpoint, total float64) bool {
	share := b.slowStartShare(e)
	if share >= 1 {
		return true
	}
	gap := seconds(math.Min(total/(b.sendRate*b.capacity(e)*share), b.cfg.WarmupTime.Seconds()))
	if e.lastSentAt < e.StartedAt {
		e.lastSentAt = b.now - b.jitter(gap)
	}
	return b.now-e.lastSentAt >= gap
}

// drawWeighted draws a type by speed x share, then an endpoint of it uniformly, which is the same as drawing
// an endpoint by its type's speed. It draws from a sample if there are many. Ejected endpoints come last.
func (b *Balancer) drawWeighted(r *request) *endpoint {
	set := b.ready
	if !b.probesOnArrival {
		set = b.local
	}
	var drawn, ejected *endpoint
	total, offset := 0.0, b.rng.Int()>>1
	for i := range min(len(set), maxSamples) {
		e := set[(offset+i)%len(set)]
		speed := b.typeSpeed(e) * b.slowStartShare(e)
		switch {
		case !b.maySend(r, e):
		case b.now < e.ejectedUntil:
			ejected = e
		default:
			if total += speed; b.rng.Float64()*total < speed {
				drawn = e
			}
		}
	}
	return cmp.Or(drawn, ejected)
}

// typeSpeed returns the speed of an endpoint's type: speeds within a factor of root two are one type.
func (b *Balancer) typeSpeed(e *endpoint) float64 {
	return math.Exp2(math.Round(2*math.Log2(b.speed(e))) / 2)
}

// speed returns the speed of an endpoint: its capacity, reduced by the speed penalty of its past attempts.
func (b *Balancer) speed(e *endpoint) float64 { return b.capacity(e) * math.Exp(-e.speedPenalty) }

// capacity returns the weight of an endpoint if weights mean capacity, else 1.
func (b *Balancer) capacity(e *endpoint) float64 {
	if b.cfg.WeightMeaning == WeightCapacity || b.cfg.WeightMeaning == WeightCapacityEstimate {
		return math.Max(e.Weight, 1e-3)
	}
	return 1
}

// slowStartShare returns the share of its capacity that an endpoint surely has this long after its start.
func (b *Balancer) slowStartShare(e *endpoint) float64 {
	age := b.now - e.StartedAt
	if e.StartedAt == 0 || age >= b.cfg.WarmupTime {
		return 1
	}
	return b.cfg.ColdCapacityShare +
		(1-b.cfg.ColdCapacityShare)*math.Max(age.Seconds(), 0)/b.cfg.WarmupTime.Seconds()
}

// maySend reports whether the rules allow a request to be sent to an endpoint now.
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

// hasUntriedEndpoint reports whether a request may go to an endpoint that is not ejected and that it has not
// been sent to. Within the scope of a keyed request there may be none.
func (b *Balancer) hasUntriedEndpoint(r *request) bool {
	return slices.ContainsFunc(b.ready, func(e *endpoint) bool {
		return b.now >= e.ejectedUntil &&
			(r.firstRunEndpoint == nil || b.mayRepeatAt(r, r.firstRunEndpoint, r.firstRunSentAt, e)) &&
			!slices.ContainsFunc(r.attempts, func(a attempt) bool { return a.endpoint == e })
	})
}

// mayHedge reports whether a request may have a second attempt in flight.
func (b *Balancer) mayHedge(r *request) bool {
	return b.cfg.Limits.Hedging && !r.class.NoHedging && !r.BodyArriving
}

// mayRepeatAt reports whether a request that was sent to first at sentAt, and may run there, may go to e too.
func (b *Balancer) mayRepeatAt(r *request, first *endpoint, sentAt time.Duration, e *endpoint) bool {
	if r.class.Semantics != Keyed {
		return r.class.Semantics == Safe
	}
	scope := r.class.Scope
	return b.now < repeatDeadline(r.class, sentAt) && (scope == ScopeAll ||
		scope == ScopeZone && first.Zone == e.Zone || scope == ScopeCell && first.Cell == e.Cell)
}

// repeatDeadline returns the time before which a repeat of a keyed attempt sent at sentAt must go out.
func repeatDeadline(c *Class, sentAt time.Duration) time.Duration {
	return sentAt + c.RepeatWindow - min(maxSendDelay, c.RepeatWindow/2)
}

// sendDeadline returns the time before which the next attempt of a keyed request must go out, which may be
// later than the decision, as a connection may have to be opened. It returns 0, for no limit, if the request
// is not keyed or no other attempt may run or have run.
func (b *Balancer) sendDeadline(r *request) time.Duration {
	deadline := time.Duration(math.MaxInt64)
	if r.class.Semantics == Keyed && r.firstRunEndpoint != nil {
		deadline = repeatDeadline(r.class, r.firstRunSentAt)
	}
	for i := range r.attempts {
		if a := &r.attempts[i]; a.inFlight && r.class.Semantics == Keyed {
			deadline = min(deadline, repeatDeadline(r.class, a.sentAt))
		}
	}
	if deadline == math.MaxInt64 {
		return 0
	}
	return deadline
}

// send sends an attempt of a request.
func (b *Balancer) send(r *request, e *endpoint) {
	b.dequeue(r)
	startDeadline := b.sendDeadline(r)
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
	b.emit(Action{
		Kind: Send, Request: r.ID, Endpoint: e.ID, Deadline: r.deadline, StartDeadline: startDeadline,
	})
	if r.inFlight > 1 {
		b.hedgeTokens--
	} else {
		b.scheduleHedge(r)
	}
}

// scheduleHedge sets when a request that has one attempt in flight is hedged, if it may be.
func (b *Balancer) scheduleHedge(r *request) {
	if b.probesOnArrival && b.mayHedge(r) && r.class.Semantics != Unsafe {
		c := &b.classStats[r.Class]
		r.hedgeAt = b.now + seconds(c.mean+hedgeDelayDeviations*c.meanDeviation)
		if r.hedgeAt < r.deadline {
			b.setRequestTimer(r, r.hedgeAt)
		}
	}
}

// hasConnection reports whether a connection to an endpoint was open at a time, as far as is known. While new
// connections fail or time out, endpoints with an open one are probed and picked first, in proportion to the
// share that fails. This helps whatever makes connections slow, expensive or scarce; meanwhile it narrows the
// choice of idle endpoints.
func (b *Balancer) hasConnection(e *endpoint, at time.Duration) bool {
	return e.lastResponseAt > 0 && at-e.lastResponseAt < b.cfg.Limits.KeepAlive
}

// prepareConnection returns for how long the connection to an endpoint has been idle, as an index into
// idleLossShares. If attempts are lost after such a time, but not on connections in use, something drops idle
// connections silently: it closes the idle ones first and returns 0. This helps against silent drops and
// resets. It has no effect where all attempts are lost, and a wrong guess costs a handshake.
func (b *Balancer) prepareConnection(e *endpoint) int {
	idleTime := b.now - e.lastResponseAt
	step := min(bits.Len64(uint64(idleTime/firstIdleStep)), len(b.idleLossShares)-1)
	if e.lastResponseAt == 0 || b.cfg.Limits.KeepAlive > 0 && idleTime > b.cfg.Limits.KeepAlive {
		return 0
	} else if b.losesIdleConnections(step) {
		b.emit(Action{Kind: CloseIdle, Endpoint: e.ID})
		return 0
	}
	return step
}

// losesIdleConnections reports whether connections idle for up to step lose more attempts than those in use.
func (b *Balancer) losesIdleConnections(step int) bool {
	return step > 0 && slices.Max(b.idleLossShares[1:step+1]) > math.Max(maxIdleLoss, 2*b.idleLossShares[0])
}

// recordIdleLoss records whether an attempt was lost (1) or not (0) on a connection that was idle for step.
func (b *Balancer) recordIdleLoss(step int, lost float64) {
	for i := range b.idleLossShares {
		b.idleLossShares[i] *= math.Exp(-(b.now - b.idleLossDecayedAt).Seconds() / idleLossSeconds)
	}
	b.idleLossDecayedAt = b.now
	b.idleLossShares[step] += idleLossGain * (lost - b.idleLossShares[step])
}

// recordOutcome updates the state of the endpoint, the class and the request from an outcome.
func (b *Balancer) recordOutcome(r *request, a *attempt, o Outcome) {
	e := a.endpoint
	if newConnection := !b.hasConnection(e, a.sentAt); o.Result == ConnectFailed {
		b.connectFailureShare += connectFailureGain * (1 - b.connectFailureShare)
	} else if newConnection && o.Result == OK {
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
		elapsed := max(o.Elapsed, 1).Seconds()
		c := &b.classStats[r.Class]
		gain := math.Max(latencyGain, 1/(c.samples+2))
		c.samples++
		if b.now <= r.targetAt {
			c.served++
		}
		c.meanDeviation += gain * (math.Abs(elapsed-c.mean) - c.meanDeviation)
		c.mean += gain * (elapsed - c.mean)
		logSlowdown := math.Log(elapsed / b.expectedWork(r))
		w := e.weightStats
		w.samples++
		w.mean += math.Max(slowdownGain, 1/w.samples) * (logSlowdown - w.mean)
		e.speedPenalty += penaltyGain * (logSlowdown - w.mean - e.speedPenalty)
		b.adjustConcurrency(logSlowdown, math.Log(elapsed/r.class.TargetLatency.Seconds()))
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
		r.firstRunSentAt = min(r.firstRunSentAt, a.sentAt) // endpoints remember a key from its first run on
	}
	if b.recordLoad(e, o.Load, b.now); b.isIdle(e) {
		b.idleEndpoints = append(b.idleEndpoints, e)
	}
}

// adjustConcurrency adjusts the concurrency limit by comparing the mean slowdown with the best one: requests
// in flight crowd an endpoint long before it refuses any, and a crowded one does less work.
func (b *Balancer) adjustConcurrency(logSlowdown, logTargetRatio float64) {
	b.slowdownSamples++
	b.samplesSinceAdjust++
	gain := math.Max(slowdownGain, 1/float64(b.slowdownSamples))
	b.logSlowdown += gain * (logSlowdown - b.logSlowdown)
	b.logTargetRatio += gain * (logTargetRatio - b.logTargetRatio)
	if b.slowdownSamples < minSlowdownSamples {
		b.baseLogSlowdown = b.logSlowdown
		return
	}
	b.baseLogSlowdown = math.Min(b.baseLogSlowdown+baseSlowdownDrift, b.logSlowdown)
	if b.now < b.nextAdjustAt || b.samplesSinceAdjust < minSlowdownSamples {
		return
	}
	if b.logSlowdown > b.baseLogSlowdown+congestionThreshold || b.logTargetRatio > math.Log(maxTargetShare) {
		// Less than one attempt per endpoint would have no effect, and take long to undo.
		b.concurrencyLimit = max(b.concurrencyLimit*concurrencyDecrease, 1/b.maxSpeed,
			minTotalConcurrency/float64(b.cfg.SidecarCount))
	} else if b.allWereBusy {
		b.concurrencyLimit += concurrencyIncrease
	}
	b.nextAdjustAt, b.samplesSinceAdjust, b.allWereBusy = b.now+minAdjustInterval, 0, false
}

// recordFailure ejects an endpoint after a failure and lowers its speed: one that fails fast must not look
// idle and fast. An attempt that was lost after a long time lengthens the ejection, as the next would be lost
// as slowly, and a congested endpoint recovers only if it is left alone.
func (b *Balancer) recordFailure(e *endpoint, elapsed time.Duration) {
	e.speedPenalty = math.Min(e.speedPenalty+failurePenalty, maxPenalty)
	ejection := min(max(baseEjectionTime, elapsed)<<min(e.consecutiveFailures, 6), maxEjectionTime)
	e.consecutiveFailures++
	e.ejectedUntil = b.now + ejection/2 + b.jitter(ejection)
	e.hasLoad = false
}

// recordLoad records a load report that was requested at requestedAt.
func (b *Balancer) recordLoad(e *endpoint, load *Load, requestedAt time.Duration) {
	if load != nil && load.InFlight >= 0 {
		e.reportedInFlight, e.loadRequestedAt, e.loadReceivedAt, e.hasLoad =
			load.InFlight, requestedAt, b.now, true
	}
}

// meanLatency returns the mean latency of attempts of a request's class, in seconds.
func (b *Balancer) meanLatency(r *request) float64 { return b.classStats[r.Request.Class].mean }

// expectedWork returns the expected work of a request in seconds: as hinted, or else by its target latency.
func (b *Balancer) expectedWork(r *request) float64 {
	if r.ExpectedWork > 0 {
		return r.ExpectedWork.Seconds()
	}
	return r.class.TargetLatency.Seconds() / 4
}

// shedOrFail gives the final response to a request that was not served: Shed if a retry is harmless.
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

// retryAfter returns the delay after which the client of a shed request may retry: a short one if a retry can
// still be in time, else the longest that clients obey. A late retry takes an endpoint from one in time.
func (b *Balancer) retryAfter(r *request) time.Duration {
	if remaining := r.targetAt - b.now - seconds(b.meanLatency(r)); remaining > 0 {
		return min(remaining/2, b.cfg.Limits.MaxRetryAfter)
	}
	return b.cfg.Limits.MaxRetryAfter
}

// finish ends a request and cancels its attempts. The request is deleted when the last of them has ended.
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

// startEvent sets the time of an event and the slice that its actions are appended to.
func (b *Balancer) startEvent(now time.Duration, dst []Action) { b.now, b.actions = now, dst }

func (b *Balancer) emit(a Action) { b.actions = append(b.actions, a) }

// setRequestTimer sets a timer for a request at a time.
func (b *Balancer) setRequestTimer(r *request, at time.Duration) {
	b.setTimer(timerRequest, uint64(r.ID), at-b.now)
}

func (b *Balancer) setTimer(kind uint8, ref uint64, delay time.Duration) {
	b.emit(Action{Kind: SetTimer, Timer: Timer{kind, ref}, Delay: max(delay, 1)})
}

// jitter returns a random duration of at least 0 and less than d.
func (b *Balancer) jitter(d time.Duration) time.Duration {
	return time.Duration(b.rng.Float64() * float64(d))
}
