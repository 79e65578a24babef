package fake

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"barleydrum.example/barleydrum/internal/discovery"
)

// Fault is what a node does to the requests that reach it.
type Fault int

// The faults.
const (
	FaultNone              Fault = iota
	FaultRefuse                  // 503 with X-Not-Processed: it has not run
	FaultInternalError           // 500: it has run
	FaultDropConnection          // the connection closes after the request has run
	FaultStall                   // nothing, until the fault ends: then it runs
	FaultMalformedResponse       // it runs, and its answer can't be read
)

// NodeConfig says what a node is.
type NodeConfig struct {
	ID, Zone      string
	Addr          string        // of loopback; ":0" picks a port
	Concurrency   int           // requests in work together; 0 is 1
	QueueCapacity int           // requests that wait beyond them
	ServiceTime   time.Duration // for each request
	ExecutionLog  *ExecutionLog // shared by the nodes of a tier; nil notes nothing

	// Forward carries a request on to the next tier, through a sidecar of the node's own; nil for
	// the last tier. An error fails the request.
	Forward func(ctx context.Context, r *http.Request) error
}

// Node is one endpoint of a tier.
type Node struct {
	cfg   NodeConfig
	slots chan struct{}

	mu           sync.Mutex
	addr         string
	server       *http.Server
	fault        Fault
	faultChanged chan struct{} // closed as the fault changes
	inFlight     int
	startedAt    time.Time
	arrivalTimes []time.Time
}

// NewNode starts a node.
func NewNode(cfg NodeConfig) (*Node, error) {
	cfg.Concurrency = max(cfg.Concurrency, 1)
	n := &Node{cfg: cfg, slots: make(chan struct{}, cfg.Concurrency), addr: cfg.Addr, faultChanged: make(chan struct{})}
	if err := n.Start(); err != nil {
		return nil, err
	}
	n.startedAt = time.Time{} // it has run for long
	return n, nil
}

// Start has a node that was stopped listen again at its address, as a new process.
func (n *Node) Start() error {
	n.mu.Lock()
	defer n.mu.Unlock()
	l, err := net.Listen("tcp", n.addr)
	if err != nil {
		return fmt.Errorf("stand-in node %s: %w", n.cfg.ID, err)
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /load", n.serveLoad)
	mux.HandleFunc("GET /healthz", func(http.ResponseWriter, *http.Request) {})
	mux.HandleFunc("/api/", n.serveRequest)
	n.addr, n.server, n.startedAt = l.Addr().String(), &http.Server{Handler: mux}, time.Now()
	go n.server.Serve(l)
	return nil
}

// Stop ends the node's process: its connections break and new ones are refused.
func (n *Node) Stop() error {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.server.Close()
}

// SetFault has the node show a fault, or none.
func (n *Node) SetFault(f Fault) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.fault = f
	close(n.faultChanged)
	n.faultChanged = make(chan struct{})
}

// ArrivalTimes are the times at which requests came to the node, probes aside.
func (n *Node) ArrivalTimes() []time.Time {
	n.mu.Lock()
	defer n.mu.Unlock()
	return slices.Clone(n.arrivalTimes)
}

// StartedAt is when the node's process last started; zero is long ago.
func (n *Node) StartedAt() time.Time {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.startedAt
}

// DiscoveryEntry is the node as discovery lists it.
func (n *Node) DiscoveryEntry(lifecycle string) discovery.Instance {
	n.mu.Lock()
	defer n.mu.Unlock()
	in := discovery.Instance{ID: n.cfg.ID, HostPort: n.addr, Zone: n.cfg.Zone, Lifecycle: lifecycle}
	if !n.startedAt.IsZero() {
		in.StartedAtUnixMilli = n.startedAt.UnixMilli()
	}
	return in
}

// serveLoad answers a probe, see PROTOCOL, "Sidecars to endpoints".
func (n *Node) serveLoad(w http.ResponseWriter, _ *http.Request) {
	n.mu.Lock()
	inFlight := n.inFlight
	n.mu.Unlock()
	busy := min(inFlight, n.cfg.Concurrency)
	fmt.Fprintf(w, "TEXT inflight=%d, queue=%d, util=%.2f", inFlight, inFlight-busy, float64(busy)/float64(n.cfg.Concurrency))
}

// Response is the body of a node's answer.
type Response struct {
	ID, Key, Node string
}

var errQueueFull = errors.New("queue full")

// serveRequest runs a request, once its last byte has come.
func (n *Node) serveRequest(w http.ResponseWriter, r *http.Request) {
	id, key := r.Header.Get("X-Request-ID"), r.Header.Get("Idempotency-Key")
	if _, err := io.Copy(io.Discard, r.Body); err != nil || id == "" {
		http.Error(w, "no request", http.StatusNotFound)
		return
	}
	fault, err := n.execute(r, id, key)
	switch {
	case errors.Is(err, errQueueFull), fault == FaultRefuse:
		w.Header().Set("X-Not-Processed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
	case fault == FaultDropConnection:
		panic(http.ErrAbortHandler)
	case fault == FaultMalformedResponse:
		if c, _, err := http.NewResponseController(w).Hijack(); err == nil {
			io.WriteString(c, "\x00\xffnoise\r\n\r\n")
			c.Close()
		}
	case err != nil, fault == FaultInternalError:
		w.WriteHeader(http.StatusInternalServerError)
	default:
		w.Header().Set("Content-Type", "application/json")
		json.NewEncoder(w).Encode(Response{id, key, n.cfg.ID})
	}
}

// execute queues for a slot and runs a request, by the fault at hand when it came.
func (n *Node) execute(r *http.Request, id, key string) (Fault, error) {
	n.mu.Lock()
	n.arrivalTimes = append(n.arrivalTimes, time.Now())
	fault, mended := n.fault, n.faultChanged
	if fault == FaultRefuse || n.inFlight >= n.cfg.Concurrency+n.cfg.QueueCapacity {
		n.mu.Unlock()
		return fault, errQueueFull
	}
	n.inFlight++
	n.mu.Unlock()
	defer func() {
		n.mu.Lock()
		n.inFlight--
		n.mu.Unlock()
	}()
	ctx := r.Context()
	if fault == FaultStall {
		select {
		case <-mended:
		case <-ctx.Done():
			return fault, ctx.Err()
		}
	}
	select {
	case n.slots <- struct{}{}:
	case <-ctx.Done():
		return fault, ctx.Err()
	}
	defer func() { <-n.slots }()
	if n.cfg.ExecutionLog != nil {
		n.cfg.ExecutionLog.Record(id, key)
	}
	select {
	case <-time.After(n.cfg.ServiceTime):
	case <-ctx.Done():
		return fault, ctx.Err()
	}
	if n.cfg.Forward != nil {
		return fault, n.cfg.Forward(ctx, r)
	}
	return fault, nil
}

// ExecutionLog notes what has run in a tier. A repeat of a key within the window is dropped, as
// by endpoints that share which keys they have seen; a request with no key counts each time.
type ExecutionLog struct {
	RepeatWindow time.Duration

	mu             sync.Mutex
	effects        map[string]int // by key, or by id where there is none: effects
	lastEffectAt   map[string]time.Time
	attempts       int
	droppedRepeats int
}

// Record notes that a request runs.
func (l *ExecutionLog) Record(id, key string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.effects == nil {
		l.effects, l.lastEffectAt = make(map[string]int), make(map[string]time.Time)
	}
	l.attempts++
	name, now := id, time.Now()
	if key != "" {
		name = "key " + key
		if at, ok := l.lastEffectAt[name]; ok && now.Sub(at) < l.RepeatWindow {
			l.droppedRepeats++
			return
		}
		l.lastEffectAt[name] = now
	}
	l.effects[name]++
}

// Totals returns how many attempts have run, how many repeats were dropped, and for how many
// requests the effect has happened more than once.
func (l *ExecutionLog) Totals() (attempts, repeats, twice int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, n := range l.effects {
		if n > 1 {
			twice++
		}
	}
	return l.attempts, l.droppedRepeats, twice
}
