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

// StreamStats counts streamed requests and responses: those whose bodies are forwarded as they arrive.
// All fields but OpenRequests count since the start of the process.
type StreamStats struct {
	OpenRequests     int       // streamed requests being served
	AcceptedRequests int64     // streamed requests accepted
	RefusedRequests  int64     // streamed requests refused because too many were open
	Responses        int64     // streamed responses started
	IncompleteBodies int64     // bodies of requests or responses that were not completed
	SlowCallers      int64     // incomplete bodies because the caller was too slow or its deadline passed
	SlowEndpoints    int64     // incomplete bodies because the endpoint was too slow
	lastLoggedAt     time.Time // when the counts were last logged
}

// streamLogInterval is the minimum time between two log lines about incomplete bodies.
const streamLogInterval = 10 * time.Second

// StreamStats returns the counts of streamed bodies and what the body store holds.
func (s *Server) StreamStats() (StreamStats, body.Stats) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.streamStats, s.bodies.Stats()
}

// acquireStream counts a streamed request as open. It reports false, and counts the request as
// refused, if maxOpen are open already. The caller must call releaseStream after true.
func (s *Server) acquireStream(maxOpen int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.streamStats.OpenRequests >= maxOpen {
		s.streamStats.RefusedRequests++
		return false
	}
	s.streamStats.OpenRequests++
	s.streamStats.AcceptedRequests++
	return true
}

// releaseStream ends what acquireStream started.
func (s *Server) releaseStream() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.streamStats.OpenRequests--
}

// recordIncompleteBody counts a body that was not completed because of err. It logs the counts at
// most once per streamLogInterval.
func (s *Server) recordIncompleteBody(err error) {
	s.mu.Lock()
	stats := &s.streamStats
	stats.IncompleteBodies++
	switch {
	case errors.Is(err, httpserver.ErrCallerTooSlow), errors.Is(err, httpserver.ErrStreamDeadline):
		stats.SlowCallers++
	case errors.Is(err, upstream.ErrEndpointTooSlow):
		stats.SlowEndpoints++
	}
	now := time.Now()
	logDue := now.Sub(stats.lastLoggedAt) >= streamLogInterval
	if logDue {
		stats.lastLoggedAt = now
	}
	counts := *stats
	s.mu.Unlock()
	if !logDue {
		return
	}
	stored := s.bodies.Stats()
	slog.Info("streamed body incomplete", "why", err, "open", counts.OpenRequests, "taken", counts.AcceptedRequests, "refused", counts.RefusedRequests, "answers", counts.Responses,
		"broken", counts.IncompleteBodies, "slow callers", counts.SlowCallers, "slow endpoints", counts.SlowEndpoints,
		"kept in memory", stored.MemoryBytes, "files", stored.OpenFiles, "in files", stored.FileBytes, "not kept", stored.DiscardedBodies, "file errors", stored.FileErrors)
}

// serveStreamedRequest serves a request whose body is still arriving. It releases the call. abandoned reports that the
// caller left although the request may have run.
func (s *Server) serveStreamedRequest(x *httpserver.Exchange, call *engine.Call) (abandoned bool) {
	settings := &s.engine.Settings().Streams
	if !s.acquireStream(settings.MaxOpenRequests) {
		s.engine.ReleaseCall(call)
		x.CloseAfterResponse = true // the body is not read
		s.respond(x, engine.FinalResult{Refused: true, RetryAfter: s.cfg.BalancerConfig.Limits.MaxRetryAfter})
		return false
	}
	defer s.releaseStream()
	requestBody := s.bodies.New(settings.BodyLimits(), call.MarkBodyUnavailable)
	defer requestBody.Close() // in case of a panic
	call.StreamedBody, call.StreamedBodyLength, call.BodyArriving = requestBody, x.RequestHead().ContentLength(), true
	if x.RequestHead().Framing() == http1.Chunked {
		call.StreamedBodyLength = -1
	}
	connected := x.NotifyDisconnect(call)
	var receiveErr error // written by the receiving goroutine; read only after StopReceiving
	x.ReceiveBody(requestBody, httpserver.StreamLimits{MaxBytes: int64(settings.MaxRequestBody), RateMeter: settings.RateMeter(), Deadline: call.Deadline}, func(err error) {
		if err == nil {
			call.MarkBodyComplete()
			return
		}
		receiveErr = err
		call.Cancel()
	})
	result := s.engine.Serve(call, !connected)
	x.StopNotifyDisconnect()
	abandoned = result.Forwarded && x.CallerDisconnected()
	if result.Streaming {
		requestBody.StopRetaining()
		s.streamResponse(x, call, result)
	}
	requestBody.Close()
	x.StopReceiving()
	if !result.Streaming {
		s.respondToStreamedRequest(x, result, receiveErr)
	}
	s.engine.ReleaseCall(call)
	return abandoned
}

// respondToStreamedRequest writes the response to a streamed request whose response is not streamed.
// If receiving the body failed, the request can't have run anywhere: the response is then a 4xx with
// the text of receiveErr.
func (s *Server) respondToStreamedRequest(x *httpserver.Exchange, result engine.FinalResult, receiveErr error) {
	if receiveErr == nil || errors.Is(receiveErr, body.ErrClosed) || result.ServedBy != nil || result.Refused {
		s.respond(x, result)
		return
	}
	s.recordIncompleteBody(receiveErr)
	status := http.StatusBadRequest
	httpErr := (*http1.Error)(nil)
	switch {
	case errors.As(receiveErr, &httpErr):
		status = httpErr.Status
	case errors.Is(receiveErr, httpserver.ErrBodyTooLarge):
		status = http.StatusRequestEntityTooLarge
	case errors.Is(receiveErr, httpserver.ErrCallerTooSlow), errors.Is(receiveErr, httpserver.ErrStreamDeadline):
		status = http.StatusRequestTimeout
	}
	x.Respond(status, contentTypeText, nil, []byte(receiveErr.Error()+"\n"))
}

// responseCanceler implements [httpserver.Canceler]. It cancels the endpoint's side of a streamed
// response when the caller disconnects.
type responseCanceler struct{ exchange *upstream.Exchange }

// Cancel implements [httpserver.Canceler].
func (c responseCanceler) Cancel() { c.exchange.Cancel(upstream.ErrCanceled) }

// streamResponse forwards the endpoint's response as it arrives. If that response is truncated, the
// caller's response is truncated too, so that the caller detects the failure.
func (s *Server) streamResponse(x *httpserver.Exchange, call *engine.Call, result engine.FinalResult) {
	s.mu.Lock()
	s.streamStats.Responses++
	s.mu.Unlock()
	if !x.NotifyDisconnect(responseCanceler{result.ServedBy}) {
		s.recordIncompleteBody(httpserver.ErrCallerDisconnected)
		return
	}
	defer x.StopNotifyDisconnect()
	settings := &s.engine.Settings().Streams
	err := x.StartResponse(http.StatusOK, responseFieldAppender(result.ServedBy), result.ServedBy.ResponseBodyLength(), httpserver.StreamLimits{RateMeter: settings.RateMeter(), Deadline: call.Deadline})
	for err == nil {
		var data []byte
		if data, err = result.ServedBy.NextResponseData(); err == io.EOF {
			err = x.FinishResponse(result.ServedBy.ResponseTrailers())
			break
		}
		if err == nil {
			err = x.WriteBody(data)
		}
	}
	if err != nil {
		s.recordIncompleteBody(err)
	}
}
