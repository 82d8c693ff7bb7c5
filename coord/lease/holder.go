package lease

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"shaletrestle/coord/rpc"
	"shaletrestle/coord/wait"
)

// Caller carries a request to a grantor at an address and its answer back, as *rpc.Pool does. It must be safe for
// concurrent use and return within the timeout.
type Caller interface {
	Call(address string, request *rpc.Message, timeout time.Duration) (*rpc.Message, error)
}

// Holder keeps the lease of one duty while that is wanted. All methods are safe for concurrent use.
type Holder struct {
	options     HolderOptions
	incarnation uint64 // drawn for this holder: its requests are numbered within it

	mu          sync.Mutex // guards what follows
	until       time.Time  // the lease is held before this; zero: it was released or never held
	since       time.Time  // since when it is held without a gap; valid while it is held
	lastRequest uint64     // number of the newest
	releases    uint64     // counted, so that a renewal that was in flight during one is ignored
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
	// Wanted reports whether the lease is to be held; when it turns false the next renewal releases it.
	// Required.
	Wanted func() bool
	// Local is this process's own grantor, asked without Caller for a grantor whose ID is Self's. nil: no grantor
	// listed has that ID.
	Local *Grantor
}

// NewHolder returns a holder that doesn't hold its lease yet.
func NewHolder(options HolderOptions) *Holder {
	return &Holder{options: options, incarnation: rand.Uint64()}
}

// Held reports whether the lease is held now. Ask again after everything that may block: the process may have been
// paused meanwhile.
func (h *Holder) Held() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return time.Now().Before(h.until)
}

// HeldSince returns since when the lease has been held without a gap; held is false if it isn't held now.
func (h *Holder) HeldSince() (since time.Time, held bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.since, time.Now().Before(h.until)
}

// Run renews until the context ends, then releases the lease.
func (h *Holder) Run(ctx context.Context) {
	wait.Every(ctx, renewInterval, func() bool { h.Renew(); return true })
	h.release()
}

func (h *Holder) release() {
	h.mu.Lock()
	mayHold := !h.until.IsZero()
	h.until = time.Time{}
	h.releases++
	number := h.nextRequest() // under the same lock: a renewal that begins after this has a higher one
	h.mu.Unlock()
	if mayHold {
		h.request(0, number)
	}
}

// Renew asks for the lease once if it is wanted, else releases it. It reports whether a majority granted it; by then it
// may have ended already, so ask Held.
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
		h.since = time.Now() // it had ended, or was never held
	}
	end := start.Add(Duration - safetyMargin) // a grantor counts Duration from the receipt, which is later
	if end.After(h.until) {
		h.until = end
	}
	return true
}

// nextRequest numbers a request. The caller holds the lock.
func (h *Holder) nextRequest() uint64 {
	h.lastRequest++
	return h.lastRequest
}

// request asks all grantors for a duration, or releases the lease if that is zero, and returns as soon as a majority has
// agreed. Calls that are still in flight then end by their time-out; nobody waits for them.
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

// ask reports whether one grantor agrees.
func (h *Holder) ask(grantor rpc.Member, message *rpc.Message) bool {
	if grantor.ID == h.options.Self.ID {
		return h.options.Local.Handle(message).OK
	}
	answer, err := h.options.Caller.Call(grantor.Address, message, rpc.CallTimeout)
	return err == nil && answer.OK
}
