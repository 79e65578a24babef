package kit

import (
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

// Instance is an entry of discovery's list.
type Instance struct {
	ID        string  `json:"instanceId"`
	HostPort  string  `json:"hostPort"`
	Zone      string  `json:"zone"`
	Machine   string  `json:"machineType"`
	Cell      int     `json:"cell"`
	Lifecycle string  `json:"lifecycle"`
	Weight    float64 `json:"weight"`
	StartedAt int64   `json:"startedAtMs"`
}

// List is what discovery answers.
type List struct {
	Generation int        `json:"generation"`
	Reset      bool       `json:"reset"`
	Instances  []Instance `json:"instances"`
}

// Discovery is the service that lists endpoints, or the agent on a sidecar's machine.
type Discovery struct {
	// Log, if set, is called for each call: before it waits, and with the answer's status.
	Log func(format string, args ...any)

	// OnAnswer, if set, is called when a list has been written, with the name of the address that was called.
	OnAnswer func(who string, generation int, at time.Time)
	// OnWatch, if set, is called when a call that may wait has come.
	OnWatch func(who string, wait time.Duration, at time.Time)

	servers []*http.Server

	mu         sync.Mutex
	generation int
	entries    map[string]Instance
	changedIn  map[string]int
	down       bool
	silentGen  int           // watches opened in an earlier epoch of silence get no answer any more
	changed    chan struct{} // closed and replaced at each change
}

// NewDiscovery returns the service. Listen gives it addresses.
func NewDiscovery(log func(format string, args ...any)) *Discovery {
	return &Discovery{Log: log, entries: map[string]Instance{}, changedIn: map[string]int{}, changed: make(chan struct{})}
}

// Listen returns a further loopback address at which the service is reached. Each sidecar may have one of its
// own, so that the record shows who called.
func (d *Discovery) Listen(who string) (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/servers", func(w http.ResponseWriter, r *http.Request) { d.serve(who, w, r) })
	s := &http.Server{Handler: mux}
	d.servers = append(d.servers, s)
	go s.Serve(l)
	return l.Addr().String(), nil
}

// Close ends the service.
func (d *Discovery) Close() {
	for _, s := range d.servers {
		s.Close()
	}
}

// Update adds or replaces entries; all of them belong to one generation.
func (d *Discovery) Update(instances ...Instance) int {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.generation++
	for _, i := range instances {
		d.entries[i.ID], d.changedIn[i.ID] = i, d.generation
	}
	d.wake()
	return d.generation
}

// SetDown takes the service down, or brings it back. While it is down, calls end with 503, and so do the
// watches that are open.
func (d *Discovery) SetDown(down bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.down = down
	d.wake()
}

// SilenceWatches lets all watches that are open fall silent: they stay open and get no answer.
func (d *Discovery) SilenceWatches() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.silentGen++
}

func (d *Discovery) wake() {
	close(d.changed)
	d.changed = make(chan struct{})
}

// Whole returns the whole list.
func (d *Discovery) Whole() List {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.list(-1)
}

// list returns the changes after a generation, or the whole list for -1. The caller holds d.mu.
func (d *Discovery) list(since int) List {
	l := List{Generation: d.generation, Reset: since < 0, Instances: []Instance{}}
	for id, i := range d.entries {
		if since < 0 && i.Lifecycle != "removed" || since >= 0 && d.changedIn[id] > since {
			l.Instances = append(l.Instances, i)
		}
	}
	sort.Slice(l.Instances, func(i, j int) bool { return l.Instances[i].ID < l.Instances[j].ID })
	return l
}

func (d *Discovery) serve(from string, w http.ResponseWriter, r *http.Request) {
	called := time.Now()
	since := -1
	var over <-chan time.Time
	if text := r.URL.Query().Get("index"); text != "" {
		n, err := strconv.Atoi(text)
		wait, err2 := strconv.Atoi(r.URL.Query().Get("wait"))
		if err != nil || err2 != nil {
			http.Error(w, "bad index or wait", http.StatusBadRequest)
			return
		}
		since = n
		limit := time.Duration(min(wait, 60000)) * time.Millisecond
		over = time.After(limit)
		if d.OnWatch != nil {
			d.OnWatch(from, limit, called)
		}
	}
	d.Log("discovery: call from %s index=%d wait=%s", from, since, r.URL.Query().Get("wait"))
	d.mu.Lock()
	epoch, ended := d.silentGen, since < 0
	for {
		if epoch != d.silentGen {
			d.mu.Unlock()
			<-r.Context().Done() // silent: until the caller gives up
			d.Log("discovery: silent watch of %s was given up", from)
			return
		}
		if d.down {
			d.mu.Unlock()
			d.Log("discovery: 503 to %s", from)
			http.Error(w, "down", http.StatusServiceUnavailable)
			return
		}
		if since > d.generation {
			since = -1
		}
		if ended || since < 0 || d.generation > since {
			break
		}
		changed := d.changed
		d.mu.Unlock()
		select {
		case <-changed:
		case <-over:
			ended = true
		case <-r.Context().Done():
			return
		}
		d.mu.Lock()
	}
	l := d.list(since)
	d.mu.Unlock()
	text, _ := json.Marshal(l)
	w.Header().Set("Content-Type", "application/json")
	_, err := w.Write(text)
	if d.OnAnswer != nil {
		d.OnAnswer(from, l.Generation, time.Now())
	}
	d.Log("discovery: 200 to %s generation=%d whole=%v entries=%d err=%v", from, l.Generation, l.Reset, len(l.Instances), err)
}
