package httpserver

import (
	"context"
	"log/slog"
	"runtime"
	"time"

	"barleydrum.example/barleydrum/internal/logging"
)

// newEventSampler returns a sampler for a warning about single connections: callers may cause thousands a second.
func newEventSampler() *logging.Sampler {
	return &logging.Sampler{MaxEvents: 20, Interval: time.Second}
}

// memoryLogInterval is the time between two warnings that memory is short.
const memoryLogInterval = 5 * time.Second

// logMemoryShort logs what the memory account holds, at most once in memoryLogInterval.
func (s *Server) logMemoryShort() {
	suppressed, ok := s.memoryLog.Allow(time.Now())
	if !ok {
		return
	}
	s.mu.Lock()
	connections, waiting := len(s.conns), s.waitingConnections()
	s.mu.Unlock()
	stats := s.cfg.Account.Stats()
	slog.Warn("memory is short: requests are refused and connections without progress are closed", "reserved", stats.String(),
		"refusals", stats.RefusalsString(), "connections", connections, "waiting connections", waiting, "goroutines", runtime.NumGoroutine(), "suppressed", suppressed)
}

// logClose logs why a connection closes. The level is Warn if a request is left without a complete
// response and its caller has not disconnected, otherwise Debug.
func (s *Server) logClose(c *conn, reason error) {
	level, message := slog.LevelDebug, "connection closed"
	disconnected := s.callerDisconnected(c)
	var requestID []byte
	if c.responsePending {
		message = "connection closed without a complete response"
		requestID, _ = c.head.Get("X-Request-ID") // the head is valid until the response is sent
		if !disconnected {
			level = slog.LevelWarn
		}
	}
	suppressed := 0
	if level == slog.LevelWarn {
		ok := false
		if suppressed, ok = s.closeLog.Allow(time.Now()); !ok {
			return
		}
	}
	if ctx := context.Background(); slog.Default().Enabled(ctx, level) {
		slog.Log(ctx, level, message, "suppressed", suppressed, "connection", c.id, "reason", reason, "answered", c.responseCount,
			"request", string(requestID), "caller gone", disconnected, "open", time.Since(c.openedAt))
	}
}
