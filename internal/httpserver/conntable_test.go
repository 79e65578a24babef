package httpserver

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// The places against a plain model: a list of connections with their stages, searched from end
// to end for the one that is the least loss.
func TestConnTableModel(t *testing.T) {
	type entry struct {
		g     *tableEntry
		at    connStage
		since time.Time
	}
	rapid.Check(t, func(t *rapid.T) {
		p := connTable{maxOpen: 5}
		now := time.Unix(0, 0)
		const grace = 10 * time.Second
		var model []*entry // in the order of their last moves
		noisy := make(map[*tableEntry]bool)
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
				g := new(tableEntry)
				p.add(g, now)
				model = append(model, &entry{g, stageNew, now})
			},
			"move": func(t *rapid.T) {
				now = now.Add(time.Second)
				e := find(t)
				to := connStage(rapid.IntRange(0, int(numStages)-1).Draw(t, "stage"))
				if !p.setStage(e.g, to, now) {
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
				if !p.remove(e.g) || p.remove(e.g) || p.setStage(e.g, stageServing, now) {
					t.Fatal("it was in once, and is not now")
				}
				drop(e)
			},
			"victim": func(t *rapid.T) {
				var newest *tableEntry
				if len(model) > 0 && rapid.Bool().Draw(t, "has a newest") {
					newest = model[len(model)-1].g
				}
				var want *entry
				for _, e := range model {
					switch {
					case e.at == stageServing, e.g == newest && e.at != stageIdle, e.at < stageReading && noisy[e.g]:
					case e.at != stageIdle && now.Sub(e.since) < grace:
					case want == nil, e.at < want.at, e.at == want.at && e.since.Before(want.since):
						want = e
					}
				}
				got := p.evictionCandidate(newest, now, grace, func(g *tableEntry) bool { return !noisy[g] })
				if want == nil && got != nil || want != nil && got != want.g {
					t.Fatalf("%v gives way, want %v", got, want)
				}
			},
			"": func(t *rapid.T) {
				if p.openCount != len(model) || p.full() != (len(model) >= 5) {
					t.Fatalf("%d are open, want %d", p.openCount, len(model))
				}
				n := 0
				for at := range numStages {
					for g := p.lists[at].front; g != nil; g = g.next {
						if n++; g.stage != at {
							t.Fatalf("stage %d in the list of %d", g.stage, at)
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
