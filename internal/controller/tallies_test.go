package controller

import (
	"bytes"
	"context"
	"errors"
	"log/slog"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"shaletrestle/coord/counter"
	"shaletrestle/coord/rpc"
	"shaletrestle/internal/errkind"
	"shaletrestle/internal/settings"
)

// memoryCounters is a CounterStore in memory.
type memoryCounters struct {
	stored counter.Stored
	fail   error
}

func (m *memoryCounters) Load() counter.Stored { return m.stored }

func (m *memoryCounters) Rewrite(all []counter.Run, complete bool) error {
	if m.fail != nil {
		return m.fail
	}
	m.stored = counter.Stored{Runs: all, Complete: complete}
	return nil
}

func (m *memoryCounters) Append(runs []counter.Run, complete bool) error {
	if m.fail != nil {
		return m.fail
	}
	m.stored.Runs = append(m.stored.Runs, runs...)
	m.stored.Complete = m.stored.Complete || complete
	return nil
}

// newTestTallies runs the tallies of a controller that is alone and tolerates no loss.
func newTestTallies(ctx context.Context, log *slog.Logger, store CounterStore) *tallies {
	env := &settings.Settings{Limits: settings.Limits{MemoryMB: 100}, Bounds: settings.Bounds{MergeMs: 3000}}
	config := counter.Config{Self: counter.Member{ID: 1, Address: "10.0.0.1:7"}, Origin: newOrigin(), HasDisk: store != nil, MaxBytes: 1 << 20, Bootstrap: true}
	t := &tallies{
		ctx:        ctx,
		log:        log,
		settings:   env,
		pool:       rpc.NewPool(ctx, rpc.TCP{}, nil),
		store:      store,
		startedAt:  time.Now(),
		candidates: func() []counter.Candidate { return nil },
		writes:     make(chan counter.Write, 1),
		core:       counter.New(config),
		adds:       map[counter.Token]chan counter.AddResult{},
		replies:    map[counter.Token]chan counter.Message{},
		results:    map[counter.AddResult]int64{},
	}
	go t.run()
	return t
}

func TestTallies_MemberAlone_AddsAndReads(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		store := &memoryCounters{}
		tallies := newTestTallies(ctx, slog.New(slog.DiscardHandler), store)
		time.Sleep(200 * time.Millisecond)
		for range 3 {
			_, err := tallies.AddToTally(counter.Addition{Counter: "t", ID: "x", Amount: 4})
			require.NoError(t, err)
		}
		_, err := tallies.AddToTally(counter.Addition{Counter: "t", ID: "x", Amount: 5})
		require.Equal(t, errkind.InvalidInput, errkind.KindOf(err))
		answer, err := tallies.Tally("t")
		require.NoError(t, err)
		require.Equal(t, uint64(4), answer.Total)
		require.True(t, store.stored.Complete)

		ping := &rpc.Message{Kind: rpc.Counters, Call: 1, Body: counter.Encode(counter.Ping{Origin: 5})}
		reply := tallies.handle(ping)
		require.NotNil(t, reply)
		decoded, err := counter.Decode(reply.Body)
		require.NoError(t, err)
		require.True(t, decoded.(counter.PingReply).Complete)
		require.Nil(t, tallies.handle(&rpc.Message{Kind: rpc.Counters, Call: 1, Body: []byte{99}}))

		samples := map[string]float64{}
		for _, sample := range tallies.metrics() {
			name := sample.Name
			for _, label := range sample.Labels {
				name += " " + label.Value
			}
			samples[name] = sample.Value
		}
		require.Equal(t, 1.0, samples["controller_tallies_ids"])
		require.Equal(t, 3.0, samples["controller_tallies_additions_total acknowledged"])
		require.Equal(t, 1.0, samples["controller_tallies_additions_total conflict"])
		require.True(t, tallies.state().HasTotals)
		tallies.leave()
		_, err = tallies.AddToTally(counter.Addition{Counter: "t", ID: "y", Amount: 4})
		require.Equal(t, errkind.Unavailable, errkind.KindOf(err))
		cancel()
		synctest.Wait()
	})
}

func TestTallies_DiskThatFails_GivesNoAcknowledgement(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		var lines bytes.Buffer
		store := &memoryCounters{fail: errors.New("full")}
		tallies := newTestTallies(ctx, slog.New(slog.NewTextHandler(&lines, nil)), store)
		_, err := tallies.AddToTally(counter.Addition{Counter: "t", ID: "x", Amount: 4})
		require.Equal(t, errkind.DeadlineExceeded, errkind.KindOf(err), "it was begun")
		_, err = tallies.AddToTally(counter.Addition{Counter: "t", ID: "y", Amount: 4})
		require.Equal(t, errkind.Unavailable, errkind.KindOf(err), "it was not")
		cancel()
		synctest.Wait()
		require.Equal(t, 1, strings.Count(lines.String(), "tallies not written"))
	})
}

func TestTallies_NoDisk_SaysThatNobodyIsKnown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		tallies := newTestTallies(ctx, slog.New(slog.DiscardHandler), nil)
		_, err := tallies.AddToTally(counter.Addition{Counter: "t", ID: "x", Amount: 4})
		require.Equal(t, errkind.Unavailable, errkind.KindOf(err))
		_, err = tallies.Tally("t")
		require.Equal(t, errkind.Unavailable, errkind.KindOf(err))
		cancel()
		synctest.Wait()
	})
}

func TestLateMember_OnlyOneThatAnswersAndLacksAdditionsTooLong(t *testing.T) {
	late := counter.Status{Peers: []counter.PeerStatus{{Member: counter.Member{Address: "a"}, Reachable: true, WaitingFor: 4 * time.Second}}}
	require.Equal(t, "a", lateMember(late, 3*time.Second))
	require.Empty(t, lateMember(late, 5*time.Second))
	late.Peers[0].Reachable = false
	require.Empty(t, lateMember(late, 3*time.Second), "behind a partition nothing is late")
}
