package replication

import (
	"fmt"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"shaletrestle/coord/replication/core"
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

func TestTheFirstOrderFindsAllCopiesAndWitnesses(t *testing.T) {
	eachLayout(t, func(t *testing.T, c *crowd) {
		p := c.primary()
		require.NoError(t, c.propose(p, "first"))
		ch := c.m[p].View()
		require.Len(t, ch.Replicas(), c.losses+1)
		require.Len(t, ch.Witnesses, 2*c.losses+1)
		require.Greater(t, len(c.places(ch.Replicas())), 1, "the loss of a zone leaves a copy")
		for z, n := range c.places(ch.Witnesses) {
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
		require.Equal(t, map[string]int{"a": 1, "b": 1, "c": 1}, c.places(c.m[p].View().Witnesses))
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
							if c.ctx[i].Err() != nil {
								c.start(i)
							}
						}
						time.Sleep(5 * time.Second)
						p := c.holds(t, "first;")
						require.NoError(t, c.propose(p, "second"))
						require.Len(t, c.m[p].View().Replicas(), c.losses+1)
						time.Sleep(3 * time.Second)
						c.witnessesAreWell(t, c.m[p].View()) // lost ones were replaced
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
		require.Len(t, c.m[p].View().Replicas(), c.losses+1)
	})
}

// TestAWriteMeetsALostBackup loses the backups, one after another, at each step of a write, and the primary with the last of them: what was acknowledged is read.
func TestAWriteMeetsALostBackup(t *testing.T) {
	for _, step := range []string{"append lost", "answer lost", "answer lost, primary too"} {
		t.Run(step, func(t *testing.T) {
			eachLayout(t, func(t *testing.T, c *crowd) {
				p := c.primary()
				require.NoError(t, c.propose(p, "first"))
				last := c.m[p].View().Backups[c.losses-1]
				var once sync.Once
				c.h.setDrop(func(address string, m core.Message) (lost bool) {
					if _, ok := m.(core.Append); !ok || address != last.Address {
						return false
					}
					once.Do(func() {
						lost = true
						if step != "append lost" {
							c.h.deliver(address, m)
							time.Sleep(500 * time.Microsecond) // it is on the disk, and the answer on no way yet
						}
						c.stop(c.at(last))
						if step == "answer lost, primary too" && c.losses > 1 {
							c.stop(p)
						}
					})
					return lost
				})
				acked := c.propose(p, "second") == nil
				time.Sleep(4 * time.Second)
				q := c.primary()
				require.GreaterOrEqual(t, q, 0)
				got, current := c.read(q)
				require.True(t, current)
				if acked {
					require.Equal(t, "first;second;", got)
				}
				require.True(t, strings.HasPrefix(got, "first;"), got)
				require.NoError(t, c.propose(q, "third"))
				require.Len(t, c.m[q].View().Replicas(), c.losses+1, "the missing copy was made up before the answer")
			})
		})
	}
}

// TestALossAtEveryStepOfATakeover kills the primary, and the one that follows it when it sends a note of each kind: with two losses to bear the third copy ends it.
func TestALossAtEveryStepOfATakeover(t *testing.T) {
	for _, kind := range []core.Message{core.Prepare{}, core.SnapshotChunk{}, core.Accept{}, core.Install{}} {
		for _, after := range []bool{false, true} {
			t.Run(fmt.Sprint(kindOf(kind), after), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					c := newCrowd(2, "a", "b", "c", "d", "e")
					defer c.end()
					p := c.primary()
					require.NoError(t, c.propose(p, "first"))
					next := c.m[p].View().Backups[0]
					var once sync.Once
					c.stop(p)
					isInstall := kindOf(kind) == kindOf(core.Install{})
					c.h.setDrop(func(address string, m core.Message) (lost bool) {
						if kindOf(m) != kindOf(kind) || m.Route().From.ID != next.ID {
							return false
						}
						if after {
							c.h.deliver(address, m)
						}
						once.Do(func() { // once all messages of that kind have gone, and before an answer comes
							time.AfterFunc(500*time.Microsecond, func() { c.stop(c.at(next)) })
						})
						return true
					})
					c.wipe(p)
					if isInstall { // the new disk is taken for a witness on the way
						c.start(p)
					}
					time.Sleep(6 * time.Second)
					q := c.holds(t, "first;")
					require.NoError(t, c.propose(q, "second"))
					require.Len(t, c.m[q].View().Replicas(), 3)
					require.True(t, c.ctx[c.at(next)].Err() != nil, "it was killed on the way")
					c.h.setDrop(nil)
					if !isInstall {
						c.start(p)
					}
					c.start(c.at(next))
					time.Sleep(6 * time.Second)
					q = c.holds(t, "first;second;")
					c.witnessesAreWell(t, c.m[q].View())
				})
			})
		}
	}
}

func TestALeavingPrimaryIsFollowedAtOnce(t *testing.T) {
	eachLayout(t, func(t *testing.T, c *crowd) {
		p := c.primary()
		require.NoError(t, c.propose(p, "first"))
		go c.m[p].Leave(time.Now().Add(patience))
		time.Sleep(400 * time.Millisecond)
		q := c.holds(t, "first;")
		require.NotEqual(t, p, q)
		require.NoError(t, c.propose(q, "second"))
		require.Negative(t, index(c.m[q].View().Replicas(), c.m[p].self.ID))
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
				require.Len(t, c.m[p].View().Replicas(), 3)
				require.Len(t, c.m[p].View().Witnesses, 5)
			})
		})
	}
}
