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
	Path              string // without the leading /api/; empty means "order"
	Body              string
	Timeout           time.Duration // sent as X-Timeout; 0 sends none
	Retried           bool          // sent as X-Retried
}

// NewHTTPRequest returns r as an HTTP request to a sidecar at the given address, see PROTOCOL,
// "Callers to sidecars". The method is GET for a request with neither key nor body and POST otherwise.
func NewHTTPRequest(ctx context.Context, sidecarAddr string, r CallerRequest) (*http.Request, error) {
	method := http.MethodPost
	if r.IdempotencyKey == "" && r.Body == "" {
		method = http.MethodGet
	}
	path := r.Path
	if path == "" {
		path = "order"
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+sidecarAddr+"/api/"+path, strings.NewReader(r.Body))
	if err != nil {
		return nil, fmt.Errorf("fake caller: %w", err)
	}
	for name, value := range map[string]string{
		"X-Request-ID": r.ID, "X-Priority-Class": r.Class, "X-Tenant-Id": r.Tenant, "Idempotency-Key": r.IdempotencyKey,
	} {
		if value != "" {
			req.Header.Set(name, value)
		}
	}
	if r.Retried {
		req.Header.Set("X-Retried", "1")
	}
	if r.Timeout > 0 {
		req.Header.Set("X-Timeout", fmt.Sprintf("%du", r.Timeout.Microseconds()))
	}
	return req, nil
}

// Outcome is how a request ended for its caller.
type Outcome int

// The outcomes of a request.
const (
	OutcomeServed     Outcome = iota // 200 with a node's response to this request
	OutcomeRefused                   // 503 or 429
	OutcomeFailed                    // any other status
	OutcomeNoResponse                // no complete response in time, or a 200 whose body no node made for this request
	outcomeCount
)

func (o Outcome) String() string { return [...]string{"served", "refused", "failed", "no response"}[o] }

// Caller sends requests and counts their outcomes. It does not retry; but net/http's client, which it
// uses, sends a request once more if the reused connection that it was written to turns out to be
// closed, as PROTOCOL allows. A Caller may be used by several goroutines.
type Caller struct {
	client http.Client

	mu                sync.Mutex
	counts            [outcomeCount]int
	latencies         []time.Duration // of served requests
	noResponseReasons map[string]int  // count of OutcomeNoResponse by error text
	lastID            atomic.Int64
}

// NewCaller returns a Caller that keeps up to maxIdleConnections idle connections open.
func NewCaller(maxIdleConnections int) *Caller {
	return &Caller{
		client: http.Client{Transport: &http.Transport{
			MaxIdleConnsPerHost: maxIdleConnections, MaxIdleConns: maxIdleConnections,
			DisableCompression: true,
		}},
		noResponseReasons: make(map[string]int),
	}
}

// Close closes the caller's idle connections.
func (c *Caller) Close() { c.client.CloseIdleConnections() }

// Do sends a request to the sidecar at sidecarAddr, waits for the response, and counts and returns the
// outcome. It waits for r.Timeout and slack, which allows for the time that the response takes between
// sidecar and caller.
func (c *Caller) Do(ctx context.Context, sidecarAddr string, r CallerRequest, slack time.Duration) Outcome {
	startedAt := time.Now()
	ctx, cancel := context.WithTimeout(ctx, r.Timeout+slack)
	defer cancel()
	outcome, reason := c.send(ctx, sidecarAddr, r)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.counts[outcome]++
	if outcome == OutcomeServed {
		c.latencies = append(c.latencies, time.Since(startedAt))
	}
	if outcome == OutcomeNoResponse {
		c.noResponseReasons[reason]++
	}
	return outcome
}

// send sends a request and returns its outcome, with the reason for OutcomeNoResponse.
func (c *Caller) send(ctx context.Context, sidecarAddr string, r CallerRequest) (Outcome, string) {
	req, err := NewHTTPRequest(ctx, sidecarAddr, r)
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
		var nodeResponse Response
		if err := json.Unmarshal(body, &nodeResponse); err != nil || nodeResponse.ID != r.ID {
			return OutcomeNoResponse, fmt.Sprintf("unexpected response body %.60q", body)
		}
		return OutcomeServed, ""
	case http.StatusServiceUnavailable, http.StatusTooManyRequests:
		return OutcomeRefused, ""
	default:
		return OutcomeFailed, ""
	}
}

// NextID returns a request ID that this caller has not returned before.
func (c *Caller) NextID() string { return fmt.Sprintf("%016x", uint64(c.lastID.Add(1))) }

// Results returns the number of requests by outcome, the latencies of the served ones in the order in
// which they ended, and the number of those without a response by reason. The caller owns the results.
func (c *Caller) Results() (counts map[Outcome]int, latencies []time.Duration, noResponseReasons map[string]int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	counts, noResponseReasons = make(map[Outcome]int), make(map[string]int)
	for outcome, n := range c.counts {
		counts[Outcome(outcome)] = n
	}
	for reason, n := range c.noResponseReasons {
		noResponseReasons[reason] = n
	}
	return counts, append([]time.Duration(nil), c.latencies...), noResponseReasons
}
