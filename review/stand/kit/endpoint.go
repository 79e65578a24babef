package kit

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// Endpoint is a server of a tier. It takes one request at a time on a connection and begins it when its
// last byte has come.
type Endpoint struct {
	Name, Addr string
	Slots      chan struct{}        // one element for each request in work
	Work       func() time.Duration // how long a request takes
	Log        func(format string, args ...any)

	// OnRequest, if set, is called when the last byte of a request has come, with the time of its first byte.
	OnRequest func(id string, firstByte time.Time, r *http.Request)
	// AfterAnswer, if set, is called when an answer to a request has been written.
	AfterAnswer func(c *ServerConn, id string, answer []byte)
	// AnswerLoad says whether answers hold a load report.
	AnswerLoad bool

	listener net.Listener
	held     atomic.Int64 // requests in hand
	mu       sync.Mutex
	conns    map[net.Conn]bool
}

// ServerConn is a connection that an endpoint has accepted.
type ServerConn struct {
	net.Conn
	br *bufio.Reader
}

// NothingWaits reports whether no byte of a further request has come on the connection, as far as the
// endpoint's machine knows.
func (c *ServerConn) NothingWaits() bool {
	if c.br.Buffered() > 0 {
		return false
	}
	raw, err := c.Conn.(*net.TCPConn).SyscallConn()
	if err != nil {
		return false
	}
	nothing := false
	raw.Control(func(fd uintptr) {
		var b [1]byte
		_, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		nothing = err == syscall.EAGAIN
	})
	return nothing
}

// Reply is the body of an endpoint's 200 answer.
type Reply struct{ ID, Key, Node string }

// Start listens on a free loopback address.
func (e *Endpoint) Start() error {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	e.listener, e.Addr, e.conns = l, l.Addr().String(), map[net.Conn]bool{}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			e.mu.Lock()
			e.conns[c] = true
			e.mu.Unlock()
			go e.serve(&ServerConn{c, bufio.NewReader(c)})
		}
	}()
	return nil
}

// Stop ends the endpoint: its connections are closed.
func (e *Endpoint) Stop() {
	e.listener.Close()
	e.mu.Lock()
	defer e.mu.Unlock()
	for c := range e.conns {
		c.Close()
	}
}

// Load returns the load report.
func (e *Endpoint) Load() string {
	held := e.held.Load()
	busy := min(held, int64(cap(e.Slots)))
	return fmt.Sprintf("TEXT inflight=%d, queue=%d, util=%.2f", held, held-busy, float64(busy)/float64(cap(e.Slots)))
}

func (e *Endpoint) serve(c *ServerConn) {
	defer func() {
		c.Close()
		e.mu.Lock()
		delete(e.conns, c.Conn)
		e.mu.Unlock()
	}()
	for {
		if _, err := c.br.Peek(1); err != nil {
			return
		}
		firstByte := time.Now()
		r, err := http.ReadRequest(c.br)
		if err != nil {
			return
		}
		if _, err := io.ReadAll(r.Body); err != nil {
			return
		}
		switch r.URL.Path {
		case "/load":
			c.Write(answer(200, "", e.Load()))
			continue
		case "/healthz":
			c.Write(answer(200, "", "ok"))
			continue
		}
		id := r.Header.Get("X-Request-ID")
		if e.OnRequest != nil {
			e.OnRequest(id, firstByte, r)
		}
		e.held.Add(1)
		e.Slots <- struct{}{}
		e.Log("run %s at %s key=%s", id, e.Name, r.Header.Get("Idempotency-Key"))
		time.Sleep(e.Work())
		<-e.Slots
		e.held.Add(-1)
		text, _ := json.Marshal(Reply{id, r.Header.Get("Idempotency-Key"), e.Name})
		extra := ""
		if e.AnswerLoad {
			extra = "X-Server-Load: " + e.Load() + "\r\n"
		}
		a := answer(200, extra, string(text))
		if _, err := c.Write(a); err != nil {
			e.Log("no answer to %s from %s: %v", id, e.Name, err)
			return
		}
		if e.AfterAnswer != nil {
			e.AfterAnswer(c, id, a)
		}
	}
}

func answer(status int, fields, body string) []byte {
	return fmt.Appendf(nil, "HTTP/1.1 %d %s\r\nContent-Length: %d\r\n%s\r\n%s", status, http.StatusText(status), len(body), fields, body)
}

// Link is the network before an endpoint: it forwards each connection, and everything on it takes Delay one way.
type Link struct {
	Addr, target string
	delay        time.Duration
	listener     net.Listener
}

// NewLink starts a link to target.
func NewLink(target string, delay time.Duration) (*Link, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	k := &Link{Addr: l.Addr().String(), target: target, delay: delay, listener: l}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				t, err := net.Dial("tcp", target)
				if err != nil {
					c.Close()
					return
				}
				go k.forward(t, c)
				k.forward(c, t)
			}()
		}
	}()
	return k, nil
}

// Close ends the link's listener.
func (k *Link) Close() { k.listener.Close() }

type piece struct {
	due  time.Time
	data []byte // nil at the end of the stream
}

// forward passes on what comes from one side to the other. The end of either stream ends the connection.
func (k *Link) forward(from, to net.Conn) {
	pieces := make(chan piece, 1024)
	go func() {
		for {
			b := make([]byte, 32<<10)
			n, err := from.Read(b)
			if n > 0 {
				pieces <- piece{time.Now().Add(k.delay), b[:n]}
			}
			if err != nil {
				pieces <- piece{time.Now().Add(k.delay), nil}
				return
			}
		}
	}()
	for p := range pieces {
		for time.Now().Before(p.due) { // the runtime's timers are not exact enough for parts of a millisecond
		}
		if p.data == nil {
			break
		}
		if _, err := to.Write(p.data); err != nil {
			break
		}
	}
	to.Close()
	from.Close()
	go func() {
		for range pieces {
		}
	}()
}
