package soak

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"shaletrestle/internal/endless"
	"shaletrestle/internal/state"
	"shaletrestle/internal/upstream"
)

// Services of a run.
const (
	serviceDesk  = "desk"  // short answers
	serviceModel = "model" // streams
)

// replicaMode is how a replica misbehaves.
type replicaMode string

// The modes.
const (
	modeWell       replicaMode = "well"
	modeMute       replicaMode = "mute"        // runs requests and answers nothing
	modeLostAnswer replicaMode = "lost answer" // runs requests and resets the connection
	modeSlow       replicaMode = "slow"        // works ten times as long
	modeBusy       replicaMode = "busy"        // rejects every request, truly
	modeCutStream  replicaMode = "cut stream"  // breaks streams off inside an event
	modeErrors     replicaMode = "errors"      // answers every third request with 500
	modeEndless    replicaMode = "endless"     // sends bytes without end, in a form of endless.IncompleteForms
)

const (
	streamEvents     = 24
	eventInterval    = 25 * time.Millisecond
	deskWork         = 8 * time.Millisecond
	slowFactor       = 10
	budgetSlackMs    = 500
	headerBudget     = "X-Soak-Budget-Ms" // the client's own Time-Budget-Ms, for the comparison
	headerStream     = "X-Soak-Stream"    // the client wants a stream
	maxRequestBytes  = 4 << 20
	maxHeaderBytes   = 16 << 10
	partialFailEvery = 3
)

// replica is a stand-in for a replica of a service. A new incarnation at the same address is another replica.
type replica struct {
	judge   *judge
	id      string
	service string
	ip      string
	zone    string
	server  *http.Server

	mu       sync.Mutex // guards the fields below
	mode     replicaMode
	state    string // as the platform lists it; empty: not listed
	requests int
}

// startReplica makes a replica and serves it.
func startReplica(judge *judge, service, ip, zone string, incarnation int) (*replica, error) {
	r := &replica{
		judge:   judge,
		id:      fmt.Sprintf("%s-%s-%d", service, ip, incarnation),
		service: service,
		ip:      ip,
		zone:    zone,
		mode:    modeWell,
		state:   state.ReplicaReady,
	}
	listener, err := net.Listen("tcp4", address(ip, portReplica))
	if err != nil {
		return nil, err
	}
	r.server = &http.Server{Handler: r, ReadHeaderTimeout: time.Minute}
	go func() { _ = r.server.Serve(listener) }()
	return r, nil
}

func (r *replica) setMode(mode replicaMode) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.mode = mode
}

func (r *replica) setState(state string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.state = state
}

// listedState is how the platform lists the replica; empty: it does not.
func (r *replica) listedState() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.state
}

// count counts a request, and says how the replica is to handle it.
func (r *replica) count() (mode replicaMode, number int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.requests++
	return r.mode, r.requests
}

// stop ends the replica at once: its connections are closed in whatever they do.
func (r *replica) stop() { _ = r.server.Close() }

// contentOf is what must not change between client and replica.
func contentOf(method, target string, body []byte) string {
	digest := sha256.Sum256(body)
	return fmt.Sprintf("%s %s %d %s", method, target, len(body), hex.EncodeToString(digest[:4]))
}

// ServeHTTP takes a request.
func (r *replica) ServeHTTP(w http.ResponseWriter, request *http.Request) {
	if request.URL.Path == "/health" {
		w.Header().Set("Replica-Id", r.id)
		return
	}
	if request.URL.Path == "/v1/report" {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	body, err := io.ReadAll(request.Body)
	if err != nil {
		return
	}
	id := request.Header.Get(upstream.HeaderAttemptID)
	w.Header().Set(upstream.HeaderAttemptID, id)
	if expected := request.Header.Get(upstream.HeaderExpectedReplica); expected != r.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	r.checkBudget(id, request.Header)
	mode, number := r.count()
	if mode == modeBusy {
		w.Header().Set(upstream.HeaderNotExecuted, "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	seal := "seal-" + r.id + "-" + strconv.Itoa(number)
	r.judge.arrived(id, contentOf(request.Method, request.RequestURI, body), seal)
	r.run(w, request, runOf{mode, number, id, seal})
}

// checkBudget compares the time handed over with the client's.
func (r *replica) checkBudget(id string, header http.Header) {
	given, err := strconv.Atoi(header.Get(upstream.HeaderTimeBudget))
	clients, _ := strconv.Atoi(header.Get(headerBudget))
	if err != nil || given > clients+budgetSlackMs {
		r.judge.add(RuleBudget, "%s came with a budget of %q ms, its client waits %d ms", id, header.Get(upstream.HeaderTimeBudget), clients)
	}
}

// runOf is one run of a request.
type runOf struct {
	mode   replicaMode
	number int
	id     string
	seal   string
}

func (r *replica) run(w http.ResponseWriter, request *http.Request, run runOf) {
	work := deskWork
	if run.mode == modeSlow {
		work *= slowFactor
	}
	switch {
	case run.mode == modeMute:
		<-request.Context().Done()
		return
	case run.mode == modeLostAnswer:
		time.Sleep(work)
		reset(w)
		return
	case run.mode == modeEndless:
		r.judge.answeredWithoutEnd(run.id)
		status := http.StatusOK
		if rand.IntN(2) == 0 {
			status = http.StatusInternalServerError
		}
		endless.Send(w, endless.IncompleteForms[rand.IntN(len(endless.IncompleteForms))], status, run.id, rand.IntN(2) == 0)
		return
	case run.mode == modeErrors && run.number%partialFailEvery == 0:
		w.Header().Set(upstream.HeaderSeal, run.seal)
		w.WriteHeader(http.StatusInternalServerError)
		return
	case request.Header.Get(headerStream) != "":
		r.stream(w, request, run)
		return
	}
	select {
	case <-time.After(work):
	case <-request.Context().Done():
		r.judge.count("runs cancelled")
		return
	}
	w.Header().Set(upstream.HeaderSeal, run.seal)
	_, _ = io.WriteString(w, answerTo(run.id))
}

// reset closes a connection so that its peer sees a reset.
func reset(w http.ResponseWriter) {
	connection, _, err := w.(http.Hijacker).Hijack()
	if err != nil {
		return
	}
	if tcp, ok := connection.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = connection.Close()
}

// answerTo is the complete answer to an attempt: long enough to need several packets at times.
func answerTo(id string) string {
	text := "the answer to " + id + "\n"
	if len(id) > 0 && id[len(id)-1]%4 == 0 {
		for range 9 {
			text += text
		}
	}
	return text
}

// eventText is an event of every stream.
func eventText(number int) string { return fmt.Sprintf("id: %d\ndata: token %d\n\n", number, number) }

// stream sends events, after those that the client has.
func (r *replica) stream(w http.ResponseWriter, request *http.Request, run runOf) {
	received, _ := strconv.Atoi(request.Header.Get(upstream.HeaderLastEventID))
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set(upstream.HeaderSeal, run.seal)
	interval := eventInterval
	if run.mode == modeSlow {
		interval *= slowFactor
	}
	breakAt := 0
	if run.mode == modeCutStream {
		breakAt = received + 1 + rand.IntN(streamEvents)
	}
	for number := received + 1; number <= streamEvents; number++ {
		select {
		case <-time.After(interval):
		case <-request.Context().Done():
			r.judge.count("runs cancelled")
			return
		}
		if number == breakAt {
			_, _ = io.WriteString(w, eventText(number)[:7])
			_ = http.NewResponseController(w).Flush()
			reset(w)
			return
		}
		_, _ = io.WriteString(w, eventText(number))
		_ = http.NewResponseController(w).Flush()
	}
}
