package core

import (
	"log/slog"
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
	sentAt     time.Duration
	progressAt time.Duration
}

func (t *transfer) whole() bool { return t.received == int64(len(t.stream.data)) }

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
		t.stream = c.streamFor(Position{})
		t.received = 0
		t.progressAt = c.now
		c.sendPart(t)
	case m.Refusal != Granted || t.member.ID != m.From.ID:
		c.endTransfer(i, false)
	case m.Complete:
		c.endTransfer(i, true)
	case m.Received > t.received && m.Received <= int64(len(t.stream.data)):
		t.received = m.Received
		t.progressAt = c.now
		if !t.whole() {
			c.sendPart(t)
		}
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

// incomingState is a stream that is being received. What came of it stays when a new proposal offers the same stream.
type incomingState struct {
	from   Member
	tag    StateTag
	since  Position
	target Position
	size   int64
	stream Digest
	data   []byte
}

// givenState is state that is being saved for a proposal.
type givenState struct {
	from     Member
	tag      StateTag
	stream   Digest
	snapshot Snapshot
	entries  []Entry // after the snapshot
	position Position
}

func (c *Core) dropIncoming(view *View) {
	if c.inbox != nil && c.inbox.tag.Epoch <= view.Epoch {
		c.inbox = nil
	}
}

// onSnapshotPart takes a part of the state for a view that is being proposed.
func (c *Core) onSnapshotPart(m SnapshotPart) {
	c.learn(m.Base)
	reply := SnapshotPartReply{Envelope: c.back(m), Tag: m.Tag, Stream: m.Stream, Held: c.state.position}
	reply.Refusal, reply.Complete = c.checkGiven(m)
	if reply.Refusal != Granted || reply.Complete {
		reply.View = c.newerThan(m.Tag.Epoch - 1)
		c.send(reply)
		return
	}
	c.sealFor(m)
	reply.Received = c.receivePart(m)
	c.send(reply)
	if reply.Received == m.Size {
		c.stateReceived()
	}
}

// checkGiven tells whether state given under a tag may take the place of what is held.
//
// Invariant: state goes over older state only. State under the same tag is never given twice: what was appended since the first time may be acknowledged.
func (c *Core) checkGiven(m SnapshotPart) (reason Refusal, complete bool) {
	sameTag := m.Tag == c.state.tag && c.mutation != overwriteSameTag
	switch {
	case m.Tag.Epoch == 0 || m.Tag.Epoch <= c.knownEpoch() && c.mutation != overwriteSameTag:
		return NewerView, false
	case m.Tag.Epoch > c.knownEpoch()+1:
		return UnknownView, false
	case sameTag && c.state.joined == m.Tag:
		return Granted, true
	case sameTag:
		return Repeat, false
	case !m.Tag.Covers(c.state.tag):
		return Promised, false
	case c.disk.stalled:
		return Unfit, false
	case m.Tag.Epoch == c.knownEpoch()+1 && c.register.Promised > m.Tag.Ballot:
		return Promised, false
	case c.disk.changesState():
		return Busy, false
	case m.Since != Position{} && m.Since != c.state.position:
		return Gap, false
	}
	return Granted, false
}

// sealFor keeps this member from writing and from taking appends of the old view.
func (c *Core) sealFor(m SnapshotPart) {
	if c.mutation != skipSeal {
		c.state.joined = StateTag{}
	}
	c.lastHeard = c.now
	if c.change != nil {
		c.failViewChange("another member proposes")
	}
	c.stopBeingPrimary(AnotherProposes)
}

// receivePart adds a part to the stream and tells how much of it is here.
func (c *Core) receivePart(m SnapshotPart) int64 {
	in := c.inbox
	if in == nil || in.stream != m.Stream || in.size != m.Size || in.since != m.Since || in.target != m.Position {
		in = &incomingState{since: m.Since, target: m.Position, size: m.Size, stream: m.Stream}
		c.inbox = in
	}
	in.from = m.From
	in.tag = m.Tag
	if m.Offset == int64(len(in.data)) && m.Offset+int64(len(m.Data)) <= m.Size {
		in.data = append(in.data, m.Data...)
	}
	return int64(len(in.data))
}

// stateReceived saves a state that is whole.
func (c *Core) stateReceived() {
	in := c.inbox
	c.inbox = nil
	given, err := c.decodeGiven(in)
	if err != nil {
		c.log(slog.LevelWarn, "the state given can't be read", slog.String("error", err.Error()))
		c.sendGivenReply(given, DiskFailed)
		return
	}
	c.saveSnapshot(diskJob{kind: transferJob, given: given}, given.snapshot, given.entries)
}

// decodeGiven reads a stream and checks that it leads from the position it starts at to the one promised.
func (c *Core) decodeGiven(in *incomingState) (givenState, error) {
	given := givenState{from: in.from, tag: in.tag, stream: in.stream, position: in.target}
	if Digest(xxhash.Sum64(in.data)) != in.stream {
		return given, errBadStream
	}
	var err error
	if in.since == (Position{}) {
		given.snapshot, given.entries, err = decodeState(in.data)
	} else {
		var entries []Entry
		entries, err = decodeEntries(in.data, in.since)
		given.snapshot = c.snapshot()
		given.entries = append(slices.Clone(c.state.tail), entries...)
	}
	if err != nil {
		return given, err
	}
	given.snapshot.Tag = in.tag
	if endOf(given.snapshot.Position, given.entries) != in.target {
		return given, errBadStream
	}
	return given, nil
}

// transferDone takes over the state that was saved, and joins the view that is proposed.
func (c *Core) transferDone(job diskJob, err error) {
	given := job.given
	if err != nil {
		c.state.broken = true
		c.sendGivenReply(given, DiskFailed)
		return
	}
	if err := c.config.Machine.Restore(given.snapshot.Data); err != nil {
		c.log(slog.LevelError, "the state given is not understood", slog.String("error", err.Error()))
		c.state.broken = true
		c.sendGivenReply(given, DiskFailed)
		return
	}
	c.state = heldState{tag: given.tag, position: given.snapshot.Position, applied: given.snapshot.Position}
	for _, entry := range given.entries {
		c.state.add(entry, c.limits.RecentBytes)
		c.state.logBytes += len(entry.Data)
	}
	c.applyTail()
	if c.mayJoin(given.tag) {
		c.state.joined = given.tag
		c.lastHeard = c.now
		c.sendGivenReply(given, Granted)
		return
	}
	c.sendGivenReply(given, NewerView)
}

// mayJoin tells whether a proposal is not overtaken.
func (c *Core) mayJoin(tag StateTag) bool {
	if c.knownEpoch() == tag.Epoch {
		return c.register.View.Tag() == tag
	}
	return c.knownEpoch() < tag.Epoch
}

func (c *Core) sendGivenReply(given givenState, reason Refusal) {
	c.send(SnapshotPartReply{
		Envelope: c.to(given.from),
		Tag:      given.tag,
		Stream:   given.stream,
		Complete: reason == Granted,
		Refusal:  reason,
		Held:     c.state.position,
		View:     c.newerThan(given.tag.Epoch - 1),
	})
}
