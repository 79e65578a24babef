package httpserver

import (
	"net"
	"net/http"
	"sync"
	"time"

	"barleydrum.example/barleydrum/internal/http1"
	"barleydrum.example/barleydrum/internal/memory"
)

// Exchange is a request, which is complete or streamed, and its response.
type Exchange struct {
	Body               []byte // empty if Streaming
	Streaming          bool   // set by Handler.CheckHead: ServeExchange gets the body by ReceiveBody, as it arrives
	CloseAfterResponse bool   // the connection closes after the response
	HandlerState       any    // passed from Handler.CheckHead to Handler.ServeExchange

	server       *Server
	conn         *conn
	respondedAt  time.Time // when the response's head was composed
	responseData []byte
	pooledBuffer *[]byte // from Server.responseBuffers; responseData may have outgrown it; nil before a response
	reserved     int     // bytes of responseData that are reserved in the account

	receiver *bodyReceiver  // of a streamed request body; nil before ReceiveBody
	stream   responseStream // of a response that StartResponse has started
}

// RequestHead returns the request's head.
func (x *Exchange) RequestHead() *http1.Request { return x.conn.head }

// ReceivedAt returns when the request's last byte arrived, or its first byte if it is streamed. The caller's
// time for the request starts then. The caller of a pipelined request also counts the wait for the response to
// the previous request, so that ReceivedAt is the earliest time at which the request may have arrived.
func (x *Exchange) ReceivedAt() time.Time { return x.conn.receivedAt }

// reset prepares x for a response to a request with the given body.
func (x *Exchange) reset(body []byte) {
	x.Body, x.CloseAfterResponse = body, false
	x.responseData, x.receiver, x.stream = nil, nil, responseStream{}
}

// maxPooledResponseBytes is the largest capacity of a response buffer that returns to the pool.
const maxPooledResponseBytes = 8 << 10

// takeBuffer returns an empty buffer for a response. It is taken only when there is a response: a buffer for each
// request that is being served would hold memory for nothing.
func (x *Exchange) takeBuffer() []byte {
	if x.pooledBuffer == nil {
		buffer, ok := x.server.responseBuffers.Get().(*[]byte)
		if !ok {
			buffer = new([]byte)
		}
		x.pooledBuffer = buffer
	}
	return (*x.pooledBuffer)[:0]
}

// setResponseData sets the data of the response and reserves its memory. The number of responses that are written at
// the same time is bounded by that of connections; the memory of a long one has just been reserved for the
// endpoint's response.
func (x *Exchange) setResponseData(data []byte) {
	x.responseData = data
	x.server.cfg.Account.Reserve(memory.ResponseGrowth, cap(data)-x.reserved)
	x.reserved = cap(data)
}

// releaseBuffers returns the response buffer to the pool, unless it is too large.
func (x *Exchange) releaseBuffers() {
	x.server.cfg.Account.Release(memory.ResponseGrowth, x.reserved)
	if x.pooledBuffer != nil && cap(x.responseData) <= maxPooledResponseBytes {
		*x.pooledBuffer = x.responseData[:0]
		x.server.responseBuffers.Put(x.pooledBuffer)
	}
	x.responseData, x.pooledBuffer, x.Body, x.reserved = nil, nil, nil, 0
}

// NotifyDisconnect arranges for canceler.Cancel to be called if the caller disconnects before
// StopNotifyDisconnect, which must be called in any case. It returns false if the caller has already
// disconnected.
func (x *Exchange) NotifyDisconnect(canceler Canceler) bool {
	x.server.mu.Lock()
	defer x.server.mu.Unlock()
	x.conn.canceler = canceler
	return !x.conn.disconnected
}

// CallerDisconnected reports whether the caller has disconnected, or may have, as more data of it is unread than a
// caller sends that waits for its response. It checks the connection itself, and may report a disconnect a moment
// before the Canceler is called. It may be called by any goroutine, also after ServeExchange has returned.
func (x *Exchange) CallerDisconnected() bool {
	if x.Streaming { // unread data may be the request's body
		return x.conn.PeerDisconnected()
	}
	return x.conn.PeerMayHaveDisconnected(maxUnreadBytes)
}

// StopNotifyDisconnect ends NotifyDisconnect: the Canceler is not called from then on. It reports whether the caller is
// known to have disconnected, without checking the connection.
func (x *Exchange) StopNotifyDisconnect() (disconnected bool) {
	x.server.mu.Lock()
	defer x.server.mu.Unlock()
	x.conn.canceler = nil
	return x.conn.disconnected
}

// Respond sets the response, which the server sends after ServeExchange has returned. appendFields appends
// further header fields as complete lines, or is nil. The server sets the framing, Date and Connection
// fields, see RFC 9110, 6.6.1 and 7.6.1.
func (x *Exchange) Respond(status int, contentType string, appendFields func(b []byte) []byte, body []byte) {
	b := http1.AppendStatusLine(x.takeBuffer(), status)
	if contentType != "" {
		b = http1.AppendField(b, "Content-Type", contentType)
	}
	b = x.appendCommonFields(b, appendFields)
	b = http1.AppendHeadEnd(http1.AppendContentLength(b, int64(len(body))))
	if len(body) > cap(b)-len(b) {
		b = append(make([]byte, 0, len(b)+len(body)), b...)
	}
	x.setResponseData(append(b, body...))
}

// appendCommonFields appends the header fields that every response has, and those of appendFields.
func (x *Exchange) appendCommonFields(b []byte, appendFields func(b []byte) []byte) []byte {
	x.respondedAt = time.Now()
	b = x.server.appendDate(b, x.respondedAt)
	if appendFields != nil {
		b = appendFields(b)
	}
	// The connection also closes if the request's body was not read to its end, as the rest can't be told from
	// the next request.
	x.CloseAfterResponse = x.CloseAfterResponse || x.receiver != nil && !x.receiver.complete() || x.server.draining.Load() && !x.hasMoreData()
	if x.CloseAfterResponse {
		b = http1.AppendField(b, "Connection", "close")
	}
	return b
}

// hasMoreData reports whether data of a further request has arrived. That request gets a response too, so that
// this one does not end the connection during a shutdown.
func (x *Exchange) hasMoreData() bool {
	return x.conn.buf.Len() > x.conn.requestBytes || !x.conn.ReadWouldBlock()
}

// HijackedConn is a connection that a handler has taken over from the server. Read first returns the data
// that the server had read after the request. Until Close, the connection keeps its slot and Shutdown
// waits for it.
type HijackedConn struct {
	net.Conn
	unread  []byte
	release func()
}

// Hijack hands the connection over to the handler, without any deadline, as of the return of ServeExchange.
// The server sends no response on it and neither reads nor closes it any more, except in Server.Close. The
// new owner must close it.
func (x *Exchange) Hijack() *HijackedConn {
	c := x.conn
	c.hijacked = true
	x.StopNotifyDisconnect()
	c.SetDeadline(time.Time{})
	unread := c.buf.Bytes()[c.requestBytes:]
	return &HijackedConn{Conn: c.Conn, unread: append([]byte(nil), unread...), release: sync.OnceFunc(func() { x.server.releaseConn(c) })}
}

// Read reads as net.Conn does, first the data that the server had read.
func (r *HijackedConn) Read(p []byte) (int, error) {
	if len(r.unread) > 0 {
		n := copy(p, r.unread)
		r.unread = r.unread[n:]
		return n, nil
	}
	return r.Conn.Read(p)
}

// Close closes the connection and returns its slot. It may be called more than once.
func (r *HijackedConn) Close() error {
	defer r.release()
	return r.Conn.Close()
}

// cachedDate is a Date field line and the second for which it holds.
type cachedDate struct {
	unixSeconds int64
	field       []byte
}

// appendDate appends the Date field line for now, which is formatted once a second.
func (s *Server) appendDate(b []byte, now time.Time) []byte {
	cached := s.dateField.Load()
	if cached == nil || cached.unixSeconds != now.Unix() {
		cached = &cachedDate{now.Unix(), http1.AppendField(nil, "Date", now.UTC().Format(http.TimeFormat))}
		s.dateField.Store(cached)
	}
	return append(b, cached.field...)
}
