// Package slowness finds out whether this machine has become slow. The evidence is the time that a small fixed piece of
// work takes, compared with its baseline, and how late timers fire; it is weighed against what other nodes report of
// themselves, so that a fleet in which all machines are slow goes on serving.
//
// A [Detector] is a pure state machine and not safe for concurrent use. A [Monitor] owns one, feeds it
// with measurements and is safe. The state is in memory; after a restart the baseline is learned anew, from a machine that
// may be slow by then.
package slowness
