package controller

import "shaletrestle/internal/metrics"

// figures are what the state port tells under meter.Path.
func (c *Controller) figures() []metrics.Sample {
	position := c.feed.Position()
	is := func(so bool) float64 {
		if so {
			return 1
		}
		return 0
	}
	gauge := func(name, help string, x float64) metrics.Sample {
		return metrics.Sample{Name: "controller_" + name, Help: help, Value: x}
	}
	v := c.news.View()
	return []metrics.Sample{
		{Name: "controller_list_calls_total", Help: "Readings of the platform's list.", IsCounter: true, Value: float64(c.polls.Load())},
		{Name: "controller_list_failures_total", Help: "Readings that failed.", IsCounter: true, Value: float64(c.fails.Load())},
		gauge("primary", "1 if this member is primary and tells the news.", is(c.IsActivePrimary())),
		gauge("list_duty", "1 if this member holds the duty of reading the list.", is(c.duty.Held())),
		gauge("members", "Control members known.", float64(len(c.replica.Members()))),
		gauge("news_epoch", "Life of the news.", float64(position.Epoch)),
		gauge("news_number", "Newest change of this life.", float64(position.Number)),
		gauge("news_acked_number", "Newest change that every follower has taken.", float64(c.feed.Acked())),
		gauge("setup_revision", "Revision of the configuration held.", float64(c.state.View().Config.Revision)),
		gauge("evacuated_zones", "Zones that take nothing more.", float64(len(c.state.View().Evacuated))),
		gauge("replicas", "Replicas on the list.", float64(len(v.Replicas))),
		gauge("fleet_nodes", "Routers that share the budgets.", float64(v.FleetSize)),
	}
}
