package lease

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"shaletrestle/coord/rpc"
	"shaletrestle/internal/errkind"
)

// fleet is grantors in one process, some of them out of reach.
type fleet struct {
	mu   sync.Mutex
	g    []*Grantor
	down map[int]bool
	lag  time.Duration
}

func (f *fleet) Call(addr string, n *rpc.Message, _ time.Duration) (*rpc.Message, error) {
	var i int
	_, _ = fmt.Sscan(addr, &i)
	time.Sleep(f.lag)
	if f.down[i] {
		return nil, errkind.New(errkind.Unavailable, "down")
	}
	return f.g[i].Handle(n), nil
}

func (f *fleet) members() (out []rpc.Member) {
	for i := range f.g {
		out = append(out, rpc.Member{ID: uint64(100 + i), Address: fmt.Sprint(i)})
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
	return NewHolder(HolderOptions{
		Duty:     "list",
		Self:     rpc.Member{ID: id},
		Caller:   f,
		Grantors: f.members,
		Wanted:   func() bool { return true },
	})
}

func TestOneHolderAtATime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet()
		a, b := f.holder(1), f.holder(2)
		require.False(t, a.Renew(), "grantors that just started are silent for one span")
		time.Sleep(Duration)
		require.True(t, a.Renew())
		require.True(t, a.Held())
		for range 20 {
			require.False(t, b.Renew() && a.Held())
			time.Sleep(20 * time.Millisecond)
			if !a.Held() {
				break
			}
		}
		time.Sleep(Duration)
		require.False(t, a.Held(), "it stops by itself")
		require.True(t, b.Renew())
	})
}

func TestMinorityGivesNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet()
		time.Sleep(Duration)
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
		time.Sleep(Duration)
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
		time.Sleep(Duration)
		f.lag = Duration
		a := f.holder(1)
		require.True(t, a.Renew())
		require.False(t, a.Held(), "the answer came too late to be of use")
	})
}

func TestARestartedGrantorDoesNotGiveTwice(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet()
		time.Sleep(Duration)
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
		g.born = g.born.Add(-Duration)
	}
	h := f.holder(7)
	if h.Renew() && h.Held() {
		fmt.Println("the duty is ours")
	}
	// Output: the duty is ours
}

// delayed is grantors behind a network that delays, reorders and loses requests and answers.
type delayed struct {
	f  *fleet
	mu sync.Mutex
	r  *rand.Rand
}

func (d *delayed) Call(addr string, n *rpc.Message, _ time.Duration) (*rpc.Message, error) {
	d.mu.Lock()
	there, back := time.Duration(d.r.IntN(5)), time.Duration(d.r.IntN(5))
	if d.r.IntN(4) == 0 {
		there = time.Duration(d.r.IntN(900))
	}
	lost := d.r.IntN(8) == 0
	d.mu.Unlock()
	answer := make(chan *rpc.Message, 1)
	go func() {
		time.Sleep(there * time.Millisecond)
		var i int
		_, _ = fmt.Sscan(addr, &i)
		d.f.mu.Lock()
		g := d.f.g[i]
		d.f.mu.Unlock()
		a := g.Handle(n)
		time.Sleep(back * time.Millisecond)
		if !lost {
			answer <- a
		}
	}()
	select {
	case a := <-answer:
		return a, nil
	case <-time.After(rpc.CallTimeout):
		return nil, errkind.New(errkind.Unavailable, "no answer")
	}
}

func TestNoTwoHoldWhateverIsLateLostRestartedOrGivenBack(t *testing.T) {
	held := 0
	for seed := range uint64(40) {
		synctest.Test(t, func(t *testing.T) {
			r := rand.New(rand.NewPCG(seed, 11))
			f := newFleet()
			d := &delayed{f: f, r: rand.New(rand.NewPCG(seed, 12))}
			ctx, cancel := context.WithCancel(context.Background())
			defer func() { cancel(); time.Sleep(10 * time.Second) }()
			const holders = 3
			wants := make([]atomic.Bool, holders)
			hs := make([]*Holder, holders)
			for i := range hs {
				hs[i] = NewHolder(HolderOptions{
					Duty:     "list",
					Self:     rpc.Member{ID: uint64(i + 1)},
					Caller:   d,
					Grantors: f.members,
					Wanted:   wants[i].Load,
				})
				go hs[i].Run(ctx)
			}
			next := time.Now()
			for range 6000 {
				if !time.Now().Before(next) {
					switch i := r.IntN(holders); r.IntN(4) {
					case 0, 1: // what is wanted changes hands, at times for a moment only
						wants[i].Store(!wants[i].Load())
						go hs[i].Renew()
					case 2:
						go hs[i].Renew()
					case 3: // a grantor forgets what it gave
						if r.IntN(4) == 0 {
							f.mu.Lock()
							f.g[r.IntN(len(f.g))] = NewGrantor()
							f.mu.Unlock()
						}
					}
					next = time.Now().Add(time.Duration(r.IntN(400)) * time.Millisecond)
				}
				var now []int
				for i, h := range hs {
					if h.Held() {
						now = append(now, i)
					}
				}
				held += len(now)
				require.LessOrEqual(t, len(now), 1, "seed %d: %v hold it at once", seed, now)
				time.Sleep(5 * time.Millisecond)
			}
		})
	}
	require.Greater(t, held, 10000, "it is held at all")
}

func TestALateGiveBackTakesNothingThatWasGrantedSince(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet()
		time.Sleep(Duration)
		a, b := f.holder(1), f.holder(2)
		late := &rpc.Message{Kind: rpc.Lease, From: rpc.Member{ID: 1}, Text: "list", Ballot: a.incarnation, Number: 1}
		require.True(t, a.Renew())
		require.True(t, a.Renew())
		for _, g := range f.g {
			g.Handle(late)
		}
		require.False(t, b.Renew())
		require.True(t, a.Held())
	})
}

// TestALateRenewalDoesNotMakeAnOlderGiveBackCount delivers a renewal and the give-back after it only when a newer renewal was granted.
func TestALateRenewalDoesNotMakeAnOlderGiveBackCount(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet()
		time.Sleep(Duration)
		a, b := f.holder(1), f.holder(2)
		a.requests = 2 // the first two are under way still
		require.True(t, a.Renew())
		renewal := &rpc.Message{Kind: rpc.Lease, From: rpc.Member{ID: 1}, Text: "list", Ballot: a.incarnation, Number: 1, Duration: uint64(Duration)}
		giveBack := &rpc.Message{Kind: rpc.Lease, From: rpc.Member{ID: 1}, Text: "list", Ballot: a.incarnation, Number: 2}
		for _, g := range f.g {
			g.Handle(renewal)
			g.Handle(giveBack)
		}
		require.False(t, b.Renew())
		require.True(t, a.Held())
	})
}

// TestAnEarlierLifeTakesNothingBack delivers requests of a holder's earlier life after its next one was granted the lease.
func TestAnEarlierLifeTakesNothingBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet()
		time.Sleep(Duration)
		a, b := f.holder(1), f.holder(2)
		require.True(t, a.Renew())
		renewal := &rpc.Message{Kind: rpc.Lease, From: rpc.Member{ID: 1}, Text: "list", Ballot: a.incarnation + 1, Number: 8, Duration: uint64(Duration)}
		giveBack := &rpc.Message{Kind: rpc.Lease, From: rpc.Member{ID: 1}, Text: "list", Ballot: a.incarnation + 1, Number: 9}
		for _, g := range f.g {
			g.Handle(renewal)
			g.Handle(giveBack)
		}
		require.False(t, b.Renew())
		require.True(t, a.Held())
	})
}

// TestAGiveBackIsOlderThanARenewalThatBeginsAfterIt looks at the numbers that order them at the grantors.
func TestAGiveBackIsOlderThanARenewalThatBeginsAfterIt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet()
		time.Sleep(Duration)
		a := f.holder(1)
		require.True(t, a.Renew())
		f.lag = 20 * time.Millisecond
		go a.release()
		synctest.Wait()
		require.Equal(t, uint64(2), a.requests, "numbered when the lease is given up, not when it is sent")
		time.Sleep(time.Second)
	})
}
