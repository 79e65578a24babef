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
	probePrice = 0.004                // what a probe may cost, in requests, to probe at each arrival
	probeWait  = 8 * time.Millisecond // how long a probe is waited for before others are sent

	// A request has one probe out and, once that is late, another, up to probesAtOnce: a round trip is short
	// beside a call, and a probe more for each call costs more than waiting for the last. Each request adds
	// probesEach to a store of probesSaved.
	probesAtOnce, probesEach, probesSaved = 4, 4, 24

	probesPerCall = 10.0 // how often in a usual call all sidecars may probe each endpoint beyond that
	freshShare    = 0.05 // of a usual call's time a report is believed: few endpoints change in it
	sampleTries   = 24   // bounds the draws for one endpoint, so that a pick does not grow with the fleet
	drawBudget    = 0.02 // how many draws among busy endpoints a call earns: in overload they would be late
)

const ( // telling a free core by own calls alone
	// overlap is how many sidecars are to meet each endpoint, as own calls say little where more do, and how
	// many endpoints a sidecar meets at least, so that what one loses is spread over several.
	overlap  = 5
	paceGain = 0.01 // the weight of a call in the pace: some hundred calls tell crowding from chance

	// paceSpan is the least time between two moves of the share, paceCalls the fewest calls.
	paceSpan, paceCalls = 300 * time.Millisecond, 30

	crowded   = 0.25 // how much slower than at its best (in the logarithm) the pace shows cores short
	goalShare = 0.25 // the share of the goal that a usual call may take before the share is cut as well

	shareCut, shareRise = 0.9, 0.03 // move the share; sums and products bring sidecars to like shares

	// sharesLeast is what the shares of all sidecars come to at least: so few calls crowd no endpoint, and
	// cutting on starves the fleet without quickening a call. It happened where the first calls were lucky.
	sharesLeast = 3.0

	rejectedPace = 1.5    // what a rejection counts for in the pace, over the best
	paceDrift    = 0.0001 // how the best pace rises with each call: a lucky stretch is forgotten

	// windowCut is what a lost call leaves of the congestion window, windowRise what a round of answers adds.
	windowCut, windowRise, windowLeast = 0.5, 0.1, 0.05

	rateSpan = 2.0 // how many seconds the own rate is a mean of: of sends, as overload refuses most requests
)

const ( // admission
	quotaSaved = 1.0   // how many seconds of its quota a tenant may save up
	overPart   = 0.5   // the part of the free cores that requests over their tenant's quota may use
	fairShare  = 0.03  // how much of its patience the oldest held request may have waited, and still go first
	classKeep  = 0.999 // what each request leaves of the counts by class: they are of a thousand requests
)

const ( // health, further attempts and discovery
	// suspectFor is how long an endpoint that failed is passed over at least; it doubles with each failure.
	suspectFor, suspectMax = 300 * time.Millisecond, 10 * time.Second

	slowGain = 0.1 // the weight of a call in an endpoint's slowness

	// failSlows is what a failed call adds to slowness, and slowMost bounds it: a twentieth of the speed.
	failSlows, slowMost = 0.35, 3.0

	meanGain    = 0.05 // the weight of a call in a class's mean time
	startMargin = 1.4  // how many usual calls' time a call needs: begun later, most were late, work lost

	// sharedMargin is how many mean deviations a call needs beyond that where others may be at its endpoint:
	// its time varies with theirs. At an idle one it needs none, and would be given up for nothing. learnedBy
	// is how many calls of a class tell its deviation.
	sharedMargin, learnedBy = 3.0, 10

	hedgeAfter = 3.0 // when a call is hedged: this many mean deviations over the mean

	// hedgeBudget and retryBudget are the shares of calls hedged, or retried though work may have been lost.
	hedgeBudget, retryBudget = 0.1, 0.2

	budgetCap = 10              // how much of a budget can be saved up
	askFirst  = 2 * time.Second // spreads the first calls to discovery: a whole fleet may start at once

	// linkGain is the weight of a new connection in the share that fails, which acts from noLinkLeast on.
	linkGain, noLinkLeast = 0.3, 0.01

	// staleStep is the first step of idle times, each twice the last. staleGain is a call's weight in the
	// share lost after such a time, staleFor the seconds it is remembered, staleMost what may be lost so.
	staleStep, staleGain, staleFor, staleMost = 100 * time.Millisecond, 0.3, 20.0, 0.1
)

// holdUp is how long a sidecar may be held up between reading its clock and writing.
const holdUp = 150 * time.Millisecond

// The timers of a Balancer: Ref is a request, ask discovery again, and look at the held requests again.
const timerRequest, timerSubscribe, timerServe = 1, 2, 3

// endpoint is what is known of one server.
type endpoint struct {
	Endpoint
	mark     uint64        // its place on the ring
	listed   bool          // is in Balancer.ready
	peers    *latency      // those of its listed weight: their mean pace
	load     float64       // requests in flight, as last reported
	loadAt   time.Duration // when that was asked for
	heardAt  time.Duration // when it came
	hasLoad  bool
	out      []time.Duration // when the own calls that are out were sent
	callers  int             // of those, how many wait for their caller, not for the endpoint
	lastSent time.Duration
	lastUsed time.Duration // when a call on a connection to it was last answered
	slow     float64       // logarithm of its calls' time over that usual for its weight
	fails    int           // failures in a row
	suspect  time.Duration
	probing  bool
	probedAt time.Duration
}

// attempt is one sending of a request.
type attempt struct {
	to     *endpoint
	sent   time.Duration
	out    bool
	killed bool // withdrawn, or never to be
	idle   int  // how long its connection had been idle, in steps
	waits  bool // for its caller, to send the rest of its body or to take its answer
}

// request is a request until its last attempt has ended.
type request struct {
	Request
	class    *Class
	arrived  time.Duration
	goalAt   time.Duration // an answer by it earns full worth
	useless  time.Duration // an answer after it earns nothing
	startBy  time.Duration // a call that begins later would be late
	attempts []attempt
	out      int           // attempts out
	reruns   int           // attempts after one that may have run, other than second copies
	ran      *endpoint     // where the first attempt went that may have run
	ranAt    time.Duration // and when it was sent
	done     bool          // it has its final answer
	over     bool          // it is over its tenant's quota
	held     bool          // it waits for an endpoint, in Balancer.held
	heldAt   time.Duration // since then
	lost     bool          // its body is gone: no further attempt can be sent
	hedgeAt  time.Duration
}

// latency is what is learned of the calls of a class, in seconds.
type latency struct {
	mean, dev, n  float64
	asked, served float64 // requests lately, and those served in time
}

// Balancer decides for one sidecar. It is not safe for concurrent use.
type Balancer struct {
	cfg       Config
	rng       *rand.Rand
	now       time.Duration
	acts      []Action
	endpoints map[EndpointID]*endpoint
	peers     map[int]*latency // by listed weight
	ready     []*endpoint      // in service, in list order
	near, far []*endpoint      // those it sends to, in its own zone and in others
	requests  map[RequestID]*request
	held      []*request // that wait for an endpoint, newest last
	turn      []*request // those of one class in the order of their turn, for serve alone
	classes   []latency
	order     []int     // classes, by their value
	quotas    []float64 // what each tenant has saved up
	quotaAt   time.Duration

	hedges, retries, draws float64     // budgets
	probing                bool        // probes at each arrival tell who is idle
	probesOut              []*endpoint // whom the probes that are out went to, in their order
	probes                 float64     // store of probes
	probesAt               time.Duration
	idlers                 []*endpoint // found idle lately
	serveAt                time.Duration

	share            float64 // own calls that an endpoint has free cores for, per unit of its speed
	pace             float64 // logarithm of a call's time over its expected work, lately
	paceBest         float64
	goalPace         float64       // logarithm of a call's time over its goal, lately
	paceCount, paceN int           // calls, and those since the share was moved
	paceEnd          time.Duration // when it may move again
	full             bool          // nobody was free since then
	rate             float64       // own sends a second
	rateAt           time.Duration
	sizeSum, sizeAll float64 // sizes of near and far, and of ready
	muMost           float64 // the highest speed of near and far

	outs   int     // own calls out, but for those that wait for their callers
	window float64 // own calls that may be out

	stale   [8]float64 // share of calls lost silently, by how long their connection was idle
	staleAt time.Duration

	blind      bool    // too many sidecars share each endpoint for own calls to tell its load
	noLink     float64 // share of new connections that fail, lately
	links      []*endpoint
	subscribed bool
	asked      int // calls to discovery that failed in a row
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
		cfg:       cfg,
		rng:       rand.New(rand.NewPCG(seed, 0x9e3779b97f4a7c15)),
		endpoints: make(map[EndpointID]*endpoint),
		peers:     make(map[int]*latency),
		requests:  make(map[RequestID]*request),
		classes:   make([]latency, len(cfg.Classes)),
		quotas:    make([]float64, len(cfg.Tenants)),
		hedges:    1, retries: budgetCap, draws: 1,
		// However few sidecars there are, together they begin with as many calls at each endpoint.
		share:   math.Max(1, overlap/float64(cfg.SidecarCount)),
		probing: cfg.Limits.Probes && cfg.Reporting == ReportsInProbe && cfg.Costs.Probe <= probePrice,
	}
	for i, c := range cfg.Classes {
		b.order = append(b.order, i)
		b.classes[i] = latency{mean: c.TargetLatency.Seconds() / 4, dev: c.TargetLatency.Seconds() / 4}
	}
	return b, nil
}

// SetClassLimits sets the bounds of a class anew: MaxAttempts, MaxRetries, NoHedging and RetryStartWindow of
// what it is given. They hold at once: a request that waits for an attempt it may not have is answered. What
// is out goes on.
func (b *Balancer) SetClassLimits(now time.Duration, class int, k Class, out []Action) []Action {
	b.begin(now, out)
	if class < 0 || class >= len(b.cfg.Classes) {
		return b.acts
	}
	c := &b.cfg.Classes[class]
	c.MaxAttempts, c.MaxRetries, c.NoHedging, c.RetryStartWindow =
		k.MaxAttempts, k.MaxRetries, k.NoHedging, k.RetryStartWindow
	for _, r := range slices.Clone(b.held) {
		if r.out == 0 && !b.mayAdd(r) {
			b.finish(r)
		}
	}
	return b.acts
}

// EndpointsUpdated takes a list from discovery.
func (b *Balancer) EndpointsUpdated(
	now time.Duration, kind ListKind, list []Endpoint, out []Action,
) []Action {
	b.begin(now, out)
	switch kind {
	case ListUnavailable: // all sidecars may have been turned away at once: back off, jittered
		b.subscribed = false
		wait := min(time.Second<<min(b.asked, 4), 2*cmp.Or(b.cfg.MaxSubscribeDelay, time.Minute))
		b.asked++
		b.timer(timerSubscribe, 0, wait/2+b.jitter(wait))
		return b.acts
	case ListLastKnown:
		if b.cfg.MustSubscribe {
			b.timer(timerSubscribe, 0, b.jitter(min(askFirst, cmp.Or(b.cfg.MaxSubscribeDelay, askFirst))))
		}
	default:
		b.asked = 0
	}
	if kind != ListChanges {
		for _, e := range b.endpoints {
			e.State = Removed
		}
	}
	for i := range list {
		b.list(&list[i])
	}
	b.ready = slices.DeleteFunc(b.ready, func(e *endpoint) bool {
		if e.listed = e.State == InService; e.State == Removed {
			b.release(e) // a whole list tells of it only by leaving it out
		}
		return !e.listed
	})
	for _, e := range b.endpoints {
		b.forget(e)
	}
	b.subset()
	b.serve()
	return b.acts
}

// forget drops an endpoint that is gone once nothing is out to it: over a long day there are ever new ones.
func (b *Balancer) forget(e *endpoint) {
	if e.State == Removed && len(e.out) == 0 && !e.probing && b.endpoints[e.ID] == e {
		delete(b.endpoints, e.ID)
	}
}

// list takes one entry.
func (b *Balancer) list(entry *Endpoint) {
	e := b.endpoints[entry.ID]
	if e == nil {
		e = &endpoint{mark: scramble(uint64(entry.ID))}
		b.endpoints[entry.ID] = e
	} else if entry.StartedAt != e.StartedAt { // what was known of the old process says nothing of the new
		e.hasLoad, e.slow, e.fails, e.suspect, e.lastUsed = false, 0, 0, 0, 0
	}
	e.Endpoint = *entry
	b.release(e)
	k := int(math.Round(4 * math.Log2(b.size(e))))
	if e.peers = b.peers[k]; e.peers == nil {
		e.peers = &latency{}
		b.peers[k] = e.peers
	}
	if e.State == InService && !e.listed {
		e.listed = true
		b.ready = append(b.ready, e)
	}
}

// release closes the idle connections to an endpoint that has left service, at each event that may have
// made one idle: the notice, and the end of a call or a probe. A drain waits for its connections.
func (b *Balancer) release(e *endpoint) {
	if b.cfg.MaxDrainIdleTime > 0 && e.State != InService && (e.lastSent > 0 || e.probedAt > 0) {
		b.act(Action{Kind: CloseIdle, Endpoint: e.ID})
	}
}

// subset makes near and far. Where own calls alone tell who is free, they are a stretch of the ring
// of endpoints that begins at this sidecar's place: all sidecars together cover each endpoint alike.
func (b *Balancer) subset() {
	b.near, b.far, b.sizeAll = b.near[:0], b.far[:0], 0
	for _, e := range b.ready {
		b.sizeAll += b.size(e)
		if e.Zone == b.cfg.Zone {
			b.near = append(b.near, e)
		} else {
			b.far = append(b.far, e)
		}
	}
	if b.probing {
		return
	}
	_, place := math.Modf(float64(b.cfg.SidecarIndex) * math.Phi)
	b.sizeSum, b.muMost = 0, 1e-3
	for _, set := range [2]*[]*endpoint{&b.near, &b.far} {
		slices.SortFunc(*set, func(x, y *endpoint) int { return cmp.Compare(x.mark, y.mark) })
		total := 0.0 // a stretch is measured in sizes, so that all sidecars have alike
		for _, e := range *set {
			total += b.size(e)
		}
		from, want := place*total, total*overlap/float64(b.cfg.SidecarCount)
		ring, n, at := append(*set, *set...), len(*set), 0.0
		*set = (*set)[:0]
		for _, e := range ring {
			middle := at + b.size(e)/2
			at += b.size(e)
			if middle >= from && len(*set) < n && (middle < from+want || len(*set) < overlap) {
				*set = append(*set, e)
			}
		}
		for _, e := range *set {
			b.sizeSum += b.size(e)
			b.muMost = math.Max(b.muMost, b.mu(e))
		}
	}
	b.blind = b.cfg.SidecarCount*(len(b.near)+len(b.far)) > 2*overlap*len(b.ready)
	if b.rateAt == 0 { // before the first call: five calls an endpoint by all sidecars, learned from then on
		b.window = overlap * float64(len(b.ready)) / float64(b.cfg.SidecarCount)
	}
}

// RequestArrived takes a request; the Balancer owes it one final answer from now on.
func (b *Balancer) RequestArrived(now time.Duration, q Request, out []Action) []Action {
	b.begin(now, out)
	if q.Class < 0 || q.Class >= len(b.cfg.Classes) || b.requests[q.ID] != nil {
		return b.acts
	}
	r := &request{Request: q, class: &b.cfg.Classes[q.Class], arrived: now}
	b.requests[q.ID] = r
	r.useless = now + q.Timeout - 2*b.cfg.ClockResolution // its timer must ring before its client gives up
	r.goalAt = now + r.class.TargetLatency + time.Duration(r.class.TargetWorkFactor*float64(q.ExpectedWork))
	if r.class.LateValueShare == 0 {
		r.useless = min(r.useless, r.goalAt)
	}
	need := startMargin * b.usual(r)
	if c := &b.classes[q.Class]; !b.probing && c.n >= learnedBy {
		need += sharedMargin * c.dev
	}
	r.startBy = min(r.goalAt, r.useless) - seconds(need)
	b.count(q.Class)
	b.hedges = min(b.hedges+hedgeBudget, budgetCap)
	b.retries = min(b.retries+retryBudget, budgetCap)
	b.draws = min(b.draws+drawBudget, budgetCap)
	b.probes = min(b.probes+probesEach, probesSaved)
	for i, t := range b.cfg.Tenants { // each sidecar has an equal part of a quota
		quota := t.Quota / float64(b.cfg.SidecarCount)
		b.quotas[i] = math.Min(b.quotas[i]+quota*(now-b.quotaAt).Seconds(), math.Max(quota*quotaSaved, 1))
	}
	b.quotaAt = now
	r.over = r.useless > now && b.overQuota(q.Tenant)
	if r.useless <= now || r.over && len(b.held) > 0 { // over its quota it is worth little, and others wait
		b.finish(r)
	} else {
		b.wake(r, r.useless)
		b.hold(r)
		b.serve()
	}
	return b.acts
}

// overQuota tells whether a request is past its tenant's quota; calls of one let in are not counted again.
func (b *Balancer) overQuota(tenant int) bool {
	if b.cfg.Tier > 0 || tenant < 0 || tenant >= len(b.quotas) || b.cfg.Tenants[tenant].Quota <= 0 {
		return false
	}
	if b.quotas[tenant] < 1 {
		return true
	}
	b.quotas[tenant]--
	return false
}

// ResponseStarted takes the start of an attempt's streamed answer: its client owns it now and no deadline
// counts.
func (b *Balancer) ResponseStarted(now time.Duration, id RequestID, n int, out []Action) []Action {
	b.begin(now, out)
	if r := b.requests[id]; r != nil && n >= 0 && n < len(r.attempts) && r.attempts[n].out && !r.done {
		r.attempts[n].killed = true
		b.wait(&r.attempts[n], true)
		b.close(r)
	}
	return b.acts
}

// BodyStateChanged takes what has become of the body of a request that was still arriving. Until it is whole
// there is no second copy: the first waits for the caller, as a copy would. Outcome.Elapsed counts from when
// it was.
func (b *Balancer) BodyStateChanged(now time.Duration, id RequestID, s BodyState, out []Action) []Action {
	b.begin(now, out)
	r := b.requests[id]
	if r == nil || r.done {
		return b.acts
	}
	if s == BodyComplete {
		r.BodyArriving = false
		for i := range r.attempts {
			b.wait(&r.attempts[i], false)
		}
		if r.out == 1 && r.hedgeAt == 0 {
			b.armHedge(r)
		}
	} else if r.lost = true; r.held && r.out == 0 && !b.mayAdd(r) {
		b.finish(r)
	}
	return b.acts
}

// wait notes whether an attempt that is out waits for its caller. One that does takes no core: counted as if
// it did, slow callers fill every endpoint's share and nobody else is served.
func (b *Balancer) wait(a *attempt, waits bool) {
	if a.waits == waits || !a.out {
		return
	}
	n := 1
	if a.waits = waits; !waits {
		n = -1
	}
	a.to.callers, b.outs = a.to.callers+n, b.outs-n
}

// RequestAbandoned says that a request has ended without the Balancer.
func (b *Balancer) RequestAbandoned(now time.Duration, id RequestID, out []Action) []Action {
	if b.begin(now, out); b.requests[id] != nil {
		b.close(b.requests[id])
	}
	return b.acts
}

// TimerFired takes a timer that fell due.
func (b *Balancer) TimerFired(now time.Duration, t Timer, out []Action) []Action {
	b.begin(now, out)
	switch t.Kind {
	case timerRequest:
		if r := b.requests[RequestID(t.Ref)]; r != nil && !r.done {
			b.advance(r)
		}
	case timerSubscribe:
		if !b.subscribed {
			b.act(Action{Kind: Subscribe})
		}
		b.subscribed = true
	}
	b.serve()
	return b.acts
}

// ProbeEnded takes the result of a probe; load is nil without a report.
func (b *Balancer) ProbeEnded(
	now time.Duration, id EndpointID, res Result, load *Load, out []Action,
) []Action {
	b.begin(now, out)
	e := b.endpoints[id]
	if e == nil || !e.probing {
		return b.acts
	}
	e.probing = false
	b.probesOut = slices.DeleteFunc(b.probesOut, func(x *endpoint) bool { return x == e })
	b.release(e)
	switch res {
	case OK:
		b.report(e, load, e.probedAt)
	case NotSent: // which says nothing of the endpoint
	default:
		b.failed(e, 0)
	}
	b.forget(e)
	if b.idle(e) {
		b.idlers = append(b.idlers, e)
	}
	b.serve()
	return b.acts
}

// AttemptEnded takes the outcome of an attempt.
func (b *Balancer) AttemptEnded(now time.Duration, o Outcome, out []Action) []Action {
	b.begin(now, out)
	r := b.requests[o.Request]
	if r == nil || o.Attempt < 0 || o.Attempt >= len(r.attempts) || !r.attempts[o.Attempt].out {
		return b.acts
	}
	a := &r.attempts[o.Attempt]
	b.wait(a, false)
	a.out, r.out, b.outs = false, r.out-1, b.outs-1
	b.learn(r, a, o)
	b.release(a.to)
	b.forget(a.to)
	switch {
	case o.RequestFinished, r.done:
		b.close(r)
	case r.out > 0: // another copy is still out
	case b.mayRetry(r):
		b.hold(r)
	default:
		b.finish(r)
	}
	b.serve()
	return b.acts
}

// mayRetry tells whether a request whose attempts have all failed may have another.
func (b *Balancer) mayRetry(r *request) bool {
	may := b.mayAdd(r) && (r.ran == nil || r.class.Semantics != Unsafe && b.retries >= 1 &&
		(r.class.MaxRetries == 0 || r.reruns < r.class.MaxRetries))
	if may && r.ran != nil {
		b.retries--
		r.reruns++
	}
	return may
}

// mayAdd tells whether the limits let a request have a further attempt now.
func (b *Balancer) mayAdd(r *request) bool {
	n, k := len(r.attempts), r.class
	return n < b.cfg.Limits.MaxAttempts && (n == 0 || !r.lost) && (k.MaxAttempts == 0 || n < k.MaxAttempts) &&
		(n == 0 || k.RetryStartWindow == 0 || b.now < r.arrived+k.RetryStartWindow)
}

func (b *Balancer) advance(r *request) {
	switch {
	case b.now >= r.useless:
		b.finish(r)
	case r.held && r.out == 0 && b.now >= r.startBy:
		b.lastChance(r)
	case !r.held && r.out == 1 && r.hedgeAt > 0 && b.now >= r.hedgeAt:
		if r.hedgeAt = 0; b.hedges >= 1 && b.mayAdd(r) {
			b.hold(r)
		}
	}
}

// lastChance draws an endpoint for a held request that would be late if held on, or ends it.
func (b *Balancer) lastChance(r *request) {
	if e := b.draw(r); e != nil && b.draws >= 1 {
		b.draws--
		b.send(r, e)
	} else {
		b.finish(r)
	}
}

// hold queues a request that wants an endpoint; serve finds one.
func (b *Balancer) hold(r *request) {
	if !r.held { // a hedge may wait already when the first copy fails; held twice, it outlived its answer
		r.held, r.heldAt = true, b.now
		b.held = append(b.held, r)
	}
	if r.out == 0 {
		if b.probing { // an idle endpoint, which it takes a probe to find, is worth a try however late
			r.startBy = max(r.startBy, b.now+probeWait)
		}
		if len(r.attempts) > 0 && r.class.RetryStartWindow > 0 { // it ends as soon as no attempt may begin
			r.startBy = min(r.startBy, r.arrived+r.class.RetryStartWindow)
		}
		if r.ran != nil && r.class.Semantics == Keyed { // and once its key may be forgotten
			r.startBy = min(r.startBy, followBy(r.class, r.ranAt))
		}
		b.wake(r, max(r.startBy, b.now+1))
	}
}

func (b *Balancer) unhold(r *request) {
	if r.held {
		r.held = false
		i := slices.Index(b.held, r)
		b.held = slices.Delete(b.held, i, i+1)
	}
}

// count counts a request of a class, forgetting old ones.
func (b *Balancer) count(class int) {
	b.classes[class].asked++
	for i := range b.classes {
		b.classes[i].asked, b.classes[i].served = b.classes[i].asked*classKeep, b.classes[i].served*classKeep
	}
}

// byValue orders the classes by what a server's time on a request earns: its worth to the whole, and for
// the class served worst its worth to that part of the goal. It guards dear requests in any shortage, and
// a class from starving; where all have capacity it decides nothing.
func (b *Balancer) byValue() []int {
	goal, total, worst := b.cfg.Objective, 1e-9, 0
	share := func(c int) float64 { return b.classes[c].served / math.Max(b.classes[c].asked, 1) }
	for c := range b.classes {
		total += b.classes[c].asked * b.cfg.Classes[c].Value
		if share(c) < share(worst) {
			worst = c
		}
	}
	value := func(c int) float64 {
		v := (goal.Overall + goal.WorstWindow + goal.Nines) * b.cfg.Classes[c].Value / total
		if c == worst {
			v += goal.WorstClass / math.Max(b.classes[c].asked, 1)
		}
		return v / b.classes[c].mean
	}
	slices.SortFunc(b.order, func(x, y int) int { return cmp.Or(cmp.Compare(value(y), value(x)), x-y) })
	return b.order
}

// serve sends held requests while there is an idle endpoint: by their class's value, then oldest first, as
// each has its turn then. Where the oldest has waited for long there is too little for all, and it is newest
// first: else all would be begun when they are nearly late.
func (b *Balancer) serve() {
	if len(b.held) == 0 {
		return
	}
	want := 0
search:
	for _, c := range b.byValue() {
		queue := b.queue(c)
		for _, r := range queue {
			if r.out > 0 && !b.mayAdd(r) { // a copy that waits, and may no longer begin
				b.unhold(r)
				continue
			} else if e := b.pick(r); e != nil {
				b.send(r, e)
				continue
			}
			want++
			b.full = true
			if !b.probing {
				break search
			}
		}
	}
	if want > 0 && b.probing && len(b.ready) > 0 {
		b.probe(want)
	} else if want > 0 && !b.probing {
		b.awaitSuspects()
	}
}

// queue returns the held requests of a class in the order in which they are served.
func (b *Balancer) queue(class int) []*request {
	b.turn = b.turn[:0]
	for _, r := range b.held {
		if r.Request.Class == class {
			b.turn = append(b.turn, r)
		}
	}
	if len(b.turn) > 1 {
		if r := b.turn[0]; b.now-r.heldAt > time.Duration(fairShare*float64(r.startBy-r.heldAt)) {
			slices.Reverse(b.turn)
		}
	}
	return b.turn
}

// awaitSuspects looks again as the next suspicion of an endpoint ends: where no probes come back, nothing
// else might happen until a held request is late.
func (b *Balancer) awaitSuspects() {
	next := time.Duration(math.MaxInt64)
	for _, set := range [2][]*endpoint{b.near, b.far} {
		for _, e := range set {
			if e.suspect > b.now {
				next = min(next, e.suspect)
			}
		}
	}
	if next < math.MaxInt64 && (b.serveAt <= b.now || next < b.serveAt) {
		b.serveAt = next
		b.timer(timerServe, 0, next-b.now)
	}
}

// pick finds an endpoint with a free core, of the fastest type, or nil.
func (b *Balancer) pick(r *request) *endpoint {
	if b.probing {
		return b.pickIdle(r)
	} else if b.blind && !b.room(r) {
		return nil
	}
	// Other zones when the own has no free core: traffic may have moved to one zone. Endpoints outside its
	// stretch only when all in it fail: otherwise own calls would tell nothing.
	sound := false
	for _, set := range [2][]*endpoint{b.near, b.far} {
		if e := b.pickFree(r, set, b.sizeSum); e != nil {
			return e
		}
		sound = sound || slices.ContainsFunc(set, func(e *endpoint) bool { return b.now >= e.suspect })
	}
	if sound {
		return nil
	}
	return b.pickFree(r, b.ready, b.sizeAll)
}

// room tells whether the congestion window has room for a call; below one call, calls are spaced out. It acts
// where so many sidecars share an endpoint that one call of each is too much, whatever jams it; AIMD: a call
// lost in silence cuts it, answers add to it while calls wait. Harm: it refuses if losses have other causes.
func (b *Balancer) room(r *request) bool {
	return float64(b.outs) < b.window && (b.window >= 1 || (b.now-b.rateAt).Seconds()*b.window >= b.usual(r))
}

// pickIdle takes an endpoint that a fresh report shows idle. One that has just come is fresh, however long
// the probe took: where calls are quicker than probes, none would ever be.
func (b *Balancer) pickIdle(r *request) *endpoint {
	fresh := seconds(freshShare * b.usual(r))
	b.idlers = slices.DeleteFunc(b.idlers, func(e *endpoint) bool {
		return !b.idle(e) || b.now-e.loadAt > fresh && b.now > e.heardAt
	})
	b.rng.Shuffle(len(b.idlers), func(i, j int) { b.idlers[i], b.idlers[j] = b.idlers[j], b.idlers[i] })
	best, most := (*endpoint)(nil), 0.0 // ties go to the first
	for _, e := range b.idlers {
		mu := b.typeOf(e)
		if !b.linked(e, b.now) {
			mu *= 1 - b.noLink
		}
		if mu > most && b.allowed(r, e) {
			best, most = e, mu
		}
	}
	return best
}

// probe asks some endpoints for their load, for as many held requests as want one.
func (b *Balancer) probe(want int) {
	// What sidecars without an idle endpoint may ask for together is bounded by the endpoints' number.
	slowest := slices.MaxFunc(b.classes, func(x, y latency) int { return cmp.Compare(x.mean, y.mean) })
	rate := probesPerCall * float64(len(b.ready)) / (float64(b.cfg.SidecarCount) * slowest.mean)
	b.probes = min(b.probes+rate*(b.now-b.probesAt).Seconds(), probesSaved)
	b.probesAt = b.now
	first := b.held[len(b.held)-1].arrived == b.now // the newest is last
	late := 0                                       // the oldest come first
	for late < len(b.probesOut) && b.now-b.probesOut[late].probedAt >= probeWait {
		late++
	}
	n := want - (len(b.probesOut) - late)
	for n = min(n, probesAtOnce*want-len(b.probesOut)); n > 0 && b.probes >= 1; n-- {
		e := b.sample(first, seconds(freshShare*slowest.mean))
		if e == nil {
			break
		}
		e.probing, e.probedAt = true, b.now
		b.probesOut = append(b.probesOut, e)
		b.probes--
		b.act(Action{Kind: Probe, Endpoint: e.ID})
	}
	wait := max(probeWait, seconds((1-b.probes)/rate))
	if b.serveAt <= b.now || b.serveAt > b.now+wait {
		b.serveAt = b.now + wait
		b.timer(timerServe, 0, wait)
	}
}

// idle tells whether an endpoint is known to be idle: as reported, and no own call since.
func (b *Balancer) idle(e *endpoint) bool {
	if !e.hasLoad || e.State != InService || e.load >= 0.5 {
		return false
	}
	return !slices.ContainsFunc(e.out, func(sent time.Duration) bool { return sent >= e.loadAt })
}

// sample draws an endpoint to probe, at first in its own zone, passing over suspects and, by ramp, cold ones.
// One that was just reported busy is believed to be so for as long as one found idle.
func (b *Balancer) sample(first bool, fresh time.Duration) *endpoint {
	var spare *endpoint
	set := b.ready
	if first && len(b.near) > 0 {
		set = b.near
	}
	b.links = slices.DeleteFunc(b.links, func(e *endpoint) bool {
		return !b.linked(e, b.now) || e.State != InService
	})
	for i := range sampleTries {
		e := set[b.rng.IntN(len(set))]
		if b.noLink > noLinkLeast && i < len(b.links) && b.rng.Float64() < b.noLink {
			e = b.links[b.rng.IntN(len(b.links))]
		}
		if e.probing || e.hasLoad && b.now-e.loadAt < fresh || b.rng.Float64() > b.ramp(e) {
			continue
		}
		if b.now < e.suspect {
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
	for i := range min(len(set), sampleTries) {
		e := set[(turn+i)%len(set)]
		if b.now < e.suspect || !b.allowed(r, e) {
			continue
		}
		mu, out := b.mu(e), float64(len(e.out))
		free := math.Max(b.share*mu, 1)
		if r.over {
			free *= overPart
		}
		if out-float64(e.callers) >= free || !b.warm(e, total) {
			continue
		}
		if speed := mu / (out + 1); speed > most {
			best, most = e, speed
		}
	}
	return best
}

// warm keeps this sidecar's sends to a cold endpoint to what the endpoint's part of its own rate is, by
// its size among all that the sidecar spreads its calls over. Its first call is due at a random moment of
// a first gap: sidecars told at once must not all call at once.
func (b *Balancer) warm(e *endpoint, total float64) bool {
	ramp := b.ramp(e)
	if ramp >= 1 {
		return true
	}
	gap := seconds(math.Min(total/(b.rate*b.size(e)*ramp), b.cfg.WarmupTime.Seconds()))
	if e.lastSent < e.StartedAt {
		e.lastSent = b.now - b.jitter(gap)
	}
	return b.now-e.lastSent >= gap
}

// draw draws a type by speed x share, then an endpoint in it uniformly: an endpoint by its type's
// speed, that is, from a sample where there are many.
func (b *Balancer) draw(r *request) *endpoint {
	set := b.ready
	if !b.probing {
		set = b.near
	}
	var drawn, spare *endpoint
	total, turn := 0.0, b.rng.Int()>>1
	for i := range min(len(set), sampleTries) {
		e := set[(turn+i)%len(set)]
		mu := b.typeOf(e) * b.ramp(e)
		switch {
		case !b.allowed(r, e):
		case b.now < e.suspect:
			spare = e
		default:
			if total += mu; b.rng.Float64()*total < mu {
				drawn = e
			}
		}
	}
	return cmp.Or(drawn, spare)
}

// typeOf is the speed of an endpoint's type: those within a factor of root two are one.
func (b *Balancer) typeOf(e *endpoint) float64 {
	return math.Exp2(math.Round(2*math.Log2(b.mu(e))) / 2)
}

// mu is an endpoint's speed: its size over what was learned of its slowness.
func (b *Balancer) mu(e *endpoint) float64 { return b.size(e) * math.Exp(-e.slow) }

// size is an endpoint's weight where that means size, else 1.
func (b *Balancer) size(e *endpoint) float64 {
	if b.cfg.WeightMeaning == WeightCapacity || b.cfg.WeightMeaning == WeightCapacityEstimate {
		return math.Max(e.Weight, 1e-3)
	}
	return 1
}

// ramp is the share of its capacity that an endpoint surely has since its start.
func (b *Balancer) ramp(e *endpoint) float64 {
	age := b.now - e.StartedAt
	if e.StartedAt == 0 || age >= b.cfg.WarmupTime {
		return 1
	}
	return b.cfg.ColdCapacityShare +
		(1-b.cfg.ColdCapacityShare)*math.Max(age.Seconds(), 0)/b.cfg.WarmupTime.Seconds()
}

// allowed tells whether the rules let a request go to an endpoint now.
func (b *Balancer) allowed(r *request, e *endpoint) bool {
	if e.State != InService || !b.mayAdd(r) || r.out > 0 && !b.mayCopy(r) {
		return false
	}
	for i := range r.attempts {
		a := &r.attempts[i]
		again := a.to == e && (a.out || b.elsewhere(r))
		if again || a.out && !b.mayFollow(r, a.to, a.sent, e) {
			return false
		}
	}
	return r.ran == nil || b.mayFollow(r, r.ran, r.ranAt, e)
}

// elsewhere tells whether a request may still go to a sound endpoint that it has not been sent to. In the
// group of a keyed one there may be no other.
func (b *Balancer) elsewhere(r *request) bool {
	return slices.ContainsFunc(b.ready, func(e *endpoint) bool {
		return b.now >= e.suspect && (r.ran == nil || b.mayFollow(r, r.ran, r.ranAt, e)) &&
			!slices.ContainsFunc(r.attempts, func(a attempt) bool { return a.to == e })
	})
}

// mayCopy tells whether a request may have a second copy out.
func (b *Balancer) mayCopy(r *request) bool {
	return b.cfg.Limits.Hedging && !r.class.NoHedging && !r.BodyArriving
}

// mayFollow tells whether a request that may run at first, sent then, may also go to e.
func (b *Balancer) mayFollow(r *request, first *endpoint, sent time.Duration, e *endpoint) bool {
	if r.class.Semantics != Keyed {
		return r.class.Semantics == Safe
	}
	scope := r.class.Scope
	return b.now < followBy(r.class, sent) && (scope == ScopeAll ||
		scope == ScopeZone && first.Zone == e.Zone || scope == ScopeCell && first.Cell == e.Cell)
}

// followBy is the time before which a repeat of a keyed request must go out whose attempt was sent at a time.
func followBy(c *Class, sent time.Duration) time.Duration {
	return sent + c.RepeatWindow - min(holdUp, c.RepeatWindow/2)
}

// beginBy is the time before which the next attempt of a request must go out, which may be later than it is
// decided on: a connection may have to come up. It is 0 where no other attempt may have run.
func (b *Balancer) beginBy(r *request) time.Duration {
	by := time.Duration(math.MaxInt64)
	if r.class.Semantics == Keyed && r.ran != nil {
		by = followBy(r.class, r.ranAt)
	}
	for i := range r.attempts {
		if a := &r.attempts[i]; a.out && r.class.Semantics == Keyed {
			by = min(by, followBy(r.class, a.sent))
		}
	}
	if by == math.MaxInt64 {
		return 0
	}
	return by
}

// send starts an attempt.
func (b *Balancer) send(r *request, e *endpoint) {
	b.unhold(r)
	by := b.beginBy(r)
	r.attempts = append(r.attempts, attempt{to: e, sent: b.now, out: true, idle: b.connect(e)})
	r.out++
	b.outs++
	e.out = append(e.out, b.now)
	b.wait(&r.attempts[len(r.attempts)-1], r.BodyArriving)
	e.lastSent = b.now
	b.rate = b.rate*math.Exp(-(b.now-b.rateAt).Seconds()/rateSpan) + 1/rateSpan
	b.rateAt = b.now
	b.act(Action{Kind: Send, Request: r.ID, Endpoint: e.ID, Deadline: r.useless, StartDeadline: by})
	if r.out > 1 {
		b.hedges--
	} else {
		b.armHedge(r)
	}
}

// armHedge sets when a request that has one attempt out is hedged, if it may be.
func (b *Balancer) armHedge(r *request) {
	if b.probing && b.mayCopy(r) && r.class.Semantics != Unsafe {
		c := &b.classes[r.Class]
		r.hedgeAt = b.now + seconds(c.mean+hedgeAfter*c.dev)
		if r.hedgeAt < r.useless {
			b.wake(r, r.hedgeAt)
		}
	}
}

// linked tells whether a connection to an endpoint was open at a time, as far as is known. While new ones
// fail or time out, linked endpoints are probed and taken first, by the share that fails: guards whatever
// makes connections slow, dear or scarce; it narrows the choice of idle endpoints for as long.
func (b *Balancer) linked(e *endpoint, at time.Duration) bool {
	return e.lastUsed > 0 && at-e.lastUsed < b.cfg.Limits.KeepAlive
}

// connect tells in steps how long the connection to an endpoint has been idle. If calls are lost after such
// a time, though not on connections in use, it closes the idle ones first: something drops them unseen.
// Guards silent and loud resets; where all calls are lost it does nothing; a wrong guess costs a handshake.
func (b *Balancer) connect(e *endpoint) int {
	idle := b.now - e.lastUsed
	k := min(bits.Len64(uint64(idle/staleStep)), len(b.stale)-1)
	if e.lastUsed == 0 || b.cfg.Limits.KeepAlive > 0 && idle > b.cfg.Limits.KeepAlive {
		return 0
	} else if b.isStale(k) {
		b.act(Action{Kind: CloseIdle, Endpoint: e.ID})
		return 0
	}
	return k
}

func (b *Balancer) isStale(k int) bool {
	return k > 0 && slices.Max(b.stale[1:k+1]) > math.Max(staleMost, 2*b.stale[0])
}

// connected notes whether a call was lost on a connection that had been idle for k steps.
func (b *Balancer) connected(k int, lost float64) {
	for i := range b.stale {
		b.stale[i] *= math.Exp(-(b.now - b.staleAt).Seconds() / staleFor)
	}
	b.staleAt = b.now
	b.stale[k] += staleGain * (lost - b.stale[k])
}

// learn takes what an outcome tells of its endpoint and class.
func (b *Balancer) learn(r *request, a *attempt, o Outcome) {
	e := a.to
	if fresh := !b.linked(e, a.sent); o.Result == ConnectFailed {
		b.noLink += linkGain * (1 - b.noLink)
	} else if fresh && o.Result == OK {
		b.noLink -= linkGain * b.noLink
	}
	if i := slices.Index(e.out, a.sent); i >= 0 {
		e.out = slices.Delete(e.out, i, i+1)
	}
	switch o.Result {
	case OK:
		if b.connected(a.idle, 0); !b.linked(e, b.now) && len(b.links) < sampleTries {
			b.links = append(b.links, e)
		}
		if len(b.held) > 0 {
			b.window += windowRise / math.Max(b.window, 1)
		}
		e.lastUsed = b.now
		e.fails, e.suspect = 0, 0
		took := max(o.Elapsed, 1).Seconds()
		c := &b.classes[r.Class]
		gain := math.Max(meanGain, 1/(c.n+2))
		c.n++
		if b.now <= r.goalAt {
			c.served++
		}
		c.dev += gain * (math.Abs(took-c.mean) - c.dev)
		c.mean += gain * (took - c.mean)
		x := math.Log(took / b.work(r))
		p := e.peers
		p.n++
		p.mean += math.Max(paceGain, 1/p.n) * (x - p.mean)
		e.slow += slowGain * (x - p.mean - e.slow)
		b.moveShare(x, math.Log(took/r.class.TargetLatency.Seconds()))
	case Rejected:
		b.failed(e, 0)
		b.moveShare(b.paceBest+rejectedPace, b.goalPace)
	case Error, ConnectFailed:
		b.failed(e, 0)
	case Timeout, Reset:
		if b.connected(a.idle, 1); b.probing || !b.isStale(a.idle) {
			b.failed(e, o.Elapsed)
			b.window = math.Max(math.Min(b.window, float64(b.outs+1))*windowCut, windowLeast)
		}
	}
	if o.Result != Rejected && o.Result != ConnectFailed && o.Result != NotSent {
		if r.ran == nil {
			r.ran, r.ranAt = e, a.sent
		}
		r.ranAt = min(r.ranAt, a.sent) // the endpoints' memory is of whichever ran first
	}
	if b.report(e, o.Load, b.now); b.idle(e) {
		b.idlers = append(b.idlers, e)
	}
}

// moveShare moves the share of free cores by how the pace of calls compares with the best: held
// requests crowd an endpoint long before it refuses, and a crowded one does less.
func (b *Balancer) moveShare(x, goal float64) {
	b.paceCount++
	b.paceN++
	gain := math.Max(paceGain, 1/float64(b.paceCount))
	b.pace += gain * (x - b.pace)
	b.goalPace += gain * (goal - b.goalPace)
	if b.paceCount < paceCalls {
		b.paceBest = b.pace
		return
	}
	b.paceBest = math.Min(b.paceBest+paceDrift, b.pace)
	if b.now < b.paceEnd || b.paceN < paceCalls {
		return
	}
	if b.pace > b.paceBest+crowded || b.goalPace > math.Log(goalShare) {
		// Less than one call would change nothing, and be slow to undo.
		b.share = max(b.share*shareCut, 1/b.muMost, sharesLeast/float64(b.cfg.SidecarCount))
	} else if b.full {
		b.share += shareRise
	}
	b.paceEnd, b.paceN, b.full = b.now+paceSpan, 0, false
}

// failed notes a failure: a fast failer must not look idle and fast. A call lost slowly counts for its time,
// as the next would be lost as slowly, and a jammed server recovers only if it is left alone.
func (b *Balancer) failed(e *endpoint, took time.Duration) {
	e.slow = math.Min(e.slow+failSlows, slowMost)
	wait := min(max(suspectFor, took)<<min(e.fails, 6), suspectMax)
	e.fails++
	e.suspect = b.now + wait/2 + b.jitter(wait)
	e.hasLoad = false
}

// report takes a load report that was asked for at the time asked.
func (b *Balancer) report(e *endpoint, load *Load, asked time.Duration) {
	if load != nil && load.InFlight >= 0 {
		e.load, e.loadAt, e.heardAt, e.hasLoad = load.InFlight, asked, b.now, true
	}
}

// usual is the usual time of a call of its class, in seconds.
func (b *Balancer) usual(r *request) float64 { return b.classes[r.Request.Class].mean }

// work is what a request is expected to take of a server in seconds: its hint, or else by its goal.
func (b *Balancer) work(r *request) float64 {
	if r.ExpectedWork > 0 {
		return r.ExpectedWork.Seconds()
	}
	return r.class.TargetLatency.Seconds() / 4
}

// finish gives the final answer of a request that was not served.
func (b *Balancer) finish(r *request) {
	harmless := r.class.Semantics == Safe || r.class.Semantics == Keyed && r.class.Scope == ScopeAll
	kind := Fail
	if harmless || r.ran == nil && r.out == 0 {
		kind = Shed
	}
	a := Action{Kind: kind, Request: r.ID}
	if kind == Shed {
		a.Delay = b.comeBack(r)
	}
	b.act(a)
	b.close(r)
}

// comeBack tells the client of a refused request when to come back: soon if a call can still be in time for
// it then, else as late as it heeds. A retry that comes too late takes an endpoint from one that does not.
func (b *Balancer) comeBack(r *request) time.Duration {
	if left := r.goalAt - b.now - seconds(b.usual(r)); left > 0 {
		return min(left/2, b.cfg.Limits.MaxRetryAfter)
	}
	return b.cfg.Limits.MaxRetryAfter
}

// close ends a request and withdraws its attempts; it is kept until they have ended.
func (b *Balancer) close(r *request) {
	r.done = true
	b.unhold(r)
	for i := range r.attempts {
		if a := &r.attempts[i]; a.out && !a.killed && b.cfg.Limits.Cancel {
			a.killed = true
			b.act(Action{Kind: Cancel, Request: r.ID, Attempt: i})
		}
	}
	if r.out == 0 {
		delete(b.requests, r.ID)
	}
}

func (b *Balancer) begin(now time.Duration, out []Action) { b.now, b.acts = now, out }

func (b *Balancer) act(a Action) { b.acts = append(b.acts, a) }

func (b *Balancer) wake(r *request, at time.Duration) { b.timer(timerRequest, uint64(r.ID), at-b.now) }

func (b *Balancer) timer(kind uint8, ref uint64, d time.Duration) {
	b.act(Action{Kind: SetTimer, Timer: Timer{kind, ref}, Delay: max(d, 1)})
}

func (b *Balancer) jitter(d time.Duration) time.Duration {
	return time.Duration(b.rng.Float64() * float64(d))
}
