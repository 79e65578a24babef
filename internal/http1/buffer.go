package http1

import (
	"cmp"
	"slices"
	"sync"
)

// Buffer holds bytes that have been read and not yet used.
type Buffer struct {
	b []byte
	r int // those before it have been used
}

// Bytes are the bytes that have not been used. They hold until the next Room or Reset.
func (b *Buffer) Bytes() []byte { return b.b[b.r:] }

// Len is how many bytes have not been used.
func (b *Buffer) Len() int { return len(b.b) - b.r }

// Consume marks bytes as used.
func (b *Buffer) Consume(n int) {
	if b.r += n; b.r == len(b.b) {
		b.b, b.r = b.b[:0], 0
	}
}

// Reserve returns space to read into behind the bytes that are there, of least bytes at the
// least. It moves or copies those if it must.
func (b *Buffer) Reserve(least int) []byte {
	if cap(b.b)-len(b.b) < least && b.r > 0 {
		n := copy(b.b, b.b[b.r:])
		b.b, b.r = b.b[:n], 0
	}
	if cap(b.b)-len(b.b) < least {
		more := make([]byte, len(b.b), max(2*cap(b.b), len(b.b)+least))
		copy(more, b.b)
		b.b = more
	}
	return b.b[len(b.b):cap(b.b)]
}

// Commit takes bytes that were read into Room.
func (b *Buffer) Commit(n int) { b.b = b.b[:len(b.b)+n] }

// ResetWith has f append to an empty buffer.
func (b *Buffer) ResetWith(f func(b []byte) []byte) {
	b.Reset()
	b.b = f(b.b)
}

// Replace puts text in the place of n unused bytes, the first of which is at an offset.
func (b *Buffer) Replace(at, n int, text []byte) {
	b.b = slices.Replace(b.b, b.r+at, b.r+at+n, text...)
}

// Reset drops all bytes.
func (b *Buffer) Reset() { b.b, b.r = b.b[:0], 0 }

// The sizes of pooled buffers: one holds a short message whole, and one that has grown beyond
// the most is left to the collector.
const (
	bufferSize = 4 << 10
	mostKept   = 64 << 10
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
	return &Buffer{b: make([]byte, 0, cmp.Or(p.InitialSize, bufferSize))}
}

// Put takes a buffer back that nobody points into any more.
func (p *BufferPool) Put(b *Buffer) {
	if cap(b.b) <= mostKept {
		b.Reset()
		p.pool.Put(b)
	}
}
