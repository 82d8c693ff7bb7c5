package distribution

import (
	"slices"
	"time"

	"shaletrestle/coord/rpc"
)

// need is whether a subscriber needs a snapshot before it can take changes.
type need int

const (
	needChanges  need = iota // changes lead on from what it has
	needQueued               // it waits for its turn to get a snapshot
	needUnderWay             // a snapshot was sent and is not acknowledged yet
)

// subscriber is one follower connected here. Changes are sent to it only as it acknowledges them, so that
// its channel never overflows and a slow one always gets on.
type subscriber struct {
	ch       *rpc.Channel
	seat     rpc.Member
	relay    bool
	below    []rpc.Member // a relay's own followers
	need     need
	sent     uint64 // newest number sent in this epoch
	received uint64 // newest number that it has taken itself
	acked    uint64 // newest number that it and all below it have taken
	sentAt   time.Time

	snapshotBytes int // of the snapshot under way
}

// HandleSubscribe takes on a follower: what it lacks is sent, then every change.
func (f *Feed) HandleSubscribe(ch *rpc.Channel, n *rpc.Message) {
	s := &subscriber{ch: ch, seat: n.From, relay: role(n.Text) == roleRelay}
	f.mu.Lock()
	f.subscribers[ch] = s
	f.start(s, positionOf(n))
	f.mu.Unlock()
	ch.OnClose(func() {
		f.mu.Lock()
		f.forget(s)
		f.mu.Unlock()
	})
}

// start sends a new subscriber on from where it is.
func (f *Feed) start(s *subscriber, from Position) {
	here := f.progress.at
	switch {
	case here.Epoch == 0: // nothing is known here yet
		return
	case from.Epoch > here.Epoch: // it has heard of a newer source than this process has
		s.refuse(here)
	case from.Epoch == here.Epoch:
		s.sent, s.received = from.Number, from.Number
		if !s.relay {
			s.acked = from.Number
		}
		f.advance(s)
	case from.Epoch != 0 && !f.current(): // it has something, and what is here may be older than what others have
		s.refuse(here)
	default:
		f.needSnapshot(s)
	}
}

// refuse tells a follower to look elsewhere; it closes the channel.
func (s *subscriber) refuse(here Position) {
	s.need = needQueued
	s.send(stateMessage(formHeartbeat, here, false).Encode())
}

func (f *Feed) forget(s *subscriber) {
	if f.subscribers[s.ch] != s {
		return
	}
	delete(f.subscribers, s.ch)
	f.leaveSnapshot(s)
	f.signal()
}

// needSnapshots queues all subscribers for a snapshot.
func (f *Feed) needSnapshots() {
	f.queue = f.queue[:0]
	f.underWay = 0
	for _, s := range f.subscribers {
		s.need = needQueued
		s.sent, s.received, s.acked = 0, 0, 0
		f.queue = append(f.queue, s)
	}
	f.sendSnapshots()
}

// needSnapshot queues a subscriber for a snapshot.
func (f *Feed) needSnapshot(s *subscriber) {
	f.leaveSnapshot(s)
	s.need = needQueued
	s.sent, s.received, s.acked = 0, 0, 0
	f.queue = append(f.queue, s)
	f.sendSnapshots()
}

// leaveSnapshot takes a subscriber out of the queue, or frees the place of its snapshot.
func (f *Feed) leaveSnapshot(s *subscriber) {
	was := s.need
	s.need = needChanges
	switch was {
	case needQueued:
		f.queue = slices.DeleteFunc(f.queue, func(x *subscriber) bool { return x == s })
	case needUnderWay:
		f.underWay--
		f.sendSnapshots()
	}
}

// sendSnapshots sends to those whose turn it is. All share one encoded message; only some are under way at once, so
// that many followers that come back together don't hold up what is new.
func (f *Feed) sendSnapshots() {
	for len(f.queue) > 0 && f.underWay < snapshotsAtOnce {
		s := f.queue[0]
		f.queue = f.queue[1:]
		f.underWay++
		s.need = needUnderWay
		s.sent = f.progress.at.Number
		encoded := f.encodedSnapshot()
		s.snapshotBytes = len(encoded)
		s.send(encoded)
	}
}

func (f *Feed) encodedSnapshot() []byte {
	if !f.current() {
		return snapshotMessage(f.progress.at, false, f.board.Snapshot()).Encode()
	}
	if f.snapshot == nil {
		f.snapshot = snapshotMessage(f.progress.at, true, f.board.Snapshot()).Encode()
	}
	return f.snapshot
}

// advance sends a subscriber the changes that its window has room for.
func (f *Feed) advance(s *subscriber) {
	if s.need != needChanges {
		return
	}
	for s.sent < f.progress.at.Number && s.sent < s.received+ackWindow {
		next := s.sent + 1
		if len(f.kept) == 0 || f.kept[0].number > next {
			f.needSnapshot(s)
			return
		}
		s.sent = next
		s.send(f.kept[next-f.kept[0].number].encoded)
	}
}

func (s *subscriber) send(encoded []byte) {
	s.sentAt = time.Now()
	s.ch.SendRaw(encoded)
}

// beat tells quiet subscribers that this process lives and closes those that are silent.
func (f *Feed) beat() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, s := range f.subscribers {
		if s.ch.IdleTime() > f.patience(s) {
			go s.ch.Close()
		}
	}
	f.sendBeats()
}

// patience is how long a subscriber may be silent: longer while a snapshot is on its way to it.
func (f *Feed) patience(s *subscriber) time.Duration {
	if s.need != needUnderWay {
		return updateTimeout
	}
	bytes := s.snapshotBytes * snapshotsAtOnce
	return updateTimeout + time.Duration((float64(bytes)/rpc.LinkBytesPerSecond)*float64(time.Second))
}

func (f *Feed) sendBeats() {
	current := f.current()
	encoded := map[Position][]byte{}
	for _, s := range f.subscribers {
		if current && time.Since(s.sentAt) < HeartbeatInterval/2 {
			continue
		}
		if s.need != needChanges {
			s.send(stateMessage(formWait, f.progress.at, current).Encode())
			continue
		}
		at := Position{f.progress.at.Epoch, s.sent}
		if encoded[at] == nil {
			encoded[at] = stateMessage(formHeartbeat, at, current).Encode()
		}
		s.send(encoded[at])
	}
}

// HandleAck takes a follower's word on how far it and those below it have come.
func (f *Feed) HandleAck(ch *rpc.Channel, n *rpc.Message) {
	f.mu.Lock()
	s := f.subscribers[ch]
	if s != nil {
		f.acknowledge(s, n)
	}
	low := Position{Epoch: f.progress.at.Epoch, Number: f.low()}
	f.signal()
	f.mu.Unlock()
	if s != nil && f.onAck != nil {
		f.onAck(low)
	}
}

func (f *Feed) acknowledge(s *subscriber, n *rpc.Message) {
	if n.Text == followersListed {
		s.below = n.Members
	}
	if n.Epoch != f.progress.at.Epoch || s.need == needQueued {
		return
	}
	s.acked = n.Number
	s.received = max(s.received, n.Base)
	if s.need == needUnderWay && s.received >= s.sent {
		f.leaveSnapshot(s)
	}
	f.advance(s)
}

// low is the number that all subscribers have taken.
func (f *Feed) low() uint64 {
	low := f.progress.at.Number
	for _, s := range f.subscribers {
		low = min(low, s.acked)
	}
	return low
}
