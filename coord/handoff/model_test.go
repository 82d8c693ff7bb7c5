package handoff

import (
	"bytes"
	"flag"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/stretchr/testify/require"
)

// The model explores every order of one job between two nodes over the real machines. A message is delivered within its step of
// time and in the order of sending, as a channel does. Each fault either keeps one back for any time (for ever: it is lost; past
// others: they change order) or adds a copy that is kept back. Nodes may die, restart or freeze a bounded number of times, at any
// point, and thaw at any point; a restarted owner takes a new job under the number of the old one. A reset of the channel loses all
// that is under way at once. Moments are relative in a state, so that the exploration has an end though time has none.
const (
	modelOffers = 2
	modelParts  = 1
)

var (
	modelFaults   = flag.Int("model.faults", 0, "explore so many faults beside one death or freeze, instead of the usual sizes")
	modelDeadline = time.Duration(3)
	modelBounds   = Bounds{AnswerTimeout: 1, AcceptTimeout: 1, RenewInterval: 1, Lease: 2, Tombstones: 1}
)

type inFlight struct {
	message   Message
	toOwner   bool
	delayed   bool
	undecided bool // its fate is not decided yet
}

type runState struct {
	owner      uint64 // the owner's incarnation
	ticket     Ticket // zero: run by the owner
	open       bool   // it may still begin work
	mayHaveRun bool
	parts      uint64
}

type model struct {
	now        time.Duration
	repeatable bool
	owner      *Owner
	taker      *Taker
	ownerDead  bool
	frozen     [2]bool
	crashes    int // deaths, restarts and freezes that may still come
	resets     int // resets of the channel that may still come
	faults     int
	net        []inFlight
	pending    bool
	offers     int
	runs       []runState
	outcome    Outcome
	deadline   time.Duration
	lastFrom   Ticket
	delivered  uint64
	violation  string
}

func (m *model) clone() *model {
	c := *m
	o, t := *m.owner, *m.taker
	o.jobs, t.entries = slices.Clone(o.jobs), slices.Clone(t.entries)
	for i, j := range o.jobs {
		k := *j
		o.jobs[i] = &k
	}
	for i, e := range t.entries {
		k := *e
		t.entries[i] = &k
	}
	t.tombstones = slices.Clone(t.tombstones)
	c.owner, c.taker = &o, &t
	c.net = append([]inFlight{}, m.net...)
	c.runs = append([]runState{}, m.runs...)
	return &c
}

func bits(bs ...bool) (x byte) {
	for _, b := range bs {
		x <<= 1
		if b {
			x |= 1
		}
	}
	return x
}

// key tells states apart; moments count from now, and not beyond what can still matter.
func (m *model) key() uint64 {
	rel := func(x time.Duration) byte { return byte(max(-4, min(x-m.now, 12)) + 4) }
	b := []byte{bits(m.ownerDead, m.frozen[0], m.frozen[1], m.pending), byte(m.crashes), byte(m.resets), byte(m.owner.incarnation), byte(m.faults), byte(m.offers), byte(m.outcome),
		byte(m.lastFrom.Incarnation), byte(m.lastFrom.Number), byte(m.delivered), byte(m.taker.incarnation), byte(m.taker.lastTicket)}
	for _, j := range m.owner.jobs {
		b = append(b, byte(j.attempts), byte(j.lentAttempts), bits(j.mayHaveRun), byte(j.stage), byte(j.offerNumber), byte(j.ticket.Incarnation), byte(j.ticket.Number), byte(j.parts), rel(j.deadline))
		switch j.stage {
		case offered:
			b = append(b, rel(j.offerExpires))
		case remote:
			b = append(b, rel(j.lastContact), rel(j.lastRenewed))
		}
	}
	for _, e := range m.taker.entries {
		b = append(b, byte(e.offerID.owner), byte(e.ticket), byte(e.offerID.number), byte(e.status), byte(e.parts), byte(e.result.Kind), byte(e.result.Number))
		switch e.status {
		case accepted:
			b = append(b, rel(e.expires))
		case running:
			b = append(b, rel(e.lastContact))
		}
	}
	for _, e := range m.taker.tombstones {
		b = append(b, byte(e))
	}
	b = append(b, 254)
	for _, r := range m.runs {
		b = append(b, byte(r.owner), byte(r.ticket.Incarnation), byte(r.ticket.Number), bits(r.open, r.mayHaveRun), byte(r.parts))
	}
	b = append(b, 254)
	fs := make([][8]byte, len(m.net))
	for i, f := range m.net {
		fs[i] = [8]byte{bits(f.delayed, f.toOwner, f.undecided), byte(f.message.Owner), byte(f.message.Kind), byte(f.message.OfferNumber), byte(f.message.Ticket.Incarnation), byte(f.message.Ticket.Number), byte(f.message.Number), byte(f.message.Attempts)}
	}
	slices.SortStableFunc(fs, func(x, y [8]byte) int { // late ones are a set, the others keep their order by direction
		if x[0]>>1 != y[0]>>1 || x[0]>>2 == 0 {
			return int(x[0]>>1) - int(y[0]>>1)
		}
		return bytes.Compare(x[:], y[:])
	})
	for _, f := range fs {
		b = append(b, f[:]...)
	}
	return xxhash.Sum64(b)
}

func (m *model) fail(why string) { m.violation = why }

func (m *model) begin(owner uint64, t Ticket) {
	for _, r := range m.runs {
		if r.owner != owner {
			continue
		}
		if !m.repeatable && (r.open || r.mayHaveRun) {
			m.fail("a second run")
		}
		if t != (Ticket{}) && r.ticket == t {
			m.fail("one ticket run twice")
		}
	}
	if owner == m.owner.incarnation && m.outcome == Rejected {
		m.fail("run after the promise")
	}
	if owner == m.owner.incarnation && m.now >= m.deadline+modelBounds.AcceptTimeout {
		m.fail("begun after its deadline")
	}
	m.runs = append(m.runs, runState{owner: owner, ticket: t, open: true, mayHaveRun: t == Ticket{}})
}

func (m *model) finish(as Outcome) {
	if m.outcome != 0 {
		m.fail("two final answers")
	}
	m.outcome = as
	if as == Rejected {
		for _, r := range m.runs {
			if r.owner == m.owner.incarnation && (r.open || r.mayHaveRun) {
				m.fail("a promise that does not hold")
			}
		}
	}
}

// apply carries out effects and judges each.
func (m *model) apply(effects []Effect, byOwner bool) {
	for _, f := range effects {
		switch f.Action {
		case Send:
			if byOwner || !m.ownerDead {
				m.net = append(m.net, inFlight{message: f.Message, toOwner: !byOwner, undecided: m.faults > 0})
			}
		case Begin:
			m.begin(f.Message.Owner, f.Ticket)
		case Stop:
			m.stop(f.Ticket)
		case Requeue:
			m.pending = true
		case Deliver:
			m.deliver(f.Message)
		case End:
			if f.Outcome == Complete && (m.lastFrom != f.Message.Ticket || m.delivered != modelParts) {
				m.fail("a complete response with a part missing")
			}
			m.finish(f.Outcome)
		}
	}
}

// stop cancels a run, which may have begun.
func (m *model) stop(ticket Ticket) {
	for i := range m.runs {
		if m.runs[i].ticket == ticket {
			m.runs[i].open, m.runs[i].mayHaveRun = false, true
		}
	}
}

// deliver judges a part that the client gets.
func (m *model) deliver(part Message) {
	if m.outcome != 0 {
		m.fail("a part after the end")
	}
	if m.lastFrom != part.Ticket {
		if m.lastFrom != (Ticket{}) && !m.repeatable {
			m.fail("parts of two runs")
		}
		m.lastFrom, m.delivered = part.Ticket, 0
	}
	m.delivered++
	if part.Number != m.delivered {
		m.fail("a part out of order")
	}
}

// settle decides the fate of what is under way once no fault is left.
func (m *model) settle() {
	for i := range m.net {
		m.net[i].undecided = m.net[i].undecided && m.faults > 0
	}
}

// normalize leaves out what can have no effect in any state that follows: messages to nobody or about jobs that have ended, and
// what the judge no longer asks for.
func (m *model) normalize() {
	_, j := m.owner.find(1)
	if j == nil {
		m.lastFrom, m.delivered, m.offers, m.pending = Ticket{}, 0, 0, false
	}
	m.net = slices.DeleteFunc(m.net, func(f inFlight) bool {
		if f.toOwner {
			drops := f.message.Kind == Accept || f.message.Kind == Started || f.message.Kind == Part
			return m.ownerDead || f.message.Owner != m.owner.incarnation || !drops && (j == nil || f.message.OfferNumber < j.offerNumber)
		}
		if f.message.Kind != Drop || f.message.Ticket == (Ticket{}) {
			return false
		}
		e := m.taker.find(f.message.Ticket.Number)
		return f.message.Ticket.Incarnation != m.taker.incarnation || e == nil || e.status == ended
	})
}

// isOver reports whether nothing can happen any more.
func (m *model) isOver() bool {
	w, r := m.taker.Jobs()
	return len(m.net) == 0 && w+r == 0 && (m.ownerDead || m.outcome != 0)
}

// after is the state after a step of a copy.
func (m *model) after(step func(c *model)) *model {
	c := m.clone()
	step(c)
	c.normalize()
	return c
}

// successors lists every state that may follow. The fates of new messages are decided first, one by one.
func (m *model) successors() []*model {
	for i, f := range m.net {
		if f.undecided {
			return m.afterFate(i, f)
		}
	}
	if m.isOver() {
		return nil
	}
	out, prompt := m.afterDelivery()
	if m.pending && !m.ownerDead && !m.frozen[0] && m.outcome == 0 {
		out = append(out, m.afterPlacement()...)
	}
	out = append(out, m.afterRuns()...)
	if m.resets > 0 && len(m.net) > 0 {
		out = append(out, m.after(func(c *model) {
			c.resets--
			c.net = slices.DeleteFunc(c.net, func(f inFlight) bool { return !f.delayed })
		}))
	}
	if m.crashes > 0 {
		out = append(out, m.afterCrash()...)
	}
	out = append(out, m.afterTick()...)
	if !prompt {
		out = append(out, m.after((*model).passTime))
	}
	return out
}

// afterFate lists what may become of a new message: nothing, it is delayed, or a delayed copy is added.
func (m *model) afterFate(i int, f inFlight) []*model {
	return []*model{
		m.after(func(c *model) { c.net[i].undecided = false }),
		m.after(func(c *model) { c.net[i].undecided, c.net[i].delayed = false, true; c.faults--; c.settle() }),
		m.after(func(c *model) {
			c.net = append(c.net, inFlight{message: f.message, toOwner: f.toOwner, delayed: true, undecided: c.faults > 1})
			c.net[i].undecided = false
			c.faults--
			c.settle()
		}),
	}
}

// canReach reports whether a message can be delivered now.
func (m *model) canReach(f inFlight) bool {
	if f.toOwner {
		return !m.ownerDead && !m.frozen[0]
	}
	return !m.frozen[1]
}

// afterDelivery lists the states after one message: a delayed one, or the first of a direction. prompt says that one which
// is not delayed can be delivered.
func (m *model) afterDelivery() (out []*model, prompt bool) {
	first := [2]bool{}
	for i, f := range m.net {
		direction := bits(f.toOwner)
		if !m.canReach(f) || !f.delayed && first[direction] {
			continue
		}
		prompt = prompt || !f.delayed
		first[direction] = first[direction] || !f.delayed
		out = append(out, m.after(func(c *model) {
			c.net = append(c.net[:i:i], c.net[i+1:]...)
			if f.toOwner {
				c.apply(c.owner.Step(c.now, f.message), true)
			} else {
				c.apply(c.taker.Step(c.now, f.message), false)
			}
		}))
	}
	return out, prompt
}

// afterPlacement lists what an owner may do with a pending job.
func (m *model) afterPlacement() (out []*model) {
	if m.offers < modelOffers {
		out = append(out, m.after(func(c *model) {
			c.pending = false
			c.offers++
			c.apply(c.owner.Offer(c.now, 1, "taker", nil), true)
		}))
	}
	return append(out,
		m.after(func(c *model) {
			c.pending = false
			lost, _, ok := c.owner.Reclaim(c.now, 1)
			if !ok {
				c.apply(c.owner.GiveUp(1), true)
				return
			}
			if lost && !c.repeatable {
				c.fail("run here after a loss")
			}
			c.begin(c.owner.incarnation, Ticket{})
			c.lastFrom = Ticket{}
			c.finish(Complete)
		}),
		m.after(func(c *model) { c.pending = false; c.apply(c.owner.GiveUp(1), true) }))
}

// afterRuns lists what may come of the taker's open runs.
func (m *model) afterRuns() (out []*model) {
	for i, r := range m.runs {
		if r.open && r.ticket != (Ticket{}) && r.ticket.Incarnation == m.taker.incarnation && !m.frozen[1] {
			out = append(out, m.afterRun(i, r)...)
		}
	}
	return out
}

// afterRun lists what may come of one of them.
func (m *model) afterRun(i int, r runState) (out []*model) {
	if r.parts < modelParts {
		out = append(out, m.after(func(c *model) {
			c.runs[i].parts++
			c.runs[i].mayHaveRun = true
			c.apply(c.taker.SendPart(r.ticket.Number, nil), false)
		}))
	} else {
		out = append(out, m.after(func(c *model) {
			c.runs[i].open = false
			c.apply(c.taker.Finish(r.ticket.Number, Done, 1), false)
		}))
	}
	if !r.mayHaveRun {
		out = append(out, m.after(func(c *model) {
			c.runs[i].open = false
			c.apply(c.taker.Finish(r.ticket.Number, Returned, 1), false)
		}))
	}
	return out
}

// afterTick lists the states after a thaw or a look at the time.
func (m *model) afterTick() (out []*model) {
	for i := range m.frozen {
		if m.frozen[i] {
			out = append(out, m.after(func(c *model) { c.frozen[i] = false }))
		}
	}
	if !m.frozen[0] && !m.ownerDead {
		out = append(out, m.after(func(c *model) { c.apply(c.owner.Tick(c.now), true) }))
	}
	if !m.frozen[1] {
		out = append(out, m.after(func(c *model) { c.apply(c.taker.Tick(c.now), false) }))
	}
	return out
}

// passTime lets a step of time pass and judges what must have happened by then.
func (m *model) passTime() {
	m.now++
	if !m.frozen[0] && !m.ownerDead {
		m.apply(m.owner.Tick(m.now), true)
		if m.now >= m.deadline && m.outcome == 0 {
			m.fail("a job without a final answer at its deadline")
		}
	}
	if m.frozen[1] {
		return
	}
	m.apply(m.taker.Tick(m.now), false)
	for _, e := range m.taker.entries {
		if e.status == accepted && m.now >= e.expires || e.status == running && m.now-e.lastContact >= modelBounds.Lease {
			m.fail("a job is kept beyond its lease")
		}
	}
	if len(m.taker.tombstones) > modelBounds.Tombstones || len(m.taker.entries) > modelBounds.Tombstones+m.taker.capacity {
		m.fail("more is remembered than the bound")
	}
}

// afterCrash lists the states after one death, restart or freeze.
func (m *model) afterCrash() (out []*model) {
	try := func(f func(c *model)) {
		c := m.clone()
		c.crashes--
		f(c)
		c.normalize()
		out = append(out, c)
	}
	if m.outcome == 0 && !m.ownerDead {
		try(func(c *model) {
			c.ownerDead = true
			c.owner.jobs, c.pending = nil, false
		})
		try(func(c *model) { // its clients see their connections end; another asks for something else
			c.owner = NewOwner(c.owner.incarnation+1, modelBounds)
			c.deadline = c.now + modelDeadline
			c.owner.Take(c.deadline, c.repeatable, 2)
			c.pending, c.offers, c.frozen[0] = true, 0, false
			c.lastFrom, c.delivered = Ticket{}, 0
		})
	}
	try(func(c *model) {
		c.taker = NewTaker(c.taker.incarnation+1, modelBounds)
		c.taker.SetCapacity(1)
		c.frozen[1] = false
		for i := range c.runs {
			if c.runs[i].open { // its replica may go on
				c.runs[i].open, c.runs[i].mayHaveRun = false, true
			}
		}
	})
	for i := range m.frozen {
		if m.frozen[i] || i == 0 && (m.outcome != 0 || m.ownerDead) { // an owner without a job has nothing left to miss
			continue
		}
		try(func(c *model) { c.frozen[i] = true })
	}
	return out
}

// explore judges every state that can be reached.
func explore(t *testing.T, repeatable bool, faults, crashes, resets int) {
	first := &model{repeatable: repeatable, owner: NewOwner(7, modelBounds), taker: NewTaker(100, modelBounds), faults: faults, crashes: crashes, resets: resets,
		deadline: modelDeadline, pending: true}
	first.taker.SetCapacity(1)
	require.Equal(t, uint64(1), first.owner.Take(modelDeadline, repeatable, 2))
	seen := map[uint64]bool{first.key(): true}
	ends := map[Outcome]int{}
	todo := []*model{first}
	for len(todo) > 0 {
		m := todo[len(todo)-1]
		todo = todo[:len(todo)-1]
		for _, c := range m.successors() {
			k := c.key()
			if seen[k] {
				continue
			}
			seen[k] = true
			if c.violation != "" {
				t.Fatalf("%s: %+v", c.violation, *c)
			}
			if c.outcome != m.outcome {
				ends[c.outcome]++
			}
			todo = append(todo, c)
		}
	}
	t.Logf("repeatable=%v faults=%d crashes=%d resets=%d: %d states, ends %v", repeatable, faults, crashes, resets, len(seen), ends)
	for _, o := range []Outcome{Complete, Rejected, Indeterminate, DeadlineExceeded} {
		require.NotZero(t, ends[o], "outcome %d is never reached", o)
	}
}

// TestModel_EveryOrder_KeepsRules explores one fault beside a crash (a death, restart or freeze) and a reset; two crashes beside a reset; two faults
// beside a crash where a second run breaks a rule; and three faults alone. It takes half a minute. -model.faults=3 explores three
// faults beside a crash and a reset for both, which takes minutes.
func TestModel_EveryOrder_KeepsRules(t *testing.T) {
	for _, repeatable := range []bool{false, true} {
		t.Run(fmt.Sprintf("repeatable=%v", repeatable), func(t *testing.T) {
			t.Parallel()
			if *modelFaults > 0 {
				explore(t, repeatable, *modelFaults, 1, 1)
				return
			}
			explore(t, repeatable, 1, 1, 1)
			explore(t, repeatable, 0, 2, 1)
			if !repeatable {
				explore(t, repeatable, 2, 1, 0)
			}
			explore(t, repeatable, 3, 0, 0)
		})
	}
}
