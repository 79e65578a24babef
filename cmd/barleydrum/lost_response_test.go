package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
)

// startWithCallerSettings starts the program with settings of its part [callers].
func startWithCallerSettings(t *testing.T, settings string) (addr string, log fmt.Stringer, stop func()) {
	t.Helper()
	d, addr := startService(t), freeAddress(t)
	path := filepath.Join(t.TempDir(), "settings.toml")
	if err := os.WriteFile(path, []byte(standaloneSettings(addr, d.Addr(), "[callers]\n"+settings)), 0o600); err != nil {
		t.Fatal(err)
	}
	cmd, output := startProgram(t, addr, []string{"PROXY_CONFIG="}, "-settings", path, "-log-level", "debug")
	return addr, output, func() { terminate(t, cmd, output) }
}

// dialCaller opens a caller's connection.
func dialCaller(t *testing.T, addr string) (net.Conn, *bufio.Reader) {
	t.Helper()
	c, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	c.SetDeadline(time.Now().Add(testTimeout))
	return c, bufio.NewReader(c)
}

// orderRequestText is a request as it goes over the wire, with further header lines.
func orderRequestText(id, lines, body string) string {
	return fmt.Sprintf("POST /api/order HTTP/1.1\r\nHost: a\r\nX-Request-ID: %s\r\nIdempotency-Key: %s\r\nX-Priority-Class: place-order\r\n"+
		"X-Timeout: 5000m\r\nContent-Length: %d\r\n%s\r\n%s", id, id, len(body), lines, body)
}

// readStatus reads an answer and returns its status.
func readStatus(in *bufio.Reader) (int, error) {
	resp, err := http.ReadResponse(in, nil)
	if err != nil {
		return 0, err
	}
	defer resp.Body.Close()
	_, err = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode, err
}

func TestResponseOutlivesWriteDeadlineOfEarlierResponse(t *testing.T) {
	const writeTime = 100 * time.Millisecond
	addr, log, terminate := startWithCallerSettings(t, fmt.Sprintf("write_time = %q\n", writeTime))
	c, in := dialCaller(t, addr)
	text := orderRequestText("r-1", "Expect: 100-continue\r\n", "tank")
	io.WriteString(c, strings.TrimSuffix(text, "tank"))
	if status, err := readStatus(in); status != http.StatusContinue {
		t.Fatalf("status %d, %v, want 100", status, err)
	}
	io.WriteString(c, "tank")
	if status, err := readStatus(in); status != http.StatusOK {
		t.Fatalf("first request: status %d, %v", status, err)
	}
	time.Sleep(2 * writeTime) // longer than any deadline that was set for the first
	io.WriteString(c, orderRequestText("r-2", "", "tank"))
	if status, err := readStatus(in); status != http.StatusOK {
		t.Errorf("second request on the connection: status %d, %v\n%s", status, err, log)
	}
	terminate()
}

// withoutDebugLines leaves the lines of a log out that are about single events.
func withoutDebugLines(log string) string {
	var b strings.Builder
	for line := range strings.Lines(log) {
		if !strings.Contains(line, " DEBUG ") {
			b.WriteString(line)
		}
	}
	return b.String()
}

func TestRequestConcurrentWithSIGTERMIsAnsweredOrNotForwarded(t *testing.T) {
	const (
		rounds  = 4
		callers = 64
		spread  = 4 * time.Millisecond // around the signal
	)
	for range rounds {
		d, addr := startService(t), freeAddress(t)
		path := filepath.Join(t.TempDir(), "settings.toml")
		if err := os.WriteFile(path, []byte(standaloneSettings(addr, d.Addr(), "")), 0o600); err != nil {
			t.Fatal(err)
		}
		cmd, log := startProgram(t, addr, []string{"PROXY_CONFIG="}, "-settings", path, "-log-level", "debug")
		var resting, done sync.WaitGroup
		var lost sync.Map
		var unread atomic.Int32
		signalled := make(chan struct{})
		for i := range callers {
			c, in := dialCaller(t, addr)
			resting.Add(1)
			done.Add(1)
			go func() {
				defer done.Done()
				io.WriteString(c, orderRequestText(fmt.Sprintf("rest-%d", i), "", "tank"))
				status, err := readStatus(in)
				resting.Done()
				if status != http.StatusOK {
					t.Errorf("caller %d at rest: status %d, %v", i, status, err)
					return
				}
				<-signalled
				time.Sleep(time.Duration(i) * spread / callers)
				id := fmt.Sprintf("cross-%d", i)
				io.WriteString(c, orderRequestText(id, "", "tank"))
				if _, err := readStatus(in); err != nil {
					unread.Add(1)
					lost.Store(id, err)
				}
			}()
		}
		resting.Wait()
		close(signalled)
		cmd.Process.Signal(syscall.SIGTERM)
		done.Wait()
		if err := cmd.Wait(); err != nil {
			t.Errorf("ended with %v: %s", err, withoutDebugLines(log.String()))
		}
		text := log.String()
		lost.Range(func(id, err any) bool {
			for line := range strings.Lines(text) {
				if strings.Contains(line, "attempt begun") && strings.Contains(line, fmt.Sprintf("request=%s ", id)) {
					t.Errorf("%s was sent on and got no answer: %v", id, err)
				}
			}
			return true
		})
		t.Logf("%d of %d crossed the end of their connection unread", unread.Load(), callers)
	}
}
