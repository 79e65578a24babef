package body

import (
	"errors"
	"io"
	"slices"
	"sync"
	"sync/atomic"
)

// Why a body can't be read or written.
var (
	ErrDiscarded = errors.New("body: its begin is not kept any more")
	ErrStopped   = errors.New("body: its reader was stopped")
	ErrClosed    = errors.New("body: nobody wants it any more")
)

// State says what a further attempt would find of a body.
type State uint8

// The states of a body.
const (
	Receiving   State = iota // kept so far, and not whole
	Retained                 // whole
	Unavailable              // not to be had from its begin any more
)

// Body is the body of one request. One goroutine writes it, any number read it.
type Body struct {
	store         *Store
	limits        Limits
	onUnavailable func()

	mu              sync.Mutex
	changed         sync.Cond
	endOffset       int64 // bytes that have been written
	complete        bool
	err             error // why it broke off
	readErr         error // why its file can't be read
	readErrNotified bool  // lost was called for that
	closed          bool
	hadReader       bool // it has had a reader
	readers         []*Reader
	trailers        []byte

	// What is held: memory from 0 on, and behind that the file. Once it is not kept there is no file.
	retained           bool
	retentionStopped   bool // it was not kept because nobody wants it again
	memory             segment
	countedMemoryBytes int64 // of Store.held.Memory
	file               File
	fileBytes          int64

	// What has come last, where it is in a file or not kept: the reader that is ahead has it from here.
	recent   segment
	reserved []byte // what Room returned last
}

// segment is a stretch of a body in memory.
type segment struct {
	startOffset int64 // where it begins
	blocks      []*[BlockSize]byte
}

// freeTail is what is free behind the stretch, which ends at end.
func (r *segment) freeTail(end int64) []byte {
	if len(r.blocks) == 0 {
		return nil
	}
	return r.blocks[len(r.blocks)-1][BlockSize-(r.endOffset()-end):]
}

// endOffset is where the last block ends.
func (r *segment) endOffset() int64 { return r.startOffset + int64(len(r.blocks))*BlockSize }

// blockAt is what of one block begins at an offset, which is inside of the stretch. It ends at end.
func (r *segment) blockAt(from, end int64) []byte {
	i := from - r.startOffset
	return r.blocks[i/BlockSize][i%BlockSize : min(BlockSize, i%BlockSize+end-from)]
}

// New opens a body. lost is called, with nothing locked, as soon as a body that was kept is
// found to be kept no longer. Close is owed.
func (s *Store) New(l Limits, lost func()) *Body {
	b := &Body{store: s, limits: l, onUnavailable: lost, retained: true}
	b.changed.L = &b.mu
	s.updateStats(func(h *Stats) { h.OpenBodies++ })
	return b
}

// Reserve waits until the body may grow and returns space for up to most bytes, of which Wrote
// tells how many are used. It fails once nobody wants the body any more.
func (b *Body) Reserve(most int) ([]byte, error) {
	b.mu.Lock()
	for !b.closed && b.endOffset-b.maxReadOffset() >= int64(b.limits.WindowBytes) {
		b.changed.Wait()
	}
	if b.closed {
		b.mu.Unlock()
		return nil, ErrClosed
	}
	was := b.retained
	room := b.allocate()
	lost := was && !b.retained && !b.retentionStopped
	room = room[:min(most, int(int64(b.limits.WindowBytes)-(b.endOffset-b.maxReadOffset())), len(room))]
	b.reserved = room
	b.mu.Unlock()
	if lost && b.onUnavailable != nil {
		b.onUnavailable()
	}
	return room, nil
}

// allocate finds where the next bytes go. A body that finds none is kept no longer.
func (b *Body) allocate() []byte {
	if b.retained && b.retentionStopped {
		b.discard()
	}
	if b.retained && b.file == nil {
		if tail := b.memory.freeTail(b.endOffset); len(tail) > 0 {
			return tail
		}
		held := int64(len(b.memory.blocks)) * BlockSize
		switch {
		case held < int64(b.limits.WindowBytes):
			return b.appendBlock(&b.memory)
		case held+BlockSize <= b.limits.MemoryBytes && b.store.addWithin(&b.store.stats.MemoryBytes, BlockSize, b.limits.TotalMemoryBytes):
			b.countedMemoryBytes += BlockSize
			return b.appendBlock(&b.memory)
		case b.limits.FileBytes > 0:
			if f, err := b.store.openFile(); err == nil {
				b.file = f
				b.recent.startOffset = b.endOffset
				b.store.updateStats(func(h *Stats) { h.OpenFiles++ })
			} else {
				b.store.updateStats(func(h *Stats) { h.FileErrors++ })
			}
		}
	}
	left := b.limits.FileBytes - b.fileBytes
	if b.retained && (b.file == nil || left <= 0) {
		b.discard()
	}
	if r := &b.recent; len(r.blocks) > 0 && len(b.readers) == 1 && b.readers[0].offset == b.endOffset {
		r.blocks, r.startOffset = r.blocks[:1], b.endOffset // all has been read: begin again, to read as much as can be at once
	}
	room := b.recent.freeTail(b.endOffset)
	if len(room) == 0 {
		room = b.appendBlock(&b.recent)
	}
	if b.file != nil && int64(len(room)) > left {
		room = room[:left]
	}
	return room
}

func (b *Body) appendBlock(r *segment) []byte {
	k := b.store.getBlock()
	r.blocks = append(r.blocks, k)
	return k[:]
}

// Commit adds the first n bytes of what Room returned to the body.
func (b *Body) Commit(n int) error {
	b.mu.Lock()
	if b.closed {
		b.mu.Unlock()
		return ErrClosed
	}
	lost := false
	if b.file != nil {
		lost = b.spill(b.reserved[:n])
	} else {
		b.endOffset += int64(n)
	}
	b.reserved = nil
	b.changed.Broadcast()
	b.mu.Unlock()
	if lost && b.onUnavailable != nil {
		b.onUnavailable()
	}
	return nil
}

// spill writes bytes to the file. If they don't all go in, the body is kept no longer; they are among
// what has come last.
func (b *Body) spill(p []byte) (lost bool) {
	from := b.endOffset
	b.endOffset += int64(len(p))
	if b.store.addWithin(&b.store.stats.FileBytes, int64(len(p)), b.limits.TotalFileBytes) {
		b.fileBytes += int64(len(p))
		if n, err := b.file.WriteAt(p, from-b.memory.endOffset()); err == nil && n == len(p) {
			return false
		}
		b.store.updateStats(func(h *Stats) { h.FileErrors++ })
	}
	b.discard()
	return true
}

// discard keeps the body no longer: the reader that is ahead goes on from what has come last, the rest
// is dropped, and whoever is farther behind is told.
func (b *Body) discard() {
	if b.file == nil { // what has come last is at the end of memory
		b.recent, b.memory = b.memory, segment{}
		b.trimRecent(len(b.readers) == 1)
	}
	b.retained = false
	if !b.retentionStopped {
		b.store.updateStats(func(h *Stats) { h.DiscardedBodies++ })
	}
	b.memory.blocks = nil // not to the pool: a reader may be looking at one
	b.releaseStorage()
}

// trimRecent drops what of the last bytes the reader that is ahead has passed.
func (b *Body) trimRecent(again bool) {
	for len(b.recent.blocks) > 0 && b.maxReadOffset()-b.recent.startOffset >= BlockSize {
		if again {
			b.store.blocks.Put(b.recent.blocks[0])
		}
		b.recent.blocks = slices.Delete(b.recent.blocks, 0, 1)
		b.recent.startOffset += BlockSize
	}
}

// releaseStorage gives back what is counted: memory beyond the window, and the file.
func (b *Body) releaseStorage() {
	file, taken, filed := b.file, b.countedMemoryBytes, b.fileBytes
	b.file, b.countedMemoryBytes, b.fileBytes = nil, 0, 0
	b.store.updateStats(func(h *Stats) {
		h.MemoryBytes -= taken
		h.FileBytes -= filed
		if file != nil {
			h.OpenFiles--
		}
	})
	if file != nil {
		file.Close() // it has no name: there is nothing left to lose
	}
}

// maxReadOffset is how far the reader has come that is ahead.
func (b *Body) maxReadOffset() int64 {
	most := int64(0)
	for _, r := range b.readers {
		most = max(most, r.offset)
	}
	return most
}

// Complete ends the body, which is whole, with the trailers that came behind it, whole lines.
func (b *Body) Complete(trailers []byte) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.complete, b.trailers = true, trailers
	b.changed.Broadcast()
}

// Fail ends the body, which is not whole. Its readers are told why.
func (b *Body) Fail(err error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.fail(err)
}

func (b *Body) fail(err error) {
	if b.err == nil && !b.complete {
		b.err = err
	}
	b.changed.Broadcast()
}

// StopRetaining tells that nobody will want the body from its begin again.
func (b *Body) StopRetaining() {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.closed || !b.retained {
		return
	}
	b.retentionStopped = true
	if b.reserved == nil && b.endOffset-b.maxReadOffset() <= int64(b.limits.WindowBytes) { // else as the next bytes come, or at the end
		b.discard()
		b.changed.Broadcast()
	}
}

// Close gives all back. Whoever waits for the body fails.
func (b *Body) Close() {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.closed {
		return
	}
	b.closed, b.retained, b.memory.blocks, b.recent.blocks = true, false, nil, nil
	b.releaseStorage()
	b.store.updateStats(func(h *Stats) { h.OpenBodies-- })
	b.changed.Broadcast()
}

// State tells what a further attempt would find.
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

// WaitForReader waits for the first reader, and tells whether one came.
func (b *Body) WaitForReader() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	for !b.hadReader && !b.closed {
		b.changed.Wait()
	}
	return b.hadReader
}

// Reader reads a body from its begin, at its own pace. One goroutine uses it, but for Stop.
type Reader struct {
	body    *Body
	offset  int64
	stopped atomic.Bool
	buf     *[BlockSize]byte // for what is in the file
}

// Reader begins to read. It fails with ErrNotKept where the begin is gone: no request goes out
// again without its body. Close is owed.
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

// Next waits for more of the body and returns it, io.EOF at its end. What it returns is valid
// until Advance.
func (r *Reader) Next() ([]byte, error) {
	b := r.body
	b.mu.Lock()
	p, err := r.next()
	lost := err != nil && err == b.readErr && !b.readErrNotified
	b.readErrNotified = b.readErrNotified || lost
	b.mu.Unlock()
	if lost && b.onUnavailable != nil {
		b.onUnavailable()
	}
	return p, err
}

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

// dataFor returns what is there of the body for a reader.
func (b *Body) dataFor(r *Reader) ([]byte, error) {
	recent := b.file != nil || !b.retained
	switch {
	case recent && r.offset >= b.recent.startOffset:
		return b.recent.blockAt(r.offset, b.endOffset), nil
	case !b.retained: // another was ahead
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
		b.store.updateStats(func(h *Stats) { h.FileErrors++ })
		b.err, b.readErr = err, err // also where it is whole: what can't be read again is not kept
		b.changed.Broadcast()
		return nil, err
	}
	return p, nil
}

// Advance passes over n bytes of what Next returned.
func (r *Reader) Advance(n int) {
	b := r.body
	b.mu.Lock()
	defer b.mu.Unlock()
	r.offset += int64(n)
	if !b.closed && (b.file != nil || !b.retained) {
		b.trimRecent(len(b.readers) == 1) // else another may be looking at it
	}
	b.changed.Broadcast()
}

// Trailers are those of a body that has been read to its end.
func (r *Reader) Trailers() []byte {
	r.body.mu.Lock()
	defer r.body.mu.Unlock()
	return r.body.trailers
}

// Stop has Next return ErrStopped. It does not wait, also where the body is being written to a disk
// that is slow: whoever calls it may hold up everybody else.
func (r *Reader) Stop() {
	r.stopped.Store(true)
	if b := r.body; b.mu.TryLock() {
		b.changed.Broadcast()
		b.mu.Unlock()
	} else {
		go func() { // a reader that has looked and does not wait yet would miss it now
			b.mu.Lock()
			defer b.mu.Unlock()
			b.changed.Broadcast()
		}()
	}
}

// Close ends reading.
func (r *Reader) Close() {
	b := r.body
	b.mu.Lock()
	defer b.mu.Unlock()
	b.readers = slices.DeleteFunc(b.readers, func(x *Reader) bool { return x == r })
	if r.buf != nil {
		b.store.blocks.Put(r.buf)
		r.buf = nil
	}
	b.changed.Broadcast()
}
