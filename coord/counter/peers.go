package counter

import (
	"cmp"
	"iter"
	"maps"
	"slices"
	"time"
)

// peer is what is known of another member.
type peer struct {
	member    Member
	hasDisk   bool   // it has one, by its own word or by the driver's
	answered  bool   // it answered in this incarnation of ours, so that what follows is its own word
	complete  bool   // it has totals
	origin    Origin // of its incarnation
	vector    Vector // what it holds, as it said last, or less
	candidate bool   // the driver names it

	missed     int // pings in a row without an answer
	refused    bool
	lostSince  time.Duration // when the first of those pings was sent
	pinging    bool
	pingSentAt time.Duration
	pinged     bool // a ping has ended

	pushing bool
	pushAt  time.Duration // no push before
	held    uint64        // how many additions of the own origin it holds
	durable uint64        // how many of those are synced there

	waitingSince time.Duration // when it had all of those last
}

func (p *peer) isReachable() bool { return p.answered && p.missed < pingsToLose }

// peerTable is the peers by their addresses.
type peerTable struct {
	byAddress map[string]*peer
	sorted    []*peer // the same, in the order of addresses
}

func (t *peerTable) get(address string) *peer { return t.byAddress[address] }

// add gives the peer at an address, a new one if there is none.
func (t *peerTable) add(address string) *peer {
	p := t.byAddress[address]
	if p == nil {
		p = &peer{member: Member{Address: address}, pingSentAt: -relayPingInterval}
		t.byAddress[address] = p
		t.sort()
	}
	return p
}

func (t *peerTable) deleteFunc(isGone func(*peer) bool) {
	maps.DeleteFunc(t.byAddress, func(_ string, p *peer) bool { return isGone(p) })
	t.sort()
}

func (t *peerTable) sort() {
	t.sorted = slices.Collect(maps.Values(t.byAddress))
	slices.SortFunc(t.sorted, func(a, b *peer) int { return cmp.Compare(a.member.Address, b.member.Address) })
}

// reachable goes through the members with disks that answer, in the order of addresses.
func (t *peerTable) reachable() iter.Seq[*peer] {
	return func(yield func(*peer) bool) {
		for _, p := range t.sorted {
			if p.hasDisk && p.isReachable() && !yield(p) {
				return
			}
		}
	}
}

// setCandidates takes the members that the driver knows of.
func (c *Core) setCandidates(candidates []Candidate) {
	for _, p := range c.peers.sorted {
		p.candidate = false
	}
	for _, candidate := range candidates {
		if candidate.Address == "" || candidate.Address == c.config.Self.Address {
			continue
		}
		p := c.peers.add(candidate.Address)
		p.candidate = true
		if !p.answered {
			p.member = candidate.Member
			p.hasDisk = candidate.HasDisk
		}
	}
	c.peers.deleteFunc(func(p *peer) bool { return !p.candidate && !p.isReachable() })
}

// ping sends the pings that are due.
func (c *Core) ping() {
	for _, p := range c.peers.sorted {
		if p.pinging || c.now-p.pingSentAt < c.pingIntervalOf(p) {
			continue
		}
		p.pinging = true
		p.pingSentAt = c.now
		c.emit(Send{Address: p.member.Address, Message: c.ownState()})
	}
}

// pingIntervalOf is the time between two pings to a member.
func (c *Core) pingIntervalOf(p *peer) time.Duration {
	switch {
	case p.answered && !p.hasDisk:
		return relayPingInterval
	case !c.config.HasDisk, !p.hasDisk && p.missed > pingsToLose:
		return slowPingInterval
	}
	return pingInterval
}

// ownState is what this member says of itself.
func (c *Core) ownState() Ping {
	return Ping{
		From:     c.config.Self,
		Origin:   c.config.Origin,
		HasDisk:  c.config.HasDisk,
		Complete: c.complete && c.caughtUp,
		Digest:   c.set.Digest(),
	}
}

// pingAnswered takes the end of a ping.
func (c *Core) pingAnswered(event Answered) {
	p := c.peers.get(event.Address)
	if p == nil {
		return
	}
	p.pinging = false
	p.pinged = true
	reply, ok := event.Reply.(PingReply)
	if !ok {
		if p.missed == 0 {
			p.lostSince = p.pingSentAt
		}
		p.missed++
		p.refused = event.Refused
		return
	}
	c.learn(p, reply.Ping)
	p.missed = 0
	p.refused = false
	p.answered = true
	p.vector = reply.Vector
	if p.vector == nil { // it holds what this member held when the ping was sent: no more than now
		p.vector = Vector{}
		if reply.Digest == c.set.Digest() {
			p.vector = c.set.Vector()
		}
	} else if !p.pushing {
		p.held = min(p.vector[c.config.Origin], c.set.Count(c.config.Origin))
	}
	c.updateBehind()
}

// learn takes what a member says of itself. Another disk or another incarnation holds what it says it holds, nothing else.
func (c *Core) learn(p *peer, state Ping) {
	if p.member.ID != state.From.ID {
		p.durable = 0
	}
	if p.member.ID != state.From.ID || p.origin != state.Origin {
		p.held = p.durable
	}
	p.member.ID = state.From.ID
	p.member.Domain = state.From.Domain
	p.origin = state.Origin
	p.hasDisk = state.HasDisk
	p.complete = state.Complete
}

// receivePing answers a ping. Its sender is another member, known or not.
func (c *Core) receivePing(token Token, ping Ping) {
	if ping.HasDisk && ping.From.Address != "" && ping.From.Address != c.config.Self.Address {
		c.peers.add(ping.From.Address).candidate = true
	}
	reply := PingReply{Ping: c.ownState()}
	if ping.Digest != reply.Digest {
		reply.Vector = c.set.Vector()
	}
	c.emit(Reply{token, reply})
}

// isCutOff reports whether a member has been silent for so long that it counts as being behind a partition.
func (c *Core) isCutOff(p *peer) bool {
	if !p.hasDisk || p.isReachable() || p.missed < pingsToLose {
		return false
	}
	return !p.refused || c.now-p.lostSince >= refusedTimeout
}

// isPartitioned reports whether more members are silent than may be lost at once, so that a partition must keep them
// away. One that is merely down or slow is none.
func (c *Core) isPartitioned() bool {
	if c.now < startTimeout {
		return false
	}
	silent := 0
	for _, p := range c.peers.sorted {
		if c.isCutOff(p) {
			silent++
		}
	}
	return silent > c.config.Policy.MaxFailures
}

// canReachEnough reports whether the members that answer could meet the policy.
func (c *Core) canReachEnough() bool {
	members := []Member{}
	if c.disk.isUsable(c.now) {
		members = append(members, c.config.Self)
	}
	for p := range c.peers.reachable() {
		members = append(members, p.member)
	}
	return c.config.Policy.isMetBy(members)
}
