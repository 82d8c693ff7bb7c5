// Package simulation holds tests only: a deterministic simulation of a cluster of cores under seeded random faults, with monitors of the core's invariants and a check that the clients' histories are linearizable. See docs/random-schedules.md.
package simulation
