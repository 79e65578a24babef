package upstream

import (
	"errors"
	"fmt"
	"io"
	"net"
	"time"

	"barleydrum.example/barleydrum/balance"
	"barleydrum.example/barleydrum/internal/body"
	"barleydrum.example/barleydrum/internal/http1"
	"barleydrum.example/barleydrum/internal/tcpconn"
	"barleydrum.example/barleydrum/internal/transferrate"
)

// streamBufferBytes is what an answer that flows is read by.
const streamBufferBytes = body.BlockSize

// earlyResponseWait is how long an answer is waited for of an endpoint that takes no more of its
// request: one that turns a body away answers, and closes.
const earlyResponseWait = 200 * time.Millisecond

// ErrEndpointTooSlow says that an endpoint took or sent too little for too long.
var ErrEndpointTooSlow = errors.New("the endpoint is slow")

// errBodyTooLate says that a body would be whole at the endpoint after the time by which it must.
var errBodyTooLate = errors.New("the body was not whole while a repeat of it would be dropped")

// unsendableBodyError is why a body can't be sent on, which is no fault of the endpoint's.
type unsendableBodyError struct{ error }

func (u unsendableBodyError) Unwrap() error { return u.error }

// upload is the body of a request that is sent as it arrives.
type upload struct {
	src           *body.Body
	contentLength int64       // -1 for chunks
	tryComplete   func() bool // whether the last byte may go out now
	done          chan error  // what came of it, once

	// Under Exchange.mu.
	reader  *body.Reader
	stopped bool      // no more of it is to be written
	sentAt  time.Time // when the last byte was written
}

// SetStreamedBody has a body sent behind the request, as it arrives: so many bytes, or chunks where size
// is -1. Before what makes it whole at the endpoint, and so lets it run, last is asked. Upload is
// called between Begin and the first Run.
func (x *Exchange) SetStreamedBody(src *body.Body, size int64, last func() bool) {
	x.upload = upload{src: src, contentLength: size, tryComplete: last}
}

// BodySentAt is when the last byte of a body was written that is sent as it arrives, zero for not yet.
// The time that the endpoint takes begins then.
func (x *Exchange) BodySentAt() time.Time {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.upload.sentAt
}

// startUpload begins to send the request.
func (x *Exchange) startUpload() error {
	r, err := x.upload.src.Reader()
	if err != nil {
		return err
	}
	x.mu.Lock()
	x.upload.reader = r
	if x.cancelCause != nil {
		r.Stop()
	}
	x.mu.Unlock()
	x.upload.done = make(chan error, 1)
	p := &uploader{x: x, conn: x.conn, reader: r, meter: x.pool.cfg.NewRateMeter(), remaining: x.upload.contentLength}
	go func() {
		err := p.run()
		r.Close()
		x.recordUploadEnd(err)
		x.upload.done <- err
	}()
	return nil
}

// recordUploadEnd notes what came of an upload. Whoever reads the answer is not let wait for it long if
// the request can't be whole any more.
func (x *Exchange) recordUploadEnd(err error) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.upload.reader = nil
	switch {
	case err == nil:
		x.upload.sentAt = time.Now()
	case x.boundConn == nil || x.cancelCause != nil:
	case errors.As(err, new(unsendableBodyError)):
		x.boundConn.SetReadDeadline(expiredDeadline)
	default:
		x.boundConn.SetReadDeadline(time.Now().Add(earlyResponseWait))
	}
}

// stopUpload ends what is still being sent. It tells whether the request is whole, and if not why.
func (x *Exchange) stopUpload() (whole bool, cause error) {
	if x.upload.done == nil {
		return true, nil
	}
	x.mu.Lock()
	x.upload.stopped = true
	if r := x.upload.reader; r != nil {
		r.Stop()
		x.conn.SetWriteDeadline(expiredDeadline)
	}
	x.mu.Unlock()
	cause = <-x.upload.done
	x.upload.done = nil
	return cause == nil, cause
}

// uploader sends one request whose body arrives by and by.
type uploader struct {
	x         *Exchange
	conn      *conn
	reader    *body.Reader
	meter     transferrate.Meter
	remaining int64 // of the body, or -1
	scratch   []byte
}

func (p *uploader) run() error {
	if err := p.write(p.x.requestBuf.Bytes()); err != nil {
		return err
	}
	for p.remaining != 0 {
		data, err := p.reader.Next()
		switch {
		case err == io.EOF && p.remaining > 0:
			return unsendableBodyError{io.ErrUnexpectedEOF}
		case err == io.EOF:
			if !p.x.upload.tryComplete() {
				return unsendableBodyError{errBodyTooLate}
			}
			p.scratch = http1.AppendLastChunk(p.scratch[:0], p.reader.Trailers())
			return p.write(p.scratch)
		case err != nil:
			return unsendableBodyError{err}
		}
		if p.remaining >= 0 {
			data = data[:min(int64(len(data)), p.remaining)]
			if p.remaining -= int64(len(data)); p.remaining == 0 && !p.x.upload.tryComplete() {
				return unsendableBodyError{errBodyTooLate}
			}
			err = p.write(data)
		} else {
			p.scratch = http1.AppendChunkSize(p.scratch[:0], len(data))
			err = p.write(p.scratch, data, []byte("\r\n"))
		}
		if err != nil {
			return err
		}
		p.reader.Advance(len(data))
	}
	return nil
}

// write writes all, for as long as the endpoint keeps its pace.
func (p *uploader) write(texts ...[]byte) error {
	all := net.Buffers(texts)
	for {
		began := time.Now()
		if !p.x.armUploadDeadline(began.Add(p.meter.MaxWait())) {
			return unsendableBodyError{body.ErrStopped}
		}
		n, err := p.conn.WriteBuffers(&all)
		fast := p.meter.Record(time.Since(began), int(n))
		switch {
		case err == nil:
			return nil
		case !tcpconn.IsDeadlineExceeded(err):
			return err
		case !fast || !time.Now().Before(p.x.currentDeadline()):
			return fmt.Errorf("upload: %w", ErrEndpointTooSlow)
		}
	}
}

// armUploadDeadline sets a time by which a write has to come back, and tells whether the exchange goes on.
func (x *Exchange) armUploadDeadline(by time.Time) bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.cancelCause != nil || x.upload.stopped {
		return false
	}
	if x.deadline.Before(by) {
		by = x.deadline
	}
	x.boundConn.SetWriteDeadline(by)
	return true
}

// currentDeadline is when the exchange's time is up.
func (x *Exchange) currentDeadline() time.Time {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.deadline
}

// ExtendDeadline moves the time by which the exchange has to end. An answer that flows has until its
// caller's time is up, whatever an answer was waited for.
func (x *Exchange) ExtendDeadline(until time.Time) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.deadline = until
}

// responseStream is an answer that is passed on as it comes.
type responseStream struct {
	eligible       bool // by its head
	started        bool // it is had by Next
	ended          bool
	lastPieceBytes int   // bytes of buf that were handed out last
	deliveredBytes int64 // bytes of the body that were handed out
	meter          transferrate.Meter
}

// startStreaming makes an answer that flows ready for Next: what has been read moves to a larger buffer.
func (x *Exchange) startStreaming() {
	buf := x.pool.streamBufs.Get()
	buf.Commit(copy(buf.Reserve(x.readBuf.Len()), x.readBuf.Bytes()))
	x.pool.bufs.Put(x.readBuf)
	x.readBuf = buf
	x.stream.meter = x.pool.cfg.NewRateMeter()
	x.loadReport, x.hasLoadReport = parseLoad(x.head.Value("X-Server-Load"))
}

// ResponseBodyLength is how many bytes an answer that flows will have, -1 if that is not known.
func (x *Exchange) ResponseBodyLength() int64 {
	if x.framing == http1.FixedLength {
		return x.head.ContentLength()
	}
	return -1
}

// NextResponseData waits for more of an answer that flows, and returns it until the next call: io.EOF at its
// end. At any error the exchange is over.
func (x *Exchange) NextResponseData() ([]byte, error) {
	if x.stream.ended {
		return nil, io.EOF
	}
	if p := x.body; len(p) > 0 {
		x.body = nil
		x.stream.deliveredBytes += int64(len(p))
		return p, nil
	}
	x.readBuf.Consume(x.stream.lastPieceBytes)
	x.stream.lastPieceBytes = 0
	for {
		p, end, err := x.nextPiece()
		switch {
		case err != nil:
			return nil, x.failStream(unusableResponseError{err})
		case len(p) > 0:
			x.stream.deliveredBytes += int64(len(p))
			if x.stream.deliveredBytes > x.limits.StreamedBodyBytes {
				return nil, x.failStream(unusableResponseError{errBodyTooLong})
			}
			return p, nil
		case end:
			return nil, x.finishStream()
		}
		if err := x.readMore(); err == io.EOF && x.framing == http1.UntilClose {
			return nil, x.finishStream()
		} else if err != nil {
			return nil, x.failStream(err)
		}
	}
}

// nextPiece takes what is there of the body.
func (x *Exchange) nextPiece() (p []byte, end bool, err error) {
	switch x.framing {
	case http1.FixedLength:
		left := x.head.ContentLength() - x.stream.deliveredBytes
		p = x.readBuf.Bytes()[:min(left, int64(x.readBuf.Len()))]
		x.stream.lastPieceBytes = len(p)
		return p, left == 0, nil
	case http1.Chunked:
		for {
			data, n, err := x.chunkDecoder.Decode(x.readBuf.Bytes())
			if len(data) > 0 || err != nil {
				x.stream.lastPieceBytes = n
				return data, false, err
			}
			x.readBuf.Consume(n)
			if n == 0 || x.chunkDecoder.Done() {
				return nil, x.chunkDecoder.Done(), nil
			}
		}
	}
	x.stream.lastPieceBytes = x.readBuf.Len()
	return x.readBuf.Bytes(), false, nil
}

// readMore reads more of an answer that flows, for as long as the endpoint keeps its pace.
func (x *Exchange) readMore() error {
	for {
		began := time.Now()
		x.mu.Lock()
		if x.cancelCause == nil {
			by := began.Add(x.stream.meter.MaxWait())
			if x.deadline.Before(by) {
				by = x.deadline
			}
			x.boundConn.SetReadDeadline(by)
		}
		x.mu.Unlock()
		had := x.readBuf.Len()
		buf, err := x.conn.ReadInto(x.readBuf)
		x.readBuf = buf
		fast := x.stream.meter.Record(time.Since(began), buf.Len()-had)
		switch {
		case err == nil:
			return nil
		case !tcpconn.IsDeadlineExceeded(err):
			return err
		case !fast || !time.Now().Before(x.currentDeadline()):
			return fmt.Errorf("answer: %w", ErrEndpointTooSlow)
		}
		x.mu.Lock()
		cause := x.cancelCause
		x.mu.Unlock()
		if cause != nil {
			return cause
		}
	}
}

// finishStream takes the end of an answer that flows and came whole.
func (x *Exchange) finishStream() error {
	x.stream.ended = true
	x.releaseConn(x.readBuf.Len() == 0)
	x.result = balance.OK
	return io.EOF
}

// failStream ends an answer that flows and came not whole.
func (x *Exchange) failStream(err error) error {
	x.stream.ended = true
	x.stopUpload() // whose end makes no difference any more: it has run
	x.unbindConn()
	x.conn.Close()
	x.conn = nil
	x.fail(true, err)
	if err == io.EOF { // which is what an answer that came whole ends with
		err = io.ErrUnexpectedEOF
	}
	return err
}

// AbortStream ends an answer that flows, if it has not ended: its caller does not want the rest.
func (x *Exchange) AbortStream() {
	if !x.stream.ended {
		x.Cancel(ErrCanceled)
		x.failStream(ErrCanceled)
	}
}

// ResponseTrailers are those of an answer that flowed, whole lines, once it has ended.
func (x *Exchange) ResponseTrailers() []byte { return x.chunkDecoder.Trailers }
