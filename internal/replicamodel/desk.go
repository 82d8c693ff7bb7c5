package replicamodel

import (
	"sort"

	"shaletrestle/internal/clock"
)

// Desk is the model of a replica without an engine: slots, a queue served in order, and a time of work for each request.
type Desk struct {
	slots, queue int
	ends         []clock.Span // of what is not finished, earliest first
}

// NewDesk makes an idle one.
func NewDesk(slots, queue int) *Desk { return &Desk{slots: slots, queue: queue} }

// Offer takes a request at a moment and tells when it will be finished; false if the replica is full.
func (d *Desk) Offer(now, work clock.Span) (end clock.Span, ok bool) {
	n := d.Outstanding(now)
	if n >= d.slots+d.queue {
		return 0, false
	}
	start := now
	if n >= d.slots {
		start = d.ends[n-d.slots]
	}
	end = start + work
	at := sort.Search(n, func(i int) bool { return d.ends[i] > end })
	d.ends = append(d.ends, 0)
	copy(d.ends[at+1:], d.ends[at:])
	d.ends[at] = end
	return end, true
}

// Outstanding is the number of requests that run or wait.
func (d *Desk) Outstanding(now clock.Span) int {
	i := sort.Search(len(d.ends), func(i int) bool { return d.ends[i] > now })
	d.ends = append(d.ends[:0], d.ends[i:]...)
	return len(d.ends)
}

// Load tells how busy it is.
func (d *Desk) Load(now clock.Span) Load {
	n := d.Outstanding(now)
	return Load{Active: min(n, d.slots), Queued: max(0, n-d.slots)}
}
