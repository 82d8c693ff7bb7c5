package store_test

import (
	"encoding/hex"
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"shaletrestle/coord/replication/core"
	"shaletrestle/coord/replication/store"
	"shaletrestle/coord/replication/store/storetest"
)

// requireStartedOver checks that a folder is taken for an empty disk with another identity.
func requireStartedOver(t *testing.T, dir string, oldID uint64) {
	t.Helper()
	s := open(t, dir)
	require.NotEmpty(t, s.Damage())
	id, firstStart := s.Identity()
	require.NotEqual(t, oldID, id)
	require.False(t, firstStart)
	require.Equal(t, core.Stored{}, s.Load())
	require.Equal(t, []string{"identity"}, names(t, dir))

	again := open(t, dir)
	require.Empty(t, again.Damage())
	sameID, _ := again.Identity()
	require.Equal(t, id, sameID)
}

// recordEnds gives where each record of a segment ends.
func recordEnds(owner uint64, entries []core.Entry) []int {
	var ends []int
	for n := range entries {
		ends = append(ends, len(store.EncodeSegment(owner, entries[:n+1])))
	}
	return ends
}

func TestTornTailIsCutAtEveryByte(t *testing.T) {
	t.Parallel()
	dir := t.TempDir()
	id, _ := fill(t, dir).Identity()
	segment := only(t, dir, "log-*/*")
	whole, err := os.ReadFile(segment)
	require.NoError(t, err)
	ends := recordEnds(id, startEntries)
	require.Equal(t, len(whole), ends[len(ends)-1])
	for size := range len(whole) {
		require.NoError(t, os.WriteFile(segment, whole[:size], 0o600))
		s := open(t, dir)
		require.Empty(t, s.Damage())
		kept, end := 0, 0
		for _, recordEnd := range ends {
			if size >= recordEnd {
				kept++
				end = recordEnd
			}
		}
		require.Len(t, s.Load().Entries, kept, "cut at byte %d", size)
		require.Equal(t, size-end, s.TruncatedBytes())
		require.True(t, s.Load().Appendable)
		require.NoError(t, s.Append(startEntries[kept]), "the log goes on after the last whole entry")
		require.Len(t, open(t, dir).Load().Entries, kept+1)
	}
}

func TestTornLastRecordWithWrongBytes(t *testing.T) {
	t.Parallel()
	dir := t.TempDir()
	id, _ := fill(t, dir).Identity()
	segment := only(t, dir, "log-*/*")
	whole, err := os.ReadFile(segment)
	require.NoError(t, err)
	for at := recordEnds(id, startEntries)[2]; at < len(whole); at++ {
		content := append([]byte{}, whole...)
		content[at] ^= 1
		require.NoError(t, os.WriteFile(segment, content, 0o600))
		s := open(t, dir)
		require.Empty(t, s.Damage(), "byte %d", at)
		require.Equal(t, startEntries[:3], s.Load().Entries)
	}
}

func TestDamagedBodyOfALogStartsOver(t *testing.T) {
	t.Parallel()
	reference := t.TempDir()
	id, _ := fill(t, reference).Identity()
	bodyEnd := recordEnds(id, startEntries)[2]
	for at := range bodyEnd { // a whole entry follows
		dir := t.TempDir()
		require.NoError(t, os.CopyFS(dir, os.DirFS(reference)))
		segment := only(t, dir, "log-*/*")
		content, err := os.ReadFile(segment)
		require.NoError(t, err)
		content[at] ^= 0x40
		require.NoError(t, os.WriteFile(segment, content, 0o600))
		requireStartedOver(t, dir, id)
	}
}

func TestDamagedFileStartsOver(t *testing.T) {
	t.Parallel()
	for _, pattern := range []string{"identity", "register-*", "snapshot-*"} {
		reference := t.TempDir()
		id, _ := fill(t, reference).Identity()
		content, err := os.ReadFile(only(t, reference, pattern))
		require.NoError(t, err)
		for at := -1; at < len(content); at++ {
			damaged := append([]byte{}, content...)
			if at < 0 {
				damaged = []byte("nonsense")
			} else {
				damaged[at] ^= 0x20
			}
			dir := t.TempDir()
			require.NoError(t, os.CopyFS(dir, os.DirFS(reference)))
			require.NoError(t, os.WriteFile(only(t, dir, pattern), damaged, 0o600))
			requireStartedOver(t, dir, id)
		}
	}
}

func TestMissingFileStartsOver(t *testing.T) {
	for _, pattern := range []string{"identity", "log-*/*", "log-*"} {
		dir := t.TempDir()
		id, _ := fill(t, dir).Identity()
		require.NoError(t, os.RemoveAll(only(t, dir, pattern)))
		requireStartedOver(t, dir, id)
	}
}

// TestOlderStateNeverComesBack damages each file of the newest state while the one before it is still whole beside it.
func TestOlderStateNeverComesBack(t *testing.T) {
	for _, damagedFile := range []string{"snapshot-*-2", "log-*-2/*"} {
		dir := t.TempDir()
		s := fill(t, dir)
		id, _ := s.Identity()
		older := t.TempDir()
		require.NoError(t, os.CopyFS(older, os.DirFS(dir)))
		require.NoError(t, s.SaveSnapshot(laterSnapshot(), follow(laterSnapshot().Position, "four", "five")))
		for _, pattern := range []string{"snapshot-*-1", "log-*-1"} {
			found := only(t, older, pattern)
			require.NoError(t, os.Rename(found, filepath.Join(dir, filepath.Base(found))))
		}
		file := only(t, dir, damagedFile)
		content, err := os.ReadFile(file)
		require.NoError(t, err)
		content[20] ^= 1
		require.NoError(t, os.WriteFile(file, content, 0o600))
		requireStartedOver(t, dir, id)
	}
}

// TestFilesOfAnotherStateAreRejected puts an older snapshot under the newer name, an older log beside the newer snapshot, and files of another disk in place of this one's.
func TestFilesOfAnotherStateAreRejected(t *testing.T) {
	for _, mixUp := range []struct{ from, to string }{
		{"snapshot-*-1", "snapshot-*-2"},
		{"log-*-1/*", "log-*-2/*"},
	} {
		dir := t.TempDir()
		s := fill(t, dir)
		id, _ := s.Identity()
		content, err := os.ReadFile(only(t, dir, mixUp.from))
		require.NoError(t, err)
		require.NoError(t, s.SaveSnapshot(laterSnapshot(), nil))
		require.NoError(t, os.WriteFile(only(t, dir, mixUp.to), content, 0o600))
		requireStartedOver(t, dir, id)
	}
	for _, pattern := range []string{"register-*", "snapshot-*", "log-*/*"} {
		other := t.TempDir()
		fill(t, other)
		content, err := os.ReadFile(only(t, other, pattern))
		require.NoError(t, err)
		dir := t.TempDir()
		s := fill(t, dir)
		id, _ := s.Identity()
		require.NoError(t, os.WriteFile(only(t, dir, pattern), content, 0o600))
		requireStartedOver(t, dir, id)
	}
}

func TestStartOverKeepsNothing(t *testing.T) {
	dir := t.TempDir()
	s := fill(t, dir)
	id, _ := s.Identity()
	require.NoError(t, s.Reset("the state can't be restored"))
	newID, firstStart := s.Identity()
	require.NotEqual(t, id, newID)
	require.False(t, firstStart)
	require.Equal(t, core.Stored{}, s.Load())
	require.ErrorIs(t, s.Append(startEntries[0]), store.ErrLogClosed)
	require.Equal(t, []string{"identity"}, names(t, dir))
	again, _ := open(t, dir).Identity()
	require.Equal(t, newID, again)
}

// TestStartOverOnADamagedDiskIsCutAtEveryStep: whatever is left of a start on a damaged disk, nothing that was on it counts any more under any identity but the old one, which is still seen to be damaged.
func TestStartOverOnADamagedDiskIsCutAtEveryStep(t *testing.T) {
	for _, damagedFile := range []string{"register-", "snapshot-"} {
		full := storetest.NewDisk()
		s := openModel(t, full)
		require.NoError(t, s.SaveSnapshot(startSnapshot, startEntries))
		require.NoError(t, s.SaveRegister(savedRegister))
		id, _ := s.Identity()
		found, err := full.List(modelFolder)
		require.NoError(t, err)
		for _, name := range found {
			if strings.HasPrefix(name, damagedFile) {
				file, err := full.Create(modelFolder + "/" + name)
				require.NoError(t, err)
				require.NoError(t, file.Sync())
			}
		}
		for step := 1; ; step++ {
			disk := full.Copy()
			disk.CutPowerAt(step)
			_, err := store.Open(disk, modelFolder, true)
			complete := disk.Outcomes(10_000, nil, func(left *storetest.Disk) bool {
				again, err := store.Open(left, modelFolder, true)
				require.NoError(t, err)
				newID, firstStart := again.Identity()
				require.NotEqual(t, id, newID)
				require.False(t, firstStart)
				require.Equal(t, core.Stored{}, again.Load())
				return true
			})
			require.True(t, complete, "all outcomes are tried")
			if err == nil {
				break
			}
		}
	}
}

func TestTornUnfinishedFilesAreNoDamage(t *testing.T) {
	dir := t.TempDir()
	id, _ := fill(t, dir).Identity()
	for _, name := range []string{
		filepath.Base(only(t, dir, "register-*")),
		filepath.Base(only(t, dir, "snapshot-*")),
		"identity",
	} {
		require.NoError(t, os.WriteFile(filepath.Join(dir, name+".new"), []byte("torn"), 0o600))
	}
	s := open(t, dir)
	require.Empty(t, s.Damage())
	again, _ := s.Identity()
	require.Equal(t, id, again)
	require.Equal(t, startEntries, s.Load().Entries)
	require.Equal(t, savedRegister, s.Load().Register)
	require.Len(t, names(t, dir), 4)
}

func TestTornFirstIdentityIsStillTheFirstStart(t *testing.T) {
	dir := t.TempDir()
	require.NoError(t, os.WriteFile(filepath.Join(dir, "identity.new"), []byte("torn"), 0o600))
	s, err := store.Open(store.OSFiles{}, dir, true)
	require.NoError(t, err)
	defer s.Close()
	require.Empty(t, s.Damage())
	_, firstStart := s.Identity()
	require.True(t, firstStart)
}

func TestFirstFormatIsToldApart(t *testing.T) {
	folders := []map[string]string{
		{"identity": "\x7ftly1234{}", "register-0": "\x7ftly1234{}", "checkpoint-3": "\x7ftly1234{}"},
		{"identity": "\x7ftly"},
		{"identity": "damaged", "checkpoint-3": "\x7ftly1234{}"},
		{"register-1": "\x7ftly1234{}"},
	}
	for _, files := range folders {
		dir := t.TempDir()
		for name, content := range files {
			require.NoError(t, os.WriteFile(filepath.Join(dir, name), []byte(content), 0o600))
		}
		_, err := store.Open(store.OSFiles{}, dir, true)
		require.ErrorIs(t, err, store.ErrOldFormat)
		require.Len(t, names(t, dir), len(files), "nothing is changed")
	}
}

// TestFormatIsPinned fails when a change would make the disks of running systems unreadable.
func TestFormatIsPinned(t *testing.T) {
	register, err := json.Marshal(savedRegister)
	require.NoError(t, err)
	require.JSONEq(t, `{
		"View": {
			"Epoch": 3, "Ballot": 9,
			"Witnesses": [{"ID": 5, "Address": "a", "Zone": "z"}],
			"Primary": {"ID": 5, "Address": "a", "Zone": "z"},
			"Backups": null,
			"Base": {"Index": 41, "Digest": 4242}
		},
		"Promised": 77, "AcceptedBallot": 0, "Accepted": null
	}`, string(register))
	pinned := map[string][]byte{
		"357f727032e2f8afae0407000000000000002a000000000000000300000000000000090000000000000092100000000000007a65726f":                       store.EncodeSegment(7, startEntries[:1]),
		"7f727032d06d6e2103070000000000000002000000000000000300000000000000090000000000000029000000000000009210000000000000736e617073686f74": store.EncodeSnapshot(7, 2, startSnapshot),
	}
	for expected, record := range pinned {
		require.Equal(t, expected, hex.EncodeToString(record))
	}
}
