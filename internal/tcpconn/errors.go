package tcpconn

import (
	"errors"
	"net"
	"os"
	"slices"
	"syscall"
)

// momentary are the errors by which this machine can't make a connection for a moment: accept(2), socket(2)
// and connect(2). They say nothing of the other side.
var momentary = []error{
	syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.EADDRNOTAVAIL, syscall.EADDRINUSE,
	syscall.ENETUNREACH, syscall.ENETDOWN, syscall.EAGAIN, syscall.EINTR, syscall.EPERM, syscall.ENOSPC,
}

// Momentary tells whether an error lies on this machine and may pass.
func Momentary(err error) bool {
	return slices.ContainsFunc(momentary, func(e error) bool { return errors.Is(err, e) })
}

// NoDescriptor tells whether an error is that descriptors have run out.
func NoDescriptor(err error) bool {
	return errors.Is(err, syscall.EMFILE) || errors.Is(err, syscall.ENFILE)
}

// ListenerBroken tells whether accept can't succeed any more after an error. Any other is that of the one
// connection that was to be accepted, or of this machine for a moment: accept(2), "Error handling".
func ListenerBroken(err error) bool {
	for _, e := range []error{net.ErrClosed, syscall.EBADF, syscall.EINVAL, syscall.ENOTSOCK, syscall.EFAULT} {
		if errors.Is(err, e) {
			return true
		}
	}
	return false
}

// DeadlinePassed tells whether an operation ended because its deadline had passed. ETIMEDOUT, by which a
// broken connection may show, is no such end, though net.Error counts it as a time-out.
func DeadlinePassed(err error) bool { return errors.Is(err, os.ErrDeadlineExceeded) }
