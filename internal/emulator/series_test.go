package emulator

import (
	"bytes"
	"context"
	"math"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"shaletrestle/internal/errkind"
)

func TestFitLine_Points_GiveLineAndError(t *testing.T) {
	f := fitLine([]float64{1, 2, 3, 4}, []float64{5, 7, 9, 11})
	require.InDelta(t, 2, f.Slope, 1e-9)
	require.InDelta(t, 3, f.Intercept, 1e-9)
	require.InDelta(t, 0, f.Error, 1e-9)
	f = fitLine([]float64{1, 2, 3, 4}, []float64{1, 3, 2, 4}) // slope 0.8, rest 1.8 over 2 degrees, spread 5
	require.InDelta(t, 0.8, f.Slope, 1e-9)
	require.InDelta(t, math.Sqrt(1.8/2/5), f.Error, 1e-9)
	require.Zero(t, fitLine([]float64{1, 2, 3}, []float64{4, 4, 4}).R2)
}

func TestMeasureFleetAndRecovery_SmallFleet_HasAllValues(t *testing.T) {
	t.Setenv("TMPDIR", t.TempDir())
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	start := func() (*cell, error) { return startCellHere(ctx, quiet()) }
	z := fleetSize{Nodes: 6, Controllers: 3, Replicas: 30, Models: 3, Routes: 9, Tenants: 3, DelayMs: 1, Changes: 600, Churn: 600}
	points, err := measureFleetAndRecovery(ctx, quiet(), z, start, Output{}, 300*time.Millisecond)
	require.NoError(t, err)
	v := points[0].Values
	for _, k := range []string{"node_heap_kb", "node_in_bytes_per_s", "primary_out_bytes_per_s", "backup_in_bytes_per_s", "witness_heap_kb", "in_force_ms_mean", "rebuild_zone_ms", "order_taken_after_primary_lost_ms"} {
		require.Positive(t, v[k], k)
	}
	require.Empty(t, leftovers(t))
}

func TestSlopes_UnknownName_IsInvalidSettings(t *testing.T) {
	dir := t.TempDir()
	err := Slopes(t.Context(), quiet(), []string{"nodes", "nodess"}, dir, Output{})
	require.Equal(t, errkind.InvalidSettings, errkind.KindOf(err))
	require.ErrorContains(t, err, `"nodess"`)
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	require.Error(t, Slopes(ctx, quiet(), []string{"placing"}, dir, Output{}), "an interrupted series is not written")
	require.NoFileExists(t, filepath.Join(dir, "placing.json"))
}

func TestSeriesSpec_Measure_FitsLines(t *testing.T) {
	var out bytes.Buffer
	g := seriesSpec{name: "x", at: []float64{1, 2, 3, 4}, component: func(x float64) values { return values{"y": 2 * x} }}
	s, err := g.measure(t.Context(), quiet(), nil, Output{Progress: &out}, 0)
	require.NoError(t, err)
	require.InDelta(t, 2, s.Fits["y"].Slope, 1e-9)
	require.Contains(t, out.String(), "y=8")
}

func TestCell_EachCommand_IsAnswered(t *testing.T) {
	c, err := startCellHere(t.Context(), quiet())
	require.NoError(t, err)
	_, err = c.do(command{Do: "start", Daemons: []daemonSpec{{Name: "router-1", File: filepath.Join(t.TempDir(), "none")}}})
	require.ErrorContains(t, err, "settings file")
	r, err := c.do(command{Do: "read"})
	require.NoError(t, err)
	require.Positive(t, r.Heap)
	c.close()
}
