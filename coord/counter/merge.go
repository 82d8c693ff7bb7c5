package counter

import (
	"maps"
	"slices"
	"time"
)

func sortedOrigins(vector Vector) []Origin { return slices.Sorted(maps.Keys(vector)) }

// receive handles a call of another member.
func (c *Core) receive(event Received) {
	switch message := event.Message.(type) {
	case Ping:
		c.receivePing(event.Token, message)
	case Push:
		c.receivePush(event.Token, message)
	case Pull:
		c.receivePull(event.Token, message)
	default: // no call: the reply tells nothing
		c.emit(Reply{event.Token, PullReply{}})
	}
}

// answered takes the end of a call to another member.
func (c *Core) answered(event Answered) {
	switch event.Request.(type) {
	case Ping:
		c.pingAnswered(event)
	case Push:
		c.pushAnswered(event.Address, event.Reply)
	case Pull:
		c.pullAnswered(event.Reply)
	}
}

// push sends each member that answers what it lacks of the own origin, one message at a time.
func (c *Core) push() {
	own := c.set.Count(c.config.Origin)
	if own == 0 {
		return
	}
	for p := range c.peers.reachable() {
		if p.pushing || c.now < p.pushAt || p.durable >= own {
			continue
		}
		p.pushing = true
		run := c.set.Run(c.config.Origin, p.held+1, runBytes)
		c.emit(Send{Address: p.member.Address, Message: Push{Run: run, Until: run.Last()}})
	}
}

// pushAnswered takes the end of a push.
func (c *Core) pushAnswered(address string, message Message) {
	p := c.peers.get(address)
	if p == nil {
		return
	}
	p.pushing = false
	reply, ok := message.(PushReply)
	if !ok || reply.Disk != p.member.ID {
		p.held = p.durable
		p.pushAt = c.now + retryInterval
		return
	}
	own := c.set.Count(c.config.Origin)
	p.held = min(reply.Held, own)
	p.durable = max(p.durable, min(reply.Durable, own))
}

// updateBehind notes of which origins other members hold more, and since when that is known.
func (c *Core) updateBehind() {
	behind := map[Origin]bool{}
	for p := range c.peers.reachable() {
		for origin, count := range p.vector {
			if count <= c.set.Count(origin) {
				continue
			}
			behind[origin] = true
			if _, known := c.behindSince[origin]; !known {
				c.behindSince[origin] = c.now
			}
		}
	}
	maps.DeleteFunc(c.behindSince, func(origin Origin, _ time.Duration) bool { return !behind[origin] })
}

// pull asks one member at a time for what it holds and this one lacks, a member of the own failure domain first.
func (c *Core) pull() {
	if c.pulling || c.now < c.pullAt || len(c.behindSince) == 0 {
		return
	}
	var from *peer
	var wanted Vector
	for p := range c.peers.reachable() {
		if from != nil && (c.isNear(from) || !c.isNear(p)) {
			continue
		}
		if lacking := c.lackingFrom(p); len(lacking) > 0 {
			from, wanted = p, lacking
		}
	}
	if from == nil {
		return
	}
	c.pulling = true
	c.emit(Send{Address: from.member.Address, Message: Pull{After: wanted}})
}

// lackingFrom gives what is held of the origins of which a peer holds more, but for those whose members push by themselves.
func (c *Core) lackingFrom(p *peer) Vector {
	lacking := Vector{}
	for origin, count := range p.vector {
		held := c.set.Count(origin)
		if count <= held || c.isPushed(origin) {
			continue
		}
		lacking[origin] = held
	}
	return lacking
}

// isPushed reports whether an origin's own member can be expected to push what is lacking.
func (c *Core) isPushed(origin Origin) bool {
	since, behind := c.behindSince[origin]
	if behind && c.now-since >= pushGrace {
		return false
	}
	for p := range c.peers.reachable() {
		if p.origin == origin {
			return true
		}
	}
	return false
}

// receivePull answers a pull with as much as fits into a message.
func (c *Core) receivePull(token Token, pull Pull) {
	reply := PullReply{}
	room := runBytes
	for _, origin := range sortedOrigins(pull.After) {
		run := c.set.Run(origin, pull.After[origin]+1, room)
		if len(run.Additions) == 0 {
			continue
		}
		for _, addition := range run.Additions {
			room -= encodedBytes(addition)
		}
		reply.Runs = append(reply.Runs, run)
		if room <= 0 {
			break
		}
	}
	c.emit(Reply{token, reply})
}

// pullAnswered merges what came.
func (c *Core) pullAnswered(message Message) {
	c.pulling = false
	reply, ok := message.(PullReply)
	merged := 0
	for _, run := range reply.Runs {
		merged += c.set.Merge(run)
	}
	if !ok || merged == 0 {
		c.pullAt = c.now + retryInterval
	}
	c.updateBehind()
}
