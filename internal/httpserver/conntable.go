package httpserver

import "time"

// connStage is how far a connection's current request has progressed. Connections in a lower stage are
// evicted first.
type connStage uint8

const (
	stageNew     connStage = iota // open, nothing received yet
	stageIdle                     // between two requests
	stageReading                  // part of a request was received, or the connection is about to close
	stageServing                  // a request is being served
	stageWriting                  // the caller does not read its response as fast as it could be written
	numStages
)

// tableEntry is a connection's entry in a connTable, which owns all fields but conn.
type tableEntry struct {
	conn       *conn
	stage      connStage
	stageSince time.Time   // when the connection reached its stage
	prev, next *tableEntry // in the list of the stage
	inTable    bool
}

// connTable holds the open connections that count against the connection limit, and selects those to evict.
// It has one list for each stage, in which the connection that reached the stage first comes first. It does
// no I/O and takes no lock.
type connTable struct {
	maxOpen   int
	openCount int
	lists     [numStages]struct{ front, back *tableEntry }
}

// add adds a connection, in stageNew. The table may hold more than maxOpen entries, as many as the server's slots
// allow, for which Serve waits before it accepts.
func (t *connTable) add(e *tableEntry, now time.Time) {
	e.inTable = true
	t.openCount++
	t.pushBack(e, stageNew, now)
}

// setStage records the stage that a connection has reached. It returns false if the connection is not
// in the table: an evicted connection is about to close.
func (t *connTable) setStage(e *tableEntry, stage connStage, now time.Time) bool {
	if !e.inTable {
		return false
	}
	t.unlink(e)
	t.pushBack(e, stage, now)
	return true
}

// remove removes a connection and reports whether it was in the table.
func (t *connTable) remove(e *tableEntry) bool {
	if !e.inTable {
		return false
	}
	t.unlink(e)
	e.inTable = false
	t.openCount--
	return true
}

// full reports whether maxOpen connections are in the table. Connections are evicted then, so that one
// slot stays free for the next caller; otherwise new and idle connections would occupy all slots.
func (t *connTable) full() bool { return t.openCount >= t.maxOpen }

// evictionCandidate returns the connection whose eviction does the least harm, nil if none may be evicted:
// the one that has been new for longest, else idle for longest, else reading for longest. New and reading
// connections are evicted only after grace in their stage, as their requests may be on their way, and never
// if they are newest, which may be nil. New and idle connections must have no unread data, which
// readWouldBlock reports. Connections whose request is being served, or whose response is being written, are never
// evicted.
func (t *connTable) evictionCandidate(newest *tableEntry, now time.Time, grace time.Duration, readWouldBlock func(*tableEntry) bool) *tableEntry {
	for _, stage := range []connStage{stageNew, stageIdle, stageReading} {
		for e := t.lists[stage].front; e != nil; e = e.next {
			if stage != stageIdle && (e == newest || now.Sub(e.stageSince) < grace) || stage != stageReading && !readWouldBlock(e) {
				continue
			}
			return e
		}
	}
	return nil
}

// oldest returns the connection that has been in a stage for longest, nil if none has been for minAge.
func (t *connTable) oldest(stage connStage, now time.Time, minAge time.Duration) *tableEntry {
	if e := t.lists[stage].front; e != nil && now.Sub(e.stageSince) >= minAge {
		return e
	}
	return nil
}

// pushBack appends an entry to the list of a stage.
func (t *connTable) pushBack(e *tableEntry, stage connStage, now time.Time) {
	l := &t.lists[stage]
	e.stage, e.stageSince, e.prev, e.next = stage, now, l.back, nil
	if l.back != nil {
		l.back.next = e
	} else {
		l.front = e
	}
	l.back = e
}

// unlink removes an entry from the list of its stage.
func (t *connTable) unlink(e *tableEntry) {
	l := &t.lists[e.stage]
	if e.prev != nil {
		e.prev.next = e.next
	} else {
		l.front = e.next
	}
	if e.next != nil {
		e.next.prev = e.prev
	} else {
		l.back = e.prev
	}
	e.prev, e.next = nil, nil
}
