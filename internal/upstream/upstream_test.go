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

// testTimeout is how long a test waits for what must happen: no verdict leans on it being short.
const testTimeout = 20 * time.Second

// maxBodyBytes is the longest body of an answer here.
const maxBodyBytes = 64 << 10

func newPool(connections int, connect, keepAlive time.Duration) *Pool {
	return NewPool(Config{MaxConnections: connections, ConnectTimeout: connect, IdleTimeout: keepAlive,
		ResponseLimits: func() ResponseLimits { return ResponseLimits{HeadBytes: 16 << 10, BufferedBodyBytes: maxBodyBytes} }})
}

func newDefaultPool() *Pool { return newPool(100, 5*time.Second, time.Hour) }

// appendRequest is a request's text.
func appendRequest(method, body string) AppendRequestFunc {
	return func(b []byte) ([]byte, int) {
		b = http1.AppendRequestLine(b, []byte(method), []byte("/"))
		b = http1.AppendField(b, "Host", "a")
		b = http1.AppendField(b, "Idempotency-Key", "k")
		return append(http1.AppendHeadEnd(http1.AppendContentLength(b, int64(len(body)))), body...), 0
	}
}

// doExchange carries out an exchange and returns how it ended and the body of its answer.
func doExchange(p *Pool, to *Route, method, body string) (balance.Result, string) {
	x := new(Exchange)
	x.Prepare(p, to, time.Now().Add(testTimeout), appendRequest(method, body))
	return runExchange(x)
}

func runExchange(x *Exchange) (balance.Result, string) {
	x.ConnectAndRun()
	defer x.Release()
	return x.Result(), string(x.ResponseBody())
}

func okResponse(body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
}

// appendRequestWithTimeout is the text of a request that tells how long it will be waited for.
func appendRequestWithTimeout(body string) AppendRequestFunc {
	return func(b []byte) ([]byte, int) {
		b = http1.AppendRequestLine(b, []byte("POST"), []byte("/"))
		b = http1.AppendField(b, "Host", "a")
		b = append(http1.AppendContentLength(b, int64(len(body))), "X-Timeout: "...)
		at := len(b)
		return append(http1.AppendHeadEnd(append(b, "\r\n"...)), body...), at
	}
}

// startTimeoutEchoNode answers each request with the X-Timeout that it was told.
func startTimeoutEchoNode(t *testing.T) string {
	return fake.StartTCPServer(t, func(c net.Conn) {
		defer c.Close()
		in := bufio.NewReader(c)
		for {
			req, err := http.ReadRequest(in)
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

func TestTimeoutFieldIsTimeLeftAtSend(t *testing.T) {
	const patience, delay = 5 * time.Second, 400 * time.Millisecond
	addr := startTimeoutEchoNode(t)
	for name, prepare := range map[string]func(p *Pool, to *Route) (waits time.Duration){
		"a connection is waited for": func(p *Pool, _ *Route) time.Duration {
			p.slots <- struct{}{}
			time.AfterFunc(delay, func() { <-p.slots })
			return delay
		},
		"the first connection is stale": func(p *Pool, to *Route) time.Duration {
			p.put(newStaleConn(t, p, to))
			return 0
		},
	} {
		t.Run(name, func(t *testing.T) {
			p, to := newPool(1, 5*time.Second, time.Hour), &Route{Addr: addr}
			defer p.CloseIdleConnections(to, false)
			x := new(Exchange)
			until := time.Now().Add(patience)
			x.Prepare(p, to, until, appendRequestWithTimeout("body"))
			waits := prepare(p, to)
			got, value := runExchange(x)
			told, err := time.ParseDuration(strings.TrimSuffix(value, "u") + "us")
			if got != balance.OK || err != nil {
				t.Fatalf("%v %q %v", got, value, err)
			}
			if late := told - (patience - waits); late > 0 || told <= 0 {
				t.Errorf("told %v, which is %v more than was left", told, late)
			}
		})
	}
}

// newStaleConn is a connection to a route whose other end has closed it.
func newStaleConn(t *testing.T, p *Pool, to *Route) *conn {
	t.Helper()
	addr := fake.StartTCPServer(t, func(c net.Conn) { c.Close() })
	p.slots <- struct{}{}
	nc, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	s, err := tcpconn.New(nc, &p.bufs)
	if err != nil {
		t.Fatal(err)
	}
	for s.ReadWouldBlock() { // until the end has come
		time.Sleep(time.Millisecond)
	}
	return &conn{Conn: s, route: to, pool: p}
}

func TestRequestWithNoTimeLeftIsNotSent(t *testing.T) {
	addr := startTimeoutEchoNode(t)
	p, to := newDefaultPool(), &Route{Addr: addr}
	defer p.CloseIdleConnections(to, false)
	if got, _ := doExchange(p, to, "POST", "body"); got != balance.OK { // so that a connection is at hand
		t.Fatal(got)
	}
	x := new(Exchange)
	x.Prepare(p, to, time.Now(), appendRequestWithTimeout("body"))
	if got, _ := runExchange(x); got != balance.NotSent {
		t.Errorf("%v, want not sent", got)
	}
	if got, _ := doExchange(p, to, "POST", "body"); got != balance.OK {
		t.Errorf("the connection is of no more use: %v", got)
	}
}

func TestRequestIsNotSentAfterStartDeadline(t *testing.T) {
	const wait = 200 * time.Millisecond // for a connection
	p, to := newPool(1, 5*time.Second, time.Hour), &Route{Addr: startTimeoutEchoNode(t)}
	defer p.CloseIdleConnections(to, false)
	x := new(Exchange)
	x.Prepare(p, to, time.Now().Add(testTimeout), appendRequestWithTimeout("body"))
	x.SetStartDeadline(time.Now().Add(wait / 2))
	p.slots <- struct{}{}
	time.AfterFunc(wait, func() { <-p.slots })
	if got, _ := runExchange(x); got != balance.NotSent {
		t.Errorf("%v, want not sent", got)
	}
}

func TestLocalDialErrorsAreNotConnectFailed(t *testing.T) {
	addr := startTimeoutEchoNode(t)
	for _, c := range []struct {
		errno syscall.Errno
		times int
		want  balance.Result
	}{
		{syscall.ENETUNREACH, 2, balance.OK},
		{syscall.EADDRNOTAVAIL, 2, balance.OK},
		{syscall.ENOBUFS, 1000, balance.NotSent},
		{syscall.ENFILE, 1000, balance.NotSent},
		{syscall.ECONNREFUSED, 1, balance.ConnectFailed},
		{syscall.EHOSTUNREACH, 1, balance.ConnectFailed},
		{syscall.ETIMEDOUT, 1, balance.ConnectFailed},
	} {
		failures := 0
		p := NewPool(Config{MaxConnections: 10, ConnectTimeout: testTimeout, IdleTimeout: time.Hour,
			ResponseLimits: func() ResponseLimits { return ResponseLimits{HeadBytes: 16 << 10, BufferedBodyBytes: maxBodyBytes} },
			Dial: func(ctx context.Context, network, addr string) (net.Conn, error) {
				if failures++; failures <= c.times {
					return nil, &net.OpError{Op: "dial", Net: network, Err: os.NewSyscallError("connect", c.errno)}
				}
				return new(net.Dialer).DialContext(ctx, network, addr)
			}})
		to := &Route{Addr: addr}
		if got, _ := doExchange(p, to, "POST", "body"); got != c.want {
			t.Errorf("%v, %d times: %v, want %v", c.errno, c.times, got, c.want)
		}
		p.CloseIdleConnections(to, false)
	}
}

func TestETIMEDOUTIsResetNotTimeout(t *testing.T) {
	x := new(Exchange)
	x.Prepare(newDefaultPool(), &Route{}, time.Now().Add(testTimeout), appendRequest("GET", ""))
	x.fail(true, &net.OpError{Op: "read", Net: "tcp", Err: os.NewSyscallError("read", syscall.ETIMEDOUT)})
	if got := x.Result(); got != balance.Reset {
		t.Errorf("%v, want a reset", got)
	}
}

// Libraries repeat by themselves a request that fails on a reused connection, also
// a POST with an Idempotency-Key. Each repeat must be the balancer's.
func TestFailedRequestIsNotResent(t *testing.T) {
	for _, c := range []struct{ method, body string }{
		{"GET", ""}, {"POST", ""}, {"POST", "x"}, {"POST", strings.Repeat("x", maxBodyBytes)},
	} {
		t.Run(fmt.Sprint(c.method, len(c.body)), func(t *testing.T) {
			var came atomic.Int32
			addr := fake.StartTCPServer(t, func(c net.Conn) {
				defer c.Close()
				in := bufio.NewReader(c)
				for n := 0; fake.DiscardRequest(in) == nil; n++ {
					came.Add(1)
					if n == 1 { // the first on this connection is answered, the second is read and dropped
						return
					}
					io.WriteString(c, okResponse("ok"))
				}
			})
			p, to := newDefaultPool(), &Route{Addr: addr}
			defer p.CloseIdleConnections(to, false)
			if got, body := doExchange(p, to, c.method, c.body); got != balance.OK || body != "ok" {
				t.Fatalf("first: %d %q", got, body)
			}
			if got, _ := doExchange(p, to, c.method, c.body); got != balance.Reset {
				t.Errorf("second: %d, want a reset", got)
			}
			if n := came.Load(); n != 2 {
				t.Errorf("%d requests came, want 2", n)
			}
		})
	}
}

// What comes on a connection behind an answer, or while it is idle, was read as the answer
// to the next request. The second request here must have an answer of its own.
func TestUnsolicitedDataIsNotTakenAsResponse(t *testing.T) {
	for name, stray := range map[string]string{"copy": okResponse("first"), "noise": "\x00\xff", "none": ""} {
		for _, late := range []bool{false, true} {
			came := make(chan struct{}, 2)
			var conns atomic.Int32
			addr := fake.StartTCPServer(t, func(c net.Conn) {
				defer c.Close()
				body := "first"
				if conns.Add(1) > 1 {
					body = "second"
				}
				in := bufio.NewReader(c)
				for fake.DiscardRequest(in) == nil {
					if late {
						io.WriteString(c, okResponse(body))
						time.Sleep(time.Millisecond)
						io.WriteString(c, stray)
					} else {
						io.WriteString(c, okResponse(body)+stray)
					}
					came <- struct{}{}
					body = "second"
				}
			})
			p, to := newDefaultPool(), &Route{Addr: addr}
			for _, want := range []string{"first", "second"} {
				if got, body := doExchange(p, to, "POST", "x"); got != balance.OK || body != want {
					t.Errorf("%s, late %v: %d %q, want %q", name, late, got, body, want)
				}
				select {
				case <-came:
				case <-time.After(testTimeout):
					t.Fatal("no answer")
				}
			}
			p.CloseIdleConnections(to, false)
			if n := conns.Load(); stray == "" && n != 1 || stray != "" && n != 2 {
				t.Errorf("%s, late %v: %d connections", name, late, n)
			}
		}
	}
}

// With all slots taken, the connection that was unused for longest gives way, and no
// endpoint is to blame where none does.
func TestDialEvictsLongestIdleConnection(t *testing.T) {
	hello := func(w http.ResponseWriter, _ *http.Request) { io.WriteString(w, "ok") }
	p := newPool(2, 50*time.Millisecond, time.Hour)
	var routes [3]*Route
	for i := range routes {
		routes[i] = &Route{Addr: fake.StartHTTPServer(t, hello)}
		defer p.CloseIdleConnections(routes[i], false)
	}
	for i, to := range routes {
		if got, _ := doExchange(p, to, "POST", ""); got != balance.OK {
			t.Errorf("endpoint %d: result %d", i, got)
		}
	}
	if c := p.takeIdle(routes[0]); c != nil {
		t.Error("the connection unused for longest is still there")
	}
	held := []*conn{p.takeIdle(routes[1]), p.takeIdle(routes[2])}
	if held[0] == nil || held[1] == nil {
		t.Fatal("the others are not")
	}
	if got, _ := doExchange(p, routes[0], "POST", ""); got != balance.NotSent {
		t.Errorf("result %d with no slot left, want %d", got, balance.NotSent)
	}
	for _, c := range held {
		c.Close()
	}
	if got, _ := doExchange(p, routes[0], "POST", ""); got != balance.OK {
		t.Errorf("result %d with slots left", got)
	}
}

// Connections that stand idle are closed before the endpoint closes them, also those that
// fell idle later.
func TestIdleConnectionsExpire(t *testing.T) {
	p := newPool(100, 5*time.Second, 20*time.Millisecond)
	to := &Route{Addr: fake.StartTCPServer(t, func(c net.Conn) { io.Copy(io.Discard, c) })}
	for range 3 {
		for range 2 {
			c, err := p.dial(context.Background(), to)
			if err != nil {
				t.Fatal(err)
			}
			p.put(c)
			time.Sleep(5 * time.Millisecond)
		}
		for end := time.Now().Add(testTimeout); p.OpenConnections() > 0; time.Sleep(time.Millisecond) {
			if time.Now().After(end) {
				t.Fatalf("%d connections are left", p.OpenConnections())
			}
		}
	}
}

// startReplyNode answers one request on each connection with a text and closes it.
func startReplyNode(t *testing.T, text string) string {
	return fake.StartTCPServer(t, func(c net.Conn) {
		defer c.Close()
		if fake.DiscardRequest(bufio.NewReader(c)) == nil {
			io.WriteString(c, text)
		}
	})
}

// startEndlessNode answers with a start and more without end, and its connection stays open.
func startEndlessNode(t *testing.T, start, more string) string {
	return fake.StartTCPServer(t, func(c net.Conn) {
		defer c.Close()
		if fake.DiscardRequest(bufio.NewReader(c)) != nil {
			return
		}
		more := []byte(strings.Repeat(more, 1000))
		for _, err := io.WriteString(c, start); err == nil; {
			_, err = c.Write(more)
		}
	})
}

// An outcome that proves a request never ran lets it be sent again; in doubt, it may have run.
func TestExchangeResults(t *testing.T) {
	came := make(chan struct{}, 1)
	stops := func(text string, came chan struct{}) string { // and its connection stays open
		return fake.StartTCPServer(t, func(c net.Conn) {
			in := bufio.NewReader(c)
			if fake.DiscardRequest(in) == nil {
				io.WriteString(c, text)
				if came != nil {
					came <- struct{}{}
				}
			}
			io.Copy(io.Discard, in)
		})
	}
	silent, half := stops("", nil), stops("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok", nil)
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
		"no answer":       {startReplyNode(t, ""), balance.Reset},
		"half a header":   {startReplyNode(t, "HTTP/1.1 200 OK\r\nContent-Le"), balance.Reset},
		"short body":      {startReplyNode(t, "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok"), balance.Reset},
		"short chunk":     {startReplyNode(t, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nok"), balance.Reset},
		"no last chunk":   {startReplyNode(t, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n"), balance.Reset},
		"bad chunk":       {startReplyNode(t, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nx\r\nok"), balance.Error},
		"bad trailer":     {startReplyNode(t, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\nContent-Length: 5\r\n\r\n"), balance.Error},
		"no HTTP":         {startReplyNode(t, "hello\r\n"), balance.Error},
		"oversized":       {startReplyNode(t, "HTTP/1.1 200 OK\r\nContent-Length: 70000\r\n\r\n"+strings.Repeat("x", 70000)), balance.Error},
		"3 GB":            {startEndlessNode(t, "HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\n", "x"), balance.Error},
		"endless header":  {startEndlessNode(t, "HTTP/1.1 200 OK\r\n", "X-A: b\r\n"), balance.Error},
		"endless line":    {startEndlessNode(t, "HTTP/1.1 200 OK\r\nX: ", "x"), balance.Error},
		"endless chunks":  {startEndlessNode(t, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "1\r\nx\r\n"), balance.Error},
		"endless trailer": {startEndlessNode(t, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", "X: y\r\n"), balance.Error},
		"endless size":    {startEndlessNode(t, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0;", "x"), balance.Error},
		"endless 1xx":     {startEndlessNode(t, "", "HTTP/1.1 102 Wait\r\n\r\n"), balance.Error},
		"endless noise":   {startEndlessNode(t, "", "\x00\xff"), balance.Error},
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
		"silent":          {silent, balance.Timeout},
		"silent half way": {half, balance.Timeout},
		"canceled":        {stops("", came), balance.Canceled},
		"barred at start": {silent, balance.NotSent},
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	closed := l.Addr().String() // once all others listen, so that none gets its port
	l.Close()
	cases["refused"] = struct {
		addr string
		want balance.Result
	}{closed, balance.ConnectFailed}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			p, x := newDefaultPool(), new(Exchange)
			x.Prepare(p, &Route{Addr: c.addr}, time.Now().Add(testTimeout), appendRequest("POST", "body"))
			switch name {
			case "barred at start":
				x.CancelUnsent()
			case "silent", "silent half way":
				x.deadline = time.Now().Add(50 * time.Millisecond)
			case "canceled":
				go func() {
					<-came
					x.Cancel(ErrCanceled)
				}()
			}
			got, body := runExchange(x)
			if got != c.want || got == balance.OK && body != "ok" && name != "empty" {
				t.Errorf("result %d, want %d; body %q", got, c.want, body)
			}
			if n := p.OpenConnections(); got != balance.OK && n != 0 && name[0] != '5' && name != "error" && name != "204" {
				t.Errorf("%d connections are left", n)
			}
		})
	}
}

// Once barred, a request does not go out on whatever connection there is for it.
func TestCanceledUnsentRequestWritesNothing(t *testing.T) {
	got := make(chan int, 1)
	addr := fake.StartTCPServer(t, func(c net.Conn) {
		defer c.Close()
		n, _ := c.Read(make([]byte, 1))
		got <- n
	})
	p, to, x := newDefaultPool(), &Route{Addr: addr}, new(Exchange)
	x.Prepare(p, to, time.Now().Add(testTimeout), appendRequest("POST", "body"))
	if !x.Dial() {
		t.Fatal(x.Result())
	}
	x.CancelUnsent()
	if x.Run(); x.Result() != balance.NotSent {
		t.Errorf("result %d, want %d", x.Result(), balance.NotSent)
	}
	p.CloseIdleConnections(to, false)
	if n := <-got; n != 0 {
		t.Error("it went out")
	}
}

// An endpoint that leaves while an idle connection to it turns out to be none any more gets
// nothing on another.
func TestCancelUnsentOnStaleConnection(t *testing.T) {
	addr := fake.StartHTTPServer(t, func(w http.ResponseWriter, r *http.Request) {
		if r.ContentLength > 0 {
			t.Error("it went out late")
		}
	})
	p, to, x := newDefaultPool(), &Route{Addr: addr}, new(Exchange)
	defer p.CloseIdleConnections(to, false)
	if got, _ := doExchange(p, to, "POST", ""); got != balance.OK {
		t.Fatal(got)
	}
	x.Prepare(p, to, time.Now().Add(testTimeout), appendRequest("POST", "body"))
	if !x.TakeIdleConn() || !x.bindConn() {
		t.Fatal("no idle connection")
	}
	x.CancelUnsent() // as the connection is found to be stale
	x.dropStaleConn()
	if x.ConnectAndRun(); x.Result() != balance.NotSent {
		t.Errorf("result %d, want %d", x.Result(), balance.NotSent)
	}
}

// A break before the request's last byte is written proves that it never ran, also where an
// answer has come by then: it can't be to the whole request.
func TestConnectionResetWhileWriting(t *testing.T) {
	for name, early := range map[string]string{"nothing": "", "an answer": okResponse("early")} {
		addr := fake.StartTCPServer(t, func(c net.Conn) {
			c.Read(make([]byte, 10))
			io.WriteString(c, early)
			c.(*net.TCPConn).SetLinger(0)
			c.Close()
		})
		p := newDefaultPool()
		x := new(Exchange)
		// More than the buffers of two sockets hold.
		x.Prepare(p, &Route{Addr: addr}, time.Now().Add(testTimeout), appendRequest("POST", strings.Repeat("x", 16<<20)))
		if got, _ := runExchange(x); got != balance.ConnectFailed {
			t.Errorf("%s: result %d, want %d", name, got, balance.ConnectFailed)
		}
	}
}

// An answer that comes before the request has been read is the answer, if the rest is read.
func TestResponseBeforeRequestIsRead(t *testing.T) {
	addr := fake.StartTCPServer(t, func(c net.Conn) {
		defer c.Close()
		c.Read(make([]byte, 10))
		io.WriteString(c, okResponse("ok"))
		io.Copy(io.Discard, c)
	})
	p, to := newDefaultPool(), &Route{Addr: addr}
	defer p.CloseIdleConnections(to, false)
	if got, body := doExchange(p, to, "POST", strings.Repeat("x", 4<<20)); got != balance.OK || body != "ok" {
		t.Errorf("result %d %q", got, body)
	}
}

// What an endpoint says, or closes with, on a new connection before anything was sent is no
// answer to a request, which has not run.
func TestDataBeforeRequestOnNewConnection(t *testing.T) {
	for name, text := range map[string]string{"an answer": okResponse("stray"), "nothing": ""} {
		said := make(chan struct{})
		addr := fake.StartTCPServer(t, func(c net.Conn) {
			defer c.Close()
			if io.WriteString(c, text); text == "" {
				c.(*net.TCPConn).CloseWrite()
			}
			close(said)
			io.Copy(io.Discard, c)
		})
		x := new(Exchange)
		x.Prepare(newDefaultPool(), &Route{Addr: addr}, time.Now().Add(testTimeout), appendRequest("POST", "x"))
		if !x.Dial() {
			t.Fatal(x.Result())
		}
		<-said
		for x.conn.ReadWouldBlock() { // until it is here
			time.Sleep(time.Millisecond)
		}
		if x.Run(); x.Result() != balance.ConnectFailed {
			t.Errorf("%s: result %d, want %d", name, x.Result(), balance.ConnectFailed)
		}
	}
}

// An answer may be cut anywhere, and be read on by another goroutine after an interrupt.
func TestInterruptAtAnyOffset(t *testing.T) {
	for name, text := range map[string]string{
		"length": "HTTP/1.1 103 Hints\r\n\r\n" + okResponse("0123456789"),
		"chunks": "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\n012\r\n7\r\n3456789\r\n0\r\n\r\n",
		"close":  "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n0123456789",
	} {
		for cut := range len(text) + 1 {
			more := make(chan struct{})
			addr := fake.StartTCPServer(t, func(c net.Conn) {
				defer c.Close()
				if fake.DiscardRequest(bufio.NewReader(c)) == nil {
					io.WriteString(c, text[:cut])
					<-more
					io.WriteString(c, text[cut:])
				}
			})
			p, to, x := newDefaultPool(), &Route{Addr: addr}, new(Exchange)
			x.Prepare(p, to, time.Now().Add(testTimeout), appendRequest("POST", "x"))
			if !x.Dial() {
				t.Fatal(x.Result())
			}
			go func() {
				x.Interrupt() // at whatever point it has come to
				close(more)
			}()
			for x.Run() != Ended {
			}
			if got := string(x.ResponseBody()); x.Result() != balance.OK || got != "0123456789" {
				t.Fatalf("%s, cut at %d: %d %q", name, cut, x.Result(), got)
			}
			p.CloseIdleConnections(to, false)
		}
	}
}

// A request that an endpoint is slow to read is interrupted and written on.
func TestInterruptWhileWriting(t *testing.T) {
	const size = 16 << 20
	read := make(chan struct{})
	addr := fake.StartTCPServer(t, func(c net.Conn) {
		defer c.Close()
		<-read
		if fake.DiscardRequest(bufio.NewReader(c)) == nil {
			io.WriteString(c, okResponse("ok"))
		}
	})
	p, to, x := newDefaultPool(), &Route{Addr: addr}, new(Exchange)
	defer p.CloseIdleConnections(to, false)
	x.Prepare(p, to, time.Now().Add(testTimeout), appendRequest("POST", strings.Repeat("x", size)))
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
				t.Fatalf("over with %d", x.Result())
			}
		case <-time.After(time.Millisecond): // it may not have begun
		}
	}
	close(read)
	for x.Run() != Ended {
	}
	if got := string(x.ResponseBody()); x.Result() != balance.OK || got != "ok" {
		t.Errorf("%d %q", x.Result(), got)
	}
}

// A connection on which the endpoint closes with its answer is not used again.
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
	p, to := newDefaultPool(), &Route{Addr: addr}
	for range 2 {
		if got, _ := doExchange(p, to, "POST", "x"); got != balance.OK {
			t.Errorf("result %d", got)
		}
		<-closed
	}
	if n := conns.Load(); n != 2 {
		t.Errorf("%d connections, want 2", n)
	}
}

// nopConn is a connection that is nobody's.
type nopConn struct{ net.Conn }

func (nopConn) Close() error { return nil }

// The pool of idle connections against a plain list of them: the one used last of a route is
// taken, the one unused for longest of all gives way, and both views of the pool agree.
func TestPoolModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := newPool(1000, time.Second, time.Hour)
		routes := []*Route{{Addr: "a"}, {Addr: "b"}, {Addr: "c"}}
		var model []*conn // idle, the one unused for longest first
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
				to := rapid.SampledFrom(routes).Draw(t, "route")
				var want *conn
				for i := len(model) - 1; i >= 0 && want == nil; i-- {
					if model[i].route == to {
						want = model[i]
						model = slices.Delete(model, i, i+1)
					}
				}
				got := p.takeIdle(to)
				if got != want {
					t.Fatalf("took %p, want %p", got, want)
				}
				if got != nil {
					got.Close()
				}
			},
			"yield": func(t *rapid.T) {
				var want *conn
				if len(model) > 0 {
					want, model = model[0], model[1:]
				}
				got := p.takeOldestIdle()
				if got != want {
					t.Fatalf("gave way: %p, want %p", got, want)
				}
				if got != nil {
					got.Close()
				}
			},
			"release": func(t *rapid.T) {
				i := rapid.IntRange(0, len(routes)-1).Draw(t, "route")
				keep := rapid.Bool().Draw(t, "keep")
				p.CloseIdleConnections(routes[i], keep)
				model = slices.DeleteFunc(model, func(c *conn) bool { return c.route == routes[i] })
				if !keep { // a new process has a route of its own
					routes[i] = &Route{Addr: routes[i].Addr}
				}
			},
			"": func(t *rapid.T) {
				sum, idle := 0, 0
				for _, to := range routes {
					sum += len(to.idle)
				}
				for c := p.oldestIdle; c != nil; c = c.next {
					idle++
				}
				if idle != len(model) || sum != len(model) || p.OpenConnections() != len(model) {
					t.Fatalf("%d idle, %d by route, %d slots, want %d", idle, sum, p.OpenConnections(), len(model))
				}
			},
		})
	})
}

// Whatever an endpoint sends, the exchange ends, and what is served has a 200 and an end.
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
		p, to := newDefaultPool(), &Route{Addr: l.Addr().String()}
		got, body := doExchange(p, to, "POST", "x")
		if len(body) > maxBodyBytes || got == balance.ConnectFailed || got == balance.NotSent ||
			got == balance.OK && !strings.Contains(string(text), " 200") {
			t.Errorf("%q: result %d, %d bytes", text, got, len(body))
		}
		p.CloseIdleConnections(to, false)
		if p.OpenConnections() > 0 {
			t.Errorf("%q: the connection is left open", text)
		}
	})
}

func FuzzParseLoad(f *testing.F) {
	f.Add("TEXT busy_reqs=7, pending=2, cpu_share=0.61")
	f.Add("TEXT inflight=")
	f.Fuzz(func(t *testing.T, text string) {
		if l, ok := parseLoad([]byte(text)); ok && !(l.InFlight >= -1 && l.Queued >= -1 && l.Utilization >= -1) {
			t.Errorf("%q: %+v", text, l)
		}
	})
}

// A report whose names were not known read as empty, and no endpoint as idle.
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
