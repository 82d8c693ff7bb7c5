package soak

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

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

// tallyHistory is what callers of tallies sent and were answered, and which faults excuse a loss.
type tallyHistory struct {
	mu         sync.Mutex
	additions  []*tallyAddition // guarded by mu, as are the following
	partitions []tallyPartition
	lostDisks  []lostDisk
}

// tallyAddition is one id.
type tallyAddition struct {
	tally    string
	amount   uint64
	mayCount bool // some call on it may have been carried out
	acks     []tallyAck
}

type tallyAck struct {
	at time.Duration
	ip string
}

type tallyPartition struct{ from, to time.Duration }

type lostDisk struct {
	at time.Duration
	ip string
}

func (h *tallyHistory) begin(addition *tallyAddition) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.additions = append(h.additions, addition)
}

func (h *tallyHistory) setMayCount(addition *tallyAddition, mayCount bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	addition.mayCount = mayCount
}

func (h *tallyHistory) acknowledge(addition *tallyAddition, at time.Duration, ip string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	addition.acks = append(addition.acks, tallyAck{at, ip})
}

// partitioned records a partition of controllers.
func (h *tallyHistory) partitioned(from, to time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.partitions = append(h.partitions, tallyPartition{from, to})
}

func (h *tallyHistory) loseDisk(at time.Duration, ip string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.lostDisks = append(h.lostDisks, lostDisk{at, ip})
}

// bounds are the least and the most that a tally may read once all is merged.
func (h *tallyHistory) bounds(tally string) (least, most uint64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, addition := range h.additions {
		if addition.tally != tally {
			continue
		}
		if addition.mayCount {
			most += addition.amount
		}
		for _, ack := range addition.acks {
			if !h.isExcused(ack) {
				least += addition.amount
				break
			}
		}
	}
	return least, most
}

// isExcused reports whether an addition was acknowledged during a partition by a controller that lost its disk before the
// merge. The caller holds mu.
func (h *tallyHistory) isExcused(ack tallyAck) bool {
	for _, partition := range h.partitions {
		if ack.at < partition.from || ack.at > partition.to+time.Second {
			continue
		}
		for _, lost := range h.lostDisks {
			if lost.ip == ack.ip && lost.at >= ack.at && lost.at <= partition.to+tallyMergeBound {
				return true
			}
		}
	}
	return false
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
	addition := &tallyAddition{tally: tallyName(random.IntN(tallyNames)), amount: 1 + random.Uint64N(maxTallyStep)}
	r.tallies.begin(addition)
	body := fmt.Appendf(nil, `{"replica_id":%q,"actor":%d}`, id, addition.amount)
	for range tallyAttempts {
		p := r.drawController(random)
		mayHaveCounted := addition.mayCount
		r.tallies.setMayCount(addition, true) // a read may see it before its answer comes
		got := call(ctx, client, http.MethodPost, tallyURL(p, addition.tally), "", body)
		r.judge.tally(fmt.Sprintf("additions to tallies answered %d", got.status))
		switch {
		case got.status == http.StatusOK:
			r.tallies.acknowledge(addition, r.now(), p.ip)
			if random.IntN(repeatEvery) != 0 {
				return
			}
		case got.status == http.StatusServiceUnavailable:
			r.tallies.setMayCount(addition, mayHaveCounted)
		case got.status >= 400 && got.status < 500:
			r.judge.add(RuleDenied, "an addition to a tally was answered %d: %s", got.status, got.body)
			return
		}
	}
}

// readTally reads a tally once; ok is false if it was not answered.
func (r *Run) readTally(ctx context.Context, client *http.Client, p *process, name string) (total uint64, ok bool) {
	got := call(ctx, client, http.MethodGet, tallyURL(p, name), "", nil)
	r.judge.tally(fmt.Sprintf("reads of tallies answered %d", got.status))
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
	if _, most := r.tallies.bounds(name); page.Total > most {
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
			least, _ := r.tallies.bounds(name)
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
