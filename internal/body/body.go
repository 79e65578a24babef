package body

import (
	"errors"
	"io"
	"slices"
	"sync"
	"sync/atomic"
)

// Errors of reading and writing a body, beside those of its files and those that [Body.Fail] sets.
var (
	ErrDiscarded = errors.New("body: start is no longer retained")
	ErrStopped   = errors.New("body: reader stopped")
	ErrClosed    = errors.New("body: closed")
)

// State is the availability of a body to a further attempt.
type State uint8

// The states of a body.
const (
	Receiving   State = iota // retained so far, but not complete
	Retained                 // complete and retained from its start
	Unavailable              // can no longer be read from its start
)

// Body is the body of one request. One goroutine writes it; any number of goroutines may read it,
// each through its own [Reader]. Callers must call Close.
type Body struct {
	store         *Store
	limits        Limits
	onUnavailable func()

	mu              sync.Mutex
	changed         sync.Cond
	endOffset       int64 // number of bytes written so far, so the offset of the next one
	complete        bool  // all bytes and the trailers have been received
	err             error // why readers fail: the body broke off, or its file can't be read
	readErr         error // why the file can't be read
	readErrNotified bool  // onUnavailable was called for readErr
	closed          bool
	hadReader       bool // a reader has been opened, even if it has been closed since
	readers         []*Reader
	trailers        []byte

	// The retained bytes: memory holds them from offset 0 on, file those behind memory.
	// A body that is not retained has no file.
	retained           bool
	retentionStopped   bool // StopRetaining was called: no further attempt will read the body
	memory             segment
	countedMemoryBytes int64 // the part of memory that counts in Store.stats.MemoryBytes
	file               File
	fileBytes          int64 // bytes of the file that count in Store.stats.FileBytes

	// The bytes received last, used if the body has a file or is not retained. The reader that is
	// farthest ahead reads them from here.
	recent   segment
	reserved []byte // the space that Reserve returned last, nil once it is committed
}

// segment is a contiguous part of a body in memory.
type segment struct {
	startOffset int64 // offset in the body of the first block
	blocks      []*[BlockSize]byte
}

// freeTail returns the unused space of the last block, for a segment whose bytes end at the offset
// end.
func (s *segment) freeTail(end int64) []byte {
	if len(s.blocks) == 0 {
		return nil
	}
	return s.blocks[len(s.blocks)-1][BlockSize-(s.endOffset()-end):]
}

// endOffset returns the offset in the body at which the last block ends.
func (s *segment) endOffset() int64 { return s.startOffset + int64(len(s.blocks))*BlockSize }

// blockAt returns the bytes from the offset start, which must lie within the segment, up to the end of
// that block or the offset end, whichever is first.
func (s *segment) blockAt(start, end int64) []byte {
	offset := start - s.startOffset
	return s.blocks[offset/BlockSize][offset%BlockSize : min(BlockSize, offset%BlockSize+end-start)]
}

// New opens a body. The body calls onUnavailable, unless that is nil, as soon as it can no longer be
// retained; no lock is held during the call. Callers must call Close.
func (s *Store) New(l Limits, onUnavailable func()) *Body {
	b := &Body{store: s, limits: l, onUnavailable: onUnavailable, retained: true}
	b.changed.L = &b.mu
	s.updateStats(func(st *Stats) { st.OpenBodies++ })
	return b
}

// Reserve waits until the writer is less than a window ahead of the reader that is farthest ahead,
// and returns space for between 1 and maxBytes bytes. Commit adds those that were written to it to
// the body. Reserve fails with ErrClosed once the body is closed.
func (b *Body) Reserve(maxBytes int) ([]byte, error) {
	b.mu.Lock()
	for !b.closed && b.endOffset-b.maxReadOffset() >= int64(b.limits.WindowBytes) {
		b.changed.Wait()
	}
	if b.closed {
		b.mu.Unlock()
		return nil, ErrClosed
	}
	wasRetained := b.retained
	space := b.allocate()
	becameUnavailable := wasRetained && !b.retained && !b.retentionStopped
	space = space[:min(maxBytes, int(int64(b.limits.WindowBytes)-(b.endOffset-b.maxReadOffset())), len(space))]
	b.reserved = space
	b.mu.Unlock()
	if becameUnavailable && b.onUnavailable != nil {
		b.onUnavailable()
	}
	return space, nil
}

// allocate returns space for the next bytes. A body for which neither memory nor a file has space
// within the limits is discarded; its bytes then pass through recent only. The caller must hold b.mu.
func (b *Body) allocate() []byte {
	if b.retained && b.retentionStopped && b.mayDiscard() {
		b.discard()
	}
	if b.retained && b.file == nil {
		if tail := b.memory.freeTail(b.endOffset); len(tail) > 0 {
			return tail
		}
		memoryBytes := int64(len(b.memory.blocks)) * BlockSize
		switch {
		case memoryBytes < int64(b.limits.WindowBytes):
			return b.appendBlock(&b.memory)
		case memoryBytes+BlockSize <= b.limits.MemoryBytes && b.store.addWithin(&b.store.stats.MemoryBytes, BlockSize, b.limits.TotalMemoryBytes):
			b.countedMemoryBytes += BlockSize
			return b.appendBlock(&b.memory)
		case b.limits.FileBytes > 0:
			if f, err := b.store.openFile(); err == nil {
				b.file = f
				b.recent.startOffset = b.endOffset
				b.store.updateStats(func(st *Stats) { st.OpenFiles++ })
			} else {
				b.store.updateStats(func(st *Stats) { st.FileErrors++ })
			}
		}
	}
	remainingFileBytes := b.limits.FileBytes - b.fileBytes
	if b.retained && (b.file == nil || remainingFileBytes <= 0) {
		b.discard()
	}
	if recent := &b.recent; len(recent.blocks) > 0 && len(b.readers) == 1 && b.readers[0].offset == b.endOffset {
		// The only reader has read everything: start over with a whole block, so that the writer
		// can receive as much as possible at once.
		recent.blocks, recent.startOffset = recent.blocks[:1], b.endOffset
	}
	space := b.recent.freeTail(b.endOffset)
	if len(space) == 0 {
		space = b.appendBlock(&b.recent)
	}
	if b.file != nil && int64(len(space)) > remainingFileBytes {
		space = space[:remainingFileBytes]
	}
	return space
}

// appendBlock adds a block to the segment and returns it.
func (b *Body) appendBlock(seg *segment) []byte {
	block := b.store.getBlock()
	seg.blocks = append(seg.blocks, block)
	return block[:]
}

// Commit adds the first n bytes of the space that Reserve returned to the body. It fails with
// ErrClosed once the body is closed.
func (b *Body) Commit(n int) error {
	b.mu.Lock()
	if b.closed {
		b.mu.Unlock()
		return ErrClosed
	}
	becameUnavailable := false
	if b.file != nil {
		becameUnavailable = b.spill(b.reserved[:n])
	} else {
		b.endOffset += int64(n)
	}
	b.reserved = nil
	b.changed.Broadcast()
	b.mu.Unlock()
	if becameUnavailable && b.onUnavailable != nil {
		b.onUnavailable()
	}
	return nil
}

// spill appends the bytes p, which lie in recent too, to the file. If the file can't take all of them,
// the body is discarded; the reader that is farthest ahead still finds them in recent. The caller must
// hold b.mu.
func (b *Body) spill(p []byte) (becameUnavailable bool) {
	startOffset := b.endOffset
	b.endOffset += int64(len(p))
	if b.store.addWithin(&b.store.stats.FileBytes, int64(len(p)), b.limits.TotalFileBytes) {
		b.fileBytes += int64(len(p))
		if n, err := b.file.WriteAt(p, startOffset-b.memory.endOffset()); err == nil && n == len(p) {
			return false
		}
		b.store.updateStats(func(st *Stats) { st.FileErrors++ })
	}
	b.discard()
	return true
}

// mayDiscard reports whether the reader that is farthest ahead would find all that it has not read after discard: it is
// in recent, or in memory up to where recent starts. The caller must hold b.mu.
func (b *Body) mayDiscard() bool {
	return b.file == nil || b.maxReadOffset() >= b.recent.startOffset || b.recent.startOffset == b.memory.endOffset()
}

// discard stops retaining the body: the reader that is farthest ahead continues from recent, all else
// is dropped, and readers that are farther behind fail with ErrDiscarded. The caller must hold b.mu.
func (b *Body) discard() {
	switch {
	case b.file == nil: // then the bytes received last are at the end of memory
		b.recent, b.memory = b.memory, segment{}
		b.trimRecent(len(b.readers) == 1)
	case b.maxReadOffset() < b.recent.startOffset && b.recent.startOffset == b.memory.endOffset():
		b.moveUnreadToRecent()
	}
	b.retained = false
	if !b.retentionStopped {
		b.store.updateStats(func(st *Stats) { st.DiscardedBodies++ })
	}
	b.memory.blocks = nil // not returned to the pool: a reader may be using one
	b.releaseStorage()
}

// moveUnreadToRecent puts the blocks of memory that the reader that is farthest ahead has not read in front of recent,
// which must start at the end of memory. The caller must hold b.mu.
func (b *Body) moveUnreadToRecent() {
	readBlocks := (b.maxReadOffset() - b.memory.startOffset) / BlockSize
	b.recent.blocks = append(slices.Clone(b.memory.blocks[readBlocks:]), b.recent.blocks...)
	b.recent.startOffset = b.memory.startOffset + readBlocks*BlockSize
}

// trimRecent drops the blocks of recent that the reader that is farthest ahead has read. They go back to
// the pool if reuse is set, which is allowed only if no other reader may be using them.
func (b *Body) trimRecent(reuse bool) {
	for len(b.recent.blocks) > 0 && b.maxReadOffset()-b.recent.startOffset >= BlockSize {
		if reuse {
			b.store.blocks.Put(b.recent.blocks[0])
		}
		b.recent.blocks = slices.Delete(b.recent.blocks, 0, 1)
		b.recent.startOffset += BlockSize
	}
}

// releaseStorage releases what counts against the store's totals: memory beyond the window, and the
// file.
func (b *Body) releaseStorage() {
	file, memoryBytes, fileBytes := b.file, b.countedMemoryBytes, b.fileBytes
	b.file, b.countedMemoryBytes, b.fileBytes = nil, 0, 0
	b.store.updateStats(func(st *Stats) {
		st.MemoryBytes -= memoryBytes
		st.FileBytes -= fileBytes
		if file != nil {
			st.OpenFiles--
		}
	})
	if file != nil {
		file.Close() // the error doesn't matter: the file has no name, so its data is freed either way
	}
}

// maxReadOffset returns the offset of the reader that is farthest ahead, 0 if there is no reader.
func (b *Body) maxReadOffset() int64 {
	offset := int64(0)
	for _, r := range b.readers {
		offset = max(offset, r.offset)
	}
	return offset
}

// Complete marks the body as complete. The trailers that followed it are whole lines, each with its
// CRLF.
func (b *Body) Complete(trailers []byte) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.complete, b.trailers = true, trailers
	b.changed.Broadcast()
}

// Fail ends a body that broke off before it was complete. Its readers fail with err.
func (b *Body) Fail(err error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.fail(err)
}

// fail sets the error of readers, unless the body is complete or has one. The caller must hold b.mu.
func (b *Body) fail(err error) {
	if b.err == nil && !b.complete {
		b.err = err
	}
	b.changed.Broadcast()
}

// StopRetaining states that no further attempt will read the body from its start, so that its storage
// can be released.
func (b *Body) StopRetaining() {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.closed || !b.retained {
		return
	}
	b.retentionStopped = true
	// Otherwise allocate discards the body when the next bytes arrive, or Close releases it at the end.
	if b.reserved == nil && b.mayDiscard() && b.endOffset-b.maxReadOffset() <= int64(b.limits.WindowBytes) {
		b.discard()
		b.changed.Broadcast()
	}
}

// Close releases all storage. Pending and later reads and writes fail with ErrClosed. Closing a body
// twice is harmless.
func (b *Body) Close() {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.closed {
		return
	}
	b.closed, b.retained, b.memory.blocks, b.recent.blocks = true, false, nil, nil
	b.releaseStorage()
	b.store.updateStats(func(st *Stats) { st.OpenBodies-- })
	b.changed.Broadcast()
}

// State returns the availability of the body to a further attempt.
func (b *Body) State() State {
	b.mu.Lock()
	defer b.mu.Unlock()
	switch {
	case !b.retained || b.err != nil:
		return Unavailable
	case b.complete:
		return Retained
	}
	return Receiving
}

// WaitForReader waits for the first reader or for Close and reports whether there has been a reader.
func (b *Body) WaitForReader() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	for !b.hadReader && !b.closed {
		b.changed.Wait()
	}
	return b.hadReader
}

// Reader reads a body from its start, independently of other readers. Only one goroutine may use it,
// except that any may call Stop. Callers must call Close.
type Reader struct {
	body    *Body
	offset  int64
	stopped atomic.Bool
	buf     *[BlockSize]byte // holds what was read from the file
}

// Reader opens a reader at the start of the body. It fails with ErrDiscarded if the start is no longer
// retained, since no request may be sent again without its body; with ErrClosed if the body is closed;
// and with the error of Fail or of the file if there was one.
func (b *Body) Reader() (*Reader, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	switch {
	case b.closed:
		return nil, ErrClosed
	case b.err != nil:
		return nil, b.err
	case !b.retained:
		return nil, ErrDiscarded
	}
	r := &Reader{body: b}
	b.readers = append(b.readers, r)
	b.hadReader = true
	b.changed.Broadcast()
	return r, nil
}

// Next waits for more of the body and returns the bytes at the reader's offset, at most BlockSize, or
// io.EOF at the end of a complete body. The bytes are valid until Advance.
func (r *Reader) Next() ([]byte, error) {
	b := r.body
	b.mu.Lock()
	p, err := r.next()
	becameUnavailable := err != nil && err == b.readErr && !b.readErrNotified
	b.readErrNotified = b.readErrNotified || becameUnavailable
	b.mu.Unlock()
	if becameUnavailable && b.onUnavailable != nil {
		b.onUnavailable()
	}
	return p, err
}

// next is Next without locking and without the notification. The caller must hold b.mu.
func (r *Reader) next() ([]byte, error) {
	b := r.body
	for {
		switch {
		case r.stopped.Load():
			return nil, ErrStopped
		case b.closed:
			return nil, ErrClosed
		case b.err != nil:
			return nil, b.err
		case r.offset < b.endOffset:
			return b.dataFor(r)
		case b.complete:
			return nil, io.EOF
		}
		b.changed.Wait()
	}
}

// dataFor returns the bytes at the offset of a reader that is not at the end: from recent if they are
// there, else from memory or the file. The caller must hold b.mu.
func (b *Body) dataFor(r *Reader) ([]byte, error) {
	usesRecent := b.file != nil || !b.retained
	switch {
	case usesRecent && r.offset >= b.recent.startOffset:
		return b.recent.blockAt(r.offset, b.endOffset), nil
	case !b.retained: // another reader was ahead, so recent starts behind this one's offset
		return nil, ErrDiscarded
	case b.file == nil:
		return b.memory.blockAt(r.offset, b.endOffset), nil
	case r.offset < b.memory.endOffset():
		return b.memory.blockAt(r.offset, b.memory.endOffset()), nil
	}
	if r.buf == nil {
		r.buf = b.store.getBlock()
	}
	p := r.buf[:min(BlockSize, b.recent.startOffset-r.offset)]
	if _, err := b.file.ReadAt(p, r.offset-b.memory.endOffset()); err != nil {
		b.store.updateStats(func(st *Stats) { st.FileErrors++ })
		b.err, b.readErr = err, err // even if the body is complete: if it can't be read again, it isn't retained
		b.changed.Broadcast()
		return nil, err
	}
	return p, nil
}

// Advance moves the reader past the first n of the bytes that Next returned.
func (r *Reader) Advance(n int) {
	b := r.body
	b.mu.Lock()
	defer b.mu.Unlock()
	r.offset += int64(n)
	if !b.closed && (b.file != nil || !b.retained) {
		b.trimRecent(len(b.readers) == 1) // with more readers, another may be using a block
	}
	b.changed.Broadcast()
}

// Trailers returns the trailers of a body that has been read to its end.
func (r *Reader) Trailers() []byte {
	r.body.mu.Lock()
	defer r.body.mu.Unlock()
	return r.body.trailers
}

// Stop makes a pending and all later calls of Next return ErrStopped. It never blocks, not even while
// the body is locked for a write to a slow disk: the caller may hold up all other requests while it
// waits.
func (r *Reader) Stop() {
	r.stopped.Store(true)
	if b := r.body; b.mu.TryLock() {
		b.changed.Broadcast()
		b.mu.Unlock()
	} else {
		go func() { // a reader that has checked stopped but does not wait yet would miss a broadcast now
			b.mu.Lock()
			defer b.mu.Unlock()
			b.changed.Broadcast()
		}()
	}
}

// Close removes the reader from its body.
func (r *Reader) Close() {
	b := r.body
	b.mu.Lock()
	defer b.mu.Unlock()
	b.readers = slices.DeleteFunc(b.readers, func(other *Reader) bool { return other == r })
	if r.buf != nil {
		b.store.blocks.Put(r.buf)
		r.buf = nil
	}
	b.changed.Broadcast()
}
