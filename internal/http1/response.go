package http1

// Response is the parsed head of a response. It is reused from message to message and not safe for
// concurrent use.
type Response struct {
	head
	status   int
	isHTTP10 bool
}

// NewResponse returns a Response that enforces the limits l.
func NewResponse(l Limits) *Response {
	r := &Response{head: head{Limits: l}}
	r.Reset()
	return r
}

// Reset prepares the Response for the next message.
func (r *Response) Reset() {
	h := r.head
	h.reset()
	*r = Response{head: h}
}

// protocolPrefix is the start of every response, up to the minor version.
const protocolPrefix = "HTTP/1."

// Parse parses a head from b, which must hold all bytes received since the last Reset, not only the new
// ones. It returns the length of the head in bytes once it is complete, 0 while it is not, and an
// *[Error] for an invalid head as soon as it is found. The result points into b.
func (r *Response) Parse(b []byte) (int, error) {
	return r.parseLines(b, r)
}

// checkPrefix implements [startLineHandler].
func (r *Response) checkPrefix(b []byte) error {
	if n := min(len(b), len(protocolPrefix)); string(b[:n]) != protocolPrefix[:n] {
		return ErrStatusLine
	}
	return nil
}

// handleEmptyLine implements [startLineHandler]. An empty line before a response is not allowed.
func (r *Response) handleEmptyLine() error { return ErrStatusLine }

// parseStartLine implements [startLineHandler]. It accepts a status line without the blank after the
// status: RFC 9112, 4, requires it, but many servers omit it where the reason is empty.
func (r *Response) parseStartLine(line []byte) error {
	const statusStart = len(protocolPrefix) + 2 // after the minor version and a blank
	if len(line) < statusStart+3 || line[statusStart-1] != ' ' || len(line) > statusStart+3 && line[statusStart+3] != ' ' {
		return ErrStatusLine
	}
	switch line[len(protocolPrefix)] {
	case '1':
	case '0':
		r.isHTTP10 = true
	default:
		return ErrVersion
	}
	for _, c := range line[statusStart+3:] {
		if c < ' ' && c != '\t' || c == 0x7f {
			return ErrStatusLine
		}
	}
	status, ok := parseDecimal(line[statusStart : statusStart+3])
	if !ok || status < 100 || status > 599 {
		return ErrStatusLine
	}
	r.status = int(status)
	return nil
}

// finish implements [startLineHandler].
func (r *Response) finish() error {
	if err := r.checkFraming(); err != nil {
		return err
	}
	switch {
	case r.isHTTP10 && r.transferEncodingFields > 0:
		return errTransferEncodingInHTTP10
	case (r.status < 200 || r.status == 204) && (r.transferEncodingFields > 0 || r.contentLength > 0):
		return ErrFramingWithoutBody
	}
	if r.isHTTP10 && !r.keepAliveOption {
		r.closeOption = true
	}
	return nil
}

// Status returns the status code, from 100 to 599.
func (r *Response) Status() int { return r.status }

// IsInterim reports whether another response to the same request follows. 101 is a final response.
func (r *Response) IsInterim() bool { return r.status < 200 && r.status != 101 }

// Framing returns how the end of the body is found, RFC 9112, 6.3. toHead states that the request's method
// was HEAD: the response then has no body, whatever its fields say. A body that ends with the connection
// is accepted only if the head announces that the connection closes; otherwise it could not be
// distinguished from a body that broke off, and Framing returns [ErrUndelimitedBody].
func (r *Response) Framing(toHead bool) (Framing, error) {
	switch {
	case r.status < 200 || r.status == 204 || r.status == 304 || toHead:
		return NoBody, nil
	case r.transferEncodingFields > 0:
		return Chunked, nil
	case r.contentLength == 0:
		return NoBody, nil
	case r.contentLength > 0:
		return FixedLength, nil
	case !r.closeOption:
		return NoBody, ErrUndelimitedBody
	}
	return UntilClose, nil
}
