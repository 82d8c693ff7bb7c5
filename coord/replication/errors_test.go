package replication

import (
	"context"
	"fmt"
	"log/slog"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"shaletrestle/coord/replication/core"
)

// TestOutcomeError_EachOutcome_ErrorAndText checks the texts too: callers show them.
func TestOutcomeError_EachOutcome_ErrorAndText(t *testing.T) {
	for _, test := range []struct {
		name   string
		result core.Result
		want   error
		text   string
	}{
		{"committed", core.Result{Outcome: core.Committed}, nil, ""},
		{"no change", core.Result{Outcome: core.NoChange}, nil, ""},
		{"current", core.Result{Outcome: core.Current}, nil, ""},
		{"rejected", core.Result{Outcome: core.Rejected, Err: errVersionConflict}, errVersionConflict, "version 1 is current"},
		{"deposed", core.Result{Outcome: core.Deposed}, ErrNotPrimary, "not the primary"},
		{"indeterminate", core.Result{Outcome: core.Indeterminate}, ErrNotDecided, "not decided"},
		{
			"too many pending", core.Result{Outcome: core.Indeterminate, Err: core.ErrTooManyPending},
			ErrNotDecided, "not decided: " + core.ErrTooManyPending.Error(),
		},
		{
			"deadline exceeded", core.Result{Outcome: core.Indeterminate, Err: core.ErrDeadlineExceeded},
			core.ErrDeadlineExceeded, "not decided: " + core.ErrDeadlineExceeded.Error(),
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			err := outcomeError(test.result)
			require.ErrorIs(t, err, test.want)
			if test.want != nil {
				require.EqualError(t, err, test.text)
			}
		})
	}
}

// TestPropose_MemberNotServing_TypedErrors calls a member that is made and not run.
func TestPropose_MemberNotServing_TypedErrors(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		m, err := New(slog.New(slog.DiscardHandler), Config{
			Address: "a", Seeds: []string{"a"}, Store: &memoryStore{id: 7}, StateMachine: &textMachine{}, Transport: newNetwork(),
		})
		require.NoError(t, err)
		propose := func() error {
			return m.Propose(time.Now().Add(time.Second), func() ([]byte, error) { return nil, fmt.Errorf("nobody decides") })
		}
		err = propose()
		require.ErrorIs(t, err, ErrNotDecided, "it waits in the queue")
		require.EqualError(t, err, "not decided in time")
		for len(m.events) < cap(m.events) {
			m.post(core.Tick{})
		}
		require.ErrorIs(t, propose(), ErrNotStarted, "the queue is full")
		require.ErrorIs(t, m.Confirm(time.Now().Add(time.Second)), ErrNotStarted)
		cancel()
		m.Run(ctx)
		synctest.Wait()
		require.ErrorIs(t, propose(), ErrStopped)
		require.ErrorIs(t, m.Confirm(time.Now().Add(time.Second)), ErrStopped)
		require.False(t, m.Leave(time.Now().Add(time.Second)))
	})
}

func TestNoDisk_Writes_ErrNoDisk(t *testing.T) {
	disk := NewNoDisk()
	require.ErrorIs(t, disk.SaveRegister(core.Register{}), ErrNoDisk)
	require.ErrorIs(t, disk.SaveSnapshot(core.Snapshot{}, nil), ErrNoDisk)
	require.ErrorIs(t, disk.Append(core.Entry{}), ErrNoDisk)
}

func TestDecodeMessage_Invalid_ErrInvalidMessage(t *testing.T) {
	for _, data := range [][]byte{nil, make([]byte, minMessageBytes-1), make([]byte, 64)} {
		message, err := decodeMessage(data)
		require.ErrorIs(t, err, ErrInvalidMessage)
		require.Nil(t, message)
	}
}
