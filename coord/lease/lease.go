// Package lease gives duties to one process at a time: a lease granted by a majority of grantors, counted on the steady clock from before it was asked for, and given up before it ends.
package lease

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"shaletrestle/coord/wait"

	"shaletrestle/coord/rpc"
)

type grant struct {
	holder uint64
	life   uint64 // of the holder's process
	mixed  bool   // requests of another life of the holder came meanwhile
	number uint64 // the highest of a renewal in that life
	until  time.Time
}

// renew extends a grant that runs. A request may be a late one: it neither shortens the grant nor lowers its number, so that an old give-back stays older than what was granted since. Of two lives of the holder nobody here knows which is the later, so no give-back counts any more.
func (g *grant) renew(life, number uint64, until time.Time) {
	g.mixed = g.mixed || g.life != life
	g.number = max(g.number, number)
	if until.After(g.until) {
		g.until = until
	}
}

// givenBackBy tells whether a give-back is newer than all that the grant stands for.
func (g *grant) givenBackBy(life, number uint64) bool {
	return !g.mixed && g.life == life && g.number < number
}

// Grantor answers lease requests. It keeps nothing on disk: a new one refuses until any lease that its forerunner gave has ended.
type Grantor struct {
	mu    sync.Mutex
	born  time.Time
	given map[string]grant
}

// NewGrantor makes a grantor.
func NewGrantor() *Grantor { return &Grantor{born: time.Now(), given: map[string]grant{}} }

// Handle answers a lease request.
func (g *Grantor) Handle(n *rpc.Message) *rpc.Message {
	now := time.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	if now.Sub(g.born) < Duration {
		return n.Reply(false)
	}
	held, known := g.given[n.Text]
	runs := known && now.Before(held.until)
	if runs && held.holder != n.From.ID {
		return n.Reply(false)
	}
	if n.Duration == 0 {
		if runs && held.givenBackBy(n.Ballot, n.Number) {
			delete(g.given, n.Text)
		}
		return n.Reply(true)
	}
	until := now.Add(min(time.Duration(n.Duration), Duration))
	if runs {
		held.renew(n.Ballot, n.Number, until)
	} else {
		held = grant{holder: n.From.ID, life: n.Ballot, number: n.Number, until: until}
	}
	g.given[n.Text] = held
	return n.Reply(true)
}

// Caller asks one grantor.
type Caller interface {
	Call(addr string, n *rpc.Message, d time.Duration) (*rpc.Message, error)
}

// Holder keeps one duty's lease while it is wanted.
type Holder struct {
	ctx   context.Context
	duty  string
	self  rpc.Member
	ask   Caller
	from  func() []rpc.Member
	want  func() bool
	local *Grantor
	life  uint64 // of this holder: its requests are numbered within it

	mu        sync.Mutex
	until     time.Time
	since     time.Time
	requests  uint64 // sent
	givenBack uint64 // times; a renewal that was under way then counts no more
}

// NewHolder makes a holder; from names the grantors of the moment, want says whether the duty is wanted, local is this process's own grantor.
func NewHolder(ctx context.Context, duty string, self rpc.Member, ask Caller, from func() []rpc.Member, want func() bool, local *Grantor) *Holder {
	return &Holder{
		ctx:   ctx,
		duty:  duty,
		self:  self,
		ask:   ask,
		from:  from,
		want:  want,
		local: local,
		life:  rand.Uint64(),
	}
}

// Held tells whether the duty may be done now. Ask again after every wait: the process may have stood still.
func (h *Holder) Held() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return time.Now().Before(h.until)
}

// HeldSince tells since when the duty is held without a gap; ok is false if it isn't held now.
func (h *Holder) HeldSince() (m time.Time, ok bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.since, time.Now().Before(h.until)
}

// Run renews until the scope ends, then gives back.
func (h *Holder) Run() {
	wait.Every(h.ctx, leaseRenew, func() bool { h.Renew(); return true })
	h.giveBack()
}

func (h *Holder) giveBack() {
	h.mu.Lock()
	had := !h.until.IsZero()
	h.until = time.Time{}
	h.givenBack++
	number := h.nextRequest() // under the same lock: a renewal that begins after this has a higher one
	h.mu.Unlock()
	if had {
		h.round(0, number)
	}
}

// Renew asks for the lease once, if it is wanted.
func (h *Holder) Renew() bool {
	if !h.want() {
		h.giveBack()
		return false
	}
	h.mu.Lock()
	givenBack := h.givenBack
	number := h.nextRequest()
	h.mu.Unlock()
	start := time.Now()
	if !h.round(uint64(Duration), number) {
		return false
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.givenBack != givenBack {
		return false
	}
	if !start.Before(h.until) {
		h.since = time.Now()
	}
	end := start.Add(Duration - leaseMargin)
	if end.After(h.until) {
		h.until = end
	}
	return true
}

// nextRequest numbers a request. The caller holds the lock.
func (h *Holder) nextRequest() uint64 {
	h.requests++
	return h.requests
}

// round asks all grantors and tells whether most of them agreed.
func (h *Holder) round(span, number uint64) bool {
	seats := h.from()
	ch := make(chan bool, len(seats))
	for _, s := range seats {
		n := &rpc.Message{Kind: rpc.Lease, From: h.self, To: s.ID, Text: h.duty, Duration: span, Ballot: h.life, Number: number}
		go func() {
			if s.ID == h.self.ID {
				ch <- h.local.Handle(n).OK
				return
			}
			a, err := h.ask.Call(s.Address, n, rpc.CallTimeout)
			ch <- err == nil && a.OK
		}()
	}
	got := 0
	for range seats {
		if <-ch {
			got++
		}
		if got > len(seats)/2 {
			return true
		}
	}
	return false
}
