package core

import "time"

// Core is one member's part of the protocol. It is not safe for concurrent use: one driver steps it.
type Core struct {
	config Config
}

// New makes a core from what its disk held. It gives an error (ErrDamaged) if that is no whole state; the store then has to start over as an empty disk with a new identity.
func New(config Config, stored Stored) (*Core, error) {
	return &Core{config: config}, nil
}

// Step handles one event. now is a steady clock since the process started that never goes back.
func (c *Core) Step(now time.Duration, event Event) []Effect {
	return nil
}

// View is the newest view known to be chosen, nil before the first.
func (c *Core) View() *View { return nil }

// Active tells whether this member is primary, and of which epoch.
func (c *Core) Active() (Epoch, bool) { return 0, false }

// Primary is the member that was last heard to be primary, if it was heard lately.
func (c *Core) Primary(now time.Duration) (Member, bool) { return Member{}, false }

// Members are all members known, this one too, sorted by address.
func (c *Core) Members() []Member { return nil }

// State is what a member tells operators of itself.
type State struct {
	Self         Member
	Relay        bool
	LossesBorne  int // by the view: copies left and a majority of witnesses
	LossesWanted int
	View         *View
	Active       bool
	Joined       bool
	Stalled      bool
	Leaving      bool
	Position     Position
	LastHeard    time.Duration // since the primary was heard
	Members      []Member
}

// State tells what this member knows.
func (c *Core) State(now time.Duration) State { return State{} }
