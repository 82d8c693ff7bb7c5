package router

import (
	"sync"
	"time"

	"shaletrestle/coord/fairshare"
)

type loan struct {
	left    int64
	expires time.Time
}

type account struct {
	requests, retries []time.Time
	loans             []loan
}

// Budget is this process's part of the further tries that the fleet may make, by service: a share of its own requests, a small standing share of the slack, and lumps borrowed from the rest of it.
type Budget struct {
	mu       sync.Mutex
	ratio    float64
	slack    float64
	window   time.Duration
	margin   float64
	accounts map[string]*account
}

// NewBudget makes a budget; slack is the whole fleet's.
func NewBudget(ratio, slack float64, window time.Duration, margin float64) *Budget {
	return &Budget{ratio: ratio, slack: slack, window: window, margin: margin, accounts: map[string]*account{}}
}

func (b *Budget) account(pool string) *account {
	a := b.accounts[pool]
	if a == nil {
		a = &account{}
		b.accounts[pool] = a
	}
	now := time.Now()
	old := now.Add(-b.window)
	trim := func(ms []time.Time) []time.Time {
		i := 0
		for i < len(ms) && ms[i].Before(old) {
			i++
		}
		return ms[i:]
	}
	a.requests, a.retries = trim(a.requests), trim(a.retries)
	for len(a.loans) > 0 && (a.loans[0].left == 0 || !now.Before(a.loans[0].expires)) {
		a.loans = a.loans[1:]
	}
	return a
}

// RecordRequest notes an inquiry for a service.
func (b *Budget) RecordRequest(pool string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	a := b.account(pool)
	a.requests = append(a.requests, time.Now())
}

// AddLoan adds borrowed tries; till is the end of the loan, counted from before it was asked for.
func (b *Budget) AddLoan(pool string, n int64, till time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	a := b.account(pool)
	a.loans = append(a.loans, loan{n, till})
}

// Remaining is how many further tries this process may still make now.
func (b *Budget) Remaining(pool string, fleet int) float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	a := b.account(pool)
	n := b.own(a, fleet)
	for _, l := range a.loans {
		n += float64(l.left)
	}
	return n
}

// own is what remains of the own shares.
func (b *Budget) own(a *account, fleet int) float64 {
	return b.margin*(b.ratio*float64(len(a.requests))+(1-fairshare.LentFraction)*b.slack/float64(max(1, fleet))) - float64(len(a.retries))
}

// Take draws one further try, a borrowed one first: it runs out sooner.
func (b *Budget) Take(pool string, fleet int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	a := b.account(pool)
	if len(a.loans) > 0 {
		a.loans[0].left--
		return true
	}
	if b.own(a, fleet) < 1 {
		return false
	}
	a.retries = append(a.retries, time.Now())
	return true
}
