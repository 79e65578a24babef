package upstream

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"barleydrum.example/barleydrum/balance"
	"barleydrum.example/barleydrum/internal/body"
	"barleydrum.example/barleydrum/internal/http1"
	"barleydrum.example/barleydrum/internal/memory"
	"barleydrum.example/barleydrum/internal/tcpconn"
)

// The causes for which this side cancels an exchange.
var (
	ErrCanceled       = errors.New("canceled by the balancer")
	ErrCanceledUnsent = errors.New("the endpoint has left service, or the request already has a response")
	ErrNoMemory       = errors.New("no memory is left for the request")
)

// maxInterimResponses is the maximum number of interim (1xx) responses before a final one.
const maxInterimResponses = 8

// The values of Exchange.sendState.
const (
	sendPending  = iota // the request is not bound to a connection yet
	sendStarted         // the request is bound to a connection and may have been written, in part or completely
	sendCanceled        // the exchange was canceled before the first byte of the request was written
)

// Exchange is one request to an endpoint and its response.
//
// One goroutine at a time runs the exchange: it calls TakeIdleConn or Dial and then Run, continues as
// the Progress returned by Run requires, and calls NextResponseData if the response is streamed. Any
// goroutine may call Cancel, CancelUnsent, Interrupt and ExtendDeadline. A streamed request body is
// sent by a goroutine of its own, which has ended when the exchange has ended.
type Exchange struct {
	pool          *Pool
	route         *Route
	deadline      time.Time     // when the exchange must have ended; ExtendDeadline changes it under mu
	requestBuf    *http1.Buffer // the part of the request that is not yet written; nil once all is written
	timeoutField  timeoutField  // in requestBuf
	startDeadline time.Time     // the request must not start to be sent at or after this time; zero for no limit
	skipSend      func() bool   // reports whether the caller has disconnected; nil if the caller can't disconnect

	// allowSend reports whether the request may be sent, given whether it is known which process receives it; nil if it
	// may in any case.
	allowSend func(processKnown bool) bool

	conn         *conn // nil before the exchange has a connection, and after it has ended
	connIsNew    bool  // no exchange has used conn before
	writeStarted bool  // the request has started to be written

	// mu guards the fields of this group. In upload it guards only those that upload lists.
	mu                 sync.Mutex
	sendState          int
	cancelCause        error              // why this side canceled the exchange; nil if it did not
	cancelDial         context.CancelFunc // cancels Dial; nil while Dial is not running
	boundConn          *conn              // the connection on which Interrupt and Cancel may set deadlines
	interrupted        bool               // Interrupt was called during the current Run
	cancelUnsentCalled bool
	upload             upload

	// The response, as far as it has been received.
	head         http1.Response
	readBuf      *http1.Buffer
	limits       ResponseLimits
	interimCount int // interim responses received
	headLen      int // bytes of the final head; 0 until it is complete
	framing      http1.Framing
	chunkDecoder http1.ChunkedDecoder
	headBuf      *http1.Buffer // the bytes of the head, if the body does not follow it in readBuf; nil otherwise
	bodyBuf      *http1.Buffer // the body, if it does not follow its head in readBuf; nil otherwise
	body         []byte
	stream       responseStream

	result        balance.Result
	err           error // why there is no usable response
	loadReport    balance.Load
	hasLoadReport bool
}

// timeoutField locates the value of the request's X-Timeout field, the time that this side waits for
// the endpoint.
type timeoutField struct {
	offset int // of the value, in bytes; 0 if the request has no such field
	length int // of the current value, in bytes
}

// AppendRequestFunc appends the text of a request. It returns the extended slice and the offset at which the
// value of X-Timeout must be inserted when the request is sent, 0 for a request without that field.
type AppendRequestFunc func(b []byte) (text []byte, timeoutOffset int)

// Prepare initializes an exchange that sends the request that appendRequest appends to a route and
// waits for its response until the deadline. It discards the state of an earlier exchange.
func (x *Exchange) Prepare(pool *Pool, route *Route, deadline time.Time, appendRequest AppendRequestFunc) {
	x.pool, x.route, x.deadline = pool, route, deadline
	x.sendState, x.cancelCause, x.interrupted, x.cancelUnsentCalled, x.boundConn, x.conn, x.writeStarted = sendPending, nil, false, false, nil, nil, false
	x.interimCount, x.headLen, x.framing, x.body = 0, 0, http1.NoBody, nil
	x.hasLoadReport, x.err = false, nil
	x.upload, x.stream = upload{}, responseStream{}
	x.limits = pool.cfg.ResponseLimits()
	x.head.Limits = http1.DefaultLimits
	x.head.Limits.HeadBytes = x.limits.HeadBytes
	x.head.Reset()
	x.requestBuf = pool.requestBufs.Get()
	x.timeoutField, x.startDeadline, x.skipSend, x.allowSend = timeoutField{}, time.Time{}, nil, nil
	x.requestBuf.ResetWith(func(b []byte) []byte {
		b, x.timeoutField.offset = appendRequest(b)
		return b
	})
}

// SetStartDeadline sets the time from which on the request must not start to be sent. Callers must call it
// between Prepare and the first Run.
func (x *Exchange) SetStartDeadline(t time.Time) { x.startDeadline = t }

// SkipSendIf sets a function that reports whether the caller has disconnected. It is called right before the
// first byte of the request is written, with no lock held; if it returns true, the request is not sent. Callers
// must call SkipSendIf between Prepare and the first Run.
func (x *Exchange) SkipSendIf(disconnected func() bool) { x.skipSend = disconnected }

// AllowSendIf sets a function that decides whether the request may be sent on its connection. processKnown states
// whether the connection leads to the process that the lists of endpoints name for the route; otherwise another process
// may have taken over its address. It is called like the function of SkipSendIf, and must be set like that.
func (x *Exchange) AllowSendIf(allow func(processKnown bool) bool) { x.allowSend = allow }

// prepareSend returns nil if the request may still start to be sent, otherwise why it may not. It updates X-Timeout.
func (x *Exchange) prepareSend() error {
	switch {
	case x.skipSend != nil && x.skipSend(), !x.updateTimeoutField():
		return errNoTimeLeft
	case x.allowSend != nil && !x.allowSend(x.pool.processKnown(x.conn)):
		return errProcessUnknown
	}
	return nil
}

// updateTimeoutField sets X-Timeout to the time left until the deadline, in microseconds. That may be less
// than when the request was composed, since the exchange may have waited for a connection. It reports whether
// the request may still start to be sent: time is left, and the start deadline has not passed.
func (x *Exchange) updateTimeoutField() bool {
	now := time.Now()
	leftMicros := x.currentDeadline().Sub(now).Microseconds()
	if leftMicros <= 0 || !x.startDeadline.IsZero() && !now.Before(x.startDeadline) {
		return false
	}
	if x.timeoutField.offset > 0 {
		value := append(strconv.AppendInt(make([]byte, 0, maxTimeoutValueBytes), leftMicros, 10), 'u')
		x.requestBuf.Replace(x.timeoutField.offset, x.timeoutField.length, value)
		x.timeoutField.length = len(value)
	}
	return true
}

// maxTimeoutValueBytes is the length of the longest value of X-Timeout.
const maxTimeoutValueBytes = 20

// TakeIdleConn takes an idle connection to the route from the pool and reports whether there was one. It does
// not wait.
func (x *Exchange) TakeIdleConn() bool {
	x.conn = x.pool.takeIdle(x.route)
	x.connIsNew = false
	return x.conn != nil
}

// Dial opens a connection and reports whether it succeeded. If it can't be opened, an idle connection is used that has
// not rested, if there is one. Otherwise the exchange has ended.
func (x *Exchange) Dial() bool {
	ctx, cancel := context.WithDeadline(context.Background(), x.deadline)
	defer cancel()
	x.mu.Lock()
	x.cancelDial = cancel
	canceled := x.sendState == sendCanceled
	x.mu.Unlock()
	var err error
	if canceled {
		err = ErrCanceledUnsent
	} else {
		x.conn, err = x.pool.dial(ctx, x.route)
	}
	x.mu.Lock()
	x.cancelDial = nil
	x.mu.Unlock()
	x.connIsNew = true
	if err != nil && !errors.Is(err, ErrCanceledUnsent) && !errors.Is(err, context.Canceled) {
		if x.conn = x.pool.takeRestingIdle(x.route); x.conn != nil {
			x.connIsNew = false
			return true
		}
	}
	if err != nil {
		x.fail(false, err)
	}
	return err == nil
}

// Progress is the reason why Run returned.
type Progress int

// The results of Run.
const (
	Ended           Progress = iota // the exchange has ended; its connection is back in the pool or closed
	Interrupted                     // Interrupt was called; the next Run continues
	NeedsConnection                 // the idle connection was stale; callers must call TakeIdleConn or Dial, and Run again
	Streaming                       // the response has started; callers must call NextResponseData to read its body
)

// Run sends the request on the connection that TakeIdleConn or Dial obtained and receives the response. After
// Interrupted it continues on the same connection, in whichever goroutine calls it.
func (x *Exchange) Run() Progress {
	if !x.bindConn() {
		x.pool.put(x.conn)
		x.conn = nil
		x.fail(false, ErrCanceledUnsent)
		return Ended
	}
	if x.requestBuf != nil && !x.writeStarted {
		if err := x.prepareSend(); err != nil {
			x.unbindConn()
			x.pool.put(x.conn) // nothing has been written to it
			x.conn = nil
			x.fail(false, err)
			return Ended
		}
	}
	if x.upload.src != nil && !x.writeStarted {
		if !x.conn.ReadWouldBlock() {
			return x.handleStaleConn()
		}
		x.writeStarted = true
		if err := x.startUpload(); err != nil {
			x.unbindConn()
			x.pool.put(x.conn) // nothing has been written to it
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
		if err != nil && !errors.Is(err, memory.ErrExhausted) { // readResponse waits for memory
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
		complete, err := x.parseResponse()
		switch {
		case complete:
			x.completeResponse()
			return Ended
		case err != nil:
			x.closeAndFail(true, unusableResponseError{err})
			return Ended
		case x.stream.started:
			x.startStreaming()
			return Streaming
		}
		if err = x.readResponse(); err != nil {
			return x.handleIOError(err)
		}
	}
}

// readResponse reads more of the response. If the account has no room for it, it waits for a while.
func (x *Exchange) readResponse() error {
	return memory.Retry(func() (err error) {
		x.readBuf, err = x.conn.ReadInto(x.readBuf)
		return err
	}, nil)
}

// handleIOError handles an error of a read or write: an interrupt, the end of a body that extends to the
// close of the connection, a lack of memory for the response, or a failure. A request that was not completely written has not run.
func (x *Exchange) handleIOError(err error) Progress {
	switch {
	case x.wasInterrupted():
		return Interrupted
	case err == io.EOF && x.headLen > 0 && x.framing == http1.UntilClose:
		x.completeResponse()
	case errors.Is(err, memory.ErrExhausted):
		x.closeAndFail(true, unusableResponseError{err})
	default:
		if !tcpconn.IsDeadlineExceeded(err) {
			x.pool.recordBreak(x.route)
		}
		x.closeAndFail(x.requestBuf == nil || x.upload.src != nil, err)
	}
	return Ended
}

// handleStaleConn ends a Run whose connection had data to read, or was closed by the endpoint, before a
// byte of the request was written.
func (x *Exchange) handleStaleConn() Progress {
	if x.conn.PeerDisconnected() {
		x.pool.recordBreak(x.route)
	}
	if x.connIsNew { // data that arrived before the request was sent is no response to it
		x.closeAndFail(false, errDataBeforeRequest)
		return Ended
	}
	x.dropStaleConn()
	return NeedsConnection
}

// requestWritten records that the last byte of the request has been written.
func (x *Exchange) requestWritten() {
	x.pool.requestBufs.Put(x.requestBuf)
	x.requestBuf = nil
}

// dropStaleConn closes the connection, so that the exchange can use another one.
func (x *Exchange) dropStaleConn() {
	x.mu.Lock()
	x.boundConn, x.writeStarted = nil, false
	x.sendState = sendPending
	if x.cancelUnsentCalled || x.cancelCause != nil { // since bindConn
		x.cancel(ErrCanceledUnsent)
	}
	x.mu.Unlock()
	x.conn.Close()
	x.conn = nil
}

// bindConn binds the connection to the exchange, so that Interrupt and Cancel can act on it. It returns
// false if the exchange was canceled before its request was sent. It is called before the first byte of
// every request is written.
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

// armWriteDeadline sets the write deadline for a request that can't be written without waiting.
func (x *Exchange) armWriteDeadline() {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.cancelCause == nil && !x.interrupted {
		x.conn.SetWriteDeadline(x.deadline)
	}
}

// expiredDeadline is a time in the past. As a deadline it ends pending reads and writes at once.
var expiredDeadline = time.Unix(1, 0)

// Interrupt makes Run return soon, so that another goroutine can call it again. The request must have
// started to be sent, or have been canceled before that.
func (x *Exchange) Interrupt() {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.boundConn != nil {
		x.interrupted = true
		x.boundConn.SetDeadline(expiredDeadline)
	}
}

// wasInterrupted reports whether a read or write ended because of Interrupt, rather than Cancel or the
// exchange's deadline.
func (x *Exchange) wasInterrupted() bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.interrupted && x.cancelCause == nil && time.Now().Before(x.deadline)
}

// Cancel cancels the exchange: Dial, reads and writes end at once. If the request has not started to be sent,
// it never will be. Of several causes the first is kept.
func (x *Exchange) Cancel(cause error) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.cancel(cause)
}

// CancelUnsent cancels the exchange if its request has not started to be sent. Otherwise the exchange
// continues, unless its idle connection turns out to be stale: then it is canceled too.
func (x *Exchange) CancelUnsent() {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.cancelUnsentCalled = true
	if x.sendState == sendPending {
		x.cancel(ErrCanceledUnsent)
	}
}

// cancel is Cancel without locking. The caller must hold x.mu.
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

// unbindConn ends the access of Interrupt and Cancel to the connection. It returns the cause if the exchange
// was canceled before, else nil.
func (x *Exchange) unbindConn() (cause error) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.boundConn = nil
	return x.cancelCause
}

// closeAndFail ends an exchange without a usable response and closes its connection. requestSent is set if
// the request was completely sent. It is ignored if the upload of a streamed body did not complete: then the
// request counts as sent only if its response was unusable.
func (x *Exchange) closeAndFail(requestSent bool, err error) {
	uploadComplete, uploadErr := x.stopUpload()
	x.unbindConn()
	x.conn.Close()
	x.conn = nil
	if !uploadComplete {
		// uploadErr is what failed, unless the upload was only stopped above because the endpoint had
		// ended the exchange: then err is the cause. After a timeout, the endpoint has not ended it.
		if errors.Is(uploadErr, body.ErrStopped) && !isTimeout(err) {
			uploadErr = err
		}
		requestSent, err = errors.As(err, new(unusableResponseError)), uploadErr
	}
	x.fail(requestSent, err)
}

// fail sets the result of an exchange without a usable response. A request that was completely sent may have
// run; one that was not can't have.
func (x *Exchange) fail(requestSent bool, err error) {
	x.mu.Lock()
	cause := x.cancelCause
	x.mu.Unlock()
	x.err = errors.Join(cause, err)
	switch {
	case cause == ErrCanceled, errors.Is(err, memory.ErrExhausted): // it may have run; that is not the endpoint's fault
		x.result = balance.Canceled
	case !requestSent && (cause == ErrCanceledUnsent || cause == ErrNoMemory || errors.Is(err, errNoSlot) || errors.Is(err, errNoTimeLeft) || errors.Is(err, errProcessUnknown) || errors.As(err, new(unsendableBodyError))): // not the endpoint's fault
		x.result = balance.NotSent
	case !requestSent:
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

// isTimeout reports whether an error is that the endpoint took too long.
func isTimeout(err error) bool {
	return tcpconn.IsDeadlineExceeded(err) || errors.Is(err, ErrEndpointTooSlow)
}

// releaseBuffers returns the buffers to their pools.
func (x *Exchange) releaseBuffers() {
	if x.requestBuf != nil {
		x.pool.requestBufs.Put(x.requestBuf)
		x.requestBuf = nil
	}
	for _, buf := range []**http1.Buffer{&x.headBuf, &x.bodyBuf} {
		if *buf != nil {
			x.pool.bodyBufs.Put(*buf)
			*buf = nil
		}
	}
	if x.readBuf != nil {
		x.responseBufs().Put(x.readBuf)
		x.readBuf = nil
	}
	x.body = nil
}

// responseBufs returns the pool that readBuf comes from.
func (x *Exchange) responseBufs() *http1.BufferPool {
	if x.stream.started {
		return &x.pool.streamBufs
	}
	return &x.pool.bufs
}

// errNoTimeLeft reports that the request was not sent because its deadline or start deadline had passed, or
// its caller had disconnected.
var errNoTimeLeft = errors.New("no time was left when the request was about to be sent")

// errProcessUnknown reports that the request was not sent because another process may have taken over the address of
// its endpoint, where its effect could occur a second time.
var errProcessUnknown = errors.New("another process may have taken over the endpoint's address")

// errDataBeforeRequest reports that a new connection can't be used: data that arrives before the request is
// sent is no response to it. The request was not sent.
var errDataBeforeRequest = errors.New("the endpoint sent data, or closed the connection, before the request was sent")

// releaseConn gives up the connection after a complete response: it returns it to the pool if another exchange
// can use it, and closes it otherwise. noExtraData reports that no data has arrived after the response.
func (x *Exchange) releaseConn(noExtraData bool) {
	uploadComplete, _ := x.stopUpload()
	if cause := x.unbindConn(); cause == nil && uploadComplete && noExtraData && !x.head.ClosesConnection() && x.framing != http1.UntilClose {
		x.pool.put(x.conn)
	} else {
		x.conn.Close()
	}
	x.conn = nil
}

// Result returns how the exchange ended. It is valid once the exchange has ended.
func (x *Exchange) Result() balance.Result { return x.result }

// Err returns why an exchange that has ended has no usable response, nil if it has one.
func (x *Exchange) Err() error { return x.err }

// LoadReport returns the load report in the response, nil if there was none. It is valid until the
// next Prepare.
func (x *Exchange) LoadReport() *balance.Load {
	if !x.hasLoadReport {
		return nil
	}
	return &x.loadReport
}

// ResponseHead returns the head of a response that is streamed or whose result is OK. It is valid until Release.
func (x *Exchange) ResponseHead() *http1.Response { return &x.head }

// ResponseBody returns the body of a response whose result is OK. It is valid until Release.
func (x *Exchange) ResponseBody() []byte { return x.body }

// Release returns the buffers that hold the response to their pools.
func (x *Exchange) Release() { x.releaseBuffers() }

// ConnectAndRun runs the exchange to its end, or until its response is streamed, and reports whether it is. It
// uses an idle connection if there is one, else waits until a new one is open. It continues after interrupts.
func (x *Exchange) ConnectAndRun() (streaming bool) {
	for x.TakeIdleConn() || x.Dial() {
		progress := x.Run()
		for progress == Interrupted {
			progress = x.Run()
		}
		if progress != NeedsConnection {
			return progress == Streaming
		}
	}
	return false
}

// Probe requests path from an endpoint, to obtain its load report or, where endpoints send none, to check
// that it responds. It waits for at most the timeout. The load report comes from X-Server-Load or else from
// the body of a response whose result is OK; it is nil if there is none.
func (p *Pool) Probe(route *Route, path string, timeout time.Duration) (balance.Result, *balance.Load) {
	x := new(Exchange)
	x.Prepare(p, route, time.Now().Add(timeout), func(b []byte) ([]byte, int) {
		b = http1.AppendRequestLine(b, []byte(http.MethodGet), []byte(path))
		return http1.AppendHeadEnd(http1.AppendField(b, "Host", route.Addr)), 0
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
