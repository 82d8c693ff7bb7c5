package loadsum

import (
	"math"
	"sync"
	"time"
)

// report is the newest report of one source.
type report struct {
	loads []Load
	at    time.Time
}

// Sum adds up what several sources report. A source that has reported nothing for 0.8 s is left out. It is safe for
// concurrent use.
type Sum struct {
	mu      sync.Mutex
	reports map[uint64]report // by source; guarded by mu
}

// NewSum returns a sum without sources.
func NewSum() *Sum { return &Sum{reports: map[uint64]report{}} }

// Put replaces a source's report, which must not be changed any more; an empty one removes the source. A replica should
// stand in a report once.
func (s *Sum) Put(source uint64, loads []Load, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(loads) == 0 {
		delete(s.reports, source)
		return
	}
	s.reports[source] = report{loads: loads, at: now}
}

// Total returns the sum by replica, in no order; if there are more than 96 replicas, only the ones with most work, the
// heaviest first. A sum of tokens beyond the range of its type stays at the largest
// value.
func (s *Sum) Total(now time.Time) []Load {
	s.mu.Lock()
	defer s.mu.Unlock()
	position := map[uint32]int{} // in the total, by the replica's key
	var total []Load
	for source, report := range s.reports {
		if now.Sub(report.at) > staleAfter {
			delete(s.reports, source)
			continue
		}
		for _, load := range report.loads {
			i, seen := position[load.Key]
			if !seen {
				position[load.Key] = len(total)
				total = append(total, load)
				continue
			}
			total[i].Tokens = saturatingAdd(total[i].Tokens, load.Tokens)
		}
	}
	return heaviest(total, maxTotalLoads)
}

func saturatingAdd(a, b uint32) uint32 {
	return uint32(min(uint64(a)+uint64(b), math.MaxUint32))
}
