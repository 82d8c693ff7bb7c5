package simtest

import (
	"hash/crc32"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"

	"shaletrestle/internal/state"
)

// Usual behaviour of a replica.
const (
	usualSlots  = 8
	usualWork   = 20 * time.Millisecond
	usualEvents = 6
	slowFactor  = 8
)

// Replica is a stand-in replica; it judges what reaches it.
type Replica struct {
	sim              *Simulation
	ID               string
	pool             string
	address          string
	ip               string
	zone             string
	slots            int
	state            string
	since            time.Time // of the state
	warmupLeftMs     float64
	evacuatedAt      time.Time
	server           *http.Server
	mu               sync.Mutex
	behaviour        behaviour
	percent          int    // in a hundred of the requests it does so with
	from             string // only with those of this caller
	unhealthy        bool   // what its health answer says
	workTime         time.Duration
	slowPath         string // the paths that take so long; the others are quick
	busy             int
	executed         int
	events           int           // of a stream
	eventGap         time.Duration // between two events
	warmupArrivals   []time.Time
	knownUnavailable map[string]time.Time // callers, and when they were first seen to know that it takes nothing more
}

// AddReplica puts up a replica.
func (sim *Simulation) AddReplica(id, pool, ip, zone string) *Replica {
	r := &Replica{
		sim:              sim,
		ID:               id,
		pool:             pool,
		address:          ip + ":9000",
		ip:               ip,
		zone:             zone,
		slots:            usualSlots,
		state:            "ready",
		since:            time.Now(),
		behaviour:        behavesWell,
		percent:          100,
		workTime:         usualWork,
		events:           usualEvents,
		eventGap:         usualWork,
		knownUnavailable: map[string]time.Time{},
	}
	sim.mu.Lock()
	sim.replicas[id] = r
	sim.mu.Unlock()
	r.server = sim.serve(r.address, r)
	return r
}

// listed is the replica's entry in the platform's list; the caller holds the simulation's lock.
func (r *Replica) listed() *state.Replica {
	return &state.Replica{
		ID:               r.ID,
		Pool:             r.pool,
		Address:          r.address,
		Zone:             r.zone,
		SoftwareRevision: "v1",
		Slots:            r.slots,
		State:            r.state,
		WarmupLeftMs:     r.warmupLeftMs,
		Models:           []state.Model{{Name: "m", Revision: 1}},
	}
}

// Down ends a replica's process; Up starts it again, under the same id.
func (r *Replica) Down() {
	_ = r.server.Close()
	r.sim.Network.Kill(r.ip)
}

// Up starts a replica that is down.
func (r *Replica) Up() { r.server = r.sim.serve(r.address, r) }

// ServeHTTP is the replica's side.
func (r *Replica) ServeHTTP(rw http.ResponseWriter, q *http.Request) {
	if q.Method == http.MethodGet && q.URL.Path == "/health" {
		r.answerHealth(rw)
		return
	}
	body, err := io.ReadAll(q.Body)
	if err != nil {
		return
	}
	id := q.Header.Get("Attempt-Id")
	rw.Header().Set("Attempt-Id", id)
	rw.Header().Set("Replica-Load", "1,0,8")
	if !r.isMeant(rw, q) {
		return
	}
	a := r.judgeArrival(q, id, string(body))
	how, work, events := r.behaviourFor(q, id)
	if !r.begin(how) {
		reject(rw, how)
		return
	}
	defer r.finish()
	r.recordRun(a)
	sleepUntilCancelled(q, work)
	rw.Header().Set("Replica-Seal", sealOf(id))
	r.reply(rw, q, reply{id: id, behaviour: how, events: events, record: a.record})
}

func (r *Replica) answerHealth(rw http.ResponseWriter) {
	r.mu.Lock()
	unhealthy := r.unhealthy
	r.mu.Unlock()
	rw.Header().Set("Replica-Id", r.ID)
	if unhealthy {
		rw.WriteHeader(http.StatusServiceUnavailable)
	}
}

// isMeant answers 421 to a request for another replica.
func (r *Replica) isMeant(rw http.ResponseWriter, q *http.Request) bool {
	r.sim.mu.Lock()
	mine := r.ID
	r.sim.mu.Unlock()
	if q.Header.Get("Expected-Replica") == mine {
		return true
	}
	rw.Header().Set("Replica-Id", mine)
	rw.WriteHeader(http.StatusMisdirectedRequest)
	return false
}

// behaviourFor is what the replica does with one request.
func (r *Replica) behaviourFor(q *http.Request, id string) (how behaviour, work time.Duration, events int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	how, work, events = r.behaviour, r.workTime, r.events
	otherCaller := r.from != "" && !strings.HasPrefix(q.RemoteAddr, r.from)
	if otherCaller || int(crc32.ChecksumIEEE([]byte(id))%100) >= r.percent {
		how = behavesWell
	}
	if !strings.HasPrefix(q.URL.Path, r.slowPath) {
		work = usualWork
	}
	if how == behavesSlow {
		work *= slowFactor
	}
	return how, work, events
}

// begin takes a slot; false if there is none or the replica turns requests away.
func (r *Replica) begin(how behaviour) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if how == behavesFull || how == behavesBusy || r.busy >= r.slots {
		return false
	}
	r.busy++
	r.executed++
	return true
}

func (r *Replica) finish() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.busy--
}

// occupied tells how many of its slots are taken.
func (r *Replica) occupied() (busy, slots int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.busy, r.slots
}

// isRejecting reports whether it refuses every request.
func (r *Replica) isRejecting() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.behaviour != behavesWell
}

// reject promises that the request has not run.
func reject(rw http.ResponseWriter, how behaviour) {
	rw.Header().Set("Not-Executed", "1")
	if how == behavesBusy {
		rw.WriteHeader(http.StatusTooManyRequests)
		return
	}
	rw.WriteHeader(http.StatusServiceUnavailable)
}

func sleepUntilCancelled(q *http.Request, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-q.Context().Done():
	}
}

func sealOf(id string) string { return "seal-" + id }

func answerTo(id string) string { return "the answer to " + id }
