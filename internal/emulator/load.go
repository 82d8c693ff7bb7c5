package emulator

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"

	"shaletrestle/internal/clock"
	"shaletrestle/internal/constants"
	"shaletrestle/internal/task"
	"shaletrestle/internal/upstream"
)

// Outcomes of a request.
const (
	Served  = "served"  // a whole answer that a replica gave
	Refused = "refused" // the last word was a promise that nothing ran
	Failed  = "failed"  // anything else
)

// Result is how one request of a client ended, over all its tries.
type Result struct {
	AtMs    float64 `json:"at_ms"`
	Kind    string  `json:"kind"`
	Outcome string  `json:"outcome"`
	Late    bool    `json:"late"`
	Ms      float64 `json:"ms"` // to the whole answer, or to a stream's first event
	GapMs   float64 `json:"gap_ms,omitempty"`
	Tries   int     `json:"tries"`
	Why     string  `json:"why,omitempty"`
}

// load sends one experiment's traffic.
type load struct {
	sc    *task.Scope
	x     *Experiment
	j     *judge
	gates []string // front addresses
	held  *http.Client
	fresh *http.Client
	start clock.Moment
	out   func(Result)
}

func newLoad(sc *task.Scope, x *Experiment, j *judge, gates []string, out func(Result)) *load {
	t := func(keep bool) *http.Client {
		return &http.Client{CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
			Transport: &http.Transport{DisableKeepAlives: !keep, DisableCompression: true, MaxIdleConnsPerHost: 64, DialContext: (&net.Dialer{Timeout: constants.YardDial}).DialContext}}
	}
	return &load{sc: sc, x: x, j: j, gates: gates, held: t(true), fresh: t(false), start: clock.Now(), out: out}
}

// run sends all requests and waits for their ends, or for the scope's.
func (l *load) run() {
	var kinds, open sync.WaitGroup
	for i := range l.x.Kinds {
		kinds.Add(1)
		go func() { defer kinds.Done(); l.kind(i, &open) }()
	}
	kinds.Wait()
	open.Wait()
	l.held.CloseIdleConnections()
}

func (l *load) kind(i int, open *sync.WaitGroup) {
	k := &l.x.Kinds[i]
	r := rand.New(rand.NewPCG(l.x.Seed, uint64(i)))
	var zipf *rand.Zipf
	if k.Skew > 1 && k.Prefixes > 0 {
		zipf = rand.NewZipf(r, k.Skew, 1, uint64(k.Prefixes-1))
	}
	at := l.start
	for n := range k.total(l.x.Duration) {
		at = at.Add(clock.Seconds(r.ExpFloat64() / k.PerS))
		which := 0
		switch {
		case zipf != nil:
			which = int(zipf.Uint64())
		case k.Prefixes > 0:
			which = r.IntN(k.Prefixes)
		}
		gate := r.IntN(len(l.gates))
		if !clock.Rest(l.sc, clock.Until(at)) {
			return
		}
		open.Add(1)
		go func() {
			defer open.Done()
			if r := l.one(k, n, which, gate); r.Outcome == Served || !l.sc.Ended() { // what an interruption cut off is no failure of the fleet
				l.out(r)
			}
		}()
	}
}

// request is one request of a client.
type request struct {
	l      *load
	k      *Kind
	name   string
	body   string
	prefix string
	first  clock.Moment
	end    clock.Moment
	got    int // events of a stream
	began  clock.Moment
	newest clock.Moment
	gap    clock.Span
}

// verdict is what came of one try.
type verdict struct {
	status int
	again  bool       // the client may try again
	wait   clock.Span // when
	why    string
}

func (l *load) one(k *Kind, n, which, gate int) Result {
	now := clock.Now()
	q := &request{l: l, k: k, name: fmt.Sprintf("%s.%d", k.Name, n), first: now, end: now.Add(clock.Millis(k.TimeoutMs))}
	q.body = "body of " + q.name + strings.Repeat(".", k.Bytes)
	if k.Prefixes > 0 {
		q.prefix = fmt.Sprintf("%x:%d,%x:%d", 0xa000+which, k.In/2, 0xf0000000+uint64(which)<<32+uint64(n), k.In-k.In/2)
	}
	res := Result{AtMs: millis(now.Sub(l.start)), Kind: k.Name, Outcome: Failed}
	for res.Tries < constants.YardTries {
		res.Tries++
		v := q.try(l.gates[(gate+res.Tries-1)%len(l.gates)], res.Tries)
		res.Why = v.why
		if v.status == http.StatusOK {
			res.Outcome, res.Why = Served, ""
			break
		}
		if res.Outcome = Failed; promise(v.status) {
			res.Outcome = Refused
		}
		if !v.again || clock.Until(q.end) <= v.wait || !clock.Rest(l.sc, v.wait) {
			break
		}
	}
	took := clock.Since(q.first)
	if !q.began.IsZero() {
		took = q.began.Sub(q.first)
		res.GapMs = millis(q.gap)
	}
	res.Ms = millis(took)
	res.Late = res.Outcome == Served && (res.Ms > k.AimMs || res.GapMs > k.GapMs && k.Type == "streaming")
	return res
}

func promise(status int) bool {
	return status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests || status == http.StatusRequestTimeout || status == http.StatusMisdirectedRequest
}

// try sends the request once, with an id of its own.
func (q *request) try(gate string, nth int) verdict {
	k, l := q.k, q.l
	repeatable := k.Type == "idempotent" || k.Type == "streaming" && k.Resume
	id := fmt.Sprintf("%s.%d", q.name, nth)
	path := "/" + k.Name + "/" + q.name
	l.j.sends(id, !repeatable, http.MethodPost+" "+path+" "+q.body)
	sc := l.sc.Within(clock.Until(q.end))
	defer sc.Stop()
	r, err := http.NewRequestWithContext(sc.Context(), http.MethodPost, "http://"+gate+path, io.NopCloser(strings.NewReader(q.body))) // no second read of it: the transport repeats nothing
	if err != nil {
		return verdict{why: err.Error()}
	}
	r.ContentLength = int64(len(q.body))
	r.Host = yardHost
	r.Header.Set(upstream.HeadID, id)
	r.Header.Set(upstream.HeadBudget, strconv.FormatInt(max(1, clock.Until(q.end).Milliseconds()), 10))
	if q.prefix != "" {
		r.Header.Set("Prompt-Prefix", q.prefix)
	}
	if k.Type == "streaming" || q.prefix != "" {
		r.Header.Set("Model", "m")
		r.Header.Set("Token-Counts", fmt.Sprintf("%d,%d", k.In, k.Out))
	}
	if k.Type == "streaming" {
		r.Header.Set("Accept", "text/event-stream")
		if q.got > 0 {
			r.Header.Set(upstream.HeadLastID, strconv.Itoa(q.got))
		}
	}
	c := l.held
	if nth > 1 {
		c = l.fresh
	}
	a, err := c.Do(r)
	if err != nil {
		return verdict{again: repeatable, wait: constants.YardLook, why: short(err)}
	}
	defer a.Body.Close()
	seal := a.Header.Get(upstream.HeadSeal)
	if a.StatusCode == http.StatusOK && k.Type == "streaming" {
		if err := q.events(a.Body); err != nil {
			return verdict{again: repeatable, wait: constants.YardLook, why: short(err)}
		}
		l.j.success(id, seal, true)
		return verdict{status: a.StatusCode}
	}
	b, err := io.ReadAll(a.Body)
	switch {
	case err != nil:
		return verdict{again: repeatable, wait: constants.YardLook, why: short(err)}
	case a.StatusCode == http.StatusOK:
		l.j.success(id, seal, string(b) == answer(id))
		return verdict{status: a.StatusCode}
	case promise(a.StatusCode):
		l.j.refused(id)
		wait := constants.YardLook
		if s, err := strconv.ParseFloat(a.Header.Get("Retry-After"), 64); err == nil {
			wait = min(clock.Seconds(s), clock.Until(q.end)/3)
		}
		return verdict{status: a.StatusCode, again: true, wait: wait, why: a.Status}
	}
	return verdict{status: a.StatusCode, again: repeatable && a.StatusCode >= 500, wait: constants.YardLook, why: a.Status}
}

func short(err error) string {
	for e := errors.Unwrap(err); e != nil; e = errors.Unwrap(err) {
		err = e
	}
	return err.Error()
}

// events reads a stream to its end. Only a stream with every token in order is whole.
func (q *request) events(body io.Reader) error {
	r := bufio.NewReader(body)
	for {
		var text string
		for !strings.HasSuffix(text, "\n\n") {
			s, err := r.ReadString('\n')
			if err == io.EOF && text == "" && s == "" && q.got == q.k.Out {
				return nil
			}
			if err != nil {
				return fmt.Errorf("stream cut after %d events", q.got)
			}
			text += s
		}
		if text != piece(q.got+1) {
			q.l.j.mu.Lock()
			q.l.j.broke("ORDER", "%s got %q after %d", q.name, text, q.got)
			q.l.j.mu.Unlock()
			return fmt.Errorf("event out of order")
		}
		now := clock.Now()
		if q.got++; q.began.IsZero() {
			q.began = now
		} else {
			q.gap = max(q.gap, now.Sub(q.newest))
		}
		q.newest = now
	}
}
