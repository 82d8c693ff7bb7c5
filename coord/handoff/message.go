// Package handoff hauls long work between nodes: who owns a job, who may run it, and what is known of a run when messages are lost, repeated or late and nodes freeze or die. Its machines step on messages and on the steady clock and do no input or output of their own.
package handoff

import (
	"time"
)

// Kind tells what a message says.
type Kind uint8

// The kinds of messages. The first three go from the owner to the taker, the others back.
const (
	Offer    Kind = iota + 1 // will you run this?
	Go                       // run it; repeated while the owner waits, which renews the taker's lease
	Drop                     // the owner has no more use for it
	Accept                   // yes, under this ticket, if the go-ahead comes within the lease
	Decline                  // no
	Started                  // it runs
	Part                     // a piece of the answer
	Done                     // the answer is whole
	Returned                 // no replica has run it, and none will under this ticket
	Failed                   // it ended, and a replica may have run it
	Unknown                  // this life of the taker knows no such ticket
)

var words = [...]string{"", "offer", "go", "drop", "accept", "decline", "begun", "part", "done", "returned", "failed", "unknown"}

func (k Kind) String() string {
	if int(k) < len(words) {
		return words[k]
	}
	return "?"
}

// KindOf reads a kind's word; 0 if there is none.
func KindOf(s string) Kind {
	for i, w := range words {
		if i > 0 && w == s {
			return Kind(i)
		}
	}
	return 0
}

// Ticket names one acceptance: the taker's life and a number that this life gives out once.
type Ticket struct {
	Incarnation, Number uint64
}

// Message is what owner and taker tell each other.
type Message struct {
	Kind        Kind
	Peer        string // whom it goes to, or whom it came from
	Owner       uint64 // the owner's life
	Job         uint64 // the owner's number for the job
	OfferNumber uint64 // the job's offers are counted
	Ticket      Ticket
	Number      uint64 // of a part; with Done, how many parts there were
	Attempts    int    // Offer: replicas it may be sent to; Returned, Failed: replicas it was sent to
	Body        []byte
}

// Action says what is to be done for an effect.
type Action uint8

// The effects.
const (
	Send    Action = iota + 1 // Message goes out
	Begin                     // taker: start the run under Ticket
	Stop                      // taker: break off the run under Ticket
	Deliver                   // owner: pass a part of the answer on to the client
	Requeue                   // owner: the job is held again: place it anew or give it up
	End                       // owner: the final answer, by Outcome
)

// Outcome is how a job ends for the client.
type Outcome uint8

// The outcomes.
const (
	Complete         Outcome = iota + 1 // the answer came whole
	Rejected                            // promised: nothing has run it, nothing will
	Indeterminate                       // something may have run it
	DeadlineExceeded                    // the time ran out and something may have run it
)

// Effect is one thing that a machine wants done.
type Effect struct {
	Action  Action
	Message Message
	Job     uint64
	Ticket  Ticket
	Outcome Outcome
	Since   time.Duration // Begin: when the offer came; the owner's time has run since then
}

// Bounds are the spans and counts that owner and taker keep to.
type Bounds struct {
	AnswerTimeout time.Duration // an offer not answered for so long is void
	AcceptTimeout time.Duration // an accepted job waits so long for its go-ahead
	RenewInterval time.Duration // the go-ahead is repeated this often
	Lease         time.Duration // so long without a word, and the other side counts as lost
	Tombstones    int           // ended jobs that a taker remembers, so as to answer for them
}
