package replication

import (
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"shaletrestle/coord/replication/core"
	"shaletrestle/coord/rpc"
)

// lines is a machine that keeps a text.
type lines struct {
	mu sync.Mutex
	s  string
}

func (l *lines) Apply(e []byte)         { l.mu.Lock(); l.s += string(e) + ";"; l.mu.Unlock() }
func (l *lines) Snapshot() []byte       { l.mu.Lock(); defer l.mu.Unlock(); return []byte(l.s) }
func (l *lines) Restore(b []byte) error { l.mu.Lock(); l.s = string(b); l.mu.Unlock(); return nil }

// memory is a store that fails only when it is full.
type memory struct {
	mu       sync.Mutex
	id       uint64
	late     bool // made after the first start
	full     atomic.Bool
	register core.Register
	snapshot *core.Snapshot
	entries  []core.Entry
	stalled  chan struct{} // closed when the stall ends; nil: none
}

func (m *memory) Identity() (uint64, bool) { return m.id, !m.late }

func (m *memory) BootstrapSeeds() []string { return nil }

func (m *memory) Load() core.Stored {
	m.mu.Lock()
	defer m.mu.Unlock()
	return core.Stored{Register: m.register, Snapshot: m.snapshot, Entries: slices.Clone(m.entries), Appendable: m.snapshot != nil}
}

func (m *memory) SaveRegister(r core.Register) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.register = r
	return nil
}

func (m *memory) SaveSnapshot(s core.Snapshot, tail []core.Entry) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.snapshot, m.entries = &s, slices.Clone(tail)
	return nil
}

func (m *memory) Append(e core.Entry) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.entries = append(m.entries, e)
	return nil
}

// stall makes the disk stand still until the result is called.
func (m *memory) stall() (resume func()) {
	gate := make(chan struct{})
	m.mu.Lock()
	m.stalled = gate
	m.mu.Unlock()
	return func() {
		m.mu.Lock()
		m.stalled = nil
		m.mu.Unlock()
		close(gate)
	}
}

func (m *memory) wait() {
	m.mu.Lock()
	gate := m.stalled
	m.mu.Unlock()
	if gate != nil {
		<-gate
	}
}

// hall carries messages between members of one process; some may be lost.
type hall struct {
	mu      sync.Mutex
	m       map[string]*Member
	off     map[string]bool
	cut     map[[2]string]bool // one way
	drop    func(address string, m core.Message) bool
	arrived func(m core.Message) // called before a message is received
	rate    int                  // bytes a second of one way between two members; 0: no bound
	free    map[[2]string]time.Time
	tapped  chan core.Message // gets what is sent to tapAddr
	tapAddr string
}

func newHall() *hall {
	return &hall{m: map[string]*Member{}, off: map[string]bool{}, cut: map[[2]string]bool{}, free: map[[2]string]time.Time{}}
}

func (h *hall) SetChannel(string, *rpc.Channel) {}

func (h *hall) Send(address string, message core.Message) {
	from := message.Route().From.Address
	h.mu.Lock()
	lost := h.off[address] || h.off[from] || h.cut[[2]string{from, address}]
	drop := h.drop
	if h.tapped != nil && address == h.tapAddr {
		select {
		case h.tapped <- message:
		default:
		}
	}
	h.mu.Unlock()
	if lost || drop != nil && drop(address, message) {
		return
	}
	time.AfterFunc(h.delay(from, address, message), func() { h.deliver(address, message) })
}

// delay is a millisecond, and what the message takes on a way of bounded rate after those before it.
func (h *hall) delay(from, to string, message core.Message) time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.rate == 0 {
		return time.Millisecond
	}
	way := [2]string{from, to}
	start := time.Now()
	if h.free[way].After(start) {
		start = h.free[way]
	}
	h.free[way] = start.Add(time.Duration(len(encodeMessage(message))) * time.Second / time.Duration(h.rate))
	return time.Until(h.free[way]) + time.Millisecond
}

func (h *hall) deliver(address string, message core.Message) {
	h.mu.Lock()
	m, off, arrived := h.m[address], h.off[address], h.arrived
	h.mu.Unlock()
	if arrived != nil {
		arrived(message)
	}
	if m != nil && !off {
		m.Receive(message)
	}
}

func (h *hall) setOff(address string, off bool) {
	h.mu.Lock()
	h.off[address] = off
	h.mu.Unlock()
}

func (h *hall) setDrop(drop func(address string, m core.Message) bool) {
	h.mu.Lock()
	h.drop = drop
	h.mu.Unlock()
}

func kindOf(m core.Message) string { return fmt.Sprintf("%T", m) }
