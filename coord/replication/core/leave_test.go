package core

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestLeave_Primary_HandsOverAtOnce(t *testing.T) {
	eachLayout(t, func(t *testing.T, net *network) {
		primary := net.commit("first")
		primary.step(Leave{Deadline: net.now - primary.born + 5*time.Second})
		net.run(400 * time.Millisecond)
		successor := net.holds("first;")
		require.NotEqual(t, primary, successor)
		require.Equal(t, Committed, successor.outcome(successor.proposeText("second")))
	})
}

// TestLeave_EachRole_CompletesByAgreement waits until a view without it holds.
func TestLeave_EachRole_CompletesByAgreement(t *testing.T) {
	for _, role := range []Role{RolePrimary, RoleBackup, RoleWitness} {
		t.Run(fmt.Sprint(role), func(t *testing.T) {
			net := startedNetwork(t, 1, "a", "b", "c", "d")
			primary := net.commit("first")
			view := primary.core.View()
			member := primary
			switch role {
			case RoleBackup:
				member = net.node(view.Backups[0])
			case RoleWitness:
				for _, witness := range view.Witnesses {
					if rolesOf(view, witness.ID) == RoleWitness {
						member = net.node(witness)
					}
				}
			}
			member.step(Leave{Deadline: net.now - member.born + 10*time.Second})
			net.run(2 * time.Second)
			require.NotNil(t, member.left)
			require.True(t, member.left.Complete)
			successor := net.holds("first;")
			require.Zero(t, rolesOf(successor.core.View(), member.disk.id))
			require.Len(t, successor.core.View().Replicas(), 2)
			require.Len(t, successor.core.View().Witnesses, 3)
			member.stop()
			successor.stop()
			net.run(3 * time.Second)
			net.holds("first;")
		})
	}
}

// TestLeave_NoReplacement_KeepsRolesUntilDeadline keeps its role until the deadline.
func TestLeave_NoReplacement_KeepsRolesUntilDeadline(t *testing.T) {
	net := startedNetwork(t, 1, "a", "b", "c")
	primary := net.commit("first")
	backup := net.node(primary.core.View().Backups[0])
	backup.step(Leave{Deadline: net.now - backup.born + 3*time.Second})
	net.run(2 * time.Second)
	require.Nil(t, backup.left)
	net.commit("second")
	net.run(2 * time.Second)
	require.NotNil(t, backup.left)
	require.False(t, backup.left.Complete)
	require.NotZero(t, backup.left.Roles&RoleWitness)
	require.Len(t, net.primary().core.View().Replicas(), 2)
}

// TestLeave_NoViewKnown_AsksPrimaryFirst: a view that names it may be on its way.
func TestLeave_NoViewKnown_AsksPrimaryFirst(t *testing.T) {
	net := startedNetwork(t, 1, "a", "b", "c")
	net.commit("first")
	added := net.add("d")
	added.start()
	added.step(Leave{Deadline: 5 * time.Second})
	require.Nil(t, added.left)
	net.run(time.Second)
	require.NotNil(t, added.left)
	require.True(t, added.left.Complete)
	isolated := net.add("e")
	net.isolate(isolated)
	isolated.start()
	isolated.step(Leave{Deadline: time.Second})
	net.run(2 * time.Second)
	require.NotNil(t, isolated.left)
	require.False(t, isolated.left.Complete, "nobody agreed")
}

// sentBy are the messages of a type among the effects of a core.
func sentBy[T Message](core *Core) []T {
	var messages []T
	for _, effect := range core.effects {
		if send, is := effect.(Send); is {
			if m, is := send.Message.(T); is {
				messages = append(messages, m)
			}
		}
	}
	return messages
}

// servingCore is member 1 as the primary of a view with backup 2 and witnesses 1, 2 and 3; member 4 is available, too.
func servingCore() *Core {
	core := bareCore(available(2, "y"), available(3, "z"), available(4, "w"))
	core.config.StateMachine = &text{}
	core.register.View = viewOf([]Member{memberIn(2, "y")}, []Member{core.self, memberIn(2, "y"), memberIn(3, "z")})
	core.state.tag = core.register.View.Tag()
	core.isPrimary = true
	core.primaryEpoch = core.register.View.Epoch
	core.lastPrimary = core.self
	return core
}

// servedCore is member 1 as the backup of a view whose primary is member 2.
func servedCore() *Core {
	core := servingCore()
	core.isPrimary = false
	core.register.View.Primary, core.register.View.Backups = memberIn(2, "y"), []Member{core.self}
	core.lastPrimary, core.lastPrimaryContact = memberIn(2, "y"), core.now
	return core
}

func TestLeaving_RolesAndTime_DecideTheNextStep(t *testing.T) {
	const nothing, asks, looks, left, gaveUp, yields, waits = "nothing", "asks", "looks for the primary", "left", "gave up", "yields", "waits for the write"
	for name, c := range map[string]struct {
		core   *Core
		change func(c *Core)
		want   string
	}{
		"backup":                         {servedCore(), nil, asks},
		"backup, asked before":           {servedCore(), func(c *Core) { c.leaving.sentAt = c.now - c.timing.ResendInterval }, asks},
		"backup, asked just now":         {servedCore(), func(c *Core) { c.leaving.sentAt = c.now - c.timing.ResendInterval + 1 }, nothing},
		"backup, primary unknown":        {servedCore(), func(c *Core) { c.lastPrimary = Member{} }, looks},
		"relay":                          {servedCore(), func(c *Core) { c.config.Relay = true }, left},
		"done":                           {servedCore(), func(c *Core) { c.leaving.done = true }, nothing},
		"relay, done":                    {servedCore(), func(c *Core) { c.config.Relay, c.leaving.done = true, true }, nothing},
		"near the deadline":              {servedCore(), func(c *Core) { c.leaving.deadline = c.now + c.timing.LeaveMargin }, gaveUp},
		"just before":                    {servedCore(), func(c *Core) { c.leaving.deadline = c.now + c.timing.LeaveMargin + 1 }, asks},
		"primary":                        {servingCore(), nil, yields},
		"primary, near the deadline":     {servingCore(), func(c *Core) { c.leaving.deadline = c.now }, gaveUp},
		"primary, view change":           {servingCore(), func(c *Core) { c.change = &viewChange{} }, nothing},
		"primary, write pending":         {servingCore(), func(c *Core) { c.write = &pendingWrite{} }, waits},
		"primary, backup silent":         {servingCore(), func(c *Core) { c.peers[0] = silent(c.peers[0]) }, nothing},
		"primary, backup's disk is full": {servingCore(), func(c *Core) { c.peers[0] = fullDisk(c.peers[0]) }, nothing},
		"primary, backup leaves":         {servingCore(), func(c *Core) { c.peers[0] = leaver(c.peers[0]) }, nothing},
		"primary, backup unknown":        {servingCore(), func(c *Core) { c.peers = c.peers[1:] }, nothing},
		"primary, no backup":             {servingCore(), func(c *Core) { c.register.View.Backups = nil }, nothing},
	} {
		c.core.leaving = &leaving{deadline: c.core.now + 10*time.Second, sentAt: never}
		if c.change != nil {
			c.change(c.core)
		}
		c.core.tickLeaving()
		var ended []Left
		for _, effect := range c.core.effects {
			if effect, is := effect.(Left); is {
				ended = append(ended, effect)
			}
		}
		got := nothing
		switch {
		case len(ended) == 1 && ended[0].Complete:
			got = left
		case len(ended) == 1:
			got = gaveUp
			require.Equal(t, rolesOf(c.core.register.View, 1), ended[0].Roles, name)
		case len(sentBy[LeaveRequest](c.core)) == 1:
			got = asks
		case len(sentBy[Hello](c.core)) > 0:
			got = looks
		case len(sentBy[Yield](c.core)) == 1 && !c.core.isPrimary:
			got = yields
		case c.core.leaving.handingOver && c.core.isPrimary:
			got = waits
		}
		require.Equal(t, c.want, got, name)
	}
}

func TestLeave_Repeated_FirstDeadlineHolds(t *testing.T) {
	core := servedCore()
	core.startLeaving(Leave{Deadline: core.now + time.Second})
	core.startLeaving(Leave{Deadline: core.now + time.Hour})
	require.Equal(t, core.now+time.Second, core.leaving.deadline)
	require.Len(t, sentBy[LeaveRequest](core), 1)
}

func TestLeaveRequest_ViewAndPeers_DecideReply(t *testing.T) {
	two, three := memberIn(2, "y"), memberIn(3, "z")
	for name, c := range map[string]struct {
		from    Member
		change  func(c *Core)
		want    Rejection
		changes bool // the view
	}{
		"no role":                       {memberIn(4, "w"), nil, Granted, false},
		"backup":                        {two, nil, Busy, true},
		"witness":                       {three, nil, Busy, true},
		"witness, no replacement":       {three, func(c *Core) { c.peers = c.peers[:2] }, NoReplacement, false},
		"backup, one spare, no witness": {two, func(c *Core) { c.register.View.Witnesses = []Member{c.self, memberIn(4, "w"), three} }, Busy, true},
		"not primary":                   {two, func(c *Core) { c.isPrimary = false }, NotPrimary, false},
		"no role, not primary":          {memberIn(4, "w"), func(c *Core) { c.isPrimary = false }, NotPrimary, false},
		"no role, view change":          {memberIn(4, "w"), func(c *Core) { c.change = &viewChange{} }, Busy, false},
	} {
		core := servingCore()
		if c.change != nil {
			c.change(core)
		}
		before := core.change
		core.onLeaveRequest(LeaveRequest{Envelope: Envelope{From: c.from, To: 1}, Status: Status{Writable: true, Leaving: true}})
		replies := sentBy[LeaveRequestReply](core)
		require.Len(t, replies, 1, name)
		require.Equal(t, c.want, replies[0].Rejection, name)
		require.Equal(t, c.changes, core.change != before, name)
		require.True(t, core.isLeaving(c.from), name)
	}
}

func TestLeaveRequestReply_OnlyNewestViewWithoutMember_EndsLeaving(t *testing.T) {
	for name, c := range map[string]struct {
		change func(c *Core, reply *LeaveRequestReply)
		want   bool
	}{
		"without this member":        {func(*Core, *LeaveRequestReply) {}, true},
		"rejected":                   {func(_ *Core, reply *LeaveRequestReply) { reply.Rejection = Busy }, false},
		"no view":                    {func(_ *Core, reply *LeaveRequestReply) { reply.View = nil }, false},
		"older view":                 {func(_ *Core, reply *LeaveRequestReply) { reply.View.Epoch-- }, false},
		"newer view":                 {func(_ *Core, reply *LeaveRequestReply) { reply.View.Epoch++ }, true},
		"newer view with the member": {func(c *Core, reply *LeaveRequestReply) { reply.View.Epoch++; reply.View.Backups = []Member{c.self} }, false},
		"not leaving":                {func(c *Core, _ *LeaveRequestReply) { c.leaving = nil }, false},
		"left before":                {func(c *Core, _ *LeaveRequestReply) { c.leaving.done = true }, false},
	} {
		core := servedCore()
		core.register.View.Backups, core.register.View.Witnesses = nil, []Member{memberIn(3, "z")}
		core.leaving = &leaving{}
		reply := LeaveRequestReply{Envelope: Envelope{From: memberIn(2, "y"), To: 1}, View: core.View()}
		c.change(core, &reply)
		core.onLeaveRequestReply(reply)
		got := false
		for _, effect := range core.effects {
			if effect, is := effect.(Left); is {
				got = effect.Complete
			}
		}
		require.Equal(t, c.want, got, name)
	}
}

// yieldsTo are the members asked to take over since the last call.
func yieldsTo(core *Core) []MemberID {
	var ids []MemberID
	for _, m := range sentBy[Yield](core) {
		ids = append(ids, m.To)
	}
	core.effects = nil
	return ids
}

// yieldingCore is member 1, no longer the primary of a view with backups 2 and 3.
func yieldingCore() *Core {
	core := servingCore()
	core.register.View.Backups = []Member{memberIn(2, "y"), memberIn(3, "z")}
	core.isPrimary = false
	return core
}

func TestYield_PrimaryOrNoView_AsksNobody(t *testing.T) {
	core := yieldingCore()
	core.isPrimary = true
	core.startYielding(core.register.View)
	require.Nil(t, core.yielding, "it is primary")
	core.isPrimary = false
	core.startYielding(nil)
	require.Nil(t, core.yielding, "it knows no view")
	core.tickYield()
	core.onYieldReply(YieldReply{Epoch: 5})
	require.Empty(t, yieldsTo(core))
}

func TestYield_BackupsInTurn_UntilOneWill(t *testing.T) {
	core := yieldingCore()
	core.startYielding(core.register.View)
	require.Equal(t, []MemberID{2}, yieldsTo(core))
	core.now += core.timing.ReplyTimeout - 1
	core.tickYield()
	require.Empty(t, yieldsTo(core), "the first may still reply")
	core.onYieldReply(YieldReply{Epoch: 4, Rejection: Unavailable})
	require.Empty(t, yieldsTo(core), "of an earlier epoch")
	core.onYieldReply(YieldReply{Epoch: 4})
	require.NotNil(t, core.yielding, "granted in an earlier epoch")
	core.now++
	core.tickYield()
	require.Equal(t, []MemberID{3}, yieldsTo(core))
	core.onYieldReply(YieldReply{Epoch: 5, Rejection: Unavailable})
	require.Empty(t, yieldsTo(core))
	require.Nil(t, core.yielding, "all were asked")

	core = yieldingCore()
	core.startYielding(core.register.View)
	core.onYieldReply(YieldReply{Epoch: 5})
	require.Nil(t, core.yielding, "granted")
	require.Equal(t, []MemberID{2}, yieldsTo(core))

	core = yieldingCore()
	core.startYielding(core.register.View)
	core.register.View = core.register.View.Clone()
	core.register.View.Epoch++
	core.onYieldReply(YieldReply{Epoch: 5, Rejection: Unavailable})
	require.Nil(t, core.yielding, "a newer view is known")
	require.Equal(t, []MemberID{2}, yieldsTo(core))
}

func TestYield_StateOfBackup_DecidesReply(t *testing.T) {
	for name, c := range map[string]struct {
		change func(c *Core, m *Yield)
		want   Rejection
	}{
		"backup":         {func(*Core, *Yield) {}, Granted},
		"no view":        {func(c *Core, _ *Yield) { c.register.View = nil }, UnknownView},
		"other epoch":    {func(_ *Core, m *Yield) { m.Epoch++ }, UnknownView},
		"other ballot":   {func(_ *Core, m *Yield) { m.Ballot++ }, UnknownView},
		"disk stalled":   {func(c *Core, _ *Yield) { c.disk.stalled = true }, Unavailable},
		"leaving":        {func(c *Core, _ *Yield) { c.leaving = &leaving{} }, Unavailable},
		"may not lead":   {func(c *Core, _ *Yield) { c.state.tag = StateTag{} }, NotJoined},
		"waits to retry": {func(c *Core, _ *Yield) { c.retryAfter = c.now + time.Second }, Granted},
	} {
		core := servedCore()
		m := Yield{Envelope: Envelope{From: memberIn(2, "y"), To: 1}, Epoch: 5, Ballot: 10}
		c.change(core, &m)
		core.onYield(m)
		replies := sentBy[YieldReply](core)
		require.Len(t, replies, 1, name)
		require.Equal(t, c.want, replies[0].Rejection, name)
		require.Equal(t, c.want == Granted, core.change != nil, name)
		if c.want != Granted {
			require.False(t, core.viewChangeDue, name)
		}
	}
}
