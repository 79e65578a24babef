package main

import (
	"fmt"
	"net"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"
)

func init() { cases["memory"] = caseMemory }

// caseMemory: once a second, hundreds of requests come at once. Their answers are long.
func caseMemory(r *run) {
	const (
		limitMB  = 32
		callers  = 320 // of 1,024 descriptors, a third are 341
		period   = time.Second
		loadTime = 15 * time.Second
		maxBody  = 64 << 10
	)
	r.memoryMB = limitMB
	body := strings.Repeat("a", maxBody)
	d := r.newDiscovery(listen())
	for i := range 8 {
		n := &node{entry: entry{ID: fmt.Sprintf("s-%d", i), HostPort: freePort(), Zone: "zone-1", Kind: "std", Lifecycle: "up", Weight: 32}}
		n.load = func() string { return "TEXT inflight=1" }
		n.serve = func(c net.Conn, q *request) {
			time.Sleep(50 * time.Millisecond)
			writeAnswer(c, 200, body)
		}
		n.start()
		d.update(n.entry)
	}
	s := r.startSidecar(d.addr(), d.whole(), settings(func(s, class, limits, rules map[string]any) {
		class["semantics"] = "safe"
		s["weights"] = "nominal"
		s["loadInfo"] = map[string]any{"fields": []string{}, "how": "silent"}
	}))
	ended := make(chan struct{})
	var sampler sync.WaitGroup
	peak, peakAnon := 0, 0
	sampler.Go(func() {
		for {
			select {
			case <-ended:
				return
			case <-time.After(5 * time.Millisecond):
			}
			rss, anon := residentKB(s.cmd.Process.Pid)
			if rss > peak {
				r.logf("the sidecar holds %d kB, %d kB of them anonymous", rss, anon)
			}
			peak, peakAnon = max(peak, rss), max(peakAnon, anon)
		}
	})
	var clients sync.WaitGroup
	begin := time.Now().Add(period)
	for i := range callers {
		clients.Go(func() {
			c := &client{r: r, addr: s.addr}
			offset := time.Duration(0)
			if !r.trouble { // the same requests, spread over the second
				offset = period * time.Duration(i) / callers
			}
			for at := begin.Add(offset); at.Before(begin.Add(loadTime)); at = at.Add(period) {
				time.Sleep(time.Until(at))
				id := randomID()
				r.logf("request %s sent", id)
				a := c.do("GET", "place-order", id, "", 3850*time.Millisecond)
				r.logf("request %s answered: %d, %d bytes %v", id, a.status, len(a.body), a.err)
			}
			c.close()
		})
	}
	clients.Wait()
	close(ended)
	sampler.Wait()
	if peak == 0 {
		cantRun("the sidecar's memory can't be read")
	}
	r.logf("the sidecar held %d kB at most, and %d kB of anonymous memory", peak, peakAnon)
	if peak > limitMB<<10 {
		r.breakf("the sidecar held %d kB (%d kB anonymous) with a limit of %d kB", peak, peakAnon, limitMB<<10)
	}
	r.appendSidecarLog()
}

// residentKB returns the resident memory of a process, all and anonymous, in kB.
func residentKB(pid int) (all, anonymous int) {
	text, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	for _, line := range strings.Split(string(text), "\n") {
		fields := strings.Fields(line)
		if len(fields) < 2 {
			continue
		}
		switch fields[0] {
		case "VmRSS:":
			all, _ = strconv.Atoi(fields[1])
		case "RssAnon:":
			anonymous, _ = strconv.Atoi(fields[1])
		}
	}
	return all, anonymous
}
