// Package httpserver takes callers' connections and reads their requests. It holds to what each
// caller may take of time, bytes and places, and hands on whole requests only; what they are
// about is a [Handler]'s to judge.
//
// Each connection has one goroutine, which serves its requests one after another. It holds no
// buffer while the connection is idle. One further goroutine hears of all callers that go away
// while their request is being answered.
package httpserver

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"barleydrum.example/barleydrum/internal/body"
	"barleydrum.example/barleydrum/internal/http1"
	"barleydrum.example/barleydrum/internal/tcpconn"
)

// Handler answers requests.
type Handler interface {
	// CheckHead judges a request by its head, before its body is waited for. It returns nil to have
	// the body read, or the answer to it; the connection ends after that, since what follows on
	// it can't be trusted. It sets x.Flows to have the body as it arrives.
	CheckHead(x *Exchange) *ErrorResponse

	// ServeExchange answers a request, which has come whole unless it flows, by x.Answer, or by x.Begin
	// and what follows on it. What x holds is valid until it returns.
	ServeExchange(x *Exchange)
}

// ErrorResponse is the answer to a request that can't be used.
type ErrorResponse struct {
	Status     int
	Message    string
	RetryAfter time.Duration // when to come back, 0 for no advice
}

func (r *ErrorResponse) fields(b []byte) []byte {
	if r.RetryAfter > 0 {
		b = http1.AppendRetryAfter(b, r.RetryAfter)
	}
	return b
}

// Canceler is told, once, that the caller of a request that is being answered has gone. It must
// not call the door.
type Canceler interface{ Cancel() }

// Timeouts are what a caller may take. They may change while the door is open.
type Timeouts struct {
	Head          time.Duration // from a request's first byte, or a connection's begin, to its head's end
	Body          time.Duration // for the body, beyond what is left of Head
	Idle          time.Duration // between two requests
	Write         time.Duration // to take an answer
	EvictionGrace time.Duration // for which part of a request is safe from giving way
}

// Config says how a door is kept.
type Config struct {
	Handler        Handler
	MaxConnections int        // connections that may be open
	MaxHeadBytes   int        // bytes of a request's head
	MaxBodyBytes   func() int // bytes of a body that comes in chunks and is held whole
	Timeouts       func() Timeouts
}

// Server is a server of callers.
type Server struct {
	cfg      Config
	limits   http1.Limits
	bufs     http1.BufferPool
	pieces   http1.BufferPool // for bodies that flow in chunks
	outs     sync.Pool        // of *[]byte, for answers
	slots    chan struct{}    // one for each connection that is open
	shut     chan struct{}
	draining atomic.Bool
	watch    *tcpconn.DisconnectWatcher
	date     atomic.Pointer[date]

	mu        sync.Mutex
	places    places
	conns     map[uint64]*conn // that are open, by number
	last      uint64
	looking   bool // a timer will make room
	closing   bool // what has not come whole by now is cut off
	listeners []net.Listener
	empty     chan struct{} // closed once the last connection has gone, where Shutdown waits
}

// conn is a caller's connection. Its goroutine owns it; what is under mu is the door's.
type conn struct {
	*tcpconn.Conn
	guest    guest // under Door.mu
	number   uint64
	gone     bool     // the caller has gone; under Door.mu
	canceler Canceler // of the request that is being answered; under Door.mu
	asked    error    // to end, and why; under Door.mu

	head    *http1.Request
	buf     *http1.Buffer // nil while there is nothing in it
	first   time.Time     // when the first byte of the request came
	arrived time.Time     // the earliest at which its last byte may have come, or the first of one that flows
	ahead   bool          // it began to come ahead of the answer to the one before
	read    time.Time     // the last time that something was read
	came    time.Time     // the earliest at which that may have come
	since   time.Time     // of the last answer, or of its begin
	whole   int           // bytes of the request that is being answered

	opened   time.Time
	owed     bool // a request has been handed on whose answer has not gone out whole
	answered int  // requests

	hijacked bool // the connection is another's
	x        Exchange
}

// New returns a Door.
func New(cfg Config) (*Server, error) {
	w, err := tcpconn.NewDisconnectWatcher()
	if err != nil {
		return nil, fmt.Errorf("door: %w", err)
	}
	d := &Server{
		cfg: cfg, limits: http1.DefaultLimits, watch: w,
		pieces: http1.BufferPool{InitialSize: body.BlockSize},
		slots:  make(chan struct{}, cfg.MaxConnections), shut: make(chan struct{}),
		places: places{most: cfg.MaxConnections}, conns: make(map[uint64]*conn),
	}
	d.limits.HeadBytes = cfg.MaxHeadBytes
	go func() {
		if err := w.Run(d.left); err != nil {
			slog.Error("door: callers that go away are noticed no more", "err", err)
		}
	}()
	return d, nil
}

// Serve accepts connections until Shutdown or Close. Several listeners may be served together.
func (d *Server) Serve(l net.Listener) error {
	d.mu.Lock()
	d.listeners = append(d.listeners, l)
	d.mu.Unlock()
	var pause time.Duration
	for {
		select {
		case d.slots <- struct{}{}:
		case <-d.shut:
			return nil
		}
		c, err := l.Accept()
		if err == nil {
			if err := d.enter(c); err != nil {
				slog.Warn("door: a connection can't be served", "err", err)
				<-d.slots
			}
			pause = 0
			continue
		}
		<-d.slots
		select {
		case <-d.shut:
			return nil
		default:
		}
		// A connection that breaks as it is accepted says nothing of the next. Without a
		// descriptor the next fails too, until one is free: the least loss gives way.
		if tcpconn.IsFatalAcceptError(err) {
			return fmt.Errorf("door: %w", err)
		}
		if tcpconn.IsOutOfDescriptors(err) {
			d.mu.Lock()
			d.evict(nil)
			d.mu.Unlock()
		}
		pause = min(max(2*pause, time.Millisecond), 100*time.Millisecond)
		select {
		case <-time.After(pause):
		case <-d.shut:
			return nil
		}
	}
}

// enter lets a connection in, whose place has been taken.
func (d *Server) enter(nc net.Conn) error {
	s, err := tcpconn.New(nc, &d.bufs)
	if err != nil {
		return errors.Join(err, nc.Close())
	}
	c := &conn{Conn: s, head: http1.NewRequest(d.limits), since: time.Now()}
	c.opened = c.since
	c.guest.conn, c.x.c, c.x.d = c, c, d
	d.mu.Lock()
	d.last++
	c.number = d.last
	d.conns[c.number] = c
	d.places.enter(&c.guest, c.since)
	d.makeRoom(&c.guest)
	d.mu.Unlock()
	if err := d.watch.Add(s, c.number); err != nil && !errors.Is(err, net.ErrClosed) {
		d.leave(c)
		return errors.Join(err, nc.Close())
	}
	go d.serve(c)
	return nil
}

// forget forgets a connection and gives its place back.
func (d *Server) forget(c *conn) {
	d.leave(c)
	<-d.slots
}

// leave forgets a connection.
func (d *Server) leave(c *conn) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.places.leave(&c.guest)
	delete(d.conns, c.number)
	if len(d.conns) == 0 && d.empty != nil {
		close(d.empty)
		d.empty = nil
	}
}

// reached notes the stage of a connection. One that was asked to end and has read something since
// is in again: whatever has been read gets its answer.
func (d *Server) reached(c *conn, at stage, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	c.asked = nil
	if !d.places.move(&c.guest, at, now) {
		d.places.enter(&c.guest, now)
		d.places.move(&c.guest, at, now)
		d.makeRoom(&c.guest)
		return
	}
	if at != taken {
		d.makeRoom(&c.guest)
	}
}

// ask asks a connection to end that has no request which is being answered. Its own goroutine ends it,
// unless that has read something by then. The caller holds the lock.
func (d *Server) ask(c *conn, reason error) {
	c.asked = reason
	c.SetReadDeadline(past)
}

// asked is why a connection has been asked to end, nil if it has not been.
func (d *Server) asked(c *conn) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	return c.asked
}

// allow sets the time by which something must be read, unless the connection is to end.
func (d *Server) allow(c *conn, until time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if c.asked == nil && (d.closing || c.guest.at == idle && d.draining.Load()) {
		c.asked = errDraining
	}
	if c.asked != nil {
		until = past
	}
	c.SetReadDeadline(until)
}

// makeRoom closes connections until a place is free. If none may be closed yet, it looks
// again later.
func (d *Server) makeRoom(newest *guest) {
	for d.places.full() {
		if d.evict(newest) {
			continue
		}
		if !d.looking {
			d.looking = true
			time.AfterFunc(d.cfg.Timeouts().EvictionGrace, func() {
				d.mu.Lock()
				defer d.mu.Unlock()
				d.looking = false
				d.makeRoom(nil)
			})
		}
		return
	}
}

// evict closes the connection that is the least loss, and tells whether there was one.
func (d *Server) evict(newest *guest) bool {
	out := d.places.victim(newest, time.Now(), d.cfg.Timeouts().EvictionGrace, func(g *guest) bool { return g.conn.ReadWouldBlock() })
	if out == nil {
		return false
	}
	d.places.leave(out)
	d.ask(out.conn, errEvicted)
	return true
}

// gone tells whether a connection's caller has gone.
func (d *Server) gone(c *conn) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return c.gone
}

// left tells whoever answers a caller's request that the caller has gone.
func (d *Server) left(number uint64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	c := d.conns[number]
	if c == nil || c.gone {
		return
	}
	c.gone = true
	if c.canceler != nil {
		c.canceler.Cancel()
	}
}

// Shutdown steers callers off: idle connections end, answers say that theirs ends, and after linger no
// more connections are accepted, and those end on which no whole request has come. It returns when all
// have gone, or when ctx ends, with how many are left.
func (d *Server) Shutdown(ctx context.Context, linger time.Duration) (left int) {
	d.draining.Store(true)
	d.askAll(idle)
	select {
	case <-time.After(linger):
	case <-ctx.Done():
	}
	d.closeListeners()
	d.mu.Lock()
	d.closing = true
	d.mu.Unlock()
	d.askAll(silent, idle, partial)
	select {
	case <-d.emptied():
	case <-ctx.Done():
	}
	d.mu.Lock()
	left = len(d.conns)
	d.mu.Unlock()
	d.Close()
	return left
}

// askAll asks all connections at some stages to end, for the shutdown.
func (d *Server) askAll(stages ...stage) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, at := range stages {
		for g := d.places.lists[at].front; g != nil; g = g.next {
			d.ask(g.conn, errDraining)
		}
	}
}

// emptied is closed once no connection is left.
func (d *Server) emptied() <-chan struct{} {
	d.mu.Lock()
	defer d.mu.Unlock()
	empty := make(chan struct{})
	if len(d.conns) == 0 {
		close(empty)
	} else {
		d.empty = empty
	}
	return empty
}

func (d *Server) closeListeners() {
	d.mu.Lock()
	defer d.mu.Unlock()
	select {
	case <-d.shut:
	default:
		close(d.shut)
	}
	for _, l := range d.listeners {
		l.Close()
	}
	d.listeners = nil
}

// Close ends all listeners and connections at once.
func (d *Server) Close() {
	d.closeListeners()
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, c := range d.conns {
		c.Close()
	}
	d.watch.Close()
}

// Draining tells whether Shutdown has begun.
func (d *Server) Draining() bool { return d.draining.Load() }
