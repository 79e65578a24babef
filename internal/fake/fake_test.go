package fake

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"barleydrum.example/barleydrum/internal/discovery"
)

const testTimeout = 20 * time.Second

func startNode(t *testing.T, cfg NodeConfig) *Node {
	t.Helper()
	cfg.Addr = "127.0.0.1:0"
	n, err := NewNode(cfg)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { n.Stop() })
	return n
}

// sendToNode sends a request straight to a node and returns the status, 0 for none, and the answer.
func sendToNode(t *testing.T, ctx context.Context, n *Node, id, key string) (int, Response) {
	t.Helper()
	req, err := NewHTTPRequest(ctx, n.DiscoveryEntry("").HostPort, CallerRequest{ID: id, Class: "c", IdempotencyKey: key, Body: "x", Timeout: testTimeout})
	if err != nil {
		t.Fatal(err)
	}
	req.Close = true // on a connection used before, the library would send a keyed request again by itself
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, Response{}
	}
	defer resp.Body.Close()
	var a Response
	json.NewDecoder(resp.Body).Decode(&a)
	if resp.StatusCode == http.StatusServiceUnavailable && resp.Header.Get("X-Not-Processed") != "1" {
		t.Error("a 503 without X-Not-Processed")
	}
	return resp.StatusCode, a
}

// Each fault is what PROTOCOL says of it, and the ledger knows what has run.
func TestNodeFaults(t *testing.T) {
	l := &ExecutionLog{RepeatWindow: time.Hour}
	n := startNode(t, NodeConfig{ID: "n", ExecutionLog: l})
	ctx := context.Background()
	for i, c := range []struct {
		fault       Fault
		status, ran int
	}{{FaultNone, 200, 1}, {FaultRefuse, 503, 1}, {FaultInternalError, 500, 2}, {FaultDropConnection, 0, 3}, {FaultMalformedResponse, 0, 4}, {FaultNone, 200, 5}} {
		n.SetFault(c.fault)
		id := fmt.Sprint("id", i)
		status, a := sendToNode(t, ctx, n, id, id)
		if ran, _, _ := l.Totals(); status != c.status || ran != c.ran || status == 200 && a != (Response{id, id, "n"}) {
			t.Errorf("fault %d: status %d, %d have run, answer %+v; want %d, %d", c.fault, status, ran, a, c.status, c.ran)
		}
	}
	n.SetFault(FaultStall)
	came := make(chan int, 1)
	go func() {
		status, _ := sendToNode(t, ctx, n, "stalled", "stalled")
		came <- status
	}()
	for end := time.Now().Add(testTimeout); len(n.ArrivalTimes()) < 7 && time.Now().Before(end); {
		time.Sleep(time.Millisecond)
	}
	select {
	case status := <-came:
		t.Errorf("answered %d while it stalls", status)
	default:
	}
	n.SetFault(FaultNone)
	if status := <-came; status != 200 {
		t.Errorf("answered %d after the stall", status)
	}
	if err := n.Stop(); err != nil {
		t.Fatal(err)
	}
	if status, _ := sendToNode(t, ctx, n, "x", "x"); status != 0 {
		t.Errorf("a node that has stopped answers %d", status)
	}
	if err := n.Start(); err != nil {
		t.Fatal(err)
	}
	if status, _ := sendToNode(t, ctx, n, "y", "y"); status != 200 || n.DiscoveryEntry("up").StartedAtUnixMilli == 0 {
		t.Errorf("after its start it answers %d, listed as %+v", status, n.DiscoveryEntry("up"))
	}
}

// A node with its slots and its queue full turns away, and its report says what it holds.
func TestNodeRefusesWhenQueueIsFull(t *testing.T) {
	n := startNode(t, NodeConfig{ID: "n", Concurrency: 1, QueueCapacity: 1})
	n.SetFault(FaultStall)
	done := make(chan int, 2)
	for i := range 2 {
		go func() {
			status, _ := sendToNode(t, context.Background(), n, fmt.Sprint(i), fmt.Sprint(i))
			done <- status
		}()
	}
	for end := time.Now().Add(testTimeout); len(n.ArrivalTimes()) < 2 && time.Now().Before(end); {
		time.Sleep(time.Millisecond)
	}
	if status, _ := sendToNode(t, context.Background(), n, "3", "3"); status != 503 {
		t.Errorf("a full node answers %d", status)
	}
	resp, err := http.Get("http://" + n.DiscoveryEntry("").HostPort + "/load")
	if err != nil {
		t.Fatal(err)
	}
	text, _ := io.ReadAll(resp.Body)
	resp.Body.Close()
	if string(text) != "TEXT inflight=2, queue=1, util=1.00" {
		t.Errorf("reports %q", text)
	}
	n.SetFault(FaultNone)
	for range 2 {
		if status := <-done; status != 200 {
			t.Errorf("answered %d", status)
		}
	}
}

// Repeats within the window are dropped and later ones run again.
func TestExecutionLogDropsRepeatsWithinWindow(t *testing.T) {
	l := &ExecutionLog{RepeatWindow: time.Hour}
	l.Record("1", "k")
	l.Record("2", "k")
	l.Record("3", "")
	if attempts, repeats, twice := l.Totals(); attempts != 3 || repeats != 1 || twice != 0 {
		t.Errorf("%d, %d, %d", attempts, repeats, twice)
	}
	l.RepeatWindow = 0
	l.Record("4", "k")
	if _, _, twice := l.Totals(); twice != 1 {
		t.Errorf("%d effects happened twice, want 1", twice)
	}
}

func requestList(t *testing.T, d *Discovery, query string) (discovery.List, int) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+d.Addr()+"/v1/servers"+query, nil)
	if err != nil {
		t.Fatal(err)
	}
	var l discovery.List
	resp, err := http.DefaultClient.Do(req)
	if err != nil { // not Fatal: some calls are made beside the test's own goroutine
		t.Error(err)
		return l, 0
	}
	defer resp.Body.Close()
	if resp.StatusCode == 200 {
		if err := json.NewDecoder(resp.Body).Decode(&l); err != nil {
			t.Error(err)
		}
	}
	return l, resp.StatusCode
}

// Discovery gives whole lists and changes, waits for news, and goes down in either form.
func TestDiscoveryServesListsChangesAndOutages(t *testing.T) {
	for _, asked := range []bool{false, true} {
		d, err := NewDiscovery("127.0.0.1:0", asked)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { d.Close() })
		a, b := discovery.Instance{ID: "a", HostPort: "127.0.0.1:1", Lifecycle: "up"}, discovery.Instance{ID: "b", HostPort: "127.0.0.1:2", Lifecycle: "up"}
		d.Update(a)
		d.Update(b)
		if l, _ := requestList(t, d, ""); !l.Full || len(l.Instances) != 2 || l.Generation != 2 || l.Check() != nil {
			t.Errorf("whole: %+v", l)
		}
		if l, _ := requestList(t, d, "?index=1&wait=1"); l.Full || len(l.Instances) != 1 || l.Instances[0].ID != "b" {
			t.Errorf("changes: %+v", l)
		}
		if l, _ := requestList(t, d, "?index=2&wait=1"); l.Full || len(l.Instances) != 0 || l.Generation != 2 {
			t.Errorf("no changes: %+v", l)
		}
		if l, _ := requestList(t, d, "?index=99&wait=1"); !l.Full || len(l.Instances) != 2 {
			t.Errorf("a version of the future: %+v", l)
		}
		got := make(chan discovery.List, 1)
		go func() {
			l, _ := requestList(t, d, "?index=2&wait=20000")
			got <- l
		}()
		for end := time.Now().Add(testTimeout); d.RequestCount() < 5 && time.Now().Before(end); {
			time.Sleep(time.Millisecond)
		}
		a.Lifecycle = "removed"
		d.Update(a)
		if l := <-got; len(l.Instances) != 1 || l.Instances[0].Lifecycle != "removed" {
			t.Errorf("news: %+v", l)
		}
		if l := d.List(); len(l.Instances) != 1 {
			t.Errorf("whole, after a removal: %+v", l)
		}
		if _, status := requestList(t, d, "?index=x"); status != 400 {
			t.Errorf("a bad version: %d", status)
		}
		d.SetDown(true)
		if asked {
			if _, status := requestList(t, d, ""); status != 503 {
				t.Errorf("down: %d", status)
			}
			continue
		}
		silent := make(chan int, 1)
		go func() {
			_, status := requestList(t, d, "")
			silent <- status
		}()
		for end := time.Now().Add(testTimeout); d.RequestCount() < 6 && time.Now().Before(end); {
			time.Sleep(time.Millisecond)
		}
		select {
		case status := <-silent:
			t.Errorf("an agent that is down answers %d", status)
		default:
		}
		d.SetDown(false)
		if status := <-silent; status != 200 {
			t.Errorf("back: %d", status)
		}
	}
}

// The caller tells answers apart, and takes none that was made for another.
func TestCallerClassifiesResponses(t *testing.T) {
	reply := func(text string) string {
		return StartTCPServer(t, func(c net.Conn) {
			defer c.Close()
			if DiscardRequest(bufio.NewReader(c)) == nil {
				io.WriteString(c, text)
			}
		})
	}
	ok := func(body string) string {
		return reply(fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\nConnection: close\r\n\r\n%s", len(body), body))
	}
	c := NewCaller(1)
	defer c.Close()
	for name, k := range map[string]struct {
		addr string
		want Outcome
	}{
		"served": {ok(`{"ID":"1"}`), OutcomeServed}, "another's": {ok(`{"ID":"2"}`), OutcomeNoResponse}, "noise": {ok("x"), OutcomeNoResponse},
		"refused": {reply("HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n"), OutcomeRefused}, "failed": {reply("HTTP/1.1 502 No\r\nContent-Length: 0\r\n\r\n"), OutcomeFailed},
		"cut": {reply("HTTP/1.1 200 OK\r\nContent-Length: 99\r\n\r\nx"), OutcomeNoResponse}, "none": {reply(""), OutcomeNoResponse},
	} {
		if got := c.Do(context.Background(), k.addr, CallerRequest{ID: "1", Class: "c", IdempotencyKey: "k", Body: "x", Timeout: testTimeout}, 0); got != k.want {
			t.Errorf("%s: %v, want %v", name, got, k.want)
		}
	}
	counts, took, why := c.Results()
	if counts[OutcomeServed] != 1 || counts[OutcomeNoResponse] != 4 || len(took) != 1 || len(why) == 0 {
		t.Errorf("%v %v %v", counts, took, why)
	}
	if req, err := NewHTTPRequest(context.Background(), "127.0.0.1:1", CallerRequest{ID: "1", Class: "c", Timeout: 1500 * time.Microsecond}); err != nil ||
		req.Method != "GET" || req.Header.Get("X-Timeout") != "1500u" || !strings.HasPrefix(req.URL.Path, "/api/") {
		t.Errorf("%v %v", req, err)
	}
}
