package tcpconn

import (
	"errors"
	"net"
	"os"
	"slices"
	"syscall"
)

// transientLocalErrors are the errors of accept(2), socket(2) and connect(2) which mean that this machine
// can't make a connection for the moment. They say nothing about the peer.
var transientLocalErrors = []error{
	syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.EADDRNOTAVAIL, syscall.EADDRINUSE,
	syscall.ENETUNREACH, syscall.ENETDOWN, syscall.EAGAIN, syscall.EINTR, syscall.EPERM, syscall.ENOSPC,
}

// IsTransientLocalError reports whether an error is caused by this machine and may be temporary.
func IsTransientLocalError(err error) bool {
	return slices.ContainsFunc(transientLocalErrors, func(e error) bool { return errors.Is(err, e) })
}

// IsOutOfDescriptors reports whether an error says that file descriptors have run out.
func IsOutOfDescriptors(err error) bool {
	return errors.Is(err, syscall.EMFILE) || errors.Is(err, syscall.ENFILE)
}

// IsFatalAcceptError reports whether accept can't succeed any more after an error. Any other error concerns
// the one connection that was to be accepted, or is a temporary one of this machine: accept(2), "Error
// handling".
func IsFatalAcceptError(err error) bool {
	for _, e := range []error{net.ErrClosed, syscall.EBADF, syscall.EINVAL, syscall.ENOTSOCK, syscall.EFAULT} {
		if errors.Is(err, e) {
			return true
		}
	}
	return false
}

// IsDeadlineExceeded reports whether an operation ended because its deadline had passed. It is false for
// ETIMEDOUT, which a broken connection may return, although net.Error counts that as a timeout.
func IsDeadlineExceeded(err error) bool { return errors.Is(err, os.ErrDeadlineExceeded) }
