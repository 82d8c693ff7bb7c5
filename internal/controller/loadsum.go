package controller

import (
	"time"

	"shaletrestle/coord/loadsum"
	"shaletrestle/coord/rpc"
	"shaletrestle/coord/wait"
	"shaletrestle/internal/state"
)

// addUp passes on what waits at the replicas, again and again: a relay tells the primary the sum of its own followers' words, the primary tells everybody what stands out in the sum of all.
func (c *Controller) addUp() {
	var seen *state.View
	var s *loadsum.Services
	told := false // something was spread the last time: an end of it is told too
	wait.Every(c.ctx, deckPush, func() bool {
		ps := c.deck.Total(time.Now())
		if !c.IsActivePrimary() {
			if told = false; len(ps) > 0 {
				c.follower.Send(c.deckNote(ps))
			}
			return true
		}
		if v := c.news.View(); v != seen {
			seen, s = v, services(v)
		}
		ps = loadsum.Excess(ps, s)
		if len(ps) > 0 || told {
			c.feed.Broadcast(c.deckNote(ps))
		}
		told = len(ps) > 0
		return true
	})
}

func (c *Controller) deckNote(ps []loadsum.Load) *rpc.Message {
	return &rpc.Message{Kind: rpc.LoadSums, From: c.replica.Self(), Body: loadsum.Encode(ps)}
}

func services(v *state.View) *loadsum.Services {
	s := &loadsum.Services{ByReplica: make(map[uint32]string, len(v.Replicas)), Replicas: map[string]int{}}
	for id, r := range v.Replicas {
		s.ByReplica[loadsum.Key(id)] = r.Pool
		s.Replicas[r.Pool]++
	}
	return s
}

// spread passes the primary's word on to this relay's followers.
func (c *Controller) spread(n *rpc.Message) {
	if n.Kind == rpc.LoadSums {
		c.feed.Broadcast(n)
	}
}
