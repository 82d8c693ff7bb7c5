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
			synctest.Test(t, func(t *testing.T) {
				require.NoError(t, RunFile(NewSimulation(slog.New(slog.NewTextHandler(scenarioLog(), nil))), f))
			})
		})
	}
}

// scenarioLog is where the processes' logs go: to standard error if SCENARIO_LOG is set, nowhere otherwise.
func scenarioLog() io.Writer {
	if os.Getenv("SCENARIO_LOG") != "" {
		return os.Stderr
	}
	return io.Discard
}
