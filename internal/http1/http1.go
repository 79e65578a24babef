// Package http1 reads and writes HTTP/1.1 messages, without sockets and without a clock. It
// follows RFC 9112 (syntax and framing) and RFC 9110 (semantics), strictly: what two readers
// could take for different messages is refused, and what is taken is passed on in one form.
//
// A head is parsed in place, as its bytes come, into fields by offset: no copies, no maps, no
// canonical names. [Request] and [Answer] are reused from message to message; what they return
// points into the bytes that they parsed and holds as long as those do.
//
// Everything that a peer may make grow has a bound, see [Limits].
package http1

import (
	"bytes"
	"errors"
	"fmt"
	"strings"
)

// Limits bound what a peer may send ahead of a body and inside a chunked one.
type Limits struct {
	HeadBytes      int // bytes of a head, with its start line and its last line
	Fields         int // fields of a head
	ChunkLineBytes int // bytes of a chunk's size line, with its extensions
	TrailerBytes   int // bytes of all trailers of a body
}

// DefaultLimits hold where nothing else is said.
var DefaultLimits = Limits{HeadBytes: 16 << 10, Fields: 100, ChunkLineBytes: 256, TrailerBytes: 4 << 10}

// Error says why a message can't be used. All are predeclared: to refuse costs nothing.
type Error struct {
	Status  int    // the answer that a server owes, see RFC 9110, 15.5 and 15.6
	Section string // what it goes against
	Reason  string
}

func (e *Error) Error() string { return e.Reason + " (" + e.Section + ")" }

// Why a message is refused.
var (
	ErrBareLF                      = &Error{400, "RFC 9112, 2.2", "a line ends without CR"}
	ErrControlByte                 = &Error{400, "RFC 9110, 5.5", "a control byte in a field"}
	ErrStartLine                   = &Error{400, "RFC 9112, 3", "the start line can't be read"}
	ErrMethod                      = &Error{400, "RFC 9110, 9.1", "the method is no token"}
	ErrTarget                      = &Error{400, "RFC 9112, 3.2", "the target can't be read"}
	ErrAuthorityMismatch           = &Error{400, "RFC 9112, 3.2.2", "the target and Host name different hosts"}
	ErrVersion                     = &Error{505, "RFC 9112, 2.3", "the version is not HTTP/1.1"}
	ErrStatusLine                  = &Error{502, "RFC 9112, 4", "the status can't be read"}
	ErrLineFolding                 = &Error{400, "RFC 9112, 5.2", "a field goes on in a second line"}
	ErrFieldName                   = &Error{400, "RFC 9112, 5.1", "a field's name is no token, or a blank comes before its colon"}
	ErrHeadTooLong                 = &Error{431, "RFC 6585, 5", "the head is too long"}
	ErrTooManyFields               = &Error{431, "RFC 6585, 5", "the head has too many fields"}
	ErrHost                        = &Error{400, "RFC 9112, 3.2", "Host is missing, given twice, or no host"}
	ErrContentLength               = &Error{400, "RFC 9112, 6.3", "Content-Length is no number, or too large"}
	ErrDuplicateContentLength      = &Error{400, "RFC 9112, 6.3", "more than one Content-Length"}
	ErrLengthWithTransferEncoding  = &Error{400, "RFC 9112, 6.1", "Content-Length beside Transfer-Encoding"}
	ErrUnsupportedTransferEncoding = &Error{501, "RFC 9112, 6.1", "a Transfer-Encoding other than chunked"}
	ErrDuplicateTransferEncoding   = &Error{400, "RFC 9112, 6.1", "more than one Transfer-Encoding"}
	ErrConnectionOption            = &Error{400, "RFC 9110, 7.6.1", "Connection names a field that frames or routes the message"}
	ErrUnsupportedExpectation      = &Error{417, "RFC 9110, 10.1.1", "an expectation other than 100-continue"}
	ErrMalformedChunk              = &Error{400, "RFC 9112, 7.1", "a chunk can't be read"}
	ErrChunkLineTooLong            = &Error{400, "RFC 9112, 7.1.1", "a chunk's size line is too long"}
	ErrInvalidTrailer              = &Error{400, "RFC 9110, 6.5.1", "a trailer that can't be read, or that frames or routes the message"}
	ErrTrailersTooLong             = &Error{431, "RFC 6585, 5", "the trailers are too long"}
	ErrFramingWithoutBody          = &Error{502, "RFC 9110, 8.6", "a length or coding in an answer that has no body"}
	ErrUnexpectedUpgrade           = &Error{502, "RFC 9110, 7.8", "the protocol is switched without being asked"}
	ErrUndelimitedBody             = &Error{502, "RFC 9112, 6.3", "a body without a length on a connection that stays open"}
	ErrTooManyInterimResponses     = &Error{502, "RFC 9110, 15.2", "too many interim answers"}
	errTransferEncodingInHTTP10    = &Error{502, "RFC 9112, 6.1", "Transfer-Encoding in HTTP/1.0"}
)

// ErrTruncated says that a message ended before it was whole.
var ErrTruncated = errors.New("http1: the message breaks off")

// Framing says how a body ends.
type Framing uint8

// The framings of a body.
const (
	NoBody      Framing = iota // there is none
	FixedLength                // after so many bytes
	Chunked                    // after its last chunk
	UntilClose                 // with the connection: answers only
)

// Field is a field of a head. Both point into the message.
type Field struct{ Name, Value []byte }

// fieldSpan is a field by its offsets.
type fieldSpan struct{ nameStart, nameEnd, valueStart, valueEnd uint32 }

// head is what requests and answers have in common.
type head struct {
	Limits Limits

	text            []byte // of the head so far
	lineStart       int    // of the line that is being looked for
	scanned         int    // up to here there is no further line end
	startLineParsed bool   // the start line has been read
	fields          []fieldSpan

	contentLength          int64 // of the body by Content-Length; -1 for none
	contentLengthFields    int
	transferEncodingFields int
	transferEncoding       fieldSpan
	connectionFields       int  // Connection fields
	closeOption            bool // Connection: close
	keepAliveOption        bool // Connection: keep-alive
	upgradeOption          bool // Connection: upgrade
}

func (h *head) reset() {
	*h = head{Limits: h.Limits, fields: h.fields[:0], contentLength: -1}
}

// Rebase says where the bytes of a head that is whole are now, of which the first may be more.
func (h *head) Rebase(b []byte) { h.text = b[:len(h.text):len(h.text)] }

// NumFields is how many fields there are.
func (h *head) NumFields() int { return len(h.fields) }

// Field returns the field at an index.
func (h *head) Field(i int) Field {
	f := h.fields[i]
	return Field{h.text[f.nameStart:f.nameEnd:f.nameEnd], h.text[f.valueStart:f.valueEnd:f.valueEnd]}
}

// Get returns the first value of the fields with a name, in whatever case, and how many there
// are.
func (h *head) Get(name string) (value []byte, n int) {
	for i := range h.fields {
		f := &h.fields[i]
		if int(f.nameEnd-f.nameStart) == len(name) && equalFold(h.text[f.nameStart:f.nameEnd], name) {
			if n++; n == 1 {
				value = h.text[f.valueStart:f.valueEnd:f.valueEnd]
			}
		}
	}
	return value, n
}

// Value is the first value of the fields with a name, empty for none.
func (h *head) Value(name string) []byte {
	v, _ := h.Get(name)
	return v
}

// ContentLength is the length of the body by its field, -1 for none.
func (h *head) ContentLength() int64 { return h.contentLength }

// ClosesConnection tells whether the message says that its connection ends after it.
func (h *head) ClosesConnection() bool { return h.closeOption }

// Upgrades tells whether the message asks for another protocol, or switches to one.
func (h *head) Upgrades() bool {
	_, n := h.Get("Upgrade")
	return h.upgradeOption && n > 0
}

// IsConnectionOption tells whether Connection names a field: it concerns this connection only.
func (h *head) IsConnectionOption(name []byte) bool {
	if h.connectionFields == 0 {
		return false
	}
	found := false
	h.eachConnectionOption(func(option []byte) bool {
		found = len(option) == len(name) && bytes.EqualFold(option, name)
		return !found
	})
	return found
}

// eachConnectionOption calls f with each option of the Connection fields until it returns false.
func (h *head) eachConnectionOption(f func(option []byte) bool) {
	for i := range h.fields {
		at := &h.fields[i]
		if !equalFold(h.text[at.nameStart:at.nameEnd], "connection") {
			continue
		}
		for rest := h.text[at.valueStart:at.valueEnd]; len(rest) > 0; {
			option := rest
			if i := bytes.IndexByte(rest, ','); i >= 0 {
				option, rest = rest[:i], rest[i+1:]
			} else {
				rest = nil
			}
			if option = trimBlanks(option); len(option) > 0 && !f(option) {
				return
			}
		}
	}
}

// hopByHopFields are the fields that concern one connection only, beside those that Connection names.
var hopByHopFields = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization",
	"TE", "Trailer", "Transfer-Encoding", "Upgrade", "Expect", "Content-Length",
}

// IsEndToEnd tells whether a field is to be passed on as it is: neither does it concern this
// connection only, nor does it frame the body, which is framed anew.
func (h *head) IsEndToEnd(name []byte) bool {
	for _, n := range hopByHopFields {
		if len(n) == len(name) && equalFold(name, n) {
			return false
		}
	}
	return !h.IsConnectionOption(name)
}

// startLineHandler is how a message judges its start line.
type startLineHandler interface {
	checkPrefix(b []byte) error       // the bytes that there are of it: what is no message is not waited on
	handleEmptyLine() error           // an empty line in its place
	parseStartLine(text []byte) error // the line
	finish() error                    // the head is whole
}

// parseLines takes the lines that have come whole. It returns the length of the head once that is
// whole, else 0.
func (h *head) parseLines(b []byte, m startLineHandler) (int, error) {
	h.text = b
	for {
		if !h.startLineParsed && len(b) > h.lineStart {
			if err := m.checkPrefix(b[h.lineStart:]); err != nil {
				return 0, err
			}
		}
		i := bytes.IndexByte(b[h.scanned:], '\n')
		if i < 0 {
			h.scanned = len(b)
			if len(b) >= h.Limits.HeadBytes {
				return 0, ErrHeadTooLong
			}
			return 0, nil
		}
		i += h.scanned
		if i >= h.Limits.HeadBytes {
			return 0, ErrHeadTooLong
		}
		if i == h.lineStart || b[i-1] != '\r' {
			return 0, ErrBareLF
		}
		text := b[h.lineStart : i-1]
		from := h.lineStart
		h.lineStart, h.scanned = i+1, i+1
		switch {
		case !h.startLineParsed:
			if len(text) == 0 {
				if err := m.handleEmptyLine(); err != nil {
					return 0, err
				}
				continue
			}
			h.startLineParsed = true
			if err := m.parseStartLine(text); err != nil {
				return 0, err
			}
		case len(text) == 0:
			h.text = b[: i+1 : i+1]
			return i + 1, m.finish()
		default:
			if err := h.parseField(uint32(from), text); err != nil {
				return 0, err
			}
		}
	}
}

// parseField takes a field's line, which begins at an offset.
func (h *head) parseField(at uint32, line []byte) error {
	if line[0] == ' ' || line[0] == '\t' {
		return ErrLineFolding
	}
	if len(h.fields) >= h.Limits.Fields {
		return ErrTooManyFields
	}
	colon := 0
	for colon < len(line) && tokenBytes[line[colon]] {
		colon++
	}
	if colon == 0 || colon == len(line) || line[colon] != ':' {
		return ErrFieldName
	}
	from, to := colon+1, len(line)
	for from < to && isBlank(line[from]) {
		from++
	}
	for to > from && isBlank(line[to-1]) {
		to--
	}
	for _, c := range line[from:to] {
		if c < ' ' && c != '\t' || c == 0x7f {
			return ErrControlByte
		}
	}
	f := fieldSpan{at, at + uint32(colon), at + uint32(from), at + uint32(to)}
	h.fields = append(h.fields, f)
	return h.recordFraming(line[:colon], line[from:to], f)
}

// recordFraming notes what a field says of the message's framing and its connection.
func (h *head) recordFraming(name, value []byte, f fieldSpan) error {
	switch len(name) {
	case len("Connection"):
		if equalFold(name, "connection") {
			h.connectionFields++
		}
	case len("Content-Length"):
		if equalFold(name, "content-length") {
			if h.contentLengthFields++; h.contentLengthFields > 1 {
				return ErrDuplicateContentLength
			}
			n, ok := parseDecimal(value)
			if !ok {
				return ErrContentLength
			}
			h.contentLength = n
		}
	case len("Transfer-Encoding"):
		if equalFold(name, "transfer-encoding") {
			if h.transferEncodingFields++; h.transferEncodingFields > 1 {
				return ErrDuplicateTransferEncoding
			}
			h.transferEncoding = f
		}
	}
	return nil
}

// checkFraming checks what the fields say together.
func (h *head) checkFraming() error {
	if h.transferEncodingFields > 0 && h.contentLengthFields > 0 {
		return ErrLengthWithTransferEncoding
	}
	if h.transferEncodingFields > 0 && !equalFold(h.text[h.transferEncoding.valueStart:h.transferEncoding.valueEnd], "chunked") {
		return ErrUnsupportedTransferEncoding
	}
	if h.connectionFields == 0 {
		return nil
	}
	var err error
	h.eachConnectionOption(func(o []byte) bool {
		switch {
		case equalFold(o, "close"):
			h.closeOption = true
		case equalFold(o, "keep-alive"):
			h.keepAliveOption = true
		case equalFold(o, "upgrade"):
			h.upgradeOption = true
		case equalFold(o, "host"), equalFold(o, "content-length"), equalFold(o, "transfer-encoding"):
			err = ErrConnectionOption
		case !isToken(o):
			err = ErrConnectionOption
		}
		return err == nil
	})
	return err
}

// parseDecimal reads 1*DIGIT that fits a body's length: no sign, no blank, no list.
func parseDecimal(b []byte) (int64, bool) {
	if len(b) == 0 || len(b) > 18 {
		return 0, false
	}
	var n int64
	for _, c := range b {
		if c < '0' || c > '9' {
			return 0, false
		}
		n = n*10 + int64(c-'0')
	}
	return n, true
}

// tokenBytes are the bytes of a token, RFC 9110, 5.6.2.
var tokenBytes = func() (t [256]bool) {
	for c := range 256 {
		t[c] = c >= '0' && c <= '9' || c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' ||
			c < 0x80 && strings.IndexByte("!#$%&'*+-.^_`|~", byte(c)) >= 0
	}
	return t
}()

func isToken(b []byte) bool {
	for _, c := range b {
		if !tokenBytes[c] {
			return false
		}
	}
	return len(b) > 0
}

func isBlank(c byte) bool { return c == ' ' || c == '\t' }

func trimBlanks(b []byte) []byte {
	for len(b) > 0 && isBlank(b[0]) {
		b = b[1:]
	}
	for len(b) > 0 && isBlank(b[len(b)-1]) {
		b = b[:len(b)-1]
	}
	return b
}

// EqualFieldName tells whether a name is a field's, in whatever case.
func EqualFieldName(name []byte, field string) bool { return equalFold(name, field) }

// equalFold tells whether a text is a name of ASCII, in whatever case.
func equalFold(b []byte, name string) bool {
	if len(b) != len(name) {
		return false
	}
	for i := range b {
		x, y := b[i], name[i]
		if x == y {
			continue
		}
		if x|0x20 != y|0x20 || x|0x20 < 'a' || x|0x20 > 'z' {
			return false
		}
	}
	return true
}

// String is for tests and logs.
func (f Framing) String() string {
	return [...]string{"none", "length", "chunked", "until close"}[f]
}

func (f Field) String() string { return fmt.Sprintf("%s: %q", f.Name, f.Value) }
