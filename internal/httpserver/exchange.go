package httpserver

import (
	"net"
	"net/http"
	"sync"
	"time"

	"barleydrum.example/barleydrum/internal/http1"
)

// Exchange is a request that has come whole, or flows, and its answer.
type Exchange struct {
	Body         []byte
	Streaming    bool // set by Handler.Head: Serve has the body by Upload, as it arrives
	Close        bool // the connection ends with the answer
	HandlerState any  // the handler's, from Head to Serve

	d     *Server
	c     *conn
	at    time.Time // of the answer
	out   []byte
	owned *[]byte // of Door.outs, which out may have outgrown

	upload *upload
	flow   flow
}

// RequestHead is the request's head.
func (x *Exchange) RequestHead() *http1.Request { return x.c.head }

// ReceivedAt is when the request's last byte came, from which its caller counts, or the first of one that flows. One
// that was sent ahead of the answer to the one before has waited for that, all of which its caller counts.
func (x *Exchange) ReceivedAt() time.Time { return x.c.arrived }

func (x *Exchange) begin(body []byte) {
	x.Body, x.Close = body, false
	x.out, x.upload, x.flow = nil, nil, flow{}
	owned, ok := x.d.outs.Get().(*[]byte)
	if !ok {
		owned = new([]byte)
	}
	x.owned = owned
}

// mostOut is the largest space of an answer that is kept for another.
const mostOut = 64 << 10

func (x *Exchange) end() {
	if *x.owned = x.out[:0]; cap(x.out) <= mostOut {
		x.d.outs.Put(x.owned)
	}
	x.out, x.owned, x.Body = nil, nil, nil
}

// NotifyDisconnect has l told if the caller goes away before Unwatch, which is owed. It returns false if
// the caller has gone by now.
func (x *Exchange) NotifyDisconnect(l Canceler) bool {
	x.d.mu.Lock()
	defer x.d.mu.Unlock()
	x.c.canceler = l
	return !x.c.gone
}

// CallerDisconnected tells whether the caller has gone, which it looks for itself: Watch tells it a moment later. It may be
// called by any goroutine, also after Serve has returned.
func (x *Exchange) CallerDisconnected() bool { return x.c.PeerDisconnected() }

// StopNotifyDisconnect ends Watch: l is told nothing from then on.
func (x *Exchange) StopNotifyDisconnect() {
	x.d.mu.Lock()
	defer x.d.mu.Unlock()
	x.c.canceler = nil
}

// Respond sets the answer: fields appends further ones, whole lines, or is nil. Framing, Date
// and Connection are the door's, see RFC 9110, 6.6.1 and 7.6.1.
func (x *Exchange) Respond(status int, contentType string, fields func(b []byte) []byte, body []byte) {
	b := http1.AppendStatusLine((*x.owned)[:0], status)
	if contentType != "" {
		b = http1.AppendField(b, "Content-Type", contentType)
	}
	b = x.common(b, fields)
	b = http1.AppendHeadEnd(http1.AppendContentLength(b, int64(len(body))))
	x.out = append(b, body...)
}

// common appends the fields of any answer.
func (x *Exchange) common(b []byte, fields func(b []byte) []byte) []byte {
	x.at = time.Now()
	b = x.d.appendDate(b, x.at)
	if fields != nil {
		b = fields(b)
	}
	// What is left of a request's body can't be told from the next request.
	x.Close = x.Close || x.upload != nil && !x.upload.done() || x.d.draining.Load() && !x.more()
	if x.Close {
		b = http1.AppendField(b, "Connection", "close")
	}
	return b
}

// more tells whether something has come behind the request, which is answered too.
func (x *Exchange) more() bool { return x.c.buf.Len() > x.c.whole || !x.c.ReadWouldBlock() }

// HijackedConn is a connection that its door has handed over. Its reader gets first what had been read
// behind the request. It keeps its place, and Shutdown waits for it, until Close.
type HijackedConn struct {
	net.Conn
	rest  []byte
	leave func()
}

// Hijack hands the connection over, as it is once Serve returns: the door neither answers on it
// nor reads or closes it any more. It must be closed.
func (x *Exchange) Hijack() *HijackedConn {
	c := x.c
	c.hijacked = true
	x.StopNotifyDisconnect()
	c.SetDeadline(time.Time{})
	rest := c.buf.Bytes()[c.whole:]
	return &HijackedConn{Conn: c.Conn, rest: append([]byte(nil), rest...), leave: sync.OnceFunc(func() { x.d.forget(c) })}
}

func (r *HijackedConn) Read(p []byte) (int, error) {
	if len(r.rest) > 0 {
		n := copy(p, r.rest)
		r.rest = r.rest[n:]
		return n, nil
	}
	return r.Conn.Read(p)
}

// Close closes the connection and gives its place back.
func (r *HijackedConn) Close() error {
	defer r.leave()
	return r.Conn.Close()
}

// date is a Date field for one second.
type date struct {
	second int64
	field  []byte
}

func (d *Server) appendDate(b []byte, now time.Time) []byte {
	at := d.date.Load()
	if at == nil || at.second != now.Unix() {
		at = &date{now.Unix(), http1.AppendField(nil, "Date", now.UTC().Format(http.TimeFormat))}
		d.date.Store(at)
	}
	return append(b, at.field...)
}
