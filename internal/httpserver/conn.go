package httpserver

import (
	"cmp"
	"context"
	"errors"
	"log/slog"
	"os"
	"runtime/debug"
	"time"

	"barleydrum.example/barleydrum/internal/http1"
)

// Why a connection is ended from this side; any other reason is the error of a read or write.
var (
	errEvicted            = errors.New("closed to make room for another")
	errLastResponseSent   = errors.New("closed after its last answer")
	errResponseIncomplete = errors.New("closed within an answer that broke off")
	errRequestRejected    = errors.New("closed after a request that can't be used")
	errShuttingDown       = errors.New("closed by the shutdown")
	errHijacked           = errors.New("handed over")
)

// The end of a connection on which more may come: it is read for a while, so that the answer
// is not lost to a reset. One that sends on and on is not read for ever, and ends once it has
// the answer, which is looked for now and then.
const (
	lingerTimeout      = 500 * time.Millisecond
	maxLingerBytes     = 1 << 20
	lingerPollInterval = 5 * time.Millisecond
)

// serveConn serves a connection until it ends.
func (d *Server) serveConn(c *conn) {
	defer func() {
		if fault := recover(); fault != nil { // one request's, which the others outlive
			slog.Error("door: panic", "fault", fault, "stack", string(debug.Stack()))
			d.respondToPanic(c)
		}
		if !c.hijacked {
			c.Close()
			d.releaseConn(c)
		}
	}()
	var reason error
	for reason == nil {
		reason = d.serveRequest(c)
	}
	d.logClose(c, reason)
	if c.buf != nil {
		d.readBuffers.Put(c.buf)
	}
}

// respondToPanic answers a request whose handler has panicked, unless part of an answer has gone out.
func (d *Server) respondToPanic(c *conn) {
	x := &c.exchange
	if !c.responsePending || c.hijacked || x.pooledBuffer == nil || x.stream.started {
		return
	}
	x.Close = true
	x.Respond(500, "text/plain; charset=utf-8", nil, []byte("failed\n"))
	if d.writeResponse(c) == nil {
		d.linger(c)
	}
}

// logClose logs why a connection ends. A request that it leaves without a whole answer is a
// warning unless its caller has gone.
func (d *Server) logClose(c *conn, reason error) {
	level, message := slog.LevelDebug, "connection closed"
	gone := d.callerDisconnected(c)
	var id []byte
	if c.responsePending {
		message = "connection closed with no whole answer"
		id, _ = c.head.Get("X-Request-ID") // the head is held until its answer is out
		if !gone {
			level = slog.LevelWarn
		}
	}
	if ctx := context.Background(); slog.Default().Enabled(ctx, level) {
		slog.Log(ctx, level, message, "connection", c.id, "reason", reason, "answered", c.responseCount,
			"request", string(id), "caller gone", gone, "open", time.Since(c.openedAt))
	}
}

// serveRequest serves one request. An error ends the connection.
func (d *Server) serveRequest(c *conn) error {
	if c.buf == nil {
		if err := d.waitForRequest(c); err != nil {
			return err
		}
		c.receivedAt = c.earliestArrivalAt
	}
	c.requestStartedAt = c.receivedAt
	n, err := d.readHead(c)
	if err != nil {
		return err
	}
	c.exchange.HandlerState, c.exchange.Streaming = nil, false
	if r := d.cfg.Handler.CheckHead(&c.exchange); r != nil {
		return d.reject(c, r)
	}
	if c.exchange.Streaming {
		return d.serveStreaming(c, n)
	}
	if c.head.Framing() == http1.Chunked {
		return d.serveChunked(c, n)
	}
	whole := n + int(max(c.head.ContentLength(), 0))
	if c.buf.Len() < whole {
		if err := d.readBody(c, whole); err != nil {
			return err
		}
	}
	text := c.buf.Bytes()
	c.head.Rebase(text)
	d.setStage(c, stageServing, c.lastReadAt)
	return d.serveBuffered(c, text[n:whole], whole)
}

// waitForRequest waits for the first bytes of a request: on a connection at rest for as long as one may be idle,
// on a new one for as long as a head may take. What has come by the end of that time, or as the
// connection is asked to end, is read: only a connection with nothing unread ends at rest.
func (d *Server) waitForRequest(c *conn) error {
	times := d.cfg.Timeouts()
	wait := times.Idle
	if c.receivedAt.IsZero() {
		wait = times.Head
	}
	d.setReadDeadline(c, c.idleSince.Add(wait))
	err := d.fill(c)
	if !errors.Is(err, os.ErrDeadlineExceeded) {
		return err
	}
	if c.ReadWouldBlock() {
		return cmp.Or(d.closeReason(c), err)
	}
	c.SetReadDeadline(time.Time{}) // there is something to read, so that nothing is waited for
	return d.fill(c)
}

// readHead reads a request's head and returns how long it is.
func (d *Server) readHead(c *conn) (n int, err error) {
	c.head.Reset()
	n, err = c.head.Parse(c.buf.Bytes())
	for began := false; n == 0 && err == nil; began = true {
		if !began {
			d.setStage(c, stageReading, time.Now())
			times := d.cfg.Timeouts()
			d.setReadDeadline(c, later(c.timerStartedAt().Add(times.Head), c.lastReadAt.Add(times.Body)))
		}
		if err := d.fill(c); err != nil {
			return 0, d.abortRequest(c, err, nil)
		}
		c.receivedAt = c.earliestArrivalAt
		n, err = c.head.Parse(c.buf.Bytes())
	}
	if err != nil {
		return 0, d.reject(c, errorResponse(err))
	}
	return n, nil
}

// readBody waits for the rest of a request.
func (d *Server) readBody(c *conn, whole int) error {
	if err := d.startBodyRead(c); err != nil {
		return err
	}
	for c.buf.Len() < whole {
		if err := d.fill(c); err != nil {
			return d.abortRequest(c, err, bodyTimeoutResponse)
		}
		c.receivedAt = c.earliestArrivalAt
	}
	return nil
}

// bodyTimeoutResponse answers a request whose body is not whole when its time is up.
var bodyTimeoutResponse = &ErrorResponse{Status: 400, Message: "body: it did not come whole in time"}

// startBodyRead has a body waited for, for which the caller may be waiting to be told.
func (d *Server) startBodyRead(c *conn) error {
	d.setStage(c, stageReading, time.Now())
	times := d.cfg.Timeouts()
	if c.head.ExpectsContinue() {
		if err := c.WriteWithDeadline([]byte(http1.ContinueResponse), time.Now().Add(times.Write)); err != nil {
			return err
		}
	}
	d.setReadDeadline(c, later(c.timerStartedAt().Add(times.Head+times.Body), time.Now().Add(times.Body)))
	return nil
}

// timerStartedAt is when the time of the request at hand began: on a new connection when that was opened.
func (c *conn) timerStartedAt() time.Time {
	if c.responseCount == 0 {
		return c.openedAt
	}
	return c.requestStartedAt
}

// later is the later of two times.
func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// serveChunked has a request answered whose body comes in chunks and is held whole.
func (d *Server) serveChunked(c *conn, headLen int) error {
	d.detachHead(c, headLen)
	parts := http1.ChunkedDecoder{Limits: http1.DefaultLimits}
	var body []byte
	for waited := false; ; {
		data, n, err := parts.Decode(c.buf.Bytes())
		if err != nil {
			return d.reject(c, errorResponse(err))
		}
		if len(body)+len(data) > d.cfg.MaxBodyBytes() {
			return d.reject(c, &ErrorResponse{Status: 413, Message: "body: it is too long"})
		}
		body = append(body, data...)
		c.buf.Consume(n)
		switch {
		case parts.Done():
			d.setStage(c, stageServing, c.lastReadAt)
			return d.serveBuffered(c, body, 0)
		case n > 0:
			continue
		case !waited:
			waited = true
			if err := d.startBodyRead(c); err != nil {
				return err
			}
		}
		if err := d.fill(c); err != nil {
			return d.abortRequest(c, err, bodyTimeoutResponse)
		}
		c.receivedAt = c.earliestArrivalAt
	}
}

// detachHead keeps the head of a request apart, so that its buffer can be read on into.
func (d *Server) detachHead(c *conn, headLen int) {
	c.head.Rebase(append([]byte(nil), c.buf.Bytes()[:headLen]...))
	c.buf.Consume(headLen)
}

// abortRequest ends a connection on which part of a request has come. One that gives way to another ends at
// once, and one that the shutdown cuts off is told to come back; else the answer is r, nil for none.
func (d *Server) abortRequest(c *conn, err error, r *ErrorResponse) error {
	switch asked := d.closeReason(c); {
	case asked == errShuttingDown:
		return d.reject(c, &ErrorResponse{Status: 503, Message: "shutting down"})
	case asked != nil:
		return asked
	case r != nil:
		return d.reject(c, r)
	}
	return err
}

// fill reads what has come.
func (d *Server) fill(c *conn) error {
	b, err := c.ReadInto(c.buf)
	c.buf = b
	if err != nil {
		return err
	}
	c.earliestArrivalAt = c.lastReadAt
	c.lastReadAt = time.Now()
	if !c.pipelined { // else it may have lain there since the read before
		c.earliestArrivalAt = c.lastReadAt
	}
	return nil
}

// errorResponse is the answer to a head that can't be read.
func errorResponse(err error) *ErrorResponse {
	if e := (*http1.Error)(nil); errors.As(err, &e) {
		return &ErrorResponse{Status: e.Status, Message: e.Error()}
	}
	return &ErrorResponse{Status: 400, Message: err.Error()}
}

// reject answers a request that can't be used, and ends the connection.
func (d *Server) reject(c *conn, r *ErrorResponse) error {
	d.setStage(c, stageReading, time.Now())
	slog.Debug("request can't be used", "connection", c.id, "status", r.Status, "why", r.Message)
	x := &c.exchange
	x.reset(nil)
	x.Close = true
	x.Respond(r.Status, "text/plain; charset=utf-8", r.appendFields, []byte(r.Message+"\n"))
	err := d.writeResponse(c)
	x.releaseBuffers()
	if err != nil {
		return err
	}
	d.linger(c)
	return errRequestRejected
}

// linger reads on for a while after the last answer.
func (d *Server) linger(c *conn) {
	if c.CloseWrite() != nil {
		return
	}
	end := time.Now().Add(lingerTimeout)
	c.SetReadDeadline(end)
	if c.buf != nil {
		c.buf.Reset()
	}
	for left := maxLingerBytes; left > 0; {
		if d.fill(c) != nil {
			return
		}
		left -= c.buf.Len()
		c.buf.Reset()
	}
	for c.HasUnackedData() && time.Now().Before(end) {
		time.Sleep(lingerPollInterval)
	}
}

// serveBuffered has a request answered and makes the connection ready for the next.
func (d *Server) serveBuffered(c *conn, body []byte, whole int) error {
	x := &c.exchange
	x.reset(body)
	x.Close = c.head.ClosesConnection()
	c.requestBytes, c.responsePending = whole, true
	d.cfg.Handler.ServeExchange(x)
	if c.hijacked {
		c.responsePending = false
		x.releaseBuffers()
		return errHijacked
	}
	return d.sendResponse(c, whole)
}

// sendResponse sends the answer, unless it has flowed, and makes the connection ready for the next request,
// which begins behind so many bytes of what has been read.
func (d *Server) sendResponse(c *conn, whole int) error {
	x := &c.exchange
	if x.stream.started {
		return d.finishStreamedResponse(c, whole)
	}
	if x.responseData == nil {
		x.Respond(502, "text/plain; charset=utf-8", nil, []byte("failed\n"))
	}
	// What has come by now was sent before its caller saw this answer, at what time is not
	// known: the earliest is taken, so that its answer is not late.
	c.idleSince = x.respondedAt
	ahead := !x.Streaming && c.idleSince.Sub(c.lastReadAt) > pipelineWait && !c.ReadWouldBlock()
	err := d.writeResponse(c)
	closes := x.Close
	x.releaseBuffers()
	if err != nil {
		return err
	}
	c.responsePending = false
	c.responseCount++
	if closes {
		if x.Streaming || ahead || c.buf.Len() > whole {
			d.linger(c)
		}
		return errLastResponseSent
	}
	c.buf.Consume(whole)
	return d.prepareForNextRequest(c, ahead)
}

// prepareForNextRequest makes a connection ready for the next request, part of which may have come ahead.
func (d *Server) prepareForNextRequest(c *conn, ahead bool) error {
	c.pipelined = ahead || c.buf.Len() > 0
	if c.buf.Len() > 0 { // the next request came with this one
		c.receivedAt = c.earliestArrivalAt
		return nil
	}
	d.readBuffers.Put(c.buf)
	c.buf = nil
	if ahead {
		c.SetReadDeadline(time.Now().Add(d.cfg.Timeouts().Head))
		if err := d.fill(c); err != nil {
			return err
		}
		c.receivedAt = c.earliestArrivalAt
		return nil
	}
	d.setStage(c, stageIdle, c.idleSince)
	return nil
}

// pipelineWait is a wait that a request which came ahead may be off by.
const pipelineWait = 5 * time.Millisecond

// writeResponse writes the answer.
func (d *Server) writeResponse(c *conn) error {
	return c.WriteWithDeadline(c.exchange.responseData, time.Now().Add(d.cfg.Timeouts().Write))
}
