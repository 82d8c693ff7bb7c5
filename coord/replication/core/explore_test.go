package core

import (
	"fmt"
	"slices"
)

// action is one thing that may happen next.
type action struct {
	name string
	run  func() *model
}

// search visits all states that a bounded number of deviations from the default schedule can reach.
//
// The default schedule lets everything happen in the order in which it was begun, and time goes on only when nothing else is left. A deviation is a message lost, repeated or late, a call or a step of time while something else is under way, or a fault; each of them at any moment, within its own budget and one for all together. States are told apart by a 64 bit digest.
type search struct {
	seen      map[uint64]struct{}
	path      []string
	deepest   int
	steps     int
	failure   string
	failedVia []string
}

func (s *search) visit(m *model) {
	if s.failure != "" {
		return
	}
	if m.watch.failed != "" {
		s.failure = m.watch.failed
		s.failedVia = slices.Clone(s.path)
		return
	}
	key := m.key()
	if _, seen := s.seen[key]; seen {
		return
	}
	s.seen[key] = struct{}{}
	s.deepest = max(s.deepest, len(s.path))
	for _, a := range m.actions() {
		s.steps++
		s.path = append(s.path, a.name)
		s.visit(a.run())
		s.path = s.path[:len(s.path)-1]
		if s.failure != "" {
			return
		}
	}
}

// actions lists what may happen next.
func (m *model) actions() []action {
	var out []action
	head := m.head()
	if head >= 0 {
		out = append(out, action{"run " + m.queue[head].String(), m.runHead})
	} else {
		out = m.quietActions()
	}
	for i, h := range m.parked {
		if h.node == m.frozen || !m.concerns(h.node) {
			continue
		}
		out = append(out, action{"late " + h.String(), func() *model { return m.release(i) }})
	}
	if m.left.Deviations == 0 {
		return out
	}
	if head >= 0 {
		out = append(out, m.disturbances(head)...)
	}
	if m.left.Faults > 0 {
		out = append(out, m.faultActions()...)
	}
	return out
}

// concerns tells whether a member is the next at which something happens. What befalls a member only, such as a crash or a late message, changes nothing for the steps of the others, so it is enough to let it happen before the member's own steps, and when nothing else is left.
func (m *model) concerns(node int) bool {
	head := m.head()
	return head < 0 || m.queue[head].node == node
}

// quietActions are those of the default schedule when nothing else is left.
func (m *model) quietActions() []action {
	var out []action
	if m.left.Time > 0 {
		out = append(out, action{"time", func() *model {
			next := m.advance()
			next.left.Time--
			return next
		}})
	}
	out = append(out, m.callActions(0)...)
	return append(out, m.recoveries()...)
}

func (m *model) callActions(cost int) []action {
	if len(m.calls) == len(m.rules.calls) {
		return nil
	}
	var out []action
	for _, i := range m.primaries() {
		if i == m.frozen {
			continue
		}
		out = append(out, action{fmt.Sprintf("call %d at m%d", m.rules.calls[len(m.calls)], i), func() *model {
			next := m.call(i)
			next.left.Deviations -= cost
			next.left.Early -= cost
			return next
		}})
	}
	return out
}

// recoveries end a fault.
func (m *model) recoveries() []action {
	var out []action
	for i, node := range m.nodes {
		if !node.up {
			out = append(out, action{fmt.Sprintf("start m%d", i), func() *model { return m.start(i, node.disk, node.incarnation+1) }})
		}
	}
	if m.cut >= 0 || m.mute >= 0 {
		out = append(out, action{"heal", func() *model {
			next := m.copied()
			next.cut = -1
			next.mute = -1
			return next
		}})
	}
	if m.frozen >= 0 {
		out = append(out, action{"thaw", func() *model {
			next := m.copied()
			next.frozen = -1
			return next
		}})
	}
	return out
}

// disturbances are what may happen to the message at the head of the queue, and what may come before it.
func (m *model) disturbances(head int) []action {
	var out []action
	h := m.queue[head]
	if h.message != nil && m.left.Lost > 0 {
		out = append(out, action{"lose " + h.String(), func() *model {
			next := m.deviate()
			next.left.Lost--
			next.queue = slices.Delete(next.queue, head, head+1)
			return next
		}})
	}
	if h.message != nil && m.left.Repeated > 0 {
		out = append(out, action{"repeat " + h.String(), func() *model {
			next := m.deviate()
			next.left.Repeated--
			next.parked = append(next.parked, h)
			return next.runHead()
		}})
	}
	if h.message == nil && !h.tick && m.left.SlowDisk > 0 {
		out = append(out, action{"hold back " + h.String(), func() *model {
			next := m.deviate()
			next.left.SlowDisk--
			next.queue = slices.Delete(next.queue, head, head+1)
			next.parked = append(next.parked, h)
			return next
		}})
	}
	if h.message != nil && m.left.Late > 0 {
		out = append(out, action{"hold back " + h.String(), func() *model {
			next := m.deviate()
			next.left.Late--
			next.queue = slices.Delete(next.queue, head, head+1)
			next.parked = append(next.parked, h)
			return next
		}})
	}
	if m.left.Early > 0 {
		out = append(out, m.callActions(1)...)
	}
	if m.left.Early > 0 && m.left.Time > 0 {
		out = append(out, action{"time early", func() *model {
			next := m.advance()
			next.left.Deviations--
			next.left.Early--
			next.left.Time--
			return next
		}})
	}
	return out
}

func (m *model) deviate() *model {
	next := m.copied()
	next.left.Deviations--
	return next
}

// release lets a late message arrive.
func (m *model) release(i int) *model {
	next := m.copied()
	h := next.parked[i]
	next.parked = slices.Delete(next.parked, i, i+1)
	next.happen(h)
	return next
}

// faultActions lists the faults that may come now.
func (m *model) faultActions() []action {
	var out []action
	add := func(name string, run func(next *model) *model) {
		out = append(out, action{name, func() *model {
			next := m.deviate()
			next.left.Faults--
			return run(next)
		}})
	}
	for _, kind := range m.rules.faults {
		for i, node := range m.nodes {
			if !node.up {
				continue
			}
			m.addFault(kind, i, add)
		}
	}
	return out
}

func (m *model) addFault(kind faultKind, i int, add func(string, func(*model) *model)) {
	head := m.head()
	touched := head >= 0 && m.queue[head].touches(i)
	if kind != powerFault && !m.concerns(i) && !(kind == cutFault && touched) {
		return
	}
	pending := len(m.nodes[i].disk.pending)
	switch kind {
	case crashFault:
		add(fmt.Sprintf("crash m%d", i), func(next *model) *model { return next.crash(i, 0) })
		if pending > 0 {
			add(fmt.Sprintf("crash m%d, disk jobs done", i), func(next *model) *model { return next.crash(i, pending) })
		}
	case wipeFault:
		m.addWipe(i, false, add)
		if m.rules.starting {
			m.addWipe(i, true, add)
		}
	case cutFault:
		add(fmt.Sprintf("cut m%d", i), func(next *model) *model {
			next.cut = i
			next.queue = slices.DeleteFunc(next.queue, func(h happening) bool { return h.touches(i) })
			return next
		})
	case muteFault:
		add(fmt.Sprintf("mute m%d", i), func(next *model) *model { next.mute = i; return next })
	case freezeFault:
		add(fmt.Sprintf("freeze m%d", i), func(next *model) *model { next.frozen = i; return next })
	case powerFault:
		if i == 0 {
			add("cut all power", func(next *model) *model { return next.crash(0, 0).crash(1, 0).crash(2, 0) })
		}
	}
}

// addWipe loses a disk; the one in its place may have been made for the first start, too.
func (m *model) addWipe(i int, first bool, add func(string, func(*model) *model)) {
	add(fmt.Sprintf("lose disk of m%d, another first disk: %v", i, first), func(next *model) *model {
		next = next.crash(i, 0)
		next.nodes[i].disk = storedDisk{id: next.nodes[i].disk.id + 100, first: first}
		return next
	})
}

// touches tells whether a message goes to a member or comes from it.
func (h happening) touches(i int) bool {
	return h.message != nil && (h.node == i || memberIndex(h.message.Route().From.Address) == i)
}

func (h happening) String() string {
	switch {
	case h.tick:
		return fmt.Sprintf("tick m%d", h.node)
	case h.message == nil:
		return fmt.Sprintf("disk m%d", h.node)
	}
	return fmt.Sprintf("%s %s>m%d", kindOf(h.message), h.message.Route().From.Address, h.node)
}

// explore searches from the first view and one entry on, with the first call just begun; or from the first start on.
func explore(rules *modelRules, left budgets) *search {
	var first *model
	if rules.starting {
		first = startingModel(rules)
	} else {
		first = firstModel(rules)
		if len(rules.calls) > 0 {
			first = first.call(first.primaries()[0])
		}
	}
	first.left = left
	s := &search{seen: map[uint64]struct{}{}}
	s.visit(first)
	return s
}
