package core_test

import (
	"fmt"
	"time"

	"shaletrestle/coord/replication/core"
)

// counter is a state machine that counts its entries.
type counter struct{ entries int }

func (c *counter) Apply([]byte)     { c.entries++ }
func (c *counter) Snapshot() []byte { return fmt.Append(nil, c.entries) }
func (c *counter) Restore(snapshot []byte) error {
	if len(snapshot) == 0 {
		c.entries = 0
		return nil
	}
	_, err := fmt.Sscan(string(snapshot), &c.entries)
	return err
}

// drive steps the core with an event and with what follows from its effects, until nothing is left to do. A real driver
// saves what the disk jobs name before it says that they are done, and sends the messages.
func drive(member *core.Core, now time.Duration, event core.Event) {
	events := []core.Event{event}
	for len(events) > 0 {
		effects := member.Step(now, events[0])
		events = events[1:]
		for _, effect := range effects {
			switch effect := effect.(type) {
			case core.SaveRegister:
				events = append(events, core.DiskDone{Token: effect.Token})
			case core.AppendEntry:
				events = append(events, core.DiskDone{Token: effect.Token})
			case core.SaveSnapshot:
				events = append(events, core.DiskDone{Token: effect.Token})
			case core.BecamePrimary:
				fmt.Println("primary of epoch", effect.Epoch)
			case core.Result:
				fmt.Println("command", effect.Token, effect.Outcome)
			}
		}
	}
}

// A member that tolerates no failures is primary by itself.
func Example() {
	state := &counter{}
	member, err := core.New(core.Config{
		Self:         core.Member{ID: 1, Address: "10.0.0.1:7000", Zone: "a"},
		Seeds:        []string{"10.0.0.1:7000"},
		Bootstrap:    true, // its disk was made for the first start
		StateMachine: state,
		Timing:       core.DefaultTiming(),
		Limits:       core.DefaultLimits(),
	}, core.Stored{})
	if err != nil {
		fmt.Println(err)
		return
	}
	drive(member, 0, core.Started{})
	drive(member, 25*time.Millisecond, core.Tick{})
	drive(member, 30*time.Millisecond, core.Command{
		Token:    7,
		Deadline: 2 * time.Second,
		Decide:   func() ([]byte, error) { return []byte("an entry"), nil },
	})
	fmt.Println("entries", state.entries)
	// Output:
	// primary of epoch 1
	// command 7 committed
	// entries 1
}
