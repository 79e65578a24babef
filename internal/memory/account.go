// Package memory keeps one account of the memory that peers make the process hold: connections, data that
// callers send, copies that are forwarded, responses, lists. Whoever holds such memory reserves it first and
// releases it afterwards. The package does no I/O and does not allocate what it accounts for.
package memory

import (
	"errors"
	"fmt"
	"strings"
	"sync/atomic"
)

// Use is what memory is held for. The uses differ in how full the account may be when they reserve more, so that a
// request that has been accepted can be finished when no further data of requests is accepted.
type Use uint8

// The uses of memory.
const (
	RequestGrowth  Use = iota // a request's data beyond its first buffer
	RequestStart              // the first buffer of a request
	Forwarding                // copies of requests that are sent to endpoints
	ResponseGrowth            // a response's data beyond its first buffer
	ResponseStart             // the first buffer of a response
	Infrastructure            // connections, lists of endpoints, tables: only reserved by Reserve
	numUses
)

// useLimits are the shares of an account's limit that bound the reservations of a use: one succeeds while the whole
// account is filled up to maxTotal, and also while the use itself holds no more than guaranteed. The largest maxTotal
// and all guaranteed shares add up to no more than 1.
var useLimits = [numUses]struct{ maxTotal, guaranteed float64 }{
	RequestGrowth:  {maxTotal: 0.3},
	RequestStart:   {maxTotal: 0.5, guaranteed: 0.1},
	Forwarding:     {maxTotal: 0.6, guaranteed: 0.1},
	ResponseGrowth: {maxTotal: 0.65},
	ResponseStart:  {maxTotal: 0.7, guaranteed: 0.1},
}

// useNames are the names of the uses in logs.
var useNames = [numUses]string{"request growth", "request start", "forwarding", "response growth", "response start", "infrastructure"}

// String returns the use's name.
func (u Use) String() string { return useNames[u] }

// ErrExhausted reports that the account has no room for what an operation needs.
var ErrExhausted = errors.New("the memory limit leaves no room")

// Account is an account of memory. It is safe for concurrent use. A nil Account has no limit.
type Account struct {
	limit    int64
	total    atomic.Int64
	peak     atomic.Int64
	uses     [numUses]useAccount
	refusals chan struct{} // holds a value after a reservation was refused
}

// useAccount is the part of an Account that concerns one use.
type useAccount struct {
	maxTotal, guaranteed int64 // see useLimits, in bytes
	reserved, refused    atomic.Int64
}

// New returns an Account with a limit in bytes.
func New(limit int64) *Account {
	a := &Account{limit: limit, refusals: make(chan struct{}, 1)}
	for use := range a.uses {
		a.uses[use].maxTotal = int64(useLimits[use].maxTotal * float64(limit))
		a.uses[use].guaranteed = int64(useLimits[use].guaranteed * float64(limit))
	}
	return a
}

// TryReserve reserves bytes for a use and reports whether there was room. Release must follow a success.
func (a *Account) TryReserve(use Use, bytes int) bool {
	if a == nil || bytes == 0 {
		return true
	}
	u, n := &a.uses[use], int64(bytes)
	total, reserved := a.total.Add(n), u.reserved.Add(n)
	if total > u.maxTotal && reserved > u.guaranteed {
		a.Release(use, bytes)
		a.recordRefusal(u)
		return false
	}
	a.recordPeak(total)
	return true
}

// HasRoom reports whether TryReserve would succeed now. It is for memory that Reserve reserves a moment later.
func (a *Account) HasRoom(use Use, bytes int) bool {
	if a == nil {
		return true
	}
	u, n := &a.uses[use], int64(bytes)
	if a.total.Load()+n > u.maxTotal && u.reserved.Load()+n > u.guaranteed {
		a.recordRefusal(u)
		return false
	}
	return true
}

// recordRefusal counts a refused reservation and fills the channel of Refusals.
func (a *Account) recordRefusal(u *useAccount) {
	u.refused.Add(1)
	select {
	case a.refusals <- struct{}{}:
	default:
	}
}

// Refusals returns a channel that holds a value after a reservation was refused. A nil Account has none.
func (a *Account) Refusals() <-chan struct{} {
	if a == nil {
		return nil
	}
	return a.refusals
}

// Reserve reserves bytes for a use whether or not there is room. It is for memory whose amount is bounded by
// other means; the account then leaves less to the reservations that can be refused.
func (a *Account) Reserve(use Use, bytes int) {
	if a == nil || bytes == 0 {
		return
	}
	a.uses[use].reserved.Add(int64(bytes))
	a.recordPeak(a.total.Add(int64(bytes)))
}

// Release ends a reservation, or a part of one.
func (a *Account) Release(use Use, bytes int) {
	if a == nil || bytes == 0 {
		return
	}
	a.total.Add(-int64(bytes))
	a.uses[use].reserved.Add(-int64(bytes))
}

// recordPeak raises the peak to total.
func (a *Account) recordPeak(total int64) {
	for {
		peak := a.peak.Load()
		if total <= peak || a.peak.CompareAndSwap(peak, total) {
			return
		}
	}
}

// Stats are the counts of an Account.
type Stats struct {
	Limit, Reserved, Peak int64          // in bytes; the peak since the start
	ByUse                 [numUses]int64 // bytes reserved for each use
	Refusals              [numUses]int64 // reservations that were refused since the start
}

// Stats returns the current counts. Those of a nil Account are zero.
func (a *Account) Stats() Stats {
	if a == nil {
		return Stats{}
	}
	s := Stats{Limit: a.limit, Reserved: a.total.Load(), Peak: a.peak.Load()}
	for use := range a.uses {
		s.ByUse[use], s.Refusals[use] = a.uses[use].reserved.Load(), a.uses[use].refused.Load()
	}
	return s
}

// String returns the bytes reserved for each use, for logs.
func (s Stats) String() string {
	var b strings.Builder
	for use, bytes := range s.ByUse {
		fmt.Fprintf(&b, "%s %d, ", Use(use), bytes)
	}
	return fmt.Sprintf("%s%d of %d bytes, at most %d", &b, s.Reserved, s.Limit, s.Peak)
}

// RefusalsString returns the number of refused reservations for each use, for logs.
func (s Stats) RefusalsString() string {
	var texts []string
	for use, n := range s.Refusals {
		if n > 0 {
			texts = append(texts, fmt.Sprintf("%s %d", Use(use), n))
		}
	}
	return strings.Join(texts, ", ")
}
