package core

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// resultsIn are the results among the effects of a core.
func resultsIn(core *Core) map[Token]Outcome {
	results := map[Token]Outcome{}
	for _, effect := range core.effects {
		if result, is := effect.(Result); is {
			results[result.Token] = result.Outcome
		}
	}
	return results
}

func TestConfirmation_RoundRequired_BeginsWithoutCalls(t *testing.T) {
	core := servingCore()
	core.startRound()
	require.Empty(t, sentBy[Confirm](core), "nothing waits")
	core.confirm.requireRound()
	core.startRound()
	require.Len(t, sentBy[Confirm](core), 2)
	core.confirm.requireRound()
	require.True(t, core.confirm.running, "the round that is required already goes on")
	core.confirm.required = false
	core.confirm.requireRound()
	require.False(t, core.confirm.running, "a round begun before it was required does not count")
}

func TestConfirmation_RoundNotEnded_MakesWay(t *testing.T) {
	for name, c := range map[string]struct {
		due, superseded bool
		want            bool
	}{
		"nothing found":           {false, false, false},
		"a later view accepted":   {false, true, true},
		"a change is due already": {true, false, true},
	} {
		core := servingCore()
		core.confirm = confirmation{running: true, startedAt: core.now, sentAt: core.now, superseded: c.superseded, inRound: []pendingCall{{token: 1}}}
		core.viewChangeDue = c.due
		core.now += core.timing.ReplyTimeout - 1
		core.tickConfirmation()
		require.True(t, core.confirm.running, name)
		core.now++
		core.tickConfirmation()
		require.False(t, core.confirm.running, name)
		require.Len(t, core.confirm.queued, 1, name)
		require.Equal(t, c.want, core.viewChangeDue, name)
	}
}

func TestConfirmReply_Rejected_ShowsLaterView(t *testing.T) {
	core := servingCore()
	core.confirm = confirmation{round: 3, running: true}
	reply := func(from Member, reason Rejection) {
		core.onConfirmReply(ConfirmReply{Envelope: Envelope{From: from, To: 1}, Epoch: 5, Ballot: 10, Round: 3, Rejection: reason})
	}
	reply(memberIn(2, "y"), Unavailable)
	require.False(t, core.confirm.superseded)
	reply(memberIn(2, "y"), HigherPromise)
	require.True(t, core.confirm.superseded)
	reply(memberIn(3, "z"), Unavailable)
	require.True(t, core.confirm.superseded, "once found")
	require.Empty(t, core.confirm.granted)
}

func TestExpireCalls_DeadlinePassed_IsIndeterminate(t *testing.T) {
	core := servingCore()
	core.confirm.inRound = []pendingCall{{token: 1, deadline: core.now - 1}, {token: 2, deadline: core.now}}
	core.confirm.queued = []pendingCall{{token: 3, deadline: core.now - 1}, {token: 4, deadline: core.now}}
	core.expireCalls()
	require.Equal(t, map[Token]Outcome{1: Indeterminate, 3: Indeterminate}, resultsIn(core))
	require.Len(t, core.confirm.inRound, 1)
	require.Len(t, core.confirm.queued, 1)
}

func TestConsiderCommit_EntryCarried_WaitsForNextView(t *testing.T) {
	for _, carried := range []bool{false, true} {
		core := servingCore()
		core.write = &pendingWrite{command: Command{Token: 1}, synced: true, ackedBackups: []MemberID{2}, carried: carried}
		core.considerCommit()
		require.Equal(t, !carried, resultsIn(core)[1] == Committed)
	}
	core := servingCore()
	core.considerCommit()
	require.Empty(t, core.effects, "nothing is written")
}

func TestAppendReply_Rejection_DecidesWhetherViewChanges(t *testing.T) {
	two := memberIn(2, "y")
	for name, c := range map[string]struct {
		from   Member
		reason Rejection
		change func(c *Core)
		want   bool
	}{
		"backup":                         {two, NotJoined, nil, true},
		"backup that is busy":            {two, Busy, nil, false},
		"another disk at its address":    {Member{ID: 9, Address: "m2"}, WrongDisk, nil, true},
		"a member that is no backup":     {memberIn(3, "z"), NotJoined, nil, false},
		"own append not synced yet":      {two, NotJoined, func(c *Core) { c.write.synced = false }, false},
		"a view change is in progress":   {two, NotJoined, func(c *Core) { c.change = &viewChange{} }, false},
		"it is carried into a view soon": {two, NotJoined, func(c *Core) { c.write.carried = true }, false},
	} {
		core := servingCore()
		core.write = &pendingWrite{command: Command{Token: 1}, synced: true, entry: Entry{Index: 1, Epoch: 5}}
		if c.change != nil {
			c.change(core)
		}
		before := core.change
		core.onAppendReply(AppendReply{Envelope: Envelope{From: c.from, To: 1}, Epoch: 5, Ballot: 10, Index: 1, Rejection: c.reason})
		require.Equal(t, c.want, core.change != before, name)
	}
}

// joinedCore is member 1 as a backup that holds one entry.
func joinedCore() (*Core, Entry) {
	core := servedCore()
	core.state.joined = core.register.View.Tag()
	first := Entry{Index: 1, Epoch: 5, Ballot: 10, Data: []byte("first")}
	core.state.add(first, core.limits.EntryCacheBytes)
	return core, Entry{Index: 2, Epoch: 5, Ballot: 10, Previous: first.Position().Digest, Data: []byte("second")}
}

func TestCheckAppend_DiskOfBackup_Decides(t *testing.T) {
	for name, c := range map[string]struct {
		change func(c *Core)
		want   Rejection
	}{
		"works":          {func(*Core) {}, Granted},
		"stalled":        {func(c *Core) { c.disk.stalled = true }, Unavailable},
		"log is broken":  {func(c *Core) { c.state.logBroken = true }, DiskFailed},
		"sealed":         {func(c *Core) { c.state.joined = StateTag{} }, NotJoined},
		"append pending": {func(c *Core) { c.disk.add(diskJob{kind: backupAppendJob}) }, Busy},
	} {
		core, next := joinedCore()
		c.change(core)
		require.Equal(t, c.want, core.checkAppend(next).rejection, name)
	}
}

func TestCheckTransfer_DiskStalled_IsRejected(t *testing.T) {
	for _, stalled := range []bool{false, true} {
		core, _ := joinedCore()
		core.disk.stalled = stalled
		check := core.checkTransfer(SnapshotChunk{Tag: StateTag{Epoch: 6, Ballot: 20}})
		want := Granted
		if stalled {
			want = Unavailable
		}
		require.Equal(t, transferCheck{rejection: want}, check)
	}
}

// TestMayJoin_ViewKnown_OnlyItsOwnProposal: state for a proposal that another one of its epoch has beaten is not joined.
func TestMayJoin_ViewKnown_OnlyItsOwnProposal(t *testing.T) {
	core := servedCore()
	for tag, want := range map[StateTag]bool{
		{Epoch: 5, Ballot: 10}: true,
		{Epoch: 5, Ballot: 11}: false,
		{Epoch: 4, Ballot: 10}: false,
		{Epoch: 6, Ballot: 1}:  true,
	} {
		require.Equal(t, want, core.mayJoin(tag), tag)
	}
	core.register.View = nil
	require.True(t, core.mayJoin(StateTag{Epoch: 1, Ballot: 1}))
}
