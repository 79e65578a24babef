package http1

import "bytes"

// Request is a request's head.
type Request struct {
	head
	method, target  fieldSpan
	hostFields      int
	host            fieldSpan
	expectsContinue bool
	emptyLineSeen   bool // an empty line came before the start line
}

// NewRequest returns a Request that keeps these limits.
func NewRequest(l Limits) *Request {
	r := &Request{head: head{Limits: l}}
	r.Reset()
	return r
}

// Reset forgets the head that has been read.
func (r *Request) Reset() {
	h := r.head
	h.reset()
	*r = Request{head: h}
}

// Parse takes the bytes that have come since the last Reset, each time all of them. It returns
// the length of the head once it is whole, 0 while it is not, and an *Error for what can't be
// used, as soon as that shows.
func (r *Request) Parse(b []byte) (int, error) {
	return r.parseLines(b, r)
}

func (r *Request) checkPrefix(b []byte) error {
	if b[0] != '\r' && !tokenBytes[b[0]] {
		return ErrStartLine
	}
	return nil
}

// handleEmptyLine allows one empty line ahead: some clients end a body with one, RFC 9112, 2.2.
func (r *Request) handleEmptyLine() error {
	if r.emptyLineSeen {
		return ErrStartLine
	}
	r.emptyLineSeen = true
	return nil
}

func (r *Request) parseStartLine(line []byte) error {
	at := uint32(r.lineStart - len(line) - 2)
	i := bytes.IndexByte(line, ' ')
	j := bytes.LastIndexByte(line, ' ')
	switch {
	case i < 0 || i == j:
		return ErrStartLine
	case !isToken(line[:i]):
		return ErrMethod
	}
	switch version := line[j+1:]; {
	case string(version) == "HTTP/1.1":
	case len(version) == 8 && string(version[:5]) == "HTTP/" && version[6] == '.':
		return ErrVersion
	default:
		return ErrStartLine
	}
	r.method = fieldSpan{valueStart: at, valueEnd: at + uint32(i)}
	r.target = fieldSpan{valueStart: at + uint32(i) + 1, valueEnd: at + uint32(j)}
	return checkTarget(line[i+1:j], line[:i])
}

// checkTarget takes the origin form, the absolute form of http, and * for OPTIONS. CONNECT
// has the authority form and asks for a tunnel, which this is none of.
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

const httpScheme = "http://"

func isAbsoluteForm(target []byte) bool {
	return len(target) > len(httpScheme) && equalFold(target[:len(httpScheme)], httpScheme)
}

// finish checks a head that is whole.
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
		if i := bytes.IndexAny(authority, "/?"); i >= 0 {
			authority = authority[:i]
		}
		if len(authority) == 0 || !bytes.EqualFold(authority, host) {
			return ErrAuthorityMismatch
		}
		r.target.valueStart += uint32(len(httpScheme) + len(authority))
		if t := r.text[r.target.valueStart:r.target.valueEnd]; len(t) > 0 && t[0] == '?' {
			return ErrTarget // its path is empty, and the origin form has none for that
		}
	}
	return nil
}

// isHost tells whether a text may be a Host: a name, an IPv4 or a bracketed IPv6 address, and
// a port. It may be empty, RFC 9112, 3.2.
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

// Method is the request's method.
func (r *Request) Method() []byte { return r.text[r.method.valueStart:r.method.valueEnd] }

// Target is the request's target in origin form, or *.
func (r *Request) Target() []byte {
	if t := r.text[r.target.valueStart:r.target.valueEnd]; len(t) > 0 {
		return t
	}
	return []byte("/")
}

// Path is the target without its query.
func (r *Request) Path() []byte {
	path, _, _ := bytes.Cut(r.Target(), []byte("?"))
	return path
}

// Host is the host that the request is for.
func (r *Request) Host() []byte { return r.text[r.host.valueStart:r.host.valueEnd] }

// ExpectsContinue tells whether the client waits for a 100 before it sends the body.
func (r *Request) ExpectsContinue() bool { return r.expectsContinue }

// Framing is how the body ends.
func (r *Request) Framing() Framing {
	switch {
	case r.transferEncodingFields > 0:
		return Chunked
	case r.contentLength > 0:
		return FixedLength
	}
	return NoBody
}
