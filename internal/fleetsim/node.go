package fleetsim

import (
	"time"

	"barleydrum.example/barleydrum/balance"
)

// node serves calls: each computes with its part of the cores, then waits for the tiers behind.
type node struct {
	*Node
	at      int
	w       *world
	running []*job
	waiting int
	since   time.Duration // what is left of the running jobs is as of then
	turn    uint64        // of the event that ends the first of them
}

// job is a call at a node.
type job struct {
	to         balance.EndpointID
	began      time.Duration
	work, wait float64 // in seconds: what is left to compute at speed 1, and to wait
	done       func(balance.Result, *balance.Load)
}

// load is the report of a node's load.
func (n *node) load() *balance.Load {
	return &balance.Load{
		InFlight: float64(len(n.running) + n.waiting), Queued: -1, Utilization: -1, LatencyMS: -1, ServedPerSecond: -1, FailedPerSecond: -1,
	}
}

// take takes a call, or turns it away if the node holds as many as it can.
func (n *node) take(j *job) {
	held := len(n.running) + n.waiting
	if held >= n.MaxInFlight {
		j.done(balance.Rejected, n.load())
		return
	}
	n.w.res.PeakInFlight[n.at] = max(n.w.res.PeakInFlight[n.at], held+1)
	n.advance()
	n.running = append(n.running, j)
	n.next()
}

// rate is what each running job computes in a second.
func (n *node) rate() float64 {
	return n.CoreSpeed * min(1, float64(n.Cores)/float64(max(len(n.running), 1)))
}

// advance takes what has been computed since it was last called off the running jobs.
func (n *node) advance() {
	did := n.rate() * (n.w.now - n.since).Seconds()
	for _, j := range n.running {
		j.work -= did
	}
	n.since = n.w.now
}

// next sets the event that ends the running job with the least left.
func (n *node) next() {
	n.turn++
	if len(n.running) == 0 {
		return
	}
	first := n.running[0]
	for _, j := range n.running {
		if j.work < first.work {
			first = j
		}
	}
	turn := n.turn
	n.w.after(time.Duration(first.work/n.rate()*float64(time.Second))+1, func() {
		if turn == n.turn {
			n.finish()
		}
	})
}

// finish has those go on to wait that have computed all they need.
func (n *node) finish() {
	n.advance()
	left := n.running[:0]
	for _, j := range n.running {
		if j.work > 1e-9 {
			left = append(left, j)
			continue
		}
		n.waiting++
		n.w.after(time.Duration(j.wait*float64(time.Second)), func() {
			n.waiting--
			res := balance.OK
			if n.w.errs.Float64() < n.ErrorRate {
				res = balance.Error
			}
			j.done(res, n.load())
		})
	}
	clear(n.running[len(left):])
	n.running = left
	n.next()
}
