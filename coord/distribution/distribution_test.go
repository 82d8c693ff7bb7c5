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

// words is a board that joins its changes.
type words struct {
	mu sync.Mutex
	s  string
}

func (w *words) Restore(b []byte) error { w.mu.Lock(); w.s = string(b); w.mu.Unlock(); return nil }
func (w *words) Update(b []byte) error  { w.mu.Lock(); w.s += string(b); w.mu.Unlock(); return nil }
func (w *words) Snapshot() []byte       { w.mu.Lock(); defer w.mu.Unlock(); return []byte(w.s) }

// begin makes a feed the source of an epoch over the state that it has, and gives how to push changes.
func begin(f *Feed, epoch uint64) func(string) uint64 {
	source := f.Begin(epoch, f.board.Snapshot)
	return func(change string) uint64 {
		n, ok := source.Push([]byte(change))
		if !ok {
			panic("the source has ended")
		}
		return n
	}
}

// pipes is a network of in-memory connections to one feed.
type pipes struct {
	ctx  context.Context
	feed *Feed
	mu   sync.Mutex
	last net.Conn
	off  bool

	heard, seats atomic.Int64 // acknowledgements, and the seats in them
}

func (p *pipes) Dial(string, time.Duration) (net.Conn, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.off {
		return nil, net.ErrClosed
	}
	a, b := net.Pipe()
	p.last = b
	rpc.Open(p.ctx, b, func(ch *rpc.Channel, n *rpc.Message) *rpc.Message {
		switch n.Kind {
		case rpc.Subscribe:
			p.feed.HandleSubscribe(ch, n)
		case rpc.UpdateAck:
			p.heard.Add(1)
			p.seats.Add(int64(len(n.Members)))
			p.feed.HandleAck(ch, n)
		}
		return nil
	})
	return a, nil
}

func (p *pipes) Listen(string) (net.Listener, error) { return nil, net.ErrClosed }

func TestAFollowerGetsCheckpointThenDeltasThenWhatItMissed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		defer func() { cancel(); time.Sleep(time.Second) }()
		src := &words{s: "old"}
		f := NewFeed(ctx, slog.New(slog.DiscardHandler), src, nil)
		p := &pipes{ctx: ctx, feed: f}
		got := &words{}
		c := NewCursor(got)
		go NewFollower(FollowerOptions{
			Net:        p,
			Sink:       c,
			Self:       rpc.Member{ID: 1, Address: "n1"},
			NextSource: func(string) string { return "x" },
		}).Run(ctx)
		push := begin(f, 1)
		time.Sleep(100 * time.Millisecond)
		require.Equal(t, "old", string(got.Snapshot()))
		n := push("+a")
		have, of := f.WaitAcked(ctx, n, time.Second)
		require.Equal(t, 1, have)
		require.Equal(t, 1, of)
		require.Equal(t, "old+a", string(got.Snapshot()))
		p.mu.Lock()
		_ = p.last.Close()
		p.off = true
		p.mu.Unlock()
		time.Sleep(50 * time.Millisecond)
		push("+b")
		push("+c")
		p.mu.Lock()
		p.off = false
		p.mu.Unlock()
		time.Sleep(time.Second)
		require.Equal(t, "old+a+b+c", string(got.Snapshot()))
		push = begin(f, 2)
		push("+d")
		time.Sleep(100 * time.Millisecond)
		require.Equal(t, Position{Epoch: 2, Number: 1}, c.Position())
		require.Error(t, c.Restore(Position{1, 9}, []byte("stale"), true), "an older life is refused")
		require.False(t, c.Apply(Position{2, 7}, []byte("gap")))
		require.True(t, c.Apply(Position{2, 1}, []byte("+d")), "one that was taken is no gap")
		require.Equal(t, "old+a+b+c+d", string(got.Snapshot()))
		require.Len(t, f.EndFollowers(), 1)
	})
}

// tree is a source, relays under it and ends under the relays, over in-memory connections that count what goes up.
type tree struct {
	ctx   context.Context
	mu    sync.Mutex
	feeds map[string]*Feed
	held  []net.Conn
	up    int // acknowledgements that reached the source
	lists int // those that listed seats
}

func (p *tree) Dial(at string, _ time.Duration) (net.Conn, error) {
	a, b := net.Pipe()
	p.mu.Lock()
	f := p.feeds[at]
	p.held = append(p.held, b)
	p.mu.Unlock()
	rpc.Open(p.ctx, b, func(ch *rpc.Channel, n *rpc.Message) *rpc.Message {
		switch n.Kind {
		case rpc.Subscribe:
			f.HandleSubscribe(ch, n)
		case rpc.UpdateAck:
			if at == "source" {
				p.mu.Lock()
				p.up++
				if len(n.Members) > 0 {
					p.lists++
				}
				p.mu.Unlock()
			}
			f.HandleAck(ch, n)
		}
		return nil
	})
	return a, nil
}

func (p *tree) Listen(string) (net.Listener, error) { return nil, net.ErrClosed }

// grow puts relays and ends under a source; lives ends each end's follower.
func (p *tree) grow(relays, ends int) (src *Feed, push func(string) uint64, lives map[uint64]context.CancelFunc) {
	src = NewFeed(p.ctx, slog.New(slog.DiscardHandler), &words{}, nil)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.feeds = map[string]*Feed{"source": src}
	for i := range relays {
		var fo *Follower
		f := NewFeed(p.ctx, slog.New(slog.DiscardHandler), &words{}, func(Position) { fo.ReportProgress() })
		p.feeds[fmt.Sprint("relay", i)] = f
		fo = NewFollower(FollowerOptions{
			Net:          p,
			Sink:         f,
			Self:         rpc.Member{ID: uint64(i) + 1000},
			NextSource:   func(string) string { return "source" },
			EndFollowers: f.EndFollowers,
		})
		go fo.Run(p.ctx)
	}
	push = begin(src, 1)
	lives = map[uint64]context.CancelFunc{}
	for i := range ends {
		p.end(lives, uint64(i+1), fmt.Sprint("relay", i%relays))
	}
	return
}

func (p *tree) end(lives map[uint64]context.CancelFunc, id uint64, at string) {
	ctx, cancel := context.WithCancel(p.ctx)
	lives[id] = cancel
	go NewFollower(FollowerOptions{
		Net:        p,
		Sink:       NewCursor(&words{}),
		Self:       rpc.Member{ID: id, Address: fmt.Sprint("n", id)},
		NextSource: func(string) string { return at },
	}).Run(ctx)
}

func TestReachedStaysRightThroughLosses(t *testing.T) {
	for seed := range uint64(12) {
		synctest.Test(t, func(t *testing.T) {
			r := rand.New(rand.NewPCG(seed, 3))
			ctx, cancel := context.WithCancel(context.Background())
			defer func() { cancel(); time.Sleep(time.Second) }()
			p := &tree{ctx: ctx}
			src, push, lives := p.grow(3, 12)
			time.Sleep(HeartbeatInterval)
			for range 15 {
				for range r.IntN(6) {
					switch r.IntN(4) {
					case 0: // a connection breaks
						p.mu.Lock()
						_ = p.held[r.IntN(len(p.held))].Close()
						p.mu.Unlock()
					case 1: // an end goes for good
						for id, l := range lives {
							l()
							delete(lives, id)
							break
						}
					case 2: // a new one comes
						p.end(lives, 100+r.Uint64N(1<<30), fmt.Sprint("relay", r.IntN(3)))
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
				require.Len(t, got, len(lives))
				for id := range lives {
					require.True(t, got[id])
				}
				require.Equal(t, src.Acked(), push("y")-1, "all had acknowledged")
			}
		})
	}
}

func TestARelayTellsOnceOfAChangeAndListsSeatsOnlyWhenTheyChange(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		defer func() { cancel(); time.Sleep(time.Second) }()
		p := &tree{ctx: ctx}
		src, push, _ := p.grow(2, 60)
		time.Sleep(3*HeartbeatInterval + HeartbeatInterval/2) // between two beats
		p.mu.Lock()
		p.up, p.lists = 0, 0
		p.mu.Unlock()
		n := push("x")
		have, of := src.WaitAcked(ctx, n, time.Second)
		require.Equal(t, [2]int{2, 2}, [2]int{have, of})
		synctest.Wait()
		p.mu.Lock()
		up := p.up
		p.mu.Unlock()
		require.LessOrEqual(t, up, 4, "of each of two relays one when it took the change, one when all its followers had")
		time.Sleep(10 * HeartbeatInterval)
		synctest.Wait()
		p.mu.Lock()
		lists := p.lists
		p.mu.Unlock()
		require.Zero(t, lists)
		require.Len(t, src.EndFollowers(), 60)
	})
}

func TestACheckpointIsMadeOnceForAllThatNeedIt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		defer func() { cancel(); time.Sleep(time.Second) }()
		p := &tree{ctx: ctx, feeds: map[string]*Feed{}}
		b := &counted{}
		f := NewFeed(ctx, slog.New(slog.DiscardHandler), b, nil)
		p.feeds["x"] = f
		push := begin(f, 1)
		b.made = 0 // the helper made one for the first state
		push("a")
		lives := map[uint64]context.CancelFunc{}
		for i := range uint64(20) {
			p.end(lives, i+1, "x")
		}
		time.Sleep(HeartbeatInterval)
		synctest.Wait()
		require.Equal(t, 1, b.made)
		push("b")
		p.end(lives, 99, "x")
		time.Sleep(HeartbeatInterval)
		synctest.Wait()
		require.Equal(t, 2, b.made)
		require.Equal(t, f.Acked(), uint64(2))
	})
}

type counted struct {
	words
	made int
}

func (c *counted) Snapshot() []byte { c.made++; return c.words.Snapshot() }

func TestASilentSourceIsLeft(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		defer func() { cancel(); time.Sleep(time.Second) }()
		f := NewFeed(ctx, slog.New(slog.DiscardHandler), &words{}, nil)
		begin(f, 1)
		p := &pipes{ctx: ctx, feed: f}
		var tried []string
		fo := NewFollower(FollowerOptions{
			Net:        p,
			Sink:       NewCursor(&words{}),
			Self:       rpc.Member{ID: 1},
			NextSource: func(bad string) string { tried = append(tried, bad); return fmt.Sprint("at", len(tried)) },
		})
		go fo.Run(ctx)
		time.Sleep(5 * time.Second)
		synctest.Wait()
		require.Len(t, tried, 1)
		f.End() // a relay that hears nothing says so after a while
		time.Sleep(relayStale + updateTimeout)
		synctest.Wait()
		require.Greater(t, len(tried), 1)
		require.True(t, strings.HasPrefix(tried[1], "at1"))
	})
}

func TestARelayTakesNoGapAndNoOlderLife(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		defer func() { cancel(); time.Sleep(time.Second) }()
		b := &words{}
		f := NewFeed(ctx, slog.New(slog.DiscardHandler), b, nil)
		require.NoError(t, f.Restore(Position{3, 5}, []byte("s"), true))
		require.False(t, f.Apply(Position{3, 7}, []byte("gap")))
		require.False(t, f.Apply(Position{4, 6}, []byte("another life")))
		require.True(t, f.Apply(Position{3, 6}, []byte("+")))
		require.True(t, f.Apply(Position{3, 6}, []byte("again")))
		require.Equal(t, "s+", string(b.Snapshot()))
		require.Error(t, f.Restore(Position{2, 9}, []byte("old"), true))
		begin(f, 4)
		require.False(t, f.Apply(Position{4, 1}, []byte("x")), "a source takes nothing from others")
		require.Error(t, f.Restore(Position{4, 9}, []byte("y"), true))
	})
}

// TestARelaysWordDoesNotGrowWithTheSquareOfItsFollowers: each beat of each follower once made the relay pass the whole list of its seats on.
func TestARelaysWordDoesNotGrowWithTheSquareOfItsFollowers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		defer func() { cancel(); time.Sleep(time.Second) }()
		src := NewFeed(ctx, slog.New(slog.DiscardHandler), &words{}, nil)
		push := begin(src, 1)
		up := &pipes{ctx: ctx, feed: src}
		var relay *Follower
		mid := NewFeed(ctx, slog.New(slog.DiscardHandler), &words{}, func(Position) { relay.ReportProgress() })
		relay = NewFollower(FollowerOptions{
			Net:          up,
			Sink:         mid,
			Self:         rpc.Member{ID: 1, Address: "relay"},
			NextSource:   func(string) string { return "src" },
			EndFollowers: mid.EndFollowers,
		})
		go relay.Run(ctx)
		time.Sleep(time.Second)
		const many = 30
		for i := range many {
			p := &pipes{ctx: ctx, feed: mid}
			go NewFollower(FollowerOptions{
				Net:        p,
				Sink:       NewCursor(&words{}),
				Self:       rpc.Member{ID: uint64(10 + i), Address: fmt.Sprint("n", i)},
				NextSource: func(string) string { return "mid" },
			}).Run(ctx)
		}
		time.Sleep(5 * time.Second)
		require.Len(t, src.EndFollowers(), many)
		notes, seats := up.heard.Load(), up.seats.Load()
		const beats = 50
		time.Sleep(beats * HeartbeatInterval)
		require.LessOrEqual(t, up.heard.Load()-notes, int64(beats+2))
		require.Equal(t, seats, up.seats.Load(), "the same seats are not told again")
		time.Sleep(HeartbeatInterval / 3) // between two beats
		at := time.Now()
		n := push("+")
		have, of := src.WaitAcked(ctx, n, time.Second)
		require.Equal(t, []int{1, 1}, []int{have, of})
		require.Zero(t, time.Since(at), "a change that was taken waits for no beat")
		require.Equal(t, n, mid.Acked())
		require.Len(t, src.EndFollowers(), many, "seats as before are kept")
	})
}

func ExampleFeed() {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	board := &words{}
	f := NewFeed(ctx, slog.New(slog.DiscardHandler), board, nil)
	push := begin(f, 1)
	push("sal ")
	fmt.Println(push("pine"), string(board.Snapshot()))
	// Output: 2 sal pine
}

func TestASpreadNoteReachesAllAndChangesNoNews(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		defer func() { cancel(); time.Sleep(time.Second) }()
		p := &tree{ctx: ctx}
		f := NewFeed(ctx, slog.New(slog.DiscardHandler), &words{}, nil)
		p.feeds = map[string]*Feed{"x": f}
		push := begin(f, 1)
		n := push("a")
		var got atomic.Int64
		cs := make([]*Cursor, 5)
		for i := range cs {
			cs[i] = NewCursor(&words{})
			fo := NewFollower(FollowerOptions{
				Net:        p,
				Sink:       cs[i],
				Self:       rpc.Member{ID: uint64(i + 1)},
				NextSource: func(string) string { return "x" },
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
