// Package distribution pushes numbered updates from one source through relays to many followers, over connections
// that are held open, and counts who has taken them.
//
// A process that may become the source, or relays, has a [Feed] over its [State]; a process that only follows has a
// [Cursor] over its own. A [Follower] keeps either up to date from one source at a time. The application passes
// messages of the kinds rpc.Subscribe and rpc.UpdateAck on to its feed (HandleSubscribe, HandleAck).
//
// What holds:
//   - Each update has a [Position], (epoch of the source, number in it), and a state never goes back in it, whichever
//     sources it follows. Updates are applied in order, once, without a gap; where one is missing, did not apply or
//     another epoch begins, the whole state is sent instead (a snapshot).
//   - At most one [Source] pushes to a feed. Its right ends with End, with the next Begin, and when the feed hears of a
//     source with a higher epoch. That epochs are given to one process each is up to the caller (package replication).
//   - A relay that has not heard of the source for 1.2 s says so: nothing it has counts as current then, and its followers
//     look elsewhere.
//   - Nobody waits for a slow follower: updates are sent to it as it acknowledges them, at most 64 ahead.
//
// The feed owns its state and all that is known of its followers, the cursor its state; both are in memory, and a
// restart loses them: the follower asks for a snapshot then. All types are safe for concurrent use, the methods of a
// State are called one at a time. Functions that are given to this package are called with locks held where their
// comment says so.
package distribution
