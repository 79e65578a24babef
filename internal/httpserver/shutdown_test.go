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

// pausingHandler is a handler that holds a request to /cross once its head has been read and before its
// connection's stage is noted.
type pausingHandler struct {
	*echoHandler
	headRead, proceed chan struct{}
}

func (c *pausingHandler) CheckHead(x *Exchange) *ErrorResponse {
	if string(x.RequestHead().Path()) == "/cross" {
		c.headRead <- struct{}{}
		<-c.proceed
	}
	return c.echoHandler.CheckHead(x)
}

// openPausing opens a door whose handler is a crossing.
func openPausing(t *testing.T, places int, times Timeouts) (*testServer, *pausingHandler) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	handler := &pausingHandler{echoHandler: newEcho(), headRead: make(chan struct{}, 1), proceed: make(chan struct{})}
	d, err := New(Config{Handler: handler, MaxConnections: places, MaxHeadBytes: 16 << 10, MaxBodyBytes: func() int { return 64 << 10 }, Timeouts: func() Timeouts { return times }})
	if err != nil {
		t.Fatal(err)
	}
	h := &testServer{t: t, server: d, handler: handler.echoHandler, addr: l.Addr().String(), serveResult: make(chan error, 1)}
	go func() { h.serveResult <- d.Serve(l) }()
	t.Cleanup(d.Close)
	return h, handler
}

// startShutdown begins the shutdown and waits until it accepts no more connections, by when it has dealt
// with those at rest.
func (h *testServer) startShutdown() (left chan int) {
	h.t.Helper()
	left = make(chan int, 1)
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
		defer cancel()
		left <- h.server.Shutdown(ctx, 0)
	}()
	select {
	case err := <-h.serveResult:
		if err != nil {
			h.t.Error(err)
		}
	case <-time.After(testTimeout):
		h.t.Fatal("connections are still accepted")
	}
	return left
}

func TestRequestReadDuringShutdownIsServed(t *testing.T) {
	h, handler := openPausing(t, 10, longTimeouts())
	c := h.dial(postRequest("/", ""))
	in := bufio.NewReader(c)
	h.readResponse(in)
	h.waitForIdle(1)
	io.WriteString(c, postRequest("/cross", "x"))
	h.waitFor(handler.headRead, "request")
	left := h.startShutdown()
	close(handler.proceed)
	if resp, got := h.readResponse(in); got != "POST /cross x" || !resp.Close {
		t.Errorf("%q, closes %v", got, resp.Close)
	}
	if n := <-left; n != 0 {
		t.Errorf("%d connections are left", n)
	}
}

func TestRequestReadDuringEvictionIsServed(t *testing.T) {
	for name, first := range map[string]bool{"on a new connection": true, "on a used one": false} {
		t.Run(name, func(t *testing.T) {
			h, handler := openPausing(t, 2, longTimeouts())
			c := h.dial("")
			in := bufio.NewReader(c)
			if !first {
				io.WriteString(c, postRequest("/", ""))
				h.readResponse(in)
				h.waitForIdle(1)
			}
			io.WriteString(c, postRequest("/cross", "x"))
			h.waitFor(handler.headRead, "request")
			other := bufio.NewReader(h.dial(postRequest("/other", "")))
			h.readResponse(other) // it has needed the place of the first
			close(handler.proceed)
			if _, got := h.readResponse(in); got != "POST /cross x" {
				t.Errorf("%q", got)
			}
			if _, got := h.readResponse(bufio.NewReader(h.dial(postRequest("/third", "")))); got != "POST /third " {
				t.Errorf("a further caller: %q", got)
			}
		})
	}
}

func TestPipelinedRequestsAreAllServedDuringShutdown(t *testing.T) {
	h := startServer(t, 10, longTimeouts())
	c := h.dial(postRequest("/hold", "") + postRequest("/second", "b") + postRequest("/third", "c"))
	h.waitFor(h.handler.holding, "request")
	left := h.startShutdown()
	close(h.handler.release)
	in := bufio.NewReader(c)
	for _, want := range []string{"POST /hold ", "POST /second b", "POST /third c"} {
		if resp, got := h.readResponse(in); got != want || resp.Close != (want == "POST /third c") {
			t.Errorf("%q, closes %v, want %q", got, resp.Close, want)
		}
	}
	if n := <-left; n != 0 {
		t.Errorf("%d connections are left", n)
	}
}

func TestResponseIsWrittenAfterEarlierWriteDeadline(t *testing.T) {
	times := longTimeouts()
	times.Write = 2 * time.Second
	h := startServer(t, 10, times)
	c := h.dial("")
	in := bufio.NewReader(c)
	for _, expects := range []bool{true, false} {
		if expects {
			io.WriteString(c, "POST /huge HTTP/1.1\r\nHost: a\r\nExpect: 100-continue\r\nContent-Length: 2\r\n\r\n")
			if resp, err := http.ReadResponse(in, nil); err != nil || resp.StatusCode != 100 {
				t.Fatalf("%v %v, want 100", resp, err)
			}
			io.WriteString(c, "ok")
		} else {
			io.WriteString(c, postRequest("/huge", "ok"))
		}
		if resp, got := h.readResponse(in); resp.StatusCode != 200 || len(got) != hugeResponseBytes {
			t.Fatalf("%s, %d bytes", resp.Status, len(got))
		}
		time.Sleep(times.Write + 100*time.Millisecond)
		io.WriteString(c, postRequest("/next", "x"))
		if _, got := h.readResponse(in); got != "POST /next x" {
			t.Errorf("with 100 Continue before: %v, %q", expects, got)
		}
	}
}

func TestResponseIsWrittenAfterStreamDeadline(t *testing.T) {
	h := startServer(t, 10, longTimeouts())
	c := h.dial(postRequest("/flow", ""))
	in := bufio.NewReader(c)
	if _, got := h.readResponse(in); got != "flows" {
		t.Fatalf("%q", got)
	}
	time.Sleep(streamTimeout + 100*time.Millisecond)
	io.WriteString(c, postRequest("/next", "x"))
	if _, got := h.readResponse(in); got != "POST /next x" {
		t.Errorf("%q", got)
	}
}
