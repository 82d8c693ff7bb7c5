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

func eachLayout(t *testing.T, f func(t *testing.T, net *network)) {
	for name, layout := range layouts {
		t.Run(name, func(t *testing.T) { f(t, startedNetwork(t, layout.losses, layout.zones...)) })
	}
}

func TestView_FirstCommand_HasTargetReplicasAndWitnesses(t *testing.T) {
	eachLayout(t, func(t *testing.T, net *network) {
		primary := net.commit("first")
		view := primary.core.View()
		require.Len(t, view.Replicas(), net.losses+1)
		require.Len(t, view.Witnesses, 2*net.losses+1)
		require.Greater(t, len(primary.core.countPerDomain(view.Replicas())), 1, "the loss of a zone leaves a replica")
		for zone, n := range primary.core.countPerDomain(view.Witnesses) {
			require.LessOrEqual(t, n, net.losses, "the loss of zone %s leaves a majority", zone)
		}
	})
}

func TestTakeOver_PrimaryLost_KeepsAcknowledgedEntries(t *testing.T) {
	eachLayout(t, func(t *testing.T, net *network) {
		primary := net.commit("first")
		primary.stop()
		net.run(1500 * time.Millisecond)
		successor := net.holds("first;")
		require.NotEqual(t, primary, successor)
		net.commit("second")
		primary.start()
		net.run(3 * time.Second)
		require.Equal(t, successor, net.holds("first;second;"), "the one that returns does not take over")
	})
}

// TestTakeOver_AtEachStepOfWrite_KeepsAcknowledgedEntries loses the primary at each step of a write: what was acknowledged is held by the next one, what was not is held or is not.
func TestTakeOver_AtEachStepOfWrite_KeepsAcknowledgedEntries(t *testing.T) {
	for _, step := range []string{"before append", "append lost", "reply lost", "after result"} {
		t.Run(step, func(t *testing.T) {
			net := startedNetwork(t, 1, "a", "b", "c")
			primary := net.commit("first")
			token := Token(0)
			switch step {
			case "append lost":
				net.drop = func(_ *node, m Message) bool { _, is := m.(Append); return is }
				token = primary.proposeText("second")
			case "reply lost":
				net.drop = func(_ *node, m Message) bool { _, is := m.(AppendReply); return is }
				token = primary.proposeText("second")
			case "after result":
				net.commit("second")
			}
			net.run(20 * time.Millisecond)
			require.NotContains(t, primary.answers, token)
			primary.stop()
			net.drop = nil
			net.run(6 * time.Second)
			want := "first;"
			if step == "reply lost" || step == "after result" {
				want += "second;"
			}
			successor := net.holds(want)
			net.commit("third")
			primary.start()
			net.run(3 * time.Second)
			require.Equal(t, successor, net.holds(want+"third;"))
		})
	}
}

// TestWrite_BackupLost_CommitsInNextView loses a backup at each step of a write: the answer comes after a new replica was made.
func TestWrite_BackupLost_CommitsInNextView(t *testing.T) {
	eachLayout(t, func(t *testing.T, net *network) {
		primary := net.commit("first")
		view := primary.core.View()
		net.node(view.Backups[len(view.Backups)-1]).stop()
		require.Equal(t, Committed, primary.outcome(primary.proposeText("second")))
		net.run(time.Second)
		net.holds("first;second;")
	})
}

func TestCommand_Rejected_ConfirmedByWitnesses(t *testing.T) {
	net := startedNetwork(t, 1, "a", "b", "c")
	primary := net.commit("first")
	refusal := fmt.Errorf("not on this base")
	token := primary.propose(func() ([]byte, error) { return nil, refusal })
	require.NotContains(t, primary.answers, token, "the witnesses come first")
	require.Equal(t, Rejected, primary.outcome(token))
	require.Equal(t, refusal, primary.answers[token].Err)
	require.Equal(t, NoChange, primary.outcome(primary.propose(func() ([]byte, error) { return nil, nil })))
}

// TestPrimary_IsolatedOrFrozen_GivesNoDefiniteResult is the proven fault: a primary that was followed while it was frozen or cut off rejects a command on the newer state.
func TestPrimary_IsolatedOrFrozen_GivesNoDefiniteResult(t *testing.T) {
	for _, frozen := range []bool{false, true} {
		for _, after := range []time.Duration{300 * time.Millisecond, 900 * time.Millisecond, 3 * time.Second, 20 * time.Second} {
			t.Run(fmt.Sprint(frozen, after), func(t *testing.T) {
				net := startedNetwork(t, 1, "a", "b", "c")
				primary := net.commit("first")
				if frozen {
					primary.freeze()
				} else {
					net.isolate(primary)
				}
				net.run(after)
				if frozen {
					primary.thaw()
				}
				var tokens []Token
				tokens = append(tokens, primary.propose(func() ([]byte, error) { return nil, fmt.Errorf("rejected") }))
				tokens = append(tokens, primary.propose(func() ([]byte, error) { return nil, nil }))
				tokens = append(tokens, primary.read())
				if frozen && after > time.Second {
					net.run(3 * time.Second)
				}
				for _, token := range tokens {
					outcome := primary.outcome(token)
					if !frozen || after > time.Second {
						require.False(t, outcome.IsDefinite(), outcome.String())
					}
				}
				net.heal()
				net.run(2 * time.Second)
				net.holds("first;")
			})
		}
	}
}

func TestCommand_PastDeadline_NeverStarts(t *testing.T) {
	net := startedNetwork(t, 1, "a", "b", "c")
	primary := net.commit("first")
	backup := net.node(primary.core.View().Backups[0])
	primary.disk.stalled = true
	first := primary.proposeText("second")
	begun := false
	second := primary.propose(func() ([]byte, error) { begun = true; return []byte("late"), nil })
	net.run(10 * time.Millisecond)
	primary.disk.stalled = false
	primary.disk.stallReported = false
	primary.freeze()
	net.isolate(backup)
	net.run(3 * time.Second)
	net.heal()
	primary.thaw()
	net.run(3 * time.Second)
	require.False(t, primary.outcome(first).IsDefinite())
	require.False(t, primary.outcome(second).IsDefinite())
	require.False(t, begun)
}

// askAppend gives a backup an entry of the primary and returns its rejection; the reply goes no further.
func askAppend(t *testing.T, net *network, primary, backup *node, entry Entry) Rejection {
	t.Helper()
	var replies []AppendReply
	net.drop = func(_ *node, m Message) bool {
		reply, is := m.(AppendReply)
		if is {
			replies = append(replies, reply)
		}
		return is
	}
	backup.step(Received{Append{Envelope: Envelope{From: primary.member(), To: backup.disk.id, ToAddress: backup.address}, Entry: entry}})
	net.run(10 * time.Millisecond)
	require.Len(t, replies, 1)
	return replies[0].Rejection
}

// TestAppend_NotNextEntry_RejectedWithReason gives a backup entries that are not the next.
func TestAppend_NotNextEntry_RejectedWithReason(t *testing.T) {
	net := startedNetwork(t, 1, "a", "b", "c")
	net.commit("first")
	primary := net.commit("second")
	view := primary.core.View()
	backup := net.node(view.Backups[0])
	ask := func(entry Entry) Rejection { return askAppend(t, net, primary, backup, entry) }
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
	require.Equal(t, NotJoined, ask(next), "the same disk, but another incarnation")
}

// TestWitness_DiskWiped_IsReplaced within the time after which another loss may come.
func TestWitness_DiskWiped_IsReplaced(t *testing.T) {
	eachLayout(t, func(t *testing.T, net *network) {
		primary := net.commit("first")
		view := primary.core.View()
		for _, witness := range view.Witnesses {
			if witness.ID != primary.disk.id {
				node := net.node(witness)
				node.stop()
				node.wipe()
				net.run(200 * time.Millisecond)
				node.start()
				net.run(2 * time.Second)
				require.NotZero(t, rolesOf(net.holds("first;").core.View(), node.disk.id))
				break
			}
		}
	})
}

// TestBackup_DiskFull_LeavesAndRejoinsView takes a backup out of the writing and in again.
func TestBackup_DiskFull_LeavesAndRejoinsView(t *testing.T) {
	net := startedNetwork(t, 1, "a", "b", "c")
	primary := net.commit("first")
	backup := net.node(primary.core.View().Backups[0])
	backup.disk.full = true
	require.Equal(t, Committed, primary.outcome(primary.proposeText("second")))
	epoch := primary.core.View().Epoch
	net.run(10 * time.Second)
	require.LessOrEqual(t, primary.core.View().Epoch-epoch, Epoch(6), "the views don't change for ever")
	backup.disk.full = false
	primary = net.primary()
	primary.disk.full = true
	require.False(t, primary.outcome(primary.proposeText("third")).IsDefinite())
	net.run(3 * time.Second)
	successor := net.primary()
	require.NotNil(t, successor)
	require.NotEqual(t, primary, successor)
	net.commit("fourth")
}

func TestPrimary_DiskStalled_IsReplaced(t *testing.T) {
	net := startedNetwork(t, 1, "a", "b", "c")
	primary := net.commit("first")
	primary.disk.stalled = true
	token := primary.proposeText("second")
	require.Equal(t, Indeterminate, primary.outcome(token))
	net.run(time.Second)
	successor := net.primary()
	require.NotNil(t, successor)
	require.NotEqual(t, primary, successor)
	primary.resumeDisk()
	net.commit("third")
	net.run(3 * time.Second)
	net.holds("first;second;third;")
}

func TestTakeOver_Repeated_LosesNothing(t *testing.T) {
	net := startedNetwork(t, 1, "a", "b", "c")
	want := ""
	for i := range 12 {
		primary := net.commit(fmt.Sprint(i))
		want += fmt.Sprint(i, ";")
		primary.stop()
		net.run(4 * time.Second)
		primary.start()
		net.run(3 * time.Second)
	}
	net.holds(want)
}
