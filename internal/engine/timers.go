package engine

import (
	"time"

	"barleydrum.example/barleydrum/balance"
)

// due is a timer of the module's and when it is due, on its clock.
type due struct {
	at    time.Duration
	timer balance.Timer
}

// timers are those that are not due yet, the earliest first: a binary heap. The module can't
// take one back, so there are as many as it sets within the longest delay.
type timers []due

func (t *timers) push(d due) {
	h := append(*t, d)
	i := len(h) - 1
	for i > 0 {
		up := (i - 1) / 2
		if h[up].at <= h[i].at {
			break
		}
		h[up], h[i] = h[i], h[up]
		i = up
	}
	*t = h
}

// pop removes and returns the earliest.
func (t *timers) pop() due {
	h := *t
	first, last := h[0], len(h)-1
	h[0] = h[last]
	h = h[:last]
	for i := 0; ; {
		down := 2*i + 1
		if down >= last {
			break
		}
		if down+1 < last && h[down+1].at < h[down].at {
			down++
		}
		if h[i].at <= h[down].at {
			break
		}
		h[i], h[down] = h[down], h[i]
		i = down
	}
	*t = h
	return first
}

// arm sets the one timer of the engine for the earliest of the module's.
func (e *Engine) arm() {
	if len(e.timers) == 0 || e.armed != 0 && e.armed <= e.timers[0].at {
		return
	}
	e.armed = e.timers[0].at
	delay := max(e.armed-e.at, 0)
	if e.clock == nil {
		e.clock = time.AfterFunc(delay, e.ring)
	} else {
		e.clock.Reset(delay)
	}
}

// ring hands the module the timers that are due.
func (e *Engine) ring() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.armed = 0
	for now := e.now(); len(e.timers) > 0 && e.timers[0].at <= now; {
		t := e.timers.pop().timer
		e.eventAt(now, func(now time.Duration, acts []balance.Action) []balance.Action {
			return e.balancer.TimerFired(now, t, acts)
		})
	}
	e.at = e.now()
	e.arm()
}
