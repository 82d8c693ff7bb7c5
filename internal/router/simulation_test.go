package router

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"shaletrestle/internal/frontend"
	"shaletrestle/internal/routing"
	"shaletrestle/internal/settings"
	"shaletrestle/internal/state"
)

// What follows plays scripted clients and replicas against the real request path (front, router, replica
// connections) over in-memory connections on simulated time, and judges by what both ends saw.

const (
	clientTimeBudget = 2 * time.Second        // Time-Budget-Ms of the clients
	deadlineSlack    = 250 * time.Millisecond // an answer may come so long after a deadline
	streamEvents     = 3                      // events of a complete stream
	maxAttempts      = 2                      // max_attempts of the routes
)

// unreachableNetwork has nobody on it: the router under test follows no controller.
type unreachableNetwork struct{}

// Dial fails.
func (unreachableNetwork) Dial(string, time.Duration) (net.Conn, error) {
	return nil, os.ErrDeadlineExceeded
}

// Listen fails.
func (unreachableNetwork) Listen(string) (net.Listener, error) { return nil, net.ErrClosed }

// simulation is one router with its clients and replicas.
type simulation struct {
	cancel     context.CancelFunc // ends the router
	t          *testing.T
	router     *Router
	front      *frontend.Server
	clients    chan net.Conn
	closed     chan struct{}
	mu         sync.Mutex
	steps      []step
	deliveries []*delivery
	dial       func(far net.Conn) (net.Conn, error) // wraps the router's end; nil: nothing
	pipes      []net.Conn
}

// Accept gives the next client.
func (sim *simulation) Accept() (net.Conn, error) {
	select {
	case c := <-sim.clients:
		return c, nil
	case <-sim.closed:
		return nil, net.ErrClosed
	}
}

// Close ends the listener.
func (sim *simulation) Close() error { close(sim.closed); return nil }

// Addr is no real address.
func (sim *simulation) Addr() net.Addr { return &net.UnixAddr{Name: "test"} }

var simulatedRoutes = map[string]string{
	"once":   `"route_type":"non_idempotent"`,
	"repeat": `"route_type":"idempotent"`,
	"stream": `"route_type":"streaming","target_gap_ms":100`,
	"resume": `"route_type":"streaming","stream_resume":true,"target_gap_ms":100`,
}

// newSimulation makes a router with replicas r1 to r3 that do the steps in turn, and then the last one for ever.
func newSimulation(t *testing.T, timeout time.Duration, steps ...step) *simulation {
	env := &settings.Settings{NodeName: "g", Zone: "a", IP: "10.0.0.1", Ports: []int{9000, 9100}, Bounds: settings.Bounds{BudgetRatio: 1, BudgetSlack: 100, BudgetWindowS: 10}, Limits: settings.Limits{MemoryMB: 64}}
	ctx, cancel := context.WithCancel(context.Background())
	sim := &simulation{t: t, clients: make(chan net.Conn), closed: make(chan struct{}), steps: steps, cancel: cancel}
	sim.router = New(ctx, slog.New(slog.DiscardHandler), Options{Settings: env, Net: unreachableNetwork{}, Dialer: sim})
	var routes []string
	for name, kind := range simulatedRoutes {
		routes = append(routes, fmt.Sprintf(`{"name":%q,"hostname":"h","path_prefix":"/%s/","backend_pool":"p","timeout_ms":%d,"target_latency_ms":200,"max_attempts":%d,%s}`,
			name, name, timeout.Milliseconds(), maxAttempts, kind))
	}
	put := fmt.Sprintf(`{"revision":1,"route_table":[%s],"backend_pools":[{"name":"p","max_connections":4}]}`, strings.Join(routes, ","))
	var replicas []*state.Replica
	for i := range 3 {
		replicas = append(replicas, &state.Replica{ID: fmt.Sprint("r", i+1), Pool: "p", Address: fmt.Sprint("r", i+1), Zone: "a", State: "ready", Slots: 8})
	}
	for _, e := range []state.Event{
		state.UpdateFleet{Size: 1, Nodes: []string{env.Port(settings.RouterPortOffset)}},
		state.NewPutConfig(0, []byte(put)).WithoutDigest(),
		state.UpdateReplicas{Changed: replicas},
	} {
		require.NoError(t, sim.router.store.Update(state.EncodeEvent(e)))
	}
	require.True(t, sim.router.ready.Load())
	sim.front = frontend.New(sim.router.ctx, sim.router.log, sim, http.HandlerFunc(sim.router.serve))
	sim.front.SetLimits(routing.Limits{})
	go sim.front.Run()
	return sim
}

// end closes everything. The router may not have found any of its invariants violated.
func (sim *simulation) end() {
	synctest.Wait()
	sim.router.checkQuiet()
	require.Empty(sim.t, sim.router.Invariants().Violations(), "invariants")
	sim.front.Close()
	sim.router.mu.Lock()
	for _, p := range sim.router.pools {
		p.Close()
	}
	sim.router.mu.Unlock()
	sim.mu.Lock()
	for _, c := range sim.pipes {
		_ = c.Close()
	}
	sim.mu.Unlock()
	sim.cancel()
}

// DialReplica connects to a replica.
func (sim *simulation) DialReplica(addr string, _ time.Duration) (net.Conn, error) {
	near, far := net.Pipe()
	sim.mu.Lock()
	sim.pipes = append(sim.pipes, near, far)
	sim.mu.Unlock()
	go sim.replica(addr, far)
	if sim.dial != nil {
		return sim.dial(near)
	}
	return near, nil
}
