// Package retry holds the rules for retrying, hedging and refusing a request whose body is streamed.
// They depend on its class, on the state of its body, and on what its earlier attempts may have done.
// The rules are the table of docs/operators/bodies.md; an exhaustive test compares it with the
// balancer. One rule is enforced here, not by the balancer, because it depends on when the last byte
// of a body is sent: [CompletionGate].
package retry

import (
	"strings"
	"sync"
	"time"

	"barleydrum.example/barleydrum/balance"
	"barleydrum.example/barleydrum/internal/body"
)

// AttemptHistory states what the ended attempts of a request may have done.
type AttemptHistory uint8

// The attempt histories.
const (
	NoAttempts      AttemptHistory = iota // there was no attempt yet
	NotExecuted                           // no ended attempt can have run
	MayHaveExecuted                       // an ended attempt may have run
)

// Permissions are what the sidecar may do with a request.
type Permissions struct {
	Retry  bool // send another attempt while none is in flight
	Hedge  bool // send another attempt beside one that is in flight
	Refuse bool // while no attempt is in flight, respond that it is harmless to send the request again
}

// Allowed returns what may be done with a request. inScope, used for keyed classes only, states that an
// endpoint is available that drops a repeat if the request has run: the endpoint is within the scope of
// the idempotency key, and still remembers the key.
func Allowed(semantics balance.Semantics, scope balance.Scope, state body.State, history AttemptHistory, inScope bool) Permissions {
	repeatable := semantics == balance.Safe || semantics == balance.Keyed && inScope
	return Permissions{
		// No attempt is sent without the body. Before the first attempt the body is available: it
		// is never discarded before an attempt has read it.
		Retry: history == NoAttempts || state != body.Unavailable && (history == NotExecuted || repeatable),
		// A hedge during an upload would need the body at a second rate, and would not help: the
		// first attempt waits for the caller, not for its endpoint.
		Hedge: state == body.Retained && repeatable,
		// A caller that still has the body may send it again, whether the sidecar retains it or not.
		Refuse: semantics == balance.Safe || semantics == balance.Keyed && scope == balance.ScopeAll || history != MayHaveExecuted,
	}
}

// NeverExecuted reports whether an attempt that ended with this result can't have run.
func NeverExecuted(r balance.Result) bool {
	return r == balance.Rejected || r == balance.ConnectFailed || r == balance.NotSent
}

// CompletionGate decides whether the last byte of an attempt's body may be sent. An endpoint starts a
// request when that byte arrives, but the balancer decides on an attempt before its first byte. With a
// long body the two are far apart: without the gate, an attempt that started in time could be complete,
// and run, after the endpoints have forgotten the idempotency key under which another attempt ran.
// The zero value allows everything. A CompletionGate is safe for concurrent use.
type CompletionGate struct {
	mu          sync.Mutex
	window      time.Duration // for which endpoints remember a key; 0 for no limit
	completions []completion
}

// completion is an attempt whose body was allowed to be sent to the end.
type completion struct {
	attempt     int
	completedAt time.Duration // on the clock of TryComplete
}

// Reset prepares the gate for a new request. Only keyed requests are limited, by the time window for
// which endpoints remember an idempotency key; 0 stands for no limit.
func (g *CompletionGate) Reset(semantics balance.Semantics, window time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.window, g.completions = 0, nil
	if semantics == balance.Keyed {
		g.window = window
	}
}

// TryComplete reports whether the last byte of an attempt's body may be sent now, and if so records the
// attempt. The byte may be sent only while endpoints still drop a repeat of every other recorded attempt:
// less than the window after each of them. now must be of the same clock for all calls.
func (g *CompletionGate) TryComplete(attempt int, now time.Duration) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, c := range g.completions {
		if c.attempt != attempt && g.window > 0 && now-c.completedAt >= g.window {
			return false
		}
	}
	g.completions = append(g.completions, completion{attempt, now})
	return true
}

// MarkNotExecuted removes an attempt that can't have run, so that it no longer limits others.
func (g *CompletionGate) MarkNotExecuted(attempt int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	remaining := g.completions[:0]
	for _, c := range g.completions {
		if c.attempt != attempt {
			remaining = append(remaining, c)
		}
	}
	g.completions = remaining
}

// TableRows returns the rows of the table in docs/operators/bodies.md, the first being its heading: the
// state of the body, the attempt history, and what may be done with a request of each kind of class.
func TableRows() [][]string {
	states := []string{body.Receiving: "arriving, kept so far", body.Retained: "whole and kept", body.Unavailable: "not kept"}
	histories := []string{NoAttempts: "no attempt yet", NotExecuted: "none can have run", MayHaveExecuted: "one may have run"}
	kinds := []struct {
		semantics balance.Semantics
		scope     balance.Scope
		inScope   bool
	}{
		{balance.Safe, 0, false}, {balance.Keyed, balance.ScopeAll, true}, {balance.Keyed, balance.ScopeAll, false},
		{balance.Keyed, balance.ScopeZone, true}, {balance.Keyed, balance.ScopeZone, false}, {balance.Unsafe, 0, false},
	}
	rows := [][]string{{"body", "attempts that have ended", "safe", "keyed, all", "keyed, all, too late", "keyed, zone or cell", "keyed, zone or cell, too late or none left there", "unsafe"}}
	for state, stateText := range states {
		for history, historyText := range histories {
			if history == int(NoAttempts) && state == int(body.Unavailable) {
				continue // impossible: a body is not discarded before an attempt has read it
			}
			row := []string{stateText, historyText}
			for _, k := range kinds {
				row = append(row, Allowed(k.semantics, k.scope, body.State(state), AttemptHistory(history), k.inScope).String())
			}
			rows = append(rows, row)
		}
	}
	return rows
}

// String returns the permissions in the words of the table in docs/operators/bodies.md.
func (p Permissions) String() string {
	var texts []string
	for _, permission := range []struct {
		allowed bool
		text    string
	}{{p.Retry, "again"}, {p.Hedge, "copy"}, {p.Refuse, "refuse"}} {
		if permission.allowed {
			texts = append(texts, permission.text)
		}
	}
	if len(texts) == 0 {
		return "fail only"
	}
	return strings.Join(texts, ", ")
}
