package counter

import (
	"encoding/binary"
	"slices"
)

// Message is one of the messages between members: Ping, PingReply, Push, PushReply, Pull or PullReply.
type Message interface {
	appendTo(to []byte) []byte
}

// Ping asks whether a member is there, and tells what the sender holds. It is answered by a PingReply at once.
type Ping struct {
	From     Member
	Origin   Origin // of the sender's incarnation
	HasDisk  bool
	Complete bool   // the sender has totals
	Digest   uint64 // of the sender's vector
}

// PingReply says the same of the member that was asked.
type PingReply struct {
	Ping
	// Vector is what the member holds; nil if its digest is that of the ping.
	Vector Vector
}

// Push sends additions of the sender's own origin. It is answered by a PushReply once they are synced, or a little later
// if the disk takes too long.
type Push struct {
	Run Run
	// Until is the number of the newest addition whose sync the reply should wait for; it may be before the run.
	Until uint64
}

// PushReply tells how much of the sender's origin is held and how much of that is synced, by the disk of that id.
type PushReply struct {
	Disk    uint64
	Held    uint64
	Durable uint64
}

// Pull asks for additions: of each origin those that come after a number. It is answered by a PullReply at once.
type Pull struct{ After Vector }

// PullReply has what was asked for, or a first part of it.
type PullReply struct{ Runs []Run }

// The first byte of an encoded message.
const (
	pingMessage = iota + 1
	pingReplyMessage
	pushMessage
	pushReplyMessage
	pullMessage
	pullReplyMessage
)

// Encode returns the bytes of a message.
func Encode(message Message) []byte { return message.appendTo(nil) }

// Decode reads a message. The error is ErrInvalidEncoding.
func Decode(encoded []byte) (Message, error) {
	d := &decoder{rest: encoded}
	var message Message
	switch kind := d.take(1); {
	case kind == nil:
	case kind[0] == pingMessage:
		message = d.ping()
	case kind[0] == pingReplyMessage:
		message = PingReply{Ping: d.ping(), Vector: d.vector()}
	case kind[0] == pushMessage:
		message = d.push()
	case kind[0] == pushReplyMessage:
		message = PushReply{Disk: d.fixed(), Held: d.number(), Durable: d.number()}
	case kind[0] == pullMessage:
		message = Pull{After: d.vector()}
	case kind[0] == pullReplyMessage:
		message = PullReply{Runs: d.runs()}
	default:
		d.fail()
	}
	if err := d.end(); err != nil {
		return nil, err
	}
	return message, nil
}

func appendFlag(to []byte, flag bool) []byte {
	if flag {
		return append(to, 1)
	}
	return append(to, 0)
}

// appendVector adds the number of origins plus one, 0 for nil, and each origin with its count, in the order of origins.
func appendVector(to []byte, vector Vector) []byte {
	if vector == nil {
		return append(to, 0)
	}
	to = binary.AppendUvarint(to, uint64(len(vector))+1)
	origins := make([]Origin, 0, len(vector))
	for origin := range vector {
		origins = append(origins, origin)
	}
	slices.Sort(origins)
	for _, origin := range origins {
		to = binary.LittleEndian.AppendUint64(to, uint64(origin))
		to = binary.AppendUvarint(to, vector[origin])
	}
	return to
}

func (d *decoder) vector() Vector {
	count := d.number()
	if count == 0 {
		return nil
	}
	count--
	if count > uint64(len(d.rest)/leastEntryBytes) {
		d.fail()
		return nil
	}
	vector := make(Vector, count)
	for ; count > 0 && !d.invalid; count-- {
		vector[Origin(d.fixed())] = d.number()
	}
	return vector
}

func (p Ping) appendFields(to []byte) []byte {
	to = binary.LittleEndian.AppendUint64(to, p.From.ID)
	to = appendString(to, p.From.Address)
	to = appendString(to, p.From.Domain)
	to = binary.LittleEndian.AppendUint64(to, uint64(p.Origin))
	to = appendFlag(to, p.HasDisk)
	to = appendFlag(to, p.Complete)
	return binary.LittleEndian.AppendUint64(to, p.Digest)
}

func (d *decoder) ping() Ping {
	return Ping{
		From:     Member{ID: d.fixed(), Address: d.text(), Domain: d.text()},
		Origin:   Origin(d.fixed()),
		HasDisk:  d.flag(),
		Complete: d.flag(),
		Digest:   d.fixed(),
	}
}

func (d *decoder) push() Message {
	push := Push{Until: d.number()}
	runs := d.runs()
	if len(runs) != 1 {
		d.fail()
		return nil
	}
	push.Run = runs[0]
	return push
}

func (p Ping) appendTo(to []byte) []byte { return p.appendFields(append(to, pingMessage)) }

func (p PingReply) appendTo(to []byte) []byte {
	return appendVector(p.appendFields(append(to, pingReplyMessage)), p.Vector)
}

func (p Push) appendTo(to []byte) []byte {
	to = binary.AppendUvarint(append(to, pushMessage), p.Until)
	return AppendRuns(to, []Run{p.Run})
}

func (p PushReply) appendTo(to []byte) []byte {
	to = binary.LittleEndian.AppendUint64(append(to, pushReplyMessage), p.Disk)
	to = binary.AppendUvarint(to, p.Held)
	return binary.AppendUvarint(to, p.Durable)
}

func (p Pull) appendTo(to []byte) []byte { return appendVector(append(to, pullMessage), p.After) }

func (p PullReply) appendTo(to []byte) []byte {
	return AppendRuns(append(to, pullReplyMessage), p.Runs)
}
