package httpserver

import "time"

// stage is how far a caller's connection has come. The lower, the sooner it gives way.
type stage uint8

const (
	silent  stage = iota // nothing has come on it yet
	idle                 // between two requests
	partial              // part of a request has come, or it is to be closed
	taken                // a request is being answered
	stages
)

// guest is a connection as places sees it.
type guest struct {
	conn       *conn
	at         stage
	since      time.Time
	prev, next *guest
	in         bool
}

// places are the connections that callers may have open, by stage, those first that have been
// in it for longest. It does no I/O and takes no lock.
type places struct {
	most  int
	open  int
	lists [stages]struct{ front, back *guest }
}

// enter lets a connection in, which is silent. There may be one more than the most: the
// listener waits for a place before it accepts.
func (p *places) enter(g *guest, now time.Time) {
	g.in = true
	p.open++
	p.push(g, silent, now)
}

// move notes the stage that a connection has come to. It tells whether the connection is still
// in: one that has given way is to be closed.
func (p *places) move(g *guest, to stage, now time.Time) bool {
	if !g.in {
		return false
	}
	p.unlink(g)
	p.push(g, to, now)
	return true
}

// leave takes a connection out. It tells whether it was in.
func (p *places) leave(g *guest) bool {
	if !g.in {
		return false
	}
	p.unlink(g)
	g.in = false
	p.open--
	return true
}

// full tells whether the last place is taken: one is kept free for whoever comes next, since
// silent and idle callers would fill all.
func (p *places) full() bool { return p.open >= p.most }

// victim returns the connection that is the least loss: the one that has been silent for longest, else
// idle, else with part of a request; the first and the last only after grace, as their requests may be on
// their way. It is never one whose request has been taken, nor the newest unless that is idle, nor one of
// the first two on which something has come that nobody has read yet, as quiet tells. It is nil if there
// is none.
func (p *places) victim(newest *guest, now time.Time, grace time.Duration, quiet func(*guest) bool) *guest {
	for _, at := range []stage{silent, idle, partial} {
		for g := p.lists[at].front; g != nil; g = g.next {
			if at != idle && (g == newest || now.Sub(g.since) < grace) || at != partial && !quiet(g) {
				continue
			}
			return g
		}
	}
	return nil
}

func (p *places) push(g *guest, at stage, now time.Time) {
	l := &p.lists[at]
	g.at, g.since, g.prev, g.next = at, now, l.back, nil
	if l.back != nil {
		l.back.next = g
	} else {
		l.front = g
	}
	l.back = g
}

func (p *places) unlink(g *guest) {
	l := &p.lists[g.at]
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
