package upstream

import (
	"bytes"
	"math"
	"strconv"

	"barleydrum.example/barleydrum/balance"
)

// parseLoad parses a load report, such as "TEXT busy_reqs=7, pending=2". It returns false if
// text is no load report, or a malformed one. A field has the name that the settings give it, or
// the protocol's own name. Both are accepted: when only the protocol's names were accepted,
// every report was empty.
// A field that the report does not have is -1.
func parseLoad(text []byte) (load balance.Load, ok bool) {
	text, ok = bytes.CutPrefix(bytes.TrimSpace(text), []byte("TEXT "))
	if !ok {
		return load, false
	}
	load = balance.Load{InFlight: -1, Queued: -1, Utilization: -1, LatencyMS: -1, ServedPerSecond: -1, FailedPerSecond: -1}
	for more := true; more; {
		var part []byte
		part, text, more = bytes.Cut(text, []byte(","))
		name, value, _ := bytes.Cut(bytes.TrimSpace(part), []byte("="))
		v, err := strconv.ParseFloat(string(value), 64)
		if err != nil || v < 0 || math.IsNaN(v) || math.IsInf(v, 0) {
			return load, false
		}
		switch string(name) {
		case "busy_reqs", "inflight":
			load.InFlight = v
		case "pending", "queue":
			load.Queued = v
		case "cpu_share", "util":
			load.Utilization = v
		case "svc_ms", "latency_ms":
			load.LatencyMS = v
		case "served_ps", "qps":
			load.ServedPerSecond = v
		case "failed_ps", "eps":
			load.FailedPerSecond = v
		}
	}
	return load, true
}
