package placement

import (
	"math/rand/v2"

	"shaletrestle/internal/prefixindex"
)

const (
	// randomCandidates is the number of random candidates, half of them from the own zone.
	randomCandidates = 4
	// maxDraws bounds the draws for one random candidate: where so many fail, hardly any replica may be used.
	maxDraws = 12
	// drawsPerReplica bounds them for short lists, of which few draws hit every replica.
	drawsPerReplica = 4
)

// candidate is a replica whose cost is compared.
type candidate struct {
	replica        *replicaState
	matchedTokens  int // of the prompt, that it has cached according to the index
	expectedTokens int // that it is expected to have cached since other nodes send such prompts there
	cost           float64
}

// matched is the tokens of the prompt that a candidate is believed or expected to have cached.
func (c *candidate) matched() int { return max(c.matchedTokens, c.expectedTokens) }

// candidateSet is a few candidates in the order in which they were found, each replica once. It lives on the stack.
type candidateSet struct {
	count int
	items [homesPerChain + prefixindex.MaxHolders + randomCandidates]candidate
}

// add returns the candidate of a replica, added if it was not in the set; nil if the set is full.
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

// gather finds the candidates of a prompt: homes, those that the index names, and a few at random. If none of these may
// be used, it is any one that may.
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

// addHomes adds the first homes that may be used, the best first. The first is expected to have cached all that the
// prompt shares with others, since all nodes send such prompts there.
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

// addHolders adds the replicas that have most of the prompt cached according to the index.
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

// addRandom adds replicas drawn alternately from the own zone and from all.
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

// draw draws a replica that may be used from a list; nil if a bounded number of draws hit none.
func (s *selection) draw(replicas []*replicaState) *replicaState {
	for range min(maxDraws, drawsPerReplica*len(replicas)) {
		if replica := replicas[rand.IntN(len(replicas))]; s.isWarmedUp(replica) {
			return replica
		}
	}
	return nil
}

// scan draws one of the replicas of a list that may be used, each with the same chance; nil if there is none. It looks at
// all of them, so it is for when hardly any may be used.
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
