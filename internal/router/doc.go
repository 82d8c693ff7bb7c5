// Package router carries clients' requests to replicas: the traffic plane of one process.
//
// The way of a request, in the order of its files: accept.go (serve: readiness, framing, header), route.go (the steps of
// the matched route), body.go (read and accounted for), admit.go (deadline, service, prompt, long work), place.go (the one
// loop that chooses a replica and decides on the outcome of each attempt), attempt.go (connection, retry budget, send),
// receive.go (the parts of a response), relay.go (what of it goes to the client) and finish.go (what a router may
// truthfully say itself). offer.go is the way of a request that a peer runs, peer.go that of a peer's request.
//
// A [Router] owns the connections to replicas, the compiled configuration and everything derived from the view that
// controllers push (package distribution); all of it is in memory. Placement, health, prefixes, the retry budget and long
// work have their state in packages of their own.
package router
