package controller

import (
	"context"
	"encoding/json"
	"log/slog"
	"net"
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"shaletrestle/coord/loadsum"
	"shaletrestle/coord/outlier"
	"shaletrestle/coord/recordedtest"
	"shaletrestle/coord/replication/core"
	"shaletrestle/coord/replication/store"
	"shaletrestle/coord/rpc"
	"shaletrestle/internal/settings"
)

// foldersPath is where the data folders are that the code of an earlier version wrote.
const foldersPath = "../../coord/replication/store/testdata/folders/"

// noNet has nobody on it.
type noNet struct{}

func (noNet) Dial(string, time.Duration) (net.Conn, error) { return nil, net.ErrClosed }
func (noNet) Listen(string) (net.Listener, error)          { return nil, net.ErrClosed }

// openRecorded makes a controller over a copy of a data folder.
func openRecorded(t *testing.T, folder string) *Controller {
	t.Helper()
	dir := t.TempDir()
	require.NoError(t, os.CopyFS(dir, os.DirFS(foldersPath+folder)))
	opened, err := store.Open(store.OSFiles{}, dir, store.Options{})
	require.NoError(t, err)
	require.Empty(t, opened.Damage())
	t.Cleanup(opened.Close)
	env := &settings.Settings{
		NodeName: "c", Zone: "zone-1", IP: "10.0.0.1", Ports: []int{7720, 7729}, QuorumMember: true, DataDir: dir,
		Zones: map[string]string{"zone-1": "east"}, Bounds: settings.Bounds{BudgetSlack: 100, BudgetWindowS: 10, GraceS: 1},
	}
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	c, err := New(ctx, slog.New(slog.DiscardHandler), Options{Settings: env, Net: noNet{}, Store: opened})
	require.NoError(t, err)
	return c
}

// TestController_RecordedFolder_HasItsState starts a control member on the data of an earlier version. What is
// committed beyond its snapshot it applies only when a view says so, so that the snapshot is what it begins with.
func TestController_RecordedFolder_HasItsState(t *testing.T) {
	recording := recordedtest.Open(t, "testdata/states.txt")
	for _, x := range []struct {
		folder string
		view   core.Epoch // 0: none
		index  core.Index
	}{
		{"whole", 3, 12}, {"torn", 3, 12}, {"interrupted", 3, 12}, {"witness", 7, 0}, {"joined", 5, 9}, {"fresh", 0, 0},
	} {
		c := openRecorded(t, x.folder)
		recording.Same(x.folder, c.replicated.Snapshot())
		require.Equal(t, x.index, core.Index(c.member.State().Index), x.folder)
		if x.view == 0 {
			require.Nil(t, c.View(), x.folder)
			continue
		}
		require.Equal(t, x.view, c.View().Epoch, x.folder)
	}
}

// TestController_RecordedBytes_ReadAndWrittenAsBefore pins the form of the messages between a controller and nodes.
func TestController_RecordedBytes_ReadAndWrittenAsBefore(t *testing.T) {
	recording := recordedtest.Open(t, "testdata/messages.txt")
	c := openRecorded(t, "whole")
	loads := []loadsum.Load{{Key: 0x8001, Tokens: 0x8002}, {Key: 0x8003, Tokens: 0x8004}}
	sum := c.loadMessage(loads)
	read, err := rpc.Decode(recording.Same("load-sum", sum.Encode()))
	require.NoError(t, err)
	require.Equal(t, sum, read)
	require.Nil(t, c.handle(nil, read))
	require.ElementsMatch(t, loads, c.loadSums.Total(time.Now()))

	lend := &rpc.Message{Kind: rpc.Loan, Call: 0x8005, Text: "service-1", Number: 3}
	read, err = rpc.Decode(recording.Same("lend", lend.Encode()))
	require.NoError(t, err)
	recording.Same("lend-refused", c.handle(nil, read).Encode())

	reports, err := json.Marshal([]outlier.Report{{ReplicaID: "replica-1", Node: 0x8006, Successes: 0.5, Failures: 2}})
	require.NoError(t, err)
	c.handleReports("10.0.0.9:7722", recording.Same("reports", reports))
	require.Equal(t, reports, c.reports.take(), "a relay forwards what it received")
	require.Nil(t, c.reports.take())
}

// TestController_RecordedEntries_AreDecidedOnAsBefore applies the entries of a recorded log to its snapshot.
func TestController_RecordedEntries_AreDecidedOnAsBefore(t *testing.T) {
	recording := recordedtest.Open(t, "testdata/applied.txt")
	dir := t.TempDir()
	require.NoError(t, os.CopyFS(dir, os.DirFS(foldersPath+"whole")))
	opened, err := store.Open(store.OSFiles{}, dir, store.Options{})
	require.NoError(t, err)
	defer opened.Close()
	replicated := newReplicatedStore()
	require.NoError(t, replicated.Restore(opened.Load().Snapshot.Data))
	for _, entry := range opened.Load().Entries {
		require.NoError(t, replicated.Update(entry.Data))
	}
	recording.Same("whole", replicated.Snapshot())
}
