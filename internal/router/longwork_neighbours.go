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

// neighbour is what a node reported of itself with its answer to a ping.
type neighbour struct {
	room int // jobs that it would take
	zone string
	at   time.Time
}

// overloaded tells whether this node should hand long work on.
func (l *longWork) overloaded() bool {
	if l.timerLag.Load() >= longLag {
		return true
	}
	if time.Since(l.lastShortage.Load()) < longShort {
		return true
	}
	return l.bodyMemoryUsed() > fairshare.CalmFraction*bodyMemory*l.memory()
}

// bodyMemoryUsed is the memory that bodies hold, in bytes.
func (l *longWork) bodyMemoryUsed() float64 {
	used := int64(0)
	for _, share := range l.gate.bodies.UserShares() {
		used += share.Used
	}
	return float64(used)
}

// memory is what the settings grant, in bytes.
func (l *longWork) memory() float64 {
	return l.gate.env.Load().Limits.MemoryMB * bytesPerMB
}

// room is how many jobs of others this node would hold; the caller holds the lock.
func (l *longWork) room() int {
	if !l.enabled() || !l.gate.ready.Load() || l.gate.leaving.Load() || l.overloaded() {
		return 0
	}
	return l.gate.env.Load().LongWork.MaxAcceptedJobs
}

// short records that a connection to a replica could not be had.
func (l *longWork) short() {
	if l.enabled() {
		l.lastShortage.Store(time.Now())
	}
}

// tellRoom puts the room left into the answer to a ping.
func (l *longWork) tellRoom(answer *rpc.Message) *rpc.Message {
	if !l.enabled() {
		return answer
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	accepted, running := l.taker.Jobs()
	answer.Duration = uint64(max(0, l.room()-accepted-running))
	answer.From.Zone = l.gate.env.Load().Zone
	return answer
}

// roomOf takes a node's room from its answer to a ping.
func (l *longWork) roomOf(node string, answer *rpc.Message) {
	if !l.enabled() {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.neighbours[node] = neighbour{
		room: int(min(answer.Duration, settings.AcceptedJobsLimit)),
		zone: answer.From.Zone,
		at:   time.Now(),
	}
}

// reserveNeighbour chooses the node with most room that may have a request of a
// path, and takes a place there; empty if there is none.
func (l *longWork) reserveNeighbour(path *routing.Route) string {
	l.mu.Lock()
	defer l.mu.Unlock()
	env := l.gate.env.Load()
	best, most := "", 0
	for node, candidate := range l.neighbours {
		if time.Since(candidate.at) > longKnown {
			delete(l.neighbours, node)
			continue
		}
		if candidate.room <= 0 || !candidate.mayHave(env, path) {
			continue
		}
		if candidate.room > most || candidate.room == most && node < best {
			best, most = node, candidate.room
		}
	}
	if best != "" {
		l.addRoom(best, -1)
	}
	return best
}

// mayHave tells whether a request of a path may go to the neighbour's zone.
func (n neighbour) mayHave(env *settings.Settings, path *routing.Route) bool {
	if n.zone != env.Zone && !env.LongWork.OtherZones {
		return false
	}
	return path.AllowedRegions == nil || path.AllowedRegions[env.Zones[n.zone]]
}

// addRoom corrects a neighbour's room until it reports again; the caller holds
// the lock.
func (l *longWork) addRoom(node string, change int) {
	known, ok := l.neighbours[node]
	if !ok {
		return
	}
	known.room += change
	l.neighbours[node] = known
}
