package http1

import "bytes"

// ChunkedDecoder decodes a body in the chunked transfer coding, RFC 9112, 7.1. The zero value is ready
// once Limits are set. It is not safe for concurrent use.
type ChunkedDecoder struct {
	Limits       Limits
	KeepTrailers bool   // store the trailers in Trailers; otherwise they are dropped
	Trailers     []byte // the trailers as received, whole lines; complete once Done

	state          decoderState
	chunkRemaining uint64 // bytes of the current chunk's data that have not been decoded
	trailerBytes   int    // bytes of trailers so far
}

// decoderState is the part of a chunked body that a decoder reads next.
type decoderState uint8

const (
	stateSizeLine decoderState = iota // the line with the size and extensions of a chunk
	stateData                         // the data of a chunk
	stateDataEnd                      // the CRLF after the data of a chunk
	stateTrailers                     // the trailers and the empty line after them
	stateDone                         // nothing: the body has ended
)

// hexValue holds the value of each hexadecimal digit, -1 for any other byte.
var hexValue = func() (values [256]int8) {
	for c := range 256 {
		switch {
		case c >= '0' && c <= '9':
			values[c] = int8(c - '0')
		case c >= 'a' && c <= 'f':
			values[c] = int8(c - 'a' + 10)
		case c >= 'A' && c <= 'F':
			values[c] = int8(c - 'A' + 10)
		default:
			values[c] = -1
		}
	}
	return values
}()

// Done reports whether the end of the body has been decoded.
func (c *ChunkedDecoder) Done() bool { return c.state == stateDone }

// Decode decodes the next bytes of the body. It returns the number n of bytes that it has consumed and the
// data among them, which points into b. Callers must pass the remaining bytes again, followed by more. If a
// line is incomplete, Decode consumes none of it and returns no data. Errors are of type *[Error].
// Extensions and trailers are validated; extensions are dropped, as are trailers without KeepTrailers.
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
			consumed, err := c.decodeSizeLine(rest)
			if err != nil || consumed == 0 {
				return nil, n, err
			}
			n += consumed
		case stateTrailers:
			consumed, err := c.decodeTrailerLine(rest)
			if err != nil || consumed == 0 {
				return nil, n, err
			}
			n += consumed
		}
	}
}

// decodeSizeLine decodes the size line at the start of b and returns its length in bytes, 0 if it is
// incomplete.
func (c *ChunkedDecoder) decodeSizeLine(b []byte) (int, error) {
	newline := bytes.IndexByte(b, '\n')
	if newline < 0 && len(b) >= c.Limits.ChunkLineBytes || newline >= c.Limits.ChunkLineBytes {
		return 0, ErrChunkLineTooLong
	}
	if len(b) > 0 && hexValue[b[0]] < 0 {
		return 0, ErrMalformedChunk
	}
	if newline < 0 {
		return 0, nil
	}
	if newline == 0 || b[newline-1] != '\r' {
		return 0, ErrBareLF
	}
	line := b[:newline-1]
	var size uint64
	digits := 0
	for digits < len(line) && hexValue[line[digits]] >= 0 {
		size = size<<4 | uint64(hexValue[line[digits]])
		digits++
	}
	if digits == 0 || digits > 15 { // 15 digits can't overflow size
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
	return newline + 1, nil
}

// validChunkExtensions reports whether b matches
// *( BWS ";" BWS name [ BWS "=" BWS ( token / quoted-string ) ] ).
func validChunkExtensions(b []byte) bool {
	for len(b) > 0 {
		if b = trimLeadingBlanks(b); len(b) == 0 || b[0] != ';' {
			return false // blanks alone are invalid too: some parsers take what follows them for another size
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

// quotedStringLen returns the length of the quoted string at the start of b, 0 if there is none.
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

// trimLeadingBlanks returns b without the spaces and tabs at its start.
func trimLeadingBlanks(b []byte) []byte {
	for len(b) > 0 && isBlank(b[0]) {
		b = b[1:]
	}
	return b
}

// decodeTrailerLine decodes the trailer line at the start of b, or the empty line after the trailers, and
// returns its length in bytes, 0 if it is incomplete.
func (c *ChunkedDecoder) decodeTrailerLine(b []byte) (int, error) {
	newline := bytes.IndexByte(b, '\n')
	if newline < 0 && c.trailerBytes+len(b) >= c.Limits.TrailerBytes || c.trailerBytes+newline >= c.Limits.TrailerBytes {
		return 0, ErrTrailersTooLong
	}
	if newline < 0 {
		return 0, nil
	}
	if newline == 0 || b[newline-1] != '\r' {
		return 0, ErrBareLF
	}
	c.trailerBytes += newline + 1
	line := b[:newline-1]
	if len(line) == 0 {
		c.state = stateDone
		return newline + 1, nil
	}
	h := head{Limits: Limits{Fields: 1}, contentLength: -1}
	var spans [1]fieldSpan
	h.fields = spans[:0]
	if err := h.parseField(0, line); err != nil {
		return 0, ErrInvalidTrailer
	}
	for _, name := range forbiddenTrailers {
		if equalFold(line[:h.fields[0].nameEnd], name) {
			return 0, ErrInvalidTrailer
		}
	}
	if c.KeepTrailers {
		c.Trailers = append(c.Trailers, b[:newline+1]...)
	}
	return newline + 1, nil
}

// forbiddenTrailers are the fields that frame, route or authenticate a message. After the body they would
// change what has already been decided, RFC 9110, 6.5.1.
var forbiddenTrailers = []string{
	"Content-Length", "Transfer-Encoding", "Host", "Connection", "Trailer", "TE", "Upgrade", "Expect",
	"Content-Encoding", "Content-Type", "Content-Range", "Authorization", "Set-Cookie",
	"X-Request-ID", "X-Priority-Class", "X-Tenant-Id", "X-Timeout", "Idempotency-Key",
}
