package sidecar

import (
	"errors"
	"io"
	"log/slog"
	"net/http"
	"time"

	"barleydrum.example/barleydrum/internal/body"
	"barleydrum.example/barleydrum/internal/engine"
	"barleydrum.example/barleydrum/internal/http1"
	"barleydrum.example/barleydrum/internal/httpserver"
	"barleydrum.example/barleydrum/internal/upstream"
)

// StreamStats counts requests and answers whose bodies were passed on as they arrived.
type StreamStats struct {
	OpenRequests     int   // requests that are
	AcceptedRequests int64 // requests in all
	RefusedRequests  int64 // for there being too many open
	Responses        int64 // in all
	IncompleteBodies int64 // requests or answers that did not come whole
	SlowCallers      int64 // among those, for a caller's pace
	SlowEndpoints    int64 // or an endpoint's
	reported         time.Time
}

// reportEvery is the least time between two lines in the log about bodies.
const reportEvery = 10 * time.Second

// StreamStats tells what has flowed.
func (s *Server) StreamStats() (StreamStats, body.Stats) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.flows, s.bodies.Stats()
}

// enter takes a place for a body that flows.
func (s *Server) enter(most int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.flows.OpenRequests >= most {
		s.flows.RefusedRequests++
		return false
	}
	s.flows.OpenRequests++
	s.flows.AcceptedRequests++
	return true
}

func (s *Server) leave() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.flows.OpenRequests--
}

// broke notes why a body did not come whole, and says now and then in the log what bodies do.
func (s *Server) broke(err error) {
	s.mu.Lock()
	f := &s.flows
	f.IncompleteBodies++
	switch {
	case errors.Is(err, httpserver.ErrCallerTooSlow), errors.Is(err, httpserver.ErrStreamDeadline):
		f.SlowCallers++
	case errors.Is(err, upstream.ErrEndpointTooSlow):
		f.SlowEndpoints++
	}
	now := time.Now()
	report := now.Sub(f.reported) >= reportEvery
	if report {
		f.reported = now
	}
	was := *f
	s.mu.Unlock()
	if !report {
		return
	}
	held := s.bodies.Stats()
	slog.Info("bodies", "why", err, "open", was.OpenRequests, "taken", was.AcceptedRequests, "refused", was.RefusedRequests, "answers", was.Responses,
		"broken", was.IncompleteBodies, "slow callers", was.SlowCallers, "slow endpoints", was.SlowEndpoints,
		"kept in memory", held.MemoryBytes, "files", held.OpenFiles, "in files", held.FileBytes, "not kept", held.DiscardedBodies, "file errors", held.FileErrors)
}

// flow serves a call whose body is still arriving.
func (s *Server) flow(x *httpserver.Exchange, c *engine.Call) {
	set := &s.engine.Settings().Streams
	if !s.enter(set.MaxOpenRequests) {
		s.engine.ReleaseCall(c)
		x.Close = true // its body is not read
		s.word(x, engine.FinalResult{Refused: true, RetryAfter: s.cfg.BalancerConfig.Limits.MaxRetryAfter})
		return
	}
	defer s.leave()
	b := s.bodies.New(set.BodyLimits(), c.MarkBodyUnavailable)
	defer b.Close() // also where there is a panic
	c.StreamedBody, c.StreamedBodyLength, c.BodyArriving = b, x.RequestHead().ContentLength(), true
	if x.RequestHead().Framing() == http1.Chunked {
		c.StreamedBodyLength = -1
	}
	here := x.NotifyDisconnect(c)
	var broken error // its goroutine's until StopUpload
	x.ReceiveBody(b, httpserver.StreamLimits{MaxBytes: int64(set.MaxRequestBody), RateMeter: set.RateMeter(), Deadline: c.Deadline}, func(err error) {
		if err == nil {
			c.MarkBodyComplete()
			return
		}
		broken = err
		c.Cancel()
	})
	f := s.engine.Serve(c, !here)
	x.StopNotifyDisconnect()
	if f.Streaming {
		b.StopRetaining()
		s.pass(x, c, f)
	}
	b.Close()
	x.StopReceiving()
	if !f.Streaming {
		s.wordFlow(x, f, broken)
	}
	s.engine.ReleaseCall(c)
}

// wordFlow words the final answer to a request whose body may not have come whole: then nothing
// can have run, and the caller is told what was wrong with it.
func (s *Server) wordFlow(x *httpserver.Exchange, f engine.FinalResult, broken error) {
	if broken == nil || errors.Is(broken, body.ErrClosed) || f.ServedBy != nil || f.Refused {
		s.word(x, f)
		return
	}
	s.broke(broken)
	status := http.StatusBadRequest
	wrong := (*http1.Error)(nil)
	switch {
	case errors.As(broken, &wrong):
		status = wrong.Status
	case errors.Is(broken, httpserver.ErrBodyTooLarge):
		status = http.StatusRequestEntityTooLarge
	case errors.Is(broken, httpserver.ErrCallerTooSlow), errors.Is(broken, httpserver.ErrStreamDeadline):
		status = http.StatusRequestTimeout
	}
	x.Respond(status, plain, nil, []byte(broken.Error()+"\n"))
}

// responseCanceler ends an answer that flows as its caller goes.
type responseCanceler struct{ x *upstream.Exchange }

func (l responseCanceler) Cancel() { l.x.Cancel(upstream.ErrCanceled) }

// pass passes an answer on as it comes. If it breaks off, so does the caller's, who sees that.
func (s *Server) pass(x *httpserver.Exchange, c *engine.Call, f engine.FinalResult) {
	s.mu.Lock()
	s.flows.Responses++
	s.mu.Unlock()
	if !x.NotifyDisconnect(responseCanceler{f.ServedBy}) {
		s.broke(httpserver.ErrCallerDisconnected)
		return
	}
	defer x.StopNotifyDisconnect()
	set := &s.engine.Settings().Streams
	err := x.StartResponse(http.StatusOK, fieldsOf(f.ServedBy), f.ServedBy.ResponseBodyLength(), httpserver.StreamLimits{RateMeter: set.RateMeter(), Deadline: c.Deadline})
	for err == nil {
		var p []byte
		if p, err = f.ServedBy.NextResponseData(); err == io.EOF {
			err = x.FinishResponse(f.ServedBy.ResponseTrailers())
			break
		}
		if err == nil {
			err = x.WriteBody(p)
		}
	}
	if err != nil {
		s.broke(err)
	}
}
