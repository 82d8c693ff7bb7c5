// Package configcheck checks a configuration against the rules of validity and
// against the current state of the fleet.
package configcheck

import (
	"encoding/json"
	"fmt"
	"io"
	"sort"
)

// The grades of a finding.
const (
	gradeError   = "error"
	gradeWarning = "warning"
	gradeNote    = "note"
)

// Finding is one thing that is wrong or worth knowing.
type Finding struct {
	Severity string `json:"grade"` // error, warning or note
	Subject  string `json:"about"`
	Text     string `json:"text"`
}

// Report is the result of a check.
type Report struct {
	Revision int64     `json:"revision"`
	Current  int64     `json:"current_revision"`
	Fleet    bool      `json:"checked_against_fleet"`
	Findings []Finding `json:"findings"`
}

// Bad tells whether there is a finding that is more than a note.
func (r *Report) HasProblems() bool {
	for _, finding := range r.Findings {
		if finding.Severity != gradeNote {
			return true
		}
	}
	return false
}

func (r *Report) add(grade, about, format string, args ...any) {
	r.Findings = append(r.Findings, Finding{
		Severity: grade,
		Subject:  about,
		Text:     fmt.Sprintf(format, args...),
	})
}

// sortBySubject orders the findings by what they are about and keeps the order
// of those about the same.
func (r *Report) sortBySubject() {
	sort.SliceStable(r.Findings, func(i, j int) bool {
		return r.Findings[i].Subject < r.Findings[j].Subject
	})
}

// Write prints a report for people or, as JSON, for programs.
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
