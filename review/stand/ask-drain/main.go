// ask-drain runs sidecars that ask discovery (settings: discovery = "ask") before endpoints of which a quarter begins
// to drain. With -mode outage, discovery is down for 8 s and the drain begins a second after its return. With
// -mode silent, all open watches fall silent and the drain begins right after.
// The rule: nothing new goes to an endpoint after the grace, counted from when the change was told, or counts as told.
package main

import (
	"encoding/json"
	"flag"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"barleydrum.example/review/kit"
)

const (
	sidecars  = 12
	endpoints = 8
	draining  = 2 // a quarter
	clients   = 8 // at each sidecar

	quiet     = 6 * time.Second        // before the trouble
	outage    = 8 * time.Second        // "discovery is down for 8 s"
	drainsAt  = 200 * time.Millisecond // after the return: "begin to drain within seconds of its return"
	toldAfter = 6 * time.Second        // "told at the latest 6 s after discovery had it and could be reached"
	overTold  = 2 * time.Second        // "for a long poll: 2 s after that wait is over, if that is later"
	grace     = 500 * time.Millisecond // drainGraceNs
	slack     = 50 * time.Millisecond  // "each time limit is 50 ms longer"
)

func main() { os.Exit(run()) }

func run() int {
	root := flag.String("root", "", "the top of the repository")
	dir := flag.String("dir", "", "a temporary folder")
	record := flag.String("record", "record.txt", "the record")
	mode := flag.String("mode", "outage", "outage or silent")
	flag.Parse()
	rec, err := kit.NewRecorder(*record)
	if err != nil {
		fmt.Println(err)
		return kit.CantRun
	}
	defer rec.Close()
	fail := func(err error) int {
		rec.Say("can't run: %v", err)
		return kit.CantRun
	}
	trouble := kit.Trouble()
	rec.Say("mode=%s trouble=%v", *mode, trouble)
	// Requests a second at each sidecar, and the time of one at an endpoint in milliseconds, both in the mean.
	perSecond, workMS := 4.0, 100.0
	if *mode == "silent" {
		perSecond, workMS = 12.0, 25.0
	}

	var mu sync.Mutex
	lastWatchEnd := map[string]time.Time{} // when the wait of a sidecar's last watch is over
	drainGeneration := 0
	answered := map[string]time.Time{} // when a sidecar got the list that shows the drain
	sends := map[string][]time.Time{}  // to draining endpoints, by sidecar

	d := kit.NewDiscovery(rec.Log)
	defer d.Close()
	d.OnWatch = func(who string, wait time.Duration, at time.Time) {
		mu.Lock()
		defer mu.Unlock()
		if drainGeneration == 0 {
			lastWatchEnd[who] = at.Add(wait)
		}
	}
	d.OnAnswer = func(who string, generation int, at time.Time) {
		mu.Lock()
		defer mu.Unlock()
		if _, ok := answered[who]; !ok && drainGeneration > 0 && generation >= drainGeneration {
			answered[who] = at
		}
	}

	var instances []kit.Instance
	for i := range endpoints {
		e := &kit.Endpoint{Name: fmt.Sprintf("s-%d", i), Slots: make(chan struct{}, 1), Log: rec.Log,
			Work: func() time.Duration {
				return time.Duration((0.5 + rand.Float64()) * workMS * float64(time.Millisecond))
			}}
		if i < draining {
			e.OnRequest = func(id string, firstByte time.Time, _ *http.Request) {
				mu.Lock()
				defer mu.Unlock()
				if drainGeneration > 0 {
					who, _, _ := strings.Cut(id, "-")
					sends[who] = append(sends[who], firstByte)
					rec.Log("draining endpoint %s got %s", e.Name, id)
				}
			}
		}
		if err := e.Start(); err != nil {
			return fail(err)
		}
		defer e.Stop()
		instances = append(instances, kit.Instance{ID: e.Name, HostPort: e.Addr, Zone: "campus-east", Machine: "front-a", Cell: i / 4, Lifecycle: "up", Weight: 1})
	}
	d.Update(instances...)

	var sides []*kit.Sidecar
	for i := range sidecars {
		name := fmt.Sprintf("n%d", i)
		addr, err := kit.FreeAddr()
		if err != nil {
			return fail(err)
		}
		discovery, err := d.Listen(name)
		if err != nil {
			return fail(err)
		}
		s, err := kit.StartSidecar(*root, *dir, kit.Config{
			Name: name, Listen: addr, Discovery: discovery, Seed: fmt.Sprintf("%x", rand.Uint64()),
			Limits: map[string]any{"cores": 1.0, "memory_mb": 192, "sockets": 1024}, Known: d.Whole(), Settings: settings(i),
		})
		if err != nil {
			return fail(err)
		}
		defer s.Kill()
		sides = append(sides, s)
	}
	for _, s := range sides {
		if err := s.WaitReady(10 * time.Second); err != nil {
			return fail(err)
		}
	}

	var sent, served, refused, other atomic.Int64
	stop := make(chan struct{})
	var wg sync.WaitGroup
	for _, s := range sides {
		var serial atomic.Int64
		for range clients {
			wg.Add(1)
			go func() {
				defer wg.Done()
				c := &kit.Client{Addr: s.Addr}
				defer c.Close()
				for {
					select {
					case <-stop:
						return
					case <-time.After(time.Duration(rand.ExpFloat64() * clients / perSecond * float64(time.Second))):
					}
					n := serial.Add(1)
					r := kit.Request{ID: fmt.Sprintf("%s-%012x", s.Name, n), Class: "place-order", Method: "POST", Path: fmt.Sprintf("tank-%d", n),
						Key: fmt.Sprintf("%s%030x", s.Name, n), Body: "{}", Timeout: 3500 * time.Millisecond}
					sent.Add(1)
					rec.Log("sent %s to %s", r.ID, s.Name)
					a := c.Do(r, 500*time.Millisecond)
					rec.Log("answered %s by %s: %d err=%v", r.ID, s.Name, a.Status, a.Err)
					var reply kit.Reply
					switch {
					case a.Err == nil && a.Status == 200 && json.Unmarshal([]byte(a.Body), &reply) == nil && reply.ID == r.ID:
						served.Add(1)
					case a.Status == 503:
						refused.Add(1)
					default:
						other.Add(1)
					}
				}
			}()
		}
	}
	time.Sleep(quiet)
	var drained time.Time
	drain := func() {
		for i := range draining {
			instances[i].Lifecycle = "draining"
		}
		mu.Lock()
		drained = time.Now()
		drainGeneration = 2
		mu.Unlock()
		d.Update(instances[:draining]...)
		rec.Say("%d endpoints begin to drain", draining)
	}
	var observe time.Duration
	switch *mode {
	case "outage":
		if trouble {
			rec.Say("discovery goes down")
			d.SetDown(true)
		}
		time.Sleep(outage)
		d.SetDown(false)
		rec.Say("discovery is back")
		time.Sleep(drainsAt)
		drain()
		observe = 18 * time.Second
	case "silent":
		if trouble {
			rec.Say("all open watches fall silent")
			d.SilenceWatches()
		}
		time.Sleep(200 * time.Millisecond)
		drain()
		observe = 28 * time.Second
	}
	time.Sleep(observe)
	close(stop)
	wg.Wait()

	broken, early := 0, 0
	mu.Lock()
	defer mu.Unlock()
	for _, s := range sides {
		select {
		case <-s.Exited:
			return fail(fmt.Errorf("sidecar %s has ended: %v", s.Name, s.Err))
		default:
		}
		told := drained.Add(toldAfter)
		if end := lastWatchEnd[s.Name].Add(overTold); *mode == "silent" && end.After(told) {
			told = end
		}
		at, ok := answered[s.Name]
		if ok && at.Before(told) {
			told = at
		}
		late, last := 0, time.Duration(0)
		for _, t := range sends[s.Name] {
			if over := t.Sub(told.Add(grace + slack)); over > 0 {
				late++
				last = max(last, over)
			} else {
				early++
			}
		}
		broken += late
		rec.Say("%s: the drain counts as told %.3f s after it began, the list with it was written %.3f s after it began (%v); sends to draining endpoints later than %v after being told: %d, the last %.3f s over the limit",
			s.Name, told.Sub(drained).Seconds(), at.Sub(drained).Seconds(), ok, grace+slack, late, last.Seconds())
	}
	rec.Say("sent %d: served %d, refused %d, other %d; sends to draining endpoints within the limit %d, over it %d", sent.Load(), served.Load(), refused.Load(), other.Load(), early, broken)
	switch {
	case broken > 0:
		return kit.Broken
	case served.Load() == 0:
		return kit.CantRun
	}
	return kit.Held
}

// settings are those of a small deployment of karaganda-main whose discovery is asked.
func settings(me int) map[string]any {
	const ms = 1_000_000
	return map[string]any{
		"balancers": sidecars, "me": me, "tier": 0, "zone": 0, "zones": []string{"campus-east", "campus-west"},
		"classes": []map[string]any{
			{"name": "place-order", "goalTimeNs": 1540 * ms, "hardLimitNs": 3850 * ms, "importance": 1.0, "lateShare": 0.0, "semantics": "keyed", "keyScope": "all", "repeatWindowNs": 10000 * ms, "stream": false},
		},
		"clients":   map[string]any{"marksRetry": false},
		"costs":     map[string]any{"connection": 0, "crossZone": 0.005, "discovery": 0, "handshake": 0, "lateFail": 0.08, "moves": 0, "origin": 0, "peer": 0.01, "probe": 0.002, "waste": 0.04},
		"countedBy": "request", "discovery": "ask",
		"goal":          map[string]any{"whole": 0.9, "worstClass": 0, "worstTenant": 0, "worstWindow": 0.1},
		"hostTypes":     []string{"front-a", "front-b", "front-c"},
		"kindOfService": "chain", "layers": []string{"order-front", "order-check", "run-booking"},
		"limits":         map[string]any{"attemptsCap": 6, "cancel": true, "connectTimeoutNs": 250 * ms, "cpuUsPerRequest": 0, "cpuUsPerS": 400000, "keepaliveNs": 10000 * ms, "maxRetryAfterNs": 2000 * ms, "maxStreams": 100, "mostHeld": 20000, "peers": true, "probes": true, "retryAfter": true, "secondCopies": true},
		"loadInfo":       map[string]any{"fields": []string{"busy_reqs", "pending", "cpu_share"}, "how": "pull"},
		"overShareWorth": 0.1,
		"rules":          map[string]any{"askWithinNs": 10000 * ms, "coldNs": 22000 * ms, "coldShare": 0.16, "drainGraceNs": 500 * ms, "fallMultiple": 3.0, "graceToAnswerNs": 5 * ms, "tipAfterNs": 2000 * ms},
		"specifics":      map[string]any{"passesDeadline": true},
		"stepNs":         ms, "tenants": []any{}, "weights": "silent",
	}
}
