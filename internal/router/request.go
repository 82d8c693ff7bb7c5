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
	g        *Router
	w        http.ResponseWriter
	r        *http.Request
	rc       *http.ResponseController
	table    *routing.Table
	path     *routing.Route
	pool     *routing.Pool
	id       string
	arrived  time.Time
	deadline time.Time
	body     []byte
	head     http.Header
	ask      *placement.Request
	try      attempt.History // what may be said of it
	began    bool            // the client has the head of an answer
	lastID   int64           // of the newest event that the client has, -1 before the first
	step     int64           // between the ids of two events
	held     int64           // bytes booked for the body
	long     bool            // long work (longwork_offer.go)
	taken    bool            // it is run for another router
	place    string          // the service among whose long work it runs
}

func newRequest(g *Router, w http.ResponseWriter, r *http.Request) *request {
	return &request{
		g:       g,
		w:       w,
		r:       r,
		rc:      http.NewResponseController(w),
		table:   g.table.Load(),
		arrived: time.Now(),
		lastID:  -1,
	}
}

func (g *Router) serve(w http.ResponseWriter, r *http.Request) {
	g.inflight.Inc()
	defer g.inflight.Dec()
	g.count.inquiries.Inc()
	if g.letsGo() {
		w.Header().Set("Connection", "close")
	}
	q := newRequest(g, w, r)
	defer q.release()
	if !q.awaitReady() || !q.proper() {
		return
	}
	q.path = q.table.Match(r.Host, r.RequestURI)
	if q.path == nil {
		_, _ = io.Copy(io.Discard, io.LimitReader(r.Body, settings.HeaderBytes))
		httpreply.Error(w, errkind.New(errkind.NoRoute, "no route"))
		return
	}
	q.follow()
}

// awaitReady holds a request shortly while this process has no configuration or list yet; false if it
// was answered.
func (q *request) awaitReady() bool {
	if q.g.ready.Load() {
		return true
	}
	select {
	case <-q.g.isReady:
		q.table = q.g.table.Load()
		return true
	case <-time.After(unreadyHold):
		q.refuse(errkind.Unavailable)
	case <-q.r.Context().Done():
		q.abandon()
	}
	return false
}

// proper refuses a request whose framing or head is not acceptable.
func (q *request) proper() bool {
	if frontend.AmbiguousFraming(q.r) {
		q.w.Header().Set("Connection", "close")
		httpreply.Error(q.w, errkind.New(errkind.InvalidInput, "both a length and chunks"))
		return false
	}
	if limit := q.table.Limits.MaxHeaderBytes; limit > 0 && headSize(q.r) > limit {
		q.w.Header().Set("Connection", "close")
		httpreply.Error(q.w, errkind.New(errkind.HeaderTooLarge, "head over the limit"))
		return false
	}
	if !upstream.CanForward(q.r.RequestURI) {
		q.w.Header().Set("Connection", "close")
		httpreply.Error(q.w, errkind.New(errkind.InvalidInput, "a target that can't be passed on as it is"))
		return false
	}
	return true
}

func headSize(r *http.Request) int {
	n := len(r.Method) + len(r.RequestURI) + len(r.Host) + 20
	for k, vs := range r.Header {
		for _, v := range vs {
			n += len(k) + len(v) + 4
		}
	}
	return n
}

// follow goes through the steps of the path.
func (q *request) follow() {
	for _, op := range q.path.Steps {
		if !q.do(op) {
			return
		}
	}
}

// do is the interpreter: one step of a path; false ends it.
func (q *request) do(op routing.Step) bool {
	switch op {
	case routing.ReadBody:
		return q.takeBody()
	case routing.SetDeadline:
		return q.setClock()
	case routing.ChooseBackend:
		return q.split()
	case routing.RestrictRegions:
		q.ask.AllowsZone = func(zone string) bool { return q.path.AllowedRegions[q.g.env.Load().Zones[zone]] }
		return true
	case routing.RelayComplete, routing.RelayEvents:
		q.send()
	}
	return false
}

func (q *request) takeBody() bool {
	most := q.table.Limits.MaxBodyBytes
	if most <= 0 {
		most = adminapi.MaxConfigurationBytes
	}
	if q.r.ContentLength > most {
		q.w.Header().Set("Connection", "close")
		httpreply.Error(q.w, errkind.New(errkind.BodyTooLarge, "body over the limit"))
		return false
	}
	if n := max(q.r.ContentLength, 0); !q.hold(n) {
		return false
	}
	_ = q.rc.SetReadDeadline(time.Now().Add(bodyWait))
	var b bytes.Buffer
	if q.held > 0 {
		b.Grow(int(q.held) + bytes.MinRead)
	}
	n, err := b.ReadFrom(http.MaxBytesReader(q.w, q.r.Body, most))
	if err != nil {
		q.bodyFailed(err)
		return false
	}
	if n > q.held && !q.hold(n-q.held) {
		return false
	}
	_ = q.rc.SetReadDeadline(time.Time{})
	q.body = b.Bytes()
	return true
}

func (q *request) bodyFailed(err error) {
	q.w.Header().Set("Connection", "close")
	switch {
	case strings.Contains(err.Error(), "too large"):
		httpreply.Error(q.w, errkind.New(errkind.BodyTooLarge, "body over the limit"))
	case strings.Contains(err.Error(), "timeout"):
		httpreply.Error(q.w, errkind.New(errkind.ClientTimeout, "body too slow"))
	default:
		httpreply.Error(q.w, errkind.New(errkind.InvalidInput, "body can't be read"))
	}
}

// hold books memory for a body; when it is crowded, a path that has its portion is refused and the
// others are not.
func (q *request) hold(n int64) bool {
	if !q.g.bodies.TryAcquire(q.path.Name, n) {
		q.w.Header().Set("Connection", "close")
		q.refuse(errkind.Overloaded)
		return false
	}
	q.held += n
	return true
}

func (q *request) release() {
	q.leavePlace()
	if q.held > 0 {
		q.g.bodies.Release(q.path.Name, q.held)
	}
}

func (q *request) setClock() bool {
	q.id = q.r.Header.Get(upstream.HeaderAttemptID)
	q.deadline = q.arrived.Add(min(clientWaits(q.r.Header), q.path.Timeout))
	return true
}

// clientWaits is how long a client says that it waits.
func clientWaits(h http.Header) time.Duration {
	ms, err := strconv.ParseFloat(strings.TrimSpace(h.Get(upstream.HeaderTimeBudget)), 64)
	if err != nil || !(ms >= 0) || math.IsInf(ms, 0) {
		return defaultBudget
	}
	return min(durations.FromMilliseconds(min(ms, day)), 24*defaultBudget)
}

func (q *request) split() bool {
	parts := prefixindex.ParseParts(q.r.Header.Get("Prompt-Prefix"))
	key := q.id
	if q.path.SessionAffinity && len(parts) > 0 {
		key = ""
		for _, p := range parts[:max(1, len(parts)-1)] {
			key += strconv.FormatUint(p.ID, 16) + ","
		}
	}
	name := q.path.ChooseService(key)
	q.pool = q.table.Pools[name]
	if q.pool == nil {
		q.refuse(errkind.Unavailable)
		return false
	}
	q.head = passOn(q.r.Header)
	q.ask = &placement.Request{
		Pool:       name,
		Zone:       q.g.env.Load().Zone,
		Excluded:   map[string]bool{},
		Retriable:  q.path.IsRetriable() && q.path.MaxAttempts > 1,
		WarmupRate: func(id string) float64 { return q.g.cold.Load().rate(q.pool.WarmupPerSecond, id) },
	}
	q.askEngine(parts)
	if !q.taken {
		q.g.budget.RecordRequest(name)
	}
	return true
}

// askEngine adds what a model replica's choice depends on.
func (q *request) askEngine(parts []prefixindex.Part) {
	e := q.pool.Engine
	if e == nil {
		return
	}
	model := q.r.Header.Get("Model")
	in, out := tokenCounts(q.r.Header.Get("Token-Counts"))
	if len(parts) == 0 {
		parts = []prefixindex.Part{{ID: uint64(q.arrived.UnixNano()), Tokens: in}}
	}
	weights := q.g.weights.Load().of(q.pool.Name, model)
	q.ask.Chain = prefixindex.NewChain(prefixindex.RootKey(model, weights), parts)
	q.ask.CapacityTokens = int(e.KVCapacityTokens)
	q.ask.MaxOutputTokens = out
	q.ask.LatencyTarget = q.path.LatencyTarget
}

func tokenCounts(s string) (in, out int) {
	a, b, _ := strings.Cut(s, ",")
	in, _ = strconv.Atoi(strings.TrimSpace(a))
	out, _ = strconv.Atoi(strings.TrimSpace(b))
	return min(max(in, 0), 1<<28), min(max(out, 0), 1<<28)
}
