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

// smallLimits are small, so that tests reach them.
var smallLimits = Limits{HeadBytes: 4 << 10, Fields: 20, ChunkLineBytes: 64, TrailerBytes: 256}

// requestCases is the table of framing: what is refused, with its status, and what is taken,
// in the one form in which it is passed on. docs/design/0003-http1.md shows it by section.
var requestCases = []struct {
	name, text string
	err        error
	passed     string // method, target, host, framing and length
}{
	{"plain", "GET /a?b=%2f HTTP/1.1\r\nHost: a.b:80\r\n\r\n", nil, "GET /a?b=%2f a.b:80 none -1"},
	{"length", "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n\r\nabc", nil, "POST / a length 3"},
	{"length of blanks around", "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: \t 3 \r\n\r\nabc", nil, "POST / a length 3"},
	{"chunks", "POST / HTTP/1.1\r\nhost: a\r\ntransfer-encoding: Chunked\r\n\r\n0\r\n\r\n", nil, "POST / a chunked -1"},
	{"an empty line ahead", "\r\nGET / HTTP/1.1\r\nHost: a\r\n\r\n", nil, "GET / a none -1"},
	{"two empty lines ahead", "\r\n\r\nGET / HTTP/1.1\r\nHost: a\r\n\r\n", ErrStartLine, ""},
	{"absolute form", "GET HTTP://a/x HTTP/1.1\r\nHost: A\r\n\r\n", nil, "GET /x A none -1"},
	{"absolute form, no path", "GET http://a HTTP/1.1\r\nHost: a\r\n\r\n", nil, "GET / a none -1"},
	{"absolute form, query alone", "GET http://a?x HTTP/1.1\r\nHost: a\r\n\r\n", ErrTarget, ""},
	{"absolute form against Host", "GET http://b/x HTTP/1.1\r\nHost: a\r\n\r\n", ErrAuthorityMismatch, ""},
	{"user in the authority", "GET http://u@a/x HTTP/1.1\r\nHost: a\r\n\r\n", ErrAuthorityMismatch, ""},
	{"another scheme", "GET ftp://a/x HTTP/1.1\r\nHost: a\r\n\r\n", ErrTarget, ""},
	{"authority form", "CONNECT a:443 HTTP/1.1\r\nHost: a:443\r\n\r\n", ErrTarget, ""},
	{"asterisk", "OPTIONS * HTTP/1.1\r\nHost: a\r\n\r\n", nil, "OPTIONS * a none -1"},
	{"asterisk of another method", "GET * HTTP/1.1\r\nHost: a\r\n\r\n", ErrTarget, ""},
	{"no leading slash", "GET a HTTP/1.1\r\nHost: a\r\n\r\n", ErrTarget, ""},
	{"a fragment", "GET /a#b HTTP/1.1\r\nHost: a\r\n\r\n", ErrTarget, ""},
	{"half an escape", "GET /%2 HTTP/1.1\r\nHost: a\r\n\r\n", ErrTarget, ""},
	{"no escape", "GET /%zz HTTP/1.1\r\nHost: a\r\n\r\n", ErrTarget, ""},
	{"a byte over ASCII in the target", "GET /\xff HTTP/1.1\r\nHost: a\r\n\r\n", ErrTarget, ""},
	{"a control byte in the target", "GET /\x01 HTTP/1.1\r\nHost: a\r\n\r\n", ErrTarget, ""},
	{"two blanks in the line", "GET  / HTTP/1.1\r\nHost: a\r\n\r\n", ErrTarget, ""},
	{"a tab in the line", "GET\t/ HTTP/1.1\r\nHost: a\r\n\r\n", ErrStartLine, ""},
	{"a blank behind the version", "GET / HTTP/1.1 \r\nHost: a\r\n\r\n", ErrStartLine, ""},
	{"no version", "GET /\r\n\r\n", ErrStartLine, ""},
	{"HTTP/1.0", "GET / HTTP/1.0\r\nHost: a\r\n\r\n", ErrVersion, ""},
	{"HTTP/1.2", "GET / HTTP/1.2\r\nHost: a\r\n\r\n", ErrVersion, ""},
	{"HTTP/2.0", "PRI * HTTP/2.0\r\n\r\n", ErrVersion, ""},
	{"small http", "GET / http/1.1\r\nHost: a\r\n\r\n", ErrStartLine, ""},
	{"a method that is no token", "G(T / HTTP/1.1\r\nHost: a\r\n\r\n", ErrMethod, ""},
	{"noise", "\x16\x03\x01\x02", ErrStartLine, ""},
	{"LF alone in the start line", "GET / HTTP/1.1\nHost: a\r\n\r\n", ErrBareLF, ""},
	{"LF alone in a field", "GET / HTTP/1.1\r\nHost: a\nX: b\r\n\r\n", ErrBareLF, ""},
	{"LF alone at the end", "GET / HTTP/1.1\r\nHost: a\r\n\n", ErrBareLF, ""},
	{"CR alone in the start line", "GET /\rx HTTP/1.1\r\nHost: a\r\n\r\n", ErrTarget, ""},
	{"CR alone in a field", "GET / HTTP/1.1\r\nHost: a\r\nX: a\rContent-Length: 3\r\n\r\n", ErrControlByte, ""},
	{"CR alone ahead of the end", "GET / HTTP/1.1\r\nHost: a\r\nX: a\r\r\n\r\n", ErrControlByte, ""},
	{"NUL in a field", "GET / HTTP/1.1\r\nHost: a\r\nX: a\x00b\r\n\r\n", ErrControlByte, ""},
	{"DEL in a field", "GET / HTTP/1.1\r\nHost: a\r\nX: a\x7fb\r\n\r\n", ErrControlByte, ""},
	{"bytes over ASCII in a value", "GET / HTTP/1.1\r\nHost: a\r\nX: \xc3\xa9\r\n\r\n", nil, "GET / a none -1"},
	{"bytes over ASCII in a name", "GET / HTTP/1.1\r\nHost: a\r\nX\xc3\xa9: b\r\n\r\n", ErrFieldName, ""},
	{"a control byte in a name", "GET / HTTP/1.1\r\nHost: a\r\nX\x01: b\r\n\r\n", ErrFieldName, ""},
	{"a blank before the colon", "POST / HTTP/1.1\r\nHost: a\r\nContent-Length : 3\r\n\r\nabc", ErrFieldName, ""},
	{"a tab before the colon", "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding\t: chunked\r\n\r\n", ErrFieldName, ""},
	{"no name", "GET / HTTP/1.1\r\nHost: a\r\n: b\r\n\r\n", ErrFieldName, ""},
	{"no colon", "GET / HTTP/1.1\r\nHost: a\r\nX\r\n\r\n", ErrFieldName, ""},
	{"a folded line", "GET / HTTP/1.1\r\nHost: a\r\nX: b\r\n c\r\n\r\n", ErrLineFolding, ""},
	{"a folded first line", "GET / HTTP/1.1\r\n Host: a\r\n\r\n", ErrLineFolding, ""},
	{"a folded coding", "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding:\r\n\tchunked\r\n\r\n", ErrLineFolding, ""},
	{"no Host", "GET / HTTP/1.1\r\n\r\n", ErrHost, ""},
	{"two Hosts", "GET / HTTP/1.1\r\nHost: a\r\nHost: b\r\n\r\n", ErrHost, ""},
	{"two Hosts alike", "GET / HTTP/1.1\r\nHost: a\r\nhost: a\r\n\r\n", ErrHost, ""},
	{"an empty Host", "GET / HTTP/1.1\r\nHost:\r\n\r\n", nil, "GET /  none -1"},
	{"a path in Host", "GET / HTTP/1.1\r\nHost: a/b\r\n\r\n", ErrHost, ""},
	{"a user in Host", "GET / HTTP/1.1\r\nHost: u@a\r\n\r\n", ErrHost, ""},
	{"two names in Host", "GET / HTTP/1.1\r\nHost: a b\r\n\r\n", ErrHost, ""},
	{"length and coding", "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", ErrLengthWithTransferEncoding, ""},
	{"coding and length", "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\nContent-Length: 5\r\n\r\n0\r\n\r\n", ErrLengthWithTransferEncoding, ""},
	{"two lengths alike", "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\nContent-Length: 3\r\n\r\nabc", ErrDuplicateContentLength, ""},
	{"two lengths", "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\nabc", ErrDuplicateContentLength, ""},
	{"a list of lengths", "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 3, 3\r\n\r\nabc", ErrContentLength, ""},
	{"a signed length", "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: +3\r\n\r\nabc", ErrContentLength, ""},
	{"a negative length", "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: -3\r\n\r\nabc", ErrContentLength, ""},
	{"a blank in a length", "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 1 3\r\n\r\nabc", ErrContentLength, ""},
	{"an empty length", "POST / HTTP/1.1\r\nHost: a\r\nContent-Length:\r\n\r\nabc", ErrContentLength, ""},
	{"a length in hex", "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 0x3\r\n\r\nabc", ErrContentLength, ""},
	{"a length with an underline", "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 1_0\r\n\r\nabc", ErrContentLength, ""},
	{"a length of 2^64", "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 18446744073709551616\r\n\r\nabc", ErrContentLength, ""},
	{"a length of other digits", "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: \xd9\xa3\r\n\r\nabc", ErrContentLength, ""},
	{"a coding nobody knows", "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: xchunked\r\n\r\n", ErrUnsupportedTransferEncoding, ""},
	{"chunked and more", "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: gzip, chunked\r\n\r\n", ErrUnsupportedTransferEncoding, ""},
	{"chunked, identity", "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked, identity\r\n\r\n", ErrUnsupportedTransferEncoding, ""},
	{"identity", "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: identity\r\n\r\n", ErrUnsupportedTransferEncoding, ""},
	{"chunked twice", "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked, chunked\r\n\r\n", ErrUnsupportedTransferEncoding, ""},
	{"chunked quoted", "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: \"chunked\"\r\n\r\n", ErrUnsupportedTransferEncoding, ""},
	{"chunked with a parameter", "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked;q=1\r\n\r\n", ErrUnsupportedTransferEncoding, ""},
	{"chunked behind a control byte", "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: \x0bchunked\r\n\r\n", ErrControlByte, ""},
	{"an empty coding", "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding:\r\n\r\n", ErrUnsupportedTransferEncoding, ""},
	{"two codings", "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\nTransfer-Encoding: identity\r\n\r\n", ErrDuplicateTransferEncoding, ""},
	{"coding in HTTP/1.0", "POST / HTTP/1.0\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n", ErrVersion, ""},
	{"Connection names a length", "POST / HTTP/1.1\r\nHost: a\r\nConnection: close, content-length\r\nContent-Length: 3\r\n\r\nabc", ErrConnectionOption, ""},
	{"Connection names Host", "GET / HTTP/1.1\r\nHost: a\r\nConnection: Host\r\n\r\n", ErrConnectionOption, ""},
	{"Connection is no list of tokens", "GET / HTTP/1.1\r\nHost: a\r\nConnection: a b\r\n\r\n", ErrConnectionOption, ""},
	{"another expectation", "POST / HTTP/1.1\r\nHost: a\r\nExpect: 200-ok\r\nContent-Length: 3\r\n\r\nabc", ErrUnsupportedExpectation, ""},
	{"a long head", "GET / HTTP/1.1\r\nHost: a\r\nX: " + strings.Repeat("x", 5000), ErrHeadTooLong, ""},
	{"a long line", "GET /" + strings.Repeat("x", 5000), ErrHeadTooLong, ""},
	{"many fields", "GET / HTTP/1.1\r\nHost: a\r\n" + strings.Repeat("X: b\r\n", 30) + "\r\n", ErrTooManyFields, ""},
}

// describeRequest is the form in which a request is passed on.
func describeRequest(r *Request) string {
	return fmt.Sprintf("%s %s %s %s %d", r.Method(), r.Target(), r.Host(), r.Framing(), r.ContentLength())
}

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
				t.Errorf("%s: a head of %d bytes", c.name, n)
			}
			if got := describeRequest(r); got != c.passed {
				t.Errorf("%s: passed on as %q, want %q", c.name, got, c.passed)
			}
		}
	}
}

// A head comes cut at every byte, and one byte at a time: what comes of it is the same.
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
			if err != c.err || err == nil && describeRequest(r) != c.passed {
				t.Errorf("%s, cut at %d: %d, %v, want %v", c.name, cut, n, err, c.err)
			}
		}
		r := NewRequest(smallLimits)
		var n int
		var err error
		for i := 1; i <= len(c.text) && n == 0 && err == nil; i++ {
			n, err = r.Parse([]byte(c.text[:i]))
		}
		if err != c.err || err == nil && describeRequest(r) != c.passed {
			t.Errorf("%s, a byte at a time: %d, %v, want %v", c.name, n, err, c.err)
		}
	}
}

var responseCases = []struct {
	name, text string
	toHead     bool
	err        error
	framing    Framing
}{
	{"plain", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n", false, nil, FixedLength},
	{"no reason", "HTTP/1.1 200\r\nContent-Length: 2\r\n\r\n", false, nil, FixedLength},
	{"chunks", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", false, nil, Chunked},
	{"until the close", "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n", false, nil, UntilClose},
	{"until the close, 1.0", "HTTP/1.0 200 OK\r\n\r\n", false, nil, UntilClose},
	{"1.0 kept open", "HTTP/1.0 200 OK\r\nConnection: keep-alive\r\n\r\n", false, ErrUndelimitedBody, 0},
	{"no end", "HTTP/1.1 200 OK\r\n\r\n", false, ErrUndelimitedBody, 0},
	{"204", "HTTP/1.1 204 No\r\n\r\n", false, nil, NoBody},
	{"204 with a length", "HTTP/1.1 204 No\r\nContent-Length: 2\r\n\r\n", false, ErrFramingWithoutBody, 0},
	{"204 with chunks", "HTTP/1.1 204 No\r\nTransfer-Encoding: chunked\r\n\r\n", false, ErrFramingWithoutBody, 0},
	{"304 with the length of what is not sent", "HTTP/1.1 304 No\r\nContent-Length: 2\r\n\r\n", false, nil, NoBody},
	{"to HEAD", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n", true, nil, NoBody},
	{"to HEAD, chunks", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", true, nil, NoBody},
	{"interim with a length", "HTTP/1.1 100 Go\r\nContent-Length: 2\r\n\r\n", false, ErrFramingWithoutBody, 0},
	{"interim", "HTTP/1.1 103 Hints\r\nLink: a\r\n\r\n", false, nil, NoBody},
	{"status of two digits", "HTTP/1.1 20 OK\r\n\r\n", false, ErrStatusLine, 0},
	{"status of four", "HTTP/1.1 2000 OK\r\n\r\n", false, ErrStatusLine, 0},
	{"status 600", "HTTP/1.1 600 Oh\r\n\r\n", false, ErrStatusLine, 0},
	{"status 99", "HTTP/1.1 099 Oh\r\n\r\n", false, ErrStatusLine, 0},
	{"signed status", "HTTP/1.1 +20 OK\r\n\r\n", false, ErrStatusLine, 0},
	{"two blanks", "HTTP/1.1  200 OK\r\n\r\n", false, ErrStatusLine, 0},
	{"HTTP/1.2", "HTTP/1.2 200 OK\r\n\r\n", false, ErrVersion, 0},
	{"noise", "\x00\xff", false, ErrStatusLine, 0},
	{"an empty line ahead", "\r\nHTTP/1.1 200 OK\r\n\r\n", false, ErrStatusLine, 0},
	{"LF alone", "HTTP/1.1 200 OK\nContent-Length: 2\n\n", false, ErrBareLF, 0},
	{"CR alone", "HTTP/1.1 200 OK\r\nX: a\rb\r\n\r\n", false, ErrControlByte, 0},
	{"CR in the reason", "HTTP/1.1 200 O\rK\r\n\r\n", false, ErrStatusLine, 0},
	{"two lengths alike", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 2\r\n\r\n", false, ErrDuplicateContentLength, 0},
	{"both", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n", false, ErrLengthWithTransferEncoding, 0},
	{"negative", "HTTP/1.1 200 OK\r\nContent-Length: -2\r\n\r\n", false, ErrContentLength, 0},
	{"3 GB", "HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\n", false, nil, FixedLength},
	{"gzip, chunked", "HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip, chunked\r\n\r\n", false, ErrUnsupportedTransferEncoding, 0},
	{"chunks in 1.0", "HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", false, errTransferEncodingInHTTP10, 0},
	{"a folded line", "HTTP/1.1 200 OK\r\nX: a\r\n b\r\n\r\n", false, ErrLineFolding, 0},
}

func TestResponseParse(t *testing.T) {
	for _, c := range responseCases {
		for _, whole := range []bool{true, false} {
			a := NewResponse(smallLimits)
			var n int
			var err error
			for i := 1; i <= len(c.text) && n == 0 && err == nil; i++ {
				if whole {
					i = len(c.text)
				}
				n, err = a.Parse([]byte(c.text[:i]))
			}
			var f Framing
			if err == nil && n > 0 {
				f, err = a.Framing(c.toHead)
			}
			if err != c.err || err == nil && (n != len(c.text) || f != c.framing) {
				t.Errorf("%s, whole %v: %d, %v, %v, want %v, %v", c.name, whole, n, f, err, c.framing, c.err)
			}
		}
	}
}

var chunkCases = []struct {
	name, text string
	err        error
	want       string // the data, where it is whole
}{
	{"plain", "3\r\nabc\r\n0\r\n\r\n", nil, "abc"},
	{"two", "3\r\nabc\r\nA\r\n0123456789\r\n000\r\n\r\n", nil, "abc0123456789"},
	{"extensions", "1;a;b=c ; d=\"e;\\\"\r\"\r\nx\r\n0\r\n\r\n", ErrMalformedChunk, ""},
	{"good extensions", "1;a;b=c ; d=\"e;\\\"\"\r\nx\r\n0;z\r\n\r\n", nil, "x"},
	{"trailers", "1\r\nx\r\n0\r\nX: y\r\nZ:\r\n\r\n", nil, "x"},
	{"an empty size", "\r\nx\r\n0\r\n\r\n", ErrMalformedChunk, ""},
	{"an extension alone", ";a\r\nx\r\n0\r\n\r\n", ErrMalformedChunk, ""},
	{"a negative size", "-1\r\nx\r\n", ErrMalformedChunk, ""},
	{"a size of 0x", "0x1\r\nx\r\n", ErrMalformedChunk, ""},
	{"a blank ahead", " 1\r\nx\r\n", ErrMalformedChunk, ""},
	{"a blank behind", "1 \r\nx\r\n", ErrMalformedChunk, ""},
	{"a size that overflows", "10000000000000001\r\nx\r\n", ErrMalformedChunk, ""},
	{"LF alone behind a size", "1\nx\r\n0\r\n\r\n", ErrBareLF, ""},
	{"LF alone behind data", "1\r\nx\n0\r\n\r\n", ErrMalformedChunk, ""},
	{"longer than its size", "1\r\nxy\r\n0\r\n\r\n", ErrMalformedChunk, ""},
	{"a control byte in an extension", "1;a=\x01\r\nx\r\n", ErrMalformedChunk, ""},
	{"an extension of 64 KiB", "1;" + strings.Repeat("a", 64<<10), ErrChunkLineTooLong, ""},
	{"a trailer of length", "0\r\nContent-Length: 3\r\n\r\n", ErrInvalidTrailer, ""},
	{"a trailer of coding", "0\r\nTransfer-Encoding: chunked\r\n\r\n", ErrInvalidTrailer, ""},
	{"a trailer of Host", "0\r\nhost: b\r\n\r\n", ErrInvalidTrailer, ""},
	{"a trailer of the id", "0\r\nx-request-id: b\r\n\r\n", ErrInvalidTrailer, ""},
	{"no trailer", "0\r\nX y\r\n\r\n", ErrInvalidTrailer, ""},
	{"a folded trailer", "0\r\nX: y\r\n z\r\n\r\n", ErrInvalidTrailer, ""},
	{"LF alone behind the trailers", "0\r\nX: y\r\n\n", ErrBareLF, ""},
	{"endless trailers", "0\r\n" + strings.Repeat("X: y\r\n", 100), ErrTrailersTooLong, ""},
	{"an endless trailer", "0\r\nX: " + strings.Repeat("y", 1000), ErrTrailersTooLong, ""},
	{"half", "3\r\nab", nil, ""},
}

// decodeChunked reads a body that comes in pieces of at most so many bytes, and returns its data
// once it is whole. It also returns how many bytes it has used.
func decodeChunked(text string, piece int, l Limits) (data string, used int, done bool, err error) {
	c := ChunkedDecoder{Limits: l}
	var out []byte
	var buf []byte
	for {
		for {
			d, n, err := c.Decode(buf)
			out = append(out, d...)
			used += n
			buf = buf[n:]
			if err != nil || c.Done() {
				return string(out), used, c.Done(), err
			}
			if n == 0 {
				break
			}
		}
		if text == "" {
			return string(out), used, false, nil
		}
		n := min(piece, len(text))
		buf = append(buf[:len(buf):len(buf)], text[:n]...)
		text = text[n:]
	}
}

func TestChunkedDecoder(t *testing.T) {
	for _, c := range chunkCases {
		for _, piece := range []int{1, 2, 3, 7, 1 << 20} {
			data, used, done, err := decodeChunked(c.text, piece, smallLimits)
			if err != c.err || done != (c.want != "") && err == nil || done && (data != c.want || used != len(c.text)) {
				t.Errorf("%s by %d: %q, %d, %v, %v, want %q, %v", c.name, piece, data, used, done, err, c.want, c.err)
			}
		}
	}
}

// What is written as chunks is read the same, by us and by net/http.
func TestChunkedEncodingRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		parts := rapid.SliceOf(rapid.SliceOfN(rapid.Byte(), 1, 300)).Draw(t, "parts")
		var text, want []byte
		for _, p := range parts {
			text, want = AppendChunk(text, p), append(want, p...)
		}
		text = AppendLastChunk(text, nil)
		got, used, done, err := decodeChunked(string(text)+"rest", rapid.IntRange(1, 100).Draw(t, "piece"), smallLimits)
		if got != string(want) || used != len(text) || !done || err != nil {
			t.Fatalf("%q of %q: %d, %v, %v", got, want, used, done, err)
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

// Trailers that are wanted are kept as they came, and written out again are read the same by
// net/http; those that nobody wants are dropped.
func TestTrailersKeptOrDropped(t *testing.T) {
	const tail = "Checksum: abc\r\nX-Last:  two \r\n"
	text := "3;a=\"b\"\r\nabc\r\n0\r\n" + tail + "\r\nrest"
	for _, keep := range []bool{false, true} {
		c := ChunkedDecoder{Limits: smallLimits, KeepTrailers: keep}
		var data []byte
		left := []byte(text)
		for !c.Done() {
			p, n, err := c.Decode(left)
			if err != nil || n == 0 {
				t.Fatal(n, err)
			}
			data, left = append(data, p...), left[n:]
		}
		if want := map[bool]string{true: tail}[keep]; string(c.Trailers) != want || string(left) != "rest" {
			t.Errorf("kept %q before %q, want %q", c.Trailers, left, want)
		}
		if !keep {
			continue
		}
		again := AppendLastChunk(AppendChunk(nil, data), c.Trailers)
		resp, err := http.ReadResponse(bufio.NewReader(io.MultiReader(
			strings.NewReader("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"), bytes.NewReader(again))), nil)
		if err != nil {
			t.Fatal(err)
		}
		body, err := io.ReadAll(resp.Body)
		if err != nil || string(body) != "abc" || resp.Trailer.Get("Checksum") != "abc" || resp.Trailer.Get("X-Last") != "two" {
			t.Errorf("net/http reads %q, %v, %v", body, resp.Trailer, err)
		}
	}
}

// hopByHop concern one connection; the rest is passed on.
func TestIsEndToEnd(t *testing.T) {
	r := NewRequest(smallLimits)
	text := "POST /x HTTP/1.1\r\nHost: a\r\nConnection: X-Mine ,,\t close\r\nconnection: keep-alive\r\nX-Mine: 1\r\n" +
		"TE: trailers\r\nX-Other: 2\r\nContent-Length: 0\r\nkeep-alive: 3\r\n\r\n"
	if n, err := r.Parse([]byte(text)); n != len(text) || err != nil {
		t.Fatal(n, err)
	}
	var passed []string
	for i := range r.NumFields() {
		if f := r.Field(i); r.IsEndToEnd(f.Name) {
			passed = append(passed, f.String())
		}
	}
	if got := fmt.Sprint(passed); got != `[Host: "a" X-Other: "2"]` || !r.ClosesConnection() {
		t.Errorf("%s, closes %v", got, r.ClosesConnection())
	}
	if v, n := r.Get("X-OTHER"); string(v) != "2" || n != 1 {
		t.Errorf("%q, %d", v, n)
	}
}

// compareWithOtherParsers holds our reading of a request against net/http's and fasthttp's: what we take, they
// must not read as another message. What they refuse is theirs to refuse.
func compareWithOtherParsers(text []byte) error {
	r := NewRequest(DefaultLimits)
	n, err := r.Parse(text)
	if err != nil || n == 0 {
		return nil
	}
	body, used, whole := "", 0, true
	switch r.Framing() {
	case FixedLength:
		whole = r.ContentLength() <= int64(len(text)-n)
		if whole {
			used = int(r.ContentLength())
			body = string(text[n : n+used])
		}
	case Chunked:
		body, used, whole, err = decodeChunked(string(text[n:]), 1<<20, DefaultLimits)
		if err != nil {
			return nil
		}
	}
	if !whole {
		return nil
	}
	in := bufio.NewReader(bytes.NewReader(text))
	if them, err := http.ReadRequest(in); err == nil {
		got, err := io.ReadAll(them.Body)
		if err == nil {
			rest, _ := io.ReadAll(in)
			if them.Method != string(r.Method()) || string(got) != body || len(rest) != len(text)-n-used {
				return fmt.Errorf("net/http reads %s, a body %q and leaves %q; we read %s, %q and leave %d bytes",
					them.Method, got, rest, describeRequest(r), body, len(text)-n-used)
			}
			if uri := them.RequestURI; uri != string(r.Target()) && uri != "http://"+string(r.Host()) && !strings.HasSuffix(uri, string(r.Target())) {
				return fmt.Errorf("net/http reads the target %q, we %q", them.RequestURI, r.Target())
			}
		}
	}
	var fast fasthttp.Request
	in = bufio.NewReader(bytes.NewReader(text))
	if err := fast.Read(in); err == nil {
		rest, _ := io.ReadAll(in)
		if string(fast.Header.Method()) != string(r.Method()) || string(fast.Body()) != body || len(rest) != len(text)-n-used {
			return fmt.Errorf("fasthttp reads %s, a body %q and leaves %q; we read %s, %q and leave %d bytes",
				fast.Header.Method(), fast.Body(), rest, describeRequest(r), body, len(text)-n-used)
		}
	}
	return nil
}

func TestOtherParsersReadSameMessage(t *testing.T) {
	for _, c := range requestCases {
		if err := compareWithOtherParsers([]byte(c.text + "GET /next HTTP/1.1\r\n")); err != nil {
			t.Errorf("%s: %v", c.name, err)
		}
	}
}

func FuzzRequest(f *testing.F) {
	for _, c := range requestCases {
		f.Add([]byte(c.text))
	}
	for _, c := range chunkCases {
		f.Add([]byte("POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n" + c.text))
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		whole, cut := NewRequest(smallLimits), NewRequest(smallLimits)
		n, err := whole.Parse(text)
		m, err2 := cut.Parse(text[:len(text)/2])
		if m == 0 && err2 == nil {
			m, err2 = cut.Parse(text)
		}
		if n != m || err != err2 {
			t.Fatalf("%q: %d, %v; cut in two %d, %v", text, n, err, m, err2)
		}
		var refused *Error
		if err != nil && !errors.As(err, &refused) {
			t.Fatalf("%q: %v", text, err)
		}
		if n > len(text) || n > smallLimits.HeadBytes || whole.NumFields() > smallLimits.Fields {
			t.Fatalf("%q: a head of %d bytes, %d fields", text, n, whole.NumFields())
		}
		if err := compareWithOtherParsers(text); err != nil {
			t.Fatalf("%q: %v", text, err)
		}
	})
}

func FuzzAnswer(f *testing.F) {
	for _, c := range responseCases {
		f.Add([]byte(c.text))
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		a := NewResponse(smallLimits)
		n, err := a.Parse(text)
		if err != nil || n == 0 {
			return
		}
		framing, err := a.Framing(false)
		if err != nil || a.Status() < 200 {
			return
		}
		them, err := http.ReadResponse(bufio.NewReader(bytes.NewReader(text)), nil)
		if err != nil {
			return
		}
		if them.StatusCode != a.Status() || framing == FixedLength && them.ContentLength != a.ContentLength() ||
			(framing == Chunked) != (len(them.TransferEncoding) > 0) && a.Status() != 304 {
			t.Fatalf("%q: net/http reads %d, %d, %q; we %d, %v, %d", text, them.StatusCode, them.ContentLength,
				them.TransferEncoding, a.Status(), framing, a.ContentLength())
		}
	})
}

const (
	shortRequest = "POST /api/tank HTTP/1.1\r\nHost: a\r\nX-Request-ID: 9b1f03aa5c7e2d41\r\nX-Priority-Class: book\r\n" +
		"X-Timeout: 20000m\r\nIdempotency-Key: k\r\nContent-Length: 10\r\n\r\n0123456789"
	shortResponse = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nDate: Tue, 01 Dec 2026 11:00:00 GMT\r\nContent-Length: 2\r\n\r\nok"
)

// A short message is read and written without an allocation.
func BenchmarkShortMessage(b *testing.B) {
	r, a := NewRequest(DefaultLimits), NewResponse(DefaultLimits)
	request, answer := []byte(shortRequest), []byte(shortResponse)
	out := make([]byte, 0, 4096)
	b.ReportAllocs()
	for b.Loop() {
		r.Reset()
		a.Reset()
		if n, err := r.Parse(request); n == 0 || err != nil {
			b.Fatal(err)
		}
		out = AppendRequestLine(out[:0], r.Method(), r.Target())
		for i := range r.NumFields() {
			if f := r.Field(i); r.IsEndToEnd(f.Name) {
				out = AppendParsedField(out, f)
			}
		}
		out = append(AppendHeadEnd(AppendContentLength(out, r.ContentLength())), "0123456789"...)
		if n, err := a.Parse(answer); n == 0 || err != nil {
			b.Fatal(err)
		}
		out = append(AppendHeadEnd(AppendContentLength(AppendStatusLine(out[:0], a.Status()), 2)), "ok"...)
	}
}

func TestShortMessageAllocatesNothing(t *testing.T) {
	r, a := NewRequest(DefaultLimits), NewResponse(DefaultLimits)
	request, answer := []byte(shortRequest), []byte(shortResponse)
	out := make([]byte, 0, 4096)
	if n := testing.AllocsPerRun(100, func() {
		r.Reset()
		a.Reset()
		r.Parse(request)
		a.Parse(answer)
		out = AppendContentLength(AppendRequestLine(out[:0], r.Method(), r.Target()), 10)
		r.Get("X-Timeout")
	}); n != 0 {
		t.Errorf("%v allocations", n)
	}
}
