package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// run is one request that a replica ran.
type run struct {
	replica string
	service string
	at      time.Time
	size    int
}

// arrival is a request that reached a replica.
type arrival struct {
	id string
	at time.Time
}

// replica is a sound replica: it runs up to slots requests at once, queues a few, and says so when it turns one away.
type replica struct {
	fleet   *fleet
	id      string
	service string
	zone    string
	address string
	slots   int
	queue   int
	work    time.Duration
	listed  bool   // guarded by the fleet's lock, as is state
	state   string // ready or draining

	mu      sync.Mutex
	waiting int
	arrived []arrival // requests that were not answered 421
	running chan struct{}
	runs    map[string][]run // by Attempt-Id
	number  int
}

// addReplica starts a replica at the address of a machine of its own.
func (f *fleet) addReplica(service string, machine, slots, queue int, work time.Duration) (*replica, error) {
	r := &replica{
		fleet:   f,
		id:      fmt.Sprintf("i-%s-%d", service, machine),
		service: service,
		zone:    zones[machine%3],
		address: f.at(machine, portReplica),
		slots:   slots,
		queue:   queue,
		work:    work,
		listed:  true,
		state:   "ready",
		running: make(chan struct{}, slots),
		runs:    map[string][]run{},
	}
	listener, err := net.Listen("tcp4", r.address)
	if err != nil {
		return nil, err
	}
	server := &http.Server{Handler: r}
	go func() { _ = server.Serve(listener) }()
	f.mu.Lock()
	f.replicas = append(f.replicas, r)
	f.mu.Unlock()
	f.closers = append(f.closers, func() { _ = server.Close() })
	return r, nil
}

func (r *replica) ServeHTTP(w http.ResponseWriter, request *http.Request) {
	if request.URL.Path == "/health" {
		w.Header().Set("Replica-Id", r.id)
		return
	}
	id := request.Header.Get("Attempt-Id")
	w.Header().Set("Attempt-Id", id)
	if expected := request.Header.Get("Expected-Replica"); id == "" || expected != "" && expected != r.id {
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	body, err := io.ReadAll(request.Body)
	if err != nil {
		return
	}
	r.mu.Lock()
	r.arrived = append(r.arrived, arrival{id, time.Now()})
	if r.waiting >= r.slots+r.queue {
		r.mu.Unlock()
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	r.waiting++
	r.mu.Unlock()
	defer func() {
		r.mu.Lock()
		r.waiting--
		r.mu.Unlock()
	}()
	select {
	case r.running <- struct{}{}:
	case <-request.Context().Done():
		return
	}
	defer func() { <-r.running }()
	r.mu.Lock()
	r.number++
	seal := fmt.Sprintf("%s.%d", r.id, r.number)
	r.runs[id] = append(r.runs[id], run{r.id, r.service, time.Now(), len(body)})
	r.mu.Unlock()
	select {
	case <-time.After(r.work):
	case <-request.Context().Done():
		return
	}
	w.Header().Set("Replica-Seal", seal)
	w.Header().Set("Content-Type", "application/json")
	fmt.Fprintf(w, "{\"service\":%q,\"id\":%q}", r.service, id)
}

// runsOf lists the runs of a request at all replicas.
func (f *fleet) runsOf(id string) []run {
	var all []run
	f.mu.Lock()
	replicas := append([]*replica{}, f.replicas...)
	f.mu.Unlock()
	for _, r := range replicas {
		r.mu.Lock()
		all = append(all, r.runs[id]...)
		r.mu.Unlock()
	}
	return all
}
