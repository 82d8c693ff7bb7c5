// Package rpc is how the project's own processes talk: FlatBuffers notes in frames over held channels.
package rpc

import (
	flatbuffers "github.com/google/flatbuffers/go"

	"shaletrestle/coord/rpc/rpcfb"
	"shaletrestle/internal/errkind"
)

// Kind tells what a note is about.
type Kind uint16

// The kinds of notes.
const (
	Hello       Kind = iota + 1 // who are you and what do you know
	Replication                 // a message of package replication, in the body
	Lease                       // ask a witness for a duty
	Subscribe                   // subscribe to news
	Update                      // one numbered change or a checkpoint
	UpdateAck                   // news acknowledged up to a number
	Suspect                     // a router suspects another
	LoadSums                    // what waits at the replicas, as the sender knows it
	Loan                        // a router asks for further tries out of the common part of a service's budget
	Job                         // long work between routers
)

// Member names a member: its id belongs to its disk, the address is only where it lives.
type Member struct {
	ID      uint64
	Address string
	Zone    string
}

// Message is one message.
type Message struct {
	Kind       Kind
	Call       uint64
	Answer     bool
	OK         bool
	From       Member
	To         uint64
	Epoch      uint64
	Ballot     uint64
	Number     uint64
	Base       uint64
	Duration   uint64
	HeldBallot uint64
	Text       string
	Body       []byte
	Members    []Member
}

func putMember(b *flatbuffers.Builder, s Member) flatbuffers.UOffsetT {
	a, l := b.CreateString(s.Address), b.CreateString(s.Zone)
	rpcfb.MemberStart(b)
	rpcfb.MemberAddId(b, s.ID)
	rpcfb.MemberAddAddress(b, a)
	rpcfb.MemberAddZone(b, l)
	return rpcfb.MemberEnd(b)
}

func putMembers(b *flatbuffers.Builder, ss []Member, start func(*flatbuffers.Builder, int) flatbuffers.UOffsetT) flatbuffers.UOffsetT {
	os := make([]flatbuffers.UOffsetT, len(ss))
	for i, s := range ss {
		os[i] = putMember(b, s)
	}
	start(b, len(os))
	for i := len(os) - 1; i >= 0; i-- {
		b.PrependUOffsetT(os[i])
	}
	return b.EndVector(len(os))
}

// Encode puts a note into bytes.
func (m *Message) Encode() []byte {
	b := flatbuffers.NewBuilder(256 + len(m.Body))
	from := putMember(b, m.From)
	var wd, bd, st flatbuffers.UOffsetT
	if m.Text != "" {
		wd = b.CreateString(m.Text)
	}
	if m.Body != nil {
		bd = b.CreateByteVector(m.Body)
	}
	if len(m.Members) > 0 {
		st = putMembers(b, m.Members, rpcfb.MessageStartMembersVector)
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
	for _, x := range []struct {
		o   flatbuffers.UOffsetT
		add func(*flatbuffers.Builder, flatbuffers.UOffsetT)
	}{{wd, rpcfb.MessageAddText}, {bd, rpcfb.MessageAddBody}, {st, rpcfb.MessageAddMembers}} {
		if x.o != 0 {
			x.add(b, x.o)
		}
	}
	b.Finish(rpcfb.MessageEnd(b))
	return b.FinishedBytes()
}

func getMember(s *rpcfb.Member) Member {
	if s == nil {
		return Member{}
	}
	return Member{s.Id(), string(s.Address()), string(s.Zone())}
}

// Decode reads a note; bytes that are none give an error, never a panic.
func Decode(b []byte) (n *Message, err error) {
	defer func() {
		if r := recover(); r != nil {
			n, err = nil, errkind.New(errkind.InvalidInput, "note: %v", r)
		}
	}()
	if len(b) < 8 {
		return nil, errkind.New(errkind.InvalidInput, "note of %d bytes", len(b))
	}
	f := rpcfb.GetRootAsMessage(b, 0)
	n = &Message{
		Kind: Kind(f.Kind()), Call: f.Call(), Answer: f.Answer(), OK: f.Ok(), From: getMember(f.From(nil)), To: f.To(),
		Epoch: f.Epoch(), Ballot: f.Ballot(), Number: f.Number(), Base: f.Base(), Duration: f.Duration(),
		HeldBallot: f.HeldBallot(),
		Text:       string(f.Text()), Body: f.BodyBytes(),
	}
	for i := range f.MembersLength() {
		var s rpcfb.Member
		if f.Members(&s, i) {
			n.Members = append(n.Members, getMember(&s))
		}
	}
	return n, nil
}

// Reply starts the answer to a note.
func (m *Message) Reply(ok bool) *Message {
	return &Message{Kind: m.Kind, Call: m.Call, Answer: true, OK: ok}
}
