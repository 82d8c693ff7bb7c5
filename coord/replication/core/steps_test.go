package core

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestAdvanceClock_ProcessSlept_HasTimeToConfirm(t *testing.T) {
	for name, c := range map[string]struct {
		slept time.Duration
		want  bool
	}{
		"no sleep":       {DefaultTiming().PrimaryTimeout, false},
		"slept for long": {DefaultTiming().PrimaryTimeout + 1, true},
	} {
		core := servingCore()
		core.peers = nil
		now := core.now + c.slept
		core.advanceClock(now)
		require.True(t, core.confirm.required, name)
		require.Equal(t, c.want, core.confirm.confirmBy == now+core.timing.ReplyTimeout, name)
	}
}

func TestStart_OldPrimary_ProposesAtOnce(t *testing.T) {
	for name, c := range map[string]struct {
		core *Core
		want time.Duration
	}{
		"old primary": {servingCore(), 2 * DefaultTiming().HeartbeatInterval},
		"backup":      {servedCore(), 0},
	} {
		c.core.isPrimary = false
		c.core.start()
		require.Equal(t, c.want, c.core.now-c.core.lastPrimaryContact, name)
	}
}

func TestReceive_MeantForAnotherDisk_IsRejected(t *testing.T) {
	from := memberIn(2, "y")
	for to, want := range map[MemberID]Rejection{1: Granted, 9: WrongDisk} {
		core := servedCore()
		core.receive(Yield{Envelope: Envelope{From: from, To: to}, Epoch: 5, Ballot: 10})
		replies := sentBy[YieldReply](core)
		require.Len(t, replies, 1)
		require.Equal(t, want, replies[0].Rejection)
	}
	core := servedCore()
	core.receive(Heartbeat{Envelope: Envelope{From: from, To: 9}, View: core.View()})
	require.Len(t, sentBy[HeartbeatReply](core), 1)
	core.receive(Heartbeat{Envelope: Envelope{From: from, To: 9}})
	require.Len(t, sentBy[HeartbeatReply](core), 1, "one without a view has no reply")
}

// TestReceive_Request_ShowsNoReply: a member that sends may yet receive nothing.
func TestReceive_Request_ShowsNoReply(t *testing.T) {
	core := servedCore()
	core.peers[0].lastReplyAt = 0
	core.receive(Hello{Envelope: Envelope{From: memberIn(2, "y")}})
	require.Zero(t, core.peer(2).lastReplyAt)
	core.receive(HelloReply{Envelope: Envelope{From: memberIn(2, "y"), To: 1}})
	require.Equal(t, core.now, core.peer(2).lastReplyAt)
}

func TestEnvelope_MemberMoved_GoesToItsLastAddress(t *testing.T) {
	core := bareCore(changed(available(2, "y"), func(p *peer) { p.member.Address = "new" }))
	require.Equal(t, "new", core.envelopeTo(memberIn(2, "y")).ToAddress)
	require.Equal(t, "m3", core.envelopeTo(memberIn(3, "z")).ToAddress)
}

func TestDiskDone_Failed_IsLogged(t *testing.T) {
	for _, err := range []error{nil, errFull} {
		core := servedCore()
		core.diskDone(DiskDone{Token: core.disk.add(diskJob{kind: registerJob}), Err: err})
		require.Equal(t, err != nil, len(core.effects) == 1)
	}
}

func TestString_UnknownValue_IsNamed(t *testing.T) {
	require.Equal(t, "unknown", StopReason(200).String())
	require.Equal(t, "rejection 200", Rejection(200).String())
	require.Equal(t, "outcome 200", Outcome(200).String())
	require.Equal(t, stopReasonNames[HandedOver], HandedOver.String())
	require.Equal(t, rejectionNames[Busy], Busy.String())
	require.Equal(t, outcomeNames[Committed], Committed.String())
	require.False(t, Outcome(0).IsDefinite())
	require.True(t, Committed.IsDefinite())
	require.True(t, Current.IsDefinite())
	require.False(t, Indeterminate.IsDefinite())
	require.False(t, Deposed.IsDefinite())
}

func TestLearn_NewerView_EndsOwnViewChange(t *testing.T) {
	core := changingCore(accepting)
	core.learn(core.View())
	require.NotNil(t, core.change, "it is known")
	newer := core.View()
	newer.Epoch++
	core.learn(newer)
	require.Nil(t, core.change)
	require.False(t, core.isPrimary)
}

func TestFlushRegister_Relay_SavesNothing(t *testing.T) {
	for _, relay := range []bool{false, true} {
		core := servedCore()
		core.config.Relay = relay
		core.registerDirty = true
		core.flushRegister()
		require.Equal(t, relay, len(core.disk.jobs) == 0)
	}
}

// unrestorable is a state machine that takes no snapshot.
type unrestorable struct{ text }

func (*unrestorable) Restore([]byte) error { return errFull }

func TestNew_Stored_DecidesState(t *testing.T) {
	config := Config{Self: memberIn(1, "x"), StateMachine: &text{}, Timing: DefaultTiming(), Limits: DefaultLimits()}
	core, err := New(config, Stored{})
	require.NoError(t, err)
	require.True(t, core.state.logBroken, "the log takes nothing before a first snapshot")
	config.Relay = true
	core, err = New(config, Stored{})
	require.NoError(t, err)
	require.False(t, core.state.logBroken, "a relay has none")
	config.Relay = false
	config.StateMachine = &unrestorable{}
	_, err = New(config, Stored{Snapshot: &Snapshot{}, Appendable: true})
	require.ErrorIs(t, err, ErrCorrupt)
}

func TestState_Cache_KeepsLastEntry(t *testing.T) {
	core, next := joinedCore()
	core.state.add(next, 3)
	require.Len(t, core.state.cachedEntries, 1, "though it alone is larger than the limit")
	require.Equal(t, next, core.state.cachedEntries[0])
}

func TestCompactLog_LogBroken_IsNotBegun(t *testing.T) {
	for _, broken := range []bool{false, true} {
		core := servingCore()
		core.state.logBytes, core.state.logBroken = core.limits.LogBytes, broken
		core.compactLog()
		require.Equal(t, broken, len(core.disk.jobs) == 0)
	}
}

func TestPrimary_Contact_DecidesWhoIsKnown(t *testing.T) {
	timing := DefaultTiming()
	for name, c := range map[string]struct {
		core   *Core
		change func(c *Core)
		want   MemberID
	}{
		"itself":                  {servingCore(), func(c *Core) { c.lastPrimary = Member{} }, 1},
		"another":                 {servedCore(), func(c *Core) { c.lastPrimaryContact -= timing.PrimaryTimeout - 1 }, 2},
		"another, silent":         {servedCore(), func(c *Core) { c.lastPrimaryContact -= timing.PrimaryTimeout }, 0},
		"none, contact just made": {servedCore(), func(c *Core) { c.lastPrimary = Member{} }, 0},
	} {
		c.change(c.core)
		got, ok := c.core.Primary(c.core.now)
		require.Equal(t, c.want, got.ID, name)
		require.Equal(t, c.want != 0, ok, name)
	}
}

func TestStateTag_EpochFirst_ThenBallot(t *testing.T) {
	tag := StateTag{Epoch: 5, Ballot: 10}
	for other, want := range map[StateTag]bool{{5, 10}: true, {5, 9}: true, {5, 11}: false, {4, 11}: true, {6, 9}: false} {
		require.Equal(t, want, tag.Covers(other), other)
	}
	entry := Entry{Index: 4, Previous: 9}
	require.True(t, entry.Follows(Position{Index: 3, Digest: 9}))
	require.False(t, entry.Follows(Position{Index: 2, Digest: 9}))
	require.False(t, entry.Follows(Position{Index: 3, Digest: 8}))
}

func TestRepairDone_NoViewChange_OnlyMendsLog(t *testing.T) {
	core := servedCore()
	core.state.logBroken = true
	core.repairDone(errFull)
	require.True(t, core.state.logBroken)
	core.repairDone(nil)
	require.False(t, core.state.logBroken)
	require.Nil(t, core.change)
	require.Nil(t, core.yielding)
}

func TestRegisterSaved_Failed_RejectsWaitingReplies(t *testing.T) {
	for err, want := range map[error]Rejection{nil: Granted, errFull: DiskFailed} {
		core := servedCore()
		core.registerSaved(diskJob{replies: []Message{PrepareReply{Envelope: core.envelopeTo(memberIn(2, "y"))}}}, err)
		replies := sentBy[PrepareReply](core)
		require.Len(t, replies, 1)
		require.Equal(t, want, replies[0].Rejection)
	}
}

// TestSnapshotChunk_StateComplete_StaysJoined: the state of this proposal is here and synced; what was appended since stays.
func TestSnapshotChunk_StateComplete_StaysJoined(t *testing.T) {
	core, _ := joinedCore()
	tag := StateTag{Epoch: 6, Ballot: 20}
	core.state.tag, core.state.joined = tag, tag
	core.onSnapshotChunk(SnapshotChunk{Envelope: Envelope{From: memberIn(2, "y"), To: 1}, Tag: tag, Size: 10, Data: []byte("x")})
	replies := sentBy[SnapshotChunkReply](core)
	require.Len(t, replies, 1)
	require.True(t, replies[0].Complete)
	require.Equal(t, tag, core.state.joined)
	require.Nil(t, core.incoming)
}

func TestTransferDone_DiskOrRestoreFails_IsNotJoined(t *testing.T) {
	for name, c := range map[string]struct {
		machine StateMachine
		err     error
		want    Rejection
	}{
		"saved and restored": {&text{}, nil, Granted},
		"not saved":          {&text{}, errFull, DiskFailed},
		"not restored":       {&unrestorable{}, nil, DiskFailed},
	} {
		core, _ := joinedCore()
		core.seal()
		core.config.StateMachine = c.machine
		held := core.state.position
		tag := StateTag{Epoch: 6, Ballot: 20}
		received := receivedState{from: memberIn(2, "y"), tag: tag, snapshot: Snapshot{Tag: tag, Position: Position{Index: 8, Digest: 9}}}
		core.transferDone(diskJob{received: received}, c.err)
		replies := sentBy[SnapshotChunkReply](core)
		require.Len(t, replies, 1, name)
		require.Equal(t, c.want, replies[0].Rejection, name)
		require.Equal(t, c.want == Granted, core.state.joined == tag, name)
		require.Equal(t, c.want != Granted, core.state.logBroken, name)
		require.Equal(t, c.want != Granted, core.state.position == held, name)
	}
}

func TestTickWrite_BackupUnknown_ViewChanges(t *testing.T) {
	core := servingCore()
	core.peers = core.peers[1:]
	core.write = &pendingWrite{command: Command{Token: 1}, synced: true, startedAt: core.now - core.timing.ReplyTimeout}
	core.tickWrite()
	require.NotNil(t, core.change)
	require.True(t, core.write.carried)
}
