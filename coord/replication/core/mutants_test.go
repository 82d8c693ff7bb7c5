package core

import (
	"testing"

	"shaletrestle/internal/mutation"
)

// detector is a run of tests that finds a mutant.
type detector struct {
	name  string
	in    string   // package, relative to this one; empty: this one
	tests string   // as for go test -run
	args  []string // of the test binary
	shows string   // what the failing tests print
}

// bySearch runs one named search; shows is a part of what its monitors say.
func bySearch(name, shows string) detector {
	return detector{name: "search " + name, tests: "^TestExplore_NamedSearch$", args: []string{"-explore.search=" + name}, shows: shows}
}

// byTest runs one test of this package; shows is a part of what it prints.
func byTest(name, shows string) detector {
	return detector{name: name, tests: "^" + name + "$", shows: shows}
}

// mutantSchedules is within how many random schedules a mutant has to be found.
const mutantSchedules = "-plan.seeds=300"

func bySchedules(test string) detector {
	return detector{name: test, in: "simulation", tests: "^" + test + "$", args: []string{mutantSchedules}, shows: "schedule "}
}

var (
	byMonitors  = bySchedules("TestMonitors_BeyondTolerance_SeeNoViolation")
	byHistories = bySchedules("TestHistories_PrimariesThawed_AreLinearizable")
	byRepeats   = bySchedules("TestVotes_MessagesRepeatedAtOnce_CountOnce")
	byKills     = bySchedules("TestBallot_PrimaryKilledWhileOffering_IsNotReused")
)

// mutant is a wrong version of the core and all that has to find it, each by itself.
type mutant struct {
	name  string
	edits []mutation.Replacement
	found []detector
}

// plantedFaults each leave out one rule of the protocol.
var plantedFaults = []mutant{
	{
		name: "acknowledged before it is synced",
		edits: []mutation.Replacement{
			{File: "register.go", From: "c.repliesAwaitingRegister = append(c.repliesAwaitingRegister, reply)", To: "c.send(reply)"},
			{File: "write.go", From: "w.carried || !w.synced {", To: "w.carried {"},
			{File: "append.go", From: "reply.DiskPosition = m.Entry.Position()\n", To: "reply.DiskPosition = m.Entry.Position()\n\tc.send(reply)\n"},
		},
		found: []detector{bySearch("crash, write", "on disk"), byMonitors, byHistories},
	},
	{
		name:  "a witness replies before its register is synced",
		edits: []mutation.Replacement{{File: "register.go", From: "c.repliesAwaitingRegister = append(c.repliesAwaitingRegister, reply)", To: "c.send(reply)"}},
		found: []detector{bySearch("crash, write", "no majority of the witnesses has accepted it"), byMonitors},
	},
	{
		name:  "a primary commits before its own entry is synced",
		edits: []mutation.Replacement{{File: "write.go", From: "w.carried || !w.synced {", To: "w.carried {"}},
		found: []detector{byMonitors},
	},
	{
		name:  "a backup acknowledges before its entry is synced",
		edits: []mutation.Replacement{{File: "append.go", From: "reply.DiskPosition = m.Entry.Position()\n", To: "reply.DiskPosition = m.Entry.Position()\n\tc.send(reply)\n"}},
		found: []detector{bySearch("crash, write", "is a replica of"), byMonitors},
	},
	{
		name: "result before the backups have the entry",
		edits: []mutation.Replacement{{
			File: "command.go", From: "c.appendEntry(diskJob{kind: ownAppendJob, entry: entry})\n\tc.sendAppends()\n",
			To: "c.appendEntry(diskJob{kind: ownAppendJob, entry: entry})\n\tc.sendAppends()\n\tc.sendResult(command.Token, Committed, nil)\n\tc.write.resultSent = true\n",
		}},
		found: []detector{bySearch("crash, write", "is a replica of"), byMonitors},
	},
	{
		name: "one witness is a majority",
		edits: []mutation.Replacement{
			{File: "votes.go", From: "len(c.change.granted) >= c.change.quorum()", To: "len(c.change.granted) >= 1"},
			{File: "confirm.go", From: "len(f.granted) < majority(len(view.Witnesses))", To: "len(f.granted) < 1"},
		},
		found: []detector{bySearch("cut, read", "majority"), byMonitors, byHistories},
	},
	{
		name:  "one witness chooses a view",
		edits: []mutation.Replacement{{File: "votes.go", From: "len(c.change.granted) >= c.change.quorum()", To: "len(c.change.granted) >= 1"}},
		found: []detector{bySearch("cut, read", "no majority of the witnesses has accepted it"), byMonitors},
	},
	{
		name:  "one witness confirms",
		edits: []mutation.Replacement{{File: "confirm.go", From: "len(f.granted) < majority(len(view.Witnesses))", To: "len(f.granted) < 1"}},
		found: []detector{bySearch("cut, read", "without a majority"), byMonitors, byHistories},
	},
	{
		name:  "a witness forgets its promise",
		edits: []mutation.Replacement{{File: "register.go", From: "if ballot < c.register.Promised {", To: "if false {"}},
		found: []detector{bySearch("mute, write, deep", "after it promised"), byMonitors},
	},
	{
		name: "rejected and unchanged commands ask no witness",
		edits: []mutation.Replacement{
			{File: "command.go", From: "c.finishAfterRound(pendingCall{token: command.Token, deadline: command.Deadline, outcome: Rejected, err: err})", To: "c.sendResult(command.Token, Rejected, err)"},
			{File: "command.go", From: "c.finishAfterRound(pendingCall{token: command.Token, deadline: command.Deadline, outcome: NoChange})", To: "c.sendResult(command.Token, NoChange, nil)"},
		},
		found: []detector{bySearch("freeze, check", "without a majority"), byMonitors, byHistories},
	},
	{
		name:  "reads ask no witness",
		edits: []mutation.Replacement{{File: "confirm.go", From: "c.finishAfterRound(pendingCall{token: read.Token, deadline: read.Deadline, outcome: Current})", To: "c.sendResult(read.Token, Current, nil)"}},
		found: []detector{bySearch("freeze, read", "without a majority"), byMonitors, byHistories},
	},
	{
		name: "a replica that proposes goes on taking appends",
		edits: []mutation.Replacement{
			{File: "view_change.go", From: "\tc.state.joined = StateTag{}\n", To: ""},
			{File: "receive_state.go", From: "\tc.state.joined = StateTag{}\n\tc.lastPrimaryContact = c.now\n", To: "\tc.lastPrimaryContact = c.now\n"},
		},
		found: []detector{bySearch("freeze, write, deep", "is a replica of"), byMonitors},
	},
	{
		name:  "an earlier proposal is not finished first",
		edits: []mutation.Replacement{{File: "proposal.go", From: "if change.earlierProposal != nil {", To: "if false {"}},
		found: []detector{bySearch("crash, read, lost", "two views of epoch"), byMonitors},
	},
	{
		name: "a repeated transfer overwrites what was appended since",
		edits: []mutation.Replacement{
			{File: "receive_state.go", From: "sameTag := m.Tag == c.state.tag\n", To: "sameTag := false\n"},
			{File: "receive_state.go", From: "m.Tag.Epoch == 0 || m.Tag.Epoch <= c.knownEpoch()", To: "m.Tag.Epoch == 0"},
		},
		found: []detector{bySearch("lost disk, write, deep", "is a replica of"), byMonitors},
	},
	{
		name:  "a ballot is used before it is synced",
		edits: []mutation.Replacement{{File: "proposal.go", From: "\tc.register.Promised = change.ballot\n\tc.registerDirty = true\n", To: "\tchange.ballotSynced = true\n"}},
		found: []detector{byTest("TestBallot_Restarted_IsNotReused", "incarnations that used ballot"), byKills},
	},
	{
		name:  "a witness whose reply comes twice has two votes",
		edits: []mutation.Replacement{{File: "votes.go", From: " && !slices.Contains(v.granted, id) {", To: " {"}},
		found: []detector{bySearch("crash, no call, slow disk, repeat", "no majority of the witnesses has accepted it"), byRepeats},
	},
	{
		name:  "a confirmation of an earlier incarnation's view counts",
		edits: []mutation.Replacement{{File: "confirm.go", From: " || view.Tag() != (StateTag{Epoch: m.Epoch, Ballot: m.Ballot}) {", To: " {"}},
		found: []detector{bySearch("crash, two reads, late", "without a majority")},
	},
	{
		name:  "a command starts before a required round has ended",
		edits: []mutation.Replacement{{File: "command.go", From: "!c.confirm.required && ", To: ""}},
		found: []detector{byTest("TestCommand_PrimaryWakesSuperseded_IsNotStarted", "expected: 0x6")},
	},
	{
		name:  "received state need not lead to its position",
		edits: []mutation.Replacement{{File: "receive_state.go", From: "if endOf(received.snapshot.Position, received.entries) != in.target {", To: "if false {"}},
		found: []detector{byTest("TestTransfer_StreamEndsElsewhere_IsRejected", "expected: 0xd")},
	},
}

// TestMutants_Core_AreFound shows that the search, the direct tests and the random schedules see when a rule of the protocol is missing.
func TestMutants_Core_AreFound(t *testing.T) {
	var mutations []mutation.Mutation
	for _, wrong := range plantedFaults {
		for _, by := range wrong.found {
			first := wrong.edits[0]
			mutations = append(mutations, mutation.Mutation{
				Name: wrong.name + "/" + by.name, File: first.File, From: first.From, To: first.To, More: wrong.edits[1:],
				Package: by.in, Run: by.tests, Args: by.args, Shows: by.shows,
			})
		}
	}
	mutation.AllFound(t, mutations)
}

// TestConditions_Core_Survey takes single conditions out of the core; docs/model-checking.md holds what it logged.
func TestConditions_Core_Survey(t *testing.T) {
	mutation.Survey(t, []mutation.Stage{
		{Name: "direct tests", Args: []string{"-test.skip=TestExplore|TestMutants|TestConditions"}},
		{Name: "schedules", Package: "simulation", Args: []string{"-schedules=100"}},
		{Name: "search", Args: []string{"-test.run=^TestExplore$"}},
	})
}
