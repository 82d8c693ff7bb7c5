package rpc

import (
	"bytes"
	"encoding/binary"
	"io"
	"testing"

	"github.com/stretchr/testify/require"
)

func fullReplicationMessage() *Message {
	s := func(i uint64) Member { return Member{i, "10.0.0.1:7000", "north"} }
	return &Message{Kind: Replication, Call: 7, Answer: true, OK: true, From: s(5), To: 6, Epoch: 4, Ballot: 9, Number: 3, Base: 2, Duration: 8, HeldBallot: 1, Text: "w", Body: []byte{0, 1}, Members: []Member{s(8)}}
}

func TestDecode_EncodedMessage_IsEqual(t *testing.T) {
	for _, n := range []*Message{fullReplicationMessage(), {}, {Kind: Update, Body: []byte("x")}} {
		m, err := Decode(n.Encode())
		require.NoError(t, err)
		require.Equal(t, n, m)
	}
}

func FuzzDecode(f *testing.F) {
	f.Add(fullReplicationMessage().Encode())
	f.Fuzz(func(t *testing.T, b []byte) {
		if n, err := Decode(b); err == nil {
			require.NotNil(t, n)
		} else {
			require.Nil(t, n)
			require.ErrorIs(t, err, ErrInvalidMessage)
		}
	})
}

func TestReadFrame_TooLongOrCutShort_Fails(t *testing.T) {
	var l [4]byte
	binary.LittleEndian.PutUint32(l[:], 1<<31)
	_, err := readFrame(bytes.NewReader(l[:]))
	require.ErrorIs(t, err, ErrInvalidMessage)
	_, err = readFrame(bytes.NewReader([]byte{9, 0, 0, 0, 1}))
	require.ErrorIs(t, err, io.ErrUnexpectedEOF, "cut short")
	b, err := readFrame(bytes.NewReader([]byte{2, 0, 0, 0, 5, 6}))
	require.NoError(t, err)
	require.Equal(t, []byte{5, 6}, b)
}
