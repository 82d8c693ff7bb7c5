package counter

import "slices"

// add begins an addition, or ends it at once.
func (c *Core) add(event AddRequested) {
	addition := event.Addition
	found, known := c.set.find(addition.Counter, addition.ID)
	switch {
	case !c.config.HasDisk:
		c.emit(Added{event.Token, AddElsewhere})
		return
	case known && found.amount != addition.Amount:
		c.emit(Added{event.Token, AddConflict})
		return
	case !c.mayAdd(known):
		c.emit(Added{event.Token, NotAdded})
		return
	}
	// An id that came by way of another member is listed once more under the own origin: what is known of the disks that
	// have an addition is known for the own ones.
	if found.ownNumber == 0 {
		c.set.append(c.config.Origin, addition)
		found, _ = c.set.find(addition.Counter, addition.ID)
	}
	c.adds = append(c.adds, pendingAdd{event.Token, found.ownNumber, c.now + addTimeout})
}

// mayAdd reports whether an addition can be expected to be acknowledged. If not, nothing is begun.
func (c *Core) mayAdd(isKnown bool) bool {
	if c.leaving || !isKnown && c.set.Bytes() >= c.config.MaxBytes {
		return false
	}
	return c.canReachEnough() || c.isPartitioned() && c.disk.isUsable(c.now)
}

// finishAdds ends the additions that are synced on enough disks, and those whose time is over.
func (c *Core) finishAdds() {
	if len(c.adds) == 0 {
		return
	}
	partitioned := !c.canReachEnough() && c.isPartitioned()
	c.adds = slices.DeleteFunc(c.adds, func(add pendingAdd) bool {
		switch {
		case c.isDurable(add.number), partitioned && c.isDurableOnSide(add.number):
			c.emit(Added{add.token, AddAcknowledged})
		case c.now >= add.deadline:
			c.emit(Added{add.token, AddUnclear})
		default:
			return false
		}
		return true
	})
}

// isDurable reports whether an addition of the own origin is synced as the policy asks.
func (c *Core) isDurable(number uint64) bool {
	var members []Member
	if c.disk.durable[c.config.Origin] >= number {
		members = append(members, c.config.Self)
	}
	for _, p := range c.peers.sorted {
		if p.hasDisk && p.durable >= number {
			members = append(members, p.member)
		}
	}
	return c.config.Policy.isMetBy(members)
}

// isDurableOnSide reports whether an addition of the own origin is synced on this disk and on all others of this side of
// a partition.
func (c *Core) isDurableOnSide(number uint64) bool {
	if c.disk.durable[c.config.Origin] < number {
		return false
	}
	for p := range c.peers.reachable() {
		if p.durable < number {
			return false
		}
	}
	return true
}
