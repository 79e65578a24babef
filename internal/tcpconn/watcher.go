package tcpconn

import (
	"errors"
	"fmt"
	"os"
	"sync/atomic"
	"syscall"
)

// DisconnectWatcher detects peers that end their sending or reset their connection, with one goroutine for
// all connections. A peer that ends its sending counts as disconnected: PROTOCOL has callers and sidecars
// cancel a request that way.
type DisconnectWatcher struct {
	file      *os.File
	raw       syscall.RawConn
	epfd      int
	closed    atomic.Bool
	epollWait func(epfd int, events []syscall.EpollEvent, msec int) (n int, err error) // epoll_wait(2); tests replace it
}

// disconnectEvents are the events of a disconnect. They are edge-triggered: each is reported once, as it occurs.
const disconnectEvents = syscall.EPOLLRDHUP | syscall.EPOLLHUP | syscall.EPOLLERR | 1<<31 // EPOLLET, whose constant is negative

// NewDisconnectWatcher returns a DisconnectWatcher without connections. It holds a file descriptor until
// Close.
func NewDisconnectWatcher() (*DisconnectWatcher, error) {
	fd, err := syscall.EpollCreate1(syscall.EPOLL_CLOEXEC)
	if err != nil {
		return nil, fmt.Errorf("disconnect watcher: %w", err)
	}
	if err := syscall.SetNonblock(fd, true); err != nil {
		return nil, errors.Join(fmt.Errorf("disconnect watcher: %w", err), syscall.Close(fd))
	}
	// The runtime's poller waits for events of this epoll instance, so that waiting holds no thread.
	file := os.NewFile(uintptr(fd), "watch")
	raw, err := file.SyscallConn()
	if err != nil {
		return nil, errors.Join(fmt.Errorf("disconnect watcher: %w", err), file.Close())
	}
	return &DisconnectWatcher{file: file, raw: raw, epfd: fd, epollWait: syscall.EpollWait}, nil
}

// Add watches a connection under an id until it is closed.
func (w *DisconnectWatcher) Add(c *Conn, id uint64) error {
	var epollErr error
	err := c.raw.Control(func(fd uintptr) {
		epollErr = syscall.EpollCtl(w.epfd, syscall.EPOLL_CTL_ADD, int(fd),
			&syscall.EpollEvent{Events: disconnectEvents, Fd: int32(id), Pad: int32(id >> 32)})
	})
	return errors.Join(err, epollErr)
}

// Run calls onDisconnect with the id of each connection whose peer disconnects, until Close. The connection
// may have been closed on this side in the meantime.
func (w *DisconnectWatcher) Run(onDisconnect func(id uint64)) error {
	events := make([]syscall.EpollEvent, 128)
	for {
		n, err := w.wait(events)
		if w.closed.Load() {
			return nil
		}
		if err != nil {
			return fmt.Errorf("disconnect watcher: %w", err)
		}
		for _, e := range events[:n] {
			onDisconnect(uint64(uint32(e.Fd)) | uint64(uint32(e.Pad))<<32)
		}
	}
}

// wait waits for events and returns their number. A call that a signal has interrupted is repeated at once,
// since the runtime's poller reports only changes and might not wake it again.
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

// Close ends Run and closes the file descriptor.
func (w *DisconnectWatcher) Close() error {
	w.closed.Store(true)
	return w.file.Close()
}
