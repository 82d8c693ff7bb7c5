package haul

import (
	"cmp"
	"slices"
	"sync"

	"go.uber.org/atomic"

	"shaletrestle/crew"
	"shaletrestle/plate"
	"shaletrestle/scope"
	"shaletrestle/tick"
)

// Sink is where a follower puts what it is told.
type Sink interface {
	Restore(epoch, number uint64, body []byte) error
	Take(epoch, number uint64, body []byte) bool
	Heard()
	At() (epoch, number uint64)
}

// seatsAsBefore in an acknowledgement says that a relay's followers are those it told last.
const seatsAsBefore = "as before"

// Follower keeps a sink up to date from one source at a time.
type Follower struct {
	sc    *scope.Scope
	net   crew.Net
	sink  Sink
	self  crew.Seat
	relay bool
	pick  func(failed string) string
	seats func() []crew.Seat
	now   atomic.String
	fresh atomic.Bool
	ch    atomic.Pointer[crew.Channel]
	mu    sync.Mutex
	told  told
}

// told is the newest acknowledgement that was sent.
type told struct {
	ch            *crew.Channel
	epoch, number uint64
	seats         []crew.Seat
	at            tick.Moment // when the seats were last sent
}

// NewFollower makes a follower. pick names the next address to follow, given the one that failed; seats, for a relay, lists its own followers.
func NewFollower(sc *scope.Scope, n crew.Net, s Sink, self crew.Seat, relay bool, pick func(string) string, seats func() []crew.Seat) *Follower {
	return &Follower{sc: sc.Part("haul"), net: n, sink: s, self: self, relay: relay, pick: pick, seats: seats}
}

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
		pause := plate.StepPause
		if at == "" {
			pause = plate.LookAgain
		}
		if !tick.Rest(f.sc, pause) {
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
	c, err := f.net.Dial(at, plate.DialWait)
	if err != nil {
		return
	}
	got := make(chan struct{}, 1)
	ch := crew.Open(f.sc, c, func(ch *crew.Channel, n *crew.Note) *crew.Note {
		if n.Kind != crew.News {
			return nil
		}
		select {
		case got <- struct{}{}:
		default:
		}
		if !f.take(n) || !n.OK {
			ch.Close()
			return nil
		}
		f.ack(ch)
		return nil
	})
	defer ch.Close()
	f.ch.Store(ch)
	ep, num := f.sink.At()
	ch.Send(&crew.Note{Kind: crew.Follow, From: f.self, Epoch: ep, Number: num, Word: f.word()})
	f.now.Store(at)
	t := tick.After(plate.NewsLost)
	for {
		select {
		case <-ch.Done():
			return
		case <-f.sc.Done():
			return
		case <-t:
			if ch.Quiet() >= plate.NewsLost {
				return
			}
			t = tick.After(plate.NewsLost - ch.Quiet())
		}
	}
}

// Send passes a note to the source followed now, if there is one.
func (f *Follower) Send(n *crew.Note) bool {
	ch := f.ch.Load()
	return ch != nil && ch.Send(n)
}

// Tell sends the acknowledgement again if this relay's own followers have moved on. Who they are waits for the next beat: with many of them, each one's word would else be passed on with the whole list of seats.
func (f *Follower) Tell() {
	if ch := f.ch.Load(); ch != nil {
		f.mu.Lock()
		ep, num := f.at()
		moved := f.told.ch != ch || f.told.epoch != ep || f.told.number != num
		f.mu.Unlock()
		if moved {
			f.ack(ch)
		}
	}
}

type lower interface{ Acked() uint64 }

func (f *Follower) at() (ep, num uint64) {
	ep, num = f.sink.At()
	if l, ok := f.sink.(lower); ok {
		num = l.Acked()
	}
	return
}

// ack acknowledges; the seats go along when they have changed and again after a while.
func (f *Follower) ack(ch *crew.Channel) {
	var seats []crew.Seat
	if f.seats != nil {
		seats = f.seats()
		slices.SortFunc(seats, func(a, b crew.Seat) int { return cmp.Compare(a.ID, b.ID) })
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	ep, num := f.at()
	n := &crew.Note{Kind: crew.Heard, From: f.self, Epoch: ep, Number: num, Word: seatsAsBefore}
	if f.told.ch != ch || tick.Since(f.told.at) >= plate.SeatsAgain || !slices.Equal(seats, f.told.seats) {
		n.Word, n.Seats = "", seats
		f.told.at, f.told.seats = tick.Now(), seats
	}
	f.told.ch, f.told.epoch, f.told.number = ch, ep, num
	ch.Send(n)
}

func (f *Follower) take(n *crew.Note) bool {
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
