package sidecar

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"barleydrum.example/barleydrum/internal/fake"
)

// Callers reset while their call is out and others ask on the same endpoints: the calls, their
// attempts and their ids are forgotten, and each of the others has its own answer.
func TestCallerResetsUnderLoad(t *testing.T) {
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
	p := startSidecar(t, fake.NewConfig(t, fake.EndpointList(fake.StartHTTPServer(t, echo), fake.StartHTTPServer(t, echo), fake.StartHTTPServer(t, echo))))
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
	for end := time.Now().Add(testTimeout); ; time.Sleep(time.Millisecond) {
		if s := p.engine.Stats(); s.OpenCalls == 0 && s.AttemptsInFlight == 0 {
			break
		}
		if time.Now().After(end) {
			t.Fatalf("left: %+v", p.engine.Stats())
		}
	}
	for end := time.Now().Add(testTimeout); ; time.Sleep(time.Millisecond) {
		p.server.mu.Lock()
		n := len(p.server.openIDs)
		p.server.mu.Unlock()
		if n == 0 {
			break
		}
		if time.Now().After(end) {
			t.Fatalf("%d ids are held", n)
		}
	}
}
