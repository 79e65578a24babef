// Package upstream sends requests to endpoints. It provides routes, a pool of connections, and
// exchanges of one request for one response. The request of an exchange is sent at most once, on a
// connection with no data left to read, and not at all once its endpoint has left service. The
// result distinguishes requests that can't have run from those that may have run. The package neither chooses
// endpoints nor retries requests; that is up to the balancer.
package upstream

import (
	"context"
	"errors"
	"net"
	"slices"
	"sync"
	"time"

	"barleydrum.example/barleydrum/internal/http1"
	"barleydrum.example/barleydrum/internal/memory"
	"barleydrum.example/barleydrum/internal/tcpconn"
	"barleydrum.example/barleydrum/internal/transferrate"
)

// Route leads to one process of an endpoint. Its connections can't be used for another process, even
// if that has the same ID or address: each process has a route of its own.
type Route struct {
	Addr string // host and port

	closed   bool      // connections to it are closed rather than kept idle; guarded by Pool.mu
	idle     []*conn   // idle connections to it, the longest idle first; guarded by Pool.mu
	brokenAt time.Time // when a connection to it broke last, see Pool.processKnown; guarded by Pool.mu
}

// Config configures a Pool.
type Config struct {
	MaxConnections int                   // open at the same time, including those that are being opened
	ConnectTimeout time.Duration         // for opening a connection, including the wait for a free slot
	IdleTimeout    time.Duration         // after which an idle connection is closed
	ResponseLimits func() ResponseLimits // called for each exchange, since the limits may change
	RestTime       time.Duration         // after a response, before its connection is used again
	Account        *memory.Account       // of the memory of requests and responses; nil for no limit

	// Dial opens a connection. If it is nil, net.Dialer's DialContext is used.
	Dial func(ctx context.Context, network, addr string) (net.Conn, error)

	// NewRateMeter returns a meter with the minimum transfer rate of an endpoint that receives a streamed
	// request body or sends a streamed response body.
	NewRateMeter func() transferrate.Meter
}

// ResponseLimits bound the responses that are accepted.
type ResponseLimits struct {
	HeadBytes         int   // maximum length of the head, including all interim responses
	BufferedBodyBytes int64 // maximum length of a body that is buffered completely

	// A 200 response with a longer body is streamed.
	StreamedBodyBytes   int64 // maximum length of a streamed body; 0 for none
	PrefetchBytes       int64 // bytes that must have been received before any is passed on
	StreamUnknownLength bool  // also stream a body of unknown length once PrefetchBytes have been received
}

// Pool holds the connections to endpoints. Each connection serves one exchange at a time.
type Pool struct {
	cfg         Config
	requestBufs http1.BufferPool
	bufs        http1.BufferPool // for responses
	bodyBufs    http1.BufferPool // for bodies of responses that don't follow their head in its buffer
	streamBufs  http1.BufferPool // for streamed responses
	slots       chan struct{}    // holds one element for each connection that is open or being opened

	// mu guards the fields below, the unexported fields of routes, and idleSince, prev and next of
	// connections.
	mu              sync.Mutex
	oldestIdle      *conn // the ends of the list of all idle connections, ordered by idleSince
	newestIdle      *conn
	expiryScheduled bool      // a timer will call closeExpired
	slotWaiters     int       // exchanges that wait for a slot
	confirmedAt     time.Time // when the last list of endpoints that has arrived was requested
}

// conn is a connection to an endpoint. It occupies a slot of its pool until Close.
type conn struct {
	*tcpconn.Conn
	route      *Route
	idleSince  time.Time // when the connection became idle
	prev, next *conn     // neighbors in the list of idle connections, while the connection is idle
	closeOnce  sync.Once
	pool       *Pool

	openedAt    time.Time // when the connection was open
	knownAtDial bool      // the process at the route's address was known then, see Pool.processKnown
}

// NewPool returns a Pool without connections.
func NewPool(cfg Config) *Pool {
	if cfg.Dial == nil {
		cfg.Dial = new(net.Dialer).DialContext
	}
	return &Pool{
		cfg:         cfg,
		requestBufs: http1.BufferPool{Account: cfg.Account, FirstUse: memory.Forwarding, GrowthUse: memory.Forwarding},
		bufs:        http1.BufferPool{Account: cfg.Account, FirstUse: memory.ResponseStart, GrowthUse: memory.ResponseGrowth},
		bodyBufs:    http1.BufferPool{Account: cfg.Account, FirstUse: memory.ResponseStart, GrowthUse: memory.ResponseGrowth},
		streamBufs:  http1.BufferPool{InitialSize: streamBufferBytes},
		slots:       make(chan struct{}, cfg.MaxConnections),
	}
}

// Close closes the connection and frees its slot. Further calls have no effect.
func (c *conn) Close() error {
	var err error
	c.closeOnce.Do(func() {
		err = c.Conn.Close()
		<-c.pool.slots
	})
	return err
}

// errNoSlot reports that a connection can't be opened for a reason on this side: all slots are in use, or
// this machine can't open one for the moment.
var errNoSlot = errors.New("this machine can't open another connection")

// Dialing is tried up to maxDialTries times if this machine can't open a connection for the moment. The first
// delay between two tries is firstDialRetryDelay; each further one is twice as long.
const (
	maxDialTries        = 5
	firstDialRetryDelay = time.Millisecond
)

// maxRestingConns is the number of idle connections to a route from which on none is opened only because they have not
// rested for Config.RestTime: the one that has rested for longest is used then.
const maxRestingConns = 8

// takeIdle removes and returns an idle connection to a route: of those that have rested the one that was used last, so
// that the others can expire. It returns nil if there is none, or if a further one should be opened.
func (p *Pool) takeIdle(route *Route) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(route.idle) == 0 {
		return nil
	}
	restedSince := time.Now().Add(-p.cfg.RestTime)
	i := len(route.idle) - 1
	for i >= 0 && route.idle[i].idleSince.After(restedSince) {
		i--
	}
	if i < 0 && len(route.idle) < maxRestingConns && p.hasFreeSlots() {
		return nil
	}
	return p.removeIdle(route, max(i, 0))
}

// takeRestingIdle removes and returns the idle connection to a route that has rested for longest, nil if there is none.
func (p *Pool) takeRestingIdle(route *Route) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(route.idle) == 0 {
		return nil
	}
	return p.removeIdle(route, 0)
}

// removeIdle removes and returns the idle connection with index i of a route. The caller must hold p.mu.
func (p *Pool) removeIdle(route *Route, i int) *conn {
	c := route.idle[i]
	route.idle = slices.Delete(route.idle, i, i+1)
	p.unlink(c)
	return c
}

// hasFreeSlots reports whether a quarter of the slots is free, so that a connection that is opened for the sake of
// others' rest takes no slot from another route.
func (p *Pool) hasFreeSlots() bool { return len(p.slots) < cap(p.slots)*3/4 }

// takeOldestIdle removes and returns the longest idle connection of all routes, or nil if there is none. That
// connection is also the first in its route's list. The caller must hold p.mu.
func (p *Pool) takeOldestIdle() *conn {
	c := p.oldestIdle
	if c == nil {
		return nil
	}
	return p.removeIdle(c.route, 0)
}

// put returns a connection to the pool. The connection must be usable and have no data left to read. It is
// closed instead if its route is closed or an exchange waits for a slot.
func (p *Pool) put(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if c.route.closed || p.slotWaiters > 0 {
		c.Close()
		return
	}
	c.idleSince = time.Now()
	if c.prev = p.newestIdle; c.prev != nil {
		c.prev.next = c
	} else {
		p.oldestIdle = c
	}
	p.newestIdle = c
	c.route.idle = append(c.route.idle, c)
	if !p.expiryScheduled {
		p.expiryScheduled = true
		time.AfterFunc(p.cfg.IdleTimeout, p.closeExpired)
	}
}

// unlink removes a connection from the list of all idle connections, but not from its route's. The caller
// must hold p.mu.
func (p *Pool) unlink(c *conn) {
	if c.prev != nil {
		c.prev.next = c.next
	} else {
		p.oldestIdle = c.next
	}
	if c.next != nil {
		c.next.prev = c.prev
	} else {
		p.newestIdle = c.prev
	}
	c.prev, c.next = nil, nil
}

// closeExpired closes the connections that have been idle for the idle timeout. While others are idle, it
// schedules its next call.
func (p *Pool) closeExpired() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := p.oldestIdle; c != nil; c = p.oldestIdle {
		if remaining := p.cfg.IdleTimeout - time.Since(c.idleSince); remaining > 0 {
			time.AfterFunc(remaining, p.closeExpired)
			return
		}
		p.takeOldestIdle().Close()
	}
	p.expiryScheduled = false
}

// CloseIdleConnections closes the idle connections to a route. Unless keepRoute is set, it also closes the
// route: from then on connections to it are closed when they become idle.
func (p *Pool) CloseIdleConnections(route *Route, keepRoute bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	route.closed = route.closed || !keepRoute
	for _, c := range route.idle {
		p.unlink(c)
		c.Close()
	}
	route.idle = nil
}

// OpenConnections returns how many connections are open or being opened.
func (p *Pool) OpenConnections() int { return len(p.slots) }

// WaitingExchanges returns how many exchanges wait for the connection of another one to be closed.
func (p *Pool) WaitingExchanges() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.slotWaiters
}

// dial opens a connection. If all slots are in use, the longest idle connection is closed to free one.
func (p *Pool) dial(ctx context.Context, route *Route) (*conn, error) {
	ctx, cancel := context.WithTimeout(ctx, p.cfg.ConnectTimeout)
	defer cancel()
	select {
	case p.slots <- struct{}{}:
	default:
		if err := p.waitForSlot(ctx); err != nil {
			return nil, err
		}
	}
	netConn, err := p.dialWithRetry(ctx, route.Addr)
	if err != nil {
		<-p.slots
		if tcpconn.IsTransientLocalError(err) {
			err = errors.Join(errNoSlot, err)
		} else if !errors.Is(err, context.Canceled) {
			p.recordBreak(route)
		}
		return nil, err
	}
	tcpConn, err := tcpconn.New(netConn, &p.bufs)
	if err != nil {
		<-p.slots
		return nil, errors.Join(err, netConn.Close())
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	known := route.brokenAt.IsZero() || p.confirmedAt.After(route.brokenAt)
	return &conn{Conn: tcpConn, route: route, pool: p, openedAt: time.Now(), knownAtDial: known}, nil
}

// recordBreak records that a connection to a route has broken, or could not be opened: its process may have gone, and
// another one may answer at its address before a list of endpoints says so.
func (p *Pool) recordBreak(route *Route) {
	p.mu.Lock()
	defer p.mu.Unlock()
	route.brokenAt = time.Now()
}

// ConfirmRoutes records that a list of endpoints has arrived, which was requested at the given time. The processes that
// answered at the addresses of the routes then are those that the list names.
func (p *Pool) ConfirmRoutes(requestedAt time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if requestedAt.After(p.confirmedAt) {
		p.confirmedAt = requestedAt
	}
}

// processKnown reports whether a connection leads to the process that the lists of endpoints name for its route. A
// connection leads to one process for as long as it lasts. Which process that is is known as of the last list, unless a
// connection to the same address had broken since.
func (p *Pool) processKnown(c *conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return c.knownAtDial || p.confirmedAt.After(c.openedAt)
}

// dialWithRetry opens a connection. It tries again a few times after an error of this machine that may be
// transient, but not if file descriptors have run out.
func (p *Pool) dialWithRetry(ctx context.Context, addr string) (net.Conn, error) {
	delay := firstDialRetryDelay
	for try := 1; ; try++ {
		netConn, err := p.cfg.Dial(ctx, "tcp", addr)
		if err == nil || try == maxDialTries || !tcpconn.IsTransientLocalError(err) || tcpconn.IsOutOfDescriptors(err) {
			return netConn, err
		}
		select {
		case <-time.After(delay):
		case <-ctx.Done():
			return nil, err
		}
		delay *= 2
	}
}

// waitForSlot takes a slot as soon as one is free, and returns errNoSlot if ctx ends before. To free one, it
// closes the longest idle connection; while it waits, put closes the connections that it is given.
func (p *Pool) waitForSlot(ctx context.Context) error {
	p.mu.Lock()
	if c := p.takeOldestIdle(); c != nil {
		c.Close()
	}
	p.slotWaiters++
	p.mu.Unlock()
	defer func() {
		p.mu.Lock()
		p.slotWaiters--
		p.mu.Unlock()
	}()
	select {
	case p.slots <- struct{}{}:
		return nil
	case <-ctx.Done():
		return errNoSlot
	}
}
