package httpserver

import (
	"cmp"
	"errors"
	"log/slog"
	"os"
	"runtime/debug"
	"time"

	"barleydrum.example/barleydrum/internal/http1"
	"barleydrum.example/barleydrum/internal/memory"
	"barleydrum.example/barleydrum/internal/tcpconn"
)

// Reasons for which the server closes a connection. Any other reason is the error of a read or write.
var (
	errEvicted            = errors.New("evicted in favor of another connection")
	errLastResponseSent   = errors.New("closed after its last response")
	errResponseIncomplete = errors.New("closed within an incomplete response")
	errRequestRejected    = errors.New("closed after a rejected request")
	errShuttingDown       = errors.New("closed by the shutdown")
	errHijacked           = errors.New("taken over by the handler")
	errMemoryShort        = errors.New("closed to free memory")
	errBusy               = errors.New("closed after a request for which there was no memory, or while others waited for a connection")
)

// serveConn serves the requests of a connection until it closes.
func (s *Server) serveConn(c *conn) {
	defer func() {
		if fault := recover(); fault != nil { // a panic of one request must not affect the others
			slog.Error("httpserver: panic while serving a request", "fault", fault, "stack", string(debug.Stack()))
			s.respondToPanic(c)
		}
		if !c.hijacked {
			c.Close()
			s.releaseConn(c)
		}
	}()
	var reason error
	for reason == nil {
		reason = s.serveRequest(c)
		c.pace.requestServed(c.buf != nil)
	}
	s.logClose(c, reason)
	s.releaseHead(c)
	if c.buf != nil {
		s.readBuffers.Put(c.buf)
	}
}

// serveRequest reads and serves one request. It returns nil if the connection can serve another request,
// otherwise why it closes.
func (s *Server) serveRequest(c *conn) error {
	if c.buf == nil {
		if err := s.waitForRequest(c); err != nil {
			return err
		}
		c.receivedAt = c.earliestArrivalAt
	}
	c.requestStartedAt = c.receivedAt
	headBytes, err := s.readHead(c)
	if err != nil {
		return err
	}
	c.exchange.HandlerState, c.exchange.Streaming = nil, false
	if r := s.cfg.Handler.CheckHead(&c.exchange); r != nil {
		return s.reject(c, r)
	}
	if c.exchange.Streaming {
		return s.serveStreaming(c, headBytes)
	}
	if c.head.Framing() == http1.Chunked {
		return s.serveChunked(c, headBytes)
	}
	requestBytes := headBytes + int(max(c.head.ContentLength(), 0))
	if c.buf.Len() < requestBytes {
		if err := s.readBody(c, requestBytes); err != nil {
			return err
		}
	}
	s.setStage(c, stageServing, c.lastReadAt)
	callerKnown := s.readAhead(c, requestBytes)
	data := c.buf.Bytes()
	c.head.Rebase(data)
	if !callerKnown {
		return s.refusePipelined(c, requestBytes)
	}
	return s.serveBuffered(c, data[headBytes:requestBytes], requestBytes)
}

// waitForRequest waits for the first bytes of a request and reads them. It waits up to Timeouts.Idle, on a
// new connection up to Timeouts.Head. Data that has arrived by then, or by the time of requestClose, is read:
// only a connection without unread data is closed here.
func (s *Server) waitForRequest(c *conn) error {
	timeouts := s.cfg.Timeouts()
	timeout := timeouts.Idle
	if c.receivedAt.IsZero() {
		timeout = timeouts.Head
	}
	if c.lastReadAt.IsZero() && time.Since(c.openedAt) > pipelineTolerance && c.queuedSince.Equal(c.openedAt) && !c.ReadWouldBlock() {
		c.queuedSince = c.openedAt.Add(-1) // the data came while this goroutine waited for the processor
	}
	s.setReadDeadline(c, c.idleSince.Add(timeout))
	err := s.fillWithinMemory(c)
	if errors.Is(err, os.ErrDeadlineExceeded) {
		if c.ReadWouldBlock() {
			return cmp.Or(s.closeReason(c), err)
		}
		c.SetReadDeadline(time.Time{}) // there is data to read, so that the read does not wait
		err = s.fillWithinMemory(c)
	}
	if errors.Is(err, memory.ErrExhausted) {
		return s.rejectBusy(c)
	}
	return err
}

// readHead reads a request's head and returns its length in bytes. It waits for the end of an incomplete head
// until Timeouts.Head after timerStartedAt, but at least for Timeouts.Body after the buffered data was read.
func (s *Server) readHead(c *conn) (headBytes int, err error) {
	c.head.Reset()
	headBytes, err = c.head.Parse(c.buf.Bytes())
	for waiting := false; headBytes == 0 && err == nil; waiting = true {
		if !waiting {
			s.setStage(c, stageReading, time.Now())
			timeouts := s.cfg.Timeouts()
			s.setReadDeadline(c, later(c.timerStartedAt().Add(timeouts.Head), c.lastReadAt.Add(timeouts.Body)))
		}
		if err := s.fillWithinMemory(c); err != nil {
			return 0, s.abortRequest(c, err, nil)
		}
		c.receivedAt = c.earliestArrivalAt
		headBytes, err = c.head.Parse(c.buf.Bytes())
	}
	if err != nil {
		return 0, s.reject(c, errorResponse(err))
	}
	return headBytes, nil
}

// readBody reads the rest of a request of requestBytes bytes, head included, into c.buf.
func (s *Server) readBody(c *conn, requestBytes int) error {
	if err := s.startBodyRead(c); err != nil {
		return err
	}
	c.buf.ExpectLen(requestBytes + tcpconn.MinReadBytes)
	for c.buf.Len() < requestBytes {
		if err := s.fillWithinMemory(c); err != nil {
			return s.abortRequest(c, err, bodyTimeoutResponse)
		}
		c.receivedAt = c.earliestArrivalAt
	}
	return nil
}

// bodyTimeoutResponse is the response to a request whose body is not complete at its deadline.
var bodyTimeoutResponse = &ErrorResponse{Status: 400, Message: "body: it did not come whole in time"}

// startBodyRead sets the deadline for reading a body and sends 100 Continue if the caller expects it. The
// deadline is Timeouts.Head plus Timeouts.Body after timerStartedAt, but at least Timeouts.Body from now.
func (s *Server) startBodyRead(c *conn) error {
	s.setStage(c, stageReading, time.Now())
	timeouts := s.cfg.Timeouts()
	if c.head.ExpectsContinue() {
		if err := c.WriteWithDeadline([]byte(http1.ContinueResponse), time.Now().Add(timeouts.Write)); err != nil {
			return err
		}
	}
	s.setReadDeadline(c, later(c.timerStartedAt().Add(timeouts.Head+timeouts.Body), time.Now().Add(timeouts.Body)))
	return nil
}

// timerStartedAt returns when the timeouts of the current request started: when its first byte arrived, or
// when the connection was opened if the request is its first.
func (c *conn) timerStartedAt() time.Time {
	if c.responseCount == 0 {
		return c.openedAt
	}
	return c.requestStartedAt
}

// later returns the later of two times.
func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// serveChunked serves a request with a chunked body that is buffered whole.
func (s *Server) serveChunked(c *conn, headBytes int) error {
	s.detachHead(c, headBytes)
	decoder := http1.ChunkedDecoder{Limits: http1.DefaultLimits}
	maxBodyBytes := s.cfg.MaxBodyBytes()
	body := s.bodyBuffers.Get()
	defer func() { s.bodyBuffers.Put(body) }()
	for bodyReadStarted := false; ; {
		data, n, err := decoder.Decode(c.buf.Bytes())
		if err != nil {
			return s.reject(c, errorResponse(err))
		}
		if body.Len()+len(data) > maxBodyBytes {
			return s.reject(c, &ErrorResponse{Status: 413, Message: "body: it is too long"})
		}
		if err := s.appendBody(c, body, data); err != nil {
			return s.abortRequest(c, err, nil)
		}
		c.buf.Consume(n)
		switch {
		case decoder.Done():
			s.setStage(c, stageServing, c.lastReadAt)
			if !s.readAhead(c, 0) {
				return s.refusePipelined(c, 0)
			}
			return s.serveBuffered(c, body.Bytes(), 0)
		case n > 0:
			continue
		case !bodyReadStarted:
			bodyReadStarted = true
			if err := s.startBodyRead(c); err != nil {
				return err
			}
		}
		if err := s.fillWithinMemory(c); err != nil {
			return s.abortRequest(c, err, bodyTimeoutResponse)
		}
		c.receivedAt = c.earliestArrivalAt
	}
}

// appendBody appends decoded data to a body. It waits for a while if the account has no room for it.
func (s *Server) appendBody(c *conn, body *http1.Buffer, data []byte) error {
	return memory.Retry(func() error {
		space, ok := body.TryReserve(len(data))
		if !ok {
			return memory.ErrExhausted
		}
		body.Commit(copy(space, data))
		return nil
	}, s.closeRequested(c))
}

// detachHead leaves a request's head in a buffer of its own, so that reads can reuse c.buf, which holds what
// follows the head.
func (s *Server) detachHead(c *conn, headBytes int) {
	c.headBuf, c.buf = c.buf, s.readBuffers.Get()
	rest := c.headBuf.Bytes()[headBytes:]
	c.buf.Commit(copy(c.buf.Reserve(len(rest)), rest))
}

// releaseHead returns the buffer of a head that detachHead has left in a buffer of its own.
func (s *Server) releaseHead(c *conn) {
	if c.headBuf != nil {
		s.readBuffers.Put(c.headBuf)
		c.headBuf = nil
	}
}

// fill reads the data that has arrived into c.buf, and waits for it until the read deadline.
func (s *Server) fill(c *conn) error {
	b, err := c.ReadInto(c.buf)
	c.buf = b
	if err != nil {
		return err
	}
	previousReadAt := c.lastReadAt
	c.lastReadAt = time.Now()
	switch {
	case previousReadAt.IsZero() && c.queuedSince.Before(c.openedAt): // the data was there when the connection was accepted
		c.earliestArrivalAt = c.queuedSince
	case c.pipelined: // the data may have been waiting since the previous read
		c.earliestArrivalAt = previousReadAt
	default:
		c.earliestArrivalAt = c.lastReadAt
	}
	return nil
}

// serveBuffered serves a request whose body is complete, and prepares the connection for the next request.
// The request's first requestBytes bytes are still in c.buf.
func (s *Server) serveBuffered(c *conn, body []byte, requestBytes int) error {
	if c.pipelined && s.refusesPipelined() {
		return s.refusePipelined(c, requestBytes)
	}
	x := &c.exchange
	x.reset(body)
	x.CloseAfterResponse = c.head.ClosesConnection()
	c.requestBytes, c.responsePending = requestBytes, true
	s.cfg.Handler.ServeExchange(x)
	if c.hijacked {
		c.responsePending = false
		x.releaseBuffers()
		return errHijacked
	}
	return s.sendResponse(c, requestBytes)
}

// sendResponse sends the response, unless it was streamed, and prepares the connection for the next
// request, which starts after requestBytes bytes of c.buf.
func (s *Server) sendResponse(c *conn, requestBytes int) error {
	x := &c.exchange
	if x.stream.started {
		return s.finishStreamedResponse(c, requestBytes)
	}
	if x.responseData == nil {
		x.Respond(502, "text/plain; charset=utf-8", nil, []byte("failed\n"))
	}
	// Data that has arrived by now was sent before the caller could see this response. When it arrived
	// is unknown: the earliest possible time is assumed, so that its response is not late.
	c.idleSince = x.respondedAt
	pipelined := !x.Streaming && c.idleSince.Sub(c.lastReadAt) > pipelineTolerance && !c.ReadWouldBlock()
	err := s.writeResponse(c)
	closing := x.CloseAfterResponse
	x.releaseBuffers()
	if err != nil {
		return err
	}
	c.responsePending = false
	c.responseCount++
	if closing {
		if x.Streaming || pipelined || c.buf.Len() > requestBytes {
			s.linger(c)
		}
		return errLastResponseSent
	}
	c.buf.Consume(requestBytes)
	return s.prepareForNextRequest(c, pipelined)
}

// prepareForNextRequest prepares a connection for the next request. unreadData means that data of that
// request has arrived but has not been read. Other data of it may have been read into c.buf already.
func (s *Server) prepareForNextRequest(c *conn, unreadData bool) error {
	c.pipelined = unreadData || c.buf.Len() > 0
	s.releaseHead(c)
	if c.buf.Len() > 0 { // the next request arrived together with this one
		c.receivedAt = c.earliestArrivalAt
		return nil
	}
	s.readBuffers.Put(c.buf)
	c.buf = nil
	if unreadData {
		c.SetReadDeadline(time.Now().Add(s.cfg.Timeouts().Head))
		err := s.fillWithinMemory(c)
		if errors.Is(err, memory.ErrExhausted) {
			return s.rejectBusy(c)
		}
		c.receivedAt = c.earliestArrivalAt
		return err
	}
	s.setStage(c, stageIdle, c.idleSince)
	return nil
}

// pipelineTolerance is the largest error that is accepted in the arrival time of a pipelined request. Unread
// data counts as pipelined only if the response was composed longer than this after the last read.
const pipelineTolerance = 5 * time.Millisecond

// writeResponse writes the buffered response, within Timeouts.Write. While it waits for a caller that reads slowly,
// the connection may be closed to free memory.
func (s *Server) writeResponse(c *conn) error {
	data := c.exchange.responseData
	n, err := c.TryWrite(data)
	if err != nil || n == len(data) {
		return err
	}
	s.startBlockedWrite(c, time.Now().Add(s.cfg.Timeouts().Write))
	_, err = c.Write(data[n:])
	return s.endBlockedWrite(c, err)
}

// startBlockedWrite puts a connection into stageWriting until the deadline.
func (s *Server) startBlockedWrite(c *conn, deadline time.Time) {
	s.setStage(c, stageWriting, time.Now())
	s.mu.Lock()
	defer s.mu.Unlock()
	if c.closeReason != nil {
		deadline = expiredDeadline
	}
	c.SetWriteDeadline(deadline)
}

// endBlockedWrite puts a connection back into stageServing, unless the write has failed with err. It clears the write
// deadline, which would fail a later write otherwise. It returns why the write failed.
func (s *Server) endBlockedWrite(c *conn, err error) error {
	if err != nil {
		return cmp.Or(s.closeReason(c), err)
	}
	s.setStage(c, stageServing, time.Now())
	c.SetWriteDeadline(time.Time{})
	return nil
}
