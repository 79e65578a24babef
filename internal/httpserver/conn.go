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
func (d *Door) serve(c *conn) {
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
func (d *Door) answerPanic(c *conn) {
	x := &c.x
	if !c.owed || c.hijacked || x.owned == nil || x.flow.begun {
		return
	}
	x.Close = true
	x.Answer(500, "text/plain; charset=utf-8", nil, []byte("failed\n"))
	if d.write(c) == nil {
		d.linger(c)
	}
}

// logClose logs why a connection ends. A request that it leaves without a whole answer is a
// warning unless its caller has gone.
func (d *Door) logClose(c *conn, reason error) {
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
func (d *Door) next(c *conn) error {
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
	c.x.State, c.x.Flows = nil, false
	if r := d.cfg.Handler.Head(&c.x); r != nil {
		return d.refuse(c, r)
	}
	if c.x.Flows {
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
	c.head.Moved(text)
	d.reached(c, taken, c.read)
	return d.answer(c, text[n:whole], whole)
}

// rest waits for the first bytes of a request: on a connection at rest for as long as one may be idle,
// on a new one for as long as a head may take. What has come by the end of that time, or as the
// connection is asked to end, is read: only a connection with nothing unread ends at rest.
func (d *Door) rest(c *conn) error {
	times := d.cfg.Times()
	wait := times.Idle
	if c.arrived.IsZero() {
		wait = times.Head
	}
	d.allow(c, c.since.Add(wait))
	err := d.fill(c)
	if !errors.Is(err, os.ErrDeadlineExceeded) {
		return err
	}
	if c.Quiet() {
		return cmp.Or(d.asked(c), err)
	}
	c.SetReadDeadline(time.Time{}) // there is something to read, so that nothing is waited for
	return d.fill(c)
}

// head reads a request's head and returns how long it is.
func (d *Door) head(c *conn) (n int, err error) {
	c.head.Reset()
	n, err = c.head.Parse(c.buf.Bytes())
	for began := false; n == 0 && err == nil; began = true {
		if !began {
			d.reached(c, partial, time.Now())
			times := d.cfg.Times()
			d.allow(c, later(c.began().Add(times.Head), c.read.Add(times.Body)))
		}
		if err := d.fill(c); err != nil {
			return 0, d.cutOff(c, err, nil)
		}
		c.arrived = c.came
		n, err = c.head.Parse(c.buf.Bytes())
	}
	if err != nil {
		return 0, d.refuse(c, refusal(err))
	}
	return n, nil
}

// body waits for the rest of a request.
func (d *Door) body(c *conn, whole int) error {
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
var errBodyLate = &Refusal{Status: 400, Why: "body: it did not come whole in time"}

// expectBody has a body waited for, for which the caller may be waiting to be told.
func (d *Door) expectBody(c *conn) error {
	d.reached(c, partial, time.Now())
	times := d.cfg.Times()
	if c.head.ExpectsContinue() {
		if err := c.WriteBy([]byte(http1.Continue), time.Now().Add(times.Write)); err != nil {
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
func (d *Door) chunked(c *conn, headLen int) error {
	d.detachHead(c, headLen)
	parts := http1.Chunks{Limits: http1.DefaultLimits}
	var body []byte
	for waited := false; ; {
		data, n, err := parts.Next(c.buf.Bytes())
		if err != nil {
			return d.refuse(c, refusal(err))
		}
		if len(body)+len(data) > d.cfg.MaxBody() {
			return d.refuse(c, &Refusal{Status: 413, Why: "body: it is too long"})
		}
		body = append(body, data...)
		c.buf.Skip(n)
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
func (d *Door) detachHead(c *conn, headLen int) {
	c.head.Moved(append([]byte(nil), c.buf.Bytes()[:headLen]...))
	c.buf.Skip(headLen)
}

// cutOff ends a connection on which part of a request has come. One that gives way to another ends at
// once, and one that the shutdown cuts off is told to come back; else the answer is r, nil for none.
func (d *Door) cutOff(c *conn, err error, r *Refusal) error {
	switch asked := d.asked(c); {
	case asked == errDraining:
		return d.refuse(c, &Refusal{Status: 503, Why: "shutting down"})
	case asked != nil:
		return asked
	case r != nil:
		return d.refuse(c, r)
	}
	return err
}

// fill reads what has come.
func (d *Door) fill(c *conn) error {
	b, err := c.Fill(c.buf)
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

// refusal is the answer to a head that can't be read.
func refusal(err error) *Refusal {
	if e := (*http1.Error)(nil); errors.As(err, &e) {
		return &Refusal{Status: e.Status, Why: e.Error()}
	}
	return &Refusal{Status: 400, Why: err.Error()}
}

// refuse answers a request that can't be used, and ends the connection.
func (d *Door) refuse(c *conn, r *Refusal) error {
	d.reached(c, partial, time.Now())
	slog.Debug("request can't be used", "connection", c.number, "status", r.Status, "why", r.Why)
	x := &c.x
	x.begin(nil)
	x.Close = true
	x.Answer(r.Status, "text/plain; charset=utf-8", r.fields, []byte(r.Why+"\n"))
	err := d.write(c)
	x.end()
	if err != nil {
		return err
	}
	d.linger(c)
	return errRefused
}

// linger reads on for a while after the last answer.
func (d *Door) linger(c *conn) {
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
	for c.Unread() && time.Now().Before(end) {
		time.Sleep(lingerLook)
	}
}

// answer has a request answered and makes the connection ready for the next.
func (d *Door) answer(c *conn, body []byte, whole int) error {
	x := &c.x
	x.begin(body)
	x.Close = c.head.Closes()
	c.whole, c.owed = whole, true
	d.cfg.Handler.Serve(x)
	if c.hijacked {
		c.owed = false
		x.end()
		return errHijacked
	}
	return d.reply(c, whole)
}

// reply sends the answer, unless it has flowed, and makes the connection ready for the next request,
// which begins behind so many bytes of what has been read.
func (d *Door) reply(c *conn, whole int) error {
	x := &c.x
	if x.flow.begun {
		return d.flowed(c, whole)
	}
	if x.out == nil {
		x.Answer(502, "text/plain; charset=utf-8", nil, []byte("failed\n"))
	}
	// What has come by now was sent before its caller saw this answer, at what time is not
	// known: the earliest is taken, so that its answer is not late.
	c.since = x.at
	ahead := !x.Flows && c.since.Sub(c.read) > aheadTime && !c.Quiet()
	err := d.write(c)
	closes := x.Close
	x.end()
	if err != nil {
		return err
	}
	c.owed = false
	c.answered++
	if closes {
		if x.Flows || ahead || c.buf.Len() > whole {
			d.linger(c)
		}
		return errAnswered
	}
	c.buf.Skip(whole)
	return d.ready(c, ahead)
}

// ready makes a connection ready for the next request, part of which may have come ahead.
func (d *Door) ready(c *conn, ahead bool) error {
	c.ahead = ahead || c.buf.Len() > 0
	if c.buf.Len() > 0 { // the next request came with this one
		c.arrived = c.came
		return nil
	}
	d.bufs.Put(c.buf)
	c.buf = nil
	if ahead {
		c.SetReadDeadline(time.Now().Add(d.cfg.Times().Head))
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
func (d *Door) write(c *conn) error {
	return c.WriteBy(c.x.out, time.Now().Add(d.cfg.Times().Write))
}
