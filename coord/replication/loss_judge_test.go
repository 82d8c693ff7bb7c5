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
	for i, m := range r.crowd.m {
		if r.running(i) {
			_, active := m.PrimaryEpoch()
			r.note("m%d/%d: active %v, view %s", i, m.self.ID, active, viewText(m.View()))
		}
	}
	text := strings.Join(r.events, "\n")
	r.mu.Unlock()
	require.Fail(r.t, fmt.Sprintf(format, arguments...), text)
}

// servedAgain requires an acknowledged order soon after each loss that no other follows.
func (r *lossRun) servedAgain() {
	r.mu.Lock()
	losses, acked := slices.Clone(r.losses), slices.Clone(r.acked)
	r.mu.Unlock()
	for i, lost := range losses {
		limit := lost.Add(serviceTime)
		if i+1 < len(losses) && losses[i+1].Before(limit) {
			continue
		}
		served := slices.ContainsFunc(acked, func(o order) bool { return o.acked.After(lost) && !o.acked.After(limit) })
		if !served {
			r.fail("no order was acknowledged within %s of the loss at %s", serviceTime, lost.Format("05.000"))
		}
	}
}

// reads requires that a confirmed primary has all that was acknowledged, each once.
func (r *lossRun) reads() {
	r.mu.Lock()
	acked := slices.Clone(r.acked)
	r.mu.Unlock()
	p := r.primary()
	text, current := r.crowd.read(p)
	if !current {
		r.fail("m%d is not confirmed", p)
	}
	count := map[string]int{}
	for _, name := range strings.Split(text, ";") {
		count[name]++
	}
	for _, o := range acked {
		if count[o.name] != 1 {
			r.fail("order %s, acknowledged at %s, is read %d times", o.name, o.acked.Format("05.000"), count[o.name])
		}
	}
}

// isWhole requires as many copies and witnesses as are wanted, or as there are members, all of them there.
func (r *lossRun) isWhole() {
	view := r.view()
	running := 0
	for i := range r.crowd.m {
		if r.running(i) {
			running++
		}
	}
	copies, witnesses := r.crowd.losses+1, 2*r.crowd.losses+1
	if len(view.Replicas()) < min(copies, running) {
		r.fail("%d copies", len(view.Replicas()))
	}
	r.areThere(view.Replicas(), "copy")
	if running < witnesses {
		return
	}
	if len(view.Witnesses) != witnesses {
		r.fail("%d witnesses", len(view.Witnesses))
	}
	r.areThere(view.Witnesses, "witness")
}

func (r *lossRun) areThere(members []core.Member, role string) {
	for _, m := range members {
		if r.at(m) < 0 {
			r.fail("%s %s/%d is not there", role, m.Address, m.ID)
		}
	}
}

// lastLosses takes as many copies away, with their disks, as may be lost by now.
func (r *lossRun) lastLosses() {
	view := r.view()
	var members []int
	for _, m := range view.Replicas() {
		members = append(members, r.at(m))
	}
	r.mu.Lock()
	n := min(r.bearable-r.lostNow(), len(members))
	r.mu.Unlock()
	r.lose(true, members[:n]...)
}

// lostForGood is the number of members that are not to come back.
func (r *lossRun) lostForGood() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := 0
	for _, until := range r.lostUntil {
		if until.Equal(forGood) {
			n++
		}
	}
	return n
}

// finish judges the run once its scenario is over.
func (r *lossRun) finish(bearable int) {
	r.locked(func() { r.bearable = bearable })
	time.Sleep(time.Second)
	r.locked(func() { r.counting = false })
	time.Sleep(downTime)
	r.waitForCalm(r.lostForGood())
	r.mu.Lock()
	calm := time.Until(r.trouble.Add(syncTime))
	r.mu.Unlock()
	time.Sleep(calm)
	r.reads()
	r.isWhole()
	r.lastLosses()
	time.Sleep(serviceTime + orderPause)
	r.servedAgain()
	r.reads()
	r.stopOrders()
	r.busy.Wait()
}

func (r *lossRun) stopOrders() { r.endOnce.Do(func() { close(r.ended) }) }
