package controller

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"go.uber.org/atomic"

	"shaletrestle/coord/wait"
	"shaletrestle/internal/discovery"
	"shaletrestle/internal/state"
)

const (
	// leaseRetryInterval is the pause before a process that does not hold the list lease looks again whether it should.
	leaseRetryInterval = 50 * time.Millisecond
	// failuresPerLog is how many failed readings make one line of the log: about one in 14 s, at [discovery.ListInterval]
	// each.
	failuresPerLog = 16
)

// replicaList reads the platform's list of replicas.
type replicaList struct {
	log      *slog.Logger
	reader   *discovery.Reader
	reads    atomic.Int64
	failures atomic.Int64
	empty    atomic.Int64 // listings without any replica
	readers  listReaders

	mu     sync.Mutex // held while a reading is compared and published: readings don't overtake each other
	differ *discovery.Differ
}

func newReplicaList(log *slog.Logger, reader *discovery.Reader) *replicaList {
	return &replicaList{
		log:    log.With("part", "discovery"),
		reader: reader,
		differ: discovery.NewDiffer(),
		readers: listReaders{
			roundTrips: map[string]time.Duration{},
			failedAt:   map[string]time.Time{},
		},
	}
}

// read reads the list from here.
func (l *replicaList) read(ctx context.Context) (*discovery.Listing, error) {
	l.reads.Inc()
	return l.reader.Read(ctx)
}

// reportEmpty counts an empty listing, and logs one of failuresPerLog.
func (l *replicaList) reportEmpty() {
	if empty := l.empty.Inc(); empty%failuresPerLog == 1 {
		l.log.Warn("replica list is empty", "listings", empty)
	}
}

// readListWhileHeld reads the list as soon as the lease is granted, then each [discovery.ListInterval] while it is held.
func (c *Controller) readListWhileHeld() {
	for c.ctx.Err() == nil {
		pause := leaseRetryInterval
		// Renew asks for the lease now: the holder's own next renewal may be later.
		if c.IsActivePrimary() && (c.listLease.Held() || c.listLease.Renew()) {
			c.readList(c.listLease.Held)
			pause = discovery.ListInterval
		}
		if !wait.Sleep(c.ctx, pause) {
			return
		}
	}
}

// readList reads the list and publishes its changes. It publishes nothing if, by then, another epoch began here or the
// condition no longer holds: a reading that took long must not undo a newer one.
func (c *Controller) readList(holds func() bool) {
	source := c.source.Load()
	allowed := func() bool { return source != nil && c.source.Load() == source && holds() }
	if !allowed() {
		return
	}
	listed, err := c.readListNearby()
	if err != nil {
		if failures := c.list.failures.Inc(); failures%failuresPerLog == 1 {
			c.list.log.Warn("cannot read replica list", "failures", failures, "error", err.Error())
		}
		return
	}
	if len(listed) == 0 {
		c.list.reportEmpty()
	}
	c.list.mu.Lock()
	defer c.list.mu.Unlock()
	c.publishIf(allowed, func() state.Event {
		view := c.updates.View()
		if changes := c.list.differ.Diff(view.Replicas, view.ReplicasKnown, listed); changes != nil {
			return *changes
		}
		return nil
	})
}
