package core

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// memberIn is a member of a zone.
func memberIn(id MemberID, zone string) Member {
	return Member{ID: id, Address: fmt.Sprint("m", id), Zone: zone}
}

// bareCore is member 1 of zone x, started long ago, with peers in the order of their ids. One failure is to be tolerated.
func bareCore(peers ...peer) *Core {
	return &Core{
		self: memberIn(1, "x"), config: Config{MaxFailures: 1, MaxDomainFailures: 1}, timing: DefaultTiming(), limits: DefaultLimits(),
		now: time.Minute, peers: peers, lastHello: never, isolatedSince: never,
	}
}

// available is a peer that a bareCore may give any role.
func available(id MemberID, zone string) peer {
	return peer{member: memberIn(id, zone), lastSeen: time.Minute, lastReplyAt: time.Minute, contacted: true, status: Status{Writable: true}}
}

// changed is a peer with a change.
func changed(p peer, change func(p *peer)) peer {
	change(&p)
	return p
}

func silent(p peer) peer   { return changed(p, func(p *peer) { p.lastReplyAt = 0 }) }
func leaver(p peer) peer   { return changed(p, func(p *peer) { p.status.Leaving = true }) }
func fullDisk(p peer) peer { return changed(p, func(p *peer) { p.status.Writable = false }) }

func idsOf(members []Member) []MemberID {
	var ids []MemberID
	for _, m := range members {
		ids = append(ids, m.ID)
	}
	return ids
}

// viewOf is a view of member 1 as primary.
func viewOf(backups, witnesses []Member) *View {
	return &View{Epoch: 5, Ballot: 10, Primary: memberIn(1, "x"), Backups: backups, Witnesses: witnesses}
}

func TestCandidates_StateOfPeer_DecidesWhatItMayTake(t *testing.T) {
	type lists struct{ writable, leaving, spare bool }
	for name, c := range map[string]struct {
		peer peer
		want lists
	}{
		"available":                  {available(2, "y"), lists{true, false, true}},
		"silent":                     {silent(available(2, "y")), lists{}},
		"silent for just so long":    {changed(available(2, "y"), func(p *peer) { p.lastReplyAt -= DefaultTiming().PrimaryTimeout }), lists{}},
		"full disk":                  {fullDisk(available(2, "y")), lists{}},
		"leaving":                    {leaver(available(2, "y")), lists{false, true, false}},
		"leaving, silent":            {silent(leaver(available(2, "y"))), lists{}},
		"leaving, full disk":         {fullDisk(leaver(available(2, "y"))), lists{}},
		"rejected a transfer lately": {changed(available(2, "y"), func(p *peer) { p.noTransferBefore = time.Minute + 1 }), lists{true, false, false}},
		"rejected one long ago":      {changed(available(2, "y"), func(p *peer) { p.noTransferBefore = time.Minute }), lists{true, false, true}},
		"replica of the view":        {available(3, "y"), lists{true, false, false}},
	} {
		core := bareCore(c.peer)
		view := viewOf([]Member{memberIn(3, "y")}, nil)
		require.Equal(t, c.want, lists{len(core.writableMembers()) > 0, len(core.writableButLeaving()) > 0, len(core.spareMembers(view)) > 0}, name)
	}
}

func TestCandidates_Leaving_IsKnownOfSelfAndPeers(t *testing.T) {
	core := bareCore(available(2, "y"), leaver(available(3, "z")))
	require.False(t, core.isLeaving(core.self))
	require.False(t, core.isLeaving(memberIn(2, "y")))
	require.True(t, core.isLeaving(memberIn(3, "z")))
	require.False(t, core.isLeaving(memberIn(9, "z")), "unknown")
	require.False(t, core.rejectedTransferLately(memberIn(9, "z")), "unknown")
	core.leaving = &leaving{}
	require.True(t, core.isLeaving(core.self))
	require.False(t, core.isLeaving(memberIn(2, "y")))
}

func TestNextCandidate_SeveralMembers_BestIsTaken(t *testing.T) {
	base := viewOf([]Member{memberIn(6, "y")}, []Member{memberIn(5, "y")})
	base.Primary = memberIn(7, "y")
	missed := func(p peer) peer { return changed(p, func(p *peer) { p.missedWrite = true }) }
	rejected := func(p peer) peer { return changed(p, func(p *peer) { p.noTransferBefore = 2 * time.Minute }) }
	before := func(p peer) peer { return changed(p, func(p *peer) { p.lastReplyAt -= 10 * time.Millisecond }) }
	for name, c := range map[string]struct {
		peers []peer
		asked []Member
		want  MemberID // 0: none
	}{
		"none":                                {nil, nil, 0},
		"only a silent one":                   {[]peer{silent(available(2, "y"))}, nil, 0},
		"only a leaving one":                  {[]peer{leaver(available(2, "y"))}, nil, 2},
		"leaving only if no other":            {[]peer{leaver(available(2, "y")), missed(available(3, "y"))}, nil, 3},
		"leaving after the others were asked": {[]peer{leaver(available(2, "y")), available(3, "y")}, []Member{memberIn(3, "y")}, 2},
		"all asked":                           {[]peer{available(2, "y")}, []Member{memberIn(2, "y")}, 0},
		"lowest id":                           {[]peer{available(2, "y"), available(3, "y")}, nil, 2},
		"domain not used yet":                 {[]peer{available(2, "x"), available(3, "y")}, nil, 3},
		"old witness before others":           {[]peer{available(2, "y"), available(5, "y")}, nil, 5},
		"old replica before old witness":      {[]peer{available(5, "y"), available(6, "y")}, nil, 6},
		"missed a write":                      {[]peer{missed(available(2, "y")), available(3, "x")}, nil, 3},
		"rejected a transfer lately":          {[]peer{rejected(available(2, "y")), available(3, "x")}, nil, 3},
		"old primary, silent since":           {[]peer{available(2, "x"), before(available(7, "y"))}, nil, 2},
		"old primary, replied since":          {[]peer{available(2, "x"), available(7, "y")}, nil, 7},
		"no primary, silent since":            {[]peer{available(2, "x"), before(available(6, "y"))}, nil, 6},
	} {
		core := bareCore(c.peers...)
		core.change = &viewChange{base: *base, startedAt: core.now}
		got, ok := core.nextCandidate(base, c.asked, []Member{core.self})
		require.Equal(t, c.want, got.ID, name)
		require.Equal(t, c.want != 0, ok, name)
	}
	require.Equal(t, 1, bareCore().penalty(memberIn(2, "y")), "unknown")
}

func TestWitnesses_ViewAndPeers_DecideTheNextOnes(t *testing.T) {
	self, two, three, four := memberIn(1, "x"), memberIn(2, "y"), memberIn(3, "z"), memberIn(4, "w")
	twoInX := memberIn(2, "x")
	anew := available(4, "y")
	anew.member.Address = two.Address
	for name, c := range map[string]struct {
		witnesses []Member
		peers     []peer
		change    func(c *Core)
		want      []MemberID // nil: they stay
	}{
		"at the target":                {[]Member{self, two, three}, []peer{available(2, "y"), available(3, "z"), available(4, "w")}, nil, nil},
		"one, two learners":            {[]Member{self}, []peer{available(2, "y"), available(3, "z")}, nil, []MemberID{1, 2, 3}},
		"one, one learner":             {[]Member{self}, []peer{available(2, "y")}, nil, nil},
		"two, one learner":             {[]Member{self, two}, []peer{available(2, "y"), available(3, "z")}, nil, []MemberID{1, 2, 3}},
		"learners of several domains":  {[]Member{self}, []peer{available(2, "x"), available(3, "y"), available(4, "y"), available(5, "z")}, nil, []MemberID{1, 3, 5}},
		"this member is no witness":    {[]Member{two, three}, []peer{available(2, "y"), available(3, "z")}, nil, []MemberID{2, 3, 1}},
		"it is leaving":                {[]Member{two, three}, []peer{available(2, "y"), available(3, "z")}, func(c *Core) { c.leaving = &leaving{} }, nil},
		"its disk is stalled":          {[]Member{two, three}, []peer{available(2, "y"), available(3, "z")}, func(c *Core) { c.disk.stalled = true }, nil},
		"one leaves":                   {[]Member{self, two, three}, []peer{leaver(available(2, "y")), available(3, "z"), available(4, "w")}, nil, []MemberID{1, 4, 3}},
		"one leaves, no learner":       {[]Member{self, two, three}, []peer{leaver(available(2, "y")), available(3, "z")}, nil, nil},
		"this member leaves":           {[]Member{self, two, three}, []peer{available(2, "y"), available(3, "z"), available(4, "w")}, func(c *Core) { c.leaving = &leaving{} }, nil},
		"one is lost":                  {[]Member{self, two, three}, []peer{silent(available(2, "y")), available(3, "z"), available(4, "w")}, nil, []MemberID{1, 4, 3}},
		"one is silent not so long":    {[]Member{self, two, three}, []peer{changed(available(2, "y"), func(p *peer) { p.lastReplyAt -= DefaultTiming().WitnessTimeout }), available(3, "z"), available(4, "w")}, nil, nil},
		"one is unknown":               {[]Member{self, two, three}, []peer{available(3, "z"), available(4, "w")}, nil, []MemberID{1, 4, 3}},
		"one is unknown, just started": {[]Member{self, two, three}, []peer{available(3, "z"), available(4, "w")}, func(c *Core) { c.startedAt = c.now }, nil},
		"one was wiped":                {[]Member{self, two, three}, []peer{available(3, "z"), anew}, func(c *Core) { c.startedAt = c.now }, []MemberID{1, 4, 3}},
		"wiped: the one at its address, not the lowest id": {[]Member{self, memberIn(8, "y"), three}, []peer{available(2, "w"), available(3, "z"), changed(available(9, "y"), func(p *peer) { p.member.Address = "m8" })}, nil, []MemberID{1, 9, 3}},
		"two in a domain":                      {[]Member{three, twoInX, self}, []peer{available(2, "x"), available(3, "z"), available(4, "w")}, nil, []MemberID{3, 4, 1}},
		"two in a domain, this one stays":      {[]Member{self, twoInX, three}, []peer{available(2, "x"), available(3, "z"), available(4, "w")}, nil, []MemberID{1, 4, 3}},
		"two in a domain, learner in used one": {[]Member{self, twoInX, three}, []peer{available(2, "x"), available(3, "z"), available(4, "z")}, nil, nil},
		"two in a domain, no learner":          {[]Member{self, twoInX, three}, []peer{available(2, "x"), available(3, "z")}, nil, nil},
		"two in a domain, none may fail":       {[]Member{self, twoInX, three}, []peer{available(2, "x"), available(3, "z"), available(4, "w")}, func(c *Core) { c.config.MaxDomainFailures = 0 }, nil},
		"more before one replaced":             {[]Member{self, two}, []peer{leaver(available(2, "y")), available(4, "w")}, nil, []MemberID{1, 2, 4}},
		"replaced before spread":               {[]Member{self, twoInX, three}, []peer{available(2, "x"), leaver(available(3, "z")), available(4, "w")}, nil, []MemberID{1, 2, 4}},
		"no witness lost at four of three":     {[]Member{self, two, three, four}, []peer{available(2, "y"), available(3, "z"), available(4, "w"), available(5, "v")}, nil, nil},
	} {
		core := bareCore(c.peers...)
		if c.change != nil {
			c.change(core)
		}
		require.Equal(t, c.want, idsOf(core.nextWitnesses(viewOf(nil, c.witnesses))), name)
	}
}

func TestCanImprove_ViewAndPeers_Decide(t *testing.T) {
	self, two, three := memberIn(1, "x"), memberIn(2, "y"), memberIn(3, "z")
	all := []Member{self, two, three}
	for name, c := range map[string]struct {
		view  *View
		peers []peer
		want  bool
	}{
		"at its targets":                      {viewOf([]Member{two}, all), []peer{available(2, "y"), available(3, "z"), available(4, "w")}, false},
		"too few replicas, one spare":         {viewOf(nil, all), []peer{silent(available(2, "y")), silent(available(3, "z")), available(4, "x")}, true},
		"too few replicas, none spare":        {viewOf(nil, all), []peer{silent(available(2, "y")), silent(available(3, "z"))}, false},
		"replicas in one domain":              {viewOf([]Member{memberIn(2, "x")}, []Member{self, memberIn(2, "x"), three}), []peer{available(2, "x"), available(3, "z")}, true},
		"replicas in one domain, as all":      {viewOf([]Member{memberIn(2, "x")}, []Member{self, memberIn(2, "x"), three}), []peer{available(2, "x"), silent(available(3, "z")), available(4, "x")}, false},
		"backup leaves, one spare":            {viewOf([]Member{two}, all), []peer{leaver(available(2, "y")), available(3, "z")}, true},
		"backup leaves, none spare":           {viewOf([]Member{two}, all), []peer{leaver(available(2, "y")), silent(available(3, "z"))}, false},
		"backup leaves, more than the target": {viewOf([]Member{two, three}, all), []peer{leaver(available(2, "y")), available(3, "z")}, true},
		"more than the target, none leaves":   {viewOf([]Member{two, three}, all), []peer{available(2, "y"), available(3, "z")}, false},
		"too few witnesses":                   {viewOf([]Member{two}, []Member{self}), []peer{available(2, "y"), available(3, "z")}, true},
		"witnesses in one domain":             {viewOf([]Member{two}, []Member{self, memberIn(5, "x"), three}), []peer{available(2, "y"), available(3, "z")}, true},
	} {
		require.Equal(t, c.want, bareCore(c.peers...).canImprove(c.view), name)
	}
}

func TestView_RolesAndTolerance_AreCounted(t *testing.T) {
	view := viewOf([]Member{memberIn(2, "y")}, []Member{memberIn(1, "x"), memberIn(3, "z")})
	for id, want := range map[MemberID]Role{1: RolePrimary | RoleWitness, 2: RoleBackup, 3: RoleWitness, 4: 0} {
		require.Equal(t, want, rolesOf(view, id), id)
		require.Zero(t, rolesOf(nil, id))
	}
	require.Zero(t, failuresTolerated(nil))
	core := bareCore()
	require.Equal(t, 2, core.minReplicas(view))
	core.config.MaxFailures = 0
	require.Equal(t, 1, core.minReplicas(view))
}

func TestRecordContact_Member_IsKnownByItsDisk(t *testing.T) {
	for name, c := range map[string]struct {
		member Member
		want   []Member
	}{
		"known":                      {memberIn(2, "y"), []Member{memberIn(2, "y"), memberIn(3, "z")}},
		"known at a new address":     {Member{ID: 2, Address: "new"}, []Member{{ID: 2, Address: "new"}, memberIn(3, "z")}},
		"new":                        {memberIn(4, "w"), []Member{memberIn(2, "y"), memberIn(3, "z"), memberIn(4, "w")}},
		"another disk at an address": {Member{ID: 4, Address: "m2"}, []Member{memberIn(3, "z"), {ID: 4, Address: "m2"}}},
		"no disk":                    {Member{Address: "m2"}, nil},
		"no address":                 {Member{ID: 2}, nil},
		"this member":                {memberIn(1, "x"), nil},
		"this member elsewhere":      {Member{ID: 1, Address: "m2"}, nil},
	} {
		core := bareCore(available(2, "y"), available(3, "z"))
		core.now += time.Second
		before := core.peers
		got := core.recordContact(c.member)
		if c.want == nil {
			require.Nil(t, got, name)
			require.Equal(t, before, core.peers, name)
			core.recordStatus(c.member, Status{})
			require.Equal(t, before, core.peers, name)
			continue
		}
		require.Equal(t, c.member, got.member, name)
		require.Equal(t, core.now, got.lastSeen, name)
		require.True(t, got.contacted, name)
		var members []Member
		for _, p := range core.peers {
			members = append(members, p.member)
		}
		require.Equal(t, c.want, members, name)
	}
}

func TestAddKnownMembers_Member_IsAddedIfNew(t *testing.T) {
	for name, c := range map[string]struct {
		member Member
		want   bool
	}{
		"new":                          {memberIn(4, "w"), true},
		"known":                        {memberIn(2, "y"), false},
		"known at a new address":       {Member{ID: 2, Address: "new"}, false},
		"another disk at an address":   {Member{ID: 4, Address: "m2"}, false},
		"no disk":                      {Member{Address: "new"}, false},
		"no address":                   {Member{ID: 4}, false},
		"this member elsewhere":        {Member{ID: 1, Address: "new"}, false},
		"another disk at this address": {Member{ID: 4, Address: "m1"}, false},
	} {
		core := bareCore(available(2, "y"))
		before := len(core.peers)
		core.addKnownMembers([]Member{c.member})
		require.Equal(t, c.want, len(core.peers) > before, name)
		if c.want {
			require.False(t, core.isResponsive(*core.peer(c.member.ID)), "known only from others")
			require.NotContains(t, core.contactedMembers(), c.member)
			require.Contains(t, core.Members(), c.member)
		}
	}
}

func TestPeers_Contact_AgesAndIsForgotten(t *testing.T) {
	core := bareCore(available(2, "y"), available(3, "z"), available(4, "w"))
	core.peers[1].contacted = false
	require.Equal(t, []MemberID{1, 2, 4}, idsOf(core.contactedMembers()))
	core.peers[2].lastSeen -= time.Second
	require.True(t, core.hadContactSince(time.Minute-1))
	core.peers[0].lastSeen -= time.Second
	require.False(t, core.hadContactSince(time.Minute-1), "member 3 was seen since, but only by others")
	require.False(t, core.hadContactSince(time.Minute-time.Second))
	core.recordReply(memberIn(9, "w"))
	require.Nil(t, core.peer(9))

	core.register.View = viewOf([]Member{memberIn(2, "y")}, nil)
	core.now += core.timing.ForgetAfter
	core.peers[2].lastSeen = time.Minute
	core.forgetPeers()
	require.Equal(t, []MemberID{1, 2, 3, 4}, idsOf(core.Members()), "just so long ago; the view names 2")
	core.now += time.Millisecond
	core.recordContact(memberIn(4, "w"))
	core.forgetPeers()
	require.Equal(t, []MemberID{1, 2, 4}, idsOf(core.Members()))
}

func TestStatus_RelayAndDisk_Decide(t *testing.T) {
	for name, c := range map[string]struct {
		relay, bootstrap, stalled bool
		writable, first           bool
	}{
		"member":                 {writable: true},
		"first start":            {bootstrap: true, writable: true, first: true},
		"stalled":                {stalled: true},
		"relay":                  {relay: true},
		"relay at a first start": {relay: true, bootstrap: true},
	} {
		core := bareCore()
		core.config.Relay, core.config.Bootstrap, core.disk.stalled = c.relay, c.bootstrap, c.stalled
		require.Equal(t, Status{Writable: c.writable, Relay: c.relay, BootstrapDisk: c.first}, core.status(), name)
	}
}
