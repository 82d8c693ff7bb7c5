package simulation

import (
	"slices"
	"time"

	"shaletrestle/coord/replication/core"
)

// leave tells a machine to leave, and goes on once it has left, died, or used up its time.
func (c *cluster) leave(h *host, done func()) {
	finished := false
	finish := func() {
		if !finished {
			finished = true
			c.liveness.recordFault()
			done()
		}
	}
	p := h.process
	if p == nil {
		finish()
		return
	}
	p.leaving = func() { c.after(time.Millisecond, finish) }
	p.take(happening{kind: callHappening, next: func() { p.step(core.Leave{Deadline: p.clock() + graceTime - 500*time.Millisecond}) }})
	c.after(graceTime, finish)
}

// restartPlanned lets a machine leave and start again with its disk.
func (c *cluster) restartPlanned(h *host) {
	heal := c.markFaulty(h)
	c.leave(h, func() {
		h.stop(false)
		c.after(startWait, func() {
			h.start()
			heal()
		})
	})
}

// grow adds a member.
func (c *cluster) grow(zone string) {
	h := c.addEmptyHost(zone, c.newAddress())
	c.slots = append(c.slots, &slot{number: len(c.slots), zone: zone, host: h, extra: true})
}

// shrink takes an added member away for good. It counts as lost until the others have had their time to do without it.
func (c *cluster) shrink(s *slot, planned bool) {
	h := s.host
	s.pending++
	end := func() {
		c.remove(h)
		h.disk.gone = true
		c.after(c.settings.SyncTime, func() {
			s.pending--
			s.retired = true
		})
	}
	if planned {
		c.leave(h, end)
		return
	}
	end()
}

// returnOldDisk replaces a machine; much later its disk comes up at the address of another machine that is gone.
func (c *cluster) returnOldDisk(s *slot, wait time.Duration) {
	old := s.host
	c.remove(old)
	s.pending++
	c.after(startWait, func() {
		s.pending--
		s.host = c.addEmptyHost(s.zone, c.newAddress())
	})
	c.after(5*time.Second+wait, func() { c.startOldDisk(old) })
}

// startOldDisk puts a disk from earlier up as one more member.
func (c *cluster) startOldDisk(old *host) {
	if c.now >= c.settings.Horizon {
		return
	}
	if c.profile == tolerated && len(c.lostSlots()) >= c.settings.Losses {
		c.after(admissionWait, func() { c.startOldDisk(old) })
		return
	}
	address := c.newAddress()
	for _, h := range c.hosts {
		if c.addresses[h.address] == nil && !c.reserved[h.address] && c.chance(0.5) {
			address = h.address
		}
	}
	h := c.addHost(old.zone, address)
	h.disk = old.disk
	old.disk = nil
	c.trace("the old disk %d returns at %s", h.disk.id, address)
	h.start()
	h.lostUntil = c.now + c.settings.SyncTime
	c.liveness.recordFault()
	c.slots = append(c.slots, &slot{number: len(c.slots), zone: h.zone, host: h, extra: true})
}

// powerAll takes the power from all; up to the tolerance their disks go with it, if none is lost yet.
func (c *cluster) powerAll(f fault) {
	wiped := 0
	if f.Amount%2 == 0 && len(c.lostSlots()) == 0 && c.disksLost == 0 && c.monitor.grown {
		wiped = c.settings.Losses
	}
	hosts := c.currentHosts()
	first := f.Amount / 2 % len(hosts)
	for i := range hosts {
		h := hosts[(first+i)%len(hosts)]
		down := c.between(10*time.Millisecond, time.Second)
		if i < wiped && h.process != nil {
			c.disksLost++
			c.wipe(h, down)
			continue
		}
		c.downFor(h, true, down)
	}
}

// injectZone takes the power from a zone, or cuts it off.
func (c *cluster) injectZone(zone string, f fault) {
	for _, h := range c.currentHosts() {
		switch {
		case h.zone != zone:
		case f.Kind == zonePowerFault:
			c.downFor(h, true, min(f.For, 1500*time.Millisecond))
		default:
			heal := c.markFaulty(h)
			end := h.cut(true, true, false)
			c.after(f.For, func() {
				end()
				heal()
			})
		}
	}
}

// split cuts some members off from the others, at most as many as may be lost where that matters. Clients reach both sides.
func (c *cluster) split(s *slot, f fault) {
	hosts := c.currentHosts()
	size := c.settings.Losses
	if c.profile == beyond {
		size = 1 + f.Amount%(len(hosts)-1)
	}
	first := slices.Index(hosts, s.host)
	var links [][2]int
	var heals []func()
	for i := range hosts {
		h := hosts[(first+i)%len(hosts)]
		if i >= size {
			continue
		}
		heals = append(heals, c.markFaulty(h))
		for j := size; j < len(hosts); j++ {
			other := hosts[(first+j)%len(hosts)]
			links = append(links, [2]int{h.number, other.number}, [2]int{other.number, h.number})
		}
	}
	for _, link := range links {
		c.pairCuts[link]++
	}
	c.after(f.For, func() {
		for _, link := range links {
			c.pairCuts[link]--
		}
		for _, heal := range heals {
			heal()
		}
	})
}

// loseAnswers loses answers on their way to the clients.
func (c *cluster) loseAnswers(f fault) {
	share := 0.3 + float64(f.Amount%50)/100
	c.answerLoss += share
	c.liveness.unchecked++
	c.after(f.For, func() {
		c.answerLoss -= share
		c.liveness.unchecked--
		c.liveness.recordFault()
	})
}
