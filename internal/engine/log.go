package engine

import (
	"context"
	"log/slog"

	"barleydrum.example/barleydrum/balance"
)

// resultNames are the names of an attempt's results in the log.
var resultNames = [...]string{
	balance.OK: "ok", balance.Error: "error", balance.Rejected: "rejected", balance.Timeout: "timeout",
	balance.ConnectFailed: "connect failed", balance.Reset: "reset", balance.Canceled: "canceled", balance.NotSent: "not sent",
}

// debugEnabled tells whether events of single requests are logged.
func debugEnabled() bool { return slog.Default().Enabled(context.Background(), slog.LevelDebug) }

// logAttemptStart logs the begin of an attempt.
func logAttemptStart(x *attempt) {
	if debugEnabled() {
		slog.Debug("attempt begun", "request", x.call.CallerRequestID, "attempt", x.index, "endpoint", x.endpoint.name, "left service", x.endpoint.outOfService)
	}
}

// logAttemptEnd logs the end of an attempt, and why it has no answer.
func logAttemptEnd(x *attempt, o *balance.Outcome) {
	if debugEnabled() {
		slog.Debug("attempt ended", "request", x.call.CallerRequestID, "attempt", x.index, "endpoint", x.endpoint.name,
			"result", resultNames[o.Result], "why", x.Err(), "elapsed", o.Elapsed, "after the answer", o.RequestFinished)
	}
}

// logFinalResult logs the final answer to a request: what decided it is the module's answer, an attempt's, or
// that the caller has gone or its time is up.
func logFinalResult(c *Call, f *FinalResult, decidedBy string) {
	if !debugEnabled() {
		return
	}
	kind := "failed"
	switch {
	case f.ServedBy != nil:
		kind = "served"
	case f.Refused:
		kind = "refused"
	}
	slog.Debug("request answered", "request", c.CallerRequestID, "answer", kind, "by", decidedBy, "attempts", len(c.attempts), "retry after", f.RetryAfter)
}
