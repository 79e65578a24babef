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

// crossing is a handler that holds a request to /cross once its head has been read and before its
// connection's stage is noted.
type crossing struct {
	*echo
	read, proceed chan struct{}
}

func (c *crossing) CheckHead(x *Exchange) *ErrorResponse {
	if string(x.RequestHead().Path()) == "/cross" {
		c.read <- struct{}{}
		<-c.proceed
	}
	return c.echo.CheckHead(x)
}

// openCrossing opens a door whose handler is a crossing.
func openCrossing(t *testing.T, places int, times Timeouts) (*house, *crossing) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	handler := &crossing{echo: newEcho(), read: make(chan struct{}, 1), proceed: make(chan struct{})}
	d, err := New(Config{Handler: handler, MaxConnections: places, MaxHeadBytes: 16 << 10, MaxBodyBytes: func() int { return 64 << 10 }, Timeouts: func() Timeouts { return times }})
	if err != nil {
		t.Fatal(err)
	}
	h := &house{t: t, door: d, echo: handler.echo, addr: l.Addr().String(), served: make(chan error, 1)}
	go func() { h.served <- d.Serve(l) }()
	t.Cleanup(d.Close)
	return h, handler
}

// shutdown begins the shutdown and waits until it accepts no more connections, by when it has dealt
// with those at rest.
func (h *house) shutdown() (left chan int) {
	h.t.Helper()
	left = make(chan int, 1)
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), patience)
		defer cancel()
		left <- h.door.Shutdown(ctx, 0)
	}()
	select {
	case err := <-h.served:
		if err != nil {
			h.t.Error(err)
		}
	case <-time.After(patience):
		h.t.Fatal("connections are still accepted")
	}
	return left
}

func TestRequestReadAsShutdownBeginsIsAnswered(t *testing.T) {
	h, handler := openCrossing(t, 10, usualTimes())
	c := h.dial(post("/", ""))
	in := bufio.NewReader(c)
	h.answer(in)
	h.idle(1)
	io.WriteString(c, post("/cross", "x"))
	h.wait(handler.read, "request")
	left := h.shutdown()
	close(handler.proceed)
	if resp, got := h.answer(in); got != "POST /cross x" || !resp.Close {
		t.Errorf("%q, closes %v", got, resp.Close)
	}
	if n := <-left; n != 0 {
		t.Errorf("%d connections are left", n)
	}
}

func TestRequestReadAsItsConnectionIsEvictedIsAnswered(t *testing.T) {
	for name, first := range map[string]bool{"on a new connection": true, "on a used one": false} {
		t.Run(name, func(t *testing.T) {
			h, handler := openCrossing(t, 2, usualTimes())
			c := h.dial("")
			in := bufio.NewReader(c)
			if !first {
				io.WriteString(c, post("/", ""))
				h.answer(in)
				h.idle(1)
			}
			io.WriteString(c, post("/cross", "x"))
			h.wait(handler.read, "request")
			other := bufio.NewReader(h.dial(post("/other", "")))
			h.answer(other) // it has needed the place of the first
			close(handler.proceed)
			if _, got := h.answer(in); got != "POST /cross x" {
				t.Errorf("%q", got)
			}
			if _, got := h.answer(bufio.NewReader(h.dial(post("/third", "")))); got != "POST /third " {
				t.Errorf("a further caller: %q", got)
			}
		})
	}
}

func TestRequestsSentTogetherAreAllAnsweredDuringShutdown(t *testing.T) {
	h := open(t, 10, usualTimes())
	c := h.dial(post("/hold", "") + post("/second", "b") + post("/third", "c"))
	h.wait(h.echo.held, "request")
	left := h.shutdown()
	close(h.echo.free)
	in := bufio.NewReader(c)
	for _, want := range []string{"POST /hold ", "POST /second b", "POST /third c"} {
		if resp, got := h.answer(in); got != want || resp.Close != (want == "POST /third c") {
			t.Errorf("%q, closes %v, want %q", got, resp.Close, want)
		}
	}
	if n := <-left; n != 0 {
		t.Errorf("%d connections are left", n)
	}
}

func TestAnswerIsWrittenAfterAnEarlierWriteTookLong(t *testing.T) {
	times := usualTimes()
	times.Write = 2 * time.Second
	h := open(t, 10, times)
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
			io.WriteString(c, post("/huge", "ok"))
		}
		if resp, got := h.answer(in); resp.StatusCode != 200 || len(got) != hugeAnswer {
			t.Fatalf("%s, %d bytes", resp.Status, len(got))
		}
		time.Sleep(times.Write + 100*time.Millisecond)
		io.WriteString(c, post("/next", "x"))
		if _, got := h.answer(in); got != "POST /next x" {
			t.Errorf("with 100 Continue before: %v, %q", expects, got)
		}
	}
}

func TestAnswerIsWrittenAfterTheDeadlineOfOneThatFlowed(t *testing.T) {
	h := open(t, 10, usualTimes())
	c := h.dial(post("/flow", ""))
	in := bufio.NewReader(c)
	if _, got := h.answer(in); got != "flows" {
		t.Fatalf("%q", got)
	}
	time.Sleep(flowTime + 100*time.Millisecond)
	io.WriteString(c, post("/next", "x"))
	if _, got := h.answer(in); got != "POST /next x" {
		t.Errorf("%q", got)
	}
}
