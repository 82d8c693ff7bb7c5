// Package replication keeps a small state on a primary and its backups. A change counts only when all of them have synced it; a register at the witnesses, decided by prepare and accept, says who they are. Nothing else is replicated by majority.
package replication

import (
	"encoding/binary"
	"sort"
	"sync"
	"time"

	"go.uber.org/atomic"

	"shaletrestle/coord/rpc"
	"shaletrestle/internal/clock"
	"shaletrestle/internal/constants"
	"shaletrestle/internal/errkind"
	"shaletrestle/internal/task"
)

// Machine is the state that is kept. Apply, Checkpoint and Restore are never called at the same time.
type Machine interface {
	Apply(entry []byte)
	Checkpoint() []byte
	Restore(base []byte) error
}

// Caller asks another member.
type Caller interface {
	Call(addr string, n *rpc.Note, d clock.Span) (*rpc.Note, error)
}

// Config is what a member needs.
type Config struct {
	Addr     string
	Locality string
	Seeds    []string                     // crew addresses; at the first start the same for all
	Losses   int                          // members that may be lost at once; 0: one member alone may be primary
	Areas    int                          // areas that may be lost at once
	Area     func(locality string) string // what a locality is lost with; nil: each by itself
	Relay    bool                         // it has no disk: it holds nothing, witnesses nothing and only learns the chart
	Store    Store
	Machine  Machine
	Caller   Caller
	OnActive func(epoch uint64) // this member became primary; called before writes are taken
	OnIdle   func()             // this member is no longer primary
}

type peer struct {
	seat    rpc.Seat
	seen    clock.Moment
	fit     bool         // its disk takes writes and it isn't leaving
	relay   bool         // it has no disk
	missed  bool         // it did not answer a write since it was last seen
	refused clock.Moment // when it last took no hand-over
}

// Member is one control process.
type Member struct {
	sc   *task.Scope
	cf   Config
	self rpc.Seat
	boot bool
	disk chan func()

	wr clock.Latch // held through a write or a change of view

	mu      sync.Mutex
	reg     Register
	round   uint64
	tag     Tag // of the state held
	joined  Tag // backup: handed over in this life by the primary of this epoch
	tail    [][]byte
	active  bool
	epoch   uint64
	beat    clock.Moment
	beatBy  rpc.Seat
	urged   bool
	warned  uint64       // epoch for which the tolerance was said to be out of reach
	vowed   clock.Moment // when a promise was last given to another member
	leaving bool
	peers   map[uint64]*peer
	stalled atomic.Bool
	broken  atomic.Bool
	asking  atomic.Bool
	born    clock.Moment

	nextRound  *confirmRound // joined by calls that need the witnesses' word; under mu
	confirming bool          // rounds are under way; under mu
}

// New makes a member from its store; Run starts it.
func New(sc *task.Scope, cf Config) (*Member, error) {
	id, boot := cf.Store.Identity()
	m := &Member{sc: sc.Part("replication"), cf: cf, self: rpc.Seat{ID: id, Addr: cf.Addr, Locality: cf.Locality}, boot: boot,
		disk: make(chan func(), 64), wr: clock.NewLatch(), reg: cf.Store.LoadRegister(), peers: map[uint64]*peer{}, born: clock.Now(), beat: clock.Now()}
	if c := m.reg.Chart; c != nil && c.Primary.ID == id {
		m.beat = m.beat.Add(-2 * constants.BeatEvery) // a primary that comes back asks at once; the witnesses know better if it was followed
	}
	h := cf.Store.Load()
	if h.Base != nil {
		if err := cf.Machine.Restore(h.Base); err != nil {
			return nil, errkind.Wrap(errkind.Internal, err, "held state")
		}
	}
	m.tag, m.tail = h.Tag, h.Tail
	m.round = max(m.reg.Promised, m.reg.Ballot) >> 20
	if h.Base == nil {
		m.broken.Store(true) // no log yet: the first hand-over makes one
	}
	return m, nil
}

// Run works until the scope ends.
func (m *Member) Run() {
	go func() {
		for {
			select {
			case f := <-m.disk:
				f()
			case <-m.sc.Done():
				return
			}
		}
	}()
	go clock.Every(m.sc, constants.BeatEvery, func() bool { m.beats(); return true })
	pause := constants.StepPause + clock.Span(m.self.ID%8)*20*time.Millisecond
	m.step()
	clock.Every(m.sc, pause, func() bool { m.step(); return true })
}

// onDisk runs a job in the disk's own task and waits for it at most d.
func (m *Member) onDisk(d clock.Span, f func() error) error {
	if m.stalled.Load() {
		return errkind.New(errkind.Unready, "the disk is stalled")
	}
	done := make(chan error, 1)
	job := func() { done <- f(); m.stalled.Store(false) }
	select {
	case m.disk <- job:
	default:
		return errkind.New(errkind.Unready, "the disk is behind")
	}
	select {
	case err := <-done:
		return err
	case <-clock.After(d):
		m.stalled.Store(true)
		select {
		case err := <-done: // it ended in between
			m.stalled.Store(false)
			return err
		default:
		}
		m.sc.Log().Warn("disk stalled")
		return errkind.New(errkind.Unready, "the disk is stalled")
	case <-m.sc.Done():
		return errkind.New(errkind.Unready, "ending")
	}
}

// Self is this member's seat.
func (m *Member) Self() rpc.Seat { return m.self }

// Chart is the newest chart known, nil before the first.
func (m *Member) Chart() *rpc.Chart {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.reg.Chart
}

// Active tells whether this member is primary, and of which epoch.
func (m *Member) Active() (uint64, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.epoch, m.active
}

// Primary is the seat that was last heard to be primary, if it was heard lately.
func (m *Member) Primary() (rpc.Seat, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.active {
		return m.self, true
	}
	if m.beatBy.ID != 0 && clock.Since(m.beat) < constants.BeatLost {
		return m.beatBy, true
	}
	return rpc.Seat{}, false
}

// Members are all seats known, this one too.
func (m *Member) Members() []rpc.Seat {
	m.mu.Lock()
	defer m.mu.Unlock()
	out := []rpc.Seat{m.self}
	for _, p := range m.peers {
		out = append(out, p.seat)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Addr < out[j].Addr })
	return out
}

// State is for the state page.
type State struct {
	Self      rpc.Seat   `json:"self"`
	Relay     bool       `json:"relay"`
	Losses    int        `json:"losses_borne"` // by the chart: copies left and a majority of witnesses
	Wanted    int        `json:"losses_wanted"`
	Chart     *rpc.Chart `json:"chart"`
	Active    bool       `json:"active"`
	Joined    bool       `json:"joined"`
	Stalled   bool       `json:"stalled"`
	BeatAgoMs int64      `json:"beat_ago_ms"`
	Members   []rpc.Seat `json:"members"`
}

// State tells what this member knows.
func (m *Member) State() State {
	ms := m.Members()
	m.mu.Lock()
	defer m.mu.Unlock()
	return State{m.self, m.cf.Relay, borne(m.reg.Chart), m.cf.Losses, m.reg.Chart, m.active, m.joined.Epoch != 0, m.stalled.Load(), clock.Since(m.beat).Milliseconds(), ms}
}

func (m *Member) fit() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return !m.cf.Relay && !m.leaving && !m.stalled.Load()
}

func (m *Member) saw(s rpc.Seat, fit bool) {
	if s.ID == 0 || s.ID == m.self.ID || s.Addr == "" {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	for id, p := range m.peers { // another disk at the same address: the old one is gone
		if p.seat.Addr == s.Addr && id != s.ID {
			delete(m.peers, id)
		}
	}
	p := m.peers[s.ID]
	if p == nil {
		p = &peer{}
		m.peers[s.ID] = p
	}
	p.seat, p.seen, p.fit, p.missed = s, clock.Now(), fit, false
}

// mark notes something about a member that is known.
func (m *Member) mark(id uint64, f func(*peer)) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if p := m.peers[id]; p != nil {
		f(p)
	}
}

// hearsay takes seats that others know. It never displaces what was seen at an address: a disk may have been replaced since.
func (m *Member) hearsay(ss []rpc.Seat) {
	for _, s := range ss {
		m.mu.Lock()
		known := s.Addr == m.self.Addr
		for _, p := range m.peers {
			known = known || p.seat.Addr == s.Addr
		}
		m.mu.Unlock()
		if !known {
			m.saw(s, false)
		}
	}
}

// learn takes a chosen chart; it tells whether it was new.
func (m *Member) learn(c *rpc.Chart) bool {
	if c == nil || c.Epoch == 0 {
		return false
	}
	m.mu.Lock()
	if m.reg.Chart != nil && m.reg.Chart.Epoch >= c.Epoch {
		m.mu.Unlock()
		return false
	}
	m.reg = Register{Chart: c}
	m.urged = false
	if m.joined.Epoch != c.Epoch || m.joined.Mark != c.Mark {
		m.joined = Tag{}
	}
	idle := false
	if m.active && (c.Primary.ID != m.self.ID || c.Epoch != m.epoch) {
		m.active, idle = false, true
	}
	m.mu.Unlock()
	m.sc.Log().Info("new chart", "epoch", c.Epoch, "primary", c.Primary.Addr, "backups", addrs(c.Backups))
	if idle && m.cf.OnIdle != nil {
		m.cf.OnIdle()
	}
	return true
}

func (m *Member) stepDown(why string) {
	m.mu.Lock()
	was := m.active
	m.active = false
	m.beat = clock.Now()
	m.mu.Unlock()
	if was {
		m.sc.Log().Warn("stepping down", "why", why)
		if m.cf.OnIdle != nil {
			m.cf.OnIdle()
		}
	}
}

func (m *Member) saveRegister() error {
	return m.onDisk(constants.CallWait, func() error {
		m.mu.Lock()
		r := m.reg
		m.mu.Unlock()
		return m.cf.Store.SaveRegister(r)
	})
}

// Handle answers the notes that belong to this package; others give false.
func (m *Member) Handle(n *rpc.Note) (*rpc.Note, bool) {
	switch n.Kind {
	case rpc.Hello, rpc.Beat, rpc.Prepare, rpc.Accept, rpc.Install, rpc.Checkpoint, rpc.Append, rpc.Confirm, rpc.Yield:
	default:
		return nil, false
	}
	a := n.Reply(false)
	a.From = m.self
	if n.Kind == rpc.Prepare && m.fit() { // it may be asked to be a copy, also if it is not the disk that was meant
		a.Number = 1
	}
	if n.To != 0 && n.To != m.self.ID {
		a.Word = "another disk is here"
		return a, true
	}
	switch n.Kind {
	case rpc.Hello:
		m.saw(n.From, n.OK)
		m.learn(n.Chart)
		a.OK, a.Chart, a.Seats = m.fit(), m.Chart(), m.Members()
		a.Word = m.word()
	case rpc.Beat:
		m.onBeat(n, a)
	case rpc.Prepare, rpc.Accept, rpc.Install, rpc.Checkpoint, rpc.Append, rpc.Confirm:
		if m.cf.Relay {
			a.Word = "no disk is here"
			return a, true
		}
	}
	switch n.Kind {
	case rpc.Prepare, rpc.Accept:
		m.onBallot(n, a)
	case rpc.Install:
		m.learn(n.Chart)
		if c := m.Chart(); c != nil && c.Epoch >= n.Chart.Epoch {
			a.OK = m.saveRegister() == nil
		}
	case rpc.Checkpoint:
		m.onCheckpoint(n, a)
	case rpc.Append:
		m.onAppend(n, a)
	case rpc.Confirm:
		m.mu.Lock()
		c := m.reg.Chart
		a.OK = c != nil && c.Epoch == n.Epoch && c.Mark == n.Ballot && m.reg.Accepted == nil
		a.Chart = c
		m.mu.Unlock()
	case rpc.Yield:
		m.mu.Lock()
		c := m.reg.Chart
		a.OK = c != nil && c.Epoch == n.Epoch && index(c.Backups, m.self.ID) >= 0
		m.urged = m.urged || a.OK
		m.mu.Unlock()
	}
	return a, true
}

func (m *Member) onBeat(n, a *rpc.Note) {
	m.saw(n.From, true)
	fresh := m.learn(n.Chart)
	m.hearsay(n.Seats)
	m.mu.Lock()
	c := m.reg.Chart
	if c != nil && n.Chart != nil && n.Chart.Epoch == c.Epoch {
		m.beat, m.beatBy = clock.Now(), n.From
	}
	a.Chart = c
	a.Number = 0
	if m.joined.Epoch == n.Epoch {
		a.Number = 1
	}
	m.mu.Unlock()
	a.OK = m.fit()
	if fresh {
		go func() { _ = m.saveRegister() }()
	}
}

// onBallot is the witness: one compare-and-set register for the epoch after the newest chosen chart.
func (m *Member) onBallot(n, a *rpc.Note) {
	base := n.Held
	if base == nil || base.Epoch+1 != n.Epoch {
		return
	}
	if base.Epoch > 0 {
		m.learn(base)
	}
	m.mu.Lock()
	if base.Epoch == 0 && !m.boot {
		m.mu.Unlock()
		return
	}
	at := uint64(0)
	if m.reg.Chart != nil {
		at = m.reg.Chart.Epoch
	}
	if at+1 != n.Epoch {
		a.Chart = m.reg.Chart
		m.mu.Unlock()
		return
	}
	if n.Ballot < m.reg.Promised {
		a.Ballot = m.reg.Promised
		m.mu.Unlock()
		return
	}
	m.reg.Promised = n.Ballot
	if n.From.ID != m.self.ID {
		m.vowed = clock.Now()
	}
	a.Held, a.HeldBallot = m.reg.Accepted, m.reg.Ballot
	if n.Kind == rpc.Accept {
		m.reg.Accepted, m.reg.Ballot = n.Chart, n.Ballot
	}
	m.mu.Unlock()
	a.OK = m.saveRegister() == nil
}

func packHeld(h Held) []byte {
	var b []byte
	for _, x := range append([][]byte{h.Base}, h.Tail...) {
		b = binary.AppendUvarint(b, uint64(len(x)))
		b = append(b, x...)
	}
	return b
}

func unpackHeld(b []byte) (h Held, ok bool) {
	var xs [][]byte
	for len(b) > 0 {
		n, k := binary.Uvarint(b)
		if k <= 0 || n > uint64(len(b)-k) {
			return h, false
		}
		xs = append(xs, append([]byte{}, b[k:k+int(n)]...))
		b = b[k+int(n):]
	}
	if len(xs) == 0 {
		return h, false
	}
	return Held{Base: xs[0], Tail: xs[1:]}, true
}

// onCheckpoint takes over a whole state for an epoch that is being proposed.
func (m *Member) onCheckpoint(n, a *rpc.Note) {
	h, ok := unpackHeld(n.Body)
	if !ok || !m.fit() {
		return
	}
	h.Tag = Tag{n.Epoch, n.Ballot}
	m.learn(n.Held)
	if !m.wr.TryLock() { // proposing itself: two candidates must not wait for each other
		return
	}
	defer m.wr.Unlock()
	m.mu.Lock()
	c := m.reg.Chart
	if (c != nil && c.Epoch >= n.Epoch) || !h.Tag.Covers(m.tag) || m.reg.Promised > n.Ballot && c != nil && c.Epoch+1 == n.Epoch {
		a.Chart = c
		m.mu.Unlock()
		return
	}
	m.joined = Tag{}
	m.mu.Unlock()
	m.stepDown("another member proposes")
	err := m.onDisk(constants.TransferWait, func() error {
		if err := m.cf.Store.Reset(h); err != nil {
			m.broken.Store(true)
			return err
		}
		m.broken.Store(false)
		return nil
	})
	if err != nil {
		m.sc.Log().Warn("checkpoint not taken", "err", err.Error())
		return
	}
	if err := m.cf.Machine.Restore(h.Base); err != nil {
		m.sc.Log().Warn("checkpoint can't be read", "err", err.Error())
		return
	}
	for _, e := range h.Tail {
		m.cf.Machine.Apply(e)
	}
	m.mu.Lock()
	m.tag, m.joined, m.tail = h.Tag, h.Tag, nil
	m.beat, m.beatBy = clock.Now(), n.From
	m.mu.Unlock()
	a.OK = true
}

func (m *Member) onAppend(n, a *rpc.Note) {
	if !m.wr.TryLock() {
		return
	}
	defer m.wr.Unlock()
	m.mu.Lock()
	ok := n.Epoch != 0 && m.joined.Epoch == n.Epoch && m.joined.Mark == n.Ballot
	a.Chart = m.reg.Chart
	m.mu.Unlock()
	if !ok {
		return
	}
	body := append([]byte{}, n.Body...)
	if err := m.appendDisk(body); err != nil {
		m.mu.Lock()
		m.joined = Tag{} // the disk's state is in doubt: a new hand-over must come first
		m.mu.Unlock()
		return
	}
	m.cf.Machine.Apply(body)
	m.trim()
	a.OK = true
}

func (m *Member) appendDisk(e []byte) error {
	return m.onDisk(constants.DiskWait, func() error {
		if m.broken.Load() {
			return errkind.New(errkind.Unready, "the log is closed")
		}
		err := m.cf.Store.Append(e)
		if err != nil {
			m.broken.Store(true)
		}
		return err
	})
}

// trim puts a checkpoint in place of a log that has grown.
func (m *Member) trim() {
	if m.cf.Store.Size() < constants.LogSegment {
		return
	}
	m.mu.Lock()
	h := Held{m.tag, nil, m.tail}
	m.mu.Unlock()
	h.Base = m.cf.Machine.Checkpoint()
	_ = m.onDisk(constants.TransferWait, func() error {
		err := m.cf.Store.Reset(h)
		if err != nil {
			m.broken.Store(true)
		}
		return err
	})
}

// Propose makes one change: check runs with nothing else in between and gives the entry. It returns once the primary and all its backups have synced it.
func (m *Member) Propose(check func() ([]byte, error)) error {
	m.wr.Lock()
	defer m.wr.Unlock()
	if _, ok := m.Active(); !ok {
		return errkind.New(errkind.NotHere, "not the primary")
	}
	for i := 0; m.short() && i < m.witnessesWanted(); i++ { // what is acknowledged must be borne as well as can be: the copies and witnesses that are to be had come first
		if !m.change(true) {
			return errkind.New(errkind.Unready, "copies or witnesses are missing")
		}
	}
	m.mu.Lock()
	c := m.reg.Chart
	m.mu.Unlock()
	e, err := check()
	if err != nil || e == nil {
		m.wr.Unlock()
		defer m.wr.Lock() // the deferred Unlock above ends what this begins
		return m.clear(c, err)
	}
	far := make(chan bool, len(c.Backups))
	for _, b := range c.Backups {
		go func() {
			a, err := m.cf.Caller.Call(b.Addr, &rpc.Note{Kind: rpc.Append, From: m.self, To: b.ID, Epoch: c.Epoch, Ballot: c.Mark, Body: e}, sending(constants.CallWait, len(e), len(c.Backups)))
			if err != nil {
				m.mark(b.ID, func(p *peer) { p.missed = true })
			} else if a.Chart != nil {
				m.learn(a.Chart)
			}
			far <- err == nil && a.OK
		}()
	}
	near := m.appendDisk(e)
	there := true
	for range c.Backups {
		there = <-far && there
	}
	if near != nil {
		m.stepDown("own disk failed")
		go m.yield(c)
		return errkind.Wrap(errkind.Unready, near, "own disk")
	}
	m.mu.Lock()
	m.tail = append(m.tail, e)
	still := m.active && m.epoch == c.Epoch
	m.mu.Unlock()
	if !there || !still {
		// the entry stays in the tail and goes into the next view's checkpoint
		if !still || !m.change(true) {
			return errkind.New(errkind.Unready, "no backup")
		}
		return nil
	}
	m.commit()
	m.trim()
	return nil
}

// commit applies the tail, which all copies have on disk.
func (m *Member) commit() {
	m.mu.Lock()
	t := m.tail
	m.tail = nil
	m.mu.Unlock()
	for _, e := range t {
		m.cf.Machine.Apply(e)
	}
}

// yield asks the backups in turn to take over, until one will.
func (m *Member) yield(c *rpc.Chart) {
	if c == nil {
		return
	}
	for _, b := range c.Backups {
		a, err := m.cf.Caller.Call(b.Addr, &rpc.Note{Kind: rpc.Yield, From: m.self, To: b.ID, Epoch: c.Epoch}, constants.CallWait)
		if err == nil && a.OK {
			return
		}
	}
}

// Leave hands the primacy over, if held, and keeps this member from being a copy from now on.
func (m *Member) Leave() {
	m.mu.Lock()
	m.leaving = true
	was, c := m.active, m.reg.Chart
	m.mu.Unlock()
	if was {
		m.wr.Lock()
		m.stepDown("leaving")
		m.wr.Unlock()
		m.yield(c)
	}
}
