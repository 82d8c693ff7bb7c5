// Package slowness tells whether this machine has become slow. The evidence is the time that a small fixed piece of
// work takes, compared with its usual time, and how late timers fire; it is weighed against what other nodes report of
// themselves, so that a fleet that is slow as a whole goes on serving.
//
// A [Detector] is a pure state machine and not safe for concurrent use. A [Monitor] owns one, measures, and is. The state
// is in memory; after a restart the usual time is learned anew, from a machine that may be slow by then.
package slowness
