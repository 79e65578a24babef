// Package engine has the decision module decide. It owns the module and its clock, hands it what
// happens under one lock, and carries out what it says: attempts by way of upstream, probes,
// timers, final answers. It knows nothing of callers' connections: whoever has a request hands
// it a [Call] and gets a [Final].
package engine

import (
	"cmp"
	"log/slog"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"barleydrum.example/barleydrum/balance"
	"barleydrum.example/barleydrum/internal/config"
	"barleydrum.example/barleydrum/internal/discovery"
	"barleydrum.example/barleydrum/internal/transferrate"
	"barleydrum.example/barleydrum/internal/upstream"
)

// Engine owns the balancer. Every event goes to it under one lock, and its
// actions are started there in their order; none waits for I/O.
type Engine struct {
	clockOrigin        time.Time // of the module's clock, which read epoch then
	clockEpoch         time.Duration
	pool               *upstream.Pool
	cfg                *config.Config
	settings           *currentSettings
	subscribeRequested chan struct{} // the module wants a watch
	ready              atomic.Bool   // it knows of endpoints
	callPool           sync.Pool     // of *Call

	mu               sync.Mutex
	balancer         *balance.Balancer
	ids              *idTable
	endpoints        map[balance.EndpointID]*endpoint
	calls            map[balance.RequestID]*Call
	lastRequestID    balance.RequestID
	actions          []balance.Action
	eventTime        time.Duration // of the event whose actions are carried out
	pendingTimers    timerHeap
	timer            *time.Timer
	timerSetFor      time.Duration // what the clock is set for, 0 for nothing
	startTimes       startTimeEstimator
	shutdownDeadline time.Time // by which every call is answered, zero for no such time
}

// endpoint is where an endpoint is reached.
type endpoint struct {
	route     *upstream.Route
	name      string
	startedAt time.Duration // on the module's clock, 0 for long ago

	// reportedStart is what lists tell of that, in Unix time.
	reportedStart    time.Duration
	routeClosed      bool // its route keeps no connections
	outOfService     bool // it drains or is gone
	removed          bool
	inFlightCount    int // attempts and probes that are out
	inFlightAttempts []*attempt
}

// New returns an Engine that knows the list in its configuration.
func New(c *config.Config) (*Engine, error) {
	b, err := balance.New(c.BalancerConfig, c.Seed)
	if err != nil {
		return nil, err
	}
	settings := newCurrentSettings(c.Settings)
	e := &Engine{
		clockOrigin: time.Now(), pool: newPool(c, settings), cfg: c, settings: settings,
		subscribeRequested: make(chan struct{}, 1),
		balancer:           b, ids: newIDTable(c.Zones),
		endpoints: make(map[balance.EndpointID]*endpoint),
		calls:     make(map[balance.RequestID]*Call),
	}
	// The module's clock goes on from Unix time without steps, so that the time an
	// endpoint started needs no conversion and is the same in every list.
	e.clockEpoch = time.Duration(e.clockOrigin.UnixNano())
	e.applyList(balance.ListLastKnown, &c.KnownEndpoints)
	return e, nil
}

// newPool returns the pool of a sidecar.
func newPool(c *config.Config, settings *currentSettings) *upstream.Pool {
	keep := c.KeepAliveTimeout()
	return upstream.NewPool(upstream.Config{
		MaxConnections: c.MaxEndpointConnections(), ConnectTimeout: c.ConnectTimeout(),
		// Idle connections must close here first: a request written as the endpoint closes is
		// reset, and may have run for all that is known.
		IdleTimeout: keep - keep/10,
		ResponseLimits: func() upstream.ResponseLimits {
			most, flows := &settings.Load().Endpoints, &settings.Load().Streams
			return upstream.ResponseLimits{
				HeadBytes: int(most.MaxResponseHead), BufferedBodyBytes: int64(most.MaxResponseBody),
				StreamedBodyBytes: int64(flows.MaxResponseBody), PrefetchBytes: int64(flows.ResponseCommitThreshold), StreamUnknownLength: flows.MaxResponseBody > 0 && flows.ChunkedEnabled(),
			}
		},
		NewRateMeter: func() transferrate.Meter { return settings.Load().Streams.RateMeter() },
	})
}

// SetShutdownDeadline has every call that is open, or begins, answered by a time: one that is still open then has failed.
func (e *Engine) SetShutdownDeadline(t time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.shutdownDeadline = t
	time.AfterFunc(time.Until(t), func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		for _, c := range slices.Collect(maps.Values(e.calls)) {
			e.abandonLocked(c, "the shutdown's time is up")
		}
	})
}

// now is the time on the module's clock.
func (e *Engine) now() time.Duration { return e.clockEpoch + time.Since(e.clockOrigin) }

// toTime is a time of the module's clock.
func (e *Engine) toTime(t time.Duration) time.Time { return e.clockOrigin.Add(t - e.clockEpoch) }

// handleEvent gives the balancer an event and starts its actions.
func (e *Engine) handleEvent(f func(now time.Duration, acts []balance.Action) []balance.Action) {
	e.handleEventAt(e.now(), f)
}

// handleEventAt is event where the time is known.
func (e *Engine) handleEventAt(now time.Duration, f func(now time.Duration, acts []balance.Action) []balance.Action) {
	e.eventTime = now
	e.actions = f(now, e.actions[:0])
	for i := range e.actions {
		e.execute(&e.actions[i])
	}
	e.setTimer()
}

func (e *Engine) execute(a *balance.Action) {
	switch a.Kind {
	case balance.Send:
		e.startAttempt(a)
	case balance.Cancel:
		if c := e.calls[a.Request]; c != nil && a.Attempt < len(c.attempts) {
			c.attempts[a.Attempt].Cancel(upstream.ErrCanceled)
		}
	case balance.Shed:
		e.finishCall(e.calls[a.Request], FinalResult{Refused: true, RetryAfter: a.Delay}, "the balancer")
	case balance.Fail:
		e.finishCall(e.calls[a.Request], FinalResult{}, "the balancer")
	case balance.SetTimer:
		e.pendingTimers.push(scheduledTimer{e.eventTime + a.Delay, a.Timer})
	case balance.Probe:
		e.startProbe(a.Endpoint)
	case balance.CloseIdle:
		if to := e.endpoints[a.Endpoint]; to != nil {
			e.pool.CloseIdleConnections(to.route, !to.outOfService)
		}
	case balance.Subscribe:
		select {
		case e.subscribeRequested <- struct{}{}:
		default:
		}
	}
}

// startProbe starts a probe. Nothing new goes to an endpoint that has left, not even that.
func (e *Engine) startProbe(id balance.EndpointID) {
	to := e.endpoints[id]
	if to == nil {
		return
	}
	to.inFlightCount++
	way, left := to.route, to.outOfService
	go func() {
		result, load := balance.NotSent, (*balance.Load)(nil)
		if !left {
			set := e.settings.Load()
			result, load = e.pool.Probe(way, e.cfg.ProbePath(set), set.Probe.Timeout)
		}
		e.mu.Lock()
		defer e.mu.Unlock()
		e.handleEvent(func(now time.Duration, acts []balance.Action) []balance.Action {
			return e.balancer.ProbeEnded(now, id, result, load, acts)
		})
		e.releaseEndpoint(id, to)
	}()
}

// releaseEndpoint ends a use of an endpoint. The last one of an endpoint that is gone drops it, as the
// balancer does: over a long day there are ever new ones.
func (e *Engine) releaseEndpoint(id balance.EndpointID, to *endpoint) {
	to.inFlightCount--
	e.dropEndpointIfUnused(id, to)
}

func (e *Engine) dropEndpointIfUnused(id balance.EndpointID, to *endpoint) {
	if to.removed && to.inFlightCount == 0 && e.endpoints[id] == to {
		delete(e.endpoints, id)
		e.ids.release(to.name)
	}
}

// SubscribeRequested has something in it when the module wants the list to be watched.
func (e *Engine) SubscribeRequested() <-chan struct{} { return e.subscribeRequested }

// Ready tells whether any endpoint is known.
func (e *Engine) Ready() bool { return e.ready.Load() }

// Settings are those at hand; SIGHUP may bring others.
func (e *Engine) Settings() *config.Settings { return e.settings.Load() }

// LookupEndpoint tells where an endpoint is that the list names, and whether it is in service.
func (e *Engine) LookupEndpoint(name string) (addr string, inService, known bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	to := e.endpoints[e.ids.byName[name]]
	if to == nil || to.name != name {
		return "", false, false
	}
	return to.route.Addr, !to.outOfService, true
}

// Stats are what the engine holds.
type Stats struct {
	CallsTotal       int // calls in all
	OpenCalls        int // that are open, or have an attempt out
	AttemptsInFlight int // that are out
	WaitingExchanges int // exchanges that wait for a connection to be closed
	Endpoints        int // that are known, or have an attempt or probe out
	EndpointNames    int // of endpoints
}

// Stats counts what the engine holds.
func (e *Engine) Stats() Stats {
	e.mu.Lock()
	defer e.mu.Unlock()
	s := Stats{CallsTotal: int(e.lastRequestID), OpenCalls: len(e.calls), Endpoints: len(e.endpoints), EndpointNames: max(len(e.ids.byName), len(e.ids.used)),
		WaitingExchanges: e.pool.WaitingExchanges()}
	for _, to := range e.endpoints {
		s.AttemptsInFlight += len(to.inFlightAttempts)
	}
	return s
}

// UpdateEndpoints takes a list from discovery.
func (e *Engine) UpdateEndpoints(l *discovery.List) {
	kind := balance.ListChanges
	if l.Full {
		kind = balance.ListFull
	}
	e.applyList(kind, l)
}

// RecordDiscoveryResponse notes that discovery has answered, also where it had no news.
func (e *Engine) RecordDiscoveryResponse() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.startTimes.lastResponseAt = e.now()
}

// RecordDiscoveryFailure tells the balancer that a call to discovery has failed.
func (e *Engine) RecordDiscoveryFailure() { e.applyList(balance.ListUnavailable, &discovery.List{}) }

func (e *Engine) applyList(kind balance.ListKind, l *discovery.List) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if kind == balance.ListFull || kind == balance.ListLastKnown {
		for _, to := range e.endpoints {
			to.outOfService, to.removed = true, true
		}
	}
	entries := e.ids.listEntries(l)
	list := make([]balance.Endpoint, len(entries))
	now := e.now()
	for i, in := range entries {
		to := e.endpoints[in.ID]
		reported := in.StartedAt
		in.StartedAt = e.startTimes.startTime(reported, now, to)
		list[i] = in.Endpoint
		if to == nil {
			to = &endpoint{name: in.name, route: &upstream.Route{Addr: in.addr}, startedAt: in.StartedAt}
			e.endpoints[in.ID] = to
		}
		to.reportedStart = reported
		// Connections to the old address or process are of no more use; one to a machine
		// that vanished may stay open and silent, and the next request on it would be lost.
		addr := cmp.Or(in.addr, to.route.Addr)
		if addr != to.route.Addr || in.StartedAt != to.startedAt || to.routeClosed && in.State == balance.InService {
			e.pool.CloseIdleConnections(to.route, false)
			to.route, to.startedAt, to.routeClosed = &upstream.Route{Addr: addr}, in.StartedAt, false
		}
		to.outOfService, to.removed = in.State != balance.InService, in.State == balance.Removed
		slog.Debug("endpoint", "name", in.name, "version", l.Generation, "whole list", kind != balance.ListChanges,
			"in service", !to.outOfService, "gone", to.removed)
	}
	e.handleEvent(func(now time.Duration, acts []balance.Action) []balance.Action {
		return e.balancer.EndpointsUpdated(now, kind, list, acts)
	})
	if len(e.endpoints) > 0 {
		e.ready.Store(true)
	}
	if kind == balance.ListChanges {
		for _, in := range entries {
			e.withdrawIfOutOfService(in.ID)
		}
		return
	}
	for id := range e.endpoints {
		e.withdrawIfOutOfService(id)
	}
}

// withdrawIfOutOfService carries out what follows for an endpoint from a list, if it has left. What waits for a
// connection to it must not go out once it has one.
func (e *Engine) withdrawIfOutOfService(id balance.EndpointID) {
	to := e.endpoints[id]
	if to == nil || !to.outOfService {
		return
	}
	for _, x := range to.inFlightAttempts {
		x.CancelUnsent()
	}
	e.pool.CloseIdleConnections(to.route, false)
	to.routeClosed = true
	e.dropEndpointIfUnused(id, to)
}
