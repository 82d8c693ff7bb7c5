package replication

import (
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	"shaletrestle/coord/replication/core"
)

const (
	syncTime    = 4 * time.Second         // a member counts as lost so long after its return or start
	serviceTime = 2500 * time.Millisecond // an order is acknowledged so soon after a loss
	orderPause  = 50 * time.Millisecond   // between two orders
	downTime    = 700 * time.Millisecond  // of the member that is lost at a step
)

// forGood is the end of a loss that does not end.
var forGood = time.Date(9999, 1, 1, 0, 0, 0, 0, time.UTC)

// furtherLoss says which member is lost at which step, and whether its disk is.
type furtherLoss struct {
	step   int
	victim int
	wiped  bool
}

func (f furtherLoss) String() string {
	disk := "kept"
	if f.wiped {
		disk = "wiped"
	}
	return fmt.Sprintf("step %d, m%d, %s", f.step, f.victim, disk)
}

// order is one that was acknowledged.
type order struct {
	name  string
	acked time.Time
}

// lossRun is one run of a scenario, with a further loss at one of its steps. A step is the arrival of a message while a further loss must be borne.
type lossRun struct {
	t     *testing.T
	crowd *crowd
	every int          // of the messages that belong to no change of view, every so many is a step
	loss  *furtherLoss // nil: steps are only counted

	mu        sync.Mutex // guards the crowd's members and all that follows
	bearable  int        // members that may be lost at once
	lostUntil []time.Time
	losses    []time.Time // when members were lost
	trouble   time.Time   // when a member was last lost, or came back
	leaving   map[int]bool
	counting  bool
	usual     int // messages of no change
	steps     int
	begun     int // orders
	acked     []order
	events    []string
	busy      sync.WaitGroup
	ended     chan struct{}
	endOnce   sync.Once
}

func newLossRun(t *testing.T, c *crowd, every int, loss *furtherLoss) *lossRun {
	r := &lossRun{
		t: t, crowd: c, every: every, loss: loss,
		bearable: c.losses, lostUntil: make([]time.Time, len(c.m)), trouble: time.Now(),
		leaving: map[int]bool{}, ended: make(chan struct{}),
	}
	c.h.mu.Lock()
	c.h.arrived = r.arrived
	c.h.mu.Unlock()
	r.busy.Go(r.order)
	return r
}

func (r *lossRun) note(format string, arguments ...any) {
	r.events = append(r.events, time.Now().Format("05.000 ")+fmt.Sprintf(format, arguments...))
}

// order sends an order to whoever says that it is primary, again and again.
func (r *lossRun) order() {
	ticker := time.NewTicker(orderPause)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			r.mu.Lock()
			if p := r.crowd.primary(); p >= 0 {
				r.begun++
				name, m, life := fmt.Sprint(r.begun), r.crowd.m[p], r.crowd.lf[p]
				r.busy.Go(func() { r.propose(name, m, life) })
			}
			r.mu.Unlock()
		case <-r.ended:
			return
		}
	}
}

func (r *lossRun) propose(name string, m *Member, life *life) {
	err := m.Propose(time.Now().Add(patience), func() ([]byte, error) { return []byte(name), nil })
	r.mu.Lock()
	defer r.mu.Unlock()
	if err == nil && !life.dead.Load() {
		r.acked = append(r.acked, order{name, time.Now()})
	}
}

// belongsToChange tells whether a message is of a change of view, of a transfer of state or of leaving.
func belongsToChange(m core.Message) bool {
	switch m.(type) {
	case core.Hello, core.HelloReply, core.Heartbeat, core.HeartbeatReply, core.Append, core.AppendReply, core.Confirm, core.ConfirmReply:
		return false
	}
	return true
}

// arrived counts the steps, and brings the further loss about at its own.
func (r *lossRun) arrived(m core.Message) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.counting {
		return
	}
	if !belongsToChange(m) {
		r.usual++
		if r.usual%r.every != 0 {
			return
		}
	}
	if r.lostNow()+1 > r.bearable {
		return
	}
	r.steps++
	if r.loss == nil || r.steps != r.loss.step {
		return
	}
	r.loseFurther(m)
}

func (r *lossRun) loseFurther(m core.Message) {
	var running []int
	for i := range r.crowd.m {
		if r.running(i) && !r.lostUntil[i].After(time.Now()) {
			running = append(running, i)
		}
	}
	victim := running[r.loss.victim%len(running)]
	r.note("at %s from %s: further loss", kindOf(m), m.Route().From.Address)
	r.down(victim, r.loss.wiped)
	time.AfterFunc(downTime, func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		if r.lostUntil[victim] == forGood && !r.leaving[victim] {
			r.up(victim)
		}
	})
}

func (r *lossRun) running(i int) bool { return r.crowd.ctx[i] != nil && r.crowd.ctx[i].Err() == nil }

// lostNow is the number of members that count as lost.
func (r *lossRun) lostNow() int {
	n := 0
	for _, until := range r.lostUntil {
		if until.After(time.Now()) {
			n++
		}
	}
	return n
}

func (r *lossRun) down(i int, wiped bool) {
	view := r.crowd.m[i].View()
	r.note("m%d is lost, wiped %v, its view %s", i, wiped, viewText(view))
	r.crowd.stop(i)
	if wiped {
		r.crowd.wipe(i)
	}
	r.lostUntil[i] = forGood
	r.trouble = time.Now()
	r.losses = append(r.losses, r.trouble)
}

func (r *lossRun) up(i int) {
	r.crowd.start(i)
	r.lostUntil[i] = time.Now().Add(syncTime)
	r.trouble = time.Now()
	r.note("m%d starts", i)
}

func viewText(view *core.View) string {
	if view == nil {
		return "none"
	}
	var copies, witnesses []string
	for _, m := range view.Replicas() {
		copies = append(copies, m.Address)
	}
	for _, m := range view.Witnesses {
		witnesses = append(witnesses, fmt.Sprint(m.Address, "/", m.ID))
	}
	return fmt.Sprint(view.Epoch, " copies ", copies, " witnesses ", witnesses)
}

// locked does one thing of a scenario.
func (r *lossRun) locked(f func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	f()
}

// lose loses members once so many more may be lost.
func (r *lossRun) lose(wiped bool, members ...int) {
	for {
		r.mu.Lock()
		fresh := slices.DeleteFunc(slices.Clone(members), func(i int) bool { return !r.running(i) })
		if r.lostNow()+len(fresh) <= r.bearable {
			for _, i := range fresh {
				r.down(i, wiped)
			}
			r.mu.Unlock()
			return
		}
		r.mu.Unlock()
		time.Sleep(10 * time.Millisecond)
	}
}

// comeBack starts a member that was lost.
func (r *lossRun) comeBack(i int) {
	r.locked(func() {
		if !r.running(i) {
			r.up(i)
		}
	})
}

// add starts an empty machine at an address of its own.
func (r *lossRun) add(zone string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	i := r.crowd.add(zone)
	r.lostUntil = append(r.lostUntil, time.Time{})
	r.up(i)
	return i
}

// succeeded makes a member that is gone count no more: the loss of its successor stands for it.
func (r *lossRun) succeeded(i int) { r.locked(func() { r.lostUntil[i] = time.Time{} }) }

// waitForCalm waits until as few as given count as lost.
func (r *lossRun) waitForCalm(lost int) {
	for {
		r.mu.Lock()
		n := r.lostNow()
		r.mu.Unlock()
		if n <= lost {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// leave lets a member leave, and takes it away once it has left or its time is over. One that has not left completely counts as lost.
func (r *lossRun) leave(i int, wiped bool) {
	r.mu.Lock()
	m := r.crowd.m[i]
	r.leaving[i] = true
	r.note("m%d leaves", i)
	r.mu.Unlock()
	complete := m.Leave(time.Now().Add(graceTime))
	r.locked(func() { r.note("m%d has left: %v", i, complete) })
	if !complete {
		r.lose(wiped, i)
		return
	}
	r.locked(func() {
		if r.running(i) {
			r.down(i, wiped)
		}
		r.lostUntil[i] = time.Time{}
	})
}

// primary waits for one.
func (r *lossRun) primary() int {
	for range 500 {
		r.mu.Lock()
		p := r.crowd.primary()
		r.mu.Unlock()
		if p >= 0 {
			return p
		}
		time.Sleep(10 * time.Millisecond)
	}
	r.fail("nobody is primary")
	return -1
}

// view is the primary's.
func (r *lossRun) view() *core.View {
	p := r.primary()
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.crowd.m[p].View()
}

// at is the place of a running member, negative if it does not run.
func (r *lossRun) at(member core.Member) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	for i, m := range r.crowd.m {
		if m != nil && m.self.ID == member.ID && r.running(i) {
			return i
		}
	}
	return -1
}
