// Package countertest judges counters by what their callers saw: what was sent, what was acknowledged when and by whom, and
// which partitions and lost disks excuse a loss. It knows nothing of the members. Only tests and harnesses import it.
package countertest

import (
	"sync"
	"time"
)

// Bounds are the times that the promises name.
type Bounds struct {
	// Merge is how long after the end of the faults all members have all additions.
	Merge time.Duration
	// Detection is how long a member may take to see that a partition has ended.
	Detection time.Duration
}

// History is what callers know. It is safe for concurrent use. Times are those since the start of the run.
type History struct {
	bounds Bounds

	mu         sync.Mutex
	additions  []*Addition // guarded by mu, as are their fields and the following
	partitions []partition
	lostDisks  []lostDisk
	faultsEnd  time.Duration // of the newest fault
}

// Addition is what callers know of one id.
type Addition struct {
	Counter string
	ID      string
	Amount  uint64

	mayCount bool // some call on it may have been carried out
	acks     []Acknowledgement
}

// Acknowledgement is one of an addition.
type Acknowledgement struct {
	At          time.Duration
	Member      string
	Incarnation int
}

type partition struct{ from, to time.Duration }

type lostDisk struct {
	at     time.Duration
	member string
}

// NewHistory returns an empty history.
func NewHistory(bounds Bounds) *History { return &History{bounds: bounds} }

// Begin notes an id before the first call on it.
func (h *History) Begin(counter, id string, amount uint64) *Addition {
	h.mu.Lock()
	defer h.mu.Unlock()
	addition := &Addition{Counter: counter, ID: id, Amount: amount}
	h.additions = append(h.additions, addition)
	return addition
}

// Call notes a call on an id before it is sent: from now on a read may see it. If the answer says that nothing was done, the
// caller calls the function that is returned.
func (h *History) Call(addition *Addition) (rejected func()) {
	h.mu.Lock()
	defer h.mu.Unlock()
	before := addition.mayCount
	addition.mayCount = true
	return func() {
		h.mu.Lock()
		defer h.mu.Unlock()
		addition.mayCount = before || len(addition.acks) > 0
	}
}

// Acknowledge notes that a call was acknowledged.
func (h *History) Acknowledge(addition *Addition, ack Acknowledgement) {
	h.mu.Lock()
	defer h.mu.Unlock()
	addition.acks = append(addition.acks, ack)
}

// Partition notes a partition of members.
func (h *History) Partition(from, to time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.partitions = append(h.partitions, partition{from, to})
}

// LoseDisk notes that a member loses its disk.
func (h *History) LoseDisk(at time.Duration, member string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.lostDisks = append(h.lostDisks, lostDisk{at, member})
}

// FaultUntil notes that a fault ends then; the newest end counts.
func (h *History) FaultUntil(end time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.faultsEnd = max(h.faultsEnd, end)
}

// Additions are all ids, in the order of Begin. The list must not be changed.
func (h *History) Additions() []*Addition {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.additions
}

// Acknowledged is how many ids were acknowledged.
func (h *History) Acknowledged() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	count := 0
	for _, addition := range h.additions {
		if len(addition.acks) > 0 {
			count++
		}
	}
	return count
}

// Limits are the least and the most that a member may read of a counter at a time: at least what this incarnation of it
// acknowledged and what must be read everywhere by then, at most all that could have counted.
func (h *History) Limits(now time.Duration, counter, member string, incarnation int) (least, most uint64) {
	return h.limits(counter, func(ack Acknowledgement) bool {
		isOwn := ack.Member == member && ack.Incarnation == incarnation
		return isOwn || now >= max(ack.At, h.faultsEnd)+h.bounds.Merge && !h.isExcused(ack)
	})
}

// MergedLimits are the least and the most that a counter may read once everything is merged.
func (h *History) MergedLimits(counter string) (least, most uint64) {
	return h.limits(counter, func(ack Acknowledgement) bool { return !h.isExcused(ack) })
}

func (h *History) limits(counter string, isOwed func(Acknowledgement) bool) (least, most uint64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, addition := range h.additions {
		if addition.Counter != counter {
			continue
		}
		if addition.mayCount {
			most += addition.Amount
		}
		for _, ack := range addition.acks {
			if isOwed(ack) {
				least += addition.Amount
				break
			}
		}
	}
	return least, most
}

// isExcused reports whether an addition was acknowledged during a partition by a member that lost its disk before the
// merge. The caller holds mu.
func (h *History) isExcused(ack Acknowledgement) bool {
	for _, partition := range h.partitions {
		if ack.At < partition.from || ack.At > partition.to+h.bounds.Detection {
			continue
		}
		for _, lost := range h.lostDisks {
			if lost.member == ack.Member && lost.at >= ack.At && lost.at <= partition.to+h.bounds.Merge {
				return true
			}
		}
	}
	return false
}
