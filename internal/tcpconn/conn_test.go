package tcpconn

import (
	"io"
	"net"
	"os"
	"runtime"
	"strings"
	"syscall"
	"testing"
	"time"

	"barleydrum.example/barleydrum/internal/http1"
)

// testTimeout is how long a test waits for an event that must happen.
const testTimeout = 20 * time.Second

// newConnPair returns the two ends of a connection.
func newConnPair(t *testing.T, bufs *http1.BufferPool) (*Conn, *net.TCPConn) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	peer, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	accepted, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	c, err := New(accepted, bufs)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		accepted.Close()
		peer.Close()
	})
	return c, peer.(*net.TCPConn)
}

// A read takes a buffer only if there is data, returns none when the deadline passes, and returns io.EOF at
// the end of the stream.
func TestReadIntoUsesBufferOnlyForData(t *testing.T) {
	var bufs http1.BufferPool
	conn, peer := newConnPair(t, &bufs)
	if !conn.ReadWouldBlock() {
		t.Error("ReadWouldBlock is false on a new connection")
	}
	conn.SetReadDeadline(time.Now().Add(10 * time.Millisecond))
	b, err := conn.ReadInto(nil)
	if ne, ok := err.(net.Error); b != nil || !ok || !ne.Timeout() {
		t.Errorf("%v %v, want no buffer and a timeout", b, err)
	}
	conn.SetReadDeadline(time.Now().Add(testTimeout))
	want := strings.Repeat("x", 100_000)
	go io.WriteString(peer, want)
	for b == nil || b.Len() < len(want) {
		if b, err = conn.ReadInto(b); err != nil {
			t.Fatal(err)
		}
	}
	if string(b.Bytes()) != want {
		t.Error("the data read differs from the data sent")
	}
	io.WriteString(peer, "y")
	for conn.ReadWouldBlock() {
		runtime.Gosched()
	}
	peer.CloseWrite()
	if b, err = conn.ReadInto(nil); err != nil || string(b.Bytes()) != "y" {
		t.Errorf("%v %v", b, err)
	}
	if b, err = conn.ReadInto(nil); b != nil || err != io.EOF {
		t.Errorf("%v %v, want no buffer and io.EOF", b, err)
	}
	if conn.ReadWouldBlock() {
		t.Error("ReadWouldBlock is true at the end of the stream")
	}
}

// Each peer that closes or resets its connection, or ends its sending, is reported once, even if it has sent
// unread data. A connection that is closed on this side is not reported.
func TestDisconnectWatcherNotifiesOncePerDisconnect(t *testing.T) {
	w, err := NewDisconnectWatcher()
	if err != nil {
		t.Fatal(err)
	}
	reported, runResult := make(chan uint64, 100), make(chan error, 1)
	go func() { runResult <- w.Run(func(id uint64) { reported <- id }) }()
	var bufs http1.BufferPool
	const firstID = 7<<40 + 5 // ids may exceed 32 bits
	for i, disconnect := range []func(c *net.TCPConn){
		func(c *net.TCPConn) { c.Close() }, func(c *net.TCPConn) { c.CloseWrite() },
		func(c *net.TCPConn) {
			c.SetLinger(0)
			c.Close()
		},
	} {
		conn, peer := newConnPair(t, &bufs)
		closedHere, _ := newConnPair(t, &bufs)
		for n, c := range []*Conn{conn, closedHere} {
			if err := w.Add(c, firstID+uint64(2*i+n)); err != nil {
				t.Fatal(err)
			}
		}
		io.WriteString(peer, "something")
		closedHere.Close()
		disconnect(peer)
		select {
		case got := <-reported:
			if got != firstID+uint64(2*i) {
				t.Errorf("id %d was reported, want %d", got, firstID+2*i)
			}
		case <-time.After(testTimeout):
			t.Fatal("the disconnect is not reported")
		}
	}
	if err := w.Close(); err != nil {
		t.Error(err)
	}
	if err := <-runResult; err != nil {
		t.Error(err)
	}
}

// A signal may interrupt epoll_wait just after the runtime has reported an event. The watcher must repeat the
// call, or the disconnect is never reported.
func TestDisconnectWatcherRetriesInterruptedWait(t *testing.T) {
	w, err := NewDisconnectWatcher()
	if err != nil {
		t.Fatal(err)
	}
	defer w.Close()
	calls, waiting := 0, make(chan struct{})
	w.epollWait = func(epfd int, events []syscall.EpollEvent, msec int) (int, error) {
		switch calls++; calls {
		case 1:
			close(waiting)
		case 2: // the call after the disconnect
			return -1, syscall.EINTR
		}
		return syscall.EpollWait(epfd, events, msec)
	}
	reported := make(chan uint64, 1)
	var bufs http1.BufferPool
	conn, peer := newConnPair(t, &bufs)
	if err := w.Add(conn, 7); err != nil {
		t.Fatal(err)
	}
	go w.Run(func(id uint64) { reported <- id })
	<-waiting
	peer.Close()
	select {
	case got := <-reported:
		if got != 7 {
			t.Errorf("id %d was reported, want 7", got)
		}
	case <-time.After(testTimeout):
		t.Fatal("the disconnect is not reported")
	}
}

// Errors of this machine must not count against an endpoint, nor may errors of one connection end a listener.
func TestErrorClassification(t *testing.T) {
	wrapped := func(errno syscall.Errno) error {
		return &net.OpError{Op: "dial", Net: "tcp", Err: os.NewSyscallError("connect", errno)}
	}
	for _, errno := range []syscall.Errno{syscall.ENFILE, syscall.EMFILE, syscall.ENOBUFS, syscall.EADDRNOTAVAIL, syscall.ENETUNREACH} {
		if !IsTransientLocalError(wrapped(errno)) {
			t.Errorf("%v is not classified as a transient local error", errno)
		}
	}
	for _, errno := range []syscall.Errno{syscall.ECONNREFUSED, syscall.ECONNRESET, syscall.ETIMEDOUT, syscall.EHOSTUNREACH} {
		if IsTransientLocalError(wrapped(errno)) || IsDeadlineExceeded(wrapped(errno)) {
			t.Errorf("%v is classified as a local error or an exceeded deadline", errno)
		}
	}
	for _, errno := range []syscall.Errno{
		syscall.ECONNABORTED, syscall.ENFILE, syscall.EMFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.EPROTO, syscall.EPERM, syscall.ENETDOWN,
		syscall.ENOPROTOOPT, syscall.EHOSTDOWN, syscall.ENONET, syscall.EHOSTUNREACH, syscall.EOPNOTSUPP, syscall.ENETUNREACH, syscall.ETIMEDOUT,
	} {
		if IsFatalAcceptError(wrapped(errno)) {
			t.Errorf("%v is classified as fatal for the listener", errno)
		}
	}
}
