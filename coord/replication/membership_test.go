package replication

import (
	"context"
	"encoding/binary"
	"fmt"
	"log/slog"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/stretchr/testify/require"

	"shaletrestle/coord/replication/core"
)

// TestMember_ReplacedWhileAnotherIsDown_LosesNothing takes a machine away permanently, adds one at another address, and loses another meanwhile.
func TestMember_ReplacedWhileAnotherIsDown_LosesNothing(t *testing.T) {
	withCluster(t, 2, []string{"a", "b", "c", "d", "e"}, func(t *testing.T, c *cluster) {
		primary := c.primary()
		require.NoError(t, c.propose(primary, "first"))
		down := c.indexOf(c.members[primary].View().Backups[0])
		c.stop(primary)
		c.stop(down)
		c.start(c.add("a"))
		time.Sleep(6 * time.Second)
		successor := c.requireText(t, "first;")
		require.NoError(t, c.propose(successor, "second"))
		c.start(down)
		time.Sleep(6 * time.Second)
		for range 2 { // two more may go by now
			successor = c.requireText(t, "first;second;")
			c.stop(successor)
			c.wipe(successor)
			time.Sleep(3 * time.Second)
		}
		c.requireText(t, "first;second;")
	})
}

// TestMember_DiskFull_DoesNotChurnViews keeps a member whose disk is full: the views don't churn, and commands are taken. Three members can't tolerate two losses: they serve as well as it goes.
func TestMember_DiskFull_DoesNotChurnViews(t *testing.T) {
	withCluster(t, 2, []string{"a", "b", "c"}, func(t *testing.T, c *cluster) {
		primary := c.primary()
		require.NoError(t, c.propose(primary, "first"))
		require.Len(t, c.members[primary].View().Replicas(), 3)
		b := c.indexOf(c.members[primary].View().Backups[1])
		c.stores[b].full.Store(true)
		require.NoError(t, c.propose(primary, "second"))
		require.Len(t, c.members[primary].View().Replicas(), 2)
		e := c.members[primary].View().Epoch
		time.Sleep(10 * time.Second)
		require.LessOrEqual(t, c.members[primary].View().Epoch-e, core.Epoch(6))
		c.stores[b].full.Store(false)
		time.Sleep(4 * time.Second)
		require.Len(t, c.members[primary].View().Replicas(), 3)
		c.requireText(t, "first;second;")
	})
}

// TestPropose_TooFewReplicas_NotAcknowledged leaves one backup that takes the state where two losses must be tolerated.
func TestPropose_TooFewReplicas_NotAcknowledged(t *testing.T) {
	withCluster(t, 2, []string{"a", "b", "c", "d", "e"}, func(t *testing.T, c *cluster) {
		primary := c.primary()
		require.NoError(t, c.propose(primary, "first"))
		backups := c.members[primary].View().Backups
		c.network.setDrop(func(address string, m core.Message) bool {
			switch m.(type) {
			case core.Append:
				return address == backups[1].Address
			case core.SnapshotChunk: // only the old primary and one backup give the state to each other
				pair := []string{backups[0].Address, c.members[primary].self.Address}
				return !slices.Contains(pair, address) || !slices.Contains(pair, m.Route().From.Address)
			}
			return false
		})
		require.Error(t, c.propose(primary, "second"))
		time.Sleep(4 * time.Second)
		for i := range c.members {
			require.Error(t, c.propose(i, "third"))
		}
		c.network.setDrop(nil)
		time.Sleep(4 * time.Second)
		got := string(c.machines[c.primary()].Snapshot()) // no clear answer: it may be in force or not
		require.Contains(t, []string{"first;", "first;second;"}, got)
	})
}

// TestBackup_AfterProposing_RejectsEntries: what it transferred may still be chosen, so its old primary must not write past it.
func TestBackup_AfterProposing_RejectsEntries(t *testing.T) {
	withCluster(t, 2, []string{"a", "b", "c", "d", "e"}, func(t *testing.T, c *cluster) {
		primary := c.primary()
		require.NoError(t, c.propose(primary, "first"))
		view := c.members[primary].View()
		b := c.indexOf(view.Backups[0])
		var tried atomic.Bool
		c.network.setDrop(func(address string, m core.Message) bool {
			mine := m.Route().From.ID == view.Backups[0].ID
			switch m.(type) {
			case core.Accept:
				if mine {
					tried.Store(true)
				}
				return mine
			case core.Prepare:
				return !mine
			case core.SnapshotChunk:
				return address == view.Primary.Address
			}
			return false
		})
		envelope := core.Envelope{From: view.Primary, To: view.Backups[0].ID, ToAddress: view.Backups[0].Address}
		answer := c.ask(t, c.members[b], core.Yield{Envelope: envelope, Epoch: view.Epoch, Ballot: view.Ballot}, func(m core.Message) bool {
			_, ok := m.(core.YieldReply)
			return ok
		})
		require.Equal(t, core.Granted, answer.(core.YieldReply).Rejection)
		for range 30 {
			time.Sleep(100 * time.Millisecond)
			if tried.Load() {
				break
			}
		}
		require.True(t, tried.Load())
		require.Equal(t, view.Epoch, c.members[b].View().Epoch)
		entry := core.Append{Envelope: envelope, Entry: c.nextEntry(b, view, "x")}
		require.Equal(t, core.NotJoined, c.sendAppend(t, c.members[b], entry).Rejection)
	})
}

// completeStream is the stream of a state without entries after it.
func completeStream(data string) []byte {
	stream := binary.AppendUvarint(nil, 0)                   // index of the position
	stream = binary.LittleEndian.AppendUint64(stream, 0)     // digest of the position
	stream = binary.AppendUvarint(stream, uint64(len(data))) // of the snapshot
	return append(stream, data...)
}

func TestStateTransfer_OlderBallot_Rejected(t *testing.T) {
	withCluster(t, 1, []string{"a", "b", "c"}, func(t *testing.T, c *cluster) {
		primary := c.primary()
		view := c.members[primary].View()
		m := c.members[c.indexOf(view.Backups[0])]
		stream := completeStream("x")
		give := func(round uint64) core.Rejection {
			question := core.SnapshotChunk{
				Envelope:     core.Envelope{From: view.Primary, To: m.self.ID, ToAddress: m.self.Address},
				Tag:          core.StateTag{Epoch: view.Epoch + 1, Ballot: core.Ballot(round << 40)},
				Base:         view,
				Size:         int64(len(stream)),
				StreamDigest: core.Digest(xxhash.Sum64(stream)),
				Data:         stream,
			}
			answer := c.ask(t, m, question, func(a core.Message) bool {
				reply, ok := a.(core.SnapshotChunkReply)
				return ok && reply.Tag == question.Tag && (reply.Complete || reply.Rejection != core.Granted)
			})
			return answer.(core.SnapshotChunkReply).Rejection
		}
		require.Equal(t, core.Granted, give(900))
		require.Equal(t, core.HigherPromise, give(899))
		require.Equal(t, core.Granted, give(901))
	})
}

// TestPropose_LargeEntry_KeepsTheView sends 4 MB to two backups over a link that needs 0.7 s for them: no view is changed.
func TestPropose_LargeEntry_KeepsTheView(t *testing.T) {
	withCluster(t, 2, []string{"a", "b", "c", "d", "e"}, func(t *testing.T, c *cluster) {
		primary := c.primary()
		require.NoError(t, c.propose(primary, "first"))
		e := c.members[primary].View().Epoch
		c.network.bytesPerSecond = 6 << 20
		require.NoError(t, c.propose(primary, strings.Repeat("x", 4<<20)))
		require.Equal(t, e, c.members[primary].View().Epoch)
		c.stop(primary)
		time.Sleep(4 * time.Second)
		require.GreaterOrEqual(t, c.primary(), 0)
	})
}

func TestRelay_WithoutDisk_RejectsEveryRole(t *testing.T) {
	withCluster(t, 1, []string{"a", "b", "c"}, func(t *testing.T, c *cluster) {
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		m, err := New(slog.New(slog.DiscardHandler), Config{
			Address: "m9", Zone: "d", Seeds: []string{"m0", "m1", "m2"}, MaxFailures: 1, Relay: true,
			Store: NewNoDisk(), StateMachine: &textMachine{}, Transport: c.network,
		})
		require.NoError(t, err)
		c.network.mu.Lock()
		c.network.members["m9"] = m
		c.network.mu.Unlock()
		go m.Run(ctx)
		time.Sleep(2 * time.Second)
		primary := c.primary()
		require.NoError(t, c.propose(primary, "first"))
		s, ok := m.Primary()
		require.True(t, ok, "it knows whom to relay for")
		require.Equal(t, c.members[primary].Self(), s)
		c.stop(c.indexOf(c.members[primary].View().Backups[0]))
		time.Sleep(6 * time.Second)
		view := c.members[c.primary()].View()
		require.Negative(t, memberIndex(append(view.Replicas(), view.Witnesses...), m.self.ID))
		c.relayRefuses(t, m, view)
	})
}

// relayRefuses asks a member without a disk for all that needs one.
func (c *cluster) relayRefuses(t *testing.T, m *Member, view *core.View) {
	t.Helper()
	to := core.Envelope{From: view.Primary, To: m.self.ID, ToAddress: m.self.Address}
	next := *view
	next.Epoch++
	refusal := func(question core.Message) (reason core.Rejection) {
		c.ask(t, m, question, func(a core.Message) bool {
			switch a := a.(type) {
			case core.PrepareReply:
				reason = a.Rejection
			case core.AcceptReply:
				reason = a.Rejection
			case core.InstallReply:
				reason = a.Rejection
			case core.SnapshotChunkReply:
				reason = a.Rejection
			case core.AppendReply:
				reason = a.Rejection
			case core.ConfirmReply:
				reason = a.Rejection
			default:
				return false
			}
			return true
		})
		return reason
	}
	require.Equal(t, core.NoDisk, refusal(core.Prepare{Envelope: to, Base: *view, Ballot: 9 << 40}))
	require.Equal(t, core.NoDisk, refusal(core.Accept{Envelope: to, Base: *view, Ballot: 9 << 40, Proposal: next}))
	require.Equal(t, core.NoDisk, refusal(core.Install{Envelope: to, View: next}))
	require.Equal(t, core.NoDisk, refusal(core.SnapshotChunk{Envelope: to, Tag: next.Tag(), Base: view}))
	require.Equal(t, core.NoDisk, refusal(core.Append{Envelope: to, Entry: core.Entry{Index: 1, Epoch: view.Epoch, Ballot: view.Ballot}}))
	require.Equal(t, core.NoDisk, refusal(core.Confirm{Envelope: to, Epoch: view.Epoch, Ballot: view.Ballot, Round: 1}))
}

// TestBootstrap_SeedWithoutDisk_IsNoWitness starts with a seed that has no disk: the first register does without it.
func TestBootstrap_SeedWithoutDisk_IsNoWitness(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newNetwork()
		var ms []*Member
		for i := range 4 {
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			cf := Config{Address: fmt.Sprint("m", i), Zone: fmt.Sprint("z", i), Seeds: []string{"m0", "m1", "m2"}, MaxFailures: 1, Store: &memoryStore{id: uint64(i + 1)}, StateMachine: &textMachine{}, Transport: h}
			if i == 0 {
				cf.Relay, cf.Store = true, NewNoDisk()
			}
			m, err := New(slog.New(slog.DiscardHandler), cf)
			require.NoError(t, err)
			ms = append(ms, m)
			h.mu.Lock()
			h.members[cf.Address] = m
			h.mu.Unlock()
			go m.Run(ctx)
		}
		time.Sleep(6 * time.Second)
		primary := slices.IndexFunc(ms, func(m *Member) bool { _, on := m.PrimaryEpoch(); return on })
		require.Positive(t, primary)
		require.NoError(t, ms[primary].Propose(time.Now().Add(callTimeout), func() ([]byte, error) { return []byte("x"), nil }))
		require.Len(t, ms[primary].View().Witnesses, 3)
	})
}
