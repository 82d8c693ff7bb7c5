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
	Follow                      // subscribe to news
	News                        // one numbered change or a checkpoint
	Heard                       // news acknowledged up to a number
	Suspect                     // a router suspects another
	Deck                        // what waits at the replicas, as the sender knows it
	Lend                        // a router asks for further tries out of the common part of a service's budget
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
	Span       uint64
	HeldBallot uint64
	Word       string
	Body       []byte
	Seats      []Member
}

func putSeat(b *flatbuffers.Builder, s Member) flatbuffers.UOffsetT {
	a, l := b.CreateString(s.Address), b.CreateString(s.Zone)
	rpcfb.SeatStart(b)
	rpcfb.SeatAddId(b, s.ID)
	rpcfb.SeatAddAddr(b, a)
	rpcfb.SeatAddLocality(b, l)
	return rpcfb.SeatEnd(b)
}

func putSeats(b *flatbuffers.Builder, ss []Member, start func(*flatbuffers.Builder, int) flatbuffers.UOffsetT) flatbuffers.UOffsetT {
	os := make([]flatbuffers.UOffsetT, len(ss))
	for i, s := range ss {
		os[i] = putSeat(b, s)
	}
	start(b, len(os))
	for i := len(os) - 1; i >= 0; i-- {
		b.PrependUOffsetT(os[i])
	}
	return b.EndVector(len(os))
}

// Encode puts a note into bytes.
func (n *Message) Encode() []byte {
	b := flatbuffers.NewBuilder(256 + len(n.Body))
	from := putSeat(b, n.From)
	var wd, bd, st flatbuffers.UOffsetT
	if n.Word != "" {
		wd = b.CreateString(n.Word)
	}
	if n.Body != nil {
		bd = b.CreateByteVector(n.Body)
	}
	if len(n.Seats) > 0 {
		st = putSeats(b, n.Seats, rpcfb.NoteStartSeatsVector)
	}
	rpcfb.NoteStart(b)
	rpcfb.NoteAddKind(b, uint16(n.Kind))
	rpcfb.NoteAddCall(b, n.Call)
	rpcfb.NoteAddAnswer(b, n.Answer)
	rpcfb.NoteAddOk(b, n.OK)
	rpcfb.NoteAddFrom(b, from)
	rpcfb.NoteAddTo(b, n.To)
	rpcfb.NoteAddEpoch(b, n.Epoch)
	rpcfb.NoteAddBallot(b, n.Ballot)
	rpcfb.NoteAddNumber(b, n.Number)
	rpcfb.NoteAddBase(b, n.Base)
	rpcfb.NoteAddSpan(b, n.Span)
	rpcfb.NoteAddHeldBallot(b, n.HeldBallot)
	for _, x := range []struct {
		o   flatbuffers.UOffsetT
		add func(*flatbuffers.Builder, flatbuffers.UOffsetT)
	}{{wd, rpcfb.NoteAddWord}, {bd, rpcfb.NoteAddBody}, {st, rpcfb.NoteAddSeats}} {
		if x.o != 0 {
			x.add(b, x.o)
		}
	}
	b.Finish(rpcfb.NoteEnd(b))
	return b.FinishedBytes()
}

func getSeat(s *rpcfb.Seat) Member {
	if s == nil {
		return Member{}
	}
	return Member{s.Id(), string(s.Addr()), string(s.Locality())}
}

// Decode reads a note; bytes that are none give an error, never a panic.
func Decode(b []byte) (n *Message, err error) {
	defer func() {
		if r := recover(); r != nil {
			n, err = nil, errkind.New(errkind.BadInput, "note: %v", r)
		}
	}()
	if len(b) < 8 {
		return nil, errkind.New(errkind.BadInput, "note of %d bytes", len(b))
	}
	f := rpcfb.GetRootAsNote(b, 0)
	n = &Message{
		Kind: Kind(f.Kind()), Call: f.Call(), Answer: f.Answer(), OK: f.Ok(), From: getSeat(f.From(nil)), To: f.To(),
		Epoch: f.Epoch(), Ballot: f.Ballot(), Number: f.Number(), Base: f.Base(), Span: f.Span(),
		HeldBallot: f.HeldBallot(),
		Word:       string(f.Word()), Body: f.BodyBytes(),
	}
	for i := range f.SeatsLength() {
		var s rpcfb.Seat
		if f.Seats(&s, i) {
			n.Seats = append(n.Seats, getSeat(&s))
		}
	}
	return n, nil
}

// Reply starts the answer to a note.
func (n *Message) Reply(ok bool) *Message {
	return &Message{Kind: n.Kind, Call: n.Call, Answer: true, OK: ok}
}
