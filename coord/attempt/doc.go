// Package attempt keeps what is known of a call that may be allowed to run only once: the [State] of each send, and the
// [History] of all sends of one attempt. Whoever sends, retries or hands over such a call asks this package and nothing
// else whether the call may have run.
//
// An answer of "may not have run" is certain; everything unclear counts as "may have run". Both types are values in
// memory without locks: a history belongs to one goroutine, and what is lost with it must be taken as run.
package attempt
