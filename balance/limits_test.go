package balance

import (
	"os"
	"strings"
	"testing"
)

// balancer.go must stay short because it is to be ported by hand.
func TestBalancerFileStaysShort(t *testing.T) {
	text, err := os.ReadFile("balancer.go")
	if err != nil {
		t.Fatal(err)
	}
	lines := 0
	for i, line := range strings.Split(string(text), "\n") {
		if strings.TrimSpace(line) != "" {
			lines++
		}
		if n := len(strings.ReplaceAll(line, "\t", "    ")); n > 110 {
			t.Errorf("balancer.go:%d has %d characters, want at most 110", i+1, n)
		}
	}
	if lines > 1200 {
		t.Errorf("balancer.go has %d lines that are not blank, want at most 1200", lines)
	}
}
