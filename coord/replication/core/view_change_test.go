package core

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// changingCore is the serving member 1 in a phase of a view change.
func changingCore(p phase) *Core {
	core := servingCore()
	core.change = &viewChange{base: *core.View(), ballot: ballotOf(3, 1), startedAt: core.now, sentAt: core.now, deadline: core.now + core.timing.ReplyTimeout, wasPrimary: true, phase: p}
	return core
}

func TestViewChange_TimePasses_RequestsRepeatThenGivesUp(t *testing.T) {
	core := changingCore(preparing)
	core.now += core.timing.ResendInterval - 1
	core.tickViewChange()
	require.Empty(t, core.effects)
	core.now++
	core.tickViewChange()
	require.Len(t, sentBy[Prepare](core), 2)
	core.now = core.change.deadline - 1
	core.tickViewChange()
	require.NotNil(t, core.change)
	core.now++
	core.tickViewChange()
	require.Nil(t, core.change)
	require.NotNil(t, core.yielding, "a backup is asked to take over")
}

func TestViewChange_Fails_PrimaryStepsDownOthersWaitLonger(t *testing.T) {
	for _, wasPrimary := range []bool{true, false} {
		core := changingCore(preparing)
		core.change.wasPrimary, core.isPrimary = wasPrimary, wasPrimary
		core.failViewChange("test")
		want := core.now + core.viewChangeBackoff()
		if !wasPrimary {
			want += core.timing.HeartbeatInterval
		}
		require.Equal(t, want, core.retryAfter)
		require.False(t, core.isPrimary)
		require.Nil(t, core.change)
	}
}

func TestWitnessesTimedOut_NothingReceived_WaitsForContact(t *testing.T) {
	for name, c := range map[string]struct {
		change func(c *Core)
		want   bool
	}{
		"nothing received":            {func(*Core) {}, true},
		"a message came since":        {func(c *Core) { c.peers[2].lastSeen = c.now + 1 }, false},
		"it is the only witness":      {func(c *Core) { c.change.base.Witnesses = c.change.base.Witnesses[:1] }, false},
		"only witness, message since": {func(c *Core) { c.change.base.Witnesses = c.change.base.Witnesses[:1]; c.peers[2].lastSeen = c.now + 1 }, false},
	} {
		core := changingCore(preparing)
		c.change(core)
		started := core.change.startedAt
		core.now += time.Second
		core.witnessesTimedOut()
		want := never
		if c.want {
			want = started
		}
		require.Equal(t, want, core.isolatedSince, name)
	}
}

func TestRepairDone_OnlyInItsPhase_Continues(t *testing.T) {
	core := changingCore(repairing)
	core.change.ballot = 0
	core.repairDone(nil)
	require.Equal(t, preparing, core.change.phase)
	ballot := core.change.ballot
	core.repairDone(nil)
	require.Equal(t, ballot, core.change.ballot, "of an earlier view change")
	core.repairDone(errFull)
	require.NotNil(t, core.change, "of an earlier view change")
	core = changingCore(repairing)
	core.repairDone(errFull)
	require.Nil(t, core.change)
	require.NotNil(t, core.yielding)
}

func TestRecordRejection_Witness_CountsOnce(t *testing.T) {
	for name, c := range map[string]struct {
		from []Member
		want []MemberID
	}{
		"witness":                     {[]Member{memberIn(2, "y")}, []MemberID{2}},
		"twice":                       {[]Member{memberIn(2, "y"), memberIn(2, "y")}, []MemberID{2}},
		"witness at a new address":    {[]Member{{ID: 2, Address: "new"}}, []MemberID{2}},
		"another disk at its address": {[]Member{{ID: 9, Address: "m2"}}, []MemberID{2}},
		"both":                        {[]Member{{ID: 9, Address: "m2"}, memberIn(2, "y")}, []MemberID{2}},
		"no witness":                  {[]Member{memberIn(4, "w")}, nil},
		"two witnesses":               {[]Member{memberIn(2, "y"), memberIn(3, "z")}, []MemberID{2, 3}},
	} {
		change := changingCore(preparing).change
		outOfReach := false
		for _, from := range c.from {
			outOfReach = change.recordRejection(from)
		}
		require.Equal(t, c.want, change.rejected, name)
		require.Equal(t, len(c.want) > 1, outOfReach, name)
	}
}

func TestWitnessRejected_ReasonAndQuorum_Decide(t *testing.T) {
	for _, reason := range []Rejection{HigherPromise, Unavailable} {
		core := changingCore(preparing)
		core.witnessRejected(memberIn(2, "y"), reason, ballotOf(8, 2))
		require.NotNil(t, core.change, "two witnesses may still grant")
		require.Equal(t, reason == HigherPromise, core.lastRound == 8, "the next ballot is higher than a promise")
		core.witnessRejected(memberIn(3, "z"), reason, 0)
		require.Nil(t, core.change)
	}
}

func TestEarlierProposalFinished_ItsPrimaryIsSilent_RetriesAtOnce(t *testing.T) {
	for name, c := range map[string]struct {
		change func(c *Core)
		want   bool
	}{
		"in contact":       {func(*Core) {}, false},
		"silent":           {func(c *Core) { c.peers[0].lastSeen = 0 }, true},
		"silent just then": {func(c *Core) { c.peers[0].lastSeen -= c.timing.PrimaryTimeout }, false},
		"unknown":          {func(c *Core) { c.peers = c.peers[1:] }, true},
	} {
		core := changingCore(finishing)
		found := core.View()
		found.Epoch++
		found.Primary = memberIn(2, "y")
		core.change.earlierProposal = found
		c.change(core)
		core.earlierProposalFinished()
		require.Equal(t, found.Epoch, core.knownEpoch(), name)
		require.Equal(t, c.want, core.retryAfter == core.now, name)
	}
}

// TestBallotSaved_AfterPrepare_ChangesNoPhase saves the register again when the votes of a later phase are there already.
func TestBallotSaved_AfterPrepare_ChangesNoPhase(t *testing.T) {
	for _, phase := range []phase{preparing, accepting, installing} {
		core := changingCore(phase)
		core.change.proposal = *core.View()
		core.change.granted = []MemberID{2, 3}
		core.ballotSaved(core.change.base.Epoch, core.change.ballot)
		if phase == preparing {
			require.Equal(t, transferring, core.change.phase)
			continue
		}
		require.Equal(t, phase, core.change.phase)
	}
}

func TestIsTakeOverDue_RankAndSilence_Decide(t *testing.T) {
	timing := DefaultTiming()
	first, second := []Member{memberIn(1, "x"), memberIn(3, "z")}, []Member{memberIn(3, "z"), memberIn(1, "x")}
	for name, c := range map[string]struct {
		backups []Member
		silence time.Duration
		change  func(c *Core)
		want    bool
	}{
		"first, in time":          {first, timing.PrimaryTimeout, nil, false},
		"first, silent":           {first, timing.PrimaryTimeout + 1, nil, true},
		"first, just promised":    {first, timing.PrimaryTimeout + 1, func(c *Core) { c.lastPromiseAt = c.now }, true},
		"first, asked to":         {first, 0, func(c *Core) { c.viewChangeDue = true }, true},
		"second, in time":         {second, timing.PrimaryTimeout + timing.RankDelay, nil, false},
		"second, silent":          {second, timing.PrimaryTimeout + timing.RankDelay + 1, nil, true},
		"second, just promised":   {second, timing.PrimaryTimeout + timing.RankDelay + 1, func(c *Core) { c.lastPromiseAt = c.now - timing.RankDelay }, false},
		"leaving, silent":         {first, timing.PrimaryTimeout + 3*timing.RankDelay, func(c *Core) { c.leaving = &leaving{} }, false},
		"leaving, silent longer":  {first, timing.PrimaryTimeout + 3*timing.RankDelay + 1, func(c *Core) { c.leaving = &leaving{} }, true},
		"leaving, asked to":       {first, 0, func(c *Core) { c.leaving, c.viewChangeDue = &leaving{}, true }, false},
		"no backup":               {nil, timing.HeartbeatInterval, nil, false},
		"no backup, silent":       {nil, timing.HeartbeatInterval + 1, nil, true},
		"no backup, just promise": {nil, timing.HeartbeatInterval + 1, func(c *Core) { c.lastPromiseAt = c.now }, true},
	} {
		core := servedCore()
		core.register.View.Backups = c.backups
		core.lastPromiseAt = never
		core.lastPrimaryContact = core.now - c.silence
		if c.change != nil {
			c.change(core)
		}
		require.Equal(t, c.want, core.isTakeOverDue(core.register.View), name)
	}
}

func TestConsiderViewChange_StateOfMember_Decides(t *testing.T) {
	for name, c := range map[string]struct {
		core   *Core
		change func(c *Core)
		want   bool
	}{
		"primary, due":               {servingCore(), func(c *Core) { c.viewChangeDue = true }, true},
		"primary, not due":           {servingCore(), nil, false},
		"backup, due":                {servedCore(), func(c *Core) { c.viewChangeDue = true }, true},
		"backup, not due":            {servedCore(), nil, false},
		"due, may not lead":          {servedCore(), func(c *Core) { c.viewChangeDue, c.state.tag = true, StateTag{} }, false},
		"due, relay":                 {servingCore(), func(c *Core) { c.viewChangeDue, c.config.Relay = true, true }, false},
		"due, disk stalled":          {servingCore(), func(c *Core) { c.viewChangeDue, c.disk.stalled = true, true }, false},
		"due, disk job pending":      {servingCore(), func(c *Core) { c.viewChangeDue = true; c.disk.add(diskJob{kind: ownAppendJob}) }, false},
		"due, register job pending":  {servingCore(), func(c *Core) { c.viewChangeDue = true; c.disk.add(diskJob{kind: registerJob}) }, true},
		"due, failed just before":    {servingCore(), func(c *Core) { c.viewChangeDue, c.retryAfter = true, c.now+1 }, false},
		"due, no contact since then": {servingCore(), func(c *Core) { c.viewChangeDue, c.isolatedSince = true, c.now }, false},
		"due, contact since then":    {servingCore(), func(c *Core) { c.viewChangeDue, c.isolatedSince = true, c.now-1 }, true},
		"due, no peers":              {servingCore(), func(c *Core) { c.viewChangeDue, c.peers = true, nil }, true},
		"no view":                    {servedCore(), func(c *Core) { c.viewChangeDue, c.register.View = true, nil }, false},
	} {
		if c.change != nil {
			c.change(c.core)
		}
		c.core.considerViewChange()
		require.Equal(t, c.want, c.core.change != nil, name)
	}
	core := changingCore(accepting)
	change := core.change
	core.viewChangeDue = true
	core.considerViewChange()
	require.Same(t, change, core.change, "one is in progress")
}

func TestBootstrapBase_Seeds_Decide(t *testing.T) {
	firstDisk := func(p peer) peer { return changed(p, func(p *peer) { p.status.BootstrapDisk = true }) }
	relay := func(p peer) peer { return changed(p, func(p *peer) { p.status = Status{Relay: true} }) }
	for name, c := range map[string]struct {
		peers  []peer
		change func(c *Core)
		want   []MemberID // nil: no base
	}{
		"all are there":                  {[]peer{firstDisk(available(2, "y")), firstDisk(available(3, "z"))}, nil, []MemberID{1, 2, 3}},
		"one more that is no seed":       {[]peer{firstDisk(available(2, "y")), firstDisk(available(3, "z")), firstDisk(available(4, "w"))}, nil, []MemberID{1, 2, 3}},
		"one is a new disk":              {[]peer{firstDisk(available(2, "y")), available(3, "z")}, nil, []MemberID{1, 2, 3}},
		"two are new disks":              {[]peer{available(2, "y"), available(3, "z")}, nil, nil},
		"one is unknown":                 {[]peer{firstDisk(available(2, "y"))}, nil, nil},
		"one is silent":                  {[]peer{firstDisk(available(2, "y")), silent(firstDisk(available(3, "z")))}, nil, nil},
		"one is a relay":                 {[]peer{firstDisk(available(2, "y")), relay(available(3, "z"))}, nil, []MemberID{1, 2}},
		"this member's disk is new":      {[]peer{firstDisk(available(2, "y")), firstDisk(available(3, "z"))}, func(c *Core) { c.config.Bootstrap = false }, nil},
		"this member is a relay":         {[]peer{firstDisk(available(2, "y")), firstDisk(available(3, "z"))}, func(c *Core) { c.config.Relay = true }, nil},
		"this member is no seed":         {[]peer{firstDisk(available(2, "y")), firstDisk(available(3, "z"))}, func(c *Core) { c.config.Seeds = []string{"m2", "m3"} }, nil},
		"other seeds at the first start": {[]peer{firstDisk(available(2, "y")), firstDisk(available(3, "z"))}, func(c *Core) { c.config.BootstrapSeeds = []string{"m1", "m2"} }, []MemberID{1, 2}},
		"just started, first":            {[]peer{firstDisk(available(2, "y")), firstDisk(available(3, "z"))}, func(c *Core) { c.startedAt = c.now }, []MemberID{1, 2, 3}},
		"just started, second": {[]peer{firstDisk(changed(available(2, "y"), func(p *peer) { p.member.Address = "m0" }))}, func(c *Core) {
			c.startedAt = c.now - c.timing.WitnessTimeout + 1
			c.config.Seeds = []string{"m0", "m1"}
		}, nil},
		"started before, second": {[]peer{firstDisk(changed(available(2, "y"), func(p *peer) { p.member.Address = "m0" }))}, func(c *Core) {
			c.startedAt = c.now - c.timing.WitnessTimeout
			c.config.Seeds = []string{"m0", "m1"}
		}, []MemberID{2, 1}},
	} {
		core := bareCore(c.peers...)
		core.config.Bootstrap = true
		core.config.Seeds = []string{"m3", "m1", "m2"}
		if c.change != nil {
			c.change(core)
		}
		base, ok := core.bootstrapBase()
		require.Equal(t, c.want != nil, ok, name)
		if ok {
			require.Equal(t, c.want, idsOf(base.Witnesses), name)
			require.Zero(t, base.Epoch, name)
		}
	}
}

func TestSharesSeeds_WitnessesAndRelays_Decide(t *testing.T) {
	relay := changed(available(3, "z"), func(p *peer) { p.status = Status{Relay: true} })
	one, two, three := memberIn(1, "x"), memberIn(2, "y"), memberIn(3, "z")
	for name, c := range map[string]struct {
		witnesses []Member
		peers     []peer
		want      bool
	}{
		"the same":              {[]Member{one, two, three}, nil, true},
		"in another order":      {[]Member{three, two, one}, nil, true},
		"one more":              {[]Member{one, two, three, memberIn(4, "w")}, nil, false},
		"one less":              {[]Member{one, two}, []peer{available(3, "z")}, false},
		"one less, unknown":     {[]Member{one, two}, nil, false},
		"one less, a relay":     {[]Member{one, two}, []peer{relay}, true},
		"another in its place":  {[]Member{one, two, memberIn(4, "w")}, []peer{available(3, "z")}, false},
		"another for the relay": {[]Member{one, two, memberIn(4, "w")}, []peer{relay}, false},
	} {
		core := bareCore(c.peers...)
		core.config.Seeds = []string{"m1", "m2", "m3"}
		require.Equal(t, c.want, core.sharesSeeds(&View{Witnesses: c.witnesses}), name)
	}
}
