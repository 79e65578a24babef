package fake

import (
	"bytes"
	"errors"
	"fmt"
	"net"
	"strconv"
	"sync/atomic"
	"time"

	"barleydrum.example/barleydrum/internal/http1"
)

// BenchNode is a node that answers at once and does as little as a node can, so that what is
// measured before it is not its own work. A request to /api/hold is answered after QuickHold.
type BenchNode struct {
	listener net.Listener
	response []byte
	inFlight atomic.Int64
}

// BenchHoldTime is how long a Quick holds a request to /api/hold.
const BenchHoldTime = 1200 * time.Millisecond

// NewBenchNode starts a node on loopback whose answers have so many bytes of body.
func NewBenchNode(body int) (*BenchNode, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("stand-in node: %w", err)
	}
	q := &BenchNode{listener: l}
	q.response = append(benchResponseHead(body), bytes.Repeat([]byte("x"), body)...)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go q.serveConn(c)
		}
	}()
	return q, nil
}

func benchResponseHead(body int) []byte {
	b := http1.AppendField(http1.AppendStatusLine(nil, 200), "Content-Type", "text/plain")
	return http1.AppendHeadEnd(http1.AppendContentLength(b, int64(body)))
}

// Addr is where the node listens.
func (q *BenchNode) Addr() string { return q.listener.Addr().String() }

// Close stops listening.
func (q *BenchNode) Close() error { return q.listener.Close() }

func (q *BenchNode) serveConn(c net.Conn) {
	defer c.Close()
	r := http1.NewRequest(http1.DefaultLimits)
	var buf http1.Buffer
	var out []byte
	for {
		r.Reset()
		n, err := r.Parse(buf.Bytes())
		whole := n + int(max(r.ContentLength(), 0))
		for n == 0 && err == nil || n > 0 && buf.Len() < whole {
			var m int
			if m, err = c.Read(buf.Reserve(2048)); err != nil {
				return
			}
			buf.Commit(m)
			if n == 0 {
				n, err = r.Parse(buf.Bytes())
				whole = n + int(max(r.ContentLength(), 0))
			}
		}
		if err != nil {
			return
		}
		q.inFlight.Add(1)
		path := r.Path()
		out = q.response
		if string(path) == "/api/hold" {
			time.Sleep(BenchHoldTime)
		} else if string(path) == "/load" {
			text := fmt.Sprintf("TEXT inflight=%d, queue=0, util=0.00", q.inFlight.Load()-1)
			out = append(benchResponseHead(len(text)), text...)
		}
		buf.Consume(whole)
		_, err = c.Write(out)
		q.inFlight.Add(-1)
		if err != nil {
			return
		}
	}
}

// BenchCaller asks on one connection, one request after another, and allocates nothing for
// that: what is measured beside it is not its own work.
type BenchCaller struct {
	conn         net.Conn
	requestBytes []byte
	idDigits     []byte // the digits of the request's id and key in text
	keyDigits    []byte
	lastID       uint64
	response     *http1.Response
	buf          http1.Buffer
}

// NewBenchCaller connects to an address. Its requests are of a class, go to a path under /api/,
// carry so many bytes and wait for up to timeout. first is the first of its ids; each caller
// needs its own range.
func NewBenchCaller(addr, class, path string, body int, timeout time.Duration, first uint64) (*BenchCaller, error) {
	c, err := net.Dial("tcp", addr)
	if err != nil {
		return nil, fmt.Errorf("stand-in caller: %w", err)
	}
	q := &BenchCaller{conn: c, lastID: first, response: http1.NewResponse(http1.DefaultLimits)}
	const digits = "0000000000000000"
	b := http1.AppendRequestLine(nil, []byte("POST"), []byte("/api/"+path))
	b = http1.AppendField(b, "Host", "origin.svc")
	b = http1.AppendField(b, "X-Priority-Class", class)
	b = http1.AppendField(b, "X-Timeout", strconv.FormatInt(timeout.Milliseconds(), 10)+"m")
	b = http1.AppendField(b, "X-Request-ID", digits)
	id := len(b) - 2 - len(digits)
	b = http1.AppendField(b, "Idempotency-Key", digits)
	key := len(b) - 2 - len(digits)
	b = append(http1.AppendHeadEnd(http1.AppendContentLength(b, int64(body))), bytes.Repeat([]byte("x"), body)...)
	q.requestBytes, q.idDigits, q.keyDigits = b, b[id:id+len(digits)], b[key:key+len(digits)]
	return q, nil
}

// Do asks once and returns the answer's status.
func (q *BenchCaller) Do() (status int, err error) {
	q.lastID++
	for i, n := len(q.idDigits)-1, q.lastID; i >= 0; i, n = i-1, n>>4 {
		q.idDigits[i] = "0123456789abcdef"[n&15]
	}
	copy(q.keyDigits, q.idDigits)
	if _, err := q.conn.Write(q.requestBytes); err != nil {
		return 0, err
	}
	q.response.Reset()
	q.buf.Reset()
	for head := 0; ; {
		n, err := q.conn.Read(q.buf.Reserve(2048))
		if err != nil {
			return 0, err
		}
		q.buf.Commit(n)
		if head == 0 {
			if head, err = q.response.Parse(q.buf.Bytes()); err != nil {
				return 0, err
			}
			if head == 0 {
				continue
			}
			if q.response.ContentLength() < 0 {
				return 0, errors.New("stand-in caller: an answer without a length")
			}
		}
		switch whole := head + int(q.response.ContentLength()); {
		case q.buf.Len() > whole:
			return 0, errors.New("stand-in caller: more than an answer came")
		case q.buf.Len() == whole:
			return q.response.Status(), nil
		}
	}
}

// Close ends the connection.
func (q *BenchCaller) Close() error { return q.conn.Close() }
