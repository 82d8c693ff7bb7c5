package counter_test

import (
	"container/heap"
	"errors"
	"fmt"
	"math/rand/v2"
	"time"

	"shaletrestle/coord/counter"
)

// simulation plays a group of members in simulated time: their cores, disks, network and faults. It knows no judge.
type simulation struct {
	random   *rand.Rand
	now      time.Duration
	queue    eventQueue
	machines []*machine
	policy   counter.Policy
	blocked  map[[2]int]bool // packets from the first machine to the second are lost
	refusing bool            // what is blocked is refused in place of being lost
	lastID   uint64
}

// machine is one machine with its disk and, while it is up, a process.
type machine struct {
	index       int
	member      counter.Member
	disk        disk
	core        *counter.Core // nil: down
	refuses     bool          // while it is down: its address refuses connections, as after a kill
	incarnation int
	startedAt   time.Duration
	frozenUntil time.Duration
	lastToken   counter.Token
	adds        map[counter.Token]func(counter.AddResult)
	replies     map[counter.Token]func(counter.Message)
}

// disk is what is synced on a machine.
type disk struct {
	stored    counter.Stored
	slow      time.Duration
	stalled   bool
	full      bool
	bootstrap bool
}

type scheduled struct {
	at    time.Duration
	order int
	run   func()
}

type eventQueue struct {
	events []scheduled
	added  int
}

func (q *eventQueue) Len() int { return len(q.events) }
func (q *eventQueue) Less(i, j int) bool {
	a, b := q.events[i], q.events[j]
	return a.at < b.at || a.at == b.at && a.order < b.order
}
func (q *eventQueue) Swap(i, j int) { q.events[i], q.events[j] = q.events[j], q.events[i] }
func (q *eventQueue) Push(x any)    { q.events = append(q.events, x.(scheduled)) }
func (q *eventQueue) Pop() any {
	last := q.events[len(q.events)-1]
	q.events = q.events[:len(q.events)-1]
	return last
}

// newSimulation makes machines, one name of a domain each, and starts them for the first time.
func newSimulation(seed uint64, policy counter.Policy, domains ...string) *simulation {
	s := &simulation{random: rand.New(rand.NewPCG(seed, 1)), policy: policy, blocked: map[[2]int]bool{}}
	for i, domain := range domains {
		m := &machine{index: i, member: counter.Member{ID: s.newID(), Address: fmt.Sprintf("10.0.0.%d:1", i+1), Domain: domain}}
		m.disk.bootstrap = true
		s.machines = append(s.machines, m)
		s.after(s.upTo(300*time.Millisecond), func() { s.start(m) })
	}
	return s
}

func (s *simulation) newID() uint64 {
	s.lastID++
	return s.lastID
}

func (s *simulation) upTo(limit time.Duration) time.Duration {
	return time.Duration(s.random.Int64N(int64(limit) + 1))
}

func (s *simulation) after(wait time.Duration, run func()) {
	s.queue.added++
	heap.Push(&s.queue, scheduled{s.now + wait, s.queue.added, run})
}

// runUntil plays until a time.
func (s *simulation) runUntil(end time.Duration) {
	for s.queue.Len() > 0 && s.queue.events[0].at <= end {
		next := heap.Pop(&s.queue).(scheduled)
		s.now = next.at
		next.run()
	}
	s.now = end
}

// onMachine runs something on a machine later, if the incarnation of now still runs then; a frozen one does it once it is thawed.
func (s *simulation) onMachine(m *machine, wait time.Duration, run func()) {
	incarnation := m.incarnation
	var try func()
	try = func() {
		switch {
		case m.core == nil || m.incarnation != incarnation:
		case s.now < m.frozenUntil:
			s.after(m.frozenUntil-s.now, try)
		default:
			run()
		}
	}
	s.after(wait, try)
}

func (s *simulation) start(m *machine) {
	if m.core != nil {
		return
	}
	m.incarnation++
	m.startedAt = s.now
	m.adds = map[counter.Token]func(counter.AddResult){}
	m.replies = map[counter.Token]func(counter.Message){}
	stored := m.disk.stored
	m.core = counter.New(counter.Config{
		Self:      m.member,
		Origin:    counter.Origin(s.newID()),
		HasDisk:   true,
		Policy:    s.policy,
		MaxBytes:  1 << 20,
		Stored:    stored,
		Bootstrap: m.disk.bootstrap && len(stored.Runs) == 0,
	})
	s.step(m, counter.MembersChanged{Candidates: s.candidates()})
	s.tick(m)
}

func (s *simulation) candidates() []counter.Candidate {
	var candidates []counter.Candidate
	for _, m := range s.machines {
		candidates = append(candidates, counter.Candidate{Member: m.member, HasDisk: true})
	}
	return candidates
}

func (s *simulation) tick(m *machine) {
	s.step(m, counter.Tick{})
	s.onMachine(m, counter.TickInterval, func() { s.tick(m) })
}

func (s *simulation) step(m *machine, event counter.Event) {
	for _, effect := range m.core.Step(s.now-m.startedAt, event) {
		switch effect := effect.(type) {
		case counter.Send:
			s.call(m, effect)
		case counter.Write:
			s.write(m, effect)
		case counter.Reply:
			reply := m.replies[effect.Token]
			delete(m.replies, effect.Token)
			reply(effect.Message)
		case counter.Added:
			done := m.adds[effect.Token]
			delete(m.adds, effect.Token)
			done(effect.Result)
		}
	}
}

// call carries a message to another machine and its reply back, or ends with a time-out.
func (s *simulation) call(from *machine, send counter.Send) {
	ended := false
	end := func(reply counter.Message, refused bool) {
		if ended {
			return
		}
		ended = true
		s.step(from, counter.Answered{Address: send.Address, Request: send.Message, Reply: reply, Refused: refused})
	}
	timeout := counter.CallTimeout
	if _, isPing := send.Message.(counter.Ping); isPing {
		timeout = counter.PingTimeout
	}
	s.onMachine(from, timeout, func() { end(nil, false) })
	to := s.at(send.Address)
	if to == nil {
		return
	}
	s.after(s.latency(), func() {
		if s.blocked[[2]int{from.index, to.index}] || s.blocked[[2]int{to.index, from.index}] {
			if s.refusing {
				s.onMachine(from, s.latency(), func() { end(nil, true) })
			}
			return
		}
		if to.core == nil {
			if to.refuses {
				s.onMachine(from, s.latency(), func() { end(nil, true) })
			}
			return
		}
		s.onMachine(to, 0, func() { s.deliver(from, to, send.Message, func(reply counter.Message) { end(reply, false) }) })
	})
}

func (s *simulation) deliver(from, to *machine, message counter.Message, end func(counter.Message)) {
	encoded, err := counter.Decode(counter.Encode(message))
	if err != nil {
		panic(err)
	}
	to.lastToken++
	incarnation := from.incarnation
	to.replies[to.lastToken] = func(reply counter.Message) {
		s.after(s.latency(), func() {
			if s.blocked[[2]int{to.index, from.index}] || from.incarnation != incarnation {
				return
			}
			s.onMachine(from, 0, func() { end(reply) })
		})
	}
	s.step(to, counter.Received{Token: to.lastToken, Message: encoded})
}

func (s *simulation) latency() time.Duration {
	return 300*time.Microsecond + s.upTo(2*time.Millisecond)
}

func (s *simulation) at(address string) *machine {
	for _, m := range s.machines {
		if m.member.Address == address {
			return m
		}
	}
	return nil
}

var errFull = errors.New("disk full")

// write syncs a write after a while. What a machine that loses power was writing is there or not.
func (s *simulation) write(m *machine, write counter.Write) {
	if m.disk.stalled {
		s.onMachine(m, 100*time.Millisecond, func() { s.write(m, write) })
		return
	}
	s.onMachine(m, 2*time.Millisecond+m.disk.slow, func() {
		if m.disk.full {
			s.step(m, counter.DiskDone{Err: errFull})
			return
		}
		if write.Rewrite {
			m.disk.stored = counter.Stored{}
		}
		m.disk.stored.Runs = append(m.disk.stored.Runs, write.Runs...)
		m.disk.stored.Complete = m.disk.stored.Complete || write.Complete
		s.step(m, counter.DiskDone{})
	})
}

// stop ends a process by a kill, or by a loss of power.
func (s *simulation) stop(m *machine, refuses bool) {
	m.core = nil
	m.refuses = refuses
	m.frozenUntil = 0
}

// wipe empties the disk of a machine that is down; it comes back as another member at the same address.
func (s *simulation) wipe(m *machine) {
	m.disk = disk{}
	m.member.ID = s.newID()
}

// cut blocks packets between two sets of machines: both ways, or from the first to the second only.
func (s *simulation) cut(from, to []*machine, oneWay bool) {
	for _, a := range from {
		for _, b := range to {
			s.blocked[[2]int{a.index, b.index}] = true
			if !oneWay {
				s.blocked[[2]int{b.index, a.index}] = true
			}
		}
	}
}

func (s *simulation) heal() {
	clear(s.blocked)
	s.refusing = false
}

// add makes an addition at a machine; done gets 0 if the machine goes away before it answers.
func (s *simulation) add(m *machine, addition counter.Addition, done func(counter.AddResult)) {
	if m.core == nil || s.now < m.frozenUntil {
		done(counter.NotAdded)
		return
	}
	m.lastToken++
	answered := false
	finish := func(result counter.AddResult) {
		if !answered {
			answered = true
			done(result)
		}
	}
	m.adds[m.lastToken] = finish
	s.step(m, counter.AddRequested{Token: m.lastToken, Addition: addition})
	s.after(time.Second, func() { finish(0) })
}

// others are the machines that are not in a set.
func (s *simulation) others(set []*machine) []*machine {
	in := map[*machine]bool{}
	for _, m := range set {
		in[m] = true
	}
	var others []*machine
	for _, m := range s.machines {
		if !in[m] {
			others = append(others, m)
		}
	}
	return others
}

// inDomain are the machines of a domain.
func (s *simulation) inDomain(domain string) []*machine {
	var found []*machine
	for _, m := range s.machines {
		if m.member.Domain == domain {
			found = append(found, m)
		}
	}
	return found
}
