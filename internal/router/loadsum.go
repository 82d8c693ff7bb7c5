package router

import (
	"slices"
	"time"

	"shaletrestle/coord/wait"

	"shaletrestle/coord/loadsum"
	"shaletrestle/coord/rpc"
)

// sendLoadSums tells the relay what this process has waiting at the replicas, when it changed or its last word grows old.
func (r *Router) sendLoadSums() {
	var last []loadsum.Load
	var at time.Time
	wait.Every(r.ctx, loadSumInterval, func() bool {
		now, ps := time.Now(), r.placer.PendingPrefill()
		if slices.Equal(ps, last) && (len(ps) == 0 || now.Sub(at) < loadSumRepeat) {
			return true
		}
		last, at = ps, now
		r.follower.Send(&rpc.Message{Kind: rpc.LoadSums, From: r.follower.Self(), Body: loadsum.Encode(ps)})
		return true
	})
}

// receiveLoadSums takes the fleet's sum.
func (r *Router) receiveLoadSums(n *rpc.Message) {
	if n.Kind == rpc.LoadSums {
		r.placer.UpdateFleetLoad(loadsum.Decode(n.Body))
	}
}
