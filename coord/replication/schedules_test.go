package replication

import (
	"fmt"
	"math/rand"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"shaletrestle/coord/replication/core"
)

const (
	roundTime       = 6 * time.Second // in which calls are made; all faults begin in it, and all but partitions end in it
	healTime        = 7 * time.Second // after the faults, until no member counts as lost any more
	messagesPerLoss = 25              // one of so many messages is lost in a lossy round
)

// TestMember_RandomFaults_KeepsWhatWasAcknowledged plays random kills, wipes, partitions, full disks, losses of messages and restarts, never more at once than must be tolerated, among proposals. A confirmed primary must have all that was acknowledged before it was asked.
func TestMember_RandomFaults_KeepsWhatWasAcknowledged(t *testing.T) {
	for name, layout := range layouts {
		for seed := range 60 {
			t.Run(fmt.Sprint(name, " ", seed), func(t *testing.T) {
				t.Parallel()
				synctest.Test(t, func(t *testing.T) {
					schedule(t, newCluster(layout.maxFailures, layout.zones...), rand.New(rand.NewSource(int64(seed))))
				})
			})
		}
	}
}

func schedule(t *testing.T, c *cluster, r *rand.Rand) {
	defer c.end()
	run := &scheduleRun{t: t, cluster: c, random: r}
	for round := range 3 {
		run.play(round)
		run.heal()
	}
	require.NotEmpty(t, run.acknowledged)
}

// scheduleRun is one schedule as it is played.
type scheduleRun struct {
	t       *testing.T
	cluster *cluster
	random  *rand.Rand
	steps   []scheduleStep // of the round
	busy    sync.WaitGroup

	mu           sync.Mutex
	acknowledged []string
}

type scheduleStep struct {
	at time.Duration
	do func()
}

func (s *scheduleRun) plan(at time.Duration, do func()) {
	s.steps = append(s.steps, scheduleStep{at, do})
}

func (s *scheduleRun) randomDuration(limit time.Duration) time.Duration {
	return time.Duration(s.random.Int63n(int64(limit)))
}

// play plans a round and plays it.
func (s *scheduleRun) play(round int) {
	s.steps = nil
	victims := s.random.Perm(len(s.cluster.members))[:1+s.random.Intn(s.cluster.maxFailures)]
	all := s.random.Intn(3) == 0
	lossy, seed := s.random.Intn(2) == 0, s.random.Int63()
	for _, victim := range victims {
		s.planFault(victim)
	}
	if all {
		s.planPowerLoss()
	}
	s.planCalls(round)
	if lossy {
		s.loseMessages(seed)
	}
	slices.SortStableFunc(s.steps, func(a, b scheduleStep) int { return int(a.at - b.at) })
	began := time.Now()
	for _, step := range s.steps {
		time.Sleep(step.at - time.Since(began))
		step.do()
	}
}

// planFault lets a member be killed, wiped or have a full disk for a while, or cuts it off until the end of the round.
func (s *scheduleRun) planFault(victim int) {
	c := s.cluster
	from, long := s.randomDuration(2*time.Second), s.randomDuration(4*time.Second)
	switch s.random.Intn(5) {
	case 0:
		s.plan(from, func() { c.stop(victim) })
	case 1, 2:
		s.plan(from, func() { c.stop(victim); c.wipe(victim) })
	case 3:
		oneWay := s.random.Intn(2) == 0
		s.plan(from, func() { s.cutOff(victim, oneWay) })
	case 4:
		s.plan(from, func() { c.stores[victim].full.Store(true) })
	}
	s.plan(from+long, func() {
		c.stores[victim].full.Store(false)
		if c.contexts[victim].Err() != nil {
			c.start(victim)
		}
	})
}

func (s *scheduleRun) cutOff(victim int, oneWay bool) {
	h := s.cluster.network
	h.mu.Lock()
	defer h.mu.Unlock()
	for i := range s.cluster.members {
		h.partitioned[route{fmt.Sprint("m", victim), fmt.Sprint("m", i)}] = true
		h.partitioned[route{fmt.Sprint("m", i), fmt.Sprint("m", victim)}] = !oneWay
	}
}

// planPowerLoss stops all members at once and starts them one by one.
func (s *scheduleRun) planPowerLoss() {
	c := s.cluster
	from := s.randomDuration(3 * time.Second)
	s.plan(from, func() {
		for i := range c.members {
			if c.contexts[i].Err() == nil {
				c.stop(i)
			}
		}
	})
	for i := range c.members {
		s.plan(from+s.randomDuration(time.Second), func() {
			if c.contexts[i].Err() != nil {
				c.start(i)
			}
		})
	}
}

// planCalls proposes to whoever is primary, and reads everywhere, again and again.
func (s *scheduleRun) planCalls(round int) {
	for at := time.Duration(0); at < roundTime; at += 30*time.Millisecond + s.randomDuration(150*time.Millisecond) {
		name := fmt.Sprint(round, "-", at.Milliseconds())
		s.plan(at, func() { s.propose(name) })
		s.plan(at, func() {
			for i := range s.cluster.members {
				m, machine, own := s.cluster.members[i], s.cluster.machines[i], s.cluster.incarnations[i]
				s.busy.Go(func() { s.checkRead(m, machine, own) })
			}
		})
	}
}

func (s *scheduleRun) propose(name string) {
	for i, m := range s.cluster.members {
		own := s.cluster.incarnations[i]
		if _, on := m.PrimaryEpoch(); !on || own.stopped.Load() {
			continue
		}
		s.busy.Go(func() {
			err := m.Propose(time.Now().Add(callTimeout), func() ([]byte, error) { return []byte(name), nil })
			if err != nil || own.stopped.Load() {
				return
			}
			s.mu.Lock()
			s.acknowledged = append(s.acknowledged, name)
			s.mu.Unlock()
		})
	}
}

// checkRead reads a member. If it is confirmed to be current, all that was acknowledged before must be in its text.
func (s *scheduleRun) checkRead(m *Member, machine *textMachine, own *incarnation) (current bool) {
	s.mu.Lock()
	n := len(s.acknowledged)
	s.mu.Unlock()
	if own.stopped.Load() {
		return false
	}
	var text string
	if m.Read(time.Now().Add(callTimeout), func() { text = string(machine.Snapshot()) }) != nil {
		return false
	}
	require.Empty(s.t, s.missing(text, n), "an acknowledged entry is missing in the state that was confirmed to be current")
	return true
}

// missing is the first of the first n acknowledged entries that a text doesn't have in their order; empty: it has all.
func (s *scheduleRun) missing(text string, n int) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, e := range s.acknowledged[:n] {
		i := strings.Index(text, e+";")
		if i < 0 {
			return e
		}
		text = text[i:]
	}
	return ""
}

func (s *scheduleRun) loseMessages(seed int64) {
	var mu sync.Mutex
	r := rand.New(rand.NewSource(seed))
	s.cluster.network.setDrop(func(string, core.Message) bool {
		mu.Lock()
		defer mu.Unlock()
		return r.Intn(messagesPerLoss) == 0
	})
}

// heal repairs all faults, and requires that the members serve as they should.
func (s *scheduleRun) heal() {
	c := s.cluster
	for i := range c.members {
		if c.contexts[i].Err() != nil {
			c.start(i)
		}
	}
	c.network.mu.Lock()
	clear(c.network.partitioned)
	c.network.mu.Unlock()
	c.network.setDrop(nil)
	s.busy.Wait()
	time.Sleep(healTime)
	primary := c.primary()
	require.GreaterOrEqual(s.t, primary, 0, "nobody is primary")
	require.True(s.t, s.checkRead(c.members[primary], c.machines[primary], c.incarnations[primary]))
	require.Len(s.t, c.members[primary].View().Replicas(), c.maxFailures+1)
	require.Len(s.t, c.members[primary].View().Witnesses, 2*c.maxFailures+1)
}
