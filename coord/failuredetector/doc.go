// Package failuredetector lets many nodes watch each other at little cost: rendezvous hashing (Thaler and Ravishankar,
// 1998) assigns each node a few others to ping, and a node that misses several pings in a row is reported as suspected.
//
// What holds, while all nodes know the same list: each node is watched by two others (or all, if there are fewer), each
// watches about two, and a change of the list moves few assignments. A suspicion is no proof: the node may run and only
// be unreachable from its watcher. Whoever receives the reports decides what to do, and must bound it.
//
// A [Watcher] owns its counts of missed pings, in memory; a restart loses them, and reports a lost node again after as
// many misses. It is safe for concurrent use.
package failuredetector
