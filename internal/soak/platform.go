package soak

import (
	"encoding/json"
	"net"
	"net/http"
	"sync"
	"time"

	"shaletrestle/internal/state"
)

// replicaSlots is how many slots the platform lists for each replica.
const replicaSlots = 32

// platform is the stand-in for the platform's list of replicas, which runs platformLagMs behind.
type platform struct {
	listener net.Listener
	server   *http.Server

	mu       sync.Mutex // guards the fields below
	replicas []*replica
	history  []listing // oldest first; the first one is what is listed
	down     bool
}

// listing is the list at one time.
type listing struct {
	at       time.Time
	replicas []*state.Replica
}

func startPlatform(at string) (*platform, error) {
	listener, err := net.Listen("tcp4", at)
	if err != nil {
		return nil, err
	}
	p := &platform{listener: listener}
	p.server = &http.Server{Handler: p, ReadHeaderTimeout: time.Minute}
	go func() { _ = p.server.Serve(listener) }()
	return p, nil
}

// close frees the address. The server may not know its listener yet: it closes that only once it has begun to serve.
func (p *platform) close() {
	_ = p.listener.Close()
	_ = p.server.Close()
}

// change changes the replicas that are there.
func (p *platform) change(change func(replicas []*replica) []*replica) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.replicas = change(p.replicas)
}

// current are the replicas that are there.
func (p *platform) current() []*replica {
	p.mu.Lock()
	defer p.mu.Unlock()
	return append([]*replica{}, p.replicas...)
}

func (p *platform) setDown(down bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.down = down
}

// record takes a listing of the moment and drops those that are too old to be shown.
func (p *platform) record() {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := listing{at: time.Now()}
	for _, each := range p.replicas {
		listed := each.listedState()
		if listed == "" {
			continue
		}
		now.replicas = append(now.replicas, &state.Replica{
			ID: each.id, Pool: each.service, Address: address(each.ip, portReplica), Zone: each.zone, State: listed, Slots: replicaSlots,
		})
	}
	p.history = append(p.history, now)
	for len(p.history) > 1 && time.Since(p.history[1].at) >= platformLagMs*time.Millisecond {
		p.history = p.history[1:]
	}
}

// ServeHTTP answers GET /replicas in one page.
func (p *platform) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	p.mu.Lock()
	down, listed := p.down, []*state.Replica{}
	if len(p.history) > 0 {
		listed = append(listed, p.history[0].replicas...)
	}
	p.mu.Unlock()
	if down {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(map[string]any{"replicas": listed, "next_token": nil})
}
