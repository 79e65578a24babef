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

// testTimeout bounds each wait of a test.
const testTimeout = 20 * time.Second

// startNode starts a node on a free loopback port and stops it when the test ends.
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

// sendToNode sends a request directly to a node. It returns the status, 0 if there was no valid
// response, and the response body. Every 503 must carry X-Not-Processed.
func sendToNode(t *testing.T, ctx context.Context, n *Node, id, key string) (int, Response) {
	t.Helper()
	req, err := NewHTTPRequest(ctx, n.DiscoveryEntry("").HostPort, CallerRequest{ID: id, Class: "c", IdempotencyKey: key, Body: "x", Timeout: testTimeout})
	if err != nil {
		t.Fatal(err)
	}
	req.Close = true // on a reused connection net/http would send a keyed request again by itself
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, Response{}
	}
	defer resp.Body.Close()
	var response Response
	json.NewDecoder(resp.Body).Decode(&response)
	if resp.StatusCode == http.StatusServiceUnavailable && resp.Header.Get("X-Not-Processed") != "1" {
		t.Error("503 without X-Not-Processed")
	}
	return resp.StatusCode, response
}

// Checks for each fault the response that PROTOCOL defines and whether the request ran, and that a node
// can be stopped and started again.
func TestNodeFaults(t *testing.T) {
	executions := &ExecutionLog{RepeatWindow: time.Hour}
	n := startNode(t, NodeConfig{ID: "n", ExecutionLog: executions})
	ctx := context.Background()
	for i, c := range []struct {
		fault                 Fault
		status, totalAttempts int // totalAttempts counts those that have run so far
	}{{FaultNone, 200, 1}, {FaultRefuse, 503, 1}, {FaultInternalError, 500, 2}, {FaultDropConnection, 0, 3}, {FaultMalformedResponse, 0, 4}, {FaultNone, 200, 5}} {
		n.SetFault(c.fault)
		id := fmt.Sprint("id", i)
		status, response := sendToNode(t, ctx, n, id, id)
		if attempts, _, _ := executions.Totals(); status != c.status || attempts != c.totalAttempts || status == 200 && response != (Response{id, id, "n"}) {
			t.Errorf("fault %d: status %d, %d attempts have run, response %+v; want status %d, %d attempts", c.fault, status, attempts, response, c.status, c.totalAttempts)
		}
	}
	n.SetFault(FaultStall)
	stalledStatus := make(chan int, 1)
	go func() {
		status, _ := sendToNode(t, ctx, n, "stalled", "stalled")
		stalledStatus <- status
	}()
	for deadline := time.Now().Add(testTimeout); len(n.ArrivalTimes()) < 7 && time.Now().Before(deadline); {
		time.Sleep(time.Millisecond)
	}
	select {
	case status := <-stalledStatus:
		t.Errorf("response %d while the node is stalled", status)
	default:
	}
	n.SetFault(FaultNone)
	if status := <-stalledStatus; status != 200 {
		t.Errorf("status %d after the stall, want 200", status)
	}
	if err := n.Stop(); err != nil {
		t.Fatal(err)
	}
	if status, _ := sendToNode(t, ctx, n, "x", "x"); status != 0 {
		t.Errorf("stopped node responded with %d", status)
	}
	if err := n.Start(); err != nil {
		t.Fatal(err)
	}
	if status, _ := sendToNode(t, ctx, n, "y", "y"); status != 200 || n.DiscoveryEntry("up").StartedAtUnixMilli == 0 {
		t.Errorf("restarted node: status %d, discovery entry %+v", status, n.DiscoveryEntry("up"))
	}
}

// Checks that a node with all slots and its queue full refuses a request, and that its load report
// counts the requests in the slot and in the queue.
func TestNodeRefusesWhenQueueIsFull(t *testing.T) {
	n := startNode(t, NodeConfig{ID: "n", Concurrency: 1, QueueCapacity: 1})
	n.SetFault(FaultStall)
	statuses := make(chan int, 2)
	for i := range 2 {
		go func() {
			status, _ := sendToNode(t, context.Background(), n, fmt.Sprint(i), fmt.Sprint(i))
			statuses <- status
		}()
	}
	for deadline := time.Now().Add(testTimeout); len(n.ArrivalTimes()) < 2 && time.Now().Before(deadline); {
		time.Sleep(time.Millisecond)
	}
	if status, _ := sendToNode(t, context.Background(), n, "3", "3"); status != 503 {
		t.Errorf("full node: status %d, want 503", status)
	}
	resp, err := http.Get("http://" + n.DiscoveryEntry("").HostPort + "/load")
	if err != nil {
		t.Fatal(err)
	}
	text, _ := io.ReadAll(resp.Body)
	resp.Body.Close()
	if string(text) != "TEXT inflight=2, queue=1, util=1.00" {
		t.Errorf("load report %q", text)
	}
	n.SetFault(FaultNone)
	for range 2 {
		if status := <-statuses; status != 200 {
			t.Errorf("status %d, want 200", status)
		}
	}
}

// Checks that a repeated key within the window is dropped and that a later one has its effect again.
func TestExecutionLogDropsRepeatsWithinWindow(t *testing.T) {
	l := &ExecutionLog{RepeatWindow: time.Hour}
	l.Record("1", "k")
	l.Record("2", "k")
	l.Record("3", "")
	if attempts, droppedRepeats, repeatedEffects := l.Totals(); attempts != 3 || droppedRepeats != 1 || repeatedEffects != 0 {
		t.Errorf("%d attempts, %d dropped repeats, %d repeated effects; want 3, 1, 0", attempts, droppedRepeats, repeatedEffects)
	}
	l.RepeatWindow = 0
	l.Record("4", "k")
	if _, _, repeatedEffects := l.Totals(); repeatedEffects != 1 {
		t.Errorf("%d repeated effects, want 1", repeatedEffects)
	}
}

// requestList requests /v1/servers with a query and returns the list and the status, 0 if there was no
// response.
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
	if err != nil { // not Fatal: some requests are sent from other goroutines than the test's
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

// Checks full lists, changes since a generation, watches that wait for a change, and an outage of a
// pushed and of a polled service.
func TestDiscoveryServesListsChangesAndOutages(t *testing.T) {
	for _, polled := range []bool{false, true} {
		d, err := NewDiscovery("127.0.0.1:0", polled)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { d.Close() })
		a, b := discovery.Instance{ID: "a", HostPort: "127.0.0.1:1", Lifecycle: "up"}, discovery.Instance{ID: "b", HostPort: "127.0.0.1:2", Lifecycle: "up"}
		d.Update(a)
		d.Update(b)
		if l, _ := requestList(t, d, ""); !l.Full || len(l.Instances) != 2 || l.Generation != 2 || l.Check() != nil {
			t.Errorf("full list: %+v", l)
		}
		if l, _ := requestList(t, d, "?index=1&wait=1"); l.Full || len(l.Instances) != 1 || l.Instances[0].ID != "b" {
			t.Errorf("changes: %+v", l)
		}
		if l, _ := requestList(t, d, "?index=2&wait=1"); l.Full || len(l.Instances) != 0 || l.Generation != 2 {
			t.Errorf("no changes: %+v", l)
		}
		if l, _ := requestList(t, d, "?index=99&wait=1"); !l.Full || len(l.Instances) != 2 {
			t.Errorf("generation of another service: %+v", l)
		}
		watched := make(chan discovery.List, 1)
		go func() {
			l, _ := requestList(t, d, "?index=2&wait=20000")
			watched <- l
		}()
		for deadline := time.Now().Add(testTimeout); d.RequestCount() < 5 && time.Now().Before(deadline); {
			time.Sleep(time.Millisecond)
		}
		a.Lifecycle = "removed"
		d.Update(a)
		if l := <-watched; len(l.Instances) != 1 || l.Instances[0].Lifecycle != "removed" {
			t.Errorf("change during a watch: %+v", l)
		}
		if l := d.List(); len(l.Instances) != 1 {
			t.Errorf("full list after a removal: %+v", l)
		}
		if _, status := requestList(t, d, "?index=x"); status != 400 {
			t.Errorf("malformed index: status %d", status)
		}
		d.SetDown(true)
		if polled {
			if _, status := requestList(t, d, ""); status != 503 {
				t.Errorf("down: status %d", status)
			}
			continue
		}
		downStatus := make(chan int, 1)
		go func() {
			_, status := requestList(t, d, "")
			downStatus <- status
		}()
		for deadline := time.Now().Add(testTimeout); d.RequestCount() < 6 && time.Now().Before(deadline); {
			time.Sleep(time.Millisecond)
		}
		select {
		case status := <-downStatus:
			t.Errorf("agent that is down responded with %d", status)
		default:
		}
		d.SetDown(false)
		if status := <-downStatus; status != 200 {
			t.Errorf("up again: status %d", status)
		}
	}
}

// Checks that the caller assigns each kind of response its outcome and rejects a response that was made
// for another request.
func TestCallerClassifiesResponses(t *testing.T) {
	// respondWith starts a server that sends text in response to a request.
	respondWith := func(text string) string {
		return StartTCPServer(t, func(c net.Conn) {
			defer c.Close()
			if DiscardRequest(bufio.NewReader(c)) == nil {
				io.WriteString(c, text)
			}
		})
	}
	respondOK := func(body string) string {
		return respondWith(fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\nConnection: close\r\n\r\n%s", len(body), body))
	}
	c := NewCaller(1)
	defer c.Close()
	for name, test := range map[string]struct {
		addr string
		want Outcome
	}{
		"served": {respondOK(`{"ID":"1"}`), OutcomeServed}, "other request's ID": {respondOK(`{"ID":"2"}`), OutcomeNoResponse}, "body is not JSON": {respondOK("x"), OutcomeNoResponse},
		"refused": {respondWith("HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n"), OutcomeRefused}, "failed": {respondWith("HTTP/1.1 502 No\r\nContent-Length: 0\r\n\r\n"), OutcomeFailed},
		"body cut short": {respondWith("HTTP/1.1 200 OK\r\nContent-Length: 99\r\n\r\nx"), OutcomeNoResponse}, "no response": {respondWith(""), OutcomeNoResponse},
	} {
		if got := c.Do(context.Background(), test.addr, CallerRequest{ID: "1", Class: "c", IdempotencyKey: "k", Body: "x", Timeout: testTimeout}, 0); got != test.want {
			t.Errorf("%s: %v, want %v", name, got, test.want)
		}
	}
	counts, latencies, noResponseReasons := c.Results()
	if counts[OutcomeServed] != 1 || counts[OutcomeNoResponse] != 4 || len(latencies) != 1 || len(noResponseReasons) == 0 {
		t.Errorf("counts %v, latencies %v, reasons %v", counts, latencies, noResponseReasons)
	}
	if req, err := NewHTTPRequest(context.Background(), "127.0.0.1:1", CallerRequest{ID: "1", Class: "c", Timeout: 1500 * time.Microsecond}); err != nil ||
		req.Method != "GET" || req.Header.Get("X-Timeout") != "1500u" || !strings.HasPrefix(req.URL.Path, "/api/") {
		t.Errorf("request without key and body: %v, %v", req, err)
	}
}
