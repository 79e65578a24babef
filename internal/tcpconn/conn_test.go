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

const testTimeout = 20 * time.Second

// newConnPair returns the two ends of a connection.
func newConnPair(t *testing.T, bufs *http1.BufferPool) (*Conn, *net.TCPConn) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	there, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	here, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	s, err := New(here, bufs)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		here.Close()
		there.Close()
	})
	return s, there.(*net.TCPConn)
}

// Reads take a buffer only with something in it, come back at the deadline with none, and end
// with io.EOF.
func TestReadIntoUsesBufferOnlyForData(t *testing.T) {
	var bufs http1.BufferPool
	here, there := newConnPair(t, &bufs)
	if !here.ReadWouldBlock() {
		t.Error("not quiet at first")
	}
	here.SetReadDeadline(time.Now().Add(10 * time.Millisecond))
	b, err := here.ReadInto(nil)
	if ne, ok := err.(net.Error); b != nil || !ok || !ne.Timeout() {
		t.Errorf("%v %v, want a time-out and no buffer", b, err)
	}
	here.SetReadDeadline(time.Now().Add(testTimeout))
	long := strings.Repeat("x", 100_000)
	go io.WriteString(there, long)
	for b == nil || b.Len() < len(long) {
		if b, err = here.ReadInto(b); err != nil {
			t.Fatal(err)
		}
	}
	if string(b.Bytes()) != long {
		t.Error("what was read is not what was sent")
	}
	io.WriteString(there, "y")
	for here.ReadWouldBlock() {
		runtime.Gosched()
	}
	there.CloseWrite()
	if b, err = here.ReadInto(nil); err != nil || string(b.Bytes()) != "y" {
		t.Errorf("%v %v", b, err)
	}
	if b, err = here.ReadInto(nil); b != nil || err != io.EOF {
		t.Errorf("%v %v, want the end", b, err)
	}
	if here.ReadWouldBlock() {
		t.Error("quiet at its end")
	}
}

// Each peer that ends its sending or resets is told once, whatever else has been sent; one
// that is closed here is not.
func TestDisconnectWatcherNotifiesOncePerDisconnect(t *testing.T) {
	w, err := NewDisconnectWatcher()
	if err != nil {
		t.Fatal(err)
	}
	told, ended := make(chan uint64, 100), make(chan error, 1)
	go func() { ended <- w.Run(func(number uint64) { told <- number }) }()
	var bufs http1.BufferPool
	const big = 7<<40 + 5 // numbers go beyond 32 bits
	for i, end := range []func(c *net.TCPConn){
		func(c *net.TCPConn) { c.Close() }, func(c *net.TCPConn) { c.CloseWrite() },
		func(c *net.TCPConn) {
			c.SetLinger(0)
			c.Close()
		},
	} {
		here, there := newConnPair(t, &bufs)
		silent, _ := newConnPair(t, &bufs)
		for n, c := range []*Conn{here, silent} {
			if err := w.Add(c, big+uint64(2*i+n)); err != nil {
				t.Fatal(err)
			}
		}
		io.WriteString(there, "something")
		silent.Close()
		end(there)
		select {
		case got := <-told:
			if got != big+uint64(2*i) {
				t.Errorf("%d was told, want %d", got, big+2*i)
			}
		case <-time.After(testTimeout):
			t.Fatal("it is not told")
		}
	}
	if err := w.Close(); err != nil {
		t.Error(err)
	}
	if err := <-ended; err != nil {
		t.Error(err)
	}
}

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
		case 2: // the call after the news
			return -1, syscall.EINTR
		}
		return syscall.EpollWait(epfd, events, msec)
	}
	told := make(chan uint64, 1)
	var bufs http1.BufferPool
	here, there := newConnPair(t, &bufs)
	if err := w.Add(here, 7); err != nil {
		t.Fatal(err)
	}
	go w.Run(func(number uint64) { told <- number })
	<-waiting
	there.Close()
	select {
	case got := <-told:
		if got != 7 {
			t.Errorf("%d was told", got)
		}
	case <-time.After(testTimeout):
		t.Fatal("it is not told")
	}
}

func TestErrorClassification(t *testing.T) {
	wrapped := func(errno syscall.Errno) error {
		return &net.OpError{Op: "dial", Net: "tcp", Err: os.NewSyscallError("connect", errno)}
	}
	for _, errno := range []syscall.Errno{syscall.ENFILE, syscall.EMFILE, syscall.ENOBUFS, syscall.EADDRNOTAVAIL, syscall.ENETUNREACH} {
		if !IsTransientLocalError(wrapped(errno)) {
			t.Errorf("%v is held to be the endpoint's", errno)
		}
	}
	for _, errno := range []syscall.Errno{syscall.ECONNREFUSED, syscall.ECONNRESET, syscall.ETIMEDOUT, syscall.EHOSTUNREACH} {
		if IsTransientLocalError(wrapped(errno)) || IsDeadlineExceeded(wrapped(errno)) {
			t.Errorf("%v is held to be this machine's, or a deadline of ours", errno)
		}
	}
	for _, errno := range []syscall.Errno{
		syscall.ECONNABORTED, syscall.ENFILE, syscall.EMFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.EPROTO, syscall.EPERM, syscall.ENETDOWN,
		syscall.ENOPROTOOPT, syscall.EHOSTDOWN, syscall.ENONET, syscall.EHOSTUNREACH, syscall.EOPNOTSUPP, syscall.ENETUNREACH, syscall.ETIMEDOUT,
	} {
		if IsFatalAcceptError(wrapped(errno)) {
			t.Errorf("%v ends the listener", errno)
		}
	}
}
