package engine

import (
	"net/http"
	"time"

	"barleydrum.example/barleydrum/balance"
	"barleydrum.example/barleydrum/internal/body"
	"barleydrum.example/barleydrum/internal/http1"
	"barleydrum.example/barleydrum/internal/retry"
	"barleydrum.example/barleydrum/internal/upstream"
)

// Call is a request, until its last attempt has ended. The goroutine that serves it carries the
// first attempt itself, and every later one that begins while it has nothing else to carry.
type Call struct {
	balance.Request // but for its ID

	Name  string         // the request's id, for whoever made the call
	Head  *http1.Request // and the body need hold until Serve returns
	Body  []byte
	Flow  *body.Body // in place of Body, for one that is still arriving; to be closed before Done
	Size  int64      // of Flow, -1 where it is not known
	Until time.Time  // its caller's time is up

	// CallerGone tells whether the caller has gone, nil where it can't be asked. Any goroutine may call it.
	CallerGone func() bool

	engine *Engine
	last   time.Duration // Until on the module's clock

	// Under Engine.mu.
	answered bool
	final    Final
	attempts []*attempt
	out      int
	next     *attempt // for its goroutine to carry
	inline   *attempt // that it carries
	waiting  bool     // its goroutine waits for wake
	flowing  *attempt // whose answer flows
	gate     retry.Gate

	wake  chan struct{}
	timer *time.Timer
	first attempt // most calls need no other
	few   [2]*attempt
}

// Final is a final answer: served, refused, or neither: failed.
type Final struct {
	Served     *upstream.Exchange // whose answer it is, until Done; nil if it was not served
	Flows      bool               // the answer is to be had by Served.Next
	Refused    bool               // trying again is harmless
	RetryAfter time.Duration      // when to come back, 0 for no advice
}

// attempt is one sending of a call.
type attempt struct {
	upstream.Exchange
	call     *Call
	n        int
	id       balance.EndpointID
	endpoint *endpoint
	slot     int           // in endpoint.out
	began    time.Duration // on the module's clock
	took     time.Duration // until its answer began to flow, 0 for not yet
}

// NewCall returns a call to be filled in. Done is owed.
func (e *Engine) NewCall() *Call {
	c, ok := e.spent.Get().(*Call)
	if !ok {
		c = &Call{wake: make(chan struct{}, 1), timer: time.NewTimer(time.Hour)}
		c.timer.Stop()
	}
	c.engine = e
	return c
}

// Done takes a call back whose final answer, if it has one, has been passed on. One that flows
// ends here, if it has not ended.
func (e *Engine) Done(c *Call) {
	if x := c.flowing; x != nil {
		x.Abort()
		e.ended(x)
	}
	if c.final.Served != nil {
		c.final.Served.Done()
	}
	e.mu.Lock()
	out := c.out
	e.mu.Unlock()
	if out > 0 {
		return // its attempts still point to it
	}
	select {
	case <-c.wake:
	default:
	}
	c.Request, c.Name, c.Head, c.Body, c.Until = balance.Request{}, "", nil, nil, time.Time{}
	c.Flow, c.Size, c.flowing, c.CallerGone = nil, 0, nil, nil
	c.engine, c.answered, c.final, c.next, c.inline, c.waiting = nil, false, Final{}, nil, nil, false
	c.attempts, c.few = nil, [2]*attempt{}
	c.first.call, c.first.endpoint = nil, nil
	e.spent.Put(c)
}

// callerGone is asked right before an attempt goes out.
func (c *Call) callerGone() bool {
	if !c.CallerGone() {
		return false
	}
	c.Leave()
	return true
}

// Leave tells the engine that the caller has gone, see door.Leaver.
func (c *Call) Leave() { c.engine.abandon(c, "the caller has gone") }

// Serve hands a call to the balancer and returns its final answer. gone tells that the caller
// has gone by now; Leave tells it later.
func (e *Engine) Serve(c *Call, gone bool) Final {
	x, answered := e.begin(c, gone)
	for !answered {
		if x == nil {
			x, answered = e.wait(c)
			continue
		}
		p := upstream.Unsent
		for p == upstream.Unsent && x.Ready() {
			p = x.Run()
		}
		it := x
		switch p {
		case upstream.Over:
			x, answered = e.ended(x)
		case upstream.Flowing:
			x, answered = e.flow(x)
		case upstream.Unsent: // a connection that has to come up is waited for elsewhere
			x, answered = e.free(c)
			go e.carry(it)
		case upstream.Interrupted: // there is an answer, and this attempt is to go on beside it
			x, answered = e.free(c)
			go e.goOn(it)
		}
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	return c.final
}

// begin hands a call to the balancer. It returns the attempt to carry, or nil for none yet, and
// whether the call has been answered.
func (e *Engine) begin(c *Call, gone bool) (next *attempt, answered bool) {
	e.mu.Lock()
	defer e.mu.Unlock() // the door outlives a panic, which must not leave the lock taken
	if gone || c.answered {
		c.answered = true
		return nil, true
	}
	if left := c.Until.Sub(e.endBy); !e.endBy.IsZero() && left > 0 {
		c.Until = e.endBy
		c.Budget -= left
	}
	c.attempts = c.few[:0]
	c.last = e.epoch + c.Until.Sub(e.origin)
	if c.Flow != nil {
		k := &e.cfg.Module.Classes[c.Class]
		c.gate.Reset(k.Semantics, k.RepeatWindow)
	}
	e.last++
	c.ID = e.last
	e.calls[c.ID] = c
	e.event(func(now time.Duration, acts []balance.Action) []balance.Action {
		return e.balancer.Request(now, c.Request, acts)
	})
	return e.poll(c)
}

// poll returns what the goroutine of a call is to do next. It holds the lock.
func (e *Engine) poll(c *Call) (next *attempt, answered bool) {
	c.inline = c.next
	c.next = nil
	c.waiting = c.inline == nil && !c.answered
	return c.inline, c.answered
}

// free has the goroutine of a call carry nothing any more.
func (e *Engine) free(c *Call) (next *attempt, answered bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.poll(c)
}

// wait waits for something to do, or until the caller's time is up: then the call has failed.
func (e *Engine) wait(c *Call) (next *attempt, answered bool) {
	c.timer.Reset(time.Until(c.Until))
	select {
	case <-c.wake:
		c.timer.Stop()
	case <-c.timer.C:
		e.abandon(c, "its time is up")
	}
	return e.free(c)
}

// abandon ends a call whose caller has gone or whose time is up, unless it has its answer.
func (e *Engine) abandon(c *Call, why string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.abandonLocked(c, why)
}

// abandonLocked is abandon for a caller that holds the lock.
func (e *Engine) abandonLocked(c *Call, why string) {
	if c.answered {
		return
	}
	if c.ID == 0 { // it has not begun, and won't
		c.answered = true
		return
	}
	e.answer(c, Final{}, why)
	e.event(func(now time.Duration, acts []balance.Action) []balance.Action {
		return e.balancer.Abandoned(now, c.ID, acts)
	})
}

// answer gives a call its final answer, unless it has one. What waits to go out does not go
// out any more.
func (e *Engine) answer(c *Call, f Final, decidedBy string) {
	if c == nil || c.answered {
		return
	}
	logAnswer(c, &f, decidedBy)
	c.answered, c.final = true, f
	for _, x := range c.attempts {
		x.Leave()
	}
	if x := c.next; x != nil {
		c.next = nil
		go e.carry(x)
	}
	if c.inline != nil {
		c.inline.Interrupt()
	}
	e.rouse(c)
	e.forget(c)
}

// rouse has the goroutine of a call look for what to do, if it waits.
func (e *Engine) rouse(c *Call) {
	if c.waiting {
		c.waiting = false
		c.wake <- struct{}{}
	}
}

// forget drops a call that nothing more can come of.
func (e *Engine) forget(c *Call) {
	if c.answered && c.out == 0 {
		delete(e.calls, c.ID)
	}
}

// send starts an attempt.
func (e *Engine) send(a *balance.Action) {
	c, to := e.calls[a.Request], e.endpoints[a.Endpoint]
	if c == nil || to == nil {
		return
	}
	x := &c.first
	if len(c.attempts) > 0 {
		x = new(attempt)
	}
	x.call, x.n, x.id, x.endpoint, x.began, x.took = c, len(c.attempts), a.Endpoint, to, e.at, 0
	c.attempts = append(c.attempts, x)
	c.out++
	to.uses++
	x.slot = len(to.out)
	to.out = append(to.out, x)
	until := min(a.Until, c.last)
	x.Begin(e.pool, to.route, e.on(until), func(b []byte) ([]byte, int) {
		if c.answered {
			return b, 0
		}
		return appendRequest(b, c)
	})
	if c.CallerGone != nil {
		x.Unless(c.callerGone)
	}
	if a.BeginBy > 0 {
		x.BeginBy(e.on(a.BeginBy))
	}
	if c.Flow != nil {
		n := x.n
		x.Upload(c.Flow, c.Size, func() bool { return c.gate.Last(n, e.now()) })
	}
	logSend(x)
	switch {
	case c.answered || to.left:
		x.Leave()
		go e.carry(x)
	case c.Flow != nil: // its caller's goroutine waits for what comes first
		go e.carry(x)
	case c.next == nil && c.inline == nil:
		c.next = x
		e.rouse(c)
	default:
		go e.carry(x)
	}
}

// carry carries an attempt in a goroutine of its own.
func (e *Engine) carry(x *attempt) {
	if x.Carry() {
		e.flow(x)
	} else {
		e.ended(x)
	}
}

// goOn goes on with an attempt that was interrupted.
func (e *Engine) goOn(x *attempt) {
	p := x.Run()
	for p == upstream.Interrupted {
		p = x.Run()
	}
	if p == upstream.Flowing {
		e.flow(x)
	} else {
		e.ended(x)
	}
}

// flow takes an answer that has begun and is passed on as it comes: it is the call's, and there
// is no other from now on. Whoever serves the call carries it on.
func (e *Engine) flow(x *attempt) (next *attempt, answered bool) {
	e.mu.Lock()
	c := x.call
	if c.answered {
		e.mu.Unlock()
		x.Abort()
		return e.ended(x)
	}
	defer e.mu.Unlock()
	if c.inline == x {
		c.inline = nil
	}
	now := e.now()
	x.took = e.elapsed(x, now)
	x.Extend(c.Until)
	c.flowing = x
	e.answer(c, Final{Served: &x.Exchange, Flows: true}, "an attempt")
	e.eventAt(now, func(now time.Duration, acts []balance.Action) []balance.Action {
		return e.balancer.Head(now, c.ID, x.n, acts)
	})
	return e.poll(c)
}

// elapsed is how long an endpoint has taken over an attempt. While its request's body was still
// arriving it waited for the caller.
func (e *Engine) elapsed(x *attempt, now time.Duration) time.Duration {
	if x.took > 0 {
		return x.took
	}
	began := x.began
	if x.call.Flow != nil {
		if at := x.Whole(); !at.IsZero() {
			began = max(began, e.epoch+at.Sub(e.origin))
		}
	}
	return max(now-began, 1)
}

// Whole tells that the body of a call has come whole that was still arriving.
func (c *Call) Whole() { c.engine.arrived(c, balance.BodyWhole) }

// Lost tells that it is kept no longer: no further attempt can have it.
func (c *Call) Lost() { c.engine.arrived(c, balance.BodyLost) }

func (e *Engine) arrived(c *Call, s balance.BodyState) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if c.answered {
		return
	}
	if c.ID == 0 { // it has not begun
		c.Arriving = c.Arriving && s != balance.BodyWhole
		return
	}
	e.event(func(now time.Duration, acts []balance.Action) []balance.Action {
		return e.balancer.Body(now, c.ID, s, acts)
	})
}

// ended takes what came of an attempt, and returns what the goroutine of the call is to do if
// that has carried it. The first OK is the call's answer.
func (e *Engine) ended(x *attempt) (next *attempt, answered bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	c := x.call
	own := c.inline == x
	if own {
		c.inline = nil
	}
	c.out--
	result := x.Result()
	if c.Flow != nil && retry.NeverRan(result) {
		c.gate.Unrun(x.n)
	}
	if result == balance.OK {
		if !c.answered {
			e.answer(c, Final{Served: &x.Exchange}, "an attempt")
		} else {
			x.Done()
		}
	}
	now := e.now()
	o := balance.Outcome{
		Request: c.ID, Attempt: x.n, Endpoint: x.id, Result: result, Closed: c.answered,
		Elapsed: e.elapsed(x, now), Load: x.Load(),
	}
	logEnd(x, &o)
	e.eventAt(now, func(now time.Duration, acts []balance.Action) []balance.Action {
		return e.balancer.Ended(now, o, acts)
	})
	e.forget(c)
	to := x.endpoint
	last := len(to.out) - 1
	to.out[x.slot] = to.out[last]
	to.out[x.slot].slot = x.slot
	to.out[last], to.out = nil, to.out[:last]
	e.unuse(x.id, to)
	if own {
		return e.poll(c)
	}
	return nil, false
}

// appendRequest appends a call's request as it goes to an endpoint, and returns where the value of
// X-Timeout belongs. What is not the protocol's own goes on as it came; the body is framed anew.
func appendRequest(b []byte, c *Call) (text []byte, timeoutAt int) {
	r := c.Head
	b = http1.AppendRequestLine(b, r.Method(), r.Target())
	for i := range r.Len() {
		if f := r.Field(i); !http1.Is(f.Name, "X-Timeout") && r.EndToEnd(f.Name) {
			b = http1.AppendParsed(b, f)
		}
	}
	switch {
	case c.Flow != nil && c.Size < 0:
		b = http1.AppendCoding(b)
	case c.Flow != nil:
		b = http1.AppendLength(b, c.Size)
	case len(c.Body) > 0 || string(r.Method()) != http.MethodGet:
		b = http1.AppendLength(b, int64(len(c.Body)))
	}
	b = append(b, "X-Timeout: "...)
	timeoutAt = len(b)
	b = http1.AppendEnd(append(b, "\r\n"...))
	if c.Flow == nil {
		b = append(b, c.Body...)
	}
	return b, timeoutAt
}
