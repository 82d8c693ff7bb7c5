package rpc

import (
	"bufio"
	"bytes"
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"shaletrestle/coord/recordedtest"
)

// fullMessage sets each field to a value of its own.
func fullMessage(kind Kind) *Message {
	return &Message{
		Kind:       kind,
		Call:       0x1001,
		Answer:     true,
		OK:         true,
		From:       Member{ID: 0x1002, Address: "10.0.0.1:7720", Zone: "zone-1"},
		To:         0x1003,
		Epoch:      0x1004,
		Ballot:     0x1005,
		Number:     0x1006,
		Base:       0x1007,
		Duration:   0x1008,
		HeldBallot: 0x1009,
		Text:       "word",
		Body:       []byte{0, 1, 2, 0xff},
		Members: []Member{
			{ID: 0x100a, Address: "10.0.0.2:7720", Zone: "zone-2"},
			{ID: 0x100b, Address: "10.0.0.3:7720", Zone: "zone-3"},
		},
	}
}

// TestMessage_RecordedBytes_ReadAndWrittenAsBefore holds the form of the messages that running processes of an
// earlier version send and expect.
func TestMessage_RecordedBytes_ReadAndWrittenAsBefore(t *testing.T) {
	recording := recordedtest.Open(t, "testdata/messages.txt")
	messages := map[string]*Message{
		"hello":       fullMessage(Hello),
		"replication": fullMessage(Replication),
		"lease":       fullMessage(Lease),
		"follow":      fullMessage(Subscribe),
		"news":        fullMessage(Update),
		"heard":       fullMessage(UpdateAck),
		"suspect":     fullMessage(Suspect),
		"deck":        fullMessage(LoadSums),
		"lend":        fullMessage(Loan),
		"job":         fullMessage(Job),
		"unknown":     fullMessage(Kind(0x7788)),
		"empty":       {},
		"reply":       fullMessage(Loan).Reply(true),
		"empty-body":  {Kind: Update, Body: []byte{}},
	}
	for name, message := range messages {
		got, err := Decode(recording.Same(name, message.Encode()))
		require.NoError(t, err, name)
		require.Equal(t, message, got, name)
	}
}

func TestFrame_RecordedBytes_ReadAndWrittenAsBefore(t *testing.T) {
	recording := recordedtest.Open(t, "testdata/frames.txt")
	var framed bytes.Buffer
	w := bufio.NewWriter(&framed)
	for i := range 2 {
		message := &Message{Kind: Update, Text: fmt.Sprint("frame ", i)}
		written, err := writeFrame(w, outgoing{encoded: message.Encode()})
		require.NoError(t, err)
		require.True(t, written)
	}
	require.NoError(t, w.Flush())
	r := bytes.NewReader(recording.Same("two", framed.Bytes()))
	for i := range 2 {
		frame, err := readFrame(r)
		require.NoError(t, err)
		message, err := Decode(frame)
		require.NoError(t, err)
		require.Equal(t, fmt.Sprint("frame ", i), message.Text)
	}
	require.Zero(t, r.Len())
}
