package httpserver

import "time"

// connStage is how far a caller's connection has come. The lower, the sooner it gives way.
type connStage uint8

const (
	stageNew     connStage = iota // nothing has come on it yet
	stageIdle                     // between two requests
	stageReading                  // part of a request has come, or it is to be closed
	stageServing                  // a request is being answered
	numStages
)

// tableEntry is a connection as places sees it.
type tableEntry struct {
	conn       *conn
	stage      connStage
	stageSince time.Time
	prev, next *tableEntry
	inTable    bool
}

// connTable are the connections that callers may have open, by stage, those first that have been
// in it for longest. It does no I/O and takes no lock.
type connTable struct {
	maxOpen   int
	openCount int
	lists     [numStages]struct{ front, back *tableEntry }
}

// add lets a connection in, which is silent. There may be one more than the most: the
// listener waits for a place before it accepts.
func (p *connTable) add(g *tableEntry, now time.Time) {
	g.inTable = true
	p.openCount++
	p.pushBack(g, stageNew, now)
}

// setStage notes the stage that a connection has come to. It tells whether the connection is still
// in: one that has given way is to be closed.
func (p *connTable) setStage(g *tableEntry, to connStage, now time.Time) bool {
	if !g.inTable {
		return false
	}
	p.unlink(g)
	p.pushBack(g, to, now)
	return true
}

// remove takes a connection out. It tells whether it was in.
func (p *connTable) remove(g *tableEntry) bool {
	if !g.inTable {
		return false
	}
	p.unlink(g)
	g.inTable = false
	p.openCount--
	return true
}

// full tells whether the last place is taken: one is kept free for whoever comes next, since
// silent and idle callers would fill all.
func (p *connTable) full() bool { return p.openCount >= p.maxOpen }

// evictionCandidate returns the connection that is the least loss: the one that has been silent for longest, else
// idle, else with part of a request; the first and the last only after grace, as their requests may be on
// their way. It is never one whose request has been taken, nor the newest unless that is idle, nor one of
// the first two on which something has come that nobody has read yet, as quiet tells. It is nil if there
// is none.
func (p *connTable) evictionCandidate(newest *tableEntry, now time.Time, grace time.Duration, quiet func(*tableEntry) bool) *tableEntry {
	for _, at := range []connStage{stageNew, stageIdle, stageReading} {
		for g := p.lists[at].front; g != nil; g = g.next {
			if at != stageIdle && (g == newest || now.Sub(g.stageSince) < grace) || at != stageReading && !quiet(g) {
				continue
			}
			return g
		}
	}
	return nil
}

func (p *connTable) pushBack(g *tableEntry, at connStage, now time.Time) {
	l := &p.lists[at]
	g.stage, g.stageSince, g.prev, g.next = at, now, l.back, nil
	if l.back != nil {
		l.back.next = g
	} else {
		l.front = g
	}
	l.back = g
}

func (p *connTable) unlink(g *tableEntry) {
	l := &p.lists[g.stage]
	if g.prev != nil {
		g.prev.next = g.next
	} else {
		l.front = g.next
	}
	if g.next != nil {
		g.next.prev = g.prev
	} else {
		l.back = g.prev
	}
	g.prev, g.next = nil, nil
}
