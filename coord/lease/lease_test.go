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
)

// grantors are grantors in one process, some of them out of reach.
type grantors struct {
	mu      sync.Mutex
	members []*Grantor
	down    map[int]bool
	lag     time.Duration
}

func (f *grantors) Call(addr string, n *rpc.Message, _ time.Duration) (*rpc.Message, error) {
	var i int
	_, _ = fmt.Sscan(addr, &i)
	time.Sleep(f.lag)
	if f.down[i] {
		return nil, rpc.ErrUnreachable
	}
	return f.members[i].Handle(n), nil
}

func (f *grantors) list() (out []rpc.Member) {
	for i := range f.members {
		out = append(out, rpc.Member{ID: uint64(100 + i), Address: fmt.Sprint(i)})
	}
	return
}

func newGrantors() *grantors {
	f := &grantors{down: map[int]bool{}}
	for range 3 {
		f.members = append(f.members, NewGrantor())
	}
	return f
}

func (f *grantors) holder(id uint64) *Holder {
	return NewHolder(HolderOptions{
		Duty:     "list",
		Self:     rpc.Member{ID: id},
		Caller:   f,
		Grantors: f.list,
		Wanted:   func() bool { return true },
	})
}

func TestHolder_TwoHolders_OneHolds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newGrantors()
		a, b := f.holder(1), f.holder(2)
		require.False(t, a.Renew(), "grantors that just started refuse for one duration")
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
		require.False(t, a.Held(), "the lease ends by itself")
		require.True(t, b.Renew())
	})
}

func TestHolderRenew_MinorityReachable_NotGranted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newGrantors()
		time.Sleep(Duration)
		f.down[0], f.down[1] = true, true
		a := f.holder(1)
		require.False(t, a.Renew())
		f.down[0] = false
		require.True(t, a.Renew())
	})
}

func TestHolder_Paused_NotHeldAfterwards(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newGrantors()
		time.Sleep(Duration)
		a, b := f.holder(1), f.holder(2)
		require.True(t, a.Renew())
		time.Sleep(5 * time.Second) // paused; the others went on
		require.True(t, b.Renew())
		require.False(t, a.Held(), "Held compares the time in each call")
		require.False(t, a.Renew())
	})
}

func TestHolder_SlowAnswer_CountsFromTheRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newGrantors()
		time.Sleep(Duration)
		f.lag = Duration
		a := f.holder(1)
		require.True(t, a.Renew())
		require.False(t, a.Held(), "the answer came too late to be of use")
	})
}

func TestGrantor_Restarted_DoesNotGrantTwice(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newGrantors()
		time.Sleep(Duration)
		a, b := f.holder(1), f.holder(2)
		f.down[2] = true
		require.True(t, a.Renew())
		synctest.Wait()
		f.members[0] = NewGrantor() // forgot what it granted
		f.down[2] = false
		require.False(t, b.Renew() && a.Held())
	})
}

func ExampleHolder() {
	f := newGrantors()
	for _, g := range f.members {
		g.started = g.started.Add(-Duration)
	}
	h := f.holder(7)
	if h.Renew() && h.Held() {
		fmt.Println("the lease is held")
	}
	// Output: the lease is held
}

// faultyNetwork is grantors behind a network that delays, reorders and loses requests and answers.
type faultyNetwork struct {
	grantors *grantors
	mu       sync.Mutex
	random   *rand.Rand
}

func (d *faultyNetwork) Call(addr string, n *rpc.Message, _ time.Duration) (*rpc.Message, error) {
	d.mu.Lock()
	there, back := time.Duration(d.random.IntN(5)), time.Duration(d.random.IntN(5))
	if d.random.IntN(4) == 0 {
		there = time.Duration(d.random.IntN(900))
	}
	lost := d.random.IntN(8) == 0
	d.mu.Unlock()
	answer := make(chan *rpc.Message, 1)
	go func() {
		time.Sleep(there * time.Millisecond)
		var i int
		_, _ = fmt.Sscan(addr, &i)
		d.grantors.mu.Lock()
		g := d.grantors.members[i]
		d.grantors.mu.Unlock()
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
		return nil, rpc.ErrTimeout
	}
}

// contender is a holder and whether it wants the lease.
type contender struct {
	holder *Holder
	wanted atomic.Bool
}

// step lets a contender change its mind or renew, or a grantor restart.
func (f *grantors) step(random *rand.Rand, contenders []*contender) {
	switch chosen := contenders[random.IntN(len(contenders))]; random.IntN(4) {
	case 0, 1: // what is wanted changes hands, at times for a moment only
		chosen.wanted.Store(!chosen.wanted.Load())
		go chosen.holder.Renew()
	case 2:
		go chosen.holder.Renew()
	case 3: // a grantor forgets what it granted
		if random.IntN(4) == 0 {
			f.mu.Lock()
			f.members[random.IntN(len(f.members))] = NewGrantor()
			f.mu.Unlock()
		}
	}
}

func TestHolders_RandomFaults_NeverTwoHold(t *testing.T) {
	held := 0
	for seed := range uint64(40) {
		synctest.Test(t, func(t *testing.T) {
			random := rand.New(rand.NewPCG(seed, 11))
			f := newGrantors()
			network := &faultyNetwork{grantors: f, random: rand.New(rand.NewPCG(seed, 12))}
			ctx, cancel := context.WithCancel(context.Background())
			defer func() { cancel(); time.Sleep(10 * time.Second) }()
			contenders := make([]*contender, 3)
			for i := range contenders {
				c := &contender{}
				c.holder = NewHolder(HolderOptions{
					Duty:     "list",
					Self:     rpc.Member{ID: uint64(i + 1)},
					Caller:   network,
					Grantors: f.list,
					Wanted:   c.wanted.Load,
				})
				contenders[i] = c
				go c.holder.Run(ctx)
			}
			next := time.Now()
			for range 6000 {
				if !time.Now().Before(next) {
					f.step(random, contenders)
					next = time.Now().Add(time.Duration(random.IntN(400)) * time.Millisecond)
				}
				var now []int
				for i, c := range contenders {
					if c.holder.Held() {
						now = append(now, i)
					}
				}
				held += len(now)
				require.LessOrEqual(t, len(now), 1, "seed %d: %v hold it at once", seed, now)
				time.Sleep(5 * time.Millisecond)
			}
		})
	}
	require.Greater(t, held, 10000, "the lease is held in enough of the samples to test anything")
}

func TestGrantor_LateRelease_KeepsNewerGrant(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newGrantors()
		time.Sleep(Duration)
		a, b := f.holder(1), f.holder(2)
		late := &rpc.Message{Kind: rpc.Lease, From: rpc.Member{ID: 1}, Text: "list", Ballot: a.incarnation, Number: 1}
		require.True(t, a.Renew())
		require.True(t, a.Renew())
		for _, g := range f.members {
			g.Handle(late)
		}
		require.False(t, b.Renew())
		require.True(t, a.Held())
	})
}

// TestGrantor_LateRenewalAndRelease_KeepsNewerGrant delivers a renewal and the release after it only when a newer
// renewal was granted.
func TestGrantor_LateRenewalAndRelease_KeepsNewerGrant(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newGrantors()
		time.Sleep(Duration)
		a, b := f.holder(1), f.holder(2)
		a.lastRequest = 2 // the first two are under way still
		require.True(t, a.Renew())
		renewal := &rpc.Message{Kind: rpc.Lease, From: rpc.Member{ID: 1}, Text: "list", Ballot: a.incarnation, Number: 1, Duration: uint64(Duration)}
		release := &rpc.Message{Kind: rpc.Lease, From: rpc.Member{ID: 1}, Text: "list", Ballot: a.incarnation, Number: 2}
		for _, g := range f.members {
			g.Handle(renewal)
			g.Handle(release)
		}
		require.False(t, b.Renew())
		require.True(t, a.Held())
	})
}

// TestGrantor_ReleaseOfEarlierIncarnation_KeepsGrant delivers requests of a holder's earlier incarnation after its next
// one was granted the lease.
func TestGrantor_ReleaseOfEarlierIncarnation_KeepsGrant(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newGrantors()
		time.Sleep(Duration)
		a, b := f.holder(1), f.holder(2)
		require.True(t, a.Renew())
		renewal := &rpc.Message{Kind: rpc.Lease, From: rpc.Member{ID: 1}, Text: "list", Ballot: a.incarnation + 1, Number: 8, Duration: uint64(Duration)}
		release := &rpc.Message{Kind: rpc.Lease, From: rpc.Member{ID: 1}, Text: "list", Ballot: a.incarnation + 1, Number: 9}
		for _, g := range f.members {
			g.Handle(renewal)
			g.Handle(release)
		}
		require.False(t, b.Renew())
		require.True(t, a.Held())
	})
}

// TestHolder_Release_NumberedBeforeItIsSent looks at the numbers that order them at the grantors.
func TestHolder_Release_NumberedBeforeItIsSent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newGrantors()
		time.Sleep(Duration)
		a := f.holder(1)
		require.True(t, a.Renew())
		synctest.Wait() // one grantor's answer may be under way after a majority
		f.lag = 20 * time.Millisecond
		go a.release()
		synctest.Wait()
		require.Equal(t, uint64(2), a.lastRequest, "numbered when the lease is released, not when the request is sent")
		time.Sleep(time.Second)
	})
}
