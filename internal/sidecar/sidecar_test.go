package sidecar

import (
	"bufio"
	"context"
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

	"pgregory.net/rapid"

	"barleydrum.example/barleydrum/internal/config"
	"barleydrum.example/barleydrum/internal/discovery"
	"barleydrum.example/barleydrum/internal/engine"
	"barleydrum.example/barleydrum/internal/fake"
	"barleydrum.example/barleydrum/internal/http1"
)

// maxBodyBytes is the longest body by default, either way.
const maxBodyBytes = 64 << 10

// testTimeout is how long a test waits for what must happen: no verdict leans on it being short.
const testTimeout = 20 * time.Second

// testSidecar is a sidecar under test.
type testSidecar struct {
	t        *testing.T
	url      string
	engine   *engine.Engine
	server   *Server
	serveErr chan error
}

func startSidecar(t *testing.T, c *config.Config) *testSidecar {
	t.Helper()
	e, err := engine.New(c)
	if err != nil {
		t.Fatal(err)
	}
	s, err := NewServer(c, e)
	if err != nil {
		t.Fatal(err)
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	p := &testSidecar{t: t, url: "http://" + l.Addr().String(), engine: e, server: s, serveErr: make(chan error, 1)}
	go func() { p.serveErr <- p.server.Serve(l) }()
	t.Cleanup(func() { p.server.Close() })
	return p
}

// newRequest returns a request as a client sends it.
func newRequest(ctx context.Context, t *testing.T, url, class, body string) *http.Request {
	t.Helper()
	o := fake.CallerRequest{
		ID: "9b1f03aa5c7e2d41", Class: class, Tenant: "acme", Path: "a%2Fb?x=1", Body: body, Timeout: testTimeout,
	}
	if class == "book" {
		o.IdempotencyKey = "5c0f"
	}
	req, err := fake.NewHTTPRequest(ctx, strings.TrimPrefix(url, "http://"), o)
	if err != nil {
		t.Fatal(err)
	}
	if class == "pay" {
		req.Method = http.MethodPost
	}
	return req
}

// send sends a request and returns what came back.
func (p *testSidecar) send(req *http.Request) (*http.Response, string) {
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

func (p *testSidecar) request(class, body string) *http.Request {
	return newRequest(context.Background(), p.t, p.url, class, body)
}

func waitFor(t *testing.T, c <-chan struct{}, what string) {
	t.Helper()
	select {
	case <-c:
	case <-time.After(testTimeout):
		t.Fatalf("%s: not within %v", what, testTimeout)
	}
}

// What must go on unchanged does, and so does the answer's body.
func TestServerForwardsRequestAndResponseUnchanged(t *testing.T) {
	answer := "\x1f\x8bnot gzip\x00"
	addr := fake.StartHTTPServer(t, func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		_, timed := parseTimeout([]byte(r.Header.Get("X-Timeout")))
		if r.RequestURI != "/api/a%2Fb?x=1" || r.Header.Get("X-Request-ID") != "9b1f03aa5c7e2d41" || !timed ||
			r.Header.Get("Accept-Encoding") != "" || r.Method == "POST" && string(body) != "hello" {
			t.Errorf("got %s %s %v %q", r.Method, r.RequestURI, r.Header, body)
		}
		w.Header().Set("Content-Encoding", "gzip")
		io.WriteString(w, answer)
	})
	p := startSidecar(t, fake.NewConfig(t, fake.EndpointList(addr)))
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
	if n := p.engine.Stats().OpenCalls; n != 0 {
		t.Errorf("%d calls are kept", n)
	}
}

// Endpoints are replaced all day. One that is gone is forgotten once nothing is out to it,
// and its id may come back; a new one at its address has connections of its own.
func TestRemovedEndpointIsForgottenAfterItsLastAttempt(t *testing.T) {
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
		l := fake.EndpointList(addr)
		l.Instances[0].ID = id
		return &l
	}
	p := startSidecar(t, fake.NewConfig(t, *list("s-0")))
	known := func() int {
		s := p.engine.Stats()
		if s.EndpointNames != s.Endpoints {
			t.Errorf("%d endpoints, %d names", s.Endpoints, s.EndpointNames)
		}
		return s.Endpoints
	}
	for i := range 20 {
		p.engine.UpdateEndpoints(list(fmt.Sprint("s-", i%10)))
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
	waitFor(t, began, "attempt")
	p.engine.UpdateEndpoints(&discovery.List{Generation: 2, Instances: []discovery.Instance{{ID: "s-9", Lifecycle: "removed"}}})
	if n := known(); n != 1 {
		t.Errorf("%d endpoints are known while one answers, want 1", n)
	}
	close(finish)
	if got := <-status; got != 200 {
		t.Errorf("status %d", got)
	}
	for end := time.Now().Add(testTimeout); known() != 0 && time.Now().Before(end); {
		time.Sleep(time.Millisecond)
	}
	if n := known(); n != 0 {
		t.Errorf("%d endpoints are known in the end", n)
	}
}

// An unsafe request that may have run is failed, never refused and never sent again;
// one that never ran goes to another endpoint.
func TestUnsafeRequestIsRetriedOnlyIfItDidNotRun(t *testing.T) {
	var ran atomic.Int32
	drops := fake.StartTCPServer(t, func(c net.Conn) {
		defer c.Close()
		if fake.DiscardRequest(bufio.NewReader(c)) == nil {
			ran.Add(1)
		}
	})
	p := startSidecar(t, fake.NewConfig(t, fake.EndpointList(drops)))
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
	p = startSidecar(t, fake.NewConfig(t, fake.EndpointList(fake.StartHTTPServer(t, full), fake.StartHTTPServer(t, full))))
	if resp, _ := p.send(p.request("pay", "x")); resp.StatusCode != 200 || turned.Load() != 2 {
		t.Errorf("%s after %d attempts, want a 200 after 2", resp.Status, turned.Load())
	}
}

// A request that never ran and that nobody will take is refused at once, and its client is
// told when to come back.
func TestServerRefusesWithRetryAfterIfTimeoutIsTooShort(t *testing.T) {
	c := fake.NewConfig(t, discovery.List{})
	c.BalancerConfig.Limits.MaxRetryAfter = 1500 * time.Millisecond
	p := startSidecar(t, c)
	req := p.request("pay", "x")
	req.Header.Set("X-Timeout", "1m") // too short for the balancer to begin
	if resp, _ := p.send(req); resp.StatusCode != http.StatusServiceUnavailable || resp.Header.Get("Retry-After") != "1.500" {
		t.Errorf("%s %v, want a 503 with Retry-After: 1.500", resp.Status, resp.Header)
	}
}

// Bad input reaches neither the balancer nor an endpoint.
func TestServerRejectsInvalidRequests(t *testing.T) {
	addr := fake.StartHTTPServer(t, func(http.ResponseWriter, *http.Request) { t.Error("it reached an endpoint") })
	p := startSidecar(t, fake.NewConfig(t, fake.EndpointList(addr)))
	for name, c := range map[string]struct {
		spoil func(r *http.Request)
		want  int
	}{
		"no id":          {func(r *http.Request) { r.Header.Del("X-Request-ID") }, 400},
		"long id":        {func(r *http.Request) { r.Header.Set("X-Request-ID", strings.Repeat("x", maxRequestIDBytes+1)) }, 400},
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
			r.Body, r.ContentLength = io.NopCloser(strings.NewReader(strings.Repeat("x", maxBodyBytes+1))), maxBodyBytes+1
		}, 413},
		"long body in chunks": {func(r *http.Request) {
			r.Body, r.ContentLength = io.NopCloser(strings.NewReader(strings.Repeat("x", maxBodyBytes+1))), -1
		}, 413},
	} {
		req := p.request("book", "x")
		c.spoil(req)
		if resp, _ := p.send(req); resp.StatusCode != c.want {
			t.Errorf("%s: %s, want %d", name, resp.Status, c.want)
		}
	}
	if n := p.engine.Stats().CallsTotal; n != 0 {
		t.Errorf("%d requests reached the balancer", n)
	}
}

func TestServerForwardsBufferedChunkedBodyWithLength(t *testing.T) {
	const head = "POST /api/a HTTP/1.1\r\nHost: a\r\nX-Request-ID: %s\r\nX-Priority-Class: book\r\nIdempotency-Key: k\r\nTransfer-Encoding: chunked\r\n"
	addr := fake.StartHTTPServer(t, func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		fmt.Fprintf(w, "%s %d %v", body, r.ContentLength, r.TransferEncoding)
	})
	p := startSidecar(t, fake.NewConfig(t, fake.EndpointList(addr)))
	c := p.dial("")
	in := bufio.NewReader(c)
	for i, body := range []string{
		"\r\n4\r\ntank\r\n6;x=y\r\n level\r\n0\r\n\r\n",
		"Expect: 100-continue\r\n\r\n4\r\ntank\r\n6\r\n level\r\n0\r\nX-Checksum: dropped\r\n\r\n",
	} {
		text := fmt.Sprintf(head, fmt.Sprint("r-", i)) + body
		for len(text) > 0 { // a few bytes a segment
			n := min(7, len(text))
			io.WriteString(c, text[:n])
			text = text[n:]
		}
		resp, err := http.ReadResponse(in, nil)
		if err == nil && resp.StatusCode == http.StatusContinue {
			resp, err = http.ReadResponse(in, nil)
		}
		if err != nil {
			t.Fatal(err)
		}
		got, _ := io.ReadAll(resp.Body)
		if resp.StatusCode != 200 || resp.Close || string(got) != "tank level 10 []" {
			t.Errorf("%d: %s %q, closes %v", i, resp.Status, got, resp.Close)
		}
	}
	for name, body := range map[string]string{
		"a size that is none": "\r\nxyz\r\n", "a chunk without its end": "\r\n4\r\ntankX\r\n0\r\n\r\n", "a bare LF": "\r\n4\ntank\r\n0\r\n\r\n",
		"a size that overflows": "\r\nfffffffffffffffff\r\n",
	} {
		resp, err := http.ReadResponse(bufio.NewReader(p.dial(fmt.Sprintf(head, "bad")+body)), nil)
		if err != nil || resp.StatusCode/100 != 4 || !resp.Close {
			t.Errorf("%s: %+v %v, want an error that closes", name, resp, err)
		}
	}
}

func TestTimeoutOfSlowlySentRequestCountsFromItsLastByte(t *testing.T) {
	const slow = time.Second // more than body_time, within head_time
	told := make(chan time.Duration, 1)
	addr := fake.StartHTTPServer(t, func(w http.ResponseWriter, r *http.Request) {
		timeout, _ := parseTimeout([]byte(r.Header.Get("X-Timeout")))
		told <- timeout
		io.Copy(w, r.Body)
	})
	p := startSidecar(t, fake.NewConfig(t, fake.EndpointList(addr)))
	c := p.dial("POST /api/a HTTP/1.1\r\nHost: a\r\nX-Request-ID: slow\r\nX-Priority-Class: book\r\nIdempotency-Key: k\r\nX-Timeout: 1500m\r\nContent-Length: 4\r\n\r\nta")
	time.Sleep(slow)
	io.WriteString(c, "nk")
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil || resp.StatusCode != http.StatusOK {
		t.Fatalf("%+v, %v", resp, err)
	}
	if got := <-told; got <= 1500*time.Millisecond-slow || got > 1500*time.Millisecond {
		t.Errorf("the endpoint has %v", got)
	}
}

func TestPartlyPipelinedRequestGetsItsRemainingTimeout(t *testing.T) {
	const timeout, hold = 1500 * time.Millisecond, 500 * time.Millisecond
	told := make(chan time.Duration, 2)
	began := make(chan struct{}, 2)
	addr := fake.StartHTTPServer(t, func(w http.ResponseWriter, r *http.Request) {
		d, _ := parseTimeout([]byte(r.Header.Get("X-Timeout")))
		told <- d
		began <- struct{}{}
		if r.Header.Get("X-Request-ID") == "first" {
			time.Sleep(hold)
		}
	})
	p := startSidecar(t, fake.NewConfig(t, fake.EndpointList(addr)))
	text := func(id string) string {
		return fmt.Sprintf("POST /api/a HTTP/1.1\r\nHost: a\r\nX-Request-ID: %s\r\nX-Priority-Class: book\r\nIdempotency-Key: %s\r\nX-Timeout: %dm\r\nContent-Length: 4\r\n\r\ntank",
			id, id, timeout.Milliseconds())
	}
	second := text("second")
	c := p.dial(text("first") + second[:20])
	waitFor(t, began, "first request")
	io.WriteString(c, second[20:])
	sent := time.Now()
	in := bufio.NewReader(c)
	for range 2 {
		if resp, err := http.ReadResponse(in, nil); err != nil || resp.StatusCode != http.StatusOK {
			t.Fatalf("%+v, %v", resp, err)
		}
	}
	<-told
	if got, left := <-told, timeout-time.Since(sent); got > left+150*time.Millisecond {
		t.Errorf("the endpoint was told %v, with %v left", got, left)
	}
}

// A request whose end can be read in two ways may hide another: neither is passed on.
func TestServerRejectsAmbiguousFraming(t *testing.T) {
	addr := fake.StartHTTPServer(t, func(http.ResponseWriter, *http.Request) { t.Error("it reached an endpoint") })
	p := startSidecar(t, fake.NewConfig(t, fake.EndpointList(addr)))
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

func TestRequestIsNotSentIfCallerDisconnectedBeforeAccept(t *testing.T) {
	var arrived atomic.Int32
	addr := fake.StartHTTPServer(t, func(w http.ResponseWriter, r *http.Request) {
		if r.Header.Get("X-Request-ID") != "" && r.URL.Path != "/load" {
			arrived.Add(1)
		}
	})
	c := fake.NewConfig(t, fake.EndpointList(addr))
	e, err := engine.New(c)
	if err != nil {
		t.Fatal(err)
	}
	s, err := NewServer(c, e)
	if err != nil {
		t.Fatal(err)
	}
	defer s.Close()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	const callers = 20
	for i := range callers {
		caller, err := net.Dial("tcp", l.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		fmt.Fprintf(caller, "GET /api/a HTTP/1.1\r\nHost: a\r\nX-Request-ID: r-%d\r\nX-Priority-Class: read\r\n\r\n", i)
		caller.Close()
	}
	go s.Serve(l)
	resp, err := http.Get("http://" + l.Addr().String() + "/healthz") // which is accepted after them
	if err != nil {
		t.Fatal(err)
	}
	resp.Body.Close()
	s.Shutdown() // which waits for all
	if n := arrived.Load(); n > 0 {
		t.Errorf("%d of %d were sent on", n, callers)
	}
}

// A client that has gone is owed nothing: its attempt's connection is closed.
func TestCallerDisconnectCancelsAttempt(t *testing.T) {
	began, ended := make(chan struct{}), make(chan struct{})
	addr := fake.StartHTTPServer(t, func(_ http.ResponseWriter, r *http.Request) {
		io.Copy(io.Discard, r.Body)
		close(began)
		<-r.Context().Done()
		close(ended)
	})
	p := startSidecar(t, fake.NewConfig(t, fake.EndpointList(addr)))
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		if resp, err := http.DefaultTransport.RoundTrip(newRequest(ctx, t, p.url, "book", "x")); err == nil {
			resp.Body.Close()
		}
	}()
	waitFor(t, began, "attempt")
	cancel()
	waitFor(t, ended, "end of the attempt")
}

// An attempt that waits for a connection must not go out once its endpoint has left.
func TestAttemptWaitingForConnectionIsNotSentToDrainingEndpoint(t *testing.T) {
	began, finish := make(chan struct{}), make(chan struct{})
	holds := fake.StartHTTPServer(t, func(http.ResponseWriter, *http.Request) {
		close(began)
		<-finish
	})
	leaving := fake.StartHTTPServer(t, func(http.ResponseWriter, *http.Request) { t.Error("it went out late") })
	list := func(id, addr string) discovery.List {
		l := fake.EndpointList(addr)
		l.Instances[0].ID = id
		return l
	}
	c := fake.NewConfig(t, list("holds", holds))
	c.Settings.Endpoints.MaxConnections = 1
	p := startSidecar(t, c)
	ask := func(id string) chan int {
		status := make(chan int, 1)
		req := p.request("pay", "x")
		req.Header.Set("X-Request-ID", id)
		go func() {
			resp, _ := p.send(req)
			status <- resp.StatusCode
		}()
		return status
	}
	first := ask("1") // which holds the only connection
	waitFor(t, began, "first attempt")
	l := list("leaves", leaving)
	p.engine.UpdateEndpoints(&l)
	status := ask("2")
	for p.engine.Stats().WaitingExchanges == 0 {
		time.Sleep(time.Millisecond)
	}
	l = fake.EndpointList(fake.StartHTTPServer(t, func(http.ResponseWriter, *http.Request) {}))
	l.Full = false
	l.Instances = append(l.Instances, discovery.Instance{ID: "leaves", HostPort: leaving, Zone: "a", Lifecycle: "draining"})
	p.engine.UpdateEndpoints(&l)
	close(finish)
	if got := <-first; got != 200 {
		t.Errorf("the first: %d", got)
	}
	select {
	case got := <-status:
		if got != 200 {
			t.Errorf("status %d, want 200 from the other endpoint", got)
		}
	case <-time.After(testTimeout):
		t.Fatal("no answer")
	}
}

// An endpoint's address may change under its id.
func TestEndpointAddressChange(t *testing.T) {
	who := func(name string) string {
		return fake.StartHTTPServer(t, func(w http.ResponseWriter, _ *http.Request) { io.WriteString(w, name) })
	}
	first, second := fake.EndpointList(who("first")), fake.EndpointList(who("second"))
	p := startSidecar(t, fake.NewConfig(t, first))
	if _, got := p.send(p.request("read", "")); got != "first" {
		t.Errorf("%q, want first", got)
	}
	p.engine.UpdateEndpoints(&second)
	if _, got := p.send(p.request("read", "")); got != "second" {
		t.Errorf("%q, want second", got)
	}
}

// Idle connections to a process that has been replaced are not used again.
func TestEndpointRestartClosesIdleConnections(t *testing.T) {
	var conns atomic.Int32
	s := httptest.NewUnstartedServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	s.Config.ConnState = func(_ net.Conn, state http.ConnState) {
		if state == http.StateNew {
			conns.Add(1)
		}
	}
	s.Start()
	t.Cleanup(s.Close)
	l := fake.EndpointList(s.Listener.Addr().String())
	p := startSidecar(t, fake.NewConfig(t, l))
	for range 2 {
		if resp, _ := p.send(p.request("read", "")); resp.StatusCode != 200 {
			t.Fatal(resp.Status)
		}
		l.Instances[0].StartedAtUnixMilli = time.Now().Add(-time.Hour).UnixMilli()
		p.engine.UpdateEndpoints(&l)
	}
	if n := conns.Load(); n != 2 {
		t.Errorf("%d connections, want 2", n)
	}
}

// What was taken before and shortly after the signal is answered, and callers are steered off.
func TestShutdownServesOpenAndNewRequests(t *testing.T) {
	var once sync.Once
	began, finish := make(chan struct{}), make(chan struct{})
	addr := fake.StartHTTPServer(t, func(w http.ResponseWriter, r *http.Request) {
		io.Copy(io.Discard, r.Body)
		once.Do(func() { close(began) })
		<-finish
		io.WriteString(w, "ok")
	})
	c := fake.NewConfig(t, fake.EndpointList(addr))
	c.Settings.Shutdown.AcceptGrace = 3 * time.Second // ample on a slow machine
	p := startSidecar(t, c)
	type result struct {
		status int
		closes bool
	}
	results := make(chan result, 1)
	go func() {
		resp, _ := p.send(p.request("book", "x"))
		results <- result{resp.StatusCode, resp.Close}
	}()
	waitFor(t, began, "attempt")
	stopped := make(chan struct{})
	go func() {
		p.server.Shutdown()
		close(stopped)
	}()
	for !p.server.httpServer.Draining() {
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
	waitFor(t, stopped, "shutdown")
	if err := <-p.serveErr; err != nil {
		t.Error(err)
	}
}

func TestShutdownFailsHangingRequestBeforeProcessIsKilled(t *testing.T) {
	began := make(chan struct{}, 1)
	addr := fake.StartHTTPServer(t, func(_ http.ResponseWriter, r *http.Request) {
		io.Copy(io.Discard, r.Body)
		began <- struct{}{}
		<-r.Context().Done() // it hangs through the whole shutdown
	})
	c := fake.NewConfig(t, fake.EndpointList(addr))
	for i := range c.BalancerConfig.Classes {
		c.BalancerConfig.Classes[i].Deadline = testTimeout
		c.BalancerConfig.Classes[i].TargetLatency = testTimeout
	}
	c.Settings.Shutdown.AcceptGrace = 0
	p := startSidecar(t, c)
	req := p.request("pay", "x")
	caller := p.dial(fmt.Sprintf("POST %s HTTP/1.1\r\nHost: a\r\nX-Request-ID: hangs\r\nX-Priority-Class: pay\r\nX-Timeout: 19000m\r\nContent-Length: 1\r\n\r\nx",
		req.URL.RequestURI()))
	waitFor(t, began, "attempt")
	stopped := make(chan struct{})
	go func() {
		p.server.Shutdown()
		close(stopped)
	}()
	resp, err := http.ReadResponse(bufio.NewReader(caller), nil)
	if err != nil || resp.StatusCode != http.StatusBadGateway || !resp.Close {
		t.Errorf("%+v %v, want 502 and a close", resp, err)
	}
	waitFor(t, stopped, "shutdown")
}

// Idle callers must not keep a new one out.
func TestIdleCallerConnectionsAreEvicted(t *testing.T) {
	addr := fake.StartHTTPServer(t, func(w http.ResponseWriter, _ *http.Request) { io.WriteString(w, "ok") })
	c := fake.NewConfig(t, fake.EndpointList(addr))
	c.Limits.Sockets = config.MinSockets
	p := startSidecar(t, c)
	for i := range 2 * c.MaxCallerConnections() {
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
func (p *testSidecar) dial(text string) net.Conn {
	p.t.Helper()
	c, err := net.Dial("tcp", strings.TrimPrefix(p.url, "http://"))
	if err != nil {
		p.t.Fatal(err)
	}
	p.t.Cleanup(func() { c.Close() })
	c.SetDeadline(time.Now().Add(testTimeout))
	if _, err := io.WriteString(c, text); err != nil {
		p.t.Fatal(err)
	}
	return c
}

// Callers that say nothing, or half of something, must not shut out one that asks.
func TestStalledCallerConnectionsAreEvicted(t *testing.T) {
	for _, text := range []string{"", "POST /api/a HTTP/1.1\r\nHost:"} {
		c := fake.NewConfig(t, fake.EndpointList(fake.StartHTTPServer(t, func(http.ResponseWriter, *http.Request) {})))
		c.Limits.Sockets = config.MinSockets
		p := startSidecar(t, c)
		for range 20 * c.MaxCallerConnections() {
			p.dial(text)
		}
		own := &http.Transport{}
		defer own.CloseIdleConnections()
		ctx, cancel := context.WithTimeout(context.Background(), testTimeout) // half of what their time-outs come to
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
func TestServerEndsIncompleteAndMalformedRequests(t *testing.T) {
	if k := config.DefaultSettings().Callers; k.HeadTimeout+k.BodyTimeout >= 3*time.Second {
		t.Errorf("%v for a header and %v for a body come to 3 s", k.HeadTimeout, k.BodyTimeout)
	}
	addr := fake.StartHTTPServer(t, func(http.ResponseWriter, *http.Request) { t.Error("it reached an endpoint") })
	p := startSidecar(t, fake.NewConfig(t, fake.EndpointList(addr)))
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
				t.Errorf("open after %v", testTimeout)
			}
			if len(got) > 0 && !strings.HasPrefix(string(got), "HTTP/1.1 4") {
				t.Errorf("answered %.40q", got)
			}
		})
	}
}

// A request with the id of one that is open is turned away; once that is answered, it is free.
func TestServerRejectsRequestIDThatIsOpen(t *testing.T) {
	began, finish := make(chan struct{}, 2), make(chan struct{})
	p := startSidecar(t, fake.NewConfig(t, fake.EndpointList(fake.StartHTTPServer(t, func(_ http.ResponseWriter, r *http.Request) {
		io.Copy(io.Discard, r.Body)
		began <- struct{}{}
		<-finish
	}))))
	status := make(chan int, 1)
	go func() {
		resp, _ := p.send(p.request("book", "x"))
		status <- resp.StatusCode
	}()
	waitFor(t, began, "attempt")
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
func TestTimeoutIsCappedAtClassDeadline(t *testing.T) {
	p := startSidecar(t, fake.NewConfig(t, discovery.List{}))
	c := new(engine.Call)
	err := p.server.parseHead(c, parseRequestHead(t, "GET / HTTP/1.1\r\nHost: a\r\nX-Request-ID: 1\r\nX-Priority-Class: read\r\nX-Timeout: 3000000m\r\n\r\n"))
	if err != nil || c.Timeout != 30*time.Second {
		t.Errorf("budget %v, %v, want the class's 30 s", c.Timeout, err)
	}
}

// A request sent ahead on its connection waits for the one before it. Its client counts that
// time: an answer must come within what is left, not within as much again.
func TestPipelinedRequestTimeoutIncludesItsWait(t *testing.T) {
	began, finish := make(chan struct{}, 2), make(chan struct{})
	p := startSidecar(t, fake.NewConfig(t, fake.EndpointList(fake.StartHTTPServer(t, func(_ http.ResponseWriter, r *http.Request) {
		io.Copy(io.Discard, r.Body)
		began <- struct{}{}
		<-finish
	}))))
	const head = "POST /api/a HTTP/1.1\r\nHost: a\r\nX-Request-ID: %d\r\nX-Priority-Class: book\r\n" +
		"Idempotency-Key: k\r\nX-Timeout: %dm\r\nContent-Length: 1\r\n\r\nx"
	const second = 50 * time.Millisecond
	first := fmt.Sprintf(head, 1, testTimeout.Milliseconds())
	next := fmt.Sprintf(head, 2, second.Milliseconds())
	for name, texts := range map[string][]string{"at once": {first + next}, "one by one": {first, next}} {
		c := p.dial(texts[0])
		waitFor(t, began, name)
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

// parseRequestHead parses a request's head.
func parseRequestHead(t *testing.T, text string) *http1.Request {
	t.Helper()
	r := http1.NewRequest(http1.DefaultLimits)
	if n, err := r.Parse([]byte(text)); n == 0 || err != nil {
		t.Fatal(n, err)
	}
	return r
}

// What an endpoint says of its answer's body goes on with it; what concerns its connection or
// this sidecar does not. One of the protocol's own fields that Connection names would not
// reach an endpoint: that is refused.
func TestServerForwardsEndToEndResponseFields(t *testing.T) {
	p := startSidecar(t, fake.NewConfig(t, fake.EndpointList(fake.StartHTTPServer(t, func(w http.ResponseWriter, r *http.Request) {
		for name, value := range map[string]string{
			"Content-Type": "text/x", "Content-Encoding": "x", "X-Server-Load": "TEXT inflight=1", "X-Mine": "1",
			"Connection": "X-Hop", "X-Hop": "1", "Keep-Alive": "timeout=5",
		} {
			w.Header().Set(name, value)
		}
		io.WriteString(w, "ok")
	}))))
	resp, body := p.send(p.request("read", ""))
	h := resp.Header
	if body != "ok" || h.Get("Content-Type") != "text/x" || h.Get("Content-Encoding") != "x" || h.Get("X-Mine") != "1" ||
		h.Get("X-Server-Load")+h.Get("X-Hop")+h.Get("Keep-Alive") != "" || len(h["Date"]) != 1 || resp.ContentLength != 2 {
		t.Errorf("%q %v", body, h)
	}
	req := p.request("book", "x")
	req.Header.Set("Connection", "idempotency-key")
	if resp, _ := p.send(req); resp.StatusCode != http.StatusBadRequest {
		t.Errorf("a key that Connection names: %s", resp.Status)
	}
}

// The ids of open requests against a plain set.
func TestOpenIDsMatchModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := &Server{openIDs: make(map[string]struct{})}
		model := make(map[string]bool)
		id := rapid.SampledFrom([]string{"a", "b", "A", "a "})
		t.Repeat(map[string]func(*rapid.T){
			"open": func(t *rapid.T) {
				id := id.Draw(t, "id")
				if got := s.registerID(id); got == model[id] {
					t.Fatalf("%q opened: %v, while open: %v", id, got, model[id])
				}
				model[id] = true
			},
			"close": func(t *rapid.T) {
				id := id.Draw(t, "id")
				s.unregisterID(id)
				delete(model, id)
			},
			"": func(t *rapid.T) {
				if len(s.openIDs) != len(model) {
					t.Fatalf("%d ids are held, want %d", len(s.openIDs), len(model))
				}
			},
		})
	})
}
