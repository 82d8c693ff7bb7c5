// Package distribution pushes numbered changes down held connections, from the primary through relays to the followers, and counts who has taken them.
package distribution

import (
	"sync"

	"shaletrestle/coord/rpc"
	"shaletrestle/internal/clock"
	"shaletrestle/internal/constants"
	"shaletrestle/internal/errkind"
	"shaletrestle/internal/task"
)

// Board is the view that changes are folded into. Its methods are never called at the same time.
type Board interface {
	Restore(checkpoint []byte) error
	Fold(change []byte)
	Checkpoint() []byte
}

type change struct {
	number uint64
	body   []byte
}

type listener struct {
	ch    *rpc.Channel
	seat  rpc.Seat
	heard uint64
	relay bool
	seats []rpc.Seat
	sent  clock.Moment
}

// Feed holds a board and pushes what changes it to the followers of this process.
type Feed struct {
	sc     *task.Scope
	mu     sync.Mutex
	board  Board
	epoch  uint64
	number uint64
	fresh  clock.Moment // a relay: when its own source was last heard
	source bool
	kept   []change
	point  []byte // the board as it is, once somebody needed it whole
	subs   map[*rpc.Channel]*listener
	wake   chan struct{}
	onAck  func(epoch, number uint64)
}

// NewFeed makes a feed over a board. onAck, which may be nil, is told the number that all followers have taken.
func NewFeed(sc *task.Scope, b Board, onAck func(epoch, number uint64)) *Feed {
	f := &Feed{sc: sc.Part("distribution"), board: b, fresh: clock.Now(), subs: map[*rpc.Channel]*listener{}, wake: make(chan struct{}), onAck: onAck}
	go clock.Every(f.sc, constants.NewsBeat, func() bool { f.beat(); return true })
	return f
}

// Begin starts a new life of the sequence, with this process as its source. The board holds its first state.
func (f *Feed) Begin(epoch uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.epoch, f.number, f.kept, f.point, f.source = epoch, 0, nil, nil, true
	for _, l := range f.subs {
		f.whole(l)
	}
}

// End says that this process is a source no longer.
func (f *Feed) End() {
	f.mu.Lock()
	f.source = false
	f.mu.Unlock()
}

// Restore takes a checkpoint from this process's own source.
func (f *Feed) Restore(epoch, number uint64, body []byte) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.source || epoch < f.epoch {
		return errkind.New(errkind.Stale, "news of epoch %d, here is %d", epoch, f.epoch)
	}
	if err := f.board.Restore(body); err != nil {
		return err
	}
	f.epoch, f.number, f.kept, f.point, f.source, f.fresh = epoch, number, nil, nil, false, clock.Now()
	for _, l := range f.subs {
		f.whole(l)
	}
	f.signal()
	return nil
}

// Push folds one change and sends it on. It gives the change's number.
func (f *Feed) Push(body []byte) uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.push(f.number+1, body)
	return f.number
}

// Take folds a change of this process's own source; false means a gap.
func (f *Feed) Take(epoch, number uint64, body []byte) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.source {
		return false
	}
	f.fresh = clock.Now()
	if epoch != f.epoch || number != f.number+1 {
		return epoch == f.epoch && number <= f.number
	}
	f.push(number, body)
	return true
}

func (f *Feed) push(number uint64, body []byte) {
	f.board.Fold(body)
	f.number, f.point = number, nil
	f.kept = append(f.kept, change{number, body})
	if len(f.kept) > constants.NewsKeep {
		f.kept = append([]change{}, f.kept[len(f.kept)/2:]...)
	}
	b := (&rpc.Note{Kind: rpc.News, OK: true, Epoch: f.epoch, Number: number, Base: number - 1, Body: body}).Encode()
	for _, l := range f.subs {
		l.sent = clock.Now()
		l.ch.SendRaw(b)
	}
	f.signal()
}

func (f *Feed) signal() {
	close(f.wake)
	f.wake = make(chan struct{})
}

// Heard marks that the source lives.
func (f *Feed) Heard() {
	f.mu.Lock()
	f.fresh = clock.Now()
	f.mu.Unlock()
}

func (f *Feed) alive() bool { return f.source || clock.Since(f.fresh) < constants.RelayStale }

func (f *Feed) whole(l *listener) {
	l.heard = 0
	l.sent = clock.Now()
	if f.point == nil {
		f.point = f.board.Checkpoint()
	}
	l.ch.Send(&rpc.Note{Kind: rpc.News, OK: f.alive(), Epoch: f.epoch, Number: f.number, Word: "whole", Body: f.point})
}

func (f *Feed) beat() {
	f.mu.Lock()
	defer f.mu.Unlock()
	ok := f.alive()
	n := (&rpc.Note{Kind: rpc.News, OK: ok, Epoch: f.epoch, Number: f.number, Word: "beat"}).Encode()
	for _, l := range f.subs {
		if l.ch.Quiet() > constants.NewsLost {
			go l.ch.Close()
			continue
		}
		if clock.Since(l.sent) >= constants.NewsBeat/2 || !ok {
			l.ch.SendRaw(n)
		}
	}
}

// Follow takes on a follower: what it lacks is sent, then every change.
func (f *Feed) Follow(ch *rpc.Channel, n *rpc.Note) {
	l := &listener{ch: ch, seat: n.From, relay: n.Word == "relay"}
	f.mu.Lock()
	f.subs[ch] = l
	if f.epoch != 0 {
		f.catchUp(l, n.Epoch, n.Number)
	}
	f.mu.Unlock()
	ch.OnClose(func() {
		f.mu.Lock()
		delete(f.subs, ch)
		f.signal()
		f.mu.Unlock()
	})
}

func (f *Feed) catchUp(l *listener, epoch, number uint64) {
	if epoch == f.epoch && number <= f.number && (number == f.number || len(f.kept) > 0 && f.kept[0].number <= number+1) {
		for _, c := range f.kept {
			if c.number > number {
				l.ch.Send(&rpc.Note{Kind: rpc.News, OK: true, Epoch: f.epoch, Number: c.number, Base: c.number - 1, Body: c.body})
			}
		}
		return
	}
	f.whole(l)
}

// Ack takes a follower's word that it has taken all up to a number.
func (f *Feed) Ack(ch *rpc.Channel, n *rpc.Note) {
	f.mu.Lock()
	l := f.subs[ch]
	if l != nil {
		if n.Word == listed {
			l.seats = n.Seats
		}
		if n.Epoch == f.epoch {
			l.heard = n.Number
		}
	}
	ep, low := f.epoch, f.low()
	f.signal()
	f.mu.Unlock()
	if l != nil && f.onAck != nil {
		f.onAck(ep, low)
	}
}

func (f *Feed) low() uint64 {
	low := f.number
	for _, l := range f.subs {
		low = min(low, l.heard)
	}
	return low
}

// Wait waits until all connected followers have taken a number, at most d. It tells how many have and how many there are.
func (f *Feed) Wait(sc *task.Scope, number uint64, d clock.Span) (have, of int) {
	end := clock.After(d)
	for {
		f.mu.Lock()
		have, of = 0, len(f.subs)
		for _, l := range f.subs {
			if l.heard >= number {
				have++
			}
		}
		w := f.wake
		f.mu.Unlock()
		if have == of {
			return
		}
		select {
		case <-w:
		case <-end:
			return
		case <-sc.Done():
			return
		}
	}
}

// Spread sends a note that is no news to all followers: it has no number and may be lost.
func (f *Feed) Spread(n *rpc.Note) {
	b := n.Encode()
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, l := range f.subs {
		l.ch.SendRaw(b)
	}
}

// Reached lists the end followers: those connected here and those that relays told of.
func (f *Feed) Reached() []rpc.Seat {
	f.mu.Lock()
	defer f.mu.Unlock()
	var out []rpc.Seat
	for _, l := range f.subs {
		if l.relay {
			out = append(out, l.seats...)
		} else {
			out = append(out, l.seat)
		}
	}
	return out
}

// At tells the sequence's life and newest number.
func (f *Feed) At() (epoch, number uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.epoch, f.number
}

// Acked is the number that every follower has taken.
func (f *Feed) Acked() uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.low()
}
