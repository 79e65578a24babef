package http1

import (
	"strconv"
	"time"
)

// AppendRequestLine appends a request's start line.
func AppendRequestLine(b, method, target []byte) []byte {
	b = append(b, method...)
	b = append(b, ' ')
	b = append(b, target...)
	return append(b, " HTTP/1.1\r\n"...)
}

// AppendStatusLine appends a response's start line. The reason is left empty, since clients ought to
// ignore it, RFC 9112, 4.
func AppendStatusLine(b []byte, status int) []byte {
	b = append(b, "HTTP/1.1 "...)
	b = strconv.AppendInt(b, int64(status), 10)
	return append(b, " \r\n"...)
}

// AppendField appends a field. Its name and value must not contain line ends.
func AppendField(b []byte, name, value string) []byte {
	b = append(b, name...)
	b = append(b, ": "...)
	b = append(b, value...)
	return append(b, "\r\n"...)
}

// AppendParsedField appends a field of a parsed head.
func AppendParsedField(b []byte, f Field) []byte {
	b = append(b, f.Name...)
	b = append(b, ": "...)
	b = append(b, f.Value...)
	return append(b, "\r\n"...)
}

// AppendContentLength appends a Content-Length field for a body of n bytes.
func AppendContentLength(b []byte, n int64) []byte {
	b = append(b, "Content-Length: "...)
	b = strconv.AppendInt(b, n, 10)
	return append(b, "\r\n"...)
}

// AppendRetryAfter appends a Retry-After field with the delay d in seconds, to the millisecond.
func AppendRetryAfter(b []byte, d time.Duration) []byte {
	b = append(b, "Retry-After: "...)
	b = strconv.AppendFloat(b, d.Seconds(), 'f', 3, 64)
	return append(b, "\r\n"...)
}

// AppendHeadEnd appends the empty line that ends a head.
func AppendHeadEnd(b []byte) []byte { return append(b, "\r\n"...) }

// AppendChunk appends a chunk. data must not be empty: an empty chunk would end the body.
func AppendChunk(b, data []byte) []byte {
	b = append(AppendChunkSize(b, len(data)), data...)
	return append(b, "\r\n"...)
}

// AppendChunkSize appends the size line of a chunk of n bytes. n must not be 0. The caller must send a
// CRLF after the chunk's data.
func AppendChunkSize(b []byte, n int) []byte {
	return append(strconv.AppendInt(b, int64(n), 16), "\r\n"...)
}

// AppendLastChunk appends the end of a chunked body. trailers must be whole lines, each with its CRLF, or
// empty.
func AppendLastChunk(b, trailers []byte) []byte {
	b = append(b, "0\r\n"...)
	b = append(b, trailers...)
	return append(b, "\r\n"...)
}

// AppendChunkedEncoding appends the Transfer-Encoding field of a chunked body.
func AppendChunkedEncoding(b []byte) []byte { return AppendField(b, "Transfer-Encoding", "chunked") }

// ContinueResponse is the interim response that a client with Expect: 100-continue waits for.
const ContinueResponse = "HTTP/1.1 100 Continue\r\n\r\n"
