package core

import (
	"slices"
	"time"
)

// firstBase gives the view of epoch 0, whose witnesses make the first view, once every seed is there, with a disk or without any. The lowest address goes first, the others after some seconds.
//
// Invariant: there is one first view. A seed's disk may be lost and another come in its place while the first view is made, so two proposers may mean different witnesses. The first view is prepared at all of the witnesses that its proposer means, not at a majority: whatever was chosen before, by another set of witnesses that one lost disk changed, shows at one of them.
func (c *Core) firstBase() (*View, bool) {
	if !c.config.Bootstrap || c.config.Relay {
		return nil, false
	}
	seeds := c.firstSeeds()
	rank := slices.Index(seeds, c.self.Address)
	if rank < 0 || c.now-c.born < time.Duration(rank)*c.timing.WitnessLost {
		return nil, false
	}
	base := &View{}
	for _, address := range seeds {
		if address == c.self.Address {
			base.Witnesses = append(base.Witnesses, c.self)
			continue
		}
		p := c.peerAt(address)
		if p == nil || !c.fresh(*p) {
			return nil, false
		}
		if !p.status.Relay {
			base.Witnesses = append(base.Witnesses, p.member)
		}
	}
	return base, true
}

// firstSeeds are the addresses of the first start, sorted.
func (c *Core) firstSeeds() []string {
	seeds := c.config.FirstSeeds
	if len(seeds) == 0 {
		seeds = c.config.Seeds
	}
	return slices.Sorted(slices.Values(seeds))
}

// sharesSeeds tells whether the witnesses of a first base are those that this member would name: its seeds without the relays. Members that started with other seeds get no vote of it.
func (c *Core) sharesSeeds(base *View) bool {
	named := map[string]bool{}
	for _, witness := range base.Witnesses {
		named[witness.Address] = true
	}
	seeds := c.firstSeeds()
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
