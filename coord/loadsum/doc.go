// Package loadsum tells every node how much work waits at each replica, summed over the fleet. Nodes tell their relay
// what they have sent and have not heard of yet, relays add it up, and what stands out comes back.
//
// A [Sum] adds up the newest reports of several sources and is safe for concurrent use; the rest are functions without
// state. The sum is a hint that ages within a second: reports have no sequence numbers and no acknowledgement, one that is
// lost is followed by the next, and a restart loses nothing that the next reports don't bring back.
package loadsum
