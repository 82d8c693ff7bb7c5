package distribution

import (
	"context"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"shaletrestle/coord/rpc"
)

func TestASnapshotOfTheSameEpochButALowerNumberIsRefused(t *testing.T) {
	c := NewCursor(&words{})
	require.NoError(t, c.Restore(Position{3, 5}, []byte("five"), true))
	require.Error(t, c.Restore(Position{3, 4}, []byte("four"), true))
	require.NoError(t, c.Restore(Position{3, 5}, []byte("five"), true))
	require.NoError(t, c.Restore(Position{4, 0}, []byte("next"), true))
	require.Error(t, c.Restore(Position{3, 9}, []byte("nine"), true))

	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		defer func() { cancel(); time.Sleep(time.Second) }()
		b := &words{}
		f := NewFeed(ctx, slog.New(slog.DiscardHandler), b, nil)
		require.NoError(t, f.Restore(Position{3, 5}, []byte("five"), true))
		require.Error(t, f.Restore(Position{3, 4}, []byte("four"), true))
		require.Equal(t, "five", string(b.Snapshot()))
	})
}

func TestADeposedSourcePushesNothingIntoItsFollowersSequence(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		defer func() { cancel(); time.Sleep(time.Second) }()
		b := &words{}
		f := NewFeed(ctx, slog.New(slog.DiscardHandler), b, nil)
		source := f.Begin(1, func() []byte { return []byte("old") })
		f.End()
		_, ok := source.Push([]byte("+late"))
		require.False(t, ok, "it has ended")
		require.NoError(t, f.Restore(Position{2, 7}, []byte("new"), true))
		_, ok = source.Push([]byte("+late"))
		require.False(t, ok, "another is the source")
		require.Equal(t, "new", string(b.Snapshot()))
		require.Nil(t, f.Begin(1, b.Snapshot), "a newer source is known")

		source = f.Begin(3, b.Snapshot)
		require.NoError(t, f.Restore(Position{4, 0}, []byte("newest"), true), "it hears of its follower before it steps down")
		_, ok = source.Push([]byte("+late"))
		require.False(t, ok)
		require.Equal(t, "newest", string(b.Snapshot()))
	})
}

func TestASourceThatBeginsAgainInItsEpochGoesOnWithItsNumbers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		defer func() { cancel(); time.Sleep(time.Second) }()
		b := &words{}
		f := NewFeed(ctx, slog.New(slog.DiscardHandler), b, nil)
		push := begin(f, 1)
		push("a")
		push("b")
		f.End()
		push = begin(f, 1)
		require.Equal(t, uint64(4), push("c"))
	})
}

// refusing is a board that can't fold some changes.
type refusing struct {
	words
	bad string
}

func (r *refusing) Update(b []byte) error {
	if string(b) == r.bad {
		return net.ErrClosed
	}
	return r.words.Update(b)
}

func TestAFollowerThatCannotFoldAChangeAsksForASnapshot(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		defer func() { cancel(); time.Sleep(time.Second) }()
		f := NewFeed(ctx, slog.New(slog.DiscardHandler), &words{s: "x"}, nil)
		push := begin(f, 1)
		p := &pipes{ctx: ctx, feed: f}
		got := &refusing{bad: "+b"}
		go NewFollower(FollowerOptions{
			Net:        p,
			Sink:       NewCursor(got),
			Self:       rpc.Member{ID: 1},
			NextSource: func(string) string { return "x" },
		}).Run(ctx)
		time.Sleep(time.Second)
		push("+a")
		push("+b")
		push("+c")
		time.Sleep(time.Second)
		require.Equal(t, "x+a+b+c", string(got.Snapshot()))
	})
}

func TestAStaleRelayTellsAReturningFollowerNothingAsCurrent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		defer func() { cancel(); time.Sleep(time.Second) }()
		relay := NewFeed(ctx, slog.New(slog.DiscardHandler), &words{}, nil)
		require.NoError(t, relay.Restore(Position{2, 0}, []byte("relayed"), true))
		time.Sleep(relayStale)
		p := &pipes{ctx: ctx, feed: relay}

		held := NewCursor(&words{})
		require.NoError(t, held.Restore(Position{1, 4}, []byte("held"), true))
		go NewFollower(FollowerOptions{
			Net:        p,
			Sink:       held,
			Self:       rpc.Member{ID: 1},
			NextSource: func(string) string { return "x" },
		}).Run(ctx)
		time.Sleep(5 * time.Second)
		epoch := held.Position().Epoch
		require.Equal(t, uint64(1), epoch)
		require.GreaterOrEqual(t, held.SinceContact(), 5*time.Second, "nothing current was heard")

		empty := NewCursor(&words{})
		go NewFollower(FollowerOptions{
			Net:        p,
			Sink:       empty,
			Self:       rpc.Member{ID: 2},
			NextSource: func(string) string { return "x" },
		}).Run(ctx)
		time.Sleep(5 * time.Second)
		epoch = empty.Position().Epoch
		require.Equal(t, uint64(2), epoch, "one that has nothing takes the last that is known")
		require.GreaterOrEqual(t, empty.SinceContact(), 5*time.Second, "but not as current")
	})
}

func TestAFollowerAheadOfItsRelayKeepsWhatItHas(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		defer func() { cancel(); time.Sleep(time.Second) }()
		relay := NewFeed(ctx, slog.New(slog.DiscardHandler), &words{}, nil)
		require.NoError(t, relay.Restore(Position{2, 3}, []byte("3"), true))
		p := &pipes{ctx: ctx, feed: relay}
		got := &words{}
		ahead := NewCursor(got)
		require.NoError(t, ahead.Restore(Position{2, 5}, []byte("5"), true))
		go NewFollower(FollowerOptions{
			Net:        p,
			Sink:       ahead,
			Self:       rpc.Member{ID: 1},
			NextSource: func(string) string { return "x" },
		}).Run(ctx)
		time.Sleep(time.Second)
		for n := uint64(4); n <= 7; n++ {
			require.True(t, relay.Apply(Position{2, n}, []byte(fmt.Sprint("+", n))))
		}
		time.Sleep(time.Second)
		require.Equal(t, "5+6+7", string(got.Snapshot()))
	})
}

// labelled is a board whose state is its position: it notices whatever goes back, is left out or comes from
// another sequence.
type labelled struct {
	mu     sync.Mutex
	at     Position
	faults *faults
}

// faults collects what boards notice.
type faults struct {
	mu   sync.Mutex
	seen []string
}

func (f *faults) add(format string, a ...any) {
	f.mu.Lock()
	f.seen = append(f.seen, fmt.Sprintf(format, a...))
	f.mu.Unlock()
}

func (f *faults) all() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.seen
}

func label(at Position) []byte { return []byte(fmt.Sprintf("%d/%d", at.Epoch, at.Number)) }

func unlabel(b []byte) (at Position) {
	_, _ = fmt.Sscanf(string(b), "%d/%d", &at.Epoch, &at.Number)
	return at
}

func (l *labelled) Restore(b []byte) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	at := unlabel(b)
	if at.Before(l.at) {
		l.faults.add("%v restored over %v", at, l.at)
	}
	l.at = at
	return nil
}

func (l *labelled) Update(b []byte) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	at := unlabel(b)
	if at != (Position{l.at.Epoch, l.at.Number + 1}) {
		l.faults.add("%v folded into %v", at, l.at)
	}
	l.at = at
	return nil
}

func (l *labelled) Snapshot() []byte {
	l.mu.Lock()
	defer l.mu.Unlock()
	return label(l.at)
}

// web is controllers that each hold a feed, and end followers, which reach each other as the schedule wants.
type web struct {
	ctx    context.Context
	r      *rand.Rand
	faults *faults

	mu      sync.Mutex
	feeds   map[string]*Feed
	conns   map[net.Conn][2]string
	cut     map[[2]string]bool
	primary map[string]string // by each one's own belief

	lives   map[string]context.CancelFunc
	sources map[string]*Source // of those that think that they are primary
	epoch   uint64
}

const webControllers, webEnds = 4, 6

func controllerName(i int) string { return fmt.Sprint("c", i) }
func endName(i int) string        { return fmt.Sprint("e", i) }

func newWeb(ctx context.Context, seed uint64) *web {
	w := &web{
		ctx:     ctx,
		r:       rand.New(rand.NewPCG(seed, 13)),
		faults:  &faults{},
		feeds:   map[string]*Feed{},
		conns:   map[net.Conn][2]string{},
		cut:     map[[2]string]bool{},
		primary: map[string]string{},
		lives:   map[string]context.CancelFunc{},
		sources: map[string]*Source{},
	}
	for i := range webControllers {
		w.boot(controllerName(i))
	}
	for i := range webEnds {
		pick := rand.New(rand.NewPCG(seed, uint64(100+i)))
		next := func(string) string { return controllerName(pick.IntN(webControllers)) }
		cursor := NewCursor(&labelled{faults: w.faults})
		go NewFollower(FollowerOptions{
			Net:        &webNet{w, endName(i)},
			Sink:       cursor,
			Self:       rpc.Member{ID: uint64(i + 1)},
			NextSource: next,
		}).Run(ctx)
	}
	return w
}

// boot starts a controller with nothing.
func (w *web) boot(name string) {
	if stop := w.lives[name]; stop != nil {
		stop()
	}
	ctx, stop := context.WithCancel(w.ctx)
	w.lives[name] = stop
	var up *Follower
	feed := NewFeed(ctx, slog.New(slog.DiscardHandler), &labelled{faults: w.faults}, func(Position) { up.ReportProgress() })
	up = NewFollower(FollowerOptions{
		Net:          &webNet{w, name},
		Sink:         feed,
		Self:         rpc.Member{ID: w.r.Uint64()},
		NextSource:   func(string) string { return w.follows(name) },
		EndFollowers: feed.EndFollowers,
	})
	w.mu.Lock()
	w.feeds[name] = feed
	w.mu.Unlock()
	go up.Run(ctx)
}

func (w *web) follows(name string) string {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.primary[name] == name {
		return ""
	}
	return w.primary[name]
}

// takeOver makes a controller the source of a new epoch. Those that are told follow it, the others go on as before.
func (w *web) takeOver(name string, allTold bool) {
	w.epoch++
	first := label(Position{Epoch: w.epoch})
	w.sources[name] = w.feeds[name].Begin(w.epoch, func() []byte { return first })
	for i := range webControllers {
		other := controllerName(i)
		if other != name && !allTold && w.r.IntN(2) == 0 {
			continue
		}
		w.mu.Lock()
		w.primary[other] = name
		w.mu.Unlock()
		if other != name && w.sources[other] != nil {
			w.feeds[other].End() // its handle is still used: it has not noticed everywhere
		}
	}
}

// pushAll lets everyone that was a source push a change, also if it has ended: then nothing may come of it.
func (w *web) pushAll() {
	for name, source := range w.sources {
		n, _ := source.Number()
		if _, ok := source.Push(label(Position{source.epoch, n + 1})); !ok {
			delete(w.sources, name)
		}
	}
}

// sever breaks the connections between two processes; if cut is set no new ones come.
func (w *web) sever(from, to string, cut bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.cut[[2]string{from, to}] = cut
	for c, ends := range w.conns {
		if ends == [2]string{from, to} {
			_ = c.Close()
			delete(w.conns, c)
		}
	}
}

func (w *web) trouble() {
	any1, any2 := controllerName(w.r.IntN(webControllers)), controllerName(w.r.IntN(webControllers))
	switch w.r.IntN(8) {
	case 0:
		w.takeOver(any1, w.r.IntN(2) == 0)
	case 1:
		w.sever(any1, any2, w.r.IntN(2) == 0)
	case 2:
		w.sever(endName(w.r.IntN(webEnds)), any1, w.r.IntN(3) == 0)
	case 3:
		delete(w.sources, any1)
		w.boot(any1)
	default:
		w.pushAll()
	}
}

type webNet struct {
	w    *web
	name string
}

func (n *webNet) Listen(string) (net.Listener, error) { return nil, net.ErrClosed }

func (n *webNet) Dial(at string, _ time.Duration) (net.Conn, error) {
	w := n.w
	w.mu.Lock()
	defer w.mu.Unlock()
	f := w.feeds[at]
	if f == nil || w.cut[[2]string{n.name, at}] {
		return nil, net.ErrClosed
	}
	a, b := net.Pipe()
	w.conns[b] = [2]string{n.name, at}
	rpc.Open(w.ctx, b, func(ch *rpc.Channel, m *rpc.Message) *rpc.Message {
		switch m.Kind {
		case rpc.Subscribe:
			f.HandleSubscribe(ch, m)
		case rpc.UpdateAck:
			f.HandleAck(ch, m)
		}
		return nil
	})
	return a, nil
}

func TestNoFollowerEverGoesBackThroughTakeoversCutsAndRestarts(t *testing.T) {
	for seed := range uint64(20) {
		synctest.Test(t, func(t *testing.T) {
			ctx, cancel := context.WithCancel(context.Background())
			defer func() { cancel(); time.Sleep(time.Second) }()
			w := newWeb(ctx, seed)
			w.takeOver("c0", true)
			for range 120 {
				w.trouble()
				time.Sleep(time.Duration(w.r.IntN(400)) * time.Millisecond)
				require.Empty(t, w.faults.all(), "seed %d", seed)
			}
			w.mu.Lock()
			w.cut = map[[2]string]bool{}
			w.mu.Unlock()
			w.takeOver("c1", true)
			time.Sleep(10 * time.Second)
			require.Empty(t, w.faults.all())
			position := w.feeds["c1"].Position()
			require.Equal(t, w.epoch, position.Epoch)
			require.Len(t, w.feeds["c1"].EndFollowers(), webEnds, "all came back to the newest source")
			require.Equal(t, position.Number, w.feeds["c1"].Acked())
		})
	}
}
