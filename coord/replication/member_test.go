package replication

import (
	"context"
	"fmt"
	"log/slog"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"shaletrestle/coord/replication/core"
	"shaletrestle/internal/errkind"
)

// TestTakeoverAtEveryStepOfAWrite loses the primary at each step of a write: what was acknowledged is held by the next one, what was not is held or is not.
func TestTakeoverAtEveryStepOfAWrite(t *testing.T) {
	for _, step := range []string{"before append", "append lost", "answer lost", "after answer"} {
		t.Run(step, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				tr := newTrio()
				defer tr.end()
				p := tr.primary()
				require.GreaterOrEqual(t, p, 0)
				require.NoError(t, tr.propose(p, "first"))
				acked := false
				switch step {
				case "append lost", "answer lost":
					tr.h.setDrop(func(address string, m core.Message) bool {
						if _, ok := m.(core.Append); !ok {
							return false
						}
						if step == "answer lost" {
							tr.h.deliver(address, m)
						}
						tr.h.setOff(fmt.Sprint("m", p), true)
						return true
					})
					acked = tr.propose(p, "second") == nil
				case "after answer":
					acked = tr.propose(p, "second") == nil
					require.True(t, acked)
				}
				tr.stop(p)
				time.Sleep(6 * time.Second)
				q := tr.primary()
				require.NotEqual(t, p, q)
				require.GreaterOrEqual(t, q, 0)
				got, current := tr.read(q)
				require.True(t, current)
				require.True(t, strings.HasPrefix(got, "first;"), got)
				if acked || step == "answer lost" {
					require.Equal(t, "first;second;", got)
				} else {
					require.Equal(t, "first;", got)
				}
				tr.h.setDrop(nil)
				require.NoError(t, tr.propose(q, "third"))
				tr.start(p)
				time.Sleep(3 * time.Second)
				require.Equal(t, q, tr.primary(), "the returning one drops its tail and does not take over")
			})
		})
	}
}

func TestADeposedPrimaryAcknowledgesNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tr := newTrio()
		defer tr.end()
		p := tr.primary()
		tr.h.setOff(fmt.Sprint("m", p), true)
		require.Error(t, tr.propose(p, "alone"))
		require.False(t, tr.confirmed(p))
		time.Sleep(5 * time.Second)
		n := 0
		for _, m := range tr.m {
			if _, ok := m.PrimaryEpoch(); ok {
				n++
			}
		}
		require.Equal(t, 1, n)
	})
}

// TestACutOffPrimaryRefusesNothingClearly asks a primary all the time while it is cut off and followed, and after it is back: a refusal or an "in force already" of its own comes only while nobody else is primary.
func TestACutOffPrimaryRefusesNothingClearly(t *testing.T) {
	for _, gone := range []time.Duration{1050, 1100, 1150, 1200, 1300, 2000} {
		synctest.Test(t, func(t *testing.T) {
			tr := newTrio()
			defer tr.end()
			p := tr.primary()
			tr.h.setOff(fmt.Sprint("m", p), true)
			start := time.Now()
			var followed atomic.Int64
			for time.Since(start) < 4*time.Second {
				if time.Since(start) > gone*time.Millisecond {
					tr.h.setOff(fmt.Sprint("m", p), false)
				}
				time.Sleep(5 * time.Millisecond)
				for _, decision := range []error{nil, errkind.New(errkind.VersionConflict, "version 1 is current")} {
					go func() {
						other := tr.otherPrimary(p)
						err := tr.m[p].Propose(time.Now().Add(patience), func() ([]byte, error) { return nil, decision })
						if other {
							followed.Add(1)
							require.NotEqual(t, errkind.VersionConflict, errkind.KindOf(err))
							require.Error(t, err)
						}
					}()
				}
			}
			require.Positive(t, followed.Load())
		})
	}
}

func TestManyTakeoversLoseNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tr := newTrio()
		defer tr.end()
		want := ""
		for i := range 12 {
			p := tr.primary()
			require.GreaterOrEqual(t, p, 0, "round %d", i)
			require.NoError(t, tr.propose(p, fmt.Sprint(i)))
			want += fmt.Sprint(i, ";")
			tr.stop(p)
			time.Sleep(4 * time.Second)
			tr.start(p)
			time.Sleep(3 * time.Second)
		}
		require.Equal(t, want, string(tr.l[tr.primary()].Snapshot()))
	})
}

func TestARestartedBackupTakesNothingBeforeItWasHandedTheState(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tr := newTrio()
		defer tr.end()
		p := tr.primary()
		view := tr.m[p].View()
		b := tr.at(view.Backups[0])
		question := core.Append{
			Envelope: core.Envelope{From: tr.m[p].self, To: view.Backups[0].ID, ToAddress: view.Backups[0].Address},
			Entry:    tr.nextEntry(b, view, "x"),
		}
		require.Equal(t, core.Granted, tr.sendAppend(t, tr.m[b], question).Rejection)
		tr.stop(b)
		tr.start(b)
		require.Equal(t, core.NotJoined, tr.sendAppend(t, tr.m[b], question).Rejection, "the same disk, but another life")
		question.To = 99
		require.Equal(t, core.WrongDisk, tr.sendAppend(t, tr.m[b], question).Rejection, "meant for a disk that is gone")
	})
}

// TestACutOffPrimaryStopsThoughAWriteHoldsItUp cuts a primary off whose write waits for the backups, or for its own disk.
func TestACutOffPrimaryStopsThoughAWriteHoldsItUp(t *testing.T) {
	for _, held := range []string{"by the backups", "by the disk"} {
		t.Run(held, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				tr := newTrio()
				defer tr.end()
				p := tr.primary()
				if held == "by the disk" {
					defer tr.st[p].stall()()
				}
				tr.h.setDrop(func(_ string, m core.Message) bool {
					_, isAppend := m.(core.Append)
					return isAppend
				})
				answered := make(chan error, 1)
				go func() { answered <- tr.propose(p, "held") }()
				time.Sleep(10 * time.Millisecond)
				tr.h.setOff(fmt.Sprint("m", p), true)
				time.Sleep(2 * time.Second)
				_, on := tr.m[p].PrimaryEpoch()
				require.False(t, on)
				require.Equal(t, errkind.Unavailable, errkind.KindOf(<-answered), "it may have been done")
			})
		})
	}
}

func TestHearsayDisplacesNothingSeen(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tr := newTrio()
		defer tr.end()
		m := tr.m[0]
		m.Receive(core.HelloReply{
			Envelope: core.Envelope{From: tr.m[1].self, To: m.self.ID, ToAddress: "m0"},
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

func TestAnEarlierProposalIsFinishedFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tr := newTrio()
		defer tr.end()
		p := tr.primary()
		before := tr.m[p].View()
		var mu sync.Mutex
		var half *core.View
		accepts := 0
		tr.h.setDrop(func(address string, m core.Message) bool {
			accept, ok := m.(core.Accept)
			mu.Lock()
			defer mu.Unlock()
			if !ok || accepts >= 2 {
				return false
			}
			tr.h.deliver(address, m) // the witness stores it, its answer is lost with the proposer
			half = accept.Proposal.Clone()
			if accepts++; accepts == 2 {
				tr.h.setOff(accept.From.Address, true)
			}
			return true
		})
		tr.stop(p)
		tr.start(p) // proposes a new view and is lost in the middle of it
		time.Sleep(10 * time.Second)
		mu.Lock()
		defer mu.Unlock()
		require.NotNil(t, half)
		require.Equal(t, before.Epoch+1, half.Epoch)
		q := tr.primary()
		require.GreaterOrEqual(t, q, 0)
		require.Greater(t, tr.m[q].View().Epoch, half.Epoch, "what two witnesses had stored counts as chosen: it has an epoch of its own")
	})
}

// TestAReadSeesTheConfirmedState looks at the state where it is confirmed, not later.
func TestAReadSeesTheConfirmedState(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tr := newTrio()
		defer tr.end()
		p := tr.primary()
		require.NoError(t, tr.propose(p, "first"))
		text, current := tr.read(p)
		require.True(t, current)
		require.Equal(t, "first;", text)
		for i := range tr.m {
			if i != p {
				err := tr.m[i].Read(time.Now().Add(patience), func() { t.Error("a backup's state is looked at") })
				require.Equal(t, errkind.NotPrimary, errkind.KindOf(err))
			}
		}
	})
}

// TestAnOrderPastItsDeadlineIsNotDecided gives a primary whose disk stands still an order with little time.
func TestAnOrderPastItsDeadlineIsNotDecided(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tr := newTrio()
		defer tr.end()
		p := tr.primary()
		resume := tr.st[p].stall()
		first := make(chan error, 1)
		go func() { first <- tr.propose(p, "first") }()
		time.Sleep(10 * time.Millisecond)
		err := tr.m[p].Propose(time.Now().Add(100*time.Millisecond), func() ([]byte, error) {
			t.Error("it began too late")
			return nil, nil
		})
		require.Equal(t, errkind.Unavailable, errkind.KindOf(err))
		time.Sleep(50 * time.Millisecond)
		resume()
		require.NoError(t, <-first)
	})
}

// TestAnIdleMemberWakesSeldom counts the ticks of members that have nothing to do: the primary has one a heartbeat, the others have none while they hear it.
func TestAnIdleMemberWakesSeldom(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tr := newTrio()
		defer tr.end()
		time.Sleep(3 * time.Second)
		p := tr.primary()
		ticks := make([]map[time.Duration]bool, len(tr.m))
		for range 1000 { // finer than a tick, for 10 s
			time.Sleep(10 * time.Millisecond)
			for i, m := range tr.m {
				if ticks[i] == nil {
					ticks[i] = map[time.Duration]bool{}
				}
				m.mu.Lock()
				ticks[i][m.lastTick] = true
				m.mu.Unlock()
			}
		}
		for i := range tr.m {
			most := 1
			if i == p {
				most = 41
			}
			require.LessOrEqual(t, len(ticks[i]), most, "member %d", i)
		}
	})
}

// spoiled is a disk whose state is whole and yet not understood.
type spoiled struct {
	memory
	restarts []string
}

func (s *spoiled) Reset(reason string) error {
	s.restarts = append(s.restarts, reason)
	s.id, s.late, s.register, s.snapshot, s.entries = s.id+1, true, core.Register{}, nil, nil
	return nil
}

func TestAMemberWhoseStateIsNotUnderstoodJoinsAnew(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	disk := &spoiled{memory: memory{id: 7}}
	disk.snapshot = &core.Snapshot{Position: core.Position{Index: 1, Digest: 5}}
	disk.entries = []core.Entry{{Index: 9, Previous: 1}}
	m, err := New(ctx, slog.New(slog.DiscardHandler), Config{Address: "a", Seeds: []string{"a"}, Store: disk, StateMachine: &lines{}, Transport: newHall()})
	require.NoError(t, err)
	require.Len(t, disk.restarts, 1)
	require.EqualValues(t, 8, m.Self().ID)
	helpless := &memory{id: 7, snapshot: &core.Snapshot{}, entries: []core.Entry{{Index: 9}}}
	_, err = New(ctx, slog.New(slog.DiscardHandler), Config{Address: "a", Store: helpless, StateMachine: &lines{}, Transport: newHall()})
	require.ErrorIs(t, err, core.ErrCorrupt, "its store can't start over")
}

func ExampleMember_Propose() {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	ready := make(chan uint64, 1)
	text := &lines{}
	m, err := New(ctx, slog.New(slog.DiscardHandler), Config{
		Address: "only", Seeds: []string{"only"}, Store: &memory{id: 7}, StateMachine: text, Transport: newHall(),
		OnBecomePrimary: func(epoch uint64) { ready <- epoch },
	})
	if err != nil {
		fmt.Println(err)
		return
	}
	go m.Run()
	fmt.Println("primary of epoch", <-ready)
	deadline := time.Now().Add(time.Minute)
	fmt.Println(m.Propose(deadline, func() ([]byte, error) { return []byte("sal, 40 planks"), nil }))
	fmt.Println(string(text.Snapshot()))
	// Output:
	// primary of epoch 1
	// <nil>
	// sal, 40 planks;
}
