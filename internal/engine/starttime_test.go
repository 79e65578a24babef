package engine

import (
	"testing"
	"time"

	"barleydrum.example/barleydrum/internal/discovery"
)

func TestSteppedWallClockDoesNotChangeSlowStart(t *testing.T) {
	for name, step := range map[string]time.Duration{
		"no step": 0, "an hour ahead": time.Hour, "an hour behind": -time.Hour, "seconds behind": -5 * time.Second,
	} {
		t.Run(name, func(t *testing.T) {
			e := newEngine(t, discovery.List{Generation: 1, Full: true})
			e.RecordDiscoveryResponse()
			// The list's clock is right, and the sidecar's own was off by the step as it started.
			started := time.Now().Add(-step)
			list := discovery.List{Generation: 2, Instances: []discovery.Instance{
				{ID: "new", HostPort: "127.0.0.1:1", Lifecycle: "up", StartedAtUnixMilli: started.UnixMilli()},
			}}
			e.UpdateEndpoints(&list)
			e.mu.Lock()
			first := e.endpoints[e.ids.byName["new"]].startedAt
			age := e.now() - first
			e.mu.Unlock()
			if age < 0 || age > maxListDelay+time.Second {
				t.Errorf("it is held to have started %v ago", age)
			}
			time.Sleep(2 * time.Millisecond)
			e.UpdateEndpoints(&list) // the same again is the same process
			e.mu.Lock()
			again := e.endpoints[e.ids.byName["new"]].startedAt
			e.mu.Unlock()
			if again != first {
				t.Errorf("told again, it has started %v later", again-first)
			}
		})
	}
}

func TestStartTimeBeforeFirstDiscoveryResponseIsKept(t *testing.T) {
	e := newEngine(t, discovery.List{Generation: 1, Full: true})
	told := time.Now().Add(-time.Minute)
	e.UpdateEndpoints(&discovery.List{Generation: 2, Full: true, Instances: []discovery.Instance{
		{ID: "old", HostPort: "127.0.0.1:1", Lifecycle: "up", StartedAtUnixMilli: told.UnixMilli()},
	}})
	e.mu.Lock()
	defer e.mu.Unlock()
	if age := e.now() - e.endpoints[e.ids.byName["old"]].startedAt; age < 59*time.Second || age > 61*time.Second {
		t.Errorf("it is held to have started %v ago, want a minute", age)
	}
}
