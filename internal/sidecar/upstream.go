package sidecar

import (
	"bytes"
	"context"
	"errors"
	"io"
	"math"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"yewwood.example/yewwood"
)

const (
	maxBody = 64 << 10 // the most bytes of a body, either way

	defaultConnectTimeout = 250 * time.Millisecond
	probeTimeout          = 250 * time.Millisecond
	defaultKeepAlive      = 10 * time.Second
	maxIdlePerEndpoint    = 8
	maxAnswerHeader       = 16 << 10
)

// Why an attempt was ended from this side.
var (
	errCanceled = errors.New("canceled by the balancer")
	errLeft     = errors.New("the endpoint has left service")
	errDeadline = errors.New("deadline passed")
	errNotSent  = errors.New("not to be sent any more")
)

// upstream makes the connections to endpoints.
type upstream struct {
	dialer    net.Dialer
	keepAlive time.Duration
	slots     chan struct{} // one for each connection that is open
	closeIdle func()        // closes all idle connections
}

func newUpstream(c *Config) *upstream {
	u := &upstream{
		keepAlive: c.Module.Limits.KeepAlive,
		slots:     make(chan struct{}, c.connections()),
	}
	if u.keepAlive == 0 {
		u.keepAlive = defaultKeepAlive
	}
	if u.dialer.Timeout = c.Module.Limits.ConnectTimeout; u.dialer.Timeout == 0 {
		u.dialer.Timeout = defaultConnectTimeout
	}
	return u
}

// transport returns the Transport of one endpoint: each has its own, since the
// module closes idle connections by endpoint.
func (u *upstream) transport() *http.Transport {
	return &http.Transport{
		DialContext:         u.dial,
		DisableCompression:  true, // or an answer's body would not be what the endpoint sent
		MaxIdleConnsPerHost: maxIdlePerEndpoint,
		// Idle connections must close here first: a request written as the
		// endpoint closes is reset, and may have run for all that is known.
		IdleConnTimeout:        u.keepAlive - u.keepAlive/10,
		MaxResponseHeaderBytes: maxAnswerHeader,
	}
}

// dial opens a connection if a descriptor is left for it.
func (u *upstream) dial(ctx context.Context, network, addr string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, u.dialer.Timeout)
	defer cancel()
	select {
	case u.slots <- struct{}{}:
	default:
		u.closeIdle()
		select {
		case u.slots <- struct{}{}:
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
	c, err := u.dialer.DialContext(ctx, network, addr)
	if err != nil {
		<-u.slots
		return nil, err
	}
	return &conn{Conn: c, closed: sync.OnceFunc(func() { <-u.slots })}, nil
}

// conn is a connection to an endpoint. All that is written passes through it,
// so it is here that a request is kept from going out late or twice.
type conn struct {
	net.Conn
	closed func()
	now    *exchange // the exchange it carries
}

func (c *conn) Write(p []byte) (int, error) {
	if !c.now.begin() {
		return 0, errNotSent
	}
	n, err := c.Conn.Write(p)
	if err != nil {
		c.now.broken.Store(true)
	}
	return n, err
}

func (c *conn) Close() error {
	defer c.closed()
	return c.Conn.Close()
}

// The states of an exchange's sending.
const (
	waiting = iota // for a connection
	writing        // or written
	barred         // before it began to be written
	resent         // the Transport tried to send it again, and was kept from it
)

// exchange is one request to an endpoint and its answer.
type exchange struct {
	ctx    context.Context
	state  atomic.Int32
	conns  atomic.Int32
	filled atomic.Bool // the request was handed to the connection whole
	broken atomic.Bool // the connection did not take it
}

// begin tells whether the request may be written.
func (x *exchange) begin() bool {
	return x.state.CompareAndSwap(waiting, writing) || x.state.Load() == writing
}

// bar keeps a request that has not begun to go out from doing so.
func (x *exchange) bar() bool { return x.state.CompareAndSwap(waiting, barred) }

// sent tells whether the last byte of the request may have been written. It may be
// asked once the Transport has returned an error, as its writer has ended by then.
// The Transport counts a request as written once it is buffered, also a barred one.
func (x *exchange) sent() bool {
	switch x.state.Load() {
	case writing:
		return x.filled.Load() && !x.broken.Load()
	case resent:
		return true
	}
	return false
}

// answer is what came back of an exchange.
type answer struct {
	result      yewwood.Result
	load        *yewwood.Load
	contentType string
	body        []byte
}

// do carries out an exchange: once, whatever the Transport would do by itself.
//
// A Transport repeats a request that fails on a reused connection if it has no
// body or one that can be rewound, and is a GET or has an Idempotency-Key. So the
// body is always one that can't be rewound, and a second connection is barred.
func (x *exchange) do(t *http.Transport, req *http.Request, body []byte) answer {
	req.Body, req.GetBody = io.NopCloser(bytes.NewReader(body)), nil
	if req.ContentLength = int64(len(body)); len(body) == 0 {
		req.ContentLength = -1 // 0 would be taken for no body, which can be repeated
	}
	trace := &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			info.Conn.(*conn).now = x
			if x.conns.Add(1) > 1 {
				x.state.Store(resent)
			}
		},
		WroteRequest: func(info httptrace.WroteRequestInfo) { x.filled.Store(info.Err == nil) },
	}
	resp, err := t.RoundTrip(req.WithContext(httptrace.WithClientTrace(x.ctx, trace)))
	if err != nil {
		return answer{result: x.failure(x.sent())}
	}
	defer resp.Body.Close()
	a := answer{contentType: resp.Header.Get("Content-Type")}
	a.load = parseLoad(resp.Header.Get("X-Server-Load"))
	if a.body, err = io.ReadAll(io.LimitReader(resp.Body, maxBody+1)); err != nil {
		a.result = x.failure(true)
		return a
	}
	turnedAway := resp.StatusCode == http.StatusServiceUnavailable || resp.StatusCode == http.StatusGatewayTimeout
	switch {
	case len(a.body) > maxBody:
		a.result = yewwood.Error
	case resp.StatusCode == http.StatusOK:
		a.result = yewwood.OK
	case turnedAway && resp.Header.Get("X-Not-Processed") == "1":
		a.result = yewwood.Rejected
	default:
		a.result = yewwood.Error
	}
	return a
}

// failure tells how an exchange without a whole answer ended. What was sent whole may have run.
func (x *exchange) failure(sent bool) yewwood.Result {
	switch cause := context.Cause(x.ctx); {
	case cause == errCanceled:
		return yewwood.Canceled
	case cause == errLeft && !sent:
		return yewwood.NotSent
	case !sent:
		return yewwood.ConnectFailed
	case cause != nil:
		return yewwood.Timeout
	default:
		return yewwood.Reset
	}
}

// probe asks an endpoint for its load, or where there are no reports whether it is well.
func (u *upstream) probe(t *http.Transport, addr, path string) answer {
	ctx, cancel := context.WithTimeoutCause(context.Background(), probeTimeout, errDeadline)
	defer cancel()
	x := &exchange{ctx: ctx}
	req := &http.Request{
		Method: http.MethodGet, Header: make(http.Header),
		URL: &url.URL{Scheme: "http", Host: addr, Path: path},
	}
	a := x.do(t, req, nil)
	if a.result == yewwood.OK && a.load == nil {
		a.load = parseLoad(string(a.body))
	}
	return a
}

// parseLoad reads a load report, such as "TEXT busy_reqs=7, pending=2". It returns
// nil for none, and for one that is malformed. A field has the name that the settings
// give it, or the protocol's own; taking only the latter left every report empty.
func parseLoad(text string) *yewwood.Load {
	text, ok := strings.CutPrefix(strings.TrimSpace(text), "TEXT ")
	if !ok {
		return nil
	}
	l := &yewwood.Load{InFlight: -1, Queue: -1, Util: -1, LatencyMS: -1, Served: -1, Failed: -1}
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
