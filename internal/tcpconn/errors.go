package tcpconn

import (
	"errors"
	"net"
	"os"
	"slices"
	"syscall"
)

// transientLocalErrors are the errors by which this machine can't make a connection for a moment: accept(2), socket(2)
// and connect(2). They say nothing of the other side.
var transientLocalErrors = []error{
	syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.EADDRNOTAVAIL, syscall.EADDRINUSE,
	syscall.ENETUNREACH, syscall.ENETDOWN, syscall.EAGAIN, syscall.EINTR, syscall.EPERM, syscall.ENOSPC,
}

// IsTransientLocalError tells whether an error lies on this machine and may pass.
func IsTransientLocalError(err error) bool {
	return slices.ContainsFunc(transientLocalErrors, func(e error) bool { return errors.Is(err, e) })
}

// IsOutOfDescriptors tells whether an error is that descriptors have run out.
func IsOutOfDescriptors(err error) bool {
	return errors.Is(err, syscall.EMFILE) || errors.Is(err, syscall.ENFILE)
}

// IsFatalAcceptError tells whether accept can't succeed any more after an error. Any other is that of the one
// connection that was to be accepted, or of this machine for a moment: accept(2), "Error handling".
func IsFatalAcceptError(err error) bool {
	for _, e := range []error{net.ErrClosed, syscall.EBADF, syscall.EINVAL, syscall.ENOTSOCK, syscall.EFAULT} {
		if errors.Is(err, e) {
			return true
		}
	}
	return false
}

// IsDeadlineExceeded tells whether an operation ended because its deadline had passed. ETIMEDOUT, by which a
// broken connection may show, is no such end, though net.Error counts it as a time-out.
func IsDeadlineExceeded(err error) bool { return errors.Is(err, os.ErrDeadlineExceeded) }
