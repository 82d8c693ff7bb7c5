package router

import (
	"net/http"
	"strings"

	"shaletrestle/internal/httpreply"
	"shaletrestle/internal/metrics"
	"shaletrestle/internal/requestlog"
	"shaletrestle/internal/version"
)

// requestsPath is where the newest failed and slow requests are; behind it, after a slash, may stand an Attempt-Id.
const requestsPath = "/requests"

// serveState answers on the state port: the metrics and the requests under their paths, else the state page. The keys of the page are an
// interface: they don't follow the names in the code.
func (r *Router) serveState(writer http.ResponseWriter, request *http.Request) {
	if request.URL.Path == metrics.Path {
		r.serveMetrics(writer, request)
		return
	}
	if id, found := strings.CutPrefix(request.URL.Path, requestsPath); found {
		httpreply.JSON(writer, http.StatusOK, r.requests.Page(strings.TrimPrefix(id, "/")))
		return
	}
	view := r.store.View()
	httpreply.JSON(writer, http.StatusOK, map[string]any{
		"program":       "router",
		"version":       version.Number,
		"node":          r.settings.Load().NodeName,
		"ready":         r.ready.Load(),
		"leaving":       r.draining.Load(),
		"news":          r.updateSection(),
		"setup":         map[string]any{"revision": view.Config.Revision, "routes": r.table.Load().RouteCount},
		"evacuated":     view.Evacuated,
		"fleet":         view.FleetSize,
		"inflight":      r.inflight.Load(),
		"inquiries":     r.counts.requests.Load(),
		"refused":       r.counts.rejected.Load(),
		"failed":        r.counts.failed.Load(),
		"further_tries": r.counts.retries.Load(),
		"resumed":       r.counts.resumed.Load(),
		"channels_made": &r.dialCounts,
		"budget_left":   r.budgetSection(),
		"index":         r.indexSection(),
		"bodies":        r.bodies.UserShares(),
		"answers":       r.responses.ReplicaShares(),
		"yard":          r.placer.Stats(),
		"suspected":     r.detector.Suspected(),
		"machine":       r.machine.State(),
		"long_work":     r.longWork.State(),
	})
}

func (r *Router) serveMetrics(writer http.ResponseWriter, _ *http.Request) {
	metrics.Serve(writer, r.samples(), r.requests.Collectors()...)
}

// updatePosition is the position of the view in force, for the records of requests.
func (r *Router) updatePosition() requestlog.UpdatePosition {
	position := r.cursor.Position()
	return requestlog.UpdatePosition{Epoch: position.Epoch, Number: position.Number}
}

func (r *Router) updateSection() map[string]any {
	position := r.cursor.Position()
	return map[string]any{
		"epoch":        position.Epoch,
		"number":       position.Number,
		"source":       r.follower.ParentAddress(),
		"heard_ago_ms": r.cursor.SinceContact().Milliseconds(),
	}
}

func (r *Router) budgetSection() map[string]float64 {
	left := map[string]float64{}
	for pool := range r.table.Load().Pools {
		left[pool] = r.budget.Remaining(pool)
	}
	return left
}

func (r *Router) indexSection() map[string]any {
	stats := r.prefixes.Stats()
	return map[string]any{"runs": stats.Runs, "asked": stats.Lookups, "hits": stats.Hits, "portions": r.prefixes.OwnerShares()}
}
