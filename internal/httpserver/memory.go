package httpserver

import (
	"errors"
	"time"

	"barleydrum.example/barleydrum/internal/memory"
)

// What the server does while the memory account refuses reservations. A request that gets no memory waits as
// memory.Retry does, and is then refused. Meanwhile up to connsPerRelief connections that hold memory without progress
// are closed in each reliefInterval: those that have had part of a request for Timeouts.EvictionGrace, and those whose
// caller has not read its response for maxBlockedWrite.
const (
	maxBlockedWrite = 150 * time.Millisecond
	reliefInterval  = 2 * time.Millisecond
	connsPerRelief  = 4
)

// relieveMemory closes connections that hold memory without progress whenever a reservation was refused, until no
// more connections are accepted.
func (s *Server) relieveMemory() {
	for {
		select {
		case <-s.cfg.Account.Refusals():
		case <-s.acceptStopped:
			return
		}
		s.logMemoryShort()
		s.mu.Lock()
		for range connsPerRelief {
			s.closeForMemory()
		}
		s.mu.Unlock()
		time.Sleep(reliefInterval)
	}
}

// closeForMemory requests a connection to close that holds memory without progress, if there is one. The caller must
// hold s.mu.
func (s *Server) closeForMemory() {
	if !s.closeOldest(stageWriting, maxBlockedWrite, errMemoryShort) {
		s.closeOldest(stageReading, s.cfg.Timeouts().EvictionGrace, errMemoryShort)
	}
}

// closeOldest requests the connection to close that has been in a stage for longest, if that is minAge at least. It
// reports whether there was one. The caller must hold s.mu.
func (s *Server) closeOldest(stage connStage, minAge time.Duration, reason error) bool {
	e := s.table.oldest(stage, time.Now(), minAge)
	if e == nil {
		return false
	}
	s.table.remove(e)
	s.requestClose(e.conn, reason)
	return true
}

// fillWithinMemory is fill, and waits for a while if the account has no room for the data.
func (s *Server) fillWithinMemory(c *conn) error {
	err := s.fill(c)
	if errors.Is(err, memory.ErrExhausted) {
		err = memory.Retry(func() error { return s.fill(c) }, s.closeRequested(c))
	}
	return err
}

// closeRequested returns a function that reports whether a connection that serves no request must close.
func (s *Server) closeRequested(c *conn) func() bool {
	return func() bool { return s.closeReason(c) != nil }
}

// busyRetryAfter is the time after which a caller is told to return whose request was not read for lack of memory or
// of connections.
const busyRetryAfter = 250 * time.Millisecond

// busyResponse is the response to a request that was not read completely, and so not served, for lack of memory or of
// connections.
var busyResponse = &ErrorResponse{Status: 503, Message: "busy", RetryAfter: busyRetryAfter}
