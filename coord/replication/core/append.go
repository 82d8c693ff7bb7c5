package core

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
