package replication

import (
	"flag"
	"fmt"
	"io/fs"
	"path/filepath"
	"runtime"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"shaletrestle/coord/replication/core"
	"shaletrestle/coord/replication/store"
)

// The figures of docs/CAPACITY.md: go test ./coord/replication -run Capacity -control-figures -v
var controlFigures = flag.Bool("control-figures", false, "measure what the control state takes on disk and in memory, and its catching up")

// fileStore is an incarnation on a store with real files.
type fileStore struct {
	*store.Store
	incarnation *incarnation
}

func (d fileStore) SaveRegister(r core.Register) error {
	return d.incarnation.write(func() error { return d.Store.SaveRegister(r) })
}

func (d fileStore) SaveSnapshot(s core.Snapshot, tail []core.Entry) error {
	return d.incarnation.write(func() error { return d.Store.SaveSnapshot(s, tail) })
}

func (d fileStore) Append(e core.Entry) error {
	return d.incarnation.write(func() error { return d.Store.Append(e) })
}

// useFiles keeps the members' disks in directories of their own.
func (f *fleet) useFiles(folders []string) {
	keepSettings := f.configure
	f.configure = func(i int, config *Config) {
		keepSettings(i, config)
		opened, err := store.Open(store.OSFiles{}, folders[i], store.Options{Bootstrap: true})
		if err != nil {
			panic(err)
		}
		config.Store = fileStore{opened, f.incarnations[i]}
	}
}

// folderBytes is the size of the files in a directory, and of those of its logs.
func folderBytes(t *testing.T, folder string) (all, logs int64) {
	t.Helper()
	err := filepath.WalkDir(folder, func(path string, entry fs.DirEntry, err error) error {
		if err != nil || entry.IsDir() {
			return err
		}
		info, err := entry.Info()
		if err != nil {
			return err
		}
		all += info.Size()
		if strings.Contains(filepath.Dir(path), "log") {
			logs += info.Size()
		}
		return nil
	})
	require.NoError(t, err)
	return all, logs
}

func liveHeap() uint64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}

// TestCapacity_ControlState_Print prints the figures of three members on real files after 10 to 10,000 changes.
func TestCapacity_ControlState_Print(t *testing.T) {
	if !*controlFigures {
		t.Skip("only with -control-figures")
	}
	for _, changes := range []int{10, 100, 1000, 10_000} {
		folders := []string{t.TempDir(), t.TempDir(), t.TempDir()}
		synctest.Test(t, func(t *testing.T) { printFigures(t, changes, folders) })
	}
}

func printFigures(t *testing.T, changes int, folders []string) {
	before := liveHeap()
	f := makeFleet(settingsCount, linkRate, "a", "b", "c")
	f.useFiles(folders)
	f.startAll()
	defer f.end()
	time.Sleep(2 * time.Second)
	f.makeChanges(t, changes)
	primary, backup, _ := f.roles(t)
	all, logs := folderBytes(t, folders[primary])
	heap := liveHeap() - before
	snapshot := len(f.settings[primary].Snapshot())
	usual := f.longest

	f.stop(backup)
	f.makeChanges(t, changes)
	f.start(backup)
	f.makeChanges(t, 50)
	f.longest = 0
	leader, other, member := f.roles(t)
	f.watchChunks(member, nil)
	require.Equal(t, backup, member)
	lost := time.Now()
	f.stop(other)
	for memberIndex(f.members[leader].View().Replicas(), f.members[member].self.ID) < 0 {
		f.makeChange(t)
	}
	sent, _ := f.stateSent(member)
	fmt.Printf("%d changes: snapshot %d bytes; on disk %d, of it log %d; heap of three members %d; longest answer %v; away for as many: a replica again %v after the other's loss, %d bytes sent\n",
		changes, snapshot, all, logs, heap, usual, time.Since(lost), sent)
	f.requireReplicasAgree(t)
}
