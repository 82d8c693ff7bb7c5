package replication

import (
	"shaletrestle/coord/invariant"
	"shaletrestle/coord/replication/core"
)

// The invariants that a member checks while it runs; Config.Invariants takes their violations.
const (
	// InvariantViewOrder is that the newest view known never becomes an older one.
	InvariantViewOrder invariant.Name = "view_order"
	// InvariantSinglePrimary is that no other member says that it is primary of the epoch that this one is primary of.
	InvariantSinglePrimary invariant.Name = "single_primary"
)

// checkReceived checks what another member says against what this one is, before it is handled.
func (m *Member) checkReceived(event core.Event) {
	received, ok := event.(core.Received)
	if !ok {
		return
	}
	heartbeat, ok := received.Message.(core.Heartbeat)
	if !ok || heartbeat.View == nil {
		return
	}
	epoch, isPrimary := m.PrimaryEpoch()
	if isPrimary && uint64(heartbeat.View.Epoch) == epoch && heartbeat.From.ID != m.self.ID {
		m.config.Invariants.Violated(InvariantSinglePrimary, "epoch", epoch, "self", m.self.Address, "other", heartbeat.From.Address)
	}
}

// checkView checks a newly published view against the one before it.
func (m *Member) checkView(before, after *core.View) {
	if before == nil || before == after {
		return
	}
	m.config.Invariants.Check(after != nil && after.Epoch >= before.Epoch, InvariantViewOrder, "before", before.Epoch)
}
