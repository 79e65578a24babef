package balance

import (
	"cmp"
	"time"
)

// A change of the list counts as known to the sidecar 6 s after discovery had it and could be reached. That bounds each
// wait between two requests for the list, together with the time that the sidecar gives the next one (see package
// sidecar), whatever became of the request before.
const (
	// firstSubscribeSpread is the jitter of the first Subscribe: all sidecars may start at once.
	firstSubscribeSpread = 2 * time.Second

	// After a failed request the wait doubles from minSubscribeBackOff to maxSubscribeBackOff, with a jitter of half of
	// it in each direction: discovery may have refused all sidecars at once.
	minSubscribeBackOff, maxSubscribeBackOff = time.Second, 2 * time.Second

	// slowSubscribeSpread is the jitter after a request that took long to fail or was given up. The time that it took
	// counts as waiting.
	slowSubscribeSpread = 500 * time.Millisecond
)

// scheduleFirstSubscribe sets the timer for the first request for the list.
func (b *Balancer) scheduleFirstSubscribe() {
	spread := min(firstSubscribeSpread, cmp.Or(b.cfg.MaxSubscribeDelay, firstSubscribeSpread))
	b.setTimer(timerSubscribe, 0, b.jitter(spread))
}

// scheduleSubscribeAfter sets the timer for the next request for the list after one has failed: kind is ListUnavailable
// or ListSilent.
func (b *Balancer) scheduleSubscribeAfter(kind ListKind) {
	b.subscribed = false
	b.setTimer(timerSubscribe, 0, b.subscribeDelay(kind, b.failedSubscribes))
	b.failedSubscribes++
}

// subscribeDelay returns how long to wait after a request that failed in the given way, after some others in a row.
func (b *Balancer) subscribeDelay(kind ListKind, earlierFailures int) time.Duration {
	switch {
	case kind == ListSilent && earlierFailures == 0: // a watch has fallen silent: what it missed counts as known by now
		return 0
	case kind == ListSilent:
		return b.jitter(slowSubscribeSpread)
	}
	wait := min(minSubscribeBackOff<<min(earlierFailures, 4), maxSubscribeBackOff, 2*cmp.Or(b.cfg.MaxSubscribeDelay, time.Minute))
	wait = wait/2 + b.jitter(wait)
	if earlierFailures > 0 { // before, a watch may have been open for long
		wait = max(wait-(b.now-b.subscribedAt), b.jitter(slowSubscribeSpread))
	}
	return wait
}
