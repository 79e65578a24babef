// Package logging bounds what the log may cost: memory and time for a reader that stalls, and lines for events that
// peers cause.
package logging

import (
	"fmt"
	"io"
	"sync"
	"time"
)

// Writer is an io.Writer that never waits for the one behind it: lines go into a queue of bounded size, and are dropped
// and counted while it is full. It is safe for concurrent use.
type Writer struct {
	maxBytes int

	mu      sync.Mutex
	queue   []byte
	writing bool // a batch is being written
	dropped int  // lines since the last that was queued
	filled  sync.Cond
	idle    sync.Cond
}

// NewWriter returns a Writer for w with a queue of maxBytes bytes. It runs a goroutine until the program ends.
func NewWriter(w io.Writer, maxBytes int) *Writer {
	q := &Writer{maxBytes: maxBytes}
	q.filled.L, q.idle.L = &q.mu, &q.mu
	go q.run(w)
	return q
}

// Write queues one line, or drops it if the queue is full. It never fails.
func (q *Writer) Write(line []byte) (int, error) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.queue)+len(line) > q.maxBytes {
		q.dropped++
		return len(line), nil
	}
	if q.dropped > 0 {
		q.queue = fmt.Appendf(q.queue, "%d log lines were dropped\n", q.dropped)
		q.dropped = 0
	}
	q.queue = append(q.queue, line...)
	q.filled.Signal()
	return len(line), nil
}

// run writes what is queued, batch by batch. Errors are ignored: there is nowhere to report them.
func (q *Writer) run(w io.Writer) {
	var batch []byte
	q.mu.Lock()
	defer q.mu.Unlock()
	for {
		for len(q.queue) == 0 {
			q.writing = false
			q.idle.Broadcast()
			q.filled.Wait()
		}
		batch, q.queue, q.writing = q.queue, batch[:0], true
		q.mu.Unlock()
		w.Write(batch)
		q.mu.Lock()
	}
}

// Flush waits until all that is queued has been written, at most for the timeout.
func (q *Writer) Flush(timeout time.Duration) {
	expired := false
	timer := time.AfterFunc(timeout, func() {
		q.mu.Lock()
		defer q.mu.Unlock()
		expired = true
		q.idle.Broadcast()
	})
	defer timer.Stop()
	q.mu.Lock()
	defer q.mu.Unlock()
	for (q.writing || len(q.queue) > 0) && !expired {
		q.idle.Wait()
	}
}
