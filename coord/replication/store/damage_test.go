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

// requireReset checks that a directory is taken for an empty disk with another identity.
func requireReset(t *testing.T, dir string, oldID uint64) {
	t.Helper()
	s := openDir(t, dir)
	require.NotEmpty(t, s.Damage())
	id, firstStart := s.Identity()
	require.NotEqual(t, oldID, id)
	require.False(t, firstStart)
	require.Equal(t, core.Stored{}, s.Load())
	require.Equal(t, []string{"identity"}, listNames(t, dir))

	again := openDir(t, dir)
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

// fillSegment fills a directory and returns the path and the content of its log's segment.
func fillSegment(t *testing.T, dir string) (id uint64, path string, content []byte) {
	t.Helper()
	id, _ = openFilled(t, dir).Identity()
	path = requireOneFile(t, dir, "log-*/*")
	content, err := os.ReadFile(path)
	require.NoError(t, err)
	return id, path, content
}

func TestOpen_TornTail_TruncatedAtEveryByte(t *testing.T) {
	t.Parallel()
	dir := t.TempDir()
	id, segment, complete := fillSegment(t, dir)
	ends := recordEnds(id, startEntries)
	require.Equal(t, len(complete), ends[len(ends)-1])
	for size := range complete {
		require.NoError(t, os.WriteFile(segment, complete[:size], 0o600))
		s := openDir(t, dir)
		require.Empty(t, s.Damage())
		remaining, end := 0, 0
		for _, recordEnd := range ends {
			if size >= recordEnd {
				remaining++
				end = recordEnd
			}
		}
		require.Len(t, s.Load().Entries, remaining, "cut at byte %d", size)
		require.Equal(t, size-end, s.TruncatedBytes())
		require.True(t, s.Load().Appendable)
		require.NoError(t, s.Append(startEntries[remaining]), "the log goes on after the last complete entry")
		require.Len(t, openDir(t, dir).Load().Entries, remaining+1)
	}
}

func TestOpen_LastRecordDamaged_Truncated(t *testing.T) {
	t.Parallel()
	dir := t.TempDir()
	id, segment, complete := fillSegment(t, dir)
	for at := recordEnds(id, startEntries)[2]; at < len(complete); at++ {
		content := append([]byte{}, complete...)
		content[at] ^= 1
		require.NoError(t, os.WriteFile(segment, content, 0o600))
		s := openDir(t, dir)
		require.Empty(t, s.Damage(), "byte %d", at)
		require.Equal(t, startEntries[:3], s.Load().Entries)
	}
}

func TestOpen_DamagedLogBody_ResetsTheDisk(t *testing.T) {
	t.Parallel()
	reference := t.TempDir()
	id, _ := openFilled(t, reference).Identity()
	bodyEnd := recordEnds(id, startEntries)[2]
	for at := range bodyEnd { // a complete entry follows
		dir := t.TempDir()
		require.NoError(t, os.CopyFS(dir, os.DirFS(reference)))
		segment := requireOneFile(t, dir, "log-*/*")
		content, err := os.ReadFile(segment)
		require.NoError(t, err)
		content[at] ^= 0x40
		require.NoError(t, os.WriteFile(segment, content, 0o600))
		requireReset(t, dir, id)
	}
}

func TestOpen_DamagedFile_ResetsTheDisk(t *testing.T) {
	t.Parallel()
	for _, pattern := range []string{"identity", "register-*", "snapshot-*"} {
		reference := t.TempDir()
		id, _ := openFilled(t, reference).Identity()
		content, err := os.ReadFile(requireOneFile(t, reference, pattern))
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
			require.NoError(t, os.WriteFile(requireOneFile(t, dir, pattern), damaged, 0o600))
			requireReset(t, dir, id)
		}
	}
}

func TestOpen_MissingFile_ResetsTheDisk(t *testing.T) {
	for _, pattern := range []string{"identity", "log-*/*", "log-*"} {
		dir := t.TempDir()
		id, _ := openFilled(t, dir).Identity()
		require.NoError(t, os.RemoveAll(requireOneFile(t, dir, pattern)))
		requireReset(t, dir, id)
	}
}

// TestOpen_NewestStateDamaged_OlderIsNotUsed damages each file of the newest state while the one before it is still intact beside it.
func TestOpen_NewestStateDamaged_OlderIsNotUsed(t *testing.T) {
	for _, damagedFile := range []string{"snapshot-*-2", "log-*-2/*"} {
		dir := t.TempDir()
		s := openFilled(t, dir)
		id, _ := s.Identity()
		older := t.TempDir()
		require.NoError(t, os.CopyFS(older, os.DirFS(dir)))
		require.NoError(t, s.SaveSnapshot(laterSnapshot(), entriesAfter(laterSnapshot().Position, "four", "five")))
		for _, pattern := range []string{"snapshot-*-1", "log-*-1"} {
			found := requireOneFile(t, older, pattern)
			require.NoError(t, os.Rename(found, filepath.Join(dir, filepath.Base(found))))
		}
		file := requireOneFile(t, dir, damagedFile)
		content, err := os.ReadFile(file)
		require.NoError(t, err)
		content[20] ^= 1
		require.NoError(t, os.WriteFile(file, content, 0o600))
		requireReset(t, dir, id)
	}
}

// TestOpen_FileOfAnotherState_ResetsTheDisk puts an older snapshot under the newer name, an older log beside the newer snapshot, and files of another disk in place of this one's.
func TestOpen_FileOfAnotherState_ResetsTheDisk(t *testing.T) {
	for _, mixUp := range []struct{ from, to string }{
		{"snapshot-*-1", "snapshot-*-2"},
		{"log-*-1/*", "log-*-2/*"},
	} {
		dir := t.TempDir()
		s := openFilled(t, dir)
		id, _ := s.Identity()
		content, err := os.ReadFile(requireOneFile(t, dir, mixUp.from))
		require.NoError(t, err)
		require.NoError(t, s.SaveSnapshot(laterSnapshot(), nil))
		require.NoError(t, os.WriteFile(requireOneFile(t, dir, mixUp.to), content, 0o600))
		requireReset(t, dir, id)
	}
	for _, pattern := range []string{"register-*", "snapshot-*", "log-*/*"} {
		other := t.TempDir()
		openFilled(t, other)
		content, err := os.ReadFile(requireOneFile(t, other, pattern))
		require.NoError(t, err)
		dir := t.TempDir()
		s := openFilled(t, dir)
		id, _ := s.Identity()
		require.NoError(t, os.WriteFile(requireOneFile(t, dir, pattern), content, 0o600))
		requireReset(t, dir, id)
	}
}

func TestReset_FilledStore_KeepsNothing(t *testing.T) {
	dir := t.TempDir()
	s := openFilled(t, dir)
	id, _ := s.Identity()
	require.NoError(t, s.Reset("the state can't be restored"))
	newID, firstStart := s.Identity()
	require.NotEqual(t, id, newID)
	require.False(t, firstStart)
	require.Equal(t, core.Stored{}, s.Load())
	require.ErrorIs(t, s.Append(startEntries[0]), store.ErrLogClosed)
	require.Equal(t, []string{"identity"}, listNames(t, dir))
	again, _ := openDir(t, dir).Identity()
	require.Equal(t, newID, again)
}

// TestOpen_DamagedDisk_PowerCutAtEveryStep: whatever is left of a start on a damaged disk, nothing that was on it counts any more under any identity but the old one, which is still seen to be damaged.
func TestOpen_DamagedDisk_PowerCutAtEveryStep(t *testing.T) {
	for _, damagedFile := range []string{"register-", "snapshot-"} {
		full, id := newFilledDisk(t)
		found, err := full.List(modelDir)
		require.NoError(t, err)
		for _, name := range found {
			if strings.HasPrefix(name, damagedFile) {
				file, err := full.Create(modelDir + "/" + name)
				require.NoError(t, err)
				require.NoError(t, file.Sync())
			}
		}
		for step := 1; ; step++ {
			disk := full.Copy()
			disk.CutPowerAt(step)
			_, err := store.Open(disk, modelDir, store.Options{Bootstrap: true})
			complete := disk.Outcomes(10_000, nil, func(left *storetest.Disk) bool {
				again, err := store.Open(left, modelDir, store.Options{Bootstrap: true})
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

func TestOpen_TornUnfinishedFiles_NoDamage(t *testing.T) {
	dir := t.TempDir()
	id, _ := openFilled(t, dir).Identity()
	for _, name := range []string{
		filepath.Base(requireOneFile(t, dir, "register-*")),
		filepath.Base(requireOneFile(t, dir, "snapshot-*")),
		"identity",
	} {
		require.NoError(t, os.WriteFile(filepath.Join(dir, name+".new"), []byte("torn"), 0o600))
	}
	s := openDir(t, dir)
	require.Empty(t, s.Damage())
	again, _ := s.Identity()
	require.Equal(t, id, again)
	require.Equal(t, startEntries, s.Load().Entries)
	require.Equal(t, savedRegister, s.Load().Register)
	require.Len(t, listNames(t, dir), 4)
}

func TestOpen_TornFirstIdentity_StillBootstraps(t *testing.T) {
	dir := t.TempDir()
	require.NoError(t, os.WriteFile(filepath.Join(dir, "identity.new"), []byte("torn"), 0o600))
	s, err := store.Open(store.OSFiles{}, dir, store.Options{Bootstrap: true})
	require.NoError(t, err)
	defer s.Close()
	require.Empty(t, s.Damage())
	_, firstStart := s.Identity()
	require.True(t, firstStart)
}

func TestOpen_FirstFormat_Rejected(t *testing.T) {
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
		_, err := store.Open(store.OSFiles{}, dir, store.Options{Bootstrap: true})
		require.ErrorIs(t, err, store.ErrOldFormat)
		require.Len(t, listNames(t, dir), len(files), "nothing is changed")
	}
}

// TestEncode_PinnedRecords_SameBytes fails when a change would make the disks of running systems unreadable.
func TestEncode_PinnedRecords_SameBytes(t *testing.T) {
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
