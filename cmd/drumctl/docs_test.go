package main

import (
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"barleydrum.example/barleydrum/internal/check"
)

// documentedCommands returns the commands that a page shows, with continued lines joined and without
// comments.
func documentedCommands(t *testing.T, page string) []string {
	t.Helper()
	text, err := os.ReadFile(page)
	if err != nil {
		t.Fatal(err)
	}
	var found []string
	for line := range strings.Lines(strings.ReplaceAll(string(text), "\\\n", " ")) {
		line, isIndented := strings.CutPrefix(line, "    ")
		line, _, _ = strings.Cut(strings.TrimSpace(line), "  #")
		if isIndented && (strings.HasPrefix(line, "bin/") || strings.HasPrefix(line, "go run ")) {
			found = append(found, strings.TrimSpace(line))
		}
	}
	return found
}

// TestDocumentedCommandsSucceed guards against commands in the README and the operators' pages that do
// not work as shown and in their order, such as a command that writes a file which the check shown
// next refuses.
func TestDocumentedCommandsSucceed(t *testing.T) {
	pages, err := filepath.Glob("../../docs/operators/*.md")
	if err != nil || len(pages) == 0 {
		t.Fatal(pages, err)
	}
	commandCount := 0
	for _, page := range append(pages, "../../README.md") {
		shown := documentedCommands(t, page)
		t.Run(filepath.Base(page), func(t *testing.T) {
			t.Chdir(t.TempDir())
			writePageFiles(t)
			for _, line := range shown {
				args := strings.Fields(line)
				for i := len(args) - 1; i >= 0; i-- { // expand patterns as a shell does
					if names, _ := filepath.Glob(args[i]); strings.Contains(args[i], "*") {
						args = slices.Replace(args, i, i+1, names...)
					}
				}
				switch args[0] {
				case "bin/drumctl":
					commandCount++
					if code, out, errs := runDrumctl(args[1:]...); code != 0 {
						t.Errorf("%s: exits with %d: %s%s", line, code, out, errs)
					}
				case "bin/barleydrum":
					commandCount++
					f := readFiles(args[2:3])[0]
					s, bad := check.ParseSettings(f)
					if len(bad) == 0 {
						_, bad = check.Sidecar(nil, "", s, f.Name)
					}
					if args[1] != "-settings" || len(bad) > 0 {
						t.Errorf("%s: %v", line, bad)
					}
				case "go": // internal/lab has its own tests
					if args[2] != "./cmd/lab" {
						t.Errorf("%s: is not tested", line)
					}
				default:
					t.Errorf("%s: is not tested", line)
				}
			}
		})
	}
	if commandCount < 8 {
		t.Errorf("%d commands ran: the pages show more", commandCount)
	}
}

// writePageFiles writes the files that the pages refer to: two versions of an operators' file, and a
// platform's configuration.
func writePageFiles(t *testing.T) {
	t.Helper()
	for _, name := range []string{"old.toml", "new.toml"} {
		if code, _, errs := runDrumctl(append([]string{"config", "write", "order-front", "--file", name}, applications["order-front"]...)...); code != 0 {
			t.Fatal(errs)
		}
	}
	if err := os.Mkdir("run", 0o755); err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile("run/n1.json", []byte(`{"name": "n1", "listen": "127.0.0.9:9000", "discovery": "127.0.0.9:8500", "seed": "1f",
"settings": {"balancers": 4, "me": 1, "tier": 0, "zones": ["a"], "layers": ["elsewhere"], "discovery": "push",
 "limits": {"connectTimeoutNs": 50000000},
 "classes": [{"name": "read", "goalTimeNs": 500000000, "hardLimitNs": 900000000, "importance": 1, "semantics": "safe"}]}}`), 0o644); err != nil {
		t.Fatal(err)
	}
}

// TestWriteDefaultsPassCheck guards against chosen values that do not fit a class's times: for any
// times in the description, config write must write a file that passes check.
func TestWriteDefaultsPassCheck(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var args []string
		for i := range rapid.IntRange(1, 3).Draw(t, "classes") {
			wanted := time.Duration(rapid.IntRange(10, 60_000).Draw(t, "wanted")) * time.Millisecond
			deadline := wanted * time.Duration(rapid.IntRange(1, 4).Draw(t, "deadline multiple"))
			class := fmt.Sprintf("c%d,wanted=%s,deadline=%s,semantics=", i, wanted, deadline)
			switch rapid.IntRange(0, 2).Draw(t, "semantics") {
			case 0:
				class += "safe"
			case 1:
				class += "unsafe"
			case 2:
				window := time.Duration(rapid.IntRange(10, 120_000).Draw(t, "window")) * time.Millisecond
				class += "keyed,scope=all,repeat-window=" + window.String()
			}
			args = append(args, "--class", class)
		}
		for _, addressFlags := range [][]string{nil, {"--listen", "127.0.0.1:9000", "--discovery", "127.0.0.1:8500"}} {
			if code, _, errs := runDrumctl(append(append([]string{"config", "write", "x"}, args...), addressFlags...)...); code != 0 {
				t.Fatalf("%s: %s", args, errs)
			}
		}
	})
}
