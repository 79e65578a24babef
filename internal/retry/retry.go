// Package retry says what may still become of a request whose body is passed on as it arrives:
// by its class, by what is left of its body, and by what its attempts may have done. It is the
// table of docs/operators/bodies.md, held against the decision module by exhaustive test, and the
// one rule that the module can't keep since it is about the moment of a last byte: [Gate].
package retry

import (
	"strings"
	"sync"
	"time"

	"barleydrum.example/barleydrum/balance"
	"barleydrum.example/barleydrum/internal/body"
)

// AttemptHistory says what the attempts of a request that have ended may have done.
type AttemptHistory uint8

// The pasts.
const (
	NoAttempts      AttemptHistory = iota // there was none
	NotExecuted                           // none can have run
	MayHaveExecuted                       // one may have
)

// Permissions says what may become of a request.
type Permissions struct {
	Retry  bool // another attempt, none being out
	Hedge  bool // another beside one that is out
	Refuse bool // an answer that trying again is harmless, no attempt being out
}

// Allowed tells what a request of a class may become. inScope tells, for a keyed one that may
// have run, that an endpoint is at hand which drops its repeats, and still remembers it.
func Allowed(s balance.Semantics, scope balance.Scope, state body.State, past AttemptHistory, inScope bool) Permissions {
	repeatable := s == balance.Safe || s == balance.Keyed && inScope
	return Permissions{
		// Nothing goes out without its body. Where none went out yet the body is there: a body is
		// never let go of before an attempt has read it.
		Retry: past == NoAttempts || state != body.Unavailable && (past == NotExecuted || repeatable),
		// A copy beside an upload would have to be fed at two speeds, and helps nobody: the first
		// waits for the caller, not for its endpoint.
		Hedge: state == body.Retained && repeatable,
		// A caller that still has the body may send it again, whether it is kept here or not.
		Refuse: s == balance.Safe || s == balance.Keyed && scope == balance.ScopeAll || past != MayHaveExecuted,
	}
}

// NeverExecuted tells whether an attempt that ended so can't have run.
func NeverExecuted(r balance.Result) bool {
	return r == balance.Rejected || r == balance.ConnectFailed || r == balance.NotSent
}

// CompletionGate is asked before the last byte of each attempt's body goes out: an endpoint begins a request
// when it has come. The module decides at the first byte, and with a long body the two are far
// apart: an attempt that was sent in time could be whole, and run, after the endpoints have
// forgotten the key under which another ran. The zero value lets all pass. It is safe for
// concurrent use.
type CompletionGate struct {
	mu          sync.Mutex
	window      time.Duration // 0 for none
	completions []completion
}

type completion struct {
	attempt     int
	completedAt time.Duration
}

// Reset makes the gate that of a new request.
func (g *CompletionGate) Reset(s balance.Semantics, window time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.window, g.completions = 0, nil
	if s == balance.Keyed {
		g.window = window
	}
}

// TryComplete tells whether an attempt may become whole now: while a repeat of each other that may have
// run by then is still dropped.
func (g *CompletionGate) TryComplete(attempt int, now time.Duration) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, p := range g.completions {
		if p.attempt != attempt && g.window > 0 && now-p.completedAt >= g.window {
			return false
		}
	}
	g.completions = append(g.completions, completion{attempt, now})
	return true
}

// MarkNotExecuted takes back an attempt that turned out never to have run.
func (g *CompletionGate) MarkNotExecuted(attempt int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	keep := g.completions[:0]
	for _, p := range g.completions {
		if p.attempt != attempt {
			keep = append(keep, p)
		}
	}
	g.completions = keep
}

// TableRows are those of the table, for docs/operators/bodies.md: the body's state, the past, and what
// each kind of class may then become.
func TableRows() [][]string {
	states := []string{body.Receiving: "arriving, kept so far", body.Retained: "whole and kept", body.Unavailable: "not kept"}
	pasts := []string{NoAttempts: "no attempt yet", NotExecuted: "none can have run", MayHaveExecuted: "one may have run"}
	kinds := []struct {
		s       balance.Semantics
		scope   balance.Scope
		inScope bool
	}{
		{balance.Safe, 0, false}, {balance.Keyed, balance.ScopeAll, true}, {balance.Keyed, balance.ScopeAll, false},
		{balance.Keyed, balance.ScopeZone, true}, {balance.Keyed, balance.ScopeZone, false}, {balance.Unsafe, 0, false},
	}
	rows := [][]string{{"body", "attempts that have ended", "safe", "keyed, all", "keyed, all, too late", "keyed, zone or cell", "keyed, zone or cell, too late or none left there", "unsafe"}}
	for state, name := range states {
		for past, was := range pasts {
			if past == int(NoAttempts) && state == int(body.Unavailable) {
				continue // it can't be
			}
			row := []string{name, was}
			for _, k := range kinds {
				row = append(row, Allowed(k.s, k.scope, body.State(state), AttemptHistory(past), k.inScope).String())
			}
			rows = append(rows, row)
		}
	}
	return rows
}

func (m Permissions) String() string {
	var can []string
	for _, c := range []struct {
		may  bool
		what string
	}{{m.Retry, "again"}, {m.Hedge, "copy"}, {m.Refuse, "refuse"}} {
		if c.may {
			can = append(can, c.what)
		}
	}
	if len(can) == 0 {
		return "fail only"
	}
	return strings.Join(can, ", ")
}
