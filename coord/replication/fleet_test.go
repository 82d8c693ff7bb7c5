package replication

import (
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"

	"shaletrestle/coord/replication/core"
)

const (
	changeBytes    = 3 << 10               // of one change
	settingsCount  = 100                   // 300 KB in a snapshot
	changeInterval = 20 * time.Millisecond // 50 changes a second
	proposeTimeout = 900 * time.Millisecond
	linkRate       = 8 << 20 // bytes a second of a link of 100 Mbit/s less a third
	slowLinkRate   = 1 << 20
)

// settings is a machine with a state of bounded size: a change replaces one of the values. Changes are numbered from 1; each must follow the one before.
type settings struct {
	mu     sync.Mutex
	last   uint64
	values [][]byte
	err    error // of the first change that did not follow
}

func newSettings(count int) *settings { return &settings{values: make([][]byte, count)} }

func (s *settings) Apply(change []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	number := binary.LittleEndian.Uint64(change)
	if number != s.last+1 && s.err == nil {
		s.err = fmt.Errorf("change %d after %d", number, s.last)
	}
	s.last = number
	s.values[number%uint64(len(s.values))] = change
}

func (s *settings) Snapshot() []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := binary.LittleEndian.AppendUint64(make([]byte, 0, 8+len(s.values)*(changeBytes+4)), s.last)
	for _, value := range s.values {
		out = binary.LittleEndian.AppendUint32(out, uint32(len(value)))
		out = append(out, value...)
	}
	return out
}

func (s *settings) Restore(snapshot []byte) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.last = 0
	s.values = make([][]byte, len(s.values))
	if len(snapshot) == 0 {
		return nil
	}
	s.last = binary.LittleEndian.Uint64(snapshot)
	remaining := snapshot[8:]
	for i := range s.values {
		size := binary.LittleEndian.Uint32(remaining)
		s.values[i] = remaining[4 : 4+size]
		remaining = remaining[4+size:]
	}
	return nil
}

func (s *settings) lastChange() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.last
}

// change is the entry with a number.
func change(number uint64) []byte {
	entry := binary.LittleEndian.AppendUint64(nil, number)
	random := rand.New(rand.NewPCG(number, 1))
	for len(entry) < changeBytes {
		entry = binary.LittleEndian.AppendUint64(entry, random.Uint64())
	}
	return entry
}

// fleet is a cluster whose members keep settings, with a network that is watched.
type fleet struct {
	*cluster
	settings []*settings

	mu         sync.Mutex
	paused     map[string]chan struct{} // by address; closed when it resumes
	chunkBytes map[string]int           // of state sent, by the address it is sent to
	received   []int64                  // of the streams, as watched tells it
	watched    string                   // address
	onChunk    func(address string, part core.SnapshotChunk)

	lastChange uint64 // the last one that was acknowledged
	longest    time.Duration
}

// errChangeLost says that an acknowledged change is not in the state.
var errChangeLost = errors.New("an acknowledged change is lost")

// newFleet starts a fleet that tolerates one loss over links of a rate and waits until it serves.
func newFleet(count, rate int, zones ...string) *fleet {
	f := makeFleet(count, rate, zones...)
	f.startAll()
	time.Sleep(2 * time.Second)
	return f
}

func makeFleet(count, rate int, zones ...string) *fleet {
	f := &fleet{cluster: makeCluster(1, zones...), paused: map[string]chan struct{}{}, chunkBytes: map[string]int{}}
	f.settings = make([]*settings, len(zones))
	f.configure = func(i int, config *Config) {
		f.settings[i] = newSettings(count)
		config.StateMachine = f.settings[i]
	}
	f.network.bytesPerSecond = rate
	f.network.setDrop(f.watch)
	return f
}

// watch sees each message as it is sent, by the goroutine that sends it. It loses none.
func (f *fleet) watch(address string, message core.Message) bool {
	f.mu.Lock()
	resumed := f.paused[message.Route().From.Address]
	f.mu.Unlock()
	if resumed != nil {
		<-resumed
	}
	f.mu.Lock()
	onPart := f.onChunk
	switch message := message.(type) {
	case core.SnapshotChunk:
		f.chunkBytes[address] += len(message.Data)
	case core.SnapshotChunkReply:
		if message.From.Address == f.watched && !message.Complete && message.Rejection == core.Granted {
			f.received = append(f.received, message.Received)
		}
	}
	f.mu.Unlock()
	if part, ok := message.(core.SnapshotChunk); ok && onPart != nil {
		onPart(address, part)
	}
	return false
}

// watchChunks begins the count of state sent anew. onPart, if any, is called for each part before it goes out.
func (f *fleet) watchChunks(receiver int, onPart func(address string, part core.SnapshotChunk)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.chunkBytes = map[string]int{}
	f.received = nil
	f.watched = address(receiver)
	f.onChunk = onPart
}

// stateSent is how many bytes of state were sent to a member, and how much of it the member acknowledged, answer by answer.
func (f *fleet) stateSent(i int) (bytes int, received []int64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.chunkBytes[address(i)], slices.Clone(f.received)
}

func address(i int) string { return fmt.Sprint("m", i) }

// pause makes a member stand still at the next message that it sends.
func (f *fleet) pause(i int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.paused[address(i)] = make(chan struct{})
}

func (f *fleet) resume(i int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	close(f.paused[address(i)])
	delete(f.paused, address(i))
}

func (f *fleet) isPaused(i int) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.paused[address(i)] != nil
}

// newestPrimary is the primary of the newest epoch, negative if there is none.
func (f *fleet) newestPrimary() int {
	found, newest := -1, uint64(0)
	for i, m := range f.members {
		epoch, active := m.PrimaryEpoch()
		if active && epoch > newest && f.contexts[i].Err() == nil && !f.isPaused(i) {
			found, newest = i, epoch
		}
	}
	return found
}

// requireUnclear requires that a call was made, or ended without a clear answer.
func requireUnclear(t *testing.T, err error) {
	t.Helper()
	if err == nil {
		return
	}
	for _, unclear := range []error{ErrNotPrimary, ErrNotStarted, ErrNotDecided, ErrStopped} {
		if errors.Is(err, unclear) {
			return
		}
	}
	require.NoError(t, err)
}

// makeChange makes the next change, as a caller who sends it again until it is taken.
func (f *fleet) makeChange(t *testing.T) {
	t.Helper()
	number := f.lastChange + 1
	begun := time.Now()
	for {
		require.Less(t, time.Since(begun), 20*time.Second, "change %d is not taken", number)
		primary := f.newestPrimary()
		if primary < 0 {
			time.Sleep(5 * time.Millisecond)
			continue
		}
		err := f.members[primary].Propose(time.Now().Add(proposeTimeout), func() ([]byte, error) {
			last := f.settings[primary].lastChange()
			switch {
			case last >= number:
				return nil, nil
			case last+1 < number:
				return nil, errors.Wrapf(errChangeLost, "change %d was taken and is lost: %d is the last", number-1, last)
			}
			return change(number), nil
		})
		requireUnclear(t, err)
		if err == nil {
			break
		}
		time.Sleep(5 * time.Millisecond)
	}
	f.lastChange = number
	f.longest = max(f.longest, time.Since(begun))
}

// makeChanges makes changes at the steady rate.
func (f *fleet) makeChanges(t *testing.T, count int) {
	t.Helper()
	next := time.Now()
	for range count {
		f.makeChange(t)
		next = next.Add(changeInterval)
		time.Sleep(time.Until(next))
	}
}

// roles gives the indices of the primary, its backup and the third member.
func (f *fleet) roles(t *testing.T) (primary, backup, witness int) {
	t.Helper()
	primary = f.newestPrimary()
	require.GreaterOrEqual(t, primary, 0)
	view := f.members[primary].View()
	require.Len(t, view.Backups, 1)
	backup = f.indexOf(view.Backups[0])
	for i := range f.members {
		if i != primary && i != backup {
			return primary, backup, i
		}
	}
	return primary, backup, -1
}

// requireReplicasAgree requires that all replicas of the newest view have all that was acknowledged.
func (f *fleet) requireReplicasAgree(t *testing.T) {
	t.Helper()
	time.Sleep(100 * time.Millisecond)
	primary := f.newestPrimary()
	require.GreaterOrEqual(t, primary, 0)
	want := f.settings[primary].Snapshot()
	require.Equal(t, f.lastChange, f.settings[primary].lastChange())
	for _, member := range f.members[primary].View().Replicas() {
		i := f.indexOf(member)
		require.True(t, slices.Equal(want, f.settings[i].Snapshot()), "replica m%d differs", i)
		require.NoError(t, f.settings[i].err)
	}
}
