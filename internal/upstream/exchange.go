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

// maxInterim is the most 1xx answers ahead of one.
const maxInterim = 8

// The states of an exchange's sending.
const (
	waiting = iota // for a connection
	writing        // or written
	barred         // before it began to be written
)

// Exchange is one request to an endpoint and its answer. One goroutine at a time carries it, by
// Ready or Dial and then Run, as Run says, and Next where its answer is passed on as it comes;
// End, Leave, Interrupt and Extend may be called by any. A body that is sent as it arrives has a
// goroutine beside it, which has ended when the exchange is over.
type Exchange struct {
	pool          *Pool
	to            *Route
	until         time.Time
	out           *http1.Buffer // what is still to be written; nil once it has been
	told          timeoutField  // within out
	startDeadline time.Time     // it must not begin to go out later than this; zero for no such bound
	gone          func() bool   // whether whoever asked has gone; nil for who does not go
	conn          *conn         // nil before there is one, and once it is over
	fresh         bool          // conn has carried nothing before
	asked         bool          // the request has begun to be written

	mu          sync.Mutex
	state       int
	cause       error              // why it was ended from this side
	dialing     context.CancelFunc // while it is
	bound       *conn              // that Interrupt and End may touch
	interrupted bool
	left        bool // Leave was called
	upload      upload

	// The answer, as far as it has come.
	head    http1.Response
	buf     *http1.Buffer
	limits  ResponseLimits
	interim int
	headLen int // of the final head, once it is whole
	framing http1.Framing
	chunks  http1.ChunkedDecoder
	text    []byte // the head's, where the body is not kept behind it
	body    []byte
	flow    flow // of an answer that is passed on as it comes

	result balance.Result
	failed error // why there is no usable answer
	load   balance.Load
	loaded bool
}

// timeoutField is where a request tells the endpoint how long it will be waited for.
type timeoutField struct {
	at     int // offset of the value, 0 for none
	length int // of the value that stands there
}

// AppendRequestFunc appends a request's text, and returns the offset at which the value of its X-Timeout is to
// be put in as it goes out, 0 for none.
type AppendRequestFunc func(b []byte) (text []byte, timeoutAt int)

// Prepare makes an exchange ready to be carried: a request that compose appends, to be sent to a
// route and answered before until. What it held before is dropped.
func (x *Exchange) Prepare(p *Pool, to *Route, until time.Time, compose AppendRequestFunc) {
	x.pool, x.to, x.until = p, to, until
	x.state, x.cause, x.interrupted, x.left, x.bound, x.conn, x.asked = waiting, nil, false, false, nil, nil, false
	x.interim, x.headLen, x.framing, x.text, x.body = 0, 0, http1.NoBody, nil, nil
	x.loaded, x.failed = false, nil
	x.upload, x.flow = upload{}, flow{}
	x.limits = p.cfg.ResponseLimits()
	x.head.Limits = http1.DefaultLimits
	x.head.Limits.HeadBytes = x.limits.HeadBytes
	x.head.Reset()
	x.out = p.bufs.Get()
	x.told, x.startDeadline, x.gone = timeoutField{}, time.Time{}, nil
	x.out.ResetWith(func(b []byte) []byte {
		b, x.told.at = compose(b)
		return b
	})
}

// SetStartDeadline bounds when the exchange may begin to go out. It is called between Begin and the first Run.
func (x *Exchange) SetStartDeadline(t time.Time) { x.startDeadline = t }

// SkipSendIf has the exchange not go out once gone tells that whoever asked has gone. It is asked right before the
// first byte, without a lock. It is called between Begin and the first Run.
func (x *Exchange) SkipSendIf(gone func() bool) { x.gone = gone }

// mayGoOut tells whether the request may still begin to go out, and tells the endpoint its time.
func (x *Exchange) mayGoOut() bool {
	if x.gone != nil && x.gone() {
		return false
	}
	return x.tellTimeout()
}

// tellTimeout puts into the request how long the endpoint has from now on, which may be less than when
// the request was composed: a connection may have been waited for. It tells whether the request may still
// go out.
func (x *Exchange) tellTimeout() bool {
	now := time.Now()
	left := x.last().Sub(now).Microseconds()
	if left <= 0 || !x.startDeadline.IsZero() && !now.Before(x.startDeadline) {
		return false
	}
	if x.told.at > 0 {
		value := append(strconv.AppendInt(make([]byte, 0, maxTimeoutValue), left, 10), 'u')
		x.out.Replace(x.told.at, x.told.length, value)
		x.told.length = len(value)
	}
	return true
}

// maxTimeoutValue is the longest value of X-Timeout, in bytes.
const maxTimeoutValue = 20

// TakeIdleConn takes a connection that stands idle, and tells whether there was one. It does not wait.
func (x *Exchange) TakeIdleConn() bool {
	x.conn = x.pool.take(x.to)
	x.fresh = false
	return x.conn != nil
}

// Dial opens a connection, and tells whether there is one. If not, the exchange is over.
func (x *Exchange) Dial() bool {
	ctx, cancel := context.WithDeadline(context.Background(), x.until)
	defer cancel()
	x.mu.Lock()
	x.dialing = cancel
	over := x.state == barred
	x.mu.Unlock()
	var err error
	if over {
		err = ErrCanceledUnsent
	} else {
		x.conn, err = x.pool.dial(ctx, x.to)
	}
	x.mu.Lock()
	x.dialing = nil
	x.mu.Unlock()
	x.fresh = true
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
	if !x.bind() {
		x.pool.put(x.conn)
		x.conn = nil
		x.fail(false, ErrCanceledUnsent)
		return Ended
	}
	if x.out != nil && !x.asked && !x.mayGoOut() {
		x.unbind()
		x.pool.put(x.conn) // nothing has been written on it
		x.conn = nil
		x.fail(false, errNoTime)
		return Ended
	}
	if x.upload.src != nil && !x.asked {
		if !x.conn.ReadWouldBlock() {
			return x.stale()
		}
		x.asked = true
		if err := x.startUpload(); err != nil {
			x.unbind()
			x.pool.put(x.conn) // nothing has been written on it
			x.conn = nil
			x.fail(false, unsendable{err})
			return Ended
		}
	}
	if x.out != nil && !x.asked {
		x.asked = true
		n, stale, buf, err := x.conn.WriteThenRead(x.out.Bytes())
		if stale {
			return x.stale()
		}
		x.buf = buf
		x.out.Consume(n)
		if x.out.Len() == 0 {
			x.written()
		}
		if err != nil {
			return x.broke(err)
		}
	}
	for x.out != nil && x.upload.src == nil {
		x.armWrite()
		n, err := x.conn.Write(x.out.Bytes())
		if x.out.Consume(n); err != nil {
			return x.broke(err)
		}
		x.written()
	}
	for {
		whole, err := x.parse()
		switch {
		case whole:
			x.complete()
			return Ended
		case err != nil:
			x.over(true, spoilt{err})
			return Ended
		case x.flow.begun:
			x.startStreaming()
			return Streaming
		}
		if x.buf, err = x.conn.ReadInto(x.buf); err != nil {
			return x.broke(err)
		}
	}
}

// broke takes the end of a read or write: an interrupt, the end of a body that ends so, or a
// failure. What has not been written whole has not run.
func (x *Exchange) broke(err error) Progress {
	switch {
	case x.paused():
		return Interrupted
	case err == io.EOF && x.headLen > 0 && x.framing == http1.UntilClose:
		x.complete()
	default:
		x.over(x.out == nil || x.upload.src != nil, err)
	}
	return Ended
}

// stale ends a run on a connection on which something had come, or its end, before a byte of the
// request was written.
func (x *Exchange) stale() Progress {
	if x.fresh { // what comes ahead of the request is no answer to it
		x.over(false, errSpokeFirst)
		return Ended
	}
	x.unsent()
	return NeedsConnection
}

// written notes that the last byte has been written.
func (x *Exchange) written() {
	x.pool.bufs.Put(x.out)
	x.out = nil
}

// unsent gives a connection up, for another to be found.
func (x *Exchange) unsent() {
	x.mu.Lock()
	x.bound, x.asked = nil, false
	x.state = waiting
	if x.left || x.cause != nil { // meanwhile
		x.cancel(ErrCanceledUnsent)
	}
	x.mu.Unlock()
	x.conn.Close()
	x.conn = nil
}

// bind makes the connection the exchange's, unless it has been barred or ended. It is what a
// request has to pass before its first byte goes out.
func (x *Exchange) bind() bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.state == barred {
		return false
	}
	x.state, x.bound, x.interrupted = writing, x.conn, false
	if x.cause == nil {
		x.conn.SetReadDeadline(x.until)
	}
	return true
}

// armWrite bounds the writing of a request that can't be written at once.
func (x *Exchange) armWrite() {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.cause == nil && !x.interrupted {
		x.conn.SetWriteDeadline(x.until)
	}
}

// past is a deadline that has passed.
var past = time.Unix(1, 0)

// Interrupt has Run return soon, to be called again by another goroutine. The request must have
// begun to go out, or been barred.
func (x *Exchange) Interrupt() {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.bound != nil {
		x.interrupted = true
		x.bound.SetDeadline(past)
	}
}

// paused tells whether a read or write has ended for an Interrupt.
func (x *Exchange) paused() bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.interrupted && x.cause == nil && time.Now().Before(x.until)
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
	x.left = true
	if x.state == waiting {
		x.cancel(ErrCanceledUnsent)
	}
}

func (x *Exchange) cancel(cause error) {
	if x.cause == nil {
		x.cause = cause
	}
	if x.state == waiting {
		x.state = barred
	}
	if x.dialing != nil {
		x.dialing()
	}
	if x.bound != nil {
		x.bound.SetDeadline(past)
	}
	if x.upload.reader != nil {
		x.upload.reader.Stop()
	}
}

// unbind takes the connection from those that may touch it.
func (x *Exchange) unbind() (ended error) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.bound = nil
	return x.cause
}

// over ends an exchange that has no usable answer.
func (x *Exchange) over(sent bool, err error) {
	whole, cause := x.endUpload()
	x.unbind()
	x.conn.Close()
	x.conn = nil
	if !whole {
		// What broke is told by the upload, unless that was only ended here, for the endpoint's end.
		if errors.Is(cause, body.ErrStopped) && !timedOut(err) {
			cause = err
		}
		sent, err = errors.As(err, new(spoilt)), cause
	}
	x.fail(sent, err)
}

// fail sets the result of an exchange without a usable answer. What was sent whole may have run.
func (x *Exchange) fail(sent bool, err error) {
	x.mu.Lock()
	cause := x.cause
	x.mu.Unlock()
	x.failed = errors.Join(cause, err)
	switch {
	case cause == ErrCanceled:
		x.result = balance.Canceled
	case !sent && (cause == ErrCanceledUnsent || errors.Is(err, errNoSlot) || errors.Is(err, errNoTime) || errors.As(err, new(unsendable))): // through no fault of the endpoint
		x.result = balance.NotSent
	case !sent:
		x.result = balance.ConnectFailed
	case errors.As(err, new(spoilt)):
		x.result = balance.Error
	case cause != nil, timedOut(err):
		x.result = balance.Timeout
	default:
		x.result = balance.Reset
	}
	x.releaseBuffers()
}

// timedOut tells whether an endpoint was waited for in vain.
func timedOut(err error) bool {
	return tcpconn.IsDeadlineExceeded(err) || errors.Is(err, ErrEndpointTooSlow)
}

// releaseBuffers gives the buffers back.
func (x *Exchange) releaseBuffers() {
	if x.out != nil {
		x.pool.bufs.Put(x.out)
		x.out = nil
	}
	if x.buf != nil {
		x.buffers().Put(x.buf)
		x.buf = nil
	}
	x.body = nil
}

// buffers are those that the answer's buffer is of.
func (x *Exchange) buffers() *http1.BufferPool {
	if x.flow.begun {
		return &x.pool.large
	}
	return &x.pool.bufs
}

// spoilt is the fault of an answer that came and can't be used. The request has run.
type spoilt struct{ error }

func (s spoilt) Unwrap() error { return s.error }

var errNoTime = errors.New("no time was left for the request as it was to go out")

var errSpokeFirst = errors.New("the endpoint spoke, or closed, before the request was sent")

var errBodyTooLong = errors.New("body too long")

// parse takes what has come of the answer, and tells whether it is whole.
func (x *Exchange) parse() (whole bool, err error) {
	if x.buf == nil {
		return false, nil
	}
	for x.headLen == 0 {
		n, err := x.head.Parse(x.buf.Bytes())
		if n == 0 || err != nil {
			return false, err
		}
		if x.head.IsInterim() {
			if x.interim++; x.interim > maxInterim {
				return false, http1.ErrTooManyInterimResponses
			}
			x.buf.Consume(n)
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
		x.flow.may = x.head.Status() == http.StatusOK && (long || x.limits.StreamUnknownLength && x.framing != http1.FixedLength && x.framing != http1.NoBody)
		if length := x.head.ContentLength(); long && (!x.flow.may || length > x.limits.StreamedBodyBytes) {
			return false, fmt.Errorf("%w: %d bytes", errBodyTooLong, length)
		}
		x.headLen = n
		if long || x.framing == http1.Chunked || x.framing == http1.UntilClose {
			// It is not to be had in one piece: the head is kept apart, and the body grows by itself.
			x.text = append([]byte(nil), x.buf.Bytes()[:n]...)
			x.head.Rebase(x.text)
			x.buf.Consume(n)
			x.chunks = http1.ChunkedDecoder{Limits: http1.DefaultLimits, KeepTrailers: x.flow.may}
		}
	}
	switch x.framing {
	case http1.FixedLength:
		if x.flow.may {
			x.flow.begun = int64(x.buf.Len()) >= min(x.limits.PrefetchBytes, x.head.ContentLength())
			return false, nil
		}
		return int64(x.buf.Len()-x.headLen) >= x.head.ContentLength(), nil
	case http1.Chunked:
		for {
			data, n, err := x.chunks.Decode(x.buf.Bytes())
			x.body = append(x.body, data...)
			x.buf.Consume(n)
			switch {
			case err != nil:
				return false, err
			case x.chunks.Done():
				return true, nil
			case x.flow.may && n == 0 && int64(len(x.body)) >= x.limits.PrefetchBytes && len(x.body) > 0:
				x.flow.begun = true
				return false, nil
			case !x.flow.may && int64(len(x.body)) > x.limits.BufferedBodyBytes:
				return false, errBodyTooLong
			case n == 0:
				return false, nil
			}
		}
	case http1.UntilClose:
		x.body = append(x.body, x.buf.Bytes()...)
		x.buf.Reset()
		x.flow.begun = x.flow.may && int64(len(x.body)) >= x.limits.PrefetchBytes && len(x.body) > 0
		if !x.flow.may && int64(len(x.body)) > x.limits.BufferedBodyBytes {
			return false, errBodyTooLong
		}
		return false, nil
	}
	return true, nil
}

// complete takes an answer that is whole. Its connection may be used again if the answer does
// not end it and nothing has come behind.
func (x *Exchange) complete() {
	rest := x.buf.Len()
	switch x.framing {
	case http1.NoBody:
		rest -= x.headLen
		x.head.Rebase(x.buf.Bytes())
	case http1.FixedLength:
		text := x.buf.Bytes()
		x.head.Rebase(text)
		whole := x.headLen + int(x.head.ContentLength())
		x.body = text[x.headLen:whole]
		rest -= whole
	}
	x.releaseConn(rest == 0)
	x.load, x.loaded = parseLoad(x.head.Value("X-Server-Load"))
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
	whole, _ := x.endUpload()
	if ended := x.unbind(); ended == nil && whole && clean && !x.head.ClosesConnection() && x.framing != http1.UntilClose {
		x.pool.put(x.conn)
	} else {
		x.conn.Close()
	}
	x.conn = nil
}

// Result is how an exchange that is over has ended.
func (x *Exchange) Result() balance.Result { return x.result }

// Err is why an exchange that is over has no usable answer, nil where an endpoint has answered.
func (x *Exchange) Err() error { return x.failed }

// LoadReport is the load report that came with the answer, nil for none.
func (x *Exchange) LoadReport() *balance.Load {
	if !x.loaded {
		return nil
	}
	return &x.load
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
