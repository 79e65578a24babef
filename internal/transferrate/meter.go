// Package transferrate tells a peer that is slow from one that waits for somebody else: only the time
// that was spent waiting for the peer counts. It reads no clock.
package transferrate

import "time"

// Meter judges one side of a stream. Within every Window of waiting for it, the side has to move
// Rate bytes a second. The zero value of what is not exported is ready.
type Meter struct {
	MinBytesPerSecond int64
	Window            time.Duration

	waitedTime time.Duration
	movedBytes int64
}

// MaxWait is how long the side may be waited for now.
func (m *Meter) MaxWait() time.Duration { return m.Window - m.waitedTime }

// Record notes that the side was waited for, and moved n bytes. It returns false if the side is
// slow. A side that stops is told within two windows at the latest.
func (m *Meter) Record(d time.Duration, n int) bool {
	m.waitedTime += max(d, 0)
	m.movedBytes += int64(n)
	if m.waitedTime < m.Window {
		return true
	}
	fast := float64(m.movedBytes) >= float64(m.MinBytesPerSecond)*m.Window.Seconds()
	m.waitedTime, m.movedBytes = 0, 0
	return fast
}
