package core

import (
	"log/slog"
	"slices"

	"github.com/cespare/xxhash/v2"

	"shaletrestle/coord/replication/core/internal/mutation"
)

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
func (c *Core) onSnapshotPart(m SnapshotChunk) {
	c.learn(m.Base)
	reply := SnapshotChunkReply{Envelope: c.back(m), Tag: m.Tag, StreamDigest: m.StreamDigest, DiskPosition: c.state.position}
	reply.Rejection, reply.Complete = c.checkGiven(m)
	if reply.Rejection != Granted || reply.Complete {
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
func (c *Core) checkGiven(m SnapshotChunk) (reason Rejection, complete bool) {
	sameTag := m.Tag == c.state.tag && c.mutation != mutation.OverwriteSameTag
	switch {
	case m.Tag.Epoch == 0 || m.Tag.Epoch <= c.knownEpoch() && c.mutation != mutation.OverwriteSameTag:
		return NewerView, false
	case m.Tag.Epoch > c.knownEpoch()+1:
		return UnknownView, false
	case sameTag && c.state.joined == m.Tag:
		return Granted, true
	case sameTag:
		return DuplicateEntry, false
	case !m.Tag.Covers(c.state.tag):
		return HigherPromise, false
	case c.disk.stalled:
		return Unavailable, false
	case m.Tag.Epoch == c.knownEpoch()+1 && c.register.Promised > m.Tag.Ballot:
		return HigherPromise, false
	case c.disk.changesState():
		return Busy, false
	case m.Since != Position{} && m.Since != c.state.position:
		return MissingEntries, false
	}
	return Granted, false
}

// sealFor keeps this member from writing and from taking appends of the old view.
func (c *Core) sealFor(m SnapshotChunk) {
	if c.mutation != mutation.SkipSeal {
		c.state.joined = StateTag{}
	}
	c.lastHeard = c.now
	if c.change != nil {
		c.failViewChange("another member proposes")
	}
	c.stopBeingPrimary(AnotherProposes)
}

// receivePart adds a part to the stream and tells how much of it is here.
func (c *Core) receivePart(m SnapshotChunk) int64 {
	in := c.inbox
	if in == nil || in.stream != m.StreamDigest || in.size != m.Size || in.since != m.Since || in.target != m.Position {
		in = &incomingState{since: m.Since, target: m.Position, size: m.Size, stream: m.StreamDigest}
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
	if err := c.config.StateMachine.Restore(given.snapshot.Data); err != nil {
		c.log(slog.LevelError, "the state given is not understood", slog.String("error", err.Error()))
		c.state.broken = true
		c.sendGivenReply(given, DiskFailed)
		return
	}
	c.state = heldState{tag: given.tag, position: given.snapshot.Position, applied: given.snapshot.Position}
	for _, entry := range given.entries {
		c.state.add(entry, c.limits.EntryCacheBytes)
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

func (c *Core) sendGivenReply(given givenState, reason Rejection) {
	c.send(SnapshotChunkReply{
		Envelope:     c.to(given.from),
		Tag:          given.tag,
		StreamDigest: given.stream,
		Complete:     reason == Granted,
		Rejection:    reason,
		DiskPosition: c.state.position,
		View:         c.newerThan(given.tag.Epoch - 1),
	})
}
