package httpserver

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"
)

// pausingHandler is an echoHandler that pauses a request to /pause in CheckHead: its head has been read, but
// the stage of its connection has not been recorded yet. It continues when proceed is closed.
type pausingHandler struct {
	*echoHandler
	headRead, proceed chan struct{}
}

// CheckHead implements Handler.
func (c *pausingHandler) CheckHead(x *Exchange) *ErrorResponse {
	if string(x.RequestHead().Path()) == "/pause" {
		c.headRead <- struct{}{}
		<-c.proceed
	}
	return c.echoHandler.CheckHead(x)
}

// startPausingServer starts a server with a pausingHandler.
func startPausingServer(t *testing.T, maxConns int, timeouts Timeouts) (*testServer, *pausingHandler) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	handler := &pausingHandler{echoHandler: newEchoHandler(), headRead: make(chan struct{}, 1), proceed: make(chan struct{})}
	server, err := New(Config{Handler: handler, MaxConnections: maxConns, MaxHeadBytes: 16 << 10, MaxBodyBytes: func() int { return 64 << 10 }, Timeouts: func() Timeouts { return timeouts }})
	if err != nil {
		t.Fatal(err)
	}
	srv := &testServer{t: t, server: server, handler: handler.echoHandler, addr: l.Addr().String(), serveResult: make(chan error, 1)}
	go func() { srv.serveResult <- server.Serve(l) }()
	t.Cleanup(server.Close)
	return srv, handler
}

// startShutdown starts the shutdown and waits until the server accepts no more connections. By then, the
// server has called requestClose for idle connections. The channel receives the result of Shutdown.
func (s *testServer) startShutdown() (remaining chan int) {
	s.t.Helper()
	remaining = make(chan int, 1)
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
		defer cancel()
		remaining <- s.server.Shutdown(ctx, 0)
	}()
	select {
	case err := <-s.serveResult:
		if err != nil {
			s.t.Error(err)
		}
	case <-time.After(testTimeout):
		s.t.Fatal("connections are still accepted")
	}
	return remaining
}

// A request whose head was read while its connection counted as idle gets a response, though the shutdown has
// called requestClose for the connection.
func TestRequestReadDuringShutdownIsServed(t *testing.T) {
	srv, handler := startPausingServer(t, 10, longTimeouts())
	c := srv.dial(postRequest("/", ""))
	reader := bufio.NewReader(c)
	srv.readResponse(reader)
	srv.waitForIdle(1)
	io.WriteString(c, postRequest("/pause", "x"))
	srv.waitFor(handler.headRead, "request")
	remaining := srv.startShutdown()
	close(handler.proceed)
	if resp, got := srv.readResponse(reader); got != "POST /pause x" || !resp.Close {
		t.Errorf("%q, Close: %v", got, resp.Close)
	}
	if n := <-remaining; n != 0 {
		t.Errorf("%d connections remain", n)
	}
}

// A request whose head was read just before its connection was evicted gets a response, and the server still
// has room for further connections.
func TestRequestReadDuringEvictionIsServed(t *testing.T) {
	for name, newConn := range map[string]bool{"on a new connection": true, "on an idle connection": false} {
		t.Run(name, func(t *testing.T) {
			srv, handler := startPausingServer(t, 2, longTimeouts())
			c := srv.dial("")
			reader := bufio.NewReader(c)
			if !newConn {
				io.WriteString(c, postRequest("/", ""))
				srv.readResponse(reader)
				srv.waitForIdle(1)
			}
			io.WriteString(c, postRequest("/pause", "x"))
			srv.waitFor(handler.headRead, "request")
			other := bufio.NewReader(srv.dial(postRequest("/other", "")))
			srv.readResponse(other) // the first connection was evicted for it
			close(handler.proceed)
			if _, got := srv.readResponse(reader); got != "POST /pause x" {
				t.Errorf("%q", got)
			}
			if _, got := srv.readResponse(bufio.NewReader(srv.dial(postRequest("/third", "")))); got != "POST /third " {
				t.Errorf("third connection: %q", got)
			}
		})
	}
}

// Requests that were sent together are all served during a shutdown; only the last response announces that the
// connection closes.
func TestPipelinedRequestsAreAllServedDuringShutdown(t *testing.T) {
	srv := startServer(t, 10, longTimeouts())
	c := srv.dial(postRequest("/hold", "") + postRequest("/second", "b") + postRequest("/third", "c"))
	srv.waitFor(srv.handler.holding, "request")
	remaining := srv.startShutdown()
	close(srv.handler.release)
	reader := bufio.NewReader(c)
	for _, want := range []string{"POST /hold ", "POST /second b", "POST /third c"} {
		if resp, got := srv.readResponse(reader); got != want || resp.Close != (want == "POST /third c") {
			t.Errorf("%q, Close: %v, want %q", got, resp.Close, want)
		}
	}
	if n := <-remaining; n != 0 {
		t.Errorf("%d connections remain", n)
	}
}

// The write deadline of 100 Continue or of a long response must not fail a later write on the connection.
func TestResponseIsWrittenAfterEarlierWriteDeadline(t *testing.T) {
	timeouts := longTimeouts()
	timeouts.Write = 2 * time.Second
	srv := startServer(t, 10, timeouts)
	c := srv.dial("")
	reader := bufio.NewReader(c)
	for _, expectContinue := range []bool{true, false} {
		if expectContinue {
			io.WriteString(c, "POST /huge HTTP/1.1\r\nHost: a\r\nExpect: 100-continue\r\nContent-Length: 2\r\n\r\n")
			if resp, err := http.ReadResponse(reader, nil); err != nil || resp.StatusCode != 100 {
				t.Fatalf("%v %v, want 100", resp, err)
			}
			io.WriteString(c, "ok")
		} else {
			io.WriteString(c, postRequest("/huge", "ok"))
		}
		if resp, got := srv.readResponse(reader); resp.StatusCode != 200 || len(got) != hugeResponseBytes {
			t.Fatalf("%s, %d bytes", resp.Status, len(got))
		}
		time.Sleep(timeouts.Write + 100*time.Millisecond)
		io.WriteString(c, postRequest("/next", "x"))
		if _, got := srv.readResponse(reader); got != "POST /next x" {
			t.Errorf("with 100 Continue before: %v, %q", expectContinue, got)
		}
	}
}

// The write deadline of a streamed response must not fail the next response on the connection.
func TestResponseIsWrittenAfterStreamDeadline(t *testing.T) {
	srv := startServer(t, 10, longTimeouts())
	c := srv.dial(postRequest("/stream", ""))
	reader := bufio.NewReader(c)
	if _, got := srv.readResponse(reader); got != "streamed" {
		t.Fatalf("%q", got)
	}
	time.Sleep(streamTimeout + 100*time.Millisecond)
	io.WriteString(c, postRequest("/next", "x"))
	if _, got := srv.readResponse(reader); got != "POST /next x" {
		t.Errorf("%q", got)
	}
}
