package controller

import (
	"shaletrestle/coord/loadsum"
	"shaletrestle/coord/rpc"
	"shaletrestle/internal/clock"
	"shaletrestle/internal/constants"
	"shaletrestle/internal/state"
)

// addUp passes on what waits at the replicas, again and again: a relay tells the primary the sum of its own followers' words, the primary tells everybody what stands out in the sum of all.
func (h *House) addUp() {
	var seen *state.View
	var s *loadsum.Services
	told := false // something was spread the last time: an end of it is told too
	clock.Every(h.sc, constants.DeckPush, func() bool {
		ps := h.deck.Total(clock.Now())
		if !h.live.Load() {
			if told = false; len(ps) > 0 {
				h.follower.Send(h.deckNote(ps))
			}
			return true
		}
		if v := h.news.View(); v != seen {
			seen, s = v, services(v)
		}
		ps = loadsum.Excess(ps, s)
		if len(ps) > 0 || told {
			h.feed.Spread(h.deckNote(ps))
		}
		told = len(ps) > 0
		return true
	})
}

func (h *House) deckNote(ps []loadsum.Pile) *rpc.Note {
	return &rpc.Note{Kind: rpc.Deck, From: h.member.Self(), Body: loadsum.Encode(ps)}
}

func services(v *state.View) *loadsum.Services {
	s := &loadsum.Services{Of: make(map[uint32]string, len(v.Replicas)), Size: map[string]int{}}
	for id, r := range v.Replicas {
		s.Of[loadsum.Key(id)] = r.Pool
		s.Size[r.Pool]++
	}
	return s
}

// spread passes the primary's word on to this relay's followers.
func (h *House) spread(n *rpc.Note) {
	if n.Kind == rpc.Deck {
		h.feed.Spread(n)
	}
}
