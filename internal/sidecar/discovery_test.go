package sidecar

import (
	"context"
	"encoding/json"
	"fmt"
	"hash/fnv"
	"net/http"
	"reflect"
	"sync/atomic"
	"testing"
	"time"

	"barleydrum.example/barleydrum/balance"
	"barleydrum.example/barleydrum/internal/config"
	"barleydrum.example/barleydrum/internal/discovery"
	"barleydrum.example/barleydrum/internal/standin"
)

// follow runs discovery against a handler until the test ends.
func follow(t *testing.T, known discovery.List, h http.HandlerFunc) *Engine {
	t.Helper()
	return followConfig(t, testConfig(t, known), h)
}

func followConfig(t *testing.T, c *config.Config, h http.HandlerFunc) *Engine {
	t.Helper()
	return followMoves(t, c, h).engine
}

func followMoves(t *testing.T, c *config.Config, h http.HandlerFunc) *Discovery {
	t.Helper()
	c.Discovery = standin.HTTP(t, h)
	e, err := NewEngine(c)
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	d := NewDiscovery(c, e)
	d.late = 3 * time.Second // a slow machine must not lose an answer that a test counts on
	go func() {
		d.Run(ctx)
		close(ended)
	}()
	t.Cleanup(func() {
		cancel()
		wait(t, ended, "end of the watch")
	})
	return d
}

// A call to the address before is given up as discovery moves, and the new address is asked
// for the whole list: its versions are its own. Where the list is asked for, that needs no
// further word of the balancer.
func TestMove(t *testing.T) {
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
			moves[i] = standin.HTTP(t, func(w http.ResponseWriter, r *http.Request) {
				if calls.Add(1) == 1 {
					first <- r.URL.RawQuery
					json.NewEncoder(w).Encode(up(fmt.Sprint("127.0.0.1:", 3+i)))
					return
				}
				hang(r)
			})
		}
		c := testConfig(t, up("127.0.0.1:2"))
		c.Module.AskDiscovery = asks
		d := followMoves(t, c, func(_ http.ResponseWriter, r *http.Request) { hang(r) })
		if asks {
			d.engine.mu.Lock()
			d.engine.act(&balance.Action{Kind: balance.Subscribe})
			d.engine.mu.Unlock()
		}
		wait(t, asked, "call")
		for i, addr := range moves { // moves may repeat
			d.Move(addr)
			wait(t, given, "end of the old call")
			wait(t, asked, "second call at the new address")
			if got := <-first; got != "" {
				t.Errorf("asks %v: first call with %q, want the whole list", asks, got)
			}
			d.engine.mu.Lock()
			got := d.engine.endpoints[d.engine.names.id("s-0")].route.Addr
			d.engine.mu.Unlock()
			if want := fmt.Sprint("127.0.0.1:", 3+i); got != want {
				t.Errorf("asks %v: endpoint at %s, want %s", asks, got, want)
			}
		}
	}
}

// Version 0 left out of a watch had each call answered with the whole list, at once.
func TestWatchNamesItsVersion(t *testing.T) {
	queries := make(chan string, 100)
	news := up("127.0.0.1:2")
	news.Generation = 0
	follow(t, discovery.List{}, func(w http.ResponseWriter, r *http.Request) {
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
func TestWatchSurvives(t *testing.T) {
	bad := []string{
		"", "{", `{"generation": "x"}`, `{"instances": [{"instanceId": "", "lifecycle": "up"}]}`,
		`{"instances": [{"instanceId": "s", "lifecycle": "well", "hostPort": "127.0.0.1:2"}]}`,
		`{"instances": [{"instanceId": "s", "lifecycle": "up", "hostPort": "nowhere"}]}`,
		`{"instances": [{"instanceId": "s", "lifecycle": "up", "hostPort": "127.0.0.1:2", "weight": -1}]}`,
	}
	done := make(chan struct{})
	calls, began := 0, time.Now()
	e := follow(t, up("127.0.0.1:2"), func(w http.ResponseWriter, r *http.Request) {
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
	wait(t, done, "news")
	if least := time.Duration(len(bad)) * config.Default().Discovery.Pause; time.Since(began) < least {
		t.Errorf("%d calls within %v", calls, time.Since(began))
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if a, b := e.endpoints[e.names.id("s-0")], e.endpoints[e.names.id("s-1")]; a == nil || a.left || b == nil || !b.left {
		t.Errorf("endpoints %+v and %+v, want the first in service, the second not", a, b)
	}
}

// Where discovery is asked, it is asked when the balancer says so, and a call that fails is
// the balancer's to repeat: a fleet that asked again at once would keep discovery down.
func TestAsksWhenTold(t *testing.T) {
	c := testConfig(t, discovery.List{})
	c.Module.AskDiscovery = true
	calls, listed := 0, make(chan struct{})
	e := followConfig(t, c, func(w http.ResponseWriter, r *http.Request) {
		switch calls++; calls {
		case 1:
			w.WriteHeader(http.StatusServiceUnavailable)
		case 2:
			json.NewEncoder(w).Encode(up("127.0.0.1:2"))
		case 3:
			close(listed)
			fallthrough
		default:
			<-r.Context().Done()
		}
	})
	wait(t, listed, "second call")
	if !e.ready.Load() {
		t.Error("the list was not taken")
	}
}

// Every sidecar has the same number for an endpoint, whatever the order of the list,
// and two names with one hash have two numbers.
func TestEndpointIDs(t *testing.T) {
	hash := func(s string) uint32 {
		h := fnv.New32a()
		h.Write([]byte(s))
		return h.Sum32()
	}
	seen := make(map[uint32]string)
	var twins []string
	for i := 0; twins == nil; i++ {
		name := fmt.Sprint("s-", i)
		if other, ok := seen[hash(name)]; ok {
			twins = []string{other, name}
		}
		seen[hash(name)] = name
	}
	list := func(names ...string) *discovery.List {
		l := new(discovery.List)
		for _, n := range names {
			l.Instances = append(l.Instances, discovery.Instance{ID: n, Lifecycle: "up"})
		}
		return l
	}
	one, other := newNames(nil), newNames(nil)
	a, b := one.entries(list(twins[0], "x", twins[1])), other.entries(list(twins[1], twins[0], "x"))
	if !reflect.DeepEqual(a, b) {
		t.Errorf("%+v and %+v differ", a, b)
	}
	if one.id(twins[0]) == one.id(twins[1]) {
		t.Errorf("%v share a number", twins)
	}
	if again := one.entries(list(twins[1])); again[0].ID != one.id(twins[1]) {
		t.Error("a number changed")
	}
}

// The start of an endpoint, in Unix time, is at its place on the module's clock.
func TestStartIsOnTheModulesClock(t *testing.T) {
	l := up("127.0.0.1:2")
	l.Instances[0].StartedMS = time.Now().Add(-time.Minute).UnixMilli()
	e, err := NewEngine(testConfig(t, l))
	if err != nil {
		t.Fatal(err)
	}
	age := e.now() - e.names.entries(&l)[0].Started
	if age < time.Minute || age > time.Minute+patience {
		t.Errorf("age %v, want a minute", age)
	}
	if got := e.on(e.now()); time.Until(got).Abs() > patience {
		t.Errorf("now is %v on the machine's clock", got)
	}
}
