// Package soak runs the daemons as real processes on real sockets of this machine, under random faults that overlap, with
// their invariants on, and judges them also from outside: the history of the operators' calls, what clients were answered
// and what replicas ran. Only tests import it (docs/soak.md).
//
// A [Run] owns its processes, its stand-ins and a folder with their settings, data and logs. From its seed follow the
// faults, their times and what clients and operators send; how the processes interleave does not.
package soak
