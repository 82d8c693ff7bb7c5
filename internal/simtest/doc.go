// Package simtest is a test harness: it runs real controllers and routers on simulated time and checks what they do
// against rules. No program imports it.
//
// A [Simulation] has an in-memory network with delay, partitions and resets, in-memory disks with faults, and stand-ins
// for the platform's list, replicas, the operator and clients. The stand-ins judge what they see; docs/judge.md lists
// the rules. A scenario (testdata/*.scn) is a text of one command a line, carried out by a [Script].
//
// Everything here must be called within the bubble of a testing/synctest test.
package simtest
