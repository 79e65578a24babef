package sidecar

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"barleydrum.example/barleydrum/internal/config"
	"barleydrum.example/barleydrum/internal/discovery"
	"barleydrum.example/barleydrum/internal/engine"
	"barleydrum.example/barleydrum/internal/fake"
)

// runDiscovery runs a discovery client against h until the test ends, and returns its engine. The
// engine starts with the list known.
func runDiscovery(t *testing.T, known discovery.List, h http.HandlerFunc) *engine.Engine {
	t.Helper()
	return runDiscoveryWithConfig(t, fake.NewConfig(t, known), h)
}

// runDiscoveryWithConfig is runDiscovery with a configuration.
func runDiscoveryWithConfig(t *testing.T, cfg *config.Config, h http.HandlerFunc) *engine.Engine {
	t.Helper()
	return startDiscoveryClient(t, cfg, h).engine
}

// startDiscoveryClient runs a discovery client against h until the test ends.
func startDiscoveryClient(t *testing.T, cfg *config.Config, h http.HandlerFunc) *DiscoveryClient {
	t.Helper()
	cfg.DiscoveryAddress = fake.StartHTTPServer(t, h)
	e, err := engine.New(cfg)
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	stopped := make(chan struct{})
	client := NewDiscoveryClient(cfg, e)
	client.responseTimeout = 3 * time.Second // so that no response that a test relies on times out on a slow machine
	go func() {
		client.Run(ctx)
		close(stopped)
	}()
	t.Cleanup(func() {
		cancel()
		waitFor(t, stopped, "end of the watch")
	})
	return client
}

// When the address of discovery changes, the request to the previous address must be canceled and the
// whole list requested from the new one, because list versions of different services are unrelated. In
// poll mode, this must not wait for the balancer to subscribe again.
func TestSetAddressRequestsWholeList(t *testing.T) {
	for _, pollMode := range []bool{false, true} {
		requested, canceled := make(chan struct{}, 100), make(chan struct{}, 100)
		hang := func(r *http.Request) {
			requested <- struct{}{}
			<-r.Context().Done()
			canceled <- struct{}{}
		}
		firstQueries := make(chan string, 2)
		var addrs [2]string
		for i := range addrs {
			var requests atomic.Int32
			addrs[i] = fake.StartHTTPServer(t, func(w http.ResponseWriter, r *http.Request) {
				if requests.Add(1) == 1 {
					firstQueries <- r.URL.RawQuery
					json.NewEncoder(w).Encode(fake.EndpointList(fmt.Sprint("127.0.0.1:", 3+i)))
					return
				}
				hang(r)
			})
		}
		known := fake.EndpointList("127.0.0.1:2")
		if pollMode { // so that the balancer subscribes at once
			known = discovery.List{}
		}
		cfg := fake.NewConfig(t, known)
		cfg.BalancerConfig.MustSubscribe = pollMode
		client := startDiscoveryClient(t, cfg, func(_ http.ResponseWriter, r *http.Request) { hang(r) })
		waitFor(t, requested, "request")
		for i, addr := range addrs { // the address may change repeatedly
			client.SetAddress(addr)
			waitFor(t, canceled, "cancellation of the old request")
			waitFor(t, requested, "second request to the new address")
			if got := <-firstQueries; got != "" {
				t.Errorf("poll mode %v: first request with query %q, want none", pollMode, got)
			}
			got, _, _ := client.engine.LookupEndpoint("s-0")
			if want := fmt.Sprint("127.0.0.1:", 3+i); got != want {
				t.Errorf("poll mode %v: endpoint at %s, want %s", pollMode, got, want)
			}
		}
	}
}

// Generation 0 must be sent as the index like any other: if it is left out, every request immediately
// gets the whole list.
func TestWatchSendsGenerationZero(t *testing.T) {
	queries := make(chan string, 100)
	list := fake.EndpointList("127.0.0.1:2")
	list.Generation = 0
	runDiscovery(t, discovery.List{}, func(w http.ResponseWriter, r *http.Request) {
		select {
		case queries <- r.URL.Query().Get("index"):
		default:
		}
		json.NewEncoder(w).Encode(list)
	})
	for i, want := range []string{"", "0", "0"} {
		if got := <-queries; got != want {
			t.Errorf("request %d: index %q, want %q", i, got, want)
		}
	}
}

// Invalid lists and failed requests must leave the current list unchanged, and the watch must continue.
// Requests that get an immediate response must not be repeated in a busy loop.
func TestWatchContinuesAfterBadListsAndFailures(t *testing.T) {
	badLists := []string{
		"", "{", `{"generation": "x"}`, `{"instances": [{"instanceId": "", "lifecycle": "up"}]}`,
		`{"instances": [{"instanceId": "s", "lifecycle": "well", "hostPort": "127.0.0.1:2"}]}`,
		`{"instances": [{"instanceId": "s", "lifecycle": "up", "hostPort": "nowhere"}]}`,
		`{"instances": [{"instanceId": "s", "lifecycle": "up", "hostPort": "127.0.0.1:2", "weight": -1}]}`,
	}
	done := make(chan struct{})
	requests, startedAt := 0, time.Now()
	e := runDiscovery(t, fake.EndpointList("127.0.0.1:2"), func(w http.ResponseWriter, r *http.Request) {
		switch requests++; {
		case requests <= len(badLists):
			fmt.Fprint(w, badLists[requests-1])
		case requests == len(badLists)+1:
			w.WriteHeader(http.StatusServiceUnavailable)
		case requests == len(badLists)+2:
			<-r.Context().Done() // no response: the client must send another request
		case requests == len(badLists)+3:
			fmt.Fprint(w, `{"generation": 7, "reset": false, "instances": [
				{"instanceId": "s-1", "hostPort": "127.0.0.1:3", "zone": "c", "lifecycle": "draining"}]}`)
		case requests == len(badLists)+4:
			if got := r.URL.Query().Get("index"); got != "7" {
				t.Errorf("index %q, want 7", got)
			}
			close(done)
			fallthrough
		default:
			fmt.Fprint(w, `{"generation": 7, "reset": false, "instances": []}`)
		}
	})
	waitFor(t, done, "valid list")
	if minDuration := time.Duration(len(badLists)) * config.DefaultSettings().Discovery.MinPause; time.Since(startedAt) < minDuration {
		t.Errorf("%d requests within %v", requests, time.Since(startedAt))
	}
	for name, want := range map[string]bool{"s-0": true, "s-1": false} {
		if _, inService, known := e.LookupEndpoint(name); !known || inService != want {
			t.Errorf("%s: in service %v, known %v, want in service %v", name, inService, known, want)
		}
	}
}

// In poll mode, requests must start when the balancer subscribes, and a failed request is repeated by
// the balancer only: clients that all retry at once would keep discovery down.
func TestPollIsRepeatedOnlyOnBalancerRequest(t *testing.T) {
	cfg := fake.NewConfig(t, discovery.List{})
	cfg.BalancerConfig.MustSubscribe = true
	requests, listReceived := 0, make(chan struct{})
	e := runDiscoveryWithConfig(t, cfg, func(w http.ResponseWriter, r *http.Request) {
		switch requests++; requests {
		case 1:
			w.WriteHeader(http.StatusServiceUnavailable)
		case 2:
			json.NewEncoder(w).Encode(fake.EndpointList("127.0.0.1:2"))
		case 3:
			close(listReceived)
			fallthrough
		default:
			<-r.Context().Done()
		}
	})
	waitFor(t, listReceived, "request after the list")
	if !e.Ready() {
		t.Error("the engine did not apply the list")
	}
}
