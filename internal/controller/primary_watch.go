package controller

import (
	"time"

	"shaletrestle/coord/rpc"
	"shaletrestle/coord/wait"
)

const (
	// primaryWatchInterval is how often it is looked whether a primary is known.
	primaryWatchInterval = 1 * time.Second
	// firstWaitReport is how long no primary must be known before that is logged: a takeover is over by then. The time to
	// each later line is twice as long, up to maxWaitReport.
	firstWaitReport = 3 * time.Second
	maxWaitReport   = 60 * time.Second
)

// primaryWatch tells when a line is due on how long no primary has been known.
type primaryWatch struct {
	since time.Time // zero: one is known
	due   time.Time
	pause time.Duration
}

// look takes whether a primary is known; due says that a line is due on the time without one, and returned that one is
// known again after at least one such line.
func (w *primaryWatch) look(known bool, now time.Time) (without time.Duration, due, returned bool) {
	if known {
		returned = w.pause > firstWaitReport
		without = now.Sub(w.since)
		*w = primaryWatch{}
		return without, false, returned
	}
	if w.since.IsZero() {
		*w = primaryWatch{since: now, due: now.Add(firstWaitReport), pause: firstWaitReport}
	}
	if now.Before(w.due) {
		return now.Sub(w.since), false, false
	}
	w.pause = min(2*w.pause, maxWaitReport)
	w.due = now.Add(w.pause)
	return now.Sub(w.since), true, false
}

// watchPrimary logs while no primary is known: for how long, and whom this member waits for.
func (c *Controller) watchPrimary() {
	watch := &primaryWatch{}
	wait.Every(c.ctx, primaryWatchInterval, func() bool {
		_, known := c.member.Primary()
		without, due, returned := watch.look(known, time.Now())
		switch {
		case due:
			c.log.Warn("no primary is known", c.waitingFor(without)...)
		case returned:
			c.log.Info("a primary is known again", "without_ms", without.Milliseconds())
		}
		return true
	})
}

// waitingFor are the keys of the line: before the first view it is the seeds that must answer, afterwards a majority of
// the view's witnesses and a member that may lead.
func (c *Controller) waitingFor(without time.Duration) []any {
	member := c.member.State()
	keys := []any{
		"without_ms", without.Milliseconds(), "members_known", addressesOf(c.member.Members()),
		"joined", member.Joined, "disk_stalled", member.DiskStalled, "max_failures", member.MaxFailures,
	}
	if member.View == nil {
		return append(keys, "waits_for", "first view", "seeds", c.settings.SeedMembers(), "bootstrap", c.settings.Bootstrap)
	}
	return append(keys, "waits_for", "primary or next view", "epoch", member.View.Epoch, "primary", member.View.Primary.Address,
		"witnesses", addressesOf(c.member.Witnesses()), "primary_contact_ms", c.member.SincePrimaryContact().Milliseconds())
}

func addressesOf(members []rpc.Member) []string {
	addresses := make([]string, 0, len(members))
	for _, member := range members {
		addresses = append(addresses, member.Address)
	}
	return addresses
}
