package controller

import (
	"net/http"
	"time"

	"shaletrestle/internal/calendar"
	"shaletrestle/internal/httpreply"
	"shaletrestle/internal/metrics"
	"shaletrestle/internal/state"
	"shaletrestle/internal/version"
)

// fleetPath is where the state page gives the view of the fleet, for package configcheck.
const fleetPath = "/fleet"

// serveStatePage answers at the state port: metrics, the view of the fleet, and at any other path the state of this
// process. The keys of its JSON stay as they are.
func (c *Controller) serveStatePage(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case metrics.Path:
		c.serveMetrics(w, r)
	case fleetPath:
		httpreply.Bytes(w, http.StatusOK, c.fleetView().Encode())
	default:
		httpreply.JSON(w, http.StatusOK, c.processState())
	}
}

func (c *Controller) serveMetrics(w http.ResponseWriter, _ *http.Request) {
	metrics.Serve(w, c.metrics())
}

// fleetView is the view that followers have; the primary's configuration and evacuations are the committed ones.
func (c *Controller) fleetView() *state.View {
	view := *c.updates.View()
	if _, primary := c.member.PrimaryEpoch(); primary {
		replicated := c.replicated.View()
		view.Config, view.Evacuated = replicated.Config, replicated.Evacuated
	}
	view.History = nil
	return &view
}

func (c *Controller) processState() map[string]any {
	position := c.feed.Position()
	view, replicated := c.updates.View(), c.replicated.View()
	page := map[string]any{
		"program":     "controller",
		"version":     version.Number,
		"node":        c.settings.NodeName,
		"maintenance": c.maintenance(),
		"replication": c.member.State(),
		"news": map[string]any{
			"epoch":  position.Epoch,
			"number": position.Number,
			"acked":  c.feed.Acked(),
			"source": c.follower.ParentAddress(),
			"live":   c.IsActivePrimary(),
		},
		"setup_revision": replicated.Config.Revision,
		"evacuated":      replicated.Evacuated,
		"replicas":       len(view.Replicas),
		"fleet":          view.FleetSize,
		"list_duty":      c.listLease.Held(),
		"suspects":       c.aggregator.Published(),
		"list_calls":     c.list.reads.Load(),
		"list_failures":  c.list.failures.Load(),
	}
	if state := c.tallies.state(); state != nil {
		page["tallies"] = state
	}
	return page
}

// maintenance lists the windows open now, or says why the calendar is ignored; nil unless one is set.
func (c *Controller) maintenance() any {
	if c.settings.Calendar == "" {
		return nil
	}
	windows, err := calendar.Read(c.settings.Calendar, c.settings.Zones)
	if err != nil {
		return map[string]string{"ignored": err.Error()}
	}
	return calendar.OpenAt(windows, time.Now())
}
