package handoff

import (
	"time"
)

// Kind says what a message is.
type Kind uint8

// The kinds of messages. The first three go from the owner to the taker, the others back.
const (
	Offer    Kind = iota + 1 // asks whether the taker will run this
	Go                       // start it; repeated while the owner waits, which renews the taker's lease
	Drop                     // the owner does not need it any more
	Accept                   // the taker will, under this ticket, if the go-ahead comes in time
	Decline                  // the taker will not
	Started                  // it runs
	Part                     // a part of the response
	Done                     // the response is complete
	Returned                 // no replica has run it, and none will under this ticket
	Failed                   // it ended, and a replica may have run it
	Unknown                  // this incarnation of the taker knows no such ticket
)

var kindNames = [...]string{"", "offer", "go", "drop", "accept", "decline", "begun", "part", "done", "returned", "failed", "unknown"}

// String is the name that stands for the kind in messages between processes. It must not change: nodes of other releases
// read it.
func (k Kind) String() string {
	if int(k) < len(kindNames) {
		return kindNames[k]
	}
	return "?"
}

// KindOf returns the kind of a name as String gives it; 0 if there is none.
func KindOf(s string) Kind {
	for i, w := range kindNames {
		if i > 0 && w == s {
			return Kind(i)
		}
	}
	return 0
}

// Ticket names one acceptance: the taker's incarnation, and a number that this incarnation gives out once.
type Ticket struct {
	Incarnation, Number uint64
}

// Message goes between an owner and a taker.
type Message struct {
	Kind        Kind
	Peer        string // whom it goes to, or whom it came from
	Owner       uint64 // the owner's incarnation
	Job         uint64 // the owner's number for the job
	OfferNumber uint64 // counts the offers of the job
	Ticket      Ticket
	Number      uint64 // of a part; with Done, how many parts there were
	Attempts    int    // Offer: allowed sends to replicas; Returned, Failed: sends that were made
	Body        []byte
}

// Action says what the caller of a machine has to do for an effect.
type Action uint8

// The actions.
const (
	Send    Action = iota + 1 // both: send Message
	Begin                     // taker: start the run under Ticket
	Stop                      // taker: cancel the run under Ticket
	Deliver                   // owner: pass a part of the response on to the client
	Requeue                   // owner: the job is pending again: place it anew or give it up
	End                       // owner: the final response, by Outcome
)

// Outcome is how a job ends for the client.
type Outcome uint8

// The outcomes.
const (
	Complete         Outcome = iota + 1 // the response is complete
	Rejected                            // a promise: no replica has run it, and none will
	Indeterminate                       // a replica may have run it
	DeadlineExceeded                    // the time ran out and a replica may have run it
)

// Effect is one action that a machine asks of its caller. Effects are to be carried out in their order.
type Effect struct {
	Action  Action
	Message Message
	Job     uint64
	Ticket  Ticket
	Outcome Outcome
	Since   time.Duration // Begin: when the offer came; the owner's time counts from then
}

// Bounds are the times and counts that owners and takers keep to. They must be the same in all processes.
type Bounds struct {
	AnswerTimeout time.Duration // an offer without an answer expires after this
	AcceptTimeout time.Duration // an accepted job waits this long for its go-ahead
	RenewInterval time.Duration // the go-ahead is repeated at this interval
	Lease         time.Duration // silence after which the other side counts as lost
	Tombstones    int           // ended jobs that a taker remembers, to answer for them
}
