package router

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"shaletrestle/internal/state"
)

// pickController names the controller to follow next: the own locality's first, others if it failed lately.
func (r *Router) pickController(failed string) string {
	e := r.settings.Load()
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	if failed != "" && failed != r.leftController {
		r.controllerFailedAt[failed] = now
	}
	r.leftController = ""
	var near, far, all []string
	seen := map[string]bool{}
	for _, h := range r.store.View().Controllers {
		seen[h.Address] = true
		all = append(all, h.Address)
		switch {
		case now.Sub(r.controllerFailedAt[h.Address]) < e.ContactTimeout():
		case h.Zone == e.Zone:
			near = append(near, h.Address)
		default:
			far = append(far, h.Address)
		}
	}
	for _, a := range e.SeedMembers() {
		if !seen[a] {
			all = append(all, a)
			if now.Sub(r.controllerFailedAt[a]) >= e.ContactTimeout() {
				far = append(far, a)
			}
		}
	}
	r.controllerIndex++
	for _, s := range [][]string{near, far, all} {
		if len(s) > 0 {
			return s[(r.controllerIndex+int(xxhash.Sum64String(e.NodeName)%1024))%len(s)]
		}
	}
	return ""
}

// preferNearController changes over to the own locality's controller once it is known, unless it failed lately.
func (r *Router) preferNearController(v *state.View) {
	src := r.follower.SourceAddress()
	if src == "" {
		return
	}
	e := r.settings.Load()
	for _, h := range v.Controllers {
		if h.Address == src && h.Zone == e.Zone {
			return
		}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, h := range v.Controllers {
		if h.Zone == e.Zone && time.Since(r.controllerFailedAt[h.Address]) >= 2*e.ContactTimeout() {
			r.leftController = src
			go r.follower.Disconnect()
			return
		}
	}
}
