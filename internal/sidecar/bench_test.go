package sidecar

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"barleydrum.example/barleydrum/internal/standin"
)

// BenchmarkServe is one keyed request after another over loopback, on kept connections. The
// other sides do as little as they can.
func BenchmarkServe(b *testing.B) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	defer l.Close()
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				in := bufio.NewReader(c)
				for standin.ReadRequest(in) == nil {
					io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
				}
			}()
		}
	}()
	c := testConfig(b, up(l.Addr().String()))
	e, err := NewEngine(c)
	if err != nil {
		b.Fatal(err)
	}
	front, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	s, err := NewServer(c, e)
	if err != nil {
		b.Fatal(err)
	}
	go s.Serve(front)
	defer s.door.Close()
	caller, err := net.Dial("tcp", front.Addr().String())
	if err != nil {
		b.Fatal(err)
	}
	defer caller.Close()
	in := bufio.NewReader(caller)
	const text = "POST /api/tank HTTP/1.1\r\nHost: a\r\nX-Request-ID: %d\r\nX-Priority-Class: book\r\nX-Timeout: 20000m\r\n" +
		"Idempotency-Key: k\r\nContent-Length: 10\r\n\r\n"
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		fmt.Fprintf(caller, text+strings.Repeat("x", 10), i)
		caller.SetReadDeadline(time.Now().Add(patience))
		resp, err := http.ReadResponse(in, nil)
		if err != nil || resp.StatusCode != 200 {
			b.Fatal(resp, err)
		}
		io.Copy(io.Discard, resp.Body)
	}
}
