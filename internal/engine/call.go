package engine

import (
	"net/http"
	"time"

	"barleydrum.example/barleydrum/balance"
	"barleydrum.example/barleydrum/internal/body"
	"barleydrum.example/barleydrum/internal/http1"
	"barleydrum.example/barleydrum/internal/memory"
	"barleydrum.example/barleydrum/internal/retry"
	"barleydrum.example/barleydrum/internal/upstream"
)

// Call is a request with its attempts, until the last attempt has ended. The goroutine that serves
// it runs the first attempt itself, and every later one that starts while it runs no other. Attempts
// that must open a connection or send a streamed body run in goroutines of their own.
// The exported fields must be set before Serve.
type Call struct {
	balance.Request // the engine sets its ID

	CallerRequestID    string         // the caller's X-Request-ID
	Head               *http1.Request // must stay valid until Serve returns
	Body               []byte         // must stay valid until Serve returns
	StreamedBody       *body.Body     // a body that is still arriving, in place of Body; must be closed before ReleaseCall
	StreamedBodyLength int64          // length of StreamedBody in bytes, -1 if unknown
	Deadline           time.Time      // the call fails if it has no final result by then

	// CallerDisconnected reports whether the caller has disconnected. It is nil if that can't be
	// checked, and must be safe to call from any goroutine.
	CallerDisconnected func() bool

	engine        *Engine
	clockDeadline time.Duration // Deadline on the balancer's clock

	// Guarded by Engine.mu.
	finished         bool // final is valid; it is zero, a failure, if the call ended before it was started
	final            FinalResult
	attempts         []*attempt
	attemptsInFlight int
	pendingAttempt   *attempt // the next attempt for the serving goroutine to run
	inlineAttempt    *attempt // the attempt that the serving goroutine runs
	waitingForWake   bool     // the serving goroutine waits for wake
	streamingAttempt *attempt // the attempt whose response is being streamed
	completionGate   retry.CompletionGate
	processGate      retry.ProcessGate

	wake          chan struct{}
	deadlineTimer *time.Timer
	firstAttempt  attempt     // saves an allocation: most calls need no other attempt
	attemptsBuf   [2]*attempt // initial storage of attempts
}

// FinalResult is the final result of a call: served, refused, or failed if it is neither.
type FinalResult struct {
	ServedBy   *upstream.Exchange // holds the response, valid until ReleaseCall; nil if the call was not served
	Streaming  bool               // the response body must be read with ServedBy.NextResponseData
	Refused    bool               // the caller may safely send the request again
	RetryAfter time.Duration      // how long the caller should wait before it retries, 0 for no advice
	Forwarded  bool               // an attempt was started, so that the request may have run
}

// attempt is one try of a call at one endpoint.
type attempt struct {
	upstream.Exchange
	call               *Call
	index              int // in call.attempts
	endpointID         balance.EndpointID
	endpoint           *endpoint
	inFlightIndex      int           // in endpoint.inFlightAttempts
	startedAt          time.Duration // on the balancer's clock
	streamStartElapsed time.Duration // what elapsed returned when the response started to stream, 0 before
}

// NewCall returns an empty call, whose exported fields must be set before Serve. Every call must be passed
// to ReleaseCall in the end.
func (e *Engine) NewCall() *Call {
	c, ok := e.callPool.Get().(*Call)
	if !ok {
		c = &Call{wake: make(chan struct{}, 1), deadlineTimer: time.NewTimer(time.Hour)}
		c.deadlineTimer.Stop()
	}
	c.engine = e
	return c
}

// ReleaseCall returns a call to the engine once its final result, if any, has been passed on. A
// streamed response that has not ended is aborted. The call must not be used afterwards.
func (e *Engine) ReleaseCall(c *Call) {
	if a := c.streamingAttempt; a != nil {
		a.AbortStream()
		e.attemptEnded(a)
	}
	if c.final.ServedBy != nil {
		c.final.ServedBy.Release()
	}
	e.mu.Lock()
	inFlight := c.attemptsInFlight
	e.mu.Unlock()
	if inFlight > 0 {
		return // attempts in flight still point to the call, so it can't be reused
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

// cancelIfDisconnected cancels the call if its caller has disconnected, and reports whether it did.
// It is called right before an attempt's first byte is sent.
func (c *Call) cancelIfDisconnected() bool {
	if !c.CallerDisconnected() {
		return false
	}
	c.Cancel()
	return true
}

// Cancel ends the call because its caller has disconnected. It implements httpserver.Canceler.
func (c *Call) Cancel() { c.engine.abandon(c, "the caller disconnected") }

// Serve passes a call to the balancer, runs its attempts and returns its final result.
// disconnected says that the caller has already disconnected; a later disconnection is
// reported by [Call.Cancel].
func (e *Engine) Serve(c *Call, disconnected bool) FinalResult {
	a, finished := e.startCall(c, disconnected)
	for !finished {
		if a == nil {
			a, finished = e.waitForAttempt(c)
			continue
		}
		progress := upstream.NeedsConnection
		for progress == upstream.NeedsConnection && a.TakeIdleConn() {
			progress = a.Run()
		}
		current := a
		switch progress {
		case upstream.Ended:
			a, finished = e.attemptEnded(a)
		case upstream.Streaming:
			a, finished = e.responseStarted(a)
		case upstream.NeedsConnection: // another goroutine opens a connection, so that this one is free
			a, finished = e.nextAttempt(c)
			go e.runAttempt(current)
		case upstream.Interrupted: // the call is finished, and this attempt continues in the background
			a, finished = e.nextAttempt(c)
			go e.resumeAttempt(current)
		}
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	return c.final
}

// startCall passes a call to the balancer, unless it has ended already. It returns the attempt that
// the serving goroutine must run, or nil if there is none yet, and whether the call is finished.
func (e *Engine) startCall(c *Call, disconnected bool) (next *attempt, finished bool) {
	e.mu.Lock()
	defer e.mu.Unlock() // the HTTP server survives a panic in a handler, which must not leave the mutex locked
	if disconnected || c.finished {
		c.finished = true
		return nil, true
	}
	if excess := c.Deadline.Sub(e.shutdownDeadline); !e.shutdownDeadline.IsZero() && excess > 0 {
		c.Deadline = e.shutdownDeadline
		c.Timeout -= excess
	}
	c.attempts = c.attemptsBuf[:0]
	c.clockDeadline = e.clockEpoch + c.Deadline.Sub(e.clockOrigin)
	c.processGate.Reset()
	if c.StreamedBody != nil {
		class := &e.cfg.BalancerConfig.Classes[c.Class]
		c.completionGate.Reset(class.Semantics, class.RepeatWindow)
	}
	e.lastRequestID++
	c.ID = e.lastRequestID
	e.calls[c.ID] = c
	e.handleEvent(func(now time.Duration, actions []balance.Action) []balance.Action {
		return e.balancer.RequestArrived(now, c.Request, actions)
	})
	return e.nextAttemptLocked(c)
}

// nextAttemptLocked returns the attempt that the serving goroutine must run next, which becomes its
// inline attempt, or nil if it must wait, and whether the call is finished. The caller must hold e.mu.
func (e *Engine) nextAttemptLocked(c *Call) (next *attempt, finished bool) {
	c.inlineAttempt = c.pendingAttempt
	c.pendingAttempt = nil
	c.waitingForWake = c.inlineAttempt == nil && !c.finished
	return c.inlineAttempt, c.finished
}

// nextAttempt is nextAttemptLocked for a caller that doesn't hold e.mu. The attempt that was inline
// before no longer is.
func (e *Engine) nextAttempt(c *Call) (next *attempt, finished bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.nextAttemptLocked(c)
}

// waitForAttempt blocks until there is an attempt to run, the call is finished, or its deadline has
// passed: then the call fails. Its results are those of nextAttempt.
func (e *Engine) waitForAttempt(c *Call) (next *attempt, finished bool) {
	c.deadlineTimer.Reset(time.Until(c.Deadline))
	select {
	case <-c.wake:
		c.deadlineTimer.Stop()
	case <-c.deadlineTimer.C:
		e.abandon(c, "the deadline passed")
	}
	return e.nextAttempt(c)
}

// abandon fails a call whose caller has disconnected or whose deadline has passed, unless it is
// finished. reason is logged.
func (e *Engine) abandon(c *Call, reason string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.abandonLocked(c, reason)
}

// abandonLocked is abandon for a caller that holds e.mu.
func (e *Engine) abandonLocked(c *Call, reason string) {
	if c.finished {
		return
	}
	if c.ID == 0 { // it has not been passed to the balancer, and won't be
		c.finished = true
		return
	}
	e.finishCall(c, FinalResult{}, reason)
	e.handleEvent(func(now time.Duration, actions []balance.Action) []balance.Action {
		return e.balancer.RequestAbandoned(now, c.ID, actions)
	})
}

// finishCall sets the final result of a call, unless it is finished, and wakes the serving goroutine.
// Attempts that have not been sent yet are canceled; the balancer decides about the others. decidedBy
// is logged. The caller must hold e.mu.
func (e *Engine) finishCall(c *Call, result FinalResult, decidedBy string) {
	if c == nil || c.finished {
		return
	}
	logFinalResult(c, &result, decidedBy)
	c.finished, c.final = true, result
	c.final.Forwarded = len(c.attempts) > 0
	for _, a := range c.attempts {
		a.CancelUnsent()
	}
	if a := c.pendingAttempt; a != nil {
		c.pendingAttempt = nil
		go e.runAttempt(a)
	}
	if c.inlineAttempt != nil {
		c.inlineAttempt.Interrupt()
	}
	e.wakeCall(c)
	e.dropCallIfDone(c)
}

// wakeCall wakes the serving goroutine of a call if it waits in waitForAttempt. The caller must hold e.mu.
func (e *Engine) wakeCall(c *Call) {
	if c.waitingForWake {
		c.waitingForWake = false
		c.wake <- struct{}{}
	}
}

// dropCallIfDone drops a call that is finished and has no attempt in flight. The caller must hold e.mu.
func (e *Engine) dropCallIfDone(c *Call) {
	if c.finished && c.attemptsInFlight == 0 {
		delete(e.calls, c.ID)
	}
}

// startAttempt starts the attempt that the balancer decided on: in the serving goroutine if that
// runs no other and the request's body is not streamed, else in a goroutine of its own. An attempt that
// must not be sent anymore is canceled and run all the same, so that its end is reported. The caller
// must hold e.mu.
func (e *Engine) startAttempt(action *balance.Action) {
	c, ep := e.calls[action.Request], e.endpoints[action.Endpoint]
	if c == nil || ep == nil {
		return
	}
	a := &c.firstAttempt
	if len(c.attempts) > 0 {
		a = new(attempt)
	}
	a.call, a.index, a.endpointID, a.endpoint, a.startedAt, a.streamStartElapsed = c, len(c.attempts), action.Endpoint, ep, e.eventTime, 0
	c.attempts = append(c.attempts, a)
	c.attemptsInFlight++
	ep.inFlightCount++
	a.inFlightIndex = len(ep.inFlightAttempts)
	ep.inFlightAttempts = append(ep.inFlightAttempts, a)
	deadline := min(action.Deadline, c.clockDeadline)
	noMemory := !c.finished && !e.account.HasRoom(memory.Forwarding, c.Head.Len()+len(c.Body))
	a.Prepare(e.pool, ep.route, e.toTime(deadline), func(b []byte) ([]byte, int) {
		if c.finished || noMemory {
			return b, 0
		}
		return appendRequest(b, c)
	})
	if c.CallerDisconnected != nil {
		a.SkipSendIf(c.cancelIfDisconnected)
	}
	if class := &e.cfg.BalancerConfig.Classes[c.Class]; class.Semantics == balance.Keyed && class.Scope != balance.ScopeAll {
		index := a.index
		a.AllowSendIf(func(processKnown bool) bool { return c.processGate.TrySend(index, processKnown) })
	}
	if action.StartDeadline > 0 {
		a.SetStartDeadline(e.toTime(action.StartDeadline))
	}
	if c.StreamedBody != nil {
		index := a.index
		a.SetStreamedBody(c.StreamedBody, c.StreamedBodyLength, func() bool { return c.completionGate.TryComplete(index, e.now()) })
	}
	logAttemptStart(a)
	switch {
	case c.finished || ep.outOfService:
		a.CancelUnsent()
		go e.runAttempt(a)
	case noMemory:
		a.Cancel(upstream.ErrNoMemory)
		go e.runAttempt(a)
	case c.StreamedBody != nil: // the serving goroutine stays in waitForAttempt until the call is finished
		go e.runAttempt(a)
	case c.pendingAttempt == nil && c.inlineAttempt == nil:
		c.pendingAttempt = a
		e.wakeCall(c)
	default:
		go e.runAttempt(a)
	}
}

// runAttempt runs an attempt in the current goroutine, which is not the call's serving goroutine,
// until it has ended or its response is streamed.
func (e *Engine) runAttempt(a *attempt) {
	if a.ConnectAndRun() {
		e.responseStarted(a)
	} else {
		e.attemptEnded(a)
	}
}

// resumeAttempt continues an attempt that was interrupted, as runAttempt would.
func (e *Engine) resumeAttempt(a *attempt) {
	progress := a.Run()
	for progress == upstream.Interrupted {
		progress = a.Run()
	}
	if progress == upstream.Streaming {
		e.responseStarted(a)
	} else {
		e.attemptEnded(a)
	}
}

// responseStarted handles the start of a streamed response. The response becomes the final result of
// the call, and whoever serves the call reads the rest of it. If the call is finished already, the
// attempt is aborted instead. The results are those of nextAttemptLocked.
func (e *Engine) responseStarted(a *attempt) (next *attempt, finished bool) {
	e.mu.Lock()
	c := a.call
	if c.finished {
		e.mu.Unlock()
		a.AbortStream()
		return e.attemptEnded(a)
	}
	defer e.mu.Unlock()
	if c.inlineAttempt == a {
		c.inlineAttempt = nil
	}
	now := e.now()
	a.streamStartElapsed = e.elapsed(a, now)
	a.ExtendDeadline(c.Deadline)
	c.streamingAttempt = a
	e.finishCall(c, FinalResult{ServedBy: &a.Exchange, Streaming: true}, "an attempt")
	e.handleEventAt(now, func(now time.Duration, actions []balance.Action) []balance.Action {
		return e.balancer.ResponseStarted(now, c.ID, a.index, actions)
	})
	return e.nextAttemptLocked(c)
}

// elapsed returns how long an endpoint has taken for an attempt, at least 1 ns. The time during which
// the request's body was still arriving doesn't count: then the endpoint waited for the caller. The caller
// must hold e.mu.
func (e *Engine) elapsed(a *attempt, now time.Duration) time.Duration {
	if a.streamStartElapsed > 0 {
		return a.streamStartElapsed
	}
	start := a.startedAt
	if a.call.StreamedBody != nil {
		if bodySentAt := a.BodySentAt(); !bodySentAt.IsZero() {
			start = max(start, e.clockEpoch+bodySentAt.Sub(e.clockOrigin))
		}
	}
	return max(now-start, 1)
}

// MarkBodyComplete notifies the engine that the streamed body of the call has been received completely.
func (c *Call) MarkBodyComplete() { c.engine.bodyStateChanged(c, balance.BodyComplete) }

// MarkBodyUnavailable notifies the engine that the streamed body is no longer retained: no further
// attempt can send it.
func (c *Call) MarkBodyUnavailable() { c.engine.bodyStateChanged(c, balance.BodyUnavailable) }

// bodyStateChanged passes the new state of a call's streamed body to the balancer, unless the call is
// finished. Before the call is started, only its request is updated.
func (e *Engine) bodyStateChanged(c *Call, state balance.BodyState) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if c.finished {
		return
	}
	if c.ID == 0 { // not started yet
		c.BodyArriving = c.BodyArriving && state != balance.BodyComplete
		return
	}
	e.handleEvent(func(now time.Duration, actions []balance.Action) []balance.Action {
		return e.balancer.BodyStateChanged(now, c.ID, state, actions)
	})
}

// attemptEnded handles the end of an attempt. The first one that ended with OK is the call's final
// result. If the serving goroutine ran the attempt, the results are those of nextAttemptLocked,
// otherwise they are nil and false.
func (e *Engine) attemptEnded(a *attempt) (next *attempt, finished bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	c := a.call
	wasInline := c.inlineAttempt == a
	if wasInline {
		c.inlineAttempt = nil
	}
	c.attemptsInFlight--
	result := a.Result()
	if retry.NeverExecuted(result) {
		c.completionGate.MarkNotExecuted(a.index)
		c.processGate.MarkNotExecuted(a.index)
	}
	if result == balance.OK {
		if !c.finished {
			e.finishCall(c, FinalResult{ServedBy: &a.Exchange}, "an attempt")
		} else {
			a.Release()
		}
	}
	now := e.now()
	outcome := balance.Outcome{
		Request: c.ID, Attempt: a.index, Endpoint: a.endpointID, Result: result, RequestFinished: c.finished,
		Elapsed: e.elapsed(a, now), Load: a.LoadReport(),
	}
	logAttemptEnd(a, &outcome)
	e.handleEventAt(now, func(now time.Duration, actions []balance.Action) []balance.Action {
		return e.balancer.AttemptEnded(now, outcome, actions)
	})
	e.dropCallIfDone(c)
	ep := a.endpoint
	last := len(ep.inFlightAttempts) - 1
	ep.inFlightAttempts[a.inFlightIndex] = ep.inFlightAttempts[last]
	ep.inFlightAttempts[a.inFlightIndex].inFlightIndex = a.inFlightIndex
	ep.inFlightAttempts[last], ep.inFlightAttempts = nil, ep.inFlightAttempts[:last]
	e.releaseEndpoint(a.endpointID, ep)
	if wasInline {
		return e.nextAttemptLocked(c)
	}
	return nil, false
}

// appendRequest appends a call's request in the form that is sent to an endpoint, and returns the
// offset at which the value of X-Timeout must be inserted. Other end-to-end fields are forwarded as
// received; the body gets new framing fields. A streamed body is not appended.
func appendRequest(b []byte, c *Call) (text []byte, timeoutAt int) {
	head := c.Head
	b = http1.AppendRequestLine(b, head.Method(), head.Target())
	for i := range head.NumFields() {
		if f := head.Field(i); !http1.EqualFieldName(f.Name, "X-Timeout") && head.IsEndToEnd(f.Name) {
			b = http1.AppendParsedField(b, f)
		}
	}
	switch {
	case c.StreamedBody != nil && c.StreamedBodyLength < 0:
		b = http1.AppendChunkedEncoding(b)
	case c.StreamedBody != nil:
		b = http1.AppendContentLength(b, c.StreamedBodyLength)
	case len(c.Body) > 0 || string(head.Method()) != http.MethodGet:
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
