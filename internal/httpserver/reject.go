package httpserver

import (
	"bytes"
	"cmp"
	"errors"
	"log/slog"
	"time"

	"barleydrum.example/barleydrum/internal/http1"
	"barleydrum.example/barleydrum/internal/memory"
)

// Limits for closing a connection on which more data may arrive. The server reads on for a while, since
// closing with unread data would reset the connection and the caller could lose the response. A caller
// that keeps sending is read up to maxLingerBytes only; the connection then closes once the caller's
// machine has acknowledged the response, which is checked every lingerPollInterval.
const (
	lingerTimeout      = 500 * time.Millisecond
	maxLingerBytes     = 1 << 20
	lingerPollInterval = 5 * time.Millisecond
)

// abortRequest handles a read error on a connection that has received part of a request, and returns why
// the connection closes. One that is evicted, closed to free memory or closed by the shutdown gets 503, so that its
// caller retries. Otherwise the response is r, nil for none.
func (s *Server) abortRequest(c *conn, err error, r *ErrorResponse) error {
	switch reason := s.closeReason(c); {
	case reason == errShuttingDown:
		return s.reject(c, &ErrorResponse{Status: 503, Message: "shutting down"})
	case reason != nil, errors.Is(err, memory.ErrExhausted):
		return s.rejectBusy(c)
	case r != nil:
		return s.reject(c, r)
	}
	return err
}

// errorResponse returns the response to a request whose head or chunked body is malformed.
func errorResponse(err error) *ErrorResponse {
	if e := (*http1.Error)(nil); errors.As(err, &e) {
		return &ErrorResponse{Status: e.Status, Message: e.Error()}
	}
	return &ErrorResponse{Status: 400, Message: err.Error()}
}

// respondError sets r as the response. closing states that the connection closes after it.
func (x *Exchange) respondError(r *ErrorResponse, closing bool) {
	x.reset(nil)
	x.CloseAfterResponse = closing
	x.Respond(r.Status, "text/plain; charset=utf-8", r.appendFields, []byte(r.Message+"\n"))
}

// reject sends an error response to a request and lingers. It returns why the connection closes.
func (s *Server) reject(c *conn, r *ErrorResponse) error {
	s.setStage(c, stageReading, time.Now())
	slog.Debug("request rejected", "connection", c.id, "status", r.Status, "why", r.Message)
	c.exchange.respondError(r, true)
	err := s.writeResponse(c)
	c.exchange.releaseBuffers()
	if err != nil {
		return err
	}
	s.linger(c)
	return errRequestRejected
}

// rejectBusy responds with busyResponse to a request, which need not be complete, and closes the connection without
// waiting for more of it. It returns why the connection closes.
func (s *Server) rejectBusy(c *conn) error {
	reason := cmp.Or(s.closeReason(c), errBusy)
	slog.Debug("request rejected", "connection", c.id, "status", busyResponse.Status, "why", reason)
	c.exchange.respondError(busyResponse, true)
	_, err := c.TryWrite(c.exchange.responseData)
	c.exchange.releaseBuffers()
	if err == nil {
		s.closeAfterAck(c)
	}
	return reason
}

// refusePipelined responds with busyResponse to a complete request, whose first requestBytes bytes are still in c.buf.
// It closes the connection unless a further request has been read, which gets a response too. What has not been read
// completely is the caller's to send again.
func (s *Server) refusePipelined(c *conn, requestBytes int) error {
	x := &c.exchange
	furtherRequestRead := bytes.Contains(c.buf.Bytes()[requestBytes:], []byte("\r\n\r\n"))
	x.respondError(busyResponse, c.head.ClosesConnection() || !furtherRequestRead)
	c.idleSince, c.responsePending = x.respondedAt, true
	closing := x.CloseAfterResponse
	err := s.writeResponse(c)
	x.releaseBuffers()
	if err != nil {
		return err
	}
	c.responsePending = false
	c.responseCount++
	if closing {
		if c.CloseWrite() == nil {
			c.waitForAck(time.Now().Add(maxAckWait))
		}
		return errBusy
	}
	c.buf.Consume(requestBytes)
	return s.prepareForNextRequest(c, false)
}

// waitForAck waits until the caller's machine has received all that was sent, or until the deadline.
func (c *conn) waitForAck(deadline time.Time) {
	for c.HasUnackedData() && time.Now().Before(deadline) {
		time.Sleep(time.Millisecond)
	}
}

// closeAfterAck ends sending, reads what has arrived, and waits until the caller's machine has received all that was
// sent, but not for more data.
func (s *Server) closeAfterAck(c *conn) {
	if c.CloseWrite() != nil {
		return
	}
	deadline := time.Now().Add(maxAckWait)
	c.SetReadDeadline(deadline)
	if c.buf == nil {
		c.buf = s.readBuffers.Get()
	}
	for remaining := maxDiscardedBytes; remaining > 0 && !c.ReadWouldBlock(); {
		c.buf.Reset()
		if s.fill(c) != nil {
			return
		}
		remaining -= c.buf.Len()
	}
	c.waitForAck(deadline)
}

// What closeAfterAck waits for and reads at most.
const (
	maxAckWait        = 20 * time.Millisecond
	maxDiscardedBytes = 128 << 10
)

// linger ends sending and reads on for a while after the last response, see lingerTimeout.
func (s *Server) linger(c *conn) {
	if c.CloseWrite() != nil {
		return
	}
	deadline := time.Now().Add(lingerTimeout)
	c.SetReadDeadline(deadline)
	if c.buf != nil { // a buffer that has grown would be held meanwhile
		s.readBuffers.Put(c.buf)
	}
	c.buf = s.readBuffers.Get()
	for remaining := maxLingerBytes; remaining > 0; {
		if s.fill(c) != nil {
			return
		}
		remaining -= c.buf.Len()
		c.buf.Reset()
	}
	for c.HasUnackedData() && time.Now().Before(deadline) {
		time.Sleep(lingerPollInterval)
	}
}

// respondToPanic responds with 500 to a request whose handler has panicked, unless its response has started.
func (s *Server) respondToPanic(c *conn) {
	x := &c.exchange
	if !c.responsePending || c.hijacked || x.stream.started {
		return
	}
	x.CloseAfterResponse = true
	x.Respond(500, "text/plain; charset=utf-8", nil, []byte("failed\n"))
	if s.writeResponse(c) == nil {
		s.linger(c)
	}
}
