package tcpconn

import (
	"errors"
	"fmt"
	"os"
	"sync/atomic"
	"syscall"
)

// DisconnectWatcher hears of peers that end their sending or reset, without a goroutine for each: one waits
// for all. A peer that ends its sending is held to have gone: PROTOCOL has callers and sidecars
// give up a request that way.
type DisconnectWatcher struct {
	file      *os.File
	raw       syscall.RawConn
	epfd      int
	closed    atomic.Bool
	epollWait func(epfd int, events []syscall.EpollEvent, msec int) (n int, err error) // epoll_wait(2)
}

// disconnectEvents are told once for each connection, as it happens.
const disconnectEvents = syscall.EPOLLRDHUP | syscall.EPOLLHUP | syscall.EPOLLERR | 1<<31 // EPOLLET, whose constant is negative

// NewDisconnectWatcher returns a Watch of no connection. It holds a descriptor until Close.
func NewDisconnectWatcher() (*DisconnectWatcher, error) {
	fd, err := syscall.EpollCreate1(syscall.EPOLL_CLOEXEC)
	if err != nil {
		return nil, fmt.Errorf("watch: %w", err)
	}
	if err := syscall.SetNonblock(fd, true); err != nil {
		return nil, errors.Join(fmt.Errorf("watch: %w", err), syscall.Close(fd))
	}
	// The runtime's own poller waits for this one, so that no thread is held.
	f := os.NewFile(uintptr(fd), "watch")
	raw, err := f.SyscallConn()
	if err != nil {
		return nil, errors.Join(fmt.Errorf("watch: %w", err), f.Close())
	}
	return &DisconnectWatcher{file: f, raw: raw, epfd: fd, epollWait: syscall.EpollWait}, nil
}

// Add has a connection watched under a number until it is closed.
func (w *DisconnectWatcher) Add(c *Conn, number uint64) error {
	var added error
	err := c.raw.Control(func(fd uintptr) {
		added = syscall.EpollCtl(w.epfd, syscall.EPOLL_CTL_ADD, int(fd),
			&syscall.EpollEvent{Events: disconnectEvents, Fd: int32(number), Pad: int32(number >> 32)})
	})
	return errors.Join(err, added)
}

// Run calls gone with the number of each connection whose peer goes, until Close. A connection
// may have been closed here in the meantime.
func (w *DisconnectWatcher) Run(gone func(number uint64)) error {
	events := make([]syscall.EpollEvent, 128)
	for {
		n, err := w.wait(events)
		if w.closed.Load() {
			return nil
		}
		if err != nil {
			return fmt.Errorf("watch: %w", err)
		}
		for _, e := range events[:n] {
			gone(uint64(uint32(e.Fd)) | uint64(uint32(e.Pad))<<32)
		}
	}
}

// wait waits for events. The runtime tells only of a change, so that a call that a signal has interrupted
// is made again at once.
func (w *DisconnectWatcher) wait(events []syscall.EpollEvent) (n int, err error) {
	readErr := w.raw.Read(func(fd uintptr) bool {
		for {
			if n, err = w.epollWait(int(fd), events, 0); err != syscall.EINTR {
				return err != nil || n > 0
			}
		}
	})
	return n, errors.Join(readErr, err)
}

// Close ends Run.
func (w *DisconnectWatcher) Close() error {
	w.closed.Store(true)
	return w.file.Close()
}
