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

// BenchNode is a node for benchmarks. It responds at once and does as little work as possible, so that
// its own work does not distort the measurement of the program in front of it. It responds to a
// request to /api/hold after BenchHoldTime.
type BenchNode struct {
	listener net.Listener
	response []byte // head and body
	inFlight atomic.Int64
}

// BenchHoldTime is how long a BenchNode delays its response to a request to /api/hold.
const BenchHoldTime = 1200 * time.Millisecond

// NewBenchNode starts a node on a free loopback port. Its responses have a body of bodyBytes bytes.
func NewBenchNode(bodyBytes int) (*BenchNode, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("fake node: %w", err)
	}
	node := &BenchNode{listener: l}
	node.response = append(benchResponseHead(bodyBytes), bytes.Repeat([]byte("x"), bodyBytes)...)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go node.serveConn(c)
		}
	}()
	return node, nil
}

// benchResponseHead returns the head of a response with status 200 and a body of bodyBytes bytes.
func benchResponseHead(bodyBytes int) []byte {
	b := http1.AppendField(http1.AppendStatusLine(nil, 200), "Content-Type", "text/plain")
	return http1.AppendHeadEnd(http1.AppendContentLength(b, int64(bodyBytes)))
}

// Addr returns the address that the node listens on.
func (n *BenchNode) Addr() string { return n.listener.Addr().String() }

// Close closes the listener. Open connections are still served.
func (n *BenchNode) Close() error { return n.listener.Close() }

// serveConn responds to the requests of a connection until it fails or a request is malformed.
func (n *BenchNode) serveConn(c net.Conn) {
	defer c.Close()
	r := http1.NewRequest(http1.DefaultLimits)
	var buf http1.Buffer
	var response []byte
	for {
		r.Reset()
		headBytes, err := r.Parse(buf.Bytes())
		requestBytes := headBytes + int(max(r.ContentLength(), 0))
		for headBytes == 0 && err == nil || headBytes > 0 && buf.Len() < requestBytes {
			var readBytes int
			if readBytes, err = c.Read(buf.Reserve(2048)); err != nil {
				return
			}
			buf.Commit(readBytes)
			if headBytes == 0 {
				headBytes, err = r.Parse(buf.Bytes())
				requestBytes = headBytes + int(max(r.ContentLength(), 0))
			}
		}
		if err != nil {
			return
		}
		n.inFlight.Add(1)
		path := r.Path()
		response = n.response
		if string(path) == "/api/hold" {
			time.Sleep(BenchHoldTime)
		} else if string(path) == "/load" {
			text := fmt.Sprintf("TEXT inflight=%d, queue=0, util=0.00", n.inFlight.Load()-1)
			response = append(benchResponseHead(len(text)), text...)
		}
		buf.Consume(requestBytes)
		_, err = c.Write(response)
		n.inFlight.Add(-1)
		if err != nil {
			return
		}
	}
}

// BenchCaller is a caller for benchmarks: it sends one request after another on one connection. Do does
// not allocate, so that the caller's own work does not distort the measurement of the program that it
// sends to. A BenchCaller must not be used by several goroutines at the same time.
type BenchCaller struct {
	conn         net.Conn
	requestBytes []byte // head and body; the digits of the IDs are overwritten for each request
	idDigits     []byte // part of requestBytes: the request ID
	keyDigits    []byte // part of requestBytes: the idempotency key
	lastID       uint64
	response     *http1.Response
	buf          http1.Buffer
}

// NewBenchCaller connects to an address. Do will send requests of the class to /api/ and path, with a
// body of bodyBytes bytes and timeout as their X-Timeout. The request IDs and idempotency keys count up
// from baseID+1 in hexadecimal digits; each BenchCaller of a run needs a range of its own.
func NewBenchCaller(addr, class, path string, bodyBytes int, timeout time.Duration, baseID uint64) (*BenchCaller, error) {
	c, err := net.Dial("tcp", addr)
	if err != nil {
		return nil, fmt.Errorf("fake caller: %w", err)
	}
	caller := &BenchCaller{conn: c, lastID: baseID, response: http1.NewResponse(http1.DefaultLimits)}
	const digits = "0000000000000000"
	b := http1.AppendRequestLine(nil, []byte("POST"), []byte("/api/"+path))
	b = http1.AppendField(b, "Host", "origin.svc")
	b = http1.AppendField(b, "X-Priority-Class", class)
	b = http1.AppendField(b, "X-Timeout", strconv.FormatInt(timeout.Milliseconds(), 10)+"m")
	b = http1.AppendField(b, "X-Request-ID", digits)
	idOffset := len(b) - 2 - len(digits) // 2 for the CRLF after the value
	b = http1.AppendField(b, "Idempotency-Key", digits)
	keyOffset := len(b) - 2 - len(digits)
	b = append(http1.AppendHeadEnd(http1.AppendContentLength(b, int64(bodyBytes))), bytes.Repeat([]byte("x"), bodyBytes)...)
	caller.requestBytes, caller.idDigits, caller.keyDigits = b, b[idOffset:idOffset+len(digits)], b[keyOffset:keyOffset+len(digits)]
	return caller, nil
}

// Do sends the next request, waits for the response with its whole body, and returns its status. It
// fails if the response has no Content-Length or is followed by further bytes. There is no timeout on
// the caller's side.
func (c *BenchCaller) Do() (status int, err error) {
	c.lastID++
	for i, n := len(c.idDigits)-1, c.lastID; i >= 0; i, n = i-1, n>>4 {
		c.idDigits[i] = "0123456789abcdef"[n&15]
	}
	copy(c.keyDigits, c.idDigits)
	if _, err := c.conn.Write(c.requestBytes); err != nil {
		return 0, err
	}
	c.response.Reset()
	c.buf.Reset()
	for headBytes := 0; ; {
		n, err := c.conn.Read(c.buf.Reserve(2048))
		if err != nil {
			return 0, err
		}
		c.buf.Commit(n)
		if headBytes == 0 {
			if headBytes, err = c.response.Parse(c.buf.Bytes()); err != nil {
				return 0, err
			}
			if headBytes == 0 {
				continue
			}
			if c.response.ContentLength() < 0 {
				return 0, errors.New("fake caller: response has no Content-Length")
			}
		}
		switch responseBytes := headBytes + int(c.response.ContentLength()); {
		case c.buf.Len() > responseBytes:
			return 0, errors.New("fake caller: unexpected bytes after the response")
		case c.buf.Len() == responseBytes:
			return c.response.Status(), nil
		}
	}
}

// Close closes the connection.
func (c *BenchCaller) Close() error { return c.conn.Close() }
