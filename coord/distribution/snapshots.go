package distribution

import "slices"

// need is whether a subscriber needs a snapshot before it can take changes.
type need int

const (
	needChanges  need = iota // changes lead on from what it has
	needQueued               // it waits for its turn to get a snapshot, or was rejected and is to leave
	needInFlight             // a snapshot was sent and is not acknowledged yet
)

// queueAll queues all subscribers for a snapshot, also those that are being sent one, which is of an old state now.
func (f *Feed) queueAll() {
	f.queue = f.queue[:0]
	f.inFlight = 0
	for _, s := range f.subscribers {
		s.need = needQueued
		s.sent, s.received, s.acked = 0, 0, 0
		f.queue = append(f.queue, s)
	}
	f.sendSnapshots()
}

// queueSnapshot queues a subscriber for a snapshot.
func (f *Feed) queueSnapshot(s *subscriber) {
	f.endSnapshot(s)
	s.need = needQueued
	s.sent, s.received, s.acked = 0, 0, 0
	f.queue = append(f.queue, s)
	f.sendSnapshots()
}

// endSnapshot takes a subscriber out of the queue, or lets the next one have its turn.
func (f *Feed) endSnapshot(s *subscriber) {
	previous := s.need
	s.need = needChanges
	switch previous {
	case needQueued:
		f.queue = slices.DeleteFunc(f.queue, func(queued *subscriber) bool { return queued == s })
	case needInFlight:
		f.inFlight--
		f.sendSnapshots()
	}
}

// sendSnapshots sends to those whose turn it is. All share one encoded message; few are in flight at once, so that many
// followers that reconnect together don't delay new changes on the link.
func (f *Feed) sendSnapshots() {
	for len(f.queue) > 0 && f.inFlight < snapshotsAtOnce {
		s := f.queue[0]
		f.queue = f.queue[1:]
		f.inFlight++
		s.need = needInFlight
		s.sent = f.progress.at.Number
		encoded := f.encodedSnapshot()
		s.snapshotBytes = len(encoded)
		s.send(encoded)
	}
}

// encodedSnapshot returns the snapshot message, encoded once per position for all followers. While this process is not
// current it is not cached: the message says so, and that may change before the position does.
func (f *Feed) encodedSnapshot() []byte {
	if !f.isCurrent() {
		return snapshotMessage(f.progress.at, false, f.state.Snapshot()).Encode()
	}
	if f.snapshot == nil {
		f.snapshot = snapshotMessage(f.progress.at, true, f.state.Snapshot()).Encode()
	}
	return f.snapshot
}
