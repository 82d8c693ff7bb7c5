package retrybudget

import (
	"sync"
	"time"
)

// loanPause is the wait after a rejection before a loan for that service is asked for again.
const loanPause = 400 * time.Millisecond

// Options are the rule that the fleet keeps to.
type Options struct {
	Ratio  float64       // retries per request
	Slack  float64       // retries of the whole fleet in a window beside those
	Window time.Duration // of the rule
	Margin float64       // part of both that is used: fleet sizes may lag
}

// Lender lends retries from the fleet's slack.
type Lender interface {
	// Lend asks for retries of a service and returns how many were lent; 0 if none were, or if no answer came within
	// LoanTimeout. It is never called for one service twice at a time.
	Lend(service string) int64
}

// Budget is one process's part of the retries that the fleet may make. It is safe for concurrent use.
type Budget struct {
	lender    Lender
	fleetSize func() int

	mu         sync.Mutex // guards the fields below
	shares     *shares
	borrowing  map[string]chan struct{} // closed when the loan asked for has come or not, by service
	rejectedAt map[string]time.Time     // when nothing was lent last, by service
}

// New returns a budget without requests and loans. fleetSize gives the number of processes that share the slack; it must
// be safe for concurrent use.
func New(options Options, lender Lender, fleetSize func() int) *Budget {
	return &Budget{
		lender:     lender,
		fleetSize:  fleetSize,
		shares:     newShares(options),
		borrowing:  map[string]chan struct{}{},
		rejectedAt: map[string]time.Time{},
	}
}

// RecordRequest counts a request for a service.
func (b *Budget) RecordRequest(service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.shares.recordRequest(service)
}

// Remaining is how many retries for a service this process may still make now, without another loan.
func (b *Budget) Remaining(service string) float64 {
	fleetSize := b.fleetSize()
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.shares.remaining(service, fleetSize)
}

// Take draws one retry for a service. When the own share is used up it waits for a loan, at most for the timeout; all
// who wait for the same service share one. It returns false if there is none.
func (b *Budget) Take(service string, timeout time.Duration) bool {
	if b.takeNow(service) {
		return true
	}
	now := time.Now()
	b.mu.Lock()
	lent := b.borrowing[service]
	if lent == nil {
		if now.Sub(b.rejectedAt[service]) < loanPause {
			b.mu.Unlock()
			return false
		}
		lent = make(chan struct{})
		b.borrowing[service] = lent
		go b.borrow(service, lent) // it ends by itself: the lender bounds its time
	}
	b.mu.Unlock()
	select {
	case <-lent:
	case <-time.After(min(timeout, LoanTimeout)):
	}
	return b.takeNow(service)
}

func (b *Budget) takeNow(service string) bool {
	fleetSize := b.fleetSize()
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.shares.take(service, fleetSize)
}

// borrow asks for a loan and wakes those who wait for it.
func (b *Budget) borrow(service string, lent chan struct{}) {
	start := time.Now() // the lender's time begins later
	retries := b.lender.Lend(service)
	b.mu.Lock()
	if retries > 0 {
		b.shares.addLoan(service, retries, start.Add(LoanLifetime))
	} else {
		b.rejectedAt[service] = time.Now()
	}
	delete(b.borrowing, service)
	b.mu.Unlock()
	close(lent)
}
