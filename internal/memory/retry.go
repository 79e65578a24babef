package memory

import (
	"errors"
	"time"
)

// RetryTime is for how long Retry tries, and retryInterval the time between two tries.
const (
	RetryTime     = 60 * time.Millisecond
	retryInterval = 3 * time.Millisecond
)

// Retry calls f, and again for RetryTime as long as it returns ErrExhausted and stop does not return true, since others
// may release memory meanwhile. stop may be nil. It returns the last result of f.
func Retry(f func() error, stop func() bool) error {
	err := f()
	if !errors.Is(err, ErrExhausted) {
		return err
	}
	deadline := time.Now().Add(RetryTime)
	for errors.Is(err, ErrExhausted) && time.Now().Before(deadline) && (stop == nil || !stop()) {
		time.Sleep(retryInterval)
		err = f()
	}
	return err
}
