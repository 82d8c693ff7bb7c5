package configcheck

import (
	"encoding/json"
	"fmt"
	"io"
	"sort"
)

// Severity is how bad a finding is.
type Severity string

// The severities. All but severityInfo are problems.
const (
	severityError   Severity = "error"
	severityWarning Severity = "warning"
	severityInfo    Severity = "note"
)

// Finding is one thing that is wrong or worth knowing.
type Finding struct {
	Severity Severity `json:"grade"`
	Subject  string   `json:"about"` // as in "route a" or "service s"
	Text     string   `json:"text"`
}

// Report is the result of a check.
type Report struct {
	Revision int64     `json:"revision"`         // of the configuration checked; 0 if it can't be read
	Current  int64     `json:"current_revision"` // of the fleet
	Fleet    bool      `json:"checked_against_fleet"`
	Findings []Finding `json:"findings"`
}

// HasProblems reports whether there is a finding that is more than a note.
func (r *Report) HasProblems() bool {
	for _, finding := range r.Findings {
		if finding.Severity != severityInfo {
			return true
		}
	}
	return false
}

func (r *Report) add(severity Severity, subject, format string, args ...any) {
	r.Findings = append(r.Findings, Finding{
		Severity: severity,
		Subject:  subject,
		Text:     fmt.Sprintf(format, args...),
	})
}

// sortBySubject orders the findings by their subject and keeps the order of those with the same.
func (r *Report) sortBySubject() {
	sort.SliceStable(r.Findings, func(i, j int) bool {
		return r.Findings[i].Subject < r.Findings[j].Subject
	})
}

// Write prints a report for people or, as JSON, for programs. The error is the writer's.
func (r *Report) Write(w io.Writer, asJSON bool) error {
	if asJSON {
		encoder := json.NewEncoder(w)
		encoder.SetIndent("", "  ")
		return encoder.Encode(r)
	}
	return r.writeText(w)
}

func (r *Report) writeText(w io.Writer) error {
	against := "the rules of validity alone"
	if r.Fleet {
		against = fmt.Sprintf("the fleet at revision %d", r.Current)
	}
	if _, err := fmt.Fprintf(w, "revision %d against %s\n", r.Revision, against); err != nil {
		return err
	}
	for _, finding := range r.Findings {
		if _, err := fmt.Fprintf(w, "%-8s %s: %s\n", finding.Severity, finding.Subject, finding.Text); err != nil {
			return err
		}
	}
	if len(r.Findings) > 0 {
		return nil
	}
	_, err := fmt.Fprintln(w, "nothing found")
	return err
}
