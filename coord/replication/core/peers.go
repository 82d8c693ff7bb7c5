package core

import (
	"cmp"
	"slices"
	"strings"
	"time"
)

// peer is another member as it was last heard.
type peer struct {
	member           Member
	lastSeen         time.Duration // when it was heard, or heard of
	contacted        bool          // itself, not only of
	lastReplyAt      time.Duration // when it last answered: it hears this member too
	status           Status
	missedWrite      bool          // it did not answer a write since it last told its status
	noTransferBefore time.Duration // it took no transfer, and is not offered one for its own sake before
}

func (c *Core) peer(id MemberID) *peer {
	i, found := c.findPeer(id)
	if !found {
		return nil
	}
	return &c.peers[i]
}

func (c *Core) findPeer(id MemberID) (int, bool) {
	return slices.BinarySearchFunc(c.peers, id, func(p peer, id MemberID) int { return cmp.Compare(p.member.ID, id) })
}

func (c *Core) peerAt(address string) *peer {
	i := slices.IndexFunc(c.peers, func(p peer) bool { return p.member.Address == address })
	if i < 0 {
		return nil
	}
	return &c.peers[i]
}

// touch notes that a member was heard. Another disk at the same address means that the old one is gone.
func (c *Core) recordContact(member Member) *peer {
	if member.ID == 0 || member.ID == c.self.ID || member.Address == "" {
		return nil
	}
	c.peers = slices.DeleteFunc(c.peers, func(p peer) bool {
		return p.member.Address == member.Address && p.member.ID != member.ID
	})
	i, found := c.findPeer(member.ID)
	if !found {
		c.peers = slices.Insert(c.peers, i, peer{lastReplyAt: longAgo})
	}
	p := &c.peers[i]
	p.member = member
	p.lastSeen = c.now
	p.contacted = true
	return p
}

// hasAnswered notes that a member answered. Only such members count as present: one that is heard but hears nobody, as behind a link that is cut one way, is of no use.
func (c *Core) recordReply(member Member) {
	if p := c.peer(member.ID); p != nil {
		p.lastReplyAt = c.now
	}
}

// heardSince tells whether any other member was heard since a time.
func (c *Core) hadContactSince(since time.Duration) bool {
	return slices.ContainsFunc(c.peers, func(p peer) bool { return p.contacted && p.lastSeen > since })
}

// saw notes what a member said of itself.
func (c *Core) recordStatus(member Member, status Status) {
	p := c.recordContact(member)
	if p == nil {
		return
	}
	p.status = status
	p.missedWrite = false
}

// hearOf takes members that others know. It never displaces what was heard at an address: a disk may have been replaced since.
func (c *Core) addKnownMembers(members []Member) {
	for _, member := range members {
		if member.ID == 0 || member.Address == "" || member.Address == c.self.Address {
			continue
		}
		i, found := c.findPeer(member.ID)
		if found || c.peerAt(member.Address) != nil || member.ID == c.self.ID {
			continue
		}
		c.peers = slices.Insert(c.peers, i, peer{member: member, lastSeen: c.now, lastReplyAt: longAgo})
	}
}

// forgetPeers drops members that were not seen for long, unless the view names them.
func (c *Core) forgetPeers() {
	c.peers = slices.DeleteFunc(c.peers, func(p peer) bool {
		return c.now-p.lastSeen > c.timing.ForgetAfter && rolesOf(c.register.View, p.member.ID) == 0
	})
}

// Members are all members known, this one too, sorted by address.
func (c *Core) Members() []Member {
	members := []Member{c.self}
	for _, p := range c.peers {
		members = append(members, p.member)
	}
	sortByAddress(members)
	return members
}

// heardMembers are those that this member heard itself, and it. What was only heard of is not passed on, or a member that is gone would be passed round for ever.
func (c *Core) contactedMembers() []Member {
	members := []Member{c.self}
	for _, p := range c.peers {
		if p.contacted {
			members = append(members, p.member)
		}
	}
	sortByAddress(members)
	return members
}

func sortByAddress(members []Member) {
	slices.SortFunc(members, func(a, b Member) int {
		return cmp.Or(strings.Compare(a.Address, b.Address), cmp.Compare(a.ID, b.ID))
	})
}

func (c *Core) status() Status {
	return Status{
		Writable:      !c.config.Relay && !c.disk.stalled,
		Relay:         c.config.Relay,
		Leaving:       c.leaving != nil,
		BootstrapDisk: c.config.Bootstrap && !c.config.Relay,
		Position:      c.state.position,
	}
}
