package main

import (
	"bytes"
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"barleydrum.example/barleydrum/internal/check"
	"barleydrum.example/barleydrum/internal/config"
	"barleydrum.example/barleydrum/internal/engine"
	"barleydrum.example/barleydrum/internal/fake"
	"barleydrum.example/barleydrum/internal/sidecar"
)

const testTimeout = 20 * time.Second

// freeAddress is an address of loopback whose port was free a moment ago.
func freeAddress(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.83.20.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	return l.Addr().String()
}

// startService is a node and the discovery that lists it.
func startService(t *testing.T) *fake.Discovery {
	t.Helper()
	node, err := fake.NewNode(fake.NodeConfig{ID: "s-1", Zone: "a", Addr: "127.0.0.1:0", Concurrency: 64})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { node.Stop() })
	d, err := fake.NewDiscovery("127.0.0.1:0", false)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { d.Close() })
	d.Update(node.DiscoveryEntry("up"))
	return d
}

// lockedBuffer is a log that is written while it is read.
type lockedBuffer struct {
	mu  sync.Mutex
	buf bytes.Buffer
}

func (l *lockedBuffer) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.buf.Write(p)
}

func (l *lockedBuffer) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.buf.String()
}

// startProgram starts the program with arguments and waits until it is ready.
func startProgram(t *testing.T, addr string, env []string, args ...string) (*exec.Cmd, *lockedBuffer) {
	t.Helper()
	cmd := exec.Command(os.Args[0], args...)
	cmd.Env = append(append(os.Environ(), "BARLEYDRUM_TEST_MAIN=1"), env...)
	log := new(lockedBuffer)
	cmd.Stderr = log
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { cmd.Process.Kill() })
	waitUntil(t, log, "ready", func() bool {
		resp, err := http.Get("http://" + addr + "/healthz")
		if err != nil {
			return false
		}
		resp.Body.Close()
		return resp.StatusCode == http.StatusOK
	})
	return cmd, log
}

// waitUntil waits for what must happen.
func waitUntil(t *testing.T, log fmt.Stringer, what string, happened func() bool) {
	t.Helper()
	for end := time.Now().Add(testTimeout); !happened(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("not %s within %v: %s", what, testTimeout, log)
		}
	}
}

// terminate ends the program by SIGTERM.
func terminate(t *testing.T, cmd *exec.Cmd, log fmt.Stringer) {
	t.Helper()
	cmd.Process.Signal(syscall.SIGTERM)
	if err := cmd.Wait(); err != nil {
		t.Errorf("ended with %v: %s", err, log)
	}
}

const placeOrderClass = `
[class.place-order]
wanted = "10s"
deadline = "15s"
semantics = "keyed"
scope = "all"
repeat_window = "20s"
`

func standaloneSettings(listen, discovery, more string) string {
	return fmt.Sprintf("schema = 1\n[application]\nname = \"test\"\ntier = \"t\"\nlisten = %q\ndiscovery = %q\n%s%s", listen, discovery, more, placeOrderClass)
}

func orderRequest(caller *fake.Caller, body string) fake.CallerRequest {
	id := caller.NextID()
	return fake.CallerRequest{ID: id, Class: "place-order", IdempotencyKey: id, Body: body, Timeout: testTimeout}
}

// The operators' file alone is enough to run with, on all the addresses that it names.
func TestRunsFromSettingsFileAlone(t *testing.T) {
	d, first, second := startService(t), freeAddress(t), freeAddress(t)
	path := filepath.Join(t.TempDir(), "s.toml")
	text := standaloneSettings(first, d.Addr(), fmt.Sprintf("[callers]\nalso_listen = [%q]\n", second))
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	cmd, log := startProgram(t, first, []string{"PROXY_CONFIG="}, "-settings", path)
	caller := fake.NewCaller(1)
	defer caller.Close()
	for _, addr := range []string{first, second} {
		if v := caller.Do(context.Background(), addr, orderRequest(caller, "x"), testTimeout); v != fake.OutcomeServed {
			_, _, why := caller.Results()
			t.Errorf("%s: %v %v: %s", addr, v, why, log)
		}
	}
	terminate(t, cmd, log)
}

// SIGHUP with a good, a bad and a missing file under load: no request is lost, what can change
// does, what can't is named, and a file that is refused changes nothing.
func TestReloadUnderLoadLosesNoRequest(t *testing.T) {
	d, addr := startService(t), freeAddress(t)
	path := filepath.Join(t.TempDir(), "s.toml")
	replace := func(more string) {
		t.Helper()
		if err := os.WriteFile(path+".new", []byte(standaloneSettings(addr, d.Addr(), more)), 0o600); err != nil {
			t.Fatal(err)
		}
		if err := os.Rename(path+".new", path); err != nil {
			t.Fatal(err)
		}
	}
	replace("")
	cmd, log := startProgram(t, addr, []string{"PROXY_CONFIG="}, "-settings", path)
	hangup := func(says string) {
		t.Helper()
		n := strings.Count(log.String(), says)
		if err := cmd.Process.Signal(syscall.SIGHUP); err != nil {
			t.Fatal(err)
		}
		waitUntil(t, log, "said: "+says, func() bool { return strings.Count(log.String(), says) > n })
	}

	caller, stop := fake.NewCaller(4), make(chan struct{})
	defer caller.Close()
	var callers sync.WaitGroup
	for range 4 {
		callers.Add(1)
		go func() {
			defer callers.Done()
			for {
				select {
				case <-stop:
					return
				default:
					caller.Do(context.Background(), addr, orderRequest(caller, strings.Repeat("x", 2000)), testTimeout)
				}
			}
		}()
	}
	served := func() int {
		c, _, _ := caller.Results()
		return c[fake.OutcomeServed]
	}
	const kept = "keeping the configuration at hand"
	for round := range 3 {
		was := served()
		replace(fmt.Sprintf("[callers]\nmax_body = \"%dKiB\"\nidle_time = \"%ds\"\n", 4+round, 7+round))
		hangup("reload: settings")
		replace("[callers]\nmax_body = \"1 KB or so\"\n")
		hangup(kept)
		replace("[class.pay]\nwanted = \"1s\"\ndeadline = \"2s\"\nsemantics = \"unsafe\"\nretries = 1\n")
		hangup(kept)
		if err := os.Remove(path); err != nil {
			t.Fatal(err)
		}
		hangup(kept)
		waitUntil(t, log, "served more", func() bool { return served() > was+10 })
	}
	close(stop)
	callers.Wait()
	if c, _, why := caller.Results(); c[fake.OutcomeNoResponse]+c[fake.OutcomeFailed]+c[fake.OutcomeRefused] > 0 {
		t.Errorf("%v %v", c, why)
	}
	for _, want := range []string{"callers.max_body", "take effect at a restart", "callers.idle_time", "unsafe-retried", "out-of-range", "no such file"} {
		if !strings.Contains(log.String(), want) {
			t.Errorf("the log lacks %q: %s", want, log)
		}
	}
	// What was taken last is in effect.
	replace("[callers]\nmax_body = \"1KiB\"\n")
	hangup("reload: settings")
	if v := caller.Do(context.Background(), addr, orderRequest(caller, strings.Repeat("x", 2000)), testTimeout); v != fake.OutcomeFailed {
		t.Errorf("a long body: %v, want it turned away", v)
	}
	terminate(t, cmd, log)
}

// With both, the platform's configuration says what the sidecar is and the file narrows it; a
// file that promises more than the platform is refused at the start, by the rule.
func TestSettingsMayOnlyNarrowPlatformConfig(t *testing.T) {
	d, addr := startService(t), freeAddress(t)
	dir := t.TempDir()
	platform := strings.NewReplacer("127.83.19.7:1", addr, "127.83.19.8:1", d.Addr()).Replace(platformConfig)
	file, path := filepath.Join(dir, "c.json"), filepath.Join(dir, "s.toml")
	write := func(text string) {
		t.Helper()
		if err := os.WriteFile(path, []byte("schema = 1\n[application]\nname = \"test\"\n"+text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	if err := os.WriteFile(file, []byte(platform), 0o600); err != nil {
		t.Fatal(err)
	}
	for text, rule := range map[string]string{
		"[class.read]\ndeadline = \"3s\"\n": "looser-time", "[class.raed]\nattempts = 2\n": "class-unknown",
		"[limits]\nsockets = 4096\n": "looser-limit", "[callers]\nalso_listen = [\"127.83.20.1:1\"]\n": "listen-extra",
		"[shutdown]\nlinger = \"1s\"\n": "shutdown-past-kill",
	} {
		write(text)
		cmd := exec.Command(os.Args[0], "-settings", path)
		cmd.Env = append(os.Environ(), "BARLEYDRUM_TEST_MAIN=1", "PROXY_CONFIG="+file)
		if out, err := cmd.CombinedOutput(); err == nil || !strings.Contains(string(out), "["+rule+"]") {
			t.Errorf("%s: %v: %s", rule, err, out)
		}
	}
	write("[class.read]\nretries = 1\n")
	cmd, log := startProgram(t, addr, []string{"PROXY_CONFIG=" + file}, "-settings", path)
	terminate(t, cmd, log)
}

func TestInvalidArgumentsExitWithUsage(t *testing.T) {
	for _, args := range [][]string{{"-setings", "x"}, {"x"}, {"-settings"}} {
		cmd := exec.Command(os.Args[0], args...)
		cmd.Env = append(os.Environ(), "BARLEYDRUM_TEST_MAIN=1")
		out, _ := cmd.CombinedOutput()
		if cmd.ProcessState.ExitCode() != 2 || !strings.Contains(string(out), "-settings FILE") {
			t.Errorf("%v: exit %d: %s", args, cmd.ProcessState.ExitCode(), out)
		}
	}
}

// Whatever the checker accepts, the program starts with: its parts are made without an error.
func FuzzAcceptedSettingsStart(f *testing.F) {
	for _, more := range []string{"", "[callers]\nconnections = 3\nmax_body = \"0\"\n", "[fleet]\nreports = \"none\"\nlist = \"ask\"\n", "[endpoints]\nconnections = 1\n[limits]\nsockets = 64\n"} {
		f.Add(standaloneSettings("127.0.0.1:1", "127.0.0.1:2", more))
	}
	f.Fuzz(func(t *testing.T, text string) {
		s, bad := config.ParseSettings("f", []byte(text))
		if len(bad) > 0 {
			return
		}
		cfg, findings := check.Sidecar(nil, "", s, "f")
		if cfg == nil {
			if !config.HasRefusal(findings) {
				t.Error("refused without a word")
			}
			return
		}
		if cfg.Limits.Sockets > 1<<16 {
			return // places for them are made at the start: enough memory is the installation's matter
		}
		e, err := engine.New(cfg)
		if err != nil {
			t.Fatalf("accepted, and the program says %v", err)
		}
		server, err := sidecar.NewServer(cfg, e)
		if err != nil {
			t.Fatal(err)
		}
		server.Close()
		sidecar.NewDiscoveryClient(cfg, e)
		e.ApplySettings(s)
	})
}
