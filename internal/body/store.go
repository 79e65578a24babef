// Package body holds the bodies of requests while they pass from their callers to endpoints and,
// as far as its bounds allow, keeps them for further attempts: in memory first, then in a file,
// then not at all. It knows nothing of sockets and reads no clock.
//
// A [Body] has one writer, which may be ahead of its readers by a window and then waits: that is
// the back-pressure between the two ends. What is not kept is held for that window only.
package body

import (
	"errors"
	"fmt"
	"io"
	"os"
	"sync"

	"golang.org/x/sys/unix"
)

// BlockSize is how many bytes memory is taken by, and the most that is read or written at once.
const BlockSize = 32 << 10

// Limits bound what bodies hold, in bytes.
type Limits struct {
	WindowBytes      int   // that the writer of one may be ahead of its readers
	MemoryBytes      int64 // of one that are kept in memory, the first Window of them beside MemoryAll
	FileBytes        int64 // of one that are kept in a file beyond those
	TotalMemoryBytes int64 // of all that are kept in memory beyond the windows
	TotalFileBytes   int64 // of all in files
}

// MaxBufferBytes is the most memory that one open body may take beside Limits.MemoryAll: its window, cut
// unfavourably, and where there are files the same once more for what has come last, and a block for
// a reader that reads again.
func (l Limits) MaxBufferBytes() int64 {
	round := func(n int64) int64 { return (n + BlockSize - 1) / BlockSize * BlockSize }
	held := round(int64(l.WindowBytes) + BlockSize - 1)
	if l.FileBytes > 0 {
		held += round(int64(l.WindowBytes)) + BlockSize
	}
	return held
}

// File is where a body is kept that is too long for memory.
type File interface {
	io.ReaderAt
	io.WriterAt
	io.Closer
}

// Store holds the bodies of one program within their bounds together.
type Store struct {
	openFile func() (File, error)

	mu     sync.Mutex
	stats  Stats
	blocks sync.Pool // of *[Block]byte
}

// Stats are what a store holds.
type Stats struct {
	OpenBodies      int   // that are open
	MemoryBytes     int64 // bytes kept beyond the windows
	OpenFiles       int   // that are open
	FileBytes       int64 // bytes in them
	DiscardedBodies int64 // bodies in all that could not be kept, or not for as long as they were wanted
	FileErrors      int64 // files in all that could not be opened, written or read
}

// NewStore returns a store whose files are in a folder. They have no name there, or lose it at
// once, so that nothing is left behind however the program ends.
func NewStore(dir string) *Store {
	return NewStoreWithFileOpener(func() (File, error) { return openUnnamed(dir) })
}

// NewStoreWithFileOpener returns a store whose files are those that open returns.
func NewStoreWithFileOpener(open func() (File, error)) *Store { return &Store{openFile: open} }

// openUnnamed opens a file without a name. Where the file system has no such thing (open(2),
// O_TMPFILE), the name is removed as soon as the file is there.
func openUnnamed(dir string) (File, error) {
	if fd, err := unix.Open(dir, unix.O_TMPFILE|unix.O_RDWR|unix.O_CLOEXEC, 0o600); err == nil {
		return os.NewFile(uintptr(fd), dir), nil
	}
	f, err := os.CreateTemp(dir, "body-*")
	if err != nil {
		return nil, fmt.Errorf("body: %w", err)
	}
	if err := os.Remove(f.Name()); err != nil {
		return nil, errors.Join(fmt.Errorf("body: %w", err), f.Close())
	}
	return f, nil
}

// Stats tells what the store holds.
func (s *Store) Stats() Stats {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.stats
}

// updateStats changes what the store holds.
func (s *Store) updateStats(f func(h *Stats)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f(&s.stats)
}

// addWithin adds bytes to one of the figures in held, unless it would be over the most.
func (s *Store) addWithin(of *int64, n, most int64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if *of+n > most {
		return false
	}
	*of += n
	return true
}

func (s *Store) getBlock() *[BlockSize]byte {
	if b, ok := s.blocks.Get().(*[BlockSize]byte); ok {
		return b
	}
	return new([BlockSize]byte)
}
