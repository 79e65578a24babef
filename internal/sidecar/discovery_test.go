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

// runDiscovery runs discovery against a handler until the test ends.
func runDiscovery(t *testing.T, known discovery.List, h http.HandlerFunc) *engine.Engine {
	t.Helper()
	return runDiscoveryWithConfig(t, fake.NewConfig(t, known), h)
}

func runDiscoveryWithConfig(t *testing.T, c *config.Config, h http.HandlerFunc) *engine.Engine {
	t.Helper()
	return startDiscoveryClient(t, c, h).engine
}

func startDiscoveryClient(t *testing.T, c *config.Config, h http.HandlerFunc) *DiscoveryClient {
	t.Helper()
	c.DiscoveryAddress = fake.StartHTTPServer(t, h)
	e, err := engine.New(c)
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	d := NewDiscoveryClient(c, e)
	d.responseTimeout = 3 * time.Second // a slow machine must not lose an answer that a test counts on
	go func() {
		d.Run(ctx)
		close(ended)
	}()
	t.Cleanup(func() {
		cancel()
		waitFor(t, ended, "end of the watch")
	})
	return d
}

// A call to the address before is given up as discovery moves, and the new address is asked
// for the whole list: its versions are its own. Where the list is asked for, that needs no
// further word of the balancer.
func TestSetAddressRequestsWholeList(t *testing.T) {
	for _, asks := range []bool{false, true} {
		asked, given := make(chan struct{}, 100), make(chan struct{}, 100)
		hang := func(r *http.Request) {
			asked <- struct{}{}
			<-r.Context().Done()
			given <- struct{}{}
		}
		first := make(chan string, 2)
		var moves [2]string
		for i := range moves {
			var calls atomic.Int32
			moves[i] = fake.StartHTTPServer(t, func(w http.ResponseWriter, r *http.Request) {
				if calls.Add(1) == 1 {
					first <- r.URL.RawQuery
					json.NewEncoder(w).Encode(fake.EndpointList(fmt.Sprint("127.0.0.1:", 3+i)))
					return
				}
				hang(r)
			})
		}
		known := fake.EndpointList("127.0.0.1:2")
		if asks { // so that the balancer asks at once
			known = discovery.List{}
		}
		c := fake.NewConfig(t, known)
		c.BalancerConfig.MustSubscribe = asks
		d := startDiscoveryClient(t, c, func(_ http.ResponseWriter, r *http.Request) { hang(r) })
		waitFor(t, asked, "call")
		for i, addr := range moves { // moves may repeat
			d.SetAddress(addr)
			waitFor(t, given, "end of the old call")
			waitFor(t, asked, "second call at the new address")
			if got := <-first; got != "" {
				t.Errorf("asks %v: first call with %q, want the whole list", asks, got)
			}
			got, _, _ := d.engine.LookupEndpoint("s-0")
			if want := fmt.Sprint("127.0.0.1:", 3+i); got != want {
				t.Errorf("asks %v: endpoint at %s, want %s", asks, got, want)
			}
		}
	}
}

// Version 0 left out of a watch had each call answered with the whole list, at once.
func TestWatchSendsGenerationZero(t *testing.T) {
	queries := make(chan string, 100)
	news := fake.EndpointList("127.0.0.1:2")
	news.Generation = 0
	runDiscovery(t, discovery.List{}, func(w http.ResponseWriter, r *http.Request) {
		select {
		case queries <- r.URL.Query().Get("index"):
		default:
		}
		json.NewEncoder(w).Encode(news)
	})
	for i, want := range []string{"", "0", "0"} {
		if got := <-queries; got != want {
			t.Errorf("call %d: index %q, want %q", i, got, want)
		}
	}
}

// Lists that can't be used and calls that get no answer leave the list at hand, and
// the watch goes on. An agent that answers at once is not asked in a busy loop.
func TestWatchContinuesAfterBadListsAndFailures(t *testing.T) {
	bad := []string{
		"", "{", `{"generation": "x"}`, `{"instances": [{"instanceId": "", "lifecycle": "up"}]}`,
		`{"instances": [{"instanceId": "s", "lifecycle": "well", "hostPort": "127.0.0.1:2"}]}`,
		`{"instances": [{"instanceId": "s", "lifecycle": "up", "hostPort": "nowhere"}]}`,
		`{"instances": [{"instanceId": "s", "lifecycle": "up", "hostPort": "127.0.0.1:2", "weight": -1}]}`,
	}
	done := make(chan struct{})
	calls, began := 0, time.Now()
	e := runDiscovery(t, fake.EndpointList("127.0.0.1:2"), func(w http.ResponseWriter, r *http.Request) {
		switch calls++; {
		case calls <= len(bad):
			fmt.Fprint(w, bad[calls-1])
		case calls == len(bad)+1:
			w.WriteHeader(http.StatusServiceUnavailable)
		case calls == len(bad)+2:
			<-r.Context().Done() // silence: the sidecar must ask again
		case calls == len(bad)+3:
			fmt.Fprint(w, `{"generation": 7, "reset": false, "instances": [
				{"instanceId": "s-1", "hostPort": "127.0.0.1:3", "zone": "c", "lifecycle": "draining"}]}`)
		case calls == len(bad)+4:
			if got := r.URL.Query().Get("index"); got != "7" {
				t.Errorf("index %q, want 7", got)
			}
			close(done)
			fallthrough
		default:
			fmt.Fprint(w, `{"generation": 7, "reset": false, "instances": []}`)
		}
	})
	waitFor(t, done, "news")
	if least := time.Duration(len(bad)) * config.DefaultSettings().Discovery.MinPause; time.Since(began) < least {
		t.Errorf("%d calls within %v", calls, time.Since(began))
	}
	for name, want := range map[string]bool{"s-0": true, "s-1": false} {
		if _, inService, known := e.LookupEndpoint(name); !known || inService != want {
			t.Errorf("%s: in service %v, known %v, want in service %v", name, inService, known, want)
		}
	}
}

// Where discovery is asked, it is asked when the balancer says so, and a call that fails is
// the balancer's to repeat: a fleet that asked again at once would keep discovery down.
func TestPollIsRepeatedOnlyOnBalancerRequest(t *testing.T) {
	c := fake.NewConfig(t, discovery.List{})
	c.BalancerConfig.MustSubscribe = true
	calls, listed := 0, make(chan struct{})
	e := runDiscoveryWithConfig(t, c, func(w http.ResponseWriter, r *http.Request) {
		switch calls++; calls {
		case 1:
			w.WriteHeader(http.StatusServiceUnavailable)
		case 2:
			json.NewEncoder(w).Encode(fake.EndpointList("127.0.0.1:2"))
		case 3:
			close(listed)
			fallthrough
		default:
			<-r.Context().Done()
		}
	})
	waitFor(t, listed, "second call")
	if !e.Ready() {
		t.Error("the list was not taken")
	}
}
