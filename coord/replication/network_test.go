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

// textMachine is a state machine whose state is the text of all entries.
type textMachine struct {
	mu   sync.Mutex
	text string
}

func (m *textMachine) Apply(entry []byte) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.text += string(entry) + ";"
}

func (m *textMachine) Snapshot() []byte {
	m.mu.Lock()
	defer m.mu.Unlock()
	return []byte(m.text)
}

func (m *textMachine) Restore(snapshot []byte) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.text = string(snapshot)
	return nil
}

// memoryStore is a Store in memory that fails only when it is full.
type memoryStore struct {
	mu          sync.Mutex
	id          uint64
	joinedLater bool // made after the group was bootstrapped
	full        atomic.Bool
	register    core.Register
	snapshot    *core.Snapshot
	entries     []core.Entry
	stalled     chan struct{} // closed when the stall ends; nil: none
}

func (s *memoryStore) Identity() (uint64, bool) { return s.id, !s.joinedLater }

func (s *memoryStore) BootstrapSeeds() []string { return nil }

func (s *memoryStore) Load() core.Stored {
	s.mu.Lock()
	defer s.mu.Unlock()
	return core.Stored{Register: s.register, Snapshot: s.snapshot, Entries: slices.Clone(s.entries), Appendable: s.snapshot != nil}
}

func (s *memoryStore) SaveRegister(register core.Register) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.register = register
	return nil
}

func (s *memoryStore) SaveSnapshot(snapshot core.Snapshot, tail []core.Entry) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.snapshot, s.entries = &snapshot, slices.Clone(tail)
	return nil
}

func (s *memoryStore) Append(entry core.Entry) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.entries = append(s.entries, entry)
	return nil
}

// stall blocks all writes until resume is called.
func (s *memoryStore) stall() (resume func()) {
	released := make(chan struct{})
	s.mu.Lock()
	s.stalled = released
	s.mu.Unlock()
	return func() {
		s.mu.Lock()
		s.stalled = nil
		s.mu.Unlock()
		close(released)
	}
}

func (s *memoryStore) waitForStall() {
	s.mu.Lock()
	released := s.stalled
	s.mu.Unlock()
	if released != nil {
		<-released
	}
}

// route is one direction between two addresses.
type route struct{ from, to string }

// network carries messages between members of one process; some may be lost.
type network struct {
	mu             sync.Mutex
	members        map[string]*Member
	disconnected   map[string]bool
	partitioned    map[route]bool // one direction
	drop           func(address string, message core.Message) bool
	arrived        func(message core.Message) // called before a message is received
	bytesPerSecond int                        // of one direction between two members; 0: no bound
	nextFree       map[route]time.Time
	tap            chan core.Message // gets what is sent to tapAddress
	tapAddress     string
}

func newNetwork() *network {
	return &network{members: map[string]*Member{}, disconnected: map[string]bool{}, partitioned: map[route]bool{}, nextFree: map[route]time.Time{}}
}

func (n *network) SetChannel(string, *rpc.Channel) {}

func (n *network) Send(address string, message core.Message) {
	from := message.Route().From.Address
	n.mu.Lock()
	lost := n.disconnected[address] || n.disconnected[from] || n.partitioned[route{from, address}]
	drop := n.drop
	if n.tap != nil && address == n.tapAddress {
		select {
		case n.tap <- message:
		default:
		}
	}
	n.mu.Unlock()
	if lost || drop != nil && drop(address, message) {
		return
	}
	time.AfterFunc(n.delay(from, address, message), func() { n.deliver(address, message) })
}

// delay is a millisecond, and what the message takes on a path of bounded rate after those before it.
func (n *network) delay(from, to string, message core.Message) time.Duration {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.bytesPerSecond == 0 {
		return time.Millisecond
	}
	path := route{from, to}
	start := time.Now()
	if n.nextFree[path].After(start) {
		start = n.nextFree[path]
	}
	n.nextFree[path] = start.Add(time.Duration(len(encodeMessage(message))) * time.Second / time.Duration(n.bytesPerSecond))
	return time.Until(n.nextFree[path]) + time.Millisecond
}

func (n *network) deliver(address string, message core.Message) {
	n.mu.Lock()
	m, off, arrived := n.members[address], n.disconnected[address], n.arrived
	n.mu.Unlock()
	if arrived != nil {
		arrived(message)
	}
	if m != nil && !off {
		m.receive(message)
	}
}

func (n *network) setDisconnected(address string, off bool) {
	n.mu.Lock()
	n.disconnected[address] = off
	n.mu.Unlock()
}

func (n *network) setDrop(drop func(address string, message core.Message) bool) {
	n.mu.Lock()
	n.drop = drop
	n.mu.Unlock()
}

func typeName(message core.Message) string { return fmt.Sprintf("%T", message) }
