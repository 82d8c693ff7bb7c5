package replication

import (
	"math/rand"
	"reflect"
	"strings"
	"testing"
	"testing/quick"

	"github.com/stretchr/testify/require"

	"shaletrestle/coord/replication/core"
	fb "shaletrestle/coord/replication/replicationfb"
)

// everyMessage is one message of each type.
var everyMessage = []core.Message{
	core.Hello{}, core.HelloReply{}, core.Heartbeat{}, core.HeartbeatReply{}, core.Prepare{}, core.PrepareReply{},
	core.Accept{}, core.AcceptReply{}, core.Install{}, core.InstallReply{}, core.SnapshotChunk{}, core.SnapshotChunkReply{},
	core.Append{}, core.AppendReply{}, core.Confirm{}, core.ConfirmReply{}, core.Yield{}, core.YieldReply{},
	core.LeaveRequest{}, core.LeaveRequestReply{},
}

// randomMessage fills a message of the type of another.
func randomMessage(t testing.TB, like core.Message, r *rand.Rand) core.Message {
	value, ok := quick.Value(reflect.TypeOf(like), r)
	require.True(t, ok)
	filled := reflect.New(value.Type()).Elem()
	filled.Set(value)
	clearEmptySlices(filled)
	return filled.Interface().(core.Message)
}

// clearEmptySlices makes empty slices nil: the wire doesn't tell them apart.
func clearEmptySlices(v reflect.Value) {
	switch v.Kind() {
	case reflect.Struct:
		for i := range v.NumField() {
			clearEmptySlices(v.Field(i))
		}
	case reflect.Pointer:
		if !v.IsNil() {
			clearEmptySlices(v.Elem())
		}
	case reflect.Slice:
		if v.Len() == 0 {
			v.SetZero()
			return
		}
		for i := range v.Len() {
			clearEmptySlices(v.Index(i))
		}
	}
}

func TestMessage_EncodeDecode_RoundTrip(t *testing.T) {
	require.Len(t, everyMessage, len(fb.EnumNamesBody)-1, "a body for each type, and none")
	r := rand.New(rand.NewSource(1))
	for _, like := range everyMessage {
		for range 200 {
			message := randomMessage(t, like, r)
			got, err := decodeMessage(encodeMessage(message))
			require.NoError(t, err, "%T", like)
			require.Equal(t, message, got)
		}
	}
}

// TestDecodeMessage_Damaged_FailsWithoutPanic cuts messages and changes bytes: there is an error or a message, and no panic.
func TestDecodeMessage_Damaged_FailsWithoutPanic(t *testing.T) {
	r := rand.New(rand.NewSource(2))
	for _, like := range everyMessage {
		encoded := encodeMessage(randomMessage(t, like, r))
		for n := 0; n < len(encoded); n += 1 + len(encoded)/100 {
			decodesOrFails(t, encoded[:n])
			changed := append([]byte{}, encoded...)
			changed[n] ^= byte(1 + r.Intn(255))
			decodesOrFails(t, changed)
		}
	}
}

func decodesOrFails(t *testing.T, data []byte) {
	message, err := decodeMessage(data)
	if err != nil {
		require.Nil(t, message)
		return
	}
	require.NotNil(t, message)
}

func TestDecodeMessage_OverBounds_Fails(t *testing.T) {
	long := strings.Repeat("x", maxAddressBytes+1)
	for name, message := range map[string]core.Message{
		"address":      core.Yield{Envelope: core.Envelope{From: core.Member{Address: long}}},
		"zone":         core.Yield{Envelope: core.Envelope{From: core.Member{Zone: long}}},
		"members":      core.Heartbeat{Members: make([]core.Member, maxMembers+1)},
		"many in view": core.Hello{View: &core.View{Backups: make([]core.Member, maxMembers+1)}},
	} {
		_, err := decodeMessage(encodeMessage(message))
		require.Error(t, err, name)
	}
}

// FuzzDecodeMessage reads any bytes as a message.
func FuzzDecodeMessage(f *testing.F) {
	r := rand.New(rand.NewSource(3))
	for _, like := range everyMessage {
		f.Add(encodeMessage(randomMessage(f, like, r)))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		message, err := decodeMessage(data)
		if err != nil {
			require.Nil(t, message)
			return
		}
		again, err := decodeMessage(encodeMessage(message))
		require.NoError(t, err)
		require.IsType(t, message, again)
	})
}
