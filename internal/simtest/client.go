package simtest

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"
)

// What clients of the scenarios wait.
const (
	usualBudget  = 3 * time.Second
	clientMargin = time.Second // beyond its budget, so that late answers are seen
)

// client makes a client whose calls leave from a host of its own.
func (sim *Simulation) client(ip string) *http.Client {
	return sim.keepAliveClient(ip, nil)
}

// keepAliveClient makes a client that keeps its connections and counts those that it opens; without a counter it opens a new one each time.
func (sim *Simulation) keepAliveClient(ip string, made *atomic.Int64) *http.Client {
	h := sim.Network.Host(ip)
	transport := &http.Transport{
		DisableKeepAlives:  made == nil,
		DisableCompression: true,
		DialContext: func(_ context.Context, _, a string) (net.Conn, error) {
			if made != nil {
				made.Add(1)
			}
			return h.Dial(a, time.Second)
		},
	}
	return &http.Client{
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
		Transport:     transport,
	}
}

// Outcome is how one request ended.
type Outcome struct {
	ID     string
	Status int // 0: no complete answer
	Body   string
	Took   time.Duration
}

// Request sends one request to a router and judges its answer.
func (sim *Simulation) Request(router, path, prefix string, once bool, size int) Outcome {
	return sim.requestWith(sim.client("10.8.0.1"), clientRequest{router: router, path: path, prefix: prefix, once: once, size: size, budget: usualBudget})
}

// clientRequest is what a client asks.
type clientRequest struct {
	router, path, prefix string
	once                 bool
	size                 int
	budget               time.Duration
}

func (sim *Simulation) requestWith(c *http.Client, ask clientRequest) Outcome {
	r, body := sim.newRequest(ask)
	q, _ := http.NewRequest(http.MethodPost, "http://"+sim.process(ask.router).ip+":80"+ask.path, strings.NewReader(body))
	q.Host = "h.example"
	q.Header.Set("Attempt-Id", r.id)
	q.Header.Set("Time-Budget-Ms", strconv.FormatInt(ask.budget.Milliseconds(), 10))
	if ask.prefix != "" {
		q.Header.Set("Prompt-Prefix", ask.prefix)
		q.Header.Set("Model", "m")
	}
	if strings.HasSuffix(ask.path, "/long") { // long work by its counts
		q.Header.Set("Token-Counts", "100,6")
	}
	c.Timeout = ask.budget + clientMargin
	x := &exchange{request: r}
	a, err := c.Do(q)
	if err == nil {
		x.header = a.Header
		var b []byte
		b, err = io.ReadAll(a.Body)
		_ = a.Body.Close()
		x.body = string(b)
		x.status = a.StatusCode
	}
	if err != nil {
		x.status = 0
		var timeout interface{ Timeout() bool }
		x.gaveUp = errors.As(err, &timeout) && timeout.Timeout()
	}
	x.endedAt = time.Now()
	sim.judgeExchange(x)
	return Outcome{r.id, x.status, x.body, x.took()}
}

// exchangeRule checks how requests ended; a check returns what is wrong, or nothing. It is called with the simulation's lock held.
type exchangeRule struct {
	rule  Rule
	check func(*Simulation, *exchange) string
}

var exchangeRules = []exchangeRule{
	{RuleMixed, checkMixed},
	{RuleMixedFailure, checkMixedFailure},
	{RuleRejected, checkRejected},
	{RuleRetryAfter, checkRetryAfter},
	{RuleLost, checkLost},
	{PriceHeld, checkHeldPastTimeout},
	{PriceUnoffered, checkUnoffered},
	{PriceNeedlessRejection, checkNeedlessRejection},
}

// judgeExchange checks an exchange against the rules and counts it.
func (sim *Simulation) judgeExchange(x *exchange) {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	for _, r := range exchangeRules {
		if wrong := r.check(sim, x); wrong != "" {
			sim.addViolationLocked(r.rule, x.id+" "+wrong)
		}
	}
	sim.countExchange(x)
}

func checkRejected(_ *Simulation, x *exchange) string {
	if x.isRejection() && x.runs > 0 && x.once {
		return "was rejected and ran"
	}
	return ""
}

func checkRetryAfter(_ *Simulation, x *exchange) string {
	if x.status == http.StatusServiceUnavailable && x.header.Get("Retry-After") == "" {
		return "was not told when to come back"
	}
	return ""
}

func pieces(n int) string {
	var b bytes.Buffer
	for i := 1; i <= n; i++ {
		fmt.Fprintf(&b, "id: %d\ndata: piece %d\n\n", i, i)
	}
	return b.String()
}
