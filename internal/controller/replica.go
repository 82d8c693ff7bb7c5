package controller

import (
	"time"

	"shaletrestle/coord/replication"
	"shaletrestle/coord/rpc"
	"shaletrestle/internal/clock"
	"shaletrestle/internal/errkind"
	"shaletrestle/internal/task"
)

// replica is this process's part in the replicated control state.
type replica interface {
	// Propose makes one change; decide runs with nothing else in between and gives the entry, or nil if the state
	// is as wanted already. Nil means that the change is committed or in force, an error of decide's that this
	// refusal was confirmed; errkind.NotHere that this member is not the primary, errkind.Unready that nothing is clear.
	Propose(deadline time.Time, decide func() ([]byte, error)) error
	// Read calls look; nil says that the state was the newest at that moment, by the word of a majority of the
	// witnesses since the call. Else what look saw must not be used.
	Read(deadline time.Time, look func()) error
	// Primary is the member in office by the newest view known here, if it was heard from within the last moments.
	Primary() (rpc.Seat, bool)
	// Leave hands over what this member holds.
	Leave()
	Run()
	Handle(message *rpc.Note) (*rpc.Note, bool)
	Self() rpc.Seat
	Members() []rpc.Seat
	Chart() *rpc.Chart
	Active() (epoch uint64, active bool)
	State() replication.State
}

// primaryQuiet is the silence after which nobody is sent to the primary any more: one heartbeat missed, another late.
const primaryQuiet = 400 * time.Millisecond

// boundedMember gives a member's calls deadlines.
type boundedMember struct {
	*replication.Member
	scope *task.Scope
}

func (m *boundedMember) Propose(deadline time.Time, decide func() ([]byte, error)) error {
	inTime := func() ([]byte, error) {
		if !clock.Now().Before(deadline) { // the caller has its answer: the order must not begin now
			return nil, errkind.New(errkind.Unready, "its time is over")
		}
		return decide()
	}
	return m.within(deadline, func() error { return m.Member.Propose(inTime) })
}

func (m *boundedMember) Read(deadline time.Time, look func()) error {
	return m.within(deadline, func() error {
		before, active := m.Member.Active()
		if !active {
			return errkind.New(errkind.NotHere, "not the primary")
		}
		look()
		confirmed := m.Member.Confirmed()
		after, active := m.Member.Active()
		if !confirmed || !active || before != after {
			return errkind.New(errkind.Unready, "the witnesses do not confirm")
		}
		return nil
	})
}

// within waits for work's result until the deadline; past it the result is unclear.
func (m *boundedMember) within(deadline time.Time, work func() error) error {
	done := make(chan error, 1)
	go func() { done <- work() }()
	timer := clock.NewTimer(clock.Until(deadline))
	defer timer.Stop()
	select {
	case err := <-done:
		return err
	case <-timer.C:
		return errkind.New(errkind.Unready, "not decided yet")
	case <-m.scope.Done():
		return errkind.New(errkind.Unready, "ending")
	}
}

func (m *boundedMember) Primary() (rpc.Seat, bool) {
	seat, heard := m.Member.Primary()
	view := m.Member.Chart()
	if !heard || view == nil || view.Primary.ID != seat.ID {
		return rpc.Seat{}, false
	}
	_, active := m.Member.Active()
	if seat.ID == m.Member.Self().ID {
		return seat, active
	}
	quiet := clock.Span(m.Member.State().BeatAgoMs) * time.Millisecond
	return seat, quiet < primaryQuiet
}
