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

// layouts are the clusters that the tests below run on: zones of the members, and the losses that they tolerate.
var layouts = map[string]struct {
	maxFailures int
	zones       []string
}{
	"three members": {1, []string{"a", "b", "c"}},
	"four members":  {1, []string{"a", "b", "c", "d"}},
	"five members":  {2, []string{"a", "b", "c", "d", "e"}},
	"six in three":  {2, []string{"a", "a", "b", "b", "c", "c"}},
}

func eachLayout(t *testing.T, test func(t *testing.T, c *cluster)) {
	t.Helper()
	for name, layout := range layouts {
		t.Run(name, func(t *testing.T) {
			withCluster(t, layout.maxFailures, layout.zones, test)
		})
	}
}

func TestPropose_First_FindsAllReplicasAndWitnesses(t *testing.T) {
	eachLayout(t, func(t *testing.T, c *cluster) {
		primary := c.primary()
		require.NoError(t, c.propose(primary, "first"))
		ch := c.members[primary].View()
		require.Len(t, ch.Replicas(), c.maxFailures+1)
		require.Len(t, ch.Witnesses, 2*c.maxFailures+1)
		require.Greater(t, len(c.domainCounts(ch.Replicas())), 1, "the loss of a zone leaves a replica")
		for z, n := range c.domainCounts(ch.Witnesses) {
			require.LessOrEqual(t, n, c.maxFailures, "the loss of zone %s leaves a majority", z)
		}
	})
}

// TestMember_RegionLost_Serves spreads over regions where these may go: seeds and replicas of one region give way.
func TestMember_RegionLost_Serves(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := makeCluster(1, "a1", "a2", "a3", "b1", "c1")
		c.failureDomain = func(z string) string { return z[:1] }
		c.startAll()
		defer c.end()
		time.Sleep(700 * time.Millisecond)
		primary := c.primary()
		require.NoError(t, c.propose(primary, "first"))
		require.Equal(t, map[string]int{"a": 1, "b": 1, "c": 1}, c.domainCounts(c.members[primary].View().Witnesses))
		for i, z := range c.zones {
			if c.failureDomain(z) == c.failureDomain(c.zones[primary]) {
				c.stop(i)
			}
		}
		time.Sleep(4 * time.Second)
		c.requireText(t, "first;")
	})
}

// TestMember_AnyDisksLost_KeepsWhatWasAcknowledged loses every set of disks that must be tolerated, with and without the power of all others.
func TestMember_AnyDisksLost_KeepsWhatWasAcknowledged(t *testing.T) {
	for name, layout := range layouts {
		for set := range 1 << len(layout.zones) {
			var lost []int
			for i := range layout.zones {
				if set>>i&1 == 1 {
					lost = append(lost, i)
				}
			}
			if len(lost) != layout.maxFailures {
				continue
			}
			for _, dark := range []bool{false, true} {
				t.Run(fmt.Sprint(name, lost, dark), func(t *testing.T) {
					t.Parallel()
					withCluster(t, layout.maxFailures, layout.zones, func(t *testing.T, c *cluster) {
						require.NoError(t, c.propose(c.primary(), "first"))
						for i := range c.members {
							if gone := slices.Contains(lost, i); gone || dark {
								c.stop(i)
								if gone {
									c.wipe(i)
								}
							}
						}
						time.Sleep(500 * time.Millisecond)
						for i := range c.members {
							if c.contexts[i].Err() != nil {
								c.start(i)
							}
						}
						time.Sleep(5 * time.Second)
						primary := c.requireText(t, "first;")
						require.NoError(t, c.propose(primary, "second"))
						require.Len(t, c.members[primary].View().Replicas(), c.maxFailures+1)
						time.Sleep(3 * time.Second)
						c.requireHealthyWitnesses(t, c.members[primary].View()) // lost ones were replaced
					})
				})
			}
		}
	}
}

func TestMember_ZoneLost_Serves(t *testing.T) {
	eachLayout(t, func(t *testing.T, c *cluster) {
		require.NoError(t, c.propose(c.primary(), "first"))
		z := c.zones[c.primary()]
		for i := range c.members {
			if c.zones[i] == z {
				c.stop(i)
			}
		}
		time.Sleep(4 * time.Second)
		primary := c.requireText(t, "first;")
		require.NoError(t, c.propose(primary, "second"))
		require.Len(t, c.members[primary].View().Replicas(), c.maxFailures+1)
	})
}

// TestPropose_BackupLost_KeepsWhatWasAcknowledged loses the backups, one after another, at each step of a write, and the primary with the last of them: what was acknowledged is read.
func TestPropose_BackupLost_KeepsWhatWasAcknowledged(t *testing.T) {
	for _, step := range []string{"append lost", "answer lost", "answer lost, primary too"} {
		t.Run(step, func(t *testing.T) {
			eachLayout(t, func(t *testing.T, c *cluster) {
				primary := c.primary()
				require.NoError(t, c.propose(primary, "first"))
				last := c.members[primary].View().Backups[c.maxFailures-1]
				var once sync.Once
				c.network.setDrop(func(address string, m core.Message) (lost bool) {
					if _, ok := m.(core.Append); !ok || address != last.Address {
						return false
					}
					once.Do(func() {
						lost = true
						if step != "append lost" {
							c.network.deliver(address, m)
							time.Sleep(500 * time.Microsecond) // it is on the disk, and the answer on no way yet
						}
						c.stop(c.indexOf(last))
						if step == "answer lost, primary too" && c.maxFailures > 1 {
							c.stop(primary)
						}
					})
					return lost
				})
				acked := c.propose(primary, "second") == nil
				time.Sleep(4 * time.Second)
				successor := c.primary()
				require.GreaterOrEqual(t, successor, 0)
				got, current := c.read(successor)
				require.True(t, current)
				if acked {
					require.Equal(t, "first;second;", got)
				}
				require.True(t, strings.HasPrefix(got, "first;"), got)
				require.NoError(t, c.propose(successor, "third"))
				require.Len(t, c.members[successor].View().Replicas(), c.maxFailures+1, "the missing replica was replaced before the answer")
			})
		})
	}
}

// TestTakeover_LossAtEveryStep_KeepsWhatWasAcknowledged kills the primary, and the one that follows it when it sends a message of each type: with two losses to tolerate the third replica ends it.
func TestTakeover_LossAtEveryStep_KeepsWhatWasAcknowledged(t *testing.T) {
	for _, kind := range []core.Message{core.Prepare{}, core.SnapshotChunk{}, core.Accept{}, core.Install{}} {
		for _, after := range []bool{false, true} {
			t.Run(fmt.Sprint(typeName(kind), after), func(t *testing.T) {
				withCluster(t, 2, []string{"a", "b", "c", "d", "e"}, func(t *testing.T, c *cluster) {
					primary := c.primary()
					require.NoError(t, c.propose(primary, "first"))
					next := c.members[primary].View().Backups[0]
					var once sync.Once
					c.stop(primary)
					isInstall := typeName(kind) == typeName(core.Install{})
					c.network.setDrop(func(address string, m core.Message) (lost bool) {
						if typeName(m) != typeName(kind) || m.Route().From.ID != next.ID {
							return false
						}
						if after {
							c.network.deliver(address, m)
						}
						once.Do(func() { // once all messages of that kind have gone, and before an answer comes
							time.AfterFunc(500*time.Microsecond, func() { c.stop(c.indexOf(next)) })
						})
						return true
					})
					c.wipe(primary)
					if isInstall { // the new disk is taken for a witness on the way
						c.start(primary)
					}
					time.Sleep(6 * time.Second)
					successor := c.requireText(t, "first;")
					require.NoError(t, c.propose(successor, "second"))
					require.Len(t, c.members[successor].View().Replicas(), 3)
					require.Error(t, c.contexts[c.indexOf(next)].Err(), "it was killed on the way")
					c.network.setDrop(nil)
					if !isInstall {
						c.start(primary)
					}
					c.start(c.indexOf(next))
					time.Sleep(6 * time.Second)
					successor = c.requireText(t, "first;second;")
					c.requireHealthyWitnesses(t, c.members[successor].View())
				})
			})
		}
	}
}

func TestLeave_Primary_SucceededAtOnce(t *testing.T) {
	eachLayout(t, func(t *testing.T, c *cluster) {
		primary := c.primary()
		require.NoError(t, c.propose(primary, "first"))
		go c.members[primary].Leave(time.Now().Add(callTimeout))
		time.Sleep(400 * time.Millisecond)
		successor := c.requireText(t, "first;")
		require.NotEqual(t, primary, successor)
		require.NoError(t, c.propose(successor, "second"))
		require.Negative(t, memberIndex(c.members[successor].View().Replicas(), c.members[primary].self.ID))
	})
}

// TestBootstrap_MembersLost_Serves kills as many as must be tolerated while the first views are made.
func TestBootstrap_MembersLost_Serves(t *testing.T) {
	for at := 5 * time.Millisecond; at < 900*time.Millisecond; at += 35 * time.Millisecond {
		t.Run(at.String(), func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				c := startCluster(2, "a", "b", "c", "d", "e")
				defer c.end()
				time.Sleep(at)
				c.stop(0)
				c.stop(1)
				time.Sleep(time.Second)
				c.start(0)
				c.start(1)
				time.Sleep(6 * time.Second)
				primary := c.primary()
				require.GreaterOrEqual(t, primary, 0)
				require.NoError(t, c.propose(primary, "first"))
				require.Len(t, c.members[primary].View().Replicas(), 3)
				require.Len(t, c.members[primary].View().Witnesses, 5)
			})
		})
	}
}
