// Package lease gives singleton roles (duties) to one process at a time. A lease is granted by a majority of grantors
// for a short time, counted from before it was asked for and given up before it ends (Gray and Cheriton, "Leases", 1989,
// with a majority in place of the one server).
//
// A process that may do a duty has a [Holder] and acts only while Held says so; the processes that decide have a
// [Grantor] each and pass rpc.Lease messages to its Handle.
//
// What holds: no two holders, of all processes, are told that they hold the same duty at the same time, whatever
// requests and answers are lost, late, repeated or reordered and whichever processes restart or stand still, as long as
//   - all holders are given the same grantors, or lists of which any two majorities meet; a list that changes otherwise
//     needs a pause of Duration in which nobody wants the lease;
//   - each grantor and holder has an ID of its own;
//   - no two clocks drift apart by more than the safety margin, 120 of 500 ms. Their time of day doesn't matter.
//
// The state of both types is in memory. A restarted grantor refuses until what it forgot has ended; a restarted holder
// holds nothing. Both are safe for concurrent use.
package lease
