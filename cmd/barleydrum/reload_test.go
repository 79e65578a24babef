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

// testTimeout bounds how long a test waits for an expected event.
const testTimeout = 20 * time.Second

// freeAddress returns a loopback address whose port was free a moment ago.
func freeAddress(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.83.20.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	return l.Addr().String()
}

// startService starts a node, and a discovery server that lists it.
func startService(t *testing.T) *fake.Discovery {
	t.Helper()
	node, err := fake.NewNode(fake.NodeConfig{ID: "s-1", Zone: "a", Addr: "127.0.0.1:0", Concurrency: 64})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { node.Stop() })
	discoveryServer, err := fake.NewDiscovery("127.0.0.1:0", false)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { discoveryServer.Close() })
	discoveryServer.Update(node.DiscoveryEntry("up"))
	return discoveryServer
}

// lockedBuffer is a buffer for a log. It is safe for concurrent use.
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

// startProgram starts the program with further environment variables and arguments, and waits until
// it is ready at addr.
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

// waitUntil waits until happened reports true, and fails the test with the log otherwise. what
// describes the condition, as in "not ready within 20s".
func waitUntil(t *testing.T, log fmt.Stringer, what string, happened func() bool) {
	t.Helper()
	for deadline := time.Now().Add(testTimeout); !happened(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("not %s within %v: %s", what, testTimeout, log)
		}
	}
}

// terminate sends SIGTERM to the program and waits until it has exited with status 0.
func terminate(t *testing.T, cmd *exec.Cmd, log fmt.Stringer) {
	t.Helper()
	cmd.Process.Signal(syscall.SIGTERM)
	if err := cmd.Wait(); err != nil {
		t.Errorf("exited with %v: %s", err, log)
	}
}

// placeOrderClass are the settings of the class of orderRequest.
const placeOrderClass = `
[class.place-order]
wanted = "10s"
deadline = "15s"
semantics = "keyed"
scope = "all"
repeat_window = "20s"
`

// standaloneSettings returns an operators' settings file that needs no platform configuration.
// extraSettings is text put in front of placeOrderClass.
func standaloneSettings(listen, discovery, extraSettings string) string {
	return fmt.Sprintf("schema = 1\n[application]\nname = \"test\"\ntier = \"t\"\nlisten = %q\ndiscovery = %q\n%s%s", listen, discovery, extraSettings, placeOrderClass)
}

// orderRequest returns a new request of the class in placeOrderClass.
func orderRequest(caller *fake.Caller, body string) fake.CallerRequest {
	id := caller.NextID()
	return fake.CallerRequest{ID: id, Class: "place-order", IdempotencyKey: id, Body: body, Timeout: testTimeout}
}

// The operators' settings file alone must be enough to run, and the program must serve on all addresses
// in it.
func TestRunsFromSettingsFileAlone(t *testing.T) {
	discoveryServer, first, second := startService(t), freeAddress(t), freeAddress(t)
	path := filepath.Join(t.TempDir(), "s.toml")
	text := standaloneSettings(first, discoveryServer.Addr(), fmt.Sprintf("[callers]\nalso_listen = [%q]\n", second))
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	cmd, log := startProgram(t, first, []string{"PROXY_CONFIG="}, "-settings", path)
	caller := fake.NewCaller(1)
	defer caller.Close()
	for _, addr := range []string{first, second} {
		if outcome := caller.Do(context.Background(), addr, orderRequest(caller, "x"), testTimeout); outcome != fake.OutcomeServed {
			_, _, errs := caller.Results()
			t.Errorf("%s: %v %v: %s", addr, outcome, errs, log)
		}
	}
	terminate(t, cmd, log)
}

// SIGHUP with a valid, an invalid and a missing file under load must lose no request. Reloadable settings
// must take effect, others must be named in the log, and a file that is refused must change nothing.
func TestReloadUnderLoadLosesNoRequest(t *testing.T) {
	discoveryServer, addr := startService(t), freeAddress(t)
	path := filepath.Join(t.TempDir(), "s.toml")
	replace := func(extraSettings string) {
		t.Helper()
		if err := os.WriteFile(path+".new", []byte(standaloneSettings(addr, discoveryServer.Addr(), extraSettings)), 0o600); err != nil {
			t.Fatal(err)
		}
		if err := os.Rename(path+".new", path); err != nil {
			t.Fatal(err)
		}
	}
	replace("")
	cmd, log := startProgram(t, addr, []string{"PROXY_CONFIG="}, "-settings", path)
	reload := func(message string) { // sends SIGHUP and waits for message in the log
		t.Helper()
		n := strings.Count(log.String(), message)
		if err := cmd.Process.Signal(syscall.SIGHUP); err != nil {
			t.Fatal(err)
		}
		waitUntil(t, log, "logged: "+message, func() bool { return strings.Count(log.String(), message) > n })
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
		counts, _, _ := caller.Results()
		return counts[fake.OutcomeServed]
	}
	const reloadFailed = "keeping the current configuration"
	for round := range 3 {
		servedBefore := served()
		replace(fmt.Sprintf("[callers]\nmax_body = \"%dKiB\"\nidle_time = \"%ds\"\n", 4+round, 7+round))
		reload("reload: settings applied")
		replace("[callers]\nmax_body = \"1 KB or so\"\n")
		reload(reloadFailed)
		replace("[class.pay]\nwanted = \"1s\"\ndeadline = \"2s\"\nsemantics = \"unsafe\"\nretries = 1\n")
		reload(reloadFailed)
		if err := os.Remove(path); err != nil {
			t.Fatal(err)
		}
		reload(reloadFailed)
		waitUntil(t, log, "served more", func() bool { return served() > servedBefore+10 })
	}
	close(stop)
	callers.Wait()
	if counts, _, errs := caller.Results(); counts[fake.OutcomeNoResponse]+counts[fake.OutcomeFailed]+counts[fake.OutcomeRefused] > 0 {
		t.Errorf("not all requests were served: %v %v", counts, errs)
	}
	for _, want := range []string{"callers.max_body", "take effect only after a restart", "callers.idle_time", "unsafe-retried", "out-of-range", "no such file"} {
		if !strings.Contains(log.String(), want) {
			t.Errorf("the log lacks %q: %s", want, log)
		}
	}
	// The last settings that were accepted are in effect.
	replace("[callers]\nmax_body = \"1KiB\"\n")
	reload("reload: settings applied")
	if outcome := caller.Do(context.Background(), addr, orderRequest(caller, strings.Repeat("x", 2000)), testTimeout); outcome != fake.OutcomeFailed {
		t.Errorf("a body over max_body: %v, want it rejected", outcome)
	}
	terminate(t, cmd, log)
}

// With both files, the platform's configuration applies and the operators' settings may only narrow it.
// Settings that are looser than the platform's must be refused at the start, by the rule that they break.
func TestSettingsMayOnlyNarrowPlatformConfig(t *testing.T) {
	discoveryServer, addr := startService(t), freeAddress(t)
	dir := t.TempDir()
	platformText := strings.NewReplacer("127.83.19.7:1", addr, "127.83.19.8:1", discoveryServer.Addr()).Replace(platformConfig)
	platformPath, settingsPath := filepath.Join(dir, "c.json"), filepath.Join(dir, "s.toml")
	writeSettings := func(text string) {
		t.Helper()
		if err := os.WriteFile(settingsPath, []byte("schema = 1\n[application]\nname = \"test\"\n"+text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	if err := os.WriteFile(platformPath, []byte(platformText), 0o600); err != nil {
		t.Fatal(err)
	}
	for text, rule := range map[string]string{
		"[class.read]\ndeadline = \"3s\"\n": "looser-time", "[class.raed]\nattempts = 2\n": "class-unknown",
		"[limits]\nsockets = 4096\n": "looser-limit", "[callers]\nalso_listen = [\"127.83.20.1:1\"]\n": "listen-extra",
		"[shutdown]\nlinger = \"1s\"\n": "shutdown-past-kill",
	} {
		writeSettings(text)
		cmd := exec.Command(os.Args[0], "-settings", settingsPath)
		cmd.Env = append(os.Environ(), "BARLEYDRUM_TEST_MAIN=1", "PROXY_CONFIG="+platformPath)
		if out, err := cmd.CombinedOutput(); err == nil || !strings.Contains(string(out), "["+rule+"]") {
			t.Errorf("%s: %v: %s", rule, err, out)
		}
	}
	writeSettings("[class.read]\nretries = 1\n")
	cmd, log := startProgram(t, addr, []string{"PROXY_CONFIG=" + platformPath}, "-settings", settingsPath)
	terminate(t, cmd, log)
}

// Invalid arguments must end the program with exit status 2 and print the usage.
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

// The program must start with any settings that the checker accepts: its parts must be created without
// an error.
func FuzzAcceptedSettingsStart(f *testing.F) {
	for _, extraSettings := range []string{"", "[callers]\nconnections = 3\nmax_body = \"0\"\n", "[fleet]\nreports = \"none\"\nlist = \"ask\"\n", "[endpoints]\nconnections = 1\n[limits]\nsockets = 64\n"} {
		f.Add(standaloneSettings("127.0.0.1:1", "127.0.0.1:2", extraSettings))
	}
	f.Fuzz(func(t *testing.T, text string) {
		s, parseFindings := config.ParseSettings("f", []byte(text))
		if len(parseFindings) > 0 {
			return
		}
		cfg, findings := check.Sidecar(nil, "", s, "f")
		if cfg == nil {
			if !config.HasRefusal(findings) {
				t.Error("refused without a finding")
			}
			return
		}
		if cfg.Limits.Sockets > 1<<16 {
			return // connection slots are allocated at the start: whether the machine has the memory is not tested here
		}
		e, err := engine.New(cfg)
		if err != nil {
			t.Fatalf("the checker accepted the settings, and New returns %v", err)
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
