// Package upstream talks to replicas over connections that it owns, and never sends anything twice by itself.
//
// A [Pool] holds the connections to one incarnation of a replica and shares them out among their users; a [Connection]
// carries one [Request] at a time and gives its [Response] part by part; a [KeepAlive] is shared by the pools of a service.
// All state is in memory. What a caller may conclude of a request is in the attempt.State that Send and the last part
// of a response give.
package upstream
