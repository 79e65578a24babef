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

	server       *Server
	conn         *conn
	respondedAt  time.Time // of the answer
	responseData []byte
	pooledBuffer *[]byte // of Door.outs, which out may have outgrown

	receiver *bodyReceiver
	stream   responseStream
}

// RequestHead is the request's head.
func (x *Exchange) RequestHead() *http1.Request { return x.conn.head }

// ReceivedAt is when the request's last byte came, from which its caller counts, or the first of one that flows. One
// that was sent ahead of the answer to the one before has waited for that, all of which its caller counts.
func (x *Exchange) ReceivedAt() time.Time { return x.conn.receivedAt }

func (x *Exchange) reset(body []byte) {
	x.Body, x.Close = body, false
	x.responseData, x.receiver, x.stream = nil, nil, responseStream{}
	owned, ok := x.server.responseBuffers.Get().(*[]byte)
	if !ok {
		owned = new([]byte)
	}
	x.pooledBuffer = owned
}

// maxPooledResponseBytes is the largest space of an answer that is kept for another.
const maxPooledResponseBytes = 64 << 10

func (x *Exchange) releaseBuffers() {
	if *x.pooledBuffer = x.responseData[:0]; cap(x.responseData) <= maxPooledResponseBytes {
		x.server.responseBuffers.Put(x.pooledBuffer)
	}
	x.responseData, x.pooledBuffer, x.Body = nil, nil, nil
}

// NotifyDisconnect has l told if the caller goes away before Unwatch, which is owed. It returns false if
// the caller has gone by now.
func (x *Exchange) NotifyDisconnect(l Canceler) bool {
	x.server.mu.Lock()
	defer x.server.mu.Unlock()
	x.conn.canceler = l
	return !x.conn.disconnected
}

// CallerDisconnected tells whether the caller has gone, which it looks for itself: Watch tells it a moment later. It may be
// called by any goroutine, also after Serve has returned.
func (x *Exchange) CallerDisconnected() bool { return x.conn.PeerDisconnected() }

// StopNotifyDisconnect ends Watch: l is told nothing from then on.
func (x *Exchange) StopNotifyDisconnect() {
	x.server.mu.Lock()
	defer x.server.mu.Unlock()
	x.conn.canceler = nil
}

// Respond sets the answer: fields appends further ones, whole lines, or is nil. Framing, Date
// and Connection are the door's, see RFC 9110, 6.6.1 and 7.6.1.
func (x *Exchange) Respond(status int, contentType string, fields func(b []byte) []byte, body []byte) {
	b := http1.AppendStatusLine((*x.pooledBuffer)[:0], status)
	if contentType != "" {
		b = http1.AppendField(b, "Content-Type", contentType)
	}
	b = x.appendCommonFields(b, fields)
	b = http1.AppendHeadEnd(http1.AppendContentLength(b, int64(len(body))))
	x.responseData = append(b, body...)
}

// appendCommonFields appends the fields of any answer.
func (x *Exchange) appendCommonFields(b []byte, fields func(b []byte) []byte) []byte {
	x.respondedAt = time.Now()
	b = x.server.appendDate(b, x.respondedAt)
	if fields != nil {
		b = fields(b)
	}
	// What is left of a request's body can't be told from the next request.
	x.Close = x.Close || x.receiver != nil && !x.receiver.complete() || x.server.draining.Load() && !x.hasMoreData()
	if x.Close {
		b = http1.AppendField(b, "Connection", "close")
	}
	return b
}

// hasMoreData tells whether something has come behind the request, which is answered too.
func (x *Exchange) hasMoreData() bool {
	return x.conn.buf.Len() > x.conn.requestBytes || !x.conn.ReadWouldBlock()
}

// HijackedConn is a connection that its door has handed over. Its reader gets first what had been read
// behind the request. It keeps its place, and Shutdown waits for it, until Close.
type HijackedConn struct {
	net.Conn
	unread  []byte
	release func()
}

// Hijack hands the connection over, as it is once Serve returns: the door neither answers on it
// nor reads or closes it any more. It must be closed.
func (x *Exchange) Hijack() *HijackedConn {
	c := x.conn
	c.hijacked = true
	x.StopNotifyDisconnect()
	c.SetDeadline(time.Time{})
	rest := c.buf.Bytes()[c.requestBytes:]
	return &HijackedConn{Conn: c.Conn, unread: append([]byte(nil), rest...), release: sync.OnceFunc(func() { x.server.releaseConn(c) })}
}

func (r *HijackedConn) Read(p []byte) (int, error) {
	if len(r.unread) > 0 {
		n := copy(p, r.unread)
		r.unread = r.unread[n:]
		return n, nil
	}
	return r.Conn.Read(p)
}

// Close closes the connection and gives its place back.
func (r *HijackedConn) Close() error {
	defer r.release()
	return r.Conn.Close()
}

// cachedDate is a Date field for one second.
type cachedDate struct {
	unixSeconds int64
	field       []byte
}

func (d *Server) appendDate(b []byte, now time.Time) []byte {
	at := d.dateField.Load()
	if at == nil || at.unixSeconds != now.Unix() {
		at = &cachedDate{now.Unix(), http1.AppendField(nil, "Date", now.UTC().Format(http.TimeFormat))}
		d.dateField.Store(at)
	}
	return append(b, at.field...)
}
