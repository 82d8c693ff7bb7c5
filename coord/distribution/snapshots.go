package distribution

import "slices"

// need is what a subscriber must get before it can take changes.
type need int

const (
	needChanges  need = iota // nothing: changes lead on from what it has
	needAnswer               // it was offered the state, and will acknowledge it or say which parts it has
	needQueued               // a snapshot, for which it waits, or nothing any more: it was rejected and is to leave
	needInFlight             // a snapshot that was sent and is not acknowledged yet
)

// snapshotKey tells apart what followers need at one position: they are sent the same if they have the same.
type snapshotKey struct {
	parts bool   // in parts; else the state as one
	have  digest // of the list of parts that they have
}

// offerAll offers the state to all subscribers, also to those that are being sent one, which is old now. Subscribers that
// don't take offers are queued for a snapshot.
func (f *Feed) offerAll() {
	f.queue = f.queue[:0]
	f.inFlight, f.inFlightBytes = 0, 0
	var offer []byte
	for _, s := range f.subscribers {
		s.sent, s.received, s.acked = 0, 0, 0
		if !f.sendsParts(s) {
			s.need = needQueued
			f.queue = append(f.queue, s)
			continue
		}
		if offer == nil {
			offer = offerMessage(f.progress.at, f.isCurrent(), f.manifest().digest()).Encode()
		}
		s.need = needAnswer
		s.sent = f.progress.at.Number
		s.send(offer)
	}
	f.sendSnapshots()
}

// sendsParts reports whether a subscriber is sent parts, offers and compressed changes.
func (f *Feed) sendsParts(s *subscriber) bool {
	_, partitioned := f.partitioned()
	return partitioned && s.have != nil
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
		f.inFlightBytes -= s.snapshotBytes
		f.sendSnapshots()
	}
}

// sendSnapshots sends to those whose turn it is. Few bytes are in flight at once, so that many followers that reconnect
// together don't delay new changes on the link.
func (f *Feed) sendSnapshots() {
	for len(f.queue) > 0 && (f.inFlight == 0 || f.inFlightBytes < snapshotWindowBytes) {
		s := f.queue[0]
		f.queue = f.queue[1:]
		encoded := f.encodedSnapshot(s)
		f.inFlight++
		f.inFlightBytes += len(encoded)
		s.need = needInFlight
		s.sent = f.progress.at.Number
		s.snapshotBytes, s.aheadBytes = len(encoded), f.inFlightBytes
		s.send(encoded)
	}
}

// encodedSnapshot returns the message for a subscriber, encoded once per position for all that have the same parts. While
// this process is not current it is not cached: the message says so, and that may change before the position does.
func (f *Feed) encodedSnapshot(s *subscriber) []byte {
	key := snapshotKey{parts: f.sendsParts(s)}
	if key.parts {
		key.have = s.have.digest()
	}
	if cached := f.snapshots[key]; cached != nil && f.isCurrent() {
		return cached
	}
	encoded := f.encodeSnapshot(s, key.parts)
	if f.isCurrent() && len(f.snapshots) < snapshotsCached {
		f.snapshots[key] = encoded
	}
	return encoded
}

func (f *Feed) encodeSnapshot(s *subscriber, inParts bool) []byte {
	if !inParts {
		return snapshotMessage(f.progress.at, f.isCurrent(), f.state.Snapshot()).Encode()
	}
	state, _ := f.partitioned()
	partial := encodePartialSnapshot(state.Parts(), f.manifest(), s.have)
	return partsMessage(f.progress.at, f.isCurrent(), partial).Encode()
}
