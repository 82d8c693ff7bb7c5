package router

import (
	"net/http"

	"shaletrestle/internal/version"

	"shaletrestle/internal/httpreply"
	"shaletrestle/internal/metrics"
)

// page answers on the state port: the metrics under their path, else all that this process knows.
func (g *Router) page(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == metrics.Path {
		metrics.Serve(w, g.figures())
		return
	}
	v := g.book.View()
	httpreply.JSON(w, http.StatusOK, map[string]any{
		"program":       "router",
		"version":       version.Number,
		"node":          g.env.Load().NodeName,
		"ready":         g.ready.Load(),
		"leaving":       g.leaving.Load(),
		"news":          g.newsSection(),
		"setup":         map[string]any{"revision": v.Config.Revision, "routes": g.table.Load().RouteCount},
		"evacuated":     v.Evacuated,
		"fleet":         v.FleetSize,
		"inflight":      g.inflight.Load(),
		"inquiries":     g.count.inquiries.Load(),
		"refused":       g.count.refused.Load(),
		"failed":        g.count.failed.Load(),
		"further_tries": g.count.further.Load(),
		"resumed":       g.count.resumed.Load(),
		"channels_made": &g.made,
		"budget_left":   g.budgetSection(),
		"index":         g.indexSection(),
		"bodies":        g.bodies.UserShares(),
		"yard":          g.yard.Stats(),
		"suspected":     g.watcher.Suspected(),
		"machine":       g.level.State(),
		"long_work":     g.long.seen(),
	})
}

func (g *Router) newsSection() map[string]any {
	position := g.cursor.Position()
	return map[string]any{
		"epoch":        position.Epoch,
		"number":       position.Number,
		"source":       g.follower.SourceAddress(),
		"heard_ago_ms": g.cursor.SinceContact().Milliseconds(),
	}
}

func (g *Router) budgetSection() map[string]float64 {
	left := map[string]float64{}
	for pool := range g.table.Load().Pools {
		left[pool] = g.budget.Remaining(pool, g.fleet())
	}
	return left
}

func (g *Router) indexSection() map[string]any {
	runs, asked, hits := g.index.Stats()
	return map[string]any{"runs": runs, "asked": asked, "hits": hits, "portions": g.index.OwnerShares()}
}
