package simulation

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"strconv"
	"time"

	"shaletrestle/coord/replication/core"
)

// settings are what one schedule's cluster is like. They follow from the seed.
type settings struct {
	Members    int // with disks
	Zones      int
	Losses     int
	Relays     int
	SyncTime   time.Duration // a member counts as lost this long after it is back
	Limits     core.Limits
	Ordered    bool // messages between two members keep their order
	ZoneDelay  time.Duration
	FarDelay   time.Duration
	LossRate   float64
	RepeatRate float64
	RepeatWait time.Duration // a repeated message comes at most this late
	LateRate   float64
	DiskSync   time.Duration
	Clients    int
	Pause      time.Duration // between two calls of a client, at most
	Lazy       bool          // ticks come only when the core wants them
	Horizon    time.Duration // faults and calls come until then
}

// scheduled is something that happens at a time. Those of one time happen in the order in which they were scheduled.
type scheduled struct {
	at       time.Duration
	sequence uint64
	run      func()
}

type eventQueue []scheduled

func (q *eventQueue) Len() int { return len(*q) }
func (q *eventQueue) Less(i, j int) bool {
	first, second := (*q)[i], (*q)[j]
	if first.at != second.at {
		return first.at < second.at
	}
	return first.sequence < second.sequence
}
func (q *eventQueue) Swap(i, j int) { (*q)[i], (*q)[j] = (*q)[j], (*q)[i] }
func (q *eventQueue) Push(x any)    { *q = append(*q, x.(scheduled)) }
func (q *eventQueue) Pop() any {
	old := *q
	last := old[len(old)-1]
	old[len(old)-1] = scheduled{}
	*q = old[:len(old)-1]
	return last
}

// cluster is a simulated network of machines with one clock and one random generator.
type cluster struct {
	settings    settings
	profile     profile
	lastAddress int
	reserved    map[string]bool // addresses that somebody will come to
	random      *rand.Rand
	now         time.Duration
	sequence    uint64
	queue       eventQueue

	slots     []*slot // members with a disk
	relays    []*host
	hosts     []*host // all that ever were
	addresses map[string]*host
	disks     map[core.MemberID]*disk
	links     map[[2]int]time.Duration // when the last message of an ordered link arrives
	pairCuts  map[[2]int]int           // from host to host
	nextID    core.MemberID
	armed     []fault  // that wait for their moment
	seeds     []string // at the first start

	history         *history
	clients         []*client
	calls           []*call
	lastCall        callID
	lastCommand     commandID
	lastIncarnation int
	answerLoss      float64 // of answers on their way to clients
	disksLost       int     // since the last long calm
	faultsDone      [faultKinds]int
	stopped         bool // no call begins any more
	monitor         *monitor
	liveness        *liveness

	tracing bool
	lines   []string
}

// slot is one place of the group: a machine, and its successors.
type slot struct {
	number  int
	zone    string
	host    *host // nil: removed
	pending int   // replacements under way
	retired bool  // it was removed and does not count any more
	extra   bool  // the group bears its losses without it
}

// host is a machine with an address.
type host struct {
	cluster *cluster
	number  int
	address string
	zone    string
	relay   bool
	disk    *disk
	process *process // nil: not running
	gone    bool     // removed for good

	cutIn        int // running cuts of what comes in
	cutOut       int
	cutClients   int
	held         []heldMessage
	powerLosses  int
	slow         time.Duration // added to each message
	lossy        float64
	activeFaults int // running faults
	lostUntil    time.Duration
}

func newCluster(s settings, p profile, seed uint64) *cluster {
	c := &cluster{
		settings:  s,
		profile:   p,
		random:    rand.New(rand.NewPCG(seed, 2)),
		addresses: map[string]*host{},
		reserved:  map[string]bool{},
		disks:     map[core.MemberID]*disk{},
		links:     map[[2]int]time.Duration{},
		pairCuts:  map[[2]int]int{},
		history:   newHistory(),
	}
	c.monitor = newMonitor(c)
	c.liveness = newLiveness(c)
	for i := range s.Members {
		h := c.addHost(fmt.Sprint("z", i%s.Zones), c.newAddress())
		h.disk = c.newDisk()
		h.disk.first = true
		c.slots = append(c.slots, &slot{number: i, zone: h.zone, host: h, extra: i > 2*s.Losses})
	}
	for i := range s.Relays {
		h := c.addHost(fmt.Sprint("z", i%s.Zones), c.newAddress())
		h.relay = true
		h.disk = c.newDisk()
		c.relays = append(c.relays, h)
	}
	for i := range 3 {
		c.seeds = append(c.seeds, c.slots[i].host.address)
	}
	return c
}

func (c *cluster) newAddress() string {
	c.lastAddress++
	return "m" + strconv.Itoa(c.lastAddress-1)
}

// addHost puts up a machine at an address; whoever was there before is gone.
func (c *cluster) addHost(zone, address string) *host {
	h := &host{cluster: c, number: len(c.hosts), zone: zone, address: address}
	c.hosts = append(c.hosts, h)
	c.addresses[address] = h
	return h
}

// newDisk makes an empty disk with an identity of its own.
func (c *cluster) newDisk() *disk {
	c.nextID += core.MemberID(1 + c.random.IntN(97))
	d := &disk{cluster: c, id: c.nextID, tip: c.history.root}
	c.disks[d.id] = d
	return d
}

// after schedules something.
func (c *cluster) after(wait time.Duration, run func()) {
	c.sequence++
	heap.Push(&c.queue, scheduled{at: c.now + wait, sequence: c.sequence, run: run})
}

// runUntil plays the simulated time; it stops early at a violation.
func (c *cluster) runUntil(end time.Duration) {
	for len(c.queue) > 0 && c.queue[0].at <= end && c.monitor.violation == "" {
		next := heap.Pop(&c.queue).(scheduled)
		c.now = next.at
		next.run()
	}
	c.now = end
}

// between picks a time.
func (c *cluster) between(low, high time.Duration) time.Duration {
	return low + time.Duration(c.random.Int64N(int64(high-low)+1))
}

func (c *cluster) chance(probability float64) bool {
	return c.random.Float64() < probability
}

// trace keeps a line if the run is traced.
func (c *cluster) trace(format string, values ...any) {
	if c.tracing {
		c.lines = append(c.lines, fmt.Sprintf("%9.3f ", c.now.Seconds())+fmt.Sprintf(format, values...))
	}
}

// lostHost tells whether a machine counts as lost: while it is faulty, and some time after.
func (c *cluster) lostHost(h *host) bool {
	return h == nil || h.process == nil || h.activeFaults > 0 || c.now < h.lostUntil
}

func (c *cluster) lostSlot(s *slot) bool {
	return !s.retired && (s.pending > 0 || c.lostHost(s.host))
}

// lostSlots are the members that count as lost now.
func (c *cluster) lostSlots() []*slot {
	var lost []*slot
	for _, s := range c.slots {
		if c.lostSlot(s) {
			lost = append(lost, s)
		}
	}
	return lost
}

// member is the machine as the core names it.
func (h *host) member() core.Member {
	return core.Member{ID: h.disk.id, Address: h.address, Zone: h.zone}
}

// String is the address and the disk.
func (h *host) String() string {
	return fmt.Sprintf("%s(%d)", h.address, h.disk.id)
}
