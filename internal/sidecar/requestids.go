package sidecar

import (
	"hash/maphash"
	"sync"
	"time"

	"barleydrum.example/barleydrum/internal/memory"
)

// For how long the ID of a request that may have run is remembered after its caller has left, and of how many requests.
const (
	abandonedIDRetention = time.Minute
	maxAbandonedIDs      = 8192
	bytesPerAbandonedID  = 96 // in the map and the queue
)

// requestIDs holds the X-Request-IDs that must not be accepted: those of open requests, and those of requests that may
// have run but whose callers left before their response. The effect of such a request would occur twice if it were
// accepted again. It is safe for concurrent use.
type requestIDs struct {
	account *memory.Account
	seed    maphash.Seed

	mu        sync.Mutex
	open      map[string]struct{}
	abandoned map[uint64]time.Time // until when an ID is remembered, by its hash
	queue     []abandonedID        // a ring of the abandoned IDs in the order in which they were added
	oldest    int                  // index of the oldest in queue
}

// abandonedID is an element of the queue of abandoned IDs.
type abandonedID struct {
	hash  uint64
	until time.Time
}

// newRequestIDs returns requestIDs without IDs. What they hold is reserved in account.
func newRequestIDs(account *memory.Account) *requestIDs {
	return &requestIDs{account: account, seed: maphash.MakeSeed(), open: make(map[string]struct{}), abandoned: make(map[uint64]time.Time)}
}

// register adds the ID of a request that is being served. It returns false if the ID must not be accepted.
func (r *requestIDs) register(id string, now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if _, ok := r.open[id]; ok {
		return false
	}
	if len(r.abandoned) > 0 && now.Before(r.abandoned[maphash.String(r.seed, id)]) {
		return false
	}
	r.open[id] = struct{}{}
	return true
}

// unregister removes the ID of a request that has been served. If it was abandoned, the ID is remembered.
func (r *requestIDs) unregister(id string, abandoned bool, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.open, id)
	if abandoned {
		r.remember(abandonedID{maphash.String(r.seed, id), now.Add(abandonedIDRetention)})
	}
}

// remember adds an abandoned ID in place of the oldest, if there are maxAbandonedIDs. The caller must hold r.mu.
func (r *requestIDs) remember(id abandonedID) {
	if len(r.queue) < maxAbandonedIDs {
		r.account.Reserve(memory.Infrastructure, bytesPerAbandonedID)
		r.queue = append(r.queue, id)
	} else {
		replaced := r.queue[r.oldest]
		if r.abandoned[replaced.hash].Equal(replaced.until) { // it was not added again since
			delete(r.abandoned, replaced.hash)
		}
		r.queue[r.oldest] = id
		r.oldest = (r.oldest + 1) % maxAbandonedIDs
	}
	r.abandoned[id.hash] = id.until
}
