package core

import (
	"fmt"
	"slices"
	"strings"
)

// monitors watch the invariants over a run.
type monitors struct {
	failed            string
	reported          string // the longest state that a definite result reported
	acknowledged      string // the longest state that a command was acknowledged with
	acknowledgedEpoch Epoch
	notExecuted       []string // commands answered as surely not begun
	writers           []writerRecord
	views             []chosenView
	votes             []voteRecord
	accepts           []acceptanceRecord
}

// writerRecord says which member, in which incarnation, was primary of an epoch.
type writerRecord struct {
	epoch       Epoch
	node        int
	incarnation int
}

// chosenView is a view that is known to be chosen.
type chosenView struct {
	view View
}

// voteRecord is what a witness has said for an epoch: the highest promise and the highest acceptance.
type voteRecord struct {
	id       MemberID
	epoch    Epoch
	promised Ballot
	accepted Ballot
}

// acceptanceRecord collects the witnesses that accepted a view under a ballot: those that said so, and those that have it on disk.
type acceptanceRecord struct {
	epoch    Epoch
	ballot   Ballot
	value    StateTag
	reported []MemberID
	onDisk   []MemberID
}

func (w *monitors) copied() monitors {
	out := *w
	out.notExecuted = slices.Clone(w.notExecuted)
	out.writers = slices.Clone(w.writers)
	out.views = slices.Clone(w.views)
	out.votes = slices.Clone(w.votes)
	out.accepts = slices.Clone(w.accepts)
	return out
}

func (w *monitors) fail(text string, values ...any) {
	if w.failed == "" {
		w.failed = fmt.Sprintf(text, values...)
	}
}

// becamePrimary checks that one member writes in a view, and that it holds what was acknowledged.
func (w *monitors) becamePrimary(m *model, i int, epoch Epoch) {
	node := m.nodes[i]
	for _, writer := range w.writers {
		if writer.epoch == epoch && (writer.node != i || writer.incarnation != node.incarnation) {
			w.fail("two primaries of epoch %d: m%d in incarnation %d and m%d in incarnation %d", epoch, writer.node, writer.incarnation, i, node.incarnation)
		}
	}
	w.writers = append(w.writers, writerRecord{epoch, i, node.incarnation})
	if epoch > w.acknowledgedEpoch && !strings.HasPrefix(node.core.diskContent(node.machine), w.acknowledged) {
		w.fail("m%d leads epoch %d with %q, and %q was acknowledged", i, epoch, node.machine.content, w.acknowledged)
	}
}

// diskContent is the state with what is on disk and not applied.
func (c *Core) diskContent(machine *text) string {
	content := machine.content
	for _, entry := range c.state.tail {
		content += string(entry.Data) + ";"
	}
	return content
}

// learned checks that views are a chain.
func (w *monitors) learned(view View) {
	for _, chosen := range w.views {
		if chosen.view.Epoch != view.Epoch {
			continue
		}
		if chosen.view.Tag() != view.Tag() {
			w.fail("two views of epoch %d: %v and %v", view.Epoch, chosen.view, view)
		}
		return
	}
	w.views = append(w.views, chosenView{view})
	slices.SortFunc(w.views, func(a, b chosenView) int { return int(a.view.Epoch) - int(b.view.Epoch) })
}

// sent checks what a witness says against all that it said before.
func (w *monitors) sent(m *model, message Message) {
	switch reply := message.(type) {
	case PrepareReply:
		if reply.Rejection != Granted {
			return
		}
		vote := w.vote(reply.From.ID, reply.Epoch)
		if reply.Ballot < vote.promised {
			w.fail("%s promises %x after it promised %x", reply.From.Address, reply.Ballot, vote.promised)
		}
		if reply.AcceptedBallot < vote.accepted {
			w.fail("%s has forgotten that it accepted %x", reply.From.Address, vote.accepted)
		}
		vote.promised = max(vote.promised, reply.Ballot)
	case AcceptReply:
		if reply.Rejection != Granted {
			return
		}
		vote := w.vote(reply.From.ID, reply.Epoch)
		if reply.Ballot < vote.promised {
			w.fail("%s accepts %x after it promised %x", reply.From.Address, reply.Ballot, vote.promised)
		}
		vote.promised = max(vote.promised, reply.Ballot)
		vote.accepted = max(vote.accepted, reply.Ballot)
		w.accepted(m, reply)
	}
}

func (w *monitors) vote(id MemberID, epoch Epoch) *voteRecord {
	for i := range w.votes {
		if w.votes[i].id == id && w.votes[i].epoch == epoch {
			return &w.votes[i]
		}
	}
	w.votes = append(w.votes, voteRecord{id: id, epoch: epoch})
	return &w.votes[len(w.votes)-1]
}

// accepted notes an acceptance; two views that a majority accepted for one epoch are a failure.
func (w *monitors) accepted(m *model, reply AcceptReply) {
	node := m.nodes[memberIndex(reply.From.Address)]
	accepted := node.core.register.Accepted
	if accepted == nil || node.core.register.AcceptedBallot != reply.Ballot {
		return
	}
	record := w.acceptance(accepted, reply.Ballot)
	record.reported = withID(record.reported, reply.From.ID)
	if len(record.reported) >= majority(3) {
		w.learned(*accepted)
	}
}

// acceptedOnDisk notes what a witness's disk holds; a view that a majority has on disk under one ballot is chosen.
func (w *monitors) acceptedOnDisk(id MemberID, register Register) {
	if register.Accepted == nil {
		return
	}
	record := w.acceptance(register.Accepted, register.AcceptedBallot)
	record.onDisk = withID(record.onDisk, id)
	if len(record.onDisk) >= majority(3) {
		w.learned(*register.Accepted)
	}
}

// acceptance gives the record of a view accepted under a ballot.
func (w *monitors) acceptance(view *View, ballot Ballot) *acceptanceRecord {
	i := slices.IndexFunc(w.accepts, func(a acceptanceRecord) bool {
		return a.epoch == view.Epoch && a.ballot == ballot && a.value == view.Tag()
	})
	if i < 0 {
		w.accepts = append(w.accepts, acceptanceRecord{epoch: view.Epoch, ballot: ballot, value: view.Tag()})
		i = len(w.accepts) - 1
	}
	return &w.accepts[i]
}

// withID gives a sorted list with an id, and leaves the one it was given alone.
func withID(ids []MemberID, id MemberID) []MemberID {
	if slices.Contains(ids, id) {
		return ids
	}
	ids = append(slices.Clone(ids), id)
	slices.Sort(ids)
	return ids
}

// learnedBy checks a view that a member takes for chosen: a majority of the witnesses has it on disk, under one ballot.
func (w *monitors) learnedBy(i int, view View) {
	chosen := slices.ContainsFunc(w.accepts, func(a acceptanceRecord) bool {
		return a.epoch == view.Epoch && a.value == view.Tag() && len(a.onDisk) >= majority(3)
	})
	if !chosen {
		w.fail("m%d takes the view of epoch %d for chosen, and no majority of the witnesses has accepted it on disk", i, view.Epoch)
	}
	w.learned(view)
}

// clear checks a definite result: it reports a state that has all that earlier definite results reported, and a majority was asked after the call.
func (w *monitors) clear(m *model, call *callState, reported string) {
	if !strings.HasPrefix(reported, call.floor) {
		w.fail("%v reports %q, and before the call %q was reported", call.outcome, reported, call.floor)
	}
	if !strings.HasPrefix(reported, w.reported) && !strings.HasPrefix(w.reported, reported) {
		w.fail("%v reports %q, and %q was reported", call.outcome, reported, w.reported)
	}
	if len(reported) > len(w.reported) {
		w.reported = reported
	}
	for _, name := range w.notExecuted {
		if strings.Contains(reported, name+";") {
			w.fail("%v reports %q, and %s was reported as never started", call.outcome, reported, name)
		}
	}
	if call.outcome == Committed {
		if !strings.Contains(reported, writeName(call.token)+";") {
			reported += writeName(call.token) + ";" // acknowledged before it was applied
		}
		if len(reported) > len(w.acknowledged) {
			w.acknowledged = reported
		}
		w.acknowledgedEpoch = m.nodes[call.node].core.primaryEpoch
		return
	}
	contacted := 0
	for i := range m.nodes {
		if i == call.node || call.confirmedBy>>i&1 == 1 {
			contacted++
		}
	}
	if contacted < majority(3) {
		w.fail("%v without a majority's contact after the call", call.outcome)
	}
}

// check looks at the whole model after each step.
func (w *monitors) check(m *model) {
	w.checkCopies(m)
	w.checkJoined(m)
}

// checkCopies requires that every replica of the newest view has on disk what was acknowledged, unless its disk was lost.
func (w *monitors) checkCopies(m *model) {
	if w.acknowledged == "" || len(w.views) == 0 {
		return
	}
	newest := w.views[len(w.views)-1].view
	if newest.Epoch < w.acknowledgedEpoch {
		return
	}
	for _, member := range newest.Replicas() {
		node := m.nodes[memberIndex(member.Address)]
		if node == nil || node.disk.id != member.ID {
			continue
		}
		if content := node.disk.content(); !strings.HasPrefix(content, w.acknowledged) {
			w.fail("%s is a replica of epoch %d and has %q on disk, and %q was acknowledged", member.Address, newest.Epoch, content, w.acknowledged)
		}
	}
}

// content is the state on disk.
func (d *storedDisk) content() string {
	if d.snapshot == nil {
		return ""
	}
	content := string(d.snapshot.Data)
	for _, entry := range d.entries {
		content += string(entry.Data) + ";"
	}
	return content
}

// checkJoined requires that the replicas that take appends of one view hold prefixes of one history.
func (w *monitors) checkJoined(m *model) {
	held := map[StateTag]string{}
	for i, node := range m.nodes {
		if node == nil || !node.up {
			continue
		}
		tag := node.core.state.joined
		if node.core.isPrimary && node.core.register.View.Epoch == node.core.primaryEpoch {
			tag = node.core.register.View.Tag()
		}
		if tag == (StateTag{}) {
			continue
		}
		content := node.core.diskContent(node.machine)
		other, found := held[tag]
		if found && !strings.HasPrefix(content, other) && !strings.HasPrefix(other, content) {
			w.fail("m%d holds %q in view %v, and another replica %q", i, content, tag, other)
		}
		held[tag] = content
	}
}
