package balance

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkRequest plays a request's whole life: arrival, probes where they are cheap, one attempt, its
// answer. Its cost must not grow with the fleet.
func BenchmarkRequest(b *testing.B) {
	for _, c := range []struct {
		name  string
		price float64
	}{{"probing", 0.002}, {"own-calls", 0.01}} {
		for _, n := range []int{20, 200, 2000} {
			b.Run(fmt.Sprintf("%s/%d", c.name, n), func(b *testing.B) {
				cfg := testConfig()
				cfg.Costs.Probe = c.price
				f := newHarness(b, cfg, testEndpoints(n)...)
				var next []Action
				b.ReportAllocs()
				for b.Loop() {
					f.now += ms
					f.lastID++
					f.actions = f.b.RequestArrived(f.now, Request{ID: f.lastID, Timeout: time.Second}, f.actions[:0])
					for i := 0; i < len(f.actions); i++ {
						switch a := f.actions[i]; a.Kind {
						case Probe:
							next = f.b.ProbeEnded(f.now, a.Endpoint, OK, &Load{}, next[:0])
							f.actions = append(f.actions, next...)
						case Send:
							next = f.b.AttemptEnded(f.now, Outcome{Request: a.Request, Endpoint: a.Endpoint, Result: OK,
								RequestFinished: true, Elapsed: 50 * ms}, next[:0])
							f.actions = append(f.actions, next...)
						}
					}
				}
			})
		}
	}
}

// BenchmarkPick picks for a request with nobody idle, by the paper's draw, and by own calls.
func BenchmarkPick(b *testing.B) {
	for _, n := range []int{20, 200, 2000} {
		cfg := testConfig()
		cfg.Costs.Probe = 0.01
		f := newHarness(b, cfg, testEndpoints(n)...)
		r := &request{class: &f.b.cfg.Classes[0]}
		b.Run(fmt.Sprintf("draw/%d", n), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				f.b.drawWeighted(r)
			}
		})
		b.Run(fmt.Sprintf("own-calls/%d", n), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				f.b.pick(r)
			}
		})
	}
}

// Events out of order, repeated or late must be ignored.
func TestBalancerIgnoresUnknownAndLateEvents(t *testing.T) {
	f := newHarness(t, testConfig(), testEndpoints(3)...)
	r, e := f.sendToIdle(0)
	f.endAttempt(r, 0, e, OK, ms)
	for name, event := range map[string]func() []Action{
		"outcome twice":   func() []Action { return f.b.AttemptEnded(f.now, Outcome{Request: r, Endpoint: e}, nil) },
		"unknown attempt": func() []Action { return f.b.AttemptEnded(f.now, Outcome{Request: r, Attempt: 7}, nil) },
		"negative":        func() []Action { return f.b.AttemptEnded(f.now, Outcome{Request: r, Attempt: -1}, nil) },
		"late head":       func() []Action { return f.b.ResponseStarted(f.now, r, 0, nil) },
		"late abandon":    func() []Action { return f.b.RequestAbandoned(f.now, r, nil) },
		"unasked probe":   func() []Action { return f.b.ProbeEnded(f.now, 99, OK, &Load{}, nil) },
		"unknown timer":   func() []Action { return f.b.TimerFired(f.now, Timer{Kind: 77, Ref: 5}, nil) },
		"late timer":      func() []Action { return f.b.TimerFired(f.now, Timer{timerRequest, uint64(r)}, nil) },
		"unknown class":   func() []Action { return f.b.RequestArrived(f.now, Request{ID: 1 << 50, Class: 9}, nil) },
	} {
		if acts := event(); len(acts) != 0 {
			t.Errorf("%s: actions %+v, want none", name, acts)
		}
	}
}
