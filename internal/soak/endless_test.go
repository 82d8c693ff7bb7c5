package soak

import (
	"bufio"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"shaletrestle/internal/endless"
	"shaletrestle/internal/metrics"
	"shaletrestle/internal/settings"
	"shaletrestle/internal/upstream"
)

var (
	endlessCallers  = flag.Int("endless.callers", 40, "callers of the replicas that send bytes without end")
	endlessDuration = flag.Duration("endless.duration", 2*time.Second, "how long they call")
)

const (
	endlessMemoryMB = 102 // the least of any kind of machine that the pages name
	endlessReplicas = 3   // of each service
	goodEvery       = 25 * time.Millisecond
	goodAnswerBytes = 200 << 10
	pathFaulty      = "/faulty/"
	faultyConns     = 5000
)

// endlessStand is a router of the smallest kind of machine before a pool of well replicas and one of replicas that send bytes
// without end.
type endlessStand struct {
	t        *testing.T
	router   *incarnation
	front    string
	state    string // where the router's metrics are
	platform *platform
	form     endless.Form // empty: those of endless.IncompleteForms in turn, fast and trickling
	trickle  bool
	number   atomic.Int64 // of the newest request
	answers  atomic.Int64 // without end
}

// endlessHandler answers each request with bytes without end, after a status of 200 and of 500 in turn.
func (s *endlessStand) endlessHandler(w http.ResponseWriter, request *http.Request) {
	if request.URL.Path == "/health" {
		return
	}
	_, _ = io.Copy(io.Discard, request.Body)
	status := http.StatusOK
	if s.number.Load()%2 == 0 {
		status = http.StatusInternalServerError
	}
	form, trickle := s.form, s.trickle
	if form == "" {
		number := int(s.answers.Add(1))
		form = endless.IncompleteForms[number%len(endless.IncompleteForms)]
		trickle = number%3 == 0
	}
	endless.Send(w, form, status, request.Header.Get(upstream.HeaderAttemptID), trickle)
}

// addReplicas lists replicas of a service; a handler of its own takes the place of the usual one of the first few.
func (s *endlessStand) addReplicas(m *machine, service string, first, own int, handler func(id string) http.Handler) {
	for i := range endlessReplicas {
		added, err := startReplica(newJudge(), service, m.fleet.prefix+strconv.Itoa(first+i), zones[0], 1)
		require.NoError(s.t, err)
		s.t.Cleanup(added.stop)
		if i < own {
			added.server.Handler = handler(added.id)
		}
		s.platform.change(func(replicas []*replica) []*replica { return append(replicas, added) })
	}
}

// configuration has the well pool behind pathRepeat, and the other one behind pathFaulty, pathStream and pathResume.
func (s *endlessStand) configuration() []byte {
	c := firstConfiguration(firstMarker)
	c.Routes = append(c.Routes, plainRoute("faulty", stableHost, pathFaulty, "idempotent", serviceModel))
	for i := range c.Pools {
		c.Pools[i].MaxConnections = faultyConns
	}
	body, err := json.Marshal(c)
	require.NoError(s.t, err)
	return body
}

func newEndlessStand(t *testing.T, form endless.Form, trickle bool, faulty int) *endlessStand {
	t.Helper()
	m := newMachine(t)
	platform, err := startPlatform(address(m.fleet.prefix+strconv.Itoa(platformAddress), portPlatform))
	require.NoError(t, err)
	t.Cleanup(platform.close)
	s := &endlessStand{t: t, platform: platform, form: form, trickle: trickle}
	s.addReplicas(m, serviceDesk, firstReplica, endlessReplicas, func(id string) http.Handler { return largeReplica{id} })
	s.addReplicas(m, serviceModel, firstReplica+endlessReplicas, faulty, func(string) http.Handler { return http.HandlerFunc(s.endlessHandler) })
	recording := time.NewTicker(recordInterval)
	t.Cleanup(recording.Stop)
	go func() {
		for range recording.C {
			platform.record()
		}
	}()
	m.writeSettings(programController)
	ownSettings := m.settings(programRouter)
	ownSettings.Limits.MemoryMB = endlessMemoryMB
	require.NoError(t, os.MkdirAll(ownSettings.DataDir, 0o700))
	require.NoError(t, os.WriteFile(m.settingsFile(programRouter), encoded(t, ownSettings), 0o600))
	controller := m.start(programController)
	s.router = m.start(programRouter)
	s.front, s.state = ownSettings.Bind.Front, ownSettings.Port(settings.RouterStatePortOffset)
	client := newHTTPClient()
	body := s.configuration()
	controller.awaitServing()
	controller.await("it takes the first configuration", func() bool {
		url := "http://" + m.settings(programController).Bind.Control + "/v1/config"
		return call(t.Context(), client, http.MethodPut, url, "0", body).status == http.StatusOK
	})
	s.router.await("it serves the well pool", func() bool { return s.callGood() })
	return s
}

// request is one of a client, over a connection of its own.
func (s *endlessStand) request(path string) (*http.Response, error) {
	request, err := http.NewRequestWithContext(s.t.Context(), http.MethodPost, "http://"+s.front+path, http.NoBody)
	if err != nil {
		return nil, err
	}
	request.Host = stableHost
	request.Header.Set(upstream.HeaderAttemptID, fmt.Sprint("endless-", s.number.Add(1)))
	request.Header.Set(answerBytesHeader, strconv.Itoa(goodAnswerBytes))
	transport := &http.Transport{DisableKeepAlives: true}
	return (&http.Client{Transport: transport, Timeout: routeTimeout * time.Millisecond}).Do(request)
}

// callGood calls the well pool; true if the complete answer came within the route's timeout.
func (s *endlessStand) callGood() bool {
	answer, err := s.request(pathRepeat)
	if err != nil {
		return false
	}
	defer func() { _ = answer.Body.Close() }()
	length, err := io.Copy(io.Discard, answer.Body)
	return err == nil && answer.StatusCode == http.StatusOK && length == goodAnswerBytes
}

// callFaulty calls the other pool; true if a success came that appears complete.
func (s *endlessStand) callFaulty(number int) (success bool) {
	paths := []string{pathFaulty, pathStream, pathResume}
	answer, err := s.request(paths[number%len(paths)])
	if err != nil {
		return false
	}
	defer func() { _ = answer.Body.Close() }()
	_, err = io.Copy(io.Discard, answer.Body)
	return err == nil && answer.StatusCode == http.StatusOK
}

// counts are how many calls there were and how many of them succeeded.
type counts struct{ all, succeeded atomic.Int64 }

func (c *counts) add(succeeded bool) {
	c.all.Add(1)
	if succeeded {
		c.succeeded.Add(1)
	}
}

// play has the faulty pool called by all callers, and the good one at a steady rate beside them.
func (s *endlessStand) play() (good, faulty *counts) {
	good, faulty = &counts{}, &counts{}
	end := time.Now().Add(*endlessDuration)
	var all sync.WaitGroup
	for caller := range *endlessCallers {
		all.Go(func() {
			for number := caller; time.Now().Before(end); number++ {
				faulty.add(s.callFaulty(number))
			}
		})
	}
	for time.Now().Before(end) {
		time.Sleep(goodEvery)
		all.Go(func() { good.add(s.callGood()) })
	}
	all.Wait()
	return good, faulty
}

// logMetrics logs what the router's metrics say of replicas and memory.
func (s *endlessStand) logMetrics() {
	answer, err := newHTTPClient().Get("http://" + s.state + metrics.Path)
	if err != nil {
		s.t.Logf("no metrics: %v", err)
		return
	}
	defer func() { _ = answer.Body.Close() }()
	lines := bufio.NewScanner(answer.Body)
	for lines.Scan() {
		for _, prefix := range []string{"router_replica_", "router_response_", "router_answer_memory", "router_retries", "router_inflight", "router_failed", "router_rejected"} {
			if strings.HasPrefix(lines.Text(), prefix) {
				s.t.Log(lines.Text())
			}
		}
	}
}

// TestEndless_FaultyReplica_MemoryHoldsAndOthersAreServed guards against replicas that send bytes without end.
func TestEndless_FaultyReplica_MemoryHoldsAndOthersAreServed(t *testing.T) {
	for _, trickle := range []bool{false, true} {
		for _, form := range endless.Forms {
			name := string(form)
			if trickle {
				name += ", trickling"
			}
			t.Run(name, func(t *testing.T) {
				s := newEndlessStand(t, form, trickle, endlessReplicas)
				good, faulty := s.play()
				peak := residentPeakMiB(s.router.command.Process.Pid)
				t.Logf("%.0f MiB resident at most; good: %d of %d served; faulty: %d of %d taken for complete",
					peak, good.succeeded.Load(), good.all.Load(), faulty.succeeded.Load(), faulty.all.Load())
				s.router.requireRuns()
				s.logMetrics()
				require.Less(t, peak, memoryShare*endlessMemoryMB)
				require.Equal(t, good.all.Load(), good.succeeded.Load())
				if form != endless.LargeAnswers { // whose answers are complete, before more bytes follow
					require.Zero(t, faulty.succeeded.Load())
				}
				require.True(t, s.callGood(), "served afterwards")
			})
		}
	}
}

// leastServed is the part of a pool's requests that must be served while one of its replicas is faulty: the gate allows no more than
// 60 in 100 refused and failed.
const leastServed = 0.4

// TestEndless_OneReplicaOfAPool_TheOthersServe guards against a faulty replica that keeps its own pool from being served.
func TestEndless_OneReplicaOfAPool_TheOthersServe(t *testing.T) {
	s := newEndlessStand(t, "", false, 1)
	good, mixed := s.play()
	peak := residentPeakMiB(s.router.command.Process.Pid)
	t.Logf("%.0f MiB resident at most; good: %d of %d served; mixed: %d of %d served; %d answers without end",
		peak, good.succeeded.Load(), good.all.Load(), mixed.succeeded.Load(), mixed.all.Load(), s.answers.Load())
	s.router.requireRuns()
	s.logMetrics()
	require.NotZero(t, s.answers.Load())
	require.Less(t, peak, memoryShare*endlessMemoryMB)
	require.Equal(t, good.all.Load(), good.succeeded.Load())
	require.Greater(t, float64(mixed.succeeded.Load()), leastServed*float64(mixed.all.Load()))
}
