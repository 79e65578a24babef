// Package kit has the stand-ins that the cases of the review share: a recorder, a starter of sidecars
// by the command of the deploy file, clients that send one request at a time on a connection, and
// small helpers. All addresses are loopback addresses.
package kit

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"runtime"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	Held    = 0
	Broken  = 1
	CantRun = 2
)

// Recorder writes record.txt: one line for each thing that was sent, answered or run.
type Recorder struct {
	Start time.Time
	mu    sync.Mutex
	w     *bufio.Writer
	f     *os.File
}

// NewRecorder creates the file.
func NewRecorder(path string) (*Recorder, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &Recorder{Start: time.Now(), f: f, w: bufio.NewWriter(f)}, nil
}

// Log writes one line with the time since the start in seconds.
func (r *Recorder) Log(format string, args ...any) {
	t := time.Since(r.Start).Seconds()
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.w, "%10.6f ", t)
	fmt.Fprintf(r.w, format, args...)
	r.w.WriteByte('\n')
}

// Say is Log, and prints the line too.
func (r *Recorder) Say(format string, args ...any) {
	r.Log(format, args...)
	fmt.Printf("%8.3f ", time.Since(r.Start).Seconds())
	fmt.Printf(format+"\n", args...)
}

// Close flushes the file.
func (r *Recorder) Close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.w.Flush()
	r.f.Close()
}

// Trouble reports whether the disruption is on: TROUBLE=0 switches it off.
func Trouble() bool { return os.Getenv("TROUBLE") != "0" }

// FreeAddr returns a loopback address with a port that was free a moment ago. It is not 127.0.0.1, whose ports outgoing
// connections use: one could take the port before it is listened on.
func FreeAddr() (string, error) {
	l, err := net.Listen("tcp", "127.0.0.2:0")
	if err != nil {
		return "", err
	}
	defer l.Close()
	return l.Addr().String(), nil
}

// Sidecar is a running sidecar.
type Sidecar struct {
	Name, Addr, ConfigPath string
	Cmd                    *exec.Cmd
	Exited                 chan struct{} // closed once the process has ended
	Err                    error         // of Wait; valid once Exited is closed
}

var runLine = regexp.MustCompile(`(?m)^run\s*=\s*"((?:[^"\\]|\\.)*)"`)

// RunCommand returns the command `run` of the deploy file.
func RunCommand(root string) (string, error) {
	text, err := os.ReadFile(filepath.Join(root, "deploy", "balancer.toml"))
	if err != nil {
		return "", err
	}
	m := runLine.FindSubmatch(text)
	if m == nil {
		return "", errors.New("deploy/balancer.toml: no key run")
	}
	return strconv.Unquote(`"` + string(m[1]) + `"`)
}

// Config is the content of a sidecar's PROXY_CONFIG.
type Config struct {
	Name      string         `json:"name"`
	Listen    string         `json:"listen"`
	Discovery string         `json:"discovery"`
	Seed      string         `json:"seed"`
	Limits    map[string]any `json:"limits"`
	Known     any            `json:"known"`
	Settings  any            `json:"settings"`
}

// WriteConfig replaces the file of a configuration.
func WriteConfig(path string, c Config) error {
	text, err := json.MarshalIndent(c, "", " ")
	if err != nil {
		return err
	}
	if err := os.WriteFile(path+".new", text, 0o644); err != nil {
		return err
	}
	return os.Rename(path+".new", path)
}

// StartSidecar starts a sidecar as the platform does: /bin/sh -c RUN from the root. The process is killed
// if the stand-in ends. Its log goes to a file in dir.
func StartSidecar(root, dir string, c Config) (*Sidecar, error) {
	command, err := RunCommand(root)
	if err != nil {
		return nil, err
	}
	s := &Sidecar{Name: c.Name, Addr: c.Listen, ConfigPath: filepath.Join(dir, c.Name+".json"), Exited: make(chan struct{})}
	if err := WriteConfig(s.ConfigPath, c); err != nil {
		return nil, err
	}
	tmp := filepath.Join(dir, c.Name+".tmp")
	if err := os.MkdirAll(tmp, 0o755); err != nil {
		return nil, err
	}
	logFile, err := os.Create(filepath.Join(dir, c.Name+".log"))
	if err != nil {
		return nil, err
	}
	s.Cmd = exec.Command("/bin/sh", "-c", command)
	s.Cmd.Dir = root
	s.Cmd.Env = append(os.Environ(), "PROXY_NAME="+c.Name, "PROXY_LISTEN="+c.Listen, "PROXY_DISCOVERY="+c.Discovery,
		"PROXY_CONFIG="+s.ConfigPath, "TMPDIR="+tmp)
	s.Cmd.Stdout, s.Cmd.Stderr = logFile, logFile
	s.Cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	started := make(chan error)
	go func() { // Pdeathsig is bound to the thread that starts the process
		runtime.LockOSThread()
		started <- s.Cmd.Start()
		if s.Cmd.Process != nil {
			if s.Err = s.Cmd.Wait(); s.Err != nil {
				s.Err = fmt.Errorf("%w; its log ends with: %s", s.Err, lastBytes(logFile.Name()))
			}
			logFile.Close()
			close(s.Exited)
		}
	}()
	if err := <-started; err != nil {
		return nil, err
	}
	return s, nil
}

// lastBytes returns the end of a file, for the report of a sidecar that has ended by itself.
func lastBytes(path string) string {
	const most = 2000
	text, err := os.ReadFile(path)
	if err != nil {
		return err.Error()
	}
	return string(text[max(0, len(text)-most):])
}

// WaitReady waits until GET /healthz answers 200.
func (s *Sidecar) WaitReady(limit time.Duration) error {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		select {
		case <-s.Exited:
			return fmt.Errorf("sidecar %s has ended: %w", s.Name, s.Err)
		default:
		}
		r, err := client.Get("http://" + s.Addr + "/healthz")
		if err != nil {
			continue
		}
		r.Body.Close()
		if r.StatusCode == http.StatusOK {
			return nil
		}
	}
	return fmt.Errorf("sidecar %s is not ready", s.Name)
}

// Kill ends the sidecar outright and waits for its end.
func (s *Sidecar) Kill() {
	s.Cmd.Process.Kill()
	<-s.Exited
}

// Request is one request of a client.
type Request struct {
	ID, Class, Key, Method, Path, Body string
	Timeout                            time.Duration
}

// Text returns the request as it goes over the wire.
func (r Request) Text() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s /api/%s HTTP/1.1\r\nHost: origin.svc\r\nX-Request-ID: %s\r\nX-Priority-Class: %s\r\nX-Timeout: %dm\r\n",
		r.Method, r.Path, r.ID, r.Class, r.Timeout.Milliseconds())
	if r.Key != "" {
		fmt.Fprintf(&b, "Idempotency-Key: %s\r\n", r.Key)
	}
	if r.Method == http.MethodPost {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(r.Body))
	}
	return b.String() + "\r\n" + r.Body
}

// Answer is what a client got.
type Answer struct {
	Status int
	Body   string
	Err    error // no whole answer
	Closed bool  // the sidecar announced the close, or the answer is not whole
}

// Client is a client's connection: one request at a time.
type Client struct {
	Addr string
	c    net.Conn
	br   *bufio.Reader
}

// Do sends a request, on the connection that the client has, and waits for the answer until the request's
// time and slack have passed. A connection that was closed while it rested is replaced once.
func (c *Client) Do(r Request, slack time.Duration) Answer {
	text := r.Text()
	end := time.Now().Add(r.Timeout + slack)
	for try := 0; ; try++ {
		rested := c.c != nil
		if c.c == nil {
			conn, err := net.DialTimeout("tcp", c.Addr, time.Until(end))
			if err != nil {
				return Answer{Err: err, Closed: true}
			}
			c.c, c.br = conn, bufio.NewReader(conn)
		}
		c.c.SetDeadline(end)
		_, err := io.WriteString(c.c, text)
		var resp *http.Response
		if err == nil {
			resp, err = http.ReadResponse(c.br, &http.Request{Method: r.Method})
		}
		if err != nil {
			c.Close()
			if rested && try == 0 && !errors.Is(err, os.ErrDeadlineExceeded) {
				continue
			}
			return Answer{Err: err, Closed: true}
		}
		body, err := io.ReadAll(resp.Body)
		a := Answer{Status: resp.StatusCode, Body: string(body), Err: err, Closed: resp.Close || err != nil}
		if a.Closed {
			c.Close()
		}
		return a
	}
}

// Close closes the client's connection.
func (c *Client) Close() {
	if c.c != nil {
		c.c.Close()
		c.c = nil
	}
}
