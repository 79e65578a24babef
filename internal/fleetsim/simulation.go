package fleetsim

import (
	"container/heap"
	"math"
	"math/rand/v2"
	"time"

	"barleydrum.example/barleydrum/balance"
)

// simulation is a fleet in motion.
type simulation struct {
	cfg          *Config
	now          time.Duration
	events       eventQueue
	lastSequence uint64
	sidecars     []*sidecar
	nodes        []*node
	result       Result

	arrivalRNG, workRNG, errorRNG *rand.Rand
}

// event is something that happens. Of two at one time the one that was set first is first.
type event struct {
	dueAt    time.Duration
	sequence uint64
	run      func()
}

type eventQueue []event

func (e eventQueue) Len() int      { return len(e) }
func (e eventQueue) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e eventQueue) Less(i, j int) bool {
	return e[i].dueAt < e[j].dueAt || e[i].dueAt == e[j].dueAt && e[i].sequence < e[j].sequence
}
func (e *eventQueue) Push(x any) { *e = append(*e, x.(event)) }
func (e *eventQueue) Pop() any {
	last := len(*e) - 1
	x := (*e)[last]
	(*e)[last], *e = event{}, (*e)[:last]
	return x
}

// schedule has something happen later.
func (w *simulation) schedule(d time.Duration, do func()) {
	w.lastSequence++
	heap.Push(&w.events, event{w.now + max(d, 0), w.lastSequence, do})
}

// step lets the next event happen, and tells whether there was one.
func (w *simulation) step() bool {
	if len(w.events) == 0 {
		return false
	}
	e := heap.Pop(&w.events).(event)
	w.now = e.dueAt
	e.run()
	return true
}

// scheduleArrivals has requests come one by one until the end: a Poisson process whose rate makes the load.
func (w *simulation) scheduleArrivals(end time.Duration) {
	parts, work, cores := 0.0, 0.0, 0.0
	for _, k := range w.cfg.Classes {
		parts += k.TrafficWeight
		work += k.TrafficWeight * k.MeanWork.Seconds()
	}
	for _, n := range w.cfg.Nodes {
		cores += float64(n.Cores) * n.CoreSpeed
	}
	gap := work / parts / (w.cfg.OfferedLoad * cores)
	var next func()
	next = func() {
		w.schedule(time.Duration(w.arrivalRNG.ExpFloat64()*gap*float64(time.Second)), func() {
			if w.now < end {
				w.startRequest()
				next()
			}
		})
	}
	next()
}

// startRequest has a client send a request.
func (w *simulation) startRequest() {
	class := weightedIndex(w.arrivalRNG, len(w.cfg.Classes), func(i int) float64 { return w.cfg.Classes[i].TrafficWeight })
	by := weightedIndex(w.arrivalRNG, len(w.cfg.Sidecars), func(i int) float64 { return w.cfg.Sidecars[i].TrafficWeight })
	w.result.Requests[class]++
	k := &w.cfg.Classes[class]
	q := &clientRequest{
		class: class, startedAt: w.now, sidecar: w.sidecars[by],
		workSeconds: lognormal(w.workRNG, k.MeanWork.Seconds(), k.WorkCV), downstreamSeconds: w.workRNG.ExpFloat64() * k.MeanDownstreamWait.Seconds(),
	}
	w.sendTry(q)
}

// weightedIndex returns an index by its part of the sum of all parts.
func weightedIndex(rng *rand.Rand, n int, part func(int) float64) int {
	sum := 0.0
	for i := range n {
		sum += part(i)
	}
	at := rng.Float64() * sum
	for i := range n - 1 {
		if at -= part(i); at < 0 {
			return i
		}
	}
	return n - 1
}

func lognormal(rng *rand.Rand, mean, cv float64) float64 {
	s := math.Sqrt(math.Log1p(cv * cv))
	return mean * math.Exp(s*rng.NormFloat64()-s*s/2)
}

// clientRequest is what a client wants, over all its tries.
type clientRequest struct {
	class                          int
	startedAt                      time.Duration
	tries                          int
	sidecar                        *sidecar
	workSeconds, downstreamSeconds float64 // in seconds
}

// sendTry sends a request to its sidecar, as the client does each time.
func (w *simulation) sendTry(q *clientRequest) {
	q.tries++
	w.result.ClientTries++
	k := &w.cfg.Balancer.Classes[q.class]
	budget := k.Deadline
	if w.cfg.Clients.TryTimeoutShare > 0 {
		budget = time.Duration(float64(budget) * w.cfg.Clients.TryTimeoutShare)
	}
	q.sidecar.receive(q, min(budget, q.startedAt+k.Deadline-w.now))
}

// endTry takes a try's final answer. A client whose patience has not run out tries again.
func (w *simulation) endTry(q *clientRequest, ok bool, back time.Duration) {
	k := &w.cfg.Balancer.Classes[q.class]
	switch {
	case ok && w.now <= q.startedAt+k.TargetLatency:
		w.result.InTime[q.class]++
	case ok:
		w.result.Late[q.class]++
	default:
		if back == 0 {
			back = w.cfg.Clients.RetryDelay
		}
		if q.tries < max(w.cfg.Clients.MaxTries, 1) && w.now+back < q.startedAt+k.Deadline {
			w.schedule(back, func() { w.sendTry(q) })
			return
		}
		w.result.Failed[q.class]++
	}
}

// sidecar runs the decision module, as the engine does over sockets.
type sidecar struct {
	sim           *simulation
	balancer      *balance.Balancer
	pending       map[balance.RequestID]*pendingTry
	lastRequestID balance.RequestID
	actions       []balance.Action
}

// pendingTry is one try at a sidecar.
type pendingTry struct {
	request      *clientRequest
	responded    bool
	attemptCount int
	inFlight     map[int]*job
}

func (s *sidecar) receive(q *clientRequest, budget time.Duration) {
	s.lastRequestID++
	id := s.lastRequestID
	s.pending[id] = &pendingTry{request: q, inFlight: make(map[int]*job)}
	s.dispatch(func(acts []balance.Action) []balance.Action {
		return s.balancer.RequestArrived(s.sim.now, balance.Request{ID: id, Class: q.class, Timeout: budget}, acts)
	})
}

// dispatch gives the module an event and carries out what it says.
func (s *sidecar) dispatch(f func(acts []balance.Action) []balance.Action) {
	s.actions = f(s.actions[:0])
	for i := range s.actions {
		s.execute(s.actions[i])
	}
}

func (s *sidecar) execute(a balance.Action) {
	w := s.sim
	switch a.Kind {
	case balance.Send:
		s.sendAttempt(a)
	case balance.Cancel: // its work goes on, the sidecar does not wait for it
		if c := s.pending[a.Request]; c != nil && c.inFlight[a.Attempt] != nil {
			w.schedule(0, func() { s.endAttempt(a.Request, a.Attempt, balance.Canceled, nil) })
		}
	case balance.Shed, balance.Fail:
		if c := s.pending[a.Request]; c != nil && !c.responded {
			c.responded = true
			w.endTry(c.request, false, a.Delay)
			s.removeIfDone(a.Request)
		}
	case balance.SetTimer:
		w.schedule(a.Delay, func() {
			s.dispatch(func(acts []balance.Action) []balance.Action { return s.balancer.TimerFired(w.now, a.Timer, acts) })
		})
	case balance.Probe:
		n := w.nodes[a.Endpoint-1]
		w.schedule(w.cfg.NetworkDelay, func() {
			l := n.loadReport()
			w.schedule(w.cfg.NetworkDelay, func() {
				s.dispatch(func(acts []balance.Action) []balance.Action {
					return s.balancer.ProbeEnded(w.now, a.Endpoint, balance.OK, l, acts)
				})
			})
		})
	}
}

// sendAttempt sends an attempt, which is given up when its time is up.
func (s *sidecar) sendAttempt(a balance.Action) {
	w, c := s.sim, s.pending[a.Request]
	if c == nil {
		return
	}
	w.result.Attempts++
	j := &job{sentAt: w.now, remainingWorkSeconds: c.request.workSeconds, downstreamSeconds: c.request.downstreamSeconds, endpoint: a.Endpoint}
	n := c.attemptCount
	c.inFlight[n] = j
	c.attemptCount++
	j.onEnd = func(res balance.Result, load *balance.Load) {
		w.schedule(w.cfg.NetworkDelay, func() { s.endAttempt(a.Request, n, res, load) })
	}
	w.schedule(w.cfg.NetworkDelay, func() { w.nodes[a.Endpoint-1].accept(j) })
	w.schedule(a.Deadline-w.now, func() { s.endAttempt(a.Request, n, balance.Timeout, nil) })
}

// endAttempt takes the end of an attempt, unless it has ended before.
func (s *sidecar) endAttempt(id balance.RequestID, n int, res balance.Result, load *balance.Load) {
	c := s.pending[id]
	if c == nil || c.inFlight[n] == nil {
		return
	}
	j := c.inFlight[n]
	delete(c.inFlight, n)
	if res == balance.OK && !c.responded {
		c.responded = true
		s.sim.endTry(c.request, true, 0)
	}
	o := balance.Outcome{
		Request: id, Attempt: n, Endpoint: j.endpoint, Result: res, RequestFinished: c.responded, Elapsed: s.sim.now - j.sentAt,
	}
	if s.sim.cfg.Balancer.Reporting == balance.ReportsInResponse {
		o.Load = load
	}
	s.dispatch(func(acts []balance.Action) []balance.Action { return s.balancer.AttemptEnded(s.sim.now, o, acts) })
	s.removeIfDone(id)
}

func (s *sidecar) removeIfDone(id balance.RequestID) {
	if c := s.pending[id]; c != nil && c.responded && len(c.inFlight) == 0 {
		delete(s.pending, id)
	}
}
