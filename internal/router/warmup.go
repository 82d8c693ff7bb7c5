package router

import (
	"sync"

	"github.com/cespare/xxhash/v2"

	"shaletrestle/internal/state"
)

const (
	// warmupMargin is the part of warmup_per_s that the nodes share out.
	warmupMargin = 0.8
	// warmupNodes is how many nodes share a replica that is warming up: shared among all, each could send only fractions of a
	// request.
	warmupNodes = 3
)

// warmupShares is this process's share of what replicas bear while they warm up, for one set of nodes: for each replica a
// few nodes by rendezvous, the others none. It is safe for concurrent use.
type warmupShares struct {
	nodes     []string
	self      string
	fractions sync.Map // float64 by replica id; each computed once
}

func newWarmupShares(nodes []string, self string) *warmupShares {
	return &warmupShares{nodes: nodes, self: self}
}

// rate is how many requests a second this process may send to a replica that bears perSecond of the whole fleet.
func (s *warmupShares) rate(perSecond float64, id string) float64 {
	if len(s.nodes) == 0 {
		return perSecond * warmupMargin / defaultFleetSize
	}
	fraction, ok := s.fractions.Load(id)
	if !ok {
		fraction, _ = s.fractions.LoadOrStore(id, s.fraction(id))
	}
	return perSecond * warmupMargin * fraction.(float64)
}

// fraction is an equal part if this node is among the first for a replica, else none.
func (s *warmupShares) fraction(id string) float64 {
	sharing := min(warmupNodes, len(s.nodes))
	if rankOf(s.nodes, id, s.self) >= sharing {
		return 0
	}
	return 1 / float64(sharing)
}

// rankOf is a node's rank among all by rendezvous for a key; the number of nodes if it is not among them.
func rankOf(nodes []string, key, self string) int {
	own, rank, found := xxhash.Sum64String(key+self), 0, false
	for _, node := range nodes {
		switch hash := xxhash.Sum64String(key + node); {
		case node == self:
			found = true
		case hash > own || hash == own && node < self:
			rank++
		}
	}
	if !found {
		return len(nodes)
	}
	return rank
}

// modelKey names a model of a service.
type modelKey struct {
	service string
	model   string
}

// modelRevisions are the newest revisions of the models that replicas serve.
type modelRevisions map[modelKey]int64

func newModelRevisions(replicas map[string]*state.Replica) *modelRevisions {
	revisions := modelRevisions{}
	for _, replica := range replicas {
		for _, model := range replica.Models {
			key := modelKey{replica.Pool, model.Name}
			revisions[key] = max(revisions[key], model.Revision)
		}
	}
	return &revisions
}

// of is the revision of a model; 0 if no replica serves it.
func (m modelRevisions) of(service, model string) int64 { return m[modelKey{service, model}] }
