// Package fake stands in for what a sidecar meets on its network: the endpoints of a
// tier, with faults on command; discovery, pushed or asked; and callers that keep count of
// what they were answered. It is written from PROTOCOL, listens on loopback only, and serves
// tests and the lab alike.
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

// TestingT is the part of testing.TB that the helpers for tests use.
type TestingT interface {
	Helper()
	Cleanup(func())
	Fatal(args ...any)
}

// StartHTTPServer serves an address by a handler until the test ends.
func StartHTTPServer(t TestingT, h http.HandlerFunc) (addr string) {
	t.Helper()
	s := httptest.NewServer(h)
	t.Cleanup(s.Close)
	return s.Listener.Addr().String()
}

// StartTCPServer serves each connection to an address by f until the test ends.
func StartTCPServer(t TestingT, f func(c net.Conn)) (addr string) {
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
			go f(c)
		}
	}()
	return l.Addr().String()
}

// DiscardRequest reads a request whole and drops it.
func DiscardRequest(in *bufio.Reader) error {
	r, err := http.ReadRequest(in)
	if err != nil {
		return err
	}
	_, err = io.Copy(io.Discard, r.Body)
	return err
}

// PlatformSettingsJSON are a platform's settings for tests, with a class of each kind. Reports come in answers only, so that no
// probe is needed before a request goes out.
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

// EndpointList lists endpoints at these addresses, in service.
func EndpointList(addrs ...string) discovery.List {
	l := discovery.List{Generation: 1, Full: true}
	for i, addr := range addrs {
		l.Instances = append(l.Instances, discovery.Instance{ID: fmt.Sprintf("s-%d", i), HostPort: addr, Zone: "a", Lifecycle: "up"})
	}
	return l
}

// NewConfig is a platform's configuration for tests that knows of endpoints, with Settings.
func NewConfig(t TestingT, known discovery.List) *config.Config {
	t.Helper()
	text, err := json.Marshal(map[string]any{
		"name": "n1", "listen": "127.0.0.1:1", "discovery": "127.0.0.1:1", "seed": "1f",
		"known": known, "settings": json.RawMessage(PlatformSettingsJSON),
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
