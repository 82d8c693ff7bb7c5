package controller

import (
	"log/slog"

	"go.uber.org/atomic"

	"shaletrestle/coord/distribution"
	"shaletrestle/coord/invariant"
	"shaletrestle/coord/replication"
	"shaletrestle/internal/state"
)

// The invariants that a controller checks while it runs beside those of its parts (docs/invariants.md).
const (
	invariantReadOrder           invariant.Name = "read_order"           // a confirmed read is not older than what this process answered before the read began
	invariantAcknowledgedVisible invariant.Name = "acknowledged_visible" // an acknowledged change is in the state
)

func newInvariants(log *slog.Logger) *invariant.Recorder {
	return invariant.NewRecorder(log, distribution.InvariantUpdateOrder, replication.InvariantViewOrder,
		replication.InvariantSinglePrimary, invariantReadOrder, invariantAcknowledgedVisible)
}

// Invariants are those that this controller checks, with their violations.
func (c *Controller) Invariants() *invariant.Recorder { return c.invariants }

// answeredRevision is the newest revision that this process has told an operator of: acknowledged, or read after it was
// confirmed. Its zero value is ready; it is safe for concurrent use.
type answeredRevision struct{ newest atomic.Int64 }

// raise records an answer.
func (a *answeredRevision) raise(revision int64) {
	for {
		newest := a.newest.Load()
		if revision <= newest || a.newest.CompareAndSwap(newest, revision) {
			return
		}
	}
}

// checkAcknowledged checks that a change that is about to be acknowledged is in the state.
func (c *Controller) checkAcknowledged(event state.Event) {
	change, ok := event.(state.ConfigEvent)
	if !ok {
		return
	}
	revision := c.replicated.View().Config.Revision
	c.invariants.Check(revision > change.BaseRevision(), invariantAcknowledgedVisible, "base", change.BaseRevision(), "config_revision", revision)
	c.answered.raise(change.BaseRevision() + 1) // the change's own revision is at least that
}

// checkRead checks the result of a read against what had been answered when it began.
func (c *Controller) checkRead(view *state.View, answeredBefore int64) {
	revision := view.Config.Revision
	c.invariants.Check(revision >= answeredBefore, invariantReadOrder, "answered_before", answeredBefore, "config_revision", revision)
	c.answered.raise(revision)
}
