package state

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"
)

// replayLog gives a snapshot of a configuration with a number of routes, and entries that each change one of them.
func replayLog(t testing.TB, routes, changes int) (snapshot []byte, entries [][]byte) {
	t.Helper()
	route := func(i int) string {
		return fmt.Sprintf(`{"name":"route-%d","hostname":"host-%d.example","path_prefix":"/path/","route_type":"idempotent","timeout_ms":1500,"target_latency_ms":300,"backend_pool":"desk","max_attempts":2}`, i, i)
	}
	var list []string
	for i := range routes {
		list = append(list, route(i))
	}
	store := NewStore(Options{History: true})
	body := `{"revision":1,"route_table":[` + strings.Join(list, ",") + `],"backend_pools":[{"name":"desk","max_connections":130}]}`
	require.NoError(t, store.Update(EncodeEvent(NewPutConfig(0, []byte(body)))))
	for i := range changes {
		change := fmt.Sprintf(`{"revision":%d,"upsert":{"route_table":[%s]}}`, i+2, route(routes+i%9))
		entries = append(entries, EncodeEvent(NewPatchConfig(int64(i+1), []byte(change))))
	}
	return store.Snapshot(), entries
}

// BenchmarkStore_Replay is the time from a stored state to the newest view.
func BenchmarkStore_Replay(b *testing.B) {
	for _, routes := range []int{500, 3500, 13300} {
		for _, changes := range []int{0, 50, 250, 750} {
			snapshot, entries := replayLog(b, routes, changes)
			b.Run(fmt.Sprintf("%d routes, %d changes", routes, changes), func(b *testing.B) {
				for b.Loop() {
					store := NewStore(Options{History: true})
					require.NoError(b, store.Restore(snapshot))
					store.ApplyAll(entries)
					require.Equal(b, int64(changes+1), store.View().Config.Revision)
				}
			})
		}
	}
}

// randomEntry is an entry for a view: mostly one that was accepted, else one that changes nothing.
func randomEntry(random *rand.Rand, view *View) []byte {
	route := func() string {
		return fmt.Sprintf(`{"name":"route-%d","hostname":"host-%d.example","path_prefix":"/p/","timeout_ms":%d,"backend_pool":"desk"}`,
			random.IntN(30), random.IntN(1000000), 1+random.IntN(5))
	}
	base, next := view.Config.Revision, view.Config.Revision+1+random.Int64N(3)
	body := fmt.Sprintf(`{"revision":%d,"upsert":{"route_table":[%s],"limits":{"max_header_bytes":%d}},"remove":{"route_table":["route-%d"]}}`,
		next, route(), 1+random.IntN(9), random.IntN(30))
	switch random.IntN(10) {
	case 0:
		return EncodeEvent(EvacuateZone{Zone: fmt.Sprint("zone-", random.IntN(3))})
	case 1:
		return EncodeEvent(ReadmitZone{Zone: fmt.Sprint("zone-", random.IntN(3))})
	case 2:
		return EncodeEvent(NewPatchConfig(base+1, []byte(body))) // on another revision
	case 3:
		return []byte("no event")
	case 4:
		return EncodeEvent(NewPatchConfig(base, []byte(fmt.Sprintf(`{"revision":%d}`, base)))) // not above
	case 5:
		return EncodeEvent(NewPatchConfig(base, []byte(fmt.Sprintf(`{"revision":%d,"upsert":{"limits":7}}`, next)))) // can't be read
	case 6:
		whole := fmt.Sprintf(`{"revision":%d,"route_table":[%s],"backend_pools":[{"name":"desk"}]}`, next, route())
		return EncodeEvent(NewPutConfig(base, []byte(whole)))
	}
	return EncodeEvent(NewPatchConfig(base, []byte(body)))
}

// TestStore_ApplyAll_SameStateAsApplyOfEach guards against a replay that comes to another state than the changes did.
func TestStore_ApplyAll_SameStateAsApplyOfEach(t *testing.T) {
	for seed := range uint64(50) {
		random := rand.New(rand.NewPCG(seed, 3))
		snapshot, _ := replayLog(t, 10, 0)
		oneByOne, atOnce := NewStore(Options{History: true}), NewStore(Options{History: true})
		require.NoError(t, oneByOne.Restore(snapshot))
		require.NoError(t, atOnce.Restore(snapshot))
		notified := 0
		atOnce.OnChange(func(_, _ *View, event Event) {
			require.Nil(t, event)
			notified++
		})
		for range 4 {
			var entries [][]byte
			for range random.IntN(40) {
				entry := randomEntry(random, oneByOne.View())
				entries = append(entries, entry)
				oneByOne.Apply(entry)
			}
			before := atOnce.View()
			document := before.Config.JSON()
			atOnce.ApplyAll(entries)
			require.Equal(t, string(document), string(before.Config.JSON()), "the view before is not touched")
			want, got := oneByOne.View(), atOnce.View()
			require.Equal(t, string(want.Config.JSON()), string(got.Config.JSON()), "seed %d", seed)
			require.True(t, proto.Equal(want.Config.Parsed, got.Config.Parsed))
			require.Equal(t, want.Evacuated, got.Evacuated)
			require.Equal(t, want.History, got.History)
		}
		require.Equal(t, 4, notified)
	}
}
