package replication

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/stretchr/testify/require"

	"shaletrestle/coord/replication/core"
)

func (r *lossRun) fail(format string, arguments ...any) {
	r.t.Helper()
	r.mu.Lock()
	for i, m := range r.cluster.members {
		if r.running(i) {
			_, isPrimary := m.PrimaryEpoch()
			r.logf("m%d/%d: primary %v, view %s", i, m.self.ID, isPrimary, viewText(m.View()))
		}
	}
	text := strings.Join(r.events, "\n")
	r.mu.Unlock()
	require.Fail(r.t, fmt.Sprintf(format, arguments...), text)
}

// requireServedAgain requires an acknowledged command soon after each loss that no other follows.
func (r *lossRun) requireServedAgain() {
	r.mu.Lock()
	losses, acknowledged := slices.Clone(r.losses), slices.Clone(r.acknowledged)
	r.mu.Unlock()
	for i, lost := range losses {
		limit := lost.Add(serviceTime)
		if i+1 < len(losses) && losses[i+1].Before(limit) {
			continue
		}
		served := slices.ContainsFunc(acknowledged, func(o acknowledgedCommand) bool { return o.at.After(lost) && !o.at.After(limit) })
		if !served {
			r.fail("no command was acknowledged within %s of the loss at %s", serviceTime, lost.Format("05.000"))
		}
	}
}

// requireReads requires that a confirmed primary has all that was acknowledged, each once.
func (r *lossRun) requireReads() {
	r.mu.Lock()
	acknowledged := slices.Clone(r.acknowledged)
	r.mu.Unlock()
	primary := r.primary()
	text, current := r.cluster.read(primary)
	if !current {
		r.fail("the state of primary m%d is not confirmed to be current", primary)
	}
	count := map[string]int{}
	for _, name := range strings.Split(text, ";") {
		count[name]++
	}
	for _, o := range acknowledged {
		if count[o.name] != 1 {
			r.fail("command %s, acknowledged at %s, is read %d times", o.name, o.at.Format("05.000"), count[o.name])
		}
	}
}

// requireComplete requires as many replicas and witnesses as are configured, or as there are members, all of them running.
func (r *lossRun) requireComplete() {
	view := r.view()
	running := 0
	for i := range r.cluster.members {
		if r.running(i) {
			running++
		}
	}
	replicas, witnesses := r.cluster.maxFailures+1, 2*r.cluster.maxFailures+1
	if len(view.Replicas()) < min(replicas, running) {
		r.fail("%d replicas, want at least %d", len(view.Replicas()), min(replicas, running))
	}
	r.requireRunning(view.Replicas(), "replica")
	if running < witnesses {
		return
	}
	if len(view.Witnesses) != witnesses {
		r.fail("%d witnesses, want %d", len(view.Witnesses), witnesses)
	}
	r.requireRunning(view.Witnesses, "witness")
}

func (r *lossRun) requireRunning(members []core.Member, role string) {
	for _, m := range members {
		if r.indexOf(m) < 0 {
			r.fail("%s %s/%d is not running", role, m.Address, m.ID)
		}
	}
}

// loseRemaining takes as many replicas away, with their disks, as may be lost by now.
func (r *lossRun) loseRemaining() {
	view := r.view()
	var members []int
	for _, m := range view.Replicas() {
		members = append(members, r.indexOf(m))
	}
	r.mu.Lock()
	n := min(r.tolerable-r.lostNow(), len(members))
	r.mu.Unlock()
	r.lose(true, members[:n]...)
}

// lostPermanently counts the members that do not come back.
func (r *lossRun) lostPermanently() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := 0
	for _, until := range r.lostUntil {
		if until.Equal(never) {
			n++
		}
	}
	return n
}

// finish judges the run once its scenario is over.
func (r *lossRun) finish(tolerable int) {
	r.locked(func() { r.tolerable = tolerable })
	time.Sleep(time.Second)
	r.locked(func() { r.counting = false })
	time.Sleep(downTime)
	r.waitForLosses(r.lostPermanently())
	r.mu.Lock()
	calm := time.Until(r.lastFault.Add(syncTime))
	r.mu.Unlock()
	time.Sleep(calm)
	r.requireReads()
	r.requireComplete()
	r.loseRemaining()
	time.Sleep(serviceTime + proposeInterval)
	r.requireServedAgain()
	r.requireReads()
	r.stopProposals()
	r.busy.Wait()
}

func (r *lossRun) stopProposals() { r.endOnce.Do(func() { close(r.ended) }) }
