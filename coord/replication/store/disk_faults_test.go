package store_test

import (
	"bytes"
	"os"
	"strings"
	"testing"
	"testing/synctest"

	"github.com/stretchr/testify/require"

	"shaletrestle/coord/replication/core"
	"shaletrestle/coord/replication/store"
	"shaletrestle/coord/replication/store/storetest"
)

// openModel opens a store on a model of a disk.
func openModel(t *testing.T, disk *storetest.Disk) *store.Store {
	t.Helper()
	s, err := store.Open(disk, modelDir, store.Options{Bootstrap: true})
	require.NoError(t, err)
	require.Empty(t, s.Damage())
	return s
}

// newFilledDisk returns a model of a disk with a state and a register, and its id.
func newFilledDisk(t *testing.T) (disk *storetest.Disk, id uint64) {
	t.Helper()
	disk = storetest.NewDisk()
	s := openModel(t, disk)
	require.NoError(t, s.SaveSnapshot(startSnapshot, startEntries))
	require.NoError(t, s.SaveRegister(savedRegister))
	id, _ = s.Identity()
	return disk, id
}

func TestStore_DiskFull_KeepsWhatWasSaved(t *testing.T) {
	disk := storetest.NewDisk()
	s := openModel(t, disk)
	require.NoError(t, s.SaveSnapshot(startSnapshot, startEntries[:2]))
	require.NoError(t, s.SaveRegister(savedRegister))

	disk.Fail = fullDisk
	require.ErrorIs(t, s.SaveSnapshot(laterSnapshot(), nil), storetest.ErrFull)
	require.ErrorIs(t, s.SaveRegister(core.Register{Promised: 100}), storetest.ErrFull)
	disk.Fail = nil
	require.NoError(t, s.Append(startEntries[2]), "a snapshot that failed leaves the old state usable")

	disk.Fail = fullDisk
	require.ErrorIs(t, s.Append(startEntries[3]), storetest.ErrFull)
	require.ErrorIs(t, s.Append(startEntries[3]), store.ErrLogClosed)
	disk.Restart()
	again := openModel(t, disk) // on the disk that is still full
	require.NotZero(t, again.TruncatedBytes())
	require.Equal(t, startEntries[:3], again.Load().Entries)
	require.Equal(t, savedRegister, again.Load().Register)

	disk.Fail = nil
	require.NoError(t, again.SaveSnapshot(laterSnapshot(), nil))
	require.Equal(t, laterSnapshot().Data, openModel(t, disk).Load().Snapshot.Data)
}

// TestSaveSnapshot_RoomForTwoStates_Suffices replaces a state again and again on a disk with room for two, with failures between.
func TestSaveSnapshot_RoomForTwoStates_Suffices(t *testing.T) {
	const (
		dataSize = 1000
		oneState = dataSize + 200
		others   = 400 // identity, and a register beside another
	)
	disk := storetest.NewDisk()
	disk.CapacityBytes = 2*oneState + others
	s := openModel(t, disk)
	state := startSnapshot
	state.Data = make([]byte, dataSize)
	for round := range 50 {
		require.NoError(t, s.SaveRegister(savedRegister))
		require.NoError(t, s.SaveSnapshot(state, startEntries[:1]), "round %d", round)
		require.NoError(t, s.Append(startEntries[1]))

		failing := round % 12 // the step of the next snapshot that fails
		disk.Fail = func(storetest.Operation) error {
			failing--
			if failing == 0 {
				return errFailing
			}
			return nil
		}
		_ = s.SaveSnapshot(state, startEntries[:1])
		disk.Fail = nil
	}
	require.LessOrEqual(t, disk.PeakBytes(), disk.CapacityBytes)
	names, err := disk.List(modelDir)
	require.NoError(t, err)
	require.LessOrEqual(t, len(names), 6, "one state, at most another that failed, identity and register: %v", names)
}

// TestSaveSnapshot_FailedAfterRename_ClosesTheLog: an entry added to the old state could be lost then.
func TestSaveSnapshot_FailedAfterRename_ClosesTheLog(t *testing.T) {
	disk := storetest.NewDisk()
	s := openModel(t, disk)
	require.NoError(t, s.SaveSnapshot(startSnapshot, startEntries))
	renamed := false
	disk.Fail = func(operation storetest.Operation) error {
		if operation.Kind == storetest.SyncDir && renamed {
			return errFailing
		}
		renamed = renamed || operation.Kind == storetest.Rename
		return nil
	}
	require.ErrorIs(t, s.SaveSnapshot(laterSnapshot(), nil), errFailing)
	next := entriesAfter(startEntries[3].Position(), "four")[0]
	require.ErrorIs(t, s.Append(next), store.ErrLogClosed)
	require.ErrorIs(t, s.SaveSnapshot(laterSnapshot(), nil), errFailing, "nothing is written while the names are not synced")
	disk.Fail = nil
	require.NoError(t, s.SaveSnapshot(laterSnapshot(), nil))
	require.NoError(t, s.Append(next))
}

func TestAppend_DiskStalled_WaitsForTheSync(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		disk := storetest.NewDisk()
		s := openModel(t, disk)
		require.NoError(t, s.SaveSnapshot(startSnapshot, nil))
		moving := make(chan struct{})
		disk.Wait = func(operation storetest.Operation) {
			if operation.Kind == storetest.SyncFile {
				<-moving
			}
		}
		ended := make(chan error, 1)
		go func() { ended <- s.Append(startEntries[0]) }()
		synctest.Wait()
		require.Empty(t, ended, "an append isn't reported before its sync")

		left := disk.AfterPowerLoss(storetest.AllLost)
		require.Empty(t, openModel(t, left).Load().Entries)
		close(moving)
		require.NoError(t, <-ended)
		left = disk.AfterPowerLoss(storetest.AllLost)
		require.Equal(t, startEntries[:1], openModel(t, left).Load().Entries)
	})
}

// TestStore_EachWrite_SyncCount pins how many syncs a write costs.
func TestStore_EachWrite_SyncCount(t *testing.T) {
	disk := storetest.NewDisk()
	s := openModel(t, disk)
	writes := []struct {
		name  string
		write func() error
		syncs int
	}{
		{"register", func() error { return s.SaveRegister(savedRegister) }, 2},
		{"snapshot", func() error { return s.SaveSnapshot(startSnapshot, nil) }, 5},
		{"append", func() error { return s.Append(startEntries[0]) }, 1},
		{"next snapshot", func() error { return s.SaveSnapshot(laterSnapshot(), nil) }, 5},
	}
	for _, w := range writes {
		before := len(disk.Steps())
		require.NoError(t, w.write())
		syncs := 0
		for _, step := range disk.Steps()[before:] {
			if strings.HasPrefix(string(step.Kind), "sync") {
				syncs++
			}
		}
		require.Equal(t, w.syncs, syncs, w.name)
	}
}

// TestLog_Library_WritesTheSameBytesAsTheModel compares the library's log with the model's: the same bytes in the same one file, also after it was opened again and far above the library's own limit of a segment.
func TestLog_Library_WritesTheSameBytesAsTheModel(t *testing.T) {
	t.Parallel()
	dir := t.TempDir()
	disk := storetest.NewDisk()
	var entries []core.Entry
	end := startSnapshot.Position
	large := strings.Repeat("large ", 200_000)
	library, model := openDir(t, dir), openModel(t, disk)
	require.NoError(t, library.SaveSnapshot(startSnapshot, nil))
	require.NoError(t, model.SaveSnapshot(startSnapshot, nil))
	for range 3 {
		for _, data := range []string{"", "small", large, large, large} {
			entry := entriesAfter(end, data)[0]
			end = entry.Position()
			entries = append(entries, entry)
			require.NoError(t, library.Append(entry))
			require.NoError(t, model.Append(entry))
		}
		library.Close()
		library = openDir(t, dir)
		model = openModel(t, disk)
	}
	require.Len(t, library.Load().Entries, len(entries))

	segment := requireOneFile(t, dir, "log-*/*")
	libraryContent, err := os.ReadFile(segment)
	require.NoError(t, err)
	libraryID, _ := library.Identity()
	require.True(t, bytes.Equal(store.EncodeSegment(libraryID, entries), libraryContent), "the library wrote other bytes")

	modelID, _ := model.Identity()
	folders, err := disk.List(modelDir)
	require.NoError(t, err)
	require.True(t, strings.HasPrefix(folders[1], "log-"))
	files, err := disk.List(modelDir + "/" + folders[1])
	require.NoError(t, err)
	require.Equal(t, []string{store.SegmentName(startSnapshot.Position.Index + 1)}, files)
	modelContent, err := disk.ReadFile(modelDir + "/" + folders[1] + "/" + files[0])
	require.NoError(t, err)
	require.True(t, bytes.Equal(store.EncodeSegment(modelID, entries), modelContent), "the model wrote other bytes")
}
