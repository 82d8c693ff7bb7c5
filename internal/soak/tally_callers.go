package soak

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"time"

	"shaletrestle/coord/counter/countertest"
	"shaletrestle/coord/wait"
)

const (
	tallyCallers  = 3
	tallyNames    = 3
	tallyPause    = 40 * time.Millisecond
	tallyAttempts = 6 // an addition is repeated so often, each time at any controller
	maxTallyStep  = 9
	// tallyMergeBound is the time after the last fault within which all controllers have all additions; merge_ms is 3,000.
	tallyMergeBound = 3 * time.Second
	// tallyEndTimeout bounds the wait for that at the end of a run, when the controllers may just have been started again.
	tallyEndTimeout = 20 * time.Second
)

// newTallyHistory returns the history of the callers of a run.
func newTallyHistory() *countertest.History {
	return countertest.NewHistory(countertest.Bounds{Merge: tallyMergeBound, Detection: time.Second})
}

// callTallies adds to tallies and reads them until the context ends.
func (r *Run) callTallies(ctx context.Context, number int) {
	random := rand.New(rand.NewPCG(r.options.Seed, uint64(80+number)))
	client := newHTTPClient()
	for sent := 0; ctx.Err() == nil; sent++ {
		if random.IntN(3) == 0 {
			r.readTally(ctx, client, r.drawController(random), tallyName(random.IntN(tallyNames)))
		} else {
			r.addToTally(ctx, client, random, fmt.Sprintf("%d-%d", number, sent))
		}
		wait.Sleep(ctx, time.Duration(random.Int64N(int64(tallyPause))))
	}
}

func tallyName(number int) string { return fmt.Sprintf("t%d", number) }

func (r *Run) drawController(random *rand.Rand) *process {
	all := r.fleet.controllerList()
	return all[random.IntN(len(all))]
}

func tallyURL(p *process, name string) string {
	return "http://" + address(p.ip, portControl) + "/v1/tallies/" + name
}

// addToTally makes one addition, and at times repeats it though it was acknowledged.
func (r *Run) addToTally(ctx context.Context, client *http.Client, random *rand.Rand, id string) {
	addition := r.tallies.Begin(tallyName(random.IntN(tallyNames)), id, 1+random.Uint64N(maxTallyStep))
	body := fmt.Appendf(nil, `{"replica_id":%q,"actor":%d}`, id, addition.Amount)
	for range tallyAttempts {
		p := r.drawController(random)
		rejected := r.tallies.Call(addition)
		got := call(ctx, client, http.MethodPost, tallyURL(p, addition.Counter), "", body)
		r.judge.count(fmt.Sprintf("additions to tallies answered %d", got.status))
		switch {
		case got.status == http.StatusOK:
			r.tallies.Acknowledge(addition, countertest.Acknowledgement{At: r.now(), Member: p.ip})
			if random.IntN(repeatEvery) != 0 {
				return
			}
		case got.status == http.StatusServiceUnavailable:
			rejected()
		case got.status >= 400 && got.status < 500:
			r.judge.add(RuleDenied, "an addition to a tally was answered %d: %s", got.status, got.body)
			return
		}
	}
}

// readTally reads a tally once; ok is false if it was not answered.
func (r *Run) readTally(ctx context.Context, client *http.Client, p *process, name string) (total uint64, ok bool) {
	got := call(ctx, client, http.MethodGet, tallyURL(p, name), "", nil)
	r.judge.count(fmt.Sprintf("reads of tallies answered %d", got.status))
	if got.status != http.StatusOK {
		return 0, false
	}
	var page struct {
		Total uint64 `json:"total"`
	}
	if err := json.Unmarshal(got.body, &page); err != nil {
		r.judge.add(RuleTally, "a read of %s can't be read: %s", name, got.body)
		return 0, false
	}
	if _, most := r.tallies.MergedLimits(name); page.Total > most {
		r.judge.add(RuleTally, "%s reads %d of %s, %d could have counted", p.name, page.Total, name, most)
	}
	return page.Total, true
}

// checkTallies requires of every controller, once it is served again, all that was acknowledged.
func (r *Run) checkTallies(ctx context.Context) {
	client := newHTTPClient()
	begun := time.Now()
	for _, p := range r.fleet.controllerList() {
		for number := range tallyNames {
			name := tallyName(number)
			least, _ := r.tallies.MergedLimits(name)
			total, ok := r.readTally(ctx, client, p, name)
			for (!ok || total < least) && time.Since(begun) < tallyEndTimeout {
				wait.Sleep(ctx, recordInterval)
				total, ok = r.readTally(ctx, client, p, name)
			}
			if !ok || total < least {
				r.judge.add(RuleTally, "at the end %s reads %d of %s (answered: %v), %d are owed", p.name, total, name, ok, least)
			}
		}
	}
}
