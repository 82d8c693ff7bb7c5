package replication

import (
	"fmt"
	"sync"
	"time"

	"shaletrestle/coord/replication/core"
)

// call is a command or a read that waits for its result.
type call struct {
	result  chan core.Result // buffered: the stepping goroutine never waits
	inspect func()           // of a read, run while the state is the confirmed one; nil: nothing to run
}

// calls are the commands and reads that wait for their results.
type calls struct {
	mu        sync.Mutex // guards all that follows
	lastToken core.Token
	pending   map[core.Token]*call
}

// add registers a call; its caller must take it when it stops waiting.
func (c *calls) add(inspect func()) (core.Token, *call) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.pending == nil {
		c.pending = map[core.Token]*call{}
	}
	c.lastToken++
	added := &call{result: make(chan core.Result, 1), inspect: inspect}
	c.pending[c.lastToken] = added
	return c.lastToken, added
}

// take removes a call; nil if nobody waits for its result any more.
func (c *calls) take(token core.Token) *call {
	c.mu.Lock()
	defer c.mu.Unlock()
	taken := c.pending[token]
	delete(c.pending, token)
	return taken
}

// finish hands a result to the call that waits for it. It is called by the stepping goroutine.
func (c *calls) finish(result core.Result) {
	taken := c.take(result.Token)
	if taken == nil {
		return
	}
	if result.Outcome == core.Current && taken.inspect != nil {
		taken.inspect()
	}
	taken.result <- result
}

// Propose makes one change. decide runs once at most, on the state as all earlier changes left it and with nothing in between, and returns the entry, nil if nothing is to be done, or the error of a rejection. It runs on the stepping goroutine and must not block; it may run after Propose has returned at its deadline.
//
// No error means that the change is synced on all replicas or was in force already. The error that decide returned is a clear rejection: a majority of the witnesses confirmed that the state it was decided on was the newest. ErrNotPrimary and ErrNotStarted mean that nothing was done; ErrNotDecided and ErrStopped that the change may be made or not.
func (m *Member) Propose(deadline time.Time, decide func() ([]byte, error)) error {
	token, waiting := m.calls.add(nil)
	command := core.Command{Token: token, Deadline: deadline.Sub(m.startedAt), Decide: decide}
	return m.await(deadline, token, waiting, command)
}

// Confirm returns nil if the state of this member was current at some moment after the call began, else one of the errors of Propose. See Read for inspecting the state.
func (m *Member) Confirm(deadline time.Time) error {
	return m.Read(deadline, nil)
}

// Read calls inspect once the state is confirmed to be current, before anything else is done with it. inspect runs on the stepping goroutine and must not block. If Read returns an error, one of those of Propose, inspect may have run or not, and what it saw must not be used.
func (m *Member) Read(deadline time.Time, inspect func()) error {
	token, waiting := m.calls.add(inspect)
	return m.await(deadline, token, waiting, core.Read{Token: token, Deadline: deadline.Sub(m.startedAt)})
}

// await queues the event of a registered call, waits for the result and unregisters the call.
func (m *Member) await(deadline time.Time, token core.Token, waiting *call, event core.Event) error {
	defer m.calls.take(token)
	timer := time.NewTimer(time.Until(deadline))
	defer timer.Stop()
	if err := m.enqueue(event, timer.C); err != nil {
		return err
	}
	select {
	case result := <-waiting.result:
		return outcomeError(result)
	case <-timer.C:
		return fmt.Errorf("%w in time", ErrNotDecided)
	case <-m.stopped:
		return ErrStopped
	}
}

// enqueue queues an event for the core. It returns ErrNotStarted if the queue was full until the deadline, or ErrStopped.
func (m *Member) enqueue(event core.Event, deadline <-chan time.Time) error {
	select {
	case m.events <- event:
		return nil
	case <-deadline:
		return ErrNotStarted
	case <-m.stopped:
		return ErrStopped
	}
}

// outcomeError is the error that a call with a result returns.
func outcomeError(result core.Result) error {
	switch result.Outcome {
	case core.Committed, core.NoChange, core.Current:
		return nil
	case core.Rejected:
		return result.Err
	case core.Deposed:
		return ErrNotPrimary
	}
	if result.Err != nil {
		return fmt.Errorf("%w: %w", ErrNotDecided, result.Err)
	}
	return ErrNotDecided
}

// Leave gives up the roles of this member. It is called once: there is one result, and a further call would wait for its deadline. It returns true once the primary has agreed that the member has none left, and false if that was not reached by the deadline or the member was stopped. The member goes on until the context of Run ends; a member that has left takes no role again.
func (m *Member) Leave(deadline time.Time) (complete bool) {
	timer := time.NewTimer(time.Until(deadline))
	defer timer.Stop()
	if m.enqueue(core.Leave{Deadline: deadline.Sub(m.startedAt)}, timer.C) != nil {
		return false
	}
	select {
	case left := <-m.left:
		return left.Complete
	case <-timer.C:
		return false
	case <-m.stopped:
		return false
	}
}
