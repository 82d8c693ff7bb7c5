package distribution

import (
	"context"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"shaletrestle/coord/rpc"
)

// textState is a text; changes are added to its end.
type textState struct {
	mu   sync.Mutex
	text string
}

func (w *textState) Restore(b []byte) error {
	w.mu.Lock()
	w.text = string(b)
	w.mu.Unlock()
	return nil
}
func (w *textState) Update(b []byte) error {
	w.mu.Lock()
	w.text += string(b)
	w.mu.Unlock()
	return nil
}
func (w *textState) Snapshot() []byte { w.mu.Lock(); defer w.mu.Unlock(); return []byte(w.text) }

// beginSource makes a feed the source of an epoch over the state that it has, and gives how to push changes.
func beginSource(f *Feed, epoch uint64) func(string) uint64 {
	source := f.Begin(epoch, f.state.Snapshot)
	return func(change string) uint64 {
		n, ok := source.Push([]byte(change))
		if !ok {
			panic("the source has ended")
		}
		return n
	}
}

// pipeNetwork is a network of in-memory connections to one feed.
type pipeNetwork struct {
	ctx         context.Context
	feed        *Feed
	mu          sync.Mutex
	lastConn    net.Conn
	unreachable bool

	acks, membersListed atomic.Int64 // acknowledgements, and the members listed in them
	dials               atomic.Int64
}

func (p *pipeNetwork) Dial(string, time.Duration) (net.Conn, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.unreachable {
		return nil, net.ErrClosed
	}
	p.dials.Add(1)
	a, b := net.Pipe()
	p.lastConn = b
	rpc.Open(p.ctx, b, func(ch *rpc.Channel, n *rpc.Message) *rpc.Message {
		switch n.Kind {
		case rpc.Subscribe:
			p.feed.HandleSubscribe(ch, n)
		case rpc.UpdateAck:
			p.acks.Add(1)
			p.membersListed.Add(int64(len(n.Members)))
			p.feed.HandleAck(ch, n)
		}
		return nil
	})
	return a, nil
}

func (p *pipeNetwork) Listen(string) (net.Listener, error) { return nil, net.ErrClosed }

func TestFollower_Reconnects_GetsSnapshotThenMissedChanges(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		defer func() { cancel(); time.Sleep(time.Second) }()
		src := &textState{text: "old"}
		f := NewFeed(ctx, slog.New(slog.DiscardHandler), src, nil)
		p := &pipeNetwork{ctx: ctx, feed: f}
		got := &textState{}
		c := NewCursor(got)
		go NewFollower(FollowerOptions{
			Net:        p,
			Sink:       c,
			Self:       rpc.Member{ID: 1, Address: "n1"},
			NextParent: func(string) string { return "x" },
		}).Run(ctx)
		push := beginSource(f, 1)
		time.Sleep(100 * time.Millisecond)
		require.Equal(t, "old", string(got.Snapshot()))
		n := push("+a")
		have, of := f.WaitAcked(ctx, n, time.Second)
		require.Equal(t, 1, have)
		require.Equal(t, 1, of)
		require.Equal(t, "old+a", string(got.Snapshot()))
		p.mu.Lock()
		_ = p.lastConn.Close()
		p.unreachable = true
		p.mu.Unlock()
		time.Sleep(50 * time.Millisecond)
		push("+b")
		push("+c")
		p.mu.Lock()
		p.unreachable = false
		p.mu.Unlock()
		time.Sleep(time.Second)
		require.Equal(t, "old+a+b+c", string(got.Snapshot()))
		push = beginSource(f, 2)
		push("+d")
		time.Sleep(100 * time.Millisecond)
		require.Equal(t, Position{Epoch: 2, Number: 1}, c.Position())
		require.ErrorIs(t, c.Restore(Position{1, 9}, []byte("stale"), true), ErrStale, "an older epoch is rejected")
		require.False(t, c.Apply(Position{2, 7}, []byte("gap")))
		require.True(t, c.Apply(Position{2, 1}, []byte("+d")), "one that was applied before is no gap")
		require.Equal(t, "old+a+b+c+d", string(got.Snapshot()))
		require.Len(t, f.EndFollowers(), 1)
	})
}

// treeNetwork is a source, relays under it and end followers under the relays, over in-memory connections. It counts
// what arrives at the source.
type treeNetwork struct {
	ctx              context.Context
	mu               sync.Mutex
	feeds            map[string]*Feed
	conns            []net.Conn
	acksAtSource     int // acknowledgements that reached the source
	listingsAtSource int // those that listed members
}

func (p *treeNetwork) Dial(at string, _ time.Duration) (net.Conn, error) {
	a, b := net.Pipe()
	p.mu.Lock()
	f := p.feeds[at]
	p.conns = append(p.conns, b)
	p.mu.Unlock()
	rpc.Open(p.ctx, b, func(ch *rpc.Channel, n *rpc.Message) *rpc.Message {
		switch n.Kind {
		case rpc.Subscribe:
			f.HandleSubscribe(ch, n)
		case rpc.UpdateAck:
			if at == "source" {
				p.mu.Lock()
				p.acksAtSource++
				if len(n.Members) > 0 {
					p.listingsAtSource++
				}
				p.mu.Unlock()
			}
			f.HandleAck(ch, n)
		}
		return nil
	})
	return a, nil
}

func (p *treeNetwork) Listen(string) (net.Listener, error) { return nil, net.ErrClosed }

// grow puts relays and end followers under a source; stops ends each end follower, by its id.
func (p *treeNetwork) grow(relays, ends int) (src *Feed, push func(string) uint64, stops map[uint64]context.CancelFunc) {
	src = NewFeed(p.ctx, slog.New(slog.DiscardHandler), &textState{}, nil)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.feeds = map[string]*Feed{"source": src}
	for i := range relays {
		var fo *Follower
		f := NewFeed(p.ctx, slog.New(slog.DiscardHandler), &textState{}, func(Position) { fo.ReportProgress() })
		p.feeds[fmt.Sprint("relay", i)] = f
		fo = NewFollower(FollowerOptions{
			Net:          p,
			Sink:         f,
			Self:         rpc.Member{ID: uint64(i) + 1000},
			NextParent:   func(string) string { return "source" },
			EndFollowers: f.EndFollowers,
		})
		go fo.Run(p.ctx)
	}
	push = beginSource(src, 1)
	stops = map[uint64]context.CancelFunc{}
	for i := range ends {
		p.startEndFollower(stops, uint64(i+1), fmt.Sprint("relay", i%relays))
	}
	return src, push, stops
}

func (p *treeNetwork) startEndFollower(stops map[uint64]context.CancelFunc, id uint64, at string) {
	ctx, cancel := context.WithCancel(p.ctx)
	stops[id] = cancel
	go NewFollower(FollowerOptions{
		Net:        p,
		Sink:       NewCursor(&textState{}),
		Self:       rpc.Member{ID: id, Address: fmt.Sprint("n", id)},
		NextParent: func(string) string { return at },
	}).Run(ctx)
}

func TestFeedEndFollowers_RandomLosses_MatchLiveFollowers(t *testing.T) {
	for seed := range uint64(12) {
		synctest.Test(t, func(t *testing.T) {
			r := rand.New(rand.NewPCG(seed, 3))
			ctx, cancel := context.WithCancel(context.Background())
			defer func() { cancel(); time.Sleep(time.Second) }()
			p := &treeNetwork{ctx: ctx}
			src, push, stops := p.grow(3, 12)
			time.Sleep(HeartbeatInterval)
			for range 15 {
				for range r.IntN(6) {
					switch r.IntN(4) {
					case 0: // a connection breaks
						p.mu.Lock()
						_ = p.conns[r.IntN(len(p.conns))].Close()
						p.mu.Unlock()
					case 1: // an end goes for good
						for id, l := range stops {
							l()
							delete(stops, id)
							break
						}
					case 2: // a new one comes
						p.startEndFollower(stops, 100+r.Uint64N(1<<30), fmt.Sprint("relay", r.IntN(3)))
					case 3:
						push("x")
					}
					time.Sleep(time.Duration(r.IntN(300)) * time.Millisecond)
				}
				time.Sleep(3 * updateTimeout)
				got := map[uint64]bool{}
				for _, s := range src.EndFollowers() {
					require.False(t, got[s.ID], "%d is listed twice", s.ID)
					got[s.ID] = true
				}
				require.Len(t, got, len(stops))
				for id := range stops {
					require.True(t, got[id])
				}
				require.Equal(t, src.Acked(), push("y")-1, "all had acknowledged")
			}
		})
	}
}

func TestRelay_Change_AckedOnceAndMembersListedOnlyWhenChanged(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		defer func() { cancel(); time.Sleep(time.Second) }()
		p := &treeNetwork{ctx: ctx}
		src, push, _ := p.grow(2, 60)
		time.Sleep(3*HeartbeatInterval + HeartbeatInterval/2) // between two heartbeats
		p.mu.Lock()
		p.acksAtSource, p.listingsAtSource = 0, 0
		p.mu.Unlock()
		n := push("x")
		have, of := src.WaitAcked(ctx, n, time.Second)
		require.Equal(t, [2]int{2, 2}, [2]int{have, of})
		synctest.Wait()
		p.mu.Lock()
		up := p.acksAtSource
		p.mu.Unlock()
		require.LessOrEqual(t, up, 4, "of each of two relays one when it took the change, one when all its followers had")
		time.Sleep(10 * HeartbeatInterval)
		synctest.Wait()
		p.mu.Lock()
		lists := p.listingsAtSource
		p.mu.Unlock()
		require.Zero(t, lists)
		require.Len(t, src.EndFollowers(), 60)
	})
}

func TestFeed_ManyNeedSnapshot_EncodedOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		defer func() { cancel(); time.Sleep(time.Second) }()
		p := &treeNetwork{ctx: ctx, feeds: map[string]*Feed{}}
		b := &countingState{}
		f := NewFeed(ctx, slog.New(slog.DiscardHandler), b, nil)
		p.feeds["x"] = f
		push := beginSource(f, 1)
		b.snapshots = 0 // the helper made one for the first state
		push("a")
		stops := map[uint64]context.CancelFunc{}
		for i := range uint64(20) {
			p.startEndFollower(stops, i+1, "x")
		}
		time.Sleep(HeartbeatInterval)
		synctest.Wait()
		require.Equal(t, 1, b.snapshots)
		push("b")
		p.startEndFollower(stops, 99, "x")
		time.Sleep(HeartbeatInterval)
		synctest.Wait()
		require.Equal(t, 2, b.snapshots)
		require.Equal(t, uint64(2), f.Acked())
	})
}

type countingState struct {
	textState
	snapshots int
}

func (c *countingState) Snapshot() []byte { c.snapshots++; return c.textState.Snapshot() }

func TestFollower_SilentParent_NextOneFollowed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		defer func() { cancel(); time.Sleep(time.Second) }()
		f := NewFeed(ctx, slog.New(slog.DiscardHandler), &textState{}, nil)
		beginSource(f, 1)
		p := &pipeNetwork{ctx: ctx, feed: f}
		var tried []string
		fo := NewFollower(FollowerOptions{
			Net:        p,
			Sink:       NewCursor(&textState{}),
			Self:       rpc.Member{ID: 1},
			NextParent: func(bad string) string { tried = append(tried, bad); return fmt.Sprint("at", len(tried)) },
		})
		go fo.Run(ctx)
		time.Sleep(5 * time.Second)
		synctest.Wait()
		require.Len(t, tried, 1)
		f.End() // a relay without contact says so after a while
		time.Sleep(relayStaleAfter + updateTimeout)
		synctest.Wait()
		require.Greater(t, len(tried), 1)
		require.True(t, strings.HasPrefix(tried[1], "at1"))
	})
}

func TestFeedApply_GapOrOtherEpoch_Rejected(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		defer func() { cancel(); time.Sleep(time.Second) }()
		b := &textState{}
		f := NewFeed(ctx, slog.New(slog.DiscardHandler), b, nil)
		require.NoError(t, f.Restore(Position{3, 5}, []byte("s"), true))
		require.False(t, f.Apply(Position{3, 7}, []byte("gap")))
		require.False(t, f.Apply(Position{4, 6}, []byte("another epoch")))
		require.True(t, f.Apply(Position{3, 6}, []byte("+")))
		require.True(t, f.Apply(Position{3, 6}, []byte("again")))
		require.Equal(t, "s+", string(b.Snapshot()))
		require.ErrorIs(t, f.Restore(Position{2, 9}, []byte("old"), true), ErrStale)
		beginSource(f, 4)
		require.False(t, f.Apply(Position{4, 1}, []byte("x")), "a source applies no updates of others")
		require.ErrorIs(t, f.Restore(Position{4, 9}, []byte("y"), true), ErrStale)
	})
}

// TestRelay_ManyFollowers_AcksDoNotGrowWithTheSquare: each heartbeat of each follower once made the relay send its complete
// list of members on.
func TestRelay_ManyFollowers_AcksDoNotGrowWithTheSquare(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		defer func() { cancel(); time.Sleep(time.Second) }()
		src := NewFeed(ctx, slog.New(slog.DiscardHandler), &textState{}, nil)
		push := beginSource(src, 1)
		up := &pipeNetwork{ctx: ctx, feed: src}
		var relay *Follower
		mid := NewFeed(ctx, slog.New(slog.DiscardHandler), &textState{}, func(Position) { relay.ReportProgress() })
		relay = NewFollower(FollowerOptions{
			Net:          up,
			Sink:         mid,
			Self:         rpc.Member{ID: 1, Address: "relay"},
			NextParent:   func(string) string { return "src" },
			EndFollowers: mid.EndFollowers,
		})
		go relay.Run(ctx)
		time.Sleep(time.Second)
		const many = 30
		for i := range many {
			p := &pipeNetwork{ctx: ctx, feed: mid}
			go NewFollower(FollowerOptions{
				Net:        p,
				Sink:       NewCursor(&textState{}),
				Self:       rpc.Member{ID: uint64(10 + i), Address: fmt.Sprint("n", i)},
				NextParent: func(string) string { return "mid" },
			}).Run(ctx)
		}
		time.Sleep(5 * time.Second)
		require.Len(t, src.EndFollowers(), many)
		acks, listed := up.acks.Load(), up.membersListed.Load()
		const heartbeats = 50
		time.Sleep(heartbeats * HeartbeatInterval)
		require.LessOrEqual(t, up.acks.Load()-acks, int64(heartbeats+2))
		require.Equal(t, listed, up.membersListed.Load(), "the same members are not listed again")
		time.Sleep(HeartbeatInterval / 3) // between two heartbeats
		at := time.Now()
		n := push("+")
		have, of := src.WaitAcked(ctx, n, time.Second)
		require.Equal(t, []int{1, 1}, []int{have, of})
		require.Zero(t, time.Since(at), "an acknowledgement waits for no heartbeat")
		require.Equal(t, n, mid.Acked())
		require.Len(t, src.EndFollowers(), many, "the members listed before are kept")
	})
}

func ExampleFeed() {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	state := &textState{}
	f := NewFeed(ctx, slog.New(slog.DiscardHandler), state, nil)
	push := beginSource(f, 1)
	push("sal ")
	fmt.Println(push("pine"), string(state.Snapshot()))
	// Output: 2 sal pine
}

func TestFeedBroadcast_Message_ReachesAllAndMovesNoPosition(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		defer func() { cancel(); time.Sleep(time.Second) }()
		p := &treeNetwork{ctx: ctx}
		f := NewFeed(ctx, slog.New(slog.DiscardHandler), &textState{}, nil)
		p.feeds = map[string]*Feed{"x": f}
		push := beginSource(f, 1)
		n := push("a")
		var got atomic.Int64
		cs := make([]*Cursor, 5)
		for i := range cs {
			cs[i] = NewCursor(&textState{})
			fo := NewFollower(FollowerOptions{
				Net:        p,
				Sink:       cs[i],
				Self:       rpc.Member{ID: uint64(i + 1)},
				NextParent: func(string) string { return "x" },
				OnMessage: func(n *rpc.Message) {
					if n.Kind == rpc.LoadSums && string(n.Body) == "sum" {
						got.Add(1)
					}
				},
			})
			go fo.Run(ctx)
		}
		time.Sleep(HeartbeatInterval)
		f.Broadcast(&rpc.Message{Kind: rpc.LoadSums, Body: []byte("sum")})
		time.Sleep(HeartbeatInterval / 2)
		require.Equal(t, int64(len(cs)), got.Load())
		for _, c := range cs {
			at := c.Position().Number
			require.Equal(t, n, at)
		}
	})
}

func TestFollower_NotRunning_ErrNoParent(t *testing.T) {
	follower := NewFollower(FollowerOptions{Sink: NewCursor(&textState{})})
	_, err := follower.Call(&rpc.Message{Kind: rpc.Loan}, time.Second)
	require.ErrorIs(t, err, ErrNoParent)
	require.False(t, follower.Send(&rpc.Message{Kind: rpc.Suspect}))
	require.Empty(t, follower.ParentAddress())
}
