package replication

import (
	"context"
	"net"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"

	"shaletrestle/coord/replication/core"
	"shaletrestle/coord/rpc"
)

// pipeNetwork is a network of pipes to one listener; a mute one takes bytes and gives no answer.
type pipeNetwork struct {
	ctx         context.Context
	mu          sync.Mutex
	dials       int
	unreachable bool
	handler     rpc.Handler
}

func (p *pipeNetwork) Dial(string, time.Duration) (net.Conn, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.dials++
	if p.unreachable {
		return nil, errors.New("nobody is there")
	}
	near, far := net.Pipe()
	rpc.Open(p.ctx, far, p.handler)
	return near, nil
}

func (p *pipeNetwork) Listen(string) (net.Listener, error) { return nil, net.ErrClosed }

// newLinkedPair is a member's links, and what arrives at the other end.
func newLinkedPair(ctx context.Context, answer func(channel *rpc.Channel)) (*Links, *pipeNetwork, chan core.Message) {
	arrived := make(chan core.Message, 100)
	p := &pipeNetwork{ctx: ctx}
	p.handler = func(channel *rpc.Channel, frame *rpc.Message) *rpc.Message {
		message, err := decodeMessage(frame.Body)
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

func TestLinks_WhileDialing_MessagesShareOneChannel(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		links, network, arrived := newLinkedPair(t.Context(), nil)
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

func TestLinks_UnreachableMember_MessagesDropped(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		links, network, arrived := newLinkedPair(t.Context(), nil)
		network.unreachable = true
		for round := range uint64(1000) {
			links.Send("b", confirmRound(round))
		}
		synctest.Wait()
		network.mu.Lock()
		network.unreachable = false
		network.mu.Unlock()
		links.Send("b", confirmRound(1000))
		synctest.Wait()
		require.Len(t, arrived, 1, "what was sent to nobody is dropped")
	})
}

// TestLinks_SilentChannel_Replaced sends on a channel on which no answer comes: it is closed after the wait of an answer, and another is dialled.
func TestLinks_SilentChannel_Replaced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		links, network, _ := newLinkedPair(t.Context(), nil)
		for range 8 {
			links.Send("b", confirmRound(1))
			time.Sleep(100 * time.Millisecond)
		}
		synctest.Wait()
		require.Equal(t, 2, network.dials)
	})
}

func TestLinks_AnsweredChannel_Reused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		links, network, _ := newLinkedPair(t.Context(), func(channel *rpc.Channel) { channel.Send(&rpc.Message{Kind: rpc.Replication}) })
		for range 30 {
			links.Send("b", confirmRound(1))
			time.Sleep(time.Second)
		}
		require.Equal(t, 1, network.dials)
	})
}

// TestLinks_Reply_UsesTheChannelOfTheRequest sends to a member that sent on a channel of its own: nothing is dialled.
func TestLinks_Reply_UsesTheChannelOfTheRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		links, network, _ := newLinkedPair(t.Context(), nil)
		near, far := net.Pipe()
		received := make(chan *rpc.Message, 1)
		rpc.Open(t.Context(), far, func(_ *rpc.Channel, frame *rpc.Message) *rpc.Message {
			received <- frame
			return nil
		})
		accepted := rpc.Open(t.Context(), near, func(*rpc.Channel, *rpc.Message) *rpc.Message { return nil })
		links.SetChannel("b", accepted)
		links.Send("b", confirmRound(7))
		synctest.Wait()
		require.Len(t, received, 1)
		require.Zero(t, network.dials)
		accepted.Close()
		links.Send("b", confirmRound(8))
		synctest.Wait()
		require.Equal(t, 1, network.dials, "the channel it came on has ended")
	})
}
