package sidecar

import (
	"errors"
	"net"
	"sync"
	"syscall"
	"time"
)

// door is a listener that has so many connections open at most. More wait unaccepted.
type door struct {
	net.Listener
	places chan struct{} // one for each connection that is open
	shut   chan struct{}
	once   sync.Once
}

// newDoor returns a door; those with the same places share them.
func newDoor(l net.Listener, places chan struct{}) *door {
	return &door{Listener: l, places: places, shut: make(chan struct{})}
}

// Accept waits for a place, then for a connection.
func (d *door) Accept() (net.Conn, error) {
	select {
	case d.places <- struct{}{}:
	case <-d.shut:
		return nil, net.ErrClosed
	}
	c, err := d.Listener.Accept()
	if err != nil {
		<-d.places
		return nil, err
	}
	return &guest{Conn: c, leave: sync.OnceFunc(func() { <-d.places }), last: time.Now()}, nil
}

func (d *door) Close() error {
	d.once.Do(func() { close(d.shut) })
	return d.Listener.Close()
}

// guest is a connection that has a place.
type guest struct {
	net.Conn
	leave func()

	mu          sync.Mutex
	first, last time.Time // when bytes were read: the first since came was asked, and the last
}

func (g *guest) Read(p []byte) (int, error) {
	n, err := g.Conn.Read(p)
	if n > 0 {
		g.mu.Lock()
		defer g.mu.Unlock()
		g.last = time.Now()
		if g.first.IsZero() {
			g.first = g.last
		}
	}
	return n, err
}

// came returns when the request that has been read came. One that was sent ahead has waited
// for the one before it, all of which its client counts.
func (g *guest) came() time.Time {
	g.mu.Lock()
	defer g.mu.Unlock()
	came := g.first
	if came.IsZero() { // in one segment with the one before
		came = g.last
	}
	g.first = time.Time{}
	return came
}

func (g *guest) Close() error {
	defer g.leave()
	return g.Conn.Close()
}

// CloseWrite is what net/http ends a connection with, so that its last answer is read.
func (g *guest) CloseWrite() error {
	if c, ok := g.Conn.(*net.TCPConn); ok {
		return c.CloseWrite()
	}
	return errors.ErrUnsupported
}

// SyscallConn lets quiet see the socket, which net/netutil's limited connections hide.
func (g *guest) SyscallConn() (syscall.RawConn, error) {
	if c, ok := g.Conn.(syscall.Conn); ok {
		return c.SyscallConn()
	}
	return nil, errors.ErrUnsupported
}
