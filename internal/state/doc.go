// Package state is the state of the fleet as every process sees it: the operator's configuration, evacuated
// zones, the platform's list of replicas, and which nodes and controllers run.
//
// An [Event] is one change of it, a [View] the state after some events, a [Store] the newest view of one process.
// Two kinds of stores exist in a fleet:
//
//   - The store of the replicated state (Options.History), one on each control member. Its events are the entries of
//     the replicated log (package coord/replication): changes of the configuration and evacuations, each synced by
//     the primary and all its backups before Apply is called. Package replication writes log and snapshots to disk;
//     after a restart the store begins with the last snapshot and applies what is committed beyond it.
//   - The store of the updates that followers get (package coord/distribution), one on each controller and router. Its
//     events are those of the replicated state and those that only the primary makes: replicas, fleet, controllers,
//     suspects. It is in memory only; after a restart the first snapshot of the process that is followed fills it.
//
// The keys and kinds in the JSON of events and views are stored and sent between versions: they stay as they are,
// whatever the Go names above them (event_json.go, view_json.go).
package state
