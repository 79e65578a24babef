package sidecar

import (
	"sync"
	"time"

	"barleydrum.example/barleydrum/balance"
	"barleydrum.example/barleydrum/internal/http1"
	"barleydrum.example/barleydrum/internal/upstream"
)

// call is a caller's request, until its last attempt has ended. Its goroutine is the caller's
// connection's: it carries the first attempt itself, and every later one that begins while it
// has nothing else to carry.
type call struct {
	balance.Request
	engine *Engine
	id     string
	head   *http1.Request // and the body are the door's: valid until the call is answered
	body   []byte
	until  time.Time     // its caller's time is up
	last   time.Duration // the same on the module's clock

	// Under Engine.mu.
	answered bool
	final    final
	attempts []*attempt
	out      int
	next     *attempt // for its goroutine to carry
	inline   *attempt // that it carries
	waiting  bool     // its goroutine waits for wake

	wake  chan struct{}
	timer *time.Timer
	first attempt // most calls need no other
	few   [2]*attempt
}

// final is a final answer.
type final struct {
	served     *attempt // whose answer it is
	refused    bool
	retryAfter time.Duration
}

// attempt is one sending of a call.
type attempt struct {
	upstream.Exchange
	call     *call
	n        int
	id       balance.EndpointID
	endpoint *endpoint
	slot     int           // in endpoint.out
	began    time.Duration // on the module's clock
}

// calls is a pool of those that nobody points to any more.
type calls struct{ pool sync.Pool }

func (p *calls) get() *call {
	c, ok := p.pool.Get().(*call)
	if !ok {
		c = &call{wake: make(chan struct{}, 1), timer: time.NewTimer(time.Hour)}
		c.timer.Stop()
	}
	return c
}

// put takes a call back. All its attempts have ended.
func (p *calls) put(c *call) {
	select {
	case <-c.wake:
	default:
	}
	c.Request, c.engine, c.id, c.head, c.body = balance.Request{}, nil, "", nil, nil
	c.answered, c.final, c.out, c.next, c.inline, c.waiting = false, final{}, 0, nil, nil, false
	c.attempts, c.few = nil, [2]*attempt{}
	c.first.call, c.first.endpoint = nil, nil
	p.pool.Put(c)
}

// Leave tells the engine that the caller has gone, see door.Leaver.
func (c *call) Leave() { c.engine.abandon(c) }

// serve hands a call to the balancer and returns its final answer, and whether the call has no
// attempt out any more. The caller may have gone by now.
func (e *Engine) serve(c *call, gone bool) (f final, spent bool) {
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
	return c.final, c.out == 0
}

// begin hands a call to the balancer. It returns the attempt to carry, or nil for none yet, and
// whether the call has been answered.
func (e *Engine) begin(c *call, gone bool) (next *attempt, answered bool) {
	e.mu.Lock()
	defer e.mu.Unlock() // the door outlives a panic, which must not leave the lock taken
	if gone || c.answered {
		c.answered = true
		return nil, true
	}
	c.attempts = c.few[:0]
	c.last = e.epoch + c.until.Sub(e.origin)
	e.last++
	c.ID = e.last
	e.calls[c.ID] = c
	e.event(func(now time.Duration, acts []balance.Action) []balance.Action {
		return e.balancer.Request(now, c.Request, acts)
	})
	return e.poll(c)
}

// poll returns what the goroutine of a call is to do next. It holds the lock.
func (e *Engine) poll(c *call) (next *attempt, answered bool) {
	c.inline = c.next
	c.next = nil
	c.waiting = c.inline == nil && !c.answered
	return c.inline, c.answered
}

// free has the goroutine of a call carry nothing any more.
func (e *Engine) free(c *call) (next *attempt, answered bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.poll(c)
}

// wait waits for something to do, or until the caller's time is up: then the call has failed.
func (e *Engine) wait(c *call) (next *attempt, answered bool) {
	c.timer.Reset(time.Until(c.until))
	select {
	case <-c.wake:
		c.timer.Stop()
	case <-c.timer.C:
		e.abandon(c)
	}
	return e.free(c)
}

// abandon ends a call whose caller has gone or whose time is up, unless it has its answer.
func (e *Engine) abandon(c *call) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if c.answered {
		return
	}
	if c.ID == 0 { // it has not begun, and won't
		c.answered = true
		return
	}
	e.answer(c, final{})
	e.event(func(now time.Duration, acts []balance.Action) []balance.Action {
		return e.balancer.Abandoned(now, c.ID, acts)
	})
}

// answer gives a call its final answer, unless it has one. What waits to go out does not go
// out any more.
func (e *Engine) answer(c *call, f final) {
	if c == nil || c.answered {
		return
	}
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
func (e *Engine) rouse(c *call) {
	if c.waiting {
		c.waiting = false
		c.wake <- struct{}{}
	}
}

// forget drops a call that nothing more can come of.
func (e *Engine) forget(c *call) {
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
	x.call, x.n, x.id, x.endpoint, x.began = c, len(c.attempts), a.Endpoint, to, e.at
	c.attempts = append(c.attempts, x)
	c.out++
	to.uses++
	x.slot = len(to.out)
	to.out = append(to.out, x)
	until := min(a.Until, c.last)
	x.Begin(e.pool, to.route, e.on(until), func(b []byte) []byte {
		if c.answered {
			return b
		}
		return appendRequest(b, c, until-e.at)
	})
	switch {
	case c.answered || to.left:
		x.Leave()
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
	x.Carry()
	e.ended(x)
}

// goOn goes on with an attempt that was interrupted.
func (e *Engine) goOn(x *attempt) {
	for x.Run() == upstream.Interrupted {
	}
	e.ended(x)
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
	if result == balance.OK {
		if !c.answered {
			e.answer(c, final{served: x})
		} else {
			x.Done()
		}
	}
	now := e.now()
	o := balance.Outcome{
		Request: c.ID, Attempt: x.n, Endpoint: x.id, Result: result, Closed: c.answered,
		Elapsed: now - x.began, Load: x.Load(),
	}
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
