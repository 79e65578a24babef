package main

import (
	"bufio"
	"cmp"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"barleydrum.example/barleydrum/internal/discovery"
	"barleydrum.example/barleydrum/internal/fake"
)

// The soak's times. SIGKILL comes at the platform's earliest: the longest deadline and killAfter.
const (
	soakDuration = 2400 * time.Millisecond // before SIGTERM
	killAfter    = 700 * time.Millisecond
	soakCallers  = 24
	soakServers  = 4

	// Every crowdEvery-th seed has a crowd: more idle callers than there is room for.
	crowdSeedInterval    = 3
	crowdConnectionLimit = 40
	crowdIdleCallers     = 60
)

// soakDeadlines are the classes' deadlines, by seed.
var soakDeadlines = []time.Duration{600 * time.Millisecond, 1500 * time.Millisecond}

// The bounds of the rules, each with the slack that the protocol gives.
const (
	drainGrace      = 550 * time.Millisecond
	disconnectGrace = 100 * time.Millisecond
	timeoutSlack    = 150 * time.Millisecond
	responseSlack   = 500 * time.Millisecond
)

// seedsVariable names the environment variable that sets how many seeds the soak plays; some by default.
const (
	seedsVariable = "BARLEYDRUM_SOAK_SEEDS"
	defaultSeeds  = 6
)

// soakSettings are the operators' file but for its addresses; the times are wanted and deadline.
const soakSettings = `
[class.read]
wanted = "%[1]s"
deadline = "%[2]s"
semantics = "safe"
[class.book]
wanted = "%[1]s"
deadline = "%[2]s"
semantics = "keyed"
scope = "all"
repeat_window = "2s"
[class.pay]
wanted = "%[1]s"
deadline = "%[2]s"
semantics = "unsafe"
[fleet]
attempts = 3
[endpoints]
connect_time = "100ms"
[probe]
time = "50ms"
`

// sentRequest is a request as its caller saw it.
type sentRequest struct {
	id, class      string
	firstOnConn    bool // on its connection
	sentAt         time.Time
	respondedAt    time.Time // zero for never
	status         int
	body           string
	closeErr       error     // the connection's end in place of an answer
	closedAt       time.Time // when that was seen
	disconnectedAt time.Time // its caller left, zero for never
}

// receivedRequest is a request as a server saw it, whole.
type receivedRequest struct {
	id, server string
	receivedAt time.Time
	timeout    time.Duration
	mayHaveRun bool // or may have
}

// observations are what callers and servers saw, on one monotonic clock.
type observations struct {
	mu             sync.Mutex
	sent           []*sentRequest
	received       []receivedRequest
	drainedAt      map[string]time.Time // when servers were told to drain
	sigtermAt      time.Time
	deadline       time.Duration
	crowded        bool          // a connection may be shut with a request unread
	maxWakeupDelay time.Duration // the longest by which this machine has held the judge's own clock up
}

// measureWakeupDelay notes by how much this machine is late to wake a sleeper, until stop.
func (r *observations) measureWakeupDelay(stop <-chan struct{}) {
	const nap = 5 * time.Millisecond
	for last := time.Now(); ; {
		select {
		case <-stop:
			return
		case <-time.After(nap):
		}
		now := time.Now()
		r.mu.Lock()
		r.maxWakeupDelay = max(r.maxWakeupDelay, now.Sub(last)-nap)
		r.mu.Unlock()
		last = now
	}
}

// violations returns what breaks a rule.
func (r *observations) violations() (breaks []string) {
	seen := make(map[string][]receivedRequest)
	for _, a := range r.received {
		seen[a.id] = append(seen[a.id], a)
		if at, ok := r.drainedAt[a.server]; ok && a.receivedAt.Sub(at) > drainGrace+r.maxWakeupDelay {
			breaks = append(breaks, fmt.Sprintf("drain: %s reached %s %v after its drain", a.id, a.server, a.receivedAt.Sub(at)))
		}
	}
	for _, q := range r.sent {
		breaks = append(breaks, r.requestViolations(q, seen[q.id])...)
	}
	return breaks
}

func (r *observations) requestViolations(q *sentRequest, arrivals []receivedRequest) (breaks []string) {
	add := func(format string, args ...any) {
		breaks = append(breaks, fmt.Sprintf("%s (%s): ", q.id, q.class)+fmt.Sprintf(format, args...))
	}
	runs := 0
	for _, a := range arrivals {
		if a.mayHaveRun {
			runs++
		}
		if !q.disconnectedAt.IsZero() && a.receivedAt.Sub(q.disconnectedAt) > disconnectGrace+r.maxWakeupDelay {
			add("lost: reached %s %v after its caller left", a.server, a.receivedAt.Sub(q.disconnectedAt))
		}
		if left := r.deadline - a.receivedAt.Sub(q.sentAt); a.timeout-left > timeoutSlack+r.maxWakeupDelay {
			add("told %s to take %v with %v left", a.server, a.timeout, left)
		}
	}
	if q.class == "pay" && runs > 1 {
		add("duplicate: ran %d times", runs)
	}
	if q.class == "pay" && runs > 0 && q.status == http.StatusServiceUnavailable {
		add("duplicate: refused, and ran")
	}
	if q.status == http.StatusOK && !strings.Contains(q.body, q.id) {
		add("lost: answered with %.40q", q.body)
	}
	if !q.disconnectedAt.IsZero() || !q.respondedAt.IsZero() {
		if !q.respondedAt.IsZero() && q.respondedAt.Sub(q.sentAt) > r.deadline+responseSlack+r.maxWakeupDelay {
			add("lost: answered after %v", q.respondedAt.Sub(q.sentAt))
		}
		return breaks
	}
	switch {
	case len(arrivals) > 0:
		add("lost: sent on, and %v after %v, %v after SIGTERM", q.closeErr, q.closedAt.Sub(q.sentAt), q.closedAt.Sub(r.sigtermAt))
	case r.crowded:
	case q.closedAt.Before(r.sigtermAt):
		add("lost: %v after %v, with no shutdown", q.closeErr, q.closedAt.Sub(q.sentAt))
	case q.firstOnConn && q.sentAt.Before(r.sigtermAt):
		add("lost: first on its connection, %v", q.closeErr)
	}
	return breaks
}

// soakServer is an endpoint that misbehaves by a seed.
type soakServer struct {
	name     string
	listener net.Listener
	observed *observations
	mu       sync.Mutex
	random   *rand.Rand
}

func newSoakServer(t *testing.T, name string, rec *observations, random *rand.Rand) *soakServer {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	s := &soakServer{name: name, listener: l, observed: rec, random: random}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go s.serve(c.(*net.TCPConn))
		}
	}()
	return s
}

func (s *soakServer) randomInt(n int) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.random.IntN(n)
}

func (s *soakServer) serve(c *net.TCPConn) {
	defer c.Close()
	in := bufio.NewReader(c)
	for {
		req, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, req.Body); err != nil {
			return
		}
		id := req.Header.Get("X-Request-ID")
		if id == "" { // a probe
			fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: 35\r\n\r\nTEXT inflight=0, queue=0, util=0.10")
			continue
		}
		fault := s.randomInt(20)
		us, _ := strconv.Atoi(strings.TrimSuffix(req.Header.Get("X-Timeout"), "u"))
		s.observed.mu.Lock()
		s.observed.received = append(s.observed.received, receivedRequest{id, s.name, time.Now(), time.Duration(us) * time.Microsecond, fault != 0})
		s.observed.mu.Unlock()
		if !s.respond(c, id, fault) {
			return
		}
	}
}

// respond answers a request with a fault, and tells whether the connection goes on.
func (s *soakServer) respond(c *net.TCPConn, id string, fault int) bool {
	body := "made for " + id
	text := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	time.Sleep(time.Duration(s.randomInt(30)) * time.Millisecond)
	switch fault {
	case 0: // turned away
		io.WriteString(c, "HTTP/1.1 503 Busy\r\nX-Not-Processed: 1\r\nContent-Length: 0\r\n\r\n")
		return true
	case 1: // reset
		c.SetLinger(0)
		return false
	case 2: // hangs until it is given up
		c.SetReadDeadline(time.Now().Add(testTimeout))
		c.Read(make([]byte, 1))
		return false
	case 3: // breaks off in its answer
		io.WriteString(c, text[:len(text)-3])
		c.SetLinger(0)
		return false
	case 4: // ends with no length, which is whole
		io.WriteString(c, "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n"+body)
		return false
	case 5: // a second answer behind
		io.WriteString(c, text+text)
		return true
	case 6: // an error
		io.WriteString(c, "HTTP/1.1 500 Error\r\nContent-Length: 0\r\n\r\n")
		return true
	case 7: // in pieces
		for _, b := range []byte(text) {
			c.Write([]byte{b})
		}
		return true
	case 9: // resets after a while
		time.Sleep(time.Duration(150+s.randomInt(150)) * time.Millisecond)
		c.SetLinger(0)
		return false
	case 8: // closes the idle connection early
		io.WriteString(c, text)
		time.Sleep(time.Duration(s.randomInt(20)) * time.Millisecond)
		return false
	}
	io.WriteString(c, text)
	return true
}

// soakCaller is a caller that draws what it does by a seed.
type soakCaller struct {
	number   int
	addr     string
	observed *observations
	random   *rand.Rand
	nextID   int
}

func (c *soakCaller) run(stop <-chan struct{}) {
	for {
		select {
		case <-stop:
			return
		default:
		}
		c.useConnection(stop)
		time.Sleep(time.Duration(c.random.IntN(10)) * time.Millisecond)
	}
}

// useConnection uses one connection for some requests.
func (c *soakCaller) useConnection(stop <-chan struct{}) {
	nc, err := net.Dial("tcp", c.addr)
	if err != nil {
		return
	}
	conn := nc.(*net.TCPConn)
	defer conn.Close()
	in := bufio.NewReader(conn)
	for n := 0; n < 20; n++ {
		select {
		case <-stop:
			return
		default:
		}
		time.Sleep(time.Duration(c.random.IntN(40)) * time.Millisecond)
		if !c.exchange(conn, in, n == 0) {
			return
		}
	}
}

// exchange sends one request or several together and reads their answers. It tells whether the connection
// goes on.
func (c *soakCaller) exchange(conn *net.TCPConn, in *bufio.Reader, first bool) bool {
	count := 1
	if c.random.IntN(8) == 0 {
		count = 3
	}
	var batch []*sentRequest
	var text strings.Builder
	for i := range count {
		q := &sentRequest{id: fmt.Sprintf("c%d-%d", c.number, c.nextID), class: []string{"read", "book", "pay"}[c.random.IntN(3)], firstOnConn: first && i == 0}
		c.nextID++
		batch = append(batch, q)
		text.WriteString(c.requestText(q))
	}
	if !c.writeInPieces(conn, text.String()) {
		return false // it was not sent whole, so that nothing is owed
	}
	now := time.Now()
	for _, q := range batch {
		q.sentAt = now
	}
	c.observed.mu.Lock()
	c.observed.sent = append(c.observed.sent, batch...)
	c.observed.mu.Unlock()
	if c.random.IntN(15) == 0 {
		c.disconnect(conn, batch)
		return false
	}
	for i, q := range batch {
		conn.SetReadDeadline(time.Now().Add(testTimeout))
		status, body, closes, err := readResponse(in)
		at := time.Now()
		c.observed.mu.Lock()
		if err != nil {
			for _, lost := range batch[i:] {
				lost.closeErr, lost.closedAt = err, at
			}
		} else {
			q.status, q.body, q.respondedAt = status, body, at
		}
		if err == nil && closes { // what follows was not taken, and its caller may send it again
			for _, rest := range batch[i+1:] {
				rest.closeErr, rest.closedAt, rest.firstOnConn = errors.New("an answer that ends the connection"), at, false
			}
		}
		c.observed.mu.Unlock()
		if err != nil || closes {
			return false
		}
	}
	return true
}

// runIdleCaller holds a connection open on which it says nothing, and another once that is closed.
func runIdleCaller(addr string, stop <-chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(5 * time.Millisecond):
		}
		conn, err := net.Dial("tcp", addr)
		if err != nil {
			continue
		}
		conn.SetReadDeadline(time.Now().Add(soakDuration))
		conn.Read(make([]byte, 1))
		conn.Close()
	}
}

// requestText is a request as it goes over the wire, in one of the forms that the protocol allows.
func (c *soakCaller) requestText(q *sentRequest) string {
	head := fmt.Sprintf("POST /api/x HTTP/1.1\r\nHost: a\r\nX-Request-ID: %s\r\nX-Priority-Class: %s\r\nX-Timeout: %dm\r\n", q.id, q.class, c.observed.deadline.Milliseconds())
	switch q.class {
	case "read":
		return strings.Replace(head, "POST", "GET", 1) + "\r\n"
	case "book":
		head += "Idempotency-Key: " + q.id + "\r\n"
	}
	if c.random.IntN(4) == 0 {
		return head + "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n"
	}
	return head + "Content-Length: 4\r\n\r\nbody"
}

// writeInPieces writes a text, at times in pieces.
func (c *soakCaller) writeInPieces(conn net.Conn, text string) bool {
	pieces := 1
	if c.random.IntN(5) == 0 {
		pieces = 4
	}
	for size := len(text)/pieces + 1; len(text) > 0; {
		n := min(size, len(text))
		if _, err := io.WriteString(conn, text[:n]); err != nil {
			return false
		}
		if text = text[n:]; len(text) > 0 {
			time.Sleep(time.Duration(c.random.IntN(10)) * time.Millisecond)
		}
	}
	return true
}

// disconnect leaves in one of the ways in which callers do.
func (c *soakCaller) disconnect(conn *net.TCPConn, batch []*sentRequest) {
	time.Sleep(time.Duration(c.random.IntN(30)) * time.Millisecond)
	switch c.random.IntN(3) {
	case 0:
		conn.SetLinger(0)
		conn.Close()
	case 1:
		conn.CloseWrite()
	default:
		conn.Close()
	}
	at := time.Now()
	c.observed.mu.Lock()
	for _, q := range batch {
		q.disconnectedAt = at
	}
	c.observed.mu.Unlock()
}

// readResponse reads one final answer.
func readResponse(in *bufio.Reader) (status int, body string, closes bool, err error) {
	resp, err := http.ReadResponse(in, nil)
	if err != nil {
		return 0, "", false, err
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	return resp.StatusCode, string(text), resp.Close, err
}

// runSoak plays one seed and returns what broke, and how many requests were sent and served.
func runSoak(t *testing.T, seed uint64) (breaks []string, sent, served int, log string) {
	t.Helper()
	random := func(stream uint64) *rand.Rand { return rand.New(rand.NewPCG(seed, stream)) }
	deadline := soakDeadlines[seed%uint64(len(soakDeadlines))]
	rec := &observations{drainedAt: make(map[string]time.Time), deadline: deadline}
	d, err := fake.NewDiscovery("127.0.0.1:0", false)
	if err != nil {
		t.Fatal(err)
	}
	defer d.Close()
	var servers []discovery.Instance
	for i := range soakServers {
		s := newSoakServer(t, fmt.Sprint("s-", i), rec, random(uint64(1000+i)))
		servers = append(servers, discovery.Instance{ID: s.name, HostPort: s.listener.Addr().String(), Zone: "a", Lifecycle: "up"})
	}
	d.Update(servers...)
	addr := freeAddress(t)
	path := filepath.Join(t.TempDir(), "settings.toml")
	rec.crowded = seed%crowdSeedInterval == 0
	text := fmt.Sprintf("schema = 1\n[application]\nname = \"soak\"\ntier = \"t\"\nlisten = %q\ndiscovery = %q\n%s", addr, d.Addr(),
		fmt.Sprintf(soakSettings, deadline*2/3, deadline))
	if rec.crowded {
		text += fmt.Sprintf("[callers]\nconnections = %d\n", crowdConnectionLimit)
	}
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	cmd, output := startProgram(t, addr, []string{"PROXY_CONFIG="}, "-settings", path, "-log-level", "debug")
	began, stop := time.Now(), make(chan struct{})
	var callers sync.WaitGroup
	callers.Go(func() { rec.measureWakeupDelay(stop) })
	for i := range soakCallers {
		c := &soakCaller{number: i, addr: addr, observed: rec, random: random(uint64(i))}
		callers.Go(func() { c.run(stop) })
	}
	if rec.crowded {
		for range crowdIdleCallers {
			callers.Go(func() { runIdleCaller(addr, stop) })
		}
	}
	plan := random(1 << 32)
	draining := servers[plan.IntN(len(servers))]
	draining.Lifecycle = "draining"
	time.Sleep(soakDuration / 4)
	d.Update(draining)
	rec.mu.Lock()
	rec.drainedAt[draining.ID] = time.Now()
	rec.mu.Unlock()
	for range 3 { // a series of SIGHUP
		time.Sleep(time.Duration(plan.Int64N(int64(soakDuration / 4))))
		cmd.Process.Signal(syscall.SIGHUP)
	}
	time.Sleep(time.Until(began.Add(soakDuration)))
	rec.mu.Lock()
	rec.sigtermAt = time.Now()
	rec.mu.Unlock()
	cmd.Process.Signal(syscall.SIGTERM)
	ended := make(chan error, 1)
	go func() { ended <- cmd.Wait() }()
	select {
	case err := <-ended:
		if err != nil {
			breaks = append(breaks, fmt.Sprintf("crash: it ended with %v", err))
		}
	case <-time.After(deadline + killAfter):
		cmd.Process.Kill()
		<-ended
	}
	close(stop)
	callers.Wait()
	rec.mu.Lock()
	defer rec.mu.Unlock()
	for _, q := range rec.sent {
		sent++
		if q.status == http.StatusOK {
			served++
		}
	}
	return append(breaks, rec.violations()...), sent, served, output.String()
}

func TestSoakWithSignalsDisconnectsAndFaultyServers(t *testing.T) {
	seeds, err := strconv.Atoi(cmp.Or(os.Getenv(seedsVariable), strconv.Itoa(defaultSeeds)))
	if err != nil {
		t.Fatalf("%s: %v", seedsVariable, err)
	}
	for seed := range uint64(seeds) {
		breaks, sent, served, log := runSoak(t, seed+1)
		t.Logf("seed %d: %d requests, %d served, %d breaks", seed+1, sent, served, len(breaks))
		least := sent / 2 // one that refuses all keeps the rules too
		if (seed+1)%crowdSeedInterval == 0 {
			least = sent / 5
		}
		if served < least {
			t.Errorf("seed %d: %d of %d requests served, want %d", seed+1, served, sent, least)
		}
		for _, b := range breaks {
			id, _, _ := strings.Cut(b, " ")
			t.Errorf("seed %d: %s\n%s", seed+1, b, linesContaining(log, "request="+id+" "))
		}
	}
}

// linesContaining are the lines of a log that hold a text.
func linesContaining(log, text string) string {
	var b strings.Builder
	for line := range strings.Lines(log) {
		if strings.Contains(line, text) {
			b.WriteString("    " + line)
		}
	}
	return b.String()
}
