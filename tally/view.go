package tally

import (
	"slices"
	"sort"

	"shaletrestle/crew"
	"shaletrestle/plate"
	"shaletrestle/tick"
)

// beats tells all members that the primary lives, and looks for lost ones.
func (m *Member) beats() {
	m.mu.Lock()
	if !m.active {
		m.mu.Unlock()
		return
	}
	c := m.reg.Chart
	m.mu.Unlock()
	all := m.Members()
	for _, s := range all {
		if s.ID == m.self.ID {
			continue
		}
		go func() {
			a, err := m.cf.Caller.Call(s.Addr, &crew.Note{Kind: crew.Beat, From: m.self, Epoch: c.Epoch, Chart: c, Seats: all}, plate.CallWait)
			if err != nil {
				return
			}
			m.saw(a.From, a.OK)
			m.learn(a.Chart)
			if a.From.ID == c.Backup.ID && a.Number == 0 {
				m.urge(c.Epoch)
			}
		}()
	}
	if m.alone(c) {
		m.stepDown("cut off from the witnesses")
		return
	}
	m.mu.Lock()
	var lost bool
	if p := m.peers[c.Backup.ID]; c.Backup.ID != 0 && m.active && (p == nil || tick.Since(p.seen) > plate.BeatLost || !p.fit) {
		lost = true
	}
	if c.Backup.ID == 0 && len(m.peers) > 0 && m.anyFit() {
		lost = true
	}
	m.mu.Unlock()
	if !lost && m.swap(c) != nil {
		lost = true
	}
	if lost {
		m.urge(c.Epoch)
	}
}

// alone tells whether most witnesses have not been heard for a while: another may be primary by now, and this one's news are old.
func (m *Member) alone(c *crew.Chart) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	near := 0
	for _, w := range c.Witnesses {
		if p := m.peers[w.ID]; w.ID == m.self.ID || p != nil && tick.Since(p.seen) <= plate.BeatLost+plate.BeatEvery {
			near++
		}
	}
	return near <= len(c.Witnesses)/2
}

func (m *Member) anyFit() bool {
	for _, p := range m.peers {
		if p.fit && tick.Since(p.seen) < plate.BeatLost {
			return true
		}
	}
	return false
}

// urge asks for a new view at the next step if the epoch is still the one meant.
func (m *Member) urge(epoch uint64) {
	m.mu.Lock()
	if m.reg.Chart != nil && m.reg.Chart.Epoch == epoch {
		m.urged = true
	}
	m.mu.Unlock()
}

// swap gives the witnesses with one lost member replaced by a learner, nil if all is well or none is to be had.
func (m *Member) swap(c *crew.Chart) []crew.Seat {
	m.mu.Lock()
	defer m.mu.Unlock()
	in := func(id uint64) bool {
		return slices.ContainsFunc(c.Witnesses, func(s crew.Seat) bool { return s.ID == id })
	}
	var free []crew.Seat
	for _, p := range m.peers {
		if !in(p.seat.ID) && p.fit && tick.Since(p.seen) < plate.BeatLost {
			free = append(free, p.seat)
		}
	}
	if !in(m.self.ID) {
		free = append(free, m.self)
	}
	if len(free) == 0 {
		return nil
	}
	sort.Slice(free, func(i, j int) bool { return free[i].ID < free[j].ID })
	for i, w := range c.Witnesses {
		if w.ID == m.self.ID {
			continue
		}
		p := m.peers[w.ID]
		gone := p == nil && tick.Since(m.born) > plate.WitnessLost || p != nil && tick.Since(p.seen) > plate.WitnessLost
		pick := free[0]
		for _, f := range free { // another disk at the witness's own address: it was wiped
			if f.Addr == w.Addr {
				gone, pick = true, f
			}
		}
		if gone {
			ws := slices.Clone(c.Witnesses)
			ws[i] = pick
			return ws
		}
	}
	return nil
}

// step is the member's clockwork: take over, find the others, make the first view.
func (m *Member) step() {
	m.mu.Lock()
	c, act, urged, quiet, leaving := m.reg.Chart, m.active, m.urged, tick.Since(m.beat), m.leaving
	tag, alone := m.tag, len(m.peers) == 0
	m.mu.Unlock()
	switch {
	case leaving || m.stalled.Load():
	case c == nil:
		m.helloOnce()
		if m.boot {
			m.bootstrap()
		}
		return
	case act && urged, !act && c.Primary.ID == m.self.ID && quiet > plate.BeatEvery,
		!act && c.Backup.ID == m.self.ID && tag.Covers(Tag{c.Epoch, c.Mark}) && (urged || quiet > plate.BeatLost):
		if m.wr.TryLock() {
			if !m.change(act) && !act {
				m.mu.Lock()
				m.beat = tick.Now().Add(-plate.BeatLost + plate.BeatEvery) // not again at once
				m.mu.Unlock()
			}
			m.wr.Unlock()
		}
	}
	if !act && (alone || quiet > plate.BeatLost) {
		m.helloOnce()
	}
}

// helloOnce starts a round of hellos unless one is under way.
func (m *Member) helloOnce() {
	if m.asking.CompareAndSwap(false, true) {
		go func() {
			defer m.asking.Store(false)
			m.hello()
		}()
	}
}

func (m *Member) hello() {
	m.mu.Lock()
	at := map[string]bool{}
	for _, a := range m.cf.Seeds {
		at[a] = true
	}
	for _, p := range m.peers {
		at[p.seat.Addr] = true
	}
	if c := m.reg.Chart; c != nil {
		for _, s := range append([]crew.Seat{c.Primary, c.Backup}, c.Witnesses...) {
			at[s.Addr] = true
		}
	}
	c := m.reg.Chart
	m.mu.Unlock()
	delete(at, m.self.Addr)
	delete(at, "")
	done := make(chan struct{}, len(at))
	for a := range at {
		go func() {
			defer func() { done <- struct{}{} }()
			r, err := m.cf.Caller.Call(a, &crew.Note{Kind: crew.Hello, From: m.self, OK: m.fit(), Chart: c}, plate.CallWait)
			if err != nil {
				return
			}
			m.saw(r.From, r.OK)
			if m.learn(r.Chart) {
				_ = m.saveRegister()
			}
			m.hearsay(r.Seats)
		}()
	}
	for range at {
		<-done
	}
}

// bootstrap proposes view 1 once every seed is there with a first disk. The lowest goes first, the others after some seconds.
func (m *Member) bootstrap() {
	seeds := slices.Clone(m.cf.Seeds)
	sort.Strings(seeds)
	i := slices.Index(seeds, m.self.Addr)
	if i < 0 || tick.Since(m.born) < tick.Span(i)*plate.WitnessLost {
		return
	}
	var ws []crew.Seat
	for _, a := range seeds {
		if a == m.self.Addr {
			ws = append(ws, m.self)
			continue
		}
		m.mu.Lock()
		for _, p := range m.peers {
			if p.seat.Addr == a && tick.Since(p.seen) < plate.BeatLost {
				ws = append(ws, p.seat)
			}
		}
		m.mu.Unlock()
	}
	if len(ws) != len(seeds) || !m.wr.TryLock() {
		return
	}
	defer m.wr.Unlock()
	m.changeFrom(&crew.Chart{Witnesses: ws}, false)
}

func (m *Member) ask(to []crew.Seat, n *crew.Note, d tick.Span) []*crew.Note {
	ch := make(chan *crew.Note, len(to))
	for _, s := range to {
		x := *n
		x.From, x.To = m.self, s.ID
		go func() {
			if s.ID == m.self.ID {
				a, _ := m.Handle(&x)
				ch <- a
				return
			}
			a, err := m.cf.Caller.Call(s.Addr, &x, d)
			if err != nil {
				a = nil
			}
			ch <- a
		}()
	}
	need := len(to)/2 + 1
	var out []*crew.Note
	for range to {
		a := <-ch
		if a == nil {
			continue
		}
		out = append(out, a)
		if a.OK {
			need--
		}
		if need == 0 {
			break
		}
	}
	return out
}

func oks(as []*crew.Note) (n int) {
	for _, a := range as {
		if a.OK {
			n++
		}
	}
	return n
}

// change makes the next view with this member as primary. The caller holds wr.
func (m *Member) change(was bool) bool {
	c := m.Chart()
	if c == nil {
		return false
	}
	return m.changeFrom(c, was)
}

func (m *Member) changeFrom(c *crew.Chart, was bool) bool {
	fail := func(why string) bool {
		if was {
			m.stepDown(why)
		} else {
			m.sc.Log().Info("no new view", "why", why, "epoch", c.Epoch+1)
		}
		return false
	}
	if m.broken.Load() {
		m.mu.Lock()
		h := Held{Tag: m.tag, Tail: slices.Clone(m.tail)}
		m.mu.Unlock()
		h.Base = m.cf.Machine.Checkpoint()
		err := m.onDisk(plate.TransferWait, func() error {
			if err := m.cf.Store.Reset(h); err != nil {
				return err
			}
			m.broken.Store(false)
			return nil
		})
		if err != nil {
			go m.yield(c)
			return fail("own disk failed")
		}
	}
	m.mu.Lock()
	m.joined = Tag{} // sealed: nothing of the old epoch is taken any more
	m.urged = false
	m.round = max(m.round, m.reg.Promised>>20) + 1
	bal := m.round<<20 | m.self.ID&0xfffff
	m.mu.Unlock()
	e := c.Epoch + 1
	most := len(c.Witnesses)/2 + 1
	as := m.ask(c.Witnesses, &crew.Note{Kind: crew.Prepare, Epoch: e, Ballot: bal, Held: c}, plate.CallWait)
	var held *crew.Note
	for _, a := range as {
		m.saw(a.From, true)
		if m.learn(a.Chart) {
			return fail("a newer view is known")
		}
		if !a.OK {
			m.mu.Lock()
			m.round = max(m.round, a.Ballot>>20)
			m.mu.Unlock()
		} else if a.Held != nil && (held == nil || a.HeldBallot > held.HeldBallot) {
			held = a
		}
	}
	if oks(as) < most {
		return fail("no majority of witnesses")
	}
	if held != nil { // somebody was here before: its choice is finished first
		as = m.ask(c.Witnesses, &crew.Note{Kind: crew.Accept, Epoch: e, Ballot: bal, Held: c, Chart: held.Held}, plate.CallWait)
		if oks(as) >= most {
			m.learn(held.Held)
			_ = m.saveRegister()
		}
		return fail("an earlier proposal was finished")
	}
	m.mu.Lock()
	h := Held{Tag{e, bal}, nil, slices.Clone(m.tail)}
	m.mu.Unlock()
	h.Base = m.cf.Machine.Checkpoint()
	b := m.handOver(c, h)
	if b.ID == 0 && !m.cf.Solo {
		return fail("no backup to be had")
	}
	n := &crew.Chart{Epoch: e, Mark: bal, Witnesses: c.Witnesses, Primary: m.self, Backup: b}
	moved := false
	if c.Epoch > 0 {
		if ws := m.swap(c); ws != nil {
			n.Witnesses, moved = ws, true
		}
	}
	as = m.ask(c.Witnesses, &crew.Note{Kind: crew.Accept, Epoch: e, Ballot: bal, Held: c, Chart: n}, plate.CallWait)
	if oks(as) < most {
		return fail("not accepted by a majority")
	}
	if moved {
		as = m.ask(n.Witnesses, &crew.Note{Kind: crew.Install, Chart: n}, plate.CallWait)
		if oks(as) < len(n.Witnesses)/2+1 {
			return fail("not stored by the new witnesses")
		}
	}
	m.mu.Lock()
	if m.reg.Chart != nil && m.reg.Chart.Epoch >= e {
		same := m.reg.Chart.Epoch == e && m.reg.Chart.Mark == bal
		if !same {
			m.mu.Unlock()
			return fail("a newer view is known")
		}
	}
	m.reg = Register{Chart: n}
	m.tag = h.Tag
	m.active, m.epoch, m.urged, m.beat, m.beatBy = true, e, false, tick.Now(), m.self
	m.mu.Unlock()
	go func() { _ = m.saveRegister() }()
	m.commit()
	m.sc.Log().Info("primary", "epoch", e, "backup", b.Addr, "witnesses", len(n.Witnesses))
	if m.cf.OnActive != nil {
		m.cf.OnActive(e)
	}
	go m.beats()
	return true
}

// handOver gives the whole state to the first member that takes it: the other of the pair, then the rest.
func (m *Member) handOver(c *crew.Chart, h Held) crew.Seat {
	m.mu.Lock()
	var cand []crew.Seat
	for _, p := range m.peers {
		if p.fit && tick.Since(p.seen) < plate.BeatLost {
			cand = append(cand, p.seat)
		}
	}
	m.mu.Unlock()
	rank := func(s crew.Seat) int {
		switch {
		case s.ID == c.Backup.ID || s.ID == c.Primary.ID:
			return 0
		case slices.ContainsFunc(c.Witnesses, func(w crew.Seat) bool { return w.ID == s.ID }):
			return 1
		}
		return 2
	}
	sort.Slice(cand, func(i, j int) bool {
		if a, b := rank(cand[i]), rank(cand[j]); a != b {
			return a < b
		}
		return cand[i].ID < cand[j].ID
	})
	held := c
	if c.Epoch == 0 {
		held = nil
	}
	for _, s := range cand {
		a, err := m.cf.Caller.Call(s.Addr, &crew.Note{Kind: crew.Checkpoint, From: m.self, To: s.ID, Epoch: h.Tag.Epoch, Ballot: h.Tag.Mark, Held: held, Body: packHeld(h)}, plate.TransferWait)
		if err == nil && a.OK {
			return s
		}
		if err == nil {
			m.learn(a.Chart)
		} else {
			m.mu.Lock()
			if p := m.peers[s.ID]; p != nil {
				p.fit = false
			}
			m.mu.Unlock()
		}
	}
	return crew.Seat{}
}
