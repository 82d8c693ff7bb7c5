// Package store keeps the records of a member of a replicated state on its disk: the identity of the disk, the register of a witness, and a state as a snapshot and the log of entries after it.
//
// # Guarantees
//
// What a method has reported as saved survives any loss of power, and so does what Load returns after Open. What was under way may be found afterwards or not, but never in part. Nothing older ever takes the place of something that was saved: if that can't be read any more, the disk counts as damaged and becomes an empty disk with a new identity, so that the other members don't count it as a replica that still has the lost entries, or as a witness that keeps its promises. The argument is in docs/disk.md.
//
// # Who may call
//
// A Store is used by one goroutine at a time; package replication has one for it. A data directory is used by one Store at a time: a process takes it with LockDirectory before it opens it.
//
// # State
//
// On disk, in the data directory: the files "identity", "register-<id>", "snapshot-<id>-<n>" and the directory "log-<id>-<n>", where <id> is the disk's id and <n> the generation of the state; names that end in ".new" are unfinished and count for nothing. In memory: what was found at the start, the position of the last entry and the open log. A restart loses nothing that was reported as saved.
package store
