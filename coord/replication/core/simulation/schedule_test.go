package simulation

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"runtime/debug"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

var (
	schedules = flag.Int("schedules", 1000, "number of schedules of each profile")
	firstSeed = flag.Uint64("seed", 1, "the first seed")
	showAll   = flag.Bool("messages", false, "messages stand in the trace, too")
	traceFile = flag.String("trace", "", "file for the complete trace of the first failing schedule")
)

// schedule is one run: a cluster, what befalls it, and what its clients do follow from the seed.
type schedule struct {
	Seed     uint64
	Profile  profile
	Plan     plan      // nil: the seed's
	Settings *settings // nil: the seed's
	Blind    bool      // only the clients' history is checked
}

// outcome is what a run found.
type outcome struct {
	violation string
	cluster   *cluster
	plan      plan
}

// run plays a schedule.
func (s schedule) run(traced bool) outcome {
	random := rand.New(rand.NewPCG(s.Seed, 1+uint64(s.Profile)))
	drawn := newSettings(s.Profile, random)
	if s.Settings != nil {
		drawn = *s.Settings
	}
	made := newPlan(drawn, s.Profile, random)
	if s.Plan != nil {
		made = s.Plan
	}
	c := newCluster(drawn, s.Profile, s.Seed)
	c.tracing = traced
	c.monitor.blind = s.Blind
	c.trace("settings %+v", drawn)
	for _, h := range c.hosts {
		c.after(c.between(0, 300*time.Millisecond), h.startFirst)
	}
	c.startClients()
	c.schedulePlan(made)
	c.after(c.settings.SyncTime, c.liveness.watch)
	c.runUntil(drawn.Horizon)
	c.settleDown()
	if c.monitor.violation == "" {
		c.monitor.blind = false
		c.checkLinearizable()
	}
	return outcome{violation: c.monitor.violation, cluster: c, plan: made}
}

// startFirst is a machine's first start: all get the same seeds.
func (h *host) startFirst() { h.startWith(h.cluster.seeds) }

// settleDown lets all faults end, and checks what must hold then.
func (c *cluster) settleDown() {
	for range 60 {
		if c.monitor.violation != "" || len(c.lostSlots()) == 0 {
			break
		}
		c.runUntil(c.now + 500*time.Millisecond)
	}
	c.runUntil(c.now + 3*time.Second)
	c.liveness.checkServes()
	c.stopped = true
	c.runUntil(c.now + 1500*time.Millisecond)
	if c.profile == tolerated && c.monitor.violation == "" {
		c.liveness.checkCaughtUp()
	}
}

// report describes a failing schedule: seed, the plan cut down to what it takes, and the end of the trace.
func (s schedule) report(found outcome) string {
	s, found = s.shrink(found)
	again := s.run(true)
	lines := again.cluster.lines
	if *traceFile != "" {
		_ = os.WriteFile(*traceFile, []byte(strings.Join(lines, "\n")+"\n"), 0o644)
	}
	last := lines[max(0, len(lines)-60):]
	return fmt.Sprintf("seed %d, profile %v: %s\n%+v\n%v\n%s", s.Seed, s.Profile, found.violation, again.cluster.settings, s.Plan, strings.Join(last, "\n"))
}

// workers is how many schedules run at once.
const workers = 4

// runMany plays many seeds, some at once, and gives the first failing ones.
func runMany(profile profile, first uint64, count int, each func(schedule, outcome)) {
	var next atomic.Uint64
	var mutex sync.Mutex
	var group sync.WaitGroup
	for range workers {
		group.Go(func() {
			for {
				i := next.Add(1) - 1
				if i >= uint64(count) {
					return
				}
				s := schedule{Seed: first + i, Profile: profile}
				found := s.run(false)
				mutex.Lock()
				each(s, found)
				mutex.Unlock()
			}
		})
	}
	group.Wait()
}

// TestMain lets the heap grow: the runs make much garbage and keep little.
func TestMain(m *testing.M) {
	debug.SetGCPercent(1000)
	os.Exit(m.Run())
}

func TestSchedules(t *testing.T) {
	for _, p := range []profile{tolerated, beyond} {
		t.Run(p.String(), func(t *testing.T) {
			sum := newSummary()
			runMany(p, *firstSeed, *schedules, sum.add)
			t.Log(sum)
			for _, failed := range sum.failed[:min(3, len(sum.failed))] {
				t.Error(failed.schedule.report(failed.outcome))
			}
			if len(sum.failed) > 3 {
				t.Errorf("%d more schedules fail: %v", len(sum.failed)-3, sum.seeds())
			}
		})
	}
}
