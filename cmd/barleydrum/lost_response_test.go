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

// startWithCallerSettings starts the program with settings in the section [callers]. stop ends it by
// SIGTERM.
func startWithCallerSettings(t *testing.T, settings string) (addr string, log fmt.Stringer, stop func()) {
	t.Helper()
	discoveryServer, addr := startService(t), freeAddress(t)
	path := filepath.Join(t.TempDir(), "settings.toml")
	if err := os.WriteFile(path, []byte(standaloneSettings(addr, discoveryServer.Addr(), "[callers]\n"+settings)), 0o600); err != nil {
		t.Fatal(err)
	}
	cmd, output := startProgram(t, addr, []string{"PROXY_CONFIG="}, "-settings", path, "-log-level", "debug")
	return addr, output, func() { terminate(t, cmd, output) }
}

// dialCaller opens a connection as a caller.
func dialCaller(t *testing.T, addr string) (net.Conn, *bufio.Reader) {
	t.Helper()
	conn, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	conn.SetDeadline(time.Now().Add(testTimeout))
	return conn, bufio.NewReader(conn)
}

// orderRequestText returns a request of the class place-order as it is written to the connection, with
// further fields, each ended by CRLF.
func orderRequestText(id, extraFields, body string) string {
	return fmt.Sprintf("POST /api/order HTTP/1.1\r\nHost: a\r\nX-Request-ID: %s\r\nIdempotency-Key: %s\r\nX-Priority-Class: place-order\r\n"+
		"X-Timeout: 5000m\r\nContent-Length: %d\r\n%s\r\n%s", id, id, len(body), extraFields, body)
}

// readStatus reads a response with its body and returns its status.
func readStatus(reader *bufio.Reader) (int, error) {
	resp, err := http.ReadResponse(reader, nil)
	if err != nil {
		return 0, err
	}
	defer resp.Body.Close()
	_, err = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode, err
}

// A response must not be lost to the write deadline of an earlier response on the same connection. A
// deadline that stays set after its write fails a later write, even one that need not wait.
func TestResponseOutlivesWriteDeadlineOfEarlierResponse(t *testing.T) {
	const writeTime = 100 * time.Millisecond
	addr, log, stop := startWithCallerSettings(t, fmt.Sprintf("write_time = %q\n", writeTime))
	conn, reader := dialCaller(t, addr)
	text := orderRequestText("r-1", "Expect: 100-continue\r\n", "tank")
	io.WriteString(conn, strings.TrimSuffix(text, "tank"))
	if status, err := readStatus(reader); status != http.StatusContinue {
		t.Fatalf("status %d, %v, want 100", status, err)
	}
	io.WriteString(conn, "tank")
	if status, err := readStatus(reader); status != http.StatusOK {
		t.Fatalf("first request: status %d, %v", status, err)
	}
	time.Sleep(2 * writeTime) // any write deadline that was set for the first request has passed
	io.WriteString(conn, orderRequestText("r-2", "", "tank"))
	if status, err := readStatus(reader); status != http.StatusOK {
		t.Errorf("second request on the connection: status %d, %v\n%s", status, err, log)
	}
	stop()
}

// withoutDebugLines returns a log without its debug lines, which are about single events.
func withoutDebugLines(log string) string {
	var b strings.Builder
	for line := range strings.Lines(log) {
		if !strings.Contains(line, " DEBUG ") {
			b.WriteString(line)
		}
	}
	return b.String()
}

// A request that arrives on an idle connection as the program gets SIGTERM must either get a response or
// not be forwarded to an endpoint: forwarded without a response, it may have run and its caller can't know.
func TestRequestConcurrentWithSIGTERMGetsResponseOrIsNotForwarded(t *testing.T) {
	const (
		rounds  = 4
		callers = 64
		spread  = 4 * time.Millisecond // the requests are sent within this time after the signal
	)
	for range rounds {
		discoveryServer, addr := startService(t), freeAddress(t)
		path := filepath.Join(t.TempDir(), "settings.toml")
		if err := os.WriteFile(path, []byte(standaloneSettings(addr, discoveryServer.Addr(), "")), 0o600); err != nil {
			t.Fatal(err)
		}
		cmd, log := startProgram(t, addr, []string{"PROXY_CONFIG="}, "-settings", path, "-log-level", "debug")
		var ready, done sync.WaitGroup
		var lost sync.Map // request ID -> read error, of requests without a response
		var lostCount atomic.Int32
		terminating := make(chan struct{})
		for i := range callers {
			conn, reader := dialCaller(t, addr)
			ready.Add(1)
			done.Add(1)
			go func() {
				defer done.Done()
				io.WriteString(conn, orderRequestText(fmt.Sprintf("rest-%d", i), "", "tank"))
				status, err := readStatus(reader)
				ready.Done()
				if status != http.StatusOK {
					t.Errorf("caller %d before the signal: status %d, %v", i, status, err)
					return
				}
				<-terminating
				time.Sleep(time.Duration(i) * spread / callers)
				id := fmt.Sprintf("cross-%d", i)
				io.WriteString(conn, orderRequestText(id, "", "tank"))
				if _, err := readStatus(reader); err != nil {
					lostCount.Add(1)
					lost.Store(id, err)
				}
			}()
		}
		ready.Wait()
		close(terminating)
		cmd.Process.Signal(syscall.SIGTERM)
		done.Wait()
		if err := cmd.Wait(); err != nil {
			t.Errorf("exited with %v: %s", err, withoutDebugLines(log.String()))
		}
		text := log.String()
		lost.Range(func(id, err any) bool {
			for line := range strings.Lines(text) {
				if strings.Contains(line, "attempt begun") && strings.Contains(line, fmt.Sprintf("request=%s ", id)) {
					t.Errorf("%s was forwarded and got no response: %v", id, err)
				}
			}
			return true
		})
		t.Logf("%d of %d requests got no response because their connection was closed unread", lostCount.Load(), callers)
	}
}
