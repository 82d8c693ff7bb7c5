// Package counter keeps counters on all members of a group, and lets each side of a network partition go on adding to
// them and reading them.
//
// A counter is the sum of the additions to it. An [Addition] carries an id of its own, and an id is counted once, at
// whatever member it is repeated. Additions commute, so that no agreement is needed: the state of a member is a
// grow-only set of additions ([Set]), and merging two members is the union of their sets (a state-based replicated data
// type with anti-entropy).
//
// Each incarnation of a member is an [Origin]: it numbers the additions that it takes from 1, and every member holds a
// prefix of the additions of each origin. What a member holds is therefore told by one number for each origin, its
// [Vector], and what another one lacks is the difference of two vectors.
//
// [Core] is the protocol as a deterministic state machine: events in, effects out, without a clock, a goroutine or a
// lock. Its owner, the driver, sends its messages, writes to the disk and calls [Core.Step] with what comes of it, one
// call at a time. What is in memory is rebuilt from the disk (package store) and from the other members.
//
// What holds:
//   - An addition is acknowledged only after it is synced on as many disks, in as many failure domains, as [Policy] asks
//     for. While a partition keeps those away, it is synced on all disks of the side ([Core.Step] with [AddRequested]).
//   - An addition that was rejected with [NotAdded] is nowhere and will never count. One that ended with [AddUnclear] may
//     count.
//   - A total contains all that this incarnation acknowledged. A member that lost its disk has no totals until it has
//     merged what others hold.
//   - Members that reach each other, directly or through others, come to hold the same set.
package counter
