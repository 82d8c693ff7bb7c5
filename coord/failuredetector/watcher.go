// Package failuredetector lets many nodes watch each other at little cost:
// rendezvous hashing assigns each node a few others to ping, and a node that
// misses several pings in a row is reported as suspected.
package failuredetector

import (
	"context"
	"log/slog"
	"slices"
	"sort"
	"sync"
	"time"

	"shaletrestle/coord/wait"
)

// Pinger asks one node whether it is alive.
type Pinger func(node string) bool

// Watcher pings the nodes that are assigned to one node.
type Watcher struct {
	ctx      context.Context
	log      *slog.Logger
	self     string
	nodes    func() []string
	ping     Pinger
	report   func(node string, alive bool)
	interval time.Duration // between two rounds

	mu        sync.Mutex
	members   []string // the nodes that the assignment was computed for
	assigned  []string
	misses    map[string]int // pings missed in a row, by node
	suspected map[string]bool
}

// New makes a watcher. The function nodes lists all known nodes; report is
// called for a node that became suspected, that still is, or that came back.
func New(ctx context.Context, log *slog.Logger, self string, interval time.Duration, nodes func() []string, ping Pinger, report func(string, bool)) *Watcher {
	return &Watcher{
		ctx:       ctx,
		log:       log.With("part", "failuredetector"),
		self:      self,
		nodes:     nodes,
		ping:      ping,
		report:    report,
		interval:  interval,
		misses:    map[string]int{},
		suspected: map[string]bool{},
	}
}

// Run pings until the scope ends. Between two rounds the nodes that missed a
// ping are asked again, so that a lost one is known soon.
func (w *Watcher) Run() {
	nextRound := time.Now()
	for {
		nextRound = nextRound.Add(w.interval)
		if !w.retryUntil(nextRound) {
			return
		}
		if !wait.Sleep(w.ctx, time.Until(nextRound)) {
			return
		}
		if time.Until(nextRound) < -w.interval { // this process stood still
			nextRound = time.Now()
		}
		w.Round()
	}
}

// retryUntil asks the nodes that missed a ping again, several times before the
// next round; false if the scope ended.
func (w *Watcher) retryUntil(nextRound time.Time) bool {
	pause := w.interval / againPart
	for len(w.unconfirmed()) > 0 && time.Until(nextRound) > pause {
		if !wait.Sleep(w.ctx, pause) {
			return false
		}
		w.pingAll(w.unconfirmed())
	}
	return true
}

// Round pings every assigned node once.
func (w *Watcher) Round() {
	assigned := w.assignment()
	w.pingAll(assigned)
	w.mu.Lock()
	defer w.mu.Unlock()
	for node := range w.misses {
		if !slices.Contains(assigned, node) {
			delete(w.misses, node)
			delete(w.suspected, node)
		}
	}
}

// assignment lists the nodes to ping; it is computed again only when the
// membership changed.
func (w *Watcher) assignment() []string {
	members := w.nodes()
	w.mu.Lock()
	defer w.mu.Unlock()
	if !slices.Equal(members, w.members) {
		w.members = members
		w.assigned = WatchedBy(w.self, members, watchersEach)
	}
	return w.assigned
}

// unconfirmed lists the nodes that missed a ping, but are not suspected yet.
func (w *Watcher) unconfirmed() []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	var nodes []string
	for node := range w.misses {
		if !w.suspected[node] {
			nodes = append(nodes, node)
		}
	}
	return nodes
}

// pingAll pings nodes at the same time and waits for all results.
func (w *Watcher) pingAll(nodes []string) {
	var pings sync.WaitGroup
	for _, node := range nodes {
		pings.Go(func() { w.record(node, w.ping(node)) })
	}
	pings.Wait()
}

// record takes the result of a ping. A suspicion is reported in each round that
// it lasts: the receiver of the report may be gone too, or may still have
// thought the node connected.
func (w *Watcher) record(node string, alive bool) {
	before, after := w.update(node, alive)
	if after != before {
		w.log.Info("watched node", "node", node, "alive", alive)
	}
	if after || before {
		w.report(node, alive)
	}
}

// update counts the result of a ping and tells whether the node was suspected
// before and is now.
func (w *Watcher) update(node string, alive bool) (before, after bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	before = w.suspected[node]
	if alive {
		delete(w.suspected, node)
		delete(w.misses, node)
		return before, false
	}
	w.misses[node]++
	if w.misses[node] >= missesMost {
		w.suspected[node] = true
	}
	return before, w.suspected[node]
}

// Suspected lists the nodes that this watcher suspects now, in order.
func (w *Watcher) Suspected() []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	var nodes []string
	for node := range w.suspected {
		nodes = append(nodes, node)
	}
	sort.Strings(nodes)
	return nodes
}
