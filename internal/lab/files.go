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

// tier describes a tier of the lab's service.
type tier struct {
	name, nextName   string // nextName is empty for the last tier
	nodes            int
	serviceTimeMS    int
	nextTierRequests int // sent to the next tier for each request
}

// tiers are the main site's tiers, scaled down to one machine: a tenth of the nodes and of the work.
var tiers = []tier{
	{"order-front", "order-check", 4, 40, 2},
	{"order-check", "run-booking", 6, 30, 1},
	{"run-booking", "", 6, 30, 0},
}

// The settings of the lab's only class, its rules and its sidecars' limits, as on the main site.
const (
	className            = "place-order"
	targetLatencyMS      = 1540
	deadlineMS           = 3850
	repeatWindowMS       = 10000
	drainGraceMS         = 500
	coldCapacityShare    = 0.14  // of a warm node's capacity, right after the start
	warmupTimeMS         = 22000 // from the start to the full capacity
	coldOverloadMultiple = 3.0   // a cold node fails under more than this multiple of its capacity
	coldOverloadTimeMS   = 2000  // if that load lasts this long
	connectTimeoutMS     = 250
	keepAliveMS          = 10000
	maxRetryAfterMS      = 2000
	sidecarSockets       = 256
	sidecarMemoryMB      = 64
)

// platformConfig returns the platform's configuration of a sidecar as JSON, in the form that DEPLOY shows.
// sidecarIndex, from 0, numbers the sidecar among the sidecarCount sidecars that send to the tier with the
// index tierIndex; zoneIndex is an index of zones. discoveryAddr is the address of the discovery agent, and
// loadReports how endpoints report their load (the setting loadInfo.how).
func platformConfig(name, listen string, tierIndex, zoneIndex, sidecarIndex, sidecarCount, sockets int, discoveryAddr string, knownEndpoints discovery.List, loadReports string) ([]byte, error) {
	const ms = 1_000_000
	layers := make([]string, len(tiers))
	for i, t := range tiers {
		layers[i] = t.name
	}
	return json.MarshalIndent(map[string]any{
		"name": name, "listen": listen, "discovery": discoveryAddr, "seed": fmt.Sprintf("%x", 1+sidecarIndex+100*tierIndex),
		"limits": map[string]any{"cores": 1, "memory_mb": sidecarMemoryMB, "sockets": sockets},
		"known":  knownEndpoints,
		"settings": map[string]any{
			"balancers": sidecarCount, "me": sidecarIndex, "tier": tierIndex, "zone": zoneIndex, "zones": zones, "layers": layers,
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
			"loadInfo": map[string]any{"how": loadReports, "fields": []string{"busy_reqs", "pending", "cpu_share"}},
			"rules": map[string]any{
				"drainGraceNs": drainGraceMS * ms, "coldShare": coldCapacityShare, "coldNs": warmupTimeMS * ms,
				"fallMultiple": coldOverloadMultiple, "tipAfterNs": coldOverloadTimeMS * ms,
			},
			"specifics": map[string]any{"passesDeadline": true},
		},
	}, "", "  ")
}

// zones are the names of the zones, in the order in which the platform numbers them.
var zones = []string{"campus-east", "campus-west"}

// operatorSettings returns the operators' file of the sidecars that send to a tier, as TOML.
func operatorSettings(t tier) ([]byte, error) {
	var b strings.Builder
	fmt.Fprintf(&b, "schema = %d\n[application]\nname = %q\ntier = %q\n", config.SchemaVersion, t.name, t.name)
	if t.nextName != "" {
		fmt.Fprintf(&b, "calls = [%q]\n", t.nextName)
	}
	fmt.Fprintf(&b, "[class.%s]\nretry_within = \"%dms\"\n", className, targetLatencyMS)
	settings, findings := config.ParseSettings(t.name, []byte(b.String()))
	if len(findings) > 0 {
		return nil, errors.New(findings[0].String())
	}
	return config.FormatSettings(settings), nil
}

// freeAddresses returns n loopback addresses with different ports that were free during the call. Another
// process may take a port before it is used.
func freeAddresses(n int) ([]string, error) {
	addrs := make([]string, n)
	for i := range addrs {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, fmt.Errorf("lab: %w", err)
		}
		defer l.Close() // not earlier, so that no port is returned twice
		addrs[i] = l.Addr().String()
	}
	return addrs, nil
}

// checkFiles checks all configuration files of a folder as drumctl does. It returns their number, and an
// error with the findings for which the checker refuses them.
func checkFiles(dir string) (files int, err error) {
	var configFiles []check.File
	for _, pattern := range []string{"*.json", "*.toml"} {
		names, err := filepath.Glob(filepath.Join(dir, pattern))
		if err != nil {
			return 0, err
		}
		for _, name := range names {
			text, err := os.ReadFile(name)
			configFiles = append(configFiles, check.File{Name: name, Text: text, Err: err})
		}
	}
	for _, finding := range check.Deployment(configFiles) {
		if finding.Level == config.LevelRefused {
			err = errors.Join(err, errors.New(finding.String()))
		}
	}
	return len(configFiles), err
}
