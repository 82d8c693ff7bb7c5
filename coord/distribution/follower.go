package distribution

import (
	"cmp"
	"slices"
	"sync"

	"go.uber.org/atomic"

	"shaletrestle/coord/rpc"
	"shaletrestle/internal/clock"
	"shaletrestle/internal/constants"
	"shaletrestle/internal/errkind"
	"shaletrestle/internal/task"
)

// listed marks an acknowledgement that lists all of a relay's followers; the others say nothing of them.
const listed = "seats"

// Sink is where a follower puts what it is told.
type Sink interface {
	Restore(epoch, number uint64, body []byte) error
	Take(epoch, number uint64, body []byte) bool
	Heard()
	At() (epoch, number uint64)
}

// Follower keeps a sink up to date from one source at a time.
type Follower struct {
	sc    *task.Scope
	net   rpc.Net
	sink  Sink
	self  rpc.Seat
	relay bool
	pick  func(failed string) string
	seats func() []rpc.Seat
	now   atomic.String
	carry func() []byte
	other func(*rpc.Note)
	ch    atomic.Pointer[rpc.Channel]
	mu    sync.Mutex
	said  said
}

// NewFollower makes a follower. pick names the next address to follow, given the one that failed; seats, for a relay, lists its own followers.
func NewFollower(sc *task.Scope, n rpc.Net, s Sink, self rpc.Seat, relay bool, pick func(string) string, seats func() []rpc.Seat) *Follower {
	return &Follower{sc: sc.Part("distribution"), net: n, sink: s, self: self, relay: relay, pick: pick, seats: seats}
}

// Carry sets what acknowledgements carry along; f gives nil when there is nothing to tell. It is set before Run.
func (f *Follower) Carry(c func() []byte) { f.carry = c }

// Self is the seat that this follower tells of itself.
func (f *Follower) Self() rpc.Seat { return f.self }

// Source is the address followed now, empty if none.
func (f *Follower) Source() string { return f.now.Load() }

// Drop ends the connection held now; the next address is picked.
func (f *Follower) Drop() {
	if ch := f.ch.Load(); ch != nil {
		ch.Close()
	}
}

// Run follows until the scope ends.
func (f *Follower) Run() {
	bad := ""
	for !f.sc.Ended() {
		at := f.pick(bad)
		if at != "" {
			f.follow(at)
			f.now.Store("")
		}
		bad = at
		pause := constants.StepPause
		if at == "" {
			pause = constants.LookAgain
		}
		if !clock.Rest(f.sc, pause) {
			return
		}
	}
}

func (f *Follower) word() string {
	if f.relay {
		return "relay"
	}
	return "end"
}

func (f *Follower) follow(at string) {
	c, err := f.net.Dial(at, constants.DialWait)
	if err != nil {
		return
	}
	ch := rpc.Open(f.sc, c, func(ch *rpc.Channel, n *rpc.Note) *rpc.Note {
		if n.Kind != rpc.News {
			if f.other != nil {
				f.other(n)
			}
			return nil
		}
		if !f.take(n) || !n.OK {
			ch.Close()
			return nil
		}
		f.ack(ch, false)
		return nil
	})
	defer ch.Close()
	f.ch.Store(ch)
	ep, num := f.sink.At()
	ch.Send(&rpc.Note{Kind: rpc.Follow, From: f.self, Epoch: ep, Number: num, Word: f.word()})
	f.now.Store(at)
	t := clock.After(constants.NewsLost)
	for {
		select {
		case <-ch.Done():
			return
		case <-f.sc.Done():
			return
		case <-t:
			if ch.Quiet() >= constants.NewsLost {
				return
			}
			t = clock.After(constants.NewsLost - ch.Quiet())
		}
	}
}

// Others sets what takes the source's notes that are no news. Call it before Run.
func (f *Follower) Others(take func(*rpc.Note)) { f.other = take }

// Send passes a note to the source followed now, if there is one.
func (f *Follower) Send(n *rpc.Note) bool {
	ch := f.ch.Load()
	return ch != nil && ch.Send(n)
}

// Call asks the source followed now.
func (f *Follower) Call(n *rpc.Note, d clock.Span) (*rpc.Note, error) {
	ch := f.ch.Load()
	if ch == nil {
		return nil, errkind.New(errkind.Unready, "nobody is followed")
	}
	return ch.Call(n, d)
}

// Tell sends the acknowledgement again if this relay's own followers have moved on or are others.
func (f *Follower) Tell() {
	if ch := f.ch.Load(); ch != nil {
		f.ack(ch, true)
	}
}

type lower interface{ Acked() uint64 }

// said is what a channel's other end was told last.
type said struct {
	ch            *rpc.Channel
	epoch, number uint64
	seats         []rpc.Seat
}

// ack acknowledges; a relay's followers are listed only if they are others than this channel was told before.
func (f *Follower) ack(ch *rpc.Channel, ifMoved bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	ep, num := f.sink.At()
	if l, ok := f.sink.(lower); ok {
		num = l.Acked()
	}
	n := &rpc.Note{Kind: rpc.Heard, From: f.self, Epoch: ep, Number: num}
	was := f.said
	f.said = said{ch, ep, num, nil}
	if f.seats != nil {
		f.said.seats = f.seats()
		slices.SortFunc(f.said.seats, func(a, b rpc.Seat) int {
			return cmp.Or(cmp.Compare(a.ID, b.ID), cmp.Compare(a.Addr, b.Addr), cmp.Compare(a.Locality, b.Locality))
		})
		if was.ch != ch || !slices.Equal(was.seats, f.said.seats) {
			n.Word, n.Seats = listed, f.said.seats
		}
	}
	if f.carry != nil {
		n.Body = f.carry()
	}
	if ifMoved && was.ch == ch && was.epoch == ep && was.number == num && n.Word == "" && len(n.Body) == 0 {
		return
	}
	ch.Send(n)
}

func (f *Follower) take(n *rpc.Note) bool {
	ep, num := f.sink.At()
	switch n.Word {
	case "beat":
		if n.OK {
			f.sink.Heard()
		}
		return n.Epoch == ep && n.Number == num || !n.OK
	case "whole":
		if n.Epoch < ep {
			return false
		}
		return f.sink.Restore(n.Epoch, n.Number, n.Body) == nil
	}
	return f.sink.Take(n.Epoch, n.Number, n.Body)
}
