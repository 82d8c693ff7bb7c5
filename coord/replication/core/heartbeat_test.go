package core

import (
	"errors"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestTickPrimary_TimeAndContact_Decide(t *testing.T) {
	for name, c := range map[string]struct {
		change     func(c *Core)
		heartbeats int
		serves     bool
	}{
		"heartbeat due":                   {func(*Core) {}, 3, true},
		"heartbeat sent just now":         {func(c *Core) { c.lastHeartbeat = c.now - c.timing.HeartbeatInterval + 1 }, 0, true},
		"not primary":                     {func(c *Core) { c.isPrimary = false }, 0, false},
		"round required, time left":       {func(c *Core) { c.confirm.required, c.confirm.confirmBy = true, c.now+1 }, 3, true},
		"round required, time over":       {func(c *Core) { c.confirm.required, c.confirm.confirmBy = true, c.now }, 0, false},
		"round not required, time before": {func(c *Core) { c.confirm.confirmBy = c.now - 1 }, 3, true},
	} {
		core := servingCore()
		core.lastHeartbeat = core.now - core.timing.HeartbeatInterval
		c.change(core)
		core.tickPrimary()
		require.Len(t, sentBy[Heartbeat](core), c.heartbeats, name)
		require.Equal(t, c.serves, core.isPrimary, name)
		require.Equal(t, name == "round required, time over", core.yielding != nil, name)
	}
}

func TestCheckView_BackupsAndPeers_Decide(t *testing.T) {
	for name, c := range map[string]struct {
		change func(c *Core)
		want   bool
	}{
		"as it should be":            {func(*Core) {}, false},
		"backup unknown":             {func(c *Core) { c.peers = c.peers[1:] }, true},
		"backup silent":              {func(c *Core) { c.peers[0].lastReplyAt -= c.timing.PrimaryTimeout + 1 }, true},
		"backup silent just so long": {func(c *Core) { c.peers[0].lastReplyAt -= c.timing.PrimaryTimeout }, false},
		"backup's disk is full":      {func(c *Core) { c.peers[0] = fullDisk(c.peers[0]) }, true},
		"replica to be had":          {func(c *Core) { c.register.View.Backups = nil }, true},
		"witness lost":               {func(c *Core) { c.peers[1] = silent(c.peers[1]) }, true},
		"view change in progress":    {func(c *Core) { c.peers = c.peers[1:]; c.change = &viewChange{} }, false},
	} {
		core := servingCore()
		c.change(core)
		core.tickPrimary()
		require.Equal(t, c.want, core.viewChangeDue, name)
	}
}

func TestLowTolerance_OnceInEpoch_IsLogged(t *testing.T) {
	warnings := func(core *Core) int {
		n := 0
		for _, effect := range core.effects {
			if log, is := effect.(Log); is && log.Message == "fault tolerance below configuration" {
				n++
			}
		}
		return n
	}
	core := servingCore()
	core.warnOfLowTolerance(core.register.View)
	require.Zero(t, warnings(core), "it tolerates one")
	core.config.MaxFailures = 2
	core.startedAt = core.now - core.timing.WitnessTimeout
	core.warnOfLowTolerance(core.register.View)
	require.Zero(t, warnings(core), "just started")
	core.startedAt--
	core.warnOfLowTolerance(core.register.View)
	core.warnOfLowTolerance(core.register.View)
	require.Equal(t, 1, warnings(core))
}

func TestHeartbeat_ViewOfSender_DecidesContact(t *testing.T) {
	for name, c := range map[string]struct {
		from    Member
		view    func(view *View) *View
		contact bool
		replies int
	}{
		"view known":     {memberIn(2, "y"), func(view *View) *View { return view }, true, 1},
		"newer view":     {memberIn(3, "z"), func(view *View) *View { view.Epoch++; return view }, true, 1},
		"older view":     {memberIn(2, "y"), func(view *View) *View { view.Epoch--; return view }, false, 1},
		"no view":        {memberIn(2, "y"), func(*View) *View { return nil }, false, 0},
		"without a disk": {Member{Address: "m9"}, func(view *View) *View { return view }, true, 1},
	} {
		core := servedCore()
		core.lastPrimary, core.lastPrimaryContact = Member{}, 0
		core.peers[0] = fullDisk(core.peers[0])
		core.onHeartbeat(Heartbeat{Envelope: Envelope{From: c.from, To: 1}, View: c.view(core.View()), Members: []Member{memberIn(7, "q")}})
		require.Equal(t, c.contact, core.lastPrimaryContact == core.now, name)
		require.Len(t, sentBy[HeartbeatReply](core), c.replies, name)
		require.Equal(t, c.replies > 0, core.peer(7) != nil, name)
		require.Equal(t, c.replies > 0 && c.from.ID == 2, core.peer(2).status.Writable, name)
	}
}

func TestHeartbeatReply_BackupNotJoined_ViewChanges(t *testing.T) {
	for name, c := range map[string]struct {
		from   Member
		change func(c *Core, reply *HeartbeatReply)
		want   bool
	}{
		"backup":           {memberIn(2, "y"), func(*Core, *HeartbeatReply) {}, true},
		"backup joined":    {memberIn(2, "y"), func(_ *Core, reply *HeartbeatReply) { reply.Joined = true }, false},
		"of another epoch": {memberIn(2, "y"), func(_ *Core, reply *HeartbeatReply) { reply.Epoch-- }, false},
		"no backup":        {memberIn(3, "z"), func(*Core, *HeartbeatReply) {}, false},
		"not primary":      {memberIn(2, "y"), func(c *Core, _ *HeartbeatReply) { c.isPrimary = false }, false},
	} {
		core := servingCore()
		reply := HeartbeatReply{Envelope: Envelope{From: c.from, To: 1}, Epoch: 5, Status: Status{Writable: true}}
		c.change(core, &reply)
		core.onHeartbeatReply(reply)
		require.Equal(t, c.want, core.viewChangeDue, name)
	}
}

func TestHello_ContactWithPrimary_Decides(t *testing.T) {
	timing := DefaultTiming()
	for name, c := range map[string]struct {
		silence time.Duration
		change  func(c *Core)
		want    bool
	}{
		"backup, in contact":               {timing.PrimaryTimeout / 2, nil, false},
		"backup, silence":                  {timing.PrimaryTimeout/2 + 1, nil, true},
		"backup, silence, just asked":      {timing.PrimaryTimeout/2 + 1, func(c *Core) { c.lastHello = c.now - timing.HeartbeatInterval + 1 }, false},
		"witness, in contact":              {timing.PrimaryTimeout, func(c *Core) { c.register.View.Backups = nil }, false},
		"witness, silence":                 {timing.PrimaryTimeout + 1, func(c *Core) { c.register.View.Backups = nil }, true},
		"no peers":                         {0, func(c *Core) { c.peers = nil }, true},
		"no view":                          {0, func(c *Core) { c.register.View = nil }, true},
		"no view, asked just before":       {0, func(c *Core) { c.register.View = nil; c.lastHello = c.now - timing.ViewChangeBackoff }, true},
		"no view, asked just now":          {0, func(c *Core) { c.register.View = nil; c.lastHello = c.now - timing.ViewChangeBackoff + 1 }, false},
		"no peers, asked just before":      {0, func(c *Core) { c.peers = nil; c.lastHello = c.now - timing.ViewChangeBackoff }, false},
		"primary, no contact with another": {timing.PrimaryTimeout + 1, func(c *Core) { c.isPrimary = true }, false},
	} {
		core := servedCore()
		core.config.Seeds = []string{"m1", "s", ""}
		core.lastPrimaryContact = core.now - c.silence
		if c.change != nil {
			c.change(core)
		}
		core.considerHello()
		require.Equal(t, c.want, len(sentBy[Hello](core)) > 0, name)
	}
	core := servedCore()
	core.config.Seeds = []string{"m1", "s", ""}
	core.peers = nil
	require.Equal(t, []string{"m2", "m3", "s"}, core.knownAddresses(), "of the view and the seeds")
	core.register.View = nil
	require.Equal(t, []string{"s"}, core.knownAddresses())
}

func TestHello_OfMember_PrimarySendsHeartbeat(t *testing.T) {
	for _, primary := range []bool{false, true} {
		core := servedCore()
		core.isPrimary = primary
		core.onHello(Hello{Envelope: Envelope{From: memberIn(4, "w")}, Status: Status{Writable: true}})
		require.Len(t, sentBy[HelloReply](core), 1)
		require.Equal(t, primary, len(sentBy[Heartbeat](core)) == 1)
	}
}

func TestCommand_StateOfPrimary_DecidesWhetherItStarts(t *testing.T) {
	for name, c := range map[string]struct {
		change func(c *Core)
		want   bool
	}{
		"serves":                  {func(*Core) {}, true},
		"not primary":             {func(c *Core) { c.isPrimary = false }, false},
		"view change":             {func(c *Core) { c.change = &viewChange{} }, false},
		"write pending":           {func(c *Core) { c.write = &pendingWrite{} }, false},
		"round required":          {func(c *Core) { c.confirm.required = true }, false},
		"disk job pending":        {func(c *Core) { c.disk.add(diskJob{kind: ownAppendJob}) }, false},
		"register job pending":    {func(c *Core) { c.disk.add(diskJob{kind: registerJob}) }, true},
		"disk stalled":            {func(c *Core) { c.disk.stalled = true }, false},
		"log is broken":           {func(c *Core) { c.state.logBroken = true }, false},
		"none waits":              {func(c *Core) { c.commands = nil }, false},
		"deadline passed":         {func(c *Core) { c.commands[0].Deadline = c.now - 1 }, false},
		"deadline not quite":      {func(c *Core) { c.commands[0].Deadline = c.now }, true},
		"view can be improved":    {func(c *Core) { c.register.View.Backups = nil }, false},
		"improved often enough":   {func(c *Core) { c.register.View.Backups, c.viewChangesForCommand = nil, 3 }, true},
		"improved not that often": {func(c *Core) { c.register.View.Backups, c.viewChangesForCommand = nil, 2 }, false},
	} {
		core := servingCore()
		started := false
		core.commands = []Command{{Token: 1, Deadline: core.now + time.Second, Decide: func() ([]byte, error) { started = true; return []byte("x"), nil }}}
		c.change(core)
		core.startCommands()
		require.Equal(t, c.want, started, name)
		require.Equal(t, name == "deadline passed", resultsIn(core)[1] == Indeterminate && len(resultsIn(core)) == 1, name)
	}
}

func TestCalls_NotPrimaryOrHandingOver_AreDeposed(t *testing.T) {
	for name, c := range map[string]struct {
		change        func(c *Core)
		command, read bool // deposed
	}{
		"primary":      {func(*Core) {}, false, false},
		"not primary":  {func(c *Core) { c.isPrimary = false }, true, true},
		"leaving":      {func(c *Core) { c.leaving = &leaving{} }, false, false},
		"handing over": {func(c *Core) { c.leaving = &leaving{handingOver: true} }, true, false},
	} {
		core := servingCore()
		c.change(core)
		core.enqueueCommand(Command{Token: 1})
		core.enqueueRead(Read{Token: 2})
		results := resultsIn(core)
		require.Equal(t, c.command, results[1] == Deposed && len(core.commands) == 0, name)
		require.Equal(t, c.read, results[2] == Deposed && len(core.confirm.queued) == 0, name)
	}
}

func TestDeposed_WritePending_IsAnsweredOnce(t *testing.T) {
	for _, sent := range []bool{false, true} {
		core := servingCore()
		core.write = &pendingWrite{command: Command{Token: 1, Deadline: core.now - 1}, resultSent: sent}
		core.failPendingCalls()
		require.Len(t, resultsIn(core), map[bool]int{false: 1, true: 0}[sent])
		core = servingCore()
		core.write = &pendingWrite{command: Command{Token: 1, Deadline: core.now - 1}, resultSent: sent}
		core.expireCalls()
		require.Len(t, resultsIn(core), map[bool]int{false: 1, true: 0}[sent])
	}
}

func TestDisk_UnknownJob_ChangesNothing(t *testing.T) {
	for name, event := range map[string]Event{"done": DiskDone{Token: 7}, "failed": DiskDone{Token: 7, Err: errors.New("full")}, "stalled": DiskStalled{Token: 7}} {
		for _, jobs := range []int{0, 1} {
			core := servingCore()
			for range jobs {
				core.disk.add(diskJob{kind: compactionJob})
			}
			core.handle(event)
			require.True(t, core.isPrimary, name)
			require.False(t, core.disk.stalled, name)
			require.Len(t, core.disk.jobs, jobs, name)
		}
	}
}

func TestDisk_CompactionFails_PrimaryStepsDown(t *testing.T) {
	for _, primary := range []bool{true, false} {
		for _, err := range []error{nil, errFull} {
			core := servingCore()
			core.isPrimary = primary
			core.state.joined = core.register.View.Tag()
			token := core.disk.add(diskJob{kind: compactionJob})
			core.diskDone(DiskDone{Token: token, Err: err})
			require.Equal(t, err != nil, core.state.logBroken)
			require.Equal(t, err == nil, core.state.joined == core.register.View.Tag())
			require.Equal(t, primary && err == nil, core.isPrimary)
			require.Equal(t, primary && err != nil, core.yielding != nil)
		}
	}
}

func TestDecode_StreamCutShort_IsBad(t *testing.T) {
	entry := Entry{Index: 4, Epoch: 300, Ballot: 70_000, Previous: 9, Data: []byte("entry")}
	snapshot := Snapshot{Position: Position{Index: 3, Digest: 9}, Data: []byte("snapshot")}
	complete := encodeState(snapshot, []Entry{entry})
	length := len(encodeState(snapshot, nil))
	for n := range complete {
		_, entries, err := decodeState(complete[:n])
		if n == length {
			require.NoError(t, err)
			require.Empty(t, entries)
			continue
		}
		require.ErrorIs(t, err, errBadStream, n)
	}
	got, entries, err := decodeState(complete)
	require.NoError(t, err)
	require.Equal(t, snapshot, got)
	require.Equal(t, []Entry{entry}, entries)
}

func TestNextWake_PendingWork_Decides(t *testing.T) {
	timing := DefaultTiming()
	at := func(wait time.Duration) time.Duration { return time.Minute + wait }
	for name, c := range map[string]struct {
		core   *Core
		change func(c *Core)
		want   time.Duration
	}{
		"primary":             {servingCore(), func(*Core) {}, at(timing.HeartbeatInterval)},
		"backup":              {servedCore(), func(*Core) {}, at(timing.PrimaryTimeout / 2)},
		"witness":             {servedCore(), func(c *Core) { c.register.View.Backups = nil }, at(timing.PrimaryTimeout)},
		"its own old primary": {servingCore(), func(c *Core) { c.isPrimary, c.lastPrimaryContact = false, c.now }, at(timing.HeartbeatInterval)},
		"no view":             {servedCore(), func(c *Core) { c.register.View = nil }, at(timing.TickInterval)},
		"no peers":            {servedCore(), func(c *Core) { c.peers = nil }, at(timing.TickInterval)},
		"view change":         {servedCore(), func(c *Core) { c.change = &viewChange{} }, at(timing.TickInterval)},
		"yields":              {servedCore(), func(c *Core) { c.yielding = &yielding{} }, at(timing.TickInterval)},
		"view change due":     {servedCore(), func(c *Core) { c.viewChangeDue = true }, at(timing.TickInterval)},
		"leaving":             {servedCore(), func(c *Core) { c.leaving = &leaving{} }, at(timing.TickInterval)},
		"left":                {servedCore(), func(c *Core) { c.leaving = &leaving{done: true} }, at(timing.PrimaryTimeout / 2)},
		"command waits":       {servingCore(), func(c *Core) { c.commands = []Command{{}} }, at(timing.TickInterval)},
		"write pending":       {servingCore(), func(c *Core) { c.write = &pendingWrite{} }, at(timing.TickInterval)},
		"round running":       {servingCore(), func(c *Core) { c.confirm.running = true }, at(timing.TickInterval)},
		"round required":      {servingCore(), func(c *Core) { c.confirm.required = true }, at(timing.TickInterval)},
		"read waits":          {servingCore(), func(c *Core) { c.confirm.queued = []pendingCall{{}} }, at(timing.TickInterval)},
	} {
		c.core.lastHeartbeat = c.core.now
		c.change(c.core)
		require.Equal(t, c.want, c.core.NextWake(c.core.now), name)
	}
}
