package soak

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"shaletrestle/internal/upstream"
)

// memoryShare is the part of the granted memory that a process may have resident with as many clients as it can have.
const memoryShare = 0.85

// TestMemory_HeadsOfAsManyClientsAsDescriptors_StayWithinTheLimit guards against memory that clients take before a request is whole.
func TestMemory_HeadsOfAsManyClientsAsDescriptors_StayWithinTheLimit(t *testing.T) {
	const clients = 3900 // max_fds of the site is 4,100, of which 200 are for files
	const headBytes = 15 << 10
	m := newMachine(t)
	m.writeSettings(programRouter)
	router := m.start(programRouter)
	router.awaitServing()
	head := append([]byte("GET /a HTTP/1.1\r\nHost: h\r\nPadding: "), bytes.Repeat([]byte("x"), headBytes)...)
	front := m.settings(programRouter).Bind.Front
	for range clients {
		conn, err := net.DialTimeout("tcp4", front, lifecycleTimeout)
		require.NoError(t, err)
		defer func() { _ = conn.Close() }()
		require.NoError(t, conn.SetWriteDeadline(time.Now().Add(lifecycleTimeout)))
		_, _ = conn.Write(head) // the time for a head may have ended
	}
	router.requireRuns()
	peak := residentPeakMiB(router.command.Process.Pid)
	t.Logf("%d clients: %.0f MiB resident at most", clients, peak)
	require.Less(t, peak, memoryShare*daemonMemoryMB)
}

// answerBytesHeader says how long the answer of a largeReplica is to be.
const answerBytesHeader = "X-Answer-Bytes"

// largeReplica reads any body and gives answers of any length.
type largeReplica struct {
	id string
}

func (r largeReplica) ServeHTTP(w http.ResponseWriter, request *http.Request) {
	_, _ = io.Copy(io.Discard, request.Body)
	size, _ := strconv.Atoi(request.Header.Get(answerBytesHeader))
	w.Header().Set("Replica-Id", r.id)
	w.Header().Set(upstream.HeaderAttemptID, request.Header.Get(upstream.HeaderAttemptID))
	w.Header().Set("Replica-Seal", "seal")
	w.Header().Set("Content-Length", strconv.Itoa(size))
	block := make([]byte, 64<<10)
	for left := size; left > 0; left -= len(block) {
		_, _ = w.Write(block[:min(left, len(block))])
	}
}

// startServing puts up a controller, a router, the platform and a replica of the desk on one machine, with the first configuration.
func startServing(t *testing.T, m *machine) (router *incarnation) {
	t.Helper()
	platform, err := startPlatform(address(m.fleet.prefix+strconv.Itoa(platformAddress), portPlatform))
	require.NoError(t, err)
	t.Cleanup(platform.close)
	listed, err := startReplica(newJudge(), serviceDesk, m.fleet.prefix+strconv.Itoa(firstReplica), zones[0], 1)
	require.NoError(t, err)
	listed.server.Handler = largeReplica{listed.id}
	t.Cleanup(listed.stop)
	platform.change(func(replicas []*replica) []*replica { return append(replicas, listed) })
	recording := time.NewTicker(recordInterval)
	t.Cleanup(recording.Stop)
	go func() {
		for range recording.C {
			platform.record()
		}
	}()
	m.writeSettings(programController)
	m.writeSettings(programRouter)
	controller, router := m.start(programController), m.start(programRouter)
	controller.awaitServing()
	body, err := json.Marshal(firstConfiguration(firstMarker))
	require.NoError(t, err)
	client := newHTTPClient()
	controller.await("it takes the first configuration", func() bool {
		url := "http://" + m.settings(programController).Bind.Control + "/v1/config"
		return call(t.Context(), client, http.MethodPut, url, "0", body).status == http.StatusOK
	})
	router.await("it is ready", func() bool {
		return call(t.Context(), client, http.MethodGet, "http://"+m.settings(programRouter).Bind.Readiness+"/v1/readiness", "", nil).status == http.StatusOK
	})
	router.await("it serves a request", func() bool {
		request, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+m.settings(programRouter).Bind.Front+pathRepeat, nil)
		require.NoError(t, err)
		request.Host = stableHost
		request.Header.Set(upstream.HeaderAttemptID, "first")
		answer, err := client.Do(request)
		if err != nil {
			return false
		}
		_ = answer.Body.Close()
		return answer.StatusCode == http.StatusOK
	})
	return router
}

// loadAndMeasure sends one request of each client, all at once, and holds the router's memory against its limit. Each request must
// be answered whole or be refused with the promise that it did not run.
func loadAndMeasure(t *testing.T, clients int, newRequest func() *http.Request) {
	t.Helper()
	m := newMachine(t)
	router := startServing(t, m)
	front := "http://" + m.settings(programRouter).Bind.Front
	var served, refused atomic.Int64
	var all sync.WaitGroup
	for number := range clients {
		all.Go(func() {
			request := newRequest()
			request.URL.Scheme, request.URL.Host = "http", front[len("http://"):]
			request.Host = stableHost
			request.Header.Set(upstream.HeaderAttemptID, fmt.Sprint("memory-", number))
			transport := &http.Transport{DisableKeepAlives: true}
			answer, err := (&http.Client{Transport: transport, Timeout: lifecycleTimeout}).Do(request)
			if err != nil {
				return
			}
			defer func() { _ = answer.Body.Close() }()
			if _, err := io.Copy(io.Discard, answer.Body); err != nil {
				return
			}
			switch answer.StatusCode {
			case http.StatusOK:
				served.Add(1)
			case http.StatusServiceUnavailable:
				refused.Add(1)
			}
		})
	}
	all.Wait()
	router.requireRuns()
	peak := residentPeakMiB(router.command.Process.Pid)
	t.Logf("%d clients: %d served, %d refused, %.0f MiB resident at most", clients, served.Load(), refused.Load(), peak)
	require.Less(t, peak, memoryShare*daemonMemoryMB)
	require.NotZero(t, served.Load(), lastLine(router.log))
	require.GreaterOrEqual(t, served.Load()+refused.Load(), int64(clients)*9/10, "a refusal may be lost with the rest of its body")
}

// TestMemory_LargestChunkedBodiesOfManyClients_StayWithinTheLimit guards against bodies that take a router over its memory.
func TestMemory_LargestChunkedBodiesOfManyClients_StayWithinTheLimit(t *testing.T) {
	content := make([]byte, maxRequestBytes)
	loadAndMeasure(t, 200, func() *http.Request {
		request, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://front"+pathRepeat, io.NopCloser(bytes.NewReader(content)))
		require.NoError(t, err)
		return request
	})
}

// TestMemory_LargestAnswersOfManyClients_StayWithinTheLimit guards against answers that take a router over its memory.
func TestMemory_LargestAnswersOfManyClients_StayWithinTheLimit(t *testing.T) {
	loadAndMeasure(t, 46, func() *http.Request {
		request, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://front"+pathRepeat, nil)
		require.NoError(t, err)
		request.Header.Set(answerBytesHeader, strconv.Itoa(upstream.MaxResponseBytes-1024))
		return request
	})
}
