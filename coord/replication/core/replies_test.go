package core

import (
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// digestOf digests what replies change: the view change, the confirmation and the pending write.
func digestOf(c *Core) uint64 {
	h := hasher{far: time.Hour}
	digest(&h, &c.change)
	digest(&h, &c.confirm)
	digest(&h, &c.write)
	return h.sum()
}

// inPhase lets the members lose what drop says, and runs until one of them is in a phase of a view change.
func inPhase(t *testing.T, net *network, wanted phase, drop func(m Message) bool) *node {
	t.Helper()
	net.drop = func(_ *node, m Message) bool { return drop(m) }
	for range 6000 {
		net.run(time.Millisecond)
		for _, node := range net.nodes {
			if node.up && node.core.change != nil && node.core.change.phase == wanted {
				return node
			}
		}
	}
	require.Fail(t, "no member comes to the phase")
	return nil
}

// isReply reports whether a message is of a type.
func isReply[T Message](m Message) bool {
	_, is := m.(T)
	return is
}

// strayReply is a reply that must not count, beside one that must.
type strayReply struct {
	name    string
	message Message
}

// requireOnlyCounts gives a member stray replies, none of which may change anything, and then the one that counts.
func requireOnlyCounts(t *testing.T, node *node, stray []strayReply, counts Message) {
	t.Helper()
	for _, reply := range stray {
		before := digestOf(node.core)
		node.step(Received{reply.message})
		require.Equal(t, before, digestOf(node.core), reply.name)
	}
	before := digestOf(node.core)
	node.step(Received{counts})
	require.NotEqual(t, before, digestOf(node.core), "the reply to the request")
}

// replyFrom addresses a reply of a member.
func replyFrom(from Member, to *node) Envelope {
	return Envelope{From: from, To: to.disk.id, ToAddress: to.address}
}

// otherWitness is a witness of the base of a node's view change that is another member.
func otherWitness(node *node) Member {
	for _, witness := range node.core.change.electorate() {
		if witness.ID != node.disk.id {
			return witness
		}
	}
	return Member{}
}

// startedWithOutsider is a network of which one member is no witness.
func startedWithOutsider(t *testing.T) (*network, *node) {
	t.Helper()
	net := startedNetwork(t, 2, "a", "b", "c", "d", "e")
	outsider := net.add("f")
	outsider.start()
	net.run(time.Second)
	primary := net.commit("first")
	require.Zero(t, rolesOf(primary.core.View(), outsider.disk.id)&RoleWitness)
	return net, outsider
}

func TestPrepareReply_NotToThisRequest_DoesNotCount(t *testing.T) {
	net, outsider := startedWithOutsider(t)
	net.primary().stop()
	node := inPhase(t, net, preparing, isReply[PrepareReply])
	net.run(10 * time.Millisecond)
	epoch, ballot := node.core.change.epoch(), node.core.change.ballot
	envelope := replyFrom(otherWitness(node), node)
	requireOnlyCounts(t, node, []strayReply{
		{"to an earlier ballot", PrepareReply{Envelope: envelope, Epoch: epoch, Ballot: ballot - 1}},
		{"to a later ballot", PrepareReply{Envelope: envelope, Epoch: epoch, Ballot: ballot + 1}},
		{"for the epoch before", PrepareReply{Envelope: envelope, Epoch: epoch - 1, Ballot: ballot}},
		{"of a member that is no witness", PrepareReply{Envelope: replyFrom(outsider.member(), node), Epoch: epoch, Ballot: ballot}},
		{"to another request", AcceptReply{Envelope: envelope, Epoch: epoch, Ballot: ballot}},
	}, PrepareReply{Envelope: envelope, Epoch: epoch, Ballot: ballot})
}

func TestAcceptReply_NotToThisRequest_DoesNotCount(t *testing.T) {
	net, outsider := startedWithOutsider(t)
	net.primary().stop()
	node := inPhase(t, net, accepting, isReply[AcceptReply])
	net.run(10 * time.Millisecond)
	epoch, ballot := node.core.change.epoch(), node.core.change.ballot
	envelope := replyFrom(otherWitness(node), node)
	requireOnlyCounts(t, node, []strayReply{
		{"to an earlier ballot", AcceptReply{Envelope: envelope, Epoch: epoch, Ballot: ballot - 1}},
		{"to a later ballot", AcceptReply{Envelope: envelope, Epoch: epoch, Ballot: ballot + 1}},
		{"for the epoch before", AcceptReply{Envelope: envelope, Epoch: epoch - 1, Ballot: ballot}},
		{"of a member that is no witness", AcceptReply{Envelope: replyFrom(outsider.member(), node), Epoch: epoch, Ballot: ballot}},
		{"to another request", PrepareReply{Envelope: envelope, Epoch: epoch, Ballot: ballot}},
		{"to a request of another phase", InstallReply{Envelope: envelope, Epoch: epoch, Ballot: ballot}},
	}, AcceptReply{Envelope: envelope, Epoch: epoch, Ballot: ballot})
}

// startInstalling stops a witness, and gives the member that has to install the view in which another takes its place.
func startInstalling(t *testing.T) *node {
	t.Helper()
	net, _ := startedWithOutsider(t)
	view := net.primary().core.View()
	i := slices.IndexFunc(view.Witnesses, func(m Member) bool { return rolesOf(view, m.ID) == RoleWitness })
	net.node(view.Witnesses[i]).stop()
	node := inPhase(t, net, installing, isReply[InstallReply])
	net.run(10 * time.Millisecond)
	return node
}

func TestInstallReply_NotToThisRequest_DoesNotCount(t *testing.T) {
	node := startInstalling(t)
	change := node.core.change
	envelope := replyFrom(otherWitness(node), node)
	i := slices.IndexFunc(change.base.Witnesses, func(m Member) bool { return indexOf(change.proposal.Witnesses, m.ID) < 0 })
	replaced := change.base.Witnesses[i]
	requireOnlyCounts(t, node, []strayReply{
		{"to an earlier ballot", InstallReply{Envelope: envelope, Epoch: change.epoch(), Ballot: change.ballot - 1}},
		{"for the epoch before", InstallReply{Envelope: envelope, Epoch: change.epoch() - 1, Ballot: change.ballot}},
		{"of a witness that was replaced", InstallReply{Envelope: replyFrom(replaced, node), Epoch: change.epoch(), Ballot: change.ballot}},
	}, InstallReply{Envelope: envelope, Epoch: change.epoch(), Ballot: change.ballot})
}

// TestInstallReply_Rejected_DoesNotCount: a witness whose disk failed has not stored the view.
func TestInstallReply_Rejected_DoesNotCount(t *testing.T) {
	node := startInstalling(t)
	change := node.core.change
	granted := len(change.granted)
	node.step(Received{InstallReply{Envelope: replyFrom(otherWitness(node), node), Epoch: change.epoch(), Ballot: change.ballot, Rejection: DiskFailed}})
	require.Len(t, change.granted, granted)
}

// TestPrepare_EarlierProposals_HighestBallotIsFinished: of several views that witnesses have accepted for an epoch, only the one under the highest ballot may be chosen already.
func TestPrepare_EarlierProposals_HighestBallotIsFinished(t *testing.T) {
	for _, order := range [][]int{{0, 1}, {1, 0}} {
		net, _ := startedWithOutsider(t)
		net.primary().stop()
		node := inPhase(t, net, preparing, isReply[PrepareReply])
		net.run(10 * time.Millisecond)
		change := node.core.change
		var others []Member
		for _, witness := range change.base.Witnesses {
			if witness.ID != node.disk.id {
				others = append(others, witness)
			}
		}
		proposals := []PrepareReply{
			{Envelope: replyFrom(others[0], node), AcceptedBallot: ballotOf(1, 7), Accepted: &View{Epoch: change.epoch(), Ballot: ballotOf(1, 7), Primary: others[0]}},
			{Envelope: replyFrom(others[1], node), AcceptedBallot: ballotOf(1, 8), Accepted: &View{Epoch: change.epoch(), Ballot: ballotOf(1, 8), Primary: others[1]}},
		}
		for _, i := range order {
			reply := proposals[i]
			reply.Epoch, reply.Ballot = change.epoch(), change.ballot
			node.step(Received{reply})
		}
		require.Equal(t, finishing, change.phase)
		require.Equal(t, ballotOf(1, 8), change.earlierProposal.Ballot)
	}
}

func TestConfirmReply_NotToThisRound_DoesNotCount(t *testing.T) {
	net, outsider := startedWithOutsider(t)
	primary := net.primary()
	net.drop = func(_ *node, m Message) bool { return isReply[ConfirmReply](m) }
	reply := func() ConfirmReply {
		view := primary.core.View()
		witness := view.Witnesses[0]
		if witness.ID == primary.disk.id {
			witness = view.Witnesses[1]
		}
		return ConfirmReply{Envelope: replyFrom(witness, primary), Epoch: view.Epoch, Ballot: view.Ballot, Round: primary.core.confirm.round}
	}
	before := digestOf(primary.core)
	primary.step(Received{reply()})
	require.Equal(t, before, digestOf(primary.core), "no round runs")
	primary.read()
	right := reply()
	wrong := func(change func(*ConfirmReply)) ConfirmReply { reply := right; change(&reply); return reply }
	requireOnlyCounts(t, primary, []strayReply{
		{"of the round before", wrong(func(m *ConfirmReply) { m.Round-- })},
		{"for the epoch before", wrong(func(m *ConfirmReply) { m.Epoch-- })},
		{"for another ballot", wrong(func(m *ConfirmReply) { m.Ballot-- })},
		{"of a member that is no witness", wrong(func(m *ConfirmReply) { m.Envelope = replyFrom(outsider.member(), primary) })},
	}, right)
}

func TestAppendReply_NotToThisEntry_DoesNotCount(t *testing.T) {
	net, outsider := startedWithOutsider(t)
	primary := net.primary()
	net.drop = func(_ *node, m Message) bool { return isReply[AppendReply](m) }
	primary.proposeText("second")
	net.run(20 * time.Millisecond)
	entry := primary.core.write.entry
	right := AppendReply{
		Envelope: replyFrom(primary.core.View().Backups[0], primary), Epoch: entry.Epoch, Ballot: entry.Ballot, Index: entry.Index, DiskPosition: entry.Position(),
	}
	wrong := func(change func(*AppendReply)) AppendReply { reply := right; change(&reply); return reply }
	requireOnlyCounts(t, primary, []strayReply{
		{"for the epoch before", wrong(func(m *AppendReply) { m.Epoch-- })},
		{"for the entry before", wrong(func(m *AppendReply) { m.Index-- })},
		{"that holds another entry", wrong(func(m *AppendReply) { m.DiskPosition.Digest++ })},
		{"rejected in the epoch before", wrong(func(m *AppendReply) { m.Epoch--; m.Rejection = NotJoined })},
		{"rejected by a member that is no backup", wrong(func(m *AppendReply) { m.Envelope = replyFrom(outsider.member(), primary); m.Rejection = NotJoined })},
		{"of a backup that is busy", wrong(func(m *AppendReply) { m.Rejection = Busy })},
	}, right)
}
