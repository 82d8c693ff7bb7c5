package controller

import (
	"shaletrestle/coord/wait"
	"shaletrestle/internal/discovery"
	"shaletrestle/internal/state"
)

// read does the duty of reading the list: at once when the lease comes, then again and again.
func (c *Controller) read() {
	for c.ctx.Err() == nil {
		pause := leaseAgain
		if c.IsActivePrimary() && (c.duty.Held() || c.duty.Renew()) {
			c.poll(false)
			pause = discovery.ListInterval
		}
		if !wait.Sleep(c.ctx, pause) {
			return
		}
	}
}

// poll reads the platform's list if the lease for it is held; the first time of a view it needs none.
func (c *Controller) poll(first bool) {
	source := c.source.Load()
	may := func() bool { return source != nil && c.source.Load() == source && (first || c.duty.Held()) }
	if !may() {
		return
	}
	c.polls.Inc()
	now, err := c.reader.Read(c.ctx)
	if err != nil {
		if c.fails.Inc()%16 == 1 {
			c.log.Warn("list not read", "part", "discovery", "err", err.Error())
		}
		return
	}
	c.polling.Lock()
	defer c.polling.Unlock()
	c.publishIf(may, func() state.Event {
		v := c.news.View()
		if changes := c.differ.Diff(v.Replicas, v.ReplicasKnown, now); changes != nil {
			return *changes
		}
		return nil
	})
}
