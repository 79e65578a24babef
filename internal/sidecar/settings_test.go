package sidecar

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"barleydrum.example/barleydrum/internal/config"
	"barleydrum.example/barleydrum/internal/discovery"
	"barleydrum.example/barleydrum/internal/fake"
)

// parseSettings reads an operators' file; the part that all need is added.
func parseSettings(t testing.TB, text string) *config.Settings {
	t.Helper()
	s, bad := config.ParseSettings("test", []byte("schema = 1\n[application]\nname = \"test\"\n"+text))
	if len(bad) > 0 {
		t.Fatal(bad)
	}
	return s
}

// configWithSettings is a configuration for tests narrowed by a file.
func configWithSettings(t *testing.T, known discovery.List, text string) *config.Config {
	t.Helper()
	return config.Merge(fake.NewConfig(t, known).Platform, parseSettings(t, text))
}

// Each limit of the file holds, and what may change at SIGHUP changes with Apply.
func TestBodyLimitsFollowSettings(t *testing.T) {
	addr := fake.StartHTTPServer(t, func(w http.ResponseWriter, r *http.Request) {
		io.Copy(io.Discard, r.Body)
		io.WriteString(w, strings.Repeat("x", 2000))
	})
	p := startSidecar(t, configWithSettings(t, fake.EndpointList(addr, addr, addr), "[callers]\nmax_body = \"1KiB\"\n[endpoints]\nmax_answer = \"1KiB\"\n"))
	if resp, _ := p.send(p.request("book", strings.Repeat("x", 1025))); resp.StatusCode != http.StatusRequestEntityTooLarge {
		t.Errorf("a long body: %s", resp.Status)
	}
	if resp, _ := p.send(p.request("pay", "x")); resp.StatusCode != http.StatusBadGateway {
		t.Errorf("a long answer: %s", resp.Status)
	}
	p.engine.ApplySettings(parseSettings(t, "[callers]\nmax_body = \"2KiB\"\n[endpoints]\nmax_answer = \"2KiB\"\n"))
	if resp, body := p.send(p.request("book", strings.Repeat("x", 1025))); resp.StatusCode != 200 || len(body) != 2000 {
		t.Errorf("after the change: %s, %d bytes", resp.Status, len(body))
	}
}

// A class's bounds hold for real requests, and change with Apply.
func TestClassAttemptLimitsFollowSettings(t *testing.T) {
	var ran atomic.Int32
	fail := func(w http.ResponseWriter, r *http.Request) {
		ran.Add(1)
		w.WriteHeader(http.StatusInternalServerError)
	}
	addr := fake.StartHTTPServer(t, fail)
	many := fake.EndpointList(addr, addr, addr, addr, addr, addr, addr, addr) // those that failed are passed over for a while
	p := startSidecar(t, configWithSettings(t, many, "[class.book]\nretries = 0\n"))
	ask := func(want int32) {
		t.Helper()
		ran.Store(0)
		if resp, _ := p.send(p.request("book", "x")); resp.StatusCode/100 != 5 || ran.Load() != want {
			t.Errorf("%s after %d attempts, want %d", resp.Status, ran.Load(), want)
		}
	}
	ask(1)
	p.engine.ApplySettings(parseSettings(t, "[class.book]\nattempts = 2\n"))
	ask(2)
	p.engine.ApplySettings(parseSettings(t, ""))
	ask(3) // the platform's own bound
	p.engine.ApplySettings(parseSettings(t, "[class.book]\nretry_within = \"1ms\"\n"))
	time.Sleep(2 * time.Millisecond)
	slow := fake.StartHTTPServer(t, func(w http.ResponseWriter, r *http.Request) {
		ran.Add(1)
		time.Sleep(5 * time.Millisecond)
		w.WriteHeader(http.StatusInternalServerError)
	})
	l := fake.EndpointList(slow, slow)
	p.engine.UpdateEndpoints(&l)
	ask(1)
}

// A wanted time that the file shortens ends a request that no endpoint answers.
func TestTargetLatencyFollowsSettings(t *testing.T) {
	addr := fake.StartTCPServer(t, func(c net.Conn) { io.Copy(io.Discard, c) })
	p := startSidecar(t, configWithSettings(t, fake.EndpointList(addr), "[class.pay]\nwanted = \"50ms\"\ndeadline = \"100ms\"\n"))
	resp, _ := p.send(p.request("pay", "x")) // the caller would wait for 20 s
	if resp.StatusCode != http.StatusBadGateway {
		t.Errorf("%s, want a failure", resp.Status)
	}
}

// All listeners of a sidecar share its places for callers.
func TestListenersShareConnectionLimit(t *testing.T) {
	c := fake.NewConfig(t, fake.EndpointList(fake.StartHTTPServer(t, func(http.ResponseWriter, *http.Request) {})))
	c.Settings.Callers.MaxConnections = 4
	p := startSidecar(t, c)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go p.server.Serve(l)
	first, second := strings.TrimPrefix(p.url, "http://"), l.Addr().String()
	for _, addr := range []string{first, second} {
		req, err := fake.NewHTTPRequest(context.Background(), addr, fake.CallerRequest{ID: addr, Class: "read", Tenant: "acme", Timeout: testTimeout})
		if err != nil {
			t.Fatal(err)
		}
		if resp, _ := p.send(req); resp.StatusCode != 200 {
			t.Errorf("%s: %s", addr, resp.Status)
		}
	}
	if got := c.MaxCallerConnections(); got != 4 {
		t.Errorf("%d places", got)
	}
}

// Settings may change while requests are under way: each gets its one answer.
func TestApplySettingsUnderLoad(t *testing.T) {
	addr := fake.StartHTTPServer(t, func(w http.ResponseWriter, r *http.Request) { io.Copy(io.Discard, r.Body) })
	p := startSidecar(t, fake.NewConfig(t, fake.EndpointList(addr, addr)))
	stop := make(chan struct{})
	var changes sync.WaitGroup
	changes.Add(1)
	texts := []*config.Settings{parseSettings(t, "[class.book]\nattempts = 1\nsecond_copies = false\n"), parseSettings(t, "[probe]\ntime = \"1s\"\n"), config.DefaultSettings()}
	go func() {
		defer changes.Done()
		for i := 0; ; i++ {
			select {
			case <-stop:
				return
			default:
				p.engine.ApplySettings(texts[i%len(texts)])
			}
		}
	}()
	caller := fake.NewCaller(8)
	defer caller.Close()
	var callers sync.WaitGroup
	for range 8 {
		callers.Add(1)
		go func() {
			defer callers.Done()
			for range 30 {
				o := fake.CallerRequest{ID: caller.NextID(), Class: "book", Tenant: "acme", IdempotencyKey: "k", Body: "x", Timeout: testTimeout}
				req, err := fake.NewHTTPRequest(context.Background(), strings.TrimPrefix(p.url, "http://"), o)
				if err != nil {
					t.Error(err)
					return
				}
				resp, err := http.DefaultTransport.RoundTrip(req)
				if err != nil {
					t.Error(err)
					return
				}
				resp.Body.Close()
				if resp.StatusCode != 200 {
					t.Error(resp.Status)
				}
			}
		}()
	}
	callers.Wait()
	close(stop)
	changes.Wait()
}
