package httpserver

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"barleydrum.example/barleydrum/internal/transferrate"
)

// testTimeout is how long a test waits for an event that must happen. No test depends on it being short.
const testTimeout = 20 * time.Second

// hugeResponseBytes is the length of a body that does not fit into a socket buffer.
const hugeResponseBytes = 64 << 20

// streamTimeout is the deadline and the rate window of a streamed response.
const streamTimeout = time.Second

// echoHandler responds with the method, the target and the body of a request. Some paths differ:
//   - /hold first waits for release, or until the caller disconnects;
//   - /hold-responded waits for release after it has composed an empty response;
//   - /long responds with 4 MiB and /huge with 64 MiB of zeros;
//   - /stream streams its response;
//   - /hijack takes over the connection;
//   - /panic panics;
//   - /reject is rejected by CheckHead.
type echoHandler struct {
	holding, canceled chan struct{} // receive an element for each request that waits, or whose caller has disconnected
	release           chan struct{} // closed to end all waits
	hijacked          chan *HijackedConn
	requestCount      atomic.Int32
}

func newEchoHandler() *echoHandler {
	return &echoHandler{holding: make(chan struct{}, 2000), canceled: make(chan struct{}, 2000), release: make(chan struct{}), hijacked: make(chan *HijackedConn, 1)}
}

func (*echoHandler) CheckHead(x *Exchange) *ErrorResponse {
	if string(x.RequestHead().Path()) == "/reject" {
		return &ErrorResponse{Status: http.StatusForbidden, Message: "no"}
	}
	x.HandlerState = "seen"
	return nil
}

// cancelNotifier is a Canceler that sends to a channel.
type cancelNotifier chan struct{}

func (l cancelNotifier) Cancel() { l <- struct{}{} }

func (e *echoHandler) ServeExchange(x *Exchange) {
	e.requestCount.Add(1)
	if x.HandlerState != "seen" {
		panic("HandlerState was not set by CheckHead")
	}
	switch path := string(x.RequestHead().Path()); path {
	case "/hold-responded": // the test starts the shutdown after the response has been composed
		x.Respond(200, "", nil, nil)
		e.holding <- struct{}{}
		<-e.release
		return
	case "/hijack":
		e.hijacked <- x.Hijack()
		return
	case "/panic":
		panic("a fault")
	case "/long":
		x.Respond(200, "", nil, make([]byte, 4<<20))
		return
	case "/huge":
		x.Respond(200, "", nil, make([]byte, hugeResponseBytes))
		return
	case "/stream":
		body := []byte("streamed")
		limits := StreamLimits{RateMeter: transferrate.Meter{MinBytesPerSecond: 1, Window: streamTimeout}, Deadline: time.Now().Add(streamTimeout)}
		if err := x.StartResponse(200, nil, int64(len(body)), limits); err == nil {
			x.WriteBody(body)
			x.FinishResponse(nil)
		}
		return
	case "/hold":
		canceled := make(cancelNotifier, 1)
		connected := x.NotifyDisconnect(canceled)
		e.holding <- struct{}{}
		if connected {
			select {
			case <-canceled:
				connected = false
			case <-e.release:
			}
		}
		x.StopNotifyDisconnect()
		if !connected {
			e.canceled <- struct{}{}
		}
	}
	x.Respond(200, "text/plain", nil, fmt.Appendf(nil, "%s %s %s", x.RequestHead().Method(), x.RequestHead().Target(), x.Body))
}

// testServer is a running Server with an echoHandler.
type testServer struct {
	t           testing.TB
	server      *Server
	handler     *echoHandler
	addr        string
	serveResult chan error // of Server.Serve
}

// longTimeouts returns timeouts that are not reached in a passing test.
func longTimeouts() Timeouts {
	return Timeouts{Head: testTimeout, Body: testTimeout, Idle: testTimeout, Write: testTimeout, EvictionGrace: testTimeout}
}

// startServer starts a server on a loopback address.
func startServer(t testing.TB, maxConns int, timeouts Timeouts) *testServer {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	return startServerOn(t, l, maxConns, timeouts)
}

// startServerOn starts a server on the listener l.
func startServerOn(t testing.TB, l net.Listener, maxConns int, timeouts Timeouts) *testServer {
	t.Helper()
	handler := newEchoHandler()
	server, err := New(Config{Handler: handler, MaxConnections: maxConns, MaxHeadBytes: 16 << 10, MaxBodyBytes: func() int { return 64 << 10 }, Timeouts: func() Timeouts { return timeouts }})
	if err != nil {
		t.Fatal(err)
	}
	srv := &testServer{t: t, server: server, handler: handler, addr: l.Addr().String(), serveResult: make(chan error, 1)}
	go func() { srv.serveResult <- server.Serve(l) }()
	t.Cleanup(server.Close)
	return srv
}

// dial opens a connection and sends data on it.
func (s *testServer) dial(data string) net.Conn {
	s.t.Helper()
	c, err := net.Dial("tcp", s.addr)
	if err != nil {
		s.t.Fatal(err)
	}
	s.t.Cleanup(func() { c.Close() })
	c.SetDeadline(time.Now().Add(testTimeout))
	if _, err := io.WriteString(c, data); err != nil {
		s.t.Fatal(err)
	}
	return c
}

// postRequest returns a POST request as it is sent.
func postRequest(target, body string) string {
	return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n%s", target, len(body), body)
}

// readResponse reads one response and its body.
func (s *testServer) readResponse(reader *bufio.Reader) (*http.Response, string) {
	s.t.Helper()
	resp, err := http.ReadResponse(reader, nil)
	if err != nil {
		s.t.Fatal(err)
	}
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		s.t.Fatal(err)
	}
	return resp, string(body)
}

// waitFor waits for an element on c. event describes it in the failure message.
func (s *testServer) waitFor(c <-chan struct{}, event string) {
	s.t.Helper()
	select {
	case <-c:
	case <-time.After(testTimeout):
		s.t.Fatalf("%s: not within %v", event, testTimeout)
	}
}

// waitForOpenConns waits until at most maxOpen connections are open.
func (s *testServer) waitForOpenConns(maxOpen int) {
	s.t.Helper()
	for deadline := time.Now().Add(testTimeout); ; time.Sleep(time.Millisecond) {
		s.server.mu.Lock()
		n := len(s.server.conns)
		s.server.mu.Unlock()
		if n <= maxOpen && len(s.server.slots) <= maxOpen+1 { // Serve holds one slot for the next connection
			return
		}
		if time.Now().After(deadline) {
			s.t.Fatalf("%d connections remain and %d slots are in use", n, len(s.server.slots))
		}
	}
}

// Requests with bodies of several lengths are served in turn on one connection, whether they arrive in one
// write or byte by byte.
func TestServerServesRequestsInTurn(t *testing.T) {
	srv := startServer(t, 10, longTimeouts())
	long := strings.Repeat("x", 60<<10)
	for name, writeSize := range map[string]int{"whole": 1 << 20, "by bytes": 1} {
		c := srv.dial("")
		reader := bufio.NewReader(c)
		for _, body := range []string{"", "short", long} {
			if writeSize == 1 && len(body) > 100 {
				continue
			}
			request := postRequest("/a?b", body)
			for len(request) > 0 {
				n := min(writeSize, len(request))
				if _, err := io.WriteString(c, request[:n]); err != nil {
					t.Fatal(err)
				}
				request = request[n:]
			}
			resp, got := srv.readResponse(reader)
			if resp.StatusCode != 200 || got != "POST /a?b "+body || resp.Close || resp.Header.Get("Date") == "" {
				t.Errorf("%s: %s %v %.40q", name, resp.Status, resp.Header, got)
			}
		}
	}
}

// The server honors Connection: close, and sends 100 Continue to a caller that waits for it only if the
// request was accepted by its head.
func TestServerHonorsConnectionCloseAndExpectContinue(t *testing.T) {
	srv := startServer(t, 10, longTimeouts())
	c := srv.dial("GET / HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n")
	reader := bufio.NewReader(c)
	if resp, _ := srv.readResponse(reader); !resp.Close {
		t.Error("the response has no Connection: close")
	}
	if _, err := reader.ReadByte(); err != io.EOF {
		t.Errorf("%v, want io.EOF", err)
	}
	for target, want := range map[string]int{"/": 100, "/reject": 403} {
		c := srv.dial("POST " + target + " HTTP/1.1\r\nHost: a\r\nExpect: 100-continue\r\nContent-Length: 2\r\n\r\n")
		reader := bufio.NewReader(c)
		resp, err := http.ReadResponse(reader, nil)
		if err != nil || resp.StatusCode != want {
			t.Fatalf("%s: %v %v", target, resp, err)
		}
		if want == 100 {
			io.WriteString(c, "ok")
			if _, body := srv.readResponse(reader); body != "POST / ok" {
				t.Errorf("%q", body)
			}
		}
	}
}

// Pipelined requests are served in order. One that is malformed or rejected gets a 4xx response and closes
// the connection; requests after it are not served.
func TestServerServesPipelinedRequestsInOrder(t *testing.T) {
	srv := startServer(t, 10, longTimeouts())
	for name, invalid := range map[string]string{
		"garbage": "\x00\xff", "two lengths": "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\nContent-Length: 9\r\n\r\n",
		"rejected": postRequest("/reject", "body"),
	} {
		before := srv.handler.requestCount.Load()
		c := srv.dial(postRequest("/1", "a") + postRequest("/2", "") + invalid + postRequest("/3", "c"))
		reader := bufio.NewReader(c)
		for _, want := range []string{"POST /1 a", "POST /2 "} {
			if _, got := srv.readResponse(reader); got != want {
				t.Errorf("%s: %q, want %q", name, got, want)
			}
		}
		if resp, _ := srv.readResponse(reader); resp.StatusCode/100 != 4 || !resp.Close {
			t.Errorf("%s: %s, Close: %v", name, resp.Status, resp.Close)
		}
		if n, _ := io.Copy(io.Discard, reader); n > 0 {
			t.Errorf("%s: %d bytes after the last response", name, n)
		}
		if n := srv.handler.requestCount.Load() - before; n != 2 {
			t.Errorf("%s: %d requests were served, want 2", name, n)
		}
	}
}

// A caller may close or reset its connection, or end its sending, in each stage. The server removes the
// connection and cancels a request that is being served.
func TestServerDetectsDisconnectInEveryStage(t *testing.T) {
	srv := startServer(t, 10, longTimeouts())
	for name, sent := range map[string]string{
		"new": "", "part of a head": "POST / HT", "a head": "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 9\r\n\r\n",
		"part of a body": "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 9\r\n\r\nhalf", "serving": postRequest("/hold", ""),
		"serving, with more data": postRequest("/hold", "") + "POST",
	} {
		for how, disconnect := range map[string]func(c *net.TCPConn){
			"closes": func(c *net.TCPConn) { c.Close() },
			"resets": func(c *net.TCPConn) {
				c.SetLinger(0)
				c.Close()
			},
			"ends its sending": func(c *net.TCPConn) { c.CloseWrite() },
		} {
			c := srv.dial(sent).(*net.TCPConn)
			if strings.HasPrefix(name, "serving") {
				srv.waitFor(srv.handler.holding, "request")
			}
			disconnect(c)
			if strings.HasPrefix(name, "serving") {
				srv.waitFor(srv.handler.canceled, name+", "+how)
			}
			srv.waitForOpenConns(0)
		}
	}
}

// The connection of a caller that reads nothing is closed when Timeouts.Write has passed.
func TestServerEnforcesWriteTimeout(t *testing.T) {
	timeouts := longTimeouts()
	timeouts.Write = 20 * time.Millisecond
	srv := startServer(t, 10, timeouts)
	srv.dial(postRequest("/long", ""))
	for srv.handler.requestCount.Load() == 0 {
		time.Sleep(time.Millisecond)
	}
	srv.waitForOpenConns(0)
}

// Each stage has its timeout, after which the connection is closed. A caller that has sent part of a body
// gets a response first.
func TestServerEnforcesTimeoutOfEachStage(t *testing.T) {
	timeouts := longTimeouts()
	timeouts.Head, timeouts.Body, timeouts.Idle = 30*time.Millisecond, 30*time.Millisecond, 30*time.Millisecond
	srv := startServer(t, 10, timeouts)
	for name, sent := range map[string]string{
		"new": "", "half a head": "POST / HTTP/1.1\r\n", "half a body": "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 9\r\n\r\nhalf",
		"idle": postRequest("/", "x"),
	} {
		c := srv.dial(sent)
		got, err := io.ReadAll(c)
		if err != nil || name == "half a body" && !strings.HasPrefix(string(got), "HTTP/1.1 400") || name == "idle" && !strings.Contains(string(got), "POST / x") {
			t.Errorf("%s: %q %v", name, got, err)
		}
	}
	srv.waitForOpenConns(0)
}

// The connections of 1,000 callers that send their heads a byte at a time are closed in time, and don't
// keep out a caller that sends complete requests.
func TestServerClosesSlowHeads(t *testing.T) {
	timeouts := longTimeouts()
	timeouts.Head, timeouts.EvictionGrace = 2*time.Second, 10*time.Millisecond
	const slowCallers = 1000
	srv := startServer(t, 64, timeouts)
	stop := make(chan struct{})
	var wg sync.WaitGroup
	var closed atomic.Int32
	for range slowCallers {
		c, err := net.Dial("tcp", srv.addr)
		if err != nil {
			t.Fatal(err)
		}
		wg.Add(1)
		go func() {
			defer wg.Done()
			defer c.Close()
			for _, b := range []byte("POST / HTTP/1.1\r\nX: " + strings.Repeat("x", 10000)) {
				if _, err := c.Write([]byte{b}); err != nil {
					closed.Add(1)
					return
				}
				select {
				case <-stop:
					return
				case <-time.After(20 * time.Millisecond):
				}
			}
		}()
	}
	for i := range 5 {
		if _, got := srv.readResponse(bufio.NewReader(srv.dial(postRequest("/", "x")))); got != "POST / x" {
			t.Errorf("%d: %q", i, got)
		}
	}
	for deadline := time.Now().Add(2 * testTimeout); closed.Load() < slowCallers && time.Now().Before(deadline); {
		time.Sleep(5 * time.Millisecond)
	}
	close(stop)
	wg.Wait()
	if n := closed.Load(); n != slowCallers {
		t.Errorf("%d of %d slow connections were closed", n, slowCallers)
	}
}

// 1,000 idle connections use less than 4 KiB of heap each, and each is served again. The heap that their
// sockets use is not counted: it is measured first, on as many connections without a server.
func TestIdleConnectionsUseLittleMemory(t *testing.T) {
	const callers = 1000
	srv := startServer(t, callers+10, longTimeouts())
	heapBytes := func() uint64 {
		runtime.GC()
		runtime.GC() // the second run frees what a sync.Pool holds
		var stats runtime.MemStats
		runtime.ReadMemStats(&stats)
		return stats.HeapAlloc
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	before := heapBytes()
	var unserved []net.Conn
	for range callers {
		c, err := net.Dial("tcp", l.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		accepted, err := l.Accept()
		if err != nil {
			t.Fatal(err)
		}
		defer accepted.Close()
		unserved = append(unserved, c, accepted)
	}
	socketBytes := int64(heapBytes()-before) / callers
	runtime.KeepAlive(unserved)
	before = heapBytes()
	conns := make([]net.Conn, callers)
	exchange := func(c net.Conn) {
		t.Helper()
		if _, err := io.WriteString(c, postRequest("/", "x")); err != nil {
			t.Fatal(err)
		}
		if _, got := srv.readResponse(bufio.NewReader(c)); got != "POST / x" {
			t.Fatalf("%q", got)
		}
	}
	for i := range conns {
		conns[i] = srv.dial("")
		exchange(conns[i])
	}
	srv.waitForIdle(callers)
	connBytes := int64(heapBytes()-before)/callers - socketBytes
	t.Logf("%d bytes for each connection, and %d for its sockets", connBytes, socketBytes)
	if connBytes >= 4<<10 {
		t.Errorf("an idle connection uses %d bytes", connBytes)
	}
	for _, c := range conns {
		exchange(c)
	}
}

// waitForIdle waits until want connections are idle.
func (s *testServer) waitForIdle(want int) {
	s.t.Helper()
	for deadline := time.Now().Add(testTimeout); ; time.Sleep(time.Millisecond) {
		n := 0
		s.server.mu.Lock()
		for e := s.server.table.lists[stageIdle].front; e != nil; e = e.next {
			n++
		}
		s.server.mu.Unlock()
		if n == want {
			return
		}
		if time.Now().After(deadline) {
			s.t.Fatalf("%d connections are idle, want %d", n, want)
		}
	}
}

// A shutdown meets a connection in each stage. Idle connections are closed, a request that is being served
// gets its response, and requests that arrive or become complete within the grace time are served. All
// these responses announce that the connection closes.
func TestShutdownInEveryStage(t *testing.T) {
	srv := startServer(t, 10, longTimeouts())
	idleConn := srv.dial(postRequest("/", ""))
	idleReader := bufio.NewReader(idleConn)
	srv.readResponse(idleReader)
	srv.waitForIdle(1)
	newConn := srv.dial("")
	halfHead := srv.dial("POST / HTTP/1.1\r\nHost: a\r\n")
	halfBody := srv.dial("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\n\r\nha")
	serving := srv.dial(postRequest("/hold", ""))
	srv.waitFor(srv.handler.holding, "request")
	stopped := make(chan int, 1)
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
		defer cancel()
		stopped <- srv.server.Shutdown(ctx, 500*time.Millisecond)
	}()
	for !srv.server.Draining() {
		time.Sleep(time.Millisecond)
	}
	if _, err := idleReader.ReadByte(); err != io.EOF {
		t.Errorf("idle: %v, want io.EOF", err)
	}
	late := srv.dial(postRequest("/late", "x")) // while connections are still accepted
	io.WriteString(newConn, postRequest("/new", ""))
	io.WriteString(halfHead, "Content-Length: 0\r\n\r\n")
	io.WriteString(halfBody, "lf")
	close(srv.handler.release)
	for name, c := range map[string]net.Conn{"late": late, "new": newConn, "half a head": halfHead, "half a body": halfBody, "serving": serving} {
		reader := bufio.NewReader(c)
		if resp, _ := srv.readResponse(reader); resp.StatusCode != 200 || !resp.Close {
			t.Errorf("%s: %s, Close: %v", name, resp.Status, resp.Close)
		}
		if _, err := reader.ReadByte(); err != io.EOF {
			t.Errorf("%s: %v, want io.EOF", name, err)
		}
	}
	select {
	case remaining := <-stopped:
		if remaining != 0 {
			t.Errorf("%d connections remain", remaining)
		}
	case <-time.After(testTimeout):
		t.Fatal("Shutdown does not return")
	}
	if err := <-srv.serveResult; err != nil {
		t.Error(err)
	}
}

// A connection may become idle just after Shutdown has called requestClose for the idle ones, with a response
// that was composed before the shutdown and so lacks Connection: close. It must be closed at once; Shutdown
// must not wait for its idle timeout.
func TestShutdownClosesConnectionThatBecomesIdle(t *testing.T) {
	srv := startServer(t, 10, Timeouts{Head: testTimeout, Body: testTimeout, Idle: 10 * testTimeout, Write: testTimeout, EvictionGrace: testTimeout})
	c := srv.dial(postRequest("/hold-responded", ""))
	srv.waitFor(srv.handler.holding, "request")
	stopped := make(chan int, 1)
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
		defer cancel()
		stopped <- srv.server.Shutdown(ctx, 0)
	}()
	for !srv.server.Draining() {
		time.Sleep(time.Millisecond)
	}
	time.Sleep(10 * time.Millisecond) // by now Shutdown has called requestClose for idle connections
	close(srv.handler.release)
	reader := bufio.NewReader(c)
	if resp, _ := srv.readResponse(reader); resp.StatusCode != 200 {
		t.Error(resp.Status)
	}
	if remaining := <-stopped; remaining != 0 {
		t.Errorf("%d connections remain", remaining)
	}
}

// Shutdown returns when its context ends, even if a request is still being served.
func TestShutdownReturnsWhenContextEnds(t *testing.T) {
	srv := startServer(t, 10, longTimeouts())
	srv.dial(postRequest("/hold", ""))
	srv.waitFor(srv.handler.holding, "request")
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Millisecond)
	defer cancel()
	if remaining := srv.server.Shutdown(ctx, 0); remaining != 1 {
		t.Errorf("%d connections remain, want 1", remaining)
	}
	close(srv.handler.release)
}

// emfileListener is a listener whose next Accept fails with EMFILE if failNext is set. As in the kernel,
// the connection that could not be accepted stays in the queue.
type emfileListener struct {
	net.Listener
	failNext atomic.Bool
	pending  net.Conn // connection that could not be accepted
}

func (s *emfileListener) Accept() (net.Conn, error) {
	c := s.pending
	if s.pending = nil; c == nil {
		var err error
		if c, err = s.Listener.Accept(); err != nil {
			return nil, err
		}
	}
	if s.failNext.CompareAndSwap(true, false) {
		s.pending = c
		return nil, &net.OpError{Op: "accept", Err: syscall.EMFILE}
	}
	return c, nil
}

// When file descriptors run out, neither the listener nor a request that is being served fails; an idle
// connection is evicted to free one.
func TestServerSurvivesDescriptorExhaustion(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	listener := &emfileListener{Listener: l}
	srv := startServerOn(t, listener, 10, longTimeouts())
	serving := srv.dial(postRequest("/hold", ""))
	srv.waitFor(srv.handler.holding, "request")
	idleConn := srv.dial(postRequest("/", ""))
	idleReader := bufio.NewReader(idleConn)
	srv.readResponse(idleReader)
	srv.waitForIdle(1)
	listener.failNext.Store(true)
	if _, got := srv.readResponse(bufio.NewReader(srv.dial(postRequest("/", "x")))); got != "POST / x" {
		t.Errorf("%q", got)
	}
	if _, err := idleReader.ReadByte(); err != io.EOF && !errors.Is(err, syscall.ECONNRESET) {
		t.Errorf("idle connection: %v", err)
	}
	close(srv.handler.release)
	if _, got := srv.readResponse(bufio.NewReader(serving)); got != "POST /hold " {
		t.Errorf("%q", got)
	}
}

// failingListener is a listener whose Accept first fails with each of acceptErrors in turn.
type failingListener struct {
	net.Listener
	acceptErrors []error
}

func (f *failingListener) Accept() (net.Conn, error) {
	if len(f.acceptErrors) > 0 {
		err := f.acceptErrors[0]
		f.acceptErrors = f.acceptErrors[1:]
		return nil, &net.OpError{Op: "accept", Err: err}
	}
	return f.Listener.Accept()
}

// Accept errors that concern one connection or a temporary state of this machine must not end Serve.
func TestServeRetriesTransientAcceptErrors(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	srv := startServerOn(t, &failingListener{l, []error{
		syscall.ECONNABORTED, syscall.ENFILE, syscall.ENOBUFS, syscall.ENETUNREACH, syscall.EHOSTUNREACH, syscall.ENETDOWN, syscall.EADDRNOTAVAIL,
	}}, 10, longTimeouts())
	if _, got := srv.readResponse(bufio.NewReader(srv.dial(postRequest("/", "x")))); got != "POST / x" {
		t.Errorf("%q", got)
	}
}

// Serve returns an error after which the listener can accept no more.
func TestServeReturnsFatalAcceptError(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	srv := startServerOn(t, l, 10, longTimeouts())
	l.Close()
	select {
	case err := <-srv.serveResult:
		if err == nil {
			t.Error("Serve returned no error")
		}
	case <-time.After(testTimeout):
		t.Fatal("Serve does not return")
	}
}

// A hijacked connection returns the data that was read after its request, and is neither closed nor evicted
// by the server. Shutdown waits until it is closed.
func TestHijackedConnKeepsItsSlotUntilClosed(t *testing.T) {
	timeouts := longTimeouts()
	timeouts.EvictionGrace = 300 * time.Millisecond // longer than a caller takes to send its request
	srv := startServer(t, 2, timeouts)
	c := srv.dial("GET /hijack HTTP/1.1\r\nHost: a\r\nConnection: upgrade\r\nUpgrade: x\r\n\r\nbehind")
	hijacked := <-srv.handler.hijacked
	for range 3 { // other connections use the only other slot in turn
		if _, got := srv.readResponse(bufio.NewReader(srv.dial(postRequest("/", "x")))); got != "POST / x" {
			t.Errorf("%q", got)
		}
		time.Sleep(timeouts.EvictionGrace)
	}
	io.WriteString(c, ", later")
	c.(*net.TCPConn).CloseWrite()
	if got, err := io.ReadAll(hijacked); err != nil || string(got) != "behind, later" {
		t.Errorf("%q %v", got, err)
	}
	io.WriteString(hijacked, "back")
	stopped := make(chan int, 1)
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
		defer cancel()
		stopped <- srv.server.Shutdown(ctx, 0)
	}()
	for !srv.server.Draining() {
		time.Sleep(time.Millisecond)
	}
	select {
	case <-stopped:
		t.Error("Shutdown did not wait for the hijacked connection")
	case <-time.After(50 * time.Millisecond):
	}
	hijacked.Close()
	hijacked.Close()
	if remaining := <-stopped; remaining != 0 {
		t.Errorf("%d connections remain", remaining)
	}
	if got, err := io.ReadAll(c); err != nil || string(got) != "back" {
		t.Errorf("%q %v", got, err)
	}
	srv.waitForOpenConns(0)
}

// A panic of the handler gets a 500 response and closes the connection, and no other one.
func TestHandlerPanicClosesOnlyItsConnection(t *testing.T) {
	srv := startServer(t, 10, longTimeouts())
	if resp, _ := srv.readResponse(bufio.NewReader(srv.dial(postRequest("/panic", "")))); resp.StatusCode != 500 || !resp.Close {
		t.Errorf("%s, Close: %v", resp.Status, resp.Close)
	}
	if _, got := srv.readResponse(bufio.NewReader(srv.dial(postRequest("/", "x")))); got != "POST / x" {
		t.Errorf("%q", got)
	}
	srv.waitForOpenConns(1)
}

// BenchmarkServer measures one request after another on one connection, with a handler that only echoes.
func BenchmarkServer(b *testing.B) {
	srv := startServer(b, 10, longTimeouts())
	c := srv.dial("")
	request, buf := []byte(postRequest("/", "0123456789")), make([]byte, 4096)
	b.ReportAllocs()
	for b.Loop() {
		if _, err := c.Write(request); err != nil {
			b.Fatal(err)
		}
		if _, err := c.Read(buf); err != nil {
			b.Fatal(err)
		}
	}
}
