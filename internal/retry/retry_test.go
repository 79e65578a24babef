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

// harness plays a request against the module: probes find their endpoints idle at once, timers ring
// in their order, and whatever it says of the request is noted.
type harness struct {
	t        *testing.T
	balancer *balance.Balancer
	now      time.Duration
	timers   []struct {
		at time.Duration
		t  balance.Timer
	}
	sentTo        []balance.EndpointID
	outcome       string
	answersProbes bool // are answered
}

const (
	targetLatency = 10 * time.Second
	repeatWindow  = 3 * time.Second // over the hedge's time, under what is wanted
)

func newHarness(t *testing.T, s balance.Semantics, scope balance.Scope, inScope bool) *harness {
	w := &harness{t: t, now: time.Hour, answersProbes: true}
	k := balance.Class{Name: "k", TargetLatency: targetLatency, Deadline: targetLatency, Value: 1, Semantics: s, Scope: scope}
	if s == balance.Keyed {
		if k.RepeatWindow = repeatWindow; !inScope {
			k.RepeatWindow = time.Millisecond
		}
	}
	var err error
	w.balancer, err = balance.New(balance.Config{
		SidecarCount: 1, Classes: []balance.Class{k}, Reporting: balance.ReportsInProbe,
		Limits: balance.Limits{MaxAttempts: 6, Hedging: true, Probes: true, Cancel: true, ConnectTimeout: time.Second, KeepAlive: time.Minute},
	}, 1)
	if err != nil {
		t.Fatal(err)
	}
	w.updateEndpoints(balance.InService)
	for id := range balance.RequestID(100) { // calls are quick, so that one is hedged in time
		w.apply(w.balancer.RequestArrived(w.now, balance.Request{ID: 10 + id, Timeout: targetLatency}, nil))
		to := w.sentTo[0]
		w.now += 100 * time.Millisecond
		w.apply(w.balancer.AttemptEnded(w.now, balance.Outcome{Request: 10 + id, Endpoint: to, Result: balance.OK, RequestFinished: true, Elapsed: 100 * time.Millisecond}, nil))
		w.sentTo = nil
	}
	return w
}

func (w *harness) updateEndpoints(s balance.EndpointState) {
	var list []balance.Endpoint
	for id := range balance.EndpointID(4) {
		list = append(list, balance.Endpoint{ID: id + 1, State: s, Weight: 1})
	}
	w.apply(w.balancer.EndpointsUpdated(w.now, balance.ListFull, list, nil))
}

func (w *harness) apply(acts []balance.Action) {
	for _, a := range acts {
		switch a.Kind {
		case balance.Send:
			w.sentTo = append(w.sentTo, a.Endpoint)
		case balance.Shed:
			w.outcome = "refuse"
		case balance.Fail:
			w.outcome = "fail"
		case balance.SetTimer:
			w.timers = append(w.timers, struct {
				at time.Duration
				t  balance.Timer
			}{w.now + a.Delay, a.Timer})
		case balance.Probe:
			if w.answersProbes {
				w.apply(w.balancer.ProbeEnded(w.now, a.Endpoint, balance.OK, &balance.Load{Queued: -1, Utilization: -1, LatencyMS: -1, ServedPerSecond: -1, FailedPerSecond: -1}, nil))
			}
		}
	}
}

// advance rings what falls due within a time.
func (w *harness) advance(d time.Duration) {
	for end := w.now + d; ; {
		next := -1
		for i, t := range w.timers {
			if t.at <= end && (next < 0 || t.at < w.timers[next].at) {
				next = i
			}
		}
		if next < 0 {
			w.now = end
			return
		}
		t := w.timers[next]
		w.timers = append(w.timers[:next], w.timers[next+1:]...)
		w.now = max(w.now, t.at)
		w.apply(w.balancer.TimerFired(w.now, t.t, nil))
	}
}

// startRequest has a request begin, and its first attempt go out. The body comes to its state.
func (w *harness) startRequest(state body.State) {
	w.apply(w.balancer.RequestArrived(w.now, balance.Request{ID: 1, Timeout: targetLatency, BodyArriving: true}, nil))
	if len(w.sentTo) != 1 {
		w.t.Fatalf("%d attempts at first", len(w.sentTo))
	}
	switch state {
	case body.Retained:
		w.apply(w.balancer.BodyStateChanged(w.now, 1, balance.BodyComplete, nil))
	case body.Unavailable:
		w.apply(w.balancer.BodyStateChanged(w.now, 1, balance.BodyUnavailable, nil))
	}
}

func (w *harness) endFirstAttempt(r balance.Result) {
	w.now += 10 * time.Millisecond
	w.apply(w.balancer.AttemptEnded(w.now, balance.Outcome{Request: 1, Endpoint: w.sentTo[0], Result: r, Elapsed: 10 * time.Millisecond}, nil))
}

var resultByHistory = map[AttemptHistory]balance.Result{NotExecuted: balance.ConnectFailed, MayHaveExecuted: balance.Error}

// The table holds for the module, cell by cell: what it allows happens, and nothing else does.
func TestBalancerMatchesTable(t *testing.T) {
	for _, k := range []struct {
		s       balance.Semantics
		scope   balance.Scope
		inScope bool
	}{
		{balance.Safe, 0, true}, {balance.Keyed, balance.ScopeAll, true}, {balance.Keyed, balance.ScopeAll, false},
		{balance.Keyed, balance.ScopeZone, true}, {balance.Keyed, balance.ScopeZone, false},
		{balance.Keyed, balance.ScopeCell, true}, {balance.Keyed, balance.ScopeCell, false}, {balance.Unsafe, 0, true},
	} {
		for _, state := range []body.State{body.Receiving, body.Retained, body.Unavailable} {
			for _, past := range []AttemptHistory{NotExecuted, MayHaveExecuted} {
				name := fmt.Sprintf("semantics %d, scope %d, in scope %v, body %d, past %d", k.s, k.scope, k.inScope, state, past)
				want := Allowed(k.s, k.scope, state, past, k.inScope)

				w := newHarness(t, k.s, k.scope, k.inScope)
				w.startRequest(state)
				w.endFirstAttempt(resultByHistory[past])
				w.advance(targetLatency / 2)
				if got := len(w.sentTo) > 1; got != want.Retry {
					t.Errorf("%s: again %v, want %v", name, got, want.Retry)
				}

				w = newHarness(t, k.s, k.scope, k.inScope)
				w.startRequest(state)
				w.updateEndpoints(balance.Removed)
				w.endFirstAttempt(resultByHistory[past])
				w.advance(2 * targetLatency)
				if got := w.outcome == "refuse"; got != want.Refuse || w.outcome == "" || len(w.sentTo) > 1 {
					t.Errorf("%s: %q, refuse %v wanted", name, w.outcome, want.Refuse)
				}

				w = newHarness(t, k.s, k.scope, k.inScope)
				w.startRequest(state)
				w.advance(targetLatency * 9 / 10)
				if got := len(w.sentTo) > 1; got != want.Hedge {
					t.Errorf("%s: copy %v, want %v", name, got, want.Hedge)
				}
			}
		}
	}
}

// The page shows the table as it is.
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
		t.Errorf("it should show\n%s", want.String())
	}
}

// Whatever attempts become whole when, none does later than the window after another that may
// have run; those that never ran bound nobody.
func TestCompletionGateMatchesModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var g CompletionGate
		keyed := rapid.Bool().Draw(t, "keyed")
		s := balance.Safe
		if keyed {
			s = balance.Keyed
		}
		g.Reset(s, repeatWindow)
		ran := map[int]time.Duration{}
		now := time.Hour
		for n := range rapid.IntRange(1, 12).Draw(t, "attempts") {
			now += time.Duration(rapid.Int64Range(0, int64(repeatWindow)).Draw(t, "after"))
			first := now
			for _, at := range ran {
				first = min(first, at)
			}
			if got, want := g.TryComplete(n, now), !keyed || now-first < repeatWindow; got != want {
				t.Fatalf("%v after the first: %v", now-first, got)
			} else if got {
				ran[n] = now
			}
			if rapid.Bool().Draw(t, "never ran") {
				g.MarkNotExecuted(n)
				delete(ran, n)
			}
		}
	})
}
