// Package core is the deterministic core of a replicated state machine: a primary writes to its backups, and a register
// at the witnesses, decided by prepare and accept, says who they are. It is primary-backup replication under a
// reconfigurable single-decree Paxos: each epoch has one view, chosen by a majority of the witnesses of the view before.
//
// # State machine
//
// Core is one member's part of the protocol. It is a pure state machine: Step takes one Event and gives the Effects that
// follow from it. There is no goroutine, lock, clock, random number, socket or file in it, so every run can be repeated
// exactly and explored exhaustively (docs/model-checking.md). The state of a Core lives in memory; what must outlast a
// restart is its Register, a Snapshot and the entries after it, which it hands out to be saved and gets back in Stored.
//
// # What the driver guarantees
//
//   - One caller at a time: a Core is not safe for concurrent use.
//   - Started comes first, and once. Tick comes at NextWake at the latest.
//   - now never goes back, and is measured from the start of the process. Deadlines of commands and reads are on that clock.
//   - The effects of a Step are carried out in their order, before those of the next Step.
//   - Disk jobs (SaveRegister, AppendEntry, SaveSnapshot) are done one after the other in the order given, and each ends
//     with a DiskDone once it is synced, or has failed. A job that takes longer than its time-out is reported by
//     DiskStalled first.
//   - A SaveSnapshot is atomic: after a crash the disk holds either the state before it or the new one.
//   - Send may lose, delay, repeat and reorder messages. It does not alter them.
//   - After a Result with the outcome Current the driver may read the state machine until it takes the next Step.
//   - A disk that was lost, or whose contents New rejects, comes back under a new MemberID: the identity stands for what
//     the disk has promised and acknowledged.
//
// # What the core guarantees
//
//   - At most one member, in one incarnation, is primary of an epoch.
//   - A committed entry is synced on every replica of its view, and every later view's replicas hold it.
//   - Every definite Outcome is linearizable; see Outcome.
//   - It stays safe under any loss, delay and repeat of messages and any pauses of processes, as long as no
//     more disks are lost at once than Config.MaxFailures. It goes on serving while a majority of the witnesses and
//     enough replicas are up and reach each other.
package core
