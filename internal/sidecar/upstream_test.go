package sidecar

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"barleydrum.example/barleydrum/balance"
	"barleydrum.example/barleydrum/internal/config"
	"barleydrum.example/barleydrum/internal/standin"
)

// Whatever an endpoint sends, the exchange ends, and what is served has a 200 and an end.
func FuzzAnswer(f *testing.F) {
	for _, text := range []string{
		"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", "HTTP/1.1 100 Go\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n\r\n", "HTTP/1.0 200\r\n\r\nx",
		"HTTP/1.1 503 Busy\nX-Not-Processed: 1\n\n", "", "\r\n\r\n", "HTTP/1.1 200 OK\r\nContent-Length: 99999999999\r\n\r\n",
	} {
		f.Add([]byte(text))
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		here, there := net.Pipe()
		p := &pool{settings: newLive(config.Default()), slots: make(chan struct{}, 1), keepAlive: time.Hour}
		p.slots <- struct{}{}
		go func() {
			if standin.ReadRequest(bufio.NewReader(there)) == nil {
				there.Write(text)
			}
			there.Close()
		}()
		req, err := http.NewRequest("POST", "http://127.0.0.1:1/", nil)
		if err != nil {
			t.Fatal(err)
		}
		to := new(route)
		a := (&exchange{ctx: context.Background()}).carry(&conn{Conn: here, in: bufio.NewReader(here), to: to, pool: p}, req, []byte("x"))
		if len(a.body) > maxBody || a.result == balance.ConnectFailed || a.result == balance.NotSent {
			t.Errorf("%q: result %d, %d bytes", text, a.result, len(a.body))
		}
		p.release(to, false)
		io.Copy(io.Discard, there)
		if len(p.slots) > 0 {
			t.Errorf("%q: the connection is left open", text)
		}
	})
}

func FuzzParseLoad(f *testing.F) {
	f.Add("TEXT busy_reqs=7, pending=2, cpu_share=0.61")
	f.Add("TEXT inflight=")
	f.Fuzz(func(t *testing.T, text string) {
		if l := parseLoad(text); l != nil && !(l.InFlight >= -1 && l.Queue >= -1 && l.Util >= -1) {
			t.Errorf("%q: %+v", text, l)
		}
	})
}

// A report whose names were not known read as empty, and no endpoint as idle.
func TestParseLoad(t *testing.T) {
	for _, text := range []string{"TEXT busy_reqs=7, pending=2, cpu_share=0.61", "TEXT inflight=7, queue=2, util=0.61\r\n"} {
		l := parseLoad(text)
		if l == nil || l.InFlight != 7 || l.Queue != 2 || l.Util != 0.61 || l.Served != -1 {
			t.Errorf("%q: %+v", text, l)
		}
	}
	for _, text := range []string{"", "ok", "busy_reqs=1", "TEXT busy_reqs", "TEXT busy_reqs=x", "TEXT busy_reqs=-1", "TEXT busy_reqs=NaN"} {
		if l := parseLoad(text); l != nil {
			t.Errorf("%q: %+v, want none", text, l)
		}
	}
}
