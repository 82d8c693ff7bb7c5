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
	part       int           // bytes of the next part
	answered   bool          // the member has answered for this stream
	probing    bool          // a message without data asks how much arrived
	partSentAt time.Duration // when data was sent last
	sentAt     time.Duration // when anything was
	progressAt time.Duration
}

// The first part is small: it shows whether the member lives, and how much it holds of the stream from an earlier try. The later ones grow while they are answered at once, and shrink where the link is slow.
const (
	firstPart  = 16 << 10
	secondPart = 64 << 10
)

// slowLinkBytes are the bytes a second below which a member that lives is given up.
const slowLinkBytes = 64 << 10

func (t *transfer) size() int64 { return int64(len(t.stream.data)) }

// whole tells whether the member has the whole stream, so that only its disk is waited for.
func (t *transfer) whole() bool {
	return t.answered && t.received == t.size()
}

// fewEntries are so few bytes of entries that the size of the whole state is not looked at.
const fewEntries = 4 << 10

// streamFor gives the shorter stream for a member that holds a position: the entries since then, if they are remembered, or the whole state.
func (c *Core) streamFor(held Position) *stateStream {
	entries, remembered := c.state.since(held)
	if !remembered || held == (Position{}) {
		return c.wholeStream()
	}
	stream := c.streamSince(held, func() []byte { return encodeEntries(entries) })
	if len(stream.data) <= fewEntries {
		return stream
	}
	if whole := c.wholeStream(); len(whole.data) < len(stream.data) {
		return whole
	}
	return stream
}

func (c *Core) wholeStream() *stateStream {
	return c.streamSince(Position{}, func() []byte { return encodeState(c.snapshot(), c.state.tail) })
}

// streamSince makes a stream once for a change.
func (c *Core) streamSince(since Position, encode func() []byte) *stateStream {
	for _, stream := range c.change.streams {
		if stream.since == since {
			return stream
		}
	}
	data := encode()
	stream := &stateStream{since: since, data: data, digest: Digest(xxhash.Sum64(data))}
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
		change.lateUntil = c.now + c.timing.LateReplyWait
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
	change.transfers = append(change.transfers, c.newTransfer(member, c.streamFor(held)))
	c.sendPart(&change.transfers[len(change.transfers)-1])
}

func (c *Core) newTransfer(member Member, stream *stateStream) transfer {
	return transfer{member: member, stream: stream, part: min(firstPart, c.limits.SnapshotChunkBytes), progressAt: c.now}
}

// sendPart sends what comes after the part received last.
func (c *Core) sendPart(t *transfer) {
	end := min(t.size(), t.received+int64(t.part))
	t.partSentAt = c.now
	t.probing = false
	c.sendOf(t, t.stream.data[t.received:end])
}

// probe asks how much of the stream arrived. A part that is on its way still is not sent again: on a slow link it would only wait behind itself.
func (c *Core) probe(t *transfer) {
	t.probing = true
	c.sendOf(t, nil)
}

func (c *Core) sendOf(t *transfer, data []byte) {
	t.sentAt = c.now
	part := SnapshotChunk{
		Envelope:     c.to(t.member),
		Tag:          c.change.tag(),
		Since:        t.stream.since,
		Position:     c.state.position,
		Size:         t.size(),
		StreamDigest: t.stream.digest,
		Offset:       t.received,
		Data:         data,
	}
	if c.change.base.Epoch > 0 {
		part.Base = c.change.base.Clone()
	}
	c.send(part)
}

// onSnapshotPartReply goes on with the transfer that is answered.
func (c *Core) onSnapshotPartReply(m SnapshotChunkReply) {
	c.learn(m.View)
	change := c.change
	if change == nil || change.phase != transferring || m.Tag != change.tag() {
		return
	}
	i := slices.IndexFunc(change.transfers, func(t transfer) bool {
		return t.member.ID == m.From.ID || t.member.Address == m.From.Address
	})
	if i < 0 || change.transfers[i].stream.digest != m.StreamDigest {
		return
	}
	t := &change.transfers[i]
	switch {
	case m.Rejection == Busy:
	case m.Rejection == MissingEntries && t.stream.since != Position{}:
		*t = c.newTransfer(t.member, c.wholeStream())
		c.sendPart(t)
	case m.Rejection != Granted || t.member.ID != m.From.ID:
		c.endTransfer(i, false)
	case m.Complete:
		c.endTransfer(i, true)
	default:
		c.partReceived(t, m.Received)
	}
}

// partReceived goes on after what was received. An answer without progress to a question how much arrived means that a part was lost.
func (c *Core) partReceived(t *transfer, received int64) {
	progress := received > t.received || !t.answered
	if received > t.size() || !progress && !t.probing {
		return
	}
	if progress {
		t.progressAt = c.now
		t.adapt(c.now-t.partSentAt < c.timing.ReplyTimeout/2, c.limits.SnapshotChunkBytes)
	}
	t.answered = true
	t.received = received
	if !t.whole() {
		c.sendPart(t)
	}
}

// adapt chooses the bytes of the next part.
func (t *transfer) adapt(quick bool, limit int) {
	if quick {
		t.part = max(2*t.part, secondPart)
	} else {
		t.part = max(t.part/2, firstPart)
	}
	t.part = min(t.part, limit)
}

// patience is how long a transfer may go on without progress.
func (c *Core) patience(t *transfer) time.Duration {
	switch {
	case t.whole():
		return c.timing.TransferTimeout
	case t.answered:
		return c.timing.ReplyTimeout + time.Duration(t.part)*time.Second/slowLinkBytes
	}
	return c.timing.ReplyTimeout
}

// endTransfer notes how a transfer ended.
func (c *Core) endTransfer(i int, complete bool) {
	change := c.change
	member := change.transfers[i].member
	change.transfers = slices.Delete(change.transfers, i, i+1)
	if complete {
		change.copies = append(change.copies, member)
	} else if p := c.peer(member.ID); p != nil {
		p.refusedUntil = c.now + c.timing.RejectionBackoff
	}
	c.continueTransfers()
}

// tickTransfers asks after parts that were not answered and gives up on members that make no progress.
func (c *Core) tickTransfers() {
	change := c.change
	for i := 0; i < len(change.transfers); i++ {
		t := &change.transfers[i]
		if c.now-t.progressAt >= c.patience(t) {
			if p := c.peer(t.member.ID); p != nil {
				p.status.Writable = false
			}
			c.endTransfer(i, false)
			return
		}
		if c.now-t.sentAt >= c.timing.ResendInterval {
			c.probe(t)
		}
	}
	if len(change.transfers) == 0 {
		c.continueTransfers()
	}
}
