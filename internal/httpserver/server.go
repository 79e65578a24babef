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
	"barleydrum.example/barleydrum/internal/logging"
	"barleydrum.example/barleydrum/internal/memory"
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
	AcceptReserve  int        // further ones that may be open while others are being evicted
	MaxHeadBytes   int        // largest head of a request
	MaxBodyBytes   func() int // largest chunked body that is buffered whole; streamed bodies have StreamLimits
	Timeouts       func() Timeouts
	Account        *memory.Account // of the memory that callers make the server hold; nil for no limit
}

// Server serves HTTP/1.1 connections of callers.
type Server struct {
	cfg             Config
	limits          http1.Limits
	readBuffers     http1.BufferPool
	bodyBuffers     http1.BufferPool // for chunked bodies that are buffered whole
	chunkBuffers    http1.BufferPool // for chunked bodies that are streamed
	responseBuffers sync.Pool        // of *[]byte
	slots           chan struct{}    // holds one element for each open connection
	acceptStopped   chan struct{}    // closed when no more connections are accepted
	draining        atomic.Bool
	acceptBlocked   atomic.Bool // all slots are in use, and connections wait to be accepted
	watcher         *tcpconn.DisconnectWatcher
	dateField       atomic.Pointer[cachedDate]
	closeLog        *logging.Sampler // of connections that are closed without a complete response
	acceptLog       *logging.Sampler // of accepted connections that can't be served
	memoryLog       *logging.Sampler // of refused reservations

	mu                sync.Mutex
	table             connTable
	conns             map[uint64]*conn // open connections by id
	lastConnID        uint64
	evictionScheduled bool // a timer will retry an eviction
	abortIncomplete   bool // requests that are still incomplete are aborted
	listeners         map[net.Listener]*acceptQueue
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
	headBuf           *http1.Buffer // the bytes of the head, if they are not in buf; nil otherwise
	buf               *http1.Buffer // data that was read but not consumed, nil if there is none
	requestStartedAt  time.Time     // when the request's first byte arrived
	receivedAt        time.Time     // earliest time at which the request's last byte (first byte if it is streamed) may have arrived
	pipelined         bool          // the request started to arrive before the response to the previous one was sent
	lastReadAt        time.Time     // when data was last read
	earliestArrivalAt time.Time     // earliest time at which that data may have arrived
	idleSince         time.Time     // time of the last response, or of the connection's opening
	requestBytes      int           // bytes of the request being served that are still in buf

	openedAt        time.Time // when the connection was accepted
	queuedSince     time.Time // no data has arrived before this time: the connection waited to be accepted
	responsePending bool      // a request was passed to the handler and its response is not completely sent
	responseCount   int       // responses that were completely sent

	pace     pace
	hijacked bool // the handler has taken over the connection
	exchange Exchange
}

// New returns a Server. It runs goroutines, and holds a file descriptor, until Close or the end of Shutdown.
func New(cfg Config) (*Server, error) {
	watcher, err := tcpconn.NewDisconnectWatcher()
	if err != nil {
		return nil, fmt.Errorf("httpserver: %w", err)
	}
	d := &Server{
		cfg: cfg, limits: http1.DefaultLimits, watcher: watcher,
		readBuffers:  http1.BufferPool{Account: cfg.Account, FirstUse: memory.RequestStart, GrowthUse: memory.RequestGrowth},
		bodyBuffers:  http1.BufferPool{Account: cfg.Account, FirstUse: memory.RequestGrowth, GrowthUse: memory.RequestGrowth},
		chunkBuffers: http1.BufferPool{InitialSize: body.BlockSize},
		slots:        make(chan struct{}, cfg.MaxConnections+cfg.AcceptReserve), acceptStopped: make(chan struct{}),
		listeners: make(map[net.Listener]*acceptQueue), conns: make(map[uint64]*conn),
		table:    connTable{maxOpen: cfg.MaxConnections},
		closeLog: newEventSampler(), acceptLog: newEventSampler(),
		memoryLog: &logging.Sampler{MaxEvents: 1, Interval: memoryLogInterval},
	}
	d.limits.HeadBytes = cfg.MaxHeadBytes
	go d.relieveMemory()
	go func() {
		if err := watcher.Run(d.notifyDisconnect); err != nil {
			slog.Error("httpserver: disconnect watcher failed; disconnects of callers are no longer detected", "err", err)
		}
	}()
	return d, nil
}

// addConn starts to serve an accepted connection, for which Serve has acquired a slot. No data has arrived on it
// before queuedSince. On an error the connection is closed, and Serve returns the slot.
func (s *Server) addConn(nc net.Conn, queuedSince time.Time) error {
	tc, err := tcpconn.New(nc, &s.readBuffers)
	if err != nil {
		return errors.Join(err, nc.Close())
	}
	c := &conn{Conn: tc, head: http1.NewRequest(s.limits), openedAt: time.Now()}
	c.idleSince, c.queuedSince = c.openedAt, c.openedAt
	if c.openedAt.Sub(queuedSince) > pipelineTolerance && !tc.ReadWouldBlock() {
		c.queuedSince = queuedSince
	}
	c.entry.conn, c.exchange.conn, c.exchange.server = c, c, s
	s.mu.Lock()
	s.lastConnID++
	c.id = s.lastConnID
	s.conns[c.id] = c
	s.table.add(&c.entry, c.idleSince)
	s.evictUntilBelowLimit(&c.entry)
	s.mu.Unlock()
	if err := s.watcher.Add(tc, c.id); err != nil && !errors.Is(err, net.ErrClosed) {
		s.removeConn(c)
		return errors.Join(err, nc.Close())
	}
	go s.serveConn(c)
	return nil
}

// releaseConn removes a connection and returns its slot.
func (s *Server) releaseConn(c *conn) {
	s.removeConn(c)
	<-s.slots
}

// removeConn removes a connection from the table and the map of open connections. When the last one
// is removed, it wakes Shutdown.
func (s *Server) removeConn(c *conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.table.remove(&c.entry)
	delete(s.conns, c.id)
	if len(s.conns) == 0 && s.allClosed != nil {
		close(s.allClosed)
		s.allClosed = nil
	}
}

// setStage records the stage that a connection has reached. It revokes an earlier requestClose and
// adds an evicted connection to the table again: data that has been read always gets a response.
func (s *Server) setStage(c *conn, stage connStage, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	c.closeReason = nil
	if !s.table.setStage(&c.entry, stage, now) {
		s.table.add(&c.entry, now)
		s.table.setStage(&c.entry, stage, now)
		s.evictUntilBelowLimit(&c.entry)
		return
	}
	if stage != stageServing {
		s.evictUntilBelowLimit(&c.entry)
	}
}

// requestClose makes a connection close that is serving no request, or whose caller does not read its response.
// The connection's own goroutine closes it, unless it has read or written data in the meantime. The caller must
// hold s.mu.
func (s *Server) requestClose(c *conn, reason error) {
	c.closeReason = reason
	if c.entry.stage == stageWriting {
		c.SetWriteDeadline(expiredDeadline)
	} else {
		c.SetReadDeadline(expiredDeadline)
	}
}

// closeReason returns why a connection that serves no request must close, nil if it may stay open.
func (s *Server) closeReason(c *conn) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	return c.closeReason
}

// setReadDeadline sets the deadline for the next read. It sets expiredDeadline instead if requestClose was
// called for the connection, or if the shutdown closes connections in its stage.
func (s *Server) setReadDeadline(c *conn, deadline time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if c.closeReason == nil && (s.abortIncomplete || c.entry.stage == stageIdle && s.draining.Load()) {
		c.closeReason = errShuttingDown
	}
	if c.closeReason != nil {
		deadline = expiredDeadline
	}
	c.SetReadDeadline(deadline)
}

// callerDisconnected reports whether the disconnect watcher has reported a connection's caller.
func (s *Server) callerDisconnected(c *conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return c.disconnected
}

// notifyDisconnect records that a connection's caller has disconnected and calls the Canceler of the
// request that is being served, if there is one.
func (s *Server) notifyDisconnect(id uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := s.conns[id]
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
func (s *Server) Shutdown(ctx context.Context, acceptGrace time.Duration) (remaining int) {
	s.draining.Store(true)
	s.requestCloseAll(stageIdle)
	select {
	case <-time.After(acceptGrace):
	case <-ctx.Done():
	}
	s.closeListeners()
	s.mu.Lock()
	s.abortIncomplete = true
	s.mu.Unlock()
	s.requestCloseAll(stageNew, stageIdle, stageReading)
	select {
	case <-s.allConnsClosed():
	case <-ctx.Done():
	}
	s.mu.Lock()
	remaining = len(s.conns)
	s.mu.Unlock()
	s.Close()
	return remaining
}

// requestCloseAll calls requestClose, because of the shutdown, for all connections in the given stages.
func (s *Server) requestCloseAll(stages ...connStage) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, stage := range stages {
		for e := s.table.lists[stage].front; e != nil; e = e.next {
			s.requestClose(e.conn, errShuttingDown)
		}
	}
}

// allConnsClosed returns a channel that is closed once no connection is open.
func (s *Server) allConnsClosed() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	allClosed := make(chan struct{})
	if len(s.conns) == 0 {
		close(allClosed)
	} else {
		s.allClosed = allClosed
	}
	return allClosed
}

// closeListeners closes all listeners and makes Serve return. It may be called more than once.
func (s *Server) closeListeners() {
	s.mu.Lock()
	defer s.mu.Unlock()
	select {
	case <-s.acceptStopped:
	default:
		close(s.acceptStopped)
	}
	for l := range s.listeners {
		l.Close()
	}
	clear(s.listeners)
}

// Close closes all listeners and connections immediately, and stops the disconnect watcher.
func (s *Server) Close() {
	s.closeListeners()
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range s.conns {
		c.Close()
	}
	s.watcher.Close()
}

// Draining reports whether Shutdown has started.
func (s *Server) Draining() bool { return s.draining.Load() }
