package main

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"strings"
	"sync"
	"time"
)

func init() { cases["copy"] = caseCopy }

// caseCopy: a second copy of some answers comes some milliseconds late. Callers make calls one after another, in
// bursts, to two endpoints.
func caseCopy(r *run) {
	const (
		callers  = 24
		calls    = 3 // one after another
		pause    = 600 * time.Millisecond
		loadTime = 60 * time.Second
		oneWay   = 300 * time.Microsecond // between the sidecar and an endpoint
	)
	var copies sync.WaitGroup
	d := r.newDiscovery(listen())
	for i := range 2 {
		n := &node{entry: entry{ID: fmt.Sprintf("s-%d", i), HostPort: freePort(), Zone: "zone-1", Kind: "std", Lifecycle: "up", Weight: 16}}
		n.load = func() string { return "TEXT inflight=1" }
		var mu sync.Mutex
		waits := make(map[net.Conn]bool) // connections on which a request has arrived and is not answered
		n.begin = func(c net.Conn) {
			time.Sleep(oneWay)
			mu.Lock()
			defer mu.Unlock()
			waits[c] = true
		}
		n.serve = func(c net.Conn, q *request) {
			id := q.header["x-request-id"]
			time.Sleep(20*time.Millisecond + time.Duration(rand.IntN(4000))*time.Microsecond)
			text := answerText(200, "answer to "+id)
			r.logf("request %s answered by %s on %s", id, n.ID, c.RemoteAddr())
			mu.Lock()
			waits[c] = false
			mu.Unlock()
			time.Sleep(oneWay)
			io.WriteString(c, text)
			if r.trouble && rand.IntN(10) == 0 {
				delay := 2*time.Millisecond + time.Duration(rand.IntN(6000))*time.Microsecond
				copies.Go(func() {
					time.Sleep(delay)
					mu.Lock()
					other := waits[c]
					mu.Unlock()
					if other {
						return
					}
					r.logf("request %s answered a second time by %s on %s", id, n.ID, c.RemoteAddr())
					time.Sleep(oneWay)
					io.WriteString(c, text)
				})
			}
		}
		n.start()
		d.update(n.entry)
	}
	s := r.startSidecar(d.addr(), d.whole(), settings(func(s, class, limits, rules map[string]any) {
		class["name"], class["semantics"] = "status", "safe"
		s["weights"] = "nominal"
		s["loadInfo"] = map[string]any{"fields": []string{}, "how": "silent"}
	}))
	var clients sync.WaitGroup
	end := time.Now().Add(loadTime)
	burst := time.Now()
	for range callers {
		clients.Go(func() {
			c := &client{r: r, addr: s.addr}
			for at := burst; at.Before(end); at = at.Add(pause) {
				time.Sleep(time.Until(at))
				for range calls {
					id := randomID()
					a := c.do("GET", "status", id, "", 3850*time.Millisecond)
					r.logf("request %s: the caller got %d %q %v", id, a.status, strings.TrimSpace(a.body), a.err)
					if a.status == 200 && a.body != "answer to "+id {
						r.breakf("the caller of request %s got %q", id, a.body)
					}
				}
			}
		})
	}
	clients.Wait()
	copies.Wait()
	r.appendSidecarLog()
}
