package http1

// Response is an answer's head.
type Response struct {
	head
	status   int
	isHTTP10 bool // HTTP/1.0
}

// NewResponse returns an Answer that keeps these limits.
func NewResponse(l Limits) *Response {
	a := &Response{head: head{Limits: l}}
	a.Reset()
	return a
}

// Reset forgets the head that has been read.
func (a *Response) Reset() {
	h := a.head
	h.reset()
	*a = Response{head: h}
}

// protocolPrefix is what an answer begins with.
const protocolPrefix = "HTTP/1."

// Parse takes the bytes that have come since the last Reset, each time all of them. It returns
// the length of the head once it is whole, 0 while it is not, and an *Error for what can't be
// used, as soon as that shows.
func (a *Response) Parse(b []byte) (int, error) {
	return a.parseLines(b, a)
}

func (a *Response) checkPrefix(b []byte) error {
	if n := min(len(b), len(protocolPrefix)); string(b[:n]) != protocolPrefix[:n] {
		return ErrStatusLine
	}
	return nil
}

func (a *Response) handleEmptyLine() error { return ErrStatusLine }

// parseStartLine takes it with or without the blank after the status, which is needed and
// often left out where the reason is empty, RFC 9112, 4.
func (a *Response) parseStartLine(line []byte) error {
	const at = len(protocolPrefix) + 2
	if len(line) < at+3 || line[at-1] != ' ' || len(line) > at+3 && line[at+3] != ' ' {
		return ErrStatusLine
	}
	switch line[len(protocolPrefix)] {
	case '1':
	case '0':
		a.isHTTP10 = true
	default:
		return ErrVersion
	}
	for _, c := range line[at+3:] {
		if c < ' ' && c != '\t' || c == 0x7f {
			return ErrStatusLine
		}
	}
	status, ok := parseDecimal(line[at : at+3])
	if !ok || status < 100 || status > 599 {
		return ErrStatusLine
	}
	a.status = int(status)
	return nil
}

func (a *Response) finish() error {
	if err := a.checkFraming(); err != nil {
		return err
	}
	switch {
	case a.isHTTP10 && a.transferEncodingFields > 0:
		return errTransferEncodingInHTTP10
	case (a.status < 200 || a.status == 204) && (a.transferEncodingFields > 0 || a.contentLength > 0):
		return ErrFramingWithoutBody
	}
	if a.isHTTP10 && !a.keepAliveOption {
		a.closeOption = true
	}
	return nil
}

// Status is the answer's status, from 100 to 599.
func (a *Response) Status() int { return a.status }

// IsInterim tells whether another answer follows.
func (a *Response) IsInterim() bool { return a.status < 200 && a.status != 101 }

// Framing is how the body ends, RFC 9112, 6.3. A body that ends with the connection is taken
// only where the head says that the connection ends: it could not be told from one that broke
// off. toHead tells that the request was HEAD: its answer has no body whatever it says.
func (a *Response) Framing(toHead bool) (Framing, error) {
	switch {
	case a.status < 200 || a.status == 204 || a.status == 304 || toHead:
		return NoBody, nil
	case a.transferEncodingFields > 0:
		return Chunked, nil
	case a.contentLength == 0:
		return NoBody, nil
	case a.contentLength > 0:
		return FixedLength, nil
	case !a.closeOption:
		return NoBody, ErrUndelimitedBody
	}
	return UntilClose, nil
}
