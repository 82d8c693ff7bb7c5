package distribution

import (
	"context"
	"fmt"
	"log/slog"
	"maps"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"shaletrestle/coord/deflate"
	"shaletrestle/coord/distribution/distributionpb"
	"shaletrestle/coord/rpc"
)

// tableState is a state of named values, each of which is a part. A change sets one, as "name=value".
type tableState struct {
	mu     sync.Mutex
	values map[string]string
}

func newTableState(changes ...string) *tableState {
	state := &tableState{values: map[string]string{}}
	for _, change := range changes {
		_ = state.Update([]byte(change))
	}
	return state
}

func (s *tableState) Restore(snapshot []byte) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.values = map[string]string{}
	for line := range strings.Lines(string(snapshot)) {
		name, value, _ := strings.Cut(strings.TrimSuffix(line, "\n"), "=")
		s.values[name] = value
	}
	return nil
}

func (s *tableState) Update(change []byte) error {
	name, value, ok := strings.Cut(string(change), "=")
	if !ok {
		return errors.New("no value")
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.values[name] = value
	return nil
}

func (s *tableState) Snapshot() []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out strings.Builder
	for _, name := range slices.Sorted(maps.Keys(s.values)) {
		out.WriteString(name + "=" + s.values[name] + "\n")
	}
	return []byte(out.String())
}

func (s *tableState) Parts() []Part {
	s.mu.Lock()
	defer s.mu.Unlock()
	parts := []Part{}
	for _, name := range slices.Sorted(maps.Keys(s.values)) {
		parts = append(parts, Part{name, []byte(s.values[name])})
	}
	return parts
}

// unknownPart is one that no tableState takes.
const unknownPart = "unknown"

func (s *tableState) RestoreParts(parts []Part) error {
	values := map[string]string{}
	for _, part := range parts {
		if part.Name == unknownPart {
			return errors.New("unknown part")
		}
		values[part.Name] = string(part.Content)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.values = values
	return nil
}

// formsNetwork leads to one feed and counts what comes back from it, by its form.
type formsNetwork struct {
	*pipeNetwork
	mu     sync.Mutex
	forms  map[form]int
	bytes  int
	change func(*rpc.Message) // may change a message on its way; nil: none is
}

func newFormsNetwork(ctx context.Context, feed *Feed) *formsNetwork {
	return &formsNetwork{pipeNetwork: &pipeNetwork{ctx: ctx, feed: feed}, forms: map[form]int{}}
}

// receive counts and changes messages before the follower gets them.
func (n *formsNetwork) receive(message *rpc.Message) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if message.Kind != rpc.Update {
		return
	}
	n.forms[form(message.Text)]++
	n.bytes += len(message.Body)
	if n.change != nil {
		n.change(message)
	}
}

// reset forgets the counts, and gives them.
func (n *formsNetwork) reset() (forms map[form]int, bytes int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	forms, bytes = n.forms, n.bytes
	n.forms, n.bytes = map[form]int{}, 0
	return forms, bytes
}

// watchedFollower is a follower that shows each message to its network before it takes it.
type watchedFollower struct {
	*Follower
	network *formsNetwork
}

// run is Follower.Run, with each message shown to the network first.
func (f watchedFollower) run(ctx context.Context) {
	for ctx.Err() == nil {
		connection, err := f.network.Dial("x", 0)
		if err == nil {
			channel := rpc.Open(ctx, connection, func(channel *rpc.Channel, message *rpc.Message) *rpc.Message {
				f.network.receive(message)
				f.receive(channel, message)
				return nil
			})
			f.channel.Store(channel)
			f.subscribe(channel)
			<-channel.Done()
		}
		time.Sleep(reconnectDelay)
	}
}

// followTable starts a follower of the network's feed.
func followTable(ctx context.Context, network *formsNetwork, state State) (*Follower, *Cursor) {
	cursor := NewCursor(state)
	follower := NewFollower(FollowerOptions{Net: network, Sink: cursor, Self: rpc.Member{ID: 1, Address: "n1"}})
	go watchedFollower{follower, network}.run(ctx)
	return follower, cursor
}

// withTable runs a test with a source of epoch 1 over a table, and a follower of it that is up to date.
func withTable(t *testing.T, test func(ctx context.Context, feed *Feed, network *formsNetwork, follower *Follower, cursor *Cursor)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		defer func() { cancel(); time.Sleep(2 * time.Second) }()
		big := strings.Repeat("0123456789abcdef", 64)
		feed := NewFeed(ctx, slog.New(slog.DiscardHandler), newTableState("a=1", "b="+big, "c="+big), nil)
		beginSource(feed, 1)
		network := newFormsNetwork(ctx, feed)
		follower, cursor := followTable(ctx, network, newTableState())
		time.Sleep(time.Second)
		require.Equal(t, string(feed.state.Snapshot()), string(cursor.state.Snapshot()))
		require.Equal(t, Position{1, 0}, cursor.Position())
		forms, _ := network.reset()
		require.Equal(t, 1, forms[formParts], "all parts in one message: %v", forms)
		require.Zero(t, forms[formSnapshot])
		test(ctx, feed, network, follower, cursor)
	})
}

func TestFeed_NewEpochOfTheSameState_SendsADigestOnly(t *testing.T) {
	withTable(t, func(_ context.Context, feed *Feed, network *formsNetwork, _ *Follower, cursor *Cursor) {
		push := beginSource(feed, 2)
		time.Sleep(time.Second)
		require.Equal(t, Position{2, 0}, cursor.Position())
		forms, bytes := network.reset()
		require.Equal(t, 1, forms[formOffer])
		require.Zero(t, forms[formParts]+forms[formSnapshot], "%v", forms)
		require.Equal(t, digestBytes, bytes)
		push("a=2")
		time.Sleep(time.Second)
		require.Equal(t, string(feed.state.Snapshot()), string(cursor.state.Snapshot()))
		require.Equal(t, uint64(1), feed.Acked())
	})
}

func TestFeed_NewEpochOfAnotherState_SendsThePartsThatDiffer(t *testing.T) {
	withTable(t, func(_ context.Context, feed *Feed, network *formsNetwork, _ *Follower, cursor *Cursor) {
		next := newTableState(strings.Split(strings.TrimSpace(string(feed.state.Snapshot())), "\n")...)
		require.NoError(t, next.Update([]byte("a=other")))
		delete(next.values, "c")
		require.NotNil(t, feed.Begin(2, next.Snapshot))
		time.Sleep(time.Second)
		require.Equal(t, Position{2, 0}, cursor.Position())
		require.Equal(t, string(next.Snapshot()), string(cursor.state.Snapshot()))
		forms, bytes := network.reset()
		require.Equal(t, 1, forms[formParts])
		require.Less(t, bytes, 400, "part b did not travel")
		require.Len(t, feed.EndFollowers(), 1, "it subscribed again, on its channel")
	})
}

func TestFeed_RelayOffersOn_ListedFollowersStay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		defer func() { cancel(); time.Sleep(2 * time.Second) }()
		source := NewFeed(ctx, slog.New(slog.DiscardHandler), newTableState("a=1"), nil)
		beginSource(source, 1)
		var up *Follower
		relay := NewFeed(ctx, slog.New(slog.DiscardHandler), newTableState(), func(Position) { up.ReportProgress() })
		up = NewFollower(FollowerOptions{
			Net: &pipeNetwork{ctx: ctx, feed: source}, Sink: relay, Self: rpc.Member{ID: 9},
			NextParent: func(string) string { return "x" }, EndFollowers: relay.EndFollowers,
		})
		go up.Run(ctx)
		_, cursor := followTable(ctx, newFormsNetwork(ctx, relay), newTableState())
		time.Sleep(2 * time.Second)
		require.Equal(t, Position{1, 0}, cursor.Position())
		require.Len(t, source.EndFollowers(), 1)
		require.NotNil(t, source.Begin(2, newTableState("a=2").Snapshot))
		time.Sleep(2 * time.Second)
		require.Equal(t, Position{2, 0}, cursor.Position())
		require.Equal(t, "a=2\n", string(cursor.state.Snapshot()))
		require.Len(t, source.EndFollowers(), 1, "the relay did not list them again, and need not")
		require.Equal(t, uint64(0), source.Acked())
	})
}

// replaceBody gives a function that changes the first message of a form.
func replaceBody(wanted form, replace func(body []byte) []byte) func(*rpc.Message) {
	done := false
	return func(message *rpc.Message) {
		if form(message.Text) == wanted && !done {
			done = true
			message.Body = replace(message.Body)
		}
	}
}

// editParts gives a function that changes the partial snapshot in a body.
func editParts(edit func(*distributionpb.PartialSnapshot)) func([]byte) []byte {
	return func(body []byte) []byte {
		plain, _ := deflate.Decompress(body, decodedLimitBytes)
		message := &distributionpb.PartialSnapshot{}
		_ = proto.Unmarshal(plain, message)
		edit(message)
		encoded, _ := proto.Marshal(message)
		return deflate.Compress(encoded)
	}
}

func TestFollower_UnusableParts_RefusedAndFetchedAnew(t *testing.T) {
	for name, replace := range map[string]func([]byte) []byte{
		"truncated": func(body []byte) []byte { return body[:len(body)/2] },
		"empty":     func([]byte) []byte { return nil },
		"spoiled": func(body []byte) []byte {
			body = slices.Clone(body)
			body[len(body)/2] ^= 0x55
			return body
		},
		"oversized":       func([]byte) []byte { return deflate.Compress(make([]byte, decodedLimitBytes+1)) },
		"other content":   editParts(func(m *distributionpb.PartialSnapshot) { m.Parts[0].Content = []byte("forged") }),
		"part missing":    editParts(func(m *distributionpb.PartialSnapshot) { m.Parts = m.Parts[1:] }),
		"part not listed": editParts(func(m *distributionpb.PartialSnapshot) { m.Manifest.Parts = m.Manifest.Parts[1:] }),
		"unsorted list": editParts(func(m *distributionpb.PartialSnapshot) {
			m.Manifest.Parts[0], m.Manifest.Parts[1] = m.Manifest.Parts[1], m.Manifest.Parts[0]
		}),
		"short digest": editParts(func(m *distributionpb.PartialSnapshot) { m.Manifest.Parts[0].Digest = []byte{1} }),
		"unknown part": editParts(func(m *distributionpb.PartialSnapshot) {
			content := digestOf(nil)
			m.Manifest.Parts = append(m.Manifest.Parts, &distributionpb.PartDigest{Name: unknownPart, Digest: content[:]})
			m.Parts = append(m.Parts, &distributionpb.Part{Name: unknownPart})
		}),
	} {
		t.Run(name, func(t *testing.T) {
			withTable(t, func(_ context.Context, feed *Feed, network *formsNetwork, follower *Follower, cursor *Cursor) {
				before := string(cursor.state.Snapshot())
				network.change = replaceBody(formParts, func(body []byte) []byte {
					require.Equal(t, before, string(cursor.state.Snapshot()), "not applied before it is complete")
					return replace(body)
				})
				next := newTableState("a=other", "b=more", "d=new")
				require.NotNil(t, feed.Begin(2, next.Snapshot))
				time.Sleep(50 * time.Millisecond)
				require.Equal(t, int64(1), follower.Refused())
				require.Equal(t, Position{1, 0}, cursor.Position(), "nothing of it was applied")
				require.Equal(t, before, string(cursor.state.Snapshot()))
				time.Sleep(2 * time.Second)
				require.Equal(t, Position{2, 0}, cursor.Position())
				require.Equal(t, string(next.Snapshot()), string(cursor.state.Snapshot()))
				forms, _ := network.reset()
				require.Equal(t, 1, forms[formSnapshot], "asked for as one: %v", forms)
				require.Equal(t, int64(1), follower.Refused())
			})
		})
	}
}

func TestFollower_UnusableMessages_RefusedAndFollowedAnew(t *testing.T) {
	long := "a=" + strings.Repeat("x", compressFromBytes)
	for name, change := range map[string]func(*rpc.Message){
		"offer without digest":      replaceBody(formOffer, func([]byte) []byte { return []byte("short") }),
		"truncated change":          replaceBody(formCompressed, func(body []byte) []byte { return body[:len(body)/2] }),
		"form of a later version":   func(message *rpc.Message) { message.Text = strings.Replace(message.Text, "packed", "later", 1) },
		"change that doesn't apply": replaceBody(formCompressed, func([]byte) []byte { return deflate.Compress([]byte("no value")) }),
	} {
		t.Run(name, func(t *testing.T) {
			withTable(t, func(_ context.Context, feed *Feed, network *formsNetwork, follower *Follower, cursor *Cursor) {
				network.change = change
				push := beginSource(feed, 2)
				time.Sleep(time.Second)
				push(long)
				time.Sleep(50 * time.Millisecond)
				network.mu.Lock()
				network.change = nil
				network.mu.Unlock()
				time.Sleep(3 * time.Second)
				require.Equal(t, int64(1), follower.Refused())
				require.Equal(t, Position{2, 1}, cursor.Position())
				require.Equal(t, string(feed.state.Snapshot()), string(cursor.state.Snapshot()))
			})
		})
	}
}

// wholeOnly hides the parts of a state, as an earlier version that has none.
type wholeOnly struct{ State }

func TestFollower_EarlierVersionOnOneSide_GetsTheStateAsOne(t *testing.T) {
	for name, states := range map[string]struct{ source, follower State }{
		"source":   {wholeOnly{newTableState("a=1")}, newTableState()},
		"follower": {newTableState("a=1"), wholeOnly{newTableState()}},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(context.Background())
				defer func() { cancel(); time.Sleep(2 * time.Second) }()
				feed := NewFeed(ctx, slog.New(slog.DiscardHandler), states.source, nil)
				push := beginSource(feed, 1)
				network := newFormsNetwork(ctx, feed)
				_, cursor := followTable(ctx, network, states.follower)
				time.Sleep(time.Second)
				push("b=" + strings.Repeat("y", 2*compressFromBytes))
				time.Sleep(time.Second)
				beginSource(feed, 2)
				time.Sleep(time.Second)
				require.Equal(t, Position{2, 0}, cursor.Position())
				require.Equal(t, string(feed.state.Snapshot()), string(cursor.state.Snapshot()))
				forms, _ := network.reset()
				require.Equal(t, 2, forms[formSnapshot], "%v", forms)
				require.Zero(t, forms[formParts]+forms[formOffer], "%v", forms)
			})
		})
	}
}

func TestHandleSubscribe_UnreadableParts_SendsTheStateAsOne(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		defer func() { cancel(); time.Sleep(2 * time.Second) }()
		feed := NewFeed(ctx, slog.New(slog.DiscardHandler), newTableState("a=1"), nil)
		beginSource(feed, 1)
		connection, err := (&pipeNetwork{ctx: ctx, feed: feed}).Dial("x", 0)
		require.NoError(t, err)
		got := make(chan *rpc.Message, 8)
		channel := rpc.Open(ctx, connection, func(_ *rpc.Channel, message *rpc.Message) *rpc.Message { got <- message; return nil })
		message := subscribeMessage(rpc.Member{ID: 1}, Position{}, roleEnd, manifest{})
		message.Body = []byte{0xff, 0xff}
		channel.Send(message)
		require.Equal(t, string(formSnapshot), (<-got).Text)
	})
}

func TestPartialSnapshot_ManyParts_OnlyWhatIsLacking(t *testing.T) {
	var parts []Part
	for i := range 100 {
		parts = append(parts, Part{fmt.Sprintf("part-%02d", i), []byte(strings.Repeat(fmt.Sprint(i, ";"), 50))})
	}
	complete := manifestOf(parts)
	own := slices.Clone(parts)
	own[7].Content = []byte("old")
	own = slices.Delete(own, 40, 43)
	partial, err := decodePartialSnapshot(encodePartialSnapshot(parts, complete, manifestOf(own)))
	require.NoError(t, err)
	require.Len(t, partial.parts, 4)
	whole, err := partial.assemble(own)
	require.NoError(t, err)
	require.Equal(t, parts, whole)
	_, err = partial.assemble(nil)
	require.ErrorIs(t, err, ErrInvalidSnapshot)
}

func TestFeed_ChangesWhileTheStateIsOffered_FollowTheAnswer(t *testing.T) {
	withTable(t, func(_ context.Context, feed *Feed, network *formsNetwork, _ *Follower, cursor *Cursor) {
		dials := network.dials.Load()
		for epoch := uint64(2); epoch < 6; epoch++ {
			next := newTableState("a=1", fmt.Sprint("b=", epoch/2))
			source := feed.Begin(epoch, next.Snapshot)
			require.NotNil(t, source)
			for n := range 3 { // before the offer is answered
				_, ok := source.Push(fmt.Appendf(nil, "c=%d/%d", epoch, n))
				require.True(t, ok)
			}
			time.Sleep(time.Second)
			require.Equal(t, Position{epoch, 3}, cursor.Position())
			require.Equal(t, string(feed.state.Snapshot()), string(cursor.state.Snapshot()))
		}
		require.Equal(t, dials, network.dials.Load(), "on one connection")
	})
}

func TestContent_OlderPosition_ErrStale(t *testing.T) {
	state := newTableState("a=1")
	offered := manifestOf(state.Parts())
	c := content{state: state, progress: progress{at: Position{3, 5}}}
	for _, older := range []Position{{3, 4}, {2, 9}} {
		require.ErrorIs(t, c.adopt(older, offered.digest()), ErrStale)
		require.ErrorIs(t, c.restoreParts(older, &partialSnapshot{complete: offered}), ErrStale)
		require.Equal(t, Position{3, 5}, c.progress.at)
	}
	for _, newer := range []Position{{3, 5}, {3, 6}, {4, 0}} {
		require.NoError(t, c.adopt(newer, offered.digest()))
		require.NoError(t, c.restoreParts(newer, &partialSnapshot{complete: offered}))
		require.Equal(t, newer, c.progress.at)
	}
	require.ErrorIs(t, (&content{state: wholeOnly{state}}).restoreParts(Position{1, 1}, &partialSnapshot{}), ErrInvalidSnapshot)
}
