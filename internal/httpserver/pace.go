package httpserver

import "time"

// A connection pauses for pauseTime after requestsPerPause pipelined requests, if they took less than minTimePerRequest
// each. Without waiting for anything, its goroutine would occupy the processor up to the scheduler's time slice, and
// the data of others would be noticed only then.
const (
	requestsPerPause  = 32
	minTimePerRequest = 200 * time.Microsecond
	pauseTime         = 2 * time.Millisecond
)

// pace keeps a connection from serving pipelined requests without a pause. The zero value is ready to use.
type pace struct {
	served    int       // pipelined requests since startedAt
	startedAt time.Time // when the first of them was served
}

// requestServed records that a request was served, and whether data of the next one has been read already. It pauses if
// too many were served without one.
func (p *pace) requestServed(nextIsRead bool) {
	if !nextIsRead {
		p.served = 0
		return
	}
	if p.served++; p.served == 1 {
		p.startedAt = time.Now()
	}
	if p.served < requestsPerPause {
		return
	}
	if time.Since(p.startedAt) < requestsPerPause*minTimePerRequest {
		time.Sleep(pauseTime)
	}
	p.served = 0
}
