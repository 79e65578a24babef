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

// Errors that end a streamed body. A malformed body ends with an *http1.Error instead.
var (
	ErrCallerTooSlow      = errors.New("the caller is slow")
	ErrCallerDisconnected = errors.New("the caller went away before its body was whole")
	ErrBodyTooLarge       = errors.New("the body is too long")
	ErrStreamDeadline     = errors.New("the time for the whole is up")
)

// StreamLimits are the limits of a streamed body.
type StreamLimits struct {
	MaxBytes  int64              // largest length of a chunked request body, in bytes
	RateMeter transferrate.Meter // minimum transfer rate of the caller, who sends or receives the body
	Deadline  time.Time          // of the whole body
}

// bodyReceiver reads a request's body as it arrives, in a goroutine of its own.
type bodyReceiver struct {
	server          *Server
	conn            *conn
	store           *body.Body
	limits          StreamLimits
	continuePending bool // the caller waits for 100 Continue; guarded by mu once the goroutine runs
	err             error
	finished        chan struct{} // closed when err is final
	mu              sync.Mutex
	stopped         bool // the receiver must not read or write any more; guarded by mu
}

// ReceiveBody starts to receive the body of a streamed request into store, as fast as store accepts it.
// It calls done with the result, nil for a complete body, before StopReceiving returns; done runs in a
// goroutine of the receiver. A caller that expects 100 Continue gets it once the body has a reader.
func (x *Exchange) ReceiveBody(store *body.Body, limits StreamLimits, done func(error)) {
	u := &bodyReceiver{server: x.server, conn: x.conn, store: store, limits: limits, finished: make(chan struct{})}
	u.continuePending = x.conn.head.ExpectsContinue() && x.conn.buf.Len() == 0
	x.receiver = u
	go func() {
		defer close(u.finished)
		u.err = u.receive(x.conn.head)
		done(u.err)
		if u.err != nil { // after done: the attempts that this ends must not decide the response
			store.Fail(u.err)
		}
	}()
}

// StopReceiving ends ReceiveBody and waits until it has ended. Before the call, the store must have been
// closed or the body must be complete.
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

// complete reports whether the whole body has been received.
func (r *bodyReceiver) complete() bool {
	select {
	case <-r.finished:
		return r.err == nil
	default:
		return false
	}
}

// receive receives the body once it has a reader.
func (r *bodyReceiver) receive(head *http1.Request) error {
	if !r.store.WaitForReader() {
		return body.ErrClosed
	}
	if err := r.sendContinue(); err != nil {
		return err
	}
	if head.Framing() == http1.Chunked {
		return r.receiveChunked()
	}
	return r.receiveFixedLength(head.ContentLength())
}

// sendContinue sends 100 Continue if the caller waits for it.
func (r *bodyReceiver) sendContinue() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.continuePending || r.stopped {
		return nil
	}
	n, err := r.conn.TryWrite([]byte(http1.ContinueResponse))
	if err == nil && n < len(http1.ContinueResponse) { // the caller reads nothing, not even these few bytes
		err = ErrCallerTooSlow
	}
	return err
}

// receiveFixedLength receives a body of remaining bytes, straight into the store.
func (r *bodyReceiver) receiveFixedLength(remaining int64) error {
	for remaining > 0 {
		space, err := r.store.Reserve(int(min(remaining, body.BlockSize)))
		if err != nil {
			return err
		}
		n := copy(space, r.conn.buf.Bytes()) // data that was read together with the head
		if r.conn.buf.Consume(n); n == 0 {
			if n, err = r.readWithinLimits(func() (int, error) { return r.conn.Read(space) }); err != nil {
				return err
			}
		}
		if err := r.store.Commit(n); err != nil {
			return err
		}
		remaining -= int64(n)
	}
	r.store.Complete(nil)
	return nil
}

// receiveChunked receives a chunked body. Only data whose framing has been checked goes into the store.
func (r *bodyReceiver) receiveChunked() error {
	chunks := r.server.chunkBuffers.Get()
	chunks.Commit(copy(chunks.Reserve(r.conn.buf.Len()), r.conn.buf.Bytes()))
	r.conn.buf.Reset()
	defer func() { r.server.chunkBuffers.Put(chunks) }()
	decoder := http1.ChunkedDecoder{Limits: http1.DefaultLimits, KeepTrailers: true}
	for total := int64(0); ; {
		data, n, err := decoder.Decode(chunks.Bytes())
		if err != nil {
			return err
		}
		if total += int64(len(data)); total > r.limits.MaxBytes {
			return ErrBodyTooLarge
		}
		for len(data) > 0 {
			space, err := r.store.Reserve(len(data))
			if err != nil {
				return err
			}
			copied := copy(space, data)
			if err := r.store.Commit(copied); err != nil {
				return err
			}
			data = data[copied:]
		}
		chunks.Consume(n)
		if decoder.Done() {
			// The data after the body belongs to the next request.
			r.conn.buf.Commit(copy(r.conn.buf.Reserve(chunks.Len()), chunks.Bytes()))
			r.store.Complete(decoder.Trailers)
			return nil
		}
		if n > 0 {
			continue
		}
		if _, err := r.readWithinLimits(func() (int, error) {
			oldLen := chunks.Len()
			_, err := r.conn.ReadInto(chunks)
			return chunks.Len() - oldLen, err
		}); err != nil {
			return err
		}
	}
}

// readWithinLimits calls read, which reads once from the connection, and repeats the call after a read
// deadline as long as the caller keeps the minimum transfer rate and the stream's deadline has not passed.
// Time spent waiting for the reader of the body does not count against the caller.
func (r *bodyReceiver) readWithinLimits(read func() (int, error)) (int, error) {
	for {
		startedAt := time.Now()
		deadline := startedAt.Add(r.limits.RateMeter.MaxWait())
		if r.limits.Deadline.Before(deadline) {
			deadline = r.limits.Deadline
		}
		r.mu.Lock()
		if !r.stopped {
			r.conn.SetReadDeadline(deadline)
		}
		stopped := r.stopped
		r.mu.Unlock()
		if stopped {
			return 0, body.ErrClosed
		}
		n, err := read()
		now := time.Now()
		fastEnough := r.limits.RateMeter.Record(now.Sub(startedAt), n)
		switch {
		case err == nil && fastEnough:
			r.conn.lastReadAt = now
			return n, nil
		case err == nil:
			return 0, fmt.Errorf("body: %w", ErrCallerTooSlow)
		case !tcpconn.IsDeadlineExceeded(err):
			return 0, fmt.Errorf("body: %w: %w", ErrCallerDisconnected, err)
		case !now.Before(r.limits.Deadline):
			return 0, fmt.Errorf("body: %w", ErrStreamDeadline)
		case !fastEnough:
			return 0, fmt.Errorf("body: %w", ErrCallerTooSlow)
		}
	}
}

// serveStreaming serves a request whose body is still arriving.
func (s *Server) serveStreaming(c *conn, headBytes int) error {
	s.detachHead(c, headBytes)
	s.setStage(c, stageServing, c.lastReadAt)
	x := &c.exchange
	x.reset(nil)
	x.CloseAfterResponse = c.head.ClosesConnection()
	c.requestBytes, c.responsePending = 0, true
	s.cfg.Handler.ServeExchange(x)
	x.StopReceiving()
	if x.receiver == nil || !x.receiver.complete() {
		x.CloseAfterResponse = true
	}
	return s.sendResponse(c, 0)
}

// responseStream is the state of a response that is sent as its body becomes available.
type responseStream struct {
	started, complete, chunked bool
	remaining                  int64 // bytes of a body of known length that are not yet sent
	limits                     StreamLimits
	chunkSizeLine              []byte
}

// StartResponse starts a response whose body is sent as it becomes available, and sends its head. length is
// the body's length in bytes, or -1 for a chunked body. WriteBody and FinishResponse follow; without
// FinishResponse the caller detects that the response is incomplete.
func (x *Exchange) StartResponse(status int, appendFields func(b []byte) []byte, length int64, limits StreamLimits) error {
	b := x.appendCommonFields(http1.AppendStatusLine(x.takeBuffer(), status), appendFields)
	x.stream = responseStream{started: true, chunked: length < 0, remaining: length, limits: limits}
	if length < 0 {
		b = http1.AppendChunkedEncoding(b)
	} else {
		b = http1.AppendContentLength(b, length)
	}
	x.setResponseData(http1.AppendHeadEnd(b))
	if u := x.receiver; u != nil { // 100 Continue must not follow the response
		u.mu.Lock()
		u.continuePending = false
		u.mu.Unlock()
	}
	return x.writeAll(x.responseData)
}

// WriteBody sends p, which must not be empty, as the next part of the body.
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

// FinishResponse ends the body. A chunked one ends with trailers, which are complete field lines.
func (x *Exchange) FinishResponse(trailers []byte) error {
	if x.stream.chunked {
		if err := x.writeAll(http1.AppendLastChunk(x.stream.chunkSizeLine[:0], trailers)); err != nil {
			return err
		}
	}
	x.stream.complete = x.stream.chunked || x.stream.remaining == 0
	return nil
}

// writeAll writes all data, as long as the caller receives it at the minimum transfer rate and the stream's
// deadline has not passed.
func (x *Exchange) writeAll(data ...[]byte) error {
	unsent := net.Buffers(data)
	stream := &x.stream
	for {
		startedAt := time.Now()
		deadline := startedAt.Add(stream.limits.RateMeter.MaxWait())
		if stream.limits.Deadline.Before(deadline) {
			deadline = stream.limits.Deadline
		}
		x.conn.SetWriteDeadline(deadline)
		n, err := x.conn.WriteBuffers(&unsent)
		now := time.Now()
		fastEnough := stream.limits.RateMeter.Record(now.Sub(startedAt), int(n))
		switch {
		case err == nil:
			return nil
		case !tcpconn.IsDeadlineExceeded(err):
			return err
		case !now.Before(stream.limits.Deadline):
			return fmt.Errorf("response: %w", ErrStreamDeadline)
		case !fastEnough:
			return fmt.Errorf("response: %w", ErrCallerTooSlow)
		}
	}
}

// finishStreamedResponse finishes a streamed response and prepares the connection for the next request,
// which starts after requestBytes bytes of c.buf.
func (s *Server) finishStreamedResponse(c *conn, requestBytes int) error {
	x := &c.exchange
	c.idleSince = time.Now()
	c.SetWriteDeadline(time.Time{}) // the deadline of the last write must not fail the next response
	complete, closing := x.stream.complete, x.CloseAfterResponse
	x.releaseBuffers()
	if !complete {
		return errResponseIncomplete // the missing bytes let the caller detect that
	}
	c.responsePending = false
	c.responseCount++
	if closing {
		s.linger(c)
		return errLastResponseSent
	}
	c.buf.Consume(requestBytes)
	return s.prepareForNextRequest(c, false)
}
