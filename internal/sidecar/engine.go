package sidecar

import (
	"cmp"
	"context"
	"maps"
	"net/http"
	"net/url"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"barleydrum.example/barleydrum/balance"
	"barleydrum.example/barleydrum/internal/config"
	"barleydrum.example/barleydrum/internal/discovery"
)

// Engine owns the balancer. Every event goes to it under one lock, and its
// actions are started there in their order; none waits for I/O.
type Engine struct {
	origin     time.Time // of the module's clock, which read epoch then
	epoch      time.Duration
	pool       *pool
	cfg        *config.Config
	settings   *live
	subscribed chan struct{} // the module wants a watch
	ready      atomic.Bool   // it knows of endpoints

	mu        sync.Mutex
	balancer  *balance.Balancer
	names     *names
	endpoints map[balance.EndpointID]*endpoint
	calls     map[balance.RequestID]*call
	last      balance.RequestID
	actions   []balance.Action
}

// endpoint is where an endpoint is reached.
type endpoint struct {
	*route
	name    string
	started time.Duration
	left    bool // it drains or is gone
	gone    bool
	uses    int // attempts and probes that are out
}

// call is a caller's request, until its last attempt has ended.
type call struct {
	balance.Request
	method   string
	url      *url.URL
	host     string
	header   http.Header
	body     []byte
	done     chan final // takes the final answer
	answered bool
	attempts []*attempt
	out      int
}

// final is a final answer.
type final struct {
	served     bool
	refused    bool
	retryAfter time.Duration
	answer
}

// attempt is one sending of a call.
type attempt struct {
	exchange
	cancel   context.CancelCauseFunc
	id       balance.EndpointID
	endpoint *endpoint
	began    time.Time
}

// end withdraws an attempt. If it has not begun to go out, it never will.
func (a *attempt) end(cause error) {
	a.bar()
	a.cancel(cause)
}

// NewEngine returns an Engine that knows the list in its configuration.
func NewEngine(c *config.Config) (*Engine, error) {
	b, err := balance.New(c.Module, c.Seed)
	if err != nil {
		return nil, err
	}
	e := &Engine{
		origin: time.Now(), pool: newPool(c), cfg: c,
		subscribed: make(chan struct{}, 1),
		balancer:   b, names: newNames(c.Zones),
		endpoints: make(map[balance.EndpointID]*endpoint),
		calls:     make(map[balance.RequestID]*call),
	}
	// The module's clock goes on from Unix time without steps, so that the time an
	// endpoint started needs no conversion and is the same in every list.
	e.epoch = time.Duration(e.origin.UnixNano())
	e.settings = e.pool.settings
	e.update(balance.ListRemember, &c.Known)
	return e, nil
}

// now is the time on the module's clock.
func (e *Engine) now() time.Duration { return e.epoch + time.Since(e.origin) }

// at is a time of the module's clock.
func (e *Engine) at(t time.Duration) time.Time { return e.origin.Add(t - e.epoch) }

// event gives the balancer an event and starts its actions.
func (e *Engine) event(f func(now time.Duration, acts []balance.Action) []balance.Action) {
	e.actions = f(e.now(), e.actions[:0])
	for i := range e.actions {
		e.act(&e.actions[i])
	}
}

func (e *Engine) act(a *balance.Action) {
	switch a.Kind {
	case balance.Send:
		e.send(a)
	case balance.Cancel:
		if c := e.calls[a.Request]; c != nil && a.Attempt < len(c.attempts) {
			c.attempts[a.Attempt].end(errCanceled)
		}
	case balance.Shed:
		e.answer(e.calls[a.Request], final{refused: true, retryAfter: a.Delay})
	case balance.Fail:
		e.answer(e.calls[a.Request], final{})
	case balance.SetTimer:
		timer := a.Timer
		time.AfterFunc(a.Delay, func() { e.fired(timer) })
	case balance.Probe:
		e.probe(a.Endpoint)
	case balance.Release:
		if to := e.endpoints[a.Endpoint]; to != nil {
			e.pool.release(to.route, !to.left)
		}
	case balance.Subscribe:
		select {
		case e.subscribed <- struct{}{}:
		default:
		}
	}
}

// answer gives a call its final answer, unless it has one.
func (e *Engine) answer(c *call, f final) {
	if c == nil || c.answered {
		return
	}
	c.answered = true
	c.done <- f
	e.forget(c)
}

// forget drops a call that nothing more can come of.
func (e *Engine) forget(c *call) {
	if c.answered && c.out == 0 {
		delete(e.calls, c.ID)
	}
}

// take hands a call to the balancer.
func (e *Engine) take(c *call) {
	e.mu.Lock()
	defer e.mu.Unlock() // net/http outlives a panic, which must not leave the lock taken
	e.last++
	c.ID = e.last
	c.done = make(chan final, 1)
	e.calls[c.ID] = c
	e.event(func(now time.Duration, acts []balance.Action) []balance.Action {
		return e.balancer.Request(now, c.Request, acts)
	})
}

// serve hands a call to the balancer and waits for its final answer. If ctx ends
// first, the caller has gone or its time is up: the call has failed.
func (e *Engine) serve(ctx context.Context, c *call) final {
	e.take(c)
	select {
	case f := <-c.done:
		return f
	case <-ctx.Done():
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if !c.answered {
		e.answer(c, final{})
		e.event(func(now time.Duration, acts []balance.Action) []balance.Action {
			return e.balancer.Abandoned(now, c.ID, acts)
		})
	}
	return <-c.done
}

// send starts an attempt.
func (e *Engine) send(a *balance.Action) {
	c, to := e.calls[a.Request], e.endpoints[a.Endpoint]
	if c == nil || to == nil {
		return
	}
	ctx, cancel := context.WithCancelCause(context.Background())
	n := len(c.attempts)
	x := &attempt{exchange: exchange{ctx: ctx}, id: a.Endpoint, endpoint: to, began: time.Now(), cancel: cancel}
	until := e.at(a.Until)
	c.attempts = append(c.attempts, x)
	c.out++
	to.uses++
	u := *c.url
	u.Scheme, u.Host = "http", to.addr
	req := &http.Request{Method: c.method, URL: &u, Host: c.host, Header: maps.Clone(c.header)}
	if c.answered || to.left {
		x.end(errLeft)
	}
	way := to.route
	go func() {
		defer cancel(nil)
		defer time.AfterFunc(time.Until(until), func() { cancel(errDeadline) }).Stop()
		req.Header.Set("X-Timeout", formatTimeout(time.Until(until)))
		e.ended(c, n, x.do(e.pool, way, req, c.body))
	}()
}

// ended takes what came of an attempt. The first OK is the call's answer.
func (e *Engine) ended(c *call, n int, a answer) {
	e.mu.Lock()
	defer e.mu.Unlock()
	x := c.attempts[n]
	c.out--
	if a.result == balance.OK {
		e.answer(c, final{served: true, answer: a})
	}
	o := balance.Outcome{
		Request: c.ID, Attempt: n, Endpoint: x.id, Result: a.result, Closed: c.answered,
		Elapsed: time.Since(x.began), Load: a.load,
	}
	e.event(func(now time.Duration, acts []balance.Action) []balance.Action {
		return e.balancer.Ended(now, o, acts)
	})
	e.forget(c)
	e.unuse(x.id, x.endpoint)
}

func (e *Engine) fired(t balance.Timer) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.event(func(now time.Duration, acts []balance.Action) []balance.Action {
		return e.balancer.Fired(now, t, acts)
	})
}

// probe starts a probe. Nothing new goes to an endpoint that has left, not even that.
func (e *Engine) probe(id balance.EndpointID) {
	to := e.endpoints[id]
	if to == nil {
		return
	}
	to.uses++
	way, left := to.route, to.left
	go func() {
		a := answer{result: balance.NotSent}
		if !left {
			a = e.pool.probe(way, e.cfg.ProbePath(e.settings.Load()))
		}
		e.mu.Lock()
		defer e.mu.Unlock()
		e.event(func(now time.Duration, acts []balance.Action) []balance.Action {
			return e.balancer.Probed(now, id, a.result, a.load, acts)
		})
		e.unuse(id, to)
	}()
}

// unuse ends a use of an endpoint. The last one of an endpoint that is gone drops it, as the
// balancer does: over a long day there are ever new ones.
func (e *Engine) unuse(id balance.EndpointID, to *endpoint) {
	to.uses--
	e.drop(id, to)
}

func (e *Engine) drop(id balance.EndpointID, to *endpoint) {
	if to.gone && to.uses == 0 && e.endpoints[id] == to {
		delete(e.endpoints, id)
		e.names.forget(to.name)
	}
}

// list takes a list from discovery.
func (e *Engine) list(l *discovery.List) {
	kind := balance.ListChanges
	if l.Reset {
		kind = balance.ListFull
	}
	e.update(kind, l)
}

// refused tells the balancer that a call to discovery has failed.
func (e *Engine) refused() { e.update(balance.ListRefused, &discovery.List{}) }

func (e *Engine) update(kind balance.ListKind, l *discovery.List) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if kind == balance.ListFull || kind == balance.ListRemember {
		for _, to := range e.endpoints {
			to.left, to.gone = true, true
		}
	}
	entries := e.names.entries(l)
	list := make([]balance.Endpoint, len(entries))
	for i, in := range entries {
		list[i] = in.Endpoint
		to := e.endpoints[in.ID]
		if to == nil {
			to = &endpoint{name: in.name, route: &route{addr: in.addr}, started: in.Started}
			e.endpoints[in.ID] = to
		}
		// Connections to the old address or process are of no more use; one to a machine
		// that vanished may stay open and silent, and the next request on it would be lost.
		addr := cmp.Or(in.addr, to.addr)
		if addr != to.addr || in.Started != to.started || to.closed && in.State == balance.InService {
			e.pool.release(to.route, false)
			to.route, to.started = &route{addr: addr}, in.Started
		}
		to.left, to.gone = in.State != balance.InService, in.State == balance.Gone
	}
	e.event(func(now time.Duration, acts []balance.Action) []balance.Action {
		return e.balancer.Endpoints(now, kind, list, acts)
	})
	if len(e.endpoints) > 0 {
		e.ready.Store(true)
	}
	// What waits for a connection to an endpoint that has left must not go out once it has one.
	for _, c := range e.calls {
		for _, x := range c.attempts {
			if x.endpoint.left && x.bar() {
				x.cancel(errLeft)
			}
		}
	}
	for id, to := range e.endpoints {
		if to.left {
			e.pool.release(to.route, false)
			e.drop(id, to)
		}
	}
}

func formatTimeout(d time.Duration) string {
	return strconv.FormatInt(max(d.Microseconds(), 1), 10) + "u"
}
