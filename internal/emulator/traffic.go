package emulator

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"

	"shaletrestle/coord/wait"
	"shaletrestle/internal/durations"
)

// idleConnections is the number of idle connections that the clients keep to a
// router.
const idleConnections = 64

// traffic sends one experiment's requests.
type traffic struct {
	experiment *Experiment
	rules      *ruleChecker
	routers    []string     // front addresses
	keeping    *http.Client // keeps its connections
	fresh      *http.Client // uses a new connection for each request
	start      time.Time
	results    func(Result)
}

func newTraffic(experiment *Experiment, rules *ruleChecker, routers []string, results func(Result)) *traffic {
	return &traffic{
		experiment: experiment,
		rules:      rules,
		routers:    routers,
		keeping:    newClient(true),
		fresh:      newClient(false),
		start:      time.Now(),
		results:    results,
	}
}

// newClient makes a client that follows no redirect and changes nothing.
func newClient(keepAlive bool) *http.Client {
	return &http.Client{
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
		Transport: &http.Transport{
			DisableKeepAlives:   !keepAlive,
			DisableCompression:  true,
			MaxIdleConnsPerHost: idleConnections,
			DialContext:         (&net.Dialer{Timeout: dialTimeout}).DialContext,
		},
	}
}

// run sends all requests and waits for their ends, or for the context's.
func (t *traffic) run(ctx context.Context) {
	var senders, open sync.WaitGroup
	for i := range t.experiment.Kinds {
		senders.Go(func() { t.sendKind(ctx, i, &open) })
	}
	senders.Wait()
	open.Wait()
	t.keeping.CloseIdleConnections()
}

// sendKind sends the requests of one kind at random times (a Poisson process). The
// same seed gives the same requests.
func (t *traffic) sendKind(ctx context.Context, index int, open *sync.WaitGroup) {
	kind := &t.experiment.Kinds[index]
	random := rand.New(rand.NewPCG(t.experiment.Seed, uint64(index)))
	prefixes := newPrefixChooser(kind, random)
	at := t.start
	for number := range kind.total(t.experiment.DurationS) {
		at = at.Add(durations.FromSeconds(random.ExpFloat64() / kind.PerS))
		prefix := prefixes.next()
		router := random.IntN(len(t.routers))
		if !wait.Sleep(ctx, time.Until(at)) {
			return
		}
		open.Go(func() {
			result := t.send(ctx, kind, number, prefix, router)
			if result.Outcome == Served || ctx.Err() == nil { // what an interruption cut off is no failure of the fleet
				t.results(result)
			}
		})
	}
}

// prefixChooser draws the shared prefix of each request of a kind.
type prefixChooser struct {
	random *rand.Rand
	count  int
	zipf   *rand.Zipf // nil: all are as likely
}

func newPrefixChooser(kind *Kind, random *rand.Rand) *prefixChooser {
	chooser := &prefixChooser{random: random, count: kind.Prefixes}
	if kind.Skew > 1 && kind.Prefixes > 0 {
		chooser.zipf = rand.NewZipf(random, kind.Skew, 1, uint64(kind.Prefixes-1))
	}
	return chooser
}

func (c *prefixChooser) next() int {
	switch {
	case c.zipf != nil:
		return int(c.zipf.Uint64())
	case c.count > 0:
		return c.random.IntN(c.count)
	}
	return 0
}
