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
	var mu sync.Mutex
	var acked []string
	missing := func(text string, n int) string {
		mu.Lock()
		defer mu.Unlock()
		for _, e := range acked[:n] {
			i := strings.Index(text, e+";")
			if i < 0 {
				return e
			}
			text = text[i:] // in the order in which they were acknowledged
		}
		return ""
	}
	judge := func(m *Member, l *lines, f *life) bool {
		mu.Lock()
		n := len(acked)
		mu.Unlock()
		if f.dead.Load() {
			return false
		}
		var text string
		if m.Read(time.Now().Add(patience), func() { text = string(l.Checkpoint()) }) != nil {
			return false
		}
		require.Empty(t, missing(text, n), "acknowledged, and not read")
		return true
	}
	var busy sync.WaitGroup
	span := func(most time.Duration) time.Duration { return time.Duration(r.Int63n(int64(most))) }
	for round := range 3 {
		victims := r.Perm(len(c.m))[:1+r.Intn(c.losses)]
		all := r.Intn(3) == 0
		lossy, seed := r.Intn(2) == 0, r.Int63()
		type act struct {
			at time.Duration
			do func()
		}
		var acts []act
		plan := func(at time.Duration, f func()) { acts = append(acts, act{at, f}) }
		for _, v := range victims {
			from, long := span(2*time.Second), span(4*time.Second)
			switch r.Intn(5) {
			case 0:
				plan(from, func() { c.stop(v) })
			case 1, 2:
				plan(from, func() { c.stop(v); c.wipe(v) })
			case 3:
				one := r.Intn(2) == 0
				plan(from, func() {
					c.h.mu.Lock()
					for i := range c.m {
						c.h.cut[[2]string{fmt.Sprint("m", v), fmt.Sprint("m", i)}] = true
						c.h.cut[[2]string{fmt.Sprint("m", i), fmt.Sprint("m", v)}] = !one
					}
					c.h.mu.Unlock()
				})
			case 4:
				plan(from, func() { c.st[v].full.Store(true) })
			}
			plan(from+long, func() {
				c.st[v].full.Store(false)
				if c.sc[v].Ended() {
					c.start(v)
				}
			})
		}
		if all {
			from := span(3 * time.Second)
			plan(from, func() {
				for i := range c.m {
					if !c.sc[i].Ended() {
						c.stop(i)
					}
				}
			})
			for i := range c.m {
				plan(from+span(time.Second), func() {
					if c.sc[i].Ended() {
						c.start(i)
					}
				})
			}
		}
		for at := time.Duration(0); at < 6*time.Second; at += 30*time.Millisecond + span(150*time.Millisecond) {
			name := fmt.Sprint(round, "-", at.Milliseconds())
			plan(at, func() {
				for i, m := range c.m {
					f := c.lf[i]
					if _, on := m.Active(); on && !f.dead.Load() {
						busy.Add(1)
						go func() {
							defer busy.Done()
							if m.Propose(time.Now().Add(patience), func() ([]byte, error) { return []byte(name), nil }) == nil && !f.dead.Load() {
								mu.Lock()
								acked = append(acked, name)
								mu.Unlock()
							}
						}()
					}
				}
			})
			plan(at, func() {
				for i, m := range c.m {
					l, f := c.l[i], c.lf[i]
					busy.Add(1)
					go func() { defer busy.Done(); judge(m, l, f) }()
				}
			})
		}
		slices.SortStableFunc(acts, func(a, b act) int { return int(a.at - b.at) })
		if lossy {
			lr, lm := rand.New(rand.NewSource(seed)), sync.Mutex{}
			c.h.setDrop(func(string, core.Message) bool {
				lm.Lock()
				defer lm.Unlock()
				return lr.Intn(25) == 0
			})
		}
		began := time.Now()
		for _, a := range acts {
			time.Sleep(a.at - time.Since(began))
			a.do()
		}
		for i := range c.m {
			if c.sc[i].Ended() {
				c.start(i)
			}
		}
		c.h.mu.Lock()
		clear(c.h.cut)
		c.h.mu.Unlock()
		c.h.setDrop(nil)
		busy.Wait()
		time.Sleep(7 * time.Second) // they count as lost no more
		p := c.primary()
		require.GreaterOrEqual(t, p, 0, "nobody is primary")
		require.True(t, judge(c.m[p], c.l[p], c.lf[p]))
		require.Len(t, c.m[p].View().Copies(), c.losses+1)
		require.Len(t, c.m[p].View().Witnesses, 2*c.losses+1)
	}
	require.NotEmpty(t, acked)
}
