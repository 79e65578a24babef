// Package fake simulates a sidecar's network peers for tests and for the lab: the endpoints of
// a tier, with faults that can be switched on and off; discovery, pushed or polled; and callers
// that count the outcomes of their requests. It follows PROTOCOL and listens on loopback only.
// The sidecar must not import it.
package fake

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"

	"barleydrum.example/barleydrum/internal/config"
	"barleydrum.example/barleydrum/internal/discovery"
)

// TestingT is the part of testing.TB that the package's test helpers use.
type TestingT interface {
	Helper()
	Cleanup(func())
	Fatal(args ...any)
}

// StartHTTPServer starts an HTTP server with the handler on a free loopback port and returns its
// address. The server is closed when the test ends.
func StartHTTPServer(t TestingT, handler http.HandlerFunc) (addr string) {
	t.Helper()
	s := httptest.NewServer(handler)
	t.Cleanup(s.Close)
	return s.Listener.Addr().String()
}

// StartTCPServer listens on a free loopback port and returns its address. Each accepted connection
// is passed to serve, in a goroutine of its own; serve must close it. The listener is closed when
// the test ends.
func StartTCPServer(t TestingT, serve func(c net.Conn)) (addr string) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go serve(c)
		}
	}()
	return l.Addr().String()
}

// DiscardRequest reads one request with its whole body and discards it.
func DiscardRequest(reader *bufio.Reader) error {
	r, err := http.ReadRequest(reader)
	if err != nil {
		return err
	}
	_, err = io.Copy(io.Discard, r.Body)
	return err
}

// PlatformSettingsJSON holds a platform's settings for tests, with one class of each kind: safe, keyed
// and unsafe. Load is reported in responses only, so that a request can be sent without a probe
// before it.
const PlatformSettingsJSON = `{"balancers": 1, "me": 0, "tier": 0, "zone": 0, "zones": ["a", "b"],
"classes": [
 {"name": "read", "goalTimeNs": 20000000000, "hardLimitNs": 30000000000, "importance": 1, "semantics": "safe"},
 {"name": "book", "goalTimeNs": 20000000000, "hardLimitNs": 30000000000, "importance": 1, "semantics": "keyed",
  "keyScope": "all", "repeatWindowNs": 30000000000},
 {"name": "pay", "goalTimeNs": 20000000000, "hardLimitNs": 30000000000, "importance": 1, "semantics": "unsafe"}],
"tenants": [{"name": "acme", "share": 1, "quotaPerS": 0}],
"limits": {"attemptsCap": 3, "cancel": true, "secondCopies": true, "connectTimeoutNs": 5000000000, "keepaliveNs": 60000000000},
"loadInfo": {"fields": ["busy_reqs"], "how": "piggyback"},
"rules": {"drainGraceNs": 500000000}, "discovery": "push", "stepNs": 1000000}`

// EndpointList returns a full discovery list with one endpoint in service at each address. Their
// IDs are s-0, s-1 and so on, and their zone is "a".
func EndpointList(addrs ...string) discovery.List {
	l := discovery.List{Generation: 1, Full: true}
	for i, addr := range addrs {
		l.Instances = append(l.Instances, discovery.Instance{ID: fmt.Sprintf("s-%d", i), HostPort: addr, Zone: "a", Lifecycle: "up"})
	}
	return l
}

// NewConfig returns a configuration for tests: a platform's configuration with PlatformSettingsJSON
// and the endpoints known at the start, merged with the operators' default settings.
func NewConfig(t TestingT, knownEndpoints discovery.List) *config.Config {
	t.Helper()
	text, err := json.Marshal(map[string]any{
		"name": "n1", "listen": "127.0.0.1:1", "discovery": "127.0.0.1:1", "seed": "1f",
		"known": knownEndpoints, "settings": json.RawMessage(PlatformSettingsJSON),
	})
	if err != nil {
		t.Fatal(err)
	}
	p, err := config.ParsePlatform(text)
	if err != nil {
		t.Fatal(err)
	}
	return config.Merge(p, config.DefaultSettings())
}
