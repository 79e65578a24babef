package fleetsim

import (
	"time"

	"barleydrum.example/barleydrum/balance"
)

// node is the running state of a Node. Each job first computes with an equal share of
// the cores and then waits for the tiers behind the node.
type node struct {
	*Node
	index        int // in Config.Nodes
	sim          *simulation
	running      []*job        // jobs that compute
	waiting      int           // number of jobs that wait for the tiers behind
	advancedAt   time.Duration // simulated time of the last advance
	completionID uint64        // number of the latest scheduled completion; earlier ones are ignored
}

// job is an attempt at a node.
type job struct {
	endpoint balance.EndpointID
	sentAt   time.Duration // simulated time at which the sidecar sent it

	// remainingWorkSeconds is the remaining computing time on a core of speed 1.
	// downstreamSeconds is the wait for the tiers behind, after the computation.
	remainingWorkSeconds, downstreamSeconds float64

	onEnd func(balance.Result, *balance.Load) // called once, when the node responds
}

// loadReport returns the node's load report, which contains only the number of
// requests in flight.
func (n *node) loadReport() *balance.Load {
	return &balance.Load{
		InFlight: float64(len(n.running) + n.waiting), Queued: -1, Utilization: -1, LatencyMS: -1, ServedPerSecond: -1, FailedPerSecond: -1,
	}
}

// accept starts a job, or rejects it if MaxInFlight jobs are in flight already.
func (n *node) accept(j *job) {
	inFlight := len(n.running) + n.waiting
	if inFlight >= n.MaxInFlight {
		j.onEnd(balance.Rejected, n.loadReport())
		return
	}
	n.sim.result.PeakInFlight[n.index] = max(n.sim.result.PeakInFlight[n.index], inFlight+1)
	n.advance()
	n.running = append(n.running, j)
	n.scheduleCompletion()
}

// workRate returns the work that each running job does in a second: seconds of
// computing time on a core of speed 1. No job uses more than one core.
func (n *node) workRate() float64 {
	return n.CoreSpeed * min(1, float64(n.Cores)/float64(max(len(n.running), 1)))
}

// advance subtracts the work done since the last call from the running jobs. It must
// be called before a change of running, because that changes the work rate.
func (n *node) advance() {
	workDone := n.workRate() * (n.sim.now - n.advancedAt).Seconds()
	for _, j := range n.running {
		j.remainingWorkSeconds -= workDone
	}
	n.advancedAt = n.sim.now
}

// scheduleCompletion schedules the completion of the running job with the least
// remaining work, and invalidates the completion event that was scheduled before.
func (n *node) scheduleCompletion() {
	n.completionID++
	if len(n.running) == 0 {
		return
	}
	shortest := n.running[0]
	for _, j := range n.running {
		if j.remainingWorkSeconds < shortest.remainingWorkSeconds {
			shortest = j
		}
	}
	completionID := n.completionID
	n.sim.schedule(time.Duration(shortest.remainingWorkSeconds/n.workRate()*float64(time.Second))+1, func() {
		if completionID == n.completionID {
			n.completeJobs()
		}
	})
}

// completeJobs moves the running jobs without remaining work on to their wait for the
// tiers behind. At the end of its wait a job ends, with an error at the node's ErrorRate.
func (n *node) completeJobs() {
	n.advance()
	stillRunning := n.running[:0]
	for _, j := range n.running {
		if j.remainingWorkSeconds > 1e-9 {
			stillRunning = append(stillRunning, j)
			continue
		}
		n.waiting++
		n.sim.schedule(time.Duration(j.downstreamSeconds*float64(time.Second)), func() {
			n.waiting--
			result := balance.OK
			if n.sim.errorRNG.Float64() < n.ErrorRate {
				result = balance.Error
			}
			j.onEnd(result, n.loadReport())
		})
	}
	clear(n.running[len(stillRunning):])
	n.running = stillRunning
	n.scheduleCompletion()
}
