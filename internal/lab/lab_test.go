package lab

import (
	"context"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"barleydrum.example/barleydrum/internal/fake"
)

// TestMain lets the test binary stand in for the lab's own program as what it compares with.
func TestMain(m *testing.M) {
	if ran, err := RunReferenceProxy(os.Args[1:]); ran {
		if err != nil {
			os.Stderr.WriteString(err.Error())
			os.Exit(1)
		}
		return
	}
	os.Exit(m.Run())
}

// buildTestSidecar builds the sidecar once for a test.
func buildTestSidecar(t *testing.T) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "barleydrum")
	c := exec.Command("go", "build", "-o", path, "../../cmd/barleydrum")
	if text, err := c.CombinedOutput(); err != nil {
		t.Fatalf("%v: %s", err, text)
	}
	return path
}

// A run ends with all rules kept, through a failure and a drain, and leaves its files.
func TestRunKeepsRulesThroughFailureAndDrain(t *testing.T) {
	var out strings.Builder
	dir := t.TempDir()
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Minute)
	defer cancel()
	err := Run(ctx, Config{Dir: dir, Program: buildTestSidecar(t), RequestsPerSecond: 10, Duration: 6 * time.Second, DrainSlack: 2 * time.Second, Out: &out})
	if err != nil {
		t.Fatalf("%v\n%s", err, out.String())
	}
	for _, want := range []string{"asked ", "order-front-0 dies", "run-booking-1 drains", "is back, cold", "rule: drains kept "} {
		if !strings.Contains(out.String(), want) {
			t.Errorf("lacks %q:\n%s", want, out.String())
		}
	}
	if n, err := checkFiles(dir); n != 15 || err != nil {
		t.Errorf("%d files, %v", n, err)
	}
}

// Both sides of the comparison serve what they are asked.
func TestCompareServesThroughEachProgram(t *testing.T) {
	var out strings.Builder
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Minute)
	defer cancel()
	err := Compare(ctx, Config{Dir: t.TempDir(), Program: buildTestSidecar(t), Duration: 900 * time.Millisecond, Out: &out},
		CompareOptions{Callers: 8, Nodes: 12, RequestBodyBytes: 20, ResponseBodyBytes: 20, ThinkTime: time.Millisecond, Rounds: 1, OpenConnections: 20})
	if err != nil {
		t.Fatalf("%v\n%s", err, out.String())
	}
	for _, name := range []string{"no proxy", "barleydrum, probing", "barleydrum, no reports", "httputil.ReverseProxy", "fasthttp proxy"} {
		_, row, ok := strings.Cut(out.String(), "\n"+name)
		if row, _, _ = strings.Cut(row, "\n"); !ok || strings.HasPrefix(strings.TrimSpace(row), "0 ") {
			t.Errorf("%s: %s", name, out.String())
		}
	}
}

// Both sides pass on long bodies whole, slow callers' too; what can't be is refused by its name.
func TestCompareStreamsDeliversLongBodies(t *testing.T) {
	var out strings.Builder
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Minute)
	defer cancel()
	how := StreamOptions{ConcurrentStreams: 6, Nodes: 2, RequestBodyBytes: 300_000, ResponseBodyBytes: 400_000, SlowEvery: 3, SlowBytesPerSecond: 1 << 20}
	if err := CompareStreams(ctx, Config{Dir: t.TempDir(), Program: buildTestSidecar(t), Out: &out}, how); err != nil {
		t.Fatalf("%v\n%s", err, out.String())
	}
	for _, name := range []string{"barleydrum", "httputil.ReverseProxy"} {
		_, row, ok := strings.Cut(out.String(), "\n"+name)
		if row, _, _ = strings.Cut(row, "\n"); !ok || !strings.HasSuffix(row, " 0") {
			t.Errorf("%s: %s", name, out.String())
		}
	}
	for name, spoil := range map[string]func(*StreamOptions){
		"-callers": func(s *StreamOptions) { s.ConcurrentStreams = 0 }, "-nodes": func(s *StreamOptions) { s.Nodes = 501 }, "-body": func(s *StreamOptions) { s.RequestBodyBytes = 200 },
		"-answer": func(s *StreamOptions) { s.ResponseBodyBytes = 0 }, "-slow": func(s *StreamOptions) { s.SlowEvery = -1 }, "-rate-slow": func(s *StreamOptions) { s.SlowBytesPerSecond = 1 },
	} {
		bad := how
		spoil(&bad)
		if err := bad.Validate(); err == nil || !strings.Contains(err.Error(), name) {
			t.Errorf("%s: %v", name, err)
		}
	}
}

// A comparison that can't be is refused by the name of what is wrong.
func TestCompareOptionsValidateNamesBadFlag(t *testing.T) {
	good := CompareOptions{Callers: 1, Nodes: 1, Rounds: 1}
	for name, spoil := range map[string]func(*CompareOptions){
		"-callers": func(c *CompareOptions) { c.Callers = 0 }, "-nodes": func(c *CompareOptions) { c.Nodes = 501 },
		"-body": func(c *CompareOptions) { c.RequestBodyBytes = -1 }, "-answer": func(c *CompareOptions) { c.ResponseBodyBytes = 1 << 20 },
		"-rounds": func(c *CompareOptions) { c.Rounds = 0 }, "-think": func(c *CompareOptions) { c.ThinkTime = -1 }, "-open": func(c *CompareOptions) { c.OpenConnections = 5000 },
	} {
		bad := good
		spoil(&bad)
		if err := bad.Validate(); err == nil || !strings.Contains(err.Error(), name) {
			t.Errorf("%s: %v", name, err)
		}
	}
	if err := good.Validate(); err != nil {
		t.Error(err)
	}
}

// The lab's own judgement sees what it is to see.
func TestRuleChecksDetectViolations(t *testing.T) {
	n := func(served, lost int) map[fake.Outcome]int {
		return map[fake.Outcome]int{fake.OutcomeServed: served, fake.OutcomeNoResponse: lost}
	}
	if checkLostRequests(5, n(5, 0), nil) != nil || checkLostRequests(5, n(4, 1), nil) == nil || checkLostRequests(5, n(4, 0), nil) == nil {
		t.Error("lost requests are not told from answered ones")
	}
	node, err := fake.NewNode(fake.NodeConfig{ID: "n", Addr: "127.0.0.1:0"})
	if err != nil {
		t.Fatal(err)
	}
	defer node.Stop()
	caller := fake.NewCaller(1)
	defer caller.Close()
	ask := func() {
		o := fake.CallerRequest{ID: newID(), Class: className, IdempotencyKey: "k", Body: "x", Timeout: 20 * time.Second}
		if v := caller.Do(context.Background(), node.DiscoveryEntry("").HostPort, o, 0); v != fake.OutcomeServed {
			t.Fatalf("the stand-in node: %v", v)
		}
	}
	ask()
	if err := checkDrainedNode(runEvents{drainedNode: node, drainAnnouncedAt: time.Now()}, 0); err != nil {
		t.Errorf("what came before the drain: %v", err)
	}
	if err := checkDrainedNode(runEvents{drainedNode: node, drainAnnouncedAt: time.Now().Add(-time.Minute)}, 0); err == nil {
		t.Error("a request a minute after the drain is not seen")
	}
	at := time.Now()
	for range 60 {
		ask()
	}
	if err := checkColdNode(runEvents{restartedNode: node, restartedAt: at}); err == nil {
		t.Error("60 requests at once to a cold node are not seen")
	}
	ledger := &fake.ExecutionLog{RepeatWindow: time.Hour}
	l := &lab{}
	for i := range l.executionLogs {
		l.executionLogs[i] = ledger
	}
	if err := l.checkRepeatedEffects(); err != nil {
		t.Error(err)
	}
	ledger.RepeatWindow = 0
	for range 2 {
		ledger.Record("id", "key")
	}
	if err := l.checkRepeatedEffects(); err == nil {
		t.Error("an effect that happened twice is not seen")
	}
}
