package core

import (
	"cmp"
	"errors"
	"fmt"
	"log/slog"
	"os"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"shaletrestle/coord/replication/core/internal/mutation"
)

// text is a state machine that keeps a text.
type text struct{ content string }

func (m *text) Apply(entry []byte)            { m.content += string(entry) + ";" }
func (m *text) Snapshot() []byte              { return []byte(m.content) }
func (m *text) Restore(snapshot []byte) error { m.content = string(snapshot); return nil }

// stored is a simulated disk: a job's effect is there when the job ends.
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
	answers map[Token]Answer
	primary bool
	left    *Left
	mutate  mutation.Kind
}

type event struct {
	at    time.Duration
	order int
	run   func()
}

// world is a simulated network of cores with one clock.
type world struct {
	t       testing.TB
	now     time.Duration
	order   int
	queue   []event
	nodes   []*node
	losses  int
	areas   int
	area    func(string) string
	limits  Limits
	nextID  MemberID
	token   Token
	delay   time.Duration
	cut     map[[2]string]bool               // one way
	drop    func(from *node, m Message) bool // whether a message is lost
	logging bool
	views   map[Epoch]StateTag // chosen, as members learned them
	writers map[Epoch]string   // who was primary, in which life
}

func newWorld(t testing.TB, losses int, zones ...string) *world {
	w := &world{t: t, losses: losses, areas: 1, limits: DefaultLimits(), delay: time.Millisecond, cut: map[[2]string]bool{}, logging: os.Getenv("CORE_LOG") != "", views: map[Epoch]StateTag{}, writers: map[Epoch]string{}}
	for _, zone := range zones {
		w.add(zone).disk.first = true
	}
	return w
}

// add puts up one more machine, with an empty disk; it is not started.
func (w *world) add(zone string) *node {
	n := &node{world: w, address: fmt.Sprint("m", len(w.nodes)), zone: zone, answers: map[Token]Answer{}}
	w.nodes = append(w.nodes, n)
	n.wipe()
	return n
}

// wipe gives a stopped machine an empty disk.
func (n *node) wipe() {
	n.world.nextID += 11
	n.disk = &storedDisk{id: n.world.nextID}
}

func (n *node) member() Member {
	return Member{ID: n.disk.id, Address: n.address, Zone: n.zone}
}

func (w *world) at(d time.Duration, run func()) {
	w.order++
	w.queue = append(w.queue, event{w.now + d, w.order, run})
}

// run plays the simulated time.
func (w *world) run(d time.Duration) {
	end := w.now + d
	for {
		i := w.nextEvent()
		if i < 0 || w.queue[i].at > end {
			break
		}
		next := w.queue[i]
		w.queue = slices.Delete(w.queue, i, i+1)
		w.now = next.at
		next.run()
	}
	w.now = end
}

func (w *world) nextEvent() int {
	if len(w.queue) == 0 {
		return -1
	}
	best := 0
	for i, e := range w.queue {
		if cmp.Or(cmp.Compare(e.at, w.queue[best].at), cmp.Compare(e.order, w.queue[best].order)) < 0 {
			best = i
		}
	}
	return best
}

func (w *world) startAll() {
	for _, n := range w.nodes {
		n.start()
	}
}

func (n *node) config() Config {
	w := n.world
	seeds := n.seeds
	if seeds == nil {
		seeds = []string{"m0", "m1", "m2"}[:min(3, len(w.nodes))]
	}
	return Config{
		Self: n.member(), Seeds: seeds, Losses: w.losses, Areas: w.areas, Area: w.area,
		Relay: n.relay, Bootstrap: n.disk.first, Machine: n.machine, Timing: DefaultTiming(), Limits: w.limits,
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
	c, err := New(n.config(), Stored{Register: d.register, Snapshot: d.snapshot, Entries: slices.Clone(d.entries), TailIsOpen: d.snapshot != nil})
	require.NoError(n.world.t, err)
	c.mutation = n.mutate
	n.core = c
	n.step(Started{})
	n.scheduleTick()
}

func (n *node) scheduleTick() {
	life := n.life
	n.world.at(DefaultTiming().Tick, func() {
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
	case Answer:
		n.answers[effect.Token] = effect
	case BecamePrimary:
		n.primary = true
		w.oneWriter(n, effect.Epoch)
	case LearnedView:
		w.oneView(effect.View)
	case StoppedBeingPrimary:
		require.True(w.t, n.primary)
		n.primary = false
	case Left:
		n.left = &effect
	case Log:
		if w.logging && effect.Level >= slog.LevelInfo {
			fmt.Println(w.now, n.address, effect.Text, effect.Attributes)
		}
	}
}

// oneWriter requires that one member, in one life, writes in a view.
func (w *world) oneWriter(n *node, epoch Epoch) {
	writer := fmt.Sprint(n.disk.id, " in life ", n.life)
	if w.writers[epoch] == "" {
		w.writers[epoch] = writer
	}
	require.Equal(w.t, w.writers[epoch], writer, "primary of epoch %d", epoch)
}

// oneView requires that views are a chain.
func (w *world) oneView(view View) {
	if _, found := w.views[view.Epoch]; !found {
		w.views[view.Epoch] = view.Tag()
	}
	require.Equal(w.t, w.views[view.Epoch], view.Tag(), "view of epoch %d", view.Epoch)
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

func (w *world) deliver(from *node, send Send) {
	if w.drop != nil && w.drop(from, send.Message) {
		return
	}
	if w.cut[[2]string{from.address, send.Address}] {
		return
	}
	w.at(w.delay, func() {
		for _, n := range w.nodes {
			if n.address == send.Address && n.up {
				n.receive(send.Message)
			}
		}
	})
}

func (n *node) receive(m Message) {
	if n.frozen {
		n.held = append(n.held, m)
		return
	}
	n.step(Received{m})
}

// isolate cuts a member off from all others, both ways or only what it sends.
func (w *world) isolate(n *node, bothWays bool) {
	for _, other := range w.nodes {
		w.cut[[2]string{n.address, other.address}] = true
		if bothWays {
			w.cut[[2]string{other.address, n.address}] = true
		}
	}
}

func (w *world) heal() { clear(w.cut) }

// order begins an order of a member; the answer comes as time goes on.
func (n *node) order(decide func() ([]byte, error)) Token {
	n.world.token++
	token := n.world.token
	now := n.world.now - n.born
	n.step(Order{Token: token, Deadline: now + 2*time.Second, Decide: decide})
	return token
}

func (n *node) orderText(s string) Token {
	return n.order(func() ([]byte, error) { return []byte(s), nil })
}

func (n *node) read() Token {
	n.world.token++
	n.step(Read{Token: n.world.token, Deadline: n.world.now - n.born + 2*time.Second})
	return n.world.token
}

// outcome plays until a call is answered.
func (n *node) outcome(token Token) Outcome {
	for range 5000 {
		if answer, ok := n.answers[token]; ok {
			return answer.Outcome
		}
		n.world.run(time.Millisecond)
	}
	require.Fail(n.world.t, "no answer")
	return 0
}

func (w *world) primary() *node {
	var found *node
	for _, n := range w.nodes {
		if n.up && n.primary && (found == nil || n.core.activeEpoch > found.core.activeEpoch) {
			found = n
		}
	}
	return found
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

// commit gives an order to the primary, which must take it.
func (w *world) commit(s string) *node {
	w.t.Helper()
	p := w.primary()
	require.NotNil(w.t, p, "nobody is primary")
	require.Equal(w.t, Committed, p.outcome(p.orderText(s)))
	return p
}

// holds requires a primary that is confirmed and has this text.
func (w *world) holds(want string) *node {
	w.t.Helper()
	p := w.primary()
	require.NotNil(w.t, p, "nobody is primary")
	require.Equal(w.t, Current, p.outcome(p.read()))
	require.Equal(w.t, want, p.machine.content)
	return p
}

func startedWorld(t testing.TB, losses int, zones ...string) *world {
	w := newWorld(t, losses, zones...)
	w.startAll()
	w.run(2 * time.Second)
	return w
}

func kindOf(m Message) string { return strings.TrimPrefix(fmt.Sprintf("%T", m), "core.") }
