package haul

import (
	"fmt"
	"log/slog"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"shaletrestle/crew"
	"shaletrestle/plate"
	"shaletrestle/scope"
	"shaletrestle/tick"
)

// words is a board that joins its changes.
type words struct {
	mu sync.Mutex
	s  string
}

func (w *words) Restore(b []byte) error { w.mu.Lock(); w.s = string(b); w.mu.Unlock(); return nil }
func (w *words) Fold(b []byte)          { w.mu.Lock(); w.s += string(b); w.mu.Unlock() }
func (w *words) Checkpoint() []byte     { w.mu.Lock(); defer w.mu.Unlock(); return []byte(w.s) }

// pipes is a network of in-memory connections to one feed.
type pipes struct {
	sc           *scope.Scope
	feed         *Feed
	last         atomic.Pointer[net.Conn]
	off          atomic.Bool
	heard, seats atomic.Int64 // acknowledgements, and the seats in them
}

func (p *pipes) Dial(string, tick.Span) (net.Conn, error) {
	if p.off.Load() {
		return nil, net.ErrClosed
	}
	a, b := net.Pipe()
	p.last.Store(&b)
	crew.Open(p.sc, b, func(ch *crew.Channel, n *crew.Note) *crew.Note {
		switch n.Kind {
		case crew.Follow:
			p.feed.Follow(ch, n)
		case crew.Heard:
			p.heard.Add(1)
			p.seats.Add(int64(len(n.Seats)))
			p.feed.Ack(ch, n)
		}
		return nil
	})
	return a, nil
}

func (p *pipes) Listen(string) (net.Listener, error) { return nil, net.ErrClosed }

func TestAFollowerGetsCheckpointThenDeltasThenWhatItMissed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		sc := scope.New(slog.New(slog.DiscardHandler))
		defer func() { sc.Stop(); time.Sleep(time.Second) }()
		src := &words{s: "old"}
		f := NewFeed(sc, src, nil)
		p := &pipes{sc: sc, feed: f}
		got := &words{}
		c := NewCursor(got)
		go NewFollower(sc, p, c, crew.Seat{ID: 1, Addr: "n1"}, false, func(string) string { return "x" }, nil).Run()
		f.Begin(1)
		time.Sleep(100 * time.Millisecond)
		require.Equal(t, "old", string(got.Checkpoint()))
		n := f.Push([]byte("+a"))
		have, of := f.Wait(sc, n, time.Second)
		require.Equal(t, 1, have)
		require.Equal(t, 1, of)
		require.Equal(t, "old+a", string(got.Checkpoint()))
		_ = (*p.last.Load()).Close()
		p.off.Store(true)
		time.Sleep(50 * time.Millisecond)
		f.Push([]byte("+b"))
		f.Push([]byte("+c"))
		p.off.Store(false)
		time.Sleep(time.Second)
		require.Equal(t, "old+a+b+c", string(got.Checkpoint()))
		f.Begin(2)
		f.Push([]byte("+d"))
		time.Sleep(100 * time.Millisecond)
		ep, num := c.At()
		require.Equal(t, uint64(2), ep)
		require.Equal(t, uint64(1), num)
		require.Error(t, c.Restore(1, 9, []byte("stale")), "an older life is refused")
		require.False(t, c.Take(2, 7, []byte("gap")))
		require.True(t, c.Take(2, 1, []byte("+d")), "one that was taken is no gap")
		require.Equal(t, "old+a+b+c+d", string(got.Checkpoint()))
		require.Len(t, f.Reached(), 1)
	})
}

func TestASilentSourceIsLeft(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		sc := scope.New(slog.New(slog.DiscardHandler))
		defer func() { sc.Stop(); time.Sleep(time.Second) }()
		f := NewFeed(sc, &words{}, nil)
		f.Begin(1)
		p := &pipes{sc: sc, feed: f}
		var tried []string
		fo := NewFollower(sc, p, NewCursor(&words{}), crew.Seat{ID: 1}, false, func(bad string) string { tried = append(tried, bad); return fmt.Sprint("at", len(tried)) }, nil)
		go fo.Run()
		time.Sleep(5 * time.Second)
		synctest.Wait()
		require.Len(t, tried, 1)
		f.End() // a relay that hears nothing says so after a while
		time.Sleep(plate.RelayStale + plate.NewsLost)
		synctest.Wait()
		require.Greater(t, len(tried), 1)
		require.True(t, strings.HasPrefix(tried[1], "at1"))
	})
}

func TestARelayTakesNoGapAndNoOlderLife(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		sc := scope.New(slog.New(slog.DiscardHandler))
		defer func() { sc.Stop(); time.Sleep(time.Second) }()
		b := &words{}
		f := NewFeed(sc, b, nil)
		require.NoError(t, f.Restore(3, 5, []byte("s")))
		require.False(t, f.Take(3, 7, []byte("gap")))
		require.False(t, f.Take(4, 6, []byte("another life")))
		require.True(t, f.Take(3, 6, []byte("+")))
		require.True(t, f.Take(3, 6, []byte("again")))
		require.Equal(t, "s+", string(b.Checkpoint()))
		require.Error(t, f.Restore(2, 9, []byte("old")))
		f.Begin(4)
		require.False(t, f.Take(4, 1, []byte("x")), "a source takes nothing from others")
		require.Error(t, f.Restore(4, 9, []byte("y")))
	})
}

// TestARelaysWordDoesNotGrowWithTheSquareOfItsFollowers: each beat of each follower once made the relay pass the whole list of its seats on.
func TestARelaysWordDoesNotGrowWithTheSquareOfItsFollowers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		sc := scope.New(slog.New(slog.DiscardHandler))
		defer func() { sc.Stop(); time.Sleep(time.Second) }()
		src := NewFeed(sc, &words{}, nil)
		src.Begin(1)
		up := &pipes{sc: sc, feed: src}
		var relay *Follower
		mid := NewFeed(sc, &words{}, func(uint64, uint64) { relay.Tell() })
		relay = NewFollower(sc, up, mid, crew.Seat{ID: 1, Addr: "relay"}, true, func(string) string { return "src" }, mid.Reached)
		go relay.Run()
		time.Sleep(time.Second)
		const many = 30
		for i := range many {
			p := &pipes{sc: sc, feed: mid}
			go NewFollower(sc, p, NewCursor(&words{}), crew.Seat{ID: uint64(10 + i), Addr: fmt.Sprint("n", i)}, false, func(string) string { return "mid" }, nil).Run()
		}
		time.Sleep(5 * time.Second)
		require.Len(t, src.Reached(), many)
		notes, seats := up.heard.Load(), up.seats.Load()
		const beats = 50
		time.Sleep(beats * plate.NewsBeat)
		require.LessOrEqual(t, up.heard.Load()-notes, int64(beats+2))
		require.LessOrEqual(t, up.seats.Load()-seats, int64(many*(beats*plate.NewsBeat/plate.SeatsAgain+1)))
		time.Sleep(plate.NewsBeat / 3) // between two beats
		at := time.Now()
		n := src.Push([]byte("+"))
		have, of := src.Wait(sc, n, time.Second)
		require.Equal(t, []int{1, 1}, []int{have, of})
		require.Zero(t, time.Since(at), "a change that was taken waits for no beat")
		require.Equal(t, n, mid.Acked())
		require.Len(t, src.Reached(), many, "seats as before are kept")
	})
}

func ExampleFeed() {
	sc := scope.New(slog.New(slog.DiscardHandler))
	defer sc.Stop()
	board := &words{}
	f := NewFeed(sc, board, nil)
	f.Begin(1)
	f.Push([]byte("sal "))
	fmt.Println(f.Push([]byte("pine")), string(board.Checkpoint()))
	// Output: 2 sal pine
}
