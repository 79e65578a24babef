package fake

import (
	"encoding/json"
	"fmt"
	"maps"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"barleydrum.example/barleydrum/internal/discovery"
)

// maxWatchWait is the longest that a watch waits, see PROTOCOL, "Discovery".
const maxWatchWait = time.Minute

// Discovery is a discovery service. Pushed lists are an agent's on the sidecar's machine,
// which is silent while it is down; an asked service turns calls away with 503 then.
type Discovery struct {
	polled   bool
	server   *http.Server
	listener net.Listener

	mu           sync.Mutex
	generation   uint64
	instances    map[string]instanceEntry
	down         bool
	changed      chan struct{} // closed at each change
	requestCount int
}

type instanceEntry struct {
	discovery.Instance
	changedInGeneration uint64 // the generation that it changed with
}

// NewDiscovery starts a discovery service at an address of loopback; ":0" picks a port.
func NewDiscovery(addr string, asked bool) (*Discovery, error) {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, fmt.Errorf("stand-in discovery: %w", err)
	}
	d := &Discovery{polled: asked, listener: l, instances: make(map[string]instanceEntry), changed: make(chan struct{})}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/servers", d.serveList)
	d.server = &http.Server{Handler: mux}
	go d.server.Serve(l)
	return d, nil
}

// Addr is where discovery listens.
func (d *Discovery) Addr() string { return d.listener.Addr().String() }

// Close ends the service and its watches.
func (d *Discovery) Close() error { return d.server.Close() }

// Update lists instances anew, adds them, or with lifecycle "removed" takes them away.
func (d *Discovery) Update(list ...discovery.Instance) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.generation++
	for _, in := range list {
		d.instances[in.ID] = instanceEntry{in, d.generation}
	}
	d.notifyWaiting()
}

// SetDown has discovery go down or come back.
func (d *Discovery) SetDown(down bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.down = down
	d.notifyWaiting()
}

// RequestCount is how many calls have come.
func (d *Discovery) RequestCount() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.requestCount
}

// List is the whole list at hand.
func (d *Discovery) List() discovery.List {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.listSince(nil)
}

func (d *Discovery) notifyWaiting() {
	close(d.changed)
	d.changed = make(chan struct{})
}

// listSince returns what changed after a version, or all without one.
func (d *Discovery) listSince(index *uint64) discovery.List {
	l := discovery.List{Generation: d.generation, Full: index == nil, Instances: []discovery.Instance{}}
	for _, id := range slices.Sorted(maps.Keys(d.instances)) {
		in := d.instances[id]
		if index == nil && in.Lifecycle != "removed" || index != nil && in.changedInGeneration > *index {
			l.Instances = append(l.Instances, in.Instance)
		}
	}
	return l
}

func (d *Discovery) serveList(w http.ResponseWriter, r *http.Request) {
	var index *uint64
	var end <-chan time.Time
	if text := r.URL.Query().Get("index"); text != "" {
		n, err := strconv.ParseUint(text, 10, 64)
		ms, err2 := strconv.ParseUint(r.URL.Query().Get("wait"), 10, 32)
		if err != nil || err2 != nil {
			http.Error(w, "index and wait: whole numbers", http.StatusBadRequest)
			return
		}
		index = &n
		timer := time.NewTimer(min(time.Duration(ms)*time.Millisecond, maxWatchWait))
		defer timer.Stop()
		end = timer.C
	}
	d.mu.Lock()
	d.requestCount++
	for waited := index == nil; ; {
		if d.down && d.polled {
			d.mu.Unlock()
			http.Error(w, "down", http.StatusServiceUnavailable)
			return
		}
		if index != nil && *index > d.generation { // another service's: it is told all
			index = nil
		}
		if !d.down && (waited || index == nil || d.generation > *index) {
			break
		}
		news := d.changed
		d.mu.Unlock()
		select {
		case <-news:
		case <-end:
			waited = true
			end = nil
		case <-r.Context().Done():
			return
		}
		d.mu.Lock()
	}
	l := d.listSince(index)
	d.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	json.NewEncoder(w).Encode(l)
}
