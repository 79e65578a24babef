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
	fronts = 2 // sidecars that take the callers' orders
	slots  = 2 // requests that a node has in work together
	queue  = 8
	spare  = 250 * time.Millisecond // that an answer may take beyond the sidecar's own margins
)

// noticed is how late discovery learns that a process has died.
const noticed = 2 * time.Second

// lab is a run.
type lab struct {
	cfg       Config
	program   string
	discovery [3]*fake.Discovery
	ledgers   [3]*fake.ExecutionLog
	nodes     [3][]*fake.Node
	fronts    []*process
	notice    *time.Timer // tells discovery of the node that died; nil before

	mu       sync.Mutex
	behind   map[*fake.Node]*process // the sidecar that a node calls through
	sidecars []*process
	calls    *fake.Caller // of the nodes
	keys     int
}

// Run runs the lab. It returns an error if it could not be run, or a rule was broken.
func Run(ctx context.Context, cfg Config) error {
	l := &lab{cfg: cfg, behind: make(map[*fake.Node]*process), calls: fake.NewCaller(64)}
	defer l.close()
	if err := os.MkdirAll(cfg.Dir, 0o755); err != nil {
		return err
	}
	if err := l.start(ctx); err != nil {
		return err
	}
	caller := fake.NewCaller(64)
	defer caller.Close()
	told := l.stream(ctx, caller)
	if err := ctx.Err(); err != nil {
		return err
	}
	return l.report(caller, told)
}

func (l *lab) say(format string, args ...any) { fmt.Fprintf(l.cfg.Out, format+"\n", args...) }

// start starts the stand-ins and the sidecars.
func (l *lab) start(ctx context.Context) error {
	var err error
	if l.program = l.cfg.Program; l.program == "" {
		l.say("building the program ...")
		if l.program, err = build(ctx, l.cfg.Dir); err != nil {
			return err
		}
	}
	for i, t := range tiers {
		if l.discovery[i], err = fake.NewDiscovery("127.0.0.1:0", false); err != nil {
			return err
		}
		l.ledgers[i] = &fake.ExecutionLog{RepeatWindow: windowMS * time.Millisecond}
		for n := range t.nodes {
			if err := l.node(i, n); err != nil {
				return err
			}
		}
		text, err := operators(t)
		if err != nil {
			return err
		}
		if err := os.WriteFile(l.file(t.name+".toml"), text, 0o644); err != nil {
			return err
		}
	}
	for n := range fronts {
		p, err := l.sidecar(0, n, fronts, n%2)
		if err != nil {
			return err
		}
		l.fronts = append(l.fronts, p)
	}
	for i := range tiers[:2] {
		for n, node := range l.nodes[i] {
			p, err := l.sidecar(i+1, n, len(l.nodes[i]), n%2)
			if err != nil {
				return err
			}
			l.behind[node] = p
		}
	}
	files, err := checkFiles(l.cfg.Dir)
	if err != nil {
		return fmt.Errorf("lab: its own files are refused: %w", err)
	}
	l.say("%d configuration files in %s, all accepted by the checker", files, l.cfg.Dir)
	wait, cancel := context.WithTimeout(ctx, 30*time.Second)
	defer cancel()
	for _, p := range l.sidecars {
		if err := p.ready(wait); err != nil {
			return err
		}
	}
	l.say("%d nodes in 3 tiers and %d sidecars are ready", len(l.nodes[0])+len(l.nodes[1])+len(l.nodes[2]), len(l.sidecars))
	return nil
}

func (l *lab) file(name string) string { return filepath.Join(l.cfg.Dir, name) }

// node starts a node of a tier.
func (l *lab) node(tier, n int) error {
	t := tiers[tier]
	var node *fake.Node
	cfg := fake.NodeConfig{
		ID: fmt.Sprintf("%s-%d", t.name, n), Zone: zones[n%2], Addr: "127.0.0.1:0", Concurrency: slots, QueueCapacity: queue,
		ServiceTime: time.Duration(t.workMS) * time.Millisecond, ExecutionLog: l.ledgers[tier],
	}
	if t.next != "" {
		cfg.Forward = func(ctx context.Context, r *http.Request) error { return l.callOn(ctx, node, t.calls, r) }
	}
	var err error
	if node, err = fake.NewNode(cfg); err != nil {
		return err
	}
	l.nodes[tier] = append(l.nodes[tier], node)
	l.discovery[tier].Update(node.DiscoveryEntry("up"))
	return nil
}

// sidecar starts a sidecar that sends to a tier.
func (l *lab) sidecar(tier, number, of, zone int) (*process, error) {
	name := fmt.Sprintf("to-%s-%d", tiers[tier].name, number)
	addrs, err := freeAddresses(1)
	if err != nil {
		return nil, err
	}
	text, err := platform(name, addrs[0], tier, zone, number, of, sidecarSockets, l.discovery[tier].Addr(), l.discovery[tier].List(), "pull")
	if err != nil {
		return nil, err
	}
	if err := os.WriteFile(l.file(name+".json"), text, 0o644); err != nil {
		return nil, err
	}
	p, err := begin(l.cfg.Dir, name, addrs[0], l.program, []string{"-settings", l.file(tiers[tier].name + ".toml")},
		[]string{"PROXY_CONFIG=" + l.file(name+".json"), "PROXY_NAME=", "PROXY_LISTEN=", "PROXY_DISCOVERY="})
	if err == nil {
		l.mu.Lock()
		l.sidecars = append(l.sidecars, p)
		l.mu.Unlock()
	}
	return p, err
}

// callOn makes a node's calls of the next tier, one after another, within what is left of the
// request's time.
func (l *lab) callOn(ctx context.Context, node *fake.Node, calls int, r *http.Request) error {
	l.mu.Lock()
	p := l.behind[node]
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
			ID: newID(), Class: class, IdempotencyKey: fmt.Sprintf("%s-%d", r.Header.Get("Idempotency-Key"), n), Timeout: left,
		}
		o.Body = "call"
		if v := l.calls.Do(ctx, p.addr, o, 0); v != fake.OutcomeServed {
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

// events are the times of what the lab did to the nodes.
type events struct {
	drained              *fake.Node
	drainTold            time.Time
	restarted            *fake.Node
	restartedAt          time.Time
	asked                int
	failedNode, drained2 string
}

// stream sends the orders, and has a node fail and another drain on the way.
func (l *lab) stream(ctx context.Context, caller *fake.Caller) events {
	var e events
	plan := []struct {
		at float64 // of the stream
		do func()
	}{
		{0.25, func() { l.fail(&e) }},
		{0.5, func() { l.drain(&e) }},
		{0.7, func() { l.restart(ctx, &e) }},
	}
	l.say("sending %.0f orders a second for %v ...", l.cfg.RequestsPerSecond, l.cfg.Duration)
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
			l.say("  %4.1f s: %d asked, %d served, %d refused, %d failed", time.Since(began).Seconds(), e.asked,
				c[fake.OutcomeServed], c[fake.OutcomeRefused], c[fake.OutcomeFailed])
		}
		o := fake.CallerRequest{
			ID: newID(), Class: class, IdempotencyKey: newID() + newID(), Path: fmt.Sprintf("tank-%d", e.asked),
			Body: "500 litres", Timeout: deadlineMS * time.Millisecond,
		}
		front := l.fronts[e.asked%len(l.fronts)]
		e.asked++
		wg.Add(1)
		go func() {
			defer wg.Done()
			caller.Do(ctx, front.addr, o, spare)
		}()
	}
	wg.Wait()
	return e
}

// fail ends a node of the first tier and its sidecar. Discovery learns of it later.
func (l *lab) fail(e *events) {
	node := l.nodes[0][0]
	e.failedNode = node.DiscoveryEntry("").ID
	l.say("  node %s dies; discovery learns of it %v later", e.failedNode, noticed)
	node.Stop()
	l.behind[node].kill()
	l.notice = time.AfterFunc(noticed, func() { l.discovery[0].Update(node.DiscoveryEntry("removed")) })
}

// drain has a node of the last tier leave.
func (l *lab) drain(e *events) {
	e.drained = l.nodes[2][1]
	e.drained2 = e.drained.DiscoveryEntry("").ID
	l.say("  node %s drains", e.drained2)
	l.discovery[2].Update(e.drained.DiscoveryEntry("draining"))
	e.drainTold = time.Now() // an agent that is waited on has told by then, or within its answer
}

// restart has the node that failed start anew, cold.
func (l *lab) restart(ctx context.Context, e *events) {
	l.notice.Stop() // in a short run the node is back before its death was noticed
	node := l.nodes[0][0]
	if err := node.Start(); err != nil {
		l.say("  node %s does not start: %v", e.failedNode, err)
		return
	}
	p, err := l.sidecar(1, 0, len(l.nodes[0]), 0)
	if err == nil {
		err = p.ready(ctx)
	}
	if err != nil {
		l.say("  node %s does not start: %v", e.failedNode, err)
		return
	}
	l.mu.Lock()
	l.behind[node] = p
	l.mu.Unlock()
	e.restarted, e.restartedAt = node, node.StartedAt()
	l.say("  node %s is back, cold", e.failedNode)
	l.discovery[0].Update(node.DiscoveryEntry("up"))
}

func (l *lab) close() {
	if l.notice != nil {
		l.notice.Stop()
	}
	for _, p := range l.sidecars {
		select {
		case <-p.done:
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
	l.calls.Close()
}

// report stops the sidecars and prints the table.
func (l *lab) report(caller *fake.Caller, e events) error {
	var broken error
	var cpu time.Duration
	var peakKB int64
	killed := l.nodes[0][0]
	for _, p := range l.sidecars {
		select {
		case <-p.done: // the one that was killed with its node
			if killed == nil {
				broken = errors.Join(broken, fmt.Errorf("%s ended by itself: %w", p.name, p.err))
			}
			killed = nil
		default:
			peak, err := p.peak()
			peakKB = max(peakKB, peak)
			broken = errors.Join(broken, err, p.stop())
		}
		cpu += p.used()
	}
	counts, took, lost := caller.Results()
	w := tabwriter.NewWriter(l.cfg.Out, 0, 0, 2, ' ', 0)
	row := func(name, format string, args ...any) { fmt.Fprintf(w, "%s\t%s\n", name, fmt.Sprintf(format, args...)) }
	share := func(v fake.Outcome) string {
		return fmt.Sprintf("%d (%.1f%%)", counts[v], 100*float64(counts[v])/float64(max(e.asked, 1)))
	}
	fmt.Fprintln(w)
	row("asked", "%d", e.asked)
	row("served", "%s", share(fake.OutcomeServed))
	row("refused", "%s", share(fake.OutcomeRefused))
	row("failed", "%s", share(fake.OutcomeFailed))
	slices.Sort(took)
	row("time of those served", "p50 %v  p99 %v  p99.9 %v", quantile(took, 0.5), quantile(took, 0.99), quantile(took, 0.999))
	for i, t := range tiers {
		attempts, repeats, _ := l.ledgers[i].Totals()
		row("attempts that ran at "+t.name, "%d, %.2f an order, %d of them repeats that were dropped", attempts,
			float64(attempts)/float64(max(e.asked, 1)), repeats)
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
	rule("no request lost", checkLost(e.asked, counts, lost))
	rule("no effect twice", l.checkTwice())
	rule("drains kept", checkDrain(e, l.cfg.DrainSlack))
	rule("no cold endpoint pushed over", checkCold(e))
	if err := w.Flush(); err != nil {
		return err
	}
	l.say("\nThe files are in %s. Try:\n  go run ./cmd/drumctl config explain %s %s", l.cfg.Dir,
		l.file("order-front.toml"), l.file("to-order-front-0.json"))
	return broken
}

// quantile is a quantile of sorted times.
func quantile(sorted []time.Duration, q float64) time.Duration {
	if len(sorted) == 0 {
		return 0
	}
	return sorted[min(int(q*float64(len(sorted))), len(sorted)-1)].Round(10 * time.Microsecond)
}

func checkLost(asked int, counts map[fake.Outcome]int, lost map[string]int) error {
	sum := 0
	for _, n := range counts {
		sum += n
	}
	if n := counts[fake.OutcomeNoResponse]; n > 0 || sum != asked {
		return fmt.Errorf("%d of %d have no answer: %v", n+asked-sum, asked, lost)
	}
	return nil
}

func (l *lab) checkTwice() error {
	for i, t := range tiers {
		if _, _, twice := l.ledgers[i].Totals(); twice > 0 {
			return fmt.Errorf("%d orders at %s", twice, t.name)
		}
	}
	return nil
}

// checkDrain checks that nothing came to the node that drains later than the grace, and 50 ms
// more as PROTOCOL has it, after the agent told of it; an agent's answer may take as long as
// the sidecars wait between two calls.
func checkDrain(e events, slack time.Duration) error {
	if e.drained == nil {
		return nil
	}
	const heard = 300 * time.Millisecond
	late := 0
	for _, at := range e.drained.ArrivalTimes() {
		if at.Sub(e.drainTold) > heard+slack+(drainGraceMS+50)*time.Millisecond {
			late++
		}
	}
	if late > 0 {
		return fmt.Errorf("%d requests came late to %s", late, e.drained2)
	}
	return nil
}

// checkCold checks the budget of a node that has just started: what comes in any window of
// fallMS stays under the multiple of what it can do there.
func checkCold(e events) error {
	if e.restarted == nil {
		return nil
	}
	full := float64(slots) / (float64(tiers[0].workMS) / 1000) // requests a second, at the least: calls take time besides
	arrivals := e.restarted.ArrivalTimes()
	for i, from := range arrivals {
		if from.Before(e.restartedAt) {
			continue
		}
		n := 0
		for _, at := range arrivals[i:] {
			if at.Sub(from) < fallMS*time.Millisecond {
				n++
			}
		}
		age := float64(from.Sub(e.restartedAt).Milliseconds())
		now := full * min(1, coldShare+(1-coldShare)*age/coldMS)
		if most := fallMultiple * now * fallMS / 1000; float64(n) > most+3 { // a little slack for chance
			return fmt.Errorf("%d requests in %d ms to a node that can do %.1f a second", n, fallMS, now)
		}
	}
	return nil
}
