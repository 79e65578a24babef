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

// bodyReceiver reads a request's body as it arrives, in a goroutine of its own.
type bodyReceiver struct {
	server          *Server
	conn            *conn
	store           *body.Body
	limits          StreamLimits
	continuePending bool // the caller waits for a 100
	err             error
	finished        chan struct{} // closed with result set
	mu              sync.Mutex
	stopped         bool // it is to read and write no more
}

// ReceiveBody has the body of a request that flows go into a store from now on, as fast as it is
// taken there, and calls done with what came of it, before StopUpload returns. A caller that
// expects a 100 gets it once the body has a reader.
func (x *Exchange) ReceiveBody(to *body.Body, how StreamLimits, done func(error)) {
	u := &bodyReceiver{server: x.server, conn: x.conn, store: to, limits: how, finished: make(chan struct{})}
	u.continuePending = x.conn.head.ExpectsContinue() && x.conn.buf.Len() == 0
	x.receiver = u
	go func() {
		defer close(u.finished)
		u.err = u.receive(x.conn.head)
		if u.err != nil {
			to.Fail(u.err)
		}
		done(u.err)
	}()
}

// StopReceiving ends the reading of a body, if it has not ended. The store must be closed by now, or
// the body whole.
func (x *Exchange) StopReceiving() {
	u := x.receiver
	if u == nil {
		return
	}
	u.mu.Lock()
	if !u.stopped {
		u.stopped = true
		u.conn.SetReadDeadline(expiredDeadline)
	}
	u.mu.Unlock()
	<-u.finished
}

// expiredDeadline is a deadline that has passed.
var expiredDeadline = time.Unix(1, 0)

// complete tells whether the body has been read whole.
func (u *bodyReceiver) complete() bool {
	select {
	case <-u.finished:
		return u.err == nil
	default:
		return false
	}
}

func (u *bodyReceiver) receive(head *http1.Request) error {
	if !u.store.WaitForReader() {
		return body.ErrClosed
	}
	if err := u.sendContinue(); err != nil {
		return err
	}
	if head.Framing() == http1.Chunked {
		return u.receiveChunked()
	}
	return u.receiveFixedLength(head.ContentLength())
}

// sendContinue tells a caller that waits for it to send its body.
func (u *bodyReceiver) sendContinue() error {
	u.mu.Lock()
	defer u.mu.Unlock()
	if !u.continuePending || u.stopped {
		return nil
	}
	n, err := u.conn.TryWrite([]byte(http1.ContinueResponse))
	if err == nil && n < len(http1.ContinueResponse) { // a caller that reads nothing, not even that
		err = ErrCallerTooSlow
	}
	return err
}

// receiveFixedLength reads a body of a known length, straight to where it is held.
func (u *bodyReceiver) receiveFixedLength(left int64) error {
	for left > 0 {
		room, err := u.store.Reserve(int(min(left, body.BlockSize)))
		if err != nil {
			return err
		}
		n := copy(room, u.conn.buf.Bytes()) // what came with the head
		if u.conn.buf.Consume(n); n == 0 {
			if n, err = u.readWithinLimits(func() (int, error) { return u.conn.Read(room) }); err != nil {
				return err
			}
		}
		if err := u.store.Commit(n); err != nil {
			return err
		}
		left -= int64(n)
	}
	u.store.Complete(nil)
	return nil
}

// receiveChunked reads a body of chunks, whose framing is checked before any of it goes on.
func (u *bodyReceiver) receiveChunked() error {
	in := u.server.chunkBuffers.Get()
	in.Commit(copy(in.Reserve(u.conn.buf.Len()), u.conn.buf.Bytes()))
	u.conn.buf.Reset()
	defer func() { u.server.chunkBuffers.Put(in) }()
	parts := http1.ChunkedDecoder{Limits: http1.DefaultLimits, KeepTrailers: true}
	for total := int64(0); ; {
		data, n, err := parts.Decode(in.Bytes())
		if err != nil {
			return err
		}
		if total += int64(len(data)); total > u.limits.MaxBytes {
			return ErrBodyTooLarge
		}
		for len(data) > 0 {
			room, err := u.store.Reserve(len(data))
			if err != nil {
				return err
			}
			m := copy(room, data)
			if err := u.store.Commit(m); err != nil {
				return err
			}
			data = data[m:]
		}
		in.Consume(n)
		if parts.Done() {
			// What is behind belongs to the next request.
			u.conn.buf.Commit(copy(u.conn.buf.Reserve(in.Len()), in.Bytes()))
			u.store.Complete(parts.Trailers)
			return nil
		}
		if n > 0 {
			continue
		}
		if _, err := u.readWithinLimits(func() (int, error) {
			had := in.Len()
			_, err := u.conn.ReadInto(in)
			return in.Len() - had, err
		}); err != nil {
			return err
		}
	}
}

// readWithinLimits reads once, for as long as the caller keeps its pace. Time that was spent waiting for
// whoever takes the body is not the caller's.
func (u *bodyReceiver) readWithinLimits(f func() (int, error)) (int, error) {
	for {
		began := time.Now()
		by := began.Add(u.limits.RateMeter.MaxWait())
		if u.limits.Deadline.Before(by) {
			by = u.limits.Deadline
		}
		u.mu.Lock()
		if !u.stopped {
			u.conn.SetReadDeadline(by)
		}
		stopped := u.stopped
		u.mu.Unlock()
		if stopped {
			return 0, body.ErrClosed
		}
		n, err := f()
		now := time.Now()
		fast := u.limits.RateMeter.Record(now.Sub(began), n)
		switch {
		case err == nil && fast:
			u.conn.lastReadAt = now
			return n, nil
		case err == nil:
			return 0, fmt.Errorf("body: %w", ErrCallerTooSlow)
		case !tcpconn.IsDeadlineExceeded(err):
			return 0, fmt.Errorf("body: %w: %w", ErrCallerDisconnected, err)
		case !now.Before(u.limits.Deadline):
			return 0, fmt.Errorf("body: %w", ErrStreamDeadline)
		case !fast:
			return 0, fmt.Errorf("body: %w", ErrCallerTooSlow)
		}
	}
}

// serveStreaming has a request answered whose body is still arriving.
func (d *Server) serveStreaming(c *conn, head int) error {
	d.detachHead(c, head)
	d.setStage(c, stageServing, c.lastReadAt)
	x := &c.exchange
	x.reset(nil)
	x.Close = c.head.ClosesConnection()
	c.requestBytes, c.responsePending = 0, true
	d.cfg.Handler.ServeExchange(x)
	x.StopReceiving()
	if x.receiver == nil || !x.receiver.complete() {
		x.Close = true
	}
	return d.sendResponse(c, 0)
}

// responseStream is an answer that goes out as it comes.
type responseStream struct {
	started, complete, chunked bool
	remaining                  int64 // of a body whose length was told
	limits                     StreamLimits
	chunkSizeLine              []byte
}

// StartResponse begins an answer that goes out as it comes, of so many bytes, or in chunks where length
// is -1. Write and End follow; without End the caller sees that it broke off.
func (x *Exchange) StartResponse(status int, fields func(b []byte) []byte, length int64, how StreamLimits) error {
	b := x.appendCommonFields(http1.AppendStatusLine((*x.pooledBuffer)[:0], status), fields)
	x.stream = responseStream{started: true, chunked: length < 0, remaining: length, limits: how}
	if length < 0 {
		b = http1.AppendChunkedEncoding(b)
	} else {
		b = http1.AppendContentLength(b, length)
	}
	x.responseData = http1.AppendHeadEnd(b)
	if u := x.receiver; u != nil { // no 100 may follow the answer
		u.mu.Lock()
		u.continuePending = false
		u.mu.Unlock()
	}
	return x.writeAll(x.responseData)
}

// WriteBody sends a piece of the body, which is not empty.
func (x *Exchange) WriteBody(p []byte) error {
	if !x.stream.chunked {
		x.stream.remaining -= int64(len(p))
		if x.stream.remaining < 0 {
			return http1.ErrContentLength
		}
		return x.writeAll(p)
	}
	x.stream.chunkSizeLine = http1.AppendChunkSize(x.stream.chunkSizeLine[:0], len(p))
	return x.writeAll(x.stream.chunkSizeLine, p, []byte("\r\n"))
}

// FinishResponse ends the body, with trailers that are whole lines where it goes out in chunks.
func (x *Exchange) FinishResponse(trailers []byte) error {
	if x.stream.chunked {
		if err := x.writeAll(http1.AppendLastChunk(x.stream.chunkSizeLine[:0], trailers)); err != nil {
			return err
		}
	}
	x.stream.complete = x.stream.chunked || x.stream.remaining == 0
	return nil
}

// writeAll writes all, for as long as the caller keeps its pace.
func (x *Exchange) writeAll(texts ...[]byte) error {
	all := net.Buffers(texts)
	f := &x.stream
	for {
		began := time.Now()
		by := began.Add(f.limits.RateMeter.MaxWait())
		if f.limits.Deadline.Before(by) {
			by = f.limits.Deadline
		}
		x.conn.SetWriteDeadline(by)
		n, err := x.conn.WriteBuffers(&all)
		now := time.Now()
		fast := f.limits.RateMeter.Record(now.Sub(began), int(n))
		switch {
		case err == nil:
			return nil
		case !tcpconn.IsDeadlineExceeded(err):
			return err
		case !now.Before(f.limits.Deadline):
			return fmt.Errorf("answer: %w", ErrStreamDeadline)
		case !fast:
			return fmt.Errorf("answer: %w", ErrCallerTooSlow)
		}
	}
}

// finishStreamedResponse ends an answer that went out as it came.
func (d *Server) finishStreamedResponse(c *conn, request int) error {
	x := &c.exchange
	c.idleSince = time.Now()
	c.SetWriteDeadline(time.Time{}) // that of its last piece must not fail the next answer
	whole, closes := x.stream.complete, x.Close
	x.releaseBuffers()
	if !whole {
		return errResponseIncomplete // without its last bytes, by which the caller knows
	}
	c.responsePending = false
	c.responseCount++
	if closes {
		d.linger(c)
		return errLastResponseSent
	}
	c.buf.Consume(request)
	return d.prepareForNextRequest(c, false)
}
