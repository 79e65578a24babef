package http1

import (
	"cmp"
	"slices"
	"sync"
)

// Buffer holds bytes that have been read and not yet consumed. It is not safe for concurrent use.
type Buffer struct {
	data     []byte
	consumed int // the length of the part of data that has been consumed
}

// Bytes returns the bytes that have not been consumed. They are valid until the next call of Reserve,
// ResetWith, Replace or Reset.
func (b *Buffer) Bytes() []byte { return b.data[b.consumed:] }

// Len returns how many bytes have not been consumed.
func (b *Buffer) Len() int { return len(b.data) - b.consumed }

// Consume marks the next n bytes as consumed.
func (b *Buffer) Consume(n int) {
	if b.consumed += n; b.consumed == len(b.data) {
		b.data, b.consumed = b.data[:0], 0
	}
}

// Reserve returns space behind the buffered bytes to read into, of at least minBytes bytes. It moves or
// copies the buffered bytes if it must. Commit adds those that were read to the buffer.
func (b *Buffer) Reserve(minBytes int) []byte {
	if cap(b.data)-len(b.data) < minBytes && b.consumed > 0 {
		n := copy(b.data, b.data[b.consumed:])
		b.data, b.consumed = b.data[:n], 0
	}
	if cap(b.data)-len(b.data) < minBytes {
		grown := make([]byte, len(b.data), max(2*cap(b.data), len(b.data)+minBytes))
		copy(grown, b.data)
		b.data = grown
	}
	return b.data[len(b.data):cap(b.data)]
}

// Commit adds the first n bytes of the space that Reserve returned to the buffer.
func (b *Buffer) Commit(n int) { b.data = b.data[:len(b.data)+n] }

// ResetWith drops all bytes and fills the buffer with what appendTo appends to an empty slice.
func (b *Buffer) ResetWith(appendTo func(b []byte) []byte) {
	b.Reset()
	b.data = appendTo(b.data)
}

// Replace replaces n bytes from offset on with text. The offset counts from the first byte that has not
// been consumed.
func (b *Buffer) Replace(offset, n int, text []byte) {
	b.data = slices.Replace(b.data, b.consumed+offset, b.consumed+offset+n, text...)
}

// Reset drops all bytes.
func (b *Buffer) Reset() { b.data, b.consumed = b.data[:0], 0 }

// Sizes of pooled buffers. A new buffer holds a complete short message; a buffer that has grown beyond
// the maximum is left to the garbage collector.
const (
	defaultBufferBytes = 4 << 10
	maxPooledBytes     = 64 << 10
)

// BufferPool is a pool of buffers. The zero value is ready to use. It is safe for concurrent use.
type BufferPool struct {
	InitialSize int // capacity of a new buffer in bytes; 0 for one that holds a short message

	pool sync.Pool
}

// Get returns an empty buffer.
func (p *BufferPool) Get() *Buffer {
	if b, ok := p.pool.Get().(*Buffer); ok {
		return b
	}
	return &Buffer{data: make([]byte, 0, cmp.Or(p.InitialSize, defaultBufferBytes))}
}

// Put returns a buffer to the pool. The caller must not use the buffer or its bytes afterwards.
func (p *BufferPool) Put(b *Buffer) {
	if cap(b.data) <= maxPooledBytes {
		b.Reset()
		p.pool.Put(b)
	}
}
