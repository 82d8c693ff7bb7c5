package emulator

import (
	"bytes"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

func TestRun_TalliesAcrossAPartition_BothSidesAddAndMerge(t *testing.T) {
	t.Setenv("TMPDIR", t.TempDir())
	x, err := Parse([]byte(`
name: cut
duration_s: 9
fleet: {controllers: 5, routers: 1, zones: [a, b, c, d, e], machine_losses: 2}
services: [{name: desk, replicas: 1}]
kinds: [{name: lookup, service: desk, type: idempotent, per_s: 5}]
tallies: {per_s: 40, names: 3}
partition: {zone: a, at_s: 3, for_s: 4}
`))
	require.NoError(t, err)
	var lines, table bytes.Buffer
	plots := t.TempDir()
	s, err := Run(t.Context(), quiet(), x, Output{Lines: &lines, Plots: plots})
	require.NoError(t, err)
	require.Empty(t, s.Rules)
	require.True(t, s.Tallies.Merged)
	require.Greater(t, s.Tallies.Acknowledged, 100)
	require.Positive(t, s.Tallies.MergeMs, "the end of the partition was seen")
	require.Equal(t, 1, strings.Count(lines.String(), `"is":"partition"`))
	require.Greater(t, strings.Count(lines.String(), `"is":"tallies"`), 10)
	require.FileExists(t, plots+"/tallies.svg")
	require.NoError(t, s.Write(&table))
	require.Contains(t, table.String(), "additions to tallies:")
}

func TestParse_PartitionOfAnUnknownZone_IsRejected(t *testing.T) {
	_, err := Parse([]byte("fleet: {zones: [a, b]}\npartition: {zone: x}\n"))
	require.ErrorContains(t, err, "partition.zone")
	_, err = Parse([]byte("tallies: {per_s: -1}\n"))
	require.ErrorContains(t, err, "tallies.per_s")
}
