package simulation

import (
	"time"

	"shaletrestle/coord/replication/core"
)

const (
	serveWithin   = 2 * time.Second        // after the last fault commands are acknowledged again
	serveMargin   = 100 * time.Millisecond // on top of it
	longestGap    = 1500 * time.Millisecond
	livenessCheck = 100 * time.Millisecond
)

// liveness watches whether commands are acknowledged in calm times.
type liveness struct {
	cluster      *cluster
	lastFaultAt  time.Duration // when a fault began or ended
	lastDefinite time.Duration // when a client had its last definite result to a command
	recovered    bool          // since the last fault
	recoveries   []time.Duration
	longest      time.Duration // gap between definite results in calm times
	wasComplete  bool
	unchecked    int // running faults during which service is not demanded
	repairsSeen  int
	committed    int
	lastServed   time.Duration // when the core last gave a definite result to a command
}

func newLiveness(c *cluster) *liveness { return &liveness{cluster: c} }

// recordFault says that a fault began or ended.
func (l *liveness) recordFault() {
	l.lastFaultAt = l.cluster.now
	l.recovered = false
	l.wasComplete = false
}

// recordServed notes a definite result to a command, whether it reaches the client or not.
func (l *liveness) recordServed(outcome core.Outcome) {
	if outcome == core.Committed {
		l.committed++
	}
	if outcome == core.Committed || outcome == core.NoChange {
		l.lastServed = l.cluster.now
	}
}

// recordDefinite notes that a client had a definite result.
func (l *liveness) recordDefinite(k *call) {
	if k.outcome != core.Committed {
		return
	}
	c := l.cluster
	if !l.recovered && k.sent >= l.lastFaultAt {
		l.recovered = true
		l.recoveries = append(l.recoveries, c.now-l.lastFaultAt)
	}
	if l.lastDefinite > l.lastFaultAt+serveWithin {
		l.longest = max(l.longest, c.now-l.lastDefinite)
	}
	l.lastDefinite = c.now
}

// watch checks again and again.
func (l *liveness) watch() {
	l.check()
	l.cluster.after(livenessCheck, l.watch)
}

func (l *liveness) check() {
	c := l.cluster
	if c.profile != tolerated || l.unchecked > 0 || c.stopped {
		return
	}
	calm := c.now - l.lastFaultAt
	if calm > serveWithin+serveMargin && !l.recovered {
		c.monitor.fail("no command was acknowledged for %v after the last fault", calm)
	}
	if calm > serveWithin+longestGap && c.now-l.lastDefinite > longestGap {
		c.monitor.fail("no command was acknowledged for %v in a calm time", c.now-l.lastDefinite)
	}
	complete := len(c.lostSlots()) == 0
	if complete && !l.wasComplete && calm > 0 {
		l.checkRepaired()
	}
	l.wasComplete = complete
}

// checkRepaired checks that the group bears the next loss once nobody counts as lost.
func (l *liveness) checkRepaired() {
	c := l.cluster
	if c.now < c.settings.SyncTime {
		return
	}
	p := c.monitor.writers[c.monitor.newest]
	if p == nil || p.dead || !p.primary {
		c.monitor.fail("nobody is lost any more, and nobody is primary")
		return
	}
	l.repairsSeen++
	view := p.core.View()
	copies, witnesses := l.upOf(view.Replicas()), l.upOf(view.Witnesses)
	c.trace("nobody is lost: epoch %d, %d of %d replicas and %d of %d witnesses are up", view.Epoch, copies, len(view.Replicas()), witnesses, len(view.Witnesses))
	if copies < c.settings.Losses+1 {
		c.monitor.fail("nobody is lost any more, and epoch %d has %d replicas up of %d wanted", view.Epoch, copies, c.settings.Losses+1)
	}
	if witnesses < 2*c.settings.Losses+1 || witnesses < len(view.Witnesses) {
		c.monitor.fail("nobody is lost any more, and epoch %d has %d witnesses up of %d, %d are wanted", view.Epoch, witnesses, len(view.Witnesses), 2*c.settings.Losses+1)
	}
}

// upOf counts the members that are up, on the disk that is meant.
func (l *liveness) upOf(members []core.Member) int {
	up := 0
	for _, member := range members {
		h := l.cluster.hostOf(member.ID)
		if h != nil && h.process != nil {
			up++
		}
	}
	return up
}

// hostOf finds the machine that runs on a disk.
func (c *cluster) hostOf(id core.MemberID) *host {
	for _, h := range c.hosts {
		if h.disk != nil && h.disk.id == id && !h.gone {
			return h
		}
	}
	return nil
}

// checkServes checks the end of a run, after a long calm, whatever came before: commands are acknowledged.
func (l *liveness) checkServes() {
	c := l.cluster
	if c.now-l.lastServed > longestGap {
		c.monitor.fail("no command was acknowledged for %v at the end, when all faults are over", c.now-l.lastServed)
	}
}

// checkCaughtUp checks the end of a run, after a long calm: all know the newest view, and its replicas hold what the primary holds.
func (l *liveness) checkCaughtUp() {
	c := l.cluster
	p := c.monitor.writers[c.monitor.newest]
	if p == nil || p.dead || !p.primary {
		c.monitor.fail("nobody is primary at the end")
		return
	}
	view := p.core.View()
	for _, h := range c.currentHosts() {
		if h.process == nil {
			continue
		}
		if known := epochOf(h.process.core.View()); known != view.Epoch {
			c.monitor.fail("%s knows epoch %d at the end, the newest is %d", h, known, view.Epoch)
		}
	}
	for _, member := range view.Replicas() {
		h := c.hostOf(member.ID)
		if h == nil || h.process == nil {
			c.monitor.fail("replica %s is not up at the end", member.Address)
			continue
		}
		if h.process.store.tip != p.store.tip {
			c.monitor.fail("replica %s holds %d entries at the end, the primary %d", h, h.process.store.tip.index, p.store.tip.index)
		}
		if h.process.core.State(h.process.clock()).Position != p.core.State(p.clock()).Position {
			c.monitor.fail("replica %s is at another position than the primary", h)
		}
		if uint64(p.core.State(p.clock()).Position.Index) != p.store.tip.index {
			c.monitor.fail("the core counts %d entries, the state machine %d", p.core.State(p.clock()).Position.Index, p.store.tip.index)
		}
	}
}
