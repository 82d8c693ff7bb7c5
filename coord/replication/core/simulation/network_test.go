package simulation

import (
	"time"

	"shaletrestle/coord/replication/core"
)

// heldMessage was sent into a cut, and arrives once the cut is over.
type heldMessage struct {
	from    *host
	power   int  // losses of power of the sender before
	durable bool // by the sender's machine: it goes with its power
	address string
	message core.Message
}

const (
	maxHeldMessages = 40                     // messages that a cut holds up
	heldRate        = 0.3                    // the others are lost
	lateWait        = 400 * time.Millisecond // a late or a repeated message comes at most this late
	veryLateWait    = 8 * time.Second        // the same, beyond the tolerance: a member that is gone may seem to live
)

// send puts a message on its way: it may be lost, late, repeated, or overtaken by others.
func (c *cluster) send(from *host, address string, message core.Message) {
	if *showAll {
		c.trace("%s sends %s %T %+v", from, address, message, message)
	}
	if from.cutOut > 0 {
		from.hold(heldMessage{from, from.powerLosses, from.slow > 0, address, message})
		return
	}
	to := c.addresses[address]
	if to == nil || c.chance(c.settings.LossRate+from.lossy+to.lossy) {
		return
	}
	if c.pairCuts[[2]int{from.number, to.number}] > 0 {
		return
	}
	c.deliverAfter(c.delay(from, to), from, address, message)
	if c.chance(c.settings.RepeatRate) {
		c.deliverAfter(c.between(0, c.settings.RepeatWait), from, address, message)
	}
}

// delay is how long a message takes.
func (c *cluster) delay(from, to *host) time.Duration {
	limit := c.settings.ZoneDelay
	if from.zone != to.zone {
		limit = c.settings.FarDelay
	}
	delay := c.between(limit/3, limit) + from.slow + to.slow
	if c.chance(c.settings.LateRate) {
		delay += c.between(0, lateWait)
	}
	if !c.settings.Ordered {
		return delay
	}
	link := [2]int{from.number, to.number}
	arrival := max(c.now+delay, c.links[link])
	c.links[link] = arrival
	return arrival - c.now
}

func (c *cluster) deliverAfter(delay time.Duration, from *host, address string, message core.Message) {
	sent := heldMessage{from, from.powerLosses, from.slow > 0, address, message}
	c.after(delay, func() { c.arrive(sent) })
}

// arrive gives a message to whoever lives at its address now.
func (c *cluster) arrive(m heldMessage) {
	to := c.addresses[m.address]
	if to == nil || to.process == nil || m.durable && m.power != m.from.powerLosses {
		return
	}
	if to.cutIn > 0 {
		to.hold(m)
		return
	}
	if *showAll {
		c.trace("%s gets %T from %s", to, m.message, m.from)
	}
	to.process.take(happening{kind: messageHappening, event: core.Received{Message: m.message}})
}

// hold keeps some of the messages that a cut stops.
func (h *host) hold(m heldMessage) {
	if len(h.held) < maxHeldMessages && h.cluster.chance(heldRate) {
		h.held = append(h.held, m)
	}
}

// releaseHeld lets the messages go that a cut held up, unless their sender lost power since.
func (h *host) releaseHeld() {
	held := h.held
	h.held = nil
	for _, m := range held {
		if m.power == m.from.powerLosses {
			h.cluster.after(h.cluster.between(0, lateWait), func() { h.cluster.arrive(m) })
		}
	}
}
