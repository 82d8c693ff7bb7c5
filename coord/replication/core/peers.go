package core

import (
	"cmp"
	"slices"
	"strings"
	"time"
)

// peer is what is known of another member.
type peer struct {
	member           Member
	lastSeen         time.Duration // when a message of it, or about it, came last
	contacted        bool          // a message came from itself, not only about it
	lastReplyAt      time.Duration // when it replied last: it receives this member too
	status           Status
	missedWrite      bool          // it did not acknowledge a write since its last status
	noTransferBefore time.Duration // it rejected a transfer, and is not offered one for its own sake before
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

// recordContact records a message from a member. Another disk at the same address means that the old one is gone. It gives nil for this member itself.
func (c *Core) recordContact(member Member) *peer {
	if member.ID == 0 || member.ID == c.self.ID || member.Address == "" {
		return nil
	}
	c.peers = slices.DeleteFunc(c.peers, func(p peer) bool {
		return p.member.Address == member.Address && p.member.ID != member.ID
	})
	i, found := c.findPeer(member.ID)
	if !found {
		c.peers = slices.Insert(c.peers, i, peer{lastReplyAt: never})
	}
	p := &c.peers[i]
	p.member = member
	p.lastSeen = c.now
	p.contacted = true
	return p
}

// recordReply records that a member replied. Only such members count as responsive: one that sends but receives nothing, as behind a link that is cut one way, can't take a role.
func (c *Core) recordReply(member Member) {
	if p := c.peer(member.ID); p != nil {
		p.lastReplyAt = c.now
	}
}

// hadContactSince reports whether a message of any other member came after a time.
func (c *Core) hadContactSince(since time.Duration) bool {
	return slices.ContainsFunc(c.peers, func(p peer) bool { return p.contacted && p.lastSeen > since })
}

// recordStatus records what a member reports of itself.
func (c *Core) recordStatus(member Member, status Status) {
	p := c.recordContact(member)
	if p == nil {
		return
	}
	p.status = status
	p.missedWrite = false
}

// addKnownMembers takes members that others know. It never replaces the member known at an address: a disk may have been replaced since.
func (c *Core) addKnownMembers(members []Member) {
	for _, member := range members {
		if member.ID == 0 || member.Address == "" || member.Address == c.self.Address {
			continue
		}
		i, found := c.findPeer(member.ID)
		if found || c.peerAt(member.Address) != nil || member.ID == c.self.ID {
			continue
		}
		c.peers = slices.Insert(c.peers, i, peer{member: member, lastSeen: c.now, lastReplyAt: never})
	}
}

// forgetPeers drops members without contact for ForgetAfter, unless the view names them.
func (c *Core) forgetPeers() {
	c.peers = slices.DeleteFunc(c.peers, func(p peer) bool {
		return c.now-p.lastSeen > c.timing.ForgetAfter && rolesOf(c.register.View, p.member.ID) == 0
	})
}

// Members are all members known, this one included, sorted by address.
func (c *Core) Members() []Member {
	members := []Member{c.self}
	for _, p := range c.peers {
		members = append(members, p.member)
	}
	sortByAddress(members)
	return members
}

// contactedMembers are this member and those that it received a message from. Members known only from others are not passed on, or one that is gone would be passed round for ever.
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
