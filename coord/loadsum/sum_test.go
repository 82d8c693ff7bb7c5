package loadsum

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestDecode_EncodedLoads_AreEqual(t *testing.T) {
	loads := []Load{{1, 2}, {Key("i-1"), 1 << 31}}
	require.Equal(t, loads, Decode(Encode(loads)))
	require.Equal(t, loads[:1], Decode(Encode(loads)[:loadBytes+3]), "an incomplete load is left out")
	require.Empty(t, Decode(nil))
}

func TestSumTotal_RandomReports_SumsTheNewest(t *testing.T) {
	r := rand.New(rand.NewPCG(5, 6))
	now := time.Unix(0, 0)
	s := NewSum()
	last, at := map[uint64]map[uint32]Load{}, map[uint64]time.Time{}
	for range 2000 {
		now = now.Add(time.Duration(r.IntN(100)) * time.Millisecond)
		src := r.Uint64N(12)
		loads := map[uint32]Load{}
		var list []Load
		for range r.IntN(4) {
			p := Load{r.Uint32N(9), r.Uint32N(5000)}
			if _, ok := loads[p.Key]; !ok {
				loads[p.Key] = p
				list = append(list, p)
			}
		}
		s.Put(src, list, now)
		last[src], at[src] = loads, now
		want := map[uint32]Load{}
		for src, loads := range last {
			if now.Sub(at[src]) > staleAfter {
				continue
			}
			for k, p := range loads {
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

func TestSumTotal_TooManyLoads_HeaviestRemain(t *testing.T) {
	now := time.Unix(0, 0)
	s := NewSum()
	for i := range uint32(3 * maxTotalLoads) {
		s.Put(uint64(i), []Load{{i, i}}, now)
	}
	loads := s.Total(now)
	require.Len(t, loads, maxTotalLoads)
	for _, p := range loads {
		require.GreaterOrEqual(t, p.Tokens, uint32(2*maxTotalLoads))
	}
	s.Put(7, []Load{{7, 1 << 31}}, now)
	s.Put(8, []Load{{7, 1 << 31}}, now)
	require.Equal(t, Load{7, 1<<32 - 1}, s.Total(now)[0], "a sum beyond the range stays at the largest value")
}
