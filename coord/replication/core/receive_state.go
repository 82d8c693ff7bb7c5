package core

import (
	"log/slog"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// incomingState is a stream that is being received. What has arrived is kept when a new proposal offers the same stream.
type incomingState struct {
	from   Member
	tag    StateTag
	since  Position
	target Position
	size   int64
	stream Digest
	data   []byte
}

// receivedState is a received state that is being saved for a proposal.
type receivedState struct {
	from     Member
	tag      StateTag
	stream   Digest
	snapshot Snapshot
	entries  []Entry // after the snapshot
	position Position
}

func (c *Core) dropIncoming(view *View) {
	if c.incoming != nil && c.incoming.tag.Epoch <= view.Epoch {
		c.incoming = nil
	}
}

// onSnapshotChunk takes a chunk of the state for a view that is being proposed.
func (c *Core) onSnapshotChunk(m SnapshotChunk) {
	c.learn(m.Base)
	reply := SnapshotChunkReply{Envelope: c.replyTo(m), Tag: m.Tag, StreamDigest: m.StreamDigest, DiskPosition: c.state.position}
	check := c.checkTransfer(m)
	reply.Rejection, reply.Complete = check.rejection, check.complete
	if check.rejection != Granted || check.complete {
		reply.View = c.viewNewerThan(m.Tag.Epoch - 1)
		c.send(reply)
		return
	}
	c.seal()
	reply.Received = c.receiveChunk(m)
	c.send(reply)
	if reply.Received == m.Size {
		c.stateReceived()
	}
}

// transferCheck is whether a chunk may be taken, or the state that it belongs to is complete here already.
type transferCheck struct {
	rejection Rejection
	complete  bool
}

// checkTransfer checks whether state transferred under a tag may replace what is on disk.
//
// Invariant: only older state is overwritten. State under the same tag is never saved twice: what was appended since the first time may be committed.
func (c *Core) checkTransfer(m SnapshotChunk) transferCheck {
	sameTag := m.Tag == c.state.tag
	switch {
	case m.Tag.Epoch == 0 || m.Tag.Epoch <= c.knownEpoch():
		return transferCheck{rejection: NewerView}
	case m.Tag.Epoch > c.knownEpoch()+1:
		return transferCheck{rejection: UnknownView}
	case sameTag && c.state.joined == m.Tag:
		return transferCheck{rejection: Granted, complete: true}
	case sameTag:
		return transferCheck{rejection: DuplicateEntry}
	case !m.Tag.Covers(c.state.tag):
		return transferCheck{rejection: HigherPromise}
	case c.disk.stalled:
		return transferCheck{rejection: Unavailable}
	case m.Tag.Epoch == c.knownEpoch()+1 && c.register.Promised > m.Tag.Ballot:
		return transferCheck{rejection: HigherPromise}
	case c.disk.changesState():
		return transferCheck{rejection: Busy}
	case m.Since != Position{} && m.Since != c.state.position:
		return transferCheck{rejection: MissingEntries}
	}
	return transferCheck{rejection: Granted}
}

// seal keeps this member from serving as primary and from taking appends of the old view.
func (c *Core) seal() {
	c.state.joined = StateTag{}
	c.lastPrimaryContact = c.now
	if c.change != nil {
		c.failViewChange("another member proposes")
	}
	c.stopBeingPrimary(AnotherProposes)
}

// receiveChunk adds a chunk to the stream and gives the bytes that have arrived.
func (c *Core) receiveChunk(m SnapshotChunk) int64 {
	in := c.incoming
	if in == nil || in.stream != m.StreamDigest || in.size != m.Size || in.since != m.Since || in.target != m.Position {
		in = &incomingState{since: m.Since, target: m.Position, size: m.Size, stream: m.StreamDigest}
		c.incoming = in
	}
	in.from = m.From
	in.tag = m.Tag
	if m.Offset == int64(len(in.data)) && m.Offset+int64(len(m.Data)) <= m.Size {
		in.data = append(in.data, m.Data...)
	}
	return int64(len(in.data))
}

// stateReceived saves a complete state.
func (c *Core) stateReceived() {
	in := c.incoming
	c.incoming = nil
	received, err := c.decodeReceived(in)
	if err != nil {
		c.log(slog.LevelWarn, "received state is corrupt", slog.String("error", err.Error()))
		c.sendTransferReply(received, DiskFailed)
		return
	}
	c.saveSnapshot(diskJob{kind: transferJob, received: received}, received.snapshot, received.entries)
}

// decodeReceived reads a stream and checks that it leads from the position it starts at to the one promised.
func (c *Core) decodeReceived(in *incomingState) (receivedState, error) {
	received := receivedState{from: in.from, tag: in.tag, stream: in.stream, position: in.target}
	if Digest(xxhash.Sum64(in.data)) != in.stream {
		return received, errBadStream
	}
	var err error
	if in.since == (Position{}) {
		received.snapshot, received.entries, err = decodeState(in.data)
	} else {
		var entries []Entry
		entries, err = decodeEntries(in.data, in.since)
		received.snapshot = c.snapshot()
		received.entries = append(slices.Clone(c.state.tail), entries...)
	}
	if err != nil {
		return received, err
	}
	received.snapshot.Tag = in.tag
	if endOf(received.snapshot.Position, received.entries) != in.target {
		return received, errBadStream
	}
	return received, nil
}

// transferDone restores the state that was saved, and joins the view that is proposed.
func (c *Core) transferDone(job diskJob, err error) {
	received := job.received
	if err != nil {
		c.state.logBroken = true
		c.sendTransferReply(received, DiskFailed)
		return
	}
	if err := c.config.StateMachine.Restore(received.snapshot.Data); err != nil {
		c.log(slog.LevelError, "received state cannot be restored", slog.String("error", err.Error()))
		c.state.logBroken = true
		c.sendTransferReply(received, DiskFailed)
		return
	}
	c.state = replicatedState{tag: received.tag, position: received.snapshot.Position, applied: received.snapshot.Position}
	for _, entry := range received.entries {
		c.state.add(entry, c.limits.EntryCacheBytes)
		c.state.logBytes += len(entry.Data)
	}
	c.applyTail()
	if c.mayJoin(received.tag) {
		c.state.joined = received.tag
		c.lastPrimaryContact = c.now
		c.sendTransferReply(received, Granted)
		return
	}
	c.sendTransferReply(received, NewerView)
}

// mayJoin reports whether a proposal is not superseded.
func (c *Core) mayJoin(tag StateTag) bool {
	if c.knownEpoch() == tag.Epoch {
		return c.register.View.Tag() == tag
	}
	return c.knownEpoch() < tag.Epoch
}

func (c *Core) sendTransferReply(received receivedState, reason Rejection) {
	c.send(SnapshotChunkReply{
		Envelope:     c.envelopeTo(received.from),
		Tag:          received.tag,
		StreamDigest: received.stream,
		Complete:     reason == Granted,
		Rejection:    reason,
		DiskPosition: c.state.position,
		View:         c.viewNewerThan(received.tag.Epoch - 1),
	})
}
