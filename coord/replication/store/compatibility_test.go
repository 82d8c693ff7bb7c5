package store

import (
	"fmt"
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"

	"shaletrestle/coord/recordedtest"
	"shaletrestle/coord/replication/core"
)

// The directories in testdata/folders were written by an earlier version of this package.

// copyRecorded gives a copy of a recorded data directory.
func copyRecorded(t *testing.T, name string) string {
	t.Helper()
	dir := filepath.Join(t.TempDir(), name)
	require.NoError(t, os.CopyFS(dir, os.DirFS(filepath.Join("testdata/folders", name))))
	return dir
}

func openRecorded(t *testing.T, dir string) *Store {
	t.Helper()
	s, err := Open(OSFiles{}, dir, Options{Seeds: []string{"10.9.0.1:7720"}})
	require.NoError(t, err)
	require.Empty(t, s.Damage())
	t.Cleanup(s.Close)
	return s
}

var recordedSeeds = []string{"10.0.0.1:7720", "10.0.0.2:7720", "10.0.0.3:7720"}

// recordedMember is one whose numbers all say which it is.
func recordedMember(i uint64) core.Member {
	return core.Member{ID: core.MemberID(0x9000 + i), Address: fmt.Sprintf("10.0.0.%d:7720", i), Zone: fmt.Sprint("zone-", i)}
}

// recordedRegister is the register of the directory "whole".
func recordedRegister(self uint64) core.Register {
	own := core.Member{ID: core.MemberID(self), Address: "10.0.0.1:7720", Zone: "zone-1"}
	return core.Register{
		View: &core.View{
			Epoch:     3,
			Ballot:    9,
			Witnesses: []core.Member{own, recordedMember(2), recordedMember(3)},
			Primary:   recordedMember(2),
			Backups:   []core.Member{own, recordedMember(4)},
			Base:      core.Position{Index: 5, Digest: 0xfedcba9876543210},
		},
		Promised:       0x9101,
		AcceptedBallot: 0x9102,
		Accepted: &core.View{
			Epoch:     4,
			Ballot:    0x9103,
			Witnesses: []core.Member{own, recordedMember(5), recordedMember(6)},
			Primary:   own,
			Backups:   []core.Member{recordedMember(5)},
			Base:      core.Position{Index: 8, Digest: 0x9104},
		},
	}
}

// recordedEnd is the end of the history in the directory "whole": its digest covers all before it.
var recordedEnd = core.Position{Index: 12, Digest: 0xbb6daa166ebf69ef}

// requireComplete compares a store with what was saved in the directory "whole".
func requireComplete(t *testing.T, s *Store) {
	t.Helper()
	recording := recordedtest.Open(t, "testdata/whole.txt")
	id, firstStart := s.Identity()
	require.NotZero(t, id)
	require.True(t, firstStart)
	require.Equal(t, recordedSeeds, s.BootstrapSeeds())
	loaded := s.Load()
	require.Equal(t, recordedRegister(id), loaded.Register)
	require.True(t, loaded.Appendable)
	require.Equal(t, core.StateTag{Epoch: 3, Ballot: 9}, loaded.Snapshot.Tag)
	require.Equal(t, core.Position{Index: 6, Digest: 0x41fae95fa4bb0b4d}, loaded.Snapshot.Position)
	recording.Same("snapshot", loaded.Snapshot.Data)
	end := loaded.Snapshot.Position
	for _, entry := range loaded.Entries {
		require.True(t, entry.Follows(end))
		require.Equal(t, core.StateTag{Epoch: 3, Ballot: 9}, entry.Tag())
		recording.Same(fmt.Sprintf("entry-%02d", entry.Index), entry.Data)
		end = entry.Position()
	}
	require.Equal(t, recordedEnd, end)
}

func TestOpen_RecordedFolder_GivesWhatWasSaved(t *testing.T) {
	dir := copyRecorded(t, "whole")
	s := openRecorded(t, dir)
	require.Zero(t, s.TruncatedBytes())
	requireComplete(t, s)
	next := core.Entry{Index: recordedEnd.Index + 1, Epoch: 3, Ballot: 9, Previous: recordedEnd.Digest, Data: []byte("next")}
	require.NoError(t, s.Append(next))
	s.Close()
	entries := openRecorded(t, dir).Load().Entries
	require.Equal(t, next, entries[len(entries)-1])
}

func TestOpen_RecordedTornWrite_IsCut(t *testing.T) {
	dir := copyRecorded(t, "torn")
	s := openRecorded(t, dir)
	require.Equal(t, 20, s.TruncatedBytes())
	requireComplete(t, s)
	requireSameDir(t, "testdata/folders/whole", dir)
}

// TestOpen_RecordedUnfinishedState_IsRemoved opens a directory whose writer ended while it put a newer state in place.
func TestOpen_RecordedUnfinishedState_IsRemoved(t *testing.T) {
	dir := copyRecorded(t, "interrupted")
	requireComplete(t, openRecorded(t, dir))
	requireSameDir(t, "testdata/folders/whole", dir)
}

// requireSameDir compares all names and contents.
func requireSameDir(t *testing.T, expected, got string) {
	t.Helper()
	require.Equal(t, contents(t, expected), contents(t, got))
}

func contents(t *testing.T, dir string) map[string]string {
	t.Helper()
	found := map[string]string{}
	require.NoError(t, filepath.WalkDir(dir, func(path string, entry os.DirEntry, err error) error {
		if err != nil || entry.IsDir() {
			return err
		}
		content, err := os.ReadFile(path)
		if err != nil {
			return err
		}
		name, err := filepath.Rel(dir, path)
		found[name] = string(content)
		return err
	}))
	return found
}

func TestOpen_RecordedFolderWithoutState_GivesWhatWasSaved(t *testing.T) {
	fresh := openRecorded(t, copyRecorded(t, "fresh"))
	_, firstStart := fresh.Identity()
	require.True(t, firstStart)
	require.Equal(t, recordedSeeds, fresh.BootstrapSeeds())
	require.Equal(t, core.Stored{}, fresh.Load())

	witness := openRecorded(t, copyRecorded(t, "witness"))
	_, firstStart = witness.Identity()
	require.False(t, firstStart)
	require.Empty(t, witness.BootstrapSeeds())
	view := &core.View{Epoch: 7, Ballot: 0x9201, Witnesses: []core.Member{recordedMember(1)}, Primary: recordedMember(1)}
	require.Equal(t, core.Stored{Register: core.Register{View: view}}, witness.Load())

	joined := openRecorded(t, copyRecorded(t, "joined")).Load()
	require.Equal(t, core.Epoch(5), joined.Register.View.Epoch)
	require.Empty(t, joined.Entries)
	require.True(t, joined.Appendable)
	require.Equal(t, core.StateTag{}, joined.Snapshot.Tag)
	require.Equal(t, core.Position{Index: 9, Digest: 0x9301}, joined.Snapshot.Position)
}

// TestOpen_RecordedFirstFormat_Rejected opens a directory that the first version of the store wrote, with a log of
// several segments.
func TestOpen_RecordedFirstFormat_Rejected(t *testing.T) {
	dir := copyRecorded(t, "first-format")
	_, err := Open(OSFiles{}, dir, Options{Bootstrap: true})
	require.ErrorIs(t, err, ErrOldFormat)
	requireSameDir(t, "testdata/folders/first-format", dir)
}

// TestEncode_RecordedFolder_WritesTheSameBytes writes the contents of the directory "whole" again.
func TestEncode_RecordedFolder_WritesTheSameBytes(t *testing.T) {
	s := openRecorded(t, copyRecorded(t, "whole"))
	loaded := s.Load()
	identityBytes, err := encodeIdentity(s.identity)
	require.NoError(t, err)
	registerBytes, err := encodeRegister(s.identity.id, loaded.Register)
	require.NoError(t, err)
	const number = generation(2)
	require.Equal(t, map[string]string{
		identityFileName:       string(identityBytes),
		s.registerName():       string(registerBytes),
		s.snapshotName(number): string(encodeSnapshot(s.identity.id, number, *loaded.Snapshot)),
		filepath.Join(s.logName(number), SegmentName(7)): string(encodeSegment(s.identity.id, loaded.Entries)),
	}, contents(t, "testdata/folders/whole"))
}
