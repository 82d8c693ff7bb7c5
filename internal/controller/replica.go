package controller

import (
	"time"

	"shaletrestle/coord/replication"
	"shaletrestle/coord/replication/core"
	"shaletrestle/coord/rpc"
)

// replica is this process's part in the replicated control state.
type replica interface {
	// Propose makes one change; decide runs with nothing else in between and gives the entry, or nil if the state
	// is as wanted already. Nil means that the change is committed or in force, an error of decide's that this
	// refusal was confirmed; errkind.NotHere that this member is not the primary, errkind.Unready that nothing is clear.
	Propose(deadline time.Time, decide func() ([]byte, error)) error
	// Read calls look once a majority of the witnesses has said, after this call, that this member is primary.
	Read(deadline time.Time, look func()) error
	// Primary is the member in office by the newest view known here, if it was heard from within the last moments.
	Primary() (rpc.Member, bool)
	// Leave gives up the roles that this member has; it tells whether others have all of them.
	Leave(deadline time.Time) (complete bool)
	Run()
	Handle(channel *rpc.Channel, message *rpc.Message) bool
	Self() rpc.Member
	Members() []rpc.Member
	Witnesses() []rpc.Member
	View() *core.View
	PrimaryEpoch() (epoch uint64, active bool)
	State() replication.State
}

// primaryQuiet is the silence after which nobody is sent to the primary any more: one heartbeat missed, another late.
const primaryQuiet = 400 * time.Millisecond

// currentMember is a member that names a primary only if the newest view does and it was heard a moment ago.
type currentMember struct{ *replication.Member }

func (m currentMember) Primary() (rpc.Member, bool) {
	seat, heard := m.Member.Primary()
	view := m.Member.View()
	if !heard || view == nil || uint64(view.Primary.ID) != seat.ID {
		return rpc.Member{}, false
	}
	if seat.ID == m.Member.Self().ID {
		_, active := m.Member.PrimaryEpoch()
		return seat, active
	}
	return seat, m.Member.SincePrimaryContact() < primaryQuiet
}
