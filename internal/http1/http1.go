// Package http1 parses and writes HTTP/1.1 messages. It uses no sockets and reads no clock. It follows
// RFC 9112 (syntax and framing) and RFC 9110 (semantics) strictly: input that two parsers could read as
// different messages is rejected, and a message that is accepted is forwarded in one canonical form.
//
// A head is parsed in place, as its bytes arrive, into fields by offset, without copies, maps or
// canonical names. [Request] and [Response] are reused from message to message. What they return points
// into the bytes that they parsed and is valid as long as those bytes are.
//
// Everything that a peer can make grow is bounded, see [Limits].
package http1

import (
	"bytes"
	"errors"
	"fmt"
	"strings"
)

// Limits bound the head of a message and the parts of a chunked body that are not data.
type Limits struct {
	HeadBytes      int // bytes of a head, including its start line and the empty line at its end
	Fields         int // number of fields of a head
	ChunkLineBytes int // bytes of a chunk's size line, including its extensions
	TrailerBytes   int // bytes of all trailers of a body
}

// DefaultLimits are the limits that apply unless others are configured.
var DefaultLimits = Limits{HeadBytes: 16 << 10, Fields: 100, ChunkLineBytes: 256, TrailerBytes: 4 << 10}

// Error is the reason why a message is rejected. All errors are predeclared, so that rejecting a message
// allocates nothing.
type Error struct {
	Status  int    // status code with which a server must respond, see RFC 9110, 15.5 and 15.6
	Section string // the section of the RFC that the message violates
	Reason  string
}

// Error returns the reason with the section.
func (e *Error) Error() string { return e.Reason + " (" + e.Section + ")" }

// The reasons why a message is rejected.
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

// ErrTruncated is the error for a message that ended before it was complete.
var ErrTruncated = errors.New("http1: message is truncated")

// Framing is how the end of a body is found.
type Framing uint8

// The framings of a body.
const (
	NoBody      Framing = iota // there is no body
	FixedLength                // after Content-Length bytes
	Chunked                    // after the last chunk
	UntilClose                 // when the connection closes; for responses only
)

// Field is a field of a head. Name and Value point into the message.
type Field struct{ Name, Value []byte }

// fieldSpan holds the offsets of a field's name and value in the message.
type fieldSpan struct{ nameStart, nameEnd, valueStart, valueEnd uint32 }

// head is the common part of the heads of requests and responses: the fields and what they say about
// framing and connection.
type head struct {
	Limits Limits

	text            []byte // the bytes of the head so far
	lineStart       int    // offset of the first line that has not been parsed
	scanned         int    // text[lineStart:scanned] contains no line end
	startLineParsed bool
	fields          []fieldSpan

	contentLength          int64 // value of Content-Length; -1 if there is none
	contentLengthFields    int   // number of Content-Length fields
	transferEncodingFields int   // number of Transfer-Encoding fields
	transferEncoding       fieldSpan
	connectionFields       int  // number of Connection fields
	closeOption            bool // Connection: close
	keepAliveOption        bool // Connection: keep-alive
	upgradeOption          bool // Connection: upgrade
}

// reset prepares the head for the next message. It keeps the limits and the memory of the fields.
func (h *head) reset() {
	*h = head{Limits: h.Limits, fields: h.fields[:0], contentLength: -1}
}

// Rebase makes a complete head point into b, which must start with the bytes of the head and may hold
// more. It is for bytes that have been moved or copied since they were parsed.
func (h *head) Rebase(b []byte) { h.text = b[:len(h.text):len(h.text)] }

// Len returns the length of the head in bytes.
func (h *head) Len() int { return len(h.text) }

// NumFields returns the number of fields.
func (h *head) NumFields() int { return len(h.fields) }

// Field returns field i, counted from 0 in the order of the message.
func (h *head) Field(i int) Field {
	f := h.fields[i]
	return Field{h.text[f.nameStart:f.nameEnd:f.nameEnd], h.text[f.valueStart:f.valueEnd:f.valueEnd]}
}

// Get returns the value of the first field with the name, compared without regard to case, and the
// number of fields with that name.
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

// Value returns the value of the first field with the name, compared without regard to case. It is empty
// if there is no such field.
func (h *head) Value(name string) []byte {
	v, _ := h.Get(name)
	return v
}

// ContentLength returns the value of Content-Length in bytes, -1 if there is no such field.
func (h *head) ContentLength() int64 { return h.contentLength }

// ClosesConnection reports whether the connection closes after the message.
func (h *head) ClosesConnection() bool { return h.closeOption }

// Upgrades reports whether a request asks to switch to another protocol, or a response switches to one.
func (h *head) Upgrades() bool {
	_, n := h.Get("Upgrade")
	return h.upgradeOption && n > 0
}

// IsConnectionOption reports whether the Connection fields list the field with this name, which then
// applies to this connection only.
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

// eachConnectionOption calls f with each option of the Connection fields until f returns false.
func (h *head) eachConnectionOption(f func(option []byte) bool) {
	for i := range h.fields {
		field := &h.fields[i]
		if !equalFold(h.text[field.nameStart:field.nameEnd], "connection") {
			continue
		}
		for rest := h.text[field.valueStart:field.valueEnd]; len(rest) > 0; {
			option := rest
			if comma := bytes.IndexByte(rest, ','); comma >= 0 {
				option, rest = rest[:comma], rest[comma+1:]
			} else {
				rest = nil
			}
			if option = trimBlanks(option); len(option) > 0 && !f(option) {
				return
			}
		}
	}
}

// hopByHopFields are the fields that are not forwarded, beside those that Connection lists: they apply to
// one connection only, or frame the body.
var hopByHopFields = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization",
	"TE", "Trailer", "Transfer-Encoding", "Upgrade", "Expect", "Content-Length",
}

// IsEndToEnd reports whether a field must be forwarded unchanged: it neither applies to this connection
// only nor frames the body, which gets a new framing when it is forwarded.
func (h *head) IsEndToEnd(name []byte) bool {
	for _, hopByHopName := range hopByHopFields {
		if len(hopByHopName) == len(name) && equalFold(name, hopByHopName) {
			return false
		}
	}
	return !h.IsConnectionOption(name)
}

// startLineHandler is the part of parsing that differs between requests and responses.
type startLineHandler interface {
	// checkPrefix checks the bytes of the start line that have arrived so far, so that input that is
	// no HTTP message is rejected without waiting for the line to end.
	checkPrefix(b []byte) error
	// handleEmptyLine handles an empty line where the start line should be.
	handleEmptyLine() error
	// parseStartLine parses the start line without its CRLF.
	parseStartLine(text []byte) error
	// finish checks the head once it is complete.
	finish() error
}

// parseLines parses the complete lines of b that have not been parsed. It returns the length of the head
// in bytes once the head is complete, 0 before.
func (h *head) parseLines(b []byte, handler startLineHandler) (int, error) {
	h.text = b
	for {
		if !h.startLineParsed && len(b) > h.lineStart {
			if err := handler.checkPrefix(b[h.lineStart:]); err != nil {
				return 0, err
			}
		}
		newline := bytes.IndexByte(b[h.scanned:], '\n')
		if newline < 0 {
			h.scanned = len(b)
			if len(b) >= h.Limits.HeadBytes {
				return 0, ErrHeadTooLong
			}
			return 0, nil
		}
		newline += h.scanned
		if newline >= h.Limits.HeadBytes {
			return 0, ErrHeadTooLong
		}
		if newline == h.lineStart || b[newline-1] != '\r' {
			return 0, ErrBareLF
		}
		text := b[h.lineStart : newline-1]
		textOffset := h.lineStart
		h.lineStart, h.scanned = newline+1, newline+1
		switch {
		case !h.startLineParsed:
			if len(text) == 0 {
				if err := handler.handleEmptyLine(); err != nil {
					return 0, err
				}
				continue
			}
			h.startLineParsed = true
			if err := handler.parseStartLine(text); err != nil {
				return 0, err
			}
		case len(text) == 0:
			h.text = b[: newline+1 : newline+1]
			return newline + 1, handler.finish()
		default:
			if err := h.parseField(uint32(textOffset), text); err != nil {
				return 0, err
			}
		}
	}
}

// parseField parses a field line without its CRLF, which starts at lineOffset in the message.
func (h *head) parseField(lineOffset uint32, line []byte) error {
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
	valueStart, valueEnd := colon+1, len(line)
	for valueStart < valueEnd && isBlank(line[valueStart]) {
		valueStart++
	}
	for valueEnd > valueStart && isBlank(line[valueEnd-1]) {
		valueEnd--
	}
	for _, c := range line[valueStart:valueEnd] {
		if c < ' ' && c != '\t' || c == 0x7f {
			return ErrControlByte
		}
	}
	f := fieldSpan{lineOffset, lineOffset + uint32(colon), lineOffset + uint32(valueStart), lineOffset + uint32(valueEnd)}
	h.fields = append(h.fields, f)
	return h.recordFraming(line[:colon], line[valueStart:valueEnd], f)
}

// recordFraming records the fields that determine the framing of the body and the use of the connection.
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

// checkFraming checks that the framing fields don't contradict each other, and evaluates the options of
// the Connection fields.
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
	h.eachConnectionOption(func(option []byte) bool {
		switch {
		case equalFold(option, "close"):
			h.closeOption = true
		case equalFold(option, "keep-alive"):
			h.keepAliveOption = true
		case equalFold(option, "upgrade"):
			h.upgradeOption = true
		case equalFold(option, "host"), equalFold(option, "content-length"), equalFold(option, "transfer-encoding"):
			err = ErrConnectionOption
		case !isToken(option):
			err = ErrConnectionOption
		}
		return err == nil
	})
	return err
}

// parseDecimal parses 1*DIGIT, without sign, blanks or list, of at most 18 digits, so that the value fits
// the length of a body, an int64.
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

// tokenBytes states for each byte whether it may occur in a token, RFC 9110, 5.6.2.
var tokenBytes = func() (allowed [256]bool) {
	for c := range 256 {
		allowed[c] = c >= '0' && c <= '9' || c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' ||
			c < 0x80 && strings.IndexByte("!#$%&'*+-.^_`|~", byte(c)) >= 0
	}
	return allowed
}()

// isToken reports whether b is a token, RFC 9110, 5.6.2.
func isToken(b []byte) bool {
	for _, c := range b {
		if !tokenBytes[c] {
			return false
		}
	}
	return len(b) > 0
}

// isBlank reports whether c is a space or a tab.
func isBlank(c byte) bool { return c == ' ' || c == '\t' }

// trimBlanks returns b without the spaces and tabs at its start and end.
func trimBlanks(b []byte) []byte {
	for len(b) > 0 && isBlank(b[0]) {
		b = b[1:]
	}
	for len(b) > 0 && isBlank(b[len(b)-1]) {
		b = b[:len(b)-1]
	}
	return b
}

// EqualFieldName reports whether name is the name of the field, compared without regard to case.
func EqualFieldName(name []byte, field string) bool { return equalFold(name, field) }

// equalFold reports whether b equals name, which must be ASCII, without regard to case.
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

// String returns the framing as tests and logs show it.
func (f Framing) String() string {
	return [...]string{"none", "length", "chunked", "until close"}[f]
}

// String returns the field as tests show it, with a quoted value.
func (f Field) String() string { return fmt.Sprintf("%s: %q", f.Name, f.Value) }
