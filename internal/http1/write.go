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

// AppendStatusLine appends an answer's start line. The reason is left empty: nobody may go by
// it, RFC 9112, 4.
func AppendStatusLine(b []byte, status int) []byte {
	b = append(b, "HTTP/1.1 "...)
	b = strconv.AppendInt(b, int64(status), 10)
	return append(b, " \r\n"...)
}

// AppendField appends a field whose name and value hold no line end.
func AppendField(b []byte, name, value string) []byte {
	b = append(b, name...)
	b = append(b, ": "...)
	b = append(b, value...)
	return append(b, "\r\n"...)
}

// AppendParsedField appends a field that was parsed.
func AppendParsedField(b []byte, f Field) []byte {
	b = append(b, f.Name...)
	b = append(b, ": "...)
	b = append(b, f.Value...)
	return append(b, "\r\n"...)
}

// AppendContentLength appends a Content-Length.
func AppendContentLength(b []byte, n int64) []byte {
	b = append(b, "Content-Length: "...)
	b = strconv.AppendInt(b, n, 10)
	return append(b, "\r\n"...)
}

// AppendRetryAfter appends when to come back, in seconds, to the millisecond.
func AppendRetryAfter(b []byte, d time.Duration) []byte {
	b = append(b, "Retry-After: "...)
	b = strconv.AppendFloat(b, d.Seconds(), 'f', 3, 64)
	return append(b, "\r\n"...)
}

// AppendHeadEnd ends a head.
func AppendHeadEnd(b []byte) []byte { return append(b, "\r\n"...) }

// AppendChunk appends a chunk; data must not be empty.
func AppendChunk(b, data []byte) []byte {
	b = append(AppendChunkSize(b, len(data)), data...)
	return append(b, "\r\n"...)
}

// AppendChunkSize appends what goes before the data of a chunk of n bytes, which is not 0; a
// line end goes behind it.
func AppendChunkSize(b []byte, n int) []byte {
	return append(strconv.AppendInt(b, int64(n), 16), "\r\n"...)
}

// AppendLastChunk ends a body of chunks, with trailers that are whole lines.
func AppendLastChunk(b, trailers []byte) []byte {
	b = append(b, "0\r\n"...)
	b = append(b, trailers...)
	return append(b, "\r\n"...)
}

// AppendChunkedEncoding appends the field that says that a body comes in chunks.
func AppendChunkedEncoding(b []byte) []byte { return AppendField(b, "Transfer-Encoding", "chunked") }

// ContinueResponse is the interim answer that a client waits for which expects it.
const ContinueResponse = "HTTP/1.1 100 Continue\r\n\r\n"
