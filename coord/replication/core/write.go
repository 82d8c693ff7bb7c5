package core

import (
	"log/slog"
	"slices"
	"time"
)

// write is the order under way. Orders run one at a time, so each one is decided on the state that all earlier ones left.
type pendingWrite struct {
	command      Command
	entry        Entry
	resultSent   bool // unclear, at its deadline; the write itself goes on
	synced       bool // of this member
	ackedBackups []MemberID
	startedAt    time.Duration
	sentAt       time.Duration
	rejected     bool // by a backup: a new view is needed
	carried      bool // it goes into the next view with the state
}

// takeOrder queues an order.
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

// runOrders begins orders as long as they end at once.
func (c *Core) startCommands() {
	for c.mayStartCommand() {
		view := c.register.View
		if c.viewChangesForCommand < c.targetWitnesses() && c.canImprove(view) {
			// Invariant: what is acknowledged is borne as well as can be: the copies and witnesses that are to be had come first.
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

// expireOrders gives up the orders that did not begin in time.
//
// Invariant: an order whose deadline has passed never begins.
func (c *Core) expireCommands() {
	c.commands = slices.DeleteFunc(c.commands, func(command Command) bool {
		late := c.now > command.Deadline
		if late {
			c.sendResult(command.Token, Indeterminate, ErrDeadlineExceeded)
		}
		return late
	})
}

// beginOrder decides an order and writes its entry.
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

func (c *Core) sendAppends() {
	c.write.sentAt = c.now
	for _, backup := range c.register.View.Backups {
		if !slices.Contains(c.write.ackedBackups, backup.ID) {
			c.send(Append{Envelope: c.envelopeTo(backup), Entry: c.write.entry})
		}
	}
}

// ownAppendDone notes that an entry of this primary's own is on its disk, or not.
func (c *Core) ownAppendDone(job diskJob, err error) {
	if err != nil {
		c.state.logBroken = true
		c.stepDownForDisk()
		return
	}
	c.state.add(job.entry, c.limits.EntryCacheBytes)
	c.state.logBytes += len(job.entry.Data)
	if c.write != nil && c.write.entry.Position() == job.entry.Position() {
		c.write.synced = true
		c.considerCommit()
	}
	if c.write != nil && c.write.rejected {
		c.replaceMissingBackup()
	}
}

// onAppendReply counts a backup, or makes a new view without one that can't take the entry. One view is chosen for an epoch and only its primary appends, so the epoch names the ballot too.
func (c *Core) onAppendReply(m AppendReply) {
	c.learn(m.View)
	w := c.write
	if w == nil || w.carried || m.Epoch != w.entry.Epoch || m.Index != w.entry.Index {
		return
	}
	i := indexOf(c.register.View.Backups, m.From.ID)
	if i < 0 && m.Rejection != WrongDisk || m.Rejection == Busy {
		return
	}
	if m.Rejection != Granted {
		c.log(slog.LevelInfo, "backup rejected append", slog.String("backup", m.From.Address), slog.String("reason", m.Rejection.String()))
		w.rejected = true
		c.replaceMissingBackup()
		return
	}
	if m.DiskPosition == w.entry.Position() && !slices.Contains(w.ackedBackups, m.From.ID) {
		w.ackedBackups = append(w.ackedBackups, m.From.ID)
	}
	c.considerCommit()
}

// considerCommit ends the order once all copies have its entry on disk.
//
// Invariant: an acknowledged entry is synced on every copy of its view. No view is made with fewer copies than fewestCopies, so with losses to bear the primary never acknowledges alone.
func (c *Core) considerCommit() {
	w := c.write
	if w == nil || w.carried || !w.synced {
		return
	}
	if len(w.ackedBackups) < len(c.register.View.Backups) {
		return
	}
	c.commit()
}

func (c *Core) commit() {
	w := c.write
	c.write = nil
	c.applyTail()
	if !w.resultSent {
		c.sendResult(w.command.Token, Committed, nil)
	}
	c.compactLog()
}

// commitCarried ends the order whose entry went into the new view with the state.
func (c *Core) commitCarried() {
	if c.write != nil {
		c.commit()
	}
}

// tickWrite makes a new view without a backup that does not answer in time.
func (c *Core) tickWrite() {
	w := c.write
	if w == nil || w.carried {
		return
	}
	if c.now-w.startedAt >= c.backupTimeout() && w.synced {
		for _, backup := range c.register.View.Backups {
			p := c.peer(backup.ID)
			if p != nil && !slices.Contains(w.ackedBackups, backup.ID) {
				p.missedWrite = true
			}
		}
		c.replaceMissingBackup()
		return
	}
	if c.now-w.sentAt >= c.timing.ResendInterval+c.transmissionTime() {
		c.sendAppends()
	}
}

// writePatience is the wait for the backups: the answer's, and what that many bytes take on a link.
func (c *Core) backupTimeout() time.Duration {
	return c.timing.ReplyTimeout + c.transmissionTime()
}

// writeBytesTime is what the bytes of the entry take to all backups over one link. An entry is not sent again before: it would only wait behind itself.
func (c *Core) transmissionTime() time.Duration {
	bytes := len(c.write.entry.Data) * len(c.register.View.Backups)
	return time.Duration(bytes) * time.Second / linkBytesPerSecond
}

// linkBytes are the bytes a second that a message may count on: a link of 100 Mbit/s less a third.
const linkBytesPerSecond = 8 << 20

// backupMissing makes a new view, into which the entry goes.
func (c *Core) replaceMissingBackup() {
	if !c.write.synced { // its own disk comes first: what it writes must be known before the state is given
		return
	}
	if c.change == nil && c.isPrimary {
		c.write.carried = true
		c.startViewChange(c.register.View)
	}
}

// answerAllDeposed ends all calls of a member that is no longer primary: unclear if something was begun, else known not to be done.
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

// onAppend takes the next entry of the view that was joined.
//
// Invariant: the index and the digest of what precedes an entry are compared, so that a gap, a repeat and a fork are three different answers and none of them changes what is held.
func (c *Core) onAppend(m Append) {
	reply := AppendReply{Envelope: c.replyTo(m), Epoch: m.Entry.Epoch, Ballot: m.Entry.Ballot, Index: m.Entry.Index}
	reply.Rejection, reply.DiskPosition = c.checkAppend(m.Entry)
	if reply.Rejection != Granted || reply.DiskPosition.Index >= m.Entry.Index {
		reply.View = c.viewNewerThan(m.Entry.Epoch)
		c.send(reply)
		return
	}
	reply.DiskPosition = m.Entry.Position()
	c.appendEntry(diskJob{kind: backupAppendJob, entry: m.Entry, reply: reply})
}

// checkAppend tells whether an entry is the next one. Granted with a position at or past the entry means that it is on disk already: the position is the entry's.
func (c *Core) checkAppend(entry Entry) (Rejection, Position) {
	held := c.state.position
	switch {
	case c.state.joined == StateTag{} || c.state.joined != entry.Tag():
		return NotJoined, held
	case c.disk.stalled:
		return Unavailable, held
	case entry.Index <= held.Index:
		return c.checkRepeat(entry)
	case c.disk.changesState():
		return Busy, held
	case c.state.logBroken:
		return DiskFailed, held
	case entry.Index > held.Index+1:
		return MissingEntries, held
	case !entry.Follows(held):
		return DivergedHistory, held
	}
	return Granted, held
}

// checkRepeat acknowledges an entry again that is on disk.
func (c *Core) checkRepeat(entry Entry) (Rejection, Position) {
	position := entry.Position()
	if position == c.state.position {
		return Granted, position
	}
	for _, other := range c.state.cachedEntries {
		if other.Index != entry.Index {
			continue
		}
		if other.Position() == position {
			return Granted, position
		}
		return DivergedHistory, c.state.position
	}
	return DuplicateEntry, c.state.position
}

// backupAppendDone acknowledges an entry that is on disk.
func (c *Core) backupAppendDone(job diskJob, err error) {
	reply := job.reply
	if err != nil {
		c.state.logBroken = true
		c.state.joined = StateTag{} // what the disk holds is in doubt: the state must be given again
		reply.Rejection = DiskFailed
		reply.DiskPosition = c.state.position
		c.send(reply)
		return
	}
	c.state.add(job.entry, c.limits.EntryCacheBytes)
	c.state.logBytes += len(job.entry.Data)
	c.applyTail()
	c.compactLog()
	if c.state.joined != job.entry.Tag() {
		reply.Rejection = NotJoined
	}
	c.send(reply)
}
