// Package engine drives the balancer: it owns the [balance.Balancer] and its clock, passes every
// event to it under one lock, and carries out the actions that it returns: attempts and probes
// through package upstream, timers, and final results. It is independent of callers' connections:
// whoever has a request passes it in as a [Call] and gets a [FinalResult].
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
	"barleydrum.example/barleydrum/internal/memory"
	"barleydrum.example/barleydrum/internal/transferrate"
	"barleydrum.example/barleydrum/internal/upstream"
)

// Engine owns the balancer. Every event is handled under one lock, and the
// resulting actions are started there in order; none of them waits for I/O.
// It is safe for concurrent use.
type Engine struct {
	clockOrigin        time.Time     // the instant at which the balancer's clock read clockEpoch
	clockEpoch         time.Duration // Unix time at clockOrigin
	pool               *upstream.Pool
	account            *memory.Account // of the memory that peers make the process hold
	cfg                *config.Config
	settings           *currentSettings
	subscribeRequested chan struct{} // holds a value when the balancer has subscribed to the endpoint list
	ready              atomic.Bool   // at least one endpoint has been known
	callPool           sync.Pool     // of *Call

	mu               sync.Mutex
	balancer         *balance.Balancer
	ids              *idTable
	endpoints        map[balance.EndpointID]*endpoint
	endpointBytes    int // reserved in account for endpoints
	calls            map[balance.RequestID]*Call
	lastRequestID    balance.RequestID
	actions          []balance.Action // reused from event to event
	eventTime        time.Duration    // of the event whose actions are being carried out, on the balancer's clock
	pendingTimers    timerHeap
	dropTimersAt     int           // the number of pending timers at which unneeded ones are dropped again
	timer            *time.Timer   // fires for the earliest of pendingTimers
	timerSetFor      time.Duration // when timer fires, on the balancer's clock; 0 if it isn't set
	startTimes       startTimeEstimator
	shutdownDeadline time.Time // calls that are still open then fail; zero if there is no shutdown
}

// endpoint is an endpoint that is listed, or that still has an attempt or a probe in flight.
type endpoint struct {
	route     *upstream.Route
	name      string
	startedAt time.Duration // on the balancer's clock; 0 if unknown, which is treated as long ago

	// reportedStart is the start time that discovery's lists give, as Unix time.
	reportedStart    time.Duration
	routeClosed      bool // the route keeps no idle connections anymore
	outOfService     bool // draining or removed
	removed          bool
	inFlightCount    int // attempts and probes in flight
	inFlightAttempts []*attempt
}

// New returns an Engine that starts with the endpoint list in its configuration.
func New(cfg *config.Config) (*Engine, error) {
	balancer, err := balance.New(cfg.BalancerConfig, cfg.Seed)
	if err != nil {
		return nil, err
	}
	settings := newCurrentSettings(cfg.Settings)
	account := memory.New(cfg.PeerMemoryLimit())
	e := &Engine{
		clockOrigin: time.Now(), pool: newPool(cfg, settings, account), account: account, cfg: cfg, settings: settings,
		subscribeRequested: make(chan struct{}, 1),
		balancer:           balancer, ids: newIDTable(cfg.Zones),
		endpoints: make(map[balance.EndpointID]*endpoint),
		calls:     make(map[balance.RequestID]*Call),
	}
	// The balancer's clock starts at Unix time and is monotonic from then on. An endpoint's start
	// time, which lists give as Unix time, thus needs no conversion and is the same in every list.
	e.clockEpoch = time.Duration(e.clockOrigin.UnixNano())
	e.applyList(balance.ListLastKnown, &cfg.KnownEndpoints)
	return e, nil
}

// connRestTime is how long a connection rests after each response. An endpoint may send a second copy of a response some
// milliseconds late, which would be taken for the response to the next request.
const connRestTime = 10 * time.Millisecond

// newPool returns the sidecar's pool of connections to endpoints.
func newPool(cfg *config.Config, settings *currentSettings, account *memory.Account) *upstream.Pool {
	keepAlive := cfg.KeepAliveTimeout()
	return upstream.NewPool(upstream.Config{
		MaxConnections: cfg.MaxEndpointConnections(), ConnectTimeout: cfg.ConnectTimeout(),
		// The sidecar must close idle connections before the endpoint does: a request that is written
		// while the endpoint closes is reset, and may have run as far as the sidecar can tell.
		IdleTimeout: keepAlive - keepAlive/10,
		RestTime:    connRestTime,
		Account:     account,
		ResponseLimits: func() upstream.ResponseLimits {
			buffered, streamed := &settings.Load().Endpoints, &settings.Load().Streams
			return upstream.ResponseLimits{
				HeadBytes: int(buffered.MaxResponseHead), BufferedBodyBytes: int64(buffered.MaxResponseBody),
				StreamedBodyBytes: int64(streamed.MaxResponseBody), PrefetchBytes: int64(streamed.ResponseCommitThreshold), StreamUnknownLength: streamed.MaxResponseBody > 0 && streamed.ChunkedEnabled(),
			}
		},
		NewRateMeter: func() transferrate.Meter { return settings.Load().Streams.RateMeter() },
	})
}

// SetShutdownDeadline sets the time by which every call, open or new, must have its final result. Calls that
// are still open then fail.
func (e *Engine) SetShutdownDeadline(t time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.shutdownDeadline = t
	time.AfterFunc(time.Until(t), func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		for _, c := range slices.Collect(maps.Values(e.calls)) {
			e.abandonLocked(c, "the shutdown deadline passed")
		}
	})
}

// now returns the current time on the balancer's clock.
func (e *Engine) now() time.Duration { return e.clockEpoch + time.Since(e.clockOrigin) }

// toTime converts a time on the balancer's clock to a time.Time.
func (e *Engine) toTime(t time.Duration) time.Time { return e.clockOrigin.Add(t - e.clockEpoch) }

// handleEvent passes an event that happens now to the balancer and starts the resulting actions.
// The caller must hold e.mu.
func (e *Engine) handleEvent(apply func(now time.Duration, actions []balance.Action) []balance.Action) {
	e.handleEventAt(e.now(), apply)
}

// handleEventAt is handleEvent for an event at a given time on the balancer's clock. The caller must hold e.mu.
func (e *Engine) handleEventAt(now time.Duration, apply func(now time.Duration, actions []balance.Action) []balance.Action) {
	e.eventTime = now
	e.actions = apply(now, e.actions[:0])
	for i := range e.actions {
		e.execute(&e.actions[i])
	}
	e.dropUnneededTimers()
	e.setTimer()
}

// execute starts one action of the balancer. The caller must hold e.mu.
func (e *Engine) execute(action *balance.Action) {
	switch action.Kind {
	case balance.Send:
		e.startAttempt(action)
	case balance.Cancel:
		if c := e.calls[action.Request]; c != nil && action.Attempt < len(c.attempts) {
			c.attempts[action.Attempt].Cancel(upstream.ErrCanceled)
		}
	case balance.Shed:
		e.finishCall(e.calls[action.Request], FinalResult{Refused: true, RetryAfter: action.Delay}, "the balancer")
	case balance.Fail:
		e.finishCall(e.calls[action.Request], FinalResult{}, "the balancer")
	case balance.SetTimer:
		e.pendingTimers.push(scheduledTimer{e.eventTime + action.Delay, action.Timer})
	case balance.Probe:
		e.startProbe(action.Endpoint)
	case balance.CloseIdle:
		if ep := e.endpoints[action.Endpoint]; ep != nil {
			e.pool.CloseIdleConnections(ep.route, !ep.outOfService)
		}
	case balance.Subscribe:
		select {
		case e.subscribeRequested <- struct{}{}:
		default:
		}
	}
}

// startProbe starts a probe in a goroutine of its own. An endpoint out of service gets no new
// traffic, not even a probe: its probe ends as not sent. The caller must hold e.mu.
func (e *Engine) startProbe(id balance.EndpointID) {
	ep := e.endpoints[id]
	if ep == nil {
		return
	}
	ep.inFlightCount++
	route, outOfService := ep.route, ep.outOfService
	go func() {
		result, load := balance.NotSent, (*balance.Load)(nil)
		if !outOfService {
			settings := e.settings.Load()
			result, load = e.pool.Probe(route, e.cfg.ProbePath(settings), settings.Probe.Timeout)
		}
		e.mu.Lock()
		defer e.mu.Unlock()
		e.handleEvent(func(now time.Duration, actions []balance.Action) []balance.Action {
			return e.balancer.ProbeEnded(now, id, result, load, actions)
		})
		e.releaseEndpoint(id, ep)
	}()
}

// releaseEndpoint ends an attempt's or a probe's use of an endpoint. The last release drops a
// removed endpoint, as the balancer does: over a long run new endpoints keep appearing, and the
// table would grow without bound. The caller must hold e.mu.
func (e *Engine) releaseEndpoint(id balance.EndpointID, ep *endpoint) {
	ep.inFlightCount--
	e.dropEndpointIfUnused(id, ep)
}

// dropEndpointIfUnused drops a removed endpoint that has no attempt or probe in flight. The caller must
// hold e.mu.
func (e *Engine) dropEndpointIfUnused(id balance.EndpointID, ep *endpoint) {
	if ep.removed && ep.inFlightCount == 0 && e.endpoints[id] == ep {
		delete(e.endpoints, id)
		e.ids.release(ep.name)
	}
}

// SubscribeRequested returns a channel that holds a value when the balancer has subscribed to the
// endpoint list.
func (e *Engine) SubscribeRequested() <-chan struct{} { return e.subscribeRequested }

// Account returns the account of the memory that peers make the process hold.
func (e *Engine) Account() *memory.Account { return e.account }

// Ready reports whether any endpoint has been known since the start.
func (e *Engine) Ready() bool { return e.ready.Load() }

// Settings returns the current settings. A reload (SIGHUP) replaces them; they must not be modified.
func (e *Engine) Settings() *config.Settings { return e.settings.Load() }

// LookupEndpoint returns the address of the endpoint that discovery lists under a name, and
// reports whether it is in service and whether it is known at all.
func (e *Engine) LookupEndpoint(name string) (addr string, inService, known bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	ep := e.endpoints[e.ids.byName[name]]
	if ep == nil || ep.name != name {
		return "", false, false
	}
	return ep.route.Addr, !ep.outOfService, true
}

// Stats are counts of what the engine holds.
type Stats struct {
	CallsTotal       int // calls passed to the balancer since the start
	OpenCalls        int // calls without a final result, or with an attempt in flight
	AttemptsInFlight int
	WaitingExchanges int // exchanges that wait for another's connection to be closed
	Endpoints        int // endpoints that are known, or have an attempt or probe in flight
	EndpointNames    int // endpoint names that have an ID
}

// Stats returns the current counts.
func (e *Engine) Stats() Stats {
	e.mu.Lock()
	defer e.mu.Unlock()
	s := Stats{CallsTotal: int(e.lastRequestID), OpenCalls: len(e.calls), Endpoints: len(e.endpoints), EndpointNames: max(len(e.ids.byName), len(e.ids.usedIDs)),
		WaitingExchanges: e.pool.WaitingExchanges()}
	for _, ep := range e.endpoints {
		s.AttemptsInFlight += len(ep.inFlightAttempts)
	}
	return s
}

// UpdateEndpoints applies a list from discovery, full or of changes. The list must have passed
// [discovery.List.Check].
func (e *Engine) UpdateEndpoints(list *discovery.List) {
	kind := balance.ListChanges
	if list.Full {
		kind = balance.ListFull
	}
	e.applyList(kind, list)
}

// RecordDiscoveryResponse records that discovery has responded now, with or without changes, to a request that was sent
// at requestedAt. The list must have been applied before.
func (e *Engine) RecordDiscoveryResponse(requestedAt time.Time) {
	e.pool.ConfirmRoutes(requestedAt)
	e.mu.Lock()
	defer e.mu.Unlock()
	e.startTimes.lastResponseAt = e.now()
}

// RecordDiscoveryFailure notifies the balancer that a discovery request has failed. silent states that it got no
// response and was given up.
func (e *Engine) RecordDiscoveryFailure(silent bool) {
	kind := balance.ListUnavailable
	if silent {
		kind = balance.ListSilent
	}
	e.applyList(kind, &discovery.List{})
}

// applyList updates the endpoints and the balancer from a list. It locks e.mu.
func (e *Engine) applyList(kind balance.ListKind, list *discovery.List) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if kind == balance.ListFull || kind == balance.ListLastKnown {
		for _, ep := range e.endpoints {
			ep.outOfService, ep.removed = true, true
		}
	}
	entries := e.ids.listEntries(list)
	if kind == balance.ListChanges {
		entries = append(entries, e.supersededEntries(entries)...)
	}
	endpoints := make([]balance.Endpoint, len(entries))
	now := e.now()
	for i, entry := range entries {
		ep := e.endpoints[entry.ID]
		reportedStart := entry.StartedAt
		entry.StartedAt = e.startTimes.startTime(reportedStart, now, ep)
		endpoints[i] = entry.Endpoint
		if ep == nil {
			ep = &endpoint{name: entry.name, route: &upstream.Route{Addr: entry.addr}, startedAt: entry.StartedAt}
			e.endpoints[entry.ID] = ep
		}
		ep.reportedStart = reportedStart
		// Connections to the previous address or process must not be reused: one to a machine that
		// vanished may stay open and silent, and the next request on it would be lost.
		addr := cmp.Or(entry.addr, ep.route.Addr)
		if addr != ep.route.Addr || entry.StartedAt != ep.startedAt || ep.routeClosed && entry.State == balance.InService {
			e.closeRoute(ep)
			ep.route, ep.startedAt, ep.routeClosed = &upstream.Route{Addr: addr}, entry.StartedAt, false
		}
		ep.outOfService, ep.removed = entry.State != balance.InService, entry.State == balance.Removed
		slog.Debug("endpoint", "name", entry.name, "version", list.Generation, "whole list", kind != balance.ListChanges,
			"in service", !ep.outOfService, "gone", ep.removed)
	}
	e.handleEvent(func(now time.Duration, actions []balance.Action) []balance.Action {
		return e.balancer.EndpointsUpdated(now, kind, endpoints, actions)
	})
	if len(e.endpoints) > 0 {
		e.ready.Store(true)
	}
	if kind == balance.ListChanges {
		for _, entry := range entries {
			e.withdrawIfOutOfService(entry.ID)
		}
	} else {
		for id := range e.endpoints {
			e.withdrawIfOutOfService(id)
		}
	}
	e.reserveEndpoints()
}

// bytesPerEndpoint is the memory that the engine and the balancer hold for an endpoint.
const bytesPerEndpoint = 1 << 10

// reserveEndpoints reserves the memory of the endpoints that are known now. The caller must hold e.mu.
func (e *Engine) reserveEndpoints() {
	bytes := bytesPerEndpoint * len(e.endpoints)
	e.account.Reserve(memory.Infrastructure, bytes-e.endpointBytes)
	e.endpointBytes = bytes
}

// supersededEntries returns entries that remove the endpoints whose address a list of changes gives to another endpoint
// that started later: they have gone, although the list does not say so yet. The caller must hold e.mu.
func (e *Engine) supersededEntries(entries []listEntry) (removed []listEntry) {
	listed := make(map[balance.EndpointID]bool, len(entries))
	newStart := make(map[string]time.Duration, len(entries)) // by address, of endpoints that are new there
	for _, entry := range entries {
		listed[entry.ID] = true
		if ep := e.endpoints[entry.ID]; entry.State != balance.Removed && (ep == nil || ep.route.Addr != entry.addr) {
			newStart[entry.addr] = entry.StartedAt
		}
	}
	if len(newStart) == 0 {
		return nil
	}
	for id, ep := range e.endpoints {
		if startedAt, ok := newStart[ep.route.Addr]; ok && !listed[id] && !ep.removed && startedAt > ep.reportedStart {
			slog.Info("endpoint's address was taken over by another", "name", ep.name, "addr", ep.route.Addr)
			entry := listEntry{name: ep.name, Endpoint: balance.Endpoint{ID: id, State: balance.Removed, Weight: 1, StartedAt: ep.reportedStart}}
			removed = append(removed, entry)
		}
	}
	return removed
}

// closeRoute closes the idle connections of an endpoint's route and cancels what waits to be sent on it. The caller must
// hold e.mu.
func (e *Engine) closeRoute(ep *endpoint) {
	for _, a := range ep.inFlightAttempts {
		a.CancelUnsent()
	}
	e.pool.CloseIdleConnections(ep.route, false)
}

// withdrawIfOutOfService cancels what has not been sent yet to an endpoint that is out of service,
// closes its idle connections, and drops it if it is removed and unused. An attempt that waits for a
// connection to it must not be sent once the connection is up. The caller must hold e.mu.
func (e *Engine) withdrawIfOutOfService(id balance.EndpointID) {
	ep := e.endpoints[id]
	if ep == nil || !ep.outOfService {
		return
	}
	e.closeRoute(ep)
	ep.routeClosed = true
	e.dropEndpointIfUnused(id, ep)
}
