package simtest

import (
	"io"
	"log/slog"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"testing/synctest"

	"github.com/stretchr/testify/require"
)

// TestScenarios runs every file of testdata on simulated time.
func TestScenarios(t *testing.T) {
	files, err := filepath.Glob("testdata/*.scn")
	require.NoError(t, err)
	require.NotEmpty(t, files)
	for _, f := range files {
		t.Run(strings.TrimSuffix(filepath.Base(f), ".scn"), func(t *testing.T) {
			t.Parallel()
			var out io.Writer = io.Discard
			if os.Getenv("SCENARIO_LOG") != "" {
				out = os.Stderr
			}
			synctest.Test(t, func(t *testing.T) {
				require.NoError(t, RunFile(NewSimulation(slog.New(slog.NewTextHandler(out, nil))), f))
			})
		})
	}
}
