// Package replication keeps a small state on a primary and its backups. A change counts only when all of them have synced it; a register at the witnesses, decided by prepare and accept, says who they are. Nothing else is replicated by majority.
//
// All decisions are taken by package core, which has no clock, socket, disk or goroutine. This package is its driver. A Member has two goroutines, both owned by Run: one steps the core and carries out the effects of each step in their order, the other carries out the disk jobs, so that a disk that stalls delays nothing else. Effects that take long report their end to the core as an event.
//
// # Guarantees
//
// An answer without an error, and the error of a decide function, are linearizable: they are given only after the state they speak of was confirmed, after the call began, by a majority of the view's witnesses. All other errors say that there is no clear answer, or that nothing was begun; each names which, see ErrNotPrimary and those after it. A change that was acknowledged survives the loss of Config.MaxFailures members with their disks, in at most Config.MaxDomainFailures failure domains.
//
// # Who may call
//
// Run is called once. All other exported methods of Member may be called from any goroutine, with two exceptions. What the stepping goroutine calls (the StateMachine, decide and inspect functions, Transport.Send, Config.OnBecomePrimary and Config.OnStepDown) must not call Propose, Read, Confirm or Leave, which wait for that goroutine. The StateMachine and decide functions must not call Members or State either, which take the lock that is held meanwhile. View, Witnesses, Primary, PrimaryEpoch, SincePrimaryContact and Self are for them too: they read what the last step published.
//
// Calls take a deadline, not a context: the core has to know it, since a change whose deadline has passed must not begin any more, and a call that is given up earlier has no clear answer either.
//
// # The path of a change
//
// Propose registers a call and queues a core.Command. The stepping goroutine hands it to Core.Step, which runs the decide function and returns the effects: AppendEntry for the disk goroutine, and a Send of core.Append to each backup. The end of the disk job comes back as core.DiskDone, the answer of a backup through Handle as core.Received. When the entry is synced on all replicas the core applies it and returns a core.Result, which goes to the call that has its token; outcomeError makes it the error that Propose returns.
//
// # State
//
// In memory: the core, the calls that wait, the events and disk jobs that are queued. On disk, written by the disk goroutine alone (and by Resetter.Reset in New): what the Store documents. A restart loses what is in memory: calls that waited have no clear answer, and a replica takes entries again only after it was given the state, or was found to have it, by the primary of a view.
package replication
