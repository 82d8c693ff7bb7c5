package replication

import (
	"context"
	"fmt"
	"log/slog"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"shaletrestle/coord/replication/core"
	"shaletrestle/coord/rpc"
	"shaletrestle/internal/errkind"
)

// life fences what a stopped member still tries to do.
type life struct {
	*memory
	h    *hall
	dead atomic.Bool
}

var errDead = errkind.New(errkind.Unavailable, "this life is over")

func (l *life) write(f func() error) error {
	l.wait()
	if l.dead.Load() {
		return errDead
	}
	if l.full.Load() {
		return errkind.New(errkind.Unavailable, "the disk is full")
	}
	return f()
}

func (l *life) SaveRegister(r core.Register) error {
	return l.write(func() error { return l.memory.SaveRegister(r) })
}
func (l *life) SaveSnapshot(s core.Snapshot, tail []core.Entry) error {
	return l.write(func() error { return l.memory.SaveSnapshot(s, tail) })
}
func (l *life) Append(e core.Entry) error {
	return l.write(func() error { return l.memory.Append(e) })
}

func (l *life) SetChannel(string, *rpc.Channel) {}

func (l *life) Send(address string, m core.Message) {
	if !l.dead.Load() {
		l.h.Send(address, m)
	}
}

// crowd is a number of members; three of them are the seeds.
type crowd struct {
	h      *hall
	losses int
	zone   []string
	area   func(string) string
	ctx    []context.Context // a member runs until its own ends
	cancel []context.CancelFunc
	m      []*Member
	l      []*lines
	st     []*memory
	lf     []*life
	ids    uint64
	adjust func(i int, config *Config) // changes a member's configuration before it starts; nil: nothing
}

func (t *crowd) start(i int) {
	address := fmt.Sprint("m", i)
	t.ctx[i], t.cancel[i] = context.WithCancel(context.Background())
	t.l[i] = &lines{}
	t.lf[i] = &life{memory: t.st[i], h: t.h}
	config := Config{
		Address: address, Zone: t.zone[i], Seeds: []string{"m0", "m1", "m2"}, MaxFailures: t.losses, MaxDomainFailures: 1, FailureDomain: t.area,
		Store: t.lf[i], StateMachine: t.l[i], Transport: t.lf[i],
	}
	if t.adjust != nil {
		t.adjust(i, &config)
	}
	m, err := New(t.ctx[i], slog.New(slog.DiscardHandler), config)
	if err != nil {
		panic(err)
	}
	t.m[i] = m
	t.h.mu.Lock()
	t.h.m[address], t.h.off[address] = m, false
	t.h.mu.Unlock()
	go m.Run()
}

func (t *crowd) stop(i int) {
	t.h.setOff(fmt.Sprint("m", i), true)
	t.lf[i].dead.Store(true)
	t.cancel[i]()
}

// wipe gives a stopped member an empty disk.
func (t *crowd) wipe(i int) {
	t.ids += 11
	t.st[i] = &memory{id: t.ids, late: true}
}

// newCrowd starts members in the zones named and waits until they serve.
func newCrowd(losses int, zones ...string) *crowd {
	t := startCrowd(losses, zones...)
	time.Sleep(2 * time.Second)
	return t
}

// startCrowd starts members in the zones named, all at once.
func startCrowd(losses int, zones ...string) *crowd {
	t := makeCrowd(losses, zones...)
	t.startAll()
	return t
}

func makeCrowd(losses int, zones ...string) *crowd {
	t := &crowd{h: newHall(), losses: losses}
	for _, z := range zones {
		t.add(z)
		t.st[len(t.st)-1].late = false
	}
	return t
}

// add puts up one more machine, with an empty disk; it is not started.
func (t *crowd) add(zone string) int {
	t.zone, t.m = append(t.zone, zone), append(t.m, nil)
	t.ctx, t.cancel = append(t.ctx, nil), append(t.cancel, nil)
	t.l, t.st, t.lf = append(t.l, nil), append(t.st, nil), append(t.lf, nil)
	t.wipe(len(t.st) - 1)
	return len(t.st) - 1
}

func (t *crowd) startAll() {
	for i := range t.st {
		t.start(i)
	}
}

func newTrio() *crowd { return newCrowd(1, "a", "b", "c") }

func (t *crowd) end() {
	for _, cancel := range t.cancel {
		cancel()
	}
	time.Sleep(5 * time.Second)
}

func (t *crowd) primary() int {
	for i, m := range t.m {
		if _, ok := m.PrimaryEpoch(); ok && t.ctx[i].Err() == nil {
			return i
		}
	}
	return -1
}

// otherPrimary tells whether a member other than i is primary.
func (t *crowd) otherPrimary(i int) bool {
	for j, m := range t.m {
		if _, ok := m.PrimaryEpoch(); ok && j != i {
			return true
		}
	}
	return false
}

// patience is the time that calls of the tests are given.
const patience = 5 * time.Second

func (t *crowd) propose(i int, s string) error {
	return t.m[i].Propose(time.Now().Add(patience), func() ([]byte, error) { return []byte(s), nil })
}

func (t *crowd) confirmed(i int) bool {
	return t.m[i].Confirm(time.Now().Add(patience)) == nil
}

// read gives a member's text if it is confirmed to be current.
func (t *crowd) read(i int) (text string, current bool) {
	err := t.m[i].Read(time.Now().Add(patience), func() { text = string(t.l[i].Snapshot()) })
	return text, err == nil
}

// at is the place of a member in the crowd.
func (t *crowd) at(member core.Member) int {
	return slices.IndexFunc(t.m, func(m *Member) bool { return m.self.ID == member.ID })
}

// index is the place of a member in a list, negative if it is not in it.
func index(members []core.Member, id core.MemberID) int {
	return slices.IndexFunc(members, func(m core.Member) bool { return m.ID == id })
}

// places counts members by what they are lost with.
func (t *crowd) places(members []core.Member) map[string]int {
	places := map[string]int{}
	for _, m := range members {
		place := m.Zone
		if t.area != nil {
			place = t.area(place)
		}
		places[place]++
	}
	return places
}

// holds requires one confirmed primary that has these entries.
func (t *crowd) holds(tt *testing.T, want string) int {
	tt.Helper()
	p := t.primary()
	require.GreaterOrEqual(tt, p, 0, "nobody is primary")
	text, current := t.read(p)
	require.True(tt, current)
	require.Equal(tt, want, text)
	return p
}

// witnessesAreWell requires as many witnesses as are wanted, each a disk that is there, and no place with more than are borne.
func (t *crowd) witnessesAreWell(tt *testing.T, view *core.View) {
	tt.Helper()
	require.Len(tt, view.Witnesses, 2*t.losses+1)
	for _, w := range view.Witnesses {
		i := t.at(w)
		require.GreaterOrEqual(tt, i, 0, "witness %d is a disk that is gone", w.ID)
		require.False(tt, t.ctx[i].Err() != nil, "witness %s is lost", w.Address)
	}
	for place, n := range t.places(view.Witnesses) {
		require.LessOrEqual(tt, n, t.losses, "too many witnesses in %s", place)
	}
}

// position is where a member's state stands.
func (t *crowd) position(i int) core.Position {
	t.m[i].mu.Lock()
	defer t.m[i].mu.Unlock()
	return t.m[i].core.State(t.m[i].now()).Position
}

// ask hands a member a message and gives the first answer that fits.
func (t *crowd) ask(tt *testing.T, m *Member, question core.Message, fits func(core.Message) bool) core.Message {
	tt.Helper()
	tapped := make(chan core.Message, 1024)
	t.h.mu.Lock()
	t.h.tapped, t.h.tapAddr = tapped, question.Route().From.Address
	t.h.mu.Unlock()
	defer func() {
		t.h.mu.Lock()
		t.h.tapped = nil
		t.h.mu.Unlock()
	}()
	m.Receive(question)
	late := time.After(time.Second)
	for {
		select {
		case answer := <-tapped:
			if answer.Route().From.ID == m.self.ID && fits(answer) {
				return answer
			}
		case <-late:
			require.Fail(tt, "no answer", "%T", question)
			return nil
		}
	}
}

// sendAppend hands a member an entry and gives its answer.
func (t *crowd) sendAppend(tt *testing.T, m *Member, question core.Append) core.AppendReply {
	tt.Helper()
	answer := t.ask(tt, m, question, func(a core.Message) bool {
		reply, ok := a.(core.AppendReply)
		return ok && reply.Index == question.Entry.Index
	})
	return answer.(core.AppendReply)
}

// nextEntry is an entry that follows what a member holds.
func (t *crowd) nextEntry(i int, view *core.View, data string) core.Entry {
	held := t.position(i)
	return core.Entry{Index: held.Index + 1, Epoch: view.Epoch, Ballot: view.Ballot, Previous: held.Digest, Data: []byte(data)}
}
