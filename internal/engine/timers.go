package engine

import (
	"time"

	"barleydrum.example/barleydrum/balance"
)

// scheduledTimer is a timer of the module's and when it is due, on its clock.
type scheduledTimer struct {
	dueAt time.Duration
	timer balance.Timer
}

// timerHeap are those that are not due yet, the earliest first: a binary heap. The module can't
// take one back, so there are as many as it sets within the longest delay.
type timerHeap []scheduledTimer

func (t *timerHeap) push(d scheduledTimer) {
	h := append(*t, d)
	i := len(h) - 1
	for i > 0 {
		up := (i - 1) / 2
		if h[up].dueAt <= h[i].dueAt {
			break
		}
		h[up], h[i] = h[i], h[up]
		i = up
	}
	*t = h
}

// pop removes and returns the earliest.
func (t *timerHeap) pop() scheduledTimer {
	h := *t
	first, last := h[0], len(h)-1
	h[0] = h[last]
	h = h[:last]
	for i := 0; ; {
		down := 2*i + 1
		if down >= last {
			break
		}
		if down+1 < last && h[down+1].dueAt < h[down].dueAt {
			down++
		}
		if h[i].dueAt <= h[down].dueAt {
			break
		}
		h[i], h[down] = h[down], h[i]
		i = down
	}
	*t = h
	return first
}

// setTimer sets the one timer of the engine for the earliest of the module's.
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

// fireDueTimers hands the module the timers that are due.
func (e *Engine) fireDueTimers() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.timerSetFor = 0
	for now := e.now(); len(e.pendingTimers) > 0 && e.pendingTimers[0].dueAt <= now; {
		t := e.pendingTimers.pop().timer
		e.handleEventAt(now, func(now time.Duration, acts []balance.Action) []balance.Action {
			return e.balancer.TimerFired(now, t, acts)
		})
	}
	e.eventTime = e.now()
	e.setTimer()
}
