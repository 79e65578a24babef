package sidecar

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"net/url"
	"strconv"
	"sync"
	"time"

	"barleydrum.example/barleydrum/internal/config"
	"barleydrum.example/barleydrum/internal/discovery"
	"barleydrum.example/barleydrum/internal/engine"
)

const (
	maxListBytes     = 2 << 20  // the most bytes of a list: some ten thousand endpoints
	maxListHeadBytes = 16 << 10 // the most bytes of its header
)

// DiscoveryClient keeps the engine's list of endpoints up to date.
type DiscoveryClient struct {
	pollMode                      bool          // the module asks for the list; else it is pushed
	minRequestInterval            time.Duration // the least time between two calls: one answered at once must not be a busy loop
	longPollWait, responseTimeout time.Duration // how long a call may wait, and its answer take beyond
	engine                        *engine.Engine
	client                        *http.Client
	transport                     *http.Transport
	lastRequestFailed             bool   // the last call did
	generation                    string // the version of the list at hand; empty for none

	mu             sync.Mutex
	addr           string
	addrChanged    bool               // to addr, which has not been asked yet
	cancelRequests context.CancelFunc // ends the calls to the address before
}

// NewDiscoveryClient returns the Discovery of an engine.
func NewDiscoveryClient(c *config.Config, e *engine.Engine) *DiscoveryClient {
	d := &DiscoveryClient{
		addr: c.DiscoveryAddress, pollMode: c.BalancerConfig.MustSubscribe, engine: e, minRequestInterval: c.Settings.Discovery.MinPause,
		// An agent on this machine may fall silent and leave a call unanswered after it has news
		// again, so it is asked well within a drain's grace.
		longPollWait: c.Settings.Discovery.PushWait, responseTimeout: c.Settings.Discovery.PushResponseTimeout,
		transport: &http.Transport{MaxConnsPerHost: 2, MaxResponseHeaderBytes: maxListHeadBytes}, cancelRequests: func() {},
	}
	d.client = &http.Client{Transport: d.transport}
	if len(c.KnownEndpoints.Instances) > 0 {
		d.generation = c.KnownEndpoints.GenerationString()
	}
	if d.pollMode {
		d.longPollWait, d.responseTimeout = c.Settings.Discovery.PollWait, c.Settings.Discovery.PollResponseTimeout
	}
	return d
}

// SetAddress has discovery at another address from now on. Its versions are its own, so it is
// asked for the whole list, at once; what a call that is out brings is not taken any more.
func (d *DiscoveryClient) SetAddress(addr string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.addr, d.addrChanged = addr, true
	d.cancelRequests()
}

// nextAddress returns the address to ask from now on, and a context that ends with the next Move.
func (d *DiscoveryClient) nextAddress(ctx context.Context) (here context.Context, addr string, moved bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.cancelRequests() // what is left of the calls before
	here, d.cancelRequests = context.WithCancel(ctx)
	addr, moved, d.addrChanged = d.addr, d.addrChanged, false
	return here, addr, moved
}

// Run follows the list until ctx ends.
func (d *DiscoveryClient) Run(ctx context.Context) {
	for ctx.Err() == nil {
		here, addr, moved := d.nextAddress(ctx)
		if moved {
			d.generation, d.lastRequestFailed = "", false
			d.transport.CloseIdleConnections()
			slog.Info("discovery: asking another address", "addr", addr)
		}
		d.watchAddress(here, addr, moved)
	}
}

// watchAddress follows the list at one address until ctx ends. Where the module asks for the list,
// it has asked for the one of a new address when it asked for the first.
func (d *DiscoveryClient) watchAddress(ctx context.Context, addr string, asked bool) {
	for ctx.Err() == nil {
		if d.pollMode && !asked {
			select {
			case <-d.engine.SubscribeRequested():
			case <-ctx.Done():
				return
			}
		}
		asked = false
		if err := d.watch(ctx, addr); err != nil && ctx.Err() == nil {
			if !d.lastRequestFailed { // an outage is one line of the log, not one for each call
				slog.Warn("discovery: keeping the list at hand", "err", err)
			}
			d.lastRequestFailed = true
			if d.pollMode {
				d.engine.RecordDiscoveryFailure()
			}
			pause(ctx, d.minRequestInterval)
		}
	}
}

// watch asks for news until a call fails.
func (d *DiscoveryClient) watch(ctx context.Context, addr string) error {
	for {
		asked := time.Now()
		l, err := d.fetchList(ctx, addr)
		if err == nil {
			err = ctx.Err() // discovery may have moved as the answer came
		}
		if err != nil {
			return err
		}
		if d.lastRequestFailed {
			slog.Info("discovery: back", "generation", l.Generation)
		}
		d.lastRequestFailed, d.generation = false, l.GenerationString()
		if d.pollMode || l.Full || len(l.Instances) > 0 {
			d.engine.UpdateEndpoints(l)
		}
		d.engine.RecordDiscoveryResponse()
		pause(ctx, d.minRequestInterval-time.Since(asked))
	}
}

// fetchList makes one call.
func (d *DiscoveryClient) fetchList(ctx context.Context, addr string) (*discovery.List, error) {
	ctx, cancel := context.WithTimeout(ctx, d.longPollWait+d.responseTimeout)
	defer cancel()
	query := url.Values{}
	if d.generation != "" { // "0" is a version too: taken for none, it had every call answered with the whole list
		query.Set("index", d.generation)
		query.Set("wait", strconv.FormatInt(d.longPollWait.Milliseconds(), 10))
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
	switch {
	case err != nil:
		return nil, fmt.Errorf("list: %w", err)
	case resp.StatusCode != http.StatusOK:
		return nil, fmt.Errorf("list: %s", resp.Status)
	case len(text) > maxListBytes:
		return nil, errors.New("list: too long")
	}
	l := new(discovery.List)
	if err := json.Unmarshal(text, l); err != nil {
		return nil, fmt.Errorf("list: %w", err)
	}
	if err := l.Check(); err != nil {
		return nil, fmt.Errorf("list %d: %w", l.Generation, err)
	}
	return l, nil
}

func pause(ctx context.Context, d time.Duration) {
	if d <= 0 {
		return
	}
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}
