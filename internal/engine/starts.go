package engine

import "time"

// listDelay is how long after its start an endpoint may come to be listed.
const listDelay = 5 * time.Second

// starts turns the times at which endpoints started, as lists tell them, into times of the module's clock.
// Lists tell wall-clock times, and a machine's wall clock may be stepped before or while the sidecar runs.
type starts struct {
	heard time.Duration // when discovery last answered, on the module's clock; 0 for not yet
}

// of returns when an endpoint started whose list tells reported now. known is what was made of the same
// endpoint before, nil for nothing. No start lies ahead. One that is news lies no further back than the last
// answer of discovery that did not tell of it, and the list's delay.
func (s *starts) of(reported, now time.Duration, known *endpoint) time.Duration {
	switch {
	case reported == 0:
		return 0
	case known != nil && known.reported == reported:
		return known.started
	case reported > now:
		return now
	case s.heard > 0:
		return max(reported, s.heard-listDelay)
	}
	return reported
}
