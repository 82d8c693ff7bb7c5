package controller

import (
	"runtime"
	"strconv"

	"shaletrestle/internal/metrics"
)

// metrics are what the state page shows under [metrics.Path].
func (c *Controller) metrics() []metrics.Sample {
	position := c.feed.Position()
	view, replicated := c.updates.View(), c.replicated.View()
	gauge := func(name, help string, value float64) metrics.Sample {
		return metrics.Sample{Name: "controller_" + name, Help: help, Value: value}
	}
	samples := []metrics.Sample{
		{Name: "controller_discovery_empty_total", Help: "Readings that listed no replica.", IsCounter: true, Value: float64(c.list.empty.Load())},
		{Name: "controller_discovery_reads_total", Help: "Readings of the platform's list of replicas.", IsCounter: true, Value: float64(c.list.reads.Load())},
		{Name: "controller_discovery_failures_total", Help: "Readings that failed.", IsCounter: true, Value: float64(c.list.failures.Load())},
		{Name: "controller_messages_invalid_total", Help: "Times that bytes came from another process that are no message.", IsCounter: true, Value: float64(c.traffic.Invalid())},
		{Name: "controller_reports_invalid_total", Help: "Reports of followers on replicas that could not be read.", IsCounter: true, Value: float64(c.reports.invalid.Load())},
		{Name: "controller_updates_refused_total", Help: "Updates refused because they were damaged, too large or of an unknown form.", IsCounter: true, Value: float64(c.follower.Refused())},
		gauge("primary", "1 if this member is primary and publishes updates.", oneIf(c.IsActivePrimary())),
		gauge("discovery_lease", "1 if this member holds the lease for reading the list.", oneIf(c.listLease.Held())),
		gauge("members", "Control members known.", float64(len(c.member.Members()))),
		gauge("update_epoch", "Epoch of the updates.", float64(position.Epoch)),
		gauge("update_number", "Newest update of the epoch.", float64(position.Number)),
		gauge("update_acked_number", "Newest update that every follower has acknowledged.", float64(c.feed.Acked())),
		gauge("config_revision", "Revision of the configuration held.", float64(replicated.Config.Revision)),
		gauge("evacuated_zones", "Evacuated zones.", float64(len(replicated.Evacuated))),
		gauge("replicas", "Replicas on the list.", float64(len(view.Replicas))),
		gauge("fleet_nodes", "Routers that share the budgets.", float64(view.FleetSize)),
		gauge("goroutines", "Goroutines of the process.", float64(runtime.NumGoroutine())),
		gauge("primary_contact_age_seconds", "Time since the primary was last heard from; 0 at the primary.", c.member.SincePrimaryContact().Seconds()),
	}
	for _, each := range c.api.Counts() {
		samples = append(samples, metrics.Sample{
			Name:      "controller_calls_total",
			Help:      "Calls of operators, by call and by the status of the answer.",
			IsCounter: true,
			Value:     float64(each.Count),
			Labels:    []metrics.Label{{Name: "call", Value: each.Call}, {Name: "status", Value: strconv.Itoa(each.Status)}},
		})
	}
	samples = append(samples, c.tallies.metrics()...)
	samples = append(samples, metrics.Process("controller", c.settings.Limits.MemoryMB)...)
	samples = append(samples, metrics.Traffic("controller", c.traffic)...)
	return append(samples, metrics.Invariants("controller", c.invariants)...)
}

func oneIf(condition bool) float64 {
	if condition {
		return 1
	}
	return 0
}

// logInvalidMessage says who sent what can't be read; its channel closes, so that there is one line for each.
func (c *Controller) logInvalidMessage(peer string, err error) {
	c.log.Warn("message cannot be read, channel closed", "part", "rpc", "peer", peer, "error", err.Error())
}
