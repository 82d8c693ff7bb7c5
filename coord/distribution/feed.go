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

// State is what updates change. Its methods are called one at a time, with the lock of the feed or cursor held, and
// must not call that.
type State interface {
	// Restore replaces the state by a snapshot, or returns an error and leaves it as it is.
	Restore(snapshot []byte) error
	// Update applies a change. It returns an error, and leaves the state as it is, if the change does not apply.
	Update(change []byte) error
	// Snapshot encodes the whole state.
	Snapshot() []byte
}

// Feed is a state and the followers of this process, to which it forwards whatever changes the state: as the source, or
// as a relay, whose own Follower puts updates into it.
type Feed struct {
	log    *slog.Logger
	onAck  func(all Position)
	nearer func(zone string) []rpc.Member // nil: nobody is sent to a nearer parent

	mu sync.Mutex // guards what follows
	content
	source        *Source                      // nil: this process is a relay
	lastContact   time.Time                    // of a relay: when its parent last said that it is current
	changes       []*change                    // the newest ones, without a gap; the last is at progress.at
	snapshots     map[snapshotKey][]byte       // encoded messages at progress.at, by who needs them
	subscribers   map[*rpc.Channel]*subscriber // the followers of this process
	queue         []*subscriber                // those that wait for a snapshot, in order
	inFlight      int                          // snapshots sent and not acknowledged yet
	inFlightBytes int                          // of these
	changed       chan struct{}                // closed and replaced when positions or acknowledgements changed
}

// NewFeed returns a feed over a state; it is a relay until Begin. It sends heartbeats to its followers and closes the
// silent ones until the context ends. onAck is called after each acknowledgement, without a lock, with the position
// that all followers have taken; nil: nobody is notified.
func NewFeed(ctx context.Context, log *slog.Logger, state State, onAck func(all Position)) *Feed {
	f := &Feed{
		log:         log.With("part", "distribution"),
		onAck:       onAck,
		content:     content{state: state},
		lastContact: time.Now(),
		snapshots:   map[snapshotKey][]byte{},
		subscribers: map[*rpc.Channel]*subscriber{},
		changed:     make(chan struct{}),
	}
	go wait.Every(ctx, HeartbeatInterval, func() bool { f.heartbeat(); return true })
	return f
}

// RedirectNew lets the feed send followers that have no state yet, and take it, to parents that are nearer to them: the
// function gives those for a follower's zone, none if this process may keep it. It is called with the feed locked and must
// not call it. RedirectNew must be called before the first subscription.
func (f *Feed) RedirectNew(nearer func(zone string) []rpc.Member) { f.nearer = nearer }

// Restore is part of Sink. All followers are sent a snapshot, or offered it. The error is ErrStale also if this process
// is the source of the snapshot's epoch or a later one; else it is that of the state's Restore.
func (f *Feed) Restore(at Position, snapshot []byte, current bool) error {
	return f.replace(at, current, func() error { return f.restore(at, snapshot) })
}

// restoreFrom is part of Sink; what Restore says of followers and errors holds here too.
func (f *Feed) restoreFrom(at Position, partial *partialSnapshot, current bool) error {
	return f.replace(at, current, func() error { return f.restoreParts(at, partial) })
}

// adoptAt is part of Sink; what Restore says of followers and errors holds here too.
func (f *Feed) adoptAt(at Position, offered digest, current bool) error {
	return f.replace(at, current, func() error { return f.adopt(at, offered) })
}

func (f *Feed) replace(at Position, current bool, replace func() error) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.source != nil && at.Epoch <= f.source.epoch {
		return errors.Wrapf(ErrStale, "this process is the source of epoch %d", f.source.epoch)
	}
	if err := replace(); err != nil {
		return err
	}
	f.source = nil
	f.lastContact = time.Time{}
	if current {
		f.lastContact = time.Now()
	}
	f.restartAt(at)
	return nil
}

// partsHere is part of Sink.
func (f *Feed) partsHere() manifest {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.manifest()
}

// restartAt starts anew at a position that changes don't lead to: all followers need its state.
func (f *Feed) restartAt(at Position) {
	f.moveTo(at)
	f.changes = nil
	clear(f.snapshots)
	f.offerAll()
	f.signal()
}

// Apply is part of Sink. The change is forwarded to all followers. A source applies nothing from others.
func (f *Feed) Apply(at Position, body []byte) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.source != nil {
		return false
	}
	switch f.progress.classify(at) {
	case relationGap:
		return false
	case relationNext:
		if f.push(at, body) != nil {
			return false
		}
	}
	f.lastContact = time.Now()
	return true
}

// push applies the next change and forwards it to the followers.
func (f *Feed) push(at Position, body []byte) error {
	if err := f.update(at, body); err != nil {
		return err
	}
	clear(f.snapshots)
	f.changes = append(f.changes, newChange(at, body))
	if len(f.changes) > changeHistory {
		f.changes = append([]*change{}, f.changes[len(f.changes)/2:]...) // copied, so that the dropped half is freed
	}
	for _, s := range f.subscribers {
		f.advance(s)
	}
	f.signal()
	return nil
}

// signal wakes whoever waits for acknowledgements.
func (f *Feed) signal() {
	close(f.changed)
	f.changed = make(chan struct{})
}

// MarkContact is part of Sink.
func (f *Feed) MarkContact() {
	f.mu.Lock()
	f.lastContact = time.Now()
	f.mu.Unlock()
}

// isCurrent reports whether this process is the source, or its parent said lately that it is current.
func (f *Feed) isCurrent() bool {
	return f.source != nil || time.Since(f.lastContact) < relayStaleAfter
}

// WaitAcked waits until all connected followers have taken a number of this epoch, for a relay with all below it. It
// gives up after the timeout or when the context ends, and returns how many have and how many there are.
func (f *Feed) WaitAcked(ctx context.Context, number uint64, timeout time.Duration) (acked, followers int) {
	end := time.After(timeout)
	for {
		acked, followers, moved := f.countAcked(number)
		if acked == followers {
			return acked, followers
		}
		select {
		case <-moved:
		case <-end:
			return acked, followers
		case <-ctx.Done():
			return acked, followers
		}
	}
}

// countAcked counts the followers that have taken a number; the channel is closed when that may have changed.
func (f *Feed) countAcked(number uint64) (acked, followers int, moved <-chan struct{}) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, s := range f.subscribers {
		if s.acked >= number {
			acked++
		}
	}
	return acked, len(f.subscribers), f.changed
}

// Broadcast sends a message that is no update to all followers of this process. It has no number and may be lost: one
// that is disconnected misses it.
func (f *Feed) Broadcast(message *rpc.Message) {
	encoded := message.Encode()
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, s := range f.subscribers {
		s.channel.SendRaw(encoded)
	}
}

// EndFollowers lists the end followers, in no order: those connected here and those that relays have listed.
func (f *Feed) EndFollowers() []rpc.Member {
	f.mu.Lock()
	defer f.mu.Unlock()
	var members []rpc.Member
	for _, s := range f.subscribers {
		if s.relay {
			members = append(members, s.endFollowers...)
		} else {
			members = append(members, s.member)
		}
	}
	return members
}

// Position is part of Sink.
func (f *Feed) Position() Position {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.progress.at
}

// ResumeFrom is part of Sink.
func (f *Feed) ResumeFrom() Position {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.progress.resumeFrom()
}

// Acked is the number, in the epoch of Position, that every follower has taken, for a relay with all below it. Without
// followers it is Position's.
func (f *Feed) Acked() uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.lowestAcked()
}

func (f *Feed) lowestAcked() uint64 {
	lowest := f.progress.at.Number
	for _, s := range f.subscribers {
		lowest = min(lowest, s.acked)
	}
	return lowest
}
