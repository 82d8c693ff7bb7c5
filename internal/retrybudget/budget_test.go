package retrybudget

import (
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// slowLender lends a number of retries a while after it was asked.
type slowLender struct {
	retries int64
	delay   time.Duration
	asked   int
}

// Lend waits, and counts how often it was asked.
func (l *slowLender) Lend(string) int64 {
	l.asked++
	time.Sleep(l.delay)
	return l.retries
}

// emptyBudget has no share of its own.
func emptyBudget(lender Lender) *Budget {
	return New(Options{Window: time.Second, Margin: 1}, lender, func() int { return 3 })
}

func TestBudget_Take_OwnShareFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		lender := &slowLender{}
		b := New(Options{Ratio: 0.5, Window: time.Second, Margin: 1}, lender, func() int { return 3 })
		for range 4 {
			b.RecordRequest("p")
		}
		require.Equal(t, 2.0, b.Remaining("p"))
		require.True(t, b.Take("p", time.Second))
		require.True(t, b.Take("p", time.Second))
		require.Zero(t, lender.asked)
		require.False(t, b.Take("p", time.Second))
		require.Equal(t, 1, lender.asked)
		require.Zero(t, b.Remaining("another"))
	})
}

func TestBudget_TakeByMany_ShareOneLoan(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		lender := &slowLender{retries: 2, delay: LoanTimeout / 2}
		b := emptyBudget(lender)
		var mu sync.Mutex
		var taken int
		var waiting sync.WaitGroup
		for range 3 {
			waiting.Go(func() {
				if b.Take("p", time.Second) {
					mu.Lock()
					defer mu.Unlock()
					taken++
				}
			})
		}
		waiting.Wait()
		require.Equal(t, 2, taken)
		require.Equal(t, 1, lender.asked)
	})
}

func TestBudget_TakeRejected_PausesBeforeNextLoan(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		lender := &slowLender{}
		b := emptyBudget(lender)
		require.False(t, b.Take("p", time.Second))
		require.False(t, b.Take("p", time.Second))
		require.Equal(t, 1, lender.asked)
		time.Sleep(loanPause)
		lender.retries = 1
		require.True(t, b.Take("p", time.Second))
		require.Equal(t, 2, lender.asked)
	})
}

func TestBudget_TakeTimeout_LoanStaysForOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := emptyBudget(&slowLender{retries: 1, delay: LoanTimeout / 2})
		start := time.Now()
		require.False(t, b.Take("p", time.Millisecond))
		require.Equal(t, time.Millisecond, time.Since(start))
		time.Sleep(LoanTimeout)
		require.Equal(t, 1.0, b.Remaining("p"))
		require.True(t, b.Take("p", 0))
	})
}
