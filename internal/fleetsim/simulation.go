package fleetsim

import (
	"container/heap"
	"math"
	"math/rand/v2"
	"time"

	"barleydrum.example/barleydrum/balance"
)

// simulation is the state of a run: a discrete-event simulation of a Config.
type simulation struct {
	cfg          *Config
	now          time.Duration // simulated time
	events       eventQueue
	lastSequence uint64 // sequence number of the event that was scheduled last
	sidecars     []*sidecar
	nodes        []*node
	result       Result

	// Random numbers of arrivals, of the requests' work and of the nodes' errors.
	arrivalRNG, workRNG, errorRNG *rand.Rand
}

// event is a scheduled function. Events that are due at the same time run in the
// order in which they were scheduled.
type event struct {
	dueAt    time.Duration // simulated time
	sequence uint64        // position in the order of scheduling
	run      func()
}

// eventQueue is a heap of events, the next one first. It implements [heap.Interface].
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

// schedule runs a function after a delay of simulated time; a negative delay counts
// as zero.
func (sim *simulation) schedule(delay time.Duration, run func()) {
	sim.lastSequence++
	heap.Push(&sim.events, event{sim.now + max(delay, 0), sim.lastSequence, run})
}

// step runs the next event and reports whether there was one.
func (sim *simulation) step() bool {
	if len(sim.events) == 0 {
		return false
	}
	e := heap.Pop(&sim.events).(event)
	sim.now = e.dueAt
	e.run()
	return true
}

// scheduleArrivals schedules the clients' requests until the simulated time end, one
// after the other. They are a Poisson process whose rate yields the offered load.
func (sim *simulation) scheduleArrivals(end time.Duration) {
	totalWeight, weightedWork, capacity := 0.0, 0.0, 0.0
	for _, k := range sim.cfg.Classes {
		totalWeight += k.TrafficWeight
		weightedWork += k.TrafficWeight * k.MeanWork.Seconds()
	}
	for _, n := range sim.cfg.Nodes {
		capacity += float64(n.Cores) * n.CoreSpeed
	}
	meanGapSeconds := weightedWork / totalWeight / (sim.cfg.OfferedLoad * capacity)
	var scheduleNext func()
	scheduleNext = func() {
		sim.schedule(time.Duration(sim.arrivalRNG.ExpFloat64()*meanGapSeconds*float64(time.Second)), func() {
			if sim.now < end {
				sim.startRequest()
				scheduleNext()
			}
		})
	}
	scheduleNext()
}

// startRequest starts a new request of a random class at a random sidecar.
func (sim *simulation) startRequest() {
	class := weightedIndex(sim.arrivalRNG, len(sim.cfg.Classes), func(i int) float64 { return sim.cfg.Classes[i].TrafficWeight })
	sidecarIndex := weightedIndex(sim.arrivalRNG, len(sim.cfg.Sidecars), func(i int) float64 { return sim.cfg.Sidecars[i].TrafficWeight })
	sim.result.Requests[class]++
	traffic := &sim.cfg.Classes[class]
	request := &clientRequest{
		class: class, startedAt: sim.now, sidecar: sim.sidecars[sidecarIndex],
		workSeconds: lognormal(sim.workRNG, traffic.MeanWork.Seconds(), traffic.WorkCV), downstreamSeconds: sim.workRNG.ExpFloat64() * traffic.MeanDownstreamWait.Seconds(),
	}
	sim.sendTry(request)
}

// weightedIndex returns a random index from 0 to n-1, each with a probability in
// proportion to its weight.
func weightedIndex(rng *rand.Rand, n int, weight func(int) float64) int {
	sum := 0.0
	for i := range n {
		sum += weight(i)
	}
	remaining := rng.Float64() * sum
	for i := range n - 1 {
		if remaining -= weight(i); remaining < 0 {
			return i
		}
	}
	return n - 1
}

// lognormal returns a lognormal random number with the given mean and coefficient of
// variation.
func lognormal(rng *rand.Rand, mean, cv float64) float64 {
	sigma := math.Sqrt(math.Log1p(cv * cv))
	return mean * math.Exp(sigma*rng.NormFloat64()-sigma*sigma/2)
}

// clientRequest is a client's request with all its tries. Each try goes to the same
// sidecar and takes the same work.
type clientRequest struct {
	class     int
	startedAt time.Duration // simulated time of the first try
	tries     int           // tries so far
	sidecar   *sidecar

	// workSeconds is the computing time on a core of speed 1. downstreamSeconds is the
	// wait for the tiers behind the node.
	workSeconds, downstreamSeconds float64
}

// sendTry sends a try of a request to its sidecar. The try's timeout ends at the
// deadline of the request at the latest.
func (sim *simulation) sendTry(request *clientRequest) {
	request.tries++
	sim.result.ClientTries++
	class := &sim.cfg.Balancer.Classes[request.class]
	timeout := class.Deadline
	if sim.cfg.Clients.TryTimeoutShare > 0 {
		timeout = time.Duration(float64(timeout) * sim.cfg.Clients.TryTimeoutShare)
	}
	request.sidecar.receive(request, min(timeout, request.startedAt+class.Deadline-sim.now))
}

// endTry handles the final response to a try. After a failure the client tries again
// after retryAfter, or after its own delay if that is 0. If the deadline of the
// request would have passed by then or no try is left, the request has failed.
func (sim *simulation) endTry(request *clientRequest, ok bool, retryAfter time.Duration) {
	class := &sim.cfg.Balancer.Classes[request.class]
	switch {
	case ok && sim.now <= request.startedAt+class.TargetLatency:
		sim.result.InTime[request.class]++
	case ok:
		sim.result.Late[request.class]++
	default:
		if retryAfter == 0 {
			retryAfter = sim.cfg.Clients.RetryDelay
		}
		if request.tries < max(sim.cfg.Clients.MaxTries, 1) && sim.now+retryAfter < request.startedAt+class.Deadline {
			sim.schedule(retryAfter, func() { sim.sendTry(request) })
			return
		}
		sim.result.Failed[request.class]++
	}
}

// sidecar is the running state of a Sidecar. It passes events to a real balancer and
// executes the balancer's actions, as package engine does over sockets.
type sidecar struct {
	sim           *simulation
	balancer      *balance.Balancer
	pending       map[balance.RequestID]*pendingTry
	lastRequestID balance.RequestID
	actions       []balance.Action // reused by dispatch
}

// pendingTry is a client's try at a sidecar. For the balancer it is a request of its own.
type pendingTry struct {
	request      *clientRequest
	responded    bool         // the client has its final response
	attemptCount int          // attempts sent so far; the number of the next one
	inFlight     map[int]*job // by attempt number
}

// receive accepts a client's try, which the client abandons after timeout.
func (s *sidecar) receive(request *clientRequest, timeout time.Duration) {
	s.lastRequestID++
	id := s.lastRequestID
	s.pending[id] = &pendingTry{request: request, inFlight: make(map[int]*job)}
	s.dispatch(func(actions []balance.Action) []balance.Action {
		return s.balancer.RequestArrived(s.sim.now, balance.Request{ID: id, Class: request.class, Timeout: timeout}, actions)
	})
}

// dispatch calls handle, which passes an event to the balancer, and executes the
// actions that it returns. Each action must only schedule events, so that dispatch
// is not entered again meanwhile.
func (s *sidecar) dispatch(handle func(actions []balance.Action) []balance.Action) {
	s.actions = handle(s.actions[:0])
	for i := range s.actions {
		s.execute(s.actions[i])
	}
}

// execute executes an action of the balancer.
func (s *sidecar) execute(action balance.Action) {
	sim := s.sim
	switch action.Kind {
	case balance.Send:
		s.sendAttempt(action)
	case balance.Cancel: // the node continues the work, but the sidecar does not wait for it
		if try := s.pending[action.Request]; try != nil && try.inFlight[action.Attempt] != nil {
			sim.schedule(0, func() { s.endAttempt(action.Request, action.Attempt, balance.Canceled, nil) })
		}
	case balance.Shed, balance.Fail:
		if try := s.pending[action.Request]; try != nil && !try.responded {
			try.responded = true
			sim.endTry(try.request, false, action.Delay)
			s.removeIfDone(action.Request)
		}
	case balance.SetTimer:
		sim.schedule(action.Delay, func() {
			s.dispatch(func(actions []balance.Action) []balance.Action {
				return s.balancer.TimerFired(sim.now, action.Timer, actions)
			})
		})
	case balance.Probe:
		target := sim.nodes[action.Endpoint-1]
		sim.schedule(sim.cfg.NetworkDelay, func() {
			report := target.loadReport()
			sim.schedule(sim.cfg.NetworkDelay, func() {
				s.dispatch(func(actions []balance.Action) []balance.Action {
					return s.balancer.ProbeEnded(sim.now, action.Endpoint, balance.OK, report, actions)
				})
			})
		})
	}
}

// sendAttempt sends an attempt to its node. The attempt ends with its response or a
// timeout at its deadline, whichever is first.
func (s *sidecar) sendAttempt(action balance.Action) {
	sim, try := s.sim, s.pending[action.Request]
	if try == nil {
		return
	}
	sim.result.Attempts++
	attempt := &job{sentAt: sim.now, remainingWorkSeconds: try.request.workSeconds, downstreamSeconds: try.request.downstreamSeconds, endpoint: action.Endpoint}
	attemptNumber := try.attemptCount
	try.inFlight[attemptNumber] = attempt
	try.attemptCount++
	attempt.onEnd = func(result balance.Result, load *balance.Load) {
		sim.schedule(sim.cfg.NetworkDelay, func() { s.endAttempt(action.Request, attemptNumber, result, load) })
	}
	sim.schedule(sim.cfg.NetworkDelay, func() { sim.nodes[action.Endpoint-1].accept(attempt) })
	sim.schedule(action.Deadline-sim.now, func() { s.endAttempt(action.Request, attemptNumber, balance.Timeout, nil) })
}

// endAttempt ends an attempt and reports it to the balancer. An attempt that has
// ended already is ignored. The load report may be nil.
func (s *sidecar) endAttempt(id balance.RequestID, attemptNumber int, result balance.Result, load *balance.Load) {
	try := s.pending[id]
	if try == nil || try.inFlight[attemptNumber] == nil {
		return
	}
	attempt := try.inFlight[attemptNumber]
	delete(try.inFlight, attemptNumber)
	if result == balance.OK && !try.responded {
		try.responded = true
		s.sim.endTry(try.request, true, 0)
	}
	outcome := balance.Outcome{
		Request: id, Attempt: attemptNumber, Endpoint: attempt.endpoint, Result: result, RequestFinished: try.responded, Elapsed: s.sim.now - attempt.sentAt,
	}
	if s.sim.cfg.Balancer.Reporting == balance.ReportsInResponse {
		outcome.Load = load
	}
	s.dispatch(func(actions []balance.Action) []balance.Action {
		return s.balancer.AttemptEnded(s.sim.now, outcome, actions)
	})
	s.removeIfDone(id)
}

// removeIfDone removes a try that has its final response and no attempt in flight.
func (s *sidecar) removeIfDone(id balance.RequestID) {
	if try := s.pending[id]; try != nil && try.responded && len(try.inFlight) == 0 {
		delete(s.pending, id)
	}
}
