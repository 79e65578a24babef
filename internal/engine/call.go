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

	CallerRequestID    string         // the request's id, for whoever made the call
	Head               *http1.Request // and the body need hold until Serve returns
	Body               []byte
	StreamedBody       *body.Body // in place of Body, for one that is still arriving; to be closed before Done
	StreamedBodyLength int64      // of Flow, -1 where it is not known
	Deadline           time.Time  // its caller's time is up

	// CallerDisconnected tells whether the caller has gone, nil where it can't be asked. Any goroutine may call it.
	CallerDisconnected func() bool

	engine *Engine
	last   time.Duration // Until on the module's clock

	// Under Engine.mu.
	answered bool
	final    FinalResult
	attempts []*attempt
	out      int
	next     *attempt // for its goroutine to carry
	inline   *attempt // that it carries
	waiting  bool     // its goroutine waits for wake
	flowing  *attempt // whose answer flows
	gate     retry.CompletionGate

	wake  chan struct{}
	timer *time.Timer
	first attempt // most calls need no other
	few   [2]*attempt
}

// FinalResult is a final answer: served, refused, or neither: failed.
type FinalResult struct {
	ServedBy   *upstream.Exchange // whose answer it is, until Done; nil if it was not served
	Streaming  bool               // the answer is to be had by Served.Next
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

// ReleaseCall takes a call back whose final answer, if it has one, has been passed on. One that flows
// ends here, if it has not ended.
func (e *Engine) ReleaseCall(c *Call) {
	if x := c.flowing; x != nil {
		x.AbortStream()
		e.ended(x)
	}
	if c.final.ServedBy != nil {
		c.final.ServedBy.Release()
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
	c.Request, c.CallerRequestID, c.Head, c.Body, c.Deadline = balance.Request{}, "", nil, nil, time.Time{}
	c.StreamedBody, c.StreamedBodyLength, c.flowing, c.CallerDisconnected = nil, 0, nil, nil
	c.engine, c.answered, c.final, c.next, c.inline, c.waiting = nil, false, FinalResult{}, nil, nil, false
	c.attempts, c.few = nil, [2]*attempt{}
	c.first.call, c.first.endpoint = nil, nil
	e.spent.Put(c)
}

// cancelIfDisconnected is asked right before an attempt goes out.
func (c *Call) cancelIfDisconnected() bool {
	if !c.CallerDisconnected() {
		return false
	}
	c.Cancel()
	return true
}

// Cancel tells the engine that the caller has gone, see door.Leaver.
func (c *Call) Cancel() { c.engine.abandon(c, "the caller has gone") }

// Serve hands a call to the balancer and returns its final answer. gone tells that the caller
// has gone by now; Leave tells it later.
func (e *Engine) Serve(c *Call, gone bool) FinalResult {
	x, answered := e.begin(c, gone)
	for !answered {
		if x == nil {
			x, answered = e.wait(c)
			continue
		}
		p := upstream.NeedsConnection
		for p == upstream.NeedsConnection && x.TakeIdleConn() {
			p = x.Run()
		}
		it := x
		switch p {
		case upstream.Ended:
			x, answered = e.ended(x)
		case upstream.Streaming:
			x, answered = e.flow(x)
		case upstream.NeedsConnection: // a connection that has to come up is waited for elsewhere
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
	if left := c.Deadline.Sub(e.shutdownDeadline); !e.shutdownDeadline.IsZero() && left > 0 {
		c.Deadline = e.shutdownDeadline
		c.Timeout -= left
	}
	c.attempts = c.few[:0]
	c.last = e.epoch + c.Deadline.Sub(e.origin)
	if c.StreamedBody != nil {
		k := &e.cfg.BalancerConfig.Classes[c.Class]
		c.gate.Reset(k.Semantics, k.RepeatWindow)
	}
	e.last++
	c.ID = e.last
	e.calls[c.ID] = c
	e.event(func(now time.Duration, acts []balance.Action) []balance.Action {
		return e.balancer.RequestArrived(now, c.Request, acts)
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
	c.timer.Reset(time.Until(c.Deadline))
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
	e.answer(c, FinalResult{}, why)
	e.event(func(now time.Duration, acts []balance.Action) []balance.Action {
		return e.balancer.RequestAbandoned(now, c.ID, acts)
	})
}

// answer gives a call its final answer, unless it has one. What waits to go out does not go
// out any more.
func (e *Engine) answer(c *Call, f FinalResult, decidedBy string) {
	if c == nil || c.answered {
		return
	}
	logAnswer(c, &f, decidedBy)
	c.answered, c.final = true, f
	for _, x := range c.attempts {
		x.CancelUnsent()
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
	until := min(a.Deadline, c.last)
	x.Prepare(e.pool, to.route, e.on(until), func(b []byte) ([]byte, int) {
		if c.answered {
			return b, 0
		}
		return appendRequest(b, c)
	})
	if c.CallerDisconnected != nil {
		x.SkipSendIf(c.cancelIfDisconnected)
	}
	if a.StartDeadline > 0 {
		x.SetStartDeadline(e.on(a.StartDeadline))
	}
	if c.StreamedBody != nil {
		n := x.n
		x.SetStreamedBody(c.StreamedBody, c.StreamedBodyLength, func() bool { return c.gate.TryComplete(n, e.now()) })
	}
	logSend(x)
	switch {
	case c.answered || to.left:
		x.CancelUnsent()
		go e.carry(x)
	case c.StreamedBody != nil: // its caller's goroutine waits for what comes first
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
	if x.ConnectAndRun() {
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
	if p == upstream.Streaming {
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
		x.AbortStream()
		return e.ended(x)
	}
	defer e.mu.Unlock()
	if c.inline == x {
		c.inline = nil
	}
	now := e.now()
	x.took = e.elapsed(x, now)
	x.ExtendDeadline(c.Deadline)
	c.flowing = x
	e.answer(c, FinalResult{ServedBy: &x.Exchange, Streaming: true}, "an attempt")
	e.eventAt(now, func(now time.Duration, acts []balance.Action) []balance.Action {
		return e.balancer.ResponseStarted(now, c.ID, x.n, acts)
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
	if x.call.StreamedBody != nil {
		if at := x.BodySentAt(); !at.IsZero() {
			began = max(began, e.epoch+at.Sub(e.origin))
		}
	}
	return max(now-began, 1)
}

// MarkBodyComplete tells that the body of a call has come whole that was still arriving.
func (c *Call) MarkBodyComplete() { c.engine.arrived(c, balance.BodyComplete) }

// MarkBodyUnavailable tells that it is kept no longer: no further attempt can have it.
func (c *Call) MarkBodyUnavailable() { c.engine.arrived(c, balance.BodyUnavailable) }

func (e *Engine) arrived(c *Call, s balance.BodyState) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if c.answered {
		return
	}
	if c.ID == 0 { // it has not begun
		c.BodyArriving = c.BodyArriving && s != balance.BodyComplete
		return
	}
	e.event(func(now time.Duration, acts []balance.Action) []balance.Action {
		return e.balancer.BodyStateChanged(now, c.ID, s, acts)
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
	if c.StreamedBody != nil && retry.NeverExecuted(result) {
		c.gate.MarkNotExecuted(x.n)
	}
	if result == balance.OK {
		if !c.answered {
			e.answer(c, FinalResult{ServedBy: &x.Exchange}, "an attempt")
		} else {
			x.Release()
		}
	}
	now := e.now()
	o := balance.Outcome{
		Request: c.ID, Attempt: x.n, Endpoint: x.id, Result: result, RequestFinished: c.answered,
		Elapsed: e.elapsed(x, now), Load: x.LoadReport(),
	}
	logEnd(x, &o)
	e.eventAt(now, func(now time.Duration, acts []balance.Action) []balance.Action {
		return e.balancer.AttemptEnded(now, o, acts)
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
	for i := range r.NumFields() {
		if f := r.Field(i); !http1.EqualFieldName(f.Name, "X-Timeout") && r.IsEndToEnd(f.Name) {
			b = http1.AppendParsedField(b, f)
		}
	}
	switch {
	case c.StreamedBody != nil && c.StreamedBodyLength < 0:
		b = http1.AppendChunkedEncoding(b)
	case c.StreamedBody != nil:
		b = http1.AppendContentLength(b, c.StreamedBodyLength)
	case len(c.Body) > 0 || string(r.Method()) != http.MethodGet:
		b = http1.AppendContentLength(b, int64(len(c.Body)))
	}
	b = append(b, "X-Timeout: "...)
	timeoutAt = len(b)
	b = http1.AppendHeadEnd(append(b, "\r\n"...))
	if c.StreamedBody == nil {
		b = append(b, c.Body...)
	}
	return b, timeoutAt
}
