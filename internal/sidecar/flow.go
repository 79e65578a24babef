package sidecar

import (
	"errors"
	"io"
	"log/slog"
	"net/http"
	"time"

	"barleydrum.example/barleydrum/internal/body"
	"barleydrum.example/barleydrum/internal/engine"
	"barleydrum.example/barleydrum/internal/http1"
	"barleydrum.example/barleydrum/internal/httpserver"
	"barleydrum.example/barleydrum/internal/upstream"
)

// Flows counts requests and answers whose bodies were passed on as they arrived.
type Flows struct {
	Open          int   // requests that are
	Taken         int64 // requests in all
	Refused       int64 // for there being too many open
	Answers       int64 // in all
	Broken        int64 // requests or answers that did not come whole
	SlowCallers   int64 // among those, for a caller's pace
	SlowEndpoints int64 // or an endpoint's
	reported      time.Time
}

// reportEvery is the least time between two lines in the log about bodies.
const reportEvery = 10 * time.Second

// Flows tells what has flowed.
func (s *Server) Flows() (Flows, body.Stats) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.flows, s.bodies.Stats()
}

// enter takes a place for a body that flows.
func (s *Server) enter(most int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.flows.Open >= most {
		s.flows.Refused++
		return false
	}
	s.flows.Open++
	s.flows.Taken++
	return true
}

func (s *Server) leave() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.flows.Open--
}

// broke notes why a body did not come whole, and says now and then in the log what bodies do.
func (s *Server) broke(err error) {
	s.mu.Lock()
	f := &s.flows
	f.Broken++
	switch {
	case errors.Is(err, httpserver.ErrSlow), errors.Is(err, httpserver.ErrTime):
		f.SlowCallers++
	case errors.Is(err, upstream.ErrSlow):
		f.SlowEndpoints++
	}
	now := time.Now()
	report := now.Sub(f.reported) >= reportEvery
	if report {
		f.reported = now
	}
	was := *f
	s.mu.Unlock()
	if !report {
		return
	}
	held := s.bodies.Stats()
	slog.Info("bodies", "why", err, "open", was.Open, "taken", was.Taken, "refused", was.Refused, "answers", was.Answers,
		"broken", was.Broken, "slow callers", was.SlowCallers, "slow endpoints", was.SlowEndpoints,
		"kept in memory", held.Memory, "files", held.Files, "in files", held.Filed, "not kept", held.Lost, "file errors", held.Failed)
}

// flow serves a call whose body is still arriving.
func (s *Server) flow(x *httpserver.Exchange, c *engine.Call) {
	set := &s.engine.Settings().Streams
	if !s.enter(set.Open) {
		s.engine.Done(c)
		x.Close = true // its body is not read
		s.word(x, engine.Final{Refused: true, RetryAfter: s.cfg.Module.Limits.MaxRetryAfter})
		return
	}
	defer s.leave()
	b := s.bodies.New(set.Limits(), c.Lost)
	defer b.Close() // also where there is a panic
	c.Flow, c.Size, c.Arriving = b, x.Head().ContentLength(), true
	if x.Head().Framing() == http1.Chunked {
		c.Size = -1
	}
	here := x.Watch(c)
	var broken error // its goroutine's until StopUpload
	x.Upload(b, httpserver.Flow{Most: int64(set.MaxBody), Pace: set.Pace(), Until: c.Until}, func(err error) {
		if err == nil {
			c.Whole()
			return
		}
		broken = err
		c.Leave()
	})
	f := s.engine.Serve(c, !here)
	x.Unwatch()
	if f.Flows {
		b.Forgo()
		s.pass(x, c, f)
	}
	b.Close()
	x.StopUpload()
	if !f.Flows {
		s.wordFlow(x, f, broken)
	}
	s.engine.Done(c)
}

// wordFlow words the final answer to a request whose body may not have come whole: then nothing
// can have run, and the caller is told what was wrong with it.
func (s *Server) wordFlow(x *httpserver.Exchange, f engine.Final, broken error) {
	if broken == nil || errors.Is(broken, body.ErrClosed) || f.Served != nil || f.Refused {
		s.word(x, f)
		return
	}
	s.broke(broken)
	status := http.StatusBadRequest
	wrong := (*http1.Error)(nil)
	switch {
	case errors.As(broken, &wrong):
		status = wrong.Status
	case errors.Is(broken, httpserver.ErrTooLong):
		status = http.StatusRequestEntityTooLarge
	case errors.Is(broken, httpserver.ErrSlow), errors.Is(broken, httpserver.ErrTime):
		status = http.StatusRequestTimeout
	}
	x.Answer(status, plain, nil, []byte(broken.Error()+"\n"))
}

// leaver ends an answer that flows as its caller goes.
type leaver struct{ x *upstream.Exchange }

func (l leaver) Leave() { l.x.End(upstream.ErrCanceled) }

// pass passes an answer on as it comes. If it breaks off, so does the caller's, who sees that.
func (s *Server) pass(x *httpserver.Exchange, c *engine.Call, f engine.Final) {
	s.mu.Lock()
	s.flows.Answers++
	s.mu.Unlock()
	if !x.Watch(leaver{f.Served}) {
		s.broke(httpserver.ErrGone)
		return
	}
	defer x.Unwatch()
	set := &s.engine.Settings().Streams
	err := x.Begin(http.StatusOK, fieldsOf(f.Served), f.Served.Length(), httpserver.Flow{Pace: set.Pace(), Until: c.Until})
	for err == nil {
		var p []byte
		if p, err = f.Served.Next(); err == io.EOF {
			err = x.End(f.Served.Trailers())
			break
		}
		if err == nil {
			err = x.Write(p)
		}
	}
	if err != nil {
		s.broke(err)
	}
}
