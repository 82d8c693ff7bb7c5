package controller

import (
	"time"

	"shaletrestle/coord/loadsum"
	"shaletrestle/coord/rpc"
	"shaletrestle/coord/wait"
	"shaletrestle/internal/state"
)

// loadInterval is how often a relay or the primary passes sums of load on (docs/coordination.md, "loadsum"; weighed by
// scores in docs/placement.md).
const loadInterval = 110 * time.Millisecond

// shareLoadSums passes on, until the context ends, what waits at the replicas: a relay sends the primary the sum
// of its own followers' reports, the primary broadcasts what stands out in the sum of all.
func (c *Controller) shareLoadSums() {
	var view *state.View
	var services *loadsum.Services // of view
	published := false             // loads were published the last time: their end is published too
	wait.Every(c.ctx, loadInterval, func() bool {
		loads := c.loadSums.Total(time.Now())
		if !c.IsActivePrimary() {
			published = false
			if len(loads) > 0 {
				c.follower.Send(c.loadMessage(loads))
			}
			return true
		}
		if newest := c.updates.View(); newest != view {
			view, services = newest, servicesOf(newest)
		}
		loads = loadsum.Excess(loads, services)
		if len(loads) > 0 || published {
			c.feed.Broadcast(c.loadMessage(loads))
		}
		published = len(loads) > 0
		return true
	})
}

func (c *Controller) loadMessage(loads []loadsum.Load) *rpc.Message {
	return &rpc.Message{Kind: rpc.LoadSums, From: c.member.Self(), Body: loadsum.Encode(loads)}
}

func servicesOf(view *state.View) *loadsum.Services {
	services := &loadsum.Services{ByReplica: make(map[uint32]string, len(view.Replicas)), Replicas: map[string]int{}}
	for id, replica := range view.Replicas {
		services.ByReplica[loadsum.Key(id)] = replica.Pool
		services.Replicas[replica.Pool]++
	}
	return services
}

// relayLoadSums passes the primary's loads on to this relay's followers.
func (c *Controller) relayLoadSums(message *rpc.Message) {
	if message.Kind == rpc.LoadSums {
		c.feed.Broadcast(message)
	}
}
