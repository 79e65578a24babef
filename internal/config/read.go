package config

import (
	"errors"
	"fmt"
	"io"
	"io/fs"
	"os"
	"time"
)

// The longest files, in bytes. A platform's configuration lists some ten thousand endpoints at most.
const (
	MaxPlatformBytes = 16 << 20
	MaxSettingsBytes = 256 << 10
)

// A file that is modified while it is read may be inconsistent, so it is read again.
const (
	maxReadRetries = 5
	readRetryDelay = 20 * time.Millisecond
)

// ErrFileTooLarge reports that a file is longer than allowed.
var ErrFileTooLarge = errors.New("too long")

// ErrModifiedDuringRead reports that a file was modified during every attempt to read it.
var ErrModifiedDuringRead = errors.New("changed each time it was read: replace it by a rename")

// ReadFile returns the contents of a regular file of at most maxBytes bytes. If the file is modified
// while it is read, it is read again, up to maxReadRetries times; then the error is
// ErrModifiedDuringRead. The error for a longer file is ErrFileTooLarge. Both are wrapped.
func ReadFile(path string, maxBytes int64) ([]byte, error) {
	for retries := 0; ; retries++ {
		text, unmodified, err := readOnce(path, maxBytes)
		if err != nil || unmodified {
			return text, err
		}
		if retries == maxReadRetries {
			return nil, fmt.Errorf("%s: %w", path, ErrModifiedDuringRead)
		}
		time.Sleep(readRetryDelay)
	}
}

// readOnce reads a file and reports whether it was unmodified meanwhile. If the file is replaced by
// a rename meanwhile, readOnce returns the old contents.
func readOnce(path string, maxBytes int64) (text []byte, unmodified bool, err error) {
	// Opening a named pipe would block until another process opens it for writing.
	if info, err := os.Stat(path); err != nil {
		return nil, false, err
	} else if !info.Mode().IsRegular() {
		return nil, false, fmt.Errorf("%s: not a regular file", path)
	}
	f, err := os.Open(path)
	if err != nil {
		return nil, false, err
	}
	defer f.Close()
	text, unmodified, err = readAndCompare(f, maxBytes)
	if err != nil {
		err = fmt.Errorf("%s: %w", path, err)
	}
	return text, unmodified, err
}

// readAndCompare reads an open file, and reports whether its size and modification time were the same
// before and after, and its size that of the text.
func readAndCompare(f fs.File, maxBytes int64) (text []byte, unmodified bool, err error) {
	before, err := f.Stat()
	if err != nil {
		return nil, false, err
	}
	text, err = io.ReadAll(io.LimitReader(f, maxBytes+1))
	if err != nil {
		return nil, false, err
	}
	if int64(len(text)) > maxBytes {
		return nil, false, fmt.Errorf("%w: over %d bytes", ErrFileTooLarge, maxBytes)
	}
	after, err := f.Stat()
	if err != nil {
		return nil, false, err
	}
	unmodified = before.Size() == after.Size() && before.ModTime().Equal(after.ModTime()) && int64(len(text)) == after.Size()
	return text, unmodified, nil
}
