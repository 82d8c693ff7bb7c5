package slowness

import "time"

// Interval is the time between two measurements; each costs a wake-up and some 10 us.
const Interval = 500 * time.Millisecond

// The measurement.
const (
	workBytes   = 8 << 10 // hashed as the piece of work: long against the clock's resolution
	workRepeats = 3       // times it is done; the quickest counts, so that being busy isn't taken for being slow
)

// What counts as evidence. A step is one measurement.
const (
	samplesForBaseline = 8                      // steps before a usual time is known
	baselineWeight     = 1.0 / 16               // weight of a step in the usual time
	slowFactor         = 3.0                    // times the usual that is evidence; machines that are well vary by 2
	recoveredFactor    = 2.0                    // times the usual below which a step counts as well again
	lateTimer          = 200 * time.Millisecond // a timer this late is evidence too; well ones are late by 1 ms
)

// What follows from it.
const (
	stepsToSlow           = 2 // steps in a row with evidence: one is chance
	stepsToRecover        = 4 // steps in a row that are well: a machine slow by turns keeps refusing
	stepsBeforePeersCount = 2 // steps after having turned slow before a peer's report counts: what slows all shows at all by then
	peerReportSteps       = 8 // steps for which a peer's report counts: three pings
	stepsToShed           = 6 // steps of refusing before open connections close: the platform has noticed by then
)
