package fake

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"
)

// NewLargeBodyServer starts a node on a free loopback port that accepts request bodies of any length
// and returns it with its address. After it has read a whole request it responds with a body of
// responseBytes bytes. The node is net/http's server; callers must call Close.
func NewLargeBodyServer(responseBytes int64) (*http.Server, string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, "", fmt.Errorf("fake node: %w", err)
	}
	s := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		w.Header().Set("Content-Length", strconv.FormatInt(responseBytes, 10))
		io.CopyN(w, fillerReader{}, responseBytes)
	})}
	go s.Serve(l)
	return s, l.Addr().String(), nil
}

// fillerReader is an endless io.Reader. It leaves the buffer's bytes as they are: the content of the
// bodies does not matter.
type fillerReader struct{}

func (fillerReader) Read(p []byte) (int, error) { return len(p), nil }

// LargeBodyCaller sends one request with a long body on a new connection and reads a long response.
type LargeBodyCaller struct {
	Addr, Class, Path, ID    string // Path without the leading /api/
	BodyBytes, ResponseBytes int64
	BytesPerSecond           int64         // in each direction; 0 means unlimited
	Timeout                  time.Duration // for the whole exchange; also sent as X-Timeout
}

// transferInterval is the time between two writes or reads of a caller with limited BytesPerSecond.
const transferInterval = 50 * time.Millisecond

// copyAtRate copies n bytes at bytesPerSecond; 0 means unlimited.
func copyAtRate(dst io.Writer, src io.Reader, n, bytesPerSecond int64) error {
	if bytesPerSecond == 0 {
		// The wrapper hides ReadFrom, so that CopyBuffer uses the buffer.
		_, err := io.CopyBuffer(struct{ io.Writer }{dst}, io.LimitReader(src, n), make([]byte, 64<<10))
		return err
	}
	bytesPerInterval := max(bytesPerSecond*int64(transferInterval)/int64(time.Second), 1)
	for n > 0 {
		copied, err := io.CopyN(dst, src, min(bytesPerInterval, n))
		if err != nil {
			return err
		}
		n -= copied
		time.Sleep(transferInterval)
	}
	return nil
}

// Do sends the request and reads the response. It returns an error unless the response has status
// 200 and a complete body of ResponseBytes bytes, and the whole request was sent.
func (c LargeBodyCaller) Do() error {
	conn, err := net.Dial("tcp", c.Addr)
	if err != nil {
		return fmt.Errorf("fake caller: %w", err)
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(c.Timeout))
	sent := make(chan error, 1)
	go func() {
		_, err := fmt.Fprintf(conn, "POST /api/%s HTTP/1.1\r\nHost: origin.svc\r\nX-Request-ID: %s\r\nIdempotency-Key: %s\r\nX-Priority-Class: %s\r\n"+
			"X-Timeout: %dm\r\nContent-Length: %d\r\n\r\n", c.Path, c.ID, c.ID, c.Class, c.Timeout.Milliseconds(), c.BodyBytes)
		sent <- errors.Join(err, copyAtRate(conn, fillerReader{}, c.BodyBytes, c.BytesPerSecond))
	}()
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return fmt.Errorf("fake caller: %w", err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK || resp.ContentLength != c.ResponseBytes {
		return fmt.Errorf("fake caller: unexpected response: %s, Content-Length %d", resp.Status, resp.ContentLength)
	}
	return errors.Join(copyAtRate(io.Discard, resp.Body, c.ResponseBytes, c.BytesPerSecond), <-sent)
}
