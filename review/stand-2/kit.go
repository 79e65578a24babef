// Command stand plays the clients, the endpoints and discovery of the cases in review/6 to review/10, and
// starts the sidecar with the command of the deploy file. It uses the standard library only.
package main

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/url"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"runtime"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	exitHeld    = 0
	exitBroken  = 1
	exitCantRun = 2
)

// run is one run of a case.
type run struct {
	trouble bool
	root    string // of the repository
	temp    string
	start   time.Time

	memoryMB int // the sidecar's limit

	mu     sync.Mutex
	record []string
	broken []string
}

// logf adds a line to the record.
func (r *run) logf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.record = append(r.record, fmt.Sprintf("%9.4f ", time.Since(r.start).Seconds())+fmt.Sprintf(format, args...))
}

// breakf records that the rule was broken.
func (r *run) breakf(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	r.logf("BROKEN %s", text)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.broken = append(r.broken, text)
}

// fatal ends the run: the case can't run.
type fatal struct{ error }

func must(err error) {
	if err != nil {
		panic(fatal{err})
	}
}

func cantRun(format string, args ...any) { panic(fatal{fmt.Errorf(format, args...)}) }

// cases are the cases by name. The file of each adds it.
var cases = make(map[string]func(*run))

// The sidecar ends with the thread that has started it, so that is the process's first one.
func init() { runtime.LockOSThread() }

func main() {
	signal.Ignore(syscall.SIGPIPE)
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: stand CASE FOLDER")
		os.Exit(exitCantRun)
	}
	folder := os.Args[2]
	root, err := filepath.Abs(filepath.Join(folder, "..", ".."))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitCantRun)
	}
	r := &run{trouble: os.Getenv("TROUBLE") != "0", root: root, start: time.Now(), memoryMB: 192}
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		<-signals
		stopProcesses()
		os.Exit(exitCantRun)
	}()
	code := r.play(cases[os.Args[1]])
	r.mu.Lock()
	defer r.mu.Unlock()
	text := strings.Join(r.record, "\n") + "\n"
	if err := os.WriteFile(filepath.Join(folder, "record.txt"), []byte(text), 0o666); err != nil {
		fmt.Fprintln(os.Stderr, err)
		code = exitCantRun
	}
	os.Exit(code)
}

// play runs a case and returns the exit code.
func (r *run) play(c func(*run)) (code int) {
	var err error
	if r.temp, err = os.MkdirTemp("", "review-case-"); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitCantRun
	}
	defer os.RemoveAll(r.temp)
	defer stopProcesses()
	defer func() {
		if f := recover(); f != nil {
			if e, ok := f.(fatal); ok {
				r.logf("the case could not run: %v", e)
				fmt.Println("the case could not run:", e)
				code = exitCantRun
				return
			}
			panic(f)
		}
	}()
	c(r)
	r.mu.Lock()
	n := len(r.broken)
	r.mu.Unlock()
	if n > 0 {
		fmt.Printf("the rule was broken %d times, first: %s\n", n, r.broken[0])
		r.logf("result: broken %d times", n)
		return exitBroken
	}
	fmt.Println("the rule held")
	r.logf("result: held")
	return exitHeld
}

// freePort returns a loopback address whose port was free a moment ago. It is below the range from which
// outgoing connections take their ports.
func freePort() string {
	for range 200 {
		addr := fmt.Sprintf("127.0.0.1:%d", 12000+rand.IntN(16000))
		if l, err := net.Listen("tcp", addr); err == nil {
			l.Close()
			return addr
		}
	}
	cantRun("no free port")
	return ""
}

// entry is an endpoint in discovery's lists.
type entry struct {
	ID        string  `json:"instanceId"`
	HostPort  string  `json:"hostPort"`
	Zone      string  `json:"zone"`
	Kind      string  `json:"machineType"`
	Cell      int     `json:"cell"`
	Lifecycle string  `json:"lifecycle"`
	Weight    float64 `json:"weight"`
	StartedAt int64   `json:"startedAtMs"`
}

// list is a list of discovery.
type list struct {
	Generation int     `json:"generation"`
	Reset      bool    `json:"reset"`
	Instances  []entry `json:"instances"`
}

// sidecar is the sidecar's process.
type sidecar struct {
	addr   string
	cmd    *exec.Cmd
	exited chan struct{}
	err    error
}

var (
	processesMu sync.Mutex
	processes   []*sidecar
)

// stopProcesses kills the processes that the case has started.
func stopProcesses() {
	processesMu.Lock()
	defer processesMu.Unlock()
	for _, s := range processes {
		s.cmd.Process.Signal(syscall.SIGCONT)
		s.cmd.Process.Kill()
		<-s.exited
	}
}

// startSidecar starts the sidecar with the deploy file's command and waits until it is ready.
func (r *run) startSidecar(discovery string, known list, settings map[string]any) *sidecar {
	text, err := os.ReadFile(filepath.Join(r.root, "deploy", "balancer.toml"))
	must(err)
	command := ""
	for _, line := range strings.Split(string(text), "\n") {
		if rest, ok := strings.CutPrefix(line, "run = "); ok {
			command, err = strconv.Unquote(strings.TrimSpace(rest))
			must(err)
		}
	}
	if command == "" {
		cantRun("the deploy file has no run command")
	}
	s := &sidecar{addr: freePort(), exited: make(chan struct{})}
	config, err := json.Marshal(map[string]any{
		"name": "n0", "listen": s.addr, "discovery": discovery, "seed": fmt.Sprintf("%016x", rand.Uint64()),
		"limits": map[string]any{"cores": 1.0, "memory_mb": r.memoryMB, "sockets": 1024},
		"known":  known, "settings": settings,
	})
	must(err)
	path := filepath.Join(r.temp, "config.json")
	must(os.WriteFile(path, config, 0o666))
	tmp := filepath.Join(r.temp, "tmp")
	must(os.Mkdir(tmp, 0o777))
	s.cmd = exec.Command("/bin/sh", "-c", command)
	s.cmd.Dir = r.root
	s.cmd.Env = append(os.Environ(), "PROXY_NAME=n0", "PROXY_LISTEN="+s.addr, "PROXY_DISCOVERY="+discovery, "PROXY_CONFIG="+path, "TMPDIR="+tmp)
	logFile, err := os.Create(filepath.Join(r.temp, "sidecar.log"))
	must(err)
	s.cmd.Stdout, s.cmd.Stderr = logFile, logFile
	s.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL} // it ends with the case, whatever ends that
	must(s.cmd.Start())
	processesMu.Lock()
	processes = append(processes, s)
	processesMu.Unlock()
	go func() {
		s.err = s.cmd.Wait()
		close(s.exited)
	}()
	for deadline := time.Now().Add(15 * time.Second); ; time.Sleep(20 * time.Millisecond) {
		resp, err := http.Get("http://" + s.addr + "/healthz")
		if err == nil {
			resp.Body.Close()
			if resp.StatusCode == 200 {
				break
			}
		}
		if time.Now().After(deadline) {
			log, _ := os.ReadFile(filepath.Join(r.temp, "sidecar.log"))
			cantRun("the sidecar is not ready: %s", log)
		}
	}
	r.logf("sidecar ready at %s, process %d", s.addr, s.cmd.Process.Pid)
	return s
}

// appendSidecarLog adds the sidecar's log to the record.
func (r *run) appendSidecarLog() {
	text, _ := os.ReadFile(filepath.Join(r.temp, "sidecar.log"))
	for _, line := range strings.Split(strings.TrimSpace(string(text)), "\n") {
		r.logf("sidecar's log: %s", line)
	}
}

// request is a request as an endpoint got it.
type request struct {
	method, path string
	header       map[string]string // by lower-case name
	firstByteAt  time.Time
	receivedAt   time.Time
}

// node is an endpoint: one process at one address.
type node struct {
	entry
	serve func(c net.Conn, q *request) // writes the answer to a request
	load  func() string                // the load report
	begin func(c net.Conn)             // called when the first byte of a request has arrived; nil for nothing to do

	mu       sync.Mutex
	listener net.Listener
	conns    map[net.Conn]bool
	dead     bool
}

// start makes the node listen at its address.
func (n *node) start() {
	var err error
	for range 50 {
		if n.listener, err = net.Listen("tcp", n.HostPort); err == nil {
			break
		}
		time.Sleep(10 * time.Millisecond)
	}
	must(err)
	n.conns = make(map[net.Conn]bool)
	go func() {
		for {
			c, err := n.listener.Accept()
			if err != nil {
				return
			}
			n.mu.Lock()
			if n.dead {
				c.Close()
			} else {
				n.conns[c] = true
				go n.serveConn(c)
			}
			n.mu.Unlock()
		}
	}()
}

// kill ends the node's process: its connections are reset, and new ones refused.
func (n *node) kill() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.dead = true
	n.listener.Close()
	for c := range n.conns {
		c.(*net.TCPConn).SetLinger(0)
		c.Close()
	}
}

// alive reports whether the node's process still runs.
func (n *node) alive() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return !n.dead
}

func (n *node) serveConn(c net.Conn) {
	defer func() {
		n.mu.Lock()
		delete(n.conns, c)
		n.mu.Unlock()
		c.Close()
	}()
	reader := bufio.NewReader(c)
	for {
		if _, err := reader.Peek(1); err != nil {
			return
		}
		if n.begin != nil {
			n.begin(c)
		}
		q, err := readRequest(reader)
		if err != nil {
			return
		}
		switch {
		case q.path == "/load":
			writeAnswer(c, 200, n.load())
		case q.path == "/healthz":
			writeAnswer(c, 200, "")
		default:
			n.serve(c, q)
		}
	}
}

// readRequest reads one request with its body.
func readRequest(reader *bufio.Reader) (*request, error) {
	q := &request{firstByteAt: time.Now(), header: make(map[string]string)}
	line, err := reader.ReadString('\n')
	if err != nil {
		return nil, err
	}
	parts := strings.Fields(line)
	if len(parts) != 3 {
		return nil, errors.New("no request line")
	}
	q.method, q.path = parts[0], parts[1]
	length, err := readFields(reader, q.header)
	if err != nil {
		return nil, err
	}
	if _, err := io.CopyN(io.Discard, reader, int64(length)); err != nil {
		return nil, err
	}
	q.receivedAt = time.Now()
	return q, nil
}

// readFields reads header fields up to the empty line and returns the body's length.
func readFields(reader *bufio.Reader, header map[string]string) (length int, err error) {
	for {
		line, err := reader.ReadString('\n')
		if err != nil {
			return 0, err
		}
		line = strings.TrimRight(line, "\r\n")
		if line == "" {
			break
		}
		name, value, _ := strings.Cut(line, ":")
		header[strings.ToLower(name)] = strings.TrimSpace(value)
	}
	if text := header["content-length"]; text != "" {
		return strconv.Atoi(text)
	}
	return 0, nil
}

// answerText returns an answer as it is sent.
func answerText(status int, body string, fields ...string) string {
	text := fmt.Sprintf("HTTP/1.1 %d %s\r\n", status, http.StatusText(status))
	for _, f := range fields {
		text += f + "\r\n"
	}
	return text + fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(body), body)
}

func writeAnswer(c net.Conn, status int, body string, fields ...string) error {
	_, err := io.WriteString(c, answerText(status, body, fields...))
	return err
}

// randomID returns a request id.
func randomID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// client is one client with its connection. It sends one request at a time, keeps its connection, and never
// retries, except that a request that crosses the end of a resting connection is sent once more.
type client struct {
	r      *run
	addr   string
	conn   net.Conn
	reader *bufio.Reader
}

// answer is what a client got.
type answer struct {
	status int
	body   string
	err    error // no whole answer
}

// do sends a request and waits for its answer for patience and half a second more.
func (c *client) do(method, class, id, key string, patience time.Duration) answer {
	for {
		reused := c.conn != nil
		if !reused {
			conn, err := net.DialTimeout("tcp", c.addr, time.Second)
			if err != nil {
				return answer{err: err}
			}
			c.conn, c.reader = conn, bufio.NewReader(conn)
		}
		var b strings.Builder
		fmt.Fprintf(&b, "%s /api/%s HTTP/1.1\r\nHost: origin.svc\r\nX-Request-ID: %s\r\nX-Priority-Class: %s\r\nX-Timeout: %dm\r\n", method, id, id, class, patience.Milliseconds())
		if key != "" {
			fmt.Fprintf(&b, "Idempotency-Key: %s\r\n", key)
		}
		if method == "POST" {
			b.WriteString("Content-Length: 16\r\n\r\n0123456789abcdef")
		} else {
			b.WriteString("\r\n")
		}
		c.conn.SetDeadline(time.Now().Add(patience + 500*time.Millisecond))
		_, err := io.WriteString(c.conn, b.String())
		if err == nil {
			_, err = c.reader.Peek(1)
		}
		if err != nil && reused && !errors.Is(err, os.ErrDeadlineExceeded) {
			c.close() // the sidecar had closed a resting connection
			continue
		}
		if err != nil {
			c.close()
			return answer{err: err}
		}
		return c.readAnswer()
	}
}

func (c *client) readAnswer() answer {
	line, err := c.reader.ReadString('\n')
	header := make(map[string]string)
	length := 0
	if err == nil {
		length, err = readFields(c.reader, header)
	}
	body := make([]byte, length)
	if err == nil {
		_, err = io.ReadFull(c.reader, body)
	}
	if err != nil {
		c.close()
		return answer{err: err}
	}
	status := 0
	if parts := strings.Fields(line); len(parts) > 1 {
		status, _ = strconv.Atoi(parts[1])
	}
	if strings.EqualFold(header["connection"], "close") {
		c.close()
	}
	return answer{status: status, body: string(body)}
}

func (c *client) close() {
	if c.conn != nil {
		c.conn.Close()
	}
	c.conn = nil
}

// discovery is a discovery service or agent.
type discovery struct {
	r *run

	mu         sync.Mutex
	generation int
	entries    map[string]entry
	changedIn  map[string]int
	changed    chan struct{}
	epoch      int // raised when it falls silent: what waits then is never answered
	silent     bool
	calls      int
	onCall     func(wait time.Duration) // called for each call that may wait
	listener   net.Listener
}

// newDiscovery returns a discovery that serves on l.
func (r *run) newDiscovery(l net.Listener) *discovery {
	d := &discovery{r: r, entries: make(map[string]entry), changedIn: make(map[string]int), changed: make(chan struct{}), listener: l}
	go http.Serve(l, d)
	return d
}

// addr returns the address of the service.
func (d *discovery) addr() string { return d.listener.Addr().String() }

// update changes entries.
func (d *discovery) update(entries ...entry) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.generation++
	for _, e := range entries {
		d.entries[e.ID], d.changedIn[e.ID] = e, d.generation
		d.r.logf("discovery has: %s at %s, cell %d, %s, generation %d", e.ID, e.HostPort, e.Cell, e.Lifecycle, d.generation)
	}
	close(d.changed)
	d.changed = make(chan struct{})
}

// setSilent makes the service silent, or ends that. Calls that wait when it falls silent are never answered.
func (d *discovery) setSilent(silent bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.silent = silent
	if silent {
		d.epoch++
	}
	d.r.logf("discovery silent: %v", silent)
}

// whole returns the whole list.
func (d *discovery) whole() list {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.since(-1)
}

// since returns the changes since a generation, the whole list for -1. The caller must hold d.mu.
func (d *discovery) since(generation int) list {
	l := list{Generation: d.generation, Reset: generation < 0, Instances: []entry{}}
	for id, e := range d.entries {
		if generation < 0 && e.Lifecycle != "removed" || generation >= 0 && d.changedIn[id] > generation {
			l.Instances = append(l.Instances, e)
		}
	}
	return l
}

// ServeHTTP serves the list.
func (d *discovery) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	query, _ := url.ParseQuery(q.URL.RawQuery)
	index, wait := -1, time.Duration(0)
	if text := query.Get("index"); text != "" {
		index, _ = strconv.Atoi(text)
		ms, _ := strconv.Atoi(query.Get("wait"))
		wait = min(time.Duration(ms)*time.Millisecond, time.Minute)
	}
	d.mu.Lock()
	d.calls++
	epoch, over, onCall := d.epoch, time.After(wait), d.onCall
	if d.silent {
		d.mu.Unlock()
		<-q.Context().Done()
		return
	}
	if index > d.generation {
		index = -1
	}
	if onCall != nil && index == d.generation {
		onCall(wait)
	}
	for waited := wait == 0; index >= 0 && d.generation <= index && !waited; {
		changed := d.changed
		d.mu.Unlock()
		select {
		case <-changed:
		case <-over:
			waited = true
		case <-q.Context().Done():
			return
		}
		d.mu.Lock()
	}
	if d.silent || d.epoch != epoch { // the watch has fallen silent
		d.mu.Unlock()
		<-q.Context().Done()
		return
	}
	l := d.since(index)
	d.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	json.NewEncoder(w).Encode(l)
}

// listen returns a listener at a free loopback address.
func listen() net.Listener {
	l, err := net.Listen("tcp", freePort())
	must(err)
	return l
}

// settings returns settings in the form of the page WIRE: a small deployment with one class.
func settings(change func(s, class, limits, rules map[string]any)) map[string]any {
	class := map[string]any{
		"goalTimeNs": 1540000000, "hardLimitNs": 3850000000, "importance": 1.0, "keyScope": "all", "lateShare": 0.0,
		"name": "place-order", "repeatWindowNs": 10000000000, "semantics": "keyed", "stream": false,
	}
	limits := map[string]any{
		"attemptsCap": 6, "cancel": true, "connectTimeoutNs": 250000000, "cpuUsPerRequest": 0.0, "cpuUsPerS": 3078052,
		"keepaliveNs": 10000000000, "maxRetryAfterNs": 2000000000, "maxStreams": 1, "mostHeld": 153902, "peers": false,
		"probes": true, "retryAfter": true, "secondCopies": true,
	}
	rules := map[string]any{
		"askWithinNs": 10000000000, "coldNs": 22000000000, "coldShare": 0.16, "drainGraceNs": 500000000,
		"fallMultiple": 3.0, "graceToAnswerNs": 5000000, "tipAfterNs": 2000000000,
	}
	s := map[string]any{
		"balancers": 1, "classes": []any{class}, "clients": map[string]any{"marksRetry": false},
		"costs":     map[string]any{"connection": 0.0, "crossZone": 0.005, "discovery": 0.0, "handshake": 0.0, "lateFail": 0.08, "moves": 0.0, "origin": 0.0, "peer": 0.01, "probe": 0.002, "waste": 0.04},
		"countedBy": "request", "discovery": "push",
		"goal":      map[string]any{"whole": 0.9, "worstClass": 0.0, "worstTenant": 0.0, "worstWindow": 0.1},
		"hostTypes": []string{"std"}, "kindOfService": "chain", "layers": []string{"front"}, "limits": limits,
		"loadInfo": map[string]any{"fields": []string{"busy_reqs", "pending", "cpu_share"}, "how": "pull"},
		"me":       0, "overShareWorth": 0.1, "rules": rules, "specifics": map[string]any{"passesDeadline": true},
		"stepNs": 1000000, "tenants": []any{}, "tier": 0, "weights": "silent", "zone": 0, "zones": []string{"zone-1"},
	}
	change(s, class, limits, rules)
	return s
}

// load is a stream of requests at a steady rate, from as many clients as that needs.
type load struct {
	ended chan struct{}
	wait  sync.WaitGroup
}

// openLoop starts a load of perSecond requests each second.
func (r *run) openLoop(addr string, perSecond int, send func(c *client)) *load {
	l := &load{ended: make(chan struct{})}
	var mu sync.Mutex
	var idle []*client
	l.wait.Go(func() {
		tick := time.NewTicker(time.Second / time.Duration(perSecond))
		defer tick.Stop()
		for {
			select {
			case <-l.ended:
				return
			case <-tick.C:
			}
			l.wait.Go(func() {
				mu.Lock()
				c := &client{r: r, addr: addr}
				if len(idle) > 0 {
					c, idle = idle[len(idle)-1], idle[:len(idle)-1]
				}
				mu.Unlock()
				send(c)
				mu.Lock()
				idle = append(idle, c)
				mu.Unlock()
			})
		}
	})
	return l
}

// stop ends the load and waits for the answers.
func (l *load) stop() {
	close(l.ended)
	l.wait.Wait()
}
