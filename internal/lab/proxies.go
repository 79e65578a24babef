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

// The command-line arguments that make the lab's program run as one of the reference proxies.
const (
	reverseProxyCommand  = "reverse-proxy"
	fasthttpProxyCommand = "fasthttp-proxy"
)

// RunReferenceProxy runs a reference proxy, with which the sidecar is compared, until SIGTERM if the first
// of args (the command line without the program's name) names one. ran reports whether it does.
func RunReferenceProxy(args []string) (ran bool, err error) {
	if len(args) == 0 || args[0] != reverseProxyCommand && args[0] != fasthttpProxyCommand {
		return false, nil
	}
	f := flag.NewFlagSet(args[0], flag.ContinueOnError)
	listen, nodes := f.String("listen", "", "address"), f.String("nodes", "", "addresses, separated by commas")
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

// runReverseProxy runs the standard library's reverse proxy, which sends to the nodes in turn, until ctx
// ends. It is the simplest program that does a part of the sidecar's work.
func runReverseProxy(ctx context.Context, l net.Listener, nodeAddrs []string) error {
	var targets []*url.URL
	for _, addr := range nodeAddrs {
		targets = append(targets, &url.URL{Scheme: "http", Host: addr})
	}
	var requestCount atomic.Uint64
	proxy := &httputil.ReverseProxy{
		Rewrite:   func(r *httputil.ProxyRequest) { r.SetURL(targets[requestCount.Add(1)%uint64(len(targets))]) },
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

// runFasthttpProxy runs a proxy of fasthttp's server and client, which sends to random nodes, until ctx
// ends. It is the fastest proxy that a few lines on top of a library make.
func runFasthttpProxy(ctx context.Context, l net.Listener, nodeAddrs []string) error {
	var clients []*fasthttp.HostClient
	for _, addr := range nodeAddrs {
		clients = append(clients, &fasthttp.HostClient{Addr: addr, MaxConns: 4096, ReadTimeout: time.Minute})
	}
	s := &fasthttp.Server{NoDefaultServerHeader: true, Handler: func(reqCtx *fasthttp.RequestCtx) {
		if string(reqCtx.Path()) == "/healthz" {
			return
		}
		reqCtx.Request.Header.Del("Connection")
		if err := clients[rand.IntN(len(clients))].Do(&reqCtx.Request, &reqCtx.Response); err != nil {
			reqCtx.Error(err.Error(), http.StatusBadGateway)
			return
		}
		reqCtx.Response.Header.Del("Connection")
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
