package distribution

import (
	"context"
	"encoding/binary"
	"fmt"
	"log/slog"
	"net"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/stretchr/testify/require"

	"shaletrestle/coord/rpc"
	"shaletrestle/coord/wait"
)

// slowNetwork is a network to one feed whose bytes from the feed share one rate.
type slowNetwork struct {
	ctx            context.Context
	feed           *Feed
	bytesPerSecond int // bytes a second
	mu             sync.Mutex
	freeAt         time.Time // when it has carried what was given to it
	dials          int
}

type slowConn struct {
	net.Conn
	network *slowNetwork
}

func (c slowConn) Write(b []byte) (int, error) {
	c.network.mu.Lock()
	now := time.Now()
	if c.network.freeAt.Before(now) {
		c.network.freeAt = now
	}
	c.network.freeAt = c.network.freeAt.Add(time.Duration(len(b)) * time.Second / time.Duration(c.network.bytesPerSecond))
	wait := c.network.freeAt.Sub(now)
	c.network.mu.Unlock()
	time.Sleep(wait)
	return c.Conn.Write(b)
}

func (l *slowNetwork) Listen(string) (net.Listener, error) { return nil, net.ErrClosed }

func (l *slowNetwork) Dial(string, time.Duration) (net.Conn, error) {
	l.mu.Lock()
	l.dials++
	l.mu.Unlock()
	a, b := net.Pipe()
	rpc.Open(l.ctx, slowConn{b, l}, func(ch *rpc.Channel, n *rpc.Message) *rpc.Message {
		switch n.Kind {
		case rpc.Subscribe:
			l.feed.HandleSubscribe(ch, n)
		case rpc.UpdateAck:
			l.feed.HandleAck(ch, n)
		}
		return nil
	})
	return a, nil
}

// digestState is a digest of all changes in their order; its snapshots have 100 KB.
type digestState struct {
	mu     sync.Mutex
	digest uint64
}

func (h *digestState) Restore(b []byte) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.digest = binary.LittleEndian.Uint64(b)
	return nil
}

func (h *digestState) Update(b []byte) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.digest = xxhash.Sum64(append(binary.LittleEndian.AppendUint64(nil, h.digest), b...))
	return nil
}

func (h *digestState) Snapshot() []byte {
	h.mu.Lock()
	defer h.mu.Unlock()
	return append(binary.LittleEndian.AppendUint64(nil, h.digest), make([]byte, 100<<10)...)
}

func TestFollower_MissedManyChanges_CatchesUpUnderLoad(t *testing.T) {
	for _, missed := range []int{10, 100, 400, 1000, 10000} {
		synctest.Test(t, func(t *testing.T) {
			ctx, cancel := context.WithCancel(context.Background())
			defer func() { cancel(); time.Sleep(time.Second) }()
			b := &digestState{}
			f := NewFeed(ctx, slog.New(slog.DiscardHandler), b, nil)
			push := beginSource(f, 1)
			l := &slowNetwork{ctx: ctx, feed: f, bytesPerSecond: 1 << 20}
			got := &digestState{}
			c := NewCursor(got)
			require.NoError(t, c.Restore(Position{1, 0}, b.Snapshot(), true))
			for i := range missed {
				push(fmt.Sprintf("%06d;", i))
			}
			body := strings.Repeat("x", 2000) // at 250 a second half of the link's rate
			pushing, stopPushing := context.WithCancel(ctx)
			go wait.Every(pushing, 4*time.Millisecond, func() bool { push(body); return true })
			go NewFollower(FollowerOptions{
				Net:        l,
				Sink:       c,
				Self:       rpc.Member{ID: 1},
				NextParent: func(string) string { return "x" },
			}).Run(ctx)
			start := time.Now()
			for time.Since(start) < 20*time.Second {
				at := f.Position().Number
				have := c.Position().Number
				if have >= uint64(missed) && at-have < ackWindow {
					break
				}
				time.Sleep(10 * time.Millisecond)
			}
			t.Logf("%d changes missed: caught up after %v", missed, time.Since(start))
			require.Less(t, time.Since(start), 20*time.Second)
			time.Sleep(3 * time.Second)
			at := f.Position().Number
			have := c.Position().Number
			require.Less(t, at-have, uint64(2*ackWindow), "it stays close behind while changes go on")
			stopPushing()
			time.Sleep(5 * time.Second)
			require.Equal(t, string(b.Snapshot()), string(got.Snapshot()))
			require.Equal(t, 1, l.dials, "over one connection")
			require.LessOrEqual(t, len(f.changes), changeHistory, "what is kept is bounded")
		})
	}
}

func TestFeed_ManySubscribersAtOnce_ShareOneSnapshot(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		defer func() { cancel(); time.Sleep(time.Second) }()
		b := &countingState{textState: textState{text: strings.Repeat("s", 300<<10)}}
		f := NewFeed(ctx, slog.New(slog.DiscardHandler), b, nil)
		push := beginSource(f, 1)
		b.snapshots = 0
		l := &slowNetwork{ctx: ctx, feed: f, bytesPerSecond: rpc.LinkBytesPerSecond}
		const many = 390
		cursors := make([]*Cursor, many)
		start := time.Now()
		for i := range cursors {
			cursors[i] = NewCursor(&textState{})
			go NewFollower(FollowerOptions{
				Net:        l,
				Sink:       cursors[i],
				Self:       rpc.Member{ID: uint64(i + 1)},
				NextParent: func(string) string { return "x" },
			}).Run(ctx)
		}
		maxInFlight := 0
		for f.Acked() == 0 && time.Since(start) < time.Minute {
			f.mu.Lock()
			maxInFlight = max(maxInFlight, f.inFlight)
			if f.progress.at.Number == 0 && len(f.queue) == many/2 {
				f.mu.Unlock()
				push("+") // what is new comes while half of them still wait
				continue
			}
			f.mu.Unlock()
			time.Sleep(time.Millisecond)
		}
		t.Logf("%d followers after %v", many, time.Since(start))
		require.Equal(t, 1, maxInFlight, "each is larger than the window")
		require.Less(t, time.Since(start), 20*time.Second, "the link needs %d s for the bytes alone", many*300<<10/rpc.LinkBytesPerSecond)
		require.LessOrEqual(t, b.snapshots, 2, "encoded once per position, for all")
		require.Equal(t, many, l.dials, "no follower disconnected")
		for _, c := range cursors {
			at := c.Position().Number
			require.Equal(t, uint64(1), at)
		}
	})
}
