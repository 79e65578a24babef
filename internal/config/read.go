package config

import (
	"errors"
	"fmt"
	"io"
	"io/fs"
	"os"
	"time"
)

// The most bytes of a file: a platform's lists some ten thousand endpoints at most.
const (
	MaxPlatformBytes = 16 << 20
	MaxSettingsBytes = 256 << 10
)

// A file that is written in place as it is read may be torn: it is read again, so often and
// after so long.
const (
	maxReadRetries = 5
	readRetryDelay = 20 * time.Millisecond
)

// ErrFileTooLarge says that a file holds more than is taken.
var ErrFileTooLarge = errors.New("too long")

// ErrModifiedDuringRead says that a file did not stay as it was for as long as it took to read it.
var ErrModifiedDuringRead = errors.New("changed each time it was read: replace it by a rename")

// ReadFile reads a regular file of at most so many bytes whole, as it was at one moment.
func ReadFile(path string, most int64) ([]byte, error) {
	for try := 0; ; try++ {
		text, whole, err := readOnce(path, most)
		if err != nil || whole {
			return text, err
		}
		if try == maxReadRetries {
			return nil, fmt.Errorf("%s: %w", path, ErrModifiedDuringRead)
		}
		time.Sleep(readRetryDelay)
	}
}

// readOnce reads a file and tells whether it stayed the same meanwhile. A file that was
// replaced by a rename is read as it was.
func readOnce(path string, most int64) (text []byte, whole bool, err error) {
	// Opening a named pipe would wait for who writes to it.
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
	text, whole, err = readAndCompare(f, most)
	if err != nil {
		err = fmt.Errorf("%s: %w", path, err)
	}
	return text, whole, err
}

func readAndCompare(f fs.File, most int64) (text []byte, whole bool, err error) {
	before, err := f.Stat()
	if err != nil {
		return nil, false, err
	}
	text, err = io.ReadAll(io.LimitReader(f, most+1))
	if err != nil {
		return nil, false, err
	}
	if int64(len(text)) > most {
		return nil, false, fmt.Errorf("%w: over %d bytes", ErrFileTooLarge, most)
	}
	after, err := f.Stat()
	if err != nil {
		return nil, false, err
	}
	whole = before.Size() == after.Size() && before.ModTime().Equal(after.ModTime()) && int64(len(text)) == after.Size()
	return text, whole, nil
}
