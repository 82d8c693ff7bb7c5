package configcheck

import (
	"time"

	"shaletrestle/internal/calendar"
	"shaletrestle/internal/state"
)

// Check checks a complete configuration, as it would be sent, against a view of the fleet (nil: against the rules of
// validity alone). The windows are those that are open now; each becomes a note.
func Check(body []byte, view *state.View, windows []calendar.Window) *Report {
	report := &Report{Fleet: view != nil, Findings: []Finding{}}
	if view == nil {
		view = state.EmptyView()
	}
	report.Current = view.Config.Revision
	doc, err := view.Config.Put(body)
	if doc != nil {
		report.Revision = doc.Revision
	}
	if err != nil {
		report.add(severityError, "configuration", "%s", err)
		return report
	}
	if report.Fleet {
		checkFleet(report, doc, view)
	}
	for _, window := range windows {
		until := window.End.UTC().Format(time.RFC3339)
		report.add(severityInfo, window.Zone, "maintenance until %s: %s", until, window.Summary)
	}
	return report
}
