package router

import (
	"slices"
	"time"

	"shaletrestle/coord/wait"

	"shaletrestle/coord/loadsum"
	"shaletrestle/coord/rpc"
)

// tellDeck tells the relay what this process has waiting at the replicas, when it changed or its last word grows old.
func (g *Router) tellDeck() {
	var last []loadsum.Load
	var at time.Time
	wait.Every(g.ctx, deckTell, func() bool {
		now, ps := time.Now(), g.yard.PendingPrefill()
		if slices.Equal(ps, last) && (len(ps) == 0 || now.Sub(at) < deckAgain) {
			return true
		}
		last, at = ps, now
		g.follower.Send(&rpc.Message{Kind: rpc.LoadSums, From: g.follower.Self(), Body: loadsum.Encode(ps)})
		return true
	})
}

// hearDeck takes the fleet's sum.
func (g *Router) hearDeck(n *rpc.Message) {
	if n.Kind == rpc.LoadSums {
		g.yard.UpdateFleetLoad(loadsum.Decode(n.Body))
	}
}
