// Package lab runs the real sidecar program with fake nodes, discovery and callers on loopback. Run
// starts three tiers of nodes with a sidecar beside each caller and sends requests at a fixed rate;
// during the run one node fails and another drains. It reports the outcomes of the requests and whether
// the four rules were kept, and leaves the configuration files to read and change. Compare and
// CompareStreams measure the program beside other proxies. The sidecar must not import this package.
package lab

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"text/tabwriter"
	"time"

	"barleydrum.example/barleydrum/internal/fake"
)

// Config configures a run of the lab.
type Config struct {
	Dir               string        // folder for the files of the run; created if it does not exist
	Program           string        // path of the sidecar program; empty builds it
	RequestsPerSecond float64       // used by Run only
	Duration          time.Duration // how long requests are sent; not used by CompareStreams
	DrainSlack        time.Duration // added to the drain grace in the check of the drain, for a busy machine
	Out               io.Writer     // receives progress and the report
}

const (
	entrySidecarCount = 2 // sidecars that receive the callers' requests
	nodeConcurrency   = 2 // requests that a node runs at the same time
	nodeQueueCapacity = 8
	responseSlack     = 250 * time.Millisecond // how late a response may reach the caller beyond the sidecar's own margins
)

// failureDetectionDelay is the time from a node's failure until discovery removes it.
const failureDetectionDelay = 2 * time.Second

// lab is the state of a run. The arrays are indexed by tier.
type lab struct {
	cfg           Config
	program       string // path of the sidecar program
	discovery     [3]*fake.Discovery
	executionLogs [3]*fake.ExecutionLog
	nodes         [3][]*fake.Node
	entrySidecars []*process
	removalTimer  *time.Timer // removes the failed node from discovery; nil before the failure

	mu           sync.Mutex
	nodeSidecars map[*fake.Node]*process // the sidecar through which a node sends to the next tier
	sidecars     []*process              // all that were started
	nodeCaller   *fake.Caller            // sends the nodes' requests to the next tier
	keys         int
}

// Run starts the nodes and sidecars, sends requests for cfg.Duration and reports to cfg.Out. It returns
// an error if a part of the run failed, a rule was broken, or ctx ended. It stops what it started.
func Run(ctx context.Context, cfg Config) error {
	l := &lab{cfg: cfg, nodeSidecars: make(map[*fake.Node]*process), nodeCaller: fake.NewCaller(64)}
	defer l.close()
	if err := os.MkdirAll(cfg.Dir, 0o755); err != nil {
		return err
	}
	if err := l.start(ctx); err != nil {
		return err
	}
	caller := fake.NewCaller(64)
	defer caller.Close()
	events := l.sendRequests(ctx, caller)
	if err := ctx.Err(); err != nil {
		return err
	}
	return l.report(caller, events)
}

// logf prints a line to the run's output.
func (l *lab) logf(format string, args ...any) { fmt.Fprintf(l.cfg.Out, format+"\n", args...) }

// start starts discovery, the nodes and the sidecars, checks the written configuration files, and waits
// until all sidecars are ready.
func (l *lab) start(ctx context.Context) error {
	var err error
	if l.program = l.cfg.Program; l.program == "" {
		l.logf("building the sidecar program ...")
		if l.program, err = buildSidecar(ctx, l.cfg.Dir); err != nil {
			return err
		}
	}
	for i, t := range tiers {
		if l.discovery[i], err = fake.NewDiscovery("127.0.0.1:0", false); err != nil {
			return err
		}
		l.executionLogs[i] = &fake.ExecutionLog{RepeatWindow: repeatWindowMS * time.Millisecond}
		for n := range t.nodes {
			if err := l.startNode(i, n); err != nil {
				return err
			}
		}
		text, err := operatorSettings(t)
		if err != nil {
			return err
		}
		if err := os.WriteFile(l.path(t.name+".toml"), text, 0o644); err != nil {
			return err
		}
	}
	for n := range entrySidecarCount {
		p, err := l.startSidecar(0, n, entrySidecarCount, n%2)
		if err != nil {
			return err
		}
		l.entrySidecars = append(l.entrySidecars, p)
	}
	for i := range tiers[:2] {
		for n, node := range l.nodes[i] {
			p, err := l.startSidecar(i+1, n, len(l.nodes[i]), n%2)
			if err != nil {
				return err
			}
			l.nodeSidecars[node] = p
		}
	}
	files, err := checkFiles(l.cfg.Dir)
	if err != nil {
		return fmt.Errorf("lab: the checker refused the generated configuration files: %w", err)
	}
	l.logf("%d configuration files in %s, all accepted by the checker", files, l.cfg.Dir)
	readyCtx, cancel := context.WithTimeout(ctx, 30*time.Second)
	defer cancel()
	for _, p := range l.sidecars {
		if err := p.waitReady(readyCtx); err != nil {
			return err
		}
	}
	l.logf("%d nodes in 3 tiers and %d sidecars are ready", len(l.nodes[0])+len(l.nodes[1])+len(l.nodes[2]), len(l.sidecars))
	return nil
}

// path returns the path of a file in the run's folder.
func (l *lab) path(name string) string { return filepath.Join(l.cfg.Dir, name) }

// startNode starts node number of a tier and adds it to discovery.
func (l *lab) startNode(tierIndex, number int) error {
	t := tiers[tierIndex]
	var node *fake.Node
	cfg := fake.NodeConfig{
		ID: fmt.Sprintf("%s-%d", t.name, number), Zone: zones[number%2], Addr: "127.0.0.1:0", Concurrency: nodeConcurrency, QueueCapacity: nodeQueueCapacity,
		ServiceTime: time.Duration(t.serviceTimeMS) * time.Millisecond, ExecutionLog: l.executionLogs[tierIndex],
	}
	if t.nextName != "" {
		cfg.Forward = func(ctx context.Context, r *http.Request) error { return l.forward(ctx, node, t.nextTierRequests, r) }
	}
	var err error
	if node, err = fake.NewNode(cfg); err != nil {
		return err
	}
	l.nodes[tierIndex] = append(l.nodes[tierIndex], node)
	l.discovery[tierIndex].Update(node.DiscoveryEntry("up"))
	return nil
}

// startSidecar starts one of the sidecarCount sidecars that send to a tier; sidecarIndex, from 0, numbers
// it among them. zoneIndex is an index of zones. It returns without waiting until the sidecar is ready.
func (l *lab) startSidecar(tierIndex, sidecarIndex, sidecarCount, zoneIndex int) (*process, error) {
	name := fmt.Sprintf("to-%s-%d", tiers[tierIndex].name, sidecarIndex)
	addrs, err := freeAddresses(1)
	if err != nil {
		return nil, err
	}
	text, err := platformConfig(name, addrs[0], tierIndex, zoneIndex, sidecarIndex, sidecarCount, sidecarSockets, l.discovery[tierIndex].Addr(), l.discovery[tierIndex].List(), "pull")
	if err != nil {
		return nil, err
	}
	if err := os.WriteFile(l.path(name+".json"), text, 0o644); err != nil {
		return nil, err
	}
	p, err := startProcess(l.cfg.Dir, name, addrs[0], l.program, []string{"-settings", l.path(tiers[tierIndex].name + ".toml")},
		[]string{"PROXY_CONFIG=" + l.path(name+".json"), "PROXY_NAME=", "PROXY_LISTEN=", "PROXY_DISCOVERY="})
	if err == nil {
		l.mu.Lock()
		l.sidecars = append(l.sidecars, p)
		l.mu.Unlock()
	}
	return p, err
}

// forward sends count requests to the next tier through the node's sidecar, one after another, within
// the X-Timeout of r. It returns an error at the first one that is not served.
func (l *lab) forward(ctx context.Context, node *fake.Node, count int, r *http.Request) error {
	l.mu.Lock()
	sidecar := l.nodeSidecars[node]
	l.mu.Unlock()
	timeoutMicros, err := strconv.ParseInt(strings.TrimSuffix(r.Header.Get("X-Timeout"), "u"), 10, 64)
	if err != nil {
		return fmt.Errorf("X-Timeout: %w", err)
	}
	deadline := time.Now().Add(time.Duration(timeoutMicros) * time.Microsecond)
	for n := range count {
		remaining := time.Until(deadline)
		if remaining <= 0 {
			return context.DeadlineExceeded
		}
		// The key is derived from the key of r, so that a repeat of r sends the same keys.
		request := fake.CallerRequest{
			ID: newID(), Class: className, IdempotencyKey: fmt.Sprintf("%s-%d", r.Header.Get("Idempotency-Key"), n), Timeout: remaining,
		}
		request.Body = "call"
		if outcome := l.nodeCaller.Do(ctx, sidecar.addr, request, 0); outcome != fake.OutcomeServed {
			return fmt.Errorf("request to the next tier: %s", outcome)
		}
	}
	return nil
}

// newID returns 16 random hexadecimal digits.
func newID() string {
	var b [8]byte
	rand.Read(b[:])
	return hex.EncodeToString(b[:])
}

// runEvents records what the lab did to the nodes and how many requests it sent. A node is nil if its
// event did not take place.
type runEvents struct {
	drainedNode                 *fake.Node
	drainAnnouncedAt            time.Time
	restartedNode               *fake.Node
	restartedAt                 time.Time
	requestCount                int
	failedNodeID, drainedNodeID string
}

// sendRequests sends requests at the configured rate, in turn to the entry sidecars, and waits until all
// have ended. On the way it makes one node fail and start again, and another drain.
func (l *lab) sendRequests(ctx context.Context, caller *fake.Caller) runEvents {
	var events runEvents
	plan := []struct {
		startFraction float64 // of the run's duration
		run           func()
	}{
		{0.25, func() { l.failNode(&events) }},
		{0.5, func() { l.drainNode(&events) }},
		{0.7, func() { l.restartNode(ctx, &events) }},
	}
	l.logf("sending %.0f requests per second for %v ...", l.cfg.RequestsPerSecond, l.cfg.Duration)
	var wg sync.WaitGroup
	startedAt, lastLoggedAt := time.Now(), time.Now()
	interval := time.Duration(float64(time.Second) / l.cfg.RequestsPerSecond)
	for sendAt := startedAt; time.Since(startedAt) < l.cfg.Duration && ctx.Err() == nil; sendAt = sendAt.Add(interval) {
		time.Sleep(time.Until(sendAt))
		for len(plan) > 0 && time.Since(startedAt) >= time.Duration(plan[0].startFraction*float64(l.cfg.Duration)) {
			plan[0].run()
			plan = plan[1:]
		}
		if time.Since(lastLoggedAt) > 2*time.Second {
			lastLoggedAt = time.Now()
			counts, _, _ := caller.Results()
			l.logf("  %4.1f s: %d sent, %d served, %d refused, %d failed", time.Since(startedAt).Seconds(), events.requestCount,
				counts[fake.OutcomeServed], counts[fake.OutcomeRefused], counts[fake.OutcomeFailed])
		}
		request := fake.CallerRequest{
			ID: newID(), Class: className, IdempotencyKey: newID() + newID(), Path: fmt.Sprintf("tank-%d", events.requestCount),
			Body: "500 litres", Timeout: deadlineMS * time.Millisecond,
		}
		sidecar := l.entrySidecars[events.requestCount%len(l.entrySidecars)]
		events.requestCount++
		wg.Add(1)
		go func() {
			defer wg.Done()
			caller.Do(ctx, sidecar.addr, request, responseSlack)
		}()
	}
	wg.Wait()
	return events
}

// failNode stops a node of the first tier and kills its sidecar. Discovery removes the node
// failureDetectionDelay later.
func (l *lab) failNode(events *runEvents) {
	node := l.nodes[0][0]
	events.failedNodeID = node.DiscoveryEntry("").ID
	l.logf("  node %s fails; discovery removes it %v later", events.failedNodeID, failureDetectionDelay)
	node.Stop()
	l.nodeSidecars[node].kill()
	l.removalTimer = time.AfterFunc(failureDetectionDelay, func() { l.discovery[0].Update(node.DiscoveryEntry("removed")) })
}

// drainNode makes discovery list a node of the last tier as draining.
func (l *lab) drainNode(events *runEvents) {
	events.drainedNode = l.nodes[2][1]
	events.drainedNodeID = events.drainedNode.DiscoveryEntry("").ID
	l.logf("  node %s drains", events.drainedNodeID)
	l.discovery[2].Update(events.drainedNode.DiscoveryEntry("draining"))
	events.drainAnnouncedAt = time.Now() // by now the open watches are notified; other sidecars get it with their next request
}

// restartNode starts the failed node and a new sidecar for it. The node counts as a cold endpoint.
func (l *lab) restartNode(ctx context.Context, events *runEvents) {
	l.removalTimer.Stop() // in a short run the node starts again before discovery has removed it
	node := l.nodes[0][0]
	if err := node.Start(); err != nil {
		l.logf("  node %s does not start: %v", events.failedNodeID, err)
		return
	}
	sidecar, err := l.startSidecar(1, 0, len(l.nodes[0]), 0)
	if err == nil {
		err = sidecar.waitReady(ctx)
	}
	if err != nil {
		l.logf("  node %s does not start: %v", events.failedNodeID, err)
		return
	}
	l.mu.Lock()
	l.nodeSidecars[node] = sidecar
	l.mu.Unlock()
	events.restartedNode, events.restartedAt = node, node.StartedAt()
	l.logf("  node %s has restarted, cold", events.failedNodeID)
	l.discovery[0].Update(node.DiscoveryEntry("up"))
}

// close kills the sidecars that still run and stops the nodes and discovery.
func (l *lab) close() {
	if l.removalTimer != nil {
		l.removalTimer.Stop()
	}
	for _, p := range l.sidecars {
		select {
		case <-p.exited:
		default:
			p.kill()
		}
	}
	for i := range tiers {
		for _, n := range l.nodes[i] {
			n.Stop()
		}
		if l.discovery[i] != nil {
			l.discovery[i].Close()
		}
	}
	l.nodeCaller.Close()
}

// report stops the sidecars, prints the table of results and checks the rules. It returns an error for
// each broken rule and for each sidecar that did not end as expected.
func (l *lab) report(caller *fake.Caller, events runEvents) error {
	var failures error
	var cpuTime time.Duration
	var peakKB int64
	killedNode := l.nodes[0][0] // nil once the sidecar that failNode killed has been found
	for _, p := range l.sidecars {
		select {
		case <-p.exited:
			if killedNode == nil {
				failures = errors.Join(failures, fmt.Errorf("%s exited unexpectedly: %w", p.name, p.waitErr))
			}
			killedNode = nil
		default:
			peak, err := p.peakKB()
			peakKB = max(peakKB, peak)
			failures = errors.Join(failures, err, p.stop())
		}
		cpuTime += p.cpuTime()
	}
	counts, latencies, noResponseReasons := caller.Results()
	w := tabwriter.NewWriter(l.cfg.Out, 0, 0, 2, ' ', 0)
	row := func(name, format string, args ...any) { fmt.Fprintf(w, "%s\t%s\n", name, fmt.Sprintf(format, args...)) }
	countAndShare := func(outcome fake.Outcome) string {
		return fmt.Sprintf("%d (%.1f%%)", counts[outcome], 100*float64(counts[outcome])/float64(max(events.requestCount, 1)))
	}
	fmt.Fprintln(w)
	row("requests", "%d", events.requestCount)
	row("served", "%s", countAndShare(fake.OutcomeServed))
	row("refused", "%s", countAndShare(fake.OutcomeRefused))
	row("failed", "%s", countAndShare(fake.OutcomeFailed))
	slices.Sort(latencies)
	row("latency of served requests", "p50 %v  p99 %v  p99.9 %v", quantile(latencies, 0.5), quantile(latencies, 0.99), quantile(latencies, 0.999))
	for i, t := range tiers {
		attempts, droppedRepeats, _ := l.executionLogs[i].Totals()
		row("attempts that ran at "+t.name, "%d, %.2f per request, %d of them dropped as repeats", attempts,
			float64(attempts)/float64(max(events.requestCount, 1)), droppedRepeats)
	}
	row("sidecars", "%d, total CPU time %v, largest peak memory %d MB", len(l.sidecars), cpuTime.Round(time.Millisecond), peakKB>>10)
	rule := func(name string, err error) {
		verdict := "kept"
		if err != nil {
			verdict = "BROKEN: " + err.Error()
			failures = errors.Join(failures, fmt.Errorf("%s: %w", name, err))
		}
		row("rule: "+name, "%s", verdict)
	}
	rule("no request lost", checkLostRequests(events.requestCount, counts, noResponseReasons))
	rule("no effect twice", l.checkRepeatedEffects())
	rule("drains kept", checkDrainedNode(events, l.cfg.DrainSlack))
	rule("no cold endpoint pushed over", checkColdNode(events))
	if err := w.Flush(); err != nil {
		return err
	}
	l.logf("\nThe files are in %s. Try:\n  go run ./cmd/drumctl config explain %s %s", l.cfg.Dir,
		l.path("order-front.toml"), l.path("to-order-front-0.json"))
	return failures
}

// quantile returns the quantile q, from 0 to 1, of sorted times, rounded to 10 microseconds; 0 if there
// are none.
func quantile(sorted []time.Duration, q float64) time.Duration {
	if len(sorted) == 0 {
		return 0
	}
	return sorted[min(int(q*float64(len(sorted))), len(sorted)-1)].Round(10 * time.Microsecond)
}

// checkLostRequests checks that each of the requestCount requests has an outcome and a response.
func checkLostRequests(requestCount int, counts map[fake.Outcome]int, noResponseReasons map[string]int) error {
	sum := 0
	for _, n := range counts {
		sum += n
	}
	if n := counts[fake.OutcomeNoResponse]; n > 0 || sum != requestCount {
		return fmt.Errorf("%d of %d requests have no response: %v", n+requestCount-sum, requestCount, noResponseReasons)
	}
	return nil
}

// checkRepeatedEffects checks that no request had its effect more than once in any tier.
func (l *lab) checkRepeatedEffects() error {
	for i, t := range tiers {
		if _, _, repeatedEffects := l.executionLogs[i].Totals(); repeatedEffects > 0 {
			return fmt.Errorf("%d requests at %s", repeatedEffects, t.name)
		}
	}
	return nil
}

// checkDrainedNode checks that the drained node received no request later than the drain grace after
// the sidecars learned of the drain. PROTOCOL allows 50 ms more. A sidecar learns of it up to
// maxNotificationDelay after discovery's update, the longest time between two of its discovery requests.
func checkDrainedNode(events runEvents, slack time.Duration) error {
	if events.drainedNode == nil {
		return nil
	}
	const maxNotificationDelay = 300 * time.Millisecond
	late := 0
	for _, arrivedAt := range events.drainedNode.ArrivalTimes() {
		if arrivedAt.Sub(events.drainAnnouncedAt) > maxNotificationDelay+slack+(drainGraceMS+50)*time.Millisecond {
			late++
		}
	}
	if late > 0 {
		return fmt.Errorf("%d requests arrived at %s after the drain grace", late, events.drainedNodeID)
	}
	return nil
}

// checkColdNode checks the load of the restarted node: in any window of coldOverloadTimeMS it may receive at
// most coldOverloadMultiple times the requests that a node of its age can serve in that time, and 3 more.
func checkColdNode(events runEvents) error {
	if events.restartedNode == nil {
		return nil
	}
	// Requests per second of a warm node. This is an upper bound: requests to the next tier take further time.
	fullRate := float64(nodeConcurrency) / (float64(tiers[0].serviceTimeMS) / 1000)
	arrivalTimes := events.restartedNode.ArrivalTimes()
	for i, windowStart := range arrivalTimes {
		if windowStart.Before(events.restartedAt) {
			continue
		}
		received := 0
		for _, arrivedAt := range arrivalTimes[i:] {
			if arrivedAt.Sub(windowStart) < coldOverloadTimeMS*time.Millisecond {
				received++
			}
		}
		ageMS := float64(windowStart.Sub(events.restartedAt).Milliseconds())
		rate := fullRate * min(1, coldCapacityShare+(1-coldCapacityShare)*ageMS/warmupTimeMS)
		if limit := coldOverloadMultiple * rate * coldOverloadTimeMS / 1000; float64(received) > limit+3 { // slack of 3 for random variation
			return fmt.Errorf("%d requests in %d ms to a node that can serve %.1f per second", received, coldOverloadTimeMS, rate)
		}
	}
	return nil
}
