// Package upstream carries requests to endpoints: routes, the pool of connections, and
// exchanges of one request for one answer. An exchange goes out at most once, on a connection
// that nothing is left to read on, and not at all once its endpoint has left; it tells what
// can't have run from what may have.
package upstream

import (
	"context"
	"errors"
	"net"
	"slices"
	"sync"
	"time"

	"barleydrum.example/barleydrum/internal/http1"
	"barleydrum.example/barleydrum/internal/tcpconn"
	"barleydrum.example/barleydrum/internal/transferrate"
)

// Route is the way to one process of an endpoint. Its connections are of no use to another
// process, also where that has its id or its address: each has a route of its own.
type Route struct {
	Addr string

	closed bool    // no connection is kept; under Pool.mu
	idle   []*conn // those that lead there, the one unused for longest first; under Pool.mu
}

// Config says how a pool is kept.
type Config struct {
	MaxConnections int                   // that may be open
	ConnectTimeout time.Duration         // a new one may take to come up
	IdleTimeout    time.Duration         // one may stand idle
	ResponseLimits func() ResponseLimits // of answers; they may change

	// Dial opens a connection, nil for net.Dialer's DialContext.
	Dial func(ctx context.Context, network, addr string) (net.Conn, error)

	// NewRateMeter is what is asked of an endpoint that takes a body, or sends one, as it comes.
	NewRateMeter func() transferrate.Meter
}

// ResponseLimits are what of an answer is taken.
type ResponseLimits struct {
	HeadBytes         int   // bytes of its head, interim answers and all
	BufferedBodyBytes int64 // bytes of its body that are held whole

	// An answer 200 that is longer is passed on as it comes.
	StreamedBodyBytes   int64 // bytes of it, 0 for none
	PrefetchBytes       int64 // bytes that must have come before any goes on
	StreamUnknownLength bool  // also one of unknown length, from Look bytes on
}

// Pool holds the connections to endpoints, each of which carries one exchange at a time.
type Pool struct {
	cfg        Config
	bufs       http1.BufferPool
	streamBufs http1.BufferPool // for answers that flow
	slots      chan struct{}    // one for each connection that is open

	mu              sync.Mutex
	oldestIdle      *conn // of all that are idle
	newestIdle      *conn
	expiryScheduled bool // a timer will look for those to close
	slotWaiters     int  // exchanges that wait for a slot
}

// conn is a connection to an endpoint.
type conn struct {
	*tcpconn.Conn
	route      *Route
	idleSince  time.Time // when it fell idle
	prev, next *conn     // by that, while it is idle
	closeOnce  sync.Once
	pool       *Pool
}

// NewPool returns a Pool.
func NewPool(cfg Config) *Pool {
	if cfg.Dial == nil {
		cfg.Dial = new(net.Dialer).DialContext
	}
	return &Pool{cfg: cfg, streamBufs: http1.BufferPool{InitialSize: streamBufferBytes}, slots: make(chan struct{}, cfg.MaxConnections)}
}

// Close closes a connection and gives its slot back.
func (c *conn) Close() error {
	var err error
	c.closeOnce.Do(func() {
		err = c.Conn.Close()
		<-c.pool.slots
	})
	return err
}

// errNoSlot says that a connection can't be opened for a reason that lies on this side.
var errNoSlot = errors.New("this machine has no room for a connection")

// How often a connection is tried that can't be made for a moment, and the first pause between two tries,
// which doubles.
const (
	maxDialTries        = 5
	firstDialRetryDelay = time.Millisecond
)

// takeIdle removes and returns the idle connection to a route that was used last, or nil.
func (p *Pool) takeIdle(to *Route) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := len(to.idle)
	if n == 0 {
		return nil
	}
	c := to.idle[n-1]
	to.idle[n-1], to.idle = nil, to.idle[:n-1]
	p.unlink(c)
	return c
}

// takeOldestIdle removes and returns the connection that has been idle for longest, or nil. It is the
// first of its route as well.
func (p *Pool) takeOldestIdle() *conn {
	c := p.oldestIdle
	if c == nil {
		return nil
	}
	p.unlink(c)
	c.route.idle = slices.Delete(c.route.idle, 0, 1)
	return c
}

// put takes a connection back that is whole, with nothing left to read.
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

// closeExpired closes the connections that have stood idle for long enough.
func (p *Pool) closeExpired() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := p.oldestIdle; c != nil; c = p.oldestIdle {
		if left := p.cfg.IdleTimeout - time.Since(c.idleSince); left > 0 {
			time.AfterFunc(left, p.closeExpired)
			return
		}
		p.takeOldestIdle().Close()
	}
	p.expiryScheduled = false
}

// CloseIdleConnections closes the idle connections to a route. A route that is not kept gets no more.
func (p *Pool) CloseIdleConnections(to *Route, keep bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	to.closed = to.closed || !keep
	for _, c := range to.idle {
		p.unlink(c)
		c.Close()
	}
	to.idle = nil
}

// OpenConnections is how many connections are open or coming up.
func (p *Pool) OpenConnections() int { return len(p.slots) }

// WaitingExchanges is how many exchanges wait for another's connection to be closed.
func (p *Pool) WaitingExchanges() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.slotWaiters
}

// dial opens a connection. With all slots taken, the one unused for longest gives way.
func (p *Pool) dial(ctx context.Context, to *Route) (*conn, error) {
	ctx, cancel := context.WithTimeout(ctx, p.cfg.ConnectTimeout)
	defer cancel()
	select {
	case p.slots <- struct{}{}:
	default:
		if err := p.waitForSlot(ctx); err != nil {
			return nil, err
		}
	}
	nc, err := p.dialWithRetry(ctx, to.Addr)
	if err != nil {
		<-p.slots
		if tcpconn.IsTransientLocalError(err) {
			err = errors.Join(errNoSlot, err)
		}
		return nil, err
	}
	s, err := tcpconn.New(nc, &p.bufs)
	if err != nil {
		<-p.slots
		return nil, errors.Join(err, nc.Close())
	}
	return &conn{Conn: s, route: to, pool: p}, nil
}

// dialWithRetry opens a connection. What lies on this machine and may pass is tried again, for a moment.
func (p *Pool) dialWithRetry(ctx context.Context, addr string) (net.Conn, error) {
	pause := firstDialRetryDelay
	for try := 1; ; try++ {
		nc, err := p.cfg.Dial(ctx, "tcp", addr)
		if err == nil || try == maxDialTries || !tcpconn.IsTransientLocalError(err) || tcpconn.IsOutOfDescriptors(err) {
			return nc, err
		}
		select {
		case <-time.After(pause):
		case <-ctx.Done():
			return nil, err
		}
		pause *= 2
	}
}

// waitForSlot waits for a slot.
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
