package core

import (
	"slices"
	"time"
)

// bootstrapBase gives the view of epoch 0, whose witnesses make the first view, once every seed is there, with a disk or without any. Of the seeds with bootstrap disks the lowest address proposes first, each other one WitnessTimeout later.
//
// Invariant: there is one first view. A seed's disk may be lost and another come in its place while the first view is made, so two proposers may mean different witnesses. The first view is prepared at all of the witnesses that its proposer means, not at a majority, and most of these must be first disks: whatever was chosen before was accepted by a majority, so it shows at one of them.
func (c *Core) bootstrapBase() (*View, bool) {
	if !c.config.Bootstrap || c.config.Relay || !slices.Contains(c.bootstrapSeeds(), c.self.Address) {
		return nil, false
	}
	base := &View{}
	firstDisks, rank := 0, 0
	for _, address := range c.bootstrapSeeds() {
		if address == c.self.Address {
			rank = firstDisks
			firstDisks++
			base.Witnesses = append(base.Witnesses, c.self)
			continue
		}
		p := c.peerAt(address)
		if p == nil || !c.isResponsive(*p) {
			return nil, false
		}
		if p.status.Relay {
			continue
		}
		if p.status.BootstrapDisk {
			firstDisks++
		}
		base.Witnesses = append(base.Witnesses, p.member)
	}
	if firstDisks < majority(len(base.Witnesses)) || c.now-c.startedAt < time.Duration(rank)*c.timing.WitnessTimeout {
		return nil, false
	}
	return base, true
}

// bootstrapSeeds are the addresses of the first start, sorted.
func (c *Core) bootstrapSeeds() []string {
	seeds := c.config.BootstrapSeeds
	if len(seeds) == 0 {
		seeds = c.config.Seeds
	}
	return slices.Sorted(slices.Values(seeds))
}

// sharesSeeds reports whether the witnesses of a first base are those that this member would name: its seeds without the relays. Members that started with other seeds get no vote of it.
func (c *Core) sharesSeeds(base *View) bool {
	named := map[string]bool{}
	for _, witness := range base.Witnesses {
		named[witness.Address] = true
	}
	seeds := c.bootstrapSeeds()
	for _, address := range seeds {
		if named[address] {
			delete(named, address)
			continue
		}
		p := c.peerAt(address)
		if p == nil || !p.status.Relay {
			return false
		}
	}
	return len(named) == 0
}
