package router

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"shaletrestle/coord/recordedtest"
	"shaletrestle/coord/rpc"
	"shaletrestle/internal/settings"
	"shaletrestle/internal/state"
)

// TestPing_RecordedBytes_AnsweredAsBefore pins the form of the pings between nodes and of their answers. What a peer reads of them is
// package longwork's, and tested there on the same recording.
func TestPing_RecordedBytes_AnsweredAsBefore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		recording := recordedtest.Open(t, "testdata/pings.txt")
		sim := newSimulation(t, time.Second, step{})
		defer sim.end()
		env := *sim.router.settings.Load()
		env.LongWork = settings.LongWork{Enabled: true, MaxAcceptedJobs: 3}
		sim.router.settings.Store(&env)
		const node = "10.0.0.9:7722"
		for name, mark := range map[string]string{"well": "", "slow": slowMark} {
			ping := &rpc.Message{Kind: rpc.Hello, Call: 0x7101, From: rpc.Member{Address: node}, Text: mark}
			read, err := rpc.Decode(recording.Same(name, ping.Encode()))
			require.NoError(t, err)
			require.Equal(t, ping, read)
			answer, err := rpc.Decode(recording.Same(name+"-answer", sim.router.handle(nil, read).Encode()))
			require.NoError(t, err)
			require.True(t, answer.Answer && answer.OK)
			require.Equal(t, ping.Call, answer.Call)
		}
	})
}

// recordingNetwork has one controller on it, which keeps what it is sent; nobody else is there.
type recordingNetwork struct {
	controller string
	ctx        context.Context
	handle     rpc.Handler
}

func (n recordingNetwork) Dial(address string, _ time.Duration) (net.Conn, error) {
	if address != n.controller {
		return nil, net.ErrClosed
	}
	near, far := net.Pipe()
	rpc.Open(n.ctx, far, n.handle)
	return near, nil
}

func (n recordingNetwork) Listen(string) (net.Listener, error) { return nil, net.ErrClosed }

// TestRouter_RecordedBytes_ReportsToControllerAsBefore pins the form of what a node sends to its controller.
func TestRouter_RecordedBytes_ReportsToControllerAsBefore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		recording := recordedtest.Open(t, "testdata/controller.txt")
		ctx, cancel := context.WithCancel(context.Background())
		received := map[rpc.Kind][]byte{}
		network := recordingNetwork{controller: "10.0.0.5:9000", ctx: ctx, handle: func(_ *rpc.Channel, message *rpc.Message) *rpc.Message {
			received[message.Kind] = message.Encode()
			if message.Kind != rpc.Loan {
				return nil
			}
			answer := message.Reply(true)
			answer.Number = message.Number
			received[0] = answer.Encode()
			return answer
		}}
		env := &settings.Settings{
			NodeName: "g", Zone: "zone-1", IP: "10.0.0.1", Ports: []int{9000, 9100}, Seeds: []string{"10.0.0.5:8800"},
			Bounds: settings.Bounds{BudgetRatio: 1, BudgetSlack: 100, BudgetWindowS: 10}, Limits: settings.Limits{MemoryMB: 64},
		}
		r := New(ctx, slog.New(slog.DiscardHandler), Options{Settings: env, Net: network})
		nodes := []string{env.Port(settings.RouterPortOffset), "10.0.0.7:9002"}
		require.NoError(t, r.store.Update(state.EncodeEvent(state.UpdateFleet{Size: len(nodes), Nodes: nodes})))
		go r.follower.Run(ctx)
		synctest.Wait()
		for r.budget.Remaining("service-1") >= 1 { // the own share is used up first
			require.True(t, r.budget.Take("service-1", 0))
		}
		require.True(t, r.budget.Take("service-1", time.Second))
		go r.detector.Run(ctx)
		time.Sleep(3 * time.Second)
		cancel()
		synctest.Wait()
		// An earlier version's message has no body and no mark; its receiver ignores the body, which lists the parts of the
		// state here, and the mark, which says that this node may be sent to a nearer controller.
		subscribe, err := rpc.Decode(received[rpc.Subscribe])
		require.NoError(t, err)
		require.Equal(t, []byte{}, subscribe.Body, "no part is here yet")
		require.True(t, subscribe.OK)
		subscribe.Body, subscribe.OK = nil, false
		recording.Same("follow", subscribe.Encode())
		for kind, name := range map[rpc.Kind]string{
			rpc.Subscribe: "follow-parts", rpc.Loan: "lend", 0: "lend-answer", rpc.Suspect: "suspect",
		} {
			require.NotEmpty(t, received[kind], name)
			recording.Same(name, received[kind])
		}
		require.Len(t, received, 4, fmt.Sprint(received))
	})
}
