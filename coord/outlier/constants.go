package outlier

import "time"

// Traffic.
const (
	ejectMost = 4 * time.Second // later ejections double up to this
)

// Replica health: weights are parts of a whole failure.
const (
	blameReset       = 0.5                    // a connection's end: one of a burst of resets says little
	blameCut         = 0.6                    // a spoiled answer
	blameFailed      = 0.6                    // a 5xx: some are the request's own fault
	blameShed        = 0.3                    // turned away: its neighbours may do so in the next moment
	blameSlow        = 0.4                    // overdue: predictions err, but what is not repeatable may wait for it to its deadline
	blameStale       = 0.25                   // a kept connection's reset: forgetting is no failure, but one that forgets more than its peers costs what may not be sent again
	blameHalf        = 3 * time.Second        // own evidence halves: a node of a large fleet sees a replica every few seconds
	blameNeed        = 1.0                    // own evidence that ejects
	blameNeedSuspect = 0.25                   // the same for one that the fleet suspects: one failure of any kind
	peerTimes        = 3.0                    // and it must be this many times its peers' mean
	ejectPart        = 3                      // at most one in so many of a service is out by judgement
	episodeHalf      = 15 * time.Second       // earlier ejections lengthen the next less and less
	slowTimes        = 4.0                    // times the prediction that count as slow
	slowAims         = 1.5                    // and not before this many aims: lines at busy replicas are common
	slowLeast        = 150 * time.Millisecond // and at least this much later
	tookOver         = 50                     // answers that the mean time of a service runs over
	wordsMost        = 32                     // replicas told of in one acknowledgement
	wordMost         = 1e4                    // shots that one word can count, more is nonsense
	juryHalf         = 2 * time.Second        // what nodes told halves
	tellerSpan       = 3 * time.Second        // a teller counts so long
	tellersLeast     = 2                      // one node's word is never enough
	suspectNeed      = 1.2                    // whole failures told before a suspicion: two 500s seen by two nodes
	suspectSpan      = 3 * time.Second        // a suspicion not repeated ends at the nodes
	suspectMost      = 10 * time.Second       // a suspicion ends; a new one needs new failures
	suspectPass      = 0.1                    // part of the shots that a suspect still gets, of those that may not be sent again
	suspectBold      = 0.6                    // and of those that may: the fleet's trial of it
	acquitGood       = 5.0                    // answers that work before a suspicion ends
	acquitPart       = 0.15                   // failures among them that are borne
	statLeast        = 0.05                   // less than this is not shown, and forgotten
)

const (
	// FirstEjection is the length of the first ejection after a failed connection.
	FirstEjection = 700 * time.Millisecond
)
