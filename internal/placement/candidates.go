package placement

import (
	"math/rand/v2"

	"shaletrestle/internal/prefixindex"
)

const (
	// randomCandidates is the number of random candidates, half of them from the own zone.
	randomCandidates = 4
	// maxDraws bounds the draws for one random candidate before all replicas are looked through.
	maxDraws = 12
	// drawsPerReplica bounds them too: a short list is soon drawn through.
	drawsPerReplica = 4
)

// candidate is a replica that is weighed.
type candidate struct {
	replica        *replicaState
	matchedTokens  int // of the prompt, that the index says it holds
	expectedTokens int // that it is expected to hold for what other nodes sent there
	cost           float64
}

// matched is what a candidate is believed or expected to hold.
func (c *candidate) matched() int { return max(c.matchedTokens, c.expectedTokens) }

// candidateSet is a few candidates in the order in which they were found, each replica once. It lives on the stack.
type candidateSet struct {
	count int
	items [homesPerChain + prefixindex.MaxHolders + randomCandidates]candidate
}

// add gives the candidate of a replica, a new one if it is none yet; nil if the set is full.
func (s *candidateSet) add(replica *replicaState) *candidate {
	for i := range s.count {
		if s.items[i].replica == replica {
			return &s.items[i]
		}
	}
	if s.count == len(s.items) {
		return nil
	}
	s.items[s.count] = candidate{replica: replica}
	s.count++
	return &s.items[s.count-1]
}

// gather finds the candidates of a prompt: homes, those that the index names, and a few at random.
func (s *selection) gather(set *candidateSet) {
	s.addHomes(set)
	if len(s.pool.open) <= len(set.items) { // so few that all are
		for _, replica := range s.pool.open {
			if s.isWarmedUp(replica) {
				set.add(replica)
			}
		}
		return
	}
	s.addHolders(set)
	s.addRandom(set)
	if set.count == 0 {
		if replica := s.scan(s.pool.open); replica != nil {
			set.add(replica)
		}
	}
}

// addHomes adds the first homes that may be used, the best first. The first is expected to hold all that the prompt
// shares with others, since all nodes send such prompts there.
func (s *selection) addHomes(set *candidateSet) {
	var top [homesPerChain]ranked
	key := s.request.Chain.SharedKey()
	n := 0
	for _, replica := range s.pool.homes.bucket(key, s.pool.all) {
		if s.isWarmedUp(replica) {
			n = insertRanked(top[:], n, ranked{replica, rank(uint64(key), replica)})
		}
	}
	for i, home := range top[:n] {
		added := set.add(home.replica)
		if shared := s.request.Chain.SharedParts(); shared > 0 && i == 0 {
			added.expectedTokens = s.options.roundToBlocks(s.request.Chain.PrefixTokens[shared-1])
		}
	}
}

// addHolders adds replicas that hold most of the prompt by the index.
func (s *selection) addHolders(set *candidateSet) {
	var holders [prefixindex.MaxHolders]string
	for _, id := range s.index.Holders(s.request.Chain, holders[:0], s.mayHold) {
		set.add(s.replicas[id])
	}
}

func (s *selection) mayHold(id string) bool {
	replica := s.replicas[id]
	return replica != nil && replica.listed.Pool == s.request.Pool && s.isWarmedUp(replica)
}

// addRandom adds replicas drawn from the own zone and from all, in turns.
func (s *selection) addRandom(set *candidateSet) {
	for i := range randomCandidates {
		from := s.pool.open
		if near := s.pool.openByZone[s.request.Zone]; i%2 == 0 && len(near) > 0 {
			from = near
		}
		if replica := s.draw(from); replica != nil {
			set.add(replica)
		}
	}
}

// draw draws one that may be used from a list; nil if none was found in some draws.
func (s *selection) draw(replicas []*replicaState) *replicaState {
	for range min(maxDraws, drawsPerReplica*len(replicas)) {
		if replica := replicas[rand.IntN(len(replicas))]; s.isWarmedUp(replica) {
			return replica
		}
	}
	return nil
}

// scan looks through a whole list and draws one that may be used; it is needed only when hardly any may be.
func (s *selection) scan(replicas []*replicaState) *replicaState {
	var drawn *replicaState
	usable := 0
	for _, replica := range replicas {
		if !s.isWarmedUp(replica) {
			continue
		}
		usable++
		if rand.IntN(usable) == 0 {
			drawn = replica
		}
	}
	return drawn
}
