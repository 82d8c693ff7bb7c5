// Package discovery reads the platform's list of replicas and turns it into changes of the known state.
//
// It keeps no list: the known replicas belong to package state. A [Differ] remembers, in memory, how often a replica
// was missing; a restart forgets that, which delays a removal by one reading.
package discovery
