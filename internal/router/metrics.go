package router

import (
	"runtime"

	"shaletrestle/internal/metrics"
)

// samples are the metrics that the state port serves under metrics.Path (docs/metrics.md).
func (r *Router) samples() []metrics.Sample {
	view := r.store.View()
	prefixes := r.prefixes.Stats()
	counter := func(name, help string, count int64) metrics.Sample {
		return metrics.Sample{Name: "router_" + name, Help: help, IsCounter: true, Value: float64(count)}
	}
	gauge := func(name, help string, value float64) metrics.Sample {
		return metrics.Sample{Name: "router_" + name, Help: help, Value: value}
	}
	ready := 0.0
	if r.ready.Load() && !r.draining.Load() {
		ready = 1
	}
	samples := []metrics.Sample{
		counter("requests_total", "Requests read from clients.", r.counts.requests.Load()),
		counter("rejected_total", "Requests answered with a promise that nothing ran.", r.counts.rejected.Load()),
		counter("failed_total", "Requests that ended without a replica's complete response and without such a promise.", r.counts.failed.Load()),
		counter("retries_total", "Sends to a second or later replica.", r.counts.retries.Load()),
		counter("connections_opened_total", "Connections opened to replicas.", r.dialCounts.All.Load()),
		counter("prefix_lookups_total", "Prompts looked up in the prefix index.", prefixes.Lookups),
		counter("prefix_hits_total", "Lookups that found a cached prefix.", prefixes.Hits),
		counter("messages_invalid_total", "Times that bytes came from another process that are no message.", r.traffic.Invalid()),
		counter("updates_refused_total", "Updates refused because they were damaged, too large or of an unknown form.", r.follower.Refused()),
		gauge("prefix_runs", "Runs of blocks held in the prefix index.", float64(prefixes.Runs)),
		gauge("inflight_requests", "Requests being served.", float64(r.inflight.Load())),
		gauge("ready", "1 if the node calls itself ready.", ready),
		gauge("config_revision", "Revision of the configuration in force.", float64(view.Config.Revision)),
		gauge("update_number", "Newest update applied of the present epoch.", float64(r.cursor.Position().Number)),
		gauge("update_contact_age_seconds", "Time since a controller was last heard from.", r.cursor.SinceContact().Seconds()),
		gauge("fleet_nodes", "Routers that share the budgets.", float64(view.FleetSize)),
		gauge("replicas", "Replicas on the list.", float64(len(view.Replicas))),
		gauge("goroutines", "Goroutines of the process.", float64(runtime.NumGoroutine())),
		gauge("answer_memory_bytes", "Memory taken by what replicas sent until it is passed on.", float64(r.responses.Used())),
		gauge("body_memory_bytes", "Memory accounted for request bodies.", float64(r.bodies.Used())),
		gauge("suspected_nodes", "Watched nodes that do not answer.", float64(len(r.detector.Suspected()))),
	}
	samples = append(samples, metrics.Process("router", r.settings.Load().Limits.MemoryMB)...)
	samples = append(samples, metrics.Invariants("router", r.invariants)...)
	samples = append(samples, metrics.Traffic("router", r.traffic)...)
	samples = append(samples, r.responseSamples()...)
	for service := range r.table.Load().Pools {
		samples = append(samples, metrics.Sample{
			Name:   "router_retry_budget_left",
			Help:   "Retries that this node may still make, by service.",
			Value:  r.budget.Remaining(service),
			Labels: metrics.Service(service),
		})
	}
	return samples
}

// responseSamples are of what replicas sent: by phase, and by replica and reason what could not be used of it.
func (r *Router) responseSamples() []metrics.Sample {
	var samples []metrics.Sample
	for _, count := range r.dialCounts.Received.All() {
		labels := []metrics.Label{{Name: "phase", Value: count.Phase.String()}}
		samples = append(samples, metrics.Sample{
			Name:      "router_replica_bytes_total",
			Help:      "Bytes read from replicas, by the phase of the response.",
			IsCounter: true,
			Value:     float64(count.Bytes),
			Labels:    labels,
		}, metrics.Sample{
			Name:      "router_replica_reads_total",
			Help:      "Reads from connections to replicas, by the phase of the response.",
			IsCounter: true,
			Value:     float64(count.Reads),
			Labels:    labels,
		})
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for id, pool := range r.pools {
		for _, count := range pool.Failures() {
			samples = append(samples, metrics.Sample{
				Name:      "router_response_failures_total",
				Help:      "Responses of a replica that could not be used, by reason.",
				IsCounter: true,
				Value:     float64(count.Count),
				Labels:    []metrics.Label{{Name: "replica", Value: id}, {Name: "reason", Value: count.Reason.String()}},
			})
		}
	}
	return samples
}

// logInvalidMessage says who sent what can't be read; its channel closes, so that there is one line for each.
func (r *Router) logInvalidMessage(peer string, err error) {
	r.log.Warn("message cannot be read, channel closed", "part", "rpc", "peer", peer, "error", err.Error())
}
