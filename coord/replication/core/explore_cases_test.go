package core

import (
	"flag"
	"fmt"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

var (
	exploreDepth  = flag.Int("explore.depth", 0, "deviations from the default schedule that the exhaustive search allows; 0: as bounded for CI")
	exploreSearch = flag.String("explore.search", "", "name of the one search that TestExplore_NamedSearch runs")
)

var faultNames = map[faultKind]string{
	crashFault: "crash", wipeFault: "lost disk", cutFault: "cut", muteFault: "one-way cut", freezeFault: "freeze", powerFault: "power",
}

var callNames = map[callKind]string{writeCall: "write", checkCall: "check", readCall: "read"}

// searchCase is one search: the fault that may come, the second call, and the bounds.
type searchCase struct {
	fault  faultKind
	second callKind
	left   budgets
	start  bool // from the first start on
	reads  bool // the first call reads, too
	idle   bool // no call is made: only views change
}

func (s searchCase) String() string {
	if s.start {
		return fmt.Sprintf("first start, %s, %+v", faultNames[s.fault], s.left)
	}
	if s.idle {
		return fmt.Sprintf("%s, no call, %+v", faultNames[s.fault], s.left)
	}
	if s.reads {
		return fmt.Sprintf("%s, read and %s, %+v", faultNames[s.fault], callNames[s.second], s.left)
	}
	return fmt.Sprintf("%s, %s, %+v", faultNames[s.fault], callNames[s.second], s.left)
}

// first is the call that has just begun when the search begins.
func (s searchCase) first() callKind {
	if s.reads {
		return readCall
	}
	return writeCall
}

func (s searchCase) run() *search {
	rules := &modelRules{calls: []callKind{s.first(), s.second}, faults: []faultKind{s.fault}, starting: s.start}
	if s.idle {
		rules.calls = nil
	}
	return explore(rules, s.left)
}

// all allows one of each disturbance, one fault, and five steps of time.
func all(deviations int) budgets {
	return budgets{Deviations: deviations, Faults: 1, Lost: 1, Repeated: 1, Late: 1, Early: 1, Time: 5}
}

// searchesInCI are one deviation of any kind for all faults and calls, a lost message with each fault, a repeated or late one with some, and a slow disk with a repeated message.
func searchesInCI() []searchCase {
	var cases []searchCase
	seconds := map[faultKind]callKind{crashFault: writeCall, wipeFault: readCall, cutFault: checkCall, muteFault: readCall, freezeFault: checkCall}
	for _, fault := range []faultKind{crashFault, wipeFault, cutFault, muteFault, freezeFault} {
		for _, call := range []callKind{writeCall, checkCall, readCall} {
			cases = append(cases, searchCase{fault: fault, second: call, left: all(1)})
		}
		cases = append(cases, searchCase{fault: fault, second: seconds[fault], left: budgets{Deviations: 2, Faults: 1, Lost: 1, Time: 4}})
	}
	repeated := budgets{Deviations: 2, Faults: 1, Repeated: 1, Time: 3}
	late := budgets{Deviations: 2, Faults: 1, Late: 1, Time: 3}
	return append(cases,
		searchCase{fault: wipeFault, second: readCall, left: repeated},
		searchCase{fault: muteFault, second: readCall, left: repeated},
		searchCase{fault: freezeFault, second: checkCall, left: late},
		searchCase{fault: muteFault, second: readCall, left: late},
		searchCase{fault: powerFault, second: writeCall, left: budgets{Deviations: 1, Faults: 1, Time: 4}},
		searchCase{fault: wipeFault, second: writeCall, start: true, left: all(1)},
		searchCase{fault: crashFault, second: writeCall, start: true, left: budgets{Deviations: 1, Faults: 1, Time: 5}},
		namedSearches["crash, no call, slow disk, repeat"],
		namedSearches["crash, two reads, late"])
}

// searchesByFlag are all faults and calls with that many deviations of any kind.
func searchesByFlag(deviations int) []searchCase {
	var cases []searchCase
	for _, fault := range []faultKind{crashFault, wipeFault, cutFault, muteFault, freezeFault, powerFault} {
		for _, second := range []callKind{writeCall, checkCall, readCall} {
			left := all(deviations)
			if fault == powerFault {
				left.Time = 4 // three members start in any order: there are far more states
				left.Early = 0
			}
			cases = append(cases, searchCase{fault: fault, second: second, left: left})
		}
	}
	for _, fault := range []faultKind{crashFault, wipeFault} {
		left := budgets{Deviations: deviations, Faults: 1, Lost: 1, Time: 5}
		cases = append(cases, searchCase{fault: fault, second: writeCall, start: true, left: left})
	}
	return cases
}

// searchers bounds the searches at a time.
var searchers = make(chan struct{}, 3)

func searchInTurn(c searchCase) *search {
	searchers <- struct{}{}
	defer func() { <-searchers }()
	return c.run()
}

// TestExplore visits all that the bounds allow. The invariants are those of the monitors.
func TestExplore(t *testing.T) {
	cases := searchesInCI()
	if *exploreDepth > 0 {
		cases = searchesByFlag(*exploreDepth)
	}
	for _, c := range cases {
		t.Run(c.String(), func(t *testing.T) {
			t.Parallel()
			s := searchInTurn(c)
			t.Logf("%v: %d states, %d steps, depth %d", c, len(s.seen), s.steps, s.deepest)
			require.Empty(t, s.failure, strings.Join(s.failedVia, "\n"))
		})
	}
}

// namedSearches are those that find planted faults, beyond the bounds of CI where a fault needs it.
var namedSearches = map[string]searchCase{
	"crash, no call, slow disk, repeat": {fault: crashFault, idle: true, left: budgets{Deviations: 3, Faults: 1, Repeated: 1, SlowDisk: 1, Time: 3}},
	"crash, two reads, late":            {fault: crashFault, reads: true, second: readCall, left: budgets{Deviations: 2, Faults: 1, Late: 1, Time: 1}},
	"crash, write":                      {fault: crashFault, second: writeCall, left: all(1)},
	"cut, read":                         {fault: cutFault, second: readCall, left: all(1)},
	"mute, write, deep":                 {fault: muteFault, second: writeCall, left: all(2)},
	"freeze, check":                     {fault: freezeFault, second: checkCall, left: all(1)},
	"freeze, read":                      {fault: freezeFault, second: readCall, left: all(1)},
	"freeze, write, deep":               {fault: freezeFault, second: writeCall, left: budgets{Deviations: 3, Faults: 1, Lost: 1, Late: 1, Time: 4}},
	"crash, read, lost":                 {fault: crashFault, second: readCall, left: budgets{Deviations: 2, Faults: 1, Lost: 1, Time: 4}},
	"lost disk, write, deep":            {fault: wipeFault, second: writeCall, left: all(2)},
}

// TestExplore_NamedSearch runs the one search that a flag names; mutants are run against it.
func TestExplore_NamedSearch(t *testing.T) {
	if *exploreSearch == "" {
		t.Skip("with -explore.search only")
	}
	c, known := namedSearches[*exploreSearch]
	require.True(t, known, "no search is named %q", *exploreSearch)
	s := c.run()
	t.Logf("%v: %d states, depth %d", c, len(s.seen), max(s.deepest, len(s.failedVia)))
	require.Empty(t, s.failure, strings.Join(s.failedVia, "\n"))
}
