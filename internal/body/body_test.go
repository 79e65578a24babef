package body

import (
	"bytes"
	"crypto/sha256"
	"errors"
	"io"
	"math/rand/v2"
	"os"
	"sync"
	"syscall"
	"testing"

	"pgregory.net/rapid"
)

// faultyFile is a file that fails as it is told to.
type faultyFile struct {
	data             []byte
	writeErr         error // of writes, once room is used up
	capacity         int
	silentShortWrite bool // a write that does not fit comes up short without an error
	readErr          error
	closed           bool
	openFiles        *int
}

func (d *faultyFile) WriteAt(p []byte, off int64) (int, error) {
	n := min(len(p), max(d.capacity-int(off), 0))
	d.data = append(d.data[:off], p[:n]...)
	if n < len(p) && !d.silentShortWrite {
		return n, d.writeErr
	}
	return n, nil
}

func (d *faultyFile) ReadAt(p []byte, off int64) (int, error) {
	if d.readErr != nil {
		return 0, d.readErr
	}
	return copy(p, d.data[off:]), nil
}

func (d *faultyFile) Close() error {
	if !d.closed {
		d.closed = true
		*d.openFiles--
	}
	return nil
}

func randomBytes(n int) []byte {
	p := make([]byte, n)
	rand.NewChaCha8([32]byte{byte(n), byte(n >> 8)}).Read(p)
	return p
}

// writeBody writes all of a body, as fast as it is taken.
func writeBody(b *Body, p []byte) error {
	for len(p) > 0 {
		room, err := b.Reserve(len(p))
		if err != nil {
			return err
		}
		n := copy(room, p)
		if err := b.Commit(n); err != nil {
			return err
		}
		p = p[n:]
	}
	b.Complete([]byte("A: b\r\n"))
	return nil
}

func readBody(r *Reader) ([]byte, error) {
	var out []byte
	for {
		p, err := r.Next()
		if err == io.EOF {
			return out, nil
		}
		if err != nil {
			return out, err
		}
		out = append(out, p...)
		r.Advance(len(p))
	}
}

// A body that goes through memory and a file comes out of each as it went in, again and again,
// and leaves nothing: no file, no name in the folder.
func TestReadersReadRetainedBodyRepeatedly(t *testing.T) {
	dir := t.TempDir()
	s := NewStore(dir)
	want := randomBytes(300_000)
	b := s.New(Limits{WindowBytes: BlockSize, MemoryBytes: 4 * BlockSize, TotalMemoryBytes: 1 << 20, FileBytes: 1 << 20, TotalFileBytes: 1 << 20}, func() { t.Error("lost") })
	r, err := b.Reader()
	if err != nil {
		t.Fatal(err)
	}
	var wg sync.WaitGroup
	wg.Add(1)
	go func() {
		defer wg.Done()
		if err := writeBody(b, want); err != nil {
			t.Error(err)
		}
	}()
	first, err := readBody(r)
	wg.Wait()
	if err != nil || sha256.Sum256(first) != sha256.Sum256(want) || string(r.Trailers()) != "A: b\r\n" {
		t.Errorf("first: %v, %d bytes, %q", err, len(first), r.Trailers())
	}
	r.Close()
	if got := s.Stats(); got != (Stats{OpenBodies: 1, MemoryBytes: 3 * BlockSize, OpenFiles: 1, FileBytes: 300_000 - 4*BlockSize}) {
		t.Errorf("%+v", got)
	}
	names, err := os.ReadDir(dir)
	if err != nil || len(names) > 0 {
		t.Errorf("%v %v: a crash now would leave them behind", names, err)
	}
	var again [2]*Reader // a hedge beside a retry
	for i := range again {
		if again[i], err = b.Reader(); err != nil {
			t.Fatal(err)
		}
	}
	for _, r := range again {
		if got, err := readBody(r); err != nil || !bytes.Equal(got, want) {
			t.Errorf("again: %v, %d bytes", err, len(got))
		}
	}
	if b.State() != Retained {
		t.Errorf("state %d", b.State())
	}
	b.Close()
	if got := s.Stats(); got != (Stats{}) {
		t.Errorf("left: %+v", got)
	}
}

// The disk fails in every way while a body is kept there: the attempt that is out gets the
// whole of it all the same, no other is let begin, and the file goes at once.
func TestWriteFailureMakesBodyUnavailable(t *testing.T) {
	for name, d := range map[string]faultyFile{
		"ENOSPC": {writeErr: syscall.ENOSPC, capacity: 50_000}, "EDQUOT": {writeErr: syscall.EDQUOT, capacity: 50_000},
		"short": {silentShortWrite: true, capacity: 50_001}, "at once": {writeErr: syscall.EIO}, "no file": {capacity: -1},
	} {
		open := 0
		s := NewStoreWithFileOpener(func() (File, error) {
			if d.capacity < 0 {
				return nil, syscall.EMFILE
			}
			open++
			f := d
			f.openFiles = &open
			return &f, nil
		})
		lost := 0
		b := s.New(Limits{WindowBytes: BlockSize, FileBytes: 1 << 20, TotalFileBytes: 1 << 20}, func() { lost++ })
		r, err := b.Reader()
		if err != nil {
			t.Fatal(err)
		}
		want := randomBytes(200_000)
		go writeBody(b, want)
		got, err := readBody(r)
		if err != nil || !bytes.Equal(got, want) {
			t.Errorf("%s: %v, %d bytes", name, err, len(got))
		}
		if _, err := b.Reader(); err != ErrDiscarded || b.State() != Unavailable {
			t.Errorf("%s: another may begin: %v", name, err)
		}
		if s := s.Stats(); lost != 1 || open != 0 || s.OpenFiles != 0 || s.FileBytes != 0 || s.DiscardedBodies != 1 || s.FileErrors != 1 {
			t.Errorf("%s: told %d times, %d files open, %+v", name, lost, open, s)
		}
		b.Close()
	}
}

// A file that can't be read again fails its reader, and the body is not kept any more.
func TestReadFailureMakesBodyUnavailable(t *testing.T) {
	d := &faultyFile{capacity: 1 << 20, openFiles: new(int)}
	s := NewStoreWithFileOpener(func() (File, error) { return d, nil })
	lost := 0
	b := s.New(Limits{WindowBytes: BlockSize, FileBytes: 1 << 20, TotalFileBytes: 1 << 20}, func() { lost++ })
	r, _ := b.Reader()
	go writeBody(b, randomBytes(100_000))
	if _, err := readBody(r); err != nil {
		t.Fatal(err)
	}
	r.Close()
	d.readErr = syscall.EIO
	again, err := b.Reader()
	if err != nil {
		t.Fatal(err)
	}
	for range 2 {
		if _, err := readBody(again); !errors.Is(err, syscall.EIO) || b.State() != Unavailable || lost != 1 {
			t.Errorf("%v, state %d, told %d times", err, b.State(), lost)
		}
	}
	b.Close()
}

// Whoever waits for the other side is woken as the body ends.
func TestEndOfBodyWakesWaiters(t *testing.T) {
	s := NewStore(t.TempDir())
	for name, end := range map[string]func(b *Body, r *Reader){
		"close": func(b *Body, _ *Reader) { b.Close() },
		"break": func(b *Body, _ *Reader) { b.Fail(io.ErrUnexpectedEOF); b.Close() },
		"stop":  func(b *Body, r *Reader) { r.Stop(); b.Close() },
	} {
		b := s.New(Limits{WindowBytes: BlockSize}, nil)
		r, _ := b.Reader()
		var wg sync.WaitGroup
		wg.Add(1)
		go func() {
			defer wg.Done()
			if p, err := r.Next(); err == nil {
				t.Errorf("%s: the reader got %d bytes", name, len(p))
			}
		}()
		end(b, r)
		wg.Wait()

		b = s.New(Limits{WindowBytes: BlockSize}, nil)
		wg.Add(2)
		go func() {
			defer wg.Done()
			if err := writeBody(b, randomBytes(5*BlockSize)); err != ErrClosed {
				t.Errorf("%s: the writer got %v", name, err)
			}
		}()
		go func() {
			defer wg.Done()
			if b.WaitForReader() {
				t.Errorf("%s: wanted by nobody", name)
			}
		}()
		b.Close()
		wg.Wait()
	}
	if got := s.Stats(); got != (Stats{}) {
		t.Errorf("left: %+v", got)
	}
}

// blockingFile is a file on a disk that takes its time.
type blockingFile struct {
	File
	writeStarted, unblock chan struct{}
	once                  *sync.Once
}

func (s blockingFile) WriteAt(p []byte, off int64) (int, error) {
	s.once.Do(func() { close(s.writeStarted) })
	<-s.unblock
	return len(p), nil
}

// A disk that hangs holds up nobody but its own body's readers: one is stopped all the same by
// whoever must not wait, and is told once the disk is back.
func TestReaderStopDoesNotWaitForFileWrite(t *testing.T) {
	d := blockingFile{&faultyFile{openFiles: new(int)}, make(chan struct{}), make(chan struct{}), new(sync.Once)}
	s := NewStoreWithFileOpener(func() (File, error) { return d, nil })
	b := s.New(Limits{WindowBytes: BlockSize, FileBytes: BlockSize, TotalFileBytes: BlockSize}, nil)
	r, _ := b.Reader()
	go writeBody(b, randomBytes(3*BlockSize))
	go func() {
		for p, err := r.Next(); err == nil; p, err = r.Next() {
			r.Advance(len(p))
		}
	}()
	<-d.writeStarted
	r.Stop() // would never return if it waited: the test times out
	close(d.unblock)
	if _, err := r.Next(); err != ErrStopped {
		t.Errorf("%v", err)
	}
	b.Close()
}

// What all together keep stays within its bound: who comes too late is not kept, and passes on
// all the same.
func TestTotalLimitsHold(t *testing.T) {
	s := NewStore(t.TempDir())
	l := Limits{WindowBytes: BlockSize, MemoryBytes: 8 * BlockSize, TotalMemoryBytes: 4 * BlockSize, FileBytes: 8 * BlockSize, TotalFileBytes: 4 * BlockSize}
	var open []*Body
	states := map[State]int{}
	for range 10 {
		b := s.New(l, nil)
		r, _ := b.Reader()
		want := randomBytes(7 * BlockSize)
		go writeBody(b, want)
		if got, err := readBody(r); err != nil || !bytes.Equal(got, want) {
			t.Fatal(err)
		}
		states[b.State()]++
		if got := s.Stats(); got.MemoryBytes > l.TotalMemoryBytes || got.FileBytes > l.TotalFileBytes {
			t.Fatalf("%+v", got)
		}
		open = append(open, b)
	}
	if states[Retained] != 1 || states[Unavailable] != 9 {
		t.Errorf("%v", states)
	}
	for _, b := range open {
		b.Close()
	}
	if got := s.Stats(); got != (Stats{DiscardedBodies: 9}) {
		t.Errorf("left: %+v", got)
	}
}

// A random life of bodies against a plain model: each reader reads what was written, in order,
// or is told that it can't; a reader is let begin only while all is kept; nothing is left.
func TestBodiesMatchModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		open := 0
		s := NewStoreWithFileOpener(func() (File, error) {
			if rapid.IntRange(0, 5).Draw(t, "open") == 0 {
				return nil, syscall.EMFILE
			}
			open++
			return &faultyFile{openFiles: &open, writeErr: syscall.ENOSPC, capacity: rapid.IntRange(0, 8*BlockSize).Draw(t, "room"),
				silentShortWrite: rapid.Bool().Draw(t, "short")}, nil
		})
		l := Limits{
			WindowBytes: rapid.IntRange(1, 3*BlockSize).Draw(t, "window"), MemoryBytes: rapid.Int64Range(0, 6*BlockSize).Draw(t, "memory"),
			FileBytes: rapid.Int64Range(0, 6*BlockSize).Draw(t, "file"), TotalMemoryBytes: rapid.Int64Range(0, 8*BlockSize).Draw(t, "memory all"),
			TotalFileBytes: rapid.Int64Range(0, 8*BlockSize).Draw(t, "files all"),
		}
		type one struct {
			b       *Body
			written []byte
			whole   bool
			readers []*Reader
			lost    int
		}
		type pair struct {
			o *one
			r *Reader
		}
		var all []*one
		pick := func(t *rapid.T) *one {
			if len(all) == 0 {
				t.Skip("none")
			}
			return rapid.SampledFrom(all).Draw(t, "body")
		}
		reader := func(t *rapid.T) pair {
			o := pick(t)
			if len(o.readers) == 0 {
				t.Skip("no reader")
			}
			return pair{o, rapid.SampledFrom(o.readers).Draw(t, "reader")}
		}
		t.Repeat(map[string]func(*rapid.T){
			"open": func(t *rapid.T) {
				o := new(one)
				o.b = s.New(l, func() { o.lost++ })
				all = append(all, o)
			},
			"write": func(t *rapid.T) {
				o := pick(t)
				ahead := int64(0)
				for _, r := range o.readers {
					ahead = max(ahead, r.offset)
				}
				if o.whole || int64(len(o.written))-ahead >= int64(l.WindowBytes) {
					t.Skip("it would wait")
				}
				room, err := o.b.Reserve(rapid.IntRange(1, 2*BlockSize).Draw(t, "most"))
				if err != nil {
					t.Skip("broken")
				}
				n := copy(room, randomBytes(len(room)))
				o.written = append(o.written, room[:n]...)
				o.b.Commit(n)
			},
			"finish": func(t *rapid.T) {
				o := pick(t)
				o.whole = true
				o.b.Complete(nil)
			},
			"begin": func(t *rapid.T) {
				o := pick(t)
				state := o.b.State()
				r, err := o.b.Reader()
				if (err == nil) != (state != Unavailable) {
					t.Fatalf("state %d, yet %v", state, err)
				}
				if err == nil {
					o.readers = append(o.readers, r)
				}
			},
			"read": func(t *rapid.T) {
				p := reader(t)
				if p.r.offset == int64(len(p.o.written)) && !p.o.whole {
					t.Skip("it would wait")
				}
				got, err := p.r.Next()
				if err != nil {
					if len(got) > 0 || err == io.EOF && p.r.offset != int64(len(p.o.written)) {
						t.Fatalf("%v at %d of %d", err, p.r.offset, len(p.o.written))
					}
					return
				}
				n := rapid.IntRange(0, len(got)).Draw(t, "n")
				if !bytes.Equal(got, p.o.written[p.r.offset:][:len(got)]) {
					t.Fatalf("at %d of %d something else", p.r.offset, len(p.o.written))
				}
				p.r.Advance(n)
			},
			"end": func(t *rapid.T) {
				p := reader(t)
				p.r.Close()
				for i, r := range p.o.readers {
					if r == p.r {
						p.o.readers = append(p.o.readers[:i:i], p.o.readers[i+1:]...)
						break
					}
				}
			},
			"forgo": func(t *rapid.T) { pick(t).b.StopRetaining() },
			"close": func(t *rapid.T) {
				o := pick(t)
				o.b.Close()
				for i := range all {
					if all[i] == o {
						all = append(all[:i:i], all[i+1:]...)
						break
					}
				}
			},
			"": func(t *rapid.T) {
				got := s.Stats()
				if got.OpenBodies != len(all) || got.MemoryBytes > l.TotalMemoryBytes || got.FileBytes > l.TotalFileBytes || got.OpenFiles != open || got.MemoryBytes < 0 || got.FileBytes < 0 {
					t.Fatalf("%+v, %d files open", got, open)
				}
				for _, o := range all {
					if o.lost > 1 {
						t.Fatalf("told %d times", o.lost)
					}
					if held := int64(len(o.b.memory.blocks)+len(o.b.recent.blocks)) * BlockSize; held > l.MaxBufferBytes()+o.b.countedMemoryBytes {
						t.Fatalf("%d bytes held, %d bound", held, l.MaxBufferBytes()+o.b.countedMemoryBytes)
					}
				}
			},
		})
		for _, o := range all {
			o.b.Close()
		}
		if got := s.Stats(); got.OpenBodies+got.OpenFiles+int(got.MemoryBytes+got.FileBytes)+open != 0 {
			t.Fatalf("left: %+v, %d files open", got, open)
		}
	})
}
