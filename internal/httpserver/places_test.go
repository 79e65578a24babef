package httpserver

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// The places against a plain model: a list of connections with their stages, searched from end
// to end for the one that is the least loss.
func TestPlacesModel(t *testing.T) {
	type entry struct {
		g     *guest
		at    stage
		since time.Time
	}
	rapid.Check(t, func(t *rapid.T) {
		p := places{most: 5}
		now := time.Unix(0, 0)
		const grace = 10 * time.Second
		var model []*entry // in the order of their last moves
		noisy := make(map[*guest]bool)
		find := func(t *rapid.T) *entry {
			if len(model) == 0 {
				t.Skip("nobody")
			}
			return rapid.SampledFrom(model).Draw(t, "guest")
		}
		drop := func(e *entry) { model = slices.DeleteFunc(model, func(x *entry) bool { return x == e }) }
		t.Repeat(map[string]func(*rapid.T){
			"enter": func(t *rapid.T) {
				now = now.Add(time.Second)
				g := new(guest)
				p.enter(g, now)
				model = append(model, &entry{g, silent, now})
			},
			"move": func(t *rapid.T) {
				now = now.Add(time.Second)
				e := find(t)
				to := stage(rapid.IntRange(0, int(stages)-1).Draw(t, "stage"))
				if !p.move(e.g, to, now) {
					t.Fatal("it is not in")
				}
				drop(e)
				e.at, e.since = to, now
				model = append(model, e)
			},
			"noise": func(t *rapid.T) {
				g := find(t).g
				noisy[g] = !noisy[g]
			},
			"leave": func(t *rapid.T) {
				e := find(t)
				if !p.leave(e.g) || p.leave(e.g) || p.move(e.g, taken, now) {
					t.Fatal("it was in once, and is not now")
				}
				drop(e)
			},
			"victim": func(t *rapid.T) {
				var newest *guest
				if len(model) > 0 && rapid.Bool().Draw(t, "has a newest") {
					newest = model[len(model)-1].g
				}
				var want *entry
				for _, e := range model {
					switch {
					case e.at == taken, e.g == newest && e.at != idle, e.at < partial && noisy[e.g]:
					case e.at != idle && now.Sub(e.since) < grace:
					case want == nil, e.at < want.at, e.at == want.at && e.since.Before(want.since):
						want = e
					}
				}
				got := p.victim(newest, now, grace, func(g *guest) bool { return !noisy[g] })
				if want == nil && got != nil || want != nil && got != want.g {
					t.Fatalf("%v gives way, want %v", got, want)
				}
			},
			"": func(t *rapid.T) {
				if p.open != len(model) || p.full() != (len(model) >= 5) {
					t.Fatalf("%d are open, want %d", p.open, len(model))
				}
				n := 0
				for at := range stages {
					for g := p.lists[at].front; g != nil; g = g.next {
						if n++; g.at != at {
							t.Fatalf("stage %d in the list of %d", g.at, at)
						}
					}
				}
				if n != len(model) {
					t.Fatalf("%d in the lists, want %d", n, len(model))
				}
			},
		})
	})
}
