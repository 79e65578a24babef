package lab

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strings"

	"barleydrum.example/barleydrum/internal/check"
	"barleydrum.example/barleydrum/internal/config"
	"barleydrum.example/barleydrum/internal/discovery"
)

// tier is one of the tiers of the lab's service.
type tier struct {
	name, nextName   string
	nodes            int
	serviceTimeMS    int
	nextTierRequests int // of the next tier, for each request
}

// tiers are the main site's, scaled down to one machine: a tenth of the nodes and of the work.
var tiers = []tier{
	{"order-front", "order-check", 4, 40, 2},
	{"order-check", "run-booking", 6, 30, 1},
	{"run-booking", "", 6, 30, 0},
}

// Figures of the lab's one class and its rules, as the main site has them.
const (
	className        = "place-order"
	targetLatencyMS  = 1540
	deadlineMS       = 3850
	repeatWindowMS   = 10000
	drainGraceMS     = 500
	coldShare        = 0.14
	coldTimeMS       = 22000
	fallMultiple     = 3.0
	fallTimeMS       = 2000
	connectTimeoutMS = 250
	keepAliveMS      = 10000
	maxRetryAfterMS  = 2000
	sidecarSockets   = 256
	sidecarMemoryMB  = 64
)

// platformConfig is what the platform tells a sidecar, as DEPLOY shows it.
func platformConfig(name, listen string, to, zone, number, of, sockets int, agent string, known discovery.List, reports string) ([]byte, error) {
	const ms = 1_000_000
	layers := make([]string, len(tiers))
	for i, t := range tiers {
		layers[i] = t.name
	}
	return json.MarshalIndent(map[string]any{
		"name": name, "listen": listen, "discovery": agent, "seed": fmt.Sprintf("%x", 1+number+100*to),
		"limits": map[string]any{"cores": 1, "memory_mb": sidecarMemoryMB, "sockets": sockets},
		"known":  known,
		"settings": map[string]any{
			"balancers": of, "me": number, "tier": to, "zone": zone, "zones": zones, "layers": layers,
			"kindOfService": "chain", "discovery": "push", "stepNs": ms, "weights": "silent", "countedBy": "request",
			"classes": []map[string]any{{
				"name": className, "goalTimeNs": targetLatencyMS * ms, "hardLimitNs": deadlineMS * ms, "importance": 1, "lateShare": 0,
				"semantics": "keyed", "keyScope": "all", "repeatWindowNs": repeatWindowMS * ms, "stream": false,
			}},
			"costs": map[string]any{"crossZone": 0.005, "lateFail": 0.08, "probe": 0.002, "waste": 0.04},
			"goal":  map[string]any{"whole": 0.9, "worstWindow": 0.1},
			"limits": map[string]any{
				"attemptsCap": 6, "cancel": true, "secondCopies": true, "probes": true, "retryAfter": true, "maxStreams": 1,
				"maxRetryAfterNs": maxRetryAfterMS * ms, "connectTimeoutNs": connectTimeoutMS * ms, "keepaliveNs": keepAliveMS * ms,
			},
			"loadInfo": map[string]any{"how": reports, "fields": []string{"busy_reqs", "pending", "cpu_share"}},
			"rules": map[string]any{
				"drainGraceNs": drainGraceMS * ms, "coldShare": coldShare, "coldNs": coldTimeMS * ms,
				"fallMultiple": fallMultiple, "tipAfterNs": fallTimeMS * ms,
			},
			"specifics": map[string]any{"passesDeadline": true},
		},
	}, "", "  ")
}

var zones = []string{"campus-east", "campus-west"}

// operatorSettings is the operators' file of the sidecars that send to a tier.
func operatorSettings(t tier) ([]byte, error) {
	var b strings.Builder
	fmt.Fprintf(&b, "schema = %d\n[application]\nname = %q\ntier = %q\n", config.SchemaVersion, t.name, t.name)
	if t.nextName != "" {
		fmt.Fprintf(&b, "calls = [%q]\n", t.nextName)
	}
	fmt.Fprintf(&b, "[class.%s]\nretry_within = \"%dms\"\n", className, targetLatencyMS)
	s, bad := config.ParseSettings(t.name, []byte(b.String()))
	if len(bad) > 0 {
		return nil, errors.New(bad[0].String())
	}
	return config.FormatSettings(s), nil
}

// freeAddresses returns addresses of loopback with ports that were free a moment ago.
func freeAddresses(n int) ([]string, error) {
	out := make([]string, n)
	for i := range out {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, fmt.Errorf("lab: %w", err)
		}
		defer l.Close() // once all have one, so that none gets another's
		out[i] = l.Addr().String()
	}
	return out, nil
}

// checkFiles checks all configuration files of a folder as drumctl does.
func checkFiles(dir string) (files int, err error) {
	var all []check.File
	for _, pattern := range []string{"*.json", "*.toml"} {
		names, err := filepath.Glob(filepath.Join(dir, pattern))
		if err != nil {
			return 0, err
		}
		for _, name := range names {
			text, err := os.ReadFile(name)
			all = append(all, check.File{Name: name, Text: text, Err: err})
		}
	}
	for _, f := range check.Deployment(all) {
		if f.Level == config.LevelRefused {
			err = errors.Join(err, errors.New(f.String()))
		}
	}
	return len(all), err
}
