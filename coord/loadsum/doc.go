// Package loadsum lets every node know how much work waits at each replica, summed over the fleet. Nodes report
// to their relay the prompts that they have sent and that no answer has begun to yet; relays add them up, and what stands
// out is sent back to the nodes.
//
// A [Sum] adds up the newest reports of several sources and is safe for concurrent use; the rest are functions without
// state. The sum is a hint that ages within a second: reports have no sequence numbers and no acknowledgement, one that is
// lost is followed by the next, and a restart loses nothing that the next reports don't bring back.
package loadsum
