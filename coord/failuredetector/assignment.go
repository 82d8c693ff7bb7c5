package failuredetector

import (
	"sort"

	"github.com/cespare/xxhash/v2"
)

// WatchedBy lists, in order, the nodes among all nodes that self watches. It is rendezvous
// hashing: for every node, the given number of other nodes with the highest
// weight watch it. So each node is watched by that many others, and a change of
// the membership moves few assignments.
func WatchedBy(self string, nodes []string, watchers int) []string {
	var watched []string
	var weights weigher
	for _, node := range nodes {
		if node == self {
			continue
		}
		weights.reset(node)
		if weights.isWatcher(self, nodes, watchers) {
			watched = append(watched, node)
		}
	}
	sort.Strings(watched)
	return watched
}

// weigher computes the weights of the possible watchers of one node.
type weigher struct {
	node   string
	key    []byte // the node's name, a separator and the watcher's name
	prefix int    // length of the key without the watcher's name
}

// reset prepares for another node and keeps the buffer.
func (w *weigher) reset(node string) {
	w.node = node
	w.key = append(w.key[:0], node...)
	w.key = append(w.key, 0)
	w.prefix = len(w.key)
}

func (w *weigher) weight(watcher string) uint64 {
	w.key = append(w.key[:w.prefix], watcher...)
	return xxhash.Sum64(w.key)
}

// isWatcher reports whether self is among the watchers of the node. The other
// nodes are looked at only until enough of them outweigh self, which is about
// watchers x ln(nodes) of them on average.
func (w *weigher) isWatcher(self string, nodes []string, watchers int) bool {
	own := w.weight(self)
	heavier := 0
	for _, other := range nodes {
		if heavier >= watchers {
			return false
		}
		if other == w.node || other == self {
			continue
		}
		if w.weight(other) > own {
			heavier++
		}
	}
	return heavier < watchers
}
