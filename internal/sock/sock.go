// Package sock reads TCP connections as a program with many of them needs to: a buffer is held
// only while there is something in it, a connection can be looked at without being read, and
// one goroutine hears of all peers that go away. It is for Linux.
package sock

import (
	"errors"
	"io"
	"net"
	"os"
	"sync/atomic"
	"syscall"

	"barleydrum.example/barleydrum/internal/http1"
)

// Conn is a TCP connection. One goroutine at a time may read it; the deadlines and Close of
// net.Conn hold for all that is done on it.
type Conn struct {
	net.Conn
	raw  syscall.RawConn
	bufs *http1.Buffers

	// What a read hands to try, which is made once: a closure for each would be garbage.
	try  func(fd uintptr) bool
	into *http1.Buffer
	n    int
	err  error

	look  func(fd uintptr)
	quiet atomic.Bool
}

// leastRead is the least space that is read into.
const leastRead = 512

// New returns the connection with buffers from a pool.
func New(c net.Conn, bufs *http1.Buffers) (*Conn, error) {
	socket, ok := c.(syscall.Conn)
	if !ok {
		return nil, errors.ErrUnsupported
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return nil, err
	}
	s := &Conn{Conn: c, raw: raw, bufs: bufs}
	s.try, s.look = s.read, s.peek
	return s, nil
}

// Fill waits until there is something to read and reads it into a buffer, one from the pool if
// it is handed none. It returns the buffer, nil still if nothing came, and io.EOF at the end.
func (s *Conn) Fill(b *http1.Buffer) (*http1.Buffer, error) {
	s.into = b
	err := s.raw.Read(s.try)
	b, s.into = s.into, nil
	switch {
	case err != nil:
		return b, err
	case s.err != nil:
		return b, &net.OpError{Op: "read", Net: "tcp", Err: os.NewSyscallError("read", s.err)}
	case s.n == 0:
		return b, io.EOF
	}
	return b, nil
}

// read reads if that needs no waiting, and tells whether it did.
func (s *Conn) read(fd uintptr) bool {
	b := s.into
	if b == nil {
		b = s.bufs.Get()
	}
	for {
		s.n, s.err = syscall.Read(int(fd), b.Room(leastRead))
		if s.err != syscall.EINTR {
			break
		}
	}
	if s.n > 0 {
		b.Wrote(s.n)
		s.into = b
		return true
	}
	if s.into == nil {
		s.bufs.Put(b)
	}
	return s.err != syscall.EAGAIN
}

// Quiet tells whether the connection is open with nothing to read. It does not wait, and may
// be called while another goroutine waits in Fill.
func (s *Conn) Quiet() bool {
	return s.raw.Control(s.look) == nil && s.quiet.Load()
}

// peek looks at what there is to read and leaves it there.
func (s *Conn) peek(fd uintptr) {
	var b [1]byte
	_, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	s.quiet.Store(err == syscall.EAGAIN)
}

// CloseWrite ends what is sent, so that an answer is read before the connection is closed.
func (s *Conn) CloseWrite() error {
	if c, ok := s.Conn.(*net.TCPConn); ok {
		return c.CloseWrite()
	}
	return errors.ErrUnsupported
}
