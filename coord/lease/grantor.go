package lease

import (
	"sync"
	"time"

	"shaletrestle/coord/rpc"
)

// grant is a lease that a grantor has given.
type grant struct {
	holder      uint64 // id
	incarnation uint64 // of the holder's process
	ambiguous   bool   // requests of another incarnation of the holder came meanwhile
	number      uint64 // the highest of a renewal by that incarnation
	until       time.Time
}

// renew extends a grant that runs. A request may be a late one: it neither shortens the grant nor lowers its number, so
// that an old release stays older than what was granted since. Of two incarnations of the holder nobody here knows
// which is the later, so that no release counts any more.
func (g *grant) renew(incarnation, number uint64, until time.Time) {
	g.ambiguous = g.ambiguous || g.incarnation != incarnation
	g.number = max(g.number, number)
	if until.After(g.until) {
		g.until = until
	}
}

// releasedBy tells whether a release is newer than all that the grant stands for.
func (g *grant) releasedBy(incarnation, number uint64) bool {
	return !g.ambiguous && g.incarnation == incarnation && g.number < number
}

// Grantor answers the lease requests of holders. Its grants are in memory only: a new one refuses everything for
// Duration, until any lease that its predecessor gave has ended.
type Grantor struct {
	started time.Time

	mu     sync.Mutex
	grants map[string]grant // by duty; guarded by mu
}

// NewGrantor makes a grantor that begins to grant after Duration.
func NewGrantor() *Grantor { return &Grantor{started: time.Now(), grants: map[string]grant{}} }

// Handle answers an rpc.Lease request: it asks for the duty named by its Text for its Duration, in nanoseconds and at
// most the package's, or gives the lease back if that is zero. From names the holder, Ballot its incarnation, and Number
// orders the requests within that. OK in the answer says that the lease is granted or no longer the sender's.
func (g *Grantor) Handle(request *rpc.Message) *rpc.Message {
	now := time.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	if now.Sub(g.started) < Duration {
		return request.Reply(false)
	}
	current, known := g.grants[request.Text]
	runs := known && now.Before(current.until)
	if runs && current.holder != request.From.ID {
		return request.Reply(false)
	}
	if request.Duration == 0 {
		if runs && current.releasedBy(request.Ballot, request.Number) {
			delete(g.grants, request.Text)
		}
		return request.Reply(true)
	}
	until := now.Add(min(time.Duration(request.Duration), Duration))
	if runs {
		current.renew(request.Ballot, request.Number, until)
	} else {
		current = grant{holder: request.From.ID, incarnation: request.Ballot, number: request.Number, until: until}
	}
	g.grants[request.Text] = current
	return request.Reply(true)
}
