package controller

import (
	"net/http"
	"time"

	"shaletrestle/internal/version"

	"shaletrestle/internal/calendar"
	"shaletrestle/internal/httpreply"
	"shaletrestle/internal/metrics"
)

// maintenance lists the windows open now, or what is wrong with the calendar; nothing unless one is set.
func (c *Controller) maintenance() any {
	if c.settings.Calendar == "" {
		return nil
	}
	ws, err := calendar.Read(c.settings.Calendar, c.settings.Zones)
	if err != nil {
		return map[string]string{"ignored": err.Error()}
	}
	return calendar.OpenAt(ws, time.Now())
}

// page is the state page: all of it, or at /fleet the view of the fleet that the checker reads.
func (c *Controller) page(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == metrics.Path {
		metrics.Serve(w, c.figures())
		return
	}
	if r.URL.Path == "/fleet" {
		v := *c.news.View()
		if _, primary := c.replica.PrimaryEpoch(); primary {
			o := c.state.View()
			v.Config, v.Evacuated = o.Config, o.Evacuated
		}
		v.History = nil
		httpreply.Bytes(w, http.StatusOK, v.Encode())
		return
	}
	position := c.feed.Position()
	v := c.news.View()
	httpreply.JSON(w, http.StatusOK, map[string]any{
		"maintenance": c.maintenance(),
		"program":     "controller", "version": version.Number, "node": c.settings.NodeName, "replication": c.replica.State(),
		"news":           map[string]any{"epoch": position.Epoch, "number": position.Number, "acked": c.feed.Acked(), "source": c.follower.SourceAddress(), "live": c.IsActivePrimary()},
		"setup_revision": c.state.View().Config.Revision, "evacuated": c.state.View().Evacuated, "replicas": len(v.Replicas), "fleet": v.FleetSize,
		"list_duty": c.duty.Held(), "suspects": c.jury.Published(), "list_calls": c.polls.Load(), "list_failures": c.fails.Load(),
	})
}
