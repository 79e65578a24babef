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

func (r *ErrorResponse) appendFields(b []byte) []byte {
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
	cfg             Config
	limits          http1.Limits
	readBuffers     http1.BufferPool
	chunkBuffers    http1.BufferPool // for bodies that flow in chunks
	responseBuffers sync.Pool        // of *[]byte, for answers
	slots           chan struct{}    // one for each connection that is open
	acceptStopped   chan struct{}
	draining        atomic.Bool
	watcher         *tcpconn.DisconnectWatcher
	dateField       atomic.Pointer[cachedDate]

	mu                sync.Mutex
	table             connTable
	conns             map[uint64]*conn // that are open, by number
	lastConnID        uint64
	evictionScheduled bool // a timer will make room
	abortIncomplete   bool // what has not come whole by now is cut off
	listeners         []net.Listener
	allClosed         chan struct{} // closed once the last connection has gone, where Shutdown waits
}

// conn is a caller's connection. Its goroutine owns it; what is under mu is the door's.
type conn struct {
	*tcpconn.Conn
	entry        tableEntry // under Door.mu
	id           uint64
	disconnected bool     // the caller has gone; under Door.mu
	canceler     Canceler // of the request that is being answered; under Door.mu
	closeReason  error    // to end, and why; under Door.mu

	head              *http1.Request
	buf               *http1.Buffer // nil while there is nothing in it
	requestStartedAt  time.Time     // when the first byte of the request came
	receivedAt        time.Time     // the earliest at which its last byte may have come, or the first of one that flows
	pipelined         bool          // it began to come ahead of the answer to the one before
	lastReadAt        time.Time     // the last time that something was read
	earliestArrivalAt time.Time     // the earliest at which that may have come
	idleSince         time.Time     // of the last answer, or of its begin
	requestBytes      int           // bytes of the request that is being answered

	openedAt        time.Time
	responsePending bool // a request has been handed on whose answer has not gone out whole
	responseCount   int  // requests

	hijacked bool // the connection is another's
	exchange Exchange
}

// New returns a Door.
func New(cfg Config) (*Server, error) {
	w, err := tcpconn.NewDisconnectWatcher()
	if err != nil {
		return nil, fmt.Errorf("door: %w", err)
	}
	d := &Server{
		cfg: cfg, limits: http1.DefaultLimits, watcher: w,
		chunkBuffers: http1.BufferPool{InitialSize: body.BlockSize},
		slots:        make(chan struct{}, cfg.MaxConnections), acceptStopped: make(chan struct{}),
		table: connTable{maxOpen: cfg.MaxConnections}, conns: make(map[uint64]*conn),
	}
	d.limits.HeadBytes = cfg.MaxHeadBytes
	go func() {
		if err := w.Run(d.notifyDisconnect); err != nil {
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
		case <-d.acceptStopped:
			return nil
		}
		c, err := l.Accept()
		if err == nil {
			if err := d.addConn(c); err != nil {
				slog.Warn("door: a connection can't be served", "err", err)
				<-d.slots
			}
			pause = 0
			continue
		}
		<-d.slots
		select {
		case <-d.acceptStopped:
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
			d.evictOne(nil)
			d.mu.Unlock()
		}
		pause = min(max(2*pause, time.Millisecond), 100*time.Millisecond)
		select {
		case <-time.After(pause):
		case <-d.acceptStopped:
			return nil
		}
	}
}

// addConn lets a connection in, whose place has been taken.
func (d *Server) addConn(nc net.Conn) error {
	s, err := tcpconn.New(nc, &d.readBuffers)
	if err != nil {
		return errors.Join(err, nc.Close())
	}
	c := &conn{Conn: s, head: http1.NewRequest(d.limits), idleSince: time.Now()}
	c.openedAt = c.idleSince
	c.entry.conn, c.exchange.conn, c.exchange.server = c, c, d
	d.mu.Lock()
	d.lastConnID++
	c.id = d.lastConnID
	d.conns[c.id] = c
	d.table.add(&c.entry, c.idleSince)
	d.evictUntilBelowLimit(&c.entry)
	d.mu.Unlock()
	if err := d.watcher.Add(s, c.id); err != nil && !errors.Is(err, net.ErrClosed) {
		d.removeConn(c)
		return errors.Join(err, nc.Close())
	}
	go d.serveConn(c)
	return nil
}

// releaseConn forgets a connection and gives its place back.
func (d *Server) releaseConn(c *conn) {
	d.removeConn(c)
	<-d.slots
}

// removeConn forgets a connection.
func (d *Server) removeConn(c *conn) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.table.remove(&c.entry)
	delete(d.conns, c.id)
	if len(d.conns) == 0 && d.allClosed != nil {
		close(d.allClosed)
		d.allClosed = nil
	}
}

// setStage notes the stage of a connection. One that was asked to end and has read something since
// is in again: whatever has been read gets its answer.
func (d *Server) setStage(c *conn, at connStage, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	c.closeReason = nil
	if !d.table.setStage(&c.entry, at, now) {
		d.table.add(&c.entry, now)
		d.table.setStage(&c.entry, at, now)
		d.evictUntilBelowLimit(&c.entry)
		return
	}
	if at != stageServing {
		d.evictUntilBelowLimit(&c.entry)
	}
}

// requestClose asks a connection to end that has no request which is being answered. Its own goroutine ends it,
// unless that has read something by then. The caller holds the lock.
func (d *Server) requestClose(c *conn, reason error) {
	c.closeReason = reason
	c.SetReadDeadline(expiredDeadline)
}

// closeReason is why a connection has been asked to end, nil if it has not been.
func (d *Server) closeReason(c *conn) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	return c.closeReason
}

// setReadDeadline sets the time by which something must be read, unless the connection is to end.
func (d *Server) setReadDeadline(c *conn, until time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if c.closeReason == nil && (d.abortIncomplete || c.entry.stage == stageIdle && d.draining.Load()) {
		c.closeReason = errShuttingDown
	}
	if c.closeReason != nil {
		until = expiredDeadline
	}
	c.SetReadDeadline(until)
}

// evictUntilBelowLimit closes connections until a place is free. If none may be closed yet, it looks
// again later.
func (d *Server) evictUntilBelowLimit(newest *tableEntry) {
	for d.table.full() {
		if d.evictOne(newest) {
			continue
		}
		if !d.evictionScheduled {
			d.evictionScheduled = true
			time.AfterFunc(d.cfg.Timeouts().EvictionGrace, func() {
				d.mu.Lock()
				defer d.mu.Unlock()
				d.evictionScheduled = false
				d.evictUntilBelowLimit(nil)
			})
		}
		return
	}
}

// evictOne closes the connection that is the least loss, and tells whether there was one.
func (d *Server) evictOne(newest *tableEntry) bool {
	out := d.table.evictionCandidate(newest, time.Now(), d.cfg.Timeouts().EvictionGrace, func(g *tableEntry) bool { return g.conn.ReadWouldBlock() })
	if out == nil {
		return false
	}
	d.table.remove(out)
	d.requestClose(out.conn, errEvicted)
	return true
}

// callerDisconnected tells whether a connection's caller has gone.
func (d *Server) callerDisconnected(c *conn) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return c.disconnected
}

// notifyDisconnect tells whoever answers a caller's request that the caller has gone.
func (d *Server) notifyDisconnect(number uint64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	c := d.conns[number]
	if c == nil || c.disconnected {
		return
	}
	c.disconnected = true
	if c.canceler != nil {
		c.canceler.Cancel()
	}
}

// Shutdown steers callers off: idle connections end, answers say that theirs ends, and after linger no
// more connections are accepted, and those end on which no whole request has come. It returns when all
// have gone, or when ctx ends, with how many are left.
func (d *Server) Shutdown(ctx context.Context, linger time.Duration) (left int) {
	d.draining.Store(true)
	d.requestCloseAll(stageIdle)
	select {
	case <-time.After(linger):
	case <-ctx.Done():
	}
	d.closeListeners()
	d.mu.Lock()
	d.abortIncomplete = true
	d.mu.Unlock()
	d.requestCloseAll(stageNew, stageIdle, stageReading)
	select {
	case <-d.allConnsClosed():
	case <-ctx.Done():
	}
	d.mu.Lock()
	left = len(d.conns)
	d.mu.Unlock()
	d.Close()
	return left
}

// requestCloseAll asks all connections at some stages to end, for the shutdown.
func (d *Server) requestCloseAll(stages ...connStage) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, at := range stages {
		for g := d.table.lists[at].front; g != nil; g = g.next {
			d.requestClose(g.conn, errShuttingDown)
		}
	}
}

// allConnsClosed is closed once no connection is left.
func (d *Server) allConnsClosed() <-chan struct{} {
	d.mu.Lock()
	defer d.mu.Unlock()
	empty := make(chan struct{})
	if len(d.conns) == 0 {
		close(empty)
	} else {
		d.allClosed = empty
	}
	return empty
}

func (d *Server) closeListeners() {
	d.mu.Lock()
	defer d.mu.Unlock()
	select {
	case <-d.acceptStopped:
	default:
		close(d.acceptStopped)
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
	d.watcher.Close()
}

// Draining tells whether Shutdown has begun.
func (d *Server) Draining() bool { return d.draining.Load() }
