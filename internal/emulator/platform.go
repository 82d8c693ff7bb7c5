package emulator

import (
	"context"
	"encoding/json"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"

	"shaletrestle/coord/wait"
	"shaletrestle/internal/durations"
	"shaletrestle/internal/httpreply"
	"shaletrestle/internal/state"
)

// rateWindow is the time over which calls are counted against the rate.
const rateWindow = time.Second

// platform is the stand-in for the platform's list: it runs behind, comes in pages
// and allows so many calls a second.
type platform struct {
	spec    ListSpec
	current func() []*state.Replica

	mu          sync.Mutex
	snapshots   []snapshot  // oldest first; the first one is what is listed
	recentCalls []time.Time // within the window
	calls       int
	overRate    int // calls that got 429
}

// snapshot is the list at one time.
type snapshot struct {
	at       time.Time
	replicas []*state.Replica
}

// newPlatform makes a platform that lists the replicas of the moment; run makes it follow their changes.
func newPlatform(spec ListSpec, current func() []*state.Replica) *platform {
	p := &platform{spec: spec, current: current}
	p.record()
	return p
}

// run follows the changes until the context ends.
func (p *platform) run(ctx context.Context) {
	interval := max(pollInterval, durations.FromMilliseconds(p.spec.LagMs)/4)
	wait.Every(ctx, interval, func() bool {
		p.record()
		return true
	})
}

// record takes a snapshot and drops those that are too old to be listed.
func (p *platform) record() {
	replicas := p.current()
	sort.Slice(replicas, func(i, j int) bool { return replicas[i].ID < replicas[j].ID })
	p.mu.Lock()
	defer p.mu.Unlock()
	p.snapshots = append(p.snapshots, snapshot{at: time.Now(), replicas: replicas})
	for len(p.snapshots) > 1 && time.Since(p.snapshots[1].at) >= durations.FromMilliseconds(p.spec.LagMs) {
		p.snapshots = p.snapshots[1:]
	}
}

// replicaPage is one page of the list.
type replicaPage struct {
	Next     *string          `json:"next_token"`
	Replicas []*state.Replica `json:"replicas"`
}

// ServeHTTP answers GET /replicas.
func (p *platform) ServeHTTP(w http.ResponseWriter, request *http.Request) {
	replicas, ok := p.delayedList()
	if !ok {
		w.WriteHeader(http.StatusTooManyRequests)
		return
	}
	query := request.URL.Query()
	if zone := query.Get("zone"); zone != "" {
		replicas = inZone(replicas, zone)
	}
	from, _ := strconv.Atoi(query.Get("page_token"))
	body, _ := json.Marshal(p.page(replicas, from))
	httpreply.Bytes(w, http.StatusOK, body)
}

// delayedList counts a call and gives the list of a while ago; false if there are
// too many calls.
func (p *platform) delayedList() ([]*state.Replica, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.calls++
	now := time.Now()
	for len(p.recentCalls) > 0 && now.Sub(p.recentCalls[0]) > rateWindow {
		p.recentCalls = p.recentCalls[1:]
	}
	if float64(len(p.recentCalls)) >= p.spec.RatePerS {
		p.overRate++
		return nil, false
	}
	p.recentCalls = append(p.recentCalls, now)
	return p.snapshots[0].replicas, true
}

func inZone(replicas []*state.Replica, zone string) []*state.Replica {
	var inside []*state.Replica
	for _, replica := range replicas {
		if replica.Zone == zone {
			inside = append(inside, replica)
		}
	}
	return inside
}

// page is the page that begins at a position.
func (p *platform) page(replicas []*state.Replica, from int) replicaPage {
	from = min(max(from, 0), len(replicas))
	to := min(from+p.spec.Page, len(replicas))
	page := replicaPage{Replicas: append([]*state.Replica{}, replicas[from:to]...)}
	if to < len(replicas) {
		next := strconv.Itoa(to)
		page.Next = &next
	}
	return page
}

// counts gives the calls and how many of them got 429.
func (p *platform) counts() (calls, overRate int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.calls, p.overRate
}
