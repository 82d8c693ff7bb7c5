package core

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// State is transferred to the future replicas as a stream of bytes in chunks, one chunk at a time to each of them. A member that holds the history up to a position that is cached here gets only the entries after it.

// stateStream is a state as it is sent.
type stateStream struct {
	since  Position // zero: the complete state
	data   []byte
	digest Digest
}

// transfer is a stream on its way to one member.
type transfer struct {
	member      Member
	stream      *stateStream
	received    int64
	chunkBytes  int           // size of the next chunk
	answered    bool          // the member has replied for this stream
	probing     bool          // a chunk without data asks how much arrived
	chunkSentAt time.Duration // when data was sent last
	sentAt      time.Duration // when anything was
	progressAt  time.Duration
}

// The first chunk is small: it shows whether the member is alive, and how much it holds of the stream from an earlier attempt. The later ones grow while they are acknowledged at once, and shrink where the link is slow.
const (
	firstChunkBytes  = 16 << 10
	secondChunkBytes = 64 << 10
)

// minTransferBytesPerSecond is the throughput below which a transfer to a responsive member is given up.
const minTransferBytesPerSecond = 64 << 10

func (t *transfer) size() int64 { return int64(len(t.stream.data)) }

// isComplete reports whether the member has the complete stream, so that only its disk is awaited.
func (t *transfer) isComplete() bool {
	return t.answered && t.received == t.size()
}

// smallEntriesBytes is a size of entries up to which the complete state is not encoded to compare.
const smallEntriesBytes = 4 << 10

// streamFor gives the shorter stream for a member that holds a position: the entries since then, if they are cached, or the complete state.
func (c *Core) streamFor(known Position) *stateStream {
	entries, remembered := c.state.entriesSince(known)
	if !remembered || known == (Position{}) {
		return c.fullStream()
	}
	stream := c.streamSince(known, func() []byte { return encodeEntries(entries) })
	if len(stream.data) <= smallEntriesBytes {
		return stream
	}
	if full := c.fullStream(); len(full.data) < len(stream.data) {
		return full
	}
	return stream
}

func (c *Core) fullStream() *stateStream {
	return c.streamSince(Position{}, func() []byte { return encodeState(c.snapshot(), c.state.tail) })
}

// streamSince makes a stream, once in a view change.
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
	for len(change.transfers)+len(change.ready) < c.targetReplicas()-1 {
		placed := append([]Member{c.self}, change.ready...)
		for _, t := range change.transfers {
			placed = append(placed, t.member)
		}
		member, ok := c.nextCandidate(&change.base, change.offered, placed)
		if !ok {
			break
		}
		c.startTransfer(member)
	}
	if len(change.transfers) > 0 {
		return
	}
	if c.awaitLateReplies() {
		return
	}
	slices.SortFunc(change.ready, func(a, b Member) int {
		return indexOf(change.offered, a.ID) - indexOf(change.offered, b.ID)
	})
	c.propose()
}

// awaitLateReplies reports whether to wait: with too few future replicas, the promises of other members may still arrive.
func (c *Core) awaitLateReplies() bool {
	change := c.change
	if 1+len(change.ready) >= c.minReplicas(&change.base) {
		return false
	}
	if !change.waitedForLateReplies {
		change.waitedForLateReplies = true
		change.lateRepliesUntil = c.now + c.timing.LateReplyWait
	}
	return c.now < change.lateRepliesUntil
}

func (c *Core) startTransfer(member Member) {
	change := c.change
	var known Position
	if p := c.peer(member.ID); p != nil {
		known = p.status.Position
	}
	change.offered = append(change.offered, member)
	change.transfers = append(change.transfers, c.newTransfer(member, c.streamFor(known)))
	c.sendChunk(&change.transfers[len(change.transfers)-1])
}

func (c *Core) newTransfer(member Member, stream *stateStream) transfer {
	return transfer{member: member, stream: stream, chunkBytes: min(firstChunkBytes, c.limits.SnapshotChunkBytes), progressAt: c.now}
}

// sendChunk sends the chunk after what the member has received.
func (c *Core) sendChunk(t *transfer) {
	end := min(t.size(), t.received+int64(t.chunkBytes))
	t.chunkSentAt = c.now
	t.probing = false
	c.sendData(t, t.stream.data[t.received:end])
}

// probe asks how much of the stream arrived. A chunk that is still on its way is not sent again: on a slow link it would only queue behind itself.
func (c *Core) probe(t *transfer) {
	t.probing = true
	c.sendData(t, nil)
}

func (c *Core) sendData(t *transfer, data []byte) {
	t.sentAt = c.now
	part := SnapshotChunk{
		Envelope:     c.envelopeTo(t.member),
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

// onSnapshotChunkReply continues the transfer that the reply belongs to.
func (c *Core) onSnapshotChunkReply(m SnapshotChunkReply) {
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
		*t = c.newTransfer(t.member, c.fullStream())
		c.sendChunk(t)
	case m.Rejection != Granted || t.member.ID != m.From.ID:
		c.endTransfer(i, false)
	case m.Complete:
		c.endTransfer(i, true)
	default:
		c.chunkReceived(t, m.Received)
	}
}

// chunkReceived continues after what was received. A reply to a probe without progress means that a chunk was lost.
func (c *Core) chunkReceived(t *transfer, received int64) {
	progress := received > t.received || !t.answered
	if received > t.size() || !progress && !t.probing {
		return
	}
	if progress {
		t.progressAt = c.now
		t.adapt(c.now-t.chunkSentAt < c.timing.ReplyTimeout/2, c.limits.SnapshotChunkBytes)
	}
	t.answered = true
	t.received = received
	if !t.isComplete() {
		c.sendChunk(t)
	}
}

// adapt chooses the size of the next chunk.
func (t *transfer) adapt(quick bool, limit int) {
	if quick {
		t.chunkBytes = max(2*t.chunkBytes, secondChunkBytes)
	} else {
		t.chunkBytes = max(t.chunkBytes/2, firstChunkBytes)
	}
	t.chunkBytes = min(t.chunkBytes, limit)
}

// transferTimeout is how long a transfer may go on without progress.
func (c *Core) transferTimeout(t *transfer) time.Duration {
	switch {
	case t.isComplete():
		return c.timing.TransferTimeout
	case t.answered:
		return c.timing.ReplyTimeout + time.Duration(t.chunkBytes)*time.Second/minTransferBytesPerSecond
	}
	return c.timing.ReplyTimeout
}

// endTransfer ends a transfer; a member that did not complete it is not offered another for its own sake for RejectionBackoff.
func (c *Core) endTransfer(i int, complete bool) {
	change := c.change
	member := change.transfers[i].member
	change.transfers = slices.Delete(change.transfers, i, i+1)
	if complete {
		change.ready = append(change.ready, member)
	} else if p := c.peer(member.ID); p != nil {
		p.noTransferBefore = c.now + c.timing.RejectionBackoff
	}
	c.continueTransfers()
}

// tickTransfers probes transfers without reply and gives up those without progress.
func (c *Core) tickTransfers() {
	change := c.change
	for i := range change.transfers {
		t := &change.transfers[i]
		if c.now-t.progressAt >= c.transferTimeout(t) {
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
