package engine

import "time"

// maxListDelay is how long after its start an endpoint may come to be listed.
const maxListDelay = 5 * time.Second

// startTimeEstimator turns the times at which endpoints started, as lists tell them, into times of the module's clock.
// Lists tell wall-clock times, and a machine's wall clock may be stepped before or while the sidecar runs.
type startTimeEstimator struct {
	lastResponseAt time.Duration // when discovery last answered, on the module's clock; 0 for not yet
}

// startTime returns when an endpoint started whose list tells reported now. known is what was made of the same
// endpoint before, nil for nothing. No start lies ahead. One that is news lies no further back than the last
// answer of discovery that did not tell of it, and the list's delay.
func (s *startTimeEstimator) startTime(reported, now time.Duration, known *endpoint) time.Duration {
	switch {
	case reported == 0:
		return 0
	case known != nil && known.reportedStart == reported:
		return known.startedAt
	case reported > now:
		return now
	case s.lastResponseAt > 0:
		return max(reported, s.lastResponseAt-maxListDelay)
	}
	return reported
}
