package distribution_test

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"sync"
	"time"

	"shaletrestle/coord/distribution"
	"shaletrestle/coord/rpc"
)

// sentence is a state that changes add words to.
type sentence struct {
	mu   sync.Mutex
	text string
}

func (s *sentence) Restore(snapshot []byte) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.text = string(snapshot)
	return nil
}

func (s *sentence) Update(change []byte) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.text += string(change)
	return nil
}

func (s *sentence) Snapshot() []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	return []byte(s.text)
}

// memoryNet is a network in memory that leads to one feed.
type memoryNet struct {
	ctx  context.Context
	feed *distribution.Feed
}

func (n memoryNet) Listen(string) (net.Listener, error) { return nil, net.ErrClosed }

func (n memoryNet) Dial(string, time.Duration) (net.Conn, error) {
	near, far := net.Pipe()
	rpc.Open(n.ctx, far, func(channel *rpc.Channel, message *rpc.Message) *rpc.Message {
		switch message.Kind {
		case rpc.Subscribe:
			n.feed.HandleSubscribe(channel, message)
		case rpc.UpdateAck:
			n.feed.HandleAck(channel, message)
		}
		return nil
	})
	return near, nil
}

// A source pushes two changes; a follower that comes late has them all when the second is acknowledged.
func ExampleFollower() {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	feed := distribution.NewFeed(ctx, slog.New(slog.DiscardHandler), &sentence{}, nil)
	source := feed.Begin(1, func() []byte { return []byte("birch") })
	source.Push([]byte(" and sal"))

	followed := &sentence{}
	cursor := distribution.NewCursor(followed)
	follower := distribution.NewFollower(distribution.FollowerOptions{
		Net:        memoryNet{ctx, feed},
		Sink:       cursor,
		Self:       rpc.Member{ID: 7, Address: "node-7"},
		NextParent: func(string) string { return "node-1" },
	})
	go follower.Run(ctx)
	for len(feed.EndFollowers()) == 0 {
		time.Sleep(time.Millisecond)
	}

	number, _ := source.Push([]byte(" and pine"))
	acked, followers := feed.WaitAcked(ctx, number, time.Minute)
	fmt.Println(acked, "of", followers, "at", cursor.Position())
	fmt.Println(string(followed.Snapshot()))
	// Output:
	// 1 of 1 at {1 2}
	// birch and sal and pine
}
