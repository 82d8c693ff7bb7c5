package store_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"shaletrestle/coord/counter"
	"shaletrestle/coord/counter/store"
	"shaletrestle/coord/recordedtest"
)

// TestFile_RecordedContent_ReadAndWrittenAsBefore holds the form of the files.
func TestFile_RecordedContent_ReadAndWrittenAsBefore(t *testing.T) {
	recording := recordedtest.Open(t, "testdata/files.txt")
	disk := newDisk(t)
	s, err := store.Open(disk, dir)
	require.NoError(t, err)
	require.NoError(t, s.Rewrite([]counter.Run{run(0xa1a2a3a4a5a6a7a8, 1, "a", "b")}, true))
	require.NoError(t, s.Append([]counter.Run{run(0xa1a2a3a4a5a6a7a8, 3, "c"), run(7, 1, "d")}, false))
	s.Close()
	const name = dir + "/counters-00000000000000000001"
	written, err := disk.ReadFile(name)
	require.NoError(t, err)

	read := newDisk(t)
	file, err := read.Create(name)
	require.NoError(t, err)
	_, err = file.Write(recording.Same("two_records", written))
	require.NoError(t, err)
	opened, err := store.Open(read, dir)
	require.NoError(t, err)
	require.Equal(t, counter.Stored{
		Runs:     []counter.Run{run(0xa1a2a3a4a5a6a7a8, 1, "a", "b"), run(0xa1a2a3a4a5a6a7a8, 3, "c"), run(7, 1, "d")},
		Complete: true,
	}, opened.Load())
}
