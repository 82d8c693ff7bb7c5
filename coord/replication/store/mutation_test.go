package store_test

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"shaletrestle/coord/replication/core"
	"shaletrestle/coord/replication/store"
	"shaletrestle/coord/replication/store/storetest"
)

// mutation is a fault of the store, brought about from outside, that the searches must find.
type mutation struct {
	name   string
	skip   func(disk *storetest.Disk, operation storetest.Operation) bool
	wrap   func(*storetest.Disk) store.FileSystem
	search string // which search finds it
}

const (
	mutationOutcomes = 30 // outcomes tried in the incarnation after a loss of power

	byPowerCut = "power cut"
	byKill     = "kill and power cut"
)

// lastStep is the step before the one that is beginning.
func lastStep(disk *storetest.Disk) storetest.Operation {
	steps := disk.Steps()
	if len(steps) < 2 {
		return storetest.Operation{}
	}
	return steps[len(steps)-2]
}

// skipFileSync leaves out the syncs of files whose path has a part.
func skipFileSync(part string) func(*storetest.Disk, storetest.Operation) bool {
	return func(_ *storetest.Disk, operation storetest.Operation) bool {
		return operation.Kind == storetest.SyncFile && strings.Contains(operation.Path, part)
	}
}

// skipNameSync leaves out the syncs of the data directory that come right after a step on a path with a part.
func skipNameSync(after storetest.OperationKind, part string) func(*storetest.Disk, storetest.Operation) bool {
	return func(disk *storetest.Disk, operation storetest.Operation) bool {
		if operation.Kind != storetest.SyncDir || operation.Path != modelDir {
			return false
		}
		last := lastStep(disk)
		return last.Kind == after && strings.Contains(last.Path, part)
	}
}

// skipDirSync leaves out the syncs of directories whose path begins with something.
func skipDirSync(prefix string) func(*storetest.Disk, storetest.Operation) bool {
	return func(_ *storetest.Disk, operation storetest.Operation) bool {
		return operation.Kind == storetest.SyncDir && strings.HasPrefix(operation.Path, prefix)
	}
}

// skipAtStart leaves out steps of a kind that the start does before it has written anything.
func skipAtStart(kind storetest.OperationKind) func(*storetest.Disk, storetest.Operation) bool {
	return func(disk *storetest.Disk, operation storetest.Operation) bool {
		if operation.Kind != kind {
			return false
		}
		for _, step := range disk.Steps() {
			if step.Kind != storetest.SyncFile && step.Kind != storetest.SyncDir {
				return false
			}
		}
		return true
	}
}

var mutations = []mutation{
	{name: "folder above the data folder not synced", search: byPowerCut, skip: skipDirSync(".")},
	{name: "data folder never synced", search: byPowerCut, skip: skipDirSync(modelDir)},
	{name: "log folder not synced", search: byPowerCut, skip: skipDirSync(modelDir + "/log-")},
	{name: "name of the log folder not synced before the snapshot's", search: byPowerCut, skip: skipNameSync(storetest.SyncFile, "snapshot-")},
	{name: "name of the snapshot not synced", search: byPowerCut, skip: skipNameSync(storetest.Rename, "snapshot-")},
	{name: "name of the register not synced", search: byPowerCut, skip: skipNameSync(storetest.Rename, "register-")},
	{name: "name of the identity not synced", search: byPowerCut, skip: skipNameSync(storetest.Rename, "identity")},
	{name: "identity not synced", search: byPowerCut, skip: skipFileSync("identity")},
	{name: "register not synced", search: byPowerCut, skip: skipFileSync("register-")},
	{name: "snapshot not synced", search: byPowerCut, skip: skipFileSync("snapshot-")},
	{name: "log not synced", search: byPowerCut, skip: skipFileSync("log-")},
	{name: "append not synced", search: byPowerCut, wrap: func(disk *storetest.Disk) store.FileSystem { return appendUnsynced{disk} }},
	{name: "tail of a snapshot not synced", search: byPowerCut, wrap: func(disk *storetest.Disk) store.FileSystem { return tailUnsynced{disk} }},
	{name: "replaced state removed before the new one's name is synced", search: byPowerCut, wrap: func(disk *storetest.Disk) store.FileSystem { return earlyRemoval{disk} }},
	{name: "register written in place", search: byPowerCut, wrap: func(disk *storetest.Disk) store.FileSystem { return inPlaceWrites{disk, "register-"} }},
	{name: "snapshot written in place", search: byPowerCut, wrap: func(disk *storetest.Disk) store.FileSystem { return inPlaceWrites{disk, "snapshot-"} }},
	{name: "identity written in place", search: byPowerCut, wrap: func(disk *storetest.Disk) store.FileSystem { return inPlaceWrites{disk, "identity"} }},
	{name: "names not synced at the start", search: byKill, skip: skipAtStart(storetest.SyncDir)},
	{name: "log not synced at the start", search: byKill, skip: skipAtStart(storetest.SyncFile)},
	{name: "torn end of the log not cut", search: byPowerCut, skip: func(_ *storetest.Disk, operation storetest.Operation) bool {
		return operation.Kind == storetest.Truncate
	}},
	{name: "unfinished file written over", search: byPowerCut, skip: func(_ *storetest.Disk, operation storetest.Operation) bool {
		return operation.Kind == storetest.Remove && strings.HasSuffix(operation.Path, ".new")
	}},
}

// appendUnsynced leaves out the syncs of appends.
type appendUnsynced struct {
	*storetest.Disk
}

func (a appendUnsynced) OpenLog(folder string, first core.Index) (store.Log, error) {
	log, err := a.Disk.OpenLog(folder, first)
	return unsyncedLog{log}, err
}

type unsyncedLog struct {
	store.Log
}

func (unsyncedLog) Sync() error {
	return nil
}

// tailUnsynced leaves out the syncs of new segments.
type tailUnsynced struct {
	*storetest.Disk
}

func (u tailUnsynced) Create(path string) (store.File, error) {
	file, err := u.Disk.Create(path)
	if strings.Contains(path, "/log-") {
		return unsyncedFile{file}, err
	}
	return file, err
}

type unsyncedFile struct {
	store.File
}

func (unsyncedFile) Sync() error {
	return nil
}

// earlyRemoval removes other snapshots as soon as a new one has its name.
type earlyRemoval struct {
	*storetest.Disk
}

func (r earlyRemoval) Rename(from, to string) error {
	if err := r.Disk.Rename(from, to); err != nil {
		return err
	}
	names, err := r.List(modelDir)
	if err != nil {
		return err
	}
	for _, name := range names {
		other := modelDir + "/" + name
		if strings.Contains(to, "snapshot-") && strings.HasPrefix(name, "snapshot-") && other != to {
			if err := r.Remove(other); err != nil {
				return err
			}
		}
	}
	return nil
}

// inPlaceWrites writes files without a name of their own for what is unfinished.
type inPlaceWrites struct {
	*storetest.Disk
	prefix string
}

func (i inPlaceWrites) Create(path string) (store.File, error) {
	if strings.HasPrefix(path, modelDir+"/"+i.prefix) {
		path = strings.TrimSuffix(path, ".new")
	}
	return i.Disk.Create(path)
}

func (i inPlaceWrites) Rename(from, to string) error {
	if strings.HasPrefix(to, modelDir+"/"+i.prefix) {
		return nil
	}
	return i.Disk.Rename(from, to)
}

// files is what the store is given for a disk.
func (m mutation) files(disk *storetest.Disk) store.FileSystem {
	if m.wrap == nil {
		return disk
	}
	return m.wrap(disk)
}

func (m mutation) newDisk() *storetest.Disk {
	disk := storetest.NewDisk()
	m.on(disk)
	return disk
}

// on puts the mutation on a disk.
func (m mutation) on(disk *storetest.Disk) {
	if m.skip == nil {
		return
	}
	disk.Skip = func(operation storetest.Operation) bool {
		return m.skip(disk, operation)
	}
}

// TestSearch_EveryMutation_Found checks that the searches for broken promises find each known fault of a store.
func TestSearch_EveryMutation_Found(t *testing.T) {
	for _, m := range mutations {
		t.Run(m.name, func(t *testing.T) {
			search := newPowerSearch(t)
			search.mutation = m
			search.recovery = mutationOutcomes
			search.killed = m.search == byKill
			err := search.run()
			require.Error(t, err, "not found by: %s", m.search)
			var broken *brokenPromiseError
			require.ErrorAs(t, err, &broken)
		})
	}
}
