package counter_test

import (
	"fmt"
	"time"

	"shaletrestle/coord/counter"
)

const (
	// mergeBound is the time after the end of the faults within which all members have all additions.
	mergeBound = 3 * time.Second
	// detectionSlack is how long a machine may take to see that a partition has ended.
	detectionSlack = 500 * time.Millisecond
)

// judge knows what callers sent and were answered, and when partitions began and ended; nothing of the cores.
type judge struct {
	ids        map[string]*judgedID
	order      []string // the ids as they were made
	partitions []interval
	faultsEnd  time.Duration // of the newest fault
	wiped      map[int][]time.Duration
	violations []string
}

type interval struct{ from, to time.Duration }

// judgedID is what callers know of one id.
type judgedID struct {
	counter  string
	amount   uint64
	mayCount bool // some call on it was not rejected
	acks     []acknowledgement
}

type acknowledgement struct {
	at          time.Duration
	machine     int
	incarnation int
}

func newJudge() *judge { return &judge{ids: map[string]*judgedID{}, wiped: map[int][]time.Duration{}} }

func (j *judge) violate(format string, args ...any) {
	j.violations = append(j.violations, fmt.Sprintf(format, args...))
}

// called notes an addition before it is sent.
func (j *judge) called(addition counter.Addition) *judgedID {
	id := j.ids[addition.ID]
	if id == nil {
		id = &judgedID{counter: addition.Counter, amount: addition.Amount}
		j.ids[addition.ID] = id
		j.order = append(j.order, addition.ID)
	}
	return id
}

// bounds are the least and the most that a counter may read.
func (j *judge) bounds(counter string, owed func(acknowledgement) bool) (least, most uint64) {
	for _, id := range j.ids {
		if id.counter != counter {
			continue
		}
		if id.mayCount {
			most += id.amount
		}
		for _, ack := range id.acks {
			if owed(ack) {
				least += id.amount
				break
			}
		}
	}
	return least, most
}

// read judges what a machine reads.
func (j *judge) read(now time.Duration, m *machine, counter string, total uint64) {
	least, most := j.bounds(counter, func(ack acknowledgement) bool {
		return ack.machine == m.index && ack.incarnation == m.incarnation || j.isOwed(now, ack)
	})
	if total > most {
		j.violate("TWICE: %v: machine %d reads %d of %s, at most %d could have counted", now, m.index, total, counter, most)
	}
	if total < least {
		j.violate("STALE: %v: machine %d reads %d of %s, %d are owed", now, m.index, total, counter, least)
	}
}

// isOwed reports whether an acknowledged addition must be read everywhere: time for the merge has passed without faults,
// and it was not acknowledged during a partition by a machine that lost its disk before the merge.
func (j *judge) isOwed(now time.Duration, ack acknowledgement) bool {
	if now < max(ack.at, j.faultsEnd)+mergeBound {
		return false
	}
	for _, partition := range j.partitions {
		if ack.at < partition.from || ack.at > partition.to+detectionSlack {
			continue
		}
		for _, at := range j.wiped[ack.machine] {
			if at >= ack.at && at <= partition.to+mergeBound {
				return false
			}
		}
	}
	return true
}
