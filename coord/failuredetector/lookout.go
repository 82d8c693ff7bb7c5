// Package failuredetector lets many nodes watch each other cheaply: rendezvous hashing names for each node the few that it pings, and a node that misses several pings is reported as suspected.
package failuredetector

import (
	"slices"
	"sort"
	"sync"

	"github.com/cespare/xxhash/v2"

	"shaletrestle/internal/clock"
	"shaletrestle/internal/constants"
	"shaletrestle/internal/task"
)

// Pinger asks one node whether it is there.
type Pinger func(node string) bool

// Watcher pings its set of nodes.
type Watcher struct {
	sc    *task.Scope
	self  string
	nodes func() []string
	ping  Pinger
	tell  func(node string, alive bool)
	every clock.Span
	mu    sync.Mutex
	known []string // the nodes that set was named for
	set   []string
	miss  map[string]int
	said  map[string]bool
}

// New makes a watcher. nodes lists all known ones, tell hears of a node that became suspected or came back.
func New(sc *task.Scope, self string, every clock.Span, nodes func() []string, ping Pinger, tell func(string, bool)) *Watcher {
	return &Watcher{sc: sc.Part("failuredetector"), self: self, nodes: nodes, ping: ping, tell: tell, every: every, miss: map[string]int{}, said: map[string]bool{}}
}

// Set names the nodes that self watches: for every node the k with the highest weight watch it, so each is watched by k others and a change of membership moves few of them.
// A node's others are looked at only until k of them outweigh self, which is about k x ln n of them on average.
func Set(self string, nodes []string, k int) []string {
	var out []string
	var buf []byte
	for _, n := range nodes {
		if n == self {
			continue
		}
		buf = append(append(buf[:0], n...), 0)
		head := len(buf)
		weight := func(o string) uint64 {
			buf = append(buf[:head], o...)
			return xxhash.Sum64(buf)
		}
		mine, before := weight(self), 0
		for i := 0; i < len(nodes) && before < k; i++ {
			if o := nodes[i]; o != n && o != self && weight(o) > mine {
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

// watched is the set for the nodes known now; it is named again only when they changed.
func (w *Watcher) watched() []string {
	ns := w.nodes()
	w.mu.Lock()
	defer w.mu.Unlock()
	if !slices.Equal(ns, w.known) {
		w.known, w.set = ns, Set(w.self, ns, constants.WatchersEach)
	}
	return w.set
}

// Run pings until the scope ends. Between two rounds the nodes that missed a ping are asked again, so that a lost one is known soon.
func (w *Watcher) Run() {
	part := w.every / constants.AgainPart
	for next := clock.Now(); ; {
		next = next.Add(w.every)
		for len(w.doubted()) > 0 && clock.Until(next) > part {
			if !clock.Rest(w.sc, part) {
				return
			}
			w.ask(w.doubted())
		}
		if !clock.Rest(w.sc, clock.Until(next)) {
			return
		}
		if clock.Until(next) < -w.every { // this process stood still
			next = clock.Now()
		}
		w.Round()
	}
}

// Round pings the set once.
func (w *Watcher) Round() {
	set := w.watched()
	w.ask(set)
	w.mu.Lock()
	defer w.mu.Unlock()
	for n := range w.miss {
		if !slices.Contains(set, n) {
			delete(w.miss, n)
			delete(w.said, n)
		}
	}
}

// doubted lists those that missed, but are not suspected yet.
func (w *Watcher) doubted() (out []string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for n := range w.miss {
		if !w.said[n] {
			out = append(out, n)
		}
	}
	return
}

func (w *Watcher) ask(set []string) {
	var wg sync.WaitGroup
	for _, n := range set {
		wg.Add(1)
		go func() {
			defer wg.Done()
			w.heard(n, w.ping(n))
		}()
	}
	wg.Wait()
}

// heard notes a ping. A suspicion is told each round that it lasts: who was told may have gone too, or still have thought the node connected.
func (w *Watcher) heard(n string, ok bool) {
	w.mu.Lock()
	was := w.said[n]
	if ok {
		delete(w.said, n)
		delete(w.miss, n)
	} else if w.miss[n]++; w.miss[n] >= constants.MissesMost {
		w.said[n] = true
	}
	now := w.said[n]
	w.mu.Unlock()
	if now != was {
		w.sc.Log().Info("watched node", "node", n, "alive", ok)
	}
	if now || was {
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
