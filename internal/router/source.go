package router

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"shaletrestle/internal/state"
)

// pick names the controller to follow next: the own locality's first, others if it failed lately.
func (g *Router) pick(failed string) string {
	e := g.env.Load()
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	if failed != "" && failed != g.dropped {
		g.bad[failed] = now
	}
	g.dropped = ""
	var near, far, all []string
	seen := map[string]bool{}
	for _, h := range g.book.View().Controllers {
		seen[h.Address] = true
		all = append(all, h.Address)
		switch {
		case now.Sub(g.bad[h.Address]) < e.ContactTimeout():
		case h.Zone == e.Zone:
			near = append(near, h.Address)
		default:
			far = append(far, h.Address)
		}
	}
	for _, a := range e.SeedMembers() {
		if !seen[a] {
			all = append(all, a)
			if now.Sub(g.bad[a]) >= e.ContactTimeout() {
				far = append(far, a)
			}
		}
	}
	g.pickAt++
	for _, s := range [][]string{near, far, all} {
		if len(s) > 0 {
			return s[(g.pickAt+int(xxhash.Sum64String(e.NodeName)%1024))%len(s)]
		}
	}
	return ""
}

// nearer changes over to the own locality's controller once it is known, unless it failed lately.
func (g *Router) nearer(v *state.View) {
	src := g.follower.SourceAddress()
	if src == "" {
		return
	}
	e := g.env.Load()
	for _, h := range v.Controllers {
		if h.Address == src && h.Zone == e.Zone {
			return
		}
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, h := range v.Controllers {
		if h.Zone == e.Zone && time.Since(g.bad[h.Address]) >= 2*e.ContactTimeout() {
			g.dropped = src
			go g.follower.Disconnect()
			return
		}
	}
}
