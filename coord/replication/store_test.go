package replication

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"

	"shaletrestle/coord/rpc"
)

func reopen(t *testing.T, dir string) *DiskStore {
	t.Helper()
	s, err := OpenDisk(dir, false)
	require.NoError(t, err)
	return s
}

func filled(t *testing.T, dir string) *DiskStore {
	t.Helper()
	s, err := OpenDisk(dir, true)
	require.NoError(t, err)
	require.NoError(t, s.Reset(Held{Tag: Tag{3, 9}, Base: []byte("base"), Tail: [][]byte{[]byte("zero")}}))
	for _, e := range []string{"one", "two", "three"} {
		require.NoError(t, s.Append([]byte(e)))
	}
	require.NoError(t, s.SaveRegister(Register{Chart: &rpc.Chart{Epoch: 3, Mark: 9, Primary: rpc.Seat{ID: 5, Addr: "a"}}, Promised: 77}))
	return s
}

func segment(t *testing.T, dir string) string {
	t.Helper()
	fs, err := filepath.Glob(filepath.Join(dir, "log-*", "*"))
	require.NoError(t, err)
	require.Len(t, fs, 1)
	return fs[0]
}

func TestDiskStoreKeepsAllOverRestart(t *testing.T) {
	dir := t.TempDir()
	a := filled(t, dir)
	id, boot := a.Identity()
	require.NotZero(t, id)
	require.True(t, boot)
	b := reopen(t, dir)
	id2, boot2 := b.Identity()
	require.Equal(t, id, id2)
	require.True(t, boot2, "a process that dies halfway through the first start must be able to finish it")
	require.Equal(t, Held{Tag: Tag{3, 9}, Base: []byte("base"), Tail: [][]byte{[]byte("zero"), []byte("one"), []byte("two"), []byte("three")}}, b.Load())
	require.Equal(t, uint64(77), b.LoadRegister().Promised)
	require.NoError(t, b.Append([]byte("four")))
	require.Len(t, reopen(t, dir).Load().Tail, 5)
}

func TestDiskStoreCutsTornTailAtEveryByte(t *testing.T) {
	dir := t.TempDir()
	filled(t, dir)
	p := segment(t, dir)
	whole, err := os.ReadFile(p)
	require.NoError(t, err)
	ends := []int{12, 24, 38} // one, two, three: length, magic, sum, bytes
	require.Equal(t, ends[2], len(whole))
	for n := range len(whole) {
		require.NoError(t, os.WriteFile(p, whole[:n], 0o600))
		s := reopen(t, dir)
		require.Empty(t, s.Note())
		want := 1
		for _, e := range ends {
			if n >= e {
				want++
			}
		}
		require.Len(t, s.Load().Tail, want, "cut at byte %d", n)
		require.Equal(t, n-append([]int{0}, ends...)[want-1], s.Cut())
		require.NoError(t, os.WriteFile(p, whole, 0o600))
	}
}

func TestDiskStoreTornLastRecordWithWrongBytes(t *testing.T) {
	dir := t.TempDir()
	filled(t, dir)
	p := segment(t, dir)
	b, err := os.ReadFile(p)
	require.NoError(t, err)
	b[len(b)-1] ^= 1
	require.NoError(t, os.WriteFile(p, b, 0o600))
	s := reopen(t, dir)
	require.Empty(t, s.Note())
	require.Len(t, s.Load().Tail, 3)
}

func TestDiskStoreDamagedBodyRejoinsEmpty(t *testing.T) {
	for _, off := range []int{0, 5, 9, 15} { // inside the first and the second record: whole ones follow
		dir := t.TempDir()
		a := filled(t, dir)
		id, _ := a.Identity()
		p := segment(t, dir)
		b, err := os.ReadFile(p)
		require.NoError(t, err)
		b[off] ^= 0x40
		require.NoError(t, os.WriteFile(p, b, 0o600))
		s := reopen(t, dir)
		require.NotEmpty(t, s.Note(), "byte %d", off)
		id2, boot := s.Identity()
		require.NotEqual(t, id, id2)
		require.False(t, boot)
		require.Empty(t, s.Load().Base)
		require.Zero(t, s.LoadRegister().Promised)
	}
}

func TestDiskStoreDamagedCheckpointOrIdentity(t *testing.T) {
	for _, f := range []string{"checkpoint-*", "identity"} {
		dir := t.TempDir()
		a := filled(t, dir)
		require.NoError(t, a.Reset(Held{Tag: Tag{4, 1}, Base: []byte("later")}))
		id, _ := a.Identity()
		ps, _ := filepath.Glob(filepath.Join(dir, f))
		require.Len(t, ps, 1, "older generations are removed")
		require.NoError(t, os.WriteFile(ps[0], []byte("nonsense"), 0o600))
		s := reopen(t, dir)
		require.NotEmpty(t, s.Note())
		id2, _ := s.Identity()
		require.NotEqual(t, id, id2)
	}
}

func TestDiskStoreTornRegisterSlotFallsBack(t *testing.T) {
	dir := t.TempDir()
	s := filled(t, dir)
	require.NoError(t, s.SaveRegister(Register{Promised: 88}))
	require.NoError(t, os.WriteFile(filepath.Join(dir, "register-0"), []byte("torn"), 0o600))
	require.Equal(t, uint64(77), reopen(t, dir).LoadRegister().Promised)
}

func TestDiskStoreHalfMadeNextCheckpoint(t *testing.T) {
	dir := t.TempDir()
	filled(t, dir)
	require.NoError(t, os.WriteFile(filepath.Join(dir, "checkpoint-2"), []byte("half"), 0o600))
	s := reopen(t, dir)
	require.Empty(t, s.Note())
	require.Len(t, s.Load().Tail, 4)
	require.NoError(t, s.Reset(Held{Tag: Tag{4, 1}, Base: []byte("later")}))
	require.Equal(t, []byte("later"), reopen(t, dir).Load().Base)
}

// recordFolderSyncs notes, for each folder that the store syncs from now on, which names it held at its last sync.
func recordFolderSyncs(s *DiskStore) map[string][]string {
	synced := map[string][]string{}
	s.syncFolder = func(dir string) error {
		entries, err := os.ReadDir(dir)
		if err != nil {
			return err
		}
		var names []string
		for _, entry := range entries {
			names = append(names, entry.Name())
		}
		synced[dir] = names
		return syncDir(dir)
	}
	return synced
}

func TestDiskStoreSyncsTheFolderOfANewLog(t *testing.T) {
	s := reopen(t, t.TempDir())
	synced := recordFolderSyncs(s)
	require.NoError(t, s.Reset(Held{Tag: Tag{1, 1}, Base: []byte("base")}))
	require.Equal(t, []string{"00000000000000000001"}, synced[s.logDir()], "the name of the first segment is synced before the state counts")
	require.Contains(t, synced[s.dir], "log-1")
}

func TestDiskStoreSyncsTheFolderOfANewSegment(t *testing.T) {
	s := reopen(t, t.TempDir())
	require.NoError(t, s.Reset(Held{Tag: Tag{1, 1}, Base: []byte("base")}))
	synced := recordFolderSyncs(s)
	require.NoError(t, s.Append([]byte("small")))
	require.Empty(t, synced, "an append to a segment that is there is one sync")
	require.NoError(t, s.Append(make([]byte, segmentSize)))
	require.Equal(t, []string{"00000000000000000001", "00000000000000000003"}, synced[s.logDir()])
	clear(synced)
	require.NoError(t, s.Append([]byte("in the new segment")))
	require.NoError(t, s.Append([]byte("and after")))
	require.Len(t, reopen(t, s.dir).Load().Tail, 4)

	// The name of an empty new segment may be lost: the next write makes it again, and its folder is synced then.
	require.NoError(t, os.Remove(filepath.Join(s.logDir(), "00000000000000000003")))
	again := reopen(t, s.dir)
	require.Len(t, again.Load().Tail, 2)
	synced = recordFolderSyncs(again)
	require.NoError(t, again.Append([]byte("after the loss")))
	require.Equal(t, []string{"00000000000000000001", "00000000000000000003"}, synced[again.logDir()])
}

func FuzzMend(f *testing.F) {
	f.Add([]byte{11, 0x7f, 't', 'l', 'y'})
	f.Fuzz(func(t *testing.T, b []byte) {
		p := filepath.Join(t.TempDir(), "x")
		require.NoError(t, os.WriteFile(p, b, 0o600))
		if _, err := mend(p); err != nil {
			return
		}
		c, err := os.ReadFile(p)
		require.NoError(t, err)
		require.LessOrEqual(t, len(c), len(b))
		cut, err := mend(p)
		require.NoError(t, err)
		require.Zero(t, cut, "a mended log is whole")
	})
}
