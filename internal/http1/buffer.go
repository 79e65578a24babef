package http1

import (
	"cmp"
	"slices"
	"sync"
)

// Buffer holds bytes that have been read and not yet used.
type Buffer struct {
	data     []byte
	consumed int // those before it have been used
}

// Bytes are the bytes that have not been used. They hold until the next Room or Reset.
func (b *Buffer) Bytes() []byte { return b.data[b.consumed:] }

// Len is how many bytes have not been used.
func (b *Buffer) Len() int { return len(b.data) - b.consumed }

// Consume marks bytes as used.
func (b *Buffer) Consume(n int) {
	if b.consumed += n; b.consumed == len(b.data) {
		b.data, b.consumed = b.data[:0], 0
	}
}

// Reserve returns space to read into behind the bytes that are there, of least bytes at the
// least. It moves or copies those if it must.
func (b *Buffer) Reserve(least int) []byte {
	if cap(b.data)-len(b.data) < least && b.consumed > 0 {
		n := copy(b.data, b.data[b.consumed:])
		b.data, b.consumed = b.data[:n], 0
	}
	if cap(b.data)-len(b.data) < least {
		more := make([]byte, len(b.data), max(2*cap(b.data), len(b.data)+least))
		copy(more, b.data)
		b.data = more
	}
	return b.data[len(b.data):cap(b.data)]
}

// Commit takes bytes that were read into Room.
func (b *Buffer) Commit(n int) { b.data = b.data[:len(b.data)+n] }

// ResetWith has f append to an empty buffer.
func (b *Buffer) ResetWith(f func(b []byte) []byte) {
	b.Reset()
	b.data = f(b.data)
}

// Replace puts text in the place of n unused bytes, the first of which is at an offset.
func (b *Buffer) Replace(at, n int, text []byte) {
	b.data = slices.Replace(b.data, b.consumed+at, b.consumed+at+n, text...)
}

// Reset drops all bytes.
func (b *Buffer) Reset() { b.data, b.consumed = b.data[:0], 0 }

// The sizes of pooled buffers: one holds a short message whole, and one that has grown beyond
// the most is left to the collector.
const (
	defaultBufferBytes = 4 << 10
	maxPooledBytes     = 64 << 10
)

// BufferPool is a pool of buffers. The zero value is ready.
type BufferPool struct {
	InitialSize int // of a new one, 0 for what holds a short message

	pool sync.Pool
}

// Get returns an empty buffer.
func (p *BufferPool) Get() *Buffer {
	if b, ok := p.pool.Get().(*Buffer); ok {
		return b
	}
	return &Buffer{data: make([]byte, 0, cmp.Or(p.InitialSize, defaultBufferBytes))}
}

// Put takes a buffer back that nobody points into any more.
func (p *BufferPool) Put(b *Buffer) {
	if cap(b.data) <= maxPooledBytes {
		b.Reset()
		p.pool.Put(b)
	}
}
