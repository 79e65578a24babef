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

// flowBuffer is what an answer that flows is read by.
const flowBuffer = body.BlockSize

// earlyAnswer is how long an answer is waited for of an endpoint that takes no more of its
// request: one that turns a body away answers, and closes.
const earlyAnswer = 200 * time.Millisecond

// ErrEndpointTooSlow says that an endpoint took or sent too little for too long.
var ErrEndpointTooSlow = errors.New("the endpoint is slow")

// errTooLate says that a body would be whole at the endpoint after the time by which it must.
var errTooLate = errors.New("the body was not whole while a repeat of it would be dropped")

// unsendable is why a body can't be sent on, which is no fault of the endpoint's.
type unsendable struct{ error }

func (u unsendable) Unwrap() error { return u.error }

// upload is the body of a request that is sent as it arrives.
type upload struct {
	src    *body.Body
	size   int64       // -1 for chunks
	last   func() bool // whether the last byte may go out now
	pumped chan error  // what came of it, once

	// Under Exchange.mu.
	reader *body.Reader
	ended  bool      // no more of it is to be written
	sentAt time.Time // when the last byte was written
}

// SetStreamedBody has a body sent behind the request, as it arrives: so many bytes, or chunks where size
// is -1. Before what makes it whole at the endpoint, and so lets it run, last is asked. Upload is
// called between Begin and the first Run.
func (x *Exchange) SetStreamedBody(src *body.Body, size int64, last func() bool) {
	x.upload = upload{src: src, size: size, last: last}
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
	if x.cause != nil {
		r.Stop()
	}
	x.mu.Unlock()
	x.upload.pumped = make(chan error, 1)
	p := &pump{x: x, conn: x.conn, reader: r, meter: x.pool.cfg.NewRateMeter(), left: x.upload.size}
	go func() {
		err := p.run()
		r.Close()
		x.uploaded(err)
		x.upload.pumped <- err
	}()
	return nil
}

// uploaded notes what came of an upload. Whoever reads the answer is not let wait for it long if
// the request can't be whole any more.
func (x *Exchange) uploaded(err error) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.upload.reader = nil
	switch {
	case err == nil:
		x.upload.sentAt = time.Now()
	case x.bound == nil || x.cause != nil:
	case errors.As(err, new(unsendable)):
		x.bound.SetReadDeadline(past)
	default:
		x.bound.SetReadDeadline(time.Now().Add(earlyAnswer))
	}
}

// endUpload ends what is still being sent. It tells whether the request is whole, and if not why.
func (x *Exchange) endUpload() (whole bool, cause error) {
	if x.upload.pumped == nil {
		return true, nil
	}
	x.mu.Lock()
	x.upload.ended = true
	if r := x.upload.reader; r != nil {
		r.Stop()
		x.conn.SetWriteDeadline(past)
	}
	x.mu.Unlock()
	cause = <-x.upload.pumped
	x.upload.pumped = nil
	return cause == nil, cause
}

// pump sends one request whose body arrives by and by.
type pump struct {
	x      *Exchange
	conn   *conn
	reader *body.Reader
	meter  transferrate.Meter
	left   int64 // of the body, or -1
	space  []byte
}

func (p *pump) run() error {
	if err := p.write(p.x.out.Bytes()); err != nil {
		return err
	}
	for p.left != 0 {
		data, err := p.reader.Next()
		switch {
		case err == io.EOF && p.left > 0:
			return unsendable{io.ErrUnexpectedEOF}
		case err == io.EOF:
			if !p.x.upload.last() {
				return unsendable{errTooLate}
			}
			p.space = http1.AppendLastChunk(p.space[:0], p.reader.Trailers())
			return p.write(p.space)
		case err != nil:
			return unsendable{err}
		}
		if p.left >= 0 {
			data = data[:min(int64(len(data)), p.left)]
			if p.left -= int64(len(data)); p.left == 0 && !p.x.upload.last() {
				return unsendable{errTooLate}
			}
			err = p.write(data)
		} else {
			p.space = http1.AppendChunkSize(p.space[:0], len(data))
			err = p.write(p.space, data, []byte("\r\n"))
		}
		if err != nil {
			return err
		}
		p.reader.Advance(len(data))
	}
	return nil
}

// write writes all, for as long as the endpoint keeps its pace.
func (p *pump) write(texts ...[]byte) error {
	all := net.Buffers(texts)
	for {
		began := time.Now()
		if !p.x.armUpload(began.Add(p.meter.MaxWait())) {
			return unsendable{body.ErrStopped}
		}
		n, err := p.conn.WriteBuffers(&all)
		fast := p.meter.Record(time.Since(began), int(n))
		switch {
		case err == nil:
			return nil
		case !tcpconn.IsDeadlineExceeded(err):
			return err
		case !fast || !time.Now().Before(p.x.last()):
			return fmt.Errorf("upload: %w", ErrEndpointTooSlow)
		}
	}
}

// armUpload sets a time by which a write has to come back, and tells whether the exchange goes on.
func (x *Exchange) armUpload(by time.Time) bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.cause != nil || x.upload.ended {
		return false
	}
	if x.until.Before(by) {
		by = x.until
	}
	x.bound.SetWriteDeadline(by)
	return true
}

// last is when the exchange's time is up.
func (x *Exchange) last() time.Time {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.until
}

// ExtendDeadline moves the time by which the exchange has to end. An answer that flows has until its
// caller's time is up, whatever an answer was waited for.
func (x *Exchange) ExtendDeadline(until time.Time) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.until = until
}

// flow is an answer that is passed on as it comes.
type flow struct {
	may   bool // by its head
	begun bool // it is had by Next
	over  bool
	used  int   // bytes of buf that were handed out last
	moved int64 // bytes of the body that were handed out
	meter transferrate.Meter
}

// startStreaming makes an answer that flows ready for Next: what has been read moves to a larger buffer.
func (x *Exchange) startStreaming() {
	buf := x.pool.large.Get()
	buf.Commit(copy(buf.Reserve(x.buf.Len()), x.buf.Bytes()))
	x.pool.bufs.Put(x.buf)
	x.buf = buf
	x.flow.meter = x.pool.cfg.NewRateMeter()
	x.load, x.loaded = parseLoad(x.head.Value("X-Server-Load"))
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
	if x.flow.over {
		return nil, io.EOF
	}
	if p := x.body; len(p) > 0 {
		x.body = nil
		x.flow.moved += int64(len(p))
		return p, nil
	}
	x.buf.Consume(x.flow.used)
	x.flow.used = 0
	for {
		p, end, err := x.piece()
		switch {
		case err != nil:
			return nil, x.broken(spoilt{err})
		case len(p) > 0:
			x.flow.moved += int64(len(p))
			if x.flow.moved > x.limits.StreamedBodyBytes {
				return nil, x.broken(spoilt{errBodyTooLong})
			}
			return p, nil
		case end:
			return nil, x.finish()
		}
		if err := x.refill(); err == io.EOF && x.framing == http1.UntilClose {
			return nil, x.finish()
		} else if err != nil {
			return nil, x.broken(err)
		}
	}
}

// piece takes what is there of the body.
func (x *Exchange) piece() (p []byte, end bool, err error) {
	switch x.framing {
	case http1.FixedLength:
		left := x.head.ContentLength() - x.flow.moved
		p = x.buf.Bytes()[:min(left, int64(x.buf.Len()))]
		x.flow.used = len(p)
		return p, left == 0, nil
	case http1.Chunked:
		for {
			data, n, err := x.chunks.Decode(x.buf.Bytes())
			if len(data) > 0 || err != nil {
				x.flow.used = n
				return data, false, err
			}
			x.buf.Consume(n)
			if n == 0 || x.chunks.Done() {
				return nil, x.chunks.Done(), nil
			}
		}
	}
	x.flow.used = x.buf.Len()
	return x.buf.Bytes(), false, nil
}

// refill reads more of an answer that flows, for as long as the endpoint keeps its pace.
func (x *Exchange) refill() error {
	for {
		began := time.Now()
		x.mu.Lock()
		if x.cause == nil {
			by := began.Add(x.flow.meter.MaxWait())
			if x.until.Before(by) {
				by = x.until
			}
			x.bound.SetReadDeadline(by)
		}
		x.mu.Unlock()
		had := x.buf.Len()
		buf, err := x.conn.ReadInto(x.buf)
		x.buf = buf
		fast := x.flow.meter.Record(time.Since(began), buf.Len()-had)
		switch {
		case err == nil:
			return nil
		case !tcpconn.IsDeadlineExceeded(err):
			return err
		case !fast || !time.Now().Before(x.last()):
			return fmt.Errorf("answer: %w", ErrEndpointTooSlow)
		}
		x.mu.Lock()
		cause := x.cause
		x.mu.Unlock()
		if cause != nil {
			return cause
		}
	}
}

// finish takes the end of an answer that flows and came whole.
func (x *Exchange) finish() error {
	x.flow.over = true
	x.releaseConn(x.buf.Len() == 0)
	x.result = balance.OK
	return io.EOF
}

// broken ends an answer that flows and came not whole.
func (x *Exchange) broken(err error) error {
	x.flow.over = true
	x.endUpload() // whose end makes no difference any more: it has run
	x.unbind()
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
	if !x.flow.over {
		x.Cancel(ErrCanceled)
		x.broken(ErrCanceled)
	}
}

// ResponseTrailers are those of an answer that flowed, whole lines, once it has ended.
func (x *Exchange) ResponseTrailers() []byte { return x.chunks.Trailers }
