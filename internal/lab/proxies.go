package lab

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httputil"
	"net/url"
	"os/signal"
	"strings"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/valyala/fasthttp"
)

// The first arguments with which the lab's program runs what the sidecar is compared with.
const (
	reverseProxyCommand  = "reverse-proxy"
	fasthttpProxyCommand = "fasthttp-proxy"
)

// RunReferenceProxy runs one of the programs that the sidecar is compared with until SIGTERM, if the
// arguments name one.
func RunReferenceProxy(args []string) (ran bool, err error) {
	if len(args) == 0 || args[0] != reverseProxyCommand && args[0] != fasthttpProxyCommand {
		return false, nil
	}
	f := flag.NewFlagSet(args[0], flag.ContinueOnError)
	listen, nodes := f.String("listen", "", "address"), f.String("nodes", "", "addresses, by commas")
	if err := f.Parse(args[1:]); err != nil {
		return true, err
	}
	l, err := net.Listen("tcp", *listen)
	if err != nil {
		return true, err
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM)
	defer stop()
	if args[0] == fasthttpProxyCommand {
		return true, runFasthttpProxy(ctx, l, strings.Split(*nodes, ","))
	}
	return true, runReverseProxy(ctx, l, strings.Split(*nodes, ","))
}

// runReverseProxy is the standard library's reverse proxy over nodes in turn: the plainest program
// that does a part of the sidecar's work.
func runReverseProxy(ctx context.Context, l net.Listener, nodes []string) error {
	var targets []*url.URL
	for _, addr := range nodes {
		targets = append(targets, &url.URL{Scheme: "http", Host: addr})
	}
	var turn atomic.Uint64
	proxy := &httputil.ReverseProxy{
		Rewrite:   func(r *httputil.ProxyRequest) { r.SetURL(targets[turn.Add(1)%uint64(len(targets))]) },
		Transport: &http.Transport{MaxIdleConnsPerHost: 1000, DisableCompression: true},
	}
	s := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != "/healthz" {
			proxy.ServeHTTP(w, r)
		}
	})}
	go func() {
		<-ctx.Done()
		s.Close()
	}()
	if err := s.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

// runFasthttpProxy is a proxy of fasthttp's server and client over random nodes: the quickest that a
// few lines of a library make.
func runFasthttpProxy(ctx context.Context, l net.Listener, nodes []string) error {
	var clients []*fasthttp.HostClient
	for _, addr := range nodes {
		clients = append(clients, &fasthttp.HostClient{Addr: addr, MaxConns: 4096, ReadTimeout: time.Minute})
	}
	s := &fasthttp.Server{NoDefaultServerHeader: true, Handler: func(x *fasthttp.RequestCtx) {
		if string(x.Path()) == "/healthz" {
			return
		}
		x.Request.Header.Del("Connection")
		if err := clients[rand.IntN(len(clients))].Do(&x.Request, &x.Response); err != nil {
			x.Error(err.Error(), http.StatusBadGateway)
			return
		}
		x.Response.Header.Del("Connection")
	}}
	go func() {
		<-ctx.Done()
		s.Shutdown()
	}()
	if err := s.Serve(l); err != nil {
		return fmt.Errorf("fasthttp: %w", err)
	}
	return nil
}
