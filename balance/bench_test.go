package balance

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkRequest measures the handling of a request: its arrival, probes where they are cheap, one attempt and its
// response. The cost must not grow with the number of endpoints.
func BenchmarkRequest(b *testing.B) {
	for _, c := range []struct {
		name      string
		probeCost float64
	}{{"probes", 0.002}, {"no-probes", 0.01}} {
		for _, n := range []int{20, 200, 2000} {
			b.Run(fmt.Sprintf("%s/%d", c.name, n), func(b *testing.B) {
				cfg := testConfig()
				cfg.Costs.Probe = c.probeCost
				h := newHarness(b, cfg, testEndpoints(n)...)
				var next []Action
				b.ReportAllocs()
				for b.Loop() {
					h.now += ms
					h.lastID++
					h.actions = h.b.RequestArrived(h.now, Request{ID: h.lastID, Timeout: time.Second}, h.actions[:0])
					for i := 0; i < len(h.actions); i++ {
						switch a := h.actions[i]; a.Kind {
						case Probe:
							next = h.b.ProbeEnded(h.now, a.Endpoint, OK, &Load{}, next[:0])
							h.actions = append(h.actions, next...)
						case Send:
							next = h.b.AttemptEnded(h.now, Outcome{Request: a.Request, Endpoint: a.Endpoint, Result: OK,
								RequestFinished: true, Elapsed: 50 * ms}, next[:0])
							h.actions = append(h.actions, next...)
						}
					}
				}
			})
		}
	}
}

// BenchmarkPick picks an endpoint for a request with none known to be idle: by SA-JIQ's weighted draw, and by the
// sidecar's own attempts.
func BenchmarkPick(b *testing.B) {
	for _, n := range []int{20, 200, 2000} {
		cfg := testConfig()
		cfg.Costs.Probe = 0.01
		h := newHarness(b, cfg, testEndpoints(n)...)
		r := &request{class: &h.b.cfg.Classes[0]}
		b.Run(fmt.Sprintf("draw/%d", n), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				h.b.drawWeighted(r)
			}
		})
		b.Run(fmt.Sprintf("no-probes/%d", n), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				h.b.pick(r)
			}
		})
	}
}

// Events that are out of order, repeated, late or about unknown requests and endpoints must be ignored.
func TestBalancerIgnoresUnknownAndLateEvents(t *testing.T) {
	h := newHarness(t, testConfig(), testEndpoints(3)...)
	r, e := h.sendToIdle(0)
	h.endAttempt(r, 0, e, OK, ms)
	for name, event := range map[string]func() []Action{
		"second outcome":  func() []Action { return h.b.AttemptEnded(h.now, Outcome{Request: r, Endpoint: e}, nil) },
		"unknown attempt": func() []Action { return h.b.AttemptEnded(h.now, Outcome{Request: r, Attempt: 7}, nil) },
		"negative index":  func() []Action { return h.b.AttemptEnded(h.now, Outcome{Request: r, Attempt: -1}, nil) },
		"late response":   func() []Action { return h.b.ResponseStarted(h.now, r, 0, nil) },
		"late end":        func() []Action { return h.b.RequestAbandoned(h.now, r, nil) },
		"unsent probe":    func() []Action { return h.b.ProbeEnded(h.now, 99, OK, &Load{}, nil) },
		"unknown timer":   func() []Action { return h.b.TimerFired(h.now, Timer{Kind: 77, Ref: 5}, nil) },
		"late timer":      func() []Action { return h.b.TimerFired(h.now, Timer{timerRequest, uint64(r)}, nil) },
		"unknown class":   func() []Action { return h.b.RequestArrived(h.now, Request{ID: 1 << 50, Class: 9}, nil) },
	} {
		if actions := event(); len(actions) != 0 {
			t.Errorf("%s: actions %+v, want none", name, actions)
		}
	}
}
