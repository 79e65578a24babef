package sidecar

import (
	"bufio"
	"bytes"
	"context"
	"crypto/sha256"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"barleydrum.example/barleydrum/balance"
	"barleydrum.example/barleydrum/internal/body"
	"barleydrum.example/barleydrum/internal/discovery"
	"barleydrum.example/barleydrum/internal/fake"
)

// streamSettings takes long bodies both ways, kept in files.
const streamSettings = `
[streams]
max_body = "64MiB"
max_answer = "64MiB"
chunked = true
memory = "128KiB"
memory_all = "1MiB"
file = "64MiB"
files_all = "256MiB"
rate_window = "10s"
`

// shortRateWindowSettings finds slow sides soon.
var shortRateWindowSettings = strings.Replace(streamSettings, `"10s"`, `"100ms"`, 1) + "least_rate = \"100KiB\"\n"

func randomBytes(n int) []byte {
	p := make([]byte, n)
	rand.NewChaCha8([32]byte{byte(n), byte(n >> 8)}).Read(p)
	return p
}

// waitUntilIdle waits until a sidecar holds nothing of any call or body.
func (p *testSidecar) waitUntilIdle() {
	p.t.Helper()
	for end := time.Now().Add(testTimeout); ; time.Sleep(time.Millisecond) {
		s := p.engine.Stats()
		f, b := p.server.StreamStats()
		b.DiscardedBodies, b.FileErrors = 0, 0
		if s.OpenCalls == 0 && s.AttemptsInFlight == 0 && f.OpenRequests == 0 && b == (body.Stats{}) {
			return
		}
		if time.Now().After(end) {
			p.t.Fatalf("left: %+v, %+v, %+v", s, f, b)
		}
	}
}

// uploadRequest returns a request with a long body, in chunks if its length is not told.
func (p *testSidecar) uploadRequest(class string, body io.Reader, length int64) *http.Request {
	req := p.request(class, "")
	req.Method = http.MethodPost
	req.Body, req.ContentLength = io.NopCloser(body), length
	return req
}

// Long bodies pass unchanged in every framing, both ways at once, with net/http on both ends.
func TestStreamedBodiesAreUnchangedInEveryFraming(t *testing.T) {
	up, down := randomBytes(3<<20), randomBytes(2<<20+1)
	for _, asked := range []string{"length", "chunks"} {
		for _, answered := range []string{"length", "chunks", "close"} {
			addr := fake.StartHTTPServer(t, func(w http.ResponseWriter, r *http.Request) {
				h := sha256.New()
				if _, err := io.Copy(h, r.Body); err != nil || [32]byte(h.Sum(nil)) != sha256.Sum256(up) {
					t.Errorf("%s: the node got something else: %v", asked, err)
				}
				if got := r.Trailer.Get("Checksum"); asked == "chunks" && got != "up" {
					t.Errorf("trailer %q", got)
				}
				switch answered {
				case "length":
					w.Header().Set("Content-Length", fmt.Sprint(len(down)))
				case "chunks":
					w.Header().Set("Trailer", "Checksum")
					defer w.Header().Set("Checksum", "down")
				case "close":
					c, _, err := w.(http.Hijacker).Hijack()
					if err != nil {
						t.Error(err)
						return
					}
					io.WriteString(c, "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n")
					c.Write(down)
					c.Close()
					return
				}
				w.Write(down)
			})
			p := startSidecar(t, configWithSettings(t, fake.EndpointList(addr), streamSettings))
			length := int64(len(up))
			if asked == "chunks" {
				length = -1
			}
			req := p.uploadRequest("book", bytes.NewReader(up), length)
			if asked == "chunks" {
				req.Trailer = http.Header{"Checksum": {"up"}}
			}
			resp, got := p.send(req)
			if resp.StatusCode != 200 || got != string(down) {
				t.Errorf("%s, %s: %s, %d bytes", asked, answered, resp.Status, len(got))
			}
			if trailer := resp.Trailer.Get("Checksum"); answered == "chunks" && trailer != "down" {
				t.Errorf("trailer %q", trailer)
			}
			p.waitUntilIdle()
		}
	}
}

// A connection serves on after bodies that came whole, either way.
func TestCallerConnectionIsReusedAfterStreamedBodies(t *testing.T) {
	addr := fake.StartHTTPServer(t, func(w http.ResponseWriter, r *http.Request) {
		text, _ := io.ReadAll(r.Body)
		w.Write(text)
	})
	p := startSidecar(t, configWithSettings(t, fake.EndpointList(addr), streamSettings))
	c, err := net.Dial("tcp", strings.TrimPrefix(p.url, "http://"))
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	in := bufio.NewReader(c)
	want := randomBytes(300_000)
	for i, class := range []string{"book", "read", "book"} {
		req := p.uploadRequest(class, bytes.NewReader(want), int64(len(want)))
		if i == 1 {
			req.ContentLength = -1
		}
		go req.Write(c)
		resp, err := http.ReadResponse(in, req)
		if err != nil {
			t.Fatal(i, err)
		}
		got, err := io.ReadAll(resp.Body)
		if err != nil || !bytes.Equal(got, want) {
			t.Fatal(i, resp.Status, len(got), err)
		}
	}
	p.waitUntilIdle()
}

// resettingNode is a node that resets the connection after so many bytes of the first request's body,
// and keeps what it got of each that came whole.
type resettingNode struct {
	resetAfterBytes  int64 // bytes; -1 for all of them, before it answers
	mu               sync.Mutex
	requestCount     int
	completeBodySums [][32]byte
}

func (b *resettingNode) serve(w http.ResponseWriter, r *http.Request) {
	b.mu.Lock()
	b.requestCount++
	first := b.requestCount == 1
	b.mu.Unlock()
	if first && b.resetAfterBytes >= 0 {
		io.CopyN(io.Discard, r.Body, b.resetAfterBytes)
		resetConn(w)
		return
	}
	h := sha256.New()
	if _, err := io.Copy(h, r.Body); err != nil {
		return
	}
	b.mu.Lock()
	b.completeBodySums = append(b.completeBodySums, [32]byte(h.Sum(nil)))
	b.mu.Unlock()
	if first {
		resetConn(w)
	}
}

func resetConn(w http.ResponseWriter) {
	c, _, err := w.(http.Hijacker).Hijack()
	if err != nil {
		return
	}
	c.(*net.TCPConn).SetLinger(0)
	c.Close()
}

// An endpoint resets in the middle of an upload, at every stage: what was not whole has not run,
// and is sent again from its begin, byte for byte, also of the class that may not run twice. What
// was handed to the kernel whole may have run, also where the endpoint has not read all of it: the
// body is longer than the kernel holds.
func TestEndpointResetMidUpload(t *testing.T) {
	const size = 24 << 20
	want := randomBytes(size)
	for _, class := range []string{"read", "book", "pay"} {
		for _, after := range []int64{1, size / 2, size - 1, -1} {
			b := &resettingNode{resetAfterBytes: after}
			addr := fake.StartHTTPServer(t, b.serve)
			p := startSidecar(t, configWithSettings(t, fake.EndpointList(addr, fake.StartHTTPServer(t, b.serve)), streamSettings))
			resp, _ := p.send(p.uploadRequest(class, bytes.NewReader(want), size))
			served := after >= 0 && after <= size/2 || class != "pay"
			if got := resp.StatusCode; served && got != 200 || !served && got != http.StatusBadGateway {
				t.Errorf("%s after %d: %s", class, after, resp.Status)
			}
			b.mu.Lock()
			if n := map[bool]int{true: 2, false: 1}[served]; b.requestCount != n {
				t.Errorf("%s after %d: sent %d times, want %d", class, after, b.requestCount, n)
			}
			for _, sum := range b.completeBodySums {
				if sum != sha256.Sum256(want) {
					t.Errorf("%s after %d: a node got something else", class, after)
				}
			}
			b.mu.Unlock()
			p.waitUntilIdle()
		}
	}
}

// limitedFile is a file that is full after so many bytes.
type limitedFile struct {
	capacityBytes int64
	shortWrites   bool
	writeErr      error
	data          []byte
}

func (d *limitedFile) WriteAt(p []byte, off int64) (int, error) {
	n := int(min(int64(len(p)), max(d.capacityBytes-off, 0)))
	d.data = append(d.data[:off], p[:n]...)
	if n < len(p) && !d.shortWrites {
		return n, d.writeErr
	}
	return n, nil
}

func (d *limitedFile) ReadAt(p []byte, off int64) (int, error) { return copy(p, d.data[off:]), nil }
func (d *limitedFile) Close() error                            { return nil }

// A body that can't be kept, for whatever reason, goes out once and no more: a node that resets
// it costs a safe or keyed request a refusal, an unsafe one that may have run a failure.
func TestUploadThatIsNotRetainedIsSentOnce(t *testing.T) {
	const size = 1 << 20
	want := randomBytes(size)
	for name, store := range map[string]*body.Store{
		"no file": body.NewStoreWithFileOpener(func() (body.File, error) { return nil, syscall.EMFILE }),
		"ENOSPC":  body.NewStoreWithFileOpener(func() (body.File, error) { return &limitedFile{capacityBytes: size / 4, writeErr: syscall.ENOSPC}, nil }),
		"EDQUOT":  body.NewStoreWithFileOpener(func() (body.File, error) { return &limitedFile{capacityBytes: size / 4, writeErr: syscall.EDQUOT}, nil }),
		"short":   body.NewStoreWithFileOpener(func() (body.File, error) { return &limitedFile{capacityBytes: size/4 + 5, shortWrites: true}, nil }),
	} {
		for class, status := range map[string]int{"read": 503, "book": 503, "pay": 502} {
			b := &resettingNode{resetAfterBytes: -1}
			p := startSidecar(t, configWithSettings(t, fake.EndpointList(fake.StartHTTPServer(t, b.serve), fake.StartHTTPServer(t, b.serve)), streamSettings))
			p.server.bodies = store
			resp, _ := p.send(p.uploadRequest(class, bytes.NewReader(want), size))
			b.mu.Lock()
			if resp.StatusCode != status || b.requestCount != 1 || len(b.completeBodySums) != 1 || b.completeBodySums[0] != sha256.Sum256(want) {
				t.Errorf("%s, %s: %s, sent %d times, %d whole", name, class, resp.Status, b.requestCount, len(b.completeBodySums))
			}
			b.mu.Unlock()
			p.waitUntilIdle()
		}
	}
}

// A caller of a few bytes a second is ended, told that it was slow, and its endpoint is none the
// worse for it: the next request goes there at once.
func TestSlowUploadIsRejectedAndEndpointNotBlamed(t *testing.T) {
	var broken atomic.Int32
	addr := fake.StartHTTPServer(t, func(w http.ResponseWriter, r *http.Request) {
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			broken.Add(1)
		}
	})
	p := startSidecar(t, configWithSettings(t, fake.EndpointList(addr), shortRateWindowSettings))
	c, err := net.Dial("tcp", strings.TrimPrefix(p.url, "http://"))
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	stop := make(chan struct{})
	defer close(stop)
	go func() {
		fmt.Fprintf(c, "POST /api/a HTTP/1.1\r\nHost: a\r\nX-Request-ID: slow\r\nX-Priority-Class: pay\r\nX-Timeout: 20000m\r\nContent-Length: 1000000\r\n\r\n")
		for {
			select {
			case <-stop:
				return
			case <-time.After(20 * time.Millisecond):
				if _, err := c.Write([]byte("x")); err != nil {
					return
				}
			}
		}
	}()
	c.SetReadDeadline(time.Now().Add(testTimeout))
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		t.Fatal(err)
	}
	if why, _ := io.ReadAll(resp.Body); resp.StatusCode != http.StatusRequestTimeout || !strings.Contains(string(why), "caller is slow") {
		t.Errorf("%s %q", resp.Status, why)
	}
	p.waitUntilIdle()
	if resp, _ := p.send(p.request("pay", "x")); resp.StatusCode != 200 {
		t.Errorf("the endpoint is blamed: %s", resp.Status)
	}
	if f, _ := p.server.StreamStats(); f.SlowCallers != 1 || f.SlowEndpoints != 0 || broken.Load() != 1 {
		t.Errorf("%+v, %d broken at the node", f, broken.Load())
	}
}

// An endpoint that takes an upload too slowly has not run it: the upload goes to another.
func TestUploadMovesFromSlowEndpointToAnother(t *testing.T) {
	want := randomBytes(32 << 20) // more than the kernel's buffers take
	var first atomic.Bool
	stop := make(chan struct{})
	node := func(w http.ResponseWriter, r *http.Request) {
		if first.CompareAndSwap(false, true) {
			<-stop
			return
		}
		h := sha256.New()
		if io.Copy(h, r.Body); [32]byte(h.Sum(nil)) != sha256.Sum256(want) {
			t.Error("the second node got something else")
		}
	}
	p := startSidecar(t, configWithSettings(t, fake.EndpointList(fake.StartHTTPServer(t, node), fake.StartHTTPServer(t, node)), shortRateWindowSettings))
	defer close(stop)
	if resp, _ := p.send(p.uploadRequest("pay", bytes.NewReader(want), int64(len(want)))); resp.StatusCode != 200 || !first.Load() {
		t.Errorf("%s", resp.Status)
	}
	p.waitUntilIdle()
}

// An endpoint answers before it has read the request, while the caller goes on sending, or has
// stopped: the answer comes at once and whole, the connections end, and nothing is left.
func TestEarlyResponseReachesCaller(t *testing.T) {
	long := randomBytes(2 << 20)
	for _, c := range []struct {
		name   string
		answer []byte
		stops  bool
	}{
		{"short", []byte("enough"), false}, {"short, the caller has stopped", []byte("enough"), true},
		{"long", long, false}, {"long, the caller has stopped", long, true},
	} {
		addr := fake.StartTCPServer(t, func(n net.Conn) {
			defer n.Close()
			in := bufio.NewReader(n)
			if _, err := http.ReadRequest(in); err != nil {
				return
			}
			fmt.Fprintf(n, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n", len(c.answer))
			n.Write(c.answer)
			io.Copy(io.Discard, in)
		})
		p := startSidecar(t, configWithSettings(t, fake.EndpointList(addr), streamSettings))
		caller, err := net.Dial("tcp", strings.TrimPrefix(p.url, "http://"))
		if err != nil {
			t.Fatal(err)
		}
		fmt.Fprintf(caller, "POST /api/a HTTP/1.1\r\nHost: a\r\nX-Request-ID: e\r\nX-Priority-Class: pay\r\nContent-Length: 60000000\r\n\r\n")
		caller.Write(make([]byte, 100_000))
		if !c.stops {
			go io.Copy(caller, zeroReader{})
		}
		caller.SetReadDeadline(time.Now().Add(testTimeout))
		resp, err := http.ReadResponse(bufio.NewReader(caller), nil)
		if err != nil {
			t.Fatal(c.name, err)
		}
		if got, err := io.ReadAll(resp.Body); err != nil || resp.StatusCode != 200 || !bytes.Equal(got, c.answer) || !resp.Close {
			t.Errorf("%s: %s, %d bytes, %v, close %v", c.name, resp.Status, len(got), err, resp.Close)
		}
		caller.Close()
		p.waitUntilIdle()
	}
}

type zeroReader struct{}

func (zeroReader) Read(p []byte) (int, error) { clear(p); return len(p), nil }

// Once part of an answer has gone to the caller there is no other: one that breaks off, or stops,
// is seen as broken by the caller, in every framing; and no further attempt is made.
func TestTruncatedStreamedResponseIsNotRetried(t *testing.T) {
	part := randomBytes(200_000)
	for _, framing := range []string{"Content-Length: 1000000", "Transfer-Encoding: chunked"} {
		for _, how := range []string{"reset", "end", "silence", "bad chunk"} {
			var seen atomic.Int32
			stop := make(chan struct{})
			addr := fake.StartTCPServer(t, func(n net.Conn) {
				defer n.Close()
				if err := fake.DiscardRequest(bufio.NewReader(n)); err != nil {
					return
				}
				seen.Add(1)
				fmt.Fprintf(n, "HTTP/1.1 200 OK\r\n%s\r\n\r\n", framing)
				if strings.HasPrefix(framing, "T") {
					fmt.Fprintf(n, "%x\r\n%s\r\n", len(part), part)
				} else {
					n.Write(part)
				}
				switch how {
				case "reset":
					n.(*net.TCPConn).SetLinger(0)
				case "silence":
					<-stop
				case "bad chunk":
					io.WriteString(n, "zz\r\n")
				}
			})
			p := startSidecar(t, configWithSettings(t, fake.EndpointList(addr, addr), shortRateWindowSettings))
			resp, err := http.DefaultTransport.RoundTrip(p.request("read", ""))
			if err == nil {
				var got []byte
				got, err = io.ReadAll(resp.Body)
				resp.Body.Close()
				if !bytes.HasPrefix(append(part, "zz\r\n"...), got) {
					t.Errorf("%s, %s: something else came", framing, how)
				}
			}
			if err == nil || seen.Load() != 1 {
				t.Errorf("%s, %s: %v after %d attempts", framing, how, err, seen.Load())
			}
			close(stop)
			p.waitUntilIdle()
		}
	}
}

// Until part of an answer has gone to the caller, another attempt may answer.
func TestResponseTruncatedBeforeCommitThresholdIsRetried(t *testing.T) {
	var seen atomic.Int32
	addr := fake.StartTCPServer(t, func(n net.Conn) {
		defer n.Close()
		if err := fake.DiscardRequest(bufio.NewReader(n)); err != nil {
			return
		}
		if seen.Add(1) == 1 { // less than what is looked at
			fmt.Fprintf(n, "HTTP/1.1 200 OK\r\nContent-Length: 1000000\r\n\r\n%s", randomBytes(8000))
			return
		}
		fmt.Fprintf(n, "HTTP/1.1 200 OK\r\nContent-Length: 100000\r\n\r\n%s", randomBytes(100000))
	})
	p := startSidecar(t, configWithSettings(t, fake.EndpointList(addr, addr), streamSettings))
	if resp, got := p.send(p.request("read", "")); resp.StatusCode != 200 || got != string(randomBytes(100000)) || seen.Load() != 2 {
		t.Errorf("%s, %d bytes, %d attempts", resp.Status, len(got), seen.Load())
	}
	p.waitUntilIdle()
}

// A caller that stops reading a long answer is ended, or goes by itself: the endpoint is let go.
func TestStalledOrDisconnectedCallerReleasesEndpoint(t *testing.T) {
	for _, goes := range []bool{false, true} {
		let := make(chan struct{})
		addr := fake.StartTCPServer(t, func(n net.Conn) {
			defer n.Close()
			if err := fake.DiscardRequest(bufio.NewReader(n)); err != nil {
				return
			}
			fmt.Fprintf(n, "HTTP/1.1 200 OK\r\nContent-Length: 60000000\r\n\r\n")
			io.CopyN(n, zeroReader{}, 60_000_000)
			close(let)
		})
		text := shortRateWindowSettings
		if goes {
			text = streamSettings
		}
		p := startSidecar(t, configWithSettings(t, fake.EndpointList(addr), text))
		caller, err := net.Dial("tcp", strings.TrimPrefix(p.url, "http://"))
		if err != nil {
			t.Fatal(err)
		}
		p.request("read", "").Write(caller)
		io.ReadFull(caller, make([]byte, 1000))
		if goes {
			caller.Close()
		}
		waitFor(t, let, "the endpoint is let go")
		p.waitUntilIdle()
		if f, _ := p.server.StreamStats(); f.IncompleteBodies != 1 || f.SlowEndpoints != 0 || !goes && f.SlowCallers != 1 {
			t.Errorf("%+v", f)
		}
		caller.Close()
	}
}

// A caller goes in the middle of its upload: no endpoint gets it whole.
func TestCallerDisconnectMidUpload(t *testing.T) {
	came := make(chan error, 1)
	addr := fake.StartHTTPServer(t, func(w http.ResponseWriter, r *http.Request) {
		_, err := io.Copy(io.Discard, r.Body)
		came <- err
	})
	p := startSidecar(t, configWithSettings(t, fake.EndpointList(addr), streamSettings))
	for _, chunked := range []string{"Content-Length: 1000000\r\n\r\n" + strings.Repeat("x", 500_000), "Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n"} {
		c, err := net.Dial("tcp", strings.TrimPrefix(p.url, "http://"))
		if err != nil {
			t.Fatal(err)
		}
		fmt.Fprintf(c, "POST /api/a HTTP/1.1\r\nHost: a\r\nX-Request-ID: g\r\nX-Priority-Class: pay\r\n%s", chunked)
		for p.engine.Stats().AttemptsInFlight == 0 {
			time.Sleep(time.Millisecond)
		}
		c.Close()
		if err := <-came; err == nil {
			t.Error("the node got a whole request")
		}
		p.waitUntilIdle()
	}
}

// Chunks that can be read in two ways, and bodies that are too long, are refused, and what went
// on of them never becomes a whole request at the endpoint.
func TestServerRejectsMalformedChunkedUploads(t *testing.T) {
	var whole atomic.Int32
	addr := fake.StartHTTPServer(t, func(w http.ResponseWriter, r *http.Request) {
		if _, err := io.Copy(io.Discard, r.Body); err == nil {
			whole.Add(1)
		}
	})
	p := startSidecar(t, configWithSettings(t, fake.EndpointList(addr), strings.Replace(streamSettings, `max_body = "64MiB"`, `max_body = "100kB"`, 1)))
	good := "5\r\nhello\r\n"
	for text, status := range map[string]int{
		good + "zz\r\n":                         400,
		good + "5\nhello\r\n":                   400,
		good + "5\r\nhelloX":                    400,
		good + "-1\r\n":                         400,
		good + " 5\r\nhello\r\n":                400,
		good + "0x5\r\nhello\r\n":               400,
		good + "1111111111111111\r\n":           400,
		good + "0\r\nHost: b\r\n\r\n":           400,
		good + "0\r\nContent-Length: 3\r\n\r\n": 400,
		good + "5;" + strings.Repeat("x", 300):  400,
		good + "0\r\n" + strings.Repeat("A: "+string(make([]byte, 0))+strings.Repeat("b", 90)+"\r\n", 60): 431,
		strings.Repeat(fmt.Sprintf("%x\r\n%s\r\n", 50_000, make([]byte, 50_000)), 3):                      413,
	} {
		c, err := net.Dial("tcp", strings.TrimPrefix(p.url, "http://"))
		if err != nil {
			t.Fatal(err)
		}
		go fmt.Fprintf(c, "POST /api/a HTTP/1.1\r\nHost: a\r\nX-Request-ID: f\r\nX-Priority-Class: pay\r\nTransfer-Encoding: chunked\r\n\r\n%s", text)
		c.SetReadDeadline(time.Now().Add(testTimeout))
		resp, err := http.ReadResponse(bufio.NewReader(c), nil)
		if err != nil {
			t.Fatalf("%.40q: %v", text, err)
		}
		if resp.StatusCode != status || !resp.Close {
			t.Errorf("%.40q: %s, close %v, want %d", text, resp.Status, resp.Close, status)
		}
		c.Close()
		p.waitUntilIdle()
	}
	if n := whole.Load(); n > 0 {
		t.Errorf("the node got %d whole requests", n)
	}
	if resp, _ := p.send(p.uploadRequest("pay", bytes.NewReader(randomBytes(100_001)), 100_001)); resp.StatusCode != http.StatusRequestEntityTooLarge {
		t.Errorf("one byte too many: %s", resp.Status)
	}
}

// A caller that waits for a 100 gets it once its body is wanted, and none where it is not.
func TestContinueIsSentOnlyIfBodyIsRead(t *testing.T) {
	addr := fake.StartHTTPServer(t, func(w http.ResponseWriter, r *http.Request) { io.Copy(io.Discard, r.Body) })
	for name, list := range map[string]discovery.List{"wanted": fake.EndpointList(addr), "not wanted": fake.EndpointList()} {
		p := startSidecar(t, configWithSettings(t, list, streamSettings))
		c, err := net.Dial("tcp", strings.TrimPrefix(p.url, "http://"))
		if err != nil {
			t.Fatal(err)
		}
		fmt.Fprintf(c, "POST /api/a HTTP/1.1\r\nHost: a\r\nX-Request-ID: w\r\nX-Priority-Class: pay\r\nX-Timeout: 500m\r\n"+
			"Expect: 100-continue\r\nContent-Length: 100000\r\n\r\n")
		c.SetReadDeadline(time.Now().Add(testTimeout))
		in := bufio.NewReader(c)
		resp, err := http.ReadResponse(in, nil)
		if err != nil {
			t.Fatal(name, err)
		}
		if name == "wanted" {
			if resp.StatusCode != 100 {
				t.Errorf("%s: %s", name, resp.Status)
			}
			c.Write(make([]byte, 100_000))
			if resp, err = http.ReadResponse(in, nil); err != nil {
				t.Fatal(err)
			}
			if resp.StatusCode != 200 {
				t.Errorf("%s: then %s", name, resp.Status)
			}
		} else if resp.StatusCode != 503 {
			t.Errorf("%s: %s", name, resp.Status)
		}
		c.Close()
		p.waitUntilIdle()
	}
}

// Only so many such requests are let in; one more is told when to come back, while short ones
// are served as ever.
func TestOpenStreamedRequestsAreLimited(t *testing.T) {
	addr := fake.StartHTTPServer(t, func(w http.ResponseWriter, r *http.Request) { io.Copy(io.Discard, r.Body) })
	c := configWithSettings(t, fake.EndpointList(addr), streamSettings+"open = 1\n")
	c.BalancerConfig.Limits.MaxRetryAfter = 2 * time.Second
	p := startSidecar(t, c)
	in, out := io.Pipe()
	done := make(chan *http.Response, 1)
	go func() {
		resp, _ := p.send(p.uploadRequest("pay", in, 100_000))
		done <- resp
	}()
	out.Write(make([]byte, 1000))
	for f, _ := p.server.StreamStats(); f.OpenRequests == 0; f, _ = p.server.StreamStats() {
		time.Sleep(time.Millisecond)
	}
	req := p.uploadRequest("book", bytes.NewReader(make([]byte, 100_000)), 100_000)
	req.Header.Set("X-Request-ID", "another")
	if resp, _ := p.send(req); resp.StatusCode != 503 || resp.Header.Get("Retry-After") != "2.000" {
		t.Errorf("%s %v", resp.Status, resp.Header)
	}
	req = p.request("pay", "short")
	req.Header.Set("X-Request-ID", "a third")
	if resp, _ := p.send(req); resp.StatusCode != 200 {
		t.Errorf("a short one: %s", resp.Status)
	}
	out.Write(make([]byte, 99_000))
	out.Close()
	if resp := <-done; resp.StatusCode != 200 {
		t.Errorf("the first: %s", resp.Status)
	}
	p.waitUntilIdle()
}

// An endpoint drains in the middle of a long upload: what runs there goes on to its end, and
// nothing new is sent there.
func TestEndpointDrainsMidUpload(t *testing.T) {
	var old, other atomic.Int32
	list := fake.EndpointList(fake.StartHTTPServer(t, func(w http.ResponseWriter, r *http.Request) {
		old.Add(1)
		io.Copy(io.Discard, r.Body)
	}))
	p := startSidecar(t, configWithSettings(t, list, streamSettings))
	in, out := io.Pipe()
	done := make(chan *http.Response, 1)
	go func() {
		resp, _ := p.send(p.uploadRequest("pay", in, 500_000))
		done <- resp
	}()
	out.Write(make([]byte, 200_000))
	for old.Load() == 0 {
		time.Sleep(time.Millisecond)
	}
	list.Instances[0].Lifecycle = "draining"
	fresh := fake.EndpointList(fake.StartHTTPServer(t, func(w http.ResponseWriter, r *http.Request) { other.Add(1) })).Instances[0]
	fresh.ID = "s-fresh"
	list.Instances = append(list.Instances, fresh)
	p.engine.UpdateEndpoints(&list)
	req := p.request("pay", "short")
	req.Header.Set("X-Request-ID", "another")
	if resp, _ := p.send(req); resp.StatusCode != 200 {
		t.Errorf("the next: %s", resp.Status)
	}
	out.Write(make([]byte, 300_000))
	out.Close()
	if resp := <-done; resp.StatusCode != 200 || old.Load() != 1 || other.Load() != 1 {
		t.Errorf("%s, %d at the old, %d at the new", resp.Status, old.Load(), other.Load())
	}
	p.waitUntilIdle()
}

// The end and a change of settings come while 100 streams are open: all get their answers whole.
func TestShutdownAndReloadWithStreams(t *testing.T) {
	const streams, half = 100, 100_000
	addr := fake.StartHTTPServer(t, echoBody)
	p := startSidecar(t, configWithSettings(t, fake.EndpointList(addr), streamSettings))
	want := randomBytes(2 * half)
	var begun, ended sync.WaitGroup
	rest := make(chan struct{})
	for i := range streams {
		begun.Add(1)
		ended.Add(1)
		go func() {
			defer ended.Done()
			in, out := io.Pipe()
			go func() {
				out.Write(want[:half])
				begun.Done()
				<-rest
				out.Write(want[half:])
				out.Close()
			}()
			req := p.uploadRequest("book", in, int64(len(want)))
			req.Header.Set("X-Request-ID", fmt.Sprint("s", i))
			resp, err := new(http.Transport).RoundTrip(req)
			if err != nil {
				t.Error(i, err)
				return
			}
			got, err := io.ReadAll(resp.Body)
			if err != nil || resp.StatusCode != 200 || !bytes.Equal(got, want) {
				t.Error(i, resp.Status, len(got), err)
			}
			resp.Body.Close()
		}()
	}
	begun.Wait()
	p.engine.ApplySettings(parseSettings(t, strings.Replace(streamSettings, `"128KiB"`, `"0"`, 1)))
	down := make(chan struct{})
	go func() {
		p.server.Shutdown()
		close(down)
	}()
	for !p.server.httpServer.Draining() {
		time.Sleep(time.Millisecond)
	}
	close(rest)
	ended.Wait()
	waitFor(t, down, "shutdown")
	p.waitUntilIdle()
}

// A keyed upload that is sent again, and would be whole only after its key is forgotten where it
// may have run, never becomes whole.
func TestRetriedUploadNeverCompletesAfterRepeatWindow(t *testing.T) {
	var whole atomic.Int32
	first := make(chan struct{}, 2)
	second := make(chan struct{})
	addr := fake.StartHTTPServer(t, func(w http.ResponseWriter, r *http.Request) {
		select {
		case first <- struct{}{}:
		default:
		}
		if len(first) == 2 {
			<-second // it is not read until the window has passed
		}
		if _, err := io.Copy(io.Discard, r.Body); err == nil {
			whole.Add(1)
		}
		if len(first) == 1 {
			first <- struct{}{}
			time.AfterFunc(600*time.Millisecond, func() { close(second) })
			resetConn(w)
		}
	})
	c := configWithSettings(t, fake.EndpointList(addr, addr), streamSettings)
	c.BalancerConfig.Classes[c.ClassIndex["book"]].RepeatWindow = 300 * time.Millisecond
	p := startSidecar(t, c)
	want := randomBytes(32 << 20)
	resp, err := http.DefaultTransport.RoundTrip(p.uploadRequest("book", bytes.NewReader(want), int64(len(want))))
	if err == nil {
		io.Copy(io.Discard, resp.Body)
		resp.Body.Close()
		if resp.StatusCode != 503 { // all endpoints drop its repeats, so that coming again does no harm
			t.Errorf("%s", resp.Status)
		}
	}
	p.waitUntilIdle()
	if n := whole.Load(); n != 1 {
		t.Errorf("it was whole %d times", n)
	}
}

// A random mix of bodies, faults and settings: exactly one final answer for each request, an
// effect at most once for each unsafe one, nothing whole that is not as it was sent, and nothing
// left.
func TestRandomStreams(t *testing.T) {
	const seed = 20261201
	rng := rand.New(rand.NewPCG(seed, 0))
	type sent struct {
		sum   [32]byte
		class string
	}
	var mu sync.Mutex
	asked, ran := map[string]sent{}, map[string]int{}
	fault := func(id string, attempt int) uint64 {
		return uint64(id[0])*31 + uint64(id[len(id)-1])*7 + uint64(attempt)*13
	}
	node := func(w http.ResponseWriter, r *http.Request) {
		id := r.Header.Get("X-Request-ID")
		mu.Lock()
		attempt := ran[id+" seen"]
		ran[id+" seen"]++
		mu.Unlock()
		switch fault(id, attempt) % 7 {
		case 0:
			io.CopyN(io.Discard, r.Body, 90_000)
			resetConn(w)
			return
		case 1:
			w.WriteHeader(http.StatusInternalServerError)
			return
		case 2:
			w.Header().Set("X-Not-Processed", "1")
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		h := sha256.New()
		if _, err := io.Copy(h, r.Body); err != nil {
			return
		}
		mu.Lock()
		ran[id]++
		if [32]byte(h.Sum(nil)) != asked[id].sum {
			t.Errorf("%s: whole, and not as it was sent", id)
		}
		mu.Unlock()
		switch fault(id, attempt) % 11 {
		case 3:
			resetConn(w)
		case 4, 5:
			w.Write(randomBytes(200_000))
		}
	}
	addrs := []string{fake.StartHTTPServer(t, node), fake.StartHTTPServer(t, node), fake.StartHTTPServer(t, node), "127.0.0.1:1"}
	p := startSidecar(t, configWithSettings(t, fake.EndpointList(addrs...), strings.Replace(streamSettings, `files_all = "256MiB"`, `files_all = "600kB"`, 1)+"open = 20\n"))
	p.server.bodies = body.NewStoreWithFileOpener(func() (body.File, error) { return &limitedFile{capacityBytes: 500_000, writeErr: syscall.ENOSPC}, nil })
	var wg sync.WaitGroup
	for i := range 200 {
		id := fmt.Sprintf("%c-%d", 'a'+rng.IntN(26), i)
		class := []string{"read", "book", "pay"}[rng.IntN(3)]
		text := randomBytes(70_000 + rng.IntN(700_000))
		chunked, goes := rng.IntN(3) == 0, rng.IntN(8) == 0
		mu.Lock()
		asked[id] = sent{sha256.Sum256(text), class}
		mu.Unlock()
		wg.Add(1)
		go func() {
			defer wg.Done()
			var in io.Reader = bytes.NewReader(text)
			if goes { // the caller goes half way
				in = io.MultiReader(bytes.NewReader(text[:len(text)/2]), failingReader{})
			}
			length := int64(len(text))
			if chunked {
				length = -1
			}
			req := p.uploadRequest(class, in, length)
			req.Header.Set("X-Request-ID", id)
			if class == "pay" {
				req.Header.Del("Idempotency-Key")
			}
			resp, err := new(http.Transport).RoundTrip(req.WithContext(context.Background()))
			if err != nil {
				return // it was closed early: counted below by what ran
			}
			defer resp.Body.Close()
			_, err = io.Copy(io.Discard, resp.Body)
			mu.Lock()
			defer mu.Unlock()
			if resp.StatusCode == 200 && err == nil && ran[id] == 0 {
				t.Errorf("%s: served and never run", id)
			}
			if resp.StatusCode == 503 && class == "pay" && ran[id] > 0 {
				t.Errorf("%s: refused, and run", id)
			}
		}()
	}
	wg.Wait()
	p.waitUntilIdle()
	mu.Lock()
	defer mu.Unlock()
	for id, s := range asked {
		if s.class == "pay" && ran[id] > 1 {
			t.Errorf("%s ran %d times", id, ran[id])
		}
	}
}

type failingReader struct{}

func (failingReader) Read([]byte) (int, error) { return 0, errors.New("the caller goes") }

// echoBody sends a request's body back as it arrives.
func echoBody(w http.ResponseWriter, r *http.Request) {
	http.NewResponseController(w).EnableFullDuplex()
	io.Copy(w, r.Body)
}

// An endpoint answers at length before it has read the request, to a caller that sends on and reads
// nothing: it is ended in bounded time, and the endpoint is let go.
func TestEarlyResponseToStalledCallerReleasesEndpoint(t *testing.T) {
	let := make(chan struct{})
	addr := fake.StartTCPServer(t, func(n net.Conn) {
		defer n.Close()
		if _, err := http.ReadRequest(bufio.NewReader(n)); err != nil {
			return
		}
		io.WriteString(n, "HTTP/1.1 200 OK\r\nContent-Length: 60000000\r\n\r\n")
		io.CopyN(n, zeroReader{}, 60_000_000)
		close(let)
	})
	p := startSidecar(t, configWithSettings(t, fake.EndpointList(addr), shortRateWindowSettings))
	c, err := net.Dial("tcp", strings.TrimPrefix(p.url, "http://"))
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	go func() {
		io.WriteString(c, "POST /api/a HTTP/1.1\r\nHost: a\r\nX-Request-ID: n\r\nX-Priority-Class: pay\r\nContent-Length: 60000000\r\n\r\n")
		io.CopyN(c, zeroReader{}, 60_000_000)
	}()
	waitFor(t, let, "the endpoint is let go")
	p.waitUntilIdle()
}

// The disk fills while a booking is being sent again and its body still arrives: the attempt that
// is out gets the whole of it, and the booking is served.
func TestDiskFillsDuringRetry(t *testing.T) {
	b := &resettingNode{resetAfterBytes: 50_000}
	p := startSidecar(t, configWithSettings(t, fake.EndpointList(fake.StartHTTPServer(t, b.serve), fake.StartHTTPServer(t, b.serve)), streamSettings))
	p.server.bodies = body.NewStoreWithFileOpener(func() (body.File, error) { return &limitedFile{capacityBytes: 400_000, writeErr: syscall.ENOSPC}, nil })
	want := randomBytes(2 << 20)
	in, out := io.Pipe()
	done := make(chan *http.Response, 1)
	go func() {
		resp, _ := p.send(p.uploadRequest("book", in, int64(len(want))))
		done <- resp
	}()
	out.Write(want[:100_000])
	seen := func() int {
		b.mu.Lock()
		defer b.mu.Unlock()
		return b.requestCount
	}
	for seen() < 2 {
		time.Sleep(time.Millisecond)
	}
	out.Write(want[100_000:])
	out.Close()
	resp := <-done
	if _, held := p.server.StreamStats(); resp.StatusCode != 200 || seen() != 2 || b.completeBodySums[0] != sha256.Sum256(want) || held.DiscardedBodies != 1 || held.FileErrors != 1 {
		t.Errorf("%s, sent %d times, %+v", resp.Status, seen(), held)
	}
	p.waitUntilIdle()
}

// No second copy goes out while a body is still arriving, however long that takes; once it is whole
// and its endpoint takes long, one does, and has the whole of it.
func TestUploadIsHedgedOnlyOnceComplete(t *testing.T) {
	var seen atomic.Int32
	stop := make(chan struct{})
	want := randomBytes(300_000)
	node := func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/load" {
			io.WriteString(w, "TEXT busy_reqs=0")
			return
		}
		n := seen.Add(1)
		text, err := io.ReadAll(r.Body)
		if len(text) < 100 { // the calls before
			seen.Add(-1)
			return
		}
		if err == nil && !bytes.Equal(text, want) {
			t.Error("a node got something else")
		}
		if n == 1 {
			<-stop
		}
	}
	c := configWithSettings(t, fake.EndpointList(fake.StartHTTPServer(t, node), fake.StartHTTPServer(t, node), fake.StartHTTPServer(t, node)), streamSettings)
	c.BalancerConfig.Reporting, c.BalancerConfig.Limits.Probes = balance.ReportsInProbe, true
	c.BalancerConfig.Classes[c.ClassIndex["book"]].TargetLatency = 10 * time.Second // a quarter of it is what a call is taken to need at first
	p := startSidecar(t, c)
	defer close(stop)
	for i := range 60 { // calls are quick, so that a hedge comes soon
		req := p.request("book", "x")
		req.Header.Set("X-Request-ID", fmt.Sprint("before ", i))
		p.send(req)
	}
	in, out := io.Pipe()
	done := make(chan *http.Response, 1)
	go func() {
		resp, _ := p.send(p.uploadRequest("book", in, int64(len(want))))
		done <- resp
	}()
	out.Write(want[:200_000])
	for seen.Load() == 0 {
		time.Sleep(time.Millisecond)
	}
	time.Sleep(500 * time.Millisecond) // many times what a hedge waits for
	if n := seen.Load(); n != 1 {
		t.Errorf("%d copies while the body arrives", n)
	}
	out.Write(want[200_000:])
	out.Close()
	if resp := <-done; resp.StatusCode != 200 || seen.Load() != 2 {
		t.Errorf("%s, %d copies", resp.Status, seen.Load())
	}
}
