package httpserver

import (
	"errors"

	"barleydrum.example/barleydrum/internal/memory"
)

// The end of a caller's connection arrives behind all that the caller has sent before it. While more is unread than the
// sockets hold, a caller may have left long ago.
const (
	maxReadAheadBytes = 256 << 10 // read beyond a request to find the end of the connection
	maxUnreadBytes    = 16 << 10  // data that may be unread when an attempt starts
)

// readAhead reads what a caller that pipelines has sent beyond a request, whose first requestBytes bytes are still in
// c.buf, so that an end of the connection behind that data is seen before the request is forwarded. It returns false
// if there is too much, and the caller may have left. While pipelined requests are refused, it reads nothing: whatever
// is read gets a response.
func (s *Server) readAhead(c *conn, requestBytes int) (callerKnown bool) {
	if !c.pipelined && c.buf.Len() == requestBytes || s.refusesPipelined() {
		return true
	}
	earliestArrivalAt := c.earliestArrivalAt
	defer func(pipelined bool) { c.pipelined = pipelined }(c.pipelined)
	for c.pipelined = true; !c.ReadWouldBlock(); {
		if c.buf.Len()-requestBytes >= maxReadAheadBytes {
			return false
		}
		err := s.fill(c)
		if errors.Is(err, memory.ErrExhausted) {
			return false
		}
		if err != nil { // the end of the connection, or a reset
			s.notifyDisconnect(c.id)
			return true
		}
		c.earliestArrivalAt = earliestArrivalAt // that of the oldest data in c.buf
	}
	return true
}
