// Package sidecar connects the callers' HTTP server, the engine and the discovery service.
//
// [Server] validates the requests of callers, hands them to an [engine.Engine] and writes the
// responses. [DiscoveryClient] keeps the engine's list of endpoints up to date.
// The package makes no balancing decisions and sends no requests to endpoints: the engine does.
package sidecar

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math"
	"net"
	"net/http"
	"os"
	"strconv"
	"sync"
	"time"

	"barleydrum.example/barleydrum/balance"
	"barleydrum.example/barleydrum/internal/body"
	"barleydrum.example/barleydrum/internal/config"
	"barleydrum.example/barleydrum/internal/engine"
	"barleydrum.example/barleydrum/internal/http1"
	"barleydrum.example/barleydrum/internal/httpserver"
	"barleydrum.example/barleydrum/internal/upstream"
)

// maxRequestIDBytes is the maximum length of an X-Request-ID.
const maxRequestIDBytes = 256

// Server serves the callers' requests: it validates their heads, passes them to the engine and
// writes the responses. Connections, framing and timeouts are handled by [httpserver.Server].
type Server struct {
	cfg        *config.Config
	engine     *engine.Engine
	httpServer *httpserver.Server

	bodies     *body.Store // streamed request bodies
	requestIDs *requestIDs

	// mu guards the fields below.
	mu          sync.Mutex
	streamStats StreamStats
}

// NewServer returns a Server that passes its requests to e. It returns an error if the HTTP
// server can't be set up.
func NewServer(cfg *config.Config, e *engine.Engine) (*Server, error) {
	s := &Server{cfg: cfg, engine: e, bodies: body.NewStore(os.TempDir()), requestIDs: newRequestIDs(e.Account())}
	var err error
	s.httpServer, err = httpserver.New(httpserver.Config{
		Handler: requestHandler{s}, MaxConnections: cfg.MaxCallerConnections(), AcceptReserve: config.AcceptReserve, MaxHeadBytes: int(cfg.Settings.Callers.MaxRequestHead),
		Account:      e.Account(),
		MaxBodyBytes: func() int { return int(s.engine.Settings().Callers.MaxRequestBody) },
		Timeouts: func() httpserver.Timeouts {
			callers := &s.engine.Settings().Callers
			return httpserver.Timeouts{Head: callers.HeadTimeout, Body: callers.BodyTimeout, Idle: callers.IdleTimeout, Write: callers.WriteTimeout, EvictionGrace: callers.EvictionGrace}
		},
	})
	return s, err
}

// Serve accepts connections on l until Shutdown or Close. It may be called concurrently for
// several listeners.
func (s *Server) Serve(l net.Listener) error { return s.httpServer.Serve(l) }

// shutdownResponseReserve is how long before the end of a shutdown the engine ends the requests
// that are still open, so that their responses can be written in time.
const shutdownResponseReserve = 100 * time.Millisecond

// Shutdown stops the server gracefully. It makes callers close their connections, keeps accepting new
// ones for AcceptGrace (see [config.Shutdown]), and returns when every request that was received has
// its response. It never takes longer than AcceptGrace, the longest time allowed to a request and
// DeadlineMargin together, since the platform may kill the process after that.
func (s *Server) Shutdown() {
	shutdown := s.engine.Settings().Shutdown
	maxDuration := shutdown.AcceptGrace + s.cfg.ShutdownRequestTimeout() + shutdown.DeadlineMargin
	ctx, cancel := context.WithTimeout(context.Background(), maxDuration)
	defer cancel()
	s.engine.SetShutdownDeadline(time.Now().Add(maxDuration - shutdownResponseReserve))
	// A caller that has not sent a complete request gets no response.
	if remaining := s.httpServer.Shutdown(ctx, shutdown.AcceptGrace); remaining > 0 {
		slog.Warn("shutdown: closed connections that were still open", "connections", remaining)
	}
}

// Close closes all listeners and connections immediately.
func (s *Server) Close() { s.httpServer.Close() }

// isHealthCheck reports whether r asks for the health of the sidecar itself.
func isHealthCheck(r *http1.Request) bool { return string(r.Path()) == "/healthz" }

// requestHandler implements [httpserver.Handler] for a Server.
type requestHandler struct{ *Server }

// CheckHead implements [httpserver.Handler]. It decides whether the body is streamed, rejects
// invalid requests with 400 or 413, and leaves the engine.Call of a valid one in x.HandlerState. A
// health check has no call.
func (h requestHandler) CheckHead(x *httpserver.Exchange) *httpserver.ErrorResponse {
	r, settings := x.RequestHead(), h.engine.Settings()
	contentLength := r.ContentLength()
	x.Streaming = settings.Streams.RequestsEnabled() && !isHealthCheck(r) &&
		(r.Framing() == http1.Chunked && settings.Streams.ChunkedEnabled() || contentLength > int64(settings.Callers.MaxRequestBody) && contentLength <= int64(settings.Streams.MaxRequestBody))
	switch {
	case x.Streaming:
	case contentLength > int64(settings.Callers.MaxRequestBody):
		return &httpserver.ErrorResponse{Status: http.StatusRequestEntityTooLarge, Message: fmt.Sprintf("body: %d bytes are too many", contentLength)}
	case isHealthCheck(r):
		return nil
	}
	call := h.engine.NewCall()
	if err := h.parseHead(call, r); err != nil {
		h.engine.ReleaseCall(call)
		return &httpserver.ErrorResponse{Status: http.StatusBadRequest, Message: err.Error()}
	}
	x.HandlerState = call
	return nil
}

// ServeExchange implements [httpserver.Handler]. It responds to a health check itself, rejects a
// request whose id is already open with 409, and has the engine serve all others.
func (h requestHandler) ServeExchange(x *httpserver.Exchange) {
	call, ok := x.HandlerState.(*engine.Call)
	if !ok {
		status := http.StatusOK
		if h.httpServer.Draining() || !h.engine.Ready() {
			status = http.StatusServiceUnavailable
		}
		x.Respond(status, "", nil, nil)
		return
	}
	if !h.requestIDs.register(call.CallerRequestID, time.Now()) {
		h.engine.ReleaseCall(call)
		x.CloseAfterResponse = true
		x.Respond(http.StatusConflict, contentTypeText, nil, []byte("X-Request-ID: a request with it is open, or may have run for a caller that left\n"))
		return
	}
	id, repeatable := call.CallerRequestID, h.cfg.BalancerConfig.Classes[call.Class].Semantics == balance.Safe
	abandoned := false
	defer func() { h.requestIDs.unregister(id, abandoned, time.Now()) }()
	call.Head, call.Body, call.CallerDisconnected = x.RequestHead(), x.Body, x.CallerDisconnected
	// One margin is reserved for the response to reach the caller, a second one for the balancer
	// to end the attempts that it started. Each is at most a tenth of the timeout.
	margin := min(h.engine.Settings().Callers.ResponseMargin, call.Timeout/10)
	call.Deadline = x.ReceivedAt().Add(call.Timeout - margin)
	call.Timeout -= 2*margin + time.Since(x.ReceivedAt())
	if x.Streaming {
		abandoned = h.serveStreamedRequest(x, call) && !repeatable
		return
	}
	connected := x.NotifyDisconnect(call)
	result := h.engine.Serve(call, !connected)
	disconnected := x.StopNotifyDisconnect()
	abandoned = !repeatable && result.Forwarded && (disconnected || result.ServedBy == nil && x.CallerDisconnected())
	if result.Streaming {
		h.streamResponse(x, call, result)
	} else {
		h.respond(x, result)
	}
	h.engine.ReleaseCall(call)
}

// contentTypeText is the Content-Type of the sidecar's own responses.
const contentTypeText = "text/plain; charset=utf-8"

// Bodies of the responses to refused (503) and failed (502) requests.
var refusedBody, failedBody = []byte("refused\n"), []byte("failed\n")

// respond writes the response for a final result that is not streamed. Only a refused request gets
// 503: this status means that a retry is safe.
func (s *Server) respond(x *httpserver.Exchange, result engine.FinalResult) {
	switch {
	case result.ServedBy != nil:
		x.Respond(http.StatusOK, "", responseFieldAppender(result.ServedBy), result.ServedBy.ResponseBody())
	case result.Refused:
		x.Respond(http.StatusServiceUnavailable, contentTypeText, func(b []byte) []byte {
			if result.RetryAfter > 0 {
				b = http1.AppendRetryAfter(b, result.RetryAfter)
			}
			return b
		}, refusedBody)
	default:
		x.Respond(http.StatusBadGateway, contentTypeText, nil, failedBody)
	}
}

// responseFieldAppender returns a function that appends the forwarded fields of the endpoint's
// response to b.
func responseFieldAppender(x *upstream.Exchange) func(b []byte) []byte {
	return func(b []byte) []byte {
		head := x.ResponseHead()
		for i := range head.NumFields() {
			if f := head.Field(i); isForwardedField(head, f.Name) {
				b = http1.AppendParsedField(b, f)
			}
		}
		return b
	}
}

// isForwardedField reports whether a field of an endpoint's response is forwarded to the caller. Date
// is not, because httpserver sets it, nor is X-Server-Load, a load report meant for this sidecar.
func isForwardedField(head *http1.Response, name []byte) bool {
	return !http1.EqualFieldName(name, "Date") && !http1.EqualFieldName(name, "X-Server-Load") && head.IsEndToEnd(name)
}

// protocolFields are the request fields that PROTOCOL defines. Each may be present at most once.
var protocolFields = [...]string{
	"X-Request-ID", "X-Priority-Class", "X-Tenant-Id", "X-Timeout", "X-Retried", "X-Cost", "X-Attrs", "Idempotency-Key",
}

// parseHead fills in a call from a request's head. The text of an error becomes the body of a 400
// response and names the faulty field.
func (s *Server) parseHead(call *engine.Call, r *http1.Request) error {
	if method := string(r.Method()); method != http.MethodGet && method != http.MethodPost {
		return fmt.Errorf("method %.20q: neither GET nor POST", method)
	}
	var values [len(protocolFields)][]byte // in the order of protocolFields
	for i, name := range protocolFields {
		value, count := r.Get(name)
		if count > 1 { // an endpoint may use another one than the first
			return fmt.Errorf("%s: given more than once", name)
		}
		if count > 0 && r.IsConnectionOption([]byte(name)) { // it would not be forwarded
			return fmt.Errorf("%s: named by Connection", name)
		}
		values[i] = value
	}
	id, class, tenant, timeout, retried, cost, key := values[0], values[1], values[2], values[3], values[4], values[5], values[7]
	if len(id) == 0 || len(id) > maxRequestIDBytes {
		return errors.New("X-Request-ID: missing or too long")
	}
	var ok bool
	if call.Class, ok = s.cfg.ClassIndex[string(class)]; !ok {
		return fmt.Errorf("X-Priority-Class: unknown class %.40q", class)
	}
	classConfig := &s.cfg.BalancerConfig.Classes[call.Class]
	// Without the key, endpoints could not recognize a retry as a repeat.
	if classConfig.Semantics == balance.Keyed && len(key) == 0 {
		return fmt.Errorf("Idempotency-Key: missing for class %q", class)
	}
	if len(tenant) > 0 && len(s.cfg.TenantIndex) > 0 {
		if call.Tenant, ok = s.cfg.TenantIndex[string(tenant)]; !ok {
			return fmt.Errorf("X-Tenant-Id: unknown tenant %.40q", tenant)
		}
	}
	call.Timeout = classConfig.Deadline
	if len(timeout) > 0 {
		callerTimeout, ok := parseTimeout(timeout)
		if !ok {
			return fmt.Errorf("X-Timeout: bad value %.40q", timeout)
		}
		call.Timeout = min(callerTimeout, call.Timeout) // no client waits longer than its class's deadline
	}
	if len(cost) > 0 {
		microseconds, err := strconv.ParseFloat(string(cost), 64)
		if err != nil || !(microseconds >= 0 && microseconds < maxTimeout.Seconds()*1e6) {
			return fmt.Errorf("X-Cost: bad value %.40q", cost)
		}
		call.ExpectedWork = time.Duration(microseconds * float64(time.Microsecond))
	}
	call.ClientRetry = string(retried) == "1"
	call.CallerRequestID = string(id)
	return nil
}

// maxTimeout is the upper limit of X-Timeout and X-Cost.
const maxTimeout = time.Hour

// parseTimeout parses the value of X-Timeout: a decimal number followed by the unit m (milliseconds)
// or u (microseconds). It reports false if the value is malformed, less than a nanosecond or greater
// than maxTimeout.
func parseTimeout(text []byte) (time.Duration, bool) {
	unitIndex := len(text) - 1
	if unitIndex < 0 {
		return 0, false
	}
	unit := time.Millisecond
	switch text[unitIndex] {
	case 'm':
	case 'u':
		unit = time.Microsecond
	default:
		return 0, false
	}
	number, err := strconv.ParseFloat(string(text[:unitIndex]), 64)
	nanoseconds := number * float64(unit)
	if err != nil || math.IsNaN(nanoseconds) || nanoseconds < 1 || nanoseconds > float64(maxTimeout) {
		return 0, false
	}
	return time.Duration(nanoseconds), true
}
