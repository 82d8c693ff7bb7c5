package loadsum

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestPilesComeBackFromTheirBytes(t *testing.T) {
	ps := []Load{{1, 2}, {Key("i-1"), 1 << 31}}
	require.Equal(t, ps, Decode(Encode(ps)))
	require.Equal(t, ps[:1], Decode(Encode(ps)[:pileBytes+3]), "half a pile is none")
	require.Empty(t, Decode(nil))
}

func TestTheSumIsThatOfTheNewestReports(t *testing.T) {
	r := rand.New(rand.NewPCG(5, 6))
	now := time.Unix(0, 0)
	s := NewSum()
	last, at := map[uint64]map[uint32]Load{}, map[uint64]time.Time{}
	for range 2000 {
		now = now.Add(time.Duration(r.IntN(100)) * time.Millisecond)
		src := r.Uint64N(12)
		ps := map[uint32]Load{}
		var list []Load
		for range r.IntN(4) {
			p := Load{r.Uint32N(9), r.Uint32N(5000)}
			if _, ok := ps[p.Key]; !ok {
				ps[p.Key] = p
				list = append(list, p)
			}
		}
		s.Put(src, list, now)
		last[src], at[src] = ps, now
		want := map[uint32]Load{}
		for src, ps := range last {
			if now.Sub(at[src]) > deckStale {
				continue
			}
			for k, p := range ps {
				w := want[k]
				want[k] = Load{k, w.Tokens + p.Tokens}
			}
		}
		got := map[uint32]Load{}
		for _, p := range s.Total(now) {
			got[p.Key] = p
		}
		require.Equal(t, want, got)
	}
}

func TestOfManyPilesTheHeaviestAreTold(t *testing.T) {
	now := time.Unix(0, 0)
	s := NewSum()
	for i := range uint32(3 * deckMost) {
		s.Put(uint64(i), []Load{{i, i}}, now)
	}
	ps := s.Total(now)
	require.Len(t, ps, deckMost)
	for _, p := range ps {
		require.GreaterOrEqual(t, p.Tokens, uint32(2*deckMost))
	}
	s.Put(7, []Load{{7, 1 << 31}}, now)
	s.Put(8, []Load{{7, 1 << 31}}, now)
	require.Equal(t, Load{7, 1<<32 - 1}, s.Total(now)[0], "a sum that is too large stays at the most")
}
