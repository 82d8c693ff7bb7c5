package fairshare

import (
	"sync"

	"shaletrestle/internal/clock"
)

type loan struct {
	n  int64
	at clock.Moment
}

// Lender lends a bounded thing in lumps: what is lent inside any span never exceeds the room, whether it is used, lost on its way, or its borrower dies.
type Lender struct {
	mu    sync.Mutex
	room  int64
	span  clock.Span
	since clock.Moment
	loans map[string][]loan
}

// NewLender makes a lender. span is the window in which use is bounded, and the life of a loan on top.
func NewLender(room int64, span clock.Span) *Lender {
	return &Lender{room: room, span: span, loans: map[string][]loan{}}
}

// Lend gives at most want of a service's room. since is when this lender took over: what others lent before is not known here, so that nothing is lent until it has run out.
func (l *Lender) Lend(service string, want int64, since, now clock.Moment) int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !since.Equal(l.since) {
		l.since, l.loans = since, map[string][]loan{}
	}
	if now.Sub(since) <= l.span {
		return 0
	}
	ls, out, i := l.loans[service], int64(0), 0
	for i < len(ls) && now.Sub(ls[i].at) > l.span {
		i++
	}
	ls = ls[i:]
	for _, x := range ls {
		out += x.n
	}
	n := max(0, min(want, l.room-out))
	if n > 0 {
		ls = append(ls, loan{n, now})
	}
	l.loans[service] = ls
	return n
}
