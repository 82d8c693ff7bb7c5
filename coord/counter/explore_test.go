package counter_test

import (
	"errors"
	"flag"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"shaletrestle/coord/counter"
)

var exploreDepth = flag.Int("counter.depth", 4, "steps of each interleaving that is explored")

// exploration is a group of three members of which one may be lost, whose next step is chosen from outside. Pings and their
// answers pass at once; pushes, pulls, their answers and writes wait to be chosen. Every acknowledgement is held against
// the contents of the disks.
type exploration struct {
	now       time.Duration
	members   [3]*explored
	calls     []exploredCall
	lastID    uint64
	cut       bool // the first member from the others
	cutBefore bool
	wiped     bool
	lostCopy  bool // the lost disk had the addition, and nobody was pinged since: it is the one that may be lost
	cycled    bool
	asked     int // additions asked for so far
	mayCount  bool
	rejected  bool // some call was rejected
	violation string
}

type explored struct {
	member      counter.Member
	core        *counter.Core
	incarnation int
	startedAt   time.Duration
	disk        counter.Stored
	writing     *counter.Write
	lastToken   counter.Token
	replies     map[counter.Token]func(counter.Message)
}

// exploredCall is a push or a pull on its way there, or its answer on its way back.
type exploredCall struct {
	from, to       int
	fromLife       int
	request, reply counter.Message
}

var exploredAddition = counter.Addition{Counter: "t", ID: "x", Amount: 1}

// newExploration is a group that has settled.
func newExploration() *exploration {
	e := &exploration{}
	for i := range e.members {
		e.members[i] = &explored{member: counter.Member{Address: fmt.Sprint(i), Domain: fmt.Sprint(i)}}
		e.members[i].member.ID = e.newID()
		e.start(i, true)
	}
	e.tick()
	e.drain()
	e.now += 2500 * time.Millisecond // from now on a partition may be assumed
	for range 2 {
		e.tick()
		e.drain()
	}
	return e
}

// drain lets everything that waits end well.
func (e *exploration) drain() {
	for range 100 {
		for i := range e.members {
			e.endWrite(i, nil)
		}
		if len(e.calls) == 0 {
			return
		}
		e.deliver(0)
	}
}

func (e *exploration) newID() uint64 {
	e.lastID++
	return e.lastID
}

func (e *exploration) start(i int, bootstrap bool) {
	m := e.members[i]
	m.incarnation++
	m.startedAt = e.now
	m.writing = nil
	m.replies = map[counter.Token]func(counter.Message){}
	m.core = counter.New(counter.Config{
		Self: m.member, Origin: counter.Origin(e.newID()), HasDisk: true, Policy: bearsOne, MaxBytes: 1 << 20,
		Stored: m.disk, Bootstrap: bootstrap,
	})
	var candidates []counter.Candidate
	for _, other := range e.members {
		if other != nil {
			candidates = append(candidates, counter.Candidate{Member: other.member, HasDisk: true})
		}
	}
	e.step(i, counter.MembersChanged{Candidates: candidates})
}

func (e *exploration) step(i int, event counter.Event) {
	m := e.members[i]
	for _, effect := range m.core.Step(e.now-m.startedAt, event) {
		switch effect := effect.(type) {
		case counter.Send:
			e.send(i, effect)
		case counter.Write:
			m.writing = &effect
		case counter.Reply:
			reply := m.replies[effect.Token]
			delete(m.replies, effect.Token)
			reply(effect.Message)
		case counter.Added:
			e.added(i, effect.Result)
		}
	}
}

func (e *exploration) send(from int, send counter.Send) {
	to := int(send.Address[0] - '0')
	call := exploredCall{from: from, to: to, fromLife: e.members[from].incarnation, request: send.Message}
	if _, isPing := send.Message.(counter.Ping); !isPing {
		e.calls = append(e.calls, call)
		return
	}
	if e.members[to] == nil || e.isCut(from, to) {
		e.answer(call, nil)
		return
	}
	e.receive(call, func(reply counter.Message) { e.answer(call, reply) })
}

func (e *exploration) isCut(a, b int) bool { return e.cut && (a == 0) != (b == 0) }

func (e *exploration) receive(call exploredCall, answer func(counter.Message)) {
	to := e.members[call.to]
	to.lastToken++
	to.replies[to.lastToken] = answer
	e.step(call.to, counter.Received{Token: to.lastToken, Message: call.request})
}

func (e *exploration) answer(call exploredCall, reply counter.Message) {
	if e.members[call.from].incarnation == call.fromLife {
		e.step(call.from, counter.Answered{Address: fmt.Sprint(call.to), Request: call.request, Reply: reply})
	}
}

// deliver brings a call or its answer to its end.
func (e *exploration) deliver(k int) {
	call := e.take(k)
	switch {
	case e.isCut(call.from, call.to):
		e.answer(call, nil)
	case call.reply != nil:
		e.answer(call, call.reply)
	default:
		e.receive(call, func(reply counter.Message) {
			call.reply = reply
			e.calls = append(e.calls, call)
		})
	}
}

func (e *exploration) take(k int) exploredCall {
	call := e.calls[k]
	e.calls = append(append([]exploredCall{}, e.calls[:k]...), e.calls[k+1:]...)
	return call
}

func (e *exploration) tick() {
	e.now += 250 * time.Millisecond
	e.lostCopy = e.lostCopy && e.cut
	for i := range e.members {
		e.step(i, counter.Tick{})
	}
}

func (e *exploration) endWrite(i int, err error) {
	m := e.members[i]
	if m.writing == nil {
		return
	}
	write := *m.writing
	m.writing = nil
	if err == nil && write.Rewrite {
		m.disk = counter.Stored{}
	}
	if err == nil {
		m.disk.Runs = append(append([]counter.Run{}, m.disk.Runs...), write.Runs...)
		m.disk.Complete = m.disk.Complete || write.Complete
	}
	e.step(i, counter.DiskDone{Err: err})
}

// restart takes the power of a member, and its disk or not, and starts it again. Calls to it end without an answer.
func (e *exploration) restart(i int, wipe bool) {
	m := e.members[i]
	if wipe {
		e.lostCopy = hasAddition(m.disk.Runs)
		m.disk = counter.Stored{}
		m.member.ID = e.newID()
	}
	var ended []exploredCall
	var left []exploredCall
	for _, call := range e.calls {
		if call.to == i && call.reply == nil {
			ended = append(ended, call)
		} else if call.from != i {
			left = append(left, call)
		}
	}
	e.calls = left
	for _, call := range ended {
		if call.from != i {
			e.answer(call, nil)
		}
	}
	e.start(i, false)
}

func (e *exploration) add(i int) {
	e.asked++
	e.mayCount = true
	e.step(i, counter.AddRequested{Token: counter.Token(1000 + e.asked), Addition: exploredAddition})
}

// added holds the end of an addition against the disks.
func (e *exploration) added(i int, result counter.AddResult) {
	copies := 0
	for _, m := range e.members {
		if hasAddition(m.disk.Runs) {
			copies++
		}
	}
	if e.lostCopy {
		copies++
	}
	enough := 2
	if e.cutBefore && i == 0 {
		enough = 1 // alone on its side, or so shortly after that it can't know
	}
	if result == counter.AddAcknowledged && copies < enough {
		e.violation = fmt.Sprintf("acknowledged by %d on %d disks", i, copies)
	}
	if result == counter.NotAdded && e.asked == 1 {
		e.rejected = true
		e.mayCount = false
	}
}

func hasAddition(runs []counter.Run) bool {
	for _, run := range runs {
		for _, addition := range run.Additions {
			if addition == exploredAddition {
				return true
			}
		}
	}
	return false
}

// check holds what members say against what may count.
func (e *exploration) check() {
	for i, m := range e.members {
		total, known := m.core.Total("t")
		switch {
		case known && total > 1:
			e.violation = fmt.Sprintf("member %d counts the id more than once: %d", i, total)
		case known && total > 0 && !e.mayCount:
			e.violation = fmt.Sprintf("member %d counts what was rejected", i)
		}
	}
}

// choice is one possible next step.
type choice struct {
	name string
	run  func()
}

// choices are all possible next steps.
func (e *exploration) choices() []choice {
	list := []choice{{"tick", e.tick}}
	if e.asked < 2 {
		for i := range 2 {
			list = append(list, choice{fmt.Sprint("add at ", i), func() { e.add(i) }})
		}
	}
	for k := range min(len(e.calls), 3) {
		list = append(list, choice{fmt.Sprint("deliver ", k), func() { e.deliver(k) }})
	}
	if len(e.calls) > 0 {
		list = append(list, choice{"lose 0", func() { e.answer(e.take(0), nil) }})
	}
	for i, m := range e.members {
		if m.writing != nil {
			list = append(list,
				choice{fmt.Sprint("sync ", i), func() { e.endWrite(i, nil) }},
				choice{fmt.Sprint("write fails ", i), func() { e.endWrite(i, errors.New("full")) }})
		}
	}
	if !e.cycled && e.asked > 0 {
		list = append(list, choice{"power of 0", func() { e.cycled = true; e.restart(0, false) }})
		if !e.wiped {
			list = append(list, choice{"disk of 1", func() { e.wiped = true; e.restart(1, true) }})
		}
	}
	if !e.cutBefore {
		list = append(list, choice{"cut", func() { e.cut, e.cutBefore = true, true }})
	}
	if e.cut {
		list = append(list, choice{"heal", func() { e.cut = false }})
	}
	return list
}

// search is a set of interleavings: all that begin with some steps, by their names.
type search struct {
	name  string
	begin []string
	depth int // of the steps after those, less than that of the flag by as much as this is
}

var searches = []search{
	{name: "calm", begin: []string{"add at 0"}},
	{name: "unclear, then a repeat", begin: []string{"add at 0", "lose 0", "lose 0", "tick"}, depth: 1},
	{name: "cut off", begin: []string{"cut", "tick", "tick", "tick", "add at 0"}, depth: 1},
	{name: "healed", begin: []string{"cut", "tick", "tick", "tick", "add at 0", "sync 0", "heal"}, depth: 1},
}

// play makes the steps that a search begins with and those that a path chooses, and gives how many could come next and
// what was done.
func (s search) play(path []int) (next int, steps []string, violation string) {
	e := newExploration()
	for _, name := range s.begin {
		for _, possible := range e.choices() {
			if possible.name == name {
				possible.run()
				break
			}
		}
	}
	for _, at := range path {
		chosen := e.choices()[at]
		steps = append(steps, chosen.name)
		chosen.run()
		e.check()
		if e.violation != "" {
			return 0, steps, e.violation
		}
	}
	return len(e.choices()), steps, ""
}

// explore plays every path up to a depth. It returns how many there were, and the first violation.
func (s search) explore(path []int, depth int) (paths int, violation string) {
	next, steps, violation := s.play(path)
	if violation != "" {
		return 1, strings.Join(append(s.begin, steps...), ", ") + ": " + violation
	}
	if len(path) == depth {
		return 1, ""
	}
	for at := range next {
		more, violation := s.explore(append(path[:len(path):len(path)], at), depth)
		paths += more
		if violation != "" {
			return paths, violation
		}
	}
	return paths, ""
}

// TestExplore_AllInterleavings plays all of a small group: additions and repeats, pushes and their answers in any order or
// lost, syncs that end or fail, a loss of power, of a disk, a cut and its end.
func TestExplore_AllInterleavings(t *testing.T) {
	for _, each := range searches {
		t.Run(each.name, func(t *testing.T) {
			t.Parallel()
			paths, violation := each.explore(nil, *exploreDepth-each.depth)
			require.Empty(t, violation)
			require.Greater(t, paths, 100)
			t.Logf("%d interleavings", paths)
		})
	}
}
