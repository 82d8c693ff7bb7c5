package router

import (
	"context"
	"fmt"
	"log/slog"
	"sort"
	"testing"

	"github.com/cespare/xxhash/v2"
	"github.com/stretchr/testify/require"

	"shaletrestle/coord/rpc"
	"shaletrestle/internal/placement"
	"shaletrestle/internal/settings"
	"shaletrestle/internal/state"
	"shaletrestle/internal/upstream"
)

func TestWarmupShares_Rate_OnlyFirstNodesByRendezvous(t *testing.T) {
	for _, n := range []int{0, 1, 2, 3, 12, 88} {
		var nodes []string
		for i := range n {
			nodes = append(nodes, fmt.Sprintf("10.0.0.%d:700", i))
		}
		for id := range 40 {
			rep := fmt.Sprintf("i-%d", id)
			order := append([]string{}, nodes...)
			sort.Slice(order, func(i, j int) bool { return xxhash.Sum64String(rep+order[i]) > xxhash.Sum64String(rep+order[j]) })
			k := min(warmupNodes, n)
			sum := 0.0
			for i, self := range order {
				c := newWarmupShares(nodes, self)
				want := 0.0
				if i < k {
					want = 20 * warmupMargin / float64(k)
				}
				require.InDelta(t, want, c.rate(20, rep), 1e-9)
				require.InDelta(t, want, c.rate(20, rep), 1e-9, "as kept")
				sum += want
			}
			require.LessOrEqual(t, sum, 20*warmupMargin+1e-9)
			if n > 0 {
				require.Zero(t, newWarmupShares(nodes, "stranger").rate(20, rep))
			} else {
				require.Equal(t, 20*warmupMargin/defaultFleetSize, newWarmupShares(nil, "me").rate(20, rep))
			}
		}
	}
}

func TestModelRevisions_NewestThatServiceServes(t *testing.T) {
	revisions := newModelRevisions(map[string]*state.Replica{
		"a": {ID: "a", Pool: "p", Models: []state.Model{{Name: "m", Revision: 3}, {Name: "n", Revision: 1}}},
		"b": {ID: "b", Pool: "p", Models: []state.Model{{Name: "m", Revision: 5}}},
		"c": {ID: "c", Pool: "q", Models: []state.Model{{Name: "m", Revision: 9}}},
	})
	require.Equal(t, int64(5), revisions.of("p", "m"))
	require.Equal(t, int64(1), revisions.of("p", "n"))
	require.Equal(t, int64(9), revisions.of("q", "m"))
	require.Zero(t, revisions.of("q", "n"))
	require.Zero(t, newModelRevisions(nil).of("p", "m"))
}

func TestRouter_ViewChanges_SharesAndRevisionsFollow(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	e := &settings.Settings{NodeName: "n", IP: "10.0.0.1", Ports: []int{700, 710}, Seeds: []string{"10.0.0.1:83"}, Placement: placement.Defaults()}
	e.Limits.MemoryMB = 100
	router := New(ctx, slog.New(slog.DiscardHandler), Options{Settings: e, Net: rpc.TCP{}, Dialer: upstream.TCP{}})
	require.Equal(t, 20*warmupMargin/defaultFleetSize, router.warmupShares.Load().rate(20, "r"))
	self := e.Port(settings.RouterPortOffset)
	apply := func(e state.Event) { require.NoError(t, router.store.Update(state.EncodeEvent(e))) }
	apply(state.UpdateFleet{Size: 2, Nodes: []string{self, "10.0.0.2:702"}})
	require.Equal(t, 20*warmupMargin/2, router.warmupShares.Load().rate(20, "r"))
	apply(state.UpdateReplicas{Changed: []*state.Replica{{ID: "r", Pool: "p", State: "ready", Models: []state.Model{{Name: "m", Revision: 4}}}}})
	require.Equal(t, int64(4), router.revisions.Load().of("p", "m"))
	require.True(t, router.placer.Allowed("r"))
	require.Equal(t, 20*warmupMargin/2, router.warmupShares.Load().rate(20, "r"), "a new list of replicas does not change the shares")
	apply(state.UpdateFleet{Size: 1, Nodes: []string{"10.0.0.2:702"}})
	require.Zero(t, router.warmupShares.Load().rate(20, "r"))
	require.True(t, router.placer.Allowed("r"), "a change of the fleet does not change the replicas")
	apply(state.EvacuateZone{Zone: ""})
	require.False(t, router.placer.Allowed("r"))
	o := *e
	o.IP, o.Placement.PrefillLoadScale = "10.0.0.2", 7
	router.Reload(&o)
	require.Equal(t, 20*warmupMargin, router.warmupShares.Load().rate(20, "r"))
}
