package router

import (
	"bufio"
	"encoding/json"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"shaletrestle/internal/requestlog"
)

// requestPage asks the state page for the requests with an Attempt-Id.
func requestPage(t *testing.T, router *Router, attemptID string) requestlog.Page {
	t.Helper()
	recorder := httptest.NewRecorder()
	router.serveState(recorder, httptest.NewRequest("GET", "/requests/"+attemptID, nil))
	var page requestlog.Page
	require.NoError(t, json.Unmarshal(recorder.Body.Bytes(), &page))
	return page
}

// metricsText asks the state page for the metrics.
func metricsText(router *Router) string {
	recorder := httptest.NewRecorder()
	router.serveState(recorder, httptest.NewRequest("GET", "/metrics", nil))
	return recorder.Body.String()
}

// TestStatePage_FailedRequest_IsExplained lets both replicas of a request fail, in different ways.
func TestStatePage_FailedRequest_IsExplained(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const timeout = 2 * time.Second
		sim := newSimulation(t, timeout, stepError, stepReset)
		defer sim.end()
		client := sim.client()
		got := sim.ask(client, bufio.NewReader(client), "repeat", "lost")
		require.Equal(t, 502, got.status)
		synctest.Wait()
		page := requestPage(t, sim.router, "lost")
		require.Len(t, page.Failed, 1)
		record := page.Failed[0]
		require.Equal(t, requestlog.UpstreamFailure.String(), record.Cause)
		require.Equal(t, "repeat", record.Route)
		require.Equal(t, int64(1), record.Revision)
		require.Len(t, record.Attempts, 2)
		require.Equal(t, 500, record.Attempts[0].Status)
		require.Equal(t, "answered", record.Attempts[0].State)
		require.Equal(t, "sent", record.Attempts[1].State)
		require.NotEmpty(t, record.Attempts[1].End)
		require.NotEqual(t, record.Attempts[0].Replica, record.Attempts[1].Replica)
		require.Empty(t, requestPage(t, sim.router, "another").Failed)
		require.Contains(t, metricsText(sim.router), `router_request_duration_seconds_count{cause="upstream_failure"} 1`)
		require.Contains(t, metricsText(sim.router), `router_request_duration_seconds_count{cause="unfinished"} 0`)
	})
}
