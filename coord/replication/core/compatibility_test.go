package core

import (
	"testing"

	"github.com/stretchr/testify/require"

	"shaletrestle/coord/recordedtest"
)

// TestState_RecordedStream_ReadAndWrittenAsBefore holds the form of the stream in which a member of an earlier version
// gives its state, and the digests that chain the history.
func TestState_RecordedStream_ReadAndWrittenAsBefore(t *testing.T) {
	recording := recordedtest.Open(t, "testdata/streams.txt")
	snapshot := Snapshot{Position: Position{Index: 0x6001, Digest: 0xfedcba9876543210}, Data: []byte("snapshot")}
	var tail []Entry
	end := snapshot.Position
	for i, data := range []string{"first", "", "third"} {
		entry := Entry{Index: end.Index + 1, Epoch: Epoch(0x6002 + i), Ballot: Ballot(0x6102 + i), Previous: end.Digest, Data: []byte(data)}
		tail = append(tail, entry)
		end = entry.Position()
	}
	require.Equal(t, Position{Index: 0x6004, Digest: 0x7d6916fdf396e84a}, end)
	for _, x := range []struct {
		name string
		tail []Entry
	}{{"with-tail", tail}, {"without-tail", nil}} {
		gotSnapshot, gotTail, err := decodeState(recording.Same(x.name, encodeState(snapshot, x.tail)))
		require.NoError(t, err)
		require.Equal(t, snapshot, gotSnapshot)
		require.Equal(t, x.tail, gotTail)
	}
	got, err := decodeEntries(recording.Same("entries", encodeEntries(tail)), snapshot.Position)
	require.NoError(t, err)
	require.Equal(t, tail, got)
}
