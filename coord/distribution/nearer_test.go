package distribution

import (
	"context"
	"log/slog"
	"net"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"shaletrestle/coord/rpc"
)

// feedsNetwork leads to several feeds by their addresses, and records the dials.
type feedsNetwork struct {
	ctx   context.Context
	feeds map[string]*Feed
	mu    sync.Mutex
	dials []string
}

func (*feedsNetwork) Listen(string) (net.Listener, error) { return nil, net.ErrClosed }

func (n *feedsNetwork) Dial(address string, timeout time.Duration) (net.Conn, error) {
	n.mu.Lock()
	n.dials = append(n.dials, address)
	n.mu.Unlock()
	if n.feeds[address] == nil {
		return nil, net.ErrClosed
	}
	return (&pipeNetwork{ctx: n.ctx, feed: n.feeds[address]}).Dial(address, timeout)
}

// redirection is a follower of zone-2 that asks a feed of zone-1 first, which names another one.
type redirection struct {
	network *feedsNetwork
	cursor  *Cursor
	offered []rpc.Member // what the follower was told
	far     *Feed
}

// startRedirection starts the follower; its own zone's feed is there or not. With takes it goes where it is sent.
func startRedirection(ctx context.Context, nearIsThere, takes bool, start Position) *redirection {
	r := &redirection{cursor: NewCursor(newTableState())}
	if start != (Position{}) {
		_ = r.cursor.Restore(start, nil, true)
	}
	r.far = NewFeed(ctx, slog.New(slog.DiscardHandler), newTableState("a=far"), nil)
	beginSource(r.far, 1)
	r.far.RedirectNew(func(zone string) []rpc.Member {
		if zone != "zone-2" {
			return nil
		}
		return []rpc.Member{{Address: "near", Zone: zone}}
	})
	r.network = &feedsNetwork{ctx: ctx, feeds: map[string]*Feed{"far": r.far}}
	if nearIsThere {
		near := NewFeed(ctx, slog.New(slog.DiscardHandler), newTableState("a=far"), nil)
		_ = near.Restore(Position{1, 0}, []byte("a=far\n"), true)
		near.RedirectNew(func(string) []rpc.Member { return nil })
		r.network.feeds["near"] = near
	}
	options := FollowerOptions{Net: r.network, Sink: r.cursor, Self: rpc.Member{ID: 1, Zone: "zone-2"}}
	options.NextParent = func(failed string) string {
		if len(r.offered) > 0 && failed != "near" {
			return "near"
		}
		return "far"
	}
	if takes {
		options.OnNearer = func(parents []rpc.Member) { r.offered = parents }
	}
	go NewFollower(options).Run(ctx)
	return r
}

func TestFollower_NewInAnotherZone_IsSentToItsOwn(t *testing.T) {
	for name, x := range map[string]struct {
		nearIsThere, takes bool
		start              Position
		dials              []string
		within             time.Duration
	}{
		"new":                    {true, true, Position{}, []string{"far", "near"}, 10 * time.Millisecond},
		"nobody there":           {false, true, Position{}, []string{"far", "near", "far"}, 2 * reconnectDelay},
		"does not go":            {true, false, Position{}, []string{"far"}, 10 * time.Millisecond},
		"has a state of before":  {true, true, Position{1, 0}, []string{"far"}, 10 * time.Millisecond},
		"has a state of earlier": {true, true, Position{0, 7}, []string{"far"}, 10 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(context.Background())
				defer func() { cancel(); time.Sleep(2 * time.Second) }()
				r := startRedirection(ctx, x.nearIsThere, x.takes, x.start)
				time.Sleep(x.within)
				require.Equal(t, Position{1, 0}, r.cursor.Position())
				if x.start.Epoch == 0 {
					require.Equal(t, "a=far\n", string(r.cursor.state.Snapshot()))
				}
				time.Sleep(time.Second)
				r.network.mu.Lock()
				defer r.network.mu.Unlock()
				require.Equal(t, x.dials, r.network.dials)
			})
		})
	}
}
