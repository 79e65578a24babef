package fake

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// Order is one request as a caller sends it.
type Order struct {
	ID, Class, Tenant string
	Key               string // empty for a class without keys
	Path              string // from /api/ on; empty is "order"
	Body              string
	Timeout           time.Duration // the caller's patience
	Retried           bool
}

// NewRequest returns an order as a request to a sidecar, see PROTOCOL, "Callers to sidecars".
func NewRequest(ctx context.Context, sidecar string, o Order) (*http.Request, error) {
	method := http.MethodPost
	if o.Key == "" && o.Body == "" {
		method = http.MethodGet
	}
	path := o.Path
	if path == "" {
		path = "order"
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+sidecar+"/api/"+path, strings.NewReader(o.Body))
	if err != nil {
		return nil, fmt.Errorf("stand-in caller: %w", err)
	}
	for name, value := range map[string]string{
		"X-Request-ID": o.ID, "X-Priority-Class": o.Class, "X-Tenant-Id": o.Tenant, "Idempotency-Key": o.Key,
	} {
		if value != "" {
			req.Header.Set(name, value)
		}
	}
	if o.Retried {
		req.Header.Set("X-Retried", "1")
	}
	if o.Timeout > 0 {
		req.Header.Set("X-Timeout", fmt.Sprintf("%du", o.Timeout.Microseconds()))
	}
	return req, nil
}

// Verdict is how a request ended for its caller.
type Verdict int

// The verdicts. Lost is no answer in time, or one that no node made for this request.
const (
	Served Verdict = iota
	Refused
	Failed
	Lost
	verdicts
)

func (v Verdict) String() string { return [...]string{"served", "refused", "failed", "lost"}[v] }

// Caller sends orders and counts what became of them. It tries none again; its library sends one
// once more if the connection it was written to turns out to be closed, as PROTOCOL has it.
type Caller struct {
	client http.Client

	mu     sync.Mutex
	counts [verdicts]int
	took   []time.Duration // of those served
	why    map[string]int  // what was lost, by reason
	seq    atomic.Int64
}

// NewCaller returns a Caller that keeps so many connections to a sidecar.
func NewCaller(connections int) *Caller {
	return &Caller{
		client: http.Client{Transport: &http.Transport{
			MaxIdleConnsPerHost: connections, MaxIdleConns: connections,
			DisableCompression: true,
		}},
		why: make(map[string]int),
	}
}

// Close closes the caller's idle connections.
func (c *Caller) Close() { c.client.CloseIdleConnections() }

// Do sends an order and notes its verdict. spare is the time beyond the order's own that an
// answer may be late by for what lies between caller and sidecar.
func (c *Caller) Do(ctx context.Context, sidecar string, o Order, spare time.Duration) Verdict {
	began := time.Now()
	ctx, cancel := context.WithTimeout(ctx, o.Timeout+spare)
	defer cancel()
	v, why := c.do(ctx, sidecar, o)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.counts[v]++
	if v == Served {
		c.took = append(c.took, time.Since(began))
	}
	if v == Lost {
		c.why[why]++
	}
	return v
}

func (c *Caller) do(ctx context.Context, sidecar string, o Order) (Verdict, string) {
	req, err := NewRequest(ctx, sidecar, o)
	if err != nil {
		return Lost, err.Error()
	}
	resp, err := c.client.Do(req)
	if err != nil {
		return Lost, err.Error()
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return Lost, err.Error()
	}
	switch resp.StatusCode {
	case http.StatusOK:
		var a Answer
		if err := json.Unmarshal(body, &a); err != nil || a.ID != o.ID {
			return Lost, fmt.Sprintf("answered with %.60q", body)
		}
		return Served, ""
	case http.StatusServiceUnavailable, http.StatusTooManyRequests:
		return Refused, ""
	default:
		return Failed, ""
	}
}

// NextID returns an id that this caller has not used.
func (c *Caller) NextID() string { return fmt.Sprintf("%016x", uint64(c.seq.Add(1))) }

// Counts returns how many orders ended with each verdict, and how long those served took.
func (c *Caller) Counts() (counts map[Verdict]int, took []time.Duration, lost map[string]int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	counts, lost = make(map[Verdict]int), make(map[string]int)
	for v, n := range c.counts {
		counts[Verdict(v)] = n
	}
	for why, n := range c.why {
		lost[why] = n
	}
	return counts, append([]time.Duration(nil), c.took...), lost
}
