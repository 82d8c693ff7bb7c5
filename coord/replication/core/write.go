package core

import (
	"log/slog"
	"slices"
	"time"

	"shaletrestle/coord/replication/core/internal/mutation"
)

// write is the order under way. Orders run one at a time, so each one is decided on the state that all earlier ones left.
type write struct {
	order    Command
	entry    Entry
	answered bool // unclear, at its deadline; the write itself goes on
	onDisk   bool // of this member
	backups  []MemberID
	begun    time.Duration
	sentAt   time.Duration
	refused  bool // by a backup: a new view is needed
	carried  bool // it goes into the next view with the state
}

// takeOrder queues an order.
func (c *Core) takeOrder(order Command) {
	if !c.active || c.leaving != nil && c.leaving.handingOver {
		c.answer(order.Token, Deposed, nil)
		return
	}
	if len(c.orders) >= c.limits.MaxPending {
		c.answer(order.Token, Indeterminate, ErrTooManyPending)
		return
	}
	c.orders = append(c.orders, order)
}

func (c *Core) answer(token Token, outcome Outcome, err error) {
	c.emit(Result{Token: token, Outcome: outcome, Err: err})
}

// runOrders begins orders as long as they end at once.
func (c *Core) runOrders() {
	for c.mayBeginOrder() {
		view := c.register.View
		if c.widened < c.witnessesWanted() && c.short(view) {
			// Invariant: what is acknowledged is borne as well as can be: the copies and witnesses that are to be had come first.
			c.widened++
			c.startViewChange(view)
			return
		}
		c.widened = 0
		order := c.orders[0]
		c.orders = c.orders[1:]
		c.beginOrder(order)
	}
}

func (c *Core) mayBeginOrder() bool {
	c.expireOrders()
	if len(c.orders) == 0 || !c.active || c.change != nil || c.write != nil {
		return false
	}
	return !c.confirm.doubted && !c.disk.changesState() && !c.disk.stalled && !c.state.broken
}

// expireOrders gives up the orders that did not begin in time.
//
// Invariant: an order whose deadline has passed never begins.
func (c *Core) expireOrders() {
	c.orders = slices.DeleteFunc(c.orders, func(order Command) bool {
		late := c.now > order.Deadline
		if late {
			c.answer(order.Token, Indeterminate, ErrDeadlineExceeded)
		}
		return late
	})
}

// beginOrder decides an order and writes its entry.
func (c *Core) beginOrder(order Command) {
	data, err := order.Decide()
	if err != nil {
		c.confirmBefore(call{token: order.Token, deadline: order.Deadline, outcome: Rejected, err: err}, c.mutation == mutation.SkipConfirmOnRefusal)
		return
	}
	if data == nil {
		c.confirmBefore(call{token: order.Token, deadline: order.Deadline, outcome: NoChange}, c.mutation == mutation.SkipConfirmOnRefusal)
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
	c.write = &write{order: order, entry: entry, begun: c.now}
	c.appendEntry(diskJob{kind: ownAppendJob, entry: entry})
	c.sendAppends()
	if c.mutation == mutation.AnswerBeforeBackups {
		c.answer(order.Token, Committed, nil)
		c.write.answered = true
	}
}

func (c *Core) sendAppends() {
	c.write.sentAt = c.now
	for _, backup := range c.register.View.Backups {
		if !slices.Contains(c.write.backups, backup.ID) {
			c.send(Append{Envelope: c.to(backup), Entry: c.write.entry})
		}
	}
}

// ownAppendDone notes that an entry of this primary's own is on its disk, or not.
func (c *Core) ownAppendDone(job diskJob, err error) {
	if err != nil {
		c.state.broken = true
		c.ownDiskFailed()
		return
	}
	c.state.add(job.entry, c.limits.EntryCacheBytes)
	c.state.logBytes += len(job.entry.Data)
	if c.write != nil && c.write.entry.Position() == job.entry.Position() {
		c.write.onDisk = true
		c.considerCommit()
	}
	if c.write != nil && c.write.refused {
		c.backupMissing()
	}
}

// onAppendReply counts a backup, or makes a new view without one that can't take the entry.
func (c *Core) onAppendReply(m AppendReply) {
	c.learn(m.View)
	w := c.write
	if w == nil || w.carried || m.Epoch != w.entry.Epoch || m.Ballot != w.entry.Ballot || m.Index != w.entry.Index {
		return
	}
	i := indexOf(c.register.View.Backups, m.From.ID)
	if i < 0 && m.Rejection != WrongDisk || m.Rejection == Busy {
		return
	}
	if m.Rejection != Granted {
		c.log(slog.LevelInfo, "a backup takes no entry", slog.String("backup", m.From.Address), slog.String("reason", m.Rejection.String()))
		w.refused = true
		c.backupMissing()
		return
	}
	if m.DiskPosition == w.entry.Position() && !slices.Contains(w.backups, m.From.ID) {
		w.backups = append(w.backups, m.From.ID)
	}
	c.considerCommit()
}

// considerCommit ends the order once all copies have its entry on disk.
//
// Invariant: an acknowledged entry is synced on every copy of its view. No view is made with fewer copies than fewestCopies, so with losses to bear the primary never acknowledges alone.
func (c *Core) considerCommit() {
	w := c.write
	if w == nil || w.carried || !w.onDisk && c.mutation != mutation.SkipSync {
		return
	}
	if len(w.backups) < len(c.register.View.Backups) {
		return
	}
	c.commit()
}

func (c *Core) commit() {
	w := c.write
	c.write = nil
	c.applyTail()
	if !w.answered {
		c.answer(w.order.Token, Committed, nil)
	}
	c.trim()
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
	if c.now-w.begun >= c.writePatience() && w.onDisk {
		for _, backup := range c.register.View.Backups {
			p := c.peer(backup.ID)
			if p != nil && !slices.Contains(w.backups, backup.ID) {
				p.missed = true
			}
		}
		c.backupMissing()
		return
	}
	if c.now-w.sentAt >= c.timing.ResendInterval+c.writeBytesTime() {
		c.sendAppends()
	}
}

// writePatience is the wait for the backups: the answer's, and what that many bytes take on a link.
func (c *Core) writePatience() time.Duration {
	return c.timing.ReplyTimeout + c.writeBytesTime()
}

// writeBytesTime is what the bytes of the entry take to all backups over one link. An entry is not sent again before: it would only wait behind itself.
func (c *Core) writeBytesTime() time.Duration {
	bytes := len(c.write.entry.Data) * len(c.register.View.Backups)
	return time.Duration(bytes) * time.Second / linkBytes
}

// linkBytes are the bytes a second that a message may count on: a link of 100 Mbit/s less a third.
const linkBytes = 8 << 20

// backupMissing makes a new view, into which the entry goes.
func (c *Core) backupMissing() {
	if !c.write.onDisk { // its own disk comes first: what it writes must be known before the state is given
		return
	}
	if c.change == nil && c.active {
		c.write.carried = true
		c.startViewChange(c.register.View)
	}
}

// answerAllDeposed ends all calls of a member that is no longer primary: unclear if something was begun, else known not to be done.
func (c *Core) answerAllDeposed() {
	if c.write != nil && !c.write.answered {
		c.answer(c.write.order.Token, Indeterminate, nil)
	}
	c.write = nil
	for _, order := range c.orders {
		c.answer(order.Token, Deposed, nil)
	}
	c.orders = nil
	c.widened = 0
	for _, waiting := range c.confirm.takeAll() {
		c.answer(waiting.token, Deposed, nil)
	}
	c.confirm.reset()
}

// onAppend takes the next entry of the view that was joined.
//
// Invariant: the index and the digest of what precedes an entry are compared, so that a gap, a repeat and a fork are three different answers and none of them changes what is held.
func (c *Core) onAppend(m Append) {
	reply := AppendReply{Envelope: c.back(m), Epoch: m.Entry.Epoch, Ballot: m.Entry.Ballot, Index: m.Entry.Index}
	reply.Rejection, reply.DiskPosition = c.checkAppend(m.Entry)
	if reply.Rejection != Granted || reply.DiskPosition.Index >= m.Entry.Index {
		reply.View = c.newerThan(m.Entry.Epoch)
		c.send(reply)
		return
	}
	reply.DiskPosition = m.Entry.Position()
	if c.mutation == mutation.SkipSync {
		c.send(reply)
	}
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
	case c.state.broken:
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
	for _, other := range c.state.recent {
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
		c.state.broken = true
		c.state.joined = StateTag{} // what the disk holds is in doubt: the state must be given again
		reply.Rejection = DiskFailed
		reply.DiskPosition = c.state.position
		c.send(reply)
		return
	}
	c.state.add(job.entry, c.limits.EntryCacheBytes)
	c.state.logBytes += len(job.entry.Data)
	c.applyTail()
	c.trim()
	if c.state.joined != job.entry.Tag() {
		reply.Rejection = NotJoined
	}
	c.send(reply)
}
