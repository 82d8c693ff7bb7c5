package emulator

import (
	"encoding/json"
	"net/http"
	"sort"
	"strconv"
	"sync"

	"shaletrestle/internal/clock"
	"shaletrestle/internal/constants"
	"shaletrestle/internal/httpreply"
	"shaletrestle/internal/state"
	"shaletrestle/internal/task"
)

// platform is the stand-in for the platform's list: it runs behind, comes in pages and takes so many calls a second.
type platform struct {
	sc    *task.Scope
	spec  ListSpec
	now   func() []*state.Replica
	mu    sync.Mutex
	past  []snapshot
	calls []clock.Moment
	asked int
	over  int
}

type snapshot struct {
	at  clock.Moment
	all []*state.Replica
}

func newPlatform(sc *task.Scope, s ListSpec, now func() []*state.Replica) *platform {
	p := &platform{sc: sc, spec: s, now: now}
	p.look()
	go clock.Every(sc, max(constants.YardLook, clock.Millis(s.LagMs)/4), func() bool { p.look(); return true })
	return p
}

func (p *platform) look() {
	all := p.now()
	sort.Slice(all, func(i, j int) bool { return all[i].ID < all[j].ID })
	p.mu.Lock()
	defer p.mu.Unlock()
	p.past = append(p.past, snapshot{clock.Now(), all})
	for len(p.past) > 1 && clock.Since(p.past[1].at) >= clock.Millis(p.spec.LagMs) {
		p.past = p.past[1:]
	}
}

// ServeHTTP answers GET /replicas.
func (p *platform) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	p.mu.Lock()
	p.asked++
	now := clock.Now()
	for len(p.calls) > 0 && now.Sub(p.calls[0]) > clock.Seconds(1) {
		p.calls = p.calls[1:]
	}
	if float64(len(p.calls)) >= p.spec.Rate {
		p.over++
		p.mu.Unlock()
		w.WriteHeader(http.StatusTooManyRequests)
		return
	}
	p.calls = append(p.calls, now)
	all := p.past[0].all
	p.mu.Unlock()
	if z := q.URL.Query().Get("zone"); z != "" {
		var in []*state.Replica
		for _, r := range all {
			if r.Locality == z {
				in = append(in, r)
			}
		}
		all = in
	}
	from, _ := strconv.Atoi(q.URL.Query().Get("page_token"))
	from = min(max(from, 0), len(all))
	to := min(from+p.spec.Page, len(all))
	out := map[string]any{"replicas": append([]*state.Replica{}, all[from:to]...), "next_token": nil}
	if to < len(all) {
		out["next_token"] = strconv.Itoa(to)
	}
	b, _ := json.Marshal(out)
	httpreply.Bytes(w, http.StatusOK, b)
}

// turned tells the calls and how many of them got 429.
func (p *platform) turned() (asked, over int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.asked, p.over
}
