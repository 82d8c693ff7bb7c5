package replicamodel

import (
	"slices"
	"sort"
	"time"
)

// Queue is the model of a replica without an engine: slots, a queue served in
// order, and a given time of work for each request. It is not safe for concurrent use.
type Queue struct {
	slots   int
	waiting int             // requests that may wait beyond the slots
	ends    []time.Duration // of the requests that are not finished, earliest first
}

// NewQueue returns an idle replica with so many slots, and room for so many waiting requests beyond them.
func NewQueue(slots, waiting int) *Queue { return &Queue{slots: slots, waiting: waiting} }

// Offer takes a request at a time and returns when it will be finished; false if
// the replica is full.
func (q *Queue) Offer(now, work time.Duration) (end time.Duration, ok bool) {
	outstanding := q.Outstanding(now)
	if outstanding >= q.slots+q.waiting {
		return 0, false
	}
	start := now
	if outstanding >= q.slots {
		start = q.ends[outstanding-q.slots]
	}
	end = start + work
	position := sort.Search(outstanding, func(i int) bool { return q.ends[i] > end })
	q.ends = slices.Insert(q.ends, position, end)
	return end, true
}

// Outstanding is the number of requests that run or wait.
func (q *Queue) Outstanding(now time.Duration) int {
	finished := sort.Search(len(q.ends), func(i int) bool { return q.ends[i] > now })
	q.ends = slices.Delete(q.ends, 0, finished)
	return len(q.ends)
}

// Load reports how busy the replica is.
func (q *Queue) Load(now time.Duration) Load {
	outstanding := q.Outstanding(now)
	return Load{
		Active: min(outstanding, q.slots),
		Queued: max(0, outstanding-q.slots),
	}
}
