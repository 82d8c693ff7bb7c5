package core

import (
	"errors"
	"fmt"
	"log/slog"
	"slices"
	"time"

	"github.com/stretchr/testify/require"

	"shaletrestle/coord/replication/core/internal/mutation"
)

// storedDisk is a simulated disk: a job's effect is there when the job ends.
type storedDisk struct {
	id        MemberID
	first     bool // made for the first start
	register  Register
	snapshot  *Snapshot
	entries   []Entry
	full      bool
	stalled   bool
	pending   []Effect
	stallNote bool
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
	world   *world
	address string
	zone    string
	relay   bool
	seeds   []string // if not those of the world
	life    int
	up      bool
	frozen  bool
	held    []Message // that came while it was frozen
	born    time.Duration
	core    *Core
	machine *text
	disk    *storedDisk
	answers map[Token]Result
	primary bool
	left    *Left
	mutate  mutation.Kind
}

// wipe gives a stopped machine an empty disk.
func (n *node) wipe() {
	n.world.nextID += 11
	n.disk = &storedDisk{id: n.world.nextID}
}

func (n *node) member() Member {
	return Member{ID: n.disk.id, Address: n.address, Zone: n.zone}
}

func (n *node) config() Config {
	w := n.world
	seeds := n.seeds
	if seeds == nil {
		seeds = []string{"m0", "m1", "m2"}[:min(3, len(w.nodes))]
	}
	return Config{
		Self: n.member(), Seeds: seeds, MaxFailures: w.losses, MaxDomainFailures: w.areas, FailureDomain: w.area,
		Relay: n.relay, Bootstrap: n.disk.first, StateMachine: n.machine, Timing: DefaultTiming(), Limits: w.limits,
	}
}

func (n *node) start() {
	n.life++
	n.up = true
	n.frozen = false
	n.held = nil
	n.left = nil
	n.primary = false
	n.born = n.world.now
	n.machine = &text{}
	n.disk.pending = nil
	d := n.disk
	c, err := New(n.config(), Stored{Register: d.register, Snapshot: d.snapshot, Entries: slices.Clone(d.entries), Appendable: d.snapshot != nil})
	require.NoError(n.world.t, err)
	c.mutation = n.mutate
	n.core = c
	n.step(Started{})
	n.scheduleTick()
}

func (n *node) scheduleTick() {
	life := n.life
	n.world.at(DefaultTiming().TickInterval, func() {
		if !n.up || n.life != life {
			return
		}
		if !n.frozen {
			n.step(Tick{})
		}
		n.scheduleTick()
	})
}

func (n *node) stop() { n.up = false; n.primary = false }

func (n *node) freeze() { n.frozen = true }

// thaw gives a frozen process what waits for it, the messages first.
func (n *node) thaw() {
	n.frozen = false
	held := n.held
	n.held = nil
	for _, m := range held {
		n.step(Received{m})
	}
	n.runDisk()
}

func (n *node) step(e Event) {
	effects := n.core.Step(n.world.now-n.born, e)
	for _, effect := range effects {
		n.carryOut(effect)
	}
}

func (n *node) carryOut(effect Effect) {
	w := n.world
	switch effect := effect.(type) {
	case Send:
		w.deliver(n, effect)
	case SaveRegister, AppendEntry, SaveSnapshot:
		n.disk.pending = append(n.disk.pending, effect)
		life := n.life
		w.at(2*time.Millisecond, func() {
			if n.life == life {
				n.runDisk()
			}
		})
	case Result:
		n.answers[effect.Token] = effect
	case BecamePrimary:
		n.primary = true
		w.oneWriter(n, effect.Epoch)
	case LearnedView:
		w.oneView(effect.View)
	case SteppedDown:
		require.True(w.t, n.primary)
		n.primary = false
	case Left:
		n.left = &effect
	case Log:
		if w.logging && effect.Level >= slog.LevelInfo {
			fmt.Println(w.now, n.address, effect.Message, effect.Attributes)
		}
	}
}

func (n *node) runDisk() {
	if !n.up || n.frozen || len(n.disk.pending) == 0 {
		return
	}
	job := n.disk.pending[0]
	if n.disk.stalled {
		if !n.disk.stallNote {
			n.disk.stallNote = true
			n.step(DiskStalled{jobToken(job)})
		}
		return
	}
	n.disk.stallNote = false
	n.disk.pending = n.disk.pending[1:]
	n.step(DiskDone{Token: jobToken(job), Err: n.disk.apply(job)})
}

// resumeDisk ends a stall.
func (n *node) resumeDisk() {
	n.disk.stalled = false
	for len(n.disk.pending) > 0 {
		n.runDisk()
	}
}

func (n *node) receive(m Message) {
	if n.frozen {
		n.held = append(n.held, m)
		return
	}
	n.step(Received{m})
}

// node finds the machine of a member.
func (w *world) node(m Member) *node {
	for _, n := range w.nodes {
		if n.disk.id == m.ID {
			return n
		}
	}
	return nil
}
