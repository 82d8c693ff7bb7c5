package core

import (
	"log/slog"
	"slices"
	"time"
)

// pendingWrite is the command whose entry is being written. Commands run one at a time, so each one is decided on the state that all earlier ones left.
type pendingWrite struct {
	command      Command
	entry        Entry
	resultSent   bool // Indeterminate, at its deadline; the write itself goes on
	synced       bool // on this member's disk
	ackedBackups []MemberID
	startedAt    time.Duration
	sentAt       time.Duration
	rejected     bool // by a backup: a view change is needed
	carried      bool // the entry goes into the next view with the state
}

func (c *Core) sendAppends() {
	c.write.sentAt = c.now
	for _, backup := range c.register.View.Backups {
		if !slices.Contains(c.write.ackedBackups, backup.ID) {
			c.send(Append{Envelope: c.envelopeTo(backup), Entry: c.write.entry})
		}
	}
}

// ownAppendDone handles the end of this primary's own append.
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

// onAppendReply counts the acknowledgement of a backup, or changes the view if one can't take the entry. One view is chosen for an epoch and only its primary appends, so the epoch names the ballot too.
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

// considerCommit commits once all replicas have the entry on disk.
//
// Invariant: an acknowledged entry is synced on every replica of its view. No view is made with fewer replicas than minReplicas, so with failures to tolerate the primary never acknowledges what only its own disk holds.
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

// commitCarried commits the entry that went into the new view with the state.
func (c *Core) commitCarried() {
	if c.write != nil {
		c.commit()
	}
}

// tickWrite repeats appends that were not acknowledged, and changes the view if a backup does not reply in time.
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

// backupTimeout is the wait for the backups: ReplyTimeout, and the transmission of the entry.
func (c *Core) backupTimeout() time.Duration {
	return c.timing.ReplyTimeout + c.transmissionTime()
}

// transmissionTime is what the bytes of the entry take to all backups over one link. An entry is not sent again before: it would only queue behind itself.
func (c *Core) transmissionTime() time.Duration {
	bytes := len(c.write.entry.Data) * len(c.register.View.Backups)
	return time.Duration(bytes) * time.Second / linkBytesPerSecond
}

// linkBytesPerSecond is the throughput that a message may count on: a link of 100 Mbit/s less a third.
const linkBytesPerSecond = 8 << 20

// replaceMissingBackup starts a view change that carries the entry into the next view.
func (c *Core) replaceMissingBackup() {
	if !c.write.synced { // the state is given to others only once it is known what the own disk holds
		return
	}
	if c.change == nil && c.isPrimary {
		c.write.carried = true
		c.startViewChange(c.register.View)
	}
}
