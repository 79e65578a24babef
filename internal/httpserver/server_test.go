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

// testTimeout is how long a test waits for what must happen: no verdict leans on it being short.
const testTimeout = 20 * time.Second

// hugeResponseBytes is the length of an answer that no socket takes at once.
const hugeResponseBytes = 64 << 20

// streamTimeout is the time for an answer that flows.
const streamTimeout = time.Second

// echoHandler answers with the method, the target and the body. /hold waits for free, or until the
// caller goes; /long answers with 4 MiB, /huge with 64; /flow flows;
// /panic panics; /no is refused by its head.
type echoHandler struct {
	holding, canceled chan struct{}
	release           chan struct{}
	hijacked          chan *HijackedConn
	requestCount      atomic.Int32
}

func newEcho() *echoHandler {
	return &echoHandler{holding: make(chan struct{}, 2000), canceled: make(chan struct{}, 2000), release: make(chan struct{}), hijacked: make(chan *HijackedConn, 1)}
}

func (*echoHandler) CheckHead(x *Exchange) *ErrorResponse {
	if string(x.RequestHead().Path()) == "/no" {
		return &ErrorResponse{Status: http.StatusForbidden, Message: "no"}
	}
	x.HandlerState = "seen"
	return nil
}

// cancelChan tells a channel.
type cancelChan chan struct{}

func (l cancelChan) Cancel() { l <- struct{}{} }

func (e *echoHandler) ServeExchange(x *Exchange) {
	e.requestCount.Add(1)
	if x.HandlerState != "seen" {
		panic("not seen by Head")
	}
	switch path := string(x.RequestHead().Path()); path {
	case "/after": // the end begins once the answer has been worded
		x.Respond(200, "", nil, nil)
		e.holding <- struct{}{}
		<-e.release
		return
	case "/raw":
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
	case "/flow":
		text := []byte("flows")
		how := StreamLimits{RateMeter: transferrate.Meter{MinBytesPerSecond: 1, Window: streamTimeout}, Deadline: time.Now().Add(streamTimeout)}
		if err := x.StartResponse(200, nil, int64(len(text)), how); err == nil {
			x.WriteBody(text)
			x.FinishResponse(nil)
		}
		return
	case "/hold":
		left := make(cancelChan, 1)
		here := x.NotifyDisconnect(left)
		e.holding <- struct{}{}
		if here {
			select {
			case <-left:
				here = false
			case <-e.release:
			}
		}
		x.StopNotifyDisconnect()
		if !here {
			e.canceled <- struct{}{}
		}
	}
	x.Respond(200, "text/plain", nil, fmt.Appendf(nil, "%s %s %s", x.RequestHead().Method(), x.RequestHead().Target(), x.Body))
}

type testServer struct {
	t           testing.TB
	server      *Server
	handler     *echoHandler
	addr        string
	serveResult chan error
}

func longTimeouts() Timeouts {
	return Timeouts{Head: testTimeout, Body: testTimeout, Idle: testTimeout, Write: testTimeout, EvictionGrace: testTimeout}
}

func startServer(t testing.TB, places int, times Timeouts) *testServer {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	return startServerOn(t, l, places, times)
}

func startServerOn(t testing.TB, l net.Listener, places int, times Timeouts) *testServer {
	t.Helper()
	e := newEcho()
	d, err := New(Config{Handler: e, MaxConnections: places, MaxHeadBytes: 16 << 10, MaxBodyBytes: func() int { return 64 << 10 }, Timeouts: func() Timeouts { return times }})
	if err != nil {
		t.Fatal(err)
	}
	h := &testServer{t: t, server: d, handler: e, addr: l.Addr().String(), serveResult: make(chan error, 1)}
	go func() { h.serveResult <- d.Serve(l) }()
	t.Cleanup(d.Close)
	return h
}

// dial opens a connection and sends a text on it.
func (h *testServer) dial(text string) net.Conn {
	h.t.Helper()
	c, err := net.Dial("tcp", h.addr)
	if err != nil {
		h.t.Fatal(err)
	}
	h.t.Cleanup(func() { c.Close() })
	c.SetDeadline(time.Now().Add(testTimeout))
	if _, err := io.WriteString(c, text); err != nil {
		h.t.Fatal(err)
	}
	return c
}

func postRequest(target, body string) string {
	return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n%s", target, len(body), body)
}

// readResponse reads one answer.
func (h *testServer) readResponse(in *bufio.Reader) (*http.Response, string) {
	h.t.Helper()
	resp, err := http.ReadResponse(in, nil)
	if err != nil {
		h.t.Fatal(err)
	}
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		h.t.Fatal(err)
	}
	return resp, string(body)
}

func (h *testServer) waitFor(c <-chan struct{}, what string) {
	h.t.Helper()
	select {
	case <-c:
	case <-time.After(testTimeout):
		h.t.Fatalf("%s: not within %v", what, testTimeout)
	}
}

// waitForConns waits until no connection is left.
func (h *testServer) waitForConns(most int) {
	h.t.Helper()
	for end := time.Now().Add(testTimeout); ; time.Sleep(time.Millisecond) {
		h.server.mu.Lock()
		n := len(h.server.conns)
		h.server.mu.Unlock()
		if n <= most && len(h.server.slots) <= most+1 { // one place is for whoever comes next
			return
		}
		if time.Now().After(end) {
			h.t.Fatalf("%d connections and %d places are left", n, len(h.server.slots))
		}
	}
}

// Requests of each shape are answered in turn on one connection, whole or a byte a segment.
func TestServerServesRequestsInTurn(t *testing.T) {
	h := startServer(t, 10, longTimeouts())
	long := strings.Repeat("x", 60<<10)
	for name, cut := range map[string]int{"whole": 1 << 20, "by bytes": 1} {
		c := h.dial("")
		in := bufio.NewReader(c)
		for _, body := range []string{"", "short", long} {
			if cut == 1 && len(body) > 100 {
				continue
			}
			text := postRequest("/a?b", body)
			for len(text) > 0 {
				n := min(cut, len(text))
				if _, err := io.WriteString(c, text[:n]); err != nil {
					t.Fatal(err)
				}
				text = text[n:]
			}
			resp, got := h.readResponse(in)
			if resp.StatusCode != 200 || got != "POST /a?b "+body || resp.Close || resp.Header.Get("Date") == "" {
				t.Errorf("%s: %s %v %.40q", name, resp.Status, resp.Header, got)
			}
		}
	}
}

// Connection: close is kept to, and a client that waits for 100 Continue gets it where the
// body is wanted only.
func TestServerHonorsConnectionCloseAndExpectContinue(t *testing.T) {
	h := startServer(t, 10, longTimeouts())
	c := h.dial("GET / HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n")
	in := bufio.NewReader(c)
	if resp, _ := h.readResponse(in); !resp.Close {
		t.Error("the answer does not say that the connection ends")
	}
	if _, err := in.ReadByte(); err != io.EOF {
		t.Errorf("%v, want the end", err)
	}
	for target, want := range map[string]int{"/": 100, "/no": 403} {
		c := h.dial("POST " + target + " HTTP/1.1\r\nHost: a\r\nExpect: 100-continue\r\nContent-Length: 2\r\n\r\n")
		in := bufio.NewReader(c)
		resp, err := http.ReadResponse(in, nil)
		if err != nil || resp.StatusCode != want {
			t.Fatalf("%s: %v %v", target, resp, err)
		}
		if want == 100 {
			io.WriteString(c, "ok")
			if _, body := h.readResponse(in); body != "POST / ok" {
				t.Errorf("%q", body)
			}
		}
	}
}

// Of requests sent ahead, those that can be read are answered in their order; one that can't
// is refused, and ends the connection whatever follows.
func TestServerServesPipelinedRequestsInOrder(t *testing.T) {
	h := startServer(t, 10, longTimeouts())
	for name, bad := range map[string]string{
		"noise": "\x00\xff", "two lengths": "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\nContent-Length: 9\r\n\r\n",
		"refused": postRequest("/no", "body"),
	} {
		before := h.handler.requestCount.Load()
		c := h.dial(postRequest("/1", "a") + postRequest("/2", "") + bad + postRequest("/3", "c"))
		in := bufio.NewReader(c)
		for _, want := range []string{"POST /1 a", "POST /2 "} {
			if _, got := h.readResponse(in); got != want {
				t.Errorf("%s: %q, want %q", name, got, want)
			}
		}
		if resp, _ := h.readResponse(in); resp.StatusCode/100 != 4 || !resp.Close {
			t.Errorf("%s: %s, closes %v", name, resp.Status, resp.Close)
		}
		if n, _ := io.Copy(io.Discard, in); n > 0 {
			t.Errorf("%s: %d bytes follow", name, n)
		}
		if n := h.handler.requestCount.Load() - before; n != 2 {
			t.Errorf("%s: %d were served, want 2", name, n)
		}
	}
}

// A caller may end its connection or reset it in each stage. Nothing is kept of it, and
// whoever answers it is told.
func TestServerDetectsDisconnectInEveryStage(t *testing.T) {
	h := startServer(t, 10, longTimeouts())
	for name, text := range map[string]string{
		"silent": "", "part of a head": "POST / HT", "a head": "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 9\r\n\r\n",
		"part of a body": "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 9\r\n\r\nhalf", "taken": postRequest("/hold", ""),
		"taken, with more behind": postRequest("/hold", "") + "POST",
	} {
		for how, end := range map[string]func(c *net.TCPConn){
			"closes": func(c *net.TCPConn) { c.Close() },
			"resets": func(c *net.TCPConn) {
				c.SetLinger(0)
				c.Close()
			},
			"ends its sending": func(c *net.TCPConn) { c.CloseWrite() },
		} {
			c := h.dial(text).(*net.TCPConn)
			if strings.HasPrefix(name, "taken") {
				h.waitFor(h.handler.holding, "request")
			}
			end(c)
			if strings.HasPrefix(name, "taken") {
				h.waitFor(h.handler.canceled, name+", "+how)
			}
			h.waitForConns(0)
		}
	}
}

// A caller that reads nothing is ended once its time to take the answer is up.
func TestServerEnforcesWriteTimeout(t *testing.T) {
	times := longTimeouts()
	times.Write = 20 * time.Millisecond
	h := startServer(t, 10, times)
	h.dial(postRequest("/long", ""))
	for h.handler.requestCount.Load() == 0 {
		time.Sleep(time.Millisecond)
	}
	h.waitForConns(0)
}

// Each stage has its time; then the caller is ended, with an answer where it has begun a body.
func TestServerEnforcesTimeoutOfEachStage(t *testing.T) {
	times := longTimeouts()
	times.Head, times.Body, times.Idle = 30*time.Millisecond, 30*time.Millisecond, 30*time.Millisecond
	h := startServer(t, 10, times)
	for name, text := range map[string]string{
		"silent": "", "half a head": "POST / HTTP/1.1\r\n", "half a body": "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 9\r\n\r\nhalf",
		"idle": postRequest("/", "x"),
	} {
		c := h.dial(text)
		got, err := io.ReadAll(c)
		if err != nil || name == "half a body" && !strings.HasPrefix(string(got), "HTTP/1.1 400") || name == "idle" && !strings.Contains(string(got), "POST / x") {
			t.Errorf("%s: %q %v", name, got, err)
		}
	}
	h.waitForConns(0)
}

// 1,000 callers that send their heads a byte at a time are ended in time and don't keep out
// one that asks.
func TestServerClosesSlowHeads(t *testing.T) {
	times := longTimeouts()
	times.Head, times.EvictionGrace = 2*time.Second, 10*time.Millisecond
	const slow = 1000
	h := startServer(t, 64, times)
	stop := make(chan struct{})
	var wg sync.WaitGroup
	var ended atomic.Int32
	for range slow {
		c, err := net.Dial("tcp", h.addr)
		if err != nil {
			t.Fatal(err)
		}
		wg.Add(1)
		go func() {
			defer wg.Done()
			defer c.Close()
			for _, b := range []byte("POST / HTTP/1.1\r\nX: " + strings.Repeat("x", 10000)) {
				if _, err := c.Write([]byte{b}); err != nil {
					ended.Add(1)
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
		if _, got := h.readResponse(bufio.NewReader(h.dial(postRequest("/", "x")))); got != "POST / x" {
			t.Errorf("%d: %q", i, got)
		}
	}
	for end := time.Now().Add(2 * testTimeout); ended.Load() < slow && time.Now().Before(end); {
		time.Sleep(5 * time.Millisecond)
	}
	close(stop)
	wg.Wait()
	if n := ended.Load(); n != slow {
		t.Errorf("%d of %d were ended", n, slow)
	}
}

// 1,000 idle callers hold less than 4 KiB each beside their sockets, whose own cost is that of
// as many that nobody reads, and each is answered again.
func TestIdleConnectionsUseLittleMemory(t *testing.T) {
	const callers = 1000
	h := startServer(t, callers+10, longTimeouts())
	heap := func() uint64 {
		runtime.GC()
		runtime.GC() // what sync.Pool holds goes with the second
		var m runtime.MemStats
		runtime.ReadMemStats(&m)
		return m.HeapAlloc
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	before := heap()
	var plain []net.Conn
	for range callers {
		c, err := net.Dial("tcp", l.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		there, err := l.Accept()
		if err != nil {
			t.Fatal(err)
		}
		defer there.Close()
		plain = append(plain, c, there)
	}
	sockets := int64(heap()-before) / callers
	runtime.KeepAlive(plain)
	before = heap()
	conns := make([]net.Conn, callers)
	ask := func(c net.Conn) {
		t.Helper()
		if _, err := io.WriteString(c, postRequest("/", "x")); err != nil {
			t.Fatal(err)
		}
		if _, got := h.readResponse(bufio.NewReader(c)); got != "POST / x" {
			t.Fatalf("%q", got)
		}
	}
	for i := range conns {
		conns[i] = h.dial("")
		ask(conns[i])
	}
	h.waitForIdle(callers)
	each := int64(heap()-before)/callers - sockets
	t.Logf("%d bytes each, and %d for its sockets", each, sockets)
	if each >= 4<<10 {
		t.Errorf("an idle caller holds %d bytes", each)
	}
	for _, c := range conns {
		ask(c)
	}
}

// waitForIdle waits until so many connections are idle.
func (h *testServer) waitForIdle(want int) {
	h.t.Helper()
	for end := time.Now().Add(testTimeout); ; time.Sleep(time.Millisecond) {
		n := 0
		h.server.mu.Lock()
		for g := h.server.table.lists[stageIdle].front; g != nil; g = g.next {
			n++
		}
		h.server.mu.Unlock()
		if n == want {
			return
		}
		if time.Now().After(end) {
			h.t.Fatalf("%d are idle, want %d", n, want)
		}
	}
}

// As the end begins, in each stage: what is idle ends, what has been taken is answered, what
// comes in time is served, and both are told that their connection ends.
func TestShutdownInEveryStage(t *testing.T) {
	h := startServer(t, 10, longTimeouts())
	idleOne := h.dial(postRequest("/", ""))
	idleIn := bufio.NewReader(idleOne)
	h.readResponse(idleIn)
	h.waitForIdle(1)
	quiet := h.dial("")
	half := h.dial("POST / HTTP/1.1\r\nHost: a\r\n")
	body := h.dial("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\n\r\nha")
	held := h.dial(postRequest("/hold", ""))
	h.waitFor(h.handler.holding, "request")
	stopped := make(chan int, 1)
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
		defer cancel()
		stopped <- h.server.Shutdown(ctx, 500*time.Millisecond)
	}()
	for !h.server.Draining() {
		time.Sleep(time.Millisecond)
	}
	if _, err := idleIn.ReadByte(); err != io.EOF {
		t.Errorf("idle: %v, want the end", err)
	}
	late := h.dial(postRequest("/late", "x")) // within the time that connections are still accepted
	io.WriteString(quiet, postRequest("/quiet", ""))
	io.WriteString(half, "Content-Length: 0\r\n\r\n")
	io.WriteString(body, "lf")
	close(h.handler.release)
	for name, c := range map[string]net.Conn{"late": late, "silent": quiet, "half a head": half, "half a body": body, "taken": held} {
		in := bufio.NewReader(c)
		if resp, _ := h.readResponse(in); resp.StatusCode != 200 || !resp.Close {
			t.Errorf("%s: %s, closes %v", name, resp.Status, resp.Close)
		}
		if _, err := in.ReadByte(); err != io.EOF {
			t.Errorf("%s: %v, want the end", name, err)
		}
	}
	select {
	case left := <-stopped:
		if left != 0 {
			t.Errorf("%d connections are left", left)
		}
	case <-time.After(testTimeout):
		t.Fatal("it does not end")
	}
	if err := <-h.serveResult; err != nil {
		t.Error(err)
	}
}

// A connection that falls idle just as the end begins, with an answer that does not say so, is
// ended, not waited for.
func TestShutdownClosesConnectionThatBecomesIdle(t *testing.T) {
	h := startServer(t, 10, Timeouts{Head: testTimeout, Body: testTimeout, Idle: 10 * testTimeout, Write: testTimeout, EvictionGrace: testTimeout})
	c := h.dial(postRequest("/after", ""))
	h.waitFor(h.handler.holding, "request")
	stopped := make(chan int, 1)
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
		defer cancel()
		stopped <- h.server.Shutdown(ctx, 0)
	}()
	for !h.server.Draining() {
		time.Sleep(time.Millisecond)
	}
	time.Sleep(10 * time.Millisecond) // by now it has looked for idle ones
	close(h.handler.release)
	in := bufio.NewReader(c)
	if resp, _ := h.readResponse(in); resp.StatusCode != 200 {
		t.Error(resp.Status)
	}
	if left := <-stopped; left != 0 {
		t.Errorf("%d connections are left", left)
	}
}

// Shutdown ends with its context, whoever is left.
func TestShutdownReturnsWhenContextEnds(t *testing.T) {
	h := startServer(t, 10, longTimeouts())
	h.dial(postRequest("/hold", ""))
	h.waitFor(h.handler.holding, "request")
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Millisecond)
	defer cancel()
	if left := h.server.Shutdown(ctx, 0); left != 1 {
		t.Errorf("%d connections are left, want 1", left)
	}
	close(h.handler.release)
}

// scarceListener is a listener for which descriptors run out when the test says so. As with the kernel's,
// the connection that could not be accepted stays in line.
type scarceListener struct {
	net.Listener
	failNext atomic.Bool
	pending  net.Conn // that could not be accepted
}

func (s *scarceListener) Accept() (net.Conn, error) {
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

// Descriptors that run out end neither the listener nor what has been taken; an idle
// connection gives its own up.
func TestServerSurvivesDescriptorExhaustion(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &scarceListener{Listener: l}
	h := startServerOn(t, s, 10, longTimeouts())
	held := h.dial(postRequest("/hold", ""))
	h.waitFor(h.handler.holding, "request")
	idle := h.dial(postRequest("/", ""))
	idleIn := bufio.NewReader(idle)
	h.readResponse(idleIn)
	h.waitForIdle(1)
	s.failNext.Store(true)
	if _, got := h.readResponse(bufio.NewReader(h.dial(postRequest("/", "x")))); got != "POST / x" {
		t.Errorf("%q", got)
	}
	if _, err := idleIn.ReadByte(); err != io.EOF && !errors.Is(err, syscall.ECONNRESET) {
		t.Errorf("the idle one: %v", err)
	}
	close(h.handler.release)
	if _, got := h.readResponse(bufio.NewReader(held)); got != "POST /hold " {
		t.Errorf("%q", got)
	}
}

// failingListener is a listener whose accept fails before each connection, with one error after another.
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

func TestServeRetriesTransientAcceptErrors(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	h := startServerOn(t, &failingListener{l, []error{
		syscall.ECONNABORTED, syscall.ENFILE, syscall.ENOBUFS, syscall.ENETUNREACH, syscall.EHOSTUNREACH, syscall.ENETDOWN, syscall.EADDRNOTAVAIL,
	}}, 10, longTimeouts())
	if _, got := h.readResponse(bufio.NewReader(h.dial(postRequest("/", "x")))); got != "POST / x" {
		t.Errorf("%q", got)
	}
}

// Another error of the listener is told.
func TestServeReturnsFatalAcceptError(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	h := startServerOn(t, l, 10, longTimeouts())
	l.Close()
	select {
	case err := <-h.serveResult:
		if err == nil {
			t.Error("no error")
		}
	case <-time.After(testTimeout):
		t.Fatal("it goes on")
	}
}

// A connection that is handed over has what came behind its request, is neither closed nor
// given way, and is waited for at the end until it is closed.
func TestHijackedConnKeepsItsSlotUntilClosed(t *testing.T) {
	times := longTimeouts()
	times.EvictionGrace = 300 * time.Millisecond // more than a caller takes over its request
	h := startServer(t, 2, times)
	c := h.dial("GET /raw HTTP/1.1\r\nHost: a\r\nConnection: upgrade\r\nUpgrade: x\r\n\r\nbehind")
	raw := <-h.handler.hijacked
	for range 3 { // others come and go at the only other place
		if _, got := h.readResponse(bufio.NewReader(h.dial(postRequest("/", "x")))); got != "POST / x" {
			t.Errorf("%q", got)
		}
		time.Sleep(times.EvictionGrace)
	}
	io.WriteString(c, ", later")
	c.(*net.TCPConn).CloseWrite()
	if got, err := io.ReadAll(raw); err != nil || string(got) != "behind, later" {
		t.Errorf("%q %v", got, err)
	}
	io.WriteString(raw, "back")
	stopped := make(chan int, 1)
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
		defer cancel()
		stopped <- h.server.Shutdown(ctx, 0)
	}()
	for !h.server.Draining() {
		time.Sleep(time.Millisecond)
	}
	select {
	case <-stopped:
		t.Error("it was not waited for")
	case <-time.After(50 * time.Millisecond):
	}
	raw.Close()
	raw.Close()
	if left := <-stopped; left != 0 {
		t.Errorf("%d are left", left)
	}
	if got, err := io.ReadAll(c); err != nil || string(got) != "back" {
		t.Errorf("%q %v", got, err)
	}
	h.waitForConns(0)
}

// A fault in answering one request ends its connection and no other.
func TestHandlerPanicClosesOnlyItsConnection(t *testing.T) {
	h := startServer(t, 10, longTimeouts())
	if resp, _ := h.readResponse(bufio.NewReader(h.dial(postRequest("/panic", "")))); resp.StatusCode != 500 || !resp.Close {
		t.Errorf("%s, closes %v", resp.Status, resp.Close)
	}
	if _, got := h.readResponse(bufio.NewReader(h.dial(postRequest("/", "x")))); got != "POST / x" {
		t.Errorf("%q", got)
	}
	h.waitForConns(1)
}

// BenchmarkServer is one request after another on a connection, with nothing behind the door.
func BenchmarkServer(b *testing.B) {
	h := startServer(b, 10, longTimeouts())
	c := h.dial("")
	text, buf := []byte(postRequest("/", "0123456789")), make([]byte, 4096)
	b.ReportAllocs()
	for b.Loop() {
		if _, err := c.Write(text); err != nil {
			b.Fatal(err)
		}
		if _, err := c.Read(buf); err != nil {
			b.Fatal(err)
		}
	}
}
