package store_test

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"

	"shaletrestle/coord/replication/core"
	"shaletrestle/coord/replication/store"
)

// entriesAfter makes the entries with some data that follow a position.
func entriesAfter(position core.Position, data ...string) []core.Entry {
	var entries []core.Entry
	for _, d := range data {
		entry := core.Entry{
			Index:    position.Index + 1,
			Epoch:    3,
			Ballot:   9,
			Previous: position.Digest,
			Data:     []byte(d),
		}
		entries = append(entries, entry)
		position = entry.Position()
	}
	return entries
}

var (
	startSnapshot = core.Snapshot{
		Tag:      core.StateTag{Epoch: 3, Ballot: 9},
		Position: core.Position{Index: 41, Digest: 4242},
		Data:     []byte("snapshot"),
	}
	startEntries = entriesAfter(startSnapshot.Position, "zero", "one", "two", "three")

	savedRegister = core.Register{
		View: &core.View{
			Epoch:     3,
			Ballot:    9,
			Witnesses: []core.Member{{ID: 5, Address: "a", Zone: "z"}},
			Primary:   core.Member{ID: 5, Address: "a", Zone: "z"},
			Base:      startSnapshot.Position,
		},
		Promised: 77,
	}
)

// laterSnapshot is of the state after all of startEntries.
func laterSnapshot() core.Snapshot {
	return core.Snapshot{
		Tag:      core.StateTag{Epoch: 4, Ballot: 1},
		Position: startEntries[3].Position(),
		Data:     []byte("later"),
	}
}

func openDir(t *testing.T, dir string) *store.Store {
	t.Helper()
	s, err := store.Open(store.OSFiles{}, dir, store.Options{})
	require.NoError(t, err)
	t.Cleanup(s.Close)
	return s
}

// openFilled makes a store with a snapshot, an entry in its tail and three more.
func openFilled(t *testing.T, dir string) *store.Store {
	t.Helper()
	s, err := store.Open(store.OSFiles{}, dir, store.Options{Bootstrap: true})
	require.NoError(t, err)
	t.Cleanup(s.Close)
	require.NoError(t, s.SaveSnapshot(startSnapshot, startEntries[:1]))
	for _, entry := range startEntries[1:] {
		require.NoError(t, s.Append(entry))
	}
	require.NoError(t, s.SaveRegister(savedRegister))
	return s
}

// requireOneFile gives the one file that a pattern means.
func requireOneFile(t *testing.T, dir, pattern string) string {
	t.Helper()
	found, err := filepath.Glob(filepath.Join(dir, pattern))
	require.NoError(t, err)
	require.Len(t, found, 1)
	return found[0]
}

func listNames(t *testing.T, dir string) []string {
	t.Helper()
	found, err := store.OSFiles{}.List(dir)
	require.NoError(t, err)
	return found
}

func TestOpen_Restart_GivesWhatWasSaved(t *testing.T) {
	dir := filepath.Join(t.TempDir(), "missing", "folder")
	first := openFilled(t, dir)
	id, firstStart := first.Identity()
	require.NotZero(t, id)
	require.True(t, firstStart)

	second := openDir(t, dir)
	again, firstStart := second.Identity()
	require.Equal(t, id, again)
	require.True(t, firstStart, "a process that dies halfway through the first start must be able to finish it")
	require.Equal(t, core.Stored{
		Register:   savedRegister,
		Snapshot:   &startSnapshot,
		Entries:    startEntries,
		Appendable: true,
	}, second.Load())
	more := entriesAfter(startEntries[3].Position(), "four")
	require.NoError(t, second.Append(more[0]))
	require.Len(t, openDir(t, dir).Load().Entries, 5)
}

func TestOpen_EmptyDirectory_NoState(t *testing.T) {
	dir := t.TempDir()
	s := openDir(t, dir)
	require.Equal(t, core.Stored{}, s.Load())
	require.ErrorIs(t, s.Append(startEntries[0]), store.ErrLogClosed)
	require.Equal(t, []string{"identity"}, listNames(t, dir))
}

func TestSaveSnapshot_Repeated_KeepsOnlyTheNewest(t *testing.T) {
	dir := t.TempDir()
	s := openFilled(t, dir)
	for range 3 {
		require.NoError(t, s.SaveSnapshot(laterSnapshot(), nil))
	}
	require.Len(t, listNames(t, dir), 4, "identity, register, snapshot, log")
	later := laterSnapshot()
	require.Equal(t, &later, openDir(t, dir).Load().Snapshot)
}

func TestAppend_NotContinuous_Rejected(t *testing.T) {
	dir := t.TempDir()
	s := openFilled(t, dir)
	next := entriesAfter(startEntries[3].Position(), "four", "five")
	fork := next[0]
	fork.Previous++
	require.ErrorIs(t, s.Append(startEntries[3]), store.ErrNotContinuous, "repeat")
	require.ErrorIs(t, s.Append(next[1]), store.ErrNotContinuous, "gap")
	require.ErrorIs(t, s.Append(fork), store.ErrNotContinuous, "fork")
	require.ErrorIs(t, s.SaveSnapshot(laterSnapshot(), next[1:]), store.ErrNotContinuous)
	require.NoError(t, s.Append(next[0]), "nothing was written by those refused")
	require.Len(t, openDir(t, dir).Load().Entries, 5)
}

func TestOpen_ForeignNames_Untouched(t *testing.T) {
	dir := t.TempDir()
	require.NoError(t, os.Mkdir(filepath.Join(dir, "lost+found"), 0o700))
	s := openDir(t, dir)
	require.Empty(t, s.Damage())
	require.Equal(t, []string{"identity", "lost+found"}, listNames(t, dir))
}

// TestBootstrapSeeds_OtherSettings_Unchanged opens a disk again under settings that name other seeds.
func TestBootstrapSeeds_OtherSettings_Unchanged(t *testing.T) {
	first := []string{"10.1.0.1:7720", "10.2.0.1:7720", "10.3.0.1:7720"}
	dir := t.TempDir()
	made, err := store.Open(store.OSFiles{}, dir, store.Options{Bootstrap: true, Seeds: first})
	require.NoError(t, err)
	require.Equal(t, first, made.BootstrapSeeds())
	made.Close()
	later, err := store.Open(store.OSFiles{}, dir, store.Options{Seeds: []string{"10.9.0.1:7720"}})
	require.NoError(t, err)
	require.Equal(t, first, later.BootstrapSeeds())
	later.Close()
	joined, err := store.Open(store.OSFiles{}, t.TempDir(), store.Options{Seeds: first})
	require.NoError(t, err)
	require.Empty(t, joined.BootstrapSeeds(), "made after the first start: it has no part in the first view")
	joined.Close()
}
