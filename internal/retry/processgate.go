package retry

import "sync"

// ProcessGate decides whether an attempt of a keyed request may be sent whose key only some endpoints share. All of its
// attempts that may run must go to endpoints of one scope, but lists of endpoints tell which process answers at an
// address only as of the last list: once a connection has broken, another process may have taken over, with other keys.
// So the request may have one attempt at a process that is not known, or several at known ones. The zero value is ready
// to use. A ProcessGate is safe for concurrent use.
type ProcessGate struct {
	mu       sync.Mutex
	attempts []sentAttempt // those that were allowed and may run
}

// sentAttempt is an attempt that was allowed.
type sentAttempt struct {
	attempt      int
	processKnown bool
}

// Reset prepares the gate for a new request.
func (g *ProcessGate) Reset() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.attempts = g.attempts[:0]
}

// TrySend reports whether an attempt may be sent, and if so records it. processKnown states whether the process that
// will receive it is the one that the lists of endpoints name.
func (g *ProcessGate) TrySend(attempt int, processKnown bool) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.remove(attempt) // it was recorded before, and its connection turned out to be stale
	for _, other := range g.attempts {
		if !processKnown || !other.processKnown {
			return false
		}
	}
	g.attempts = append(g.attempts, sentAttempt{attempt, processKnown})
	return true
}

// MarkNotExecuted removes an attempt that can't have run, so that it no longer limits others.
func (g *ProcessGate) MarkNotExecuted(attempt int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.remove(attempt)
}

// remove removes an attempt. The caller must hold g.mu.
func (g *ProcessGate) remove(attempt int) {
	for i, a := range g.attempts {
		if a.attempt == attempt {
			g.attempts = append(g.attempts[:i], g.attempts[i+1:]...)
			return
		}
	}
}
