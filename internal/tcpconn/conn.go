// Package tcpconn reads TCP connections as a program with many of them needs to: a buffer is held
// only while there is something in it, a connection can be looked at without being read, and
// one goroutine hears of all peers that go away. It is for Linux.
package tcpconn

import (
	"errors"
	"io"
	"net"
	"os"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"barleydrum.example/barleydrum/internal/http1"
)

// Conn is a TCP connection. One goroutine at a time may read it; the deadlines and Close of
// net.Conn hold for all that is done on it.
type Conn struct {
	net.Conn
	raw  syscall.RawConn
	bufs *http1.BufferPool

	// What a call hands to the functions that the runtime calls with the descriptor, which are
	// made once: a closure for each call would be garbage.
	readFunc, writeThenReadFunc, writeFunc func(fd uintptr) bool
	readBuffer                             *http1.Buffer
	readBytes                              int
	syscallErr                             error
	writeData                              []byte
	writtenBytes                           int
	writeTried, stale                      bool

	peekFunc   func(fd uintptr)
	wouldBlock atomic.Bool
}

// minReadBytes is the least space that is read into.
const minReadBytes = 512

// New returns the connection with buffers from a pool.
func New(c net.Conn, bufs *http1.BufferPool) (*Conn, error) {
	socket, ok := c.(syscall.Conn)
	if !ok {
		return nil, errors.ErrUnsupported
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return nil, err
	}
	s := &Conn{Conn: c, raw: raw, bufs: bufs}
	s.readFunc, s.writeThenReadFunc, s.peekFunc = s.readOnce, s.writeThenReadOnce, s.peek
	s.writeFunc = func(fd uintptr) bool {
		s.writeOnce(fd)
		return true
	}
	return s, nil
}

// ReadInto waits until there is something to read and reads it into a buffer, one from the pool if
// it is handed none. It returns the buffer, nil still if nothing came, and io.EOF at the end.
func (s *Conn) ReadInto(b *http1.Buffer) (*http1.Buffer, error) {
	s.readBuffer = b
	err := s.raw.Read(s.readFunc)
	return s.readResult(err)
}

// readResult returns what a read has come to.
func (s *Conn) readResult(err error) (*http1.Buffer, error) {
	b := s.readBuffer
	s.readBuffer = nil
	switch {
	case err != nil:
		return b, err
	case s.syscallErr != nil:
		return b, &net.OpError{Op: "read", Net: "tcp", Err: os.NewSyscallError("read", s.syscallErr)}
	case s.readBytes == 0:
		return b, io.EOF
	}
	return b, nil
}

// WriteThenRead writes a request and reads the first of what comes back, as Write and Fill would, on a
// connection that must be quiet: stale tells that it was not, and nothing has been written. It
// returns early, with no buffer and no error, if not all could be written at once. The look
// that proves the connection quiet is the attempt to read that waiting begins with anyway:
// that saves a system call for each request.
func (s *Conn) WriteThenRead(p []byte) (sent int, stale bool, b *http1.Buffer, err error) {
	s.writeData, s.writtenBytes, s.writeTried, s.stale, s.readBuffer, s.readBytes, s.syscallErr = p, 0, false, false, nil, 0, nil
	err = s.raw.Read(s.writeThenReadFunc)
	s.writeData = nil
	if s.stale || err == nil && s.writtenBytes < len(p) {
		return s.writtenBytes, s.stale, nil, s.syscallErr
	}
	b, err = s.readResult(err)
	return s.writtenBytes, false, b, err
}

func (s *Conn) writeThenReadOnce(fd uintptr) bool {
	if s.writeTried {
		return s.readOnce(fd)
	}
	s.writeTried = true
	if s.peek(fd); !s.wouldBlock.Load() {
		s.stale = true
		return true
	}
	return !s.writeOnce(fd) || s.writtenBytes < len(s.writeData) // else the answer is waited for
}

// TryWrite writes what can be written without waiting.
func (s *Conn) TryWrite(p []byte) (n int, err error) {
	s.writeData, s.writtenBytes, s.syscallErr = p, 0, nil
	err = s.raw.Write(s.writeFunc)
	s.writeData = nil
	if err == nil && s.syscallErr != nil {
		err = &net.OpError{Op: "write", Net: "tcp", Err: os.NewSyscallError("write", s.syscallErr)}
	}
	return s.writtenBytes, err
}

// WriteWithDeadline writes all of p. What can't be written without waiting is written by a deadline that ends
// with the call: one that stayed would fail a later write that needs no waiting.
func (s *Conn) WriteWithDeadline(p []byte, deadline time.Time) error {
	n, err := s.TryWrite(p)
	if err != nil || n == len(p) {
		return err
	}
	s.SetWriteDeadline(deadline)
	defer s.SetWriteDeadline(time.Time{})
	_, err = s.Write(p[n:])
	return err
}

// writeOnce writes once without waiting, and tells whether that did not fail.
func (s *Conn) writeOnce(fd uintptr) bool {
	for {
		n, err := syscall.Write(int(fd), s.writeData)
		switch err {
		case nil:
			s.writtenBytes = n
		case syscall.EINTR:
			continue
		case syscall.EAGAIN:
		default:
			s.syscallErr = err
			return false
		}
		return true
	}
}

// readOnce reads if that needs no waiting, and tells whether it did.
func (s *Conn) readOnce(fd uintptr) bool {
	b := s.readBuffer
	if b == nil {
		b = s.bufs.Get()
	}
	for {
		s.readBytes, s.syscallErr = syscall.Read(int(fd), b.Reserve(minReadBytes))
		if s.syscallErr != syscall.EINTR {
			break
		}
	}
	if s.readBytes > 0 {
		b.Commit(s.readBytes)
		s.readBuffer = b
		return true
	}
	if s.readBuffer == nil {
		s.bufs.Put(b)
	}
	return s.syscallErr != syscall.EAGAIN
}

// ReadWouldBlock tells whether the connection is open with nothing to read. It does not wait, and may
// be called while another goroutine waits in Fill.
func (s *Conn) ReadWouldBlock() bool {
	return s.raw.Control(s.peekFunc) == nil && s.wouldBlock.Load()
}

// peek looks at what there is to read and leaves it there.
func (s *Conn) peek(fd uintptr) {
	var b [1]byte
	_, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	s.wouldBlock.Store(err == syscall.EAGAIN)
}

// PeerDisconnected tells whether the peer has ended its sending or reset, or the connection is closed here. It does
// not wait, and may be called by any goroutine.
func (s *Conn) PeerDisconnected() bool {
	gone := false
	err := s.raw.Control(func(fd uintptr) {
		fds := [1]unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}}
		for {
			_, err := unix.Poll(fds[:], 0)
			if err == unix.EINTR {
				continue
			}
			gone = err == nil && fds[0].Revents&(unix.POLLRDHUP|unix.POLLHUP|unix.POLLERR) != 0
			return
		}
	})
	return err != nil || gone
}

// WriteBuffers writes texts, as far as the write deadline lets it, and takes what has been written off
// them. Several go out together.
func (s *Conn) WriteBuffers(texts *net.Buffers) (int64, error) {
	if len(*texts) != 1 {
		return texts.WriteTo(s.Conn)
	}
	n, err := s.Conn.Write((*texts)[0])
	(*texts)[0] = (*texts)[0][n:]
	return int64(n), err
}

// HasUnackedData tells whether the peer's machine has yet to take part of what was sent, tcp(7), SIOCOUTQ.
func (s *Conn) HasUnackedData() bool {
	left := 0
	err := s.raw.Control(func(fd uintptr) { left, _ = unix.IoctlGetInt(int(fd), unix.SIOCOUTQ) })
	return err == nil && left > 0
}

// CloseWrite ends what is sent, so that an answer is read before the connection is closed.
func (s *Conn) CloseWrite() error {
	if c, ok := s.Conn.(*net.TCPConn); ok {
		return c.CloseWrite()
	}
	return errors.ErrUnsupported
}
