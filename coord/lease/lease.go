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
	options     HolderOptions
	incarnation uint64 // of this holder: its requests are numbered within it

	mu       sync.Mutex // guards what follows
	until    time.Time  // the lease is held before this; zero: not held
	since    time.Time  // held without a gap since this
	requests uint64     // numbered so far
	releases uint64     // counted: a renewal that was under way during one counts no more
}

// HolderOptions configure a holder.
type HolderOptions struct {
	// Duty names the lease at the grantors. Required.
	Duty string
	// Self is the process that asks; its ID tells holders apart and must be unique. Required.
	Self rpc.Member
	// Caller carries requests to the other grantors. Required unless Local is the only grantor.
	Caller Caller
	// Grantors lists all grantors of the moment; a majority of them decides. Required.
	Grantors func() []rpc.Member
	// Wanted tells whether the lease is to be held; when it turns false the next renewal gives the lease back.
	// Required.
	Wanted func() bool
	// Local is this process's own grantor, asked without Caller for a grantor whose ID is Self's. nil: no grantor
	// listed has that ID.
	Local *Grantor
}

// NewHolder makes a holder that doesn't hold its lease yet.
func NewHolder(options HolderOptions) *Holder {
	return &Holder{options: options, incarnation: rand.Uint64()}
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

// Run renews until the context ends, then gives the lease back.
func (h *Holder) Run(ctx context.Context) {
	wait.Every(ctx, renewInterval, func() bool { h.Renew(); return true })
	h.release()
}

func (h *Holder) release() {
	h.mu.Lock()
	had := !h.until.IsZero()
	h.until = time.Time{}
	h.releases++
	number := h.nextRequest() // under the same lock: a renewal that begins after this has a higher one
	h.mu.Unlock()
	if had {
		h.request(0, number)
	}
}

// Renew asks for the lease once if it is wanted, else gives it back. It tells whether the grantors granted it; that
// may be too late to be of use, so ask Held.
func (h *Holder) Renew() bool {
	if !h.options.Wanted() {
		h.release()
		return false
	}
	h.mu.Lock()
	releases := h.releases
	number := h.nextRequest()
	h.mu.Unlock()
	start := time.Now()
	if !h.request(Duration, number) {
		return false
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.releases != releases {
		return false
	}
	if !start.Before(h.until) {
		h.since = time.Now()
	}
	end := start.Add(Duration - safetyMargin)
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

// request asks all grantors for a duration, or to take the lease back if that is zero, and tells as soon as a
// majority has agreed. Calls still under way then end by their time-out and nobody waits for them.
func (h *Holder) request(duration time.Duration, number uint64) bool {
	grantors := h.options.Grantors()
	agreed := make(chan bool, len(grantors))
	for _, grantor := range grantors {
		message := &rpc.Message{
			Kind:     rpc.Lease,
			From:     h.options.Self,
			To:       grantor.ID,
			Text:     h.options.Duty,
			Duration: uint64(duration),
			Ballot:   h.incarnation,
			Number:   number,
		}
		go func() { agreed <- h.ask(grantor, message) }()
	}
	grants := 0
	for range grantors {
		if <-agreed {
			grants++
		}
		if grants > len(grantors)/2 {
			return true
		}
	}
	return false
}

// ask tells whether one grantor agrees.
func (h *Holder) ask(grantor rpc.Member, message *rpc.Message) bool {
	if grantor.ID == h.options.Self.ID {
		return h.options.Local.Handle(message).OK
	}
	answer, err := h.options.Caller.Call(grantor.Address, message, rpc.CallTimeout)
	return err == nil && answer.OK
}
