package sidecar

import (
	"net"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// discard is a connection that is nobody's.
type discard struct{ net.Conn }

func (discard) Close() error { return nil }

// The pool of idle connections against a plain list of them: the one used last of a route is
// taken, the one unused for longest of all gives way, and both views of the pool agree.
func TestPoolModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := &pool{keepAlive: time.Hour, slots: make(chan struct{}, 1000)}
		routes := []*route{{addr: "a"}, {addr: "b"}, {addr: "c"}}
		var model []*conn // idle, the one unused for longest first
		t.Repeat(map[string]func(*rapid.T){
			"put": func(t *rapid.T) {
				p.slots <- struct{}{}
				c := &conn{Conn: discard{}, to: rapid.SampledFrom(routes).Draw(t, "route"), pool: p}
				p.put(c)
				if !c.to.closed {
					model = append(model, c)
				}
			},
			"take": func(t *rapid.T) {
				to := rapid.SampledFrom(routes).Draw(t, "route")
				var want *conn
				for i := len(model) - 1; i >= 0 && want == nil; i-- {
					if model[i].to == to {
						want = model[i]
						model = slices.Delete(model, i, i+1)
					}
				}
				got := p.take(to)
				if got != want {
					t.Fatalf("took %p, want %p", got, want)
				}
				if got != nil {
					got.Close()
				}
			},
			"oldest": func(t *rapid.T) {
				var want *conn
				if len(model) > 0 {
					want, model = model[0], model[1:]
				}
				got := p.oldest()
				if got != want {
					t.Fatalf("gave way: %p, want %p", got, want)
				}
				if got != nil {
					got.Close()
				}
			},
			"release": func(t *rapid.T) {
				i := rapid.IntRange(0, len(routes)-1).Draw(t, "route")
				keep := rapid.Bool().Draw(t, "keep")
				p.release(routes[i], keep)
				model = slices.DeleteFunc(model, func(c *conn) bool { return c.to == routes[i] })
				if !keep { // a new process has a route of its own
					routes[i] = &route{addr: routes[i].addr}
				}
			},
			"": func(t *rapid.T) {
				sum := 0
				for _, to := range routes {
					sum += len(to.idle)
				}
				if p.idle.Len() != len(model) || sum != len(model) || len(p.slots) != len(model) {
					t.Fatalf("%d idle, %d by route, %d slots, want %d", p.idle.Len(), sum, len(p.slots), len(model))
				}
			},
		})
	})
}
