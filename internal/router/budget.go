package router

import (
	"sync"
	"time"

	"shaletrestle/coord/fairshare"
)

type lump struct {
	n    int64
	till time.Time
}

type account struct {
	asked, extra []time.Time
	lumps        []lump
}

// Budget is this process's part of the further tries that the fleet may make, by service: a share of its own requests, a small standing share of the slack, and lumps borrowed from the rest of it.
type Budget struct {
	mu     sync.Mutex
	ratio  float64
	slack  float64
	window time.Duration
	margin float64
	a      map[string]*account
}

// NewBudget makes a budget; slack is the whole fleet's.
func NewBudget(ratio, slack float64, window time.Duration, margin float64) *Budget {
	return &Budget{ratio: ratio, slack: slack, window: window, margin: margin, a: map[string]*account{}}
}

func (b *Budget) get(pool string) *account {
	a := b.a[pool]
	if a == nil {
		a = &account{}
		b.a[pool] = a
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
	a.asked, a.extra = trim(a.asked), trim(a.extra)
	for len(a.lumps) > 0 && (a.lumps[0].n == 0 || !now.Before(a.lumps[0].till)) {
		a.lumps = a.lumps[1:]
	}
	return a
}

// RecordRequest notes an inquiry for a service.
func (b *Budget) RecordRequest(pool string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	a := b.get(pool)
	a.asked = append(a.asked, time.Now())
}

// AddLoan adds borrowed tries; till is the end of the loan, counted from before it was asked for.
func (b *Budget) AddLoan(pool string, n int64, till time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	a := b.get(pool)
	a.lumps = append(a.lumps, lump{n, till})
}

// Remaining is how many further tries this process may still make now.
func (b *Budget) Remaining(pool string, fleet int) float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	a := b.get(pool)
	n := b.left(a, fleet)
	for _, l := range a.lumps {
		n += float64(l.n)
	}
	return n
}

// left is what remains of the own shares.
func (b *Budget) left(a *account, fleet int) float64 {
	return b.margin*(b.ratio*float64(len(a.asked))+(1-fairshare.LentFraction)*b.slack/float64(max(1, fleet))) - float64(len(a.extra))
}

// Take draws one further try, a borrowed one first: it runs out sooner.
func (b *Budget) Take(pool string, fleet int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	a := b.get(pool)
	if len(a.lumps) > 0 {
		a.lumps[0].n--
		return true
	}
	if b.left(a, fleet) < 1 {
		return false
	}
	a.extra = append(a.extra, time.Now())
	return true
}
