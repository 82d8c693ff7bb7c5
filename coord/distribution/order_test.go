package distribution

import (
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
	"shaletrestle/internal/clock"
	"shaletrestle/internal/constants"
	"shaletrestle/internal/task"
)

func TestASnapshotOfTheSameEpochButALowerNumberIsRefused(t *testing.T) {
	c := NewCursor(&words{})
	require.NoError(t, c.Restore(Position{3, 5}, []byte("five"), true))
	require.Error(t, c.Restore(Position{3, 4}, []byte("four"), true))
	require.NoError(t, c.Restore(Position{3, 5}, []byte("five"), true))
	require.NoError(t, c.Restore(Position{4, 0}, []byte("next"), true))
	require.Error(t, c.Restore(Position{3, 9}, []byte("nine"), true))

	synctest.Test(t, func(t *testing.T) {
		sc := task.New(slog.New(slog.DiscardHandler))
		defer func() { sc.Stop(); time.Sleep(time.Second) }()
		b := &words{}
		f := NewFeed(sc, b, nil)
		require.NoError(t, f.Restore(Position{3, 5}, []byte("five"), true))
		require.Error(t, f.Restore(Position{3, 4}, []byte("four"), true))
		require.Equal(t, "five", string(b.Checkpoint()))
	})
}

func TestADeposedSourcePushesNothingIntoItsFollowersSequence(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		sc := task.New(slog.New(slog.DiscardHandler))
		defer func() { sc.Stop(); time.Sleep(time.Second) }()
		b := &words{}
		f := NewFeed(sc, b, nil)
		source := f.Begin(1, func() []byte { return []byte("old") })
		f.End()
		_, ok := source.Push([]byte("+late"))
		require.False(t, ok, "it has ended")
		require.NoError(t, f.Restore(Position{2, 7}, []byte("new"), true))
		_, ok = source.Push([]byte("+late"))
		require.False(t, ok, "another is the source")
		require.Equal(t, "new", string(b.Checkpoint()))
		require.Nil(t, f.Begin(1, b.Checkpoint), "a newer source is known")

		source = f.Begin(3, b.Checkpoint)
		require.NoError(t, f.Restore(Position{4, 0}, []byte("newest"), true), "it hears of its follower before it steps down")
		_, ok = source.Push([]byte("+late"))
		require.False(t, ok)
		require.Equal(t, "newest", string(b.Checkpoint()))
	})
}

func TestASourceThatBeginsAgainInItsEpochGoesOnWithItsNumbers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		sc := task.New(slog.New(slog.DiscardHandler))
		defer func() { sc.Stop(); time.Sleep(time.Second) }()
		b := &words{}
		f := NewFeed(sc, b, nil)
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

func (r *refusing) Fold(b []byte) error {
	if string(b) == r.bad {
		return net.ErrClosed
	}
	return r.words.Fold(b)
}

func TestAFollowerThatCannotFoldAChangeAsksForASnapshot(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		sc := task.New(slog.New(slog.DiscardHandler))
		defer func() { sc.Stop(); time.Sleep(time.Second) }()
		f := NewFeed(sc, &words{s: "x"}, nil)
		push := begin(f, 1)
		p := &pipes{sc: sc, feed: f}
		got := &refusing{bad: "+b"}
		go NewFollower(sc, p, NewCursor(got), rpc.Seat{ID: 1}, false, func(string) string { return "x" }, nil).Run()
		time.Sleep(time.Second)
		push("+a")
		push("+b")
		push("+c")
		time.Sleep(time.Second)
		require.Equal(t, "x+a+b+c", string(got.Checkpoint()))
	})
}

func TestAStaleRelayTellsAReturningFollowerNothingAsCurrent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		sc := task.New(slog.New(slog.DiscardHandler))
		defer func() { sc.Stop(); time.Sleep(time.Second) }()
		relay := NewFeed(sc, &words{}, nil)
		require.NoError(t, relay.Restore(Position{2, 0}, []byte("relayed"), true))
		time.Sleep(constants.RelayStale)
		p := &pipes{sc: sc, feed: relay}

		held := NewCursor(&words{})
		require.NoError(t, held.Restore(Position{1, 4}, []byte("held"), true))
		go NewFollower(sc, p, held, rpc.Seat{ID: 1}, false, func(string) string { return "x" }, nil).Run()
		time.Sleep(5 * time.Second)
		epoch, _ := held.At()
		require.Equal(t, uint64(1), epoch)
		require.GreaterOrEqual(t, held.Age(), 5*time.Second, "nothing current was heard")

		empty := NewCursor(&words{})
		go NewFollower(sc, p, empty, rpc.Seat{ID: 2}, false, func(string) string { return "x" }, nil).Run()
		time.Sleep(5 * time.Second)
		epoch, _ = empty.At()
		require.Equal(t, uint64(2), epoch, "one that has nothing takes the last that is known")
		require.GreaterOrEqual(t, empty.Age(), 5*time.Second, "but not as current")
	})
}

func TestAFollowerAheadOfItsRelayKeepsWhatItHas(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		sc := task.New(slog.New(slog.DiscardHandler))
		defer func() { sc.Stop(); time.Sleep(time.Second) }()
		relay := NewFeed(sc, &words{}, nil)
		require.NoError(t, relay.Restore(Position{2, 3}, []byte("3"), true))
		p := &pipes{sc: sc, feed: relay}
		got := &words{}
		ahead := NewCursor(got)
		require.NoError(t, ahead.Restore(Position{2, 5}, []byte("5"), true))
		go NewFollower(sc, p, ahead, rpc.Seat{ID: 1}, false, func(string) string { return "x" }, nil).Run()
		time.Sleep(time.Second)
		for n := uint64(4); n <= 7; n++ {
			require.True(t, relay.Take(Position{2, n}, []byte(fmt.Sprint("+", n))))
		}
		time.Sleep(time.Second)
		require.Equal(t, "5+6+7", string(got.Checkpoint()))
	})
}

// labelled is a board whose state is its position: it notices whatever goes back, is left out or comes from
// another sequence.
type labelled struct {
	mu   sync.Mutex
	at   Position
	errs *[]string
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
		*l.errs = append(*l.errs, fmt.Sprintf("%v restored over %v", at, l.at))
	}
	l.at = at
	return nil
}

func (l *labelled) Fold(b []byte) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	at := unlabel(b)
	if at != (Position{l.at.Epoch, l.at.Number + 1}) {
		*l.errs = append(*l.errs, fmt.Sprintf("%v folded into %v", at, l.at))
	}
	l.at = at
	return nil
}

func (l *labelled) Checkpoint() []byte {
	l.mu.Lock()
	defer l.mu.Unlock()
	return label(l.at)
}

// web is processes that each hold a feed and reach each other as the schedule wants.
type web struct {
	sc    *task.Scope
	mu    sync.Mutex
	feeds map[string]*Feed
	conns map[net.Conn][2]string
	cut   map[[2]string]bool
}

func (w *web) from(name string) *webNet { return &webNet{w, name} }

type webNet struct {
	w    *web
	name string
}

func (n *webNet) Listen(string) (net.Listener, error) { return nil, net.ErrClosed }

func (n *webNet) Dial(at string, _ clock.Span) (net.Conn, error) {
	w := n.w
	w.mu.Lock()
	defer w.mu.Unlock()
	f := w.feeds[at]
	if f == nil || w.cut[[2]string{n.name, at}] {
		return nil, net.ErrClosed
	}
	a, b := net.Pipe()
	w.conns[b] = [2]string{n.name, at}
	rpc.Open(w.sc, b, func(ch *rpc.Channel, m *rpc.Note) *rpc.Note {
		switch m.Kind {
		case rpc.Follow:
			f.Follow(ch, m)
		case rpc.Heard:
			f.Ack(ch, m)
		}
		return nil
	})
	return a, nil
}

// break1 breaks the connections between two processes, and keeps new ones from coming while cut is set.
func (w *web) break1(from, to string, cut bool) {
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

func TestNoFollowerEverGoesBackThroughTakeoversCutsAndRestarts(t *testing.T) {
	const controllers, ends = 4, 6
	for seed := range uint64(20) {
		synctest.Test(t, func(t *testing.T) {
			r := rand.New(rand.NewPCG(seed, 13))
			sc := task.New(slog.New(slog.DiscardHandler))
			defer func() { sc.Stop(); time.Sleep(time.Second) }()
			var errs []string
			w := &web{sc: sc, feeds: map[string]*Feed{}, conns: map[net.Conn][2]string{}, cut: map[[2]string]bool{}}
			name := func(i int) string { return fmt.Sprint("c", i) }
			primary := make([]string, controllers) // by each one's own belief
			lives := make([]*task.Scope, controllers)
			boot := func(i int) {
				lives[i] = sc.Part("life")
				var up *Follower
				f := NewFeed(lives[i], &labelled{errs: &errs}, func(uint64, uint64) { up.Tell() })
				up = NewFollower(lives[i], w.from(name(i)), f, rpc.Seat{ID: uint64(100 + i)}, true, func(string) string {
					if primary[i] == name(i) {
						return ""
					}
					return primary[i]
				}, f.Reached)
				w.mu.Lock()
				w.feeds[name(i)] = f
				w.mu.Unlock()
				go up.Run()
			}
			for i := range controllers {
				boot(i)
			}
			for i := range ends {
				pick := rand.New(rand.NewPCG(seed, uint64(100+i)))
				cursor := NewCursor(&labelled{errs: &errs})
				go NewFollower(sc, w.from(fmt.Sprint("e", i)), cursor, rpc.Seat{ID: uint64(i + 1)}, false, func(string) string { return name(pick.IntN(controllers)) }, nil).Run()
			}
			sources := map[int]*Source{}
			epoch := uint64(0)
			takeOver := func(i int, told bool) {
				epoch++
				e := epoch
				sources[i] = w.feeds[name(i)].Begin(e, func() []byte { return label(Position{e, 0}) })
				primary[i] = name(i)
				for j := range controllers {
					if told || r.IntN(2) == 0 {
						primary[j] = name(i)
					}
					if j != i && primary[j] == name(i) && sources[j] != nil {
						w.feeds[name(j)].End()
						delete(sources, j)
					}
				}
			}
			takeOver(0, true)
			for range 120 {
				switch r.IntN(8) {
				case 0:
					takeOver(r.IntN(controllers), r.IntN(2) == 0)
				case 1:
					a, b := name(r.IntN(controllers)), name(r.IntN(controllers))
					w.break1(a, b, r.IntN(2) == 0)
				case 2:
					w.break1(fmt.Sprint("e", r.IntN(ends)), name(r.IntN(controllers)), r.IntN(3) == 0)
				case 3: // a controller restarts with nothing
					i := r.IntN(controllers)
					if sources[i] == nil {
						lives[i].Stop()
						boot(i)
					}
				default: // every one that thinks that it is the source pushes
					for i, s := range sources {
						if n, ok := s.Number(); ok {
							s.Push(label(Position{s.epoch, n + 1}))
						} else {
							delete(sources, i)
						}
					}
				}
				time.Sleep(time.Duration(r.IntN(400)) * time.Millisecond)
				require.Empty(t, errs, "seed %d", seed)
			}
			w.mu.Lock()
			w.cut = map[[2]string]bool{}
			w.mu.Unlock()
			takeOver(1, true)
			time.Sleep(10 * time.Second)
			require.Empty(t, errs)
			at, num := w.feeds["c1"].At()
			require.Equal(t, epoch, at)
			require.Len(t, w.feeds["c1"].Reached(), ends, "all came back to the newest source")
			require.Equal(t, num, w.feeds["c1"].Acked())
		})
	}
}
