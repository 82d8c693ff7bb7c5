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

// Pinger asks one node whether it is alive. An answer that does not come in time is a no.
type Pinger func(node string) bool

// Watcher pings the nodes that are assigned to one node.
type Watcher struct {
	options Options
	log     *slog.Logger

	mu        sync.Mutex      // guards what follows
	members   []string        // the nodes that the assignment was computed for
	assigned  []string        // the nodes to ping, in order
	misses    map[string]int  // pings missed in a row, by node
	suspected map[string]bool // by node
}

// Options configure a watcher.
type Options struct {
	// Log takes one line for each change of a node's state. nil: nothing is logged.
	Log *slog.Logger
	// Self is this node's name among Nodes; a node never watches itself.
	Self string
	// Interval is the time between two rounds of pings. Required by Run.
	Interval time.Duration
	// Nodes lists all known nodes, Self included, in the same order as long as nothing changes. All nodes should
	// know the same list; while they don't, some are watched by too few. Required.
	Nodes func() []string
	// Ping asks one node. It bounds its own time: a round waits for all of its pings. It is called for several nodes
	// at a time. Required.
	Ping Pinger
	// Report is called for a node that became suspected, again in each round while it is, and once when it is back. It is called for several nodes at a time. Required.
	Report func(node string, alive bool)
}

// New returns a watcher, which does nothing until Run or Round.
func New(options Options) *Watcher {
	log := options.Log
	if log == nil {
		log = slog.New(slog.DiscardHandler)
	}
	return &Watcher{
		options:   options,
		log:       log.With("part", "failuredetector"),
		misses:    map[string]int{},
		suspected: map[string]bool{},
	}
}

// Run pings until the context ends. Between two rounds the nodes that missed a
// ping are pinged again, so that a lost one is reported within two
// rounds.
func (w *Watcher) Run(ctx context.Context) {
	interval := w.options.Interval
	nextRound := time.Now()
	for {
		nextRound = nextRound.Add(interval)
		if !w.retryUntil(ctx, nextRound) {
			return
		}
		if !wait.Sleep(ctx, time.Until(nextRound)) {
			return
		}
		if time.Until(nextRound) < -interval { // this process was paused: don't make up for the rounds it missed
			nextRound = time.Now()
		}
		w.Round()
	}
}

// retryUntil pings the nodes that missed a ping again, several times before the
// next round; false if the context ended.
func (w *Watcher) retryUntil(ctx context.Context, nextRound time.Time) bool {
	pause := w.options.Interval / retriesPerRound
	for len(w.unconfirmed()) > 0 && time.Until(nextRound) > pause {
		if !wait.Sleep(ctx, pause) {
			return false
		}
		w.pingAll(w.unconfirmed())
	}
	return true
}

// Round pings every assigned node once and waits for the results. It forgets nodes
// that are assigned no longer. Rounds are not to run at the same time.
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
	members := w.options.Nodes()
	w.mu.Lock()
	defer w.mu.Unlock()
	if !slices.Equal(members, w.members) {
		w.members = members
		w.assigned = WatchedBy(w.options.Self, members, watchersPerNode)
	}
	return w.assigned
}

// unconfirmed lists the nodes that missed a ping but are not suspected yet.
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
		pings.Go(func() { w.record(node, w.options.Ping(node)) })
	}
	pings.Wait()
}

// record takes the result of a ping. A suspicion is reported in each round that
// it lasts: the receiver may have been lost as well, or may have ignored the first
// report because the node still seemed connected to it.
func (w *Watcher) record(node string, alive bool) {
	before, after := w.update(node, alive)
	if after != before {
		w.log.Info("suspicion changed", "node", node, "suspected", after)
	}
	if after || before {
		w.options.Report(node, alive)
	}
}

// update counts the result of a ping and returns whether the node was suspected
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
	if w.misses[node] >= missesToSuspect {
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
