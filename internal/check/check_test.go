package check

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"

	"barleydrum.example/barleydrum/balance"
	"barleydrum.example/barleydrum/internal/config"
)

// platformConfig is a platform's configuration in the form of DEPLOY, as one sidecar of the tier
// order-front at the operators' main site is told it.
const platformConfig = `{"name": "n3", "listen": "10.0.0.4:9000", "discovery": "10.2.0.1:8500", "seed": "8c1f30d27a5be964",
"limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
"peer_listen": "10.0.0.4:7946", "peers": ["10.3.0.1:7946"], "peers_all": "10.3.255.1:7946",
"known": {"generation": 41, "reset": true, "instances": [
 {"instanceId": "s-1", "hostPort": "10.1.0.18:9000", "zone": "campus-east", "machineType": "front-a", "cell": 3,
  "lifecycle": "up", "weight": 1.0, "startedAtMs": 0}]},
"settings": {"balancers": 170, "me": 3, "tier": 0, "zone": 0, "zones": ["campus-east", "campus-west"],
 "layers": ["order-front", "order-check", "run-booking"], "kindOfService": "chain", "discovery": "push", "stepNs": 1000000,
 "classes": [{"name": "place-order", "goalTimeNs": 1540000000, "hardLimitNs": 3850000000, "importance": 1.0,
  "semantics": "keyed", "keyScope": "all", "repeatWindowNs": 10000000000, "lateShare": 0.0, "stream": false}],
 "costs": {"crossZone": 0.005, "lateFail": 0.08, "probe": 0.002, "waste": 0.04, "peer": 0.01},
 "goal": {"whole": 0.9, "worstWindow": 0.1}, "countedBy": "request", "weights": "silent",
 "limits": {"attemptsCap": 6, "cancel": true, "secondCopies": true, "probes": true, "peers": true, "retryAfter": true,
  "maxRetryAfterNs": 2000000000, "connectTimeoutNs": 250000000, "keepaliveNs": 10000000000, "maxStreams": 100},
 "loadInfo": {"fields": ["busy_reqs", "pending", "cpu_share"], "how": "pull"},
 "rules": {"coldNs": 22000000000, "coldShare": 0.14, "drainGraceNs": 500000000, "fallMultiple": 3.0, "tipAfterNs": 2000000000},
 "specifics": {"passesDeadline": true}, "overShareWorth": 0.1, "tenants": []}}
`

// settingsBeside goes with platform, alone is run without one.
const settingsBeside = `schema = 1

[application]
name = "order-front"
tier = "order-front"
calls = ["order-check"]

[callers]
answer_margin = "10ms"
body_time = "700ms"

[endpoints]
connect_time = "200ms"

[probe]
path = "/load"
time = "250ms"

[class.place-order]
wanted = "1540ms"
deadline = "3850ms"
semantics = "keyed"
scope = "all"
repeat_window = "10s"
attempts = 6
retries = 2
second_copies = true
retry_within = "1200ms"
`

const standaloneSettings = `schema = 1

[application]
name = "order-check"
tier = "order-check"
calls = ["run-booking"]
listen = "127.0.0.1:9000"
discovery = "127.0.0.1:8500"

[callers]
also_listen = ["127.0.0.1:9001"]

[limits]
memory = "192MiB"
sockets = 1024

[fleet]
zone = "campus-east"
zones = ["campus-east", "campus-west"]
sidecars = 4
number = 1
list = "push"
drain_grace = "500ms"
cold_share = 0.14
cold_time = "22s"
attempts = 6

[class.place-order]
wanted = "1540ms"
deadline = "3850ms"
semantics = "keyed"
scope = "all"
repeat_window = "10s"
retry_within = "1540ms"

[class.look-up]
wanted = "1530ms"
deadline = "2s"
semantics = "safe"

[class.pay]
wanted = "1540ms"
deadline = "3850ms"
semantics = "unsafe"
retries = 0
second_copies = false
`

func newFile(name, text string) File { return File{Name: name, Text: []byte(text)} }

func formatFindings(findings []config.Finding) string {
	var b strings.Builder
	for _, f := range findings {
		fmt.Fprintln(&b, f)
	}
	return b.String()
}

// What the platform writes is accepted as it is, and so are the good files of these tests:
// without a word.
func TestDeploymentAcceptsValidFiles(t *testing.T) {
	for name, files := range map[string][]File{
		"platform": {newFile("p.json", platformConfig)}, "beside": {newFile("p.json", platformConfig), newFile("s.toml", settingsBeside)},
		"alone": {newFile("a.toml", standaloneSettings)}, "all": {newFile("p.json", platformConfig), newFile("s.toml", settingsBeside), newFile("a.toml", standaloneSettings)},
		"default": {newFile("p.json", platformConfig), newFile("d.toml", "schema = 1\n[application]\nname = \"x\"\n")},
	} {
		if got := Deployment(files); len(got) > 0 {
			t.Errorf("%s: %s", name, formatFindings(got))
		}
	}
}

// mutation is one fault that a good set of files is given.
type mutation struct {
	name, rule, key string // the rule and the key that its refusal must name
	base            string // "beside", "alone", "platform" or "pair": the file that is changed
	old, new        string // its text
	variant         string // a further file, if any
}

// mutations are each one fault, whose numbers are drawn at random within what is wrong.
func mutations(rng *rand.Rand) []mutation {
	n := func(from, to int) int { return from + rng.IntN(to-from+1) }
	ms := func(from, to int) string { return fmt.Sprintf("%q", fmt.Sprintf("%dms", n(from, to))) }
	out := []mutation{
		{"retries past wanted", "retry-past-wanted", "class.place-order.retry_within", "beside", `retry_within = "1200ms"`, "retry_within = " + ms(1541, 3850), ""},
		{"retries past the deadline", "retry-past-deadline", "class.place-order.retry_within", "beside", `retry_within = "1200ms"`, "retry_within = " + ms(3851, 60000), ""},
		{"retries past wanted, alone", "retry-past-wanted", "class.place-order.retry_within", "alone", `retry_within = "1540ms"`, "retry_within = " + ms(1541, 3850), ""},
		{"attempts past wanted", "attempts-past-wanted", "class.place-order.attempts", "beside", "attempts = 6\nretries", fmt.Sprintf("attempts = %d\nretries", n(8, 99)), "raise"},
		{"slow connects past wanted", "attempts-past-wanted", "class.place-order.attempts", "beside", `connect_time = "200ms"`, "connect_time = " + ms(254, 300), "raise"},
		{"one connect past wanted", "connect-past-wanted", "endpoints.connect_time", "alone", "[limits]", "[endpoints]\nconnect_time = " + ms(1540, 9000) + "\n[limits]", ""},
		{"unsafe, retried", "unsafe-retried", "class.pay.retries", "alone", "retries = 0", fmt.Sprintf("retries = %d", n(1, 5)), ""},
		{"unsafe, copied", "unsafe-copied", "class.pay.second_copies", "alone", "second_copies = false", "second_copies = true", ""},
		{"keyed class turned unsafe, with retries", "unsafe-retried", "class.place-order.retries", "beside", `semantics = "keyed"`, `semantics = "unsafe"`, "nocopies"},
		{"late repeat by window", "late-repeat", "class.place-order.retry_within", "alone", `repeat_window = "10s"`, "repeat_window = " + ms(1, 1540), ""},
		{"late repeat by wanted", "late-repeat", "class.place-order.repeat_window", "beside", `repeat_window = "10s"`, "repeat_window = " + ms(1, 1200), "noretry"},
		{"wanted past deadline", "wanted-past-deadline", "class.look-up.wanted", "alone", `wanted = "1530ms"`, "wanted = " + ms(2001, 9000), ""},
		{"deadline under the platform's wanted", "wanted-past-deadline", "class.place-order.wanted", "beside", `wanted = "1540ms"` + "\n" + `deadline = "3850ms"`, "deadline = " + ms(1300, 1530), ""},
		{"more time than the platform gives", "looser-time", "class.place-order.deadline", "beside", `deadline = "3850ms"`, "deadline = " + ms(3851, 60000), ""},
		{"wanted later than the platform", "looser-time", "class.place-order.wanted", "beside", `wanted = "1540ms"`, "wanted = " + ms(1541, 3850), ""},
		{"worth after the platform's end", "looser-time", "class.place-order.late_worth", "beside", `wanted = "1540ms"`, fmt.Sprintf("wanted = \"1540ms\"\nlate_worth = 0.%d", n(1, 9)), ""},
		{"unsafe taken for keyed", "looser-semantics", "class.place-order.semantics", "pair", `"semantics": "keyed", "keyScope": "all"`, `"semantics": "unsafe"`, "plain"},
		{"keyed taken for safe", "looser-semantics", "class.place-order.semantics", "beside", `semantics = "keyed"`, `semantics = "safe"`, ""},
		{"wider scope", "looser-scope", "class.place-order.scope", "pair", `"keyScope": "all"`, `"keyScope": "` + []string{"zone", "cell"}[n(0, 1)] + `"`, ""},
		{"longer window", "looser-window", "class.place-order.repeat_window", "beside", `repeat_window = "10s"`, "repeat_window = " + ms(10001, 600000), ""},
		{"margin past wanted", "margin-past-wanted", "callers.answer_margin", "beside", `answer_margin = "10ms"`, "answer_margin = " + ms(770, 1000), ""},
		{"probe past wanted", "probe-past-wanted", "probe.time", "beside", `time = "250ms"`, "time = " + ms(1540, 9000), ""},
		{"linger too short", "linger-short", "shutdown.linger", "beside", "[probe]", "[shutdown]\nlinger = " + ms(0, 399) + "\n[probe]", ""},
		{"linger past the kill", "shutdown-past-kill", "shutdown.linger", "beside", "[probe]", "[shutdown]\nlinger = " + ms(501, 9000) + "\n[probe]", ""},
		{"idle too short", "idle-short", "callers.idle_time", "beside", "[endpoints]", "idle_time = " + ms(100, 1999) + "\n[endpoints]", ""},
		{"long grace for drains", "drain-grace", "fleet.drain_grace", "alone", `drain_grace = "500ms"`, "drain_grace = " + ms(501, 60000), ""},
		{"longer grace than the platform", "looser-drain", "fleet.drain_grace", "pair", `"drainGraceNs": 500000000`, fmt.Sprintf(`"drainGraceNs": %d000000`, n(400, 449)), "drain450"},
		{"watch past the grace", "drain-unheard", "discovery.push_wait", "beside", "[probe]", "[discovery]\npush_wait = " + ms(201, 9000) + "\n[probe]", ""},
		{"warm at once", "cold-instant", "fleet.cold_time", "alone", `cold_time = "22s"`, "cold_time = " + ms(1, 99), ""},
		{"warm sooner than the platform", "looser-cold", "fleet.cold_time", "beside", "[probe]", "[fleet]\ncold_time = " + ms(1, 21999) + "\n[probe]", ""},
		{"stronger at the start than the platform", "looser-cold", "fleet.cold_share", "beside", "[probe]", fmt.Sprintf("[fleet]\ncold_share = 0.%d\n[probe]", n(15, 99)), ""},
		{"fewer sidecars than the platform", "looser-cold", "fleet.sidecars", "beside", "[probe]", fmt.Sprintf("[fleet]\nsidecars = %d\n[probe]", n(4, 169)), ""},
		{"more memory than the platform", "looser-limit", "limits.memory", "beside", "[probe]", fmt.Sprintf("[limits]\nmemory = \"%dMiB\"\n[probe]", n(193, 900)), ""},
		{"more sockets than the platform", "looser-limit", "limits.sockets", "beside", "[probe]", fmt.Sprintf("[limits]\nsockets = %d\n[probe]", n(1025, 9000)), ""},
		{"more attempts than the platform", "looser-limit", "fleet.attempts", "beside", "[probe]", fmt.Sprintf("[fleet]\nattempts = %d\n[probe]", n(7, 99)), ""},
		{"longer keep-alive than the platform", "looser-limit", "endpoints.keep_alive", "beside", "[probe]", "keep_alive = " + ms(10001, 99999) + "\n[probe]", ""},
		{"too many connections", "descriptors", "callers.connections", "beside", "[endpoints]", fmt.Sprintf("connections = %d\n[endpoints]", n(1000, 9000)), ""},
		{"too many in all", "descriptors", "callers.connections", "alone", "[limits]", fmt.Sprintf("connections = 500\n[endpoints]\nconnections = %d\n[limits]", n(501, 900)), ""},
		{"long bodies", "memory", "callers.max_body", "beside", "[endpoints]", fmt.Sprintf("max_body = \"%dMiB\"\n[endpoints]", n(1, 16)), ""},
		{"long answers", "memory", "endpoints.max_answer", "alone", "[limits]", fmt.Sprintf("[endpoints]\nmax_answer = \"%dMiB\"\n[limits]", n(1, 16)), ""},
		{"flowing requests on the platform", "streams-platform", "streams.max_body", "beside", "[probe]", fmt.Sprintf("[streams]\nmax_body = \"%dMiB\"\n[probe]", n(1, 99)), ""},
		{"flowing answers on the platform", "streams-platform", "streams.max_answer", "beside", "[probe]", fmt.Sprintf("[streams]\nmax_answer = \"%dMiB\"\n[probe]", n(1, 99)), ""},
		{"flowing bodies that are short", "streams-short", "streams.max_body", "alone", "[limits]", fmt.Sprintf("[streams]\nmax_body = \"%dKiB\"\n[limits]", n(1, 63)), ""},
		{"one body over all in memory", "streams-kept", "streams.memory", "alone", "[limits]", fmt.Sprintf("[streams]\nmemory = \"%dMiB\"\nmemory_all = \"%dKiB\"\n[limits]", n(1, 9), n(0, 900)), ""},
		{"one body over all in files", "streams-kept", "streams.file", "alone", "[limits]", fmt.Sprintf("[streams]\nfile = \"%dMiB\"\n[limits]", n(1, 9)), ""},
		{"more flowing bodies than callers", "streams-open", "streams.open", "alone", "[limits]", fmt.Sprintf("[streams]\nmax_body = \"1MiB\"\nopen = %d\n[limits]", n(400, 900)), ""},
		{"more files than descriptors", "descriptors", "endpoints.connections", "alone", "[limits]", fmt.Sprintf("[endpoints]\nconnections = 400\n[streams]\nmax_body = \"1MiB\"\nfile = \"1MiB\"\nfiles_all = \"9MiB\"\nopen = %d\n[limits]", n(260, 341)), ""},
		{"flowing bodies over the memory", "streams-memory", "streams.memory_all", "alone", "[limits]", fmt.Sprintf("[streams]\nmax_body = \"1MiB\"\nmemory_all = \"%dMiB\"\n[limits]", n(193, 900)), ""},
		{"files on a RAM disk over the memory", "streams-memory", "streams.files_all", "alone", "[limits]", fmt.Sprintf("[streams]\nmax_body = \"1MiB\"\nram_disk = true\nfiles_all = \"%dMiB\"\n[limits]", n(193, 900)), ""},
		{"own address twice", "listen-claimed", "callers.also_listen", "alone", `"127.0.0.1:9001"`, `"127.0.0.1:9000"`, ""},
		{"listens where discovery is", "listen-discovery", "application.listen", "alone", `listen = "127.0.0.1:9000"`, `listen = "127.0.0.1:8500"`, ""},
		{"listens where an endpoint is", "listen-endpoint", "application.listen", "platform", `"hostPort": "10.1.0.18:9000"`, `"hostPort": "10.0.0.4:9000"`, ""},
		{"more listeners than the platform gives", "listen-extra", "callers.also_listen", "beside", "[endpoints]", "also_listen = [\"10.0.0.4:9002\"]\n[endpoints]", ""},
		{"another's listen", "platform-differs", "application.listen", "beside", `tier = "order-front"`, "tier = \"order-front\"\nlisten = \"10.0.0.5:9000\"", ""},
		{"another's zone", "platform-differs", "fleet.zone", "beside", "[probe]", "[fleet]\nzone = \"campus-west\"\n[probe]", ""},
		{"an unknown class", "class-unknown", "class.take-order", "beside", "[class.place-order]", "[class.take-order]", ""},
		{"a class by case", "class-case", "class.Place-Order", "beside", "[class.place-order]", "[class.Place-Order]", ""},
		{"two classes by case", "class-case", "class.look-up", "alone", "[class.pay]", "[class.Look-Up]", ""},
		{"own number", "sidecar-number", "fleet.number", "alone", "number = 1", fmt.Sprintf("number = %d", n(4, 99)), ""},
		{"calls itself", "tier-circle", "application.calls", "alone", `calls = ["run-booking"]`, `calls = ["run-booking", "order-check"]`, ""},
		{"no tier", config.RuleMissingKey, "application.tier", "alone", `tier = "order-check"` + "\n", "", ""},
		{"no semantics", config.RuleMissingKey, "class.look-up.semantics", "alone", `semantics = "safe"` + "\n", "", ""},
		{"no window", config.RuleMissingKey, "class.place-order.repeat_window", "alone", `repeat_window = "10s"` + "\n", "", ""},
		{"no window from the platform", "no-window", "class.place-order.repeat_window", "platform", `"repeatWindowNs": 10000000000, `, "", ""},
		{"a goal that the module does not take", "module", "", "platform", `"goalTimeNs": 1540000000`, `"goalTimeNs": 0`, ""},
		{"a zone by no index", "zone-unknown", "settings.zone", "platform", `"zone": 0, "zones"`, fmt.Sprintf(`"zone": %d, "zones"`, n(2, 9)), ""},
		{"a zone below none", "zone-unknown", "settings.zone", "platform", `"zone": 0, "zones"`, fmt.Sprintf(`"zone": %d, "zones"`, n(-9, -1)), ""},
		{"an endpoint in no zone", "zone-unknown", "known.instances[0].zone", "platform", `"zone": "campus-east", "machineType"`, `"zone": "campus-est", "machineType"`, ""},
		{"a zone of the file's own", "zone-unknown", "fleet.zone", "alone", `zone = "campus-east"`, `zone = "campus-est"`, ""},
		{"a tier by no index", "tier-unknown", "settings.tier", "platform", `"tier": 0`, fmt.Sprintf(`"tier": %d`, n(3, 9)), ""},
		{"a zone twice", "name-twice", "settings.zones[1]", "platform", `"campus-west"]`, `"campus-east"]`, ""},
		{"a tier twice", "name-twice", "settings.layers[2]", "platform", `"order-check", "run-booking"]`, `"order-check", "order-check"]`, ""},
		{"a tenant twice", "name-twice", "settings.tenants[1]", "platform", `"tenants": []`, `"tenants": [{"name": "a", "share": 0.5, "quotaPerS": 1}, {"name": "a", "share": 0.5, "quotaPerS": 1}]`, ""},
		{"an endpoint twice", "name-twice", "known.instances[1]", "platform", `"instances": [`,
			`"instances": [{"instanceId": "s-1", "hostPort": "10.1.0.19:9000", "zone": "campus-east", "lifecycle": "up"},`, ""},
		{"one connect of the platform past wanted", "connect-past-wanted", "endpoints.connect_time", "platform", `"connectTimeoutNs": 250000000`, fmt.Sprintf(`"connectTimeoutNs": %d000000`, n(1520, 9000)), ""},
		{"a bad seed", config.RuleInvalidPlatform, "seed", "platform", "8c1f30d27a5be964", "seed", ""},
		{"text for sockets", config.RuleWrongType, "limits.sockets", "platform", `"sockets": 1024`, `"sockets": "many"`, ""},
		{"no JSON", config.RuleSyntax, "", "platform", `"limits":`, `"limits"`, ""},
		{"a misspelt key", config.RuleUnknownKey, "callers.answer_margn", "beside", "answer_margin", "answer_margn", ""},
		{"a misspelt part", config.RuleUnknownKey, "prob", "beside", "[probe]", "[prob]", ""},
		{"a misspelt word", config.RuleOutOfRange, "class.place-order.semantics", "beside", `"keyed"`, `"keyd"`, ""},
		{"a number for a time", config.RuleWrongType, "probe.time", "beside", `time = "250ms"`, fmt.Sprintf("time = %d", n(1, 999)), ""},
		{"a time without a unit", config.RuleOutOfRange, "probe.time", "beside", `time = "250ms"`, fmt.Sprintf(`time = "%d"`, n(1, 999)), ""},
		{"a key twice", config.RuleDuplicate, "probe.time", "beside", `time = "250ms"`, "time = \"250ms\"\ntime = \"250ms\"", ""},
		{"no bracket", config.RuleSyntax, "", "beside", "[probe]", "[probe", ""},
		{"a newer schema", config.RuleSchemaVersion, "schema", "beside", "schema = 1", fmt.Sprintf("schema = %d", n(2, 99)), ""},
	}
	for _, form := range []string{"127.0.0.1:9000", "0.0.0.0:9000", "[::]:9000", "localhost:9000", "[::ffff:127.0.0.1]:9000", "[::ffff:7f00:1]:09000"} {
		out = append(out, mutation{"two applications at " + form, "listen-claimed", "application.listen", "alone", "", "", "claim " + form})
	}
	return append(out,
		mutation{"a circle of three", "tier-circle", "application.calls", "alone", "", "", "circle"},
		mutation{"one number for two", "sidecar-number", "fleet.number", "alone", "", "", "number"},
		mutation{"more sidecars than told", "sidecars-undercounted", "fleet.sidecars", "alone", "sidecars = 4", "sidecars = 2", "fleet"},
	)
}

// otherApplication is alone as a further application at an address of its own.
func otherApplication(name, listen string, more ...string) File {
	own := fmt.Sprintf("127.0.9.%d:9001", name[0])
	r := strings.NewReplacer(append(more, `"order-check"`, `"`+name+`"`, `calls = ["run-booking"]`, "calls = []",
		"127.0.0.1:9000", listen, "127.0.0.1:9001", own)...)
	return newFile(name+".toml", r.Replace(standaloneSettings))
}

// files returns the files of a mutation, broken and good.
func (m mutation) files(t *testing.T) (broken, good []File) {
	texts := map[string]string{"platform": platformConfig, "pair": platformConfig, "beside": settingsBeside, "alone": standaloneSettings}
	was := texts[m.base]
	if strings.Count(was, m.old) == 0 {
		t.Fatalf("%s: %q is not in the file", m.name, m.old)
	}
	now := strings.Replace(was, m.old, m.new, 1)
	build := func(text string, broken bool) []File {
		with := settingsBeside
		switch m.variant {
		case "raise":
			with = strings.NewReplacer("[class", "[fleet]\nattempts = 6\n[class").Replace(settingsBeside)
		case "drain450":
			with = strings.Replace(settingsBeside, "[class", "[discovery]\npush_wait = \"50ms\"\n[fleet]\ndrain_grace = \"450ms\"\n[class", 1)
		case "plain":
			with = strings.Replace(settingsBeside, "retries = 2\nsecond_copies = true\n", "", 1)
		case "nocopies":
			text = strings.Replace(text, "second_copies = true\n", "", 1)
		}
		if m.variant == "noretry" {
			text = strings.Replace(text, "retry_within = \"1200ms\"\n", "", 1)
		}
		var out []File
		switch m.base {
		case "platform":
			out = []File{newFile("p.json", text)}
		case "pair":
			out = []File{newFile("p.json", text), newFile("s.toml", with)}
		case "beside":
			p := platformConfig
			if m.variant == "raise" { // the platform allows what the class asks for
				p = strings.Replace(p, `"attemptsCap": 6`, `"attemptsCap": 99`, 1)
				p = strings.Replace(p, `"connectTimeoutNs": 250000000`, `"connectTimeoutNs": 300000000`, 1)
			}
			out = []File{newFile("p.json", p), newFile("s.toml", text)}
		case "alone":
			out = []File{newFile("a.toml", text)}
		}
		switch form, claims := strings.CutPrefix(m.variant, "claim "); {
		case claims && broken:
			out = append(out, otherApplication("run-booking", form))
		case claims:
			out = append(out, otherApplication("run-booking", "127.0.0.2:9000"))
		case m.variant == "circle":
			back := []string{"calls = []", `calls = ["nobody"]`}
			if broken {
				back[1] = `calls = ["order-front"]`
			}
			front := otherApplication("order-front", "127.0.0.2:9000")
			front.Text = []byte(strings.Replace(string(front.Text), "calls = []", `calls = ["order-check"]`, 1))
			booking := otherApplication("run-booking", "127.0.0.3:9000")
			booking.Text = []byte(strings.Replace(string(booking.Text), back[0], back[1], 1))
			out = append(out, front, booking)
		case m.variant == "number" || m.variant == "fleet":
			for i := range 2 {
				number := i + 2
				if m.variant == "number" && broken {
					number = 1 + i
				}
				if m.variant == "fleet" {
					number = i * (1 - i) // 0 and 0: mended below
				}
				f := otherApplication("order-check", fmt.Sprintf("127.0.0.%d:9000", i+5), "number = 1", fmt.Sprintf("number = %d", number),
					"127.0.0.1:9001", fmt.Sprintf("127.0.0.%d:9009", i+5))
				f.Name = fmt.Sprintf("%d.toml", i)
				if m.variant == "fleet" && broken {
					f.Text = []byte(strings.Replace(string(f.Text), "sidecars = 4", "sidecars = 9", 1))
					f.Text = []byte(strings.Replace(string(f.Text), "number = 0", fmt.Sprintf("number = %d", i+5), 1))
				} else if m.variant == "fleet" {
					f.Text = []byte(strings.Replace(string(f.Text), "number = 0", fmt.Sprintf("number = %d", i+2), 1))
				}
				out = append(out, f)
			}
		}
		return out
	}
	return build(now, true), build(was, false)
}

// Each of the broken files has one fault, made from good files by a named mutation with a
// seeded number: it is refused for that fault and none other, and the good files are not.
func TestDeploymentRefusesEachFault(t *testing.T) {
	caught := make(map[string]int)
	tried := 0
	for seed := range uint64(3) {
		for _, m := range mutations(rand.New(rand.NewPCG(seed, 7))) {
			broken, good := m.files(t)
			if got := refusals(Deployment(good)); len(got) > 0 {
				t.Errorf("%s: the good files are refused: %s", m.name, formatFindings(got))
			}
			tried++
			got := refusals(Deployment(broken))
			if len(got) == 0 {
				t.Errorf("%s: accepted", m.name)
				continue
			}
			for _, f := range got {
				if f.Rule != m.rule {
					t.Errorf("%s: refused for another fault: %s", m.name, f)
				}
			}
			if f := got[0]; f.Rule == m.rule {
				caught[m.rule]++
				if f.Key != m.key || f.Found == "" {
					t.Errorf("%s: names %q, want %q: %s", m.name, f.Key, m.key, f)
				}
			}
		}
	}
	if tried < 3*50 {
		t.Errorf("%d broken files", tried)
	}
	for _, r := range Rules {
		if r.Level == config.LevelRefused && caught[r.ID] == 0 && r.ID != config.RuleUnreadable {
			t.Errorf("%s: no mutation breaks it", r.ID)
		}
	}
	if testing.Verbose() {
		for _, r := range Rules {
			t.Logf("%-24s %d", r.ID, caught[r.ID])
		}
		t.Logf("%d tried", tried)
	}
}

func refusals(findings []config.Finding) []config.Finding {
	return slices.DeleteFunc(slices.Clone(findings), func(f config.Finding) bool { return f.Level != config.LevelRefused })
}

// Warnings are apart from refusals: the files are accepted.
// The grace for drains is the platform's where it gives one: another deployment has another.
func TestDrainGraceLimitFollowsPlatform(t *testing.T) {
	second := strings.Replace(platformConfig, `"drainGraceNs": 500000000`, `"drainGraceNs": 1000000000`, 1)
	for grace, want := range map[string]string{"": "", "700ms": "", "1s": "", "1001ms": "looser-drain"} {
		with := settingsBeside
		if grace != "" {
			with = strings.Replace(settingsBeside, "[probe]", "[fleet]\ndrain_grace = \""+grace+"\"\n[probe]", 1)
		}
		got := Deployment([]File{newFile("p.json", second), newFile("s.toml", with)})
		if want == "" && len(got) > 0 || want != "" && (len(got) != 1 || got[0].Rule != want) {
			t.Errorf("grace %q beside 1s: %s", grace, formatFindings(got))
		}
	}
	if got := Deployment([]File{newFile("p.json", second)}); len(got) > 0 {
		t.Errorf("alone: %s", formatFindings(got))
	}
}

func TestDeploymentWarnings(t *testing.T) {
	for rule, c := range map[string]struct{ base, old, new string }{
		"retry-idle":            {settingsBeside, `retry_within = "1200ms"`, `retry_within = "100ms"`},
		"retries-over-attempts": {settingsBeside, "attempts = 6\nretries = 2", "attempts = 2\nretries = 2"},
		"copies-over-attempts":  {settingsBeside, "attempts = 6\nretries = 2", "attempts = 1"},
		"client-past-window":    {settingsBeside, `repeat_window = "10s"`, `repeat_window = "3s"`},
		"margin-over-tenth":     {settingsBeside, `answer_margin = "10ms"`, `answer_margin = "160ms"`},
		"probe-under-connect":   {settingsBeside, `time = "250ms"`, `time = "50ms"`},
		"slow-callers":          {settingsBeside, `body_time = "700ms"`, `body_time = "7s"`},
		"memory-tight":          {settingsBeside, "[probe]", "[limits]\nmemory = \"100MiB\"\n[probe]"},
	} {
		text2 := strings.Replace(c.base, c.old, c.new, 1)
		got := Deployment([]File{newFile("p.json", platformConfig), newFile("s.toml", text2)})
		if config.HasRefusal(got) || len(got) != 1 || got[0].Rule != rule || got[0].Level != config.LevelWarning {
			t.Errorf("%s: %s", rule, formatFindings(got))
		}
	}
	got := Deployment([]File{newFile("s.toml", settingsBeside)})
	if len(got) != 1 || got[0].Rule != "needs-platform" {
		t.Errorf("without a platform: %s", formatFindings(got))
	}
	got = Deployment([]File{newFile("p.json", platformConfig), newFile("s.toml", strings.Replace(settingsBeside, "tier = \"order-front", "tier = \"order-back", 1))})
	if len(got) != 1 || got[0].Rule != "no-platform-match" {
		t.Errorf("without a match: %s", formatFindings(got))
	}
}

// What the checker accepts for one sidecar is what the program runs with, tightened as the
// file says.
func TestSidecarReturnsMergedConfig(t *testing.T) {
	p, bad := ParsePlatform(newFile("p.json", platformConfig))
	if len(bad) > 0 {
		t.Fatal(formatFindings(bad))
	}
	s, bad := ParseSettings(newFile("s.toml", strings.Replace(settingsBeside, `wanted = "1540ms"`, `wanted = "1300ms"`, 1)))
	if len(bad) > 0 {
		t.Fatal(formatFindings(bad))
	}
	c, got := Sidecar(p, "p.json", s, "s.toml")
	if c == nil {
		t.Fatal(formatFindings(got))
	}
	k := c.BalancerConfig.Classes[0]
	if k.TargetLatency != 1300e6 || k.MaxAttempts != 6 || k.MaxRetries != 2 || k.RetryStartWindow != 1200e6 || k.NoHedging || c.ConnectTimeout() != 200e6 {
		t.Errorf("%+v", k)
	}
	if p.BalancerConfig.Classes[0].TargetLatency != 1540e6 || p.BalancerConfig.Classes[0].MaxRetries != 0 {
		t.Error("the platform's own configuration was changed")
	}
	if k.Semantics != balance.Keyed || k.Scope != balance.ScopeAll {
		t.Errorf("%+v", k)
	}
}

// What Deployment refuses of one file, or of one beside its platform, Sidecar refuses, and by the same rules:
// the program runs the one, drumctl the other.
func TestSidecarRefusesAsDeployment(t *testing.T) {
	for _, m := range mutations(rand.New(rand.NewPCG(1, 7))) {
		broken, _ := m.files(t)
		var p *config.Platform
		var s *config.Settings
		var names [2]string
		ok := len(broken) <= 2
		for _, f := range broken {
			var bad []config.Finding
			if IsPlatform(f.Text) {
				p, bad = ParsePlatform(f)
				names[0] = f.Name
			} else {
				ok = ok && s == nil
				s, bad = ParseSettings(f)
				names[1] = f.Name
			}
			ok = ok && len(bad) == 0
		}
		if !ok {
			continue // not one sidecar's, or refused as it is read
		}
		want := refusals(Deployment(broken))
		c, got := Sidecar(p, names[0], s, names[1])
		if got = refusals(got); c != nil || formatFindings(got) != formatFindings(want) {
			t.Errorf("%s:\nSidecar    %s\nDeployment %s", m.name, formatFindings(got), formatFindings(want))
		}
	}
}

// Whatever the checker accepts, the module starts with, and nothing makes it panic.
func FuzzCheck(f *testing.F) {
	f.Add([]byte(platformConfig), []byte(settingsBeside))
	f.Add([]byte(platformConfig), []byte(standaloneSettings))
	f.Add([]byte("{}"), []byte("schema = 1"))
	for _, m := range mutations(rand.New(rand.NewPCG(1, 7))) {
		var p, s []byte
		switch now := strings.Replace(map[string]string{"platform": platformConfig, "pair": platformConfig, "beside": settingsBeside, "alone": standaloneSettings}[m.base], m.old, m.new, 1); m.base {
		case "platform", "pair":
			p, s = []byte(now), []byte(settingsBeside)
		default:
			p, s = []byte(platformConfig), []byte(now)
		}
		f.Add(p, s)
	}
	f.Fuzz(func(t *testing.T, platform, settings []byte) {
		all := Deployment([]File{{Name: "p", Text: platform}, {Name: "s", Text: settings}})
		if !json.Valid(platform) && !config.HasRefusal(all) && IsPlatform(platform) {
			t.Errorf("accepted what is no JSON: %s", formatFindings(all))
		}
		s, bad := ParseSettings(File{Name: "s", Text: settings})
		if len(bad) > 0 {
			return
		}
		p, bad := ParsePlatform(File{Name: "p", Text: platform})
		for _, p := range []*config.Platform{nil, p} {
			if p == nil && len(bad) > 0 && s.Application.ListenAddress == "" {
				continue
			}
			c, found := Sidecar(p, "p", s, "s")
			if (c == nil) != config.HasRefusal(found) {
				t.Errorf("config %v, findings %s", c != nil, formatFindings(found))
			}
			if c == nil {
				continue
			}
			if _, err := balance.New(c.BalancerConfig, 1); err != nil {
				t.Errorf("accepted, and the module says %v", err)
			}
			if c.MaxEndpointConnections() < 1 || c.MaxCallerConnections() < 1 || c.KeepAliveTimeout() <= 0 || c.ConnectTimeout() <= 0 {
				t.Errorf("accepted with %d and %d connections", c.MaxCallerConnections(), c.MaxEndpointConnections())
			}
		}
	})
}

// A deployment of the size that is to come is checked in a moment.
func BenchmarkDeployment170(b *testing.B) {
	files := deploymentFiles(170)
	if got := Deployment(files); len(got) > 0 {
		b.Fatal(formatFindings(got))
	}
	for b.Loop() {
		Deployment(files)
	}
}

// deploymentFiles is the files of so many sidecars of one tier, and the operators' file.
func deploymentFiles(n int) []File {
	files := []File{newFile("order-front.toml", settingsBeside)}
	for i := range n {
		r := strings.NewReplacer(`"n3"`, fmt.Sprintf(`"n%d"`, i), "10.0.0.4:9000", fmt.Sprintf("10.0.%d.%d:9000", i/250, i%250+1),
			`"me": 3`, fmt.Sprintf(`"me": %d`, i), `"balancers": 170`, fmt.Sprintf(`"balancers": %d`, n))
		files = append(files, newFile(fmt.Sprintf("n%d.json", i), r.Replace(platformConfig)))
	}
	return files
}
