package distribution

import (
	"shaletrestle/coord/deflate"
	"shaletrestle/coord/rpc"
)

// form is the kind of a message from a parent. The values are fixed by the wire format.
type form string

const (
	formChange     form = ""       // one change
	formSnapshot   form = "whole"  // the complete state at a position
	formHeartbeat  form = "beat"   // nothing new
	formWait       form = "wait"   // a snapshot will come when it is this follower's turn
	formCompressed form = "packed" // one change, compressed
	formOffer      form = "offer"  // the digest of the complete state at a position: one that has it need not get it
	formNearer     form = "nearer" // no update: the sender's members are nearer to this follower, and it should follow one
	formParts      form = "parts"  // the complete state at a position, less the parts that this follower has
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

func compressedChangeMessage(at Position, change []byte) *rpc.Message {
	message := changeMessage(at, deflate.Compress(change))
	message.Text = string(formCompressed)
	return message
}

func offerMessage(at Position, current bool, offered digest) *rpc.Message {
	message := stateMessage(formOffer, at, current)
	message.Body = offered[:]
	return message
}

func nearerMessage(at Position, parents []rpc.Member) *rpc.Message {
	message := stateMessage(formNearer, at, false)
	message.Members = parents
	return message
}

func partsMessage(at Position, current bool, partial []byte) *rpc.Message {
	message := stateMessage(formParts, at, current)
	message.Body = partial
	return message
}

// subscribeMessage asks for updates after a position. With a list of the parts that its sender has, even an empty one, it
// says that its sender takes parts, offers and compressed changes; nil is how earlier versions ask.
func subscribeMessage(self rpc.Member, from Position, r role, have manifest) *rpc.Message {
	message := &rpc.Message{Kind: rpc.Subscribe, From: self, Epoch: from.Epoch, Number: from.Number, Text: string(r)}
	if have != nil {
		message.Body = have.encode()
	}
	return message
}

// ackMessage says that its sender has taken all up to own, and that every follower below it has taken all up to below.
func ackMessage(self rpc.Member, own Position, below uint64) *rpc.Message {
	return &rpc.Message{Kind: rpc.UpdateAck, From: self, Epoch: own.Epoch, Number: below, Base: own.Number}
}

func positionOf(message *rpc.Message) Position { return Position{message.Epoch, message.Number} }
