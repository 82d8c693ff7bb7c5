package distribution

import "shaletrestle/coord/rpc"

// form is the kind of a message from a parent. The values are fixed by the wire format.
type form string

const (
	formChange    form = ""      // one change
	formSnapshot  form = "whole" // the complete state at a position
	formHeartbeat form = "beat"  // nothing new
	formWait      form = "wait"  // a snapshot will come when it is this follower's turn
)

// role is how a follower subscribes. The values are fixed by the wire format.
type role string

const (
	roleRelay role = "relay"
	roleEnd   role = "end"
)

// followersListed marks, on the wire, an acknowledgement that lists all of a relay's end followers; one without the mark
// leaves the parent's list as it is.
const followersListed = "seats"

func changeMessage(at Position, change []byte) *rpc.Message {
	return &rpc.Message{Kind: rpc.Update, OK: true, Epoch: at.Epoch, Number: at.Number, Base: at.Number - 1, Body: change}
}

func stateMessage(f form, at Position, current bool) *rpc.Message {
	return &rpc.Message{Kind: rpc.Update, OK: current, Epoch: at.Epoch, Number: at.Number, Text: string(f)}
}

func snapshotMessage(at Position, current bool, snapshot []byte) *rpc.Message {
	message := stateMessage(formSnapshot, at, current)
	message.Body = snapshot
	return message
}

func subscribeMessage(self rpc.Member, from Position, r role) *rpc.Message {
	return &rpc.Message{Kind: rpc.Subscribe, From: self, Epoch: from.Epoch, Number: from.Number, Text: string(r)}
}

// ackMessage says that its sender has taken all up to own, and that every follower below it has taken all up to below.
func ackMessage(self rpc.Member, own Position, below uint64) *rpc.Message {
	return &rpc.Message{Kind: rpc.UpdateAck, From: self, Epoch: own.Epoch, Number: below, Base: own.Number}
}

func positionOf(message *rpc.Message) Position { return Position{message.Epoch, message.Number} }
