package simulation

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

// summary adds up what many schedules did.
type summary struct {
	runs       int
	calls      int
	definite   int
	commits    int
	epochs     int
	repairs    int
	recoveries []time.Duration
	longest    time.Duration
	faults     [faultKinds]int
	failed     []failure
}

type failure struct {
	schedule schedule
	outcome  outcome
}

func newSummary() *summary { return &summary{} }

func (s *summary) add(played schedule, found outcome) {
	c := found.cluster
	s.runs++
	s.calls += len(c.calls)
	for _, made := range c.calls {
		if made.definite {
			s.definite++
		}
	}
	s.commits += c.liveness.committed
	s.epochs += int(c.monitor.newest)
	s.repairs += c.liveness.repairsSeen
	s.recoveries = append(s.recoveries, c.liveness.recoveries...)
	s.longest = max(s.longest, c.liveness.longest)
	for kind, count := range c.faultsDone {
		s.faults[kind] += count
	}
	if found.violation != "" {
		s.failed = append(s.failed, failure{played, outcome{violation: found.violation, plan: found.plan}})
	}
}

func (s *summary) seeds() string {
	slices.SortFunc(s.failed, func(a, b failure) int { return int(a.schedule.Seed) - int(b.schedule.Seed) })
	var lines []string
	for _, f := range s.failed {
		lines = append(lines, fmt.Sprintf("\n%d: %s", f.schedule.Seed, f.outcome.violation))
	}
	return strings.Join(lines, "")
}

// String is the summary in words.
func (s *summary) String() string {
	slices.Sort(s.recoveries)
	var faults []string
	for kind, count := range s.faults {
		faults = append(faults, fmt.Sprintf("%v %d", faultKind(kind), count))
	}
	return fmt.Sprintf("%d schedules, %d failed; %d calls, %d with a definite result, %d entries committed, %d views, %d times complete again; served again after a fault: median %v, 99 in 100 %v, longest %v; longest calm gap %v; faults: %s",
		s.runs, len(s.failed), s.calls, s.definite, s.commits, s.epochs, s.repairs, s.part(0.5), s.part(0.99), s.part(1), s.longest, strings.Join(faults, ", "))
}

// part is the recovery time that a share of all stays within.
func (s *summary) part(share float64) time.Duration {
	if len(s.recoveries) == 0 {
		return 0
	}
	return s.recoveries[min(len(s.recoveries)-1, int(share*float64(len(s.recoveries))))].Round(time.Millisecond)
}
