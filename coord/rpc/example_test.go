package rpc_test

import (
	"context"
	"errors"
	"fmt"
	"net"
	"time"

	"shaletrestle/coord/rpc"
)

// Two processes talk over one channel: a call has an answer, and a closed channel an error that says so.
func ExampleChannel() {
	near, far := net.Pipe()
	rpc.Open(context.Background(), far, func(_ *rpc.Channel, call *rpc.Message) *rpc.Message {
		answer := call.Reply(true)
		answer.Text = "hello, " + call.From.Address
		return answer
	})
	channel := rpc.Open(context.Background(), near, nil)
	call := &rpc.Message{Kind: rpc.Hello, From: rpc.Member{Address: "node-1"}}
	answer, err := channel.Call(call, time.Minute)
	fmt.Println(answer.Text, err)
	channel.Close()
	_, err = channel.Call(call, time.Minute)
	fmt.Println(errors.Is(err, rpc.ErrClosed))
	// Output:
	// hello, node-1 <nil>
	// true
}
