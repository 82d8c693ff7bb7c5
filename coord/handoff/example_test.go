package handoff_test

import (
	"fmt"
	"time"

	"shaletrestle/coord/handoff"
)

// An owner offers a job to a peer, which runs it and sends the response in parts.
func Example() {
	bounds := handoff.Bounds{
		AnswerTimeout: 50 * time.Millisecond,
		AcceptTimeout: 500 * time.Millisecond,
		RenewInterval: 200 * time.Millisecond,
		Lease:         time.Second,
		Tombstones:    8,
	}
	owner, taker := handoff.NewOwner(7, bounds), handoff.NewTaker(9, bounds)
	taker.SetCapacity(1)
	now := time.Duration(0)

	var carry func(effects []handoff.Effect)
	carry = func(effects []handoff.Effect) {
		for _, effect := range effects {
			message := effect.Message
			switch effect.Action {
			case handoff.Send:
				fmt.Println("message:", message.Kind)
				if message.Kind <= handoff.Drop {
					carry(taker.Step(now, message))
				} else {
					carry(owner.Step(now, message))
				}
			case handoff.Begin:
				fmt.Printf("run: %s\n", message.Body)
			case handoff.Deliver:
				fmt.Printf("response: %s\n", message.Body)
			case handoff.End:
				fmt.Println("complete:", effect.Outcome == handoff.Complete)
			}
		}
	}

	job := owner.Take(30*time.Second, false, 2)
	carry(owner.Offer(now, job, "peer", []byte("request")))
	carry(taker.SendPart(1, []byte("first event")))
	carry(taker.Finish(1, handoff.Done, 1))
	// Output:
	// message: offer
	// message: accept
	// message: go
	// run: request
	// message: begun
	// message: part
	// response: first event
	// message: done
	// complete: true
}

// A queue admits long work as far as interactive requests stay in time.
func ExampleQueue() {
	queue := handoff.NewQueue(2, handoff.QueueOptions{MaxWaiting: 1, LateFraction: 0.9, MaxLateShare: 0.03, Weight: 0.1, Cut: 0.5, Grow: 0.05})
	for range 4 {
		number, admitted, ok := queue.Join(time.Second, false)
		fmt.Println(number, admitted, ok)
	}
	queue.RecordInteractive(0, 1.5) // a first event came after one and a half of its target
	queue.Release()
	run, late := queue.Admit(time.Second, false)
	fmt.Println(run, late)
	// Output:
	// 0 true true
	// 0 true true
	// 1 false true
	// 0 false false
	// [] [1]
}
