package simulation

import (
	"fmt"
	"slices"

	"shaletrestle/coord/replication/core"
)

// monitor watches the invariants over a run. The first violation ends it.
type monitor struct {
	cluster   *cluster
	blind     bool // only the clients' history counts
	violation string
	reported  []*position // the history that definite results reported, by index
	writers   map[core.Epoch]*process
	views     map[core.Epoch]core.View
	votes     map[voteKey]vote
	proposals map[core.StateTag]*proposal
	offers    map[core.StateTag]*process
	chosen    map[core.Epoch]core.View
	newest    core.Epoch // of a primary
	grown     bool       // a view had as many replicas and witnesses as the losses need
}

// voteKey is a witness and the epoch it votes for.
type voteKey struct {
	witness core.MemberID
	epoch   core.Epoch
}

// vote is what a witness has said: its highest promise and acceptance.
type vote struct {
	promised core.Ballot
	accepted core.Ballot
}

func newMonitor(c *cluster) *monitor {
	return &monitor{
		cluster:  c,
		reported: []*position{c.history.root},
		writers:  map[core.Epoch]*process{},
		views:    map[core.Epoch]core.View{},
		votes:    map[voteKey]vote{},

		proposals: map[core.StateTag]*proposal{},
		offers:    map[core.StateTag]*process{},
		chosen:    map[core.Epoch]core.View{},
	}
}

func (m *monitor) fail(format string, values ...any) {
	if m.violation == "" && !m.blind {
		m.violation = fmt.Sprintf(format, values...)
		m.cluster.trace("VIOLATION: %s", m.violation)
	}
}

// reportedIndex is the length of the history that definite results reported.
func (m *monitor) reportedIndex() uint64 { return uint64(len(m.reported) - 1) }

// speak checks that a definite result reports the one history, and notes it.
func (m *monitor) speak(at *position, who *process, what string) {
	if at.index <= m.reportedIndex() {
		if m.reported[at.index] != at {
			m.fail("%s of %s reports entry %d by call %d, where another result reported call %d's", what, who.host, at.index, at.call, m.reported[at.index].call)
		}
		return
	}
	var added []*position
	for p := at; p.index > m.reportedIndex(); p = p.parent {
		added = append(added, p)
	}
	if last := added[len(added)-1]; last.parent != m.reported[m.reportedIndex()] {
		m.fail("%s of %s reports a history without entry %d, which a result reported", what, who.host, m.reportedIndex())
		return
	}
	slices.Reverse(added)
	m.reported = append(m.reported, added...)
}

// decides checks that a command begins in time, and once.
func (m *monitor) decides(p *process, k *call) {
	switch {
	case k.ran:
		m.fail("%s decides call %d twice", p.host, k.id)
	case k.answered:
		m.fail("%s decides call %d after it was answered", p.host, k.id)
	case p.clock() > k.deadline:
		m.fail("%s begins call %d %v after its deadline", p.host, k.id, p.clock()-k.deadline)
	case !p.primary:
		m.fail("%s decides call %d and is not primary", p.host, k.id)
	}
}

// answered checks an answer of the core.
func (m *monitor) answered(p *process, k *call, answer core.Result) {
	if !answer.Outcome.IsDefinite() {
		if answer.Outcome == core.Deposed && k.wrote != nil {
			m.fail("%s says that call %d was not begun, and it wrote an entry", p.host, k.id)
		}
		return
	}
	if answer.Outcome != core.Committed && p.clock() > k.deadline {
		m.fail("%s gives call %d a definite result after its deadline", p.host, k.id)
	}
	m.cluster.liveness.recordServed(answer.Outcome)
	switch answer.Outcome {
	case core.Committed:
		m.committed(p, k)
	case core.NoChange, core.Rejected:
		m.decidedOnly(p, k, answer.Outcome)
	case core.Current:
		m.speak(p.store.tip, p, "a read")
		m.freshEnough(p, k, p.store.tip)
		m.contacted(p, k, answer.Outcome)
	}
}

// committed checks that an acknowledged entry is where it has to be.
func (m *monitor) committed(p *process, k *call) {
	if k.wrote == nil || !p.store.tip.includes(k.wrote) {
		m.fail("%s acknowledges call %d, whose entry it does not hold", p.host, k.id)
		return
	}
	m.speak(k.wrote, p, "an acknowledgement")
	m.freshEnough(p, k, k.wrote)
	for _, member := range p.core.View().Replicas() {
		d := m.cluster.disks[member.ID]
		if d == nil || d.gone {
			continue
		}
		if !d.tip.includes(k.wrote) {
			m.fail("%s acknowledges call %d, whose entry %d is not on the disk of replica %s", p.host, k.id, k.wrote.index, member.Address)
		}
	}
}

// decidedOnly checks a rejection or a "no change".
func (m *monitor) decidedOnly(p *process, k *call, outcome core.Outcome) {
	if k.decided == nil {
		m.fail("%s answers call %d with %v, and never decided", p.host, k.id, outcome)
		return
	}
	m.speak(k.decided, p, outcome.String())
	m.freshEnough(p, k, k.decided)
	m.contacted(p, k, outcome)
	if outcome != core.Rejected {
		return
	}
	for at := k.decided; at.index > 0; at = at.parent {
		if m.commandOf(at) == k.request.command {
			m.fail("%s rejects call %d, a repeat of command %d, which was taken", p.host, k.id, k.request.command)
			return
		}
	}
}

// commandOf is the command that wrote an entry, 0 if it was a flag's.
func (m *monitor) commandOf(at *position) commandID {
	return m.cluster.calls[at.call-1].request.command
}

// freshEnough checks that a definite result reports nothing older than was reported when the call arrived.
func (m *monitor) freshEnough(p *process, k *call, at *position) {
	if at.index < k.floor {
		m.fail("%s answers call %d of entry %d, and entry %d was reported before the call", p.host, k.id, at.index, k.floor)
	}
}

// contacted checks that a majority of the witnesses has confirmed the view in a round that began after the call.
func (m *monitor) contacted(p *process, k *call, outcome core.Outcome) {
	witnesses := p.core.View().Witnesses
	near := 0
	for _, witness := range witnesses {
		if witness.ID == p.host.disk.id || p.granted[witness.ID] >= k.began {
			near++
		}
	}
	if near < len(witnesses)/2+1 {
		m.fail("%s answers call %d (%v) after %d of %d witnesses confirmed it", p.host, k.id, outcome, near, len(witnesses))
	}
}

// becamePrimary checks that one member writes in a view, and holds all that was reported.
func (m *monitor) becamePrimary(p *process, epoch core.Epoch) {
	if other, ok := m.writers[epoch]; ok && other != p {
		m.fail("%s and %s are both primary of epoch %d", other.host, p.host, epoch)
	}
	m.writers[epoch] = p
	view, known := m.views[epoch]
	if known && view.Primary.ID != p.host.disk.id {
		m.fail("%s is primary of epoch %d, and the view names %s", p.host, epoch, view.Primary.Address)
	}
	if epoch <= m.newest {
		return
	}
	m.newest = epoch
	if last := m.reported[m.reportedIndex()]; !p.host.disk.tip.includes(last) {
		m.fail("%s leads epoch %d and holds %d entries without entry %d, which a result reported", p.host, epoch, p.host.disk.tip.index, last.index)
	}
}

// left checks that a member that says it has no role left has none, in the newest view that anybody knows.
func (m *monitor) left(p *process, effect core.Left) {
	if !effect.Complete {
		return
	}
	var newest core.View
	for epoch, view := range m.views {
		if epoch > newest.Epoch {
			newest = view
		}
	}
	members := append(newest.Replicas(), newest.Witnesses...)
	if slices.ContainsFunc(members, func(member core.Member) bool { return member.ID == p.host.disk.id }) {
		m.fail("%s has left, and epoch %d names it", p.host, newest.Epoch)
	}
}

// learned checks that views are a chain, and that a view counts as chosen only once a majority of the witnesses has it on disk.
func (m *monitor) learned(view core.View) {
	if chosen, ok := m.chosen[view.Epoch]; !ok || !sameView(chosen, view) {
		m.fail("the view of epoch %d is taken for chosen, and no majority of the witnesses has accepted it on disk", view.Epoch)
	}
	losses := m.cluster.settings.Losses
	if len(view.Replicas()) > losses && len(view.Witnesses) > 2*losses {
		m.grown = true
	}
	known, ok := m.views[view.Epoch]
	if !ok {
		m.views[view.Epoch] = view
		return
	}
	if !sameView(known, view) {
		m.fail("two views of epoch %d: %v and %v", view.Epoch, known, view)
	}
}

func sameView(a, b core.View) bool {
	return a.Tag() == b.Tag() && a.Base == b.Base && sameMembers(a.Replicas(), b.Replicas()) && sameMembers(a.Witnesses, b.Witnesses)
}

func sameMembers(a, b []core.Member) bool {
	return slices.EqualFunc(a, b, func(x, y core.Member) bool { return x.ID == y.ID })
}

// checkWitnessReply checks what a witness says against all that it said before.
func (m *monitor) checkWitnessReply(p *process, message core.Message) {
	id := p.host.disk.id
	switch reply := message.(type) {
	case core.PrepareReply:
		if reply.Rejection != core.Granted {
			return
		}
		m.vote(p, voteKey{id, reply.Epoch}, reply.Ballot, reply.AcceptedBallot, false)
	case core.AcceptReply:
		if reply.Rejection != core.Granted {
			return
		}
		m.vote(p, voteKey{id, reply.Epoch}, reply.Ballot, reply.Ballot, true)
	case core.ConfirmReply:
		if reply.Rejection == core.Granted && m.votes[voteKey{id, reply.Epoch + 1}].accepted > 0 {
			m.fail("%s confirms epoch %d and has accepted the next view", p.host, reply.Epoch)
		}
	}
}

func (m *monitor) vote(p *process, key voteKey, promised, accepted core.Ballot, isAccept bool) {
	before := m.votes[key]
	if promised < before.promised {
		m.fail("%s answers ballot %x for epoch %d after it promised %x", p.host, promised, key.epoch, before.promised)
	}
	if accepted < before.accepted {
		m.fail("%s says it accepted %x for epoch %d after it accepted %x", p.host, accepted, key.epoch, before.accepted)
	}
	if isAccept {
		before.accepted = accepted
	}
	before.promised = promised
	m.votes[key] = before
}

// registerSaved checks that a register on disk never goes back.
func (m *monitor) registerSaved(d *disk, register core.Register) {
	m.recordAccepted(d, register)
	before := d.register
	was, is := epochOf(before.View), epochOf(register.View)
	if is < was {
		m.fail("the register of disk %d goes back from epoch %d to %d", d.id, was, is)
	}
	if is == was && (register.Promised < before.Promised || register.AcceptedBallot < before.AcceptedBallot) {
		m.fail("the register of disk %d takes back a promise for epoch %d", d.id, is+1)
	}
}

func epochOf(view *core.View) core.Epoch {
	if view == nil {
		return 0
	}
	return view.Epoch
}
