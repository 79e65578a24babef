package transferrate

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// A side that transfers more than the minimum rate is never reported as slow, however its transfers are
// divided. One that transfers half of the rate, or nothing, is reported within two windows of waiting. Time
// that is not recorded as waiting for the side does not count.
func TestMeterDetectsOnlySlowSides(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		window := time.Duration(rapid.Int64Range(int64(10*time.Millisecond), int64(10*time.Second)).Draw(t, "window"))
		rate := rapid.Int64Range(1<<20, 1<<30).Draw(t, "rate")
		timeUntilSlow := func(rateShare float64) time.Duration {
			meter := Meter{MinBytesPerSecond: rate, Window: window}
			for total := time.Duration(0); total < 4*window; {
				waited := min(time.Duration(rapid.Int64Range(int64(window/50), int64(window)).Draw(t, "wait")), meter.MaxWait())
				total += waited
				if !meter.Record(waited, int(rateShare*float64(rate)*waited.Seconds())) {
					return total
				}
			}
			return 0
		}
		if waited := timeUntilSlow(1.2); waited != 0 {
			t.Fatalf("reported as slow after %v, with windows of %v", waited, window)
		}
		for _, share := range []float64{0, 0.5} {
			if waited := timeUntilSlow(share); waited == 0 || waited > 2*window {
				t.Fatalf("share %g: reported as slow after %v, with windows of %v", share, waited, window)
			}
		}
	})
}
