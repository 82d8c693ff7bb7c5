// Package lease gives singleton roles (duties) to one process at a time. A lease is granted by a majority of grantors
// for a short time, counted from before it was asked for and given up before it ends (Gray and Cheriton, "Leases", 1989,
// with a majority in place of the one server).
//
// A process that may do a duty has a [Holder] and acts only while Held says so; the processes that decide have a
// [Grantor] each and pass rpc.Lease messages to its Handle.
//
// What holds: Held is never true at two holders of the same duty at the same time, in whichever processes, whatever
// requests and answers are lost, late, repeated or reordered and whichever processes restart or pause, as long as
//   - all holders are given the same grantors, or lists of which any two majorities meet; before a list changes
//     otherwise, nobody must have wanted the lease for Duration;
//   - each grantor and holder has an ID of its own;
//   - no two clocks drift apart by more than the safety margin, 120 of 500 ms. Time of day doesn't matter: only lengths
//     of time are compared.
//
// The state of both types is in memory. A restarted grantor refuses until the grants that it forgot have expired; a
// restarted holder holds nothing. Both are safe for concurrent use.
package lease
