// Package emulator emulates what the fleet serves, on loopback addresses and in real
// time: model replicas, the platform's list, the operator and clients. It starts real
// daemons in the same process, loads them and measures.
//
// [Run] carries out one [Experiment] (docs/emulator.md).
package emulator
