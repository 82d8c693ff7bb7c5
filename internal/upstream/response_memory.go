package upstream

import (
	"sync"

	"shaletrestle/coord/fairshare"
)

// memoryStepBytes is the step in which an exchange takes memory, so that an ordinary one takes it once.
const memoryStepBytes = 4 << 10

// ResponseMemory bounds the memory that bytes of replicas take until they are passed on: heads, bodies, events and their
// remainders. It is taken as bytes come, not as they are announced. When it is scarce, each replica has its fair share, so that
// those that send much leave room for the others. It is safe for concurrent use; nil bounds nothing.
type ResponseMemory struct {
	shares *fairshare.Shares // in bytes, by replica
}

// NewResponseMemory returns memory of so many bytes.
func NewResponseMemory(capacity int64) *ResponseMemory {
	return &ResponseMemory{shares: fairshare.New(capacity, fairshare.CalmFraction)}
}

// Used is how many bytes are taken.
func (m *ResponseMemory) Used() int64 { return m.shares.Used() }

// ReplicaShares lists the replicas whose bytes are held or were refused, those with most bytes first.
func (m *ResponseMemory) ReplicaShares() []fairshare.UserShare { return m.shares.UserShares() }

// account is what one exchange has taken of the memory. It is safe for concurrent use.
type account struct {
	memory  *ResponseMemory
	replica string

	mu    sync.Mutex // guards the fields below
	used  int64      // by the exchange
	taken int64      // from the memory: used, rounded up to whole steps
	ended bool
}

// take takes so many bytes more. It never waits: the error is errOverShare if the replica has its share, errNoMemory if there
// is no room although it has not, and errAbandoned once the exchange has ended.
func (a *account) take(bytes int64) error {
	if a.memory == nil {
		return nil
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.ended {
		return errAbandoned
	}
	missing := a.used + bytes - a.taken
	if missing > 0 {
		step := (missing + memoryStepBytes - 1) / memoryStepBytes * memoryStepBytes
		if !a.memory.shares.TryAcquire(a.replica, step) {
			return a.refusal(step)
		}
		a.taken += step
	}
	a.used += bytes
	return nil
}

// refusal says whose the shortage is.
func (a *account) refusal(bytes int64) error {
	if a.memory.shares.ExceedsShare(a.replica, bytes) {
		return errOverShare
	}
	return errNoMemory
}

// give gives back some of the bytes taken. One step stays with the exchange until it ends.
func (a *account) give(bytes int64) {
	if a.memory == nil {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.ended {
		return
	}
	a.used -= bytes
	spare := a.taken - max(a.used, memoryStepBytes)
	if spare >= memoryStepBytes {
		spare -= spare % memoryStepBytes
		a.taken -= spare
		a.memory.shares.Release(a.replica, spare)
	}
}

// end gives back all that the exchange has. It may be called more than once.
func (a *account) end() {
	if a.memory == nil {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.ended = true
	if a.taken > 0 {
		a.memory.shares.Release(a.replica, a.taken)
		a.taken = 0
	}
}
