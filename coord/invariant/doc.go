// Package invariant checks at run time what must always hold: a program states a promise as a condition where it could
// break, and a [Recorder] counts the violations by name and logs the evidence. A violation never ends the program; tests
// and soak runs treat any as a failure.
//
// A recorder's state is in memory, and lost with the process. All methods are safe for concurrent use, and may be called
// on a nil recorder, which records nothing.
package invariant
