package distribution

import "shaletrestle/coord/rpc"

// form tells apart the messages that a source sends.
type form string

const (
	formChange    form = ""      // one change
	formSnapshot  form = "whole" // the whole state at a position
	formHeartbeat form = "beat"  // nothing new
	formWait      form = "wait"  // a snapshot will come when it is this follower's turn
)

// role tells apart those that follow.
type role string

const (
	roleRelay role = "relay"
	roleEnd   role = "end"
)

// seatsListed marks an acknowledgement that lists all of a relay's followers; the others say nothing of them.
const seatsListed = "seats"

func changeMessage(at Position, body []byte) *rpc.Note {
	return &rpc.Note{Kind: rpc.News, OK: true, Epoch: at.Epoch, Number: at.Number, Base: at.Number - 1, Body: body}
}

func stateMessage(f form, at Position, current bool) *rpc.Note {
	return &rpc.Note{Kind: rpc.News, OK: current, Epoch: at.Epoch, Number: at.Number, Word: string(f)}
}

func snapshotMessage(at Position, current bool, body []byte) *rpc.Note {
	n := stateMessage(formSnapshot, at, current)
	n.Body = body
	return n
}

func followMessage(self rpc.Seat, at Position, r role) *rpc.Note {
	return &rpc.Note{Kind: rpc.Follow, From: self, Epoch: at.Epoch, Number: at.Number, Word: string(r)}
}

// ackMessage says that its sender has taken all up to own, and all that follow it all up to below.
func ackMessage(self rpc.Seat, epoch, own, below uint64) *rpc.Note {
	return &rpc.Note{Kind: rpc.Heard, From: self, Epoch: epoch, Number: below, Base: own}
}

func positionOf(n *rpc.Note) Position { return Position{n.Epoch, n.Number} }
