package router

import (
	"encoding/json"
	"time"

	"shaletrestle/coord/distribution"

	"github.com/cespare/xxhash/v2"

	"shaletrestle/coord/outlier"
)

// words are the failures seen here since the last time, for the acknowledgement that is about to go; nil mostly.
func (g *Router) words() []byte {
	now := time.Now()
	g.mu.Lock()
	due := now.Sub(g.toldAt) >= distribution.HeartbeatInterval/2
	if due {
		g.toldAt = now
	}
	g.mu.Unlock()
	if !due {
		return nil
	}
	ws := g.yard.Health().TakeReports(xxhash.Sum64String(g.env.Load().Port(portGate)), now)
	if len(ws) == 0 {
		return nil
	}
	b, _ := json.Marshal(ws)
	return b
}

// blame holds a failure against a replica, and tells of it at once if nothing was told for a beat.
func (g *Router) blame(id string, k outlier.FailureKind) {
	now := time.Now()
	g.yard.Health().RecordFailure(id, k, now)
	g.mu.Lock()
	due := now.Sub(g.toldAt) >= distribution.HeartbeatInterval
	g.mu.Unlock()
	if due {
		g.follower.ReportProgress()
	}
}
