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

// Fault is a fault that a node applies to the requests it receives.
type Fault int

// The faults of a node.
const (
	FaultNone              Fault = iota
	FaultRefuse                  // 503 with X-Not-Processed; the request has not run
	FaultInternalError           // 500; the request has run
	FaultDropConnection          // closes the connection without a response after the request has run
	FaultStall                   // neither runs the request nor responds until the fault changes; then runs it
	FaultMalformedResponse       // runs the request and sends bytes that are not an HTTP response
)

// NodeConfig configures a Node.
type NodeConfig struct {
	ID, Zone      string
	Addr          string        // on loopback; port 0 picks a free port
	Concurrency   int           // requests that run at the same time; 0 means 1
	QueueCapacity int           // requests that may wait beyond those that run
	ServiceTime   time.Duration // how long each request runs
	ExecutionLog  *ExecutionLog // shared by the nodes of a tier; may be nil

	// Forward sends the request on to the next tier, through the node's own sidecar; nil for
	// the last tier. If it returns an error, the node responds with 500.
	Forward func(ctx context.Context, r *http.Request) error
}

// Node is a simulated endpoint of a tier.
type Node struct {
	cfg   NodeConfig
	slots chan struct{} // holds one element for each request that runs

	mu           sync.Mutex
	addr         string
	server       *http.Server
	fault        Fault
	faultChanged chan struct{} // closed and replaced when the fault is set
	inFlight     int           // requests that run, wait or are stalled
	startedAt    time.Time     // zero for a node that counts as warm
	arrivalTimes []time.Time
}

// NewNode starts a node. It counts as warm: StartedAt is zero until the node is started again.
func NewNode(cfg NodeConfig) (*Node, error) {
	cfg.Concurrency = max(cfg.Concurrency, 1)
	n := &Node{cfg: cfg, slots: make(chan struct{}, cfg.Concurrency), addr: cfg.Addr, faultChanged: make(chan struct{})}
	if err := n.Start(); err != nil {
		return nil, err
	}
	n.startedAt = time.Time{} // not a cold endpoint
	return n, nil
}

// Start starts a stopped node again at the same address, as a new process: StartedAt is the
// current time afterwards.
func (n *Node) Start() error {
	n.mu.Lock()
	defer n.mu.Unlock()
	l, err := net.Listen("tcp", n.addr)
	if err != nil {
		return fmt.Errorf("fake node %s: %w", n.cfg.ID, err)
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /load", n.serveLoad)
	mux.HandleFunc("GET /healthz", func(http.ResponseWriter, *http.Request) {})
	mux.HandleFunc("/api/", n.serveRequest)
	n.addr, n.server, n.startedAt = l.Addr().String(), &http.Server{Handler: mux}, time.Now()
	go n.server.Serve(l)
	return nil
}

// Stop stops the node as if its process had ended: its connections are closed and new ones are
// refused.
func (n *Node) Stop() error {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.server.Close()
}

// SetFault sets the fault for requests that arrive from now on; FaultNone ends it. Stalled requests
// continue.
func (n *Node) SetFault(f Fault) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.fault = f
	close(n.faultChanged)
	n.faultChanged = make(chan struct{})
}

// ArrivalTimes returns the times at which the node received requests, without probes. Refused
// requests are included.
func (n *Node) ArrivalTimes() []time.Time {
	n.mu.Lock()
	defer n.mu.Unlock()
	return slices.Clone(n.arrivalTimes)
}

// StartedAt returns when the node was last started by Start. It is zero for a node that has run
// since NewNode and so counts as warm.
func (n *Node) StartedAt() time.Time {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.startedAt
}

// DiscoveryEntry returns the node's entry for a discovery list, with the given lifecycle.
func (n *Node) DiscoveryEntry(lifecycle string) discovery.Instance {
	n.mu.Lock()
	defer n.mu.Unlock()
	instance := discovery.Instance{ID: n.cfg.ID, HostPort: n.addr, Zone: n.cfg.Zone, Lifecycle: lifecycle}
	if !n.startedAt.IsZero() {
		instance.StartedAtUnixMilli = n.startedAt.UnixMilli()
	}
	return instance
}

// serveLoad responds to a load probe, see PROTOCOL, "Sidecars to endpoints".
func (n *Node) serveLoad(w http.ResponseWriter, _ *http.Request) {
	n.mu.Lock()
	inFlight := n.inFlight
	n.mu.Unlock()
	busy := min(inFlight, n.cfg.Concurrency)
	fmt.Fprintf(w, "TEXT inflight=%d, queue=%d, util=%.2f", inFlight, inFlight-busy, float64(busy)/float64(n.cfg.Concurrency))
}

// Response is the JSON body of a node's response: the request's ID and idempotency key, and the
// ID of the node.
type Response struct {
	ID, Key, Node string
}

var errQueueFull = errors.New("queue full")

// serveRequest reads a request with its whole body, runs it, and responds as the fault requires.
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

// execute waits for a slot and runs the request. It returns the fault that was set when the request
// arrived, and errQueueFull if the request did not run because the node was full or refuses.
func (n *Node) execute(r *http.Request, id, key string) (Fault, error) {
	n.mu.Lock()
	n.arrivalTimes = append(n.arrivalTimes, time.Now())
	fault, faultChanged := n.fault, n.faultChanged
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
		case <-faultChanged:
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

// ExecutionLog counts the attempts that have run in a tier and their effects. A repeated idempotency
// key within RepeatWindow is dropped without an effect, as by endpoints that share the keys they have
// seen. An attempt without a key has an effect each time it runs. An ExecutionLog may be used by
// several goroutines.
type ExecutionLog struct {
	RepeatWindow time.Duration // measured from the key's last effect

	mu             sync.Mutex
	effects        map[string]int       // count by "key " and the idempotency key, or by request ID where there is none
	lastEffectAt   map[string]time.Time // by "key " and the idempotency key
	attempts       int
	droppedRepeats int
}

// Record counts one attempt that runs. An empty key means that the request has none.
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
		if effectAt, ok := l.lastEffectAt[name]; ok && now.Sub(effectAt) < l.RepeatWindow {
			l.droppedRepeats++
			return
		}
		l.lastEffectAt[name] = now
	}
	l.effects[name]++
}

// Totals returns how many attempts have run, how many of them were dropped as repeats, and how many
// requests had their effect more than once.
func (l *ExecutionLog) Totals() (attempts, droppedRepeats, repeatedEffects int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, n := range l.effects {
		if n > 1 {
			repeatedEffects++
		}
	}
	return l.attempts, l.droppedRepeats, repeatedEffects
}
