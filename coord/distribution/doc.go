// Package distribution pushes numbered updates from one source through relays to many followers, over connections
// that stay open, and counts who has acknowledged them.
//
// The processes form a tree. The source is its root; a relay follows another process and has followers of its own; an
// end follower has none. A follower's parent is the process that it is connected to, the source or a relay. A process is
// current while it is the source, or its parent has said within 1.2 s that it is current itself.
//
// A process that may become the source, or relays, has a [Feed] over its [State]; a process that only follows has a
// [Cursor] over its own. A [Follower] keeps either up to date from one parent at a time. The application passes
// messages of the kinds rpc.Subscribe and rpc.UpdateAck on to its feed (HandleSubscribe, HandleAck).
//
// What holds:
//   - Each update has a [Position], (epoch of the source, number in it), and a state never goes back in it, whichever
//     parents it follows. Updates are applied in order, once, without a gap; where one is missing, did not apply or
//     another epoch begins, the complete state is sent instead (a snapshot).
//   - At most one [Source] pushes to a feed. It ends with End, with the next Begin, and when the feed receives a snapshot
//     of a higher epoch. The caller must give an epoch to one process only (package replication does).
//   - A relay that is not current says so to its followers, which then look for another parent.
//   - A slow follower delays nobody: updates are sent to it as it acknowledges them, at most 64 ahead.
//
// The feed owns its state and all that is known of its followers, the cursor its state; both are in memory, and a
// restart loses them: the follower then asks for a snapshot. All types are safe for concurrent use; the methods of a
// State are called one at a time. Callbacks run with a lock held only where their comment says so.
package distribution
