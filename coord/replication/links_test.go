package replication

import (
	"context"
	"net"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"shaletrestle/coord/replication/core"
	"shaletrestle/coord/rpc"
	"shaletrestle/internal/errkind"
)

// pipes is a network of pipes to one listener; a mute one takes bytes and gives no answer.
type pipes struct {
	ctx   context.Context
	mu    sync.Mutex
	dials int
	down  bool
	take  rpc.Handler
}

func (p *pipes) Dial(string, time.Duration) (net.Conn, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.dials++
	if p.down {
		return nil, errkind.New(errkind.Unavailable, "nobody is there")
	}
	near, far := net.Pipe()
	rpc.Open(p.ctx, far, p.take)
	return near, nil
}

func (p *pipes) Listen(string) (net.Listener, error) { return nil, net.ErrClosed }

// linked is a member's links, and what arrives at the other end.
func linked(ctx context.Context, answer func(channel *rpc.Channel)) (*Links, *pipes, chan core.Message) {
	arrived := make(chan core.Message, 100)
	p := &pipes{ctx: ctx}
	p.take = func(channel *rpc.Channel, note *rpc.Message) *rpc.Message {
		message, err := decodeMessage(note.Body)
		if err == nil {
			arrived <- message
		}
		if answer != nil {
			answer(channel)
		}
		return nil
	}
	links := NewLinks(rpc.NewPool(ctx, p, func(*rpc.Channel, *rpc.Message) *rpc.Message { return nil }))
	return links, p, arrived
}

func confirmRound(round uint64) core.Message {
	return core.Confirm{Envelope: core.Envelope{From: core.Member{ID: 1, Address: "a"}, To: 2, ToAddress: "b"}, Round: round}
}

func TestMessagesWaitForTheDialAndShareItsChannel(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		links, network, arrived := linked(ctx, nil)
		for round := range uint64(5) {
			links.Send("b", confirmRound(round))
		}
		synctest.Wait()
		require.Len(t, arrived, 5)
		for round := range uint64(5) {
			require.Equal(t, confirmRound(round), <-arrived)
		}
		require.Equal(t, 1, network.dials)
	})
}

func TestAnUnreachableMemberHoldsNothingUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		links, network, arrived := linked(ctx, nil)
		network.down = true
		for round := range uint64(1000) {
			links.Send("b", confirmRound(round))
		}
		synctest.Wait()
		network.mu.Lock()
		network.down = false
		network.mu.Unlock()
		links.Send("b", confirmRound(1000))
		synctest.Wait()
		require.Len(t, arrived, 1, "what was sent to nobody is dropped")
	})
}

// TestASilentChannelIsLeft sends on a channel on which no answer comes: it is closed after the wait of an answer, and another is dialled.
func TestASilentChannelIsLeft(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		links, network, _ := linked(ctx, nil)
		for range 8 {
			links.Send("b", confirmRound(1))
			time.Sleep(100 * time.Millisecond)
		}
		synctest.Wait()
		require.Equal(t, 2, network.dials)
	})
}

func TestAnAnsweredChannelIsKept(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		links, network, _ := linked(ctx, func(channel *rpc.Channel) { channel.Send(&rpc.Message{Kind: rpc.Replication}) })
		for range 30 {
			links.Send("b", confirmRound(1))
			time.Sleep(time.Second)
		}
		require.Equal(t, 1, network.dials)
	})
}

// TestAnAnswerGoesTheWayTheQuestionCame sends to a member that was heard on a channel of its own: nothing is dialled.
func TestAnAnswerGoesTheWayTheQuestionCame(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		links, network, _ := linked(ctx, nil)
		near, far := net.Pipe()
		heard := make(chan *rpc.Message, 1)
		rpc.Open(ctx, far, func(_ *rpc.Channel, note *rpc.Message) *rpc.Message {
			heard <- note
			return nil
		})
		accepted := rpc.Open(ctx, near, func(*rpc.Channel, *rpc.Message) *rpc.Message { return nil })
		links.SetChannel("b", accepted)
		links.Send("b", confirmRound(7))
		synctest.Wait()
		require.Len(t, heard, 1)
		require.Zero(t, network.dials)
		accepted.Close()
		links.Send("b", confirmRound(8))
		synctest.Wait()
		require.Equal(t, 1, network.dials, "the channel it came on has ended")
	})
}
