package main

import (
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"runtime"
	"strings"
	"sync"
	"time"
)

func init() { cases["chunks"] = caseChunks }

// caseChunks: bad clients send bodies of 60 MB in small chunks, at full speed, and the same again as soon as they are
// turned away.
func caseChunks(r *run) {
	const (
		badClients = 150
		patience   = time.Second
		loadTime   = 10 * time.Second
		bodyBytes  = 60 << 20
	)
	runtime.GOMAXPROCS(max(2, runtime.NumCPU()/2)) // the sidecar needs a core of its own
	d := r.newDiscovery(listen())
	for i := range 8 {
		n := &node{entry: entry{ID: fmt.Sprintf("s-%d", i), HostPort: freePort(), Zone: "zone-1", Kind: "std", Lifecycle: "up", Weight: 4}}
		n.load = func() string { return "TEXT inflight=0" }
		n.serve = func(c net.Conn, q *request) {
			r.logf("request %s at %s", q.header["x-request-id"], n.ID)
			time.Sleep(15 * time.Millisecond)
			writeAnswer(c, 200, "done")
		}
		n.start()
		d.update(n.entry)
	}
	s := r.startSidecar(d.addr(), d.whole(), settings(func(s, class, limits, rules map[string]any) {
		class["goalTimeNs"], class["hardLimitNs"] = 800000000, patience.Nanoseconds()
		s["weights"] = "nominal"
		s["loadInfo"] = map[string]any{"fields": []string{}, "how": "silent"}
	}))
	sound := r.openLoop(s.addr, 40, func(c *client) {
		id := randomID()
		r.logf("request %s sent", id)
		sentAt := time.Now()
		a := c.do("POST", "place-order", id, randomID()+randomID(), patience)
		r.logf("request %s answered after %.3f s: %d %v", id, time.Since(sentAt).Seconds(), a.status, a.err)
		// Connections that did not come up or were closed unread don't count: nothing was taken on them.
		var netErr *net.OpError
		if errors.Is(a.err, os.ErrDeadlineExceeded) && errors.As(a.err, &netErr) && netErr.Op == "read" {
			r.breakf("request %s has no answer half a second after its time", id)
		}
	})
	time.Sleep(2 * time.Second)
	end := time.Now().Add(loadTime)
	var bad sync.WaitGroup
	for range badClients {
		if !r.trouble {
			break
		}
		bad.Go(func() {
			chunks := strings.Repeat("1\r\nx\r\n", 5000)
			for time.Now().Before(end) {
				c, err := net.DialTimeout("tcp", s.addr, time.Second)
				if err != nil {
					continue
				}
				c.SetDeadline(end)
				go io.Copy(io.Discard, c)
				fmt.Fprintf(c, "POST /api/x HTTP/1.1\r\nHost: o\r\nX-Request-ID: %s\r\nX-Priority-Class: place-order\r\nIdempotency-Key: %s\r\nTransfer-Encoding: chunked\r\n\r\n", randomID(), randomID())
				for sent := 0; sent < bodyBytes && err == nil; sent += len(chunks) {
					_, err = io.WriteString(c, chunks)
				}
				c.Close()
			}
		})
	}
	bad.Wait()
	if !r.trouble {
		time.Sleep(time.Until(end))
	}
	sound.stop()
	r.appendSidecarLog()
}
