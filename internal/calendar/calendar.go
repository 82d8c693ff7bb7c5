// Package calendar reads maintenance windows from an iCalendar file (RFC 5545). A window names the zones that it is
// about in its location or categories. Windows are shown to people; they change nothing.
package calendar

import (
	"fmt"
	"io"
	"os"
	"strings"
	"time"

	ics "github.com/arran4/golang-ical"
)

// Window is one span of planned work in a zone. The keys of its JSON stay as they are.
type Window struct {
	Zone    string    `json:"locality"`
	Start   time.Time `json:"from"`
	End     time.Time `json:"to"` // the first moment after it
	Summary string    `json:"what"`
}

// Read gives the windows of a file that name one of the zones; zones gives the region of each, and a zone without one is
// unknown. A file with an event that has no start or no end is rejected as one, with all its windows.
func Read(path string, zones map[string]string) ([]Window, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, fmt.Errorf("calendar: %w", err)
	}
	defer func() { _ = file.Close() }()
	return parse(file, zones)
}

func parse(content io.Reader, zones map[string]string) ([]Window, error) {
	calendar, err := ics.ParseCalendar(content)
	if err != nil {
		return nil, fmt.Errorf("calendar: %w", err)
	}
	var windows []Window
	for _, event := range calendar.Events() {
		start, err := event.GetStartAt()
		if err != nil {
			return nil, fmt.Errorf("calendar: start of an event: %w", err)
		}
		end, err := event.GetEndAt()
		if err != nil {
			return nil, fmt.Errorf("calendar: end of an event: %w", err)
		}
		for _, zone := range namesIn(event) {
			if zones[zone] != "" {
				windows = append(windows, Window{Zone: zone, Start: start, End: end, Summary: property(event, ics.ComponentPropertySummary)})
			}
		}
	}
	return windows, nil
}

// namesIn lists what an event names in its location and categories, both lists with commas.
func namesIn(event *ics.VEvent) []string {
	text := property(event, ics.ComponentPropertyLocation) + "," + property(event, ics.ComponentPropertyCategories)
	names := strings.Split(text, ",")
	for i, name := range names {
		names[i] = strings.TrimSpace(name)
	}
	return names
}

// property is the value of an event's property; empty if it has none.
func property(event *ics.VEvent, name ics.ComponentProperty) string {
	if found := event.GetProperty(name); found != nil {
		return found.Value
	}
	return ""
}

// OpenAt gives the windows that are open at a time.
func OpenAt(windows []Window, at time.Time) []Window {
	var open []Window
	for _, window := range windows {
		if !at.Before(window.Start) && at.Before(window.End) {
			open = append(open, window)
		}
	}
	return open
}
