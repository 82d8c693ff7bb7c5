package emulator

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"shaletrestle/internal/durations"
	"shaletrestle/internal/endless"
	"shaletrestle/internal/httpreply"
	"shaletrestle/internal/prefixindex"
	"shaletrestle/internal/replicamodel"
	"shaletrestle/internal/upstream"
)

// reportLag is how old a replica's report is.
const reportLag = 200 * time.Millisecond

const (
	reportPath      = "/v1/report"
	headerReplicaID = "Replica-Id"
	headerSeal      = "Replica-Seal"
	headerNotRun    = "Not-Executed"
	defaultUrgency  = 5 // of a request that names none
)

// replicaView is a replica's state as one request finds it.
type replicaView struct {
	id       string
	fault    string
	engine   *engine
	queue    *replicamodel.Queue
	up       bool
	draining bool
	load     replicamodel.Load
}

func (r *Replica) view() replicaView {
	r.mu.Lock()
	defer r.mu.Unlock()
	return replicaView{
		id:       r.id(),
		fault:    r.fault,
		engine:   r.engine,
		queue:    r.queue,
		up:       !time.Now().Before(r.answersFrom),
		draining: r.state != replicaReady,
		load:     r.load(),
	}
}

// ServeHTTP is the replica's side of the protocol.
func (r *Replica) ServeHTTP(w http.ResponseWriter, request *http.Request) {
	view := r.view()
	if view.fault == Dark {
		<-request.Context().Done()
		panic(http.ErrAbortHandler)
	}
	w.Header().Set(upstream.HeaderLoad, fmt.Sprintf("%d,%d,%d", view.load.Active, view.load.Queued, r.service.Slots))
	if view.draining {
		w.Header().Set("Connection", "close")
	}
	switch {
	case request.Method == http.MethodGet && request.URL.Path == healthPath:
		serveHealth(w, view)
	case request.Method == http.MethodGet && request.URL.Path == reportPath:
		r.serveReport(w)
	default:
		r.serveAttempt(w, request, view)
	}
}

func serveHealth(w http.ResponseWriter, view replicaView) {
	w.Header().Set(headerReplicaID, view.id)
	if !view.up || view.draining {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// serveAttempt takes one attempt of a request.
func (r *Replica) serveAttempt(w http.ResponseWriter, request *http.Request, view replicaView) {
	body, err := io.ReadAll(request.Body)
	if err != nil {
		return
	}
	id := request.Header.Get(upstream.HeaderAttemptID)
	w.Header().Set(upstream.HeaderAttemptID, id)
	if expected := request.Header.Get(upstream.HeaderExpectedReplica); expected != "" && expected != view.id {
		w.Header().Set(headerReplicaID, view.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	r.rules.recordArrival(id, request.Method+" "+request.URL.RequestURI()+" "+string(body))
	if view.fault == Endless {
		r.rules.recordRun(id, "")
		r.answerWithoutEnd(w, id)
		return
	}
	if r.failsInPart(w, id, view.fault) {
		return
	}
	seal := "seal-" + view.id + "-" + id
	if view.engine != nil {
		r.generate(w, request, view.engine, id, seal)
		return
	}
	r.serveQueued(w, request, view, id, seal)
}

// answerWithoutEnd sends bytes without end: in each form in turn, after a success and a failure, fast and trickling.
func (r *Replica) answerWithoutEnd(w http.ResponseWriter, id string) {
	r.mu.Lock()
	number := r.requests
	r.requests++
	r.mu.Unlock()
	status := http.StatusOK
	if number%2 == 0 {
		status = http.StatusInternalServerError
	}
	form := endless.IncompleteForms[number/4%len(endless.IncompleteForms)]
	endless.Send(w, form, status, id, number/2%2 == 0)
}

// failsInPart counts a request and lets it fail if the replica's fault makes part of them
// fail and it is one of those.
func (r *Replica) failsInPart(w http.ResponseWriter, id, fault string) bool {
	r.mu.Lock()
	r.requests++
	failing := r.requests%partialFailureEvery == 0
	r.mu.Unlock()
	if !failing {
		return false
	}
	switch fault {
	case Reset:
		connection, _, err := w.(http.Hijacker).Hijack()
		if err == nil {
			resetConnection(connection)
		}
		return true
	case Grey:
		r.rules.recordRun(id, "")
		w.WriteHeader(http.StatusInternalServerError)
		return true
	}
	return false
}

// serveQueued answers after the time that the queue gives.
func (r *Replica) serveQueued(w http.ResponseWriter, request *http.Request, view replicaView, id, seal string) {
	work := durations.FromMilliseconds(r.service.WorkMs)
	if view.fault == Lying {
		work *= lyingSlowdown
	}
	end, ok := r.offer(view, work)
	if !ok {
		rejectFull(w)
		return
	}
	r.rules.recordRun(id, seal)
	if !waitFor(request, time.Until(end)) {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set(headerSeal, seal)
	_, _ = io.WriteString(w, answerTo(id))
}

// offer queues a request and gives the time at which it will be finished.
func (r *Replica) offer(view replicaView, work time.Duration) (end time.Time, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	offset, ok := view.queue.Offer(time.Since(r.startedAt), work)
	return r.startedAt.Add(offset), ok
}

// rejectFull rejects a request that was not run.
func rejectFull(w http.ResponseWriter) {
	w.Header().Set(headerNotRun, "1")
	w.WriteHeader(http.StatusServiceUnavailable)
}

// waitFor waits; false if the request was cancelled.
func waitFor(request *http.Request, duration time.Duration) bool {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-request.Context().Done():
		return false
	}
}

func answerTo(id string) string { return "the answer to " + id }

// eventText is the n-th event of every stream.
func eventText(n int) string { return fmt.Sprintf("id: %d\ndata: token %d\n\n", n, n) }

// generate runs a request on the engine and sends its tokens as events, or as one
// answer if no stream was asked for.
func (r *Replica) generate(w http.ResponseWriter, request *http.Request, engine *engine, id, seal string) {
	job, received := jobOf(request, id)
	tokens, ok := engine.offer(job)
	if !ok {
		rejectFull(w)
		return
	}
	defer engine.done(id)
	r.rules.recordRun(id, seal)
	streaming := strings.Contains(request.Header.Get(headerAccept), eventStream)
	for {
		select {
		case token := <-tokens:
			if streaming {
				sendEvent(w, token, received, seal)
			}
			if !token.Last {
				continue
			}
			if !streaming {
				w.Header().Set(headerSeal, seal)
				_, _ = io.WriteString(w, answerTo(id))
			}
			return
		case <-request.Context().Done():
			panic(http.ErrAbortHandler)
		case <-r.ctx.Done():
			panic(http.ErrAbortHandler)
		}
	}
}

// sendEvent sends one token; the head goes out before the first one.
func sendEvent(w http.ResponseWriter, token replicamodel.Token, received int, seal string) {
	if token.Number == 1 {
		w.Header().Set("Content-Type", eventStream)
		w.Header().Set(headerSeal, seal)
	}
	_, _ = io.WriteString(w, eventText(received+token.Number))
	_ = http.NewResponseController(w).Flush()
}

// jobOf reads a request to generate. The number received counts the events that the
// client has already; they are read like a part of the prompt.
func jobOf(request *http.Request, id string) (job replicamodel.Job, received int) {
	in, out := parseTokenCounts(request.Header.Get(headerTokenCounts))
	received, _ = strconv.Atoi(request.Header.Get(upstream.HeaderLastEventID))
	urgency, err := strconv.Atoi(request.Header.Get(upstream.HeaderUrgency))
	if err != nil {
		urgency = defaultUrgency
	}
	var parts []replicamodel.Part
	for _, part := range prefixindex.ParseParts(request.Header.Get(headerPromptPrefix)) {
		parts = append(parts, replicamodel.Part{ID: part.ID, Tokens: part.Tokens})
	}
	if len(parts) == 0 {
		parts = []replicamodel.Part{{ID: uniqueID(), Tokens: in}}
	}
	if received > 0 {
		parts = append(parts, replicamodel.Part{ID: uniqueID(), Tokens: received})
	}
	job = replicamodel.Job{ID: id, Parts: parts, OutputTokens: max(1, out-received), Urgency: urgency}
	return job, received
}

// uniqueID names a part that no other prompt has.
func uniqueID() uint64 { return uint64(time.Now().UnixNano()) }

// parseTokenCounts reads the tokens of the prompt and those to generate.
func parseTokenCounts(header string) (in, out int) {
	first, second, _ := strings.Cut(header, ",")
	in, _ = strconv.Atoi(strings.TrimSpace(first))
	out, _ = strconv.Atoi(strings.TrimSpace(second))
	return max(in, 0), max(out, 1)
}

// replicaReport is a replica's report. The fields are in the order of their names.
type replicaReport struct {
	Active  int             `json:"active"`
	Busy    bool            `json:"busy"`
	CallSeq int             `json:"call_seq"`
	Handles int             `json:"handles"`
	KvTotal int             `json:"kv_total"`
	KvUsed  int             `json:"kv_used"`
	Models  []reportedModel `json:"models"`
	Queued  int             `json:"queued"`
	Stage   string          `json:"stage"`
}

type reportedModel struct {
	Adapters []string `json:"adapters"`
	Name     string   `json:"name"`
	Revision int      `json:"revision"`
}

// serveReport answers with the load of a little while ago.
func (r *Replica) serveReport(w http.ResponseWriter) {
	load := r.delayedLoad()
	report := replicaReport{
		Active: load.Active,
		KvUsed: load.PinnedTokens,
		Models: []reportedModel{},
		Queued: load.Queued,
		Stage:  stageDual,
	}
	if engine := r.service.Engine; engine != nil {
		report.KvTotal = engine.MemoryTokens
		report.Models = append(report.Models, reportedModel{Adapters: []string{}, Name: engine.Model, Revision: firstRevision})
	}
	httpreply.JSON(w, http.StatusOK, report)
}

// delayedLoad is the load, renewed only now and then.
func (r *Replica) delayedLoad() replicamodel.Load {
	r.mu.Lock()
	defer r.mu.Unlock()
	if time.Since(r.reportedAt) >= reportLag {
		r.reported = r.load()
		r.reportedAt = time.Now()
	}
	return r.reported
}
