package counter

import "math"

// write begins a write of what is held and not on the disk yet, one at a time.
func (c *Core) write() {
	if c.disk.writing != nil || c.now < c.disk.retryAt {
		return
	}
	if c.disk.digest == c.set.Digest() && c.disk.complete == c.complete {
		return
	}
	write := Write{Rewrite: c.disk.rewrite, Complete: c.complete && (c.disk.rewrite || !c.disk.complete)}
	held := c.set.Vector()
	target := c.disk.durable.Clone()
	for _, origin := range sortedOrigins(held) {
		first, limitBytes := c.disk.durable[origin]+1, runBytes
		if write.Rewrite {
			first, limitBytes = 1, math.MaxInt
		}
		if run := c.set.Run(origin, first, limitBytes); len(run.Additions) > 0 {
			target[origin] = run.Last()
			write.Runs = append(write.Runs, run)
		}
	}
	c.disk.writing = target
	c.disk.writingComplete = c.complete
	c.disk.writingSince = c.now
	c.emit(write)
}

// diskDone takes the end of a write.
func (c *Core) diskDone(err error) {
	written := c.disk.writing
	c.disk.writing = nil
	c.disk.failed = err != nil
	c.disk.rewrite = err != nil
	if err != nil {
		c.disk.retryAt = c.now + retryInterval
		return
	}
	c.disk.durable = written
	c.disk.digest = digestOf(written)
	c.disk.complete = c.disk.writingComplete
}

// receivePush takes additions of another member's own origin, and answers once they are synced.
func (c *Core) receivePush(token Token, push Push) {
	if !c.config.HasDisk {
		c.emit(Reply{token, PushReply{Disk: c.config.Self.ID}})
		return
	}
	c.set.Merge(push.Run)
	c.pushes = append(c.pushes, pendingPush{token, push.Run.Origin, push.Until, c.now + pushReplyTimeout})
}

// finishPushes answers pushes that are synced as far as they are held, and those that have waited long enough.
func (c *Core) finishPushes() {
	kept := c.pushes[:0]
	for _, push := range c.pushes {
		held, durable := c.set.Count(push.origin), c.disk.durable[push.origin]
		if durable < min(push.until, held) && c.now < push.deadline {
			kept = append(kept, push)
			continue
		}
		c.emit(Reply{push.token, PushReply{Disk: c.config.Self.ID, Held: held, Durable: durable}})
	}
	c.pushes = kept
}

// checkComplete notes when this member has got totals: it has merged what all members that answer hold, and one of them
// had totals, or so few are missing that every addition is on a disk of one that answers.
func (c *Core) checkComplete() {
	if c.complete && c.caughtUp {
		return
	}
	merged := c.hasMergedReachable()
	if !c.complete && merged && (c.reachesComplete() || c.reachesAllButLost()) {
		c.complete = true
	}
	if c.complete && (merged && c.reachesAllButLost() || c.now >= catchUpTimeout) {
		c.caughtUp = true
	}
}

// hasMergedReachable reports whether each peer was asked and this member holds what those that answered hold.
func (c *Core) hasMergedReachable() bool {
	held := c.set.Vector()
	for _, p := range c.peers.sorted {
		if !p.pinged {
			return false
		}
		if p.hasDisk && p.isReachable() && (p.vector == nil || !held.Covers(p.vector)) {
			return false
		}
	}
	return true
}

func (c *Core) reachesComplete() bool {
	for p := range c.peers.reachable() {
		if p.complete {
			return true
		}
	}
	return false
}

// reachesAllButLost reports whether no more members are missing than may be lost at once.
func (c *Core) reachesAllButLost() bool {
	known, answering := 1, 1
	for _, p := range c.peers.sorted {
		if p.hasDisk {
			known++
		}
	}
	for range c.peers.reachable() {
		answering++
	}
	failures := c.config.Policy.MaxFailures
	return known > 2*failures && known-answering <= failures
}
