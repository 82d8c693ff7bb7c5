package router

import (
	"bufio"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"shaletrestle/internal/durations"
	"shaletrestle/internal/longwork"
	"shaletrestle/internal/placement"
	"shaletrestle/internal/routing"
)

func TestRunForPeer_FrozenPastDeadline_SendsNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		sim := newSimulation(t, clientTimeBudget, stepOK)
		defer sim.end()
		offeredAt := time.Now()
		<-time.After(durations.FromSeconds(17)) // the taker was frozen before it came to run the job
		request, err := http.ReadRequest(bufio.NewReader(strings.NewReader(requestText("once", "a"))))
		require.NoError(t, err)
		run := longWorkRouter{sim.router}.RunForPeer(httptest.NewRecorder(), request, 1, offeredAt)
		require.Empty(t, sim.deliveries, "its time was over")
		require.Equal(t, longwork.Run{}, run)
		require.Zero(t, sim.router.inflight.Load())
	})
}

func TestRunForPeer_CompleteResponse_SaysWhatRan(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		sim := newSimulation(t, clientTimeBudget, stepError, stepOK)
		defer sim.end()
		request, err := http.ReadRequest(bufio.NewReader(strings.NewReader(requestText("repeat", "a"))))
		require.NoError(t, err)
		recorder := httptest.NewRecorder()
		run := longWorkRouter{sim.router}.RunForPeer(recorder, request, 1, time.Now())
		require.Equal(t, http.StatusInternalServerError, recorder.Code)
		require.Equal(t, longwork.Run{Attempts: 1, MayHaveRun: true}, run, "the peer allowed one attempt only")
	})
}

// fillLongWork uses up the capacity for long work of a service, whose replicas then have no free slot.
func fillLongWork(t *testing.T, coordinator *longwork.Coordinator, service string) {
	t.Helper()
	coordinator.RecordLoad(service, "r", longwork.Load{Running: 7, Waiting: 2, Slots: 8})
	for capacity := 32; capacity > 0; capacity-- {
		later := time.Now().Add(time.Hour)
		work := coordinator.Begin(longwork.Request{Service: service, Route: &routing.Route{}, RejectAfter: later, Deadline: later})
		require.NoError(t, work.Enter(t.Context(), false))
	}
}

func TestAdmitLongWork_NoCapacity_RejectedInTimeAndPeerAtOnce(t *testing.T) {
	for name, forPeer := range map[string]bool{"of a client": false, "of a peer": true} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				sim := newSimulation(t, clientTimeBudget, stepOK)
				defer sim.end()
				env := *sim.router.settings.Load()
				env.LongWork.Enabled = true
				sim.router.settings.Store(&env)
				fillLongWork(t, sim.router.longWork, "p")
				go sim.router.longWork.Run()
				recorder := httptest.NewRecorder()
				req := &request{
					router:   sim.router,
					writer:   recorder,
					inbound:  httptest.NewRequest(http.MethodPost, "/", nil),
					wanted:   &placement.Request{Pool: "p"},
					route:    &routing.Route{LatencyTarget: durations.FromSeconds(1)},
					arrived:  time.Now(),
					deadline: time.Now().Add(durations.FromSeconds(9)),
					forPeer:  forPeer,
				}
				require.Equal(t, outcomeAnswered, req.admitLongWork())
				require.Equal(t, http.StatusServiceUnavailable, recorder.Code)
				require.NotEmpty(t, recorder.Header().Get("Retry-After"))
				if took := time.Since(req.arrived); forPeer {
					require.Zero(t, took)
				} else {
					require.Equal(t, durations.FromSeconds(rejectFraction), took)
				}
				service := sim.router.longWork.State().Services["p"]
				require.Equal(t, 32, service.Running)
				require.Zero(t, service.Waiting)
			})
		})
	}
}
