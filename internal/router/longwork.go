package router

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"

	"go.uber.org/atomic"

	"shaletrestle/coord/handoff"
	"shaletrestle/coord/rpc"
	"shaletrestle/internal/clock"
	"shaletrestle/internal/constants"
	"shaletrestle/internal/errkind"
	"shaletrestle/internal/routing"
	"shaletrestle/internal/task"
	"shaletrestle/internal/upstream"
)

// longWork drives the machines of package handoff: it carries their messages, runs what was taken and tells the requests whose jobs they are.
type longWork struct {
	g      *Gate
	sc     *task.Scope
	self   string
	lines  *rpc.Lines
	start  clock.Moment
	late   atomic.Duration // how late this process's timers are
	kick   chan struct{}
	mu     sync.Mutex
	owner  *handoff.Owner
	taker  *handoff.Taker
	inbox  map[uint64]chan handoff.Effect
	stops  map[uint64]context.CancelFunc // runs for others, by ticket
	back   map[string]*rpc.Channel       // the channel on which an owner spoke last
	rooms  map[string]neighbour
	lacked atomic.Time // when a connection could not be had
	queues map[string]*longQueue
	held   map[*request]struct{} // long work of our clients, from its body to its end
	count  longCounts
}

type longCounts struct {
	offered, taken, here, elsewhere, returned, lost, refused, broken int64
}

// neighbour is what a node said of itself with its answer to a ping.
type neighbour struct {
	room     int
	locality string
	at       clock.Moment
}

type longLoad struct {
	running, waiting, slots float64
	at                      clock.Moment
}

type longQueue struct {
	q     *handoff.Queue
	wake  map[uint64]chan bool
	loads map[string]longLoad
}

func newLongWork(g *Gate) *longWork {
	life := rand.Uint64() | 1
	b := handoff.Bounds{Answer: constants.LongAnswer, Accept: constants.LongAccept, Renew: constants.LongRenew, Lease: constants.LongLease, Graves: constants.LongGraves}
	h := &longWork{g: g, sc: g.sc.Part("longwork"), self: g.env.Load().Port(constants.PortGate), start: clock.Now(), owner: handoff.NewOwner(life, b), taker: handoff.NewTaker(life, b),
		inbox: map[uint64]chan handoff.Effect{}, stops: map[uint64]context.CancelFunc{}, back: map[string]*rpc.Channel{}, rooms: map[string]neighbour{},
		queues: map[string]*longQueue{}, kick: make(chan struct{}, 1), held: map[*request]struct{}{}}
	h.lines = rpc.NewLines(h.sc, g.net, g.handle)
	return h
}

func (h *longWork) on() bool        { return h.g.env.Load().LongWork.Enabled }
func (h *longWork) now() clock.Span { return clock.Since(h.start) }

// run does what falls due; how late it is woken tells how crowded the processor is.
func (h *longWork) run() {
	var said longCounts
	saidAt := clock.Now()
	for {
		span := constants.LongOff
		switch {
		case h.busy(): // also what was begun before it was switched off
			span = constants.LongTick
		case h.on():
			span = constants.LongCalm
		}
		at, due := clock.Now(), clock.NewTimer(span)
		select {
		case <-due.C:
			h.late.Store(max(clock.Since(at)-span, clock.Span(float64(h.late.Load())*constants.LongFade)))
		case <-h.kick:
			due.Stop()
			h.late.Store(clock.Span(float64(h.late.Load()) * constants.LongFade))
		case <-h.sc.Done():
			due.Stop()
			return
		}
		h.mu.Lock()
		h.taker.Room(h.room())
		h.do(h.owner.Tick(h.now()))
		h.do(h.taker.Tick(h.now()))
		pools := h.g.table.Load().Pools
		for n, x := range h.queues {
			h.pump(x)
			if r, w, _ := x.q.Seen(); pools[n] == nil && r+w == 0 {
				delete(h.queues, n)
			}
		}
		c := h.count
		h.mu.Unlock()
		if c != said && clock.Since(saidAt) >= constants.LongReport {
			said, saidAt = c, clock.Now()
			h.sc.Log().Info("long work", "here", c.here, "offered", c.offered, "elsewhere", c.elsewhere, "taken", c.taken, "returned", c.returned, "lost", c.lost, "broken", c.broken, "refused", c.refused)
		}
	}
}

// busy tells whether anything may soon fall due.
func (h *longWork) busy() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	n := len(h.inbox)
	for _, x := range h.queues {
		n += len(x.wake)
	}
	w, r := h.taker.Jobs()
	return n+w+r > 0
}

// stir wakes the task that looks for what falls due.
func (h *longWork) stir() {
	select {
	case h.kick <- struct{}{}:
	default:
	}
}

// crowded tells whether this node should hand long work on.
func (h *longWork) crowded() bool {
	if h.late.Load() >= constants.LongLag || clock.Since(h.lacked.Load()) < constants.LongShort {
		return true
	}
	used := int64(0)
	for _, s := range h.g.bodies.Slices() {
		used += s.Used
	}
	return float64(used) > constants.CalmPart*constants.BodyMemory*h.g.env.Load().Limits.MemoryMB*(1<<20)
}

// room is how many jobs of others this node would hold; the caller holds the lock.
func (h *longWork) room() int {
	if !h.on() || !h.g.ready.Load() || h.g.leaving.Load() || h.crowded() {
		return 0
	}
	return h.g.env.Load().LongWork.Takes
}

// tellRoom puts the room left into the answer to a ping.
func (h *longWork) tellRoom(a *rpc.Note) *rpc.Note {
	if h.on() {
		h.mu.Lock()
		defer h.mu.Unlock()
		w, r := h.taker.Jobs()
		a.Span, a.From.Locality = uint64(max(0, h.room()-w-r)), h.g.env.Load().Locality
	}
	return a
}

// roomOf takes it from there.
func (h *longWork) roomOf(node string, a *rpc.Note) {
	if h.on() {
		h.mu.Lock()
		defer h.mu.Unlock()
		h.rooms[node] = neighbour{int(min(a.Span, constants.LongTakeMost)), a.From.Locality, clock.Now()}
	}
}

// neighbour chooses the node with most room that may have the request.
func (h *longWork) neighbour(path *routing.Path) string {
	e := h.g.env.Load()
	h.mu.Lock()
	defer h.mu.Unlock()
	best, most := "", 0
	for n, x := range h.rooms {
		switch {
		case clock.Since(x.at) > constants.LongKnown:
			delete(h.rooms, n)
		case x.locality != e.Locality && !e.LongWork.OtherZones, path.Regions != nil && !path.Regions[e.Zones[x.locality]]:
		case x.room > most || x.room == most && most > 0 && n < best:
			best, most = n, x.room
		}
	}
	if best != "" {
		x := h.rooms[best]
		x.room--
		h.rooms[best] = x
	}
	return best
}

// note takes a message of another router.
func (h *longWork) note(ch *rpc.Channel, n *rpc.Note) {
	m := handoff.Message{Kind: handoff.KindOf(n.Word), Peer: n.From.Addr, Owner: n.Epoch, Job: n.Number, Turn: n.Base,
		Ticket: handoff.Ticket{Life: n.Ballot, Number: n.To}, Number: n.Span, Shots: int(min(n.HeldBallot, constants.LongTakeMost)), Body: n.Body}
	h.mu.Lock()
	defer h.mu.Unlock()
	switch {
	case m.Kind == 0 || m.Peer == "":
	case m.Kind <= handoff.Drop:
		if h.back[m.Peer] != ch {
			h.back[m.Peer] = ch
			ch.OnClose(func() { go h.closed(m.Peer, ch) })
		}
		h.taker.Room(h.room())
		h.do(h.taker.Step(h.now(), m))
		h.stir()
	default:
		if m.Kind == handoff.Returned {
			h.count.returned++
		}
		h.do(h.owner.Step(h.now(), m))
	}
}

func (h *longWork) closed(peer string, ch *rpc.Channel) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.back[peer] == ch {
		delete(h.back, peer)
	}
}

// do carries out effects in their order; the caller holds the lock, and nothing here waits.
func (h *longWork) do(fx []handoff.Effect) {
	for _, f := range fx {
		switch f.Do {
		case handoff.Send:
			h.send(f.Message)
		case handoff.Begin:
			h.count.taken++
			ctx, stop := context.WithCancel(h.sc.Context())
			h.stops[f.Ticket.Number] = stop
			go h.runTaken(ctx, f, h.start.Add(f.Since))
		case handoff.Stop:
			if stop := h.stops[f.Ticket.Number]; stop != nil {
				stop()
			}
		default:
			h.tell(f)
		}
	}
}

func (h *longWork) send(m handoff.Message) {
	n := &rpc.Note{Kind: rpc.Job, From: rpc.Seat{Addr: h.self}, Word: m.Kind.String(), Epoch: m.Owner, Number: m.Job, Base: m.Turn,
		Ballot: m.Ticket.Life, To: m.Ticket.Number, Span: m.Number, HeldBallot: uint64(max(0, m.Shots)), Body: m.Body}
	if m.Kind > handoff.Drop { // the answers go back on the channel on which the owner spoke, in order
		if ch := h.back[m.Peer]; ch != nil {
			ch.Send(n)
		}
		return
	}
	go func() { // a dial may wait; what is lost is said again
		if ch, err := h.lines.Get(m.Peer); err == nil {
			ch.Send(n)
		}
	}()
}

// tell hands an effect to the request whose job it is; one that lags too far loses its job.
func (h *longWork) tell(f handoff.Effect) {
	in := h.inbox[f.Job]
	if in == nil {
		return
	}
	if f.Do == handoff.Deliver && len(in) >= cap(in)-2 {
		fx := h.owner.Leave(f.Job)
		in <- handoff.Effect{Do: handoff.End, Job: f.Job, Outcome: handoff.Broken}
		delete(h.inbox, f.Job)
		h.do(fx)
		return
	}
	in <- f
}

// short notes that a connection to a replica could not be had.
func (h *longWork) short() {
	if h.on() {
		h.lacked.Store(clock.Now())
	}
}

func (h *longWork) queue(pool string) *longQueue {
	x := h.queues[pool]
	if x == nil {
		x = &longQueue{q: handoff.NewQueue(constants.LongRoom, handoff.Shares{Waiting: constants.LongWaiting, Late: constants.LongLate, Most: constants.LongMost, Weight: constants.LongWeight, Cut: constants.LongCut, Grow: constants.LongGrow, Pause: constants.LongPause}),
			wake: map[uint64]chan bool{}, loads: map[string]longLoad{}}
		h.queues[pool] = x
	}
	return x
}

// load takes a replica's word on its load.
func (h *longWork) load(pool, id string, v [3]float64) {
	if h.on() {
		h.mu.Lock()
		h.queue(pool).loads[id] = longLoad{v[0], v[1], v[2], clock.Now()}
		h.mu.Unlock()
	}
}

// idle tells whether the replicas that spoke lately have slots free and nothing waiting; nothing is held back while none has spoken.
func (x *longQueue) idle() bool {
	running, waiting, slots := 0.0, 0.0, 0.0
	for id, l := range x.loads {
		if clock.Since(l.at) > constants.LongTold {
			delete(x.loads, id)
			continue
		}
		running, waiting, slots = running+l.running, waiting+l.waiting, slots+l.slots
	}
	return waiting == 0 && running <= constants.LongHalf*slots
}

func (h *longWork) pump(x *longQueue) {
	run, late := x.q.Next(h.now(), x.idle())
	for i, ns := range [][]uint64{run, late} {
		for _, n := range ns {
			x.wake[n] <- i == 0
			delete(x.wake, n)
		}
	}
}

// leave takes no more from others and gives back what was not begun.
func (h *longWork) leave() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.do(h.taker.Empty())
}

// finish waits for what runs for others, at most d.
func (h *longWork) finish(d clock.Span) {
	end := clock.Now().Add(d)
	for clock.Until(end) > 0 {
		h.mu.Lock()
		n := len(h.stops)
		h.mu.Unlock()
		if n == 0 || !clock.Rest(h.sc, constants.LongTick) {
			return
		}
	}
}

// seen is the section of the state page.
func (h *longWork) seen() map[string]any {
	h.mu.Lock()
	defer h.mu.Unlock()
	held, out, away := h.owner.Jobs()
	kept, runs := h.taker.Jobs()
	oldest := clock.Span(0)
	for q := range h.held {
		oldest = max(oldest, clock.Since(q.arrived))
	}
	qs := map[string]any{}
	for n, x := range h.queues {
		r, w, room := x.q.Seen()
		qs[n] = map[string]any{"running": r, "waiting": w, "room": room, "idle": x.idle()}
	}
	c := h.count
	return map[string]any{"enabled": h.on(), "held": held, "offered_now": out, "elsewhere_now": away, "accepted_now": kept, "taken_now": runs, "oldest_ms": oldest.Milliseconds(),
		"late_ms": h.late.Load().Milliseconds(), "services": qs, "offered": c.offered, "taken": c.taken, "run_here": c.here, "run_elsewhere": c.elsewhere, "returned": c.returned,
		"lost": c.lost, "refused": c.refused, "broken": c.broken}
}

// isLong tells whether a request is long work, once.
func (q *request) isLong() bool {
	e := q.pool.Engine
	if !q.g.long.on() || e == nil {
		return false
	}
	l := q.g.env.Load().LongWork
	in, out := tokenCounts(q.r.Header.Get("Token-Counts"))
	q.long = handoff.Marks{Patient: l.Patient, Heavy: l.Heavy}.Long(handoff.Ask{Stream: q.path.Kind == routing.Stream, Aim: q.path.Aim, Timeout: q.path.Timeout,
		Gap: q.path.Gap, Stride: e.Stride, In: in, Out: out, PerToken: constants.PrefillToken})
	return q.long
}

// promptCame measures prompt work: what its first event took of its aim.
func (q *request) promptCame() {
	h := q.g.long
	if q.long || q.taken || q.path.Aim <= 0 || q.ask.Chain == nil || !h.on() {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	x := h.queue(q.ask.Pool)
	x.q.Prompt(h.now(), float64(clock.Since(q.arrived))/float64(q.path.Aim))
	h.pump(x)
}

// haul places long work: with a neighbour if this node is crowded, else among what runs here. true: it is answered.
func (q *request) haul() bool {
	h := q.g.long
	h.mu.Lock()
	h.held[q] = struct{}{}
	h.mu.Unlock()
	if !q.taken && clock.Until(q.refuseAt()) >= constants.LongAnswer && (q.g.env.Load().LongWork.Always || h.crowded()) {
		if n := h.neighbour(q.path); n != "" && q.away(n) {
			return true
		}
	}
	return !q.enter()
}

// enter waits shortly for a place among the long work that runs here; if there is none the request is refused.
func (q *request) enter() bool {
	h := q.g.long
	h.mu.Lock()
	x := h.queue(q.ask.Pool)
	until := h.now() + min(clock.Until(q.refuseAt()), clock.Until(q.deadline))
	n, now, ok := uint64(0), true, true
	if q.try.Sent() > 0 {
		x.q.Enter()
	} else {
		n, now, ok = x.q.Join(until, x.idle())
	}
	wake := make(chan bool, 1)
	switch {
	case ok && !now && q.taken: // its owner waits, not the taker
		x.q.Leave(n)
		ok = false
	case ok && !now:
		x.wake[n] = wake
		h.stir()
	}
	h.mu.Unlock()
	if ok && !now {
		select {
		case ok = <-wake:
		case <-q.r.Context().Done():
			h.leaveQueue(x, n, wake)
			q.abandon()
		}
	}
	h.mu.Lock()
	if ok {
		if !q.taken {
			h.count.here++
		}
		q.place = q.ask.Pool
	} else {
		h.count.refused++
	}
	h.mu.Unlock()
	if !ok {
		q.giveUp(errkind.Crowded, "no place for long work")
	}
	return ok
}

// leaveQueue takes out one that waits and whose client is gone.
func (h *longWork) leaveQueue(x *longQueue, number uint64, wake <-chan bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	x.q.Leave(number)
	delete(x.wake, number)
	select {
	case runs := <-wake: // it was woken all the same
		if runs {
			x.q.Ended()
		}
	default:
	}
}

// leavePlace ends a request's part in the long work.
func (q *request) leavePlace() {
	if !q.long {
		return
	}
	h := q.g.long
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.held, q)
	if q.place == "" {
		return
	}
	x := h.queue(q.place)
	x.q.Ended()
	h.pump(x)
}

// pack writes the request as its taker is to send it.
func (q *request) pack() []byte {
	hd := q.head.Clone()
	hd.Set(upstream.HeadBudget, strconv.FormatInt(max(1, (clock.Until(q.deadline)-constants.BudgetReserve).Milliseconds()), 10))
	if q.lastID >= 0 {
		hd.Set(upstream.HeadLastID, strconv.FormatInt(q.lastID, 10))
	}
	r := &http.Request{Method: q.r.Method, URL: upstream.Target(q.r.RequestURI), Host: q.r.Host, Header: hd, Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
		ContentLength: int64(len(q.body)), Body: http.NoBody}
	if len(q.body) > 0 {
		r.Body = io.NopCloser(bytes.NewReader(q.body))
	}
	var b bytes.Buffer
	if r.Write(&b) != nil {
		return nil
	}
	return b.Bytes()
}

// away lets a neighbour run the request; false if it came back and may be run here.
func (q *request) away(to string) bool {
	h := q.g.long
	body := q.pack()
	if body == nil {
		return false
	}
	in := make(chan handoff.Effect, constants.LongInbox)
	h.mu.Lock()
	job := h.owner.Take(h.now()+clock.Until(q.deadline)-constants.BudgetReserve, q.path.Repeatable(), q.path.Shots)
	h.inbox[job] = in
	h.count.offered++
	h.do(h.owner.Offer(h.now(), job, to, body))
	h.stir()
	h.mu.Unlock()
	defer func() {
		h.mu.Lock()
		defer h.mu.Unlock()
		h.do(h.owner.Leave(job)) // if anything of it is left
		delete(h.inbox, job)
	}()
	var head *awayHead
	var whole []byte
	joined := !q.began
	for {
		select {
		case f := <-in:
			switch f.Do {
			case handoff.Deliver:
				switch {
				case head == nil:
					head = &awayHead{}
					if json.Unmarshal(f.Message.Body, head) != nil {
						q.try.Elsewhere(0, true)
						q.giveUp(errkind.Broken, "head can't be read")
						return true
					}
				case head.Events:
					if !q.event(&upstream.Part{Kind: upstream.Event, Bytes: f.Message.Body, ID: eventID(f.Message.Body)}, head.Header, &joined) {
						q.try.Elsewhere(0, true)
						q.giveUp(errkind.Broken, "events out of order")
						return true
					}
				default:
					whole = append(whole, f.Message.Body...)
				}
			case handoff.Back:
				if q.takeBack(job, to) {
					return false
				}
			case handoff.End:
				q.try.Elsewhere(f.Message.Shots, f.Outcome != handoff.Refused)
				switch f.Outcome {
				case handoff.Whole:
					h.mu.Lock()
					h.count.elsewhere++
					if x, ok := h.rooms[to]; ok { // its place is free again: known sooner than by the next ping
						x.room++
						h.rooms[to] = x
					}
					h.mu.Unlock()
					switch {
					case head == nil || head.Events != q.began:
						q.giveUp(errkind.Broken, "no whole answer")
					case !head.Events:
						return !q.whole(&upstream.Part{Status: head.Status, Head: head.Header, Bytes: whole}, "")
					}
				case handoff.Refused:
					q.giveUp(errkind.Crowded, "no time for long work")
				case handoff.Late:
					q.giveUp(errkind.Late, "time ran out")
				default:
					h.mu.Lock()
					h.count.broken++
					h.mu.Unlock()
					h.sc.Log().Warn("a neighbour was lost with a job that may have begun", "node", to, "request", q.id)
					q.giveUp(errkind.Broken, "the neighbour was lost")
				}
				return true
			}
		case <-q.r.Context().Done():
			q.abandon()
		}
	}
}

// takeBack takes a job back that a neighbour does not run any more. If it may not be run here either, false:
// its end follows, with what is known of it.
func (q *request) takeBack(job uint64, from string) bool {
	h := q.g.long
	h.mu.Lock()
	defer h.mu.Unlock()
	lost, shots, ok := h.owner.Here(h.now(), job)
	if !ok {
		h.do(h.owner.GiveUp(job))
		return false
	}
	if lost {
		h.count.lost++
		h.sc.Log().Warn("a neighbour was lost, its job is placed anew", "node", from, "request", q.id)
	}
	q.try.Elsewhere(q.path.Shots-shots-q.try.Sent(), lost)
	return true
}

// eventID reads the id of an event; -1 if it has none.
func eventID(b []byte) int64 {
	for _, l := range strings.Split(string(b), "\n") {
		if v, ok := strings.CutPrefix(l, "id:"); ok {
			if n, err := strconv.ParseInt(strings.TrimSpace(v), 10, 64); err == nil {
				return n
			}
		}
	}
	return -1
}

// awayHead is the first part of an answer that comes from a neighbour.
type awayHead struct {
	Status int         `json:"status"`
	Header http.Header `json:"header"`
	Events bool        `json:"events"`
}

// awayWriter is where the request of a taken job writes its answer. Our own refusals and faults are not sent: the owner says what is to be said.
type awayWriter struct {
	h      *longWork
	ticket uint64
	head   http.Header
	status int
	own    bool
}

// Header is the answer's.
func (w *awayWriter) Header() http.Header { return w.head }

// WriteHeader sends the head, if it is a replica's.
func (w *awayWriter) WriteHeader(status int) {
	if w.status != 0 {
		return
	}
	w.status = status
	if w.own = w.head.Get(upstream.HeadID) == ""; w.own {
		return
	}
	b, err := json.Marshal(awayHead{status, w.head, w.head.Get("Content-Length") == ""})
	if err == nil {
		w.piece(b)
	}
}

// Write sends one event, or a whole body.
func (w *awayWriter) Write(b []byte) (int, error) {
	w.WriteHeader(http.StatusOK)
	if !w.own {
		w.piece(bytes.Clone(b))
	}
	return len(b), nil
}

func (w *awayWriter) piece(b []byte) {
	w.h.mu.Lock()
	defer w.h.mu.Unlock()
	w.h.do(w.h.taker.Piece(w.ticket, b))
}

// FlushError, SetReadDeadline and SetWriteDeadline are there for the response controller: pieces are sent at once.
func (w *awayWriter) FlushError() error                   { return nil }
func (w *awayWriter) SetReadDeadline(clock.Moment) error  { return nil }
func (w *awayWriter) SetWriteDeadline(clock.Moment) error { return nil }

// runTaken runs a job for its owner, as a request of our own whose time counts from the owner's offer.
func (h *longWork) runTaken(ctx context.Context, f handoff.Effect, offered clock.Moment) {
	h.g.inflight.Inc()
	defer h.g.inflight.Dec()
	w := &awayWriter{h: h, ticket: f.Ticket.Number, head: http.Header{}}
	q := h.takenRequest(ctx, w, &f, offered)
	as := handoff.Returned
	defer func() {
		x := recover()
		if x != nil && x != http.ErrAbortHandler {
			panic(x)
		}
		shots := 0
		if q != nil {
			q.release()
			shots = q.try.Sent()
			as = q.outcome(w, x != nil)
		}
		h.mu.Lock()
		defer h.mu.Unlock()
		h.stops[w.ticket]()
		delete(h.stops, w.ticket)
		h.do(h.taker.Ended(w.ticket, as, shots))
	}()
	if q != nil {
		q.follow()
	}
}

// outcome is what the owner of a taken job is told.
func (q *request) outcome(w *awayWriter, aborted bool) handoff.Kind {
	passedOn := w.status != 0 && !w.own
	switch {
	case aborted && (passedOn || q.try.MayHaveRun()):
		return handoff.Failed
	case passedOn:
		return handoff.Done
	case q.try.MayHaveRun():
		return handoff.Failed
	}
	return handoff.Returned
}

// takenRequest reads a job; nil if it can't be run here.
func (h *longWork) takenRequest(ctx context.Context, w *awayWriter, f *handoff.Effect, offered clock.Moment) *request {
	r, err := http.ReadRequest(bufio.NewReader(bytes.NewReader(f.Message.Body)))
	if err != nil {
		return nil
	}
	q := newRequest(h.g, w, r.WithContext(ctx))
	path := q.table.Match(r.Host, r.RequestURI)
	if path == nil {
		return nil
	}
	own := *path
	own.Shots = min(own.Shots, f.Message.Shots)
	q.path = &own
	q.arrived = offered
	q.taken = true
	return q
}
