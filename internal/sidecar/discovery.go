package sidecar

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"net/url"
	"strconv"
	"sync"
	"time"

	"barleydrum.example/barleydrum/internal/config"
	"barleydrum.example/barleydrum/internal/discovery"
	"barleydrum.example/barleydrum/internal/engine"
	"barleydrum.example/barleydrum/internal/memory"
)

const (
	maxListBytes     = 2 << 20  // maximum body of a discovery response: some ten thousand endpoints
	maxListHeadBytes = 16 << 10 // maximum head of a discovery response

	listDecodingFactor = 3 // memory for reading and decoding a list, as a multiple of its text
)

// DiscoveryClient keeps the engine's list of endpoints up to date by long polling the discovery
// service.
type DiscoveryClient struct {
	pollMode                      bool          // requests wait until the balancer subscribes to the list, see Engine.SubscribeRequested
	minRequestInterval            time.Duration // minimum time between two requests, to avoid a busy loop when responses are immediate
	longPollWait, responseTimeout time.Duration // how long the service may wait for an update, and how long the response may take beyond that
	engine                        *engine.Engine
	client                        *http.Client
	transport                     *http.Transport
	lastRequestFailed             bool   // used by Run's goroutine only
	generation                    string // version of the current list, empty for none; used by Run's goroutine only

	// mu guards the fields below.
	mu             sync.Mutex
	addr           string
	addrChanged    bool               // no request has been sent to addr yet
	cancelRequests context.CancelFunc // cancels the requests to the previous address
}

// NewDiscoveryClient returns a client that updates the endpoints of e. Run starts it.
func NewDiscoveryClient(cfg *config.Config, e *engine.Engine) *DiscoveryClient {
	d := &DiscoveryClient{
		addr: cfg.DiscoveryAddress, pollMode: cfg.BalancerConfig.MustSubscribe, engine: e, minRequestInterval: cfg.Settings.Discovery.MinPause,
		// An agent on this machine may stop responding, and may leave a request unanswered even
		// when it has updates again. The request therefore times out well within a drain's grace.
		longPollWait: cfg.Settings.Discovery.PushWait, responseTimeout: cfg.Settings.Discovery.PushResponseTimeout,
		transport: &http.Transport{MaxConnsPerHost: 2, MaxResponseHeaderBytes: maxListHeadBytes}, cancelRequests: func() {},
	}
	d.client = &http.Client{Transport: d.transport}
	if len(cfg.KnownEndpoints.Instances) > 0 {
		d.generation = cfg.KnownEndpoints.GenerationString()
	}
	if d.pollMode {
		d.longPollWait, d.responseTimeout = cfg.Settings.Discovery.PollWait, cfg.Settings.Discovery.PollResponseTimeout
	}
	return d
}

// SetAddress changes the address of the discovery service. The whole list is requested there at once,
// because list versions of different services are unrelated. A request to the previous address is
// canceled and its response is ignored.
func (d *DiscoveryClient) SetAddress(addr string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.addr, d.addrChanged = addr, true
	d.cancelRequests()
}

// nextAddress returns the current address, a context that SetAddress cancels, and whether the address
// has changed since the previous call. It cancels the context that the previous call returned.
func (d *DiscoveryClient) nextAddress(ctx context.Context) (addrCtx context.Context, addr string, changed bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.cancelRequests() // releases the previous context
	addrCtx, d.cancelRequests = context.WithCancel(ctx)
	addr, changed, d.addrChanged = d.addr, d.addrChanged, false
	return addrCtx, addr, changed
}

// Run keeps the list up to date until ctx is done.
func (d *DiscoveryClient) Run(ctx context.Context) {
	for ctx.Err() == nil {
		addrCtx, addr, changed := d.nextAddress(ctx)
		if changed {
			d.generation, d.lastRequestFailed = "", false
			d.transport.CloseIdleConnections()
			slog.Info("discovery: address changed", "addr", addr)
		}
		d.watchAddress(addrCtx, addr, changed)
	}
}

// watchAddress keeps the list up to date from one address until ctx is done. In poll mode, it waits
// until the balancer subscribes to the list, at the start and after each failure. It does not wait at
// the start if subscribed is true: after a change of address, the earlier subscription still counts.
func (d *DiscoveryClient) watchAddress(ctx context.Context, addr string, subscribed bool) {
	for ctx.Err() == nil {
		if d.pollMode && !subscribed {
			select {
			case <-d.engine.SubscribeRequested():
			case <-ctx.Done():
				return
			}
		}
		subscribed = false
		if err := d.watch(ctx, addr); err != nil && ctx.Err() == nil {
			if !d.lastRequestFailed { // log an outage once, not each failed request
				slog.Warn("discovery: request failed; keeping the current endpoints", "err", err)
			}
			d.lastRequestFailed = true
			if d.pollMode {
				d.engine.RecordDiscoveryFailure(errors.Is(err, context.DeadlineExceeded))
			} else {
				pause(ctx, d.minRequestInterval)
			}
		}
	}
}

// watch requests updates, one after another, until a request fails.
func (d *DiscoveryClient) watch(ctx context.Context, addr string) error {
	for {
		requestedAt := time.Now()
		list, err := d.fetchList(ctx, addr)
		if err == nil {
			err = ctx.Err() // the address may have changed as the response arrived
		}
		if err != nil {
			return err
		}
		if d.lastRequestFailed {
			slog.Info("discovery: available again", "generation", list.Generation)
		}
		d.lastRequestFailed, d.generation = false, list.GenerationString()
		if d.pollMode || list.Full || len(list.Instances) > 0 {
			d.engine.UpdateEndpoints(list)
		}
		d.engine.RecordDiscoveryResponse(requestedAt)
		pause(ctx, d.minRequestInterval-time.Since(requestedAt))
	}
}

// fetchList sends one request and returns the list in its response: the whole list if the client has
// none, otherwise the changes since its generation.
func (d *DiscoveryClient) fetchList(ctx context.Context, addr string) (*discovery.List, error) {
	wait, timeout := d.requestTimes()
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	query := url.Values{}
	// Generation "0" is sent like any other. Without an index, every request would immediately get
	// the whole list.
	if d.generation != "" {
		query.Set("index", d.generation)
		query.Set("wait", strconv.FormatInt(wait.Milliseconds(), 10))
	}
	u := url.URL{Scheme: "http", Host: addr, Path: "/v1/servers", RawQuery: query.Encode()}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, u.String(), nil)
	if err != nil {
		return nil, err
	}
	resp, err := d.client.Do(req)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(io.LimitReader(resp.Body, maxListBytes+1))
	decodingBytes := listDecodingFactor * len(text)
	d.engine.Account().Reserve(memory.Infrastructure, decodingBytes)
	defer d.engine.Account().Release(memory.Infrastructure, decodingBytes)
	switch {
	case err != nil:
		return nil, fmt.Errorf("read endpoint list: %w", err)
	case resp.StatusCode != http.StatusOK:
		return nil, fmt.Errorf("endpoint list: status %s", resp.Status)
	case len(text) > maxListBytes:
		return nil, errors.New("endpoint list: too long")
	}
	list := new(discovery.List)
	if err := json.Unmarshal(text, list); err != nil {
		return nil, fmt.Errorf("decode endpoint list: %w", err)
	}
	if err := list.Check(); err != nil {
		return nil, fmt.Errorf("endpoint list of generation %d: %w", list.Generation, err)
	}
	return list, nil
}

// recoveryTimeout is how long a polled service may take for a response for which it need not wait. Together with the
// balancer's wait before the next request it must stay under the 6 s after which a change counts as known.
const recoveryTimeout = 4 * time.Second

// pollWaitSpread is the share by which the waits of polls differ, so that watches that fall silent together are not
// renewed together.
const pollWaitSpread = 0.1

// requestTimes returns how long the service may wait for an update before it responds to the next request, and how long
// the response may take in all. Of a polled service that may just have come back, an immediate response is requested.
func (d *DiscoveryClient) requestTimes() (wait, timeout time.Duration) {
	switch {
	case !d.pollMode:
		return d.longPollWait, d.longPollWait + d.responseTimeout
	case d.generation == "" || d.lastRequestFailed:
		return 0, recoveryTimeout
	}
	wait = d.longPollWait - time.Duration(rand.Float64()*pollWaitSpread*float64(d.longPollWait))
	return wait, wait + d.responseTimeout
}

// pause waits for d, or until ctx is done.
func pause(ctx context.Context, d time.Duration) {
	if d <= 0 {
		return
	}
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}
