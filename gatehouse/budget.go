package gatehouse

import (
	"sync"

	"shaletrestle/tick"
)

type account struct {
	asked, extra []tick.Moment
}

// Budget is this process's share of the further tries that the fleet may make, by service.
type Budget struct {
	mu     sync.Mutex
	ratio  float64
	slack  float64
	window tick.Span
	margin float64
	a      map[string]*account
}

// NewBudget makes a budget; slack is the whole fleet's.
func NewBudget(ratio, slack float64, window tick.Span, margin float64) *Budget {
	return &Budget{ratio: ratio, slack: slack, window: window, margin: margin, a: map[string]*account{}}
}

func (b *Budget) get(pool string) *account {
	a := b.a[pool]
	if a == nil {
		a = &account{}
		b.a[pool] = a
	}
	old := tick.Now().Add(-b.window)
	trim := func(ms []tick.Moment) []tick.Moment {
		i := 0
		for i < len(ms) && ms[i].Before(old) {
			i++
		}
		return ms[i:]
	}
	a.asked, a.extra = trim(a.asked), trim(a.extra)
	return a
}

// Asked notes an inquiry for a service.
func (b *Budget) Asked(pool string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	a := b.get(pool)
	a.asked = append(a.asked, tick.Now())
}

// Left is how many further tries this process may still make now.
func (b *Budget) Left(pool string, fleet int) float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.left(b.get(pool), fleet)
}

func (b *Budget) left(a *account, fleet int) float64 {
	return b.margin*(b.ratio*float64(len(a.asked))+b.slack/float64(max(1, fleet))) - float64(len(a.extra))
}

// Take draws one further try.
func (b *Budget) Take(pool string, fleet int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	a := b.get(pool)
	if b.left(a, fleet) < 1 {
		return false
	}
	a.extra = append(a.extra, tick.Now())
	return true
}
