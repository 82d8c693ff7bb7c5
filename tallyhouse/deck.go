package tallyhouse

import (
	"shaletrestle/crew"
	"shaletrestle/deck"
	"shaletrestle/tick"
)

// addUp passes on what waits at the replicas: a relay tells the primary of its own followers, the primary tells everybody of all.
func (h *House) addUp() {
	ps := h.deck.Total(tick.Now())
	if len(ps) == 0 {
		return
	}
	n := &crew.Note{Kind: crew.Deck, From: h.member.Self(), Body: deck.Encode(ps)}
	if h.live.Load() {
		h.feed.Spread(n)
		return
	}
	h.follower.Send(n)
}

// spread passes the primary's sum on to this relay's followers.
func (h *House) spread(n *crew.Note) {
	if n.Kind == crew.Deck {
		h.feed.Spread(n)
	}
}
