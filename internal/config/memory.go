package config

import "barleydrum.example/barleydrum/internal/body"

// What the limit of memory has to hold beside the data of peers, in bytes.
const (
	programBytes      = 11 << 20 // resident pages of the program itself, which the Go runtime does not count
	runtimeBytes      = 1 << 20  // the Go runtime's own state
	callerConnBytes   = 8 << 10  // a caller's connection without buffers: its state and its goroutine's stack
	endpointConnBytes = 2 << 10  // a connection to an endpoint without buffers
)

// peerMemoryShare is the share of Go's memory that may hold data at the same time. The rest is for garbage that has
// not been collected yet and for what size classes leave unused.
const peerMemoryShare = 0.7

// minPeerMemoryShare is the share of Go's memory that the data of callers and endpoints may take in any case, as not all
// streamed bodies use all that they may use at the same time.
const minPeerMemoryShare = 0.25

// GoMemoryLimit returns the limit for the Go runtime's memory in bytes.
func (c *Config) GoMemoryLimit() int64 {
	memory := c.Limits.MemoryMB << 20
	share := int64(float64(memory) * c.Settings.Limits.HeapShare)
	return min(share, max(memory-programBytes, memory/3))
}

// PeerMemoryLimit returns how much memory in bytes the data of callers and endpoints may take, beside the connections
// that may be open and the streamed bodies, which have limits of their own.
func (c *Config) PeerMemoryLimit() int64 {
	limit := int64(float64(c.GoMemoryLimit()) * peerMemoryShare)
	limit -= runtimeBytes
	limit -= int64(c.MaxCallerConnections()) * callerConnBytes
	limit -= int64(c.MaxEndpointConnections()) * endpointConnBytes
	limit -= c.MaxStreamBytes()
	return max(limit, int64(float64(c.GoMemoryLimit())*minPeerMemoryShare))
}

// MaxStreamBytes returns the memory in bytes that streamed bodies may use at most: the buffers and retained parts of
// the requests that may be open, and a response's buffer for each caller's connection.
func (c *Config) MaxStreamBytes() int64 {
	s := &c.Settings.Streams
	total := int64(0)
	if s.RequestsEnabled() {
		total += int64(s.MaxOpenRequests)*s.BodyLimits().MaxBufferBytes() + int64(s.MaxMemoryTotal)
		if s.RAMDisk != nil && *s.RAMDisk {
			total += int64(s.MaxFilesTotal)
		}
	}
	if s.MaxResponseBody > 0 {
		total += int64(c.MaxCallerConnections()) * max(int64(s.ResponseCommitThreshold), body.BlockSize)
	}
	return total
}
