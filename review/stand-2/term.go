package main

import (
	"fmt"
	"net"
	"sync"
	"syscall"
	"time"
)

func init() { cases["term"] = caseTerm }

// caseTerm: the sidecar is told to end while half of the endpoints hang, and is held up for 0.14 s near the end of the
// time that it has.
func caseTerm(r *run) {
	const (
		patience = 3850 * time.Millisecond
		killAt   = 3*time.Second + 700*time.Millisecond // the longest deadline, 3 s at most, and 0.7 s more
		holdAt   = killAt - 135*time.Millisecond
		holdTime = 140 * time.Millisecond
	)
	d := r.newDiscovery(listen())
	var hang sync.Map
	for i := range 8 {
		n := &node{entry: entry{ID: fmt.Sprintf("s-%d", i), HostPort: freePort(), Zone: "zone-1", Kind: "std", Lifecycle: "up", Weight: 1}}
		n.load = func() string { return "TEXT inflight=0" }
		n.serve = func(c net.Conn, q *request) {
			r.logf("request %s at %s", q.header["x-request-id"], n.ID)
			if _, hangs := hang.Load(n.ID); hangs {
				time.Sleep(20 * time.Second)
				return
			}
			time.Sleep(20 * time.Millisecond)
			writeAnswer(c, 200, "done")
		}
		n.start()
		d.update(n.entry)
	}
	s := r.startSidecar(d.addr(), d.whole(), settings(func(s, class, limits, rules map[string]any) {
		class["semantics"], class["goalTimeNs"] = "safe", 3850000000
		s["loadInfo"] = map[string]any{"fields": []string{}, "how": "silent"}
	}))
	var clients sync.WaitGroup
	send := func() {
		clients.Go(func() {
			c := &client{r: r, addr: s.addr}
			id := randomID()
			sentAt := time.Now()
			r.logf("request %s sent", id)
			a := c.do("GET", "place-order", id, "", patience)
			r.logf("request %s answered: %d %v", id, a.status, a.err)
			if a.err != nil {
				r.breakf("request %s, sent at %.3f, got no answer: %v", id, sentAt.Sub(r.start).Seconds(), a.err)
			}
			c.close()
		})
	}
	for range 40 {
		send()
		time.Sleep(20 * time.Millisecond)
	}
	for i := range 4 {
		hang.Store(fmt.Sprintf("s-%d", i), true)
	}
	for range 16 {
		send()
		time.Sleep(3 * time.Millisecond)
	}
	termAt := time.Now()
	must(s.cmd.Process.Signal(syscall.SIGTERM))
	r.logf("SIGTERM")
	for range 10 {
		time.Sleep(30 * time.Millisecond)
		send()
	}
	exited := func(at time.Duration) bool {
		select {
		case <-s.exited:
			return true
		case <-time.After(time.Until(termAt.Add(at))):
			return false
		}
	}
	if r.trouble && !exited(holdAt) {
		s.cmd.Process.Signal(syscall.SIGSTOP)
		r.logf("held up")
		if !exited(killAt) {
			s.cmd.Process.Kill()
			r.logf("SIGKILL")
		}
		exited(holdAt + holdTime)
	} else if !exited(killAt) {
		s.cmd.Process.Kill()
		r.logf("SIGKILL")
	}
	clients.Wait()
	r.appendSidecarLog()
}
