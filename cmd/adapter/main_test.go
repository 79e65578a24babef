package main

import (
	"bytes"
	"fmt"
	"strings"
	"testing"
)

const settingsJSON = `{"balancers": 1, "classes": [{"goalTimeNs": 800000000, "hardLimitNs": 2000000000, "importance": 1,
"keyScope": "all", "lateShare": 0, "name": "x", "repeatWindowNs": 0, "semantics": "safe", "stream": false}],
"limits": {"attemptsCap": 4, "cancel": true, "probes": true}, "loadInfo": {"fields": ["busy_reqs"], "how": "pull"},
"me": 0, "stepNs": 1000000, "weights": "silent", "zone": 0}`

// oneLine replaces line feeds by spaces, as settings are a single line of a batch.
func oneLine(s string) string { return strings.ReplaceAll(s, "\n", " ") }

// startupBatch returns a batch that creates sidecar_3 and gives it the list of one
// endpoint, number 5.
func startupBatch(t *testing.T) string {
	t.Helper()
	return "TICK 1000000000 1\nNEW_INSTANCE sidecar_3 7 " + oneLine(settingsJSON) +
		"\nREGISTER 0 1\nENTRY 5 0 0 0 in_service 1 -\nENDPOINTS sidecar_3 remembered 1 0\nEOB\n"
}

func TestRunServesRequest(t *testing.T) {
	input := startupBatch(t) +
		"TICK 1001000000 2\nQUERY sidecar_3 51fdf2bc5d3a91c4 0 - - 700000000 0 -\nEOB\n" +
		"TICK 1003000000 3\nPROBE_RESULT sidecar_3 5 completed 2000000 0\nEOB\n" +
		"TICK 1004000000 4\nREPLY sidecar_3 51fdf2bc5d3a91c4 completed 1 5 0 1000000 -\nEOB\n"
	var out bytes.Buffer
	if err := run(strings.NewReader(input), &out); err != nil {
		t.Fatal(err)
	}
	got := out.String()
	for _, want := range []string{"END 1\n", "TEST sidecar_3 5\n", "TRY sidecar_3 51fdf2bc5d3a91c4 5 ", "END 4\n"} {
		if !strings.Contains(got, want) {
			t.Errorf("no %q in the replies:\n%s", want, got)
		}
	}
}

// An instance that is stopped and created again in one batch must receive the events
// that follow.
func TestInstanceRestartsWithinOneBatch(t *testing.T) {
	input := startupBatch(t) + strings.Replace(startupBatch(t), "TICK 1000000000 1\n", "TICK 1001000000 2\nPOWER_OFF sidecar_3\n", 1) +
		"TICK 1002000000 3\nABORTED sidecar_3 51fdf2bc5d3a91c4\nEOB\n"
	var out bytes.Buffer
	if err := run(strings.NewReader(input), &out); err != nil {
		t.Error(err)
	}
}

func TestInvalidSettingsReplyPanic(t *testing.T) {
	for _, bad := range []string{`"semantics": "perhaps"`, `"semantics": 4`} {
		input := strings.Replace(startupBatch(t), `"semantics": "safe"`, bad, 1)
		var out bytes.Buffer
		if err := run(strings.NewReader(input), &out); err != nil {
			t.Fatal(err)
		}
		if !strings.HasPrefix(out.String(), "PANIC sidecar_3 config: ") {
			t.Errorf("%s: reply %q, want PANIC", bad, out.String())
		}
	}
	input := strings.Replace(startupBatch(t), `"goalTimeNs": 800000000`, `"goalTimeNs": -1`, 1)
	var out bytes.Buffer
	if err := run(strings.NewReader(input), &out); err != nil || !strings.Contains(out.String(), "Classes[0].Goal") {
		t.Errorf("reply %q, error %v, want PANIC naming Classes[0].Goal", out.String(), err)
	}
}

func TestRunFailsOnMalformedInput(t *testing.T) {
	for input, want := range map[string]string{
		"TICK 1 1\nABORTED sidecar_9 51fdf2bc5d3a91c4\nEOB\n":                                  "line 2: unknown instance sidecar_9",
		"TICK 1 1\nABORTED sidecar_9 51fd\nEOB\n":                                              "line 2: ",
		startupBatch(t) + "TICK 1 2\n":                                                         "truncated",
		startupBatch(t) + "TICK 1001000000 2\nPROBE_RESULT sidecar_3 5 completed 2 1,2\nEOB\n": "line 8: load report",
	} {
		var out bytes.Buffer
		err := run(strings.NewReader(input), &out)
		if err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("error %v, want one with %q", err, want)
		}
		if strings.Contains(out.String(), "error") {
			t.Errorf("error on standard output: %q", out.String())
		}
	}
}

// runAdapter runs the adapter on input and returns the replies.
func runAdapter(t *testing.T, input string) string {
	t.Helper()
	var out bytes.Buffer
	if err := run(strings.NewReader(input), &out); err != nil {
		t.Fatal(err)
	}
	return out.String()
}

// Empty lists, lists without a usable endpoint, zero weights, duplicate entries and a
// failed discovery request are valid input. A request must still get exactly one
// final response, at the latest when its deadline timer fires, and each batch its END.
func TestUnusualEndpointListsShedAtDeadline(t *testing.T) {
	const query = "QUERY sidecar_3 51fdf2bc5d3a91c4 0 - - 700000000 0 -\n"
	const deadlineTimer = "TICK 1699000000 3\nRING sidecar_3 1.51fdf2bc5d3a91c4\nEOB\n"
	for name, list := range map[string]string{
		"no endpoints": "REGISTER 0 0\nENDPOINTS sidecar_3 all 2 0\n",
		"all draining": "REGISTER 0 1\nENTRY 5 0 0 0 terminating 1 -\nENDPOINTS sidecar_3 all 2 0\n",
		"all removed":  "REGISTER 0 1\nENTRY 5 0 0 0 terminated 1 -\nENDPOINTS sidecar_3 changes 2 0\n",
		"zero weight":  "REGISTER 0 1\nENTRY 5 0 0 0 in_service 0 -\nENDPOINTS sidecar_3 all 2 0\n",
		"listed twice": "REGISTER 0 2\nENTRY 5 0 0 0 in_service 1 -\nENTRY 5 0 0 0 in_service 1 -\nENDPOINTS sidecar_3 all 2 0\n",
		"refused":      "ENDPOINTS sidecar_3 refused - -\n",
	} {
		got := runAdapter(t, startupBatch(t)+"TICK 1001000000 2\n"+list+query+"EOB\n"+deadlineTimer)
		if n := strings.Count(got, "SHED sidecar_3 51fdf2bc5d3a91c4"); n != 1 || !strings.HasSuffix(got, "END 3\n") {
			t.Errorf("%s: %d final responses, want 1: %q", name, n, got)
		}
	}
}

func TestEmptyBatches(t *testing.T) {
	if got := runAdapter(t, "TICK 1 1\nEOB\n\nTICK 2 2\nEOB\n"); got != "END 1\nEND 2\n" {
		t.Errorf("replies %q to two empty batches", got)
	}
}

func TestLongBatch(t *testing.T) {
	var input strings.Builder
	input.WriteString(startupBatch(t) + "TICK 1001000000 2\n")
	const n = 3000
	for i := range n {
		fmt.Fprintf(&input, "QUERY sidecar_3 %016x 0 - - 700000000 0 -\n", i+1)
	}
	input.WriteString("EOB\nTICK 1699000000 3\n")
	for i := range n {
		fmt.Fprintf(&input, "RING sidecar_3 1.%016x\n", i+1)
	}
	input.WriteString("EOB\n")
	if got := strings.Count(runAdapter(t, input.String()), "SHED "); got != n {
		t.Errorf("%d of %d requests got a response", got, n)
	}
}

// The bench may send events about requests, endpoints and timers that the balancer
// has dropped or never had. Such events must cause no action.
func TestLateAndUnknownEventsAreIgnored(t *testing.T) {
	got := runAdapter(t, startupBatch(t)+"TICK 1001000000 2\n"+
		"ABORTED sidecar_3 51fdf2bc5d3a91c4\n"+
		"REPLY sidecar_3 51fdf2bc5d3a91c4 completed 1 5 0 1000000 0\n"+
		"REPLY sidecar_3 51fdf2bc5d3a91c4 completed 1 99 7 1000000 -\n"+
		"HEAD_RECEIVED sidecar_3 51fdf2bc5d3a91c4 0 9250000 5\n"+
		"PROBE_RESULT sidecar_3 99 completed 2000000 0\n"+
		"RING sidecar_3 sweep\nRING sidecar_3 1.00000000000000ff\nINBOX sidecar_3 2 aGkgNw==\nEOB\n")
	if !strings.HasSuffix(got, "END 1\nEND 2\n") {
		t.Errorf("replies %q, want no action", got)
	}
}
