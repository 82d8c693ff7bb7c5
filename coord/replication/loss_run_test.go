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
	syncTime        = 4 * time.Second         // a member counts as lost so long after its return or start
	serviceTime     = 2500 * time.Millisecond // a command is acknowledged so soon after a loss
	proposeInterval = 50 * time.Millisecond   // between two commands
	downTime        = 700 * time.Millisecond  // of the member that is lost at a step
)

// never is the end of a loss that does not end.
var never = time.Date(9999, 1, 1, 0, 0, 0, 0, time.UTC)

// furtherLoss says which member is lost at which step, and whether its disk is.
type furtherLoss struct {
	step   int
	victim int
	wiped  bool
}

func (f furtherLoss) String() string {
	disk := "intact"
	if f.wiped {
		disk = "wiped"
	}
	return fmt.Sprintf("step %d, m%d, %s", f.step, f.victim, disk)
}

// acknowledgedCommand is one that was acknowledged.
type acknowledgedCommand struct {
	name string
	at   time.Time
}

// lossRun is one run of a scenario, with a further loss at one of its steps. A step is the arrival of a message while a further loss must be tolerated.
type lossRun struct {
	t            *testing.T
	cluster      *cluster
	usualPerStep int          // of the messages that belong to no change of view, every so many is a step
	loss         *furtherLoss // nil: steps are only counted

	mu            sync.Mutex // guards the cluster's members and all that follows
	tolerable     int        // members that may be lost at once
	lostUntil     []time.Time
	losses        []time.Time // when members were lost
	lastFault     time.Time   // when a member was last lost, or came back
	leaving       map[int]bool
	counting      bool
	usualMessages int // messages of no change
	steps         int
	proposed      int // commands
	acknowledged  []acknowledgedCommand
	events        []string
	busy          sync.WaitGroup
	ended         chan struct{}
	endOnce       sync.Once
}

func newLossRun(t *testing.T, c *cluster, every int, loss *furtherLoss) *lossRun {
	r := &lossRun{
		t: t, cluster: c, usualPerStep: every, loss: loss,
		tolerable: c.maxFailures, lostUntil: make([]time.Time, len(c.members)), lastFault: time.Now(),
		leaving: map[int]bool{}, ended: make(chan struct{}),
	}
	c.network.mu.Lock()
	c.network.arrived = r.arrived
	c.network.mu.Unlock()
	r.busy.Go(r.proposeRegularly)
	return r
}

func (r *lossRun) logf(format string, arguments ...any) {
	r.events = append(r.events, time.Now().Format("05.000 ")+fmt.Sprintf(format, arguments...))
}

// proposeRegularly sends a command to whoever says that it is primary, again and again.
func (r *lossRun) proposeRegularly() {
	ticker := time.NewTicker(proposeInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			r.mu.Lock()
			if primary := r.cluster.primary(); primary >= 0 {
				r.proposed++
				name, m, own := fmt.Sprint(r.proposed), r.cluster.members[primary], r.cluster.incarnations[primary]
				r.busy.Go(func() { r.propose(name, m, own) })
			}
			r.mu.Unlock()
		case <-r.ended:
			return
		}
	}
}

func (r *lossRun) propose(name string, m *Member, own *incarnation) {
	err := m.Propose(time.Now().Add(callTimeout), func() ([]byte, error) { return []byte(name), nil })
	r.mu.Lock()
	defer r.mu.Unlock()
	if err == nil && !own.stopped.Load() {
		r.acknowledged = append(r.acknowledged, acknowledgedCommand{name, time.Now()})
	}
}

// belongsToChange reports whether a message is of a change of view, of a transfer of state or of leaving.
func belongsToChange(m core.Message) bool {
	switch m.(type) {
	case core.Hello, core.HelloReply, core.Heartbeat, core.HeartbeatReply, core.Append, core.AppendReply, core.Confirm, core.ConfirmReply:
		return false
	}
	return true
}

// arrived counts the steps, and causes the further loss at the step that is chosen for it.
func (r *lossRun) arrived(m core.Message) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.counting {
		return
	}
	if !belongsToChange(m) {
		r.usualMessages++
		if r.usualMessages%r.usualPerStep != 0 {
			return
		}
	}
	if r.lostNow()+1 > r.tolerable {
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
	for i := range r.cluster.members {
		if r.running(i) && !r.lostUntil[i].After(time.Now()) {
			running = append(running, i)
		}
	}
	victim := running[r.loss.victim%len(running)]
	r.logf("at %s from %s: further loss", typeName(m), m.Route().From.Address)
	r.stop(victim, r.loss.wiped)
	time.AfterFunc(downTime, func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		if r.lostUntil[victim].Equal(never) && !r.leaving[victim] {
			r.start(victim)
		}
	})
}

func (r *lossRun) running(i int) bool {
	return r.cluster.contexts[i] != nil && r.cluster.contexts[i].Err() == nil
}

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

func (r *lossRun) stop(i int, wiped bool) {
	view := r.cluster.members[i].View()
	r.logf("m%d is lost, wiped %v, its view %s", i, wiped, viewText(view))
	r.cluster.stop(i)
	if wiped {
		r.cluster.wipe(i)
	}
	r.lostUntil[i] = never
	r.lastFault = time.Now()
	r.losses = append(r.losses, r.lastFault)
}

func (r *lossRun) start(i int) {
	r.cluster.start(i)
	r.lostUntil[i] = time.Now().Add(syncTime)
	r.lastFault = time.Now()
	r.logf("m%d starts", i)
}

func viewText(view *core.View) string {
	if view == nil {
		return "none"
	}
	var replicas, witnesses []string
	for _, m := range view.Replicas() {
		replicas = append(replicas, m.Address)
	}
	for _, m := range view.Witnesses {
		witnesses = append(witnesses, fmt.Sprint(m.Address, "/", m.ID))
	}
	return fmt.Sprint(view.Epoch, " replicas ", replicas, " witnesses ", witnesses)
}

// locked runs f with mu locked.
func (r *lossRun) locked(f func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	f()
}

// lose waits until so many more members may be lost, and loses them.
func (r *lossRun) lose(wiped bool, members ...int) {
	for {
		r.mu.Lock()
		fresh := slices.DeleteFunc(slices.Clone(members), func(i int) bool { return !r.running(i) })
		if r.lostNow()+len(fresh) <= r.tolerable {
			for _, i := range fresh {
				r.stop(i, wiped)
			}
			r.mu.Unlock()
			return
		}
		r.mu.Unlock()
		time.Sleep(10 * time.Millisecond)
	}
}

// restart starts a member that was lost.
func (r *lossRun) restart(i int) {
	r.locked(func() {
		if !r.running(i) {
			r.start(i)
		}
	})
}

// add starts an empty machine at an address of its own.
func (r *lossRun) add(zone string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	i := r.cluster.add(zone)
	r.lostUntil = append(r.lostUntil, time.Time{})
	r.start(i)
	return i
}

// replaced ends the counting of a lost member that does not come back: its successor counts as lost until it has synced.
func (r *lossRun) replaced(i int) { r.locked(func() { r.lostUntil[i] = time.Time{} }) }

// waitForLosses waits until no more than the given number count as lost.
func (r *lossRun) waitForLosses(lost int) {
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
	m := r.cluster.members[i]
	r.leaving[i] = true
	r.logf("m%d leaves", i)
	r.mu.Unlock()
	complete := m.Leave(time.Now().Add(leaveTimeout))
	r.locked(func() { r.logf("m%d has left: %v", i, complete) })
	if !complete {
		r.lose(wiped, i)
		return
	}
	r.locked(func() {
		if r.running(i) {
			r.stop(i, wiped)
		}
		r.lostUntil[i] = time.Time{}
	})
}

// primary waits for a primary and returns its index.
func (r *lossRun) primary() int {
	for range 500 {
		r.mu.Lock()
		primary := r.cluster.primary()
		r.mu.Unlock()
		if primary >= 0 {
			return primary
		}
		time.Sleep(10 * time.Millisecond)
	}
	r.fail("nobody is primary")
	return -1
}

// view returns the view of the primary.
func (r *lossRun) view() *core.View {
	primary := r.primary()
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.cluster.members[primary].View()
}

// indexOf is the index of a running member, negative if it does not run.
func (r *lossRun) indexOf(member core.Member) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	for i, m := range r.cluster.members {
		if m != nil && m.self.ID == member.ID && r.running(i) {
			return i
		}
	}
	return -1
}
