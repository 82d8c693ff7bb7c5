package router

import (
	"bytes"
	"io"
	"math"
	"net/http"
	"strconv"
	"strings"

	"shaletrestle/coord/outlier"
	"shaletrestle/internal/clock"
	"shaletrestle/internal/constants"
	"shaletrestle/internal/errkind"
	"shaletrestle/internal/frontend"
	"shaletrestle/internal/httpreply"
	"shaletrestle/internal/placement"
	"shaletrestle/internal/prefixindex"
	"shaletrestle/internal/routing"
	"shaletrestle/internal/upstream"
)

// inquiry is one try of a client on its way.
type inquiry struct {
	g        *Gate
	w        http.ResponseWriter
	r        *http.Request
	rc       *http.ResponseController
	table    *routing.Table
	path     *routing.Path
	pool     *routing.Pool
	id       string
	arrived  clock.Moment
	deadline clock.Moment
	body     []byte
	head     http.Header
	ask      *placement.Ask
	// what may be said
	sent   int  // replicas that it was sent to
	mayRun bool // one of them may have run it, or did
	began  bool // the client has the head of an answer
	lastID int64
	step   int64
	held   int64
	status int         // of the newest promise
	notRun http.Header // heads of the newest promise
	long   bool        // long work (longwork.go)
	taken  bool        // it is run for another router
	place  string      // the service among whose long work it runs
}

func (g *Gate) serve(w http.ResponseWriter, r *http.Request) {
	g.inflight.Inc()
	defer g.inflight.Dec()
	g.count.inquiries.Inc()
	if g.letsGo() {
		w.Header().Set("Connection", "close")
	}
	q := &inquiry{g: g, w: w, r: r, rc: http.NewResponseController(w), table: g.table.Load(), arrived: clock.Now(), lastID: -1}
	defer q.release()
	if !g.ready.Load() {
		select {
		case <-g.isReady:
			q.table = g.table.Load()
		case <-clock.After(constants.UnreadyHold):
			q.refuse(errkind.Unready)
			return
		case <-r.Context().Done():
			return
		}
	}
	if frontend.Doubtful(r) {
		w.Header().Set("Connection", "close")
		httpreply.Fault(w, errkind.New(errkind.BadInput, "both a length and chunks"))
		return
	}
	if l := q.table.Limits.Head; l > 0 && headSize(r) > l {
		w.Header().Set("Connection", "close")
		httpreply.Fault(w, errkind.New(errkind.HeadLarge, "head over the limit"))
		return
	}
	if q.path = q.table.Match(r.Host, r.RequestURI); q.path == nil {
		_, _ = io.Copy(io.Discard, io.LimitReader(r.Body, constants.HeadBytes))
		httpreply.Fault(w, errkind.New(errkind.NoPath, "no route"))
		return
	}
	for _, op := range q.path.Steps {
		if !q.do(op) {
			return
		}
	}
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

// do is the interpreter: one step of a path; false ends it.
func (q *inquiry) do(op routing.Op) bool {
	switch op {
	case routing.TakeBody:
		return q.takeBody()
	case routing.SetClock:
		return q.setClock()
	case routing.Split:
		return q.split()
	case routing.Fence:
		q.ask.Regions = func(loc string) bool { return q.path.Regions[q.g.env.Load().Zones[loc]] }
		return true
	case routing.Whole, routing.Events:
		q.fire()
	}
	return false
}

func (q *inquiry) takeBody() bool {
	most := q.table.Limits.Body
	if most <= 0 {
		most = constants.OrderBody
	}
	if q.r.ContentLength > most {
		q.w.Header().Set("Connection", "close")
		httpreply.Fault(q.w, errkind.New(errkind.TooLarge, "body over the limit"))
		return false
	}
	if n := max(q.r.ContentLength, 0); !q.hold(n) {
		return false
	}
	_ = q.rc.SetReadDeadline(clock.Now().Add(constants.BodyWait))
	var b bytes.Buffer
	if q.held > 0 {
		b.Grow(int(q.held) + bytes.MinRead)
	}
	n, err := b.ReadFrom(http.MaxBytesReader(q.w, q.r.Body, most))
	if err == nil && n > q.held && !q.hold(n-q.held) {
		return false
	}
	if err != nil {
		q.w.Header().Set("Connection", "close")
		switch {
		case strings.Contains(err.Error(), "too large"):
			httpreply.Fault(q.w, errkind.New(errkind.TooLarge, "body over the limit"))
		case strings.Contains(err.Error(), "timeout"):
			httpreply.Fault(q.w, errkind.New(errkind.Slow, "body too slow"))
		default:
			httpreply.Fault(q.w, errkind.New(errkind.BadInput, "body can't be read"))
		}
		return false
	}
	_ = q.rc.SetReadDeadline(clock.Moment{})
	q.body = b.Bytes()
	return true
}

// hold books memory for a body; when it is crowded, a path that has its portion is refused and the others are not.
func (q *inquiry) hold(n int64) bool {
	if !q.g.bodies.Take(q.path.Name, n) {
		q.w.Header().Set("Connection", "close")
		q.refuse(errkind.Crowded)
		return false
	}
	q.held += n
	return true
}

func (q *inquiry) release() {
	q.leavePlace()
	if q.held > 0 {
		q.g.bodies.Give(q.path.Name, q.held)
	}
}

func (q *inquiry) setClock() bool {
	q.id = q.r.Header.Get(upstream.HeadID)
	left := constants.DefaultBudget
	if ms, err := strconv.ParseFloat(strings.TrimSpace(q.r.Header.Get(upstream.HeadBudget)), 64); err == nil && ms >= 0 && !math.IsInf(ms, 0) {
		left = min(clock.Millis(min(ms, 1e9)), 24*constants.DefaultBudget)
	}
	q.deadline = q.arrived.Add(min(left, q.path.Timeout))
	return true
}

func (q *inquiry) split() bool {
	parts := prefixindex.ParseParts(q.r.Header.Get("Prompt-Prefix"))
	key := q.id
	if q.path.Sticky && len(parts) > 0 {
		key = ""
		for _, p := range parts[:max(1, len(parts)-1)] {
			key += strconv.FormatUint(p.ID, 16) + ","
		}
	}
	name := q.path.Choose(key)
	q.pool = q.table.Pools[name]
	if q.pool == nil {
		q.refuse(errkind.Unready)
		return false
	}
	q.head = passOn(q.r.Header)
	q.ask = &placement.Ask{Pool: name, Locality: q.g.env.Load().Locality, Not: map[string]bool{}, Bold: q.path.Repeatable() && q.path.Shots > 1,
		ColdRate: func(id string) float64 { return q.g.cold.Load().rate(q.pool.ColdPerS, id) }}
	if e := q.pool.Engine; e != nil {
		model := q.r.Header.Get("Model")
		in, out := tokenCounts(q.r.Header.Get("Token-Counts"))
		if len(parts) == 0 {
			parts = []prefixindex.Part{{ID: uint64(q.arrived.UnixNano()), Tokens: in}}
		}
		q.ask.Chain = prefixindex.NewChain(prefixindex.Root(model, q.g.weights.Load().of(name, model)), parts)
		q.ask.Capacity, q.ask.OutMost, q.ask.Aim = int(e.Tokens), out, q.path.Aim
	}
	if !q.taken {
		q.g.budget.Asked(name)
	}
	return true
}

func tokenCounts(s string) (in, out int) {
	a, b, _ := strings.Cut(s, ",")
	in, _ = strconv.Atoi(strings.TrimSpace(a))
	out, _ = strconv.Atoi(strings.TrimSpace(b))
	return min(max(in, 0), 1<<28), min(max(out, 0), 1<<28)
}

// refuse promises that nothing was run and never will be.
func (q *inquiry) refuse(k errkind.Kind) {
	q.g.count.refused.Inc()
	after := constants.RetryAfter
	if k == errkind.Unready {
		after = constants.RetryUnready
	}
	httpreply.Refuse(q.w, k, after)
}

// giveUp ends an inquiry with what may truly be said of it.
func (q *inquiry) giveUp(k errkind.Kind, why string) {
	switch {
	case q.began:
		q.g.count.failed.Inc()
		panic(http.ErrAbortHandler) // the client must see that it is incomplete
	case !q.mayRun:
		q.refuse(errkind.Crowded)
	default:
		q.g.count.failed.Inc()
		httpreply.Fault(q.w, errkind.New(k, "%s", why))
	}
}

// fire sends the inquiry to replicas until one has answered or nothing more may be tried.
func (q *inquiry) fire() {
	if q.isLong() && q.haul() {
		return
	}
	quit := q.r.Context().Done()
	for {
		left := clock.Until(q.deadline)
		if left <= constants.BudgetReserve {
			q.giveUp(errkind.Late, "time ran out")
			return
		}
		if q.sent >= q.path.Shots {
			q.giveUp(errkind.Broken, "replicas failed")
			return
		}
		c, ok := q.g.yard.Place(q.ask)
		if !ok {
			if !q.mayRun && clock.Until(q.refuseAt()) <= 0 {
				q.refuse(errkind.Crowded)
				return
			}
			clear(q.ask.Not)
			select {
			case <-clock.After(constants.PlaceAgain):
			case <-quit:
				return
			}
			continue
		}
		if q.sent == 0 && !letIn(c, left) {
			q.g.yard.Done(&placement.End{Replica: c.Replica.ID, Chain: q.ask.Chain, Matched: c.Matched, OutMost: q.ask.OutMost})
			q.refuse(errkind.Crowded)
			return
		}
		if !q.shoot(c, left, quit) {
			return
		}
	}
}

// letIn tells whether an inquiry is worth sending: not if the line before it alone is predicted to outlast what is left of its time. The length of its own prompt never counts against it.
func letIn(c placement.Choice, left clock.Span) bool { return c.Expect-c.Alone < left }

// refuseAt is when an inquiry that could be sent nowhere is refused.
func (q *inquiry) refuseAt() clock.Moment {
	return q.arrived.Add(clock.Span(float64(q.path.Aim) * constants.RefusePart))
}

// shoot sends to one replica; true means that another may be tried.
func (q *inquiry) shoot(c placement.Choice, left clock.Span, quit <-chan struct{}) bool {
	id := c.Replica.ID
	end := &placement.End{Replica: id, Chain: q.ask.Chain, Matched: c.Matched, OutMost: q.ask.OutMost}
	defer q.g.yard.Done(end)
	ch, err := q.g.pool(c.Replica, q.table).Get(q.path.Name, min(left, max(constants.PlaceAgain, clock.Until(q.refuseAt()))), !q.path.Repeatable())
	if err != nil {
		q.ask.Not[id] = true
		if errkind.KindOf(err) == errkind.Broken {
			q.blame(id, outlier.Refused)
		} else {
			q.g.long.short()
		}
		return true
	}
	if q.sent > 0 {
		if !q.g.further(q.pool.Name, left) {
			ch.Back()
			q.giveUp(errkind.Broken, "no further try is left")
			return false
		}
		q.g.count.further.Inc()
	}
	if !q.g.yard.May(id) { // asked last: there may have been waits for a connection and for a further try
		ch.Back()
		return true
	}
	left = clock.Until(q.deadline)
	h := q.head.Clone()
	h.Set(upstream.HeadExpect, id)
	h.Set(upstream.HeadBudget, strconv.FormatInt(max(1, (left-constants.BudgetReserve).Milliseconds()), 10))
	if q.ask.Chain != nil {
		h.Set(upstream.HeadUrgency, strconv.Itoa(q.urgency(c.Alone)))
	}
	if q.lastID >= 0 {
		h.Set(upstream.HeadLastID, strconv.FormatInt(q.lastID, 10))
	}
	at := clock.Now()
	a, sent, err := ch.Send(&upstream.Shot{Method: q.r.Method, Target: q.r.RequestURI, Host: q.r.Host, Head: h, Body: q.body, ID: q.id, Events: q.path.Kind == routing.Stream}, left)
	if err != nil {
		q.ended(c.Replica.ID, ch, outlier.Reset, true)
		if !sent {
			return true
		}
		q.sent++
		q.mayRun = true
		return q.again("sending failed")
	}
	q.sent++
	defer a.Drop()
	if q.ask.Chain != nil {
		q.g.index.Sent(id, q.ask.Capacity, q.ask.Chain, q.path.Name)
	}
	return q.listen(ch, a, end, at, c, quit)
}

// urgency is the class that a replica is told: by the path's priority, behind all others if the prompt alone takes longer than the aim.
func (q *inquiry) urgency(alone clock.Span) int {
	if q.long {
		return constants.UrgencyLong
	}
	if alone > q.path.Aim {
		return constants.UrgencyLate
	}
	part := float64(alone) / float64(max(q.path.Aim, 1))
	return min(constants.UrgencyLate-1, int(part*7))
}

// blame holds a failure against a replica; another one is tried next.
func (q *inquiry) blame(id string, k outlier.Kind) {
	q.ask.Not[id] = true
	q.g.blame(id, k)
}

// ended notes that a connection failed. One that had been idle and is reset before any answer was most likely forgotten: that says little, and the same replica may be tried again on another; after silence the other idle connections are in doubt too.
func (q *inquiry) ended(id string, ch *upstream.Channel, k outlier.Kind, reset bool) {
	if reset && ch.Forgotten() {
		q.g.blame(id, outlier.Stale)
		return
	}
	q.blame(id, k)
	if k == outlier.Silent {
		ch.Doubt()
	}
}

// again tells whether another replica may be tried after one that may have run the inquiry; if not, it is answered.
func (q *inquiry) again(why string) bool {
	q.mayRun = true
	if q.path.Repeatable() && q.sent < q.path.Shots {
		return true
	}
	q.giveUp(errkind.Broken, why)
	return false
}

func (q *inquiry) patience() clock.Span {
	if !q.path.Repeatable() || q.sent >= q.path.Shots {
		return 0
	}
	if q.began {
		return clock.Span(float64(q.path.Gap) * constants.SilenceGaps)
	}
	return clock.Span(float64(q.path.Aim) * constants.SilenceAims)
}

// listen takes an answer's parts; true means that another replica may be tried.
func (q *inquiry) listen(ch *upstream.Channel, a *upstream.Answer, end *placement.End, at clock.Moment, c placement.Choice, quit <-chan struct{}) bool {
	id := c.Replica.ID
	var head upstream.Part
	joined := !q.began // the first event of a run that goes on must follow the last
	heard := at
	due, known := q.g.yard.Health().Due(id, c.Expect, q.path.Aim)
	for {
		wait := clock.Until(q.deadline)
		if p := q.patience(); p > 0 {
			wait = min(wait, p-clock.Since(heard))
		}
		watch := known && !end.First && !end.Overdue && due-clock.Since(at) < wait
		if watch {
			wait = due - clock.Since(at)
		}
		late := clock.NewTimer(max(0, wait))
		p, ok := a.Next(late.C, quit)
		late.Stop()
		if ok {
			heard = clock.Now()
		} else {
			if q.r.Context().Err() != nil {
				return false
			}
			if watch { // it is waited for still
				end.Overdue = true
				if !q.g.yard.Queued(id) {
					q.g.blame(id, outlier.Slow)
				}
				continue
			}
			q.mayRun = true
			if clock.Until(q.deadline) <= 0 {
				q.giveUp(errkind.Late, "time ran out")
				return false
			}
			q.ended(id, ch, outlier.Silent, false)
			return q.again("silence")
		}
		switch p.Kind {
		case upstream.Head:
			q.told(id, p.Head.Get(upstream.HeadLoad))
			head = p
			if p.NotRun() {
				continue // the rest of it comes, then it is known whole
			}
			q.mayRun = true
		case upstream.Event:
			q.g.yard.Began(end, clock.Since(at), c.Expect)
			if !q.event(&p, head.Head, &joined) {
				q.blame(id, outlier.Cut)
				return q.again("events out of order")
			}
		case upstream.Body:
			head.Bytes = p.Bytes
		case upstream.End:
			if !head.NotRun() && head.Status < http.StatusInternalServerError {
				q.g.yard.Began(end, clock.Since(at), c.Expect)
			}
			return q.whole(&head, id)
		case upstream.Fail:
			q.mayRun = true
			switch {
			case p.Reset:
				q.ended(id, ch, outlier.Reset, true)
			case p.Lost:
				q.ended(id, ch, outlier.Silent, false)
			default:
				q.blame(id, outlier.Cut)
			}
			return q.again(p.Why)
		}
	}
}

func (q *inquiry) told(id, s string) {
	if v, ok := loads(s); ok {
		q.g.yard.Told(id, v[0], v[1], v[2])
		q.g.long.load(q.ask.Pool, id, v)
	}
}

// loads reads a replica's word on its load: running, waiting, slots.
func loads(s string) (v [3]float64, ok bool) {
	x := strings.Split(s, ",")
	if len(x) != 3 {
		return v, false
	}
	for i := range x {
		f, err := strconv.ParseFloat(strings.TrimSpace(x[i]), 64)
		if err != nil || !(f >= 0) {
			return v, false
		}
		v[i] = f
	}
	return v, true
}

// full tells whether a replica that turned something away says that all its places are taken; one that says nothing of them is believed.
func full(load string) bool {
	v, ok := loads(load)
	return !ok || v[0]+v[1] >= v[2]
}

// event passes one event on; false if it does not follow the last.
func (q *inquiry) event(p *upstream.Part, h http.Header, joined *bool) bool {
	if p.ID >= 0 {
		if q.lastID >= 0 {
			d := p.ID - q.lastID
			if d <= 0 || !*joined && q.step > 0 && d != q.step {
				return false
			}
			if *joined {
				q.step = d
			}
		}
		q.lastID = p.ID
	} else if !*joined {
		return false
	}
	*joined = true
	if !q.began {
		q.began = true
		q.promptCame()
		passBack(q.w.Header(), h)
		q.w.WriteHeader(http.StatusOK)
	}
	_ = q.rc.SetWriteDeadline(clock.Now().Add(constants.WriteWait))
	if _, err := q.w.Write(p.Bytes); err != nil {
		panic(http.ErrAbortHandler)
	}
	if q.rc.Flush() != nil {
		panic(http.ErrAbortHandler)
	}
	return true
}

// whole ends an inquiry with an answer that came whole; true means that another replica may be tried.
func (q *inquiry) whole(p *upstream.Part, id string) bool {
	if p.NotRun() {
		q.ask.Not[id] = true
		switch {
		case p.Status == http.StatusMisdirectedRequest:
			q.g.yard.Wrong(id)
		case p.Status != http.StatusBadRequest && !full(p.Head.Get(upstream.HeadLoad)):
			q.blame(id, outlier.Shed)
		}
		if p.Status == http.StatusBadRequest && !q.mayRun && !q.began {
			q.answer(p)
			return false
		}
		if q.sent < q.path.Shots {
			return true
		}
		q.giveUp(errkind.Broken, "replicas refused")
		return false
	}
	q.mayRun = true
	if p.Status >= http.StatusInternalServerError && p.Status != http.StatusGatewayTimeout {
		q.blame(id, outlier.Failed)
	}
	if q.began {
		if p.Bytes != nil { // a resumed run answered with something else than events
			return q.again("not resumed")
		}
		return false
	}
	switch {
	case p.Status >= 500 && q.path.Repeatable() && q.sent < q.path.Shots && p.Status != http.StatusGatewayTimeout:
		return true
	case p.Status == http.StatusServiceUnavailable, p.Status == http.StatusTooManyRequests, p.Status == http.StatusRequestTimeout:
		q.giveUp(errkind.Broken, "the replica refused after it may have run")
		return false
	}
	q.answer(p)
	return false
}

func (q *inquiry) answer(p *upstream.Part) {
	passBack(q.w.Header(), p.Head)
	q.w.Header().Set("Content-Length", strconv.Itoa(len(p.Bytes)))
	q.w.WriteHeader(p.Status)
	_ = q.rc.SetWriteDeadline(clock.Now().Add(constants.WriteWait))
	_, _ = q.w.Write(p.Bytes)
}
