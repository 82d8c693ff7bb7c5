package longwork

import (
	"context"
	"encoding/json"
	"io"
	"log/slog"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"shaletrestle/coord/handoff"
	"shaletrestle/internal/durations"
	"shaletrestle/internal/routing"
	"shaletrestle/internal/settings"
)

// testRouter is a router with nothing to do.
type testRouter struct {
	settings *settings.Settings
	run      func(writer http.ResponseWriter, request *http.Request, attempts int, offeredAt time.Time) Run
}

func (r *testRouter) Settings() *settings.Settings      { return r.settings }
func (r *testRouter) AcceptsWork() bool                 { return true }
func (r *testRouter) BodyMemory() (used, limit float64) { return 0, 1 }
func (r *testRouter) HasService(string) bool            { return true }
func (r *testRouter) RunForPeer(writer http.ResponseWriter, request *http.Request, attempts int, offeredAt time.Time) Run {
	return r.run(writer, request, attempts, offeredAt)
}

// newTestCoordinator returns a coordinator whose Run nobody has called.
func newTestCoordinator(t *testing.T, router *testRouter) *Coordinator {
	t.Helper()
	if router.settings == nil {
		router.settings = &settings.Settings{LongWork: settings.LongWork{Enabled: true}}
	}
	return New(t.Context(), Options{Log: slog.New(slog.DiscardHandler), Router: router, Self: "self"})
}

func TestCoordinator_ReservePeer_WithCapacityAndAllowed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		env := &settings.Settings{Zone: "a", Zones: map[string]string{"a": "east", "b": "west"}, LongWork: settings.LongWork{Enabled: true}}
		c := newTestCoordinator(t, &testRouter{settings: env})
		fill := func() {
			c.peers = map[string]peer{"near": {1, "a", time.Now()}, "far": {3, "b", time.Now()}, "full": {0, "a", time.Now()}}
		}
		fill()
		require.Equal(t, "near", c.reservePeer(&routing.Route{}))
		require.Empty(t, c.reservePeer(&routing.Route{}), "its capacity is used up until it reports again")
		env.LongWork.OtherZones = true
		fill()
		require.Equal(t, "far", c.reservePeer(&routing.Route{}))
		require.Equal(t, "near", c.reservePeer(&routing.Route{AllowedRegions: map[string]bool{"east": true}}), "a body stays in the route's regions")
		require.Empty(t, c.reservePeer(&routing.Route{AllowedRegions: map[string]bool{"north": true}}))
		fill()
		<-time.After(peerLifetime + 1)
		require.Empty(t, c.reservePeer(&routing.Route{}), "a peer that has not reported has no capacity")
	})
}

func TestPartWriter_OwnResponse_NotSent(t *testing.T) {
	c := newTestCoordinator(t, &testRouter{})
	c.taker = handoff.NewTaker(5, handoff.Bounds{AcceptTimeout: 10, Lease: 10, Tombstones: 1})
	c.taker.SetCapacity(1)
	c.taker.Step(0, handoff.Message{Kind: handoff.Offer, Owner: 1, Job: 1, OfferNumber: 1})
	c.taker.Step(0, handoff.Message{Kind: handoff.Go, Owner: 1, Job: 1, OfferNumber: 1, Ticket: handoff.Ticket{Incarnation: 5, Number: 1}})
	w := &partWriter{coordinator: c, ticket: 1, header: http.Header{}}
	w.WriteHeader(http.StatusServiceUnavailable)
	n, err := w.Write([]byte("rejected"))
	require.NoError(t, err)
	require.Equal(t, len("rejected"), n)
	require.True(t, w.isOwn)
	effects := c.taker.Finish(1, handoff.Returned, 0)
	require.Equal(t, handoff.Returned, effects[0].Message.Kind, "no part was sent, so the promise may be passed on")
}

func TestState_JSON_KeepsNamesAndOrder(t *testing.T) {
	page := State{Services: map[string]QueueState{"p": {}}}
	written, err := json.Marshal(page)
	require.NoError(t, err)
	require.Equal(t, `{"accepted_now":0,"broken":0,"elsewhere_now":0,"enabled":false,"held":0,"late_ms":0,"lost":0,`+
		`"offered":0,"offered_now":0,"oldest_ms":0,"refused":0,"returned":0,"run_elsewhere":0,"run_here":0,`+
		`"services":{"p":{"idle":false,"room":0,"running":0,"waiting":0}},"taken":0,"taken_now":0}`, string(written))
}

func TestEventID(t *testing.T) {
	require.Equal(t, int64(12), eventID([]byte("id: 12\ndata: id: 7\n\n")))
	require.Equal(t, int64(-1), eventID([]byte("data: x\n\n")))
	require.Equal(t, int64(-1), eventID([]byte("id: x\n\n")))
}

// TestCoordinator_RunForPeer_TimeCountsFromOffer also sees what else the router gets, and that the run is forgotten.
func TestCoordinator_RunForPeer_TimeCountsFromOffer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		offeredAt := time.Now()
		ran := false
		c := newTestCoordinator(t, &testRouter{run: func(_ http.ResponseWriter, request *http.Request, attempts int, at time.Time) Run {
			ran = true
			require.Equal(t, offeredAt, at)
			require.Equal(t, 1, attempts)
			body, err := io.ReadAll(request.Body)
			require.NoError(t, err)
			require.Equal(t, "four", string(body))
			return Run{}
		}})
		time.Sleep(durations.FromSeconds(17)) // the taker was frozen before it came to run the job
		text := "POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\nfour"
		c.cancels[0] = func() {}
		c.runForPeer(t.Context(), handoff.Effect{Message: handoff.Message{Body: []byte(text), Attempts: 1}}, offeredAt)
		require.True(t, ran)
		require.Empty(t, c.cancels)
	})
}

func TestOffer_ReclaimAfterDeadline_EndsWithWhatIsKnown(t *testing.T) {
	for name, lost := range map[string]bool{"declined": false, "lost": true} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newTestCoordinator(t, &testRouter{})
				work := c.Begin(Request{
					Route:    &routing.Route{Kind: routing.Idempotent, MaxAttempts: 3},
					Deadline: time.Now().Add(time.Second),
				})
				inbox := make(chan handoff.Effect, 4)
				job := c.owner.Take(c.now()+time.Second, true, 3)
				c.inboxes[job] = inbox
				c.owner.Offer(c.now(), job, "n", nil)
				offer := &Offer{work: work, peer: "n", job: job, inbox: inbox}
				answer := handoff.Message{Kind: handoff.Decline, Peer: "n", Owner: c.owner.Incarnation(), Job: job, OfferNumber: 1}
				if lost {
					answer.Kind = handoff.Accept
					c.owner.Step(c.now(), answer)
					answer.Kind = handoff.Failed
				}
				c.owner.Step(c.now(), answer)
				<-time.After(durations.FromSeconds(17))
				_, ok := offer.reclaim()
				require.False(t, ok)
				want := Rejected
				if lost {
					want = Indeterminate
				}
				update, err := offer.Next(t.Context())
				require.NoError(t, err)
				require.Equal(t, want, update.Kind, "its end says what is known of it")
				require.Equal(t, lost, update.MayHaveRun)
			})
		})
	}
}

// fullService makes a service whose capacity is used up and whose replicas have no free slot.
func fullService(c *Coordinator, service string) *queue {
	queue := c.queue(service)
	queue.loads["r"] = loadReport{Load: Load{Running: 7, Waiting: 2, Slots: 8}, at: time.Now()}
	for range int(initialCapacity) {
		queue.admission.Join(0, false)
	}
	return queue
}

func TestWork_EnterFullService_RejectedInTimeAndPeerAtOnce(t *testing.T) {
	for name, forPeer := range map[string]bool{"of a client": false, "of a peer": true} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newTestCoordinator(t, &testRouter{})
				queue := fullService(c, "p")
				arrived := time.Now()
				work := c.Begin(Request{
					Service:     "p",
					Route:       &routing.Route{},
					ArrivedAt:   arrived,
					RejectAfter: arrived.Add(200 * time.Millisecond),
					Deadline:    arrived.Add(durations.FromSeconds(9)),
					ForPeer:     forPeer,
				})
				defer work.Close()
				var ticks sync.WaitGroup
				defer ticks.Wait()
				ticks.Go(func() {
					for range 10 {
						<-time.After(tickInterval)
						c.mu.Lock()
						c.admit(queue)
						c.mu.Unlock()
					}
				})
				require.ErrorIs(t, work.Enter(t.Context(), false), ErrNoCapacity)
				if took := time.Since(arrived); forPeer {
					require.Zero(t, took)
				} else {
					require.Equal(t, 200*time.Millisecond, took)
				}
				running, waiting, _ := queue.admission.Stats()
				require.Equal(t, int(initialCapacity), running)
				require.Zero(t, waiting)
			})
		})
	}
}

func TestWork_EnterClientGone_LeavesQueue(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newTestCoordinator(t, &testRouter{})
		queue := fullService(c, "p")
		later := time.Now().Add(time.Hour)
		work := c.Begin(Request{Service: "p", Route: &routing.Route{}, RejectAfter: later, Deadline: later})
		defer work.Close()
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		require.ErrorIs(t, work.Enter(ctx, false), context.DeadlineExceeded)
		_, waiting, _ := queue.admission.Stats()
		require.Zero(t, waiting)
		require.Empty(t, queue.waiters)
	})
}
