package core

import (
	"slices"
)

// enqueueCommand queues a command.
func (c *Core) enqueueCommand(command Command) {
	if !c.isPrimary || c.leaving != nil && c.leaving.handingOver {
		c.sendResult(command.Token, Deposed, nil)
		return
	}
	if len(c.commands) >= c.limits.MaxPending {
		c.sendResult(command.Token, Indeterminate, ErrTooManyPending)
		return
	}
	c.commands = append(c.commands, command)
}

func (c *Core) sendResult(token Token, outcome Outcome, err error) {
	c.emit(Result{Token: token, Outcome: outcome, Err: err})
}

// startCommands starts the first commands of the queue, until one has an entry to write.
func (c *Core) startCommands() {
	for c.mayStartCommand() {
		view := c.register.View
		if c.viewChangesForCommand < c.targetWitnesses() && c.canImprove(view) {
			// Invariant: a committed entry tolerates as many failures as can be had: available replicas and witnesses that the view lacks come first.
			c.viewChangesForCommand++
			c.startViewChange(view)
			return
		}
		c.viewChangesForCommand = 0
		command := c.commands[0]
		c.commands = c.commands[1:]
		c.startCommand(command)
	}
}

func (c *Core) mayStartCommand() bool {
	c.expireCommands()
	if len(c.commands) == 0 || !c.isPrimary || c.change != nil || c.write != nil {
		return false
	}
	return !c.confirm.required && !c.disk.changesState() && !c.disk.stalled && !c.state.logBroken
}

// expireCommands ends the commands that did not start in time.
//
// Invariant: a command whose deadline has passed never starts.
func (c *Core) expireCommands() {
	c.commands = slices.DeleteFunc(c.commands, func(command Command) bool {
		late := c.now > command.Deadline
		if late {
			c.sendResult(command.Token, Indeterminate, ErrDeadlineExceeded)
		}
		return late
	})
}

// startCommand runs Decide and writes the entry, if there is one.
func (c *Core) startCommand(command Command) {
	data, err := command.Decide()
	if err != nil {
		c.finishAfterRound(pendingCall{token: command.Token, deadline: command.Deadline, outcome: Rejected, err: err})
		return
	}
	if data == nil {
		c.finishAfterRound(pendingCall{token: command.Token, deadline: command.Deadline, outcome: NoChange})
		return
	}
	view := c.register.View
	entry := Entry{
		Index:    c.state.position.Index + 1,
		Epoch:    view.Epoch,
		Ballot:   view.Ballot,
		Previous: c.state.position.Digest,
		Data:     data,
	}
	c.write = &pendingWrite{command: command, entry: entry, startedAt: c.now}
	c.appendEntry(diskJob{kind: ownAppendJob, entry: entry})
	c.sendAppends()
}

// failPendingCalls ends all calls of a member that is no longer primary: Indeterminate if an entry is written, else Deposed.
func (c *Core) failPendingCalls() {
	if c.write != nil && !c.write.resultSent {
		c.sendResult(c.write.command.Token, Indeterminate, nil)
	}
	c.write = nil
	for _, command := range c.commands {
		c.sendResult(command.Token, Deposed, nil)
	}
	c.commands = nil
	c.viewChangesForCommand = 0
	for _, waiting := range c.confirm.takeAll() {
		c.sendResult(waiting.token, Deposed, nil)
	}
	c.confirm.reset()
}
