// Package distribution pushes numbered changes down held connections, from the primary through relays to the followers, and counts who has taken them.
package distribution

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"shaletrestle/coord/rpc"
	"shaletrestle/coord/wait"
)

// State is the view that changes are folded into. Its methods are never called at the same time.
type State interface {
	Restore(snapshot []byte) error
	// Update applies a change. It returns an error, and leaves the state as it is, if the change does not apply.
	Update(change []byte) error
	Snapshot() []byte
}

// change is one change as it is sent.
type change struct {
	number  uint64
	encoded []byte
}

// Feed holds a board and pushes what changes it to the followers of this process.
type Feed struct {
	ctx         context.Context
	log         *slog.Logger
	mu          sync.Mutex
	board       State
	progress    progress
	fresh       time.Time // a relay: when its own source was last heard to be in touch with the primary
	source      *Source   // nil: this process is a relay
	kept        []change  // the newest changes, without a gap, the last is at progress.at
	snapshot    []byte    // the encoded snapshot message at progress.at, once somebody needed it
	subscribers map[*rpc.Channel]*subscriber
	queue       []*subscriber // those that wait for a snapshot, in order
	underWay    int           // snapshots sent and not acknowledged yet
	wake        chan struct{}
	onAck       func(all Position)
}

// NewFeed makes a feed over a board. onAck, which may be nil, is told the number that all followers have taken.
func NewFeed(ctx context.Context, log *slog.Logger, b State, onAck func(all Position)) *Feed {
	f := &Feed{
		ctx:         ctx,
		log:         log.With("part", "distribution"),
		board:       b,
		fresh:       time.Now(),
		subscribers: map[*rpc.Channel]*subscriber{},
		wake:        make(chan struct{}),
		onAck:       onAck,
	}
	go wait.Every(f.ctx, HeartbeatInterval, func() bool { f.beat(); return true })
	return f
}

// Source is the right to push changes in one epoch. It ends with End, or when a newer source is heard of.
type Source struct {
	feed  *Feed
	epoch uint64
}

// Begin makes this process the source of an epoch. first gives the board's first state in it and is called while
// nothing else changes the board. It gives nil if a newer source has been heard of already.
func (f *Feed) Begin(epoch uint64, first func() []byte) *Source {
	f.mu.Lock()
	defer f.mu.Unlock()
	if epoch < f.progress.at.Epoch {
		return nil
	}
	if err := f.board.Restore(first()); err != nil {
		f.log.Error("first state can't be read", "err", err.Error())
		return nil
	}
	start := Position{Epoch: epoch}
	if epoch == f.progress.at.Epoch { // the same view's primary again: its numbers go on
		start.Number = f.progress.at.Number + 1
	}
	f.source = &Source{feed: f, epoch: epoch}
	f.moveTo(start)
	return f.source
}

// Push folds one change, sends it on and gives its number; false if the source has ended.
func (s *Source) Push(body []byte) (uint64, bool) {
	return s.PushIf(nil, body)
}

// PushIf is Push if the condition, when there is one, holds at the last moment before.
func (s *Source) PushIf(holds func() bool, body []byte) (uint64, bool) {
	f := s.feed
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.source != s || holds != nil && !holds() {
		return 0, false
	}
	at := Position{s.epoch, f.progress.at.Number + 1}
	if err := f.push(at, body); err != nil {
		f.log.Error("change can't be folded", "err", err.Error())
		return 0, false
	}
	return at.Number, true
}

// Number is the newest number pushed; false if the source has ended.
func (s *Source) Number() (uint64, bool) {
	s.feed.mu.Lock()
	defer s.feed.mu.Unlock()
	return s.feed.progress.at.Number, s.feed.source == s
}

// End says that this process is a source no longer, and tells the followers at once.
func (f *Feed) End() {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.source == nil {
		return
	}
	f.source = nil
	f.fresh = time.Time{}
	f.sendBeats()
}

// Restore takes a snapshot from this process's own source, which says whether it is current; one that is older than what is held is refused.
func (f *Feed) Restore(at Position, body []byte, current bool) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.source != nil && at.Epoch <= f.source.epoch {
		return errors.Wrapf(ErrStale, "this process is the source of epoch %d", f.source.epoch)
	}
	if err := f.progress.mayRestore(at); err != nil {
		return err
	}
	if err := f.board.Restore(body); err != nil {
		return err
	}
	f.source = nil
	f.fresh = time.Time{}
	if current {
		f.fresh = time.Now()
	}
	f.moveTo(at)
	return nil
}

// moveTo starts anew at a position that changes don't lead to: all followers need a snapshot.
func (f *Feed) moveTo(at Position) {
	f.progress = progress{at: at}
	f.kept = nil
	f.snapshot = nil
	f.needSnapshots()
	f.signal()
}

// Apply folds a change of this process's own source; false means that a snapshot or what is missing must come first.
func (f *Feed) Apply(at Position, body []byte) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.source != nil {
		return false
	}
	switch f.progress.judge(at) {
	case stepGap:
		return false
	case stepNext:
		if f.push(at, body) != nil {
			f.progress.damaged = true
			return false
		}
	}
	f.fresh = time.Now()
	return true
}

func (f *Feed) push(at Position, body []byte) error {
	if err := f.board.Update(body); err != nil {
		return err
	}
	f.progress.at = at
	f.snapshot = nil
	f.kept = append(f.kept, change{at.Number, changeMessage(at, body).Encode()})
	if len(f.kept) > keepChanges {
		f.kept = append([]change{}, f.kept[len(f.kept)/2:]...)
	}
	for _, s := range f.subscribers {
		f.advance(s)
	}
	f.signal()
	return nil
}

func (f *Feed) signal() {
	close(f.wake)
	f.wake = make(chan struct{})
}

// MarkContact marks that this process's own source is in touch with the primary.
func (f *Feed) MarkContact() {
	f.mu.Lock()
	f.fresh = time.Now()
	f.mu.Unlock()
}

// current tells whether what is held may be called current: this is the source, or a source was heard lately.
func (f *Feed) current() bool {
	return f.source != nil || time.Since(f.fresh) < relayStale
}

// WaitAcked waits until all connected followers have taken a number, at most d. It tells how many have and how many there are.
func (f *Feed) WaitAcked(ctx context.Context, number uint64, d time.Duration) (have, of int) {
	end := time.After(d)
	for {
		f.mu.Lock()
		have, of = 0, len(f.subscribers)
		for _, s := range f.subscribers {
			if s.acked >= number {
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
		case <-ctx.Done():
			return
		}
	}
}

// Broadcast sends a note that is no news to all followers: it has no number and may be lost.
func (f *Feed) Broadcast(n *rpc.Message) {
	b := n.Encode()
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, s := range f.subscribers {
		s.ch.SendRaw(b)
	}
}

// EndFollowers lists the end followers: those connected here and those that relays told of.
func (f *Feed) EndFollowers() []rpc.Member {
	f.mu.Lock()
	defer f.mu.Unlock()
	var out []rpc.Member
	for _, s := range f.subscribers {
		if s.relay {
			out = append(out, s.below...)
		} else {
			out = append(out, s.seat)
		}
	}
	return out
}

// Position is that of the newest update here, the zero Position if none has come.
func (f *Feed) Position() Position {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.progress.at
}

// ResumeFrom is the position to ask this process's own source for.
func (f *Feed) ResumeFrom() Position {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.progress.resumeFrom()
}

// Acked is the number that every follower has taken.
func (f *Feed) Acked() uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.low()
}
