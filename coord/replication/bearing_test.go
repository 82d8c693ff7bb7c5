package replication

import (
	"fmt"
	"log/slog"
	"math/rand"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"shaletrestle/coord/rpc"
	"shaletrestle/internal/task"
)

// layouts are the crowds that the tests below run on: places of the members, and the losses that they bear.
var layouts = map[string]struct {
	losses int
	zones  []string
}{
	"three members": {1, []string{"a", "b", "c"}},
	"four members":  {1, []string{"a", "b", "c", "d"}},
	"five members":  {2, []string{"a", "b", "c", "d", "e"}},
	"six in three":  {2, []string{"a", "a", "b", "b", "c", "c"}},
}

func eachLayout(t *testing.T, f func(t *testing.T, c *crowd)) {
	for name, x := range layouts {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newCrowd(x.losses, x.zones...)
				defer c.end()
				f(t, c)
			})
		})
	}
}

// holds requires one confirmed primary that has these entries.
func (t *crowd) holds(tt *testing.T, want string) int {
	tt.Helper()
	p := t.primary()
	require.GreaterOrEqual(tt, p, 0, "nobody is primary")
	require.True(tt, t.m[p].Confirmed())
	require.Equal(tt, want, string(t.l[p].Checkpoint()))
	return p
}

func TestTheFirstOrderFindsAllCopiesAndWitnesses(t *testing.T) {
	eachLayout(t, func(t *testing.T, c *crowd) {
		p := c.primary()
		require.NoError(t, c.propose(p, "first"))
		ch := c.m[p].Chart()
		require.Len(t, ch.Copies(), c.losses+1)
		require.Len(t, ch.Witnesses, 2*c.losses+1)
		require.Greater(t, len(c.m[p].places(ch.Copies())), 1, "the loss of a zone leaves a copy")
		for z, n := range c.m[p].places(ch.Witnesses) {
			require.LessOrEqual(t, n, c.losses, "the loss of zone %s leaves a majority", z)
		}
	})
}

// TestARegionIsLost spreads over regions where these may go: seeds and copies of one region give way.
func TestARegionIsLost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := makeCrowd(1, "a1", "a2", "a3", "b1", "c1")
		c.area = func(z string) string { return z[:1] }
		c.startAll()
		defer c.end()
		time.Sleep(700 * time.Millisecond)
		p := c.primary()
		require.NoError(t, c.propose(p, "first"))
		require.Equal(t, map[string]int{"a": 1, "b": 1, "c": 1}, c.m[p].places(c.m[p].Chart().Witnesses))
		for i, z := range c.zone {
			if c.area(z) == c.area(c.zone[p]) {
				c.stop(i)
			}
		}
		time.Sleep(4 * time.Second)
		c.holds(t, "first;")
	})
}

// TestAnyDisksLostAfterAnAcknowledgement loses every set of disks that must be borne, with and without the power of all others.
func TestAnyDisksLostAfterAnAcknowledgement(t *testing.T) {
	for name, x := range layouts {
		for set := range 1 << len(x.zones) {
			var lost []int
			for i := range x.zones {
				if set>>i&1 == 1 {
					lost = append(lost, i)
				}
			}
			if len(lost) != x.losses {
				continue
			}
			for _, dark := range []bool{false, true} {
				t.Run(fmt.Sprint(name, lost, dark), func(t *testing.T) {
					t.Parallel()
					synctest.Test(t, func(t *testing.T) {
						c := newCrowd(x.losses, x.zones...)
						defer c.end()
						require.NoError(t, c.propose(c.primary(), "first"))
						for i := range c.m {
							if gone := slices.Contains(lost, i); gone || dark {
								c.stop(i)
								if gone {
									c.wipe(i)
								}
							}
						}
						time.Sleep(500 * time.Millisecond)
						for i := range c.m {
							if c.sc[i].Ended() {
								c.start(i)
							}
						}
						time.Sleep(5 * time.Second)
						p := c.holds(t, "first;")
						require.NoError(t, c.propose(p, "second"))
						require.Len(t, c.m[p].Chart().Copies(), c.losses+1)
						time.Sleep(3 * time.Second)
						require.Nil(t, c.m[p].panel(c.m[p].Chart()), "lost witnesses were replaced")
					})
				})
			}
		}
	}
}

func TestAZoneIsLost(t *testing.T) {
	eachLayout(t, func(t *testing.T, c *crowd) {
		require.NoError(t, c.propose(c.primary(), "first"))
		z := c.zone[c.primary()]
		for i := range c.m {
			if c.zone[i] == z {
				c.stop(i)
			}
		}
		time.Sleep(4 * time.Second)
		p := c.holds(t, "first;")
		require.NoError(t, c.propose(p, "second"))
		require.Len(t, c.m[p].Chart().Copies(), c.losses+1)
	})
}

// TestAWriteMeetsALostBackup loses the backups, one after another, at each step of a write, and the primary with the last of them: what was acknowledged is read.
func TestAWriteMeetsALostBackup(t *testing.T) {
	for _, step := range []string{"append lost", "answer lost", "answer lost, primary too"} {
		t.Run(step, func(t *testing.T) {
			eachLayout(t, func(t *testing.T, c *crowd) {
				p := c.primary()
				require.NoError(t, c.propose(p, "first"))
				last := c.m[p].Chart().Backups[c.losses-1]
				var once sync.Once
				c.h.mu.Lock()
				c.h.drop = func(addr string, n *rpc.Note) (lost bool) {
					if n.Kind == rpc.Append && addr == last.Addr {
						once.Do(func() {
							lost = true
							if step != "append lost" {
								x := *n
								c.h.m[addr].Handle(&x)
							}
							c.stop(c.at(last))
							if step == "answer lost, primary too" && c.losses > 1 {
								c.stop(p)
							}
						})
					}
					return lost
				}
				c.h.mu.Unlock()
				acked := c.propose(p, "second") == nil
				time.Sleep(4 * time.Second)
				q := c.primary()
				require.GreaterOrEqual(t, q, 0)
				require.True(t, c.m[q].Confirmed())
				got := string(c.l[q].Checkpoint())
				if acked {
					require.Equal(t, "first;second;", got)
				}
				require.True(t, strings.HasPrefix(got, "first;"), got)
				require.NoError(t, c.propose(q, "third"))
				require.Len(t, c.m[q].Chart().Copies(), c.losses+1, "the missing copy was made up before the answer")
			})
		})
	}
}

// TestALossAtEveryStepOfATakeover kills the primary, and the one that follows it when it sends a note of each kind: with two losses to bear the third copy ends it.
func TestALossAtEveryStepOfATakeover(t *testing.T) {
	for _, k := range []rpc.Kind{rpc.Prepare, rpc.Checkpoint, rpc.Accept, rpc.Install} {
		for _, after := range []bool{false, true} {
			t.Run(fmt.Sprint(k, after), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					c := newCrowd(2, "a", "b", "c", "d", "e")
					defer c.end()
					p := c.primary()
					require.NoError(t, c.propose(p, "first"))
					next := c.m[p].Chart().Backups[0]
					var once sync.Once
					c.stop(p)
					c.h.mu.Lock()
					c.h.drop = func(addr string, n *rpc.Note) (lost bool) {
						if n.Kind != k || n.From.ID != next.ID {
							return false
						}
						if after {
							x := *n
							c.h.m[addr].Handle(&x)
						}
						once.Do(func() { c.stop(c.at(next)) })
						return true
					}
					c.h.mu.Unlock()
					c.wipe(p)
					if k == rpc.Install { // the new disk is taken for a witness on the way
						c.start(p)
					}
					time.Sleep(6 * time.Second)
					q := c.holds(t, "first;")
					require.NoError(t, c.propose(q, "second"))
					require.Len(t, c.m[q].Chart().Copies(), 3)
					require.True(t, c.sc[c.at(next)].Ended(), "it was killed on the way")
					c.h.mu.Lock()
					c.h.drop = nil
					c.h.mu.Unlock()
					if k != rpc.Install {
						c.start(p)
					}
					c.start(c.at(next))
					time.Sleep(6 * time.Second)
					q = c.holds(t, "first;second;")
					require.Nil(t, c.m[q].panel(c.m[q].Chart()))
				})
			})
		}
	}
}

func TestALeavingPrimaryIsFollowedAtOnce(t *testing.T) {
	eachLayout(t, func(t *testing.T, c *crowd) {
		p := c.primary()
		require.NoError(t, c.propose(p, "first"))
		c.m[p].Leave()
		time.Sleep(400 * time.Millisecond)
		q := c.holds(t, "first;")
		require.NotEqual(t, p, q)
		require.NoError(t, c.propose(q, "second"))
		require.Negative(t, index(c.m[q].Chart().Copies(), c.m[p].Self().ID))
	})
}

// TestALossDuringTheFirstStart kills as many as must be borne while the first charts are made.
func TestALossDuringTheFirstStart(t *testing.T) {
	for at := 5 * time.Millisecond; at < 900*time.Millisecond; at += 35 * time.Millisecond {
		t.Run(at.String(), func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				c := startCrowd(2, "a", "b", "c", "d", "e")
				defer c.end()
				time.Sleep(at)
				c.stop(0)
				c.stop(1)
				time.Sleep(time.Second)
				c.start(0)
				c.start(1)
				time.Sleep(6 * time.Second)
				p := c.primary()
				require.GreaterOrEqual(t, p, 0)
				require.NoError(t, c.propose(p, "first"))
				require.Len(t, c.m[p].Chart().Copies(), 3)
				require.Len(t, c.m[p].Chart().Witnesses, 5)
			})
		})
	}
}

// TestAMemberIsReplacedWhileAnotherIsDown takes a machine away for good, adds one at another address, and loses another meanwhile.
func TestAMemberIsReplacedWhileAnotherIsDown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCrowd(2, "a", "b", "c", "d", "e")
		defer c.end()
		p := c.primary()
		require.NoError(t, c.propose(p, "first"))
		down := c.at(c.m[p].Chart().Backups[0])
		c.stop(p)
		c.stop(down)
		c.start(c.add("a"))
		time.Sleep(6 * time.Second)
		q := c.holds(t, "first;")
		require.NoError(t, c.propose(q, "second"))
		c.start(down)
		time.Sleep(6 * time.Second)
		for range 2 { // two more may go by now
			q = c.holds(t, "first;second;")
			c.stop(q)
			c.wipe(q)
			time.Sleep(3 * time.Second)
		}
		c.holds(t, "first;second;")
	})
}

// TestARefusingMemberIsNotAskedAgainAndAgain keeps a member whose disk is full: the charts don't churn, and orders are taken.
func TestARefusingMemberIsNotAskedAgainAndAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCrowd(2, "a", "b", "c") // three members can't bear two losses: served as well as it goes
		defer c.end()
		p := c.primary()
		require.NoError(t, c.propose(p, "first"))
		require.Len(t, c.m[p].Chart().Copies(), 3)
		b := c.at(c.m[p].Chart().Backups[1])
		c.st[b].full.Store(true)
		require.NoError(t, c.propose(p, "second"))
		require.Len(t, c.m[p].Chart().Copies(), 2)
		e := c.m[p].Chart().Epoch
		time.Sleep(10 * time.Second)
		require.LessOrEqual(t, c.m[p].Chart().Epoch-e, uint64(6))
		c.st[b].full.Store(false)
		time.Sleep(4 * time.Second)
		require.Len(t, c.m[p].Chart().Copies(), 3)
		c.holds(t, "first;second;")
	})
}

// TestWithTooFewCopiesNothingIsAcknowledged leaves one backup that takes the state where two losses must be borne.
func TestWithTooFewCopiesNothingIsAcknowledged(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCrowd(2, "a", "b", "c", "d", "e")
		defer c.end()
		p := c.primary()
		require.NoError(t, c.propose(p, "first"))
		backups := c.m[p].Chart().Backups
		c.h.mu.Lock()
		c.h.drop = func(addr string, n *rpc.Note) bool {
			return n.Kind == rpc.Append && addr == backups[1].Addr || n.Kind == rpc.Checkpoint && addr != backups[0].Addr && addr != c.m[p].Self().Addr
		}
		c.h.mu.Unlock()
		require.Error(t, c.propose(p, "second"))
		time.Sleep(4 * time.Second)
		for i := range c.m {
			require.Error(t, c.propose(i, "third"))
		}
		c.h.mu.Lock()
		c.h.drop = nil
		c.h.mu.Unlock()
		time.Sleep(4 * time.Second)
		got := string(c.l[c.primary()].Checkpoint()) // no clear answer: it may be in force or not
		require.Contains(t, []string{"first;", "first;second;"}, got)
	})
}

// TestABackupThatProposedTakesNothingMore: what it handed over may still be chosen, so its old primary must not write past it.
func TestABackupThatProposedTakesNothingMore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCrowd(2, "a", "b", "c", "d", "e")
		defer c.end()
		p := c.primary()
		require.NoError(t, c.propose(p, "first"))
		ch := c.m[p].Chart()
		b := c.at(ch.Backups[0])
		var tried atomic.Bool
		c.h.mu.Lock()
		c.h.drop = func(addr string, n *rpc.Note) bool {
			mine := n.From.ID == ch.Backups[0].ID
			if mine && n.Kind == rpc.Accept {
				tried.Store(true)
			}
			return mine && n.Kind == rpc.Accept || !mine && n.Kind == rpc.Prepare || n.Kind == rpc.Checkpoint && addr == ch.Primary.Addr
		}
		c.h.mu.Unlock()
		a, _ := c.m[b].Handle(&rpc.Note{Kind: rpc.Yield, From: ch.Primary, Epoch: ch.Epoch})
		require.True(t, a.OK)
		time.Sleep(400 * time.Millisecond)
		for !c.m[b].wr.TryLock() { // between two tries
			time.Sleep(time.Millisecond)
		}
		c.m[b].wr.Unlock()
		require.Equal(t, ch.Epoch, c.m[b].Chart().Epoch)
		a, _ = c.m[b].Handle(&rpc.Note{Kind: rpc.Append, From: ch.Primary, To: ch.Backups[0].ID, Epoch: ch.Epoch, Ballot: ch.Mark, Body: []byte("x")})
		require.False(t, a.OK)
	})
}

func TestAnOlderHandOverDisplacesNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCrowd(1, "a", "b", "c")
		defer c.end()
		p := c.primary()
		ch := c.m[p].Chart()
		m := c.m[c.at(ch.Backups[0])]
		give := func(mark uint64) bool {
			a, _ := m.Handle(&rpc.Note{Kind: rpc.Checkpoint, From: ch.Primary, To: m.Self().ID, Epoch: ch.Epoch + 1, Ballot: mark, Held: ch, Body: packHeld(Held{Base: []byte("x")})})
			return a.OK
		}
		require.True(t, give(900<<20))
		require.False(t, give(899<<20))
		require.True(t, give(901<<20))
	})
}

// TestALargeEntryIsGivenTime sends 4 MB to two backups over a link that needs 0.7 s for them: no chart is changed.
func TestALargeEntryIsGivenTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCrowd(2, "a", "b", "c", "d", "e")
		defer c.end()
		p := c.primary()
		require.NoError(t, c.propose(p, "first"))
		e := c.m[p].Chart().Epoch
		c.h.rate = 6 << 20
		require.NoError(t, c.propose(p, strings.Repeat("x", 4<<20)))
		require.Equal(t, e, c.m[p].Chart().Epoch)
		c.stop(p)
		time.Sleep(4 * time.Second)
		require.GreaterOrEqual(t, c.primary(), 0)
	})
}

func TestAMemberWithoutADiskOnlyRelays(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCrowd(1, "a", "b", "c")
		defer c.end()
		sc := task.New(slog.New(slog.DiscardHandler))
		defer sc.Stop()
		m, err := New(sc, Config{Addr: "m9", Locality: "d", Seeds: []string{"m0", "m1", "m2"}, Losses: 1, Relay: true, Store: NewNoDisk(), Machine: &lines{}, Caller: c.h})
		require.NoError(t, err)
		c.h.mu.Lock()
		c.h.m["m9"] = m
		c.h.mu.Unlock()
		go m.Run()
		time.Sleep(2 * time.Second)
		p := c.primary()
		require.NoError(t, c.propose(p, "first"))
		s, ok := m.Primary()
		require.True(t, ok, "it knows whom to relay for")
		require.Equal(t, c.m[p].Self(), s)
		c.stop(c.at(c.m[p].Chart().Backups[0]))
		time.Sleep(6 * time.Second)
		ch := c.m[c.primary()].Chart()
		require.Negative(t, index(append(ch.Copies(), ch.Witnesses...), m.Self().ID))
		for _, k := range []rpc.Kind{rpc.Prepare, rpc.Accept, rpc.Install, rpc.Checkpoint, rpc.Append, rpc.Confirm} {
			a, _ := m.Handle(&rpc.Note{Kind: k, Epoch: ch.Epoch + 1, Ballot: 9 << 20, Held: ch, Chart: ch, Body: packHeld(Held{})})
			require.False(t, a.OK)
		}
	})
}

// TestASeedWithoutADiskIsNoWitness starts with a seed that has no disk: the first register does without it.
func TestASeedWithoutADiskIsNoWitness(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := &hall{m: map[string]*Member{}, off: map[string]bool{}}
		var ms []*Member
		for i := range 4 {
			sc := task.New(slog.New(slog.DiscardHandler))
			defer sc.Stop()
			cf := Config{Addr: fmt.Sprint("m", i), Locality: fmt.Sprint("z", i), Seeds: []string{"m0", "m1", "m2"}, Losses: 1, Store: &memory{id: uint64(i + 1)}, Machine: &lines{}, Caller: h}
			if i == 0 {
				cf.Relay, cf.Store = true, NewNoDisk()
			}
			m, err := New(sc, cf)
			require.NoError(t, err)
			ms = append(ms, m)
			h.mu.Lock()
			h.m[cf.Addr] = m
			h.mu.Unlock()
			go m.Run()
		}
		time.Sleep(6 * time.Second)
		p := slices.IndexFunc(ms, func(m *Member) bool { _, on := m.Active(); return on })
		require.Positive(t, p)
		require.NoError(t, ms[p].Propose(func() ([]byte, error) { return []byte("x"), nil }))
		require.Len(t, ms[p].Chart().Witnesses, 3)
	})
}

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
		if f.dead.Load() || !m.Confirmed() {
			return false
		}
		require.Empty(t, missing(string(l.Checkpoint()), n), "acknowledged, and not read")
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
							if m.Propose(func() ([]byte, error) { return []byte(name), nil }) == nil && !f.dead.Load() {
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
			c.h.mu.Lock()
			c.h.drop = func(string, *rpc.Note) bool {
				lm.Lock()
				defer lm.Unlock()
				return lr.Intn(25) == 0
			}
			c.h.mu.Unlock()
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
		c.h.drop = nil
		c.h.mu.Unlock()
		busy.Wait()
		time.Sleep(7 * time.Second) // they count as lost no more
		p := c.primary()
		require.GreaterOrEqual(t, p, 0, "nobody is primary")
		require.True(t, judge(c.m[p], c.l[p], c.lf[p]))
		require.Len(t, c.m[p].Chart().Copies(), c.losses+1)
		require.Len(t, c.m[p].Chart().Witnesses, 2*c.losses+1)
	}
	require.NotEmpty(t, acked)
}
