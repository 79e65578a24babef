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

// maxRequestIDBytes is the most bytes of a request's id.
const maxRequestIDBytes = 256

// Server takes the callers' requests: what they are about, and in what words they are
// answered. Its connections are the door's.
type Server struct {
	cfg        *config.Config
	engine     *engine.Engine
	httpServer *httpserver.Server

	bodies *body.Store

	mu          sync.Mutex
	openIDs     map[string]struct{} // of the requests that are open
	streamStats StreamStats
}

// NewServer returns a Server that hands its requests to an engine.
func NewServer(c *config.Config, e *engine.Engine) (*Server, error) {
	s := &Server{cfg: c, engine: e, bodies: body.NewStore(os.TempDir()), openIDs: make(map[string]struct{})}
	var err error
	s.httpServer, err = httpserver.New(httpserver.Config{
		Handler: requestHandler{s}, MaxConnections: c.MaxCallerConnections(), MaxHeadBytes: int(c.Settings.Callers.MaxRequestHead),
		MaxBodyBytes: func() int { return int(s.engine.Settings().Callers.MaxRequestBody) },
		Timeouts: func() httpserver.Timeouts {
			k := &s.engine.Settings().Callers
			return httpserver.Timeouts{Head: k.HeadTimeout, Body: k.BodyTimeout, Idle: k.IdleTimeout, Write: k.WriteTimeout, EvictionGrace: k.EvictionGrace}
		},
	})
	return s, err
}

// Serve serves one listener until Shutdown. Several may be served together.
func (s *Server) Serve(l net.Listener) error { return s.httpServer.Serve(l) }

// shutdownResponseReserve is how long before the end of a shutdown the last requests get their answers.
const shutdownResponseReserve = 100 * time.Millisecond

// Shutdown steers callers off, goes on accepting for a while, and returns when all that was taken has its
// answer. Nothing is waited for beyond the time at which the platform may end the process.
func (s *Server) Shutdown() {
	end := s.engine.Settings().Shutdown
	most := end.AcceptGrace + s.cfg.ShutdownRequestTimeout() + end.DeadlineMargin
	ctx, cancel := context.WithTimeout(context.Background(), most)
	defer cancel()
	s.engine.SetShutdownDeadline(time.Now().Add(most - shutdownResponseReserve))
	if left := s.httpServer.Shutdown(ctx, end.AcceptGrace); left > 0 { // a caller that sent no whole request is owed nothing
		slog.Warn("shutdown: connections left", "connections", left)
	}
}

// Close ends all listeners and connections at once.
func (s *Server) Close() { s.httpServer.Close() }

// registerID notes the id of a request, unless one that is open has it.
func (s *Server) registerID(id string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.openIDs[id]; ok {
		return false
	}
	s.openIDs[id] = struct{}{}
	return true
}

func (s *Server) unregisterID(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.openIDs, id)
}

func isHealthCheck(r *http1.Request) bool { return string(r.Path()) == "/healthz" }

// requestHandler is the Server as the door's handler.
type requestHandler struct{ *Server }

// CheckHead judges a request by its head, see door.Handler.
func (s requestHandler) CheckHead(x *httpserver.Exchange) *httpserver.ErrorResponse {
	r, set := x.RequestHead(), s.engine.Settings()
	n := r.ContentLength()
	x.Streaming = set.Streams.RequestsEnabled() && !isHealthCheck(r) &&
		(r.Framing() == http1.Chunked && set.Streams.ChunkedEnabled() || n > int64(set.Callers.MaxRequestBody) && n <= int64(set.Streams.MaxRequestBody))
	switch {
	case x.Streaming:
	case n > int64(set.Callers.MaxRequestBody):
		return &httpserver.ErrorResponse{Status: http.StatusRequestEntityTooLarge, Message: fmt.Sprintf("body: %d bytes are too many", n)}
	case isHealthCheck(r):
		return nil
	}
	c := s.engine.NewCall()
	if err := s.parseHead(c, r); err != nil {
		s.engine.ReleaseCall(c)
		return &httpserver.ErrorResponse{Status: http.StatusBadRequest, Message: err.Error()}
	}
	x.HandlerState = c
	return nil
}

// ServeExchange answers a request, see door.Handler.
func (s requestHandler) ServeExchange(x *httpserver.Exchange) {
	c, ok := x.HandlerState.(*engine.Call)
	if !ok {
		status := http.StatusOK
		if s.httpServer.Draining() || !s.engine.Ready() {
			status = http.StatusServiceUnavailable
		}
		x.Respond(status, "", nil, nil)
		return
	}
	if !s.registerID(c.CallerRequestID) {
		s.engine.ReleaseCall(c)
		x.Close = true
		x.Respond(http.StatusConflict, contentTypeText, nil, []byte("X-Request-ID: a request with it is open\n"))
		return
	}
	defer s.unregisterID(c.CallerRequestID)
	c.Head, c.Body, c.CallerDisconnected = x.RequestHead(), x.Body, x.CallerDisconnected
	margin := min(s.engine.Settings().Callers.ResponseMargin, c.Timeout/10)
	c.Deadline = x.ReceivedAt().Add(c.Timeout - margin)
	c.Timeout -= 2*margin + time.Since(x.ReceivedAt())
	if x.Streaming {
		s.serveStreamedRequest(x, c)
		return
	}
	here := x.NotifyDisconnect(c)
	f := s.engine.Serve(c, !here)
	x.StopNotifyDisconnect()
	if f.Streaming {
		s.streamResponse(x, c, f)
	} else {
		s.respond(x, f)
	}
	s.engine.ReleaseCall(c)
}

const contentTypeText = "text/plain; charset=utf-8"

var refusedBody, failedBody = []byte("refused\n"), []byte("failed\n")

// respond words a final answer. Only a refusal is worded 503: it tells the caller that trying
// again does no harm.
func (s *Server) respond(x *httpserver.Exchange, f engine.FinalResult) {
	switch {
	case f.ServedBy != nil:
		x.Respond(http.StatusOK, "", responseFieldAppender(f.ServedBy), f.ServedBy.ResponseBody())
	case f.Refused:
		x.Respond(http.StatusServiceUnavailable, contentTypeText, func(b []byte) []byte {
			if f.RetryAfter > 0 {
				b = http1.AppendRetryAfter(b, f.RetryAfter)
			}
			return b
		}, refusedBody)
	default:
		x.Respond(http.StatusBadGateway, contentTypeText, nil, failedBody)
	}
}

// responseFieldAppender appends the fields of an endpoint's answer that go to the caller.
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

// isForwardedField tells whether a field of an endpoint's answer goes to the caller: Date is the
// door's, and a load report is for this sidecar.
func isForwardedField(head *http1.Response, name []byte) bool {
	return !http1.EqualFieldName(name, "Date") && !http1.EqualFieldName(name, "X-Server-Load") && head.IsEndToEnd(name)
}

// protocolFields are those of the protocol that may stand in a request once.
var protocolFields = [...]string{
	"X-Request-ID", "X-Priority-Class", "X-Tenant-Id", "X-Timeout", "X-Retried", "X-Cost", "X-Attrs", "Idempotency-Key",
}

// parseHead reads a request's head. An error names the field at fault.
func (s *Server) parseHead(c *engine.Call, r *http1.Request) error {
	if m := string(r.Method()); m != http.MethodGet && m != http.MethodPost {
		return fmt.Errorf("method %.20q: neither GET nor POST", m)
	}
	var own [len(protocolFields)][]byte
	for i, name := range protocolFields {
		v, n := r.Get(name)
		if n > 1 { // an endpoint may read another than the first
			return fmt.Errorf("%s: given more than once", name)
		}
		if n > 0 && r.IsConnectionOption([]byte(name)) { // and would not get it
			return fmt.Errorf("%s: named by Connection", name)
		}
		own[i] = v
	}
	id, class, tenant, timeout, retried, cost, key := own[0], own[1], own[2], own[3], own[4], own[5], own[7]
	if len(id) == 0 || len(id) > maxRequestIDBytes {
		return errors.New("X-Request-ID: missing or too long")
	}
	var ok bool
	if c.Class, ok = s.cfg.ClassIndex[string(class)]; !ok {
		return fmt.Errorf("X-Priority-Class: unknown class %.40q", class)
	}
	k := &s.cfg.BalancerConfig.Classes[c.Class]
	// A keyed request without its key would be sent again to endpoints that can't tell it for a repeat.
	if k.Semantics == balance.Keyed && len(key) == 0 {
		return fmt.Errorf("Idempotency-Key: missing for class %q", class)
	}
	if len(tenant) > 0 && len(s.cfg.TenantIndex) > 0 {
		if c.Tenant, ok = s.cfg.TenantIndex[string(tenant)]; !ok {
			return fmt.Errorf("X-Tenant-Id: unknown tenant %.40q", tenant)
		}
	}
	c.Timeout = k.Deadline
	if len(timeout) > 0 {
		budget, ok := parseTimeout(timeout)
		if !ok {
			return fmt.Errorf("X-Timeout: bad value %.40q", timeout)
		}
		c.Timeout = min(budget, c.Timeout) // no client of the class waits for longer
	}
	if len(cost) > 0 {
		us, err := strconv.ParseFloat(string(cost), 64)
		if err != nil || !(us >= 0 && us < maxTimeout.Seconds()*1e6) {
			return fmt.Errorf("X-Cost: bad value %.40q", cost)
		}
		c.ExpectedWork = time.Duration(us * float64(time.Microsecond))
	}
	c.ClientRetry = string(retried) == "1"
	c.CallerRequestID = string(id)
	return nil
}

// maxTimeout bounds what a caller may ask for.
const maxTimeout = time.Hour

// parseTimeout reads a number with the unit m (milliseconds) or u (microseconds).
func parseTimeout(text []byte) (time.Duration, bool) {
	last := len(text) - 1
	if last < 0 {
		return 0, false
	}
	unit := time.Millisecond
	switch text[last] {
	case 'm':
	case 'u':
		unit = time.Microsecond
	default:
		return 0, false
	}
	v, err := strconv.ParseFloat(string(text[:last]), 64)
	d := v * float64(unit)
	if err != nil || math.IsNaN(d) || d < 1 || d > float64(maxTimeout) {
		return 0, false
	}
	return time.Duration(d), true
}
