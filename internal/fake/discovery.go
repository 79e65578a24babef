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

// maxWatchWait is the longest time that a watch waits for a change, see PROTOCOL, "Discovery".
const maxWatchWait = time.Minute

// Discovery is a fake discovery service. A pushed one acts as the agent on the sidecar's machine: while
// it is down it does not respond. A polled one responds with 503 while it is down.
type Discovery struct {
	polled   bool
	server   *http.Server
	listener net.Listener

	mu           sync.Mutex
	generation   uint64                   // number of updates
	instances    map[string]instanceEntry // by instance ID; removed ones stay in it
	down         bool
	changed      chan struct{} // closed and replaced when the list changes, or the service goes down or up
	requestCount int
}

type instanceEntry struct {
	discovery.Instance
	changedInGeneration uint64
}

// NewDiscovery starts a discovery service at a loopback address; port 0 picks a free port. polled
// says which kind of service it is, see Discovery.
func NewDiscovery(addr string, polled bool) (*Discovery, error) {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, fmt.Errorf("fake discovery: %w", err)
	}
	d := &Discovery{polled: polled, listener: l, instances: make(map[string]instanceEntry), changed: make(chan struct{})}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/servers", d.serveList)
	d.server = &http.Server{Handler: mux}
	go d.server.Serve(l)
	return d, nil
}

// Addr returns the address that the service listens on.
func (d *Discovery) Addr() string { return d.listener.Addr().String() }

// Close stops the service and its watches.
func (d *Discovery) Close() error { return d.server.Close() }

// Update adds instances to the list or replaces those with the same IDs; lifecycle "removed" removes
// one. All changes of a call belong to one generation.
func (d *Discovery) Update(instances ...discovery.Instance) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.generation++
	for _, instance := range instances {
		d.instances[instance.ID] = instanceEntry{instance, d.generation}
	}
	d.notifyWaiting()
}

// SetDown makes the service unavailable, or available again.
func (d *Discovery) SetDown(down bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.down = down
	d.notifyWaiting()
}

// RequestCount returns the number of well-formed requests that the service has received.
func (d *Discovery) RequestCount() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.requestCount
}

// List returns the current list in full.
func (d *Discovery) List() discovery.List {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.listSince(nil)
}

// notifyWaiting wakes the requests that wait for a change. The caller must hold d.mu.
func (d *Discovery) notifyWaiting() {
	close(d.changed)
	d.changed = make(chan struct{})
}

// listSince returns the instances that changed after a generation, with removed ones, or the full
// list if generation is nil. The caller must hold d.mu.
func (d *Discovery) listSince(generation *uint64) discovery.List {
	l := discovery.List{Generation: d.generation, Full: generation == nil, Instances: []discovery.Instance{}}
	for _, id := range slices.Sorted(maps.Keys(d.instances)) {
		entry := d.instances[id]
		if generation == nil && entry.Lifecycle != "removed" || generation != nil && entry.changedInGeneration > *generation {
			l.Instances = append(l.Instances, entry.Instance)
		}
	}
	return l
}

// serveList responds to a poll with the full list. A request with an index is a watch: it waits until
// the list has a later generation, or for the requested time, and gets the changes.
func (d *Discovery) serveList(w http.ResponseWriter, r *http.Request) {
	var knownGeneration *uint64 // nil for a request of the full list
	var watchTimeout <-chan time.Time
	if text := r.URL.Query().Get("index"); text != "" {
		index, err := strconv.ParseUint(text, 10, 64)
		waitMS, err2 := strconv.ParseUint(r.URL.Query().Get("wait"), 10, 32)
		if err != nil || err2 != nil {
			http.Error(w, "index and wait must be whole numbers", http.StatusBadRequest)
			return
		}
		knownGeneration = &index
		timer := time.NewTimer(min(time.Duration(waitMS)*time.Millisecond, maxWatchWait))
		defer timer.Stop()
		watchTimeout = timer.C
	}
	d.mu.Lock()
	d.requestCount++
	for waitOver := knownGeneration == nil; ; {
		if d.down && d.polled {
			d.mu.Unlock()
			http.Error(w, "down", http.StatusServiceUnavailable)
			return
		}
		if knownGeneration != nil && *knownGeneration > d.generation { // from another service instance: send the full list
			knownGeneration = nil
		}
		if !d.down && (waitOver || knownGeneration == nil || d.generation > *knownGeneration) {
			break
		}
		changed := d.changed
		d.mu.Unlock()
		select {
		case <-changed:
		case <-watchTimeout:
			waitOver = true
			watchTimeout = nil
		case <-r.Context().Done():
			return
		}
		d.mu.Lock()
	}
	l := d.listSince(knownGeneration)
	d.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	json.NewEncoder(w).Encode(l)
}
