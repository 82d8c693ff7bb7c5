package emulator

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"

	"shaletrestle/internal/clock"
	"shaletrestle/internal/constants"
	"shaletrestle/internal/httpreply"
	"shaletrestle/internal/prefixindex"
	"shaletrestle/internal/replicamodel"
	"shaletrestle/internal/state"
	"shaletrestle/internal/task"
	"shaletrestle/internal/upstream"
)

const healthPath = "/health"

func replicaName(service string, i int) string { return service + "-" + strconv.Itoa(i+1) }

// Replica is a stand-in for a replica: it speaks the protocol over real sockets, takes the time that the model gives and can be put in trouble.
type Replica struct {
	sc    *task.Scope
	j     *judge
	s     *Service
	name  string
	at    string
	zone  string
	mu    sync.Mutex
	life  int
	how   string
	state string
	since clock.Moment // of the state
	up    clock.Moment // it answers from then on
	cold  clock.Moment
	eng   *engine
	desk  *replicamodel.Queue
	born  clock.Moment
	srv   *http.Server
	conns int
	heads int // requests taken, for what fails in part
	told  replicamodel.Load
	toldA clock.Moment
}

func newReplica(sc *task.Scope, j *judge, s *Service, name, at, zone string) *Replica {
	return &Replica{sc: sc, j: j, s: s, name: name, at: at, zone: zone, state: "gone"}
}

// start begins a new life.
func (r *Replica) start(first bool) error {
	ln, err := listen(r.at)
	if err != nil {
		return err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	now := clock.Now()
	r.life++
	r.how, r.state, r.since, r.born = "", "ready", now, now
	r.up = now.Add(clock.Seconds(r.s.StartS))
	if !first {
		r.cold = now.Add(clock.Seconds(r.s.WarmupS))
	}
	r.fresh(1)
	r.conns = 0
	life := r.life
	r.srv = &http.Server{Handler: r, ReadHeaderTimeout: constants.HeadWait, IdleTimeout: constants.YardKeepIdle, ConnState: func(c net.Conn, s http.ConnState) { r.conn(life, c, s) }}
	srv := r.srv
	go func() { _ = srv.Serve(ln) }()
	return nil
}

// fresh gives an empty memory; slower than it says if it lies.
func (r *Replica) fresh(slower float64) {
	r.desk = replicamodel.NewQueue(r.s.Slots, r.s.Queue)
	if r.s.Engine != nil {
		r.eng = newEngine(r.sc, r.s, slower)
	}
}

// conn counts connections and resets those beyond what the service allows.
func (r *Replica) conn(life int, c net.Conn, s http.ConnState) {
	r.mu.Lock()
	over := false
	if life == r.life {
		switch s {
		case http.StateNew:
			r.conns++
			over = r.conns > r.s.Channels
		case http.StateClosed, http.StateHijacked:
			r.conns--
		}
	}
	r.mu.Unlock()
	if over {
		reset(c)
	}
}

func reset(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetLinger(0)
	}
	_ = c.Close()
}

// stop ends the life, at once.
func (r *Replica) stop() {
	r.mu.Lock()
	srv := r.srv
	r.srv, r.state, r.since = nil, "gone", clock.Now()
	r.mu.Unlock()
	if srv != nil {
		_ = srv.Close()
	}
}

func (r *Replica) id() string { return fmt.Sprintf("i-%s-%d", r.name, r.life) }

// entry is what the platform lists, nil once it has noticed that the replica is gone.
func (r *Replica) entry() *state.Replica {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.state == "gone" && (r.life == 0 || clock.Since(r.since) > constants.YardCrashSeen) {
		return nil
	}
	x := &state.Replica{ID: r.id(), Pool: r.s.Name, Addr: r.at, Locality: r.zone, Software: "v1", Slots: r.s.Slots, State: "ready", ColdMs: max(0, millis(clock.Until(r.cold)))}
	if r.state == "draining" {
		x.State = r.state
	}
	if e := r.s.Engine; e != nil {
		x.Stage, x.Models = "dual", []state.Model{{Name: e.Model, Revision: 1}}
	}
	return x
}

// trouble puts the replica in a trouble and takes it out again at the end.
func (r *Replica) trouble(t Trouble) {
	set := func(how string) {
		r.mu.Lock()
		r.how = how
		r.mu.Unlock()
	}
	span := clock.Seconds(t.ForS)
	switch t.How {
	case Crash:
		r.stop()
		if clock.Rest(r.sc, span) {
			_ = r.start(false)
		}
	case Flap:
		for end := clock.Now().Add(span); clock.Now().Before(end); {
			r.stop()
			if !clock.Rest(r.sc, constants.YardFlap) || r.start(false) != nil || !clock.Rest(r.sc, constants.YardFlap) {
				return
			}
		}
	case Drain:
		r.mu.Lock()
		r.state, r.since = "draining", clock.Now()
		r.mu.Unlock()
		if clock.Rest(r.sc, constants.YardDrain+constants.YardLag+constants.YardDrain/2) {
			r.stop()
		}
		if clock.Rest(r.sc, span) {
			_ = r.start(false)
		}
	case Cold:
		r.mu.Lock()
		r.cold = clock.Now().Add(span)
		r.mu.Unlock()
	case Lying:
		r.mu.Lock()
		r.how = Lying
		r.fresh(constants.YardSlow)
		r.mu.Unlock()
		clock.Rest(r.sc, span)
		r.mu.Lock()
		r.how = ""
		r.fresh(1)
		r.mu.Unlock()
	default:
		set(t.How)
		clock.Rest(r.sc, span)
		set("")
	}
}

func (r *Replica) load() replicamodel.Load {
	if r.how == Lying {
		return replicamodel.Load{}
	}
	if r.eng != nil {
		return r.eng.load()
	}
	return r.desk.Load(clock.Since(r.born))
}

// ServeHTTP is the replica's side of the protocol.
func (r *Replica) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	r.mu.Lock()
	id, how, eng, desk, up := r.id(), r.how, r.eng, r.desk, !clock.Now().Before(r.up)
	l := r.load()
	draining := r.state != "ready"
	r.mu.Unlock()
	if how == Dark {
		<-q.Context().Done()
		panic(http.ErrAbortHandler)
	}
	w.Header().Set(upstream.HeadLoad, fmt.Sprintf("%d,%d,%d", l.Active, l.Queued, r.s.Slots))
	if draining {
		w.Header().Set("Connection", "close")
	}
	switch {
	case q.Method == http.MethodGet && q.URL.Path == healthPath:
		w.Header().Set("Replica-Id", id)
		if !up || draining {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
		return
	case q.Method == http.MethodGet && q.URL.Path == "/v1/report":
		r.report(w)
		return
	}
	body, err := io.ReadAll(q.Body)
	if err != nil {
		return
	}
	attempt := q.Header.Get(upstream.HeadID)
	w.Header().Set(upstream.HeadID, attempt)
	if x := q.Header.Get(upstream.HeadExpect); x != "" && x != id {
		w.Header().Set("Replica-Id", id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	r.j.arrives(attempt, q.Method+" "+q.URL.RequestURI()+" "+string(body))
	r.mu.Lock()
	r.heads++
	part := r.heads%constants.YardGrey == 0
	r.mu.Unlock()
	if how == Reset && part {
		if c, _, err := w.(http.Hijacker).Hijack(); err == nil {
			reset(c)
		}
		return
	}
	if how == Grey && part {
		r.j.runs(attempt, "")
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	seal := "seal-" + id + "-" + attempt
	if eng != nil {
		r.generate(w, q, eng, attempt, seal)
		return
	}
	work := clock.Millis(r.s.WorkMs)
	if how == Lying {
		work *= constants.YardSlow
	}
	r.mu.Lock()
	end, ok := desk.Offer(clock.Since(r.born), work)
	born := r.born
	r.mu.Unlock()
	if !ok {
		full(w)
		return
	}
	r.j.runs(attempt, seal)
	if !rest(q, clock.Until(born.Add(end))) {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Replica-Seal", seal)
	_, _ = io.WriteString(w, answer(attempt))
}

// full turns a request away that was not run.
func full(w http.ResponseWriter) {
	w.Header().Set("Not-Executed", "1")
	w.WriteHeader(http.StatusServiceUnavailable)
}

func rest(q *http.Request, d clock.Span) bool {
	t := clock.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-q.Context().Done():
		return false
	}
}

func answer(attempt string) string { return "the answer to " + attempt }

func piece(n int) string { return fmt.Sprintf("id: %d\ndata: token %d\n\n", n, n) }

// generate runs a request on the engine and sends its tokens as events, or as one answer if no stream was asked for.
func (r *Replica) generate(w http.ResponseWriter, q *http.Request, eng *engine, attempt, seal string) {
	in, out := tokens(q.Header.Get("Token-Counts"))
	from, _ := strconv.Atoi(q.Header.Get(upstream.HeadLastID))
	urgency := 5
	if u, err := strconv.Atoi(q.Header.Get(upstream.HeadUrgency)); err == nil {
		urgency = u
	}
	var parts []replicamodel.Part
	for _, p := range prefixindex.ParseParts(q.Header.Get("Prompt-Prefix")) {
		parts = append(parts, replicamodel.Part{ID: p.ID, Tokens: p.Tokens})
	}
	if len(parts) == 0 {
		parts = []replicamodel.Part{{ID: uint64(clock.Now().UnixNano()), Tokens: in}}
	}
	if from > 0 { // what came already is read like a part of the prompt
		parts = append(parts, replicamodel.Part{ID: uint64(clock.Now().UnixNano()), Tokens: from})
	}
	c, ok := eng.offer(replicamodel.Job{ID: attempt, Parts: parts, Out: max(1, out-from), Urgency: urgency})
	if !ok {
		full(w)
		return
	}
	defer eng.done(attempt)
	r.j.runs(attempt, seal)
	stream := strings.Contains(q.Header.Get("Accept"), "text/event-stream")
	for {
		select {
		case t := <-c:
			if stream {
				if t.N == 1 {
					w.Header().Set("Content-Type", "text/event-stream")
					w.Header().Set("Replica-Seal", seal)
				}
				_, _ = io.WriteString(w, piece(from+t.N))
				_ = http.NewResponseController(w).Flush()
			}
			if !t.Last {
				continue
			}
			if !stream {
				w.Header().Set("Replica-Seal", seal)
				_, _ = io.WriteString(w, answer(attempt))
			}
			return
		case <-q.Context().Done():
			panic(http.ErrAbortHandler)
		case <-r.sc.Done():
			panic(http.ErrAbortHandler)
		}
	}
}

func tokens(s string) (in, out int) {
	a, b, _ := strings.Cut(s, ",")
	in, _ = strconv.Atoi(strings.TrimSpace(a))
	out, _ = strconv.Atoi(strings.TrimSpace(b))
	return max(in, 0), max(out, 1)
}

// report answers as things stood a little ago.
func (r *Replica) report(w http.ResponseWriter) {
	r.mu.Lock()
	if clock.Since(r.toldA) >= constants.YardReportLag {
		r.told, r.toldA = r.load(), clock.Now()
	}
	l, total := r.told, 0
	models := []map[string]any{}
	if e := r.s.Engine; e != nil {
		total = e.Memory
		models = append(models, map[string]any{"name": e.Model, "revision": 1, "adapters": []string{}})
	}
	r.mu.Unlock()
	httpreply.JSON(w, http.StatusOK, map[string]any{"stage": "dual", "models": models, "busy": false, "call_seq": 0, "queued": l.Queued, "active": l.Active,
		"kv_used": l.Used, "kv_total": total, "handles": 0})
}
