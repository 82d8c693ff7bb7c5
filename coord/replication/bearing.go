package replication

import (
	"cmp"
	"slices"
	"time"

	"shaletrestle/coord/rpc"
	"shaletrestle/internal/clock"
	"shaletrestle/internal/constants"
)

// What must be borne: with f losses, f + 1 copies and 2f + 1 witnesses. Whoever reaches most of the witnesses reaches f + 1 members with disks, so a chart at its tolerance never needs fewer copies.

const relayWord, bootWord = "relay", "boot"

func index(ss []rpc.Seat, id uint64) int {
	return slices.IndexFunc(ss, func(s rpc.Seat) bool { return s.ID == id })
}

func addrs(ss []rpc.Seat) (out []string) {
	for _, s := range ss {
		out = append(out, s.Addr)
	}
	return out
}

// borne is the number of members that may be lost at once under a chart.
func borne(c *rpc.Chart) int {
	if c == nil {
		return 0
	}
	return min(len(c.Backups), max(0, len(c.Witnesses)-1)/2)
}

// sending is a wait and the time that many bytes take to several members over one link.
func sending(d clock.Span, bytes, times int) clock.Span {
	return d + clock.Span(bytes*times)*time.Second/constants.LinkBytes
}

func (m *Member) word() string {
	switch {
	case m.cf.Relay:
		return relayWord
	case m.boot:
		return bootWord
	}
	return ""
}

// copies is how many a chart should have. With nothing to bear, a backup is kept where one is to be had.
func (m *Member) copies() int { return max(m.cf.Losses, 1) + 1 }

// fewest is the number of copies below which no chart is made: what its witnesses bear, and one more.
func (m *Member) fewest(c *rpc.Chart) int {
	if m.cf.Losses == 0 {
		return 1
	}
	return max(2, (len(c.Witnesses)-1)/2+1)
}

func (m *Member) witnessesWanted() int { return 2*max(m.cf.Losses, 1) + 1 }

// fitOnes are the other members that were seen lately and whose disks take writes.
func (m *Member) fitOnes() (out []rpc.Seat) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, p := range m.peers {
		if p.fit && clock.Since(p.seen) < constants.BeatLost {
			out = append(out, p.seat)
		}
	}
	return out
}

// spare are the fit members that are no copies and have not refused to be one lately.
func (m *Member) spare(c *rpc.Chart) []rpc.Seat {
	return slices.DeleteFunc(m.fitOnes(), func(s rpc.Seat) (no bool) {
		m.mark(s.ID, func(p *peer) { no = clock.Since(p.refused) < constants.RefusedFor })
		return no || index(c.Copies(), s.ID) >= 0
	})
}

// short tells whether the chart has fewer copies or witnesses than wanted, or has them in too few areas, while others are to be had.
func (m *Member) short() bool {
	c := m.Chart()
	if c == nil {
		return false
	}
	return len(c.Copies()) < m.copies() && len(m.spare(c)) > 0 || m.narrow(c) || m.grown(c) != nil || m.spread(c) != nil
}

// narrow tells whether the copies lie in so few areas that these may all be lost, while a member elsewhere could be one.
func (m *Member) narrow(c *rpc.Chart) bool {
	at := m.places(c.Copies())
	return len(at) <= m.cf.Areas && slices.ContainsFunc(m.spare(c), func(s rpc.Seat) bool { return at[m.area(s)] == 0 })
}

func (m *Member) area(s rpc.Seat) string {
	if m.cf.Area == nil {
		return s.Locality
	}
	return m.cf.Area(s.Locality)
}

func (m *Member) places(ss []rpc.Seat) map[string]int {
	at := map[string]int{}
	for _, s := range ss {
		at[m.area(s)]++
	}
	return at
}

// learners are the fit members, this one too, that are no witnesses.
func (m *Member) learners(c *rpc.Chart) []rpc.Seat {
	return slices.DeleteFunc(append(m.fitOnes(), m.self), func(s rpc.Seat) bool { return index(c.Witnesses, s.ID) >= 0 })
}

// emptiest is the member whose area holds the fewest of those placed.
func (m *Member) emptiest(ss []rpc.Seat, at map[string]int) rpc.Seat {
	return slices.MinFunc(ss, func(a, b rpc.Seat) int {
		return cmp.Or(cmp.Compare(at[m.area(a)], at[m.area(b)]), cmp.Compare(a.ID, b.ID))
	})
}

// grown gives the witnesses with learners added while there are fewer than wanted, nil if nothing is to be added. An odd number stays odd: one more would bear no more losses.
func (m *Member) grown(c *rpc.Chart) []rpc.Seat {
	n, free := 1+len(c.Witnesses)%2, m.learners(c)
	if len(c.Witnesses) >= m.witnessesWanted() || len(free) < n {
		return nil
	}
	ws, at := slices.Clone(c.Witnesses), m.places(c.Witnesses)
	for range n {
		s := m.emptiest(free, at)
		free = slices.DeleteFunc(free, func(x rpc.Seat) bool { return x.ID == s.ID })
		at[m.area(s)]++
		ws = append(ws, s)
	}
	return ws
}

// spread gives the witnesses with one moved out of an area that holds too many, nil if all is well or nobody is elsewhere.
func (m *Member) spread(c *rpc.Chart) []rpc.Seat {
	free := m.learners(c)
	if m.cf.Areas == 0 || len(free) == 0 {
		return nil
	}
	at, most := m.places(c.Witnesses), max(1, m.cf.Losses/m.cf.Areas)
	for i, w := range c.Witnesses {
		if s := m.emptiest(free, at); at[m.area(w)] > most && at[m.area(s)] < most && w.ID != m.self.ID {
			return with(c.Witnesses, i, s)
		}
	}
	return nil
}

func with(ss []rpc.Seat, i int, s rpc.Seat) []rpc.Seat {
	ss = slices.Clone(ss)
	ss[i] = s
	return ss
}

// panel gives the witnesses one step nearer to what is wanted, nil if all is well or nothing is to be had: more of them, a lost one replaced, or one moved.
func (m *Member) panel(c *rpc.Chart) []rpc.Seat {
	if ws := m.grown(c); ws != nil {
		return ws
	}
	free := m.learners(c)
	if len(free) == 0 {
		return nil
	}
	for i, w := range c.Witnesses {
		if w.ID == m.self.ID {
			continue
		}
		if j := slices.IndexFunc(free, func(s rpc.Seat) bool { return s.Addr == w.Addr }); j >= 0 { // another disk at the witness's own address: it was wiped
			return with(c.Witnesses, i, free[j])
		}
		if m.gone(w) {
			return with(c.Witnesses, i, m.emptiest(free, m.places(slices.Delete(slices.Clone(c.Witnesses), i, i+1))))
		}
	}
	return m.spread(c)
}

func (m *Member) gone(w rpc.Seat) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	p := m.peers[w.ID]
	return p == nil && clock.Since(m.born) > constants.WitnessLost || p != nil && clock.Since(p.seen) > constants.WitnessLost
}

// warn says once in an epoch that the chart bears fewer losses than it should and nobody is there to mend it.
func (m *Member) warn(c *rpc.Chart) {
	m.mu.Lock()
	late := m.warned != c.Epoch && clock.Since(m.born) > constants.WitnessLost
	if late && borne(c) < m.cf.Losses {
		m.warned = c.Epoch
	}
	known := 1 + len(m.peers)
	m.mu.Unlock()
	if late && borne(c) < m.cf.Losses {
		m.sc.Log().Warn("fewer losses are borne than the settings want", "borne", borne(c), "wanted", m.cf.Losses, "members", known)
	}
}
