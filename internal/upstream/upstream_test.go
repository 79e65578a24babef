package upstream

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"slices"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"pgregory.net/rapid"

	"barleydrum.example/barleydrum/balance"
	"barleydrum.example/barleydrum/internal/fake"
	"barleydrum.example/barleydrum/internal/http1"
	"barleydrum.example/barleydrum/internal/tcpconn"
)

// testTimeout limits the wait for events that must happen. No test depends on it being short.
const testTimeout = 20 * time.Second

// maxBodyBytes is the length of the longest response body that the pools of these tests accept.
const maxBodyBytes = 64 << 10

func newPool(maxConnections int, connectTimeout, idleTimeout time.Duration) *Pool {
	return NewPool(Config{MaxConnections: maxConnections, ConnectTimeout: connectTimeout, IdleTimeout: idleTimeout,
		ResponseLimits: func() ResponseLimits { return ResponseLimits{HeadBytes: 16 << 10, BufferedBodyBytes: maxBodyBytes} }})
}

func newDefaultPool() *Pool { return newPool(100, 5*time.Second, time.Hour) }

// requestFunc returns a function that appends a request without X-Timeout.
func requestFunc(method, body string) AppendRequestFunc {
	return func(b []byte) ([]byte, int) {
		b = http1.AppendRequestLine(b, []byte(method), []byte("/"))
		b = http1.AppendField(b, "Host", "a")
		b = http1.AppendField(b, "Idempotency-Key", "k")
		return append(http1.AppendHeadEnd(http1.AppendContentLength(b, int64(len(body)))), body...), 0
	}
}

// doExchange runs a new exchange and returns its result and the body of its response.
func doExchange(p *Pool, route *Route, method, body string) (balance.Result, string) {
	x := new(Exchange)
	x.Prepare(p, route, time.Now().Add(testTimeout), requestFunc(method, body))
	return runExchange(x)
}

// runExchange runs a prepared exchange and returns its result and the body of its response.
func runExchange(x *Exchange) (balance.Result, string) {
	x.ConnectAndRun()
	defer x.Release()
	return x.Result(), string(x.ResponseBody())
}

// okResponse returns the text of a 200 response.
func okResponse(body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
}

// timeoutRequestFunc returns a function that appends a request with X-Timeout.
func timeoutRequestFunc(body string) AppendRequestFunc {
	return func(b []byte) ([]byte, int) {
		b = http1.AppendRequestLine(b, []byte("POST"), []byte("/"))
		b = http1.AppendField(b, "Host", "a")
		b = append(http1.AppendContentLength(b, int64(len(body))), "X-Timeout: "...)
		timeoutOffset := len(b)
		return append(http1.AppendHeadEnd(append(b, "\r\n"...)), body...), timeoutOffset
	}
}

// startTimeoutEchoNode starts a node that responds to each request with the value of its X-Timeout. It returns
// the node's address.
func startTimeoutEchoNode(t *testing.T) string {
	return fake.StartTCPServer(t, func(c net.Conn) {
		defer c.Close()
		reader := bufio.NewReader(c)
		for {
			req, err := http.ReadRequest(reader)
			if err != nil {
				return
			}
			if body, err := io.ReadAll(req.Body); err != nil || string(body) != "body" {
				t.Errorf("body %q, %v", body, err)
			}
			io.WriteString(c, okResponse(req.Header.Get("X-Timeout")))
		}
	})
}

// X-Timeout must be the time left when the request is sent, not when it was composed: the exchange may have
// waited for a connection since.
func TestTimeoutFieldIsTimeLeftAtSend(t *testing.T) {
	const requestTimeout, delay = 5 * time.Second, 400 * time.Millisecond
	addr := startTimeoutEchoNode(t)
	for name, prepare := range map[string]func(p *Pool, route *Route) (minWait time.Duration){
		"waits for a connection slot": func(p *Pool, _ *Route) time.Duration {
			p.slots <- struct{}{}
			time.AfterFunc(delay, func() { <-p.slots })
			return delay
		},
		"the idle connection is stale": func(p *Pool, route *Route) time.Duration {
			p.put(newStaleConn(t, p, route))
			return 0
		},
	} {
		t.Run(name, func(t *testing.T) {
			p, route := newPool(1, 5*time.Second, time.Hour), &Route{Addr: addr}
			defer p.CloseIdleConnections(route, false)
			x := new(Exchange)
			deadline := time.Now().Add(requestTimeout)
			x.Prepare(p, route, deadline, timeoutRequestFunc("body"))
			minWait := prepare(p, route)
			got, value := runExchange(x)
			timeout, err := time.ParseDuration(strings.TrimSuffix(value, "u") + "us")
			if got != balance.OK || err != nil {
				t.Fatalf("%v %q %v", got, value, err)
			}
			if excess := timeout - (requestTimeout - minWait); excess > 0 || timeout <= 0 {
				t.Errorf("X-Timeout is %v, which is %v more than was left", timeout, excess)
			}
		})
	}
}

// newStaleConn returns a connection for a route that its other end has closed.
func newStaleConn(t *testing.T, p *Pool, route *Route) *conn {
	t.Helper()
	addr := fake.StartTCPServer(t, func(c net.Conn) { c.Close() })
	p.slots <- struct{}{}
	netConn, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	tcpConn, err := tcpconn.New(netConn, &p.bufs)
	if err != nil {
		t.Fatal(err)
	}
	for tcpConn.ReadWouldBlock() { // until the close has arrived
		time.Sleep(time.Millisecond)
	}
	return &conn{Conn: tcpConn, route: route, pool: p}
}

// A request whose deadline has passed when it is about to be sent must not be sent. That is not the endpoint's
// fault: the result is NotSent, and the connection can be used again.
func TestRequestWithNoTimeLeftIsNotSent(t *testing.T) {
	addr := startTimeoutEchoNode(t)
	p, route := newDefaultPool(), &Route{Addr: addr}
	defer p.CloseIdleConnections(route, false)
	if got, _ := doExchange(p, route, "POST", "body"); got != balance.OK { // leaves an idle connection
		t.Fatal(got)
	}
	x := new(Exchange)
	x.Prepare(p, route, time.Now(), timeoutRequestFunc("body"))
	if got, _ := runExchange(x); got != balance.NotSent {
		t.Errorf("%v, want not sent", got)
	}
	if got, _ := doExchange(p, route, "POST", "body"); got != balance.OK {
		t.Errorf("the connection can't be used again: %v", got)
	}
}

// A retry that waits for a connection until endpoints may have forgotten its idempotency key must not be sent:
// they would run it a second time.
func TestRequestIsNotSentAfterStartDeadline(t *testing.T) {
	const wait = 200 * time.Millisecond // for a connection slot
	p, route := newPool(1, 5*time.Second, time.Hour), &Route{Addr: startTimeoutEchoNode(t)}
	defer p.CloseIdleConnections(route, false)
	x := new(Exchange)
	x.Prepare(p, route, time.Now().Add(testTimeout), timeoutRequestFunc("body"))
	x.SetStartDeadline(time.Now().Add(wait / 2))
	p.slots <- struct{}{}
	time.AfterFunc(wait, func() { <-p.slots })
	if got, _ := runExchange(x); got != balance.NotSent {
		t.Errorf("%v, want not sent", got)
	}
}

// If this machine can't open a connection, that is not the endpoint's fault. Dialing is tried again unless
// descriptors have run out. If it fails in the end, the result is NotSent, not ConnectFailed.
func TestLocalDialErrorsAreNotConnectFailed(t *testing.T) {
	addr := startTimeoutEchoNode(t)
	for _, c := range []struct {
		errno    syscall.Errno
		failures int // of the first dials
		want     balance.Result
	}{
		{syscall.ENETUNREACH, 2, balance.OK},
		{syscall.EADDRNOTAVAIL, 2, balance.OK},
		{syscall.ENOBUFS, 1000, balance.NotSent},
		{syscall.ENFILE, 1000, balance.NotSent},
		{syscall.ECONNREFUSED, 1, balance.ConnectFailed},
		{syscall.EHOSTUNREACH, 1, balance.ConnectFailed},
		{syscall.ETIMEDOUT, 1, balance.ConnectFailed},
	} {
		dials := 0
		p := NewPool(Config{MaxConnections: 10, ConnectTimeout: testTimeout, IdleTimeout: time.Hour,
			ResponseLimits: func() ResponseLimits { return ResponseLimits{HeadBytes: 16 << 10, BufferedBodyBytes: maxBodyBytes} },
			Dial: func(ctx context.Context, network, addr string) (net.Conn, error) {
				if dials++; dials <= c.failures {
					return nil, &net.OpError{Op: "dial", Net: network, Err: os.NewSyscallError("connect", c.errno)}
				}
				return new(net.Dialer).DialContext(ctx, network, addr)
			}})
		route := &Route{Addr: addr}
		if got, _ := doExchange(p, route, "POST", "body"); got != c.want {
			t.Errorf("%v, %d times: %v, want %v", c.errno, c.failures, got, c.want)
		}
		p.CloseIdleConnections(route, false)
	}
}

// ETIMEDOUT reports a broken connection, though net.Error counts it as a timeout. The result must be Reset.
func TestETIMEDOUTIsResetNotTimeout(t *testing.T) {
	x := new(Exchange)
	x.Prepare(newDefaultPool(), &Route{}, time.Now().Add(testTimeout), requestFunc("GET", ""))
	x.fail(true, &net.OpError{Op: "read", Net: "tcp", Err: os.NewSyscallError("read", syscall.ETIMEDOUT)})
	if got := x.Result(); got != balance.Reset {
		t.Errorf("%v, want a reset", got)
	}
}

// HTTP libraries resend by themselves a request that fails on a reused connection, even a POST if it
// has an Idempotency-Key. Here only the balancer may decide on a retry.
func TestFailedRequestIsNotResent(t *testing.T) {
	for _, c := range []struct{ method, body string }{
		{"GET", ""}, {"POST", ""}, {"POST", "x"}, {"POST", strings.Repeat("x", maxBodyBytes)},
	} {
		t.Run(fmt.Sprint(c.method, len(c.body)), func(t *testing.T) {
			var requests atomic.Int32
			addr := fake.StartTCPServer(t, func(c net.Conn) {
				defer c.Close()
				reader := bufio.NewReader(c)
				for n := 0; fake.DiscardRequest(reader) == nil; n++ {
					requests.Add(1)
					if n == 1 { // responds to the first request on this connection, and drops the second
						return
					}
					io.WriteString(c, okResponse("ok"))
				}
			})
			p, route := newDefaultPool(), &Route{Addr: addr}
			defer p.CloseIdleConnections(route, false)
			if got, body := doExchange(p, route, c.method, c.body); got != balance.OK || body != "ok" {
				t.Fatalf("first: %d %q", got, body)
			}
			if got, _ := doExchange(p, route, c.method, c.body); got != balance.Reset {
				t.Errorf("second: %d, want a reset", got)
			}
			if n := requests.Load(); n != 2 {
				t.Errorf("%d requests received, want 2", n)
			}
		})
	}
}

// Guards against a fault: data that arrived on a connection after a response, or while the connection was
// idle, was read as the response to the next request. The second request must get its own response.
func TestUnsolicitedDataIsNotTakenAsResponse(t *testing.T) {
	for name, extra := range map[string]string{"second response": okResponse("first"), "garbage": "\x00\xff", "none": ""} {
		for _, delayed := range []bool{false, true} {
			responded := make(chan struct{}, 2)
			var conns atomic.Int32
			addr := fake.StartTCPServer(t, func(c net.Conn) {
				defer c.Close()
				body := "first"
				if conns.Add(1) > 1 {
					body = "second"
				}
				reader := bufio.NewReader(c)
				for fake.DiscardRequest(reader) == nil {
					if delayed {
						io.WriteString(c, okResponse(body))
						time.Sleep(time.Millisecond)
						io.WriteString(c, extra)
					} else {
						io.WriteString(c, okResponse(body)+extra)
					}
					responded <- struct{}{}
					body = "second"
				}
			})
			p, route := newDefaultPool(), &Route{Addr: addr}
			for _, want := range []string{"first", "second"} {
				if got, body := doExchange(p, route, "POST", "x"); got != balance.OK || body != want {
					t.Errorf("%s, delayed %v: %d %q, want %q", name, delayed, got, body, want)
				}
				select {
				case <-responded:
				case <-time.After(testTimeout):
					t.Fatal("no response")
				}
			}
			p.CloseIdleConnections(route, false)
			if n := conns.Load(); extra == "" && n != 1 || extra != "" && n != 2 {
				t.Errorf("%s, delayed %v: %d connections", name, delayed, n)
			}
		}
	}
}

// If all slots are in use, the longest idle connection is closed. If none is idle, the request is
// not sent, which is not the endpoint's fault.
func TestDialEvictsLongestIdleConnection(t *testing.T) {
	handler := func(w http.ResponseWriter, _ *http.Request) { io.WriteString(w, "ok") }
	p := newPool(2, 50*time.Millisecond, time.Hour)
	var routes [3]*Route
	for i := range routes {
		routes[i] = &Route{Addr: fake.StartHTTPServer(t, handler)}
		defer p.CloseIdleConnections(routes[i], false)
	}
	for i, route := range routes {
		if got, _ := doExchange(p, route, "POST", ""); got != balance.OK {
			t.Errorf("endpoint %d: result %d", i, got)
		}
	}
	if c := p.takeIdle(routes[0]); c != nil {
		t.Error("the longest idle connection is still open")
	}
	inUse := []*conn{p.takeIdle(routes[1]), p.takeIdle(routes[2])}
	if inUse[0] == nil || inUse[1] == nil {
		t.Fatal("another idle connection was closed")
	}
	if got, _ := doExchange(p, routes[0], "POST", ""); got != balance.NotSent {
		t.Errorf("result %d with no free slot, want %d", got, balance.NotSent)
	}
	for _, c := range inUse {
		c.Close()
	}
	if got, _ := doExchange(p, routes[0], "POST", ""); got != balance.OK {
		t.Errorf("result %d with free slots", got)
	}
}

// Idle connections are closed after the idle timeout, before the endpoint closes them. This includes
// connections that become idle later than the first.
func TestIdleConnectionsExpire(t *testing.T) {
	p := newPool(100, 5*time.Second, 20*time.Millisecond)
	route := &Route{Addr: fake.StartTCPServer(t, func(c net.Conn) { io.Copy(io.Discard, c) })}
	for range 3 {
		for range 2 {
			c, err := p.dial(context.Background(), route)
			if err != nil {
				t.Fatal(err)
			}
			p.put(c)
			time.Sleep(5 * time.Millisecond)
		}
		for deadline := time.Now().Add(testTimeout); p.OpenConnections() > 0; time.Sleep(time.Millisecond) {
			if time.Now().After(deadline) {
				t.Fatalf("%d connections are still open", p.OpenConnections())
			}
		}
	}
}

// startReplyNode starts a node that responds to one request on each connection with text, and closes the
// connection. It returns the node's address.
func startReplyNode(t *testing.T, text string) string {
	return fake.StartTCPServer(t, func(c net.Conn) {
		defer c.Close()
		if fake.DiscardRequest(bufio.NewReader(c)) == nil {
			io.WriteString(c, text)
		}
	})
}

// startEndlessNode starts a node that responds with start and then repeats block without end, on a connection
// that stays open. It returns the node's address.
func startEndlessNode(t *testing.T, start, block string) string {
	return fake.StartTCPServer(t, func(c net.Conn) {
		defer c.Close()
		if fake.DiscardRequest(bufio.NewReader(c)) != nil {
			return
		}
		repeatedBlock := []byte(strings.Repeat(block, 1000))
		for _, err := io.WriteString(c, start); err == nil; {
			_, err = c.Write(repeatedBlock)
		}
	})
}

// A request is sent again if its result proves that it never ran. An exchange whose request may have
// run must not have such a result.
func TestExchangeResults(t *testing.T) {
	received := make(chan struct{}, 1)
	startStallingNode := func(text string, received chan struct{}) string { // keeps the connection open after text
		return fake.StartTCPServer(t, func(c net.Conn) {
			reader := bufio.NewReader(c)
			if fake.DiscardRequest(reader) == nil {
				io.WriteString(c, text)
				if received != nil {
					received <- struct{}{}
				}
			}
			io.Copy(io.Discard, reader)
		})
	}
	silentAddr, halfResponseAddr := startStallingNode("", nil), startStallingNode("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok", nil)
	cases := map[string]struct {
		addr string
		want balance.Result
	}{
		"served":          {startReplyNode(t, okResponse("ok")), balance.OK},
		"empty":           {startReplyNode(t, okResponse("")), balance.OK},
		"chunks":          {startReplyNode(t, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1;a=b\r\no\r\n1\r\nk\r\n0\r\nX: y\r\n\r\n"), balance.OK},
		"error":           {startReplyNode(t, "HTTP/1.1 500 Oops\r\nContent-Length: 0\r\n\r\n"), balance.Error},
		"204":             {startReplyNode(t, "HTTP/1.1 204 No\r\n\r\n"), balance.Error},
		"503":             {startReplyNode(t, "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n"), balance.Error},
		"503 not run":     {startReplyNode(t, "HTTP/1.1 503 Busy\r\nX-Not-Processed: 1\r\nContent-Length: 0\r\n\r\n"), balance.Rejected},
		"504 not run":     {startReplyNode(t, "HTTP/1.1 504 Late\r\nX-Not-Processed: 1\r\nContent-Length: 0\r\n\r\n"), balance.Rejected},
		"500 not run":     {startReplyNode(t, "HTTP/1.1 500 Oops\r\nX-Not-Processed: 1\r\nContent-Length: 0\r\n\r\n"), balance.Error},
		"no response":     {startReplyNode(t, ""), balance.Reset},
		"half a head":     {startReplyNode(t, "HTTP/1.1 200 OK\r\nContent-Le"), balance.Reset},
		"short body":      {startReplyNode(t, "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok"), balance.Reset},
		"short chunk":     {startReplyNode(t, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nok"), balance.Reset},
		"no last chunk":   {startReplyNode(t, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n"), balance.Reset},
		"bad chunk":       {startReplyNode(t, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nx\r\nok"), balance.Error},
		"bad trailer":     {startReplyNode(t, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\nContent-Length: 5\r\n\r\n"), balance.Error},
		"not HTTP":        {startReplyNode(t, "hello\r\n"), balance.Error},
		"oversized":       {startReplyNode(t, "HTTP/1.1 200 OK\r\nContent-Length: 70000\r\n\r\n"+strings.Repeat("x", 70000)), balance.Error},
		"3 GB":            {startEndlessNode(t, "HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\n", "x"), balance.Error},
		"endless head":    {startEndlessNode(t, "HTTP/1.1 200 OK\r\n", "X-A: b\r\n"), balance.Error},
		"endless line":    {startEndlessNode(t, "HTTP/1.1 200 OK\r\nX: ", "x"), balance.Error},
		"endless chunks":  {startEndlessNode(t, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "1\r\nx\r\n"), balance.Error},
		"endless trailer": {startEndlessNode(t, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", "X: y\r\n"), balance.Error},
		"endless size":    {startEndlessNode(t, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0;", "x"), balance.Error},
		"endless 1xx":     {startEndlessNode(t, "", "HTTP/1.1 102 Wait\r\n\r\n"), balance.Error},
		"endless garbage": {startEndlessNode(t, "", "\x00\xff"), balance.Error},
		"endless body":    {startEndlessNode(t, "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n", "x"), balance.Error},
		"some 1xx":        {startReplyNode(t, strings.Repeat("HTTP/1.1 103 Early Hints\r\n\r\n", 3)+okResponse("ok")), balance.OK},
		"100 1xx":         {startReplyNode(t, strings.Repeat("HTTP/1.1 100 Continue\r\n\r\n", 100)+okResponse("ok")), balance.Error},
		"protocol change": {startReplyNode(t, "HTTP/1.1 101 Switching\r\n\r\nok"), balance.Error},
		"two lengths":     {startReplyNode(t, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 2\r\n\r\nok"), balance.Error},
		"both lengths":    {startReplyNode(t, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n"), balance.Error},
		"negative length": {startReplyNode(t, "HTTP/1.1 200 OK\r\nContent-Length: -2\r\n\r\nok"), balance.Error},
		"no length":       {startReplyNode(t, "HTTP/1.1 200 OK\r\n\r\nok"), balance.Error},
		"until the close": {startReplyNode(t, "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nok"), balance.OK},
		"bad report":      {startReplyNode(t, "HTTP/1.1 200 OK\r\nX-Server-Load: TEXT inflight=?\r\nContent-Length: 2\r\n\r\nok"), balance.OK},
		"silent":          {silentAddr, balance.Timeout},
		"silent mid-body": {halfResponseAddr, balance.Timeout},
		"canceled":        {startStallingNode("", received), balance.Canceled},
		"canceled unsent": {silentAddr, balance.NotSent},
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	refusingAddr := l.Addr().String() // chosen after all nodes listen, so that none of them gets its port
	l.Close()
	cases["refused"] = struct {
		addr string
		want balance.Result
	}{refusingAddr, balance.ConnectFailed}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			p, x := newDefaultPool(), new(Exchange)
			x.Prepare(p, &Route{Addr: c.addr}, time.Now().Add(testTimeout), requestFunc("POST", "body"))
			switch name {
			case "canceled unsent":
				x.CancelUnsent()
			case "silent", "silent mid-body":
				x.deadline = time.Now().Add(50 * time.Millisecond)
			case "canceled":
				go func() {
					<-received
					x.Cancel(ErrCanceled)
				}()
			}
			got, body := runExchange(x)
			if got != c.want || got == balance.OK && body != "ok" && name != "empty" {
				t.Errorf("result %d, want %d; body %q", got, c.want, body)
			}
			if n := p.OpenConnections(); got != balance.OK && n != 0 && name[0] != '5' && name != "error" && name != "204" {
				t.Errorf("%d connections are still open", n)
			}
		})
	}
}

// A request that is canceled before it is sent must not be written to a connection that is already open for it.
func TestCanceledUnsentRequestWritesNothing(t *testing.T) {
	bytesRead := make(chan int, 1)
	addr := fake.StartTCPServer(t, func(c net.Conn) {
		defer c.Close()
		n, _ := c.Read(make([]byte, 1))
		bytesRead <- n
	})
	p, route, x := newDefaultPool(), &Route{Addr: addr}, new(Exchange)
	x.Prepare(p, route, time.Now().Add(testTimeout), requestFunc("POST", "body"))
	if !x.Dial() {
		t.Fatal(x.Result())
	}
	x.CancelUnsent()
	if x.Run(); x.Result() != balance.NotSent {
		t.Errorf("result %d, want %d", x.Result(), balance.NotSent)
	}
	p.CloseIdleConnections(route, false)
	if n := <-bytesRead; n != 0 {
		t.Error("the request was written")
	}
}

// If an endpoint leaves service while the idle connection to it turns out to be stale, the request
// must not be sent on another connection.
func TestCancelUnsentOnStaleConnection(t *testing.T) {
	addr := fake.StartHTTPServer(t, func(w http.ResponseWriter, r *http.Request) {
		if r.ContentLength > 0 {
			t.Error("the request was sent after CancelUnsent")
		}
	})
	p, route, x := newDefaultPool(), &Route{Addr: addr}, new(Exchange)
	defer p.CloseIdleConnections(route, false)
	if got, _ := doExchange(p, route, "POST", ""); got != balance.OK {
		t.Fatal(got)
	}
	x.Prepare(p, route, time.Now().Add(testTimeout), requestFunc("POST", "body"))
	if !x.TakeIdleConn() || !x.bindConn() {
		t.Fatal("no idle connection")
	}
	x.CancelUnsent() // while the connection is found to be stale
	x.dropStaleConn()
	if x.ConnectAndRun(); x.Result() != balance.NotSent {
		t.Errorf("result %d, want %d", x.Result(), balance.NotSent)
	}
}

// A connection that breaks before the last byte of the request is written proves that the request
// never ran, even if a response has arrived by then: it can't be to the complete request.
func TestConnectionResetWhileWriting(t *testing.T) {
	for name, early := range map[string]string{"no response": "", "a response": okResponse("early")} {
		addr := fake.StartTCPServer(t, func(c net.Conn) {
			c.Read(make([]byte, 10))
			io.WriteString(c, early)
			c.(*net.TCPConn).SetLinger(0)
			c.Close()
		})
		p := newDefaultPool()
		x := new(Exchange)
		// The body is longer than the buffers of both sockets can hold.
		x.Prepare(p, &Route{Addr: addr}, time.Now().Add(testTimeout), requestFunc("POST", strings.Repeat("x", 16<<20)))
		if got, _ := runExchange(x); got != balance.ConnectFailed {
			t.Errorf("%s: result %d, want %d", name, got, balance.ConnectFailed)
		}
	}
}

// A response that arrives before the endpoint has read the request is valid if the endpoint reads the
// rest of the request.
func TestResponseBeforeRequestIsRead(t *testing.T) {
	addr := fake.StartTCPServer(t, func(c net.Conn) {
		defer c.Close()
		c.Read(make([]byte, 10))
		io.WriteString(c, okResponse("ok"))
		io.Copy(io.Discard, c)
	})
	p, route := newDefaultPool(), &Route{Addr: addr}
	defer p.CloseIdleConnections(route, false)
	if got, body := doExchange(p, route, "POST", strings.Repeat("x", 4<<20)); got != balance.OK || body != "ok" {
		t.Errorf("result %d %q", got, body)
	}
}

// If an endpoint sends data on a new connection, or closes it, before the request is sent, that is no
// response to the request, which has not run.
func TestDataBeforeRequestOnNewConnection(t *testing.T) {
	for name, text := range map[string]string{"a response": okResponse("stray"), "close": ""} {
		sent := make(chan struct{})
		addr := fake.StartTCPServer(t, func(c net.Conn) {
			defer c.Close()
			if io.WriteString(c, text); text == "" {
				c.(*net.TCPConn).CloseWrite()
			}
			close(sent)
			io.Copy(io.Discard, c)
		})
		x := new(Exchange)
		x.Prepare(newDefaultPool(), &Route{Addr: addr}, time.Now().Add(testTimeout), requestFunc("POST", "x"))
		if !x.Dial() {
			t.Fatal(x.Result())
		}
		<-sent
		for x.conn.ReadWouldBlock() { // until it has arrived
			time.Sleep(time.Millisecond)
		}
		if x.Run(); x.Result() != balance.ConnectFailed {
			t.Errorf("%s: result %d, want %d", name, x.Result(), balance.ConnectFailed)
		}
	}
}

// A response may arrive in two parts, divided at any offset, and reading may be interrupted between
// them: the next Run, which may be another goroutine's, must continue there.
func TestInterruptAtAnyOffset(t *testing.T) {
	for name, text := range map[string]string{
		"length": "HTTP/1.1 103 Hints\r\n\r\n" + okResponse("0123456789"),
		"chunks": "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\n012\r\n7\r\n3456789\r\n0\r\n\r\n",
		"close":  "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n0123456789",
	} {
		for cut := range len(text) + 1 {
			sendRest := make(chan struct{})
			addr := fake.StartTCPServer(t, func(c net.Conn) {
				defer c.Close()
				if fake.DiscardRequest(bufio.NewReader(c)) == nil {
					io.WriteString(c, text[:cut])
					<-sendRest
					io.WriteString(c, text[cut:])
				}
			})
			p, route, x := newDefaultPool(), &Route{Addr: addr}, new(Exchange)
			x.Prepare(p, route, time.Now().Add(testTimeout), requestFunc("POST", "x"))
			if !x.Dial() {
				t.Fatal(x.Result())
			}
			go func() {
				x.Interrupt() // at whatever point Run has reached
				close(sendRest)
			}()
			for x.Run() != Ended {
			}
			if got := string(x.ResponseBody()); x.Result() != balance.OK || got != "0123456789" {
				t.Fatalf("%s, cut at %d: %d %q", name, cut, x.Result(), got)
			}
			p.CloseIdleConnections(route, false)
		}
	}
}

// Run is interrupted while it writes a request that the endpoint does not read yet. The next Run must
// write the rest.
func TestInterruptWhileWriting(t *testing.T) {
	const bodyBytes = 16 << 20
	startReading := make(chan struct{})
	addr := fake.StartTCPServer(t, func(c net.Conn) {
		defer c.Close()
		<-startReading
		if fake.DiscardRequest(bufio.NewReader(c)) == nil {
			io.WriteString(c, okResponse("ok"))
		}
	})
	p, route, x := newDefaultPool(), &Route{Addr: addr}, new(Exchange)
	defer p.CloseIdleConnections(route, false)
	x.Prepare(p, route, time.Now().Add(testTimeout), requestFunc("POST", strings.Repeat("x", bodyBytes)))
	if !x.Dial() {
		t.Fatal(x.Result())
	}
	interrupted := make(chan bool)
	go func() { interrupted <- x.Run() == Interrupted }()
	for done := false; !done; {
		x.Interrupt()
		select {
		case done = <-interrupted:
			if !done {
				t.Fatalf("Run was not interrupted: result %d", x.Result())
			}
		case <-time.After(time.Millisecond): // Run may not have started yet
		}
	}
	close(startReading)
	for x.Run() != Ended {
	}
	if got := string(x.ResponseBody()); x.Result() != balance.OK || got != "ok" {
		t.Errorf("%d %q", x.Result(), got)
	}
}

// A connection that the endpoint closes after its response must not be used again.
func TestConnectionClosedAfterResponseIsNotReused(t *testing.T) {
	var conns atomic.Int32
	closed := make(chan struct{}, 2)
	addr := fake.StartTCPServer(t, func(c net.Conn) {
		conns.Add(1)
		if fake.DiscardRequest(bufio.NewReader(c)) == nil {
			io.WriteString(c, okResponse("ok"))
		}
		c.Close()
		closed <- struct{}{}
	})
	p, route := newDefaultPool(), &Route{Addr: addr}
	for range 2 {
		if got, _ := doExchange(p, route, "POST", "x"); got != balance.OK {
			t.Errorf("result %d", got)
		}
		<-closed
	}
	if n := conns.Load(); n != 2 {
		t.Errorf("%d connections, want 2", n)
	}
}

// nopConn is a connection without a socket. Only Close may be called.
type nopConn struct{ net.Conn }

func (nopConn) Close() error { return nil }

// The pool's idle connections are compared with a plain list of them: takeIdle must return the most
// recently used one of the route, takeOldestIdle the longest idle one of all, and the pool's list of
// all idle connections must agree with those of the routes.
func TestPoolModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := newPool(1000, time.Second, time.Hour)
		routes := []*Route{{Addr: "a"}, {Addr: "b"}, {Addr: "c"}}
		var model []*conn // idle connections, the longest idle first
		t.Repeat(map[string]func(*rapid.T){
			"put": func(t *rapid.T) {
				p.slots <- struct{}{}
				c := &conn{Conn: &tcpconn.Conn{Conn: nopConn{}}, route: rapid.SampledFrom(routes).Draw(t, "route"), pool: p}
				p.put(c)
				if !c.route.closed {
					model = append(model, c)
				}
			},
			"take": func(t *rapid.T) {
				route := rapid.SampledFrom(routes).Draw(t, "route")
				var want *conn
				for i := len(model) - 1; i >= 0 && want == nil; i-- {
					if model[i].route == route {
						want = model[i]
						model = slices.Delete(model, i, i+1)
					}
				}
				got := p.takeIdle(route)
				if got != want {
					t.Fatalf("took %p, want %p", got, want)
				}
				if got != nil {
					got.Close()
				}
			},
			"takeOldest": func(t *rapid.T) {
				var want *conn
				if len(model) > 0 {
					want, model = model[0], model[1:]
				}
				got := p.takeOldestIdle()
				if got != want {
					t.Fatalf("took oldest %p, want %p", got, want)
				}
				if got != nil {
					got.Close()
				}
			},
			"release": func(t *rapid.T) {
				i := rapid.IntRange(0, len(routes)-1).Draw(t, "route")
				keepRoute := rapid.Bool().Draw(t, "keepRoute")
				p.CloseIdleConnections(routes[i], keepRoute)
				model = slices.DeleteFunc(model, func(c *conn) bool { return c.route == routes[i] })
				if !keepRoute { // a new process has a route of its own
					routes[i] = &Route{Addr: routes[i].Addr}
				}
			},
			"": func(t *rapid.T) {
				idleByRoute, idle := 0, 0
				for _, route := range routes {
					idleByRoute += len(route.idle)
				}
				for c := p.oldestIdle; c != nil; c = c.next {
					idle++
				}
				if idle != len(model) || idleByRoute != len(model) || p.OpenConnections() != len(model) {
					t.Fatalf("%d idle, %d by route, %d slots, want %d", idle, idleByRoute, p.OpenConnections(), len(model))
				}
			},
		})
	})
}

// Whatever an endpoint sends, the exchange must end and must not leak its connection. A result of OK
// requires a complete response with status 200.
func FuzzExchange(f *testing.F) {
	for _, text := range []string{
		okResponse("ok"), "HTTP/1.1 100 Go\r\n\r\n" + okResponse(""), "HTTP/1.0 200\r\n\r\nx",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n\r\n",
		"HTTP/1.1 503 Busy\r\nX-Not-Processed: 1\r\n\r\n", "", "\r\n\r\n", "HTTP/1.1 200 OK\r\nContent-Length: 99999999999\r\n\r\n",
	} {
		f.Add([]byte(text))
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		f.Fatal(err)
	}
	f.Cleanup(func() { l.Close() })
	f.Fuzz(func(t *testing.T, text []byte) {
		go func() {
			c, err := l.Accept()
			if err != nil {
				return
			}
			defer c.Close()
			if fake.DiscardRequest(bufio.NewReader(c)) == nil {
				c.Write(text)
			}
		}()
		p, route := newDefaultPool(), &Route{Addr: l.Addr().String()}
		got, body := doExchange(p, route, "POST", "x")
		if len(body) > maxBodyBytes || got == balance.ConnectFailed || got == balance.NotSent ||
			got == balance.OK && !strings.Contains(string(text), " 200") {
			t.Errorf("%q: result %d, %d bytes", text, got, len(body))
		}
		p.CloseIdleConnections(route, false)
		if p.OpenConnections() > 0 {
			t.Errorf("%q: the connection is still open", text)
		}
	})
}

// The fields of a load report that is accepted must be numbers of at least -1, which stands for a missing field.
func FuzzParseLoad(f *testing.F) {
	f.Add("TEXT busy_reqs=7, pending=2, cpu_share=0.61")
	f.Add("TEXT inflight=")
	f.Fuzz(func(t *testing.T, text string) {
		if l, ok := parseLoad([]byte(text)); ok && !(l.InFlight >= -1 && l.Queued >= -1 && l.Utilization >= -1) {
			t.Errorf("%q: %+v", text, l)
		}
	})
}

// Guards against a fault: a load report whose field names were not recognized was read as empty, and then no
// endpoint counted as idle.
func TestParseLoad(t *testing.T) {
	for _, text := range []string{"TEXT busy_reqs=7, pending=2, cpu_share=0.61", "TEXT inflight=7, queue=2, util=0.61\r\n"} {
		l, ok := parseLoad([]byte(text))
		if !ok || l.InFlight != 7 || l.Queued != 2 || l.Utilization != 0.61 || l.ServedPerSecond != -1 {
			t.Errorf("%q: %+v", text, l)
		}
	}
	for _, text := range []string{"", "ok", "busy_reqs=1", "TEXT busy_reqs", "TEXT busy_reqs=x", "TEXT busy_reqs=-1", "TEXT busy_reqs=NaN"} {
		if l, ok := parseLoad([]byte(text)); ok {
			t.Errorf("%q: %+v, want none", text, l)
		}
	}
}
