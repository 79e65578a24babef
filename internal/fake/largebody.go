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

// NewLargeBodyServer starts a node on loopback that takes bodies of any length and answers with so many
// bytes once it has read one whole. It is net/http's server; Close ends it.
func NewLargeBodyServer(answer int64) (*http.Server, string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, "", fmt.Errorf("stand-in node: %w", err)
	}
	s := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		w.Header().Set("Content-Length", strconv.FormatInt(answer, 10))
		io.CopyN(w, fillerReader{}, answer)
	})}
	go s.Serve(l)
	return s, l.Addr().String(), nil
}

// fillerReader is read without end.
type fillerReader struct{}

func (fillerReader) Read(p []byte) (int, error) { return len(p), nil }

// LargeBodyCaller sends a long body and reads a long answer on a connection of its own.
type LargeBodyCaller struct {
	Addr, Class, Path, ID    string
	BodyBytes, ResponseBytes int64
	BytesPerSecond           int64 // bytes a second either way, 0 for as fast as it goes
	Timeout                  time.Duration
}

// transferInterval is how often a caller with a rate sends or reads.
const transferInterval = 50 * time.Millisecond

// copyAtRate copies n bytes at a rate.
func copyAtRate(to io.Writer, from io.Reader, n, rate int64) error {
	if rate == 0 {
		_, err := io.CopyBuffer(struct{ io.Writer }{to}, io.LimitReader(from, n), make([]byte, 64<<10))
		return err
	}
	piece := max(rate*int64(transferInterval)/int64(time.Second), 1)
	for n > 0 {
		m, err := io.CopyN(to, from, min(piece, n))
		if err != nil {
			return err
		}
		n -= m
		time.Sleep(transferInterval)
	}
	return nil
}

// Do asks once. An error tells that the answer was none, or not whole.
func (b LargeBodyCaller) Do() error {
	c, err := net.Dial("tcp", b.Addr)
	if err != nil {
		return fmt.Errorf("stand-in caller: %w", err)
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(b.Timeout))
	sent := make(chan error, 1)
	go func() {
		_, err := fmt.Fprintf(c, "POST /api/%s HTTP/1.1\r\nHost: origin.svc\r\nX-Request-ID: %s\r\nIdempotency-Key: %s\r\nX-Priority-Class: %s\r\n"+
			"X-Timeout: %dm\r\nContent-Length: %d\r\n\r\n", b.Path, b.ID, b.ID, b.Class, b.Timeout.Milliseconds(), b.BodyBytes)
		sent <- errors.Join(err, copyAtRate(c, fillerReader{}, b.BodyBytes, b.BytesPerSecond))
	}()
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return fmt.Errorf("stand-in caller: %w", err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK || resp.ContentLength != b.ResponseBytes {
		return fmt.Errorf("stand-in caller: %s, %d bytes", resp.Status, resp.ContentLength)
	}
	return errors.Join(copyAtRate(io.Discard, resp.Body, b.ResponseBytes, b.BytesPerSecond), <-sent)
}
