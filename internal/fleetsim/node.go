package fleetsim

import (
	"time"

	"barleydrum.example/barleydrum/balance"
)

// node serves calls: each computes with its part of the cores, then waits for the tiers behind.
type node struct {
	*Node
	index        int
	sim          *simulation
	running      []*job
	waiting      int
	advancedAt   time.Duration // what is left of the running jobs is as of then
	completionID uint64        // of the event that ends the first of them
}

// job is a call at a node.
type job struct {
	endpoint                                balance.EndpointID
	sentAt                                  time.Duration
	remainingWorkSeconds, downstreamSeconds float64 // in seconds: what is left to compute at speed 1, and to wait
	onEnd                                   func(balance.Result, *balance.Load)
}

// loadReport is the report of a node's load.
func (n *node) loadReport() *balance.Load {
	return &balance.Load{
		InFlight: float64(len(n.running) + n.waiting), Queued: -1, Utilization: -1, LatencyMS: -1, ServedPerSecond: -1, FailedPerSecond: -1,
	}
}

// accept takes a call, or turns it away if the node holds as many as it can.
func (n *node) accept(j *job) {
	held := len(n.running) + n.waiting
	if held >= n.MaxInFlight {
		j.onEnd(balance.Rejected, n.loadReport())
		return
	}
	n.sim.result.PeakInFlight[n.index] = max(n.sim.result.PeakInFlight[n.index], held+1)
	n.advance()
	n.running = append(n.running, j)
	n.scheduleCompletion()
}

// workRate is what each running job computes in a second.
func (n *node) workRate() float64 {
	return n.CoreSpeed * min(1, float64(n.Cores)/float64(max(len(n.running), 1)))
}

// advance takes what has been computed since it was last called off the running jobs.
func (n *node) advance() {
	did := n.workRate() * (n.sim.now - n.advancedAt).Seconds()
	for _, j := range n.running {
		j.remainingWorkSeconds -= did
	}
	n.advancedAt = n.sim.now
}

// scheduleCompletion sets the event that ends the running job with the least left.
func (n *node) scheduleCompletion() {
	n.completionID++
	if len(n.running) == 0 {
		return
	}
	first := n.running[0]
	for _, j := range n.running {
		if j.remainingWorkSeconds < first.remainingWorkSeconds {
			first = j
		}
	}
	turn := n.completionID
	n.sim.schedule(time.Duration(first.remainingWorkSeconds/n.workRate()*float64(time.Second))+1, func() {
		if turn == n.completionID {
			n.completeJobs()
		}
	})
}

// completeJobs has those go on to wait that have computed all they need.
func (n *node) completeJobs() {
	n.advance()
	left := n.running[:0]
	for _, j := range n.running {
		if j.remainingWorkSeconds > 1e-9 {
			left = append(left, j)
			continue
		}
		n.waiting++
		n.sim.schedule(time.Duration(j.downstreamSeconds*float64(time.Second)), func() {
			n.waiting--
			res := balance.OK
			if n.sim.errorRNG.Float64() < n.ErrorRate {
				res = balance.Error
			}
			j.onEnd(res, n.loadReport())
		})
	}
	clear(n.running[len(left):])
	n.running = left
	n.scheduleCompletion()
}
