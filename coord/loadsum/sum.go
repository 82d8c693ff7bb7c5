package loadsum

import (
	"math"
	"sync"

	"shaletrestle/internal/clock"
	"shaletrestle/internal/constants"
)

type told struct {
	piles []Pile
	at    clock.Moment
}

// Sum adds up what several sources tell. A source that has said nothing for a while counts no more.
type Sum struct {
	mu sync.Mutex
	by map[uint64]told
}

// NewSum makes a sum of nothing.
func NewSum() *Sum { return &Sum{by: map[uint64]told{}} }

// Put takes a source's newest word in place of its last.
func (s *Sum) Put(source uint64, ps []Pile, now clock.Moment) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(ps) == 0 {
		delete(s.by, source)
		return
	}
	s.by[source] = told{ps, now}
}

// Total gives the sum by replica, the heaviest piles only where there are many.
func (s *Sum) Total(now clock.Moment) []Pile {
	s.mu.Lock()
	defer s.mu.Unlock()
	at := map[uint32]int{}
	var out []Pile
	for src, t := range s.by {
		if now.Sub(t.at) > constants.DeckStale {
			delete(s.by, src)
			continue
		}
		for _, p := range t.piles {
			i, ok := at[p.Key]
			if !ok {
				at[p.Key] = len(out)
				out = append(out, p)
				continue
			}
			out[i].Tokens = uint32(min(uint64(out[i].Tokens)+uint64(p.Tokens), math.MaxUint32))
		}
	}
	return Heaviest(out, constants.DeckMost)
}
