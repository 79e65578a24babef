package http1

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/valyala/fasthttp"
	"pgregory.net/rapid"
)

// smallLimits are low enough for the test cases to exceed them.
var smallLimits = Limits{HeadBytes: 4 << 10, Fields: 20, ChunkLineBytes: 64, TrailerBytes: 256}

// requestCases are requests that are rejected, with their error, and requests that are accepted, with the
// canonical form in which they are forwarded. docs/design/0003-http1.md shows them by section of the RFC.
var requestCases = []struct {
	name, text string
	err        error
	forwarded  string // as describeRequest returns it
}{
	{"plain", "GET /a?b=%2f HTTP/1.1\r\nHost: a.b:80\r\n\r\n", nil, "GET /a?b=%2f a.b:80 none -1"},
	{"length", "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n\r\nabc", nil, "POST / a length 3"},
	{"length with blanks around it", "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: \t 3 \r\n\r\nabc", nil, "POST / a length 3"},
	{"chunks", "POST / HTTP/1.1\r\nhost: a\r\ntransfer-encoding: Chunked\r\n\r\n0\r\n\r\n", nil, "POST / a chunked -1"},
	{"an empty line before the start line", "\r\nGET / HTTP/1.1\r\nHost: a\r\n\r\n", nil, "GET / a none -1"},
	{"two empty lines before the start line", "\r\n\r\nGET / HTTP/1.1\r\nHost: a\r\n\r\n", ErrStartLine, ""},
	{"absolute form", "GET HTTP://a/x HTTP/1.1\r\nHost: A\r\n\r\n", nil, "GET /x A none -1"},
	{"absolute form, no path", "GET http://a HTTP/1.1\r\nHost: a\r\n\r\n", nil, "GET / a none -1"},
	{"absolute form, query without a path", "GET http://a?x HTTP/1.1\r\nHost: a\r\n\r\n", ErrTarget, ""},
	{"absolute form with another host than Host", "GET http://b/x HTTP/1.1\r\nHost: a\r\n\r\n", ErrAuthorityMismatch, ""},
	{"user in the authority", "GET http://u@a/x HTTP/1.1\r\nHost: a\r\n\r\n", ErrAuthorityMismatch, ""},
	{"another scheme", "GET ftp://a/x HTTP/1.1\r\nHost: a\r\n\r\n", ErrTarget, ""},
	{"authority form", "CONNECT a:443 HTTP/1.1\r\nHost: a:443\r\n\r\n", ErrTarget, ""},
	{"asterisk", "OPTIONS * HTTP/1.1\r\nHost: a\r\n\r\n", nil, "OPTIONS * a none -1"},
	{"asterisk with another method than OPTIONS", "GET * HTTP/1.1\r\nHost: a\r\n\r\n", ErrTarget, ""},
	{"no leading slash", "GET a HTTP/1.1\r\nHost: a\r\n\r\n", ErrTarget, ""},
	{"a fragment", "GET /a#b HTTP/1.1\r\nHost: a\r\n\r\n", ErrTarget, ""},
	{"a truncated percent escape", "GET /%2 HTTP/1.1\r\nHost: a\r\n\r\n", ErrTarget, ""},
	{"a percent escape that is not hexadecimal", "GET /%zz HTTP/1.1\r\nHost: a\r\n\r\n", ErrTarget, ""},
	{"a non-ASCII byte in the target", "GET /\xff HTTP/1.1\r\nHost: a\r\n\r\n", ErrTarget, ""},
	{"a control byte in the target", "GET /\x01 HTTP/1.1\r\nHost: a\r\n\r\n", ErrTarget, ""},
	{"two blanks in the start line", "GET  / HTTP/1.1\r\nHost: a\r\n\r\n", ErrTarget, ""},
	{"a tab in the start line", "GET\t/ HTTP/1.1\r\nHost: a\r\n\r\n", ErrStartLine, ""},
	{"a blank after the version", "GET / HTTP/1.1 \r\nHost: a\r\n\r\n", ErrStartLine, ""},
	{"no version", "GET /\r\n\r\n", ErrStartLine, ""},
	{"HTTP/1.0", "GET / HTTP/1.0\r\nHost: a\r\n\r\n", ErrVersion, ""},
	{"HTTP/1.2", "GET / HTTP/1.2\r\nHost: a\r\n\r\n", ErrVersion, ""},
	{"HTTP/2.0", "PRI * HTTP/2.0\r\n\r\n", ErrVersion, ""},
	{"HTTP in lower case", "GET / http/1.1\r\nHost: a\r\n\r\n", ErrStartLine, ""},
	{"a method that is no token", "G(T / HTTP/1.1\r\nHost: a\r\n\r\n", ErrMethod, ""},
	{"bytes that are not HTTP", "\x16\x03\x01\x02", ErrStartLine, ""},
	{"bare LF in the start line", "GET / HTTP/1.1\nHost: a\r\n\r\n", ErrBareLF, ""},
	{"bare LF in a field", "GET / HTTP/1.1\r\nHost: a\nX: b\r\n\r\n", ErrBareLF, ""},
	{"bare LF at the end of the head", "GET / HTTP/1.1\r\nHost: a\r\n\n", ErrBareLF, ""},
	{"bare CR in the start line", "GET /\rx HTTP/1.1\r\nHost: a\r\n\r\n", ErrTarget, ""},
	{"bare CR in a field", "GET / HTTP/1.1\r\nHost: a\r\nX: a\rContent-Length: 3\r\n\r\n", ErrControlByte, ""},
	{"bare CR before the line end", "GET / HTTP/1.1\r\nHost: a\r\nX: a\r\r\n\r\n", ErrControlByte, ""},
	{"NUL in a field", "GET / HTTP/1.1\r\nHost: a\r\nX: a\x00b\r\n\r\n", ErrControlByte, ""},
	{"DEL in a field", "GET / HTTP/1.1\r\nHost: a\r\nX: a\x7fb\r\n\r\n", ErrControlByte, ""},
	{"non-ASCII bytes in a value", "GET / HTTP/1.1\r\nHost: a\r\nX: \xc3\xa9\r\n\r\n", nil, "GET / a none -1"},
	{"non-ASCII bytes in a name", "GET / HTTP/1.1\r\nHost: a\r\nX\xc3\xa9: b\r\n\r\n", ErrFieldName, ""},
	{"a control byte in a name", "GET / HTTP/1.1\r\nHost: a\r\nX\x01: b\r\n\r\n", ErrFieldName, ""},
	{"a blank before the colon", "POST / HTTP/1.1\r\nHost: a\r\nContent-Length : 3\r\n\r\nabc", ErrFieldName, ""},
	{"a tab before the colon", "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding\t: chunked\r\n\r\n", ErrFieldName, ""},
	{"an empty field name", "GET / HTTP/1.1\r\nHost: a\r\n: b\r\n\r\n", ErrFieldName, ""},
	{"no colon", "GET / HTTP/1.1\r\nHost: a\r\nX\r\n\r\n", ErrFieldName, ""},
	{"a folded line", "GET / HTTP/1.1\r\nHost: a\r\nX: b\r\n c\r\n\r\n", ErrLineFolding, ""},
	{"folding before the first field", "GET / HTTP/1.1\r\n Host: a\r\n\r\n", ErrLineFolding, ""},
	{"a folded Transfer-Encoding", "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding:\r\n\tchunked\r\n\r\n", ErrLineFolding, ""},
	{"no Host", "GET / HTTP/1.1\r\n\r\n", ErrHost, ""},
	{"two Hosts", "GET / HTTP/1.1\r\nHost: a\r\nHost: b\r\n\r\n", ErrHost, ""},
	{"two equal Hosts", "GET / HTTP/1.1\r\nHost: a\r\nhost: a\r\n\r\n", ErrHost, ""},
	{"an empty Host", "GET / HTTP/1.1\r\nHost:\r\n\r\n", nil, "GET /  none -1"},
	{"a path in Host", "GET / HTTP/1.1\r\nHost: a/b\r\n\r\n", ErrHost, ""},
	{"a user in Host", "GET / HTTP/1.1\r\nHost: u@a\r\n\r\n", ErrHost, ""},
	{"two names in Host", "GET / HTTP/1.1\r\nHost: a b\r\n\r\n", ErrHost, ""},
	{"Content-Length before Transfer-Encoding", "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", ErrLengthWithTransferEncoding, ""},
	{"Transfer-Encoding before Content-Length", "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\nContent-Length: 5\r\n\r\n0\r\n\r\n", ErrLengthWithTransferEncoding, ""},
	{"two equal lengths", "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\nContent-Length: 3\r\n\r\nabc", ErrDuplicateContentLength, ""},
	{"two different lengths", "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\nabc", ErrDuplicateContentLength, ""},
	{"a list of lengths", "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 3, 3\r\n\r\nabc", ErrContentLength, ""},
	{"a signed length", "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: +3\r\n\r\nabc", ErrContentLength, ""},
	{"a negative length", "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: -3\r\n\r\nabc", ErrContentLength, ""},
	{"a blank in a length", "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 1 3\r\n\r\nabc", ErrContentLength, ""},
	{"an empty length", "POST / HTTP/1.1\r\nHost: a\r\nContent-Length:\r\n\r\nabc", ErrContentLength, ""},
	{"a length in hex", "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 0x3\r\n\r\nabc", ErrContentLength, ""},
	{"a length with an underscore", "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 1_0\r\n\r\nabc", ErrContentLength, ""},
	{"a length of 2^64", "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 18446744073709551616\r\n\r\nabc", ErrContentLength, ""},
	{"a length of non-ASCII digits", "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: \xd9\xa3\r\n\r\nabc", ErrContentLength, ""},
	{"an unknown transfer coding", "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: xchunked\r\n\r\n", ErrUnsupportedTransferEncoding, ""},
	{"gzip, chunked", "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: gzip, chunked\r\n\r\n", ErrUnsupportedTransferEncoding, ""},
	{"chunked, identity", "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked, identity\r\n\r\n", ErrUnsupportedTransferEncoding, ""},
	{"identity", "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: identity\r\n\r\n", ErrUnsupportedTransferEncoding, ""},
	{"chunked twice in one field", "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked, chunked\r\n\r\n", ErrUnsupportedTransferEncoding, ""},
	{"chunked quoted", "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: \"chunked\"\r\n\r\n", ErrUnsupportedTransferEncoding, ""},
	{"chunked with a parameter", "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked;q=1\r\n\r\n", ErrUnsupportedTransferEncoding, ""},
	{"chunked after a control byte", "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: \x0bchunked\r\n\r\n", ErrControlByte, ""},
	{"an empty Transfer-Encoding", "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding:\r\n\r\n", ErrUnsupportedTransferEncoding, ""},
	{"two Transfer-Encodings", "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\nTransfer-Encoding: identity\r\n\r\n", ErrDuplicateTransferEncoding, ""},
	{"Transfer-Encoding in HTTP/1.0", "POST / HTTP/1.0\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n", ErrVersion, ""},
	{"Connection names a length", "POST / HTTP/1.1\r\nHost: a\r\nConnection: close, content-length\r\nContent-Length: 3\r\n\r\nabc", ErrConnectionOption, ""},
	{"Connection names Host", "GET / HTTP/1.1\r\nHost: a\r\nConnection: Host\r\n\r\n", ErrConnectionOption, ""},
	{"Connection is no list of tokens", "GET / HTTP/1.1\r\nHost: a\r\nConnection: a b\r\n\r\n", ErrConnectionOption, ""},
	{"another expectation", "POST / HTTP/1.1\r\nHost: a\r\nExpect: 200-ok\r\nContent-Length: 3\r\n\r\nabc", ErrUnsupportedExpectation, ""},
	{"a long head", "GET / HTTP/1.1\r\nHost: a\r\nX: " + strings.Repeat("x", 5000), ErrHeadTooLong, ""},
	{"a long line", "GET /" + strings.Repeat("x", 5000), ErrHeadTooLong, ""},
	{"many fields", "GET / HTTP/1.1\r\nHost: a\r\n" + strings.Repeat("X: b\r\n", 30) + "\r\n", ErrTooManyFields, ""},
}

// describeRequest returns the method, target, host, framing and content length of a request.
func describeRequest(r *Request) string {
	return fmt.Sprintf("%s %s %s %s %d", r.Method(), r.Target(), r.Host(), r.Framing(), r.ContentLength())
}

// Each request must be rejected with its error, or be accepted with the right head length and canonical form.
func TestRequestParse(t *testing.T) {
	for _, c := range requestCases {
		r := NewRequest(smallLimits)
		n, err := r.Parse([]byte(c.text))
		if err != c.err {
			t.Errorf("%s: %v, want %v", c.name, err, c.err)
			continue
		}
		if err == nil {
			if n != strings.Index(c.text[2:], "\r\n\r\n")+6 {
				t.Errorf("%s: head of %d bytes", c.name, n)
			}
			if got := describeRequest(r); got != c.forwarded {
				t.Errorf("%s: forwarded as %q, want %q", c.name, got, c.forwarded)
			}
		}
	}
}

// The result of parsing must not depend on how the bytes of a head arrive: in two pieces, cut at every
// offset, or one byte at a time.
func TestRequestParseFromPartialInput(t *testing.T) {
	for _, c := range requestCases {
		if len(c.text) > 1000 {
			continue
		}
		for cut := range len(c.text) {
			r := NewRequest(smallLimits)
			n, err := r.Parse([]byte(c.text[:cut]))
			if n == 0 && err == nil {
				n, err = r.Parse([]byte(c.text))
			}
			if err != c.err || err == nil && describeRequest(r) != c.forwarded {
				t.Errorf("%s, cut at %d: %d, %v, want %v", c.name, cut, n, err, c.err)
			}
		}
		r := NewRequest(smallLimits)
		var n int
		var err error
		for i := 1; i <= len(c.text) && n == 0 && err == nil; i++ {
			n, err = r.Parse([]byte(c.text[:i]))
		}
		if err != c.err || err == nil && describeRequest(r) != c.forwarded {
			t.Errorf("%s, a byte at a time: %d, %v, want %v", c.name, n, err, c.err)
		}
	}
}

// responseCases are responses with the error of Parse or Framing, or the framing of their body.
var responseCases = []struct {
	name, text string
	toHead     bool
	err        error
	framing    Framing
}{
	{"plain", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n", false, nil, FixedLength},
	{"no reason", "HTTP/1.1 200\r\nContent-Length: 2\r\n\r\n", false, nil, FixedLength},
	{"chunks", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", false, nil, Chunked},
	{"until the connection closes", "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n", false, nil, UntilClose},
	{"until the connection closes, HTTP/1.0", "HTTP/1.0 200 OK\r\n\r\n", false, nil, UntilClose},
	{"HTTP/1.0 without an end on a persistent connection", "HTTP/1.0 200 OK\r\nConnection: keep-alive\r\n\r\n", false, ErrUndelimitedBody, 0},
	{"HTTP/1.1 without an end", "HTTP/1.1 200 OK\r\n\r\n", false, ErrUndelimitedBody, 0},
	{"204", "HTTP/1.1 204 No\r\n\r\n", false, nil, NoBody},
	{"204 with a length", "HTTP/1.1 204 No\r\nContent-Length: 2\r\n\r\n", false, ErrFramingWithoutBody, 0},
	{"204 with chunks", "HTTP/1.1 204 No\r\nTransfer-Encoding: chunked\r\n\r\n", false, ErrFramingWithoutBody, 0},
	{"304 with the length of the body that it does not send", "HTTP/1.1 304 No\r\nContent-Length: 2\r\n\r\n", false, nil, NoBody},
	{"to HEAD", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n", true, nil, NoBody},
	{"to HEAD, chunks", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", true, nil, NoBody},
	{"interim with a length", "HTTP/1.1 100 Go\r\nContent-Length: 2\r\n\r\n", false, ErrFramingWithoutBody, 0},
	{"interim", "HTTP/1.1 103 Hints\r\nLink: a\r\n\r\n", false, nil, NoBody},
	{"status of two digits", "HTTP/1.1 20 OK\r\n\r\n", false, ErrStatusLine, 0},
	{"status of four digits", "HTTP/1.1 2000 OK\r\n\r\n", false, ErrStatusLine, 0},
	{"status 600", "HTTP/1.1 600 Oh\r\n\r\n", false, ErrStatusLine, 0},
	{"status 99", "HTTP/1.1 099 Oh\r\n\r\n", false, ErrStatusLine, 0},
	{"signed status", "HTTP/1.1 +20 OK\r\n\r\n", false, ErrStatusLine, 0},
	{"two blanks", "HTTP/1.1  200 OK\r\n\r\n", false, ErrStatusLine, 0},
	{"HTTP/1.2", "HTTP/1.2 200 OK\r\n\r\n", false, ErrVersion, 0},
	{"bytes that are not HTTP", "\x00\xff", false, ErrStatusLine, 0},
	{"an empty line before the start line", "\r\nHTTP/1.1 200 OK\r\n\r\n", false, ErrStatusLine, 0},
	{"bare LF", "HTTP/1.1 200 OK\nContent-Length: 2\n\n", false, ErrBareLF, 0},
	{"bare CR", "HTTP/1.1 200 OK\r\nX: a\rb\r\n\r\n", false, ErrControlByte, 0},
	{"CR in the reason", "HTTP/1.1 200 O\rK\r\n\r\n", false, ErrStatusLine, 0},
	{"two equal lengths", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 2\r\n\r\n", false, ErrDuplicateContentLength, 0},
	{"Content-Length and Transfer-Encoding", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n", false, ErrLengthWithTransferEncoding, 0},
	{"a negative length", "HTTP/1.1 200 OK\r\nContent-Length: -2\r\n\r\n", false, ErrContentLength, 0},
	{"a length of 3 GB", "HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\n", false, nil, FixedLength},
	{"gzip, chunked", "HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip, chunked\r\n\r\n", false, ErrUnsupportedTransferEncoding, 0},
	{"chunks in HTTP/1.0", "HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", false, errTransferEncodingInHTTP10, 0},
	{"a folded line", "HTTP/1.1 200 OK\r\nX: a\r\n b\r\n\r\n", false, ErrLineFolding, 0},
}

// Each response must be rejected with its error, or be accepted with the right framing, whether it arrives at
// once or one byte at a time.
func TestResponseParse(t *testing.T) {
	for _, c := range responseCases {
		for _, atOnce := range []bool{true, false} {
			r := NewResponse(smallLimits)
			var n int
			var err error
			for i := 1; i <= len(c.text) && n == 0 && err == nil; i++ {
				if atOnce {
					i = len(c.text)
				}
				n, err = r.Parse([]byte(c.text[:i]))
			}
			var framing Framing
			if err == nil && n > 0 {
				framing, err = r.Framing(c.toHead)
			}
			if err != c.err || err == nil && (n != len(c.text) || framing != c.framing) {
				t.Errorf("%s, at once %v: %d, %v, %v, want %v, %v", c.name, atOnce, n, framing, err, c.framing, c.err)
			}
		}
	}
}

// chunkCases are chunked bodies with the error or the data that they decode to.
var chunkCases = []struct {
	name, text string
	err        error
	want       string // the data, empty if the body is rejected or incomplete
}{
	{"plain", "3\r\nabc\r\n0\r\n\r\n", nil, "abc"},
	{"two chunks", "3\r\nabc\r\nA\r\n0123456789\r\n000\r\n\r\n", nil, "abc0123456789"},
	{"extensions with CR in a quoted string", "1;a;b=c ; d=\"e;\\\"\r\"\r\nx\r\n0\r\n\r\n", ErrMalformedChunk, ""},
	{"valid extensions", "1;a;b=c ; d=\"e;\\\"\"\r\nx\r\n0;z\r\n\r\n", nil, "x"},
	{"trailers", "1\r\nx\r\n0\r\nX: y\r\nZ:\r\n\r\n", nil, "x"},
	{"an empty size", "\r\nx\r\n0\r\n\r\n", ErrMalformedChunk, ""},
	{"an extension without a size", ";a\r\nx\r\n0\r\n\r\n", ErrMalformedChunk, ""},
	{"a negative size", "-1\r\nx\r\n", ErrMalformedChunk, ""},
	{"a size of 0x", "0x1\r\nx\r\n", ErrMalformedChunk, ""},
	{"a blank before the size", " 1\r\nx\r\n", ErrMalformedChunk, ""},
	{"a blank after the size", "1 \r\nx\r\n", ErrMalformedChunk, ""},
	{"a size that overflows", "10000000000000001\r\nx\r\n", ErrMalformedChunk, ""},
	{"bare LF after a size", "1\nx\r\n0\r\n\r\n", ErrBareLF, ""},
	{"bare LF after data", "1\r\nx\n0\r\n\r\n", ErrMalformedChunk, ""},
	{"data longer than its size", "1\r\nxy\r\n0\r\n\r\n", ErrMalformedChunk, ""},
	{"a control byte in an extension", "1;a=\x01\r\nx\r\n", ErrMalformedChunk, ""},
	{"an extension of 64 KiB", "1;" + strings.Repeat("a", 64<<10), ErrChunkLineTooLong, ""},
	{"Content-Length as a trailer", "0\r\nContent-Length: 3\r\n\r\n", ErrInvalidTrailer, ""},
	{"Transfer-Encoding as a trailer", "0\r\nTransfer-Encoding: chunked\r\n\r\n", ErrInvalidTrailer, ""},
	{"Host as a trailer", "0\r\nhost: b\r\n\r\n", ErrInvalidTrailer, ""},
	{"X-Request-ID as a trailer", "0\r\nx-request-id: b\r\n\r\n", ErrInvalidTrailer, ""},
	{"a trailer without a colon", "0\r\nX y\r\n\r\n", ErrInvalidTrailer, ""},
	{"a folded trailer", "0\r\nX: y\r\n z\r\n\r\n", ErrInvalidTrailer, ""},
	{"bare LF after the trailers", "0\r\nX: y\r\n\n", ErrBareLF, ""},
	{"too many trailers", "0\r\n" + strings.Repeat("X: y\r\n", 100), ErrTrailersTooLong, ""},
	{"a trailer that is too long", "0\r\nX: " + strings.Repeat("y", 1000), ErrTrailersTooLong, ""},
	{"a truncated chunk", "3\r\nab", nil, ""},
}

// decodeChunked decodes a body that arrives in pieces of at most pieceBytes bytes. It returns the decoded data,
// the number of bytes consumed, and whether the end of the body was found.
func decodeChunked(text string, pieceBytes int, l Limits) (data string, consumed int, done bool, err error) {
	decoder := ChunkedDecoder{Limits: l}
	var decoded []byte
	var buf []byte
	for {
		for {
			p, n, err := decoder.Decode(buf)
			decoded = append(decoded, p...)
			consumed += n
			buf = buf[n:]
			if err != nil || decoder.Done() {
				return string(decoded), consumed, decoder.Done(), err
			}
			if n == 0 {
				break
			}
		}
		if text == "" {
			return string(decoded), consumed, false, nil
		}
		n := min(pieceBytes, len(text))
		buf = append(buf[:len(buf):len(buf)], text[:n]...)
		text = text[n:]
	}
}

// Each body must be rejected with its error, or be decoded to its data and consumed exactly, whatever the size
// of the pieces in which it arrives.
func TestChunkedDecoder(t *testing.T) {
	for _, c := range chunkCases {
		for _, pieceBytes := range []int{1, 2, 3, 7, 1 << 20} {
			data, consumed, done, err := decodeChunked(c.text, pieceBytes, smallLimits)
			if err != c.err || done != (c.want != "") && err == nil || done && (data != c.want || consumed != len(c.text)) {
				t.Errorf("%s, pieces of %d bytes: %q, %d, %v, %v, want %q, %v", c.name, pieceBytes, data, consumed, done, err, c.want, c.err)
			}
		}
	}
}

// ChunkedDecoder and net/http must both decode what AppendChunk and AppendLastChunk write to the same data.
// Bytes after the body must not be consumed.
func TestChunkedEncodingRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		parts := rapid.SliceOf(rapid.SliceOfN(rapid.Byte(), 1, 300)).Draw(t, "parts")
		var text, want []byte
		for _, p := range parts {
			text, want = AppendChunk(text, p), append(want, p...)
		}
		text = AppendLastChunk(text, nil)
		got, consumed, done, err := decodeChunked(string(text)+"rest", rapid.IntRange(1, 100).Draw(t, "piece bytes"), smallLimits)
		if got != string(want) || consumed != len(text) || !done || err != nil {
			t.Fatalf("%q of %q: %d, %v, %v", got, want, consumed, done, err)
		}
		resp, err := http.ReadResponse(bufio.NewReader(io.MultiReader(
			strings.NewReader("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"), bytes.NewReader(text))), nil)
		if err != nil {
			t.Fatal(err)
		}
		if body, err := io.ReadAll(resp.Body); err != nil || !bytes.Equal(body, want) {
			t.Fatalf("net/http reads %q, %v", body, err)
		}
	})
}

// With KeepTrailers, trailers must be kept exactly as received, and net/http must read them when they are
// written again. Without it they must be dropped.
func TestTrailersKeptOrDropped(t *testing.T) {
	const trailers = "Checksum: abc\r\nX-Last:  two \r\n"
	text := "3;a=\"b\"\r\nabc\r\n0\r\n" + trailers + "\r\nrest"
	for _, keep := range []bool{false, true} {
		decoder := ChunkedDecoder{Limits: smallLimits, KeepTrailers: keep}
		var data []byte
		remaining := []byte(text)
		for !decoder.Done() {
			p, n, err := decoder.Decode(remaining)
			if err != nil || n == 0 {
				t.Fatal(n, err)
			}
			data, remaining = append(data, p...), remaining[n:]
		}
		if want := map[bool]string{true: trailers}[keep]; string(decoder.Trailers) != want || string(remaining) != "rest" {
			t.Errorf("trailers %q, then %q; want trailers %q", decoder.Trailers, remaining, want)
		}
		if !keep {
			continue
		}
		rewritten := AppendLastChunk(AppendChunk(nil, data), decoder.Trailers)
		resp, err := http.ReadResponse(bufio.NewReader(io.MultiReader(
			strings.NewReader("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"), bytes.NewReader(rewritten))), nil)
		if err != nil {
			t.Fatal(err)
		}
		body, err := io.ReadAll(resp.Body)
		if err != nil || string(body) != "abc" || resp.Trailer.Get("Checksum") != "abc" || resp.Trailer.Get("X-Last") != "two" {
			t.Errorf("net/http reads %q, %v, %v", body, resp.Trailer, err)
		}
	}
}

// Fields that apply to one connection, by name or because Connection lists them, and fields that frame the
// body must not be forwarded; all others must be.
func TestIsEndToEnd(t *testing.T) {
	r := NewRequest(smallLimits)
	text := "POST /x HTTP/1.1\r\nHost: a\r\nConnection: X-Mine ,,\t close\r\nconnection: keep-alive\r\nX-Mine: 1\r\n" +
		"TE: trailers\r\nX-Other: 2\r\nContent-Length: 0\r\nkeep-alive: 3\r\n\r\n"
	if n, err := r.Parse([]byte(text)); n != len(text) || err != nil {
		t.Fatal(n, err)
	}
	var forwarded []string
	for i := range r.NumFields() {
		if f := r.Field(i); r.IsEndToEnd(f.Name) {
			forwarded = append(forwarded, f.String())
		}
	}
	if got := fmt.Sprint(forwarded); got != `[Host: "a" X-Other: "2"]` || !r.ClosesConnection() {
		t.Errorf("forwarded %s, closes connection %v", got, r.ClosesConnection())
	}
	if v, n := r.Get("X-OTHER"); string(v) != "2" || n != 1 {
		t.Errorf("Get returns %q, %d", v, n)
	}
}

// compareWithOtherParsers parses text with this package, net/http and fasthttp. If this package accepts a
// complete request, it returns an error if one of the others reads another message: such differences make
// request smuggling possible. The others may reject what this package accepts.
func compareWithOtherParsers(text []byte) error {
	r := NewRequest(DefaultLimits)
	n, err := r.Parse(text)
	if err != nil || n == 0 {
		return nil
	}
	body, bodyBytes, complete := "", 0, true
	switch r.Framing() {
	case FixedLength:
		complete = r.ContentLength() <= int64(len(text)-n)
		if complete {
			bodyBytes = int(r.ContentLength())
			body = string(text[n : n+bodyBytes])
		}
	case Chunked:
		body, bodyBytes, complete, err = decodeChunked(string(text[n:]), 1<<20, DefaultLimits)
		if err != nil {
			return nil
		}
	}
	if !complete {
		return nil
	}
	reader := bufio.NewReader(bytes.NewReader(text))
	if stdRequest, err := http.ReadRequest(reader); err == nil {
		got, err := io.ReadAll(stdRequest.Body)
		if err == nil {
			rest, _ := io.ReadAll(reader)
			if stdRequest.Method != string(r.Method()) || string(got) != body || len(rest) != len(text)-n-bodyBytes {
				return fmt.Errorf("net/http reads %s, a body %q and leaves %q; http1 reads %s, %q and leaves %d bytes",
					stdRequest.Method, got, rest, describeRequest(r), body, len(text)-n-bodyBytes)
			}
			if uri := stdRequest.RequestURI; uri != string(r.Target()) && uri != "http://"+string(r.Host()) && !strings.HasSuffix(uri, string(r.Target())) {
				return fmt.Errorf("net/http reads the target %q, http1 %q", stdRequest.RequestURI, r.Target())
			}
		}
	}
	var fastRequest fasthttp.Request
	reader = bufio.NewReader(bytes.NewReader(text))
	if err := fastRequest.Read(reader); err == nil {
		rest, _ := io.ReadAll(reader)
		if string(fastRequest.Header.Method()) != string(r.Method()) || string(fastRequest.Body()) != body || len(rest) != len(text)-n-bodyBytes {
			return fmt.Errorf("fasthttp reads %s, a body %q and leaves %q; http1 reads %s, %q and leaves %d bytes",
				fastRequest.Header.Method(), fastRequest.Body(), rest, describeRequest(r), body, len(text)-n-bodyBytes)
		}
	}
	return nil
}

// No request of the table may be read as another message by net/http or fasthttp.
func TestOtherParsersReadSameMessage(t *testing.T) {
	for _, c := range requestCases {
		if err := compareWithOtherParsers([]byte(c.text + "GET /next HTTP/1.1\r\n")); err != nil {
			t.Errorf("%s: %v", c.name, err)
		}
	}
}

// FuzzRequest checks that parsing doesn't depend on how the bytes arrive, that errors are of type *Error, that
// limits hold, and that other parsers don't read another message.
func FuzzRequest(f *testing.F) {
	for _, c := range requestCases {
		f.Add([]byte(c.text))
	}
	for _, c := range chunkCases {
		f.Add([]byte("POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n" + c.text))
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		atOnce, inTwo := NewRequest(smallLimits), NewRequest(smallLimits)
		n, err := atOnce.Parse(text)
		m, errInTwo := inTwo.Parse(text[:len(text)/2])
		if m == 0 && errInTwo == nil {
			m, errInTwo = inTwo.Parse(text)
		}
		if n != m || err != errInTwo {
			t.Fatalf("%q: %d, %v; in two pieces %d, %v", text, n, err, m, errInTwo)
		}
		var reason *Error
		if err != nil && !errors.As(err, &reason) {
			t.Fatalf("%q: %v", text, err)
		}
		if n > len(text) || n > smallLimits.HeadBytes || atOnce.NumFields() > smallLimits.Fields {
			t.Fatalf("%q: head of %d bytes, %d fields", text, n, atOnce.NumFields())
		}
		if err := compareWithOtherParsers(text); err != nil {
			t.Fatalf("%q: %v", text, err)
		}
	})
}

// FuzzResponse checks that net/http reads the same status and framing of each response that Parse and Framing
// accept.
func FuzzResponse(f *testing.F) {
	for _, c := range responseCases {
		f.Add([]byte(c.text))
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		r := NewResponse(smallLimits)
		n, err := r.Parse(text)
		if err != nil || n == 0 {
			return
		}
		framing, err := r.Framing(false)
		if err != nil || r.Status() < 200 {
			return
		}
		stdResponse, err := http.ReadResponse(bufio.NewReader(bytes.NewReader(text)), nil)
		if err != nil {
			return
		}
		if stdResponse.StatusCode != r.Status() || framing == FixedLength && stdResponse.ContentLength != r.ContentLength() ||
			(framing == Chunked) != (len(stdResponse.TransferEncoding) > 0) && r.Status() != 304 {
			t.Fatalf("%q: net/http reads %d, %d, %q; http1 %d, %v, %d", text, stdResponse.StatusCode, stdResponse.ContentLength,
				stdResponse.TransferEncoding, r.Status(), framing, r.ContentLength())
		}
	})
}

// A short request with the fields of a caller, and its response.
const (
	shortRequest = "POST /api/tank HTTP/1.1\r\nHost: a\r\nX-Request-ID: 9b1f03aa5c7e2d41\r\nX-Priority-Class: book\r\n" +
		"X-Timeout: 20000m\r\nIdempotency-Key: k\r\nContent-Length: 10\r\n\r\n0123456789"
	shortResponse = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nDate: Tue, 01 Dec 2026 11:00:00 GMT\r\nContent-Length: 2\r\n\r\nok"
)

// BenchmarkShortMessage parses and writes a short request and its response, which must not allocate.
func BenchmarkShortMessage(b *testing.B) {
	request, response := NewRequest(DefaultLimits), NewResponse(DefaultLimits)
	requestBytes, responseBytes := []byte(shortRequest), []byte(shortResponse)
	buf := make([]byte, 0, 4096)
	b.ReportAllocs()
	for b.Loop() {
		request.Reset()
		response.Reset()
		if n, err := request.Parse(requestBytes); n == 0 || err != nil {
			b.Fatal(err)
		}
		buf = AppendRequestLine(buf[:0], request.Method(), request.Target())
		for i := range request.NumFields() {
			if f := request.Field(i); request.IsEndToEnd(f.Name) {
				buf = AppendParsedField(buf, f)
			}
		}
		buf = append(AppendHeadEnd(AppendContentLength(buf, request.ContentLength())), "0123456789"...)
		if n, err := response.Parse(responseBytes); n == 0 || err != nil {
			b.Fatal(err)
		}
		buf = append(AppendHeadEnd(AppendContentLength(AppendStatusLine(buf[:0], response.Status()), 2)), "ok"...)
	}
}

// A request and its response must be parsed and forwarded without allocations.
func TestShortMessageAllocatesNothing(t *testing.T) {
	request, response := NewRequest(DefaultLimits), NewResponse(DefaultLimits)
	requestBytes, responseBytes := []byte(shortRequest), []byte(shortResponse)
	buf := make([]byte, 0, 4096)
	if n := testing.AllocsPerRun(100, func() {
		request.Reset()
		response.Reset()
		request.Parse(requestBytes)
		response.Parse(responseBytes)
		buf = AppendContentLength(AppendRequestLine(buf[:0], request.Method(), request.Target()), 10)
		request.Get("X-Timeout")
	}); n != 0 {
		t.Errorf("%v allocations", n)
	}
}
