package rpc

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// loopback is the real network on the loopback address.
type loopback struct{}

func (loopback) Dial(address string, timeout time.Duration) (net.Conn, error) {
	return net.DialTimeout("tcp", address, timeout)
}
func (loopback) Listen(address string) (net.Listener, error) { return net.Listen("tcp", address) }

func TestTraffic_Channels_CountKindDirectionAndZone(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	invalid := make(chan struct{}, 1)
	here := NewTraffic("zone-1", TrafficOptions{OnInvalid: func(string, error) { invalid <- struct{}{} }})
	listener, err := here.Net(loopback{}).Listen("127.0.0.1:0")
	require.NoError(t, err)
	go Serve(ctx, listener, func(_ *Channel, message *Message) *Message { return message.Reply(true) })

	there := NewTraffic("zone-2", TrafficOptions{ZoneOf: func(string) string { return "zone-1" }})
	conn, err := there.Net(loopback{}).Dial(listener.Addr().String(), time.Second)
	require.NoError(t, err)
	channel := Open(ctx, conn, nil)
	call := &Message{Kind: Loan, From: Member{Zone: "zone-2"}}
	_, err = channel.Call(call, time.Second)
	require.NoError(t, err)

	numbered := *call
	numbered.Call = 1
	sent := int64(len(numbered.Encode()) + framePrefixBytes)
	answer := numbered.Reply(true)
	answered := int64(len(answer.Encode()) + framePrefixBytes)
	require.Equal(t, []TrafficCount{{Loan, Sent, OtherZone, 1, sent}, {Loan, Received, OtherZone, 1, answered}}, there.Counts())
	require.Equal(t, []TrafficCount{{Loan, Sent, OtherZone, 1, answered}, {Loan, Received, OtherZone, 1, sent}}, here.Counts(), "the peer named its zone")

	channel.Send(&Message{Kind: 999})
	require.Eventually(t, func() bool { return len(here.Counts()) == 3 }, time.Second, time.Millisecond)
	require.Equal(t, "unknown", here.Counts()[0].Kind.String(), "kinds of later versions are one")

	require.Zero(t, here.Invalid())
	raw, err := net.Dial("tcp", listener.Addr().String())
	require.NoError(t, err)
	defer func() { _ = raw.Close() }()
	_, err = raw.Write([]byte("\x05\x00\x00\x00wrong"))
	require.NoError(t, err)
	<-invalid
	require.Equal(t, int64(1), here.Invalid())
	_, err = raw.Read(make([]byte, 1))
	require.Error(t, err, "the channel was closed")
}

func TestTraffic_Names_AreStable(t *testing.T) {
	var names []string
	for kind := range kinds {
		names = append(names, Kind(kind).String())
	}
	require.Equal(t, []string{
		"unknown", "hello", "replication", "lease", "subscribe", "update", "update_ack", "suspect", "load_sums", "loan", "job", "list", "counters",
	}, names)
	require.Equal(t, "sent received", Sent.String()+" "+Received.String())
	require.Equal(t, "unknown own other", UnknownZone.String()+" "+OwnZone.String()+" "+OtherZone.String())
}
