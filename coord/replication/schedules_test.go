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

// TestSchedules plays random kills, wipes, cuts, full disks, losses of notes and restarts, never more at once than must be borne, among proposals. A confirmed primary must hold all that was acknowledged before it was asked.
func TestSchedules(t *testing.T) {
	for name, x := range layouts {
		for seed := range 60 {
			t.Run(fmt.Sprint(name, " ", seed), func(t *testing.T) {
				t.Parallel()
				synctest.Test(t, func(t *testing.T) { schedule(t, newCrowd(x.losses, x.zones...), rand.New(rand.NewSource(int64(seed)))) })
			})
		}
	}
}

func schedule(t *testing.T, c *crowd, r *rand.Rand) {
	defer c.end()
	run := &scheduleRun{t: t, c: c, r: r}
	for round := range 3 {
		run.play(round)
		run.settle()
	}
	require.NotEmpty(t, run.acked)
}

// scheduleRun is one schedule as it is played.
type scheduleRun struct {
	t     *testing.T
	c     *crowd
	r     *rand.Rand
	steps []scheduleStep // of the round
	busy  sync.WaitGroup

	mu    sync.Mutex
	acked []string
}

type scheduleStep struct {
	at time.Duration
	do func()
}

func (s *scheduleRun) plan(at time.Duration, do func()) {
	s.steps = append(s.steps, scheduleStep{at, do})
}

func (s *scheduleRun) span(most time.Duration) time.Duration {
	return time.Duration(s.r.Int63n(int64(most)))
}

// play plans a round and plays it.
func (s *scheduleRun) play(round int) {
	s.steps = nil
	victims := s.r.Perm(len(s.c.m))[:1+s.r.Intn(s.c.losses)]
	all := s.r.Intn(3) == 0
	lossy, seed := s.r.Intn(2) == 0, s.r.Int63()
	for _, victim := range victims {
		s.planTrouble(victim)
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

// planTrouble lets a member be killed, wiped, cut off or have a full disk for a while.
func (s *scheduleRun) planTrouble(victim int) {
	c := s.c
	from, long := s.span(2*time.Second), s.span(4*time.Second)
	switch s.r.Intn(5) {
	case 0:
		s.plan(from, func() { c.stop(victim) })
	case 1, 2:
		s.plan(from, func() { c.stop(victim); c.wipe(victim) })
	case 3:
		oneWay := s.r.Intn(2) == 0
		s.plan(from, func() { s.cutOff(victim, oneWay) })
	case 4:
		s.plan(from, func() { c.st[victim].full.Store(true) })
	}
	s.plan(from+long, func() {
		c.st[victim].full.Store(false)
		if c.ctx[victim].Err() != nil {
			c.start(victim)
		}
	})
}

func (s *scheduleRun) cutOff(victim int, oneWay bool) {
	h := s.c.h
	h.mu.Lock()
	defer h.mu.Unlock()
	for i := range s.c.m {
		h.cut[[2]string{fmt.Sprint("m", victim), fmt.Sprint("m", i)}] = true
		h.cut[[2]string{fmt.Sprint("m", i), fmt.Sprint("m", victim)}] = !oneWay
	}
}

// planPowerLoss stops all members at once and starts them one by one.
func (s *scheduleRun) planPowerLoss() {
	c := s.c
	from := s.span(3 * time.Second)
	s.plan(from, func() {
		for i := range c.m {
			if c.ctx[i].Err() == nil {
				c.stop(i)
			}
		}
	})
	for i := range c.m {
		s.plan(from+s.span(time.Second), func() {
			if c.ctx[i].Err() != nil {
				c.start(i)
			}
		})
	}
}

// planCalls proposes to whoever is primary, and reads everywhere, again and again.
func (s *scheduleRun) planCalls(round int) {
	for at := time.Duration(0); at < 6*time.Second; at += 30*time.Millisecond + s.span(150*time.Millisecond) {
		name := fmt.Sprint(round, "-", at.Milliseconds())
		s.plan(at, func() { s.propose(name) })
		s.plan(at, func() {
			for i := range s.c.m {
				m, l, f := s.c.m[i], s.c.l[i], s.c.lf[i]
				s.busy.Go(func() { s.judge(m, l, f) })
			}
		})
	}
}

func (s *scheduleRun) propose(name string) {
	for i, m := range s.c.m {
		f := s.c.lf[i]
		if _, on := m.PrimaryEpoch(); !on || f.dead.Load() {
			continue
		}
		s.busy.Go(func() {
			err := m.Propose(time.Now().Add(patience), func() ([]byte, error) { return []byte(name), nil })
			if err != nil || f.dead.Load() {
				return
			}
			s.mu.Lock()
			s.acked = append(s.acked, name)
			s.mu.Unlock()
		})
	}
}

// judge reads a member. If it is confirmed to be current, all that was acknowledged before must be in its text.
func (s *scheduleRun) judge(m *Member, l *lines, f *life) (current bool) {
	s.mu.Lock()
	n := len(s.acked)
	s.mu.Unlock()
	if f.dead.Load() {
		return false
	}
	var text string
	if m.Read(time.Now().Add(patience), func() { text = string(l.Snapshot()) }) != nil {
		return false
	}
	require.Empty(s.t, s.missing(text, n), "acknowledged, and not read")
	return true
}

// missing is the first of the first n acknowledged ones that a text doesn't have in their order.
func (s *scheduleRun) missing(text string, n int) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, e := range s.acked[:n] {
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
	s.c.h.setDrop(func(string, core.Message) bool {
		mu.Lock()
		defer mu.Unlock()
		return r.Intn(25) == 0
	})
}

// settle ends all trouble, and requires that the members serve as they should.
func (s *scheduleRun) settle() {
	c := s.c
	for i := range c.m {
		if c.ctx[i].Err() != nil {
			c.start(i)
		}
	}
	c.h.mu.Lock()
	clear(c.h.cut)
	c.h.mu.Unlock()
	c.h.setDrop(nil)
	s.busy.Wait()
	time.Sleep(7 * time.Second) // they count as lost no more
	p := c.primary()
	require.GreaterOrEqual(s.t, p, 0, "nobody is primary")
	require.True(s.t, s.judge(c.m[p], c.l[p], c.lf[p]))
	require.Len(s.t, c.m[p].View().Replicas(), c.losses+1)
	require.Len(s.t, c.m[p].View().Witnesses, 2*c.losses+1)
}
