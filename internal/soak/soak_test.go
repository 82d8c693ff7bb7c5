package soak

import (
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var (
	soakSeeds    = flag.String("soak.seeds", "", "seeds to run, as 1-8 or 3; none: the soak is skipped")
	soakDuration = flag.Duration("soak.duration", 30*time.Second, "time of faults in each run")
	soakOverlap  = flag.Int("soak.overlap", 3, "faults at the same time at most")
	soakClients  = flag.Int("soak.clients", 12, "clients, each with one connection at a time")
	soakRouters  = flag.Int("soak.routers", 0, "routers, 110 at most; 0: three")
	soakDir      = flag.String("soak.dir", "", "folder for settings, data and logs, kept; none: a temporary one, kept only after a failure")
	soakPlanted  = flag.Bool("soak.planted", false, "plant faults in the daemons and see that a run finds each; takes minutes")
	soakRace     = flag.Bool("soak.race", false, "build the daemons with the race detector")
)

// seeds lists the seeds asked for.
func seeds(t *testing.T) []uint64 {
	t.Helper()
	first, last, isRange := strings.Cut(*soakSeeds, "-")
	if !isRange {
		last = first
	}
	from, err := strconv.ParseUint(first, 10, 64)
	require.NoError(t, err)
	to, err := strconv.ParseUint(last, 10, 64)
	require.NoError(t, err)
	var all []uint64
	for seed := from; seed <= to; seed++ {
		all = append(all, seed)
	}
	return all
}

// runFolder makes the folder of one run. A temporary one is removed unless the run fails.
func runFolder(t *testing.T, seed uint64) string {
	t.Helper()
	if *soakDir != "" {
		dir := filepath.Join(*soakDir, fmt.Sprintf("seed-%d", seed))
		require.NoError(t, os.RemoveAll(dir))
		require.NoError(t, os.MkdirAll(dir, 0o700))
		return dir
	}
	dir, err := os.MkdirTemp("", fmt.Sprintf("soak-%d-", seed)) //nolint:usetesting // kept after a failure
	require.NoError(t, err)
	t.Cleanup(func() {
		if !t.Failed() {
			_ = os.RemoveAll(dir)
		}
	})
	return dir
}

// TestSoak runs the daemons under faults, a seed at a time (docs/soak.md).
func TestSoak(t *testing.T) {
	if *soakSeeds == "" {
		t.Skip("with -soak.seeds only: it needs minutes and builds the daemons")
	}
	bin := t.TempDir()
	require.NoError(t, Build(BuildOptions{Root: "../..", Dir: bin, Race: *soakRace}))
	for _, seed := range seeds(t) {
		t.Run(fmt.Sprint("seed-", seed), func(t *testing.T) {
			dir := runFolder(t, seed)
			report, err := Execute(t.Context(), Options{
				Seed: seed, Duration: *soakDuration, Overlap: *soakOverlap, Clients: *soakClients, Routers: *soakRouters,
				Shared: seed%2 == 0, // as on himal-saw, with every other seed
				Dir:    dir, Bin: bin,
			})
			require.NoError(t, err, "logs in %s", dir)
			t.Logf("faults: %v", report.Faults)
			t.Logf("worst lateness of a timer: %v; operators' calls: %d, undecided: %v", report.WorstLateness, report.Operations, report.Undecided)
			t.Logf("%s", strings.Join(report.Summary, "; "))
			for _, each := range report.Violations {
				t.Error(each)
			}
			require.Empty(t, report.Counts, "violations; logs in %s", dir)
		})
	}
}
