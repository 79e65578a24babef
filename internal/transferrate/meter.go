// Package transferrate checks that a peer of a stream keeps a minimum transfer rate. Only the time spent
// waiting for the peer counts, so that a peer that itself waits for another party is not considered slow.
// The package reads no clock.
package transferrate

import "time"

// Meter checks the rate of one side of a stream, the sender or the receiver. Within each Window of time
// spent waiting for it, the side must transfer at least MinBytesPerSecond on average. A Meter with its
// exported fields set is ready to use.
type Meter struct {
	MinBytesPerSecond int64
	Window            time.Duration

	waitedTime time.Duration // in the current window
	movedBytes int64         // in the current window
}

// MaxWait returns how long the side may be waited for before the current window ends.
func (m *Meter) MaxWait() time.Duration { return m.Window - m.waitedTime }

// Record adds a time for which the side was waited for and the n bytes that it transferred. At the end of
// each window it returns false if the side was too slow, otherwise true. A side that stops is detected
// within two windows.
func (m *Meter) Record(waited time.Duration, n int) bool {
	m.waitedTime += max(waited, 0)
	m.movedBytes += int64(n)
	if m.waitedTime < m.Window {
		return true
	}
	fastEnough := float64(m.movedBytes) >= float64(m.MinBytesPerSecond)*m.Window.Seconds()
	m.waitedTime, m.movedBytes = 0, 0
	return fastEnough
}
