package simulation

import (
	"slices"

	"shaletrestle/coord/replication/core"
)

// proposal is what was asked to be accepted under one ballot for one epoch.
type proposal struct {
	base     core.View
	view     core.View
	accepted []core.MemberID // witnesses that have it on disk
}

// proposed checks that a ballot stands for one proposal.
func (m *monitor) proposed(p *process, message core.Accept) {
	key := core.StateTag{Epoch: message.Base.Epoch + 1, Ballot: message.Ballot}
	known, ok := m.proposals[key]
	if !ok {
		m.proposals[key] = &proposal{base: message.Base, view: message.Proposal}
		return
	}
	if !sameView(known.view, message.Proposal) {
		m.fail("%s proposes %v under a ballot that stood for %v", p.host, message.Proposal, known.view)
	}
}

// offered checks that no two incarnations of a member offer state under one ballot.
func (m *monitor) offered(p *process, tag core.StateTag) {
	other, ok := m.offers[tag]
	if ok && other != p {
		m.fail("%s offers state under a ballot for epoch %d that an earlier incarnation offered under", p.host, tag.Epoch)
	}
	m.offers[tag] = p
}

// stateSaved checks that a disk takes only state that is newer, or the same one.
func (m *monitor) stateSaved(d *disk, job core.SaveSnapshot) {
	if d.snapshot == nil {
		return
	}
	before, after := d.snapshot.Tag, job.Snapshot.Tag
	if !after.Covers(before) {
		m.fail("disk %d takes state of epoch %d in place of epoch %d", d.id, after.Epoch, before.Epoch)
	}
	tip := m.cluster.history.ofSnapshot(job.Snapshot.Data)
	for _, entry := range job.Tail {
		tip = m.cluster.history.after(tip, entry.Data)
	}
	if after == before && !tip.includes(d.tip) {
		m.fail("disk %d goes back from entry %d to entry %d of epoch %d", d.id, d.tip.index, tip.index, after.Epoch)
	}
}

// recordAccepted counts the witnesses that have accepted a proposal, and checks that one view is chosen for an epoch.
func (m *monitor) recordAccepted(d *disk, register core.Register) {
	if register.Accepted == nil {
		return
	}
	made := m.proposals[core.StateTag{Epoch: epochOf(register.View) + 1, Ballot: register.AcceptedBallot}]
	if made == nil || slices.Contains(made.accepted, d.id) {
		return
	}
	if !slices.ContainsFunc(made.base.Witnesses, func(w core.Member) bool { return w.ID == d.id }) {
		return
	}
	made.accepted = append(made.accepted, d.id)
	if len(made.accepted) != len(made.base.Witnesses)/2+1 {
		return
	}
	chosen, ok := m.chosen[made.view.Epoch]
	if ok && !sameView(chosen, made.view) {
		m.fail("two views are chosen for epoch %d: %v and %v", made.view.Epoch, chosen, made.view)
	}
	m.chosen[made.view.Epoch] = made.view
}

// appended checks that a member that gave its word for a newer state takes no entry of an older view.
func (m *monitor) appended(p *process, reply core.AppendReply) {
	tag := core.StateTag{Epoch: reply.Epoch, Ballot: reply.Ballot}
	if reply.Rejection == core.Granted && !tag.Covers(p.sealed) {
		m.fail("%s takes entry %d of epoch %d after it made or took a proposal for epoch %d", p.host, reply.Index, reply.Epoch, p.sealed.Epoch)
	}
}
