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

func TestRestore_OlderSnapshot_ErrStale(t *testing.T) {
	c := NewCursor(&textState{})
	require.NoError(t, c.Restore(Position{3, 5}, []byte("five"), true))
	require.ErrorIs(t, c.Restore(Position{3, 4}, []byte("four"), true), ErrStale)
	require.NoError(t, c.Restore(Position{3, 5}, []byte("five"), true))
	require.NoError(t, c.Restore(Position{4, 0}, []byte("next"), true))
	require.ErrorIs(t, c.Restore(Position{3, 9}, []byte("nine"), true), ErrStale)

	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		defer func() { cancel(); time.Sleep(time.Second) }()
		b := &textState{}
		f := NewFeed(ctx, slog.New(slog.DiscardHandler), b, nil)
		require.NoError(t, f.Restore(Position{3, 5}, []byte("five"), true))
		require.ErrorIs(t, f.Restore(Position{3, 4}, []byte("four"), true), ErrStale)
		require.Equal(t, "five", string(b.Snapshot()))
	})
}

func TestSourcePush_Deposed_PushesNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		defer func() { cancel(); time.Sleep(time.Second) }()
		b := &textState{}
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
		require.NoError(t, f.Restore(Position{4, 0}, []byte("newest"), true), "a snapshot of a newer epoch ends the source")
		_, ok = source.Push([]byte("+late"))
		require.False(t, ok)
		require.Equal(t, "newest", string(b.Snapshot()))
	})
}

func TestFeedBegin_SameEpochAgain_NumbersGoOn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		defer func() { cancel(); time.Sleep(time.Second) }()
		b := &textState{}
		f := NewFeed(ctx, slog.New(slog.DiscardHandler), b, nil)
		push := beginSource(f, 1)
		push("a")
		push("b")
		f.End()
		push = beginSource(f, 1)
		require.Equal(t, uint64(4), push("c"))
	})
}

// rejectingState is a text to which one change does not apply.
type rejectingState struct {
	textState
	rejected string
}

func (r *rejectingState) Update(b []byte) error {
	if string(b) == r.rejected {
		return net.ErrClosed
	}
	return r.textState.Update(b)
}

func TestFollower_ChangeDoesNotApply_GetsSnapshot(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		defer func() { cancel(); time.Sleep(time.Second) }()
		f := NewFeed(ctx, slog.New(slog.DiscardHandler), &textState{text: "x"}, nil)
		push := beginSource(f, 1)
		p := &pipeNetwork{ctx: ctx, feed: f}
		got := &rejectingState{rejected: "+b"}
		go NewFollower(FollowerOptions{
			Net:        p,
			Sink:       NewCursor(got),
			Self:       rpc.Member{ID: 1},
			NextParent: func(string) string { return "x" },
		}).Run(ctx)
		time.Sleep(time.Second)
		push("+a")
		push("+b")
		push("+c")
		time.Sleep(time.Second)
		require.Equal(t, "x+a+b+c", string(got.Snapshot()))
	})
}

func TestRelay_Stale_GivesNothingAsCurrent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		defer func() { cancel(); time.Sleep(time.Second) }()
		relay := NewFeed(ctx, slog.New(slog.DiscardHandler), &textState{}, nil)
		require.NoError(t, relay.Restore(Position{2, 0}, []byte("relayed"), true))
		time.Sleep(relayStaleAfter)
		p := &pipeNetwork{ctx: ctx, feed: relay}

		behind := NewCursor(&textState{})
		require.NoError(t, behind.Restore(Position{1, 4}, []byte("behind"), true))
		go NewFollower(FollowerOptions{
			Net:        p,
			Sink:       behind,
			Self:       rpc.Member{ID: 1},
			NextParent: func(string) string { return "x" },
		}).Run(ctx)
		time.Sleep(5 * time.Second)
		epoch := behind.Position().Epoch
		require.Equal(t, uint64(1), epoch)
		require.GreaterOrEqual(t, behind.SinceContact(), 5*time.Second, "no parent was current")

		empty := NewCursor(&textState{})
		go NewFollower(FollowerOptions{
			Net:        p,
			Sink:       empty,
			Self:       rpc.Member{ID: 2},
			NextParent: func(string) string { return "x" },
		}).Run(ctx)
		time.Sleep(5 * time.Second)
		epoch = empty.Position().Epoch
		require.Equal(t, uint64(2), epoch, "one that has nothing takes the last that is known")
		require.GreaterOrEqual(t, empty.SinceContact(), 5*time.Second, "but not as current")
	})
}

func TestFollower_AheadOfRelay_KeepsItsState(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		defer func() { cancel(); time.Sleep(time.Second) }()
		relay := NewFeed(ctx, slog.New(slog.DiscardHandler), &textState{}, nil)
		require.NoError(t, relay.Restore(Position{2, 3}, []byte("3"), true))
		p := &pipeNetwork{ctx: ctx, feed: relay}
		got := &textState{}
		ahead := NewCursor(got)
		require.NoError(t, ahead.Restore(Position{2, 5}, []byte("5"), true))
		go NewFollower(FollowerOptions{
			Net:        p,
			Sink:       ahead,
			Self:       rpc.Member{ID: 1},
			NextParent: func(string) string { return "x" },
		}).Run(ctx)
		time.Sleep(time.Second)
		for n := uint64(4); n <= 7; n++ {
			require.True(t, relay.Apply(Position{2, n}, []byte(fmt.Sprint("+", n))))
		}
		time.Sleep(time.Second)
		require.Equal(t, "5+6+7", string(got.Snapshot()))
	})
}

// positionState is a state that is its own position: it notices whatever goes back, is left out or comes from
// another sequence.
type positionState struct {
	mu         sync.Mutex
	at         Position
	violations *violations
}

// violations collects what states notice.
type violations struct {
	mu   sync.Mutex
	seen []string
}

func (f *violations) add(format string, a ...any) {
	f.mu.Lock()
	f.seen = append(f.seen, fmt.Sprintf(format, a...))
	f.mu.Unlock()
}

func (f *violations) all() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.seen
}

func encodePosition(at Position) []byte { return []byte(fmt.Sprintf("%d/%d", at.Epoch, at.Number)) }

func decodePosition(b []byte) (at Position) {
	_, _ = fmt.Sscanf(string(b), "%d/%d", &at.Epoch, &at.Number)
	return at
}

func (l *positionState) Restore(b []byte) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	at := decodePosition(b)
	if at.Before(l.at) {
		l.violations.add("%v restored over %v", at, l.at)
	}
	l.at = at
	return nil
}

func (l *positionState) Update(b []byte) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	at := decodePosition(b)
	if at != (Position{l.at.Epoch, l.at.Number + 1}) {
		l.violations.add("%v folded into %v", at, l.at)
	}
	l.at = at
	return nil
}

func (l *positionState) Snapshot() []byte {
	l.mu.Lock()
	defer l.mu.Unlock()
	return encodePosition(l.at)
}

// route is the direction of a connection: who dialled whom.
type route struct{ from, to string }

// cluster is controllers that each hold a feed, and end followers, which reach each other as the schedule wants.
type cluster struct {
	ctx        context.Context
	random     *rand.Rand
	violations *violations

	mu          sync.Mutex
	feeds       map[string]*Feed
	conns       map[net.Conn]route
	partitioned map[route]bool
	primary     map[string]string // by each one's own belief

	incarnations map[string]context.CancelFunc
	sources      map[string]*Source // of those that think that they are primary
	epoch        uint64
	cursors      []*Cursor
	content      clusterContent
}

// clusterContent is what the processes of a cluster pass on.
type clusterContent interface {
	// newState makes the empty state of a process.
	newState() State
	// first gives the state in which a feed begins an epoch; the feed is locked.
	first(feed *Feed, epoch uint64) []byte
	// change gives the change that a source pushes next.
	change(at Position) []byte
	// pushed is called when a feed has begun an epoch or pushed a change.
	pushed(feed *Feed, source *Source)
}

// positions is the content of states that are their own positions.
type positions struct{ violations *violations }

func (p positions) newState() State                  { return &positionState{violations: p.violations} }
func (positions) first(_ *Feed, epoch uint64) []byte { return encodePosition(Position{Epoch: epoch}) }
func (positions) change(at Position) []byte          { return encodePosition(at) }
func (positions) pushed(_ *Feed, _ *Source)          {}

const clusterControllers, clusterEndFollowers = 4, 6

func controllerName(i int) string { return fmt.Sprint("c", i) }
func endName(i int) string        { return fmt.Sprint("e", i) }

func newCluster(ctx context.Context, seed uint64) *cluster {
	violations := &violations{}
	return newClusterOf(ctx, seed, violations, positions{violations})
}

func newClusterOf(ctx context.Context, seed uint64, violations *violations, content clusterContent) *cluster {
	w := &cluster{
		ctx:          ctx,
		random:       rand.New(rand.NewPCG(seed, 13)),
		violations:   violations,
		content:      content,
		feeds:        map[string]*Feed{},
		conns:        map[net.Conn]route{},
		partitioned:  map[route]bool{},
		primary:      map[string]string{},
		incarnations: map[string]context.CancelFunc{},
		sources:      map[string]*Source{},
	}
	for i := range clusterControllers {
		w.restart(controllerName(i))
	}
	for i := range clusterEndFollowers {
		pick := rand.New(rand.NewPCG(seed, uint64(100+i)))
		next := func(string) string { return controllerName(pick.IntN(clusterControllers)) }
		cursor := NewCursor(content.newState())
		w.cursors = append(w.cursors, cursor)
		go NewFollower(FollowerOptions{
			Net:        &clusterNetwork{w, endName(i)},
			Sink:       cursor,
			Self:       rpc.Member{ID: uint64(i + 1)},
			NextParent: next,
		}).Run(ctx)
	}
	return w
}

// restart starts a controller with nothing.
func (w *cluster) restart(name string) {
	if stop := w.incarnations[name]; stop != nil {
		stop()
	}
	ctx, stop := context.WithCancel(w.ctx)
	w.incarnations[name] = stop
	var up *Follower
	feed := NewFeed(ctx, slog.New(slog.DiscardHandler), w.content.newState(), func(Position) { up.ReportProgress() })
	up = NewFollower(FollowerOptions{
		Net:          &clusterNetwork{w, name},
		Sink:         feed,
		Self:         rpc.Member{ID: w.random.Uint64()},
		NextParent:   func(string) string { return w.sourceOf(name) },
		EndFollowers: feed.EndFollowers,
	})
	w.mu.Lock()
	w.feeds[name] = feed
	w.mu.Unlock()
	go up.Run(ctx)
}

func (w *cluster) sourceOf(name string) string {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.primary[name] == name {
		return ""
	}
	return w.primary[name]
}

// takeOver makes a controller the source of a new epoch. Those that hear of it follow it, the others go on as before.
func (w *cluster) takeOver(name string, allNotified bool) {
	w.epoch++
	feed := w.feeds[name]
	w.sources[name] = feed.Begin(w.epoch, func() []byte { return w.content.first(feed, w.epoch) })
	w.content.pushed(feed, w.sources[name])
	for i := range clusterControllers {
		other := controllerName(i)
		if other != name && !allNotified && w.random.IntN(2) == 0 {
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
func (w *cluster) pushAll() {
	for name, source := range w.sources {
		n, _ := source.Number()
		if _, ok := source.Push(w.content.change(Position{source.epoch, n + 1})); !ok {
			delete(w.sources, name)
			continue
		}
		w.content.pushed(source.feed, source)
	}
}

// disconnect breaks the connections between two processes; if cut is set no new ones come.
func (w *cluster) disconnect(from, to string, cut bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.partitioned[route{from, to}] = cut
	for c, ends := range w.conns {
		if (ends == route{from, to}) {
			_ = c.Close()
			delete(w.conns, c)
		}
	}
}

func (w *cluster) injectFault() {
	any1, any2 := controllerName(w.random.IntN(clusterControllers)), controllerName(w.random.IntN(clusterControllers))
	switch w.random.IntN(8) {
	case 0:
		w.takeOver(any1, w.random.IntN(2) == 0)
	case 1:
		w.disconnect(any1, any2, w.random.IntN(2) == 0)
	case 2:
		w.disconnect(endName(w.random.IntN(clusterEndFollowers)), any1, w.random.IntN(3) == 0)
	case 3:
		delete(w.sources, any1)
		w.restart(any1)
	default:
		w.pushAll()
	}
}

type clusterNetwork struct {
	cluster *cluster
	name    string
}

func (n *clusterNetwork) Listen(string) (net.Listener, error) { return nil, net.ErrClosed }

func (n *clusterNetwork) Dial(at string, _ time.Duration) (net.Conn, error) {
	w := n.cluster
	w.mu.Lock()
	defer w.mu.Unlock()
	f := w.feeds[at]
	if f == nil || w.partitioned[route{n.name, at}] {
		return nil, net.ErrClosed
	}
	a, b := net.Pipe()
	w.conns[b] = route{n.name, at}
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

func TestFollowers_TakeoversPartitionsRestarts_NeverGoBack(t *testing.T) {
	for seed := range uint64(20) {
		synctest.Test(t, func(t *testing.T) {
			ctx, cancel := context.WithCancel(context.Background())
			defer func() { cancel(); time.Sleep(time.Second) }()
			w := newCluster(ctx, seed)
			w.takeOver("c0", true)
			for range 120 {
				w.injectFault()
				time.Sleep(time.Duration(w.random.IntN(400)) * time.Millisecond)
				require.Empty(t, w.violations.all(), "seed %d", seed)
			}
			w.mu.Lock()
			w.partitioned = map[route]bool{}
			w.mu.Unlock()
			w.takeOver("c1", true)
			time.Sleep(10 * time.Second)
			require.Empty(t, w.violations.all())
			position := w.feeds["c1"].Position()
			require.Equal(t, w.epoch, position.Epoch)
			require.Len(t, w.feeds["c1"].EndFollowers(), clusterEndFollowers, "all came back to the newest source")
			require.Equal(t, position.Number, w.feeds["c1"].Acked())
		})
	}
}
