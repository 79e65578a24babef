package transferrate

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// A side that moves its rate is never slow however it is cut up, one that moves half of it is told
// within two windows of waiting, and one that is silent too; waiting for others costs nothing.
func TestMeterDetectsOnlySlowSides(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		window := time.Duration(rapid.Int64Range(int64(10*time.Millisecond), int64(10*time.Second)).Draw(t, "window"))
		rate := rapid.Int64Range(1<<20, 1<<30).Draw(t, "rate")
		run := func(share float64) time.Duration {
			m := Meter{MinBytesPerSecond: rate, Window: window}
			for total := time.Duration(0); total < 4*window; {
				d := min(time.Duration(rapid.Int64Range(int64(window/50), int64(window)).Draw(t, "wait")), m.MaxWait())
				total += d
				if !m.Record(d, int(share*float64(rate)*d.Seconds())) {
					return total
				}
			}
			return 0
		}
		if at := run(1.2); at != 0 {
			t.Fatalf("told as slow after %v of windows of %v", at, window)
		}
		for _, share := range []float64{0, 0.5} {
			if at := run(share); at == 0 || at > 2*window {
				t.Fatalf("share %g: told after %v, windows of %v", share, at, window)
			}
		}
	})
}
