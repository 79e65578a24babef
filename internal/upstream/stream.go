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

// streamBufferBytes is the size of the buffers into which streamed responses are read.
const streamBufferBytes = body.BlockSize

// earlyResponseWait is how long to wait for the response of an endpoint that has stopped accepting the
// request body. An endpoint that rejects a body responds and closes the connection.
const earlyResponseWait = 200 * time.Millisecond

// ErrEndpointTooSlow reports that an endpoint received or sent a streamed body below the minimum transfer
// rate, or that the exchange's deadline passed while it did.
var ErrEndpointTooSlow = errors.New("the endpoint is slow")

// errBodyTooLate reports that the request body would be complete at the endpoint after the time limit for that:
// the endpoint might no longer drop the request as a repeat, and run it a second time.
var errBodyTooLate = errors.New("the body arrived too late: the endpoint might no longer drop the request as a repeat")

// unsendableBodyError reports that a request body can't be sent. It is not the endpoint's fault.
type unsendableBodyError struct{ error }

func (e unsendableBodyError) Unwrap() error { return e.error }

// upload is a streamed request body: one that is sent as it arrives. The zero value is no upload.
type upload struct {
	src           *body.Body
	contentLength int64       // in bytes; -1 for a chunked body
	tryComplete   func() bool // reports whether the last byte may be sent now
	result        chan error  // receives the result once; nil before startUpload and after stopUpload

	// Guarded by Exchange.mu.
	reader  *body.Reader // of src; nil while no goroutine sends the body
	failed  error        // why the body was not sent; nil if it was, or may be yet
	replyBy time.Time    // when the response must be complete after the upload failed
	stopped bool         // no more of the body must be written
	sentAt  time.Time    // when the last byte was written; zero before
}

// SetStreamedBody sets a body that is sent after the head of the request, as it arrives: contentLength bytes,
// or a chunked body if contentLength is -1. The goroutine that sends the body calls tryComplete, with no lock
// held, before it writes what completes the request at the endpoint and so lets it run. If tryComplete returns
// false, the request remains incomplete. Callers must call SetStreamedBody between Prepare and the first Run.
func (x *Exchange) SetStreamedBody(src *body.Body, contentLength int64, tryComplete func() bool) {
	x.upload = upload{src: src, contentLength: contentLength, tryComplete: tryComplete}
}

// BodySentAt returns when the last byte of a streamed request body was written, the zero time if it has not
// been. The time that the endpoint takes for the request starts then.
func (x *Exchange) BodySentAt() time.Time {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.upload.sentAt
}

// startUpload starts the goroutine that sends the request and its streamed body. It fails if the body can't be
// read from its start.
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
	x.upload.result = make(chan error, 1)
	u := &uploader{exchange: x, conn: x.conn, reader: r, meter: x.pool.cfg.NewRateMeter(), remaining: x.upload.contentLength}
	go func() {
		err := u.run()
		r.Close()
		x.recordUploadEnd(err)
		x.upload.result <- err
	}()
	return nil
}

// recordUploadEnd records the result of an upload. If the request can't be completed any more, it shortens
// the time for which Run waits for the response: to zero if the body can't be sent, to earlyResponseWait if
// writing to the endpoint failed. If the exchange was canceled, the deadline has already been set.
func (x *Exchange) recordUploadEnd(err error) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.upload.reader = nil
	switch {
	case err == nil:
		x.upload.sentAt = time.Now()
	case x.boundConn == nil || x.cancelCause != nil:
	case errors.As(err, new(unsendableBodyError)):
		x.upload.failed, x.upload.replyBy = err, expiredDeadline
		x.boundConn.SetReadDeadline(x.upload.replyBy)
	default:
		x.upload.failed, x.upload.replyBy = err, time.Now().Add(earlyResponseWait)
		x.boundConn.SetReadDeadline(x.upload.replyBy)
	}
}

// stopUpload stops the upload, if there is one, and waits until its goroutine is done. It reports whether the
// request was completely sent, and if not, why.
func (x *Exchange) stopUpload() (complete bool, err error) {
	if x.upload.result == nil {
		return true, nil
	}
	x.mu.Lock()
	x.upload.stopped = true
	if r := x.upload.reader; r != nil {
		r.Stop()
		x.conn.SetWriteDeadline(expiredDeadline)
	}
	x.mu.Unlock()
	err = <-x.upload.result
	x.upload.result = nil
	return err == nil, err
}

// uploader sends one request whose body is still arriving. It is used by a single goroutine.
type uploader struct {
	exchange  *Exchange
	conn      *conn
	reader    *body.Reader
	meter     transferrate.Meter
	remaining int64  // bytes of the body that are not yet sent; -1 for a chunked body
	scratch   []byte // holds a chunk's size line, or the last chunk with the trailers
}

// run sends the request and its body. Its error is an unsendableBodyError if the body can't be sent, else the
// connection's, or ErrEndpointTooSlow.
func (u *uploader) run() error {
	if err := u.write(u.exchange.requestBuf.Bytes()); err != nil {
		return err
	}
	for u.remaining != 0 {
		data, err := u.reader.Next()
		switch {
		case err == io.EOF && u.remaining > 0:
			return unsendableBodyError{io.ErrUnexpectedEOF}
		case err == io.EOF:
			if !u.exchange.upload.tryComplete() {
				return unsendableBodyError{errBodyTooLate}
			}
			u.scratch = http1.AppendLastChunk(u.scratch[:0], u.reader.Trailers())
			return u.write(u.scratch)
		case err != nil:
			return unsendableBodyError{err}
		}
		if u.remaining >= 0 {
			data = data[:min(int64(len(data)), u.remaining)]
			if u.remaining -= int64(len(data)); u.remaining == 0 && !u.exchange.upload.tryComplete() {
				return unsendableBodyError{errBodyTooLate}
			}
			err = u.write(data)
		} else {
			u.scratch = http1.AppendChunkSize(u.scratch[:0], len(data))
			err = u.write(u.scratch, data, []byte("\r\n"))
		}
		if err != nil {
			return err
		}
		u.reader.Advance(len(data))
	}
	return nil
}

// write writes all parts, as long as the endpoint accepts them at the minimum transfer rate and the exchange's
// deadline has not passed.
func (u *uploader) write(parts ...[]byte) error {
	unwritten := net.Buffers(parts)
	for {
		startedAt := time.Now()
		if !u.exchange.armUploadDeadline(startedAt.Add(u.meter.MaxWait())) {
			return unsendableBodyError{body.ErrStopped}
		}
		n, err := u.conn.WriteBuffers(&unwritten)
		fastEnough := u.meter.Record(time.Since(startedAt), int(n))
		switch {
		case err == nil:
			return nil
		case !tcpconn.IsDeadlineExceeded(err):
			return err
		case !fastEnough || !time.Now().Before(u.exchange.currentDeadline()):
			return fmt.Errorf("upload: %w", ErrEndpointTooSlow)
		}
	}
}

// armUploadDeadline sets the deadline of the upload's next write: the given one, or the exchange's if that is
// earlier. It returns false if the exchange was canceled or the upload was stopped.
func (x *Exchange) armUploadDeadline(deadline time.Time) bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.cancelCause != nil || x.upload.stopped {
		return false
	}
	if x.deadline.Before(deadline) {
		deadline = x.deadline
	}
	x.boundConn.SetWriteDeadline(deadline)
	return true
}

// currentDeadline returns the exchange's deadline. It locks x.mu, since ExtendDeadline may be called at any time.
func (x *Exchange) currentDeadline() time.Time {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.deadline
}

// ExtendDeadline changes the time when the exchange must have ended. A streamed response may take until its
// caller's deadline, whatever the deadline for its start was.
func (x *Exchange) ExtendDeadline(deadline time.Time) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.deadline = deadline
}

// responseStream is the state of a response that may be streamed: passed on as it arrives.
type responseStream struct {
	eligible       bool  // the head permits streaming
	started        bool  // the body is read by NextResponseData
	ended          bool  // the exchange has ended, with the response complete or not
	lastPieceBytes int   // bytes of readBuf that the last result of NextResponseData takes up, framing included
	deliveredBytes int64 // bytes of the body that NextResponseData has returned
	meter          transferrate.Meter
}

// startStreaming prepares a streamed response for NextResponseData: it moves what has been read to a larger
// buffer.
func (x *Exchange) startStreaming() {
	buf := x.pool.streamBufs.Get()
	buf.Commit(copy(buf.Reserve(x.readBuf.Len()), x.readBuf.Bytes()))
	x.pool.bufs.Put(x.readBuf)
	x.readBuf = buf
	x.stream.meter = x.pool.cfg.NewRateMeter()
	x.loadReport, x.hasLoadReport = parseLoad(x.head.Value("X-Server-Load"))
}

// ResponseBodyLength returns how many bytes the body of a streamed response will have, -1 if that is not known.
func (x *Exchange) ResponseBodyLength() int64 {
	if x.framing == http1.FixedLength {
		return x.head.ContentLength()
	}
	return -1
}

// NextResponseData waits for more of the body of a streamed response and returns it, io.EOF at the end of the
// body. The data is valid until the next call. At any error, io.EOF included, the exchange has ended. Only the
// goroutine that runs the exchange may call it.
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

// nextPiece returns data of the body that has been received and not yet returned. If there is none, end reports
// whether the body is complete. It does not read from the connection.
func (x *Exchange) nextPiece() (piece []byte, end bool, err error) {
	switch x.framing {
	case http1.FixedLength:
		remaining := x.head.ContentLength() - x.stream.deliveredBytes
		piece = x.readBuf.Bytes()[:min(remaining, int64(x.readBuf.Len()))]
		x.stream.lastPieceBytes = len(piece)
		return piece, remaining == 0, nil
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

// readMore reads more of a streamed response, as long as the endpoint sends it at the minimum transfer rate and
// the exchange's deadline has not passed.
func (x *Exchange) readMore() error {
	for {
		startedAt := time.Now()
		x.mu.Lock()
		if x.cancelCause == nil {
			deadline := startedAt.Add(x.stream.meter.MaxWait())
			if x.deadline.Before(deadline) {
				deadline = x.deadline
			}
			if x.upload.failed != nil && x.upload.replyBy.Before(deadline) {
				deadline = x.upload.replyBy
			}
			x.boundConn.SetReadDeadline(deadline)
		}
		x.mu.Unlock()
		lenBefore := x.readBuf.Len()
		err := x.readResponse()
		fastEnough := x.stream.meter.Record(time.Since(startedAt), x.readBuf.Len()-lenBefore)
		switch {
		case err == nil:
			return nil
		case !tcpconn.IsDeadlineExceeded(err):
			return err
		case !fastEnough || !time.Now().Before(x.currentDeadline()):
			return fmt.Errorf("response: %w", ErrEndpointTooSlow)
		}
		x.mu.Lock()
		cause, uploadErr, replyBy := x.cancelCause, x.upload.failed, x.upload.replyBy
		x.mu.Unlock()
		if cause != nil {
			return cause
		}
		if uploadErr != nil && !time.Now().Before(replyBy) {
			return uploadErr
		}
	}
}

// finishStream ends an exchange whose streamed response is complete.
func (x *Exchange) finishStream() error {
	x.stream.ended = true
	x.releaseConn(x.readBuf.Len() == 0)
	x.result = balance.OK
	return io.EOF
}

// failStream ends an exchange whose streamed response is incomplete. It returns the error for the caller of
// NextResponseData.
func (x *Exchange) failStream(err error) error {
	x.stream.ended = true
	if !tcpconn.IsDeadlineExceeded(err) && !errors.As(err, new(unusableResponseError)) {
		x.pool.recordBreak(x.route)
	}
	x.stopUpload() // its result makes no difference any more: the request has run
	x.unbindConn()
	x.conn.Close()
	x.conn = nil
	x.fail(true, err)
	if err == io.EOF { // io.EOF would mean that the response is complete
		err = io.ErrUnexpectedEOF
	}
	return err
}

// AbortStream ends a streamed response, if it has not ended, when its caller does not need the rest. Only the
// goroutine that runs the exchange may call it.
func (x *Exchange) AbortStream() {
	if !x.stream.ended {
		x.Cancel(ErrCanceled)
		x.failStream(ErrCanceled)
	}
}

// ResponseTrailers returns the trailers of a streamed response that has ended, as complete lines.
func (x *Exchange) ResponseTrailers() []byte { return x.chunkDecoder.Trailers }
