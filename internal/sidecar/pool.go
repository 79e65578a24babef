package sidecar

import (
	"bufio"
	"bytes"
	"container/list"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/textproto"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"barleydrum.example/barleydrum/internal/config"
)

// maxInterim is the most 1xx answers ahead of one.
const maxInterim = 8

// route is the way to one process of an endpoint. Its connections are of no use to another
// process, also where that has its id or its address: each has a route of its own.
type route struct {
	addr   string
	closed bool    // no connection is kept; written under pool.mu and Engine.mu
	idle   []*conn // those of pool.idle that lead there, in the same order; under pool.mu
}

// pool holds the connections to endpoints, each of which carries one exchange at a time.
type pool struct {
	dialer    net.Dialer
	keepAlive time.Duration // how long a connection may stand idle
	slots     chan struct{} // one for each connection that is open
	settings  *live
	readers   sync.Pool // of *bufio.Reader, for heads that are looked at twice
	writers   sync.Pool // of *bufio.Writer, for requests

	mu       sync.Mutex
	idle     list.List // of *conn, the one unused for longest first
	expiring bool      // a timer will look for those to close
	waiting  int       // callers that wait for a slot
}

// conn is a connection to an endpoint.
type conn struct {
	net.Conn
	in    *bufio.Reader
	to    *route
	since time.Time     // when it fell idle
	place *list.Element // in pool.idle while it is idle
	once  sync.Once
	pool  *pool
}

// Close closes a connection and gives its slot back.
func (c *conn) Close() error {
	var err error
	c.once.Do(func() {
		err = c.Conn.Close()
		<-c.pool.slots
	})
	return err
}

// errNoSlot says that a connection can't be opened for a reason that lies on this side.
var errNoSlot = errors.New("no descriptor left for a connection")

// get returns a connection that nothing is written on or left to read.
func (p *pool) get(ctx context.Context, to *route) (*conn, error) {
	for c := p.take(to); c != nil; c = p.take(to) {
		if c.quiet() {
			return c, nil
		}
		c.Close()
	}
	return p.dial(ctx, to)
}

// take removes and returns the idle connection to a route that was used last, or nil.
func (p *pool) take(to *route) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := len(to.idle)
	if n == 0 {
		return nil
	}
	c := to.idle[n-1]
	to.idle[n-1], to.idle = nil, to.idle[:n-1]
	p.idle.Remove(c.place)
	return c
}

// oldest removes and returns the connection that has been idle for longest, or nil. It is the
// first of its route as well.
func (p *pool) oldest() *conn {
	at := p.idle.Front()
	if at == nil {
		return nil
	}
	c := p.idle.Remove(at).(*conn)
	c.to.idle = slices.Delete(c.to.idle, 0, 1)
	return c
}

// put takes a connection back that is whole, with nothing left to read.
func (p *pool) put(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if c.to.closed || p.waiting > 0 {
		c.Close()
		return
	}
	c.since = time.Now()
	c.place = p.idle.PushBack(c)
	c.to.idle = append(c.to.idle, c)
	if !p.expiring {
		p.expiring = true
		time.AfterFunc(p.keepAlive, p.expire)
	}
}

// expire closes the connections that have stood idle for long enough.
func (p *pool) expire() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for at := p.idle.Front(); at != nil; at = p.idle.Front() {
		c := at.Value.(*conn)
		if left := p.keepAlive - time.Since(c.since); left > 0 {
			time.AfterFunc(left, p.expire)
			return
		}
		p.oldest().Close()
	}
	p.expiring = false
}

// release closes the idle connections to a route. A route that is not kept gets no more.
func (p *pool) release(to *route, keep bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	to.closed = to.closed || !keep
	for _, c := range to.idle {
		p.idle.Remove(c.place)
		c.Close()
	}
	to.idle = nil
}

// dial opens a connection. With all slots taken, the one unused for longest gives way.
func (p *pool) dial(ctx context.Context, to *route) (*conn, error) {
	ctx, cancel := context.WithTimeout(ctx, p.dialer.Timeout)
	defer cancel()
	select {
	case p.slots <- struct{}{}:
	default:
		if err := p.wait(ctx); err != nil {
			return nil, err
		}
	}
	c, err := p.dialer.DialContext(ctx, "tcp", to.addr)
	if err != nil {
		<-p.slots
		if errors.Is(err, syscall.EMFILE) || errors.Is(err, syscall.ENFILE) {
			err = errNoSlot
		}
		return nil, err
	}
	return &conn{Conn: c, in: bufio.NewReader(c), to: to, pool: p}, nil
}

// wait waits for a slot.
func (p *pool) wait(ctx context.Context) error {
	p.mu.Lock()
	if c := p.oldest(); c != nil {
		c.Close()
	}
	p.waiting++
	p.mu.Unlock()
	defer func() {
		p.mu.Lock()
		p.waiting--
		p.mu.Unlock()
	}()
	select {
	case p.slots <- struct{}{}:
		return nil
	case <-ctx.Done():
		return errNoSlot
	}
}

// writer returns a buffer for what goes out on a connection, to be put back.
func (p *pool) writer(to io.Writer) *bufio.Writer {
	out, ok := p.writers.Get().(*bufio.Writer)
	if !ok {
		return bufio.NewWriter(to)
	}
	out.Reset(to)
	return out
}

func (p *pool) putWriter(out *bufio.Writer) {
	out.Reset(nil) // which keeps no connection, and no error of one
	p.writers.Put(out)
}

func (p *pool) putReader(in *bufio.Reader) {
	in.Reset(nil)
	p.readers.Put(in)
}

// reader returns a reader that is to be reset, and put back.
func (p *pool) reader() *bufio.Reader {
	if in, ok := p.readers.Get().(*bufio.Reader); ok {
		return in
	}
	return bufio.NewReader(nil)
}

// quiet tells whether nothing has come on an idle connection: neither its end nor bytes,
// which would be read as the answer to the next request.
func (c *conn) quiet() bool { return c.in.Buffered() == 0 && quiet(c.Conn) }

// quiet tells whether a socket is open with nothing to read. It does not wait for another
// reader of the connection.
func quiet(c net.Conn) bool {
	socket, ok := c.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return false
	}
	nothing := false
	err = raw.Control(func(fd uintptr) {
		var b [1]byte
		_, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		nothing = err == syscall.EAGAIN
	})
	return err == nil && nothing
}

// read reads the answer to a request, its body whole. Used again may be only a connection
// that is left with nothing to read and whose answer does not close it.
func (c *conn) read(req *http.Request, most config.Endpoints) (resp *http.Response, body []byte, reuse bool, err error) {
	left := int(most.MaxAnswerHead)
	in := c.pool.reader()
	defer c.pool.putReader(in) // the body has been read by then, or is of no more use
	for range maxInterim + 1 {
		head, err := c.readHead(left)
		if err != nil {
			return nil, nil, false, err
		}
		left -= len(head)
		closes, err := checkFields(in, head)
		if err != nil {
			return nil, nil, false, err
		}
		in.Reset(io.MultiReader(bytes.NewReader(head), c.in))
		resp, err := http.ReadResponse(in, req)
		switch {
		case err != nil:
			return nil, nil, false, spoilt{err}
		case resp.StatusCode == http.StatusSwitchingProtocols:
			return nil, nil, false, spoilt{errors.New("switches protocols")}
		case resp.StatusCode < 200:
			continue
		}
		if body, err = readBody(resp, closes, int64(most.MaxAnswer)); err != nil {
			return nil, nil, false, err
		}
		return resp, body, !resp.Close && in.Buffered() == 0 && c.in.Buffered() == 0, nil
	}
	return nil, nil, false, spoilt{errors.New("too many 1xx answers")}
}

// readHead reads an answer's header, of so many bytes at most.
func (c *conn) readHead(most int) ([]byte, error) {
	// What is no answer must not be waited on for its line to end.
	if start, err := c.in.Peek(len(protocol)); err == nil && !bytes.Equal(start, protocol) {
		return nil, spoilt{fmt.Errorf("begins with %q", start)}
	}
	var head []byte
	for {
		line, err := c.in.ReadSlice('\n')
		head = append(head, line...)
		switch {
		case len(head) > most:
			return nil, spoilt{errors.New("header too long")}
		case err != nil && err != bufio.ErrBufferFull:
			return nil, err
		case bytes.HasSuffix(head, []byte("\n\r\n")), bytes.HasSuffix(head, []byte("\n\n")):
			return head, nil
		}
	}
}

// protocol is what an answer begins with.
var protocol = []byte("HTTP/1.")

// checkFields returns an error for a header with more than one word on where the answer
// ends, and whether it says that the connection does. http.ReadResponse lets equal lengths,
// and a length beside a coding, pass and drops the fields.
func checkFields(in *bufio.Reader, head []byte) (closes bool, err error) {
	line, fields, _ := bytes.Cut(head, []byte("\n"))
	in.Reset(bytes.NewReader(fields))
	h, err := textproto.NewReader(in).ReadMIMEHeader()
	if err != nil {
		return false, spoilt{err}
	}
	if len(h["Content-Length"])+len(h["Transfer-Encoding"]) > 1 {
		return false, spoilt{errors.New("more than one length")}
	}
	return strings.EqualFold(h.Get("Connection"), "close") || bytes.HasPrefix(line, []byte("HTTP/1.0")), nil
}

// readBody reads an answer's body. One that is too long by its header is not read, and one
// that ends with the connection must say so: it could not be told from one that broke off.
func readBody(resp *http.Response, closes bool, most int64) ([]byte, error) {
	switch {
	case resp.ContentLength > most:
		return nil, spoilt{fmt.Errorf("body of %d bytes", resp.ContentLength)}
	case resp.ContentLength >= 0:
		body := make([]byte, resp.ContentLength)
		_, err := io.ReadFull(resp.Body, body)
		return body, err
	case len(resp.TransferEncoding) == 0 && !closes:
		return nil, spoilt{errors.New("body without a length")}
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, most+1))
	switch netErr := net.Error(nil); {
	case err == io.ErrUnexpectedEOF, errors.As(err, &netErr):
		return nil, err
	case err != nil:
		return nil, spoilt{err}
	case int64(len(body)) > most:
		return nil, spoilt{errors.New("body too long")}
	}
	return body, nil
}

// spoilt is the fault of an answer that came and can't be used. The request has run.
type spoilt struct{ error }

func (s spoilt) Unwrap() error { return s.error }
