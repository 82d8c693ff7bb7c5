package replication_test

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"sync"
	"time"

	"shaletrestle/coord/replication"
	"shaletrestle/coord/replication/core"
	"shaletrestle/coord/replication/store"
	"shaletrestle/coord/replication/store/storetest"
	"shaletrestle/coord/rpc"
)

// counter is a state machine whose entries are single bytes that it adds up.
type counter struct{ sum byte }

func (c *counter) Apply(entry []byte) { c.sum += entry[0] }

func (c *counter) Snapshot() []byte { return []byte{c.sum} }

func (c *counter) Restore(snapshot []byte) error {
	c.sum = 0
	if len(snapshot) > 0 {
		c.sum = snapshot[0]
	}
	return nil
}

// nobody is the transport of a member that is alone.
type nobody struct{}

func (nobody) Send(string, core.Message)       {}
func (nobody) SetChannel(string, *rpc.Channel) {}

// start runs a member that forms a group by itself and waits until it is primary.
func start(disk replication.Store, machine replication.StateMachine) (member *replication.Member, stop func()) {
	ready := make(chan struct{})
	member, err := replication.New(slog.New(slog.DiscardHandler), replication.Config{
		Address:         "10.0.0.1:7720",
		Seeds:           []string{"10.0.0.1:7720"},
		Store:           disk,
		StateMachine:    machine,
		Transport:       nobody{},
		OnBecomePrimary: func(uint64) { close(ready) },
	})
	if err != nil {
		panic(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	running.Go(func() { member.Run(ctx) })
	<-ready
	return member, func() {
		cancel()
		running.Wait()
	}
}

func soon() time.Time { return time.Now().Add(time.Minute) }

func ExampleMember_Propose() {
	disk, err := store.Open(storetest.NewDisk(), "data", store.Options{Bootstrap: true})
	if err != nil {
		panic(err)
	}
	machine := &counter{}
	member, stop := start(disk, machine)
	defer stop()

	errTooMuch := errors.New("more than 50")
	add := func(amount byte) error {
		return member.Propose(soon(), func() ([]byte, error) {
			if machine.sum+amount > 50 {
				return nil, errTooMuch // a clear rejection: nobody else has decided otherwise meanwhile
			}
			return []byte{amount}, nil
		})
	}
	fmt.Println(add(40))
	fmt.Println(add(20))
	stop()
	fmt.Println(errors.Is(add(5), replication.ErrStopped))
	// Output:
	// <nil>
	// more than 50
	// true
}

func ExampleMember_Read() {
	disk := storetest.NewDisk()
	opened, err := store.Open(disk, "data", store.Options{Bootstrap: true})
	if err != nil {
		panic(err)
	}
	member, stop := start(opened, &counter{})
	fmt.Println(member.Propose(soon(), func() ([]byte, error) { return []byte{7}, nil }))
	stop()

	// Another process on the same disk.
	opened, err = store.Open(disk, "data", store.Options{Bootstrap: true})
	if err != nil {
		panic(err)
	}
	machine := &counter{}
	member, stop = start(opened, machine)
	defer stop()
	err = member.Read(soon(), func() { fmt.Println("sum", machine.sum) })
	fmt.Println(err)
	// Output:
	// <nil>
	// sum 7
	// <nil>
}
