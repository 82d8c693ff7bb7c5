package config

import (
	"runtime"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

const (
	hostileDepth  = 300_000  // objects or arrays in each other, in a body of 0.6 to 1.8 MB
	stackAllowed  = 8 << 20  // bytes of stack that reading one body may take
	nestedMessage = "nested" // the reason says so
)

// stackBytes is what all goroutines' stacks take.
func stackBytes() uint64 {
	var memory runtime.MemStats
	runtime.ReadMemStats(&memory)
	return memory.StackInuse
}

// TestChange_NestedWithoutEnd_RejectedInBoundedMemory holds that the work on an operator's body is bounded however deep it is
// nested: before, 400,000 objects in each other (2.4 MB) took half a gigabyte.
func TestChange_NestedWithoutEnd_RejectedInBoundedMemory(t *testing.T) {
	for name, text := range map[string]string{
		"objects":             `{"revision":6,"x":` + strings.Repeat(`{"a":`, hostileDepth) + "1" + strings.Repeat("}", hostileDepth) + "}",
		"arrays":              `{"revision":6,"x":` + strings.Repeat("[", hostileDepth) + strings.Repeat("]", hostileDepth) + "}",
		"in a route":          `{"revision":6,"route_table":[{"name":"a","x":` + strings.Repeat("[", hostileDepth) + strings.Repeat("]", hostileDepth) + "}]}",
		"never closed":        `{"revision":6,"x":` + strings.Repeat("[", hostileDepth),
		"in an upsert":        `{"revision":6,"upsert":{"route_table":[{"name":"a","x":` + strings.Repeat(`{"a":`, hostileDepth) + "1" + strings.Repeat("}", hostileDepth) + "}]}}",
		"in what to take out": `{"revision":6,"remove":{"route_table":` + strings.Repeat("[", hostileDepth) + strings.Repeat("]", hostileDepth) + "}}",
	} {
		t.Run(name, func(t *testing.T) {
			document := newDocument(t)
			before := stackBytes()
			_, putErr := document.Put([]byte(text))
			_, patchErr := document.Patch([]byte(text))
			Digest("put", 5, []byte(text))
			grown := int64(stackBytes()) - int64(before)
			for _, err := range []error{putErr, patchErr} {
				var invalid *InvalidError
				require.ErrorAs(t, err, &invalid)
				require.Contains(t, invalid.Reason, nestedMessage)
			}
			require.Less(t, grown, int64(stackAllowed), "bytes of stack")
		})
	}
}

// TestChange_NestedAsDeepAsAllowed_IsTaken holds that what the users' configurations may hold is far from the bound.
func TestChange_NestedAsDeepAsAllowed_IsTaken(t *testing.T) {
	const depth = maxDepth - 2 // the body itself is one
	body := `{"revision":6,"x":` + strings.Repeat(`{"a":[`, depth/2) + strings.Repeat("]}", depth/2) + "}"
	document, err := newDocument(t).Put([]byte(body))
	require.NoError(t, err)
	require.Equal(t, int64(6), document.Revision)
}
