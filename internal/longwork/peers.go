package longwork

import (
	"time"

	"shaletrestle/coord/fairshare"
	"shaletrestle/coord/rpc"
	"shaletrestle/internal/routing"
	"shaletrestle/internal/settings"
)

const (
	loadedLag        = 40 * time.Millisecond // timers this late show a loaded processor
	shortageLifetime = 1 * time.Second       // a connection that could not be had shows an overloaded router for so long
	peerLifetime     = 2 * time.Second       // what a peer reported counts for so long: some heartbeats
)

// peer is what a router reported of itself with its answer to a ping.
type peer struct {
	capacity int // jobs that it would take
	zone     string
	at       time.Time
}

// overloaded reports whether this router should offer its long work to peers.
func (c *Coordinator) overloaded() bool {
	if c.timerLag.Load() >= loadedLag {
		return true
	}
	if time.Since(c.lastShortage.Load()) < shortageLifetime {
		return true
	}
	used, limit := c.router.BodyMemory()
	return used > fairshare.CalmFraction*limit
}

// capacity is how many jobs of peers may be here at once; the caller holds the lock.
func (c *Coordinator) capacity() int {
	if !c.Enabled() || !c.router.AcceptsWork() || c.overloaded() {
		return 0
	}
	return c.router.Settings().LongWork.MaxAcceptedJobs
}

// RecordShortage records that a connection to a replica could not be had.
func (c *Coordinator) RecordShortage() {
	if c.Enabled() {
		c.lastShortage.Store(time.Now())
	}
}

// AnswerPing adds the capacity left to the answer to a peer's ping and returns it.
func (c *Coordinator) AnswerPing(answer *rpc.Message) *rpc.Message {
	if !c.Enabled() {
		return answer
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	accepted, running := c.taker.Jobs()
	answer.Duration = uint64(max(0, c.capacity()-accepted-running))
	answer.From.Zone = c.router.Settings().Zone
	return answer
}

// RecordPeer takes a peer's capacity from its answer to a ping.
func (c *Coordinator) RecordPeer(node string, answer *rpc.Message) {
	if !c.Enabled() {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.peers[node] = peer{
		capacity: int(min(answer.Duration, settings.AcceptedJobsLimit)),
		zone:     answer.From.Zone,
		at:       time.Now(),
	}
}

// reservePeer chooses the peer with most capacity that may have a request of a route, and reserves a place there; empty if
// there is none.
func (c *Coordinator) reservePeer(route *routing.Route) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	env := c.router.Settings()
	best, capacity := "", 0
	for node, candidate := range c.peers {
		if time.Since(candidate.at) > peerLifetime {
			delete(c.peers, node)
			continue
		}
		if candidate.capacity <= 0 || !candidate.mayHave(env, route) {
			continue
		}
		if candidate.capacity > capacity || candidate.capacity == capacity && node < best {
			best, capacity = node, candidate.capacity
		}
	}
	if best != "" {
		c.adjustCapacity(best, -1)
	}
	return best
}

// mayHave reports whether a request of a route may go to the peer's zone.
func (p peer) mayHave(env *settings.Settings, route *routing.Route) bool {
	if p.zone != env.Zone && !env.LongWork.OtherZones {
		return false
	}
	return route.AllowedRegions == nil || route.AllowedRegions[env.Zones[p.zone]]
}

// adjustCapacity corrects a peer's capacity until it reports again; the caller holds the lock.
func (c *Coordinator) adjustCapacity(node string, change int) {
	known, ok := c.peers[node]
	if !ok {
		return
	}
	known.capacity += change
	c.peers[node] = known
}
