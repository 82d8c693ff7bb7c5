// Package calendar reads maintenance windows from an iCalendar file. A window names the localities that it is about in its location or categories.
package calendar

import (
	"os"
	"strings"
	"time"

	ics "github.com/arran4/golang-ical"

	"shaletrestle/internal/errkind"
)

// Window is one span of planned work.
type Window struct {
	Zone    string    `json:"locality"`
	Start   time.Time `json:"from"`
	End     time.Time `json:"to"`
	Summary string    `json:"what"`
}

// Read gives the windows of a file that name one of the localities.
func Read(file string, localities map[string]string) ([]Window, error) {
	f, err := os.Open(file)
	if err != nil {
		return nil, errkind.Wrap(errkind.InvalidSettings, err, "calendar")
	}
	defer f.Close()
	c, err := ics.ParseCalendar(f)
	if err != nil {
		return nil, errkind.Wrap(errkind.InvalidInput, err, "calendar")
	}
	var out []Window
	for _, e := range c.Events() {
		from, err := e.GetStartAt()
		if err != nil {
			return nil, errkind.Wrap(errkind.InvalidInput, err, "calendar: start of an event")
		}
		to, err := e.GetEndAt()
		if err != nil {
			return nil, errkind.Wrap(errkind.InvalidInput, err, "calendar: end of an event")
		}
		text := func(p ics.ComponentProperty) string {
			if x := e.GetProperty(p); x != nil {
				return x.Value
			}
			return ""
		}
		for _, n := range strings.Split(text(ics.ComponentPropertyLocation)+","+text(ics.ComponentPropertyCategories), ",") {
			if n = strings.TrimSpace(n); localities[n] != "" {
				out = append(out, Window{n, from, to, text(ics.ComponentPropertySummary)})
			}
		}
	}
	return out, nil
}

// At gives the windows that are open at a time.
func OpenAt(ws []Window, t time.Time) []Window {
	var out []Window
	for _, w := range ws {
		if !t.Before(w.Start) && t.Before(w.End) {
			out = append(out, w)
		}
	}
	return out
}
