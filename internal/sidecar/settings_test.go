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

// parseSettings parses text as a settings file. The part that every file needs is added.
func parseSettings(t testing.TB, text string) *config.Settings {
	t.Helper()
	parsed, findings := config.ParseSettings("test", []byte("schema = 1\n[application]\nname = \"test\"\n"+text))
	if len(findings) > 0 {
		t.Fatal(findings)
	}
	return parsed
}

// configWithSettings returns a configuration for tests, merged with the settings in text.
func configWithSettings(t *testing.T, known discovery.List, text string) *config.Config {
	t.Helper()
	return config.Merge(fake.NewConfig(t, known).Platform, parseSettings(t, text))
}

// The body limits in the settings must hold for requests and responses, and must change with
// ApplySettings, which SIGHUP triggers.
func TestBodyLimitsFollowSettings(t *testing.T) {
	addr := fake.StartHTTPServer(t, func(w http.ResponseWriter, r *http.Request) {
		io.Copy(io.Discard, r.Body)
		io.WriteString(w, strings.Repeat("x", 2000))
	})
	sidecar := startSidecar(t, configWithSettings(t, fake.EndpointList(addr, addr, addr), "[callers]\nmax_body = \"1KiB\"\n[endpoints]\nmax_answer = \"1KiB\"\n"))
	if resp, _ := sidecar.send(sidecar.request("book", strings.Repeat("x", 1025))); resp.StatusCode != http.StatusRequestEntityTooLarge {
		t.Errorf("request body above the limit: %s", resp.Status)
	}
	if resp, _ := sidecar.send(sidecar.request("pay", "x")); resp.StatusCode != http.StatusBadGateway {
		t.Errorf("response body above the limit: %s", resp.Status)
	}
	sidecar.engine.ApplySettings(parseSettings(t, "[callers]\nmax_body = \"2KiB\"\n[endpoints]\nmax_answer = \"2KiB\"\n"))
	if resp, body := sidecar.send(sidecar.request("book", strings.Repeat("x", 1025))); resp.StatusCode != 200 || len(body) != 2000 {
		t.Errorf("after ApplySettings: %s, %d bytes", resp.Status, len(body))
	}
}

// The limits for attempts and retries in a class's settings must hold, and must change with
// ApplySettings.
func TestClassAttemptLimitsFollowSettings(t *testing.T) {
	var attempts atomic.Int32
	failing := func(w http.ResponseWriter, r *http.Request) {
		attempts.Add(1)
		w.WriteHeader(http.StatusInternalServerError)
	}
	addr := fake.StartHTTPServer(t, failing)
	endpoints := fake.EndpointList(addr, addr, addr, addr, addr, addr, addr, addr) // endpoints that failed are avoided for a while
	sidecar := startSidecar(t, configWithSettings(t, endpoints, "[class.book]\nretries = 0\n"))
	expectAttempts := func(want int32) {
		t.Helper()
		attempts.Store(0)
		if resp, _ := sidecar.send(sidecar.request("book", "x")); resp.StatusCode/100 != 5 || attempts.Load() != want {
			t.Errorf("%s after %d attempts, want %d", resp.Status, attempts.Load(), want)
		}
	}
	expectAttempts(1)
	sidecar.engine.ApplySettings(parseSettings(t, "[class.book]\nattempts = 2\n"))
	expectAttempts(2)
	sidecar.engine.ApplySettings(parseSettings(t, ""))
	expectAttempts(3) // the platform's limit
	sidecar.engine.ApplySettings(parseSettings(t, "[class.book]\nretry_within = \"1ms\"\n"))
	time.Sleep(2 * time.Millisecond)
	slowAddr := fake.StartHTTPServer(t, func(w http.ResponseWriter, r *http.Request) {
		attempts.Add(1)
		time.Sleep(5 * time.Millisecond)
		w.WriteHeader(http.StatusInternalServerError)
	})
	list := fake.EndpointList(slowAddr, slowAddr)
	sidecar.engine.UpdateEndpoints(&list)
	expectAttempts(1)
}

// A target latency that the settings shorten must end a request that no endpoint responds to.
func TestTargetLatencyFollowsSettings(t *testing.T) {
	addr := fake.StartTCPServer(t, func(c net.Conn) { io.Copy(io.Discard, c) })
	sidecar := startSidecar(t, configWithSettings(t, fake.EndpointList(addr), "[class.pay]\nwanted = \"50ms\"\ndeadline = \"100ms\"\n"))
	resp, _ := sidecar.send(sidecar.request("pay", "x")) // the caller would wait for 20 s
	if resp.StatusCode != http.StatusBadGateway {
		t.Errorf("%s, want a failure", resp.Status)
	}
}

// All listeners of a sidecar serve requests and share its limit of caller connections.
func TestListenersShareConnectionLimit(t *testing.T) {
	cfg := fake.NewConfig(t, fake.EndpointList(fake.StartHTTPServer(t, func(http.ResponseWriter, *http.Request) {})))
	cfg.Settings.Callers.MaxConnections = 4
	sidecar := startSidecar(t, cfg)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go sidecar.server.Serve(l)
	first, second := strings.TrimPrefix(sidecar.url, "http://"), l.Addr().String()
	for _, addr := range []string{first, second} {
		req, err := fake.NewHTTPRequest(context.Background(), addr, fake.CallerRequest{ID: addr, Class: "read", Tenant: "acme", Timeout: testTimeout})
		if err != nil {
			t.Fatal(err)
		}
		if resp, _ := sidecar.send(req); resp.StatusCode != 200 {
			t.Errorf("%s: %s", addr, resp.Status)
		}
	}
	if got := cfg.MaxCallerConnections(); got != 4 {
		t.Errorf("limit of %d connections, want 4", got)
	}
}

// Settings change while requests are being served. Each request must get its response.
func TestApplySettingsUnderLoad(t *testing.T) {
	addr := fake.StartHTTPServer(t, func(w http.ResponseWriter, r *http.Request) { io.Copy(io.Discard, r.Body) })
	sidecar := startSidecar(t, fake.NewConfig(t, fake.EndpointList(addr, addr)))
	stop := make(chan struct{})
	var applying sync.WaitGroup
	applying.Add(1)
	settings := []*config.Settings{parseSettings(t, "[class.book]\nattempts = 1\nsecond_copies = false\n"), parseSettings(t, "[probe]\ntime = \"1s\"\n"), config.DefaultSettings()}
	go func() {
		defer applying.Done()
		for i := 0; ; i++ {
			select {
			case <-stop:
				return
			default:
				sidecar.engine.ApplySettings(settings[i%len(settings)])
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
				callerRequest := fake.CallerRequest{ID: caller.NextID(), Class: "book", Tenant: "acme", IdempotencyKey: "k", Body: "x", Timeout: testTimeout}
				req, err := fake.NewHTTPRequest(context.Background(), strings.TrimPrefix(sidecar.url, "http://"), callerRequest)
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
	applying.Wait()
}
