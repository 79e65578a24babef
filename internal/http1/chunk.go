package http1

import "bytes"

// ChunkedDecoder reads a body of chunks, RFC 9112, 7.1. The zero value, with its limits, is ready.
type ChunkedDecoder struct {
	Limits       Limits
	KeepTrailers bool   // the trailers are wanted
	Trailers     []byte // those that came, whole lines, once Done

	state        chunkState
	left         uint64 // of the chunk
	trailerBytes int    // bytes of trailers so far
}

type chunkState uint8

const (
	chunkSize chunkState = iota
	chunkData
	chunkEnd
	chunkTrailers
	chunkDone
)

// unhex is the value of a hexadecimal digit, -1 for any other byte.
var unhex = func() (t [256]int8) {
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
func (c *ChunkedDecoder) Done() bool { return c.state == chunkDone }

// Decode takes bytes of the body. It returns how many it has used and the data among them, which
// points into b; what it has not used is to come again, with more behind it. It uses nothing
// and returns no data where a line is not whole yet. Extensions and trailers are checked;
// extensions are dropped, as are trailers that nobody wants.
func (c *ChunkedDecoder) Decode(b []byte) (data []byte, n int, err error) {
	for {
		rest := b[n:]
		switch c.state {
		case chunkDone:
			return nil, n, nil
		case chunkData:
			if len(rest) == 0 {
				return nil, n, nil
			}
			if uint64(len(rest)) > c.left {
				rest = rest[:c.left]
			}
			if c.left -= uint64(len(rest)); c.left == 0 {
				c.state = chunkEnd
			}
			return rest, n + len(rest), nil
		case chunkEnd:
			if len(rest) > 0 && rest[0] != '\r' || len(rest) > 1 && rest[1] != '\n' {
				return nil, n, ErrMalformedChunk
			}
			if len(rest) < 2 {
				return nil, n, nil
			}
			n += 2
			c.state = chunkSize
		case chunkSize:
			used, err := c.size(rest)
			if err != nil || used == 0 {
				return nil, n, err
			}
			n += used
		case chunkTrailers:
			used, err := c.trailer(rest)
			if err != nil || used == 0 {
				return nil, n, err
			}
			n += used
		}
	}
}

// size reads a chunk's size line.
func (c *ChunkedDecoder) size(b []byte) (int, error) {
	i := bytes.IndexByte(b, '\n')
	if i < 0 && len(b) >= c.Limits.ChunkLineBytes || i >= c.Limits.ChunkLineBytes {
		return 0, ErrChunkLineTooLong
	}
	if len(b) > 0 && unhex[b[0]] < 0 {
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
	for digits < len(line) && unhex[line[digits]] >= 0 {
		size = size<<4 | uint64(unhex[line[digits]])
		digits++
	}
	if digits == 0 || digits > 15 {
		return 0, ErrMalformedChunk
	}
	if !extensions(line[digits:]) {
		return 0, ErrMalformedChunk
	}
	if c.left = size; size == 0 {
		c.state = chunkTrailers
	} else {
		c.state = chunkData
	}
	return i + 1, nil
}

// extensions checks *( BWS ";" BWS name [ BWS "=" BWS ( token / quoted-string ) ] ).
func extensions(b []byte) bool {
	for len(b) > 0 {
		if b = trimLeft(b); len(b) == 0 || b[0] != ';' {
			return false // also blanks alone: some readers take what follows for another size
		}
		b = trimLeft(b[1:])
		n := 0
		for n < len(b) && token[b[n]] {
			n++
		}
		if n == 0 {
			return false
		}
		b = b[n:]
		rest := trimLeft(b)
		if len(rest) == 0 || rest[0] != '=' {
			continue
		}
		rest = trimLeft(rest[1:])
		if len(rest) > 0 && rest[0] == '"' {
			if n = quoted(rest); n == 0 {
				return false
			}
		} else {
			for n = 0; n < len(rest) && token[rest[n]]; n++ {
			}
		}
		if n == 0 {
			return false
		}
		b = rest[n:]
	}
	return true
}

// quoted is the length of the quoted string that a text begins with, or 0.
func quoted(b []byte) int {
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

func trimLeft(b []byte) []byte {
	for len(b) > 0 && blank(b[0]) {
		b = b[1:]
	}
	return b
}

// trailer reads a line of the trailers.
func (c *ChunkedDecoder) trailer(b []byte) (int, error) {
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
		c.state = chunkDone
		return i + 1, nil
	}
	h := head{Limits: Limits{Fields: 1}, length: -1}
	var one [1]span
	h.fields = one[:0]
	if err := h.field(0, line); err != nil {
		return 0, ErrInvalidTrailer
	}
	for _, name := range notTrailers {
		if equalFold(line[:h.fields[0].colon], name) {
			return 0, ErrInvalidTrailer
		}
	}
	if c.KeepTrailers {
		c.Trailers = append(c.Trailers, b[:i+1]...)
	}
	return i + 1, nil
}

// notTrailers are fields that frame, route or authenticate a message: after the body they
// would change what has been decided by then, RFC 9110, 6.5.1.
var notTrailers = []string{
	"Content-Length", "Transfer-Encoding", "Host", "Connection", "Trailer", "TE", "Upgrade", "Expect",
	"Content-Encoding", "Content-Type", "Content-Range", "Authorization", "Set-Cookie",
	"X-Request-ID", "X-Priority-Class", "X-Tenant-Id", "X-Timeout", "Idempotency-Key",
}
