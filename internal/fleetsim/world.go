package fleetsim

import (
	"container/heap"
	"math"
	"math/rand/v2"
	"time"

	"barleydrum.example/barleydrum/balance"
)

// world is a fleet in motion.
type world struct {
	cfg      *Config
	now      time.Duration
	events   events
	last     uint64
	sidecars []*sidecar
	nodes    []*node
	res      Result

	arrivals, works, errs *rand.Rand
}

// event is something that happens. Of two at one time the one that was set first is first.
type event struct {
	at time.Duration
	n  uint64
	do func()
}

type events []event

func (e events) Len() int      { return len(e) }
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].n < e[j].n
}
func (e *events) Push(x any) { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := len(*e) - 1
	x := (*e)[last]
	(*e)[last], *e = event{}, (*e)[:last]
	return x
}

// after has something happen later.
func (w *world) after(d time.Duration, do func()) {
	w.last++
	heap.Push(&w.events, event{w.now + max(d, 0), w.last, do})
}

// step lets the next event happen, and tells whether there was one.
func (w *world) step() bool {
	if len(w.events) == 0 {
		return false
	}
	e := heap.Pop(&w.events).(event)
	w.now = e.at
	e.do()
	return true
}

// arrive has requests come one by one until the end: a Poisson process whose rate makes the load.
func (w *world) arrive(end time.Duration) {
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
		w.after(time.Duration(w.arrivals.ExpFloat64()*gap*float64(time.Second)), func() {
			if w.now < end {
				w.ask()
				next()
			}
		})
	}
	next()
}

// ask has a client send a request.
func (w *world) ask() {
	class := draw(w.arrivals, len(w.cfg.Classes), func(i int) float64 { return w.cfg.Classes[i].TrafficWeight })
	by := draw(w.arrivals, len(w.cfg.Sidecars), func(i int) float64 { return w.cfg.Sidecars[i].TrafficWeight })
	w.res.Requests[class]++
	k := &w.cfg.Classes[class]
	q := &request{
		class: class, asked: w.now, sidecar: w.sidecars[by],
		work: lognormal(w.works, k.MeanWork.Seconds(), k.WorkCV), wait: w.works.ExpFloat64() * k.MeanDownstreamWait.Seconds(),
	}
	w.try(q)
}

// draw returns an index by its part of the sum of all parts.
func draw(rng *rand.Rand, n int, part func(int) float64) int {
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

// request is what a client wants, over all its tries.
type request struct {
	class      int
	asked      time.Duration
	tries      int
	sidecar    *sidecar
	work, wait float64 // in seconds
}

// try sends a request to its sidecar, as the client does each time.
func (w *world) try(q *request) {
	q.tries++
	w.res.ClientTries++
	k := &w.cfg.Balancer.Classes[q.class]
	budget := k.Deadline
	if w.cfg.Clients.TryTimeoutShare > 0 {
		budget = time.Duration(float64(budget) * w.cfg.Clients.TryTimeoutShare)
	}
	q.sidecar.take(q, min(budget, q.asked+k.Deadline-w.now))
}

// answered takes a try's final answer. A client whose patience has not run out tries again.
func (w *world) answered(q *request, ok bool, back time.Duration) {
	k := &w.cfg.Balancer.Classes[q.class]
	switch {
	case ok && w.now <= q.asked+k.TargetLatency:
		w.res.InTime[q.class]++
	case ok:
		w.res.Late[q.class]++
	default:
		if back == 0 {
			back = w.cfg.Clients.RetryDelay
		}
		if q.tries < max(w.cfg.Clients.MaxTries, 1) && w.now+back < q.asked+k.Deadline {
			w.after(back, func() { w.try(q) })
			return
		}
		w.res.Failed[q.class]++
	}
}

// sidecar runs the decision module, as the engine does over sockets.
type sidecar struct {
	w     *world
	b     *balance.Balancer
	calls map[balance.RequestID]*call
	last  balance.RequestID
	acts  []balance.Action
}

// call is one try at a sidecar.
type call struct {
	q        *request
	answered bool
	sent     int
	out      map[int]*job
}

func (s *sidecar) take(q *request, budget time.Duration) {
	s.last++
	id := s.last
	s.calls[id] = &call{q: q, out: make(map[int]*job)}
	s.event(func(acts []balance.Action) []balance.Action {
		return s.b.RequestArrived(s.w.now, balance.Request{ID: id, Class: q.class, Timeout: budget}, acts)
	})
}

// event gives the module an event and carries out what it says.
func (s *sidecar) event(f func(acts []balance.Action) []balance.Action) {
	s.acts = f(s.acts[:0])
	for i := range s.acts {
		s.act(s.acts[i])
	}
}

func (s *sidecar) act(a balance.Action) {
	w := s.w
	switch a.Kind {
	case balance.Send:
		s.send(a)
	case balance.Cancel: // its work goes on, the sidecar does not wait for it
		if c := s.calls[a.Request]; c != nil && c.out[a.Attempt] != nil {
			w.after(0, func() { s.ended(a.Request, a.Attempt, balance.Canceled, nil) })
		}
	case balance.Shed, balance.Fail:
		if c := s.calls[a.Request]; c != nil && !c.answered {
			c.answered = true
			w.answered(c.q, false, a.Delay)
			s.forget(a.Request)
		}
	case balance.SetTimer:
		w.after(a.Delay, func() {
			s.event(func(acts []balance.Action) []balance.Action { return s.b.TimerFired(w.now, a.Timer, acts) })
		})
	case balance.Probe:
		n := w.nodes[a.Endpoint-1]
		w.after(w.cfg.NetworkDelay, func() {
			l := n.load()
			w.after(w.cfg.NetworkDelay, func() {
				s.event(func(acts []balance.Action) []balance.Action {
					return s.b.ProbeEnded(w.now, a.Endpoint, balance.OK, l, acts)
				})
			})
		})
	}
}

// send sends an attempt, which is given up when its time is up.
func (s *sidecar) send(a balance.Action) {
	w, c := s.w, s.calls[a.Request]
	if c == nil {
		return
	}
	w.res.Attempts++
	j := &job{began: w.now, work: c.q.work, wait: c.q.wait, to: a.Endpoint}
	n := c.sent
	c.out[n] = j
	c.sent++
	j.done = func(res balance.Result, load *balance.Load) {
		w.after(w.cfg.NetworkDelay, func() { s.ended(a.Request, n, res, load) })
	}
	w.after(w.cfg.NetworkDelay, func() { w.nodes[a.Endpoint-1].take(j) })
	w.after(a.Deadline-w.now, func() { s.ended(a.Request, n, balance.Timeout, nil) })
}

// ended takes the end of an attempt, unless it has ended before.
func (s *sidecar) ended(id balance.RequestID, n int, res balance.Result, load *balance.Load) {
	c := s.calls[id]
	if c == nil || c.out[n] == nil {
		return
	}
	j := c.out[n]
	delete(c.out, n)
	if res == balance.OK && !c.answered {
		c.answered = true
		s.w.answered(c.q, true, 0)
	}
	o := balance.Outcome{
		Request: id, Attempt: n, Endpoint: j.to, Result: res, RequestFinished: c.answered, Elapsed: s.w.now - j.began,
	}
	if s.w.cfg.Balancer.Reporting == balance.ReportsInResponse {
		o.Load = load
	}
	s.event(func(acts []balance.Action) []balance.Action { return s.b.AttemptEnded(s.w.now, o, acts) })
	s.forget(id)
}

func (s *sidecar) forget(id balance.RequestID) {
	if c := s.calls[id]; c != nil && c.answered && len(c.out) == 0 {
		delete(s.calls, id)
	}
}
