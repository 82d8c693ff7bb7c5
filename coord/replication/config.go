package replication

import (
	"shaletrestle/coord/invariant"
	"shaletrestle/coord/replication/core"
	"shaletrestle/coord/rpc"
)

// StateMachine is the state that is replicated. A Member calls Apply and Restore, and Snapshot, from its stepping goroutine only, one at a time, so that an implementation needs a lock only for its other readers; New calls Restore or Apply before it returns. All must return soon: nothing else is done meanwhile.
type StateMachine interface {
	// Apply changes the state by an entry that is synced on all replicas. It must depend on the state and the entry alone. The entry must not be changed.
	Apply(entry []byte)
	// Snapshot returns the complete state as bytes that Restore understands. They must not be changed afterwards.
	Snapshot() []byte
	// Restore replaces the state by a snapshot; an empty one is the first state. An error says that the snapshot is damaged; the state must be unchanged then.
	Restore(snapshot []byte) error
}

// Store is a member's disk; package store implements it on a file system, and NoDisk is the one of a member without a disk. Identity, BootstrapSeeds and Load are called by New; the others by the disk goroutine, one at a time. What a method returned for without an error is synced, names of files included.
type Store interface {
	// Identity returns the id of the disk, never zero, and whether the disk was made when the group was bootstrapped, so that it may take part in making the first view.
	Identity() (id uint64, bootstrap bool)
	// BootstrapSeeds returns the seeds with which the disk was made, if it was made when the group was bootstrapped. Config.Seeds may name others by now.
	BootstrapSeeds() []string
	// Load returns the contents of the disk when it was opened.
	Load() core.Stored
	// SaveRegister puts a register in place of the one before.
	SaveRegister(core.Register) error
	// SaveSnapshot puts a snapshot and the entries after it in place of snapshot and log: after a crash in the middle either the old state or the new one is found.
	SaveSnapshot(core.Snapshot, []core.Entry) error
	// Append adds an entry to the log. After an error no entry is taken until a snapshot was saved.
	Append(core.Entry) error
}

// Resetter is a Store that can become an empty disk. New calls Reset when the contents of the disk are intact but can't be used (core.ErrCorrupt); with any other Store it fails then.
type Resetter interface {
	// Reset discards everything and takes a new identity, which has no part in bootstrapping the group.
	Reset(reason string) error
}

// Transport carries messages to other members; Links is the one over rpc channels. Its methods may be called from any goroutine.
type Transport interface {
	// Send never blocks. The message may be lost, repeated or overtaken.
	Send(address string, message core.Message)
	// SetChannel names the channel on which a message from the member at an address arrived; later messages to it may use that channel.
	SetChannel(address string, channel *rpc.Channel)
}

// Config is what a member needs. Store, StateMachine and Transport must be set.
type Config struct {
	// Address is where other members reach this one, host:port; it is also its name in logs. Required.
	Address string
	// Zone is the failure domain of this member, or what FailureDomain maps to one.
	Zone string
	// Seeds are the addresses of the members that form the first view and that a new member asks; at the bootstrap the same for all. Required.
	Seeds []string
	// MaxFailures is the number of members that may be lost at once: a view is meant to have one replica more, and twice as many witnesses and one. 0: one member alone may be primary.
	MaxFailures int
	// MaxDomainFailures is the number of failure domains that may be lost at once. 0: members are not spread.
	MaxDomainFailures int
	// FailureDomain maps a zone to what it is lost with. nil: each zone by itself.
	FailureDomain func(zone string) string
	// Relay says that the member has no disk: it is neither replica nor witness and only learns the view. Its Store is a NoDisk.
	Relay bool
	// Store is the member's disk.
	Store Store
	// StateMachine is the state that is replicated.
	StateMachine StateMachine
	// Transport carries the messages to other members.
	Transport Transport
	// OnBecomePrimary is called when this member became primary, before anything else is done as primary. It must not block. nil: nothing.
	OnBecomePrimary func(epoch uint64)
	// Invariants takes violations of the invariants that the member checks. nil: they are not recorded.
	Invariants *invariant.Recorder
	// OnStepDown is called when this member is no longer primary. It must not block. nil: nothing.
	OnStepDown func()
}

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
