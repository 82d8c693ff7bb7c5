// Package replication keeps a small state on a primary and its backups. A change counts only when all of them have synced it; a register at the witnesses, decided by prepare and accept, says who they are. Nothing else is replicated by majority.
//
// All decisions are taken by package core, which has no clock, socket, disk or goroutine. This package is its driver: one goroutine steps the core, one writes to the disk, and the effects of each step are carried out in their order.
package replication

import (
	"shaletrestle/coord/replication/core"
	"shaletrestle/coord/rpc"
)

// StateMachine is the state that is kept. Its methods are called by the stepping goroutine only.
type StateMachine interface {
	Apply(entry []byte)
	Snapshot() []byte
	Restore(snapshot []byte) error // an empty snapshot is the first state
}

// Store is a member's disk. What a method returned for without an error is synced, names of files included.
type Store interface {
	Identity() (id uint64, bootstrap bool)
	BootstrapSeeds() []string // of the bootstrap, if the disk was made at that; the settings may name others by now
	Load() core.Stored
	SaveRegister(core.Register) error
	// SaveSnapshot puts a whole state in place of the one before: after a crash in the middle either the old state or the new one is found.
	SaveSnapshot(core.Snapshot, []core.Entry) error
	Append(core.Entry) error
}

// Resetter is a Store that can become an empty disk. A Member calls Reset when what the disk holds is intact but can't be used, as after core.ErrCorrupt; with any other Store, New fails then.
type Resetter interface {
	// Reset discards everything and takes a new identity, which has no part in bootstrapping the group.
	Reset(reason string) error
}

// Transport carries messages to other members.
type Transport interface {
	// Send never blocks; the message may be lost.
	Send(address string, message core.Message)
	// SetChannel names the channel on which a message from the member at an address arrived; later messages to it may use that channel.
	SetChannel(address string, channel *rpc.Channel)
}

// Config is what a member needs.
type Config struct {
	Address           string
	Zone              string
	Seeds             []string                 // addresses; at the bootstrap the same for all
	MaxFailures       int                      // members that may be lost at once; 0: one member alone may be primary
	MaxDomainFailures int                      // areas that may be lost at once
	FailureDomain     func(zone string) string // what a zone is lost with; nil: each zone by itself
	Relay             bool                     // it has no disk: it holds nothing, witnesses nothing and only learns the view
	Store             Store
	StateMachine      StateMachine
	Transport         Transport
	OnBecomePrimary   func(epoch uint64) // this member became primary; called before anything else is done as primary
	OnStepDown        func()             // this member is no longer primary
}

// machineAdapter gives a state machine the names that the core knows.
type machineAdapter struct{ machine StateMachine }

func (a machineAdapter) Apply(entry []byte)            { a.machine.Apply(entry) }
func (a machineAdapter) Snapshot() []byte              { return a.machine.Snapshot() }
func (a machineAdapter) Restore(snapshot []byte) error { return a.machine.Restore(snapshot) }

func rpcMember(m core.Member) rpc.Member {
	return rpc.Member{ID: uint64(m.ID), Address: m.Address, Zone: m.Zone}
}

func rpcMembers(members []core.Member) []rpc.Member {
	out := make([]rpc.Member, len(members))
	for i, member := range members {
		out[i] = rpcMember(member)
	}
	return out
}
