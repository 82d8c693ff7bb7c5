package core

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// The giving of state to the copies to be: a stream of bytes in parts, one part at a time to each of them. A member that holds the history up to a place that is remembered here gets only the entries after it.

// stateStream is a state as it is sent.
type stateStream struct {
	since  Position // zero: the whole state
	data   []byte
	digest Digest
}

// transfer is the giving of a stream to one member.
type transfer struct {
	member     Member
	stream     *stateStream
	received   int64
	answered   bool // the member has answered a part of this stream
	sentAt     time.Duration
	progressAt time.Duration
}

// whole tells whether the member has the whole stream, so that only its disk is waited for.
func (t *transfer) whole() bool {
	return t.answered && t.received == int64(len(t.stream.data))
}

// streamFor gives the shortest stream for a member that holds a position. Streams are made once for a change.
func (c *Core) streamFor(held Position) *stateStream {
	entries, remembered := c.state.since(held)
	if !remembered || held == (Position{}) {
		held = Position{}
		entries = nil
	}
	for _, stream := range c.change.streams {
		if stream.since == held {
			return stream
		}
	}
	var data []byte
	if held == (Position{}) {
		data = encodeState(c.snapshot(), c.state.tail)
	} else {
		data = encodeEntries(entries)
	}
	stream := &stateStream{since: held, data: data, digest: Digest(xxhash.Sum64(data))}
	c.change.streams = append(c.change.streams, stream)
	return stream
}

// continueTransfers offers the state to as many members as are wanted, all at once. Where one fails, the next is asked. Once all have ended, the view is proposed.
func (c *Core) continueTransfers() {
	change := c.change
	for len(change.transfers)+len(change.copies) < c.copiesWanted()-1 {
		placed := append([]Member{c.self}, change.copies...)
		for _, t := range change.transfers {
			placed = append(placed, t.member)
		}
		member, ok := c.nextCandidate(&change.base, change.asked, placed)
		if !ok {
			break
		}
		c.startTransfer(member)
	}
	if len(change.transfers) > 0 {
		return
	}
	if c.awaitLateAnswers() {
		return
	}
	slices.SortFunc(change.copies, func(a, b Member) int {
		return indexOf(change.asked, a.ID) - indexOf(change.asked, b.ID)
	})
	c.propose()
}

// awaitLateAnswers tells whether to wait: with too few copies to be had, other members' promises may be under way still.
func (c *Core) awaitLateAnswers() bool {
	change := c.change
	if 1+len(change.copies) >= c.fewestCopies(&change.base) {
		return false
	}
	if !change.waitedLate {
		change.waitedLate = true
		change.lateUntil = c.now + c.timing.LateAnswer
	}
	return c.now < change.lateUntil
}

func (c *Core) startTransfer(member Member) {
	change := c.change
	var held Position
	if p := c.peer(member.ID); p != nil {
		held = p.status.Position
	}
	change.asked = append(change.asked, member)
	change.transfers = append(change.transfers, transfer{member: member, stream: c.streamFor(held), progressAt: c.now})
	c.sendPart(&change.transfers[len(change.transfers)-1])
}

// sendPart sends what comes after the part received last.
func (c *Core) sendPart(t *transfer) {
	t.sentAt = c.now
	end := min(int64(len(t.stream.data)), t.received+int64(c.limits.SnapshotPart))
	part := SnapshotPart{
		Envelope: c.to(t.member),
		Tag:      c.change.tag(),
		Since:    t.stream.since,
		Position: c.state.position,
		Size:     int64(len(t.stream.data)),
		Stream:   t.stream.digest,
		Offset:   t.received,
		Data:     t.stream.data[t.received:end],
	}
	if c.change.base.Epoch > 0 {
		part.Base = c.change.base.Clone()
	}
	c.send(part)
}

// onSnapshotPartReply goes on with the transfer that is answered.
func (c *Core) onSnapshotPartReply(m SnapshotPartReply) {
	c.learn(m.View)
	change := c.change
	if change == nil || change.phase != transferring || m.Tag != change.tag() {
		return
	}
	i := slices.IndexFunc(change.transfers, func(t transfer) bool {
		return t.member.ID == m.From.ID || t.member.Address == m.From.Address
	})
	if i < 0 || change.transfers[i].stream.digest != m.Stream {
		return
	}
	t := &change.transfers[i]
	switch {
	case m.Refusal == Busy:
	case m.Refusal == Gap && t.stream.since != Position{}:
		*t = transfer{member: t.member, stream: c.streamFor(Position{}), progressAt: c.now}
		c.sendPart(t)
	case m.Refusal != Granted || t.member.ID != m.From.ID:
		c.endTransfer(i, false)
	case m.Complete:
		c.endTransfer(i, true)
	default:
		c.partReceived(t, m.Received)
	}
}

// partReceived goes on after the part that was answered.
func (c *Core) partReceived(t *transfer, received int64) {
	progress := received > t.received || !t.answered
	if !progress || received > int64(len(t.stream.data)) {
		return
	}
	t.answered = true
	t.received = received
	t.progressAt = c.now
	if !t.whole() {
		c.sendPart(t)
	}
}

// endTransfer notes how a transfer ended.
func (c *Core) endTransfer(i int, complete bool) {
	change := c.change
	member := change.transfers[i].member
	change.transfers = slices.Delete(change.transfers, i, i+1)
	if complete {
		change.copies = append(change.copies, member)
	} else if p := c.peer(member.ID); p != nil {
		p.refusedUntil = c.now + c.timing.RefusedFor
	}
	c.continueTransfers()
}

// tickTransfers repeats parts that were not answered and gives up on members that make no progress.
func (c *Core) tickTransfers() {
	change := c.change
	for i := 0; i < len(change.transfers); i++ {
		t := &change.transfers[i]
		patience := c.timing.AnswerWait
		if t.whole() {
			patience = c.timing.TransferWait
		}
		if c.now-t.progressAt >= patience {
			if p := c.peer(t.member.ID); p != nil {
				p.status.Fit = false
			}
			c.endTransfer(i, false)
			return
		}
		if c.now-t.sentAt >= c.timing.Resend {
			c.sendPart(t)
		}
	}
	if len(change.transfers) == 0 {
		c.continueTransfers()
	}
}
