package replication

import (
	"cmp"
	"slices"
	"sort"

	"shaletrestle/coord/rpc"
	"shaletrestle/internal/clock"
	"shaletrestle/internal/constants"
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
			a, err := m.cf.Caller.Call(s.Addr, &rpc.Note{Kind: rpc.Beat, From: m.self, Epoch: c.Epoch, Chart: c, Seats: all}, constants.CallWait)
			if err != nil {
				return
			}
			m.saw(a.From, a.OK)
			m.learn(a.Chart)
			if index(c.Backups, a.From.ID) >= 0 && a.Number == 0 {
				m.urge(c.Epoch)
			}
		}()
	}
	if m.alone(c) {
		m.stepDown("cut off from the witnesses")
		return
	}
	m.mu.Lock()
	lost := false
	for _, b := range c.Backups {
		p := m.peers[b.ID]
		lost = lost || p == nil || clock.Since(p.seen) > constants.BeatLost || !p.fit
	}
	m.mu.Unlock()
	if lost || m.short() || m.panel(c) != nil {
		m.urge(c.Epoch)
		return
	}
	m.warn(c)
}

// alone tells whether most witnesses have not been heard for a while: another may be primary by now, and this one's news are old.
func (m *Member) alone(c *rpc.Chart) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	near := 0
	for _, w := range c.Witnesses {
		if p := m.peers[w.ID]; w.ID == m.self.ID || p != nil && clock.Since(p.seen) <= constants.BeatLost+constants.BeatEvery {
			near++
		}
	}
	return near <= len(c.Witnesses)/2
}

// urge asks for a new view at the next step if the epoch is still the one meant.
func (m *Member) urge(epoch uint64) {
	m.mu.Lock()
	if m.reg.Chart != nil && m.reg.Chart.Epoch == epoch {
		m.urged = true
	}
	m.mu.Unlock()
}

// step is the member's clockwork: take over, find the others, make the first view.
func (m *Member) step() {
	m.mu.Lock()
	c, act, urged, quiet, leaving := m.reg.Chart, m.active, m.urged, clock.Since(m.beat), m.leaving
	tag, alone, vowed := m.tag, len(m.peers) == 0, clock.Since(m.vowed)
	m.mu.Unlock()
	rank, due := -1, constants.BeatLost
	if c != nil {
		if rank = index(c.Backups, m.self.ID); rank > 0 { // those before it go first
			due += clock.Span(rank) * constants.RankWait
		}
	}
	switch {
	case leaving || m.stalled.Load():
	case c == nil:
		m.helloOnce()
		if m.boot {
			m.bootstrap()
		}
		return
	case act && urged, !act && c.Primary.ID == m.self.ID && quiet > constants.BeatEvery,
		!act && rank >= 0 && tag.Covers(Tag{c.Epoch, c.Mark}) && (urged || quiet > due && (rank == 0 || vowed > constants.RankWait)):
		if m.wr.TryLock() {
			if !m.change(act) && !act {
				m.mu.Lock()
				m.beat = clock.Now().Add(-due + constants.BeatEvery) // not again at once
				m.mu.Unlock()
			}
			m.wr.Unlock()
		}
	}
	if !act && (alone || quiet > constants.BeatLost || rank >= 0 && quiet > constants.BeatLost/2) { // a backup that may soon take over looks who is there
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
		for _, s := range append(c.Copies(), c.Witnesses...) {
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
			r, err := m.cf.Caller.Call(a, &rpc.Note{Kind: rpc.Hello, From: m.self, OK: m.fit(), Word: m.word(), Chart: c}, constants.CallWait)
			if err != nil {
				return
			}
			m.saw(r.From, r.OK)
			m.mark(r.From.ID, func(p *peer) { p.relay = r.Word == relayWord })
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

// bootstrap proposes view 1 once every seed is there, with a first disk or without any. The lowest with a disk goes first, the others after some seconds.
func (m *Member) bootstrap() {
	seeds := slices.Clone(m.cf.Seeds)
	sort.Strings(seeds)
	i := slices.Index(seeds, m.self.Addr)
	if i < 0 || clock.Since(m.born) < clock.Span(i)*constants.WitnessLost {
		return
	}
	var ws []rpc.Seat
	there := 0
	for _, a := range seeds {
		if a == m.self.Addr {
			ws = append(ws, m.self)
			there++
			continue
		}
		m.mu.Lock()
		for _, p := range m.peers {
			if p.seat.Addr == a && clock.Since(p.seen) < constants.BeatLost {
				there++
				if !p.relay {
					ws = append(ws, p.seat)
				}
			}
		}
		m.mu.Unlock()
	}
	if there != len(seeds) || !m.wr.TryLock() {
		return
	}
	defer m.wr.Unlock()
	m.changeFrom(&rpc.Chart{Witnesses: ws}, false)
}

func (m *Member) ask(to []rpc.Seat, n *rpc.Note, d clock.Span) []*rpc.Note {
	ch := make(chan *rpc.Note, len(to))
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
			} else if n.Kind == rpc.Prepare { // it lives, and may be asked to be a copy
				m.saw(a.From, a.Number == 1)
			}
			ch <- a
		}()
	}
	need := len(to)/2 + 1
	var out []*rpc.Note
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

func oks(as []*rpc.Note) (n int) {
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

func (m *Member) changeFrom(c *rpc.Chart, was bool) bool {
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
		err := m.onDisk(constants.TransferWait, func() error {
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
	as := m.ask(c.Witnesses, &rpc.Note{Kind: rpc.Prepare, Epoch: e, Ballot: bal, Held: c}, constants.CallWait)
	var held *rpc.Note
	for _, a := range as {
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
		as = m.ask(c.Witnesses, &rpc.Note{Kind: rpc.Accept, Epoch: e, Ballot: bal, Held: c, Chart: held.Held}, constants.CallWait)
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
	bs := m.handOver(c, h)
	if 1+len(bs) < m.fewest(c) {
		return fail("too few backups to be had")
	}
	n := &rpc.Chart{Epoch: e, Mark: bal, Witnesses: c.Witnesses, Primary: m.self, Backups: bs}
	moved := false
	if c.Epoch > 0 {
		if ws := m.panel(c); ws != nil {
			n.Witnesses, moved = ws, true
		}
	}
	as = m.ask(c.Witnesses, &rpc.Note{Kind: rpc.Accept, Epoch: e, Ballot: bal, Held: c, Chart: n}, constants.CallWait)
	if oks(as) < most {
		return fail("not accepted by a majority")
	}
	if moved {
		as = m.ask(n.Witnesses, &rpc.Note{Kind: rpc.Install, Chart: n}, constants.CallWait)
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
	m.active, m.epoch, m.urged, m.beat, m.beatBy = true, e, false, clock.Now(), m.self
	m.mu.Unlock()
	go func() { _ = m.saveRegister() }()
	m.commit()
	m.sc.Log().Info("primary", "epoch", e, "backups", addrs(bs), "witnesses", len(n.Witnesses))
	if m.cf.OnActive != nil {
		m.cf.OnActive(e)
	}
	go m.beats()
	return true
}

// handOver gives the whole state to as many members as are wanted, all at once: other areas first, then the old copies, then witnesses, then the rest. Where one fails, the next is asked.
func (m *Member) handOver(c *rpc.Chart, h Held) []rpc.Seat {
	body := packHeld(h)
	held := c
	if c.Epoch == 0 {
		held = nil
	}
	type end struct {
		seat rpc.Seat
		ok   bool
	}
	ends := make(chan end)
	give := func(s rpc.Seat) {
		a, err := m.cf.Caller.Call(s.Addr, &rpc.Note{Kind: rpc.Checkpoint, From: m.self, To: s.ID, Epoch: h.Tag.Epoch, Ballot: h.Tag.Mark, Held: held, Body: body}, sending(constants.TransferWait, len(body), m.copies()-1))
		ok := err == nil && a.OK
		if !ok {
			m.mark(s.ID, func(p *peer) { p.fit, p.refused = p.fit && err == nil, clock.Now() })
		}
		if err == nil {
			m.learn(a.Chart)
		}
		ends <- end{s, ok}
	}
	left, at := m.fitOnes(), m.places([]rpc.Seat{m.self})
	var asked, out []rpc.Seat
	running, waited := 0, false
	for {
		for running+len(out) < m.copies()-1 && len(left) > 0 {
			s := slices.MinFunc(left, func(a, b rpc.Seat) int { return m.before(c, at, a, b) })
			left = slices.DeleteFunc(left, func(x rpc.Seat) bool { return x.ID == s.ID })
			at[m.area(s)]++
			asked = append(asked, s)
			running++
			go give(s)
		}
		if running == 0 && 1+len(out) < m.fewest(c) && !waited { // the others' promises may be under way still
			waited = true
			clock.Rest(m.sc, constants.LateAnswer)
			left = slices.DeleteFunc(m.fitOnes(), func(s rpc.Seat) bool { return index(asked, s.ID) >= 0 })
			if len(left) > 0 {
				continue
			}
		}
		if running == 0 {
			sort.Slice(out, func(i, j int) bool { return index(asked, out[i].ID) < index(asked, out[j].ID) })
			return out
		}
		x := <-ends
		running--
		if x.ok {
			out = append(out, x.seat)
		} else {
			at[m.area(x.seat)]--
		}
	}
}

// before is the order in which members are asked to be copies.
func (m *Member) before(c *rpc.Chart, at map[string]int, a, b rpc.Seat) int {
	rank := func(s rpc.Seat) int {
		switch {
		case index(c.Copies(), s.ID) >= 0:
			return 0
		case index(c.Witnesses, s.ID) >= 0:
			return 1
		}
		return 2
	}
	missed := func(s rpc.Seat) (n int) {
		m.mark(s.ID, func(p *peer) {
			if p.missed || clock.Since(p.refused) < constants.RefusedFor {
				n = 1
			}
		})
		return n
	}
	return cmp.Or(cmp.Compare(missed(a), missed(b)), cmp.Compare(at[m.area(a)], at[m.area(b)]), cmp.Compare(rank(a), rank(b)), cmp.Compare(a.ID, b.ID))
}
