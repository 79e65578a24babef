package engine

import (
	"context"
	"log/slog"

	"barleydrum.example/barleydrum/balance"
)

// resultNames are the values of the log key "result".
var resultNames = [...]string{
	balance.OK: "ok", balance.Error: "error", balance.Rejected: "rejected", balance.Timeout: "timeout",
	balance.ConnectFailed: "connect failed", balance.Reset: "reset", balance.Canceled: "canceled", balance.NotSent: "not sent",
}

// debugEnabled reports whether events of single requests are logged.
func debugEnabled() bool { return slog.Default().Enabled(context.Background(), slog.LevelDebug) }

// logAttemptStart logs the start of an attempt.
func logAttemptStart(a *attempt) {
	if debugEnabled() {
		slog.Debug("attempt begun", "request", a.call.CallerRequestID, "attempt", a.index, "endpoint", a.endpoint.name, "left service", a.endpoint.outOfService)
	}
}

// logAttemptEnd logs the end of an attempt, with the error if it has no usable response.
func logAttemptEnd(a *attempt, outcome *balance.Outcome) {
	if debugEnabled() {
		slog.Debug("attempt ended", "request", a.call.CallerRequestID, "attempt", a.index, "endpoint", a.endpoint.name,
			"result", resultNames[outcome.Result], "why", a.Err(), "elapsed", outcome.Elapsed, "after the answer", outcome.RequestFinished)
	}
}

// logFinalResult logs the final result of a request. decidedBy names what decided it: the balancer, an
// attempt, a deadline that passed, or a caller that disconnected.
func logFinalResult(c *Call, result *FinalResult, decidedBy string) {
	if !debugEnabled() {
		return
	}
	kind := "failed"
	switch {
	case result.ServedBy != nil:
		kind = "served"
	case result.Refused:
		kind = "refused"
	}
	slog.Debug("request ended", "request", c.CallerRequestID, "answer", kind, "by", decidedBy, "attempts", len(c.attempts), "retry after", result.RetryAfter)
}
