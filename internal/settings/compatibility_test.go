package settings

import (
	"os"
	"testing"

	"github.com/stretchr/testify/require"
	"gopkg.in/yaml.v3"
)

// TestSettings_RecordedFile_HasEveryKey reads a file with all keys that an earlier version knew, each with a value of
// its own, and writes it again: no key was lost or given another meaning's place.
func TestSettings_RecordedFile_HasEveryKey(t *testing.T) {
	recorded, err := os.ReadFile("testdata/every_key.yaml")
	require.NoError(t, err)
	var read Settings
	require.NoError(t, yaml.Unmarshal(recorded, &read))
	written, err := yaml.Marshal(read)
	require.NoError(t, err)
	var expected, got map[string]any
	require.NoError(t, yaml.Unmarshal(recorded, &expected))
	require.NoError(t, yaml.Unmarshal(written, &got))
	require.Equal(t, expected, got)
}
