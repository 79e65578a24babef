package sidecar

import (
	"bytes"
	"context"
	"errors"
	"io"
	"math"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"sync/atomic"

	"barleydrum.example/barleydrum/balance"
	"barleydrum.example/barleydrum/internal/config"
)

// Why an attempt was ended from this side.
var (
	errCanceled = errors.New("canceled by the balancer")
	errLeft     = errors.New("the endpoint has left service")
	errDeadline = errors.New("deadline passed")
	errBarred   = errors.New("not to be sent any more")
)

// newPool returns the pool of a sidecar.
func newPool(c *config.Config) *pool {
	p := &pool{
		dialer:   net.Dialer{Timeout: c.ConnectTime()},
		slots:    make(chan struct{}, c.EndpointConnections()),
		settings: newLive(c.Settings),
	}
	// Idle connections must close here first: a request written as the endpoint
	// closes is reset, and may have run for all that is known.
	keep := c.KeepAlive()
	p.keepAlive = keep - keep/10
	return p
}

// The states of an exchange's sending.
const (
	waiting = iota // for a connection
	writing        // or written
	barred         // before it began to be written
)

// exchange is one request to an endpoint and its answer.
type exchange struct {
	ctx   context.Context
	state atomic.Int32
}

// bar keeps a request that has not begun to go out from doing so.
func (x *exchange) bar() bool { return x.state.CompareAndSwap(waiting, barred) }

// answer is what came back of an exchange.
type answer struct {
	result      balance.Result
	load        *balance.Load
	contentType string
	body        []byte
}

// do carries out an exchange, once.
func (x *exchange) do(p *pool, to *route, req *http.Request, body []byte) answer {
	c, err := p.get(x.ctx, to)
	if err != nil {
		return answer{result: x.failure(false, err)}
	}
	return x.carry(c, req, body)
}

// carry carries out an exchange on a connection, which it puts back or closes.
func (x *exchange) carry(c *conn, req *http.Request, body []byte) answer {
	if !x.state.CompareAndSwap(waiting, writing) {
		c.pool.put(c)
		return answer{result: x.failure(false, errBarred)}
	}
	stop := context.AfterFunc(x.ctx, func() { c.Close() })
	if req.ContentLength = int64(len(body)); len(body) > 0 {
		req.Body = io.NopCloser(bytes.NewReader(body))
	}
	out := c.pool.writer(c)
	err := req.Write(out)
	if err == nil {
		err = out.Flush()
	}
	c.pool.putWriter(out)
	if err != nil { // the endpoint has not got the last byte
		stop()
		c.Close()
		return answer{result: x.failure(false, err)}
	}
	resp, got, reuse, err := c.read(req, c.pool.settings.Load().Endpoints)
	if stop() && reuse {
		c.pool.put(c)
	} else {
		c.Close()
	}
	if err != nil {
		return answer{result: x.failure(true, err)}
	}
	a := answer{
		result: balance.Error, contentType: resp.Header.Get("Content-Type"), body: got,
		load: parseLoad(resp.Header.Get("X-Server-Load")),
	}
	switch resp.StatusCode {
	case http.StatusOK:
		a.result = balance.OK
	case http.StatusServiceUnavailable, http.StatusGatewayTimeout:
		if resp.Header.Get("X-Not-Processed") == "1" {
			a.result = balance.Rejected
		}
	}
	return a
}

// failure tells how an exchange without a usable answer ended. What was sent whole may have run.
func (x *exchange) failure(sent bool, err error) balance.Result {
	cause := context.Cause(x.ctx)
	switch {
	case cause == errCanceled:
		return balance.Canceled
	case !sent && (cause == errLeft || errors.Is(err, errNoSlot)): // through no fault of the endpoint
		return balance.NotSent
	case !sent:
		return balance.ConnectFailed
	case errors.As(err, new(spoilt)):
		return balance.Error
	case cause != nil:
		return balance.Timeout
	default:
		return balance.Reset
	}
}

// probe asks an endpoint for its load, or where there are no reports whether it is well.
func (p *pool) probe(to *route, path string) answer {
	ctx, cancel := context.WithTimeoutCause(context.Background(), p.settings.Load().Probe.Time, errDeadline)
	defer cancel()
	x := &exchange{ctx: ctx}
	req := &http.Request{
		Method: http.MethodGet, Header: make(http.Header),
		URL: &url.URL{Scheme: "http", Host: to.addr, Path: path},
	}
	a := x.do(p, to, req, nil)
	if a.result == balance.OK && a.load == nil {
		a.load = parseLoad(string(a.body))
	}
	return a
}

// parseLoad reads a load report, such as "TEXT busy_reqs=7, pending=2". It returns
// nil for none, and for one that is malformed. A field has the name that the settings
// give it, or the protocol's own; taking only the latter left every report empty.
func parseLoad(text string) *balance.Load {
	text, ok := strings.CutPrefix(strings.TrimSpace(text), "TEXT ")
	if !ok {
		return nil
	}
	l := &balance.Load{InFlight: -1, Queue: -1, Util: -1, LatencyMS: -1, Served: -1, Failed: -1}
	fields := map[string]*float64{
		"busy_reqs": &l.InFlight, "pending": &l.Queue, "cpu_share": &l.Util,
		"svc_ms": &l.LatencyMS, "served_ps": &l.Served, "failed_ps": &l.Failed,
		"inflight": &l.InFlight, "queue": &l.Queue, "util": &l.Util,
		"latency_ms": &l.LatencyMS, "qps": &l.Served, "eps": &l.Failed,
	}
	for part := range strings.SplitSeq(text, ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		v, err := strconv.ParseFloat(value, 64)
		if err != nil || v < 0 || math.IsNaN(v) || math.IsInf(v, 0) {
			return nil
		}
		if to := fields[name]; to != nil {
			*to = v
		}
	}
	return l
}
