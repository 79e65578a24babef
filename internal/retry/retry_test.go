package retry

import (
	"fmt"
	"os"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"barleydrum.example/barleydrum/balance"
	"barleydrum.example/barleydrum/internal/body"
)

// harness runs a balancer on a simulated clock and records what it decides on one request. Probes
// report idle endpoints at once; timers fire in the order of their due times.
type harness struct {
	t        *testing.T
	balancer *balance.Balancer
	now      time.Duration
	timers   []struct {
		dueAt time.Duration
		timer balance.Timer
	}
	sentTo           []balance.EndpointID // one entry for each attempt, in order
	outcome          string               // "refuse" or "fail" once the balancer has ended a request so
	respondsToProbes bool
}

const (
	targetLatency = 10 * time.Second
	repeatWindow  = 3 * time.Second // longer than the delay before a hedge, shorter than targetLatency
)

// newHarness returns a harness of a balancer with one class and four endpoints in service. If inScope is
// not set, the endpoints of a keyed class forget a request after a millisecond.
func newHarness(t *testing.T, semantics balance.Semantics, scope balance.Scope, inScope bool) *harness {
	h := &harness{t: t, now: time.Hour, respondsToProbes: true}
	class := balance.Class{Name: "k", TargetLatency: targetLatency, Deadline: targetLatency, Value: 1, Semantics: semantics, Scope: scope}
	if semantics == balance.Keyed {
		if class.RepeatWindow = repeatWindow; !inScope {
			class.RepeatWindow = time.Millisecond
		}
	}
	var err error
	h.balancer, err = balance.New(balance.Config{
		SidecarCount: 1, Classes: []balance.Class{class}, Reporting: balance.ReportsInProbe,
		Limits: balance.Limits{MaxAttempts: 6, Hedging: true, Probes: true, Cancel: true, ConnectTimeout: time.Second, KeepAlive: time.Minute},
	}, 1)
	if err != nil {
		t.Fatal(err)
	}
	h.updateEndpoints(balance.InService)
	for id := range balance.RequestID(100) { // quick requests first, so that the balancer hedges a slow one in time
		h.apply(h.balancer.RequestArrived(h.now, balance.Request{ID: 10 + id, Timeout: targetLatency}, nil))
		endpoint := h.sentTo[0]
		h.now += 100 * time.Millisecond
		h.apply(h.balancer.AttemptEnded(h.now, balance.Outcome{Request: 10 + id, Endpoint: endpoint, Result: balance.OK, RequestFinished: true, Elapsed: 100 * time.Millisecond}, nil))
		h.sentTo = nil
	}
	return h
}

// updateEndpoints gives the balancer a full list of four endpoints in the same state.
func (h *harness) updateEndpoints(state balance.EndpointState) {
	var endpoints []balance.Endpoint
	for id := range balance.EndpointID(4) {
		endpoints = append(endpoints, balance.Endpoint{ID: id + 1, State: state, Weight: 1})
	}
	h.apply(h.balancer.EndpointsUpdated(h.now, balance.ListFull, endpoints, nil))
}

// apply carries out the balancer's actions, as far as the tests need them.
func (h *harness) apply(actions []balance.Action) {
	for _, a := range actions {
		switch a.Kind {
		case balance.Send:
			h.sentTo = append(h.sentTo, a.Endpoint)
		case balance.Shed:
			h.outcome = "refuse"
		case balance.Fail:
			h.outcome = "fail"
		case balance.SetTimer:
			h.timers = append(h.timers, struct {
				dueAt time.Duration
				timer balance.Timer
			}{h.now + a.Delay, a.Timer})
		case balance.Probe:
			if h.respondsToProbes {
				h.apply(h.balancer.ProbeEnded(h.now, a.Endpoint, balance.OK, &balance.Load{Queued: -1, Utilization: -1, LatencyMS: -1, ServedPerSecond: -1, FailedPerSecond: -1}, nil))
			}
		}
	}
}

// advance moves the clock forward by d and fires the timers that fall due on the way.
func (h *harness) advance(d time.Duration) {
	for stopAt := h.now + d; ; {
		next := -1
		for i, t := range h.timers {
			if t.dueAt <= stopAt && (next < 0 || t.dueAt < h.timers[next].dueAt) {
				next = i
			}
		}
		if next < 0 {
			h.now = stopAt
			return
		}
		t := h.timers[next]
		h.timers = append(h.timers[:next], h.timers[next+1:]...)
		h.now = max(h.now, t.dueAt)
		h.apply(h.balancer.TimerFired(h.now, t.timer, nil))
	}
}

// startRequest starts a request, checks that its first attempt is sent, and sets the state of its body.
func (h *harness) startRequest(state body.State) {
	h.apply(h.balancer.RequestArrived(h.now, balance.Request{ID: 1, Timeout: targetLatency, BodyArriving: true}, nil))
	if len(h.sentTo) != 1 {
		h.t.Fatalf("%d attempts at the start, want 1", len(h.sentTo))
	}
	switch state {
	case body.Retained:
		h.apply(h.balancer.BodyStateChanged(h.now, 1, balance.BodyComplete, nil))
	case body.Unavailable:
		h.apply(h.balancer.BodyStateChanged(h.now, 1, balance.BodyUnavailable, nil))
	}
}

// endFirstAttempt ends the first attempt with the result r, 10 ms later.
func (h *harness) endFirstAttempt(r balance.Result) {
	h.now += 10 * time.Millisecond
	h.apply(h.balancer.AttemptEnded(h.now, balance.Outcome{Request: 1, Endpoint: h.sentTo[0], Result: r, Elapsed: 10 * time.Millisecond}, nil))
}

// resultByHistory holds the result of a first attempt that leads to each attempt history.
var resultByHistory = map[AttemptHistory]balance.Result{NotExecuted: balance.ConnectFailed, MayHaveExecuted: balance.Error}

// The balancer must retry, refuse and hedge exactly where Allowed, and so the operators' table, permits
// it. Each combination of class, body state and attempt history is run against the balancer.
func TestBalancerMatchesTable(t *testing.T) {
	for _, k := range []struct {
		semantics balance.Semantics
		scope     balance.Scope
		inScope   bool
	}{
		{balance.Safe, 0, true}, {balance.Keyed, balance.ScopeAll, true}, {balance.Keyed, balance.ScopeAll, false},
		{balance.Keyed, balance.ScopeZone, true}, {balance.Keyed, balance.ScopeZone, false},
		{balance.Keyed, balance.ScopeCell, true}, {balance.Keyed, balance.ScopeCell, false}, {balance.Unsafe, 0, true},
	} {
		for _, state := range []body.State{body.Receiving, body.Retained, body.Unavailable} {
			for _, history := range []AttemptHistory{NotExecuted, MayHaveExecuted} {
				name := fmt.Sprintf("semantics %d, scope %d, in scope %v, body %d, history %d", k.semantics, k.scope, k.inScope, state, history)
				want := Allowed(k.semantics, k.scope, state, history, k.inScope)

				h := newHarness(t, k.semantics, k.scope, k.inScope)
				h.startRequest(state)
				h.endFirstAttempt(resultByHistory[history])
				h.advance(targetLatency / 2)
				if got := len(h.sentTo) > 1; got != want.Retry {
					t.Errorf("%s: retried %v, want %v", name, got, want.Retry)
				}

				h = newHarness(t, k.semantics, k.scope, k.inScope)
				h.startRequest(state)
				h.updateEndpoints(balance.Removed)
				h.endFirstAttempt(resultByHistory[history])
				h.advance(2 * targetLatency)
				if got := h.outcome == "refuse"; got != want.Refuse || h.outcome == "" || len(h.sentTo) > 1 {
					t.Errorf("%s: outcome %q, want refused %v", name, h.outcome, want.Refuse)
				}

				h = newHarness(t, k.semantics, k.scope, k.inScope)
				h.startRequest(state)
				h.advance(targetLatency * 9 / 10)
				if got := len(h.sentTo) > 1; got != want.Hedge {
					t.Errorf("%s: hedged %v, want %v", name, got, want.Hedge)
				}
			}
		}
	}
}

// The operators' page must show the table exactly as TableRows prints it; otherwise a change of the rules
// leaves the page behind.
func TestOperatorPageShowsTable(t *testing.T) {
	page, err := os.ReadFile("../../docs/operators/bodies.md")
	if err != nil {
		t.Fatal(err)
	}
	var want strings.Builder
	for i, row := range TableRows() {
		fmt.Fprintf(&want, "| %s |\n", strings.Join(row, " | "))
		if i == 0 {
			fmt.Fprintf(&want, "|%s\n", strings.Repeat(" --- |", len(row)))
		}
	}
	if !strings.Contains(string(page), want.String()) {
		t.Errorf("docs/operators/bodies.md should show\n%s", want.String())
	}
}

// Random attempts of a keyed request: none may complete a window or more after another that may have run,
// since endpoints may have forgotten the key by then. Attempts that never ran must not limit others, and
// requests that are not keyed are not limited.
func TestCompletionGateMatchesModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var g CompletionGate
		keyed := rapid.Bool().Draw(t, "keyed")
		semantics := balance.Safe
		if keyed {
			semantics = balance.Keyed
		}
		g.Reset(semantics, repeatWindow)
		completedAt := map[int]time.Duration{} // of the attempts that may have run
		now := time.Hour
		for attempt := range rapid.IntRange(1, 12).Draw(t, "attempts") {
			now += time.Duration(rapid.Int64Range(0, int64(repeatWindow)).Draw(t, "after"))
			earliest := now
			for _, otherCompletedAt := range completedAt {
				earliest = min(earliest, otherCompletedAt)
			}
			if got, want := g.TryComplete(attempt, now), !keyed || now-earliest < repeatWindow; got != want {
				t.Fatalf("%v after the earliest completion: TryComplete returns %v", now-earliest, got)
			} else if got {
				completedAt[attempt] = now
			}
			if rapid.Bool().Draw(t, "never ran") {
				g.MarkNotExecuted(attempt)
				delete(completedAt, attempt)
			}
		}
	})
}
