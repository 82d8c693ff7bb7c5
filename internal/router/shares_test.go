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

func TestColdSharesAreThoseOfTheFirstNodesByRendezvous(t *testing.T) {
	for _, n := range []int{0, 1, 2, 3, 12, 88} {
		var nodes []string
		for i := range n {
			nodes = append(nodes, fmt.Sprintf("10.0.0.%d:700", i))
		}
		for id := range 40 {
			rep := fmt.Sprintf("i-%d", id)
			order := append([]string{}, nodes...)
			sort.Slice(order, func(i, j int) bool { return xxhash.Sum64String(rep+order[i]) > xxhash.Sum64String(rep+order[j]) })
			k := min(coldStartNodes, n)
			sum := 0.0
			for i, self := range order {
				c := newColdStartShares(nodes, self)
				want := 0.0
				if i < k {
					want = 20 * coldStartMargin / float64(k)
				}
				require.InDelta(t, want, c.rate(20, rep), 1e-9)
				require.InDelta(t, want, c.rate(20, rep), 1e-9, "as kept")
				sum += want
			}
			require.LessOrEqual(t, sum, 20*coldStartMargin+1e-9)
			if n > 0 {
				require.Zero(t, newColdStartShares(nodes, "stranger").rate(20, rep))
			} else {
				require.Equal(t, 20*coldStartMargin/defaultFleetSize, newColdStartShares(nil, "me").rate(20, rep))
			}
		}
	}
}

func TestWeightsAreTheNewestThatAServiceServes(t *testing.T) {
	w := newModelRevisions(map[string]*state.Replica{
		"a": {ID: "a", Pool: "p", Models: []state.Model{{Name: "m", Revision: 3}, {Name: "n", Revision: 1}}},
		"b": {ID: "b", Pool: "p", Models: []state.Model{{Name: "m", Revision: 5}}},
		"c": {ID: "c", Pool: "q", Models: []state.Model{{Name: "m", Revision: 9}}},
	})
	require.Equal(t, int64(5), w.of("p", "m"))
	require.Equal(t, int64(1), w.of("p", "n"))
	require.Equal(t, int64(9), w.of("q", "m"))
	require.Zero(t, w.of("q", "n"))
	require.Zero(t, newModelRevisions(nil).of("p", "m"))
}

func TestSharesAndWeightsFollowTheView(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	e := &settings.Settings{NodeName: "n", IP: "10.0.0.1", Ports: []int{700, 710}, Seeds: []string{"10.0.0.1:83"}, Placement: placement.Defaults()}
	e.Limits.MemoryMB = 100
	g := New(ctx, slog.New(slog.DiscardHandler), Options{Settings: e, Net: rpc.TCP{}, Dialer: upstream.TCP{}})
	require.Equal(t, 20*coldStartMargin/defaultFleetSize, g.coldShares.Load().rate(20, "r"))
	self := e.Port(routerPort)
	fold := func(e state.Event) { require.NoError(t, g.store.Update(state.EncodeEvent(e))) }
	fold(state.UpdateFleet{Size: 2, Nodes: []string{self, "10.0.0.2:702"}})
	require.Equal(t, 20*coldStartMargin/2, g.coldShares.Load().rate(20, "r"))
	fold(state.UpdateReplicas{Changed: []*state.Replica{{ID: "r", Pool: "p", State: "ready", Models: []state.Model{{Name: "m", Revision: 4}}}}})
	require.Equal(t, int64(4), g.revisions.Load().of("p", "m"))
	require.True(t, g.placer.Allowed("r"))
	require.Equal(t, 20*coldStartMargin/2, g.coldShares.Load().rate(20, "r"), "a list leaves the shares")
	fold(state.UpdateFleet{Size: 1, Nodes: []string{"10.0.0.2:702"}})
	require.Zero(t, g.coldShares.Load().rate(20, "r"))
	require.True(t, g.placer.Allowed("r"), "a change of the fleet leaves the replicas")
	fold(state.EvacuateZone{Zone: ""})
	require.False(t, g.placer.Allowed("r"))
	o := *e
	o.IP, o.Placement.PrefillLoadScale = "10.0.0.2", 7
	g.Reload(&o)
	require.Equal(t, 20*coldStartMargin, g.coldShares.Load().rate(20, "r"))
}
