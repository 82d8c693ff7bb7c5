// Package lookout lets many nodes watch each other cheaply: rendezvous hashing names for each node the few that it pings, and a node that misses several pings is reported as suspected.
package lookout

import (
	"slices"
	"sort"
	"sync"

	"github.com/cespare/xxhash/v2"

	"shaletrestle/plate"
	"shaletrestle/scope"
	"shaletrestle/tick"
)

// Pinger asks one node whether it is there.
type Pinger func(node string) bool

// Watcher pings its set of nodes.
type Watcher struct {
	sc             *scope.Scope
	self           string
	nodes          func() []string
	ping           Pinger
	tell           func(node string, alive bool)
	every          tick.Span
	mu             sync.Mutex
	miss           map[string]int
	said           map[string]bool
	known, watched []string // the nodes as they were last, and those of them that are watched
}

// New makes a watcher. nodes lists all known ones, tell hears of a node that became suspected or came back.
func New(sc *scope.Scope, self string, every tick.Span, nodes func() []string, ping Pinger, tell func(string, bool)) *Watcher {
	return &Watcher{sc: sc.Part("lookout"), self: self, nodes: nodes, ping: ping, tell: tell, every: every, miss: map[string]int{}, said: map[string]bool{}}
}

// weight mixes the hashes of two names, so that each name is hashed once and not once for every other.
func weight(a, b uint64) uint64 {
	x := a ^ (b<<32 | b>>32)
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// Set names the nodes that self watches: for every node the k with the highest weight watch it, so each is watched by k others and a change of membership moves few of them.
func Set(self string, nodes []string, k int) []string {
	h := make([]uint64, len(nodes))
	me := xxhash.Sum64String(self)
	for i, n := range nodes {
		h[i] = xxhash.Sum64String(n)
	}
	var out []string
	for i, n := range nodes {
		if n == self {
			continue
		}
		mine, before := weight(h[i], me), 0
		for j := 0; j < len(h) && before < k; j++ {
			if j != i && h[j] != me && weight(h[i], h[j]) > mine {
				before++
			}
		}
		if before < k {
			out = append(out, n)
		}
	}
	sort.Strings(out)
	return out
}

// set is Set for the nodes known now, worked out again only when they have changed.
func (w *Watcher) set() []string {
	now := w.nodes()
	w.mu.Lock()
	defer w.mu.Unlock()
	if !slices.Equal(now, w.known) || w.watched == nil {
		w.known, w.watched = now, Set(w.self, now, plate.WatchersEach)
	}
	return w.watched
}

// Run pings until the scope ends.
func (w *Watcher) Run() {
	tick.Every(w.sc, w.every, func() bool { w.Round(); return true })
}

// Round pings the set once.
func (w *Watcher) Round() {
	set := w.set()
	in := map[string]bool{}
	var wg sync.WaitGroup
	for _, n := range set {
		in[n] = true
		wg.Add(1)
		go func() {
			defer wg.Done()
			w.heard(n, w.ping(n))
		}()
	}
	wg.Wait()
	w.mu.Lock()
	defer w.mu.Unlock()
	for n := range w.miss {
		if !in[n] {
			delete(w.miss, n)
			delete(w.said, n)
		}
	}
}

func (w *Watcher) heard(n string, ok bool) {
	w.mu.Lock()
	say := false
	if ok {
		say = w.said[n]
		delete(w.said, n)
		delete(w.miss, n)
	} else if w.miss[n]++; w.miss[n] >= plate.MissesMost && !w.said[n] {
		w.said[n], say = true, true
	}
	w.mu.Unlock()
	if say {
		w.sc.Log().Info("watched node", "node", n, "alive", ok)
		w.tell(n, ok)
	}
}

// Suspected lists the nodes that this watcher suspects now.
func (w *Watcher) Suspected() []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	var out []string
	for n := range w.said {
		out = append(out, n)
	}
	sort.Strings(out)
	return out
}
