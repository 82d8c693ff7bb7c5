package simulation

import (
	"slices"
	"time"
)

const (
	admissionWait      = 700 * time.Millisecond // a fault that would be too much waits its turn
	admissionTries     = 10
	firstViewTime      = time.Second           // the first view is made by then
	graceTime          = 8 * time.Second       // a member that is told to leave has this long
	maxServedDelay     = 60 * time.Millisecond // a member that is slower than this need not serve
	injectionDelay     = 15 * time.Millisecond // from a step of the protocol to the fault
	startWait          = 300 * time.Millisecond
	calmBeforeDiskLoss = 8 * time.Second // beyond the tolerance: after so long without a fault disks may be lost again
)

// schedulePlan lets the faults of a plan come.
func (c *cluster) schedulePlan(p plan) {
	for _, f := range p {
		c.after(f.At-c.now, func() {
			if f.When != anyMoment {
				c.armed = append(c.armed, f)
				return
			}
			c.inject(f, admissionTries)
		})
	}
}

// moment lets the faults strike that wait for a step of the protocol. Half of them befall the process that takes it.
func (c *cluster) moment(now moment, p *process) {
	for i := 0; i < len(c.armed); i++ {
		f := c.armed[i]
		if f.When != now {
			continue
		}
		c.armed = slices.Delete(c.armed, i, i+1)
		i--
		if f.Amount%2 == 0 {
			f.actor = p.host
		}
		c.after(c.between(0, injectionDelay), func() { c.inject(f, admissionTries) })
	}
}

// inject lets a fault come as soon as it may.
func (c *cluster) inject(f fault, tries int) {
	if c.now > c.settings.Horizon {
		return
	}
	s := c.target(f)
	if s == nil || !c.admits(f, s) {
		if tries > 0 {
			c.after(admissionWait, func() { c.inject(f, tries-1) })
		}
		return
	}
	c.trace("FAULT %v at slot %d for %v (%d)", f.Kind, s.number, f.For, f.Amount)
	c.faultsDone[f.Kind]++
	c.liveness.recordFault()
	c.begin(f, s)
}

// target is the member that a fault befalls. One in three faults goes to the primary, so that they matter.
func (c *cluster) target(f fault) *slot {
	var there []*slot
	for _, s := range c.slots {
		if !s.retired && s.host != nil && s.host.process != nil {
			there = append(there, s)
		}
	}
	if len(there) == 0 {
		return nil
	}
	if f.Kind == shrinkFault {
		there = slices.DeleteFunc(there, func(s *slot) bool { return !s.extra })
		if len(there) == 0 {
			return nil
		}
	}
	for _, s := range there {
		if f.actor == s.host {
			return s
		}
	}
	if p := c.monitor.writers[c.monitor.newest]; f.Slot%3 == 0 && p != nil {
		for _, s := range there {
			if s.host == p.host {
				return s
			}
		}
	}
	return there[f.Slot%len(there)]
}

// losesDisk tells whether the state of a member is lost with a fault.
func losesDisk(kind faultKind) bool {
	switch kind {
	case wipeFault, replaceFault, takeOverFault, planFault, shrinkFault, oldDiskFault:
		return true
	}
	return false
}

// admits tells whether a fault may come now.
func (c *cluster) admits(f fault, s *slot) bool {
	if s.pending > 0 || c.monitor.newest == 0 && changesGroup(f.Kind) {
		return false
	}
	if c.profile == beyond {
		return !losesDisk(f.Kind) || c.mayLoseDisk()
	}
	lost := c.lostSlots()
	after := len(lost) // members lost while the fault lasts
	if !slices.Contains(lost, s) {
		after++
	}
	switch f.Kind {
	case ackFault:
		return true
	case powerAllFault, killAllFault:
		return len(lost) <= c.settings.Losses
	case zonePowerFault, zoneCutFault:
		others := slices.DeleteFunc(lost, func(other *slot) bool { return other.zone == s.zone })
		return len(others) == 0
	case splitFault:
		return len(lost) == 0
	case growFault:
		return len(lost) < c.settings.Losses && len(c.slots) < c.settings.Members+3
	case planFault, restartFault, shrinkFault:
		return after > len(lost) && after <= c.settings.Losses
	}
	return after <= c.settings.Losses
}

// changesGroup tells whether a disk is lost or a member comes or goes. None does before the first view is made.
func changesGroup(kind faultKind) bool {
	return losesDisk(kind) || kind == growFault || kind == restartFault || kind == powerAllFault
}

// mayLoseDisk counts the disks that were lost since the last long calm. None may be lost before the group has grown to bear it.
func (c *cluster) mayLoseDisk() bool {
	if c.now-c.liveness.lastFaultAt > calmBeforeDiskLoss && len(c.lostSlots()) == 0 {
		c.disksLost = 0
	}
	return c.monitor.grown && c.disksLost < c.settings.Losses
}

// begin starts a fault, and schedules its end.
func (c *cluster) begin(f fault, s *slot) {
	if losesDisk(f.Kind) {
		c.disksLost++
	}
	h := s.host
	switch f.Kind {
	case killFault:
		c.downFor(h, false, f.For)
	case powerFault:
		c.downFor(h, true, f.For)
	case wipeFault:
		c.wipe(h, f.For)
	case freezeFault, cutFault, muteFault, deafFault, slowFault, lossyFault, diskSlowFault, diskStallFault, diskFullFault:
		c.runHostFault(f, h)
	case pairFault:
		c.cutPair(h, f)
	case replaceFault, takeOverFault, planFault, restartFault, growFault, shrinkFault, oldDiskFault:
		c.beginChange(f, s)
	default:
		c.beginGroupFault(f, s)
	}
}

// beginChange starts a fault that replaces, restarts, adds or removes a member.
func (c *cluster) beginChange(f fault, s *slot) {
	switch f.Kind {
	case replaceFault:
		c.replace(s, c.newAddress(), f.For)
	case takeOverFault:
		c.replace(s, s.host.address, f.For)
	case planFault:
		c.replacePlanned(s, f.For)
	case restartFault:
		c.restartPlanned(s.host)
	case growFault:
		c.grow(s.zone)
	case shrinkFault:
		c.shrink(s, f.Amount%2 == 0)
	case oldDiskFault:
		c.returnOldDisk(s, f.For)
	}
}

// beginGroupFault starts a fault of several members, or of the way to the clients.
func (c *cluster) beginGroupFault(f fault, s *slot) {
	switch f.Kind {
	case powerAllFault:
		c.powerAll(f)
	case killAllFault:
		for _, other := range c.currentHosts() {
			c.downFor(other, false, c.between(10*time.Millisecond, time.Second))
		}
	case zonePowerFault, zoneCutFault:
		c.injectZone(s.zone, f)
	case splitFault:
		c.split(s, f)
	case ackFault:
		c.loseAnswers(f)
	}
}

// markFaulty marks a machine as faulty; the function ends it.
func (c *cluster) markFaulty(h *host) (heal func()) {
	h.activeFaults++
	return func() {
		h.activeFaults--
		h.lostUntil = max(h.lostUntil, c.now+c.settings.SyncTime)
		c.liveness.recordFault()
		c.trace("%s: a fault is over", h)
	}
}

// downFor stops a machine for a while.
func (c *cluster) downFor(h *host, powerLost bool, down time.Duration) {
	if h.process == nil {
		return
	}
	h.stop(powerLost)
	heal := c.markFaulty(h)
	c.after(down, func() {
		h.start()
		heal()
	})
}

// wipe gives a machine an empty disk; it comes back at its address.
func (c *cluster) wipe(h *host, down time.Duration) {
	h.stop(true)
	h.disk.gone = true
	h.disk = c.newDisk()
	heal := c.markFaulty(h)
	c.after(down, func() {
		h.start()
		heal()
	})
}

// runHostFault is a fault that begins, lasts and ends on one machine.
func (c *cluster) runHostFault(f fault, h *host) {
	heal := c.markFaulty(h)
	end := c.startHostFault(f, h)
	unchecked := 0
	if f.Kind == lossyFault || f.Kind == slowFault && slowBy(f) > maxServedDelay { // the pages know no such fault: service is not demanded meanwhile
		unchecked = 1
	}
	c.liveness.unchecked += unchecked
	c.after(f.For, func() {
		c.liveness.unchecked -= unchecked
		end()
		heal()
	})
}

// slowBy is what a slow fault adds to each message of a machine, one way.
func slowBy(f fault) time.Duration {
	limit := []int{40, 200, 1500}[f.Amount%3]
	return time.Duration(f.Amount/3%limit) * time.Millisecond
}

// startHostFault begins a fault and gives what ends it.
func (c *cluster) startHostFault(f fault, h *host) (end func()) {
	d := h.disk
	switch f.Kind {
	case freezeFault:
		p := h.process
		p.freeze()
		return p.thaw
	case cutFault:
		return h.cut(true, true, f.Amount%3 == 0)
	case muteFault:
		return h.cut(false, true, f.Amount%3 == 0)
	case deafFault:
		return h.cut(true, false, f.Amount%3 == 0)
	case slowFault:
		added := slowBy(f)
		h.slow += added
		return func() { h.slow -= added }
	case lossyFault:
		h.lossy += 0.3
		return func() { h.lossy -= 0.3 }
	case diskSlowFault:
		d.slowness += 30
		return func() { d.slowness -= 30 }
	case diskStallFault:
		d.stalled++
		return func() { d.stalled-- }
	}
	d.full++
	return func() { d.full-- }
}

// cut cuts a machine off from the other members, and perhaps from the clients.
func (h *host) cut(in, out, clients bool) (end func()) {
	step := func(by int) {
		if in {
			h.cutIn += by
		}
		if out {
			h.cutOut += by
		}
		if clients {
			h.cutClients += by
		}
	}
	step(1)
	return func() {
		step(-1)
		if h.cutIn == 0 && h.cutOut == 0 {
			h.releaseHeld()
		}
	}
}

// cutPair cuts a machine off from one other. Service is not demanded meanwhile.
func (c *cluster) cutPair(h *host, f fault) {
	hosts := c.currentHosts()
	other := hosts[f.Amount%len(hosts)]
	heal := c.markFaulty(h)
	c.liveness.unchecked++
	links := [][2]int{{h.number, other.number}, {other.number, h.number}}[:1+f.Amount/64%2]
	for _, link := range links {
		c.pairCuts[link]++
	}
	c.after(f.For, func() {
		for _, link := range links {
			c.pairCuts[link]--
		}
		c.liveness.unchecked--
		heal()
	})
}

// remove takes a machine away for good.
func (c *cluster) remove(h *host) {
	h.stop(true)
	h.gone = true
	if c.addresses[h.address] == h {
		delete(c.addresses, h.address)
	}
	c.liveness.recordFault()
}

// addEmptyHost puts up an empty machine.
func (c *cluster) addEmptyHost(zone, address string) *host {
	h := c.addHost(zone, address)
	h.disk = c.newDisk()
	h.start()
	h.lostUntil = c.now + c.settings.SyncTime
	c.liveness.recordFault()
	return h
}

// replace takes a machine away without a word; an empty one follows.
func (c *cluster) replace(s *slot, address string, wait time.Duration) {
	old := s.host
	c.remove(old)
	old.disk.gone = true
	s.pending++
	c.reserved[address] = true
	c.after(wait, func() {
		s.pending--
		delete(c.reserved, address)
		s.host = c.addEmptyHost(s.zone, address)
	})
}

// replacePlanned puts the successor up, and then lets the old machine leave.
func (c *cluster) replacePlanned(s *slot, wait time.Duration) {
	old := s.host
	s.pending++
	next := c.addEmptyHost(s.zone, c.newAddress())
	c.after(min(wait, 4*time.Second), func() {
		c.leave(old, func() {
			c.remove(old)
			old.disk.gone = true
			s.host = next
			s.pending--
			next.lostUntil = max(next.lostUntil, c.now+c.settings.SyncTime)
		})
	})
}
