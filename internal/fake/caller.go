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

// CallerRequest is one request as a caller sends it.
type CallerRequest struct {
	ID, Class, Tenant string
	IdempotencyKey    string // empty for a class without keys
	Path              string // from /api/ on; empty is "order"
	Body              string
	Timeout           time.Duration // the caller's patience
	Retried           bool
}

// NewHTTPRequest returns an order as a request to a sidecar, see PROTOCOL, "Callers to sidecars".
func NewHTTPRequest(ctx context.Context, sidecar string, o CallerRequest) (*http.Request, error) {
	method := http.MethodPost
	if o.IdempotencyKey == "" && o.Body == "" {
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
		"X-Request-ID": o.ID, "X-Priority-Class": o.Class, "X-Tenant-Id": o.Tenant, "Idempotency-Key": o.IdempotencyKey,
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

// Outcome is how a request ended for its caller.
type Outcome int

// The verdicts. Lost is no answer in time, or one that no node made for this request.
const (
	OutcomeServed Outcome = iota
	OutcomeRefused
	OutcomeFailed
	OutcomeNoResponse
	outcomeCount
)

func (v Outcome) String() string { return [...]string{"served", "refused", "failed", "lost"}[v] }

// Caller sends orders and counts what became of them. It tries none again; its library sends one
// once more if the connection it was written to turns out to be closed, as PROTOCOL has it.
type Caller struct {
	client http.Client

	mu                sync.Mutex
	counts            [outcomeCount]int
	latencies         []time.Duration // of those served
	noResponseReasons map[string]int  // what was lost, by reason
	lastID            atomic.Int64
}

// NewCaller returns a Caller that keeps so many connections to a sidecar.
func NewCaller(connections int) *Caller {
	return &Caller{
		client: http.Client{Transport: &http.Transport{
			MaxIdleConnsPerHost: connections, MaxIdleConns: connections,
			DisableCompression: true,
		}},
		noResponseReasons: make(map[string]int),
	}
}

// Close closes the caller's idle connections.
func (c *Caller) Close() { c.client.CloseIdleConnections() }

// Do sends an order and notes its verdict. spare is the time beyond the order's own that an
// answer may be late by for what lies between caller and sidecar.
func (c *Caller) Do(ctx context.Context, sidecar string, o CallerRequest, spare time.Duration) Outcome {
	began := time.Now()
	ctx, cancel := context.WithTimeout(ctx, o.Timeout+spare)
	defer cancel()
	v, why := c.send(ctx, sidecar, o)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.counts[v]++
	if v == OutcomeServed {
		c.latencies = append(c.latencies, time.Since(began))
	}
	if v == OutcomeNoResponse {
		c.noResponseReasons[why]++
	}
	return v
}

func (c *Caller) send(ctx context.Context, sidecar string, o CallerRequest) (Outcome, string) {
	req, err := NewHTTPRequest(ctx, sidecar, o)
	if err != nil {
		return OutcomeNoResponse, err.Error()
	}
	resp, err := c.client.Do(req)
	if err != nil {
		return OutcomeNoResponse, err.Error()
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return OutcomeNoResponse, err.Error()
	}
	switch resp.StatusCode {
	case http.StatusOK:
		var a Response
		if err := json.Unmarshal(body, &a); err != nil || a.ID != o.ID {
			return OutcomeNoResponse, fmt.Sprintf("answered with %.60q", body)
		}
		return OutcomeServed, ""
	case http.StatusServiceUnavailable, http.StatusTooManyRequests:
		return OutcomeRefused, ""
	default:
		return OutcomeFailed, ""
	}
}

// NextID returns an id that this caller has not used.
func (c *Caller) NextID() string { return fmt.Sprintf("%016x", uint64(c.lastID.Add(1))) }

// Results returns how many orders ended with each verdict, and how long those served took.
func (c *Caller) Results() (counts map[Outcome]int, took []time.Duration, lost map[string]int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	counts, lost = make(map[Outcome]int), make(map[string]int)
	for v, n := range c.counts {
		counts[Outcome(v)] = n
	}
	for why, n := range c.noResponseReasons {
		lost[why] = n
	}
	return counts, append([]time.Duration(nil), c.latencies...), lost
}
