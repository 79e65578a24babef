package sidecar

import (
	"testing"
)

// A report whose names were not known read as empty, and no endpoint as idle.
func TestParseLoad(t *testing.T) {
	for _, text := range []string{"TEXT busy_reqs=7, pending=2, cpu_share=0.61", "TEXT inflight=7, queue=2, util=0.61\r\n"} {
		l := parseLoad(text)
		if l == nil || l.InFlight != 7 || l.Queue != 2 || l.Util != 0.61 || l.Served != -1 {
			t.Errorf("%q: %+v", text, l)
		}
	}
	for _, text := range []string{"", "ok", "busy_reqs=1", "TEXT busy_reqs", "TEXT busy_reqs=x", "TEXT busy_reqs=-1", "TEXT busy_reqs=NaN"} {
		if l := parseLoad(text); l != nil {
			t.Errorf("%q: %+v, want none", text, l)
		}
	}
}
