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
	lastLoggedAt     time.Time
}

// streamLogInterval is the least time between two lines in the log about bodies.
const streamLogInterval = 10 * time.Second

// StreamStats tells what has flowed.
func (s *Server) StreamStats() (StreamStats, body.Stats) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.streamStats, s.bodies.Stats()
}

// acquireStream takes a place for a body that flows.
func (s *Server) acquireStream(most int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.streamStats.OpenRequests >= most {
		s.streamStats.RefusedRequests++
		return false
	}
	s.streamStats.OpenRequests++
	s.streamStats.AcceptedRequests++
	return true
}

func (s *Server) releaseStream() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.streamStats.OpenRequests--
}

// recordIncompleteBody notes why a body did not come whole, and says now and then in the log what bodies do.
func (s *Server) recordIncompleteBody(err error) {
	s.mu.Lock()
	f := &s.streamStats
	f.IncompleteBodies++
	switch {
	case errors.Is(err, httpserver.ErrCallerTooSlow), errors.Is(err, httpserver.ErrStreamDeadline):
		f.SlowCallers++
	case errors.Is(err, upstream.ErrEndpointTooSlow):
		f.SlowEndpoints++
	}
	now := time.Now()
	report := now.Sub(f.lastLoggedAt) >= streamLogInterval
	if report {
		f.lastLoggedAt = now
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

// serveStreamedRequest serves a call whose body is still arriving.
func (s *Server) serveStreamedRequest(x *httpserver.Exchange, c *engine.Call) {
	set := &s.engine.Settings().Streams
	if !s.acquireStream(set.MaxOpenRequests) {
		s.engine.ReleaseCall(c)
		x.Close = true // its body is not read
		s.respond(x, engine.FinalResult{Refused: true, RetryAfter: s.cfg.BalancerConfig.Limits.MaxRetryAfter})
		return
	}
	defer s.releaseStream()
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
		s.streamResponse(x, c, f)
	}
	b.Close()
	x.StopReceiving()
	if !f.Streaming {
		s.respondToStreamedRequest(x, f, broken)
	}
	s.engine.ReleaseCall(c)
}

// respondToStreamedRequest words the final answer to a request whose body may not have come whole: then nothing
// can have run, and the caller is told what was wrong with it.
func (s *Server) respondToStreamedRequest(x *httpserver.Exchange, f engine.FinalResult, broken error) {
	if broken == nil || errors.Is(broken, body.ErrClosed) || f.ServedBy != nil || f.Refused {
		s.respond(x, f)
		return
	}
	s.recordIncompleteBody(broken)
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
	x.Respond(status, contentTypeText, nil, []byte(broken.Error()+"\n"))
}

// responseCanceler ends an answer that flows as its caller goes.
type responseCanceler struct{ exchange *upstream.Exchange }

func (l responseCanceler) Cancel() { l.exchange.Cancel(upstream.ErrCanceled) }

// streamResponse passes an answer on as it comes. If it breaks off, so does the caller's, who sees that.
func (s *Server) streamResponse(x *httpserver.Exchange, c *engine.Call, f engine.FinalResult) {
	s.mu.Lock()
	s.streamStats.Responses++
	s.mu.Unlock()
	if !x.NotifyDisconnect(responseCanceler{f.ServedBy}) {
		s.recordIncompleteBody(httpserver.ErrCallerDisconnected)
		return
	}
	defer x.StopNotifyDisconnect()
	set := &s.engine.Settings().Streams
	err := x.StartResponse(http.StatusOK, responseFieldAppender(f.ServedBy), f.ServedBy.ResponseBodyLength(), httpserver.StreamLimits{RateMeter: set.RateMeter(), Deadline: c.Deadline})
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
		s.recordIncompleteBody(err)
	}
}
