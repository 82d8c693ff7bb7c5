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

// TestAMemberIsReplacedWhileAnotherIsDown takes a machine away for good, adds one at another address, and loses another meanwhile.
func TestAMemberIsReplacedWhileAnotherIsDown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCrowd(2, "a", "b", "c", "d", "e")
		defer c.end()
		p := c.primary()
		require.NoError(t, c.propose(p, "first"))
		down := c.at(c.m[p].View().Backups[0])
		c.stop(p)
		c.stop(down)
		c.start(c.add("a"))
		time.Sleep(6 * time.Second)
		q := c.holds(t, "first;")
		require.NoError(t, c.propose(q, "second"))
		c.start(down)
		time.Sleep(6 * time.Second)
		for range 2 { // two more may go by now
			q = c.holds(t, "first;second;")
			c.stop(q)
			c.wipe(q)
			time.Sleep(3 * time.Second)
		}
		c.holds(t, "first;second;")
	})
}

// TestARefusingMemberIsNotAskedAgainAndAgain keeps a member whose disk is full: the charts don't churn, and orders are taken.
func TestARefusingMemberIsNotAskedAgainAndAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCrowd(2, "a", "b", "c") // three members can't bear two losses: served as well as it goes
		defer c.end()
		p := c.primary()
		require.NoError(t, c.propose(p, "first"))
		require.Len(t, c.m[p].View().Replicas(), 3)
		b := c.at(c.m[p].View().Backups[1])
		c.st[b].full.Store(true)
		require.NoError(t, c.propose(p, "second"))
		require.Len(t, c.m[p].View().Replicas(), 2)
		e := c.m[p].View().Epoch
		time.Sleep(10 * time.Second)
		require.LessOrEqual(t, c.m[p].View().Epoch-e, core.Epoch(6))
		c.st[b].full.Store(false)
		time.Sleep(4 * time.Second)
		require.Len(t, c.m[p].View().Replicas(), 3)
		c.holds(t, "first;second;")
	})
}

// TestWithTooFewCopiesNothingIsAcknowledged leaves one backup that takes the state where two losses must be borne.
func TestWithTooFewCopiesNothingIsAcknowledged(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCrowd(2, "a", "b", "c", "d", "e")
		defer c.end()
		p := c.primary()
		require.NoError(t, c.propose(p, "first"))
		backups := c.m[p].View().Backups
		c.h.setDrop(func(address string, m core.Message) bool {
			switch m.(type) {
			case core.Append:
				return address == backups[1].Address
			case core.SnapshotChunk: // only the old primary and one backup give the state to each other
				pair := []string{backups[0].Address, c.m[p].self.Address}
				return !slices.Contains(pair, address) || !slices.Contains(pair, m.Route().From.Address)
			}
			return false
		})
		require.Error(t, c.propose(p, "second"))
		time.Sleep(4 * time.Second)
		for i := range c.m {
			require.Error(t, c.propose(i, "third"))
		}
		c.h.setDrop(nil)
		time.Sleep(4 * time.Second)
		got := string(c.l[c.primary()].Snapshot()) // no clear answer: it may be in force or not
		require.Contains(t, []string{"first;", "first;second;"}, got)
	})
}

// TestABackupThatProposedTakesNothingMore: what it handed over may still be chosen, so its old primary must not write past it.
func TestABackupThatProposedTakesNothingMore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCrowd(2, "a", "b", "c", "d", "e")
		defer c.end()
		p := c.primary()
		require.NoError(t, c.propose(p, "first"))
		view := c.m[p].View()
		b := c.at(view.Backups[0])
		var tried atomic.Bool
		c.h.setDrop(func(address string, m core.Message) bool {
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
		answer := c.ask(t, c.m[b], core.Yield{Envelope: envelope, Epoch: view.Epoch, Ballot: view.Ballot}, func(m core.Message) bool {
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
		require.Equal(t, view.Epoch, c.m[b].View().Epoch)
		entry := core.Append{Envelope: envelope, Entry: c.nextEntry(b, view, "x")}
		require.Equal(t, core.NotJoined, c.sendAppend(t, c.m[b], entry).Rejection)
	})
}

// wholeState is the stream of a state without entries after it.
func wholeState(data string) []byte {
	stream := binary.AppendUvarint(nil, 0)                   // index of the position
	stream = binary.LittleEndian.AppendUint64(stream, 0)     // digest of the position
	stream = binary.AppendUvarint(stream, uint64(len(data))) // of the snapshot
	return append(stream, data...)
}

func TestAnOlderHandOverDisplacesNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCrowd(1, "a", "b", "c")
		defer c.end()
		p := c.primary()
		view := c.m[p].View()
		m := c.m[c.at(view.Backups[0])]
		stream := wholeState("x")
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

// TestALargeEntryIsGivenTime sends 4 MB to two backups over a link that needs 0.7 s for them: no chart is changed.
func TestALargeEntryIsGivenTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCrowd(2, "a", "b", "c", "d", "e")
		defer c.end()
		p := c.primary()
		require.NoError(t, c.propose(p, "first"))
		e := c.m[p].View().Epoch
		c.h.rate = 6 << 20
		require.NoError(t, c.propose(p, strings.Repeat("x", 4<<20)))
		require.Equal(t, e, c.m[p].View().Epoch)
		c.stop(p)
		time.Sleep(4 * time.Second)
		require.GreaterOrEqual(t, c.primary(), 0)
	})
}

func TestAMemberWithoutADiskOnlyRelays(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCrowd(1, "a", "b", "c")
		defer c.end()
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		m, err := New(ctx, slog.New(slog.DiscardHandler), Config{
			Address: "m9", Zone: "d", Seeds: []string{"m0", "m1", "m2"}, MaxFailures: 1, Relay: true,
			Store: NewNoDisk(), StateMachine: &lines{}, Transport: c.h,
		})
		require.NoError(t, err)
		c.h.mu.Lock()
		c.h.m["m9"] = m
		c.h.mu.Unlock()
		go m.Run()
		time.Sleep(2 * time.Second)
		p := c.primary()
		require.NoError(t, c.propose(p, "first"))
		s, ok := m.Primary()
		require.True(t, ok, "it knows whom to relay for")
		require.Equal(t, c.m[p].Self(), s)
		c.stop(c.at(c.m[p].View().Backups[0]))
		time.Sleep(6 * time.Second)
		view := c.m[c.primary()].View()
		require.Negative(t, index(append(view.Replicas(), view.Witnesses...), m.self.ID))
		c.relayRefuses(t, m, view)
	})
}

// relayRefuses asks a member without a disk for all that needs one.
func (t *crowd) relayRefuses(tt *testing.T, m *Member, view *core.View) {
	tt.Helper()
	to := core.Envelope{From: view.Primary, To: m.self.ID, ToAddress: m.self.Address}
	next := *view
	next.Epoch++
	refusal := func(question core.Message) (reason core.Rejection) {
		t.ask(tt, m, question, func(a core.Message) bool {
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
	require.Equal(tt, core.NoDisk, refusal(core.Prepare{Envelope: to, Base: *view, Ballot: 9 << 40}))
	require.Equal(tt, core.NoDisk, refusal(core.Accept{Envelope: to, Base: *view, Ballot: 9 << 40, Proposal: next}))
	require.Equal(tt, core.NoDisk, refusal(core.Install{Envelope: to, View: next}))
	require.Equal(tt, core.NoDisk, refusal(core.SnapshotChunk{Envelope: to, Tag: next.Tag(), Base: view}))
	require.Equal(tt, core.NoDisk, refusal(core.Append{Envelope: to, Entry: core.Entry{Index: 1, Epoch: view.Epoch, Ballot: view.Ballot}}))
	require.Equal(tt, core.NoDisk, refusal(core.Confirm{Envelope: to, Epoch: view.Epoch, Ballot: view.Ballot, Round: 1}))
}

// TestASeedWithoutADiskIsNoWitness starts with a seed that has no disk: the first register does without it.
func TestASeedWithoutADiskIsNoWitness(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHall()
		var ms []*Member
		for i := range 4 {
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			cf := Config{Address: fmt.Sprint("m", i), Zone: fmt.Sprint("z", i), Seeds: []string{"m0", "m1", "m2"}, MaxFailures: 1, Store: &memory{id: uint64(i + 1)}, StateMachine: &lines{}, Transport: h}
			if i == 0 {
				cf.Relay, cf.Store = true, NewNoDisk()
			}
			m, err := New(ctx, slog.New(slog.DiscardHandler), cf)
			require.NoError(t, err)
			ms = append(ms, m)
			h.mu.Lock()
			h.m[cf.Address] = m
			h.mu.Unlock()
			go m.Run()
		}
		time.Sleep(6 * time.Second)
		p := slices.IndexFunc(ms, func(m *Member) bool { _, on := m.PrimaryEpoch(); return on })
		require.Positive(t, p)
		require.NoError(t, ms[p].Propose(time.Now().Add(patience), func() ([]byte, error) { return []byte("x"), nil }))
		require.Len(t, ms[p].View().Witnesses, 3)
	})
}
