package retrybudget

import (
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"shaletrestle/coord/fairshare"
)

// testWindow is that of the rule.
const testWindow = 10 * time.Second

// within counts the moments of the last window.
func within(moments []time.Time) (n float64) {
	for _, moment := range moments {
		if time.Since(moment) <= testWindow {
			n++
		}
	}
	return n
}

func TestShares_AllNodes_StayWithinRule(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const fleet, ratio, slack = 11, 0.2, 62.0
		var nodes []*shares
		for range fleet {
			nodes = append(nodes, newShares(Options{Ratio: ratio, Slack: slack, Window: testWindow, Margin: 0.8}))
		}
		var requests, retries []time.Time
		for step := range 400 { // 40 s, every request wants two retries
			for i := range 1 + step%7 {
				b := nodes[(step+i)%fleet]
				b.recordRequest("p")
				requests = append(requests, time.Now())
				for range 2 {
					if b.take("p", fleet) {
						retries = append(retries, time.Now())
					}
				}
			}
			require.LessOrEqual(t, within(retries), ratio*within(requests)+slack)
			time.Sleep(100 * time.Millisecond)
		}
		require.NotEmpty(t, retries)
		require.False(t, newShares(Options{Ratio: ratio, Slack: slack, Window: time.Second, Margin: 0.8}).take("p", 1000), "a share below one retry gives none")
	})
}

// TestSharesAndLoans_RandomSchedules_StayWithinRule has random schedules of demand, lost answers, dying and new nodes,
// lagging fleet sizes and changes of the lender: no window holds more retries than the rule allows.
func TestSharesAndLoans_RandomSchedules_StayWithinRule(t *testing.T) {
	for seed := range uint64(12) {
		synctest.Test(t, func(t *testing.T) {
			random := rand.New(rand.NewPCG(seed, 77))
			const ratio = 0.2
			fleet := []int{3, 12, 88, 390}[random.IntN(4)]
			slack := float64(40 + random.IntN(300))
			var nodes []*shares
			for range fleet {
				nodes = append(nodes, newShares(Options{Ratio: ratio, Slack: slack, Window: testWindow, Margin: Margin}))
			}
			lendable := int64(Margin * LentFraction * slack)
			newLender := func() (*fairshare.Lender, time.Time) {
				return fairshare.NewLender(lendable, testWindow+LoanLifetime), time.Now()
			}
			lender, since := newLender()
			known := fleet // what nodes believe
			var requests, retries []time.Time
			lent := 0
			for range 600 { // 60 s
				if random.IntN(120) == 0 {
					lender, since = newLender() // another one is the lender, and knows of no loan
				}
				if random.IntN(50) == 0 { // a node dies, a new one takes its place with an empty account
					nodes[random.IntN(fleet)] = newShares(Options{Ratio: ratio, Slack: slack, Window: testWindow, Margin: Margin})
				}
				if random.IntN(40) == 0 {
					known = fleet - random.IntN(1+fleet/SuspectDivisor)
				}
				for range random.IntN(30) {
					b := nodes[random.IntN(fleet)]
					if random.IntN(3) == 0 {
						b = nodes[0] // one sees more than the others
					}
					b.recordRequest("p")
					requests = append(requests, time.Now())
					for range random.IntN(4) {
						if !b.take("p", known) {
							start := time.Now()
							if n := lender.Lend("p", LoanRetries, since, time.Now()); n > 0 && random.IntN(4) > 0 { // else the answer is lost
								lent++
								b.addLoan("p", n, start.Add(LoanLifetime))
							}
							if !b.take("p", known) {
								break
							}
						}
						retries = append(retries, time.Now())
					}
				}
				require.LessOrEqual(t, within(retries), ratio*within(requests)+slack)
				time.Sleep(100 * time.Millisecond)
			}
			require.NotEmpty(t, retries)
			require.Positive(t, lent)
		})
	}
}

func TestShares_Loan_UsedFirstAndExpires(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newShares(Options{Window: time.Second, Margin: 0.8})
		b.addLoan("p", 2, time.Now().Add(LoanLifetime))
		require.Equal(t, 2.0, b.remaining("p", 88))
		require.True(t, b.take("p", 88))
		time.Sleep(LoanLifetime)
		require.False(t, b.take("p", 88))
	})
}
