package counter_test

import (
	"testing"

	"shaletrestle/internal/mutation"
)

// TestSchedulesFindMutants shows that the search, the random schedules and the scenarios find versions that leave out a rule.
func TestSchedulesFindMutants(t *testing.T) {
	const schedules = "TestSchedules_RandomFaults"
	seeds := []string{"-counter.seeds=40"}
	const search = "TestExplore_AllInterleavings"
	depth := []string{"-counter.depth=5"}
	mutation.AllFound(t, []mutation.Mutation{
		{Name: "searched: acknowledged before it is synced", File: "add.go", From: "case c.isDurable(add.number), partitioned", To: "case true, partitioned", Run: search, Args: depth, Shows: "acknowledged by 0 on 0 disks"},
		{Name: "searched: a push is acknowledged before it is synced", File: "disk.go", From: "held, durable := c.set.Count(push.origin), c.disk.durable[push.origin]", To: "held, durable := c.set.Count(push.origin), c.set.Count(push.origin)", Run: search, Args: depth, Shows: "acknowledged by 0 on"},
		{Name: "searched: one disk is enough", File: "types.go", From: "len(members) > p.MaxFailures && len(domains) > p.MaxDomainFailures", To: "len(members) > 0 && len(domains) > 0", Run: search, Args: depth, Shows: "on 1 disks"},
		{Name: "searched: a failed write counts as synced", File: "disk.go", From: "	if err != nil {\n\t\tc.disk.retryAt", To: "	if false {\n\t\tc.disk.retryAt", Run: search, Args: depth, Shows: "acknowledged by 0 on"},
		{Name: "searched: ids are deduplicated within an origin only", File: "set.go", From: "known, isKnown := s.known[key]", To: "known, isKnown := s.known[key]\n\tif isKnown {\n\t\ts.totals[addition.Counter] += addition.Amount\n\t}", Run: search, Args: depth, Shows: "more than once"},
		{Name: "acknowledged before it is synced", File: "add.go", From: "case c.isDurable(add.number), partitioned", To: "case true, partitioned", Run: schedules, Args: seeds, Shows: "are owed"},
		{Name: "one disk is enough", File: "types.go", From: "len(members) > p.MaxFailures && len(domains) > p.MaxDomainFailures", To: "len(members) > 0 && len(domains) > 0", Run: schedules, Args: seeds},
		{Name: "a push is acknowledged before it is synced", File: "disk.go", From: "held, durable := c.set.Count(push.origin), c.disk.durable[push.origin]", To: "held, durable := c.set.Count(push.origin), c.set.Count(push.origin)", Run: schedules, Args: seeds},
		{Name: "any three silent members are a partition", File: "peers.go", From: "silent > c.config.Policy.MaxFailures", To: "silent > 0", Run: "TestAdd_MostKilled"},
		{Name: "a partition is assumed right after a start", File: "peers.go", From: "if c.now < startTimeout {", To: "if false {", Run: "TestAdd_FirstBack"},
		{Name: "totals are given after a lost disk", File: "core.go", From: "!c.complete || !c.caughtUp", To: "false", Run: "TestLostDisk_Behind"},
		{Name: "ids are deduplicated within an origin only", File: "set.go", From: "known, isKnown := s.known[key]", To: "known, isKnown := s.known[key]\n\tif isKnown {\n\t\ts.totals[addition.Counter] += addition.Amount\n\t}", Run: schedules, Args: seeds, Shows: "TWICE"},
		{Name: "the durable part of a lost disk counts on", File: "peers.go", From: "\t\tp.durable = 0\n", To: "", Run: "TestLostDisk_WhatItHad"},
		{Name: "nothing is pulled from others", File: "merge.go", From: "if c.pulling || c.now < c.pullAt || len(c.behindSince) == 0 {", To: "if true {", Run: schedules, Args: seeds},
		{Name: "rejected after it was begun", File: "add.go", From: "c.emit(Added{add.token, AddUnclear})", To: "c.emit(Added{add.token, NotAdded})", Run: schedules, Args: seeds, Shows: "TWICE"},
		{Name: "an origin is used again", File: "core.go", From: "set:         NewSet(config.Origin),", To: "set:         NewSet(Origin(config.Self.ID)),", More: []mutation.Replacement{{File: "core.go", From: "\tc.config.Stored = Stored{}\n", To: "\tc.config.Stored = Stored{}\n\tc.config.Origin = Origin(config.Self.ID)\n"}}, Run: schedules, Args: seeds},
	})
}
