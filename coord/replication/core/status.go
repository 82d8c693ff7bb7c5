package core

import (
	"time"
)

// View is a copy of the newest view known to be chosen, nil before the first.
func (c *Core) View() *View { return c.register.View.Clone() }

// PrimaryEpoch is the epoch in which this member is primary; false if it is not.
func (c *Core) PrimaryEpoch() (Epoch, bool) { return c.primaryEpoch, c.isPrimary }

// Primary is the member that was last in contact as primary, this one included; false if that is longer ago than PrimaryTimeout. now is on the clock of Step.
func (c *Core) Primary(now time.Duration) (Member, bool) {
	if c.isPrimary {
		return c.self, true
	}
	if c.lastPrimary.ID != 0 && now-c.lastPrimaryContact < c.timing.PrimaryTimeout {
		return c.lastPrimary, true
	}
	return Member{}, false
}

// WritableMembers are the other members that reported to this one that their disk takes writes, sorted by address. Only the primary hears it of all.
func (c *Core) WritableMembers() []Member {
	var members []Member
	for _, p := range c.peers {
		if p.status.Writable {
			members = append(members, p.member)
		}
	}
	sortByAddress(members)
	return members
}

// State is what a member reports to operators of itself.
type State struct {
	Self                Member
	Relay               bool
	FailuresTolerated   int // under the view: a replica and a majority of the witnesses are left
	MaxFailures         int
	View                *View
	IsPrimary           bool
	Joined              bool
	DiskStalled         bool
	Leaving             bool
	Position            Position
	SincePrimaryContact time.Duration // since the last contact with the primary; of no meaning on the primary itself
	Members             []Member
}

// State is the member's report at a time on the clock of Step.
func (c *Core) State(now time.Duration) State {
	return State{
		Self:                c.self,
		Relay:               c.config.Relay,
		FailuresTolerated:   failuresTolerated(c.register.View),
		MaxFailures:         c.config.MaxFailures,
		View:                c.View(),
		IsPrimary:           c.isPrimary,
		Joined:              c.state.joined != StateTag{},
		DiskStalled:         c.disk.stalled,
		Leaving:             c.leaving != nil,
		Position:            c.state.position,
		SincePrimaryContact: now - c.lastPrimaryContact,
		Members:             c.Members(),
	}
}

// KnownEpoch is the epoch of the newest view known to be chosen, 0 before the first.
func (c *Core) KnownEpoch() Epoch { return c.knownEpoch() }

// PrimaryContact is the last contact with a primary, on the clock of Step. A zero Primary means that there was none yet.
type PrimaryContact struct {
	Primary Member
	At      time.Duration
}

// LastPrimaryContact is the last contact with a primary.
func (c *Core) LastPrimaryContact() PrimaryContact {
	return PrimaryContact{Primary: c.lastPrimary, At: c.lastPrimaryContact}
}
