package router

import (
	"bytes"
	"io"
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"

	"shaletrestle/internal/adminapi"
	"shaletrestle/internal/settings"

	"shaletrestle/internal/durations"

	"shaletrestle/coord/attempt"
	"shaletrestle/internal/errkind"
	"shaletrestle/internal/frontend"
	"shaletrestle/internal/httpreply"
	"shaletrestle/internal/placement"
	"shaletrestle/internal/prefixindex"
	"shaletrestle/internal/routing"
	"shaletrestle/internal/upstream"
)

const day = 24 * 3600 * 1e3 // ms; no client waits longer

// request is one try of a client on its way.
type request struct {
	router          *Router
	writer          http.ResponseWriter
	inbound         *http.Request
	control         *http.ResponseController
	table           *routing.Table
	route           *routing.Route
	service         *routing.Pool
	id              string
	arrived         time.Time
	deadline        time.Time
	body            []byte
	header          http.Header
	wanted          *placement.Request
	history         attempt.History // what may be said of it
	started         bool            // the client has the head of an answer
	lastEventID     int64           // of the newest event that the client has, -1 before the first
	eventStep       int64           // between the ids of two events
	reservedBytes   int64           // bytes booked for the body
	isLongWork      bool            // long work (longwork_offer.go)
	forPeer         bool            // it is run for another router
	longWorkService string          // the service among whose long work it runs
}

func newRequest(router *Router, w http.ResponseWriter, inbound *http.Request) *request {
	return &request{
		router:      router,
		writer:      w,
		inbound:     inbound,
		control:     http.NewResponseController(w),
		table:       router.table.Load(),
		arrived:     time.Now(),
		lastEventID: -1,
	}
}

func (r *Router) serve(w http.ResponseWriter, inbound *http.Request) {
	r.inflight.Inc()
	defer r.inflight.Dec()
	r.counts.requests.Inc()
	if r.closesConnections() {
		w.Header().Set("Connection", "close")
	}
	q := newRequest(r, w, inbound)
	defer q.release()
	if !q.awaitReady() || !q.validate() {
		return
	}
	q.route = q.table.Match(inbound.Host, inbound.RequestURI)
	if q.route == nil {
		_, _ = io.Copy(io.Discard, io.LimitReader(inbound.Body, settings.HeaderBytes))
		httpreply.Error(w, errkind.New(errkind.NoRoute, "no route"))
		return
	}
	q.runSteps()
}

// awaitReady holds a request shortly while this process has no configuration or list yet; false if it
// was answered.
func (req *request) awaitReady() bool {
	if req.router.ready.Load() {
		return true
	}
	select {
	case <-req.router.becameReady:
		req.table = req.router.table.Load()
		return true
	case <-time.After(readyTimeout):
		req.reject(errkind.Unavailable)
	case <-req.inbound.Context().Done():
		req.abort()
	}
	return false
}

// validate refuses a request whose framing or head is not acceptable.
func (req *request) validate() bool {
	if frontend.AmbiguousFraming(req.inbound) {
		req.writer.Header().Set("Connection", "close")
		httpreply.Error(req.writer, errkind.New(errkind.InvalidInput, "both a length and chunks"))
		return false
	}
	if limit := req.table.Limits.MaxHeaderBytes; limit > 0 && headerSize(req.inbound) > limit {
		req.writer.Header().Set("Connection", "close")
		httpreply.Error(req.writer, errkind.New(errkind.HeaderTooLarge, "head over the limit"))
		return false
	}
	if !upstream.CanForward(req.inbound.RequestURI) {
		req.writer.Header().Set("Connection", "close")
		httpreply.Error(req.writer, errkind.New(errkind.InvalidInput, "a target that can't be passed on as it is"))
		return false
	}
	return true
}

func headerSize(r *http.Request) int {
	n := len(r.Method) + len(r.RequestURI) + len(r.Host) + 20
	for k, vs := range r.Header {
		for _, v := range vs {
			n += len(k) + len(v) + 4
		}
	}
	return n
}

// runSteps goes through the steps of the path.
func (req *request) runSteps() {
	for _, op := range req.route.Steps {
		if !req.runStep(op) {
			return
		}
	}
}

// runStep is the interpreter: one step of a path; false ends it.
func (req *request) runStep(op routing.Step) bool {
	switch op {
	case routing.ReadBody:
		return req.readBody()
	case routing.SetDeadline:
		return req.setDeadline()
	case routing.ChooseService:
		return req.chooseService()
	case routing.RestrictRegions:
		req.wanted.AllowsZone = func(zone string) bool { return req.route.AllowedRegions[req.router.settings.Load().Zones[zone]] }
		return true
	case routing.RelayComplete, routing.RelayEvents:
		req.send()
	}
	return false
}

func (req *request) readBody() bool {
	most := req.table.Limits.MaxBodyBytes
	if most <= 0 {
		most = adminapi.MaxConfigurationBytes
	}
	if req.inbound.ContentLength > most {
		req.writer.Header().Set("Connection", "close")
		httpreply.Error(req.writer, errkind.New(errkind.BodyTooLarge, "body over the limit"))
		return false
	}
	if n := max(req.inbound.ContentLength, 0); !req.reserveBody(n) {
		return false
	}
	_ = req.control.SetReadDeadline(time.Now().Add(bodyTimeout))
	var b bytes.Buffer
	if req.reservedBytes > 0 {
		b.Grow(int(req.reservedBytes) + bytes.MinRead)
	}
	n, err := b.ReadFrom(http.MaxBytesReader(req.writer, req.inbound.Body, most))
	if err != nil {
		req.rejectBody(err)
		return false
	}
	if n > req.reservedBytes && !req.reserveBody(n-req.reservedBytes) {
		return false
	}
	_ = req.control.SetReadDeadline(time.Time{})
	req.body = b.Bytes()
	return true
}

func (req *request) rejectBody(err error) {
	req.writer.Header().Set("Connection", "close")
	switch {
	case strings.Contains(err.Error(), "too large"):
		httpreply.Error(req.writer, errkind.New(errkind.BodyTooLarge, "body over the limit"))
	case strings.Contains(err.Error(), "timeout"):
		httpreply.Error(req.writer, errkind.New(errkind.ClientTimeout, "body too slow"))
	default:
		httpreply.Error(req.writer, errkind.New(errkind.InvalidInput, "body can't be read"))
	}
}

// reserveBody books memory for a body; when it is crowded, a path that has its portion is refused and the
// others are not.
func (req *request) reserveBody(n int64) bool {
	if !req.router.bodies.TryAcquire(req.route.Name, n) {
		req.writer.Header().Set("Connection", "close")
		req.reject(errkind.Overloaded)
		return false
	}
	req.reservedBytes += n
	return true
}

func (req *request) release() {
	req.leavePlace()
	if req.reservedBytes > 0 {
		req.router.bodies.Release(req.route.Name, req.reservedBytes)
	}
}

func (req *request) setDeadline() bool {
	req.id = req.inbound.Header.Get(upstream.HeaderAttemptID)
	req.deadline = req.arrived.Add(min(clientTimeout(req.inbound.Header), req.route.Timeout))
	return true
}

// clientTimeout is how long a client says that it waits.
func clientTimeout(h http.Header) time.Duration {
	ms, err := strconv.ParseFloat(strings.TrimSpace(h.Get(upstream.HeaderTimeBudget)), 64)
	if err != nil || !(ms >= 0) || math.IsInf(ms, 0) {
		return defaultBudget
	}
	return min(durations.FromMilliseconds(min(ms, day)), 24*defaultBudget)
}

func (req *request) chooseService() bool {
	parts := prefixindex.ParseParts(req.inbound.Header.Get("Prompt-Prefix"))
	key := req.id
	if req.route.SessionAffinity && len(parts) > 0 {
		key = ""
		for _, p := range parts[:max(1, len(parts)-1)] {
			key += strconv.FormatUint(p.ID, 16) + ","
		}
	}
	name := req.route.ChooseService(key)
	req.service = req.table.Pools[name]
	if req.service == nil {
		req.reject(errkind.Unavailable)
		return false
	}
	req.header = forwardHeader(req.inbound.Header)
	req.wanted = &placement.Request{
		Pool:       name,
		Zone:       req.router.settings.Load().Zone,
		Excluded:   map[string]bool{},
		Retriable:  req.route.IsRetriable() && req.route.MaxAttempts > 1,
		WarmupRate: func(id string) float64 { return req.router.coldShares.Load().rate(req.service.WarmupPerSecond, id) },
	}
	req.describePrompt(parts)
	if !req.forPeer {
		req.router.budget.RecordRequest(name)
	}
	return true
}

// describePrompt adds what a model replica's choice depends on.
func (req *request) describePrompt(parts []prefixindex.Part) {
	e := req.service.Engine
	if e == nil {
		return
	}
	model := req.inbound.Header.Get("Model")
	in, out := tokenCounts(req.inbound.Header.Get("Token-Counts"))
	if len(parts) == 0 {
		parts = []prefixindex.Part{{ID: uint64(req.arrived.UnixNano()), Tokens: in}}
	}
	weights := req.router.revisions.Load().of(req.service.Name, model)
	req.wanted.Chain = prefixindex.NewChain(prefixindex.RootKey(model, weights), parts)
	req.wanted.CapacityTokens = int(e.KVCapacityTokens)
	req.wanted.MaxOutputTokens = out
	req.wanted.LatencyTarget = req.route.LatencyTarget
}

func tokenCounts(s string) (in, out int) {
	a, b, _ := strings.Cut(s, ",")
	in, _ = strconv.Atoi(strings.TrimSpace(a))
	out, _ = strconv.Atoi(strings.TrimSpace(b))
	return min(max(in, 0), 1<<28), min(max(out, 0), 1<<28)
}
