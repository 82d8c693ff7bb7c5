package router

import (
	"time"

	"shaletrestle/coord/fairshare"

	"shaletrestle/coord/rpc"
)

// takeRetry draws one further try; when the own share is used up, it borrows a lump, which all who wait for that service share.
func (r *Router) takeRetry(pool string, within time.Duration) bool {
	if r.budget.Take(pool, r.fleetSize()) {
		return true
	}
	now := time.Now()
	r.mu.Lock()
	w := r.borrowing[pool]
	if w == nil {
		if now.Sub(r.loanRejectedAt[pool]) < loanPause {
			r.mu.Unlock()
			return false
		}
		w = make(chan struct{})
		r.borrowing[pool] = w
		go r.borrow(pool, w)
	}
	r.mu.Unlock()
	select {
	case <-w:
	case <-time.After(min(within, fairshare.LoanTimeout)):
	}
	return r.budget.Take(pool, r.fleetSize())
}

// borrow asks the controller for further tries of a service and wakes who waits for them.
func (r *Router) borrow(pool string, w chan struct{}) {
	start := time.Now()
	a, err := r.follower.Call(&rpc.Message{Kind: rpc.Loan, Text: pool, Number: fairshare.LoanRetries}, fairshare.LoanTimeout)
	ok := err == nil && a.OK && a.Number > 0 && a.Number <= fairshare.LoanRetries
	if ok {
		r.budget.AddLoan(pool, int64(a.Number), start.Add(fairshare.LoanLifetime))
	}
	r.mu.Lock()
	if !ok {
		r.loanRejectedAt[pool] = time.Now()
	}
	delete(r.borrowing, pool)
	r.mu.Unlock()
	close(w)
}
