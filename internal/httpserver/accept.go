package httpserver

import (
	"fmt"
	"log/slog"
	"net"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"barleydrum.example/barleydrum/internal/tcpconn"
)

// maxAcceptDelay is how long a connection may wait in a listener's queue for connections without a complete request.
const maxAcceptDelay = 20 * time.Millisecond

// Serve accepts connections until Shutdown or Close, and returns nil then. Otherwise it returns the
// error after which the listener can accept no more. Several listeners may be served concurrently.
func (s *Server) Serve(l net.Listener) error {
	queue := newAcceptQueue(l)
	s.mu.Lock()
	s.listeners[l] = queue
	s.mu.Unlock()
	var retryDelay time.Duration
	for {
		if !s.acquireSlot(queue) {
			return nil
		}
		c, err := l.Accept()
		if err == nil {
			if err := s.addConn(c, queue.recordAccept(time.Now())); err != nil {
				if suppressed, ok := s.acceptLog.Allow(time.Now()); ok {
					slog.Warn("httpserver: accepted connection can't be served", "err", err, "suppressed", suppressed)
				}
				<-s.slots
			}
			retryDelay = 0
			continue
		}
		<-s.slots
		select {
		case <-s.acceptStopped:
			return nil
		default:
		}
		// An error of the connection being accepted does not affect the next one. If file
		// descriptors have run out, accept fails until one is free, so that a connection is evicted.
		if tcpconn.IsFatalAcceptError(err) {
			return fmt.Errorf("httpserver: %w", err)
		}
		if tcpconn.IsOutOfDescriptors(err) {
			s.mu.Lock()
			s.evictOne(nil)
			s.mu.Unlock()
		}
		retryDelay = min(max(2*retryDelay, time.Millisecond), 100*time.Millisecond)
		select {
		case <-time.After(retryDelay):
		case <-s.acceptStopped:
			return nil
		}
	}
}

// acquireSlot waits until a further connection may be accepted from a queue. While it waits, it evicts connections
// to make room for those in the queue. It returns false if no more connections are accepted.
func (s *Server) acquireSlot(queue *acceptQueue) bool {
	select {
	case s.slots <- struct{}{}:
		return true
	default:
	}
	retry := time.NewTicker(evictionInterval)
	defer retry.Stop()
	defer s.acceptBlocked.Store(false)
	for {
		if queue.observe(time.Now()) > 0 {
			s.acceptBlocked.Store(true)
			s.mu.Lock()
			s.evictUntilBelowLimit(nil)
			s.closeOldest(stageWriting, maxBlockedWriteInCrowd, errEvicted)
			s.mu.Unlock()
		}
		select {
		case s.slots <- struct{}{}:
			return true
		case <-s.acceptStopped:
			return false
		case <-retry.C:
		}
	}
}

// maxBlockedWriteInCrowd is how long a caller may not read its response while others wait for its connection.
const maxBlockedWriteInCrowd = 500 * time.Millisecond

// refusesPipelined reports whether pipelined requests are refused: others wait for a connection, and one on which
// requests follow each other without a pause would never be idle.
func (s *Server) refusesPipelined() bool { return s.acceptBlocked.Load() }

// acceptQueue observes the queue of connections that a listener has not returned yet. Connections are accepted in the
// order of their arrival. It is used by the goroutine that accepts them, except for waiting.
type acceptQueue struct {
	length  func() int   // returns the length of the queue, 0 if that is unknown
	waiting atomic.Int64 // the last length

	accepted    int          // connections accepted so far
	emptyAt     time.Time    // when the queue was last known to be empty
	since       time.Time    // no connection that is still in the queue arrived before this time; zero if it was empty
	checkpoints []checkpoint // in the order of their times
}

// checkpoint is a time at which the length of a queue was observed.
type checkpoint struct {
	at       time.Time
	lastInIt int // number of the last connection that was in the queue then, counted from the first accepted one
}

// A queue is observed every checkpointInterval at the most. maxCheckpoints bounds the memory for a queue that is drained
// so slowly that its connections are over anyway.
const (
	checkpointInterval = time.Millisecond
	maxCheckpoints     = 4096
)

// newAcceptQueue returns the queue of a listener.
func newAcceptQueue(l net.Listener) *acceptQueue {
	q := &acceptQueue{length: func() int { return 0 }}
	sysConn, ok := l.(syscall.Conn)
	if !ok {
		return q
	}
	raw, err := sysConn.SyscallConn()
	if err != nil {
		return q
	}
	q.length = func() int {
		n := 0
		raw.Control(func(fd uintptr) {
			// Of a listening socket, tcpi_unacked is the length of the queue.
			if info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO); err == nil {
				n = int(info.Unacked)
			}
		})
		return n
	}
	return q
}

// observe observes the queue while no connection can be accepted, and returns its length.
func (q *acceptQueue) observe(now time.Time) int {
	n := q.length()
	q.waiting.Store(int64(n))
	if n == 0 {
		q.emptyAt, q.since, q.checkpoints = now, time.Time{}, nil
		return 0
	}
	if q.since.IsZero() {
		q.since = q.emptyAt
	}
	if last := len(q.checkpoints) - 1; last < 0 || last < maxCheckpoints && now.Sub(q.checkpoints[last].at) >= checkpointInterval {
		q.checkpoints = append(q.checkpoints, checkpoint{now, q.accepted + n})
	}
	return n
}

// recordAccept records that a connection was accepted now, and returns the earliest time at which it may have arrived:
// after the last checkpoint at which it was not in the queue.
func (q *acceptQueue) recordAccept(now time.Time) (arrivedSince time.Time) {
	q.accepted++
	for len(q.checkpoints) > 0 && q.checkpoints[0].lastInIt < q.accepted {
		q.since = q.checkpoints[0].at
		q.checkpoints = q.checkpoints[1:]
	}
	if q.since.IsZero() { // the queue was empty, and Accept has waited for this connection
		q.emptyAt = now
	}
	arrivedSince = q.since
	if arrivedSince.IsZero() {
		arrivedSince = now
	}
	if last := len(q.checkpoints) - 1; last < 0 || q.checkpoints[last].lastInIt <= q.accepted || now.Sub(q.checkpoints[last].at) >= checkpointInterval {
		q.observe(now)
	}
	return arrivedSince
}

// waitingConnections returns how many connections wait to be accepted. The caller must hold s.mu.
func (s *Server) waitingConnections() int {
	n := 0
	for _, queue := range s.listeners {
		n += int(queue.waiting.Load())
	}
	return n
}

// evictionGrace returns for how long a connection is protected that is new or has part of a request: for
// Timeouts.EvictionGrace, but for less if so many connections wait that the last of them would wait for more than
// maxAcceptDelay. The caller must hold s.mu.
func (s *Server) evictionGrace() time.Duration {
	grace := s.cfg.Timeouts().EvictionGrace
	if waiting := s.waitingConnections(); waiting > 0 {
		grace = min(grace, maxAcceptDelay*time.Duration(s.table.maxOpen)/time.Duration(waiting))
	}
	return grace
}

// evictUntilBelowLimit evicts connections until the table has a free slot. If none may be evicted yet,
// it tries again after the grace. newest is the connection that was just added or has just changed
// its stage, nil for none. The caller must hold s.mu.
func (s *Server) evictUntilBelowLimit(newest *tableEntry) {
	for s.table.full() {
		if s.evictOne(newest) {
			continue
		}
		if !s.evictionScheduled {
			s.evictionScheduled = true
			time.AfterFunc(max(s.evictionGrace(), evictionInterval), func() {
				s.mu.Lock()
				defer s.mu.Unlock()
				s.evictionScheduled = false
				s.evictUntilBelowLimit(nil)
			})
		}
		return
	}
}

// evictOne removes the table's eviction candidate and calls requestClose for its connection. It reports
// whether there was a candidate. The caller must hold s.mu.
func (s *Server) evictOne(newest *tableEntry) bool {
	candidate := s.table.evictionCandidate(newest, time.Now(), s.evictionGrace(), func(e *tableEntry) bool { return e.conn.ReadWouldBlock() })
	if candidate == nil {
		return false
	}
	s.table.remove(candidate)
	s.requestClose(candidate.conn, errEvicted)
	return true
}

// evictionInterval is the time after which an eviction is tried again at the earliest.
const evictionInterval = time.Millisecond
