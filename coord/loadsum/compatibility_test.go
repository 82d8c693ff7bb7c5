package loadsum

import (
	"encoding/binary"
	"testing"

	"github.com/stretchr/testify/require"

	"shaletrestle/coord/recordedtest"
)

// TestEncode_RecordedBytes_ReadAndWrittenAsBefore holds the form of the sums between processes, and that replicas are
// named by the same keys in all versions.
func TestEncode_RecordedBytes_ReadAndWrittenAsBefore(t *testing.T) {
	recording := recordedtest.Open(t, "testdata/loads.txt")
	loads := []Load{{Key: Key("replica-1"), Tokens: 0x4001}, {Key: 0xfffffffe, Tokens: 0x4002}}
	require.Equal(t, loads, Decode(recording.Same("two", Encode(loads))))
	require.Equal(t, loads[:1], Decode(recording.Bytes("two")[:12]), "an entry cut short is left out")
	require.Empty(t, Decode(recording.Same("none", Encode(nil))))
	key := binary.LittleEndian.AppendUint32(nil, Key("replica-1"))
	recording.Same("key", key)
}
