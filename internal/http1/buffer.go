package http1

import (
	"cmp"
	"slices"
	"sync"

	"barleydrum.example/barleydrum/internal/memory"
)

// Buffer holds bytes that have been read and not yet consumed. It is not safe for concurrent use. The memory of a
// buffer from a pool is reserved in the pool's account until the buffer is returned.
type Buffer struct {
	data     []byte
	consumed int // the length of the part of data that has been consumed
	wantLen  int // the length up to which the buffer is expected to grow; 0 if unknown

	pool          *BufferPool // nil for a buffer without an account
	reservedFirst int         // bytes reserved for the pool's FirstUse
	reservedMore  int         // bytes reserved for the pool's GrowthUse
}

// Bytes returns the bytes that have not been consumed. They are valid until the next call of Reserve,
// TryReserve, ResetWith, Replace or Reset.
func (b *Buffer) Bytes() []byte { return b.data[b.consumed:] }

// Len returns how many bytes have not been consumed.
func (b *Buffer) Len() int { return len(b.data) - b.consumed }

// Consume marks the next n bytes as consumed.
func (b *Buffer) Consume(n int) {
	if b.consumed += n; b.consumed == len(b.data) {
		b.data, b.consumed = b.data[:0], 0
	}
}

// ExpectLen states up to which length the buffer will grow. Until Reset it does not grow much beyond that.
func (b *Buffer) ExpectLen(n int) { b.wantLen = n }

// Reserve returns space behind the buffered bytes to read into, of at least minBytes bytes. It moves or
// copies the buffered bytes if it must. Commit adds those that were read to the buffer. It is for memory that is
// bounded by other means: it grows the buffer even if the account of its pool has no room.
func (b *Buffer) Reserve(minBytes int) []byte {
	if size := b.grownSize(minBytes); size > 0 {
		b.reserveMore(size - cap(b.data))
		b.grow(size)
	}
	return b.data[len(b.data):cap(b.data)]
}

// TryReserve is Reserve for memory that a peer determines: it returns false if the buffer must grow and the
// account of its pool has no room.
func (b *Buffer) TryReserve(minBytes int) (space []byte, ok bool) {
	if size := b.grownSize(minBytes); size > 0 {
		if p := b.pool; p != nil && !p.Account.TryReserve(p.GrowthUse, size-cap(b.data)) {
			return nil, false
		} else if p != nil {
			b.reservedMore += size - cap(b.data)
		}
		b.grow(size)
	}
	return b.data[len(b.data):cap(b.data)], true
}

// grownSize makes space by moving the bytes, and returns the capacity that the buffer needs for minBytes more
// bytes, 0 if it has that already.
func (b *Buffer) grownSize(minBytes int) int {
	if cap(b.data)-len(b.data) < minBytes && b.consumed > 0 {
		n := copy(b.data, b.data[b.consumed:])
		b.data, b.consumed = b.data[:n], 0
	}
	if cap(b.data)-len(b.data) >= minBytes {
		return 0
	}
	size, needed := 2*cap(b.data), len(b.data)+minBytes
	if b.wantLen > 0 {
		size = min(size, b.wantLen)
	}
	return max(size, needed)
}

// grow moves the bytes to new memory with the given capacity.
func (b *Buffer) grow(size int) {
	grown := make([]byte, len(b.data), size)
	copy(grown, b.data)
	b.data = grown
}

// reserveMore records that the buffer's capacity changes by n bytes.
func (b *Buffer) reserveMore(n int) {
	if b.pool != nil && n > 0 {
		b.pool.Account.Reserve(b.pool.GrowthUse, n)
		b.reservedMore += n
	}
}

// Commit adds the first n bytes of the space that Reserve returned to the buffer.
func (b *Buffer) Commit(n int) { b.data = b.data[:len(b.data)+n] }

// ResetWith drops all bytes and fills the buffer with what appendTo appends to an empty slice.
func (b *Buffer) ResetWith(appendTo func(b []byte) []byte) {
	b.Reset()
	before := cap(b.data)
	b.data = appendTo(b.data)
	b.reserveMore(cap(b.data) - before)
}

// Replace replaces n bytes from offset on with text. The offset counts from the first byte that has not
// been consumed.
func (b *Buffer) Replace(offset, n int, text []byte) {
	before := cap(b.data)
	b.data = slices.Replace(b.data, b.consumed+offset, b.consumed+offset+n, text...)
	b.reserveMore(cap(b.data) - before)
}

// Reset drops all bytes.
func (b *Buffer) Reset() { b.data, b.consumed, b.wantLen = b.data[:0], 0, 0 }

// Sizes of pooled buffers. A new buffer holds a complete short message; a buffer that has grown beyond
// the maximum is left to the garbage collector.
const (
	defaultBufferBytes = 4 << 10
	maxPooledBytes     = 8 << 10
)

// BufferPool is a pool of buffers. The zero value is ready to use. It is safe for concurrent use.
type BufferPool struct {
	InitialSize int // capacity of a new buffer in bytes; 0 for one that holds a short message

	Account   *memory.Account // of the buffers that are in use; nil for none
	FirstUse  memory.Use      // for which a buffer is reserved as it is taken
	GrowthUse memory.Use      // for which further memory of a buffer is reserved

	pool sync.Pool
}

// Get returns an empty buffer. It is for buffers whose number is bounded by other means: the account may be full.
func (p *BufferPool) Get() *Buffer {
	b := p.take()
	p.Account.Reserve(p.FirstUse, b.reservedFirst)
	return b
}

// TryGet returns an empty buffer, nil if the account has no room for it.
func (p *BufferPool) TryGet() *Buffer {
	b := p.take()
	if p.Account.TryReserve(p.FirstUse, b.reservedFirst) {
		return b
	}
	b.reservedFirst = 0
	p.Put(b)
	return nil
}

// take returns an empty buffer that is not reserved yet.
func (p *BufferPool) take() *Buffer {
	b, ok := p.pool.Get().(*Buffer)
	if !ok {
		b = &Buffer{data: make([]byte, 0, cmp.Or(p.InitialSize, defaultBufferBytes))}
	}
	b.pool, b.reservedFirst = p, cap(b.data)
	return b
}

// Put returns a buffer to the pool. The caller must not use the buffer or its bytes afterwards.
func (p *BufferPool) Put(b *Buffer) {
	if b.pool != nil {
		b.pool.Account.Release(b.pool.FirstUse, b.reservedFirst)
		b.pool.Account.Release(b.pool.GrowthUse, b.reservedMore)
	}
	b.reservedFirst, b.reservedMore = 0, 0
	if cap(b.data) <= max(maxPooledBytes, p.InitialSize) {
		b.Reset()
		p.pool.Put(b)
	}
}
