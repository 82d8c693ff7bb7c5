package core

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestTransfer_ChunksLost_Completes takes a large state to a new replica, through lost parts.
func TestTransfer_ChunksLost_Completes(t *testing.T) {
	net := newNetwork(t, 1, "a", "b", "c")
	net.limits.SnapshotChunkBytes = 1000
	net.limits.EntryCacheBytes = 10
	net.startAll()
	net.run(2 * time.Second)
	large := strings.Repeat("x", 50_000)
	primary := net.commit(large)
	lost := map[int64]bool{}
	net.drop = func(_ *node, m Message) bool {
		part, is := m.(SnapshotChunk)
		if !is || part.Offset%10_000 != 0 || lost[part.Offset] {
			return false
		}
		lost[part.Offset] = true
		return true
	}
	backup := net.node(primary.core.View().Backups[0])
	backup.stop()
	require.Equal(t, Committed, primary.outcome(primary.proposeText("second")))
	require.Len(t, lost, 6)
	backup.start()
	primary.stop()
	net.run(5 * time.Second)
	net.holds(large + ";second;")
}

// TestTransfer_ReplicaUpToDate_SendsNoSnapshot makes a new view with replicas that are up to date: no snapshot goes over the wire.
func TestTransfer_ReplicaUpToDate_SendsNoSnapshot(t *testing.T) {
	net := startedNetwork(t, 1, "a", "b", "c")
	primary := net.commit(strings.Repeat("x", 100_000))
	backup := net.node(primary.core.View().Backups[0])
	sent := 0
	net.drop = func(_ *node, m Message) bool {
		if part, is := m.(SnapshotChunk); is {
			sent += len(part.Data)
		}
		return false
	}
	epoch := primary.core.View().Epoch
	backup.stop()
	backup.start()
	net.run(time.Second)
	require.Greater(t, primary.core.View().Epoch, epoch)
	require.Less(t, sent, 1000)
	net.commit("second")
}

// TestTransfer_SlowLink_SendsNoChunkTwice gives a large state over links of several rates.
func TestTransfer_SlowLink_SendsNoChunkTwice(t *testing.T) {
	for _, rate := range []int{8 << 20, 1 << 20, 448 << 10, 256 << 10, 128 << 10} {
		t.Run(fmt.Sprint(rate>>10, " KiB a second"), func(t *testing.T) {
			net := startedNetwork(t, 1, "a", "b", "c")
			size := 300 << 10
			primary := net.commit(strings.Repeat("x", size))
			sent := 0
			net.drop = func(_ *node, m Message) bool {
				if part, is := m.(SnapshotChunk); is {
					sent += len(part.Data)
				}
				return false
			}
			net.rate = rate
			net.node(primary.core.View().Backups[0]).stop()
			begun := net.now
			for len(primary.core.View().Backups) == 0 || !net.node(primary.core.View().Backups[0]).up || !primary.primary {
				net.run(10 * time.Millisecond)
				require.Less(t, net.now-begun, 10*time.Second)
			}
			t.Logf("taken in after %v, %d bytes sent", net.now-begun, sent)
			require.Less(t, sent, size+size/4)
			net.commit("second")
		})
	}
}

// TestTransfer_ManyEntries_SendsShorterStream: many entries may be longer than the complete state.
func TestTransfer_ManyEntries_SendsShorterStream(t *testing.T) {
	net := startedNetwork(t, 1, "a", "b", "c")
	primary := net.commit("first")
	c := primary.core
	c.change = &viewChange{}
	held := c.state.position
	for range 3 {
		entry := Entry{Index: c.state.position.Index + 1, Previous: c.state.position.Digest, Data: make([]byte, 3000)}
		c.state.add(entry, c.limits.EntryCacheBytes)
	}
	c.state.tail = nil
	c.state.applied = c.state.position
	require.Zero(t, c.streamFor(held).since, "the complete state is a few bytes")
	require.Equal(t, held, c.streamSince(held, nil).since)
	last := c.state.cachedEntries[len(c.state.cachedEntries)-1]
	require.NotZero(t, c.streamFor(Position{Index: last.Index - 1, Digest: last.Previous}).since, "one entry is not worth a look")
}

// transferring is member 1 as it transfers its state to member 2; members 3 and 4 are available, too, and two failures are to be tolerated.
func transferringCore() (*Core, *transfer) {
	core := bareCore(available(2, "y"), available(3, "z"), available(4, "w"))
	core.config.MaxFailures = 2
	core.config.StateMachine = &text{content: "state"}
	core.change = &viewChange{base: *viewOf(nil, []Member{core.self, memberIn(2, "y"), memberIn(3, "z")}), ballot: 7, phase: transferring, startedAt: core.now}
	stream := &stateStream{since: Position{Index: 3, Digest: 9}, data: make([]byte, 100_000), digest: 42}
	core.change.offered = []Member{memberIn(2, "y")}
	core.change.transfers = []transfer{core.newTransfer(memberIn(2, "y"), stream)}
	t := &core.change.transfers[0]
	t.sentAt, t.chunkSentAt = core.now, core.now
	return core, t
}

// chunksIn are the chunks of a state among effects.
func chunksIn(effects []Effect) []SnapshotChunk {
	var chunks []SnapshotChunk
	for _, effect := range effects {
		if send, is := effect.(Send); is {
			if chunk, is := send.Message.(SnapshotChunk); is {
				chunks = append(chunks, chunk)
			}
		}
	}
	return chunks
}

func TestSnapshotChunkReply_Received_DecidesWhatFollows(t *testing.T) {
	const ignored, ended, ready, next, anew = "ignored", "ended", "ready", "next chunk", "complete state"
	for name, c := range map[string]struct {
		reply func(reply *SnapshotChunkReply)
		core  func(core *Core, t *transfer)
		want  string
	}{
		"to this transfer":                {nil, nil, next},
		"of another epoch":                {func(reply *SnapshotChunkReply) { reply.Tag.Epoch-- }, nil, ignored},
		"of another ballot":               {func(reply *SnapshotChunkReply) { reply.Tag.Ballot++ }, nil, ignored},
		"of another stream":               {func(reply *SnapshotChunkReply) { reply.StreamDigest++ }, nil, ignored},
		"of a member without a transfer":  {func(reply *SnapshotChunkReply) { reply.From = memberIn(3, "z") }, nil, ignored},
		"of the member at a new address":  {func(reply *SnapshotChunkReply) { reply.From.Address = "new" }, nil, next},
		"of another disk at its address":  {func(reply *SnapshotChunkReply) { reply.From.ID = 9 }, nil, ended},
		"complete, of another disk":       {func(reply *SnapshotChunkReply) { reply.From.ID, reply.Complete = 9, true }, nil, ended},
		"of a busy member":                {func(reply *SnapshotChunkReply) { reply.Rejection = Busy }, nil, ignored},
		"rejected":                        {func(reply *SnapshotChunkReply) { reply.Rejection = DiskFailed }, nil, ended},
		"rejected, though complete":       {func(reply *SnapshotChunkReply) { reply.Rejection, reply.Complete = DiskFailed, true }, nil, ended},
		"entries are missing":             {func(reply *SnapshotChunkReply) { reply.Rejection = MissingEntries }, nil, anew},
		"entries of a complete state are": {func(reply *SnapshotChunkReply) { reply.Rejection = MissingEntries }, func(_ *Core, t *transfer) { t.stream.since = Position{} }, ended},
		"complete":                        {func(reply *SnapshotChunkReply) { reply.Complete = true }, nil, ready},
		"more than there is":              {func(reply *SnapshotChunkReply) { reply.Received = 100_001 }, nil, ignored},
		"first, nothing received":         {func(reply *SnapshotChunkReply) { reply.Received = 0 }, nil, next},
		"nothing more received":           {nil, func(_ *Core, t *transfer) { t.answered, t.received = true, 1000 }, ignored},
		"nothing more, after a probe":     {nil, func(_ *Core, t *transfer) { t.answered, t.received, t.probing = true, 1000, true }, next},
	} {
		core, transfer := transferringCore()
		if c.core != nil {
			c.core(core, transfer)
		}
		reply := SnapshotChunkReply{Envelope: Envelope{From: memberIn(2, "y"), To: 1}, Tag: core.change.tag(), StreamDigest: 42, Received: 1000}
		if c.reply != nil {
			c.reply(&reply)
		}
		before := digestOf(core)
		core.onSnapshotChunkReply(reply)
		got := ignored
		chunks := chunksIn(core.effects)
		switch {
		case indexOf(core.change.ready, 2) >= 0:
			got = ready
		case core.change.transfers[0].member.ID != 2:
			got = ended
		case len(chunks) == 1 && chunks[0].Since == Position{}:
			got = anew
		case len(chunks) == 1 && chunks[0].Offset == reply.Received:
			got = next
		case len(chunks) > 0:
			got = "another chunk"
		}
		require.Equal(t, c.want, got, name)
		if got == ignored {
			require.Equal(t, before, digestOf(core), name)
		}
		core.now += time.Millisecond
		require.Equal(t, got == ended, core.rejectedTransferLately(memberIn(2, "y")), name)
	}
	core, _ := transferringCore()
	core.change = nil
	core.onSnapshotChunkReply(SnapshotChunkReply{Envelope: Envelope{From: memberIn(2, "y"), To: 1}})
	require.Empty(t, core.effects, "no view change is in progress")
}

func TestEndTransfer_MemberForgotten_NextIsAsked(t *testing.T) {
	core, _ := transferringCore()
	core.peers = core.peers[1:]
	core.endTransfer(0, false)
	require.Equal(t, []MemberID{2, 3, 4}, idsOf(core.change.offered))
	core, transfer := transferringCore()
	core.peers = core.peers[1:]
	transfer.progressAt = 0
	core.tickTransfers()
	require.Equal(t, []MemberID{2, 3, 4}, idsOf(core.change.offered))
}

// TestTransferTimeout_WhatIsAwaited_Decides: the first reply, the next chunk, or the disk of the member.
func TestTransferTimeout_WhatIsAwaited_Decides(t *testing.T) {
	timing := DefaultTiming()
	for name, c := range map[string]struct {
		change func(t *transfer)
		want   time.Duration
	}{
		"the first reply":                       {func(*transfer) {}, timing.ReplyTimeout},
		"the next chunk":                        {func(t *transfer) { t.answered, t.chunkBytes = true, 64<<10 }, timing.ReplyTimeout + time.Second},
		"the disk":                              {func(t *transfer) { t.answered, t.received = true, 100_000 }, timing.TransferTimeout},
		"the first reply, of all it has so far": {func(t *transfer) { t.received = 100_000 }, timing.ReplyTimeout},
	} {
		core, transfer := transferringCore()
		c.change(transfer)
		require.Equal(t, c.want, core.transferTimeout(transfer), name)
		transfer.progressAt = core.now - c.want + 1
		core.tickTransfers()
		require.Equal(t, []MemberID{2}, idsOf(core.change.offered), name)
		core.now++
		core.tickTransfers()
		require.Equal(t, []MemberID{2, 3, 4}, idsOf(core.change.offered), name)
		require.False(t, core.peer(2).status.Writable, name)
	}
}

func TestTransfer_Adapt_FollowsLink(t *testing.T) {
	for _, c := range []struct {
		bytes int
		quick bool
		want  int
	}{
		{firstChunkBytes, true, secondChunkBytes},
		{secondChunkBytes, true, 2 * secondChunkBytes},
		{200 << 10, true, 256 << 10},
		{256 << 10, false, 128 << 10},
		{20 << 10, false, firstChunkBytes},
	} {
		transfer := transfer{chunkBytes: c.bytes}
		transfer.adapt(c.quick, 256<<10)
		require.Equal(t, c.want, transfer.chunkBytes, c)
	}
}

func TestTransfer_FirstView_HasNoBase(t *testing.T) {
	for _, epoch := range []Epoch{0, 5} {
		core, transfer := transferringCore()
		core.change.base.Epoch = epoch
		core.sendChunk(transfer)
		chunks := chunksIn(core.effects)
		require.Len(t, chunks, 1)
		require.Equal(t, epoch > 0, chunks[0].Base != nil)
	}
}

// TestTransfers_NoneWillTakeState_LateRepliesAreAwaited: a member whose promise arrives meanwhile is asked; after that the view change fails.
func TestTransfers_NoneWillTakeState_LateRepliesAreAwaited(t *testing.T) {
	core, _ := transferringCore()
	core.change.transfers, core.change.offered = nil, nil
	peers := core.peers
	core.peers = nil
	core.continueTransfers()
	require.NotNil(t, core.change)
	core.now += core.timing.LateReplyWait / 2
	core.tickTransfers()
	require.NotNil(t, core.change)
	late := *core.change
	core.now += core.timing.LateReplyWait/2 + 1
	core.tickTransfers()
	require.Nil(t, core.change, "waited once, from the first moment on")
	core.now--
	core.change = &late
	core.peers = peers
	core.tickTransfers()
	require.Equal(t, []MemberID{2, 3}, idsOf(core.change.offered))
}

// TestStreamFor_KnownPosition_ShorterStreamIsSent: entries only after a position that is cached, and only if they are shorter.
func TestStreamFor_KnownPosition_ShorterStreamIsSent(t *testing.T) {
	for name, c := range map[string]struct {
		known     func(first, held Position) Position
		entry     int // bytes
		state     int // bytes
		wantSince bool
	}{
		"up to date":                   {func(_, held Position) Position { return held }, 10, 0, true},
		"one small entry behind":       {func(first, _ Position) Position { return first }, 10, 0, true},
		"one large entry behind":       {func(first, _ Position) Position { return first }, 10_000, 0, false},
		"one large entry, large state": {func(first, _ Position) Position { return first }, 10_000, 50_000, true},
		"no state":                     {func(_, _ Position) Position { return Position{} }, 10, 0, false},
		"not cached":                   {func(first, _ Position) Position { return Position{Index: first.Index, Digest: first.Digest + 1} }, 10, 0, false},
	} {
		core, _ := transferringCore()
		core.config.StateMachine = &text{content: strings.Repeat("x", c.state)}
		core.state.add(Entry{Index: 1, Data: []byte("first")}, core.limits.EntryCacheBytes)
		first := core.state.position
		core.state.add(Entry{Index: 2, Previous: first.Digest, Data: make([]byte, c.entry)}, core.limits.EntryCacheBytes)
		core.state.tail, core.state.applied = nil, core.state.position
		known := c.known(first, core.state.position)
		stream := core.streamFor(known)
		want := Position{}
		if c.wantSince {
			want = known
		}
		require.Equal(t, want, stream.since, name)
		require.Same(t, stream, core.streamFor(known), name)
	}
}
