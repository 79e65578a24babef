// late-copy runs two sidecars before three endpoints. Some of the endpoints' good answers are followed by a second
// copy, a few milliseconds late, and only if no byte of a further request has come on the connection.
// The rule: a 200 answer holds what an endpoint made for this request.
package main

import (
	"encoding/json"
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"barleydrum.example/review/kit"
)

const (
	sidecars  = 2
	endpoints = 3
	perSecond = 40.0 // requests a second at each sidecar, in the mean
	clients   = 30   // at each sidecar
	runFor    = 75 * time.Second
	workMS    = 60 // mean time of a request at an endpoint

	oneWay    = 250 * time.Microsecond // from a sidecar's machine to an endpoint's: [net] same_ms = [0.1, 0.33]
	copyShare = 0.1
	latest    = 4 * time.Millisecond // of a copy, after its answer
)

func main() { os.Exit(run()) }

func run() int {
	root := flag.String("root", "", "the top of the repository")
	dir := flag.String("dir", "", "a temporary folder")
	record := flag.String("record", "record.txt", "the record")
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
	rec.Say("trouble=%v", trouble)

	d := kit.NewDiscovery(func(string, ...any) {})
	defer d.Close()
	discovery, err := d.Listen("all")
	if err != nil {
		return fail(err)
	}
	var copies, held atomic.Int64
	var instances []kit.Instance
	for i := range endpoints {
		e := &kit.Endpoint{Name: fmt.Sprintf("s-%d", i), Slots: make(chan struct{}, 16), Log: rec.Log, AnswerLoad: true,
			Work: func() time.Duration {
				return time.Duration(min(0.3+rand.ExpFloat64()*0.7, 5) * workMS * float64(time.Millisecond))
			}}
		if trouble {
			e.AfterAnswer = func(c *kit.ServerConn, id string, answer []byte) {
				if rand.Float64() >= copyShare {
					return
				}
				due := time.Now().Add(time.Duration(rand.Float64() * float64(latest)))
				for time.Now().Before(due) {
				}
				if !c.NothingWaits() {
					held.Add(1)
					return
				}
				_, err := c.Write(answer)
				copies.Add(1)
				rec.Log("second copy of the answer to %s from %s err=%v", id, e.Name, err)
			}
		}
		if err := e.Start(); err != nil {
			return fail(err)
		}
		defer e.Stop()
		link, err := kit.NewLink(e.Addr, oneWay)
		if err != nil {
			return fail(err)
		}
		defer link.Close()
		instances = append(instances, kit.Instance{ID: e.Name, HostPort: link.Addr, Zone: "oslo-1", Machine: "api-std", Cell: 0, Lifecycle: "up", Weight: 1})
	}
	d.Update(instances...)

	var sides []*kit.Sidecar
	for i := range sidecars {
		addr, err := kit.FreeAddr()
		if err != nil {
			return fail(err)
		}
		s, err := kit.StartSidecar(*root, *dir, kit.Config{
			Name: fmt.Sprintf("n%d", i), Listen: addr, Discovery: discovery, Seed: fmt.Sprintf("%x", rand.Uint64()),
			Limits: map[string]any{"cores": 1.0, "memory_mb": 192, "sockets": 1024}, Known: d.Whole(), Settings: settings(i),
		})
		if err != nil {
			return fail(err)
		}
		defer s.Kill()
		if err := s.WaitReady(10 * time.Second); err != nil {
			return fail(err)
		}
		sides = append(sides, s)
	}

	var sent, served, foreign, refused, failed, none atomic.Int64
	var serial atomic.Int64
	var wg sync.WaitGroup
	end := time.Now().Add(runFor)
	for _, s := range sides {
		for range clients {
			wg.Add(1)
			go func() {
				defer wg.Done()
				c := &kit.Client{Addr: s.Addr}
				defer c.Close()
				for {
					time.Sleep(time.Duration(rand.ExpFloat64() * clients / perSecond * float64(time.Second)))
					if time.Now().After(end) {
						return
					}
					n := serial.Add(1)
					r := kit.Request{ID: fmt.Sprintf("%016x", n), Class: "status", Method: "GET", Path: fmt.Sprintf("order-%d", n), Timeout: 2 * time.Second}
					if n%2 == 0 {
						r.Class, r.Method, r.Key, r.Body, r.Timeout = "assign", "POST", fmt.Sprintf("%032x", n), "{}", 5*time.Second
					}
					sent.Add(1)
					rec.Log("sent %s to %s class=%s", r.ID, s.Name, r.Class)
					a := c.Do(r, 500*time.Millisecond)
					rec.Log("answered %s by %s: %d %q err=%v", r.ID, s.Name, a.Status, a.Body, a.Err)
					var reply kit.Reply
					switch {
					case a.Err != nil:
						none.Add(1)
					case a.Status == 200 && (json.Unmarshal([]byte(a.Body), &reply) != nil || reply.ID != r.ID):
						if foreign.Add(1) <= 5 {
							rec.Say("BROKEN: %s (class %s, path %s) was served with %s", r.ID, r.Class, r.Path, a.Body)
						}
					case a.Status == 200:
						served.Add(1)
					case a.Status == 503 || a.Status == 429:
						refused.Add(1)
					default:
						failed.Add(1)
					}
				}
			}()
		}
	}
	wg.Wait()
	for _, s := range sides {
		select {
		case <-s.Exited:
			return fail(fmt.Errorf("sidecar %s has ended: %v", s.Name, s.Err))
		default:
		}
	}
	rec.Say("sent %d: served %d, refused %d, failed %d, no answer %d, served with another request's answer %d; second copies %d, not sent as a request was there %d",
		sent.Load(), served.Load(), refused.Load(), failed.Load(), none.Load(), foreign.Load(), copies.Load(), held.Load())
	switch {
	case foreign.Load() > 0:
		return kit.Broken
	case served.Load() == 0 || trouble && copies.Load() == 0:
		return kit.CantRun
	}
	return kit.Held
}

// settings are those of a small deployment of dispatch-oslo.
func settings(me int) map[string]any {
	const ms = 1_000_000
	return map[string]any{
		"balancers": sidecars, "me": me, "tier": 0, "zone": 0, "zones": []string{"oslo-1"},
		"classes": []map[string]any{
			{"name": "status", "goalTimeNs": 1000 * ms, "hardLimitNs": 2500 * ms, "importance": 1.0, "lateShare": 0.0, "semantics": "safe", "keyScope": "all", "repeatWindowNs": 0, "stream": false},
			{"name": "assign", "goalTimeNs": 2500 * ms, "hardLimitNs": 6000 * ms, "importance": 3.0, "lateShare": 0.0, "semantics": "keyed", "keyScope": "cell", "repeatWindowNs": 10000 * ms, "stream": false},
		},
		"clients":   map[string]any{"marksRetry": true},
		"costs":     map[string]any{"connection": 0, "crossZone": 0, "discovery": 0, "handshake": 0, "lateFail": 0.05, "moves": 0, "origin": 0, "peer": 0, "probe": 0.024, "waste": 0.024},
		"countedBy": "work", "discovery": "push",
		"goal":          map[string]any{"whole": 0.45, "worstClass": 0.2, "worstTenant": 0, "worstWindow": 0.35},
		"hostTypes":     []string{"api-std", "api-slow"},
		"kindOfService": "chain", "layers": []string{"api", "dispatch"},
		"limits":         map[string]any{"attemptsCap": 6, "cancel": true, "connectTimeoutNs": 100 * ms, "cpuUsPerRequest": 0, "cpuUsPerS": 800000, "keepaliveNs": 30000 * ms, "maxRetryAfterNs": 2000 * ms, "maxStreams": 1, "mostHeld": 20000, "peers": false, "probes": true, "retryAfter": false, "secondCopies": true},
		"loadInfo":       map[string]any{"fields": []string{"busy_reqs", "cpu_share"}, "how": "piggyback"},
		"overShareWorth": 0.1,
		"rules":          map[string]any{"coldNs": 7700 * ms, "coldShare": 0.3, "drainGraceNs": 3000 * ms, "fallMultiple": 3.0, "graceToAnswerNs": 5 * ms, "tipAfterNs": 3000 * ms, "askWithinNs": 10000 * ms},
		"specifics":      map[string]any{"passesDeadline": true},
		"stepNs":         2 * ms, "tenants": []any{}, "weights": "nominal",
	}
}
