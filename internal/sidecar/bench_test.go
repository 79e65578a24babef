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

// BenchmarkServe measures sequential keyed requests over loopback on persistent connections. The caller
// and the node allocate nothing, so all allocations counted are the sidecar's.
func BenchmarkServe(b *testing.B) {
	node, err := fake.NewBenchNode(2)
	if err != nil {
		b.Fatal(err)
	}
	defer node.Close()
	cfg := fake.NewConfig(b, fake.EndpointList(node.Addr()))
	e, err := engine.New(cfg)
	if err != nil {
		b.Fatal(err)
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	s, err := NewServer(cfg, e)
	if err != nil {
		b.Fatal(err)
	}
	go s.Serve(listener)
	defer s.Close()
	caller, err := fake.NewBenchCaller(listener.Addr().String(), "book", "tank", 10, 20*time.Second, 0)
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

// BenchmarkStream measures streaming 8 MiB up and 8 MiB down on one connection, and compares it with the
// standard library's reverse proxy. The sidecar retains request bodies in files in one case, and not at
// all in another. Caller and node run in the same process.
func BenchmarkStream(b *testing.B) {
	const size = 8 << 20
	node, addr, err := fake.NewLargeBodyServer(size)
	if err != nil {
		b.Fatal(err)
	}
	defer node.Close()
	proxyAddrs := map[string]string{}
	for name, settings := range map[string]string{"in files": streamSettings, "not kept": "[streams]\nmax_body = \"64MiB\"\nmax_answer = \"64MiB\"\n"} {
		cfg := config.Merge(fake.NewConfig(b, fake.EndpointList(addr)).Platform, parseSettings(b, settings))
		e, err := engine.New(cfg)
		if err != nil {
			b.Fatal(err)
		}
		s, err := NewServer(cfg, e)
		if err != nil {
			b.Fatal(err)
		}
		defer s.Close()
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			b.Fatal(err)
		}
		go s.Serve(l)
		proxyAddrs[name] = l.Addr().String()
	}
	reverseProxy := httptest.NewServer(httputil.NewSingleHostReverseProxy(&url.URL{Scheme: "http", Host: addr}))
	defer reverseProxy.Close()
	proxyAddrs["ReverseProxy"] = reverseProxy.Listener.Addr().String()
	id := 0
	for name, proxyAddr := range proxyAddrs {
		b.Run(name, func(b *testing.B) {
			b.SetBytes(2 * size)
			for b.Loop() {
				id++
				caller := fake.LargeBodyCaller{Addr: proxyAddr, Class: "book", Path: "a", ID: strconv.Itoa(id), BodyBytes: size, ResponseBytes: size, Timeout: testTimeout}
				if err := caller.Do(); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
