package controller

import (
	"encoding/json"
	"time"

	"shaletrestle/coord/distribution"

	"shaletrestle/coord/outlier"
	"shaletrestle/internal/state"
)

// hear takes what followers tell of replicas: the primary judges, others pass it on with their own acknowledgement.
func (c *Controller) hear(body []byte) {
	var ws []outlier.Report
	if len(body) == 0 || json.Unmarshal(body, &ws) != nil {
		return
	}
	if c.IsActivePrimary() {
		rs := c.news.View().Replicas
		c.jury.AddReports(ws, func(id string) string {
			if r := rs[id]; r != nil {
				return r.Pool
			}
			return ""
		}, time.Now())
		c.judge()
		return
	}
	c.mu.Lock()
	c.words = append(c.words, ws...)
	c.words = c.words[max(0, len(c.words)-wordsHeld):]
	c.mu.Unlock()
}

func (c *Controller) carry() []byte {
	c.mu.Lock()
	ws := c.words
	c.words = nil
	c.mu.Unlock()
	if len(ws) == 0 {
		return nil
	}
	b, _ := json.Marshal(ws)
	return b
}

// judge tells the fleet which replicas its experience makes suspect, when that changed or runs out, at most once a beat.
func (c *Controller) judge() {
	now := time.Now()
	c.mu.Lock()
	due := now.Sub(c.judged) >= distribution.HeartbeatInterval
	if due {
		c.judged = now
	}
	c.mu.Unlock()
	if !due || !c.IsActivePrimary() {
		return
	}
	size := map[string]int{}
	for _, r := range c.news.View().Replicas {
		size[r.Pool]++
	}
	if ids, news := c.jury.Evaluate(size, now); news {
		c.publish(state.UpdateSuspects{Replicas: ids})
	}
}
