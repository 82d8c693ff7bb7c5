package loadsum

import (
	"math"
	"sync"
	"time"
)

// report is the newest report of one source.
type report struct {
	piles []Load
	at    time.Time
}

// Sum adds up what several sources report. A source that has reported nothing
// for a while is left out.
type Sum struct {
	mu      sync.Mutex
	reports map[uint64]report // by source
}

// NewSum makes a sum without sources.
func NewSum() *Sum { return &Sum{reports: map[uint64]report{}} }

// Put replaces a source's report; an empty one removes the source.
func (s *Sum) Put(source uint64, piles []Load, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(piles) == 0 {
		delete(s.reports, source)
		return
	}
	s.reports[source] = report{piles: piles, at: now}
}

// Total gives the sum by replica; if there are many replicas, only the ones with
// most work.
func (s *Sum) Total(now time.Time) []Load {
	s.mu.Lock()
	defer s.mu.Unlock()
	position := map[uint32]int{} // in the total, by the replica's key
	var total []Load
	for source, report := range s.reports {
		if now.Sub(report.at) > deckStale {
			delete(s.reports, source)
			continue
		}
		for _, pile := range report.piles {
			i, seen := position[pile.Key]
			if !seen {
				position[pile.Key] = len(total)
				total = append(total, pile)
				continue
			}
			total[i].Tokens = saturatingAdd(total[i].Tokens, pile.Tokens)
		}
	}
	return heaviest(total, deckMost)
}

func saturatingAdd(a, b uint32) uint32 {
	return uint32(min(uint64(a)+uint64(b), math.MaxUint32))
}
