package lease

import (
	"sync"
	"time"

	"shaletrestle/coord/rpc"
)

// grant is a lease that a grantor has given.
type grant struct {
	holder      uint64 // its member ID
	incarnation uint64 // of the holder's process
	ambiguous   bool   // requests of another incarnation of the holder came as well
	number      uint64 // the highest among its renewals
	until       time.Time
}

// renew extends an unexpired grant. The request may be a delayed one: it neither shortens the grant nor lowers its number,
// so that an old release stays older than what was granted since. Of two incarnations of the holder it isn't known here
// which is the later, so no release of either counts any more and the grant must expire.
func (g *grant) renew(incarnation, number uint64, until time.Time) {
	g.ambiguous = g.ambiguous || g.incarnation != incarnation
	g.number = max(g.number, number)
	if until.After(g.until) {
		g.until = until
	}
}

// releasedBy reports whether a release is newer than every request that the grant was made or renewed for.
func (g *grant) releasedBy(incarnation, number uint64) bool {
	return !g.ambiguous && g.incarnation == incarnation && g.number < number
}

// Grantor answers the lease requests of holders. Its grants are in memory only: a new one refuses everything for
// Duration, until any lease that its predecessor granted has ended. All methods are safe for concurrent use.
type Grantor struct {
	started time.Time

	mu     sync.Mutex
	grants map[string]grant // by duty; guarded by mu
}

// NewGrantor returns a grantor that begins to grant after Duration.
func NewGrantor() *Grantor { return &Grantor{started: time.Now(), grants: map[string]grant{}} }

// Handle answers an rpc.Lease request: it asks for the duty named by its Text for its Duration, in nanoseconds and at
// most the package's, or releases the lease if that is zero. From names the holder, Ballot its incarnation, and Number
// orders the requests within that. OK in the answer says that the lease was granted, or that the release was
// taken note of: a release that is older than the grant changes nothing.
func (g *Grantor) Handle(request *rpc.Message) *rpc.Message {
	now := time.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	if now.Sub(g.started) < Duration {
		return request.Reply(false)
	}
	current, known := g.grants[request.Text]
	unexpired := known && now.Before(current.until)
	if unexpired && current.holder != request.From.ID {
		return request.Reply(false)
	}
	if request.Duration == 0 {
		if unexpired && current.releasedBy(request.Ballot, request.Number) {
			delete(g.grants, request.Text)
		}
		return request.Reply(true)
	}
	until := now.Add(min(time.Duration(request.Duration), Duration))
	if unexpired {
		current.renew(request.Ballot, request.Number, until)
	} else {
		current = grant{holder: request.From.ID, incarnation: request.Ballot, number: request.Number, until: until}
	}
	g.grants[request.Text] = current
	return request.Reply(true)
}
