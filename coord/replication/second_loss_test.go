package replication

import (
	"flag"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

var (
	secondLossRuns  = flag.Int("second-loss.runs", 10, "runs of each scenario of a second loss on each layout, spread evenly over all steps, members and disks; 0: all")
	secondLossUsual = flag.Int("second-loss.usual", 64, "of the messages that belong to no change of view, every so many is a step")
)

// lossScenario is a repair or a replacement, at each step of which a further member is lost.
type lossScenario struct {
	name    string
	start   func(maxFailures int, zones []string) *cluster // nil: all members serve
	needs   int                                            // losses to tolerate
	members int                                            // fewest members
	play    func(r *lossRun)
}

// TestMember_LossDuringRepair_KeepsWhatWasAcknowledged plays each scenario once to count its steps, and once for each step, member and fate of its disk, or as many of these as the flag allows.
func TestMember_LossDuringRepair_KeepsWhatWasAcknowledged(t *testing.T) {
	for _, scenario := range lossScenarios {
		for name, layout := range layouts {
			if layout.maxFailures < scenario.needs || len(layout.zones) < scenario.members {
				continue
			}
			t.Run(scenario.name+"/"+name, func(t *testing.T) {
				t.Parallel()
				secondLosses(t, scenario, layout.maxFailures, layout.zones)
			})
		}
	}
}

func secondLosses(t *testing.T, scenario lossScenario, maxFailures int, zones []string) {
	steps := 0
	synctest.Test(t, func(t *testing.T) { steps = playLosses(t, scenario, maxFailures, zones, nil) })
	all := 2 * steps * len(zones)
	runs := all
	if *secondLossRuns > 0 {
		runs = min(all, *secondLossRuns)
	}
	t.Logf("%s: %d steps, %d runs of %d", t.Name(), steps, runs, all)
	for i := range runs {
		loss := spreadLoss(i, runs, steps, len(zones))
		t.Run(loss.String(), func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) { playLosses(t, scenario, maxFailures, zones, &loss) })
		})
	}
}

// spreadLoss is the further loss of one of some runs: steps are spread evenly, members and disks taken in turn.
func spreadLoss(run, runs, steps, members int) furtherLoss {
	kinds := 2 * members
	kind := run % kinds
	step := run * steps / runs
	return furtherLoss{step: step + 1, victim: kind / 2, wiped: kind%2 == 1}
}

// playLosses plays a scenario and gives the number of its steps.
func playLosses(t *testing.T, scenario lossScenario, maxFailures int, zones []string, loss *furtherLoss) int {
	start := scenario.start
	if start == nil {
		start = func(maxFailures int, zones []string) *cluster { return newCluster(maxFailures, zones...) }
	}
	c := start(maxFailures, zones)
	defer c.end()
	r := newLossRun(t, c, *secondLossUsual, loss)
	defer r.stopProposals()
	if scenario.start == nil {
		time.Sleep(300 * time.Millisecond) // some commands are acknowledged
	}
	r.locked(func() { r.counting = true })
	scenario.play(r)
	r.finish(maxFailures)
	return r.steps
}

// TestBootstrap_SeedWiped_Serves wipes a seed at each moment until all know the first view.
func TestBootstrap_SeedWiped_Serves(t *testing.T) {
	for seed := range 3 {
		for at := range 14 {
			t.Run(fmt.Sprintf("m%d at %d ms", seed, at), func(t *testing.T) {
				t.Parallel()
				synctest.Test(t, func(t *testing.T) {
					c := startCluster(1, "a", "b", "c", "d")
					defer c.end()
					time.Sleep(time.Duration(at)*time.Millisecond + time.Microsecond)
					c.stop(seed)
					c.wipe(seed)
					time.Sleep(downTime)
					c.start(seed)
					time.Sleep(syncTime)
					primary := c.primary()
					require.GreaterOrEqual(t, primary, 0, "nobody is primary")
					require.NoError(t, c.propose(primary, "first"))
					c.requireHealthyWitnesses(t, c.members[primary].View())
					require.Len(t, c.members[primary].View().Replicas(), 2)
				})
			})
		}
	}
}
