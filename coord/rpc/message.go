package rpc

import (
	"github.com/cockroachdb/errors"
	flatbuffers "github.com/google/flatbuffers/go"

	"shaletrestle/coord/rpc/rpcfb"
)

// Kind is what a message is about. The numbers are fixed by the wire format.
type Kind uint16

// The kinds of messages.
const (
	Hello       Kind = iota + 1 // asks whether a node is alive
	Replication                 // a message of package replication, in the body
	Lease                       // asks a grantor for a lease (package lease)
	Subscribe                   // asks for updates (package distribution)
	Update                      // one numbered change, a snapshot or a heartbeat
	UpdateAck                   // updates acknowledged up to a number
	Suspect                     // reports that a node is suspected to be down, or is back
	LoadSums                    // the work that waits at the replicas, as the sender knows it (package loadsum)
	Loan                        // asks for a loan out of a shared budget (package fairshare)
	Job                         // work handed over between nodes (package handoff)
	List                        // asks another process to read a list that is nearer to it
	Counters                    // a message of package counter, in the body
)

// Member names a process: its id stays with its state, the address is only where it can be reached now.
type Member struct {
	ID      uint64
	Address string
	Zone    string // failure domain
}

// Message is one message. What the fields without a comment mean depends on the kind: the package named beside the kind
// says it. Fields that a kind doesn't use are zero.
type Message struct {
	Kind       Kind
	Call       uint64 // number of the call within its channel; 0: no answer is expected
	Answer     bool   // it answers the call of that number
	OK         bool   // the answer is positive; in an Update: the sender is current
	From       Member // the sender
	To         uint64 // id of the member that it is meant for
	Epoch      uint64
	Ballot     uint64
	Number     uint64
	Base       uint64
	Duration   uint64 // in nanoseconds
	HeldBallot uint64
	Text       string
	Body       []byte
	Members    []Member
}

func encodeMember(b *flatbuffers.Builder, member Member) flatbuffers.UOffsetT {
	address, zone := b.CreateString(member.Address), b.CreateString(member.Zone)
	rpcfb.MemberStart(b)
	rpcfb.MemberAddId(b, member.ID)
	rpcfb.MemberAddAddress(b, address)
	rpcfb.MemberAddZone(b, zone)
	return rpcfb.MemberEnd(b)
}

func encodeMembers(b *flatbuffers.Builder, members []Member) flatbuffers.UOffsetT {
	offsets := make([]flatbuffers.UOffsetT, len(members))
	for i, member := range members {
		offsets[i] = encodeMember(b, member)
	}
	rpcfb.MessageStartMembersVector(b, len(offsets))
	for i := len(offsets) - 1; i >= 0; i-- {
		b.PrependUOffsetT(offsets[i])
	}
	return b.EndVector(len(offsets))
}

// fieldBytes is room for the fields of a message but its body, so that encoding seldom grows the buffer.
const fieldBytes = 256

// Encode returns the message's bytes. A body that is empty but not nil stays so.
func (m *Message) Encode() []byte {
	b := flatbuffers.NewBuilder(fieldBytes + len(m.Body))
	from := encodeMember(b, m.From)
	var text, body, members flatbuffers.UOffsetT // 0: the field is left out
	if m.Text != "" {
		text = b.CreateString(m.Text)
	}
	if m.Body != nil {
		body = b.CreateByteVector(m.Body)
	}
	if len(m.Members) > 0 {
		members = encodeMembers(b, m.Members)
	}
	rpcfb.MessageStart(b)
	rpcfb.MessageAddKind(b, uint16(m.Kind))
	rpcfb.MessageAddCall(b, m.Call)
	rpcfb.MessageAddAnswer(b, m.Answer)
	rpcfb.MessageAddOk(b, m.OK)
	rpcfb.MessageAddFrom(b, from)
	rpcfb.MessageAddTo(b, m.To)
	rpcfb.MessageAddEpoch(b, m.Epoch)
	rpcfb.MessageAddBallot(b, m.Ballot)
	rpcfb.MessageAddNumber(b, m.Number)
	rpcfb.MessageAddBase(b, m.Base)
	rpcfb.MessageAddDuration(b, m.Duration)
	rpcfb.MessageAddHeldBallot(b, m.HeldBallot)
	rpcfb.MessageAddText(b, text)
	rpcfb.MessageAddBody(b, body)
	rpcfb.MessageAddMembers(b, members)
	b.Finish(rpcfb.MessageEnd(b))
	return b.FinishedBytes()
}

func decodeMember(member *rpcfb.Member) Member {
	if member == nil {
		return Member{}
	}
	return Member{member.Id(), string(member.Address()), string(member.Zone())}
}

// minMessageBytes is less than any message has: the offset of its table, and that of the table's fields.
const minMessageBytes = 8

// Decode reads a message; its body shares the bytes. The error is ErrInvalidMessage for bytes that are no message; it
// never panics.
func Decode(encoded []byte) (message *Message, err error) {
	defer func() {
		if cause := recover(); cause != nil { // FlatBuffers reads past the bytes that it is given
			message, err = nil, errors.Wrapf(ErrInvalidMessage, "%v", cause)
		}
	}()
	if len(encoded) < minMessageBytes {
		return nil, errors.Wrapf(ErrInvalidMessage, "%d bytes", len(encoded))
	}
	fields := rpcfb.GetRootAsMessage(encoded, 0)
	message = &Message{
		Kind:       Kind(fields.Kind()),
		Call:       fields.Call(),
		Answer:     fields.Answer(),
		OK:         fields.Ok(),
		From:       decodeMember(fields.From(nil)),
		To:         fields.To(),
		Epoch:      fields.Epoch(),
		Ballot:     fields.Ballot(),
		Number:     fields.Number(),
		Base:       fields.Base(),
		Duration:   fields.Duration(),
		HeldBallot: fields.HeldBallot(),
		Text:       string(fields.Text()),
		Body:       fields.BodyBytes(),
	}
	for i := range fields.MembersLength() {
		var member rpcfb.Member
		if fields.Members(&member, i) {
			message.Members = append(message.Members, decodeMember(&member))
		}
	}
	return message, nil
}

// Reply returns the answer to a call, to be filled further.
func (m *Message) Reply(ok bool) *Message {
	return &Message{Kind: m.Kind, Call: m.Call, Answer: true, OK: ok}
}
