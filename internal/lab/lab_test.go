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

// TestMain runs the test binary as a reference proxy if its arguments say so: the lab starts its own
// program for that, which is the test binary here.
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

// buildTestSidecar builds the sidecar program in a folder of the test and returns its path.
func buildTestSidecar(t *testing.T) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "barleydrum")
	c := exec.Command("go", "build", "-o", path, "../../cmd/barleydrum")
	if text, err := c.CombinedOutput(); err != nil {
		t.Fatalf("%v: %s", err, text)
	}
	return path
}

// Checks that all rules are kept in a run with a failing and a draining node, that the report has the
// expected parts, and that the run leaves its 15 configuration files, which the checker accepts.
func TestRunKeepsRulesThroughFailureAndDrain(t *testing.T) {
	var out strings.Builder
	dir := t.TempDir()
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Minute)
	defer cancel()
	err := Run(ctx, Config{Dir: dir, Program: buildTestSidecar(t), RequestsPerSecond: 10, Duration: 6 * time.Second, DrainSlack: 2 * time.Second, Out: &out})
	if err != nil {
		t.Fatalf("%v\n%s", err, out.String())
	}
	for _, want := range []string{"\nrequests ", "order-front-0 fails", "run-booking-1 drains", "has restarted, cold", "rule: drains kept "} {
		if !strings.Contains(out.String(), want) {
			t.Errorf("output lacks %q:\n%s", want, out.String())
		}
	}
	if n, err := checkFiles(dir); n != 15 || err != nil {
		t.Errorf("%d configuration files, %v; want 15 accepted ones", n, err)
	}
}

// Checks that each compared program, and the nodes without one, serve requests and get a row in the table.
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

// Checks that both programs deliver all long bodies completely, also those of slow callers, and that
// Validate names the flag of a value out of range.
func TestCompareStreamsDeliversLongBodies(t *testing.T) {
	var out strings.Builder
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Minute)
	defer cancel()
	opts := StreamOptions{ConcurrentStreams: 6, Nodes: 2, RequestBodyBytes: 300_000, ResponseBodyBytes: 400_000, SlowEvery: 3, SlowBytesPerSecond: 1 << 20}
	if err := CompareStreams(ctx, Config{Dir: t.TempDir(), Program: buildTestSidecar(t), Out: &out}, opts); err != nil {
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
		bad := opts
		spoil(&bad)
		if err := bad.Validate(); err == nil || !strings.Contains(err.Error(), name) {
			t.Errorf("%s: %v", name, err)
		}
	}
}

// Checks that Validate names the flag of a value out of range and accepts valid options.
func TestCompareOptionsValidateNamesBadFlag(t *testing.T) {
	valid := CompareOptions{Callers: 1, Nodes: 1, Rounds: 1}
	for name, spoil := range map[string]func(*CompareOptions){
		"-callers": func(c *CompareOptions) { c.Callers = 0 }, "-nodes": func(c *CompareOptions) { c.Nodes = 501 },
		"-body": func(c *CompareOptions) { c.RequestBodyBytes = -1 }, "-answer": func(c *CompareOptions) { c.ResponseBodyBytes = 1 << 20 },
		"-rounds": func(c *CompareOptions) { c.Rounds = 0 }, "-think": func(c *CompareOptions) { c.ThinkTime = -1 }, "-open": func(c *CompareOptions) { c.OpenConnections = 5000 },
	} {
		bad := valid
		spoil(&bad)
		if err := bad.Validate(); err == nil || !strings.Contains(err.Error(), name) {
			t.Errorf("%s: %v", name, err)
		}
	}
	if err := valid.Validate(); err != nil {
		t.Error(err)
	}
}

// Checks that each check of a rule accepts a run that keeps it and reports one that breaks it.
func TestRuleChecksDetectViolations(t *testing.T) {
	outcomes := func(served, noResponse int) map[fake.Outcome]int {
		return map[fake.Outcome]int{fake.OutcomeServed: served, fake.OutcomeNoResponse: noResponse}
	}
	if checkLostRequests(5, outcomes(5, 0), nil) != nil || checkLostRequests(5, outcomes(4, 1), nil) == nil || checkLostRequests(5, outcomes(4, 0), nil) == nil {
		t.Error("checkLostRequests does not distinguish lost requests from served ones")
	}
	node, err := fake.NewNode(fake.NodeConfig{ID: "n", Addr: "127.0.0.1:0"})
	if err != nil {
		t.Fatal(err)
	}
	defer node.Stop()
	caller := fake.NewCaller(1)
	defer caller.Close()
	sendRequest := func() {
		request := fake.CallerRequest{ID: newID(), Class: className, IdempotencyKey: "k", Body: "x", Timeout: 20 * time.Second}
		if outcome := caller.Do(context.Background(), node.DiscoveryEntry("").HostPort, request, 0); outcome != fake.OutcomeServed {
			t.Fatalf("request to the fake node: %v", outcome)
		}
	}
	sendRequest()
	if err := checkDrainedNode(runEvents{drainedNode: node, drainAnnouncedAt: time.Now()}, 0); err != nil {
		t.Errorf("request before the drain: %v", err)
	}
	if err := checkDrainedNode(runEvents{drainedNode: node, drainAnnouncedAt: time.Now().Add(-time.Minute)}, 0); err == nil {
		t.Error("request a minute after the drain was not reported")
	}
	restartedAt := time.Now()
	for range 60 {
		sendRequest()
	}
	if err := checkColdNode(runEvents{restartedNode: node, restartedAt: restartedAt}); err == nil {
		t.Error("60 consecutive requests to a cold node were not reported")
	}
	executions := &fake.ExecutionLog{RepeatWindow: time.Hour}
	l := &lab{}
	for i := range l.executionLogs {
		l.executionLogs[i] = executions
	}
	if err := l.checkRepeatedEffects(); err != nil {
		t.Error(err)
	}
	executions.RepeatWindow = 0
	for range 2 {
		executions.Record("id", "key")
	}
	if err := l.checkRepeatedEffects(); err == nil {
		t.Error("repeated effect was not reported")
	}
}
