package fairshare

import (
	"sync"
	"time"
)

// loan is a part of a service's budget that was lent at once.
type loan struct {
	amount int64
	at     time.Time
}

// Lender lends parts of a bounded budget. What is lent within any window never exceeds the budget, whether it is used,
// lost on its way or its borrower fails. It is safe for concurrent use.
type Lender struct {
	budget int64
	window time.Duration

	mu    sync.Mutex        // guards what follows
	since time.Time         // when this lender became responsible
	loans map[string][]loan // by service, oldest first
}

// NewLender returns a lender of a budget for each service. The window is the time in which use is bounded plus the
// lifetime of a loan: a loan may be used until its end.
func NewLender(budget int64, window time.Duration) *Lender {
	return &Lender{budget: budget, window: window, loans: map[string][]loan{}}
}

// Lend lends at most the wanted amount of a service's budget, 0 if nothing is left. The time since is when this lender
// became responsible: what others lent before is not known here, so nothing is lent until a window later, when those loans
// have expired. A new value of since drops all loans of an earlier time of responsibility.
func (l *Lender) Lend(service string, wanted int64, since, now time.Time) int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !since.Equal(l.since) {
		l.since = since
		l.loans = map[string][]loan{}
	}
	if now.Sub(since) <= l.window {
		return 0
	}
	outstanding := l.unexpired(service, now)
	amount := max(0, min(wanted, l.budget-total(outstanding)))
	if amount > 0 {
		outstanding = append(outstanding, loan{amount: amount, at: now})
	}
	l.loans[service] = outstanding
	return amount
}

// unexpired lists the loans of a service that still count, oldest first.
func (l *Lender) unexpired(service string, now time.Time) []loan {
	loans := l.loans[service]
	for len(loans) > 0 && now.Sub(loans[0].at) > l.window {
		loans = loans[1:]
	}
	return loans
}

func total(loans []loan) int64 {
	var sum int64
	for _, loan := range loans {
		sum += loan.amount
	}
	return sum
}
