package core

import (
	"slices"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/stretchr/testify/require"
)

// TestCommand_PrimaryWakesSuperseded_IsNotStarted gives a command to a primary that was frozen, before it has heard that it was followed: it asks the witnesses first, so nothing is decided, and the caller may safely ask the next primary.
func TestCommand_PrimaryWakesSuperseded_IsNotStarted(t *testing.T) {
	net := startedNetwork(t, 1, "a", "b", "c")
	primary := net.commit("first")
	primary.freeze()
	net.run(3 * time.Second)
	require.NotEqual(t, primary, net.holds("first;"))
	held := primary.held
	primary.held = nil
	primary.thaw()
	decided := false
	token := primary.propose(func() ([]byte, error) { decided = true; return []byte("second"), nil })
	for _, message := range held {
		primary.receive(message)
	}
	require.Equal(t, Deposed, primary.outcome(token))
	require.False(t, decided)
	net.holds("first;")
}

// giveState hands a member a complete state for the view after the known one, as a proposer would, and gives its last reply.
func giveState(t *testing.T, net *network, proposer, receiver *node, target Position, stream []byte) SnapshotChunkReply {
	t.Helper()
	base := receiver.core.View()
	tag := StateTag{Epoch: base.Epoch + 1, Ballot: ballotOf(1<<20, proposer.disk.id)}
	var replies []SnapshotChunkReply
	net.drop = func(from *node, m Message) bool {
		reply, is := m.(SnapshotChunkReply)
		if is && from == receiver && reply.Tag == tag {
			replies = append(replies, reply)
		}
		return from == receiver
	}
	receiver.step(Received{SnapshotChunk{
		Envelope:     Envelope{From: proposer.member(), To: receiver.disk.id, ToAddress: receiver.address},
		Tag:          tag,
		Base:         base,
		Position:     target,
		Size:         int64(len(stream)),
		StreamDigest: Digest(xxhash.Sum64(stream)),
		Data:         stream,
	}})
	net.run(100 * time.Millisecond)
	require.NotEmpty(t, replies)
	return replies[len(replies)-1]
}

// TestTransfer_StreamEndsElsewhere_IsRejected gives a state that does not lead to the position that it is said to: it must not take the place of what is held.
func TestTransfer_StreamEndsElsewhere_IsRejected(t *testing.T) {
	net := startedNetwork(t, 1, "a", "b", "c")
	primary := net.commit("first")
	receiver := net.node(primary.core.View().Backups[0])
	net.isolate(receiver)
	stream := encodeState(primary.core.snapshot(), nil)
	held := receiver.core.state.position
	snapshot := receiver.disk.snapshot
	elsewhere := Position{Index: held.Index + 1, Digest: held.Digest}
	require.Equal(t, DiskFailed, giveState(t, net, primary, receiver, elsewhere, stream).Rejection)
	require.Equal(t, held, receiver.core.state.position)
	require.Same(t, snapshot, receiver.disk.snapshot)
	reply := giveState(t, net, primary, receiver, held, stream)
	require.Equal(t, Granted, reply.Rejection, "the same stream with the position that it leads to")
	require.True(t, reply.Complete)
}

// TestViewChange_TooFewReplicas_IsNotProposed: with a failure to tolerate, a primary whose state no other member takes commits nothing by itself.
func TestViewChange_TooFewReplicas_IsNotProposed(t *testing.T) {
	net := startedNetwork(t, 1, "a", "b", "c")
	primary := net.commit("first")
	net.node(primary.core.View().Backups[0]).stop()
	net.drop = func(_ *node, m Message) bool { return isReply[SnapshotChunk](m) }
	require.False(t, primary.outcome(primary.proposeText("second")).IsDefinite())
	for _, node := range net.nodes {
		if view := node.core.View(); node.up {
			require.Len(t, view.Replicas(), 2)
		}
	}
}

// rejectionOf gives a member a request and the rejection of its reply, which goes no further.
func rejectionOf(t *testing.T, net *network, to *node, request Message, rejection func(Message) (Rejection, bool)) Rejection {
	t.Helper()
	var found []Rejection
	net.drop = func(from *node, m Message) bool {
		if reason, is := rejection(m); is && from == to {
			found = append(found, reason)
		}
		return from == to
	}
	to.step(Received{request})
	net.run(10 * time.Millisecond)
	require.Len(t, found, 1)
	return found[0]
}

func TestPrepare_MemberIsNoWitness_IsRejected(t *testing.T) {
	net, outsider := startedWithOutsider(t)
	primary := net.primary()
	prepare := Prepare{Envelope: replyFrom(primary.member(), outsider), Base: *outsider.core.View(), Ballot: ballotOf(1<<20, primary.disk.id)}
	reply := func(m Message) (Rejection, bool) { reply, is := m.(PrepareReply); return reply.Rejection, is }
	require.Equal(t, NotWitness, rejectionOf(t, net, outsider, prepare, reply))
	require.Zero(t, outsider.core.register.Promised)
}

// TestConfirm_Witness_RepliesByWhatItAccepted asks a witness for views older than, other than, and as the one that it knows, and for that one after it accepted the next.
func TestConfirm_Witness_RepliesByWhatItAccepted(t *testing.T) {
	net, _ := startedWithOutsider(t)
	primary := net.primary()
	view := primary.core.View()
	witness := net.node(view.Witnesses[slices.IndexFunc(view.Witnesses, func(m Member) bool { return m.ID != primary.disk.id })])
	ask := func(epoch Epoch, ballot Ballot) Rejection {
		confirm := Confirm{Envelope: replyFrom(primary.member(), witness), Epoch: epoch, Ballot: ballot, Round: 1}
		return rejectionOf(t, net, witness, confirm, func(m Message) (Rejection, bool) { reply, is := m.(ConfirmReply); return reply.Rejection, is })
	}
	require.Equal(t, Granted, ask(view.Epoch, view.Ballot))
	require.Equal(t, NewerView, ask(view.Epoch-1, view.Ballot))
	require.Equal(t, UnknownView, ask(view.Epoch+1, view.Ballot))
	require.Equal(t, UnknownView, ask(view.Epoch, view.Ballot+1))
	next := &View{Epoch: view.Epoch + 1, Ballot: ballotOf(1<<20, primary.disk.id), Primary: primary.member()}
	accept := Accept{Envelope: replyFrom(primary.member(), witness), Base: *view, Ballot: next.Ballot, Proposal: *next}
	accepted := func(m Message) (Rejection, bool) { reply, is := m.(AcceptReply); return reply.Rejection, is }
	require.Equal(t, Granted, rejectionOf(t, net, witness, accept, accepted))
	require.Equal(t, HigherPromise, ask(view.Epoch, view.Ballot))
}

// chunk is a part of a stream for a receiver, from an offset on.
func chunk(proposer, receiver *node, target Position, stream, complete []byte, offset int) SnapshotChunk {
	base := receiver.core.View()
	return SnapshotChunk{
		Envelope:     replyFrom(proposer.member(), receiver),
		Tag:          StateTag{Epoch: base.Epoch + 1, Ballot: ballotOf(1<<20, proposer.disk.id)},
		Base:         base,
		Position:     target,
		Size:         int64(len(complete)),
		StreamDigest: Digest(xxhash.Sum64(complete)),
		Offset:       int64(offset),
		Data:         stream,
	}
}

// TestTransfer_ChunkRepeatedOrTooLong_IsNotAdded gives the chunks of a state out of their order, twice, and past the end.
func TestTransfer_ChunkRepeatedOrTooLong_IsNotAdded(t *testing.T) {
	net := startedNetwork(t, 1, "a", "b", "c")
	primary := net.commit("first")
	receiver := net.node(primary.core.View().Backups[0])
	net.isolate(receiver)
	stream := encodeState(primary.core.snapshot(), nil)
	target := receiver.core.state.position
	half := len(stream) / 2
	var last SnapshotChunkReply
	net.drop = func(from *node, m Message) bool {
		if reply, is := m.(SnapshotChunkReply); is && from == receiver {
			last = reply
		}
		return from == receiver
	}
	give := func(data []byte, offset int) int64 {
		receiver.step(Received{chunk(primary, receiver, target, data, stream, offset)})
		return last.Received
	}
	require.Zero(t, give(stream[half:], half), "the start is missing")
	require.EqualValues(t, half, give(stream[:half], 0))
	require.EqualValues(t, half, give(stream[:half], 0), "a repeated chunk")
	require.EqualValues(t, half, give(append(stream[half:len(stream):len(stream)], 0), half), "a chunk past the end")
	give(stream[half:], half)
	net.run(100 * time.Millisecond)
	require.Equal(t, Granted, last.Rejection)
	require.True(t, last.Complete)
	require.Equal(t, "first;", receiver.machine.content)
}

// TestTransfer_DataAltered_IsRejected: the position alone does not cover the data of the snapshot.
func TestTransfer_DataAltered_IsRejected(t *testing.T) {
	net := startedNetwork(t, 1, "a", "b", "c")
	primary := net.commit("first")
	receiver := net.node(primary.core.View().Backups[0])
	net.isolate(receiver)
	snapshot := primary.core.snapshot()
	stream := encodeState(snapshot, nil)
	snapshot.Data = []byte("other;")
	altered := encodeState(snapshot, nil)
	var last SnapshotChunkReply
	net.drop = func(from *node, m Message) bool {
		if reply, is := m.(SnapshotChunkReply); is && from == receiver {
			last = reply
		}
		return from == receiver
	}
	given := chunk(primary, receiver, receiver.core.state.position, altered, stream, 0)
	receiver.step(Received{given})
	net.run(100 * time.Millisecond)
	require.Equal(t, DiskFailed, last.Rejection)
	require.Equal(t, "first;", receiver.machine.content)
}

// TestTransfer_Tag_DecidesWhatIsTaken gives a backup state under tags that are older than, equal to and newer than what it holds, before and after a restart.
func TestTransfer_Tag_DecidesWhatIsTaken(t *testing.T) {
	net := startedNetwork(t, 1, "a", "b", "c")
	primary := net.commit("first")
	receiver := net.node(primary.core.View().Backups[0])
	net.isolate(receiver)
	stream := encodeState(primary.core.snapshot(), nil)
	target := receiver.core.state.position
	var last SnapshotChunkReply
	net.drop = func(from *node, m Message) bool {
		if reply, is := m.(SnapshotChunkReply); is && from == receiver {
			last = reply
		}
		return from == receiver
	}
	epoch := receiver.core.knownEpoch()
	give := func(epoch Epoch, round uint64) SnapshotChunkReply {
		given := chunk(primary, receiver, target, stream, stream, 0)
		given.Tag = StateTag{Epoch: epoch, Ballot: ballotOf(round, primary.disk.id)}
		last = SnapshotChunkReply{}
		receiver.step(Received{given})
		net.run(10 * time.Millisecond)
		return last
	}
	held := receiver.disk.snapshot
	require.Equal(t, NewerView, give(0, 50).Rejection, "no proposal")
	require.Equal(t, NewerView, give(epoch, 50).Rejection, "the known epoch")
	require.Equal(t, UnknownView, give(epoch+2, 50).Rejection, "an epoch whose base is not known")
	receiver.core.register.Promised = ballotOf(60, primary.disk.id)
	require.Equal(t, HigherPromise, give(epoch+1, 50).Rejection, "a ballot below the promise")
	receiver.core.register.Promised = 0
	require.Same(t, held, receiver.disk.snapshot, "nothing was taken so far")
	require.True(t, give(epoch+1, 70).Complete)
	require.Equal(t, HigherPromise, give(epoch+1, 69).Rejection, "a ballot below the one whose state is held")
	require.True(t, give(epoch+1, 70).Complete, "the same state again, while it is joined")
	require.Empty(t, receiver.disk.pending)
	snapshot := receiver.disk.snapshot
	receiver.stop()
	receiver.start()
	require.Equal(t, DuplicateEntry, give(epoch+1, 70).Rejection, "the same state again, after a restart")
	require.Same(t, snapshot, receiver.disk.snapshot, "what was appended since may be committed")
}

// TestBallot_OtherRegisterSaved_DoesNotCount: only a save that holds the ballot itself lets it be used.
func TestBallot_OtherRegisterSaved_DoesNotCount(t *testing.T) {
	net, _ := startedWithOutsider(t)
	net.primary().stop()
	node := inPhase(t, net, preparing, isReply[PrepareReply])
	change := node.core.change
	change.ballotSynced = false
	node.core.ballotSaved(change.base.Epoch, change.ballot-1)
	require.False(t, change.ballotSynced, "a promise before it")
	node.core.ballotSaved(change.base.Epoch-1, change.ballot+1)
	require.False(t, change.ballotSynced, "a promise for the epoch before")
	change.phase = repairing
	node.core.ballotSaved(change.base.Epoch, change.ballot)
	require.False(t, change.ballotSynced, "no ballot is chosen yet")
	change.phase = preparing
	node.core.ballotSaved(change.base.Epoch, change.ballot)
	require.True(t, change.ballotSynced)
}

// TestTransfer_WhileProposing_EndsOwnViewChange: a proposer whose state is replaced may not go on offering it.
func TestTransfer_WhileProposing_EndsOwnViewChange(t *testing.T) {
	net := startedNetwork(t, 1, "a", "b", "c")
	old := net.commit("first")
	old.stop()
	node := inPhase(t, net, transferring, isReply[SnapshotChunkReply])
	stream := encodeState(node.core.snapshot(), node.core.state.tail)
	node.step(Received{chunk(old, node, node.core.state.position, stream, stream, 0)})
	require.Nil(t, node.core.change)
}

func TestRead_ReplyAfterDeadline_IsIndeterminate(t *testing.T) {
	net := startedNetwork(t, 1, "a", "b", "c")
	primary := net.commit("first")
	var reply Message
	net.drop = func(_ *node, m Message) bool {
		if isReply[ConfirmReply](m) {
			reply = m
		}
		return isReply[ConfirmReply](m)
	}
	now := net.now - primary.born
	primary.step(Read{Token: 99, Deadline: now + 3*time.Millisecond})
	net.run(3 * time.Millisecond)
	require.NotContains(t, primary.answers, Token(99))
	for _, effect := range primary.core.Step(now+4*time.Millisecond, Received{reply}) {
		primary.carryOut(effect)
	}
	require.Equal(t, Indeterminate, primary.answers[99].Outcome)
	require.Equal(t, ErrDeadlineExceeded, primary.answers[99].Err)
}

// TestCalls_MoreThanMaxPending_AreIndeterminate: what is too much is refused at once, and nothing that waits is.
func TestCalls_MoreThanMaxPending_AreIndeterminate(t *testing.T) {
	net := newNetwork(t, 1, "a", "b", "c")
	net.limits.MaxPending = 2
	net.startAll()
	net.run(2 * time.Second)
	primary := net.commit("first")
	writes := []Token{primary.proposeText("0"), primary.proposeText("1"), primary.proposeText("2"), primary.proposeText("3")}
	reads := []Token{primary.read(), primary.read(), primary.read()}
	for _, token := range []Token{writes[3], reads[2]} {
		require.Equal(t, ErrTooManyPending, primary.answers[token].Err)
		require.Equal(t, Indeterminate, primary.answers[token].Outcome)
	}
	for _, token := range append(writes[:3], reads[:2]...) {
		require.True(t, primary.outcome(token).IsDefinite())
	}
}

// TestAppendReply_RejectedWithEntryOnDisk_IsNoAcknowledgement: a backup that took part in another proposal meanwhile has the entry on disk, but what is proposed there will replace it.
func TestAppendReply_RejectedWithEntryOnDisk_IsNoAcknowledgement(t *testing.T) {
	net := startedNetwork(t, 1, "a", "b", "c")
	primary := net.commit("first")
	net.drop = func(_ *node, m Message) bool { return isReply[AppendReply](m) || isReply[Prepare](m) }
	token := primary.proposeText("second")
	net.run(20 * time.Millisecond)
	entry := primary.core.write.entry
	primary.step(Received{AppendReply{
		Envelope: replyFrom(primary.core.View().Backups[0], primary), Epoch: entry.Epoch, Ballot: entry.Ballot, Index: entry.Index,
		Rejection: NotJoined, DiskPosition: entry.Position(),
	}})
	require.NotContains(t, primary.answers, token)
	require.NotNil(t, primary.core.change, "the next view is made without it")
}

// TestAppend_ViewOvertakenBeforeItsSync_IsRejected: while an entry is being written the backup takes no state, and once it learns a newer view it acknowledges the entry no more.
func TestAppend_ViewOvertakenBeforeItsSync_IsRejected(t *testing.T) {
	net := startedNetwork(t, 1, "a", "b", "c")
	primary := net.commit("first")
	backup := net.node(primary.core.View().Backups[0])
	view := primary.core.View()
	held := backup.core.state.position
	var transfer, write []Rejection
	net.drop = func(from *node, m Message) bool {
		switch reply := m.(type) {
		case SnapshotChunkReply:
			transfer = append(transfer, reply.Rejection)
		case AppendReply:
			write = append(write, reply.Rejection)
		}
		return from == backup
	}
	next := Entry{Index: held.Index + 1, Epoch: view.Epoch, Ballot: view.Ballot, Previous: held.Digest, Data: []byte("second")}
	backup.step(Received{Append{Envelope: replyFrom(primary.member(), backup), Entry: next}})
	stream := encodeState(primary.core.snapshot(), nil)
	backup.step(Received{chunk(primary, backup, held, stream, stream, 0)})
	require.Equal(t, []Rejection{Busy}, transfer)
	newer := view.Clone()
	newer.Epoch++
	newer.Ballot++
	backup.step(Received{Heartbeat{Envelope: replyFrom(primary.member(), backup), View: newer}})
	net.run(10 * time.Millisecond)
	require.Equal(t, []Rejection{NotJoined}, write)
}

func TestMayLead_StateAndRole_Decide(t *testing.T) {
	self, other := Member{ID: 1, Address: "a"}, Member{ID: 2, Address: "b"}
	asBackup := View{Epoch: 5, Ballot: 10, Primary: other, Backups: []Member{self}, Base: Position{Index: 7}}
	asPrimary := View{Epoch: 5, Ballot: 10, Primary: self, Backups: []Member{other}, Base: Position{Index: 7}}
	asWitness := View{Epoch: 5, Ballot: 10, Primary: other, Witnesses: []Member{self}, Base: Position{Index: 7}}
	for name, c := range map[string]struct {
		view  View
		relay bool
		tag   StateTag
		index Index
		want  bool
	}{
		"backup with the view's state":                    {asBackup, false, StateTag{5, 10}, 7, true},
		"backup with less than the base":                  {asBackup, false, StateTag{5, 10}, 6, false},
		"backup with state of a later proposal":           {asBackup, false, StateTag{5, 11}, 3, true},
		"backup with state of a later epoch":              {asBackup, false, StateTag{6, 1}, 3, true},
		"backup with state of an earlier proposal":        {asBackup, false, StateTag{5, 9}, 9, false},
		"backup with state of an earlier epoch":           {asBackup, false, StateTag{4, 99}, 9, false},
		"primary, which has its state under an older tag": {asPrimary, false, StateTag{4, 9}, 7, true},
		"primary with less than the base":                 {asPrimary, false, StateTag{4, 9}, 6, false},
		"witness that is no replica":                      {asWitness, false, StateTag{5, 10}, 7, false},
		"relay":                                           {asBackup, true, StateTag{5, 10}, 7, false},
	} {
		member := &Core{self: self, config: Config{Relay: c.relay}}
		member.state.tag = c.tag
		member.state.position.Index = c.index
		require.Equal(t, c.want, member.mayLead(&c.view), name)
	}
}
