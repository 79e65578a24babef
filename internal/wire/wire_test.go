package wire

import (
	"errors"
	"io"
	"reflect"
	"strings"
	"testing"
	"time"

	"barleydrum.example/barleydrum/balance"
)

// readBatch reads the first batch of text.
func readBatch(text string) (*Batch, error) {
	b := new(Batch)
	return b, NewReader(strings.NewReader(text)).Read(b)
}

// readLastEvent reads a batch that consists of lines and returns its last event.
func readLastEvent(t *testing.T, lines string) *Event {
	t.Helper()
	b, err := readBatch("TICK 8412250000 12\n" + lines + "\nEOB\n")
	if err != nil {
		t.Fatalf("%s: %v", lines, err)
	}
	return &b.Events[len(b.Events)-1]
}

func TestReadEvents(t *testing.T) {
	e := readLastEvent(t, "QUERY sidecar_3 51fdf2bc5d3a91c4 3 2 4569004829183723 240000000 1 12000000")
	want := balance.Request{ID: 0x51fdf2bc5d3a91c4, Class: 1, Tenant: 2, Timeout: 240 * time.Millisecond,
		ClientRetry: true, ExpectedWork: 12 * time.Millisecond}
	if e.Kind != RequestArrived || e.Instance != 3 || e.Request != want {
		t.Errorf("QUERY: %+v", e)
	}
	if e = readLastEvent(t, "QUERY sidecar_3 51fdf2bc5d3a91c4 0 - - 240000000 0 -"); e.Request.ExpectedWork != 0 || e.Request.ClientRetry {
		t.Errorf("QUERY without optional values: %+v", e.Request)
	}
	e = readLastEvent(t, "REPLY sidecar_3 51fdf2bc5d3a91c4 completed 1 51530247 0 18500000 2,-,0.5")
	if o := e.Outcome; e.Kind != AttemptEnded || o.Result != balance.OK || !o.RequestFinished || o.Endpoint != 51530247 ||
		o.Elapsed != 18500*time.Microsecond {
		t.Errorf("REPLY: %+v", o)
	}
	load, err := e.Load([]LoadField{FieldInFlight, FieldQueued, FieldUtilization})
	if err != nil || load.InFlight != 2 || load.Queued != -1 || load.Utilization != 0.5 || load.ServedPerSecond != -1 {
		t.Errorf("load %+v, %v", load, err)
	}
	if _, err := e.Load([]LoadField{FieldInFlight}); err == nil {
		t.Error("a report with too many values was accepted")
	}
	if e = readLastEvent(t, "PROBE_RESULT sidecar_3 7 overdue 50000000 -"); e.Kind != ProbeEnded ||
		e.Outcome.Result != balance.Timeout || e.Outcome.Endpoint != 7 {
		t.Errorf("PROBE_RESULT: %+v", e)
	}
	if load, err := e.Load(nil); load != nil || err != nil {
		t.Errorf("absent load: %+v, %v", load, err)
	}
	if e = readLastEvent(t, "RING sidecar_3 2.00000000000000ff"); e.Timer != (balance.Timer{Kind: 2, Ref: 255}) {
		t.Errorf("RING: %+v", e.Timer)
	}
	if e = readLastEvent(t, "RING sidecar_3 sweep"); e.Timer != (balance.Timer{}) {
		t.Errorf("RING with a foreign cookie: %+v", e.Timer)
	}
	if e = readLastEvent(t, "HEAD_RECEIVED sidecar_3 67c3e1570e6f2b19 1 5 9"); e.Kind != ResponseStarted || e.Outcome.Attempt != 1 {
		t.Errorf("HEAD_RECEIVED: %+v", e)
	}
	for line, kind := range map[string]EventKind{
		"ABORTED sidecar_5 67c3e1570e6f2b19":  RequestAbandoned,
		"POWER_OFF sidecar_5":                 InstanceStopped,
		"INBOX sidecar_5 3 aGkgNw==":          PeerMessage,
		"INBOX sidecar_5 3 -":                 PeerMessage,
		`NEW_INSTANCE sidecar_5 77 {"me": 1}`: InstanceCreated,
		"ENDPOINTS sidecar_5 refused 41 0":    EndpointsUpdated,
		"ENDPOINTS sidecar_5 refused - -":     EndpointsUpdated,
	} {
		if e := readLastEvent(t, line); e.Kind != kind || e.Instance != 5 {
			t.Errorf("%s: %+v", line, e)
		}
	}
}

// An ENDPOINTS event must get the list that was registered under its number before
// it, also when a later REGISTER in the same batch reuses the number.
func TestEndpointsResolvesLatestRegisteredList(t *testing.T) {
	b, err := readBatch(`TICK 1 1
REGISTER 0 2
ENTRY 51530247 0 0 0 in_service 1 -
ENTRY 747639282 1 0 4 terminating 1.5 6100000000
ENDPOINTS sidecar_3 remembered 41 0
REGISTER 0 1
ENTRY 9 0 0 0 terminated 1 0
ENDPOINTS sidecar_4 changes 42 0
EOB
`)
	if err != nil {
		t.Fatal(err)
	}
	first := []balance.Endpoint{
		{ID: 51530247, Weight: 1},
		{ID: 747639282, Zone: 1, Cell: 4, State: balance.Draining, Weight: 1.5, StartedAt: 6100 * time.Millisecond},
	}
	if !reflect.DeepEqual(b.Events[0].Endpoints, first) || b.Events[0].ListKind != balance.ListLastKnown {
		t.Errorf("first list %+v", b.Events[0])
	}
	second := []balance.Endpoint{{ID: 9, Weight: 1, State: balance.Removed}}
	if !reflect.DeepEqual(b.Events[1].Endpoints, second) || b.Events[1].ListKind != balance.ListChanges {
		t.Errorf("second list %+v", b.Events[1])
	}
}

func TestReadRejectsMalformedInput(t *testing.T) {
	for name, c := range map[string]struct{ text, want string }{
		"no TICK":                  {"QUERY x\n", "line 1"},
		"bad clock":                {"TICK now 1\nEOB\n", "bad number"},
		"unknown message":          {"TICK 1 1\nHELLO sidecar_1\nEOB\n", `line 2: "HELLO": unknown message`},
		"too few values":           {"TICK 1 1\nABORTED sidecar_1\nEOB\n", "too few values"},
		"too many values":          {"TICK 1 1\nPOWER_OFF sidecar_1 2\nEOB\n", "too many values"},
		"bad number":               {"TICK 1 1\nPROBE_RESULT sidecar_1 7x completed 1 -\nEOB\n", `bad number "7x"`},
		"number too big":           {"TICK 1 1\nPROBE_RESULT sidecar_1 4294967296 completed 1 -\nEOB\n", "bad number"},
		"bad instance":             {"TICK 1 1\nPOWER_OFF 4\nEOB\n", "bad instance"},
		"bad request id":           {"TICK 1 1\nABORTED sidecar_1 12\nEOB\n", "bad request id"},
		"bad reason":               {"TICK 1 1\nPROBE_RESULT sidecar_1 7 fine 1 -\nEOB\n", "unknown reason"},
		"bad report":               {"TICK 1 1\nPROBE_RESULT sidecar_1 7 completed 1 1,x\nEOB\n", "bad number"},
		"too many report values":   {"TICK 1 1\nPROBE_RESULT sidecar_1 7 completed 1 1,2,3,4,5\nEOB\n", "more than 4 values"},
		"bad bool":                 {"TICK 1 1\nREPLY sidecar_1 51fdf2bc5d3a91c4 completed 2 7 0 1 -\nEOB\n", "neither 0 nor 1"},
		"bad list kind":            {"TICK 1 1\nENDPOINTS sidecar_1 some 1 0\nEOB\n", "unknown list kind"},
		"unregistered list number": {"TICK 1 1\nENDPOINTS sidecar_1 all 1 3\nEOB\n", "no list is registered under number 3"},
		"list number too high":     {"TICK 1 1\nREGISTER 16 0\nEOB\n", "not from 0 to 15"},
		"truncated list":           {"TICK 1 1\nREGISTER 0 2\nENTRY 1 0 0 0 in_service 1 -\nEOB\n", "truncated"},
		"bad status":               {"TICK 1 1\nREGISTER 0 1\nENTRY 1 0 0 0 well 1 -\nEOB\n", "unknown status"},
		"bad base64":               {"TICK 1 1\nINBOX sidecar_1 2 %%\nEOB\n", "bad base64"},
		"truncated batch":          {"TICK 1 7\nPOWER_OFF sidecar_1\n", "batch 7 is truncated"},
		"truncated line":           {"TICK 1 7\nPOWER_OFF sidecar_1", "truncated"},
	} {
		_, err := readBatch(c.text)
		if err == nil || errors.Is(err, io.EOF) || !strings.Contains(err.Error(), c.want) {
			t.Errorf("%s: error %v, want one with %q", name, err, c.want)
		}
	}
	if _, err := readBatch(""); !errors.Is(err, io.EOF) {
		t.Errorf("end of input: %v, want io.EOF", err)
	}
}

func TestAppendAction(t *testing.T) {
	for _, c := range []struct {
		action balance.Action
		want   string
	}{
		{balance.Action{Kind: balance.Send, Request: 0x51fdf2bc5d3a91c4, Endpoint: 51530247, Deadline: 8492250000},
			"TRY sidecar_3 51fdf2bc5d3a91c4 51530247 8492250000"},
		{balance.Action{Kind: balance.Cancel, Request: 1, Attempt: 2}, "WITHDRAW sidecar_3 0000000000000001 2"},
		{balance.Action{Kind: balance.Shed, Request: 1, Delay: 5}, "SHED sidecar_3 0000000000000001 5"},
		{balance.Action{Kind: balance.Fail, Request: 1}, "RESPOND_ERROR sidecar_3 0000000000000001"},
		{balance.Action{Kind: balance.Probe, Endpoint: 7}, "TEST sidecar_3 7"},
		{balance.Action{Kind: balance.CloseIdle, Endpoint: 7}, "RELEASE sidecar_3 7"},
		{balance.Action{Kind: balance.Subscribe}, "STREAM_CHANGES sidecar_3 1"},
	} {
		if got := string(AppendAction(nil, 3, &c.action)); got != c.want+"\n" {
			t.Errorf("got %q, want %q", got, c.want)
		}
	}
	// The cookie of an AFTER action must be read back as the same timer.
	timer := balance.Timer{Kind: 1, Ref: 0xfedcba9876543210}
	line := string(AppendAction(nil, 3, &balance.Action{Kind: balance.SetTimer, Timer: timer, Delay: 9}))
	cookie := strings.Fields(line)[2]
	if e := readLastEvent(t, "RING sidecar_3 "+cookie); e.Timer != timer {
		t.Errorf("%q was read back as %+v", line, e.Timer)
	}
	if got := string(AppendPanic(nil, 3, "a\nb")); got != "PANIC sidecar_3 a b\n" {
		t.Errorf("panic line %q", got)
	}
}

const settingsJSON = `{"balancers": 8, "unknown": [1], "classes": [{"goalTimeNs": 1540000000, "hardLimitNs": 3850000000,
"importance": 1.0, "keyScope": "zone", "lateShare": 0.5, "name": "x", "repeatWindowNs": 10000000000,
"semantics": "keyed", "stream": false}], "discovery": "ask", "limits": {"attemptsCap": 6, "cancel": true,
"probes": true, "secondCopies": true, "peers": true, "retryAfter": true, "maxRetryAfterNs": 2000000000,
"connectTimeoutNs": 250000000, "keepaliveNs": 30000000000, "maxStreams": 100}, "loadInfo": {"fields": ["busy_reqs", "new", "cpu_share"], "how": "pull"},
"me": 3, "rules": {"coldNs": 22000000000, "coldShare": 0.16, "drainGraceNs": 500000000, "releaseWithinNs": 800000000,
"askWithinNs": 9000000000, "fallMultiple": 4, "tipAfterNs": 1500000000}, "countedBy": "work",
"goal": {"whole": 0.6, "worstWindow": 0.1, "worstClass": 0.2, "worstTenant": 0.4, "logLossPart": 0.3, "ninesFull": 2},
"costs": {"connection": 1, "crossZone": 2, "handshake": 3, "lateFail": 4, "peer": 5, "probe": 6, "waste": 7, "moves": 8}, "stepNs": 1000000, "tier": 1, "weights": "nominal", "zone": 1}`

func TestParseConfig(t *testing.T) {
	cfg, fields, err := ParseConfig([]byte(settingsJSON))
	if err != nil {
		t.Fatal(err)
	}
	class := cfg.Classes[0]
	if class.TargetLatency != 1540*time.Millisecond || class.Semantics != balance.Keyed || class.Scope != balance.ScopeZone ||
		class.LateValueShare != 0.5 || class.RepeatWindow != 10*time.Second {
		t.Errorf("class %+v", class)
	}
	if cfg.SidecarIndex != 3 || cfg.Tier != 1 || !cfg.MustSubscribe || cfg.WeightMeaning != balance.WeightCapacity ||
		cfg.Reporting != balance.ReportsInProbe || cfg.WarmupTime != 22*time.Second || cfg.Limits.MaxAttempts != 6 {
		t.Errorf("config %+v", cfg)
	}
	for name, got := range map[string]bool{
		"rules.drainGraceNs":     cfg.DrainGrace == 500*time.Millisecond,
		"rules.releaseWithinNs":  cfg.MaxDrainIdleTime == 800*time.Millisecond,
		"rules.askWithinNs":      cfg.MaxSubscribeDelay == 9*time.Second,
		"rules.fallMultiple":     cfg.ColdOverloadMultiple == 4,
		"rules.tipAfterNs":       cfg.ColdOverloadTime == 1500*time.Millisecond,
		"countedBy":              cfg.ValueScalesWithWork,
		"goal":                   cfg.Objective == balance.ObjectiveWeights{Overall: 0.6, WorstWindow: 0.1, WorstClass: 0.2, WorstTenant: 0.4, Nines: 0.3, NinesTarget: 2},
		"costs":                  cfg.Costs == balance.Costs{Connection: 1, CrossZone: 2, Handshake: 3, LateFail: 4, Peer: 5, Probe: 6, Waste: 7},
		"limits.peers":           cfg.Limits.PeerMessages,
		"limits.secondCopies":    cfg.Limits.Hedging,
		"limits.maxRetryAfterNs": cfg.Limits.MaxRetryAfter == 2*time.Second,
		"limits.keepaliveNs":     cfg.Limits.KeepAlive == 30*time.Second,
		"limits.maxStreams":      cfg.Limits.MaxStreams == 100,
	} {
		if !got {
			t.Errorf("%s does not reach the balancer's configuration: %+v", name, cfg)
		}
	}
	if want := []LoadField{FieldInFlight, FieldUnknown, FieldUtilization}; !reflect.DeepEqual(fields, want) {
		t.Errorf("fields %v, want %v", fields, want)
	}
	for _, replacement := range [][2]string{
		{`"keyed"`, `"maybe"`}, {`"zone", "late`, `"room", "late`}, {`"nominal"`, `"heavy"`}, {`"pull"`, `"push"`},
		{`{"balancers"`, `{"balancers`},
	} {
		if _, _, err := ParseConfig([]byte(strings.Replace(settingsJSON, replacement[0], replacement[1], 1))); err == nil {
			t.Errorf("%s in place of %s was accepted", replacement[1], replacement[0])
		}
	}
}

// FuzzRead checks that Read accepts or rejects arbitrary input without a panic, and
// that its errors begin with a line number.
func FuzzRead(f *testing.F) {
	f.Add("TICK 1 1\nREGISTER 0 1\nENTRY 1 0 0 0 in_service 1 -\nENDPOINTS sidecar_3 all 1 0\nEOB\n")
	f.Add("TICK 1 1\nQUERY sidecar_3 51fdf2bc5d3a91c4 1 0 4569004829183723 240000000 0 12000000\nEOB\n")
	f.Add("TICK 1 1\nREPLY sidecar_3 51fdf2bc5d3a91c4 completed 1 51530247 0 18500000 1,2\nEOB\n")
	f.Fuzz(func(t *testing.T, text string) {
		r := NewReader(strings.NewReader(text))
		var b Batch
		for {
			err := r.Read(&b)
			if errors.Is(err, io.EOF) {
				return
			}
			if err != nil {
				if !strings.HasPrefix(err.Error(), "line ") {
					t.Fatalf("error %q does not begin with a line number", err)
				}
				return
			}
		}
	})
}
