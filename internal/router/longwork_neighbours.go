package router

import (
	"time"

	"shaletrestle/coord/fairshare"

	"shaletrestle/coord/rpc"
	"shaletrestle/internal/routing"
	"shaletrestle/internal/settings"
)

// bytesPerMB is the number of bytes in a megabyte of the settings.
const bytesPerMB = 1 << 20

// peer is what a node reported of itself with its answer to a ping.
type peer struct {
	capacity int // jobs that it would take
	zone     string
	at       time.Time
}

// overloaded tells whether this node should hand long work on.
func (l *longWork) overloaded() bool {
	if l.timerLag.Load() >= longLag {
		return true
	}
	if time.Since(l.lastShortage.Load()) < longShort {
		return true
	}
	return l.bodyMemoryUsed() > fairshare.CalmFraction*bodyMemoryFraction*l.memory()
}

// bodyMemoryUsed is the memory that bodies hold, in bytes.
func (l *longWork) bodyMemoryUsed() float64 {
	used := int64(0)
	for _, share := range l.router.bodies.UserShares() {
		used += share.Used
	}
	return float64(used)
}

// memory is what the settings grant, in bytes.
func (l *longWork) memory() float64 {
	return l.router.settings.Load().Limits.MemoryMB * bytesPerMB
}

// capacity is how many jobs of others this node would hold; the caller holds the lock.
func (l *longWork) capacity() int {
	if !l.enabled() || !l.router.ready.Load() || l.router.leaving.Load() || l.overloaded() {
		return 0
	}
	return l.router.settings.Load().LongWork.MaxAcceptedJobs
}

// recordShortage records that a connection to a replica could not be had.
func (l *longWork) recordShortage() {
	if l.enabled() {
		l.lastShortage.Store(time.Now())
	}
}

// answerPing puts the room left into the answer to a ping.
func (l *longWork) answerPing(answer *rpc.Message) *rpc.Message {
	if !l.enabled() {
		return answer
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	accepted, running := l.taker.Jobs()
	answer.Duration = uint64(max(0, l.capacity()-accepted-running))
	answer.From.Zone = l.router.settings.Load().Zone
	return answer
}

// recordPeer takes a node's room from its answer to a ping.
func (l *longWork) recordPeer(node string, answer *rpc.Message) {
	if !l.enabled() {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.peers[node] = peer{
		capacity: int(min(answer.Duration, settings.AcceptedJobsLimit)),
		zone:     answer.From.Zone,
		at:       time.Now(),
	}
}

// reservePeer chooses the node with most room that may have a request of a
// path, and takes a place there; empty if there is none.
func (l *longWork) reservePeer(path *routing.Route) string {
	l.mu.Lock()
	defer l.mu.Unlock()
	env := l.router.settings.Load()
	best, most := "", 0
	for node, candidate := range l.peers {
		if time.Since(candidate.at) > longKnown {
			delete(l.peers, node)
			continue
		}
		if candidate.capacity <= 0 || !candidate.mayHave(env, path) {
			continue
		}
		if candidate.capacity > most || candidate.capacity == most && node < best {
			best, most = node, candidate.capacity
		}
	}
	if best != "" {
		l.adjustCapacity(best, -1)
	}
	return best
}

// mayHave tells whether a request of a path may go to the neighbour's zone.
func (n peer) mayHave(env *settings.Settings, path *routing.Route) bool {
	if n.zone != env.Zone && !env.LongWork.OtherZones {
		return false
	}
	return path.AllowedRegions == nil || path.AllowedRegions[env.Zones[n.zone]]
}

// adjustCapacity corrects a neighbour's room until it reports again; the caller holds
// the lock.
func (l *longWork) adjustCapacity(node string, change int) {
	known, ok := l.peers[node]
	if !ok {
		return
	}
	known.capacity += change
	l.peers[node] = known
}
