package core

import (
	"fmt"
	"slices"
	"time"
)

// The model that the search explores: three real cores, a queue of what is to happen, and monitors of the invariants. Model states are never changed once made: an action makes a new one, which shares all that it does not touch.

// unit is one step of the model's clock. Waits are one or two units, so that few steps reach all of them.
const unit = time.Second

func modelTiming() Timing {
	return Timing{
		TickInterval: unit, HeartbeatInterval: unit, PrimaryTimeout: 2 * unit, ReplyTimeout: 2 * unit, ResendInterval: 100 * unit, DiskTimeout: 100 * unit, SnapshotTimeout: 100 * unit,
		TransferTimeout: 2 * unit, WitnessTimeout: 4 * unit, ViewChangeBackoff: 0, RankDelay: unit, LateReplyWait: unit, RejectionBackoff: 2 * unit, ForgetAfter: 100 * unit, LeaveMargin: 0,
	}
}

// happening is something that the default schedule lets happen in its order: a message arrives, a disk job ends, a clock ticks.
type happening struct {
	node    int
	message Message // nil: the disk's next job ends, or a tick
	tick    bool
	digest  uint64  // of the message
	calls   callSet // that a question for confirmation, or the answer to it, serves
}

// arrival is the arrival of a message.
func arrival(node int, message Message) happening {
	h := hasher{}
	digest(&h, &message)
	return happening{node: node, message: message, digest: h.sum()}
}

func (h *hasher) happenings(list []happening) {
	h.number(uint64(len(list)))
	for _, one := range list {
		h.number(uint64(one.node))
		h.number(one.digest)
		digest(h, &one.tick)
		digest(h, &one.calls)
	}
}

// modelNode is one member. It is shared between model states and never changed.
type modelNode struct {
	core        *Core
	machine     *text
	disk        storedDisk
	incarnation int
	born        time.Duration
	up          bool
	digest      uint64
	digestedAt  time.Duration // the clock for which the digest holds
}

// budgets bound what may happen beyond the default schedule.
type budgets struct {
	Deviations int // all together
	Faults     int // crash, lost disk, cut, freeze
	Lost       int
	Repeated   int
	Late       int
	SlowDisk   int // ends of disk jobs that come at any later moment
	Early      int // time steps and calls while something else is under way
	Time       int // steps of time
}

// faultKind is what may befall one member.
type faultKind uint8

const (
	crashFault faultKind = iota + 1
	wipeFault
	cutFault
	muteFault // what it sends is lost
	freezeFault
	powerFault // all at once
)

// model is one state of the whole.
type model struct {
	rules  *modelRules
	now    time.Duration
	nodes  [3]*modelNode
	queue  []happening
	parked []happening // late or repeated messages
	left   budgets
	cut    int // member cut off, or -1
	mute   int
	frozen int
	calls  []callState
	watch  monitors

	tokenBase Token   // tokens up to here were used by the first command
	cause     callSet // of the message that is being handled
}

// modelRules are the same for all states of a search.
type modelRules struct {
	calls    []callKind
	faults   []faultKind
	starting bool   // the search begins with the first start
	scratch  []byte // of the digests; a search runs in one goroutine
}

func (r *modelRules) hasher() hasher {
	return hasher{buffer: r.scratch[:0], far: 6 * unit}
}

// done takes the scratch space back and gives the sum.
func (r *modelRules) done(h *hasher) uint64 {
	r.scratch = h.buffer
	return h.sum()
}

func modelMember(i int, id MemberID) Member {
	return Member{ID: id, Address: fmt.Sprint("m", i), Zone: fmt.Sprint("z", i)}
}

func (m *model) config(i int, disk *storedDisk, machine *text) Config {
	return Config{
		Self: modelMember(i, disk.id), Seeds: []string{"m0", "m1", "m2"}, MaxFailures: 1, MaxDomainFailures: 1,
		Bootstrap: disk.first, StateMachine: machine, Timing: modelTiming(), Limits: DefaultLimits(),
	}
}

// startingModel starts three members at once.
func startingModel(rules *modelRules) *model {
	m := &model{rules: rules, cut: -1, mute: -1, frozen: -1}
	for i := range m.nodes {
		disk := storedDisk{id: MemberID(11 * (i + 1)), first: true}
		m = m.start(i, disk, 0)
	}
	return m
}

// firstModel starts three members and lets them make the first view and one entry.
func firstModel(rules *modelRules) *model {
	m := startingModel(&modelRules{calls: []callKind{writeCall}}).settle()
	for m.primaries() == nil {
		m = m.advance().settle()
	}
	m = m.call(m.primaries()[0]).settle()
	for range 4 {
		m = m.advance().settle()
	}
	if !m.calls[0].done || m.calls[0].outcome != Committed {
		panic("the first command was not committed")
	}
	first := *m
	first.rules = rules
	first.calls = nil
	first.tokenBase = 1
	return &first
}

// settle lets the default schedule run until nothing is left to happen.
func (m *model) settle() *model {
	for len(m.queue) > 0 {
		m = m.runHead()
	}
	return m
}

// copied shares the nodes and copies the rest.
func (m *model) copied() *model {
	out := *m
	out.queue = slices.Clone(m.queue)
	out.parked = slices.Clone(m.parked)
	out.calls = slices.Clone(m.calls)
	out.watch = m.watch.copied()
	return &out
}

// clone copies a node so that it can be stepped.
func (n *modelNode) clone() *modelNode {
	out := *n
	out.digest = 0
	out.disk.entries = slices.Clone(n.disk.entries)
	out.disk.pending = slices.Clone(n.disk.pending)
	if n.core == nil {
		return &out
	}
	out.machine = &text{content: n.machine.content}
	out.core = copyCore(n.core)
	out.core.config.StateMachine = out.machine
	return &out
}

// step gives an event to a node of a fresh copy of the model.
func (m *model) step(i int, e Event) {
	node := m.nodes[i].clone()
	m.nodes[i] = node
	m.bindOrders(i)
	for _, effect := range node.core.Step(m.now-node.born, e) {
		m.carryOut(i, effect)
	}
	m.watch.check(m)
}

func memberIndex(address string) int { return int(address[1] - '0') }

func (m *model) carryOut(i int, effect Effect) {
	node := m.nodes[i]
	switch effect := effect.(type) {
	case Send:
		m.watch.sent(m, effect.Message)
		to := memberIndex(effect.Address)
		if m.cut == i || m.cut == to || m.mute == i {
			return
		}
		sent := arrival(to, effect.Message)
		switch effect.Message.(type) {
		case Confirm:
			sent.calls = m.callsOf(i)
		case ConfirmReply:
			sent.calls = m.cause
		}
		m.queue = append(m.queue, sent)
	case SaveRegister, AppendEntry, SaveSnapshot:
		node.disk.pending = append(node.disk.pending, effect)
		m.queue = append(m.queue, happening{node: i})
	case BecamePrimary:
		m.watch.becamePrimary(m, i, effect.Epoch)
	case LearnedView:
		m.watch.learnedBy(i, effect.View)
	case Result:
		m.answered(effect)
	}
}

// start begins an incarnation of a member.
func (m *model) start(i int, disk storedDisk, incarnation int) *model {
	out := m.copied()
	disk.pending = nil
	machine := &text{}
	stored := Stored{Register: disk.register, Snapshot: disk.snapshot, Entries: slices.Clone(disk.entries), Appendable: disk.snapshot != nil}
	c, err := New(out.config(i, &disk, machine), stored)
	if err != nil {
		out.watch.fail("a disk can't be read: %v", err)
		return out
	}
	out.nodes[i] = &modelNode{core: c, machine: machine, disk: disk, incarnation: incarnation, born: out.now, up: true}
	out.step(i, Started{})
	return out
}

// crash ends an incarnation; of the disk jobs under way the first ones, as many as are completed, are on disk.
func (m *model) crash(i, completed int) *model {
	out := m.copied()
	node := out.nodes[i].clone()
	out.nodes[i] = node
	for _, job := range node.disk.pending[:completed] {
		_ = node.disk.apply(job)
		out.watch.acceptedOnDisk(node.disk.id, node.disk.register)
	}
	node.disk.pending = nil
	node.up = false
	node.core = nil
	node.machine = nil
	out.queue = slices.DeleteFunc(out.queue, func(h happening) bool { return h.node == i })
	out.parked = slices.DeleteFunc(out.parked, func(h happening) bool { return h.node == i && h.message == nil })
	for j := range out.calls {
		if out.calls[j].node == i && !out.calls[j].done {
			out.calls[j].done = true
			out.calls[j].outcome = Indeterminate
		}
	}
	return out
}

// primaries are the members that take themselves for the primary.
func (m *model) primaries() []int {
	var out []int
	for i, node := range m.nodes {
		if node.up && node.core.isPrimary {
			out = append(out, i)
		}
	}
	return out
}

// advance moves the clock and lets all members notice it.
func (m *model) advance() *model {
	out := m.copied()
	out.now += unit
	for i, node := range out.nodes {
		if node.up {
			out.queue = append(out.queue, happening{node: i, tick: true})
		}
	}
	return out
}

// head is the place of what happens next by the default schedule: the oldest thing at a member that is not frozen.
func (m *model) head() int {
	return slices.IndexFunc(m.queue, func(h happening) bool { return h.node != m.frozen })
}

func (m *model) runHead() *model {
	i := m.head()
	out := m.copied()
	h := out.queue[i]
	out.queue = slices.Delete(out.queue, i, i+1)
	out.happen(h)
	return out
}

func (m *model) happen(h happening) {
	node := m.nodes[h.node]
	switch {
	case !node.up:
	case h.tick:
		m.step(h.node, Tick{})
	case h.message != nil:
		m.recordConfirmation(h)
		m.cause = h.calls
		m.step(h.node, Received{h.message})
		m.cause = 0
	case len(node.disk.pending) > 0:
		m.diskEnds(h.node)
	}
}

func (m *model) diskEnds(i int) {
	node := m.nodes[i].clone()
	m.nodes[i] = node
	job := node.disk.pending[0]
	node.disk.pending = node.disk.pending[1:]
	err := node.disk.apply(job)
	m.watch.acceptedOnDisk(node.disk.id, node.disk.register)
	m.step(i, DiskDone{Token: jobToken(job), Err: err})
}

// key digests the state, budgets and monitors included.
func (m *model) key() uint64 {
	for _, node := range m.nodes {
		node.key(m.rules, m.now)
	}
	h := m.rules.hasher()
	for _, node := range m.nodes {
		h.number(node.digest)
	}
	h.happenings(m.queue)
	h.happenings(m.parked)
	digest(&h, &m.left)
	h.number(uint64(m.cut + 1))
	h.number(uint64(m.mute + 1))
	h.number(uint64(m.frozen + 1))
	digest(&h, &m.calls)
	digest(&h, &m.watch)
	return m.rules.done(&h)
}

// key digests a node; it is kept, as most nodes stay the same from one state to the next.
func (n *modelNode) key(rules *modelRules, now time.Duration) {
	if n.digest != 0 && n.digestedAt == now {
		return
	}
	h := rules.hasher()
	h.now = now - n.born
	h.number(uint64(n.incarnation))
	digest(&h, &n.disk)
	if n.up {
		h.text(n.machine.content)
		digest(&h, n.core)
	}
	n.digest = rules.done(&h) | 1
	n.digestedAt = now
}
