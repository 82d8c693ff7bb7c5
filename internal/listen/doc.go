// Package listen opens the addresses that a process serves at, and keeps serving there.
//
// An address may be held for a time by somebody else: by the incarnation before this one while it drains, by an outgoing
// connection that was given its port, by a tool of the operator; or the interface may not have its address yet when the
// machine starts. Such an address is waited for, and what can be served meanwhile is. A process that ended instead would
// only be started again, into the same condition.
//
// The same holds for a failed accept: descriptors or buffers may be short for a moment.
package listen
