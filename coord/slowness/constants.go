package slowness

import "time"

// Interval is the time between two measurements; each costs a wake-up and some 10 us.
const Interval = 500 * time.Millisecond

// The measurement.
const (
	workBytes   = 8 << 10 // hashed as the piece of work: long against the clock's resolution
	workRepeats = 3       // times it is done; the quickest counts, so that a busy processor isn't taken for a slow one
)

// What counts as evidence. A step is one measurement.
const (
	samplesForBaseline = 8                      // steps before there is a baseline
	baselineWeight     = 1.0 / 16               // weight of a step in the baseline
	slowFactor         = 3.0                    // times the baseline that is evidence; healthy machines vary by 2
	recoveredFactor    = 2.0                    // times the baseline below which a step counts as healthy again
	lateTimer          = 200 * time.Millisecond // a timer this late is evidence too; on healthy machines they are late by 1 ms
)

// What follows from it.
const (
	stepsToSlow           = 2 // steps in a row with evidence: a single one is chance
	stepsToRecover        = 4 // healthy steps in a row: an intermittently slow machine keeps refusing
	stepsBeforePeersCount = 2 // steps after having turned slow before a peer's report counts: a cause that all share shows at them by then
	peerReportSteps       = 8 // steps for which a peer's report counts: three pings
	stepsToShed           = 6 // steps of refusing before open connections close: the platform has noticed by then
)
