package main

import (
	"fmt"
	"net"
	"os"
	"sync"
	"syscall"
	"time"
)

// cutListener is a listener whose machine can be cut off from the network: then no new connection comes up.
type cutListener struct {
	net.Listener
	mu      sync.Mutex
	reached sync.Cond
	cut     bool
	fillers []net.Conn
}

// listenWithCut returns a cutListener at a free loopback address.
func listenWithCut() *cutListener {
	addr, err := net.ResolveTCPAddr("tcp", freePort())
	must(err)
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	must(err)
	must(syscall.SetsockoptInt(fd, syscall.SOL_SOCKET, syscall.SO_REUSEADDR, 1))
	must(syscall.Bind(fd, &syscall.SockaddrInet4{Port: addr.Port, Addr: [4]byte{127, 0, 0, 1}}))
	must(syscall.Listen(fd, 1))
	file := os.NewFile(uintptr(fd), "listener")
	l, err := net.FileListener(file)
	must(err)
	file.Close()
	c := &cutListener{Listener: l}
	c.reached.L = &c.mu
	return c
}

// Accept accepts a connection, but none while the machine is cut off.
func (l *cutListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	l.mu.Lock()
	defer l.mu.Unlock()
	for l.cut {
		l.reached.Wait()
	}
	return c, err
}

// setCut cuts the machine off: the queue of the listener is filled, so that the system drops what asks for a new
// connection. Or it ends that.
func (l *cutListener) setCut(cut bool) {
	l.mu.Lock()
	l.cut = cut
	l.mu.Unlock()
	if !cut {
		for _, c := range l.fillers {
			c.Close()
		}
		l.reached.Broadcast()
		return
	}
	for range 10 {
		c, err := net.DialTimeout("tcp", l.Addr().String(), 250*time.Millisecond)
		if err != nil {
			return
		}
		l.fillers = append(l.fillers, c)
	}
	cantRun("new connections still come up")
}

func init() { cases["cut"] = caseCut }

// caseCut: a polled discovery service is cut off from the network for some time: open connections stay open and silent,
// new ones never come up. Meanwhile an endpoint begins to drain.
func caseCut(r *run) {
	const (
		toldAfter  = 6 * time.Second                            // discovery had the change and could be reached
		grace      = 500*time.Millisecond + 50*time.Millisecond // of the rule, with the protocol's slack
		cutBefore  = 1500 * time.Millisecond                    // the end of the wait of the open watch
		cutTime    = cutBefore + 2*time.Second + 41*time.Second // the sidecar gives the watch 2 s more
		afterwards = toldAfter + grace + 8*time.Second
	)
	l := listenWithCut()
	d := r.newDiscovery(l)
	watch := make(chan time.Duration, 1)
	d.onCall = func(wait time.Duration) {
		if wait > 5*time.Second {
			select {
			case watch <- wait:
			default:
			}
		}
	}
	var toldAt time.Time // by when the drain counts as told at the latest
	var mu sync.Mutex
	var nodes []*node
	for i := range 8 {
		n := &node{entry: entry{ID: fmt.Sprintf("s-%d", i), HostPort: freePort(), Zone: "zone-1", Kind: "std", Lifecycle: "up", Weight: 1}}
		n.load = func() string { return "TEXT inflight=0, queue=0, util=0.01" }
		n.serve = func(c net.Conn, q *request) {
			mu.Lock()
			late := i == 7 && !toldAt.IsZero() && q.firstByteAt.After(toldAt.Add(grace))
			mu.Unlock()
			r.logf("request %s at %s", q.header["x-request-id"], n.ID)
			if late {
				r.breakf("request %s was sent to %s %.3f s after its drain counted as told", q.header["x-request-id"], n.ID, q.firstByteAt.Sub(toldAt).Seconds())
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
	var clients sync.WaitGroup
	stop := make(chan struct{})
	for range 4 {
		clients.Go(func() {
			c := &client{r: r, addr: s.addr}
			for {
				select {
				case <-stop:
					return
				case <-time.After(100 * time.Millisecond):
				}
				id := randomID()
				a := c.do("POST", "place-order", id, randomID()+randomID(), 3850*time.Millisecond)
				r.logf("request %s answered: %d %v", id, a.status, a.err)
			}
		})
	}
	var wait time.Duration
	select {
	case wait = <-watch:
	case <-time.After(10 * time.Second):
		cantRun("the sidecar has not opened a watch")
	}
	r.logf("the sidecar has opened a watch of %v", wait)
	time.Sleep(wait - cutBefore)
	if r.trouble {
		d.setSilent(true)
		l.setCut(true)
		r.logf("discovery is cut off: a new connection does not come up")
	}
	time.Sleep(cutTime - 5*time.Second)
	draining := nodes[7].entry
	draining.Lifecycle = "draining"
	d.update(draining)
	time.Sleep(5 * time.Second)
	if r.trouble {
		d.setSilent(false)
		l.setCut(false)
		check, err := net.DialTimeout("tcp", d.addr(), 200*time.Millisecond)
		for range 10 {
			if err == nil {
				break
			}
			check, err = net.DialTimeout("tcp", d.addr(), 200*time.Millisecond)
		}
		if err != nil {
			cantRun("discovery can't be reached: %v", err)
		}
		check.Close()
		r.logf("discovery can be reached again; the drain counts as told %v from now at the latest", toldAfter)
	}
	mu.Lock()
	toldAt = time.Now().Add(toldAfter)
	mu.Unlock()
	time.Sleep(afterwards)
	close(stop)
	clients.Wait()
	r.appendSidecarLog()
}
