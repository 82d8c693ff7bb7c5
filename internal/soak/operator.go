package soak

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"time"

	"shaletrestle/coord/wait"
)

const (
	callTimeout     = 1 * time.Second
	changeTimeout   = 8 * time.Second // an operator gives a change up after that
	maxRedirects    = 2
	firstRetryPause = 40 * time.Millisecond
	maxRetryPause   = 400 * time.Millisecond
	operatorPause   = 250 * time.Millisecond
	readerPause     = 60 * time.Millisecond
	// loseAnswerEvery is one of how many answers to an operator's change is lost on its way.
	loseAnswerEvery = 12
	repeatEvery     = 9
	hostileEvery    = 15
	hostileDepth    = 300_000
)

// operator makes changes, one after the other, and repeats each until its answer is clear.
type operator struct {
	name    string
	run     *Run
	random  *rand.Rand
	client  *http.Client
	base    int64 // the newest revision that it knows of
	changes int
	added   []string // markers of its acknowledged changes whose routes are there
}

func newOperator(run *Run, name string, seed uint64) *operator {
	return &operator{name: name, run: run, random: rand.New(rand.NewPCG(run.options.Seed, seed)), client: newHTTPClient()}
}

// newHTTPClient follows no redirects by itself, and uses a connection once: the addresses behind it restart.
func newHTTPClient() *http.Client {
	return &http.Client{
		Timeout:       callTimeout,
		Transport:     &http.Transport{DisableKeepAlives: true},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// answer is what a call was answered with.
type answer struct {
	status int // 0: nothing clear
	body   []byte
}

// call sends a call to one controller and follows redirects.
func call(ctx context.Context, client *http.Client, method, url, ifMatch string, body []byte) answer {
	for range maxRedirects + 1 {
		request, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
		if err != nil {
			return answer{}
		}
		if ifMatch != "" {
			request.Header.Set("If-Match", ifMatch)
		}
		response, err := client.Do(request)
		if err != nil {
			return answer{}
		}
		content, err := io.ReadAll(response.Body)
		_ = response.Body.Close()
		if err != nil {
			return answer{}
		}
		if response.StatusCode != http.StatusTemporaryRedirect {
			return answer{response.StatusCode, content}
		}
		url = response.Header.Get("Location")
	}
	return answer{}
}

// anyController is the address of a controller's calls, drawn at random.
func (r *Run) anyController(random *rand.Rand) string {
	all := r.fleet.controllerList()
	return "http://" + address(all[random.IntN(len(all))].ip, portControl) + "/v1/config"
}

// settle sends one change until it is answered clearly or given up, and records it as one operation.
func (o *operator) settle(ctx context.Context, base int64, wrote registerState, body []byte) int {
	begun := o.run.now()
	pause := firstRetryPause
	status := 0
	for o.run.now()-begun < changeTimeout && ctx.Err() == nil {
		got := call(ctx, o.client, http.MethodPatch, o.run.anyController(o.random), strconv.FormatInt(base, 10), body)
		if got.status != 0 && o.random.IntN(loseAnswerEvery) == 0 {
			got = answer{} // lost on its way
		}
		if got.status == http.StatusOK || got.status == http.StatusPreconditionFailed {
			status = got.status
			break
		}
		if got.status >= 400 && got.status < 500 {
			o.run.judge.add(RuleDenied, "%s: change %s on %d was answered %d: %s", o.name, wrote.marker, base, got.status, bytes.TrimSpace(got.body))
			status = got.status
			break
		}
		wait.Sleep(ctx, pause)
		pause = min(2*pause, maxRetryPause)
	}
	o.run.register.change(base, wrote, status, begun, o.run.now())
	return status
}

// work makes changes until the context ends.
func (o *operator) work(ctx context.Context) {
	for ctx.Err() == nil {
		o.makeChange(ctx)
		wait.Sleep(ctx, time.Duration(o.random.Int64N(int64(operatorPause))))
	}
}

func (o *operator) makeChange(ctx context.Context) {
	if o.base == 0 || o.random.IntN(4) == 0 {
		o.readBase(ctx)
	}
	if o.base == 0 {
		return
	}
	if o.random.IntN(hostileEvery) == 0 {
		o.harass(ctx)
	}
	o.changes++
	marker := fmt.Sprintf("%s-%d", o.name, o.changes)
	revision := o.base + 1 + o.random.Int64N(3)
	oldest := ""
	if len(o.added) >= addedRoutes {
		oldest = o.added[0]
	}
	body, err := json.Marshal(change(revision, marker, oldest))
	if err != nil {
		return
	}
	o.run.routes.remove(oldest) // from now on it may be gone
	base := o.base
	status := o.settle(ctx, base, registerState{revision, marker}, body)
	o.run.judge.count(fmt.Sprintf("changes answered %d", status))
	switch status {
	case http.StatusOK:
		o.base = revision
		o.added = append(o.added, marker)
		if oldest != "" {
			o.added = o.added[1:]
		}
		o.run.routes.add(marker)
		o.repeat(ctx, base, marker, body)
	default:
		o.base = 0
	}
}

// harass sends a body that no configuration has: it must be rejected as invalid, or not clearly answered.
func (o *operator) harass(ctx context.Context) {
	body := `{"revision":999999,"x":` + strings.Repeat(`{"a":`, hostileDepth)
	got := call(ctx, o.client, http.MethodPut, o.run.anyController(o.random), strconv.FormatInt(o.base, 10), []byte(body))
	o.run.judge.count(fmt.Sprintf("hostile changes answered %d", got.status))
	if got.status == http.StatusOK {
		o.run.judge.add(RuleConfig, "a body that can't be read was acknowledged")
	}
}

// repeat sends an acknowledged change once more, at times.
func (o *operator) repeat(ctx context.Context, base int64, marker string, body []byte) {
	if o.random.IntN(repeatEvery) != 0 {
		return
	}
	got := call(ctx, o.client, http.MethodPatch, o.run.anyController(o.random), strconv.FormatInt(base, 10), body)
	if got.status >= 400 && got.status < 500 {
		o.run.judge.add(RuleRepeat, "%s: acknowledged change %s on %d, sent again, was answered %d: %s", o.name, marker, base, got.status, bytes.TrimSpace(got.body))
	}
}

// readBase reads the configuration and takes its revision as the base of the next change.
func (o *operator) readBase(ctx context.Context) {
	if revision, ok := o.run.read(ctx, o.client, o.random); ok {
		o.base = revision
	}
}

// read reads the configuration at any controller and records the read; false if it was not answered.
func (r *Run) read(ctx context.Context, client *http.Client, random *rand.Rand) (revision int64, ok bool) {
	begun := r.now()
	got := call(ctx, client, http.MethodGet, r.anyController(random), "", nil)
	if got.status != http.StatusOK {
		r.judge.count(fmt.Sprintf("reads answered %d", got.status))
		return 0, false
	}
	found, err := parseConfiguration(got.body)
	if err != nil {
		r.judge.add(RuleConfig, "a read gave what can't be read: %v", err)
		return 0, false
	}
	r.judge.count("reads answered 200")
	r.register.read(found, begun, r.now())
	return found.revision, true
}

// parseConfiguration finds the revision of a configuration and the marker of the change that wrote it.
func parseConfiguration(body []byte) (registerState, error) {
	var read configuration
	if err := json.Unmarshal(body, &read); err != nil {
		return registerState{}, err
	}
	for _, each := range read.Routes {
		if each.Name == markerName {
			return registerState{read.Revision, strings.TrimPrefix(each.Hostname, "marker.")}, nil
		}
	}
	return registerState{}, fmt.Errorf("revision %d has no marker", read.Revision)
}

// readAll reads at random controllers until the context ends.
func (r *Run) readAll(ctx context.Context, seed uint64) {
	random := rand.New(rand.NewPCG(r.options.Seed, seed))
	client := newHTTPClient()
	for ctx.Err() == nil {
		r.read(ctx, client, random)
		wait.Sleep(ctx, readerPause)
	}
}
