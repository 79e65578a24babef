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

// platformConfig is a platform's configuration in the form of DEPLOY, for one sidecar of the tier
// order-front at the operators' main site.
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

// narrowingSettings is an operators' file that is used with platformConfig and narrows it.
const narrowingSettings = `schema = 1

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

// standaloneSettings is an operators' file that is used without a platform's configuration.
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

// newFile returns a file that was read without an error.
func newFile(name, text string) File { return File{Name: name, Text: []byte(text)} }

// formatFindings returns the findings, one on each line.
func formatFindings(findings []config.Finding) string {
	var b strings.Builder
	for _, f := range findings {
		fmt.Fprintln(&b, f)
	}
	return b.String()
}

// TestDeploymentAcceptsValidFiles guards against false findings: a platform's configuration as the
// platform writes it, and the valid files of these tests, must have no refusal and no warning.
func TestDeploymentAcceptsValidFiles(t *testing.T) {
	for name, files := range map[string][]File{
		"platform": {newFile("p.json", platformConfig)}, "settings": {newFile("p.json", platformConfig), newFile("s.toml", narrowingSettings)},
		"standalone": {newFile("a.toml", standaloneSettings)}, "all": {newFile("p.json", platformConfig), newFile("s.toml", narrowingSettings), newFile("a.toml", standaloneSettings)},
		"default": {newFile("p.json", platformConfig), newFile("d.toml", "schema = 1\n[application]\nname = \"x\"\n")},
	} {
		if got := Deployment(files); len(got) > 0 {
			t.Errorf("%s: %s", name, formatFindings(got))
		}
	}
}

// mutation describes one fault that is added to valid files.
type mutation struct {
	name, rule, key string // the rule that all refusals must have, and the key that the first one must name
	base            string // the changed file: settings, standalone, platform, or pair: platform, checked together with settings
	old, new        string // the text that is replaced, and its replacement
	variant         string // further changes or files, see files; empty for none
}

// mutations returns mutations with one fault each. Their numbers are drawn at random from the range
// of faulty values.
func mutations(rng *rand.Rand) []mutation {
	between := func(from, to int) int { return from + rng.IntN(to-from+1) }
	ms := func(from, to int) string { return fmt.Sprintf("%q", fmt.Sprintf("%dms", between(from, to))) }
	all := []mutation{
		{"retries past the wanted time", "retry-past-wanted", "class.place-order.retry_within", "settings", `retry_within = "1200ms"`, "retry_within = " + ms(1541, 3850), ""},
		{"retries past the deadline", "retry-past-deadline", "class.place-order.retry_within", "settings", `retry_within = "1200ms"`, "retry_within = " + ms(3851, 60000), ""},
		{"retries past the wanted time, without a platform", "retry-past-wanted", "class.place-order.retry_within", "standalone", `retry_within = "1540ms"`, "retry_within = " + ms(1541, 3850), ""},
		{"attempts past the wanted time", "attempts-past-wanted", "class.place-order.attempts", "settings", "attempts = 6\nretries", fmt.Sprintf("attempts = %d\nretries", between(8, 99)), "high platform limits"},
		{"long connect times past the wanted time", "attempts-past-wanted", "class.place-order.attempts", "settings", `connect_time = "200ms"`, "connect_time = " + ms(254, 300), "high platform limits"},
		{"one connect past the wanted time", "connect-past-wanted", "endpoints.connect_time", "standalone", "[limits]", "[endpoints]\nconnect_time = " + ms(1540, 9000) + "\n[limits]", ""},
		{"unsafe class with retries", "unsafe-retried", "class.pay.retries", "standalone", "retries = 0", fmt.Sprintf("retries = %d", between(1, 5)), ""},
		{"unsafe class with second copies", "unsafe-copied", "class.pay.second_copies", "standalone", "second_copies = false", "second_copies = true", ""},
		{"keyed class made unsafe, with retries", "unsafe-retried", "class.place-order.retries", "settings", `semantics = "keyed"`, `semantics = "unsafe"`, "no copies"},
		{"late repeat because of the window", "late-repeat", "class.place-order.retry_within", "standalone", `repeat_window = "10s"`, "repeat_window = " + ms(1, 1540), ""},
		{"late repeat because of the wanted time", "late-repeat", "class.place-order.repeat_window", "settings", `repeat_window = "10s"`, "repeat_window = " + ms(1, 1200), "no retry_within"},
		{"wanted past deadline", "wanted-past-deadline", "class.look-up.wanted", "standalone", `wanted = "1530ms"`, "wanted = " + ms(2001, 9000), ""},
		{"deadline under the platform's wanted", "wanted-past-deadline", "class.place-order.wanted", "settings", `wanted = "1540ms"` + "\n" + `deadline = "3850ms"`, "deadline = " + ms(1300, 1530), ""},
		{"more time than the platform gives", "looser-time", "class.place-order.deadline", "settings", `deadline = "3850ms"`, "deadline = " + ms(3851, 60000), ""},
		{"longer wanted time than the platform's", "looser-time", "class.place-order.wanted", "settings", `wanted = "1540ms"`, "wanted = " + ms(1541, 3850), ""},
		{"late worth that the platform does not give", "looser-time", "class.place-order.late_worth", "settings", `wanted = "1540ms"`, fmt.Sprintf("wanted = \"1540ms\"\nlate_worth = 0.%d", between(1, 9)), ""},
		{"keyed where the platform says unsafe", "looser-semantics", "class.place-order.semantics", "pair", `"semantics": "keyed", "keyScope": "all"`, `"semantics": "unsafe"`, "no retries or copies"},
		{"safe where the platform says keyed", "looser-semantics", "class.place-order.semantics", "settings", `semantics = "keyed"`, `semantics = "safe"`, ""},
		{"wider scope", "looser-scope", "class.place-order.scope", "pair", `"keyScope": "all"`, `"keyScope": "` + []string{"zone", "cell"}[between(0, 1)] + `"`, ""},
		{"longer window", "looser-window", "class.place-order.repeat_window", "settings", `repeat_window = "10s"`, "repeat_window = " + ms(10001, 600000), ""},
		{"margin past the wanted time", "margin-past-wanted", "callers.answer_margin", "settings", `answer_margin = "10ms"`, "answer_margin = " + ms(770, 1000), ""},
		{"probe past the wanted time", "probe-past-wanted", "probe.time", "settings", `time = "250ms"`, "time = " + ms(1540, 9000), ""},
		{"linger too short", "linger-short", "shutdown.linger", "settings", "[probe]", "[shutdown]\nlinger = " + ms(0, 399) + "\n[probe]", ""},
		{"linger past SIGKILL", "shutdown-past-kill", "shutdown.linger", "settings", "[probe]", "[shutdown]\nlinger = " + ms(501, 9000) + "\n[probe]", ""},
		{"idle time too short", "idle-short", "callers.idle_time", "settings", "[endpoints]", "idle_time = " + ms(100, 1999) + "\n[endpoints]", ""},
		{"long grace for drains", "drain-grace", "fleet.drain_grace", "standalone", `drain_grace = "500ms"`, "drain_grace = " + ms(501, 60000), ""},
		{"longer drain grace than the platform's", "looser-drain", "fleet.drain_grace", "pair", `"drainGraceNs": 500000000`, fmt.Sprintf(`"drainGraceNs": %d000000`, between(400, 449)), "drain grace 450ms"},
		{"discovery watch past the drain grace", "drain-unheard", "discovery.push_wait", "settings", "[probe]", "[discovery]\npush_wait = " + ms(201, 9000) + "\n[probe]", ""},
		{"warm-up time too short", "cold-instant", "fleet.cold_time", "standalone", `cold_time = "22s"`, "cold_time = " + ms(1, 99), ""},
		{"shorter warm-up time than the platform's", "looser-cold", "fleet.cold_time", "settings", "[probe]", "[fleet]\ncold_time = " + ms(1, 21999) + "\n[probe]", ""},
		{"larger cold share than the platform's", "looser-cold", "fleet.cold_share", "settings", "[probe]", fmt.Sprintf("[fleet]\ncold_share = 0.%d\n[probe]", between(15, 99)), ""},
		{"fewer sidecars than the platform", "looser-cold", "fleet.sidecars", "settings", "[probe]", fmt.Sprintf("[fleet]\nsidecars = %d\n[probe]", between(4, 169)), ""},
		{"more memory than the platform", "looser-limit", "limits.memory", "settings", "[probe]", fmt.Sprintf("[limits]\nmemory = \"%dMiB\"\n[probe]", between(193, 900)), ""},
		{"more sockets than the platform", "looser-limit", "limits.sockets", "settings", "[probe]", fmt.Sprintf("[limits]\nsockets = %d\n[probe]", between(1025, 9000)), ""},
		{"more attempts than the platform", "looser-limit", "fleet.attempts", "settings", "[probe]", fmt.Sprintf("[fleet]\nattempts = %d\n[probe]", between(7, 99)), ""},
		{"longer keep-alive than the platform", "looser-limit", "endpoints.keep_alive", "settings", "[probe]", "keep_alive = " + ms(10001, 99999) + "\n[probe]", ""},
		{"too many connections", "descriptors", "callers.connections", "settings", "[endpoints]", fmt.Sprintf("connections = %d\n[endpoints]", between(1000, 9000)), ""},
		{"too many connections of both kinds", "descriptors", "callers.connections", "standalone", "[limits]", fmt.Sprintf("connections = 500\n[endpoints]\nconnections = %d\n[limits]", between(501, 900)), ""},
		{"long bodies", "memory", "callers.max_body", "settings", "[endpoints]", fmt.Sprintf("max_body = \"%dMiB\"\n[endpoints]", between(1, 16)), ""},
		{"long responses", "memory", "endpoints.max_answer", "standalone", "[limits]", fmt.Sprintf("[endpoints]\nmax_answer = \"%dMiB\"\n[limits]", between(1, 16)), ""},
		{"streamed requests on the platform", "streams-platform", "streams.max_body", "settings", "[probe]", fmt.Sprintf("[streams]\nmax_body = \"%dMiB\"\n[probe]", between(1, 99)), ""},
		{"streamed responses on the platform", "streams-platform", "streams.max_answer", "settings", "[probe]", fmt.Sprintf("[streams]\nmax_answer = \"%dMiB\"\n[probe]", between(1, 99)), ""},
		{"limit of streamed bodies too low", "streams-short", "streams.max_body", "standalone", "[limits]", fmt.Sprintf("[streams]\nmax_body = \"%dKiB\"\n[limits]", between(1, 63)), ""},
		{"more memory for one body than for all", "streams-kept", "streams.memory", "standalone", "[limits]", fmt.Sprintf("[streams]\nmemory = \"%dMiB\"\nmemory_all = \"%dKiB\"\n[limits]", between(1, 9), between(0, 900)), ""},
		{"more file space for one body than for all", "streams-kept", "streams.file", "standalone", "[limits]", fmt.Sprintf("[streams]\nfile = \"%dMiB\"\n[limits]", between(1, 9)), ""},
		{"more streamed bodies than callers", "streams-open", "streams.open", "standalone", "[limits]", fmt.Sprintf("[streams]\nmax_body = \"1MiB\"\nopen = %d\n[limits]", between(400, 900)), ""},
		{"more files than descriptors", "descriptors", "endpoints.connections", "standalone", "[limits]", fmt.Sprintf("[endpoints]\nconnections = 400\n[streams]\nmax_body = \"1MiB\"\nfile = \"1MiB\"\nfiles_all = \"9MiB\"\nopen = %d\n[limits]", between(260, 341)), ""},
		{"streamed bodies over the memory", "streams-memory", "streams.memory_all", "standalone", "[limits]", fmt.Sprintf("[streams]\nmax_body = \"1MiB\"\nmemory_all = \"%dMiB\"\n[limits]", between(193, 900)), ""},
		{"files on a RAM disk over the memory", "streams-memory", "streams.files_all", "standalone", "[limits]", fmt.Sprintf("[streams]\nmax_body = \"1MiB\"\nram_disk = true\nfiles_all = \"%dMiB\"\n[limits]", between(193, 900)), ""},
		{"the same address twice", "listen-claimed", "callers.also_listen", "standalone", `"127.0.0.1:9001"`, `"127.0.0.1:9000"`, ""},
		{"listens on discovery's address", "listen-discovery", "application.listen", "standalone", `listen = "127.0.0.1:9000"`, `listen = "127.0.0.1:8500"`, ""},
		{"listens on an endpoint's address", "listen-endpoint", "application.listen", "platform", `"hostPort": "10.1.0.18:9000"`, `"hostPort": "10.0.0.4:9000"`, ""},
		{"more listeners than the platform gives", "listen-extra", "callers.also_listen", "settings", "[endpoints]", "also_listen = [\"10.0.0.4:9002\"]\n[endpoints]", ""},
		{"listen address of another sidecar", "platform-differs", "application.listen", "settings", `tier = "order-front"`, "tier = \"order-front\"\nlisten = \"10.0.0.5:9000\"", ""},
		{"zone of another sidecar", "platform-differs", "fleet.zone", "settings", "[probe]", "[fleet]\nzone = \"campus-west\"\n[probe]", ""},
		{"an unknown class", "class-unknown", "class.take-order", "settings", "[class.place-order]", "[class.take-order]", ""},
		{"a class name in another case", "class-case", "class.Place-Order", "settings", "[class.place-order]", "[class.Place-Order]", ""},
		{"two classes that differ in case", "class-case", "class.look-up", "standalone", "[class.pay]", "[class.Look-Up]", ""},
		{"a sidecar number out of range", "sidecar-number", "fleet.number", "standalone", "number = 1", fmt.Sprintf("number = %d", between(4, 99)), ""},
		{"a tier that calls itself", "tier-circle", "application.calls", "standalone", `calls = ["run-booking"]`, `calls = ["run-booking", "order-check"]`, ""},
		{"no tier", config.RuleMissingKey, "application.tier", "standalone", `tier = "order-check"` + "\n", "", ""},
		{"no semantics", config.RuleMissingKey, "class.look-up.semantics", "standalone", `semantics = "safe"` + "\n", "", ""},
		{"no window", config.RuleMissingKey, "class.place-order.repeat_window", "standalone", `repeat_window = "10s"` + "\n", "", ""},
		{"no window from the platform", "no-window", "class.place-order.repeat_window", "platform", `"repeatWindowNs": 10000000000, `, "", ""},
		{"a target latency that the balancer rejects", "module", "", "platform", `"goalTimeNs": 1540000000`, `"goalTimeNs": 0`, ""},
		{"a zone index past the list", "zone-unknown", "settings.zone", "platform", `"zone": 0, "zones"`, fmt.Sprintf(`"zone": %d, "zones"`, between(2, 9)), ""},
		{"a negative zone index", "zone-unknown", "settings.zone", "platform", `"zone": 0, "zones"`, fmt.Sprintf(`"zone": %d, "zones"`, between(-9, -1)), ""},
		{"an endpoint in an unknown zone", "zone-unknown", "known.instances[0].zone", "platform", `"zone": "campus-east", "machineType"`, `"zone": "campus-est", "machineType"`, ""},
		{"a zone missing from the file's list", "zone-unknown", "fleet.zone", "standalone", `zone = "campus-east"`, `zone = "campus-est"`, ""},
		{"a tier index past the list", "tier-unknown", "settings.tier", "platform", `"tier": 0`, fmt.Sprintf(`"tier": %d`, between(3, 9)), ""},
		{"a zone twice", "name-twice", "settings.zones[1]", "platform", `"campus-west"]`, `"campus-east"]`, ""},
		{"a tier twice", "name-twice", "settings.layers[2]", "platform", `"order-check", "run-booking"]`, `"order-check", "order-check"]`, ""},
		{"a tenant twice", "name-twice", "settings.tenants[1]", "platform", `"tenants": []`, `"tenants": [{"name": "a", "share": 0.5, "quotaPerS": 1}, {"name": "a", "share": 0.5, "quotaPerS": 1}]`, ""},
		{"an endpoint twice", "name-twice", "known.instances[1]", "platform", `"instances": [`,
			`"instances": [{"instanceId": "s-1", "hostPort": "10.1.0.19:9000", "zone": "campus-east", "lifecycle": "up"},`, ""},
		{"one connect of the platform past the wanted time", "connect-past-wanted", "endpoints.connect_time", "platform", `"connectTimeoutNs": 250000000`, fmt.Sprintf(`"connectTimeoutNs": %d000000`, between(1520, 9000)), ""},
		{"a bad seed", config.RuleInvalidPlatform, "seed", "platform", "8c1f30d27a5be964", "seed", ""},
		{"text for sockets", config.RuleWrongType, "limits.sockets", "platform", `"sockets": 1024`, `"sockets": "many"`, ""},
		{"invalid JSON", config.RuleSyntax, "", "platform", `"limits":`, `"limits"`, ""},
		{"a misspelt key", config.RuleUnknownKey, "callers.answer_margn", "settings", "answer_margin", "answer_margn", ""},
		{"a misspelt part", config.RuleUnknownKey, "prob", "settings", "[probe]", "[prob]", ""},
		{"a misspelt value", config.RuleOutOfRange, "class.place-order.semantics", "settings", `"keyed"`, `"keyd"`, ""},
		{"a number for a time", config.RuleWrongType, "probe.time", "settings", `time = "250ms"`, fmt.Sprintf("time = %d", between(1, 999)), ""},
		{"a time without a unit", config.RuleOutOfRange, "probe.time", "settings", `time = "250ms"`, fmt.Sprintf(`time = "%d"`, between(1, 999)), ""},
		{"a key twice", config.RuleDuplicate, "probe.time", "settings", `time = "250ms"`, "time = \"250ms\"\ntime = \"250ms\"", ""},
		{"a missing bracket", config.RuleSyntax, "", "settings", "[probe]", "[probe", ""},
		{"a newer schema", config.RuleSchemaVersion, "schema", "settings", "schema = 1", fmt.Sprintf("schema = %d", between(2, 99)), ""},
	}
	for _, address := range []string{"127.0.0.1:9000", "0.0.0.0:9000", "[::]:9000", "localhost:9000", "[::ffff:127.0.0.1]:9000", "[::ffff:7f00:1]:09000"} {
		all = append(all, mutation{"two applications at " + address, "listen-claimed", "application.listen", "standalone", "", "", "listen " + address})
	}
	return append(all,
		mutation{"a circle of three tiers", "tier-circle", "application.calls", "standalone", "", "", "tier circle"},
		mutation{"one number for two sidecars", "sidecar-number", "fleet.number", "standalone", "", "", "sidecar numbers"},
		mutation{"more sidecars than configured", "sidecars-undercounted", "fleet.sidecars", "standalone", "sidecars = 4", "sidecars = 2", "sidecar count"},
	)
}

// otherApplication returns standaloneSettings changed to another application that listens on listen
// and on an extra address of its own. replacements are further pairs of old and new text.
func otherApplication(name, listen string, replacements ...string) File {
	extraAddress := fmt.Sprintf("127.0.9.%d:9001", name[0])
	r := strings.NewReplacer(append(replacements, `"order-check"`, `"`+name+`"`, `calls = ["run-booking"]`, "calls = []",
		"127.0.0.1:9000", listen, "127.0.0.1:9001", extraAddress)...)
	return newFile(name+".toml", r.Replace(standaloneSettings))
}

// files returns the deployment with the fault, and the same deployment without it.
func (m mutation) files(t *testing.T) (faulty, valid []File) {
	texts := map[string]string{"platform": platformConfig, "pair": platformConfig, "settings": narrowingSettings, "standalone": standaloneSettings}
	original := texts[m.base]
	if strings.Count(original, m.old) == 0 {
		t.Fatalf("%s: %q is not in the file", m.name, m.old)
	}
	mutated := strings.Replace(original, m.old, m.new, 1)
	build := func(text string, isFaulty bool) []File {
		settings := narrowingSettings
		switch m.variant {
		case "high platform limits":
			settings = strings.NewReplacer("[class", "[fleet]\nattempts = 6\n[class").Replace(narrowingSettings)
		case "drain grace 450ms":
			settings = strings.Replace(narrowingSettings, "[class", "[discovery]\npush_wait = \"50ms\"\n[fleet]\ndrain_grace = \"450ms\"\n[class", 1)
		case "no retries or copies":
			settings = strings.Replace(narrowingSettings, "retries = 2\nsecond_copies = true\n", "", 1)
		case "no copies":
			text = strings.Replace(text, "second_copies = true\n", "", 1)
		}
		if m.variant == "no retry_within" {
			text = strings.Replace(text, "retry_within = \"1200ms\"\n", "", 1)
		}
		var files []File
		switch m.base {
		case "platform":
			files = []File{newFile("p.json", text)}
		case "pair":
			files = []File{newFile("p.json", text), newFile("s.toml", settings)}
		case "settings":
			p := platformConfig
			if m.variant == "high platform limits" { // the platform must allow what the class sets
				p = strings.Replace(p, `"attemptsCap": 6`, `"attemptsCap": 99`, 1)
				p = strings.Replace(p, `"connectTimeoutNs": 250000000`, `"connectTimeoutNs": 300000000`, 1)
			}
			files = []File{newFile("p.json", p), newFile("s.toml", text)}
		case "standalone":
			files = []File{newFile("a.toml", text)}
		}
		switch listen, isListen := strings.CutPrefix(m.variant, "listen "); {
		case isListen && isFaulty:
			files = append(files, otherApplication("run-booking", listen))
		case isListen:
			files = append(files, otherApplication("run-booking", "127.0.0.2:9000"))
		case m.variant == "tier circle":
			replacement := []string{"calls = []", `calls = ["nobody"]`}
			if isFaulty {
				replacement[1] = `calls = ["order-front"]`
			}
			front := otherApplication("order-front", "127.0.0.2:9000")
			front.Text = []byte(strings.Replace(string(front.Text), "calls = []", `calls = ["order-check"]`, 1))
			booking := otherApplication("run-booking", "127.0.0.3:9000")
			booking.Text = []byte(strings.Replace(string(booking.Text), replacement[0], replacement[1], 1))
			files = append(files, front, booking)
		case m.variant == "sidecar numbers" || m.variant == "sidecar count":
			for i := range 2 {
				number := i + 2
				if m.variant == "sidecar numbers" && isFaulty {
					number = 1 + i
				}
				if m.variant == "sidecar count" {
					number = i * (1 - i) // 0 for both; replaced below
				}
				f := otherApplication("order-check", fmt.Sprintf("127.0.0.%d:9000", i+5), "number = 1", fmt.Sprintf("number = %d", number),
					"127.0.0.1:9001", fmt.Sprintf("127.0.0.%d:9009", i+5))
				f.Name = fmt.Sprintf("%d.toml", i)
				if m.variant == "sidecar count" && isFaulty {
					f.Text = []byte(strings.Replace(string(f.Text), "sidecars = 4", "sidecars = 9", 1))
					f.Text = []byte(strings.Replace(string(f.Text), "number = 0", fmt.Sprintf("number = %d", i+5), 1))
				} else if m.variant == "sidecar count" {
					f.Text = []byte(strings.Replace(string(f.Text), "number = 0", fmt.Sprintf("number = %d", i+2), 1))
				}
				files = append(files, f)
			}
		}
		return files
	}
	return build(mutated, true), build(original, false)
}

// TestDeploymentRefusesEachFault guards against faults that pass the check and against refusals for
// the wrong reason. Each deployment has one fault, made from valid files by a mutation with a seeded
// number. It must be refused by that fault's rule and no other, and the valid files must pass. Every
// rule that refuses, except unreadable, must be broken by a mutation.
func TestDeploymentRefusesEachFault(t *testing.T) {
	refusalsByRule := make(map[string]int)
	faultyCount := 0
	for seed := range uint64(3) {
		for _, m := range mutations(rand.New(rand.NewPCG(seed, 7))) {
			faulty, valid := m.files(t)
			if got := refusals(Deployment(valid)); len(got) > 0 {
				t.Errorf("%s: the valid files are refused: %s", m.name, formatFindings(got))
			}
			faultyCount++
			got := refusals(Deployment(faulty))
			if len(got) == 0 {
				t.Errorf("%s: accepted", m.name)
				continue
			}
			for _, f := range got {
				if f.Rule != m.rule {
					t.Errorf("%s: refused by another rule: %s", m.name, f)
				}
			}
			if f := got[0]; f.Rule == m.rule {
				refusalsByRule[m.rule]++
				if f.Key != m.key || f.Found == "" {
					t.Errorf("%s: names %q, want %q: %s", m.name, f.Key, m.key, f)
				}
			}
		}
	}
	if faultyCount < 3*50 {
		t.Errorf("%d faulty deployments, want 150 or more", faultyCount)
	}
	for _, r := range Rules {
		if r.Level == config.LevelRefused && refusalsByRule[r.ID] == 0 && r.ID != config.RuleUnreadable {
			t.Errorf("%s: no mutation breaks it", r.ID)
		}
	}
	if testing.Verbose() {
		for _, r := range Rules {
			t.Logf("%-24s %d", r.ID, refusalsByRule[r.ID])
		}
		t.Logf("%d faulty deployments", faultyCount)
	}
}

// refusals returns the findings that refuse.
func refusals(findings []config.Finding) []config.Finding {
	return slices.DeleteFunc(slices.Clone(findings), func(f config.Finding) bool { return f.Level != config.LevelRefused })
}

// TestDrainGraceLimitFollowsPlatform guards against the fixed limit of 500ms being applied where the
// platform sets another grace for drains.
func TestDrainGraceLimitFollowsPlatform(t *testing.T) {
	platform := strings.Replace(platformConfig, `"drainGraceNs": 500000000`, `"drainGraceNs": 1000000000`, 1)
	for grace, want := range map[string]string{"": "", "700ms": "", "1s": "", "1001ms": "looser-drain"} {
		settings := narrowingSettings
		if grace != "" {
			settings = strings.Replace(narrowingSettings, "[probe]", "[fleet]\ndrain_grace = \""+grace+"\"\n[probe]", 1)
		}
		got := Deployment([]File{newFile("p.json", platform), newFile("s.toml", settings)})
		if want == "" && len(got) > 0 || want != "" && (len(got) != 1 || got[0].Rule != want) {
			t.Errorf("grace %q with 1s from the platform: %s", grace, formatFindings(got))
		}
	}
	if got := Deployment([]File{newFile("p.json", platform)}); len(got) > 0 {
		t.Errorf("without an operators' file: %s", formatFindings(got))
	}
}

// TestDeploymentWarnings guards against warnings that are missing or that refuse: files with a
// warning must be accepted.
func TestDeploymentWarnings(t *testing.T) {
	for rule, c := range map[string]struct{ base, old, new string }{
		"retry-idle":            {narrowingSettings, `retry_within = "1200ms"`, `retry_within = "100ms"`},
		"retries-over-attempts": {narrowingSettings, "attempts = 6\nretries = 2", "attempts = 2\nretries = 2"},
		"copies-over-attempts":  {narrowingSettings, "attempts = 6\nretries = 2", "attempts = 1"},
		"client-past-window":    {narrowingSettings, `repeat_window = "10s"`, `repeat_window = "3s"`},
		"margin-over-tenth":     {narrowingSettings, `answer_margin = "10ms"`, `answer_margin = "160ms"`},
		"probe-under-connect":   {narrowingSettings, `time = "250ms"`, `time = "50ms"`},
		"slow-callers":          {narrowingSettings, `body_time = "700ms"`, `body_time = "7s"`},
		"memory-tight":          {narrowingSettings, "[probe]", "[limits]\nmemory = \"100MiB\"\n[probe]"},
	} {
		settings := strings.Replace(c.base, c.old, c.new, 1)
		got := Deployment([]File{newFile("p.json", platformConfig), newFile("s.toml", settings)})
		if config.HasRefusal(got) || len(got) != 1 || got[0].Rule != rule || got[0].Level != config.LevelWarning {
			t.Errorf("%s: %s", rule, formatFindings(got))
		}
	}
	got := Deployment([]File{newFile("s.toml", narrowingSettings)})
	if len(got) != 1 || got[0].Rule != "needs-platform" {
		t.Errorf("without a platform: %s", formatFindings(got))
	}
	got = Deployment([]File{newFile("p.json", platformConfig), newFile("s.toml", strings.Replace(narrowingSettings, "tier = \"order-front", "tier = \"order-back", 1))})
	if len(got) != 1 || got[0].Rule != "no-platform-match" {
		t.Errorf("without a match: %s", formatFindings(got))
	}
}

// TestSidecarReturnsMergedConfig guards against a sidecar that runs with other values than those
// checked: Sidecar must return the platform's configuration narrowed by the operators' file, and must
// not change the platform's configuration itself.
func TestSidecarReturnsMergedConfig(t *testing.T) {
	p, bad := ParsePlatform(newFile("p.json", platformConfig))
	if len(bad) > 0 {
		t.Fatal(formatFindings(bad))
	}
	s, bad := ParseSettings(newFile("s.toml", strings.Replace(narrowingSettings, `wanted = "1540ms"`, `wanted = "1300ms"`, 1)))
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

// TestSidecarRefusesAsDeployment guards against differences between the two entry points: the sidecar
// calls Sidecar, drumctl calls Deployment. For one file, or for one with its platform's configuration,
// both must refuse by the same rules.
func TestSidecarRefusesAsDeployment(t *testing.T) {
	for _, m := range mutations(rand.New(rand.NewPCG(1, 7))) {
		faulty, _ := m.files(t)
		var p *config.Platform
		var s *config.Settings
		var names [2]string
		isOneSidecar := len(faulty) <= 2
		for _, f := range faulty {
			var bad []config.Finding
			if IsPlatform(f.Text) {
				p, bad = ParsePlatform(f)
				names[0] = f.Name
			} else {
				isOneSidecar = isOneSidecar && s == nil
				s, bad = ParseSettings(f)
				names[1] = f.Name
			}
			isOneSidecar = isOneSidecar && len(bad) == 0
		}
		if !isOneSidecar {
			continue // several sidecars, or refused by the parser
		}
		want := refusals(Deployment(faulty))
		c, got := Sidecar(p, names[0], s, names[1])
		if got = refusals(got); c != nil || formatFindings(got) != formatFindings(want) {
			t.Errorf("%s:\nSidecar    %s\nDeployment %s", m.name, formatFindings(got), formatFindings(want))
		}
	}
}

// FuzzCheck guards against panics, and against accepted configurations with which the balancer does
// not start.
func FuzzCheck(f *testing.F) {
	f.Add([]byte(platformConfig), []byte(narrowingSettings))
	f.Add([]byte(platformConfig), []byte(standaloneSettings))
	f.Add([]byte("{}"), []byte("schema = 1"))
	for _, m := range mutations(rand.New(rand.NewPCG(1, 7))) {
		var p, s []byte
		switch mutated := strings.Replace(map[string]string{"platform": platformConfig, "pair": platformConfig, "settings": narrowingSettings, "standalone": standaloneSettings}[m.base], m.old, m.new, 1); m.base {
		case "platform", "pair":
			p, s = []byte(mutated), []byte(narrowingSettings)
		default:
			p, s = []byte(platformConfig), []byte(mutated)
		}
		f.Add(p, s)
	}
	f.Fuzz(func(t *testing.T, platform, settings []byte) {
		findings := Deployment([]File{{Name: "p", Text: platform}, {Name: "s", Text: settings}})
		if !json.Valid(platform) && !config.HasRefusal(findings) && IsPlatform(platform) {
			t.Errorf("accepted invalid JSON: %s", formatFindings(findings))
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
				t.Errorf("accepted, but the balancer rejects it: %v", err)
			}
			if c.MaxEndpointConnections() < 1 || c.MaxCallerConnections() < 1 || c.KeepAliveTimeout() <= 0 || c.ConnectTimeout() <= 0 {
				t.Errorf("accepted with %d and %d connections", c.MaxCallerConnections(), c.MaxEndpointConnections())
			}
		}
	})
}

// BenchmarkDeployment170 measures the check of a deployment of 170 sidecars, the size that is planned.
func BenchmarkDeployment170(b *testing.B) {
	files := deploymentFiles(170)
	if got := Deployment(files); len(got) > 0 {
		b.Fatal(formatFindings(got))
	}
	for b.Loop() {
		Deployment(files)
	}
}

// deploymentFiles returns the platform's configurations of n sidecars of one tier, and their
// operators' file.
func deploymentFiles(n int) []File {
	files := []File{newFile("order-front.toml", narrowingSettings)}
	for i := range n {
		r := strings.NewReplacer(`"n3"`, fmt.Sprintf(`"n%d"`, i), "10.0.0.4:9000", fmt.Sprintf("10.0.%d.%d:9000", i/250, i%250+1),
			`"me": 3`, fmt.Sprintf(`"me": %d`, i), `"balancers": 170`, fmt.Sprintf(`"balancers": %d`, n))
		files = append(files, newFile(fmt.Sprintf("n%d.json", i), r.Replace(platformConfig)))
	}
	return files
}
