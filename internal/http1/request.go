package http1

import "bytes"

// Request is the parsed head of a request. It is reused from message to message and not safe for
// concurrent use.
type Request struct {
	head
	method, target  fieldSpan // without a name: only valueStart and valueEnd are set
	hostFields      int       // number of Host fields
	host            fieldSpan
	expectsContinue bool
	emptyLineSeen   bool // there was an empty line before the start line
}

// NewRequest returns a Request that enforces the limits l.
func NewRequest(l Limits) *Request {
	r := &Request{head: head{Limits: l}}
	r.Reset()
	return r
}

// Reset prepares the Request for the next message.
func (r *Request) Reset() {
	h := r.head
	h.reset()
	*r = Request{head: h}
}

// Parse parses a head from b, which must hold all bytes received since the last Reset, not only the new
// ones. It returns the length of the head in bytes once it is complete, 0 while it is not, and an
// *[Error] for an invalid head as soon as it is found. The result points into b.
func (r *Request) Parse(b []byte) (int, error) {
	return r.parseLines(b, r)
}

// checkPrefix implements [startLineHandler].
func (r *Request) checkPrefix(b []byte) error {
	if b[0] != '\r' && !tokenBytes[b[0]] {
		return ErrStartLine
	}
	return nil
}

// handleEmptyLine implements [startLineHandler]. It accepts one empty line before the request, because
// some clients send one after a body, RFC 9112, 2.2.
func (r *Request) handleEmptyLine() error {
	if r.emptyLineSeen {
		return ErrStartLine
	}
	r.emptyLineSeen = true
	return nil
}

// parseStartLine implements [startLineHandler]. It must be called when lineStart is already the offset of
// the next line.
func (r *Request) parseStartLine(line []byte) error {
	lineOffset := uint32(r.lineStart - len(line) - 2)
	firstBlank := bytes.IndexByte(line, ' ')
	lastBlank := bytes.LastIndexByte(line, ' ')
	switch {
	case firstBlank < 0 || firstBlank == lastBlank:
		return ErrStartLine
	case !isToken(line[:firstBlank]):
		return ErrMethod
	}
	switch version := line[lastBlank+1:]; {
	case string(version) == "HTTP/1.1":
	case len(version) == 8 && string(version[:5]) == "HTTP/" && version[6] == '.':
		return ErrVersion
	default:
		return ErrStartLine
	}
	r.method = fieldSpan{valueStart: lineOffset, valueEnd: lineOffset + uint32(firstBlank)}
	r.target = fieldSpan{valueStart: lineOffset + uint32(firstBlank) + 1, valueEnd: lineOffset + uint32(lastBlank)}
	return checkTarget(line[firstBlank+1:lastBlank], line[:firstBlank])
}

// checkTarget accepts the origin form, the absolute form with the scheme http, and * for OPTIONS. It
// rejects the authority form of CONNECT, which asks for a tunnel, because the sidecar opens no tunnels.
func checkTarget(target, method []byte) error {
	switch {
	case string(target) == "*":
		if string(method) != "OPTIONS" {
			return ErrTarget
		}
		return nil
	case len(target) == 0 || target[0] != '/' && !isAbsoluteForm(target):
		return ErrTarget
	}
	for i := 0; i < len(target); i++ {
		switch c := target[i]; {
		case c <= ' ' || c >= 0x7f || c == '#':
			return ErrTarget
		case c == '%':
			if i+2 >= len(target) || hexValue[target[i+1]] < 0 || hexValue[target[i+2]] < 0 {
				return ErrTarget
			}
		}
	}
	return nil
}

// httpScheme is the start of a target in absolute form.
const httpScheme = "http://"

// isAbsoluteForm reports whether a target has the absolute form with the scheme http.
func isAbsoluteForm(target []byte) bool {
	return len(target) > len(httpScheme) && equalFold(target[:len(httpScheme)], httpScheme)
}

// finish implements [startLineHandler]. It brings a target in absolute form into origin form.
func (r *Request) finish() error {
	for i := range r.fields {
		f := r.fields[i]
		switch name := r.text[f.nameStart:f.nameEnd]; {
		case equalFold(name, "host"):
			r.hostFields++
			r.host = f
		case equalFold(name, "expect"):
			if !equalFold(r.text[f.valueStart:f.valueEnd], "100-continue") {
				return ErrUnsupportedExpectation
			}
			r.expectsContinue = true
		}
	}
	host := r.text[r.host.valueStart:r.host.valueEnd]
	if r.hostFields != 1 || !isHost(host) {
		return ErrHost
	}
	if err := r.checkFraming(); err != nil {
		return err
	}
	if target := r.text[r.target.valueStart:r.target.valueEnd]; isAbsoluteForm(target) {
		authority := target[len(httpScheme):]
		if authorityLen := bytes.IndexAny(authority, "/?"); authorityLen >= 0 {
			authority = authority[:authorityLen]
		}
		if len(authority) == 0 || !bytes.EqualFold(authority, host) {
			return ErrAuthorityMismatch
		}
		r.target.valueStart += uint32(len(httpScheme) + len(authority))
		if t := r.text[r.target.valueStart:r.target.valueEnd]; len(t) > 0 && t[0] == '?' {
			return ErrTarget // the path is empty, which the origin form can't express
		}
	}
	return nil
}

// isHost reports whether b consists only of bytes that may occur in the value of Host: a name, an IPv4
// address or a bracketed IPv6 address, and a port. The value may be empty, RFC 9112, 3.2.
func isHost(b []byte) bool {
	for _, c := range b {
		switch {
		case c >= '0' && c <= '9', c >= 'a' && c <= 'z', c >= 'A' && c <= 'Z':
		case bytes.IndexByte([]byte("-._~!$&'()*+,;=:[]%"), c) >= 0:
		default:
			return false
		}
	}
	return true
}

// Method returns the method.
func (r *Request) Method() []byte { return r.text[r.method.valueStart:r.method.valueEnd] }

// Target returns the target in origin form, or *.
func (r *Request) Target() []byte {
	if t := r.text[r.target.valueStart:r.target.valueEnd]; len(t) > 0 {
		return t
	}
	return []byte("/")
}

// Path returns the target without its query.
func (r *Request) Path() []byte {
	path, _, _ := bytes.Cut(r.Target(), []byte("?"))
	return path
}

// Host returns the value of the Host field.
func (r *Request) Host() []byte { return r.text[r.host.valueStart:r.host.valueEnd] }

// ExpectsContinue reports whether the client waits for the interim response 100 before it sends the body.
func (r *Request) ExpectsContinue() bool { return r.expectsContinue }

// Framing returns how the end of the body is found. It is never [UntilClose].
func (r *Request) Framing() Framing {
	switch {
	case r.transferEncodingFields > 0:
		return Chunked
	case r.contentLength > 0:
		return FixedLength
	}
	return NoBody
}
