package main

import (
	"fmt"
	"net"
	"sync"
	"time"
)

func init() { cases["late"] = caseLate }

// caseLate: a polled discovery service is crowded. The open watch waits too long for its turn and ends with 503, a moment
// before the change that it has missed counts as told.
func caseLate(r *run) {
	const (
		lateBy     = 1850 * time.Millisecond                    // the 503, after the end of the watch's wait
		toldAfter  = 2 * time.Second                            // the end of the watch's wait
		grace      = 500*time.Millisecond + 50*time.Millisecond // of the rule, with the protocol's slack
		drainsWhen = 8 * time.Second                            // before the end of the watch's wait
		rounds     = 3                                          // watches in a row, with a drain in each
	)
	d := r.newDiscovery(listen())
	var mu sync.Mutex
	var waitOver time.Time // the end of the wait of the last watch
	d.onCall = func(wait time.Duration) {
		mu.Lock()
		defer mu.Unlock()
		waitOver = time.Now().Add(wait)
	}
	toldAt := make(map[string]time.Time) // by when the drain of an endpoint counts as told at the latest
	var nodes []*node
	for i := range 6 {
		n := &node{entry: entry{ID: fmt.Sprintf("s-%d", i), HostPort: freePort(), Zone: "zone-1", Kind: "std", Lifecycle: "up", Weight: 1}}
		n.load = func() string { return "TEXT inflight=0, queue=0, util=0.01" }
		n.serve = func(c net.Conn, q *request) {
			mu.Lock()
			told := toldAt[n.ID]
			mu.Unlock()
			late := !told.IsZero() && q.firstByteAt.After(told.Add(grace))
			r.logf("request %s at %s", q.header["x-request-id"], n.ID)
			if late {
				r.breakf("request %s was sent to %s %.3f s after its drain counted as told", q.header["x-request-id"], n.ID, q.firstByteAt.Sub(told).Seconds())
			}
			time.Sleep(5 * time.Millisecond)
			writeAnswer(c, 200, "done")
		}
		n.start()
		nodes = append(nodes, n)
		d.update(n.entry)
	}
	known := d.whole()
	d.update(nodes[0].entry)
	s := r.startSidecar(d.addr(), known, settings(func(s, class, limits, rules map[string]any) { s["discovery"] = "ask" }))
	clients := r.openLoop(s.addr, 40, func(c *client) {
		id := randomID()
		a := c.do("POST", "place-order", id, randomID()+randomID(), 3850*time.Millisecond)
		r.logf("request %s answered: %d %v", id, a.status, a.err)
	})
	for round := range rounds {
		var end time.Time
		for tries := 0; time.Until(end) < drainsWhen+time.Second; tries++ {
			if tries == 100 {
				cantRun("the sidecar has no open watch")
			}
			time.Sleep(100 * time.Millisecond)
			mu.Lock()
			end = waitOver
			mu.Unlock()
		}
		draining := nodes[round].entry
		draining.Lifecycle = "draining"
		told := end.Add(toldAfter)
		mu.Lock()
		toldAt[draining.ID] = told
		mu.Unlock()
		r.logf("the wait of the open watch ends in %.3f s; what it misses counts as told %v after that", time.Until(end).Seconds(), toldAfter)
		time.Sleep(time.Until(end.Add(-drainsWhen)))
		if r.trouble {
			d.setCrowded(true, lateBy)
		}
		d.update(draining)
		time.Sleep(time.Until(end.Add(lateBy)) - 50*time.Millisecond)
		d.setCrowded(false, lateBy)
		time.Sleep(time.Until(told.Add(grace + 1500*time.Millisecond)))
	}
	clients.stop()
	r.appendSidecarLog()
}
