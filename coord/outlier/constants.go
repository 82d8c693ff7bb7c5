package outlier

import "time"

// Traffic.
const (
	maxEjectionTime = 4 * time.Second // later ejections double up to this
)

// Replica health: weights are parts of a whole failure.
const (
	weightReset              = 0.5                    // a connection's end: one of a burst of resets says little
	weightInvalidAnswer      = 0.6                    // a spoiled answer
	weightServerError        = 0.6                    // a 5xx: some are the request's own fault
	weightRejected           = 0.3                    // turned away: its neighbours may do so in the next moment
	weightOverdue            = 0.4                    // overdue: predictions err, but what is not repeatable may wait for it to its deadline
	weightStaleConnection    = 0.25                   // a kept connection's reset: forgetting is no failure, but one that forgets more than its peers costs what may not be sent again
	failureHalfLife          = 3 * time.Second        // own evidence halves: a node of a large fleet sees a replica every few seconds
	ejectionThreshold        = 1.0                    // own evidence that ejects
	suspectEjectionThreshold = 0.25                   // the same for one that the fleet suspects: one failure of any kind
	peerRatio                = 3.0                    // and it must be this many times its peers' mean
	ejectableOneIn           = 3                      // at most one in so many of a service is out by judgement
	episodeHalfLife          = 15 * time.Second       // earlier ejections lengthen the next less and less
	overduePredictionFactor  = 4.0                    // times the prediction that count as slow
	overdueTargetFactor      = 1.5                    // and not before this many aims: lines at busy replicas are common
	overdueMargin            = 150 * time.Millisecond // and at least this much later
	meanWindowAnswers        = 50                     // answers that the mean time of a service runs over
	maxReports               = 32                     // replicas told of in one acknowledgement
	maxReportedRequests      = 1e4                    // shots that one word can count, more is nonsense
	reportHalfLife           = 2 * time.Second        // what nodes told halves
	reporterLifetime         = 3 * time.Second        // a teller counts so long
	minReporters             = 2                      // one node's word is never enough
	suspicionThreshold       = 1.2                    // whole failures told before a suspicion: two 500s seen by two nodes
	suspicionLifetime        = 3 * time.Second        // a suspicion not repeated ends at the nodes
	maxSuspicionTime         = 10 * time.Second       // a suspicion ends; a new one needs new failures
	suspectShare             = 0.1                    // part of the shots that a suspect still gets, of those that may not be sent again
	suspectRetriableShare    = 0.6                    // and of those that may: the fleet's trial of it
	clearingSuccesses        = 5.0                    // answers that work before a suspicion ends
	clearingFailureShare     = 0.15                   // failures among them that are borne
	negligibleSum            = 0.05                   // less than this is not shown, and forgotten
)

const (
	// FirstEjection is the length of the first ejection after a failed connection.
	FirstEjectionTime = 700 * time.Millisecond
)
