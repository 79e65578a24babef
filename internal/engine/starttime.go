package engine

import "time"

// maxListDelay is the longest time from an endpoint's start until discovery lists it.
const maxListDelay = 5 * time.Second

// startTimeEstimator converts the start times of endpoints that discovery's lists give to the
// balancer's clock. Lists give wall-clock times, and a machine's wall clock may be stepped before or
// while the sidecar runs.
type startTimeEstimator struct {
	lastResponseAt time.Duration // last response from discovery, on the balancer's clock; 0 if there was none
}

// startTime returns when an endpoint started, on the balancer's clock, or 0 if unknown. reported is the
// Unix time that the list gives, now the current time on the balancer's clock, and previous the endpoint
// as it was before this list, or nil if it is new. While reported stays the same, so does the result. A new
// start time is never later than now, and no earlier than maxListDelay before the last response from
// discovery, since that one did not report it.
func (s *startTimeEstimator) startTime(reported, now time.Duration, previous *endpoint) time.Duration {
	switch {
	case reported == 0:
		return 0
	case previous != nil && previous.reportedStart == reported:
		return previous.startedAt
	case reported > now:
		return now
	case s.lastResponseAt > 0:
		return max(reported, s.lastResponseAt-maxListDelay)
	}
	return reported
}
