// Package longwork places the long work of a router: requests that run for many times their latency target and whose
// clients can wait (docs/long-work.md).
//
// Such a request is admitted among the long work that runs here, as far as that leaves interactive requests in time; or,
// while this router is overloaded, it is offered to a peer, which runs it and sends the response back. A [Coordinator] is
// the one owner of all state: the state machines of package handoff, what peers and replicas reported of themselves, and
// the requests in work. All of it is in memory, under one lock. It needs of its router what [Router] names; the router
// calls [Coordinator.Begin] for each long request and follows the [Work] that it returns.
package longwork
