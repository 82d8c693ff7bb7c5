package core

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// layouts are the groups that the tests below run on: places of the members, and the losses that they bear.
var layouts = map[string]struct {
	losses int
	zones  []string
}{
	"three members": {1, []string{"a", "b", "c"}},
	"four members":  {1, []string{"a", "b", "c", "d"}},
	"five members":  {2, []string{"a", "b", "c", "d", "e"}},
	"six in three":  {2, []string{"a", "a", "b", "b", "c", "c"}},
}

func eachLayout(t *testing.T, f func(t *testing.T, w *world)) {
	for name, layout := range layouts {
		t.Run(name, func(t *testing.T) { f(t, startedWorld(t, layout.losses, layout.zones...)) })
	}
}

func TestTheFirstOrderFindsAllCopiesAndWitnesses(t *testing.T) {
	eachLayout(t, func(t *testing.T, w *world) {
		p := w.commit("first")
		view := p.core.View()
		require.Len(t, view.Replicas(), w.losses+1)
		require.Len(t, view.Witnesses, 2*w.losses+1)
		require.Greater(t, len(p.core.places(view.Replicas())), 1, "the loss of a zone leaves a copy")
		for zone, n := range p.core.places(view.Witnesses) {
			require.LessOrEqual(t, n, w.losses, "the loss of zone %s leaves a majority", zone)
		}
	})
}

func TestTakeoverHoldsWhatWasAcknowledged(t *testing.T) {
	eachLayout(t, func(t *testing.T, w *world) {
		p := w.commit("first")
		p.stop()
		w.run(1500 * time.Millisecond)
		q := w.holds("first;")
		require.NotEqual(t, p, q)
		w.commit("second")
		p.start()
		w.run(3 * time.Second)
		require.Equal(t, q, w.holds("first;second;"), "the one that returns does not take over")
	})
}

// TestTakeoverAtEveryStepOfAWrite loses the primary at each step of a write: what was acknowledged is held by the next one, what was not is held or is not.
func TestTakeoverAtEveryStepOfAWrite(t *testing.T) {
	for _, step := range []string{"before append", "append lost", "answer lost", "after answer"} {
		t.Run(step, func(t *testing.T) {
			w := startedWorld(t, 1, "a", "b", "c")
			p := w.commit("first")
			token := Token(0)
			switch step {
			case "append lost":
				w.drop = func(_ *node, m Message) bool { _, is := m.(Append); return is }
				token = p.orderText("second")
			case "answer lost":
				w.drop = func(_ *node, m Message) bool { _, is := m.(AppendReply); return is }
				token = p.orderText("second")
			case "after answer":
				w.commit("second")
			}
			w.run(20 * time.Millisecond)
			require.NotContains(t, p.answers, token)
			p.stop()
			w.drop = nil
			w.run(6 * time.Second)
			want := "first;"
			if step == "answer lost" || step == "after answer" {
				want += "second;"
			}
			q := w.holds(want)
			w.commit("third")
			p.start()
			w.run(3 * time.Second)
			require.Equal(t, q, w.holds(want+"third;"))
		})
	}
}

// TestAWriteMeetsALostBackup loses a backup at each step of a write: the answer comes after a new copy was made.
func TestAWriteMeetsALostBackup(t *testing.T) {
	eachLayout(t, func(t *testing.T, w *world) {
		p := w.commit("first")
		view := p.core.View()
		w.node(view.Backups[len(view.Backups)-1]).stop()
		require.Equal(t, Committed, p.outcome(p.orderText("second")))
		w.run(time.Second)
		w.holds("first;second;")
	})
}

func TestARefusalAsksTheWitnesses(t *testing.T) {
	w := startedWorld(t, 1, "a", "b", "c")
	p := w.commit("first")
	refusal := fmt.Errorf("not on this base")
	token := p.order(func() ([]byte, error) { return nil, refusal })
	require.NotContains(t, p.answers, token, "the witnesses come first")
	require.Equal(t, Rejected, p.outcome(token))
	require.Equal(t, refusal, p.answers[token].Err)
	require.Equal(t, NoChange, p.outcome(p.order(func() ([]byte, error) { return nil, nil })))
}

// TestACutOffPrimaryAnswersNothingClearly is the proven fault: a primary that was followed while it was frozen or cut off refuses an order on the newer state.
func TestACutOffPrimaryAnswersNothingClearly(t *testing.T) {
	for _, frozen := range []bool{false, true} {
		for _, after := range []time.Duration{300 * time.Millisecond, 900 * time.Millisecond, 3 * time.Second, 20 * time.Second} {
			t.Run(fmt.Sprint(frozen, after), func(t *testing.T) {
				w := startedWorld(t, 1, "a", "b", "c")
				p := w.commit("first")
				if frozen {
					p.freeze()
				} else {
					w.isolate(p, true)
				}
				w.run(after)
				if frozen {
					p.thaw()
				}
				var tokens []Token
				tokens = append(tokens, p.order(func() ([]byte, error) { return nil, fmt.Errorf("refused") }))
				tokens = append(tokens, p.order(func() ([]byte, error) { return nil, nil }))
				tokens = append(tokens, p.read())
				if frozen && after > time.Second {
					w.run(3 * time.Second)
				}
				for _, token := range tokens {
					outcome := p.outcome(token)
					if !frozen || after > time.Second {
						require.False(t, outcome.IsDefinite(), outcome.String())
					}
				}
				w.heal()
				w.run(2 * time.Second)
				w.holds("first;")
			})
		}
	}
}

func TestAnOrderPastItsDeadlineNeverBegins(t *testing.T) {
	w := startedWorld(t, 1, "a", "b", "c")
	p := w.commit("first")
	backup := w.node(p.core.View().Backups[0])
	p.disk.stalled = true
	first := p.orderText("second")
	begun := false
	second := p.order(func() ([]byte, error) { begun = true; return []byte("late"), nil })
	w.run(10 * time.Millisecond)
	p.disk.stalled = false
	p.disk.stallNote = false
	p.freeze()
	w.isolate(backup, true)
	w.run(3 * time.Second)
	w.heal()
	p.thaw()
	w.run(3 * time.Second)
	require.False(t, p.outcome(first).IsDefinite())
	require.False(t, p.outcome(second).IsDefinite())
	require.False(t, begun)
}

// TestGapForkAndRepeat gives a backup entries that are not the next.
func TestGapForkAndRepeat(t *testing.T) {
	w := startedWorld(t, 1, "a", "b", "c")
	w.commit("first")
	p := w.commit("second")
	view := p.core.View()
	backup := w.node(view.Backups[0])
	var replies []AppendReply
	w.drop = func(_ *node, m Message) bool {
		reply, is := m.(AppendReply)
		if is {
			replies = append(replies, reply)
		}
		return is
	}
	ask := func(entry Entry) Rejection {
		replies = nil
		backup.step(Received{Append{Envelope: Envelope{From: p.member(), To: backup.disk.id, ToAddress: backup.address}, Entry: entry}})
		w.run(10 * time.Millisecond)
		require.Len(t, replies, 1)
		return replies[0].Rejection
	}
	entries := backup.disk.entries
	last := entries[len(entries)-1]
	before := entries[len(entries)-2]
	held := backup.core.state.position
	require.Equal(t, Granted, ask(last), "a repeat of what is on disk")
	require.Equal(t, Granted, ask(before), "an older repeat")
	changed := before
	changed.Data = []byte("other")
	require.Equal(t, DivergedHistory, ask(changed))
	gap := last
	gap.Index += 2
	require.Equal(t, MissingEntries, ask(gap))
	fork := last
	fork.Index++
	require.Equal(t, DivergedHistory, ask(fork), "its previous digest is another")
	otherView := last
	otherView.Ballot++
	require.Equal(t, NotJoined, ask(otherView))
	require.Equal(t, held, backup.core.state.position)
	next := Entry{Index: held.Index + 1, Epoch: view.Epoch, Ballot: view.Ballot, Previous: held.Digest, Data: []byte("third")}
	require.Equal(t, Granted, ask(next))
	backup.stop()
	backup.start()
	replies = nil
	require.Equal(t, NotJoined, ask(next), "the same disk, but another life")
}

// TestAWipedWitnessIsSwapped within the time after which another loss may come.
func TestAWipedWitnessIsSwapped(t *testing.T) {
	eachLayout(t, func(t *testing.T, w *world) {
		p := w.commit("first")
		view := p.core.View()
		for _, witness := range view.Witnesses {
			if witness.ID != p.disk.id {
				n := w.node(witness)
				n.stop()
				n.wipe()
				w.run(200 * time.Millisecond)
				n.start()
				w.run(2 * time.Second)
				require.NotZero(t, rolesOf(w.holds("first;").core.View(), n.disk.id))
				break
			}
		}
	})
}

// TestAFullDiskStepsOut takes a backup out of the writing and in again.
func TestAFullDiskStepsOut(t *testing.T) {
	w := startedWorld(t, 1, "a", "b", "c")
	p := w.commit("first")
	backup := w.node(p.core.View().Backups[0])
	backup.disk.full = true
	require.Equal(t, Committed, p.outcome(p.orderText("second")))
	epoch := p.core.View().Epoch
	w.run(10 * time.Second)
	require.LessOrEqual(t, p.core.View().Epoch-epoch, Epoch(6), "the views don't change for ever")
	backup.disk.full = false
	p = w.primary()
	p.disk.full = true
	require.False(t, p.outcome(p.orderText("third")).IsDefinite())
	w.run(3 * time.Second)
	q := w.primary()
	require.NotNil(t, q)
	require.NotEqual(t, p, q)
	w.commit("fourth")
}

func TestAStalledPrimaryIsFollowed(t *testing.T) {
	w := startedWorld(t, 1, "a", "b", "c")
	p := w.commit("first")
	p.disk.stalled = true
	token := p.orderText("second")
	require.Equal(t, Indeterminate, p.outcome(token))
	w.run(time.Second)
	q := w.primary()
	require.NotNil(t, q)
	require.NotEqual(t, p, q)
	p.resumeDisk()
	w.commit("third")
	w.run(3 * time.Second)
	w.holds("first;second;third;")
}

func TestManyTakeoversLoseNothing(t *testing.T) {
	w := startedWorld(t, 1, "a", "b", "c")
	want := ""
	for i := range 12 {
		p := w.commit(fmt.Sprint(i))
		want += fmt.Sprint(i, ";")
		p.stop()
		w.run(4 * time.Second)
		p.start()
		w.run(3 * time.Second)
	}
	w.holds(want)
}
