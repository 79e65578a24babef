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
	errEvicted  = errors.New("closed to make room for another")
	errAnswered = errors.New("closed after its last answer")
	errBroken   = errors.New("closed within an answer that broke off")
	errRefused  = errors.New("closed after a request that can't be used")
	errDraining = errors.New("closed by the shutdown")
	errHijacked = errors.New("handed over")
)

// The end of a connection on which more may come: it is read for a while, so that the answer
// is not lost to a reset. One that sends on and on is not read for ever, and ends once it has
// the answer, which is looked for now and then.
const (
	lingerTime  = 500 * time.Millisecond
	lingerBytes = 1 << 20
	lingerLook  = 5 * time.Millisecond
)

// serve serves a connection until it ends.
func (d *Server) serve(c *conn) {
	defer func() {
		if fault := recover(); fault != nil { // one request's, which the others outlive
			slog.Error("door: panic", "fault", fault, "stack", string(debug.Stack()))
			d.answerPanic(c)
		}
		if !c.hijacked {
			c.Close()
			d.forget(c)
		}
	}()
	var reason error
	for reason == nil {
		reason = d.next(c)
	}
	d.logClose(c, reason)
	if c.buf != nil {
		d.bufs.Put(c.buf)
	}
}

// answerPanic answers a request whose handler has panicked, unless part of an answer has gone out.
func (d *Server) answerPanic(c *conn) {
	x := &c.x
	if !c.owed || c.hijacked || x.owned == nil || x.flow.begun {
		return
	}
	x.Close = true
	x.Respond(500, "text/plain; charset=utf-8", nil, []byte("failed\n"))
	if d.write(c) == nil {
		d.linger(c)
	}
}

// logClose logs why a connection ends. A request that it leaves without a whole answer is a
// warning unless its caller has gone.
func (d *Server) logClose(c *conn, reason error) {
	level, message := slog.LevelDebug, "connection closed"
	gone := d.gone(c)
	var id []byte
	if c.owed {
		message = "connection closed with no whole answer"
		id, _ = c.head.Get("X-Request-ID") // the head is held until its answer is out
		if !gone {
			level = slog.LevelWarn
		}
	}
	if ctx := context.Background(); slog.Default().Enabled(ctx, level) {
		slog.Log(ctx, level, message, "connection", c.number, "reason", reason, "answered", c.answered,
			"request", string(id), "caller gone", gone, "open", time.Since(c.opened))
	}
}

// next serves one request. An error ends the connection.
func (d *Server) next(c *conn) error {
	if c.buf == nil {
		if err := d.rest(c); err != nil {
			return err
		}
		c.arrived = c.came
	}
	c.first = c.arrived
	n, err := d.head(c)
	if err != nil {
		return err
	}
	c.x.HandlerState, c.x.Streaming = nil, false
	if r := d.cfg.Handler.CheckHead(&c.x); r != nil {
		return d.refuse(c, r)
	}
	if c.x.Streaming {
		return d.flows(c, n)
	}
	if c.head.Framing() == http1.Chunked {
		return d.chunked(c, n)
	}
	whole := n + int(max(c.head.ContentLength(), 0))
	if c.buf.Len() < whole {
		if err := d.body(c, whole); err != nil {
			return err
		}
	}
	text := c.buf.Bytes()
	c.head.Rebase(text)
	d.reached(c, taken, c.read)
	return d.answer(c, text[n:whole], whole)
}

// rest waits for the first bytes of a request: on a connection at rest for as long as one may be idle,
// on a new one for as long as a head may take. What has come by the end of that time, or as the
// connection is asked to end, is read: only a connection with nothing unread ends at rest.
func (d *Server) rest(c *conn) error {
	times := d.cfg.Timeouts()
	wait := times.Idle
	if c.arrived.IsZero() {
		wait = times.Head
	}
	d.allow(c, c.since.Add(wait))
	err := d.fill(c)
	if !errors.Is(err, os.ErrDeadlineExceeded) {
		return err
	}
	if c.ReadWouldBlock() {
		return cmp.Or(d.asked(c), err)
	}
	c.SetReadDeadline(time.Time{}) // there is something to read, so that nothing is waited for
	return d.fill(c)
}

// head reads a request's head and returns how long it is.
func (d *Server) head(c *conn) (n int, err error) {
	c.head.Reset()
	n, err = c.head.Parse(c.buf.Bytes())
	for began := false; n == 0 && err == nil; began = true {
		if !began {
			d.reached(c, partial, time.Now())
			times := d.cfg.Timeouts()
			d.allow(c, later(c.began().Add(times.Head), c.read.Add(times.Body)))
		}
		if err := d.fill(c); err != nil {
			return 0, d.cutOff(c, err, nil)
		}
		c.arrived = c.came
		n, err = c.head.Parse(c.buf.Bytes())
	}
	if err != nil {
		return 0, d.refuse(c, errorResponse(err))
	}
	return n, nil
}

// body waits for the rest of a request.
func (d *Server) body(c *conn, whole int) error {
	if err := d.expectBody(c); err != nil {
		return err
	}
	for c.buf.Len() < whole {
		if err := d.fill(c); err != nil {
			return d.cutOff(c, err, errBodyLate)
		}
		c.arrived = c.came
	}
	return nil
}

// errBodyLate answers a request whose body is not whole when its time is up.
var errBodyLate = &ErrorResponse{Status: 400, Message: "body: it did not come whole in time"}

// expectBody has a body waited for, for which the caller may be waiting to be told.
func (d *Server) expectBody(c *conn) error {
	d.reached(c, partial, time.Now())
	times := d.cfg.Timeouts()
	if c.head.ExpectsContinue() {
		if err := c.WriteWithDeadline([]byte(http1.ContinueResponse), time.Now().Add(times.Write)); err != nil {
			return err
		}
	}
	d.allow(c, later(c.began().Add(times.Head+times.Body), time.Now().Add(times.Body)))
	return nil
}

// began is when the time of the request at hand began: on a new connection when that was opened.
func (c *conn) began() time.Time {
	if c.answered == 0 {
		return c.opened
	}
	return c.first
}

// later is the later of two times.
func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// chunked has a request answered whose body comes in chunks and is held whole.
func (d *Server) chunked(c *conn, headLen int) error {
	d.detachHead(c, headLen)
	parts := http1.ChunkedDecoder{Limits: http1.DefaultLimits}
	var body []byte
	for waited := false; ; {
		data, n, err := parts.Decode(c.buf.Bytes())
		if err != nil {
			return d.refuse(c, errorResponse(err))
		}
		if len(body)+len(data) > d.cfg.MaxBodyBytes() {
			return d.refuse(c, &ErrorResponse{Status: 413, Message: "body: it is too long"})
		}
		body = append(body, data...)
		c.buf.Consume(n)
		switch {
		case parts.Done():
			d.reached(c, taken, c.read)
			return d.answer(c, body, 0)
		case n > 0:
			continue
		case !waited:
			waited = true
			if err := d.expectBody(c); err != nil {
				return err
			}
		}
		if err := d.fill(c); err != nil {
			return d.cutOff(c, err, errBodyLate)
		}
		c.arrived = c.came
	}
}

// detachHead keeps the head of a request apart, so that its buffer can be read on into.
func (d *Server) detachHead(c *conn, headLen int) {
	c.head.Rebase(append([]byte(nil), c.buf.Bytes()[:headLen]...))
	c.buf.Consume(headLen)
}

// cutOff ends a connection on which part of a request has come. One that gives way to another ends at
// once, and one that the shutdown cuts off is told to come back; else the answer is r, nil for none.
func (d *Server) cutOff(c *conn, err error, r *ErrorResponse) error {
	switch asked := d.asked(c); {
	case asked == errDraining:
		return d.refuse(c, &ErrorResponse{Status: 503, Message: "shutting down"})
	case asked != nil:
		return asked
	case r != nil:
		return d.refuse(c, r)
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
	c.came = c.read
	c.read = time.Now()
	if !c.ahead { // else it may have lain there since the read before
		c.came = c.read
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

// refuse answers a request that can't be used, and ends the connection.
func (d *Server) refuse(c *conn, r *ErrorResponse) error {
	d.reached(c, partial, time.Now())
	slog.Debug("request can't be used", "connection", c.number, "status", r.Status, "why", r.Message)
	x := &c.x
	x.begin(nil)
	x.Close = true
	x.Respond(r.Status, "text/plain; charset=utf-8", r.fields, []byte(r.Message+"\n"))
	err := d.write(c)
	x.end()
	if err != nil {
		return err
	}
	d.linger(c)
	return errRefused
}

// linger reads on for a while after the last answer.
func (d *Server) linger(c *conn) {
	if c.CloseWrite() != nil {
		return
	}
	end := time.Now().Add(lingerTime)
	c.SetReadDeadline(end)
	if c.buf != nil {
		c.buf.Reset()
	}
	for left := lingerBytes; left > 0; {
		if d.fill(c) != nil {
			return
		}
		left -= c.buf.Len()
		c.buf.Reset()
	}
	for c.HasUnackedData() && time.Now().Before(end) {
		time.Sleep(lingerLook)
	}
}

// answer has a request answered and makes the connection ready for the next.
func (d *Server) answer(c *conn, body []byte, whole int) error {
	x := &c.x
	x.begin(body)
	x.Close = c.head.ClosesConnection()
	c.whole, c.owed = whole, true
	d.cfg.Handler.ServeExchange(x)
	if c.hijacked {
		c.owed = false
		x.end()
		return errHijacked
	}
	return d.reply(c, whole)
}

// reply sends the answer, unless it has flowed, and makes the connection ready for the next request,
// which begins behind so many bytes of what has been read.
func (d *Server) reply(c *conn, whole int) error {
	x := &c.x
	if x.flow.begun {
		return d.flowed(c, whole)
	}
	if x.out == nil {
		x.Respond(502, "text/plain; charset=utf-8", nil, []byte("failed\n"))
	}
	// What has come by now was sent before its caller saw this answer, at what time is not
	// known: the earliest is taken, so that its answer is not late.
	c.since = x.at
	ahead := !x.Streaming && c.since.Sub(c.read) > aheadTime && !c.ReadWouldBlock()
	err := d.write(c)
	closes := x.Close
	x.end()
	if err != nil {
		return err
	}
	c.owed = false
	c.answered++
	if closes {
		if x.Streaming || ahead || c.buf.Len() > whole {
			d.linger(c)
		}
		return errAnswered
	}
	c.buf.Consume(whole)
	return d.ready(c, ahead)
}

// ready makes a connection ready for the next request, part of which may have come ahead.
func (d *Server) ready(c *conn, ahead bool) error {
	c.ahead = ahead || c.buf.Len() > 0
	if c.buf.Len() > 0 { // the next request came with this one
		c.arrived = c.came
		return nil
	}
	d.bufs.Put(c.buf)
	c.buf = nil
	if ahead {
		c.SetReadDeadline(time.Now().Add(d.cfg.Timeouts().Head))
		if err := d.fill(c); err != nil {
			return err
		}
		c.arrived = c.came
		return nil
	}
	d.reached(c, idle, c.since)
	return nil
}

// aheadTime is a wait that a request which came ahead may be off by.
const aheadTime = 5 * time.Millisecond

// write writes the answer.
func (d *Server) write(c *conn) error {
	return c.WriteWithDeadline(c.x.out, time.Now().Add(d.cfg.Timeouts().Write))
}
