// Package handoff moves long work between the processes of a fleet: who owns a job, who may run it, and what is known of a
// run when messages are lost, repeated or late and processes freeze or die.
//
// Its state machines ([Owner], [Taker] and [Queue]) step on messages and on a monotonic clock, given as the time since some
// start, and do no input or output: they return [Effect] values for their caller to carry out. All state is in memory. A
// process that restarts begins with a new incarnation, and knows nothing of the jobs of the last one.
package handoff
