package core

import (
	"cmp"
	"log/slog"
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

// contactTimeout is how long ago a majority of the witnesses may have answered.
func (c *Core) contactTimeout() time.Duration {
	return c.timing.PrimaryTimeout + c.timing.HeartbeatInterval
}

// hearsWitnesses tells whether a majority of the view's witnesses answered lately.
func (c *Core) hasWitnessContact() bool {
	view := c.register.View
	inContact := 0
	for _, witness := range view.Witnesses {
		p := c.peer(witness.ID)
		if witness.ID == c.self.ID || p != nil && c.now-p.lastReplyAt <= c.contactTimeout() {
			inContact++
		}
	}
	return inContact >= majority(len(view.Witnesses))
}

// noticeTime is called first in each Step.
//
// Invariant: what wakes late doesn't act on old news. A primary that got no answer of a majority of the witnesses for the contact time-out gives no clear answer and begins no order until a round of confirmation, begun from now on, has ended.
func (c *Core) advanceClock(now time.Duration) {
	slept := now - c.now
	c.now = max(now, c.now)
	if !c.isPrimary || c.hasWitnessContact() {
		return
	}
	if slept > c.timing.PrimaryTimeout {
		c.confirm.confirmBy = c.now + c.timing.ReplyTimeout
	}
	c.confirm.requireRound()
}

// tickPrimary sends the heartbeats and looks for lost members.
func (c *Core) tickPrimary() {
	if !c.isPrimary {
		return
	}
	if c.confirm.required && c.now >= c.confirm.confirmBy {
		view := c.register.View
		c.stopBeingPrimary(LostWitnesses)
		c.startYielding(view) // its way out may work though it hears nobody
		return
	}
	if c.now-c.lastHeartbeat < c.timing.HeartbeatInterval {
		return
	}
	c.heartbeat()
	if c.change == nil {
		c.checkView()
	}
}

func (c *Core) heartbeat() {
	c.lastHeartbeat = c.now
	for _, p := range c.peers {
		c.heartbeatTo(p.member)
	}
}

func (c *Core) heartbeatTo(member Member) {
	c.send(Heartbeat{Envelope: c.envelopeTo(member), View: c.View(), Members: c.contactedMembers()})
}

// checkView asks for a new view if a backup is lost, or more or other members are to be had.
func (c *Core) checkView() {
	view := c.register.View
	if c.hasLostBackup(view) || c.canImprove(view) || c.nextWitnesses(view) != nil {
		c.viewChangeDue = true
		return
	}
	c.warnOfLowTolerance(view)
}

func (c *Core) hasLostBackup(view *View) bool {
	for _, backup := range view.Backups {
		p := c.peer(backup.ID)
		if p == nil || c.now-p.lastReplyAt > c.timing.PrimaryTimeout || !p.status.Writable {
			return true
		}
	}
	return false
}

// warnOfLosses says once in an epoch that the view bears fewer losses than it should and nobody is there to mend it.
func (c *Core) warnOfLowTolerance(view *View) {
	if c.toleranceWarnedEpoch == view.Epoch || c.now-c.startedAt <= c.timing.WitnessTimeout {
		return
	}
	tolerated := failuresTolerated(view)
	if tolerated >= c.config.MaxFailures {
		return
	}
	c.toleranceWarnedEpoch = view.Epoch
	c.log(slog.LevelWarn, "fault tolerance below configuration", slog.Int("tolerated", tolerated), slog.Int("configured", c.config.MaxFailures), slog.Int("members", 1+len(c.peers)))
}

func (c *Core) onHeartbeat(m Heartbeat) {
	if m.View == nil {
		return
	}
	if p := c.recordContact(m.From); p != nil {
		p.status.Writable = true // or it would not be primary
	}
	c.learn(m.View)
	c.addKnownMembers(m.Members)
	if c.knownEpoch() == m.View.Epoch {
		c.lastPrimaryContact = c.now
		c.lastPrimary = m.From
	}
	c.send(HeartbeatReply{
		Envelope: c.replyTo(m),
		Epoch:    m.View.Epoch,
		Joined:   c.state.joined == m.View.Tag(),
		Status:   c.status(),
		View:     c.viewNewerThan(m.View.Epoch),
	})
}

func (c *Core) onHeartbeatReply(m HeartbeatReply) {
	c.recordStatus(m.From, m.Status)
	c.learn(m.View)
	if !c.isPrimary || c.primaryEpoch != m.Epoch || m.Joined {
		return
	}
	if indexOf(c.register.View.Backups, m.From.ID) >= 0 {
		c.viewChangeDue = true // it was restarted, or sealed
	}
}

// stopBeingPrimary ends the writing of this member. What was begun ends unclear.
func (c *Core) stopBeingPrimary(reason StopReason) {
	if !c.isPrimary {
		return
	}
	c.isPrimary = false
	c.lastPrimaryContact = c.now
	c.lastPrimary = Member{}
	c.viewChangeDue = false
	c.log(slog.LevelWarn, "stepped down as primary", slog.String("reason", reason.String()))
	c.emit(SteppedDown{Reason: reason})
	c.failPendingCalls()
}

// considerHello asks the known addresses who is there, when the primary is not heard.
func (c *Core) considerHello() {
	if c.isPrimary {
		return
	}
	pause := c.timing.HeartbeatInterval
	if c.register.View == nil {
		pause = c.timing.ViewChangeBackoff
	}
	if c.now-c.lastHello < pause {
		return
	}
	silence := c.now - c.lastPrimaryContact
	isCopy := rolesOf(c.register.View, c.self.ID)&(RolePrimary|RoleBackup) != 0
	switch {
	case c.register.View == nil, len(c.peers) == 0, silence > c.timing.PrimaryTimeout:
		c.sendHello()
	case isCopy && silence > c.timing.PrimaryTimeout/2: // it may soon take over
		c.sendHello()
	}
}

func (c *Core) sendHello() {
	c.lastHello = c.now
	for _, address := range c.knownAddresses() {
		c.send(Hello{Envelope: Envelope{From: c.self, ToAddress: address}, Status: c.status(), View: c.View()})
	}
}

func (c *Core) knownAddresses() []string {
	addresses := slices.Clone(c.config.Seeds)
	for _, p := range c.peers {
		addresses = append(addresses, p.member.Address)
	}
	if view := c.register.View; view != nil {
		for _, member := range append(view.Replicas(), view.Witnesses...) {
			addresses = append(addresses, member.Address)
		}
	}
	slices.Sort(addresses)
	addresses = slices.Compact(addresses)
	return slices.DeleteFunc(addresses, func(a string) bool { return a == "" || a == c.self.Address })
}

func (c *Core) onHello(m Hello) {
	c.recordStatus(m.From, m.Status)
	c.learn(m.View)
	c.send(HelloReply{Envelope: c.replyTo(m), Status: c.status(), View: c.View(), Members: c.contactedMembers()})
	if c.isPrimary {
		c.heartbeatTo(m.From) // so that it is known at once whether it answers
	}
}

func (c *Core) onHelloReply(m HelloReply) {
	c.recordStatus(m.From, m.Status)
	c.learn(m.View)
	c.addKnownMembers(m.Members)
	if c.register.View == nil {
		c.considerViewChange()
	}
}
