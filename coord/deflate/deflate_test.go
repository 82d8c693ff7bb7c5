package deflate

import (
	"bytes"
	"math/rand/v2"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

func TestDecompress_GivesBackWhatWasCompressed(t *testing.T) {
	random := make([]byte, 100<<10)
	source := rand.New(rand.NewPCG(1, 2))
	for i := range random {
		random[i] = byte(source.Uint32())
	}
	for name, plain := range map[string][]byte{
		"nothing": {}, "a byte": {7}, "text": []byte(strings.Repeat("replica ", 1000)), "random bytes": random,
	} {
		compressed := Compress(plain)
		got, err := Decompress(compressed, len(plain))
		require.NoError(t, err, name)
		require.True(t, bytes.Equal(plain, got), name)
		if len(plain) > 0 {
			_, err = Decompress(compressed, len(plain)-1)
			require.ErrorIs(t, err, ErrTooLarge, name)
		}
		for _, cut := range []int{0, len(compressed) / 2, len(compressed) - 1} {
			_, err = Decompress(compressed[:cut], len(plain))
			require.ErrorIs(t, err, ErrDamaged, "%s, %d bytes", name, cut)
		}
	}
}
