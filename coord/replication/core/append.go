package core

// onAppend appends the next entry of the view that was joined.
//
// Invariant: the index and the digest of what precedes an entry are compared, so that missing entries, a duplicate and a diverged history are three different rejections, and none of them changes what is on disk.
func (c *Core) onAppend(m Append) {
	reply := AppendReply{Envelope: c.replyTo(m), Epoch: m.Entry.Epoch, Ballot: m.Entry.Ballot, Index: m.Entry.Index}
	check := c.checkAppend(m.Entry)
	reply.Rejection, reply.DiskPosition = check.rejection, check.position
	if check.rejection != Granted || check.isOnDisk(m.Entry) {
		reply.View = c.viewNewerThan(m.Entry.Epoch)
		c.send(reply)
		return
	}
	reply.DiskPosition = m.Entry.Position()
	c.appendEntry(diskJob{kind: backupAppendJob, entry: m.Entry, reply: reply})
}

// appendCheck is whether a backup may append an entry, and the position that it reports: of its disk, or of the entry if that is on disk already.
type appendCheck struct {
	rejection Rejection
	position  Position
}

// isOnDisk reports whether a granted entry is on disk already.
func (a appendCheck) isOnDisk(entry Entry) bool { return a.position.Index >= entry.Index }

// checkAppend checks that an entry is the next one.
func (c *Core) checkAppend(entry Entry) appendCheck {
	last := c.state.position
	switch {
	case c.state.joined == StateTag{} || c.state.joined != entry.Tag():
		return appendCheck{NotJoined, last}
	case c.disk.stalled:
		return appendCheck{Unavailable, last}
	case entry.Index <= last.Index:
		return c.checkRepeat(entry)
	case c.disk.changesState():
		return appendCheck{Busy, last}
	case c.state.logBroken:
		return appendCheck{DiskFailed, last}
	case entry.Index > last.Index+1:
		return appendCheck{MissingEntries, last}
	case !entry.Follows(last):
		return appendCheck{DivergedHistory, last}
	}
	return appendCheck{Granted, last}
}

// checkRepeat checks an entry that is not past the end of the log: it may be on disk already.
func (c *Core) checkRepeat(entry Entry) appendCheck {
	position := entry.Position()
	if position == c.state.position {
		return appendCheck{Granted, position}
	}
	for _, other := range c.state.cachedEntries {
		if other.Index != entry.Index {
			continue
		}
		if other.Position() == position {
			return appendCheck{Granted, position}
		}
		return appendCheck{DivergedHistory, c.state.position}
	}
	return appendCheck{DuplicateEntry, c.state.position}
}

// backupAppendDone acknowledges an entry once it is on disk.
func (c *Core) backupAppendDone(job diskJob, err error) {
	reply := job.reply
	if err != nil {
		c.state.logBroken = true
		c.state.joined = StateTag{} // what the disk holds is unknown: the state must be transferred again
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
