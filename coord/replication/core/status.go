package core

import (
	"time"
)

// View is the newest view known to be chosen, nil before the first.
func (c *Core) View() *View { return c.register.View.Clone() }

// Active tells whether this member is primary, and of which epoch.
func (c *Core) PrimaryEpoch() (Epoch, bool) { return c.primaryEpoch, c.isPrimary }

// Primary is the member that was last heard to be primary, if it was heard lately.
func (c *Core) Primary(now time.Duration) (Member, bool) {
	if c.isPrimary {
		return c.self, true
	}
	if c.lastPrimary.ID != 0 && now-c.lastPrimaryContact < c.timing.PrimaryTimeout {
		return c.lastPrimary, true
	}
	return Member{}, false
}

// State is what a member tells operators of itself.
type State struct {
	Self                Member
	Relay               bool
	FailuresTolerated   int // by the view: copies left and a majority of witnesses
	MaxFailures         int
	View                *View
	IsPrimary           bool
	Joined              bool
	DiskStalled         bool
	Leaving             bool
	Position            Position
	SincePrimaryContact time.Duration // since the primary was heard
	Members             []Member
}

// State tells what this member knows.
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

// PrimaryContact says when a primary was last in contact, on the clock of Step. The zero contact is "none yet".
type PrimaryContact struct {
	Primary Member
	At      time.Duration
}

// LastPrimaryContact is the member last heard to be primary, and when.
func (c *Core) LastPrimaryContact() PrimaryContact {
	return PrimaryContact{Primary: c.lastPrimary, At: c.lastPrimaryContact}
}
