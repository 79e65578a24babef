package http1

import "bytes"

// ChunkedDecoder reads a body of chunks, RFC 9112, 7.1. The zero value, with its limits, is ready.
type ChunkedDecoder struct {
	Limits       Limits
	KeepTrailers bool   // the trailers are wanted
	Trailers     []byte // those that came, whole lines, once Done

	state          decoderState
	chunkRemaining uint64 // of the chunk
	trailerBytes   int    // bytes of trailers so far
}

type decoderState uint8

const (
	stateSizeLine decoderState = iota
	stateData
	stateDataEnd
	stateTrailers
	stateDone
)

// hexValue is the value of a hexadecimal digit, -1 for any other byte.
var hexValue = func() (t [256]int8) {
	for c := range 256 {
		switch {
		case c >= '0' && c <= '9':
			t[c] = int8(c - '0')
		case c >= 'a' && c <= 'f':
			t[c] = int8(c - 'a' + 10)
		case c >= 'A' && c <= 'F':
			t[c] = int8(c - 'A' + 10)
		default:
			t[c] = -1
		}
	}
	return t
}()

// Done tells whether the body's end has been read.
func (c *ChunkedDecoder) Done() bool { return c.state == stateDone }

// Decode takes bytes of the body. It returns how many it has used and the data among them, which
// points into b; what it has not used is to come again, with more behind it. It uses nothing
// and returns no data where a line is not whole yet. Extensions and trailers are checked;
// extensions are dropped, as are trailers that nobody wants.
func (c *ChunkedDecoder) Decode(b []byte) (data []byte, n int, err error) {
	for {
		rest := b[n:]
		switch c.state {
		case stateDone:
			return nil, n, nil
		case stateData:
			if len(rest) == 0 {
				return nil, n, nil
			}
			if uint64(len(rest)) > c.chunkRemaining {
				rest = rest[:c.chunkRemaining]
			}
			if c.chunkRemaining -= uint64(len(rest)); c.chunkRemaining == 0 {
				c.state = stateDataEnd
			}
			return rest, n + len(rest), nil
		case stateDataEnd:
			if len(rest) > 0 && rest[0] != '\r' || len(rest) > 1 && rest[1] != '\n' {
				return nil, n, ErrMalformedChunk
			}
			if len(rest) < 2 {
				return nil, n, nil
			}
			n += 2
			c.state = stateSizeLine
		case stateSizeLine:
			used, err := c.decodeSizeLine(rest)
			if err != nil || used == 0 {
				return nil, n, err
			}
			n += used
		case stateTrailers:
			used, err := c.decodeTrailerLine(rest)
			if err != nil || used == 0 {
				return nil, n, err
			}
			n += used
		}
	}
}

// decodeSizeLine reads a chunk's size line.
func (c *ChunkedDecoder) decodeSizeLine(b []byte) (int, error) {
	i := bytes.IndexByte(b, '\n')
	if i < 0 && len(b) >= c.Limits.ChunkLineBytes || i >= c.Limits.ChunkLineBytes {
		return 0, ErrChunkLineTooLong
	}
	if len(b) > 0 && hexValue[b[0]] < 0 {
		return 0, ErrMalformedChunk
	}
	if i < 0 {
		return 0, nil
	}
	if i == 0 || b[i-1] != '\r' {
		return 0, ErrBareLF
	}
	line := b[:i-1]
	var size uint64
	digits := 0
	for digits < len(line) && hexValue[line[digits]] >= 0 {
		size = size<<4 | uint64(hexValue[line[digits]])
		digits++
	}
	if digits == 0 || digits > 15 {
		return 0, ErrMalformedChunk
	}
	if !validChunkExtensions(line[digits:]) {
		return 0, ErrMalformedChunk
	}
	if c.chunkRemaining = size; size == 0 {
		c.state = stateTrailers
	} else {
		c.state = stateData
	}
	return i + 1, nil
}

// validChunkExtensions checks *( BWS ";" BWS name [ BWS "=" BWS ( token / quoted-string ) ] ).
func validChunkExtensions(b []byte) bool {
	for len(b) > 0 {
		if b = trimLeadingBlanks(b); len(b) == 0 || b[0] != ';' {
			return false // also blanks alone: some readers take what follows for another size
		}
		b = trimLeadingBlanks(b[1:])
		n := 0
		for n < len(b) && tokenBytes[b[n]] {
			n++
		}
		if n == 0 {
			return false
		}
		b = b[n:]
		rest := trimLeadingBlanks(b)
		if len(rest) == 0 || rest[0] != '=' {
			continue
		}
		rest = trimLeadingBlanks(rest[1:])
		if len(rest) > 0 && rest[0] == '"' {
			if n = quotedStringLen(rest); n == 0 {
				return false
			}
		} else {
			for n = 0; n < len(rest) && tokenBytes[rest[n]]; n++ {
			}
		}
		if n == 0 {
			return false
		}
		b = rest[n:]
	}
	return true
}

// quotedStringLen is the length of the quoted string that a text begins with, or 0.
func quotedStringLen(b []byte) int {
	for i := 1; i < len(b); i++ {
		switch c := b[i]; {
		case c == '"':
			return i + 1
		case c == '\\':
			i++
			if i < len(b) && (b[i] < ' ' && b[i] != '\t' || b[i] == 0x7f) {
				return 0
			}
		case c < ' ' && c != '\t' || c == 0x7f:
			return 0
		}
	}
	return 0
}

func trimLeadingBlanks(b []byte) []byte {
	for len(b) > 0 && isBlank(b[0]) {
		b = b[1:]
	}
	return b
}

// decodeTrailerLine reads a line of the trailers.
func (c *ChunkedDecoder) decodeTrailerLine(b []byte) (int, error) {
	i := bytes.IndexByte(b, '\n')
	if i < 0 && c.trailerBytes+len(b) >= c.Limits.TrailerBytes || c.trailerBytes+i >= c.Limits.TrailerBytes {
		return 0, ErrTrailersTooLong
	}
	if i < 0 {
		return 0, nil
	}
	if i == 0 || b[i-1] != '\r' {
		return 0, ErrBareLF
	}
	c.trailerBytes += i + 1
	line := b[:i-1]
	if len(line) == 0 {
		c.state = stateDone
		return i + 1, nil
	}
	h := head{Limits: Limits{Fields: 1}, contentLength: -1}
	var one [1]fieldSpan
	h.fields = one[:0]
	if err := h.parseField(0, line); err != nil {
		return 0, ErrInvalidTrailer
	}
	for _, name := range forbiddenTrailers {
		if equalFold(line[:h.fields[0].nameEnd], name) {
			return 0, ErrInvalidTrailer
		}
	}
	if c.KeepTrailers {
		c.Trailers = append(c.Trailers, b[:i+1]...)
	}
	return i + 1, nil
}

// forbiddenTrailers are fields that frame, route or authenticate a message: after the body they
// would change what has been decided by then, RFC 9110, 6.5.1.
var forbiddenTrailers = []string{
	"Content-Length", "Transfer-Encoding", "Host", "Connection", "Trailer", "TE", "Upgrade", "Expect",
	"Content-Encoding", "Content-Type", "Content-Range", "Authorization", "Set-Cookie",
	"X-Request-ID", "X-Priority-Class", "X-Tenant-Id", "X-Timeout", "Idempotency-Key",
}
