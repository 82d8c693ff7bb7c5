package controller

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"shaletrestle/coord/deflate"
	"shaletrestle/coord/replication"
	"shaletrestle/coord/rpc"
	"shaletrestle/internal/settings"
	"shaletrestle/internal/state"
)

// listNetwork leads from controllers to each other and to the platform, whose answers take a round trip of its own for
// each caller.
type listNetwork struct {
	ctx         context.Context
	platform    string
	roundTrips  map[string]time.Duration // to the platform, by controller
	mu          sync.Mutex
	controllers map[string]*Controller // by member address; guarded by mu
	silent      map[string]bool        // controllers that don't answer; guarded by mu
	reads       map[string]int         // of the platform's list, by controller; guarded by mu
	listed      string                 // the platform's answer; guarded by mu
	bytes       int                    // of the controllers' answers; guarded by mu
}

// listSide is the network as one controller sees it.
type listSide struct {
	*listNetwork
	self string
}

func (listSide) Listen(string) (net.Listener, error) { return nil, net.ErrClosed }

func (n listSide) Dial(address string, _ time.Duration) (net.Conn, error) {
	near, far := net.Pipe()
	if address == n.platform {
		server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			time.Sleep(n.roundTrips[n.self])
			n.mu.Lock()
			defer n.mu.Unlock()
			n.reads[n.self]++
			_, _ = w.Write([]byte(n.listed))
		})}
		listener := &onceListener{conn: far, done: n.ctx.Done()}
		go func() { _ = server.Serve(listener) }()
		context.AfterFunc(n.ctx, func() { _ = far.Close() })
		return near, nil
	}
	rpc.Open(n.ctx, far, func(_ *rpc.Channel, message *rpc.Message) *rpc.Message {
		n.mu.Lock()
		asked, silent := n.controllers[address], n.silent[address]
		n.mu.Unlock()
		if silent || asked == nil || message.Kind != rpc.List {
			return nil
		}
		reply := asked.handle(nil, message)
		n.mu.Lock()
		n.bytes += len(reply.Encode())
		n.mu.Unlock()
		return reply
	})
	return near, nil
}

// onceListener gives one connection.
type onceListener struct {
	conn net.Conn
	done <-chan struct{}
}

func (l *onceListener) Accept() (net.Conn, error) {
	if conn := l.conn; conn != nil {
		l.conn = nil
		return conn, nil
	}
	<-l.done
	return nil, net.ErrClosed
}
func (*onceListener) Close() error   { return nil }
func (*onceListener) Addr() net.Addr { return &net.TCPAddr{} }

// list sets what the platform lists: so many replicas, the first of them in a state.
func (n *listNetwork) list(replicas int, first string) {
	var entries []string
	for i := range replicas {
		stateOf := state.ReplicaReady
		if i == 0 {
			stateOf = first
		}
		entries = append(entries, fmt.Sprintf(`{"replica_id":"i-%d","backend_pool":"s","address":"10.9.0.%d:80","zone":"zone-1","slots":4,"state":%q}`, i, i, stateOf))
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.listed = `{"replicas":[` + strings.Join(entries, ",") + `],"next_token":null}`
}

// add starts a controller that knows nobody.
func (n *listNetwork) add(t *testing.T, zone string, roundTrip time.Duration) *Controller {
	t.Helper()
	env := &settings.Settings{
		NodeName: zone, Zone: zone, IP: fmt.Sprint("10.0.0.", len(n.controllers)+1), Ports: []int{7720, 7729},
		Zones: map[string]string{zone: "east"}, Cloud: settings.CloudAPI{Address: n.platform},
		Bounds: settings.Bounds{BudgetSlack: 100, BudgetWindowS: 10, GraceS: 1},
	}
	address := env.Port(settings.ControlPortOffset)
	n.roundTrips[address] = roundTrip
	c, err := New(n.ctx, slog.New(slog.DiscardHandler), Options{Settings: env, Net: listSide{n, address}, Store: replication.NewNoDisk()})
	require.NoError(t, err)
	n.controllers[address] = c
	return c
}

// takeReads gives the readings of each controller since the last call.
func (n *listNetwork) takeReads() map[string]int {
	n.mu.Lock()
	defer n.mu.Unlock()
	reads := n.reads
	n.reads = map[string]int{}
	return reads
}

// readWith reads as the primary does, among these members.
func readWith(c *Controller, members ...*Controller) ([]*state.Replica, error) {
	var candidates []rpc.Member
	for _, member := range members {
		candidates = append(candidates, member.member.Self())
	}
	return c.readListAmong(candidates)
}

// withListNetwork runs a test with three controllers, of which the second is the nearest to the platform.
func withListNetwork(t *testing.T, test func(n *listNetwork, primary, near, far *Controller)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		defer func() { cancel(); time.Sleep(5 * time.Second) }()
		n := &listNetwork{
			ctx: ctx, platform: "10.9.9.9:80", roundTrips: map[string]time.Duration{}, controllers: map[string]*Controller{},
			silent: map[string]bool{}, reads: map[string]int{},
		}
		n.list(200, state.ReplicaReady)
		test(n, n.add(t, "zone-1", 3*time.Millisecond), n.add(t, "zone-2", time.Millisecond), n.add(t, "zone-3", 4*time.Millisecond))
	})
}

func TestReadList_Many_ByTheMemberNearestToThePlatform(t *testing.T) {
	withListNetwork(t, func(n *listNetwork, primary, near, far *Controller) {
		nearAddress, farAddress := near.member.Self().Address, far.member.Self().Address
		for range 3 {
			listed, err := readWith(primary, far, near)
			require.NoError(t, err)
			require.Len(t, listed, 200)
		}
		require.Equal(t, map[string]int{primary.member.Self().Address: 1, nearAddress: 1, farAddress: 1}, n.takeReads(), "each is asked once")
		for range 5 {
			_, err := readWith(primary, far, near)
			require.NoError(t, err)
		}
		require.Equal(t, map[string]int{nearAddress: 5}, n.takeReads())
		n.mu.Lock()
		require.Less(t, n.bytes, 7*200, "nothing had changed")
		n.mu.Unlock()

		n.list(200, "draining")
		listed, err := readWith(primary, far, near)
		require.NoError(t, err)
		states := map[string]string{}
		for _, replica := range listed {
			states[replica.ID] = replica.State
		}
		require.Len(t, states, 200)
		require.Equal(t, "draining", states["i-0"])
		require.Equal(t, state.ReplicaReady, states["i-1"])
	})
}

func TestReadList_ReaderLost_ReadHereInTheSameTurn(t *testing.T) {
	withListNetwork(t, func(n *listNetwork, primary, near, _ *Controller) {
		own, nearAddress := primary.member.Self().Address, near.member.Self().Address
		for range 3 {
			_, err := readWith(primary, near)
			require.NoError(t, err)
		}
		n.takeReads()
		n.mu.Lock()
		n.silent[nearAddress] = true
		n.mu.Unlock()
		start := time.Now()
		listed, err := readWith(primary, near)
		require.NoError(t, err)
		require.Len(t, listed, 200)
		require.Less(t, time.Since(start), otherReaderTimeout+100*time.Millisecond)
		n.mu.Lock()
		n.silent[nearAddress] = false
		n.mu.Unlock()
		_, err = readWith(primary, near)
		require.NoError(t, err)
		require.Equal(t, map[string]int{own: 2}, n.takeReads(), "it is left alone for a while")
		time.Sleep(otherReaderRetry)
		_, err = readWith(primary, near)
		require.NoError(t, err)
		require.Equal(t, map[string]int{nearAddress: 1}, n.takeReads())
	})
}

func TestReadList_UnusableAnswers_ReadHere(t *testing.T) {
	withListNetwork(t, func(n *listNetwork, primary, near, _ *Controller) {
		_, err := readWith(primary, near)
		require.NoError(t, err)
		n.takeReads()
		n.list(0, "")
		n.mu.Lock()
		n.listed = "no list"
		n.mu.Unlock()
		_, err = readWith(primary, near)
		require.Error(t, err, "neither can read it")
		require.Len(t, n.takeReads(), 2)
	})
	for _, body := range [][]byte{{}, {1, 2, 3}, deflate.Compress([]byte{0xff}), deflate.Compress(make([]byte, maxListBytes+1))} {
		_, err := decodeList(body)
		require.Error(t, err)
	}
}

func TestReadList_FewReplicas_ReadHere(t *testing.T) {
	withListNetwork(t, func(n *listNetwork, primary, near, far *Controller) {
		n.list(otherReaderFrom-1, state.ReplicaReady)
		for range 4 {
			_, err := readWith(primary, near, far)
			require.NoError(t, err)
		}
		require.Equal(t, map[string]int{primary.member.Self().Address: 4}, n.takeReads())
	})
}

func TestHandleList_NoCall_NotAnswered(t *testing.T) {
	withListNetwork(t, func(n *listNetwork, primary, _, _ *Controller) {
		require.Nil(t, primary.handle(nil, &rpc.Message{Kind: rpc.List}))
		require.Empty(t, n.takeReads())
	})
}

func TestReplicasDigest_WarmupThatGoesOn_StaysTheSame(t *testing.T) {
	one := []*state.Replica{{ID: "a", Pool: "s", Address: "x:1", WarmupLeftMs: 900}, {ID: "b", Pool: "s", Address: "x:2"}}
	later := []*state.Replica{one[1], {ID: "a", Pool: "s", Address: "x:1", WarmupLeftMs: 20}}
	over := []*state.Replica{{ID: "a", Pool: "s", Address: "x:1"}, one[1]}
	require.Equal(t, state.ReplicasDigest(one), state.ReplicasDigest(later))
	require.NotEqual(t, state.ReplicasDigest(one), state.ReplicasDigest(over))
	require.InDelta(t, 900, one[0].WarmupLeftMs, 0, "not changed")
}

func TestCompareAddresses_ByNumber(t *testing.T) {
	require.Negative(t, compareAddresses("10.0.0.4:80", "10.0.0.13:80"))
	require.Positive(t, compareAddresses("10.0.0.4:90", "10.0.0.4:80"))
	require.Negative(t, compareAddresses("a", "b"))
}
