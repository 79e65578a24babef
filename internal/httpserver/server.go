// Package httpserver accepts callers' connections and reads their HTTP/1.1 requests. It enforces
// limits on time, bytes and open connections, and passes only complete requests, or requests whose
// body is streamed, to a [Handler], which interprets them.
//
// Each connection has one goroutine, which serves its requests one after another and holds no
// buffer while the connection is idle. One more goroutine detects the callers that disconnect
// while their request is being served.
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

// Handler responds to requests. Its methods are called by the goroutine of the request's connection.
type Handler interface {
	// CheckHead inspects a request's head before the server waits for the body. It returns nil to
	// accept the request, or the response that rejects it; the server then closes the connection,
	// since the data that follows on it can't be trusted. CheckHead sets x.Streaming to receive
	// the body as it arrives.
	CheckHead(x *Exchange) *ErrorResponse

	// ServeExchange serves a request, which is complete unless it is streamed. It responds with
	// x.Respond, or with x.StartResponse, x.WriteBody and x.FinishResponse. The data that x refers
	// to is valid until ServeExchange returns.
	ServeExchange(x *Exchange)
}

// ErrorResponse is the response to a request that is rejected.
type ErrorResponse struct {
	Status     int
	Message    string
	RetryAfter time.Duration // value of the Retry-After field, 0 for no field
}

// appendFields appends the response's own header fields to b.
func (r *ErrorResponse) appendFields(b []byte) []byte {
	if r.RetryAfter > 0 {
		b = http1.AppendRetryAfter(b, r.RetryAfter)
	}
	return b
}

// Canceler is notified when the caller of a request that is being served disconnects. The server
// calls Cancel once, with its lock held, so Cancel must not call the server.
type Canceler interface{ Cancel() }

// Timeouts are the times that a caller is allowed. They may change while the server is running.
type Timeouts struct {
	Head          time.Duration // from a request's first byte, or the opening of its connection, to the end of its head
	Body          time.Duration // for the body, in addition to what remains of Head
	Idle          time.Duration // between two requests
	Write         time.Duration // for the caller to receive a response
	EvictionGrace time.Duration // during which a connection that is new, or has part of a request, is not evicted
}

// Config configures a Server.
type Config struct {
	Handler        Handler
	MaxConnections int        // connections that may be open at once
	MaxHeadBytes   int        // largest head of a request
	MaxBodyBytes   func() int // largest chunked body that is buffered whole; streamed bodies have StreamLimits
	Timeouts       func() Timeouts
}

// Server serves HTTP/1.1 connections of callers.
type Server struct {
	cfg             Config
	limits          http1.Limits
	readBuffers     http1.BufferPool
	chunkBuffers    http1.BufferPool // for chunked bodies that are streamed
	responseBuffers sync.Pool        // of *[]byte
	slots           chan struct{}    // holds one element for each open connection
	acceptStopped   chan struct{}    // closed when no more connections are accepted
	draining        atomic.Bool
	watcher         *tcpconn.DisconnectWatcher
	dateField       atomic.Pointer[cachedDate]

	mu                sync.Mutex
	table             connTable
	conns             map[uint64]*conn // open connections by id
	lastConnID        uint64
	evictionScheduled bool // a timer will retry an eviction
	abortIncomplete   bool // requests that are still incomplete are aborted
	listeners         []net.Listener
	allClosed         chan struct{} // closed when the last connection is removed; nil unless Shutdown waits
}

// conn is a caller's connection. Its goroutine owns it, except for the fields that Server.mu guards.
type conn struct {
	*tcpconn.Conn
	entry        tableEntry // guarded by Server.mu
	id           uint64
	disconnected bool     // the caller has disconnected; guarded by Server.mu
	canceler     Canceler // of the request that is being served; guarded by Server.mu
	closeReason  error    // why the connection must close, nil if it may stay open; guarded by Server.mu

	head              *http1.Request
	buf               *http1.Buffer // data that was read but not consumed, nil if there is none
	requestStartedAt  time.Time     // when the request's first byte arrived
	receivedAt        time.Time     // earliest time at which the request's last byte (first byte if it is streamed) may have arrived
	pipelined         bool          // the request started to arrive before the response to the previous one was sent
	lastReadAt        time.Time     // when data was last read
	earliestArrivalAt time.Time     // earliest time at which that data may have arrived
	idleSince         time.Time     // time of the last response, or of the connection's opening
	requestBytes      int           // bytes of the request being served that are still in buf

	openedAt        time.Time
	responsePending bool // a request was passed to the handler and its response is not completely sent
	responseCount   int  // responses that were completely sent

	hijacked bool // the handler has taken over the connection
	exchange Exchange
}

// New returns a Server. It runs a goroutine, and holds a file descriptor, until Close or the end of Shutdown.
func New(cfg Config) (*Server, error) {
	watcher, err := tcpconn.NewDisconnectWatcher()
	if err != nil {
		return nil, fmt.Errorf("httpserver: %w", err)
	}
	d := &Server{
		cfg: cfg, limits: http1.DefaultLimits, watcher: watcher,
		chunkBuffers: http1.BufferPool{InitialSize: body.BlockSize},
		slots:        make(chan struct{}, cfg.MaxConnections), acceptStopped: make(chan struct{}),
		table: connTable{maxOpen: cfg.MaxConnections}, conns: make(map[uint64]*conn),
	}
	d.limits.HeadBytes = cfg.MaxHeadBytes
	go func() {
		if err := watcher.Run(d.notifyDisconnect); err != nil {
			slog.Error("httpserver: disconnect watcher failed; disconnects of callers are no longer detected", "err", err)
		}
	}()
	return d, nil
}

// Serve accepts connections until Shutdown or Close, and returns nil then. Otherwise it returns the
// error after which the listener can accept no more. Several listeners may be served concurrently.
func (d *Server) Serve(l net.Listener) error {
	d.mu.Lock()
	d.listeners = append(d.listeners, l)
	d.mu.Unlock()
	var retryDelay time.Duration
	for {
		select {
		case d.slots <- struct{}{}:
		case <-d.acceptStopped:
			return nil
		}
		c, err := l.Accept()
		if err == nil {
			if err := d.addConn(c); err != nil {
				slog.Warn("httpserver: accepted connection can't be served", "err", err)
				<-d.slots
			}
			retryDelay = 0
			continue
		}
		<-d.slots
		select {
		case <-d.acceptStopped:
			return nil
		default:
		}
		// An error of the connection being accepted does not affect the next one. If file
		// descriptors have run out, accept fails until one is free, so that a connection is evicted.
		if tcpconn.IsFatalAcceptError(err) {
			return fmt.Errorf("httpserver: %w", err)
		}
		if tcpconn.IsOutOfDescriptors(err) {
			d.mu.Lock()
			d.evictOne(nil)
			d.mu.Unlock()
		}
		retryDelay = min(max(2*retryDelay, time.Millisecond), 100*time.Millisecond)
		select {
		case <-time.After(retryDelay):
		case <-d.acceptStopped:
			return nil
		}
	}
}

// addConn starts to serve an accepted connection, for which Serve has acquired a slot. On an error
// the connection is closed, and Serve returns the slot.
func (d *Server) addConn(nc net.Conn) error {
	tc, err := tcpconn.New(nc, &d.readBuffers)
	if err != nil {
		return errors.Join(err, nc.Close())
	}
	c := &conn{Conn: tc, head: http1.NewRequest(d.limits), idleSince: time.Now()}
	c.openedAt = c.idleSince
	c.entry.conn, c.exchange.conn, c.exchange.server = c, c, d
	d.mu.Lock()
	d.lastConnID++
	c.id = d.lastConnID
	d.conns[c.id] = c
	d.table.add(&c.entry, c.idleSince)
	d.evictUntilBelowLimit(&c.entry)
	d.mu.Unlock()
	if err := d.watcher.Add(tc, c.id); err != nil && !errors.Is(err, net.ErrClosed) {
		d.removeConn(c)
		return errors.Join(err, nc.Close())
	}
	go d.serveConn(c)
	return nil
}

// releaseConn removes a connection and returns its slot.
func (d *Server) releaseConn(c *conn) {
	d.removeConn(c)
	<-d.slots
}

// removeConn removes a connection from the table and the map of open connections. When the last one
// is removed, it wakes Shutdown.
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

// setStage records the stage that a connection has reached. It revokes an earlier requestClose and
// adds an evicted connection to the table again: data that has been read always gets a response.
func (d *Server) setStage(c *conn, stage connStage, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	c.closeReason = nil
	if !d.table.setStage(&c.entry, stage, now) {
		d.table.add(&c.entry, now)
		d.table.setStage(&c.entry, stage, now)
		d.evictUntilBelowLimit(&c.entry)
		return
	}
	if stage != stageServing {
		d.evictUntilBelowLimit(&c.entry)
	}
}

// requestClose makes a connection close that is serving no request. The connection's own goroutine
// closes it, unless it has read data in the meantime. The caller must hold d.mu.
func (d *Server) requestClose(c *conn, reason error) {
	c.closeReason = reason
	c.SetReadDeadline(expiredDeadline)
}

// closeReason returns why a connection that serves no request must close, nil if it may stay open.
func (d *Server) closeReason(c *conn) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	return c.closeReason
}

// setReadDeadline sets the deadline for the next read. It sets expiredDeadline instead if requestClose was
// called for the connection, or if the shutdown closes connections in its stage.
func (d *Server) setReadDeadline(c *conn, deadline time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if c.closeReason == nil && (d.abortIncomplete || c.entry.stage == stageIdle && d.draining.Load()) {
		c.closeReason = errShuttingDown
	}
	if c.closeReason != nil {
		deadline = expiredDeadline
	}
	c.SetReadDeadline(deadline)
}

// evictUntilBelowLimit evicts connections until the table has a free slot. If none may be evicted yet,
// it tries again after EvictionGrace. newest is the connection that was just added or has just changed
// its stage, nil for none. The caller must hold d.mu.
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

// evictOne removes the table's eviction candidate and calls requestClose for its connection. It reports
// whether there was a candidate. The caller must hold d.mu.
func (d *Server) evictOne(newest *tableEntry) bool {
	candidate := d.table.evictionCandidate(newest, time.Now(), d.cfg.Timeouts().EvictionGrace, func(e *tableEntry) bool { return e.conn.ReadWouldBlock() })
	if candidate == nil {
		return false
	}
	d.table.remove(candidate)
	d.requestClose(candidate.conn, errEvicted)
	return true
}

// callerDisconnected reports whether the disconnect watcher has reported a connection's caller.
func (d *Server) callerDisconnected(c *conn) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return c.disconnected
}

// notifyDisconnect records that a connection's caller has disconnected and calls the Canceler of the
// request that is being served, if there is one.
func (d *Server) notifyDisconnect(id uint64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	c := d.conns[id]
	if c == nil || c.disconnected {
		return
	}
	c.disconnected = true
	if c.canceler != nil {
		c.canceler.Cancel()
	}
}

// Shutdown drains the server: it closes idle connections, and from then on the last response on each
// connection carries Connection: close. After acceptGrace it accepts no more connections and closes
// those without a complete request. It returns once all connections are closed or ctx has ended.
// remaining is the number of connections that were still open then; Shutdown closes them before it
// returns.
func (d *Server) Shutdown(ctx context.Context, acceptGrace time.Duration) (remaining int) {
	d.draining.Store(true)
	d.requestCloseAll(stageIdle)
	select {
	case <-time.After(acceptGrace):
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
	remaining = len(d.conns)
	d.mu.Unlock()
	d.Close()
	return remaining
}

// requestCloseAll calls requestClose, because of the shutdown, for all connections in the given stages.
func (d *Server) requestCloseAll(stages ...connStage) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, stage := range stages {
		for e := d.table.lists[stage].front; e != nil; e = e.next {
			d.requestClose(e.conn, errShuttingDown)
		}
	}
}

// allConnsClosed returns a channel that is closed once no connection is open.
func (d *Server) allConnsClosed() <-chan struct{} {
	d.mu.Lock()
	defer d.mu.Unlock()
	allClosed := make(chan struct{})
	if len(d.conns) == 0 {
		close(allClosed)
	} else {
		d.allClosed = allClosed
	}
	return allClosed
}

// closeListeners closes all listeners and makes Serve return. It may be called more than once.
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

// Close closes all listeners and connections immediately, and stops the disconnect watcher.
func (d *Server) Close() {
	d.closeListeners()
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, c := range d.conns {
		c.Close()
	}
	d.watcher.Close()
}

// Draining reports whether Shutdown has started.
func (d *Server) Draining() bool { return d.draining.Load() }
