package router

import (
	"time"

	"shaletrestle/coord/fairshare"

	"shaletrestle/coord/rpc"
)

// further draws one further try; when the own share is used up, it borrows a lump, which all who wait for that service share.
func (g *Router) further(pool string, within time.Duration) bool {
	if g.budget.Take(pool, g.fleet()) {
		return true
	}
	now := time.Now()
	g.mu.Lock()
	w := g.asking[pool]
	if w == nil {
		if now.Sub(g.refusedAt[pool]) < lumpPause {
			g.mu.Unlock()
			return false
		}
		w = make(chan struct{})
		g.asking[pool] = w
		go g.borrow(pool, w)
	}
	g.mu.Unlock()
	select {
	case <-w:
	case <-time.After(min(within, fairshare.LoanTimeout)):
	}
	return g.budget.Take(pool, g.fleet())
}

// borrow asks the controller for further tries of a service and wakes who waits for them.
func (g *Router) borrow(pool string, w chan struct{}) {
	start := time.Now()
	a, err := g.follower.Call(&rpc.Message{Kind: rpc.Loan, Text: pool, Number: fairshare.LoanRetries}, fairshare.LoanTimeout)
	ok := err == nil && a.OK && a.Number > 0 && a.Number <= fairshare.LoanRetries
	if ok {
		g.budget.AddLoan(pool, int64(a.Number), start.Add(fairshare.LoanLifetime))
	}
	g.mu.Lock()
	if !ok {
		g.refusedAt[pool] = time.Now()
	}
	delete(g.asking, pool)
	g.mu.Unlock()
	close(w)
}
