package slowness

import "time"

// A machine of our own that turns slow.
const (
	levelBytes = 8 << 10                // bytes hashed as the piece of work: long against the clock's grain
	levelTimes = 3                      // times it is done; the quickest counts, so that being busy isn't taken for being slow
	levelFirst = 8                      // looks before a usual time is known
	levelLearn = 1.0 / 16               // weight of a look in the usual time
	levelEnter = 3.0                    // times the usual that is evidence; machines that are well vary by 2
	levelLeave = 2.0                    // times the usual below which a look counts as well again
	levelLate  = 200 * time.Millisecond // a timer this late is evidence too; well ones are late by 1 ms
	levelBad   = 2                      // looks in a row with evidence: one is chance
	levelGood  = 4                      // looks in a row that are well: a machine by turns slow stays out
	levelAfter = 2                      // looks after having turned slow before another's word counts: what slows all shows at all by then
	levelHeard = 8                      // looks for which another node's word counts: three pings
	levelShed  = 6                      // looks out of readiness before answers close: the platform has noticed by then
)

const (
	// Interval is the time between two measurements; each costs a wake-up and some 10 us.
	Interval = 500 * time.Millisecond
)
