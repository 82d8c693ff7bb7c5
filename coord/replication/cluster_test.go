package replication

import (
	"context"
	"fmt"
	"log/slog"
	"slices"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"

	"shaletrestle/coord/replication/core"
	"shaletrestle/coord/rpc"
)

// incarnation rejects what a stopped member still tries to do.
type incarnation struct {
	*memoryStore
	network *network
	stopped atomic.Bool
}

var (
	errEnded    = errors.New("this incarnation has ended")
	errDiskFull = errors.New("the disk is full")
)

func (i *incarnation) write(f func() error) error {
	i.waitForStall()
	if i.stopped.Load() {
		return errEnded
	}
	if i.full.Load() {
		return errDiskFull
	}
	return f()
}

func (i *incarnation) SaveRegister(r core.Register) error {
	return i.write(func() error { return i.memoryStore.SaveRegister(r) })
}
func (i *incarnation) SaveSnapshot(s core.Snapshot, tail []core.Entry) error {
	return i.write(func() error { return i.memoryStore.SaveSnapshot(s, tail) })
}
func (i *incarnation) Append(e core.Entry) error {
	return i.write(func() error { return i.memoryStore.Append(e) })
}

func (i *incarnation) SetChannel(string, *rpc.Channel) {}

func (i *incarnation) Send(address string, m core.Message) {
	if !i.stopped.Load() {
		i.network.Send(address, m)
	}
}

// cluster is a number of members; three of them are the seeds.
type cluster struct {
	network       *network
	maxFailures   int
	zones         []string
	failureDomain func(string) string
	contexts      []context.Context // a member runs until its own ends
	cancels       []context.CancelFunc
	members       []*Member
	machines      []*textMachine
	stores        []*memoryStore
	incarnations  []*incarnation
	lastID        uint64
	configure     func(i int, config *Config) // changes a member's configuration before it starts; nil: nothing
}

func (c *cluster) start(i int) {
	address := fmt.Sprint("m", i)
	c.contexts[i], c.cancels[i] = context.WithCancel(context.Background())
	c.machines[i] = &textMachine{}
	c.incarnations[i] = &incarnation{memoryStore: c.stores[i], network: c.network}
	config := Config{
		Address: address, Zone: c.zones[i], Seeds: []string{"m0", "m1", "m2"}, MaxFailures: c.maxFailures, MaxDomainFailures: 1, FailureDomain: c.failureDomain,
		Store: c.incarnations[i], StateMachine: c.machines[i], Transport: c.incarnations[i],
	}
	if c.configure != nil {
		c.configure(i, &config)
	}
	m, err := New(slog.New(slog.DiscardHandler), config)
	if err != nil {
		panic(err)
	}
	c.members[i] = m
	c.network.mu.Lock()
	c.network.members[address], c.network.disconnected[address] = m, false
	c.network.mu.Unlock()
	go m.Run(c.contexts[i])
}

func (c *cluster) stop(i int) {
	c.network.setDisconnected(fmt.Sprint("m", i), true)
	c.incarnations[i].stopped.Store(true)
	c.cancels[i]()
}

// wipe gives a stopped member an empty disk.
func (c *cluster) wipe(i int) {
	c.lastID += 11
	c.stores[i] = &memoryStore{id: c.lastID, joinedLater: true}
}

// newCluster starts members in the zones named and waits until they serve.
func newCluster(maxFailures int, zones ...string) *cluster {
	c := startCluster(maxFailures, zones...)
	time.Sleep(2 * time.Second)
	return c
}

// startCluster starts members in the zones named, all at once.
func startCluster(maxFailures int, zones ...string) *cluster {
	c := makeCluster(maxFailures, zones...)
	c.startAll()
	return c
}

func makeCluster(maxFailures int, zones ...string) *cluster {
	c := &cluster{network: newNetwork(), maxFailures: maxFailures}
	for _, zone := range zones {
		c.stores[c.add(zone)].joinedLater = false
	}
	return c
}

// add makes one more machine with an empty disk and returns its index; it is not started.
func (c *cluster) add(zone string) int {
	c.zones, c.members = append(c.zones, zone), append(c.members, nil)
	c.contexts, c.cancels = append(c.contexts, nil), append(c.cancels, nil)
	c.machines, c.stores, c.incarnations = append(c.machines, nil), append(c.stores, nil), append(c.incarnations, nil)
	c.wipe(len(c.stores) - 1)
	return len(c.stores) - 1
}

func (c *cluster) startAll() {
	for i := range c.stores {
		c.start(i)
	}
}

// withCluster runs a test in simulated time on a cluster that serves, and ends the cluster.
func withCluster(t *testing.T, maxFailures int, zones []string, test func(t *testing.T, c *cluster)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(maxFailures, zones...)
		defer c.end()
		test(t, c)
	})
}

// withThreeMembers is withCluster with three members in a zone each, one of which may be lost.
func withThreeMembers(t *testing.T, test func(t *testing.T, c *cluster)) {
	t.Helper()
	withCluster(t, 1, []string{"a", "b", "c"}, test)
}

func (c *cluster) end() {
	for _, cancel := range c.cancels {
		cancel()
	}
	time.Sleep(5 * time.Second)
}

func (c *cluster) primary() int {
	for i, m := range c.members {
		if _, ok := m.PrimaryEpoch(); ok && c.contexts[i].Err() == nil {
			return i
		}
	}
	return -1
}

// otherPrimary reports whether a member other than i is primary.
func (c *cluster) otherPrimary(i int) bool {
	for j, m := range c.members {
		if _, ok := m.PrimaryEpoch(); ok && j != i {
			return true
		}
	}
	return false
}

// callTimeout is the time that calls of the tests are given.
const callTimeout = 5 * time.Second

func (c *cluster) propose(i int, s string) error {
	return c.members[i].Propose(time.Now().Add(callTimeout), func() ([]byte, error) { return []byte(s), nil })
}

func (c *cluster) confirmed(i int) bool {
	return c.members[i].Confirm(time.Now().Add(callTimeout)) == nil
}

// read gives a member's text if it is confirmed to be current.
func (c *cluster) read(i int) (text string, current bool) {
	err := c.members[i].Read(time.Now().Add(callTimeout), func() { text = string(c.machines[i].Snapshot()) })
	return text, err == nil
}

// indexOf is the index of a member in the cluster.
func (c *cluster) indexOf(member core.Member) int {
	return slices.IndexFunc(c.members, func(m *Member) bool { return m.self.ID == member.ID })
}

// memberIndex is the index of a member in a list, negative if it is not in it.
func memberIndex(members []core.Member, id core.MemberID) int {
	return slices.IndexFunc(members, func(m core.Member) bool { return m.ID == id })
}

// domainCounts counts members by what they are lost with.
func (c *cluster) domainCounts(members []core.Member) map[string]int {
	counts := map[string]int{}
	for _, m := range members {
		domain := m.Zone
		if c.failureDomain != nil {
			domain = c.failureDomain(domain)
		}
		counts[domain]++
	}
	return counts
}

// requireText requires one confirmed primary that has these entries.
func (c *cluster) requireText(t *testing.T, want string) int {
	t.Helper()
	primary := c.primary()
	require.GreaterOrEqual(t, primary, 0, "nobody is primary")
	text, current := c.read(primary)
	require.True(t, current)
	require.Equal(t, want, text)
	return primary
}

// requireHealthyWitnesses requires as many witnesses as are wanted, each a disk that is there, and no failure domain with more than are tolerated.
func (c *cluster) requireHealthyWitnesses(t *testing.T, view *core.View) {
	t.Helper()
	require.Len(t, view.Witnesses, 2*c.maxFailures+1)
	for _, w := range view.Witnesses {
		i := c.indexOf(w)
		require.GreaterOrEqual(t, i, 0, "witness %d is a disk that is gone", w.ID)
		require.NoError(t, c.contexts[i].Err(), "witness %s is lost", w.Address)
	}
	for domain, n := range c.domainCounts(view.Witnesses) {
		require.LessOrEqual(t, n, c.maxFailures, "too many witnesses in failure domain %s", domain)
	}
}

// diskPosition is the end of a member's state.
func (c *cluster) diskPosition(i int) core.Position {
	c.members[i].mu.Lock()
	defer c.members[i].mu.Unlock()
	return c.members[i].core.State(c.members[i].now()).Position
}

// ask hands a member a message and gives the first answer that fits.
func (c *cluster) ask(t *testing.T, m *Member, question core.Message, fits func(core.Message) bool) core.Message {
	t.Helper()
	tapped := make(chan core.Message, 1024)
	c.network.mu.Lock()
	c.network.tap, c.network.tapAddress = tapped, question.Route().From.Address
	c.network.mu.Unlock()
	defer func() {
		c.network.mu.Lock()
		c.network.tap = nil
		c.network.mu.Unlock()
	}()
	m.receive(question)
	late := time.After(time.Second)
	for {
		select {
		case answer := <-tapped:
			if answer.Route().From.ID == m.self.ID && fits(answer) {
				return answer
			}
		case <-late:
			require.Fail(t, "no answer", "%T", question)
			return nil
		}
	}
}

// sendAppend hands a member an entry and gives its answer.
func (c *cluster) sendAppend(t *testing.T, m *Member, question core.Append) core.AppendReply {
	t.Helper()
	answer := c.ask(t, m, question, func(a core.Message) bool {
		reply, ok := a.(core.AppendReply)
		return ok && reply.Index == question.Entry.Index
	})
	return answer.(core.AppendReply)
}

// nextEntry is an entry that follows the state of a member.
func (c *cluster) nextEntry(i int, view *core.View, data string) core.Entry {
	end := c.diskPosition(i)
	return core.Entry{Index: end.Index + 1, Epoch: view.Epoch, Ballot: view.Ballot, Previous: end.Digest, Data: []byte(data)}
}
