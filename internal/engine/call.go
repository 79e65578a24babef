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

	engine        *Engine
	clockDeadline time.Duration // Until on the module's clock

	// Under Engine.mu.
	finished         bool
	final            FinalResult
	attempts         []*attempt
	attemptsInFlight int
	pendingAttempt   *attempt // for its goroutine to carry
	inlineAttempt    *attempt // that it carries
	waitingForWake   bool     // its goroutine waits for wake
	streamingAttempt *attempt // whose answer flows
	completionGate   retry.CompletionGate

	wake          chan struct{}
	deadlineTimer *time.Timer
	firstAttempt  attempt // most calls need no other
	attemptsBuf   [2]*attempt
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
	call               *Call
	index              int
	endpointID         balance.EndpointID
	endpoint           *endpoint
	inFlightIndex      int           // in endpoint.out
	startedAt          time.Duration // on the module's clock
	streamStartElapsed time.Duration // until its answer began to flow, 0 for not yet
}

// NewCall returns a call to be filled in. Done is owed.
func (e *Engine) NewCall() *Call {
	c, ok := e.callPool.Get().(*Call)
	if !ok {
		c = &Call{wake: make(chan struct{}, 1), deadlineTimer: time.NewTimer(time.Hour)}
		c.deadlineTimer.Stop()
	}
	c.engine = e
	return c
}

// ReleaseCall takes a call back whose final answer, if it has one, has been passed on. One that flows
// ends here, if it has not ended.
func (e *Engine) ReleaseCall(c *Call) {
	if x := c.streamingAttempt; x != nil {
		x.AbortStream()
		e.attemptEnded(x)
	}
	if c.final.ServedBy != nil {
		c.final.ServedBy.Release()
	}
	e.mu.Lock()
	out := c.attemptsInFlight
	e.mu.Unlock()
	if out > 0 {
		return // its attempts still point to it
	}
	select {
	case <-c.wake:
	default:
	}
	c.Request, c.CallerRequestID, c.Head, c.Body, c.Deadline = balance.Request{}, "", nil, nil, time.Time{}
	c.StreamedBody, c.StreamedBodyLength, c.streamingAttempt, c.CallerDisconnected = nil, 0, nil, nil
	c.engine, c.finished, c.final, c.pendingAttempt, c.inlineAttempt, c.waitingForWake = nil, false, FinalResult{}, nil, nil, false
	c.attempts, c.attemptsBuf = nil, [2]*attempt{}
	c.firstAttempt.call, c.firstAttempt.endpoint = nil, nil
	e.callPool.Put(c)
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
	x, answered := e.startCall(c, gone)
	for !answered {
		if x == nil {
			x, answered = e.waitForAttempt(c)
			continue
		}
		p := upstream.NeedsConnection
		for p == upstream.NeedsConnection && x.TakeIdleConn() {
			p = x.Run()
		}
		it := x
		switch p {
		case upstream.Ended:
			x, answered = e.attemptEnded(x)
		case upstream.Streaming:
			x, answered = e.responseStarted(x)
		case upstream.NeedsConnection: // a connection that has to come up is waited for elsewhere
			x, answered = e.nextAttempt(c)
			go e.runAttempt(it)
		case upstream.Interrupted: // there is an answer, and this attempt is to go on beside it
			x, answered = e.nextAttempt(c)
			go e.resumeAttempt(it)
		}
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	return c.final
}

// startCall hands a call to the balancer. It returns the attempt to carry, or nil for none yet, and
// whether the call has been answered.
func (e *Engine) startCall(c *Call, gone bool) (next *attempt, answered bool) {
	e.mu.Lock()
	defer e.mu.Unlock() // the door outlives a panic, which must not leave the lock taken
	if gone || c.finished {
		c.finished = true
		return nil, true
	}
	if left := c.Deadline.Sub(e.shutdownDeadline); !e.shutdownDeadline.IsZero() && left > 0 {
		c.Deadline = e.shutdownDeadline
		c.Timeout -= left
	}
	c.attempts = c.attemptsBuf[:0]
	c.clockDeadline = e.clockEpoch + c.Deadline.Sub(e.clockOrigin)
	if c.StreamedBody != nil {
		k := &e.cfg.BalancerConfig.Classes[c.Class]
		c.completionGate.Reset(k.Semantics, k.RepeatWindow)
	}
	e.lastRequestID++
	c.ID = e.lastRequestID
	e.calls[c.ID] = c
	e.handleEvent(func(now time.Duration, acts []balance.Action) []balance.Action {
		return e.balancer.RequestArrived(now, c.Request, acts)
	})
	return e.nextAttemptLocked(c)
}

// nextAttemptLocked returns what the goroutine of a call is to do next. It holds the lock.
func (e *Engine) nextAttemptLocked(c *Call) (next *attempt, answered bool) {
	c.inlineAttempt = c.pendingAttempt
	c.pendingAttempt = nil
	c.waitingForWake = c.inlineAttempt == nil && !c.finished
	return c.inlineAttempt, c.finished
}

// nextAttempt has the goroutine of a call carry nothing any more.
func (e *Engine) nextAttempt(c *Call) (next *attempt, answered bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.nextAttemptLocked(c)
}

// waitForAttempt waits for something to do, or until the caller's time is up: then the call has failed.
func (e *Engine) waitForAttempt(c *Call) (next *attempt, answered bool) {
	c.deadlineTimer.Reset(time.Until(c.Deadline))
	select {
	case <-c.wake:
		c.deadlineTimer.Stop()
	case <-c.deadlineTimer.C:
		e.abandon(c, "its time is up")
	}
	return e.nextAttempt(c)
}

// abandon ends a call whose caller has gone or whose time is up, unless it has its answer.
func (e *Engine) abandon(c *Call, why string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.abandonLocked(c, why)
}

// abandonLocked is abandon for a caller that holds the lock.
func (e *Engine) abandonLocked(c *Call, why string) {
	if c.finished {
		return
	}
	if c.ID == 0 { // it has not begun, and won't
		c.finished = true
		return
	}
	e.finishCall(c, FinalResult{}, why)
	e.handleEvent(func(now time.Duration, acts []balance.Action) []balance.Action {
		return e.balancer.RequestAbandoned(now, c.ID, acts)
	})
}

// finishCall gives a call its final answer, unless it has one. What waits to go out does not go
// out any more.
func (e *Engine) finishCall(c *Call, f FinalResult, decidedBy string) {
	if c == nil || c.finished {
		return
	}
	logFinalResult(c, &f, decidedBy)
	c.finished, c.final = true, f
	for _, x := range c.attempts {
		x.CancelUnsent()
	}
	if x := c.pendingAttempt; x != nil {
		c.pendingAttempt = nil
		go e.runAttempt(x)
	}
	if c.inlineAttempt != nil {
		c.inlineAttempt.Interrupt()
	}
	e.wakeCall(c)
	e.dropCallIfDone(c)
}

// wakeCall has the goroutine of a call look for what to do, if it waits.
func (e *Engine) wakeCall(c *Call) {
	if c.waitingForWake {
		c.waitingForWake = false
		c.wake <- struct{}{}
	}
}

// dropCallIfDone drops a call that nothing more can come of.
func (e *Engine) dropCallIfDone(c *Call) {
	if c.finished && c.attemptsInFlight == 0 {
		delete(e.calls, c.ID)
	}
}

// startAttempt starts an attempt.
func (e *Engine) startAttempt(a *balance.Action) {
	c, to := e.calls[a.Request], e.endpoints[a.Endpoint]
	if c == nil || to == nil {
		return
	}
	x := &c.firstAttempt
	if len(c.attempts) > 0 {
		x = new(attempt)
	}
	x.call, x.index, x.endpointID, x.endpoint, x.startedAt, x.streamStartElapsed = c, len(c.attempts), a.Endpoint, to, e.eventTime, 0
	c.attempts = append(c.attempts, x)
	c.attemptsInFlight++
	to.inFlightCount++
	x.inFlightIndex = len(to.inFlightAttempts)
	to.inFlightAttempts = append(to.inFlightAttempts, x)
	until := min(a.Deadline, c.clockDeadline)
	x.Prepare(e.pool, to.route, e.toTime(until), func(b []byte) ([]byte, int) {
		if c.finished {
			return b, 0
		}
		return appendRequest(b, c)
	})
	if c.CallerDisconnected != nil {
		x.SkipSendIf(c.cancelIfDisconnected)
	}
	if a.StartDeadline > 0 {
		x.SetStartDeadline(e.toTime(a.StartDeadline))
	}
	if c.StreamedBody != nil {
		n := x.index
		x.SetStreamedBody(c.StreamedBody, c.StreamedBodyLength, func() bool { return c.completionGate.TryComplete(n, e.now()) })
	}
	logAttemptStart(x)
	switch {
	case c.finished || to.outOfService:
		x.CancelUnsent()
		go e.runAttempt(x)
	case c.StreamedBody != nil: // its caller's goroutine waits for what comes first
		go e.runAttempt(x)
	case c.pendingAttempt == nil && c.inlineAttempt == nil:
		c.pendingAttempt = x
		e.wakeCall(c)
	default:
		go e.runAttempt(x)
	}
}

// runAttempt carries an attempt in a goroutine of its own.
func (e *Engine) runAttempt(x *attempt) {
	if x.ConnectAndRun() {
		e.responseStarted(x)
	} else {
		e.attemptEnded(x)
	}
}

// resumeAttempt goes on with an attempt that was interrupted.
func (e *Engine) resumeAttempt(x *attempt) {
	p := x.Run()
	for p == upstream.Interrupted {
		p = x.Run()
	}
	if p == upstream.Streaming {
		e.responseStarted(x)
	} else {
		e.attemptEnded(x)
	}
}

// responseStarted takes an answer that has begun and is passed on as it comes: it is the call's, and there
// is no other from now on. Whoever serves the call carries it on.
func (e *Engine) responseStarted(x *attempt) (next *attempt, answered bool) {
	e.mu.Lock()
	c := x.call
	if c.finished {
		e.mu.Unlock()
		x.AbortStream()
		return e.attemptEnded(x)
	}
	defer e.mu.Unlock()
	if c.inlineAttempt == x {
		c.inlineAttempt = nil
	}
	now := e.now()
	x.streamStartElapsed = e.elapsed(x, now)
	x.ExtendDeadline(c.Deadline)
	c.streamingAttempt = x
	e.finishCall(c, FinalResult{ServedBy: &x.Exchange, Streaming: true}, "an attempt")
	e.handleEventAt(now, func(now time.Duration, acts []balance.Action) []balance.Action {
		return e.balancer.ResponseStarted(now, c.ID, x.index, acts)
	})
	return e.nextAttemptLocked(c)
}

// elapsed is how long an endpoint has taken over an attempt. While its request's body was still
// arriving it waited for the caller.
func (e *Engine) elapsed(x *attempt, now time.Duration) time.Duration {
	if x.streamStartElapsed > 0 {
		return x.streamStartElapsed
	}
	began := x.startedAt
	if x.call.StreamedBody != nil {
		if at := x.BodySentAt(); !at.IsZero() {
			began = max(began, e.clockEpoch+at.Sub(e.clockOrigin))
		}
	}
	return max(now-began, 1)
}

// MarkBodyComplete tells that the body of a call has come whole that was still arriving.
func (c *Call) MarkBodyComplete() { c.engine.bodyStateChanged(c, balance.BodyComplete) }

// MarkBodyUnavailable tells that it is kept no longer: no further attempt can have it.
func (c *Call) MarkBodyUnavailable() { c.engine.bodyStateChanged(c, balance.BodyUnavailable) }

func (e *Engine) bodyStateChanged(c *Call, s balance.BodyState) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if c.finished {
		return
	}
	if c.ID == 0 { // it has not begun
		c.BodyArriving = c.BodyArriving && s != balance.BodyComplete
		return
	}
	e.handleEvent(func(now time.Duration, acts []balance.Action) []balance.Action {
		return e.balancer.BodyStateChanged(now, c.ID, s, acts)
	})
}

// attemptEnded takes what came of an attempt, and returns what the goroutine of the call is to do if
// that has carried it. The first OK is the call's answer.
func (e *Engine) attemptEnded(x *attempt) (next *attempt, answered bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	c := x.call
	own := c.inlineAttempt == x
	if own {
		c.inlineAttempt = nil
	}
	c.attemptsInFlight--
	result := x.Result()
	if c.StreamedBody != nil && retry.NeverExecuted(result) {
		c.completionGate.MarkNotExecuted(x.index)
	}
	if result == balance.OK {
		if !c.finished {
			e.finishCall(c, FinalResult{ServedBy: &x.Exchange}, "an attempt")
		} else {
			x.Release()
		}
	}
	now := e.now()
	o := balance.Outcome{
		Request: c.ID, Attempt: x.index, Endpoint: x.endpointID, Result: result, RequestFinished: c.finished,
		Elapsed: e.elapsed(x, now), Load: x.LoadReport(),
	}
	logAttemptEnd(x, &o)
	e.handleEventAt(now, func(now time.Duration, acts []balance.Action) []balance.Action {
		return e.balancer.AttemptEnded(now, o, acts)
	})
	e.dropCallIfDone(c)
	to := x.endpoint
	last := len(to.inFlightAttempts) - 1
	to.inFlightAttempts[x.inFlightIndex] = to.inFlightAttempts[last]
	to.inFlightAttempts[x.inFlightIndex].inFlightIndex = x.inFlightIndex
	to.inFlightAttempts[last], to.inFlightAttempts = nil, to.inFlightAttempts[:last]
	e.releaseEndpoint(x.endpointID, to)
	if own {
		return e.nextAttemptLocked(c)
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
