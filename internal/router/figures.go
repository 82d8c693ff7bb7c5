package router

import "shaletrestle/internal/metrics"

// figures are what the state port tells under meter.Path.
func (r *Router) figures() []metrics.Sample {
	v := r.store.View()
	num := r.cursor.Position().Number
	prefixes := r.prefixes.Stats()
	count := func(name, help string, n int64) metrics.Sample {
		return metrics.Sample{Name: "router_" + name, Help: help, IsCounter: true, Value: float64(n)}
	}
	gauge := func(name, help string, x float64) metrics.Sample {
		return metrics.Sample{Name: "router_" + name, Help: help, Value: x}
	}
	ready := 0.0
	if r.ready.Load() && !r.leaving.Load() {
		ready = 1
	}
	out := []metrics.Sample{
		count("requests_total", "Requests read from clients.", r.counts.requests.Load()),
		count("refused_total", "Requests answered with a promise that nothing ran.", r.counts.rejected.Load()),
		count("failed_total", "Requests that ended without a replica's whole answer and without such a promise.", r.counts.failed.Load()),
		count("further_tries_total", "Sends to a second or later replica.", r.counts.retries.Load()),
		count("connections_made_total", "Connections opened to replicas.", r.dialCounts.All.Load()),
		count("index_lookups_total", "Prompts looked up in the hint index.", prefixes.Lookups),
		count("index_hits_total", "Lookups that found a kept prefix.", prefixes.Hits),
		gauge("index_runs", "Runs held in the hint index.", float64(prefixes.Runs)),
		gauge("inflight_requests", "Requests being served.", float64(r.inflight.Load())),
		gauge("ready", "1 if the node calls itself ready.", ready),
		gauge("setup_revision", "Revision of the configuration in force.", float64(v.Config.Revision)),
		gauge("news_number", "Newest change taken in this life of the news.", float64(num)),
		gauge("news_heard_ago_seconds", "Time since control was last heard.", r.cursor.SinceContact().Seconds()),
		gauge("fleet_nodes", "Routers that share the budgets.", float64(v.FleetSize)),
		gauge("replicas", "Replicas on the list.", float64(len(v.Replicas))),
		gauge("suspected_nodes", "Watched nodes that do not answer.", float64(len(r.detector.Suspected()))),
	}
	for pool := range r.table.Load().Pools {
		out = append(out, metrics.Sample{Name: "router_retry_budget_left", Help: "Further tries that this node may still make, by service.", Value: r.budget.Remaining(pool), Service: pool})
	}
	return out
}
