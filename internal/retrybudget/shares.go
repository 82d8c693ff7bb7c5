package retrybudget

import (
	"time"
)

// loan is borrowed retries.
type loan struct {
	left    int64
	expires time.Time
}

// account is what happened for one service in the window.
type account struct {
	requests []time.Time
	retries  []time.Time // from the process's own share
	loans    []loan      // those that expire first come first
}

// shares are the accounts of one process, by service. They are not safe for concurrent use.
type shares struct {
	options  Options
	accounts map[string]*account
}

func newShares(options Options) *shares {
	return &shares{options: options, accounts: map[string]*account{}}
}

// account returns a service's account without what has left the window; a new one if there is none.
func (s *shares) account(service string) *account {
	a := s.accounts[service]
	if a == nil {
		a = &account{}
		s.accounts[service] = a
	}
	now := time.Now()
	start := now.Add(-s.options.Window)
	a.requests, a.retries = since(a.requests, start), since(a.retries, start)
	for len(a.loans) > 0 && (a.loans[0].left == 0 || !now.Before(a.loans[0].expires)) {
		a.loans = a.loans[1:]
	}
	return a
}

// since leaves out the times before the start of a window.
func since(times []time.Time, start time.Time) []time.Time {
	i := 0
	for i < len(times) && times[i].Before(start) {
		i++
	}
	return times[i:]
}

func (s *shares) recordRequest(service string) {
	a := s.account(service)
	a.requests = append(a.requests, time.Now())
}

// addLoan adds borrowed retries; the loan's time counts from before it was asked for.
func (s *shares) addLoan(service string, retries int64, expires time.Time) {
	a := s.account(service)
	a.loans = append(a.loans, loan{retries, expires})
}

// remaining is how many retries may still be made now, with so many processes in the fleet.
func (s *shares) remaining(service string, fleetSize int) float64 {
	a := s.account(service)
	n := s.own(a, fleetSize)
	for _, l := range a.loans {
		n += float64(l.left)
	}
	return n
}

// own is what remains of the process's own share.
func (s *shares) own(a *account, fleetSize int) float64 {
	ofRequests := s.options.Ratio * float64(len(a.requests))
	ofSlack := (1 - LentFraction) * s.options.Slack / float64(max(1, fleetSize))
	return s.options.Margin*(ofRequests+ofSlack) - float64(len(a.retries))
}

// take draws one retry, a borrowed one first, because it expires sooner; false if none is left.
func (s *shares) take(service string, fleetSize int) bool {
	a := s.account(service)
	if len(a.loans) > 0 {
		a.loans[0].left--
		return true
	}
	if s.own(a, fleetSize) < 1 {
		return false
	}
	a.retries = append(a.retries, time.Now())
	return true
}
