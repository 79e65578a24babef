package sidecar

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"pgregory.net/rapid"

	"barleydrum.example/barleydrum/balance"
	"barleydrum.example/barleydrum/internal/standin"
)

// The heap of timers against a sorted list.
func TestTimersModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var h timers
		var model []time.Duration
		t.Repeat(map[string]func(*rapid.T){
			"push": func(t *rapid.T) {
				at := time.Duration(rapid.IntRange(0, 50).Draw(t, "at"))
				h.push(due{at, balance.Timer{Ref: uint64(at)}})
				model = append(model, at)
				slices.Sort(model)
			},
			"pop": func(t *rapid.T) {
				if len(model) == 0 {
					t.Skip("none")
				}
				if got := h.pop(); got.at != model[0] || got.timer.Ref != uint64(got.at) {
					t.Fatalf("%v, want %v", got, model[0])
				}
				model = model[1:]
			},
			"": func(t *rapid.T) {
				if len(h) != len(model) || len(h) > 0 && h[0].at != model[0] {
					t.Fatalf("%v, want %v", h, model)
				}
			},
		})
	})
}

// drained waits until an engine holds no call.
func drained(t *testing.T, e *Engine) {
	t.Helper()
	for end := time.Now().Add(patience); ; time.Sleep(time.Millisecond) {
		e.mu.Lock()
		calls, out := len(e.calls), 0
		for _, to := range e.endpoints {
			out += len(to.out)
		}
		e.mu.Unlock()
		if calls == 0 && out == 0 {
			return
		}
		if time.Now().After(end) {
			t.Fatalf("%d calls and %d attempts are left", calls, out)
		}
	}
}

// A caller whose goroutine carries an attempt is answered at once when another attempt, or the
// balancer, has the answer; the attempt goes on elsewhere and leaves nothing behind. The first
// call is carried on a connection that comes up, the second on one that stands idle.
func TestAnswerBesideOwnAttempt(t *testing.T) {
	began, finish := make(chan struct{}, 1), make(chan struct{})
	release := sync.OnceFunc(func() { close(finish) })
	var first atomic.Bool
	p := start(t, testConfig(t, up(standin.HTTP(t, func(_ http.ResponseWriter, r *http.Request) {
		io.Copy(io.Discard, r.Body)
		if first.CompareAndSwap(false, true) { // so that a connection stands idle
			return
		}
		began <- struct{}{}
		<-finish
	}))))
	defer release() // before the node's end, which waits for its handlers
	if resp, _ := p.send(p.request("book", "x")); resp.StatusCode != 200 {
		t.Fatal(resp.Status)
	}
	status := make(chan int, 1)
	go func() {
		resp, _ := p.send(p.request("book", "x"))
		status <- resp.StatusCode
	}()
	wait(t, began, "attempt")
	p.engine.mu.Lock()
	for _, c := range p.engine.calls {
		if c.inline == nil {
			t.Error("the caller's goroutine does not carry the attempt")
		}
		p.engine.answer(c, final{refused: true})
	}
	p.engine.mu.Unlock()
	select {
	case got := <-status:
		if got != http.StatusServiceUnavailable {
			t.Errorf("status %d", got)
		}
	case <-time.After(patience):
		t.Fatal("it waits for its own attempt")
	}
	release()
	drained(t, p.engine)
}

// What has its answer before its first byte went out stays here.
func TestNothingGoesOutOnceAnswered(t *testing.T) {
	p := start(t, testConfig(t, up(standin.HTTP(t, func(http.ResponseWriter, *http.Request) { t.Error("it went out") }))))
	c := &call{wake: make(chan struct{}, 1), timer: time.NewTimer(time.Hour), engine: p.engine, until: time.Now().Add(patience)}
	c.Class = p.server.cfg.Classes["book"]
	c.Budget = patience
	c.head = requestHead(t, "POST / HTTP/1.1\r\nHost: a\r\n\r\n")
	x, answered := p.engine.begin(c, false)
	if x == nil || answered {
		t.Fatalf("%v %v: no attempt to carry", x, answered)
	}
	p.engine.abandon(c) // its caller goes between the decision and the first byte
	x.Carry()
	if _, answered := p.engine.ended(x); !answered || x.Result() != balance.NotSent {
		t.Errorf("answered %v, result %d", answered, x.Result())
	}
	drained(t, p.engine)
}

// A call that is abandoned before the engine has it is never handed to the balancer.
func TestGoneBeforeBegin(t *testing.T) {
	p := start(t, testConfig(t, up("127.0.0.1:1")))
	c := &call{wake: make(chan struct{}, 1), timer: time.NewTimer(time.Hour), engine: p.engine, until: time.Now().Add(patience)}
	c.Leave()
	if f, spent := p.engine.serve(c, false); f.served != nil || f.refused || !spent || p.engine.last != 0 {
		t.Errorf("%+v, spent %v, %d requests", f, spent, p.engine.last)
	}
}

// Callers reset while their call is out and others ask on the same endpoints: the calls, their
// attempts and their ids are forgotten, and each of the others has its own answer.
func TestCallersResetUnderLoad(t *testing.T) {
	echo := func(w http.ResponseWriter, r *http.Request) {
		io.Copy(io.Discard, r.Body)
		if strings.HasSuffix(r.URL.Path, "/slow") {
			select {
			case <-r.Context().Done():
			case <-time.After(20 * time.Millisecond):
			}
		}
		io.WriteString(w, r.Header.Get("X-Request-ID"))
	}
	p := start(t, testConfig(t, up(standin.HTTP(t, echo), standin.HTTP(t, echo), standin.HTTP(t, echo))))
	const head = "POST /api/%s HTTP/1.1\r\nHost: a\r\nX-Request-ID: %s\r\nX-Priority-Class: book\r\nIdempotency-Key: k\r\nContent-Length: 1\r\n\r\nx"
	text := func(path, id string) string {
		return strings.NewReplacer("%s HTTP", path+" HTTP", "ID: %s", "ID: "+id).Replace(head)
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		for i := range 200 {
			c := p.dial(text("slow", "r"+string(rune('a'+i%26))+strings.Repeat("x", i)))
			if i%2 == 0 {
				c.(*net.TCPConn).SetLinger(0)
			}
			c.Close()
		}
	}()
	c := p.dial("")
	in := bufio.NewReader(c)
	for i := range 300 {
		id := "own" + strings.Repeat("y", i%200)
		if _, err := io.WriteString(c, text("quick", id)); err != nil {
			t.Fatal(err)
		}
		resp, err := http.ReadResponse(in, nil)
		if err != nil {
			t.Fatal(err)
		}
		if body, _ := io.ReadAll(resp.Body); resp.StatusCode == 200 && string(body) != id {
			t.Fatalf("%q was answered with %q", id, body)
		}
	}
	<-done
	drained(t, p.engine)
	for end := time.Now().Add(patience); ; time.Sleep(time.Millisecond) {
		p.server.mu.Lock()
		n := len(p.server.ids)
		p.server.mu.Unlock()
		if n == 0 {
			break
		}
		if time.Now().After(end) {
			t.Fatalf("%d ids are held", n)
		}
	}
}
