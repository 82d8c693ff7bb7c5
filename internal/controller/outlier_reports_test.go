package controller

import (
	"bytes"
	"encoding/json"
	"fmt"
	"log/slog"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"shaletrestle/coord/distribution"
	"shaletrestle/coord/outlier"
)

func TestOutlierReports_OverTheLimit_KeepsTheNewest(t *testing.T) {
	var r outlierReports
	for i := range reportsLimit + 3 {
		r.add([]outlier.Report{{ReplicaID: fmt.Sprint(i)}})
	}
	var got []outlier.Report
	require.NoError(t, json.Unmarshal(r.take(), &got))
	require.Len(t, got, reportsLimit)
	require.Equal(t, "3", got[0].ReplicaID)
	require.Equal(t, fmt.Sprint(reportsLimit+2), got[reportsLimit-1].ReplicaID)
	require.Nil(t, r.take())
}

func TestEvaluationPacer_Due_OnceAHeartbeat(t *testing.T) {
	var p evaluationPacer
	start := time.Unix(1000, 0)
	require.True(t, p.due(start))
	require.False(t, p.due(start.Add(distribution.HeartbeatInterval-1)))
	require.True(t, p.due(start.Add(distribution.HeartbeatInterval)))
}

func TestHandleReports_Unreadable_CountedAndLoggedWithItsSender(t *testing.T) {
	c := openRecorded(t, "whole")
	var lines bytes.Buffer
	c.log = slog.New(slog.NewTextHandler(&lines, nil))
	for range failuresPerLog {
		c.handleReports("10.0.0.9:7722", []byte("{no list"))
	}
	c.handleReports("10.0.0.9:7722", nil)
	require.Equal(t, int64(failuresPerLog), c.reports.invalid.Load())
	require.Equal(t, 1, strings.Count(lines.String(), "reports of a follower cannot be read"))
	require.Contains(t, lines.String(), "follower=10.0.0.9:7722")
	require.Nil(t, c.reports.take())
}
