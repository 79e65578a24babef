// Package body buffers the bodies of requests on their way from callers to endpoints and, as far as
// its limits allow, retains them for further attempts: in memory first, then in a file, then not at
// all. It uses no sockets and reads no clock.
//
// A [Body] has one writer, which may be ahead of its readers by a window and then waits. This is the
// back-pressure between caller and endpoint. A body that is not retained is buffered for that window
// only.
package body

import (
	"errors"
	"fmt"
	"io"
	"os"
	"sync"

	"golang.org/x/sys/unix"
)

// BlockSize is the unit in which memory is allocated, in bytes, and the most that is read or written at
// once.
const BlockSize = 32 << 10

// Limits bound the storage that bodies use, in bytes.
type Limits struct {
	WindowBytes      int   // how far the writer of a body may be ahead of its readers
	MemoryBytes      int64 // of one body in memory; the first WindowBytes don't count in TotalMemoryBytes
	FileBytes        int64 // of one body in a file, beyond those in memory
	TotalMemoryBytes int64 // of all bodies in memory, beyond their windows
	TotalFileBytes   int64 // of all bodies in files
}

// MaxBufferBytes returns the most memory in bytes that one open body may take beside
// Limits.TotalMemoryBytes: its window, at the least favorable block boundaries; and if files are used,
// the window once more for the bytes received last, and a block for a reader that reads from the file.
func (l Limits) MaxBufferBytes() int64 {
	roundUp := func(n int64) int64 { return (n + BlockSize - 1) / BlockSize * BlockSize }
	maxBytes := roundUp(int64(l.WindowBytes) + BlockSize - 1)
	if l.FileBytes > 0 {
		maxBytes += roundUp(int64(l.WindowBytes)) + BlockSize
	}
	return maxBytes
}

// File stores the part of a retained body that exceeds the memory limit.
type File interface {
	io.ReaderAt
	io.WriterAt
	io.Closer
}

// Store holds the bodies of one process and bounds what they use together. It is safe for concurrent
// use.
type Store struct {
	openFile func() (File, error)

	mu     sync.Mutex
	stats  Stats
	blocks sync.Pool // of *[BlockSize]byte
}

// Stats are the gauges and counters of a store.
type Stats struct {
	OpenBodies      int   // bodies that are not closed
	MemoryBytes     int64 // bytes retained in memory beyond the windows
	OpenFiles       int   // files of bodies
	FileBytes       int64 // bytes in those files
	DiscardedBodies int64 // bodies since the start that could not be retained for as long as they were needed
	FileErrors      int64 // files since the start that could not be opened, written or read
}

// NewStore returns a store that keeps its files in the directory dir. They have no name there, or lose
// it at once, so that nothing is left behind however the process ends.
func NewStore(dir string) *Store {
	return NewStoreWithFileOpener(func() (File, error) { return openUnnamed(dir) })
}

// NewStoreWithFileOpener returns a store that opens its files with open, which must be safe for
// concurrent use.
func NewStoreWithFileOpener(open func() (File, error)) *Store { return &Store{openFile: open} }

// openUnnamed opens a file without a name in the directory dir. On a file system that has no such files
// (open(2), O_TMPFILE), it creates a named one and removes the name at once.
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

// Stats returns the current gauges and counters.
func (s *Store) Stats() Stats {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.stats
}

// updateStats calls update with the store's stats, under the lock.
func (s *Store) updateStats(update func(st *Stats)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	update(&s.stats)
}

// addWithin adds n bytes to gauge, a field of s.stats, unless that would exceed limit. It reports
// whether it did.
func (s *Store) addWithin(gauge *int64, n, limit int64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if *gauge+n > limit {
		return false
	}
	*gauge += n
	return true
}

// getBlock returns a block from the pool, or a new one. Its contents are arbitrary.
func (s *Store) getBlock() *[BlockSize]byte {
	if b, ok := s.blocks.Get().(*[BlockSize]byte); ok {
		return b
	}
	return new([BlockSize]byte)
}
