package router

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"sort"
	"testing"

	"github.com/cespare/xxhash/v2"
	"github.com/stretchr/testify/require"

	"shaletrestle/internal/state"
)

func TestRankOf_EqualsSortedOrder(t *testing.T) {
	r := rand.New(rand.NewPCG(2, 5))
	for range 300 {
		var ns []string
		for i := range r.IntN(60) {
			ns = append(ns, fmt.Sprintf("10.0.0.%d:7002", i))
		}
		id := fmt.Sprint("i-", r.Uint32())
		by := slices.Clone(ns)
		sort.Slice(by, func(i, j int) bool { return xxhash.Sum64String(id+by[i]) > xxhash.Sum64String(id+by[j]) })
		for _, n := range ns {
			require.Equal(t, slices.Index(by, n), rankOf(ns, id, n))
		}
		require.Equal(t, len(ns), rankOf(ns, id, "unknown"))
	}
}

func TestModelRevisions_NewestOfEachServiceAndModel(t *testing.T) {
	rs := map[string]*state.Replica{
		"a": {Pool: "p", Models: []state.Model{{Name: "m", Revision: 3}, {Name: "n", Revision: 1}}},
		"b": {Pool: "p", Models: []state.Model{{Name: "m", Revision: 5}}},
		"c": {Pool: "q", Models: []state.Model{{Name: "m", Revision: 9}}},
		"d": {Pool: "q"},
	}
	revisions := newModelRevisions(rs)
	require.Equal(t, &modelRevisions{{"p", "m"}: 5, {"p", "n"}: 1, {"q", "m"}: 9}, revisions)
	require.Zero(t, newModelRevisions(nil).of("p", "m"))
}
