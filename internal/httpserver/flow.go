package httpserver

import (
	"errors"
	"fmt"
	"net"
	"sync"
	"time"

	"barleydrum.example/barleydrum/internal/body"
	"barleydrum.example/barleydrum/internal/http1"
	"barleydrum.example/barleydrum/internal/tcpconn"
	"barleydrum.example/barleydrum/internal/transferrate"
)

// What may end a body that flows, beside what can't be read (an *http1.Error).
var (
	ErrCallerTooSlow      = errors.New("the caller is slow")
	ErrCallerDisconnected = errors.New("the caller went away before its body was whole")
	ErrBodyTooLarge       = errors.New("the body is too long")
	ErrStreamDeadline     = errors.New("the time for the whole is up")
)

// StreamLimits says how a body may flow.
type StreamLimits struct {
	MaxBytes  int64              // bytes of it
	RateMeter transferrate.Meter // that is asked of the caller
	Deadline  time.Time          // the time for the whole is up
}

// upload reads a request's body as it arrives, in a goroutine of its own.
type upload struct {
	d       *Server
	c       *conn
	to      *body.Body
	how     StreamLimits
	waits   bool // the caller waits for a 100
	result  error
	ended   chan struct{} // closed with result set
	mu      sync.Mutex
	stopped bool // it is to read and write no more
}

// ReceiveBody has the body of a request that flows go into a store from now on, as fast as it is
// taken there, and calls done with what came of it, before StopUpload returns. A caller that
// expects a 100 gets it once the body has a reader.
func (x *Exchange) ReceiveBody(to *body.Body, how StreamLimits, done func(error)) {
	u := &upload{d: x.d, c: x.c, to: to, how: how, ended: make(chan struct{})}
	u.waits = x.c.head.ExpectsContinue() && x.c.buf.Len() == 0
	x.upload = u
	go func() {
		defer close(u.ended)
		u.result = u.run(x.c.head)
		if u.result != nil {
			to.Fail(u.result)
		}
		done(u.result)
	}()
}

// StopReceiving ends the reading of a body, if it has not ended. The store must be closed by now, or
// the body whole.
func (x *Exchange) StopReceiving() {
	u := x.upload
	if u == nil {
		return
	}
	u.mu.Lock()
	if !u.stopped {
		u.stopped = true
		u.c.SetReadDeadline(past)
	}
	u.mu.Unlock()
	<-u.ended
}

// past is a deadline that has passed.
var past = time.Unix(1, 0)

// done tells whether the body has been read whole.
func (u *upload) done() bool {
	select {
	case <-u.ended:
		return u.result == nil
	default:
		return false
	}
}

func (u *upload) run(head *http1.Request) error {
	if !u.to.WaitForReader() {
		return body.ErrClosed
	}
	if err := u.goOn(); err != nil {
		return err
	}
	if head.Framing() == http1.Chunked {
		return u.chunks()
	}
	return u.length(head.ContentLength())
}

// goOn tells a caller that waits for it to send its body.
func (u *upload) goOn() error {
	u.mu.Lock()
	defer u.mu.Unlock()
	if !u.waits || u.stopped {
		return nil
	}
	n, err := u.c.TryWrite([]byte(http1.ContinueResponse))
	if err == nil && n < len(http1.ContinueResponse) { // a caller that reads nothing, not even that
		err = ErrCallerTooSlow
	}
	return err
}

// length reads a body of a known length, straight to where it is held.
func (u *upload) length(left int64) error {
	for left > 0 {
		room, err := u.to.Reserve(int(min(left, body.BlockSize)))
		if err != nil {
			return err
		}
		n := copy(room, u.c.buf.Bytes()) // what came with the head
		if u.c.buf.Consume(n); n == 0 {
			if n, err = u.read(func() (int, error) { return u.c.Read(room) }); err != nil {
				return err
			}
		}
		if err := u.to.Commit(n); err != nil {
			return err
		}
		left -= int64(n)
	}
	u.to.Complete(nil)
	return nil
}

// chunks reads a body of chunks, whose framing is checked before any of it goes on.
func (u *upload) chunks() error {
	in := u.d.pieces.Get()
	in.Commit(copy(in.Reserve(u.c.buf.Len()), u.c.buf.Bytes()))
	u.c.buf.Reset()
	defer func() { u.d.pieces.Put(in) }()
	parts := http1.ChunkedDecoder{Limits: http1.DefaultLimits, KeepTrailers: true}
	for total := int64(0); ; {
		data, n, err := parts.Decode(in.Bytes())
		if err != nil {
			return err
		}
		if total += int64(len(data)); total > u.how.MaxBytes {
			return ErrBodyTooLarge
		}
		for len(data) > 0 {
			room, err := u.to.Reserve(len(data))
			if err != nil {
				return err
			}
			m := copy(room, data)
			if err := u.to.Commit(m); err != nil {
				return err
			}
			data = data[m:]
		}
		in.Consume(n)
		if parts.Done() {
			// What is behind belongs to the next request.
			u.c.buf.Commit(copy(u.c.buf.Reserve(in.Len()), in.Bytes()))
			u.to.Complete(parts.Trailers)
			return nil
		}
		if n > 0 {
			continue
		}
		if _, err := u.read(func() (int, error) {
			had := in.Len()
			_, err := u.c.ReadInto(in)
			return in.Len() - had, err
		}); err != nil {
			return err
		}
	}
}

// read reads once, for as long as the caller keeps its pace. Time that was spent waiting for
// whoever takes the body is not the caller's.
func (u *upload) read(f func() (int, error)) (int, error) {
	for {
		began := time.Now()
		by := began.Add(u.how.RateMeter.MaxWait())
		if u.how.Deadline.Before(by) {
			by = u.how.Deadline
		}
		u.mu.Lock()
		if !u.stopped {
			u.c.SetReadDeadline(by)
		}
		stopped := u.stopped
		u.mu.Unlock()
		if stopped {
			return 0, body.ErrClosed
		}
		n, err := f()
		now := time.Now()
		fast := u.how.RateMeter.Record(now.Sub(began), n)
		switch {
		case err == nil && fast:
			u.c.read = now
			return n, nil
		case err == nil:
			return 0, fmt.Errorf("body: %w", ErrCallerTooSlow)
		case !tcpconn.IsDeadlineExceeded(err):
			return 0, fmt.Errorf("body: %w: %w", ErrCallerDisconnected, err)
		case !now.Before(u.how.Deadline):
			return 0, fmt.Errorf("body: %w", ErrStreamDeadline)
		case !fast:
			return 0, fmt.Errorf("body: %w", ErrCallerTooSlow)
		}
	}
}

// flows has a request answered whose body is still arriving.
func (d *Server) flows(c *conn, head int) error {
	d.detachHead(c, head)
	d.reached(c, taken, c.read)
	x := &c.x
	x.begin(nil)
	x.Close = c.head.ClosesConnection()
	c.whole, c.owed = 0, true
	d.cfg.Handler.ServeExchange(x)
	x.StopReceiving()
	if x.upload == nil || !x.upload.done() {
		x.Close = true
	}
	return d.reply(c, 0)
}

// flow is an answer that goes out as it comes.
type flow struct {
	begun, whole, chunked bool
	left                  int64 // of a body whose length was told
	how                   StreamLimits
	space                 []byte
}

// StartResponse begins an answer that goes out as it comes, of so many bytes, or in chunks where length
// is -1. Write and End follow; without End the caller sees that it broke off.
func (x *Exchange) StartResponse(status int, fields func(b []byte) []byte, length int64, how StreamLimits) error {
	b := x.common(http1.AppendStatusLine((*x.owned)[:0], status), fields)
	x.flow = flow{begun: true, chunked: length < 0, left: length, how: how}
	if length < 0 {
		b = http1.AppendChunkedEncoding(b)
	} else {
		b = http1.AppendContentLength(b, length)
	}
	x.out = http1.AppendHeadEnd(b)
	if u := x.upload; u != nil { // no 100 may follow the answer
		u.mu.Lock()
		u.waits = false
		u.mu.Unlock()
	}
	return x.send(x.out)
}

// WriteBody sends a piece of the body, which is not empty.
func (x *Exchange) WriteBody(p []byte) error {
	if !x.flow.chunked {
		x.flow.left -= int64(len(p))
		if x.flow.left < 0 {
			return http1.ErrContentLength
		}
		return x.send(p)
	}
	x.flow.space = http1.AppendChunkSize(x.flow.space[:0], len(p))
	return x.send(x.flow.space, p, []byte("\r\n"))
}

// FinishResponse ends the body, with trailers that are whole lines where it goes out in chunks.
func (x *Exchange) FinishResponse(trailers []byte) error {
	if x.flow.chunked {
		if err := x.send(http1.AppendLastChunk(x.flow.space[:0], trailers)); err != nil {
			return err
		}
	}
	x.flow.whole = x.flow.chunked || x.flow.left == 0
	return nil
}

// send writes all, for as long as the caller keeps its pace.
func (x *Exchange) send(texts ...[]byte) error {
	all := net.Buffers(texts)
	f := &x.flow
	for {
		began := time.Now()
		by := began.Add(f.how.RateMeter.MaxWait())
		if f.how.Deadline.Before(by) {
			by = f.how.Deadline
		}
		x.c.SetWriteDeadline(by)
		n, err := x.c.WriteBuffers(&all)
		now := time.Now()
		fast := f.how.RateMeter.Record(now.Sub(began), int(n))
		switch {
		case err == nil:
			return nil
		case !tcpconn.IsDeadlineExceeded(err):
			return err
		case !now.Before(f.how.Deadline):
			return fmt.Errorf("answer: %w", ErrStreamDeadline)
		case !fast:
			return fmt.Errorf("answer: %w", ErrCallerTooSlow)
		}
	}
}

// flowed ends an answer that went out as it came.
func (d *Server) flowed(c *conn, request int) error {
	x := &c.x
	c.since = time.Now()
	c.SetWriteDeadline(time.Time{}) // that of its last piece must not fail the next answer
	whole, closes := x.flow.whole, x.Close
	x.end()
	if !whole {
		return errBroken // without its last bytes, by which the caller knows
	}
	c.owed = false
	c.answered++
	if closes {
		d.linger(c)
		return errAnswered
	}
	c.buf.Consume(request)
	return d.ready(c, false)
}
