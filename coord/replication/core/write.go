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
