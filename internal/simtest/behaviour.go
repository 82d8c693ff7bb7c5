package simtest

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// behaviour is what a stand-in replica does with requests.
type behaviour string

// The behaviours.
const (
	behavesWell    behaviour = "ok"
	behavesFull    behaviour = "full"    // turns away with 503
	behavesBusy    behaviour = "busy"    // turns away with 429
	behavesSlow    behaviour = "slow"    // takes several times longer
	behavesDark    behaviour = "dark"    // runs it and never answers
	behavesReset   behaviour = "reset"   // runs it and resets the connection
	behavesError   behaviour = "error"   // answers 500
	behavesUnable  behaviour = "unable"  // runs it and answers 503 under its seal
	behavesNoSeal  behaviour = "noseal"  // answers without a seal
	behavesWrongID behaviour = "wrongid" // answers with another request's id
	behavesEncoded behaviour = "encoded" // answers with an encoding
	behavesGarble  behaviour = "garble"  // sends bytes that are no answer
	behavesExtra   behaviour = "extra"   // sends a second answer after the first
	behavesCut     behaviour = "cut"     // breaks the answer off
	behavesStall   behaviour = "stall"   // falls silent in the middle of a stream
)

// extraLinger is how long a replica keeps a connection open after a surplus answer.
const extraLinger = 50 * time.Millisecond

// pastEverything is longer than any scenario.
const pastEverything = time.Hour

// reply is one answer that a replica is about to give.
type reply struct {
	id        string
	behaviour behaviour
	events    int
	record    *request
}

// reply answers one request that has run.
func (r *Replica) reply(rw http.ResponseWriter, q *http.Request, a reply) {
	switch a.behaviour {
	case behavesDark:
		r.breakOff(a)
		sleepUntilCancelled(q, pastEverything)
		panic(http.ErrAbortHandler)
	case behavesReset:
		r.breakOff(a)
		panic(http.ErrAbortHandler)
	case behavesError:
		r.seal(a, http.StatusInternalServerError)
		rw.WriteHeader(http.StatusInternalServerError)
	case behavesUnable:
		r.seal(a, http.StatusServiceUnavailable)
		rw.WriteHeader(http.StatusServiceUnavailable)
	case behavesNoSeal:
		r.breakOff(a)
		rw.Header().Del("Replica-Seal")
		_, _ = rw.Write([]byte("unstamped"))
	case behavesWrongID:
		r.breakOff(a)
		rw.Header().Set("Attempt-Id", "somebody-else")
		_, _ = rw.Write([]byte("not yours"))
	case behavesEncoded:
		r.breakOff(a)
		rw.Header().Set("Content-Encoding", "gzip")
		_, _ = rw.Write([]byte("xx"))
	case behavesGarble:
		r.breakOff(a)
		writeRaw(rw, "this is no answer\r\n\r\n", 0)
	case behavesExtra:
		r.seal(a, http.StatusOK)
		writeRaw(rw, rawAnswer(a.id, sealOf(a.id), answerTo(a.id))+rawAnswer("zzz", "s", "late"), extraLinger)
	default:
		r.replyCompletely(rw, q, a)
	}
}

// replyCompletely gives the proper answer, or half of it.
func (r *Replica) replyCompletely(rw http.ResponseWriter, q *http.Request, a reply) {
	if strings.HasPrefix(q.URL.Path, "/s/") || strings.HasPrefix(q.URL.Path, "/t/") {
		r.stream(rw, q, a)
		return
	}
	if a.behaviour == behavesCut {
		r.breakOff(a)
		rw.Header().Set("Content-Length", "100")
		_, _ = rw.Write([]byte("half"))
		panic(http.ErrAbortHandler)
	}
	r.seal(a, http.StatusOK)
	_, _ = rw.Write([]byte(answerTo(a.id)))
}

// stream sends events, each with the next id.
func (r *Replica) stream(rw http.ResponseWriter, q *http.Request, a reply) {
	r.seal(a, http.StatusOK)
	from := 0
	if last, err := strconv.Atoi(q.Header.Get("Last-Event-Id")); err == nil {
		from = last
	}
	rw.Header().Set("Content-Type", "text/event-stream")
	r.mu.Lock()
	gap := r.eventGap
	r.mu.Unlock()
	for i := from + 1; i <= a.events; i++ {
		if a.behaviour == behavesCut && i == from+3 {
			r.breakOff(a)
			_, _ = fmt.Fprintf(rw, "id: %d\nda", i)
			_ = http.NewResponseController(rw).Flush()
			panic(http.ErrAbortHandler)
		}
		if a.behaviour == behavesStall && i == from+3 {
			r.breakOff(a)
			sleepUntilCancelled(q, pastEverything)
			panic(http.ErrAbortHandler)
		}
		_, _ = fmt.Fprintf(rw, "id: %d\ndata: piece %d\n\n", i, i)
		_ = http.NewResponseController(rw).Flush()
		sleepUntilCancelled(q, gap)
	}
}

// seal notes the status that a replica gives under its seal.
func (r *Replica) seal(a reply, status int) {
	r.sim.mu.Lock()
	defer r.sim.mu.Unlock()
	if a.record != nil {
		a.record.sealed[status] = true
		a.record.events = a.events
	}
}

// breakOff notes that it is the replica that gives no proper answer.
func (r *Replica) breakOff(a reply) {
	r.sim.mu.Lock()
	defer r.sim.mu.Unlock()
	if a.record != nil {
		a.record.brokeOff = true
	}
}

func rawAnswer(id, seal, body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nReplica-Seal: %s\r\nContent-Length: %d\r\n\r\n%s", id, seal, len(body), body)
}

// writeRaw writes bytes to the connection as they are and closes it.
func writeRaw(rw http.ResponseWriter, text string, linger time.Duration) {
	c, b, err := rw.(http.Hijacker).Hijack()
	if err != nil {
		return
	}
	_, _ = b.WriteString(text)
	_ = b.Flush()
	time.Sleep(linger)
	_ = c.Close()
}
