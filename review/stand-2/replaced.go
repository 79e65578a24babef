package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"time"
)

// cellMemory is what the endpoints of one cell remember together: the keys that they have seen.
type cellMemory struct {
	mu   sync.Mutex
	seen map[string]time.Time
}

// effects are what requests have done, by key.
type effects struct {
	mu    sync.Mutex
	byKey map[string][]string
}

func init() { cases["replaced"] = caseReplaced }

// caseReplaced: six in ten endpoints are replaced within 7 s by new ones under new ids, at the addresses of those
// that have gone, and the pushed list comes seconds late. Requests have keys that the endpoints of a cell share.
func caseReplaced(r *run) {
	const (
		window      = 10 * time.Second
		listDelay   = 4 * time.Second
		replaceTime = 7 * time.Second
		upAfter     = 400 * time.Millisecond
		loadTime    = 14 * time.Second
		perSecond   = 80
	)
	memories := map[int]*cellMemory{}
	for cell := 1; cell <= 3; cell++ {
		memories[cell] = &cellMemory{seen: make(map[string]time.Time)}
	}
	done := &effects{byKey: make(map[string][]string)}
	newNode := func(id, addr string, cell int, startedAt int64) *node {
		n := &node{entry: entry{ID: id, HostPort: addr, Zone: "zone-1", Kind: "std", Cell: cell, Lifecycle: "up", Weight: 1, StartedAt: startedAt}}
		n.load = func() string { return "TEXT qps=4, util=0.2" }
		n.serve = func(c net.Conn, q *request) {
			key, requestID := q.header["idempotency-key"], q.header["x-request-id"]
			memory := memories[cell]
			memory.mu.Lock()
			at, repeat := memory.seen[key]
			repeat = repeat && time.Since(at) < window
			if !repeat {
				memory.seen[key] = time.Now()
			}
			memory.mu.Unlock()
			if repeat {
				r.logf("request %s key %s at %s of cell %d: a repeat, dropped", requestID, key, id, cell)
			} else {
				r.logf("request %s key %s at %s of cell %d: runs", requestID, key, id, cell)
				done.mu.Lock()
				done.byKey[key] = append(done.byKey[key], fmt.Sprintf("%s of cell %d", id, cell))
				done.mu.Unlock()
			}
			time.Sleep(150*time.Millisecond + time.Duration(rand.IntN(200))*time.Millisecond)
			if n.alive() {
				writeAnswer(c, 200, "done "+requestID, "X-Server-Load: "+n.load())
			}
		}
		n.start()
		return n
	}
	d := r.newDiscovery(listen())
	var nodes []*node
	for i := range 10 {
		cell := 1 + i/5
		n := newNode(fmt.Sprintf("s-%d", i), freePort(), cell, 0)
		nodes = append(nodes, n)
		d.update(n.entry)
	}
	s := r.startSidecar(d.addr(), d.whole(), settings(func(s, class, limits, rules map[string]any) {
		class["name"], class["keyScope"] = "assign", "cell"
		class["goalTimeNs"], class["hardLimitNs"] = 2500000000, 6000000000
		limits["connectTimeoutNs"], limits["keepaliveNs"] = 100000000, 30000000000
		rules["drainGraceNs"] = 3000000000
		s["costs"].(map[string]any)["probe"] = 0.024
		s["loadInfo"] = map[string]any{"fields": []string{"served_ps", "cpu_share"}, "how": "piggyback"}
		s["weights"] = "nominal"
	}))

	end := time.Now().Add(loadTime)
	clients := r.openLoop(s.addr, perSecond, func(c *client) {
		id, key := randomID(), randomID()+randomID()
		r.logf("request %s key %s sent", id, key)
		a := c.do("POST", "assign", id, key, 6*time.Second)
		r.logf("request %s answered: %d %v", id, a.status, a.err)
	})
	if r.trouble {
		time.Sleep(3 * time.Second)
		for i := range 6 { // the five of cell 1, and one of cell 2
			old := nodes[i]
			old.kill()
			r.logf("endpoint %s at %s of cell %d has ended", old.ID, old.HostPort, old.Cell)
			next := make(chan *node, 1)
			time.AfterFunc(upAfter, func() {
				n := newNode(fmt.Sprintf("t-%d", i), old.HostPort, 3, time.Now().UnixMilli())
				r.logf("endpoint %s at %s of cell %d has started", n.ID, n.HostPort, n.Cell)
				next <- n
			})
			time.AfterFunc(listDelay, func() {
				gone := old.entry
				gone.Lifecycle = "removed"
				d.update(gone, (<-next).entry)
			})
			time.Sleep(replaceTime / 6)
		}
	}
	time.Sleep(time.Until(end))
	clients.stop()
	time.Sleep(500 * time.Millisecond)
	done.mu.Lock()
	defer done.mu.Unlock()
	for key, where := range done.byKey {
		if len(where) > 1 {
			r.breakf("the request with key %s has run %d times: at %v", key, len(where), where)
		}
	}
	r.logf("%d keys have run", len(done.byKey))
	r.appendSidecarLog()
}
