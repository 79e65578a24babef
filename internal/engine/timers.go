package engine

import (
	"time"

	"barleydrum.example/barleydrum/balance"
)

// scheduledTimer is a timer that the balancer has set and that has not fired yet.
type scheduledTimer struct {
	dueAt time.Duration // on the balancer's clock
	timer balance.Timer
}

// timerHeap is a binary heap of timers, the earliest first. The balancer can't stop a timer, so the heap also holds
// timers that are no longer needed, until Engine.dropUnneededTimers.
type timerHeap []scheduledTimer

// push adds a timer.
func (t *timerHeap) push(timer scheduledTimer) {
	h := append(*t, timer)
	i := len(h) - 1
	for i > 0 {
		parent := (i - 1) / 2
		if h[parent].dueAt <= h[i].dueAt {
			break
		}
		h[parent], h[i] = h[i], h[parent]
		i = parent
	}
	*t = h
}

// pop removes and returns the earliest timer. The heap must not be empty.
func (t *timerHeap) pop() scheduledTimer {
	h := *t
	earliest, last := h[0], len(h)-1
	h[0] = h[last]
	h = h[:last]
	for i := 0; ; {
		child := 2*i + 1
		if child >= last {
			break
		}
		if child+1 < last && h[child+1].dueAt < h[child].dueAt {
			child++
		}
		if h[i].dueAt <= h[child].dueAt {
			break
		}
		h[i], h[child] = h[child], h[i]
		i = child
	}
	*t = h
	return earliest
}

// minTimersToDrop is the number of pending timers from which on those that are not needed are dropped.
const minTimersToDrop = 1024

// dropUnneededTimers drops the timers that the balancer no longer needs, once their number may have doubled since the
// last time. The caller must hold e.mu.
func (e *Engine) dropUnneededTimers() {
	if len(e.pendingTimers) < max(e.dropTimersAt, minTimersToDrop) {
		return
	}
	needed := make(timerHeap, 0, len(e.pendingTimers)/2)
	for _, t := range e.pendingTimers {
		if e.balancer.TimerNeeded(t.timer) {
			needed.push(t)
		}
	}
	e.pendingTimers, e.dropTimersAt = needed, 2*len(needed)
}

// setTimer sets the engine's only runtime timer for the earliest timer of the balancer. The caller must
// hold e.mu.
func (e *Engine) setTimer() {
	if len(e.pendingTimers) == 0 || e.timerSetFor != 0 && e.timerSetFor <= e.pendingTimers[0].dueAt {
		return
	}
	e.timerSetFor = e.pendingTimers[0].dueAt
	delay := max(e.timerSetFor-e.eventTime, 0)
	if e.timer == nil {
		e.timer = time.AfterFunc(delay, e.fireDueTimers)
	} else {
		e.timer.Reset(delay)
	}
}

// fireDueTimers passes the timers that are due to the balancer, and sets the runtime timer for the next.
func (e *Engine) fireDueTimers() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.timerSetFor = 0
	for now := e.now(); len(e.pendingTimers) > 0 && e.pendingTimers[0].dueAt <= now; {
		timer := e.pendingTimers.pop().timer
		e.handleEventAt(now, func(now time.Duration, actions []balance.Action) []balance.Action {
			return e.balancer.TimerFired(now, timer, actions)
		})
	}
	e.eventTime = e.now()
	e.setTimer()
}
