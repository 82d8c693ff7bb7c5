package distribution

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"shaletrestle/coord/wait"

	"go.uber.org/atomic"

	"shaletrestle/coord/rpc"
	"shaletrestle/internal/errkind"
)

// Sink is where a follower puts what it is told.
type Sink interface {
	Restore(at Position, body []byte, current bool) error
	Apply(at Position, body []byte) bool
	MarkContact()
	At() (epoch, number uint64)
	ResumeFrom() Position
}

// Follower keeps a sink up to date from one source at a time.
type Follower struct {
	ctx   context.Context
	net   rpc.Net
	sink  Sink
	self  rpc.Member
	relay bool
	pick  func(failed string) string
	seats func() []rpc.Member
	now   atomic.String
	carry func() []byte
	other func(*rpc.Message)
	ch    atomic.Pointer[rpc.Channel]
	mu    sync.Mutex
	said  said
}

// NewFollower makes a follower. pick names the next address to follow, given the one that failed; seats, for a relay, lists its own followers.
func NewFollower(ctx context.Context, n rpc.Net, s Sink, self rpc.Member, relay bool, pick func(string) string, seats func() []rpc.Member) *Follower {
	return &Follower{ctx: ctx, net: n, sink: s, self: self, relay: relay, pick: pick, seats: seats}
}

// Carry sets what acknowledgements carry along; f gives nil when there is nothing to tell. It is set before Run.
func (f *Follower) Carry(c func() []byte) { f.carry = c }

// Self is the seat that this follower tells of itself.
func (f *Follower) Self() rpc.Member { return f.self }

// SourceAddress is the address followed now, empty if none.
func (f *Follower) SourceAddress() string { return f.now.Load() }

// Disconnect ends the connection held now; the next address is picked.
func (f *Follower) Disconnect() {
	if ch := f.ch.Load(); ch != nil {
		ch.Close()
	}
}

// Run follows until the scope ends.
func (f *Follower) Run() {
	bad := ""
	for f.ctx.Err() == nil {
		at := f.pick(bad)
		if at != "" {
			f.follow(at)
			f.now.Store("")
		}
		bad = at
		pause := stepPause
		if at == "" {
			pause = lookAgain
		}
		if !wait.Sleep(f.ctx, pause) {
			return
		}
	}
}

func (f *Follower) role() role {
	if f.relay {
		return roleRelay
	}
	return roleEnd
}

// receive takes one message of the source; a source that can't be followed on is left.
func (f *Follower) receive(ch *rpc.Channel, n *rpc.Message) {
	if n.Kind != rpc.Update {
		if f.other != nil {
			f.other(n)
		}
		return
	}
	if !f.take(n) || !n.OK {
		ch.Close()
		return
	}
	f.ack(ch, false)
}

func (f *Follower) follow(at string) {
	c, err := f.net.Dial(at, rpc.DialTimeout)
	if err != nil {
		return
	}
	ch := rpc.Open(f.ctx, c, func(ch *rpc.Channel, n *rpc.Message) *rpc.Message {
		f.receive(ch, n)
		return nil
	})
	defer ch.Close()
	f.ch.Store(ch)
	ch.Send(followMessage(f.self, f.sink.ResumeFrom(), f.role()))
	f.now.Store(at)
	t := time.After(newsLost)
	for {
		select {
		case <-ch.Done():
			return
		case <-f.ctx.Done():
			return
		case <-t:
			if ch.IdleTime() >= newsLost {
				return
			}
			t = time.After(newsLost - ch.IdleTime())
		}
	}
}

// Others sets what takes the source's notes that are no news. Call it before Run.
func (f *Follower) Others(take func(*rpc.Message)) { f.other = take }

// Send passes a note to the source followed now, if there is one.
func (f *Follower) Send(n *rpc.Message) bool {
	ch := f.ch.Load()
	return ch != nil && ch.Send(n)
}

// Call asks the source followed now.
func (f *Follower) Call(n *rpc.Message, d time.Duration) (*rpc.Message, error) {
	ch := f.ch.Load()
	if ch == nil {
		return nil, errkind.New(errkind.Unavailable, "nobody is followed")
	}
	return ch.Call(n, d)
}

// ReportProgress sends the acknowledgement again if this relay's own followers have moved on or are others.
func (f *Follower) ReportProgress() {
	if ch := f.ch.Load(); ch != nil {
		f.ack(ch, true)
	}
}

type lower interface{ Acked() uint64 }

// said is what a channel's other end was told last.
type said struct {
	ch            *rpc.Channel
	epoch, number uint64
	seats         []rpc.Member
}

// ack acknowledges; a relay's followers are listed only if they are others than this channel was told before.
func (f *Follower) ack(ch *rpc.Channel, ifMoved bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	ep, own := f.sink.At()
	num := own
	if l, ok := f.sink.(lower); ok {
		num = l.Acked()
	}
	n := ackMessage(f.self, ep, own, num)
	was := f.said
	f.said = said{ch, ep, num, nil}
	if f.seats != nil {
		f.said.seats = f.seats()
		slices.SortFunc(f.said.seats, func(a, b rpc.Member) int {
			return cmp.Or(cmp.Compare(a.ID, b.ID), cmp.Compare(a.Address, b.Address), cmp.Compare(a.Zone, b.Zone))
		})
		if was.ch != ch || !slices.Equal(was.seats, f.said.seats) {
			n.Text, n.Members = seatsListed, f.said.seats
		}
	}
	if f.carry != nil {
		n.Body = f.carry()
	}
	if ifMoved && was.ch == ch && was.epoch == ep && was.number == num && n.Text == "" && len(n.Body) == 0 {
		return
	}
	ch.Send(n)
}

// take puts one message of the source into the sink; false means that the source can't be followed on.
func (f *Follower) take(n *rpc.Message) bool {
	at := positionOf(n)
	epoch, number := f.sink.At()
	switch form(n.Text) {
	case formSnapshot:
		return f.sink.Restore(at, n.Body, n.OK) == nil
	case formWait:
		return at.Epoch >= epoch
	case formHeartbeat:
		if !n.OK || at.Epoch != epoch || at.Number > number {
			return false
		}
		f.sink.MarkContact()
		return true
	}
	return f.sink.Apply(at, n.Body)
}
