package sidecar

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"maps"
	"math"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"barleydrum.example/barleydrum/balance"
	"barleydrum.example/barleydrum/internal/config"
)

// maxID is the most bytes of a request's id.
const maxID = 256

// Server takes the callers' requests.
type Server struct {
	cfg      *config.Config
	engine   *Engine
	http     http.Server
	places   chan struct{} // one for each connection that callers may have open
	settings *live
	draining atomic.Bool

	mu      sync.Mutex
	callers map[net.Conn]*caller
	looking bool            // a timer will make room
	ids     map[string]bool // of the requests that are open
}

// caller is a caller's connection.
type caller struct {
	stage stage
	since time.Time
}

// stage is how far a caller's connection has come. The lower, the sooner it gives way.
type stage int

const (
	silent  stage = iota // nothing has come on it yet
	idle                 // between two requests
	partial              // part of a request has come, or it is to be closed
	taken                // a request is being answered
)

// NewServer returns a Server that hands its requests to an engine.
func NewServer(c *config.Config, e *Engine) *Server {
	s := &Server{cfg: c, engine: e, places: make(chan struct{}, c.CallerConnections()), settings: e.settings,
		callers: make(map[net.Conn]*caller), ids: make(map[string]bool)}
	s.http = http.Server{
		Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			switch err := checkFraming(r); {
			case err != nil:
				reject(w, http.StatusLengthRequired, err)
			case r.URL.Path == "/healthz":
				s.health(w, r)
			default:
				s.call(w, r)
			}
		}),
		ReadHeaderTimeout: c.Settings.Callers.HeadTime,
		IdleTimeout:       c.Settings.Callers.IdleTime,
		MaxHeaderBytes:    int(c.Settings.Callers.MaxHead),
		ConnState:         s.connState,
		ConnContext: func(ctx context.Context, c net.Conn) context.Context {
			return context.WithValue(ctx, connKey{}, c)
		},
	}
	return s
}

// Serve serves one listener until Shutdown. Several may be served together.
func (s *Server) Serve(l net.Listener) error {
	if err := s.http.Serve(newDoor(l, s.places)); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

// connKey is the key of a request's connection in its context.
type connKey struct{}

// connState follows a connection, and keeps a place free for new ones: silent and idle
// callers would fill all, and a request on one that waits to be accepted would get no answer.
func (s *Server) connState(c net.Conn, state http.ConnState) {
	switch state {
	case http.StateNew:
		s.reached(c, silent)
	case http.StateActive:
		s.reached(c, partial)
	case http.StateIdle:
		s.reached(c, idle)
	default:
		s.mu.Lock()
		delete(s.callers, c)
		s.mu.Unlock()
	}
}

// reached notes the stage of a connection.
func (s *Server) reached(c net.Conn, at stage) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.callers[c] == nil {
		if at != silent {
			return // it has been closed to make room
		}
		s.callers[c] = new(caller)
	}
	*s.callers[c] = caller{at, time.Now()}
	s.makeRoom(c)
}

// makeRoom closes connections until a place is free. If none may be closed yet, it looks
// again later.
func (s *Server) makeRoom(newest net.Conn) {
	for len(s.callers) >= cap(s.places) {
		if s.evict(newest) {
			continue
		}
		if !s.looking {
			s.looking = true
			time.AfterFunc(s.settings.Load().Callers.EvictionGrace, func() {
				s.mu.Lock()
				defer s.mu.Unlock()
				s.looking = false
				s.makeRoom(nil)
			})
		}
		return
	}
}

// evict closes the connection that is the least loss and has been for longest, other than
// the one that has just come, and tells whether there was one.
func (s *Server) evict(newest net.Conn) bool {
	var out net.Conn
	grace := s.settings.Load().Callers.EvictionGrace
	for c, k := range s.callers {
		switch {
		case c == newest && k.stage != idle, k.stage == taken:
		case k.stage == partial && time.Since(k.since) < grace:
		case k.stage == silent && !quiet(c): // a request is about to be read
		case out == nil, k.stage < s.callers[out].stage,
			k.stage == s.callers[out].stage && k.since.Before(s.callers[out].since):
			out = c
		}
	}
	if out == nil {
		return false
	}
	delete(s.callers, out)
	out.Close()
	return true
}

// open notes the id of a request, unless one that is open has it.
func (s *Server) open(id string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ids[id] {
		return false
	}
	s.ids[id] = true
	return true
}

func (s *Server) closed(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.ids, id)
}

// Shutdown steers callers off, goes on accepting for a while, and returns when all
// that was taken has its answer.
func (s *Server) Shutdown() {
	s.draining.Store(true)
	s.http.SetKeepAlivesEnabled(false)
	end := s.settings.Load().Shutdown
	time.Sleep(end.Linger)
	ctx, cancel := context.WithTimeout(context.Background(), s.cfg.LongestDeadline()+end.Spare)
	defer cancel()
	if err := s.http.Shutdown(ctx); err != nil { // a caller that sent no whole request is owed nothing
		slog.Warn("shutdown: connections left", "err", err)
	}
}

func (s *Server) health(w http.ResponseWriter, _ *http.Request) {
	if s.draining.Load() || !s.engine.ready.Load() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// call serves one request.
func (s *Server) call(w http.ResponseWriter, r *http.Request) {
	came, set := time.Now(), s.settings.Load().Callers
	control := http.NewResponseController(w)
	control.SetReadDeadline(came.Add(set.BodyTime)) // also for what is left of a body that is turned away
	control.SetWriteDeadline(came.Add(set.WriteTime))
	if r.ContentLength > int64(set.MaxBody) {
		reject(w, http.StatusRequestEntityTooLarge, fmt.Errorf("body: %d bytes are too many", r.ContentLength))
		return
	}
	c, err := s.parse(r)
	if err != nil {
		reject(w, http.StatusBadRequest, err)
		return
	}
	c.body = make([]byte, r.ContentLength)
	if _, err := io.ReadFull(r.Body, c.body); err != nil {
		reject(w, http.StatusBadRequest, fmt.Errorf("body: %w", err))
		return
	}
	id := r.Header.Get("X-Request-ID")
	if !s.open(id) {
		reject(w, http.StatusConflict, errors.New("X-Request-ID: a request with it is open"))
		return
	}
	defer s.closed(id)
	if conn, ok := r.Context().Value(connKey{}).(*guest); ok {
		s.reached(conn, taken)
		came = conn.came()
	}
	control.SetReadDeadline(time.Time{})

	margin := min(set.AnswerMargin, c.Budget/10)
	ctx, cancel := context.WithDeadline(r.Context(), came.Add(c.Budget-margin))
	defer cancel()
	c.Budget -= 2*margin + time.Since(came)
	f := s.engine.serve(ctx, c)
	control.SetWriteDeadline(time.Now().Add(set.WriteTime))
	writeFinal(w, f)
}

// checkFraming returns an error for a request whose end can be read in two ways: its body
// may hide another request. net/http drops a Content-Length beside a Transfer-Encoding, and
// a Transfer-Encoding of HTTP/1.0, before they can be compared; callers send lengths.
func checkFraming(r *http.Request) error {
	if len(r.TransferEncoding) > 0 {
		return errors.New("Transfer-Encoding: not taken, send a Content-Length")
	}
	if !r.ProtoAtLeast(1, 1) {
		return fmt.Errorf("%s: not taken, send HTTP/1.1", r.Proto)
	}
	return nil
}

// reject answers a request that can't be used. What follows it on its connection can't be
// trusted, so that is closed.
func reject(w http.ResponseWriter, status int, err error) {
	w.Header().Set("Connection", "close")
	http.Error(w, err.Error(), status)
}

// writeFinal writes a final answer. Only a refusal is worded 503: it tells the
// caller that trying again does no harm.
func writeFinal(w http.ResponseWriter, f final) {
	switch {
	case f.served:
		if f.contentType != "" {
			w.Header().Set("Content-Type", f.contentType)
		}
		w.Header().Set("Content-Length", strconv.Itoa(len(f.body)))
		w.Write(f.body)
	case f.refused:
		if f.retryAfter > 0 {
			w.Header().Set("Retry-After", strconv.FormatFloat(f.retryAfter.Seconds(), 'f', 3, 64))
		}
		http.Error(w, "refused", http.StatusServiceUnavailable)
	default:
		http.Error(w, "failed", http.StatusBadGateway)
	}
}

// hopHeaders concern one connection only, and are not sent on.
var hopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect",
}

// ownHeaders are those of the protocol, in canonical form.
var ownHeaders = []string{
	"X-Request-Id", "X-Priority-Class", "X-Tenant-Id", "X-Timeout", "X-Retried", "X-Cost", "X-Attrs", "Idempotency-Key",
}

// parse reads a request's header. An error names the field at fault.
func (s *Server) parse(r *http.Request) (*call, error) {
	c := &call{method: r.Method, url: r.URL, host: r.Host, header: maps.Clone(r.Header)}
	for _, named := range r.Header.Values("Connection") {
		for name := range strings.SplitSeq(named, ",") {
			c.header.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopHeaders {
		c.header.Del(name)
	}
	if r.Method != http.MethodGet && r.Method != http.MethodPost {
		return nil, fmt.Errorf("method %.20q: neither GET nor POST", r.Method)
	}
	for _, name := range ownHeaders {
		if len(r.Header[name]) > 1 { // an endpoint may read another than the first
			return nil, fmt.Errorf("%s: given more than once", name)
		}
	}
	if id := r.Header.Get("X-Request-ID"); id == "" || len(id) > maxID {
		return nil, errors.New("X-Request-ID: missing or too long")
	}
	var ok bool
	class := r.Header.Get("X-Priority-Class")
	if c.Class, ok = s.cfg.Classes[class]; !ok {
		return nil, fmt.Errorf("X-Priority-Class: unknown class %.40q", class)
	}
	// A keyed request without its key would be sent again to endpoints that can't tell it for a repeat.
	if s.cfg.Module.Classes[c.Class].Semantics == balance.Keyed && r.Header.Get("Idempotency-Key") == "" {
		return nil, fmt.Errorf("Idempotency-Key: missing for class %q", class)
	}
	if tenant := r.Header.Get("X-Tenant-Id"); tenant != "" && len(s.cfg.Tenants) > 0 {
		if c.Tenant, ok = s.cfg.Tenants[tenant]; !ok {
			return nil, fmt.Errorf("X-Tenant-Id: unknown tenant %.40q", tenant)
		}
	}
	c.Budget = s.cfg.Module.Classes[c.Class].Deadline
	if text := r.Header.Get("X-Timeout"); text != "" {
		budget, ok := parseTimeout(text)
		if !ok {
			return nil, fmt.Errorf("X-Timeout: bad value %.40q", text)
		}
		c.Budget = min(budget, c.Budget) // no client of the class waits for longer
	}
	if text := r.Header.Get("X-Cost"); text != "" {
		us, err := strconv.ParseFloat(text, 64)
		if err != nil || !(us >= 0 && us < maxTimeout.Seconds()*1e6) {
			return nil, fmt.Errorf("X-Cost: bad value %.40q", text)
		}
		c.Work = time.Duration(us * float64(time.Microsecond))
	}
	c.Repeat = r.Header.Get("X-Retried") == "1"
	return c, nil
}

// maxTimeout bounds what a caller may ask for.
const maxTimeout = time.Hour

// parseTimeout reads a number with the unit m (milliseconds) or u (microseconds).
func parseTimeout(text string) (time.Duration, bool) {
	unit := time.Millisecond
	number, ok := strings.CutSuffix(text, "m")
	if !ok {
		unit = time.Microsecond
		if number, ok = strings.CutSuffix(text, "u"); !ok {
			return 0, false
		}
	}
	v, err := strconv.ParseFloat(number, 64)
	d := v * float64(unit)
	if err != nil || math.IsNaN(d) || d < 1 || d > float64(maxTimeout) {
		return 0, false
	}
	return time.Duration(d), true
}
