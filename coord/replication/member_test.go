package replication

import (
	"fmt"
	"log/slog"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"shaletrestle/coord/rpc"
	"shaletrestle/internal/clock"
	"shaletrestle/internal/errkind"
	"shaletrestle/internal/task"
)

// lines is a machine that keeps a text.
type lines struct {
	mu sync.Mutex
	s  string
}

func (l *lines) Apply(e []byte)         { l.mu.Lock(); l.s += string(e) + ";"; l.mu.Unlock() }
func (l *lines) Checkpoint() []byte     { l.mu.Lock(); defer l.mu.Unlock(); return []byte(l.s) }
func (l *lines) Restore(b []byte) error { l.mu.Lock(); l.s = string(b); l.mu.Unlock(); return nil }

// memory is a store that fails only when it is full.
type memory struct {
	mu   sync.Mutex
	id   uint64
	late bool // made after the first start
	full atomic.Bool
	reg  Register
	held Held
}

func (m *memory) Identity() (uint64, bool) { return m.id, !m.late }
func (m *memory) LoadRegister() Register {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.reg
}
func (m *memory) SaveRegister(r Register) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.reg = r
	return nil
}
func (m *memory) Load() Held {
	m.mu.Lock()
	defer m.mu.Unlock()
	return Held{m.held.Tag, m.held.Base, slices.Clone(m.held.Tail)}
}
func (m *memory) Reset(h Held) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.held = Held{h.Tag, h.Base, slices.Clone(h.Tail)}
	return nil
}
func (m *memory) Append(e []byte) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.held.Tail = append(m.held.Tail, e)
	return nil
}
func (m *memory) Size() int { return 0 }

// hall carries notes between members of one process; some steps may be lost.
type hall struct {
	mu   sync.Mutex
	m    map[string]*Member
	off  map[string]bool
	cut  map[[2]string]bool // one way
	drop func(addr string, n *rpc.Note) bool
	rate int // bytes a second of one call; 0: no bound
}

func (h *hall) Call(addr string, n *rpc.Note, d clock.Span) (*rpc.Note, error) {
	h.mu.Lock()
	m, off, drop := h.m[addr], h.off[addr] || h.off[n.From.Addr] || h.cut[[2]string{n.From.Addr, addr}], h.drop
	h.mu.Unlock()
	time.Sleep(time.Millisecond)
	if h.rate > 0 {
		took := time.Duration(len(n.Body)) * time.Second / time.Duration(h.rate)
		off = off || took > d
		time.Sleep(min(took, d))
	}
	if m == nil || off || drop != nil && drop(addr, n) {
		time.Sleep(d)
		return nil, errkind.New(errkind.Unready, "lost")
	}
	x := *n
	a, _ := m.Handle(&x)
	h.mu.Lock()
	lost := h.off[addr] || h.cut[[2]string{addr, n.From.Addr}] || h.m[addr] != m
	h.mu.Unlock()
	if lost {
		time.Sleep(d)
		return nil, errkind.New(errkind.Unready, "the answer is lost")
	}
	return a, nil
}

// life fences what a stopped member still tries to do.
type life struct {
	*memory
	h    *hall
	dead atomic.Bool
}

var errDead = errkind.New(errkind.Unready, "this life is over")

func (l *life) write(f func() error) error {
	if l.dead.Load() {
		return errDead
	}
	if l.full.Load() {
		return errkind.New(errkind.Unready, "the disk is full")
	}
	return f()
}

func (l *life) SaveRegister(r Register) error {
	return l.write(func() error { return l.memory.SaveRegister(r) })
}
func (l *life) Reset(h Held) error    { return l.write(func() error { return l.memory.Reset(h) }) }
func (l *life) Append(e []byte) error { return l.write(func() error { return l.memory.Append(e) }) }

func (l *life) Call(addr string, n *rpc.Note, d clock.Span) (*rpc.Note, error) {
	if l.dead.Load() {
		return nil, errDead
	}
	return l.h.Call(addr, n, d)
}

// crowd is a number of members; three of them are the seeds.
type crowd struct {
	h      *hall
	losses int
	zone   []string
	area   func(string) string
	sc     []*task.Scope
	m      []*Member
	l      []*lines
	st     []*memory
	lf     []*life
	ids    uint64
}

func (t *crowd) start(i int) {
	addr := fmt.Sprint("m", i)
	t.sc[i] = task.New(slog.New(slog.DiscardHandler))
	t.l[i] = &lines{}
	t.lf[i] = &life{memory: t.st[i], h: t.h}
	m, err := New(t.sc[i], Config{Addr: addr, Locality: t.zone[i], Seeds: []string{"m0", "m1", "m2"}, Losses: t.losses, Areas: 1, Area: t.area, Store: t.lf[i], Machine: t.l[i], Caller: t.lf[i]})
	if err != nil {
		panic(err)
	}
	t.m[i] = m
	t.h.mu.Lock()
	t.h.m[addr], t.h.off[addr] = m, false
	t.h.mu.Unlock()
	go m.Run()
}

func (t *crowd) stop(i int) {
	t.h.mu.Lock()
	t.h.off[fmt.Sprint("m", i)] = true
	t.h.mu.Unlock()
	t.lf[i].dead.Store(true)
	t.sc[i].Stop()
}

// wipe gives a stopped member an empty disk.
func (t *crowd) wipe(i int) {
	t.ids += 11
	t.st[i] = &memory{id: t.ids, late: true}
}

// newCrowd starts members in the localities named and waits until they serve.
func newCrowd(losses int, zones ...string) *crowd {
	t := startCrowd(losses, zones...)
	time.Sleep(2 * time.Second)
	return t
}

// startCrowd starts members in the localities named, all at once.
func startCrowd(losses int, zones ...string) *crowd {
	t := makeCrowd(losses, zones...)
	t.startAll()
	return t
}

func makeCrowd(losses int, zones ...string) *crowd {
	t := &crowd{h: &hall{m: map[string]*Member{}, off: map[string]bool{}, cut: map[[2]string]bool{}}, losses: losses}
	for _, z := range zones {
		t.add(z)
		t.st[len(t.st)-1].late = false
	}
	return t
}

// add puts up one more machine, with an empty disk; it is not started.
func (t *crowd) add(zone string) int {
	t.zone, t.sc, t.m, t.l, t.st, t.lf = append(t.zone, zone), append(t.sc, nil), append(t.m, nil), append(t.l, nil), append(t.st, nil), append(t.lf, nil)
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
	for _, s := range t.sc {
		s.Stop()
	}
	time.Sleep(5 * time.Second)
}

func (t *crowd) primary() int {
	for i, m := range t.m {
		if _, ok := m.Active(); ok && !t.sc[i].Ended() {
			return i
		}
	}
	return -1
}

func (t *crowd) propose(i int, s string) error {
	return t.m[i].Propose(func() ([]byte, error) { return []byte(s), nil })
}

// at is the place of a member in the crowd.
func (t *crowd) at(s rpc.Seat) int {
	return slices.IndexFunc(t.m, func(m *Member) bool { return m.Self().ID == s.ID })
}

// TestTakeoverAtEveryStepOfAWrite loses the primary at each step of a write: what was acknowledged is held by the next one, what was not is held or is not.
func TestTakeoverAtEveryStepOfAWrite(t *testing.T) {
	for _, step := range []string{"before append", "append lost", "answer lost", "after answer"} {
		t.Run(step, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				tr := newTrio()
				defer tr.end()
				p := tr.primary()
				require.GreaterOrEqual(t, p, 0)
				require.NoError(t, tr.propose(p, "first"))
				acked := false
				switch step {
				case "append lost", "answer lost":
					tr.h.mu.Lock()
					tr.h.drop = func(addr string, n *rpc.Note) bool {
						if n.Kind != rpc.Append {
							return false
						}
						if step == "answer lost" {
							x := *n
							tr.h.m[addr].Handle(&x)
						}
						tr.h.off[fmt.Sprint("m", p)] = true
						return true
					}
					tr.h.mu.Unlock()
					acked = tr.propose(p, "second") == nil
				case "after answer":
					acked = tr.propose(p, "second") == nil
					require.True(t, acked)
				}
				tr.stop(p)
				time.Sleep(6 * time.Second)
				q := tr.primary()
				require.NotEqual(t, p, q)
				require.GreaterOrEqual(t, q, 0)
				require.True(t, tr.m[q].Confirmed())
				got := string(tr.l[q].Checkpoint())
				require.True(t, strings.HasPrefix(got, "first;"), got)
				if acked || step == "answer lost" {
					require.Equal(t, "first;second;", got)
				} else {
					require.Equal(t, "first;", got)
				}
				tr.h.mu.Lock()
				tr.h.drop = nil
				tr.h.mu.Unlock()
				require.NoError(t, tr.propose(q, "third"))
				tr.start(p)
				time.Sleep(3 * time.Second)
				require.Equal(t, q, tr.primary(), "the returning one drops its tail and does not take over")
			})
		})
	}
}

func TestADeposedPrimaryAcknowledgesNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tr := newTrio()
		defer tr.end()
		p := tr.primary()
		tr.h.mu.Lock()
		tr.h.off[fmt.Sprint("m", p)] = true
		tr.h.mu.Unlock()
		require.Error(t, tr.propose(p, "alone"))
		require.False(t, tr.m[p].Confirmed())
		time.Sleep(5 * time.Second)
		n := 0
		for _, m := range tr.m {
			if _, ok := m.Active(); ok {
				n++
			}
		}
		require.Equal(t, 1, n)
	})
}

// TestACutOffPrimaryRefusesNothingClearly asks a primary all the time while it is cut off and followed, and after it is back: a refusal or an "in force already" of its own comes only while nobody else is primary.
func TestACutOffPrimaryRefusesNothingClearly(t *testing.T) {
	for _, gone := range []time.Duration{1050, 1100, 1150, 1200, 1300, 2000} {
		synctest.Test(t, func(t *testing.T) {
			tr := newTrio()
			defer tr.end()
			p := tr.primary()
			cut := func(off bool) {
				tr.h.mu.Lock()
				tr.h.off[fmt.Sprint("m", p)] = off
				tr.h.mu.Unlock()
			}
			cut(true)
			start := time.Now()
			var followed atomic.Int64
			for time.Since(start) < 4*time.Second {
				if time.Since(start) > gone*time.Millisecond {
					cut(false)
				}
				time.Sleep(5 * time.Millisecond)
				for _, decision := range []error{nil, errkind.New(errkind.Stale, "version 1 is current")} {
					go func() {
						other := tr.otherPrimary(p)
						err := tr.m[p].Propose(func() ([]byte, error) { return nil, decision })
						if other {
							followed.Add(1)
							require.NotEqual(t, errkind.Stale, errkind.KindOf(err))
							require.Error(t, err)
						}
					}()
				}
			}
			require.Positive(t, followed.Load())
		})
	}
}

// otherPrimary tells whether a member other than i is primary.
func (t *crowd) otherPrimary(i int) bool {
	for j, m := range t.m {
		if _, ok := m.Active(); ok && j != i {
			return true
		}
	}
	return false
}

func TestManyTakeoversLoseNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tr := newTrio()
		defer tr.end()
		want := ""
		for i := range 12 {
			p := tr.primary()
			require.GreaterOrEqual(t, p, 0, "round %d", i)
			require.NoError(t, tr.propose(p, fmt.Sprint(i)))
			want += fmt.Sprint(i, ";")
			tr.stop(p)
			time.Sleep(4 * time.Second)
			tr.start(p)
			time.Sleep(3 * time.Second)
		}
		require.Equal(t, want, string(tr.l[tr.primary()].Checkpoint()))
	})
}

func TestARestartedBackupTakesNothingBeforeItWasHandedTheState(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tr := newTrio()
		defer tr.end()
		p := tr.primary()
		c := tr.m[p].Chart()
		b := -1
		for i, m := range tr.m {
			if m.Self().ID == c.Backups[0].ID {
				b = i
			}
		}
		entry := &rpc.Note{Kind: rpc.Append, From: tr.m[p].Self(), To: c.Backups[0].ID, Epoch: c.Epoch, Ballot: c.Mark, Body: []byte("x")}
		a, _ := tr.m[b].Handle(entry)
		require.True(t, a.OK)
		tr.stop(b)
		tr.start(b)
		a, _ = tr.m[b].Handle(entry)
		require.False(t, a.OK, "the same disk, but another life")
		wrong := *entry
		wrong.To = 99
		a, _ = tr.m[b].Handle(&wrong)
		require.False(t, a.OK, "meant for a disk that is gone")
	})
}

func TestACutOffPrimaryStopsThoughAWriteHoldsItUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tr := newTrio()
		defer tr.end()
		p := tr.primary()
		tr.m[p].wr.Lock() // a write that waits for an answer
		tr.h.mu.Lock()
		tr.h.off[fmt.Sprint("m", p)] = true
		tr.h.mu.Unlock()
		time.Sleep(2 * time.Second)
		_, on := tr.m[p].Active()
		tr.m[p].wr.Unlock()
		require.False(t, on)
	})
}

func TestHearsayDisplacesNothingSeen(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tr := newTrio()
		defer tr.end()
		m := tr.m[0]
		m.hearsay([]rpc.Seat{{ID: 5, Addr: "m1"}, {ID: 6, Addr: "m0"}, {ID: 7, Addr: "new"}})
		got := map[string]uint64{}
		for _, s := range m.Members() {
			got[s.Addr] = s.ID
		}
		require.Equal(t, map[string]uint64{"m0": 11, "m1": 22, "m2": 33, "new": 7}, got)
	})
}

func TestAnEarlierProposalIsFinishedFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tr := newTrio()
		defer tr.end()
		p := tr.primary()
		c := tr.m[p].Chart()
		var half *rpc.Chart
		accepts := 0
		tr.h.mu.Lock()
		tr.h.drop = func(addr string, n *rpc.Note) bool {
			if n.Kind != rpc.Accept || half != nil && accepts >= 2 {
				return false
			}
			x := *n
			tr.h.m[addr].Handle(&x) // the witness stores it, its answer is lost, and then the proposer
			half = n.Chart
			if accepts++; accepts == 2 {
				tr.h.off[n.From.Addr] = true
			}
			return true
		}
		tr.h.mu.Unlock()
		tr.stop(p)
		tr.start(p) // proposes a new view and is lost in the middle of it
		time.Sleep(10 * time.Second)
		require.NotNil(t, half)
		require.Equal(t, c.Epoch+1, half.Epoch)
		q := tr.primary()
		require.GreaterOrEqual(t, q, 0)
		got := tr.m[q].Chart()
		require.Greater(t, got.Epoch, half.Epoch, "what two witnesses had stored counts as chosen: it has an epoch of its own")
	})
}

func ExampleMember_Propose() {
	sc := task.New(slog.New(slog.DiscardHandler))
	defer sc.Stop()
	h := &hall{m: map[string]*Member{}, off: map[string]bool{}}
	ready := make(chan uint64, 1)
	text := &lines{}
	m, err := New(sc, Config{Addr: "only", Seeds: []string{"only"}, Store: &memory{id: 7}, Machine: text, Caller: h, OnActive: func(e uint64) { ready <- e }})
	if err != nil {
		fmt.Println(err)
		return
	}
	go m.Run()
	fmt.Println("primary of epoch", <-ready)
	fmt.Println(m.Propose(func() ([]byte, error) { return []byte("sal, 40 planks"), nil }))
	fmt.Println(string(text.Checkpoint()))
	// Output:
	// primary of epoch 1
	// <nil>
	// sal, 40 planks;
}
