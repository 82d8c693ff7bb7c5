package recordedtest

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"
)

// judge takes the place of the test that a recording is opened for.
type judge struct {
	testing.TB
	failed bool
	ended  []func()
}

func (j *judge) Helper()               {}
func (j *judge) Errorf(string, ...any) { j.failed = true }
func (j *judge) Failed() bool          { return j.failed }
func (j *judge) Cleanup(f func())      { j.ended = append(j.ended, f) }

func (j *judge) end() {
	for _, f := range j.ended {
		f()
	}
}

func openText(t *testing.T, text string) (*judge, *Recording) {
	t.Helper()
	path := filepath.Join(t.TempDir(), "recording.txt")
	require.NoError(t, os.WriteFile(path, []byte(text), 0o600))
	j := &judge{TB: t}
	return j, Open(j, path)
}

func TestRecording_SameBytes_Passes(t *testing.T) {
	j, r := openText(t, "a \"\\x00x\"\nb \"\"\n")
	require.Equal(t, []byte("\x00x"), r.Same("a", []byte("\x00x")))
	require.Empty(t, r.Same("b", nil))
	j.end()
	require.False(t, j.failed)
}

func TestRecording_OtherBytes_Fails(t *testing.T) {
	j, r := openText(t, "a \"x\"\n")
	require.Equal(t, []byte("x"), r.Same("a", []byte("y")), "the record is given, not what was written")
	require.True(t, j.failed)
}

func TestRecording_RecordNotCompared_Fails(t *testing.T) {
	j, r := openText(t, "a \"x\"\nb \"x\"\n")
	r.Bytes("a")
	j.end()
	require.True(t, j.failed)
}
