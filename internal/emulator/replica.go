package emulator

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"shaletrestle/internal/durations"
	"shaletrestle/internal/replicamodel"
	"shaletrestle/internal/settings"
	"shaletrestle/internal/state"
)

// Times of a replica and of the list about it.
const (
	crashListedFor     = 2 * time.Second  // a crashed replica stays on the list this long
	replicaIdleTimeout = 15 * time.Second // a replica closes an idle connection after this
)

const healthPath = "/health"

// What the platform lists of every replica made up here.
const (
	softwareVersion = "v1"
	stageDual       = "dual" // both prefill and decode
	firstRevision   = 1      // of the model's weights
)

// replicaState is the state of a replica's process.
type replicaState string

const (
	replicaReady    replicaState = "ready"
	replicaDraining replicaState = "draining"
	replicaGone     replicaState = "gone"
)

func replicaName(service string, index int) string {
	return service + "-" + strconv.Itoa(index+1)
}

// Replica is a stand-in for a replica: it speaks the protocol over real sockets,
// takes the time that the model gives and can be given faults.
type Replica struct {
	ctx     context.Context
	rules   *ruleChecker
	service *Service
	name    string
	address string
	zone    string
	running sync.WaitGroup // its servers and engines

	mu          sync.Mutex
	incarnation int // number of starts
	fault       string
	state       replicaState
	stateSince  time.Time
	startedAt   time.Time
	answersFrom time.Time // it is not up before
	warmFrom    time.Time // it is cold before
	engine      *engine   // nil: queue serves
	queue       *replicamodel.Queue
	server      *http.Server
	connections int
	requests    int               // received, for what fails in part
	reported    replicamodel.Load // what its report says
	reportedAt  time.Time
}

func newReplica(ctx context.Context, rules *ruleChecker, service *Service, name, address, zone string) *Replica {
	return &Replica{
		ctx:     ctx,
		rules:   rules,
		service: service,
		name:    name,
		address: address,
		zone:    zone,
		state:   replicaGone,
	}
}

// start begins a new incarnation; the first one is warm.
func (r *Replica) start(first bool) error {
	listener, err := listen(r.address)
	if err != nil {
		return err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	r.incarnation++
	r.fault = ""
	r.setState(replicaReady)
	r.startedAt = now
	r.answersFrom = now.Add(durations.FromSeconds(r.service.StartS))
	if !first {
		r.warmFrom = now.Add(durations.FromSeconds(r.service.WarmupS))
	}
	r.resetModel(1)
	r.connections = 0
	r.server = r.newServer(r.incarnation)
	server := r.server
	r.running.Go(func() { _ = server.Serve(listener) })
	return nil
}

func (r *Replica) newServer(incarnation int) *http.Server {
	return &http.Server{
		Handler:           r,
		ReadHeaderTimeout: settings.HeaderTimeout,
		IdleTimeout:       replicaIdleTimeout,
		ConnState: func(connection net.Conn, state http.ConnState) {
			r.countConnection(incarnation, connection, state)
		},
	}
}

// setState is called with the lock held.
func (r *Replica) setState(state replicaState) {
	r.state = state
	r.stateSince = time.Now()
}

// resetModel begins with an empty memory, slower by a factor than the service says;
// the caller holds the lock.
func (r *Replica) resetModel(slower float64) {
	r.queue = replicamodel.NewQueue(r.service.Slots, r.service.Queue)
	if r.service.Engine != nil {
		started := newEngine(r.ctx, r.service, slower)
		r.running.Go(started.run)
		r.engine = started
	}
}

// countConnection counts connections and resets those beyond what the service
// allows. Those of earlier incarnations are not counted.
func (r *Replica) countConnection(incarnation int, connection net.Conn, state http.ConnState) {
	if r.isOverLimit(incarnation, state) {
		resetConnection(connection)
	}
}

func (r *Replica) isOverLimit(incarnation int, state http.ConnState) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if incarnation != r.incarnation {
		return false
	}
	switch state {
	case http.StateNew:
		r.connections++
		return r.connections > r.service.MaxConnections
	case http.StateClosed, http.StateHijacked:
		r.connections--
	}
	return false
}

// resetConnection closes a connection with a reset.
func resetConnection(connection net.Conn) {
	if tcp, ok := connection.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = connection.Close()
}

// stop ends the incarnation at once.
func (r *Replica) stop() {
	r.mu.Lock()
	server := r.server
	r.server = nil
	r.setState(replicaGone)
	r.mu.Unlock()
	if server != nil {
		_ = server.Close()
	}
}

// close ends the replica once its context has ended, and waits for its servers and engines.
func (r *Replica) close() {
	r.stop()
	r.running.Wait()
}

// id names the replica's incarnation; the caller holds the lock.
func (r *Replica) id() string { return fmt.Sprintf("i-%s-%d", r.name, r.incarnation) }

// entry is what the platform lists, nil once it has noticed that the replica is
// gone.
func (r *Replica) entry() *state.Replica {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.state == replicaGone && (r.incarnation == 0 || time.Since(r.stateSince) > crashListedFor) {
		return nil
	}
	entry := &state.Replica{
		ID:               r.id(),
		Pool:             r.service.Name,
		Address:          r.address,
		Zone:             r.zone,
		SoftwareRevision: softwareVersion,
		Slots:            r.service.Slots,
		State:            string(replicaReady),
		WarmupLeftMs:     max(0, milliseconds(time.Until(r.warmFrom))),
	}
	if r.state == replicaDraining {
		entry.State = string(replicaDraining)
	}
	if engine := r.service.Engine; engine != nil {
		entry.Stage = stageDual
		entry.Models = []state.Model{{Name: engine.Model, Revision: firstRevision}}
	}
	return entry
}

// load is what the replica reports as its load; the caller holds the lock.
func (r *Replica) load() replicamodel.Load {
	if r.fault == Lying {
		return replicamodel.Load{}
	}
	if r.engine != nil {
		return r.engine.load()
	}
	return r.queue.Load(time.Since(r.startedAt))
}
