package logging

import (
	"sync"
	"time"
)

// Sampler limits how often an event is logged. It is safe for concurrent use.
type Sampler struct {
	MaxEvents int           // logged in each interval
	Interval  time.Duration // positive

	mu         sync.Mutex
	startedAt  time.Time // of the current interval
	logged     int       // events logged in the current interval
	suppressed int       // events since the last one that was logged
}

// Allow reports whether an event that occurs now may be logged, and how many before it were not.
func (s *Sampler) Allow(now time.Time) (suppressed int, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if now.Sub(s.startedAt) >= s.Interval {
		s.startedAt, s.logged = now, 0
	}
	if s.logged >= s.MaxEvents {
		s.suppressed++
		return 0, false
	}
	s.logged++
	suppressed, s.suppressed = s.suppressed, 0
	return suppressed, true
}
