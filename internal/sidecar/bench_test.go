package sidecar

import (
	"net"
	"net/http/httptest"
	"net/http/httputil"
	"net/url"
	"strconv"
	"testing"
	"time"

	"barleydrum.example/barleydrum/internal/config"
	"barleydrum.example/barleydrum/internal/engine"
	"barleydrum.example/barleydrum/internal/fake"
)

// BenchmarkServe is one keyed request after another over loopback, on kept connections. The
// other sides allocate nothing, so that what it counts is the sidecar's own.
func BenchmarkServe(b *testing.B) {
	node, err := fake.NewBenchNode(2)
	if err != nil {
		b.Fatal(err)
	}
	defer node.Close()
	c := fake.NewConfig(b, fake.EndpointList(node.Addr()))
	e, err := engine.New(c)
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
	defer s.Close()
	caller, err := fake.NewBenchCaller(front.Addr().String(), "book", "tank", 10, 20*time.Second, 0)
	if err != nil {
		b.Fatal(err)
	}
	defer caller.Close()
	b.ReportAllocs()
	for b.Loop() {
		if status, err := caller.Do(); status != 200 || err != nil {
			b.Fatal(status, err)
		}
	}
}

// BenchmarkFlow passes 8 MiB up and 8 MiB down on one connection, beside the standard library's
// reverse proxy; callers and node are in the same process.
func BenchmarkFlow(b *testing.B) {
	const size = 8 << 20
	node, addr, err := fake.NewLargeBodyServer(size)
	if err != nil {
		b.Fatal(err)
	}
	defer node.Close()
	sides := map[string]string{}
	for name, text := range map[string]string{"in files": streamSettings, "not kept": "[streams]\nmax_body = \"64MiB\"\nmax_answer = \"64MiB\"\n"} {
		c := config.Merge(fake.NewConfig(b, fake.EndpointList(addr)).Platform, parseSettings(b, text))
		e, err := engine.New(c)
		if err != nil {
			b.Fatal(err)
		}
		s, err := NewServer(c, e)
		if err != nil {
			b.Fatal(err)
		}
		defer s.Close()
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			b.Fatal(err)
		}
		go s.Serve(l)
		sides[name] = l.Addr().String()
	}
	rival := httptest.NewServer(httputil.NewSingleHostReverseProxy(&url.URL{Scheme: "http", Host: addr}))
	defer rival.Close()
	sides["ReverseProxy"] = rival.Listener.Addr().String()
	id := 0
	for name, to := range sides {
		b.Run(name, func(b *testing.B) {
			b.SetBytes(2 * size)
			for b.Loop() {
				id++
				one := fake.LargeBodyCaller{Addr: to, Class: "book", Path: "a", ID: strconv.Itoa(id), BodyBytes: size, ResponseBytes: size, Timeout: testTimeout}
				if err := one.Do(); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
