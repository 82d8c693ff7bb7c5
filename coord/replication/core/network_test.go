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
	at       time.Duration
	sequence int
	run      func()
}

// network is a simulated network of cores with one clock.
type network struct {
	t        testing.TB
	now      time.Duration
	sequence int
	queue    []event
	nodes    []*node
	losses   int
	areas    int
	area     func(string) string
	limits   Limits
	nextID   MemberID
	token    Token
	delay    time.Duration
	rate     int                              // bytes a second of a link for chunks of a state; 0: no bound
	freeAt   map[[2]string]time.Duration      // when a link has sent what it was given
	cut      map[[2]string]bool               // one way
	drop     func(from *node, m Message) bool // whether a message is lost
	logging  bool
	views    map[Epoch]StateTag // chosen, as members learned them
	writers  map[Epoch]string   // who was primary, in which incarnation
}

func newNetwork(t testing.TB, losses int, zones ...string) *network {
	net := &network{t: t, losses: losses, areas: 1, limits: DefaultLimits(), delay: time.Millisecond, cut: map[[2]string]bool{}, logging: os.Getenv("CORE_LOG") != "", freeAt: map[[2]string]time.Duration{}, views: map[Epoch]StateTag{}, writers: map[Epoch]string{}}
	for _, zone := range zones {
		net.add(zone).disk.first = true
	}
	return net
}

// add puts up one more machine, with an empty disk; it is not started.
func (net *network) add(zone string) *node {
	node := &node{network: net, address: fmt.Sprint("m", len(net.nodes)), zone: zone, answers: map[Token]Result{}}
	net.nodes = append(net.nodes, node)
	node.wipe()
	return node
}

func (net *network) at(d time.Duration, run func()) {
	net.sequence++
	net.queue = append(net.queue, event{net.now + d, net.sequence, run})
}

// run plays the simulated time.
func (net *network) run(d time.Duration) {
	end := net.now + d
	for {
		i := net.nextEvent()
		if i < 0 || net.queue[i].at > end {
			break
		}
		next := net.queue[i]
		net.queue = slices.Delete(net.queue, i, i+1)
		net.now = next.at
		next.run()
	}
	net.now = end
}

func (net *network) nextEvent() int {
	if len(net.queue) == 0 {
		return -1
	}
	best := 0
	for i, e := range net.queue {
		if cmp.Or(cmp.Compare(e.at, net.queue[best].at), cmp.Compare(e.sequence, net.queue[best].sequence)) < 0 {
			best = i
		}
	}
	return best
}

func (net *network) startAll() {
	for _, node := range net.nodes {
		node.start()
	}
}

// requireOnePrimary requires that one member, in one incarnation, writes in a view.
func (net *network) requireOnePrimary(node *node, epoch Epoch) {
	writer := fmt.Sprint(node.disk.id, " in incarnation ", node.incarnation)
	if net.writers[epoch] == "" {
		net.writers[epoch] = writer
	}
	require.Equal(net.t, net.writers[epoch], writer, "primary of epoch %d", epoch)
}

// requireOneView requires that views are a chain.
func (net *network) requireOneView(view View) {
	if _, found := net.views[view.Epoch]; !found {
		net.views[view.Epoch] = view.Tag()
	}
	require.Equal(net.t, net.views[view.Epoch], view.Tag(), "view of epoch %d", view.Epoch)
}

func (net *network) deliver(from *node, send Send) {
	if net.drop != nil && net.drop(from, send.Message) {
		return
	}
	if net.cut[[2]string{from.address, send.Address}] {
		return
	}
	net.at(net.delay+net.queueing(from, send), func() {
		for _, node := range net.nodes {
			if node.address == send.Address && node.up {
				node.receive(send.Message)
			}
		}
	})
}

// queueing is how long a message waits for the link and takes on it.
func (net *network) queueing(from *node, send Send) time.Duration {
	if net.rate == 0 {
		return 0
	}
	bytes := 0
	if part, is := send.Message.(SnapshotChunk); is {
		bytes = len(part.Data)
	}
	link := [2]string{from.address, send.Address}
	net.freeAt[link] = max(net.now, net.freeAt[link]) + time.Duration(bytes)*time.Second/time.Duration(net.rate)
	return net.freeAt[link] - net.now
}

// isolate cuts a member off from all others, both ways.
func (net *network) isolate(node *node) {
	for _, other := range net.nodes {
		net.cut[[2]string{node.address, other.address}] = true
		net.cut[[2]string{other.address, node.address}] = true
	}
}

func (net *network) heal() { clear(net.cut) }

// propose begins a command of a member; the answer comes as time goes on.
func (node *node) propose(decide func() ([]byte, error)) Token {
	node.network.token++
	token := node.network.token
	now := node.network.now - node.born
	node.step(Command{Token: token, Deadline: now + 2*time.Second, Decide: decide})
	return token
}

func (node *node) proposeText(s string) Token {
	return node.propose(func() ([]byte, error) { return []byte(s), nil })
}

func (node *node) read() Token {
	node.network.token++
	node.step(Read{Token: node.network.token, Deadline: node.network.now - node.born + 2*time.Second})
	return node.network.token
}

// outcome plays until a call is answered.
func (node *node) outcome(token Token) Outcome {
	for range 5000 {
		if answer, ok := node.answers[token]; ok {
			return answer.Outcome
		}
		node.network.run(time.Millisecond)
	}
	require.Fail(node.network.t, "no result")
	return 0
}

func (net *network) primary() *node {
	var found *node
	for _, node := range net.nodes {
		if node.up && node.primary && (found == nil || node.core.primaryEpoch > found.core.primaryEpoch) {
			found = node
		}
	}
	return found
}

// commit gives a command to the primary, which must take it.
func (net *network) commit(s string) *node {
	net.t.Helper()
	primary := net.primary()
	require.NotNil(net.t, primary, "nobody is primary")
	require.Equal(net.t, Committed, primary.outcome(primary.proposeText(s)))
	return primary
}

// holds requires a primary that is confirmed and has this text.
func (net *network) holds(want string) *node {
	net.t.Helper()
	primary := net.primary()
	require.NotNil(net.t, primary, "nobody is primary")
	require.Equal(net.t, Current, primary.outcome(primary.read()))
	require.Equal(net.t, want, primary.machine.content)
	return primary
}

func startedNetwork(t testing.TB, losses int, zones ...string) *network {
	net := newNetwork(t, losses, zones...)
	net.startAll()
	net.run(2 * time.Second)
	return net
}

func kindOf(m Message) string { return strings.TrimPrefix(fmt.Sprintf("%T", m), "core.") }
