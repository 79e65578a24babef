package sidecar

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"barleydrum.example/barleydrum/balance"
	"barleydrum.example/barleydrum/internal/config"
	"barleydrum.example/barleydrum/internal/discovery"
	"barleydrum.example/barleydrum/internal/standin"
)

// maxBody is the longest body by default, either way.
const maxBody = 64 << 10

// patience is how long a test waits for what must happen: no verdict leans on it being short.
const patience = 20 * time.Second

// up lists endpoints at these addresses, in service.
func up(addrs ...string) discovery.List {
	l := discovery.List{Generation: 1, Reset: true}
	for i, addr := range addrs {
		l.Instances = append(l.Instances, discovery.Instance{ID: fmt.Sprintf("s-%d", i), HostPort: addr, Zone: "a", Lifecycle: "up"})
	}
	return l
}

func testConfig(t testing.TB, known discovery.List) *config.Config {
	t.Helper()
	text, err := json.Marshal(map[string]any{
		"name": "n1", "listen": "127.0.0.1:1", "discovery": "127.0.0.1:1", "seed": "1f",
		"known": known, "settings": json.RawMessage(standin.Settings),
	})
	if err != nil {
		t.Fatal(err)
	}
	p, err := config.ParsePlatform(text)
	if err != nil {
		t.Fatal(err)
	}
	return config.Merge(p, config.Default())
}

// proxy is a sidecar under test.
type proxy struct {
	t      *testing.T
	url    string
	engine *Engine
	server *Server
	served chan error
}

func start(t *testing.T, c *config.Config) *proxy {
	t.Helper()
	e, err := NewEngine(c)
	if err != nil {
		t.Fatal(err)
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	p := &proxy{t: t, url: "http://" + l.Addr().String(), engine: e, server: NewServer(c, e), served: make(chan error, 1)}
	go func() { p.served <- p.server.Serve(l) }()
	t.Cleanup(func() { p.server.http.Close() })
	return p
}

// newRequest returns a request as a client sends it.
func newRequest(ctx context.Context, t *testing.T, url, class, body string) *http.Request {
	t.Helper()
	o := standin.Order{
		ID: "9b1f03aa5c7e2d41", Class: class, Tenant: "acme", Path: "a%2Fb?x=1", Body: body, Timeout: patience,
	}
	if class == "book" {
		o.Key = "5c0f"
	}
	req, err := standin.NewRequest(ctx, strings.TrimPrefix(url, "http://"), o)
	if err != nil {
		t.Fatal(err)
	}
	if class == "pay" {
		req.Method = http.MethodPost
	}
	return req
}

// send sends a request and returns what came back.
func (p *proxy) send(req *http.Request) (*http.Response, string) {
	p.t.Helper()
	resp, err := http.DefaultTransport.RoundTrip(req)
	if err != nil {
		p.t.Fatal(err)
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		p.t.Fatal(err)
	}
	return resp, string(body)
}

func (p *proxy) request(class, body string) *http.Request {
	return newRequest(context.Background(), p.t, p.url, class, body)
}

func wait(t *testing.T, c <-chan struct{}, what string) {
	t.Helper()
	select {
	case <-c:
	case <-time.After(patience):
		t.Fatalf("%s: not within %v", what, patience)
	}
}

// What must go on unchanged does, and so does the answer's body.
func TestServes(t *testing.T) {
	answer := "\x1f\x8bnot gzip\x00"
	addr := standin.HTTP(t, func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		_, timed := parseTimeout(r.Header.Get("X-Timeout"))
		if r.RequestURI != "/api/a%2Fb?x=1" || r.Header.Get("X-Request-ID") != "9b1f03aa5c7e2d41" || !timed ||
			r.Header.Get("Accept-Encoding") != "" || r.Method == "POST" && string(body) != "hello" {
			t.Errorf("got %s %s %v %q", r.Method, r.RequestURI, r.Header, body)
		}
		w.Header().Set("Content-Encoding", "gzip")
		io.WriteString(w, answer)
	})
	p := start(t, testConfig(t, up(addr)))
	for _, class := range []string{"read", "book", "pay"} {
		body := "hello"
		if class == "read" {
			body = ""
		}
		req := p.request(class, body)
		req.Header.Set("Accept-Encoding", "identity")
		req.Header.Set("Connection", "Accept-Encoding") // concerns this connection only
		if resp, got := p.send(req); resp.StatusCode != 200 || got != answer {
			t.Errorf("%s: %s %q", class, resp.Status, got)
		}
	}
	p.engine.mu.Lock()
	defer p.engine.mu.Unlock()
	if len(p.engine.calls) != 0 {
		t.Errorf("%d calls are kept", len(p.engine.calls))
	}
}

// Libraries repeat by themselves a request that fails on a reused connection, also
// a POST with an Idempotency-Key. Each repeat must be the balancer's.
func TestNoHiddenResend(t *testing.T) {
	for _, c := range []struct{ method, body string }{
		{"GET", ""}, {"POST", ""}, {"POST", "x"}, {"POST", strings.Repeat("x", maxBody)},
	} {
		t.Run(fmt.Sprint(c.method, len(c.body)), func(t *testing.T) {
			var came atomic.Int32
			addr := standin.TCP(t, func(c net.Conn) {
				defer c.Close()
				in := bufio.NewReader(c)
				for n := 0; standin.ReadRequest(in) == nil; n++ {
					came.Add(1)
					if n == 1 { // the first on this connection is answered, the second is read and dropped
						return
					}
					io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
				}
			})
			p, to := newPool(testConfig(t, discovery.List{})), &route{addr: addr}
			defer p.release(to, false)
			do := func() answer {
				req, err := http.NewRequest(c.method, "http://"+addr+"/", nil)
				if err != nil {
					t.Fatal(err)
				}
				req.Header.Set("Idempotency-Key", "k")
				return (&exchange{ctx: context.Background()}).do(p, to, req, []byte(c.body))
			}
			if a := do(); a.result != balance.OK || string(a.body) != "ok" {
				t.Fatalf("first: %+v", a)
			}
			if a := do(); a.result != balance.Reset {
				t.Errorf("second: %+v, want a reset", a)
			}
			if n := came.Load(); n != 2 {
				t.Errorf("%d requests came, want 2", n)
			}
		})
	}
}

// What comes on a connection behind an answer, or while it is idle, was read as the answer
// to the next request. The second request here must have an answer of its own.
func TestNoStrayAnswers(t *testing.T) {
	ok := func(body string) string {
		return fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	}
	for name, stray := range map[string]string{"copy": ok("first"), "noise": "\x00\xff", "none": ""} {
		for _, late := range []bool{false, true} {
			came := make(chan struct{}, 2)
			var conns atomic.Int32
			addr := standin.TCP(t, func(c net.Conn) {
				defer c.Close()
				body := "first"
				if conns.Add(1) > 1 {
					body = "second"
				}
				in := bufio.NewReader(c)
				for standin.ReadRequest(in) == nil {
					if late {
						io.WriteString(c, ok(body))
						time.Sleep(time.Millisecond)
						io.WriteString(c, stray)
					} else {
						io.WriteString(c, ok(body)+stray)
					}
					came <- struct{}{}
					body = "second"
				}
			})
			p, to := newPool(testConfig(t, discovery.List{})), &route{addr: addr}
			for _, want := range []string{"first", "second"} {
				req, err := http.NewRequest("POST", "http://"+addr+"/", nil)
				if err != nil {
					t.Fatal(err)
				}
				a := (&exchange{ctx: context.Background()}).do(p, to, req, []byte("x"))
				if a.result != balance.OK || string(a.body) != want {
					t.Errorf("%s, late %v: %d %q, want %q", name, late, a.result, a.body, want)
				}
				wait(t, came, "answer")
			}
			p.release(to, false)
			if n := conns.Load(); stray == "" && n != 1 || stray != "" && n != 2 {
				t.Errorf("%s, late %v: %d connections", name, late, n)
			}
		}
	}
}

// With all slots taken, the connection that was unused for longest gives way, and no
// endpoint is to blame where none does.
func TestConnectionsGiveWay(t *testing.T) {
	hello := func(w http.ResponseWriter, _ *http.Request) { io.WriteString(w, "ok") }
	p := newPool(testConfig(t, discovery.List{}))
	p.slots = make(chan struct{}, 2)
	p.dialer.Timeout = 50 * time.Millisecond
	var routes [3]*route
	for i := range routes {
		routes[i] = &route{addr: standin.HTTP(t, hello)}
		defer p.release(routes[i], false)
	}
	do := func(to *route) balance.Result {
		req, err := http.NewRequest("POST", "http://"+to.addr+"/", nil)
		if err != nil {
			t.Fatal(err)
		}
		return (&exchange{ctx: context.Background()}).do(p, to, req, nil).result
	}
	for i, to := range routes {
		if got := do(to); got != balance.OK {
			t.Errorf("endpoint %d: result %d", i, got)
		}
	}
	if c := p.take(routes[0]); c != nil {
		t.Error("the connection unused for longest is still there")
	}
	held := []*conn{p.take(routes[1]), p.take(routes[2])}
	if held[0] == nil || held[1] == nil {
		t.Fatal("the others are not")
	}
	if got := do(routes[0]); got != balance.NotSent {
		t.Errorf("result %d with no slot left, want %d", got, balance.NotSent)
	}
	for _, c := range held {
		c.Close()
	}
	if got := do(routes[0]); got != balance.OK {
		t.Errorf("result %d with slots left", got)
	}
}

// Connections that stand idle are closed before the endpoint closes them, also those that
// fell idle later.
func TestIdleConnectionsExpire(t *testing.T) {
	p := newPool(testConfig(t, discovery.List{}))
	p.keepAlive = 20 * time.Millisecond
	to := &route{addr: standin.TCP(t, func(c net.Conn) { io.Copy(io.Discard, c) })}
	for range 3 {
		for range 2 {
			c, err := p.dial(context.Background(), to)
			if err != nil {
				t.Fatal(err)
			}
			p.put(c)
			time.Sleep(5 * time.Millisecond)
		}
		for end := time.Now().Add(patience); len(p.slots) > 0; time.Sleep(time.Millisecond) {
			if time.Now().After(end) {
				t.Fatalf("%d connections are left", len(p.slots))
			}
		}
	}
}

// Endpoints are replaced all day. One that is gone is forgotten once nothing is out to it,
// and its id may come back; a new one at its address has connections of its own.
func TestForgetsEndpoints(t *testing.T) {
	began, finish := make(chan struct{}, 1), make(chan struct{})
	var conns atomic.Int32
	s := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodPost {
			began <- struct{}{}
			<-finish
		}
	}))
	s.Config.ConnState = func(_ net.Conn, state http.ConnState) {
		if state == http.StateNew {
			conns.Add(1)
		}
	}
	s.Start()
	t.Cleanup(s.Close)
	addr := s.Listener.Addr().String()
	list := func(id string) *discovery.List {
		l := up(addr)
		l.Instances[0].ID = id
		return &l
	}
	p := start(t, testConfig(t, *list("s-0")))
	known := func() int {
		p.engine.mu.Lock()
		defer p.engine.mu.Unlock()
		n := len(p.engine.endpoints)
		if len(p.engine.names.ids) != n || len(p.engine.names.taken) != n {
			t.Errorf("%d endpoints, %d names, %d numbers", n, len(p.engine.names.ids), len(p.engine.names.taken))
		}
		return n
	}
	for i := range 20 {
		p.engine.list(list(fmt.Sprint("s-", i%10)))
		if resp, _ := p.send(p.request("read", "")); resp.StatusCode != 200 {
			t.Fatal(resp.Status)
		}
	}
	if n := known(); n != 1 {
		t.Errorf("%d endpoints are known, want 1", n)
	}
	if n := conns.Load(); n != 20 {
		t.Errorf("%d connections, want 20", n)
	}
	status := make(chan int, 1)
	go func() {
		resp, _ := p.send(p.request("book", "x"))
		status <- resp.StatusCode
	}()
	wait(t, began, "attempt")
	p.engine.list(&discovery.List{Generation: 2, Instances: []discovery.Instance{{ID: "s-9", Lifecycle: "removed"}}})
	if n := known(); n != 1 {
		t.Errorf("%d endpoints are known while one answers, want 1", n)
	}
	close(finish)
	if got := <-status; got != 200 {
		t.Errorf("status %d", got)
	}
	for end := time.Now().Add(patience); known() != 0 && time.Now().Before(end); {
		time.Sleep(time.Millisecond)
	}
	if n := known(); n != 0 {
		t.Errorf("%d endpoints are known in the end", n)
	}
}

// An outcome that proves a request never ran lets it be sent again; in doubt, it may have run.
func TestOutcomes(t *testing.T) {
	reply := func(text string) string {
		return standin.TCP(t, func(c net.Conn) {
			defer c.Close()
			if standin.ReadRequest(bufio.NewReader(c)) == nil {
				io.WriteString(c, text)
			}
		})
	}
	endless := func(start, more string) func(net.Conn) { // and its connection stays open
		return func(c net.Conn) {
			defer c.Close()
			if standin.ReadRequest(bufio.NewReader(c)) != nil {
				return
			}
			more := []byte(strings.Repeat(more, 1000))
			for _, err := io.WriteString(c, start); err == nil; {
				_, err = c.Write(more)
			}
		}
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	closed := l.Addr().String() // once all others listen, so that none gets its port
	silence := make(chan struct{}, 1)
	silent := standin.TCP(t, func(c net.Conn) {
		in := bufio.NewReader(c)
		if standin.ReadRequest(in) == nil {
			silence <- struct{}{}
		}
		io.Copy(io.Discard, in)
	})
	cases := map[string]struct {
		addr string
		want balance.Result
	}{
		"served":          {reply("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"), balance.OK},
		"error":           {reply("HTTP/1.1 500 Oops\r\nContent-Length: 0\r\n\r\n"), balance.Error},
		"503":             {reply("HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n"), balance.Error},
		"503 not run":     {reply("HTTP/1.1 503 Busy\r\nX-Not-Processed: 1\r\nContent-Length: 0\r\n\r\n"), balance.Rejected},
		"504 not run":     {reply("HTTP/1.1 504 Late\r\nX-Not-Processed: 1\r\nContent-Length: 0\r\n\r\n"), balance.Rejected},
		"500 not run":     {reply("HTTP/1.1 500 Oops\r\nX-Not-Processed: 1\r\nContent-Length: 0\r\n\r\n"), balance.Error},
		"no answer":       {reply(""), balance.Reset},
		"half a header":   {reply("HTTP/1.1 200 OK\r\nContent-Le"), balance.Reset},
		"short body":      {reply("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok"), balance.Reset},
		"short chunk":     {reply("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nok"), balance.Reset},
		"no HTTP":         {reply("hello\r\n"), balance.Error},
		"oversized":       {reply("HTTP/1.1 200 OK\r\nContent-Length: 70000\r\n\r\n" + strings.Repeat("x", 70000)), balance.Error},
		"3 GB":            {standin.TCP(t, endless("HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\n", "x")), balance.Error},
		"endless header":  {standin.TCP(t, endless("HTTP/1.1 200 OK\r\n", "X-A: b\r\n")), balance.Error},
		"endless line":    {standin.TCP(t, endless("HTTP/1.1 200 OK\r\nX: ", "x")), balance.Error},
		"endless chunks":  {standin.TCP(t, endless("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "1\r\nx\r\n")), balance.Error},
		"endless 1xx":     {standin.TCP(t, endless("", "HTTP/1.1 102 Wait\r\n\r\n")), balance.Error},
		"endless noise":   {standin.TCP(t, endless("", "\x00\xff")), balance.Error},
		"some 1xx":        {reply(strings.Repeat("HTTP/1.1 103 Early Hints\r\n\r\n", 3) + "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"), balance.OK},
		"protocol change": {reply("HTTP/1.1 101 Switching\r\n\r\nok"), balance.Error},
		"two lengths":     {reply("HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 2\r\n\r\nok"), balance.Error},
		"both lengths":    {reply("HTTP/1.1 200 OK\r\nContent-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n"), balance.Error},
		"negative length": {reply("HTTP/1.1 200 OK\r\nContent-Length: -2\r\n\r\nok"), balance.Error},
		"no length":       {reply("HTTP/1.1 200 OK\r\n\r\nok"), balance.Error},
		"until the close": {reply("HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nok"), balance.OK},
		"bad report":      {reply("HTTP/1.1 200 OK\r\nX-Server-Load: TEXT inflight=?\r\nContent-Length: 2\r\n\r\nok"), balance.OK},
		"refused":         {closed, balance.ConnectFailed},
		"silent":          {silent, balance.Timeout},
		"barred at start": {silent, balance.ConnectFailed},
	}
	l.Close()
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			ctx, cancel := context.WithCancelCause(context.Background())
			defer cancel(nil)
			x := &exchange{ctx: ctx}
			switch name {
			case "barred at start":
				x.bar()
			case "silent":
				go func() {
					<-silence
					cancel(errDeadline)
				}()
			}
			req, err := http.NewRequest("POST", "http://"+c.addr+"/", nil)
			if err != nil {
				t.Fatal(err)
			}
			if a := x.do(newPool(testConfig(t, discovery.List{})), &route{addr: c.addr}, req, []byte("body")); a.result != c.want {
				t.Errorf("result %d, want %d", a.result, c.want)
			}
		})
	}
}

// Once barred, a request does not go out on whatever connection there is for it.
func TestBarredWritesNothing(t *testing.T) {
	got := make(chan int, 1)
	addr := standin.TCP(t, func(c net.Conn) {
		defer c.Close()
		n, _ := c.Read(make([]byte, 1))
		got <- n
	})
	p, to := newPool(testConfig(t, discovery.List{})), &route{addr: addr}
	x := &exchange{ctx: context.Background()}
	x.bar()
	req, err := http.NewRequest("POST", "http://"+addr+"/", nil)
	if err != nil {
		t.Fatal(err)
	}
	if a := x.do(p, to, req, []byte("body")); a.result != balance.ConnectFailed {
		t.Errorf("result %d, want %d", a.result, balance.ConnectFailed)
	}
	p.release(to, false)
	if n := <-got; n != 0 {
		t.Error("it went out")
	}
}

// A break before the request's last byte is written proves that it never ran.
func TestBreakWhileWriting(t *testing.T) {
	here, there := net.Pipe()
	p, to := newPool(testConfig(t, discovery.List{})), &route{}
	p.slots <- struct{}{}
	c := &conn{Conn: here, in: bufio.NewReader(here), to: to, pool: p}
	go func() {
		there.Read(make([]byte, 10))
		there.Close()
	}()
	req, err := http.NewRequest("POST", "http://127.0.0.1:1/", nil)
	if err != nil {
		t.Fatal(err)
	}
	a := (&exchange{ctx: context.Background()}).carry(c, req, []byte(strings.Repeat("x", maxBody)))
	if a.result != balance.ConnectFailed {
		t.Errorf("result %d, want %d", a.result, balance.ConnectFailed)
	}
}

// An unsafe request that may have run is failed, never refused and never sent again;
// one that never ran goes to another endpoint.
func TestUnsafe(t *testing.T) {
	var ran atomic.Int32
	drops := standin.TCP(t, func(c net.Conn) {
		defer c.Close()
		if standin.ReadRequest(bufio.NewReader(c)) == nil {
			ran.Add(1)
		}
	})
	p := start(t, testConfig(t, up(drops)))
	if resp, _ := p.send(p.request("pay", "x")); resp.StatusCode != http.StatusBadGateway || ran.Load() != 1 {
		t.Errorf("%s after %d attempts, want a 502 after 1", resp.Status, ran.Load())
	}
	var turned atomic.Int32
	full := func(w http.ResponseWriter, r *http.Request) {
		if turned.Add(1) == 1 {
			w.Header().Set("X-Not-Processed", "1")
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	}
	p = start(t, testConfig(t, up(standin.HTTP(t, full), standin.HTTP(t, full))))
	if resp, _ := p.send(p.request("pay", "x")); resp.StatusCode != 200 || turned.Load() != 2 {
		t.Errorf("%s after %d attempts, want a 200 after 2", resp.Status, turned.Load())
	}
}

// A request that never ran and that nobody will take is refused at once, and its client is
// told when to come back.
func TestRefusedAtOnce(t *testing.T) {
	c := testConfig(t, discovery.List{})
	c.Module.Limits.MaxRetryAfter = 1500 * time.Millisecond
	p := start(t, c)
	req := p.request("pay", "x")
	req.Header.Set("X-Timeout", "1m") // too short for the balancer to begin
	if resp, _ := p.send(req); resp.StatusCode != http.StatusServiceUnavailable || resp.Header.Get("Retry-After") != "1.500" {
		t.Errorf("%s %v, want a 503 with Retry-After: 1.500", resp.Status, resp.Header)
	}
}

// Bad input reaches neither the balancer nor an endpoint.
func TestBadRequests(t *testing.T) {
	addr := standin.HTTP(t, func(http.ResponseWriter, *http.Request) { t.Error("it reached an endpoint") })
	p := start(t, testConfig(t, up(addr)))
	for name, c := range map[string]struct {
		spoil func(r *http.Request)
		want  int
	}{
		"no id":          {func(r *http.Request) { r.Header.Del("X-Request-ID") }, 400},
		"long id":        {func(r *http.Request) { r.Header.Set("X-Request-ID", strings.Repeat("x", maxID+1)) }, 400},
		"unknown class":  {func(r *http.Request) { r.Header.Set("X-Priority-Class", "x") }, 400},
		"no class":       {func(r *http.Request) { r.Header.Del("X-Priority-Class") }, 400},
		"unknown tenant": {func(r *http.Request) { r.Header.Set("X-Tenant-Id", "x") }, 400},
		"no key":         {func(r *http.Request) { r.Header.Del("Idempotency-Key") }, 400},
		"no unit":        {func(r *http.Request) { r.Header.Set("X-Timeout", "480") }, 400},
		"negative":       {func(r *http.Request) { r.Header.Set("X-Timeout", "-1m") }, 400},
		"not a number":   {func(r *http.Request) { r.Header.Set("X-Timeout", "NaNm") }, 400},
		"endless":        {func(r *http.Request) { r.Header.Set("X-Timeout", "1e300m") }, 400},
		"bad cost":       {func(r *http.Request) { r.Header.Set("X-Cost", "-3") }, 400},
		"method":         {func(r *http.Request) { r.Method = "DELETE" }, 400},
		"long body": {func(r *http.Request) {
			r.Body, r.ContentLength = io.NopCloser(strings.NewReader(strings.Repeat("x", maxBody+1))), maxBody+1
		}, 413},
		"chunks": {func(r *http.Request) { r.ContentLength = -1 }, 411},
	} {
		req := p.request("book", "x")
		c.spoil(req)
		if resp, _ := p.send(req); resp.StatusCode != c.want {
			t.Errorf("%s: %s, want %d", name, resp.Status, c.want)
		}
	}
	if p.engine.last != 0 {
		t.Errorf("%d requests reached the balancer", p.engine.last)
	}
}

// A request whose end can be read in two ways may hide another: neither is passed on.
func TestHiddenRequest(t *testing.T) {
	addr := standin.HTTP(t, func(http.ResponseWriter, *http.Request) { t.Error("it reached an endpoint") })
	p := start(t, testConfig(t, up(addr)))
	const head = "POST /api/a HTTP/1.%d\r\nHost: a\r\nX-Request-ID: 1\r\nX-Priority-Class: book\r\nIdempotency-Key: k\r\n"
	hidden := fmt.Sprintf(head, 1) + "Content-Length: 0\r\n\r\n"
	for name, text := range map[string]string{
		"both":            fmt.Sprintf(head, 1) + "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n" + hidden,
		"both, 1.0":       fmt.Sprintf(head, 0) + "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n" + hidden,
		"two lengths":     fmt.Sprintf(head, 1) + "Content-Length: 0\r\nContent-Length: 5\r\n\r\n" + hidden,
		"negative length": fmt.Sprintf(head, 1) + "Content-Length: -5\r\n\r\n" + hidden,
		"unknown coding":  fmt.Sprintf(head, 1) + "Transfer-Encoding: xchunked\r\n\r\n" + hidden,
	} {
		c, err := net.Dial("tcp", strings.TrimPrefix(p.url, "http://"))
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		if _, err := io.WriteString(c, text); err != nil {
			t.Fatal(err)
		}
		in := bufio.NewReader(c)
		resp, err := http.ReadResponse(in, nil)
		if err != nil {
			t.Fatalf("%s: %v", name, err)
		}
		io.Copy(io.Discard, resp.Body)
		if resp.StatusCode/100 < 4 || !resp.Close {
			t.Errorf("%s: %s, closes %v, want an error that closes", name, resp.Status, resp.Close)
		}
		if n, _ := io.Copy(io.Discard, in); n > 0 { // the connection ends, if only by a reset
			t.Errorf("%s: %d bytes follow", name, n)
		}
	}
}

// A client that has gone is owed nothing: its attempt's connection is closed.
func TestClientGone(t *testing.T) {
	began, ended := make(chan struct{}), make(chan struct{})
	addr := standin.HTTP(t, func(_ http.ResponseWriter, r *http.Request) {
		io.Copy(io.Discard, r.Body)
		close(began)
		<-r.Context().Done()
		close(ended)
	})
	p := start(t, testConfig(t, up(addr)))
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		if resp, err := http.DefaultTransport.RoundTrip(newRequest(ctx, t, p.url, "book", "x")); err == nil {
			resp.Body.Close()
		}
	}()
	wait(t, began, "attempt")
	cancel()
	wait(t, ended, "end of the attempt")
}

// An attempt that waits for a connection must not go out once its endpoint has left.
func TestLeftWhileDialing(t *testing.T) {
	leaving := standin.HTTP(t, func(http.ResponseWriter, *http.Request) { t.Error("it went out late") })
	p := start(t, testConfig(t, up(leaving)))
	pool := p.engine.pool
	for range cap(pool.slots) { // it waits for one
		pool.slots <- struct{}{}
	}
	status := make(chan int, 1)
	go func() {
		resp, _ := p.send(p.request("pay", "x"))
		status <- resp.StatusCode
	}()
	for waiting := 0; waiting == 0; time.Sleep(time.Millisecond) {
		pool.mu.Lock()
		waiting = pool.waiting
		pool.mu.Unlock()
	}
	taken := standin.HTTP(t, func(http.ResponseWriter, *http.Request) {})
	l := up(leaving, taken)
	l.Reset, l.Instances[0].Lifecycle = false, "draining"
	p.engine.list(&l)
	for range cap(pool.slots) {
		<-pool.slots
	}
	select {
	case got := <-status:
		if got != 200 {
			t.Errorf("status %d, want 200 from the other endpoint", got)
		}
	case <-time.After(patience):
		t.Fatal("no answer")
	}
}

// An endpoint's address may change under its id.
func TestAddressChanges(t *testing.T) {
	who := func(name string) string {
		return standin.HTTP(t, func(w http.ResponseWriter, _ *http.Request) { io.WriteString(w, name) })
	}
	first, second := up(who("first")), up(who("second"))
	p := start(t, testConfig(t, first))
	if _, got := p.send(p.request("read", "")); got != "first" {
		t.Errorf("%q, want first", got)
	}
	p.engine.list(&second)
	if _, got := p.send(p.request("read", "")); got != "second" {
		t.Errorf("%q, want second", got)
	}
}

// Idle connections to a process that has been replaced are not used again.
func TestRestartClosesIdle(t *testing.T) {
	var conns atomic.Int32
	s := httptest.NewUnstartedServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	s.Config.ConnState = func(_ net.Conn, state http.ConnState) {
		if state == http.StateNew {
			conns.Add(1)
		}
	}
	s.Start()
	t.Cleanup(s.Close)
	l := up(s.Listener.Addr().String())
	p := start(t, testConfig(t, l))
	for range 2 {
		if resp, _ := p.send(p.request("read", "")); resp.StatusCode != 200 {
			t.Fatal(resp.Status)
		}
		l.Instances[0].StartedMS = time.Now().Add(-time.Hour).UnixMilli()
		p.engine.list(&l)
	}
	if n := conns.Load(); n != 2 {
		t.Errorf("%d connections, want 2", n)
	}
}

// What was taken before and shortly after the signal is answered, and callers are steered off.
func TestShutdown(t *testing.T) {
	var once sync.Once
	began, finish := make(chan struct{}), make(chan struct{})
	addr := standin.HTTP(t, func(w http.ResponseWriter, r *http.Request) {
		io.Copy(io.Discard, r.Body)
		once.Do(func() { close(began) })
		<-finish
		io.WriteString(w, "ok")
	})
	c := testConfig(t, up(addr))
	c.Settings.Shutdown.Linger = 3 * time.Second // ample on a slow machine
	p := start(t, c)
	type result struct {
		status int
		closes bool
	}
	results := make(chan result, 1)
	go func() {
		resp, _ := p.send(p.request("book", "x"))
		results <- result{resp.StatusCode, resp.Close}
	}()
	wait(t, began, "attempt")
	stopped := make(chan struct{})
	go func() {
		p.server.Shutdown()
		close(stopped)
	}()
	for !p.server.draining.Load() {
		time.Sleep(time.Millisecond)
	}
	close(finish)
	// Connections go on coming for a while: a closed door would lose their requests.
	own := &http.Transport{}
	defer own.CloseIdleConnections()
	req := p.request("read", "")
	req.Header.Set("X-Request-ID", "another: the first may be open still")
	late, err := own.RoundTrip(req)
	if err != nil {
		t.Fatal(err)
	}
	late.Body.Close()
	if late.StatusCode != 200 || !late.Close {
		t.Errorf("after the signal: %s, closes %v, want a 200 that closes", late.Status, late.Close)
	}
	if r := <-results; r.status != 200 || !r.closes {
		t.Errorf("%+v, want a 200 that closes", r)
	}
	wait(t, stopped, "shutdown")
	if err := <-p.served; err != nil {
		t.Error(err)
	}
}

// Idle callers must not keep a new one out.
func TestIdleCallersGiveWay(t *testing.T) {
	addr := standin.HTTP(t, func(w http.ResponseWriter, _ *http.Request) { io.WriteString(w, "ok") })
	c := testConfig(t, up(addr))
	c.Limits.Sockets = config.LeastSockets
	p := start(t, c)
	for i := range 2 * c.CallerConnections() {
		own := &http.Transport{}
		defer own.CloseIdleConnections()
		resp, err := own.RoundTrip(p.request("read", ""))
		if err != nil {
			t.Fatalf("caller %d: %v", i, err)
		}
		io.Copy(io.Discard, resp.Body)
		resp.Body.Close()
		if resp.StatusCode != 200 {
			t.Errorf("caller %d: %s", i, resp.Status)
		}
	}
}

// dial opens a caller's connection and sends a text on it.
func (p *proxy) dial(text string) net.Conn {
	p.t.Helper()
	c, err := net.Dial("tcp", strings.TrimPrefix(p.url, "http://"))
	if err != nil {
		p.t.Fatal(err)
	}
	p.t.Cleanup(func() { c.Close() })
	c.SetDeadline(time.Now().Add(patience))
	if _, err := io.WriteString(c, text); err != nil {
		p.t.Fatal(err)
	}
	return c
}

// Callers that say nothing, or half of something, must not shut out one that asks.
func TestBadCallersGiveWay(t *testing.T) {
	for _, text := range []string{"", "POST /api/a HTTP/1.1\r\nHost:"} {
		c := testConfig(t, up(standin.HTTP(t, func(http.ResponseWriter, *http.Request) {})))
		c.Limits.Sockets = config.LeastSockets
		p := start(t, c)
		for range 20 * c.CallerConnections() {
			p.dial(text)
		}
		own := &http.Transport{}
		defer own.CloseIdleConnections()
		ctx, cancel := context.WithTimeout(context.Background(), patience) // half of what their time-outs come to
		defer cancel()
		resp, err := own.RoundTrip(newRequest(ctx, t, p.url, "read", ""))
		if err != nil {
			t.Fatalf("%q: %v", text, err)
		}
		resp.Body.Close()
		if resp.StatusCode != 200 {
			t.Errorf("%q: %s", text, resp.Status)
		}
	}
}

// A caller that never sends a whole request has an error or a close within 3 s, and one
// that announces a body of 60 MB is not read through.
func TestBadCallersAreEnded(t *testing.T) {
	if k := config.Default().Callers; k.HeadTime+k.BodyTime >= 3*time.Second {
		t.Errorf("%v for a header and %v for a body come to 3 s", k.HeadTime, k.BodyTime)
	}
	addr := standin.HTTP(t, func(http.ResponseWriter, *http.Request) { t.Error("it reached an endpoint") })
	p := start(t, testConfig(t, up(addr)))
	const head = "POST /api/a HTTP/1.1\r\nHost: a\r\nX-Request-ID: 1\r\nX-Priority-Class: book\r\nIdempotency-Key: k\r\n"
	for name, text := range map[string]string{
		"silent": "", "half a header": head, "half a body": head + "Content-Length: 9\r\n\r\nhalf",
		"60 MB": head + "Content-Length: 60000000\r\n\r\n", "noise": "\x00\xff\r\n\r\n",
		"endless header": head + strings.Repeat("X-A: b\r\n", 10000), "two ids": head + "X-Request-ID: 2\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := p.dial(text)
			got, err := io.ReadAll(c)
			if netErr := net.Error(nil); errors.As(err, &netErr) && netErr.Timeout() {
				t.Errorf("open after %v", patience)
			}
			if len(got) > 0 && !strings.HasPrefix(string(got), "HTTP/1.1 4") {
				t.Errorf("answered %.40q", got)
			}
		})
	}
}

// A request with the id of one that is open is turned away; once that is answered, it is free.
func TestOpenID(t *testing.T) {
	began, finish := make(chan struct{}, 2), make(chan struct{})
	p := start(t, testConfig(t, up(standin.HTTP(t, func(_ http.ResponseWriter, r *http.Request) {
		io.Copy(io.Discard, r.Body)
		began <- struct{}{}
		<-finish
	}))))
	status := make(chan int, 1)
	go func() {
		resp, _ := p.send(p.request("book", "x"))
		status <- resp.StatusCode
	}()
	wait(t, began, "attempt")
	if resp, _ := p.send(p.request("book", "x")); resp.StatusCode != http.StatusConflict || !resp.Close {
		t.Errorf("%s, closes %v, want a 409 that closes", resp.Status, resp.Close)
	}
	close(finish)
	if got := <-status; got != 200 {
		t.Errorf("the first: %d", got)
	}
	if resp, _ := p.send(p.request("book", "x")); resp.StatusCode != 200 {
		t.Errorf("afterwards: %s", resp.Status)
	}
}

// Nobody waits for longer than the class's deadline: no timer is held for longer either.
func TestTimeoutIsBounded(t *testing.T) {
	p := start(t, testConfig(t, discovery.List{}))
	req := p.request("read", "")
	req.Header.Set("X-Timeout", "3000000m")
	c, err := p.server.parse(req)
	if err != nil || c.Budget != 30*time.Second {
		t.Errorf("budget %v, %v, want the class's 30 s", c.Budget, err)
	}
}

// A request sent ahead on its connection waits for the one before it. Its client counts that
// time: an answer must come within what is left, not within as much again.
func TestPipelinedTime(t *testing.T) {
	began, finish := make(chan struct{}, 2), make(chan struct{})
	p := start(t, testConfig(t, up(standin.HTTP(t, func(_ http.ResponseWriter, r *http.Request) {
		io.Copy(io.Discard, r.Body)
		began <- struct{}{}
		<-finish
	}))))
	const head = "POST /api/a HTTP/1.1\r\nHost: a\r\nX-Request-ID: %d\r\nX-Priority-Class: book\r\n" +
		"Idempotency-Key: k\r\nX-Timeout: %dm\r\nContent-Length: 1\r\n\r\nx"
	const second = 50 * time.Millisecond
	first := fmt.Sprintf(head, 1, patience.Milliseconds())
	next := fmt.Sprintf(head, 2, second.Milliseconds())
	for name, texts := range map[string][]string{"at once": {first + next}, "one by one": {first, next}} {
		c := p.dial(texts[0])
		wait(t, began, name)
		for _, text := range texts[1:] {
			if _, err := io.WriteString(c, text); err != nil {
				t.Fatal(err)
			}
		}
		time.Sleep(2 * second) // the time of the second is up
		finish <- struct{}{}
		in := bufio.NewReader(c)
		for i, want := range []int{200, 503} {
			resp, err := http.ReadResponse(in, nil)
			if err != nil {
				t.Fatalf("%s: answer %d: %v", name, i, err)
			}
			io.Copy(io.Discard, resp.Body)
			if resp.StatusCode != want {
				t.Errorf("%s: answer %d: %s, want %d", name, i, resp.Status, want)
			}
		}
		if len(began) > 0 {
			t.Errorf("%s: the second went out", name)
		}
	}
}
