package core

import (
	"cmp"
	"fmt"
	"os"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// text is a state machine that keeps a text.
type text struct{ content string }

func (m *text) Apply(entry []byte)            { m.content += string(entry) + ";" }
func (m *text) Snapshot() []byte              { return []byte(m.content) }
func (m *text) Restore(snapshot []byte) error { m.content = string(snapshot); return nil }

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
	rate    int                              // bytes a second of a link for parts of a state; 0: no bound
	freeAt  map[[2]string]time.Duration      // when a link has sent what it was given
	cut     map[[2]string]bool               // one way
	drop    func(from *node, m Message) bool // whether a message is lost
	logging bool
	views   map[Epoch]StateTag // chosen, as members learned them
	writers map[Epoch]string   // who was primary, in which life
}

func newWorld(t testing.TB, losses int, zones ...string) *world {
	w := &world{t: t, losses: losses, areas: 1, limits: DefaultLimits(), delay: time.Millisecond, cut: map[[2]string]bool{}, logging: os.Getenv("CORE_LOG") != "", freeAt: map[[2]string]time.Duration{}, views: map[Epoch]StateTag{}, writers: map[Epoch]string{}}
	for _, zone := range zones {
		w.add(zone).disk.first = true
	}
	return w
}

// add puts up one more machine, with an empty disk; it is not started.
func (w *world) add(zone string) *node {
	n := &node{world: w, address: fmt.Sprint("m", len(w.nodes)), zone: zone, answers: map[Token]Result{}}
	w.nodes = append(w.nodes, n)
	n.wipe()
	return n
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

func (w *world) deliver(from *node, send Send) {
	if w.drop != nil && w.drop(from, send.Message) {
		return
	}
	if w.cut[[2]string{from.address, send.Address}] {
		return
	}
	w.at(w.delay+w.queueing(from, send), func() {
		for _, n := range w.nodes {
			if n.address == send.Address && n.up {
				n.receive(send.Message)
			}
		}
	})
}

// queueing is how long a message waits for the link and takes on it.
func (w *world) queueing(from *node, send Send) time.Duration {
	if w.rate == 0 {
		return 0
	}
	bytes := 0
	if part, is := send.Message.(SnapshotChunk); is {
		bytes = len(part.Data)
	}
	link := [2]string{from.address, send.Address}
	w.freeAt[link] = max(w.now, w.freeAt[link]) + time.Duration(bytes)*time.Second/time.Duration(w.rate)
	return w.freeAt[link] - w.now
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
	n.step(Command{Token: token, Deadline: now + 2*time.Second, Decide: decide})
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
