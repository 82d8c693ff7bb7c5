package lease

import (
	"fmt"
	"log/slog"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"shaletrestle/coord/rpc"
	"shaletrestle/internal/clock"
	"shaletrestle/internal/constants"
	"shaletrestle/internal/errkind"
	"shaletrestle/internal/task"
)

// fleet is grantors in one process, some of them out of reach.
type fleet struct {
	g    []*Grantor
	down map[int]bool
	lag  time.Duration
}

func (f *fleet) Call(addr string, n *rpc.Note, _ clock.Span) (*rpc.Note, error) {
	var i int
	_, _ = fmt.Sscan(addr, &i)
	time.Sleep(f.lag)
	if f.down[i] {
		return nil, errkind.New(errkind.Unready, "down")
	}
	return f.g[i].Handle(n), nil
}

func (f *fleet) seats() (out []rpc.Seat) {
	for i := range f.g {
		out = append(out, rpc.Seat{ID: uint64(100 + i), Addr: fmt.Sprint(i)})
	}
	return
}

func newFleet() *fleet {
	f := &fleet{down: map[int]bool{}}
	for range 3 {
		f.g = append(f.g, NewGrantor())
	}
	return f
}

func (f *fleet) holder(id uint64) *Holder {
	return NewHolder(task.New(slog.New(slog.DiscardHandler)), "list", rpc.Seat{ID: id}, f, f.seats, func() bool { return true }, nil)
}

func TestOneHolderAtATime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet()
		a, b := f.holder(1), f.holder(2)
		require.False(t, a.Renew(), "grantors that just started are silent for one span")
		time.Sleep(constants.LeaseSpan)
		require.True(t, a.Renew())
		require.True(t, a.Held())
		for range 20 {
			require.False(t, b.Renew() && a.Held())
			time.Sleep(20 * time.Millisecond)
			if !a.Held() {
				break
			}
		}
		time.Sleep(constants.LeaseSpan)
		require.False(t, a.Held(), "it stops by itself")
		require.True(t, b.Renew())
	})
}

func TestMinorityGivesNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet()
		time.Sleep(constants.LeaseSpan)
		f.down[0], f.down[1] = true, true
		a := f.holder(1)
		require.False(t, a.Renew())
		f.down[0] = false
		require.True(t, a.Renew())
	})
}

func TestAFrozenHolderHasNothingWhenItWakes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet()
		time.Sleep(constants.LeaseSpan)
		a, b := f.holder(1), f.holder(2)
		require.True(t, a.Renew())
		time.Sleep(5 * time.Second) // it stood still; the others went on
		require.True(t, b.Renew())
		require.False(t, a.Held(), "asked again after the wait, it knows")
		require.False(t, a.Renew())
	})
}

func TestTheSpanCountsFromBeforeTheRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet()
		time.Sleep(constants.LeaseSpan)
		f.lag = constants.LeaseSpan
		a := f.holder(1)
		require.True(t, a.Renew())
		require.False(t, a.Held(), "the answer came too late to be of use")
	})
}

func TestARestartedGrantorDoesNotGiveTwice(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet()
		time.Sleep(constants.LeaseSpan)
		a, b := f.holder(1), f.holder(2)
		f.down[2] = true
		require.True(t, a.Renew())
		synctest.Wait()
		f.g[0] = NewGrantor() // forgot what it gave
		f.down[2] = false
		require.False(t, b.Renew() && a.Held())
	})
}

func ExampleHolder() {
	f := newFleet()
	for _, g := range f.g {
		g.born = g.born.Add(-constants.LeaseSpan)
	}
	h := f.holder(7)
	if h.Renew() && h.Held() {
		fmt.Println("the duty is ours")
	}
	// Output: the duty is ours
}
