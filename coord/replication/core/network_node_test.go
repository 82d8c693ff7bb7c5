package core

import (
	"errors"
	"fmt"
	"log/slog"
	"slices"
	"time"

	"github.com/stretchr/testify/require"
)

// storedDisk is a simulated disk: a job's effect is there when the job ends.
type storedDisk struct {
	id            MemberID
	first         bool // made for the first start
	register      Register
	snapshot      *Snapshot
	entries       []Entry
	full          bool
	stalled       bool
	pending       []Effect
	stallReported bool
}

var errFull = errors.New("no space is left")

// apply carries a job out.
func (d *storedDisk) apply(job Effect) error {
	if d.full {
		return errFull
	}
	switch job := job.(type) {
	case SaveRegister:
		d.register = job.Register
	case AppendEntry:
		d.entries = append(d.entries, job.Entry)
	case SaveSnapshot:
		snapshot := job.Snapshot
		d.snapshot = &snapshot
		d.entries = slices.Clone(job.Tail)
	}
	return nil
}

func jobToken(job Effect) Token {
	switch job := job.(type) {
	case SaveRegister:
		return job.Token
	case AppendEntry:
		return job.Token
	case SaveSnapshot:
		return job.Token
	}
	return 0
}

// node is one simulated process and its disk.
type node struct {
	network     *network
	address     string
	zone        string
	relay       bool
	seeds       []string // if not those of the world
	incarnation int
	up          bool
	frozen      bool
	held        []Message // that came while it was frozen
	born        time.Duration
	core        *Core
	machine     *text
	disk        *storedDisk
	answers     map[Token]Result
	primary     bool
	left        *Left
}

// wipe gives a stopped machine an empty disk.
func (node *node) wipe() {
	node.network.nextID += 11
	node.disk = &storedDisk{id: node.network.nextID}
}

func (node *node) member() Member {
	return Member{ID: node.disk.id, Address: node.address, Zone: node.zone}
}

func (node *node) config() Config {
	net := node.network
	seeds := node.seeds
	if seeds == nil {
		seeds = []string{"m0", "m1", "m2"}[:min(3, len(net.nodes))]
	}
	return Config{
		Self: node.member(), Seeds: seeds, MaxFailures: net.losses, MaxDomainFailures: net.areas, FailureDomain: net.area,
		Relay: node.relay, Bootstrap: node.disk.first, StateMachine: node.machine, Timing: DefaultTiming(), Limits: net.limits,
	}
}

func (node *node) start() {
	node.incarnation++
	node.up = true
	node.frozen = false
	node.held = nil
	node.left = nil
	node.primary = false
	node.born = node.network.now
	node.machine = &text{}
	node.disk.pending = nil
	d := node.disk
	c, err := New(node.config(), Stored{Register: d.register, Snapshot: d.snapshot, Entries: slices.Clone(d.entries), Appendable: d.snapshot != nil})
	require.NoError(node.network.t, err)
	node.core = c
	node.step(Started{})
	node.scheduleTick()
}

func (node *node) scheduleTick() {
	incarnation := node.incarnation
	node.network.at(DefaultTiming().TickInterval, func() {
		if !node.up || node.incarnation != incarnation {
			return
		}
		if !node.frozen {
			node.step(Tick{})
		}
		node.scheduleTick()
	})
}

func (node *node) stop() { node.up = false; node.primary = false }

func (node *node) freeze() { node.frozen = true }

// thaw gives a frozen process what waits for it, the messages first.
func (node *node) thaw() {
	node.frozen = false
	held := node.held
	node.held = nil
	for _, m := range held {
		node.step(Received{m})
	}
	node.runDisk()
}

func (node *node) step(e Event) {
	effects := node.core.Step(node.network.now-node.born, e)
	for _, effect := range effects {
		node.carryOut(effect)
	}
}

func (node *node) carryOut(effect Effect) {
	net := node.network
	switch effect := effect.(type) {
	case Send:
		net.deliver(node, effect)
	case SaveRegister, AppendEntry, SaveSnapshot:
		node.disk.pending = append(node.disk.pending, effect)
		incarnation := node.incarnation
		net.at(2*time.Millisecond, func() {
			if node.incarnation == incarnation {
				node.runDisk()
			}
		})
	case Result:
		node.answers[effect.Token] = effect
	case BecamePrimary:
		node.primary = true
		net.requireOnePrimary(node, effect.Epoch)
	case LearnedView:
		net.requireOneView(effect.View)
	case SteppedDown:
		require.True(net.t, node.primary)
		node.primary = false
	case Left:
		node.left = &effect
	case Log:
		if net.logging && effect.Level >= slog.LevelInfo {
			fmt.Println(net.now, node.address, effect.Message, effect.Attributes)
		}
	}
}

func (node *node) runDisk() {
	if !node.up || node.frozen || len(node.disk.pending) == 0 {
		return
	}
	job := node.disk.pending[0]
	if node.disk.stalled {
		if !node.disk.stallReported {
			node.disk.stallReported = true
			node.step(DiskStalled{jobToken(job)})
		}
		return
	}
	node.disk.stallReported = false
	node.disk.pending = node.disk.pending[1:]
	node.step(DiskDone{Token: jobToken(job), Err: node.disk.apply(job)})
}

// resumeDisk ends a stall.
func (node *node) resumeDisk() {
	node.disk.stalled = false
	for len(node.disk.pending) > 0 {
		node.runDisk()
	}
}

func (node *node) receive(m Message) {
	if node.frozen {
		node.held = append(node.held, m)
		return
	}
	node.step(Received{m})
}

// node finds the machine of a member.
func (net *network) node(m Member) *node {
	for _, node := range net.nodes {
		if node.disk.id == m.ID {
			return node
		}
	}
	return nil
}
