package http1

import "strconv"

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

// AppendParsed appends a field that was parsed.
func AppendParsed(b []byte, f Field) []byte {
	b = append(b, f.Name...)
	b = append(b, ": "...)
	b = append(b, f.Value...)
	return append(b, "\r\n"...)
}

// AppendLength appends a Content-Length.
func AppendLength(b []byte, n int64) []byte {
	b = append(b, "Content-Length: "...)
	b = strconv.AppendInt(b, n, 10)
	return append(b, "\r\n"...)
}

// AppendEnd ends a head.
func AppendEnd(b []byte) []byte { return append(b, "\r\n"...) }

// AppendChunk appends a chunk; data must not be empty.
func AppendChunk(b, data []byte) []byte {
	b = strconv.AppendInt(b, int64(len(data)), 16)
	b = append(b, "\r\n"...)
	b = append(b, data...)
	return append(b, "\r\n"...)
}

// AppendLastChunk ends a body of chunks.
func AppendLastChunk(b []byte) []byte { return append(b, "0\r\n\r\n"...) }

// Continue is the interim answer that a client waits for which expects it.
const Continue = "HTTP/1.1 100 Continue\r\n\r\n"
