package replication

import (
	"fmt"
	"sync"
	"time"

	"shaletrestle/coord/replication/core"
)

// call is a command or a read that waits for its answer.
type call struct {
	result chan core.Result
	read   func() // of a read; it runs while the state is the confirmed one
}

// calls are the commands and reads that wait.
type calls struct {
	mu        sync.Mutex
	lastToken core.Token
	pending   map[core.Token]*call
}

func (c *calls) add(look func()) (core.Token, *call) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.pending == nil {
		c.pending = map[core.Token]*call{}
	}
	c.lastToken++
	added := &call{result: make(chan core.Result, 1), read: look}
	c.pending[c.lastToken] = added
	return c.lastToken, added
}

// take removes a call; nil if nobody waits for its answer any more.
func (c *calls) take(token core.Token) *call {
	c.mu.Lock()
	defer c.mu.Unlock()
	taken := c.pending[token]
	delete(c.pending, token)
	return taken
}

// answer is called by the stepping goroutine.
func (c *calls) answer(answer core.Result) {
	taken := c.take(answer.Token)
	if taken == nil {
		return
	}
	if answer.Outcome == core.Current && taken.read != nil {
		taken.read()
	}
	taken.result <- answer
}

// Propose makes one change. decide runs with nothing else in between, on the state as all earlier commands left it, and gives the entry, nil if nothing is to be done, or the error of a refusal; it must not wait.
//
// No error means that the change is synced on all replicas or was in force already. The error that decide gave is a clear refusal: a majority of the witnesses confirmed that the state it was decided on was the newest. ErrNotPrimary and ErrNotStarted mean that nothing was begun; ErrNotDecided and ErrStopped that the change may be made or not.
func (m *Member) Propose(deadline time.Time, decide func() ([]byte, error)) error {
	token, waiting := m.calls.add(nil)
	order := core.Command{Token: token, Deadline: deadline.Sub(m.startedAt), Decide: decide}
	return m.await(deadline, token, waiting, order)
}

// Confirm tells whether the state of this member was current at some moment after the call began: no error means that it was. See Read for looking at the state.
func (m *Member) Confirm(deadline time.Time) error {
	return m.Read(deadline, nil)
}

// Read calls look once the state is confirmed to be current, and before anything else is done with it. look must not wait.
func (m *Member) Read(deadline time.Time, look func()) error {
	token, waiting := m.calls.add(look)
	return m.await(deadline, token, waiting, core.Read{Token: token, Deadline: deadline.Sub(m.startedAt)})
}

// await gives the event to the core and waits for the answer.
func (m *Member) await(deadline time.Time, token core.Token, waiting *call, event core.Event) error {
	defer m.calls.take(token)
	timer := time.NewTimer(time.Until(deadline))
	defer timer.Stop()
	select {
	case m.events <- event:
	case <-timer.C:
		return ErrNotStarted
	case <-m.stopped:
		return ErrStopped
	}
	select {
	case answer := <-waiting.result:
		return outcomeError(answer)
	case <-timer.C:
		return fmt.Errorf("%w in time", ErrNotDecided)
	case <-m.stopped:
		return ErrStopped
	}
}

// outcomeError says how a call ended.
func outcomeError(answer core.Result) error {
	switch answer.Outcome {
	case core.Committed, core.NoChange, core.Current:
		return nil
	case core.Rejected:
		return answer.Err
	case core.Deposed:
		return ErrNotPrimary
	}
	if answer.Err != nil {
		return fmt.Errorf("%w: %w", ErrNotDecided, answer.Err)
	}
	return ErrNotDecided
}

// Leave gives up the roles of this member: by agreement, once a view is chosen in which others have them, or not complete as the deadline comes near. The member goes on until its scope ends.
func (m *Member) Leave(deadline time.Time) (complete bool) {
	timer := time.NewTimer(time.Until(deadline))
	defer timer.Stop()
	select {
	case m.events <- core.Leave{Deadline: deadline.Sub(m.startedAt)}:
	case <-timer.C:
		return false
	case <-m.stopped:
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
