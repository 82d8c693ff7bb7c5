package core

import (
	"slices"
)

// considerHello looks for members at the known addresses while there is no contact with the primary.
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
		c.heartbeatTo(m.From, nil) // its reply shows at once that it receives this member too
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
