// Package controller is the control plane of a zone: one process of it, made of the parts under coord/.
//
// Each process is a member of the replicated state machine (coord/replication), a relay of updates (coord/distribution)
// between the primary and the routers of its zone, and a grantor of leases (coord/lease). The member that the newest
// view of the replication names as primary also decides on the operator's changes, makes the updates, reads the
// platform's list, counts the fleet, weighs the routers' reports on replicas and lends retries.
//
// Who owns which state:
//
//   - On disk: the log, the snapshots and the register of the member, written by coord/replication alone. They survive
//     a restart. A process without a disk joins without a vote.
//   - Controller.replicated: configuration, evacuations and the history of changes. Only replication writes it.
//   - Controller.updates: what followers get, that is the above and replicas, fleet and controllers. Only the feed
//     writes it. It is in memory; after a restart the primary's snapshot fills it, or if this process is the primary,
//     the first reading of the list and the first followers.
//   - In memory only, and empty after a restart or a change of the primary: the fleet's members, reports on
//     replicas, sums of load, leases, loans. Each lives in a field of Controller that says who uses it.
//
// The way of a change of the configuration through this package: adminapi calls Controller.Commit, which proposes it
// (changes.go); once committed, replication applies it to Controller.replicated, whose listener publishes it
// (updates.go); Commit then waits for the followers' acknowledgements for a bounded time.
package controller
