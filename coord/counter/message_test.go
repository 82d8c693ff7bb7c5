package counter

import (
	"testing"

	"github.com/stretchr/testify/require"

	"shaletrestle/coord/recordedtest"
)

// recordedMessages has each kind of message, with values of its own in each field.
func recordedMessages() map[string]Message {
	ping := Ping{From: Member{ID: 0x0102030405060708, Address: "10.0.0.1:7", Domain: "north"}, Origin: 0xa1a2a3a4a5a6a7a8, HasDisk: true, Digest: 9}
	complete := ping
	complete.HasDisk, complete.Complete = false, true
	run := Run{Origin: 7, First: 300, Additions: []Addition{{"t3", "5c0e7a21d94b36f8", 4}, {"t4", "x", MaxAmount}}}
	return map[string]Message{
		"ping":                 ping,
		"ping_reply_no_vector": PingReply{Ping: complete},
		"ping_reply_empty":     PingReply{Ping: ping, Vector: Vector{}},
		"ping_reply":           PingReply{Ping: ping, Vector: Vector{1: 2, 3: 400}},
		"push":                 Push{Run: run, Until: 301},
		"push_nothing":         Push{Run: Run{Origin: 7, First: 300, Additions: []Addition{}}, Until: 299},
		"push_reply":           PushReply{Disk: 5, Held: 300, Durable: 200},
		"pull":                 Pull{After: Vector{1: 2, 3: 400}},
		"pull_reply":           PullReply{Runs: []Run{run, {Origin: 8, First: 1, Additions: []Addition{{"t", "y", 0}}}}},
	}
}

func TestEncode_RecordedMessages_ReadAndWrittenAsBefore(t *testing.T) {
	recording := recordedtest.Open(t, "testdata/messages.txt")
	for name, message := range recordedMessages() {
		decoded, err := Decode(recording.Same(name, Encode(message)))
		require.NoError(t, err, name)
		require.Equal(t, message, decoded, name)
	}
}

func TestDecode_DamagedMessages_AreErrorsOrAnotherMessage(t *testing.T) {
	for name, message := range recordedMessages() {
		encoded := Encode(message)
		for size := range encoded {
			_, err := Decode(encoded[:size])
			require.ErrorIs(t, err, ErrInvalidEncoding, "%s cut to %d bytes", name, size)
		}
		_, err := Decode(append(encoded, 0))
		require.ErrorIs(t, err, ErrInvalidEncoding, "%s with a byte more", name)
	}
	_, err := Decode([]byte{99})
	require.ErrorIs(t, err, ErrInvalidEncoding)
}

// FuzzDecode requires that bytes are rejected, or are a message that is written and read as itself.
func FuzzDecode(f *testing.F) {
	for _, message := range recordedMessages() {
		f.Add(Encode(message))
	}
	f.Fuzz(func(t *testing.T, encoded []byte) {
		message, err := Decode(encoded)
		if err != nil {
			return
		}
		again, err := Decode(Encode(message))
		require.NoError(t, err)
		require.Equal(t, message, again)
	})
}
