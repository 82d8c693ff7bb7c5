package store_test

import (
	"fmt"
	"os"
	"testing"

	"github.com/stretchr/testify/require"

	"shaletrestle/coord/counter"
	counterstore "shaletrestle/coord/counter/store"
	"shaletrestle/coord/replication/store"
)

// BenchmarkRestart_FullDisk opens a directory with as many additions as a member of 102 MB takes, each a record of its own,
// and makes the first write after it.
func BenchmarkRestart_FullDisk(b *testing.B) {
	const additions = 110_000
	dir := b.TempDir()
	s, err := counterstore.Open(store.OSFiles{}, dir)
	require.NoError(b, err)
	var runs []counter.Run
	for i := range additions {
		runs = append(runs, counter.Run{Origin: 1, First: uint64(i) + 1, Additions: []counter.Addition{{Counter: "t1", ID: fmt.Sprintf("%016x", i), Amount: 1}}})
	}
	require.NoError(b, s.Rewrite(runs, true))
	s.Close()
	next := uint64(additions)
	for b.Loop() {
		s, err := counterstore.Open(store.OSFiles{}, dir)
		require.NoError(b, err)
		next++
		require.NoError(b, s.Rewrite(append(s.Load().Runs, run(1, next, "x")), true))
		s.Close()
	}
	names, err := os.ReadDir(dir)
	require.NoError(b, err)
	require.Len(b, names, 1)
	info, err := names[0].Info()
	require.NoError(b, err)
	b.ReportMetric(float64(info.Size())/additions, "disk-B/addition")
}
