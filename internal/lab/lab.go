// Package lab runs the real program before stand-ins on loopback: three tiers of nodes with
// a sidecar of its own beside each caller, a bounded stream of orders, a node that fails and
// one that drains on the way. It shows what becomes of the orders and whether the four rules
// were kept, and leaves the configuration files for reading and changing.
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

// Config says what a run of the lab is.
type Config struct {
	Dir               string        // for its files; it is made
	Program           string        // the sidecar; empty builds it
	RequestsPerSecond float64       // orders a second
	Duration          time.Duration // of the stream
	DrainSlack        time.Duration // that a busy machine may add to the grace of a drain
	Out               io.Writer
}

const (
	entrySidecarCount = 2 // sidecars that take the callers' orders
	nodeConcurrency   = 2 // requests that a node has in work together
	nodeQueueCapacity = 8
	responseSlack     = 250 * time.Millisecond // that an answer may take beyond the sidecar's own margins
)

// failureDetectionDelay is how late discovery learns that a process has died.
const failureDetectionDelay = 2 * time.Second

// lab is a run.
type lab struct {
	cfg           Config
	program       string
	discovery     [3]*fake.Discovery
	executionLogs [3]*fake.ExecutionLog
	nodes         [3][]*fake.Node
	entrySidecars []*process
	removalTimer  *time.Timer // tells discovery of the node that died; nil before

	mu           sync.Mutex
	nodeSidecars map[*fake.Node]*process // the sidecar that a node calls through
	sidecars     []*process
	nodeCaller   *fake.Caller // of the nodes
	keys         int
}

// Run runs the lab. It returns an error if it could not be run, or a rule was broken.
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
	told := l.sendRequests(ctx, caller)
	if err := ctx.Err(); err != nil {
		return err
	}
	return l.report(caller, told)
}

func (l *lab) logf(format string, args ...any) { fmt.Fprintf(l.cfg.Out, format+"\n", args...) }

// start starts the stand-ins and the sidecars.
func (l *lab) start(ctx context.Context) error {
	var err error
	if l.program = l.cfg.Program; l.program == "" {
		l.logf("building the program ...")
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
		return fmt.Errorf("lab: its own files are refused: %w", err)
	}
	l.logf("%d configuration files in %s, all accepted by the checker", files, l.cfg.Dir)
	wait, cancel := context.WithTimeout(ctx, 30*time.Second)
	defer cancel()
	for _, p := range l.sidecars {
		if err := p.waitReady(wait); err != nil {
			return err
		}
	}
	l.logf("%d nodes in 3 tiers and %d sidecars are ready", len(l.nodes[0])+len(l.nodes[1])+len(l.nodes[2]), len(l.sidecars))
	return nil
}

func (l *lab) path(name string) string { return filepath.Join(l.cfg.Dir, name) }

// startNode starts a node of a tier.
func (l *lab) startNode(tier, n int) error {
	t := tiers[tier]
	var node *fake.Node
	cfg := fake.NodeConfig{
		ID: fmt.Sprintf("%s-%d", t.name, n), Zone: zones[n%2], Addr: "127.0.0.1:0", Concurrency: nodeConcurrency, QueueCapacity: nodeQueueCapacity,
		ServiceTime: time.Duration(t.serviceTimeMS) * time.Millisecond, ExecutionLog: l.executionLogs[tier],
	}
	if t.nextName != "" {
		cfg.Forward = func(ctx context.Context, r *http.Request) error { return l.forward(ctx, node, t.nextTierRequests, r) }
	}
	var err error
	if node, err = fake.NewNode(cfg); err != nil {
		return err
	}
	l.nodes[tier] = append(l.nodes[tier], node)
	l.discovery[tier].Update(node.DiscoveryEntry("up"))
	return nil
}

// startSidecar starts a sidecar that sends to a tier.
func (l *lab) startSidecar(tier, number, of, zone int) (*process, error) {
	name := fmt.Sprintf("to-%s-%d", tiers[tier].name, number)
	addrs, err := freeAddresses(1)
	if err != nil {
		return nil, err
	}
	text, err := platformConfig(name, addrs[0], tier, zone, number, of, sidecarSockets, l.discovery[tier].Addr(), l.discovery[tier].List(), "pull")
	if err != nil {
		return nil, err
	}
	if err := os.WriteFile(l.path(name+".json"), text, 0o644); err != nil {
		return nil, err
	}
	p, err := startProcess(l.cfg.Dir, name, addrs[0], l.program, []string{"-settings", l.path(tiers[tier].name + ".toml")},
		[]string{"PROXY_CONFIG=" + l.path(name+".json"), "PROXY_NAME=", "PROXY_LISTEN=", "PROXY_DISCOVERY="})
	if err == nil {
		l.mu.Lock()
		l.sidecars = append(l.sidecars, p)
		l.mu.Unlock()
	}
	return p, err
}

// forward makes a node's calls of the next tier, one after another, within what is left of the
// request's time.
func (l *lab) forward(ctx context.Context, node *fake.Node, calls int, r *http.Request) error {
	l.mu.Lock()
	p := l.nodeSidecars[node]
	l.mu.Unlock()
	us, err := strconv.ParseInt(strings.TrimSuffix(r.Header.Get("X-Timeout"), "u"), 10, 64)
	if err != nil {
		return fmt.Errorf("X-Timeout: %w", err)
	}
	end := time.Now().Add(time.Duration(us) * time.Microsecond)
	for n := range calls {
		left := time.Until(end)
		if left <= 0 {
			return context.DeadlineExceeded
		}
		// A repeat of the request makes the same calls: their keys say so.
		o := fake.CallerRequest{
			ID: newID(), Class: className, IdempotencyKey: fmt.Sprintf("%s-%d", r.Header.Get("Idempotency-Key"), n), Timeout: left,
		}
		o.Body = "call"
		if v := l.nodeCaller.Do(ctx, p.addr, o, 0); v != fake.OutcomeServed {
			return fmt.Errorf("call of the next tier: %s", v)
		}
	}
	return nil
}

func newID() string {
	var b [8]byte
	rand.Read(b[:])
	return hex.EncodeToString(b[:])
}

// runEvents are the times of what the lab did to the nodes.
type runEvents struct {
	drainedNode                 *fake.Node
	drainAnnouncedAt            time.Time
	restartedNode               *fake.Node
	restartedAt                 time.Time
	requestCount                int
	failedNodeID, drainedNodeID string
}

// sendRequests sends the orders, and has a node fail and another drain on the way.
func (l *lab) sendRequests(ctx context.Context, caller *fake.Caller) runEvents {
	var e runEvents
	plan := []struct {
		at float64 // of the stream
		do func()
	}{
		{0.25, func() { l.failNode(&e) }},
		{0.5, func() { l.drainNode(&e) }},
		{0.7, func() { l.restartNode(ctx, &e) }},
	}
	l.logf("sending %.0f orders a second for %v ...", l.cfg.RequestsPerSecond, l.cfg.Duration)
	var wg sync.WaitGroup
	began, said := time.Now(), time.Now()
	gap := time.Duration(float64(time.Second) / l.cfg.RequestsPerSecond)
	for next := began; time.Since(began) < l.cfg.Duration && ctx.Err() == nil; next = next.Add(gap) {
		time.Sleep(time.Until(next))
		for len(plan) > 0 && time.Since(began) >= time.Duration(plan[0].at*float64(l.cfg.Duration)) {
			plan[0].do()
			plan = plan[1:]
		}
		if time.Since(said) > 2*time.Second {
			said = time.Now()
			c, _, _ := caller.Results()
			l.logf("  %4.1f s: %d asked, %d served, %d refused, %d failed", time.Since(began).Seconds(), e.requestCount,
				c[fake.OutcomeServed], c[fake.OutcomeRefused], c[fake.OutcomeFailed])
		}
		o := fake.CallerRequest{
			ID: newID(), Class: className, IdempotencyKey: newID() + newID(), Path: fmt.Sprintf("tank-%d", e.requestCount),
			Body: "500 litres", Timeout: deadlineMS * time.Millisecond,
		}
		front := l.entrySidecars[e.requestCount%len(l.entrySidecars)]
		e.requestCount++
		wg.Add(1)
		go func() {
			defer wg.Done()
			caller.Do(ctx, front.addr, o, responseSlack)
		}()
	}
	wg.Wait()
	return e
}

// failNode ends a node of the first tier and its sidecar. Discovery learns of it later.
func (l *lab) failNode(e *runEvents) {
	node := l.nodes[0][0]
	e.failedNodeID = node.DiscoveryEntry("").ID
	l.logf("  node %s dies; discovery learns of it %v later", e.failedNodeID, failureDetectionDelay)
	node.Stop()
	l.nodeSidecars[node].kill()
	l.removalTimer = time.AfterFunc(failureDetectionDelay, func() { l.discovery[0].Update(node.DiscoveryEntry("removed")) })
}

// drainNode has a node of the last tier leave.
func (l *lab) drainNode(e *runEvents) {
	e.drainedNode = l.nodes[2][1]
	e.drainedNodeID = e.drainedNode.DiscoveryEntry("").ID
	l.logf("  node %s drains", e.drainedNodeID)
	l.discovery[2].Update(e.drainedNode.DiscoveryEntry("draining"))
	e.drainAnnouncedAt = time.Now() // an agent that is waited on has told by then, or within its answer
}

// restartNode has the node that failed start anew, cold.
func (l *lab) restartNode(ctx context.Context, e *runEvents) {
	l.removalTimer.Stop() // in a short run the node is back before its death was noticed
	node := l.nodes[0][0]
	if err := node.Start(); err != nil {
		l.logf("  node %s does not start: %v", e.failedNodeID, err)
		return
	}
	p, err := l.startSidecar(1, 0, len(l.nodes[0]), 0)
	if err == nil {
		err = p.waitReady(ctx)
	}
	if err != nil {
		l.logf("  node %s does not start: %v", e.failedNodeID, err)
		return
	}
	l.mu.Lock()
	l.nodeSidecars[node] = p
	l.mu.Unlock()
	e.restartedNode, e.restartedAt = node, node.StartedAt()
	l.logf("  node %s is back, cold", e.failedNodeID)
	l.discovery[0].Update(node.DiscoveryEntry("up"))
}

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

// report stops the sidecars and prints the table.
func (l *lab) report(caller *fake.Caller, e runEvents) error {
	var broken error
	var cpu time.Duration
	var peakKB int64
	killed := l.nodes[0][0]
	for _, p := range l.sidecars {
		select {
		case <-p.exited: // the one that was killed with its node
			if killed == nil {
				broken = errors.Join(broken, fmt.Errorf("%s ended by itself: %w", p.name, p.waitErr))
			}
			killed = nil
		default:
			peak, err := p.peakKB()
			peakKB = max(peakKB, peak)
			broken = errors.Join(broken, err, p.stop())
		}
		cpu += p.cpuTime()
	}
	counts, took, lost := caller.Results()
	w := tabwriter.NewWriter(l.cfg.Out, 0, 0, 2, ' ', 0)
	row := func(name, format string, args ...any) { fmt.Fprintf(w, "%s\t%s\n", name, fmt.Sprintf(format, args...)) }
	share := func(v fake.Outcome) string {
		return fmt.Sprintf("%d (%.1f%%)", counts[v], 100*float64(counts[v])/float64(max(e.requestCount, 1)))
	}
	fmt.Fprintln(w)
	row("asked", "%d", e.requestCount)
	row("served", "%s", share(fake.OutcomeServed))
	row("refused", "%s", share(fake.OutcomeRefused))
	row("failed", "%s", share(fake.OutcomeFailed))
	slices.Sort(took)
	row("time of those served", "p50 %v  p99 %v  p99.9 %v", quantile(took, 0.5), quantile(took, 0.99), quantile(took, 0.999))
	for i, t := range tiers {
		attempts, repeats, _ := l.executionLogs[i].Totals()
		row("attempts that ran at "+t.name, "%d, %.2f an order, %d of them repeats that were dropped", attempts,
			float64(attempts)/float64(max(e.requestCount, 1)), repeats)
	}
	row("sidecars", "%d, %v of CPU in all, %d MB at the largest", len(l.sidecars), cpu.Round(time.Millisecond), peakKB>>10)
	rule := func(name string, err error) {
		verdict := "kept"
		if err != nil {
			verdict = "BROKEN: " + err.Error()
			broken = errors.Join(broken, fmt.Errorf("%s: %w", name, err))
		}
		row("rule: "+name, "%s", verdict)
	}
	rule("no request lost", checkLostRequests(e.requestCount, counts, lost))
	rule("no effect twice", l.checkRepeatedEffects())
	rule("drains kept", checkDrainedNode(e, l.cfg.DrainSlack))
	rule("no cold endpoint pushed over", checkColdNode(e))
	if err := w.Flush(); err != nil {
		return err
	}
	l.logf("\nThe files are in %s. Try:\n  go run ./cmd/drumctl config explain %s %s", l.cfg.Dir,
		l.path("order-front.toml"), l.path("to-order-front-0.json"))
	return broken
}

// quantile is a quantile of sorted times.
func quantile(sorted []time.Duration, q float64) time.Duration {
	if len(sorted) == 0 {
		return 0
	}
	return sorted[min(int(q*float64(len(sorted))), len(sorted)-1)].Round(10 * time.Microsecond)
}

func checkLostRequests(asked int, counts map[fake.Outcome]int, lost map[string]int) error {
	sum := 0
	for _, n := range counts {
		sum += n
	}
	if n := counts[fake.OutcomeNoResponse]; n > 0 || sum != asked {
		return fmt.Errorf("%d of %d have no answer: %v", n+asked-sum, asked, lost)
	}
	return nil
}

func (l *lab) checkRepeatedEffects() error {
	for i, t := range tiers {
		if _, _, twice := l.executionLogs[i].Totals(); twice > 0 {
			return fmt.Errorf("%d orders at %s", twice, t.name)
		}
	}
	return nil
}

// checkDrainedNode checks that nothing came to the node that drains later than the grace, and 50 ms
// more as PROTOCOL has it, after the agent told of it; an agent's answer may take as long as
// the sidecars wait between two calls.
func checkDrainedNode(e runEvents, slack time.Duration) error {
	if e.drainedNode == nil {
		return nil
	}
	const heard = 300 * time.Millisecond
	late := 0
	for _, at := range e.drainedNode.ArrivalTimes() {
		if at.Sub(e.drainAnnouncedAt) > heard+slack+(drainGraceMS+50)*time.Millisecond {
			late++
		}
	}
	if late > 0 {
		return fmt.Errorf("%d requests came late to %s", late, e.drainedNodeID)
	}
	return nil
}

// checkColdNode checks the budget of a node that has just started: what comes in any window of
// fallMS stays under the multiple of what it can do there.
func checkColdNode(e runEvents) error {
	if e.restartedNode == nil {
		return nil
	}
	full := float64(nodeConcurrency) / (float64(tiers[0].serviceTimeMS) / 1000) // requests a second, at the least: calls take time besides
	arrivals := e.restartedNode.ArrivalTimes()
	for i, from := range arrivals {
		if from.Before(e.restartedAt) {
			continue
		}
		n := 0
		for _, at := range arrivals[i:] {
			if at.Sub(from) < fallTimeMS*time.Millisecond {
				n++
			}
		}
		age := float64(from.Sub(e.restartedAt).Milliseconds())
		now := full * min(1, coldShare+(1-coldShare)*age/coldTimeMS)
		if most := fallMultiple * now * fallTimeMS / 1000; float64(n) > most+3 { // a little slack for chance
			return fmt.Errorf("%d requests in %d ms to a node that can do %.1f a second", n, fallTimeMS, now)
		}
	}
	return nil
}
