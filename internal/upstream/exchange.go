package upstream

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"barleydrum.example/barleydrum/balance"
	"barleydrum.example/barleydrum/internal/body"
	"barleydrum.example/barleydrum/internal/http1"
	"barleydrum.example/barleydrum/internal/tcpconn"
)

// Why an exchange was ended from this side.
var (
	ErrCanceled       = errors.New("canceled by the balancer")
	ErrCanceledUnsent = errors.New("the endpoint has left service, or the request has its answer")
)

// maxInterimResponses is the most 1xx answers ahead of one.
const maxInterimResponses = 8

// The states of an exchange's sending.
const (
	sendPending  = iota // for a connection
	sendStarted         // or written
	sendCanceled        // before it began to be written
)

// Exchange is one request to an endpoint and its answer. One goroutine at a time carries it, by
// Ready or Dial and then Run, as Run says, and Next where its answer is passed on as it comes;
// End, Leave, Interrupt and Extend may be called by any. A body that is sent as it arrives has a
// goroutine beside it, which has ended when the exchange is over.
type Exchange struct {
	pool          *Pool
	route         *Route
	deadline      time.Time
	requestBuf    *http1.Buffer // what is still to be written; nil once it has been
	timeoutField  timeoutField  // within out
	startDeadline time.Time     // it must not begin to go out later than this; zero for no such bound
	skipSend      func() bool   // whether whoever asked has gone; nil for who does not go
	conn          *conn         // nil before there is one, and once it is over
	connIsNew     bool          // conn has carried nothing before
	writeStarted  bool          // the request has begun to be written

	mu                 sync.Mutex
	sendState          int
	cancelCause        error              // why it was ended from this side
	cancelDial         context.CancelFunc // while it is
	boundConn          *conn              // that Interrupt and End may touch
	interrupted        bool
	cancelUnsentCalled bool // Leave was called
	upload             upload

	// The answer, as far as it has come.
	head         http1.Response
	readBuf      *http1.Buffer
	limits       ResponseLimits
	interimCount int
	headLen      int // of the final head, once it is whole
	framing      http1.Framing
	chunkDecoder http1.ChunkedDecoder
	headCopy     []byte // the head's, where the body is not kept behind it
	body         []byte
	stream       responseStream // of an answer that is passed on as it comes

	result        balance.Result
	err           error // why there is no usable answer
	loadReport    balance.Load
	hasLoadReport bool
}

// timeoutField is where a request tells the endpoint how long it will be waited for.
type timeoutField struct {
	offset int // offset of the value, 0 for none
	length int // of the value that stands there
}

// AppendRequestFunc appends a request's text, and returns the offset at which the value of its X-Timeout is to
// be put in as it goes out, 0 for none.
type AppendRequestFunc func(b []byte) (text []byte, timeoutAt int)

// Prepare makes an exchange ready to be carried: a request that compose appends, to be sent to a
// route and answered before until. What it held before is dropped.
func (x *Exchange) Prepare(p *Pool, to *Route, until time.Time, compose AppendRequestFunc) {
	x.pool, x.route, x.deadline = p, to, until
	x.sendState, x.cancelCause, x.interrupted, x.cancelUnsentCalled, x.boundConn, x.conn, x.writeStarted = sendPending, nil, false, false, nil, nil, false
	x.interimCount, x.headLen, x.framing, x.headCopy, x.body = 0, 0, http1.NoBody, nil, nil
	x.hasLoadReport, x.err = false, nil
	x.upload, x.stream = upload{}, responseStream{}
	x.limits = p.cfg.ResponseLimits()
	x.head.Limits = http1.DefaultLimits
	x.head.Limits.HeadBytes = x.limits.HeadBytes
	x.head.Reset()
	x.requestBuf = p.bufs.Get()
	x.timeoutField, x.startDeadline, x.skipSend = timeoutField{}, time.Time{}, nil
	x.requestBuf.ResetWith(func(b []byte) []byte {
		b, x.timeoutField.offset = compose(b)
		return b
	})
}

// SetStartDeadline bounds when the exchange may begin to go out. It is called between Begin and the first Run.
func (x *Exchange) SetStartDeadline(t time.Time) { x.startDeadline = t }

// SkipSendIf has the exchange not go out once gone tells that whoever asked has gone. It is asked right before the
// first byte, without a lock. It is called between Begin and the first Run.
func (x *Exchange) SkipSendIf(gone func() bool) { x.skipSend = gone }

// prepareSend tells whether the request may still begin to go out, and tells the endpoint its time.
func (x *Exchange) prepareSend() bool {
	if x.skipSend != nil && x.skipSend() {
		return false
	}
	return x.updateTimeoutField()
}

// updateTimeoutField puts into the request how long the endpoint has from now on, which may be less than when
// the request was composed: a connection may have been waited for. It tells whether the request may still
// go out.
func (x *Exchange) updateTimeoutField() bool {
	now := time.Now()
	left := x.currentDeadline().Sub(now).Microseconds()
	if left <= 0 || !x.startDeadline.IsZero() && !now.Before(x.startDeadline) {
		return false
	}
	if x.timeoutField.offset > 0 {
		value := append(strconv.AppendInt(make([]byte, 0, maxTimeoutValueBytes), left, 10), 'u')
		x.requestBuf.Replace(x.timeoutField.offset, x.timeoutField.length, value)
		x.timeoutField.length = len(value)
	}
	return true
}

// maxTimeoutValueBytes is the longest value of X-Timeout, in bytes.
const maxTimeoutValueBytes = 20

// TakeIdleConn takes a connection that stands idle, and tells whether there was one. It does not wait.
func (x *Exchange) TakeIdleConn() bool {
	x.conn = x.pool.takeIdle(x.route)
	x.connIsNew = false
	return x.conn != nil
}

// Dial opens a connection, and tells whether there is one. If not, the exchange is over.
func (x *Exchange) Dial() bool {
	ctx, cancel := context.WithDeadline(context.Background(), x.deadline)
	defer cancel()
	x.mu.Lock()
	x.cancelDial = cancel
	over := x.sendState == sendCanceled
	x.mu.Unlock()
	var err error
	if over {
		err = ErrCanceledUnsent
	} else {
		x.conn, err = x.pool.dial(ctx, x.route)
	}
	x.mu.Lock()
	x.cancelDial = nil
	x.mu.Unlock()
	x.connIsNew = true
	if err != nil {
		x.fail(false, err)
	}
	return err == nil
}

// Progress is what Run has come to.
type Progress int

// What Run may come to.
const (
	Ended           Progress = iota // the exchange has ended; its connection is back in the pool or closed
	Interrupted                     // it goes on with the next Run
	NeedsConnection                 // the idle connection was none any more: Ready or Dial is to find another
	Streaming                       // the answer has begun, and is had by Next
)

// Run carries the exchange on its connection.
func (x *Exchange) Run() Progress {
	if !x.bindConn() {
		x.pool.put(x.conn)
		x.conn = nil
		x.fail(false, ErrCanceledUnsent)
		return Ended
	}
	if x.requestBuf != nil && !x.writeStarted && !x.prepareSend() {
		x.unbindConn()
		x.pool.put(x.conn) // nothing has been written on it
		x.conn = nil
		x.fail(false, errNoTimeLeft)
		return Ended
	}
	if x.upload.src != nil && !x.writeStarted {
		if !x.conn.ReadWouldBlock() {
			return x.handleStaleConn()
		}
		x.writeStarted = true
		if err := x.startUpload(); err != nil {
			x.unbindConn()
			x.pool.put(x.conn) // nothing has been written on it
			x.conn = nil
			x.fail(false, unsendableBodyError{err})
			return Ended
		}
	}
	if x.requestBuf != nil && !x.writeStarted {
		x.writeStarted = true
		n, stale, buf, err := x.conn.WriteThenRead(x.requestBuf.Bytes())
		if stale {
			return x.handleStaleConn()
		}
		x.readBuf = buf
		x.requestBuf.Consume(n)
		if x.requestBuf.Len() == 0 {
			x.requestWritten()
		}
		if err != nil {
			return x.handleIOError(err)
		}
	}
	for x.requestBuf != nil && x.upload.src == nil {
		x.armWriteDeadline()
		n, err := x.conn.Write(x.requestBuf.Bytes())
		if x.requestBuf.Consume(n); err != nil {
			return x.handleIOError(err)
		}
		x.requestWritten()
	}
	for {
		whole, err := x.parseResponse()
		switch {
		case whole:
			x.completeResponse()
			return Ended
		case err != nil:
			x.closeAndFail(true, unusableResponseError{err})
			return Ended
		case x.stream.started:
			x.startStreaming()
			return Streaming
		}
		if x.readBuf, err = x.conn.ReadInto(x.readBuf); err != nil {
			return x.handleIOError(err)
		}
	}
}

// handleIOError takes the end of a read or write: an interrupt, the end of a body that ends so, or a
// failure. What has not been written whole has not run.
func (x *Exchange) handleIOError(err error) Progress {
	switch {
	case x.wasInterrupted():
		return Interrupted
	case err == io.EOF && x.headLen > 0 && x.framing == http1.UntilClose:
		x.completeResponse()
	default:
		x.closeAndFail(x.requestBuf == nil || x.upload.src != nil, err)
	}
	return Ended
}

// handleStaleConn ends a run on a connection on which something had come, or its end, before a byte of the
// request was written.
func (x *Exchange) handleStaleConn() Progress {
	if x.connIsNew { // what comes ahead of the request is no answer to it
		x.closeAndFail(false, errDataBeforeRequest)
		return Ended
	}
	x.dropStaleConn()
	return NeedsConnection
}

// requestWritten notes that the last byte has been written.
func (x *Exchange) requestWritten() {
	x.pool.bufs.Put(x.requestBuf)
	x.requestBuf = nil
}

// dropStaleConn gives a connection up, for another to be found.
func (x *Exchange) dropStaleConn() {
	x.mu.Lock()
	x.boundConn, x.writeStarted = nil, false
	x.sendState = sendPending
	if x.cancelUnsentCalled || x.cancelCause != nil { // meanwhile
		x.cancel(ErrCanceledUnsent)
	}
	x.mu.Unlock()
	x.conn.Close()
	x.conn = nil
}

// bindConn makes the connection the exchange's, unless it has been barred or ended. It is what a
// request has to pass before its first byte goes out.
func (x *Exchange) bindConn() bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.sendState == sendCanceled {
		return false
	}
	x.sendState, x.boundConn, x.interrupted = sendStarted, x.conn, false
	if x.cancelCause == nil {
		x.conn.SetReadDeadline(x.deadline)
	}
	return true
}

// armWriteDeadline bounds the writing of a request that can't be written at once.
func (x *Exchange) armWriteDeadline() {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.cancelCause == nil && !x.interrupted {
		x.conn.SetWriteDeadline(x.deadline)
	}
}

// expiredDeadline is a deadline that has passed.
var expiredDeadline = time.Unix(1, 0)

// Interrupt has Run return soon, to be called again by another goroutine. The request must have
// begun to go out, or been barred.
func (x *Exchange) Interrupt() {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.boundConn != nil {
		x.interrupted = true
		x.boundConn.SetDeadline(expiredDeadline)
	}
}

// wasInterrupted tells whether a read or write has ended for an Interrupt.
func (x *Exchange) wasInterrupted() bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.interrupted && x.cancelCause == nil && time.Now().Before(x.deadline)
}

// Cancel withdraws an exchange. If it has not begun to go out, it never will.
func (x *Exchange) Cancel(cause error) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.cancel(cause)
}

// CancelUnsent ends an exchange that has not begun to go out; another goes on.
func (x *Exchange) CancelUnsent() {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.cancelUnsentCalled = true
	if x.sendState == sendPending {
		x.cancel(ErrCanceledUnsent)
	}
}

func (x *Exchange) cancel(cause error) {
	if x.cancelCause == nil {
		x.cancelCause = cause
	}
	if x.sendState == sendPending {
		x.sendState = sendCanceled
	}
	if x.cancelDial != nil {
		x.cancelDial()
	}
	if x.boundConn != nil {
		x.boundConn.SetDeadline(expiredDeadline)
	}
	if x.upload.reader != nil {
		x.upload.reader.Stop()
	}
}

// unbindConn takes the connection from those that may touch it.
func (x *Exchange) unbindConn() (ended error) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.boundConn = nil
	return x.cancelCause
}

// closeAndFail ends an exchange that has no usable answer.
func (x *Exchange) closeAndFail(sent bool, err error) {
	whole, cause := x.stopUpload()
	x.unbindConn()
	x.conn.Close()
	x.conn = nil
	if !whole {
		// What broke is told by the upload, unless that was only ended here, for the endpoint's end.
		if errors.Is(cause, body.ErrStopped) && !isTimeout(err) {
			cause = err
		}
		sent, err = errors.As(err, new(unusableResponseError)), cause
	}
	x.fail(sent, err)
}

// fail sets the result of an exchange without a usable answer. What was sent whole may have run.
func (x *Exchange) fail(sent bool, err error) {
	x.mu.Lock()
	cause := x.cancelCause
	x.mu.Unlock()
	x.err = errors.Join(cause, err)
	switch {
	case cause == ErrCanceled:
		x.result = balance.Canceled
	case !sent && (cause == ErrCanceledUnsent || errors.Is(err, errNoSlot) || errors.Is(err, errNoTimeLeft) || errors.As(err, new(unsendableBodyError))): // through no fault of the endpoint
		x.result = balance.NotSent
	case !sent:
		x.result = balance.ConnectFailed
	case errors.As(err, new(unusableResponseError)):
		x.result = balance.Error
	case cause != nil, isTimeout(err):
		x.result = balance.Timeout
	default:
		x.result = balance.Reset
	}
	x.releaseBuffers()
}

// isTimeout tells whether an endpoint was waited for in vain.
func isTimeout(err error) bool {
	return tcpconn.IsDeadlineExceeded(err) || errors.Is(err, ErrEndpointTooSlow)
}

// releaseBuffers gives the buffers back.
func (x *Exchange) releaseBuffers() {
	if x.requestBuf != nil {
		x.pool.bufs.Put(x.requestBuf)
		x.requestBuf = nil
	}
	if x.readBuf != nil {
		x.responseBufs().Put(x.readBuf)
		x.readBuf = nil
	}
	x.body = nil
}

// responseBufs are those that the answer's buffer is of.
func (x *Exchange) responseBufs() *http1.BufferPool {
	if x.stream.started {
		return &x.pool.streamBufs
	}
	return &x.pool.bufs
}

// unusableResponseError is the fault of an answer that came and can't be used. The request has run.
type unusableResponseError struct{ error }

func (s unusableResponseError) Unwrap() error { return s.error }

var errNoTimeLeft = errors.New("no time was left for the request as it was to go out")

var errDataBeforeRequest = errors.New("the endpoint spoke, or closed, before the request was sent")

var errBodyTooLong = errors.New("body too long")

// parseResponse takes what has come of the answer, and tells whether it is whole.
func (x *Exchange) parseResponse() (whole bool, err error) {
	if x.readBuf == nil {
		return false, nil
	}
	for x.headLen == 0 {
		n, err := x.head.Parse(x.readBuf.Bytes())
		if n == 0 || err != nil {
			return false, err
		}
		if x.head.IsInterim() {
			if x.interimCount++; x.interimCount > maxInterimResponses {
				return false, http1.ErrTooManyInterimResponses
			}
			x.readBuf.Consume(n)
			x.head.Limits.HeadBytes -= n
			x.head.Reset()
			continue
		}
		if x.head.Status() == http.StatusSwitchingProtocols {
			return false, http1.ErrUnexpectedUpgrade
		}
		if x.framing, err = x.head.Framing(false); err != nil {
			return false, err
		}
		long := x.framing == http1.FixedLength && x.head.ContentLength() > x.limits.BufferedBodyBytes
		x.stream.eligible = x.head.Status() == http.StatusOK && (long || x.limits.StreamUnknownLength && x.framing != http1.FixedLength && x.framing != http1.NoBody)
		if length := x.head.ContentLength(); long && (!x.stream.eligible || length > x.limits.StreamedBodyBytes) {
			return false, fmt.Errorf("%w: %d bytes", errBodyTooLong, length)
		}
		x.headLen = n
		if long || x.framing == http1.Chunked || x.framing == http1.UntilClose {
			// It is not to be had in one piece: the head is kept apart, and the body grows by itself.
			x.headCopy = append([]byte(nil), x.readBuf.Bytes()[:n]...)
			x.head.Rebase(x.headCopy)
			x.readBuf.Consume(n)
			x.chunkDecoder = http1.ChunkedDecoder{Limits: http1.DefaultLimits, KeepTrailers: x.stream.eligible}
		}
	}
	switch x.framing {
	case http1.FixedLength:
		if x.stream.eligible {
			x.stream.started = int64(x.readBuf.Len()) >= min(x.limits.PrefetchBytes, x.head.ContentLength())
			return false, nil
		}
		return int64(x.readBuf.Len()-x.headLen) >= x.head.ContentLength(), nil
	case http1.Chunked:
		for {
			data, n, err := x.chunkDecoder.Decode(x.readBuf.Bytes())
			x.body = append(x.body, data...)
			x.readBuf.Consume(n)
			switch {
			case err != nil:
				return false, err
			case x.chunkDecoder.Done():
				return true, nil
			case x.stream.eligible && n == 0 && int64(len(x.body)) >= x.limits.PrefetchBytes && len(x.body) > 0:
				x.stream.started = true
				return false, nil
			case !x.stream.eligible && int64(len(x.body)) > x.limits.BufferedBodyBytes:
				return false, errBodyTooLong
			case n == 0:
				return false, nil
			}
		}
	case http1.UntilClose:
		x.body = append(x.body, x.readBuf.Bytes()...)
		x.readBuf.Reset()
		x.stream.started = x.stream.eligible && int64(len(x.body)) >= x.limits.PrefetchBytes && len(x.body) > 0
		if !x.stream.eligible && int64(len(x.body)) > x.limits.BufferedBodyBytes {
			return false, errBodyTooLong
		}
		return false, nil
	}
	return true, nil
}

// completeResponse takes an answer that is whole. Its connection may be used again if the answer does
// not end it and nothing has come behind.
func (x *Exchange) completeResponse() {
	rest := x.readBuf.Len()
	switch x.framing {
	case http1.NoBody:
		rest -= x.headLen
		x.head.Rebase(x.readBuf.Bytes())
	case http1.FixedLength:
		text := x.readBuf.Bytes()
		x.head.Rebase(text)
		whole := x.headLen + int(x.head.ContentLength())
		x.body = text[x.headLen:whole]
		rest -= whole
	}
	x.releaseConn(rest == 0)
	x.loadReport, x.hasLoadReport = parseLoad(x.head.Value("X-Server-Load"))
	x.result = balance.Error
	switch x.head.Status() {
	case http.StatusOK:
		x.result = balance.OK
	case http.StatusServiceUnavailable, http.StatusGatewayTimeout:
		if string(x.head.Value("X-Not-Processed")) == "1" {
			x.result = balance.Rejected
		}
	}
	if x.result != balance.OK {
		x.releaseBuffers()
	}
}

// releaseConn gives the connection back that an answer has come whole on, if it is fit for another:
// clean tells that nothing has come behind.
func (x *Exchange) releaseConn(clean bool) {
	whole, _ := x.stopUpload()
	if ended := x.unbindConn(); ended == nil && whole && clean && !x.head.ClosesConnection() && x.framing != http1.UntilClose {
		x.pool.put(x.conn)
	} else {
		x.conn.Close()
	}
	x.conn = nil
}

// Result is how an exchange that is over has ended.
func (x *Exchange) Result() balance.Result { return x.result }

// Err is why an exchange that is over has no usable answer, nil where an endpoint has answered.
func (x *Exchange) Err() error { return x.err }

// LoadReport is the load report that came with the answer, nil for none.
func (x *Exchange) LoadReport() *balance.Load {
	if !x.hasLoadReport {
		return nil
	}
	return &x.loadReport
}

// ResponseHead is the head of an answer whose result is OK, until Done.
func (x *Exchange) ResponseHead() *http1.Response { return &x.head }

// ResponseBody is its body, until Done.
func (x *Exchange) ResponseBody() []byte { return x.body }

// Release gives back what an answer is held in.
func (x *Exchange) Release() { x.releaseBuffers() }

// ConnectAndRun carries an exchange to its end, on whatever connection there is, or until its answer
// flows, which it tells. It waits for a connection to come up if it must, and goes on through
// interrupts.
func (x *Exchange) ConnectAndRun() (flowing bool) {
	for x.TakeIdleConn() || x.Dial() {
		p := x.Run()
		for p == Interrupted {
			p = x.Run()
		}
		if p != NeedsConnection {
			return p == Streaming
		}
	}
	return false
}

// Probe asks a route for its load, or where there are no reports whether it is well.
func (p *Pool) Probe(to *Route, path string, within time.Duration) (balance.Result, *balance.Load) {
	x := new(Exchange)
	x.Prepare(p, to, time.Now().Add(within), func(b []byte) ([]byte, int) {
		b = http1.AppendRequestLine(b, []byte(http.MethodGet), []byte(path))
		return http1.AppendHeadEnd(http1.AppendField(b, "Host", to.Addr)), 0
	})
	x.ConnectAndRun()
	defer x.Release()
	load := x.LoadReport()
	if x.result == balance.OK && load == nil {
		if l, ok := parseLoad(x.body); ok {
			load = &l
		}
	}
	return x.result, load
}
