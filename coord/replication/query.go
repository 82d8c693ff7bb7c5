package replication

import (
	"time"

	"shaletrestle/coord/replication/core"
	"shaletrestle/coord/rpc"
)

// Self returns this member.
func (m *Member) Self() rpc.Member { return rpcMember(m.self) }

// View returns the newest view known to be chosen, nil before the first. It must not be changed.
func (m *Member) View() *core.View { return m.status.Load().view }

// Witnesses returns those of the newest view known to be chosen, none before the first.
func (m *Member) Witnesses() []rpc.Member {
	view := m.View()
	if view == nil {
		return nil
	}
	return rpcMembers(view.Witnesses)
}

// PrimaryEpoch reports whether this member is primary, and of which epoch. It may be deposed already without knowing: only Confirm excludes that.
func (m *Member) PrimaryEpoch() (epoch uint64, isPrimary bool) {
	s := m.status.Load()
	return uint64(s.epoch), s.isPrimary
}

// Primary returns the member that last made itself known as primary; false if that is core.Timing.PrimaryTimeout ago or more.
func (m *Member) Primary() (rpc.Member, bool) {
	s := m.status.Load()
	if s.isPrimary {
		return m.Self(), true
	}
	if s.primary.ID != 0 && m.now()-s.contactAt < m.timing.PrimaryTimeout {
		return rpcMember(s.primary), true
	}
	return rpc.Member{}, false
}

// SincePrimaryContact returns the time since this member last received anything from the primary; since its start if there was no contact yet, and zero on the primary itself.
func (m *Member) SincePrimaryContact() time.Duration {
	s := m.status.Load()
	if s.isPrimary {
		return 0
	}
	return m.now() - s.contactAt
}

// Members returns all members known, this one too.
func (m *Member) Members() []rpc.Member {
	m.mu.Lock()
	defer m.mu.Unlock()
	return rpcMembers(m.core.Members())
}

// WritableMembers returns the other members that reported to this one that their disk takes writes; the primary hears it of all.
func (m *Member) WritableMembers() []rpc.Member {
	m.mu.Lock()
	defer m.mu.Unlock()
	return rpcMembers(m.core.WritableMembers())
}

// State is what a member knows, as its state page shows it.
type State struct {
	Self                  MemberState   `json:"self"`
	Relay                 bool          `json:"relay"`
	FailuresTolerated     int           `json:"losses_borne"` // by the view: replicas left and a majority of witnesses
	MaxFailures           int           `json:"losses_wanted"`
	View                  *ViewState    `json:"view"`
	IsPrimary             bool          `json:"active"`
	Joined                bool          `json:"joined"`
	DiskStalled           bool          `json:"stalled"`
	Leaving               bool          `json:"leaving"`
	Index                 uint64        `json:"index"` // of the last entry of this member's state
	SincePrimaryContactMs int64         `json:"heard_ago_ms"`
	Members               []MemberState `json:"members"`
}

// MemberState is a member on the state page.
type MemberState struct {
	ID      uint64 `json:"id"`
	Address string `json:"address"`
	Zone    string `json:"zone"`
}

// ViewState is a view on the state page.
type ViewState struct {
	Epoch     uint64        `json:"epoch"`
	Ballot    uint64        `json:"ballot"`
	Primary   MemberState   `json:"primary"`
	Backups   []MemberState `json:"backups"`
	Witnesses []MemberState `json:"witnesses"`
}

// State returns what this member knows.
func (m *Member) State() State {
	m.mu.Lock()
	s := m.core.State(m.now())
	m.mu.Unlock()
	return State{
		Self:                  memberState(s.Self),
		Relay:                 s.Relay,
		FailuresTolerated:     s.FailuresTolerated,
		MaxFailures:           s.MaxFailures,
		View:                  viewState(s.View),
		IsPrimary:             s.IsPrimary,
		Joined:                s.Joined,
		DiskStalled:           s.DiskStalled,
		Leaving:               s.Leaving,
		Index:                 uint64(s.Position.Index),
		SincePrimaryContactMs: int64(s.SincePrimaryContact / time.Millisecond),
		Members:               memberStates(s.Members),
	}
}

func memberState(member core.Member) MemberState {
	return MemberState{ID: uint64(member.ID), Address: member.Address, Zone: member.Zone}
}

func memberStates(members []core.Member) []MemberState {
	out := make([]MemberState, len(members))
	for i, member := range members {
		out[i] = memberState(member)
	}
	return out
}

func viewState(view *core.View) *ViewState {
	if view == nil {
		return nil
	}
	return &ViewState{
		Epoch:     uint64(view.Epoch),
		Ballot:    uint64(view.Ballot),
		Primary:   memberState(view.Primary),
		Backups:   memberStates(view.Backups),
		Witnesses: memberStates(view.Witnesses),
	}
}
