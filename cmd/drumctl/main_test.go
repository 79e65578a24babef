package main

import (
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"barleydrum.example/barleydrum/internal/check"
)

// runDrumctl runs drumctl with args and returns its exit code and output.
func runDrumctl(args ...string) (code int, out, errs string) {
	var stdout, stderr strings.Builder
	code = run(args, &stdout, &stderr)
	return code, stdout.String(), stderr.String()
}

// applications has the flags of config write that describe the operators' three applications.
var applications = map[string][]string{
	"order-front": {
		"--calls", "order-check", "--listen", "127.0.0.1:9000", "--discovery", "127.0.0.1:8500", "--zone", "campus-east",
		"--zones", "campus-east,campus-west", "--sidecars", "2",
		"--class", "place-order,wanted=1540ms,deadline=3850ms,semantics=keyed,scope=all,repeat-window=10s",
	},
	"order-check": {
		"--calls", "run-booking", "--listen", "127.0.0.1:9001", "--discovery", "127.0.0.1:8501", "--sidecars", "4", "--number", "3",
		"--class", "place-order,wanted=1200ms,deadline=3000ms,semantics=keyed,scope=zone,repeat-window=10s,retries=1,attempts=4",
	},
	"run-booking": {
		"--listen", "127.0.0.1:9002", "--discovery", "127.0.0.1:8502",
		"--class", "place-order,wanted=800ms,deadline=2s,semantics=unsafe,attempts=3", "--class", "look-up,wanted=1s,deadline=2s,semantics=safe,attempts=3",
	},
}

// TestWrittenFilesPassCheck guards against config write producing files that check refuses, alone or
// together, or that have another effect than the description.
func TestWrittenFilesPassCheck(t *testing.T) {
	dir := t.TempDir()
	checkAll := []string{"config", "check"}
	for app, flags := range applications {
		name := filepath.Join(dir, app+".toml")
		if code, _, errs := runDrumctl(append([]string{"config", "write", app, "--file", name}, flags...)...); code != 0 {
			t.Fatalf("%s: %d %s", app, code, errs)
		}
		if code, _, errs := runDrumctl("config", "write", app, "--file", name); code != 2 || !strings.Contains(errs, "exists") {
			t.Errorf("%s, again: %d %s", app, code, errs)
		}
		if code, out, _ := runDrumctl("config", "check", name); code != 0 || !strings.Contains(out, "0 refused, 0 warnings") {
			t.Errorf("%s: %d %s", app, code, out)
		}
		checkAll = append(checkAll, name)
	}
	if code, out, _ := runDrumctl(checkAll...); code != 0 || !strings.HasPrefix(out, "3 checked: 0 refused") {
		t.Errorf("together: %d %s", code, out)
	}
	_, out, _ := runDrumctl("config", "explain", filepath.Join(dir, "run-booking.toml"))
	for _, want := range []string{
		"class place-order, unsafe", "3 at most, none of them after an attempt that may have run; never two in flight together",
		"by 800ms at the latest (wanted within 800ms, the client waits 2s)", "no attempt has run", "class look-up, safe",
	} {
		if !strings.Contains(out, want) {
			t.Errorf("explain lacks %q:\n%s", want, out)
		}
	}
	_, out, _ = runDrumctl("config", "explain", "--format", "json", filepath.Join(dir, "order-check.toml"))
	var explanations []check.Explanation
	if err := json.Unmarshal([]byte(out), &explanations); err != nil || len(explanations) != 1 || len(explanations[0].Classes) != 1 {
		t.Fatalf("%v: %s", err, out)
	}
	if k := explanations[0].Classes[0]; k.MaxAttempts != 4 || k.MaxRetries != 1 || k.Scope != "zone" || !k.Hedging || !strings.Contains(k.EligibleEndpoints, "endpoints of its zone") ||
		k.LatestAttemptStart.Milliseconds() != 1200 {
		t.Errorf("%+v", k)
	}
}

// TestWriteRejectsInvalidClasses guards against config write producing a file that check refuses.
func TestWriteRejectsInvalidClasses(t *testing.T) {
	name := filepath.Join(t.TempDir(), "x.toml")
	for class, want := range map[string]string{
		"pay,wanted=1s,deadline=2s,semantics=unsafe,retries=1": "unsafe-retried", "pay,wanted=1s": "missing-key",
		"pay,wanted=1s,deadline=2s,semantics=safe,patience=1s": "unknown-key", "pay,wanted=1540": "out-of-range",
		"pay,wanted=1540ms,deadline=2s,semantics=keyed,scope=all,repeat-window=10s,retry-within=1541ms": "retry-past-wanted",
	} {
		code, _, errs := runDrumctl("config", "write", "pay", "--listen", "127.0.0.1:1", "--discovery", "127.0.0.1:2", "--class", class, "--file", name)
		if code != 1 || !strings.Contains(errs, want) {
			t.Errorf("%s: %d %s", class, code, errs)
		}
	}
	if _, err := os.Stat(name); err == nil {
		t.Error("a file was written")
	}
}

// TestExitCodes guards against scripts that mistake a refused configuration for a wrong command line,
// or either for success.
func TestExitCodes(t *testing.T) {
	dir := t.TempDir()
	bad, good := filepath.Join(dir, "bad.toml"), filepath.Join(dir, "good.toml")
	for name, text := range map[string]string{bad: "schema = 1\n[application]\nnam = \"x\"\n", good: "schema = 1\n[application]\nname = \"x\"\n"} {
		if err := os.WriteFile(name, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	missing := filepath.Join(dir, "none.toml")
	for _, c := range []struct {
		want int
		args []string
	}{
		{0, []string{}}, {0, []string{"--help"}}, {0, []string{"config"}}, {0, []string{"completion", "bash"}},
		{0, []string{"config", "check", good}}, {1, []string{"config", "check", bad}}, {1, []string{"config", "check", missing}},
		{1, []string{"config", "check", dir}}, {1, []string{"config", "check", good, bad}},
		{0, []string{"config", "explain", good}}, {1, []string{"config", "explain", bad}},
		{0, []string{"config", "diff", good, good}}, {1, []string{"config", "diff", good, bad}},
		{2, []string{"config", "check"}}, {2, []string{"config", "chek", good}}, {2, []string{"config", "check", "--outptu", "json", good}},
		{2, []string{"config", "check", "--format", "yaml", good}}, {2, []string{"config", "diff", good}}, {2, []string{"nonsense"}},
		{2, []string{"config", "write", "x", "--class", "=1"}}, {2, []string{"config", "write", "x", "--class", "a,b"}},
	} {
		if code, out, errs := runDrumctl(c.args...); code != c.want || code == 2 && errs == "" {
			t.Errorf("%v: %d, want %d\n%s%s", c.args, code, c.want, out, errs)
		}
	}
	code, out, _ := runDrumctl("config", "check", "--format", "json", bad, missing)
	var report checkReport
	if err := json.Unmarshal([]byte(out), &report); err != nil || code != 1 || report.Files != 2 || report.Refused != 2 || report.Findings[0].Key != "application.nam" || report.Findings[0].Line != 3 {
		t.Errorf("%d %v %s", code, err, out)
	}
}

// TestDiffComparesEffect guards against differences that have no effect: units, order and comments
// must not be shown.
func TestDiffComparesEffect(t *testing.T) {
	dir := t.TempDir()
	write := func(name, text string) string {
		name = filepath.Join(dir, name)
		if err := os.WriteFile(name, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		return name
	}
	a := write("a.toml", "schema = 1\n[application]\nname = \"x\"\n[probe]\ntime = \"250ms\"\n[class.a]\nwanted = \"1s\"\nretries = 1\n")
	b := write("b.toml", "# the same\nclass.a = { retries = 1, wanted = \"1000ms\" }\nschema = 1\napplication.name = \"x\"\n")
	c := write("c.toml", "schema = 1\n[application]\nname = \"x\"\n[class.a]\nwanted = \"2s\"\nretries = 2\n")
	if code, out, errs := runDrumctl("config", "diff", "--exit-code", a, b); code != 0 || out != "" {
		t.Errorf("%d %s%s", code, out, errs)
	}
	code, out, _ := runDrumctl("config", "diff", "--exit-code", a, c)
	if want := "class.a.retries: 1 -> 2 (at SIGHUP)\nclass.a.wanted: \"1s\" -> \"2s\" (at a restart)\n"; code != 1 || out != want {
		t.Errorf("%d %s", code, out)
	}
	platform := `{"name": "n", "listen": "127.0.0.1:1", "discovery": "127.0.0.1:2", "seed": "1", "limits": {"sockets": 512},
"settings": {"classes": [{"name": "a", "goalTimeNs": 1000000, "hardLimitNs": 2000000, "semantics": "safe"}]}}`
	platformA, platformB := write("j.json", platform), write("k.json", strings.NewReplacer("512", "256", "safe", "unsafe", `"seed": "1"`, `"seed": "2"`).Replace(platform))
	_, out, _ = runDrumctl("config", "diff", platformA, platformB)
	if want := "Limits.Sockets: 512 -> 256 (at a restart)\nSettings.Classes[a].Semantics: (not set) -> unsafe (at a restart)\n"; out != want {
		t.Errorf("%s", out)
	}
	if code, _, errs := runDrumctl("config", "diff", a, platformA); code != 2 || !strings.Contains(errs, "the other a platform") {
		t.Errorf("%d %s", code, errs)
	}
}

// TestReferencePagesAreUpToDate guards against a reference page or template that differs from the
// schema and the rules. After a change to either, print both files again with the commands below.
func TestReferencePagesAreUpToDate(t *testing.T) {
	for name, args := range map[string][]string{
		"../../docs/operators/settings.md": {"config", "reference"}, "../../deploy/settings.toml": {"config", "reference", "--template"},
	} {
		page, err := os.ReadFile(name)
		if err != nil {
			t.Fatal(err)
		}
		if _, out, _ := runDrumctl(args...); out != string(page) {
			t.Errorf("%s differs from what drumctl %s prints", name, strings.Join(args, " "))
		}
	}
	if code, out, _ := runDrumctl("config", "check", "../../deploy/settings.toml"); code != 0 {
		t.Errorf("the template is refused: %s", out)
	}
}
