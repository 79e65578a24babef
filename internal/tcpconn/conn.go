// Package tcpconn reads TCP connections for programs that have many of them: a buffer is held only
// while it contains data, a connection can be checked for data without reading it, and one
// goroutine detects all peers that disconnect. It does not interpret the data.
// It is for Linux only.
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
	"barleydrum.example/barleydrum/internal/memory"
)

// Conn is a TCP connection. Only one goroutine at a time may read it. The deadlines and Close of net.Conn
// apply to all operations.
type Conn struct {
	net.Conn
	raw  syscall.RawConn
	bufs *http1.BufferPool // for reads that are given no buffer

	// Functions that the runtime calls with the file descriptor, and the fields by which they get arguments
	// and return results. The functions are created once, since a closure for each call would be garbage.
	readFunc, writeThenReadFunc, writeFunc func(fd uintptr) bool
	readBuffer                             *http1.Buffer
	readBytes                              int
	syscallErr                             error
	writeData                              []byte
	writtenBytes                           int
	writeTried, stale, noMemory            bool

	peekFunc   func(fd uintptr)
	wouldBlock atomic.Bool
}

// MinReadBytes is the smallest space that a read is given.
const MinReadBytes = 512

// New returns a Conn for c that reads into buffers from a pool. It returns errors.ErrUnsupported if c is
// not a syscall.Conn.
func New(c net.Conn, bufs *http1.BufferPool) (*Conn, error) {
	sysConn, ok := c.(syscall.Conn)
	if !ok {
		return nil, errors.ErrUnsupported
	}
	raw, err := sysConn.SyscallConn()
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

// ReadInto waits until there is data to read and appends it to b, or to a buffer from the pool if b is
// nil. It returns that buffer, or b if no data was read, and io.EOF at the end of the stream. If the account of
// the pool has no room for the buffer, it reads nothing and returns memory.ErrExhausted.
func (c *Conn) ReadInto(b *http1.Buffer) (*http1.Buffer, error) {
	c.readBuffer = b
	err := c.raw.Read(c.readFunc)
	return c.readResult(err)
}

// readResult returns the result of a read. err is the runtime's, such as an exceeded deadline.
func (c *Conn) readResult(err error) (*http1.Buffer, error) {
	b := c.readBuffer
	c.readBuffer = nil
	noMemory := c.noMemory
	c.noMemory = false
	switch {
	case err != nil:
		return b, err
	case noMemory:
		return b, memory.ErrExhausted
	case c.syscallErr != nil:
		return b, &net.OpError{Op: "read", Net: "tcp", Err: os.NewSyscallError("read", c.syscallErr)}
	case c.readBytes == 0:
		return b, io.EOF
	}
	return b, nil
}

// WriteThenRead writes a request and reads the first part of the response, as Write and ReadInto do. The
// connection must be open without unread data: otherwise stale is true and nothing has been written. If
// not all of p could be written without waiting, it returns early, with a nil buffer and no error. Waiting for
// data always starts with an attempt to read; the check for unread data takes the place of that attempt, which
// saves a system call for each request.
func (c *Conn) WriteThenRead(p []byte) (written int, stale bool, b *http1.Buffer, err error) {
	c.writeData, c.writtenBytes, c.writeTried, c.stale, c.readBuffer, c.readBytes, c.syscallErr = p, 0, false, false, nil, 0, nil
	err = c.raw.Read(c.writeThenReadFunc)
	c.writeData = nil
	if c.stale || err == nil && c.writtenBytes < len(p) {
		return c.writtenBytes, c.stale, nil, c.syscallErr
	}
	b, err = c.readResult(err)
	return c.writtenBytes, false, b, err
}

// writeThenReadOnce checks the connection and writes when it is first called, and reads after that. It reports
// whether the runtime must stop waiting for data.
func (c *Conn) writeThenReadOnce(fd uintptr) bool {
	if c.writeTried {
		return c.readOnce(fd)
	}
	c.writeTried = true
	if c.peek(fd); !c.wouldBlock.Load() {
		c.stale = true
		return true
	}
	return !c.writeOnce(fd) || c.writtenBytes < len(c.writeData) // wait for the response if all was written
}

// TryWrite writes as much of p as can be written without waiting, and returns the number of bytes written.
func (c *Conn) TryWrite(p []byte) (n int, err error) {
	c.writeData, c.writtenBytes, c.syscallErr = p, 0, nil
	err = c.raw.Write(c.writeFunc)
	c.writeData = nil
	if err == nil && c.syscallErr != nil {
		err = &net.OpError{Op: "write", Net: "tcp", Err: os.NewSyscallError("write", c.syscallErr)}
	}
	return c.writtenBytes, err
}

// WriteWithDeadline writes all of p. The deadline applies to what can't be written without waiting. It is
// cleared at the end, since it would otherwise fail a later write that needs no waiting.
func (c *Conn) WriteWithDeadline(p []byte, deadline time.Time) error {
	n, err := c.TryWrite(p)
	if err != nil || n == len(p) {
		return err
	}
	c.SetWriteDeadline(deadline)
	defer c.SetWriteDeadline(time.Time{})
	_, err = c.Write(p[n:])
	return err
}

// writeOnce writes once without waiting. It returns false if the write failed, and stores the error.
func (c *Conn) writeOnce(fd uintptr) bool {
	for {
		n, err := syscall.Write(int(fd), c.writeData)
		switch err {
		case nil:
			c.writtenBytes = n
		case syscall.EINTR:
			continue
		case syscall.EAGAIN:
		default:
			c.syscallErr = err
			return false
		}
		return true
	}
}

// readOnce reads once without waiting. It returns false if there is nothing to read yet.
func (c *Conn) readOnce(fd uintptr) bool {
	b := c.readBuffer
	if b == nil {
		b = c.bufs.TryGet()
	}
	var space []byte
	ok := b != nil
	if ok {
		space, ok = b.TryReserve(MinReadBytes)
	}
	if !ok {
		if c.peek(fd); c.wouldBlock.Load() {
			return false
		}
		c.readBytes, c.syscallErr, c.noMemory = 0, nil, true
		return true
	}
	for {
		c.readBytes, c.syscallErr = syscall.Read(int(fd), space)
		if c.syscallErr != syscall.EINTR {
			break
		}
	}
	if c.readBytes > 0 {
		b.Commit(c.readBytes)
		c.readBuffer = b
		return true
	}
	if c.readBuffer == nil {
		c.bufs.Put(b)
	}
	return c.syscallErr != syscall.EAGAIN
}

// ReadWouldBlock reports whether the connection is open with nothing to read. It does not wait, and may
// be called while another goroutine waits in ReadInto.
func (c *Conn) ReadWouldBlock() bool {
	return c.raw.Control(c.peekFunc) == nil && c.wouldBlock.Load()
}

// peek sets wouldBlock to whether a read would have to wait: there is no data, no end of the stream and no error.
// It consumes no data.
func (c *Conn) peek(fd uintptr) {
	var b [1]byte
	_, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	c.wouldBlock.Store(err == syscall.EAGAIN)
}

// PeerDisconnected reports whether the peer has ended its sending or reset the connection, or the connection
// has been closed on this side. It does not wait, and may be called by any goroutine.
func (c *Conn) PeerDisconnected() bool {
	disconnected, _ := c.poll()
	return disconnected
}

// PeerMayHaveDisconnected reports what PeerDisconnected does, and also true if more than maxUnreadBytes are unread: the
// end of the peer's sending arrives behind all that was sent before it.
func (c *Conn) PeerMayHaveDisconnected(maxUnreadBytes int) bool {
	disconnected, unread := c.poll()
	return disconnected || unread && c.UnreadBytes() > maxUnreadBytes
}

// poll returns whether the peer has disconnected, as PeerDisconnected reports it, and whether data is unread.
func (c *Conn) poll() (disconnected, unread bool) {
	err := c.raw.Control(func(fd uintptr) {
		pollFds := [1]unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP | unix.POLLIN}}
		for {
			_, err := unix.Poll(pollFds[:], 0)
			if err == unix.EINTR {
				continue
			}
			disconnected = err == nil && pollFds[0].Revents&(unix.POLLRDHUP|unix.POLLHUP|unix.POLLERR) != 0
			unread = err == nil && pollFds[0].Revents&unix.POLLIN != 0
			return
		}
	})
	return err != nil || disconnected, unread
}

// WriteBuffers writes buffers until the write deadline and removes what has been written from them. Several
// buffers are written together. It returns the number of bytes written.
func (c *Conn) WriteBuffers(buffers *net.Buffers) (int64, error) {
	if len(*buffers) != 1 {
		return buffers.WriteTo(c.Conn)
	}
	n, err := c.Conn.Write((*buffers)[0])
	(*buffers)[0] = (*buffers)[0][n:]
	return int64(n), err
}

// UnreadBytes returns how many bytes of data have arrived and have not been read, see SIOCINQ in tcp(7).
func (c *Conn) UnreadBytes() int {
	unreadBytes := 0
	c.raw.Control(func(fd uintptr) { unreadBytes, _ = unix.IoctlGetInt(int(fd), unix.SIOCINQ) })
	return unreadBytes
}

// HasUnackedData reports whether the peer's machine has not yet acknowledged all that was sent, see SIOCOUTQ in
// tcp(7).
func (c *Conn) HasUnackedData() bool {
	unackedBytes := 0
	err := c.raw.Control(func(fd uintptr) { unackedBytes, _ = unix.IoctlGetInt(int(fd), unix.SIOCOUTQ) })
	return err == nil && unackedBytes > 0
}

// CloseWrite ends sending, so that the peer can read a last response before the connection is closed.
func (c *Conn) CloseWrite() error {
	if tcpConn, ok := c.Conn.(*net.TCPConn); ok {
		return tcpConn.CloseWrite()
	}
	return errors.ErrUnsupported
}
