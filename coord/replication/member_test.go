package replication

import (
	"fmt"
	"log/slog"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"

	"shaletrestle/coord/replication/core"
)

// TestTakeover_AtEveryStepOfAWrite_KeepsWhatWasAcknowledged loses the primary at each step of a write: the next one has what was acknowledged, and may have what was not.
func TestTakeover_AtEveryStepOfAWrite_KeepsWhatWasAcknowledged(t *testing.T) {
	for _, step := range []string{"before append", "append lost", "answer lost", "after answer"} {
		t.Run(step, func(t *testing.T) {
			withThreeMembers(t, func(t *testing.T, c *cluster) {
				primary := c.primary()
				require.GreaterOrEqual(t, primary, 0)
				require.NoError(t, c.propose(primary, "first"))
				acked := false
				switch step {
				case "append lost", "answer lost":
					c.network.setDrop(func(address string, m core.Message) bool {
						if _, ok := m.(core.Append); !ok {
							return false
						}
						if step == "answer lost" {
							c.network.deliver(address, m)
						}
						c.network.setDisconnected(fmt.Sprint("m", primary), true)
						return true
					})
					acked = c.propose(primary, "second") == nil
				case "after answer":
					acked = c.propose(primary, "second") == nil
					require.True(t, acked)
				}
				c.stop(primary)
				time.Sleep(6 * time.Second)
				successor := c.primary()
				require.NotEqual(t, primary, successor)
				require.GreaterOrEqual(t, successor, 0)
				got, current := c.read(successor)
				require.True(t, current)
				require.True(t, strings.HasPrefix(got, "first;"), got)
				if acked || step == "answer lost" {
					require.Equal(t, "first;second;", got)
				} else {
					require.Equal(t, "first;", got)
				}
				c.network.setDrop(nil)
				require.NoError(t, c.propose(successor, "third"))
				c.start(primary)
				time.Sleep(3 * time.Second)
				require.Equal(t, successor, c.primary(), "the returning one drops its tail and does not take over")
			})
		})
	}
}

func TestPrimary_Deposed_AcknowledgesNothing(t *testing.T) {
	withThreeMembers(t, func(t *testing.T, c *cluster) {
		primary := c.primary()
		c.network.setDisconnected(fmt.Sprint("m", primary), true)
		require.Error(t, c.propose(primary, "alone"))
		require.False(t, c.confirmed(primary))
		time.Sleep(5 * time.Second)
		n := 0
		for _, m := range c.members {
			if _, ok := m.PrimaryEpoch(); ok {
				n++
			}
		}
		require.Equal(t, 1, n)
	})
}

// errVersionConflict is what a decide function of the tests rejects a change with.
var errVersionConflict = errors.New("version 1 is current")

// TestPrimary_Disconnected_GivesNoClearRejection asks a primary all the time while it is disconnected and followed, and after it is back: a rejection or an "in force already" of its own comes only while nobody else is primary.
func TestPrimary_Disconnected_GivesNoClearRejection(t *testing.T) {
	for _, gone := range []time.Duration{1050, 1100, 1150, 1200, 1300, 2000} {
		withThreeMembers(t, func(t *testing.T, c *cluster) {
			primary := c.primary()
			c.network.setDisconnected(fmt.Sprint("m", primary), true)
			start := time.Now()
			var followed atomic.Int64
			var calls sync.WaitGroup
			clearAnswers := make(chan error, 2000)
			for time.Since(start) < 4*time.Second {
				if time.Since(start) > gone*time.Millisecond {
					c.network.setDisconnected(fmt.Sprint("m", primary), false)
				}
				time.Sleep(5 * time.Millisecond)
				for _, decision := range []error{nil, errVersionConflict} {
					calls.Go(func() {
						other := c.otherPrimary(primary)
						err := c.members[primary].Propose(time.Now().Add(callTimeout), func() ([]byte, error) { return nil, decision })
						if !other {
							return
						}
						followed.Add(1)
						if err == nil || errors.Is(err, errVersionConflict) {
							clearAnswers <- err
						}
					})
				}
			}
			require.Positive(t, followed.Load())
			calls.Wait()
			require.Empty(t, clearAnswers, "answered as if it were still the primary")
		})
	}
}

func TestTakeover_Repeated_LosesNothing(t *testing.T) {
	withThreeMembers(t, func(t *testing.T, c *cluster) {
		want := ""
		for i := range 12 {
			primary := c.primary()
			require.GreaterOrEqual(t, primary, 0, "round %d", i)
			require.NoError(t, c.propose(primary, fmt.Sprint(i)))
			want += fmt.Sprint(i, ";")
			c.stop(primary)
			time.Sleep(4 * time.Second)
			c.start(primary)
			time.Sleep(3 * time.Second)
		}
		require.Equal(t, want, string(c.machines[c.primary()].Snapshot()))
	})
}

func TestBackup_Restarted_RejectsEntriesUntilItHasTheState(t *testing.T) {
	withThreeMembers(t, func(t *testing.T, c *cluster) {
		primary := c.primary()
		view := c.members[primary].View()
		b := c.indexOf(view.Backups[0])
		question := core.Append{
			Envelope: core.Envelope{From: c.members[primary].self, To: view.Backups[0].ID, ToAddress: view.Backups[0].Address},
			Entry:    c.nextEntry(b, view, "x"),
		}
		require.Equal(t, core.Granted, c.sendAppend(t, c.members[b], question).Rejection)
		c.stop(b)
		c.start(b)
		require.Equal(t, core.NotJoined, c.sendAppend(t, c.members[b], question).Rejection, "the same disk, but another incarnation")
		question.To = 99
		require.Equal(t, core.WrongDisk, c.sendAppend(t, c.members[b], question).Rejection, "meant for a disk that is gone")
	})
}

// TestPrimary_DisconnectedDuringAWrite_StepsDown disconnects a primary whose write waits for the backups, or for its own disk.
func TestPrimary_DisconnectedDuringAWrite_StepsDown(t *testing.T) {
	for _, delayedBy := range []string{"backups", "disk"} {
		t.Run("delayed by "+delayedBy, func(t *testing.T) {
			withThreeMembers(t, func(t *testing.T, c *cluster) {
				primary := c.primary()
				if delayedBy == "disk" {
					defer c.stores[primary].stall()()
				}
				c.network.setDrop(func(_ string, m core.Message) bool {
					_, isAppend := m.(core.Append)
					return isAppend
				})
				answered := make(chan error, 1)
				go func() { answered <- c.propose(primary, "delayed") }()
				time.Sleep(10 * time.Millisecond)
				c.network.setDisconnected(fmt.Sprint("m", primary), true)
				time.Sleep(2 * time.Second)
				_, on := c.members[primary].PrimaryEpoch()
				require.False(t, on)
				require.ErrorIs(t, <-answered, ErrNotDecided, "it may have been done")
			})
		})
	}
}

func TestMembers_SecondHandReport_ReplacesNobodySeen(t *testing.T) {
	withThreeMembers(t, func(t *testing.T, c *cluster) {
		m := c.members[0]
		m.receive(core.HelloReply{
			Envelope: core.Envelope{From: c.members[1].self, To: m.self.ID, ToAddress: "m0"},
			Status:   core.Status{Writable: true},
			Members:  []core.Member{{ID: 5, Address: "m1"}, {ID: 6, Address: "m0"}, {ID: 7, Address: "new"}},
		})
		synctest.Wait()
		got := map[string]uint64{}
		for _, s := range m.Members() {
			got[s.Address] = s.ID
		}
		require.Equal(t, map[string]uint64{"m0": 11, "m1": 22, "m2": 33, "new": 7}, got)
	})
}

func TestTakeover_EarlierProposal_FinishedFirst(t *testing.T) {
	withThreeMembers(t, func(t *testing.T, c *cluster) {
		primary := c.primary()
		before := c.members[primary].View()
		var mu sync.Mutex
		var half *core.View
		accepts := 0
		c.network.setDrop(func(address string, m core.Message) bool {
			accept, ok := m.(core.Accept)
			mu.Lock()
			defer mu.Unlock()
			if !ok || accepts >= 2 {
				return false
			}
			c.network.deliver(address, m) // the witness stores it, its answer is lost with the proposer
			half = accept.Proposal.Clone()
			if accepts++; accepts == 2 {
				c.network.setDisconnected(accept.From.Address, true)
			}
			return true
		})
		c.stop(primary)
		c.start(primary) // proposes a new view and is lost in the middle of it
		time.Sleep(10 * time.Second)
		mu.Lock()
		defer mu.Unlock()
		require.NotNil(t, half)
		require.Equal(t, before.Epoch+1, half.Epoch)
		successor := c.primary()
		require.GreaterOrEqual(t, successor, 0)
		require.Greater(t, c.members[successor].View().Epoch, half.Epoch, "what two witnesses had stored counts as chosen: it has an epoch of its own")
	})
}

// TestRead_Primary_SeesTheConfirmedState looks at the state where it is confirmed, not later.
func TestRead_Primary_SeesTheConfirmedState(t *testing.T) {
	withThreeMembers(t, func(t *testing.T, c *cluster) {
		primary := c.primary()
		require.NoError(t, c.propose(primary, "first"))
		text, current := c.read(primary)
		require.True(t, current)
		require.Equal(t, "first;", text)
		for i := range c.members {
			if i != primary {
				err := c.members[i].Read(time.Now().Add(callTimeout), func() { t.Error("a backup's state is looked at") })
				require.ErrorIs(t, err, ErrNotPrimary)
			}
		}
	})
}

// TestPropose_PastDeadline_NotDecided gives a primary whose disk is stalled a command with a short deadline.
func TestPropose_PastDeadline_NotDecided(t *testing.T) {
	withThreeMembers(t, func(t *testing.T, c *cluster) {
		primary := c.primary()
		resume := c.stores[primary].stall()
		first := make(chan error, 1)
		go func() { first <- c.propose(primary, "first") }()
		time.Sleep(10 * time.Millisecond)
		err := c.members[primary].Propose(time.Now().Add(100*time.Millisecond), func() ([]byte, error) {
			t.Error("it began too late")
			return nil, nil
		})
		require.ErrorIs(t, err, ErrNotDecided)
		time.Sleep(50 * time.Millisecond)
		resume()
		require.NoError(t, <-first)
	})
}

// TestMember_Idle_WakesSeldom counts the ticks of members that have nothing to do: the primary has one a heartbeat, the others have none while they are in contact with it.
func TestMember_Idle_WakesSeldom(t *testing.T) {
	withThreeMembers(t, func(t *testing.T, c *cluster) {
		time.Sleep(3 * time.Second)
		primary := c.primary()
		ticks := make([]map[time.Duration]bool, len(c.members))
		for range 1000 { // finer than a tick, for 10 s
			time.Sleep(10 * time.Millisecond)
			for i, m := range c.members {
				if ticks[i] == nil {
					ticks[i] = map[time.Duration]bool{}
				}
				m.mu.Lock()
				ticks[i][m.lastTick] = true
				m.mu.Unlock()
			}
		}
		for i := range c.members {
			limit := 1
			if i == primary {
				limit = 41
			}
			require.LessOrEqual(t, len(ticks[i]), limit, "member %d", i)
		}
	})
}

// resettableStore is a disk whose state is intact and yet unusable.
type resettableStore struct {
	memoryStore
	resets []string
}

func (s *resettableStore) Reset(reason string) error {
	s.resets = append(s.resets, reason)
	s.id, s.joinedLater, s.register, s.snapshot, s.entries = s.id+1, true, core.Register{}, nil, nil
	return nil
}

func TestNew_UnusableState_ResetsTheDisk(t *testing.T) {
	disk := &resettableStore{memoryStore: memoryStore{id: 7}}
	disk.snapshot = &core.Snapshot{Position: core.Position{Index: 1, Digest: 5}}
	disk.entries = []core.Entry{{Index: 9, Previous: 1}}
	m, err := New(slog.New(slog.DiscardHandler), Config{Address: "a", Seeds: []string{"a"}, Store: disk, StateMachine: &textMachine{}, Transport: newNetwork()})
	require.NoError(t, err)
	require.Len(t, disk.resets, 1)
	require.EqualValues(t, 8, m.Self().ID)
	helpless := &memoryStore{id: 7, snapshot: &core.Snapshot{}, entries: []core.Entry{{Index: 9}}}
	_, err = New(slog.New(slog.DiscardHandler), Config{Address: "a", Store: helpless, StateMachine: &textMachine{}, Transport: newNetwork()})
	require.ErrorIs(t, err, core.ErrCorrupt, "its store is no Resetter")
}
