package distribution

import (
	"time"

	"shaletrestle/coord/rpc"
)

// subscriber is one follower connected to a feed, guarded by the feed's lock. Changes are sent to it only as it
// acknowledges them, so that its channel never overflows and a slow one still makes progress.
type subscriber struct {
	channel      *rpc.Channel
	member       rpc.Member
	relay        bool
	endFollowers []rpc.Member // below a relay, as it listed them last
	need         need
	sent         uint64    // newest number sent in this epoch
	received     uint64    // newest number that it has taken itself
	acked        uint64    // newest number that it and all below it have taken
	lastSent     time.Time // when anything was sent
	have         manifest  // the parts that it had when it subscribed; nil: it takes no parts

	snapshotBytes int // of the snapshot in flight
	aheadBytes    int // the same, with all snapshots that were in flight when it was sent
}

// HandleSubscribe takes an rpc.Subscribe message: its sender is a follower from now on. It is sent what it is missing, then
// every change, until its channel closes. One that subscribes again on its channel begins anew.
func (f *Feed) HandleSubscribe(channel *rpc.Channel, message *rpc.Message) {
	s := &subscriber{channel: channel, member: message.From, relay: role(message.Text) == roleRelay}
	if message.Body != nil {
		have, err := decodeManifest(message.Body)
		if err != nil {
			f.log.Error("cannot read parts of follower", "follower", message.From.Address, "bytes", len(message.Body), "error", err.Error())
		}
		s.have = have
	}
	f.mu.Lock()
	previous := f.subscribers[channel]
	if previous != nil {
		f.endSnapshot(previous)
		s.endFollowers = previous.endFollowers // a relay lists them only when they change
	}
	f.subscribers[channel] = s
	if !f.redirect(s, message) {
		f.startSubscriber(s, positionOf(message))
	}
	f.mu.Unlock()
	if previous == nil {
		channel.OnClose(func() { f.remove(channel) })
	}
}

// redirect sends a follower that has no state yet to nearer parents, if it goes there and there are any.
func (f *Feed) redirect(s *subscriber, message *rpc.Message) bool {
	if f.nearer == nil || !message.OK || positionOf(message) != (Position{}) {
		return false
	}
	parents := f.nearer(s.member.Zone)
	if len(parents) == 0 {
		return false
	}
	s.need = needQueued // as one that is rejected: it is to leave
	s.send(nearerMessage(f.progress.at, parents).Encode())
	return true
}

// startSubscriber sends a new subscriber what it is missing, or rejects it.
func (f *Feed) startSubscriber(s *subscriber, from Position) {
	here := f.progress.at
	switch {
	case here.Epoch == 0: // nothing is known here yet
		return
	case from.Epoch > here.Epoch: // it has followed a newer source than this process has
		s.reject(here)
	case from.Epoch == here.Epoch:
		s.sent, s.received = from.Number, from.Number
		if !s.relay {
			s.acked = from.Number
		}
		f.advance(s)
	case from.Epoch != 0 && !f.isCurrent(): // a snapshot would replace what it has, and what is here may be older than what others have
		s.reject(here)
	default:
		f.queueSnapshot(s)
	}
}

// reject sends a follower away: it closes the channel on a heartbeat that says that its sender is not current. Until then
// it is sent no changes, as if it waited for a snapshot.
func (s *subscriber) reject(here Position) {
	s.need = needQueued
	s.send(stateMessage(formHeartbeat, here, false).Encode())
}

func (f *Feed) remove(channel *rpc.Channel) {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := f.subscribers[channel]
	if s == nil {
		return
	}
	delete(f.subscribers, channel)
	f.endSnapshot(s)
	f.signal()
}

// advance sends a subscriber the changes that its window has room for, or queues it for a snapshot if they are not kept
// any more.
func (f *Feed) advance(s *subscriber) {
	if s.need != needChanges {
		return
	}
	for s.sent < f.progress.at.Number && s.sent < s.received+ackWindow {
		next := s.sent + 1
		if len(f.changes) == 0 || f.changes[0].number > next {
			f.queueSnapshot(s)
			return
		}
		s.sent = next
		s.send(f.changes[next-f.changes[0].number].encoded(s.have != nil))
	}
}

func (s *subscriber) send(encoded []byte) {
	s.lastSent = time.Now()
	s.channel.SendRaw(encoded)
}

// HandleAck takes an rpc.UpdateAck message: how far its sender and those below it have come.
func (f *Feed) HandleAck(channel *rpc.Channel, message *rpc.Message) {
	f.mu.Lock()
	s := f.subscribers[channel]
	if s != nil {
		f.acknowledge(s, message)
	}
	lowest := Position{Epoch: f.progress.at.Epoch, Number: f.lowestAcked()}
	f.signal()
	f.mu.Unlock()
	if s != nil && f.onAck != nil {
		f.onAck(lowest)
	}
}

func (f *Feed) acknowledge(s *subscriber, ack *rpc.Message) {
	if ack.Text == followersListed {
		s.endFollowers = ack.Members
	}
	if ack.Epoch != f.progress.at.Epoch || s.need == needQueued {
		return
	}
	s.acked = ack.Number
	s.received = max(s.received, ack.Base)
	if (s.need == needInFlight || s.need == needAnswer) && s.received >= s.sent {
		f.endSnapshot(s)
	}
	f.advance(s)
}
