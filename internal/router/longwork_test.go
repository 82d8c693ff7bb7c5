package router

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"shaletrestle/internal/durations"

	"github.com/stretchr/testify/require"

	"shaletrestle/coord/handoff"
	"shaletrestle/internal/placement"
	"shaletrestle/internal/routing"
	"shaletrestle/internal/settings"
)

func longOf(e *settings.Settings) *longWork {
	g := &Router{}
	g.settings.Store(e)
	return &longWork{router: g, peers: map[string]peer{}}
}

func TestNeighbourHasRoomAndMayHaveTheRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := &settings.Settings{Zone: "a", Zones: map[string]string{"a": "east", "b": "west"}, LongWork: settings.LongWork{Enabled: true}}
		h := longOf(e)
		fill := func() {
			h.peers = map[string]peer{"near": {1, "a", time.Now()}, "far": {3, "b", time.Now()}, "full": {0, "a", time.Now()}}
		}
		fill()
		require.Equal(t, "near", h.reservePeer(&routing.Route{}))
		require.Empty(t, h.reservePeer(&routing.Route{}), "its room is used up until it speaks again")
		e.LongWork.OtherZones = true
		fill()
		require.Equal(t, "far", h.reservePeer(&routing.Route{}))
		require.Equal(t, "near", h.reservePeer(&routing.Route{AllowedRegions: map[string]bool{"east": true}}), "a body stays in the route's regions")
		require.Empty(t, h.reservePeer(&routing.Route{AllowedRegions: map[string]bool{"north": true}}))
		fill()
		<-time.After(longKnown + 1)
		require.Empty(t, h.reservePeer(&routing.Route{}), "what is not heard of any more has no room")
	})
}

func TestOwnAnswersOfATakerAreNotSent(t *testing.T) {
	h := &longWork{taker: handoff.NewTaker(5, handoff.Bounds{AcceptTimeout: 10, Lease: 10, Tombstones: 1})}
	h.taker.SetCapacity(1)
	h.taker.Step(0, handoff.Message{Kind: handoff.Offer, Owner: 1, Job: 1, OfferNumber: 1})
	h.taker.Step(0, handoff.Message{Kind: handoff.Go, Owner: 1, Job: 1, OfferNumber: 1, Ticket: handoff.Ticket{Incarnation: 5, Number: 1}})
	w := &takenWriter{work: h, ticket: 1, head: http.Header{}}
	w.WriteHeader(http.StatusServiceUnavailable)
	n, err := w.Write([]byte("crowded"))
	require.NoError(t, err)
	require.Equal(t, 7, n)
	require.True(t, w.own)
	fx := h.taker.Finish(1, handoff.Returned, 0)
	require.Equal(t, handoff.Returned, fx[0].Message.Kind, "no part was sent, so the promise may be passed on")
}

func TestTheStatePageKeepsItsNamesAndTheirOrder(t *testing.T) {
	page := longWorkState{Services: map[string]longQueueState{"p": {}}}
	written, err := json.Marshal(page)
	require.NoError(t, err)
	require.Equal(t, `{"accepted_now":0,"broken":0,"elsewhere_now":0,"enabled":false,"held":0,"late_ms":0,"lost":0,`+
		`"offered":0,"offered_now":0,"oldest_ms":0,"refused":0,"returned":0,"run_elsewhere":0,"run_here":0,`+
		`"services":{"p":{"idle":false,"room":0,"running":0,"waiting":0}},"taken":0,"taken_now":0}`, string(written))
}

func TestEventIDs(t *testing.T) {
	require.Equal(t, int64(12), eventID([]byte("id: 12\ndata: id: 7\n\n")))
	require.Equal(t, int64(-1), eventID([]byte("data: x\n\n")))
	require.Equal(t, int64(-1), eventID([]byte("id: x\n\n")))
}

func TestATakersTimeCountsFromTheOffer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, worldBudget, stepOK)
		defer w.end()
		offered := time.Now()
		<-time.After(durations.FromSeconds(17)) // the taker was frozen before it came to run the job
		f := handoff.Effect{Message: handoff.Message{Body: []byte(requestText("once", "a")), Attempts: 1}}
		h := w.g.longWork
		h.cancels[0] = func() {}
		h.runTaken(t.Context(), f, offered)
		require.Empty(t, w.deliveries, "its time was over")
	})
}

func TestAJobWhoseTimeIsOverIsNotTakenBack(t *testing.T) {
	for _, lost := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			w := newWorld(t, worldBudget, stepOK)
			defer w.end()
			h := w.g.longWork
			q := &request{router: w.g, route: &routing.Route{MaxAttempts: 3}}
			in := make(chan handoff.Effect, 4)
			job := h.owner.Take(h.now()+durations.FromSeconds(1), true, 3)
			h.inboxes[job] = in
			h.owner.Offer(h.now(), job, "n", nil)
			offered := &offeredJob{work: h, request: q, node: "n", number: job}
			answer := handoff.Message{Kind: handoff.Decline, Peer: "n", Owner: h.owner.Incarnation(), Job: job, OfferNumber: 1}
			if lost {
				answer.Kind = handoff.Accept
				h.owner.Step(h.now(), answer)
				answer.Kind = handoff.Failed
			}
			h.owner.Step(h.now(), answer)
			<-time.After(durations.FromSeconds(17))
			require.False(t, offered.takeBack())
			want := handoff.Rejected
			if lost {
				want = handoff.Indeterminate
			}
			require.Equal(t, want, (<-in).Outcome, "its end says what is known of it")
		})
	}
}

func TestNoPlaceIsToldEarlyAndToAnOwnerAtOnce(t *testing.T) {
	for _, taken := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			h := longOf(&settings.Settings{LongWork: settings.LongWork{Enabled: true}})
			h.router.longWork, h.start, h.queues, h.open = h, time.Now(), map[string]*longQueue{}, map[*request]struct{}{}
			x := h.queue("p")
			x.loads["r"] = longLoad{running: 7, waiting: 2, slots: 8, at: time.Now()}
			for range int(longRoom) {
				x.admission.Join(0, false)
			}
			w := httptest.NewRecorder()
			q := &request{router: h.router, writer: w, inbound: httptest.NewRequest(http.MethodPost, "/", nil), wanted: &placement.Request{Pool: "p"}, route: &routing.Route{LatencyTarget: durations.FromSeconds(1)},
				arrived: time.Now(), deadline: time.Now().Add(durations.FromSeconds(9)), forPeer: taken, isLongWork: true}
			var pumps sync.WaitGroup
			defer pumps.Wait()
			pumps.Go(func() {
				for range 10 {
					<-time.After(longTick)
					h.mu.Lock()
					h.admit(x)
					h.mu.Unlock()
				}
			})
			require.False(t, q.enter())
			require.Equal(t, http.StatusServiceUnavailable, w.Code)
			require.NotEmpty(t, w.Header().Get("Retry-After"))
			if took := time.Since(q.arrived); taken {
				require.Zero(t, took)
			} else {
				require.Equal(t, durations.FromSeconds(rejectFraction), took)
			}
			runs, waiting, _ := x.admission.Stats()
			require.Equal(t, int(longRoom), runs)
			require.Zero(t, waiting)
		})
	}
}
